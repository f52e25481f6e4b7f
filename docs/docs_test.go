// Package docs_test checks the documentation against the code.
package docs_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	"catkinvalve/internal/api"
	"catkinvalve/internal/cli"
	"catkinvalve/internal/daemon"
	"catkinvalve/internal/fault"
	"catkinvalve/internal/ports"
	"catkinvalve/internal/settings"
	"catkinvalve/internal/telemetry"
	"catkinvalve/internal/text"
)

func page(t *testing.T, name string) string {
	t.Helper()
	data, err := os.ReadFile(name)
	assert.NilError(t, err)
	return string(data)
}

// kinds returns the values of all constants of type Kind in a source file.
func kinds(t *testing.T, file string) []string {
	t.Helper()
	parsed, err := parser.ParseFile(token.NewFileSet(), file, nil, 0)
	assert.NilError(t, err)
	var out []string
	ast.Inspect(parsed, func(n ast.Node) bool {
		spec, ok := n.(*ast.ValueSpec)
		if !ok || !isKind(spec.Type) {
			return true
		}
		for _, v := range spec.Values {
			value, err := strconv.Unquote(v.(*ast.BasicLit).Value)
			assert.NilError(t, err)
			out = append(out, value)
		}
		return true
	})
	assert.Assert(t, len(out) > 0, "no error kind in %s", file)
	return out
}

func isKind(e ast.Expr) bool {
	switch e := e.(type) {
	case *ast.Ident:
		return e.Name == "Kind"
	case *ast.SelectorExpr:
		return e.Sel.Name == "Kind"
	}
	return false
}

// exitCode returns the exit code of the command-line tool if a daemon answers with an
// error of this kind.
func exitCode(kind string) int {
	e := &fault.Error{Kind: fault.Kind(kind), Message: "m", Remedy: "r"}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(e.HTTPStatus())
		fmt.Fprintf(w, `{"kind": %q, "message": "m", "remedy": "r"}`, kind)
	}))
	defer server.Close()
	var out bytes.Buffer
	return cli.Execute(context.Background(), []string{"--server", server.URL, "status"}, &out, &out)
}

// Checks that errors.md lists every error kind with its HTTP status and exit code.
func TestErrorKindsAreDocumented(t *testing.T) {
	errorsPage := page(t, "operations/errors.md")
	for _, kind := range kinds(t, "../internal/fault/fault.go") {
		status := (&fault.Error{Kind: fault.Kind(kind)}).HTTPStatus()
		row := fmt.Sprintf("| `%s` | %d | %d |", kind, status, exitCode(kind))
		assert.Check(t, strings.Contains(errorsPage, row), "errors.md lacks a row that starts with %s", row)
	}
	for _, kind := range kinds(t, "../internal/api/client.go") {
		row := fmt.Sprintf("| `%s` | none | %d |", kind, cli.ExitTempFailure)
		assert.Check(t, strings.Contains(errorsPage, row), "errors.md lacks a row that starts with %s", row)
	}
}

// fields returns the JSON paths of all fields of a type, such as
// "services[].size.slots". It omits the paths of objects and of lists of objects.
func fields(prefix string, t reflect.Type) []string {
	switch {
	case t.Kind() == reflect.Struct:
		var out []string
		for i := range t.NumField() {
			name, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
			out = append(out, fields(strings.TrimPrefix(prefix+"."+name, "."), t.Field(i).Type)...)
		}
		return out
	case t.Kind() == reflect.Slice && t.Elem().Kind() == reflect.Struct:
		return fields(prefix+"[]", t.Elem())
	}
	return []string{prefix}
}

// Checks that every field of the settings and of the configuration text is
// documented.
func TestFieldsAreDocumented(t *testing.T) {
	for name, typ := range map[string]reflect.Type{
		"operations/install.md": reflect.TypeFor[settings.Settings](),
		"operations/text.md":    reflect.TypeFor[text.Config](),
	} {
		content := page(t, name)
		for _, field := range fields("", typ) {
			assert.Check(t, strings.Contains(content, "| `"+field+"` |"), "%s lacks a row for %s", name, field)
		}
	}
}

// Checks that every field of the submit request and of the request status is
// documented.
func TestAPIFieldsAreDocumented(t *testing.T) {
	content := page(t, "api.md")
	for _, typ := range []reflect.Type{reflect.TypeFor[api.SubmitRequest](), reflect.TypeFor[api.RequestStatus]()} {
		for i := range typ.NumField() {
			name, _, _ := strings.Cut(typ.Field(i).Tag.Get("json"), ",")
			assert.Check(t, strings.Contains(content, "`"+name+"`"), "api.md lacks %s of %s", name, typ)
		}
	}
}

var errUnavailable = errors.New("down")

// unavailablePlatform implements the log, the instance list and the worker dialer of
// a platform that does not answer.
type unavailablePlatform struct{}

func (unavailablePlatform) Append(context.Context, string, []byte) (int64, error) {
	return 0, errUnavailable
}
func (unavailablePlatform) Read(context.Context, string, int64, int, time.Duration) (ports.LogPage, error) {
	return ports.LogPage{}, errUnavailable
}
func (unavailablePlatform) Instances(context.Context) ([]ports.Instance, error) {
	return nil, errUnavailable
}
func (unavailablePlatform) Worker(string) ports.Worker { return nil }

// registeredMetrics returns the names of the metrics that a daemon has registered
// when it answers its first request.
func registeredMetrics(t *testing.T) []string {
	t.Helper()
	parsed, problems := settings.Parse("settings", []byte(`{
		"daemon_id": "d", "data_centre": "a", "region": "r",
		"addresses": {"caller_listen": "127.0.0.1:0", "peer_listen": "127.0.0.1:0"},
		"platform": {"log": "127.0.0.1:1", "instances": "127.0.0.1:1"},
		"timings": {"settle_time": "0s"}
	}`))
	assert.NilError(t, problems.Err())
	registry := metrics.NewRegistry()
	d, err := daemon.New(*parsed, daemon.Deps{Log: unavailablePlatform{}, List: unavailablePlatform{}, Workers: unavailablePlatform{}, Logger: telemetry.DiscardLogger(), Registry: registry})
	assert.NilError(t, err)
	callers, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	peers, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- d.Run(ctx, callers, peers) }()
	resp, err := http.Get("http://" + callers.Addr().String() + "/healthz")
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())
	cancel()
	assert.NilError(t, <-ended)
	var names []string
	registry.Each(func(name string, _ any) { names = append(names, name) })
	return names
}

// Checks that every metric is documented.
func TestMetricsAreDocumented(t *testing.T) {
	content := page(t, "operations/metrics.md")
	for _, name := range registeredMetrics(t) {
		assert.Check(t, strings.Contains(content, "`"+name+"`"), "metrics.md lacks %s", name)
	}
}

var link = regexp.MustCompile(`\]\(([^)#\s]+)[^)]*\)`)

// pages returns the paths of README.md and of all pages below this folder.
func pages(t *testing.T) []string {
	t.Helper()
	names := []string{"../README.md"}
	assert.NilError(t, filepath.WalkDir(".", func(name string, _ os.DirEntry, err error) error {
		if filepath.Ext(name) == ".md" {
			names = append(names, name)
		}
		return err
	}))
	return names
}

// Checks that relative links point to existing files.
func TestLinksPointToFiles(t *testing.T) {
	for _, name := range pages(t) {
		for _, match := range link.FindAllStringSubmatch(page(t, name), -1) {
			if strings.Contains(match[1], "://") {
				continue
			}
			_, err := os.Stat(filepath.Join(filepath.Dir(name), match[1]))
			assert.Check(t, err, "%s links to %s", name, match[1])
		}
	}
}

// Checks that the index lists every decision.
func TestDecisionsAreIndexed(t *testing.T) {
	index := page(t, "decisions/README.md")
	names, err := filepath.Glob("decisions/[0-9]*.md")
	assert.NilError(t, err)
	for _, name := range names {
		assert.Check(t, strings.Contains(index, "("+filepath.Base(name)+")"), "the index lacks %s", name)
	}
}

// Checks that a daemon and the command-line tool accept the example files.
func TestExamplesAreValid(t *testing.T) {
	_, problems := text.Parse("one-data-centre.jsonc", []byte(page(t, "examples/one-data-centre.jsonc")))
	assert.NilError(t, problems.Err())
	_, problems = settings.Parse("one-daemon.jsonc", []byte(page(t, "examples/one-daemon.jsonc")))
	assert.NilError(t, problems.Err())
}
