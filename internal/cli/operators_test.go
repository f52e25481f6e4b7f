package cli

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// runOperator executes a command with --address of a server that uses handler.
func runOperator(t *testing.T, handler http.HandlerFunc, args ...string) (code int, out, errOut string) {
	t.Helper()
	server := httptest.NewServer(handler)
	defer server.Close()
	var o, e bytes.Buffer
	code = Execute(context.Background(), append(args, "--address", server.Listener.Addr().String()), &o, &e)
	return code, o.String(), e.String()
}

// Guards against a table that shows no limit as a limit of 0, and against exit codes that scripts
// cannot tell apart.
func TestTenants(t *testing.T) {
	code, out, errOut := runOperator(t, respond(200, `[{"name": "a", "configured": true, "weight": 2, "limit": {"milli_cpu": 4000}, "running": {"milli_cpu": 1000, "mem_mb": 50},
		"waiting_tasks": 3, "share": 0.25, "fair_share": 0.5, "unfinished_jobs": 4, "refused": {"tenant_rate": 7}}]`), "tenants")
	assert.Equal(t, code, ExitOK, errOut)
	assert.DeepEqual(t, strings.Fields(strings.Split(out, "\n")[1]),
		[]string{"a", "2", "1000/4000", "50/-", "0/-", "-", "3", "0", "25.0%", "50.0%", "4", "tenant_rate=7"})

	for _, c := range []struct {
		status int
		body   string
		want   int
	}{{503, `{"reason": "no_leader"}`, ExitTempFailure}, {200, "catkinvalve_x 1", ExitRefused}} {
		code, _, errOut = runOperator(t, respond(c.status, c.body), "tenants")
		assert.Equal(t, code, c.want, errOut)
	}
	var o, e bytes.Buffer
	assert.Equal(t, Execute(context.Background(), []string{"tenants", "--address", "127.0.0.1:1"}, &o, &e), ExitTempFailure)
	assert.Equal(t, Execute(context.Background(), []string{"tenants", "--address", "localhost"}, &o, &e), ExitUsage)
}

// Guards against a key on the command line or in the output, and against exit codes that scripts cannot
// tell apart.
func TestPlan(t *testing.T) {
	job, key := writeFile(t, `{"steps": []}`), writeFile(t, "SECRET\n")
	args := []string{"plan", job, "--host", "h", "--path", "/p/00000000000000ff", "--key-file", key}
	respondWith := func(status int, body string) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			assert.Check(t, r.Header.Get("Api-Key") == "SECRET" && r.URL.Query().Get("host") == "h" && r.URL.Query().Get("path") == "/p/00000000000000ff")
			respond(status, body)(w, r)
		}
	}
	for _, c := range []struct {
		status int
		body   string
		want   int
		text   string
	}{
		{200, `{"job": "ff", "queue": "q", "verdict": "accepted", "objective_ms": 1500, "tenant": {"name": "a"}, "steps": [{"tasks": 9, "starting": 8, "wait": "no_worker_with_room",
			"workers": [{"worker": "w1", "tasks": 8}], "lacking": {"label": 2}}]}`, ExitOK, "label=2"},
		{200, `{"verdict": "refused", "reason": "tenant_rate", "retry_after_ms": 1000}`, ExitRefused, "tenant_rate"},
		{200, `{"verdict": "unavailable", "reason": "store_unavailable"}`, ExitTempFailure, "store_unavailable"},
		{429, `{"reason": "too_many_plans"}`, ExitTempFailure, "too_many_plans"},
		{401, `{"reason": "key_unknown"}`, ExitRefused, "check --key-file"},
		{400, "malformed job: steps has none", ExitRefused, "malformed job"},
	} {
		code, out, errOut := runOperator(t, respondWith(c.status, c.body), args...)
		assert.Equal(t, code, c.want, "%s%s", out, errOut)
		assert.Assert(t, strings.Contains(out+errOut, c.text), "%s%s", out, errOut)
		assert.Assert(t, !strings.Contains(out+errOut, "SECRET"))
	}
}

// Guards against a check that misses a fault of the tenants, or prints an API key.
func TestCheckPlatform(t *testing.T) {
	name := writeFile(t, `{"tenants": [{"name": "a", "apiKeys": ["SECRET"], "weight": 1}, {"name": "b", "apiKeys": ["SECRET"]}]}`)
	code, out, errOut := run(t, nil, "check", "--platform", name)
	assert.Equal(t, code, ExitUsage)
	assert.Equal(t, strings.Count(out, name+": tenant \"b\" "), 2, out)
	assert.Assert(t, !strings.Contains(out+errOut, "SECRET"))
	code, out, _ = run(t, nil, "check", "--platform", "-o", "json", writeFile(t, `{}`))
	assert.Equal(t, code, ExitOK)
	assert.Assert(t, strings.Contains(out, `"problems": []`))
	code, _, _ = run(t, nil, "check", "--platform", writeFile(t, `{"tenants": 1}`))
	assert.Equal(t, code, ExitUsage)
}
