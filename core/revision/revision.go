// Package revision decides which state of the operator's text is in force.
package revision
