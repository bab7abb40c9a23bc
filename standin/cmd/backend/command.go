package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"time"

	"github.com/spf13/cobra"

	"chivespindle.example/core/failure"
	"chivespindle.example/standin/cmd/internal/untilsignal"
	"chivespindle.example/standin/engine"
	"chivespindle.example/standin/engine/backend"
	"chivespindle.example/standin/plainservice"
)

// anyPort is a loopback address on a port that the operating system chooses.
const anyPort = "127.0.0.1:0"

// listenAddrs are the addresses of one stand-in.
type listenAddrs struct {
	calls string
	admin string
}

// standIn is the common interface of the stand-ins.
type standIn interface {
	Start(listen string) (netip.AddrPort, error)
	Close() error
	AdminHandler() http.Handler
}

func newCommand(out io.Writer) *cobra.Command {
	root := &cobra.Command{
		Use:           "backend",
		Short:         "Run a stand-in of a backend server on a loopback address",
		SilenceUsage:  true,
		SilenceErrors: false,
	}
	root.SetOut(out)
	root.AddCommand(newEngineCommand(), newPlainCommand())
	return root
}

func newEngineCommand() *cobra.Command {
	var addrs listenAddrs
	var options engine.Options
	command := &cobra.Command{
		Use:   "engine",
		Short: "Run a model engine",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := checkSlots(options.Slots); err != nil {
				return err
			}
			return serve(cmd.Context(), cmd.OutOrStdout(), "engine", engine.New(options), addrs)
		},
	}
	flags := command.Flags()
	flags.IntVar(&options.Slots, "slots", 8, "number of requests that run at the same time")
	flags.IntVar(&options.MaxWaiting, "max-waiting", 64, "number of requests that may wait for a slot")
	flags.DurationVar(&options.TokenTime, "token-time", 20*time.Millisecond, "time to generate one token")
	flags.DurationVar(&options.LoadTime, "load-time", 2*time.Second, "time to load a model version")
	flags.DurationVar(&options.LoadReportLag, "report-lag", time.Second, "age of the load that a status reports")
	flags.BoolVar(&options.CheckFence, "check-fence", false, "refuse orders with an outdated fencing number")
	addListenFlags(command, &addrs)
	return command
}

func newPlainCommand() *cobra.Command {
	var addrs listenAddrs
	var options plainservice.Options
	command := &cobra.Command{
		Use:   "plain",
		Short: "Run a plain service",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := checkSlots(options.Slots); err != nil {
				return err
			}
			return serve(cmd.Context(), cmd.OutOrStdout(), "plain", plainservice.New(options), addrs)
		},
	}
	flags := command.Flags()
	flags.IntVar(&options.Slots, "slots", 16, "number of calls that run at the same time")
	flags.DurationVar(&options.Delay, "delay", 0, "duration of one call")
	addListenFlags(command, &addrs)
	return command
}

func checkSlots(slots int) error {
	if slots < 1 {
		return failure.Invalid.New("--slots must be at least 1, got %d", slots)
	}
	return nil
}

func addListenFlags(command *cobra.Command, addrs *listenAddrs) {
	command.Flags().StringVar(&addrs.calls, "listen", anyPort, "loopback address of the backend server")
	command.Flags().StringVar(&addrs.admin, "admin", anyPort, "loopback address of the admin interface (counters and faults)")
}

// serve runs a stand-in until SIGTERM, SIGINT or the end of ctx, and prints
// its addresses as one line of key=value pairs.
func serve(ctx context.Context, out io.Writer, kind string, server standIn, addrs listenAddrs) error {
	calls, err := server.Start(addrs.calls)
	if err != nil {
		return err
	}
	defer func() { _ = server.Close() }()
	var adminServer backend.Server
	admin, err := adminServer.Start(addrs.admin, server.AdminHandler())
	if err != nil {
		return err
	}
	defer func() { _ = adminServer.Close() }()
	fmt.Fprintf(out, "event=listening kind=%s addr=%s admin=%s pid=%d\n", kind, calls, admin, os.Getpid())
	return untilsignal.Wait(ctx)
}
