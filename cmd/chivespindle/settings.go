package main

import (
	"strings"

	"github.com/spf13/cobra"

	"chivespindle.example/adapters/settings"
	"chivespindle.example/core/failure"
	"chivespindle.example/core/fleet"
)

// roleNames lists the roles that have settings.
var roleNames = []string{string(fleet.RoleEntry), string(fleet.RoleAgent)}

// roleFlag is a role that has settings. It implements pflag.Value.
type roleFlag fleet.Role

// String implements pflag.Value.
func (r *roleFlag) String() string { return string(*r) }

// Type implements pflag.Value.
func (r *roleFlag) Type() string { return strings.Join(roleNames, "|") }

// Set implements pflag.Value.
func (r *roleFlag) Set(text string) error {
	if text != string(fleet.RoleEntry) && text != string(fleet.RoleAgent) {
		return flagError{"must be entry or agent"}
	}
	*r = roleFlag(text)
	return nil
}

func (c *client) newSettingsCommand() *cobra.Command {
	command := &cobra.Command{
		Use:   "settings",
		Short: "Check settings files of processes, or print their reference",
		// Without Args the library responds to an unknown subcommand with the
		// help and exit code 0.
		Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error { return command.Help() },
	}
	command.AddCommand(c.newSettingsCheckCommand(), c.newSettingsReferenceCommand())
	return command
}

func (c *client) newSettingsCheckCommand() *cobra.Command {
	var role roleFlag
	command := &cobra.Command{
		Use:   "check --role entry|agent FILE...",
		Short: "Check settings files offline",
		Long: `Check settings files of processes offline, as chivespindled does on startup.
The environment is ignored, and the files that the settings name are not
opened.`,
		Example: "  chivespindle settings check --role entry entry.ini",
		Args:    cobra.MinimumNArgs(1),
		RunE: func(_ *cobra.Command, files []string) error {
			r := &checkReport{}
			for _, file := range files {
				r.Files = append(r.Files, checkSettings(fleet.Role(role), file))
			}
			return c.printCheckReport(r)
		},
	}
	command.Flags().Var(&role, "role", "role of the processes that read the files")
	_ = command.MarkFlagRequired("role")
	_ = command.RegisterFlagCompletionFunc("role", cobra.FixedCompletions(roleNames, cobra.ShellCompDirectiveNoFileComp))
	return command
}

func checkSettings(role fleet.Role, file string) checkedFile {
	checked := checkedFile{File: file}
	if file == "" {
		// settings.Load treats an empty name as no file, and its error would
		// name flags that this command does not have.
		checked.Faults = []fault{{Reason: "the file has no name"}}
		return checked
	}
	_, err := settings.Load(role, file, nil, nil)
	if err == nil {
		checked.Accepted = true
		return checked
	}
	for _, f := range settings.FaultsOf(err) {
		checked.Faults = append(checked.Faults, fault{File: f.Origin, Line: f.Line, Reason: f.Reason})
	}
	if len(checked.Faults) == 0 {
		checked.Faults = []fault{{File: file, Reason: err.Error()}}
	}
	return checked
}

func (c *client) newSettingsReferenceCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "reference",
		Short: "Print the reference of all settings, in Markdown",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			if err := settings.WriteReference(c.stdout); err != nil {
				return failure.Unavailable.Wrap(err, "the output cannot be written")
			}
			return nil
		},
	}
}
