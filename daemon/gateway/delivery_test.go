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

// receivedEvent is an event that the caller received.
type receivedEvent struct {
	attempt int
	version placement.ModelVersion
	id      int64
}

// responseRecorder is a caller that records what it receives.
type responseRecorder struct {
	head           *scriptedResponse
	body           string
	isWhole        bool // the body came with the head
	events         []receivedEvent
	complete       bool
	refused        []ErrorResponse
	heads          int
	writesAfterEnd int
	disconnectsAt  int // the write from which on the caller has disconnected, 0 for never
	writes         int
}

var errDisconnected = errors.New("caller disconnected")

func (r *responseRecorder) SetWriteDeadline(time.Time) {}

func (r *responseRecorder) Begin(a Response) error {
	r.head = a.(*scriptedResponse)
	r.heads++
	return r.write()
}

func (r *responseRecorder) WriteResponse(a Response, body []byte) error {
	r.body, r.isWhole = string(body), true
	if err := r.Begin(a); err != nil {
		return err
	}
	return r.Complete()
}

func (r *responseRecorder) Write(p []byte) error {
	var e receivedEvent
	if _, err := fmt.Sscanf(string(p), eventFormat, &e.attempt, &e.version, &e.id); err != nil {
		return err
	}
	r.events = append(r.events, e)
	return r.write()
}

func (r *responseRecorder) write() error {
	if r.complete || len(r.refused) > 0 {
		r.writesAfterEnd++
	}
	r.writes++
	if r.hasDisconnected() {
		return errDisconnected
	}
	return nil
}

func (r *responseRecorder) hasDisconnected() bool {
	return r.disconnectsAt > 0 && r.writes >= r.disconnectsAt
}

func (r *responseRecorder) Complete() error {
	if r.complete || r.heads == 0 {
		r.writesAfterEnd++
	}
	r.complete = true
	return nil
}

func (r *responseRecorder) Refuse(v ErrorResponse) { r.refused = append(r.refused, v) }

// violation returns the guarantee that a call violates, empty for none.
func (b *scriptedBackend) violation(r *responseRecorder, resumable bool) string {
	switch violated := r.violation(b.sent, b.ended, resumable); {
	case violated != "":
		return violated
	case b.sentTwice:
		return "a server gets the same call twice"
	case b.illegalStep:
		return "an illegal delivery step was attempted"
	default:
		return ""
	}
}

// violation returns the guarantee that the caller's response violates, empty for none. ended
// is the last attempt whose end was read.
func (r *responseRecorder) violation(sent []outcome, ended int, resumable bool) string {
	switch {
	case r.heads+len(r.refused) > 1:
		return "a response begins twice"
	case r.writesAfterEnd > 0:
		return "bytes follow the end of a response"
	case len(r.refused) > 0:
		return r.refusalViolation(sent)
	case r.retriedWithoutResumption(sent, resumable):
		return "a call is retried though its response cannot be resumed"
	case r.complete && r.hasDisconnected():
		return "a response is complete though its caller had disconnected"
	case r.complete && r.isWhole && (r.body != r.head.body() || r.head.isKilled()):
		return "a body is not the complete body of its server"
	case r.complete && !r.isWhole && !r.endsComplete(sent, ended):
		return "an incomplete stream ends as complete"
	default:
		return r.orderViolation(sent, resumable)
	}
}

// retriedWithoutResumption reports whether a server got the call after the caller had
// received a part of a response that no other server can continue.
func (r *responseRecorder) retriedWithoutResumption(sent []outcome, resumable bool) bool {
	if len(r.events) == 0 {
		return false
	}
	last := r.events[len(r.events)-1]
	return last.attempt < len(sent) && (!resumable || last.id == noID)
}

// refusalViolation checks that a call answered as not run cannot have run.
func (r *responseRecorder) refusalViolation(sent []outcome) string {
	mayHaveRun := func(o outcome) bool {
		return !o.notRun && o.status != http.StatusMisdirectedRequest && !errors.Is(o.err, errDial)
	}
	if r.refused[0].Code == Unavailable && slices.ContainsFunc(sent, mayHaveRun) {
		return "a call that may have run is answered as not run"
	}
	return ""
}

// endsComplete reports whether the server of the ended attempt marked the end of the complete
// response. A later attempt may have failed to replace it while it was silent.
func (r *responseRecorder) endsComplete(sent []outcome, ended int) bool {
	last := sent[ended-1]
	marked := last.isStream && errors.Is(last.end, io.EOF) && !last.isKilled()
	if !marked || r.head.attempt == ended {
		return marked // with a single attempt, the server's end mark is the only evidence
	}
	for i, e := range r.events {
		if e.id != int64(i) && !hasGap(sent) {
			return false
		}
	}
	lastEvent := r.events[len(r.events)-1]
	return lastEvent.id == streamLength-1 && (lastEvent.attempt == ended || last.fromStart)
}

// orderViolation checks the events that the caller has received.
func (r *responseRecorder) orderViolation(sent []outcome, resumable bool) string {
	for i := 1; i < len(r.events); i++ {
		before, e := r.events[i-1], r.events[i]
		switch {
		case e.attempt != before.attempt && !resumable:
			return "events of two attempts are joined on a route that does not allow resumption"
		case e.version != before.version:
			return "events of two versions are joined"
		case e.attempt != before.attempt && (e.id == noID || before.id == noID):
			return "events of two attempts are joined though they have no order"
		case e.id != noID && e.id <= before.id:
			return "an event is repeated or out of order"
		case e.attempt != before.attempt && e.id != before.id+1 && !hasGap(sent):
			return "an event is missing"
		}
	}
	return ""
}

// hasGap reports whether a server skipped ids itself, which is allowed.
func hasGap(sent []outcome) bool {
	return slices.ContainsFunc(sent, func(o outcome) bool { return o.gap })
}

// scenario is the setting in which a script is run.
type scenario struct {
	kind          routing.Kind
	resumable     bool
	disconnectsAt int
	isBudgetSpent bool // the retry budget is used up
}

// maxAttempts is the maximum number of attempts of a call, exhaustiveAttempts the number
// of attempts up to which all sequences of outcomes are run, and sampleCount the number
// of random sequences of maxAttempts outcomes.
const (
	maxAttempts        = 4
	exhaustiveAttempts = 3
	sampleCount        = 6000
)

// run serves a call with servers that follow the script.
func (s scenario) run(script []outcome) (*scriptedBackend, *responseRecorder) {
	g, _ := newGateway()
	core, errorLines := observer.New(zap.ErrorLevel)
	g.log = newRequestLog(time.Now(), zap.New(core), tally.NoopScope)
	var servers []catalog.Server
	for i := range 2 * maxAttempts {
		servers = append(servers, server(fleet.InstanceID(fmt.Sprintf("i-%d", i)), fmt.Sprintf("10.0.1.%d:80", i+1), catalog.Revision(i+2)))
	}
	snapshot := snapshot(20, servers...)
	snapshot.Config.Services[0].Engine = &enginemodel.Profile{
		Slots: 16, Layers: 4, StepTime: 10 * time.Millisecond, StepsPerPass: 5, MeanOutputTokens: 50}
	route := &snapshot.Config.Routes[0]
	route.Kind, route.Resumable, route.MaxAttempts = s.kind, s.resumable, maxAttempts
	route.TargetLatency, route.TargetPause, route.Timeout = time.Second, time.Second, 10*time.Second
	g.adopt(time.Now(), snapshot, fromPlatform)
	g.publish(time.Now())
	for s.isBudgetSpent && g.allowRetry(time.Now(), "pool") {
	}
	backend := &scriptedBackend{script: script, state: make(map[netip.AddrPort]Liveness)}
	g.opts.Backend = backend
	caller := &responseRecorder{disconnectsAt: s.disconnectsAt}
	g.Serve(context.Background(), &Call{ID: "c", Host: "a.example", Path: "/", Arrived: time.Now(), Timeout: 5 * time.Second, LastEvent: -1}, caller)
	backend.illegalStep = errorLines.FilterMessage("illegal_delivery").Len() > 0
	return backend, caller
}

// invitesUnsafeRetry reports whether a call that must not run twice gets a status on which its
// caller retries it, though it may have run.
func (s scenario) invitesUnsafeRetry(r *responseRecorder) bool {
	isIdempotent := s.resumable || s.kind == routing.Safe
	return r.isWhole && r.head.ImpliesNotRun() && !isIdempotent
}

// runAll runs all scripts that begin with the given one. A script is extended, up to
// exhaustiveAttempts, as long as the gateway makes more attempts than it has outcomes.
func (s scenario) runAll(script []outcome, check func(*scriptedBackend, *responseRecorder)) {
	backend, caller := s.run(script)
	check(backend, caller)
	if len(backend.sent) <= len(script) || len(script) == exhaustiveAttempts {
		return
	}
	for _, o := range outcomes {
		s.runAll(append(slices.Clone(script), o), check)
	}
}

// runSample runs random scripts of maxAttempts outcomes, drawn from a seeded generator.
func (s scenario) runSample(seed uint64, check func(*scriptedBackend, *responseRecorder)) {
	random := rand.New(rand.NewPCG(seed, seed))
	for range sampleCount {
		script := make([]outcome, maxAttempts)
		for i := range script {
			script[i] = outcomes[random.IntN(len(outcomes))]
		}
		check(s.run(script))
	}
}

// Guards against responses that end as complete but are not, for all combinations of
// server faults over the attempts of a call.
func TestCompleteResponsesAreWhole(t *testing.T) {
	for name, s := range map[string]scenario{
		"resumable":               {kind: routing.Stream, resumable: true},
		"not resumable":           {kind: routing.Stream},
		"safe":                    {kind: routing.Safe},
		"unsafe":                  {kind: routing.Unsafe},
		"caller disconnects":      {kind: routing.Stream, resumable: true, disconnectsAt: 3},
		"caller has disconnected": {kind: routing.Stream, resumable: true, disconnectsAt: 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				played, failed := 0, make(map[string]int)
				check := func(b *scriptedBackend, r *responseRecorder) {
					played++
					broken := b.violation(r, s.resumable)
					if broken == "" && s.invitesUnsafeRetry(r) {
						broken = "a call that may have run is answered with a status that invites a retry"
					}
					if broken != "" {
						failed[broken]++
						reportFirst(t, failed[broken], "%s: events %v, complete %v; servers: %s", broken, r.events, r.complete, namesOf(b.sent))
					}
				}
				s.runAll(nil, check)
				s.runSample(1, check)
				t.Logf("%d scripts, violated guarantees: %v", played, failed)
			})
		})
	}
}

// Guards against a stream that is aborted though another server can complete it.
func TestStreamIsRetriedAfterAMismatchedResponse(t *testing.T) {
	s := scenario{kind: routing.Stream, resumable: true}
	for _, name := range []string{"streams no event", "breaks off before an event", "starts too late", "goes back",
		"streams without ids", "streams another version", "streams a failure", "answers 200", "answers 404", "answers 500"} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b, r := s.run([]outcome{outcomeOf(t, "breaks off"), outcomeOf(t, name)})
				if !r.complete || len(r.events) != streamLength || len(b.sent) != 3 {
					t.Errorf("complete %v, events %v; servers: %s", r.complete, r.events, namesOf(b.sent))
				}
			})
		})
	}
}

// Guards against retries and resumptions that the retry budget does not allow.
func TestRetriesStayWithinTheRetryBudget(t *testing.T) {
	s := scenario{kind: routing.Stream, resumable: true, isBudgetSpent: true}
	for _, name := range []string{"breaks off", "breaks off before an event", "answers 500", "declines", "resets"} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				if b, _ := s.run([]outcome{outcomeOf(t, name)}); len(b.sent) != 1 {
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

// reportFirst reports the first few failures of each kind.
func reportFirst(t *testing.T, number int, format string, args ...any) {
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
