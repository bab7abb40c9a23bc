package placement_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"chivespindle.example/core/placement"
)

// Guards against requests that are refused beside an idle server which costs more than a
// full one, and against an overload that all goes to a server which fails its requests.
var _ = DescribeTable("Requests that the cheapest server cannot take go to one that failed",
	func(failures, expected int) {
		const slots, perSlot = 16, 3
		b := newBalancer(2)
		r := plainRequest()
		r.TargetLatency = time.Second
		failing := r
		failing.Exclude = append(failing.Exclude, id(1))
		for range failures {
			a, _ := b.Choose(start, failing)
			a.End(start, placement.Failed)
		}
		Expect(fill(b, r)).To(Equal(expected * slots * perSlot))
	},
	Entry("a few requests", 4, 2),
	Entry("but not to one that fails all", 20, 1),
)
