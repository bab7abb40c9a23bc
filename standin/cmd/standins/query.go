package main

import (
	"net/http"
	"net/url"
	"strconv"
	"time"

	"chivespindle.example/core/failure"
)

// query parses the parameters of a request and keeps the first error, so that a
// handler can read all parameters and check for errors once.
type query struct {
	values url.Values
	read   map[string]bool
	err    error
}

func newQuery(r *http.Request) *query {
	return &query{values: r.URL.Query(), read: map[string]bool{}}
}

// text returns a parameter, or "" if it is not given.
func (q *query) text(name string) string {
	q.read[name] = true
	return q.values.Get(name)
}

// number returns a parameter that is a non-negative integer, or 0 if it is not
// given.
func (q *query) number(name string) int64 {
	text := q.text(name)
	if text == "" {
		return 0
	}
	value, err := strconv.ParseUint(text, 10, 63)
	if err != nil {
		q.fail(failure.Invalid.New("%s is %q, want a whole number from 0 on", name, text))
	}
	return int64(value)
}

// duration returns a parameter that is a duration such as 1m30s, or 0 if it is
// not given.
func (q *query) duration(name string) time.Duration {
	text := q.text(name)
	if text == "" {
		return 0
	}
	value, err := time.ParseDuration(text)
	if err != nil || value < 0 {
		q.fail(failure.Invalid.New("%s is %q, want a duration such as 30s", name, text))
	}
	return value
}

// has reports whether a parameter is given.
func (q *query) has(name string) bool {
	q.read[name] = true
	return q.values.Has(name)
}

func (q *query) fail(err error) {
	if q.err == nil {
		q.err = err
	}
}

// finish returns the first error. A parameter that the handler has not read is an
// error, because otherwise the default would silently replace the value of a
// parameter with a mistyped name.
func (q *query) finish() error {
	for name := range q.values {
		if !q.read[name] {
			q.fail(failure.Invalid.New("there is no parameter %q here", name))
		}
	}
	return q.err
}
