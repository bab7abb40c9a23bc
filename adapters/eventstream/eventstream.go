// Package eventstream splits a text/event-stream into whole events, so that a
// stream can be continued after the last event that reached the caller whole.
package eventstream

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"chivespindle.example/core/failure"
)

// maxEvent bounds one event in bytes.
const maxEvent = 1 << 20

// firstBuffer is the size of the buffer of a new reader; events are tens to
// hundreds of bytes.
const firstBuffer = 2 << 10

// Event is one event with its bytes as they came, the empty line included.
type Event struct {
	Raw []byte
	// ID is the event's number, -1 if it has none.
	ID int64
}

// Reader returns the events of a stream. It is used by one goroutine.
type Reader struct {
	scanner *bufio.Scanner
	cut     bool
}

// NewReader returns a reader of r.
func NewReader(r io.Reader) *Reader {
	reader := &Reader{scanner: bufio.NewScanner(r)}
	reader.scanner.Buffer(make([]byte, 0, firstBuffer), maxEvent)
	reader.scanner.Split(reader.split)
	return reader
}

// Next returns the next event. Its bytes are valid until the next call. It
// fails with io.EOF after the last event of a stream that ended between two
// events, with failure.Corrupt if it ended inside one, and else with the
// failure of the underlying reader.
func (r *Reader) Next() (Event, error) {
	if r.scanner.Scan() {
		raw := r.scanner.Bytes()
		return Event{Raw: raw, ID: idOf(raw)}, nil
	}
	if err := r.scanner.Err(); err != nil {
		return Event{}, err
	}
	if r.cut {
		return Event{}, failure.Corrupt.New("the stream ended inside an event")
	}
	return Event{}, io.EOF
}

// split finds the empty line that ends an event. Lines may end in a line feed
// or in a carriage return and one.
func (r *Reader) split(data []byte, atEOF bool) (advance int, token []byte, err error) {
	plain := bytes.Index(data, []byte("\n\n"))
	windows := bytes.Index(data, []byte("\r\n\r\n"))
	switch {
	case windows >= 0 && (plain < 0 || windows < plain):
		end := windows + len("\r\n\r\n")
		return end, data[:end], nil
	case plain >= 0:
		end := plain + len("\n\n")
		return end, data[:end], nil
	case atEOF && len(data) > 0:
		r.cut = true
		return len(data), nil, nil
	default:
		return 0, nil, nil
	}
}

func idOf(raw []byte) int64 {
	for line := range bytes.Lines(raw) {
		value, found := bytes.CutPrefix(line, []byte("id:"))
		if !found {
			continue
		}
		id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
		if err != nil {
			return -1
		}
		return id
	}
	return -1
}
