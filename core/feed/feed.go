// Package feed tracks which observations an entry must still send to each of its peers,
// so that each is sent once to every peer that lacks it.
//
// Within a group every entry sends its observations to all others. Groups are linked by
// a few of their members, which forward reports between them.
package feed

// Source is where a report was learned. It determines the peers to which the report is
// sent.
type Source uint8

const (
	// Local: observed by this entry. Sent to every peer.
	Local Source = iota
	// SameGroup: received from an entry of the same group, which sends it to the whole
	// group itself. Sent to other groups.
	SameGroup
	// OtherGroup: received from another group, which sends it to all groups itself. Sent
	// to the entry's own group.
	OtherGroup
)

// Counter assigns sequence numbers to learned reports. The zero value is ready to use.
type Counter struct{ last uint64 }

// Cursor is the sequence number up to which a peer is up to date. The zero value is for
// a peer to which nothing was sent.
type Cursor uint64

// first is the cursor of a peer that is up to date before anything has been learned.
const first = 1

// Cursor returns the cursor of a peer that is up to date.
func (c *Counter) Cursor() Cursor { return Cursor(c.last + first) }

// Mark is the sequence number and the source of a learned report. The zero value is
// never due.
type Mark struct {
	cursor Cursor
	source Source
}

// Mark returns the mark of a report that is learned now.
func (c *Counter) Mark(from Source) Mark {
	c.last++
	return Mark{c.Cursor(), from}
}

// Cursor returns the cursor of a peer that is up to date up to m.
func (m Mark) Cursor() Cursor { return m.cursor }

// IsDue reports whether the report marked by m is to be sent to a peer, which is in the
// same or another group and up to date up to sent. A new peer may lack the reports that
// others sent, and gets everything.
func (m Mark) IsDue(sent Cursor, to Source) bool {
	return m.cursor > sent && (sent == 0 || m.source != to)
}
