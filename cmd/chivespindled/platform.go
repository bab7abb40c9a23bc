package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"os"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/oklog/run"
	"github.com/spf13/cobra"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"chivespindle.example/adapters/boundedhttp"
	"chivespindle.example/adapters/keys"
	"chivespindle.example/adapters/peer"
	"chivespindle.example/adapters/settings"
	"chivespindle.example/adapters/telemetry"
	"chivespindle.example/core/connlimit"
	"chivespindle.example/core/failure"
	"chivespindle.example/core/fleet"
	"chivespindle.example/core/policy"
	"chivespindle.example/core/standstill"
	"chivespindle.example/daemon/control"
	"chivespindle.example/daemon/mesh"
	"chivespindle.example/platform"
)

const (
	// peerIdleTimeout is how long a connection between processes of the fleet
	// may be silent. Several heartbeats are sent within it.
	peerIdleTimeout = 4 * time.Second
	// peerKeepAliveInterval keeps chunk connections open while they are idle
	// between two versions.
	peerKeepAliveInterval = 1500 * time.Millisecond
	// peerHandshakeTimeout bounds the handshake of a connection, which takes
	// several round trips.
	peerHandshakeTimeout = 900 * time.Millisecond
	// Any client that reaches the peers' port may connect, since certificates are not
	// verified: see keys.Ephemeral. So what it may hold is bounded by shares of the memory.
	// An idle accepted connection takes 82 KB, and one whose peer sends what nobody reads
	// peerReceiveWindow more. A process has one connection to another, and a few for the
	// idle timeout after it was restarted.
	peerConnectionsShare = 0.12
	peerConnectionBytes  = 128 << 10
	peerMaxPerAddress    = 16
	// A heartbeat of 1 MB, which a manifest can take, must arrive within the timeout of a
	// silent link, at round trips of 0.2 s.
	peerReceiveWindow = 128 << 10
	// A pair of processes has one gossip, one catalog and a few chunk streams.
	peerMaxStreams    = 32
	peerStreamsShare  = 0.02
	peerStreamBytes   = 8 << 10
	peerMessagesShare = 0.05
	// programBytes is the memory of the program without clients, with the pages of its file.
	programBytes = 24 << 20
	// memoryLimitShare is the share of the machine's memory that is set as the
	// soft memory limit. Above it the garbage collector works harder, so that
	// the process is not killed for its memory use.
	memoryLimitShare = 0.6
	// entryTickInterval is the interval of an entry's control loop, and so the
	// resolution of its fastest heartbeat. agentTickInterval is that of an
	// agent's control loop: each tick costs as much as everything else that an
	// idle agent does.
	entryTickInterval = 20 * time.Millisecond
	agentTickInterval = 50 * time.Millisecond
)

func newPlatformCommand() *cobra.Command {
	command := &cobra.Command{
		Use:   "platform",
		Short: "Run a role on the users' platform; settings come from the file that " + platform.SettingsVariable + " names",
	}
	command.AddCommand(
		newPlatformRoleCommand(fleet.RoleEntry, "Run an entry, which accepts callers' requests", runPlatformEntry),
		newPlatformRoleCommand(fleet.RoleAgent, "Run the agent of one model server", runPlatformAgent),
		newMechanismsCommand(),
	)
	return command
}

// newMechanismsCommand returns the command that lists the mechanisms that can
// be disabled.
func newMechanismsCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "mechanisms",
		Short: "List the mechanisms that the file given by --mechanisms can disable",
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

func newPlatformRoleCommand(role fleet.Role, short string, start func(*platformBase) error) *cobra.Command {
	var mechanisms string
	command := &cobra.Command{
		Use:   string(role),
		Short: short,
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			signals := handleSignals()
			s, err := platform.LoadSettings()
			if err != nil {
				return err
			}
			disabled, err := settings.LoadMechanisms(mechanisms)
			if err != nil {
				return err
			}
			b, err := newPlatformBase(role, s, disabled, signals)
			if err != nil {
				return err
			}
			defer b.close()
			return start(b)
		},
	}
	command.Flags().StringVar(&mechanisms, "mechanisms", "", "INI file that disables mechanisms; without it all are enabled")
	return command
}

// platformBase holds the components that both roles share on the platform.
type platformBase struct {
	role fleet.Role
	// settings are those of the start. They never change, since several actors read them.
	settings *platform.Settings
	// current are the settings that were read last.
	current        atomic.Pointer[platform.Settings]
	disabled       policy.Disabled
	signals        signals
	runs           standstill.Recorder
	id             fleet.InstanceID
	incarnation    uint64
	ctx            context.Context
	cancel         context.CancelFunc
	logger         *zap.Logger
	logQueue       *telemetry.Queue
	metrics        tally.Scope
	metricsHandler http.Handler
	metricsCloser  io.Closer
	loop           *control.Loop
	endpoint       *peer.Endpoint
	handler        *deferredHandler
	group          run.Group
}

// deferredHandler forwards streams to a handler that is created after the
// endpoint.
type deferredHandler struct{ peer.Handler }

func newPlatformBase(role fleet.Role, s *platform.Settings, disabled policy.Disabled, signals signals) (*platformBase, error) {
	if s.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryLimitShare * float64(s.MemoryBytes)))
	}
	b := &platformBase{
		role:        role,
		settings:    s,
		disabled:    disabled,
		signals:     signals,
		id:          mesh.IDOf(s.IP),
		incarnation: uint64(time.Now().UnixMilli())<<8 | uint64(rand.N(256)),
		loop:        control.New(control.Options{TickInterval: tickInterval(role)}),
		handler:     &deferredHandler{},
	}
	b.current.Store(s)
	b.runs.Tick(signals.since) // a signal may have come since
	b.loop.AddTicker(&b.runs)
	b.metrics, b.metricsHandler, b.metricsCloser = telemetry.NewMetrics()
	b.logQueue = telemetry.NewQueue(os.Stdout)
	b.logger = telemetry.NewLogger(zapcore.InfoLevel, b.logQueue).With(zap.String("instance", s.NodeName))
	b.ctx, b.cancel = context.WithCancel(context.Background())
	memory := clientMemory(s)
	store, err := keys.Ephemeral(keys.Identity{ID: b.id, Role: role})
	if err != nil {
		return nil, err
	}
	b.endpoint, err = peer.New(peer.Options{
		Listen: netip.AddrPortFrom(s.IP, s.PeerPort), Keys: store, Handler: b.handler,
		Logger: b.logger, Metrics: b.metrics,
		IdleTimeout: peerIdleTimeout, KeepAlive: peerKeepAliveInterval, HandshakeTimeout: peerHandshakeTimeout,
		MaxAccepted: peerShare(memory, peerConnectionsShare, peerConnectionBytes), MaxAcceptedPerAddress: peerMaxPerAddress,
		MaxStreams: peerMaxStreams, MaxServed: peerShare(memory, peerStreamsShare, peerStreamBytes),
		ReceiveWindow: peerReceiveWindow, MessageMemory: peerShare(memory, peerMessagesShare, 1),
	})
	if err != nil {
		b.cancel()
	}
	return b, err
}

// clientMemory returns the memory that clients and peers may use together, 0 if the memory of
// the machine has no limit. A share for each of them is a bound on what they hold; a third is
// left for garbage and for what the kernel holds.
func clientMemory(s *platform.Settings) int64 {
	if s.MemoryBytes <= 0 {
		return 0
	}
	return max(s.MemoryBytes-programBytes, s.MemoryBytes/4)
}

// peerShare returns how many items of a size take a share of the memory; 0, which selects
// the default, if the memory has no limit.
func peerShare(memoryBytes int64, share float64, itemBytes int) int {
	return int(share * float64(memoryBytes) / float64(itemBytes))
}

func tickInterval(role fleet.Role) time.Duration {
	if role == fleet.RoleEntry {
		return entryTickInterval
	}
	return agentTickInterval
}

func (b *platformBase) close() {
	b.cancel()
	_ = b.endpoint.Close()
	_ = b.metricsCloser.Close() // stops metrics reporting
}

// addActor adds f to the group. Its context is cancelled when the group ends.
func (b *platformBase) addActor(f func(ctx context.Context) error) {
	ctx, cancel := context.WithCancel(b.ctx)
	b.group.Add(func() error { return f(ctx) }, func(error) { cancel() })
}

// unreadBodyTimeout bounds the receipt of bodies on ports whose requests have none.
const unreadBodyTimeout = time.Second

// smallPortLimits are those of a port with few clients.
var smallPortLimits = connlimit.Limits{Connections: 16, HeadBytes: connlimit.MinHeadBytes}

// addServer adds an HTTP server on addr to the group.
func (b *platformBase) addServer(addr netip.AddrPort, opts boundedhttp.Options) (*boundedhttp.Server, error) {
	opts.Logger, opts.Metrics = b.logger, b.metrics
	server := boundedhttp.New(opts)
	listener, err := server.Listen(addr.String())
	if err != nil {
		return nil, failure.Invalid.Wrap(err, "listen on %s", addr)
	}
	interrupted := make(chan struct{})
	b.group.Add(func() error {
		if err := server.Serve(listener); err != http.ErrServerClosed {
			return failure.Unavailable.Wrap(err, "serve on %s", addr)
		}
		// A graceful shutdown makes Serve return at once, while requests are
		// still running.
		<-interrupted
		return nil
	}, func(error) {
		close(interrupted)
		_ = server.Close()
	})
	return server, nil
}

// reportDroppedLines updates the gauge of dropped log lines.
func (b *platformBase) reportDroppedLines(ctx context.Context) error {
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			b.metrics.Gauge("log_lines_dropped").Update(float64(b.logQueue.Dropped()))
		}
	}
}

// metricsPort and metricsPath are where the deployment file expects the
// metrics.
const (
	metricsPort = 19190
	metricsPath = "/metrics"
)

// logFlushTimeout is how long a process waits at its end for its last log lines.
const logFlushTimeout = 300 * time.Millisecond

// writeLog writes the log until the returned function is called, which waits for the lines still
// queued. It is no actor of the group, which waits for its actors without a limit: a write ends
// only when the log is read.
func (b *platformBase) writeLog() (flush func()) {
	ctx, cancel := context.WithCancel(context.Background())
	written := make(chan struct{})
	go func() {
		defer close(written)
		_ = b.logQueue.Run(ctx) // never fails
	}()
	return func() {
		cancel()
		select {
		case <-written:
		case <-time.After(logFlushTimeout):
		}
	}
}

// run starts all actors and waits until the group ends.
func (b *platformBase) run(inst instance) error {
	flushLog := b.writeLog()
	defer flushLog()
	mux := http.NewServeMux()
	mux.Handle("GET "+metricsPath, b.metricsHandler)
	if _, err := b.addServer(netip.AddrPortFrom(b.settings.IP, metricsPort), boundedhttp.Options{
		Port: "metrics", Handler: mux, Limits: smallPortLimits, BodyTimeout: unreadBodyTimeout,
	}); err != nil {
		return err
	}
	b.addActor(b.reportDroppedLines)
	stop := newStopper(inst, b.logger, b.signals.terminations, &b.runs)
	b.group.Add(stop.wait, stop.interrupt)
	b.logger.Info("started", zap.String("role", string(b.role)), zap.String("zone", string(b.settings.Place.Zone)),
		zap.Stringer("peer", b.endpoint.Addr()), zap.Uint64("incarnation", b.incarnation), zap.Strings("switched_off", b.disabled.Names()))
	err := b.group.Run()
	b.cancel()
	b.logger.Info("stopped", zap.Error(err))
	return err
}
