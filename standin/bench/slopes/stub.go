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
	beatEvery   = time.Second
	reportEvery = 500 * time.Millisecond
	demandEvery = time.Second
	// batch is the most records of one message, as core/gossip has it.
	batch = 256
	// manifestIndex asks for the manifest, as daemon/swarm has it.
	manifestIndex = -1
)

// stub stands for one process of a made-up fleet towards the one that is
// measured: it speaks the protocol of daemon/wire and decides nothing. It says
// that it knows the whole fleet and that nothing changes, but for the changes
// that it is asked to make.
type stub struct {
	crowd    *crowd
	self     gossip.Record
	endpoint *peer.Endpoint
	cancel   context.CancelFunc
	// changes is how many processes' states change in a second, as it reports.
	changes atomic.Int64
}

// newStub makes the process that phantom names and sets its address.
func newStub(c *crowd, authority *pki.Authority, phantom *fleet.Instance) (*stub, error) {
	files, err := authority.WriteFiles(filepath.Join(c.fleet.Dir(), "stubs"), phantom.Role, phantom.ID)
	if err != nil {
		return nil, err
	}
	store, err := keys.Load(files)
	if err != nil {
		return nil, err
	}
	s := &stub{crowd: c}
	s.endpoint, err = peer.New(peer.Options{Listen: local.AnyPort, Keys: store, Handler: s})
	if err != nil {
		return nil, err
	}
	phantom.PeerAddr = s.endpoint.Addr()
	s.self = recordOf(*phantom, c.said)
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	go func() { _ = s.endpoint.Run(ctx) }()
	return s, nil
}

func (s *stub) close() {
	s.cancel()
	_ = s.endpoint.Close()
}

// wireBytes is what crossed the link to and from the measured process, with
// the headers of UDP and IPv4.
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

// dial opens a stream to the measured process and speaks on it until ctx ends.
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

// gossip does what a process does with a neighbour: it sends its own record, a
// heartbeat of everyone, and whole records of those that are asked for; after
// that its own heartbeat each second with relayed ones of the zone and, while
// asked to, changes.
func (s *stub) gossip(ctx context.Context, st *peer.Stream) {
	asked := make(chan []gossip.Record, 1)
	go s.hear(ctx, st, asked)
	if s.tellAll(st, append([]gossip.Record{s.self}, s.crowd.heartbeats()...)) != nil {
		return
	}
	ticker := time.NewTicker(beatEvery)
	defer ticker.Stop()
	for beat := uint64(firstBeat + 1); ; {
		var err error
		select {
		case <-ctx.Done():
			return
		case records, more := <-asked:
			if !more {
				return
			}
			err = s.tellAll(st, records)
		case <-ticker.C:
			err = s.tell(st, s.second(beat))
			beat++
		}
		if err != nil {
			return
		}
	}
}

// hear reads what the measured process sends and hands on what it asks for,
// until the stream ends.
func (s *stub) hear(ctx context.Context, st *peer.Stream, asked chan<- []gossip.Record) {
	defer close(asked)
	for {
		var message wire.Gossip
		if st.Recv(&message) != nil {
			return
		}
		var wanted []gossip.Record
		for _, r := range message.Records {
			if whole, known := s.crowd.byID[r.ID]; known && r.IsRequest() {
				wanted = append(wanted, whole)
			}
		}
		if len(wanted) == 0 {
			continue
		}
		select {
		case asked <- wanted:
		case <-ctx.Done():
			return
		}
	}
}

// second is the message of one quiet second.
func (s *stub) second(beat uint64) []gossip.Record {
	message := []gossip.Record{heartbeat(s.self, beat)}
	if s.self.Zone == s.crowd.measured.Zone {
		message = append(message, s.relay(beat)...)
	}
	return append(message, s.changed(beat)...)
}

func (s *stub) tellAll(st *peer.Stream, records []gossip.Record) error {
	for start := 0; start < len(records); start += batch {
		if err := s.tell(st, records[start:min(start+batch, len(records))]); err != nil {
			return err
		}
	}
	return nil
}

func (s *stub) tell(st *peer.Stream, records []gossip.Record) error {
	return st.Send(wire.Gossip{Records: records, Revision: s.crowd.said.Revision, Digest: s.crowd.said.Digest})
}

// relay is the next part of the zone's heartbeats.
func (s *stub) relay(beat uint64) []gossip.Record {
	zone := s.crowd.zone
	var records []gossip.Record
	for i := range min(relayed, len(zone)) {
		records = append(records, heartbeat(zone[(int(beat)*relayed+i)%len(zone)], beat))
	}
	return records
}

// changed are replicas whose state changes now, others in each second.
func (s *stub) changed(beat uint64) []gossip.Record {
	var records []gossip.Record
	all := s.crowd.records
	for i := range s.changes.Load() {
		r := all[(int(beat)*int(s.changes.Load())+int(i))*Zones%len(all)]
		if r.Role != fleet.RoleAgent || r.ID == s.self.ID {
			continue
		}
		r.StateSeq, r.HeartbeatSeq = beat, beat
		r.State = gossip.StateChanging
		records = append(records, r)
	}
	return records
}

// report sends a load each half second, as an agent does, or what workspaces
// demand each second, as an entry does.
func (s *stub) report(ctx context.Context, st *peer.Stream) {
	if s.self.Role == fleet.RoleEntry {
		repeat(ctx, demandEvery, func(int) error { return st.Send(demandOf()) })
		return
	}
	s.crowd.following.Add(1)
	defer s.crowd.following.Add(-1)
	repeat(ctx, reportEvery, func(i int) error { return st.Send(reportOf(s.self.Service, s.crowd.said.Version, i)) })
}

// repeat sends until that fails or ctx ends.
func repeat(ctx context.Context, every time.Duration, send func(i int) error) {
	for i := 0; send(i) == nil && wait(ctx, every); i++ {
	}
}

// subscribe takes the reports of the measured process, as an entry does.
func (s *stub) subscribe(_ context.Context, st *peer.Stream) {
	var first cbor.RawMessage
	if st.Send(wire.ReportRequest{}) != nil || st.Recv(&first) != nil {
		return
	}
	s.crowd.following.Add(1)
	defer s.crowd.following.Add(-1)
	discard[cbor.RawMessage](st)
}

// chunk exchanges news of chunks, or sends one.
func (s *stub) chunk(ctx context.Context, st *peer.Stream) {
	var open wire.ChunkRequest
	if st.Recv(&open) != nil {
		return
	}
	if open.Exchange {
		s.news(ctx, st)
		return
	}
	data := s.crowd.model.EncodedManifest
	if open.Index != manifestIndex {
		data = s.crowd.model.Chunks[open.Index]
	}
	if st.Send(wire.ChunkHeader{Status: wire.ChunkFollows, Bytes: len(data)}) == nil {
		_ = st.SendBytes(data)
		_ = st.CloseSend()
	}
}

// exchange opens an exchange of news, as a neighbour does.
func (s *stub) exchange(ctx context.Context, st *peer.Stream) {
	if st.Send(wire.ChunkRequest{Manifest: s.crowd.said.Version.Manifest, Exchange: true}) == nil {
		s.news(ctx, st)
	}
}

// news reports that every chunk is held here.
func (s *stub) news(_ context.Context, st *peer.Stream) {
	var all []int
	for i := range s.crowd.model.Chunks {
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

// wait reports false if ctx ended first.
func wait(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
