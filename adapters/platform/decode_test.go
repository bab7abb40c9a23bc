package platform

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"reflect"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"chivespindle.example/core/failure"
	"chivespindle.example/core/fleet"
)

// FuzzDecodeInstances checks that, for any input, the decoder fails with Corrupt or
// returns a valid list that survives a round trip.
func FuzzDecodeInstances(f *testing.F) {
	f.Add([]byte(`[]`))
	f.Add([]byte(`null`))
	f.Add([]byte(`[{"id":"a","role":"entry","zone":"z","region":"r","peer_addr":"127.0.0.1:1",` +
		`"caller_addr":"127.0.0.1:2","leaving":true}]`))
	f.Add([]byte(`[{"id":"b","role":"agent","service":"s","peer_addr":"[::1]:1","leaving":false},null]`))
	f.Add([]byte(`[{"id":"c","role":"agent","peer_addr":"[fe80::1%lo]:9","caller_addr":""}]`))
	f.Fuzz(func(t *testing.T, body []byte) {
		instances, err := decodeInstances(body)
		if err != nil {
			if !errorx.IsOfType(err, failure.Corrupt) || instances != nil {
				t.Fatalf("got %v with %d instances, want Corrupt and none", err, len(instances))
			}
			return
		}
		encoded, err := json.Marshal(instances)
		if err != nil {
			t.Fatalf("encode: %v", err)
		}
		again, err := decodeInstances(encoded)
		if err != nil {
			t.Fatalf("decode again: %v", err)
		}
		if !reflect.DeepEqual(again, instances) {
			t.Fatalf("round trip changed %v to %v", instances, again)
		}
	})
}

// BenchmarkDecodeInstances measures the size of the list and the time to decode it
// for a fleet of the target size.
func BenchmarkDecodeInstances(b *testing.B) {
	const entries, agents = 410, 3500
	var instances []fleet.Instance
	for i := range entries + agents {
		instance := fleet.Instance{
			ID:       fleet.InstanceID(fmt.Sprintf("i-%017x", i)),
			Role:     fleet.RoleAgent,
			Service:  "spindle-pool",
			Place:    fleet.Place{Zone: "trans-amadi", Region: "Port Harcourt"},
			PeerAddr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}), 7100),
		}
		if i < entries {
			instance.Role, instance.Service = fleet.RoleEntry, ""
			instance.CallerAddr = instance.PeerAddr
		}
		instances = append(instances, instance)
	}
	body, err := json.Marshal(instances)
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := decodeInstances(body); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(len(body)), "body-bytes")
}

var _ = DescribeTable("a Retry-After header",
	func(header string, want time.Duration) {
		now := time.Date(2026, time.March, 2, 8, 0, 0, 0, time.UTC)
		Expect(parseRetryAfter(header, now)).To(Equal(want))
	},
	Entry("of seconds", "120", 2*time.Minute),
	Entry("of zero seconds", "0", time.Duration(0)),
	Entry("of a date", "Mon, 02 Mar 2026 08:00:30 GMT", 30*time.Second),
	Entry("of a past date", "Mon, 02 Mar 2026 07:00:00 GMT", time.Duration(0)),
	Entry("beyond the maximum", "999999", maxRetryAfter),
	Entry("of a date beyond the maximum", "Mon, 02 Mar 2037 08:00:00 GMT", maxRetryAfter),
	Entry("that is negative", "-5", defaultRetryAfter),
	Entry("that cannot be parsed", "soon", defaultRetryAfter),
	Entry("that is missing", "", defaultRetryAfter),
)
