// Package feed marks what an entry learns, so that it is sent once to each peer that
// lacks it.
//
// Within a group every entry sends all others what it observes. Groups are linked by
// a few of their members, which forward reports between them.
package feed

// Source is where something was learned. It decides which peers it is sent to.
type Source uint8

const (
	// Own: observed by this entry. Sent to every peer.
	Own Source = iota
	// Near: received from an entry of the own group, which sends it to the whole
	// group itself. Sent to other groups.
	Near
	// Far: received from another group, which sends it to all groups itself. Sent to
	// the own group.
	Far
)

// Counter numbers what is learned. The zero value is ready to use.
type Counter struct{ last uint64 }

// Cursor is the position up to which a peer is up to date. The zero value is for a
// peer to which nothing was sent.
type Cursor uint64

// first is the cursor of a peer that is up to date while nothing has been learned.
const first = 1

// Cursor returns the position of a peer that is up to date.
func (c *Counter) Cursor() Cursor { return Cursor(c.last + first) }

// Mark is the number and the source of something that was learned. The zero value
// marks nothing.
type Mark struct {
	cursor Cursor
	source Source
}

// Mark returns the mark of what is learned now.
func (c *Counter) Mark(from Source) Mark {
	c.last++
	return Mark{c.Cursor(), from}
}

// Cursor returns the position of a peer that is up to date up to m.
func (m Mark) Cursor() Cursor { return m.cursor }

// IsDue reports whether what m marks is to be sent to a peer, which is Near or Far
// and up to date up to sent. A new peer may lack what others sent, and gets everything.
func (m Mark) IsDue(sent Cursor, to Source) bool {
	return m.cursor > sent && (sent == 0 || m.source != to)
}
