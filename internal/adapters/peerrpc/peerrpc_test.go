package peerrpc

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"catkinvalve/internal/fault"
	"catkinvalve/internal/peerpb"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fakePeer implements Fate and Heartbeat; other calls return an error.
type fakePeer struct {
	peerpb.DRPCPeerUnimplementedServer
	fate func(context.Context, *peerpb.FateRequest) (*peerpb.RecordResponse, error)
}

func (f *fakePeer) Fate(ctx context.Context, in *peerpb.FateRequest) (*peerpb.RecordResponse, error) {
	if f.fate == nil {
		return &peerpb.RecordResponse{Key: in.Key}, nil
	}
	return f.fate(ctx, in)
}

func (f *fakePeer) Heartbeat(ctx context.Context, in *peerpb.HeartbeatRequest) (*peerpb.HeartbeatResponse, error) {
	return &peerpb.HeartbeatResponse{Daemon: CallerFromContext(ctx).ID}, nil
}

func startPeer(t *testing.T, handler *fakePeer, opts Options) (*Server, Target) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s, err := NewServer(handler, opts)
	assert.NilError(t, err)
	s.Start(l)
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		_ = s.Shutdown(ctx)
	})
	return s, Target{ID: "d2", Addr: l.Addr().String(), Region: "loire"}
}

func startClient(t *testing.T, opts Options) *Client {
	opts.Self = Caller{ID: "d1", Region: "brittany"}
	c := NewClient(opts)
	t.Cleanup(func() { _ = c.Close() })
	return c
}

func fate(c *Client, to Target, key string) error {
	_, err := c.Fate(context.Background(), to, &peerpb.FateRequest{Key: key})
	return err
}

// Guards against concurrent calls that get each other's responses.
func TestResponsesReachTheirCall(t *testing.T) {
	_, to := startPeer(t, &fakePeer{fate: func(_ context.Context, in *peerpb.FateRequest) (*peerpb.RecordResponse, error) {
		time.Sleep(time.Duration(rand.IntN(5)) * time.Millisecond)
		return &peerpb.RecordResponse{Record: &peerpb.Record{Request: &peerpb.Request{Key: in.Key}}}, nil
	}}, Options{})
	c := startClient(t, Options{MaxPayloadConns: 8, PoolTimeout: 5 * time.Second})
	var calls sync.WaitGroup
	for i := range 200 {
		calls.Go(func() {
			key := fmt.Sprint("klang-a:", i)
			out, err := c.Fate(context.Background(), to, &peerpb.FateRequest{Key: key})
			if err != nil || out.Key != key || out.Record.Request.Key != key {
				t.Errorf("call %s got %v, %v", key, out, err)
			}
		})
	}
	calls.Wait()
}

// Guards against an executed call whose error is reported as not sent, and the reverse.
func TestNotSent(t *testing.T) {
	block := make(chan struct{})
	handler := &fakePeer{fate: func(ctx context.Context, in *peerpb.FateRequest) (*peerpb.RecordResponse, error) {
		switch in.Key {
		case "fault":
			return nil, fault.New(fault.Overloaded, "retry", "queue full")
		case "plain":
			return nil, errors.New("secret")
		case "panic":
			panic("secret")
		case "other":
			return &peerpb.RecordResponse{Key: "x"}, nil
		case "inner":
			return &peerpb.RecordResponse{Fault: &peerpb.Fault{Kind: string(fault.FateInDoubt)}}, nil
		case "block":
			select {
			case <-block:
			case <-ctx.Done():
				return nil, ctx.Err()
			}
		}
		return &peerpb.RecordResponse{}, nil
	}}
	defer close(block)
	_, to := startPeer(t, handler, Options{})
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	closed.Close()
	unreachable := Target{ID: "d3", Addr: closed.Addr().String()}
	blocked := Target{ID: "cut", Addr: to.Addr}
	c := startClient(t, Options{MaxPayloadConns: 1, PoolTimeout: 10 * time.Millisecond, CallTimeout: 300 * time.Millisecond,
		MaxMessageBytes: 1000, Blocked: func(id string) bool { return id == "cut" }})
	for _, test := range []struct {
		to      Target
		key     string
		kind    fault.Kind
		notSent bool
	}{
		{unreachable, "a", fault.HomeUnreachable, true},
		{blocked, "a", fault.HomeUnreachable, true},
		{to, string(make([]byte, 1000)), fault.TooLarge, true},
		{to, "fault", fault.Overloaded, false},
		{to, "plain", fault.Internal, false},
		{to, "panic", fault.Internal, false},
		{to, "other", fault.FateUnknownYet, false},
		{to, "inner", fault.FateInDoubt, false},
		{to, "block", fault.FateUnknownYet, false},
	} {
		err := fate(c, test.to, test.key)
		assert.Equal(t, fault.KindOf(err), test.kind, "%q: %v", test.key, err)
		assert.Equal(t, NotSent(err), test.notSent, test.key)
	}
	blockedCall := make(chan error, 1)
	go func() { blockedCall <- fate(c, to, "block") }()
	time.Sleep(50 * time.Millisecond)
	err = fate(c, to, "a")
	assert.Equal(t, fault.KindOf(err), fault.Overloaded)
	assert.Assert(t, NotSent(err))
	_, err = c.Heartbeat(context.Background(), to, &peerpb.HeartbeatRequest{})
	assert.NilError(t, err, "payload calls must not block control calls")
	<-blockedCall
	assert.NilError(t, fate(c, to, "a"))
	assert.NilError(t, c.Close())
	assert.Assert(t, NotSent(fate(c, to, "a")))
	assert.Assert(t, !NotSent(nil))
}

// Guards against a server that handles calls from a blocked daemon, and against a caller ID
// that does not reach the handler.
func TestBlockedCaller(t *testing.T) {
	_, to := startPeer(t, &fakePeer{}, Options{Blocked: func(id string) bool { return id == "d1" }})
	c := startClient(t, Options{CallTimeout: time.Second})
	err := fate(c, to, "a")
	assert.Equal(t, fault.KindOf(err), fault.FateUnknownYet)
	assert.Assert(t, !NotSent(err))

	_, unblocked := startPeer(t, &fakePeer{}, Options{})
	out, err := c.Heartbeat(context.Background(), unblocked, &peerpb.HeartbeatRequest{})
	assert.NilError(t, err)
	assert.Equal(t, out.Daemon, "d1")
}

// Guards against payload calls that exceed the rate limit of a remote region, and against a
// rate limit that applies to control calls or within the local region.
func TestPayloadRate(t *testing.T) {
	_, to := startPeer(t, &fakePeer{}, Options{})
	c := startClient(t, Options{PayloadBytesPerSecond: 100, MaxMessageBytes: 1000, CallTimeout: 200 * time.Millisecond})
	key := string(make([]byte, 900))
	assert.NilError(t, fate(c, to, key))
	err := fate(c, to, key)
	assert.Equal(t, fault.KindOf(err), fault.Overloaded)
	assert.Assert(t, NotSent(err))
	_, err = c.Heartbeat(context.Background(), to, &peerpb.HeartbeatRequest{})
	assert.NilError(t, err)
	sameRegion := to
	sameRegion.Region = "brittany"
	assert.NilError(t, fate(c, sameRegion, key))
}

// Guards against connections above the limit and idle connections that stay open.
func TestServerLimits(t *testing.T) {
	s, to := startPeer(t, &fakePeer{}, Options{MaxConns: 1, IdleTimeout: 100 * time.Millisecond})
	for _, limited := range []bool{false, true} {
		conn, err := net.Dial("tcp", to.Addr)
		assert.NilError(t, err)
		defer conn.Close()
		if limited {
			assert.NilError(t, conn.SetReadDeadline(time.Now().Add(5*time.Second)))
			_, err = conn.Read(make([]byte, 1))
			assert.Assert(t, err != nil)
			assert.Equal(t, s.refused.Count(), int64(1))
		}
	}
	for end := time.Now().Add(5 * time.Second); s.connCount() > 0; time.Sleep(5 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(end), "an idle connection stayed open")
	}
}

// Guards against a graceful shutdown that interrupts a call in progress.
func TestShutdownLetsCallFinish(t *testing.T) {
	arrived, release := make(chan struct{}), make(chan struct{})
	s, to := startPeer(t, &fakePeer{fate: func(context.Context, *peerpb.FateRequest) (*peerpb.RecordResponse, error) {
		close(arrived)
		<-release
		return &peerpb.RecordResponse{}, nil
	}}, Options{})
	c := startClient(t, Options{})
	callErr, shutdownErr := make(chan error, 1), make(chan error, 1)
	go func() { callErr <- fate(c, to, "a") }()
	<-arrived
	go func() { shutdownErr <- s.Shutdown(context.Background()) }()
	select {
	case <-shutdownErr:
		t.Fatal("Shutdown returned before the call finished")
	case <-time.After(100 * time.Millisecond):
	}
	close(release)
	assert.NilError(t, <-callErr)
	assert.NilError(t, <-shutdownErr)
}
