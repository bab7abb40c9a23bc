package serving

import (
	"time"

	"chivespindle.example/core/fleet"
)

// Event is an input of Changeover.Step.
type Event interface{ event() }

type (
	// Tick is posted several times within ChangeoverOptions.PauseThreshold. It
	// checks the deadlines and reads the engine's status every PollInterval.
	Tick struct{}
	// TargetChanged reports that the active configuration pins Version; zero if
	// it pins none.
	TargetChanged struct{ Version fleet.Version }
	// ChunksComplete reports that all chunks of Version are staged and
	// verified. Fetch repeats the number of the StartFetch that this completes.
	// It may be 0 if the caller ensures that no such event arrives late, for
	// example after a restart of the engine.
	ChunksComplete struct {
		Fetch   uint64
		Version fleet.Version
	}
	// TurnGranted follows RequestTurn: the replica may leave service now.
	TurnGranted struct{ Version fleet.Version }
	// Drained reports that no request is in progress any more. Drain repeats
	// the number of the StopAdmitting that this completes.
	Drained struct{ Drain uint64 }
	// DrainDeadline reports that requests are still in progress at the deadline
	// given by StopAdmitting. A Tick after the deadline has the same effect.
	DrainDeadline struct{}
	// OrderAccepted reports that the engine accepted the order.
	OrderAccepted struct{ Attempt uint64 }
	// OrderFailed reports that the order failed. failure.Refused means that the
	// engine has seen a higher fencing number; after any other error the order
	// may or may not have been carried out.
	OrderFailed struct {
		Attempt uint64
		Err     error
	}
	// StatusRead reports the engine's status. RequestedAt is when the request
	// for it was sent.
	StatusRead struct {
		Status      EngineStatus
		RequestedAt time.Time
	}
	// ServedElsewhere reports that other replicas of the service serve these
	// versions now, which means that an accepted configuration has named each
	// of them.
	ServedElsewhere struct{ Versions []fleet.Version }
	// EngineConfigDrifted reports that the engine's adapters or role differ
	// from those ordered. An idle engine is claimed again; the caller adds both
	// to every order.
	EngineConfigDrifted struct{}
	// EngineRestarted reports a restart of the engine that was detected before
	// its status could be read.
	EngineRestarted struct{}
	// Paused reports that the process has detected that it was paused.
	Paused struct{}
	// Refreshed reports that the active configuration and the neighbours have
	// been read again. RequestedAt is when the first of these reads began; it
	// must be after the pause.
	Refreshed struct{ RequestedAt time.Time }
	// Leaving reports that the instance has begun its planned shutdown.
	Leaving struct{}
)

func (Tick) event()                {}
func (TargetChanged) event()       {}
func (ChunksComplete) event()      {}
func (TurnGranted) event()         {}
func (Drained) event()             {}
func (DrainDeadline) event()       {}
func (OrderAccepted) event()       {}
func (OrderFailed) event()         {}
func (StatusRead) event()          {}
func (ServedElsewhere) event()     {}
func (EngineRestarted) event()     {}
func (EngineConfigDrifted) event() {}
func (Paused) event()              {}
func (Refreshed) event()           {}
func (Leaving) event()             {}

// Action is an output of Changeover.Step that the caller has to carry out.
type Action interface{ action() }

type (
	// StartFetch requests the chunks that are not staged yet, followed by
	// ChunksComplete. Chunks with an equal digest in one of the manifests in
	// Reuse need not be fetched.
	StartFetch struct {
		Fetch   uint64
		Version fleet.Version
		Reuse   []fleet.Digest
	}
	// StopFetch stops fetching Version.
	StopFetch struct{ Version fleet.Version }
	// RequestTurn requests TurnGranted once the rollout allows this replica to
	// leave service for Version. A later RequestTurn or any change of phase
	// replaces it.
	RequestTurn struct{ Version fleet.Version }
	// StopAdmitting stops admitting requests. The caller posts Drained when
	// none is in progress, or DrainDeadline. Requests in progress are never
	// aborted.
	StopAdmitting struct {
		Drain    uint64
		Deadline time.Time
	}
	// ResumeAdmitting postpones the change: Version continues to be served.
	ResumeAdmitting struct{ Version fleet.Version }
	// SendOrder sends Order to the engine; the caller posts OrderAccepted or
	// OrderFailed. It must check Expired immediately before sending. An expired
	// order must not be sent; the caller posts OrderFailed with failure.Timeout
	// instead.
	SendOrder struct {
		Attempt  uint64
		Order    Order
		NotAfter time.Time
	}
	// ReadStatus reads the engine's status; the caller posts StatusRead. If the
	// read fails nothing is posted, and a later Tick reads again.
	ReadStatus struct{}
	// StartServing starts admitting requests for Version.
	StartServing struct{ Version fleet.Version }
	// DropStage releases the chunks of this manifest.
	DropStage struct{ Manifest fleet.Digest }
	// Refresh reads the active configuration and the neighbours again after a
	// pause of the process; the caller posts Refreshed.
	Refresh struct{}
	// Alarm reports a condition that the replica cannot resolve by itself.
	Alarm struct{ Reason string }
	// StandDown reports that another process has taken over. No order will
	// follow.
	StandDown struct{ Err error }
)

// Expired reports whether so much time has passed since the order was decided
// that the process may have been paused. Both the monotonic and the wall clock
// are checked; either suffices.
func (a SendOrder) Expired(now time.Time) bool {
	return now.After(a.NotAfter) || now.Round(0).After(a.NotAfter.Round(0))
}

func (StartFetch) action()      {}
func (StopFetch) action()       {}
func (RequestTurn) action()     {}
func (StopAdmitting) action()   {}
func (ResumeAdmitting) action() {}
func (SendOrder) action()       {}
func (ReadStatus) action()      {}
func (StartServing) action()    {}
func (DropStage) action()       {}
func (Refresh) action()         {}
func (Alarm) action()           {}
func (StandDown) action()       {}
