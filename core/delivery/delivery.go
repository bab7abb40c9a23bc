// Package delivery decides what of a server's answer may be passed on to a caller, given
// what the caller already has.
//
// An event stream that breaks off can be resumed on another server, within one answer to
// the caller. The caller must get one beginning, each event once and in order, and a
// regular end only after the last event, whatever the servers answer.
package delivery

import "chivespindle.example/core/failure"

var (
	// NotContinued: an answer cannot follow what the caller has.
	NotContinued = failure.Namespace.NewType("not_continued")
	// OutOfOrder: an event does not follow the one before it, or an end the last event.
	OutOfOrder = failure.Namespace.NewType("events_out_of_order")
	// Illegal: a step that the stage of the answer does not allow.
	Illegal = failure.Namespace.NewType("illegal_delivery")
)

// NoEvent is the id of an event without one, and of the last event of a caller that has
// none.
const NoEvent = -1

// Stage is how much of its answer a caller has.
type Stage uint8

const (
	// Nothing: the answer has not started.
	Nothing Stage = iota
	// Partial: the head and some events were sent.
	Partial
	// Complete: the answer has ended regularly, or was refused.
	Complete
	// Cut: the answer ended before it was complete.
	Cut
)

// String returns the word used in logs.
func (s Stage) String() string {
	switch s {
	case Partial:
		return "partial"
	case Complete:
		return "complete"
	case Cut:
		return "cut"
	default:
		return "nothing"
	}
}

// Head is what a server's answer says before its body.
type Head struct {
	Status int
	// IsStream is true if the body is a stream of events.
	IsStream bool
	// Version is the version of the weights that answer; 0 if it is not stated.
	Version uint64
}

// IsEventStream reports whether the events can be passed on one by one. An error whose
// body is a stream is passed on whole or not at all.
func (h Head) IsEventStream() bool { return h.IsStream && h.Status/100 == 2 }

// Progress is what a caller has of its answer. It is used by one goroutine.
type Progress struct {
	stage Stage
	head  Head
	// last is the id of the last event that the caller has.
	last int64
	// lastHasID is true if the last event that was passed on has an id, after which
	// another server can resume.
	lastHasID bool
	// step is the difference between two ids in a row, 0 if it varies.
	step     int64
	numbered int // events with an id that were passed on here
}

// New returns the progress of a caller that has the events up to last of an earlier
// answer, NoEvent for none.
func New(last int64) *Progress { return &Progress{last: last, lastHasID: true, step: 1} }

// Stage returns how much of its answer the caller has.
func (p *Progress) Stage() Stage { return p.stage }

// HasStarted reports whether the caller has a part of its answer.
func (p *Progress) HasStarted() bool { return p.stage != Nothing }

// LastEvent returns the id of the last event that the caller has.
func (p *Progress) LastEvent() int64 { return p.last }

// Version returns the version of the weights that the answer began with.
func (p *Progress) Version() uint64 { return p.head.Version }

// MayResume reports whether another server can resume the stream after the last event
// that the caller has.
func (p *Progress) MayResume() bool { return p.lastHasID }

// Run is one server's run of the request.
type Run struct {
	head Head
	// resumes is true if the caller had a part of the answer before.
	resumes bool
	last    int64
	events  int
}

// Events returns how many events the server returned; 0 for no run.
func (r *Run) Events() int {
	if r == nil {
		return 0
	}
	return r.events
}

// Accept takes the head of a server's answer, and fails with NotContinued if it cannot
// follow what the caller has.
func (p *Progress) Accept(h Head) (*Run, error) {
	switch {
	case p.stage == Nothing:
		return &Run{head: h, last: NoEvent}, nil
	case p.stage != Partial:
		return nil, Illegal.New("an answer follows one that is %s", p.stage)
	case !p.lastHasID:
		return nil, NotContinued.New("the last event that the caller has is without an id")
	case !h.IsEventStream():
		return nil, NotContinued.New("status %d, stream %t", h.Status, h.IsStream)
	case h.Version != p.head.Version:
		return nil, NotContinued.New("version %d after version %d", h.Version, p.head.Version)
	default:
		return &Run{head: h, resumes: true, last: NoEvent}, nil
	}
}

// Event takes the id of a run's next event and reports whether it is to be passed on:
// the caller may have it already. It fails with OutOfOrder if the event does not follow.
func (p *Progress) Event(r *Run, id int64) (pass bool, err error) {
	if p.stage > Partial {
		return false, Illegal.New("an event follows an answer that is %s", p.stage)
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
	p.take(r, id)
	return true, nil
}

func (p *Progress) check(r *Run, id int64) error {
	switch {
	case id < 0 && r.resumes && r.last < p.last:
		return OutOfOrder.New("an event without an id at the start of a stream resumed after event %d", p.last)
	case id >= 0 && id <= r.last:
		return OutOfOrder.New("event %d after event %d", id, r.last)
	case r.resumes && r.last < p.last && id > p.last && p.step > 0 && id != p.last+p.step:
		return OutOfOrder.New("a stream resumed after event %d goes on with event %d", p.last, id)
	default:
		return nil
	}
}

func (p *Progress) take(r *Run, id int64) {
	if p.stage == Nothing {
		p.stage, p.head = Partial, r.head
	}
	p.lastHasID = id >= 0
	if !p.lastHasID {
		return
	}
	p.numbered++
	switch difference := id - p.last; {
	case p.numbered == 2:
		p.step = difference
	case p.numbered > 2 && difference != p.step:
		p.step = 0
	}
	p.last = id
}

// CheckEnd fails with OutOfOrder if the end of a run does not show that the caller has
// all events: a run must have reached the last one. A resumed run that returns no event
// does not show that it knows of any. A caller that comes with events of an earlier answer
// may have all of them.
func (p *Progress) CheckEnd(r *Run) error {
	if r.last < p.last && (r.resumes || r.last != NoEvent) {
		return OutOfOrder.New("a stream ended after event %d, the caller has event %d", r.last, p.last)
	}
	return nil
}

// Finish ends an answer regularly after a run.
func (p *Progress) Finish(r *Run) error {
	if err := p.CheckEnd(r); err != nil {
		return err
	}
	if p.stage > Partial {
		return Illegal.New("an end follows an answer that is %s", p.stage)
	}
	p.stage = Complete
	return nil
}

// Whole takes an answer whose body is known, or a refusal: nothing may come before it or
// after.
func (p *Progress) Whole() error {
	if p.stage != Nothing {
		return Illegal.New("a whole answer follows one that is %s", p.stage)
	}
	p.stage = Complete
	return nil
}

// Cut ends an answer that is not complete.
func (p *Progress) Cut() {
	if p.stage != Complete {
		p.stage = Cut
	}
}
