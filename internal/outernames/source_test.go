package outernames

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"maps"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// loggingCalls are the functions whose literals are names of events and keys.
var loggingCalls = map[string]bool{"InfoS": true, "ErrorS": true}

// spanCalls are the functions of package telemetry that get the name of a span.
var spanCalls = map[string]bool{"hop": true, "Start": true}

// identifier matches names of metrics, labels, attributes and keys.
var identifier = regexp.MustCompile(`^[a-z][a-z0-9_.]*$`)

// TestLogAndMetricNames compares the literals of all log calls, the names in
// package telemetry, the names of settings and flags, and the tags of all structs
// to those on record.
func TestLogAndMetricNames(t *testing.T) {
	names := make(map[string]bool)
	root := filepath.Join("..", "..")
	err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if d.IsDir() && (d.Name() == "target" || d.Name() == ".git") {
			return filepath.SkipDir
		}
		if d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return nil
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		rel, err := filepath.Rel(root, path)
		collect(file, filepath.ToSlash(rel), names)
		return err
	})
	assert.NilError(t, err)
	got, err := Difference(filepath.Join("testdata", "source_names.txt"), slices.Sorted(maps.Keys(names)))
	assert.NilError(t, err)
	assert.Equal(t, got, "")
}

// collect adds the outer names in a file.
func collect(file *ast.File, path string, names map[string]bool) {
	folder, _, _ := strings.Cut(path, "/")
	ast.Inspect(file, func(n ast.Node) bool {
		switch n := n.(type) {
		case *ast.ImportSpec:
			return false
		case *ast.Field:
			if n.Tag != nil {
				names[folder+" tag "+n.Tag.Value] = true
			}
			return n.Tag == nil
		case *ast.CallExpr:
			sel, ok := n.Fun.(*ast.SelectorExpr)
			if ok && loggingCalls[sel.Sel.Name] {
				addLiterals(n.Args, "log ", names)
			}
			if ok && folder == "telemetry" && spanCalls[sel.Sel.Name] {
				addLiterals(n.Args, "span ", names)
			}
		case *ast.KeyValueExpr:
			if key, ok := n.Key.(*ast.Ident); ok && folder == "cmd" && key.Name == "Name" {
				addLiterals([]ast.Expr{n.Value}, "flag or command ", names)
			}
		case *ast.BasicLit:
			if text, err := strconv.Unquote(n.Value); err == nil && n.Kind == token.STRING && identifier.MatchString(text) &&
				(folder == "telemetry" || folder == "settings") {
				names[folder+" "+text] = true
			}
		}
		return true
	})
}

// addLiterals adds the string literals of a list of expressions.
func addLiterals(list []ast.Expr, kind string, names map[string]bool) {
	for _, e := range list {
		if lit, ok := e.(*ast.BasicLit); ok && lit.Kind == token.STRING {
			if text, err := strconv.Unquote(lit.Value); err == nil && (kind != "log " || identifier.MatchString(text)) {
				names[kind+text] = true
			}
		}
	}
}
