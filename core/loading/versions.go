package loading

import (
	"cmp"
	"slices"
	"time"
)

// MaxVersion is the highest number of a version. Higher ones are not exchanged exactly as
// JSON numbers (RFC 8259, section 6), and a header that states one above 1<<63 is not read.
const MaxVersion = 1<<53 - 1

// maxNamed is how many versions of a model are remembered: more than are named within
// the time allowed for one of them.
const maxNamed = 8

// NamedVersion is a version named by the operator, and since when this process knows
// of it.
type NamedVersion struct {
	Version uint64
	Since   time.Time
	// Assumed is true if the process found the version when it started and assumed
	// that it had been named long before. A time known to another process takes
	// precedence: otherwise a process that restarts during a change would make all
	// others take the old version out of service.
	Assumed bool
}

// NamedVersions are the named versions of one model, oldest first. The zero value is
// empty. NamedVersions are immutable; Add returns a new value.
type NamedVersions []NamedVersion

// Newest returns the newest version, which is the wanted one; 0 if none was named.
func (n NamedVersions) Newest() uint64 {
	if len(n) == 0 {
		return 0
	}
	return n[len(n)-1].Version
}

// Add returns the versions with one more, and whether that changed them. For a
// version that is already present the earlier time is kept, unless the times differ by
// at most skew; an assumed time is replaced by a known one. A version above MaxVersion,
// which only a process of an earlier release reports, is not added: all engines would be
// outdated for good.
func (n NamedVersions) Add(added NamedVersion, skew time.Duration) (NamedVersions, bool) {
	if added.Version > MaxVersion {
		return n, false
	}
	at, found := slices.BinarySearchFunc(n, added.Version, func(have NamedVersion, version uint64) int {
		return cmp.Compare(have.Version, version)
	})
	if found && !n[at].yieldsTo(added, skew) {
		return n, false
	}
	next := slices.Clone(n)
	if found {
		next[at] = added
		return next, true
	}
	next = slices.Insert(next, at, added)
	return next[max(0, len(next)-maxNamed):], true
}

func (n NamedVersion) yieldsTo(to NamedVersion, skew time.Duration) bool {
	if n.Assumed != to.Assumed {
		return n.Assumed
	}
	return to.Since.Before(n.Since.Add(-skew))
}

// Reconcile returns the version reported by another process with its time corrected by
// what this process, which has followed the platform, knows. now is the version with
// the present time.
//
// An assumed time is wrong for a version that was not present a moment ago. If a newer
// version is already known, the reported one was named before it.
func (n NamedVersions) Reconcile(reported, now NamedVersion) NamedVersion {
	if !reported.Assumed || n.has(reported.Version) {
		return reported
	}
	newer, found := n.firstAfter(reported.Version)
	switch {
	case !found:
		return now
	case newer.Assumed:
		return reported
	default:
		return NamedVersion{Version: reported.Version, Since: newer.Since}
	}
}

func (n NamedVersions) has(version uint64) bool {
	return slices.ContainsFunc(n, func(have NamedVersion) bool { return have.Version == version })
}

func (n NamedVersions) firstAfter(version uint64) (NamedVersion, bool) {
	at := slices.IndexFunc(n, func(have NamedVersion) bool { return have.Version > version })
	if at < 0 {
		return NamedVersion{}, false
	}
	return n[at], true
}

// OutdatedSince returns since when a newer version than loaded has been named;
// false if there is none.
//
// The first newer version counts. A further version named while that one is still being
// distributed gives no additional time to an engine that has loaded neither.
func (n NamedVersions) OutdatedSince(loaded uint64) (time.Time, bool) {
	newer, found := n.firstAfter(loaded)
	return newer.Since, found
}
