// Package burst measures how a new version is distributed to a fleet. It runs
// the production agent code over QUIC on loopback, each agent behind a
// rate-limited link, with stand-ins for the origin and the engines.
package burst

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"chivespindle.example/adapters/settings"
	"chivespindle.example/core/failure"
	"chivespindle.example/core/fleet"
	"chivespindle.example/daemon/process"
	"chivespindle.example/standin/bench/local"
	"chivespindle.example/standin/engine"
	"chivespindle.example/standin/platform"
)

// Sizes of the measurement. As required, the origin sends four copies in the
// time T and a machine two; only that ratio matters.
const (
	ModelBytes  = 4 << 20
	ChunkBytes  = 32 << 10
	MachineRate = 2 << 20
	OriginRate  = 2 * MachineRate

	regions        = 3
	zonesPerRegion = 3

	service fleet.ServiceName = "spindle-pool"
)

// member is one agent with its engine and its network link.
type member struct {
	id      fleet.InstanceID
	place   fleet.Place
	engine  *engine.Engine
	link    *Link
	scope   tally.TestScope
	process *process.Agent
	running *local.Running
	stopped bool
}

// Fleet is a fleet of agents in this process.
type Fleet struct {
	*local.Platform
	members  []*member
	versions int
	logger   *zap.Logger
}

// NewFleet starts n agents, each with an engine that has no version loaded.
func NewFleet(n int, logger *zap.Logger) (*Fleet, error) {
	const storeRequests = 10
	p, err := local.NewPlatform(local.Options{
		OriginBytesPerSecond: OriginRate, StoreBytesPerSecond: MachineRate, StoreRequestsPerSecond: storeRequests})
	if err != nil {
		return nil, err
	}
	f := &Fleet{Platform: p, logger: logger}
	for i := range n {
		if err := f.add(i); err != nil {
			f.Close()
			return nil, err
		}
	}
	return f, nil
}

func (f *Fleet) add(i int) error {
	m := &member{
		id:     fleet.InstanceID(fmt.Sprintf("agent-%03d", i)),
		place:  local.PlaceOf(i, regions, zonesPerRegion),
		engine: engine.New(engine.Options{Slots: 8, MaxWaiting: 8, TokenTime: 2 * time.Millisecond, CheckFence: true}),
	}
	if _, err := m.engine.Start(local.AnyPort.String()); err != nil {
		return err
	}
	f.members = append(f.members, m)
	return f.run(m)
}

// run starts the agent of a member, or restarts it after a kill.
func (f *Fleet) run(m *member) error {
	s, err := f.Settings(fleet.RoleAgent, m.id, m.place)
	if err != nil {
		return err
	}
	s.Instance.Service = service
	s.Backend = settings.Backend{Kind: settings.BackendEngine, URL: m.engine.URL()}
	s.Link.BytesPerSecond = MachineRate
	m.link = NewLink(MachineRate)
	m.scope = tally.NewTestScope("", nil)
	m.process, err = process.NewAgent(s, f.logger, process.Options{Socket: m.link.Socket, DownLimit: m.link.DownloadLimiter, Metrics: m.scope})
	if err != nil {
		return err
	}
	f.Instances.Set(m.process.Self())
	m.running = local.Run(m.process.Actors())
	m.stopped = false
	return nil
}

// kill stops an agent without notice to its peers: its link drops all outgoing
// packets before the agent shuts down.
func (m *member) kill() {
	m.link.SetLoss(func(netip.AddrPort) bool { return true })
	m.stopped = true
	m.running.Stop()
	m.process.Close()
}

// Close stops all agents and stand-ins.
func (f *Fleet) Close() {
	for _, m := range f.members {
		if !m.stopped && m.running != nil {
			m.running.Interrupt()
		}
	}
	for _, m := range f.members {
		if !m.stopped && m.running != nil {
			m.running.Stop()
			m.process.Close()
		}
		_ = m.engine.Close()
	}
	f.Platform.Close()
}

// newVersion adds another version of the model to the origin and the store.
func (f *Fleet) newVersion() (fleet.Version, error) {
	f.versions++
	model, err := platform.NewModel(platform.ModelSpec{
		Name: fmt.Sprintf("r%d", f.versions), Bytes: ModelBytes, ChunkBytes: ChunkBytes, Seed: uint64(f.versions)})
	if err != nil {
		return fleet.Version{}, err
	}
	for _, s := range []*platform.WeightServer{f.Origin, f.Store} {
		if _, err := s.Add(model.Manifest, model.Chunks); err != nil {
			return fleet.Version{}, err
		}
	}
	return model.Version, nil
}

// publish publishes a configuration that lets all replicas switch at the same
// time, so that only the distribution is timed.
func (f *Fleet) publish(v fleet.Version, policy string) { f.setConfig(v, policy, len(f.members)) }

// publishOneByOne publishes a configuration that lets one replica of each zone
// switch at a time, as in a rollout under live requests.
func (f *Fleet) publishOneByOne(v fleet.Version) { f.setConfig(v, "time", 1) }

// setConfig publishes the operator's configuration.
func (f *Fleet) setConfig(v fleet.Version, policy string, maxUnavailable int) {
	f.Config.SetConfig([]byte(fmt.Sprintf(`[fleet]
name = burst
[version %[1]s]
manifest = %[2]s
[service %[3]s]
kind = model
version = %[1]s
max_unavailable = %[4]d
spread = %[5]s
origin_rate = %[6]dB
`, v.Name, v.Manifest, service, maxUnavailable, policy, OriginRate)))
}

// serving counts the running agents whose engine has loaded v, and all running
// agents.
func (f *Fleet) serving(v fleet.Version) (serving, running int) {
	for _, m := range f.members {
		if m.stopped {
			continue
		}
		running++
		if s := m.engine.Status(); s.Loaded == v && !s.Loading {
			serving++
		}
	}
	return serving, running
}

// notServing lists the IDs of running agents that do not serve v, for an error
// message.
func (f *Fleet) notServing(v fleet.Version) string {
	var ids []string
	for _, m := range f.members {
		if s := m.engine.Status(); !m.stopped && s.Loaded != v {
			ids = append(ids, string(m.id))
		}
	}
	slices.Sort(ids)
	return strings.Join(ids, ",")
}

// waitServing waits until all running agents serve v and returns the time
// elapsed since the given start.
func (f *Fleet) waitServing(v fleet.Version, since time.Time, timeout time.Duration) (time.Duration, error) {
	for {
		serving, running := f.serving(v)
		took := time.Since(since)
		if serving == running {
			return took, nil
		}
		if took > timeout {
			return took, failure.Timeout.New("%d of %d running agents serve %s after %s; not serving: %s", serving, running, v.Name, timeout, f.notServing(v))
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// weightMismatches counts requests that engines ran on bytes that do not match
// their version.
func (f *Fleet) weightMismatches() int {
	sum := 0
	for _, m := range f.members {
		sum += m.engine.Counters().WeightMismatches
	}
	return sum
}

// controlBytes sums the bytes that agents sent to each other, without the
// chunks.
func (f *Fleet) controlBytes() int64 {
	var sum int64
	for _, m := range f.members {
		for _, c := range m.scope.Snapshot().Counters() {
			switch {
			case strings.HasSuffix(c.Name(), sentBytes):
				sum += c.Value()
			case strings.HasSuffix(c.Name(), uploadedBytes):
				sum -= c.Value()
			}
		}
	}
	return sum
}

// Suffixes of the metric names from which the control bytes are computed.
const (
	sentBytes     = "bytes_sent"
	uploadedBytes = "weights_given_bytes"
)

// modelCopies converts bytes to copies of the model.
func modelCopies(bytes uint64) float64 { return float64(bytes) / ModelBytes }

// Bound returns the theoretical minimum time to deliver a copy to n instances.
func Bound(n int) time.Duration {
	oneFromOrigin := float64(ModelBytes) / OriginRate
	oneAtMachine := float64(ModelBytes) / MachineRate
	all := float64(n) * ModelBytes / float64(OriginRate+n*MachineRate)
	return time.Duration(max(oneFromOrigin, oneAtMachine, all) * float64(time.Second))
}
