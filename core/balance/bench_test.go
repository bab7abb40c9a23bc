package balance_test

import (
	"fmt"
	"testing"

	"chivespindle.example/core/balance"
	"chivespindle.example/core/serving"
)

func BenchmarkPick(b *testing.B) {
	for _, n := range []int{20, 200, 3500} {
		servers := targetFleet()[:n]
		for _, keyed := range []bool{false, true} {
			b.Run(fmt.Sprintf("servers=%d/prefix=%t", n, keyed), func(b *testing.B) {
				s := balance.NewSnapshot(placeOf(0), servers, newTracker(), balance.Settings{})
				rnd := newRand(1)
				r := defaultRequest
				b.ReportAllocs()
				for b.Loop() {
					if keyed {
						r.PrefixKey++
					}
					choice, err := s.Pick(start, rnd, r)
					if err != nil {
						b.Fatal(err)
					}
					choice.Release(balance.Result{At: start, Kind: balance.Succeeded})
				}
			})
		}
	}
}

func BenchmarkNewSnapshot(b *testing.B) {
	servers := targetFleet()
	tracker := newTracker()
	b.ReportAllocs()
	for b.Loop() {
		balance.NewSnapshot(placeOf(0), servers, tracker, balance.Settings{})
	}
}

// BenchmarkPickRefused measures a request that no server can take.
func BenchmarkPickRefused(b *testing.B) {
	for _, n := range []int{20, 200, 3500} {
		servers := targetFleet()[:n]
		for i := range servers {
			servers[i].Report = balance.Report{Load: serving.Load{Running: slots, Waiting: slots, Slots: slots}, Received: start}
		}
		b.Run(fmt.Sprintf("servers=%d", n), func(b *testing.B) {
			s := balance.NewSnapshot(placeOf(0), servers, newTracker(), balance.Settings{})
			rnd := newRand(1)
			b.ReportAllocs()
			for b.Loop() {
				if _, err := s.Pick(start, rnd, defaultRequest); err == nil {
					b.Fatal("a full server was picked")
				}
			}
		})
	}
}

func BenchmarkAssign(b *testing.B) {
	servers, entries := targetFleet(), targetFleetEntries(targetEntries)
	for b.Loop() {
		balance.Assign(entries[0], entries, servers, 24)
	}
}
