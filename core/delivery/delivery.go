// Package delivery decides which parts of a server's response may be forwarded to a
// caller, given what the caller has already received.
//
// An event stream that is interrupted can be resumed on another server within the same
// response to the caller. Whatever the servers send, the caller must receive one response
// head, each event once and in order, and a regular end only after the last event.
package delivery

import "chivespindle.example/core/failure"

var (
	// NotContinued: a response cannot continue what the caller has received.
	NotContinued = failure.Namespace.NewType("not_continued")
	// OutOfOrder: an event does not follow its predecessor, or a stream ended before the
	// last event.
	OutOfOrder = failure.Namespace.NewType("events_out_of_order")
	// IllegalTransition: the stage of the response does not allow the step.
	IllegalTransition = failure.Namespace.NewType("illegal_delivery")
)

// NoEvent stands for the ID of an event without an ID, and for the last event of a caller
// that has received none.
const NoEvent = -1

// Stage is how much of its response a caller has received.
type Stage uint8

const (
	// NotStarted: nothing was sent.
	NotStarted Stage = iota
	// Partial: the response head and some events were sent.
	Partial
	// Complete: the response has ended regularly, or the request was refused.
	Complete
	// Aborted: the response ended before it was complete.
	Aborted
)

// String returns the name used in logs.
func (s Stage) String() string {
	switch s {
	case Partial:
		return "partial"
	case Complete:
		return "complete"
	case Aborted:
		return "cut"
	default:
		return "nothing"
	}
}

// Head describes a server's response, as known before its body.
type Head struct {
	Status int
	// IsStream is true if the body is a stream of events.
	IsStream bool
	// Version is the version of the weights that produced the response; 0 if the server
	// does not state it.
	Version uint64
}

// IsEventStream reports whether the events can be forwarded one by one. An error response
// whose body is a stream is forwarded as a whole or not at all.
func (h Head) IsEventStream() bool { return h.IsStream && h.Status/100 == 2 }

// Progress tracks what a caller has received of its response. It is not safe for
// concurrent use.
type Progress struct {
	stage Stage
	head  Head
	// last is the ID of the last event that the caller has received.
	last int64
	// lastHasID is true if the last forwarded event has an ID, after which another server
	// can resume.
	lastHasID bool
	// step is the difference between consecutive IDs, 0 if it varies.
	step         int64
	eventsWithID int // forwarded events with an ID
}

// New returns the progress of a caller that has received the events up to last in an
// earlier response, NoEvent for none.
func New(last int64) *Progress { return &Progress{last: last, lastHasID: true, step: 1} }

// Stage returns how much of its response the caller has received.
func (p *Progress) Stage() Stage { return p.stage }

// HasStarted reports whether the caller has received a part of its response.
func (p *Progress) HasStarted() bool { return p.stage != NotStarted }

// LastEvent returns the ID of the last event that the caller has received.
func (p *Progress) LastEvent() int64 { return p.last }

// Version returns the version of the weights that the response started with.
func (p *Progress) Version() uint64 { return p.head.Version }

// CanResume reports whether another server can resume the stream after the last event
// that the caller has received.
func (p *Progress) CanResume() bool { return p.lastHasID }

// Attempt is one server's response to the request.
type Attempt struct {
	head Head
	// resumes is true if the caller had received a part of the response before.
	resumes bool
	last    int64
	events  int
}

// Events returns how many events the server returned; 0 for a nil attempt.
func (r *Attempt) Events() int {
	if r == nil {
		return 0
	}
	return r.events
}

// Accept starts an attempt with the head of a server's response. It fails with
// NotContinued if the response cannot continue what the caller has received.
func (p *Progress) Accept(h Head) (*Attempt, error) {
	switch {
	case p.stage == NotStarted:
		return &Attempt{head: h, last: NoEvent}, nil
	case p.stage != Partial:
		return nil, IllegalTransition.New("response after one in stage %s", p.stage)
	case !p.lastHasID:
		return nil, NotContinued.New("cannot resume: the last event sent to the caller has no ID")
	case !h.IsEventStream():
		return nil, NotContinued.New("cannot resume with a response of status %d, event stream %t", h.Status, h.IsStream)
	case h.Version != p.head.Version:
		return nil, NotContinued.New("cannot resume with weights version %d after version %d", h.Version, p.head.Version)
	default:
		return &Attempt{head: h, resumes: true, last: NoEvent}, nil
	}
}

// Event records the ID of an attempt's next event and reports whether the event is to be
// forwarded, that is, whether the caller lacks it. It fails with OutOfOrder if the event
// does not follow its predecessor.
func (p *Progress) Event(r *Attempt, id int64) (pass bool, err error) {
	if p.stage > Partial {
		return false, IllegalTransition.New("event after a response in stage %s", p.stage)
	}
	if err := p.check(r, id); err != nil {
		return false, err
	}
	r.events++
	if id >= 0 {
		r.last = id
		if id <= p.last {
			return false, nil
		}
	}
	p.record(r, id)
	return true, nil
}

func (p *Progress) check(r *Attempt, id int64) error {
	switch {
	case id < 0 && r.resumes && r.last < p.last:
		return OutOfOrder.New("event without an ID at the start of a stream resumed after event %d", p.last)
	case id >= 0 && id <= r.last:
		return OutOfOrder.New("event %d after event %d", id, r.last)
	case r.resumes && r.last < p.last && id > p.last && p.step > 0 && id != p.last+p.step:
		return OutOfOrder.New("stream resumed after event %d continues with event %d", p.last, id)
	default:
		return nil
	}
}

func (p *Progress) record(r *Attempt, id int64) {
	if p.stage == NotStarted {
		p.stage, p.head = Partial, r.head
	}
	p.lastHasID = id >= 0
	if !p.lastHasID {
		return
	}
	p.eventsWithID++
	switch difference := id - p.last; {
	case p.eventsWithID == 2:
		p.step = difference
	case p.eventsWithID > 2 && difference != p.step:
		p.step = 0
	}
	p.last = id
}

// CheckEnd fails with OutOfOrder if the end of an attempt does not prove that the caller
// has received all events: the attempt must have reached the last event that the caller
// has. A resumed attempt without events does not prove that the server knows of any. A
// caller with events of an earlier response may already have all of them.
func (p *Progress) CheckEnd(r *Attempt) error {
	if r.last < p.last && (r.resumes || r.last != NoEvent) {
		return OutOfOrder.New("stream ended after event %d, but the caller has received event %d", r.last, p.last)
	}
	return nil
}

// Finish ends a response regularly at the end of an attempt.
func (p *Progress) Finish(r *Attempt) error {
	if err := p.CheckEnd(r); err != nil {
		return err
	}
	if p.stage > Partial {
		return IllegalTransition.New("end of a response in stage %s", p.stage)
	}
	p.stage = Complete
	return nil
}

// FinishUnstreamed records a response that is sent at once, or a refusal. Nothing may
// precede or follow it.
func (p *Progress) FinishUnstreamed() error {
	if p.stage != NotStarted {
		return IllegalTransition.New("unstreamed response after one in stage %s", p.stage)
	}
	p.stage = Complete
	return nil
}

// BeginUnstreamed records the start of a response that is sent in parts and is no stream.
// No other server can continue it.
func (p *Progress) BeginUnstreamed() error {
	if p.stage != NotStarted {
		return IllegalTransition.New("unstreamed response after one in stage %s", p.stage)
	}
	p.stage, p.lastHasID = Partial, false
	return nil
}

// EndUnstreamed ends a response that BeginUnstreamed started.
func (p *Progress) EndUnstreamed() error {
	if p.stage != Partial {
		return IllegalTransition.New("end of an unstreamed response in stage %s", p.stage)
	}
	p.stage = Complete
	return nil
}

// Abort ends a response that is not complete.
func (p *Progress) Abort() {
	if p.stage != Complete {
		p.stage = Aborted
	}
}
