package gateway

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

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
