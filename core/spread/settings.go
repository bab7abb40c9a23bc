package spread

import (
	"time"

	"chivespindle.example/core/defaults"
	"chivespindle.example/core/weights"
)

// Policy weighs time to all replicas against bytes from the origin.
type Policy string

const (
	// PolicyTime takes over a late chunk soon, at the price of a few chunks
	// that leave the origin twice. It is the default.
	PolicyTime Policy = "time"
	// PolicyOrigin waits long before a chunk leaves the origin again.
	PolicyOrigin Policy = "origin"
)

// Settings of a plan. A zero field takes the default.
type Settings struct {
	Policy Policy
	// OriginCopies is the hard limit of copies that the whole fleet draws from
	// the origin, bytes of failed draws included. Default 3.5.
	OriginCopies float64
	// OriginRate is what the origin's link carries, in bytes a second. Default
	// 1.25e9, a link of 10 Gbit/s. Set it rather too high than too low: the
	// schedule slows down by itself when the origin is slower, but never runs
	// ahead of this rate.
	OriginRate int64
	// MaxFetches is the number of concurrent downloads. Default 4.
	MaxFetches int
	// PerPeer is the number of concurrent downloads from one peer. Default 1.
	PerPeer int
	// MaxUploads is the number of concurrent uploads. Default MaxFetches: with
	// fewer, members wait for slots while links idle.
	MaxUploads int
	// MaxNeighbours is the number of neighbours that a member chooses; it may
	// be chosen by as many more. Default 8.
	MaxNeighbours int
	// ListenTime is how long a member that has received messages from fewer than half
	// of its neighbours waits before it first draws from the origin. Default 1s.
	ListenTime time.Duration
	// Takeover is how long the second in rank waits for a chunk that shows up
	// nowhere. Default 16 chunks at OriginRate, at least 1s; for PolicyOrigin
	// twice that.
	Takeover time.Duration
	// OrphanTime is how long the first in rank waits for a chunk that exists
	// somewhere but at no neighbour. Default twice Takeover.
	OrphanTime time.Duration
	// SourcePauseMax is the longest pause before the origin or the store is asked
	// again after failures. Default 15s: hundreds of members that each ask a
	// source that has just come back would bring it down again. A small fleet on
	// a short deadline asks sooner.
	SourcePauseMax time.Duration
	// NearFirst has a member take what peers of its own region hold before what
	// only others do, and one member of each region fetch a chunk from another
	// region for all. Default false.
	NearFirst bool
	// NoStore is true if there is only the origin. A member that has used up its
	// part of OriginCopies then continues to draw from it, slowly: failed draws
	// count, and without them a version might never become whole.
	NoStore bool

	// pace is the time in which the origin sends one average chunk.
	pace time.Duration
}

const (
	defaultOriginCopies  = 3.5
	defaultOriginRate    = 1_250_000_000
	defaultMaxFetches    = 4
	defaultPerPeer       = 1
	defaultMaxNeighbours = 8
	defaultListenTime    = time.Second
	defaultSourcePause   = 15 * time.Second

	takeoverChunks   = 16
	takeoverMin      = time.Second
	originPatience   = 2 // factor of PolicyOrigin over PolicyTime
	orphanOfTakeover = 2
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
	defaults.Set(&s.ListenTime, defaultListenTime)
	defaults.Set(&s.SourcePauseMax, defaultSourcePause)
	copyTime := float64(m.TotalBytes()) / float64(s.OriginRate) * float64(time.Second)
	s.pace = max(1, time.Duration(copyTime)/time.Duration(max(1, len(m.Chunks))))
	takeover := max(takeoverMin, takeoverChunks*s.pace)
	if s.Policy == PolicyOrigin {
		takeover *= originPatience
	}
	defaults.Set(&s.Takeover, takeover)
	defaults.Set(&s.OrphanTime, orphanOfTakeover*s.Takeover)
	return s
}
