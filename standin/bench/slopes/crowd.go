package slopes

import (
	"context"
	"fmt"
	"slices"
	"sync/atomic"
	"time"

	"chivespindle.example/adapters/peer"
	"chivespindle.example/core/balance"
	"chivespindle.example/core/failure"
	"chivespindle.example/core/fleet"
	"chivespindle.example/core/fleettext"
	"chivespindle.example/core/gossip"
	"chivespindle.example/core/spread"
	"chivespindle.example/standin/bench/slopes/usage"
	"chivespindle.example/standin/engine"
	"chivespindle.example/standin/harness"
	"chivespindle.example/standin/pki"
	"chivespindle.example/standin/platform"
)

// crowdSpec says which process is measured and what it meets.
type crowdSpec struct {
	Role fleet.Role
	// Fleet is the number of processes that the instance list names.
	Fleet int
	// Services is how many services their agents belong to. An entry follows
	// about SubsetSize servers of each.
	Services int
	// Subscribers is how many entries follow the load of the measured agent, or
	// the demand of the measured entry.
	Subscribers int
}

// crowd is one process of the system, a program of its own, that believes to
// be in a large fleet: the platform lists all of it, and the processes that it
// talks to are stubs. So its memory, processor time and traffic are those of a
// node at that size, on a machine that could not run the whole.
type crowd struct {
	spec     crowdSpec
	fleet    *harness.Fleet
	process  *harness.Process
	started  time.Time
	measured fleet.Instance
	model    platform.Model
	said     said
	list     []fleet.Instance // without the measured one
	records  []gossip.Record
	byID     map[fleet.InstanceID]gossip.Record
	zone     []gossip.Record // of the measured one's zone
	stubs    map[fleet.InstanceID]*stub
	choosers []fleet.InstanceID // choose the measured one as a neighbour
	followed int                // servers whose load the measured entry follows
	// following counts the streams of load reports that are open.
	following atomic.Int64
	cancel    context.CancelFunc
}

// newCrowd starts the measured process. daemon is the path of chivespindled.
func newCrowd(daemon string, spec crowdSpec) (*crowd, error) {
	c := &crowd{spec: spec, stubs: make(map[fleet.InstanceID]*stub)}
	if err := c.start(daemon); err != nil {
		c.close()
		return nil, err
	}
	return c, nil
}

func (c *crowd) close() {
	if c.cancel != nil {
		c.cancel()
	}
	for _, s := range c.stubs {
		s.close()
	}
	if c.fleet != nil {
		c.fleet.Close()
	}
}

func (c *crowd) start(daemon string) error {
	var err error
	c.fleet, err = harness.New(harness.Options{DaemonPath: daemon})
	if err != nil {
		return err
	}
	if err := c.publish(); err != nil {
		return err
	}
	all := phantoms(c.spec.Fleet, c.spec.Services)
	// An entry of the first few would be one whose demand all others follow.
	self := len(all) - 1
	for all[self].Role != c.spec.Role {
		self--
	}
	c.measured = all[self]
	c.list = slices.Delete(all, self, self+1)
	if err := c.startStubs(); err != nil {
		return err
	}
	for _, i := range c.list {
		c.fleet.Instances.Set(i)
	}
	c.records = recordsOf(c.list, c.said)
	c.byID = make(map[fleet.InstanceID]gossip.Record, len(c.records))
	for _, r := range c.records {
		c.byID[r.ID] = r
		if r.Zone == c.measured.Zone {
			c.zone = append(c.zone, r)
		}
	}
	c.started = time.Now()
	if err := c.startMeasured(); err != nil {
		return err
	}
	return c.waitFollowed()
}

// waitFollowed waits until nearly all streams of load reports are open.
func (c *crowd) waitFollowed() error {
	const nearly = 0.95
	wanted := nearly * float64(c.followed+c.spec.Subscribers)
	for float64(c.following.Load()) < wanted {
		if time.Since(c.started) > longestStart {
			return failure.Timeout.New("%d of %.0f streams of reports are open after %s: %+v",
				c.following.Load(), wanted, longestStart, c.spec)
		}
		time.Sleep(pollEvery)
	}
	return nil
}

// heartbeats are the short forms of all records.
func (c *crowd) heartbeats() []gossip.Record {
	short := make([]gossip.Record, len(c.records))
	for i, r := range c.records {
		short[i] = heartbeat(r, r.HeartbeatSeq)
	}
	return short
}

// publish makes the text that the fleet follows.
func (c *crowd) publish() error {
	const modelBytes, chunkBytes = 64 << 10, 1 << 10
	var err error
	c.model, err = c.fleet.AddModel(platform.ModelSpec{Name: "r1", Bytes: modelBytes, ChunkBytes: chunkBytes, Seed: 1})
	if err != nil {
		return err
	}
	text := fmt.Sprintf("[fleet]\nname = capacity\n[version r1]\nmanifest = %s\n", c.model.Version.Manifest)
	for i := range c.spec.Services {
		text += fmt.Sprintf("[service %s]\nkind = model\nversion = r1\n", serviceOf(i))
	}
	parsed, err := fleettext.Load("capacity", []byte(text))
	if err != nil {
		return err
	}
	c.said = said{Revision: c.fleet.Config.SetConfig([]byte(text)), Digest: parsed.Digest(), Version: c.model.Version}
	return nil
}

// startStubs starts those that the measured process will talk to. It chooses
// by hashes of the ids, so its choices are known before it runs.
func (c *crowd) startStubs() error {
	authority, err := pki.Open(c.fleet.Dir())
	if err != nil {
		return err
	}
	needed := c.chosen()
	for i := range c.list {
		if !needed[c.list[i].ID] {
			continue
		}
		s, err := newStub(c, authority, &c.list[i])
		if err != nil {
			return err
		}
		c.stubs[c.list[i].ID] = s
	}
	return nil
}

// chosen are the neighbours and servers that the measured process chooses, and
// those that are to choose it.
func (c *crowd) chosen() map[fleet.InstanceID]bool {
	needed := make(map[fleet.InstanceID]bool)
	now := time.Now()
	table := gossip.New(gossip.Options{Self: recordOf(c.measured, c.said)})
	table.SetListed(now, c.list)
	for _, contact := range table.Neighbours(now) {
		needed[contact.ID] = true
	}
	if c.spec.Role == fleet.RoleEntry {
		c.addServers(needed)
	} else {
		c.addExchanges(needed)
	}
	c.pickChoosers(needed)
	for _, id := range slices.Concat(c.choosers, c.subscribers()) {
		needed[id] = true
	}
	return needed
}

// addServers adds the servers that the measured entry follows, and the entries
// whose demand it may follow: the first by id, or those of its region.
func (c *crowd) addServers(needed map[fleet.InstanceID]bool) {
	const first = 40 // somewhat more than daemon/entry follows
	self := balance.Entry{ID: c.measured.ID, Place: c.measured.Place}
	entries := []balance.Entry{self}
	byService := make(map[fleet.ServiceName][]balance.Server)
	for _, i := range c.list {
		if i.Role == fleet.RoleAgent {
			byService[i.Service] = append(byService[i.Service], balance.Server{ID: i.ID, Place: i.Place})
			continue
		}
		needed[i.ID] = len(entries) <= first || i.Region == self.Region
		entries = append(entries, balance.Entry{ID: i.ID, Place: i.Place})
	}
	for _, servers := range byService {
		for _, s := range balance.Assign(self, entries, servers, SubsetSize) {
			needed[s.ID] = true
			c.followed++
		}
	}
}

// addExchanges adds the neighbours of the spread of weights.
func (c *crowd) addExchanges(needed map[fleet.InstanceID]bool) {
	member := func(i fleet.Instance) spread.Member { return spread.Member{ID: i.ID, Place: i.Place} }
	plan := spread.New(spread.Options{Self: member(c.measured), Manifest: c.model.Manifest,
		ManifestDigest: c.said.Version.Manifest, Rand: newRand(), Start: time.Now()})
	var members []spread.Member
	for _, i := range c.list {
		if i.Role == fleet.RoleAgent {
			members = append(members, member(i))
		}
	}
	plan.SetMembers(time.Now(), members)
	for _, m := range plan.Neighbours() {
		needed[m.ID] = true
	}
}

// choosersEach is how many choose the measured process from its own zone, and
// from elsewhere; all exchange chunks with an agent, and some gossip.
const choosersEach, gossipEach = exchanges / 4, neighbours / 4

// pickChoosers picks agents that choose the measured process as a neighbour,
// half of them in its zone: about as many as it chooses itself. None is one that
// it chose, since of two links to one neighbour one would be closed.
func (c *crowd) pickChoosers(taken map[fleet.InstanceID]bool) {
	var near, far []fleet.InstanceID
	for _, i := range c.list {
		switch {
		case i.Role != fleet.RoleAgent || taken[i.ID]:
		case i.Zone == c.measured.Zone:
			near = append(near, i.ID)
		default:
			far = append(far, i.ID)
		}
	}
	c.choosers = slices.Concat(near[:choosersEach], far[:choosersEach])
}

// subscribers are the first of the entries.
func (c *crowd) subscribers() []fleet.InstanceID {
	var ids []fleet.InstanceID
	for _, i := range c.list {
		if i.Role == fleet.RoleEntry && len(ids) < c.spec.Subscribers {
			ids = append(ids, i.ID)
		}
	}
	return ids
}

// startMeasured starts the program and lets the stubs call it.
func (c *crowd) startMeasured() error {
	var err error
	if c.spec.Role == fleet.RoleEntry {
		c.process, err = c.fleet.StartEntry(c.measured.ID, c.measured.Place)
	} else {
		c.process, err = c.fleet.StartAgent(c.measured.ID, c.measured.Place,
			harness.AgentSpec{Service: c.measured.Service, Engine: &engine.Options{}})
	}
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	c.cancel = cancel
	to := c.process.Instance
	for n, id := range c.choosers {
		s := c.stubs[id]
		if n%choosersEach < gossipEach {
			go s.dial(ctx, to, peer.KindGossip, s.gossip)
		}
		if c.spec.Role == fleet.RoleAgent {
			go s.dial(ctx, to, peer.KindChunk, s.exchange)
		}
	}
	for _, id := range c.subscribers() {
		s := c.stubs[id]
		go s.dial(ctx, to, peer.KindReport, s.subscribe)
	}
	return nil
}

// ready checks that the engine beside a measured agent serves.
func (c *crowd) ready() error {
	for _, e := range c.fleet.Engines {
		if e.Status().Loaded != c.model.Version {
			return failure.Timeout.New("%+v does not serve after %s", c.spec, time.Since(c.started))
		}
	}
	return nil
}

// cost is what the measured process spends in a second.
type cost struct {
	CPU   float64 // ms of a core
	Bytes float64 // sent and received, with all headers
	RSS   float64 // resident bytes at the end
}

// reading is the state of the counters at one moment.
type reading struct {
	at    time.Time
	used  usage.Reading
	bytes float64
}

func (c *crowd) read() (reading, error) {
	r := reading{at: time.Now()}
	for _, s := range c.stubs {
		r.bytes += s.wireBytes()
	}
	var err error
	r.used, err = usage.Of(c.process.PID())
	return r, err
}

// since returns the cost from one reading to another.
func (r reading) since(before reading) cost {
	seconds := r.at.Sub(before.at).Seconds()
	return cost{
		CPU:   float64((r.used.CPU - before.used.CPU).Nanoseconds()) / float64(time.Millisecond) / seconds,
		Bytes: (r.bytes - before.bytes) / seconds,
		RSS:   r.used.RSS,
	}
}

// beyond returns the bytes since started that are more than the steady rate.
func (r reading) beyond(steady cost, started time.Time) float64 {
	return r.bytes - steady.Bytes*r.at.Sub(started).Seconds()
}

// change lets states in the fleet change at a rate, as reported by one
// neighbour; the measured process passes them on to the others.
func (c *crowd) change(perSecond int64) {
	s := c.stubs[c.choosers[0]]
	s.changes.Store(perSecond)
}
