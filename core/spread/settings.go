package spread

import (
	"time"

	"chivespindle.example/core/defaults"
	"chivespindle.example/core/weights"
)

// Policy selects the trade-off between the time until all replicas are complete and the
// bytes sent by the origin.
type Policy string

const (
	// PolicyTime takes over a late chunk early, at the cost of a few chunks that the
	// origin sends twice. It is the default.
	PolicyTime Policy = "time"
	// PolicyOrigin waits longer before a chunk is fetched from the origin again.
	PolicyOrigin Policy = "origin"
)

// Settings configures a plan. A zero field takes the default.
type Settings struct {
	Policy Policy
	// OriginCopies is the hard limit of copies that the whole fleet fetches from the
	// origin, including bytes of failed fetches. Default 3.5.
	OriginCopies float64
	// OriginRate is the capacity of the origin's link in bytes per second. Default
	// 1.25e9, a link of 10 Gbit/s. An overestimate is safer than an underestimate: the
	// schedule slows down by itself when the origin is slower, but never runs ahead of
	// this rate.
	OriginRate int64
	// MaxFetches is the number of concurrent downloads. Default 4.
	MaxFetches int
	// PerPeer is the number of concurrent downloads from one peer. Default 1.
	PerPeer int
	// MaxUploads is the number of concurrent uploads. Default MaxFetches: with fewer,
	// members wait for upload slots while links are idle.
	MaxUploads int
	// MaxNeighbours is the number of neighbours that a member chooses; as many more may
	// choose it. Default 8.
	MaxNeighbours int
	// ReportWait is how long a member that has received reports from fewer than half of
	// its neighbours waits before its first upstream fetch. Default 1s.
	ReportWait time.Duration
	// TakeoverDelay is how long the second in rank waits for a chunk that appears
	// nowhere in the fleet. Default 16 chunks at OriginRate, at least 1s; twice that
	// for PolicyOrigin.
	TakeoverDelay time.Duration
	// OrphanDelay is how long the first in rank waits for a chunk that exists in the
	// fleet but that no neighbour holds. Default twice TakeoverDelay.
	OrphanDelay time.Duration
	// SourcePauseMax is the maximum pause between requests to the origin or the store
	// after failures. Default 15s: hundreds of members retrying a source that has just
	// recovered would overload it again. A small fleet with a short deadline can use a
	// shorter pause.
	SourcePauseMax time.Duration
	// NearFirst makes a member prefer chunks held by peers in its own region, and makes
	// one member per region responsible for fetching each chunk from another region.
	// Default false.
	NearFirst bool
	// NoStore is true if the origin is the only upstream source. A member that has used
	// up its share of OriginCopies then continues to fetch from the origin at a low
	// rate: failed fetches count against the share, and without further ones a version
	// might never be complete.
	NoStore bool

	// pace is the time in which the origin sends one chunk of average size.
	pace time.Duration
}

const (
	defaultOriginCopies  = 3.5
	defaultOriginRate    = 1_250_000_000
	defaultMaxFetches    = 4
	defaultPerPeer       = 1
	defaultMaxNeighbours = 8
	defaultReportWait    = time.Second
	defaultSourcePause   = 15 * time.Second

	takeoverChunks       = 16
	takeoverMin          = time.Second
	originTakeoverFactor = 2 // takeover time of PolicyOrigin relative to PolicyTime
	orphanTakeoverFactor = 2
)

func (s Settings) withDefaults(m weights.Manifest) Settings {
	if s.Policy == "" {
		s.Policy = PolicyTime
	}
	defaults.Set(&s.OriginCopies, defaultOriginCopies)
	defaults.Set(&s.OriginRate, defaultOriginRate)
	defaults.Set(&s.MaxFetches, defaultMaxFetches)
	defaults.Set(&s.PerPeer, defaultPerPeer)
	defaults.Set(&s.MaxUploads, s.MaxFetches)
	defaults.Set(&s.MaxNeighbours, defaultMaxNeighbours)
	defaults.Set(&s.ReportWait, defaultReportWait)
	defaults.Set(&s.SourcePauseMax, defaultSourcePause)
	copyTime := float64(m.TotalBytes()) / float64(s.OriginRate) * float64(time.Second)
	s.pace = max(1, time.Duration(copyTime)/time.Duration(max(1, len(m.Chunks))))
	takeover := max(takeoverMin, takeoverChunks*s.pace)
	if s.Policy == PolicyOrigin {
		takeover *= originTakeoverFactor
	}
	defaults.Set(&s.TakeoverDelay, takeover)
	defaults.Set(&s.OrphanDelay, orphanTakeoverFactor*s.TakeoverDelay)
	return s
}
