package main

import (
	"fmt"
	"strings"
	"testing/fstest"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("checkTree", func() {
	DescribeTable("reports",
		func(file, source string, want ...string) {
			findings, err := checkTree(fstest.MapFS{file: {Data: []byte("package p\n" + source)}})
			Expect(err).NotTo(HaveOccurred())
			got := make([]string, len(findings))
			for i, finding := range findings {
				got[i] = finding.String()
			}
			Expect(got).To(HaveExactElements(want))
		},
		Entry("a sleep in a test", "core/a_test.go", "import \"time\"\nfunc f() { time.Sleep(1) }",
			"core/a_test.go:3: time.Sleep: a sleep does not prove that an event has happened; wait for it or inject a clock"),
		Entry("a sleep under another name", "core/a_test.go", "import t \"time\"\nfunc f() { t.Sleep(1) }",
			"core/a_test.go:3: t.Sleep: a sleep does not prove that an event has happened; wait for it or inject a clock"),
		Entry("no finding for a Sleep of another package", "core/a_test.go", "import \"clock/time2\"\nfunc f() { time2.Sleep(1) }"),
		Entry("untyped errors", "daemon/a.go", "import (\n\"errors\"\n\"fmt\"\n)\nvar a, b = errors.New(\"a\"), fmt.Errorf(\"b\")",
			"daemon/a.go:6: errors.New: errors must have a type; see core/failure",
			"daemon/a.go:6: fmt.Errorf: errors must have a type; see core/failure"),
		Entry("no finding for untyped errors in tests", "daemon/a_test.go", "import \"errors\"\nvar a = errors.New(\"a\")"),
		Entry("a use of the clock in core", "core/x/a.go", "import \"time\"\nvar a = time.Now()",
			"core/x/a.go:3: time.Now: core/ must not read the clock; pass the time in"),
		Entry("no finding for a use of the clock elsewhere", "daemon/x/a.go", "import \"time\"\nvar a = time.Now()"),
		Entry("I/O in core", "core/x/a.go", "import \"net/http\"\nvar a http.Request",
			"core/x/a.go:2: imports net/http: core/ must not do I/O"),
		Entry("a ready-made proxy", "adapters/x/a.go", "import \"net/http/httputil\"\nvar a httputil.ReverseProxy",
			"adapters/x/a.go:2: imports net/http/httputil: must not use a ready-made proxy"),
		Entry("a started process", "cmd/x/a.go", "import \"os/exec\"\nvar a exec.Cmd",
			"cmd/x/a.go:2: imports os/exec: must not start other processes"),
		Entry("no finding for a process started by a stand-in", "standin/x/a.go", "import \"os/exec\"\nvar a exec.Cmd"),
		Entry("a name of the platform outside its folder", "daemon/x/a.go", "var a = \"x-tenant\"",
			"daemon/x/a.go:2: X-Tenant: names of the platform belong in platform/ only"),
		Entry("no finding for a name of the platform in its folder", "platform/a.go", "var a = \"X-Tenant\""),
		Entry("untyped errors in the platform's folder", "platform/a.go", "import \"errors\"\nvar a = errors.New(\"a\")",
			"platform/a.go:3: errors.New: errors must have a type; see core/failure"),
		Entry("focused, pending and skipped specs", "core/a_test.go", "var _ = FIt(\"a\")\nvar _ = PDescribe(\"b\")\nfunc f(t T) { Skip(\"c\"); t.Skipf(\"d\") }",
			"core/a_test.go:2: FIt: specs must not be focused, pending or skipped",
			"core/a_test.go:3: PDescribe: specs must not be focused, pending or skipped",
			"core/a_test.go:4: Skip: specs must not be focused, pending or skipped",
			"core/a_test.go:4: Skipf: tests must not be skipped"),
		Entry("a long function", "core/a.go", "func f() {"+strings.Repeat("\n", 59)+"}",
			"core/a.go:2: f has 60 lines; functions must have fewer than 60"),
		Entry("no finding for a function one line below the limit", "core/a.go", "func f() {"+strings.Repeat("\n", 58)+"}"),
		Entry("a long file", "core/a.go", strings.Repeat("\n", 499),
			"core/a.go:1: the file has 500 lines; files must have fewer than 500"),
		Entry("no finding in testdata", "core/testdata/a_test.go", "var _ = FIt(\"a\")"),
	)

	// Engineers on call cannot interpret a log event or a metric that the
	// operations page does not document.
	It("reports log events, keys and metrics that the operations page does not list", func() {
		source := `package p
import "go.uber.org/zap"
func f(logger *zap.Logger, m scope) {
	logger.Info("listed", zap.Int("known", 1))
	logger.Warn("not_listed", zap.String("unknown", "a"), zap.Error(nil))
	logger.Error("two words")
	m.Counter("calls").Inc(1)
	m.Gauge("other").Update(1)
	other.Info("no logger")
}
`
		files := fstest.MapFS{
			"docs/OPERATIONS.md": {Data: []byte("| `listed` | `known` |\nand `calls`")},
			"daemon/a.go":        {Data: []byte(source)},
			"daemon/a_test.go":   {Data: []byte(source)},
		}
		findings, err := checkTree(files)
		Expect(err).NotTo(HaveOccurred())
		got := make([]string, len(findings))
		for i, finding := range findings {
			got[i] = finding.String()
		}
		Expect(got).To(ConsistOf(
			"daemon/a.go:5: log event not_listed: not listed in docs/OPERATIONS.md",
			"daemon/a.go:5: log key unknown: not listed in docs/OPERATIONS.md",
			"daemon/a.go:6: log event \"two words\": names must be snake_case",
			"daemon/a.go:8: metric other: not listed in docs/OPERATIONS.md",
		))
	})

	It("does not limit the length of generated files", func() {
		source := "// Code generated by x. DO NOT EDIT.\n\npackage p\n" + strings.Repeat("\n", fileLineLimit)
		Expect(checkTree(fstest.MapFS{"core/a.go": {Data: []byte(source)}})).To(BeEmpty())
	})

	It("names a file that it cannot parse", func() {
		_, err := checkTree(fstest.MapFS{"core/a.go": {Data: []byte("package")}})
		Expect(err).To(MatchError(ContainSubstring("core/a.go:1")))
	})

	It("checks all files of a tree", func() {
		tree := make(fstest.MapFS)
		for i := range 3 {
			tree[fmt.Sprintf("core/%d/a_test.go", i)] = &fstest.MapFile{Data: []byte("package p\nvar _ = XIt()\n")}
		}
		findings, err := checkTree(tree)
		Expect(err).NotTo(HaveOccurred())
		Expect(findings).To(HaveLen(3))
	})
})
