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
	// eventTimes returns the times of the events of an attempt, numbered from 0.
	eventTimes func(attempt int, o SendOptions) []time.Time
	sent       []SendOptions
}

func (*silentBackend) Retain([]placement.Server) {}

func (*silentBackend) CheckLiveness(context.Context, netip.AddrPort) Liveness { return Alive }

func (b *silentBackend) Send(_ context.Context, _ *Call, o SendOptions) (Response, error) {
	times := b.eventTimes(len(b.sent), o)
	b.sent = append(b.sent, o)
	return &silentStream{options: o, left: times, next: o.LastEvent + 1}, nil
}

// silentStream returns its events when their times have come, or fails at the deadline.
type silentStream struct {
	emptyResponse
	options  SendOptions
	left     []time.Time
	next     int64
	deadline time.Time
}

func (s *silentStream) Version() placement.ModelVersion { return s.options.Server.LoadedVersion }
func (s *silentStream) SetDeadline(by time.Time)        { s.deadline = by }

func (s *silentStream) Next() (eventstream.Event, error) {
	if len(s.left) == 0 {
		return eventstream.Event{}, io.EOF
	}
	if s.left[0].After(s.deadline) {
		time.Sleep(time.Until(s.deadline))
		return eventstream.Event{}, errTimeout
	}
	time.Sleep(time.Until(s.left[0]))
	event := eventstream.Event{ID: s.next, Raw: []byte{byte('0' + s.next)}}
	s.left = s.left[1:]
	s.next++
	return event, nil
}

// serveStream serves a call at two engines, of which one has version 1 loaded and passed of
// the version's time has gone by. It returns what the caller received.
func serveStream(b *silentBackend, resumable bool, passed time.Duration, servers ...catalog.Server) *textRecorder {
	g, _ := newGateway()
	g.opts.Backend = b
	s := snapshot(5, servers...)
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
