// Package core_test checks that the core packages do no I/O, do not read the clock and
// do not start goroutines.
package core_test

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// forbiddenImports lists packages that do I/O. Their subpackages are forbidden too.
var forbiddenImports = []string{
	"net", "os", "io/ioutil", "syscall",
	"catkinvalve/internal/adapters", "catkinvalve/internal/daemon", "catkinvalve/internal/ports",
}

// forbiddenCalls lists the functions of package time that read the clock or wait.
var forbiddenCalls = []string{"Now", "Sleep", "After"}

// violations returns the violations of the rule in one file, each with its position.
func violations(name string, src any) ([]string, error) {
	fset := token.NewFileSet()
	f, err := parser.ParseFile(fset, name, src, 0)
	if err != nil {
		return nil, err
	}
	var found []string
	add := func(at token.Pos, what string) {
		found = append(found, fmt.Sprintf("%s: %s", fset.Position(at), what))
	}
	clock := map[string]bool{}
	for _, i := range f.Imports {
		path, err := strconv.Unquote(i.Path.Value)
		if err != nil {
			return nil, err
		}
		for _, bad := range forbiddenImports {
			if path == bad || strings.HasPrefix(path, bad+"/") {
				add(i.Pos(), "imports "+path)
			}
		}
		if path == "time" {
			clock[importName(i, "time")] = true
			if i.Name != nil && i.Name.Name == "." {
				add(i.Pos(), "imports time with a dot, which hides its uses")
			}
		}
	}
	ast.Inspect(f, func(n ast.Node) bool {
		switch n := n.(type) {
		case *ast.GoStmt:
			add(n.Pos(), "starts a goroutine")
		case *ast.SelectorExpr:
			if x, ok := n.X.(*ast.Ident); ok && clock[x.Name] && slices.Contains(forbiddenCalls, n.Sel.Name) {
				add(n.Pos(), "uses time."+n.Sel.Name)
			}
		}
		return true
	})
	return found, nil
}

// importName returns the name under which a file uses an import.
func importName(i *ast.ImportSpec, base string) string {
	if i.Name != nil {
		return i.Name.Name
	}
	return base
}

// Guards against core packages that do I/O, read the clock or start goroutines. Their
// tests would no longer be repeatable.
func TestDecisionPackagesDoNoIO(t *testing.T) {
	files := 0
	err := filepath.WalkDir(".", func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		files++
		found, err := violations(path, nil)
		for _, v := range found {
			t.Error(v)
		}
		return err
	})
	assert.NilError(t, err)
	assert.Assert(t, files > 20, "visited only %d files", files)
}

// Guards against a check that does not detect violations: each sample violates the
// rule exactly once.
func TestRuleFindsViolations(t *testing.T) {
	for _, tc := range []struct{ name, src, want string }{
		{"network", `package p; import "net/http"; var _ = http.Get`, "imports net/http"},
		{"files", `package p; import "os"; var _ = os.Open`, "imports os"},
		{"ioutil", `package p; import _ "io/ioutil"`, "imports io/ioutil"},
		{"system calls", `package p; import _ "syscall"`, "imports syscall"},
		{"ports", `package p; import _ "catkinvalve/internal/ports"`, "imports catkinvalve/internal/ports"},
		{"adapters", `package p; import _ "catkinvalve/internal/adapters/jsonhttp"`, "imports catkinvalve/internal/adapters/jsonhttp"},
		{"daemon", `package p; import _ "catkinvalve/internal/daemon"`, "imports catkinvalve/internal/daemon"},
		{"clock", `package p; import "time"; func f() { time.Now() }`, "uses time.Now"},
		{"clock as a value", `package p; import "time"; var now = time.Now`, "uses time.Now"},
		{"renamed clock", `package p; import c "time"; func f() { c.Sleep(1) }`, "uses time.Sleep"},
		{"timer", `package p; import "time"; func f() { <-time.After(1) }`, "uses time.After"},
		{"dot import", `package p; import . "time"; var now = Now`, "imports time with a dot"},
		{"goroutine", `package p; func f() { go f() }`, "starts a goroutine"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			found, err := violations("sample.go", tc.src)
			assert.NilError(t, err)
			assert.Equal(t, len(found), 1, "%v", found)
			assert.Assert(t, strings.Contains(found[0], tc.want), "%v", found)
		})
	}
	found, err := violations("sample.go", `package p; import "time"; var d = time.Second; func f(t time.Time) { t.After(t) }`)
	assert.NilError(t, err)
	assert.Equal(t, len(found), 0, "%v", found)
}
