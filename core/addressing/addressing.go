// Package addressing decides which entry instances a caller is told to use.
//
// No balancer stands in front of the entries: a caller asks one of them,
// keeps the answer for its time to live and connects to the addresses in
// their order. So the order spreads the load, and an entry that leaves must
// go on serving until the last answer that names it has expired.
//
// An Answerer is safe for concurrent use if its Rand is; a *rand.Rand is not.
package addressing

import (
	"cmp"
	"math"
	"net/netip"
	"slices"
	"time"

	"chivespindle.example/core/fleet"
)

// Rand is the source of chance. A *rand.Rand of math/rand/v2 fits.
type Rand interface {
	// Float64 returns a number in [0, 1).
	Float64() float64
}

// Entry is one entry instance as the answering one knows it.
type Entry struct {
	ID fleet.InstanceID
	fleet.Place
	Addr netip.AddrPort // where callers connect
	// Leaving is true once the entry or the platform has announced its end.
	Leaving bool
	// Silent is true while nothing is heard of it.
	Silent bool
	// Load is the share of its capacity in use, 0 to 1.
	Load float64
}

// Result is one answer to a caller.
type Result struct {
	// Addresses are to be tried in this order. Empty if every entry leaves;
	// the caller asks again after TTL.
	Addresses []netip.AddrPort
	TTL       time.Duration
	Expires   time.Time
}

const (
	// DefaultTTL is how long a caller keeps an answer.
	DefaultTTL = 10 * time.Second
	// DefaultCount is how many addresses an answer names at most.
	DefaultCount = 3
	// announceTime is how long it takes at most until every entry has heard
	// that another leaves, and answers without it.
	announceTime = 5 * time.Second
	// connectTime is left to a caller that took the address from an answer
	// just before its end and now connects.
	connectTime = 2 * time.Second
	// overloaded is the load from which an entry is named after all others.
	overloaded = 0.9
	// minWeight is the weight of a fully loaded entry; an idle one has 1.
	minWeight = 0.05
)

// Options make an Answerer. Zero fields take the default.
type Options struct {
	TTL   time.Duration
	Count int
	Rand  Rand // required
}

// Answerer answers callers.
type Answerer struct {
	ttl   time.Duration
	count int
	rnd   Rand
}

// New returns an Answerer.
func New(o Options) *Answerer {
	a := &Answerer{ttl: DefaultTTL, count: DefaultCount, rnd: o.Rand}
	if o.TTL > 0 {
		a.ttl = o.TTL
	}
	if o.Count > 0 {
		a.count = o.Count
	}
	return a
}

// LeaveAfter returns how long a leaving entry must go on taking requests,
// counted from its announcement: until every entry has heard of it and the
// last answer that names it has expired and was used.
func LeaveAfter(ttl time.Duration) time.Duration {
	return announceTime + ttl + connectTime
}

// Answer names entries for a caller at hint, whose fields may be empty:
// near ones first, shuffled within each distance with the less loaded
// likelier in front, overloaded ones last. Leaving and silent entries are
// left out; silent ones are named if there is no other, since the answering
// entry may itself be the one cut off.
//
// If an answer holds two addresses or more they are not all of one zone, so
// that a caller whose zone fails still holds a way in.
func (a *Answerer) Answer(now time.Time, hint fleet.Place, entries []Entry) Result {
	result := Result{TTL: a.ttl, Expires: now.Add(a.ttl)}
	usable := usableOf(entries)
	hint = complete(hint, usable)
	ordered := a.order(hint, usable)
	for _, e := range mixZones(ordered, a.count) {
		result.Addresses = append(result.Addresses, e.Addr)
	}
	return result
}

// All names every entry that is of use, near ones first, for callers that try
// the addresses in an order of their own.
func (a *Answerer) All(hint fleet.Place, entries []Entry) []netip.AddrPort {
	usable := usableOf(entries)
	var addresses []netip.AddrPort
	for _, e := range a.order(complete(hint, usable), usable) {
		addresses = append(addresses, e.Addr)
	}
	return addresses
}

// usableOf returns the entries that are neither leaving nor silent; if there
// are none, the silent ones. Leaving ones never: LeaveAfter counts on it.
func usableOf(entries []Entry) []Entry {
	var live, silent []Entry
	for _, e := range entries {
		switch {
		case e.Leaving:
		case e.Silent:
			silent = append(silent, e)
		default:
			live = append(live, e)
		}
	}
	if len(live) == 0 {
		return silent
	}
	return live
}

// complete adds the region to a hint that names only a zone.
func complete(hint fleet.Place, entries []Entry) fleet.Place {
	if hint.Region != "" || hint.Zone == "" {
		return hint
	}
	for _, e := range entries {
		if e.Zone == hint.Zone {
			hint.Region = e.Region
			return hint
		}
	}
	return hint
}

type placed struct {
	Entry
	distance fleet.Distance
	key      float64
}

// order is a weighted shuffle within each distance: ordering by the logarithm
// of a uniform number over the weight draws without replacement by weight
// (Efraimidis and Spirakis, 2006).
func (a *Answerer) order(hint fleet.Place, entries []Entry) []placed {
	ordered := make([]placed, 0, len(entries))
	for _, e := range entries {
		weight := max(minWeight, 1-e.Load)
		ordered = append(ordered, placed{
			Entry:    e,
			distance: distanceOf(hint, e),
			key:      -math.Log(1-a.rnd.Float64()) / weight,
		})
	}
	slices.SortStableFunc(ordered, func(x, y placed) int {
		return cmp.Or(cmp.Compare(x.distance, y.distance), cmp.Compare(x.key, y.key))
	})
	return ordered
}

// distanceOf places an entry that is overloaded after all others.
func distanceOf(hint fleet.Place, e Entry) fleet.Distance {
	const lastChoice = fleet.OtherRegion + 1
	if e.Load >= overloaded {
		return lastChoice
	}
	return hint.DistanceTo(e.Place)
}

// mixZones returns the first count entries; if these are all of one zone, the
// last gives way to the first of another.
func mixZones(ordered []placed, count int) []placed {
	if len(ordered) <= count {
		return ordered
	}
	head := slices.Clone(ordered[:count])
	if count < 2 {
		return head
	}
	other := func(e placed) bool { return e.Zone != head[0].Zone }
	if slices.ContainsFunc(head, other) {
		return head
	}
	if i := slices.IndexFunc(ordered[count:], other); i >= 0 {
		head[count-1] = ordered[count+i]
	}
	return head
}
