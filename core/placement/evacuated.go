package placement

// isEvacuated reports whether only evacuated servers are left for the request. If a server
// reloads, they are not: requests may wait for it.
func (g *serverGroup) isEvacuated(req Request) bool {
	found := false
	for _, st := range g.states {
		switch {
		case st.Leaving, !req.isAllowed(st):
		case st.Evacuated:
			found = true
		default:
			return false
		}
	}
	return found
}

// compareBools orders false before true.
func compareBools(x, y bool) int {
	switch {
	case x == y:
		return 0
	case y:
		return -1
	default:
		return 1
	}
}
