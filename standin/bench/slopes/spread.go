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
	// chunksTarget is the number of chunks of a 100 GB version in 4 MB chunks.
	chunksTarget = 25_000
	// chunkPeers is the number of peers that a member exchanges chunk updates
	// with, both those that it chose and those that chose it.
	chunkPeers = 16
	// updateInterval is the time between two chunk updates. It matches
	// daemon/swarm.
	updateInterval = 100 * time.Millisecond
	// burstTime is the time allowed for a burst.
	burstTime = 3 * time.Minute
)

var chunkCounts = []int{250, 2500, chunksTarget}

// Spread measures a burst member's work for its plan and the traffic of the
// chunk updates that it exchanges with its peers.
func Spread() ([]Slope, error) {
	neighbours := measurePoints(Slope{Name: "spread_neighbours", Of: "members", Unit: "ms", Target: BurstInstances},
		[]int{130, BurstInstances, 1170, Servers}, func(n int) float64 {
			plan := planOf(n, 1)
			return cpuPerCall(func() { plan.Neighbours() })
		})
	members := measurePoints(Slope{Name: "spread_first_list", Of: "chunks", Unit: "ms", Target: chunksTarget}, chunkCounts,
		func(chunks int) float64 { return cpuPerCall(func() { planOf(BurstInstances, chunks) }) })
	memory := measurePoints(Slope{Name: "spread_memory", Of: "chunks", Unit: "B", Target: chunksTarget, Budget: MemoryBudget}, chunkCounts,
		func(chunks int) float64 { return retainedHeap(func() *spread.Plan { return connected(chunks) }) })
	updates := Slope{Name: "spread_news", Of: "chunks", Unit: "B/s", Target: chunksTarget, Budget: TrafficBudget}
	for _, chunks := range chunkCounts {
		rate, err := updateRate(chunks)
		if err != nil {
			return nil, err
		}
		updates.Points = append(updates.Points, Point{float64(chunks), rate})
	}
	return []Slope{neighbours, members, memory, updates}, nil
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
		p := simInstance(i, 1)
		members[i] = spread.Member{ID: p.ID, Place: p.Place, Addr: p.PeerAddr}
	}
	return members
}

// planOf returns the plan of one member in a set of n members.
func planOf(n, chunks int) *spread.Plan {
	members := membersOf(n)
	plan := spread.New(spread.Options{Self: members[0], Manifest: manifestOf(chunks),
		ManifestDigest: defaultConfig.Version.Manifest, Rand: newRand(), Start: time.Now()})
	plan.SetMembers(time.Now(), members)
	return plan
}

// connected returns a plan in the middle of a burst: the member and each of
// its peers hold half of the chunks.
func connected(chunks int) *spread.Plan {
	plan := planOf(BurstInstances, chunks)
	now := time.Now()
	half := halfOf(chunks)
	plan.AddHeld(now, half)
	for _, m := range membersOf(chunkPeers + 1)[1:] {
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

// updateRate returns the bytes per second of chunk updates that a member sends
// and receives over all exchanges, if the chunks arrive at an even rate within
// burstTime in random order. Each chunk is reported twice: once as seen at any
// member, once as held by this member.
func updateRate(chunks int) (float64, error) {
	order := newRand().Perm(chunks)
	rounds := int(burstTime / updateInterval)
	sum, sent := 0, 0
	for round := 1; round <= rounds; round++ {
		end := chunks * round / rounds
		if end == sent {
			continue
		}
		now := slices.Sorted(slices.Values(order[sent:end]))
		size, err := encodedSize(wire.ChunkUpdate{Have: now, Seen: now})
		if err != nil {
			return 0, err
		}
		sum += size
		sent = end
	}
	return float64(sum) * chunkPeers * bothDirections / burstTime.Seconds(), nil
}
