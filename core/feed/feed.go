// Package feed marks what an entry learns, so that each other entry is sent what it
// lacks, once.
//
// Entries of a group all tell each other what they learn themselves. Groups are
// linked by a few of their members, which pass on what the others need.
package feed

// Source is where something was learned. It decides who is told.
type Source uint8

const (
	// Own: this entry learned it by itself. Everybody is told.
	Own Source = iota
	// Near: an entry of the own group told it, and has told the others of the group.
	Near
	// Far: an entry of another group told it. Groups tell each other themselves.
	Far
)

// Counter numbers what is learned. The zero value is ready to use.
type Counter struct{ last uint64 }

// Cursor is up to where a peer was told. The zero value is for one that was told
// nothing.
type Cursor uint64

// first keeps the cursor of a peer that was told of everything, when there was
// nothing, apart from that of one that was told nothing.
const first = 1

// Cursor returns that of a peer that was told of everything.
func (c *Counter) Cursor() Cursor { return Cursor(c.last + first) }

// Mark is the number and the source of something that was learned. The zero value
// marks nothing.
type Mark struct {
	cursor Cursor
	source Source
}

// Mark marks what is learned now.
func (c *Counter) Mark(from Source) Mark {
	c.last++
	return Mark{c.Cursor(), from}
}

// Cursor returns that of a peer that was told of everything up to m.
func (m Mark) Cursor() Cursor { return m.cursor }

// IsDue reports whether a peer, which is Near or Far, is to be told. One that was
// told nothing may lack what others told, and is told everything.
func (m Mark) IsDue(told Cursor, to Source) bool {
	return m.cursor > told && (told == 0 || m.source != to)
}
