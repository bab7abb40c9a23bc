package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"

	"github.com/onsi/ginkgo/v2/types"
)

// runner runs go test in the working directory, which must be the root of the
// workspace.
type runner struct {
	out      io.Writer
	parallel int
	race     bool
	failures *failures
}

// runListed tests the packages that the patterns match, and then those that the patterns in
// alone match, one at a time. It returns true if no test failed except those on the list of
// known red tests at path. The other failures are printed once more at the end.
func (r *runner) runListed(ctx context.Context, path string, patterns, alone []string) (bool, error) {
	r.failures = &failures{out: r.out}
	green, err := r.runKnown(ctx, path, patterns, alone)
	return green, errors.Join(err, r.failures.repeat())
}

func (r *runner) runKnown(ctx context.Context, path string, patterns, alone []string) (bool, error) {
	aloneDirs, err := r.list(ctx, alone)
	if err != nil {
		return false, err
	}
	known, err := readKnown(path, aloneDirs)
	if err != nil {
		return false, err
	}
	dirs, err := r.list(ctx, patterns)
	if err != nil {
		return false, err
	}
	dirs = slices.DeleteFunc(dirs, func(dir string) bool { return slices.Contains(aloneDirs, dir) })
	byPackage := make(map[string][]knownRed)
	for _, test := range known {
		if !slices.Contains(dirs, test.dir()) && !slices.Contains(aloneDirs, test.dir()) {
			return false, fmt.Errorf("%s: %s is no package of this run", path, test.pkg)
		}
		byPackage[test.dir()] = append(byPackage[test.dir()], test)
	}
	green, err := r.runAll(ctx, dirs, byPackage)
	for _, dir := range aloneDirs {
		if err != nil {
			return false, err
		}
		var passed bool
		passed, err = r.runAll(ctx, []string{dir}, byPackage)
		green = green && passed
	}
	return green && err == nil, err
}

// runAll tests each package with known red tests without these, then all other
// packages together, then each known red test on its own.
func (r *runner) runAll(ctx context.Context, dirs []string, byPackage map[string][]knownRed) (bool, error) {
	var unlisted []string
	green := true
	for _, dir := range dirs {
		tests, listed := byPackage[dir]
		if !listed {
			unlisted = append(unlisted, dir)
			continue
		}
		passed, err := r.goTest(ctx, []string{dir}, skipArgs(tests))
		if err != nil {
			return false, err
		}
		green = green && passed
	}
	if len(unlisted) > 0 {
		passed, err := r.goTest(ctx, unlisted, extraArgs{})
		if err != nil {
			return false, err
		}
		green = green && passed
	}
	for _, dir := range dirs {
		for _, test := range byPackage[dir] {
			if err := r.runAlone(ctx, test); err != nil {
				return false, err
			}
		}
	}
	return green, nil
}

// extraArgs are additional arguments of go test for one package.
type extraArgs struct {
	flags []string // flags of go test, before the package
	specs []string // flags of Ginkgo, after the package
}

// skipArgs returns the arguments that skip the tests.
func skipArgs(tests []knownRed) extraArgs {
	var args extraArgs
	var goTests []string
	for _, test := range tests {
		if test.isGoTest() {
			goTests = append(goTests, test.pattern())
			continue
		}
		args.specs = append(args.specs, "-ginkgo.skip="+test.pattern())
	}
	if len(goTests) > 0 {
		args.flags = []string{"-skip=" + strings.Join(goTests, "|")}
	}
	return args
}

// list returns the directories of the packages that the patterns match, in the
// form "./core/gossip".
func (r *runner) list(ctx context.Context, patterns []string) ([]string, error) {
	if len(patterns) == 0 {
		return nil, nil // go list would list the working directory
	}
	var out bytes.Buffer
	command := exec.CommandContext(ctx, "go", append([]string{"list", "-f", "{{.Dir}}"}, patterns...)...)
	command.Stdout = &out
	command.Stderr = os.Stderr
	if err := command.Run(); err != nil {
		return nil, fmt.Errorf("go list: %w", err)
	}
	root, err := os.Getwd()
	if err != nil {
		return nil, err
	}
	var dirs []string
	for _, dir := range strings.Fields(out.String()) {
		relative, err := filepath.Rel(root, dir)
		if err != nil {
			return nil, err
		}
		dirs = append(dirs, "./"+filepath.ToSlash(relative))
	}
	return dirs, nil
}

// goTest runs the tests of packages and copies the output of go test to r.failures.
// It returns false if a test failed.
func (r *runner) goTest(ctx context.Context, dirs []string, extra extraArgs) (bool, error) {
	command := r.command(ctx, dirs, extra)
	command.Stdout = r.failures
	command.Stderr = r.failures
	return passed(command.Run())
}

func (r *runner) command(ctx context.Context, dirs []string, extra extraArgs) *exec.Cmd {
	args := []string{"test", "-count=1", "-p=" + strconv.Itoa(r.parallel)}
	if r.race {
		args = append(args, "-race")
	}
	args = append(args, extra.flags...)
	args = append(args, dirs...)
	if len(extra.specs) > 0 {
		args = append(append(args, "-args"), extra.specs...)
	}
	return exec.CommandContext(ctx, "go", args...)
}

// passed returns false without an error if the command ran and failed, and an
// error if it could not be started.
func passed(err error) (bool, error) {
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		return false, nil
	}
	return err == nil, err
}

// runAlone runs one known red test and prints the result. It returns an error
// if the result cannot be determined, because then there is a fault other than
// the known one.
func (r *runner) runAlone(ctx context.Context, test knownRed) error {
	hasFailed := r.specFailed
	if test.isGoTest() {
		hasFailed = r.goTestFailed
	}
	failed, err := hasFailed(ctx, test)
	if err != nil {
		return fmt.Errorf("known red test %s: %w", test, err)
	}
	if failed {
		_, err = fmt.Fprintf(r.out, "KNOWN RED, passed over: %s\n", test)
		return err
	}
	_, err = fmt.Fprintf(r.out, "KNOWN RED, but it passed this time; if it is mended, take it off the list: %s\n", test)
	return err
}

var errNotExactlyOne = errors.New("the name does not fit exactly one test that ran")

// specFailed runs one Ginkgo spec and reports whether it failed.
func (r *runner) specFailed(ctx context.Context, test knownRed) (bool, error) {
	dir, err := os.MkdirTemp("", "testrun")
	if err != nil {
		return false, err
	}
	defer os.RemoveAll(dir)
	report := filepath.Join(dir, "report.json")
	command := r.command(ctx, []string{test.dir()}, extraArgs{specs: []string{
		"-ginkgo.focus=" + test.pattern(), "-ginkgo.json-report=" + report,
	}})
	command.Stdout = r.out
	command.Stderr = r.out
	if _, err := passed(command.Run()); err != nil {
		return false, err
	}
	data, err := os.ReadFile(report)
	if err != nil {
		return false, err
	}
	return parseSpecReport(data)
}

// parseSpecReport returns whether the spec failed, from Ginkgo's JSON report of
// a run of that spec alone.
func parseSpecReport(data []byte) (failed bool, err error) {
	var suites []types.Report
	if err := json.Unmarshal(data, &suites); err != nil {
		return false, err
	}
	var ran []types.SpecReport
	for _, suite := range suites {
		for _, spec := range suite.SpecReports {
			isSpec := spec.LeafNodeType == types.NodeTypeIt
			if isSpec && spec.State != types.SpecStateSkipped && spec.State != types.SpecStatePending {
				ran = append(ran, spec)
			}
		}
	}
	if len(ran) != 1 {
		return false, errNotExactlyOne
	}
	return ran[0].Failed(), nil
}

// testEvent holds the fields of an event of go test -json that testrun uses.
type testEvent struct {
	Action string
	Test   string
	Output string
}

// suiteStartPrefix is the prefix of the line that Ginkgo prints when a Go test starts
// a suite.
const suiteStartPrefix = "Running Suite: "

var errIsSuite = errors.New("it is a whole suite; list its red specs")

// goTestFailed runs one Go test and reports whether it failed.
func (r *runner) goTestFailed(ctx context.Context, test knownRed) (bool, error) {
	var out bytes.Buffer
	command := r.command(ctx, []string{test.dir()}, extraArgs{flags: []string{"-json", "-run=" + test.pattern()}})
	command.Stdout = &out
	command.Stderr = r.out
	if _, err := passed(command.Run()); err != nil {
		return false, err
	}
	return r.parseTestEvents(&out, test.name)
}

// parseTestEvents returns whether the named Go test failed, from the events of
// its run, and copies its output to r.out.
func (r *runner) parseTestEvents(events io.Reader, name string) (failed bool, err error) {
	decoder := json.NewDecoder(events)
	for {
		var event testEvent
		err := decoder.Decode(&event)
		if errors.Is(err, io.EOF) {
			return false, errNotExactlyOne
		}
		if err != nil {
			return false, err
		}
		if strings.HasPrefix(event.Output, suiteStartPrefix) {
			return false, errIsSuite
		}
		if _, err := io.WriteString(r.out, event.Output); err != nil {
			return false, err
		}
		if event.Test == name && (event.Action == "pass" || event.Action == "fail") {
			return event.Action == "fail", nil
		}
	}
}
