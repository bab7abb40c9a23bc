package slopes

import (
	"fmt"
	"slices"
	"time"

	"chivespindle.example/core/fleet"
	"chivespindle.example/core/spread"
	"chivespindle.example/core/weights"
	"chivespindle.example/daemon/wire"
)

const (
	// chunksTarget is a version of 100 GB in chunks of 4 MB.
	chunksTarget = 25_000
	// exchanges are the neighbours that a member tells what it has: those that
	// it chose and those that chose it.
	exchanges = 16
	// newsEvery is the time between two news, as daemon/swarm has it.
	newsEvery = 100 * time.Millisecond
	// burstTime is how long a burst may take.
	burstTime = 3 * time.Minute
)

var chunkCounts = []int{250, 2500, chunksTarget}

// Spread measures what a member of a burst spends on deciding and on telling
// its neighbours what it has.
func Spread() ([]Slope, error) {
	neighbours := measured(Slope{Name: "spread_neighbours", Of: "members", Unit: "ms", Target: BurstInstances},
		[]int{130, BurstInstances, 1170, Servers}, func(n int) float64 {
			plan := planOf(n, 1)
			return perCall(func() { plan.Neighbours() })
		})
	members := measured(Slope{Name: "spread_first_list", Of: "chunks", Unit: "ms", Target: chunksTarget}, chunkCounts,
		func(chunks int) float64 { return perCall(func() { planOf(BurstInstances, chunks) }) })
	memory := measured(Slope{Name: "spread_memory", Of: "chunks", Unit: "B", Target: chunksTarget, Budget: MemoryBudget}, chunkCounts,
		func(chunks int) float64 { return heapOf(func() *spread.Plan { return connected(chunks) }) })
	news := Slope{Name: "spread_news", Of: "chunks", Unit: "B/s", Target: chunksTarget, Budget: TrafficBudget}
	for _, chunks := range chunkCounts {
		rate, err := newsRate(chunks)
		if err != nil {
			return nil, err
		}
		news.Points = append(news.Points, Point{float64(chunks), rate})
	}
	return []Slope{neighbours, members, memory, news}, nil
}

func manifestOf(chunks int) weights.Manifest {
	m := weights.Manifest{Model: "large"}
	for i := range chunks {
		const chunkBytes = 4 << 20
		m.Chunks = append(m.Chunks, weights.Chunk{Index: i, Bytes: chunkBytes, Digest: fleet.DigestOf(fmt.Append(nil, i))})
	}
	return m
}

func membersOf(n int) []spread.Member {
	members := make([]spread.Member, n)
	for i := range members {
		p := phantom(i, 1)
		members[i] = spread.Member{ID: p.ID, Place: p.Place, Addr: p.PeerAddr}
	}
	return members
}

// planOf is the plan of one member that knows n members.
func planOf(n, chunks int) *spread.Plan {
	members := membersOf(n)
	plan := spread.New(spread.Options{Self: members[0], Manifest: manifestOf(chunks),
		ManifestDigest: anySaid.Version.Manifest, Rand: newRand(), Start: time.Now()})
	plan.SetMembers(time.Now(), members)
	return plan
}

// connected is a plan in the middle of a burst: half of the chunks are here
// and at each neighbour.
func connected(chunks int) *spread.Plan {
	plan := planOf(BurstInstances, chunks)
	now := time.Now()
	half := halfOf(chunks)
	plan.AddHeld(now, half)
	for _, m := range membersOf(exchanges + 1)[1:] {
		plan.PeerUp(now, m)
		plan.SetPeerChunks(now, m.ID, weights.SetOf(chunks, half...))
	}
	return plan
}

func halfOf(chunks int) []int {
	var half []int
	for i := 0; i < chunks; i += 2 {
		half = append(half, i)
	}
	return half
}

// newsRate is the bytes a second of news that a member sends and receives over
// all exchanges, if the chunks arrive evenly within burstTime in any order. A
// chunk is told twice: once that it is seen somewhere, once that it is here.
func newsRate(chunks int) (float64, error) {
	order := newRand().Perm(chunks)
	turns := int(burstTime / newsEvery)
	sum, told := 0, 0
	for turn := 1; turn <= turns; turn++ {
		until := chunks * turn / turns
		if until == told {
			continue
		}
		now := slices.Sorted(slices.Values(order[told:until]))
		size, err := encodedSize(wire.ChunkUpdate{Have: now, Seen: now})
		if err != nil {
			return 0, err
		}
		sum += size
		told = until
	}
	return float64(sum) * exchanges * bothWays / burstTime.Seconds(), nil
}
