package fleettext_test

import (
	"bytes"
	"fmt"
	"runtime"
	"testing"

	"chivespindle.example/core/fleettext"
)

// largeConfig returns a valid configuration with the given number of services.
func largeConfig(services int) []byte {
	var b bytes.Buffer
	b.WriteString("[fleet]\nname = large\n[version v1]\nmanifest = " + digestA + "\n")
	for i := range services {
		fmt.Fprintf(&b, "[service service-%d]\nkind = model\nversion = v1\nspread = origin\n", i)
		fmt.Fprintf(&b, "origin_copies = 1.5\norigin_rate = 50MB\ndrain_timeout = 45s\n")
	}
	return b.Bytes()
}

func BenchmarkLoad(b *testing.B) {
	for _, services := range []int{10, 8000} {
		text := largeConfig(services)
		b.Run(fmt.Sprintf("%dKB", len(text)/1000), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, err := fleettext.Load("large.ini", text); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(retainedBytes(b, text), "retained-B")
		})
	}
}

// retainedBytes returns the heap bytes that an accepted configuration retains.
func retainedBytes(b *testing.B, text []byte) float64 {
	before := heapBytes()
	f, err := fleettext.Load("large.ini", text)
	if err != nil {
		b.Fatal(err)
	}
	after := heapBytes()
	runtime.KeepAlive(f)
	return float64(after) - float64(before)
}

func heapBytes() uint64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

func BenchmarkReload(b *testing.B) {
	for _, services := range []int{10, 8000} {
		text := largeConfig(services)
		b.Run(fmt.Sprintf("%dKB", len(text)/1000), func(b *testing.B) {
			base, err := fleettext.Load("large.ini", text)
			if err != nil {
				b.Fatal(err)
			}
			changed := bytes.Replace(text, []byte("45s"), []byte("46s"), 1)
			b.ReportAllocs()
			for b.Loop() {
				if _, err := fleettext.Reload("large.ini", changed, base); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

func BenchmarkApply(b *testing.B) {
	for _, services := range []int{10, 8000} {
		text := largeConfig(services)
		b.Run(fmt.Sprintf("%dKB", len(text)/1000), func(b *testing.B) {
			base, err := fleettext.Load("large.ini", text)
			if err != nil {
				b.Fatal(err)
			}
			changed := bytes.Replace(text, []byte("45s"), []byte("46s"), 1)
			result, err := fleettext.Load("large.ini", changed)
			if err != nil {
				b.Fatal(err)
			}
			delta := fleettext.NewDelta(base.Outline(), result)
			b.ReportAllocs()
			for b.Loop() {
				if _, err := fleettext.Apply("large.ini", base, delta); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
