package quarantine_test

import (
	"fmt"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"chivespindle.example/core/quarantine"
)

var _ = Describe("The parts of a request", func() {
	It("are the same however their IDs are written, and differ between models", func() {
		Expect(quarantine.NewParts("m", []string{"0Ab1", "cd", "0aB1"})).To(Equal([]quarantine.Part{"m/0ab1", "m/cd"}))
		Expect(quarantine.NewParts("other", []string{"cd"})).NotTo(ContainElement(quarantine.Part("m/cd")))
	})

	// Guards against a caller that fills memory and messages with long or many IDs.
	It("are bounded in length and number", func() {
		long := strings.Repeat("ab", 5000)
		Expect(quarantine.NewParts("m", []string{long, long + "c"})).To(And(HaveLen(2), HaveEach(HaveLen(34))))
		var ids []string
		for n := range 1000 {
			ids = append(ids, fmt.Sprintf("%x", n))
		}
		Expect(quarantine.NewParts("m", ids)).To(HaveLen(32))
	})
})
