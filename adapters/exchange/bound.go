package exchange

import (
	"io"
	"math"

	"chivespindle.example/core/failure"
)

// MaxHeadBytes bounds the head of a response, together with the interim responses before it.
// The heads of sound servers have less than 1 KiB. 10 MB, the default of net/http, is too much
// for a process with a memory limit of 284 MB: parsed header lines take six times their size.
// net/http itself bounds trailers and the lines between chunks, to 4 KiB.
const MaxHeadBytes = 64 << 10

// TooLong is the type of the error of a response that is longer than its bound: its sender
// may send without end.
var TooLong = failure.Corrupt.NewSubtype("response_too_long")

// BoundedReader reads up to a number of bytes, and fails with TooLong if more follow. It takes
// a byte beyond the bound from its source only if it is read from once more.
type BoundedReader struct {
	source   io.Reader
	what     string // for the error
	limit    int64
	left     int64
	exceeded bool
}

// NewBoundedReader returns a reader of at most limit bytes. what names them in the error.
func NewBoundedReader(source io.Reader, limit int64, what string) *BoundedReader {
	return &BoundedReader{source: source, what: what, limit: limit, left: limit}
}

// restart bounds the bytes that follow.
func (b *BoundedReader) restart() { b.left = b.limit }

// unbound lets any number of bytes follow, until restart.
func (b *BoundedReader) unbound() { b.left = math.MaxInt64 }

// Err returns the failure of a source that has exceeded the bound. Parsers may return another
// one for a line that ended there.
func (b *BoundedReader) Err() error {
	if !b.exceeded {
		return nil
	}
	return TooLong.New("%s is longer than %d bytes", b.what, b.limit)
}

// Read implements io.Reader.
func (b *BoundedReader) Read(p []byte) (int, error) {
	switch {
	case b.exceeded:
		return 0, b.Err()
	case b.left == 0:
		n, err := b.source.Read(make([]byte, 1))
		if b.exceeded = n > 0; b.exceeded {
			return 0, b.Err()
		}
		return 0, err
	}
	n, err := b.source.Read(p[:min(int64(len(p)), b.left)])
	b.left -= int64(n)
	return n, err
}

// ReadAll reads source to its end, with at most limit bytes. what names them in the error.
// After a failure it also returns what was read before.
func ReadAll(source io.Reader, limit int64, what string) ([]byte, error) {
	return io.ReadAll(NewBoundedReader(source, limit, what))
}
