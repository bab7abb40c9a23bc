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

// sectionID is the content of a section header. The fleet section has no name.
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
		return sectionID{}, newValueError("section header is empty")
	}
	kind := sectionKind(words[0])
	switch kind {
	case kindFleet:
		if len(words) != 1 {
			return sectionID{}, newValueError("section [fleet] takes no name")
		}
		return sectionID{kind: kind}, nil
	case kindVersion, kindService, kindWorkspace:
		if len(words) != 2 {
			return sectionID{}, newValueError("section [%s] needs one name: [%s NAME]", kind, kind)
		}
		name, err := parseName(words[1])
		return sectionID{kind: kind, name: name}, err
	default:
		return sectionID{}, newValueError("unknown section [%s]: want [fleet], [version NAME], [service NAME] or [workspace NAME]", inner)
	}
}

// Section is one section of a valid configuration in canonical form: keys in
// alphabetical order, one "key=value" per line without spaces around "=", no
// comments, no empty values. Sections that differ only in these are equal.
type Section struct {
	// Name is the header without brackets, such as "service spindle-pool".
	Name string `cbor:"1,keyasint"`
	// Text is the header and the pairs, each line terminated by "\n".
	Text string `cbor:"2,keyasint"`
	// Digest is the digest of Text. It is not sent; a receiver computes it.
	Digest fleet.Digest `cbor:"-"`
}

// Join returns the canonical text of sections. Load accepts it if the sections
// are those of one Fleet. It is never longer than the file that they were parsed
// from.
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

// parsedSection is a section with its parsed value. Once accepted it is immutable
// and shared by all Fleets that contain it.
type parsedSection struct {
	Section
	id          sectionID
	line        int
	lines       map[string]int
	refusedKeys []string
	// sourceDigest is the digest of the text that was passed to ini.v1.
	sourceDigest fleet.Digest
	// value is one of *fleetSettings, *versionSettings, *serviceSettings, *Limits.
	value any
}

// lineOf returns the line of key, or the line of the header if the key is missing.
func (s *parsedSection) lineOf(key string) int {
	if line, ok := s.lines[key]; ok {
		return line
	}
	return s.line
}

// releaseLines frees what is only needed to report faults, which is most of the
// memory of an accepted section. Sections shared with another Fleet have been
// released before and must not be modified.
func releaseLines(sections []*parsedSection) {
	for _, s := range sections {
		if s.lines == nil {
			continue
		}
		s.lines = nil
		s.refusedKeys = nil
	}
}

// pair is a key with its value, which is not empty.
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

// digestDomain separates the digest of a configuration from all other digests.
const digestDomain = "chivespindle fleet text 1\n"

// digestOfSections returns the digest of a configuration, computed over the names
// and digests of its sections, which must be sorted by name.
func digestOfSections(sections []*parsedSection) fleet.Digest {
	var b bytes.Buffer
	b.WriteString(digestDomain)
	for _, s := range sections {
		b.WriteString(s.Name + "\n")
		b.Write(s.Digest[:])
	}
	return fleet.DigestOf(b.Bytes())
}
