package main

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"chivespindle.example/adapters/opsclient"
	"chivespindle.example/cmd/chivespindle/internal/follow"
	"chivespindle.example/core/failure"
	"chivespindle.example/core/fleet"
	"chivespindle.example/core/revision"
	"chivespindle.example/core/status"
)

const (
	followTimeout = 10 * time.Minute
	// pollTimeout bounds one poll, so that an entry that dies without closing
	// its connection does not delay the others.
	pollTimeout = 2 * time.Second
	// defaultPollInterval is the interval between two polls for a fleet of up
	// to smallFleetSize processes. It grows with the fleet, as does an entry's
	// cost of encoding its status: 21 ms of CPU time for 3,910 processes. At
	// two polls per second that would be 4% of a core.
	defaultPollInterval = 500 * time.Millisecond
	smallFleetSize      = 500
)

func (c *client) newFollowCommand() *cobra.Command {
	var options follow.Options
	var minRevision uint64
	var interval time.Duration
	command := &cobra.Command{
		Use:   "follow [SERVICE...]",
		Short: "Follow a rollout until every replica serves",
		Long: `Follow a rollout: print a line for each change, and end with exit code 0 once
every replica of the services serves its target in the highest revision that
was seen. Replicas that leave are set aside; silent ones are waited for. Ends
with 3 if the fleet refuses the text, and with 4 at --timeout.

Give --revision after you have published a text, so that follow does not end
before the fleet has heard of it.`,
		Example: "  chivespindle follow --ops 127.0.0.1:7101 --revision 12 --timeout 5m",
		RunE: func(command *cobra.Command, services []string) error {
			for _, name := range services {
				options.Services = append(options.Services, fleet.ServiceName(name))
			}
			options.MinRevision = revision.Revision(minRevision)
			return c.follow(command.Context(), options, interval)
		},
		ValidArgsFunction: cobra.NoFileCompletions,
	}
	flags := command.Flags()
	flags.Uint64Var(&minRevision, "revision", 0, "wait until this revision or a higher one is in force")
	flags.BoolVar(&options.Instances, "instances", false, "print a line for each change of a replica as well")
	flags.DurationVar(&interval, "every", 0, "pause between two questions (default 500ms, more for fleets above 500 processes)")
	return command
}

// watch is one run of the follow command.
type watch struct {
	client     *client
	ops        *opsclient.Client
	follower   *follow.Follower
	started    time.Time
	unanswered bool // no entry responded to the last poll
	members    int
}

func (c *client) follow(ctx context.Context, options follow.Options, interval time.Duration) error {
	if interval < 0 {
		return Usage.New("--every must be above 0, got %s", interval)
	}
	ops, err := c.newOpsClient()
	if err != nil {
		return err
	}
	defer ops.Close()
	ctx, cancel, err := c.withTimeout(ctx, followTimeout)
	if err != nil {
		return err
	}
	defer cancel()
	w := &watch{client: c, ops: ops, follower: follow.New(options), started: c.now()}
	status, err := w.fetchStatus(ctx)
	if err != nil {
		return err // report a wrong address immediately
	}
	return w.run(ctx, status, interval)
}

// run observes one status after another until the rollout has finished or ctx
// is done.
func (w *watch) run(ctx context.Context, status *status.Entry, interval time.Duration) error {
	for {
		if status != nil {
			if err := w.print(w.follower.Observe(status)...); err != nil {
				return err
			}
		}
		done, err := w.follower.Done()
		if err != nil {
			return err
		}
		if done {
			return w.print(follow.Event{Kind: follow.KindFinished, Revision: w.follower.Revision()})
		}
		if !w.client.sleep(ctx, w.pollInterval(interval)) {
			return w.stopError(ctx)
		}
		if status, err = w.poll(ctx); err != nil {
			return err
		}
	}
}

func (w *watch) pollInterval(interval time.Duration) time.Duration {
	if interval > 0 {
		return interval
	}
	return defaultPollInterval * time.Duration(max(smallFleetSize, w.members)) / smallFleetSize
}

func (w *watch) stopError(ctx context.Context) error {
	if ctx.Err() == context.Canceled {
		return Canceled.New("stopped while %s", w.follower.Pending())
	}
	return failure.Timeout.New("not at its end in time: %s", w.follower.Pending())
}

func (w *watch) fetchStatus(ctx context.Context) (*status.Entry, error) {
	limited, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	s, err := queryEntries(limited, w.ops, w.client.flags.ops)
	if err != nil {
		return nil, err
	}
	status := s.newest().status
	w.members = len(status.Fleet)
	return status, nil
}

// poll returns no status and no error while no entry responds: entries may be
// replaced during a rollout, as at any other time. The first failure is
// printed.
func (w *watch) poll(ctx context.Context) (*status.Entry, error) {
	status, err := w.fetchStatus(ctx)
	wasUnanswered := w.unanswered
	w.unanswered = err != nil
	if err == nil || wasUnanswered || ctx.Err() != nil {
		return status, nil
	}
	return nil, w.print(follow.Event{Kind: follow.KindUnanswered, Reason: err.Error()})
}

// followLine is the JSON form of an event.
type followLine struct {
	ElapsedMS int64 `json:"elapsed_ms"`
	follow.Event
}

func (w *watch) print(events ...follow.Event) error {
	elapsed := w.client.now().Sub(w.started)
	for _, e := range events {
		line := fmt.Sprintf("%7.1fs  %s\n", elapsed.Seconds(), e)
		if w.client.flags.output == outputJSON {
			encoded, err := json.Marshal(followLine{ElapsedMS: elapsed.Milliseconds(), Event: e})
			if err != nil {
				return failure.Internal.Wrap(err, "the event cannot be encoded")
			}
			line = string(encoded) + "\n"
		}
		if err := w.client.write(line); err != nil {
			return err
		}
	}
	return nil
}
