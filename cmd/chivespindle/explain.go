package main

import (
	"context"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/joomcode/errorx"
	"github.com/spf13/cobra"

	"chivespindle.example/adapters/opsclient"
	"chivespindle.example/core/balance"
	"chivespindle.example/core/failure"
	"chivespindle.example/core/fleet"
	"chivespindle.example/core/status"
)

// defaultLossWindow is the default length of a window of --losses: twice the
// interval at which an entry logs its results.
const defaultLossWindow = 2 * time.Second

func (c *client) newExplainCommand() *cobra.Command {
	priority := unsetUrgency
	var prefix, request, server string
	var losses bool
	var window time.Duration
	command := &cobra.Command{
		Use:   "explain SERVICE | explain --request ID [LOG...] | explain --losses [LOG...]",
		Short: "Show why each server would or would not be chosen, or why requests failed",
		Long: `Show how an entry would choose a backend server of the service for a request
now. Each entry chooses by its own state, so the result holds for that entry.
With several --ops, the first response is shown.

With --request, read the logs of processes from files, or from the standard
input, and show what happened to a request on the users' platform and why. Give
the logs of all entries and agents: what they log about themselves around that
time is part of the report. With --server as well, show for that server, if it
was leaving, which server list the entries used; needed for a request that no
line names.

With --losses, read the logs of entries and show by time and by route how many
calls were served as their routes require, and the results of the others.`,
		Example: `  chivespindle explain spindle-pool --prefix fault-log --ops 127.0.0.1:7101
  chivespindle explain --request 7f8876cacd2f5ae4 front-*.log side-*.log
  chivespindle explain --losses --every 2s front-*.log`,
		Args: func(command *cobra.Command, args []string) error {
			if request != "" || losses {
				return nil
			}
			return cobra.ExactArgs(1)(command, args)
		},
		RunE: func(command *cobra.Command, args []string) error {
			switch {
			case losses && request != "":
				return RefusedInput.New("--request and --losses are two questions; ask one")
			case server != "" && request == "":
				return RefusedInput.New("--server needs --request")
			case losses && window <= 0:
				return RefusedInput.New("--every must be longer than 0")
			case losses:
				return c.explainLosses(window, args)
			case request != "":
				return c.explainRequest(request, server, args)
			}
			q := opsclient.ExplainRequest{Service: fleet.ServiceName(args[0]), Prefix: prefix, Priority: int(priority)}
			return c.explain(command.Context(), q)
		},
	}
	command.Flags().StringVar(&request, "request", "", "id of a request to look up in logs")
	command.Flags().StringVar(&server, "server", "", "with --request, id of a server that it reached")
	command.Flags().BoolVar(&losses, "losses", false, "count in logs the calls that were not served as their routes require")
	command.Flags().DurationVar(&window, "every", defaultLossWindow, "length of the windows of --losses")
	command.Flags().StringVar(&prefix, "prefix", "", "name of the request's prompt prefix")
	command.Flags().Var(&priority, "priority", "urgency of the request, u=0 (first) to u=7")
	return command
}

func (c *client) explain(ctx context.Context, q opsclient.ExplainRequest) error {
	ops, err := c.newOpsClient()
	if err != nil {
		return err
	}
	defer ops.Close()
	ctx, cancel, err := c.withTimeout(ctx, queryTimeout)
	if err != nil {
		return err
	}
	defer cancel()
	explanation, err := c.queryExplanation(ctx, ops, q)
	if err != nil {
		return err
	}
	return c.print(explainReport{explanation})
}

// queryExplanation queries the addresses in turn, each with an equal share of
// the timeout.
func (c *client) queryExplanation(ctx context.Context, ops *opsclient.Client, q opsclient.ExplainRequest) (*status.Explanation, error) {
	deadline, _ := ctx.Deadline()
	share := time.Until(deadline) / time.Duration(len(c.flags.ops))
	var last error
	for _, addr := range c.flags.ops {
		limited, cancel := context.WithTimeout(ctx, share)
		explanation, err := ops.Explain(limited, addr, q)
		cancel()
		if err == nil {
			return explanation, nil
		}
		last = err
		if !errorx.HasTrait(err, failure.Temporary) {
			break // another entry would return the same error
		}
	}
	return nil, last
}

// explainReport shows an explanation. Its JSON form is the entry's response.
type explainReport struct{ *status.Explanation }

func (r explainReport) writeText(w io.Writer) {
	fmt.Fprintf(w, "%s at revision %d, for a request to %s with priority u=%d", r.Entry, r.Revision, r.Service, r.Priority)
	if r.Prefix != "" {
		fmt.Fprintf(w, " and prefix %s", r.Prefix)
	}
	fmt.Fprintln(w)
	t := newTable("SERVER", "TIER", "VERDICT", "COST", "IN-FLIGHT", "OTHERS", "SLOTS", "REPORT", "WHY")
	for _, s := range r.Candidates {
		t.addRow(string(s.ID), s.Tier, string(s.Verdict), formatDecimal(s.Cost), strconv.Itoa(s.InFlight),
			formatDecimal(s.OtherInFlight), strconv.FormatFloat(s.Slots, 'f', -1, 64), formatAge(s.ReportAgeMS), formatReason(s))
	}
	for _, s := range r.Unknown {
		t.addRow(string(s.ID), emptyCell, "unknown", emptyCell, emptyCell, emptyCell, emptyCell, emptyCell, s.Reason)
	}
	t.write(w)
	if len(r.Candidates)+len(r.Unknown) == 0 {
		fmt.Fprintln(w, "the entry knows no server of this service")
	}
}

// formatDecimal formats with two decimals, enough to distinguish costs.
func formatDecimal(value float64) string {
	const decimals = 2
	return strconv.FormatFloat(value, 'f', decimals, 64)
}

func formatAge(ms int64) string {
	if ms < 0 {
		return "never"
	}
	return (time.Duration(ms) * time.Millisecond).String()
}

// verdictReasons describes the verdicts.
var verdictReasons = map[balance.Verdict]string{
	balance.Eligible: "may be chosen",
	balance.Excluded: "already tried for this request",
	balance.Draining: "accepts no new requests: it is leaving or changing its version",
	balance.Ejected:  "its recent responses failed or stalled",
	balance.Busy:     "recently refused a request and asked for a pause",
	balance.Full:     "its slots and its short queue are full",
}

func formatReason(s status.Candidate) string {
	var parts []string
	if reason, known := verdictReasons[s.Verdict]; known {
		parts = append(parts, reason)
	}
	if s.EjectedMS > 0 {
		parts = append(parts, "eligible again in "+formatAge(s.EjectedMS))
	}
	if s.Preferred {
		parts = append(parts, "the prefix leads here")
	}
	return strings.Join(parts, "; ")
}
