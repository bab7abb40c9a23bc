package gateway

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	. "github.com/onsi/gomega"

	"chivespindle.example/core/catalog"
	"chivespindle.example/core/fleet"
	"chivespindle.example/core/routing"
)

// startRegionWith starts entries of one region that send calls to engines of the service
// "pool", which backend simulates.
func startRegionWith(backend Backend, c *routing.Config, entries, engineCount int) *testRegion {
	p := newPlatformStub(c)
	for i := range engineCount {
		p.register(&catalog.Server{ID: fleet.InstanceID(fmt.Sprintf("i-%d", i)), Service: "pool", Zone: "sharada", Slots: 16,
			Loaded: 1, Addr: netip.MustParseAddrPort(fmt.Sprintf("10.0.9.%d:80", i+1))})
	}
	region := startRegion(p, entries)
	region.expectActive(1)
	for _, m := range region.members {
		Expect(m.loop.Do(context.Background(), func(time.Time) { m.gateway.opts.Backend = backend })).To(Succeed())
	}
	return region
}

// serveCall sends a call to an entry and returns the error response, the zero value if there was
// none.
func (m *member) serveCall(path, id string) ErrorResponse {
	caller := make(refusalRecorder, 1)
	m.gateway.Serve(context.Background(), &Call{
		ID: id, Host: "relay.example", Path: path, Target: path, Arrived: time.Now(), Timeout: 6 * time.Second, LastEvent: -1,
	}, caller)
	select {
	case v := <-caller:
		return v
	default:
		return ErrorResponse{}
	}
}
