package main

import (
	"context"
	"io"
	"log"
	"net/http"
	"time"

	"go.uber.org/zap"

	"chivespindle.example/daemon/gateway"
	"chivespindle.example/daemon/process"
	"chivespindle.example/platform"
)

const (
	// headerTime bounds the reading of a request's header: more than callers
	// may take, so that only those that stall are ended.
	headerTime = 10 * time.Second
	// idleTime is longer than callers may keep an unused connection: closed
	// sooner by us, a request that is on its way would be lost.
	idleTime = 2 * time.Minute
	// headerBytes bounds a request's header.
	headerBytes = 64 << 10
)

func newPlatformServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTime, IdleTimeout: idleTime, MaxHeaderBytes: headerBytes,
		// What net/http would print is about broken connections of callers.
		ErrorLog: log.New(io.Discard, "", 0),
	}
}

// platformEntry is an entry that can leave.
type platformEntry struct {
	base    *platformBase
	gateway *gateway.Gateway
	ingress *platform.Ingress
	callers *http.Server
}

func runPlatformEntry(b *platformBase) error {
	s := b.settings
	g := gateway.New(b.ctx, time.Now(), gateway.Options{
		Self: b.id, Addr: s.IP, Incarnation: b.incarnation, Place: s.Place,
		CallerAddr: s.CallerAddr, PeerPort: s.PeerPort, Seeds: s.Seeds, Regions: s.Regions,
		Loop: b.loop, Endpoint: b.endpoint,
		Source: platform.NewStore(s.StoreAddr, b.logger), Backend: platform.NewBackend(),
		Budget:      gateway.RetryBudget{Ratio: s.RetryRatio, Slack: s.RetrySlack, Window: s.RetryWindow},
		VersionTime: s.VersionTime, SoundTime: s.SoundTime, Disabled: b.off,
		Logger: b.logger, Metrics: b.metrics,
	})
	b.handler.Handler = g
	b.loop.AddTicker(g)
	e := &platformEntry{base: b, gateway: g, ingress: platform.NewIngress(g)}
	var err error
	if e.callers, err = b.serve(s.CallerAddr, e.ingress); err != nil {
		return err
	}
	e.callers.ConnContext = e.ingress.ConnContext
	if _, err := b.serve(s.ReadyAddr, platform.NewReadyHandler(g)); err != nil {
		return err
	}
	if _, err := b.serve(s.DirectoryAddr, platform.NewDirectoryHandler(g)); err != nil {
		return err
	}
	b.actor(b.endpoint.Run)
	b.actor(b.loop.Run)
	b.actor(b.followSettings(g))
	b.actor(g.Follow)
	return b.run(e)
}

// Actors implements member; the parts are added to the group directly.
func (e *platformEntry) Actors() []process.Actor { return nil }

// Close implements member.
func (e *platformEntry) Close() {}

// Leave stops gracefully. Callers keep the address for a while, so requests
// are taken until the answers that name this entry have expired; what runs
// then is finished.
func (e *platformEntry) Leave() {
	times := e.base.settings.DrainTimes()
	e.ingress.DisableKeepAlives()
	if err := e.gateway.Leave(e.base.ctx); err != nil {
		e.base.logger.Error("leaving_not_told", zap.Error(err))
	}
	pause(e.base.ctx, times.Accept)
	ctx, cancel := context.WithTimeout(e.base.ctx, times.Finish)
	defer cancel()
	err := e.callers.Shutdown(ctx)
	e.base.logger.Info("left", zap.Bool("all_finished", err == nil), zap.Int64("in_flight", e.gateway.InFlight()))
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
