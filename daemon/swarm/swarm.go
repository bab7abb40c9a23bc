// Package swarm fetches the chunks of a model version from peers, the origin and
// the weight store, and uploads them to peers.
//
// Package core/spread makes the decisions; this package carries them out. The
// state belongs to the control loop. Each transfer runs on its own goroutine,
// which posts an event to the loop when the transfer ends.
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

// Limiter limits weight traffic to its share of the machine's link. WaitN is
// called for each piece of at most PieceBytes.
type Limiter interface {
	WaitN(ctx context.Context, n int) error
}

// PieceBytes is the maximum number of bytes that a transfer sends or receives in
// one step. It bounds how long a live request waits behind weight traffic.
const PieceBytes = 64 << 10

// Options configures a Swarm. All fields are required unless a comment says
// otherwise.
type Options struct {
	Self                           spread.Member
	Loop                           *control.Loop
	Endpoint                       *peer.Endpoint
	Stage                          weights.Stage
	Origin                         weights.Source
	Store                          weights.Source // nil if the platform has no store
	UploadLimiter, DownloadLimiter Limiter
	// SendBytes is the maximum number of bytes sent in one step; 0 means
	// PieceBytes. On a narrow link, smaller steps keep the link's queue short
	// for live requests.
	SendBytes int
	// StallTimeout is the progress deadline of a transfer. A stalled link does
	// not close its connections, so a transfer that receives no byte for this
	// long is aborted.
	StallTimeout time.Duration
	Rand         *rand.Rand
	Logger       *zap.Logger
	Metrics      tally.Scope
	// OnManifest is called on a traffic goroutine once a manifest has been
	// verified and before any chunk is staged; it may be nil. The download
	// waits, and the call is retried, until it succeeds.
	OnManifest func(ctx context.Context, manifest fleet.Digest, raw []byte) error
	// KnownManifest returns a manifest that the process has verified before, so
	// that it need not be fetched, or nil if there is none. KnownManifest itself
	// may be nil.
	KnownManifest func(manifest fleet.Digest) []byte
	// OnComplete is called on the control loop when every chunk of a version has
	// been verified and staged.
	OnComplete func(now time.Time, version fleet.Version)
}

// Swarm holds the downloads of an agent: that of the version it wants and, until
// they are dropped, those of versions that it still uploads to peers.
type Swarm struct {
	opts      Options
	ctx       context.Context
	downloads map[fleet.Digest]*download
	members   []spread.Member
	fetched   status.FetchedBytes
}

// New returns a swarm without downloads. Transfers end with ctx.
func New(ctx context.Context, opts Options) *Swarm {
	if opts.SendBytes == 0 {
		opts.SendBytes = PieceBytes
	}
	return &Swarm{opts: opts, ctx: ctx, downloads: make(map[fleet.Digest]*download)}
}

// Fetch starts to fetch a version. If the version was fetched before, the stage
// is asked again which chunks it holds, since the caller may have reason not to
// trust the earlier result; chunks that are still staged are not fetched again.
// Chunks with the same digest in the manifests in reuse are copied. Fetch must
// be called on the control loop.
func (s *Swarm) Fetch(now time.Time, version fleet.Version, settings spread.Settings, reuse []fleet.Digest) {
	var raw []byte
	if previous, ok := s.downloads[version.Manifest]; ok {
		raw = previous.rawManifest
		previous.close()
	}
	if raw == nil && s.opts.KnownManifest != nil {
		raw = s.opts.KnownManifest(version.Manifest)
	}
	d := newDownload(s, version, settings, now)
	s.downloads[version.Manifest] = d
	for _, manifest := range reuse {
		if other, ok := s.downloads[manifest]; ok && other.plan != nil && manifest != version.Manifest {
			d.reusable = append(d.reusable, reusableVersion{manifest: manifest, chunks: other.manifest, held: other.plan.Have().Clone()})
		}
	}
	d.start(raw)
}

// Stop ends the fetches of a version but continues to upload its chunks to
// peers. A version whose manifest is not known yet has nothing to upload; the
// search for its manifest ends.
func (s *Swarm) Stop(manifest fleet.Digest) {
	d, ok := s.downloads[manifest]
	if !ok {
		return
	}
	d.pause()
	if d.plan == nil {
		d.close()
		delete(s.downloads, manifest)
	}
}

// Drop ends all transfers of a version and deletes its chunks from the stage.
func (s *Swarm) Drop(manifest fleet.Digest) {
	if d, ok := s.downloads[manifest]; ok {
		d.close()
		delete(s.downloads, manifest)
	}
	go func() {
		if err := s.opts.Stage.Drop(s.ctx, manifest); err != nil {
			s.opts.Logger.Warn("stage_drop_failed", zap.Stringer("manifest", manifest), zap.Error(err))
		}
	}()
}

// Reset is called when the stage has lost its chunks, for example after a
// restart of the engine. Nothing is uploaded to peers until a version has been
// fetched again.
func (s *Swarm) Reset() {
	for manifest, d := range s.downloads {
		d.close()
		delete(s.downloads, manifest)
	}
}

// UnseenShare returns the fraction of a version's chunks that no member is known
// to hold, or 1 if the version is not being fetched.
func (s *Swarm) UnseenShare(manifest fleet.Digest) float64 {
	d, ok := s.downloads[manifest]
	if !ok || d.plan == nil {
		return 1
	}
	seen := d.plan.Seen()
	return 1 - float64(seen.Count())/float64(max(1, seen.Len()))
}

// SetMembers sets the agents that want the same version, including this one.
func (s *Swarm) SetMembers(now time.Time, members []spread.Member) {
	s.members = members
	for _, d := range s.downloads {
		d.setMembers(now, members)
	}
}

// Tick starts the fetches, dials and reports that are due. The control loop
// calls it.
func (s *Swarm) Tick(now time.Time) {
	for _, d := range s.downloads {
		d.tick(now)
	}
}

// Progress returns the progress of all downloads, ordered by version name.
func (s *Swarm) Progress() []status.ChunkFetch {
	var all []status.ChunkFetch
	for _, d := range s.downloads {
		all = append(all, d.progress())
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Version.Name < all[j].Version.Name })
	return all
}

// FetchedBytes returns the number of bytes fetched so far from each kind of
// source. It must be called on the control loop.
func (s *Swarm) FetchedBytes() status.FetchedBytes { return s.fetched }

// post queues an event on the control loop; events of transfers that end after
// the loop are dropped.
func (s *Swarm) post(f func(now time.Time)) {
	s.opts.Loop.Post(s.ctx, control.Func(f))
}
