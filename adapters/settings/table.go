package settings

import (
	"net/netip"
	"slices"
	"time"

	"go.uber.org/zap/zapcore"

	"chivespindle.example/core/fleet"
)

const (
	minDuration = 10 * time.Millisecond
	maxDuration = time.Hour
)

// Keys returns all keys in the order of the reference.
func Keys() []Key { return slices.Clone(table) }

var table = makeTable()

func makeTable() []Key {
	var all []Key
	for _, section := range [][]Key{
		instanceKeys(), listenKeys(), platformKeys(), tlsKeys(), backendKeys(),
		linkKeys(), limitsKeys(), logAndTraceKeys(), entryKeys(), agentKeys(),
	} {
		all = append(all, section...)
	}
	return all
}

// presence tells whether a key is required or has a default.
type presence struct {
	required bool
	value    string
}

var (
	required = presence{required: true}
	optional = presence{}
)

func defaultTo(value string) presence { return presence{value: value} }

func allRoles() []fleet.Role { return []fleet.Role{fleet.RoleEntry, fleet.RoleAgent} }

func key(section, name string, roles []fleet.Role, b binding, p presence, doc string) Key {
	return Key{
		Section:  section,
		Name:     name,
		Type:     b.valueType,
		Unit:     b.unit,
		Default:  p.value,
		Range:    b.limits,
		Roles:    roles,
		Required: p.required,
		Doc:      doc,
		store:    b.store,
	}
}

func instanceKeys() []Key {
	const section = "instance"
	agent := []fleet.Role{fleet.RoleAgent}
	return []Key{
		key(section, "id", allRoles(), name(func(s *Settings) *fleet.InstanceID { return &s.Instance.ID }), required,
			"Name of the instance, as in the platform's instance list. A replacement has another."),
		key(section, "zone", allRoles(), place(func(s *Settings) *fleet.Zone { return &s.Instance.Zone }), required,
			"Availability zone, unique over all regions."),
		key(section, "region", allRoles(), place(func(s *Settings) *fleet.Region { return &s.Instance.Region }), required,
			"Region of the zone."),
		key(section, "service", agent, name(func(s *Settings) *fleet.ServiceName { return &s.Instance.Service }), required,
			"Service of the backend server, as in the operators' text."),
	}
}

func listenKeys() []Key {
	const section = "listen"
	entry := []fleet.Role{fleet.RoleEntry}
	return []Key{
		key(section, "peer", allRoles(), address(func(s *Settings) *netip.AddrPort { return &s.Listen.Peer }, wildcardRefused), required,
			"UDP address for the other processes of the system, as in the instance list."),
		key(section, "callers", entry, address(func(s *Settings) *netip.AddrPort { return &s.Listen.Callers }, wildcardRefused), required,
			"TCP address for callers, as in the instance list."),
		key(section, "ops", allRoles(), address(func(s *Settings) *netip.AddrPort { return &s.Listen.Ops }, wildcardAllowed), required,
			"TCP address for operators: /metrics, /status, /healthz and /readyz. It asks nobody who they are; keep it on a network of your own."),
	}
}

func platformKeys() []Key {
	const section = "platform"
	return []Key{
		key(section, "config_url", allRoles(), baseURL(func(s *Settings) *string { return &s.Platform.ConfigURL }), required,
			"Configuration service."),
		key(section, "instances_url", allRoles(), baseURL(func(s *Settings) *string { return &s.Platform.InstancesURL }), required,
			"Instance list."),
		key(section, "origin_url", allRoles(), baseURL(func(s *Settings) *string { return &s.Platform.OriginURL }), optional,
			"Origin of weights. An agent beside an engine must have it; an entry makes no use of it."),
		key(section, "store_url", allRoles(), baseURL(func(s *Settings) *string { return &s.Platform.StoreURL }), optional,
			"Rate-limited weight store. An agent beside an engine must have it; an entry makes no use of it."),
		key(section, "watch_wait", allRoles(), duration(func(s *Settings) *time.Duration { return &s.Platform.WatchWait }, time.Second, 10*time.Minute), defaultTo("30s"),
			"Longest wait of one watch of the configuration. The platform counts each watch as a call."),
		key(section, "list_every", allRoles(), duration(func(s *Settings) *time.Duration { return &s.Platform.ListInterval }, minDuration, maxDuration), defaultTo("2s"),
			"Mean pause between two reads of the instance list."),
		key(section, "call_timeout", allRoles(), duration(func(s *Settings) *time.Duration { return &s.Platform.CallTimeout }, minDuration, 5*time.Minute), defaultTo("2s"),
			"Timeout of a call to the platform that is not a watch or a transfer."),
	}
}

func tlsKeys() []Key {
	const section = "tls"
	return []Key{
		key(section, "authority", allRoles(), path(func(s *Settings) *string { return &s.TLS.Authority }), required,
			"PEM file with the certificate of the one authority that signs for every process of the system."),
		key(section, "certificate", allRoles(), path(func(s *Settings) *string { return &s.TLS.Certificate }), required,
			"PEM file with the certificate of this process."),
		key(section, "key", allRoles(), path(func(s *Settings) *string { return &s.TLS.Key }), required,
			"PEM file with the private key of this process."),
		key(section, "reload_every", allRoles(), duration(func(s *Settings) *time.Duration { return &s.TLS.ReloadInterval }, minDuration, 24*time.Hour), defaultTo("30s"),
			"Pause between two looks at these files; new ones come into use without a restart."),
	}
}

func backendKeys() []Key {
	const section = "backend"
	agent := []fleet.Role{fleet.RoleAgent}
	return []Key{
		key(section, "kind", agent, enum(func(s *Settings) *BackendKind { return &s.Backend.Kind }, BackendEngine, BackendPlain), defaultTo(string(BackendEngine)),
			"Kind of the backend server: a model engine, which takes orders, or a plain service."),
		key(section, "url", agent, baseURL(func(s *Settings) *string { return &s.Backend.URL }), required,
			"Backend server that this agent stands beside."),
	}
}

func linkKeys() []Key {
	const (
		section = "link"
		maxRate = 1000 * gigabyte
	)
	return []Key{
		key(section, "bytes_per_second", allRoles(), size(func(s *Settings) *int64 { return &s.Link.BytesPerSecond }, 0, maxRate).withUnit("bytes/s"), defaultTo("0"),
			"Rate of the instance's network link one way, per second; 0 if it is not known. 10 Gbit/s is 1.25GB."),
		key(section, "weights_share", allRoles(), share(func(s *Settings) *float64 { return &s.Link.WeightsShare }, 0.01, 1), defaultTo("0.8"),
			"Largest share of the link for weight traffic, so that live requests keep the rest. It binds only if the rate is known."),
		key(section, "stall_timeout", allRoles(), duration(func(s *Settings) *time.Duration { return &s.Link.StallTimeout }, minDuration, 5*time.Minute), defaultTo("2s"),
			"How long a transfer may go without a byte before it is given up; a stalled link does not close."),
	}
}

func limitsKeys() []Key {
	const section = "limits"
	entry := []fleet.Role{fleet.RoleEntry}
	return []Key{
		key(section, "max_in_flight", allRoles(), number(func(s *Settings) *int { return &s.Limits.MaxInFlight }, 1, 1_000_000).withUnit("requests"), defaultTo("1024"),
			"Largest number of requests at once; one more is answered at once as not run."),
		key(section, "max_connections", entry, number(func(s *Settings) *int { return &s.Limits.MaxConnections }, 0, 1_000_000).withUnit("connections"), defaultTo("0"),
			"Largest number of callers' connections, each of up to 64 KB; 0 is twice max_in_flight. At this number, or at 0.6 of the open files that the system allows, the one that has been idle or without a whole request for longest is closed for a new one."),
		key(section, "drain_timeout", allRoles(), duration(func(s *Settings) *time.Duration { return &s.Limits.DrainTimeout }, time.Second, maxDuration), defaultTo("30s"),
			"Longest wait for requests in progress at a planned stop."),
		key(section, "memory_limit", allRoles(), size(func(s *Settings) *int64 { return &s.Limits.MemoryLimit }, 16*megabyte, 1000*gigabyte), defaultTo("64MB"),
			"Soft limit of the Go runtime's memory, as GOMEMLIMIT. With agent.stage = memory it must also hold the weights. An entry holds bodies of requests up to 0.35 of it, at least two of max_body; one more is refused as not run."),
	}
}

func logAndTraceKeys() []Key {
	levels := []zapcore.Level{zapcore.DebugLevel, zapcore.InfoLevel, zapcore.WarnLevel, zapcore.ErrorLevel}
	return []Key{
		key("log", "level", allRoles(), level(func(s *Settings) *zapcore.Level { return &s.Log.Level }, levels), defaultTo("info"),
			"Least severe level that is logged."),
		key("trace", "spans", allRoles(), enum(func(s *Settings) *SpanOutput { return &s.Trace.Spans }, SpansToLog, SpansOff), defaultTo(string(SpansOff)),
			"Where trace spans go: one log line each, at level info, or nowhere. Trace contexts are passed on in either case."),
	}
}

func entryKeys() []Key {
	const section = "entry"
	entry := []fleet.Role{fleet.RoleEntry}
	return []Key{
		key(section, "address_ttl", entry, duration(func(s *Settings) *time.Duration { return &s.Entry.AddressTTL }, time.Second, maxDuration), defaultTo("10s"),
			"How long a caller may keep an address answer. A leaving entry serves on until those that name it have expired."),
		key(section, "max_body", entry, size(func(s *Settings) *int64 { return &s.Entry.MaxBody }, kilobyte, gigabyte), defaultTo("1MB"),
			"Largest body of a request; a larger one is refused as not run."),
		key(section, "body_timeout", entry, duration(func(s *Settings) *time.Duration { return &s.Entry.BodyTimeout }, minDuration, maxDuration), defaultTo("30s"),
			"Longest receipt of a request's body; one that is not whole by then is refused as not run."),
		key(section, "default_deadline", entry, duration(func(s *Settings) *time.Duration { return &s.Entry.DefaultDeadline }, minDuration, maxDuration), defaultTo("30s"),
			"Deadline of a request that names none."),
	}
}

func agentKeys() []Key {
	const section = "agent"
	agent := []fleet.Role{fleet.RoleAgent}
	return []Key{
		key(section, "stage", agent, enum(func(s *Settings) *StageKind { return &s.Agent.Stage }, StageEngine, StageMemory), defaultTo(string(StageEngine)),
			"Where chunks of weights are kept before the load order and for peers: handed to the engine, or in the agent's memory."),
		key(section, "upload_slots", agent, number(func(s *Settings) *int { return &s.Agent.MaxUploads }, 1, 256).withUnit("chunks"), defaultTo("4"),
			"Number of chunks that are sent to peers at once."),
		key(section, "fetches", agent, number(func(s *Settings) *int { return &s.Agent.MaxFetches }, 1, 256).withUnit("chunks"), defaultTo("4"),
			"Number of chunks that are fetched at once."),
	}
}
