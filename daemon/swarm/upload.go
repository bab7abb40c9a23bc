package swarm

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"chivespindle.example/adapters/keys"
	"chivespindle.example/adapters/peer"
	"chivespindle.example/core/fleet"
	"chivespindle.example/core/weights"
	"chivespindle.example/daemon/wire"
)

const (
	// maxWaiting is how many askers may wait for an upload slot. Without a
	// queue a busy instance refuses five of six askers, who all ask again at
	// once; with a long one askers wait here while others are idle.
	maxWaiting = 4
	// waitForSlot is how long an asker waits before it is told to go elsewhere.
	waitForSlot = time.Second
)

// ServeChunk answers a stream of peer.KindChunk. It runs on a traffic
// goroutine.
func (s *Swarm) ServeChunk(ctx context.Context, from keys.Identity, st *peer.Stream) {
	st.SetStallTimeout(s.opts.Stall)
	var open wire.ChunkOpen
	if err := st.Recv(&open); err != nil {
		st.Abort()
		return
	}
	if open.Exchange {
		s.acceptExchange(ctx, from, st, open)
		return
	}
	s.giveChunk(ctx, from, st, open)
}

// giveChunk sends one chunk, or the manifest, to a peer.
func (s *Swarm) giveChunk(ctx context.Context, from keys.Identity, st *peer.Stream, open wire.ChunkOpen) {
	defer func() { _ = st.CloseSend() }()
	data, status := s.takeUpload(ctx, from.ID, open)
	if status != wire.ChunkFollows {
		_ = st.Send(wire.ChunkHead{Status: status})
		return
	}
	if open.Index != manifestIndex {
		defer s.releaseUpload(from.ID, open.Manifest)
	}
	if err := s.sendChunk(ctx, st, data); err != nil {
		s.opts.Logger.Debug("chunk_upload_cut", zap.String("peer", string(from.ID)), zap.Error(err))
		st.Abort()
	}
}

func (s *Swarm) takeUpload(ctx context.Context, from fleet.InstanceID, open wire.ChunkOpen) ([]byte, wire.ChunkStatus) {
	deadline := time.Now().Add(waitForSlot)
	for {
		var answer uploadAnswer
		err := s.opts.Loop.Do(ctx, func(now time.Time) { answer = s.askUpload(now, from, open) })
		switch {
		case err != nil:
			s.giveBack(from, open, &answer)
			return nil, wire.ChunkMissing
		case answer.wait != nil && waitUntil(ctx, answer.wait, deadline):
			continue
		case answer.wait != nil:
			s.leaveQueue(open.Manifest, answer.wait)
			return nil, wire.ChunkBusy
		case answer.status != wire.ChunkFollows || open.Index == manifestIndex:
			return answer.data, answer.status
		}
		return s.readUpload(ctx, from, open.Manifest, answer.chunk)
	}
}

// giveBack undoes what an asker that has gone is granted all the same: its ask
// may still lie in the queue of the control loop, where this comes behind it.
// Kept, the slot would be lost for good.
func (s *Swarm) giveBack(from fleet.InstanceID, open wire.ChunkOpen, answer *uploadAnswer) {
	s.post(func(time.Time) {
		g, ok := s.gathers[open.Manifest]
		switch {
		case !ok:
		case answer.wait != nil:
			g.leaveWaiting(answer.wait)
		case answer.status == wire.ChunkFollows && open.Index != manifestIndex:
			g.plan.UploadEnded(from)
			g.nextWaiting()
		}
	})
}

// leaveQueue takes an asker that waits no more out of the queue, so that no
// turn is wasted on it.
func (s *Swarm) leaveQueue(manifest fleet.Digest, turn chan struct{}) {
	s.post(func(time.Time) {
		if g, ok := s.gathers[manifest]; ok {
			g.leaveWaiting(turn)
		}
	})
}

// leaveWaiting removes a turn, or passes it on if it has come already.
func (g *gather) leaveWaiting(turn chan struct{}) {
	before := len(g.waiting)
	g.waiting = slices.DeleteFunc(g.waiting, func(other chan struct{}) bool { return other == turn })
	if len(g.waiting) == before {
		g.nextWaiting()
	}
}

// uploadAnswer is the control loop's answer to an asker: a status, or a
// channel that closes when it should ask again.
type uploadAnswer struct {
	status wire.ChunkStatus
	wait   chan struct{}
	data   []byte // the manifest
	chunk  weights.Chunk
}

// askUpload runs on the control loop.
func (s *Swarm) askUpload(now time.Time, from fleet.InstanceID, open wire.ChunkOpen) uploadAnswer {
	g, ok := s.gathers[open.Manifest]
	switch {
	case !ok || g.plan == nil:
		return uploadAnswer{status: wire.ChunkMissing}
	case open.Index == manifestIndex:
		return uploadAnswer{status: wire.ChunkFollows, data: g.raw}
	case open.Index < 0 || open.Index >= len(g.manifest.Chunks) || !g.plan.Have().Has(open.Index):
		return uploadAnswer{status: wire.ChunkMissing}
	case g.plan.GrantUpload(now, from, open.Index):
		return uploadAnswer{status: wire.ChunkFollows, chunk: g.manifest.Chunks[open.Index]}
	case len(g.waiting) < maxWaiting:
		turn := make(chan struct{})
		g.waiting = append(g.waiting, turn)
		return uploadAnswer{wait: turn}
	default:
		return uploadAnswer{status: wire.ChunkBusy}
	}
}

// waitUntil reports whether turn closed before the deadline and ctx's end.
func waitUntil(ctx context.Context, turn chan struct{}, deadline time.Time) bool {
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case <-turn:
		return true
	case <-timer.C:
		return false
	case <-ctx.Done():
		return false
	}
}

func (s *Swarm) readUpload(ctx context.Context, from fleet.InstanceID, manifest fleet.Digest, chunk weights.Chunk) ([]byte, wire.ChunkStatus) {
	data, err := s.fromStage(ctx, manifest, chunk)
	if err != nil {
		s.opts.Metrics.Counter("stage_read_failures").Inc(1)
		s.opts.Logger.Warn("stage_chunk_unreadable", zap.Int("chunk", chunk.Index), zap.Error(err))
		s.releaseUpload(from, manifest)
		return nil, wire.ChunkMissing
	}
	return data, wire.ChunkFollows
}

// fromStage reads a chunk back and checks it once more. A stage that spoils
// bytes would otherwise make this instance a sender of bad chunks, which its
// neighbours avoid with all that it holds.
func (s *Swarm) fromStage(ctx context.Context, manifest fleet.Digest, chunk weights.Chunk) ([]byte, error) {
	data, err := s.opts.Stage.Get(ctx, manifest, chunk.Index)
	if err != nil {
		return nil, err
	}
	return data, chunk.Verify(data)
}

func (s *Swarm) releaseUpload(from fleet.InstanceID, manifest fleet.Digest) {
	s.post(func(time.Time) {
		if g, ok := s.gathers[manifest]; ok && g.plan != nil {
			g.plan.UploadEnded(from)
			g.nextWaiting()
		}
	})
}

// nextWaiting lets the first waiting asker ask again.
func (g *gather) nextWaiting() {
	if len(g.waiting) == 0 {
		return
	}
	close(g.waiting[0])
	g.waiting = g.waiting[1:]
}

func (s *Swarm) sendChunk(ctx context.Context, st *peer.Stream, data []byte) error {
	if err := st.Send(wire.ChunkHead{Status: wire.ChunkFollows, Bytes: len(data)}); err != nil {
		return err
	}
	for start := 0; start < len(data); start += s.opts.SendBytes {
		piece := data[start:min(start+s.opts.SendBytes, len(data))]
		if err := s.opts.Up.WaitN(ctx, len(piece)); err != nil {
			return err
		}
		if err := st.SendBytes(piece); err != nil {
			return err
		}
	}
	s.opts.Metrics.Counter("weights_given_bytes").Inc(int64(len(data)))
	return nil
}
