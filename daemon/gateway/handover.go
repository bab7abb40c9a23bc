package gateway

import (
	"context"
	"time"

	"chivespindle.example/core/delivery"
	"chivespindle.example/core/failure"
	"chivespindle.example/core/placement"
)

const (
	// pauseShare is the part of the longest pause that callers bear within which
	// the next server must be predicted to go on; the rest is for the way there
	// and for what the prediction does not know.
	pauseShare = 0.7
	// worthMoving is the time that a stream must still need to be moved: what is
	// over sooner hardly delays the load, and its prompt would be read in vain.
	worthMoving = 400 * time.Millisecond
	// longerShare is the part of what is written already that a stream is taken to
	// last on when it is longer than its caller expected.
	longerShare = 0.3
)

// successor is where a stream goes on.
type successor struct {
	ticket *placement.Ticket
	answer Answer
	run    *delivery.Attempt
	until  time.Time // when the server ends its work on the call
}

// handOver has a stream go on at another server, and returns nil if it stays.
//
// An engine that was ordered to load takes nothing new until all that it runs
// has ended, which takes several times as long as the load. Its streams can be
// resumed on engines that still hold the same version, after the last event that was
// returned, and the caller sees a pause within the route's aim.
//
// The old server is left only once the next one returns events: a stream that left
// before would be cut if the next one declined it. Events of the old one wait on its
// connection meanwhile.
func (j *job) handOver(ctx context.Context, ticket *placement.Ticket) *successor {
	if j.g.opts.Off.HandOver || !ticket.IsDisplaced() || !j.mayMove(ticket) {
		return nil
	}
	now := time.Now()
	next, _ := j.g.board.Choose(now, j.askToResume(now, ticket))
	if next == nil {
		return nil
	}
	j.moveTried = true
	if !j.g.allowRepeat(now, j.service.Name) {
		next.End(now, placement.Abandoned)
		return nil
	}
	resumed, err := j.resumeOn(ctx, now, next, j.order(now, next))
	if err != nil {
		j.g.log.handedOver(j, ticket, next, err, j.withdrawn(ctx, time.Now(), next, err))
		return nil
	}
	j.g.log.handedOver(j, ticket, next, nil, nil)
	return resumed
}

// resumeOn sends the call to another server and returns that one once it has resumed the
// stream, within the longest pause that the route allows.
func (j *job) resumeOn(ctx context.Context, now time.Time, next *placement.Ticket, order Order) (*successor, error) {
	order.FirstBy = earlier(j.latestResponseTime(order.Until), now.Add(j.pauseAim()))
	j.attempts++
	answer, err := j.g.opts.Backend.Send(ctx, j.call, order)
	if err != nil {
		next.End(time.Now(), placement.Abandoned)
		return nil, err
	}
	j.noteLimit(now, next.Server, answer)
	if answer.NotRun() || answer.Misdirected() {
		answer.Close(answer.NotRun())
		next.End(time.Now(), placement.Declined)
		return nil, failure.Unavailable.New("declined with status %d", answer.Status())
	}
	run, err := j.reply.accept(answer)
	if err != nil {
		answer.Close(false)
		next.End(time.Now(), j.resultOf(answer))
		return nil, err
	}
	answer.SetDeadline(order.FirstBy)
	event, err := answer.Next()
	if err == nil {
		err = j.takeEvent(next, answer, run, event)
	}
	if err != nil {
		answer.Close(false)
		next.End(time.Now(), placement.Abandoned)
		return nil, err
	}
	return &successor{ticket: next, answer: answer, run: run, until: order.Until}, nil
}

func (j *job) pauseAim() time.Duration {
	if j.route.PauseAim > 0 {
		return j.route.PauseAim
	}
	return j.route.Aim
}

// mayMove reports whether the stream can go on elsewhere and is worth it.
func (j *job) mayMove(ticket *placement.Ticket) bool {
	if j.standing(time.Now()).IsQuarantined() {
		return false
	}
	if j.moveTried || j.service.Engine == nil || !j.hasStarted() || !j.mayBeSentAgain() || j.attempts >= j.route.MaxAttempts {
		return false
	}
	return j.service.Engine.Write(ticket.Work(), j.remainingTokens(ticket)) >= worthMoving
}

// remainingTokens is how many tokens the stream is expected to have yet.
func (j *job) remainingTokens(ticket *placement.Ticket) int {
	expected := j.call.Expected
	if expected == 0 {
		expected = j.service.Engine.UsualAnswer
	}
	written := ticket.Written()
	return max(expected-written, int(longerShare*float64(written)))
}

// askToResume describes the rest of a stream: what was written is read again.
func (j *job) askToResume(now time.Time, ticket *placement.Ticket) placement.Ask {
	a := j.ask(now)
	written := ticket.Written()
	a.Prompt += written
	a.Answer = max(0, a.Answer-written)
	a.Expected = j.remainingTokens(ticket)
	a.Late = false
	a.Exclude = placement.Exclude(j.exclude, ticket.Server.ID)
	a.Pause = time.Duration(pauseShare * float64(j.pauseAim()))
	return a
}
