package main

import (
	"fmt"
	"os"
	"runtime/debug"
	"time"

	"github.com/joomcode/errorx"
	"github.com/oklog/run"
	"github.com/spf13/cobra"
	"go.uber.org/zap"

	"chivespindle.example/adapters/settings"
	"chivespindle.example/adapters/telemetry"
	"chivespindle.example/core/failure"
	"chivespindle.example/core/fleet"
	"chivespindle.example/daemon/process"
)

// exitCode returns exitUsage for an error in the operator's input and
// exitFailure for any other failure.
func exitCode(err error) int {
	if errorx.HasTrait(err, failure.Input) {
		return exitUsage
	}
	return exitFailure
}

func newRootCommand() *cobra.Command {
	root := &cobra.Command{
		Use:           "chivespindled",
		Short:         "Distributes model weights and routes requests; one process per instance",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(
		newRoleCommand(fleet.RoleEntry, "Run an entry instance, which accepts requests from callers"),
		newRoleCommand(fleet.RoleAgent, "Run the agent beside one backend server"),
		newPlatformCommand(),
	)
	return root
}

func newRoleCommand(role fleet.Role, short string) *cobra.Command {
	var file string
	var checkOnly bool
	command := &cobra.Command{
		Use:   string(role),
		Short: short,
		Args:  cobra.NoArgs,
	}
	flags := command.Flags()
	flags.StringVar(&file, "settings", "", "settings file (INI)")
	flags.BoolVar(&checkOnly, "check", false, "check the settings and exit")
	settings.AddFlags(flags, role)
	command.RunE = func(*cobra.Command, []string) error {
		s, err := settings.Load(role, file, os.Environ(), settings.FlagValues(flags))
		if err != nil {
			return err
		}
		if checkOnly {
			fmt.Println("settings are valid")
			return nil
		}
		return serve(s)
	}
	return command
}

// instance is a process of either role.
type instance interface {
	Actors() []process.Actor
	// Leave stops gracefully. The signal may have been sent as early as began.
	Leave(began time.Time)
	Close()
}

func newInstance(s *settings.Settings, logger *zap.Logger, opts process.Options) (instance, error) {
	if s.Role == fleet.RoleEntry {
		return process.NewEntry(s, logger, opts)
	}
	return process.NewAgent(s, logger, opts)
}

// serve runs a process until it is asked to stop or fails.
func serve(s *settings.Settings) error {
	signals := handleSignals()
	debug.SetMemoryLimit(s.Limits.MemoryLimit)
	logger := telemetry.NewLogger(s.Log.Level, os.Stdout).With(zap.String("instance", string(s.Instance.ID)))
	inst, err := newInstance(s, logger, process.Options{Hangups: signals.hangups})
	if err != nil {
		return err
	}
	defer inst.Close()
	var group run.Group
	for _, actor := range inst.Actors() {
		group.Add(actor.Execute, actor.Interrupt)
	}
	stop := newStopper(inst, logger, signals.terminations, nil)
	group.Add(stop.wait, stop.interrupt)
	logger.Info("started", zap.String("role", string(s.Role)), zap.Stringer("peer", s.Listen.Peer), zap.Stringer("ops", s.Listen.Ops))
	err = group.Run()
	logger.Info("stopped", zap.Error(err))
	return err
}
