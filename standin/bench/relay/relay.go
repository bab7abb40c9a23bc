// Package relay measures how a change of the operator's text reaches every
// process, what that costs the platform and the processes, and that no process
// ever goes back.
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
	// changes is how many texts are published, changeEvery apart.
	changes     = 12
	changeEvery = 400 * time.Millisecond
	// outage is how long the platform is down, once, between two changes.
	outage = 1500 * time.Millisecond
	// sampleEvery is how often each process's revision is looked at.
	sampleEvery = 10 * time.Millisecond
	// settle bounds the wait for the last change.
	settle = 15 * time.Second
	// idle is how long the processes are measured without any change.
	idle = 4 * time.Second
)

// Result is what one size came to.
type Result struct {
	Processes    int
	CallsPerS    float64 // configuration and list calls over the whole time
	InForceP50MS float64
	InForceP99MS float64
	Reverts      int
	// Idle slopes, per process: what it costs to know each other and the text.
	IdleBytesPerS  float64
	IdleCPUPercent float64
	HeapKB         float64
}

// String returns the line that bench prints.
func (r Result) String() string {
	return fmt.Sprintf("bench=config processes=%d calls_per_s=%.1f in_force_p50_ms=%.0f in_force_p99_ms=%.0f reverts=%d idle_bytes_per_s=%.0f idle_cpu_percent=%.3f heap_kb=%.0f",
		r.Processes, r.CallsPerS, r.InForceP50MS, r.InForceP99MS, r.Reverts, r.IdleBytesPerS, r.IdleCPUPercent, r.HeapKB)
}

// member is one process under measurement.
type member struct {
	process *process.Entry
	running *local.Running
	scope   tally.TestScope
	stopped bool
}

// Measure runs n entry processes through the changes, one platform outage and
// the death of one watcher.
func Measure(n int, logger *zap.Logger) (Result, error) {
	p, err := local.NewPlatform(local.Options{ListEvery: 2 * time.Second})
	if err != nil {
		return Result{}, err
	}
	defer p.Close()
	before := heap()
	members, err := start(p, n, logger)
	defer stop(members)
	if err != nil {
		return Result{}, err
	}
	p.Config.SetConfig(text(0))
	if err := waitAll(members, p.Config.Revision()); err != nil {
		return Result{}, err
	}
	r := Result{Processes: n, HeapKB: float64(heap()-before) / 1024 / float64(n)}
	r.measureIdle(members)
	started, calls := time.Now(), p.Config.Calls()+p.Instances.Calls()
	watch := newObserver(members)
	if err := publishAll(p, members, watch); err != nil {
		return r, err
	}
	watch.stop()
	r.CallsPerS = float64(p.Config.Calls()+p.Instances.Calls()-calls) / time.Since(started).Seconds()
	r.InForceP50MS, r.InForceP99MS = watch.percentiles()
	r.Reverts = watch.reverts
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

// text is the operator's text after change i; each changes one section.
func text(i int) []byte {
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
	const first = 40 * time.Second
	deadline := time.Now().Add(first)
	for _, m := range members {
		for !m.stopped && m.revision() < want {
			if time.Now().After(deadline) {
				return failure.Timeout.New("revision %d is not in force everywhere", want)
			}
			time.Sleep(sampleEvery)
		}
	}
	return nil
}

// publishAll publishes the changes. After a third the platform is down for a
// while; after two thirds a watcher dies.
func publishAll(p *local.Platform, members []*member, watch *observer) error {
	for i := 1; i <= changes; i++ {
		switch i {
		case changes / 3:
			p.Config.SetDown(true)
			time.Sleep(outage)
			p.Config.SetDown(false)
		case 2 * changes / 3:
			watch.lose(loseWatcher(members))
		}
		at := time.Now()
		watch.published(p.Config.SetConfig(text(i)), at)
		time.Sleep(changeEvery)
	}
	deadline := time.Now().Add(settle)
	for !watch.complete() {
		if time.Now().After(deadline) {
			return failure.Timeout.New("the last change is not in force everywhere after %s", settle)
		}
		time.Sleep(sampleEvery)
	}
	return nil
}

// loseWatcher ends one process that watches the platform.
func loseWatcher(members []*member) *member {
	var zone []fleet.Instance
	byID := make(map[fleet.InstanceID]*member)
	place := members[0].process.Self().Place
	for _, m := range members {
		if self := m.process.Self(); self.Place == place {
			zone = append(zone, self)
			byID[self.ID] = m
		}
	}
	lost := byID[revision.Watchers(zone, 1)[0]]
	lost.stopped = true
	lost.running.Stop()
	lost.process.Close()
	return lost
}

// measureIdle measures what the processes cost while nothing changes.
func (r *Result) measureIdle(members []*member) {
	bytesBefore, cpuBefore, at := sentBytes(members), cpuTime(), time.Now()
	time.Sleep(idle)
	seconds := time.Since(at).Seconds()
	n := float64(len(members))
	r.IdleBytesPerS = float64(sentBytes(members)-bytesBefore) / n / seconds
	const percent = 100
	r.IdleCPUPercent = (cpuTime() - cpuBefore).Seconds() / n / seconds * percent
}

// sentBytes sums the bytes of frames that the processes sent.
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

func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}

// observer looks at each process's revision again and again.
type observer struct {
	mu      sync.Mutex
	members []*member
	last    []revision.Revision
	at      map[revision.Revision]time.Time
	newest  revision.Revision
	delays  []time.Duration
	reverts int
	done    chan struct{}
	ended   chan struct{}
}

func newObserver(members []*member) *observer {
	o := &observer{
		members: slices.Clone(members),
		last:    make([]revision.Revision, len(members)),
		at:      make(map[revision.Revision]time.Time),
		done:    make(chan struct{}),
		ended:   make(chan struct{}),
	}
	for i, m := range members {
		o.last[i] = m.revision()
	}
	go o.run()
	return o
}

func (o *observer) run() {
	defer close(o.ended)
	for {
		select {
		case <-o.done:
			return
		case <-time.After(sampleEvery):
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
		if seen < o.last[i] {
			o.reverts++
		}
		for r := o.last[i] + 1; r <= seen; r++ {
			if at, ok := o.at[r]; ok {
				o.delays = append(o.delays, now.Sub(at))
			}
		}
		o.last[i] = seen
	}
}

func (o *observer) published(r revision.Revision, at time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.at[r] = at
	o.newest = r
}

// lose leaves a process out from now on.
func (o *observer) lose(lost *member) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for i, m := range o.members {
		if m == lost {
			o.members[i] = nil
		}
	}
}

func (o *observer) complete() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	for i, m := range o.members {
		if m != nil && o.last[i] < o.newest {
			return false
		}
	}
	return true
}

func (o *observer) stop() {
	close(o.done)
	<-o.ended
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
