package main

import (
	"context"
	"time"

	"go.uber.org/zap"

	"chivespindle.example/adapters/boundedhttp"
	"chivespindle.example/core/connlimit"
	"chivespindle.example/core/memlimit"
	"chivespindle.example/core/retry"
	"chivespindle.example/daemon/gateway"
	"chivespindle.example/daemon/process"
	"chivespindle.example/platform"
)

// Shares of the ports of an entry in the connections, requests and memory of heads that its
// process allows.
const (
	callersShare   = 0.75
	directoryShare = 0.2
)

// Shares of the process's memory.
const (
	// bodyShare is for bodies of requests and buffered responses.
	bodyShare = 0.15
	// responseShare is for large heads of responses, and large events that are not complete.
	responseShare = 0.05
)

// platformEntry is an entry that can shut down gracefully.
type platformEntry struct {
	base    *platformBase
	gateway *gateway.Gateway
	ingress *platform.Ingress
	callers *boundedhttp.Server
}

func runPlatformEntry(b *platformBase) error {
	s, memory := b.settings, clientMemory(b.settings)
	limits := connlimit.OfProcess(memory, s.Descriptors)
	callersLimits := limits.Share(callersShare)
	directoryLimits := limits.Share(directoryShare)
	directoryLimits.Requests = 0 // they are answered at once
	g := gateway.New(b.ctx, time.Now(), gateway.Options{
		Self: b.id, Addr: s.IP, Incarnation: b.incarnation, Place: s.Place,
		CallerAddr: s.CallerAddr, PeerPort: s.PeerPort, Seeds: s.Seeds, Regions: s.Regions,
		Loop: b.loop, Endpoint: b.endpoint,
		Source: platform.NewStore(s.StoreAddr, b.logger).WithMetrics(b.metrics), Backend: platform.NewBackend().WithMemory(memlimit.NewShare(memory, responseShare)),
		Budget:      retry.FleetBudget{Ratio: s.RetryRatio, Slack: s.RetrySlack, Window: s.RetryWindow},
		VersionTime: s.VersionTime, SoundTime: s.SoundTime, GracePeriod: s.GracePeriod,
		ColdOverage: s.ColdOverage, ColdSlack: s.ColdSlack, Memory: memlimit.NewShare(memory, bodyShare), MaxCalls: callersLimits.Requests, Disabled: b.disabled,
		Logger: b.logger, Metrics: b.metrics,
	})
	b.handler.Handler = g
	b.loop.AddTicker(g)
	e := &platformEntry{base: b, gateway: g, ingress: platform.NewIngress(g)}
	var err error
	if e.callers, err = b.addServer(s.CallerAddr, boundedhttp.Options{
		Port: "callers", Handler: e.ingress, Limits: callersLimits,
		ClientLimits: e.ingress.ClientLimits, BodyTimeout: platform.MaxBodyTime,
	}); err != nil {
		return err
	}
	if _, err := b.addServer(s.DirectoryAddr, boundedhttp.Options{
		Port: "directory", Handler: platform.NewDirectoryHandler(g), Limits: directoryLimits,
		ClientLimits: e.ingress.ClientLimits, BodyTimeout: unreadBodyTimeout,
	}); err != nil {
		return err
	}
	if _, err := b.addServer(s.ReadyAddr, boundedhttp.Options{
		Port: "readiness", Handler: platform.NewReadyHandler(g), Limits: smallPortLimits, BodyTimeout: unreadBodyTimeout,
	}); err != nil {
		return err
	}
	b.addActor(b.endpoint.Run)
	b.addActor(b.loop.Run)
	b.addActor(b.followSettings(g))
	b.addActor(g.Follow)
	return b.run(e)
}

// Actors implements instance; the components are added to the group directly.
func (e *platformEntry) Actors() []process.Actor { return nil }

// Close implements instance.
func (e *platformEntry) Close() {}

// Leave shuts the entry down gracefully. Callers may keep its address for a
// while, so it accepts connections until the address lists that name it have
// expired, and then finishes the requests in flight. Those that come later on
// open connections are served if they end in time, and refused otherwise.
// Those that have not ended shortly before the end of the grace period get an
// error response.
func (e *platformEntry) Leave(began time.Time) {
	now := time.Now()
	s := e.base.current.Load()
	times, stop := s.DrainTimes(), s.StopAt(began, now)
	e.base.logger.Info("leaving", zap.Int64("in_flight", e.gateway.InFlight()), zap.Duration("accept", times.Accept),
		zap.Duration("any_length", times.AnyLength), zap.Duration("finish", times.Finish), zap.Duration("respond", times.Respond))
	e.ingress.DisableKeepAlives()
	if err := e.gateway.Leave(e.base.ctx, stop); err != nil {
		e.base.logger.Error("leaving_not_told", zap.Error(err))
	}
	sleep(e.base.ctx, time.Until(now.Add(times.Accept)))
	ctx, cancel := context.WithDeadline(e.base.ctx, stop.EndsAt.Add(times.Respond))
	defer cancel()
	err := e.callers.Shutdown(ctx)
	counts := e.gateway.StopCounts()
	e.base.logger.Info("left", zap.Duration("took", time.Since(stop.Began)), zap.Bool("all_finished", err == nil), zap.Int64("in_flight", e.gateway.InFlight()),
		zap.Int64("refused", counts.Refused), zap.Int64("failed", counts.Failed), zap.Int64("aborted", counts.Aborted))
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
