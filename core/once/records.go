package once

import (
	"slices"
	"time"

	"chivespindle.example/core/fleet"
)

// addRecord creates the record of a key at its first request.
func (r *Register) addRecord(now time.Time, key Key, digest fleet.Digest) *record {
	rec := &record{key: key, digest: digest, lastRequest: now}
	rec.requestElem = r.byLastRequest.PushBack(rec)
	r.records[key.id()] = rec
	return rec
}

func (r *Register) recordRequest(now time.Time, rec *record) {
	rec.lastRequest = now
	r.byLastRequest.MoveToBack(rec.requestElem)
}

// deleteExpired deletes the records that had no request for longer than Keep. The
// record of work that has not ended is never deleted.
func (r *Register) deleteExpired(now time.Time) {
	for {
		front := r.byLastRequest.Front()
		if front == nil {
			return
		}
		rec := front.Value.(*record)
		if now.Sub(rec.lastRequest) <= r.options.Keep {
			return
		}
		if rec.phase == started || rec.phase == forwarded {
			r.recordRequest(now, rec)
			continue
		}
		r.deleteRecord(rec)
	}
}

// deleteRecord deletes one record and updates the two limits that outlast it: a key
// with a date no later than latestDeleted may have run, and a request received no later
// than lastClosed stays refused. Without them, a delayed request could run a second
// time, or run after its caller was told that it had not.
func (r *Register) deleteRecord(rec *record) {
	if rec.phase == closed {
		r.lastClosed = later(r.lastClosed, rec.closedAt)
	} else if rec.key.Kind != Plain {
		r.latestDeleted = later(r.latestDeleted, rec.key.CreatedAt)
	}
	r.deleteBody(rec)
	r.byLastRequest.Remove(rec.requestElem)
	delete(r.records, rec.key.id())
}

// mayBeClosed reports whether a request for a key without a record may be one whose
// caller was told that it was not run.
func (r *Register) mayBeClosed(info RequestInfo) bool {
	return !r.lastClosed.IsZero() && !info.ReceivedAt.After(r.lastClosed)
}

// keepResult stores a result, with its body if there is one and it is small enough, and
// deletes the oldest bodies until the rest fits into MaxBytes.
func (r *Register) keepResult(rec *record, result Result) {
	body, given := result.Body, result.HasBody
	result.Body, result.HasBody = nil, false
	rec.result = result
	if !given || len(body) > min(r.options.MaxBody, r.options.MaxBytes) {
		return
	}
	rec.result.Body = slices.Clone(body)
	rec.result.HasBody = true
	rec.bodyElem = r.bodies.PushBack(rec)
	r.bytes += len(body)
	for r.bytes > r.options.MaxBytes {
		r.deleteBody(r.bodies.Front().Value.(*record))
	}
}

func (r *Register) deleteBody(rec *record) {
	if rec.bodyElem == nil {
		return
	}
	r.bodies.Remove(rec.bodyElem)
	rec.bodyElem = nil
	r.bytes -= len(rec.result.Body)
	rec.result.Body, rec.result.HasBody = nil, false
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
