package boundhttp

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"catkinvalve/internal/adapters/jsonhttp"
	"catkinvalve/internal/standin/harness"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// server answers probes at /probe with its incarnation, and records the other paths.
type server struct {
	*harness.Server
	incarnation int64
	mu          sync.Mutex
	probes      int
	received    []string
	remotes     map[string]bool
}

func startServer(t *testing.T, address string, incarnation int64) *server {
	t.Helper()
	s := &server{incarnation: incarnation, remotes: map[string]bool{}}
	var err error
	s.Server, err = harness.Listen(address, http.HandlerFunc(s.serve))
	assert.NilError(t, err)
	t.Cleanup(s.Close)
	return s
}

func (s *server) serve(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remotes[r.RemoteAddr] = true
	if r.URL.Path == "/probe" {
		s.probes++
		if s.incarnation < 0 {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		fmt.Fprint(w, s.incarnation)
		return
	}
	s.received = append(s.received, r.URL.Path)
}

func newPool(t *testing.T) *Pool {
	t.Helper()
	client, err := jsonhttp.New(jsonhttp.Options{})
	assert.NilError(t, err)
	p := New(client, Options{ConnsPerHost: 2, MaxIdle: 3, Incarnation: func(r jsonhttp.Reply) int64 {
		n, _ := strconv.ParseInt(string(r.Body), 10, 64)
		return n
	}})
	t.Cleanup(p.Close)
	return p
}

func call(address, path string, incarnation int64) *Call {
	request := func(path string) jsonhttp.Request {
		return jsonhttp.Request{Method: http.MethodPost, URL: "http://" + address + path}
	}
	return &Call{Address: address, Incarnation: incarnation, Request: request(path), Probe: func() (jsonhttp.Request, error) { return request("/probe"), nil }}
}

// Guards against calls for an ended process that the next process at its address carries out.
func TestCallForEndedProcessIsNotSent(t *testing.T) {
	first := startServer(t, "127.0.0.1:0", 1)
	address := first.Addr()
	p := newPool(t)
	for range 3 {
		_, err := p.Send(t.Context(), call(address, "/a", 1))
		assert.NilError(t, err)
	}
	assert.Equal(t, first.probes, 1)
	first.Close()
	second := startServer(t, address, 2)
	var other *OtherIncarnationError
	for range 5 {
		_, err := p.Send(t.Context(), call(address, "/b", 1))
		if errors.As(err, &other) {
			break
		}
	}
	assert.Assert(t, other != nil, "no error for a call to an ended process")
	assert.Equal(t, other.Got, int64(2))
	assert.Equal(t, len(second.received), 0, "%v", second.received)
	_, err := p.Send(t.Context(), call(address, "/c", 2))
	assert.NilError(t, err)
	assert.DeepEqual(t, second.received, []string{"/c"})
}

// Guards against a probe on each connection: the reply to a call for any process may have named
// the incarnation.
func TestIdentifiedConnectionNeedsNoProbe(t *testing.T) {
	s := startServer(t, "127.0.0.1:0", 7)
	p := newPool(t)
	exchange, err := p.Send(t.Context(), call(s.Addr(), "/a", 0))
	assert.NilError(t, err)
	exchange.Identify(7)
	_, err = p.Send(t.Context(), call(s.Addr(), "/b", 7))
	assert.NilError(t, err)
	assert.Equal(t, s.probes, 0)
	assert.Equal(t, len(s.remotes), 1, "a second connection was opened")
}

// Guards against a call that is sent although the server refused the probe, or named no incarnation.
func TestCallIsNotSentWithoutIdentification(t *testing.T) {
	p := newPool(t)
	refusing := startServer(t, "127.0.0.1:0", -1)
	exchange, err := p.Send(t.Context(), call(refusing.Addr(), "/a", 1))
	assert.NilError(t, err)
	assert.Equal(t, exchange.Status, http.StatusServiceUnavailable)
	silent := startServer(t, "127.0.0.1:0", 0)
	_, err = p.Send(t.Context(), call(silent.Addr(), "/a", 1))
	assert.ErrorIs(t, err, errNoIncarnation)
	assert.Equal(t, len(refusing.received)+len(silent.received), 0)
}

// Guards against more connections than the limits allow, and against entries of addresses that
// stay for ever.
func TestPoolKeepsItsLimits(t *testing.T) {
	p := newPool(t)
	for range 4 {
		s := startServer(t, "127.0.0.1:0", 1)
		for range 2 {
			_, err := p.Send(t.Context(), call(s.Addr(), "/a", 1))
			assert.NilError(t, err)
		}
	}
	assert.Equal(t, p.idle.Len(), 3)
	assert.Equal(t, len(p.hosts), 3)
	p.Close()
	assert.Equal(t, len(p.hosts), 0)
}

// Guards against a wait for a free slot that outlasts the call.
func TestWaitForSlotEndsWithTheCall(t *testing.T) {
	release := make(chan struct{})
	s, err := harness.Listen("127.0.0.1:0", http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release }))
	assert.NilError(t, err)
	t.Cleanup(s.Close)
	p := newPool(t)
	var calls sync.WaitGroup
	for range 2 {
		calls.Go(func() { _, _ = p.Send(context.Background(), call(s.Addr(), "/a", 0)) })
	}
	assert.Assert(t, waitFor(func() bool { return slotsInUse(p, s.Addr()) == 2 }))
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	_, err = p.Send(ctx, call(s.Addr(), "/b", 0))
	assert.ErrorIs(t, err, context.DeadlineExceeded)
	close(release)
	calls.Wait()
}

func slotsInUse(p *Pool, address string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if h := p.hosts[address]; h != nil {
		return len(h.slots)
	}
	return 0
}

func waitFor(done func() bool) bool {
	for range 500 {
		if done() {
			return true
		}
		time.Sleep(2 * time.Millisecond)
	}
	return false
}
