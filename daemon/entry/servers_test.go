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
	// Every server of a service fails every request, and callers go on asking.
	// Each may be tried five times; together they would make five times the load
	// on what is about to recover. The budget of retries holds them to a tenth
	// more than what is asked, beside a fixed number at the start.
	// Seen with the policy granting retries without the budget: 500 tries of 100
	// requests.
	It("that all fail get no storm of retries", func() {
		r := newRig(6)
		for _, a := range r.agents {
			a.SetScript(afterPassingOn)
		}
		const requests, burst, perRequest, perSecond = 100, 20, 0.1, 1.0
		began := time.Now()
		for range requests {
			Expect(r.send(r.request(work)).Err).To(HaveOccurred())
		}
		allowed := requests*(1+perRequest) + burst + perSecond*(1+time.Since(began).Seconds())
		Expect(r.opened()).To(BeNumerically("<=", int(allowed)))
		Expect(r.opened()).To(BeNumerically(">", requests), "retries were made")
	})

	// Callers ask for a service without servers, each refused at once, and then a
	// server of another service fails a request. Refusals for want of a server
	// are no tries, so the budget is whole and the request is tried elsewhere.
	// Seen before the mend, and with it taken out: each refusal took a retry from
	// the budget, and the request that failed was not tried again.
	It("that are not there cost others no retries", func() {
		r := newRig(3)
		const refusals = 60
		for range refusals {
			req := r.request(work)
			req.Service = "member-portal"
			Expect(r.send(req).Err).To(beOfType(balance.NoServer))
		}
		r.script(afterPassingOn, (*daemontest.Exchange).Echo)
		Expect(r.send(r.request(work)).Err).NotTo(HaveOccurred())
	})

	// Callers ask for long answers and wait for a short time. Each answer comes
	// piece by piece until its caller's deadline cuts it. The server has done
	// nothing wrong, and goes on getting requests.
	// Seen before the mend, and with it taken out: the deadlines counted as stalls
	// of the server, and one of the two was ejected.
	It("that answer in time, piece by piece, are not ejected by callers' deadlines", func() {
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
			req := r.request(work)
			req.Deadline = time.Now().Add(50 * time.Millisecond)
			Expect(r.send(req)).To(SatisfyAll(
				HaveField("Err", beOfType(calls.DeadlinePassed)), HaveField("Body", ContainSubstring("token"))))
		}
		Expect(r.eligible()).To(HaveLen(2))
	})

	// An instance is about to be stopped: its agent reports that it leaves, while
	// the platform's list still shows it as live and no heartbeat says otherwise.
	// Once the report is here no new request goes to it; one that asks again with
	// a key of its still does, since it alone knows what ran.
	// Seen with Leaving not looked at in the report: it was never taken out.
	It("that report to leave get no new work, whatever list and gossip say", func() {
		r := newRig(2)
		leaving := r.agents[0]
		leaving.UpdateReport(func(report *wire.Report) { report.Leaving = true })
		Eventually(r.verdicts).Should(HaveKeyWithValue(leaving.Instance.ID, balance.Draining))
		before := leaving.OpenedStreams()
		const requests = 40
		for range requests {
			Expect(r.send(r.request(work)).Err).NotTo(HaveOccurred())
		}
		Expect(leaving.OpenedStreams()).To(Equal(before))
		Expect(r.send(r.order(leaving, work)).Err).NotTo(HaveOccurred())
		Expect(leaving.OpenedStreams()).To(Equal(before + 1))
	})

	// The same for an agent whose gate is closed, as while its engine loads.
	// Seen with Admitting not looked at in the report: it was never taken out.
	It("whose gate is closed get no new work", func() {
		r := newRig(2)
		closed := r.agents[0]
		closed.UpdateReport(func(report *wire.Report) { report.Admitting = false })
		Eventually(r.verdicts).Should(HaveKeyWithValue(closed.Instance.ID, balance.Draining))
		const requests = 40
		for range requests {
			Expect(r.send(r.request(work)).Err).NotTo(HaveOccurred())
		}
		Expect(closed.OpenedStreams()).To(BeZero())
		closed.UpdateReport(func(report *wire.Report) { report.Admitting = true })
		Eventually(r.eligible).Should(HaveLen(2))
	})

	// The stream of an agent's reports breaks and does not come back: the agent
	// hangs, or the link to it does. Nobody knows its load or whether it leaves,
	// so it is out until it reports again; the others take all requests.
	// Seen with the loss of reports not noted: it was never taken out.
	It("whose reports are lost are out until they come again", func() {
		r := newRig(2)
		lost := r.agents[0]
		lost.StopReports()
		Eventually(r.verdicts).Should(SatisfyAll(HaveLen(1), Not(HaveKey(lost.Instance.ID))))
		const requests = 20
		for range requests {
			Expect(r.send(r.request(work)).Err).NotTo(HaveOccurred())
		}
		Expect(lost.OpenedStreams()).To(BeZero())
	})

	// An agent is cut off: its datagrams are dropped, and no connection closes.
	// Its reports stop coming, and the entry takes it out after the time in which
	// several should have come, long before QUIC finds the connection dead.
	// Seen without the progress deadline of the stream: still in after 20 s.
	It("that are cut off are taken out though no connection closes", func() {
		r := newRig(2)
		cut := r.agents[0]
		cut.Link.Block(r.Self.PeerAddr)
		Eventually(r.eligible).Should(ConsistOf(r.agents[1].Instance.ID))
		Expect(r.send(r.request(work)).Err).NotTo(HaveOccurred())
		Expect(cut.OpenedStreams()).To(BeZero())
	})
})
