package balance

import (
	"time"

	"chivespindle.example/core/defaults"
)

// Settings configures the policy. Zero fields take their defaults.
type Settings struct {
	// DefaultSlots is assumed for a server that does not report its slots; 16.
	DefaultSlots int
	// QueueShare is how many requests may wait at a server beyond its slots,
	// as a share of them; 0.25.
	QueueShare float64
	// ReserveShare is the share of a server's capacity that is reserved from
	// requests of the lowest priority, and proportionally less from those
	// between; 0.1.
	ReserveShare float64
	// ReportWeight is how far a new report moves the estimate for a server away
	// from the mean of its tier; 0.3.
	ReportWeight float64
	// ReportDecay is the time constant for the decay of reports until this
	// entry has measured how long requests take, which then replaces it; 3 s.
	ReportDecay time.Duration
	// SpillThreshold is the cost above which farther servers are considered;
	// 0.7.
	SpillThreshold float64
	// RegionPenalty and FleetPenalty are added to the cost of a server in
	// another zone and in another region; 0.1 and 0.3.
	RegionPenalty float64
	FleetPenalty  float64
	// AffinityFactor bounds the load of a server chosen by prefix key, as a
	// multiple of the service's mean load; 1.25.
	AffinityFactor float64
	// AffinityFloor is the load per slot below which the bound is not applied,
	// since a cached prefix saves more than so little load costs; 0.25.
	AffinityFloor float64
	// EjectAfterFailures is the number of failures in a row that eject a server; a
	// stall counts as two; 3.
	EjectAfterFailures int
	// EjectFailureRate is the moving average of failures that also ejects a
	// server; 0.5.
	EjectFailureRate float64
	// BaseEjection and MaxEjection are the durations of the first and of the
	// longest ejection; 2 s and 60 s.
	BaseEjection time.Duration
	MaxEjection  time.Duration
	// SlowStartTime is how long a new or returning server takes to reach its
	// full share of requests; 15 s.
	SlowStartTime time.Duration
	// MinRetryAfter is the shortest Retry-After of a refusal; the longest is
	// three times as long; 1 s.
	MinRetryAfter time.Duration
}

// DefaultSettings returns the defaults listed at the fields.
func DefaultSettings() Settings {
	return Settings{
		DefaultSlots:       16,
		QueueShare:         0.25,
		ReserveShare:       0.1,
		ReportWeight:       0.3,
		ReportDecay:        3 * time.Second,
		SpillThreshold:     0.7,
		RegionPenalty:      0.1,
		FleetPenalty:       0.3,
		AffinityFactor:     1.25,
		AffinityFloor:      0.25,
		EjectAfterFailures: 3,
		EjectFailureRate:   0.5,
		BaseEjection:       2 * time.Second,
		MaxEjection:        time.Minute,
		SlowStartTime:      15 * time.Second,
		MinRetryAfter:      time.Second,
	}
}

func (s Settings) withDefaults() Settings {
	d := DefaultSettings()
	defaults.Set(&s.DefaultSlots, d.DefaultSlots)
	defaults.Set(&s.QueueShare, d.QueueShare)
	defaults.Set(&s.ReserveShare, d.ReserveShare)
	defaults.Set(&s.ReportWeight, d.ReportWeight)
	defaults.Set(&s.ReportDecay, d.ReportDecay)
	defaults.Set(&s.SpillThreshold, d.SpillThreshold)
	defaults.Set(&s.RegionPenalty, d.RegionPenalty)
	defaults.Set(&s.FleetPenalty, d.FleetPenalty)
	defaults.Set(&s.AffinityFactor, d.AffinityFactor)
	defaults.Set(&s.AffinityFloor, d.AffinityFloor)
	defaults.Set(&s.EjectAfterFailures, d.EjectAfterFailures)
	defaults.Set(&s.EjectFailureRate, d.EjectFailureRate)
	defaults.Set(&s.BaseEjection, d.BaseEjection)
	defaults.Set(&s.MaxEjection, d.MaxEjection)
	defaults.Set(&s.SlowStartTime, d.SlowStartTime)
	defaults.Set(&s.MinRetryAfter, d.MinRetryAfter)
	return s
}
