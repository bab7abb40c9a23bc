package main

import (
	"context"
	"io"
	"net/http"
	"net/netip"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// withoutTrailer serves an entry whose response body ends normally, but without
// the trailer that proves it complete. announced says whether the header
// declares the trailer.
func withoutTrailer(announced bool) func() servers {
	return func() servers {
		mux := http.NewServeMux()
		addr := start(mux)
		mux.HandleFunc("GET /v1/addresses", func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, `{"addresses":["`+addr.String()+`"],"ttl_seconds":1}`)
		})
		mux.HandleFunc("POST /v1/services/", func(w http.ResponseWriter, _ *http.Request) {
			if announced {
				w.Header().Set("Trailer", "Request-Outcome")
			}
			_, _ = io.WriteString(w, "half an ans")
		})
		return servers{"ENTRY": addr}
	}
}

func oneEntry() servers { return servers{"ENTRY": newEntry()} }

func secondEntry() servers { return servers{"NOONE": unusedAddr(), "ENTRY": newEntry()} }

func noEntry() servers { return servers{"NOONE": unusedAddr()} }

var _ = DescribeTable("Sessions of callers",
	func(name, args string, newServers func() servers) {
		session{args: args, stdin: `{"prompt":"E14"}`, servers: newServers()}.expectGolden(name)
	},
	func(name, _ string, _ func() servers) string { return name },
	Entry(nil, "addresses", "addresses --zone apapa-hall --region lagos --entry {ENTRY}", oneEntry),
	Entry(nil, "addresses-json", "addresses --output json --entry {NOONE} --entry {ENTRY}", secondEntry),
	Entry(nil, "addresses-none", "addresses --zone empty-hall --entry {ENTRY}", oneEntry),
	Entry(nil, "addresses-unreachable", "addresses --entry {NOONE}", noEntry),
	Entry(nil, "addresses-frozen", "addresses --timeout 50ms --entry {ENTRY}",
		func() servers { return servers{"ENTRY": hangingServer()} }),
	Entry(nil, "key", "key workshop-api --entry {ENTRY}", oneEntry),
	Entry(nil, "key-json", "key workshop-api --output json --entry {ENTRY}", oneEntry),
	Entry(nil, "key-unknown", "key nothing --entry {ENTRY}", oneEntry),

	Entry(nil, "request", "request spindle-pool --body - --entry {NOONE} --entry {ENTRY}", secondEntry),
	Entry(nil, "request-json", "request spindle-pool --output json --entry {ENTRY}", oneEntry),
	Entry(nil, "request-flags", "request spindle-pool --path notes/7 --body testdata/texts/bad.ini --workspace apapa --key k-1 "+
		"--non-idempotent --priority u=1 --deadline 5s --prefix fault-log --entry {ENTRY}", oneEntry),
	Entry(nil, "request-not-run", "request full --entry {ENTRY}", oneEntry),
	Entry(nil, "request-not-run-json", "request full --output json --entry {ENTRY}", oneEntry),
	Entry(nil, "request-unreachable", "request spindle-pool --entry {NOONE}", noEntry),
	Entry(nil, "request-no-addresses", "request spindle-pool --timeout 50ms --entry {ENTRY}",
		func() servers { return servers{"ENTRY": hangingServer()} }),
	Entry(nil, "request-unknown", "request lost --entry {ENTRY}", oneEntry),
	Entry(nil, "request-cut", "request cut --entry {ENTRY}", oneEntry),
	Entry(nil, "request-cut-json", "request cut --output json --entry {ENTRY}", oneEntry),
	Entry(nil, "request-no-trailer", "request spindle-pool --entry {ENTRY}", withoutTrailer(true)),
	Entry(nil, "request-no-entry", "request spindle-pool --entry {ENTRY}", withoutTrailer(false)),
	Entry(nil, "request-ran-before", "request repeated --key k-1 --non-idempotent --entry {ENTRY}", oneEntry),
)

// Guards against an exit code that a script could take for a request that may
// be sent again. A user interrupts a request that hangs, and nothing proves
// that it was not run.
var _ = It("reports an unknown outcome when a request that was sent is interrupted", func() {
	ctx, cancel := context.WithCancel(context.Background())
	var addr netip.AddrPort
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/addresses", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, `{"addresses":["`+addr.String()+`"],"ttl_seconds":1}`)
	})
	mux.HandleFunc("POST /v1/services/", func(_ http.ResponseWriter, r *http.Request) {
		cancel()
		<-r.Context().Done()
	})
	addr = start(mux)
	r := session{args: "request s --entry {ENTRY}", servers: servers{"ENTRY": addr}}.run(ctx)
	Expect(r.code).To(Equal(exitUnknown))
	Expect(r.stderr).To(ContainSubstring("outcome=unknown entry=127.0.0.1:ENTRY"))
})
