package peer

import (
	"bytes"
	"compress/flate"
	"io"

	"chivespindle.example/core/failure"
)

// Pack returns a message that is large and the same for many peers, such as a
// configuration, encoded as Send does and compressed. It is sent by SendBytes.
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

// Unpack reads what Pack returned into v. A message that takes more than most
// bytes uncompressed is TooLarge: a few kilobytes may stand for gigabytes.
func Unpack(packed []byte, v any, most int) error {
	raw, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), int64(most)+1))
	if err != nil {
		return failure.Corrupt.Wrap(err, "decompress a message of type %T", v)
	}
	if len(raw) > most {
		return TooLarge.New("message of type %T takes over %d bytes uncompressed", v, most)
	}
	if err := decoder.Unmarshal(raw, v); err != nil {
		return failure.Corrupt.Wrap(err, "decode a message of type %T", v)
	}
	return nil
}
