package feed

import (
	"cmp"
	"slices"
)

// Backlog collects the reports that a peer lacks, for one message.
type Backlog[R any] struct {
	// sent and next are the cursors of the peer before and after the message.
	sent, next Cursor
	to         Source
	due        []marked[R]
}

type marked[R any] struct {
	mark   Mark
	report R
}

// NewBacklog returns an empty backlog for a peer, which is in the same or another group
// and up to date up to sent.
func NewBacklog[R any](counter *Counter, sent Cursor, to Source) Backlog[R] {
	return Backlog[R]{sent: sent, next: counter.Cursor(), to: to}
}

// IsUpToDate reports whether the peer lacks no report, so that none need be added.
func (b *Backlog[R]) IsUpToDate() bool { return b.sent >= b.next }

// Lacks reports whether the peer lacks the report with the given mark.
func (b *Backlog[R]) Lacks(m Mark) bool { return m.IsDue(b.sent, b.to) }

// Add adds a report that the peer lacks.
func (b *Backlog[R]) Add(m Mark, report R) { b.due = append(b.due, marked[R]{m, report}) }

// Message returns the reports in the order of their marks, and the cursor of the peer
// once it has received them. It returns at most limit reports; the rest follow in later
// messages. A new peer gets all reports in one message.
func (b *Backlog[R]) Message(limit int) ([]R, Cursor) {
	slices.SortFunc(b.due, func(x, y marked[R]) int { return cmp.Compare(x.mark.cursor, y.mark.cursor) })
	due, next := b.due, b.next
	if b.sent != 0 && len(due) > limit {
		due = due[:limit]
		next = due[limit-1].mark.cursor
	}
	reports := make([]R, 0, len(due))
	for _, d := range due {
		reports = append(reports, d.report)
	}
	return reports, next
}
