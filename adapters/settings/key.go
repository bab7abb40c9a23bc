package settings

import (
	"slices"
	"strings"

	"github.com/spf13/pflag"

	"chivespindle.example/core/fleet"
)

// EnvPrefix starts the name of every environment variable that is a setting.
// A variable that starts so but names no key is refused, like an unknown key
// of the file.
const EnvPrefix = "CHIVESPINDLE_"

// Key describes one setting.
type Key struct {
	Section string
	Name    string
	Type    Type
	// Unit is what the value counts; empty if nothing. A duration and a size
	// carry their unit in the text.
	Unit string
	// Default is the value in the form of the file; empty if there is none.
	Default string
	// Range says what the value may be beyond its type; empty if the type says
	// it all.
	Range string
	// Roles are the roles that have the key; the others refuse it.
	Roles []fleet.Role
	// Required is true if a process of those roles does not start without it.
	Required bool
	// Doc says what the value means, in one or two sentences.
	Doc string

	store func(s *Settings, text string) error
}

// Flag returns the name of the key's flag, "section.name".
func (k Key) Flag() string { return k.Section + "." + k.Name }

// Env returns the name of the key's environment variable.
func (k Key) Env() string {
	return EnvPrefix + strings.ToUpper(k.Section+"_"+k.Name)
}

// For reports whether a process of this role has the key.
func (k Key) For(role fleet.Role) bool { return slices.Contains(k.Roles, role) }

// AddFlags declares a flag for every key of the role. FlagValues reads them.
func AddFlags(flags *pflag.FlagSet, role fleet.Role) {
	for _, key := range table {
		if key.For(role) {
			flags.String(key.Flag(), "", key.Doc)
		}
	}
}

// FlagValues returns the settings that were given as flags, by Key.Flag, for
// Load. Flags that are no settings are left out.
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

// indexKeys returns the keys by a name of theirs.
func indexKeys(name func(Key) string) map[string]Key {
	index := make(map[string]Key)
	for _, key := range table {
		index[name(key)] = key
	}
	return index
}
