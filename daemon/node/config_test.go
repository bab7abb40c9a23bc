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

var _ = Describe("The configuration", func() {
	// One process of an availability zone reaches the platform, the others do
	// not. The operator publishes a configuration and later a change. All
	// processes activate both, since each process that has a configuration
	// reports this to its neighbours and sends it to those that request it.
	//
	// Without requests to neighbours, the others stay without a configuration.
	It("reaches processes that cannot reach the platform", func() {
		platform := daemontest.NewConfigService(1, configWith(1))
		watcher := start("entry-1", fleet.RoleEntry, platform)
		others := []*testProcess{
			start("agent-1", fleet.RoleAgent, nil),
			start("agent-2", fleet.RoleAgent, nil),
			start("agent-3", fleet.RoleAgent, nil),
		}
		all := append([]*testProcess{watcher}, others...)
		listEachOther(all...)
		Eventually(revisionsOf(all...)).Should(HaveEach(revision.Revision(1)))
		platform.Set(2, configWith(2))
		Eventually(revisionsOf(all...)).Should(HaveEach(revision.Revision(2)))
		digest := daemontest.DigestOf(configWith(2))
		for _, m := range all {
			Expect(m.Node.ActiveConfig().Digest).To(Equal(digest))
		}
	})

	// A process is restarted while its copy of the platform is stale. Its
	// neighbours have a newer active configuration. It waits for their reports
	// and activates theirs; the old configuration is never active, so that no
	// engine returns to a version that the fleet has left.
	//
	// If the process activates the platform's response at once, the old
	// configuration is active first.
	It("of the neighbours takes precedence over that of a stale platform", func() {
		current := daemontest.NewConfigService(5, configWith(5))
		old := []*testProcess{
			start("entry-1", fleet.RoleEntry, current),
			start("entry-2", fleet.RoleEntry, current),
			start("entry-3", fleet.RoleEntry, current),
		}
		listEachOther(old...)
		Eventually(revisionsOf(old...)).Should(HaveEach(revision.Revision(5)))
		fresh := start("entry-4", fleet.RoleEntry, daemontest.NewConfigService(3, configWith(3)))
		listEachOther(append(old, fresh)...)
		Eventually(fresh.Revision).Should(Equal(revision.Revision(5)))
		Eventually(fresh.revisions).Should(Equal([]revision.Revision{5}))
		Expect(revisionsOf(old...)()).To(HaveEach(revision.Revision(5)))
	})

	// The network between two data halls fails, and each side continues with its
	// own copy of the platform. When the network is restored, all processes
	// activate the higher revision, including those whose platform copy is still
	// behind.
	//
	// If lost neighbours are never dialled again, the two sides stay separate.
	It("is the higher revision on both sides after a partition heals", func() {
		left, right := daemontest.NewConfigService(1, configWith(1)), daemontest.NewConfigService(1, configWith(1))
		a, b := start("entry-1", fleet.RoleEntry, left), start("agent-1", fleet.RoleAgent, nil)
		c, d := start("entry-2", fleet.RoleEntry, right), start("agent-2", fleet.RoleAgent, nil)
		listEachOther(a, b, c, d)
		Eventually(revisionsOf(a, b, c, d)).Should(HaveEach(revision.Revision(1)))
		Eventually(b.sees(c)).Should(BeTrue())
		setPartition(true, []*testProcess{a, b}, []*testProcess{c, d})
		Eventually(a.sees(d)).Should(BeFalse())
		Eventually(d.sees(a)).Should(BeFalse())
		left.Set(2, configWith(2))
		right.Set(3, configWith(3))
		Eventually(revisionsOf(a, b, c, d)).Should(Equal([]revision.Revision{2, 2, 3, 3}))
		setPartition(false, []*testProcess{a, b}, []*testProcess{c, d})
		Eventually(revisionsOf(a, b, c, d)).Should(HaveEach(revision.Revision(3)))
		Eventually(a.revisions).Should(Equal([]revision.Revision{1, 2, 3}))
	})

	// The configuration has grown to a megabyte, and a process that cannot reach
	// the platform fetches it from a neighbour: the complete configuration at
	// first, then only the one changed section.
	It("of a megabyte reaches a neighbour, and then a change of one section", func() {
		platform := daemontest.NewConfigService(1, largeConfig(1))
		watcher := start("entry-1", fleet.RoleEntry, platform)
		other := start("agent-1", fleet.RoleAgent, nil)
		listEachOther(watcher, other)
		Eventually(other.Revision).Should(Equal(revision.Revision(1)))
		platform.Set(2, largeConfig(2))
		Eventually(other.Revision).Should(Equal(revision.Revision(2)))
		Expect(other.Node.ActiveConfig().Digest).To(Equal(daemontest.DigestOf(largeConfig(2))))
	})

	// The platform was restored from an old copy and assigned one revision to
	// two configurations. Two processes that each activated one of them connect.
	// Both keep theirs, so that the configuration does not alternate, and both
	// raise an alarm. The operator publishes once more, and the fleet is
	// consistent again.
	It("is kept and raises an alarm if one revision has two digests", func() {
		left, right := daemontest.NewConfigService(7, configWith(1)), daemontest.NewConfigService(7, configWith(2))
		a, b := start("entry-1", fleet.RoleEntry, left), start("entry-2", fleet.RoleEntry, right)
		Eventually(revisionsOf(a, b)).Should(HaveEach(revision.Revision(7)))
		listEachOther(a, b)
		for _, m := range []*testProcess{a, b} {
			Eventually(func() int64 { return m.Counter("config_conflicts+") }).Should(BeNumerically(">", 0))
			Eventually(m.Node.ConfigStatus).Should(HaveField("Conflicts", HaveLen(1)))
		}
		Expect(a.Node.ActiveConfig().Digest).To(Equal(daemontest.DigestOf(configWith(1))))
		Expect(b.Node.ActiveConfig().Digest).To(Equal(daemontest.DigestOf(configWith(2))))
		left.Set(8, configWith(3))
		Eventually(revisionsOf(a, b)).Should(HaveEach(revision.Revision(8)))
		Eventually(b.Node.ConfigStatus).Should(HaveField("Conflicts", BeEmpty()))
	})

	// The operator publishes a configuration with an error. The previous one
	// stays active everywhere, and the error is reported with its line; the next
	// configuration is accepted.
	It("with an error is reported and leaves the previous one active", func() {
		platform := daemontest.NewConfigService(1, configWith(1))
		m := start("entry-1", fleet.RoleEntry, platform)
		Eventually(m.Revision).Should(Equal(revision.Revision(1)))
		platform.Set(2, "[fleet]\nname = ffsan\n[workspace apapa]\nrequests_per_second = many\n")
		Eventually(m.Node.ConfigStatus).Should(HaveField("Refused", HaveLen(1)))
		Expect(m.Node.ConfigStatus().Refused[0].Faults).To(MatchError(ContainSubstring("fleet.ini:4: requests_per_second")))
		Expect(m.Revision()).To(Equal(revision.Revision(1)))
		platform.Set(3, configWith(3))
		Eventually(m.Revision).Should(Equal(revision.Revision(3)))
	})

	// The platform accepts a watch and never responds to it, as behind a stalled
	// link, but responds to reads as usual. A process that starts then activates
	// the configuration from its own read.
	//
	// Guards against a process that waits for its watch, and is not ready for as
	// long as that lasts.
	It("is read by a process whose watch gets no response", func() {
		platform := daemontest.NewConfigService(4, configWith(4))
		platform.BlockWatches()
		m := start("entry-1", fleet.RoleEntry, platform)
		Eventually(platform.WatchCalls).Should(BeNumerically(">", 0))
		Eventually(m.Revision).Should(Equal(revision.Revision(4)))
	})
})

// fakePeer reports that it has an active configuration but does not send it
// correctly.
type fakePeer struct {
	endpoint  *peer.Endpoint
	id        fleet.InstanceID
	requested chan struct{}
}

func newFakePeer(id fleet.InstanceID, respond func(s *peer.Stream)) *fakePeer {
	p := &fakePeer{id: id, requested: make(chan struct{}, 1)}
	p.endpoint = daemontest.Endpoint(fleet.RoleEntry, id, daemontest.Handler(
		func(ctx context.Context, _ keys.Identity, kind peer.Kind, s *peer.Stream) {
			if kind != peer.KindConfig {
				<-ctx.Done()
				return
			}
			select {
			case p.requested <- struct{}{}:
			default:
			}
			respond(s)
		}))
	return p
}

func (p *fakePeer) instance() fleet.Instance {
	return fleet.Instance{ID: p.id, Role: fleet.RoleEntry, Place: daemontest.LocalPlace, PeerAddr: p.endpoint.Addr()}
}

// claim repeatedly reports to m that the fake peer has an active configuration,
// until stop is called.
func (p *fakePeer) claim(m *testProcess, number revision.Revision, digest fleet.Digest) (stop func()) {
	GinkgoHelper()
	ctx, cancel := context.WithCancel(context.Background())
	DeferCleanup(cancel)
	s, err := p.endpoint.Open(ctx, m.Self.PeerAddr, m.Self.ID, peer.KindGossip)
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

var _ = Describe("Neighbours that report a newer configuration", func() {
	digest := daemontest.DigestOf
	// Of two links between two processes, the one dialled by the lower ID is
	// kept, so these IDs keep the links on which their claims are sent.
	responses := map[fleet.InstanceID]func(s *peer.Stream){
		"a-other-text": func(s *peer.Stream) {
			var request wire.ConfigRequest
			_ = s.Recv(&request)
			_ = s.Send(wire.ConfigHeader{Revision: 9, Digest: digest(configWith(9)), Base: request.Digest})
			_ = s.CloseSend()
		},
		"a-half-text": func(s *peer.Stream) {
			_ = s.Recv(&wire.ConfigRequest{})
			_ = s.Send(wire.ConfigHeader{Revision: 9, Digest: digest(configWith(9)), Sections: 2})
			_ = s.CloseSend()
		},
		"a-many-sections": func(s *peer.Stream) {
			_ = s.Recv(&wire.ConfigRequest{})
			_ = s.Send(wire.ConfigHeader{Revision: 9, Digest: digest(configWith(9)), Sections: 1 << 30})
			_ = s.CloseSend()
		},
		"a-no-text": func(s *peer.Stream) {
			_ = s.Recv(&wire.ConfigRequest{})
			_ = s.Send(wire.ConfigHeader{})
			_ = s.CloseSend()
		},
		"a-no-answer": func(s *peer.Stream) { <-s.Context().Done() },
	}

	// A process receives reports of a newer configuration and requests it from
	// the neighbours that report it, one after the other. Each sends something
	// else, a part of it, or nothing. The process keeps its own configuration,
	// and activates the newer one when a neighbour appears that sends it.
	//
	// Without the stall timeout of the exchange, the neighbour that never
	// responds is the last one to get a request.
	It("have no effect if they do not send it", func() {
		m := start("entry-1", fleet.RoleEntry, daemontest.NewConfigService(1, configWith(1)))
		honest := start("entry-2", fleet.RoleEntry, daemontest.NewConfigService(9, configWith(9)))
		Eventually(m.Revision).Should(Equal(revision.Revision(1)))
		list := []fleet.Instance{m.Self}
		var fakes []*fakePeer
		for id, respond := range responses {
			fakes = append(fakes, newFakePeer(id, respond))
			list = append(list, fakes[len(fakes)-1].instance())
		}
		m.Instances.Set(list...)
		stop := make(map[fleet.InstanceID]func())
		for _, p := range fakes {
			stop[p.id] = p.claim(m, 9, digest(configWith(9)))
		}
		for _, p := range fakes {
			Eventually(p.requested).Should(Receive(), "%s", p.id)
		}
		stop["a-no-answer"]() // each request to it takes two seconds
		Eventually(honest.Revision).Should(Equal(revision.Revision(9)))
		Expect(m.Revision()).To(Equal(revision.Revision(1)))

		honest.Instances.Set(m.Self)
		Eventually(m.Revision).Should(Equal(revision.Revision(9)))
		Expect(m.Node.ActiveConfig().Digest).To(Equal(digest(configWith(9))))
	})
})
