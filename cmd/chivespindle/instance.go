package main

import (
	"context"
	"fmt"
	"io"
	"math"
	"strings"

	"chivespindle.example/core/fleet"
	"chivespindle.example/core/gossip"
	"chivespindle.example/core/status"
)

// agentReport and entryReport show one process. Their JSON form is its status.
type (
	agentReport struct{ *status.Agent }
	entryReport struct{ *status.Entry }
)

func (c *client) instanceStatus(ctx context.Context) error {
	ops, err := c.newOpsClient()
	if err != nil {
		return err
	}
	defer ops.Close()
	if len(c.flags.ops) > 1 {
		return Usage.New("--instance shows one process; give --ops once")
	}
	ctx, cancel, err := c.withTimeout(ctx, queryTimeout)
	if err != nil {
		return err
	}
	defer cancel()
	response, err := ops.Status(ctx, c.flags.ops[0])
	if err != nil {
		return err
	}
	if agent, isAgent := response.(*status.Agent); isAgent {
		return c.print(agentReport{agent})
	}
	return c.print(entryReport{response.(*status.Entry)})
}

// detail is one line of a process's report. It is omitted if the value is
// empty.
type detail struct {
	name, value string
}

func writeDetails(w io.Writer, details []detail) {
	const nameWidth = 12
	for _, f := range details {
		if f.value != "" {
			fmt.Fprintf(w, "%-*s %s\n", nameWidth, f.name+":", f.value)
		}
	}
}

func (r agentReport) writeText(w io.Writer) {
	fmt.Fprintf(w, "agent %s of %s in %s, %s\n", r.ID, r.Service, r.Place.Zone, r.Place.Region)
	admitting := "yes"
	if !r.Admitting {
		admitting = "no, " + r.Refusing
	}
	details := []detail{
		{"state", formatState(r.State, r.Phase)},
		{"serving", formatVersion(r.Serving)},
		{"target", formatVersion(r.Target)},
		{"held up", r.Waiting},
		{"admitting", admitting},
		{"leaving", yesOrEmpty(r.Leaving)},
		{"revision", formatRevision(r.Revision)},
		{"in flight", fmt.Sprint(r.InFlight)},
		{"load", formatLoad(r.Agent)},
		{"drawn", formatFetchedBytes(r.Fetched.OriginBytes, r.Fetched.StoreBytes, r.Fetched.PeerBytes)},
	}
	for _, g := range r.Fetches {
		details = append(details, detail{"gather", formatFetch(g)})
	}
	details = append(details, peersDetail(r.KnownPeers, r.SilentPeers))
	writeDetails(w, details)
}

func formatState(state gossip.State, phase string) string {
	if phase == "" || phase == string(state) {
		return string(state)
	}
	return fmt.Sprintf("%s, %s", state, phase)
}

func yesOrEmpty(is bool) string {
	if is {
		return "yes"
	}
	return ""
}

func formatLoad(s *status.Agent) string {
	const percent = 100
	return fmt.Sprintf("%d running, %d waiting, %d slots, KV cache %.0f%%",
		s.Load.Running, s.Load.Waiting, s.Load.Slots, math.Round(s.Load.KVUsed*percent))
}

func formatFetchedBytes(origin, store, peers int64) string {
	return fmt.Sprintf("%s from the origin, %s from the store, %s from peers",
		formatBytes(origin), formatBytes(store), formatBytes(peers))
}

func formatFetch(g status.ChunkFetch) string {
	text := fmt.Sprintf("%s: %d of %d chunks, %d links, %s", g.Version, g.Plan.Have, g.Plan.Total, g.Links,
		formatFetchedBytes(g.Plan.OriginBytes, g.Plan.StoreBytes, g.Plan.PeerBytes))
	if !g.Known {
		text = fmt.Sprintf("%s: the manifest is not here yet", g.Version)
	}
	if g.Paused {
		text += ", paused"
	}
	if g.Plan.Waiting != "" {
		text += ", waits for " + g.Plan.Waiting
	}
	return text
}

func peersDetail(known int, silent []fleet.InstanceID) detail {
	text := fmt.Sprintf("%d known", known)
	if len(silent) > 0 {
		names := make([]string, len(silent))
		for i, id := range silent {
			names[i] = string(id)
		}
		text += fmt.Sprintf(", %d silent: %s", len(silent), strings.Join(names, ", "))
	}
	return detail{"peers", text}
}

func (r entryReport) writeText(w io.Writer) {
	fmt.Fprintf(w, "entry %s in %s, %s\n", r.ID, r.Place.Zone, r.Place.Region)
	var silent []fleet.InstanceID
	for _, m := range r.Fleet {
		if m.Silent {
			silent = append(silent, m.ID)
		}
	}
	writeDetails(w, []detail{
		{"revision", formatRevision(r.Revision)},
		{"digest", shortDigest(r.Config.Digest)},
		{"platform", formatRevision(r.Config.PlatformRevision)},
		{"leaving", yesOrEmpty(r.Leaving)},
		{"in flight", fmt.Sprint(r.InFlight)},
		peersDetail(max(0, len(r.Fleet)-1), silent),
	})
}
