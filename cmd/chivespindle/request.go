package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"path"
	"strings"
	"time"

	"github.com/joomcode/errorx"
	"github.com/spf13/cobra"

	"chivespindle.example/adapters/callerclient"
	"chivespindle.example/cmd/chivespindle/internal/callstream"
	"chivespindle.example/core/failure"
	"chivespindle.example/core/fleet"
)

const (
	defaultDeadline = 30 * time.Second
	maxDeadline     = time.Hour
	// deadlineGrace is how much longer than the deadline the client waits. The
	// entry reports the outcome at the deadline, which is better than the
	// "unknown" of a client that has disconnected.
	deadlineGrace = 2 * time.Second
	// addressTimeout bounds the query for addresses.
	addressTimeout = 2 * time.Second
	// maxRequestBody bounds the memory used if the path is wrong. Entries
	// accept less.
	maxRequestBody = 64 << 20
	maxKeyBytes    = 256
)

// requestFlags holds the flags of the request command.
type requestFlags struct {
	path, body, workspace, key, prefix string
	nonIdempotent                      bool
	priority                           urgency
	deadline                           time.Duration
}

func (c *client) newRequestCommand() *cobra.Command {
	f := requestFlags{priority: unsetUrgency}
	command := &cobra.Command{
		Use:   "request SERVICE",
		Short: "Send a request as a caller does",
		Long: `Send a request as a caller does. The response goes to the standard output as it
arrives; the outcome, the version that produced it and the entry go to the
standard error. An interrupt cancels the request.

The exit code is 0 if the request ran and the response is complete, 5 if it was
not run, 6 if it may have run, and 7 if it ran before with the same key. Before
anything is sent it is 2 for a wrong command line and 3 for a body that cannot
be read.`,
		Example: `  echo '{"prompt":"Read this fault log: E14","max_tokens":64}' |
    chivespindle request spindle-pool --body - --entry 127.0.0.1:7100`,
		Args: cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			return c.request(command.Context(), fleet.ServiceName(args[0]), f)
		},
		ValidArgsFunction: cobra.NoFileCompletions,
	}
	flags := command.Flags()
	flags.StringVar(&f.path, "path", "", "path below the service")
	flags.StringVar(&f.body, "body", "", "file with the body, - for the standard input (default: no body)")
	flags.StringVar(&f.workspace, "workspace", "", "workspace whose limits apply")
	flags.StringVar(&f.key, "key", "", "idempotency key")
	flags.BoolVar(&f.nonIdempotent, "non-idempotent", false, "run at most once; needs --key")
	flags.Var(&f.priority, "priority", "urgency, u=0 (first) to u=7 (default: the workspace's)")
	flags.DurationVar(&f.deadline, "deadline", defaultDeadline, "how long to wait, at most 1h; it is sent to the entry")
	flags.StringVar(&f.prefix, "prefix", "", "name of a prompt prefix that several requests share")
	return command
}

func (c *client) request(ctx context.Context, service fleet.ServiceName, f requestFlags) error {
	if err := f.check(service); err != nil {
		return err
	}
	ctx, cancel, err := c.withTimeout(ctx, f.deadline+deadlineGrace)
	if err != nil {
		return err
	}
	defer cancel()
	caller, err := c.newCallerClient(addressTimeout, fleet.Place{})
	if err != nil {
		return err
	}
	body, err := c.requestBody(f.body)
	if err != nil {
		return err
	}
	call := &callReport{}
	err = c.send(ctx, caller, call, callerclient.Request{
		Service:        service,
		Path:           f.path,
		Workspace:      fleet.Workspace(f.workspace),
		IdempotencyKey: f.key,
		NonIdempotent:  f.nonIdempotent,
		Priority:       f.priority.String(),
		Prefix:         f.prefix,
		Deadline:       f.deadline,
		Body:           body,
	})
	if err != nil {
		call.setOutcome(failure.OutcomeOf(err), failure.RetryAfter(err))
		return withCallReport(err, call)
	}
	call.setOutcome(failure.Ran, 0)
	c.printCallReport(call)
	return nil
}

func (c *client) send(ctx context.Context, caller *callerclient.Client, call *callReport, r callerclient.Request) error {
	entries, err := caller.Addresses(ctx)
	if err != nil {
		return err
	}
	result, err := callstream.New().Send(ctx, entries, r, c.stdout)
	call.setResponse(result)
	return err
}

// requestBody reads the whole body before anything is sent, because its length
// is sent first.
func (c *client) requestBody(file string) ([]byte, error) {
	if file == "" {
		return nil, nil
	}
	body, err := c.readFile(file, maxRequestBody)
	if err != nil {
		return nil, RefusedInput.New("%s: cannot be read: %s", file, readErrorReason(err))
	}
	if len(body) > maxRequestBody {
		return nil, RefusedInput.New("%s: larger than %s", file, formatBytes(maxRequestBody))
	}
	return body, nil
}

// check rejects what no entry would accept, while it is certain that nothing
// has been sent.
func (f requestFlags) check(service fleet.ServiceName) error {
	switch {
	case service == "" || strings.Contains(string(service), "/"):
		return Usage.New("SERVICE must be the name of a service, got %q", service)
	case !isCleanPath(string(service) + "/" + f.path):
		return Usage.New("--path must have no empty, . or .. parts and no leading slash, got %q", f.path)
	case f.nonIdempotent && f.key == "":
		return Usage.New("--non-idempotent needs --key; get one with chivespindle key SERVICE")
	case len(f.key) > maxKeyBytes:
		return Usage.New("--key has %d bytes, at most %d are allowed", len(f.key), maxKeyBytes)
	case f.deadline <= 0 || f.deadline > maxDeadline:
		return Usage.New("--deadline must be above 0 and at most %s, got %s", maxDeadline, f.deadline)
	}
	for name, value := range map[string]string{"workspace": f.workspace, "key": f.key, "prefix": f.prefix} {
		if strings.ContainsFunc(value, isControl) {
			return Usage.New("--%s must have no control characters", name)
		}
	}
	return nil
}

// isCleanPath reports whether an entry accepts the path as it is. It responds
// to any other path with a redirect.
func isCleanPath(p string) bool {
	p = strings.TrimSuffix(p, "/")
	return p == path.Clean(p) && !strings.HasPrefix(p, "..")
}

func isControl(r rune) bool { return r < ' ' || r == '\x7f' }

// callReport describes the result of one request, without the response body.
type callReport struct {
	Outcome      string `json:"outcome"`
	Status       int    `json:"status,omitempty"`  // of the backend server
	Version      string `json:"version,omitempty"` // that produced the response
	Entry        string `json:"entry,omitempty"`
	RequestID    string `json:"request_id,omitempty"`
	Bytes        int64  `json:"bytes"`
	RetryAfterMS int64  `json:"retry_after_ms,omitempty"`

	outcome failure.Outcome
}

func (r *callReport) setResponse(a callstream.Response) {
	r.Status = a.Status
	r.Version = a.Version
	r.RequestID = a.RequestID
	r.Bytes = a.Bytes
	if a.Entry.IsValid() {
		r.Entry = a.Entry.String()
	}
}

func (r *callReport) setOutcome(outcome failure.Outcome, retryAfter time.Duration) {
	r.outcome = outcome
	r.Outcome = outcome.String()
	r.RetryAfterMS = retryAfter.Milliseconds()
}

// writeText writes one line of key=value pairs, without those that are empty.
func (r *callReport) writeText(w io.Writer) {
	line := "outcome=" + r.Outcome
	if r.Status != 0 {
		line += fmt.Sprintf(" status=%d", r.Status)
	}
	if r.Version != "" {
		line += " version=" + r.Version
	}
	if r.Entry != "" {
		line += " entry=" + r.Entry
	}
	if r.RequestID != "" {
		line += " request_id=" + r.RequestID
	}
	line += fmt.Sprintf(" bytes=%d", r.Bytes)
	if r.RetryAfterMS > 0 {
		line += fmt.Sprintf(" retry_after_ms=%d", r.RetryAfterMS)
	}
	_, _ = fmt.Fprintln(w, line) // the exit code reports the outcome as well
}

func (c *client) printCallReport(call *callReport) {
	if c.flags.output == outputJSON {
		_ = json.NewEncoder(c.stderr).Encode(call) // the exit code reports the outcome as well
		return
	}
	call.writeText(c.stderr)
}

// withCallReport returns err with call attached, for the error report.
func withCallReport(err error, call *callReport) error {
	typed := errorx.Cast(err)
	if typed == nil {
		typed = failure.Internal.Wrap(err, "the request failed")
	}
	return typed.WithProperty(callProperty, call)
}
