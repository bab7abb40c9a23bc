package gateway

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"chivespindle.example/core/placement"
)

// Guards against a crash that goes unnoticed, and a sound server that is avoided.
var _ = DescribeTable("A server that closes the connection of a request with a large head",
	func(b *brokenAttempt, want placement.Result) {
		Expect(resultOfRejectedRequest(b)).To(Equal(want))
	},
	Entry("is not blamed if it lives", &brokenAttempt{server: Alive}, placement.Abandoned),
	Entry("has failed if it has ended", &brokenAttempt{server: Down}, placement.Broken),
	Entry("has failed if it cannot be checked", &brokenAttempt{server: LivenessUnknown}, placement.Broken),
	Entry("has failed if it was not checked", (*brokenAttempt)(nil), placement.Broken),
)
