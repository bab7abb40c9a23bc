package proofs_test

import (
	"os"
	"testing/fstest"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var repository = os.DirFS("../..")

var _ = Describe("docs/PROOFS.md", func() {
	// A reader goes from a promise to its test. A renamed or deleted test would
	// leave the promise standing with nothing behind it.
	It("cites tests that exist", func() {
		Expect(checkProofs(repository, "docs/PROOFS.md")).To(BeEmpty())
	})
})

var _ = DescribeTable("every page exists that is linked from", func(page string) {
	Expect(checkLinks(repository, page)).To(BeEmpty())
},
	Entry("the proofs", "docs/PROOFS.md"),
	Entry("the README", "README.md"),
	Entry("the index of design notes", "docs/design/README.md"),
)

const sample = "package a\n" +
	"func TestOne(*testing.T) {}\nfunc BenchmarkOne(*testing.B) {}\n" +
	"func (r rig) TestTwo() {}\n" +
	"var _ = ginkgo.Describe(\"box\", func() {\n" +
	"\tIt(`runs \"once\"`, nil)\n\tIt(\"runs\"+x, nil)\n" +
	"\tDescribeTable(\"table\", func() {},\n\t\tEntry(\"row\", 1))\n})\n"

var _ = DescribeTable("a line of a page of proofs", func(line string, faults ...string) {
	root := fstest.MapFS{
		"core/a/a_test.go": {Data: []byte(sample)},
		"P.md":             {Data: []byte(line)},
	}
	found, err := checkProofs(root, "P.md")
	Expect(err).NotTo(HaveOccurred())
	Expect(found).To(HaveExactElements(faults))
},
	Entry("with a function", "| x | `core/a: TestOne` | - | - | - |"),
	Entry("with a spec", "| x | `core/a: \"row\"` | - | - | - |"),
	Entry("with a spec in its containers", "| x | `core/a: \"box > table > row\"` | - | - | - |"),
	Entry("without a proof, said so", "| x | - | - | - | not proved: no machine |"),
	Entry("without a proof, not said so", "| x | - | - | - | - |",
		`P.md:1: row cites no test and does not begin its last cell with "not proved"`),
	Entry("with a benchmark for a proof", "| x | `core/a: BenchmarkOne` | - | - | - |",
		"P.md:1: a benchmark checks nothing; it stands under the figures"),
	Entry("with a lost cell", "| x | `core/a: TestOne` | - | - |", "P.md:1: row has 4 cells, want 5"),
	Entry("with a method", "| x | `core/a: TestTwo` | - | - | - |", `P.md:1: core/a has no test "TestTwo"`),
	Entry("with a spec in another container", "see `core/a: \"other > row\"`", `P.md:1: core/a has no test "other > row"`),
	Entry("with a part of a spec's text", "see `core/a: \"ow\"`", `P.md:1: core/a has no test "ow"`),
	Entry("with a spec whose text is computed", "see `core/a: \"runs\"`", `P.md:1: core/a has no test "runs"`),
	Entry("with a package that is gone", "see `core/b: TestOne`", `P.md:1: core/b has no test "TestOne"`),
	Entry("with a citation that is cut", "see `core/a: \"row`", "P.md:1: `core/a: \"row` is no citation"),
	Entry("that tells of a table's head", "| line | proof |"),
)
