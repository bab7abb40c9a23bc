package gateway

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"time"

	"chivespindle.example/adapters/eventstream"
	"chivespindle.example/core/failure"
	"chivespindle.example/core/placement"
)

// wholeStream is the number of events of a complete answer; their ids start at 0.
const wholeStream = 5

// outcome is what a server does with an attempt.
type outcome struct {
	name   string
	err    error // Send fails with it
	status int   // 200 if 0
	// isStream answers with events: those of ids, counted from the first one that
	// the caller lacks, then end. ids that are noID have none.
	isStream bool
	ids      []int64
	end      error
	// fromStart ignores the last event that the caller has.
	fromStart bool
	version   placement.ModelVersion // 1 if 0
	unframed  bool
	state     Liveness
	notRun    bool
	blocks    bool // until the caller's time is up
	gap       bool // some ids are left out
}

// isKilled reports whether the end of the body is the close of a killed server.
func (o outcome) isKilled() bool { return o.unframed && o.state == Down }

const noID = -1

var (
	errReset   = failure.WithOutcome(failure.Unavailable.New("connection reset"), failure.Unknown)
	errSilence = failure.WithOutcome(failure.Timeout.New("nothing came"), failure.Unknown)
	errDial    = failure.WithOutcome(failure.Unavailable.New("connection refused"), failure.NotRun)
)

func rest(n int) []int64 {
	ids := make([]int64, n)
	for i := range ids {
		ids[i] = int64(i)
	}
	return ids
}

// outcomes are all that a server is made to do. The first ends every call.
var outcomes = []outcome{
	{name: "streams all", isStream: true, ids: rest(wholeStream), end: io.EOF},
	{name: "streams all without a length", isStream: true, ids: rest(wholeStream), end: io.EOF, unframed: true, state: Alive},
	{name: "streams from the start", isStream: true, fromStart: true, ids: rest(wholeStream), end: io.EOF},
	{name: "breaks off", isStream: true, ids: rest(2), end: errReset},
	{name: "is killed without a length", isStream: true, ids: rest(2), end: io.EOF, unframed: true, state: Down},
	{name: "falls silent", isStream: true, ids: rest(1), end: errSilence},
	{name: "breaks off before an event", isStream: true, end: errReset},
	{name: "streams no event", isStream: true, end: io.EOF},
	{name: "skips an event", isStream: true, ids: []int64{0, 1, 3}, end: errReset, gap: true},
	{name: "starts too late", isStream: true, ids: []int64{1, 2, 3, 4}, end: io.EOF},
	{name: "goes back", isStream: true, ids: []int64{0, 1, 0, 1, 2}, end: io.EOF},
	{name: "streams without ids", isStream: true, ids: []int64{noID, noID}, end: errReset},
	{name: "streams another version", isStream: true, ids: rest(wholeStream), end: io.EOF, version: 2},
	{name: "streams a failure", isStream: true, status: 500, ids: rest(1), end: io.EOF},
	{name: "answers 200"},
	{name: "is killed in a body without a length", unframed: true, state: Down},
	{name: "answers 503 without saying that it did not run", status: 503},
	{name: "answers 429 without saying that it did not run", status: 429},
	{name: "answers 404", status: 404},
	{name: "answers 500", status: 500},
	{name: "declines", status: 503, notRun: true},
	{name: "is another server", status: 421},
	{name: "is not reached", err: errDial},
	{name: "resets", err: errReset},
	{name: "hangs", blocks: true},
}

// scripted is a backend whose attempts have the outcomes of a script. Beyond its end,
// attempts have the first outcome.
type scripted struct {
	script []outcome
	sent   []outcome
	state  map[netip.AddrPort]Liveness
	// twice is true once a server got the call twice, illegal after a step that the stage
	// of the answer did not allow.
	twice, illegal bool
}

func (b *scripted) Keep([]placement.Server) {}

func (b *scripted) Check(_ context.Context, addr netip.AddrPort) Liveness { return b.state[addr] }

func (b *scripted) Send(ctx context.Context, _ *Call, order Order) (Answer, error) {
	o := outcomes[0]
	if n := len(b.sent); n < len(b.script) {
		o = b.script[n]
	}
	b.sent = append(b.sent, o)
	_, again := b.state[order.Server.Addr]
	b.twice = b.twice || again
	b.state[order.Server.Addr] = max(o.state, Alive)
	if o.blocks {
		<-ctx.Done()
		return nil, errSilence
	}
	if o.err != nil {
		return nil, o.err
	}
	a := &scriptedAnswer{outcome: o, attempt: len(b.sent)}
	if !o.fromStart {
		a.first = order.LastEvent + 1
	}
	return a, nil
}

type scriptedAnswer struct {
	outcome
	attempt int
	first   int64
	read    int
}

func (a *scriptedAnswer) Status() int                { return max(a.status, http.StatusOK) }
func (a *scriptedAnswer) NotRun() bool               { return a.notRun }
func (a *scriptedAnswer) Misdirected() bool          { return a.status == http.StatusMisdirectedRequest }
func (a *scriptedAnswer) PromisesNotRun() bool       { return a.status == 503 || a.status == 429 }
func (a *scriptedAnswer) Limit() ServerLimit         { return ServerLimit{} }
func (a *scriptedAnswer) Streams() bool              { return a.isStream }
func (a *scriptedAnswer) EndIsFramed() bool          { return !a.unframed }
func (a *scriptedAnswer) SetDeadline(time.Time)      {}
func (a *scriptedAnswer) Body(int64) ([]byte, error) { return []byte(a.body()), nil }
func (a *scriptedAnswer) Close(bool)                 {}

func (a *scriptedAnswer) Version() placement.ModelVersion { return max(a.version, 1) }

func (a *scriptedAnswer) body() string { return "body of " + a.name }

const eventForm = "data: attempt %d version %d id %d"

func (a *scriptedAnswer) Next() (eventstream.Event, error) {
	if a.read == len(a.ids) {
		return eventstream.Event{}, a.end
	}
	id := a.ids[a.read]
	a.read++
	if id != noID {
		id += a.first
	}
	if id >= wholeStream {
		a.read = len(a.ids)
		return eventstream.Event{}, a.end
	}
	return eventstream.Event{ID: id, Raw: fmt.Appendf(nil, eventForm+"\n\n", a.attempt, a.Version(), id)}, nil
}
