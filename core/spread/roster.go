package spread

import (
	"cmp"
	"math"
	"math/bits"
	"slices"

	"github.com/cespare/xxhash/v2"

	"chivespindle.example/core/fleet"
	"chivespindle.example/core/weights"
)

// roster knows who else wants the manifest, how this member ranks for each
// chunk and what share of the origin's copies is its own.
type roster struct {
	manifest fleet.Digest
	self     Member
	// members is the current list, sorted by id, self included.
	members []Member
	// ever holds the seed of each member that was ever listed, sorted.
	ever []uint64
	// limit is the number of chunks that the whole fleet may draw.
	limit int
	// quota is this member's part of limit.
	quota int
	// rankers holds the seeds of members with a quota, sorted. Only they are
	// ranked: with more members than chunks to draw, most have none.
	rankers []uint64
	// own is this member's seed, score its rendezvous score by chunk, rank the
	// number of rankers with a higher one.
	own   uint64
	score []uint64
	rank  []int32
	// crosses holds the chunks for which this member ranks first in its region;
	// nil unless NearFirst.
	crosses *weights.Set
}

func newRoster(manifest fleet.Digest, self Member, chunks int, copies float64) roster {
	r := roster{
		manifest: manifest,
		self:     self,
		limit:    int(math.Floor(copies * float64(chunks))),
		score:    make([]uint64, chunks),
		rank:     make([]int32, chunks),
	}
	r.own = r.seed("member", self.ID)
	for chunk := range r.score {
		r.score[chunk] = score(r.own, chunk)
	}
	return r
}

// set takes a new list and reports whether the ranks changed.
func (r *roster) set(members []Member) bool {
	r.members = append([]Member{r.self}, members...)
	slices.SortFunc(r.members, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	r.members = slices.CompactFunc(r.members, func(a, b Member) bool { return a.ID == b.ID })
	for _, m := range r.members {
		seed := r.seed("member", m.ID)
		if at, found := slices.BinarySearch(r.ever, seed); !found {
			r.ever = slices.Insert(r.ever, at, seed)
		}
	}
	r.quota = r.share(r.own)
	r.rankInRegion()
	return r.rerank()
}

// share returns the part of limit of the member with this seed.
//
// The parts of all members add up to limit, and a member keeps to its part
// with no word from others, so that a fleet split in any way stays within the
// limit together. Members that left keep their part: they may have used it, or
// be alive behind a partition. So a part never grows.
func (r *roster) share(seed uint64) int {
	at, found := slices.BinarySearch(r.ever, seed)
	if !found {
		return 0
	}
	part := r.limit / len(r.ever)
	if at < r.limit%len(r.ever) {
		part++
	}
	return part
}

// rerank updates the ranks by the members that came and went, which costs one
// hash for each of them and chunk.
func (r *roster) rerank() bool {
	var rankers []uint64
	for _, m := range r.members {
		if seed := r.seed("member", m.ID); r.share(seed) > 0 && m.ID != r.self.ID {
			rankers = append(rankers, seed)
		}
	}
	slices.Sort(rankers)
	came := difference(rankers, r.rankers)
	went := difference(r.rankers, rankers)
	for _, seed := range came {
		r.shift(seed, 1)
	}
	for _, seed := range went {
		r.shift(seed, -1)
	}
	r.rankers = rankers
	return len(came)+len(went) > 0
}

// place is how many members come before this one for a chunk, as it reckons.
//
// A member without a quota is ranked by none of the others, so it is never the
// first. Where it took itself for the first, having the highest score, as many
// members as have no quota drew each chunk beside the one whose turn it was, and the
// origin sent several copies in as many times the time.
func (r *roster) place(chunk int) int {
	if r.quota == 0 {
		return int(r.rank[chunk]) + 1
	}
	return int(r.rank[chunk])
}

func (r *roster) shift(seed uint64, by int32) {
	for chunk, own := range r.score {
		// A branch would be mispredicted half of the time.
		_, below := bits.Sub64(own, score(seed, chunk), 0)
		r.rank[chunk] += by * int32(below)
	}
}

// order returns the chunks in the pseudo-random order in which they leave the
// origin, the same for all members.
func (r *roster) order() []int {
	seed := r.seed("order", "")
	chunks := make([]int, len(r.rank))
	for chunk := range chunks {
		chunks[chunk] = chunk
	}
	slices.SortFunc(chunks, func(a, b int) int {
		return cmp.Compare(score(seed, a), score(seed, b))
	})
	return chunks
}

// seed hashes a member for one purpose, so that its ranks, its place on each
// ring and its quota differ from manifest to manifest and from each other.
func (r *roster) seed(purpose string, id fleet.InstanceID) uint64 {
	var hash xxhash.Digest
	hash.Reset()
	_, _ = hash.Write(r.manifest[:])
	_, _ = hash.WriteString(purpose)
	_, _ = hash.WriteString("\x00")
	_, _ = hash.WriteString(string(id))
	return hash.Sum64()
}

// score is the rendezvous score of the seed's owner for a chunk: output number
// chunk of a SplitMix64 generator that starts from seed. A list of 390 members
// needs ten million scores for a version of 25,000 chunks; with a call of
// xxhash for each, the control goroutine stands still four times as long.
func score(seed uint64, chunk int) uint64 {
	x := seed + uint64(chunk+1)*0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// difference returns the elements of a that b lacks; both are sorted.
func difference(a, b []uint64) []uint64 {
	var only []uint64
	for _, x := range a {
		if _, found := slices.BinarySearch(b, x); !found {
			only = append(only, x)
		}
	}
	return only
}
