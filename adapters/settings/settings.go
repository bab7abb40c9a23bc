// Package settings holds the settings of one process, such as its location, its
// listen addresses, the addresses of other services and its resource limits.
//
// Settings come from an INI file, the environment and flags; each of these
// overrides the ones before it, and all override the defaults. They are validated
// as a whole at startup, and all faults are reported at once with file, line and
// reason. The table of keys in table.go is the only list of settings: Load, the
// flags and docs/SETTINGS.md are all derived from it.
package settings

import (
	"net/netip"
	"time"

	"go.uber.org/zap/zapcore"

	"chivespindle.example/core/fleet"
)

//go:generate go run ./gendocs -out ../../docs/SETTINGS.md

// Settings are the validated settings of one process. They do not change after
// Load and may be read concurrently.
type Settings struct {
	// Role is the role of the process. It is set by the command that was run,
	// not by a key.
	Role     fleet.Role
	Instance Instance
	Listen   Listen
	Platform Platform
	TLS      TLS
	Backend  Backend
	Link     Link
	Limits   Limits
	Log      Log
	Trace    Trace
	Entry    Entry
	Agent    Agent
}

// Instance identifies the instance and its location.
type Instance struct {
	ID     fleet.InstanceID
	Zone   fleet.Zone
	Region fleet.Region
	// Service is the service of the backend server; empty for an entry.
	Service fleet.ServiceName
}

// Listen holds the addresses that the process listens on.
type Listen struct {
	// Peer is the UDP address for the other processes of the system.
	Peer netip.AddrPort
	// Callers is the TCP address for callers; zero for an agent.
	Callers netip.AddrPort
	// Ops is the TCP address for operators: metrics, status and health.
	Ops netip.AddrPort
}

// Platform holds the addresses of the platform's services. A URL is empty if the
// role does not need it, and never ends in a slash.
type Platform struct {
	ConfigURL    string
	InstancesURL string
	OriginURL    string
	StoreURL     string
	// WatchWait is the longest time that one watch of the configuration may wait.
	WatchWait time.Duration
	// ListInterval is the mean interval between reads of the instance list.
	ListInterval time.Duration
	// CallTimeout bounds every call that is not a watch or a transfer.
	CallTimeout time.Duration
}

// TLS holds the files that authenticate the processes of the system to each other.
// A relative path in the settings file is relative to the directory of that file.
type TLS struct {
	Authority   string
	Certificate string
	Key         string
	// ReloadInterval is the interval at which the files are checked for changes.
	ReloadInterval time.Duration
}

// BackendKind is the kind of a backend server.
type BackendKind string

const (
	// BackendEngine is a model engine, which accepts orders.
	BackendEngine BackendKind = "engine"
	// BackendPlain is a plain service, which only responds to requests.
	BackendPlain BackendKind = "plain"
)

// Backend is the backend server of an agent.
type Backend struct {
	Kind BackendKind
	// URL is the base URL of the server, without a trailing slash.
	URL string
}

// Link describes the network link of the instance.
type Link struct {
	// BytesPerSecond is the rate of the link in one direction; 0 if unknown.
	BytesPerSecond int64
	// WeightsShare is the largest fraction of the link that weight transfers may
	// use, above 0 and at most 1.
	WeightsShare float64
	// StallTimeout is the longest time that a transfer may make no progress.
	StallTimeout time.Duration
}

// Limits limits the resources of the process.
type Limits struct {
	// MaxInFlight is the largest number of concurrent requests.
	MaxInFlight int
	// MaxConnections is the largest number of connections of callers; 0 for twice
	// MaxInFlight.
	MaxConnections int
	// DrainTimeout is the longest time to wait for requests in progress at a
	// planned stop.
	DrainTimeout time.Duration
	// MemoryLimit is the soft memory limit of the Go runtime in bytes.
	MemoryLimit int64
}

// Log configures logging.
type Log struct {
	Level zapcore.Level
}

// SpanOutput is the destination of trace spans.
type SpanOutput string

const (
	// SpansToLog writes one log line for each span.
	SpansToLog SpanOutput = "log"
	// SpansOff records no spans; trace contexts are still propagated.
	SpansOff SpanOutput = "off"
)

// Trace configures tracing.
type Trace struct {
	Spans SpanOutput
}

// Entry holds the settings that only an entry has.
type Entry struct {
	// AddressTTL is how long a caller may cache an address response.
	AddressTTL time.Duration
	// MaxBody is the largest size of a request body in bytes.
	MaxBody int64
	// BodyTimeout is the longest time for the receipt of a request body.
	BodyTimeout time.Duration
	// DefaultDeadline is the deadline of a request that does not set one.
	DefaultDeadline time.Duration
}

// StageKind selects where an agent stores the chunks of a version.
type StageKind string

const (
	// StageEngine passes chunks to the engine, which returns them for peers.
	StageEngine StageKind = "engine"
	// StageMemory keeps chunks in the memory of the agent.
	StageMemory StageKind = "memory"
)

// Agent holds the settings that only an agent has.
type Agent struct {
	Stage StageKind
	// MaxUploads is the largest number of concurrent uploads of chunks to peers.
	MaxUploads int
	// MaxFetches is the largest number of chunks that are fetched concurrently.
	MaxFetches int
}

// ConnectionLimit returns the largest number of connections of callers. By default each
// request in progress may leave an idle connection to another caller.
func (l Limits) ConnectionLimit() int {
	if l.MaxConnections > 0 {
		return l.MaxConnections
	}
	return 2 * l.MaxInFlight
}

// Self returns the process as an item of the platform's instance list.
func (s *Settings) Self() fleet.Instance {
	return fleet.Instance{
		ID:         s.Instance.ID,
		Role:       s.Role,
		Service:    s.Instance.Service,
		Place:      fleet.Place{Zone: s.Instance.Zone, Region: s.Instance.Region},
		PeerAddr:   s.Listen.Peer,
		CallerAddr: s.Listen.Callers,
	}
}
