// Package linkshare computes how much of a machine's link bandwidth weight
// transfers may use, so that a burst of weight transfers does not delay live
// requests.
//
// In front of a saturated link, every live request queued behind weights is
// delayed. The share therefore stays below the link's rate while live requests
// run, and leaves them twice the bandwidth that they used recently: a response
// that doubles its rate still finds the link free.
package linkshare

import "time"

// Defaults of Settings.
const (
	defaultBusyShare = 0.8
	defaultIdleShare = 0.95
	defaultMinShare  = 0.1
	defaultIdleAfter = 2 * time.Second
	liveHeadroom     = 2
)

// Settings of a Share. Zero fields are replaced by the defaults.
type Settings struct {
	// LinkBytesPerSecond is the link's rate in bytes per second, each way. If
	// it is 0, the rate is unknown and weight transfers are not limited.
	LinkBytesPerSecond int64
	// BusyShare is the maximum share while live requests run; default 0.8.
	BusyShare float64
	// IdleShare is the share when no live request has run for IdleAfter;
	// default 0.95.
	IdleShare float64
	// MinShare is the minimum share, however busy the link is, so that a new
	// version is fetched eventually; default 0.1.
	MinShare float64
	// IdleAfter is the time without live requests after which the link counts
	// as idle; default 2 s.
	IdleAfter time.Duration
}

// Share tracks the live traffic of one direction. It is not safe for concurrent
// use.
type Share struct {
	settings  Settings
	lastTotal int64
	lastAt    time.Time
	liveRate  float64
	lastLive  time.Time
}

// New returns a share without observed live requests.
func New(s Settings) *Share {
	if s.BusyShare == 0 {
		s.BusyShare = defaultBusyShare
	}
	if s.IdleShare == 0 {
		s.IdleShare = defaultIdleShare
	}
	if s.MinShare == 0 {
		s.MinShare = defaultMinShare
	}
	if s.IdleAfter == 0 {
		s.IdleAfter = defaultIdleAfter
	}
	return &Share{settings: s}
}

// Update takes the live requests in flight and the live bytes transferred since
// the start of the process, and returns the bytes per second that weight
// transfers may use; 0 means no limit.
func (s *Share) Update(now time.Time, inFlight int, liveTotal int64) int64 {
	s.updateRate(now, liveTotal)
	if inFlight > 0 {
		s.lastLive = now
	}
	if s.settings.LinkBytesPerSecond == 0 {
		return 0
	}
	link := float64(s.settings.LinkBytesPerSecond)
	if s.lastLive.IsZero() || now.Sub(s.lastLive) >= s.settings.IdleAfter {
		return int64(link * s.settings.IdleShare)
	}
	free := link - liveHeadroom*s.liveRate
	free = min(free, link*s.settings.BusyShare)
	free = max(free, link*s.settings.MinShare)
	return int64(free)
}

// updateRate updates the live rate. It follows an increase immediately and a
// decrease slowly: yielding too late delays a caller, yielding too long only
// the weight transfer.
func (s *Share) updateRate(now time.Time, total int64) {
	if s.lastAt.IsZero() {
		s.lastAt, s.lastTotal = now, total
		return
	}
	seconds := now.Sub(s.lastAt).Seconds()
	if seconds <= 0 {
		return
	}
	rate := float64(total-s.lastTotal) / seconds
	const decay = 0.7
	s.liveRate = max(rate, decay*s.liveRate)
	s.lastAt, s.lastTotal = now, total
}
