package exchange

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"testing"
	"testing/iotest"

	"golang.org/x/net/http/httpguts"

	"chivespindle.example/adapters/exchange/exchangetest"
)

// FuzzHead guards against a malformed response that passes the check since its bytes are
// divided otherwise, or since the check and net/http see different lines.
func FuzzHead(f *testing.F) {
	for _, response := range exchangetest.Malformed("X: 1\r\n", "hi") {
		f.Add([]byte(response.Begin))
	}
	f.Add([]byte(exchangetest.Sound("X: a\r\n b: c\r\n", "hi").Begin))
	f.Fuzz(func(t *testing.T, text []byte) {
		whole, wholeErr := readChecked(bytes.NewReader(text))
		divided, dividedErr := readChecked(iotest.OneByteReader(bytes.NewReader(text)))
		if (wholeErr == nil) != (dividedErr == nil) {
			t.Fatalf("the whole response: %v; byte by byte: %v", wholeErr, dividedErr)
		}
		if wholeErr != nil {
			return
		}
		for _, response := range []*http.Response{whole, divided} {
			if response.StatusCode < http.StatusOK || response.StatusCode > maxStatusCode {
				t.Errorf("status %d is accepted", response.StatusCode)
			}
			for name := range response.Header {
				if !httpguts.ValidHeaderFieldName(name) {
					t.Errorf("the name %q is accepted", name)
				}
			}
		}
	})
}

func readChecked(source io.Reader) (*http.Response, error) {
	return readFinalResponse(bufio.NewReader(newHeadReader(source)), nil)
}
