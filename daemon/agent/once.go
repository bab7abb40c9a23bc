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
	// runningRetry is when a caller may ask again for work that still runs.
	runningRetry = time.Second
	// maxKeptAnswer bounds the answer that is collected for the record.
	maxKeptAnswer = 16 << 10
)

// ListRead is told the platform's instance list each time that it was read.
// The register follows the list and not the heartbeats: a silent home may have
// run a key, so it stays the home until the platform takes it off.
func (a *Agent) ListRead(now time.Time, list []fleet.Instance) {
	var members []fleet.InstanceID
	for _, i := range list {
		if i.Role == fleet.RoleAgent && i.Service == a.opts.Self.Service && !i.Leaving {
			members = append(members, i.ID)
		}
	}
	a.register.SetMembers(now, members)
}

// runOnce serves a request that must run at most once.
func (a *Agent) runOnce(ctx context.Context, s *peer.Stream, req wire.Request, body []byte) wire.ResponseEnd {
	key, err := once.ParseKey(req.Workspace, req.IdempotencyKey)
	if err != nil {
		return decided(notRun(req, err))
	}
	now := time.Now()
	facts := once.RequestInfo{ReceivedAt: req.Deadline.ReceivedAt(a.started, a.clock())}
	digest := digestOf(req, body)
	version, refused := a.admit(now, req)
	if refused != nil {
		return a.closeKey(s, req, key, digest, facts, refused)
	}
	verdict := a.register.Begin(now, key, digest, facts)
	if verdict.Action != once.Run {
		return a.repeat(s, req, verdict)
	}
	return a.passOnce(ctx, s, req, body, version, key)
}

// digestOf names the work: the path counts as much as the body.
func digestOf(req wire.Request, body []byte) fleet.Digest {
	named := append([]byte(req.Path), 0)
	return fleet.DigestOf(append(named, body...))
}

// closeKey answers a request that this agent cannot take now. Whether the
// caller may be told "not run" depends on what is known of the key. An answer
// on record needs no backend server, so it is given.
func (a *Agent) closeKey(s *peer.Stream, req wire.Request, key once.Key, digest fleet.Digest, facts once.RequestInfo, refused error) wire.ResponseEnd {
	verdict := a.register.Close(time.Now(), key, digest, facts)
	end := a.repeat(s, req, verdict)
	if verdict.Outcome == failure.NotRun {
		end.Reason = refused.Error()
		end.RetryAfterMS = failure.RetryAfter(refused).Milliseconds()
	}
	return end
}

// passOnce passes the work on. It goes on to its end though the entry or the
// caller goes away, so that asking again finds the answer.
func (a *Agent) passOnce(ctx context.Context, s *peer.Stream, req wire.Request, body []byte, version fleet.Version, key once.Key) wire.ResponseEnd {
	out := newAnswerStream(s, version)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), a.remaining(req))
	defer cancel()
	leave, err := a.enterRoom(ctx, req)
	if err != nil {
		a.register.Abandon(time.Now(), key)
		return decided(notRun(req, err))
	}
	defer func() { leave(out.first) }()
	if !a.register.MarkForwarded(key) {
		return decided(wire.ResponseEnd{ID: req.ID, Duplicate: true, Reason: "the key was taken meanwhile"})
	}
	var kept []byte
	end := a.passTo(ctx, req, body, version, func(p serving.Piece) error {
		if len(kept) <= maxKeptAnswer {
			kept = append(kept, p.Data...)
		}
		_ = out.piece(p) // finish tells of a failure; the work goes on
		return nil
	})
	result := once.Result{Outcome: outcomeOf(end), Status: statusOr200(end.Status), Version: end.Version}
	if len(kept) <= maxKeptAnswer {
		result.Body, result.HasBody = kept, true
	}
	a.register.Finish(time.Now(), key, result)
	return decided(out.finish(req, end))
}

func decided(end wire.ResponseEnd) wire.ResponseEnd {
	end.DecidedByHome = true
	return end
}

// repeat answers an ask with a key on record.
func (a *Agent) repeat(s *peer.Stream, req wire.Request, v once.Verdict) wire.ResponseEnd {
	if v.Action != once.Done || !v.Result.HasBody {
		return refusal(req, v)
	}
	out := newAnswerStream(s, v.Result.Version)
	if len(v.Result.Body) > 0 {
		_ = out.piece(serving.Piece{Status: v.Result.Status, Data: v.Result.Body}) // finish tells of a failure
	}
	end := wire.ResponseEnd{Outcome: wire.OutcomeRan, ID: req.ID, Status: v.Result.Status, Version: v.Result.Version}
	return decided(out.finish(req, end))
}

// refusal turns a verdict without an answer into the end of one.
func refusal(req wire.Request, v once.Verdict) wire.ResponseEnd {
	end := decided(wire.ResponseEnd{ID: req.ID, Duplicate: true})
	switch v.Action {
	case once.Running:
		end.Reason = "a request with this key runs now"
		end.RetryAfterMS = runningRetry.Milliseconds()
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
