package fleettext

import (
	"cmp"
	"fmt"
	"slices"

	"chivespindle.example/core/fleet"
)

// ChangeKind says what happened to a section.
type ChangeKind string

// Kinds of changes.
const (
	Added   ChangeKind = "added"
	Removed ChangeKind = "removed"
	Changed ChangeKind = "changed"
)

// Change is one difference between two states of the text.
type Change struct {
	// Section is the inside of the header, such as "service spindle-pool".
	Section string
	Kind    ChangeKind
	// Key, From and To are set for Changed. From and To are the values in
	// force, defaults included.
	Key, From, To string
}

// String returns the change in words for an operator.
func (c Change) String() string {
	if c.Kind == Changed {
		return fmt.Sprintf("%s: %s changed from %s to %s", c.Section, c.Key, c.From, c.To)
	}
	return c.Section + " " + string(c.Kind)
}

// Diff lists what changes in force from old to new, by section. A nil old
// stands for nothing. A key that is written out with its default is no
// change; a version's new manifest is one for each service that names it.
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
		changes = append(changes, diffSection(s.Name, old.effective(before), new.effective(s))...)
	}
	for _, s := range old.sections {
		if new.section(s.Name) == nil {
			changes = append(changes, Change{Section: s.Name, Kind: Removed})
		}
	}
	slices.SortStableFunc(changes, func(a, b Change) int { return cmp.Compare(a.Section, b.Section) })
	return changes
}

// diffSection compares values of the same keys in the same order.
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

// effective returns the values in force of a section of f.
func (f *Fleet) effective(s *parsedSection) []pair {
	switch value := s.value.(type) {
	case *fleetSettings:
		return shown(fleetKeys, value)
	case *versionSettings:
		return shown(versionKeys, value)
	case *serviceSettings:
		resolved := *value
		if version := f.services[fleet.ServiceName(s.id.name)].Version; !version.IsZero() {
			resolved.versionName = version.String()
		}
		return shown(serviceKeys, &resolved)
	case *Limits:
		return shown(workspaceKeys, value)
	default:
		return nil
	}
}
