// Package proofs_test checks that every test cited in docs/PROOFS.md exists, and
// every page linked from it and from the index pages.
package proofs_test

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path"
	"regexp"
	"slices"
	"strconv"
	"strings"
)

// Labels of the items that follow the tests of each requirement in
// docs/PROOFS.md, in this order.
const (
	failedFirstLabel = "- Failed first: "
	figureLabel      = "- Figure: "
	notProvedLabel   = "- Not proved: "
	// nothingProved is the start of the text after notProvedLabel in a
	// requirement without a test.
	nothingProved = "all of it"
)

var labels = []string{failedFirstLabel, figureLabel, notProvedLabel}

var (
	// citation matches a package and one of its tests: a function, or the text
	// of a spec, preceded by as many of its containers as are needed to
	// identify it: `core/once: TestX`, `core/once: "Key > is read as > any text"`.
	citation = regexp.MustCompile("`([a-z][a-z/]*): (?:\"([^\"`]+)\"|(\\w+))`")
	// benchmark matches the start of the citation of a benchmark.
	benchmark = regexp.MustCompile("`[a-z/]+: Benchmark")
	// codeSpan matches all text that looks like a citation, to detect citations
	// that are malformed.
	codeSpan = regexp.MustCompile("`[a-z]+/[^` ]*:[^`]*`")
	// link matches a link to a page of the repository.
	link = regexp.MustCompile(`\]\(([^):#]+)\)`)
)

// checkProofs returns the problems of a page of proofs: requirements that
// neither cite a test nor state that nothing proves them, requirements without
// all labelled items, and citations of tests that do not exist.
func checkProofs(root fs.FS, page string) ([]string, error) {
	text, err := fs.ReadFile(root, page)
	if err != nil {
		return nil, err
	}
	c := checker{root: root, tests: make(map[string][]string)}
	for i, line := range strings.Split(string(text), "\n") {
		c.position = fmt.Sprintf("%s:%d", page, i+1)
		c.checkLine(line)
		for _, span := range codeSpan.FindAllString(line, -1) {
			if err := c.checkCitation(span); err != nil {
				return nil, err
			}
		}
	}
	c.endRequirement()
	return c.problems, nil
}

// checker collects the problems of a page of proofs.
type checker struct {
	root     fs.FS
	tests    map[string][]string // names of the tests, by package
	position string              // path:line
	problems []string
	current  *requirement // nil outside a requirement
}

// requirement is the section of the page for one requirement of the users.
type requirement struct {
	position  string // of its heading
	citesTest bool
	labels    []string // of its items, in the order of the page
	unproved  bool     // states that nothing proves it
}

func (c *checker) addProblem(format string, args ...any) {
	c.problems = append(c.problems, c.position+": "+fmt.Sprintf(format, args...))
}

// checkLine processes one line of the page. A heading of the third level starts
// a requirement; any other heading ends the current one.
func (c *checker) checkLine(line string) {
	if strings.HasPrefix(line, "#") {
		c.endRequirement()
	}
	if strings.HasPrefix(line, "### ") {
		c.current = &requirement{position: c.position}
		return
	}
	if c.current != nil && strings.HasPrefix(line, "- ") {
		c.checkItem(line)
	}
}

func (c *checker) checkItem(line string) {
	r := c.current
	for _, label := range labels {
		if text, found := strings.CutPrefix(line, label); found && strings.TrimSpace(text) != "" {
			r.labels = append(r.labels, label)
			r.unproved = r.unproved || label == notProvedLabel && strings.HasPrefix(text, nothingProved)
			return
		}
	}
	if len(r.labels) > 0 {
		c.addProblem("tests must be listed before %q, and no other item after it", strings.TrimSpace(failedFirstLabel))
	}
	if benchmark.MatchString(line) {
		c.addProblem("a benchmark checks nothing; list it under \"Figure\"")
	}
	r.citesTest = r.citesTest || citation.MatchString(line)
}

func (c *checker) endRequirement() {
	r := c.current
	c.current = nil
	if r == nil {
		return
	}
	c.position = r.position
	if !slices.Equal(r.labels, labels) {
		c.addProblem("must have the items %q in this order; has %q", labels, r.labels)
	}
	if !r.citesTest && !r.unproved {
		c.addProblem("cites no test and does not state %q", notProvedLabel+nothingProved)
	}
}

func (c *checker) checkCitation(span string) error {
	m := citation.FindStringSubmatch(span)
	if m == nil {
		c.addProblem("%s is not a valid citation", span)
		return nil
	}
	pkg, name := m[1], m[2]+m[3]
	if c.tests[pkg] == nil {
		tests, err := listTests(c.root, pkg)
		if err != nil {
			return err
		}
		c.tests[pkg] = tests
	}
	exists := slices.ContainsFunc(c.tests[pkg], func(test string) bool {
		return test == name || strings.HasSuffix(test, textSeparator+name)
	})
	if !exists {
		c.addProblem("%s has no test %q", pkg, name)
	}
	return nil
}

// textSeparator separates the texts of a spec and its containers.
const textSeparator = " > "

// listTests returns the names of the test functions and specs of the package in
// a folder.
func listTests(root fs.FS, folder string) ([]string, error) {
	files, err := fs.Glob(root, folder+"/*_test.go")
	if err != nil {
		return nil, err
	}
	var tests []string
	for _, name := range files {
		source, err := fs.ReadFile(root, name)
		if err != nil {
			return nil, err
		}
		file, err := parser.ParseFile(token.NewFileSet(), name, source, parser.SkipObjectResolution)
		if err != nil {
			return nil, err
		}
		ast.Walk(testCollector{found: &tests}, file)
	}
	return tests, nil
}

// testCollector visits a file and collects the names of its tests.
type testCollector struct {
	containers []string
	found      *[]string
}

func (c testCollector) Visit(node ast.Node) ast.Visitor {
	text, ok := testName(node)
	if ok {
		c.containers = append(slices.Clip(c.containers), text)
		*c.found = append(*c.found, strings.Join(c.containers, textSeparator))
	}
	return c
}

var (
	testFunction = regexp.MustCompile(`^(Test|Fuzz|Benchmark)`)
	specFunction = regexp.MustCompile(`^(Describe|DescribeTable|Context|When|It|Specify|Entry)$`)
)

// testName returns the name of a test function, or the text of a Ginkgo node if
// the text is a literal.
func testName(node ast.Node) (string, bool) {
	switch n := node.(type) {
	case *ast.FuncDecl:
		return n.Name.Name, n.Recv == nil && testFunction.MatchString(n.Name.Name)
	case *ast.CallExpr:
		if !specFunction.MatchString(calleeName(n)) || len(n.Args) == 0 {
			return "", false
		}
		literal, ok := n.Args[0].(*ast.BasicLit)
		if !ok {
			return "", false
		}
		text, err := strconv.Unquote(literal.Value)
		return text, err == nil
	}
	return "", false
}

func calleeName(call *ast.CallExpr) string {
	switch f := call.Fun.(type) {
	case *ast.Ident:
		return f.Name
	case *ast.SelectorExpr:
		return f.Sel.Name
	}
	return ""
}

// checkLinks returns the links of a page whose targets do not exist.
func checkLinks(root fs.FS, page string) ([]string, error) {
	text, err := fs.ReadFile(root, page)
	if err != nil {
		return nil, err
	}
	var problems []string
	for _, m := range link.FindAllStringSubmatch(string(text), -1) {
		if _, err := fs.Stat(root, path.Join(path.Dir(page), m[1])); err != nil {
			problems = append(problems, page+": "+m[1]+" does not exist")
		}
	}
	return problems, nil
}
