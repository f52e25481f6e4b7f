package httpapi

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"catkinvalve/internal/api"
	"catkinvalve/internal/core/model"
	"catkinvalve/internal/fault"
	"catkinvalve/internal/telemetry"
)

const jsonType = "application/json"

// call sends a request and returns the status, the body decoded as a fault, and the header.
func call(t *testing.T, method, url, contentType, body string) (int, fault.Error, http.Header) {
	t.Helper()
	r, err := http.NewRequest(method, url, strings.NewReader(body))
	assert.NilError(t, err)
	if contentType != "" {
		r.Header.Set("Content-Type", contentType)
	}
	resp, err := http.DefaultClient.Do(r)
	assert.NilError(t, err)
	defer resp.Body.Close()
	var f fault.Error
	data, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	assert.NilError(t, json.Unmarshal(data, &f), "the response is not JSON")
	return resp.StatusCode, f, resp.Header
}

// Guards against invalid input that reaches the daemon, and against errors with a wrong
// kind or without the position of the problem.
func TestRefusedInput(t *testing.T) {
	_, addr := startServer(t, &fakeService{}, Options{BodyBytes: 400})
	long := strings.Repeat("k", 201)
	for _, c := range []struct {
		name, method, path, contentType, body string
		status                                int
		kind                                  fault.Kind
		message                               string
	}{
		{"no content type", "POST", "/v1/requests", "", `{}`, 415, fault.WrongContentType, ""},
		{"form", "POST", "/v1/requests", "application/x-www-form-urlencoded", `{}`, 415, fault.WrongContentType, ""},
		{"other charset", "POST", "/v1/requests", "application/json; charset=latin1", `{}`, 415, fault.WrongContentType, ""},
		{"empty body", "POST", "/v1/requests", jsonType, ``, 400, fault.Malformed, "not complete"},
		{"cut off", "POST", "/v1/requests", jsonType, `{"key":"a"`, 400, fault.Malformed, "line 1 column 11"},
		{"syntax", "POST", "/v1/requests", jsonType, "{\n\"key\":x}", 400, fault.Malformed, "line 2 column"},
		{"not an object", "POST", "/v1/requests", jsonType, `null`, 400, fault.Malformed, "not a JSON object"},
		{"unknown field", "POST", "/v1/requests", jsonType, `{"keys":"a"}`, 400, fault.Malformed, `unknown field "keys"`},
		{"other case", "POST", "/v1/requests", jsonType, `{"KEY":"a"}`, 400, fault.Malformed, `unknown field "KEY"`},
		{"wrong level", "POST", "/v1/requests", jsonType, `{"slots":1}`, 400, fault.Malformed, "slots"},
		{"repeated field", "POST", "/v1/requests", jsonType, `{"key":"a","key":"b"}`, 400, fault.Malformed, `"key" is repeated`},
		{"repeated inside", "POST", "/v1/requests", jsonType, `{"key":"a","size":{"slots":1,"slots":2}}`, 400, fault.Malformed, "repeated"},
		{"trailing data", "POST", "/v1/requests", jsonType, `{"key":"a","service":"s"} {}`, 400, fault.Malformed, "data after"},
		{"wrong type", "POST", "/v1/requests", jsonType, `{"key":"a","size":{"slots":"1"}}`, 400, fault.Malformed, "size.slots"},
		{"invalid UTF-8", "POST", "/v1/requests", jsonType, "{\"key\":\"\xff\"}", 400, fault.Malformed, "UTF-8"},
		{"deep nesting", "POST", "/v1/requests", jsonType, `{"key":` + strings.Repeat("[", 100), 400, fault.Malformed, "nested"},
		{"too large", "POST", "/v1/requests", jsonType, strings.Repeat(" ", 401), 413, fault.TooLarge, "400 bytes"},
		{"empty key", "POST", "/v1/requests", jsonType, `{"key":"","service":"s"}`, 400, fault.Malformed, "key"},
		{"long key", "POST", "/v1/requests", jsonType, `{"key":"` + long + `","service":"s"}`, 400, fault.Malformed, "key"},
		{"key with space", "POST", "/v1/requests", jsonType, `{"key":"a b","service":"s"}`, 400, fault.Malformed, "key"},
		{"key with slash", "POST", "/v1/requests", jsonType, `{"key":"a/b","service":"s"}`, 400, fault.Malformed, "key"},
		{"no service", "POST", "/v1/requests", jsonType, `{"key":"a"}`, 400, fault.Malformed, "service"},
		{"negative tasks", "POST", "/v1/requests", jsonType, `{"key":"a","service":"s","tasks":-1}`, 400, fault.Malformed, "tasks"},
		{"negative size", "POST", "/v1/requests", jsonType, `{"key":"a","service":"s","size":{"mem_mb":-1}}`, 400, fault.Malformed, "size"},
		{"long run", "POST", "/v1/requests", jsonType, `{"key":"a","service":"s","run_ms":9223372036854775807}`, 400, fault.Malformed, "run_ms"},
		{"negative wait", "POST", "/v1/requests", jsonType, `{"key":"a","service":"s","wait_ms":-1}`, 400, fault.Malformed, "wait_ms"},
		{"old deadline", "POST", "/v1/requests", jsonType, `{"key":"a","service":"s","deadline":"0001-01-01T00:00:00Z"}`, 400, fault.Malformed, "deadline"},
		{"path key", "GET", "/v1/requests/a%20b", "", "", 400, fault.Malformed, "key"},
		{"path key too long", "GET", "/v1/requests/" + long, "", "", 400, fault.Malformed, "key"},
		{"wait text", "GET", "/v1/requests/a?wait_ms=soon", "", "", 400, fault.Malformed, "wait_ms"},
		{"wait twice", "GET", "/v1/requests/a?wait_ms=1&wait_ms=2", "", "", 400, fault.Malformed, "wait_ms"},
		{"other parameter", "GET", "/v1/requests/a?wait=1", "", "", 400, fault.Malformed, "wait"},
		{"body on cancel", "POST", "/v1/requests/a/cancel", jsonType, `{}`, 400, fault.Malformed, "no body"},
		{"body on read", "GET", "/v1/status", jsonType, `{}`, 400, fault.Malformed, "no body"},
		{"worker id", "POST", "/v1/workers/a%20b/drain", "", "", 400, fault.Malformed, "not valid"},
		{"no publish id", "POST", "/v1/config", jsonType, `{"base":1,"text":"{}"}`, 400, fault.Malformed, "publish_id"},
		{"no text", "POST", "/v1/config", jsonType, `{"base":1,"publish_id":"p"}`, 400, fault.Malformed, "text"},
		{"unknown path", "GET", "/v2/requests", "", "", 404, fault.NotFound, "no route"},
		{"other method", "DELETE", "/v1/requests/a", "", "", 404, fault.NotFound, "no route"},
	} {
		t.Run(c.name, func(t *testing.T) {
			status, f, _ := call(t, c.method, "http://"+addr+c.path, c.contentType, c.body)
			assert.Equal(t, status, c.status, f.Message)
			assert.Equal(t, f.Kind, c.kind)
			assert.Assert(t, strings.Contains(f.Message, c.message), f.Message)
			assert.Assert(t, f.Remedy != "")
		})
	}
}

// Guards against a wrong status code of a successful call.
func TestSuccessCodes(t *testing.T) {
	doneSubmit := func(context.Context, api.SubmitRequest) (api.RequestStatus, error) {
		return api.RequestStatus{Key: "a", Fate: model.Done}, nil
	}
	_, addr := startServer(t, &fakeService{}, Options{})
	_, doneAddr := startServer(t, &fakeService{submit: doneSubmit}, Options{})
	submission := `{"key":"a","service":"s","tasks":2,"size":{"milli_cpu":1,"mem_mb":1,"slots":1},"payload":"aGk="}`
	for _, c := range []struct {
		method, url, body string
		status            int
	}{
		{"POST", addr + "/v1/requests", submission, 202},
		{"POST", doneAddr + "/v1/requests", submission, 200},
		{"GET", addr + "/v1/requests/a?wait_ms=1", "", 200},
		{"POST", addr + "/v1/requests/a/cancel", "", 202},
		{"GET", addr + "/v1/requests/a/explain", "", 200},
		{"GET", addr + "/v1/status", "", 200},
		{"GET", addr + "/v1/config", "", 200},
		{"POST", addr + "/v1/config", `{"publish_id":"p","base":1,"text":"{}"}`, 200},
		{"GET", addr + "/v1/config/history", "", 200},
		{"POST", addr + "/v1/workers/w1/drain", "", 200},
		{"GET", addr + "/healthz", "", 200},
		{"GET", addr + "/readyz", "", 200},
		{"GET", addr + "/metrics", "", 200},
	} {
		status, _, _ := call(t, c.method, "http://"+c.url, jsonType, c.body)
		assert.Equal(t, status, c.status, c.method+" "+c.url)
	}
}

// Guards against daemon errors whose kind or status is lost, and against an error cause
// that is sent to the caller.
func TestServiceErrors(t *testing.T) {
	for _, c := range []struct {
		err    error
		status int
		kind   fault.Kind
	}{
		{fault.New(fault.KeyConflict, "use another key", "key used"), 409, fault.KeyConflict},
		{fault.Wrap(errors.New("secret"), fault.CanNeverRun, "shrink it", "too big"), 422, fault.CanNeverRun},
		{fault.New(fault.Overloaded, "retry", "full"), 429, fault.Overloaded},
		{errors.New("secret"), 500, fault.Internal},
		{context.DeadlineExceeded, 504, fault.FateUnknownYet},
	} {
		failingSubmit := func(context.Context, api.SubmitRequest) (api.RequestStatus, error) { return api.RequestStatus{}, c.err }
		_, addr := startServer(t, &fakeService{submit: failingSubmit}, Options{})
		status, f, _ := call(t, "POST", "http://"+addr+"/v1/requests", jsonType, `{"key":"a","service":"s"}`)
		assert.Equal(t, status, c.status)
		assert.Equal(t, f.Kind, c.kind)
		assert.Assert(t, !strings.Contains(f.Message+f.Remedy, "secret"))
	}
}

// Guards against reporting success for a publication that was refused because another
// revision was accepted first.
func TestLostPublicationIsConflict(t *testing.T) {
	lostPublish := func(context.Context, api.PublishRequest) (api.PublishResult, error) {
		return api.PublishResult{Revision: 9}, nil
	}
	_, addr := startServer(t, &fakeService{publish: lostPublish}, Options{})
	status, f, _ := call(t, "POST", "http://"+addr+"/v1/config", jsonType, `{"publish_id":"p","base":1,"text":"{}"}`)
	assert.Equal(t, status, 409)
	assert.Equal(t, f.Kind, fault.PublishConflict)
	assert.Assert(t, strings.Contains(f.Message, "revision 9"))
}

// Guards against probes that report success while the daemon is draining or unhealthy.
func TestProbesFail(t *testing.T) {
	f := &fakeService{ready: fault.New(fault.Draining, "use another daemon", "draining"), healthy: errors.New("stuck")}
	_, addr := startServer(t, f, Options{})
	status, body, _ := call(t, "GET", "http://"+addr+"/readyz", "", "")
	assert.Equal(t, status, 503)
	assert.Equal(t, body.Kind, fault.Draining)
	status, _, _ = call(t, "GET", "http://"+addr+"/healthz", "", "")
	assert.Equal(t, status, 503)
}

// Guards against a handler panic that ends the process or whose value or stack is sent to
// the caller.
func TestPanicIsInternal(t *testing.T) {
	panics := func(context.Context, api.SubmitRequest) (api.RequestStatus, error) { panic("secret place") }
	s, addr := startServer(t, &fakeService{submit: panics}, Options{})
	status, f, header := call(t, "POST", "http://"+addr+"/v1/requests", jsonType, `{"key":"a","service":"s"}`)
	assert.Equal(t, status, 500)
	assert.Equal(t, f.Kind, fault.Internal)
	assert.Assert(t, !strings.Contains(f.Message+f.Remedy, "secret") && !strings.Contains(f.Message, ".go"))
	assert.Assert(t, strings.Contains(f.Message, header.Get(requestIDHeader)))
	assert.Equal(t, s.panics.Count(), int64(1))
}

// Guards against log lines that lack the request ID of their call.
func TestRequestID(t *testing.T) {
	var logged strings.Builder
	log, err := telemetry.NewLogger(&logged, "debug", "d1", "klang-a")
	assert.NilError(t, err)
	s, addr := startServer(t, &fakeService{}, Options{Log: log})
	for given, want := range map[string]string{"trace-1": "trace-1", "": "", strings.Repeat("x", 101): "", "two words": ""} {
		r, err := http.NewRequest("GET", "http://"+addr+"/v1/status", nil)
		assert.NilError(t, err)
		r.Header.Set(requestIDHeader, given)
		resp, err := http.DefaultClient.Do(r)
		assert.NilError(t, err)
		resp.Body.Close()
		got := resp.Header.Get(requestIDHeader)
		if want == "" {
			assert.Assert(t, len(got) == 16 && got != given, got)
		} else {
			assert.Equal(t, got, want)
		}
	}
	http.DefaultClient.CloseIdleConnections()
	assert.NilError(t, s.Shutdown(context.Background()))
	assert.Assert(t, strings.Contains(logged.String(), `"request_id":"trace-1"`), logged.String())
	assert.Assert(t, strings.Contains(logged.String(), `"daemon":"d1"`))
}

// Guards against a graceful shutdown that interrupts a call in progress or still accepts
// new connections.
func TestShutdownLetsCallFinish(t *testing.T) {
	arrived, release := make(chan struct{}), make(chan struct{})
	blockingSubmit := func(_ context.Context, r api.SubmitRequest) (api.RequestStatus, error) {
		close(arrived)
		<-release
		return api.RequestStatus{Key: r.Key, Fate: model.Done}, nil
	}
	s, addr := startServer(t, &fakeService{submit: blockingSubmit}, Options{})
	callStatus, shutdownErr := make(chan int, 1), make(chan error, 1)
	go func() {
		defer close(callStatus)
		callStatus <- sendRaw(t, addr, "POST /v1/requests HTTP/1.1\r\nHost: a\r\nContent-Type: application/json\r\nContent-Length: 25\r\n\r\n"+`{"key":"a","service":"s"}`)
	}()
	<-arrived
	go func() { shutdownErr <- s.Shutdown(context.Background()) }()
	for end := time.Now().Add(5 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		conn, err := net.Dial("tcp", addr)
		if err != nil {
			break
		}
		conn.Close()
		assert.Assert(t, time.Now().Before(end), "the listener still accepts connections")
	}
	select {
	case <-shutdownErr:
		t.Fatal("Shutdown returned before the call finished")
	case <-time.After(20 * time.Millisecond):
	}
	close(release)
	assert.Equal(t, <-callStatus, 200)
	assert.NilError(t, <-shutdownErr)
}
