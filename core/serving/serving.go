// Package serving decides which version one backend server may serve, and when
// it may change to another.
package serving
