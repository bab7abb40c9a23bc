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

// simSpec describes the measured process and its simulated fleet.
type simSpec struct {
	Role fleet.Role
	// Fleet is the number of processes in the instance list.
	Fleet int
	// Services is the number of services that the agents belong to. An entry
	// subscribes to about SubsetSize servers of each.
	Services int
	// Subscribers is the number of entries that subscribe to the load reports
	// of the measured agent, or to the demand reports of the measured entry.
	Subscribers int
}

// simFleet runs one real process, a program of its own, in a simulated large
// fleet: the platform lists all instances, and the processes that it connects
// to are stubs. Its memory, processor time and traffic are therefore those of
// a node in a fleet that is too large to run on one machine.
type simFleet struct {
	spec     simSpec
	fleet    *harness.Fleet
	process  *harness.Process
	started  time.Time
	measured fleet.Instance
	model    platform.Model
	config   configState
	list     []fleet.Instance // without the measured process
	records  []gossip.Record
	byID     map[fleet.InstanceID]gossip.Record
	zone     []gossip.Record // of the measured process's zone
	stubs    map[fleet.InstanceID]*stub
	inbound  []fleet.InstanceID // choose the measured process as a neighbour
	followed int                // servers that the measured entry subscribes to
	// openReportStreams is the number of open streams of load reports.
	openReportStreams atomic.Int64
	cancel            context.CancelFunc
}

// newSimFleet starts the stubs and the measured process. daemon is the path of
// chivespindled.
func newSimFleet(daemon string, spec simSpec) (*simFleet, error) {
	c := &simFleet{spec: spec, stubs: make(map[fleet.InstanceID]*stub)}
	if err := c.start(daemon); err != nil {
		c.close()
		return nil, err
	}
	return c, nil
}

func (c *simFleet) close() {
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

func (c *simFleet) start(daemon string) error {
	var err error
	c.fleet, err = harness.New(harness.Options{DaemonPath: daemon})
	if err != nil {
		return err
	}
	if err := c.publish(); err != nil {
		return err
	}
	all := simInstances(c.spec.Fleet, c.spec.Services)
	// All other entries subscribe to the demand of the first few entries, so the
	// measured process is taken from the end of the list.
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
	c.records = recordsOf(c.list, c.config)
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
	return c.waitSubscribed()
}

// waitSubscribed waits until nearly all streams of load reports are open.
func (c *simFleet) waitSubscribed() error {
	const nearly = 0.95
	wanted := nearly * float64(c.followed+c.spec.Subscribers)
	for float64(c.openReportStreams.Load()) < wanted {
		if time.Since(c.started) > startTimeout {
			return failure.Timeout.New("%d of %.0f streams of reports are open after %s: %+v",
				c.openReportStreams.Load(), wanted, startTimeout, c.spec)
		}
		time.Sleep(pollInterval)
	}
	return nil
}

// heartbeats returns the heartbeat form of all records.
func (c *simFleet) heartbeats() []gossip.Record {
	short := make([]gossip.Record, len(c.records))
	for i, r := range c.records {
		short[i] = heartbeat(r, r.HeartbeatSeq)
	}
	return short
}

// publish publishes the fleet's model and configuration.
func (c *simFleet) publish() error {
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
	c.config = configState{Revision: c.fleet.Config.SetConfig([]byte(text)), Digest: parsed.Digest(), Version: c.model.Version}
	return nil
}

// startStubs starts a stub for each process that the measured process will
// connect to. Processes choose their peers by hashes of the instance IDs, so
// the choices are known before the measured process runs.
func (c *simFleet) startStubs() error {
	authority, err := pki.Open(c.fleet.Dir())
	if err != nil {
		return err
	}
	needed := c.requiredStubs()
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

// requiredStubs returns the neighbours and servers that the measured process
// chooses, and the processes that connect to it.
func (c *simFleet) requiredStubs() map[fleet.InstanceID]bool {
	needed := make(map[fleet.InstanceID]bool)
	now := time.Now()
	table := gossip.New(gossip.Options{Self: recordOf(c.measured, c.config)})
	table.SetListed(now, c.list)
	for _, contact := range table.Neighbours(now) {
		needed[contact.ID] = true
	}
	if c.spec.Role == fleet.RoleEntry {
		c.addServers(needed)
	} else {
		c.addChunkPeers(needed)
	}
	c.pickInbound(needed)
	for _, id := range slices.Concat(c.inbound, c.subscribers()) {
		needed[id] = true
	}
	return needed
}

// addServers adds the servers that the measured entry subscribes to, and the
// entries whose demand it may subscribe to: the first by ID, or those of its
// region.
func (c *simFleet) addServers(needed map[fleet.InstanceID]bool) {
	const first = 40 // somewhat more than daemon/entry subscribes to
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

// addChunkPeers adds the peers that the measured agent exchanges chunks with.
func (c *simFleet) addChunkPeers(needed map[fleet.InstanceID]bool) {
	member := func(i fleet.Instance) spread.Member { return spread.Member{ID: i.ID, Place: i.Place} }
	plan := spread.New(spread.Options{Self: member(c.measured), Manifest: c.model.Manifest,
		ManifestDigest: c.config.Version.Manifest, Rand: newRand(), Start: time.Now()})
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

// inboundPerSide is the number of processes that choose the measured process
// from its own zone, and the number from other zones. All of them exchange
// chunks with an agent; gossipPerSide of each side also open a gossip link.
const inboundPerSide, gossipPerSide = chunkPeers / 4, neighbours / 4

// pickInbound picks agents that choose the measured process as a neighbour,
// half of them in its zone: about as many as it chooses itself. Processes that
// it chose are left out, because one of two links between the same two
// neighbours would be closed.
func (c *simFleet) pickInbound(taken map[fleet.InstanceID]bool) {
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
	c.inbound = slices.Concat(near[:inboundPerSide], far[:inboundPerSide])
}

// subscribers returns the first spec.Subscribers entries.
func (c *simFleet) subscribers() []fleet.InstanceID {
	var ids []fleet.InstanceID
	for _, i := range c.list {
		if i.Role == fleet.RoleEntry && len(ids) < c.spec.Subscribers {
			ids = append(ids, i.ID)
		}
	}
	return ids
}

// startMeasured starts the measured process and lets the stubs connect to it.
func (c *simFleet) startMeasured() error {
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
	for n, id := range c.inbound {
		s := c.stubs[id]
		if n%inboundPerSide < gossipPerSide {
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

// checkReady checks that the engine of a measured agent has loaded the model.
func (c *simFleet) checkReady() error {
	for _, e := range c.fleet.Engines {
		if e.Status().Loaded != c.model.Version {
			return failure.Timeout.New("%+v: engine has not loaded the model after %s", c.spec, time.Since(c.started))
		}
	}
	return nil
}

// cost is what the measured process uses per second.
type cost struct {
	CPU   float64 // ms of processor time
	Bytes float64 // sent and received, including headers
	RSS   float64 // resident bytes at the end
}

// reading holds the counters at one point in time.
type reading struct {
	at    time.Time
	used  usage.Reading
	bytes float64
}

func (c *simFleet) read() (reading, error) {
	r := reading{at: time.Now()}
	for _, s := range c.stubs {
		r.bytes += s.wireBytes()
	}
	var err error
	r.used, err = usage.Of(c.process.PID())
	return r, err
}

// since returns the cost between an earlier reading and this one.
func (r reading) since(before reading) cost {
	seconds := r.at.Sub(before.at).Seconds()
	return cost{
		CPU:   float64((r.used.CPU - before.used.CPU).Nanoseconds()) / float64(time.Millisecond) / seconds,
		Bytes: (r.bytes - before.bytes) / seconds,
		RSS:   r.used.RSS,
	}
}

// excessBytes returns the bytes since started beyond those of the steady rate.
func (r reading) excessBytes(steady cost, started time.Time) float64 {
	return r.bytes - steady.Bytes*r.at.Sub(started).Seconds()
}

// setChangeRate sets the number of state changes per second that one neighbour
// reports; the measured process passes them on to the others.
func (c *simFleet) setChangeRate(perSecond int64) {
	s := c.stubs[c.inbound[0]]
	s.changes.Store(perSecond)
}
