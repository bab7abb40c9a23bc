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
	// stallTimeout is the progress deadline of transfers in the tests.
	stallTimeout = 300 * time.Millisecond
	// clockSpeed is the speed of the plans' clock relative to real time: an
	// unreachable neighbour is avoided for 0.5 s instead of 5 s. Transfers are
	// not faster.
	clockSpeed = 10
)

// fastSettings shortens the delays before fetches from the origin.
var fastSettings = spread.Settings{ReportWait: 500 * time.Millisecond, TakeoverDelay: time.Second, MaxUploads: 2}

// newModel returns a version with the given number of chunks.
func newModel(name string, chunks int) daemontest.Model {
	return daemontest.NewModel(name, daemontest.RandomChunks(chunks, chunkBytes)...)
}

// testAgent is an agent reduced to its weight transfers.
type testAgent struct {
	*daemontest.Process
	swarm       *swarm.Swarm
	stage       *daemontest.Stage
	openStreams atomic.Int64 // streams opened by peers

	mu       sync.Mutex
	complete []fleet.Version
}

// sources are the upstream sources of a testAgent; store may be nil.
type sources struct{ origin, store *daemontest.Source }

func start(id fleet.InstanceID, stage *daemontest.Stage, from sources) *testAgent {
	GinkgoHelper()
	a := &testAgent{stage: stage}
	a.Process = daemontest.NewProcess(daemontest.Options{
		Self: fleet.Instance{ID: id, Role: fleet.RoleAgent, Place: daemontest.LocalPlace}, Speed: clockSpeed})
	unlimited := rate.NewLimiter(rate.Inf, swarm.PieceBytes)
	var store weights.Source
	if from.store != nil {
		store = from.store
	}
	a.swarm = swarm.New(a.Context(), swarm.Options{
		Self: a.member(), Loop: a.Loop, Endpoint: a.Endpoint, Stage: stage, Origin: from.origin, Store: store,
		UploadLimiter: unlimited, DownloadLimiter: unlimited, StallTimeout: stallTimeout, Rand: rand.New(rand.NewPCG(1, 2)),
		Logger: a.Logger, Metrics: a.Metrics, OnComplete: a.recordComplete,
	})
	a.Loop.AddTicker(a.swarm)
	a.Run(daemontest.Handler(func(ctx context.Context, from keys.Identity, kind peer.Kind, s *peer.Stream) {
		if kind == peer.KindChunk {
			a.openStreams.Add(1)
			defer a.openStreams.Add(-1)
			a.swarm.ServeChunk(ctx, from, s)
		}
	}))
	return a
}

func (a *testAgent) member() spread.Member {
	return spread.Member{ID: a.Self.ID, Place: a.Self.Place, Addr: a.Self.PeerAddr}
}

func (a *testAgent) recordComplete(_ time.Time, v fleet.Version) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.complete = append(a.complete, v)
}

// completions returns the versions reported as complete.
func (a *testAgent) completions() []fleet.Version {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.complete
}

// fetch starts to fetch a version with the given members and the agent itself.
func (a *testAgent) fetch(m daemontest.Model, members []spread.Member, reuse ...daemontest.Model) {
	GinkgoHelper()
	var digests []fleet.Digest
	for _, other := range reuse {
		digests = append(digests, other.Version.Manifest)
	}
	a.OnLoop(func(now time.Time) {
		a.swarm.SetMembers(now, append([]spread.Member{a.member()}, members...))
		a.swarm.Fetch(now, m.Version, fastSettings, digests)
	})
}

// expectComplete waits until a version is complete and checks that the staged
// bytes are correct.
func (a *testAgent) expectComplete(m daemontest.Model) {
	GinkgoHelper()
	Eventually(a.completions).Should(ContainElement(m.Version))
	Expect(a.stage.Holds(m)).To(BeTrue(), "the staged bytes")
}

func (a *testAgent) fetchedBytes() (fetched status.FetchedBytes) {
	GinkgoHelper()
	a.OnLoop(func(time.Time) { fetched = a.swarm.FetchedBytes() })
	return fetched
}

// fakePeer is a neighbour that reports that it holds all chunks of a version and
// serves chunk requests with serveChunk.
type fakePeer struct {
	endpoint   *peer.Endpoint
	model      daemontest.Model
	id         fleet.InstanceID
	serveChunk func(ctx context.Context, s *peer.Stream, index int)

	mu        sync.Mutex
	requested int
	opened    int // exchanges so far
	open      int // exchanges open now
	maxOpen   int // maximum number of concurrent exchanges
	silent    bool
}

func newFakePeer(id fleet.InstanceID, m daemontest.Model, serveChunk func(ctx context.Context, s *peer.Stream, index int)) *fakePeer {
	p := &fakePeer{model: m, id: id, serveChunk: serveChunk}
	p.endpoint = daemontest.Endpoint(fleet.RoleAgent, id, daemontest.Handler(p.serve))
	return p
}

func (p *fakePeer) member() spread.Member {
	return spread.Member{ID: p.id, Place: daemontest.LocalPlace, Addr: p.endpoint.Addr()}
}

func (p *fakePeer) serve(ctx context.Context, _ keys.Identity, _ peer.Kind, s *peer.Stream) {
	var request wire.ChunkRequest
	if s.Recv(&request) != nil {
		return
	}
	if request.Exchange {
		p.exchange(ctx, s)
		return
	}
	if request.Index < 0 {
		sendChunk(s, p.model.Raw)
		return
	}
	p.mu.Lock()
	p.requested++
	p.mu.Unlock()
	p.serveChunk(ctx, s, request.Index)
}

func (p *fakePeer) exchange(ctx context.Context, s *peer.Stream) {
	p.mu.Lock()
	p.opened++
	p.open++
	p.maxOpen = max(p.maxOpen, p.open)
	silent := p.silent
	p.mu.Unlock()
	if !silent {
		var all []int
		for i := range p.model.Chunks {
			all = append(all, i)
		}
		_ = s.Send(wire.ChunkUpdate{Have: all, Seen: all})
	}
	<-ctx.Done()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
}

func (p *fakePeer) requests() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.requested
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
