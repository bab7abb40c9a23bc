package gateway

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"go.uber.org/zap"

	"chivespindle.example/adapters/peer"
	"chivespindle.example/core/catalog"
	"chivespindle.example/core/failure"
	"chivespindle.example/core/routing"
	"chivespindle.example/daemon/wire"
)

const (
	// askEvery is the pause between two asks for a peer's catalog.
	askEvery = 150 * time.Millisecond
	// behindFor is how long a peer must be ahead before an entry asks it that
	// reads the platform itself: mostly the platform's own word is on its way.
	behindFor = 250 * time.Millisecond
	// farBehindFor is how long only peers of other regions may be ahead before one
	// is asked. One of the own region mostly has it by then, and what crosses
	// between regions shares a narrow link.
	farBehindFor = 500 * time.Millisecond
	// askStall is how long an ask may bring nothing, askWhole how long it may take
	// in all. Ended soon after they had begun, asks over a full link never came
	// to their end, and each next one filled it again.
	askStall = 600 * time.Millisecond
	askWhole = 4 * time.Second
	// configPiece is the size of the pieces in which a configuration is sent, each
	// of which counts as progress.
	configPiece = 16 << 10
	// mostConfig bounds a configuration that a peer sends, uncompressed: the
	// platform's largest item is 1 MB.
	mostConfig = 8 << 20
)

// askPeers asks a peer whose catalog is ahead, while the platform has not told
// of it by itself: another entry reads it for this one, or the platform turns
// this one away, or the watch has gone silent.
func (g *Gateway) askPeers(now time.Time) {
	if g.requestingCatalog || now.Before(g.nextCatalogRequest) {
		return
	}
	addr, near, ok := g.mesh.FindEntry(now, func(b wire.Heartbeat) bool {
		return b.ConfigRevision > g.snapshot.ConfigRevision || b.AsOf > g.snapshot.AsOf && g.lacksServers(now)
	})
	if !ok {
		g.behindSince = time.Time{}
		return
	}
	if g.behindSince.IsZero() {
		g.behindSince = now
	}
	if now.Sub(g.behindSince) < g.askAfter(near) {
		return
	}
	g.requestingCatalog = true
	g.nextCatalogRequest = now.Add(askEvery)
	ask := wire.CatalogRequest{AsOf: g.snapshot.AsOf, ConfigRevision: g.snapshot.ConfigRevision}
	g.startCatalogRequest(addr, ask)
}

// lacksServers reports whether what this entry knows of the servers was read long ago, or
// is not complete: a reader of the region told changes that follow on later ones.
//
// After a restart of the whole fleet each entry has listed the servers at another
// moment of their return. Until it has the changes since, it sends calls to the
// predecessors of restarted servers.
func (g *Gateway) lacksServers(now time.Time) bool {
	return now.Sub(g.changesReadAt) > watchWait || g.gapUntil > g.snapshot.AsOf
}

// askAfter is how long a peer must be ahead before it is asked.
func (g *Gateway) askAfter(near bool) time.Duration {
	v := g.view.Load()
	switch {
	case g.table == nil:
		return 0 // callers wait, and a neighbour is nearer than the platform
	case !near:
		return farBehindFor
	case v == nil || v.readsPlatform:
		return behindFor
	default:
		return 0
	}
}

func (g *Gateway) askPeer(addr netip.Addr, ask wire.CatalogRequest) {
	ctx, cancel := context.WithTimeout(g.ctx, askWhole)
	defer cancel()
	began := time.Now()
	got, size, err := g.fetchCatalog(ctx, addr, ask)
	g.post(func(now time.Time) { g.askEnded(now, addr, began, got, size, err) })
}

// askEnded takes what a peer answered, with size bytes of a configuration.
func (g *Gateway) askEnded(now time.Time, addr netip.Addr, began time.Time, got wire.CatalogResponse, size int, err error) {
	told := []zap.Field{zap.String("peer", addr.String()), zap.Duration("took", now.Sub(began)), zap.Int("bytes", size)}
	g.requestingCatalog = false
	if err != nil {
		g.opts.Logger.Warn("peer_catalog_failed", append(told, zap.Error(err))...)
		return
	}
	g.opts.Logger.Info("peer_catalog_read", append(told, zap.Bool("newer", got.Snapshot != nil))...)
	if got.Snapshot != nil {
		g.adoptList(now, *got.Snapshot, reading{origin: fromPeer, from: addr.String(), readAt: readBefore(began, got.AgeMS)})
	}
}

// fetchCatalog returns what a peer has that is newer, with its configuration, and how
// many bytes of that came.
func (g *Gateway) fetchCatalog(ctx context.Context, addr netip.Addr, ask wire.CatalogRequest) (wire.CatalogResponse, int, error) {
	var answer wire.CatalogResponse
	s, err := g.opts.Endpoint.Open(ctx, g.mesh.PeerAddr(addr), "", peer.KindConfig)
	if err != nil {
		return answer, 0, err
	}
	defer s.Abort()
	s.SetStall(askStall)
	if err := s.Send(ask); err != nil {
		return answer, 0, err
	}
	if err := s.Recv(&answer); err != nil {
		return answer, 0, err
	}
	if answer.Snapshot == nil || answer.ConfigBytes == 0 {
		return answer, 0, nil
	}
	packed, err := recvPieces(s, answer.ConfigBytes)
	if err != nil {
		return answer, len(packed), err
	}
	var config routing.Config
	if err := peer.Unpack(packed, &config, mostConfig); err != nil {
		return answer, len(packed), err
	}
	answer.Snapshot.Config, answer.Snapshot.ConfigRevision = &config, answer.ConfigRevision
	return answer, len(packed), nil
}

// recvPieces receives size bytes in raw frames. With a failure it returns what
// came before.
func recvPieces(s *peer.Stream, size int) ([]byte, error) {
	var all []byte
	if size < 0 || size > mostConfig {
		return nil, failure.Corrupt.New("a configuration of %d bytes is announced", size)
	}
	for len(all) < size {
		piece, err := s.RecvBytes(nil)
		if err != nil {
			return all, err
		}
		all = append(all, piece...)
	}
	if len(all) > size {
		return all, failure.Corrupt.New("%d bytes of a configuration came, %d were announced", len(all), size)
	}
	return all, nil
}

// serveCatalog answers a peer's CatalogRequest.
func (g *Gateway) serveCatalog(ctx context.Context, s *peer.Stream) {
	s.SetStall(askStall)
	var ask wire.CatalogRequest
	if err := s.Recv(&ask); err != nil {
		s.Abort()
		return
	}
	if err := g.giveCatalog(ctx, s, ask); err != nil {
		g.opts.Logger.Warn("catalog_not_given", zap.String("peer", string(s.Peer().ID)), zap.Error(err))
	}
}

func (g *Gateway) giveCatalog(ctx context.Context, s *peer.Stream, ask wire.CatalogRequest) error {
	var held catalog.Snapshot
	var age time.Duration
	if err := g.opts.Loop.Do(ctx, func(now time.Time) { held, age = g.snapshot, now.Sub(g.changesReadAt) }); err != nil {
		return err
	}
	answer, config := newerThan(held, ask)
	answer.AgeMS = age.Milliseconds()
	if config == nil {
		return s.Send(answer)
	}
	packed, err := g.packed.of(held.ConfigRevision, config)
	if err != nil {
		return err
	}
	answer.ConfigBytes = len(packed)
	if err := s.Send(answer); err != nil {
		return err
	}
	for len(packed) > 0 {
		n := min(configPiece, len(packed))
		if err := s.SendBytes(packed[:n]); err != nil {
			return err
		}
		packed = packed[n:]
	}
	return nil
}

// newerThan returns what a catalog holds that an asker lacks. The configuration
// is apart: it is sent only to those that lack it, since it is by far the
// largest part, and not within the message.
func newerThan(held catalog.Snapshot, ask wire.CatalogRequest) (wire.CatalogResponse, *routing.Config) {
	config := held.Config
	if held.ConfigRevision <= ask.ConfigRevision {
		config = nil
	}
	if held.AsOf <= ask.AsOf && config == nil {
		return wire.CatalogResponse{}, nil
	}
	answer := wire.CatalogResponse{}
	if config != nil {
		answer.ConfigRevision = held.ConfigRevision
	}
	held.Config, held.ConfigRevision = nil, 0
	if held.AsOf <= ask.AsOf {
		held.AsOf, held.Servers = 0, nil
	}
	answer.Snapshot = &held
	return answer, config
}

// packedConfig is the configuration as it is sent to peers. It is packed once:
// a dozen of them ask for it at the same moment.
type packedConfig struct {
	mu       sync.Mutex
	revision catalog.Revision
	bytes    []byte
}

func (p *packedConfig) of(revision catalog.Revision, config *routing.Config) ([]byte, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.revision == revision {
		return p.bytes, nil
	}
	packed, err := peer.Pack(config)
	if err != nil {
		return nil, err
	}
	p.revision, p.bytes = revision, packed
	return packed, nil
}
