package node_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"chivespindle.example/adapters/keys"
	"chivespindle.example/adapters/peer"
	"chivespindle.example/core/fleet"
	"chivespindle.example/core/revision"
	"chivespindle.example/daemon/internal/daemontest"
	"chivespindle.example/daemon/wire"
)

var _ = Describe("The text", func() {
	// One process of a zone reaches the platform, the others do not. The operator
	// publishes a text and later a change. All follow, since each process that
	// has a text tells its neighbours and gives it to those that ask.
	// Seen with no neighbour ever asked: the others stayed without a text.
	It("reaches processes that cannot reach the platform", func() {
		platform := daemontest.NewText(1, textWith(1))
		watcher := start("entry-1", fleet.RoleEntry, platform)
		others := []*member{
			start("agent-1", fleet.RoleAgent, nil),
			start("agent-2", fleet.RoleAgent, nil),
			start("agent-3", fleet.RoleAgent, nil),
		}
		all := append([]*member{watcher}, others...)
		introduce(all...)
		Eventually(revisionsOf(all...)).Should(HaveEach(revision.Revision(1)))
		platform.Set(2, textWith(2))
		Eventually(revisionsOf(all...)).Should(HaveEach(revision.Revision(2)))
		digest := daemontest.DigestOf(textWith(2))
		for _, m := range all {
			Expect(m.Node.InForce().Digest).To(Equal(digest))
		}
	})

	// A process is restarted while its platform's copy is stale. Its neighbours
	// have a newer text in force. It waits to hear of them and takes theirs; the
	// old text is in force at no moment, so that no engine is sent back to a
	// version that the fleet has left.
	// Seen with a start that takes what the platform says at once: the old text
	// was in force first.
	It("of the neighbours goes before that of a stale platform", func() {
		current := daemontest.NewText(5, textWith(5))
		old := []*member{
			start("entry-1", fleet.RoleEntry, current),
			start("entry-2", fleet.RoleEntry, current),
			start("entry-3", fleet.RoleEntry, current),
		}
		introduce(old...)
		Eventually(revisionsOf(old...)).Should(HaveEach(revision.Revision(5)))
		fresh := start("entry-4", fleet.RoleEntry, daemontest.NewText(3, textWith(3)))
		introduce(append(old, fresh)...)
		Eventually(fresh.Revision).Should(Equal(revision.Revision(5)))
		Eventually(fresh.revisions).Should(Equal([]revision.Revision{5}))
		Expect(revisionsOf(old...)()).To(HaveEach(revision.Revision(5)))
	})

	// The link between two rooms fails, and each room goes on with what its own
	// copy of the platform says. When the link is back all end on the higher
	// revision, those too whose platform is still behind.
	// Seen with lost neighbours never tried again: the rooms stayed apart.
	It("is the higher one after two parts of a fleet have met again", func() {
		left, right := daemontest.NewText(1, textWith(1)), daemontest.NewText(1, textWith(1))
		a, b := start("entry-1", fleet.RoleEntry, left), start("agent-1", fleet.RoleAgent, nil)
		c, d := start("entry-2", fleet.RoleEntry, right), start("agent-2", fleet.RoleAgent, nil)
		introduce(a, b, c, d)
		Eventually(revisionsOf(a, b, c, d)).Should(HaveEach(revision.Revision(1)))
		Eventually(b.hears(c)).Should(BeTrue())
		cut(true, []*member{a, b}, []*member{c, d})
		Eventually(a.hears(d)).Should(BeFalse())
		Eventually(d.hears(a)).Should(BeFalse())
		left.Set(2, textWith(2))
		right.Set(3, textWith(3))
		Eventually(revisionsOf(a, b, c, d)).Should(Equal([]revision.Revision{2, 2, 3, 3}))
		cut(false, []*member{a, b}, []*member{c, d})
		Eventually(revisionsOf(a, b, c, d)).Should(HaveEach(revision.Revision(3)))
		Eventually(a.revisions).Should(Equal([]revision.Revision{1, 2, 3}))
	})

	// The text has grown to a megabyte, and a process without a platform asks a
	// neighbour for it: the whole at first, then the one section that changed.
	It("of a megabyte reaches a neighbour, and then its change", func() {
		platform := daemontest.NewText(1, largeText(1))
		watcher := start("entry-1", fleet.RoleEntry, platform)
		other := start("agent-1", fleet.RoleAgent, nil)
		introduce(watcher, other)
		Eventually(other.Revision).Should(Equal(revision.Revision(1)))
		platform.Set(2, largeText(2))
		Eventually(other.Revision).Should(Equal(revision.Revision(2)))
		Expect(other.Node.InForce().Digest).To(Equal(daemontest.DigestOf(largeText(2))))
	})

	// The platform was restored from an old copy and gave one revision to two
	// texts. Two processes that each took one meet. Both keep theirs, so that
	// nothing flips to and fro, and both raise the alarm. The operator publishes
	// once more, and all is one again.
	It("under one revision with two digests is kept, with an alarm", func() {
		left, right := daemontest.NewText(7, textWith(1)), daemontest.NewText(7, textWith(2))
		a, b := start("entry-1", fleet.RoleEntry, left), start("entry-2", fleet.RoleEntry, right)
		Eventually(revisionsOf(a, b)).Should(HaveEach(revision.Revision(7)))
		introduce(a, b)
		for _, m := range []*member{a, b} {
			Eventually(func() int64 { return m.Counter("config_conflicts+") }).Should(BeNumerically(">", 0))
			Eventually(m.Node.ConfigStatus).Should(HaveField("Conflicts", HaveLen(1)))
		}
		Expect(a.Node.InForce().Digest).To(Equal(daemontest.DigestOf(textWith(1))))
		Expect(b.Node.InForce().Digest).To(Equal(daemontest.DigestOf(textWith(2))))
		left.Set(8, textWith(3))
		Eventually(revisionsOf(a, b)).Should(HaveEach(revision.Revision(8)))
		Eventually(b.Node.ConfigStatus).Should(HaveField("Conflicts", BeEmpty()))
	})

	// The operator publishes a text with a fault. The one before stays in force
	// everywhere, and the fault is told with its line; the next text is taken.
	It("with a fault is told of and leaves the one before in force", func() {
		platform := daemontest.NewText(1, textWith(1))
		m := start("entry-1", fleet.RoleEntry, platform)
		Eventually(m.Revision).Should(Equal(revision.Revision(1)))
		platform.Set(2, "[fleet]\nname = ffsan\n[workspace apapa]\nrequests_per_second = many\n")
		Eventually(m.Node.ConfigStatus).Should(HaveField("Refused", HaveLen(1)))
		Expect(m.Node.ConfigStatus().Refused[0].Faults).To(MatchError(ContainSubstring("fleet.ini:4: requests_per_second")))
		Expect(m.Revision()).To(Equal(revision.Revision(1)))
		platform.Set(3, textWith(3))
		Eventually(m.Revision).Should(Equal(revision.Revision(3)))
	})

	// The platform takes a watch and never answers it, as behind a stalled link,
	// and answers reads as ever. A process that starts then comes into force by
	// its own read.
	// Seen before the mend: the process waited for its watch, and was not ready
	// for as long as that lasted.
	It("is read by a process whose watch is never answered", func() {
		platform := daemontest.NewText(4, textWith(4))
		platform.MuteWatch()
		m := start("entry-1", fleet.RoleEntry, platform)
		Eventually(platform.Watches).Should(BeNumerically(">", 0))
		Eventually(m.Revision).Should(Equal(revision.Revision(4)))
	})
})

// liar claims to have a text in force that it does not give as it should.
type liar struct {
	endpoint *peer.Endpoint
	id       fleet.InstanceID
	asked    chan struct{}
}

func newLiar(id fleet.InstanceID, give func(s *peer.Stream)) *liar {
	l := &liar{id: id, asked: make(chan struct{}, 1)}
	l.endpoint = daemontest.Endpoint(fleet.RoleEntry, id, daemontest.Handler(
		func(ctx context.Context, _ keys.Identity, kind peer.Kind, s *peer.Stream) {
			if kind != peer.KindConfig {
				<-ctx.Done()
				return
			}
			select {
			case l.asked <- struct{}{}:
			default:
			}
			give(s)
		}))
	return l
}

func (l *liar) instance() fleet.Instance {
	return fleet.Instance{ID: l.id, Role: fleet.RoleEntry, Place: daemontest.Here, PeerAddr: l.endpoint.Addr()}
}

// claim tells m again and again that the liar has a text in force, until stop.
func (l *liar) claim(m *member, number revision.Revision, digest fleet.Digest) (stop func()) {
	GinkgoHelper()
	ctx, cancel := context.WithCancel(context.Background())
	DeferCleanup(cancel)
	s, err := l.endpoint.Open(ctx, m.Self.PeerAddr, m.Self.ID, peer.KindGossip)
	Expect(err).NotTo(HaveOccurred())
	return daemontest.RunUntilEnd(func(until context.Context) error {
		ticker := time.NewTicker(20 * time.Millisecond)
		defer ticker.Stop()
		for {
			if err := s.Send(wire.Gossip{Revision: number, Digest: digest}); err != nil {
				return err
			}
			select {
			case <-until.Done():
				return nil
			case <-ticker.C:
			}
		}
	})
}

var _ = Describe("Neighbours that say they have a newer text", func() {
	digest := daemontest.DigestOf
	// Of two links between two processes the one that the lesser id dialled stays,
	// so these ids keep the links on which their claims go.
	ways := map[fleet.InstanceID]func(s *peer.Stream){
		"a-other-text": func(s *peer.Stream) {
			var ask wire.ConfigRequest
			_ = s.Recv(&ask)
			_ = s.Send(wire.ConfigHeader{Revision: 9, Digest: digest(textWith(9)), Base: ask.Digest})
			_ = s.CloseSend()
		},
		"a-half-text": func(s *peer.Stream) {
			_ = s.Recv(&wire.ConfigRequest{})
			_ = s.Send(wire.ConfigHeader{Revision: 9, Digest: digest(textWith(9)), Sections: 2})
			_ = s.CloseSend()
		},
		"a-many-sections": func(s *peer.Stream) {
			_ = s.Recv(&wire.ConfigRequest{})
			_ = s.Send(wire.ConfigHeader{Revision: 9, Digest: digest(textWith(9)), Sections: 1 << 30})
			_ = s.CloseSend()
		},
		"a-no-text": func(s *peer.Stream) {
			_ = s.Recv(&wire.ConfigRequest{})
			_ = s.Send(wire.ConfigHeader{})
			_ = s.CloseSend()
		},
		"a-no-answer": func(s *peer.Stream) { <-s.Context().Done() },
	}

	// A process hears of a newer text and asks the neighbours that have it, one
	// after the other. Each gives something else, half of it, or nothing. The
	// process keeps its own text, and when one comes that has the newer text and
	// gives it, takes it.
	// Seen without the progress deadline of the exchange: the neighbour that
	// never answers was the last one to be asked.
	It("harm nobody when they do not give it", func() {
		m := start("entry-1", fleet.RoleEntry, daemontest.NewText(1, textWith(1)))
		honest := start("entry-2", fleet.RoleEntry, daemontest.NewText(9, textWith(9)))
		Eventually(m.Revision).Should(Equal(revision.Revision(1)))
		list := []fleet.Instance{m.Self}
		var liars []*liar
		for id, give := range ways {
			liars = append(liars, newLiar(id, give))
			list = append(list, liars[len(liars)-1].instance())
		}
		m.List.Set(list...)
		stop := make(map[fleet.InstanceID]func())
		for _, l := range liars {
			stop[l.id] = l.claim(m, 9, digest(textWith(9)))
		}
		for _, l := range liars {
			Eventually(l.asked).Should(Receive(), "%s", l.id)
		}
		stop["a-no-answer"]() // each ask of it takes two seconds
		Eventually(honest.Revision).Should(Equal(revision.Revision(9)))
		Expect(m.Revision()).To(Equal(revision.Revision(1)))

		honest.List.Set(m.Self)
		Eventually(m.Revision).Should(Equal(revision.Revision(9)))
		Expect(m.Node.InForce().Digest).To(Equal(digest(textWith(9))))
	})
})
