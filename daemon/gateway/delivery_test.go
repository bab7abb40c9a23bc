package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"chivespindle.example/core/catalog"
	"chivespindle.example/core/enginemodel"
	"chivespindle.example/core/fleet"
	"chivespindle.example/core/placement"
	"chivespindle.example/core/routing"
)

// given is an event that the caller got.
type given struct {
	attempt int
	version placement.ModelVersion
	id      int64
}

// recorder is a caller that keeps what it got.
type recorder struct {
	head     *scriptedAnswer
	body     string
	isWhole  bool // the body came with the head
	events   []given
	complete bool
	refused  []Verdict
	heads    int
	afterEnd int
	leavesAt int // the write at which the caller has left; 0 for never
	writes   int
}

var errCallerLeft = errors.New("the caller has left")

func (r *recorder) Begin(a Answer) error {
	r.head = a.(*scriptedAnswer)
	r.heads++
	return r.write()
}

func (r *recorder) Whole(a Answer, body []byte) error {
	r.body, r.isWhole = string(body), true
	if err := r.Begin(a); err != nil {
		return err
	}
	return r.Complete()
}

func (r *recorder) Write(p []byte) error {
	var e given
	if _, err := fmt.Sscanf(string(p), eventForm, &e.attempt, &e.version, &e.id); err != nil {
		return err
	}
	r.events = append(r.events, e)
	return r.write()
}

func (r *recorder) write() error {
	if r.complete || len(r.refused) > 0 {
		r.afterEnd++
	}
	r.writes++
	if r.hasLeft() {
		return errCallerLeft
	}
	return nil
}

func (r *recorder) hasLeft() bool { return r.leavesAt > 0 && r.writes >= r.leavesAt }

func (r *recorder) Complete() error {
	if r.complete || r.heads == 0 {
		r.afterEnd++
	}
	r.complete = true
	return nil
}

func (r *recorder) Refuse(v Verdict) { r.refused = append(r.refused, v) }

// broken returns the promise that a call breaks, empty for none.
func (b *scripted) broken(r *recorder, resumable bool) string {
	switch broken := r.broken(b.sent, resumable); {
	case broken != "":
		return broken
	case b.twice:
		return "a server gets a call again that it did not finish"
	case b.illegal:
		return "a step is refused that should not have been tried"
	default:
		return ""
	}
}

// broken returns the promise that the caller's answer breaks, empty for none.
func (r *recorder) broken(sent []outcome, resumable bool) string {
	switch {
	case r.heads+len(r.refused) > 1:
		return "an answer begins twice"
	case r.afterEnd > 0:
		return "bytes follow the end of an answer"
	case len(r.refused) > 0:
		return r.brokenRefusal(sent)
	case r.resentInVain(sent, resumable):
		return "a call is sent again whose answer cannot be resumed"
	case r.complete && r.hasLeft():
		return "an answer is complete whose caller had left"
	case r.complete && r.isWhole && (r.body != r.head.body() || r.head.isKilled()):
		return "a body is not its server's whole one"
	case r.complete && !r.isWhole && !r.endsRightly(sent):
		return "a stream ends as complete and is not"
	default:
		return r.brokenOrder(sent, resumable)
	}
}

// resentInVain reports whether a server got the call after the caller had a part of an
// answer that no other server can go on with.
func (r *recorder) resentInVain(sent []outcome, resumable bool) bool {
	if len(r.events) == 0 {
		return false
	}
	last := r.events[len(r.events)-1]
	return last.attempt < len(sent) && (!resumable || last.id == noID)
}

// brokenRefusal checks "not run".
func (r *recorder) brokenRefusal(sent []outcome) string {
	mayHaveRun := func(o outcome) bool {
		return !o.notRun && o.status != http.StatusMisdirectedRequest && !errors.Is(o.err, errDial)
	}
	if r.refused[0].Code == Unavailable && slices.ContainsFunc(sent, mayHaveRun) {
		return "a call is told not to have run that may have"
	}
	return ""
}

// endsRightly reports whether the last server marked the end of the whole answer.
func (r *recorder) endsRightly(sent []outcome) bool {
	last := sent[len(sent)-1]
	marked := last.isStream && errors.Is(last.end, io.EOF) && !last.isKilled()
	if !marked || r.head.attempt == len(sent) {
		return marked // without another run, what the server says is all there is
	}
	for i, e := range r.events {
		if e.id != int64(i) && !hasGap(sent) {
			return false
		}
	}
	lastEvent := r.events[len(r.events)-1]
	return lastEvent.id == wholeStream-1 && (lastEvent.attempt == len(sent) || last.fromStart)
}

// brokenOrder checks the events that the caller has, up to the end or to a cut.
func (r *recorder) brokenOrder(sent []outcome, resumable bool) string {
	for i := 1; i < len(r.events); i++ {
		before, e := r.events[i-1], r.events[i]
		switch {
		case e.attempt != before.attempt && !resumable:
			return "events of two runs are joined on a route that declares no resumption"
		case e.version != before.version:
			return "events of two versions are joined"
		case e.attempt != before.attempt && (e.id == noID || before.id == noID):
			return "events of two runs are joined that cannot be ordered"
		case e.id != noID && e.id <= before.id:
			return "an event comes twice"
		case e.attempt != before.attempt && e.id != before.id+1 && !hasGap(sent):
			return "an event is missing"
		}
	}
	return ""
}

// hasGap reports whether a server left ids out by itself, which it may.
func hasGap(sent []outcome) bool {
	return slices.ContainsFunc(sent, func(o outcome) bool { return o.gap })
}

// situation is what a script is played in.
type situation struct {
	kind      routing.Kind
	resumable bool
	leavesAt  int
	isSpent   bool // nothing is left of the retry budget
}

// mostAttempts is how many servers a call may reach, exhaustive the number of attempts up
// to which all sequences of outcomes are played.
const (
	mostAttempts = 4
	exhaustive   = 3
	samples      = 6000
)

// play has a call answered by servers that follow the script.
func (s situation) play(script []outcome) (*scripted, *recorder) {
	g, _ := newGateway()
	core, errorLines := observer.New(zap.ErrorLevel)
	g.log = newRequestLog(time.Now(), zap.New(core), tally.NoopScope)
	var servers []catalog.Server
	for i := range 2 * mostAttempts {
		servers = append(servers, server(fleet.InstanceID(fmt.Sprintf("i-%d", i)), fmt.Sprintf("10.0.1.%d:80", i+1), catalog.Revision(i+2)))
	}
	snapshot := snapshot(20, servers...)
	snapshot.Config.Services[0].Engine = &enginemodel.Profile{
		Slots: 16, Layers: 4, StepTime: 10 * time.Millisecond, StepsPerPass: 5, MeanOutputTokens: 50}
	route := &snapshot.Config.Routes[0]
	route.Kind, route.Resumable, route.MaxAttempts = s.kind, s.resumable, mostAttempts
	route.TargetLatency, route.TargetPause, route.Timeout = time.Second, time.Second, 10*time.Second
	g.adopt(time.Now(), snapshot, fromPlatform)
	g.publish(time.Now())
	for s.isSpent && g.allowRepeat(time.Now(), "pool") {
	}
	backend := &scripted{script: script, state: make(map[netip.AddrPort]Liveness)}
	g.opts.Backend = backend
	caller := &recorder{leavesAt: s.leavesAt}
	g.Serve(context.Background(), &Call{ID: "c", Host: "a.example", Path: "/", Arrived: time.Now(), Patience: 5 * time.Second, LastEvent: -1}, caller)
	backend.illegal = errorLines.FilterMessage("illegal_delivery").Len() > 0
	return backend, caller
}

// promisesInVain reports whether a call that may run only once has an answer by which its
// caller sends it again, though it may have run.
func (s situation) promisesInVain(r *recorder) bool {
	isIdempotent := s.resumable || s.kind == routing.Safe
	return r.isWhole && r.head.PromisesNotRun() && !isIdempotent
}

// each plays all scripts that begin with one: a script is extended as long as the
// gateway makes more attempts than it has outcomes.
func (s situation) each(script []outcome, check func(*scripted, *recorder)) {
	backend, caller := s.play(script)
	check(backend, caller)
	if len(backend.sent) <= len(script) || len(script) == exhaustive {
		return
	}
	for _, o := range outcomes {
		s.each(append(slices.Clone(script), o), check)
	}
}

// sample plays scripts of as many attempts as a call may have, drawn with a seed.
func (s situation) sample(seed uint64, check func(*scripted, *recorder)) {
	random := rand.New(rand.NewPCG(seed, seed))
	for range samples {
		script := make([]outcome, mostAttempts)
		for i := range script {
			script[i] = outcomes[random.IntN(len(outcomes))]
		}
		check(s.play(script))
	}
}

// Guards against answers that end as complete and are not, whatever servers do in
// the attempts of a call.
func TestAnswersThatEndAsCompleteAreWhole(t *testing.T) {
	for name, s := range map[string]situation{
		"resumable":      {kind: routing.Stream, resumable: true},
		"not resumable":  {kind: routing.Stream},
		"safe":           {kind: routing.Safe},
		"unsafe":         {kind: routing.Unsafe},
		"caller leaves":  {kind: routing.Stream, resumable: true, leavesAt: 3},
		"caller is gone": {kind: routing.Stream, resumable: true, leavesAt: 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				played, failed := 0, make(map[string]int)
				check := func(b *scripted, r *recorder) {
					played++
					broken := b.broken(r, s.resumable)
					if broken == "" && s.promisesInVain(r) {
						broken = "a call that may have run is answered as not run"
					}
					if broken != "" {
						failed[broken]++
						reportFew(t, failed[broken], "%s: events %v, complete %v; servers: %s", broken, r.events, r.complete, namesOf(b.sent))
					}
				}
				s.each(nil, check)
				s.sample(1, check)
				t.Logf("%d scripts, broken promises: %v", played, failed)
			})
		})
	}
}

// Guards against a stream that is given up though another server can finish it.
func TestAStreamIsTriedAgainAfterARunThatDoesNotFollow(t *testing.T) {
	s := situation{kind: routing.Stream, resumable: true}
	for _, name := range []string{"streams no event", "breaks off before an event", "starts too late", "goes back",
		"streams without ids", "streams another version", "streams a failure", "answers 200", "answers 404", "answers 500"} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b, r := s.play([]outcome{outcomeOf(t, "breaks off"), outcomeOf(t, name)})
				if !r.complete || len(r.events) != wholeStream || len(b.sent) != 3 {
					t.Errorf("complete %v, events %v; servers: %s", r.complete, r.events, namesOf(b.sent))
				}
			})
		})
	}
}

// Guards against repeats and resumptions that the retry budget does not allow.
func TestNoCallIsSentAgainBeyondTheRetryBudget(t *testing.T) {
	s := situation{kind: routing.Stream, resumable: true, isSpent: true}
	for _, name := range []string{"breaks off", "breaks off before an event", "answers 500", "declines", "resets"} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				if b, _ := s.play([]outcome{outcomeOf(t, name)}); len(b.sent) != 1 {
					t.Errorf("servers: %s", namesOf(b.sent))
				}
			})
		})
	}
}

func outcomeOf(t *testing.T, name string) outcome {
	t.Helper()
	i := slices.IndexFunc(outcomes, func(o outcome) bool { return o.name == name })
	if i < 0 {
		t.Fatalf("no outcome %q", name)
	}
	return outcomes[i]
}

// reportFew reports the first failures of a kind.
func reportFew(t *testing.T, number int, format string, args ...any) {
	t.Helper()
	const few = 3
	if number <= few {
		t.Errorf(format, args...)
	}
}

func namesOf(sent []outcome) string {
	var names []string
	for _, o := range sent {
		names = append(names, o.name)
	}
	return strings.Join(names, ", ")
}
