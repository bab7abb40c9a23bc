package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"

	"github.com/joomcode/errorx"
	"github.com/spf13/cobra"
	"go.uber.org/zap/zapcore"

	"chivespindle.example/adapters/telemetry"
	"chivespindle.example/core/failure"
	"chivespindle.example/standin/cmd/internal/untilsignal"
	"chivespindle.example/standin/platform"
)

// Defaults of the flags, close to the current limits of the platform.
const (
	defaultCallsPerSecond   = 2000
	defaultRequestsPerStore = 20
)

// listenAddrs are the addresses on which the program listens.
type listenAddrs struct {
	config    string
	instances string
	origin    string
	store     string
	admin     string
}

// options are the values of the flags.
type options struct {
	listenAddrs
	configFile string
	config     platform.ConfigOptions
	list       platform.InstanceListOptions
	origin     platform.WeightOptions
	store      platform.WeightOptions
}

func newCommand() *cobra.Command {
	var opts options
	command := &cobra.Command{
		Use:   "standins",
		Short: "Run stand-ins of the platform on loopback addresses",
		Example: "  standins --config 127.0.0.1:7001 --admin 127.0.0.1:7009 --config-file fleet.ini\n" +
			"  curl -X POST 'http://127.0.0.1:7009/admin/models?name=relay&bytes=100000000&chunk_bytes=4194304&seed=1'",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return serve(cmd.Context(), cmd.OutOrStdout(), cmd.ErrOrStderr(), opts)
		},
	}
	addListenFlags(command, &opts.listenAddrs)
	flags := command.Flags()
	flags.StringVar(&opts.configFile, "config-file", "", "file with the initial configuration of the operator")
	flags.IntVar(&opts.config.CallsPerSecond, "config-calls-per-second", defaultCallsPerSecond,
		"calls per second that the configuration service accepts, 0: unlimited")
	flags.DurationVar(&opts.list.Lag, "instances-lag", 0, "delay before a change of the instance list becomes visible")
	flags.Int64Var(&opts.origin.BytesPerSecond, "origin-bytes-per-second", 0, "bandwidth of the origin's link, 0: unlimited")
	flags.Int64Var(&opts.store.BytesPerSecond, "store-bytes-per-second", 0, "bandwidth of the store's link, 0: unlimited")
	flags.Float64Var(&opts.store.RequestsPerSecond, "store-requests-per-second", defaultRequestsPerStore,
		"requests per second that the store accepts, 0: unlimited")
	return command
}

func addListenFlags(command *cobra.Command, addrs *listenAddrs) {
	flags := command.Flags()
	flags.StringVar(&addrs.config, "config", platform.AnyPort, "loopback address of the configuration service")
	flags.StringVar(&addrs.instances, "instances", platform.AnyPort, "loopback address of the instance list")
	flags.StringVar(&addrs.origin, "origin", platform.AnyPort, "loopback address of the origin of weights")
	flags.StringVar(&addrs.store, "store", platform.AnyPort, "loopback address of the weight store")
	flags.StringVar(&addrs.admin, "admin", platform.AnyPort, "loopback address of the admin interface")
}

// serve runs the stand-ins until SIGTERM, SIGINT or the end of ctx, and prints
// their base URLs as one line of key=value pairs on out.
func serve(ctx context.Context, out, logOut io.Writer, opts options) error {
	services, err := newServices(opts)
	if err != nil {
		return err
	}
	log := telemetry.NewLogger(zapcore.InfoLevel, logOut)
	started, err := startAll(services, newAdmin(services, log), opts.listenAddrs)
	defer started.stop()
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(out, "event=listening %s pid=%d\n", started, os.Getpid())
	if err != nil {
		return failure.Unavailable.Wrap(err, "print the addresses")
	}
	return untilsignal.Wait(ctx)
}

// services are the stand-ins of the platform.
type services struct {
	config *platform.ConfigService
	list   *platform.InstanceList
	origin *platform.WeightServer
	store  *platform.WeightServer
}

func newServices(opts options) (*services, error) {
	s := &services{
		config: platform.NewConfigService(opts.config),
		list:   platform.NewInstanceList(opts.list),
		origin: platform.NewWeightServer(opts.origin),
		store:  platform.NewWeightServer(opts.store),
	}
	if opts.configFile == "" {
		return s, nil
	}
	text, err := os.ReadFile(opts.configFile)
	if err != nil {
		return nil, failure.Invalid.Wrap(err, "--config-file")
	}
	if len(text) > maxConfigBytes {
		return nil, failure.Invalid.New("--config-file %s has %d bytes, the platform stores at most %d",
			opts.configFile, len(text), maxConfigBytes)
	}
	s.config.SetConfig(text)
	return s, nil
}

// startedServers are the listening servers in the order in which String lists
// them.
type startedServers []startedServer

type startedServer struct {
	name   string
	server *platform.Server
}

// startAll starts the servers. If one fails to start, it returns an error and the
// servers started before it, which the caller must stop.
func startAll(s *services, admin http.Handler, addrs listenAddrs) (startedServers, error) {
	wanted := []struct {
		name    string
		handler http.Handler
		addr    string
	}{
		{"config", s.config, addrs.config},
		{"instances", s.list, addrs.instances},
		{"origin", s.origin, addrs.origin},
		{"store", s.store, addrs.store},
		{"admin", admin, addrs.admin},
	}
	var started startedServers
	for _, want := range wanted {
		server, err := platform.Start(want.handler, want.addr)
		if err != nil {
			return started, errorx.Decorate(err, "start --%s", want.name)
		}
		started = append(started, startedServer{name: want.name, server: server})
	}
	return started, nil
}

func (s startedServers) stop() {
	for _, each := range s {
		each.server.Stop()
	}
}

// String returns the names and base URLs as key=value pairs.
func (s startedServers) String() string {
	var pairs []string
	for _, each := range s {
		pairs = append(pairs, each.name+"="+each.server.URL())
	}
	return strings.Join(pairs, " ")
}
