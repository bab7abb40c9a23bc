package revision

import (
	"bytes"
	"slices"
	"time"

	"chivespindle.example/core/fleet"
)

// advance takes note of the time. A process that was paused has not waited:
// what others said meanwhile lies unread in its sockets, and after LongWait
// it would take the platform's stale text a moment before it reads that its
// peers are ahead. So of a long gap only MaxGap counts: too little to reach
// Wait, and enough for a slow process to come to its end.
func (k *Keeper) advance(now time.Time) {
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

// remember keeps a claim if it can matter: any before a text is in force,
// then only those that are ahead.
func (k *Keeper) remember(now time.Time, claim Claim) {
	if claim.Revision == 0 || k.ready() && claim.Revision <= k.inForce.Revision {
		delete(k.claims, claim.Peer)
		return
	}
	k.claims[claim.Peer] = heardClaim{Claim: claim, at: now}
	if len(k.claims) > maxClaims {
		delete(k.claims, k.lowestClaimant())
	}
}

func (k *Keeper) lowestClaimant() fleet.InstanceID {
	var lowest *heardClaim
	for _, claim := range k.claims {
		if lowest == nil || claim.Revision < lowest.Revision ||
			claim.Revision == lowest.Revision && claim.Peer > lowest.Peer {
			lowest = &claim
		}
	}
	return lowest.Peer
}

// load keeps a checked text until enough was heard: those of the highest
// revision, one for each digest.
func (k *Keeper) load(c Candidate) {
	if len(k.loaded) > 0 && c.Revision > k.loaded[0].Revision {
		k.loaded = nil
	}
	if len(k.loaded) > 0 && c.Revision < k.loaded[0].Revision {
		return
	}
	i := slices.IndexFunc(k.loaded, func(l Candidate) bool { return l.Digest == c.Digest })
	switch {
	case i >= 0 && c.From == FromPlatform:
		k.loaded[i] = c
	case i < 0 && len(k.loaded) < maxReported:
		k.loaded = append(k.loaded, c)
	}
}

// enough applies the start rules of Keeper.
func (k *Keeper) enough() bool {
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

// reconsider puts a text in force if none is, enough was heard and the text
// is here; otherwise it returns d.
func (k *Keeper) reconsider(d Decision) Decision {
	if k.ready() || !k.enough() {
		return d
	}
	ranked := k.ranked()
	if len(ranked) == 0 || ranked[0].text == nil {
		return d
	}
	taken := k.take(*ranked[0].text)
	for _, other := range ranked[1:] {
		k.alarm(&taken, other.candidate())
	}
	taken.Events = append(d.Events, taken.Events...)
	return taken
}

// contender is one digest of the highest revision heard.
type contender struct {
	revision Revision
	digest   fleet.Digest
	peers    []fleet.InstanceID // that have it in force, sorted
	platform bool
	text     *Candidate // nil until it is here
}

func (c contender) candidate() Candidate {
	if c.text != nil {
		return *c.text
	}
	return Candidate{Revision: c.revision, Digest: c.digest, From: FromPeer, Peer: c.peers[0]}
}

// ranked returns the digests of the highest revision heard, the one to take
// first.
func (k *Keeper) ranked() []contender {
	byDigest := map[fleet.Digest]*contender{}
	highest := k.highestHeard()
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
	for i := range k.loaded {
		if text := &k.loaded[i]; text.Revision == highest {
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

func (k *Keeper) highestHeard() Revision {
	var highest Revision
	for _, claim := range k.claims {
		highest = max(highest, claim.Revision)
	}
	for _, text := range k.loaded {
		highest = max(highest, text.Revision)
	}
	return highest
}

// compareContenders puts first what most peers have in force, then what the
// platform holds, then the lesser digest, so that all starts decide alike.
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

// Want returns the text that peers have in force and this process has not,
// and whether there is one. Texts that this process refuses are left out.
// The caller asks one of the peers, another one if that fails, and passes the
// answer to Offer.
func (k *Keeper) Want(now time.Time) (Want, bool) {
	k.advance(now)
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
