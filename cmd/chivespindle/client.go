package main

import (
	"context"
	"encoding/json"
	"io"
	"strings"
	"time"

	"github.com/joomcode/errorx"
	"github.com/spf13/cobra"

	"chivespindle.example/adapters/opsclient"
	"chivespindle.example/core/failure"
)

// client is one run of the program.
type client struct {
	stdin          io.Reader
	stdout, stderr io.Writer
	now            func() time.Time
	// sleep waits for d and reports whether ctx is still active.
	sleep func(ctx context.Context, d time.Duration) bool
	build buildInfo

	flags globalFlags
}

// globalFlags apply to every command.
type globalFlags struct {
	output  outputFormat
	entries addressList
	ops     addressList
	timeout time.Duration
}

// run executes a command line and returns the exit code.
func (c *client) run(ctx context.Context, args []string) int {
	// Errors of the command line itself are reported before its flags are
	// parsed.
	c.flags.output = requestedOutput(args)
	root := c.newRootCommand()
	root.SetArgs(args)
	root.SetIn(c.stdin)
	root.SetOut(c.stdout)
	root.SetErr(c.stderr)
	err := root.ExecuteContext(ctx)
	if err == nil {
		return exitOK
	}
	if errorx.Cast(err) == nil {
		// Commands return typed errors, so this one comes from the library's
		// parser.
		err = Usage.New("%s; see chivespindle --help", strings.Join(strings.Fields(err.Error()), " "))
	}
	return c.reportError(err)
}

func (c *client) newRootCommand() *cobra.Command {
	root := &cobra.Command{
		Use:   "chivespindle",
		Short: "Client for operators and callers of chivespindle",
		Long: `Client for operators and callers of chivespindle. It only reads: operators
drive the system by editing the text.

Exit codes: 0 good, 1 failure, 2 wrong command line, 3 input refused, 4 timeout;
of request: 0 ran, 5 not run, 6 unknown, 7 ran before.`,
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	flags := root.PersistentFlags()
	flags.Var(&c.flags.output, "output", "form of what is printed: text or json")
	flags.Var(&c.flags.entries, "entry", "callers' address of an entry, ip:port; may be given again, the next is asked if one does not answer")
	flags.Var(&c.flags.ops, "ops", "operators' address of a process, ip:port; may be given again")
	flags.DurationVar(&c.flags.timeout, "timeout", 0, "most that the command may take (default 5s; follow 10m; request its deadline and 2s)")
	_ = root.RegisterFlagCompletionFunc("output", cobra.FixedCompletions(outputNames, cobra.ShellCompDirectiveNoFileComp))
	for _, name := range []string{"entry", "ops", "timeout"} {
		_ = root.RegisterFlagCompletionFunc(name, cobra.NoFileCompletions)
	}
	root.AddCommand(
		c.newCheckCommand(),
		c.newDiffCommand(),
		c.newStatusCommand(),
		c.newFollowCommand(),
		c.newExplainCommand(),
		c.newAddressesCommand(),
		c.newRequestCommand(),
		c.newKeyCommand(),
		c.newSettingsCommand(),
		c.newVersionCommand(),
	)
	return root
}

// queryTimeout bounds a command that queries a process and prints the result.
const queryTimeout = 5 * time.Second

// withTimeout returns a context with the timeout of the whole command.
func (c *client) withTimeout(ctx context.Context, defaultTimeout time.Duration) (context.Context, context.CancelFunc, error) {
	switch {
	case c.flags.timeout < 0:
		return nil, nil, Usage.New("--timeout must be above 0, got %s", c.flags.timeout)
	case c.flags.timeout > 0:
		defaultTimeout = c.flags.timeout
	}
	limited, cancel := context.WithTimeout(ctx, defaultTimeout)
	return limited, cancel, nil
}

// newOpsClient returns a client of the operators' port, or an error if no
// address was given.
func (c *client) newOpsClient() (*opsclient.Client, error) {
	if len(c.flags.ops) == 0 {
		return nil, Usage.New("--ops ip:port is required: the operators' address of an entry")
	}
	return opsclient.New(), nil
}

// report is the output of a command. Its JSON form is its exported fields.
type report interface {
	writeText(w io.Writer)
}

// print writes a report only after it has been encoded completely, so that an
// error leaves no partial output.
func (c *client) print(r report) error {
	var buffer strings.Builder
	if c.flags.output == outputJSON {
		encoder := json.NewEncoder(&buffer)
		encoder.SetIndent("", "  ")
		if err := encoder.Encode(r); err != nil {
			return failure.Internal.Wrap(err, "the report cannot be encoded")
		}
	} else {
		r.writeText(&buffer)
	}
	return c.write(buffer.String())
}

func (c *client) write(text string) error {
	if _, err := io.WriteString(c.stdout, text); err != nil {
		return failure.Unavailable.Wrap(err, "the output cannot be written")
	}
	return nil
}
