// Package specs has one red spec for the tests of testrun.
package specs

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestSpecs(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Specs")
}

var _ = Describe("a red suite", func() {
	It("is green (here, too)", func() { Expect(1).To(Equal(1)) })
	It("is red (here, too)", func() { Expect(1).To(Equal(2)) })
})
