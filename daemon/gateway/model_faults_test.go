package gateway

import (
	"time"

	"chivespindle.example/core/catalog"
)

const (
	// Of each seedPeriod seeds, one has a hidden entry, one a store that discards its
	// history, and one servers that crash and restart.
	seedPeriod  = 10
	hiddenSeed  = 5
	compactSeed = 7
	crashSeed   = 8
)

// injectFaults makes servers leave and register, links break, and entries be cut off or
// killed.
func (m *model) injectFaults() {
	for range 6 + m.rand.IntN(12) {
		m.after(m.randDuration(modelDuration*2/3), func(now time.Time) {
			if live := m.store.live(); len(live) > 2 {
				m.store.leave(now, live[m.rand.IntN(len(live))], m.rand)
			}
		})
	}
	for range m.rand.IntN(4) {
		m.after(m.randDuration(modelDuration), m.store.registerNew)
		m.after(m.randDuration(modelDuration), m.store.publish)
		m.after(m.randDuration(modelDuration), m.store.nameVersion)
	}
	for range m.rand.IntN(5) {
		m.after(m.randDuration(modelDuration), func(now time.Time) { m.failLink(now) })
	}
	if m.rand.IntN(2) == 0 {
		m.after(m.randDuration(modelDuration), func(now time.Time) { m.failReaders(now, readerFault(m.rand.IntN(3))) })
	}
}

// hideEntry hides one entry from the readers, so that they report nothing to it.
func (m *model) hideEntry(now time.Time) {
	if len(m.entries) > 0 {
		e := m.entries[len(m.entries)-1]
		e.hiddenFrom, e.hiddenTo = now, now.Add(settleTime)
	}
}

func (m *model) failLink(now time.Time) {
	if len(m.entries) == 0 {
		return
	}
	a, b := m.entries[m.rand.IntN(len(m.entries))], m.entries[m.rand.IntN(len(m.entries))]
	if a == b || !a.alive || !b.alive {
		return
	}
	a.links.takeDown(now, a.links.link(b))
	m.after(m.randDuration(300*time.Millisecond), func(now time.Time) { b.links.takeDown(now, b.links.link(a)) })
}

// readerFault is how the readers of the store fail.
type readerFault int

const (
	readersKilled   readerFault = iota
	readersCut                  // off from all processes
	readersStoreCut             // off from the store only
)

func (m *model) failReaders(now time.Time, fault readerFault) {
	for _, e := range m.entries {
		v := e.g.view.Load()
		if !e.alive || v == nil || !v.readsPlatform || m.rand.IntN(4) == 0 {
			continue
		}
		if fault != readersKilled {
			e.cutFrom, e.cutTo = now, now.Add(500*time.Millisecond+m.randDuration(4*time.Second))
			e.isCutFromStoreOnly = fault == readersStoreCut
			if e.isCutFromStoreOnly {
				m.lossDetectableAt = now.Add(watchWait + catalog.ResponseTimeout)
			}
			continue
		}
		e.alive = false
		addr, region := e.g.opts.Addr, e.g.opts.Place.Region
		m.after(500*time.Millisecond+m.randDuration(2*time.Second), func(now time.Time) { m.startEntry(now, addr, region) })
	}
}

// injectEntryFaults injects the faults of entries and links that occur with the seed.
func injectEntryFaults(m *model, seed uint64) {
	m.injectFaults()
	if seed%seedPeriod == hiddenSeed {
		m.after(m.randDuration(modelDuration/2), m.hideEntry)
	}
}

// injectAllFaults adds faults of the store and of servers to injectEntryFaults.
func injectAllFaults(m *model, seed uint64) {
	injectEntryFaults(m, seed)
	switch seed % seedPeriod {
	case compactSeed:
		m.after(m.randDuration(modelDuration/2), m.store.compact)
		m.after(m.randDuration(modelDuration/2), m.store.compact)
	case crashSeed:
		m.after(m.randDuration(modelDuration/2), m.store.restartServer)
		m.after(m.randDuration(modelDuration/2), m.store.restartServer)
	}
}
