// Package fleettext parses and validates the operator's configuration: one INI
// file that lists model versions, services with their dependencies, and the
// request limits of workspaces. docs/TEXT.md is its reference.
//
// Load is the only parser. The daemon and the command-line client both call it,
// so that all processes accept or reject the same files, and a configuration that
// was checked before publication is not rejected afterwards.
//
// Load accepts a configuration as a whole or not at all. An accepted configuration
// is an immutable Fleet. Its Digest covers the canonical form of all sections, so
// that processes can send each other only the changed sections and still verify
// the complete result. Comments, blank lines, the order of sections and keys, and
// keys without a value do not affect it.
package fleettext

import (
	"iter"
	"slices"
	"time"

	"chivespindle.example/core/fleet"
)

// MaxBytes is the largest size of a configuration. It is the size limit of the
// platform's configuration service.
const MaxBytes = 1 << 20

// Kind distinguishes services of model engines from plain services.
type Kind string

const (
	// KindModel is a service whose backend servers are model engines.
	KindModel Kind = "model"
	// KindPlain is any other service; requests are routed to it.
	KindPlain Kind = "plain"
)

// Spread selects what the distribution of a version optimizes for.
type Spread string

const (
	// SpreadTime gives priority to a short time until the replicas serve.
	SpreadTime Spread = "time"
	// SpreadOrigin gives priority to few bytes fetched from the origin.
	SpreadOrigin Spread = "origin"
)

// Fencing tells whether engines check the fencing number of an order.
type Fencing string

const (
	// FencingIgnored means that engines obey an order with an old number.
	FencingIgnored Fencing = "ignored"
	// FencingChecked means that engines reject an order with an old number.
	FencingChecked Fencing = "checked"
)

// Defaults of optional keys.
const (
	DefaultMaxUnavailable = 1
	DefaultSpread         = SpreadTime
	DefaultOriginCopies   = 3.0
	DefaultEngineFencing  = FencingIgnored
	DefaultMaxAttempts    = 3
	DefaultDrainTimeout   = 30 * time.Second
	DefaultPriority       = 3
)

// Service is one [service] section. Its slices must not be modified.
type Service struct {
	Name fleet.ServiceName
	Kind Kind
	// Version is the version that every replica should serve; zero for a
	// plain service.
	Version fleet.Version
	// Adapters are loaded together with the version; sorted.
	Adapters []string
	// DependsOn lists the services that must be ready first; sorted.
	DependsOn []fleet.ServiceName
	// MaxUnavailable is the number of replicas in one availability zone that
	// may be out of service at once during a changeover; at least 1.
	MaxUnavailable int
	Spread         Spread
	// OriginCopies is the largest number of copies of a version that the fleet
	// fetches from the origin under any circumstances; 1.0 to 3.9.
	OriginCopies float64
	// OriginRate is the capacity of the origin's link in bytes per second; 0
	// means that fetches from the origin are not rate-limited.
	OriginRate    int64
	EngineFencing Fencing
	// EngineRole is the role that engines are ordered to take; empty if they
	// are not ordered to take one.
	EngineRole string
	// MaxAttempts is the number of attempts for an idempotent request; 1 to 5.
	MaxAttempts int
	// DrainTimeout is the time that a replica going out of service has to
	// finish its requests in progress.
	DrainTimeout time.Duration
}

// Limits is one [workspace] section.
type Limits struct {
	Workspace fleet.Workspace
	// RequestsPerSecond is the sustained rate over all entry instances.
	RequestsPerSecond float64
	// Burst is the number of requests that may arrive at once after an idle
	// period.
	Burst int
	// MaxInFlight limits the concurrent requests; 0 means no limit.
	MaxInFlight int
	// Priority is the default priority of a request: 0 (most urgent) to 7.
	Priority int
}

// Fleet is a valid configuration. It is immutable and safe for concurrent use;
// the slices that it returns must not be modified.
type Fleet struct {
	name         string
	digest       fleet.Digest
	sections     []*parsedSection // sorted by name
	versions     map[string]fleet.Version
	services     map[fleet.ServiceName]Service
	serviceNames []fleet.ServiceName
	order        []fleet.ServiceName
	limits       map[fleet.Workspace]Limits
	workspaces   []fleet.Workspace
}

// Name returns the name in the [fleet] section.
func (f *Fleet) Name() string { return f.name }

// Digest returns the digest of the configuration. Configurations with the same
// digest are equivalent.
func (f *Fleet) Digest() fleet.Digest { return f.digest }

// Service returns the service with the given name and whether it exists.
func (f *Fleet) Service(name fleet.ServiceName) (Service, bool) {
	s, ok := f.services[name]
	return s, ok
}

// ServiceNames returns the names of all services, sorted.
func (f *Fleet) ServiceNames() []fleet.ServiceName { return f.serviceNames }

// Services iterates over all services, sorted by name.
func (f *Fleet) Services() iter.Seq[Service] {
	return func(yield func(Service) bool) {
		for _, name := range f.serviceNames {
			if !yield(f.services[name]) {
				return
			}
		}
	}
}

// DependencyOrder returns the names of all services in topological order, each
// after its dependencies.
func (f *Fleet) DependencyOrder() []fleet.ServiceName { return f.order }

// Version returns the declared version with the given name and whether it exists.
func (f *Fleet) Version(name string) (fleet.Version, bool) {
	v, ok := f.versions[name]
	return v, ok
}

// Limits returns the limits of a workspace and whether it has any.
func (f *Fleet) Limits(name fleet.Workspace) (Limits, bool) {
	l, ok := f.limits[name]
	return l, ok
}

// Workspaces returns the names of all workspaces, sorted.
func (f *Fleet) Workspaces() []fleet.Workspace { return f.workspaces }

// Sections returns the canonical sections, sorted by name.
func (f *Fleet) Sections() []Section {
	sections := make([]Section, len(f.sections))
	for i, s := range f.sections {
		sections[i] = s.Section
	}
	return sections
}

// section returns the parsed section with the given name, nil if there is none
// or f is nil.
func (f *Fleet) section(name string) *parsedSection {
	if f == nil {
		return nil
	}
	i, found := slices.BinarySearchFunc(f.sections, name, func(s *parsedSection, name string) int {
		return compareSections(s.Section, Section{Name: name})
	})
	if !found {
		return nil
	}
	return f.sections[i]
}
