package swarm

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"chivespindle.example/adapters/keys"
	"chivespindle.example/adapters/peer"
	"chivespindle.example/core/failure"
	"chivespindle.example/core/fleet"
	"chivespindle.example/core/spread"
	"chivespindle.example/core/weights"
	"chivespindle.example/daemon/wire"
)

// reportQueueLen bounds the reports that wait for a slow neighbour. The content
// of a report that does not fit is included in the next one.
const reportQueueLen = 4

// link is an open exchange of reports with one neighbour about one version.
type link struct {
	member      spread.Member
	dialer      fleet.InstanceID
	stream      *peer.Stream
	reports     chan wire.ChunkUpdate
	once        sync.Once
	closed      chan struct{}
	sentHave    *weights.Set
	sentSeen    *weights.Set
	hasReported bool // the neighbour's first report, with all its chunks, was received
}

func newLink(member spread.Member, dialer fleet.InstanceID, s *peer.Stream, chunks int) *link {
	return &link{
		member:   member,
		dialer:   dialer,
		stream:   s,
		reports:  make(chan wire.ChunkUpdate, reportQueueLen),
		closed:   make(chan struct{}),
		sentHave: weights.NewSet(chunks),
		sentSeen: weights.NewSet(chunks),
	}
}

func (l *link) close() {
	l.once.Do(func() {
		close(l.closed)
		l.stream.Abort()
	})
}

// dialNeighbours opens exchanges with chosen neighbours that have none.
func (d *download) dialNeighbours(now time.Time) {
	for _, m := range d.plan.Neighbours() {
		if d.links[m.ID] != nil || d.dialing[m.ID] || now.Before(d.retryAt[m.ID]) {
			continue
		}
		d.dialing[m.ID] = true
		go d.dial(m)
	}
}

// dial opens an exchange. A member that cannot be reached is reported to the
// plan, which then chooses others: otherwise one side of a network partition
// would wait for neighbours on the other side. A member that only refuses does
// not know the version or this instance yet and is dialled again soon.
func (d *download) dial(m spread.Member) {
	s, err := d.swarm.opts.Endpoint.Open(d.ctx, m.Addr, m.ID, peer.KindChunk)
	if err != nil {
		d.swarm.post(func(now time.Time) { d.dialFailed(now, m.ID, true) })
		return
	}
	first, err := d.openExchange(s)
	if err != nil {
		s.Abort()
		unreachable := errorx.IsOfType(err, failure.Timeout)
		d.swarm.post(func(now time.Time) { d.dialFailed(now, m.ID, unreachable) })
		return
	}
	d.swarm.post(func(now time.Time) {
		delete(d.dialing, m.ID)
		d.addLink(now, newLink(m, d.swarm.opts.Self.ID, s, len(d.manifest.Chunks)), &first)
	})
}

// openExchange requests the exchange and waits for the neighbour's first report,
// at most for the stall timeout: a connection whose remote process has vanished
// opens streams without an error.
func (d *download) openExchange(s *peer.Stream) (wire.ChunkUpdate, error) {
	s.SetStallTimeout(d.swarm.opts.StallTimeout)
	defer s.SetStallTimeout(0)
	var first wire.ChunkUpdate
	if err := s.Send(wire.ChunkRequest{Manifest: d.version.Manifest, Exchange: true}); err != nil {
		return first, err
	}
	err := s.Recv(&first)
	return first, err
}

// dialFailed handles a dial that failed.
func (d *download) dialFailed(now time.Time, id fleet.InstanceID, unreachable bool) {
	delete(d.dialing, id)
	d.retryAt[id] = now.Add(linkRetryDelay)
	if unreachable && d.ctx.Err() == nil && d.links[id] == nil {
		d.plan.PeerDown(now, id)
		d.nextLink = now
	}
}

// addLink adds an open exchange; first is the neighbour's first report, or nil
// if none was received yet. Two neighbours that chose each other may each open
// an exchange at the same time; both keep the one opened by the lower ID, so
// that neither closes the one that the other keeps.
func (d *download) addLink(now time.Time, l *link, first *wire.ChunkUpdate) {
	id := l.member.ID
	old, ok := d.links[id]
	if d.ctx.Err() != nil || ok && old.dialer != l.dialer && old.dialer < l.dialer {
		l.close()
		return
	}
	if ok {
		old.close()
		d.plan.PeerDown(now, id)
	}
	d.links[id] = l
	d.plan.PeerUp(now, l.member)
	if first != nil {
		d.handleReport(now, id, *first)
	}
	go d.readReports(l)
	go d.writeReports(l)
	// The first report is sent even if it is empty: the neighbour fetches from
	// the origin only once it has received reports from others.
	l.queueReport(d.plan.Have(), d.plan.Seen())
	if !d.paused {
		d.startFetches(now)
	}
}

func (d *download) removeLink(now time.Time, l *link) {
	l.close()
	if d.links[l.member.ID] != l {
		return
	}
	delete(d.links, l.member.ID)
	d.retryAt[l.member.ID] = now.Add(linkRetryDelay)
	d.plan.PeerDown(now, l.member.ID)
}

func (d *download) readReports(l *link) {
	for {
		var report wire.ChunkUpdate
		if err := l.stream.Recv(&report); err != nil {
			d.swarm.post(func(now time.Time) { d.removeLink(now, l) })
			return
		}
		d.swarm.post(func(now time.Time) {
			d.handleReport(now, l.member.ID, report)
			if !d.paused {
				d.startFetches(now)
			}
		})
	}
}

func (d *download) writeReports(l *link) {
	for {
		select {
		case <-l.closed:
			return
		case report := <-l.reports:
			if err := l.stream.Send(report); err != nil {
				d.swarm.post(func(now time.Time) { d.removeLink(now, l) })
				return
			}
		}
	}
}

// handleReport processes a neighbour's report; the first one lists all chunks
// that the neighbour holds. Indexes that are not in the manifest come from a
// faulty peer and are ignored.
func (d *download) handleReport(now time.Time, from fleet.InstanceID, report wire.ChunkUpdate) {
	l := d.links[from]
	if d.ctx.Err() != nil || l == nil {
		return
	}
	chunks := len(d.manifest.Chunks)
	d.plan.MergeSeen(now, weights.SetOf(chunks, validIndexes(report.Seen, chunks)...))
	have := validIndexes(report.Have, chunks)
	if l.hasReported {
		d.plan.AddPeerChunks(now, from, have)
		return
	}
	l.hasReported = true
	d.plan.SetPeerChunks(now, from, weights.SetOf(chunks, have...))
}

func validIndexes(indexes []int, chunks int) []int {
	valid := indexes[:0:0]
	for _, i := range indexes {
		if i >= 0 && i < chunks {
			valid = append(valid, i)
		}
	}
	return valid
}

// queueReports queues a report of unsent changes for each neighbour.
func (d *download) queueReports() {
	for _, l := range d.links {
		have, seen := d.plan.Have(), d.plan.Seen()
		if l.sentHave.Count() < have.Count() || l.sentSeen.Count() < seen.Count() {
			l.queueReport(have, seen)
		}
	}
}

// queueReport queues a report of unsent changes. If the queue is full, the
// changes are included in the next report.
func (l *link) queueReport(have, seen *weights.Set) {
	report := wire.ChunkUpdate{Have: unsent(have, l.sentHave), Seen: unsent(seen, l.sentSeen)}
	select {
	case l.reports <- report:
		addAll(l.sentHave, report.Have)
		addAll(l.sentSeen, report.Seen)
	default:
	}
}

// unsent returns the indexes that are in all but not in sent.
func unsent(all, sent *weights.Set) []int {
	return slices.Collect(all.Difference(sent))
}

func addAll(set *weights.Set, indexes []int) {
	for _, i := range indexes {
		set.Add(i)
	}
}

// acceptExchange accepts an exchange opened by a neighbour. It refuses if the
// version is not being fetched here or the neighbour is not a known member; the
// neighbour retries, since this process may just not be up to date.
func (s *Swarm) acceptExchange(ctx context.Context, from keys.Identity, st *peer.Stream, request wire.ChunkRequest) {
	var accepted bool
	st.SetStallTimeout(0)
	err := s.opts.Loop.Do(ctx, func(now time.Time) {
		d, ok := s.downloads[request.Manifest]
		member, listed := s.member(from.ID)
		if !ok || d.plan == nil || !listed {
			return
		}
		accepted = true
		d.addLink(now, newLink(member, from.ID, st, len(d.manifest.Chunks)), nil)
	})
	if err != nil || !accepted {
		st.Abort()
		return
	}
	select {
	case <-st.Context().Done():
	case <-ctx.Done():
	}
}

func (s *Swarm) member(id fleet.InstanceID) (spread.Member, bool) {
	for _, m := range s.members {
		if m.ID == id {
			return m, true
		}
	}
	return spread.Member{}, false
}
