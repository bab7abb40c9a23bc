package peer

import (
	"bytes"
	"encoding/binary"
	"errors"
	"io"

	"github.com/fxamacker/cbor/v2"

	"chivespindle.example/core/failure"
)

// A frame is a header of four bytes, big endian, and the payload. The top byte
// of the header is the frame's type, the lower three are the payload's length.
const (
	headerBytes   = 4
	lengthBits    = 24
	maxFrameBytes = 1<<lengthBits - 1

	// MaxRawFrame is the largest payload of SendBytes.
	MaxRawFrame = 256 << 10
)

type frameType uint8

const (
	frameMessage frameType = 1 // one CBOR item
	frameRaw     frameType = 2 // raw bytes
)

// Limits on the values that the decoder builds from one message.
const (
	maxNesting  = 16
	maxElements = 1 << 16
)

// readStepBytes is how much of a frame is buffered at a time, so that memory is
// allocated only for bytes that arrive and not for the length that a header
// claims.
const readStepBytes = 64 << 10

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

// mustMode panics only if the options above contradict each other.
func mustMode[T any](mode T, err error) T {
	if err != nil {
		panic(failure.Internal.Wrap(err, "CBOR options"))
	}
	return mode
}

func frameHeader(kind frameType, length int) [headerBytes]byte {
	var encoded [headerBytes]byte
	binary.BigEndian.PutUint32(encoded[:], uint32(kind)<<lengthBits|uint32(length))
	return encoded
}

// appendMessage appends one CBOR message as a frame to buf. On failure, buf is
// unchanged.
func appendMessage(buf *bytes.Buffer, v any, limit int) error {
	start := buf.Len()
	buf.Write(make([]byte, headerBytes))
	if err := encoder.MarshalToBuffer(v, buf); err != nil {
		buf.Truncate(start)
		return failure.Internal.Wrap(err, "encode a message of type %T", v)
	}
	length := buf.Len() - start - headerBytes
	if length > limit {
		buf.Truncate(start)
		return TooLarge.New("message of type %T takes %d bytes, the limit is %d", v, length, limit)
	}
	head := frameHeader(frameMessage, length)
	copy(buf.Bytes()[start:], head[:])
	return nil
}

// readHeader returns the payload length of the next frame. The error is io.EOF
// when the peer finished sending between two frames, Corrupt when the frame has
// another type, and TooLarge above the limit.
func readHeader(r io.Reader, want frameType, limit int) (int, error) {
	var raw [headerBytes]byte
	if _, err := io.ReadFull(r, raw[:]); err != nil {
		return 0, err
	}
	header := binary.BigEndian.Uint32(raw[:])
	if got := frameType(header >> lengthBits); got != want {
		return 0, failure.Corrupt.New("frame has type %d, expected %d", got, want)
	}
	length := int(header & maxFrameBytes)
	if length > limit {
		return 0, TooLarge.New("frame of %d bytes, the limit is %d", length, limit)
	}
	return length, nil
}

// readMessage reads one CBOR frame into v, using buf as scratch space, and
// returns the size of the frame in bytes. hold is called with the memory that
// the message takes before it is taken, and may fail.
func readMessage(r io.Reader, buf *bytes.Buffer, v any, limit int, hold func(bytes int) error) (int, error) {
	length, err := readHeader(r, frameMessage, limit)
	if err != nil {
		return 0, err
	}
	for buf.Len() < length {
		step := min(length-buf.Len(), readStepBytes)
		if err := hold(step); err != nil {
			return 0, err
		}
		if _, err := io.CopyN(buf, r, int64(step)); err != nil {
			return 0, truncated(err)
		}
	}
	containers, err := countContainers(buf.Bytes())
	if err != nil {
		return 0, err
	}
	if err := hold(containers * containerBytes); err != nil {
		return 0, err
	}
	if err := decoder.Unmarshal(buf.Bytes(), v); err != nil {
		return 0, failure.Corrupt.Wrap(err, "decode a message of type %T", v)
	}
	return headerBytes + length, nil
}

// readRaw reads one raw frame into buf, or into a new slice if buf is too
// small.
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

// truncated converts the end of the stream inside a frame into a failure, since
// io.EOF tells callers that the stream ended properly.
func truncated(err error) error {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return failure.Corrupt.New("the stream ended inside a frame")
	}
	return err
}
