// Package faultproxy forwards TCP connections on loopback and injects faults into them,
// so that tests cause network faults from outside the programs.
package faultproxy

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// Mode is what the proxy does with its connections and their bytes.
type Mode uint8

// Modes of a proxy.
const (
	// Pass forwards all bytes.
	Pass Mode = iota
	// Delay forwards them after a delay.
	Delay
	// DropRequests drops what clients send and forwards responses.
	DropRequests
	// DropResponses drops what the server sends and forwards requests.
	DropResponses
	// Blackhole accepts connections and drops all bytes.
	Blackhole
	// Reset resets open connections, and new ones when they are accepted.
	Reset
)

// String returns the mode's name.
func (m Mode) String() string {
	return [...]string{"pass", "delay", "cut_requests", "cut_answers", "silent", "reset"}[m]
}

// addedDelay is the delay of each read in mode Delay.
const addedDelay = 150 * time.Millisecond

// Proxy forwards the connections of one listener to one server.
type Proxy struct {
	address, target string
	// mu guards the fields below and the stalled fields of conns.
	mu sync.Mutex
	// listener is nil while new connections are refused.
	listener   net.Listener
	closed     bool
	mode       Mode
	conns      map[*connPair]bool
	goroutines sync.WaitGroup
}

// connPair is a client's connection and the proxy's connection to the server for it.
type connPair struct {
	client, server net.Conn
	// stalled is set once bytes were dropped. Such a connection forwards nothing
	// any more, since its stream has a gap.
	stalled bool
}

// Listen starts a proxy that listens on address and forwards to target.
func Listen(address, target string) (*Proxy, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &Proxy{address: l.Addr().String(), listener: l, target: target, conns: map[*connPair]bool{}}
	p.goroutines.Go(func() { p.accept(l) })
	return p, nil
}

// Address returns the address that the proxy listens on.
func (p *Proxy) Address() string { return p.address }

// Refuse resets all connections and refuses new ones, until Resume.
func (p *Proxy) Refuse() {
	p.mu.Lock()
	if p.listener != nil {
		_ = p.listener.Close()
		p.listener = nil
	}
	p.mu.Unlock()
	p.SetMode(Reset)
}

// Resume listens again after Refuse, unless the proxy is closed, in mode Pass.
func (p *Proxy) Resume() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = Pass
	if p.closed || p.listener != nil {
		return nil
	}
	l, err := net.Listen("tcp", p.address)
	if err != nil {
		return err
	}
	p.listener = l
	p.goroutines.Go(func() { p.accept(l) })
	return nil
}

// SetMode changes the mode for open and new connections.
func (p *Proxy) SetMode(m Mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	if m == Reset {
		for c := range p.conns {
			c.reset()
		}
	}
}

// Close stops listening, resets all connections and waits for the proxy's goroutines.
func (p *Proxy) Close() {
	p.mu.Lock()
	p.closed = true
	if p.listener != nil {
		_ = p.listener.Close()
	}
	for c := range p.conns {
		c.reset()
	}
	p.mu.Unlock()
	p.goroutines.Wait()
}

func (p *Proxy) accept(l net.Listener) {
	for {
		client, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		p.goroutines.Go(func() { p.serve(client) })
	}
}

// serve connects to the server and forwards bytes in both directions until one side ends
// the connection. If the server cannot be reached, it resets the client's connection.
func (p *Proxy) serve(client net.Conn) {
	server, err := net.DialTimeout("tcp", p.target, time.Second)
	if err != nil {
		_ = client.(*net.TCPConn).SetLinger(0)
		_ = client.Close()
		return
	}
	c := &connPair{client: client, server: server}
	p.mu.Lock()
	p.conns[c] = true
	if p.mode == Reset {
		c.reset()
	}
	p.mu.Unlock()
	var copies sync.WaitGroup
	copies.Go(func() { p.copy(c, server, client, DropRequests) })
	copies.Go(func() { p.copy(c, client, server, DropResponses) })
	copies.Wait()
	p.mu.Lock()
	delete(p.conns, c)
	p.mu.Unlock()
}

const copyBufferSize = 16 << 10

// copy forwards bytes in one direction until the connection ends. dropMode is the
// mode that drops the bytes of this direction.
func (p *Proxy) copy(c *connPair, to io.Writer, from io.Reader, dropMode Mode) {
	defer c.close()
	buffer := make([]byte, copyBufferSize)
	for {
		n, err := from.Read(buffer)
		if n > 0 && !p.applyMode(c, dropMode) {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// applyMode waits in mode Delay and reports whether bytes must be dropped of the
// direction that dropMode drops.
func (p *Proxy) applyMode(c *connPair, dropMode Mode) bool {
	p.mu.Lock()
	mode := p.mode
	c.stalled = c.stalled || mode == Blackhole || mode == dropMode
	stalled := c.stalled
	p.mu.Unlock()
	if mode == Delay {
		time.Sleep(addedDelay)
	}
	return stalled
}

func (c *connPair) close() {
	_ = c.client.Close()
	_ = c.server.Close()
}

// reset closes both connections with a TCP reset and discards unsent bytes.
func (c *connPair) reset() {
	for _, conn := range []net.Conn{c.client, c.server} {
		_ = conn.(*net.TCPConn).SetLinger(0)
	}
	c.close()
}
