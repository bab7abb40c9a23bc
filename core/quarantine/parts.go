package quarantine

import (
	"slices"
	"time"

	"chivespindle.example/core/feed"
	"chivespindle.example/core/fleet"
)

const (
	// partThreshold is the number of crashes at which a part is quarantined.
	partThreshold = 4
	// minPartRequests is the number of different requests that must have been in flight at
	// those crashes. A single request that crashes servers is quarantined by itself.
	minPartRequests = 2
	// minPartInterval is the minimum time between crashes that count separately. Servers
	// that are lost together say no more of a part than one of them.
	minPartInterval = 100 * time.Millisecond
	// recentProof is how long after a response to a request with the part a crash is not
	// attributed to it. Parts that most requests share are hardly reported that way.
	recentProof = 2 * time.Second
	// maxPartRecords bounds the parts that are remembered.
	maxPartRecords = 1024
	// maxPartCrashes bounds the observations remembered per part.
	maxPartCrashes = 64
	// maxRequestsPerCrash bounds the requests remembered per part and crash.
	maxRequestsPerCrash = minPartRequests
)

// partCrash is a crash of a server while a request with the part was in flight to whose
// response the server had not been found to have started.
type partCrash struct {
	request Fingerprint
	server  fleet.InstanceID
	at      time.Time
	// position is the part's position among the request's suspect parts.
	position int
}

// isSameCrash reports whether both belong to the same crash of a server.
func (c partCrash) isSameCrash(server fleet.InstanceID, at time.Time) bool {
	return c.server == server && c.at.Sub(at).Abs() < minRestartTime
}

// crashIndex holds the times of crashes by server. Callers choose the parts and their number,
// and each new crash is compared with all known ones.
type crashIndex map[fleet.InstanceID][]time.Time

func (x crashIndex) add(crashes []partCrash) {
	for _, c := range crashes {
		x[c.server] = append(x[c.server], c.at)
	}
}

// has reports whether the index holds the same crash of a server.
func (x crashIndex) has(server fleet.InstanceID, at time.Time) bool {
	return slices.ContainsFunc(x[server], func(known time.Time) bool { return known.Sub(at).Abs() < minRestartTime })
}

// partRecord holds the observations of one part.
type partRecord struct {
	crashes []partCrash // since the success, oldest first
	// success is the start of the newest response to a request with the part; zero if
	// none is known. mark is that of its report.
	success time.Time
	mark    feed.Mark
}

// partVerdict is the reason for the quarantine of a part.
type partVerdict struct {
	servers []fleet.InstanceID
	until   time.Time
}

// parts finds the parts that crash servers.
//
// A crash ends all requests that a server had in flight, so each of their parts is a
// suspect. A part that crashes every server never gets a response, while the other parts
// do, so a response clears all earlier crashes of its parts. Of the remaining suspects the
// one with the most crashes explains these, which then no longer count for others; parts
// that ever got a response come last. The choice is repeated with each observation: a part
// that was blamed for the crashes of another one is sent no more, and the other one soon
// has more crashes.
type parts struct {
	records map[Part]*partRecord
	proofs  proofs
	// isStale is true if the fields below do not reflect the records.
	isStale     bool
	quarantined map[Part]partVerdict
	// explained are the crashes at which a quarantined part was in flight.
	explained crashIndex
	// changes are the quarantines and releases that TakePartChanges has not returned yet.
	changes []PartChange
}

// PartChange is the start or the end of the quarantine of a part.
type PartChange struct {
	Part Part
	// Servers are the servers that crashed, Until is when the quarantine ends. Both are
	// zero if the part was released.
	Servers []fleet.InstanceID
	Until   time.Time
}

// IsRelease reports whether the part is no longer quarantined.
func (c PartChange) IsRelease() bool { return len(c.Servers) == 0 }

func newParts() parts { return parts{records: make(map[Part]*partRecord), proofs: newProofs()} }

// suspects returns the parts that may have caused a crash: those without a recent proof.
func (p *parts) suspects(now time.Time, all []Part) []Part {
	return slices.DeleteFunc(slices.Clone(all), func(part Part) bool {
		proved, ok := p.proofs.last(part)
		return ok && now.Sub(proved) < recentProof
	})
}

// crashed adds a crash with a request in flight that has the given suspect parts.
func (p *parts) crashed(request Fingerprint, o observation) {
	for position, part := range o.parts {
		rec := p.record(part)
		c := partCrash{request: request, server: o.server, at: o.at, position: position}
		if o.at.After(rec.success) && rec.lacks(c) {
			rec.add(c)
			p.isStale = true
		}
	}
}

// lacks reports whether a crash is to be added: it is not known with this request, nor with
// enough others.
func (rec *partRecord) lacks(c partCrash) bool {
	known := 0
	for _, other := range rec.crashes {
		if !c.isSameCrash(other.server, other.at) {
			continue
		}
		if known++; other.request == c.request || known == maxRequestsPerCrash {
			return false
		}
	}
	return true
}

// add adds a crash. If there are too many, the oldest of those that do not count
// separately is dropped: without the older ones that do, many crashes in a short time would
// end a quarantine.
func (rec *partRecord) add(c partCrash) {
	at := len(rec.crashes)
	for at > 0 && rec.crashes[at-1].at.After(c.at) {
		at--
	}
	rec.crashes = slices.Insert(rec.crashes, at, c)
	if len(rec.crashes) <= maxPartCrashes {
		return
	}
	counted := separate(rec.crashes)
	counted = counted[:min(len(counted), partThreshold)]
	oldest := slices.IndexFunc(rec.crashes, func(c partCrash) bool { return !slices.Contains(counted, c) })
	rec.crashes = slices.Delete(rec.crashes, oldest, oldest+1)
}

// proved records the start of a response at an entry. It reports whether that clears
// crashes, so that other entries have to know.
func (p *parts) proved(part Part, at time.Time) bool {
	rec := p.records[part]
	return rec != nil && len(rec.crashes) > 0 && rec.succeed(at) && p.markStale()
}

// reportedProved records the start of a response at another entry. It reports whether that
// is news.
func (p *parts) reportedProved(part Part, at time.Time) bool {
	rec := p.records[part]
	if rec == nil {
		p.record(part).success = at
		return true
	}
	return rec.succeed(at) && p.markStale()
}

func (p *parts) markStale() bool {
	p.isStale = true
	return true
}

// succeed drops the crashes before a success. It reports whether there were any.
func (rec *partRecord) succeed(at time.Time) bool {
	before := len(rec.crashes)
	rec.crashes = slices.DeleteFunc(rec.crashes, func(c partCrash) bool { return !c.at.After(at) })
	if at.After(rec.success) {
		rec.success = at
	}
	return len(rec.crashes) < before
}

// record returns the record of a part. A new one may evict another.
func (p *parts) record(part Part) *partRecord {
	rec := p.records[part]
	if rec == nil {
		if len(p.records) >= maxPartRecords {
			p.evict()
		}
		rec = &partRecord{}
		p.records[part] = rec
	}
	return rec
}

// evict drops the record with the fewest crashes, the oldest of those.
func (p *parts) evict() {
	var least Part
	var leastRec *partRecord
	for part, rec := range p.records {
		if !p.isQuarantined(part) && (leastRec == nil || rec.isEvictedBefore(leastRec)) {
			least, leastRec = part, rec
		}
	}
	delete(p.records, least)
}

func (rec *partRecord) isEvictedBefore(other *partRecord) bool {
	if len(rec.crashes) != len(other.crashes) {
		return len(rec.crashes) < len(other.crashes)
	}
	return rec.newest().Before(other.newest())
}

func (rec *partRecord) newest() time.Time {
	if n := len(rec.crashes); n > 0 {
		return rec.crashes[n-1].at
	}
	return rec.success
}

// dropExpired drops the observations that have reached their TTL.
func (p *parts) dropExpired(now time.Time) {
	for part, rec := range p.records {
		before := len(rec.crashes)
		rec.crashes = slices.DeleteFunc(rec.crashes, func(c partCrash) bool { return now.Sub(c.at) >= crashTTL })
		p.isStale = p.isStale || len(rec.crashes) < before
		if len(rec.crashes) == 0 && now.Sub(rec.success) >= successTTL {
			delete(p.records, part)
		}
	}
}

// settle decides which parts are quarantined.
func (p *parts) settle() {
	p.isStale = false
	before := p.quarantined
	p.quarantined, p.explained = make(map[Part]partVerdict), make(crashIndex)
	for {
		part, found := p.mostSuspect()
		if !found {
			break
		}
		rec := p.records[part]
		p.quarantined[part] = rec.verdict(rec.unexplained(p.explained))
		p.explained.add(rec.crashes)
	}
	p.recordChanges(before)
}

func (p *parts) recordChanges(before map[Part]partVerdict) {
	for part, v := range p.quarantined {
		if _, ok := before[part]; !ok {
			p.changes = append(p.changes, PartChange{Part: part, Servers: v.servers, Until: v.until})
		}
	}
	for part := range before {
		if _, ok := p.quarantined[part]; !ok {
			p.changes = append(p.changes, PartChange{Part: part})
		}
	}
}

// mostSuspect returns the most suspect of the parts with enough crashes that are not
// explained yet.
func (p *parts) mostSuspect() (Part, bool) {
	var best Part
	var bestSuspicion suspicion
	for part, rec := range p.records {
		if len(rec.crashes) < partThreshold {
			continue
		}
		crashes := rec.unexplained(p.explained)
		if !isEnough(crashes) {
			continue
		}
		if s := p.suspicion(part, crashes); best == "" || s.exceeds(bestSuspicion) {
			best, bestSuspicion = part, s
		}
	}
	return best, best != ""
}

// unexplained returns the crashes of the part that none of the given ones explains.
func (rec *partRecord) unexplained(explained crashIndex) []partCrash {
	if len(explained) == 0 {
		return rec.crashes
	}
	var left []partCrash
	for _, c := range rec.crashes {
		if !explained.has(c.server, c.at) {
			left = append(left, c)
		}
	}
	return left
}

// isEnough reports whether the crashes suffice to quarantine a part.
func isEnough(crashes []partCrash) bool {
	requests := make(map[Fingerprint]bool, minPartRequests)
	for _, c := range crashes {
		if requests[c.request] = true; len(requests) == minPartRequests {
			return len(separate(crashes)) >= partThreshold
		}
	}
	return false
}

// separate returns the crashes of different servers that are far enough apart. crashes are in
// the order of time.
func separate(crashes []partCrash) []partCrash {
	var counted []partCrash
	for _, c := range crashes {
		n := len(counted)
		if n == 0 || c.at.Sub(counted[n-1].at) >= minPartInterval && !isLatestCrash(counted, c) {
			counted = append(counted, c)
		}
	}
	return counted
}

// isLatestCrash reports whether c is the same crash as one of the last of the given ones, which
// are in the order of time and not later.
func isLatestCrash(crashes []partCrash, c partCrash) bool {
	for _, earlier := range slices.Backward(crashes) {
		if c.at.Sub(earlier.at) >= minRestartTime {
			return false
		}
		if earlier.server == c.server {
			return true
		}
	}
	return false
}

// suspicion orders parts by how likely each is to have caused its crashes.
type suspicion struct {
	// isUnproved is true if no response to a request with the part is known.
	isUnproved bool
	servers    int
	// positions is the sum of the part's positions: of parts that always come together,
	// the later one is shared by fewer requests.
	positions int
	part      Part
}

// hasProof reports whether a response to a request with the part is known.
func (p *parts) hasProof(part Part) bool {
	if _, ok := p.proofs.last(part); ok {
		return true
	}
	rec := p.records[part]
	return rec != nil && !rec.success.IsZero()
}

func (p *parts) suspicion(part Part, crashes []partCrash) suspicion {
	s := suspicion{servers: len(serversOf(crashes)), isUnproved: !p.hasProof(part), part: part}
	for _, c := range crashes {
		s.positions += c.position
	}
	return s
}

func (s suspicion) exceeds(other suspicion) bool {
	switch {
	case s.isUnproved != other.isUnproved:
		return s.isUnproved
	case s.servers != other.servers:
		return s.servers > other.servers
	case s.positions != other.positions:
		return s.positions > other.positions
	default:
		return s.part < other.part
	}
}

func serversOf(crashes []partCrash) []fleet.InstanceID {
	var servers []fleet.InstanceID
	seen := make(map[fleet.InstanceID]bool, len(crashes))
	for _, c := range crashes {
		if !seen[c.server] {
			seen[c.server] = true
			servers = append(servers, c.server)
		}
	}
	return servers
}

// verdict returns the verdict on a part with the given crashes. It ends when too few of
// them are left.
func (rec *partRecord) verdict(crashes []partCrash) partVerdict {
	counted := separate(crashes)
	return partVerdict{servers: serversOf(crashes), until: counted[len(counted)-partThreshold].at.Add(crashTTL)}
}

func (p *parts) isQuarantined(part Part) bool {
	_, ok := p.quarantined[part]
	return ok
}

// isExplained reports whether a quarantined part was in flight at a crash.
func (p *parts) isExplained(o observation) bool {
	return p.explained.has(o.server, o.at)
}

// crashes returns the number of separate crashes of a part that are not explained.
func (p *parts) crashes(part Part) int {
	rec := p.records[part]
	if rec == nil {
		return 0
	}
	return len(separate(rec.unexplained(p.explained)))
}
