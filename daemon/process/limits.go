package process

import (
	"math"
	"syscall"

	"chivespindle.example/adapters/settings"
	"chivespindle.example/core/connlimit"
	"chivespindle.example/core/memlimit"
)

const (
	// headShare is the share of the memory limit for request heads.
	headShare = 0.1
	// bodyMultiple is how many of the largest bodies fit into the memory limit that the budget
	// of bodies is computed from, at least.
	bodyMultiple = 2 / memlimit.Share
)

// callerLimits returns the bounds on what callers use together. openFiles is the number of
// files and sockets that the process may have open, 0 for no limit.
func callerLimits(s *settings.Settings, openFiles int) connlimit.Limits {
	connections := s.Limits.ConnectionLimit()
	if openFiles > 0 {
		connections = min(connections, connlimit.OfProcess(0, openFiles).Connections)
	}
	return connlimit.Limits{
		Connections: connections,
		// There are always connections that can be closed for a new one.
		Requests:  max(1, connections-connections/4),
		HeadBytes: max(int64(headShare*float64(s.Limits.MemoryLimit)), connlimit.MinHeadBytes),
	}
}

// bodyBudget returns the memory for bodies of requests.
func bodyBudget(s *settings.Settings) *memlimit.Budget {
	return memlimit.New(max(s.Limits.MemoryLimit, int64(math.Ceil(bodyMultiple*float64(s.Entry.MaxBody)))))
}

// openFileLimit returns the number of files and sockets that this process may have open, 0 if
// that is unknown.
func openFileLimit() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > math.MaxInt32 {
		return 0
	}
	return int(limit.Cur)
}
