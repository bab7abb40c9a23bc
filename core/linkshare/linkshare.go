// Package linkshare decides how much of a machine's link weight traffic may
// use, so that a burst of weights does not delay live requests.
//
// A queue in front of a full link delays every live request that stands
// behind weights in it. The share therefore stays below the link's rate while
// live requests run, and leaves them twice the room that they used lately: an
// answer that doubles its rate still finds the link free.
package linkshare

import "time"

// Defaults of Settings.
const (
	defaultBusyShare  = 0.8
	defaultIdleShare  = 0.95
	defaultFloorShare = 0.1
	defaultIdleAfter  = 2 * time.Second
	liveHeadroom      = 2
)

// Settings of a Share. Zero fields take the defaults.
type Settings struct {
	// LinkBytes is the link's rate in bytes a second, each way; 0: unknown,
	// weight traffic is then not limited.
	LinkBytes int64
	// BusyShare is the largest share while live requests run; default 0.8.
	BusyShare float64
	// IdleShare is the share while none ran for IdleAfter; default 0.95.
	IdleShare float64
	// FloorShare is kept for weights however busy the link is, so that a new
	// version arrives at last; default 0.1.
	FloorShare float64
	// IdleAfter is how long without a live request counts as idle; default 2 s.
	IdleAfter time.Duration
}

// Share holds what is known of the live traffic of one direction. It is not
// safe for concurrent use.
type Share struct {
	settings  Settings
	lastTotal int64
	lastAt    time.Time
	liveRate  float64
	lastLive  time.Time
}

// New returns a share that has seen no live request.
func New(s Settings) *Share {
	if s.BusyShare == 0 {
		s.BusyShare = defaultBusyShare
	}
	if s.IdleShare == 0 {
		s.IdleShare = defaultIdleShare
	}
	if s.FloorShare == 0 {
		s.FloorShare = defaultFloorShare
	}
	if s.IdleAfter == 0 {
		s.IdleAfter = defaultIdleAfter
	}
	return &Share{settings: s}
}

// Update takes the live requests in flight and the live bytes moved since the
// start of the process, and returns the bytes a second that weight traffic
// may use; 0 means no limit.
func (s *Share) Update(now time.Time, inFlight int, liveTotal int64) int64 {
	s.measure(now, liveTotal)
	if inFlight > 0 {
		s.lastLive = now
	}
	if s.settings.LinkBytes == 0 {
		return 0
	}
	link := float64(s.settings.LinkBytes)
	if s.lastLive.IsZero() || now.Sub(s.lastLive) >= s.settings.IdleAfter {
		return int64(link * s.settings.IdleShare)
	}
	free := link - liveHeadroom*s.liveRate
	free = min(free, link*s.settings.BusyShare)
	free = max(free, link*s.settings.FloorShare)
	return int64(free)
}

// measure keeps the live rate: it follows a rise at once and a fall slowly,
// since giving way late harms a caller and giving way long only the burst.
func (s *Share) measure(now time.Time, total int64) {
	if s.lastAt.IsZero() {
		s.lastAt, s.lastTotal = now, total
		return
	}
	seconds := now.Sub(s.lastAt).Seconds()
	if seconds <= 0 {
		return
	}
	rate := float64(total-s.lastTotal) / seconds
	const keep = 0.7
	s.liveRate = max(rate, keep*s.liveRate)
	s.lastAt, s.lastTotal = now, total
}
