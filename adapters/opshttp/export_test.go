package opshttp

import "net/http"

// NewHandler returns the pages of the port.
func NewHandler(opts Options) (http.Handler, error) { return newMux(opts) }
