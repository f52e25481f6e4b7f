package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/sourcegraph/conc/panics"
	"gotest.tools/v3/assert"

	"catkinvalve/internal/api"
	"catkinvalve/internal/jsonc"
)

const exampleConfig = "../../examples/kerlann.jsonc"

// run executes a command with a server that uses handler.
func run(t *testing.T, handler http.HandlerFunc, args ...string) (code int, out, errOut string) {
	t.Helper()
	server := httptest.NewServer(handler)
	defer server.Close()
	var o, e bytes.Buffer
	code = Execute(context.Background(), append([]string{"--server", server.URL}, args...), &o, &e)
	return code, o.String(), e.String()
}

func respond(status int, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = w.Write([]byte(body))
	}
}

func writeFile(t *testing.T, content string) string {
	name := filepath.Join(t.TempDir(), "input")
	assert.NilError(t, os.WriteFile(name, []byte(content), 0o600))
	return name
}

// Guards against changes of the exit codes, on which scripts depend.
func TestExitCodes(t *testing.T) {
	submit := []string{"submit", "--key", "k", "--service", "s"}
	for _, c := range []struct {
		name   string
		status int
		body   string
		args   []string
		want   int
	}{
		{"done", 200, `{"fate": "done", "ok": true}`, []string{"fate", "k"}, ExitOK},
		{"failed", 200, `{"fate": "done", "ok": false}`, []string{"fate", "k"}, ExitFailed},
		{"not run", 200, `{"fate": "not_run", "reason": "shed"}`, []string{"fate", "k"}, ExitRefused},
		{"unknown", 200, `{"fate": "unknown"}`, []string{"fate", "k"}, ExitTempFailure},
		{"accepted", 200, `{"fate": "queued"}`, submit, ExitOK},
		{"still running", 200, `{"fate": "running"}`, append(submit, "--wait", "1ms"), ExitTempFailure},
		{"overloaded", 429, `{"kind": "overloaded", "message": "m", "remedy": "r"}`, submit, ExitRefused},
		{"malformed for the daemon", 400, `{"kind": "malformed", "message": "m", "remedy": "r"}`, submit, ExitRefused},
		{"in doubt", 503, `{"kind": "fate_in_doubt", "message": "m", "remedy": "r"}`, submit, ExitTempFailure},
		{"cancelled in time", 200, `{"fate": "not_run"}`, []string{"cancel", "k"}, ExitOK},
		{"cancelled too late", 200, `{"fate": "done"}`, []string{"cancel", "k"}, ExitRefused},
		{"not found", 404, `{"kind": "not_found", "message": "m", "remedy": "r"}`, []string{"explain", "k"}, ExitRefused},
		{"drain", 200, `{"worker": "w", "running": 2}`, []string{"drain", "w"}, ExitOK},
		{"status", 200, `{"data_centres": [{"data_centre": "a", "queues": [{"team": "t"}], "daemons": [{}], "workers": [{}]}]}`, []string{"status", "--workers"}, ExitOK},
		{"history", 200, `{"entries": [{"revision": 3}]}`, []string{"history"}, ExitOK},
		{"no server", 0, "", []string{"--server", "http://127.0.0.1:1", "status"}, ExitTempFailure},
		{"publish won", 200, `{"accepted": true, "revision": 8}`, []string{"publish", "--base", "7", exampleConfig}, ExitOK},
		{"publish lost", 200, `{"accepted": false, "revision": 8}`, []string{"publish", "--base", "7", exampleConfig}, ExitRefused},
		{"publish in an outage", 503, `{"kind": "log_unavailable", "message": "m", "remedy": "r"}`, []string{"publish", "--base", "7", "--timeout", "50ms", exampleConfig}, ExitTempFailure},
		{"publish a faulty file", 200, ``, []string{"publish", writeFile(t, "{}")}, ExitUsage},
		{"check", 0, "", []string{"check", exampleConfig}, ExitOK},
		{"check settings", 0, "", []string{"check", "--settings", "../../examples/settings.jsonc"}, ExitOK},
		{"check no file", 0, "", []string{"check", "missing"}, ExitUsage},
		{"diff", 200, `{"revision": 0}`, []string{"diff", exampleConfig}, ExitOK},
		{"unknown command", 0, "", []string{"place"}, ExitUsage},
		{"unknown flag", 0, "", []string{"status", "--fast"}, ExitUsage},
		{"bad format", 0, "", []string{"version", "-o", "xml"}, ExitUsage},
		{"bad server", 0, "", []string{"status", "--server", "localhost"}, ExitUsage},
		{"submit nothing", 0, "", []string{"submit"}, ExitUsage},
		{"bad size", 0, "", append(submit, "--milli-cpu", "5"), ExitUsage},
	} {
		t.Run(c.name, func(t *testing.T) {
			// A --server in the arguments would be added to the test server's URL, so this
			// command is executed without run.
			var o, e bytes.Buffer
			var code int
			if c.name == "no server" {
				code = Execute(context.Background(), c.args, &o, &e)
			} else {
				var out, errOut string
				code, out, errOut = run(t, respond(max(c.status, 200), c.body), c.args...)
				o.WriteString(out)
				e.WriteString(errOut)
			}
			assert.Equal(t, code, c.want, "%s%s", o.String(), e.String())
			assert.Assert(t, !strings.Contains(o.String()+e.String(), "goroutine"))
		})
	}
}

// Guards against check output that lacks some problems of a file or has another form.
func TestCheckPrintsEveryProblem(t *testing.T) {
	name := writeFile(t, "{\"cell\": 1,\n \"data_centres\": [], \"x\": 2,\n \"weigh\": {\"waiting\": -1}, \"teams\": [{}],\n \"cell\": \"c\"}")
	code, out, errOut := run(t, nil, "check", name)
	assert.Equal(t, code, ExitUsage)
	assert.Equal(t, errOut, "")
	lines := strings.Split(strings.TrimSpace(out), "\n")
	assert.Equal(t, len(lines), 6, out)
	for i, position := range []string{":1:10: ", ":2:18: ", ":2:22: ", ":3:23: ", ":3:38: ", ":4:2: "} {
		assert.Assert(t, strings.HasPrefix(lines[i], name+position) && strings.Contains(lines[i], "; "), lines[i])
	}
	_, out, _ = run(t, nil, "check", "-o", "json", name)
	var result checkResult
	assert.NilError(t, json.Unmarshal([]byte(out), &result))
	assert.Equal(t, len(result.Problems), 6)
}

// Guards against publishing twice after a lost response, and against treating a later refusal
// as the verdict on the publication.
func TestPublishRepeatsSameID(t *testing.T) {
	var ids []string
	handler := func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet {
			respond(200, `{"revision": 7}`)(w, r)
			return
		}
		var req api.PublishRequest
		_ = json.NewDecoder(r.Body).Decode(&req)
		ids = append(ids, req.PublishID)
		switch len(ids) {
		case 1:
			panic(http.ErrAbortHandler)
		case 2:
			respond(429, `{"kind": "overloaded", "message": "m", "remedy": "r"}`)(w, r)
		default:
			respond(200, `{"publish_id": "`+req.PublishID+`", "accepted": true, "revision": 8}`)(w, r)
		}
	}
	code, out, errOut := run(t, handler, "publish", exampleConfig)
	assert.Equal(t, code, ExitOK, errOut)
	assert.Assert(t, strings.Contains(out, "accepted as revision 8"))
	assert.DeepEqual(t, ids, []string{ids[0], ids[0], ids[0]})
}

// Guards against submitting some requests of a file that contains an invalid one, and against
// results in another order than the requests of the file.
func TestSubmitFile(t *testing.T) {
	handler := func(w http.ResponseWriter, r *http.Request) {
		var req api.SubmitRequest
		_ = json.NewDecoder(r.Body).Decode(&req)
		if req.Key == "b" {
			respond(429, `{"kind": "overloaded", "message": "m", "remedy": "r"}`)(w, r)
			return
		}
		respond(200, `{"key": "`+req.Key+`", "fate": "done", "ok": true}`)(w, r)
	}
	good := writeFile(t, "{\"key\": \"a\", \"service\": \"s\"}\n\n{\"key\": \"b\", \"service\": \"s\"}\n{\"key\": \"c\", \"service\": \"s\"}\n")
	code, out, _ := run(t, handler, "submit", "--file", good, "-o", "json")
	assert.Equal(t, code, ExitRefused)
	var results []submitResult
	assert.NilError(t, json.Unmarshal([]byte(out), &results))
	assert.Equal(t, results[0].Key+results[1].Key+results[2].Key, "abc")
	assert.Equal(t, string(results[1].Error.Kind), "overloaded")

	bad := writeFile(t, "{\"key\": \"a\", \"service\": \"s\"}\n{\"key\": 1}\n{\"kee\": \"a\"}\n{\"key\": \"a\", \"service\": \"s\"}\n{} {}\n")
	code, _, errOut := run(t, func(http.ResponseWriter, *http.Request) { t.Error("request was sent") }, "submit", "--file", bad)
	assert.Equal(t, code, ExitUsage)
	assert.Equal(t, strings.Count(errOut, bad+":"), 4, errOut)
}

// Guards against printing the stack trace that the text of a propagated panic contains.
func TestPanicPrintsNoStack(t *testing.T) {
	var e bytes.Buffer
	func() {
		defer func() { printPanic(&e, recover()) }()
		var catcher panics.Catcher
		catcher.Try(func() { panic("defect") })
		catcher.Repanic()
	}()
	assert.Equal(t, e.String(), "internal: defect; report this as a defect with the command line\n")
}

// Guards against the usage exit code for problems in the published configuration, which the
// operator did not cause.
func TestExitCodeOfPublishedProblems(t *testing.T) {
	err := daemonError{errors.Join(jsonc.Problems{{Fault: "f"}})}
	assert.Equal(t, exitCode(err), ExitRefused)
}

// Guards against a trace command that needs a server, or that reports success for a job of
// which the logs contain no line.
func TestTrace(t *testing.T) {
	name := writeFile(t, `{"daemon":"d","event":"job_refused","job":"a1","reason":"store_unavailable","time":"2026-01-01T00:00:01Z"}`)
	var out, errOut bytes.Buffer
	code := Execute(context.Background(), []string{"--server", "http://127.0.0.1:1", "trace", "a1", name}, &out, &errOut)
	assert.Equal(t, code, ExitOK, errOut.String())
	assert.Assert(t, strings.Contains(out.String(), "Settled at 00:00:01.000 by job_refused on d: reason=store_unavailable"), out.String())
	code = Execute(context.Background(), []string{"trace", "other", name}, &out, &errOut)
	assert.Equal(t, code, ExitUsage, errOut.String())
	assert.Assert(t, strings.Contains(errOut.String(), "no line about other"))
}
