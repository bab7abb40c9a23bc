package revision_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"chivespindle.example/core/fleet"
	"chivespindle.example/core/fleettext"
	"chivespindle.example/core/revision"
)

// The property: for any order of events (stale, duplicate, conflicting and
// refused configurations, claims, pauses, restarts), the active revision never
// decreases during the life of a process, never has two configurations, and at
// the start is no lower than any configuration that the process received or any
// claim that is still valid.
//
// Without one of the safeguards, callers see an older model again, or two entry
// instances answer according to different configurations. Each mutant below
// lacks one safeguard; the same property must find a history that shows it.

// subject is the implementation under test.
type subject interface {
	HandleCandidate(now time.Time, c revision.Candidate) revision.Decision
	HandleClaim(now time.Time, claim revision.Claim) revision.Decision
	Tick(now time.Time) revision.Decision
	Active() (revision.State, bool)
}

type opKind int

const (
	opPlatform opKind = iota
	opPeerText
	opPeerClaim
	opAdvance
	opRestart
	opKinds
)

// op is one event in the life of a process.
type op struct {
	kind     opKind
	revision revision.Revision
	variant  string
	refused  bool
	peer     fleet.InstanceID
	after    time.Duration
}

var ops = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) op {
	return op{
		kind:     opKind(rapid.IntRange(0, int(opKinds)-1).Draw(t, "kind")),
		revision: revision.Revision(rapid.IntRange(1, 5).Draw(t, "revision")),
		variant:  rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "variant"),
		refused:  rapid.IntRange(0, 4).Draw(t, "refused") == 0,
		peer:     rapid.SampledFrom([]fleet.InstanceID{"p", "q", "r", "s"}).Draw(t, "peer"),
		after:    time.Duration(rapid.IntRange(0, 3000).Draw(t, "after")) * time.Millisecond,
	}
}), 1, 60)

// history runs ops on one subject after another and checks the property.
type history struct {
	subject subject
	now     time.Time
	last    revision.State
	offered revision.Revision // the highest valid configuration since the last restart
	claims  map[fleet.InstanceID]receivedClaim
}

type receivedClaim struct {
	revision revision.Revision
	at       time.Time
}

// violation returns how ops violate the property, empty if they do not.
func violation(newSubject func(now time.Time) subject, ops []op) string {
	h := history{now: start}
	h.restart(newSubject)
	for i, o := range ops {
		h.now = h.now.Add(o.after)
		h.apply(newSubject, o)
		if problem := h.check(); problem != "" {
			return fmt.Sprintf("op %d (%+v): %s", i, o, problem)
		}
	}
	return ""
}

func (h *history) restart(newSubject func(now time.Time) subject) {
	h.subject = newSubject(h.now)
	h.last = revision.State{}
	h.offered = 0
	h.claims = map[fleet.InstanceID]receivedClaim{}
}

func (h *history) apply(newSubject func(now time.Time) subject, o op) {
	switch o.kind {
	case opPlatform:
		h.offer(o, platform(o.revision, o.variant))
	case opPeerText:
		h.claims[o.peer] = receivedClaim{revision: o.revision, at: h.now}
		h.offer(o, fromPeer(o.peer, o.revision, o.variant))
	case opPeerClaim:
		h.claims[o.peer] = receivedClaim{revision: o.revision, at: h.now}
		h.subject.HandleClaim(h.now, claim(o.peer, o.revision, o.variant))
	case opAdvance:
		h.advance()
	case opRestart:
		h.restart(newSubject)
	}
}

func (h *history) offer(o op, c revision.Candidate) {
	if o.refused {
		c.Fleet, c.Refusal = nil, &fleettext.CheckError{}
	} else {
		h.offered = max(h.offered, o.revision)
	}
	h.subject.HandleCandidate(h.now, c)
}

// advance advances the clock as for a process that is not paused.
func (h *history) advance() {
	for range 10 {
		h.now = h.now.Add(time.Second)
		h.subject.Tick(h.now)
	}
}

func (h *history) check() string {
	state, ready := h.subject.Active()
	switch {
	case !ready && h.last.Fleet != nil:
		return "no configuration is active any more"
	case !ready:
		return ""
	case state.Revision < h.last.Revision:
		return fmt.Sprintf("the revision decreased from %d to %d", h.last.Revision, state.Revision)
	case state.Revision == h.last.Revision && state.Digest != h.last.Digest:
		return fmt.Sprintf("revision %d has two configurations", state.Revision)
	case state.Digest != state.Fleet.Digest():
		return "the digest is not that of the configuration"
	case h.last.Fleet == nil && state.Revision < h.highest():
		return fmt.Sprintf("the start activated revision %d but %d was known", state.Revision, h.highest())
	}
	h.last = state
	return ""
}

func (h *history) highest() revision.Revision {
	highest := h.offered
	for _, c := range h.claims {
		if h.now.Sub(c.at) <= revision.DefaultClaimTTL {
			highest = max(highest, c.revision)
		}
	}
	return highest
}

func newKeeper(now time.Time) subject { return revision.New(now, revision.Options{}) }

func TestActiveRevisionNeverDecreases(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if problem := violation(newKeeper, ops.Draw(t, "ops")); problem != "" {
			t.Fatal(problem)
		}
	})
}

// mutant activates every configuration that accept lets through.
type mutant struct {
	state  revision.State
	accept func(state revision.State, c revision.Candidate) bool
}

func (m *mutant) HandleCandidate(_ time.Time, c revision.Candidate) revision.Decision {
	if c.Fleet != nil && m.accept(m.state, c) {
		m.state = revision.State{Revision: c.Revision, Digest: c.Digest, Fleet: c.Fleet}
	}
	return revision.Decision{}
}

func (m *mutant) HandleClaim(time.Time, revision.Claim) revision.Decision { return revision.Decision{} }
func (m *mutant) Tick(time.Time) revision.Decision                        { return revision.Decision{} }
func (m *mutant) Active() (revision.State, bool)                          { return m.state, m.state.Fleet != nil }

// newWithMinimalWaits is the real implementation with minimal waits and one
// witness.
func newWithMinimalWaits(now time.Time) subject {
	return revision.New(now, revision.Options{MinPeers: 1, ShortWait: 1, LongWait: 1, ClaimTTL: 1})
}

func TestPropertyFindsEachMissingSafeguard(t *testing.T) {
	mutants := map[string]struct {
		subject func(now time.Time) subject
		want    string
	}{
		"the last configuration wins": {want: "decreased", subject: func(time.Time) subject {
			return &mutant{accept: func(revision.State, revision.Candidate) bool { return true }}
		}},
		"the same revision is activated again": {want: "two configurations", subject: func(time.Time) subject {
			return &mutant{accept: func(s revision.State, c revision.Candidate) bool { return c.Revision >= s.Revision }}
		}},
		"the first configuration is activated at the start": {want: "was known", subject: func(time.Time) subject {
			return &mutant{accept: func(s revision.State, c revision.Candidate) bool { return c.Revision > s.Revision }}
		}},
		"claims expire at once": {want: "was known", subject: newWithMinimalWaits},
	}
	for name, m := range mutants {
		t.Run(name, func(t *testing.T) {
			const examples = 2000
			g := NewWithT(t)
			var problem string
			for seed := 0; seed < examples && problem == ""; seed++ {
				problem = violation(m.subject, ops.Example(seed))
			}
			g.Expect(problem).To(ContainSubstring(m.want))
		})
	}
}
