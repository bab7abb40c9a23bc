package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"runtime/debug"
	"time"

	"github.com/oklog/run"
	"github.com/spf13/cobra"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"chivespindle.example/adapters/keys"
	"chivespindle.example/adapters/peer"
	"chivespindle.example/adapters/settings"
	"chivespindle.example/adapters/telemetry"
	"chivespindle.example/core/failure"
	"chivespindle.example/core/fleet"
	"chivespindle.example/core/policy"
	"chivespindle.example/daemon/control"
	"chivespindle.example/daemon/mesh"
	"chivespindle.example/platform"
)

const (
	// peerIdle is how long a connection between our processes may bring nothing;
	// beats come several times within it.
	peerIdle = 4 * time.Second
	// peerKeepAlive keeps chunk connections that rest between two versions.
	peerKeepAlive = 1500 * time.Millisecond
	// peerHandshake bounds the making of a connection: several round trips.
	peerHandshake = 900 * time.Millisecond
	// memoryShare is the part of the machine's memory at which the collector
	// works harder rather than have the process killed.
	memoryShare = 0.6
	// entryTick is the tick of an entry's control loop, the resolution of its
	// fastest heartbeat; agentTick that of an agent's, where each tick costs as
	// much as the rest of what a resting agent does.
	entryTick = 20 * time.Millisecond
	agentTick = 50 * time.Millisecond
)

func newPlatformCommand() *cobra.Command {
	command := &cobra.Command{
		Use:   "platform",
		Short: "Run a role on the users' platform; settings come from the file that " + platform.SettingsVariable + " names",
	}
	command.AddCommand(
		newPlatformRole(fleet.RoleEntry, "Run an entry, which takes callers' requests", runPlatformEntry),
		newPlatformRole(fleet.RoleAgent, "Run the agent beside one model server", runPlatformAgent),
		newMechanismsCommand(),
	)
	return command
}

// newMechanismsCommand lists what can be switched off.
func newMechanismsCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "mechanisms",
		Short: "List the mechanisms that a file named by --mechanisms can switch off",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			for _, m := range policy.Mechanisms() {
				if _, err := fmt.Fprintf(command.OutOrStdout(), "%s\t%s\n", m.Name, m.Doc); err != nil {
					return err
				}
			}
			return nil
		},
	}
}

func newPlatformRole(role fleet.Role, short string, start func(*platformBase) error) *cobra.Command {
	var mechanisms string
	command := &cobra.Command{
		Use:   string(role),
		Short: short,
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			s, err := platform.LoadSettings()
			if err != nil {
				return err
			}
			off, err := settings.LoadMechanisms(mechanisms)
			if err != nil {
				return err
			}
			b, err := newPlatformBase(role, s, off)
			if err != nil {
				return err
			}
			defer b.close()
			return start(b)
		},
	}
	command.Flags().StringVar(&mechanisms, "mechanisms", "", "INI file that switches mechanisms off; all are on without it")
	return command
}

// platformBase is what both roles are made of on the platform.
type platformBase struct {
	role        fleet.Role
	settings    *platform.Settings
	off         policy.Disabled
	id          fleet.InstanceID
	incarnation uint64
	ctx         context.Context
	cancel      context.CancelFunc
	logger      *zap.Logger
	lines       *telemetry.Queue
	metrics     tally.Scope
	page        http.Handler
	closer      io.Closer
	loop        *control.Loop
	endpoint    *peer.Endpoint
	handler     *lateHandler
	group       run.Group
}

// lateHandler passes streams on to a handler that is made after the endpoint.
type lateHandler struct{ peer.Handler }

func newPlatformBase(role fleet.Role, s *platform.Settings, off policy.Disabled) (*platformBase, error) {
	debug.SetMemoryLimit(int64(memoryShare * float64(s.MemoryBytes)))
	b := &platformBase{
		role:        role,
		settings:    s,
		off:         off,
		id:          mesh.IDOf(s.IP),
		incarnation: uint64(time.Now().UnixMilli())<<8 | uint64(rand.N(256)),
		loop:        control.New(control.Options{TickInterval: tickOf(role)}),
		handler:     &lateHandler{},
	}
	b.metrics, b.page, b.closer = telemetry.NewMetrics()
	b.lines = telemetry.NewQueue(os.Stdout)
	b.logger = telemetry.NewLogger(zapcore.InfoLevel, b.lines).With(zap.String("instance", s.NodeName))
	b.ctx, b.cancel = context.WithCancel(context.Background())
	store, err := keys.Ephemeral(keys.Identity{ID: b.id, Role: role})
	if err != nil {
		return nil, err
	}
	b.endpoint, err = peer.New(peer.Options{
		Listen: netip.AddrPortFrom(s.IP, s.PeerPort), Keys: store, Handler: b.handler,
		Logger: b.logger, Metrics: b.metrics,
		IdleTimeout: peerIdle, KeepAlive: peerKeepAlive, HandshakeTimeout: peerHandshake,
	})
	if err != nil {
		b.cancel()
	}
	return b, err
}

func tickOf(role fleet.Role) time.Duration {
	if role == fleet.RoleEntry {
		return entryTick
	}
	return agentTick
}

func (b *platformBase) close() {
	b.cancel()
	_ = b.endpoint.Close()
	_ = b.closer.Close() // ends the reporting of metrics that nobody reads any more
}

// actor runs f until the process ends.
func (b *platformBase) actor(f func(ctx context.Context) error) {
	ctx, cancel := context.WithCancel(b.ctx)
	b.group.Add(func() error { return f(ctx) }, func(error) { cancel() })
}

// serve adds an HTTP server on addr.
func (b *platformBase) serve(addr netip.AddrPort, handler http.Handler) (*http.Server, error) {
	listener, err := net.Listen("tcp", addr.String())
	if err != nil {
		return nil, failure.Invalid.Wrap(err, "listen on %s", addr)
	}
	server := newPlatformServer(handler)
	interrupted := make(chan struct{})
	b.group.Add(func() error {
		if err := server.Serve(listener); err != http.ErrServerClosed {
			return failure.Unavailable.Wrap(err, "serve on %s", addr)
		}
		// A graceful shutdown ends Serve at once, while requests still run.
		<-interrupted
		return nil
	}, func(error) {
		close(interrupted)
		_ = server.Close()
	})
	return server, nil
}

// countLines tells how many log lines were dropped.
func (b *platformBase) countLines(ctx context.Context) error {
	ticker := time.NewTicker(settingsEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			b.metrics.Gauge("log_lines_dropped").Update(float64(b.lines.Dropped()))
		}
	}
}

// metricsPort and metricsPath are where the deploy file says that metrics are.
const (
	metricsPort = 19190
	metricsPath = "/metrics"
)

// run starts everything and waits for the end.
func (b *platformBase) run(m member) error {
	mux := http.NewServeMux()
	mux.Handle("GET "+metricsPath, b.page)
	if _, err := b.serve(netip.AddrPortFrom(b.settings.IP, metricsPort), mux); err != nil {
		return err
	}
	b.actor(b.lines.Run)
	b.actor(b.countLines)
	stop := newStopper(m, b.logger)
	b.group.Add(stop.wait, stop.interrupt)
	b.logger.Info("started", zap.String("role", string(b.role)), zap.String("zone", string(b.settings.Place.Zone)),
		zap.Stringer("peer", b.endpoint.Addr()), zap.Uint64("incarnation", b.incarnation), zap.Strings("switched_off", b.off.Names()))
	err := b.group.Run()
	b.cancel()
	b.logger.Info("stopped", zap.Error(err))
	_ = b.lines.Run(b.ctx) // writes what still waits; never fails
	return err
}
