package api

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"catkinvalve/internal/fault"
)

// startServer starts a server that counts calls, and returns its URL and the counter. With
// status 0 it closes the connection after reading the call, so that the response is lost.
func startServer(t *testing.T, status int, body string) (string, *atomic.Int32) {
	var calls atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		calls.Add(1)
		if status == 0 {
			panic(http.ErrAbortHandler)
		}
		w.WriteHeader(status)
		_, _ = w.Write([]byte(body))
	}))
	t.Cleanup(server.Close)
	return server.URL, &calls
}

// closedServerURL returns a URL at which no server listens.
func closedServerURL() string {
	server := httptest.NewServer(http.NotFoundHandler())
	server.Close()
	return server.URL
}

// Guards against executing a call twice when a client tries another server, and against
// reporting a refusal as final when an earlier attempt may have been executed.
func TestNextServer(t *testing.T) {
	const done = `{"key": "k", "fate": "done", "ok": true}`
	const overloaded = `{"kind": "overloaded", "message": "m", "remedy": "r"}`
	lost, lostCalls := startServer(t, 0, "")
	good, goodCalls := startServer(t, http.StatusOK, done)
	full, _ := startServer(t, http.StatusTooManyRequests, overloaded)
	draining, _ := startServer(t, http.StatusServiceUnavailable, `{"kind": "draining", "message": "m", "remedy": "r"}`)
	proxy, _ := startServer(t, http.StatusBadGateway, "bad gateway")
	redirect, _ := startServer(t, http.StatusTemporaryRedirect, "")
	for _, c := range []struct {
		name      string
		servers   []string
		key       string
		want      fault.Kind
		lost, got int32
	}{
		{"no connection", []string{closedServerURL(), good}, "", "", 0, 1},
		{"no server", []string{closedServerURL(), closedServerURL()}, "k", Unreachable, 0, 0},
		{"lost response with key", []string{lost, good + "/"}, "k", "", 1, 1},
		{"lost response without key", []string{lost, good}, "", fault.FateUnknownYet, 1, 0},
		{"lost response, then refusal", []string{lost, full}, "k", fault.FateUnknownYet, 1, 0},
		{"lost response, then no connection", []string{lost, closedServerURL()}, "k", fault.FateUnknownYet, 1, 0},
		{"refusal is final", []string{full, good}, "k", fault.Overloaded, 0, 0},
		{"draining", []string{draining, good}, "k", "", 0, 1},
		{"response of a proxy", []string{proxy, closedServerURL()}, "k", fault.FateUnknownYet, 0, 0},
		{"redirect", []string{redirect}, "k", fault.FateUnknownYet, 0, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			lostCalls.Store(0)
			goodCalls.Store(0)
			client, err := NewClient(c.servers)
			assert.NilError(t, err)
			_, err = client.Submit(context.Background(), SubmitRequest{Key: c.key})
			if c.want == "" {
				assert.NilError(t, err)
			} else {
				assert.Equal(t, fault.KindOf(err), c.want, "%v", err)
			}
			assert.Equal(t, lostCalls.Load(), c.lost)
			assert.Equal(t, goodCalls.Load(), c.got)
		})
	}
}
