package scenarios

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"
)

const (
	repository   = "../.."
	promisesPage = repository + "/docs/promises.md"
	platformPage = repository + "/docs/promises-platform.md"
	// promiseCount is the number of promises in section 1 of docs/design.md.
	promiseCount = 8
)

var testName = regexp.MustCompile("`(Test[A-Za-z0-9_]+(?:/[A-Za-z0-9_]+)?)`")

// rows returns the cells of each row of the table in promises.md, without the header.
func rows(t *testing.T) [][]string {
	t.Helper()
	page, err := os.ReadFile(promisesPage)
	if err != nil {
		t.Fatal(err)
	}
	var out [][]string
	for line := range strings.Lines(string(page)) {
		if strings.HasPrefix(line, "|") {
			out = append(out, strings.Split(strings.Trim(strings.ReplaceAll(strings.TrimSpace(line), `\|`, ""), "|"), "|"))
		}
	}
	if len(out) < 2 {
		t.Fatal("the page has no table")
	}
	return out[2:]
}

// testFunctions returns the names of all test functions of the repository.
func testFunctions(t *testing.T) map[string]bool {
	t.Helper()
	found := map[string]bool{}
	err := filepath.WalkDir(repository, func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, "_test.go") {
			return err
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		for _, d := range file.Decls {
			if f, ok := d.(*ast.FuncDecl); ok && f.Recv == nil && strings.HasPrefix(f.Name.Name, "Test") {
				found[f.Name.Name] = true
			}
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return found
}

// TestPromisesNameExistingTests checks that the tests in docs/promises.md exist and
// that every promise and every scenario has a row.
func TestPromisesNameExistingTests(t *testing.T) {
	functions, named := testFunctions(t), map[string]bool{}
	table := rows(t)
	for i, row := range table {
		if len(row) != 7 {
			t.Errorf("row %d has %d cells, want 7", i+1, len(row))
			continue
		}
		if i < promiseCount && !strings.HasPrefix(strings.TrimSpace(row[0]), strconv.Itoa(i+1)+". ") {
			t.Errorf("row %d is %q, want promise %d", i+1, row[0], i+1)
		}
		names := testName.FindAllStringSubmatch(row[2], -1)
		if len(names) == 0 {
			t.Errorf("row %q names no test", row[0])
		}
		for _, n := range names {
			named[n[1]] = true
			function, script, _ := strings.Cut(n[1], "/")
			if !functions[function] {
				t.Errorf("row %q names %s, which does not exist", row[0], n[1])
			}
			if _, err := os.Stat(filepath.Join("testdata", script+".txtar")); script != "" && err != nil {
				t.Errorf("row %q names %s: %v", row[0], n[1], err)
			}
		}
	}
	if len(table) < promiseCount {
		t.Errorf("the table has %d rows, want at least %d", len(table), promiseCount)
	}
	scripts, _ := filepath.Glob("testdata/*.txtar")
	for _, s := range scripts {
		if name := "TestScenarios/" + strings.TrimSuffix(filepath.Base(s), ".txtar"); !named[name] {
			t.Errorf("no row names %s", name)
		}
	}
}

// TestPlatformPromisesNameExistingTests checks that the tests in
// docs/promises-platform.md exist.
func TestPlatformPromisesNameExistingTests(t *testing.T) {
	page, err := os.ReadFile(platformPage)
	if err != nil {
		t.Fatal(err)
	}
	functions := testFunctions(t)
	names := testName.FindAllStringSubmatch(string(page), -1)
	if len(names) == 0 {
		t.Fatal("the page names no test")
	}
	for _, n := range names {
		if !functions[n[1]] {
			t.Errorf("the page names %s, which does not exist", n[1])
		}
	}
}
