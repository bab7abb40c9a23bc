// Package proofs_test checks that docs/PROOFS.md and the pages that index
// others name nothing that does not exist.
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

// What each line of docs/PROOFS.md says beside its tests, in this order.
const (
	failedFirst = "- Failed first: "
	figure      = "- Figure: "
	notProved   = "- Not proved: "
	// allOfIt begins what a line without a test says under notProved.
	allOfIt = "all of it"
)

var labels = []string{failedFirst, figure, notProved}

var (
	// citation is a package and one of its tests, a function or the text of a
	// spec with as many of the containers around it as make it plain:
	// `core/once: TestX`, `core/once: "Key > is read as > any text"`.
	citation = regexp.MustCompile("`([a-z][a-z/]*): (?:\"([^\"`]+)\"|(\\w+))`")
	// benchmark is the citation of one.
	benchmark = regexp.MustCompile("`[a-z/]+: Benchmark")
	// codeSpan finds what is meant for a citation and is none.
	codeSpan = regexp.MustCompile("`[a-z]+/[^` ]*:[^`]*`")
	// link is a link to a page of the repository.
	link = regexp.MustCompile(`\]\(([^):#]+)\)`)
)

// checkProofs returns the faults of a page of proofs: lines that neither cite a
// test nor say that nothing proves them, that lack what each must say, and
// citations of tests that do not exist.
func checkProofs(root fs.FS, page string) ([]string, error) {
	text, err := fs.ReadFile(root, page)
	if err != nil {
		return nil, err
	}
	c := checker{root: root, tests: make(map[string][]string)}
	for i, line := range strings.Split(string(text), "\n") {
		c.where = fmt.Sprintf("%s:%d", page, i+1)
		c.checkLine(line)
		for _, span := range codeSpan.FindAllString(line, -1) {
			if err := c.checkCitation(span); err != nil {
				return nil, err
			}
		}
	}
	c.endPromise()
	return c.faults, nil
}

type checker struct {
	root    fs.FS
	tests   map[string][]string // by package
	where   string
	faults  []string
	promise *promise // that is being read
}

// promise is one line of what the users ask for.
type promise struct {
	where   string
	cites   bool
	said    []string // labels
	nothing bool     // it says that nothing proves it
}

func (c *checker) fault(format string, args ...any) {
	c.faults = append(c.faults, c.where+": "+fmt.Sprintf(format, args...))
}

// checkLine follows the page: a heading of the third level begins a promise,
// any other ends it.
func (c *checker) checkLine(line string) {
	if strings.HasPrefix(line, "#") {
		c.endPromise()
	}
	if strings.HasPrefix(line, "### ") {
		c.promise = &promise{where: c.where}
		return
	}
	if c.promise != nil && strings.HasPrefix(line, "- ") {
		c.checkItem(line)
	}
}

func (c *checker) checkItem(line string) {
	p := c.promise
	for _, label := range labels {
		if text, found := strings.CutPrefix(line, label); found && strings.TrimSpace(text) != "" {
			p.said = append(p.said, label)
			p.nothing = p.nothing || label == notProved && strings.HasPrefix(text, allOfIt)
			return
		}
	}
	if len(p.said) > 0 {
		c.fault("a test stands before %q, and nothing else after it", strings.TrimSpace(failedFirst))
	}
	if benchmark.MatchString(line) {
		c.fault("a benchmark checks nothing; it stands under the figures")
	}
	p.cites = p.cites || citation.MatchString(line)
}

func (c *checker) endPromise() {
	p := c.promise
	c.promise = nil
	if p == nil {
		return
	}
	c.where = p.where
	if !slices.Equal(p.said, labels) {
		c.fault("it must say, in this order: %q; it says %q", labels, p.said)
	}
	if !p.cites && !p.nothing {
		c.fault("it cites no test and does not say %q", notProved+allOfIt)
	}
}

func (c *checker) checkCitation(span string) error {
	m := citation.FindStringSubmatch(span)
	if m == nil {
		c.fault("%s is no citation", span)
		return nil
	}
	pkg, name := m[1], m[2]+m[3]
	if c.tests[pkg] == nil {
		tests, err := testsOf(c.root, pkg)
		if err != nil {
			return err
		}
		c.tests[pkg] = tests
	}
	exists := slices.ContainsFunc(c.tests[pkg], func(test string) bool {
		return test == name || strings.HasSuffix(test, between+name)
	})
	if !exists {
		c.fault("%s has no test %q", pkg, name)
	}
	return nil
}

// between stands between the texts of a spec and its containers.
const between = " > "

// testsOf returns the test functions and specs of the package in a folder.
func testsOf(root fs.FS, folder string) ([]string, error) {
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
		ast.Walk(specs{found: &tests}, file)
	}
	return tests, nil
}

// specs visits a file and gathers its tests.
type specs struct {
	containers []string
	found      *[]string
}

func (s specs) Visit(node ast.Node) ast.Visitor {
	text, ok := testName(node)
	if ok {
		s.containers = append(slices.Clip(s.containers), text)
		*s.found = append(*s.found, strings.Join(s.containers, between))
	}
	return s
}

var (
	testFunction = regexp.MustCompile(`^(Test|Fuzz|Benchmark)`)
	specFunction = regexp.MustCompile(`^(Describe|DescribeTable|Context|When|It|Specify|Entry)$`)
)

// testName returns the name of a test function or the text of a ginkgo node,
// if it is a literal.
func testName(node ast.Node) (string, bool) {
	switch n := node.(type) {
	case *ast.FuncDecl:
		return n.Name.Name, n.Recv == nil && testFunction.MatchString(n.Name.Name)
	case *ast.CallExpr:
		if !specFunction.MatchString(called(n)) || len(n.Args) == 0 {
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

func called(call *ast.CallExpr) string {
	switch f := call.Fun.(type) {
	case *ast.Ident:
		return f.Name
	case *ast.SelectorExpr:
		return f.Sel.Name
	}
	return ""
}

// checkLinks returns the links of a page that lead to no page.
func checkLinks(root fs.FS, page string) ([]string, error) {
	text, err := fs.ReadFile(root, page)
	if err != nil {
		return nil, err
	}
	var faults []string
	for _, m := range link.FindAllStringSubmatch(string(text), -1) {
		if _, err := fs.Stat(root, path.Join(path.Dir(page), m[1])); err != nil {
			faults = append(faults, page+": "+m[1]+" does not exist")
		}
	}
	return faults, nil
}
