package serving

import (
	"time"

	"chivespindle.example/core/fleet"
)

// Event is something that happened to a replica; see Changeover.Step.
type Event interface{ event() }

type (
	// Tick is posted several times within ChangeoverOptions.PauseThreshold. Deadlines are
	// looked at, and the engine's status is read every PollInterval.
	Tick struct{}
	// TargetChanged says that the text in force pins Version; zero if it pins
	// none.
	TargetChanged struct{ Version fleet.Version }
	// ChunksComplete says that all chunks of Version are staged and verified.
	// Fetch repeats the number of the StartFetch that it answers; it may be 0
	// if the caller makes sure that none comes late, after an engine's restart
	// say.
	ChunksComplete struct {
		Fetch   uint64
		Version fleet.Version
	}
	// TurnGranted answers RequestTurn: the replica may leave service now.
	TurnGranted struct{ Version fleet.Version }
	// Drained says that no request is in progress any more. Drain repeats the
	// number of the StopAdmitting that it answers.
	Drained struct{ Drain uint64 }
	// DrainDeadline says that requests are still in progress at the deadline
	// that StopAdmitting named. A Tick after the deadline does the same.
	DrainDeadline struct{}
	// OrderAccepted says that the engine accepted the order.
	OrderAccepted struct{ Attempt uint64 }
	// OrderFailed says that the order failed. failure.Refused means that the
	// engine has seen a higher fencing number; after any other error the order
	// may or may not have been carried out.
	OrderFailed struct {
		Attempt uint64
		Err     error
	}
	// StatusRead is the engine's status. RequestedAt is when the question was sent.
	StatusRead struct {
		Status      EngineStatus
		RequestedAt time.Time
	}
	// ServedElsewhere says that other replicas of the service serve these versions now,
	// so that an accepted text has named each of them.
	ServedElsewhere struct{ Versions []fleet.Version }
	// EngineConfigDrifted says that the engine's adapters or role are not as ordered. An
	// engine that is not being changed is claimed once more, and the caller
	// sends both along with every order.
	EngineConfigDrifted struct{}
	// EngineRestarted says that the engine was seen to have restarted, before
	// its status could be read.
	EngineRestarted struct{}
	// Paused says that the process has found that it was paused.
	Paused struct{}
	// Refreshed says that the text in force and the neighbours have been read again.
	// RequestedAt is when the first of these readings began; it must lie after the
	// pause.
	Refreshed struct{ RequestedAt time.Time }
	// Leaving says that the instance has begun its planned stop.
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

// Action is something that the caller of Changeover.Step has to do.
type Action interface{ action() }

type (
	// StartFetch asks to fetch the chunks that are not staged yet, then post
	// ChunksComplete. Chunks of the manifests in Reuse with an equal digest
	// need not be fetched.
	StartFetch struct {
		Fetch   uint64
		Version fleet.Version
		Reuse   []fleet.Digest
	}
	// StopFetch asks to fetch no more of Version.
	StopFetch struct{ Version fleet.Version }
	// RequestTurn asks for TurnGranted once the rollout allows this replica to
	// leave service for Version. A later RequestTurn or any change of phase
	// replaces it.
	RequestTurn struct{ Version fleet.Version }
	// StopAdmitting asks to admit no request from now on, and post Drained when
	// none is in progress, or DrainDeadline. Requests in progress are never
	// cut.
	StopAdmitting struct {
		Drain    uint64
		Deadline time.Time
	}
	// ResumeAdmitting puts the change off: Version is served on.
	ResumeAdmitting struct{ Version fleet.Version }
	// SendOrder asks to send Order and post OrderAccepted or OrderFailed. Just
	// before sending, Expired is asked: an order that has expired must not be
	// sent, and the process posts OrderFailed with failure.Timeout.
	SendOrder struct {
		Attempt  uint64
		Order    Order
		NotAfter time.Time
	}
	// ReadStatus asks to read the engine's status and post StatusRead. If it
	// cannot be read, nothing is posted; a Tick asks again.
	ReadStatus struct{}
	// StartServing asks to admit requests, answered from Version.
	StartServing struct{ Version fleet.Version }
	// DropStage says that the chunks of this manifest are not needed any more.
	DropStage struct{ Manifest fleet.Digest }
	// Refresh asks to read the text in force and the neighbours again after a
	// pause of the process, then to post Refreshed.
	Refresh struct{}
	// Alarm says that the replica cannot go on by itself.
	Alarm struct{ Reason string }
	// StandDown says that another process has taken over. No order will follow.
	StandDown struct{ Err error }
)

// Expired reports whether the process was held up so long since the order was
// decided that it may have been paused. Either clock may show it.
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
