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

// Defaults of the flags, close to what the platform gives today.
const (
	defaultCallsPerSecond   = 2000
	defaultRequestsPerStore = 20
)

// listens are the addresses that the program serves.
type listens struct {
	config    string
	instances string
	origin    string
	store     string
	admin     string
}

// options are the flags.
type options struct {
	listens
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
	addListens(command, &opts.listens)
	flags := command.Flags()
	flags.StringVar(&opts.configFile, "config-file", "", "file of the operator's text to start with")
	flags.IntVar(&opts.config.CallsPerSecond, "config-calls-per-second", defaultCallsPerSecond,
		"calls a second that the configuration service answers, 0: all")
	flags.DurationVar(&opts.list.Lag, "instances-lag", 0, "time that a change of the instance list stays hidden")
	flags.Int64Var(&opts.origin.BytesPerSecond, "origin-bytes-per-second", 0, "rate of the origin's link, 0: unlimited")
	flags.Int64Var(&opts.store.BytesPerSecond, "store-bytes-per-second", 0, "rate of the store's link, 0: unlimited")
	flags.Float64Var(&opts.store.RequestsPerSecond, "store-requests-per-second", defaultRequestsPerStore,
		"requests a second that the store answers, 0: all")
	return command
}

func addListens(command *cobra.Command, at *listens) {
	flags := command.Flags()
	flags.StringVar(&at.config, "config", platform.AnyPort, "loopback address of the configuration service")
	flags.StringVar(&at.instances, "instances", platform.AnyPort, "loopback address of the instance list")
	flags.StringVar(&at.origin, "origin", platform.AnyPort, "loopback address of the origin of weights")
	flags.StringVar(&at.store, "store", platform.AnyPort, "loopback address of the weight store")
	flags.StringVar(&at.admin, "admin", platform.AnyPort, "loopback address of the admin interface")
}

// serve runs the stand-ins until SIGTERM, SIGINT or the end of ctx, and prints
// their base URLs as one line of key=value pairs on out.
func serve(ctx context.Context, out, logOut io.Writer, opts options) error {
	services, err := newServices(opts)
	if err != nil {
		return err
	}
	log := telemetry.NewLogger(zapcore.InfoLevel, logOut)
	started, err := startAll(services, newAdmin(services, log), opts.listens)
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
	if len(text) > maxTextBytes {
		return nil, failure.Invalid.New("--config-file %s has %d bytes, the platform holds at most %d",
			opts.configFile, len(text), maxTextBytes)
	}
	s.config.SetConfig(text)
	return s, nil
}

// startedServers are the listening servers in the order that they are named.
type startedServers []startedServer

type startedServer struct {
	name   string
	server *platform.Server
}

// startAll returns the servers that started, also with a failure.
func startAll(s *services, admin http.Handler, at listens) (startedServers, error) {
	wanted := []struct {
		name    string
		handler http.Handler
		addr    string
	}{
		{"config", s.config, at.config},
		{"instances", s.list, at.instances},
		{"origin", s.origin, at.origin},
		{"store", s.store, at.store},
		{"admin", admin, at.admin},
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

// String returns key=value pairs of the names and base URLs.
func (s startedServers) String() string {
	var pairs []string
	for _, each := range s {
		pairs = append(pairs, each.name+"="+each.server.URL())
	}
	return strings.Join(pairs, " ")
}
