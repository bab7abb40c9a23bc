package loading

import (
	"cmp"
	"slices"
	"time"
)

// keptNames is how many versions of a model are remembered: more than are
// named within the time that one of them has.
const keptNames = 8

// Named is a version that the operator named, and since when this process
// knows of it.
type Named struct {
	Version uint64
	Since   time.Time
	// Assumed is true if the process found the version when it started, and
	// took it for long known. The word of one that knows goes before it: a
	// process that restarts in the middle of a change would otherwise have all
	// others take the old version out of service.
	Assumed bool
}

// Names are the versions named of one model, oldest first. The zero value is
// empty. A Names is not changed once it is shared; Add returns a new one.
type Names []Named

// Newest returns the version that is wanted; 0 if none was named.
func (n Names) Newest() uint64 {
	if len(n) == 0 {
		return 0
	}
	return n[len(n)-1].Version
}

// Add returns the names with one more, and whether that changed them. A version
// that is known stays with the earlier of both times, unless they differ by
// less than skew; an assumed time gives way to a known one.
func (n Names) Add(add Named, skew time.Duration) (Names, bool) {
	at, found := slices.BinarySearchFunc(n, add.Version, func(have Named, version uint64) int {
		return cmp.Compare(have.Version, version)
	})
	if found && !n[at].givesWay(add, skew) {
		return n, false
	}
	next := slices.Clone(n)
	if found {
		next[at] = add
		return next, true
	}
	next = slices.Insert(next, at, add)
	return next[max(0, len(next)-keptNames):], true
}

func (n Named) givesWay(to Named, skew time.Duration) bool {
	if n.Assumed != to.Assumed {
		return n.Assumed
	}
	return to.Since.Before(n.Since.Add(-skew))
}

// Correct returns what a process that has followed the platform makes of a
// version that another tells of. heard is the version as heard of now.
//
// An assumed time is wrong for one that was not there a moment ago. If a newer
// version is known already, this one was named before that.
func (n Names) Correct(told, heard Named) Named {
	if !told.Assumed || n.has(told.Version) {
		return told
	}
	newer, found := n.firstAfter(told.Version)
	switch {
	case !found:
		return heard
	case newer.Assumed:
		return told
	default:
		return Named{Version: told.Version, Since: newer.Since}
	}
}

func (n Names) has(version uint64) bool {
	return slices.ContainsFunc(n, func(have Named) bool { return have.Version == version })
}

func (n Names) firstAfter(version uint64) (Named, bool) {
	at := slices.IndexFunc(n, func(have Named) bool { return have.Version > version })
	if at < 0 {
		return Named{}, false
	}
	return n[at], true
}

// OutdatedSince returns since when a newer version than loaded has been named;
// false if there is none.
//
// What counts is the first newer one. A version that is named while the one
// before still spreads gives no more time to an engine that holds neither.
func (n Names) OutdatedSince(loaded uint64) (time.Time, bool) {
	newer, found := n.firstAfter(loaded)
	return newer.Since, found
}
