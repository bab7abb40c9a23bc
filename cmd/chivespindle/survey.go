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

// survey is what the entries at the given addresses say at one time.
type survey struct {
	answers []surveyAnswer // in the order of the addresses
}

// surveyAnswer is one entry's status, or why there is none.
type surveyAnswer struct {
	ops    netip.AddrPort
	status *status.Entry
	err    error
}

// askEntries asks all addresses at once. It fails only if none answers, with
// the first one's failure.
func askEntries(ctx context.Context, ops *opsclient.Client, addresses []netip.AddrPort) (*survey, error) {
	s := &survey{answers: make([]surveyAnswer, len(addresses))}
	var wait sync.WaitGroup
	for i, addr := range addresses {
		wait.Go(func() {
			status, err := ops.Entry(ctx, addr)
			s.answers[i] = surveyAnswer{ops: addr, status: status, err: err}
		})
	}
	wait.Wait()
	if s.best() != nil {
		return s, nil
	}
	err := s.answers[0].err
	if errorx.IsOfType(err, opsclient.WrongRole) {
		return nil, Usage.Wrap(err, "--ops must be an entry's; status --instance shows an agent")
	}
	return nil, err
}

// best returns the answer with the highest revision, the first of equals; nil
// if none came. An entry with a lower one is behind, and tells of targets that
// the fleet has left.
func (s *survey) best() *surveyAnswer {
	var best *surveyAnswer
	for i := range s.answers {
		a := &s.answers[i]
		if a.status != nil && (best == nil || a.status.Revision > best.status.Revision) {
			best = a
		}
	}
	return best
}

// freshen returns the members with the revisions that the answering entries
// themselves have. An entry hears late of those of another zone.
func (s *survey) freshen(members []status.Member) []status.Member {
	own := make(map[fleet.InstanceID]revision.Revision)
	for _, a := range s.answers {
		if a.status != nil {
			own[a.status.ID] = a.status.Revision
		}
	}
	fresh := slices.Clone(members)
	for i := range fresh {
		fresh[i].Revision = max(fresh[i].Revision, own[fresh[i].ID])
	}
	return fresh
}

// entryAnswer is one line of the entries that were asked.
type entryAnswer struct {
	Ops      netip.AddrPort    `json:"ops"`
	ID       fleet.InstanceID  `json:"id,omitempty"`
	Revision revision.Revision `json:"revision"`
	Digest   fleet.Digest      `json:"digest,omitzero"`
	Platform revision.Revision `json:"platform_revision"`
	Error    string            `json:"error,omitempty"` // type of the failure
	Reason   string            `json:"reason,omitempty"`
}

func (s *survey) entries() []entryAnswer {
	entries := make([]entryAnswer, len(s.answers))
	for i, a := range s.answers {
		entries[i] = a.entry()
	}
	return entries
}

func (a surveyAnswer) entry() entryAnswer {
	line := entryAnswer{Ops: a.ops}
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

// disagreements names the entries that have different texts in force under
// one revision.
func (s *survey) disagreements() []string {
	first := make(map[revision.Revision]*status.Entry)
	found := []string{}
	for _, a := range s.answers {
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
