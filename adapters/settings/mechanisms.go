package settings

import (
	"cmp"
	"maps"
	"slices"
	"strings"

	"chivespindle.example/core/policy"
)

// mechanismSection is the only section of a mechanisms file.
const mechanismSection = "mechanisms"

// Values of a mechanism.
const (
	stateOn  = "on"
	stateOff = "off"
)

// LoadMechanisms reads from an INI file which mechanisms are disabled. All are
// enabled if path is empty. The error is of type ErrInvalid and lists all faults.
func LoadMechanisms(path string) (policy.Disabled, error) {
	var disabled policy.Disabled
	if path == "" {
		return disabled, nil
	}
	r := newFileReader(path, func(name string) bool { return name == mechanismSection })
	r.readFile()
	for _, name := range slices.Sorted(maps.Keys(r.values)) {
		value := r.values[name]
		if reason := setMechanism(&disabled, name, strings.TrimSpace(value.text)); reason != "" {
			r.faults = append(r.faults, value.newFault(reason))
		}
	}
	slices.SortStableFunc(r.faults, func(a, b Fault) int { return cmp.Compare(a.Line, b.Line) })
	return disabled, newFaultsError(r.faults)
}

// setMechanism sets one mechanism. It returns the reason if the key or its value is
// invalid. Keys of other sections are ignored, since the section is reported
// already.
func setMechanism(disabled *policy.Disabled, name, state string) string {
	key, inSection := strings.CutPrefix(name, mechanismSection+".")
	switch {
	case !inSection:
		return ""
	case state != stateOn && state != stateOff:
		return "is neither on nor off"
	case !disabled.Set(key, state == stateOff):
		return "names no mechanism"
	default:
		return ""
	}
}
