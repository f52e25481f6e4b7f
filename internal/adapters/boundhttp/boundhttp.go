// Package boundhttp makes HTTP calls that reach only the intended incarnation of a server, that
// is, one process of it. A process that ended and was started again has the same address and the
// same ID, so that nothing in a call tells it that the call was meant for its predecessor. A
// connection, however, ends with the process that accepted it: a call that is bound to an
// incarnation is sent only over a connection on which that incarnation has answered.
package boundhttp

import (
	"container/list"
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"catkinvalve/internal/adapters/jsonhttp"
)

// idleTimeout is how long an unused connection is kept. It is longer than any sync interval.
const idleTimeout = 90 * time.Second

// Call is a call to a server.
type Call struct {
	// Address is the server's address, HOST:PORT.
	Address string
	// Incarnation is the incarnation that may receive the call, or 0 if any may.
	Incarnation int64
	Request     jsonhttp.Request
	// Probe returns a request without effect, whose reply tells the server's incarnation.
	Probe func() (jsonhttp.Request, error)
}

// OtherIncarnationError means that another incarnation than the intended one is at the address.
// The call was not sent.
type OtherIncarnationError struct {
	Address   string
	Want, Got int64
}

// Error implements the error interface.
func (e *OtherIncarnationError) Error() string {
	return fmt.Sprintf("%s is incarnation %d, not %d: ask it for its state before the next call", e.Address, e.Got, e.Want)
}

// IsOtherIncarnation reports whether err contains an *OtherIncarnationError.
func IsOtherIncarnation(err error) bool {
	var other *OtherIncarnationError
	return errors.As(err, &other)
}

// errNoIncarnation means that the reply to a probe did not tell which incarnation sent it.
var errNoIncarnation = errors.New("the reply to the probe names no incarnation")

// Options configure a Pool.
type Options struct {
	// ConnsPerHost limits the concurrent calls to one address, and the connections that are
	// kept to it.
	ConnsPerHost int
	// MaxIdle limits the unused connections to all addresses together; 0 means no limit.
	MaxIdle int
	// Incarnation returns the incarnation that a successful reply to a probe tells. It
	// returns 0 if there is none in it.
	Incarnation func(jsonhttp.Reply) int64
}

// Pool makes calls and keeps the connections for reuse. It is safe for concurrent use.
type Pool struct {
	client *jsonhttp.Client
	opts   Options
	mu     sync.Mutex
	hosts  map[string]*host
	// idle lists the unused connections, *conn, to all addresses, the longest unused first.
	idle *list.List
}

// host holds what belongs to one address.
type host struct {
	// slots limits the concurrent calls.
	slots chan struct{}
	// calls counts the calls in flight and those that wait for a slot.
	calls int
	// idle lists the unused connections, the longest unused first.
	idle []*conn
}

// conn is a connection. A call that uses it has it alone.
type conn struct {
	*jsonhttp.Conn
	address string
	// incarnation is 0 until the server has reported it. Pool.mu protects it.
	incarnation int64
	// element is the connection's place in Pool.idle, and timer ends its time there.
	element *list.Element
	timer   *time.Timer
}

// New returns a pool that opens its connections with client.
func New(client *jsonhttp.Client, opts Options) *Pool {
	return &Pool{client: client, opts: opts, hosts: map[string]*host{}, idle: list.New()}
}

// Exchange is a reply with the connection over which it came.
type Exchange struct {
	jsonhttp.Reply
	pool *Pool
	conn *conn
}

// Identify records the incarnation that the reply tells, so that bound calls can use the
// connection without a probe.
func (e *Exchange) Identify(incarnation int64) { e.pool.identify(e.conn, incarnation) }

func (p *Pool) identify(k *conn, incarnation int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	k.incarnation = incarnation
}

func (p *Pool) incarnation(k *conn) int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return k.incarnation
}

// Send makes a call and returns the reply, whatever its status is. It returns an
// *OtherIncarnationError if the server is not the incarnation that the call is bound to. A
// server that refuses the probe has refused the call: its reply to the probe is returned.
func (p *Pool) Send(ctx context.Context, call *Call) (*Exchange, error) {
	h := p.beginCall(call.Address)
	defer p.endCall(call.Address, h)
	select {
	case h.slots <- struct{}{}:
		defer func() { <-h.slots }()
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	k, err := p.connect(ctx, call)
	if err != nil {
		return nil, err
	}
	if refused, err := p.verify(ctx, k, call); err != nil || refused != nil {
		return refused, err
	}
	return p.exchange(ctx, k, call.Request)
}

// exchange sends a request over a connection, which is kept if there is a reply.
func (p *Pool) exchange(ctx context.Context, k *conn, r jsonhttp.Request) (*Exchange, error) {
	reply, err := k.Send(ctx, r)
	if err != nil {
		return nil, err
	}
	p.keep(k)
	return &Exchange{Reply: reply, pool: p, conn: k}, nil
}

// verify makes sure that a connection leads to the incarnation that the call is bound to. It
// returns the reply to the probe if the server refused that.
func (p *Pool) verify(ctx context.Context, k *conn, call *Call) (*Exchange, error) {
	if call.Incarnation == 0 {
		return nil, nil
	}
	if p.incarnation(k) == 0 {
		probe, err := call.Probe()
		if err != nil {
			return nil, err
		}
		reply, err := k.Send(ctx, probe)
		if err != nil {
			return nil, err
		}
		if reply.Status != http.StatusOK {
			p.keep(k)
			return &Exchange{Reply: reply, pool: p, conn: k}, nil
		}
		incarnation := p.opts.Incarnation(reply)
		if incarnation == 0 {
			p.keep(k)
			return nil, errNoIncarnation
		}
		p.identify(k, incarnation)
	}
	if got := p.incarnation(k); got != call.Incarnation {
		p.keep(k)
		return nil, &OtherIncarnationError{Address: call.Address, Want: call.Incarnation, Got: got}
	}
	return nil, nil
}

// beginCall returns the entry of an address, which stays until endCall.
func (p *Pool) beginCall(address string) *host {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hosts[address]
	if h == nil {
		h = &host{slots: make(chan struct{}, p.opts.ConnsPerHost)}
		p.hosts[address] = h
	}
	h.calls++
	return h
}

func (p *Pool) endCall(address string, h *host) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h.calls--
	p.forgetIfUnused(address, h)
}

// forgetIfUnused removes the entry of an address without calls and connections. mu must be
// held.
func (p *Pool) forgetIfUnused(address string, h *host) {
	if h.calls == 0 && len(h.idle) == 0 {
		delete(p.hosts, address)
	}
}

// connect returns an unused connection that the call may use, or a new one.
func (p *Pool) connect(ctx context.Context, call *Call) (*conn, error) {
	if k := p.takeIdle(call); k != nil {
		return k, nil
	}
	c, err := p.client.Dial(ctx, call.Address)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, address: call.Address}, nil
}

// takeIdle takes the latest unused connection that the call may use, or nil. Connections
// that were closed meanwhile are dropped.
func (p *Pool) takeIdle(call *Call) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, k := range slices.Backward(slices.Clone(p.hosts[call.Address].idle)) {
		switch {
		case !k.Usable():
			p.drop(k)
		case call.Incarnation == 0 || k.incarnation == 0 || k.incarnation == call.Incarnation:
			p.removeIdle(k)
			return k
		}
	}
	return nil
}

// keep adds a connection to the unused ones, and closes those above the limits and those to
// other incarnations of the same server, which have ended.
func (p *Pool) keep(k *conn) {
	if !k.Usable() {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hosts[k.address]
	for _, o := range slices.Clone(h.idle) {
		if o.incarnation != 0 && k.incarnation != 0 && o.incarnation != k.incarnation {
			p.drop(o)
		}
	}
	if len(h.idle) >= p.opts.ConnsPerHost {
		p.drop(h.idle[0])
	}
	if p.opts.MaxIdle > 0 && p.idle.Len() >= p.opts.MaxIdle {
		p.drop(p.idle.Front().Value.(*conn))
	}
	h.idle = append(h.idle, k)
	k.element = p.idle.PushBack(k)
	k.timer = time.AfterFunc(idleTimeout, func() { p.expire(k) })
}

// expire closes a connection that was not used for idleTimeout.
func (p *Pool) expire(k *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.drop(k)
}

// removeIdle takes a connection from the unused ones. It returns false if it is not among
// them. mu must be held.
func (p *Pool) removeIdle(k *conn) bool {
	if k.element == nil {
		return false
	}
	h := p.hosts[k.address]
	h.idle = slices.DeleteFunc(h.idle, func(o *conn) bool { return o == k })
	p.idle.Remove(k.element)
	k.element = nil
	k.timer.Stop()
	return true
}

// drop closes an unused connection. mu must be held.
func (p *Pool) drop(k *conn) {
	if p.removeIdle(k) {
		k.Close()
		p.forgetIfUnused(k.address, p.hosts[k.address])
	}
}

// Close closes the unused connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for e := p.idle.Front(); e != nil; e = p.idle.Front() {
		p.drop(e.Value.(*conn))
	}
}
