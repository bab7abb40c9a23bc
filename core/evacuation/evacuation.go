// Package evacuation holds which availability zones the operator has evacuated, from what
// an entry has read and received. It does no I/O and reads no clock.
package evacuation

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"chivespindle.example/core/catalog"
	"chivespindle.example/core/fleet"
)

const (
	// restoredRetention is for how long of a new era of the platform an evacuation of an
	// earlier era stays in effect that the platform no longer lists. The operator cannot
	// know that the write was lost, and a request to an evacuated zone does more harm than
	// the loss of one zone for a minute.
	restoredRetention = 60 * time.Second
	// maxZones bounds the records: they are part of each complete heartbeat. The largest
	// fleets have some ten zones.
	maxZones = 256
)

// State is the latest known state of each zone that was ever evacuated. Revisions order
// all updates, whatever their source.
type State struct {
	zones map[fleet.Zone]catalog.Evacuation
	// asOf is the revision up to which zones is complete: a zone without a record was not
	// evacuated then.
	asOf catalog.Revision
	// eraSince is when the era of asOf was first seen.
	eraSince time.Time
	// ignored is the number of records over maxZones.
	ignored int
}

// New returns a state in which nothing is known.
func New() *State { return &State{zones: make(map[fleet.Zone]catalog.Evacuation)} }

// AsOf returns the revision up to which the state is complete, 0 if it never was.
func (s *State) AsOf() catalog.Revision { return s.asOf }

// IsEvacuated reports whether nothing may be sent to the servers of a zone.
func (s *State) IsEvacuated(zone fleet.Zone) bool {
	known, ok := s.zones[zone]
	return ok && !known.Released
}

// Records returns the state of all zones that have one, ordered by zone.
func (s *State) Records() []catalog.Evacuation {
	return slices.SortedFunc(maps.Values(s.zones), func(a, b catalog.Evacuation) int { return cmp.Compare(a.Zone, b.Zone) })
}

// Ignored returns the number of records that were ignored since there were too many zones.
func (s *State) Ignored() int { return s.ignored }

// ApplyChanges records changes that the platform has reported and that are complete up to
// asOf. It returns the new state of the zones that were evacuated or released by them.
func (s *State) ApplyChanges(now time.Time, changes []catalog.Evacuation, asOf catalog.Revision) []catalog.Evacuation {
	var changed []catalog.Evacuation
	for _, c := range changes {
		changed = s.record(changed, c)
	}
	s.advance(now, asOf)
	return changed
}

// ApplyList is like ApplyChanges for a complete list of the evacuated zones. A zone that
// is not listed was released, if it was evacuated in the same era and not after the list.
// One that was evacuated in an earlier era may have been lost by the platform.
func (s *State) ApplyList(now time.Time, listed []catalog.Evacuation, asOf catalog.Revision) []catalog.Evacuation {
	var changed []catalog.Evacuation
	for _, c := range listed {
		changed = s.record(changed, c)
	}
	for _, known := range s.Records() {
		isListed := slices.ContainsFunc(listed, func(c catalog.Evacuation) bool { return c.Zone == known.Zone })
		if !isListed && !known.Released && isCoveredBy(known.Revision, asOf) {
			changed = s.record(changed, catalog.Evacuation{Zone: known.Zone, Revision: asOf, Released: true})
		}
	}
	s.advance(now, asOf)
	return changed
}

// ApplyReport is like ApplyChanges for all records of a peer. asOf is the revision up to
// which they are complete, 0 if the peer does not state it.
//
// An evacuation that is not in effect here although this state is complete up to a later
// revision was released by then, and so was one that the platform has lost for
// restoredRetention. That is recorded, so that the peer learns of it.
func (s *State) ApplyReport(now time.Time, records []catalog.Evacuation, asOf catalog.Revision) []catalog.Evacuation {
	var changed []catalog.Evacuation
	for _, r := range records {
		known := s.zones[r.Zone]
		if !r.Released && r.Revision > known.Revision && !s.IsEvacuated(r.Zone) &&
			(isCoveredBy(r.Revision, s.asOf) || s.isLost(now, r)) {
			r = catalog.Evacuation{Zone: r.Zone, Revision: s.asOf, Released: true}
		}
		changed = s.record(changed, r)
	}
	s.advance(now, asOf)
	return changed
}

// Expire releases the zones that were evacuated in an earlier era, if the platform has not
// listed them in the current one for restoredRetention. It returns their new state.
func (s *State) Expire(now time.Time) []catalog.Evacuation {
	var changed []catalog.Evacuation
	for _, known := range s.zones {
		if s.isLost(now, known) {
			changed = s.record(changed, catalog.Evacuation{Zone: known.Zone, Revision: s.asOf, Released: true})
		}
	}
	return changed
}

// Kept returns the evacuations of an earlier era that the platform no longer lists.
func (s *State) Kept() []catalog.Evacuation {
	return slices.DeleteFunc(s.Records(), func(known catalog.Evacuation) bool { return !s.isKept(known) })
}

func (s *State) isKept(known catalog.Evacuation) bool {
	return !known.Released && known.Revision.Era() < s.asOf.Era()
}

// isLost reports whether the platform has lost an evacuation for so long that it ends.
func (s *State) isLost(now time.Time, e catalog.Evacuation) bool {
	return s.isKept(e) && now.Sub(s.eraSince) >= restoredRetention
}

// record records the state of a zone, unless it is not newer than the known one. If that
// evacuates or releases the zone, it appends the state to changed. The first record of a
// zone that was released before changes nothing.
func (s *State) record(changed []catalog.Evacuation, r catalog.Evacuation) []catalog.Evacuation {
	known, ok := s.zones[r.Zone]
	if r.Zone == "" || r.Revision <= known.Revision {
		return changed
	}
	if !ok && len(s.zones) >= maxZones && !s.dropReleased() {
		s.ignored++
		return changed
	}
	wasEvacuated := s.IsEvacuated(r.Zone)
	s.zones[r.Zone] = r
	if wasEvacuated != r.Released {
		return changed
	}
	return append(changed, r)
}

// dropReleased drops the zone that was released first, and reports whether there is one.
func (s *State) dropReleased() bool {
	var oldest catalog.Evacuation
	for _, known := range s.zones {
		if known.Released && (oldest.Revision == 0 || known.Revision < oldest.Revision) {
			oldest = known
		}
	}
	delete(s.zones, oldest.Zone)
	return oldest.Revision != 0
}

func (s *State) advance(now time.Time, asOf catalog.Revision) {
	if asOf <= s.asOf {
		return
	}
	if s.asOf == 0 || asOf.Era() != s.asOf.Era() {
		s.eraSince = now
	}
	s.asOf = asOf
}

// isCoveredBy reports whether data that is complete up to asOf reflects a change. A new
// era may lack changes of earlier ones.
func isCoveredBy(change, asOf catalog.Revision) bool {
	return change <= asOf && change.Era() == asOf.Era()
}
