package serving

import (
	"time"

	"github.com/joomcode/errorx"

	"chivespindle.example/core/failure"
	"chivespindle.example/core/fleet"
)

// Reason says why a GateState refuses a request.
type Reason string

const (
	// ReasonNoVersion: no version has been put in service yet, or the plain
	// service is not up.
	ReasonNoVersion Reason = "no_version"
	// ReasonChanging: the replica is draining or its engine is loading.
	ReasonChanging Reason = "changing"
	// ReasonLeaving: the instance is shutting down.
	ReasonLeaving Reason = "leaving"
	// ReasonPaused: the process was paused and the engine's status has not been
	// read since.
	ReasonPaused Reason = "paused"
	// ReasonStatusOld: the engine's last status is too old.
	ReasonStatusOld Reason = "status_old"
	// ReasonOtherVersion: the engine reports another version than intended.
	ReasonOtherVersion Reason = "other_version"
	// ReasonUnpinned: the intended version is not one that the configuration
	// allows.
	ReasonUnpinned Reason = "unpinned"
	// ReasonUnverified: the chunks of the intended version were not verified.
	ReasonUnverified Reason = "unverified"
	// ReasonStoodDown: another process has taken over the engine.
	ReasonStoodDown Reason = "stood_down"
)

var reasonProperty = errorx.RegisterProperty("gate_reason")

// ReasonOf returns why a GateState refused a request, or "" for any other
// error.
func ReasonOf(err error) Reason {
	value, ok := errorx.ExtractProperty(err, reasonProperty)
	if !ok {
		return ""
	}
	reason, _ := value.(Reason)
	return reason
}

// GateState holds everything that decides whether a backend server's responses
// may be forwarded. The control goroutine publishes a new value at each change;
// request goroutines only read it. The zero value refuses everything.
type GateState struct {
	// Plain marks a service without versions. Of the fields below only Leaving,
	// StoodDown and Open apply to it.
	Plain bool
	// Open is true for a plain service once requests may be sent to its server.
	Open bool

	// Pinned is the version that the active configuration pins.
	Pinned fleet.Version
	// LastServed is the last version that an accepted configuration pinned and
	// that this process put or confirmed in service. It may be served until
	// Pinned is ready. An engine found with any other version serves nothing
	// until it has received an order.
	LastServed fleet.Version
	// Intended is the version to serve now, Pinned or LastServed.
	Intended fleet.Version
	// Verified is the digest of the manifest against which all chunks of
	// Intended were checked, or which the engine reported when it was found.
	Verified fleet.Digest

	// Status is the engine's last status, requested at StatusAt.
	Status   EngineStatus
	StatusAt time.Time
	// MaxStatusAge is how long a status is valid. It also makes a process that
	// resumes after a pause refuse requests before it detects the pause.
	MaxStatusAge time.Duration

	Changing  bool
	Leaving   bool
	Paused    bool
	StoodDown bool
}

// Admit returns the version that serves a new request; zero for a plain
// service. The error is failure.Refused with the outcome NotRun and a Reason:
// nothing was sent to the backend server.
func (g GateState) Admit(now time.Time) (fleet.Version, error) {
	if reason := g.refusalReason(now); reason != "" {
		return fleet.Version{}, g.refuse(reason)
	}
	return g.Intended, nil
}

// CheckResponse checks the version named by a response against the one that its
// request was admitted for. The error is failure.Corrupt: the request ran, but
// on the wrong version, and its response must not be forwarded. A request's
// stream is bound to the version that it was admitted for, even if the intended
// version has changed since.
func CheckResponse(admitted, actual fleet.Version) error {
	if admitted == actual {
		return nil
	}
	err := failure.Corrupt.New("the answer names version %s, the request was admitted for %s", actual, admitted)
	return failure.WithOutcome(err, failure.Unknown)
}

// CheckResponse checks the version named by a response against the version that
// is intended now; see the function CheckResponse.
func (g GateState) CheckResponse(actual fleet.Version) error {
	return CheckResponse(g.Intended, actual)
}

func (g GateState) refusalReason(now time.Time) Reason {
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
	return g.versionRefusalReason(now)
}

func (g GateState) versionRefusalReason(now time.Time) Reason {
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
