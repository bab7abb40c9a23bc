// Package priority decides how requests of different urgency share the servers of a
// service: the level of a request, the part of the servers that a level leaves to
// more urgent ones, and which requests wait at an entry.
//
// It does no I/O and reads no clock. An entry decides by what it has seen itself; no
// message passes between entries.
package priority

// Level is the urgency of a request; 0 is the most urgent.
type Level uint8

const (
	// MaxLevels is the number of levels that servers distinguish.
	MaxLevels = 10
	// maxPriority is the highest valid priority of a workspace or a route.
	maxPriority = 9
)

// Scale numbers the pairs of a workspace's and a route's priority by urgency. It never
// changes once built.
type Scale struct {
	levels [maxPriority + 1][maxPriority + 1]Level // by workspace priority, then route priority
	// leastUrgent is the least urgent priority of a workspace.
	leastUrgent int
	count       int
	outOfRange  int
}

// NewScale returns the scale for the priorities that occur among the workspaces and the
// routes. The priority of the workspace decides, that of the route breaks ties. Pairs
// beyond MaxLevels share the last level.
func NewScale(workspaces, routes []int) *Scale {
	s := &Scale{}
	ofWorkspaces, ofRoutes := s.occurring(workspaces), s.occurring(routes)
	if len(workspaces) == 0 {
		ofWorkspaces[0] = true
	}
	for w := range ofWorkspaces {
		if !ofWorkspaces[w] {
			continue
		}
		s.leastUrgent = w
		for r := range ofRoutes {
			if !ofRoutes[r] {
				continue
			}
			s.levels[w][r] = Level(min(s.count, MaxLevels-1))
			s.count++
		}
	}
	s.count = max(1, min(s.count, MaxLevels))
	return s
}

// occurring marks the priorities that occur, and counts those that are out of range.
func (s *Scale) occurring(priorities []int) (occurs [maxPriority + 1]bool) {
	for _, p := range priorities {
		if clamp(p) != p {
			s.outOfRange++
		}
		occurs[clamp(p)] = true
	}
	return occurs
}

func clamp(priority int) int { return min(max(0, priority), maxPriority) }

// Level returns the level of a request with a workspace.
func (s *Scale) Level(workspace, route int) Level { return s.levels[clamp(workspace)][clamp(route)] }

// LevelWithoutWorkspace returns the level of a request without a workspace. It ranks with
// the least urgent workspaces.
func (s *Scale) LevelWithoutWorkspace(route int) Level { return s.Level(s.leastUrgent, route) }

// Levels returns the number of levels, at least 1.
func (s *Scale) Levels() int { return s.count }

// OutOfRange returns the number of priorities that are not between 0 and 9. They count as
// the nearest valid priority.
func (s *Scale) OutOfRange() int { return s.outOfRange }
