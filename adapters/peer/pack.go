package peer

import (
	"bytes"
	"compress/flate"
	"io"

	"chivespindle.example/core/failure"
)

// Pack encodes v as Send does and compresses the result. It is meant for large
// messages that are the same for many peers, such as a configuration. The
// result is sent with SendBytes.
func Pack(v any) ([]byte, error) {
	var raw, packed bytes.Buffer
	if err := encoder.MarshalToBuffer(v, &raw); err != nil {
		return nil, failure.Internal.Wrap(err, "encode a message of type %T", v)
	}
	w, err := flate.NewWriter(&packed, flate.DefaultCompression)
	if err != nil {
		return nil, failure.Internal.Wrap(err, "compressor")
	}
	if _, err := w.Write(raw.Bytes()); err != nil {
		return nil, failure.Internal.Wrap(err, "compress a message of type %T", v)
	}
	if err := w.Close(); err != nil {
		return nil, failure.Internal.Wrap(err, "compress a message of type %T", v)
	}
	return packed.Bytes(), nil
}

// Unpack decodes the result of Pack into v. A message of more than maxBytes
// uncompressed bytes is TooLarge: a few kilobytes may decompress to gigabytes.
func Unpack(packed []byte, v any, maxBytes int) error {
	raw, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), int64(maxBytes)+1))
	if err != nil {
		return failure.Corrupt.Wrap(err, "decompress a message of type %T", v)
	}
	if len(raw) > maxBytes {
		return TooLarge.New("message of type %T takes over %d bytes uncompressed", v, maxBytes)
	}
	if err := decoder.Unmarshal(raw, v); err != nil {
		return failure.Corrupt.Wrap(err, "decode a message of type %T", v)
	}
	return nil
}
