// Package process puts the parts of a role together from its settings: the
// adapters, the node and the role itself. The programs and the measurements
// run the same parts.
package process

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"chivespindle.example/adapters/keys"
	"chivespindle.example/adapters/opshttp"
	"chivespindle.example/adapters/peer"
	"chivespindle.example/adapters/platform"
	"chivespindle.example/adapters/settings"
	"chivespindle.example/adapters/telemetry"
	"chivespindle.example/core/failure"
	"chivespindle.example/core/fleet"
	"chivespindle.example/core/gossip"
	"chivespindle.example/daemon/control"
	"chivespindle.example/daemon/node"
	"chivespindle.example/daemon/swarm"
)

// Actor is one long-running part of a process. Execute runs until it is done
// or Interrupt is called; it is what oklog/run takes.
type Actor struct {
	Execute   func() error
	Interrupt func(error)
}

// DuplicateID is the failure of a process whose id is taken: another process runs under this process's id and is newer.
var DuplicateID = failure.Namespace.NewType("duplicate_id")

// base is what both roles are made of.
type base struct {
	settings    *settings.Settings
	ctx         context.Context
	cancel      context.CancelFunc
	logger      *zap.Logger
	metrics     tally.Scope
	page        http.Handler
	closer      io.Closer
	tracer      *telemetry.Tracer
	keys        *keys.Store
	loop        *control.Loop
	endpoint    *peer.Endpoint
	node        *node.Node
	incarnation uint64
	fatal       chan error
}

// Options are what a measurement may replace. The zero value is what the
// programs use.
type Options struct {
	// Socket stands for the machine's link under the peers' traffic; nil: the
	// bound socket.
	Socket func(*net.UDPConn) net.PacketConn
	// Down limits weights that come in beside the link's share; nil: not.
	Down swarm.Limiter
	// Metrics takes the process's metrics; nil: a scope of its own.
	Metrics tally.Scope
}

// newBase opens what both roles need. Streams of peers go to handler.
func newBase(s *settings.Settings, logger *zap.Logger, handler peer.Handler, opts Options) (*base, error) {
	files := keys.Files{Authority: s.TLS.Authority, Certificate: s.TLS.Certificate, Key: s.TLS.Key}
	store, err := keys.Load(files)
	if err != nil {
		return nil, err
	}
	if err := checkIdentity(store.Identity(), s); err != nil {
		return nil, err
	}
	b := &base{
		settings:    s,
		logger:      logger,
		keys:        store,
		loop:        control.New(control.Options{}),
		incarnation: uint64(time.Now().UnixMilli()),
		fatal:       make(chan error, 1),
	}
	b.ctx, b.cancel = context.WithCancel(context.Background())
	b.metrics, b.page, b.closer = telemetry.NewMetrics()
	if opts.Metrics != nil {
		b.metrics = opts.Metrics
	}
	b.tracer = telemetry.NewTracer("chivespindled-"+string(s.Role), spanLogger(s, logger))
	b.endpoint, err = peer.New(peer.Options{
		Listen:     s.Listen.Peer,
		Keys:       store,
		Handler:    handler,
		Logger:     logger,
		Metrics:    b.metrics,
		WrapSocket: opts.Socket,
	})
	if err != nil {
		b.cancel()
		return nil, err
	}
	return b, nil
}

func spanLogger(s *settings.Settings, logger *zap.Logger) *zap.Logger {
	if s.Trace.Spans == settings.SpansToLog {
		return logger
	}
	return nil
}

// checkIdentity refuses a certificate of another process: peers would take
// this process for that one.
func checkIdentity(have keys.Identity, s *settings.Settings) error {
	if have.ID != s.Instance.ID || have.Role != s.Role {
		return failure.Invalid.New("the certificate is for %s, the settings say %s:%s", have, s.Role, s.Instance.ID)
	}
	return nil
}

// attachNode makes the node, which calls changed on changes and listRead, if not
// nil, with the instance list.
func (b *base) attachNode(changed func(now time.Time), listRead func(now time.Time, list []fleet.Instance)) error {
	s := b.settings
	config, err := platform.NewConfigSource(platform.ConfigOptions{
		BaseURL: s.Platform.ConfigURL, Timeout: s.Platform.CallTimeout, Wait: s.Platform.WatchWait})
	if err != nil {
		return err
	}
	list, err := platform.NewInstanceList(platform.InstanceListOptions{
		BaseURL: s.Platform.InstancesURL, Timeout: s.Platform.CallTimeout})
	if err != nil {
		return err
	}
	self := s.Self()
	self.PeerAddr = b.endpoint.Addr()
	b.node = node.New(b.ctx, time.Now(), node.Options{
		Self:        gossip.NewRecord(self, b.incarnation),
		Loop:        b.loop,
		Endpoint:    b.endpoint,
		Config:      config,
		List:        list,
		ListEvery:   s.Platform.ListEvery,
		Rand:        newRand(),
		Logger:      b.logger,
		Metrics:     b.metrics,
		OnChange:    changed,
		OnList:      listRead,
		OnDuplicate: b.duplicate,
	})
	b.loop.AddTicker(b.node)
	return nil
}

// duplicate ends the process if the other one under its id is newer: then this
// one has been replaced. An older one will end itself.
func (b *base) duplicate(other gossip.Record) {
	if other.Incarnation <= b.incarnation {
		return
	}
	select {
	case b.fatal <- DuplicateID.New("a newer process runs as %s", other.ID):
	default:
	}
}

// actors are those that both roles have. The endpoint is first, so that
// nothing is sent before the process can be reached.
func (b *base) actors(ops *opshttp.Server) []Actor {
	return []Actor{
		b.actor(b.endpoint.Run),
		b.actor(b.loop.Run),
		b.actor(b.node.FollowText),
		b.actor(b.node.FollowList),
		b.actor(b.reloadKeys),
		b.actor(b.waitFatal),
		{Execute: func() error { return ops.Run(b.ctx) }, Interrupt: func(error) { _ = ops.Close() }},
	}
}

// actor runs f until the process ends.
func (b *base) actor(f func(ctx context.Context) error) Actor {
	ctx, cancel := context.WithCancel(b.ctx)
	return Actor{
		Execute:   func() error { return f(ctx) },
		Interrupt: func(error) { cancel() },
	}
}

func (b *base) waitFatal(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return nil
	case err := <-b.fatal:
		return err
	}
}

// reloadKeys looks at the key files again and again, so that keys are replaced
// without a restart.
func (b *base) reloadKeys(ctx context.Context) error {
	ticker := time.NewTicker(b.settings.TLS.ReloadEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			b.reloadOnce()
		}
	}
}

func (b *base) reloadOnce() {
	before := b.keys.Generation()
	if err := b.keys.Reload(); err != nil {
		b.metrics.Counter("keys_reload_failures").Inc(1)
		b.logger.Error("keys_not_reloaded", zap.Error(err))
		return
	}
	if b.keys.Generation() != before {
		b.logger.Info("keys_reloaded", zap.Time("expires", b.keys.Expires()))
	}
}

// Node gives access to the text in force and the view of the fleet.
func (b *base) Node() *node.Node { return b.node }

// close releases what newBase opened.
func (b *base) close() {
	b.cancel()
	_ = b.endpoint.Close()
	const spanTimeout = 2 * time.Second
	ctx, cancel := context.WithTimeout(context.Background(), spanTimeout)
	defer cancel()
	_ = b.tracer.Shutdown(ctx)
	_ = b.closer.Close()
}

func newRand() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

// addrOf returns the address of a checked base URL.
func addrOf(base string) (netip.AddrPort, error) {
	u, err := url.Parse(base)
	if err != nil {
		return netip.AddrPort{}, failure.Invalid.Wrap(err, "URL %q", base)
	}
	addr, err := netip.ParseAddrPort(u.Host)
	if err != nil {
		return netip.AddrPort{}, failure.Invalid.Wrap(err, "URL %q", base)
	}
	return addr, nil
}
