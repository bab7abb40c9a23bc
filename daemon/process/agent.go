package process

import (
	"context"
	"time"

	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"chivespindle.example/adapters/engine"
	"chivespindle.example/adapters/keys"
	"chivespindle.example/adapters/opshttp"
	"chivespindle.example/adapters/peer"
	"chivespindle.example/adapters/plainservice"
	"chivespindle.example/adapters/platform"
	"chivespindle.example/adapters/settings"
	"chivespindle.example/core/fleet"
	"chivespindle.example/core/linkshare"
	"chivespindle.example/core/serving"
	"chivespindle.example/core/spread"
	"chivespindle.example/core/weights"
	"chivespindle.example/daemon/agent"
	"chivespindle.example/daemon/swarm"
)

// maxAgentBody bounds the body of a request at an agent; entries have a lower,
// configurable bound.
const maxAgentBody = 64 << 20

// lingerTime is how long a leaving agent continues after its last request, so that the
// last bytes of the response and the report that it is leaving arrive: data in transit
// is dropped when the endpoint closes.
const lingerTime = time.Second

// Agent is an assembled agent process.
type Agent struct {
	*base
	role *agent.Agent
	ops  *opshttp.Server
}

// lateHandler forwards streams to a handler that is created after the endpoint.
type lateHandler struct{ handler peer.Handler }

// ServeStream implements peer.Handler.
func (l *lateHandler) ServeStream(ctx context.Context, from keys.Identity, kind peer.Kind, s *peer.Stream) {
	l.handler.ServeStream(ctx, from, kind, s)
}

// NewAgent assembles an agent. It accepts no stream before it runs.
func NewAgent(s *settings.Settings, logger *zap.Logger, opts Options) (*Agent, error) {
	handler := &lateHandler{}
	b, err := newBase(s, logger, handler, opts)
	if err != nil {
		return nil, err
	}
	p := &Agent{base: b}
	if err := p.assemble(opts); err != nil {
		b.close()
		return nil, err
	}
	handler.handler = p.role
	return p, nil
}

func (p *Agent) assemble(opts Options) error {
	s := p.settings
	roleOptions := agent.Options{
		Self:         p.Self(),
		Loop:         p.loop,
		MaxFetches:   s.Agent.MaxFetches,
		MaxUploads:   s.Agent.MaxUploads,
		Link:         linkshare.Settings{LinkBytesPerSecond: s.Link.BytesPerSecond, BusyShare: s.Link.WeightsShare},
		MaxInFlight:  s.Limits.MaxInFlight,
		MaxBody:      maxAgentBody,
		DrainTimeout: s.Limits.DrainTimeout,
		Incarnation:  p.incarnation,
		Tracer:       p.tracer,
		Logger:       p.logger,
		Metrics:      p.metrics,
	}
	if err := p.connectBackend(&roleOptions, opts); err != nil {
		return err
	}
	p.role = agent.New(p.ctx, roleOptions)
	if err := p.attachNode(p.role.HandleChange, p.role.HandleList); err != nil {
		return err
	}
	p.role.Attach(p.node)
	p.loop.AddTicker(p.role)
	ops, err := opshttp.New(opshttp.Options{
		Listen:  s.Listen.Ops,
		Metrics: p.metricsHandler,
		Status:  func() any { return p.role.Status() },
		Ready:   p.role.Ready,
		Logger:  p.logger,
		Scope:   p.metrics,
	})
	p.ops = ops
	return err
}

// Self returns the process as the instance list shows it.
func (p *Agent) Self() fleet.Instance {
	self := p.settings.Self()
	self.PeerAddr = p.endpoint.Addr()
	return self
}

// connectBackend creates the adapters for the backend server.
func (p *Agent) connectBackend(roleOptions *agent.Options, opts Options) error {
	addr, err := addrOf(p.settings.Backend.URL)
	if err != nil {
		return err
	}
	if p.settings.Backend.Kind == settings.BackendPlain {
		client := plainservice.New(plainservice.Options{Addr: addr})
		roleOptions.Backend, roleOptions.Plain = client, client
		return nil
	}
	client := engine.New(engine.Options{
		Addr:         addr,
		CheckVersion: func(v fleet.Version) error { return p.role.CheckVersion(v) },
	})
	roleOptions.Backend, roleOptions.Engine = client, client
	roleOptions.Changeover = serving.ChangeoverOptions{Rand: newRand(), DrainTimeout: p.settings.Limits.DrainTimeout}
	return p.connectWeights(roleOptions, client, opts)
}

// connectWeights creates the sources of weights and the limits of the link.
func (p *Agent) connectWeights(roleOptions *agent.Options, client *engine.Client, opts Options) error {
	up, down := newShareLimit(nil), newShareLimit(opts.DownLimit)
	roleOptions.UploadLimiter, roleOptions.DownloadLimiter = up, down
	origin, err := p.source(p.settings.Platform.OriginURL, down)
	if err != nil {
		return err
	}
	store, err := p.source(p.settings.Platform.StoreURL, down)
	if err != nil {
		return err
	}
	self := p.Self()
	roleOptions.Swarm = swarm.Options{
		Self:            spread.Member{ID: self.ID, Place: self.Place, Addr: self.PeerAddr},
		Loop:            p.loop,
		Endpoint:        p.endpoint,
		Stage:           client,
		Origin:          origin,
		Store:           store,
		UploadLimiter:   up,
		DownloadLimiter: down,
		StallTimeout:    p.settings.Link.StallTimeout,
		Rand:            newRand(),
		Logger:          p.logger,
		Metrics:         p.metrics,
		OnManifest:      client.PutManifest,
	}
	return nil
}

func (p *Agent) source(base string, down platform.Limiter) (weights.Source, error) {
	return platform.NewWeightSource(platform.WeightOptions{
		BaseURL: base, StallTimeout: p.settings.Link.StallTimeout, Limiter: down})
}

// shareLimit limits weights to a share of the link, in front of the simulated link of a
// measurement if there is one.
type shareLimit struct {
	*rate.Limiter
	link swarm.Limiter
}

func newShareLimit(link swarm.Limiter) *shareLimit {
	return &shareLimit{Limiter: rate.NewLimiter(rate.Inf, swarm.PieceBytes), link: link}
}

// WaitN waits until n bytes may be transferred; n is at most swarm.PieceBytes.
func (l *shareLimit) WaitN(ctx context.Context, n int) error {
	if err := l.Limiter.WaitN(ctx, n); err != nil {
		return err
	}
	if l.link == nil {
		return nil
	}
	return l.link.WaitN(ctx, n)
}

// Actors returns the actors to run.
func (p *Agent) Actors() []Actor { return p.actors(p.ops) }

// Role returns the agent, which has the status.
func (p *Agent) Role() *agent.Agent { return p.role }

// OpsAddr returns the bound address for operators.
func (p *Agent) OpsAddr() string { return p.ops.Addr().String() }

// Leave stops gracefully: the agent accepts no new work and finishes the running
// requests, at most for the drain timeout. It returns when the process may exit. The drain timeout is
// counted from now, whenever the stop began.
func (p *Agent) Leave(time.Time) {
	ctx, cancel := context.WithTimeout(p.ctx, p.settings.Limits.DrainTimeout)
	defer cancel()
	if err := p.role.Leave(ctx); err != nil {
		p.logger.Error("leaving_failed", zap.Error(err))
		return
	}
	allFinished := p.role.Drain(ctx)
	time.Sleep(lingerTime)
	p.logger.Info("left", zap.Bool("all_finished", allFinished))
}

// Close releases all resources after the actors have ended.
func (p *Agent) Close() { p.close() }
