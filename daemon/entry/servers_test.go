package entry_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"chivespindle.example/core/balance"
	"chivespindle.example/core/calls"
	"chivespindle.example/core/fleet"
	"chivespindle.example/daemon/internal/daemontest"
	"chivespindle.example/daemon/wire"
)

var _ = Describe("Servers", func() {
	// Every server of a service fails every request. With five attempts per
	// request, retries would multiply the load on servers that are about to
	// recover. The retry budget limits them to a tenth of the requests, plus a
	// fixed number at the start. Without the budget, 100 requests cause 500
	// attempts.
	It("that all fail do not cause a retry storm", func() {
		r := newRig(6)
		for _, a := range r.agents {
			a.SetScript(abortAfterRead)
		}
		const requests, burst, retriesPerRequest, retriesPerSecond = 100, 20, 0.1, 1.0
		began := time.Now()
		for range requests {
			Expect(r.send(r.request(requestBody)).Err).To(HaveOccurred())
		}
		allowed := requests*(1+retriesPerRequest) + burst + retriesPerSecond*(1+time.Since(began).Seconds())
		Expect(r.opened()).To(BeNumerically("<=", int(allowed)))
		Expect(r.opened()).To(BeNumerically(">", requests), "number of attempts")
	})

	// Callers request a service without servers and are refused; then a server of
	// another service fails a request. Refusals for lack of a server are not
	// attempts, so the retry budget is not used and the request is retried
	// elsewhere. If each refusal takes a retry from the budget, the failed request
	// is not retried.
	It("that do not exist use none of the retry budget", func() {
		r := newRig(3)
		const refusals = 60
		for range refusals {
			req := r.request(requestBody)
			req.Service = "member-portal"
			Expect(r.send(req).Err).To(beOfType(balance.NoServer))
		}
		r.script(abortAfterRead, (*daemontest.Exchange).Echo)
		Expect(r.send(r.request(requestBody)).Err).NotTo(HaveOccurred())
	})

	// Callers with short deadlines request long responses. Each response arrives
	// piece by piece until the deadline ends it. The server is healthy and must
	// keep receiving requests. If the deadlines count as stalls of the server,
	// one of the two servers is ejected.
	It("that respond piece by piece are not ejected by callers' deadlines", func() {
		r := newRig(2)
		for _, a := range r.agents {
			a.SetScript(func(x *daemontest.Exchange) {
				x.Read()
				x.Begin(fleet.Version{})
				for x.Ctx.Err() == nil {
					x.Piece("token ")
				}
			})
		}
		const requests = 8
		for range requests {
			req := r.request(requestBody)
			req.Deadline = time.Now().Add(50 * time.Millisecond)
			Expect(r.send(req)).To(SatisfyAll(
				HaveField("Err", beOfType(calls.DeadlinePassed)), HaveField("Body", ContainSubstring("token"))))
		}
		Expect(r.eligible()).To(HaveLen(2))
	})

	// An instance is about to stop: its agent reports that it is leaving, while the
	// platform's list and the heartbeats still show it as live. After the report it
	// receives no new requests, except retries with keys of which it is the home,
	// since only it knows what ran. If the entry ignored Leaving in the report, the
	// server stayed in use.
	It("that report that they are leaving get no new requests, regardless of list and gossip", func() {
		r := newRig(2)
		leaving := r.agents[0]
		leaving.UpdateReport(func(report *wire.Report) { report.Leaving = true })
		Eventually(r.verdicts).Should(HaveKeyWithValue(leaving.Instance.ID, balance.Draining))
		before := leaving.OpenedStreams()
		const requests = 40
		for range requests {
			Expect(r.send(r.request(requestBody)).Err).NotTo(HaveOccurred())
		}
		Expect(leaving.OpenedStreams()).To(Equal(before))
		Expect(r.send(r.nonIdempotentRequest(leaving, requestBody)).Err).NotTo(HaveOccurred())
		Expect(leaving.OpenedStreams()).To(Equal(before + 1))
	})

	// The same for an agent whose gate is closed, for example while its engine
	// loads. If the entry ignored Admitting in the report, the server stayed in
	// use.
	It("whose gate is closed get no new requests", func() {
		r := newRig(2)
		closed := r.agents[0]
		closed.UpdateReport(func(report *wire.Report) { report.Admitting = false })
		Eventually(r.verdicts).Should(HaveKeyWithValue(closed.Instance.ID, balance.Draining))
		const requests = 40
		for range requests {
			Expect(r.send(r.request(requestBody)).Err).NotTo(HaveOccurred())
		}
		Expect(closed.OpenedStreams()).To(BeZero())
		closed.UpdateReport(func(report *wire.Report) { report.Admitting = true })
		Eventually(r.eligible).Should(HaveLen(2))
	})

	// The stream of an agent's reports fails and cannot be opened again, because
	// the agent hangs or the link has failed. Its load is unknown, and so is
	// whether it is leaving, so it receives no requests until it reports again. If
	// the loss of the stream is not recorded, the server stays in use.
	It("whose reports are lost get no requests until they report again", func() {
		r := newRig(2)
		silenced := r.agents[0]
		silenced.StopReports()
		Eventually(r.verdicts).Should(SatisfyAll(HaveLen(1), Not(HaveKey(silenced.Instance.ID))))
		const requests = 20
		for range requests {
			Expect(r.send(r.request(requestBody)).Err).NotTo(HaveOccurred())
		}
		Expect(silenced.OpenedStreams()).To(BeZero())
	})

	// All datagrams of an agent are dropped, and no connection closes. The entry
	// removes the agent after the time in which several reports should have
	// arrived, long before QUIC detects the dead connection. Without the stall
	// timeout of the stream, the agent is still in use after 20 s.
	It("whose datagrams are dropped are removed although no connection closes", func() {
		r := newRig(2)
		isolated := r.agents[0]
		isolated.Link.Block(r.Self.PeerAddr)
		Eventually(r.eligible).Should(ConsistOf(r.agents[1].Instance.ID))
		Expect(r.send(r.request(requestBody)).Err).NotTo(HaveOccurred())
		Expect(isolated.OpenedStreams()).To(BeZero())
	})
})
