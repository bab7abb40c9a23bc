package main

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// rolloutServer replays a recorded rollout from r2 to r3: the first status
// precedes it, and the last one is that of its end.
func rolloutServer() netip.AddrPort {
	var pages [][]byte
	for i := 1; i <= 9; i++ {
		pages = append(pages, recordedStatus(fmt.Sprintf("rollout-%d", i)))
	}
	return statusServer(pages...)
}

type servers = map[string]netip.AddrPort

func explainServer(status int, name string) netip.AddrPort {
	page := recordedStatus(name)
	mux := http.NewServeMux()
	mux.HandleFunc("GET /explain", func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = w.Write(page)
	})
	return start(mux)
}

var _ = DescribeTable("Sessions with processes",
	func(name, args string, newServers func() servers) {
		session{args: args, servers: newServers()}.expectGolden(name)
	},
	func(name, _ string, _ func() servers) string { return name },
	Entry(nil, "status", "status --ops {ENTRY}",
		func() servers { return servers{"ENTRY": statusServer(recordedStatus("rollout-6"))} }),
	Entry(nil, "status-json", "status --output json --ops {ENTRY}",
		func() servers { return servers{"ENTRY": statusServer(recordedStatus("rollout-6"))} }),
	Entry(nil, "status-instances", "status --instances --ops {ENTRY}",
		func() servers { return servers{"ENTRY": statusServer(recordedStatus("silent"))} }),
	Entry(nil, "status-refused", "status --ops {ENTRY}",
		func() servers { return servers{"ENTRY": statusServer(recordedStatus("refused"))} }),
	// The first address is that of an outdated entry, the third entry has
	// another configuration under the same revision, and nothing listens at the
	// fourth address.
	Entry(nil, "status-entries", "status --ops {ENTR2} --ops {ENTR1} --ops {ENTR3} --ops {NOONE}",
		func() servers {
			return servers{
				"ENTR1": statusServer(recordedStatus("rollout-9", `"conflicts": 0`, `"conflicts": 1`)),
				"ENTR2": statusServer(recordedStatus("rollout-1")),
				"ENTR3": statusServer(recordedStatus("rollout-9", `"digest": "b8cc`, `"digest": "aacc`, "entry-1", "entry-2")),
				"NOONE": unusedAddr(),
			}
		}),
	Entry(nil, "status-agent", "status --ops {AGENT}",
		func() servers { return servers{"AGENT": statusServer(recordedStatus("agent-plain"))} }),
	Entry(nil, "status-unreachable", "status --ops {NOONE}",
		func() servers { return servers{"NOONE": unusedAddr()} }),
	Entry(nil, "status-unreachable-json", "status --output json --ops {NOONE}",
		func() servers { return servers{"NOONE": unusedAddr()} }),
	Entry(nil, "status-frozen", "status --timeout 50ms --ops {AGENT}",
		func() servers { return servers{"AGENT": hangingServer()} }),
	Entry(nil, "instance-fetching", "status --instance --ops {AGENT}",
		func() servers { return servers{"AGENT": statusServer(recordedStatus("agent-fetching"))} }),
	Entry(nil, "instance-staged", "status --instance --ops {AGENT}",
		func() servers { return servers{"AGENT": statusServer(recordedStatus("agent-staged"))} }),
	Entry(nil, "instance-plain-json", "status --instance --output json --ops {AGENT}",
		func() servers { return servers{"AGENT": statusServer(recordedStatus("agent-plain"))} }),
	Entry(nil, "instance-entry", "status --instance --ops {ENTRY}",
		func() servers { return servers{"ENTRY": statusServer(recordedStatus("silent"))} }),

	Entry(nil, "follow", "follow --revision 4 --every 1ms --ops {ENTRY}",
		func() servers { return servers{"ENTRY": rolloutServer()} }),
	Entry(nil, "follow-instances", "follow workshop-assist --instances --revision 4 --every 1ms --ops {ENTRY}",
		func() servers { return servers{"ENTRY": rolloutServer()} }),
	Entry(nil, "follow-json", "follow workshop-assist --revision 4 --every 1ms --output json --ops {ENTRY}",
		func() servers { return servers{"ENTRY": rolloutServer()} }),
	Entry(nil, "follow-refused", "follow --every 1ms --ops {ENTRY}",
		func() servers { return servers{"ENTRY": statusServer(recordedStatus("refused"))} }),
	Entry(nil, "follow-timeout", "follow --every 1h --ops {ENTRY}",
		func() servers { return servers{"ENTRY": statusServer(recordedStatus("rollout-6"))} }),
	Entry(nil, "follow-unknown", "follow nothing --ops {ENTRY}",
		func() servers { return servers{"ENTRY": statusServer(recordedStatus("rollout-9"))} }),
	Entry(nil, "follow-unreachable", "follow --ops {NOONE}",
		func() servers { return servers{"NOONE": unusedAddr()} }),

	Entry(nil, "explain", "explain spindle-pool --prefix fault-log --ops {NOONE} --ops {ENTRY}",
		func() servers {
			return servers{"NOONE": unusedAddr(), "ENTRY": explainServer(http.StatusOK, "explain")}
		}),
	Entry(nil, "explain-json", "explain spindle-pool --output json --ops {ENTRY}",
		func() servers { return servers{"ENTRY": explainServer(http.StatusOK, "explain")} }),
	Entry(nil, "explain-unknown", "explain nothing --ops {ENTRY}",
		func() servers {
			return servers{"ENTRY": explainServer(http.StatusNotFound, "explain-unknown")}
		}),
)

var _ = Describe("follow", func() {
	// An operator follows a rollout while the entry is replaced: it responds
	// once, is unreachable for a while, and responds again when the rollout has
	// finished. The client reports this once and continues.
	It("continues while no entry responds", func(ctx SpecContext) {
		requests := 0
		addr := start(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			requests++ // polls are sequential
			switch requests {
			case 1:
				_, _ = w.Write(recordedStatus("rollout-5"))
			case 2, 3, 4:
				panic(http.ErrAbortHandler)
			default:
				_, _ = w.Write(recordedStatus("rollout-9"))
			}
		}))
		r := session{args: "follow --every 1ms --ops {ENTRY}", servers: servers{"ENTRY": addr}}.run(ctx)
		Expect(r.code).To(Equal(exitOK), r.stderr)
		Expect(r.stdout).To(MatchRegexp(`(?s)0 of 4 serve.*unavailable: 127.0.0.1:ENTRY cannot be asked[^\n]*\n[^\n]*4 of 4 serve.*finished`))
	})

	It("reports what it was waiting for when it is stopped", func() {
		ctx, cancel := context.WithCancel(context.Background())
		var stderr bytes.Buffer
		c := &client{stdout: writerFunc(cancel), stderr: &stderr, now: time.Now, sleep: sleep}
		code := c.run(ctx, []string{"follow", "--every", "1h", "--ops", statusServer(recordedStatus("rollout-8")).String()})
		Expect(code).To(Equal(exitFailure))
		Expect(stderr.String()).To(HavePrefix("chivespindle.canceled: stopped while spindle-pool: 3 of 4 serve"))
	})
})

// writerFunc is called at each write.
type writerFunc func()

func (f writerFunc) Write(p []byte) (int, error) {
	f()
	return len(p), nil
}
