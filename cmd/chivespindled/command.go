package main

import (
	"fmt"
	"os"
	"runtime/debug"

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

// exitCode tells a mistake of the operator from a failure of the program.
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
		newRoleCommand(fleet.RoleEntry, "Run an entry instance, which takes requests from callers"),
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
			fmt.Println("settings are good")
			return nil
		}
		return serve(s)
	}
	return command
}

// member is a process of either role.
type member interface {
	Actors() []process.Actor
	Leave()
	Close()
}

func newMember(s *settings.Settings, logger *zap.Logger) (member, error) {
	if s.Role == fleet.RoleEntry {
		return process.NewEntry(s, logger, process.Options{})
	}
	return process.NewAgent(s, logger, process.Options{})
}

// serve runs a process until it is told to stop or fails.
func serve(s *settings.Settings) error {
	debug.SetMemoryLimit(s.Limits.MemoryLimit)
	logger := telemetry.NewLogger(s.Log.Level, os.Stdout).With(zap.String("instance", string(s.Instance.ID)))
	m, err := newMember(s, logger)
	if err != nil {
		return err
	}
	defer m.Close()
	var group run.Group
	for _, actor := range m.Actors() {
		group.Add(actor.Execute, actor.Interrupt)
	}
	stop := newStopper(m, logger)
	group.Add(stop.wait, stop.interrupt)
	logger.Info("started", zap.String("role", string(s.Role)), zap.Stringer("peer", s.Listen.Peer), zap.Stringer("ops", s.Listen.Ops))
	err = group.Run()
	logger.Info("stopped", zap.Error(err))
	return err
}
