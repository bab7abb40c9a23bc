package loading_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"chivespindle.example/core/loading"
)

// Taken for settled too soon, an order is taken once other chunks are staged; too
// late, nothing is staged meanwhile.
var _ = DescribeTable("What became of an order for version 2 is told by a report",
	func(before, now loading.Engine, want loading.Outcome) {
		Expect(loading.OutcomeOf(2, before, now)).To(Equal(want))
	},
	Entry("no order more", counted(4), counted(4), loading.Open),
	Entry("one more", counted(4), counted(5), loading.Taken),
	Entry("the first", counted(0), counted(1), loading.Taken),
	Entry("busy with one from before", loading.Engine{Orders: counted(4).Orders, Busy: true},
		loading.Engine{Orders: counted(4).Orders, Busy: true}, loading.Open),
	Entry("fewer: counted anew", counted(4), counted(0), loading.Lost),
	Entry("another process", loading.Engine{Born: 1, Orders: counted(0).Orders},
		loading.Engine{Born: 2, Orders: counted(1).Orders}, loading.Lost),
	Entry("not told this time", counted(4), loading.Engine{Loaded: 2}, loading.Open),
	Entry("never told, nothing to be seen", loading.Engine{Loaded: 1}, loading.Engine{Loaded: 1}, loading.Open),
	Entry("never told, busy", loading.Engine{Loaded: 1}, loading.Engine{Loaded: 1, Busy: true}, loading.Taken),
	Entry("never told, loaded", loading.Engine{Loaded: 1}, loading.Engine{Loaded: 2}, loading.Taken),
	Entry("never told, another process", loading.Engine{Born: 1}, loading.Engine{Born: 2, Busy: true}, loading.Lost),
)

func counted(orders uint64) loading.Engine {
	return loading.Engine{Orders: loading.Orders{Count: orders, Told: true}}
}
