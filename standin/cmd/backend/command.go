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

// anyPort lets the machine pick a port.
const anyPort = "127.0.0.1:0"

// listens are the addresses of one stand-in.
type listens struct {
	calls string
	admin string
}

// standIn is what the two stand-ins share.
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
	var at listens
	var options engine.Options
	command := &cobra.Command{
		Use:   "engine",
		Short: "Run a model engine",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := checkSlots(options.Slots); err != nil {
				return err
			}
			return serve(cmd.Context(), cmd.OutOrStdout(), "engine", engine.New(options), at)
		},
	}
	flags := command.Flags()
	flags.IntVar(&options.Slots, "slots", 8, "requests that run at once")
	flags.IntVar(&options.MaxWaiting, "max-waiting", 64, "requests that wait for a slot")
	flags.DurationVar(&options.TokenTime, "token-time", 20*time.Millisecond, "time of one token")
	flags.DurationVar(&options.LoadTime, "load-time", 2*time.Second, "time to load a version")
	flags.DurationVar(&options.LoadReportLag, "report-lag", time.Second, "age of the load in a status")
	flags.BoolVar(&options.CheckFence, "check-fence", false, "refuse orders with an old fencing number")
	addListens(command, &at)
	return command
}

func newPlainCommand() *cobra.Command {
	var at listens
	var options plainservice.Options
	command := &cobra.Command{
		Use:   "plain",
		Short: "Run a plain service",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := checkSlots(options.Slots); err != nil {
				return err
			}
			return serve(cmd.Context(), cmd.OutOrStdout(), "plain", plainservice.New(options), at)
		},
	}
	flags := command.Flags()
	flags.IntVar(&options.Slots, "slots", 16, "calls that run at once")
	flags.DurationVar(&options.Delay, "delay", 0, "time of one call")
	addListens(command, &at)
	return command
}

func checkSlots(slots int) error {
	if slots < 1 {
		return failure.Invalid.New("--slots must be at least 1, got %d", slots)
	}
	return nil
}

func addListens(command *cobra.Command, at *listens) {
	command.Flags().StringVar(&at.calls, "listen", anyPort, "loopback address of the backend server")
	command.Flags().StringVar(&at.admin, "admin", anyPort, "loopback address of the counters and faults")
}

// serve runs a stand-in until SIGTERM, SIGINT or the end of ctx, and prints
// its addresses as one line of key=value pairs.
func serve(ctx context.Context, out io.Writer, kind string, server standIn, at listens) error {
	calls, err := server.Start(at.calls)
	if err != nil {
		return err
	}
	defer func() { _ = server.Close() }()
	var adminServer backend.Server
	admin, err := adminServer.Start(at.admin, server.AdminHandler())
	if err != nil {
		return err
	}
	defer func() { _ = adminServer.Close() }()
	fmt.Fprintf(out, "event=listening kind=%s addr=%s admin=%s pid=%d\n", kind, calls, admin, os.Getpid())
	return untilsignal.Wait(ctx)
}
