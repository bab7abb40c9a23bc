package process_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"chivespindle.example/adapters/settings"
	"chivespindle.example/core/connlimit"
	"chivespindle.example/daemon/process"
)

var start = time.Date(2031, 5, 6, 7, 8, 9, 0, time.UTC)

// Guards against callers that take all descriptors of the process.
var _ = DescribeTable("The connections of callers are bounded",
	func(limits settings.Limits, openFiles, want int) {
		got := process.CallerLimits(&settings.Settings{Limits: limits}, openFiles)
		Expect(got.Connections).To(Equal(want))
		Expect(got.Requests).To(And(BeNumerically(">=", min(want, 1)), BeNumerically("<=", want)))
	},
	Entry("by the requests in progress", settings.Limits{MaxInFlight: 64}, 0, 128),
	Entry("by the setting", settings.Limits{MaxInFlight: 64, MaxConnections: 300}, 0, 300),
	Entry("by the open files that the system allows", settings.Limits{MaxInFlight: 1024}, 1024, 494),
	Entry("if the system allows next to none", settings.Limits{MaxInFlight: 1024}, 100, 1),
)

// Guards against a single request inside the limit of heads that is refused for their memory, since
// each of its fields counts 128 bytes more.
var _ = It("serves a single head of 64 KiB with the shortest fields at the least memory", func() {
	limits := process.CallerLimits(&settings.Settings{Limits: settings.Limits{MaxInFlight: 64, MemoryLimit: 16_000_000}}, 0)
	const bytes, fieldBytes = 64 << 10, 4
	conn := connlimit.New(limits).Open(start, func(connlimit.Cause) {})
	Expect(conn.ReceiveHead(start, bytes, bytes/fieldBytes)).To(BeTrue())
})

// Guards against a configuration whose largest bodies are refused for ever.
var _ = DescribeTable("The largest body fits into the memory for bodies", func(maxBody, memoryLimit int64) {
	hold := process.BodyBudget(&settings.Settings{
		Limits: settings.Limits{MemoryLimit: memoryLimit}, Entry: settings.Entry{MaxBody: maxBody}}).NewHold()
	Expect(hold.Grow(start, maxBody+1)).To(BeTrue())
	hold.Release()
},
	Entry("with the defaults", int64(1_000_000), int64(64_000_000)),
	Entry("if it is as large as the memory limit", int64(64_000_000), int64(64_000_000)),
)
