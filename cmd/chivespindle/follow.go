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
	// pollTimeout bounds one question, so that an entry that dies without
	// closing its connection does not hold up the others.
	pollTimeout = 2 * time.Second
	// defaultPoll is the pause between two questions for a fleet of up to
	// smallFleet processes. It grows with the fleet, since an entry's work for
	// a status does: in a trial, encoding that of 3,910 processes took 21 ms of
	// processor time. Twice a second that would be 4% of a core.
	defaultPoll = 500 * time.Millisecond
	smallFleet  = 500
)

func (c *client) newFollowCommand() *cobra.Command {
	var options follow.Options
	var atLeast uint64
	var every time.Duration
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
			options.AtLeast = revision.Revision(atLeast)
			return c.follow(command.Context(), options, every)
		},
		ValidArgsFunction: cobra.NoFileCompletions,
	}
	flags := command.Flags()
	flags.Uint64Var(&atLeast, "revision", 0, "wait until this revision or a higher one is in force")
	flags.BoolVar(&options.Instances, "instances", false, "print a line for each change of a replica as well")
	flags.DurationVar(&every, "every", 0, "pause between two questions (default 500ms, more for fleets above 500 processes)")
	return command
}

// watch is one run of the follow command.
type watch struct {
	client   *client
	ops      *opsclient.Client
	follower *follow.Follower
	started  time.Time
	silent   bool // no entry answered the last question
	members  int
}

func (c *client) follow(ctx context.Context, options follow.Options, every time.Duration) error {
	if every < 0 {
		return Usage.New("--every must be above 0, got %s", every)
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
	status, err := w.ask(ctx)
	if err != nil {
		return err // a wrong address shows at once
	}
	return w.run(ctx, status, every)
}

// run goes from one status to the next until the rollout's end, or ctx's.
func (w *watch) run(ctx context.Context, status *status.Entry, every time.Duration) error {
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
			return w.print(follow.Event{Kind: follow.Finished, Revision: w.follower.Revision()})
		}
		if !w.client.pause(ctx, w.pollPause(every)) {
			return w.stopped(ctx)
		}
		if status, err = w.askAgain(ctx); err != nil {
			return err
		}
	}
}

func (w *watch) pollPause(every time.Duration) time.Duration {
	if every > 0 {
		return every
	}
	return defaultPoll * time.Duration(max(smallFleet, w.members)) / smallFleet
}

func (w *watch) stopped(ctx context.Context) error {
	if ctx.Err() == context.Canceled {
		return Canceled.New("stopped while %s", w.follower.Pending())
	}
	return failure.Timeout.New("not at its end in time: %s", w.follower.Pending())
}

func (w *watch) ask(ctx context.Context) (*status.Entry, error) {
	limited, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	s, err := askEntries(limited, w.ops, w.client.flags.ops)
	if err != nil {
		return nil, err
	}
	status := s.best().status
	w.members = len(status.Fleet)
	return status, nil
}

// askAgain goes on without a status while no entry answers: entries are
// replaced during a rollout as at any time.
func (w *watch) askAgain(ctx context.Context) (*status.Entry, error) {
	status, err := w.ask(ctx)
	wasSilent := w.silent
	w.silent = err != nil
	if err == nil || wasSilent || ctx.Err() != nil {
		return status, nil
	}
	return nil, w.print(follow.Event{Kind: follow.Unanswered, Reason: err.Error()})
}

// followLine is an event as a line of JSON.
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
