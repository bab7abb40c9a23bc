package revision

import (
	"bytes"
	"slices"
	"time"

	"chivespindle.example/core/fleet"
)

// advanceClock advances the clock. A pause of the process does not count as waiting:
// messages received meanwhile are still unread in its sockets, and after
// LongWait it would activate the platform's stale configuration just before
// reading that its peers are ahead. So at most MaxGap of a long gap counts: too
// little to reach Wait, and enough for a slow process to finish its start.
func (k *Keeper) advanceClock(now time.Time) {
	if gap := now.Sub(k.lastCall); gap > k.opts.MaxGap {
		k.started = k.started.Add(gap - k.opts.MaxGap)
	}
	k.lastCall = now
	for peer, claim := range k.claims {
		if now.Sub(claim.at) > k.opts.ClaimTTL {
			delete(k.claims, peer)
		}
	}
}

// storeClaim stores a claim if it can be relevant: any claim until a
// configuration is active, then only those of a higher revision.
func (k *Keeper) storeClaim(now time.Time, claim Claim) {
	if claim.Revision == 0 || k.ready() && claim.Revision <= k.inForce.Revision {
		delete(k.claims, claim.Peer)
		return
	}
	k.claims[claim.Peer] = storedClaim{Claim: claim, at: now}
	if len(k.claims) > maxClaims {
		delete(k.claims, k.lowestClaimant())
	}
}

func (k *Keeper) lowestClaimant() fleet.InstanceID {
	var lowest *storedClaim
	for _, claim := range k.claims {
		if lowest == nil || claim.Revision < lowest.Revision ||
			claim.Revision == lowest.Revision && claim.Peer > lowest.Peer {
			lowest = &claim
		}
	}
	return lowest.Peer
}

// storeCandidate stores a validated configuration until the start condition is met: those
// of the highest revision, one for each digest.
func (k *Keeper) storeCandidate(c Candidate) {
	if len(k.candidates) > 0 && c.Revision > k.candidates[0].Revision {
		k.candidates = nil
	}
	if len(k.candidates) > 0 && c.Revision < k.candidates[0].Revision {
		return
	}
	i := slices.IndexFunc(k.candidates, func(l Candidate) bool { return l.Digest == c.Digest })
	switch {
	case i >= 0 && c.From == FromPlatform:
		k.candidates[i] = c
	case i < 0 && len(k.candidates) < maxReported:
		k.candidates = append(k.candidates, c)
	}
}

// startConditionMet reports whether the start condition of Keeper is met.
func (k *Keeper) startConditionMet() bool {
	waited := k.lastCall.Sub(k.started)
	peers := len(k.claims)
	many := peers >= k.opts.Witnesses
	switch {
	case k.platformAnswered && many:
		return true
	case many, k.platformAnswered && peers > 0:
		return waited >= k.opts.Wait
	case k.platformAnswered, peers > 0:
		return waited >= k.opts.LongWait
	default:
		return false
	}
}

// activateIfReady activates a configuration if none is active, the start condition
// is met and the configuration is available; otherwise it returns d.
func (k *Keeper) activateIfReady(d Decision) Decision {
	if k.ready() || !k.startConditionMet() {
		return d
	}
	ranked := k.ranked()
	if len(ranked) == 0 || ranked[0].text == nil {
		return d
	}
	taken := k.activate(*ranked[0].text)
	for _, other := range ranked[1:] {
		k.reportConflict(&taken, other.candidate())
	}
	taken.Events = append(d.Events, taken.Events...)
	return taken
}

// contender is one digest of the highest revision known.
type contender struct {
	revision Revision
	digest   fleet.Digest
	peers    []fleet.InstanceID // in which it is active, sorted
	platform bool
	text     *Candidate // nil until it was received
}

func (c contender) candidate() Candidate {
	if c.text != nil {
		return *c.text
	}
	return Candidate{Revision: c.revision, Digest: c.digest, From: FromPeer, Peer: c.peers[0]}
}

// ranked returns the digests of the highest revision known, in order of
// preference.
func (k *Keeper) ranked() []contender {
	byDigest := map[fleet.Digest]*contender{}
	highest := k.highestKnown()
	at := func(digest fleet.Digest) *contender {
		if byDigest[digest] == nil {
			byDigest[digest] = &contender{revision: highest, digest: digest}
		}
		return byDigest[digest]
	}
	for _, claim := range k.claims {
		if claim.Revision == highest {
			c := at(claim.Digest)
			c.peers = append(c.peers, claim.Peer)
		}
	}
	for i := range k.candidates {
		if text := &k.candidates[i]; text.Revision == highest {
			c := at(text.Digest)
			c.text = text
			c.platform = text.From == FromPlatform
		}
	}
	list := make([]contender, 0, len(byDigest))
	for _, c := range byDigest {
		slices.Sort(c.peers)
		list = append(list, *c)
	}
	slices.SortFunc(list, compareContenders)
	return list
}

func (k *Keeper) highestKnown() Revision {
	var highest Revision
	for _, claim := range k.claims {
		highest = max(highest, claim.Revision)
	}
	for _, text := range k.candidates {
		highest = max(highest, text.Revision)
	}
	return highest
}

// compareContenders prefers the configuration that is active in the most peers,
// then the platform's, then the lower digest, so that all starting processes
// choose alike.
func compareContenders(a, b contender) int {
	if len(a.peers) != len(b.peers) {
		return len(b.peers) - len(a.peers)
	}
	if a.platform != b.platform {
		if a.platform {
			return -1
		}
		return 1
	}
	return bytes.Compare(a.digest[:], b.digest[:])
}

// Want returns a configuration that is active in peers and missing here, and
// whether there is one. Configurations that this process refuses are left out.
// The caller requests it from one of the peers, or another one if that fails,
// and passes the answer to Offer.
func (k *Keeper) Want(now time.Time) (Want, bool) {
	k.advanceClock(now)
	for _, c := range k.ranked() {
		if c.text != nil {
			break
		}
		if !k.isRefused(c.revision, c.digest) {
			return Want{Revision: c.revision, Digest: c.digest, Peers: c.peers}, true
		}
	}
	return Want{}, false
}
