package slopes

import (
	"fmt"

	"chivespindle.example/core/fleet"
)

// outcome is what was measured of one simFleet.
type outcome struct {
	spec         simSpec
	followed     int
	quiet, burst cost
	join         float64 // bytes for joining the fleet
}

// series selects the outcomes of one slope and returns their sizes.
type series struct {
	name, of string
	target   float64
	size     func(outcome) (size int, belongs bool)
}

// allSeries returns the series of slopes. The target of servers_followed is
// the largest measured number of servers, that of manyServices.
func allSeries(outcomes []outcome) []series {
	followed := 0
	for _, o := range outcomes {
		followed = max(followed, o.followed)
	}
	return []series{
		{"entry", "fleet_processes", Processes, func(o outcome) (int, bool) {
			return o.spec.Fleet, o.spec.Role == fleet.RoleEntry && o.spec.Services == 1 && o.spec.Subscribers == 0
		}},
		{"entry", "servers_followed", float64(followed), func(o outcome) (int, bool) {
			return o.followed, o.spec.Role == fleet.RoleEntry && o.spec.Fleet == Processes && o.spec.Subscribers == 0
		}},
		{"entry", "entries_following", Entries - 1, func(o outcome) (int, bool) {
			return o.spec.Subscribers, o.spec.Role == fleet.RoleEntry && o.spec.Fleet == Processes && o.spec.Services == 1
		}},
		{"agent", "fleet_processes", Processes, func(o outcome) (int, bool) {
			return o.spec.Fleet, o.spec.Role == fleet.RoleAgent && o.spec.Services == 1
		}},
		{"agent", "entries_following", Entries, func(o outcome) (int, bool) {
			return o.spec.Subscribers, o.spec.Role == fleet.RoleAgent && o.spec.Services == manyServices
		}},
	}
}

// simSlopes converts the outcomes to slopes.
func simSlopes(outcomes []outcome) []Slope {
	parts := []struct {
		name, unit string
		budget     float64
		value      func(outcome) float64
	}{
		{"cpu", "ms/s", CPUBudget, func(o outcome) float64 { return o.quiet.CPU }},
		{"cpu_burst", "ms/s", CPUBudget, func(o outcome) float64 { return o.burst.CPU }},
		{"bytes", "B/s", TrafficBudget, func(o outcome) float64 { return o.quiet.Bytes }},
		{"bytes_burst", "B/s", TrafficBudget, func(o outcome) float64 { return o.burst.Bytes }},
		{"rss", "B", MemoryBudget, func(o outcome) float64 { return o.quiet.RSS }},
		{"join_bytes", "B", 0, func(o outcome) float64 { return o.join }},
	}
	var slopes []Slope
	for _, s := range allSeries(outcomes) {
		for _, part := range parts {
			slope := Slope{Name: fmt.Sprintf("%s_%s", s.name, part.name), Of: s.of, Unit: part.unit, Target: s.target, Budget: part.budget}
			for _, o := range outcomes {
				if size, belongs := s.size(o); belongs {
					slope.Points = append(slope.Points, Point{float64(size), part.value(o)})
				}
			}
			slopes = append(slopes, slope)
		}
	}
	return slopes
}
