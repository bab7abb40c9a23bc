package main

import (
	"bytes"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path"
	"slices"
	"strconv"
	"strings"
)

// Length limits that keep files and functions readable. Each is the smallest
// length that is reported.
const (
	functionLineLimit = 60
	fileLineLimit     = 500
)

// Finding is one violation of a rule.
type Finding struct {
	Path string
	Line int
	Text string
}

// String returns "path:line: text".
func (f Finding) String() string { return fmt.Sprintf("%s:%d: %s", f.Path, f.Line, f.Text) }

// scope reports whether a rule applies to a file.
type scope func(file string) bool

func inTests(file string) bool      { return strings.HasSuffix(file, "_test.go") }
func outsideTests(file string) bool { return !inTests(file) && !within("tools")(file) }
func inCore(file string) bool       { return !inTests(file) && within("core")(file) }

// inProduct reports whether a file is part of the deployed software, which
// excludes tests, tools and stand-ins.
func inProduct(file string) bool {
	if inTests(file) || within("platform/standin")(file) {
		return false
	}
	return within("core")(file) || within("adapters")(file) || within("daemon")(file) || within("platform")(file) || within("cmd")(file)
}

// within returns the scope of all files below the folder of a module.
func within(module string) scope {
	return func(file string) bool { return strings.HasPrefix(file, module+"/") }
}

// useRule forbids the use of a package or of some of its names.
type useRule struct {
	where  scope
	pkg    string   // import path
	names  []string // empty for the whole package
	reason string
}

var useRules = []useRule{
	{inTests, "time", []string{"Sleep"}, "a sleep does not prove that an event has happened; wait for it or inject a clock"},
	{outsideTests, "errors", []string{"New"}, "errors must have a type; see core/failure"},
	{outsideTests, "fmt", []string{"Errorf"}, "errors must have a type; see core/failure"},
	{inCore, "time", []string{"Now", "Since", "Until", "Sleep", "After", "AfterFunc", "Tick", "NewTimer", "NewTicker"},
		"core/ must not read the clock; pass the time in"},
	{inCore, "os", nil, "core/ must not do I/O"},
	{inCore, "net", nil, "core/ must not do I/O"},
	{inCore, "net/http", nil, "core/ must not do I/O"},
	{inProduct, "os/exec", nil, "must not start other processes"},
	{inProduct, "net/http/httputil", nil, "must not use a ready-made proxy"},
}

// platformNames are names from the interfaces of the users' platform. They may
// occur only in the folder platform (and in tools), so that a change to the
// platform's interfaces affects no other code.
var platformNames = []string{
	"X-Expect-Instance", "X-Expect-Version", "X-Not-Run", "X-Response-Stamp", "X-Prefix-Hash", "X-Weight-Versions",
	"X-Token-Counts", "X-Deadline-Ms", "X-Tenant", "Api-Key", "kv-watch", "kv-range", "kv-key", "op/config",
	"op/version", "op/evacuate", "stage-put", "stage-get", "CHIVESPINDLE_NODE_FILE",
}

// filteringNames are the Ginkgo functions and decorators that exclude specs from
// a run.
var filteringNames = withFilterPrefixes("Describe", "Context", "When", "It", "Specify", "DescribeTable", "DescribeTableSubtree", "Entry")

// withFilterPrefixes returns the focused (F) and pending (P, X) forms of the
// names, and the names that skip a spec or mark it as pending.
func withFilterPrefixes(names ...string) []string {
	var all []string
	for _, name := range names {
		all = append(all, "F"+name, "P"+name, "X"+name)
	}
	return append(all, "Skip", "Pending")
}

// checkTree returns the findings in all Go files below root, ordered by path
// and line. It fails if a file cannot be read or parsed.
func checkTree(root fs.FS) ([]Finding, error) {
	operations, err := readOperationsPage(root)
	if err != nil {
		return nil, err
	}
	var findings []Finding
	err = fs.WalkDir(root, ".", func(name string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if entry.IsDir() {
			return skipDir(name)
		}
		if path.Ext(name) != ".go" {
			return nil
		}
		source, err := fs.ReadFile(root, name)
		if err != nil {
			return err
		}
		found, err := checkFile(name, source, operations)
		findings = append(findings, found...)
		return err
	})
	return findings, err
}

// skipDir skips the directories that the go command ignores.
func skipDir(name string) error {
	base := path.Base(name)
	hidden := strings.HasPrefix(base, ".") || strings.HasPrefix(base, "_")
	if name != "." && (hidden || base == "testdata") {
		return fs.SkipDir
	}
	return nil
}

// checkFile returns the findings in one file. operations is the sorted list of
// the names that the operations page documents.
func checkFile(name string, source []byte, operations []string) ([]Finding, error) {
	files := token.NewFileSet()
	file, err := parser.ParseFile(files, name, source, parser.ParseComments|parser.SkipObjectResolution)
	if err != nil {
		return nil, err
	}
	c := &checker{name: name, files: files, file: file, imports: importNames(file), operations: operations}
	c.lines = bytes.Count(source, []byte("\n"))
	c.checkImports()
	c.checkUses()
	c.checkTelemetry()
	if !ast.IsGenerated(file) {
		c.checkLengths()
	}
	slices.SortStableFunc(c.findings, func(a, b Finding) int { return a.Line - b.Line })
	return c.findings, nil
}

// checker collects the findings in one file.
type checker struct {
	name     string
	files    *token.FileSet
	file     *ast.File
	lines    int
	imports  map[string]string // import paths by the package name used in the file
	findings []Finding

	operations []string // as for checkFile
}

func (c *checker) add(pos token.Pos, format string, args ...any) {
	line := c.files.Position(pos).Line
	c.findings = append(c.findings, Finding{Path: c.name, Line: line, Text: fmt.Sprintf(format, args...)})
}

func importPath(spec *ast.ImportSpec) string {
	text, err := strconv.Unquote(spec.Path.Value)
	if err != nil {
		return "" // cannot happen: the parser rejects such an import
	}
	return text
}

func importNames(file *ast.File) map[string]string {
	names := make(map[string]string)
	for _, spec := range file.Imports {
		name := path.Base(importPath(spec))
		if spec.Name != nil {
			name = spec.Name.Name
		}
		names[name] = importPath(spec)
	}
	return names
}

func (c *checker) checkImports() {
	for _, spec := range c.file.Imports {
		for _, rule := range useRules {
			if len(rule.names) == 0 && rule.pkg == importPath(spec) && rule.where(c.name) {
				c.add(spec.Pos(), "imports %s: %s", rule.pkg, rule.reason)
			}
		}
	}
}

func (c *checker) checkUses() {
	ast.Inspect(c.file, func(node ast.Node) bool {
		switch n := node.(type) {
		case *ast.SelectorExpr:
			c.checkSelector(n)
		case *ast.CallExpr:
			c.checkSpec(n)
		case *ast.BasicLit:
			c.checkPlatformName(n)
		}
		return true
	})
}

func (c *checker) checkPlatformName(literal *ast.BasicLit) {
	if literal.Kind != token.STRING || within("platform")(c.name) || within("tools")(c.name) {
		return
	}
	for _, name := range platformNames {
		if strings.Contains(strings.ToLower(literal.Value), strings.ToLower(name)) {
			c.add(literal.Pos(), "%s: names of the platform belong in platform/ only", name)
		}
	}
}

func (c *checker) checkSelector(selector *ast.SelectorExpr) {
	pkg, isName := selector.X.(*ast.Ident)
	if !isName {
		return
	}
	for _, rule := range useRules {
		used := rule.pkg == c.imports[pkg.Name] && slices.Contains(rule.names, selector.Sel.Name)
		if used && rule.where(c.name) {
			c.add(selector.Pos(), "%s.%s: %s", pkg.Name, selector.Sel.Name, rule.reason)
		}
	}
}

// checkSpec reports specs that are focused, pending or skipped, because go test
// can pass although it does not run the other specs (if one is focused) or the
// spec itself (if it is pending or skipped).
func (c *checker) checkSpec(call *ast.CallExpr) {
	if !inTests(c.name) {
		return
	}
	switch fun := call.Fun.(type) {
	case *ast.Ident:
		if slices.Contains(filteringNames, fun.Name) {
			c.add(call.Pos(), "%s: specs must not be focused, pending or skipped", fun.Name)
		}
	case *ast.SelectorExpr:
		if slices.Contains([]string{"Skip", "Skipf", "SkipNow"}, fun.Sel.Name) {
			c.add(call.Pos(), "%s: tests must not be skipped", fun.Sel.Name)
		}
	}
}

func (c *checker) checkLengths() {
	if c.lines >= fileLineLimit {
		c.add(c.file.Package, "the file has %d lines; files must have fewer than %d", c.lines, fileLineLimit)
	}
	for _, decl := range c.file.Decls {
		function, isFunction := decl.(*ast.FuncDecl)
		if !isFunction {
			continue
		}
		lines := c.files.Position(function.End()).Line - c.files.Position(function.Pos()).Line + 1
		if lines >= functionLineLimit {
			c.add(function.Pos(), "%s has %d lines; functions must have fewer than %d", function.Name.Name, lines, functionLineLimit)
		}
	}
}
