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

// roster holds the members that want the manifest, the rank of this member for each
// chunk, and this member's share of the copies fetched from the origin.
type roster struct {
	manifest fleet.Digest
	self     Member
	// members is the current list, sorted by id, self included.
	members []Member
	// everListed holds the seeds of all members that have ever been listed, sorted.
	everListed []uint64
	// limit is the number of chunks that the whole fleet may fetch from the origin.
	limit int
	// quota is this member's share of limit.
	quota int
	// ranked holds the seeds of the other members that have a quota, sorted. Only
	// these are ranked: with more members than chunks to fetch, most have no quota.
	ranked []uint64
	// selfSeed is the seed of this member, score its rendezvous score for each chunk,
	// rank the number of ranked members with a higher score.
	selfSeed uint64
	score    []uint64
	rank     []int32
	// firstInRegion is the set of chunks for which this member ranks first in its
	// region; nil unless NearFirst.
	firstInRegion *weights.Set
}

func newRoster(manifest fleet.Digest, self Member, chunks int, copies float64) roster {
	r := roster{
		manifest: manifest,
		self:     self,
		limit:    int(math.Floor(copies * float64(chunks))),
		score:    make([]uint64, chunks),
		rank:     make([]int32, chunks),
	}
	r.selfSeed = r.seed("member", self.ID)
	for chunk := range r.score {
		r.score[chunk] = score(r.selfSeed, chunk)
	}
	return r
}

// setMembers replaces the member list and reports whether the ranks changed.
func (r *roster) setMembers(members []Member) bool {
	r.members = append([]Member{r.self}, members...)
	slices.SortFunc(r.members, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	r.members = slices.CompactFunc(r.members, func(a, b Member) bool { return a.ID == b.ID })
	for _, m := range r.members {
		seed := r.seed("member", m.ID)
		if at, found := slices.BinarySearch(r.everListed, seed); !found {
			r.everListed = slices.Insert(r.everListed, at, seed)
		}
	}
	r.quota = r.share(r.selfSeed)
	r.rankInRegion()
	return r.rerank()
}

// share returns the share of limit of the member with this seed.
//
// The shares of all members add up to limit, and a member keeps to its share without
// coordination, so that a fleet stays within the limit under any partition. Members
// that left the list keep their share: they may have used it, or may be alive behind a
// partition. A share therefore never grows.
func (r *roster) share(seed uint64) int {
	at, found := slices.BinarySearch(r.everListed, seed)
	if !found {
		return 0
	}
	part := r.limit / len(r.everListed)
	if at < r.limit%len(r.everListed) {
		part++
	}
	return part
}

// rerank updates the ranks for the members that were added and removed, at the cost of
// one hash per such member and chunk.
func (r *roster) rerank() bool {
	var ranked []uint64
	for _, m := range r.members {
		if seed := r.seed("member", m.ID); r.share(seed) > 0 && m.ID != r.self.ID {
			ranked = append(ranked, seed)
		}
	}
	slices.Sort(ranked)
	added := difference(ranked, r.ranked)
	removed := difference(r.ranked, ranked)
	for _, seed := range added {
		r.adjustRanks(seed, 1)
	}
	for _, seed := range removed {
		r.adjustRanks(seed, -1)
	}
	r.ranked = ranked
	return len(added)+len(removed) > 0
}

// effectiveRank returns the effective rank of this member for a chunk: how many members
// come before it.
//
// A member without a quota is not ranked by the others, so it never counts as first.
// If a member without a quota could rank itself first by its score, many such members
// would fetch each chunk in addition to the member responsible for it, and the origin
// would send several copies and take several times as long.
func (r *roster) effectiveRank(chunk int) int {
	if r.quota == 0 {
		return int(r.rank[chunk]) + 1
	}
	return int(r.rank[chunk])
}

func (r *roster) adjustRanks(seed uint64, by int32) {
	for chunk, own := range r.score {
		// A branch would be mispredicted half of the time.
		_, below := bits.Sub64(own, score(seed, chunk), 0)
		r.rank[chunk] += by * int32(below)
	}
}

// originOrder returns the chunks in the pseudo-random order in which they are fetched
// from the origin, which is the same for all members.
func (r *roster) originOrder() []int {
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

// seed hashes a member ID for one purpose, so that the ranks, the ring positions and
// the quota of a member are independent of each other and differ between manifests.
func (r *roster) seed(purpose string, id fleet.InstanceID) uint64 {
	var hash xxhash.Digest
	hash.Reset()
	_, _ = hash.Write(r.manifest[:])
	_, _ = hash.WriteString(purpose)
	_, _ = hash.WriteString("\x00")
	_, _ = hash.WriteString(string(id))
	return hash.Sum64()
}

// score returns the rendezvous score of a seed for a chunk: output number chunk of a
// SplitMix64 generator that starts from seed. A list of 390 members needs ten million
// scores for a version of 25,000 chunks; with a call of xxhash for each, the control
// goroutine is blocked four times as long.
func score(seed uint64, chunk int) uint64 {
	x := seed + uint64(chunk+1)*0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// difference returns the elements of a that are not in b. Both are sorted.
func difference(a, b []uint64) []uint64 {
	var only []uint64
	for _, x := range a {
		if _, found := slices.BinarySearch(b, x); !found {
			only = append(only, x)
		}
	}
	return only
}
