package exchange

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"golang.org/x/net/http/httpguts"

	"chivespindle.example/core/failure"
)

// Malformed is the type of the error of a response whose head HTTP does not allow; net/http
// accepts some of these. Nothing in such a response may be relied on.
var Malformed = failure.Corrupt.NewSubtype("malformed_response")

// maxStatusCode is the highest status code of RFC 9110, section 15.
const maxStatusCode = 599

// maxFields bounds the fields of a head, together with those of the interim responses before
// it. A parsed field takes about a hundred bytes more than its text.
const maxFields = 256

// maxKeptBytes is how much of a line is kept for its check and for an error. The status code is
// near the beginning of its line.
const maxKeptBytes = 64

// headPart is the part of a response that the next byte belongs to.
type headPart uint8

const (
	partStatusLine headPart = iota
	partLineStart           // of a field line, or of the empty line that ends the head
	partEmptyLine           // after its carriage return
	partName
	partValue // what follows the name in a field line, and folded lines
	partBody  // also what does not begin like a response, which net/http rejects
)

// headReader passes on the bytes of a connection and checks the heads of responses in them. It
// fails within a malformed head, so that a parser that reads from it does not find the end of
// the head.
type headReader struct {
	source io.Reader
	part   headPart
	// line holds the first bytes of the current line.
	line []byte
	// isInterim is true if a further head follows the current one.
	isInterim bool
	// isHTTP10 is true if the version is 1.0, which has no transfer encodings.
	isHTTP10 bool
	// fields and bytes are those of the head and of the interim responses before it.
	fields int
	bytes  int64
	err    error
}

func newHeadReader(source io.Reader) *headReader {
	return &headReader{source: source, line: make([]byte, 0, maxKeptBytes)}
}

// restart lets the head of the response to another request follow.
func (h *headReader) restart() {
	h.part, h.line, h.err = partStatusLine, h.line[:0], nil
	h.fields, h.bytes = 0, 0
}

// Err returns the failure of the check. Parsers may return another one for a line that is cut
// off by it.
func (h *headReader) Err() error { return h.err }

// Read implements io.Reader. It returns what precedes an error in the head: net/http repeats
// some requests if reading fails before the first byte of the response.
func (h *headReader) Read(p []byte) (int, error) {
	if h.err != nil {
		return 0, h.err
	}
	n, err := h.source.Read(p)
	if valid := h.check(p[:n]); h.err != nil {
		if valid == 0 {
			return 0, h.err
		}
		return valid, nil
	}
	return n, err
}

// check checks the bytes of p that belong to a head. It returns how many precede an error.
func (h *headReader) check(p []byte) int {
	for i, b := range p {
		if h.part == partBody {
			break
		}
		h.bytes++
		if h.checkByte(b); h.err != nil {
			return i
		}
	}
	return len(p)
}

func (h *headReader) checkByte(b byte) {
	isLineEnd := b == '\n'
	switch h.part {
	case partStatusLine:
		h.keep(b)
		if isLineEnd {
			h.endStatusLine()
		}
	case partLineStart:
		h.startLine(b)
	case partEmptyLine:
		h.endEmptyLine(b)
	case partName:
		h.checkNameByte(b)
	case partValue:
		if isLineEnd {
			h.part = partLineStart
		}
	}
}

// keep adds a byte to the kept part of the line.
func (h *headReader) keep(b byte) {
	if len(h.line) < maxKeptBytes {
		h.line = append(h.line, b)
	}
}

// endStatusLine checks the status line.
func (h *headReader) endStatusLine() {
	if !bytes.HasPrefix(h.line, []byte("HTTP/")) {
		h.part = partBody
		return
	}
	status := statusCode(h.line)
	if status < http.StatusContinue || status > maxStatusCode || status == http.StatusSwitchingProtocols {
		h.fail("the response begins with")
		return
	}
	h.part, h.isInterim = partLineStart, status < http.StatusOK
	h.isHTTP10 = bytes.HasPrefix(h.line, []byte("HTTP/1.0"))
}

// statusCode returns the code of a status line, 0 if there is none of three digits. The reason
// phrase may be missing, and several spaces may precede the code.
func statusCode(line []byte) int {
	line, found := bytes.CutPrefix(line, []byte("HTTP/1."))
	if !found || len(line) < 2 || !isDigit(line[0]) || line[1] != ' ' {
		return 0
	}
	code, _, _ := bytes.Cut(bytes.Trim(line[1:], " \r\n"), []byte(" "))
	if len(code) != 3 || !isDigit(code[0]) || !isDigit(code[1]) || !isDigit(code[2]) {
		return 0
	}
	return 100*int(code[0]-'0') + 10*int(code[1]-'0') + int(code[2]-'0')
}

func isDigit(b byte) bool { return '0' <= b && b <= '9' }

// startLine checks the first byte of a line after the status line.
func (h *headReader) startLine(b byte) {
	h.line = h.line[:0]
	switch b {
	case '\n':
		h.endHead()
	case '\r':
		h.part = partEmptyLine
	case ' ', '\t':
		h.part = partValue // a folded line
	default:
		h.startField(b)
	}
}

// startField checks the first byte of a field.
func (h *headReader) startField(b byte) {
	if h.fields++; h.fields > maxFields {
		h.err = TooLong.New("the head has more than %d fields", maxFields)
		return
	}
	h.part = partName
	h.checkNameByte(b)
}

// endEmptyLine checks the byte after the carriage return of an empty line.
func (h *headReader) endEmptyLine(b byte) {
	if b == '\n' {
		h.endHead()
		return
	}
	h.keep('\r')
	h.keep(b)
	h.fail("a field begins with")
}

// endHead handles the empty line after the fields.
func (h *headReader) endHead() {
	h.part = partBody
	if h.isInterim {
		h.part, h.line = partStatusLine, h.line[:0]
	}
}

// checkNameByte checks a byte of the name of a field, which is a token of RFC 9110, section 5.6.2.
func (h *headReader) checkNameByte(b byte) {
	name := h.line
	h.keep(b)
	switch {
	case b == ':' && h.isHTTP10 && bytes.EqualFold(name, []byte("Transfer-Encoding")):
		// net/http ignores the field; RFC 9112, section 6.1, calls such framing faulty.
		h.fail("a response of HTTP/1.0 has the field")
	case b == ':' && len(name) > 0:
		h.part = partValue
	case !httpguts.IsTokenRune(rune(b)):
		h.fail("a field begins with")
	}
}

// fail fails because of the kept part of the line.
func (h *headReader) fail(what string) { h.err = Malformed.New("%s %q", what, h.line) }

// readHead reads the head of the final response. Its body may have any length.
func (c *conn) readHead(r *http.Request) (*http.Response, error) {
	c.input.restart()
	c.head.restart()
	response, err := readFinalResponse(c.reader, r)
	if err == nil {
		c.input.unbound()
		c.end.expectBody(response)
		return response, nil
	}
	// net/http reports a line that was truncated by the bound, the check or the deadline as
	// malformed.
	if tooLong := c.input.Err(); tooLong != nil {
		return nil, tooLong
	}
	if err := c.head.Err(); err != nil {
		return nil, err
	}
	if !time.Now().Before(c.readDeadline) {
		err = errors.Join(os.ErrDeadlineExceeded, err)
	}
	return nil, err
}

// readFinalResponse skips interim (1xx) responses.
func readFinalResponse(in *bufio.Reader, r *http.Request) (*http.Response, error) {
	for {
		response, err := http.ReadResponse(in, r)
		if err != nil || response.StatusCode >= http.StatusOK {
			return response, err
		}
	}
}
