package fleettext

import (
	"slices"

	"chivespindle.example/core/failure"
	"chivespindle.example/core/fleet"
)

// WrongBase means that a Delta was computed against another configuration than the one
// it was applied to. The receiver then requests the complete configuration, which is the
// Delta from the zero Outline.
var WrongBase = failure.Namespace.NewType("wrong_base")

// Delta describes the change from one configuration to another. It carries only
// the changed sections: sending the complete configuration for every change would
// exceed the traffic allowance of a node several times over.
type Delta struct {
	// Base is the digest of the configuration that the delta applies to; zero
	// for none.
	Base fleet.Digest `cbor:"1,keyasint"`
	// Result is the digest of the resulting configuration.
	Result fleet.Digest `cbor:"2,keyasint"`
	// Changed holds the added and modified sections.
	Changed []Section `cbor:"3,keyasint,omitempty"`
	// Removed lists the names of the removed sections.
	Removed []string `cbor:"4,keyasint,omitempty"`
}

// Outline holds the digests of a configuration and its sections, which is all
// that is needed to compute a Delta from it. It takes a small part of the
// memory of a Fleet. The zero value stands for no configuration.
type Outline struct {
	digest   fleet.Digest
	sections map[string]fleet.Digest
}

// Digest returns the digest of the configuration.
func (o Outline) Digest() fleet.Digest { return o.digest }

// Outline returns the outline of f.
func (f *Fleet) Outline() Outline {
	o := Outline{digest: f.digest, sections: make(map[string]fleet.Digest, len(f.sections))}
	for _, s := range f.sections {
		o.sections[s.Name] = s.Digest
	}
	return o
}

// NewDelta returns the change from base to result. With the zero Outline as
// base it contains the complete configuration.
func NewDelta(base Outline, result *Fleet) Delta {
	d := Delta{Base: base.digest, Result: result.digest}
	for _, s := range result.sections {
		if base.sections[s.Name] != s.Digest {
			d.Changed = append(d.Changed, s.Section)
		}
	}
	for name := range base.sections {
		if result.section(name) == nil {
			d.Removed = append(d.Removed, name)
		}
	}
	slices.Sort(d.Removed)
	return d
}

// Apply returns the configuration that results from applying d to base, which
// may be nil. It parses only the changed sections; the others are shared with
// base.
//
// Errors: WrongBase if d was computed against another base; failure.Invalid with
// a *CheckError, as from Load, if the result is not valid for this process;
// failure.Corrupt if the digest of the result is not the one in d.
func Apply(file string, base *Fleet, d Delta) (*Fleet, error) {
	kept, err := keptSections(base, d)
	if err != nil {
		return nil, err
	}
	faults := &faultList{file: file}
	changed := parseSections(Join(d.Changed), nil, faults)
	sections := append(kept, changed...)
	if size := joinedSize(sections); size > MaxBytes {
		faults.add(1, "text has %d bytes, at most %d are allowed", size, MaxBytes)
	}
	if err := faults.err(); err != nil {
		return nil, err
	}
	if err := checkSectionNames(d.Changed, changed); err != nil {
		return nil, err
	}
	f := assemble(sections, faults)
	if !faults.empty() {
		// The lines of unchanged sections refer to an older file. Loading
		// the canonical text gives consistent line numbers.
		return Load(file, Join(f.Sections()))
	}
	releaseLines(changed)
	if f.digest != d.Result {
		return nil, failure.Corrupt.New("configuration has digest %s after applying the delta, want %s", f.digest, d.Result)
	}
	return f, nil
}

// keptSections returns the sections of base that d does not change.
func keptSections(base *Fleet, d Delta) ([]*parsedSection, error) {
	var have fleet.Digest
	var sections []*parsedSection
	if base != nil {
		have = base.digest
		sections = base.sections
	}
	if have != d.Base {
		return nil, WrongBase.New("delta applies to configuration %s, have %s", d.Base, have)
	}
	dropped := make(map[string]bool, len(d.Changed)+len(d.Removed))
	for _, s := range d.Changed {
		dropped[s.Name] = true
	}
	for _, name := range d.Removed {
		dropped[name] = true
	}
	kept := make([]*parsedSection, 0, len(sections)+len(d.Changed))
	for _, s := range sections {
		if !dropped[s.Name] {
			kept = append(kept, s)
		}
	}
	return kept, nil
}

// checkSectionNames rejects a section that was sent under another name than the
// one in its header: it would be added beside the section that it should replace.
func checkSectionNames(sent []Section, parsed []*parsedSection) error {
	names := make(map[string]bool, len(sent))
	for _, s := range sent {
		names[s.Name] = true
	}
	for _, s := range parsed {
		if !names[s.Name] {
			return failure.Corrupt.New("section [%s] was sent under another name", s.Name)
		}
	}
	return nil
}

func joinedSize(sections []*parsedSection) int {
	size := 0
	for _, s := range sections {
		size += len(s.Text)
	}
	return max(0, size-1)
}
