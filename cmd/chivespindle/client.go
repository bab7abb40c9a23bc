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
	// pause waits, and reports whether ctx lets the caller go on.
	pause func(ctx context.Context, d time.Duration) bool
	build build

	flags globalFlags
}

// globalFlags hold for every command.
type globalFlags struct {
	output  outputFormat
	entries addressList
	ops     addressList
	timeout time.Duration
}

// run carries out a command line and returns the exit code.
func (c *client) run(ctx context.Context, args []string) int {
	// Errors of the command line itself come before its flags are read.
	c.flags.output = wantedOutput(args)
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
		// Commands return typed errors; this one is of the library's parser.
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
	_ = root.RegisterFlagCompletionFunc("output", cobra.FixedCompletions(outputWords, cobra.ShellCompDirectiveNoFileComp))
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

// questionTimeout bounds a command that asks and prints.
const questionTimeout = 5 * time.Second

// withTimeout returns a context for the whole command.
func (c *client) withTimeout(ctx context.Context, byDefault time.Duration) (context.Context, context.CancelFunc, error) {
	switch {
	case c.flags.timeout < 0:
		return nil, nil, Usage.New("--timeout must be above 0, got %s", c.flags.timeout)
	case c.flags.timeout > 0:
		byDefault = c.flags.timeout
	}
	limited, cancel := context.WithTimeout(ctx, byDefault)
	return limited, cancel, nil
}

// newOpsClient returns a client of the operators' port, if an address was
// given.
func (c *client) newOpsClient() (*opsclient.Client, error) {
	if len(c.flags.ops) == 0 {
		return nil, Usage.New("--ops ip:port is required: the operators' address of an entry")
	}
	return opsclient.New(), nil
}

// report is what a command prints, in either form. Its JSON is its exported
// fields.
type report interface {
	writeText(w io.Writer)
}

// print writes a report at once, so that an error in the middle prints none.
func (c *client) print(r report) error {
	var page strings.Builder
	if c.flags.output == outputJSON {
		encoder := json.NewEncoder(&page)
		encoder.SetIndent("", "  ")
		if err := encoder.Encode(r); err != nil {
			return failure.Internal.Wrap(err, "the report cannot be encoded")
		}
	} else {
		r.writeText(&page)
	}
	return c.write(page.String())
}

func (c *client) write(text string) error {
	if _, err := io.WriteString(c.stdout, text); err != nil {
		return failure.Unavailable.Wrap(err, "the output cannot be written")
	}
	return nil
}
