package gateway

import (
	"time"

	"chivespindle.example/core/feed"
	"chivespindle.example/core/fleet"
	"chivespindle.example/daemon/mesh"
)

// reportSource is a registry whose reports are sent to other entries.
type reportSource[R any] interface {
	Since(now time.Time, sent feed.Cursor, to feed.Source) ([]R, feed.Cursor)
}

// reportSender sends each entry the reports of a registry that it lacks.
type reportSender[R any] struct {
	source reportSource[R]
	sent   map[fleet.InstanceID]feed.Cursor
}

func newReportSender[R any](source reportSource[R]) reportSender[R] {
	return reportSender[R]{source, make(map[fleet.InstanceID]feed.Cursor)}
}

// next returns the reports for the next message to an entry. Over a new link they
// are sent from the beginning.
func (s reportSender[R]) next(now time.Time, to mesh.Peer, form mesh.Form) []R {
	if form == mesh.First {
		s.reset(to.ID)
	}
	reports, sent := s.source.Since(now, s.sent[to.ID], sourceOf(to))
	s.sent[to.ID] = sent
	return reports
}

// reset causes all reports to be sent again over the next link with an entry.
func (s reportSender[R]) reset(id fleet.InstanceID) { delete(s.sent, id) }

func sourceOf(p mesh.Peer) feed.Source {
	if p.SameGroup {
		return feed.SameGroup
	}
	return feed.OtherGroup
}
