package main

import (
	"net/netip"
	"strconv"
	"strings"

	"github.com/spf13/cobra"

	"chivespindle.example/adapters/keys"
	"chivespindle.example/core/failure"
)

func newHoldCommand() *cobra.Command {
	var f flags
	var first string
	command := &cobra.Command{
		Use:   "hold",
		Short: "Hold one endpoint for each connection until interrupted",
		Long: "Hold one endpoint for each connection until interrupted. In the paths of the\n" +
			"certificate and the key, %d stands for the number of the endpoint, from 0.",
		Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			return hold(command, f, first)
		},
	}
	f.register(command)
	command.Flags().StringVar(&first, "first", "127.0.0.1:21000", "address of the first endpoint; the others take the next ports")
	return command
}

// withIndex replaces "%d" in the paths by i. Each endpoint needs a certificate
// of its own, since crypto/tls stores identical ones only once.
func withIndex(files keys.Files, i int) keys.Files {
	files.Certificate = strings.ReplaceAll(files.Certificate, "%d", strconv.Itoa(i))
	files.Key = strings.ReplaceAll(files.Key, "%d", strconv.Itoa(i))
	return files
}

func hold(command *cobra.Command, f flags, firstText string) error {
	ctx := command.Context()
	first, err := netip.ParseAddrPort(firstText)
	if err != nil {
		return failure.Invalid.Wrap(err, "--first")
	}
	for i := range f.count {
		store, err := keys.Load(withIndex(f.files, i))
		if err != nil {
			return err
		}
		endpoint, err := newEndpoint(ctx, store, addrWithPortOffset(first, i), f.keepAlive)
		if err != nil {
			return err
		}
		if f.dial == "" {
			continue
		}
		to, err := netip.ParseAddrPort(f.dial)
		if err != nil {
			return failure.Invalid.Wrap(err, "--dial")
		}
		if err := exchange(ctx, endpoint, to); err != nil {
			return err
		}
	}
	command.Printf("event=holding endpoints=%d\n", f.count)
	<-ctx.Done()
	return nil
}
