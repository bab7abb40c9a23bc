package main

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"

	"github.com/spf13/cobra"

	"chivespindle.example/core/fleet"
	"chivespindle.example/core/revision"
	"chivespindle.example/core/status"
)

func (c *client) newStatusCommand() *cobra.Command {
	var instances, instance bool
	command := &cobra.Command{
		Use:   "status",
		Short: "Show what the fleet or one process does",
		Long: `Show the state of the fleet as an entry knows it: for each service the target
version and how many replicas serve it, the revisions in force, and texts that
are refused or in conflict. With several --ops, the response with the highest
revision is shown, and all are listed and compared.

An entry receives the revision of a process in another availability zone only
when that process changes, so the table of revisions may be outdated for those.`,
		Example: `  chivespindle status --ops 127.0.0.1:7101
  chivespindle status --instances --ops 127.0.0.1:7101
  chivespindle status --instance --ops 127.0.0.1:7201`,
		Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			if instance {
				return c.instanceStatus(command.Context())
			}
			return c.fleetStatus(command.Context(), instances)
		},
	}
	command.Flags().BoolVar(&instances, "instances", false, "list the processes of the fleet")
	command.Flags().BoolVar(&instance, "instance", false, "show the process at --ops itself, an agent or an entry")
	command.MarkFlagsMutuallyExclusive("instances", "instance")
	return command
}

// fleetReport is the state of the fleet as one entry knows it.
type fleetReport struct {
	Entry     fleet.InstanceID  `json:"entry"`
	Revision  revision.Revision `json:"revision"`
	Config    status.Config     `json:"config"`
	Services  []status.Service  `json:"services"`
	Revisions []revisionCount   `json:"revisions"`
	Instances []status.Member   `json:"instances,omitempty"`
	Entries   []entrySummary    `json:"entries"`
	Conflicts []string          `json:"conflicts"` // between the queried entries
}

// revisionCount is the number of processes, silent ones excluded, for which the
// entry knows this active revision.
type revisionCount struct {
	Revision  revision.Revision `json:"revision"`
	Processes int               `json:"processes"`
}

func (c *client) fleetStatus(ctx context.Context, instances bool) error {
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
	s, err := queryEntries(ctx, ops, c.flags.ops)
	if err != nil {
		return err
	}
	return c.print(newFleetReport(s, instances))
}

func newFleetReport(s *survey, instances bool) *fleetReport {
	status := s.newest().status
	members := s.withOwnRevisions(status.Fleet)
	r := &fleetReport{
		Entry:     status.ID,
		Revision:  status.Revision,
		Config:    status.Config,
		Services:  status.Services,
		Revisions: countRevisions(members),
		Entries:   s.entries(),
		Conflicts: s.conflicts(),
	}
	if instances {
		r.Instances = members
	}
	return r
}

func countRevisions(members []status.Member) []revisionCount {
	list := []revisionCount{}
	counts := make(map[revision.Revision]int)
	for _, m := range members {
		if !m.Silent {
			counts[m.Revision]++
		}
	}
	for r, n := range counts {
		list = append(list, revisionCount{Revision: r, Processes: n})
	}
	slices.SortFunc(list, func(a, b revisionCount) int { return cmp.Compare(b.Revision, a.Revision) })
	return list
}

func (r *fleetReport) writeText(w io.Writer) {
	if r.Revision == 0 {
		fmt.Fprintf(w, "no text is in force at %s\n", r.Entry)
	} else {
		fmt.Fprintf(w, "fleet %s, revision %d in force at %s, digest %s\n",
			r.Config.Name, r.Revision, r.Entry, shortDigest(r.Config.Digest))
	}
	fmt.Fprintf(w, "platform's last answer: revision %d\n", r.Config.PlatformRevision)
	r.writeFaults(w)
	r.writeServices(w)
	t := newTable("REVISION", "PROCESSES")
	for _, n := range r.Revisions {
		t.addRow(formatRevision(n.Revision), strconv.Itoa(n.Processes))
	}
	t.write(w)
	if len(r.Instances) > 0 {
		writeInstances(w, r.Instances)
	}
	r.writeEntries(w)
}

func (r *fleetReport) writeFaults(w io.Writer) {
	for _, faults := range r.Config.Refused {
		for line := range strings.Lines(faults) {
			fmt.Fprintf(w, "refused text: %s\n", strings.TrimSuffix(line, "\n"))
		}
	}
	if r.Config.Conflicts > 0 {
		fmt.Fprintf(w, "conflict: %d other texts under revision %d\n", r.Config.Conflicts, r.Revision)
	}
	for _, conflict := range r.Conflicts {
		fmt.Fprintf(w, "conflict: %s\n", conflict)
	}
}

func (r *fleetReport) writeServices(w io.Writer) {
	t := newTable("SERVICE", "TARGET", "REPLICAS", "SERVING", "LEAVING", "SILENT")
	for _, s := range r.Services {
		t.addRow(string(s.Service), formatVersion(s.Target), strconv.Itoa(s.Replicas),
			strconv.Itoa(s.Serving), strconv.Itoa(s.Leaving), strconv.Itoa(s.Silent))
	}
	t.write(w)
}

func writeInstances(w io.Writer, members []status.Member) {
	t := newTable("INSTANCE", "ROLE", "SERVICE", "ZONE", "REGION", "STATE", "SERVING", "REVISION")
	for _, m := range members {
		t.addRow(string(m.ID), string(m.Role), orDash(string(m.Service)), string(m.Place.Zone), string(m.Place.Region),
			memberState(m), formatVersion(m.Serving), formatRevision(m.Revision))
	}
	t.write(w)
}

func memberState(m status.Member) string {
	words := []string{orDash(string(m.State))}
	if m.Leaving {
		words = append(words, "leaving")
	}
	if m.Silent {
		words = append(words, "silent")
	}
	return strings.Join(words, ",")
}

// writeEntries lists the queried entries, unless there is only the one shown.
func (r *fleetReport) writeEntries(w io.Writer) {
	if len(r.Entries) == 1 {
		return
	}
	t := newTable("OPS", "ENTRY", "REVISION", "DIGEST", "PLATFORM", "ANSWER")
	for _, e := range r.Entries {
		if e.Error != "" {
			t.addRow(e.Ops.String(), "-", "-", "-", "-", e.Error+": "+e.Reason)
			continue
		}
		t.addRow(e.Ops.String(), string(e.ID), formatRevision(e.Revision), shortDigest(e.Digest), formatRevision(e.Platform), "good")
	}
	t.write(w)
}
