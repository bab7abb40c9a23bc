package proofs_test

import (
	"os"
	"strings"
	"testing/fstest"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var repository = os.DirFS("../..")

var _ = Describe("docs/PROOFS.md", func() {
	// Readers follow the citations from a requirement to its tests. If a test
	// were renamed or deleted, the page would still claim that the requirement
	// is proved.
	It("cites tests that exist", func() {
		Expect(checkProofs(repository, "docs/PROOFS.md")).To(BeEmpty())
	})
})

var _ = DescribeTable("every linked page exists", func(page string) {
	Expect(checkLinks(repository, page)).To(BeEmpty())
},
	Entry("from the proofs", "docs/PROOFS.md"),
	Entry("from the README", "README.md"),
	Entry("from the index of design notes", "docs/design/README.md"),
)

const sampleTests = "package a\n" +
	"func TestOne(*testing.T) {}\nfunc BenchmarkOne(*testing.B) {}\n" +
	"func (r rig) TestTwo() {}\n" +
	"var _ = ginkgo.Describe(\"box\", func() {\n" +
	"\tIt(`runs \"once\"`, nil)\n\tIt(\"runs\"+x, nil)\n" +
	"\tDescribeTable(\"table\", func() {},\n\t\tEntry(\"row\", 1))\n})\n"

// labelledItems are the items that follow the tests of each requirement.
const labelledItems = "- Failed first: -\n- Figure: -\n- Not proved: -"

// section returns a page with one requirement.
func section(items ...string) string { return "### x\n\n" + strings.Join(items, "\n") }

var _ = DescribeTable("a page of proofs", func(page string, problems ...string) {
	root := fstest.MapFS{
		"core/a/a_test.go": {Data: []byte(sampleTests)},
		"P.md":             {Data: []byte(page)},
	}
	found, err := checkProofs(root, "P.md")
	Expect(err).NotTo(HaveOccurred())
	Expect(found).To(HaveExactElements(problems))
},
	Entry("with a function", section("- `core/a: TestOne`", labelledItems)),
	Entry("with a spec", section("- `core/a: \"row\"`", labelledItems)),
	Entry("with a spec in its containers", section("- `core/a: \"box > table > row\"`", labelledItems)),
	Entry("without a proof, as stated", section("- Failed first: -\n- Figure: -\n- Not proved: all of it, no machine")),
	Entry("without a proof, not stated", section(labelledItems),
		`P.md:1: cites no test and does not state "- Not proved: all of it"`),
	Entry("with a benchmark as proof", section("- `core/a: BenchmarkOne`", labelledItems),
		"P.md:3: a benchmark checks nothing; list it under \"Figure\""),
	Entry("without a labelled item", section("- `core/a: TestOne`", "- Figure: -\n- Not proved: -"),
		`P.md:1: must have the items ["- Failed first: " "- Figure: " "- Not proved: "] in this order; has ["- Figure: " "- Not proved: "]`),
	Entry("with an empty labelled item", section("- `core/a: TestOne`", "- Failed first: \n- Figure: -\n- Not proved: -"),
		`P.md:1: must have the items ["- Failed first: " "- Figure: " "- Not proved: "] in this order; has ["- Figure: " "- Not proved: "]`),
	Entry("with a test after the labelled items", section(labelledItems, "- `core/a: TestOne`"),
		`P.md:6: tests must be listed before "- Failed first:", and no other item after it`),
	Entry("with a heading of another level after the requirement", section("- `core/a: TestOne`", labelledItems)+"\n## Other\n- text"),
	Entry("with a method", "| x | `core/a: TestTwo` | - | - | - |", `P.md:1: core/a has no test "TestTwo"`),
	Entry("with a spec in another container", "see `core/a: \"other > row\"`", `P.md:1: core/a has no test "other > row"`),
	Entry("with a part of a spec's text", "see `core/a: \"ow\"`", `P.md:1: core/a has no test "ow"`),
	Entry("with a spec whose text is computed", "see `core/a: \"runs\"`", `P.md:1: core/a has no test "runs"`),
	Entry("with a package that does not exist", "see `core/b: TestOne`", `P.md:1: core/b has no test "TestOne"`),
	Entry("with a truncated citation", "see `core/a: \"row`", "P.md:1: `core/a: \"row` is not a valid citation"),
)
