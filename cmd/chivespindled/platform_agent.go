package main

import (
	"time"

	"chivespindle.example/daemon/loader"
	"chivespindle.example/daemon/process"
	"chivespindle.example/platform"
)

func runPlatformAgent(b *platformBase) error {
	s := b.settings
	l := loader.New(b.ctx, time.Now(), loader.Options{
		Self: b.id, Addr: s.IP, Incarnation: b.incarnation, Place: s.Place, PeerPort: s.PeerPort, Seeds: s.Seeds,
		Loop: b.loop, Endpoint: b.endpoint,
		Engine: platform.NewEngine(s.EngineAddr), Origin: platform.NewOrigin(),
		Source: platform.NewStore(s.StoreAddr, b.logger).WithMetrics(b.metrics), Regions: s.Regions,
		VersionTime: s.VersionTime, LinkBytesPerSecond: s.LinkBytesPerSecond, Disabled: b.disabled,
		Logger: b.logger, Metrics: b.metrics,
	})
	b.handler.Handler = l
	b.loop.AddTicker(l)
	b.addActor(b.endpoint.Run)
	b.addActor(b.loop.Run)
	b.addActor(b.followSettings(l))
	return b.run(platformAgent{})
}

// platformAgent leaves immediately, because no requests pass through an agent.
type platformAgent struct{}

// Actors implements instance.
func (platformAgent) Actors() []process.Actor { return nil }

// Leave implements instance.
func (platformAgent) Leave(time.Time) {}

// Close implements instance.
func (platformAgent) Close() {}
