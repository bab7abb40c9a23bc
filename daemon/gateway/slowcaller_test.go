package gateway

import (
	"context"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"chivespindle.example/adapters/eventstream"
	"chivespindle.example/core/fleet"
	"chivespindle.example/core/placement"
)

// endlessBackend is a backend whose servers return streams that end with the calls' deadlines.
type endlessBackend struct{ server fleet.InstanceID }

func (b *endlessBackend) Send(ctx context.Context, _ *Call, opts SendOptions) (Response, error) {
	b.server = opts.Server.ID
	return &endlessResponse{ctx: ctx}, nil
}

func (*endlessBackend) Retain([]placement.Server) {}

func (*endlessBackend) CheckLiveness(context.Context, netip.AddrPort) Liveness { return Alive }

type endlessResponse struct {
	emptyResponse
	ctx    context.Context
	events int64
}

func (r *endlessResponse) Next() (eventstream.Event, error) {
	if r.ctx.Err() != nil {
		return eventstream.Event{}, errTimeout
	}
	r.events++
	return eventstream.Event{ID: r.events, Raw: []byte("id\n\n")}, nil
}

// unresponsiveCaller is a caller that reads nothing until long after its deadline.
type unresponsiveCaller struct{ refusalRecorder }

func (unresponsiveCaller) Write([]byte) error {
	<-time.After(time.Minute)
	return nil
}

// Guards against callers that read nothing until their deadline and so take sound servers out of
// use.
func TestSlowCallerSaysNothingAboutItsServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := NewWithT(t)
		g, _ := newGateway()
		backend := &endlessBackend{}
		g.opts.Backend = backend
		s := snapshot(5, server("i-1", "10.0.1.1:80", 2), server("i-2", "10.0.1.2:80", 3))
		s.Config.Routes[0].TargetLatency, s.Config.Routes[0].Timeout = time.Second, 6*time.Second
		g.adopt(time.Now(), s, fromPlatform)
		g.publish(time.Now())
		g.Serve(context.Background(), &Call{ID: "c", Host: "a.example", Path: "/", Arrived: time.Now(), LastEvent: -1},
			unresponsiveCaller{make(refusalRecorder, 1)})
		chosen := 0
		for range 50 {
			a, _ := g.balancer.Choose(time.Now(), placement.Request{Service: "pool", TimeLeft: time.Second})
			if a.Server.ID == backend.server {
				chosen++
			}
			a.End(time.Now(), placement.Succeeded)
		}
		o.Expect(chosen).To(BeNumerically(">", 10))
	})
}
