package jsonhttp

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"catkinvalve/internal/fault"
	"catkinvalve/internal/standin/harness"
	"catkinvalve/internal/standinapi"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func serve(t *testing.T, h http.HandlerFunc) string {
	t.Helper()
	s, err := harness.Listen("127.0.0.1:0", h)
	assert.NilError(t, err)
	t.Cleanup(s.Close)
	return "http://" + s.Addr()
}

func newClient(t *testing.T, o Options) *Client {
	t.Helper()
	c, err := New(o)
	assert.NilError(t, err)
	t.Cleanup(c.Close)
	return c
}

// Guards against requests without the daemon's ID or from another local address. The
// stand-ins use both to select the requests that a simulated partition affects.
func TestRequestIdentity(t *testing.T) {
	var daemon, remote string
	url := serve(t, func(w http.ResponseWriter, r *http.Request) {
		daemon, remote = r.Header.Get(standinapi.DaemonHeader), r.RemoteAddr
		harness.WriteJSON(w, http.StatusOK, struct{}{})
	})
	c := newClient(t, Options{Daemon: "d1", LocalAddr: "127.0.0.7"})
	assert.NilError(t, c.Do(t.Context(), http.MethodGet, url, nil, nil))
	assert.Equal(t, daemon, "d1")
	assert.Assert(t, strings.HasPrefix(remote, "127.0.0.7:"), remote)
	_, err := New(Options{LocalAddr: "localhost"})
	assert.Equal(t, fault.KindOf(err), fault.Malformed)
}

// Guards against responses that exhaust memory, calls without a timeout, and error statuses
// that are treated as success.
func TestLimits(t *testing.T) {
	url := serve(t, func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/large":
			harness.WriteJSON(w, http.StatusOK, strings.Repeat("x", 100))
		case "/slow":
			<-r.Context().Done()
		case "/refused":
			harness.WriteJSON(w, http.StatusConflict, fault.New(fault.LeaseLost, "", "not current"))
		}
	})
	c := newClient(t, Options{MaxReplyBytes: 50, Timeout: 500 * time.Millisecond})
	tests := []struct {
		path   string
		status int
		want   string
	}{
		{"/large", 0, "exceeds 50 bytes"},
		{"/slow", 0, context.DeadlineExceeded.Error()},
		{"/refused", http.StatusConflict, "status 409: not current"},
	}
	for _, tt := range tests {
		var out any
		err := c.Do(context.Background(), http.MethodGet, url+tt.path, nil, &out)
		assert.ErrorContains(t, err, tt.want)
		assert.Equal(t, StatusOf(err), tt.status)
	}
}

// Guards against a long response that is given up although it is arriving, and against a
// call that waits for a response that never begins.
func TestHeaderTimeoutDoesNotLimitBody(t *testing.T) {
	const headerTimeout = 100 * time.Millisecond
	url := serve(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/silent" {
			<-r.Context().Done()
			return
		}
		for range 4 {
			_, _ = w.Write([]byte("x"))
			w.(http.Flusher).Flush()
			time.Sleep(headerTimeout / 2)
		}
	})
	c := newClient(t, Options{})
	reply, err := c.Send(t.Context(), Request{Method: http.MethodGet, URL: url, HeaderTimeout: headerTimeout})
	assert.NilError(t, err)
	assert.Equal(t, string(reply.Body), "xxxx")
	_, err = c.Send(t.Context(), Request{Method: http.MethodGet, URL: url + "/silent", HeaderTimeout: headerTimeout})
	assert.ErrorContains(t, err, "canceled")
}
