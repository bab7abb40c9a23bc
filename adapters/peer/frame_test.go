package peer

import (
	"bytes"
	"errors"
	"io"
	"testing"

	"github.com/joomcode/errorx"
	"github.com/onsi/gomega"

	"chivespindle.example/core/failure"
)

func unlimited(int) error { return nil }

// FuzzFrames passes arbitrary bytes to the frame decoder. It must neither panic
// nor return more than the limit, and each failure must be of a known type. A
// decoded frame must encode to the same bytes.
func FuzzFrames(f *testing.F) {
	const limit = 1000
	var good bytes.Buffer
	if err := appendMessage(&good, map[int]any{1: "text", 2: []int{1, 2, 3}, 3: []byte{4}}, limit); err != nil {
		f.Fatal(err)
	}
	raw := frameHeader(frameRaw, 3)
	f.Add(good.Bytes())
	f.Add(good.Bytes()[:good.Len()-1])
	f.Add(append(raw[:], 1, 2, 3))
	f.Add([]byte{1, 0xff, 0xff, 0xff, 0})                                 // length above the limit
	f.Add([]byte{1, 0, 0, 5, 0x9b, 0xff, 0xff, 0xff, 0xff})               // huge array length
	f.Add(append([]byte{1, 0, 0, 40}, bytes.Repeat([]byte{0x81}, 40)...)) // nested too deeply
	f.Add([]byte{1, 0, 0, 2, 0x9f, 0xff})                                 // indefinite length
	f.Add([]byte{1, 0, 0, 5, 0xa2, 1, 1, 1, 1})                           // duplicate key
	f.Fuzz(func(t *testing.T, input []byte) {
		g := gomega.NewWithT(t)
		expectKnown := func(err error) {
			known := errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) ||
				errorx.IsOfType(err, failure.Corrupt) || errorx.IsOfType(err, TooLarge)
			g.Expect(known).To(gomega.BeTrue(), "%v", err)
		}
		var typed struct {
			Text  string `cbor:"1,keyasint"`
			Parts []int  `cbor:"2,keyasint"`
		}
		if _, err := readMessage(bytes.NewReader(input), new(bytes.Buffer), &typed, limit, unlimited); err != nil {
			expectKnown(err)
		}
		var untyped any
		if _, err := readMessage(bytes.NewReader(input), new(bytes.Buffer), &untyped, limit, unlimited); err != nil {
			expectKnown(err)
		}
		payload, err := readRaw(bytes.NewReader(input), nil)
		if err != nil {
			expectKnown(err)
			return
		}
		head := frameHeader(frameRaw, len(payload))
		g.Expect(bytes.HasPrefix(input, append(head[:], payload...))).To(gomega.BeTrue())
	})
}
