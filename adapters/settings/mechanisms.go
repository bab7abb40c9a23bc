package settings

import (
	"cmp"
	"maps"
	"slices"
	"strings"

	"chivespindle.example/core/policy"
)

// mechanismSection is the one section of a file of mechanisms.
const mechanismSection = "mechanisms"

// Words of a mechanism's switch.
const (
	wordOn  = "on"
	wordOff = "off"
)

// LoadMechanisms reads which mechanisms are switched off from an INI file; all
// are on with an empty path. The error is of the type ErrInvalid and lists all
// faults.
func LoadMechanisms(path string) (policy.Disabled, error) {
	var off policy.Disabled
	if path == "" {
		return off, nil
	}
	r := newFileReader(path, func(name string) bool { return name == mechanismSection })
	r.readFile()
	for _, name := range slices.Sorted(maps.Keys(r.values)) {
		value := r.values[name]
		if reason := setMechanism(&off, name, strings.TrimSpace(value.text)); reason != "" {
			r.faults = append(r.faults, value.fault(reason))
		}
	}
	slices.SortStableFunc(r.faults, func(a, b Fault) int { return cmp.Compare(a.Line, b.Line) })
	return off, asError(r.faults)
}

// setMechanism sets one switch and returns the reason if it must be refused. A
// key of a section that is none needs no second fault.
func setMechanism(off *policy.Disabled, name, word string) string {
	key, ours := strings.CutPrefix(name, mechanismSection+".")
	switch {
	case !ours:
		return ""
	case word != wordOn && word != wordOff:
		return "is neither on nor off"
	case !off.Set(key, word == wordOff):
		return "names no mechanism"
	default:
		return ""
	}
}
