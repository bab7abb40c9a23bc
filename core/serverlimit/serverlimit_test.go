package serverlimit_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"chivespindle.example/core/fleet"
	"chivespindle.example/core/serverlimit"
)

var start = time.Date(2031, 5, 6, 7, 8, 9, 0, time.UTC)

func at(d time.Duration) time.Time { return start.Add(d) }

const server = fleet.InstanceID("i-1")

var _ = Describe("A server limit", func() {
	var r *serverlimit.Registry

	BeforeEach(func() { r = serverlimit.New() })

	It("is reported as a change when it is first advertised and when it is adjusted", func() {
		Expect(r.RecordAdvertised(start, server, 1.5)).To(Equal(serverlimit.Started))
		Expect(r.RecordAdvertised(at(time.Second), server, 1.5)).To(Equal(serverlimit.Unchanged))
		Expect(r.RecordAdvertised(at(time.Second), server, 2)).To(Equal(serverlimit.Adjusted))
	})

	It("ends once, with a response that advertises none", func() {
		Expect(r.RecordNotAdvertised(start, server)).To(BeFalse())
		r.RecordAdvertised(start, server, 1.5)
		Expect(r.RecordNotAdvertised(at(time.Second), server)).To(BeTrue())
		Expect(r.RecordNotAdvertised(at(2*time.Second), server)).To(BeFalse())
		Expect(r.RecordAdvertised(at(3*time.Second), server, 1.5)).To(Equal(serverlimit.Started))
	})

	// Guards against a burst at an overloaded server caused by a delayed response.
	It("does not end with the response to a request sent before it was advertised", func() {
		r.RecordAdvertised(at(time.Second), server, 1.5)
		Expect(r.RecordNotAdvertised(at(time.Second-time.Millisecond), server)).To(BeFalse())
	})
})
