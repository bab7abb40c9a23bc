package gossip_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"chivespindle.example/core/fleet"
	"chivespindle.example/core/gossip"
)

// measure reports the control traffic of each process of a group: the ticks
// until all processes agree, bytes per second when idle, and the bytes of one
// change, each sent plus received.
func measure(b *testing.B, each int, in []fleet.Place) {
	for range b.N {
		g := newGroup(each, in)
		size := float64(len(g.tables))
		g.publish()
		ticks := 0
		for !g.converged() {
			g.tick()
			ticks++
		}
		b.ReportMetric(float64(ticks), "start-s")
		b.ReportMetric(2*float64(g.bytes)/size, "start-B")
		g.ticks(20)
		g.bytes = 0
		const seconds = 30
		g.ticks(seconds)
		quiet := float64(g.bytes)
		b.ReportMetric(2*quiet/size/seconds, "quiet-B/s")
		b.ReportMetric(2*float64(len(g.links))/size, "links")
		g.bytes = 0
		const perTick = 5
		for i := range seconds {
			for j := range perTick {
				id := g.ids()[(i*perTick+j)%len(g.tables)]
				g.tables[id].UpdateSelf(func(r *gossip.Record) { r.State = gossip.StateChanging })
			}
			g.tick()
		}
		b.ReportMetric(2*(float64(g.bytes)-quiet)/size/seconds/perTick, "change-B")
		for !g.converged() {
			g.tick()
		}
		g.tables[g.ids()[0]].UpdateSelf(func(r *gossip.Record) { r.Leaving = true })
		hops := 0
		for !g.converged() {
			g.tick()
			hops++
		}
		b.ReportMetric(float64(hops), "leaving-hops")
		b.ReportMetric(0, "ns/op")
	}
}

// BenchmarkZone measures one zone of the target size.
func BenchmarkZone(b *testing.B) { measure(b, 434, places(1, 1)) }

// BenchmarkFleet measures nine zones in three regions; the number of links is
// that of the target.
func BenchmarkFleet(b *testing.B) { measure(b, 30, places(3, 3)) }

// BenchmarkSecond measures the work of one process in one second at the target
// size of 3,910 processes: twelve neighbours, six of them in its zone and
// relaying twenty heartbeats each, and one view.
func BenchmarkSecond(b *testing.B) {
	const links = 12
	zones := places(3, 3)
	now := time.Now()
	self := member("i-self", zones[0])
	table := gossip.New(gossip.Options{Self: self})
	var all []gossip.Record
	var list []fleet.Instance
	for i := range 3910 {
		r := member(fleet.InstanceID(fmt.Sprintf("i-%019d", i)), zones[i%len(zones)])
		r.StateSeq = 1
		all = append(all, r)
		list = append(list, instance(r))
	}
	table.SetListed(now, list)
	for i := range links {
		table.Merge(now, all[i].ID, all)
		table.Acknowledge(now, all[i].ID, all)
	}
	var memory runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&memory)
	heap := float64(memory.HeapAlloc)
	b.ReportAllocs()
	b.ResetTimer()
	for n := range b.N {
		now = now.Add(time.Second)
		table.Heartbeat(now)
		table.Neighbours(now)
		for i := range links {
			from := all[i].ID
			table.Merge(now, from, heartbeats(all, n, i))
			table.Acknowledge(now, from, table.Delta(now, from))
		}
		table.View(now)
	}
	b.ReportMetric(heap, "heap-B")
}

func heartbeats(all []gossip.Record, n, link int) []gossip.Record {
	var message []gossip.Record
	for i := range 20 {
		r := all[(n*20+i)*9%len(all)]
		message = append(message, gossip.Record{ID: r.ID, Incarnation: r.Incarnation, StateSeq: r.StateSeq, HeartbeatSeq: uint64(n + 1)})
	}
	return message
}

// BenchmarkEncode reports the encoded size of each form of a record.
func BenchmarkEncode(b *testing.B) {
	whole := member("i-0a1b2c3d4e5f60718", places(1, 1)[0])
	whole.StateSeq, whole.HeartbeatSeq = 100, 100_000
	heartbeat := gossip.Record{ID: whole.ID, Incarnation: whole.Incarnation, StateSeq: whole.StateSeq, HeartbeatSeq: whole.HeartbeatSeq, Revision: whole.Revision}
	update := heartbeat
	update.State, update.Serving, update.Target = whole.State, whole.Serving, whole.Target
	for range b.N {
		b.ReportMetric(encoded(b, whole), "whole-B")
		b.ReportMetric(encoded(b, update), "update-B")
		b.ReportMetric(encoded(b, heartbeat), "heartbeat-B")
		b.ReportMetric(encoded(b, gossip.Record{ID: whole.ID}), "ask-B")
	}
}

func encoded(b *testing.B, r gossip.Record) float64 {
	raw, err := cbor.Marshal(r)
	if err != nil {
		b.Fatal(err)
	}
	return float64(len(raw))
}
