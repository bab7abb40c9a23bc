// Package process assembles a process of either role from its settings: the adapters,
// the node and the role itself. The programs and the measurements run the same parts.
package process

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"os"
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

// Actor is one long-running part of a process. Execute runs until it is done or
// Interrupt is called, as github.com/oklog/run requires.
type Actor struct {
	Execute   func() error
	Interrupt func(error)
}

// DuplicateID is the error of a process whose ID is also used by a newer process.
var DuplicateID = failure.Namespace.NewType("duplicate_id")

// base contains what both roles share.
type base struct {
	settings       *settings.Settings
	ctx            context.Context
	cancel         context.CancelFunc
	logger         *zap.Logger
	metrics        tally.Scope
	metricsHandler http.Handler
	metricsCloser  io.Closer
	tracer         *telemetry.Tracer
	keys           *keys.Store
	loop           *control.Loop
	endpoint       *peer.Endpoint
	node           *node.Node
	incarnation    uint64
	hangups        <-chan os.Signal
	fatal          chan error
}

// Options contains what a measurement may replace. The programs use the zero value.
type Options struct {
	// Socket wraps the bound socket of the peers' traffic to simulate the machine's
	// link; nil for the bound socket itself.
	Socket func(*net.UDPConn) net.PacketConn
	// DownLimit limits incoming weights in addition to the link's share; nil for no
	// limit.
	DownLimit swarm.Limiter
	// Metrics receives the metrics of the process; nil for a scope of its own.
	Metrics tally.Scope
	// Hangups requests an immediate check of the key files; nil for none.
	Hangups <-chan os.Signal
}

// newBase opens what both roles need. Streams of peers are passed to handler.
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
		hangups:     opts.Hangups,
		fatal:       make(chan error, 1),
	}
	b.ctx, b.cancel = context.WithCancel(context.Background())
	b.metrics, b.metricsHandler, b.metricsCloser = telemetry.NewMetrics()
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

// checkIdentity rejects a certificate of another process: peers would mistake this
// process for that one.
func checkIdentity(identity keys.Identity, s *settings.Settings) error {
	if identity.ID != s.Instance.ID || identity.Role != s.Role {
		return failure.Invalid.New("the certificate is for %s, the settings say %s:%s", identity, s.Role, s.Instance.ID)
	}
	return nil
}

// attachNode creates the node, which calls onChange on changes and onList, if not nil,
// with the instance list.
func (b *base) attachNode(onChange func(now time.Time), onList func(now time.Time, list []fleet.Instance)) error {
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
		Self:         gossip.NewRecord(self, b.incarnation),
		Loop:         b.loop,
		Endpoint:     b.endpoint,
		Config:       config,
		InstanceList: list,
		ListInterval: s.Platform.ListInterval,
		Rand:         newRand(),
		Logger:       b.logger,
		Metrics:      b.metrics,
		OnChange:     onChange,
		OnList:       onList,
		OnDuplicate:  b.duplicate,
	})
	b.loop.AddTicker(b.node)
	return nil
}

// duplicate ends this process if the other one with its ID is newer: then this one has
// been replaced. An older one ends itself.
func (b *base) duplicate(other gossip.Record) {
	if other.Incarnation <= b.incarnation {
		return
	}
	select {
	case b.fatal <- DuplicateID.New("a newer process runs as %s", other.ID):
	default:
	}
}

// actors returns the actors that both roles have. The endpoint is first, so that
// nothing is sent before the process is reachable.
func (b *base) actors(ops *opshttp.Server) []Actor {
	return []Actor{
		b.actor(b.endpoint.Run),
		b.actor(b.loop.Run),
		b.actor(b.node.FollowConfig),
		b.actor(b.node.FollowInstances),
		b.actor(b.reloadKeys),
		b.actor(b.waitFatal),
		{Execute: func() error { return ops.Run(b.ctx) }, Interrupt: func(error) { _ = ops.Close() }},
	}
}

// actor returns an actor that runs f until the process ends.
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

// reloadKeys checks the key files periodically and on SIGHUP, so that keys can be replaced
// without a restart.
func (b *base) reloadKeys(ctx context.Context) error {
	ticker := time.NewTicker(b.settings.TLS.ReloadInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-b.hangups:
			b.logger.Info("hangup")
		case <-ticker.C:
		}
		b.reloadOnce()
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

// Node returns the node, which has the active configuration and the view of the fleet.
func (b *base) Node() *node.Node { return b.node }

// close releases what newBase opened.
func (b *base) close() {
	b.cancel()
	_ = b.endpoint.Close()
	const spanTimeout = 2 * time.Second
	ctx, cancel := context.WithTimeout(context.Background(), spanTimeout)
	defer cancel()
	_ = b.tracer.Shutdown(ctx)
	_ = b.metricsCloser.Close()
}

func newRand() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

// addrOf returns the address in a validated base URL.
func addrOf(base string) (netip.AddrPort, error) {
	u, err := url.Parse(base)
	if err != nil {
		return netip.AddrPort{}, failure.Invalid.Wrap(err, "invalid URL %q", base)
	}
	addr, err := netip.ParseAddrPort(u.Host)
	if err != nil {
		return netip.AddrPort{}, failure.Invalid.Wrap(err, "URL %q without an IP address and port", base)
	}
	return addr, nil
}
