package rig

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"
)

// Answer is what a client has got.
type Answer struct {
	// Status is 0 if the connection ended without a complete answer.
	Status int
	Stamp  string
	ID     string
	Body   string
}

// Call is a request of a client.
type Call struct {
	Method, Host, Path, ID, Body string
	DeadlineMS                   int
}

// Do sends a request on a connection of its own and records it and its answer.
func (r *Rig) Do(entry string, c Call) Answer {
	r.Note("sent %s %s %s%s", c.ID, c.Method, c.Host, c.Path)
	answer := send(entry, c)
	r.Note("answered %s %d stamp %q id %q body %.60q", c.ID, answer.Status, answer.Stamp, answer.ID, answer.Body)
	return answer
}

func send(entry string, c Call) Answer {
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
	request, err := http.NewRequest(c.Method, "http://"+entry+c.Path, bytes.NewReader([]byte(c.Body)))
	if err != nil {
		return Answer{}
	}
	request.Host = c.Host
	request.Header.Set("X-Request-Id", c.ID)
	request.Header.Set(deadlineHeader, strconv.Itoa(c.DeadlineMS))
	client := &http.Client{Transport: transport, Timeout: time.Duration(c.DeadlineMS)*time.Millisecond + time.Second}
	response, err := client.Do(request)
	if err != nil {
		return Answer{}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return Answer{}
	}
	return Answer{Status: response.StatusCode, Stamp: response.Header.Get(stampHeader), ID: response.Header.Get("X-Request-Id"), Body: string(body)}
}
