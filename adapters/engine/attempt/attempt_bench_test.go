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

func respondShort(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	_, _ = io.WriteString(w, "answer")
}

// BenchmarkNewConnection measures an attempt as it is made, on a new connection.
// Server and client run on one machine.
func BenchmarkNewConnection(b *testing.B) {
	server := httptest.NewServer(http.HandlerFunc(respondShort))
	defer server.Close()
	client := attempt.New(netip.MustParseAddrPort(server.Listener.Addr().String()))
	for b.Loop() {
		if _, err := send(b.Context(), client, request("mast chain")); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkKeepAlive measures the same request with the default client of net/http,
// for comparison.
func BenchmarkKeepAlive(b *testing.B) {
	server := httptest.NewServer(http.HandlerFunc(respondShort))
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
