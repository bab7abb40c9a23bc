package main

import (
	"bytes"
	"context"
	"os"
	"path/filepath"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const (
	redSpec = "testdata/specs: a red suite is red (here, too); 1 is not 2; #1\n"
	redTest = "testdata/plain: TestRed; always; #2\n"
)

var _ = Describe("testrun", func() {
	// Each case runs go test on packages below testdata. A failure may be
	// ignored only for a listed test; any other failing test of the same run,
	// and a listing that does not match exactly one test, must fail the run.
	DescribeTable("ignores the failures of listed tests only",
		func(list string, packages []string, wantGreen bool, wantText string) {
			path := filepath.Join(GinkgoT().TempDir(), "KNOWN-RED.txt")
			Expect(os.WriteFile(path, []byte(list), 0o600)).To(Succeed())
			var out bytes.Buffer
			r := &runner{out: &out, parallel: 2}
			green, err := r.runListed(context.Background(), path, packages)
			if err != nil {
				Expect(err).To(MatchError(ContainSubstring(wantText)))
			} else {
				Expect(out.String()).To(ContainSubstring(wantText))
			}
			Expect(green).To(Equal(wantGreen))
		},
		Entry("no test listed", "", []string{"./testdata/plain"}, false, "TestRed"),
		Entry("the failing test listed", redTest, []string{"./testdata/plain"}, true, "KNOWN RED, passed over: testdata/plain: TestRed;"),
		Entry("the failing spec listed", redSpec, []string{"./testdata/specs"}, true, "KNOWN RED, passed over: testdata/specs: a red"),
		Entry("one of two failing tests listed", redSpec, []string{"./testdata/specs", "./testdata/plain"}, false, "KNOWN RED, passed over: testdata/specs"),
		Entry("both failing tests listed", redSpec+redTest, []string{"./testdata/specs", "./testdata/plain"}, true, "KNOWN RED, passed over: testdata/plain"),
		Entry("a passing test listed", "testdata/plain: TestGreen; c; #3\n"+redTest, []string{"./testdata/plain"}, true, "but it passed this time"),
		Entry("a missing test listed", "testdata/plain: TestGone; c; #3\n"+redTest, []string{"./testdata/plain"}, false, "does not fit exactly one test"),
		Entry("a missing spec listed", "testdata/specs: red; c; #3\n"+redSpec, []string{"./testdata/specs"}, false, "does not fit exactly one test"),
		Entry("a whole suite listed", "testdata/specs: a red suite; c; #3\n", []string{"./testdata/specs"}, false, "does not fit exactly one test"),
		Entry("a whole suite listed as a Go test", "testdata/specs: TestSpecs; c; #3\n", []string{"./testdata/specs"}, false, "it is a whole suite"),
		Entry("a missing package listed", "core/gone: TestRed; c; #3\n", []string{"./testdata/plain"}, false, "core/gone is no package of this run"),
	)

	It("treats a missing list as empty", func() {
		Expect(readKnown(filepath.Join(GinkgoT().TempDir(), "none.txt"))).To(BeEmpty())
	})

	DescribeTable("parses the list",
		func(text string, want []knownRed, wantErr string) {
			known, err := parseKnown("K", text)
			if wantErr != "" {
				Expect(err).To(MatchError(wantErr))
				return
			}
			Expect(err).NotTo(HaveOccurred())
			Expect(known).To(Equal(want))
		},
		Entry("with comments", "# none\n\n ./core/x: a b: c ; why ; #4\n", []knownRed{{pkg: "core/x", name: "a b: c", cause: "why", issue: "#4"}}, ""),
		Entry("without a cause", "\ncore/x: a; ; #4\n", nil, `K:2: must be "package: test; cause; issue"`),
		Entry("without a package", "TestX; c; #4\n", nil, `K:1: must be "package: test; cause; issue"`),
		Entry("without an issue", "core/x: a; c\n", nil, `K:1: must be "package: test; cause; issue"`),
		Entry("too long", redTest+redTest+redTest+redSpec, nil, "K: lists 4 tests; 3 at most, mend some first"),
	)
})
