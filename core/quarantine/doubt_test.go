package quarantine_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"chivespindle.example/core/quarantine"
)

var _ = Describe("An attempt that ended without its outcome", func() {
	var r *quarantine.Registry
	poison := request(1)

	BeforeEach(func() { r = quarantine.New() })

	// Guards against crashes that nobody counts since the client left or the link lost packets.
	It("counts if its server turns out to have crashed", func() {
		r.Crashed(start, poison, engine(1))
		r.Crashed(start, poison, engine(2))
		r.Doubt(start, poison, engine(3))
		Expect(r.IsDoubted(start, engine(3))).To(BeTrue())
		Expect(r.ServerCrashed(at(3*time.Second), engine(3))).To(Equal([]quarantine.Fingerprint{poison}))
		Expect(r.Standing(at(3*time.Second), poison).IsQuarantined()).To(BeTrue())
		Expect(r.ServerCrashed(at(3*time.Second), engine(3))).To(BeEmpty())
	})

	It("does not count if another server crashes, or this one much later", func() {
		r.Doubt(start, poison, engine(1))
		r.ServerCrashed(start, engine(2))
		r.ServerCrashed(at(5*time.Second), engine(1))
		Expect(r.Standing(at(5*time.Second), poison).IsSuspect()).To(BeFalse())
		Expect(r.IsEmpty()).To(BeTrue())
	})

	It("is forgotten under a flood of others", func() {
		r.Doubt(start, poison, engine(1))
		const flood = 1000
		for n := range flood {
			r.Doubt(start, request(2+n), engine(2))
		}
		Expect(r.IsDoubted(start, engine(1))).To(BeFalse())
		Expect(r.IsDoubted(start, engine(2))).To(BeTrue())
	})
})
