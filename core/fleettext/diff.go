package fleettext

import (
	"cmp"
	"fmt"
	"slices"

	"chivespindle.example/core/fleet"
)

// ChangeKind tells whether a section was added, removed or changed.
type ChangeKind string

// Kinds of changes.
const (
	Added   ChangeKind = "added"
	Removed ChangeKind = "removed"
	Changed ChangeKind = "changed"
)

// Change is one difference between two configurations.
type Change struct {
	// Section is the section header without brackets, such as "service spindle-pool".
	Section string
	Kind    ChangeKind
	// Key, From and To are set for Changed. From and To are the effective
	// values, including defaults.
	Key, From, To string
}

// String returns a description of the change for operators.
func (c Change) String() string {
	if c.Kind == Changed {
		return fmt.Sprintf("%s: %s changed from %s to %s", c.Section, c.Key, c.From, c.To)
	}
	return c.Section + " " + string(c.Kind)
}

// Diff lists the changes of effective values from old to new, sorted by section.
// A nil old stands for no configuration. Writing out a key with its default value
// is not a change. A new manifest of a version is also a change of each service
// that uses the version.
func Diff(old, new *Fleet) []Change {
	if old == nil {
		old = &Fleet{}
	}
	var changes []Change
	for _, s := range new.sections {
		before := old.section(s.Name)
		if before == nil {
			changes = append(changes, Change{Section: s.Name, Kind: Added})
			continue
		}
		changes = append(changes, diffSection(s.Name, old.effectiveValues(before), new.effectiveValues(s))...)
	}
	for _, s := range old.sections {
		if new.section(s.Name) == nil {
			changes = append(changes, Change{Section: s.Name, Kind: Removed})
		}
	}
	slices.SortStableFunc(changes, func(a, b Change) int { return cmp.Compare(a.Section, b.Section) })
	return changes
}

// diffSection compares the values of two states of one section, which have the
// same keys in the same order.
func diffSection(section string, before, after []pair) []Change {
	var changes []Change
	for i, now := range after {
		if was := before[i]; was.value != now.value {
			changes = append(changes, Change{
				Section: section, Kind: Changed, Key: now.key, From: was.value, To: now.value,
			})
		}
	}
	return changes
}

// effectiveValues returns the effective values of a section of f.
func (f *Fleet) effectiveValues(s *parsedSection) []pair {
	switch value := s.value.(type) {
	case *fleetSettings:
		return formatValues(fleetKeys, value)
	case *versionSettings:
		return formatValues(versionKeys, value)
	case *serviceSettings:
		resolved := *value
		if version := f.services[fleet.ServiceName(s.id.name)].Version; !version.IsZero() {
			resolved.versionName = version.String()
		}
		return formatValues(serviceKeys, &resolved)
	case *Limits:
		return formatValues(workspaceKeys, value)
	default:
		return nil
	}
}
