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

// said is what each promise says beside its tests.
const said = "- Failed first: -\n- Figure: -\n- Not proved: -"

// promised is a page with one promise.
func promised(items ...string) string { return "### x\n\n" + strings.Join(items, "\n") }

var _ = DescribeTable("a line of a page of proofs", func(line string, faults ...string) {
	root := fstest.MapFS{
		"core/a/a_test.go": {Data: []byte(sample)},
		"P.md":             {Data: []byte(line)},
	}
	found, err := checkProofs(root, "P.md")
	Expect(err).NotTo(HaveOccurred())
	Expect(found).To(HaveExactElements(faults))
},
	Entry("with a function", promised("- `core/a: TestOne`", said)),
	Entry("with a spec", promised("- `core/a: \"row\"`", said)),
	Entry("with a spec in its containers", promised("- `core/a: \"box > table > row\"`", said)),
	Entry("without a proof, said so", promised("- Failed first: -\n- Figure: -\n- Not proved: all of it, no machine")),
	Entry("without a proof, not said so", promised(said),
		`P.md:1: it cites no test and does not say "- Not proved: all of it"`),
	Entry("with a benchmark for a proof", promised("- `core/a: BenchmarkOne`", said),
		"P.md:3: a benchmark checks nothing; it stands under the figures"),
	Entry("that lacks what it must say", promised("- `core/a: TestOne`", "- Figure: -\n- Not proved: -"),
		`P.md:1: it must say, in this order: ["- Failed first: " "- Figure: " "- Not proved: "]; it says ["- Figure: " "- Not proved: "]`),
	Entry("that says nothing under a label", promised("- `core/a: TestOne`", "- Failed first: \n- Figure: -\n- Not proved: -"),
		`P.md:1: it must say, in this order: ["- Failed first: " "- Figure: " "- Not proved: "]; it says ["- Figure: " "- Not proved: "]`),
	Entry("with a test after what it says", promised(said, "- `core/a: TestOne`"),
		`P.md:6: a test stands before "- Failed first:", and nothing else after it`),
	Entry("before a heading of another level", promised("- `core/a: TestOne`", said)+"\n## Other\n- text"),
	Entry("with a method", "| x | `core/a: TestTwo` | - | - | - |", `P.md:1: core/a has no test "TestTwo"`),
	Entry("with a spec in another container", "see `core/a: \"other > row\"`", `P.md:1: core/a has no test "other > row"`),
	Entry("with a part of a spec's text", "see `core/a: \"ow\"`", `P.md:1: core/a has no test "ow"`),
	Entry("with a spec whose text is computed", "see `core/a: \"runs\"`", `P.md:1: core/a has no test "runs"`),
	Entry("with a package that is gone", "see `core/b: TestOne`", `P.md:1: core/b has no test "TestOne"`),
	Entry("with a citation that is cut", "see `core/a: \"row`", "P.md:1: `core/a: \"row` is no citation"),
)
