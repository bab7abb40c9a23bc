// Command peermeasure measures the cost of idle connections between processes:
// the memory and the traffic of each. It takes two processes, so that only one
// side's memory is counted. One holds many endpoints, the other is the single
// endpoint that is measured:
//
//	peermeasure hold  --first 127.0.0.1:21000 --count 400 ...
//	peermeasure count --listen 127.0.0.1:20000 --dial 127.0.0.1:21000 --count 400 ...
//
// measures dialled connections, and
//
//	peermeasure count --listen 127.0.0.1:20000 --count 400 ...
//	peermeasure hold  --first 127.0.0.1:21000 --dial 127.0.0.1:20000 --count 400 ...
//
// measures accepted ones. It prints lines of key=value pairs.
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

// measureUnusedTimeout keeps idle connections open for the whole measurement.
const measureUnusedTimeout = 24 * time.Hour

// flags are the flags that both commands share.
type flags struct {
	files     keys.Files
	dial      string
	count     int
	keepAlive time.Duration
}

func (f *flags) register(command *cobra.Command) {
	set := command.Flags()
	set.StringVar(&f.files.Authority, "authority", "authority.pem", "PEM file")
	set.StringVar(&f.files.Certificate, "certificate", "", "PEM file")
	set.StringVar(&f.files.Key, "key", "", "PEM file")
	set.StringVar(&f.dial, "dial", "", "address to dial; empty to accept")
	set.IntVar(&f.count, "count", 100, "number of connections")
	set.DurationVar(&f.keepAlive, "keep-alive", peer.DefaultKeepAlive, "keep-alive of the dialling side")
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

// echo returns each message to its sender.
type echo struct{}

func (echo) ServeStream(_ context.Context, _ keys.Identity, _ peer.Kind, s *peer.Stream) {
	var message string
	for s.Recv(&message) == nil {
		if s.Send(message) != nil {
			return
		}
	}
}

func newEndpoint(ctx context.Context, store *keys.Store, listen netip.AddrPort, keepAlive time.Duration) (*peer.Endpoint, error) {
	endpoint, err := peer.New(peer.Options{
		Listen:        listen,
		Keys:          store,
		Handler:       echo{},
		KeepAlive:     keepAlive,
		UnusedTimeout: measureUnusedTimeout,
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

// exchange connects to addr and performs one exchange, so that the connection
// is in the state of one that has been used.
func exchange(ctx context.Context, endpoint *peer.Endpoint, addr netip.AddrPort) error {
	s, err := endpoint.Open(ctx, addr, "", peer.KindGossip)
	if err != nil {
		return err
	}
	defer s.Close()
	if err := s.Send("hello"); err != nil {
		return err
	}
	var response string
	return s.Recv(&response)
}

// addrWithPortOffset returns the address i ports after first.
func addrWithPortOffset(first netip.AddrPort, i int) netip.AddrPort {
	return netip.AddrPortFrom(first.Addr(), first.Port()+uint16(i))
}
