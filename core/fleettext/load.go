package fleettext

import (
	"bytes"
	"slices"

	"gopkg.in/ini.v1"

	"chivespindle.example/core/fleet"
)

// iniOptions disable surprising features of the parser. Values are read with
// Key.Value, which does not expand %(name)s. PreserveSurroundedQuote and
// ChildSectionDelimiter are a second line of defence: lineIndex rejects quoted
// values itself, and because each section is parsed alone there is no parent
// section to inherit from.
var iniOptions = ini.LoadOptions{
	IgnoreContinuation:      true,
	PreserveSurroundedQuote: true,
	KeyValueDelimiters:      keySeparator,
	ChildSectionDelimiter:   "\x00",
}

// Load parses and validates text. Faults are reported under the name file. For an
// invalid text the error is a failure.Invalid that wraps a *CheckError with all
// faults; see AsCheckError.
func Load(file string, text []byte) (*Fleet, error) {
	return load(file, text, nil)
}

// Reload returns the same result as Load but parses only the sections that differ
// from base. It saves a node from spending a large part of a second on a change of
// one section in a configuration near MaxBytes.
func Reload(file string, text []byte, base *Fleet) (*Fleet, error) {
	f, err := load(file, text, base)
	if err != nil && base != nil {
		// The line numbers of shared sections have been released.
		return load(file, text, nil)
	}
	return f, err
}

func load(file string, text []byte, base *Fleet) (*Fleet, error) {
	faults := &faultList{file: file}
	checkFile(text, faults)
	if err := faults.err(); err != nil {
		return nil, err
	}
	sections := parseSections(text, base, faults)
	f := assemble(sections, faults)
	if err := faults.err(); err != nil {
		return nil, err
	}
	releaseLines(sections)
	return f, nil
}

// byteOrderMark is written before the first line by some editors.
const byteOrderMark = "\uFEFF"

// checkFile rejects a file that is too large or starts with a byte order mark.
func checkFile(text []byte, faults *faultList) {
	if len(text) > MaxBytes {
		faults.add(1, "text has %d bytes, at most %d are allowed", len(text), MaxBytes)
	}
	if bytes.HasPrefix(text, []byte(byteOrderMark)) {
		faults.add(1, "text starts with a byte order mark: save it without one")
	}
}

// parseSections parses and validates each section of text by itself. Sections
// that are unchanged from base, which may be nil, are shared with it.
func parseSections(text []byte, base *Fleet, faults *faultList) []*parsedSection {
	index := indexLines(text, faults)
	sections := make([]*parsedSection, 0, len(index.sections))
	for i := range index.sections {
		b := &index.sections[i]
		source := fleet.DigestOf(b.iniText)
		if unchanged := base.section(b.id.String()); unchanged != nil && unchanged.sourceDigest == source {
			sections = append(sections, unchanged)
			continue
		}
		s := parseSection(b, faults)
		s.sourceDigest = source
		sections = append(sections, s)
	}
	return sections
}

// parsePairs returns the pairs of one section that have a value.
func parsePairs(b *rawSection, faults *faultList) []pair {
	file, err := ini.LoadSources(iniOptions, b.iniText)
	if err != nil {
		faults.add(b.line, "section [%s] is not INI: %s", b.id, err)
		return nil
	}
	var pairs []pair
	for _, k := range file.Section(b.id.String()).Keys() {
		if value := k.Value(); value != "" {
			pairs = append(pairs, pair{key: k.Name(), value: value})
		}
	}
	return pairs
}

func parseSection(b *rawSection, faults *faultList) *parsedSection {
	pairs := parsePairs(b, faults)
	s := &parsedSection{
		Section:     canonicalSection(b.id, pairs),
		id:          b.id,
		line:        b.line,
		lines:       b.lines,
		refusedKeys: b.refusedKeys,
	}
	switch b.id.kind {
	case kindFleet:
		settings := &fleetSettings{}
		readPairs(s, pairs, fleetKeys, settings, faults)
		s.value = settings
	case kindVersion:
		settings := &versionSettings{}
		readPairs(s, pairs, versionKeys, settings, faults)
		s.value = settings
	case kindService:
		s.value = parseService(s, pairs, faults)
	case kindWorkspace:
		s.value = parseWorkspace(s, pairs, faults)
	}
	return s
}

func parseService(s *parsedSection, pairs []pair, faults *faultList) *serviceSettings {
	settings := &serviceSettings{Service: Service{
		Name:           fleet.ServiceName(s.id.name),
		MaxUnavailable: DefaultMaxUnavailable,
		MaxAttempts:    DefaultMaxAttempts,
		DrainTimeout:   DefaultDrainTimeout,
	}}
	readPairs(s, pairs, serviceKeys, settings, faults)
	switch settings.Kind {
	case KindModel:
		setModelDefaults(&settings.Service)
		if !hasKey(pairs, keyVersion) {
			faults.add(s.lineOf(keyVersion), "[%s] has kind = model and needs the key %q", s.id, keyVersion)
		}
	case KindPlain:
		refuseModelKeys(s, pairs, faults)
	}
	return settings
}

func setModelDefaults(s *Service) {
	if s.Spread == "" {
		s.Spread = DefaultSpread
	}
	if s.OriginCopies == 0 {
		s.OriginCopies = DefaultOriginCopies
	}
	if s.EngineFencing == "" {
		s.EngineFencing = DefaultEngineFencing
	}
}

func refuseModelKeys(s *parsedSection, pairs []pair, faults *faultList) {
	for _, k := range serviceKeys {
		if k.modelOnly && hasKey(pairs, k.name) {
			faults.add(s.lineOf(k.name), "key %q needs kind = model, but [%s] has kind = plain", k.name, s.id)
		}
	}
}

func hasKey(pairs []pair, name string) bool {
	return slices.ContainsFunc(pairs, func(p pair) bool { return p.key == name })
}

func parseWorkspace(s *parsedSection, pairs []pair, faults *faultList) *Limits {
	limits := &Limits{Workspace: fleet.Workspace(s.id.name), Priority: DefaultPriority}
	readPairs(s, pairs, workspaceKeys, limits, faults)
	if limits.Burst == 0 {
		limits.Burst = max(1, int(limits.RequestsPerSecond))
	}
	return limits
}

// assemble builds a Fleet from sections and checks the references between them.
// The result is only valid if no fault was added.
func assemble(sections []*parsedSection, faults *faultList) *Fleet {
	f := &Fleet{
		sections: slices.Clone(sections),
		versions: map[string]fleet.Version{},
		services: map[fleet.ServiceName]Service{},
		limits:   map[fleet.Workspace]Limits{},
	}
	slices.SortFunc(f.sections, func(a, b *parsedSection) int { return compareSections(a.Section, b.Section) })
	for _, s := range f.sections {
		switch value := s.value.(type) {
		case *fleetSettings:
			f.name = value.name
		case *versionSettings:
			f.versions[s.id.name] = fleet.Version{Name: s.id.name, Manifest: value.manifest}
		case *Limits:
			f.limits[value.Workspace] = *value
			f.workspaces = append(f.workspaces, value.Workspace)
		}
	}
	f.addServices(faults)
	if f.section(string(kindFleet)) == nil {
		faults.add(1, "section [fleet] is missing")
	}
	f.digest = digestOfSections(f.sections)
	return f
}
