package routing

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"chivespindle.example/core/failure"
	"chivespindle.example/core/fleet"
	"chivespindle.example/core/priority"
	"chivespindle.example/core/residency"
)

// Table provides lookups in one Config. It is safe for concurrent use.
type Table struct {
	config          Config
	hosts           map[string][]*Route // longest prefix first
	hostRegions     map[string]residency.Regions
	services        map[fleet.ServiceName]*Service
	keys            map[string]*Workspace
	targetLatencies map[fleet.ServiceName]time.Duration
	scale           *priority.Scale
}

// NewTable validates a configuration and builds its table. An invalid configuration
// is rejected as a whole with failure.Invalid, so that the current one stays in
// force.
func NewTable(c Config) (*Table, error) {
	t := &Table{
		config:          c,
		hosts:           make(map[string][]*Route),
		hostRegions:     make(map[string]residency.Regions),
		services:        make(map[fleet.ServiceName]*Service, len(c.Services)),
		keys:            make(map[string]*Workspace),
		targetLatencies: make(map[fleet.ServiceName]time.Duration),
	}
	for i := range c.Services {
		t.services[c.Services[i].Name] = &t.config.Services[i]
	}
	for i := range c.Routes {
		if err := t.addRoute(&t.config.Routes[i]); err != nil {
			return nil, err
		}
	}
	for i := range c.Workspaces {
		w := &t.config.Workspaces[i]
		for _, key := range w.Keys {
			t.keys[key] = w
		}
	}
	t.scale = newScale(c)
	for host, routes := range t.hosts {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
		if regions := regionsOf(routes); regions.IsRestricted() {
			t.hostRegions[host] = regions
		}
	}
	return t, nil
}

func (t *Table) addRoute(r *Route) error {
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		return failure.Invalid.New("route %q: prefix %q must begin and end with a slash", r.Name, r.Prefix)
	}
	if len(r.Targets) == 0 {
		return failure.Invalid.New("route %q: has no target service", r.Name)
	}
	for _, target := range r.Targets {
		if t.services[target.Service] == nil {
			return failure.Invalid.New("route %q: unknown service %q", r.Name, target.Service)
		}
		if known, ok := t.targetLatencies[target.Service]; r.TargetLatency > 0 && (!ok || r.TargetLatency < known) {
			t.targetLatencies[target.Service] = r.TargetLatency
		}
	}
	host := strings.ToLower(r.Host)
	t.hosts[host] = append(t.hosts[host], r)
	return nil
}

// regionsOf returns the regions that every restricted one of the routes allows.
func regionsOf(routes []*Route) residency.Regions {
	lists := make([][]fleet.Region, len(routes))
	for i, r := range routes {
		lists[i] = r.AllowedRegions
	}
	return residency.Of(lists...)
}

func newScale(c Config) *priority.Scale {
	workspaces, routes := make([]int, len(c.Workspaces)), make([]int, len(c.Routes))
	for i, w := range c.Workspaces {
		workspaces[i] = w.Priority
	}
	for i, r := range c.Routes {
		routes[i] = r.Priority
	}
	return priority.NewScale(workspaces, routes)
}

// Scale returns the levels of the configuration.
func (t *Table) Scale() *priority.Scale { return t.scale }

// Level returns the level of a request on a route. w is nil if the request has no
// workspace.
func (t *Table) Level(r *Route, w *Workspace) priority.Level {
	if w == nil {
		return t.scale.LevelWithoutWorkspace(r.Priority)
	}
	return t.scale.Level(w.Priority, r.Priority)
}

// Version returns the version of the configuration.
func (t *Table) Version() int64 { return t.config.Version }

// Limits returns the limits on callers' requests.
func (t *Table) Limits() Limits { return t.config.Limits }

// Services returns all services in the operator's order. The caller must not modify
// them.
func (t *Table) Services() []Service { return t.config.Services }

// Service returns the named service, or nil if there is none.
func (t *Table) Service(name fleet.ServiceName) *Service { return t.services[name] }

// ShortestTargetLatency returns the shortest target latency of the routes to a
// service; 0 if none has one.
func (t *Table) ShortestTargetLatency(name fleet.ServiceName) time.Duration {
	return t.targetLatencies[name]
}

// Match returns the route of a request: among the routes of its host, the one with
// the longest prefix of the path. host may include a port.
func (t *Table) Match(host, path string) *Route {
	for _, r := range t.hosts[hostName(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// HostRegions returns the regions that every restricted route of a host allows; all if the
// host has no restricted route. host may include a port.
func (t *Table) HostRegions(host string) residency.Regions { return t.hostRegions[hostName(host)] }

// hostName returns the key of a host in the table.
func hostName(host string) string {
	name, _, _ := strings.Cut(host, ":")
	return strings.ToLower(name)
}

// RegionLists returns the lists of allowed regions of all routes and workspaces.
func (t *Table) RegionLists() [][]fleet.Region {
	var lists [][]fleet.Region
	for _, r := range t.config.Routes {
		lists = append(lists, r.AllowedRegions)
	}
	for _, w := range t.config.Workspaces {
		lists = append(lists, w.AllowedRegions)
	}
	return lists
}

// Workspace returns the workspace that a key belongs to, or nil if the key is
// unknown.
func (t *Table) Workspace(key string) *Workspace { return t.keys[key] }

// NeedsKey reports whether requests on the route must carry a key.
func (t *Table) NeedsKey(r *Route) bool { return len(t.config.Workspaces) > 0 && !r.Public }

// Target selects the service for a request on the route. draw is a random number in
// [0, 1).
func (r *Route) Target(draw float64) fleet.ServiceName {
	var sum float64
	for _, target := range r.Targets {
		sum += target.Weight
	}
	left := draw * sum
	for _, target := range r.Targets {
		left -= target.Weight
		if left < 0 {
			return target.Service
		}
	}
	return r.Targets[len(r.Targets)-1].Service
}
