// Package fleettext reads the operator's text: one INI file that lists model
// versions, services with what each depends on, and the request limits of
// workspaces. docs/TEXT.md is its reference.
//
// Load is the only reader. The daemon and the command-line client both call
// it, so that every process accepts or refuses a text alike, and a text that
// was checked before it was published is not refused afterwards.
//
// Load accepts a text whole or not at all. An accepted text is a Fleet, which
// never changes. Its Digest covers the canonical form of all sections, so
// that processes can send each other only the sections that changed and
// still check the whole; comments, blank lines, the order of sections and
// keys, and keys without a value do not count.
package fleettext

import (
	"iter"
	"slices"
	"time"

	"chivespindle.example/core/fleet"
)

// MaxBytes is the size of the longest text, which is what the platform's
// configuration service holds.
const MaxBytes = 1 << 20

// Kind tells a service of model engines from any other.
type Kind string

const (
	// KindModel is a service whose backend servers are model engines.
	KindModel Kind = "model"
	// KindPlain is any other service; requests are routed to it.
	KindPlain Kind = "plain"
)

// Spread is what a service weighs more while a version spreads.
type Spread string

const (
	// SpreadTime weighs the time until the replicas serve.
	SpreadTime Spread = "time"
	// SpreadOrigin weighs the bytes drawn from the origin.
	SpreadOrigin Spread = "origin"
)

// Fencing tells whether engines check the fencing number of an order.
type Fencing string

const (
	// FencingIgnored means that engines obey an order with an old number.
	FencingIgnored Fencing = "ignored"
	// FencingChecked means that engines refuse an order with an old number.
	FencingChecked Fencing = "checked"
)

// Defaults of keys that the text leaves out.
const (
	DefaultMaxUnavailable = 1
	DefaultSpread         = SpreadTime
	DefaultOriginCopies   = 3.0
	DefaultEngineFencing  = FencingIgnored
	DefaultMaxAttempts    = 3
	DefaultDrainTimeout   = 30 * time.Second
	DefaultPriority       = 3
)

// Service is one [service] section. Its slices must not be written to.
type Service struct {
	Name fleet.ServiceName
	Kind Kind
	// Version is what every replica is to serve; zero for a plain service.
	Version fleet.Version
	// Adapters are loaded beside the version, sorted.
	Adapters []string
	// DependsOn lists what must be ready first, sorted.
	DependsOn []fleet.ServiceName
	// MaxUnavailable is how many replicas of one availability zone may be
	// out of service at once for a change-over; at least 1.
	MaxUnavailable int
	Spread         Spread
	// OriginCopies is the most copies of a version that the fleet draws from
	// the origin whatever happens; 1.0 to 3.9.
	OriginCopies float64
	// OriginRate is what the origin's link carries in bytes a second; 0
	// means that reads of the origin are not paced.
	OriginRate    int64
	EngineFencing Fencing
	// EngineRole is the role that engines are ordered to take; empty for no
	// order.
	EngineRole string
	// MaxAttempts is how often an idempotent request is tried; 1 to 5.
	MaxAttempts int
	// DrainTimeout is how long a replica that goes out of service may finish
	// the requests that it has.
	DrainTimeout time.Duration
}

// Limits is one [workspace] section.
type Limits struct {
	Workspace fleet.Workspace
	// RequestsPerSecond is the sustained rate over all entry instances.
	RequestsPerSecond float64
	// Burst is how many requests may come at once after a pause.
	Burst int
	// MaxInFlight bounds the requests that run at once; 0 means no bound.
	MaxInFlight int
	// Priority is the urgency of a request that names none: 0 (first) to 7.
	Priority int
}

// Fleet is one accepted state of the text. It is immutable and safe for
// concurrent use; slices that it hands out must not be written to.
type Fleet struct {
	name         string
	digest       fleet.Digest
	sections     []*parsedSection // in the order of their names
	versions     map[string]fleet.Version
	services     map[fleet.ServiceName]Service
	serviceNames []fleet.ServiceName
	order        []fleet.ServiceName
	limits       map[fleet.Workspace]Limits
	workspaces   []fleet.Workspace
}

// Name is the name in the [fleet] section.
func (f *Fleet) Name() string { return f.name }

// Digest names the whole text. Two texts with one digest mean the same.
func (f *Fleet) Digest() fleet.Digest { return f.digest }

// Service returns the service of that name and whether the text has it.
func (f *Fleet) Service(name fleet.ServiceName) (Service, bool) {
	s, ok := f.services[name]
	return s, ok
}

// ServiceNames lists the services by name.
func (f *Fleet) ServiceNames() []fleet.ServiceName { return f.serviceNames }

// Services goes through the services by name.
func (f *Fleet) Services() iter.Seq[Service] {
	return func(yield func(Service) bool) {
		for _, name := range f.serviceNames {
			if !yield(f.services[name]) {
				return
			}
		}
	}
}

// DependencyOrder lists the services so that each comes after all that it
// depends on, else by name.
func (f *Fleet) DependencyOrder() []fleet.ServiceName { return f.order }

// Version returns the declared version of that name and whether the text has
// it.
func (f *Fleet) Version(name string) (fleet.Version, bool) {
	v, ok := f.versions[name]
	return v, ok
}

// Limits returns the limits of a workspace and whether the text has them.
func (f *Fleet) Limits(name fleet.Workspace) (Limits, bool) {
	l, ok := f.limits[name]
	return l, ok
}

// Workspaces lists the workspaces by name.
func (f *Fleet) Workspaces() []fleet.Workspace { return f.workspaces }

// Sections returns the canonical sections by name.
func (f *Fleet) Sections() []Section {
	sections := make([]Section, len(f.sections))
	for i, s := range f.sections {
		sections[i] = s.Section
	}
	return sections
}

// section returns the parsed section of that name, nil without one. A nil
// Fleet has none.
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
