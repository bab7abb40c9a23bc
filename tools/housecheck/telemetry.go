package main

import (
	"errors"
	"go/ast"
	"go/token"
	"io/fs"
	"regexp"
	"slices"
	"strconv"
	"strings"
)

// operationsPage lists every log event, log key and metric, each between
// backquotes. On-call engineers have nothing else to look them up in.
const operationsPage = "docs/OPERATIONS.md"

const zapPath = "go.uber.org/zap"

var (
	quotedWord = regexp.MustCompile("`([^`\n]+)`")
	snakeCase  = regexp.MustCompile(`^[a-z][a-z0-9_]*$`)

	logMethods    = []string{"Debug", "Info", "Warn", "Error"}
	metricMethods = []string{"Counter", "Gauge", "Histogram", "Timer"}
)

// readOperationsPage returns the words that the page quotes, none if there is
// no page.
func readOperationsPage(root fs.FS) ([]string, error) {
	page, err := fs.ReadFile(root, operationsPage)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	var words []string
	for _, match := range quotedWord.FindAllSubmatch(page, -1) {
		words = append(words, string(match[1]))
	}
	slices.Sort(words)
	return slices.Compact(words), nil
}

// checkTelemetry reports events, keys and metrics that the page does not list.
func (c *checker) checkTelemetry() {
	if !inProduct(c.name) {
		return
	}
	ast.Inspect(c.file, func(node ast.Node) bool {
		if call, ok := node.(*ast.CallExpr); ok {
			c.checkTelemetryCall(call)
		}
		return true
	})
}

func (c *checker) checkTelemetryCall(call *ast.CallExpr) {
	selector, ok := call.Fun.(*ast.SelectorExpr)
	if !ok || len(call.Args) == 0 {
		return
	}
	name, ok := stringLiteral(call.Args[0])
	if !ok {
		return
	}
	switch {
	case slices.Contains(logMethods, selector.Sel.Name) && isLogger(selector.X):
		c.checkListed(call, "log event", name)
	case slices.Contains(metricMethods, selector.Sel.Name):
		c.checkListed(call, "metric", name)
	case c.isPackage(selector.X, zapPath):
		c.checkListed(call, "log key", name)
	}
}

func (c *checker) checkListed(call *ast.CallExpr, what, name string) {
	if !snakeCase.MatchString(name) {
		c.add(call.Pos(), "%s %q: names are snake_case", what, name)
		return
	}
	if _, listed := slices.BinarySearch(c.operations, name); !listed {
		c.add(call.Pos(), "%s %s: %s does not list it", what, name, operationsPage)
	}
}

func (c *checker) isPackage(x ast.Expr, path string) bool {
	name, ok := x.(*ast.Ident)
	return ok && c.imports[name.Name] == path
}

func stringLiteral(x ast.Expr) (string, bool) {
	literal, ok := x.(*ast.BasicLit)
	if !ok || literal.Kind != token.STRING {
		return "", false
	}
	text, err := strconv.Unquote(literal.Value)
	return text, err == nil
}

// isLogger reports whether an expression ends in a name that loggers have here.
func isLogger(x ast.Expr) bool {
	switch x := x.(type) {
	case *ast.Ident:
		return strings.EqualFold(x.Name, "logger")
	case *ast.SelectorExpr:
		return strings.EqualFold(x.Sel.Name, "logger")
	default:
		return false
	}
}
