package engine

import (
	"bufio"
	"encoding/json"
	"errors"
	"io"

	"chivespindle.example/core/failure"
	"chivespindle.example/core/fleet"
)

// maxLine bounds one line of an answer in bytes.
const maxLine = 1 << 20

// line is any line of an answer; the fields that it has tell which.
type line struct {
	ID      string         `json:"id"`
	Seq     *int           `json:"seq"`
	Token   *string        `json:"token"`
	Done    bool           `json:"done"`
	Tokens  *int           `json:"tokens"`
	Version *fleet.Version `json:"version"`
}

// answerReader reads the lines of one answer and checks that they are one
// answer, to one request, from one version.
//
// An engine that swaps answers, or loads another version under a running one,
// would otherwise hand a caller someone else's words or a mixed text. Every
// line is checked before it is handed on and the last line comes only after
// all others passed, so such an answer is cut and never looks complete.
type answerReader struct {
	id      string // the request that the lines must name
	lines   *bufio.Reader
	begun   bool
	done    bool
	version fleet.Version // of the first line
	tokens  int
}

func newAnswerReader(r io.Reader, id string) *answerReader {
	return &answerReader{id: id, lines: bufio.NewReaderSize(r, 4<<10)}
}

// next returns the next line with its line end, io.EOF after the last line of
// a whole answer. A failure of the reader is returned as it is; an answer
// that ends early is failure.Unavailable, one that breaks a rule
// failure.Corrupt. What follows the last line is not read.
func (r *answerReader) next() ([]byte, error) {
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

// read returns one line with its end, in memory of its own.
func (r *answerReader) read() ([]byte, error) {
	var raw []byte
	for {
		part, err := r.lines.ReadSlice('\n')
		raw = append(raw, part...)
		if len(raw) > maxLine {
			return nil, failure.Corrupt.New("a line of the answer is longer than %d bytes", maxLine)
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

func (r *answerReader) check(l line) error {
	if l.ID != r.id {
		return failure.Corrupt.New("the answer names request %q, want %q", l.ID, r.id)
	}
	switch {
	case !r.begun:
		return r.checkFirst(l)
	case l.Done:
		return r.checkLast(l)
	default:
		return r.checkToken(l)
	}
}

func (r *answerReader) checkFirst(l line) error {
	if l.Version == nil || l.Version.IsZero() || l.Done || l.Token != nil {
		return failure.Corrupt.New("the first line of the answer does not name a version alone")
	}
	r.begun = true
	r.version = *l.Version
	return nil
}

func (r *answerReader) checkToken(l line) error {
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

func (r *answerReader) checkLast(l line) error {
	if l.Version == nil || *l.Version != r.version {
		return failure.Corrupt.New("the answer began with version %s and does not end with it", r.version)
	}
	if l.Tokens == nil || *l.Tokens != r.tokens {
		return failure.Corrupt.New("the answer has %d tokens and says otherwise", r.tokens)
	}
	r.done = true
	return nil
}
