package attempt_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"

	"chivespindle.example/adapters/engine/attempt"
)

func answerShort(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	_, _ = io.WriteString(w, "answer")
}

// BenchmarkOwnConnection is the price of an attempt as it is made: with a
// connection of its own. Server and client are on one machine.
func BenchmarkOwnConnection(b *testing.B) {
	server := httptest.NewServer(http.HandlerFunc(answerShort))
	defer server.Close()
	client := attempt.New(netip.MustParseAddrPort(server.Listener.Addr().String()))
	for b.Loop() {
		if _, err := send(b.Context(), client, request("mast chain")); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkKeptConnection is the same request by the usual client of
// net/http, for comparison.
func BenchmarkKeptConnection(b *testing.B) {
	server := httptest.NewServer(http.HandlerFunc(answerShort))
	defer server.Close()
	for b.Loop() {
		response, err := server.Client().Post(server.URL, "text/plain", strings.NewReader("mast chain"))
		if err != nil {
			b.Fatal(err)
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			b.Fatal(err)
		}
		if err := response.Body.Close(); err != nil {
			b.Fatal(err)
		}
	}
}
