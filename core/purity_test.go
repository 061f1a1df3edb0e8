package core_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// ownModule is the import path prefix of this module.
const ownModule = "github.com/camphorpaddle/camphorpaddle/"

// allowedImports are the packages outside core that the reducer may use.
var allowedImports = map[string]bool{
	"cmp": true, "container/heap": true, "errors": true, "fmt": true,
	"hash/fnv": true, "iter": true, "maps": true, "math": true,
	"math/bits": true, "math/rand/v2": true, "slices": true, "sort": true,
	"strconv": true, "strings": true, "time": true,
	"github.com/cespare/xxhash/v2":   true,
	"github.com/gravitational/trace": true,
}

// clockCalls are the functions of package time that read the clock or start a timer.
var clockCalls = map[string]bool{
	"Now": true, "Since": true, "Until": true, "Sleep": true, "After": true,
	"AfterFunc": true, "Tick": true, "NewTimer": true, "NewTicker": true,
}

// seededRandom are the names in math/rand/v2 of explicitly seeded sources.
var seededRandom = map[string]bool{"New": true, "NewPCG": true, "Rand": true, "PCG": true}

// TestCoreIsPure checks that the reducer imports no encoding, I/O or locks, reads
// no clock or global random source, and uses no goroutines or channels.
func TestCoreIsPure(t *testing.T) {
	files := 0
	err := filepath.WalkDir(".", func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		files++
		checkFile(t, path)
		return nil
	})
	assert.NilError(t, err)
	assert.Assert(t, files > 10, "found only %d source files of the reducer", files)
}

func checkFile(t *testing.T, path string) {
	t.Helper()
	fset := token.NewFileSet()
	file, err := parser.ParseFile(fset, path, nil, 0)
	assert.NilError(t, err)
	for _, imp := range file.Imports {
		name, err := strconv.Unquote(imp.Path.Value)
		assert.NilError(t, err)
		if !allowedImports[name] && !strings.HasPrefix(name, ownModule+"core/") {
			t.Errorf("%s: the reducer must not import %s", fset.Position(imp.Pos()), name)
		}
	}
	ast.Inspect(file, func(n ast.Node) bool {
		switch n := n.(type) {
		case *ast.GoStmt, *ast.ChanType, *ast.SelectStmt, *ast.SendStmt:
			t.Errorf("%s: the reducer must not start goroutines or use channels", fset.Position(n.Pos()))
		case *ast.SelectorExpr:
			checkSelector(t, fset, n)
		}
		return true
	})
}

func checkSelector(t *testing.T, fset *token.FileSet, sel *ast.SelectorExpr) {
	t.Helper()
	pkg, ok := sel.X.(*ast.Ident)
	if !ok || pkg.Obj != nil {
		return
	}
	switch {
	case pkg.Name == "time" && clockCalls[sel.Sel.Name]:
		t.Errorf("%s: the reducer must not use time.%s", fset.Position(sel.Pos()), sel.Sel.Name)
	case pkg.Name == "rand" && !seededRandom[sel.Sel.Name]:
		t.Errorf("%s: the reducer must not use rand.%s", fset.Position(sel.Pos()), sel.Sel.Name)
	}
}
