package slopes

import (
	"context"
	"path/filepath"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"

	"chivespindle.example/adapters/keys"
	"chivespindle.example/adapters/peer"
	"chivespindle.example/core/fleet"
	"chivespindle.example/core/gossip"
	"chivespindle.example/daemon/wire"
	"chivespindle.example/standin/bench/local"
	"chivespindle.example/standin/pki"
)

const (
	heartbeatInterval = time.Second
	reportInterval    = 500 * time.Millisecond
	demandInterval    = time.Second
	// maxRecords limits the records of one message. It matches core/gossip.
	maxRecords = 256
	// manifestIndex requests the manifest. It matches daemon/swarm.
	manifestIndex = -1
)

// stub replaces one process of a simulated fleet towards the measured process:
// it implements the protocol of daemon/wire without any decisions. It reports
// that it knows the whole fleet and that nothing changes, except for the rate
// of changes that is set.
type stub struct {
	sim      *simFleet
	self     gossip.Record
	endpoint *peer.Endpoint
	cancel   context.CancelFunc
	// changes is the number of state changes per second that it reports.
	changes atomic.Int64
}

// newStub starts the stub of instance and sets the instance's address.
func newStub(c *simFleet, authority *pki.Authority, instance *fleet.Instance) (*stub, error) {
	files, err := authority.WriteFiles(filepath.Join(c.fleet.Dir(), "stubs"), instance.Role, instance.ID)
	if err != nil {
		return nil, err
	}
	store, err := keys.Load(files)
	if err != nil {
		return nil, err
	}
	s := &stub{sim: c}
	s.endpoint, err = peer.New(peer.Options{Listen: local.AnyPort, Keys: store, Handler: s})
	if err != nil {
		return nil, err
	}
	instance.PeerAddr = s.endpoint.Addr()
	s.self = recordOf(*instance, c.config)
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	go func() { _ = s.endpoint.Run(ctx) }()
	return s, nil
}

func (s *stub) close() {
	s.cancel()
	_ = s.endpoint.Close()
}

// wireBytes returns the bytes sent to and received from the measured process,
// including UDP and IPv4 headers.
func (s *stub) wireBytes() float64 {
	const headers = 28
	stats := s.endpoint.Stats()
	return float64(stats.BytesSent + stats.BytesReceived + headers*(stats.PacketsSent+stats.PacketsReceived))
}

// ServeStream implements peer.Handler.
func (s *stub) ServeStream(ctx context.Context, _ keys.Identity, kind peer.Kind, st *peer.Stream) {
	st.SetStallTimeout(0)
	switch kind {
	case peer.KindGossip:
		s.gossip(ctx, st)
	case peer.KindReport:
		s.report(ctx, st)
	case peer.KindChunk:
		s.chunk(ctx, st)
	}
}

// dial opens a stream to the measured process and runs speak on it, again
// after each failure, until ctx ends.
func (s *stub) dial(ctx context.Context, to fleet.Instance, kind peer.Kind, speak func(context.Context, *peer.Stream)) {
	const again = 300 * time.Millisecond
	for ctx.Err() == nil {
		if st, err := s.endpoint.Open(ctx, to.PeerAddr, to.ID, kind); err == nil {
			st.SetStallTimeout(0)
			speak(ctx, st)
			st.Abort()
		}
		wait(ctx, again)
	}
}

// gossip implements a gossip neighbour. It sends its own record, heartbeats of
// all processes, and complete records on request. After that it sends its own
// heartbeat every second, with relayed heartbeats of the zone and the state
// changes that are set.
func (s *stub) gossip(ctx context.Context, st *peer.Stream) {
	requested := make(chan []gossip.Record, 1)
	go s.receiveRequests(ctx, st, requested)
	if s.sendAll(st, append([]gossip.Record{s.self}, s.sim.heartbeats()...)) != nil {
		return
	}
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for seq := uint64(firstHeartbeat + 1); ; {
		var err error
		select {
		case <-ctx.Done():
			return
		case records, more := <-requested:
			if !more {
				return
			}
			err = s.sendAll(st, records)
		case <-ticker.C:
			err = s.send(st, s.second(seq))
			seq++
		}
		if err != nil {
			return
		}
	}
}

// receiveRequests reads the messages of the measured process and forwards the
// records that it requests, until the stream ends.
func (s *stub) receiveRequests(ctx context.Context, st *peer.Stream, requested chan<- []gossip.Record) {
	defer close(requested)
	for {
		var message wire.Gossip
		if st.Recv(&message) != nil {
			return
		}
		var wanted []gossip.Record
		for _, r := range message.Records {
			if complete, known := s.sim.byID[r.ID]; known && r.IsRequest() {
				wanted = append(wanted, complete)
			}
		}
		if len(wanted) == 0 {
			continue
		}
		select {
		case requested <- wanted:
		case <-ctx.Done():
			return
		}
	}
}

// second returns the message for one second.
func (s *stub) second(seq uint64) []gossip.Record {
	message := []gossip.Record{heartbeat(s.self, seq)}
	if s.self.Zone == s.sim.measured.Zone {
		message = append(message, s.relay(seq)...)
	}
	return append(message, s.changed(seq)...)
}

func (s *stub) sendAll(st *peer.Stream, records []gossip.Record) error {
	for start := 0; start < len(records); start += maxRecords {
		if err := s.send(st, records[start:min(start+maxRecords, len(records))]); err != nil {
			return err
		}
	}
	return nil
}

func (s *stub) send(st *peer.Stream, records []gossip.Record) error {
	return st.Send(wire.Gossip{Records: records, Revision: s.sim.config.Revision, Digest: s.sim.config.Digest})
}

// relay returns the next part of the zone's heartbeats.
func (s *stub) relay(seq uint64) []gossip.Record {
	zone := s.sim.zone
	var records []gossip.Record
	for i := range min(relayedPerSecond, len(zone)) {
		records = append(records, heartbeat(zone[(int(seq)*relayedPerSecond+i)%len(zone)], seq))
	}
	return records
}

// changed returns records of replicas whose state changes now, different ones
// each second.
func (s *stub) changed(seq uint64) []gossip.Record {
	var records []gossip.Record
	all := s.sim.records
	for i := range s.changes.Load() {
		r := all[(int(seq)*int(s.changes.Load())+int(i))*Zones%len(all)]
		if r.Role != fleet.RoleAgent || r.ID == s.self.ID {
			continue
		}
		r.StateSeq, r.HeartbeatSeq = seq, seq
		r.State = gossip.StateChanging
		records = append(records, r)
	}
	return records
}

// report sends a load report every half second, as an agent does, or the
// demand of workspaces every second, as an entry does.
func (s *stub) report(ctx context.Context, st *peer.Stream) {
	if s.self.Role == fleet.RoleEntry {
		repeat(ctx, demandInterval, func(int) error { return st.Send(demandOf()) })
		return
	}
	s.sim.openReportStreams.Add(1)
	defer s.sim.openReportStreams.Add(-1)
	repeat(ctx, reportInterval, func(i int) error { return st.Send(reportOf(s.self.Service, s.sim.config.Version, i)) })
}

// repeat calls send at intervals until it fails or ctx ends.
func repeat(ctx context.Context, every time.Duration, send func(i int) error) {
	for i := 0; send(i) == nil && wait(ctx, every); i++ {
	}
}

// subscribe receives the reports of the measured process, as an entry does.
func (s *stub) subscribe(_ context.Context, st *peer.Stream) {
	var first cbor.RawMessage
	if st.Send(wire.ReportRequest{}) != nil || st.Recv(&first) != nil {
		return
	}
	s.sim.openReportStreams.Add(1)
	defer s.sim.openReportStreams.Add(-1)
	discard[cbor.RawMessage](st)
}

// chunk serves a chunk exchange, or sends one chunk or the manifest.
func (s *stub) chunk(ctx context.Context, st *peer.Stream) {
	var open wire.ChunkRequest
	if st.Recv(&open) != nil {
		return
	}
	if open.Exchange {
		s.sendChunkUpdate(ctx, st)
		return
	}
	data := s.sim.model.EncodedManifest
	if open.Index != manifestIndex {
		data = s.sim.model.Chunks[open.Index]
	}
	if st.Send(wire.ChunkHeader{Status: wire.ChunkFollows, Bytes: len(data)}) == nil {
		_ = st.SendBytes(data)
		_ = st.CloseSend()
	}
}

// exchange opens a chunk exchange, as a neighbour does.
func (s *stub) exchange(ctx context.Context, st *peer.Stream) {
	if st.Send(wire.ChunkRequest{Manifest: s.sim.config.Version.Manifest, Exchange: true}) == nil {
		s.sendChunkUpdate(ctx, st)
	}
}

// sendChunkUpdate reports that this stub holds every chunk.
func (s *stub) sendChunkUpdate(_ context.Context, st *peer.Stream) {
	var all []int
	for i := range s.sim.model.Chunks {
		all = append(all, i)
	}
	if st.Send(wire.ChunkUpdate{Have: all, Seen: all}) == nil {
		discard[wire.ChunkUpdate](st)
	}
}

// discard reads messages until the stream ends.
func discard[T any](st *peer.Stream) {
	var message T
	for st.Recv(&message) == nil {
	}
}

// wait waits for d. It returns false if ctx ends first.
func wait(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
