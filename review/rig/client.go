package rig

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"
)

// Request is one attempt of a client.
type Request struct {
	Method, Host, Path, Key string
	Body                    []byte
	Deadline                time.Duration
	Header                  map[string]string
}

// Answer is what a client got for an attempt.
type Answer struct {
	ID     string
	Status int // 0 without a complete answer
	Stamp  string
	Body   string
	Err    error
}

// NewID returns a new X-Request-Id.
func NewID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// NewClient returns an HTTP client that keeps up to connections open for each entry, and
// repeats nothing by itself.
func NewClient(connections int) *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: connections, DisableCompression: true, DisableKeepAlives: connections == 0}}
}

// Send sends one attempt to an entry.
func Send(client *http.Client, entry *Process, q Request) Answer {
	return SendID(client, entry, NewID(), q)
}

// SendID is Send with an ID that the caller has chosen.
func SendID(client *http.Client, entry *Process, id string, q Request) Answer {
	ctx, cancel := context.WithTimeout(context.Background(), q.Deadline)
	defer cancel()
	a := Answer{ID: id}
	request, err := http.NewRequestWithContext(ctx, q.Method, "http://"+entry.Front+q.Path, bytes.NewReader(q.Body))
	if err != nil {
		a.Err = err
		return a
	}
	request.GetBody = nil // the transport must not send it again
	request.Host = q.Host
	request.Header.Set("X-Request-Id", id)
	request.Header.Set(Wire("deadline"), strconv.FormatInt(q.Deadline.Milliseconds(), 10))
	if q.Key != "" {
		request.Header.Set(Wire("key"), q.Key)
	}
	for name, value := range q.Header {
		request.Header.Set(name, value)
	}
	response, err := client.Do(request)
	if err != nil {
		a.Err = err
		return a
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		a.Err = err
		return a
	}
	a.Status, a.Stamp, a.Body = response.StatusCode, response.Header.Get(Wire("stamp")), string(body)
	return a
}
