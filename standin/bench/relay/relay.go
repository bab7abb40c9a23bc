// Package relay measures how fast a change of the operator's configuration
// reaches every process, its cost for the platform and the processes, and
// whether any process reverts to an older revision.
package relay

import (
	"fmt"
	"runtime"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"chivespindle.example/core/failure"
	"chivespindle.example/core/fleet"
	"chivespindle.example/core/revision"
	"chivespindle.example/daemon/process"
	"chivespindle.example/standin/bench/local"
)

const (
	regions        = 3
	zonesPerRegion = 3
	// changes is the number of configurations published, changeInterval apart.
	changes        = 12
	changeInterval = 400 * time.Millisecond
	// outageTime is how long the configuration service is down, once, between
	// two changes.
	outageTime = 1500 * time.Millisecond
	// sampleInterval is the interval between reads of each process's revision.
	sampleInterval = 10 * time.Millisecond
	// settleTimeout limits the wait for the last change.
	settleTimeout = 15 * time.Second
	// idleTime is how long the processes are measured without any change.
	idleTime = 4 * time.Second
)

// Result holds the measurements for one number of processes.
type Result struct {
	Processes       int
	CallsPerS       float64 // configuration and instance list calls during the changes
	ActivationP50MS float64
	ActivationP99MS float64
	Reverts         int
	// Idle cost per process of membership and configuration.
	IdleBytesPerS  float64
	IdleCPUPercent float64
	HeapKB         float64
}

// String returns the line that bench prints.
func (r Result) String() string {
	return fmt.Sprintf("bench=config processes=%d calls_per_s=%.1f in_force_p50_ms=%.0f in_force_p99_ms=%.0f reverts=%d idle_bytes_per_s=%.0f idle_cpu_percent=%.3f heap_kb=%.0f",
		r.Processes, r.CallsPerS, r.ActivationP50MS, r.ActivationP99MS, r.Reverts, r.IdleBytesPerS, r.IdleCPUPercent, r.HeapKB)
}

// member is one process under measurement.
type member struct {
	process *process.Entry
	running *local.Running
	scope   tally.TestScope
	stopped bool
}

// Measure runs n entry processes through the changes, one outage of the
// configuration service and the loss of one watcher.
func Measure(n int, logger *zap.Logger) (Result, error) {
	p, err := local.NewPlatform(local.Options{ListInterval: 2 * time.Second})
	if err != nil {
		return Result{}, err
	}
	defer p.Close()
	before := heapBytes()
	members, err := start(p, n, logger)
	defer stop(members)
	if err != nil {
		return Result{}, err
	}
	p.Config.SetConfig(configText(0))
	if err := waitAll(members, p.Config.Revision()); err != nil {
		return Result{}, err
	}
	r := Result{Processes: n, HeapKB: float64(heapBytes()-before) / 1024 / float64(n)}
	r.measureIdle(members)
	started, calls := time.Now(), p.Config.Calls()+p.Instances.Calls()
	obs := newObserver(members)
	if err := publishAll(p, members, obs); err != nil {
		return r, err
	}
	obs.stop()
	r.CallsPerS = float64(p.Config.Calls()+p.Instances.Calls()-calls) / time.Since(started).Seconds()
	r.ActivationP50MS, r.ActivationP99MS = obs.percentiles()
	r.Reverts = obs.reverts
	return r, nil
}

func start(p *local.Platform, n int, logger *zap.Logger) ([]*member, error) {
	var members []*member
	for i := range n {
		s, err := p.Settings(fleet.RoleEntry, fleet.InstanceID(fmt.Sprintf("entry-%03d", i)), local.PlaceOf(i, regions, zonesPerRegion))
		if err != nil {
			return members, err
		}
		m := &member{scope: tally.NewTestScope("", nil)}
		m.process, err = process.NewEntry(s, logger, process.Options{Metrics: m.scope})
		if err != nil {
			return members, err
		}
		p.Instances.Set(m.process.Self())
		m.running = local.Run(m.process.Actors())
		members = append(members, m)
	}
	return members, nil
}

func stop(members []*member) {
	for _, m := range members {
		m.running.Interrupt()
	}
	for _, m := range members {
		if !m.stopped {
			m.running.Stop()
			m.process.Close()
		}
	}
}

// configText returns the operator's configuration after change i; each change
// affects one section.
func configText(i int) []byte {
	return []byte(fmt.Sprintf("[fleet]\nname = relay\n[service workshop-api]\nkind = plain\n[workspace apapa]\nrequests_per_second = %d\n", 10+i))
}

func (m *member) revision() revision.Revision {
	state := m.process.Node().ActiveConfig()
	if state == nil {
		return 0
	}
	return state.Revision
}

func waitAll(members []*member, want revision.Revision) error {
	const timeout = 40 * time.Second
	deadline := time.Now().Add(timeout)
	for _, m := range members {
		for !m.stopped && m.revision() < want {
			if time.Now().After(deadline) {
				return failure.Timeout.New("revision %d is not active in all processes", want)
			}
			time.Sleep(sampleInterval)
		}
	}
	return nil
}

// publishAll publishes the changes. After a third of them the configuration
// service has an outage; after two thirds a watcher is stopped.
func publishAll(p *local.Platform, members []*member, obs *observer) error {
	for i := 1; i <= changes; i++ {
		switch i {
		case changes / 3:
			p.Config.SetDown(true)
			time.Sleep(outageTime)
			p.Config.SetDown(false)
		case 2 * changes / 3:
			obs.exclude(stopWatcher(members))
		}
		at := time.Now()
		obs.recordPublished(p.Config.SetConfig(configText(i)), at)
		time.Sleep(changeInterval)
	}
	deadline := time.Now().Add(settleTimeout)
	for !obs.allActivated() {
		if time.Now().After(deadline) {
			return failure.Timeout.New("the last change is not active in all processes after %s", settleTimeout)
		}
		time.Sleep(sampleInterval)
	}
	return nil
}

// stopWatcher stops one process that watches the platform.
func stopWatcher(members []*member) *member {
	var zone []fleet.Instance
	byID := make(map[fleet.InstanceID]*member)
	place := members[0].process.Self().Place
	for _, m := range members {
		if self := m.process.Self(); self.Place == place {
			zone = append(zone, self)
			byID[self.ID] = m
		}
	}
	watcher := byID[revision.Watchers(zone, 1)[0]]
	watcher.stopped = true
	watcher.running.Stop()
	watcher.process.Close()
	return watcher
}

// measureIdle measures the cost of the processes while nothing changes.
func (r *Result) measureIdle(members []*member) {
	bytesBefore, cpuBefore, at := sentBytes(members), cpuTime(), time.Now()
	time.Sleep(idleTime)
	seconds := time.Since(at).Seconds()
	n := float64(len(members))
	r.IdleBytesPerS = float64(sentBytes(members)-bytesBefore) / n / seconds
	const percent = 100
	r.IdleCPUPercent = (cpuTime() - cpuBefore).Seconds() / n / seconds * percent
}

// sentBytes sums the frame bytes sent by all processes.
func sentBytes(members []*member) int64 {
	var sum int64
	for _, m := range members {
		for _, c := range m.scope.Snapshot().Counters() {
			if strings.HasSuffix(c.Name(), "bytes_sent") {
				sum += c.Value()
			}
		}
	}
	return sum
}

func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}

// observer periodically samples the active revision of each process.
type observer struct {
	mu          sync.Mutex
	members     []*member
	lastSeen    []revision.Revision
	publishedAt map[revision.Revision]time.Time
	newest      revision.Revision
	delays      []time.Duration
	reverts     int
	stopping    chan struct{}
	stopped     chan struct{}
}

func newObserver(members []*member) *observer {
	o := &observer{
		members:     slices.Clone(members),
		lastSeen:    make([]revision.Revision, len(members)),
		publishedAt: make(map[revision.Revision]time.Time),
		stopping:    make(chan struct{}),
		stopped:     make(chan struct{}),
	}
	for i, m := range members {
		o.lastSeen[i] = m.revision()
	}
	go o.run()
	return o
}

func (o *observer) run() {
	defer close(o.stopped)
	for {
		select {
		case <-o.stopping:
			return
		case <-time.After(sampleInterval):
			o.sample(time.Now())
		}
	}
}

func (o *observer) sample(now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for i, m := range o.members {
		if m == nil {
			continue
		}
		seen := m.revision()
		if seen < o.lastSeen[i] {
			o.reverts++
		}
		for r := o.lastSeen[i] + 1; r <= seen; r++ {
			if at, ok := o.publishedAt[r]; ok {
				o.delays = append(o.delays, now.Sub(at))
			}
		}
		o.lastSeen[i] = seen
	}
}

func (o *observer) recordPublished(r revision.Revision, at time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.publishedAt[r] = at
	o.newest = r
}

// exclude removes a process from the observation.
func (o *observer) exclude(lost *member) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for i, m := range o.members {
		if m == lost {
			o.members[i] = nil
		}
	}
}

func (o *observer) allActivated() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	for i, m := range o.members {
		if m != nil && o.lastSeen[i] < o.newest {
			return false
		}
	}
	return true
}

func (o *observer) stop() {
	close(o.stopping)
	<-o.stopped
}

func (o *observer) percentiles() (p50, p99 float64) {
	slices.Sort(o.delays)
	if len(o.delays) == 0 {
		return 0, 0
	}
	at := func(percent int) float64 {
		return float64(o.delays[(len(o.delays)-1)*percent/100].Microseconds()) / 1000
	}
	return at(50), at(99)
}
