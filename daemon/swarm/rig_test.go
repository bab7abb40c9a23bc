package swarm_test

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"golang.org/x/time/rate"

	"chivespindle.example/adapters/keys"
	"chivespindle.example/adapters/peer"
	"chivespindle.example/core/fleet"
	"chivespindle.example/core/spread"
	"chivespindle.example/core/status"
	"chivespindle.example/core/weights"
	"chivespindle.example/daemon/internal/daemontest"
	"chivespindle.example/daemon/swarm"
	"chivespindle.example/daemon/wire"
)

const (
	chunkBytes = 100 << 10 // more than one piece
	// stall is the progress deadline of the tests' transfers.
	stall = 300 * time.Millisecond
	// speed makes the plans' clock go ten times as fast: a neighbour that cannot
	// be reached rests for half a second in place of five. Transfers are not
	// faster.
	speed = 10
)

// quick has plans start and take over soon.
var quick = spread.Settings{ReportWait: 500 * time.Millisecond, TakeoverDelay: time.Second, MaxUploads: 2}

// newModel makes a version of the given number of chunks.
func newModel(name string, chunks int) daemontest.Model {
	return daemontest.NewModel(name, daemontest.RandomChunks(chunks, chunkBytes)...)
}

// holder is an agent as far as weights go.
type holder struct {
	*daemontest.Process
	swarm   *swarm.Swarm
	stage   *daemontest.Stage
	serving atomic.Int64 // streams of peers

	mu       sync.Mutex
	complete []fleet.Version
}

// sources are where a holder draws from; store may be nil.
type sources struct{ origin, store *daemontest.Source }

func start(id fleet.InstanceID, stage *daemontest.Stage, from sources) *holder {
	GinkgoHelper()
	h := &holder{stage: stage}
	h.Process = daemontest.NewProcess(daemontest.Options{
		Self: fleet.Instance{ID: id, Role: fleet.RoleAgent, Place: daemontest.Here}, Speed: speed})
	unlimited := rate.NewLimiter(rate.Inf, swarm.PieceBytes)
	var store weights.Source
	if from.store != nil {
		store = from.store
	}
	h.swarm = swarm.New(h.Context(), swarm.Options{
		Self: h.member(), Loop: h.Loop, Endpoint: h.Endpoint, Stage: stage, Origin: from.origin, Store: store,
		Up: unlimited, Down: unlimited, Stall: stall, Rand: rand.New(rand.NewPCG(1, 2)),
		Logger: h.Logger, Metrics: h.Metrics, OnComplete: h.completed,
	})
	h.Loop.AddTicker(h.swarm)
	h.Run(daemontest.Handler(func(ctx context.Context, from keys.Identity, kind peer.Kind, s *peer.Stream) {
		if kind == peer.KindChunk {
			h.serving.Add(1)
			defer h.serving.Add(-1)
			h.swarm.ServeChunk(ctx, from, s)
		}
	}))
	return h
}

func (h *holder) member() spread.Member {
	return spread.Member{ID: h.Self.ID, Place: h.Self.Place, Addr: h.Self.PeerAddr}
}

func (h *holder) completed(_ time.Time, v fleet.Version) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.complete = append(h.complete, v)
}

// completions lists the versions that were announced as complete.
func (h *holder) completions() []fleet.Version {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.complete
}

// gather starts to gather a version among members, the holder itself included.
func (h *holder) gather(m daemontest.Model, members []spread.Member, reuse ...daemontest.Model) {
	GinkgoHelper()
	var digests []fleet.Digest
	for _, other := range reuse {
		digests = append(digests, other.Version.Manifest)
	}
	h.OnLoop(func(now time.Time) {
		h.swarm.SetMembers(now, append([]spread.Member{h.member()}, members...))
		h.swarm.Gather(now, m.Version, quick, digests)
	})
}

// expectWhole waits until a version is complete, and checks that every byte is
// right.
func (h *holder) expectWhole(m daemontest.Model) {
	GinkgoHelper()
	Eventually(h.completions).Should(ContainElement(m.Version))
	Expect(h.stage.Holds(m)).To(BeTrue(), "the staged bytes")
}

func (h *holder) drawn() (drawn status.Drawn) {
	GinkgoHelper()
	h.OnLoop(func(time.Time) { drawn = h.swarm.Drawn() })
	return drawn
}

// sender is a neighbour that says it holds all of a version, and does with
// askers what the test decides.
type sender struct {
	endpoint *peer.Endpoint
	model    daemontest.Model
	id       fleet.InstanceID
	give     func(ctx context.Context, s *peer.Stream, index int)

	mu     sync.Mutex
	asked  int
	opened int // exchanges so far
	open   int // exchanges now
	most   int // exchanges at once
	mute   bool
}

func newSender(id fleet.InstanceID, m daemontest.Model, give func(ctx context.Context, s *peer.Stream, index int)) *sender {
	n := &sender{model: m, id: id, give: give}
	n.endpoint = daemontest.Endpoint(fleet.RoleAgent, id, daemontest.Handler(n.serve))
	return n
}

func (n *sender) member() spread.Member {
	return spread.Member{ID: n.id, Place: daemontest.Here, Addr: n.endpoint.Addr()}
}

func (n *sender) serve(ctx context.Context, _ keys.Identity, _ peer.Kind, s *peer.Stream) {
	var open wire.ChunkRequest
	if s.Recv(&open) != nil {
		return
	}
	if open.Exchange {
		n.exchange(ctx, s)
		return
	}
	if open.Index < 0 {
		sendChunk(s, n.model.Raw)
		return
	}
	n.mu.Lock()
	n.asked++
	n.mu.Unlock()
	n.give(ctx, s, open.Index)
}

func (n *sender) exchange(ctx context.Context, s *peer.Stream) {
	n.mu.Lock()
	n.opened++
	n.open++
	n.most = max(n.most, n.open)
	mute := n.mute
	n.mu.Unlock()
	if !mute {
		var all []int
		for i := range n.model.Chunks {
			all = append(all, i)
		}
		_ = s.Send(wire.ChunkUpdate{Have: all, Seen: all})
	}
	<-ctx.Done()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.open--
}

func (n *sender) asks() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.asked
}

func sendChunk(s *peer.Stream, data []byte) {
	_ = s.Send(wire.ChunkHeader{Status: wire.ChunkFollows, Bytes: len(data)})
	for len(data) > 0 {
		n := min(len(data), swarm.PieceBytes)
		_ = s.SendBytes(data[:n])
		data = data[n:]
	}
	_ = s.CloseSend()
}
