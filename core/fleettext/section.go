package fleettext

import (
	"bytes"
	"slices"
	"strings"

	"chivespindle.example/core/fleet"
)

// sectionKind is the first word of a section header.
type sectionKind string

const (
	kindFleet     sectionKind = "fleet"
	kindVersion   sectionKind = "version"
	kindService   sectionKind = "service"
	kindWorkspace sectionKind = "workspace"
)

// sectionID is what stands between the brackets of a header. The fleet
// section has no name.
type sectionID struct {
	kind sectionKind
	name string
}

// String returns "kind name", or the kind alone without a name.
func (id sectionID) String() string {
	if id.name == "" {
		return string(id.kind)
	}
	return string(id.kind) + " " + id.name
}

func (id sectionID) header() string { return "[" + id.String() + "]\n" }

func parseSectionID(inner string) (sectionID, error) {
	words := strings.Fields(inner)
	if len(words) == 0 {
		return sectionID{}, badValue("section header is empty")
	}
	kind := sectionKind(words[0])
	switch kind {
	case kindFleet:
		if len(words) != 1 {
			return sectionID{}, badValue("section [fleet] takes no name")
		}
		return sectionID{kind: kind}, nil
	case kindVersion, kindService, kindWorkspace:
		if len(words) != 2 {
			return sectionID{}, badValue("section [%s] needs one name: [%s NAME]", kind, kind)
		}
		name, err := parseName(words[1])
		return sectionID{kind: kind, name: name}, err
	default:
		return sectionID{}, badValue("unknown section [%s]: want [fleet], [version NAME], [service NAME] or [workspace NAME]", inner)
	}
}

// Section is one section of an accepted text in canonical form: keys in
// alphabetical order, one space-free "key=value" a line, no comments, no
// empty values. Two sections that differ only in these are equal.
type Section struct {
	// Name is the inside of the header, such as "service spindle-pool".
	Name string `cbor:"1,keyasint"`
	// Text is the header and the pairs, each line ended by "\n".
	Text string `cbor:"2,keyasint"`
	// Digest is that of Text. A receiver works it out anew.
	Digest fleet.Digest `cbor:"-"`
}

// Join returns the canonical text of sections, which Load accepts if the
// sections are those of an accepted Fleet. It is never longer than the text
// that they came from.
func Join(sections []Section) []byte {
	sorted := slices.Clone(sections)
	slices.SortStableFunc(sorted, compareSections)
	var b bytes.Buffer
	for _, s := range sorted {
		b.WriteString(s.Text)
	}
	return bytes.TrimSuffix(b.Bytes(), []byte("\n"))
}

func compareSections(a, b Section) int { return strings.Compare(a.Name, b.Name) }

// parsedSection is a section whose own pairs are in order. Once its text is
// accepted it is immutable, and shared by the states of the text that contain
// it.
type parsedSection struct {
	Section
	id    sectionID
	line  int
	lines map[string]int
	held  []string
	// source is the digest of what ini.v1 read.
	source fleet.Digest
	// value is one of *fleetSettings, *versionSettings, *serviceSettings, *Limits.
	value any
}

// lineOf returns the line of key, or that of the header without the key.
func (s *parsedSection) lineOf(key string) int {
	if line, ok := s.lines[key]; ok {
		return line
	}
	return s.line
}

// forgetLines frees what only faults need. It takes most of the memory of an
// accepted text. Sections that are shared with another Fleet have none, and
// must not be written to.
func forgetLines(sections []*parsedSection) {
	for _, s := range sections {
		if s.lines == nil {
			continue
		}
		s.lines = nil
		s.held = nil
	}
}

// pair is one key with a value that is not empty.
type pair struct{ key, value string }

func canonicalSection(id sectionID, pairs []pair) Section {
	sorted := slices.Clone(pairs)
	slices.SortFunc(sorted, func(a, b pair) int { return strings.Compare(a.key, b.key) })
	var b strings.Builder
	b.WriteString(id.header())
	for _, p := range sorted {
		b.WriteString(p.key + keySeparator + p.value + "\n")
	}
	text := b.String()
	return Section{Name: id.String(), Text: text, Digest: fleet.DigestOf([]byte(text))}
}

// digestLabel keeps the digest of a whole text apart from every other digest.
const digestLabel = "chivespindle fleet text 1\n"

// digestOfSections returns the digest of a whole text over the names and
// digests of its sections, which must be in the order of their names.
func digestOfSections(sections []*parsedSection) fleet.Digest {
	var b bytes.Buffer
	b.WriteString(digestLabel)
	for _, s := range sections {
		b.WriteString(s.Name + "\n")
		b.Write(s.Digest[:])
	}
	return fleet.DigestOf(b.Bytes())
}
