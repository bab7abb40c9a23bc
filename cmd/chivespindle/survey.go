package main

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"sync"

	"github.com/joomcode/errorx"

	"chivespindle.example/adapters/opsclient"
	"chivespindle.example/core/fleet"
	"chivespindle.example/core/revision"
	"chivespindle.example/core/status"
)

// survey holds the responses of the entries at the given addresses to one poll.
type survey struct {
	responses []surveyResponse // in the order of the addresses
}

// surveyResponse is one entry's status, or the error of the query.
type surveyResponse struct {
	ops    netip.AddrPort
	status *status.Entry
	err    error
}

// queryEntries queries all addresses concurrently. It fails only if none
// responds, with the error of the first one.
func queryEntries(ctx context.Context, ops *opsclient.Client, addresses []netip.AddrPort) (*survey, error) {
	s := &survey{responses: make([]surveyResponse, len(addresses))}
	var wait sync.WaitGroup
	for i, addr := range addresses {
		wait.Go(func() {
			status, err := ops.Entry(ctx, addr)
			s.responses[i] = surveyResponse{ops: addr, status: status, err: err}
		})
	}
	wait.Wait()
	if s.newest() != nil {
		return s, nil
	}
	err := s.responses[0].err
	if errorx.IsOfType(err, opsclient.WrongRole) {
		return nil, Usage.Wrap(err, "--ops must be an entry's; status --instance shows an agent")
	}
	return nil, err
}

// newest returns the response with the highest revision, the first one of
// equals, or nil if no entry responded. An entry with a lower revision is
// outdated and reports targets that the fleet has already replaced.
func (s *survey) newest() *surveyResponse {
	var best *surveyResponse
	for i := range s.responses {
		a := &s.responses[i]
		if a.status != nil && (best == nil || a.status.Revision > best.status.Revision) {
			best = a
		}
	}
	return best
}

// withOwnRevisions returns the members with the revisions that the responding
// entries report of themselves. An entry learns the revisions of another zone's
// entries late.
func (s *survey) withOwnRevisions(members []status.Member) []status.Member {
	own := make(map[fleet.InstanceID]revision.Revision)
	for _, a := range s.responses {
		if a.status != nil {
			own[a.status.ID] = a.status.Revision
		}
	}
	updated := slices.Clone(members)
	for i := range updated {
		updated[i].Revision = max(updated[i].Revision, own[updated[i].ID])
	}
	return updated
}

// entrySummary is one row of the queried entries.
type entrySummary struct {
	Ops      netip.AddrPort    `json:"ops"`
	ID       fleet.InstanceID  `json:"id,omitempty"`
	Revision revision.Revision `json:"revision"`
	Digest   fleet.Digest      `json:"digest,omitzero"`
	Platform revision.Revision `json:"platform_revision"`
	Error    string            `json:"error,omitempty"` // type of the failure
	Reason   string            `json:"reason,omitempty"`
}

func (s *survey) entries() []entrySummary {
	entries := make([]entrySummary, len(s.responses))
	for i, a := range s.responses {
		entries[i] = a.summary()
	}
	return entries
}

func (a surveyResponse) summary() entrySummary {
	line := entrySummary{Ops: a.ops}
	if typed := errorx.Cast(a.err); typed != nil {
		line.Error = typed.Type().FullName()
		line.Reason = typed.Message()
		return line
	}
	line.ID = a.status.ID
	line.Revision = a.status.Revision
	line.Digest = a.status.Config.Digest
	line.Platform = a.status.Config.PlatformRevision
	return line
}

// conflicts describes the entries that have different active configurations
// under one revision.
func (s *survey) conflicts() []string {
	first := make(map[revision.Revision]*status.Entry)
	found := []string{}
	for _, a := range s.responses {
		if a.status == nil || a.status.Revision == 0 {
			continue
		}
		other := first[a.status.Revision]
		if other == nil {
			first[a.status.Revision] = a.status
			continue
		}
		if other.Config.Digest != a.status.Config.Digest {
			found = append(found, fmt.Sprintf("%s and %s have different texts under revision %d",
				other.ID, a.status.ID, a.status.Revision))
		}
	}
	return found
}
