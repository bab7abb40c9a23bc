// Package burst measures how a new version reaches a fleet: the agents' own
// code over real QUIC on loopback, each behind a link of limited rate, with
// the stand-ins of the origin and the engines.
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

// Sizes of the measurement. The origin sends four copies and a machine two in
// the time T, as the brief says; all that counts is the ratio.
const (
	ModelBytes  = 4 << 20
	ChunkBytes  = 32 << 10
	MachineRate = 2 << 20
	OriginRate  = 2 * MachineRate

	regions        = 3
	zonesPerRegion = 3

	service fleet.ServiceName = "spindle-pool"
)

// member is one agent with its engine and its link.
type member struct {
	id      fleet.InstanceID
	place   fleet.Place
	engine  *engine.Engine
	link    *Link
	scope   tally.TestScope
	process *process.Agent
	running *local.Running
	down    bool
}

// Fleet is a fleet of agents in this process.
type Fleet struct {
	*local.Platform
	members  []*member
	versions int
	logger   *zap.Logger
}

// NewFleet starts n agents beside empty engines.
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

// run starts the agent of a member, also again after it was killed.
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
	m.process, err = process.NewAgent(s, f.logger, process.Options{Socket: m.link.Socket, DownLimit: m.link.Down, Metrics: m.scope})
	if err != nil {
		return err
	}
	f.Instances.Set(m.process.Self())
	m.running = local.Run(m.process.Actors())
	m.down = false
	return nil
}

// kill ends an agent without a word to anybody: its link is dead first.
func (m *member) kill() {
	m.link.Cut(func(netip.AddrPort) bool { return true })
	m.down = true
	m.running.Stop()
	m.process.Close()
}

// Close ends all agents and stand-ins.
func (f *Fleet) Close() {
	for _, m := range f.members {
		if !m.down && m.running != nil {
			m.running.Interrupt()
		}
	}
	for _, m := range f.members {
		if !m.down && m.running != nil {
			m.running.Stop()
			m.process.Close()
		}
		_ = m.engine.Close()
	}
	f.Platform.Close()
}

// newVersion makes another version of the model known to origin and store.
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

// publish writes a text by which all replicas may change at once, so that the
// time is that of the spread alone.
func (f *Fleet) publish(v fleet.Version, policy string) { f.write(v, policy, len(f.members)) }

// publishOneByOne writes a text by which one replica of each zone changes at a
// time, as with live requests.
func (f *Fleet) publishOneByOne(v fleet.Version) { f.write(v, "time", 1) }

// write writes the operator's text.
func (f *Fleet) write(v fleet.Version, policy string, maxUnavailable int) {
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

// serving counts the living agents whose engine has loaded v.
func (f *Fleet) serving(v fleet.Version) (serving, living int) {
	for _, m := range f.members {
		if m.down {
			continue
		}
		living++
		if s := m.engine.Status(); s.Loaded == v && !s.Loading {
			serving++
		}
	}
	return serving, living
}

// behind names living agents that do not serve v, for a report.
func (f *Fleet) behind(v fleet.Version) string {
	var ids []string
	for _, m := range f.members {
		if s := m.engine.Status(); !m.down && s.Loaded != v {
			ids = append(ids, string(m.id))
		}
	}
	slices.Sort(ids)
	return strings.Join(ids, ",")
}

// waitServing waits until all living agents serve v and returns how long that
// took from since.
func (f *Fleet) waitServing(v fleet.Version, since time.Time, most time.Duration) (time.Duration, error) {
	for {
		serving, living := f.serving(v)
		took := time.Since(since)
		if serving == living {
			return took, nil
		}
		if took > most {
			return took, failure.Timeout.New("%d of %d serve %s after %s; behind: %s", serving, living, v.Name, most, f.behind(v))
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// mixed counts requests that engines ran on bytes which do not match their
// version.
func (f *Fleet) mixed() int {
	sum := 0
	for _, m := range f.members {
		sum += m.engine.Counters().WeightMismatches
	}
	return sum
}

// controlBytes sums what all agents sent between each other apart from the
// chunks themselves.
func (f *Fleet) controlBytes() int64 {
	var sum int64
	for _, m := range f.members {
		for _, c := range m.scope.Snapshot().Counters() {
			switch {
			case strings.HasSuffix(c.Name(), sentBytes):
				sum += c.Value()
			case strings.HasSuffix(c.Name(), givenBytes):
				sum -= c.Value()
			}
		}
	}
	return sum
}

// Names of the metrics that make up the control bytes.
const (
	sentBytes  = "bytes_sent"
	givenBytes = "weights_given_bytes"
)

// copies turns bytes into copies of the model.
func copies(bytes uint64) float64 { return float64(bytes) / ModelBytes }

// Bound is the least time in which n instances can have a copy.
func Bound(n int) time.Duration {
	oneFromOrigin := float64(ModelBytes) / OriginRate
	oneAtMachine := float64(ModelBytes) / MachineRate
	all := float64(n) * ModelBytes / float64(OriginRate+n*MachineRate)
	return time.Duration(max(oneFromOrigin, oneAtMachine, all) * float64(time.Second))
}
