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

// agentReport and entryReport show one process. Their JSON is its status.
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
	ctx, cancel, err := c.withTimeout(ctx, questionTimeout)
	if err != nil {
		return err
	}
	defer cancel()
	answer, err := ops.Status(ctx, c.flags.ops[0])
	if err != nil {
		return err
	}
	if agent, isAgent := answer.(*status.Agent); isAgent {
		return c.print(agentReport{agent})
	}
	return c.print(entryReport{answer.(*status.Entry)})
}

// fact is one line of a process's page. A line without a value is left out.
type fact struct {
	name, value string
}

func writeFacts(w io.Writer, facts []fact) {
	const nameWidth = 12
	for _, f := range facts {
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
	facts := []fact{
		{"state", stateText(r.State, r.Phase)},
		{"serving", versionText(r.Serving)},
		{"target", versionText(r.Target)},
		{"held up", r.Waiting},
		{"admitting", admitting},
		{"leaving", yesOrNothing(r.Leaving)},
		{"revision", revisionText(r.Revision)},
		{"in flight", fmt.Sprint(r.InFlight)},
		{"load", loadText(r.Agent)},
		{"drawn", drawnText(r.Fetched.OriginBytes, r.Fetched.StoreBytes, r.Fetched.PeerBytes)},
	}
	for _, g := range r.Fetches {
		facts = append(facts, fact{"gather", gatherText(g)})
	}
	facts = append(facts, peersFact(r.KnownPeers, r.SilentPeers))
	writeFacts(w, facts)
}

func stateText(state gossip.State, phase string) string {
	if phase == "" || phase == string(state) {
		return string(state)
	}
	return fmt.Sprintf("%s, %s", state, phase)
}

func yesOrNothing(is bool) string {
	if is {
		return "yes"
	}
	return ""
}

func loadText(s *status.Agent) string {
	const percent = 100
	return fmt.Sprintf("%d running, %d waiting, %d slots, KV cache %.0f%%",
		s.Load.Running, s.Load.Waiting, s.Load.Slots, math.Round(s.Load.KVUsed*percent))
}

func drawnText(origin, store, peers int64) string {
	return fmt.Sprintf("%s from the origin, %s from the store, %s from peers",
		bytesText(origin), bytesText(store), bytesText(peers))
}

func gatherText(g status.ChunkFetch) string {
	text := fmt.Sprintf("%s: %d of %d chunks, %d links, %s", g.Version, g.Plan.Have, g.Plan.Total, g.Links,
		drawnText(g.Plan.OriginBytes, g.Plan.StoreBytes, g.Plan.PeerBytes))
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

func peersFact(known int, silent []fleet.InstanceID) fact {
	text := fmt.Sprintf("%d known", known)
	if len(silent) > 0 {
		names := make([]string, len(silent))
		for i, id := range silent {
			names[i] = string(id)
		}
		text += fmt.Sprintf(", %d silent: %s", len(silent), strings.Join(names, ", "))
	}
	return fact{"peers", text}
}

func (r entryReport) writeText(w io.Writer) {
	fmt.Fprintf(w, "entry %s in %s, %s\n", r.ID, r.Place.Zone, r.Place.Region)
	var silent []fleet.InstanceID
	for _, m := range r.Fleet {
		if m.Silent {
			silent = append(silent, m.ID)
		}
	}
	writeFacts(w, []fact{
		{"revision", revisionText(r.Revision)},
		{"digest", shortDigest(r.Config.Digest)},
		{"platform", revisionText(r.Config.PlatformRevision)},
		{"leaving", yesOrNothing(r.Leaving)},
		{"in flight", fmt.Sprint(r.InFlight)},
		peersFact(max(0, len(r.Fleet)-1), silent),
	})
}
