package fleettext

import (
	"slices"

	"chivespindle.example/core/failure"
	"chivespindle.example/core/fleet"
)

// WrongBase means that a Delta was made for another state of the text than the one it
// was applied to. The receiver asks for the whole text, which is the Delta
// from nothing.
var WrongBase = failure.Namespace.NewType("wrong_base")

// Delta is what leads from one state of the text to another. Only changed
// sections travel, since whole texts for every change would cost each node
// several times its allowance.
type Delta struct {
	// Base is the digest of the state that it applies to; zero for none.
	Base fleet.Digest `cbor:"1,keyasint"`
	// Result is the digest of the state that it leads to.
	Result fleet.Digest `cbor:"2,keyasint"`
	// Changed holds the sections that are new or differ.
	Changed []Section `cbor:"3,keyasint,omitempty"`
	// Removed names the sections that are gone.
	Removed []string `cbor:"4,keyasint,omitempty"`
}

// Outline is what must be remembered of a state of the text to work out what
// has changed since: a small part of the Fleet's memory. The zero value
// stands for nothing.
type Outline struct {
	digest   fleet.Digest
	sections map[string]fleet.Digest
}

// Digest names the state.
func (o Outline) Digest() fleet.Digest { return o.digest }

// Outline returns the outline of f.
func (f *Fleet) Outline() Outline {
	o := Outline{digest: f.digest, sections: make(map[string]fleet.Digest, len(f.sections))}
	for _, s := range f.sections {
		o.sections[s.Name] = s.Digest
	}
	return o
}

// NewDelta returns what leads from base to result. From the zero Outline it
// is the whole text.
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

// Apply returns the state that d leads to from base, which may be nil. It
// reads only the changed sections; the others are shared with base.
//
// Failures: WrongBase if d is for another base; failure.Invalid with a
// *CheckError, as from Load, if this process refuses the result;
// failure.Corrupt if the result has not the digest that d names.
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
	if err := checkNames(d.Changed, changed); err != nil {
		return nil, err
	}
	f := assemble(sections, faults)
	if !faults.empty() {
		// Lines of kept sections are those of an older text. The canonical
		// text gives lines that belong together.
		return Load(file, Join(f.Sections()))
	}
	forgetLines(changed)
	if f.digest != d.Result {
		return nil, failure.Corrupt.New("text has digest %s after the change, want %s", f.digest, d.Result)
	}
	return f, nil
}

// keptSections returns the sections of base that d leaves as they are.
func keptSections(base *Fleet, d Delta) ([]*parsedSection, error) {
	var have fleet.Digest
	var sections []*parsedSection
	if base != nil {
		have = base.digest
		sections = base.sections
	}
	if have != d.Base {
		return nil, WrongBase.New("change is for the text %s, have %s", d.Base, have)
	}
	gone := make(map[string]bool, len(d.Changed)+len(d.Removed))
	for _, s := range d.Changed {
		gone[s.Name] = true
	}
	for _, name := range d.Removed {
		gone[name] = true
	}
	kept := make([]*parsedSection, 0, len(sections)+len(d.Changed))
	for _, s := range sections {
		if !gone[s.Name] {
			kept = append(kept, s)
		}
	}
	return kept, nil
}

// checkNames refuses a section that goes under another name than its header
// says: it would stand beside the one that it should have replaced.
func checkNames(sent []Section, parsed []*parsedSection) error {
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
