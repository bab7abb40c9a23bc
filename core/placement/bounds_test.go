package placement

import (
	"fmt"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"chivespindle.example/core/enginemodel"
	"chivespindle.example/core/fleet"
	"chivespindle.example/core/policy"
)

// Guards against memory that grows with whatever another entry reports.
var _ = Describe("Reports of loads above their bounds", func() {
	start := time.Unix(1000, 0)

	It("are left out for further servers of an entry", func() {
		b := New(nil, policy.Disabled{})
		var loads []Load
		for n := range maxEntryLoads + 100 {
			loads = append(loads, Load{Server: fleet.InstanceID(fmt.Sprint("s-", n)), Work: enginemodel.Work{Running: 1}})
		}
		loads = append([]Load{{Server: fleet.InstanceID(strings.Repeat("s", 1<<10)), Work: enginemodel.Work{Running: 1}}}, loads...)
		b.UpdateEntryLoads(start, "e", loads)
		Expect(b.remote.sums).To(HaveLen(maxEntryLoads))
	})

	It("are left out for further groups", func() {
		b := New(nil, policy.Disabled{})
		for n := range maxGroups + 100 {
			b.UpdateGroupLoads(start, start, fmt.Sprint("g-", n), []RegionLoad{{Service: "s", Region: "r"}})
		}
		Expect(b.regions.groups).To(HaveLen(maxGroups))
	})
})
