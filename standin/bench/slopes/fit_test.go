package slopes

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/joomcode/errorx"

	"chivespindle.example/core/failure"
)

var _ = Describe("Fit", func() {
	DescribeTable("returns the least-squares line",
		func(points []Point, base, perUnit float64) {
			line, err := Fit(points)
			Expect(err).NotTo(HaveOccurred())
			Expect(line.Base).To(BeNumerically("~", base, 1e-9))
			Expect(line.PerUnit).To(BeNumerically("~", perUnit, 1e-9))
		},
		Entry("through points on a line", []Point{{10, 25}, {20, 45}, {40, 85}}, 5.0, 2.0),
		Entry("between points off the line", []Point{{0, 1}, {1, 3}, {2, 2}}, 1.5, 0.5),
		Entry("with a negative slope", []Point{{1, 9}, {2, 6}, {3, 3}}, 12.0, -3.0),
		Entry("with slope 0", []Point{{10, 7}, {20, 7}, {400, 7}}, 7.0, 0.0),
		Entry("with sizes far apart", []Point{{9, 1009}, {90, 1090}, {3500, 4500}}, 1000.0, 1.0),
	)

	DescribeTable("rejects fewer than two different sizes",
		func(points []Point) {
			_, err := Fit(points)
			Expect(errorx.IsOfType(err, failure.Invalid)).To(BeTrue(), "%v", err)
		},
		Entry("no points", nil),
		Entry("one point", []Point{{3, 4}}),
		Entry("the same size twice", []Point{{3, 4}, {3, 5}}),
	)
})

var _ = Describe("Slope", func() {
	s := Slope{Name: "entry_bytes", Of: "processes", Unit: "B/s", Target: 50, Budget: 220,
		Points: []Point{{10, 30}, {20, 50}, {40, 90}}}

	It("extrapolates to a target size that was not measured", func() {
		at, source, err := s.AtTarget()
		Expect(err).NotTo(HaveOccurred())
		Expect(at).To(BeNumerically("~", 110, 1e-9))
		Expect(source).To(Equal(Fitted))
	})

	It("prefers a value measured at the target size to the fitted line", func() {
		with := s
		with.Points = append(with.Points[:3:3], Point{50, 140})
		at, source, err := with.AtTarget()
		Expect(err).NotTo(HaveOccurred())
		Expect(at).To(Equal(140.0))
		Expect(source).To(Equal(Measured))
	})

	It("prints its points, the line and the share of the budget", func() {
		Expect(s.Lines()).To(Equal([]string{
			"capacity=entry_bytes size=10 of=processes value=30 unit=B/s",
			"capacity=entry_bytes size=20 of=processes value=50 unit=B/s",
			"capacity=entry_bytes size=40 of=processes value=90 unit=B/s",
			"capacity=entry_bytes slope_per_unit=2 base=10 of=processes unit=B/s target_size=50 at_target=110 from=fitted budget=220 share=0.50",
		}))
	})

	It("prints no target cost if Target is 0", func() {
		far := s
		far.Target = 0
		lines, err := far.Lines()
		Expect(err).NotTo(HaveOccurred())
		Expect(lines[3]).To(Equal("capacity=entry_bytes slope_per_unit=2 base=10 of=processes unit=B/s"))
	})

	DescribeTable("formats values with four significant digits and no exponent",
		func(v float64, text string) { Expect(formatValue(v)).To(Equal(text)) },
		Entry(nil, 0.0, "0"),
		Entry(nil, 0.000012345, "0.00001234"),
		Entry(nil, 1.00049, "1"),
		Entry(nil, -12.3456, "-12.35"),
		Entry(nil, 583914.0, "583900"),
	)
})

var _ = Describe("Figure", func() {
	It("prints its calculation", func() {
		f := Figure{Name: "platform_calls", Unit: "calls/s", At: 150, Budget: 2000, How: "list:100+reads:50"}
		Expect(f.String()).To(Equal("capacity=platform_calls unit=calls/s at_target=150 from=worked_out budget=2000 share=0.07 how=list:100+reads:50"))
	})
})
