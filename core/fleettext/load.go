package fleettext

import (
	"bytes"
	"slices"

	"gopkg.in/ini.v1"

	"chivespindle.example/core/fleet"
)

// iniOptions switch off what would surprise a reader of the text. Values are
// taken with Key.Value, which does not expand %(name)s. Two options are a
// second line of defence: the line index refuses quoted values itself, and as
// each section is parsed alone there is none to inherit from.
var iniOptions = ini.LoadOptions{
	IgnoreContinuation:      true,
	PreserveSurroundedQuote: true,
	KeyValueDelimiters:      keySeparator,
	ChildSectionDelimiter:   "\x00",
}

// Load checks text and returns the fleet that it describes. file is the name
// that faults are reported under. A refused text gives a failure.Invalid that
// wraps a *CheckError with all faults; see AsCheckError.
func Load(file string, text []byte) (*Fleet, error) {
	return load(file, text, nil)
}

// Reload is Load for a process that has the state base already. It comes to
// the same result and reads only the sections that changed, so that a change
// of one section in a text near MaxBytes does not cost a node a good part of
// a second.
func Reload(file string, text []byte, base *Fleet) (*Fleet, error) {
	f, err := load(file, text, base)
	if err != nil && base != nil {
		// Lines of shared sections are not known any more.
		return load(file, text, nil)
	}
	return f, err
}

func load(file string, text []byte, base *Fleet) (*Fleet, error) {
	faults := &faultList{file: file}
	checkWhole(text, faults)
	if err := faults.err(); err != nil {
		return nil, err
	}
	sections := parseSections(text, base, faults)
	f := assemble(sections, faults)
	if err := faults.err(); err != nil {
		return nil, err
	}
	forgetLines(sections)
	return f, nil
}

// byteOrderMark is what some editors put before the first line.
const byteOrderMark = "\uFEFF"

// checkWhole refuses a text that is not worth reading line by line.
func checkWhole(text []byte, faults *faultList) {
	if len(text) > MaxBytes {
		faults.add(1, "text has %d bytes, at most %d are allowed", len(text), MaxBytes)
	}
	if bytes.HasPrefix(text, []byte(byteOrderMark)) {
		faults.add(1, "text starts with a byte order mark: save it without one")
	}
}

// parseSections reads the sections of text and checks each by itself.
// Sections that stand in base as they are, nil for nothing, are taken from it.
func parseSections(text []byte, base *Fleet, faults *faultList) []*parsedSection {
	index := indexLines(text, faults)
	sections := make([]*parsedSection, 0, len(index.blocks))
	for i := range index.blocks {
		b := &index.blocks[i]
		source := fleet.DigestOf(b.clean)
		if known := base.section(b.id.String()); known != nil && known.source == source {
			sections = append(sections, known)
			continue
		}
		s := parseSection(b, faults)
		s.source = source
		sections = append(sections, s)
	}
	return sections
}

// pairsOf returns the pairs of one section that have a value.
func pairsOf(b *block, faults *faultList) []pair {
	file, err := ini.LoadSources(iniOptions, b.clean)
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

func parseSection(b *block, faults *faultList) *parsedSection {
	pairs := pairsOf(b, faults)
	s := &parsedSection{
		Section: canonicalSection(b.id, pairs),
		id:      b.id,
		line:    b.line,
		lines:   b.lines,
		held:    b.held,
	}
	switch b.id.kind {
	case kindFleet:
		settings := &fleetSettings{}
		read(s, pairs, fleetKeys, settings, faults)
		s.value = settings
	case kindVersion:
		settings := &versionSettings{}
		read(s, pairs, versionKeys, settings, faults)
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
	read(s, pairs, serviceKeys, settings, faults)
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
	read(s, pairs, workspaceKeys, limits, faults)
	if limits.Burst == 0 {
		limits.Burst = max(1, int(limits.RequestsPerSecond))
	}
	return limits
}

// assemble joins sections into a fleet and checks what they say of each
// other. The result is only valid if no fault was added.
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
