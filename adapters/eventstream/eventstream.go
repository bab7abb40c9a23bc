// Package eventstream splits a text/event-stream into complete events, so that a
// stream can be resumed after the last event that reached the caller.
package eventstream

import (
	"bufio"
	"bytes"
	"io"
	"iter"
	"strconv"
	"time"

	"chivespindle.example/core/failure"
	"chivespindle.example/core/memlimit"
)

// maxEventBytes limits one event.
const maxEventBytes = 1 << 20

// initialBufferBytes is the initial size of a reader's buffer; events are tens to
// hundreds of bytes.
const initialBufferBytes = 2 << 10

// byteOrderMark may precede the first event.
var byteOrderMark = []byte("\ufeff")

// Event is one event as received, including the empty line that ends it and empty
// lines before it. The last event of a stream may consist of empty lines only.
type Event struct {
	Raw []byte
	// ID is the number of the event, -1 if it has no ID or one that is not an
	// integer from 0. Numbers are not compared: those of a stream may repeat,
	// decrease or have gaps. An event without a number has no position, so a stream
	// cannot be resumed after one that HasData without a gap or a repetition.
	ID int64
}

// HasData reports whether the event has a data field. An event without one is a
// comment, or only sets the ID or the reconnection time; clients do not dispatch
// it.
func (e Event) HasData() bool {
	for name := range fields(e.Raw) {
		if string(name) == "data" {
			return true
		}
	}
	return false
}

// Reader returns the events of a stream. It is not safe for concurrent use.
type Reader struct {
	scanner   *bufio.Scanner
	started   bool // an event has been returned
	truncated bool
	// hold counts what the scanner's buffer has beyond its initial size.
	hold        *memlimit.Hold
	bufferBytes int
}

// NewReader returns a Reader of r. The buffer of large events is counted in hold before it is
// allocated. The caller releases the hold after the last call of Next.
func NewReader(r io.Reader, hold *memlimit.Hold) *Reader {
	reader := &Reader{scanner: bufio.NewScanner(r), hold: hold, bufferBytes: initialBufferBytes}
	reader.scanner.Buffer(make([]byte, 0, initialBufferBytes), maxEventBytes)
	reader.scanner.Split(reader.split)
	return reader
}

// Next returns the next event. Its bytes are valid until the next call. Next fails
// with io.EOF at the end of a stream that ended between two events, with
// failure.Corrupt if the stream ended inside an event, with memlimit.Exceeded if the hold may
// not grow for an event, and otherwise with the error of the underlying reader.
func (r *Reader) Next() (Event, error) {
	if r.scanner.Scan() {
		raw := r.scanner.Bytes()
		text := raw
		if !r.started {
			text = bytes.TrimPrefix(raw, byteOrderMark)
		}
		r.started = true
		return Event{Raw: raw, ID: eventID(text)}, nil
	}
	if err := r.scanner.Err(); err != nil {
		return Event{}, err
	}
	if r.truncated {
		return Event{}, failure.Corrupt.New("the stream ended inside an event")
	}
	return Event{}, io.EOF
}

// split is a bufio.SplitFunc that splits after the empty line that ends an event.
func (r *Reader) split(data []byte, atEOF bool) (advance int, token []byte, err error) {
	isEmpty := true
	for end := 0; ; {
		length, next := nextLine(data[end:], atEOF)
		end += next
		switch {
		case next > 0 && (length > 0 || isEmpty):
			isEmpty = isEmpty && length == 0
		case next > 0:
			return end, data[:end], nil
		case !atEOF || len(data) == 0:
			return 0, nil, r.growFor(len(data) + 1)
		case isEmpty && end == len(data):
			return end, data, nil
		default:
			r.truncated = true
			return len(data), nil, nil
		}
	}
}

// growFor counts a buffer of at least size bytes, which the scanner doubles until they fit.
func (r *Reader) growFor(size int) error {
	for r.bufferBytes < min(size, maxEventBytes) {
		step := min(r.bufferBytes, maxEventBytes-r.bufferBytes)
		if !r.hold.Grow(time.Now(), int64(step)) {
			return memlimit.Exceeded.New("an event of more than %d bytes", r.bufferBytes)
		}
		r.bufferBytes += step
	}
	return nil
}

// nextLine returns the length of the first line and the offset of the next one, 0
// if the line is incomplete. A line ends with a carriage return, a line feed or
// both.
func nextLine(data []byte, atEOF bool) (length, next int) {
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

// fields iterates over the names and values of an event's fields. The name of a
// comment is "".
func fields(raw []byte) iter.Seq2[[]byte, []byte] {
	return func(yield func(name, value []byte) bool) {
		for len(raw) > 0 {
			length, next := nextLine(raw, true)
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

// eventID returns the number in the last id field of an event that has no NUL; -1
// if there is none or its value is not a number.
func eventID(raw []byte) int64 {
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
