package quarantine_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"chivespindle.example/core/feed/feedtest"
	"chivespindle.example/core/fleet"
	"chivespindle.example/core/quarantine"
)

// crashModel simulates entries in front of servers that crash, in steps of virtual time.
// Requests of three kinds share a first part each and one of many topics.
type crashModel struct {
	rand    *rand.Rand
	fleet   *feedtest.Fleet[quarantine.Report, quarantine.Fingerprint, *quarantine.Registry]
	downTo  []time.Time
	starts  []int // of each server
	running []*modelRequest
	queue   []*modelRequest // to be sent at their time
	next    int

	guiltyRate float64 // requests with the guilty part, per second
	crashRate  float64 // crashes of servers by themselves, per second
	lostShare  float64 // share of observations that are lost

	crashes    []time.Time // by the guilty part
	sent       []time.Time // requests with the guilty part that reached a server
	sound      map[quarantine.Part]*soundCount
	refusedFor map[quarantine.Part]int // sound requests by the part they were refused for
}

// soundCount counts the requests without the guilty part that share a first part.
type soundCount struct{ all, refused int }

type modelRequest struct {
	id       int
	at       time.Time // of the next attempt
	entry    int
	parts    []quarantine.Part
	isGuilty bool
	retries  int // of its client
	attempts int // of its entry
	server   int
	responds time.Time
	ends     time.Time
}

const (
	modelServers  = 12
	modelKinds    = 3
	modelTopics   = 60
	modelStep     = 10 * time.Millisecond
	modelExchange = 500 * time.Millisecond
	modelRestart  = 3400 * time.Millisecond
	modelContact  = 3 * time.Second
	modelProving  = 250 * time.Millisecond
	soundRate     = 100.0 // requests per second
	guiltyPart    = quarantine.Part("m/bad")
)

func newCrashModel(seed uint64, entries int) *crashModel {
	return &crashModel{
		rand: rand.New(rand.NewPCG(seed, 3)), fleet: feedtest.NewFleet(entries, start, quarantine.New),
		downTo: make([]time.Time, modelServers), starts: make([]int, modelServers),
		sound: make(map[quarantine.Part]*soundCount), refusedFor: make(map[quarantine.Part]int),
	}
}

func (m *crashModel) between(low, high time.Duration) time.Duration {
	return low + time.Duration(m.rand.Float64()*float64(high-low))
}

func (m *crashModel) run(span time.Duration) {
	for at := time.Duration(0); at < span; at += modelStep {
		m.fleet.Now = start.Add(at)
		m.arrive()
		m.sendDue()
		m.progress()
		if m.rand.Float64() < m.crashRate*modelStep.Seconds() {
			m.crash(m.rand.IntN(modelServers))
		}
		if at%modelExchange == 0 {
			m.fleet.Exchange()
		}
	}
}

// arrive adds new requests. The guilty ones share their first part and topic with others.
func (m *crashModel) arrive() {
	add := func(rate float64, isGuilty bool) {
		if m.rand.Float64() >= rate*modelStep.Seconds() {
			return
		}
		kind := 0
		if !isGuilty {
			kind = m.rand.IntN(modelKinds)
		}
		topic := int(float64(modelTopics) * m.rand.Float64() * m.rand.Float64()) // some are far more frequent
		parts := []quarantine.Part{quarantine.Part(fmt.Sprint("m/f", kind)), quarantine.Part(fmt.Sprintf("m/t%d-%d", kind, topic))}
		if isGuilty {
			parts = append(parts, guiltyPart)
		}
		m.next++
		m.queue = append(m.queue, &modelRequest{id: m.next, at: m.fleet.Now, entry: m.rand.IntN(len(m.fleet.Registries)), parts: parts, isGuilty: isGuilty})
	}
	add(soundRate, false)
	add(m.guiltyRate, true)
}

func (m *crashModel) sendDue() {
	due := m.queue
	m.queue = nil
	for _, r := range due {
		if r.at.After(m.fleet.Now) {
			m.queue = append(m.queue, r)
			continue
		}
		m.send(r)
	}
}

func (m *crashModel) send(r *modelRequest) {
	status := m.fleet.Registries[r.entry].Status(m.fleet.Now, request(r.id), r.parts...)
	if !r.isGuilty {
		m.count(r, status)
	}
	server := m.rand.IntN(modelServers)
	if status.IsQuarantined() || m.fleet.Now.Before(m.downTo[server]) {
		return
	}
	if r.isGuilty {
		m.sent = append(m.sent, m.fleet.Now)
	}
	r.attempts++
	r.server = server
	r.responds = m.fleet.Now.Add(m.between(80*time.Millisecond, 300*time.Millisecond))
	r.ends = r.responds.Add(m.between(300*time.Millisecond, 2*time.Second))
	m.running = append(m.running, r)
}

func (m *crashModel) count(r *modelRequest, status quarantine.Status) {
	c := m.sound[r.parts[0]]
	if c == nil {
		c = &soundCount{}
		m.sound[r.parts[0]] = c
	}
	if len(m.crashes) < 5 || m.fleet.Now.Before(m.crashes[4].Add(2*modelContact)) {
		return
	}
	c.all++
	if status.IsQuarantined() {
		c.refused++
		m.refusedFor[status.Part]++
	}
}

// progress makes servers respond to requests, and crashes those that do to a guilty one.
func (m *crashModel) progress() {
	var left []*modelRequest
	var crashed []int
	for _, r := range m.running {
		switch {
		case r.isGuilty && m.fleet.Now.Sub(r.responds) >= 50*time.Millisecond:
			crashed = append(crashed, r.server)
		case m.fleet.Now.Sub(r.responds) >= modelProving && !m.fleet.Now.Add(-modelStep).After(r.responds.Add(modelProving)):
			m.fleet.Registries[r.entry].Proved(r.responds, r.parts)
		}
		if m.fleet.Now.Before(r.ends) {
			left = append(left, r)
		}
	}
	m.running = left
	for _, server := range crashed {
		if m.crash(server) {
			m.crashes = append(m.crashes, m.fleet.Now)
		}
	}
}

// crash ends a server with all requests that it runs.
func (m *crashModel) crash(server int) bool {
	if m.fleet.Now.Before(m.downTo[server]) {
		return false
	}
	m.downTo[server] = m.fleet.Now.Add(modelRestart)
	m.starts[server]++
	id := serverID(1000*m.starts[server] + server)
	var left []*modelRequest
	for _, r := range m.running {
		if r.server != server {
			left = append(left, r)
			continue
		}
		m.fail(r, id)
	}
	m.running = left
	return true
}

func (m *crashModel) fail(r *modelRequest, server fleet.InstanceID) {
	registry := m.fleet.Registries[r.entry]
	var suspects []quarantine.Part
	if m.fleet.Now.Sub(r.responds) < modelProving {
		suspects = r.parts
	}
	if m.rand.Float64() >= m.lostShare {
		registry.Crashed(m.fleet.Now, request(r.id), server, suspects...)
	}
	switch {
	case r.attempts < 2 && registry.Status(m.fleet.Now, request(r.id), r.parts...).CanRetry():
		r.at = m.fleet.Now.Add(modelStep)
	case r.retries < 1:
		r.retries++
		r.attempts = 0
		r.entry = m.rand.IntN(len(m.fleet.Registries))
		r.at = m.fleet.Now.Add(m.between(50*time.Millisecond, 500*time.Millisecond))
	default:
		return
	}
	m.queue = append(m.queue, r)
}

// sentTooLate returns how many requests with the guilty part reached a server later than
// allowed after the fifth crash.
func (m *crashModel) sentTooLate() int {
	if len(m.crashes) < 5 {
		return 0
	}
	late := 0
	for _, at := range m.sent {
		if at.After(m.crashes[4].Add(modelContact)) {
			late++
		}
	}
	return late
}

var _ = Describe("Entries in front of servers that crash", func() {
	const seeds, span, allowedLate = 5, 15 * time.Second, 3

	// Guards against both errors of a quarantine: requests with a guilty part that are still
	// sent, and sound requests that share the other parts and are refused for it.
	DescribeTable("send no more requests with the guilty part and serve those that share the others",
		func(entries int, guiltyRate, crashRate, lostShare float64) {
			for seed := range uint64(seeds) {
				m := newCrashModel(seed, entries)
				m.guiltyRate, m.crashRate, m.lostShare = guiltyRate, crashRate, lostShare
				m.run(span)
				Expect(m.sentTooLate()).To(BeNumerically("<=", allowedLate), "seed %d: %d crashes", seed, len(m.crashes))
				for part, c := range m.sound {
					Expect(2*c.refused).To(BeNumerically("<=", c.all), "seed %d: %s refused for %v", seed, part, m.refusedFor)
				}
				GinkgoWriter.Printf("seed %d: %d crashes, %d too late, refused for %v\n", seed, len(m.crashes), m.sentTooLate(), m.refusedFor)
			}
		},
		Entry("at 8 entries, rarely", 8, 0.5, 0.0, 0.0),
		Entry("at 8 entries", 8, 2.0, 0.0, 0.0),
		Entry("at 8 entries, often", 8, 10.0, 0.0, 0.0),
		Entry("at 8 entries, beside other crashes", 8, 2.0, 1.0, 0.0),
		Entry("at 8 entries that miss some crashes", 8, 2.0, 0.5, 0.2),
		Entry("at 44 entries", 44, 2.0, 0.5, 0.0),
	)

	// Guards against sound requests that are refused since servers crash by themselves.
	It("quarantine no part if none is guilty", func() {
		for seed := range uint64(seeds) {
			m := newCrashModel(seed, 8)
			m.crashRate = 2
			m.run(span)
			for _, r := range m.fleet.Registries {
				Expect(r.TakePartChanges()).To(BeEmpty(), "seed %d", seed)
			}
		}
	})
})
