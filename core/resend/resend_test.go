package resend_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"chivespindle.example/core/resend"
)

var _ = Describe("First packets that nobody answered", func() {
	s := resend.Schedule{Pauses: []time.Duration{1, 3}, For: 10}

	It("are sent again after each pause", func() {
		first, again := s.Next(0, 0)
		Expect([]any{first, again}).To(Equal([]any{time.Duration(1), true}))
		second, again := s.Next(10, 1)
		Expect([]any{second, again}).To(Equal([]any{time.Duration(3), true}))
		_, again = s.Next(10, 2)
		Expect(again).To(BeFalse())
	})

	// Guards against an address that is gone for good costing more than a handshake.
	It("are not sent again by a process that runs for longer", func() {
		_, again := s.Next(11, 0)
		Expect(again).To(BeFalse())
	})
})
