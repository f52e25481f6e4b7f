package peerrpc

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"storj.io/drpc/drpcpool"

	"catkinvalve/internal/fault"
	"catkinvalve/internal/telemetry"
)

// kind separates connections for control calls from those for payload calls.
type kind string

const (
	control kind = "control"
	payload kind = "payload"
)

var errClosed = errors.New("the client is closed")

// pool keeps idle connections and bounds the open ones per peer address.
type pool struct {
	opts Options
	size int
	idle *drpcpool.Pool[string, *clientConn]
	full metrics.Counter
	// near and far count the bytes on connections within the own region and to
	// other regions. Only clients count, so that no byte counts twice.
	near, far bytesCounters

	mu     sync.Mutex
	closed bool
	// connSlots holds a semaphore per address with an element per call.
	connSlots map[string]*connSlots
}

// connSlots is dropped when no call uses it, so that the map does not grow with
// addresses of former peers.
type connSlots struct {
	busy  chan struct{}
	users int
}

func newPool(k kind, size int, opts Options) *pool {
	return &pool{
		opts: opts,
		size: size,
		idle: drpcpool.New[string, *clientConn](drpcpool.Options{Expiration: opts.IdleTimeout / 2, KeyCapacity: size}),
		full: telemetry.Counter(opts.Registry, "peer.client."+string(k)+".full"),
		near: newBytesCounters(opts.Registry, k, "same_region"),
		far:  newBytesCounters(opts.Registry, k, "cross_region"),

		connSlots: map[string]*connSlots{},
	}
}

// take returns a connection to the target. Each one must be given to put.
// Its errors say that nothing was sent.
func (p *pool) take(ctx context.Context, to Target) (*clientConn, error) {
	if err := p.acquire(ctx, to); err != nil {
		return nil, err
	}
	if conn, ok := p.idle.Take(to.Addr); ok {
		conn.tracked.wrote.Store(false)
		return conn, nil
	}
	dialer := net.Dialer{Timeout: p.opts.DialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", to.Addr)
	if err != nil {
		p.release(to.Addr)
		return nil, unreachable(err, to)
	}
	return newClientConn(conn, p.bytes(to), p.opts), nil
}

// bytesCounters count what the connections of one pool carry.
type bytesCounters struct{ sent, received metrics.Counter }

func newBytesCounters(r metrics.Registry, k kind, scope string) bytesCounters {
	name := "peer.client." + string(k) + "." + scope
	return bytesCounters{sent: telemetry.Counter(r, name+".sent_bytes"), received: telemetry.Counter(r, name+".received_bytes")}
}

func (p *pool) bytes(to Target) bytesCounters {
	if to.Region == p.opts.Self.Region {
		return p.near
	}
	return p.far
}

// put gives the connection back; a broken one is closed.
func (p *pool) put(to Target, conn *clientConn, broken bool) {
	p.mu.Lock()
	reuse := !broken && !p.closed
	if reuse {
		p.idle.Put(to.Addr, conn)
	}
	p.mu.Unlock()
	if !reuse {
		_ = conn.Close()
	}
	p.release(to.Addr)
}

// acquire takes one of the target's connection slots and waits up to PoolTimeout for it.
func (p *pool) acquire(ctx context.Context, to Target) error {
	busy, err := p.enter(to)
	if err != nil {
		return err
	}
	timer := time.NewTimer(p.opts.PoolTimeout)
	defer timer.Stop()
	select {
	case busy <- struct{}{}:
		return nil
	default:
	}
	select {
	case busy <- struct{}{}:
		return nil
	case <-ctx.Done():
		err = ctx.Err()
	case <-timer.C:
		err = errors.New("all connections are busy")
	}
	p.leave(to.Addr)
	p.full.Inc(1)
	return unsent(err, fault.Overloaded, "retry later or through another daemon; nothing was sent",
		"all %d connections to daemon %s are busy", p.size, to.ID)
}

func (p *pool) enter(to Target) (chan struct{}, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, unsent(errClosed, fault.Draining, "use another daemon; nothing was sent", "this daemon is shutting down")
	}
	entry := p.connSlots[to.Addr]
	if entry == nil {
		entry = &connSlots{busy: make(chan struct{}, p.size)}
		p.connSlots[to.Addr] = entry
	}
	entry.users++
	return entry.busy, nil
}

func (p *pool) leave(addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	entry := p.connSlots[addr]
	if entry.users--; entry.users == 0 {
		delete(p.connSlots, addr)
	}
}

// release undoes acquire.
func (p *pool) release(addr string) {
	p.mu.Lock()
	busy := p.connSlots[addr].busy
	p.mu.Unlock()
	<-busy
	p.leave(addr)
}

// close closes idle connections now and busy ones when they are put back.
func (p *pool) close() error {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	return p.idle.Close()
}
