package requestlog

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Events of an entry about evacuations.
const (
	eventZoneEvacuated = "zone_evacuated"
	eventZoneReleased  = "zone_released"
)

// explainEvacuated explains a refusal because only servers in evacuated zones were left.
func (l *Collector) explainEvacuated(last Line) string {
	const text = "All servers that were left are in zones that the operator has evacuated"
	evacuated := make(map[string]Line) // by zone
	for _, line := range l.processLines {
		if line.Instance != last.Instance || line.At.After(last.At) {
			continue
		}
		switch zone := line.Value("zone"); line.Event {
		case "started":
			clear(evacuated)
		case eventZoneEvacuated:
			evacuated[zone] = line
		case eventZoneReleased:
			delete(evacuated, zone)
		}
	}
	var zones []string
	for _, zone := range slices.Sorted(maps.Keys(evacuated)) {
		zones = append(zones, fmt.Sprintf("%s, known there for %s from %s", zone,
			last.At.Sub(evacuated[zone].At).Round(precision), evacuated[zone].Value("source")))
	}
	if len(zones) == 0 {
		return text + "."
	}
	return text + ": " + strings.Join(zones, "; ") + "."
}
