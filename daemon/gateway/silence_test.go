package gateway

import (
	"context"
	"io"
	"net/netip"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"chivespindle.example/adapters/eventstream"
	"chivespindle.example/core/catalog"
	"chivespindle.example/core/enginemodel"
	"chivespindle.example/core/loading"
	"chivespindle.example/core/placement"
	"chivespindle.example/core/routing"
)

// silentBackend is a backend whose engines stream one event at each of the given times,
// which may be in the future.
type silentBackend struct {
	// eventTimes returns the times of the events of an attempt, numbered from 0, and
	// headerTime that of the header of its response.
	eventTimes func(attempt int, o SendOptions) []time.Time
	headerTime func(attempt int) time.Time
	// registerAt is when the second server is registered, zero if it is from the start.
	registerAt time.Time
	// crashes is true if all servers but the first one crash; checks counts the checks of them.
	crashes bool
	checks  int
	sent    []SendOptions
	sentAt  []time.Time
}

func (*silentBackend) Retain([]placement.Server) {}

func (b *silentBackend) CheckLiveness(context.Context, netip.AddrPort) Liveness {
	b.checks++
	if b.crashes {
		return Down
	}
	return Alive
}

func (b *silentBackend) Send(_ context.Context, _ *Call, o SendOptions) (Response, error) {
	attempt := len(b.sent)
	b.sent, b.sentAt = append(b.sent, o), append(b.sentAt, time.Now())
	if b.crashes && attempt > 0 {
		return nil, errReset
	}
	s := &silentStream{options: o, next: o.LastEvent + 1, deadline: o.StartDeadline}
	if b.headerTime != nil && !s.arrives(b.headerTime(attempt)) {
		return nil, errTimeout
	}
	s.left = b.eventTimes(attempt, o)
	return s, nil
}

// silentStream returns its events when their times have come, or fails at the deadline.
type silentStream struct {
	emptyResponse
	options  SendOptions
	left     []time.Time
	next     int64
	deadline time.Time
}

// control takes the part of the control loop.
func (b *silentBackend) control(g *Gateway, served chan struct{}) {
	const interval = 50 * time.Millisecond
	register := b.registerAt
	for {
		select {
		case <-served:
			return
		case <-time.After(interval):
		}
		now := time.Now()
		if !register.IsZero() && !now.Before(register) {
			register = time.Time{}
			second := twoServers()[1]
			g.apply(now, []catalog.Change{{Revision: 8, Server: &second}}, 8)
		}
		g.publish(now)
	}
}

func (s *silentStream) Version() placement.ModelVersion { return s.options.Server.LoadedVersion }
func (s *silentStream) SetDeadline(by time.Time)        { s.deadline = by }

// arrives waits until a time, and reports false if the deadline passes before that.
func (s *silentStream) arrives(at time.Time) bool {
	for at.After(s.deadline) {
		<-time.After(time.Until(s.deadline))
		until, wait := s.options.OnSilence(time.Now())
		if !wait {
			return false
		}
		s.deadline = until
	}
	<-time.After(time.Until(at))
	return true
}

func (s *silentStream) Next() (eventstream.Event, error) {
	if len(s.left) == 0 {
		return eventstream.Event{}, io.EOF
	}
	if !s.arrives(s.left[0]) {
		return eventstream.Event{}, errTimeout
	}
	event := eventstream.Event{ID: s.next, Raw: []byte{byte('0' + s.next)}}
	s.left = s.left[1:]
	s.next++
	return event, nil
}

// serveStream serves a call at engines of version 1, of whose time the given part has passed
// if it is outdated. It returns what the caller received.
func serveStream(b *silentBackend, resumable bool, passed time.Duration, servers ...catalog.Server) *textRecorder {
	g, _ := newGateway()
	return serveStreamAt(g, b, resumable, passed, servers...)
}

func serveStreamAt(g *Gateway, b *silentBackend, resumable bool, passed time.Duration, servers ...catalog.Server) *textRecorder {
	g.opts.Backend = b
	s := snapshot(catalog.Revision(5), servers...)
	s.Config.Services[0].Engine = &enginemodel.Profile{
		Slots: 16, Layers: 4, StepTime: 10 * time.Millisecond, StepsPerPass: 5, MeanOutputTokens: 50}
	route := &s.Config.Routes[0]
	route.Kind, route.Resumable, route.MaxAttempts = routing.Stream, resumable, 2
	route.TargetLatency, route.TargetPause, route.Timeout = 2*time.Second, time.Second, 30*time.Second
	now := time.Now()
	g.adopt(now, s, fromPlatform)
	if passed > 0 {
		g.names["m"] = loading.NamedVersions{{Version: 2, Since: now.Add(-passed)}}
	}
	g.publish(now)
	served := make(chan struct{})
	defer close(served)
	go b.control(g, served)
	caller := &textRecorder{}
	g.Serve(context.Background(), &Call{ID: "c", Host: "a.example", Path: "/", Arrived: now, Timeout: 30 * time.Second,
		LastEvent: -1, ExpectedTokens: 50}, caller)
	return caller
}

// sequence returns n times in steps of 50 ms.
func sequence(from time.Time, n int) []time.Time {
	const step = 50 * time.Millisecond
	times := make([]time.Time, n)
	for i := range times {
		times[i] = from.Add(time.Duration(i) * step)
	}
	return times
}

// Guards against a response that the entry ends since its engine is silent as the time of
// its version ends, and reads and sends nothing for longer than the network delays.
func TestStreamOfAnOutdatedEngineOutlastsASilenceAtItsDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := &silentBackend{eventTimes: func(_ int, o SendOptions) []time.Time {
			return slices.Concat(sequence(time.Now(), 3), sequence(o.Deadline.Add(1100*time.Millisecond), 3))
		}}
		caller := serveStream(b, false, 4*time.Second, server("i-1", "10.0.1.1:80", 2))
		if !caller.complete || caller.received() != "012345" {
			t.Errorf("complete %v, events %q", caller.complete, caller.received())
		}
		if len(b.sent) != 1 || !b.sent[0].Deadline.Before(time.Now()) {
			t.Errorf("not sent once with a deadline of the version: %v", b.sent)
		}
	})
}

// never is the time of an event of a hung server.
func never() time.Time { return time.Now().Add(time.Hour) }

func twoServers() []catalog.Server {
	return []catalog.Server{server("i-1", "10.0.1.1:80", 2), server("i-2", "10.0.1.2:80", 8)}
}

// Guards against a hung server that is kept though another one can take the call.
func TestHungServerIsLeftForAnother(t *testing.T) {
	for name, startsStream := range map[string]bool{"before the header": false, "in the stream": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := &silentBackend{}
				b.headerTime = func(attempt int) time.Time {
					if attempt == 0 && !startsStream {
						return never()
					}
					return time.Now()
				}
				b.eventTimes = func(attempt int, _ SendOptions) []time.Time {
					if attempt == 0 {
						return append(sequence(time.Now(), 1), never())
					}
					return sequence(time.Now(), 3)
				}
				caller := serveStream(b, true, 0, twoServers()...)
				if !caller.complete || len(b.sent) != 2 || len(caller.received()) < 3 {
					t.Fatalf("complete %v, events %q, %d attempts", caller.complete, caller.received(), len(b.sent))
				}
				if left := b.sentAt[1].Sub(b.sentAt[0]); left < streamStallTimeout || left > streamStallTimeout+time.Second {
					t.Errorf("left after %v", left)
				}
			})
		})
	}
}

// Guards against a stream that is aborted for a silence of its server since the server that
// should resume it does not, or since the retry budget is used up.
func TestStreamStaysAtASilentServerUnlessAnotherResumesIt(t *testing.T) {
	for name, prepare := range map[string]func(*Gateway, *silentBackend) (attempts int){
		"the next server returns nothing": func(*Gateway, *silentBackend) int { return 2 },
		"the next server sends no header": func(_ *Gateway, b *silentBackend) int {
			b.headerTime = func(attempt int) time.Time {
				if attempt > 0 {
					return never()
				}
				return time.Now()
			}
			return 2
		},
		"no budget": func(g *Gateway, _ *silentBackend) int {
			for g.allowRetry(time.Now(), "pool") {
			}
			return 1
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g, _ := newGateway()
				b := &silentBackend{eventTimes: func(attempt int, _ SendOptions) []time.Time {
					if attempt > 0 {
						return []time.Time{never()}
					}
					return slices.Concat(sequence(time.Now(), 3), sequence(time.Now().Add(2*time.Second), 3))
				}}
				attempts := prepare(g, b)
				caller := serveStreamAt(g, b, true, 0, twoServers()...)
				if !caller.complete || caller.received() != "012345" || len(b.sent) != attempts {
					t.Errorf("complete %v, events %q, %d attempts", caller.complete, caller.received(), len(b.sent))
				}
			})
		})
	}
}

// Guards against a crash of the server that should resume a stream which counts against no
// request.
func TestCrashOfTheNextServerIsCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, _ := newGateway()
		b := &silentBackend{crashes: true, eventTimes: func(int, SendOptions) []time.Time {
			return slices.Concat(sequence(time.Now(), 3), sequence(time.Now().Add(2*time.Second), 3))
		}}
		caller := serveStreamAt(g, b, true, 0, twoServers()...)
		if !caller.complete || caller.received() != "012345" || len(b.sent) != 2 {
			t.Errorf("complete %v, events %q, %d attempts", caller.complete, caller.received(), len(b.sent))
		}
		if b.checks != 1 {
			t.Errorf("%d checks whether the second server crashed", b.checks)
		}
	})
}

// Guards against a search that ends with its first try: the other server is registered while
// the first one is silent.
func TestSearchForAnotherServerContinues(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, _ := newGateway()
		b := &silentBackend{registerAt: time.Now().Add(3 * time.Second), eventTimes: func(attempt int, _ SendOptions) []time.Time {
			if attempt == 0 {
				return append(sequence(time.Now(), 1), never())
			}
			return sequence(time.Now(), 3)
		}}
		caller := serveStreamAt(g, b, true, 0, twoServers()[0])
		if !caller.complete || caller.received() != "0123" {
			t.Fatalf("complete %v, events %q, %d attempts", caller.complete, caller.received(), len(b.sent))
		}
		if found := b.sentAt[1].Sub(b.registerAt); found < 0 || found > 2*searchInterval {
			t.Errorf("found %v after its registration", found)
		}
	})
}
