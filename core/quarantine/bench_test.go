package quarantine_test

import (
	"fmt"
	"testing"

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
