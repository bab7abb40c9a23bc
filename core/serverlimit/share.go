package serverlimit

import "chivespindle.example/core/fleet"

const (
	// usersBeyond is by how many entries more than its limit a second a server is
	// used. Each of them may send one request at any moment, so few may be.
	usersBeyond = 2
	// leastPerSecond is sent to a server whatever its limit: only a response shows
	// that the limit has ended.
	leastPerSecond = 0.1
)

// Share returns the requests a second that an entry may send to a server with a
// limit, beside the other entries; 0 if it may send none.
//
// Divided among all entries, a low limit would leave each with less than a request
// at a time, and a single one of each at the same moment would exceed it. So as many
// entries use the server as its limit allows, those that rank first by a hash that
// all compute alike. The others use other servers.
func Share(perSecond float64, server, self fleet.InstanceID, others []fleet.InstanceID) float64 {
	perSecond = max(perSecond, leastPerSecond)
	users := int(min(perSecond+usersBeyond, float64(1+len(others))))
	own := fleet.RankOf(server, self)
	rank := 0
	for _, id := range others {
		if weight := fleet.RankOf(server, id); weight < own || weight == own && id < self {
			rank++
		}
	}
	if rank >= users {
		return 0
	}
	return perSecond / float64(users)
}
