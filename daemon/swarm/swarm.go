// Package swarm gathers the chunks of a model version from peers, the origin
// and the weight store, and gives them to peers.
//
// The decisions are core/spread's; this package carries them out. Its state
// belongs to the control loop. Bytes move on goroutines of their own, one for
// each transfer, which post an event when they end.
package swarm

import (
	"context"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"chivespindle.example/adapters/peer"
	"chivespindle.example/core/fleet"
	"chivespindle.example/core/spread"
	"chivespindle.example/core/status"
	"chivespindle.example/core/weights"
	"chivespindle.example/daemon/control"
)

// Limiter slows bytes down to the share of the machine's link that weight
// traffic may use. WaitN is called for each piece of at most PieceBytes.
type Limiter interface {
	WaitN(ctx context.Context, n int) error
}

// PieceBytes is the largest number of bytes that a transfer sends or takes in
// one step. It bounds how long a live request waits behind weight traffic.
const PieceBytes = 64 << 10

// Options of a Swarm. All fields are needed unless a comment says otherwise.
type Options struct {
	Self     spread.Member
	Loop     *control.Loop
	Endpoint *peer.Endpoint
	Stage    weights.Stage
	Origin   weights.Source
	Store    weights.Source // nil if the platform has no store
	Up, Down Limiter
	// SendBytes is the most that is sent in one step, 0 for PieceBytes. On a
	// narrow link smaller steps keep the link's queue short for live requests.
	SendBytes int
	// Stall is the progress deadline of a transfer: a stalled link does not
	// close, so a transfer without a byte for this long is given up.
	Stall   time.Duration
	Rand    *rand.Rand
	Logger  *zap.Logger
	Metrics tally.Scope
	// OnManifest is called on a traffic goroutine once a manifest has been
	// checked and before any chunk is staged; nil: not called. While it fails
	// the gather waits.
	OnManifest func(ctx context.Context, manifest fleet.Digest, raw []byte) error
	// Known returns a manifest that the process has checked before, so that it
	// is not searched for; nil if it has none. Known itself may be nil.
	Known func(manifest fleet.Digest) []byte
	// OnComplete is called on the control loop when every chunk of a version
	// has been checked and staged.
	OnComplete func(now time.Time, version fleet.Version)
}

// Swarm holds the gathers of an agent: the version it wants and, until they
// are dropped, versions it still gives to peers.
type Swarm struct {
	opts    Options
	ctx     context.Context
	gathers map[fleet.Digest]*gather
	members []spread.Member
	drawn   status.FetchedBytes
}

// New returns a swarm without gathers. Transfers end with ctx.
func New(ctx context.Context, opts Options) *Swarm {
	if opts.SendBytes == 0 {
		opts.SendBytes = PieceBytes
	}
	return &Swarm{opts: opts, ctx: ctx, gathers: make(map[fleet.Digest]*gather)}
}

// Gather starts to gather a version. If it was gathered before, the stage is
// asked anew what it holds, since the caller may have reason not to trust it;
// chunks that are still held are not fetched again. Chunks of the manifests in
// reuse with an equal digest are copied. It must be called on the control loop.
func (s *Swarm) Gather(now time.Time, version fleet.Version, settings spread.Settings, reuse []fleet.Digest) {
	var raw []byte
	if former, ok := s.gathers[version.Manifest]; ok {
		raw = former.raw
		former.close()
	}
	if raw == nil && s.opts.Known != nil {
		raw = s.opts.Known(version.Manifest)
	}
	g := newGather(s, version, settings, now)
	s.gathers[version.Manifest] = g
	for _, manifest := range reuse {
		if other, ok := s.gathers[manifest]; ok && other.plan != nil && manifest != version.Manifest {
			g.reuse = append(g.reuse, reusable{manifest: manifest, chunks: other.manifest, held: other.plan.Have().Clone()})
		}
	}
	g.start(raw)
}

// Stop ends the fetches of a version and keeps giving its chunks to peers. A
// version whose manifest is not known yet has nothing to give; it is not
// searched for any more.
func (s *Swarm) Stop(manifest fleet.Digest) {
	g, ok := s.gathers[manifest]
	if !ok {
		return
	}
	g.pause()
	if g.plan == nil {
		g.close()
		delete(s.gathers, manifest)
	}
}

// Drop ends everything about a version and forgets its chunks.
func (s *Swarm) Drop(manifest fleet.Digest) {
	if g, ok := s.gathers[manifest]; ok {
		g.close()
		delete(s.gathers, manifest)
	}
	go func() {
		if err := s.opts.Stage.Drop(s.ctx, manifest); err != nil {
			s.opts.Logger.Warn("stage_drop_failed", zap.Stringer("manifest", manifest), zap.Error(err))
		}
	}()
}

// Forget tells that the stage has lost its chunks, as after the engine's
// restart: nothing can be given to peers until it is gathered again.
func (s *Swarm) Forget() {
	for manifest, g := range s.gathers {
		g.close()
		delete(s.gathers, manifest)
	}
}

// Unseen returns the share of a version's chunks that no member is known to
// hold; 1 if the version is not gathered.
func (s *Swarm) Unseen(manifest fleet.Digest) float64 {
	g, ok := s.gathers[manifest]
	if !ok || g.plan == nil {
		return 1
	}
	seen := g.plan.Seen()
	return 1 - float64(seen.Count())/float64(max(1, seen.Len()))
}

// SetMembers gives the agents that want the same version, this one included.
func (s *Swarm) SetMembers(now time.Time, members []spread.Member) {
	s.members = members
	for _, g := range s.gathers {
		g.setMembers(now, members)
	}
}

// Tick starts what is due. It is called by the control loop.
func (s *Swarm) Tick(now time.Time) {
	for _, g := range s.gathers {
		g.tick(now)
	}
}

// Progress lists the gathers, ordered by version name.
func (s *Swarm) Progress() []status.ChunkFetch {
	var all []status.ChunkFetch
	for _, g := range s.gathers {
		all = append(all, g.progress())
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Version.Name < all[j].Version.Name })
	return all
}

// Drawn returns the bytes drawn so far. It must be called on the control loop.
func (s *Swarm) Drawn() status.FetchedBytes { return s.drawn }

// post queues an event; transfers that end after the loop are forgotten.
func (s *Swarm) post(f func(now time.Time)) {
	s.opts.Loop.Post(s.ctx, control.Func(f))
}
