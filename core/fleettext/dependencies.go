package fleettext

import (
	"slices"
	"strings"

	"chivespindle.example/core/fleet"
)

// addServices resolves the versions and dependencies of all services.
func (f *Fleet) addServices(faults *faultList) {
	for _, s := range f.sections {
		settings, ok := s.value.(*serviceSettings)
		if !ok {
			continue
		}
		service := settings.Service
		version, declared := f.versions[settings.versionName]
		service.Version = version
		if settings.versionName != "" && !declared {
			faults.add(s.lineOf(keyVersion), "version: there is no section [version %s]", settings.versionName)
		}
		f.services[service.Name] = service
		f.serviceNames = append(f.serviceNames, service.Name)
	}
	walk := &dependencyWalk{fleet: f, faults: faults, state: map[fleet.ServiceName]visit{}}
	for _, name := range f.serviceNames {
		walk.visit(name)
	}
	f.order = walk.order
}

// visit is the state of a service during the depth-first walk.
type visit int

const (
	notVisited visit = iota
	onPath
	visited
)

// dependencyWalk is a depth-first walk over the dependencies. Reaching a service
// that is still on the path closes a cycle.
type dependencyWalk struct {
	fleet  *Fleet
	faults *faultList
	state  map[fleet.ServiceName]visit
	path   []fleet.ServiceName
	order  []fleet.ServiceName
}

func (w *dependencyWalk) visit(name fleet.ServiceName) {
	if w.state[name] != notVisited {
		return
	}
	w.state[name] = onPath
	w.path = append(w.path, name)
	for _, next := range w.fleet.services[name].DependsOn {
		w.follow(name, next)
	}
	w.path = w.path[:len(w.path)-1]
	w.state[name] = visited
	w.order = append(w.order, name)
}

func (w *dependencyWalk) follow(from, to fleet.ServiceName) {
	if _, ok := w.fleet.services[to]; !ok {
		w.faults.add(w.lineOf(from), "depends_on: there is no section [service %s]", to)
		return
	}
	if w.state[to] != onPath {
		w.visit(to)
		return
	}
	cycle := slices.Clone(w.path[slices.Index(w.path, to):])
	w.faults.add(w.lineOf(from), "depends_on: dependency cycle %s", formatCycle(cycle))
}

func (w *dependencyWalk) lineOf(name fleet.ServiceName) int {
	return w.fleet.section(string(kindService) + " " + string(name)).lineOf(keyDependsOn)
}

// formatCycle returns "a -> b -> a", starting with the name that sorts first.
func formatCycle(cycle []fleet.ServiceName) string {
	least := slices.Index(cycle, slices.Min(cycle))
	var b strings.Builder
	for i := range cycle {
		b.WriteString(string(cycle[(least+i)%len(cycle)]) + " -> ")
	}
	b.WriteString(string(cycle[least]))
	return b.String()
}
