// Package serving decides what one backend server may serve, and when it may change.
package serving
