package slopes

import (
	"fmt"
	"os"
	"strings"
	"time"

	"chivespindle.example/core/failure"
	"chivespindle.example/core/fleet"
	"chivespindle.example/standin/bench/local"
	"chivespindle.example/standin/bench/slopes/usage"
	"chivespindle.example/standin/engine"
	"chivespindle.example/standin/harness"
	"chivespindle.example/standin/platform"
)

// idleSizes are the sizes of the fleets of real processes, a third of them
// entries. All fleets run at the same time.
var idleSizes = []int{9, 18, 45}

// processesPerEntry makes every third process an entry.
const processesPerEntry = 3

// idleFleet is a fleet that receives no requests.
type idleFleet struct {
	*harness.Fleet
	model           platform.Model
	entries, agents []*harness.Process
}

func newIdleFleet(daemon string, n int) (*idleFleet, error) {
	h, err := harness.New(harness.Options{DaemonPath: daemon})
	if err != nil {
		return nil, err
	}
	f := &idleFleet{Fleet: h}
	if err := f.start(n); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

func (f *idleFleet) start(n int) error {
	const modelBytes, chunkBytes = 64 << 10, 1 << 10
	var err error
	f.model, err = f.AddModel(platform.ModelSpec{Name: "r1", Bytes: modelBytes, ChunkBytes: chunkBytes, Seed: 1})
	if err != nil {
		return err
	}
	f.Config.SetConfig(fmt.Appendf(nil, "[fleet]\nname = idle\n[version r1]\nmanifest = %s\n[service %s]\nkind = model\nversion = r1\n",
		f.model.Version.Manifest, serviceOf(0)))
	for i := range n {
		if err := f.add(i); err != nil {
			return err
		}
	}
	return nil
}

func (f *idleFleet) add(i int) error {
	id := fleet.InstanceID(fmt.Sprintf("i-%03d", i))
	if i%processesPerEntry == 0 {
		// PlaceOf cycles through the three regions, so with i itself all entries
		// would be in one region.
		p, err := f.StartEntry(id, local.PlaceOf(i/processesPerEntry, Regions, Zones/Regions))
		f.entries = append(f.entries, p)
		return err
	}
	p, err := f.StartAgent(id, local.PlaceOf(i, Regions, Zones/Regions), harness.AgentSpec{Service: serviceOf(0), Engine: &engine.Options{}})
	f.agents = append(f.agents, p)
	return err
}

// waitReady waits until all engines have loaded the model.
func (f *idleFleet) waitReady() error {
	started := time.Now()
	for id, e := range f.Engines {
		for e.Status().Loaded != f.model.Version {
			if time.Since(started) > startTimeout {
				return failure.Timeout.New("%s: engine in a fleet of %d has not loaded the model; last log line: %s",
					id, len(f.entries)+len(f.agents), lastLine(f.Process(id).LogPath))
			}
			time.Sleep(pollInterval)
		}
	}
	return nil
}

// lastLine returns the last line of a log file, for error messages.
func lastLine(path string) string {
	data, err := os.ReadFile(path)
	if err != nil {
		return err.Error()
	}
	lines := strings.Split(strings.TrimSpace(string(data)), "\n")
	return lines[len(lines)-1]
}

// idleReading holds a fleet's counters at one point in time.
type idleReading struct {
	at              time.Time
	entries, agents usage.Reading // means
	sent            float64       // bytes of frames, mean per process
	calls           float64       // calls of the platform by all processes
}

func (f *idleFleet) read() (idleReading, error) {
	r := idleReading{at: time.Now(), calls: float64(f.Config.Calls() + f.Instances.Calls())}
	var err error
	if r.entries, err = meanUsage(f.entries); err != nil {
		return r, err
	}
	if r.agents, err = meanUsage(f.agents); err != nil {
		return r, err
	}
	all := append(append([]*harness.Process(nil), f.entries...), f.agents...)
	for _, p := range all {
		metrics, err := usage.MetricsOf(p.OpsAddr)
		if err != nil {
			return r, err
		}
		r.sent += metrics[usage.SentBytes] / float64(len(all))
	}
	return r, nil
}

func meanUsage(processes []*harness.Process) (usage.Reading, error) {
	var mean usage.Reading
	for _, p := range processes {
		used, err := usage.Of(p.PID())
		if err != nil {
			return mean, err
		}
		mean.CPU += used.CPU / time.Duration(len(processes))
		mean.RSS += used.RSS / float64(len(processes))
	}
	return mean, nil
}

// idleCost is what a process of an idle fleet uses.
type idleCost struct {
	size         int
	entry, agent cost
	frames       float64 // bytes of frames per second, sent and received
	calls        float64 // by all processes, per second
}

func (r idleReading) since(before idleReading, size int) idleCost {
	seconds := r.at.Sub(before.at).Seconds()
	perSecond := func(now, then usage.Reading) cost {
		return cost{CPU: float64((now.CPU - then.CPU).Nanoseconds()) / float64(time.Millisecond) / seconds, RSS: now.RSS}
	}
	return idleCost{
		size:   size,
		entry:  perSecond(r.entries, before.entries),
		agent:  perSecond(r.agents, before.agents),
		frames: bothDirections * (r.sent - before.sent) / seconds,
		calls:  (r.calls - before.calls) / seconds,
	}
}

// idleSlopes converts the costs of the idle fleets to slopes. They show the
// growth at small sizes only, since most of these costs stop growing at sizes
// that do not fit on one machine.
func idleSlopes(costs []idleCost) []Slope {
	parts := []struct {
		name, unit string
		value      func(idleCost) float64
	}{
		{"idle_entry_cpu", "ms/s", func(c idleCost) float64 { return c.entry.CPU }},
		{"idle_entry_rss", "B", func(c idleCost) float64 { return c.entry.RSS }},
		{"idle_agent_cpu", "ms/s", func(c idleCost) float64 { return c.agent.CPU }},
		{"idle_agent_rss", "B", func(c idleCost) float64 { return c.agent.RSS }},
		{"idle_frames", "B/s", func(c idleCost) float64 { return c.frames }},
		{"idle_calls", "calls/s", func(c idleCost) float64 { return c.calls }},
	}
	var slopes []Slope
	for _, part := range parts {
		s := Slope{Name: part.name, Of: "processes", Unit: part.unit}
		for _, c := range costs {
			s.Points = append(s.Points, Point{float64(c.size), part.value(c)})
		}
		slopes = append(slopes, s)
	}
	return slopes
}
