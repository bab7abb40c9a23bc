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

// maxAgentBody bounds a request's body at an agent; entries have a lower,
// settable bound.
const maxAgentBody = 64 << 20

// lingerTime is how long a leaving agent goes on after its last request, so
// that the last bytes of its answer and the news of its leaving arrive: what is
// on its way when the endpoint closes is dropped.
const lingerTime = time.Second

// Agent is an assembled agent process.
type Agent struct {
	*base
	role *agent.Agent
	ops  *opshttp.Server
}

// late passes streams on to a handler that is made after the endpoint.
type late struct{ handler peer.Handler }

// ServeStream implements peer.Handler.
func (l *late) ServeStream(ctx context.Context, from keys.Identity, kind peer.Kind, s *peer.Stream) {
	l.handler.ServeStream(ctx, from, kind, s)
}

// NewAgent puts an agent together. It takes no stream before it runs.
func NewAgent(s *settings.Settings, logger *zap.Logger, opts Options) (*Agent, error) {
	handler := &late{}
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
		Fetches:      s.Agent.Fetches,
		UploadSlots:  s.Agent.UploadSlots,
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
	if err := p.attachNode(p.role.Changed, p.role.ListRead); err != nil {
		return err
	}
	p.role.Attach(p.node)
	p.loop.AddTicker(p.role)
	ops, err := opshttp.New(opshttp.Options{
		Listen:  s.Listen.Ops,
		Metrics: p.page,
		Status:  func() any { return p.role.Status() },
		Ready:   p.role.Ready,
	})
	p.ops = ops
	return err
}

// Self is the process as the instance list shows it.
func (p *Agent) Self() fleet.Instance {
	self := p.settings.Self()
	self.PeerAddr = p.endpoint.Addr()
	return self
}

// connectBackend makes the adapters of the backend server.
func (p *Agent) connectBackend(o *agent.Options, opts Options) error {
	addr, err := addrOf(p.settings.Backend.URL)
	if err != nil {
		return err
	}
	if p.settings.Backend.Kind == settings.BackendPlain {
		client := plainservice.New(plainservice.Options{Addr: addr})
		o.Backend, o.Plain = client, client
		return nil
	}
	client := engine.New(engine.Options{
		Addr:         addr,
		CheckVersion: func(v fleet.Version) error { return p.role.CheckVersion(v) },
	})
	o.Backend, o.Engine = client, client
	o.Changeover = serving.ChangeoverOptions{Rand: newRand(), DrainTimeout: p.settings.Limits.DrainTimeout}
	return p.connectWeights(o, client, opts)
}

// connectWeights makes the sources of weights and the limits of the link.
func (p *Agent) connectWeights(o *agent.Options, client *engine.Client, opts Options) error {
	up, down := newShareLimit(nil), newShareLimit(opts.DownLimit)
	o.UpLimit, o.DownLimit = up, down
	origin, err := p.source(p.settings.Platform.OriginURL, down)
	if err != nil {
		return err
	}
	store, err := p.source(p.settings.Platform.StoreURL, down)
	if err != nil {
		return err
	}
	self := p.Self()
	o.Swarm = swarm.Options{
		Self:       spread.Member{ID: self.ID, Place: self.Place, Addr: self.PeerAddr},
		Loop:       p.loop,
		Endpoint:   p.endpoint,
		Stage:      client,
		Origin:     origin,
		Store:      store,
		Up:         up,
		Down:       down,
		Stall:      p.settings.Link.StallTimeout,
		Rand:       newRand(),
		Logger:     p.logger,
		Metrics:    p.metrics,
		OnManifest: client.PutManifest,
	}
	return nil
}

func (p *Agent) source(base string, down platform.Limiter) (weights.Source, error) {
	return platform.NewWeightSource(platform.WeightOptions{
		BaseURL: base, StallTimeout: p.settings.Link.StallTimeout, Limiter: down})
}

// shareLimit is the share of the link that weights may use, in front of the
// link of a measurement if there is one.
type shareLimit struct {
	*rate.Limiter
	link swarm.Limiter
}

func newShareLimit(link swarm.Limiter) *shareLimit {
	return &shareLimit{Limiter: rate.NewLimiter(rate.Inf, swarm.PieceBytes), link: link}
}

// WaitN waits until n bytes may be moved; n is at most swarm.PieceBytes.
func (l *shareLimit) WaitN(ctx context.Context, n int) error {
	if err := l.Limiter.WaitN(ctx, n); err != nil {
		return err
	}
	if l.link == nil {
		return nil
	}
	return l.link.WaitN(ctx, n)
}

// Actors returns the parts to run.
func (p *Agent) Actors() []Actor { return p.actors(p.ops) }

// Role gives access to the agent's status.
func (p *Agent) Role() *agent.Agent { return p.role }

// OpsAddr is the bound operators' address.
func (p *Agent) OpsAddr() string { return p.ops.Addr().String() }

// Leave stops gracefully: no new work, then what runs is finished, at most for
// the drain timeout. It returns when the process may end.
func (p *Agent) Leave() {
	ctx, cancel := context.WithTimeout(p.ctx, p.settings.Limits.DrainTimeout)
	defer cancel()
	if err := p.role.Leave(ctx); err != nil {
		p.logger.Error("leaving_failed", zap.Error(err))
		return
	}
	done := p.role.Drain(ctx)
	time.Sleep(lingerTime)
	p.logger.Info("left", zap.Bool("all_finished", done))
}

// Close releases everything after the actors have ended.
func (p *Agent) Close() { p.close() }
