package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"time"

	"chivespindle.example/adapters/eventstream"
	"chivespindle.example/adapters/exchange"
	"chivespindle.example/core/failure"
	"chivespindle.example/core/memlimit"
	"chivespindle.example/core/placement"
)

// streamLength is the number of events of a complete response. Their ids start at 0.
const streamLength = 5

// outcome is what a server does with an attempt.
type outcome struct {
	name   string
	err    error // the error of Send
	status int   // 200 if 0
	// isStream answers with a stream: events with these ids, relative to the first one
	// that the caller lacks, followed by the error end. noID is an event without an id.
	isStream bool
	ids      []int64
	end      error
	// fromStart ignores the last event that the caller has.
	fromStart bool
	version   placement.ModelVersion // 1 if 0
	unframed  bool
	state     Liveness
	// unreachable is true if the checks of the server get no answer.
	unreachable bool
	notRun      bool
	blocks      bool // Send blocks until the call's deadline
	gap         bool // some ids are skipped
	// pausesAt is the event before which the server is silent for pauseTime.
	pausesAt int
}

// pauseTime is how long a server is silent that then goes on: for several searches.
const pauseTime = 250 * time.Millisecond

// isKilled reports whether the body ends because the server was killed.
func (o outcome) isKilled() bool { return o.unframed && (o.state == Down || o.unreachable) }

const noID = -1

var (
	errReset   = failure.WithOutcome(failure.Unavailable.New("connection reset"), failure.Unknown)
	errTimeout = failure.WithOutcome(failure.Timeout.New("no event before the deadline"), failure.Unknown)
	errDial    = failure.WithOutcome(exchange.Refused.New("connection refused"), failure.NotRun)
)

func firstIDs(n int) []int64 {
	ids := make([]int64, n)
	for i := range ids {
		ids[i] = int64(i)
	}
	return ids
}

// outcomes are all the behaviours of a server that are tested. The first one completes
// any call.
var outcomes = []outcome{
	{name: "streams all", isStream: true, ids: firstIDs(streamLength), end: io.EOF},
	{name: "streams all without a length", isStream: true, ids: firstIDs(streamLength), end: io.EOF, unframed: true, state: Alive},
	{name: "streams from the start", isStream: true, fromStart: true, ids: firstIDs(streamLength), end: io.EOF},
	{name: "breaks off", isStream: true, ids: firstIDs(2), end: errReset},
	{name: "is killed without a length", isStream: true, ids: firstIDs(2), end: io.EOF, unframed: true, state: Down},
	{name: "is killed without a length and cannot be checked", isStream: true, ids: firstIDs(2), end: io.EOF, unframed: true, unreachable: true},
	{name: "falls silent", isStream: true, ids: firstIDs(1), end: errTimeout},
	{name: "pauses and streams all", isStream: true, ids: firstIDs(streamLength), end: io.EOF, pausesAt: 2},
	{name: "pauses and breaks off", isStream: true, ids: firstIDs(2), end: errReset, pausesAt: 1},
	{name: "breaks off before an event", isStream: true, end: errReset},
	{name: "streams no event", isStream: true, end: io.EOF},
	{name: "skips an event", isStream: true, ids: []int64{0, 1, 3}, end: errReset, gap: true},
	{name: "starts too late", isStream: true, ids: []int64{1, 2, 3, 4}, end: io.EOF},
	{name: "goes back", isStream: true, ids: []int64{0, 1, 0, 1, 2}, end: io.EOF},
	{name: "streams without ids", isStream: true, ids: []int64{noID, noID}, end: errReset},
	{name: "streams another version", isStream: true, ids: firstIDs(streamLength), end: io.EOF, version: 2},
	{name: "streams a failure", isStream: true, status: 500, ids: firstIDs(1), end: io.EOF},
	{name: "answers 200"},
	{name: "is killed in a body without a length", unframed: true, state: Down},
	{name: "is killed in a body without a length and cannot be checked", unframed: true, unreachable: true},
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

// scriptedBackend is a backend whose attempts have the outcomes of a script. Attempts beyond
// its end have the first of outcomes.
type scriptedBackend struct {
	script []outcome
	sent   []outcome
	state  map[netip.AddrPort]Liveness
	// sentTwice is true once a server got the call twice, illegalStep once a step was attempted
	// that the stage of the response does not allow.
	sentTwice, illegalStep bool
	ended                  int // the last attempt whose end was read
}

func (b *scriptedBackend) Retain([]placement.Server) {}

func (b *scriptedBackend) CheckLiveness(_ context.Context, addr netip.AddrPort) Liveness {
	return b.state[addr]
}

func (b *scriptedBackend) Send(ctx context.Context, _ *Call, opts SendOptions) (Response, error) {
	o := outcomes[0]
	if n := len(b.sent); n < len(b.script) {
		o = b.script[n]
	}
	b.sent = append(b.sent, o)
	_, again := b.state[opts.Server.Addr]
	b.sentTwice = b.sentTwice || again
	b.state[opts.Server.Addr] = max(o.state, Alive)
	if o.unreachable {
		b.state[opts.Server.Addr] = LivenessUnknown
	}
	if o.blocks {
		isSilentFor(time.Hour, opts)
		return nil, errTimeout
	}
	if o.err != nil {
		return nil, o.err
	}
	a := &scriptedResponse{outcome: o, attempt: len(b.sent), options: opts, ended: &b.ended}
	if !o.fromStart {
		a.first = opts.LastEvent + 1
	}
	return a, nil
}

// isSilentFor returns after a silence, or false if the read is given up before.
func isSilentFor(d time.Duration, opts SendOptions) bool {
	end := time.Now().Add(d)
	for now := time.Now(); now.Before(end); now = time.Now() {
		until, wait := opts.OnSilence(now)
		if !wait {
			return false
		}
		<-time.After(time.Until(earlier(until, end)))
	}
	return true
}

type scriptedResponse struct {
	outcome
	attempt int
	first   int64
	read    int
	options SendOptions
	ended   *int
}

func (a *scriptedResponse) Status() int              { return max(a.status, http.StatusOK) }
func (a *scriptedResponse) NotRun() bool             { return a.notRun }
func (a *scriptedResponse) Misdirected() bool        { return a.status == http.StatusMisdirectedRequest }
func (a *scriptedResponse) ImpliesNotRun() bool      { return a.status == 503 || a.status == 429 }
func (a *scriptedResponse) State() ServerState       { return ServerState{} }
func (a *scriptedResponse) IsEventStream() bool      { return a.isStream }
func (a *scriptedResponse) EndIsFramed() bool        { return !a.unframed }
func (a *scriptedResponse) SetDeadline(time.Time)    {}
func (a *scriptedResponse) Read([]byte) (int, error) { return 0, io.EOF }
func (a *scriptedResponse) Close(bool)               {}

func (a *scriptedResponse) Version() placement.ModelVersion { return max(a.version, 1) }

func (a *scriptedResponse) Body(int64, *memlimit.Hold) ([]byte, error) {
	return []byte(a.body()), nil
}

func (a *scriptedResponse) body() string { return "body of " + a.name }

const eventFormat = "data: attempt %d version %d id %d"

func (a *scriptedResponse) readEnd() error {
	if a.ended != nil { // nil if the response is not one of a script
		*a.ended = a.attempt
	}
	return a.end
}

func (a *scriptedResponse) Next() (eventstream.Event, error) {
	isSilent := a.pausesAt > 0 && a.read == a.pausesAt && !isSilentFor(pauseTime, a.options)
	if isSilent || a.read == len(a.ids) && errors.Is(a.end, errTimeout) && !isSilentFor(time.Hour, a.options) {
		return eventstream.Event{}, errTimeout
	}
	if a.read == len(a.ids) {
		return eventstream.Event{}, a.readEnd()
	}
	id := a.ids[a.read]
	a.read++
	if id != noID {
		id += a.first
	}
	if id >= streamLength {
		a.read = len(a.ids)
		return eventstream.Event{}, a.readEnd()
	}
	return eventstream.Event{ID: id, Raw: fmt.Appendf(nil, eventFormat+"\n\n", a.attempt, a.Version(), id)}, nil
}
