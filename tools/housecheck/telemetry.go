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

// operationsPage lists every log event, log key and metric, each in backquotes.
// It is the only reference for them that engineers on call have.
const operationsPage = "docs/OPERATIONS.md"

const zapPath = "go.uber.org/zap"

var (
	backquoted = regexp.MustCompile("`([^`\n]+)`")
	snakeCase  = regexp.MustCompile(`^[a-z][a-z0-9_]*$`)

	logMethods    = []string{"Debug", "Info", "Warn", "Error"}
	metricMethods = []string{"Counter", "Gauge", "Histogram", "Timer"}
)

// readOperationsPage returns the sorted names that the page has in backquotes,
// or none if the page does not exist.
func readOperationsPage(root fs.FS) ([]string, error) {
	page, err := fs.ReadFile(root, operationsPage)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	var names []string
	for _, match := range backquoted.FindAllSubmatch(page, -1) {
		names = append(names, string(match[1]))
	}
	slices.Sort(names)
	return slices.Compact(names), nil
}

// checkTelemetry reports log events, log keys and metrics that the operations
// page does not list.
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

func (c *checker) checkListed(call *ast.CallExpr, kind, name string) {
	if !snakeCase.MatchString(name) {
		c.add(call.Pos(), "%s %q: names must be snake_case", kind, name)
		return
	}
	if _, listed := slices.BinarySearch(c.operations, name); !listed {
		c.add(call.Pos(), "%s %s: not listed in %s", kind, name, operationsPage)
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

// isLogger reports whether the last name of an expression is "logger", in any
// case. Every field and variable that holds a logger must have that name.
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
