package fleettext

import (
	"chivespindle.example/core/failure"
	"chivespindle.example/core/fleet"
)

// WrongBase: a Delta was made for another state of the text than the one it
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

// NewDelta returns what leads from base to result. A nil base stands for
// nothing; the Delta then holds the whole text.
func NewDelta(base, result *Fleet) Delta {
	d := Delta{Result: result.digest}
	if base == nil {
		d.Changed = result.Sections()
		return d
	}
	d.Base = base.digest
	for _, s := range result.sections {
		if old := base.section(s.Name); old == nil || old.Digest != s.Digest {
			d.Changed = append(d.Changed, s.Section)
		}
	}
	for _, s := range base.sections {
		if result.section(s.Name) == nil {
			d.Removed = append(d.Removed, s.Name)
		}
	}
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
	changed := parseSections(Join(d.Changed), faults)
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
