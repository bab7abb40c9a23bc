package peer

import (
	"bytes"
	"encoding/binary"
	"errors"
	"io"

	"github.com/fxamacker/cbor/v2"

	"chivespindle.example/core/failure"
)

// A frame is four bytes of header, big endian, then the payload. The top byte
// of the header is the frame's type, the lower three are the length.
const (
	headerSize     = 4
	lengthBits     = 24
	maxFrameLength = 1<<lengthBits - 1

	// MaxRawFrame is the largest payload of SendBytes.
	MaxRawFrame = 256 << 10
)

type frameType uint8

const (
	frameMessage frameType = 1 // one CBOR item
	frameRaw     frameType = 2 // bytes as they are
)

// Bounds of what one message may make the decoder build.
const (
	maxNesting  = 16
	maxElements = 1 << 16
)

// readStep is how much of a frame is asked for at a time, so that a header
// that promises a megabyte costs a megabyte only when the bytes come.
const readStep = 64 << 10

var (
	encoder = mustMode(cbor.EncOptions{
		IndefLength: cbor.IndefLengthForbidden,
	}.UserBufferEncMode())
	decoder = mustMode(cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		IndefLength:      cbor.IndefLengthForbidden,
		MaxNestedLevels:  maxNesting,
		MaxArrayElements: maxElements,
		MaxMapPairs:      maxElements,
	}.DecMode())
)

// mustMode fails only when the constants above contradict each other.
func mustMode[T any](mode T, err error) T {
	if err != nil {
		panic(failure.Internal.Wrap(err, "CBOR options"))
	}
	return mode
}

func header(kind frameType, length int) [headerSize]byte {
	var out [headerSize]byte
	binary.BigEndian.PutUint32(out[:], uint32(kind)<<lengthBits|uint32(length))
	return out
}

// appendMessage adds the frame of one CBOR message to buf.
func appendMessage(buf *bytes.Buffer, v any, limit int) error {
	start := buf.Len()
	buf.Write(make([]byte, headerSize))
	if err := encoder.MarshalToBuffer(v, buf); err != nil {
		buf.Truncate(start)
		return failure.Internal.Wrap(err, "encode a message of type %T", v)
	}
	length := buf.Len() - start - headerSize
	if length > limit {
		buf.Truncate(start)
		return TooLarge.New("message of type %T takes %d bytes, the limit is %d", v, length, limit)
	}
	head := header(frameMessage, length)
	copy(buf.Bytes()[start:], head[:])
	return nil
}

// readHeader returns the length of the next frame. It is io.EOF when the
// other side finished between two frames, Corrupt when the frame is of another
// type and TooLarge above the limit.
func readHeader(r io.Reader, want frameType, limit int) (int, error) {
	var raw [headerSize]byte
	if _, err := io.ReadFull(r, raw[:]); err != nil {
		return 0, err
	}
	word := binary.BigEndian.Uint32(raw[:])
	if got := frameType(word >> lengthBits); got != want {
		return 0, failure.Corrupt.New("frame has type %d, expected %d", got, want)
	}
	length := int(word & maxFrameLength)
	if length > limit {
		return 0, TooLarge.New("frame of %d bytes, the limit is %d", length, limit)
	}
	return length, nil
}

// readMessage reads one CBOR frame into v, by way of buf, and returns the
// bytes that it took.
func readMessage(r io.Reader, buf *bytes.Buffer, v any, limit int) (int, error) {
	length, err := readHeader(r, frameMessage, limit)
	if err != nil {
		return 0, err
	}
	for buf.Len() < length {
		step := min(length-buf.Len(), readStep)
		if _, err := io.CopyN(buf, r, int64(step)); err != nil {
			return 0, truncated(err)
		}
	}
	if err := decoder.Unmarshal(buf.Bytes(), v); err != nil {
		return 0, failure.Corrupt.Wrap(err, "decode a message of type %T", v)
	}
	return headerSize + length, nil
}

// readRaw reads one raw frame into buf, or into a new slice if buf is short.
func readRaw(r io.Reader, buf []byte) ([]byte, error) {
	length, err := readHeader(r, frameRaw, MaxRawFrame)
	if err != nil {
		return nil, err
	}
	if cap(buf) < length {
		buf = make([]byte, length)
	}
	buf = buf[:length]
	if _, err := io.ReadFull(r, buf); err != nil {
		return nil, truncated(err)
	}
	return buf, nil
}

// truncated turns the end of the stream inside a frame into a failure, since
// io.EOF means a proper end to the caller.
func truncated(err error) error {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return failure.Corrupt.New("the stream ended inside a frame")
	}
	return err
}
