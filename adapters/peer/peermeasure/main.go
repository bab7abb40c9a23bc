// Command peermeasure measures what idle connections between processes cost:
// memory for each, and bytes a second for each. It takes two processes, so
// that only one side's memory is counted. One holds many endpoints, the other
// is the single one that is measured:
//
//	peermeasure hold  --first 127.0.0.1:21000 --count 400 ...
//	peermeasure count --listen 127.0.0.1:20000 --dial 127.0.0.1:21000 --count 400 ...
//
// measures dialled connections, and
//
//	peermeasure count --listen 127.0.0.1:20000 --count 400 ...
//	peermeasure hold  --first 127.0.0.1:21000 --dial 127.0.0.1:20000 --count 400 ...
//
// accepted ones. It prints lines of key=value pairs.
package main

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"os/signal"
	"time"

	"github.com/spf13/cobra"

	"chivespindle.example/adapters/keys"
	"chivespindle.example/adapters/peer"
)

// unusedTimeout keeps idle connections for as long as anyone measures.
const unusedTimeout = 24 * time.Hour

// flags are those of both commands.
type flags struct {
	files keys.Files
	dial  string
	count int
	alive time.Duration
}

func (f *flags) register(command *cobra.Command) {
	set := command.Flags()
	set.StringVar(&f.files.Authority, "authority", "authority.pem", "PEM file")
	set.StringVar(&f.files.Certificate, "certificate", "", "PEM file")
	set.StringVar(&f.files.Key, "key", "", "PEM file")
	set.StringVar(&f.dial, "dial", "", "address to dial; empty to accept")
	set.IntVar(&f.count, "count", 100, "number of connections")
	set.DurationVar(&f.alive, "keep-alive", peer.DefaultKeepAlive, "keep-alive of the dialling side")
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	root := &cobra.Command{
		Use:           "peermeasure",
		Short:         "Measure what idle connections between processes cost",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(newHoldCommand(), newCountCommand())
	if err := root.ExecuteContext(ctx); err != nil {
		fmt.Fprintf(os.Stderr, "peermeasure: %v\n", err)
		os.Exit(1)
	}
}

// echo answers each message with itself.
type echo struct{}

func (echo) ServeStream(_ context.Context, _ keys.Identity, _ peer.Kind, s *peer.Stream) {
	var message string
	for s.Recv(&message) == nil {
		if s.Send(message) != nil {
			return
		}
	}
}

func newEndpoint(ctx context.Context, store *keys.Store, listen netip.AddrPort, alive time.Duration) (*peer.Endpoint, error) {
	endpoint, err := peer.New(peer.Options{
		Listen:        listen,
		Keys:          store,
		Handler:       echo{},
		KeepAlive:     alive,
		UnusedTimeout: unusedTimeout,
	})
	if err != nil {
		return nil, err
	}
	go func() {
		if err := endpoint.Run(ctx); err != nil {
			fmt.Fprintf(os.Stderr, "peermeasure: %v\n", err)
		}
	}()
	return endpoint, nil
}

// exchange makes the connection to addr and uses it once, as a real one is.
func exchange(ctx context.Context, endpoint *peer.Endpoint, addr netip.AddrPort) error {
	s, err := endpoint.Open(ctx, addr, "", peer.KindGossip)
	if err != nil {
		return err
	}
	defer s.Close()
	if err := s.Send("hello"); err != nil {
		return err
	}
	var answer string
	return s.Recv(&answer)
}

// nth returns the address i ports after first.
func nth(first netip.AddrPort, i int) netip.AddrPort {
	return netip.AddrPortFrom(first.Addr(), first.Port()+uint16(i))
}
