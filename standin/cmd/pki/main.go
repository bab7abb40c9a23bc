// Command pki writes a certificate authority and certificates to files, for demos
// and benchmarks. They must not be used for production instances.
package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"chivespindle.example/core/fleet"
	"chivespindle.example/standin/pki"
)

func main() {
	if err := newCommand().Execute(); err != nil {
		fmt.Fprintf(os.Stderr, "pki: %v\n", err)
		os.Exit(1)
	}
}

func newCommand() *cobra.Command {
	var dir string
	root := &cobra.Command{
		Use:           "pki",
		Short:         "Create a stand-in certificate authority and certificates",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.PersistentFlags().StringVar(&dir, "dir", "pki", "directory of the files")
	root.AddCommand(newInitCommand(&dir), newIssueCommand(&dir))
	return root
}

func newInitCommand(dir *string) *cobra.Command {
	return &cobra.Command{
		Use:   "init",
		Short: "Create a new authority; certificates of an earlier one are no longer accepted",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			authority, err := pki.NewAuthority()
			if err != nil {
				return err
			}
			return authority.Save(*dir)
		},
	}
}

func newIssueCommand(dir *string) *cobra.Command {
	var role string
	command := &cobra.Command{
		Use:     "issue ID...",
		Short:   "Issue a certificate and a key for each instance id",
		Example: "  pki issue --role entry entry-1 entry-2",
		Args:    cobra.MinimumNArgs(1),
		RunE: func(command *cobra.Command, ids []string) error {
			authority, err := pki.Open(*dir)
			if err != nil {
				return err
			}
			return issueAll(command, authority, *dir, fleet.Role(role), ids)
		},
	}
	command.Flags().StringVar(&role, "role", string(fleet.RoleEntry), "role: entry, agent or operator")
	return command
}

// issueAll issues a certificate for each ID and prints one line of key=value
// pairs for each certificate.
func issueAll(command *cobra.Command, authority *pki.Authority, dir string, role fleet.Role, ids []string) error {
	for _, id := range ids {
		files, err := authority.WriteFiles(dir, role, fleet.InstanceID(id))
		if err != nil {
			return err
		}
		_, err = fmt.Fprintf(command.OutOrStdout(), "role=%s id=%s authority=%s certificate=%s key=%s\n",
			role, id, files.Authority, files.Certificate, files.Key)
		if err != nil {
			return err
		}
	}
	return nil
}
