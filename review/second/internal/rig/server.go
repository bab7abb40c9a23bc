package rig

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Plain is a server of a plain service that speaks HTTP/1.1 on bare connections, so that it
// can reset one in place of an answer.
type Plain struct {
	ID      string
	Address string
	// WorkTime is how long a request runs.
	WorkTime time.Duration
	// LosesAnswer reports whether the server runs the n-th request and resets the
	// connection instead of answering.
	LosesAnswer func(n int) bool

	rig  *Rig
	mu   sync.Mutex
	runs map[string]int // by the ID of the request
	n    int
}

// NewPlain starts a sound server and registers it.
func (r *Rig) NewPlain(id, service, ip string) *Plain {
	l := Listen(ip)
	s := &Plain{ID: id, Address: l.Addr().String(), WorkTime: 5 * time.Millisecond, rig: r, runs: make(map[string]int)}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(c)
		}
	}()
	r.Register(id, service, s.Address, 6, nil)
	return s
}

// CountRuns returns how often each request has run at the servers.
func CountRuns(servers ...*Plain) map[string]int {
	runs := make(map[string]int)
	for _, s := range servers {
		s.mu.Lock()
		for id, n := range s.runs {
			runs[id] += n
		}
		s.mu.Unlock()
	}
	return runs
}

func (s *Plain) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	in := bufio.NewReader(c)
	for {
		request, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		if !s.answer(c, request, string(body)) {
			return
		}
	}
}

// answer answers one request and reports whether the connection stays open.
func (s *Plain) answer(c net.Conn, request *http.Request, body string) bool {
	id := request.Header.Get("X-Request-Id")
	if expected := request.Header.Get(instanceHeader); expected != "" && expected != s.ID {
		return s.write(c, "421 Misdirected Request", id, notRunHeader+": 1\r\n", "")
	}
	if id == "" {
		return s.write(c, "400 Bad Request", id, notRunHeader+": 1\r\n", "")
	}
	n := s.begin(id)
	s.rig.Note("run %s at %s %s %s", id, s.ID, request.Method, request.RequestURI)
	time.Sleep(s.WorkTime)
	if s.LosesAnswer != nil && s.LosesAnswer(n) {
		s.rig.Note("answer of %s lost at %s", id, s.ID)
		_ = c.(*net.TCPConn).SetLinger(0)
		return false
	}
	return s.write(c, "200 OK", id, fmt.Sprintf("%s: %s.%s\r\n", stampHeader, s.ID, id), "done "+id+" "+body)
}

func (s *Plain) begin(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[id]++
	s.n++
	return s.n
}

func (s *Plain) write(c net.Conn, status, id, header, body string) bool {
	echo := ""
	if id != "" {
		echo = "X-Request-Id: " + id + "\r\n"
	}
	_, err := fmt.Fprintf(c, "HTTP/1.1 %s\r\n%s%sContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n%s", status, echo, header, len(body), body)
	return err == nil
}
