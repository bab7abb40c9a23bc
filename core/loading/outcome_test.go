package loading_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"chivespindle.example/core/loading"
)

// If an order is considered settled too early, the engine may accept it after other
// chunks have been staged; if too late, nothing is staged in the meantime.
var _ = DescribeTable("The outcome of an order for version 2 follows from the reports",
	func(before, now loading.Engine, want loading.Outcome) {
		Expect(loading.OutcomeOf(2, before, now)).To(Equal(want))
	},
	Entry("no further order", counted(4), counted(4), loading.Pending),
	Entry("one further order", counted(4), counted(5), loading.Accepted),
	Entry("the first order", counted(0), counted(1), loading.Accepted),
	Entry("busy with an earlier order", loading.Engine{Orders: counted(4).Orders, Busy: true},
		loading.Engine{Orders: counted(4).Orders, Busy: true}, loading.Pending),
	Entry("fewer orders, counted from zero again", counted(4), counted(0), loading.Lost),
	Entry("another process", loading.Engine{Born: 1, Orders: counted(0).Orders},
		loading.Engine{Born: 2, Orders: counted(1).Orders}, loading.Lost),
	Entry("number not reported now", counted(4), loading.Engine{Loaded: 2}, loading.Pending),
	Entry("number never reported, no visible effect", loading.Engine{Loaded: 1}, loading.Engine{Loaded: 1}, loading.Pending),
	Entry("number never reported, busy", loading.Engine{Loaded: 1}, loading.Engine{Loaded: 1, Busy: true}, loading.Accepted),
	Entry("number never reported, loaded", loading.Engine{Loaded: 1}, loading.Engine{Loaded: 2}, loading.Accepted),
	Entry("number never reported, another process", loading.Engine{Born: 1}, loading.Engine{Born: 2, Busy: true}, loading.Lost),
)

func counted(orders uint64) loading.Engine {
	return loading.Engine{Orders: loading.Orders{Count: orders, Reported: true}}
}
