package placement

import "time"

// An engine with an outdated version may begin nothing once the time of its
// version is over. What waits there begins nevertheless, unless a word of ours
// reaches it before, and in a full link that word may be late. So a request is
// sent there only if it needs no such word: its whole answer is expected within
// the time, and the engine is told to stop then; or it is expected to begin at
// once, whatever other entries place there at the same moment.

// longerThanExpected is by how much a time is taken to exceed what is expected.
const longerThanExpected = 1.2

// within returns the time in which a server is to end its work on a request; 0 if
// the request's own time is all that bounds it.
func (b *Board) within(now time.Time, st *state, ask Ask) time.Duration {
	if ask.Versions == nil {
		return 0
	}
	use, left := ask.Versions(st.Loaded)
	if use != UseOutdated || !b.endsWithin(now, st, ask, left) {
		return 0
	}
	return left
}

// endsWithin reports whether the whole answer is expected from an engine in so
// much time.
func (b *Board) endsWithin(now time.Time, st *state, ask Ask, left time.Duration) bool {
	if ask.Engine == nil {
		return true
	}
	write := max(1, st.Pace) * float64(ask.Engine.Write(b.work(now, st), ask.expected()))
	whole := b.predict(now, st, ask) + time.Duration(write)
	return longerThanExpected*float64(whole) <= float64(left)
}

// beginsAtOnce reports whether a request begins within the time whatever the other
// entries that prefer the engine place there unheard: each has its share of the
// places, and leaves one to each of the others. Entries that prefer other engines
// do not use it.
func (b *Board) beginsAtOnce(now time.Time, st *state, ask Ask, left time.Duration) bool {
	if ask.Engine == nil || !b.prefers(st) {
		return false
	}
	rivals := b.rivals(st.group)
	isOverShare := (len(st.own)+1)*(rivals+1) > st.Slots
	if isOverShare || b.work(now, st).Running+rivals >= st.Slots {
		return false
	}
	first := b.predict(now, st, ask) + time.Duration(rivals)*ask.Engine.Read(ask.Engine.UsualPrompt)
	return longerThanExpected*float64(first) <= float64(left)
}

// expected is the number of tokens that the answer is taken to have.
func (a Ask) expected() int {
	switch {
	case a.Expected > 0:
		return a.Expected
	case a.Engine.UsualAnswer > 0:
		return a.Engine.UsualAnswer
	default:
		return a.Answer
	}
}

func (a Ask) isOutdated(loaded ModelVersion) bool {
	if a.Versions == nil {
		return false
	}
	use, _ := a.Versions(loaded)
	return use != FullUse
}
