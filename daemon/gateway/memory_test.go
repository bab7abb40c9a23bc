package gateway

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"chivespindle.example/adapters/eventstream"
	"chivespindle.example/core/memlimit"
)

// sizedResponse is a response of a plain service with a body of some bytes.
type sizedResponse struct {
	emptyResponse
	size int
}

func (sizedResponse) IsEventStream() bool { return false }

func (r sizedResponse) Body(_ int64, hold *memlimit.Hold) ([]byte, error) {
	if !hold.Grow(time.Now(), int64(r.size)) {
		return nil, memlimit.Exceeded.New("%d bytes", r.size)
	}
	return make([]byte, r.size), nil
}

// sizedBackend is a backend that returns sizedResponses.
type sizedBackend struct {
	emptyStreamBackend
	size int
}

func (b *sizedBackend) Send(context.Context, *Call, SendOptions) (Response, error) {
	return sizedResponse{size: b.size}, nil
}

// slowCaller is a caller that accepts its response once it is released.
type slowCaller struct {
	refusalRecorder
	writing, release chan struct{}
}

func (c slowCaller) WriteResponse(Response, []byte) error {
	close(c.writing)
	<-c.release
	return nil
}

var _ = Describe("A response for a slow caller", func() {
	// Guards against memory that a slow caller holds without being counted, and that is
	// counted after the response was written.
	It("is counted until it has been written", func() {
		const size = 300
		g, _ := newGateway()
		g.opts.Memory, g.opts.Backend = memlimit.New(1000), &sizedBackend{size: size}
		s := snapshot(5, server("i-1", "10.0.1.1:80", 2))
		s.Config.Services[0].Engine = nil
		s.Config.Routes[0].TargetLatency, s.Config.Routes[0].Timeout = time.Second, time.Minute
		g.adopt(time.Now(), s, fromPlatform)
		g.publish(time.Now())
		caller := slowCaller{make(refusalRecorder, 1), make(chan struct{}), make(chan struct{})}
		served := make(chan struct{})
		go func() {
			defer close(served)
			g.Serve(context.Background(), &Call{ID: "c", Host: "a.example", Path: "/", Arrived: time.Now(), LastEvent: -1}, caller)
		}()
		Eventually(caller.writing, "5s").Should(BeClosed())
		Expect(g.opts.Memory.Held()).To(Equal(int64(size)))
		close(caller.release)
		Eventually(served, "5s").Should(BeClosed())
		Expect(g.opts.Memory.Held()).To(BeZero())
	})
})

// stalledCaller is a caller that accepts the header of its response and nothing else.
type stalledCaller struct {
	refusalRecorder
	writing chan struct{} // closed once a part of the body is written
	release chan struct{}
	writeBy time.Time
}

func (c *stalledCaller) SetWriteDeadline(by time.Time) { c.writeBy = by }

func (c *stalledCaller) Write([]byte) error {
	close(c.writing)
	if c.writeBy.IsZero() {
		<-c.release
		return nil
	}
	select {
	case <-time.After(time.Until(c.writeBy)):
		return errDisconnected
	case <-c.release:
		return nil
	}
}

// endlessStream is a stream of events without end.
type endlessStream struct{ emptyResponse }

func (endlessStream) Next() (eventstream.Event, error) {
	return eventstream.Event{ID: 0, Raw: []byte("id: 0\ndata: x\n\n")}, nil
}

// partlyRead is a response of a plain service that must be forwarded as it arrives.
type partlyRead struct{ emptyResponse }

func (partlyRead) IsEventStream() bool { return false }

func (partlyRead) Body(int64, *memlimit.Hold) ([]byte, error) {
	return []byte("part"), memlimit.Exceeded.New("4 bytes")
}

// responseBackend is a backend that returns a certain response.
type responseBackend struct {
	emptyStreamBackend
	response Response
}

func (b *responseBackend) Send(context.Context, *Call, SendOptions) (Response, error) {
	return b.response, nil
}

// Guards against a call whose slot and memory a caller takes for as long as it likes, when a
// response has begun and the caller accepts nothing of it.
func TestResponseThatIsNotAcceptedEndsWithTheTimeOfTheCall(t *testing.T) {
	const timeout = 400 * time.Millisecond
	for name, c := range map[string]struct {
		isPlain  bool
		response Response
	}{
		"a stream":                            {response: endlessStream{}},
		"one that is forwarded as it arrives": {isPlain: true, response: partlyRead{}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				o := NewWithT(t)
				g, _ := newGateway()
				g.opts.Memory, g.opts.Backend = memlimit.New(1000), &responseBackend{response: c.response}
				s := snapshot(5, server("i-1", "10.0.1.1:80", 2))
				if c.isPlain {
					s.Config.Services[0].Engine = nil
				}
				s.Config.Routes[0].TargetLatency, s.Config.Routes[0].Timeout = timeout/2, timeout
				g.adopt(time.Now(), s, fromPlatform)
				g.publish(time.Now())
				caller := &stalledCaller{make(refusalRecorder, 1), make(chan struct{}), make(chan struct{}), time.Time{}}
				release := time.AfterFunc(time.Minute, func() { close(caller.release) }) // ends a call that would not
				defer release.Stop()
				arrived := time.Now()
				g.Serve(context.Background(), &Call{ID: "c", Host: "a.example", Path: "/", Arrived: arrived, LastEvent: -1}, caller)
				o.Expect(caller.writing).To(BeClosed())
				o.Expect(time.Since(arrived)).To(And(BeNumerically(">=", timeout), BeNumerically("<=", timeout+writeSlack)))
				o.Expect(g.InFlight()).To(BeZero())
			})
		})
	}
}
