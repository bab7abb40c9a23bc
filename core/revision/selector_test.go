package revision_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/joomcode/errorx"

	"chivespindle.example/core/failure"
	"chivespindle.example/core/fleet"
	"chivespindle.example/core/fleettext"
	"chivespindle.example/core/revision"
)

var _ = Describe("Selector without an active configuration", func() {
	var selector *revision.Selector
	BeforeEach(func() { selector = revision.New(start, revision.Options{}) })

	DescribeTable("waits for sufficient information",
		func(platformAnswers bool, peers int, readyAfter float64) {
			if platformAnswers {
				selector.HandleCandidate(start, platform(5, "a"))
			}
			for i := range peers {
				selector.HandleCandidate(start, fromPeer(fleet.InstanceID(rune('p'+i)), 5, "a"))
			}
			const never = 14.0 // the last tick at which the first claims are valid
			for now := 0.0; now <= never; now += 0.5 {
				selector.Tick(at(now))
				_, ready := selector.Active()
				Expect(ready).To(Equal(readyAfter >= 0 && now >= readyAfter), "after %v s", now)
			}
		},
		Entry("the platform and three peers: at once", true, 3, 0.0),
		Entry("the platform and one peer", true, 1, 2.0),
		Entry("three peers, the platform is down", false, 3, 2.0),
		Entry("the platform alone: a new fleet", true, 0, 10.0),
		Entry("one peer, the platform is down", false, 1, 10.0),
		Entry("neither: never", false, 0, -1.0),
	)

	It("does not revert to the configuration of a stale platform", func() {
		// Revision 7 is active in the fleet. One process is replaced. The
		// platform answers its first read from a copy that still holds 5; its
		// peers report 7. If it activated 5, callers of this instance would get
		// an older model than before.
		selector.HandleCandidate(at(0.1), platform(5, "old"))
		for _, peer := range []fleet.InstanceID{"p", "q", "r"} {
			selector.HandleClaim(at(0.2), claim(peer, 7, "new"))
		}
		tickUntil(selector, 14)
		Expect(inForce(selector)).To(BeZero())
		want, ok := selector.NextFetch(at(14))
		Expect(ok).To(BeTrue())
		Expect(want).To(Equal(revision.FetchRequest{
			Revision: 7, Digest: digest("new"), Peers: []fleet.InstanceID{"p", "q", "r"},
		}))
		d := selector.HandleCandidate(at(14.1), fromPeer("q", 7, "new"))
		Expect(d.Reason).To(Equal(revision.Accepted))
		Expect(inForce(selector)).To(Equal(revision.Revision(7)))
	})

	It("does not count a pause as waiting", func() {
		// A process reads the stale platform and is then paused for a minute.
		// The answers of its peers are unread in its sockets. When it resumes,
		// its timer fires first, and it would activate the platform's old
		// configuration as the only one it knows.
		selector.HandleCandidate(at(0.1), platform(5, "old"))
		Expect(selector.Tick(at(60)).Reason).To(Equal(revision.NoChange))
		Expect(inForce(selector)).To(BeZero())
		selector.HandleCandidate(at(60.1), fromPeer("p", 7, "new"))
		for now := 60.5; now < 64; now += 0.5 {
			selector.Tick(at(now))
		}
		Expect(inForce(selector)).To(Equal(revision.Revision(7)))
	})

	It("starts late if Tick is called rarely", func() {
		selector.HandleCandidate(start, platform(5, "a"))
		for now := 3.0; now < 30; now += 3 { // each counts as one second
			Expect(inForce(selector)).To(BeZero())
			selector.Tick(at(now))
		}
		selector.Tick(at(30))
		Expect(inForce(selector)).To(Equal(revision.Revision(5)))
	})

	It("gives up a configuration that no process can send any more", func() {
		// The only peer that reports 7 crashes before it could send the
		// configuration. The platform is stale at 5. The process stays not
		// ready while the claim is valid; after that, it might wait forever.
		selector.HandleCandidate(at(0), platform(5, "old"))
		selector.HandleClaim(at(0), claim("p", 7, "new"))
		tickUntil(selector, 15)
		Expect(inForce(selector)).To(BeZero())
		Expect(selector.Tick(at(15.5)).Reason).To(Equal(revision.Accepted))
		Expect(inForce(selector)).To(Equal(revision.Revision(5)))
	})

	It("activates the configuration of most peers when a revision has two", func() {
		// The platform was restored from an old backup and has assigned
		// revision 7 a second time. The fleet keeps the first configuration. A
		// process that starts now must follow the fleet, not the platform, and
		// raise the alarm.
		selector.HandleCandidate(start, platform(7, "second"))
		selector.HandleCandidate(start, fromPeer("p", 7, "first"))
		selector.HandleCandidate(start, fromPeer("q", 7, "first"))
		d := selector.HandleCandidate(start, fromPeer("r", 7, "second"))
		Expect(d.Reason).To(Equal(revision.Accepted))
		state, _ := selector.Active()
		Expect(state.Digest).To(Equal(digest("first")))
		Expect(d.Events).To(HaveLen(2))
		Expect(d.Events[1]).To(Equal(revision.Conflict{
			Revision: 7, Kept: digest("first"), Other: digest("second"), Source: revision.FromPlatform,
		}))
	})

	It("activates the platform's configuration when as many peers have another", func() {
		selector.HandleCandidate(start, fromPeer("p", 7, "first"))
		selector.HandleCandidate(start, fromPeer("q", 7, "second"))
		selector.HandleCandidate(start, platform(7, "second"))
		tickUntil(selector, 2)
		state, _ := selector.Active()
		Expect(state.Digest).To(Equal(digest("second")))
	})

	It("activates an older configuration of its peers when the platform's is invalid", func() {
		// The operator has just published an invalid configuration: all
		// processes refused it and keep 7 active. A process that starts must do
		// the same.
		d := selector.HandleCandidate(start, platformRefused(8))
		Expect(d.Reason).To(Equal(revision.Invalid))
		Expect(d.Events).To(HaveLen(1))
		selector.HandleCandidate(start, fromPeer("p", 7, "a"))
		tickUntil(selector, 2)
		Expect(inForce(selector)).To(Equal(revision.Revision(7)))
		Expect(selector.Status().Refused).To(HaveLen(1))
	})

	It("stays not ready when it refuses the configuration of its peers", func() {
		// Its program is older than theirs and does not know a key of their
		// configuration. An older configuration would be a step back, so the
		// process serves nothing.
		selector.HandleCandidate(start, platform(7, "a"))
		refused := fromPeer("p", 8, "b")
		refused.Fleet, refused.Refusal = nil, &fleettext.CheckError{}
		selector.HandleCandidate(start, refused)
		tickUntil(selector, 14)
		Expect(inForce(selector)).To(BeZero())
		_, ok := selector.NextFetch(at(14))
		Expect(ok).To(BeFalse())
	})
})

var _ = Describe("Selector with an active configuration", func() {
	var selector *revision.Selector
	BeforeEach(func() {
		selector = revision.New(start, revision.Options{})
		selector.HandleCandidate(start, platform(7, "a"))
		tickUntil(selector, 10)
		Expect(inForce(selector)).To(Equal(revision.Revision(7)))
	})

	DescribeTable("handles each kind of candidate",
		func(c revision.Candidate, reason revision.Reason, want revision.Revision) {
			d := selector.HandleCandidate(at(20), c)
			Expect(d.Reason).To(Equal(reason))
			Expect(d.Active).To(Equal(reason == revision.Accepted || reason == revision.Duplicate))
			Expect(inForce(selector)).To(Equal(want))
		},
		Entry("a higher revision", platform(8, "b"), revision.Accepted, revision.Revision(8)),
		Entry("a higher revision from a peer", fromPeer("p", 9, "b"), revision.Accepted, revision.Revision(9)),
		Entry("a higher revision of the same configuration", platform(8, "a"), revision.Accepted, revision.Revision(8)),
		Entry("a lower revision", platform(6, "b"), revision.Stale, revision.Revision(7)),
		Entry("the same again", platform(7, "a"), revision.Duplicate, revision.Revision(7)),
		Entry("the same revision with another configuration", platform(7, "b"), revision.Conflicting, revision.Revision(7)),
		Entry("the same revision, invalid", platformRefused(7), revision.Conflicting, revision.Revision(7)),
		Entry("a higher revision, invalid", platformRefused(8), revision.Invalid, revision.Revision(7)),
		Entry("a lower revision, invalid", platformRefused(6), revision.Stale, revision.Revision(7)),
		Entry("no configuration", revision.ReadDocument(revision.Document{}, nil), revision.NoChange, revision.Revision(7)),
	)

	It("reports the changes", func() {
		d := selector.HandleCandidate(at(20), platform(8, "b"))
		Expect(d.Events).To(HaveLen(1))
		raised := d.Events[0].(revision.Activated)
		Expect(raised.From).To(Equal(revision.Revision(7)))
		Expect(raised.Changes).To(HaveLen(2))
		Expect(raised.Changes[0].String()).To(Equal("service a removed"))
	})

	It("raises one alarm for each other configuration of the active revision", func() {
		Expect(selector.HandleCandidate(at(20), platform(7, "b")).Events).To(HaveLen(1))
		Expect(selector.HandleCandidate(at(21), platform(7, "b")).Events).To(BeEmpty())
		Expect(selector.HandleClaim(at(22), claim("p", 7, "b")).Events).To(BeEmpty())
		Expect(selector.HandleClaim(at(23), claim("p", 7, "c")).Events).To(HaveLen(1))
		Expect(selector.Status().Conflicts).To(HaveLen(2))
		selector.HandleCandidate(at(24), platform(8, "b"))
		Expect(selector.Status().Conflicts).To(BeEmpty())
	})

	It("reports a refused configuration once, with file, line and reason, until a valid one arrives", func() {
		d := selector.HandleCandidate(at(20), platformRefused(8))
		Expect(d.Events).To(HaveLen(1))
		faults := d.Events[0].(revision.Refused).Faults.Faults
		Expect(faults).To(HaveLen(1))
		Expect(faults[0].String()).To(Equal(`fleet.ini:3: unknown key "size" in [fleet]: want one of name`))
		Expect(selector.HandleCandidate(at(21), platformRefused(8)).Events).To(BeEmpty())
		Expect(selector.Status().Refused).To(HaveLen(1))
		selector.HandleCandidate(at(22), platform(9, "b"))
		Expect(selector.Status().Refused).To(BeEmpty())
	})

	It("watches after the platform's last answer, not after the active revision", func() {
		// A refused configuration is newer than the active one. A watch after
		// the active revision would be answered immediately, again and again,
		// at every watcher.
		selector.HandleCandidate(at(20), platformRefused(8))
		Expect(selector.WatchAfter()).To(Equal(revision.Revision(8)))
		selector.HandleCandidate(at(21), platform(6, "old"))
		Expect(selector.WatchAfter()).To(Equal(revision.Revision(6)))
	})

	It("requests the highest revision that is active in a peer", func() {
		Expect(selector.HandleClaim(at(20), claim("p", 8, "b")).Reason).To(Equal(revision.Behind))
		Expect(selector.HandleClaim(at(20), claim("q", 9, "c")).Reason).To(Equal(revision.Behind))
		Expect(selector.HandleClaim(at(20), claim("r", 6, "d")).Reason).To(Equal(revision.Stale))
		want, _ := selector.NextFetch(at(21))
		Expect(want).To(Equal(revision.FetchRequest{Revision: 9, Digest: digest("c"), Peers: []fleet.InstanceID{"q"}}))
		selector.HandleCandidate(at(22), fromPeer("q", 9, "c"))
		_, ok := selector.NextFetch(at(22))
		Expect(ok).To(BeFalse())
	})

	It("sends a peer only the changes since its configuration", func() {
		selector.HandleCandidate(at(20), platform(8, "b"))
		full := selector.Delta(digest("unknown"))
		Expect(full.Changed).To(HaveLen(2))
		delta := selector.Delta(digest("a"))
		Expect(delta.Changed).To(HaveLen(1))
		Expect(delta.Removed).To(Equal([]string{"service a"}))

		c, err := revision.ReadDelta(claim("me", 8, "b"), load("a"), delta)
		Expect(err).NotTo(HaveOccurred())
		Expect(c.Fleet.Digest()).To(Equal(digest("b")))
		_, err = revision.ReadDelta(claim("me", 8, "b"), load("c"), delta)
		Expect(errorx.IsOfType(err, fleettext.WrongBase)).To(BeTrue())
		_, err = revision.ReadDelta(claim("me", 8, "c"), load("a"), delta)
		Expect(errorx.IsOfType(err, failure.Corrupt)).To(BeTrue())
		delta.Changed[0].Text += "max_attempts=1\n"
		_, err = revision.ReadDelta(claim("me", 8, "b"), load("a"), delta)
		Expect(errorx.IsOfType(err, failure.Corrupt)).To(BeTrue())
	})

	It("stores a limited number of claims and keeps the highest", func() {
		selector = revision.New(start, revision.Options{})
		for i := range 1000 {
			selector.HandleClaim(start, claim(fleet.InstanceID(rune('A'+i)), revision.Revision(i+1), "b"))
		}
		want, _ := selector.NextFetch(start)
		Expect(want.Revision).To(Equal(revision.Revision(1000)))
	})
})
