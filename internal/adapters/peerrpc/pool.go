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

// kind tells whether a call is a control or a payload call, which use separate connections.
type kind string

const (
	control kind = "control"
	payload kind = "payload"
)

var errClosed = errors.New("the client is closed")

// pool keeps idle connections for reuse and limits the open connections to each peer
// address.
type pool struct {
	opts      Options
	maxConns  int
	idle      *drpcpool.Pool[string, *clientConn]
	exhausted metrics.Counter
	// sameRegion and crossRegion count the bytes of connections within the local region and
	// to other regions. Only clients count, so that no byte is counted twice.
	sameRegion, crossRegion byteCounters

	mu     sync.Mutex
	closed bool
	// connSlots has one entry per peer address that calls use.
	connSlots map[string]*connSlots
}

// connSlots limits the connections to one address. It is removed from the pool when no call
// uses it, so that the map does not grow with the addresses of former peers.
type connSlots struct {
	// slots is a semaphore with one element per connection in use.
	slots chan struct{}
	// users is the number of calls that hold a slot or wait for one.
	users int
}

func newPool(k kind, maxConns int, opts Options) *pool {
	return &pool{
		opts:        opts,
		maxConns:    maxConns,
		idle:        drpcpool.New[string, *clientConn](drpcpool.Options{Expiration: opts.IdleTimeout / 2, KeyCapacity: maxConns}),
		exhausted:   telemetry.Counter(opts.Registry, "peer.client."+string(k)+".full"),
		sameRegion:  newByteCounters(opts.Registry, k, "same_region"),
		crossRegion: newByteCounters(opts.Registry, k, "cross_region"),

		connSlots: map[string]*connSlots{},
	}
}

// take returns an idle or new connection to the target. The caller must return it with
// put. NotSent is true for errors that take returns.
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
		return nil, unreachableFault(err, to)
	}
	return newClientConn(conn, p.countersFor(to), p.opts), nil
}

// byteCounters count the bytes of a pool's connections.
type byteCounters struct{ sent, received metrics.Counter }

func newByteCounters(r metrics.Registry, k kind, scope string) byteCounters {
	name := "peer.client." + string(k) + "." + scope
	return byteCounters{sent: telemetry.Counter(r, name+".sent_bytes"), received: telemetry.Counter(r, name+".received_bytes")}
}

func (p *pool) countersFor(to Target) byteCounters {
	if to.Region == p.opts.Self.Region {
		return p.sameRegion
	}
	return p.crossRegion
}

// put returns a connection to the pool. It closes the connection if it is broken or the pool
// is closed.
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

// acquire acquires one of the target's connection slots. It waits up to PoolTimeout for a
// free one.
func (p *pool) acquire(ctx context.Context, to Target) error {
	slots, err := p.addUser(to)
	if err != nil {
		return err
	}
	timer := time.NewTimer(p.opts.PoolTimeout)
	defer timer.Stop()
	select {
	case slots <- struct{}{}:
		return nil
	default:
	}
	select {
	case slots <- struct{}{}:
		return nil
	case <-ctx.Done():
		err = ctx.Err()
	case <-timer.C:
		err = errors.New("all connections are busy")
	}
	p.removeUser(to.Addr)
	p.exhausted.Inc(1)
	return notSentFault(err, fault.Overloaded, "retry later or through another daemon; nothing was sent",
		"all %d connections to daemon %s are busy", p.maxConns, to.ID)
}

// addUser counts a call that uses the connection slots of the target and returns their
// semaphore.
func (p *pool) addUser(to Target) (chan struct{}, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, notSentFault(errClosed, fault.Draining, "use another daemon; nothing was sent", "this daemon is shutting down")
	}
	entry := p.connSlots[to.Addr]
	if entry == nil {
		entry = &connSlots{slots: make(chan struct{}, p.maxConns)}
		p.connSlots[to.Addr] = entry
	}
	entry.users++
	return entry.slots, nil
}

// removeUser reverses addUser.
func (p *pool) removeUser(addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	entry := p.connSlots[addr]
	if entry.users--; entry.users == 0 {
		delete(p.connSlots, addr)
	}
}

// release frees a slot that acquire acquired.
func (p *pool) release(addr string) {
	p.mu.Lock()
	slots := p.connSlots[addr].slots
	p.mu.Unlock()
	<-slots
	p.removeUser(addr)
}

// close closes idle connections immediately and busy ones when they are put back. Further
// calls of take fail.
func (p *pool) close() error {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	return p.idle.Close()
}
