package fleettext

import (
	"slices"
	"strings"
	"time"

	"chivespindle.example/core/fleet"
	"chivespindle.example/core/valuetext"
)

// Ranges of values, and names of keys.
const (
	maxUnavailable    = 1000
	minOriginCopies   = 1.0
	maxOriginCopies   = 3.9
	maxAttempts       = 5
	minDrainTimeout   = time.Second
	maxDrainTimeout   = time.Hour
	minRequestRate    = 0.01
	maxRequestRate    = 1e6
	maxBurst          = 1000000
	maxInFlight       = 1000000
	lowestPriority    = 7
	noValueText       = "none"
	keyVersion        = "version"
	keyDependsOn      = "depends_on"
	keyKind           = "kind"
	keyManifest       = "manifest"
	keyName           = "name"
	keyRequestsPerSec = "requests_per_second"
)

// key describes one key of a section that is parsed into a T.
type key[T any] struct {
	name     string
	required bool
	// modelOnly is true for keys that a plain service must not have.
	modelOnly bool
	set       func(*T, string) error
	// format returns the effective value, including a default, for Diff.
	format func(*T) string
}

// fleetSettings is the [fleet] section.
type fleetSettings struct{ name string }

// versionSettings is one [version] section.
type versionSettings struct{ manifest fleet.Digest }

// serviceSettings is one [service] section before its version is resolved.
type serviceSettings struct {
	Service
	versionName string
}

var fleetKeys = []key[fleetSettings]{{
	name: keyName, required: true,
	set:    func(s *fleetSettings, v string) error { return assign(&s.name)(parseName(v)) },
	format: func(s *fleetSettings) string { return s.name },
}}

var versionKeys = []key[versionSettings]{{
	name: keyManifest, required: true,
	set:    func(s *versionSettings, v string) error { return setManifest(s, v) },
	format: func(s *versionSettings) string { return s.manifest.String() },
}}

var serviceKeys = []key[serviceSettings]{{
	name: keyKind, required: true,
	set: func(s *serviceSettings, v string) error {
		return assign(&s.Kind)(parseChoice(v, KindModel, KindPlain))
	},
	format: func(s *serviceSettings) string { return string(s.Kind) },
}, {
	name: keyVersion, modelOnly: true,
	set:    func(s *serviceSettings, v string) error { return assign(&s.versionName)(parseName(v)) },
	format: func(s *serviceSettings) string { return s.versionName },
}, {
	name: "adapters", modelOnly: true,
	set:    func(s *serviceSettings, v string) error { return assign(&s.Adapters)(parseNames(v)) },
	format: func(s *serviceSettings) string { return formatNames(s.Adapters) },
}, {
	name: keyDependsOn,
	set: func(s *serviceSettings, v string) error {
		names, err := parseNames(v)
		s.DependsOn = nil
		for _, name := range names {
			s.DependsOn = append(s.DependsOn, fleet.ServiceName(name))
		}
		return err
	},
	format: func(s *serviceSettings) string { return formatNames(s.DependsOn) },
}, {
	name: "max_unavailable",
	set: func(s *serviceSettings, v string) error {
		return assign(&s.MaxUnavailable)(parseInteger(v, 1, maxUnavailable))
	},
	format: func(s *serviceSettings) string { return formatInteger(s.MaxUnavailable) },
}, {
	name: "spread", modelOnly: true,
	set: func(s *serviceSettings, v string) error {
		return assign(&s.Spread)(parseChoice(v, SpreadTime, SpreadOrigin))
	},
	format: func(s *serviceSettings) string { return string(s.Spread) },
}, {
	name: "origin_copies", modelOnly: true,
	set: func(s *serviceSettings, v string) error {
		return assign(&s.OriginCopies)(parseDecimal(v, minOriginCopies, maxOriginCopies))
	},
	format: func(s *serviceSettings) string { return formatDecimal(s.OriginCopies) },
}, {
	name: "origin_rate", modelOnly: true,
	set:    func(s *serviceSettings, v string) error { return assign(&s.OriginRate)(parseRate(v)) },
	format: func(s *serviceSettings) string { return valuetext.FormatSize(s.OriginRate) },
}, {
	name: "engine_fencing", modelOnly: true,
	set: func(s *serviceSettings, v string) error {
		return assign(&s.EngineFencing)(parseChoice(v, FencingIgnored, FencingChecked))
	},
	format: func(s *serviceSettings) string { return string(s.EngineFencing) },
}, {
	name: "engine_role", modelOnly: true,
	set:    func(s *serviceSettings, v string) error { return assign(&s.EngineRole)(parseName(v)) },
	format: func(s *serviceSettings) string { return s.EngineRole },
}, {
	name: "max_attempts",
	set: func(s *serviceSettings, v string) error {
		return assign(&s.MaxAttempts)(parseInteger(v, 1, maxAttempts))
	},
	format: func(s *serviceSettings) string { return formatInteger(s.MaxAttempts) },
}, {
	name: "drain_timeout",
	set: func(s *serviceSettings, v string) error {
		return assign(&s.DrainTimeout)(parseDuration(v, minDrainTimeout, maxDrainTimeout))
	},
	format: func(s *serviceSettings) string { return valuetext.FormatDuration(s.DrainTimeout) },
}}

var workspaceKeys = []key[Limits]{{
	name: keyRequestsPerSec, required: true,
	set: func(l *Limits, v string) error {
		return assign(&l.RequestsPerSecond)(parseDecimal(v, minRequestRate, maxRequestRate))
	},
	format: func(l *Limits) string { return formatDecimal(l.RequestsPerSecond) },
}, {
	name:   "burst",
	set:    func(l *Limits, v string) error { return assign(&l.Burst)(parseInteger(v, 1, maxBurst)) },
	format: func(l *Limits) string { return formatInteger(l.Burst) },
}, {
	name: "max_in_flight",
	set: func(l *Limits, v string) error {
		return assign(&l.MaxInFlight)(parseInteger(v, 0, maxInFlight))
	},
	format: func(l *Limits) string { return formatInteger(l.MaxInFlight) },
}, {
	name: "priority",
	set: func(l *Limits, v string) error {
		return assign(&l.Priority)(parseInteger(v, 0, lowestPriority))
	},
	format: func(l *Limits) string { return formatInteger(l.Priority) },
}}

// assign returns a function that stores the result of a parser in target
// unless the parser failed.
func assign[T any](target *T) func(T, error) error {
	return func(value T, err error) error {
		if err == nil {
			*target = value
		}
		return err
	}
}

func setManifest(s *versionSettings, value string) error {
	d, err := fleet.ParseDigest(value)
	if err != nil || value != strings.ToLower(value) {
		return newValueError("want the manifest's digest, %d lower-case hex digits", 2*fleet.DigestSize)
	}
	if d.IsZero() {
		return newValueError("a digest of zeros names nothing")
	}
	s.manifest = d
	return nil
}

// readPairs sets the fields of target from pairs and adds a fault for each unknown
// key, missing key and invalid value.
func readPairs[T any](s *parsedSection, pairs []pair, keys []key[T], target *T, faults *faultList) {
	present := map[string]bool{}
	for _, p := range pairs {
		i := slices.IndexFunc(keys, func(k key[T]) bool { return k.name == p.key })
		if i < 0 {
			faults.add(s.lineOf(p.key), "unknown key %q in [%s]: want one of %s", p.key, s.id, keyNames(keys))
			continue
		}
		present[p.key] = true
		if err := keys[i].set(target, p.value); err != nil {
			faults.add(s.lineOf(p.key), "%s: %s", p.key, err)
		}
	}
	for _, k := range keys {
		if k.required && !present[k.name] && !slices.Contains(s.refusedKeys, k.name) {
			faults.add(s.lineOf(k.name), "[%s] needs the key %q", s.id, k.name)
		}
	}
}

func keyNames[T any](keys []key[T]) string {
	names := make([]string, len(keys))
	for i, k := range keys {
		names[i] = k.name
	}
	return formatNames(names)
}

// formatValues returns the effective values of all keys, in the order of keys.
func formatValues[T any](keys []key[T], target *T) []pair {
	pairs := make([]pair, len(keys))
	for i, k := range keys {
		pairs[i] = pair{key: k.name, value: k.format(target)}
		if pairs[i].value == "" {
			pairs[i].value = noValueText
		}
	}
	return pairs
}
