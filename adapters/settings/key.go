package settings

import (
	"slices"
	"strings"

	"github.com/spf13/pflag"

	"chivespindle.example/core/fleet"
)

// EnvPrefix is the prefix of all environment variables that are settings. A
// variable with this prefix that is not a known key is rejected, like an unknown
// key of the file.
const EnvPrefix = "CHIVESPINDLE_"

// Key describes one setting.
type Key struct {
	Section string
	Name    string
	Type    Type
	// Unit is the unit of the value, shown in the reference; empty if it has
	// none. Durations and sizes are written with their own units.
	Unit string
	// Default is the default as written in the file; empty if there is none.
	Default string
	// Range describes the allowed values; empty if Type is sufficient.
	Range string
	// Roles are the roles that have the key; other roles reject it.
	Roles []fleet.Role
	// Required is true if a process of these roles cannot start without it.
	Required bool
	// Doc describes the setting in one or two sentences.
	Doc string

	store func(s *Settings, text string) error
}

// Flag returns the name of the command-line flag, "section.name".
func (k Key) Flag() string { return k.Section + "." + k.Name }

// Env returns the name of the environment variable.
func (k Key) Env() string {
	return EnvPrefix + strings.ToUpper(k.Section+"_"+k.Name)
}

// AppliesTo reports whether a process of this role has the key.
func (k Key) AppliesTo(role fleet.Role) bool { return slices.Contains(k.Roles, role) }

// AddFlags defines a flag for each key of the role. FlagValues reads them.
func AddFlags(flags *pflag.FlagSet, role fleet.Role) {
	for _, key := range table {
		if key.AppliesTo(role) {
			flags.String(key.Flag(), "", key.Doc)
		}
	}
}

// FlagValues returns the settings that were given as flags, by Key.Flag, for use
// with Load. Flags that are not settings are ignored.
func FlagValues(flags *pflag.FlagSet) map[string]string {
	index := indexKeys(Key.Flag)
	values := make(map[string]string)
	flags.Visit(func(flag *pflag.Flag) {
		if _, known := index[flag.Name]; known {
			values[flag.Name] = flag.Value.String()
		}
	})
	return values
}

// indexKeys returns all keys indexed by the result of name.
func indexKeys(name func(Key) string) map[string]Key {
	index := make(map[string]Key)
	for _, key := range table {
		index[name(key)] = key
	}
	return index
}
