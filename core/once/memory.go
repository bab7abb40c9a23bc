package once

import (
	"slices"
	"time"

	"chivespindle.example/core/fleet"
)

// add makes the record of a key that is asked for the first time.
func (r *Register) add(now time.Time, key Key, digest fleet.Digest) *record {
	rec := &record{key: key, digest: digest, touched: now}
	rec.inTouch = r.byTouch.PushBack(rec)
	r.records[key.id()] = rec
	return rec
}

func (r *Register) touch(now time.Time, rec *record) {
	rec.touched = now
	r.byTouch.MoveToBack(rec.inTouch)
}

// dropOld forgets the records that were not asked for since Keep. Work that
// has not ended is never forgotten.
func (r *Register) dropOld(now time.Time) {
	for {
		front := r.byTouch.Front()
		if front == nil {
			return
		}
		rec := front.Value.(*record)
		if now.Sub(rec.touched) <= r.options.Keep {
			return
		}
		if rec.phase == started || rec.phase == passed {
			r.touch(now, rec)
			continue
		}
		r.drop(rec)
	}
}

// drop forgets one record but not what follows from it: a key with a date as
// old as this one may have run, and an ask as old as a closed one stays
// refused. Without these two marks a late ask would run a second time, or
// after its caller was told that it had not.
func (r *Register) drop(rec *record) {
	if rec.phase == closed {
		r.closed = later(r.closed, rec.closedAt)
	} else if rec.key.Kind != Plain {
		r.forgotten = later(r.forgotten, rec.key.Made)
	}
	r.dropBody(rec)
	r.byTouch.Remove(rec.inTouch)
	delete(r.records, rec.key.id())
}

// closedBefore reports whether an ask for a key without a record may be one
// that was answered as not run.
func (r *Register) closedBefore(facts Facts) bool {
	return !r.closed.IsZero() && !facts.Asked.After(r.closed)
}

// keepResult stores a result, with its body if there is one and it is small, and
// drops the oldest bodies until all fit.
func (r *Register) keepResult(rec *record, result Result) {
	body, given := result.Body, result.BodyKept
	result.Body, result.BodyKept = nil, false
	rec.result = result
	if !given || len(body) > min(r.options.MaxBody, r.options.MaxBytes) {
		return
	}
	rec.result.Body = slices.Clone(body)
	rec.result.BodyKept = true
	rec.inBodies = r.bodies.PushBack(rec)
	r.bytes += len(body)
	for r.bytes > r.options.MaxBytes {
		r.dropBody(r.bodies.Front().Value.(*record))
	}
}

func (r *Register) dropBody(rec *record) {
	if rec.inBodies == nil {
		return
	}
	r.bodies.Remove(rec.inBodies)
	rec.inBodies = nil
	r.bytes -= len(rec.result.Body)
	rec.result.Body, rec.result.BodyKept = nil, false
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
