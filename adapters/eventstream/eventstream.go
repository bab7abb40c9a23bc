// Package eventstream splits a text/event-stream into whole events, so that a
// stream can be continued after the last event that reached the caller whole.
package eventstream

import (
	"bufio"
	"bytes"
	"io"
	"iter"
	"strconv"

	"chivespindle.example/core/failure"
)

// maxEvent bounds one event in bytes.
const maxEvent = 1 << 20

// firstBuffer is the size of the buffer of a new reader; events are tens to
// hundreds of bytes.
const firstBuffer = 2 << 10

// byteOrderMark may stand before the first event.
var byteOrderMark = []byte("\ufeff")

// Event is one event with its bytes as they came, the empty line included, and
// empty lines before it. The last one of a stream may be empty lines alone.
type Event struct {
	Raw []byte
	// ID is the event's number, -1 if it has none or one that is not a whole number
	// from 0. Numbers are not compared: those of a stream may repeat, go back or skip
	// some. An event without a number has no place among the others, so a stream
	// cannot be resumed behind one that HasData without a gap or a repetition.
	ID int64
}

// HasData reports whether the event has a data field. One without is a comment, or
// only sets the id or the pause before a reconnection; no client takes it for an event.
func (e Event) HasData() bool {
	for name := range fields(e.Raw) {
		if string(name) == "data" {
			return true
		}
	}
	return false
}

// Reader returns the events of a stream. It is used by one goroutine.
type Reader struct {
	scanner *bufio.Scanner
	begun   bool // an event was returned
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
		text := raw
		if !r.begun {
			text = bytes.TrimPrefix(raw, byteOrderMark)
		}
		r.begun = true
		return Event{Raw: raw, ID: idOf(text)}, nil
	}
	if err := r.scanner.Err(); err != nil {
		return Event{}, err
	}
	if r.cut {
		return Event{}, failure.Corrupt.New("the stream ended inside an event")
	}
	return Event{}, io.EOF
}

// split finds the empty line that ends an event.
func (r *Reader) split(data []byte, atEOF bool) (advance int, token []byte, err error) {
	isEmpty := true
	for end := 0; ; {
		length, next := lineOf(data[end:], atEOF)
		end += next
		switch {
		case next > 0 && (length > 0 || isEmpty):
			isEmpty = isEmpty && length == 0
		case next > 0:
			return end, data[:end], nil
		case !atEOF || len(data) == 0:
			return 0, nil, nil
		case isEmpty && end == len(data):
			return end, data, nil
		default:
			r.cut = true
			return len(data), nil, nil
		}
	}
}

// lineOf returns the length of the first line and where the next one begins, 0 if
// the line has no end yet. It may end in a carriage return, a line feed or both.
func lineOf(data []byte, atEOF bool) (length, next int) {
	length = bytes.IndexAny(data, "\r\n")
	switch {
	case length < 0:
		return 0, 0
	case data[length] == '\n':
		return length, length + 1
	case length+1 < len(data) && data[length+1] == '\n':
		return length, length + 2
	case length+1 == len(data) && !atEOF:
		return 0, 0 // a line feed may follow
	}
	return length, length + 1
}

// fields returns the names and values of an event's fields. A comment has the name "".
func fields(raw []byte) iter.Seq2[[]byte, []byte] {
	return func(yield func(name, value []byte) bool) {
		for len(raw) > 0 {
			length, next := lineOf(raw, true)
			if next == 0 {
				return
			}
			name, value, _ := bytes.Cut(raw[:length], []byte(":"))
			if !yield(name, value) {
				return
			}
			raw = raw[next:]
		}
	}
}

// idOf returns the number that the last id field of an event gives.
func idOf(raw []byte) int64 {
	id := int64(-1)
	for name, value := range fields(raw) {
		if string(name) != "id" || bytes.IndexByte(value, 0) >= 0 {
			continue
		}
		number, err := strconv.ParseUint(string(bytes.TrimSpace(value)), 10, 63)
		if err != nil {
			id = -1
			continue
		}
		id = int64(number)
	}
	return id
}
