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
	// catalogRequestInterval is the minimum time between two requests for a peer's
	// catalog.
	catalogRequestInterval = 150 * time.Millisecond
	// catalogRequestDelay is how long a peer must be ahead before an entry that reads the
	// platform itself requests its catalog: usually the platform's own response is under
	// way.
	catalogRequestDelay = 250 * time.Millisecond
	// remoteCatalogRequestDelay is how long only peers of other regions may be ahead
	// before the catalog of one is requested. Usually a peer of the own region has it by
	// then, and traffic between regions shares a narrow link.
	remoteCatalogRequestDelay = 500 * time.Millisecond
	// catalogStallTimeout is how long a request may make no progress,
	// catalogRequestTimeout how long it may take in total. With shorter timeouts,
	// requests over a full link never completed, and each new one filled it again.
	catalogStallTimeout   = 600 * time.Millisecond
	catalogRequestTimeout = 4 * time.Second
	// configPieceBytes is the size of the pieces in which a configuration is sent. Each
	// piece counts as progress.
	configPieceBytes = 16 << 10
	// catalogLogsPerSecond bounds the lines about catalogs that were not given: a peer may
	// request any number and read none.
	catalogLogsPerSecond = 1
	// maxConfigBytes bounds the uncompressed size of a configuration that a peer sends:
	// the platform's largest item is 1 MB.
	maxConfigBytes = 8 << 20
)

// requestNewerCatalog requests the catalog of a peer that is ahead, if the platform
// itself has not reported the changes: another entry reads it for this one, the platform
// refuses this one, or the connection of the watch is dead.
func (g *Gateway) requestNewerCatalog(now time.Time) {
	if g.requestingCatalog || now.Before(g.nextCatalogRequest) {
		return
	}
	addr, sameRegion, ok := g.mesh.FindEntry(now, func(b wire.Heartbeat) bool {
		return g.lacksConfigOf(b) || b.AsOf > g.snapshot.AsOf && g.lacksServers(now)
	})
	if !ok {
		g.behindSince = time.Time{}
		return
	}
	if g.behindSince.IsZero() {
		g.behindSince = now
	}
	if now.Sub(g.behindSince) < g.requestDelay(sameRegion) {
		return
	}
	g.requestingCatalog = true
	g.nextCatalogRequest = now.Add(catalogRequestInterval)
	request := wire.CatalogRequest{AsOf: g.snapshot.AsOf, ConfigVersion: g.snapshot.ConfigVersion(), ConfigRevision: g.snapshot.ConfigRevision}
	g.startCatalogRequest(addr, request)
}

// lacksServers reports whether the known servers were read long ago, or are incomplete: a
// reader of the region sent changes that leave a gap after those known here.
//
// After a restart of the whole fleet, each entry has listed the servers at a different
// moment of their return. Until it has the changes since, it sends calls to the
// predecessors of restarted servers.
func (g *Gateway) lacksServers(now time.Time) bool {
	return now.Sub(g.changesReadAt) > watchWait || g.gapUntil > g.snapshot.AsOf
}

// requestDelay returns how long a peer must be ahead before its catalog is requested.
func (g *Gateway) requestDelay(sameRegion bool) time.Duration {
	v := g.view.Load()
	switch {
	case g.table == nil:
		return 0 // callers wait, and a peer is closer than the platform
	case !sameRegion:
		return remoteCatalogRequestDelay
	case v == nil || v.readsPlatform:
		return catalogRequestDelay
	default:
		return 0
	}
}

func (g *Gateway) requestCatalog(addr netip.Addr, request wire.CatalogRequest) {
	ctx, cancel := context.WithTimeout(g.ctx, catalogRequestTimeout)
	defer cancel()
	startedAt := time.Now()
	response, size, err := g.fetchCatalog(ctx, addr, request)
	g.post(func(now time.Time) { g.handleCatalogResponse(now, addr, startedAt, response, size, err) })
}

// handleCatalogResponse handles a peer's response, with size bytes of a configuration.
func (g *Gateway) handleCatalogResponse(now time.Time, addr netip.Addr, startedAt time.Time, response wire.CatalogResponse, size int, err error) {
	fields := []zap.Field{zap.String("peer", addr.String()), zap.Duration("took", now.Sub(startedAt)), zap.Int("bytes", size)}
	g.requestingCatalog = false
	if err != nil {
		g.opts.Logger.Warn("peer_catalog_failed", append(fields, zap.Error(err))...)
		return
	}
	g.opts.Logger.Info("peer_catalog_read", append(fields, zap.Bool("newer", response.Snapshot != nil))...)
	if response.Snapshot != nil && !startedAt.Before(g.resumedAt) {
		g.adoptSnapshot(now, *response.Snapshot, reading{origin: fromPeer, from: addr.String(), readAt: readTime(startedAt, response.AgeMS)})
	}
}

// fetchCatalog returns the newer parts of a peer's catalog, including the configuration,
// and the number of bytes of the configuration that were received.
func (g *Gateway) fetchCatalog(ctx context.Context, addr netip.Addr, request wire.CatalogRequest) (wire.CatalogResponse, int, error) {
	var response wire.CatalogResponse
	s, err := g.opts.Endpoint.Open(ctx, g.mesh.PeerAddr(addr), "", peer.KindConfig)
	if err != nil {
		return response, 0, err
	}
	defer s.Abort()
	s.SetStallTimeout(catalogStallTimeout)
	if err := s.Send(request); err != nil {
		return response, 0, err
	}
	if err := s.Recv(&response); err != nil {
		return response, 0, err
	}
	if response.Snapshot == nil || response.ConfigBytes == 0 {
		return response, 0, nil
	}
	packed, err := receivePieces(s, response.ConfigBytes)
	if err != nil {
		return response, len(packed), err
	}
	var config routing.Config
	if err := peer.Unpack(packed, &config, maxConfigBytes); err != nil {
		return response, len(packed), err
	}
	response.Snapshot.Config, response.Snapshot.ConfigRevision = &config, response.ConfigRevision
	return response, len(packed), nil
}

// receivePieces receives size bytes in raw frames. If it fails, it returns the bytes
// received before.
func receivePieces(s *peer.Stream, size int) ([]byte, error) {
	var received []byte
	if size < 0 || size > maxConfigBytes {
		return nil, failure.Corrupt.New("peer announced a configuration of %d bytes", size)
	}
	for len(received) < size {
		piece, err := s.RecvBytes(nil)
		if err != nil {
			return received, err
		}
		received = append(received, piece...)
	}
	if len(received) > size {
		return received, failure.Corrupt.New("received %d bytes of a configuration, %d were announced", len(received), size)
	}
	return received, nil
}

// serveCatalog handles a peer's CatalogRequest.
func (g *Gateway) serveCatalog(ctx context.Context, s *peer.Stream) {
	s.SetStallTimeout(catalogStallTimeout)
	var request wire.CatalogRequest
	if err := s.Recv(&request); err != nil {
		s.Abort()
		return
	}
	if err := g.sendCatalog(ctx, s, request); err != nil && g.catalogLogs.Allow() {
		g.opts.Logger.Warn("catalog_not_given", zap.String("peer", string(s.Peer().ID)), zap.Error(err))
	}
}

func (g *Gateway) sendCatalog(ctx context.Context, s *peer.Stream, request wire.CatalogRequest) error {
	var response wire.CatalogResponse
	var config *routing.Config
	if err := g.opts.Loop.Do(ctx, func(now time.Time) { response, config = g.catalogFor(now, request) }); err != nil {
		return err
	}
	if config == nil {
		return s.Send(response)
	}
	packed, err := g.packed.pack(config)
	if err != nil {
		return err
	}
	response.ConfigBytes = len(packed)
	if err := s.Send(response); err != nil {
		return err
	}
	for len(packed) > 0 {
		n := min(configPieceBytes, len(packed))
		if err := s.SendBytes(packed[:n]); err != nil {
			return err
		}
		packed = packed[n:]
	}
	return nil
}

// catalogFor returns the response to a peer's request, and the configuration to send after it.
// After a pause the own catalog may be outdated: a peer that was paused as well would count
// itself as up to date with it.
func (g *Gateway) catalogFor(now time.Time, request wire.CatalogRequest) (wire.CatalogResponse, *routing.Config) {
	if g.stale {
		return wire.CatalogResponse{}, nil
	}
	response, config := newerThan(g.heldCatalog(), request)
	response.AgeMS = now.Sub(g.changesReadAt).Milliseconds()
	return response, config
}

// newerThan returns the parts of a catalog that the requesting peer lacks. The
// configuration is returned separately: it is by far the largest part, so it is sent only
// to peers that lack it, and not within the message.
func newerThan(held catalog.Snapshot, request wire.CatalogRequest) (wire.CatalogResponse, *routing.Config) {
	config := held.Config
	if hasConfig(request, held) {
		config = nil
	}
	if held.AsOf <= request.AsOf && config == nil {
		return wire.CatalogResponse{}, nil
	}
	response := wire.CatalogResponse{}
	if config != nil {
		response.ConfigRevision = held.ConfigRevision
	}
	held.Config, held.ConfigRevision = nil, 0
	if held.AsOf <= request.AsOf {
		held.AsOf, held.Servers = 0, nil
	}
	response.Snapshot = &held
	return response, config
}

// hasConfig reports whether a requester has a configuration as new as the held one. One of
// an earlier release states the revision only.
func hasConfig(request wire.CatalogRequest, held catalog.Snapshot) bool {
	if request.ConfigVersion == 0 && request.ConfigRevision != 0 {
		return held.ConfigRevision <= request.ConfigRevision
	}
	return held.ConfigVersion() <= request.ConfigVersion
}

// packedConfig caches the configuration as it is sent to peers. It is packed once, since
// a dozen peers request it at the same moment.
type packedConfig struct {
	mu      sync.Mutex
	version int64
	packed  []byte
}

func (p *packedConfig) pack(config *routing.Config) ([]byte, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.packed != nil && p.version == config.Version {
		return p.packed, nil
	}
	packed, err := peer.Pack(config)
	if err != nil {
		return nil, err
	}
	p.version, p.packed = config.Version, packed
	return packed, nil
}
