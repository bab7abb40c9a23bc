package feed

import (
	"cmp"
	"slices"
)

// Backlog collects the reports that a peer lacks, for one message.
type Backlog[R any] struct {
	// sent and next are the cursors of the peer before the message and after it.
	sent, next Cursor
	to         Source
	due        []marked[R]
}

type marked[R any] struct {
	mark   Mark
	report R
}

// NewBacklog returns the empty one of a peer, which is Near or Far and up to date up
// to sent.
func NewBacklog[R any](learned *Counter, sent Cursor, to Source) Backlog[R] {
	return Backlog[R]{sent: sent, next: learned.Cursor(), to: to}
}

// IsUpToDate reports whether the peer lacks nothing, whatever is added.
func (b *Backlog[R]) IsUpToDate() bool { return b.sent >= b.next }

// Lacks reports whether the peer lacks what a mark stands for.
func (b *Backlog[R]) Lacks(m Mark) bool { return m.IsDue(b.sent, b.to) }

// Add adds a report that the peer lacks.
func (b *Backlog[R]) Add(m Mark, report R) { b.due = append(b.due, marked[R]{m, report}) }

// Message returns the reports in the order of their marks, and the cursor of the peer
// once it has them. Of more than most it returns the first ones; the rest follows with
// the next message. A new peer gets all at once.
func (b *Backlog[R]) Message(most int) ([]R, Cursor) {
	slices.SortFunc(b.due, func(x, y marked[R]) int { return cmp.Compare(x.mark.cursor, y.mark.cursor) })
	due, next := b.due, b.next
	if b.sent != 0 && len(due) > most {
		due = due[:most]
		next = due[most-1].mark.cursor
	}
	reports := make([]R, 0, len(due))
	for _, d := range due {
		reports = append(reports, d.report)
	}
	return reports, next
}
