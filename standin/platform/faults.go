package platform

import (
	"sync"

	"chivespindle.example/core/failure"
	"chivespindle.example/core/fleet"
)

// Fault is a fault of one transfer of a WeightServer.
type Fault string

const (
	// FaultNone sends the bytes unchanged.
	FaultNone Fault = ""
	// FaultCorrupt flips one bit in the middle of the body.
	FaultCorrupt Fault = "corrupt"
	// FaultTruncate sends a complete response that lacks the last byte of the
	// body.
	FaultTruncate Fault = "short"
	// FaultExtend sends a complete response with one extra byte.
	FaultExtend Fault = "long"
	// FaultStall sends half of the body, then nothing until ReleaseStalled, and
	// keeps the connection open.
	FaultStall Fault = "stall"
	// FaultAbort sends half of the body and closes the connection.
	FaultAbort Fault = "cut"
)

// ParseFault parses the name of a fault. It returns failure.Invalid for an
// unknown name.
func ParseFault(name string) (Fault, error) {
	switch fault := Fault(name); fault {
	case FaultNone, FaultCorrupt, FaultTruncate, FaultExtend, FaultStall, FaultAbort:
		return fault, nil
	default:
		return FaultNone, failure.Invalid.New("there is no fault %q", name)
	}
}

// ManifestIndex stands for the manifest where a chunk index is expected.
const ManifestIndex = -1

// transferID identifies the content of a transfer.
type transferID struct {
	manifest   fleet.Digest
	chunkIndex int // ManifestIndex for the manifest
}

// faultPlan determines the fault of each transfer.
type faultPlan struct {
	mu               sync.Mutex
	queued           []Fault // faults of the next chunk transfers, in order
	permanent        map[transferID]Fault
	stalledTransfers int
	release          chan struct{} // closed and replaced to release stalled transfers
}

func newFaultPlan() *faultPlan {
	return &faultPlan{
		permanent: map[transferID]Fault{},
		release:   make(chan struct{}),
	}
}

func (p *faultPlan) enqueue(fault Fault, count int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for range count {
		p.queued = append(p.queued, fault)
	}
}

func (p *faultPlan) setPermanent(id transferID, fault Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if fault == FaultNone {
		delete(p.permanent, id)
		return
	}
	p.permanent[id] = fault
}

func (p *faultPlan) clear() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.queued = nil
	clear(p.permanent)
	p.releaseLocked()
}

func (p *faultPlan) releaseStalled() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.releaseLocked()
}

func (p *faultPlan) releaseLocked() {
	close(p.release)
	p.release = make(chan struct{})
}

// nextFault returns the fault of the transfer that starts now and removes it from
// the plan unless it is permanent.
func (p *faultPlan) nextFault(id transferID) Fault {
	p.mu.Lock()
	defer p.mu.Unlock()
	if fault, ok := p.permanent[id]; ok {
		return fault
	}
	if id.chunkIndex == ManifestIndex || len(p.queued) == 0 {
		return FaultNone
	}
	fault := p.queued[0]
	p.queued = p.queued[1:]
	return fault
}

// beginStall counts a stalled transfer and returns a channel that is closed to
// release it.
func (p *faultPlan) beginStall() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stalledTransfers++
	return p.release
}

func (p *faultPlan) endStall() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stalledTransfers--
}

func (p *faultPlan) stalledCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stalledTransfers
}
