package balance

import (
	"time"

	"chivespindle.example/core/defaults"
)

// Settings tune the policy. Zero fields take the default.
type Settings struct {
	// DefaultSlots is assumed for a server that does not report its slots; 16.
	DefaultSlots int
	// QueueShare is how many requests may wait at a server beyond its slots,
	// as a share of them; 0.25.
	QueueShare float64
	// ReserveShare is the share of a server's room that is kept from requests
	// of the lowest priority, and proportionally less from those between; 0.1.
	ReserveShare float64
	// ReportTrust is how far a new report moves the estimate for a server
	// from the mean of its tier; 0.3.
	ReportTrust float64
	// ReportLife is the time constant with which a report fades until this
	// entry has seen how long requests take, then it is that time; 3 s.
	ReportLife time.Duration
	// SpillAt is the cost above which farther servers are looked at; 0.7.
	SpillAt float64
	// RegionPenalty and FleetPenalty are added to the cost of a server in
	// another zone and in another region; 0.1 and 0.3.
	RegionPenalty float64
	FleetPenalty  float64
	// AffinityFactor bounds the load of a server chosen by prefix key, in
	// means of the service; 1.25.
	AffinityFactor float64
	// AffinityFloor is the load for each slot up to which the bound is not
	// applied, since a cached prefix saves more than so little load costs;
	// 0.25.
	AffinityFloor float64
	// EjectAfter is the number of failures in a row that eject a server; a
	// stall counts as two; 3.
	EjectAfter int
	// EjectRate is the moving average of failures that ejects as well; 0.5.
	EjectRate float64
	// EjectBase and EjectMax bound the first and the longest ejection; 2 s
	// and 60 s.
	EjectBase time.Duration
	EjectMax  time.Duration
	// SlowStart is how long a new or returning server takes to count full;
	// 15 s.
	SlowStart time.Duration
	// RetryAfter is the shortest Retry-After of a refusal; the longest is
	// three times as long; 1 s.
	RetryAfter time.Duration
}

// DefaultSettings returns the defaults that the fields name.
func DefaultSettings() Settings {
	return Settings{
		DefaultSlots:   16,
		QueueShare:     0.25,
		ReserveShare:   0.1,
		ReportTrust:    0.3,
		ReportLife:     3 * time.Second,
		SpillAt:        0.7,
		RegionPenalty:  0.1,
		FleetPenalty:   0.3,
		AffinityFactor: 1.25,
		AffinityFloor:  0.25,
		EjectAfter:     3,
		EjectRate:      0.5,
		EjectBase:      2 * time.Second,
		EjectMax:       time.Minute,
		SlowStart:      15 * time.Second,
		RetryAfter:     time.Second,
	}
}

func (s Settings) withDefaults() Settings {
	d := DefaultSettings()
	defaults.Set(&s.DefaultSlots, d.DefaultSlots)
	defaults.Set(&s.QueueShare, d.QueueShare)
	defaults.Set(&s.ReserveShare, d.ReserveShare)
	defaults.Set(&s.ReportTrust, d.ReportTrust)
	defaults.Set(&s.ReportLife, d.ReportLife)
	defaults.Set(&s.SpillAt, d.SpillAt)
	defaults.Set(&s.RegionPenalty, d.RegionPenalty)
	defaults.Set(&s.FleetPenalty, d.FleetPenalty)
	defaults.Set(&s.AffinityFactor, d.AffinityFactor)
	defaults.Set(&s.AffinityFloor, d.AffinityFloor)
	defaults.Set(&s.EjectAfter, d.EjectAfter)
	defaults.Set(&s.EjectRate, d.EjectRate)
	defaults.Set(&s.EjectBase, d.EjectBase)
	defaults.Set(&s.EjectMax, d.EjectMax)
	defaults.Set(&s.SlowStart, d.SlowStart)
	defaults.Set(&s.RetryAfter, d.RetryAfter)
	return s
}
