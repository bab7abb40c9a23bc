package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"time"

	"github.com/joomcode/errorx"
	"github.com/spf13/cobra"

	"chivespindle.example/adapters/callerclient"
	"chivespindle.example/core/failure"
	"chivespindle.example/core/fleet"
)

// newCallerClient returns a caller's client for the given entries. Each entry
// gets an equal share of the timeout, so that one that hangs leaves time for
// the next.
func (c *client) newCallerClient(timeout time.Duration, place fleet.Place) (*callerclient.Client, error) {
	if len(c.flags.entries) == 0 {
		return nil, Usage.New("--entry ip:port is required: the callers' address of an entry")
	}
	return callerclient.New(callerclient.Options{
		Seeds:   c.flags.entries,
		Place:   place,
		Timeout: timeout / time.Duration(len(c.flags.entries)),
	}), nil
}

// withCaller calls query with a caller's client and the command's timeout.
func (c *client) withCaller(ctx context.Context, place fleet.Place, query func(context.Context, *callerclient.Client) error) error {
	ctx, cancel, err := c.withTimeout(ctx, queryTimeout)
	if err != nil {
		return err
	}
	defer cancel()
	deadline, _ := ctx.Deadline()
	caller, err := c.newCallerClient(time.Until(deadline), place)
	if err != nil {
		return err
	}
	if err := query(ctx, caller); err != nil {
		return asTimeout(err)
	}
	return nil
}

// asTimeout wraps err in failure.Timeout if it was caused by the command's
// deadline. errorx hides causes from package errors, so the chain is walked
// here.
func asTimeout(err error) error {
	for cause := err; cause != nil; {
		if errors.Is(cause, context.DeadlineExceeded) {
			return failure.Timeout.Wrap(err, "no answer in time")
		}
		typed := errorx.Cast(cause)
		if typed == nil {
			break
		}
		cause = typed.Cause()
	}
	return err
}

// addressReport lists the addresses that a caller should use.
type addressReport struct {
	Addresses []netip.AddrPort `json:"addresses"`
}

func (r addressReport) writeText(w io.Writer) {
	for _, addr := range r.Addresses {
		fmt.Fprintln(w, addr)
	}
}

func (c *client) newAddressesCommand() *cobra.Command {
	var zone, region string
	command := &cobra.Command{
		Use:     "addresses",
		Short:   "Ask which entry addresses a caller should use, best first",
		Example: "  chivespindle addresses --zone apapa-hall --region lagos --entry 127.0.0.1:7100",
		Args:    cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			place := fleet.Place{Zone: fleet.Zone(zone), Region: fleet.Region(region)}
			return c.withCaller(command.Context(), place, func(ctx context.Context, caller *callerclient.Client) error {
				addresses, err := caller.Addresses(ctx)
				if err != nil {
					return err
				}
				return c.print(addressReport{addresses})
			})
		},
	}
	command.Flags().StringVar(&zone, "zone", "", "availability zone of the caller")
	command.Flags().StringVar(&region, "region", "", "region of the caller")
	return command
}

// keyReport is an idempotency key.
type keyReport struct {
	Key string `json:"idempotency_key"`
}

func (r keyReport) writeText(w io.Writer) { fmt.Fprintln(w, r.Key) }

func (c *client) newKeyCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "key SERVICE",
		Short: "Ask for an idempotency key",
		Long: `Request an idempotency key for one piece of work at a service. It names the one
process that may run the work, so that a retry with it never runs the work twice.`,
		Example: "  chivespindle key workshop-api --entry 127.0.0.1:7100",
		Args:    cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			return c.withCaller(command.Context(), fleet.Place{}, func(ctx context.Context, caller *callerclient.Client) error {
				key, err := caller.IssueKey(ctx, fleet.ServiceName(args[0]))
				if err != nil {
					return err
				}
				return c.print(keyReport{key})
			})
		},
		ValidArgsFunction: cobra.NoFileCompletions,
	}
}
