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

// The property: whatever comes in whatever order (stale, duplicate,
// conflicting and refused texts, claims, pauses, restarts), the revision in
// force never falls in the life of a process, never names two texts, and is
// at the start no lower than any text that the process was offered or any
// claim that still holds.
//
// Without a safeguard callers see an older model come back, or two entry
// instances that answer by different texts. The mutants below each leave out
// one safeguard; the same property must find a history that shows it.

// subject is what the property looks at.
type subject interface {
	Offer(now time.Time, c revision.Candidate) revision.Decision
	Hear(now time.Time, claim revision.Claim) revision.Decision
	Tick(now time.Time) revision.Decision
	InForce() (revision.State, bool)
}

type opKind int

const (
	opPlatform opKind = iota
	opPeerText
	opPeerClaim
	opPass
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
	offered revision.Revision // the highest sound text of this life
	claims  map[fleet.InstanceID]heard
}

type heard struct {
	revision revision.Revision
	at       time.Time
}

// violation returns how ops break the property, empty if they do not.
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
	h.claims = map[fleet.InstanceID]heard{}
}

func (h *history) apply(newSubject func(now time.Time) subject, o op) {
	switch o.kind {
	case opPlatform:
		h.offer(o, platform(o.revision, o.variant))
	case opPeerText:
		h.claims[o.peer] = heard{revision: o.revision, at: h.now}
		h.offer(o, fromPeer(o.peer, o.revision, o.variant))
	case opPeerClaim:
		h.claims[o.peer] = heard{revision: o.revision, at: h.now}
		h.subject.Hear(h.now, claim(o.peer, o.revision, o.variant))
	case opPass:
		h.pass()
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
	h.subject.Offer(h.now, c)
}

// pass lets time go by as it does for a process that is not paused.
func (h *history) pass() {
	for range 10 {
		h.now = h.now.Add(time.Second)
		h.subject.Tick(h.now)
	}
}

func (h *history) check() string {
	state, ready := h.subject.InForce()
	switch {
	case !ready && h.last.Fleet != nil:
		return "nothing is in force any more"
	case !ready:
		return ""
	case state.Revision < h.last.Revision:
		return fmt.Sprintf("the revision fell from %d to %d", h.last.Revision, state.Revision)
	case state.Revision == h.last.Revision && state.Digest != h.last.Digest:
		return fmt.Sprintf("revision %d names two texts", state.Revision)
	case state.Digest != state.Fleet.Digest():
		return "the digest is not that of the text"
	case h.last.Fleet == nil && state.Revision < h.highest():
		return fmt.Sprintf("the start took revision %d but had heard of %d", state.Revision, h.highest())
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

func TestKeeperNeverGoesBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if problem := violation(newKeeper, ops.Draw(t, "ops")); problem != "" {
			t.Fatal(problem)
		}
	})
}

// mutant is a keeper that takes every text that accept lets through.
type mutant struct {
	state  revision.State
	accept func(state revision.State, c revision.Candidate) bool
}

func (m *mutant) Offer(_ time.Time, c revision.Candidate) revision.Decision {
	if c.Fleet != nil && m.accept(m.state, c) {
		m.state = revision.State{Revision: c.Revision, Digest: c.Digest, Fleet: c.Fleet}
	}
	return revision.Decision{}
}

func (m *mutant) Hear(time.Time, revision.Claim) revision.Decision { return revision.Decision{} }
func (m *mutant) Tick(time.Time) revision.Decision                 { return revision.Decision{} }
func (m *mutant) InForce() (revision.State, bool)                  { return m.state, m.state.Fleet != nil }

// impatient is the real keeper with its waits and witnesses left out.
func impatient(now time.Time) subject {
	return revision.New(now, revision.Options{Witnesses: 1, Wait: 1, LongWait: 1, ClaimTTL: 1})
}

func TestPropertyFindsEachMissingSafeguard(t *testing.T) {
	mutants := map[string]struct {
		subject func(now time.Time) subject
		want    string
	}{
		"the last text wins": {want: "fell", subject: func(time.Time) subject {
			return &mutant{accept: func(revision.State, revision.Candidate) bool { return true }}
		}},
		"the same revision is taken again": {want: "two texts", subject: func(time.Time) subject {
			return &mutant{accept: func(s revision.State, c revision.Candidate) bool { return c.Revision >= s.Revision }}
		}},
		"the first text is taken at the start": {want: "had heard of", subject: func(time.Time) subject {
			return &mutant{accept: func(s revision.State, c revision.Candidate) bool { return c.Revision > s.Revision }}
		}},
		"claims are forgotten at once": {want: "had heard of", subject: impatient},
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
