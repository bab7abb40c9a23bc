package process

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"

	"chivespindle.example/adapters/callerhttp"
	"chivespindle.example/adapters/opshttp"
	"chivespindle.example/adapters/settings"
	"chivespindle.example/core/addressing"
	"chivespindle.example/core/fleet"
	"chivespindle.example/daemon/entry"
)

// Entry is an assembled entry process.
type Entry struct {
	*base
	role    *entry.Entry
	callers *callerhttp.Server
	ops     *opshttp.Server
}

// NewEntry assembles an entry and binds its addresses.
func NewEntry(s *settings.Settings, logger *zap.Logger, opts Options) (*Entry, error) {
	handler := &lateHandler{}
	b, err := newBase(s, logger, handler, opts)
	if err != nil {
		return nil, err
	}
	p := &Entry{base: b}
	if err := p.assemble(); err != nil {
		b.close()
		return nil, err
	}
	handler.handler = p.role
	return p, nil
}

func (p *Entry) assemble() error {
	s := p.settings
	p.role = entry.New(p.ctx, time.Now(), entry.Options{
		Self:        p.Self(),
		Loop:        p.loop,
		Endpoint:    p.endpoint,
		AddressTTL:  s.Entry.AddressTTL,
		MaxInFlight: s.Limits.MaxInFlight,
		Tracer:      p.tracer,
		Logger:      p.logger,
		Metrics:     p.metrics,
	})
	if err := p.attachNode(p.role.HandleChange, nil); err != nil {
		return err
	}
	p.role.Attach(p.node)
	p.loop.AddTicker(p.role)
	callers, err := callerhttp.New(callerhttp.Options{
		Listen:          s.Listen.Callers,
		Dispatcher:      p.role,
		Addresses:       p.role,
		Keys:            p.role,
		MaxBody:         s.Entry.MaxBody,
		BodyTimeout:     s.Entry.BodyTimeout,
		Bodies:          bodyBudget(s),
		Limits:          callerLimits(s, openFileLimit()),
		DefaultDeadline: s.Entry.DefaultDeadline,
		Tracer:          p.tracer,
		Logger:          p.logger,
		Metrics:         p.metrics,
	})
	if err != nil {
		return err
	}
	p.callers = callers
	p.ops, err = opshttp.New(opshttp.Options{
		Listen:  s.Listen.Ops,
		Metrics: p.metricsHandler,
		Status:  func() any { return p.role.Status() },
		Ready:   p.role.Ready,
		Extra:   map[string]http.Handler{"GET /explain": p.role.ExplainHandler()},
		Logger:  p.logger,
		Scope:   p.metrics,
	})
	return err
}

// Self returns the process as the instance list shows it, with its bound addresses.
func (p *Entry) Self() fleet.Instance {
	self := p.settings.Self()
	self.PeerAddr = p.endpoint.Addr()
	if p.callers != nil {
		self.CallerAddr = p.callers.Addr()
	}
	return self
}

// Actors returns the actors to run.
func (p *Entry) Actors() []Actor {
	callers := Actor{
		Execute: p.callers.Run,
		Interrupt: func(error) {
			ctx, cancel := context.WithTimeout(context.Background(), p.settings.Limits.DrainTimeout)
			defer cancel()
			if err := p.callers.Shutdown(ctx); err != nil {
				p.logger.Error("requests_cut_off", zap.Error(err))
			}
		},
	}
	return append([]Actor{callers}, p.actors(p.ops)...)
}

// Leave stops gracefully: other entries stop naming this one, which continues to serve
// until the responses that name it have expired. Requests that are still running then
// are finished when the callers' server is interrupted. Its times are counted from now, whenever the stop
// began: the responses expire after the others know that this entry leaves.
func (p *Entry) Leave(time.Time) {
	p.callers.DisableKeepAlives()
	if err := p.role.Leave(p.ctx); err != nil {
		p.logger.Error("leaving_failed", zap.Error(err))
		return
	}
	time.Sleep(addressing.LeaveAfter(p.settings.Entry.AddressTTL))
	ctx, cancel := context.WithTimeout(context.Background(), p.settings.Limits.DrainTimeout)
	defer cancel()
	err := p.callers.Shutdown(ctx)
	p.logger.Info("left", zap.Bool("all_finished", err == nil))
}

// Close releases all resources after the actors have ended.
func (p *Entry) Close() { p.close() }
