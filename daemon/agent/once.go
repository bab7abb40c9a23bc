package agent

import (
	"context"
	"time"

	"chivespindle.example/adapters/peer"
	"chivespindle.example/core/failure"
	"chivespindle.example/core/fleet"
	"chivespindle.example/core/once"
	"chivespindle.example/core/serving"
	"chivespindle.example/daemon/wire"
)

const (
	// runningRetryAfter is the retry delay for a request that is still running.
	runningRetryAfter = time.Second
	// maxKeptBody is the maximum size of a response body that is collected for the
	// record.
	maxKeptBody = 16 << 10
)

// HandleList is called with the platform's instance list after each read. The
// register follows the list and not the heartbeats: a silent home may have run the
// request of a key, so it remains the home until the platform removes it.
func (a *Agent) HandleList(now time.Time, list []fleet.Instance) {
	var members []fleet.InstanceID
	for _, i := range list {
		if i.Role == fleet.RoleAgent && i.Service == a.opts.Self.Service && !i.Leaving {
			members = append(members, i.ID)
		}
	}
	a.register.SetMembers(now, members)
}

// runOnce serves a non-idempotent request.
func (a *Agent) runOnce(ctx context.Context, s *peer.Stream, req wire.Request, body []byte) wire.ResponseEnd {
	key, err := once.ParseKey(req.Workspace, req.IdempotencyKey)
	if err != nil {
		return decidedByHome(notRunEnd(req, err))
	}
	now := time.Now()
	info := once.RequestInfo{ReceivedAt: req.Deadline.ReceivedAt(a.started, a.clockReading())}
	digest := workDigest(req, body)
	version, refused := a.admit(now, req)
	if refused != nil {
		return a.closeKey(s, req, key, digest, info, refused)
	}
	verdict := a.register.Begin(now, key, digest, info)
	if verdict.Action != once.Run {
		return a.replyFromRecord(s, req, verdict)
	}
	return a.forwardOnce(ctx, s, req, body, version, key)
}

// workDigest identifies the request by its path and body.
func workDigest(req wire.Request, body []byte) fleet.Digest {
	hashed := append([]byte(req.Path), 0)
	return fleet.DigestOf(append(hashed, body...))
}

// closeKey responds to a request that this agent cannot accept now. Whether the
// caller may be told "not run" depends on the record of the key. A recorded
// response is returned, since it needs no backend server.
func (a *Agent) closeKey(s *peer.Stream, req wire.Request, key once.Key, digest fleet.Digest, info once.RequestInfo, refused error) wire.ResponseEnd {
	verdict := a.register.Close(time.Now(), key, digest, info)
	end := a.replyFromRecord(s, req, verdict)
	if verdict.Outcome == failure.NotRun {
		end.Reason = refused.Error()
		end.RetryAfterMS = failure.RetryAfter(refused).Milliseconds()
	}
	return end
}

// forwardOnce forwards the request and lets it complete even if the entry or the
// caller disconnects, so that a retry finds the response.
func (a *Agent) forwardOnce(ctx context.Context, s *peer.Stream, req wire.Request, body []byte, version fleet.Version, key once.Key) wire.ResponseEnd {
	out := newResponseStream(s, version)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), a.remaining(req))
	defer cancel()
	release, err := a.waitForSlot(ctx, req)
	if err != nil {
		a.register.Abandon(time.Now(), key)
		return decidedByHome(notRunEnd(req, err))
	}
	defer func() { release(out.firstPieceDelay) }()
	if !a.register.MarkForwarded(key) {
		return decidedByHome(wire.ResponseEnd{ID: req.ID, Duplicate: true, Reason: "the key was taken meanwhile"})
	}
	var keptBody []byte
	end := a.forward(ctx, req, body, version, func(p serving.Piece) error {
		if len(keptBody) <= maxKeptBody {
			keptBody = append(keptBody, p.Data...)
		}
		_ = out.sendPiece(p) // finish reports an error; the request continues
		return nil
	})
	result := once.Result{Outcome: outcomeOf(end), Status: statusOr200(end.Status), Version: end.Version}
	if len(keptBody) <= maxKeptBody {
		result.Body, result.HasBody = keptBody, true
	}
	a.register.Finish(time.Now(), key, result)
	return decidedByHome(out.finish(req, end))
}

func decidedByHome(end wire.ResponseEnd) wire.ResponseEnd {
	end.DecidedByHome = true
	return end
}

// replyFromRecord responds to a request whose key is on record.
func (a *Agent) replyFromRecord(s *peer.Stream, req wire.Request, v once.Verdict) wire.ResponseEnd {
	if v.Action != once.Done || !v.Result.HasBody {
		return refusalEnd(req, v)
	}
	out := newResponseStream(s, v.Result.Version)
	if len(v.Result.Body) > 0 {
		_ = out.sendPiece(serving.Piece{Status: v.Result.Status, Data: v.Result.Body}) // finish reports an error
	}
	end := wire.ResponseEnd{Outcome: wire.OutcomeRan, ID: req.ID, Status: v.Result.Status, Version: v.Result.Version}
	return decidedByHome(out.finish(req, end))
}

// refusalEnd converts a verdict without a recorded response to the end of a
// response.
func refusalEnd(req wire.Request, v once.Verdict) wire.ResponseEnd {
	end := decidedByHome(wire.ResponseEnd{ID: req.ID, Duplicate: true})
	switch v.Action {
	case once.Running:
		end.Reason = "a request with this key runs now"
		end.RetryAfterMS = runningRetryAfter.Milliseconds()
	case once.Done:
		end.Outcome = wire.OutcomeRan
		end.Reason = "it ran before; its answer was too large to keep"
	default:
		end.Reason = "key " + string(v.Reason)
		end.Duplicate = v.Reason == once.OtherBody
		if v.Outcome == failure.NotRun {
			end.Outcome = wire.OutcomeNotRun
		}
	}
	return end
}
