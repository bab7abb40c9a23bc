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
		Source: platform.NewStore(s.StoreAddr, b.logger), Regions: s.Regions,
		VersionTime: s.VersionTime, LinkBytesPerSecond: s.LinkBytesPerSecond, Disabled: b.off,
		Logger: b.logger, Metrics: b.metrics,
	})
	b.handler.Handler = l
	b.loop.AddTicker(l)
	b.actor(b.endpoint.Run)
	b.actor(b.loop.Run)
	b.actor(b.followSettings(l))
	return b.run(platformAgent{})
}

// platformAgent leaves at once: nothing runs through an agent.
type platformAgent struct{}

// Actors implements member.
func (platformAgent) Actors() []process.Actor { return nil }

// Leave implements member.
func (platformAgent) Leave() {}

// Close implements member.
func (platformAgent) Close() {}
