package main

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"regexp"
	"slices"
	"strings"
)

// maxKnownRed is the maximum number of known red tests that a run accepts, without those
// of the packages that are run alone.
const maxKnownRed = 3

// knownRed is a test that fails because of a fault that is not fixed yet.
type knownRed struct {
	pkg   string // directory below the root, as in "core/gossip"
	name  string // name of a Go test, or the full text of a Ginkgo spec
	cause string
	issue string
}

// goTestName matches the name of a Go test, but not the text of a spec.
var goTestName = regexp.MustCompile(`^(Test|Fuzz|Example)\w*$`)

// dir returns the directory of the package in the form "./core/gossip".
func (k knownRed) dir() string { return "./" + k.pkg }

func (k knownRed) isGoTest() bool { return goTestName.MatchString(k.name) }

// pattern returns a regular expression that matches the test's name, but not
// a longer name that begins with it. Ginkgo matches the expression against the
// suite's description, a space and the spec's text.
func (k knownRed) pattern() string {
	if k.isGoTest() {
		return "^" + k.name + "$"
	}
	return " " + regexp.QuoteMeta(k.name) + "$"
}

func (k knownRed) String() string {
	return fmt.Sprintf("%s: %s; %s; %s", k.pkg, k.name, k.cause, k.issue)
}

// readKnown reads the list of known red tests from a file. A missing file is an
// empty list. alone are the directories of the packages that are run alone.
func readKnown(path string, alone []string) ([]knownRed, error) {
	data, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	return parseKnown(path, string(data), alone)
}

// parseKnown reads lines of the form "package: test; cause; issue". Blank
// lines and lines that start with # are ignored.
func parseKnown(path, text string, alone []string) ([]knownRed, error) {
	var known []knownRed
	counted := 0
	for i, line := range strings.Split(text, "\n") {
		line = strings.TrimSpace(line)
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		test, err := parseLine(line)
		if err != nil {
			return nil, fmt.Errorf("%s:%d: %w", path, i+1, err)
		}
		known = append(known, test)
		if !slices.Contains(alone, test.dir()) {
			counted++
		}
	}
	if counted > maxKnownRed {
		return nil, fmt.Errorf("%s: lists %d tests; %d at most, mend some first", path, counted, maxKnownRed)
	}
	return known, nil
}

var errSyntax = errors.New(`must be "package: test; cause; issue"`)

func parseLine(line string) (knownRed, error) {
	fields := strings.Split(line, ";")
	if len(fields) != 3 {
		return knownRed{}, errSyntax
	}
	pkg, name, _ := strings.Cut(fields[0], ":")
	test := knownRed{
		pkg:   strings.Trim(strings.TrimSpace(pkg), "./"),
		name:  strings.TrimSpace(name),
		cause: strings.TrimSpace(fields[1]),
		issue: strings.TrimSpace(fields[2]),
	}
	if test.pkg == "" || test.name == "" || test.cause == "" || test.issue == "" {
		return knownRed{}, errSyntax
	}
	return test, nil
}
