package rig

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"

	"chivespindle.example/platform/standin"
)

// Figures of the weights, as on the sheet.
const (
	Model      = "m1"
	Chunks     = 48
	ChunkBytes = 49152
)

// Origin is the service that serves weights. It speaks HTTP/1.1 on bare connections, so that
// it can send an answer a second time.
type Origin struct {
	Address string

	rig     *Rig
	mu      sync.Mutex
	newest  uint64
	spoilt  int // manifests that are still to be spoilt and sent twice
	answers int
	bad     int
}

// NewOrigin starts the origin with version 1.
func (r *Rig) NewOrigin(ip string) *Origin {
	l := Listen(ip)
	o := &Origin{Address: l.Addr().String(), rig: r, newest: 1}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go o.serve(c)
		}
	}()
	return o
}

// Publish makes a version the newest one. The next answers with a manifest, as many as
// spoilt, are spoilt, and sent a second time at the point where the next answer on their
// connection is expected.
func (o *Origin) Publish(version uint64, spoilt int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.newest, o.spoilt = version, spoilt
}

// Counts returns the number of answers and how many of them were spoilt.
func (o *Origin) Counts() (answers, spoilt int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.answers, o.bad
}

func (o *Origin) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	in := bufio.NewReader(c)
	var again []byte // is sent when the next request has come
	for {
		request, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		if again != nil {
			o.rig.Note("origin: the answer before once more, for %s", request.RequestURI)
			if _, err := c.Write(again); err != nil {
				return
			}
		}
		var answer []byte
		answer, again = o.answer(request)
		if _, err := c.Write(answer); err != nil {
			return
		}
	}
}

// answer returns the answer to a request, and the one that is sent once more later, nil for
// none.
func (o *Origin) answer(request *http.Request) (answer, again []byte) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.answers++
	version := o.newest
	if asked, err := strconv.ParseUint(request.FormValue("version"), 10, 64); err == nil {
		version = asked
	}
	if version+1 < o.newest {
		return []byte("HTTP/1.1 410 Gone\r\nContent-Length: 0\r\n\r\n"), nil
	}
	if !strings.HasPrefix(request.URL.Path, "/manifest/") {
		number, _ := strconv.Atoi(request.FormValue("number"))
		return whole("application/octet-stream", standin.Chunk(version, number, ChunkBytes)), nil
	}
	body := manifest(version)
	if o.spoilt == 0 {
		o.rig.Note("origin: manifest of version %d", version)
		return whole("application/json", body), nil
	}
	o.spoilt--
	o.bad++
	o.rig.Note("origin: manifest of version %d, one character spoilt", version)
	answer = whole("application/json", spoil(body))
	return answer, answer
}

func whole(kind string, body []byte) []byte {
	return append(fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nContent-Type: %s\r\nContent-Length: %d\r\n\r\n", kind, len(body)), body...)
}

func manifest(version uint64) []byte {
	digests := make([]string, Chunks)
	for i := range digests {
		sum := sha256.Sum256(standin.Chunk(version, i, ChunkBytes))
		digests[i] = hex.EncodeToString(sum[:])
	}
	body, err := json.Marshal(map[string]any{"model": Model, "version": version, "chunkBytes": ChunkBytes, "layers": 16, "digests": digests})
	check(err)
	return body
}

// spoil changes the first character of the first digest to another one that a digest may have.
func spoil(body []byte) []byte {
	const before = `"digests":["`
	out := bytes.Clone(body)
	at := bytes.Index(out, []byte(before)) + len(before)
	if out[at] == '0' {
		out[at] = '1'
	} else {
		out[at] = '0'
	}
	return out
}
