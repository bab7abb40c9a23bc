package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"go.uber.org/zap"

	"chivespindle.example/adapters/exchange"
	"chivespindle.example/core/memlimit"
	"chivespindle.example/core/placement"
)

const (
	// noMemoryRetryAfter is the Retry-After of an entry whose memory budget is used up. It
	// holds most bodies for less than that.
	noMemoryRetryAfter = 500 * time.Millisecond
	// forwardedPieceBytes is the size of the pieces in which a response is forwarded that
	// may not be buffered.
	forwardedPieceBytes = 16 << 10
	// writeSlack is how long after the deadline of a call its caller may take for the rest of a
	// response that has begun, such as when packets wait at a full link. A response that is
	// complete is delivered for as long as the caller accepts parts of it.
	writeSlack = 500 * time.Millisecond

	reasonNoMemory = "memory"
)

// NewHold returns the hold of a call's body.
func (g *Gateway) NewHold() memlimit.Hold { return g.opts.Memory.NewHold() }

// RefuseUnread refuses a call whose body may not be held. size is the length of the body,
// negative if unknown.
func (g *Gateway) RefuseUnread(call *Call, size int64, caller Caller) {
	j := &job{g: g, call: call, reply: newReply(g, call, caller)}
	g.log.memoryRefused(g.opts.Memory, whatRequest, callFields(j, zap.Int64("bytes", size))...)
	j.refuse(ErrorResponse{Code: Unavailable, RetryAfter: noMemoryRetryAfter, Reason: reasonNoMemory})
}

// What may not be held, in logs and metrics.
const (
	whatRequest  = "request"
	whatResponse = "response"
	// whatPartial is the head of a response, or an event of which a part has arrived.
	whatPartial = "partial_response"
)

// memoryRefused records a body that may not be held.
func (l *requestLog) memoryRefused(b *memlimit.Budget, what string, fields ...zap.Field) {
	l.metrics.Tagged(map[string]string{"what": what}).Counter("memory_refused").Inc(1)
	if l.allowed() {
		l.logger.Warn("memory_refused", append(fields, zap.String("what", what),
			zap.Int64("held", b.Held()), zap.Int64("limit", b.Limit()))...)
	}
}

// forwardUnbuffered forwards the response of a plain service that may not be buffered: the
// part that was read before, and the rest, within the same bound, as the caller reads it. The server has run the
// call, so it cannot be refused. An error response is dropped, since another server may
// respond better.
func (j *job) forwardUnbuffered(ctx context.Context, assignment *placement.Assignment, response Response, part []byte) bool {
	j.g.log.memoryRefused(j.g.opts.Memory, whatResponse, callFields(j, zap.String("server", string(assignment.Server.ID)))...)
	if response.Status() >= http.StatusInternalServerError || response.ImpliesNotRun() && !j.route.Idempotent() {
		return j.dropErrorResponse(ctx, assignment, response)
	}
	if err := j.reply.begin(response); err != nil {
		return j.endAbandonedStream(assignment, response)
	}
	j.heldResponse = nil
	response.SetDeadline(j.forwardUntil())
	rest := exchange.NewBoundedReader(response, maxBufferedBody-int64(len(part)), "the body")
	buffer := make([]byte, forwardedPieceBytes)
	for {
		if err := j.reply.part(part); err != nil {
			return j.endAbandonedStream(assignment, response)
		}
		j.responseHold.Release()
		n, err := rest.Read(buffer)
		part = buffer[:n]
		if errors.Is(err, io.EOF) {
			err = j.reply.part(part)
			if err != nil {
				return j.endAbandonedStream(assignment, response)
			}
			return j.endUnbuffered(ctx, assignment, response)
		}
		if err != nil {
			return j.handleStreamError(ctx, assignment, response, err)
		}
	}
}

// endUnbuffered handles the end of a response that was forwarded in parts.
func (j *job) endUnbuffered(ctx context.Context, assignment *placement.Assignment, response Response) bool {
	if err := j.checkServerAlive(ctx, assignment.Server, response); err != nil {
		return j.handleStreamError(ctx, assignment, response, err)
	}
	response.Close(true)
	now := time.Now()
	assignment.End(now, placement.Succeeded)
	j.recordSuccess(now)
	if response.Status()/100 == 2 {
		j.recordResponding(now, true)
	}
	if err := j.reply.end(); err != nil {
		j.endAbandonedCall()
		return false
	}
	j.g.log.served(j, response.Status())
	return false
}

// releaseDropped releases the bytes of a response that is not forwarded, unless an earlier
// one is kept.
func (j *job) releaseDropped() {
	if j.heldResponse == nil {
		j.responseHold.Release()
	}
}

// dropErrorResponse ends an attempt whose error response is not forwarded.
func (j *job) dropErrorResponse(ctx context.Context, assignment *placement.Assignment, response Response) bool {
	response.Close(false)
	j.releaseDropped()
	now := time.Now()
	assignment.End(now, j.resultOfFailure(now))
	j.g.log.serverError(j, assignment, response.Status())
	j.exclude = placement.Exclude(j.exclude, assignment.Server.ID)
	if j.shouldRetry(ctx, now) {
		return true
	}
	return j.endCall(ctx, now, reasonNoMemory)
}
