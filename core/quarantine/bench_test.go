package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	"chivespindle.example/core/feed"
	"chivespindle.example/core/quarantine"
)

func BenchmarkFingerprint(b *testing.B) {
	for _, size := range []int{1 << 10, 1 << 20} {
		content := quarantine.Content{Workspace: "dock", Method: "POST", Host: "relay.example", Target: "/read/1", Body: make([]byte, size)}
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			for b.Loop() {
				content.Fingerprint()
			}
		})
	}
}

// BenchmarkStatus measures the cost per request while the registry is full.
func BenchmarkStatus(b *testing.B) {
	r := quarantine.New()
	for n := range 1000 {
		r.Crashed(start, request(n), serverID(n))
	}
	for b.Loop() {
		r.Status(start, request(1))
	}
}

// BenchmarkMerge measures the first message of a peer, whose crashes have four suspect parts
// each.
func BenchmarkMerge(b *testing.B) {
	const reports = 256
	var message []quarantine.Report
	for n := range reports {
		report := quarantine.Report{Request: request(n), Server: serverID(n / 8), AgeMS: int64(60000 - n/8*150)}
		for part := range 4 {
			report.Parts = append(report.Parts, quarantine.Part(fmt.Sprintf("m/%d-%d", part, n%(1+20*part))))
		}
		message = append(message, report)
	}
	for b.Loop() {
		quarantine.New().Merge(start.Add(time.Minute), message, feed.SameGroup)
	}
}

// BenchmarkProved measures the cost per request of recording that its parts got a response.
func BenchmarkProved(b *testing.B) {
	r := quarantine.New()
	parts := quarantine.NewParts("m", []string{"f0", "7a", "c1", "d2"})
	for b.Loop() {
		r.Proved(start, parts)
	}
}

// BenchmarkCrashedManyParts measures a crash of a server with 32 requests in flight, each with
// as many parts as are considered, after the same parts were in flight at 64 other crashes.
func BenchmarkCrashedManyParts(b *testing.B) {
	const requests, crashes = 32, 64
	var parts [requests][]quarantine.Part
	for n := range parts {
		var ids []string
		for part := range quarantine.MaxParts {
			ids = append(ids, fmt.Sprintf("%x", n*quarantine.MaxParts+part))
		}
		parts[n] = quarantine.NewParts("m", ids)
	}
	r, now, last := quarantine.New(), start, 0
	crash := func() {
		last++
		now = now.Add(2 * time.Second)
		for n := range parts {
			r.Crashed(now.Add(time.Duration(n)*time.Millisecond), request(last*requests+n), serverID(last), parts[n]...)
		}
	}
	for range crashes {
		crash()
	}
	for b.Loop() {
		crash()
	}
}
