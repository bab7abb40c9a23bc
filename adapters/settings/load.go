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

// Load returns the settings of a process of the role. file is the path of the INI
// file, empty for none; env is the environment as returned by os.Environ; flags
// holds values by Key.Flag. The order of precedence is flag, environment, file,
// default.
//
// Every value is checked, including those overridden by another source. The error
// is of type ErrInvalid and lists all faults. Load opens no other files and no
// connections: the certificates are checked by the code that reads them.
func Load(role fleet.Role, file string, env []string, flags map[string]string) (*Settings, error) {
	if role != fleet.RoleEntry && role != fleet.RoleAgent {
		return nil, failure.Invalid.New("a process of role %q has no settings", role)
	}
	l := newLoader(role, file)
	if file != "" {
		l.reader.readFile()
		l.faults = append(l.faults, l.reader.faults...)
	}
	l.addSource(l.reader.values)
	l.addSource(l.fromEnv(env))
	l.addSource(fromFlags(flags))
	l.fillDefaults()
	if len(l.faults) == 0 {
		l.checkConsistency()
	}
	slices.SortStableFunc(l.faults, func(a, b Fault) int {
		return cmp.Or(cmp.Compare(originRank(a.Origin), originRank(b.Origin)), cmp.Compare(a.Line, b.Line))
	})
	if err := newFaultsError(l.faults); err != nil {
		return nil, err
	}
	return l.settings, nil
}

// originRank sorts faults in the order in which an operator checks the sources: the
// file, the environment, the flags.
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

// loader collects the settings of one process and their faults.
type loader struct {
	settings  *Settings
	reader    *fileReader
	keys      map[string]Key         // by Key.Flag
	effective map[string]sourceValue // by Key.Flag
	faults    []Fault
}

func newLoader(role fleet.Role, file string) *loader {
	return &loader{
		settings:  &Settings{Role: role},
		reader:    newFileReader(file, isKnownSection),
		keys:      indexKeys(Key.Flag),
		effective: make(map[string]sourceValue),
	}
}

func isKnownSection(name string) bool {
	return slices.ContainsFunc(table, func(key Key) bool { return key.Section == name })
}

// fromEnv returns the settings in the environment, by Key.Flag.
func (l *loader) fromEnv(env []string) map[string]sourceValue {
	names := indexKeys(Key.Env)
	values := make(map[string]sourceValue)
	for _, variable := range env {
		name, text, _ := strings.Cut(variable, "=")
		if !strings.HasPrefix(name, EnvPrefix) {
			continue
		}
		value := sourceValue{origin: originEnv, label: name, text: text}
		key, known := names[name]
		if !known {
			l.faults = append(l.faults, value.newFault("names no setting"))
			continue
		}
		values[key.Flag()] = value
	}
	return values
}

func fromFlags(flags map[string]string) map[string]sourceValue {
	values := make(map[string]sourceValue)
	for name, text := range flags {
		values[name] = sourceValue{origin: originFlags, label: "--" + name, text: text}
	}
	return values
}

// addSource checks the values of one source and lets them override earlier ones.
func (l *loader) addSource(values map[string]sourceValue) {
	for _, name := range slices.Sorted(maps.Keys(values)) {
		value := values[name]
		value.text = strings.TrimSpace(value.text)
		if reason := l.applyValue(name, value); reason != "" {
			l.faults = append(l.faults, value.newFault(reason))
		}
	}
}

// applyValue stores one value. It returns the reason if the value is invalid.
func (l *loader) applyValue(name string, value sourceValue) string {
	key, known := l.keys[name]
	if !known {
		return l.unknownKeyReason(name)
	}
	if !key.AppliesTo(l.settings.Role) {
		return fmt.Sprintf("is a setting of the role %s; this is an %s", key.Roles[0], l.settings.Role)
	}
	l.effective[name] = value
	if value.text == "" {
		return "has no value; leave it out for the default"
	}
	text := value.text
	if key.Type == TypePath && value.baseDir != "" && !filepath.IsAbs(text) {
		text = filepath.Join(value.baseDir, text)
	}
	if err := key.store(l.settings, text); err != nil {
		return reasonOf(err)
	}
	return ""
}

// unknownKeyReason returns the reason for an unknown key. For a key of an unknown
// section the reason lists no keys; the section is reported separately.
func (l *loader) unknownKeyReason(name string) string {
	section, _, _ := strings.Cut(name, ".")
	var names []string
	for _, key := range table {
		if key.Section == section && key.AppliesTo(l.settings.Role) {
			names = append(names, key.Name)
		}
	}
	if len(names) == 0 {
		return "names no setting"
	}
	return fmt.Sprintf("names no setting; [%s] has %s", section, strings.Join(names, ", "))
}

// fillDefaults applies the defaults of keys that no source has set and reports
// missing required keys.
func (l *loader) fillDefaults() {
	for _, key := range table {
		_, isGiven := l.effective[key.Flag()]
		switch {
		case isGiven || !key.AppliesTo(l.settings.Role):
		case key.Required:
			l.reportMissing(key, "")
		case key.Default != "":
			l.storeDefault(key)
		}
	}
}

// storeDefault stores a default. An invalid default is an error in the table. It
// is reported like any other fault, because a process must not start without the
// value.
func (l *loader) storeDefault(key Key) {
	if err := key.store(l.settings, key.Default); err != nil {
		value := sourceValue{origin: "defaults", label: key.Flag(), text: key.Default}
		l.faults = append(l.faults, value.newFault(reasonOf(err)))
	}
}

// reportMissing reports a required key that is missing, at the line of its section.
func (l *loader) reportMissing(key Key, suffix string) {
	if l.reader.path == "" {
		reason := fmt.Sprintf("--%s or %s is required%s", key.Flag(), key.Env(), suffix)
		l.faults = append(l.faults, Fault{Origin: originFlags, Reason: reason})
		return
	}
	if l.reader.unreadable {
		return // reported already; the file may contain the key
	}
	line, found := l.reader.sectionLines[key.Section]
	if !found {
		line = 1
	}
	reason := fmt.Sprintf("[%s] %s is required%s", key.Section, key.Name, suffix)
	l.faults = append(l.faults, Fault{Origin: l.reader.path, Line: line, Reason: reason})
}

// checkConsistency checks constraints between values.
func (l *loader) checkConsistency() {
	s := l.settings
	if s.Role == fleet.RoleAgent && s.Backend.Kind == BackendEngine {
		l.require("platform.origin_url", " beside an engine")
		l.require("platform.store_url", " beside an engine")
	}
	if s.Trace.Spans == SpansToLog && s.Log.Level > zapcore.InfoLevel {
		l.reportConflict("trace.spans", fmt.Sprintf("is log, but spans have level info and [log] level is %s", s.Log.Level))
	}
	if s.Role == fleet.RoleEntry {
		l.checkEntry()
	}
}

// checkEntry checks constraints between the values of an entry.
func (l *loader) checkEntry() {
	s := l.settings
	if s.Listen.Callers.Port() == s.Listen.Ops.Port() && listenersOverlap(s) {
		l.reportConflict("listen.ops", fmt.Sprintf("takes the address of callers, %s", s.Listen.Callers))
	}
	if s.Limits.DrainTimeout < s.Entry.AddressTTL {
		l.reportConflict("limits.drain_timeout", fmt.Sprintf(
			"must not be shorter than [entry] address_ttl, %s: callers come until their address answers expire",
			valuetext.FormatDuration(s.Entry.AddressTTL)))
	}
	if s.Entry.MaxBody > s.Limits.MemoryLimit {
		l.reportConflict("entry.max_body", fmt.Sprintf("must not exceed [limits] memory_limit, %s", valuetext.FormatSize(s.Limits.MemoryLimit)))
	}
}

func listenersOverlap(s *Settings) bool {
	return s.Listen.Ops.Addr().IsUnspecified() || s.Listen.Ops.Addr() == s.Listen.Callers.Addr()
}

func (l *loader) require(name, suffix string) {
	if _, isGiven := l.effective[name]; !isGiven {
		l.reportMissing(l.keys[name], suffix)
	}
}

// reportConflict reports a value that is inconsistent with another. If it is a
// default, the line is that of its section, where the operator can override it.
func (l *loader) reportConflict(name, reason string) {
	if value, isGiven := l.effective[name]; isGiven {
		l.faults = append(l.faults, value.newFault(reason))
		return
	}
	key := l.keys[name]
	origin, line := l.reader.path, max(l.reader.sectionLines[key.Section], 1)
	if origin == "" {
		origin, line = originFlags, 0
	}
	reason = fmt.Sprintf("[%s] %s: the default %s %s", key.Section, key.Name, key.Default, reason)
	l.faults = append(l.faults, Fault{Origin: origin, Line: line, Reason: reason})
}

// reasonOf returns the message of an error without its errorx type.
func reasonOf(err error) string {
	if typed := errorx.Cast(err); typed != nil {
		return typed.Message()
	}
	return err.Error()
}
