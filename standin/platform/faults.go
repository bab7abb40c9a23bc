package platform

import (
	"sync"

	"chivespindle.example/core/failure"
	"chivespindle.example/core/fleet"
)

// Fault is what goes wrong with one transfer of a WeightServer.
type Fault string

const (
	// FaultNone sends the bytes as they are.
	FaultNone Fault = ""
	// FaultCorrupt flips one bit in the middle of the body.
	FaultCorrupt Fault = "corrupt"
	// FaultShort sends a whole answer that lacks the body's last byte.
	FaultShort Fault = "short"
	// FaultLong sends a whole answer with one byte too many.
	FaultLong Fault = "long"
	// FaultStall sends half of the body, then nothing until ReleaseStalled,
	// and keeps the connection open.
	FaultStall Fault = "stall"
	// FaultCut sends half of the body and closes the connection.
	FaultCut Fault = "cut"
)

// ParseFault reads the name of a fault. failure.Invalid if there is none.
func ParseFault(name string) (Fault, error) {
	switch fault := Fault(name); fault {
	case FaultNone, FaultCorrupt, FaultShort, FaultLong, FaultStall, FaultCut:
		return fault, nil
	default:
		return FaultNone, failure.Invalid.New("there is no fault %q", name)
	}
}

// ManifestIndex names the manifest itself where an index of a chunk is asked.
const ManifestIndex = -1

// transferID names what a transfer carries.
type transferID struct {
	manifest fleet.Digest
	index    int // ManifestIndex for the manifest
}

// faultPlan decides the fault of each transfer.
type faultPlan struct {
	mu      sync.Mutex
	next    []Fault // for the next chunk transfers, in order
	always  map[transferID]Fault
	stalled int
	release chan struct{} // closed and replaced to release stalled transfers
}

func newFaultPlan() *faultPlan {
	return &faultPlan{
		always:  map[transferID]Fault{},
		release: make(chan struct{}),
	}
}

func (p *faultPlan) addNext(fault Fault, count int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for range count {
		p.next = append(p.next, fault)
	}
}

func (p *faultPlan) setAlways(id transferID, fault Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if fault == FaultNone {
		delete(p.always, id)
		return
	}
	p.always[id] = fault
}

func (p *faultPlan) clear() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.next = nil
	clear(p.always)
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

// take returns the fault of the transfer that starts now.
func (p *faultPlan) take(id transferID) Fault {
	p.mu.Lock()
	defer p.mu.Unlock()
	if fault, ok := p.always[id]; ok {
		return fault
	}
	if id.index == ManifestIndex || len(p.next) == 0 {
		return FaultNone
	}
	fault := p.next[0]
	p.next = p.next[1:]
	return fault
}

// enterStall counts a stalled transfer and returns the channel that ends it.
func (p *faultPlan) enterStall() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stalled++
	return p.release
}

func (p *faultPlan) leaveStall() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stalled--
}

func (p *faultPlan) stalledNow() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stalled
}
