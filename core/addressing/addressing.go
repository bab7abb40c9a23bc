// Package addressing selects the entry instances that a caller should connect to.
//
// There is no load balancer in front of the entries: a caller asks one of them for
// addresses, caches the response for its TTL and connects to the addresses in the
// given order. So the order distributes the load, and a leaving entry must keep
// serving until the last response that lists it has expired.
//
// A Resolver is safe for concurrent use if its Rand is; a *rand.Rand is not.
package addressing

import (
	"cmp"
	"math"
	"net/netip"
	"slices"
	"time"

	"chivespindle.example/core/fleet"
	"chivespindle.example/core/residency"
)

// Rand is a source of random numbers, such as a *rand.Rand of math/rand/v2.
type Rand interface {
	// Float64 returns a random number in [0, 1).
	Float64() float64
}

// Entry is one entry instance as seen by the responding one.
type Entry struct {
	ID fleet.InstanceID
	fleet.Place
	Addr netip.AddrPort // where callers connect
	// Leaving is true once the entry or the platform has announced its shutdown.
	Leaving bool
	// Silent is true while no reports arrive from the entry.
	Silent bool
	// SeenAgo is the time since the entry was last known to be alive; 0 if it just was.
	SeenAgo time.Duration
	// Load is the fraction of its capacity in use, 0 to 1.
	Load float64
}

// Result is one response to a caller.
type Result struct {
	// Addresses are to be tried in this order. Empty if every entry is
	// leaving; the caller then asks again after TTL.
	Addresses []netip.AddrPort
	TTL       time.Duration
	Expires   time.Time
}

const (
	// DefaultTTL is how long a caller may cache a response.
	DefaultTTL = 10 * time.Second
	// DefaultMaxAddresses is the largest number of addresses in a response.
	DefaultMaxAddresses = 3
	// maxAnnounceTime is the longest time until every entry has received the
	// announcement of a leaving entry and no longer lists it.
	maxAnnounceTime = 5 * time.Second
	// connectMargin is for a caller that uses a response just before it
	// expires and still has to connect.
	connectMargin = 2 * time.Second
	// overloadThreshold is the load from which an entry is listed after all
	// others.
	overloadThreshold = 0.9
	// minWeight is the weight of a fully loaded entry; an idle one has 1.
	minWeight = 0.05
)

// Options configure a Resolver. Zero fields take the default.
type Options struct {
	TTL          time.Duration
	MaxAddresses int
	// MaxSilence is the longest SeenAgo with which an entry is listed; 0 for no bound.
	MaxSilence time.Duration
	Rand       Rand // required
}

// Resolver selects addresses for callers.
type Resolver struct {
	ttl          time.Duration
	maxAddresses int
	maxSilence   time.Duration
	rnd          Rand
}

// New returns a Resolver with the given options.
func New(o Options) *Resolver {
	r := &Resolver{ttl: DefaultTTL, maxAddresses: DefaultMaxAddresses, maxSilence: o.MaxSilence, rnd: o.Rand}
	if o.TTL > 0 {
		r.ttl = o.TTL
	}
	if o.MaxAddresses > 0 {
		r.maxAddresses = o.MaxAddresses
	}
	return r
}

// LeaveAfter returns how long a leaving entry must keep accepting requests after
// its announcement: until every entry has received it, the last response that
// lists the leaving entry has expired, and the callers that used it have connected.
func LeaveAfter(ttl time.Duration) time.Duration {
	return maxAnnounceTime + ttl + connectMargin
}

// Resolve selects entries for a caller at hint, whose fields may be empty.
// Nearer entries come first; at equal distance the order is random, weighted
// towards less loaded ones; overloaded ones come last. Leaving and silent entries
// are excluded, but silent ones are listed if there are no others, since the
// responding entry may itself be partitioned from the rest.
//
// Two or more addresses are never all in one zone if another zone has an entry,
// so that a caller whose zone fails still has an address to connect to.
func (r *Resolver) Resolve(now time.Time, hint fleet.Place, entries []Entry) Result {
	result := Result{TTL: r.ttl, Expires: now.Add(r.ttl)}
	usable := r.usableEntries(entries)
	hint = completeHint(hint, usable)
	ordered := r.order(hint, usable)
	for _, e := range spreadOverZones(ordered, r.maxAddresses) {
		result.Addresses = append(result.Addresses, e.Addr)
	}
	return result
}

// ResolveAll returns the addresses of all available entries, nearer ones first, for
// callers that choose their own order. Of the live entries, only those that allowed lists to
// the caller are included, unless it lists none of them. anyRegion is true in that case.
func (r *Resolver) ResolveAll(hint fleet.Place, entries []Entry, allowed residency.Regions) (addresses []netip.AddrPort, anyRegion bool) {
	usable := r.usableEntries(entries)
	hint = completeHint(hint, usable)
	listed := listedEntries(hint, usable, allowed)
	if len(listed) == 0 {
		listed, anyRegion = usable, allowed.IsRestricted()
	}
	for _, e := range r.order(hint, listed) {
		addresses = append(addresses, e.Addr)
	}
	return addresses, anyRegion
}

// listedEntries returns the live entries that allowed lists to the caller.
func listedEntries(hint fleet.Place, usable []Entry, allowed residency.Regions) []Entry {
	var listed []Entry
	for _, e := range usable {
		if !e.Silent && allowed.Lists(e.Region, hint.Region) {
			listed = append(listed, e)
		}
	}
	return listed
}

// usableEntries returns the entries that are neither leaving nor silent, or the
// silent ones if there are no others. Leaving entries are never included:
// LeaveAfter relies on it. Nor are those last seen more than maxSilence ago, which have
// ended unless the responding entry is cut off.
func (r *Resolver) usableEntries(entries []Entry) []Entry {
	var live, silent []Entry
	for _, e := range entries {
		switch {
		case e.Leaving:
		case r.maxSilence > 0 && e.SeenAgo > r.maxSilence:
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

// completeHint adds the region to a hint that has only a zone.
func completeHint(hint fleet.Place, entries []Entry) fleet.Place {
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

type rankedEntry struct {
	Entry
	distance fleet.Distance
	key      float64
}

// order sorts by distance and shuffles entries at equal distance by weight: sorting
// by -log(1-u)/weight with uniform u is weighted sampling without replacement
// (Efraimidis and Spirakis, 2006).
func (r *Resolver) order(hint fleet.Place, entries []Entry) []rankedEntry {
	ordered := make([]rankedEntry, 0, len(entries))
	for _, e := range entries {
		weight := max(minWeight, 1-e.Load)
		ordered = append(ordered, rankedEntry{
			Entry:    e,
			distance: distanceOf(hint, e),
			key:      -math.Log(1-r.rnd.Float64()) / weight,
		})
	}
	slices.SortStableFunc(ordered, func(x, y rankedEntry) int {
		return cmp.Or(cmp.Compare(x.distance, y.distance), cmp.Compare(x.key, y.key))
	})
	return ordered
}

// distanceOf returns the distance of an entry; an overloaded one sorts after all
// others.
func distanceOf(hint fleet.Place, e Entry) fleet.Distance {
	const lastChoice = fleet.OtherRegion + 1
	if e.Load >= overloadThreshold {
		return lastChoice
	}
	return hint.DistanceTo(e.Place)
}

// spreadOverZones returns the first count entries. If these are all in one zone,
// the last is replaced by the first entry of another zone.
func spreadOverZones(ordered []rankedEntry, count int) []rankedEntry {
	if len(ordered) <= count {
		return ordered
	}
	head := slices.Clone(ordered[:count])
	if count < 2 {
		return head
	}
	other := func(e rankedEntry) bool { return e.Zone != head[0].Zone }
	if slices.ContainsFunc(head, other) {
		return head
	}
	if i := slices.IndexFunc(ordered[count:], other); i >= 0 {
		head[count-1] = ordered[count+i]
	}
	return head
}
