package jsonhttp

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"catkinvalve/internal/standin/harness"
)

// Guards against a silent server that counts as one that refuses connections.
func TestDialTellsSilentFromRefusing(t *testing.T) {
	c := newClient(t, Options{})
	ctx, cancel := context.WithDeadline(t.Context(), time.Now().Add(-time.Second))
	defer cancel()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	_, err = c.Dial(ctx, l.Addr().String())
	assert.ErrorIs(t, err, context.DeadlineExceeded)
	assert.Assert(t, !NotSent(err))
	assert.NilError(t, l.Close())
	_, err = c.Dial(t.Context(), l.Addr().String())
	assert.Assert(t, NotSent(err), "%v", err)
}

// Guards against a single connection that the transport counts against its limit per host when it
// ends: the process would panic, since it did not count its beginning.
func TestConnectionEndsWithoutPanic(t *testing.T) {
	s, err := harness.Listen("127.0.0.1:0", http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }))
	assert.NilError(t, err)
	t.Cleanup(s.Close)
	c := newClient(t, Options{ConnsPerHost: 1})
	conn, err := c.Dial(t.Context(), s.Addr())
	assert.NilError(t, err)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	_, err = conn.Send(ctx, Request{Method: http.MethodPost, URL: "http://" + s.Addr()})
	assert.ErrorIs(t, err, context.DeadlineExceeded)
	assert.Assert(t, !conn.Usable())
}
