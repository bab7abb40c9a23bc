package serving

import (
	"time"

	"github.com/joomcode/errorx"

	"chivespindle.example/core/failure"
	"chivespindle.example/core/fleet"
)

// Reason says why a Gate refuses.
type Reason string

const (
	// ReasonNoVersion: nothing is served by intention yet.
	ReasonNoVersion Reason = "no_version"
	// ReasonChanging: the replica is draining or its engine is loading.
	ReasonChanging Reason = "changing"
	// ReasonLeaving: the instance is on its way out.
	ReasonLeaving Reason = "leaving"
	// ReasonPaused: the process was paused and has not read again.
	ReasonPaused Reason = "paused"
	// ReasonStatusOld: the engine's report is too old to be believed.
	ReasonStatusOld Reason = "status_old"
	// ReasonOtherVersion: the engine reports another version than intended.
	ReasonOtherVersion Reason = "other_version"
	// ReasonUnpinned: the version served is not one that the text allows.
	ReasonUnpinned Reason = "unpinned"
	// ReasonUnverified: the chunks of the version were not verified.
	ReasonUnverified Reason = "unverified"
	// ReasonStoodDown: another process has taken over the engine.
	ReasonStoodDown Reason = "stood_down"
)

var reasonProperty = errorx.RegisterProperty("gate_reason")

// ReasonOf returns why a Gate refused, "" if err is not from a Gate.
func ReasonOf(err error) Reason {
	value, ok := errorx.ExtractProperty(err, reasonProperty)
	if !ok {
		return ""
	}
	reason, _ := value.(Reason)
	return reason
}

// GateState is all that decides whether one backend server's answers may be
// passed on. The control goroutine publishes a new value at each change;
// traffic reads it and never changes it. The zero value refuses everything.
type GateState struct {
	// Plain marks a service without versions. Of the fields below only
	// Leaving, StoodDown and Open count for it.
	Plain bool
	// Open is true for a plain service once its server may be called.
	Open bool

	// Pinned is the version that the text in force pins.
	Pinned fleet.Version
	// LastServed is the version served last by intention: one that an accepted
	// text pinned and that this process put or confirmed in service. It may be
	// served until Pinned is ready. An engine found with any other version
	// serves nothing until it is ordered.
	LastServed fleet.Version
	// Intended is the version to serve now, Pinned or LastServed.
	Intended fleet.Version
	// Verified is the digest of the manifest against which all chunks of
	// Intended were checked, or which the engine was found to report.
	Verified fleet.Digest

	// Status is the engine's last report, asked for at StatusAt.
	Status   EngineStatus
	StatusAt time.Time
	// MaxStatusAge is how long a report is believed. It also closes the gate
	// of a process that wakes after a pause, before it notices.
	MaxStatusAge time.Duration

	Changing  bool
	Leaving   bool
	Paused    bool
	StoodDown bool
}

// Admit returns the version that a new request is answered from; zero for a
// plain service. The error is failure.Refused with the outcome NotRun and a
// Reason: nothing was sent to the backend server.
func (g GateState) Admit(now time.Time) (fleet.Version, error) {
	if reason := g.closed(now); reason != "" {
		return fleet.Version{}, g.refuse(reason)
	}
	return g.Intended, nil
}

// CheckResponse checks the version that an answer names against the one that
// its request was admitted for. The error is failure.Corrupt: the request ran,
// but on the wrong version, and its answer must not be passed on. A request's
// stream is bound to the version that it was admitted for, whatever is
// intended by now.
func CheckResponse(admitted, answered fleet.Version) error {
	if admitted == answered {
		return nil
	}
	err := failure.Corrupt.New("the answer names version %s, the request was admitted for %s", answered, admitted)
	return failure.WithOutcome(err, failure.Unknown)
}

// CheckResponse checks the version that an answer names against the one
// intended now; see the function CheckResponse.
func (g GateState) CheckResponse(answered fleet.Version) error {
	return CheckResponse(g.Intended, answered)
}

func (g GateState) closed(now time.Time) Reason {
	switch {
	case g.StoodDown:
		return ReasonStoodDown
	case g.Leaving:
		return ReasonLeaving
	case g.Plain && g.Open:
		return ""
	case g.Plain, g.Intended.IsZero():
		return ReasonNoVersion
	case g.Paused:
		return ReasonPaused
	case g.Changing:
		return ReasonChanging
	}
	return g.closedVersion(now)
}

func (g GateState) closedVersion(now time.Time) Reason {
	switch {
	case g.Intended != g.Pinned && g.Intended != g.LastServed:
		return ReasonUnpinned
	case g.Verified != g.Intended.Manifest:
		return ReasonUnverified
	case age(now, g.StatusAt) > g.MaxStatusAge:
		return ReasonStatusOld
	case g.Status.Loading:
		return ReasonChanging
	case g.Status.Loaded != g.Intended:
		return ReasonOtherVersion
	default:
		return ""
	}
}

func (g GateState) refuse(reason Reason) error {
	err := failure.Refused.New("the backend server is not open: %s", string(reason)).
		WithProperty(reasonProperty, reason)
	return failure.WithOutcome(err, failure.NotRun)
}
