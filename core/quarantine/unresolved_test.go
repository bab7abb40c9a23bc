package quarantine_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"chivespindle.example/core/quarantine"
)

var _ = Describe("An attempt with an unknown outcome", func() {
	var r *quarantine.Registry
	poison := request(1)

	BeforeEach(func() { r = quarantine.New() })

	// Guards against crashes that are not counted because the client disconnected or the
	// link lost packets.
	It("counts if its server turns out to have crashed", func() {
		r.Crashed(start, poison, serverID(1))
		r.Crashed(start, poison, serverID(2))
		r.RecordUnresolved(start, poison, serverID(3))
		Expect(r.HasUnresolved(start, serverID(3))).To(BeTrue())
		Expect(r.ServerCrashed(at(3*time.Second), serverID(3))).To(Equal([]quarantine.Fingerprint{poison}))
		Expect(r.Status(at(3*time.Second), poison).IsQuarantined()).To(BeTrue())
		Expect(r.ServerCrashed(at(3*time.Second), serverID(3))).To(BeEmpty())
	})

	It("does not count if another server crashes, or the same server much later", func() {
		r.RecordUnresolved(start, poison, serverID(1))
		r.ServerCrashed(start, serverID(2))
		r.ServerCrashed(at(5*time.Second), serverID(1))
		Expect(r.Status(at(5*time.Second), poison).IsSuspect()).To(BeFalse())
		Expect(r.IsEmpty()).To(BeTrue())
	})

	It("is dropped under a flood of others", func() {
		r.RecordUnresolved(start, poison, serverID(1))
		const flood = 1000
		for n := range flood {
			r.RecordUnresolved(start, request(2+n), serverID(2))
		}
		Expect(r.HasUnresolved(start, serverID(1))).To(BeFalse())
		Expect(r.HasUnresolved(start, serverID(2))).To(BeTrue())
	})
})
