// Package faultproxy passes TCP connections on over loopback and disturbs them,
// so that tests inject network faults from outside the programs.
package faultproxy

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// Mode is what the proxy does with the bytes of its connections.
type Mode uint8

// Modes.
const (
	// Pass hands all bytes on.
	Pass Mode = iota
	// Delay hands them on late.
	Delay
	// CutRequests drops what clients send; answers pass.
	DropRequests
	// CutAnswers drops what the server sends; requests pass.
	DropResponses
	// Silent drops everything and accepts connections all the same.
	Blackhole
	// Reset resets open connections, and new ones as they come.
	Reset
)

// String returns the mode's name.
func (m Mode) String() string {
	return [...]string{"pass", "delay", "cut_requests", "cut_answers", "silent", "reset"}[m]
}

// delayed is how late bytes arrive in mode Delay.
const addedDelay = 150 * time.Millisecond

// Proxy listens for one server.
type Proxy struct {
	listener net.Listener
	target   string
	mu       sync.Mutex
	mode     Mode
	// spoiled connections lost bytes and stay silent for good.
	conns map[*connPair]bool
	work  sync.WaitGroup
}

// pair is a client's connection and the one to the server.
type connPair struct {
	client, server net.Conn
	stalled        bool
}

// Listen starts a proxy on an address.
func Listen(address, target string) (*Proxy, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: l, target: target, conns: map[*connPair]bool{}}
	p.work.Go(p.accept)
	return p, nil
}

// Address is where clients connect.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Set changes the mode.
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

// Close ends all connections.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.mu.Lock()
	for c := range p.conns {
		c.reset()
	}
	p.mu.Unlock()
	p.work.Wait()
}

func (p *Proxy) accept() {
	for {
		client, err := p.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		p.work.Go(func() { p.serve(client) })
	}
}

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

// copy hands bytes on in one direction until the connection ends.
func (p *Proxy) copy(c *connPair, to io.Writer, from io.Reader, cut Mode) {
	defer c.close()
	buffer := make([]byte, copyBufferSize)
	for {
		n, err := from.Read(buffer)
		if n > 0 && !p.applyMode(c, cut) {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// drops waits as the mode says and reports whether bytes in the direction that
// cut names are lost.
func (p *Proxy) applyMode(c *connPair, cut Mode) bool {
	p.mu.Lock()
	mode := p.mode
	c.stalled = c.stalled || mode == Blackhole || mode == cut
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

func (c *connPair) reset() {
	for _, conn := range []net.Conn{c.client, c.server} {
		_ = conn.(*net.TCPConn).SetLinger(0)
	}
	c.close()
}
