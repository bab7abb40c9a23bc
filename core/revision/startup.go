package revision

import (
	"bytes"
	"slices"
	"time"

	"chivespindle.example/core/fleet"
)

// advanceClock advances the clock. A pause of the process does not count as
// waiting: messages received meanwhile are still unread in its sockets, and
// after LongWait it would activate the platform's stale configuration just
// before reading that its peers are ahead. So at most MaxGap of a long gap
// counts: too little to reach ShortWait, and enough for a slow process to
// finish its start.
func (s *Selector) advanceClock(now time.Time) {
	if gap := now.Sub(s.lastCall); gap > s.opts.MaxGap {
		s.started = s.started.Add(gap - s.opts.MaxGap)
	}
	s.lastCall = now
	for peer, claim := range s.claims {
		if now.Sub(claim.at) > s.opts.ClaimTTL {
			delete(s.claims, peer)
		}
	}
}

// storeClaim stores a claim if it can be relevant: any claim until a
// configuration is active, then only those of a higher revision.
func (s *Selector) storeClaim(now time.Time, claim Claim) {
	if claim.Revision == 0 || s.ready() && claim.Revision <= s.active.Revision {
		delete(s.claims, claim.Peer)
		return
	}
	s.claims[claim.Peer] = storedClaim{Claim: claim, at: now}
	if len(s.claims) > maxClaims {
		delete(s.claims, s.lowestClaimant())
	}
}

func (s *Selector) lowestClaimant() fleet.InstanceID {
	var lowest *storedClaim
	for _, claim := range s.claims {
		if lowest == nil || claim.Revision < lowest.Revision ||
			claim.Revision == lowest.Revision && claim.Peer > lowest.Peer {
			lowest = &claim
		}
	}
	return lowest.Peer
}

// storeCandidate stores a validated configuration until the start condition is
// met: those of the highest revision, one for each digest.
func (s *Selector) storeCandidate(c Candidate) {
	if len(s.candidates) > 0 && c.Revision > s.candidates[0].Revision {
		s.candidates = nil
	}
	if len(s.candidates) > 0 && c.Revision < s.candidates[0].Revision {
		return
	}
	i := slices.IndexFunc(s.candidates, func(l Candidate) bool { return l.Digest == c.Digest })
	switch {
	case i >= 0 && c.From == FromPlatform:
		s.candidates[i] = c
	case i < 0 && len(s.candidates) < maxReported:
		s.candidates = append(s.candidates, c)
	}
}

// startConditionMet reports whether the start condition of Selector is met.
func (s *Selector) startConditionMet() bool {
	waited := s.lastCall.Sub(s.started)
	peers := len(s.claims)
	many := peers >= s.opts.MinPeers
	switch {
	case s.platformAnswered && many:
		return true
	case many, s.platformAnswered && peers > 0:
		return waited >= s.opts.ShortWait
	case s.platformAnswered, peers > 0:
		return waited >= s.opts.LongWait
	default:
		return false
	}
}

// activateIfReady activates a configuration if none is active, the start
// condition is met and the configuration is available; otherwise it returns d.
func (s *Selector) activateIfReady(d Decision) Decision {
	if s.ready() || !s.startConditionMet() {
		return d
	}
	ranked := s.ranked()
	if len(ranked) == 0 || ranked[0].text == nil {
		return d
	}
	taken := s.activate(*ranked[0].text)
	for _, other := range ranked[1:] {
		s.reportConflict(&taken, other.candidate())
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
func (s *Selector) ranked() []contender {
	byDigest := map[fleet.Digest]*contender{}
	highest := s.highestKnown()
	at := func(digest fleet.Digest) *contender {
		if byDigest[digest] == nil {
			byDigest[digest] = &contender{revision: highest, digest: digest}
		}
		return byDigest[digest]
	}
	for _, claim := range s.claims {
		if claim.Revision == highest {
			c := at(claim.Digest)
			c.peers = append(c.peers, claim.Peer)
		}
	}
	for i := range s.candidates {
		if text := &s.candidates[i]; text.Revision == highest {
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

func (s *Selector) highestKnown() Revision {
	var highest Revision
	for _, claim := range s.claims {
		highest = max(highest, claim.Revision)
	}
	for _, text := range s.candidates {
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

// NextFetch returns a configuration that is active in peers and missing here,
// and whether there is one. Configurations that this process refuses are left
// out. The caller requests it from one of the peers, or another one if that
// fails, and passes the answer to HandleCandidate.
func (s *Selector) NextFetch(now time.Time) (FetchRequest, bool) {
	s.advanceClock(now)
	for _, c := range s.ranked() {
		if c.text != nil {
			break
		}
		if !s.isRefused(c.revision, c.digest) {
			return FetchRequest{Revision: c.revision, Digest: c.digest, Peers: c.peers}, true
		}
	}
	return FetchRequest{}, false
}
