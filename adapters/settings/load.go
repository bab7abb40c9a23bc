package settings

import (
	"cmp"
	"fmt"
	"maps"
	"path/filepath"
	"slices"
	"strings"

	"github.com/joomcode/errorx"
	"go.uber.org/zap/zapcore"

	"chivespindle.example/core/failure"
	"chivespindle.example/core/fleet"
	"chivespindle.example/core/valuetext"
)

const (
	originEnv   = "environment"
	originFlags = "flags"
)

// Load returns the settings of a process of the role. file is the path of the
// INI file, empty for none; env is the environment as os.Environ gives it;
// flags holds values by Key.Flag. A flag goes before the environment, that
// before the file, that before the default.
//
// Every value that was given is checked, also one that a later source
// overrides. The error is of the type ErrInvalid and lists all faults. Load
// opens no other file and no connection: whether certificates can be read is
// for their reader to say.
func Load(role fleet.Role, file string, env []string, flags map[string]string) (*Settings, error) {
	if role != fleet.RoleEntry && role != fleet.RoleAgent {
		return nil, failure.Invalid.New("a process of role %q has no settings", role)
	}
	l := newLoader(role, file)
	if file != "" {
		l.reader.readFile()
		l.faults = append(l.faults, l.reader.faults...)
	}
	l.take(l.reader.values)
	l.take(l.fromEnv(env))
	l.take(fromFlags(flags))
	l.fillDefaults()
	if len(l.faults) == 0 {
		l.checkTogether()
	}
	slices.SortStableFunc(l.faults, func(a, b Fault) int {
		return cmp.Or(cmp.Compare(originRank(a.Origin), originRank(b.Origin)), cmp.Compare(a.Line, b.Line))
	})
	if err := asError(l.faults); err != nil {
		return nil, err
	}
	return l.settings, nil
}

// originRank puts faults in the order in which an operator looks for them.
func originRank(origin string) int {
	switch origin {
	case originFlags:
		return 2
	case originEnv:
		return 1
	default:
		return 0
	}
}

// loader gathers the values of one process and the faults in them.
type loader struct {
	settings *Settings
	reader   *fileReader
	keys     map[string]Key   // by Key.Flag
	chosen   map[string]given // the value in force, by Key.Flag
	faults   []Fault
}

func newLoader(role fleet.Role, file string) *loader {
	return &loader{
		settings: &Settings{Role: role},
		reader:   newFileReader(file, isTableSection),
		keys:     indexKeys(Key.Flag),
		chosen:   make(map[string]given),
	}
}

func isTableSection(name string) bool {
	return slices.ContainsFunc(table, func(key Key) bool { return key.Section == name })
}

// fromEnv returns the values of the environment by Key.Flag.
func (l *loader) fromEnv(env []string) map[string]given {
	names := indexKeys(Key.Env)
	values := make(map[string]given)
	for _, variable := range env {
		name, text, _ := strings.Cut(variable, "=")
		if !strings.HasPrefix(name, EnvPrefix) {
			continue
		}
		value := given{origin: originEnv, label: name, text: text}
		key, known := names[name]
		if !known {
			l.faults = append(l.faults, value.fault("names no setting"))
			continue
		}
		values[key.Flag()] = value
	}
	return values
}

func fromFlags(flags map[string]string) map[string]given {
	values := make(map[string]given)
	for name, text := range flags {
		values[name] = given{origin: originFlags, label: "--" + name, text: text}
	}
	return values
}

// take checks the values of one source and stores them over those before.
func (l *loader) take(values map[string]given) {
	for _, name := range slices.Sorted(maps.Keys(values)) {
		value := values[name]
		value.text = strings.TrimSpace(value.text)
		if reason := l.apply(name, value); reason != "" {
			l.faults = append(l.faults, value.fault(reason))
		}
	}
}

// apply stores one value and returns the reason if it must be refused.
func (l *loader) apply(name string, value given) string {
	key, known := l.keys[name]
	if !known {
		return l.unknown(name)
	}
	if !key.For(l.settings.Role) {
		return fmt.Sprintf("is a setting of the role %s; this is an %s", key.Roles[0], l.settings.Role)
	}
	l.chosen[name] = value
	if value.text == "" {
		return "has no value; leave it out for the default"
	}
	text := value.text
	if key.Type == TypePath && value.dir != "" && !filepath.IsAbs(text) {
		text = filepath.Join(value.dir, text)
	}
	if err := key.store(l.settings, text); err != nil {
		return reasonOf(err)
	}
	return ""
}

// unknown returns the reason for a name that is no key. A key of a section
// that is none itself needs no second fault.
func (l *loader) unknown(name string) string {
	section, _, _ := strings.Cut(name, ".")
	var names []string
	for _, key := range table {
		if key.Section == section && key.For(l.settings.Role) {
			names = append(names, key.Name)
		}
	}
	if len(names) == 0 {
		return "names no setting"
	}
	return fmt.Sprintf("names no setting; [%s] has %s", section, strings.Join(names, ", "))
}

// fillDefaults stores the default of each key that no source gave, and
// reports each required key that is missing.
func (l *loader) fillDefaults() {
	for _, key := range table {
		_, isGiven := l.chosen[key.Flag()]
		switch {
		case isGiven || !key.For(l.settings.Role):
		case key.Required:
			l.missing(key, "")
		case key.Default != "":
			l.storeDefault(key)
		}
	}
}

// storeDefault stores a default. One that does not pass its own check is a
// fault of the table; it is reported like any other, since a process must
// not start without the value.
func (l *loader) storeDefault(key Key) {
	if err := key.store(l.settings, key.Default); err != nil {
		value := given{origin: "defaults", label: key.Flag(), text: key.Default}
		l.faults = append(l.faults, value.fault(reasonOf(err)))
	}
}

// missing reports a key that must be given, at the section that lacks it.
func (l *loader) missing(key Key, because string) {
	if l.reader.path == "" {
		reason := fmt.Sprintf("--%s or %s is required%s", key.Flag(), key.Env(), because)
		l.faults = append(l.faults, Fault{Origin: originFlags, Reason: reason})
		return
	}
	if l.reader.unreadable {
		return // reported already; the key may stand in the file
	}
	line, found := l.reader.headers[key.Section]
	if !found {
		line = 1
	}
	reason := fmt.Sprintf("[%s] %s is required%s", key.Section, key.Name, because)
	l.faults = append(l.faults, Fault{Origin: l.reader.path, Line: line, Reason: reason})
}

// checkTogether checks values that must fit each other.
func (l *loader) checkTogether() {
	s := l.settings
	if s.Role == fleet.RoleAgent && s.Backend.Kind == BackendEngine {
		l.requireFor("platform.origin_url", " beside an engine")
		l.requireFor("platform.store_url", " beside an engine")
	}
	if s.Trace.Spans == SpansToLog && s.Log.Level > zapcore.InfoLevel {
		l.conflict("trace.spans", fmt.Sprintf("is log, but spans have level info and [log] level is %s", s.Log.Level))
	}
	if s.Role == fleet.RoleEntry {
		l.checkEntry()
	}
}

// checkEntry checks values of an entry that must fit each other.
func (l *loader) checkEntry() {
	s := l.settings
	if s.Listen.Callers.Port() == s.Listen.Ops.Port() && overlap(s) {
		l.conflict("listen.ops", fmt.Sprintf("takes the address of callers, %s", s.Listen.Callers))
	}
	if s.Limits.DrainTimeout < s.Entry.AddressTTL {
		l.conflict("limits.drain_timeout", fmt.Sprintf(
			"must not be shorter than [entry] address_ttl, %s: callers come until their address answers expire",
			valuetext.Duration(s.Entry.AddressTTL)))
	}
	if s.Entry.MaxBody > s.Limits.MemoryLimit {
		l.conflict("entry.max_body", fmt.Sprintf("must not exceed [limits] memory_limit, %s", valuetext.Size(s.Limits.MemoryLimit)))
	}
}

func overlap(s *Settings) bool {
	return s.Listen.Ops.Addr().IsUnspecified() || s.Listen.Ops.Addr() == s.Listen.Callers.Addr()
}

func (l *loader) requireFor(name, because string) {
	if _, isGiven := l.chosen[name]; !isGiven {
		l.missing(l.keys[name], because)
	}
}

// conflict reports a value that does not fit another. A default that does not
// fit is reported at its section, where the operator can set it.
func (l *loader) conflict(name, reason string) {
	if value, isGiven := l.chosen[name]; isGiven {
		l.faults = append(l.faults, value.fault(reason))
		return
	}
	key := l.keys[name]
	origin, line := l.reader.path, max(l.reader.headers[key.Section], 1)
	if origin == "" {
		origin, line = originFlags, 0
	}
	reason = fmt.Sprintf("[%s] %s: the default %s %s", key.Section, key.Name, key.Default, reason)
	l.faults = append(l.faults, Fault{Origin: origin, Line: line, Reason: reason})
}

// reasonOf returns the text of a parser's error without the name of its type.
func reasonOf(err error) string {
	if typed := errorx.Cast(err); typed != nil {
		return typed.Message()
	}
	return err.Error()
}
