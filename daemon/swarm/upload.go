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
	// maxUploadQueue is the number of requests that may wait for an upload slot.
	// Without a queue, a busy instance refuses five of six requests, and all of
	// them are retried at once; with a long queue, peers wait here while other
	// instances are idle.
	maxUploadQueue = 4
	// uploadQueueTimeout is how long a request waits for a slot before it is
	// refused as busy, so that the peer can go elsewhere.
	uploadQueueTimeout = time.Second
)

// ServeChunk serves a stream of peer.KindChunk. It runs on a traffic goroutine.
func (s *Swarm) ServeChunk(ctx context.Context, from keys.Identity, st *peer.Stream) {
	st.SetStallTimeout(s.opts.StallTimeout)
	var request wire.ChunkRequest
	if err := st.Recv(&request); err != nil {
		st.Abort()
		return
	}
	if request.Exchange {
		s.acceptExchange(ctx, from, st, request)
		return
	}
	s.serveData(ctx, from, st, request)
}

// serveData sends one chunk, or the manifest, to a peer.
func (s *Swarm) serveData(ctx context.Context, from keys.Identity, st *peer.Stream, request wire.ChunkRequest) {
	defer func() { _ = st.CloseSend() }()
	data, status := s.acquireUpload(ctx, from.ID, request)
	if status != wire.ChunkFollows {
		_ = st.Send(wire.ChunkHeader{Status: status})
		return
	}
	if request.Index != manifestIndex {
		defer s.releaseUpload(from.ID, request.Manifest)
	}
	if err := s.sendChunk(ctx, st, data); err != nil {
		s.opts.Logger.Debug("chunk_upload_cut", zap.String("peer", string(from.ID)), zap.Error(err))
		st.Abort()
	}
}

func (s *Swarm) acquireUpload(ctx context.Context, from fleet.InstanceID, request wire.ChunkRequest) ([]byte, wire.ChunkStatus) {
	deadline := time.Now().Add(uploadQueueTimeout)
	for {
		var decision uploadDecision
		err := s.opts.Loop.Do(ctx, func(now time.Time) { decision = s.decideUpload(now, from, request) })
		switch {
		case err != nil:
			s.revertDecision(from, request, &decision)
			return nil, wire.ChunkMissing
		case decision.wait != nil && waitReady(ctx, decision.wait, deadline):
			continue
		case decision.wait != nil:
			s.leaveUploadQueue(request.Manifest, decision.wait)
			return nil, wire.ChunkBusy
		case decision.status != wire.ChunkFollows || request.Index == manifestIndex:
			return decision.data, decision.status
		}
		return s.readUploadChunk(ctx, from, request.Manifest, decision.chunk)
	}
}

// revertDecision undoes a decision for a request that has ended in the meantime:
// the request may still be in the queue of the control loop, and this event is
// queued behind it. Otherwise its upload slot would never be released.
func (s *Swarm) revertDecision(from fleet.InstanceID, request wire.ChunkRequest, decision *uploadDecision) {
	s.post(func(time.Time) {
		d, ok := s.downloads[request.Manifest]
		switch {
		case !ok:
		case decision.wait != nil:
			d.removeQueued(decision.wait)
		case decision.status == wire.ChunkFollows && request.Index != manifestIndex:
			d.plan.UploadEnded(from)
			d.wakeNextUpload()
		}
	})
}

// leaveUploadQueue removes a request that no longer waits, so that no slot is
// offered to it.
func (s *Swarm) leaveUploadQueue(manifest fleet.Digest, ready chan struct{}) {
	s.post(func(time.Time) {
		if d, ok := s.downloads[manifest]; ok {
			d.removeQueued(ready)
		}
	})
}

// removeQueued removes a request from the queue. If it has been woken already,
// the next one is woken instead.
func (d *download) removeQueued(ready chan struct{}) {
	before := len(d.uploadQueue)
	d.uploadQueue = slices.DeleteFunc(d.uploadQueue, func(other chan struct{}) bool { return other == ready })
	if len(d.uploadQueue) == before {
		d.wakeNextUpload()
	}
}

// uploadDecision is the control loop's decision on a request: a status, or a
// channel that is closed when the request should be tried again.
type uploadDecision struct {
	status wire.ChunkStatus
	wait   chan struct{}
	data   []byte // the manifest
	chunk  weights.Chunk
}

// decideUpload decides on a request for a chunk or the manifest. It runs on the
// control loop.
func (s *Swarm) decideUpload(now time.Time, from fleet.InstanceID, request wire.ChunkRequest) uploadDecision {
	d, ok := s.downloads[request.Manifest]
	switch {
	case !ok || d.plan == nil:
		return uploadDecision{status: wire.ChunkMissing}
	case request.Index == manifestIndex:
		return uploadDecision{status: wire.ChunkFollows, data: d.rawManifest}
	case request.Index < 0 || request.Index >= len(d.manifest.Chunks) || !d.plan.Have().Has(request.Index):
		return uploadDecision{status: wire.ChunkMissing}
	case d.plan.GrantUpload(now, from, request.Index):
		return uploadDecision{status: wire.ChunkFollows, chunk: d.manifest.Chunks[request.Index]}
	case len(d.uploadQueue) < maxUploadQueue:
		ready := make(chan struct{})
		d.uploadQueue = append(d.uploadQueue, ready)
		return uploadDecision{wait: ready}
	default:
		return uploadDecision{status: wire.ChunkBusy}
	}
}

// waitReady reports whether ready was closed before the deadline and before ctx
// ended.
func waitReady(ctx context.Context, ready chan struct{}, deadline time.Time) bool {
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case <-ready:
		return true
	case <-timer.C:
		return false
	case <-ctx.Done():
		return false
	}
}

func (s *Swarm) readUploadChunk(ctx context.Context, from fleet.InstanceID, manifest fleet.Digest, chunk weights.Chunk) ([]byte, wire.ChunkStatus) {
	data, err := s.readVerified(ctx, manifest, chunk)
	if err != nil {
		s.opts.Metrics.Counter("stage_read_failures").Inc(1)
		s.opts.Logger.Warn("stage_chunk_unreadable", zap.Int("chunk", chunk.Index), zap.Error(err))
		s.releaseUpload(from, manifest)
		return nil, wire.ChunkMissing
	}
	return data, wire.ChunkFollows
}

// readVerified reads a chunk back from the stage and verifies it again.
// Otherwise a stage that corrupts bytes would make this instance a sender of
// corrupt chunks, and its neighbours would avoid it for all chunks that it
// holds.
func (s *Swarm) readVerified(ctx context.Context, manifest fleet.Digest, chunk weights.Chunk) ([]byte, error) {
	data, err := s.opts.Stage.Get(ctx, manifest, chunk.Index)
	if err != nil {
		return nil, err
	}
	return data, chunk.Verify(data)
}

func (s *Swarm) releaseUpload(from fleet.InstanceID, manifest fleet.Digest) {
	s.post(func(time.Time) {
		if d, ok := s.downloads[manifest]; ok && d.plan != nil {
			d.plan.UploadEnded(from)
			d.wakeNextUpload()
		}
	})
}

// wakeNextUpload wakes the first waiting request, which then tries again.
func (d *download) wakeNextUpload() {
	if len(d.uploadQueue) == 0 {
		return
	}
	close(d.uploadQueue[0])
	d.uploadQueue = d.uploadQueue[1:]
}

func (s *Swarm) sendChunk(ctx context.Context, st *peer.Stream, data []byte) error {
	if err := st.Send(wire.ChunkHeader{Status: wire.ChunkFollows, Bytes: len(data)}); err != nil {
		return err
	}
	for start := 0; start < len(data); start += s.opts.SendBytes {
		piece := data[start:min(start+s.opts.SendBytes, len(data))]
		if err := s.opts.UploadLimiter.WaitN(ctx, len(piece)); err != nil {
			return err
		}
		if err := st.SendBytes(piece); err != nil {
			return err
		}
	}
	s.opts.Metrics.Counter("weights_given_bytes").Inc(int64(len(data)))
	return nil
}
