package engine

import (
	"bufio"
	"encoding/json"
	"errors"
	"io"

	"chivespindle.example/core/failure"
	"chivespindle.example/core/fleet"
)

// maxLineBytes limits one line of a response.
const maxLineBytes = 1 << 20

// line is any line of a response; the fields that are set tell its kind.
type line struct {
	ID      string         `json:"id"`
	Seq     *int           `json:"seq"`
	Token   *string        `json:"token"`
	Done    bool           `json:"done"`
	Tokens  *int           `json:"tokens"`
	Version *fleet.Version `json:"version"`
}

// responseReader reads the lines of one response and checks that all of them belong
// to one request and one version.
//
// An engine that mixes up responses, or loads another version while a response is
// running, would otherwise give a caller the output of another request or of two
// versions. Each line is checked before it is forwarded, and the last line is
// forwarded only after all others have passed, so such a response is aborted and
// never looks complete.
type responseReader struct {
	id      string // ID of the request that each line must name
	lines   *bufio.Reader
	started bool
	done    bool
	version fleet.Version // from the first line
	tokens  int
}

func newResponseReader(r io.Reader, id string) *responseReader {
	return &responseReader{id: id, lines: bufio.NewReaderSize(r, 4<<10)}
}

// next returns the next line with its line ending, and io.EOF after the last line
// of a complete response. An error of the underlying reader is returned unchanged;
// a response that ends early is failure.Unavailable, one that violates the protocol
// failure.Corrupt. Bytes after the last line are not read.
func (r *responseReader) next() ([]byte, error) {
	if r.done {
		return nil, io.EOF
	}
	raw, err := r.read()
	if err != nil {
		return nil, err
	}
	var l line
	if err := json.Unmarshal(raw, &l); err != nil {
		return nil, failure.Corrupt.Wrap(err, "line %d of the answer", r.tokens)
	}
	if err := r.check(l); err != nil {
		return nil, err
	}
	return raw, nil
}

// read returns one line with its line ending in a newly allocated slice.
func (r *responseReader) read() ([]byte, error) {
	var raw []byte
	for {
		part, err := r.lines.ReadSlice('\n')
		raw = append(raw, part...)
		if len(raw) > maxLineBytes {
			return nil, failure.Corrupt.New("a line of the answer is longer than %d bytes", maxLineBytes)
		}
		switch {
		case err == nil:
			return raw, nil
		case errors.Is(err, bufio.ErrBufferFull):
		case errors.Is(err, io.EOF):
			return nil, failure.Unavailable.New("the answer ended before its last line")
		default:
			return nil, err
		}
	}
}

func (r *responseReader) check(l line) error {
	if l.ID != r.id {
		return failure.Corrupt.New("the answer names request %q, want %q", l.ID, r.id)
	}
	switch {
	case !r.started:
		return r.checkFirst(l)
	case l.Done:
		return r.checkLast(l)
	default:
		return r.checkToken(l)
	}
}

func (r *responseReader) checkFirst(l line) error {
	if l.Version == nil || l.Version.IsZero() || l.Done || l.Token != nil {
		return failure.Corrupt.New("the first line of the answer does not name a version alone")
	}
	r.started = true
	r.version = *l.Version
	return nil
}

func (r *responseReader) checkToken(l line) error {
	if l.Seq == nil || l.Token == nil {
		return failure.Corrupt.New("line %d of the answer has no token", r.tokens)
	}
	if *l.Seq != r.tokens {
		return failure.Corrupt.New("the answer has token %d in place of %d", *l.Seq, r.tokens)
	}
	if l.Version != nil && *l.Version != r.version {
		return failure.Corrupt.New("the answer changes from version %s to %s", r.version, *l.Version)
	}
	r.tokens++
	return nil
}

func (r *responseReader) checkLast(l line) error {
	if l.Version == nil || *l.Version != r.version {
		return failure.Corrupt.New("the answer began with version %s and does not end with it", r.version)
	}
	if l.Tokens == nil || *l.Tokens != r.tokens {
		return failure.Corrupt.New("the answer has %d tokens and says otherwise", r.tokens)
	}
	r.done = true
	return nil
}
