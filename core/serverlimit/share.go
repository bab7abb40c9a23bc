package serverlimit

import "chivespindle.example/core/fleet"

const (
	// extraUsers is how many more entries use a server than its limit in requests per
	// second. Each of them may send one request at any moment, so the number is small.
	extraUsers = 2
	// minPerSecond is the rate that is sent to a server whatever its limit: only a
	// response shows that the limit has ended.
	minPerSecond = 0.1
)

// Share returns the requests per second that an entry may send to a server with a
// limit, given the other entries; 0 if it may send none.
//
// If a low limit were divided among all entries, the share of each would be less than
// one request, and a single request from each at the same moment would exceed the limit.
// So only as many entries use the server as its limit allows: those that rank first by
// rendezvous hashing, which all entries compute alike. The others use other servers.
func Share(perSecond float64, server, self fleet.InstanceID, others []fleet.InstanceID) float64 {
	perSecond = max(perSecond, minPerSecond)
	users := int(min(perSecond+extraUsers, float64(1+len(others))))
	ownRank := fleet.RendezvousRank(server, self)
	rank := 0
	for _, id := range others {
		if otherRank := fleet.RendezvousRank(server, id); otherRank < ownRank || otherRank == ownRank && id < self {
			rank++
		}
	}
	if rank >= users {
		return 0
	}
	return perSecond / float64(users)
}
