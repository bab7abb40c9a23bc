package fleettext_test

import (
	"os"
	"regexp"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"chivespindle.example/core/fleet"
	"chivespindle.example/core/fleettext"
)

var _ = Describe("the example configurations", func() {
	DescribeTable("are valid",
		func(file string, spread fleettext.Spread, order ...fleet.ServiceName) {
			f := mustLoad(file)
			Expect(f.DependencyOrder()).To(Equal(order))
			Expect(f.Workspaces()).To(HaveLen(10))
			for service := range f.Services() {
				if service.Kind == fleettext.KindModel {
					Expect(service.Spread).To(Equal(spread))
				}
			}
		},
		Entry("ffsan.ini", "../../examples/ffsan.ini", fleettext.SpreadTime,
			fleet.ServiceName("member-portal"), fleet.ServiceName("spindle-pool"), fleet.ServiceName("workshop-api")),
		Entry("arkisto.ini", "../../examples/arkisto.ini", fleettext.SpreadOrigin,
			fleet.ServiceName("luettelo"), fleet.ServiceName("kielimalli"), fleet.ServiceName("asiointi")),
	)
})

var _ = Describe("docs/TEXT.md", func() {
	It("documents exactly the keys of each section", func() {
		page, err := os.ReadFile("../../docs/TEXT.md")
		Expect(err).NotTo(HaveOccurred())
		var documented []string
		for _, row := range regexp.MustCompile("(?m)^\\| `([a-z_]+)` \\|").FindAllStringSubmatch(string(page), -1) {
			documented = append(documented, row[1])
		}
		// The fault for an unknown key lists the known keys.
		known := regexp.MustCompile(`want one of ([a-z_, ]+)`)
		_, err = fleettext.Load("keys.ini", []byte("[fleet]\nx=1\n[version v]\nx=1\n[service s]\nx=1\n[workspace w]\nx=1\n"))
		var accepted []string
		for _, fault := range fleettext.AsCheckError(err).Faults {
			if match := known.FindStringSubmatch(fault.Reason); match != nil {
				accepted = append(accepted, regexp.MustCompile(`[a-z_]+`).FindAllString(match[1], -1)...)
			}
		}
		Expect(accepted).To(HaveLen(18))
		Expect(documented).To(Equal(accepted))
	})
})
