// Package settings holds the settings of one process: where it is, where it
// listens, whom it asks and how much it may use.
//
// They come from an INI file, from the environment and from flags, in rising
// order of precedence over the defaults. They are checked whole at start, and
// every fault is reported at once with its file, line and reason. The table
// of keys in table.go is the only list of them: Load, the flags and
// docs/SETTINGS.md all read it.
package settings

import (
	"net/netip"
	"time"

	"go.uber.org/zap/zapcore"

	"chivespindle.example/core/fleet"
)

//go:generate go run ./gendocs -out ../../docs/SETTINGS.md

// Settings are the checked settings of one process. Nothing changes them
// after Load, so they may be read by any goroutine.
type Settings struct {
	// Role is the part that the process plays. It is given by the command,
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

// Instance says which instance this is and where it runs.
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

// Platform says how to reach the platform's services. A URL is empty where
// the role does without it, and never ends in a slash.
type Platform struct {
	ConfigURL    string
	InstancesURL string
	OriginURL    string
	StoreURL     string
	// WatchWait is how long one watch of the configuration may wait.
	WatchWait time.Duration
	// ListEvery is the mean pause between two reads of the instance list.
	ListEvery time.Duration
	// CallTimeout bounds every call that is not a watch or a transfer.
	CallTimeout time.Duration
}

// TLS names the files that tell the system's processes apart from others. A
// relative path of the file is taken from the directory of that file.
type TLS struct {
	Authority   string
	Certificate string
	Key         string
	// ReloadEvery is the pause between two looks at the files for a change.
	ReloadEvery time.Duration
}

// BackendKind is the kind of a backend server.
type BackendKind string

const (
	// BackendEngine is a model engine, which takes orders.
	BackendEngine BackendKind = "engine"
	// BackendPlain is a plain service, which only answers requests.
	BackendPlain BackendKind = "plain"
)

// Backend is the backend server that an agent stands beside.
type Backend struct {
	Kind BackendKind
	// URL is the base URL of the server, without a trailing slash.
	URL string
}

// Link describes the network link of the instance.
type Link struct {
	// BytesPerSecond is the rate of the link one way; 0 if it is not known.
	BytesPerSecond int64
	// WeightsShare is the largest share of the link that weight traffic may
	// take, above 0 and at most 1.
	WeightsShare float64
	// StallTimeout is how long a transfer may go without a byte.
	StallTimeout time.Duration
}

// Limits bounds what the process may use.
type Limits struct {
	// MaxInFlight is the largest number of requests at once.
	MaxInFlight int
	// DrainTimeout bounds the wait for requests in progress at a planned stop.
	DrainTimeout time.Duration
	// MemoryLimit is the soft limit of the Go runtime's memory in bytes.
	MemoryLimit int64
}

// Log says what is logged.
type Log struct {
	Level zapcore.Level
}

// SpanOutput is where trace spans go.
type SpanOutput string

const (
	// SpansToLog writes one log line for each span.
	SpansToLog SpanOutput = "log"
	// SpansOff records no spans; trace contexts are still passed on.
	SpansOff SpanOutput = "off"
)

// Trace says where trace spans go.
type Trace struct {
	Spans SpanOutput
}

// Entry holds what only an entry needs.
type Entry struct {
	// AddressTTL is how long a caller may keep an address answer.
	AddressTTL time.Duration
	// MaxBody is the largest body of a request in bytes.
	MaxBody int64
	// DefaultDeadline is the deadline of a request that names none.
	DefaultDeadline time.Duration
}

// StageKind is where an agent keeps the chunks of a version.
type StageKind string

const (
	// StageEngine hands chunks to the engine, which gives them back for peers.
	StageEngine StageKind = "engine"
	// StageMemory keeps chunks in the memory of the agent.
	StageMemory StageKind = "memory"
)

// Agent holds what only an agent needs.
type Agent struct {
	Stage StageKind
	// UploadSlots is the number of chunks that are sent to peers at once.
	UploadSlots int
	// Fetches is the number of chunks that are fetched at once.
	Fetches int
}

// Self returns the process as a line of the platform's instance list.
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
