package clientload

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"
)

const (
	// crowdSize is the number of clients whose requests never end, or are large.
	crowdSize = 300
	// connectionCrowd is the number of clients that only hold connections.
	connectionCrowd = 600
	// holdTime is how long the clients keep their connections after they have sent what they
	// send, and dripInterval is the time between two pieces until then.
	holdTime     = 3 * time.Second
	dripInterval = 50 * time.Millisecond
	// crowdDeadlineMS is the deadline that the clients state.
	crowdDeadlineMS = 60_000
	// sendTimeout bounds each write of a client whose data the daemon does not read.
	sendTimeout = 5 * time.Second
)

// client is one connection of the crowd.
type client struct {
	net.Conn
	// id is the ID of the client's job.
	id string
}

// send writes text. An error means that the daemon has closed the connection or does not
// read, which it may do.
func (c *client) send(text string) error {
	if err := c.SetWriteDeadline(time.Now().Add(sendTimeout)); err != nil {
		return err
	}
	_, err := io.WriteString(c, text)
	return err
}

// drip sends pieces one by one until end.
func (c *client) drip(end time.Time, piece func(i int) string) {
	for i := 0; time.Now().Before(end) && c.send(piece(i)) == nil; i++ {
		time.Sleep(dripInterval)
	}
}

// header returns the header of a submission without the empty line at its end.
func (c *client) header(fields string) string {
	return fmt.Sprintf("POST %s%s HTTP/1.1\r\nHost: %s\r\nDeadline-Ms: %d\r\n%s", prefix, c.id, host, crowdDeadlineMS, fields)
}

// withLength returns the header of a submission whose body has n bytes.
func (c *client) withLength(n int) string {
	return c.header(fmt.Sprintf("Content-Length: %d\r\n\r\n", n))
}

// submit sends a whole job and reads the answer.
func (c *client) submit(body string) {
	if c.send(c.withLength(len(body))+body) == nil {
		c.awaitAnswer()
	}
}

// awaitAnswer reads the first line of an answer. Clients accept any answer and a closed
// connection.
func (c *client) awaitAnswer() {
	_ = c.SetReadDeadline(time.Now().Add(2 * holdTime))
	_, _ = bufio.NewReader(c).ReadString('\n')
}

// chunk returns text in the chunked encoding.
func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

// crowd runs act for n clients of an address at the same time, and waits for their end.
func (c *testCell) crowd(address string, n int, act func(*client)) {
	var wg sync.WaitGroup
	for range n {
		wg.Go(func() {
			conn, err := net.DialTimeout("tcp", address, sendTimeout)
			if err != nil {
				return // The daemon refuses connections.
			}
			defer conn.Close()
			act(&client{Conn: conn, id: c.newID()})
		})
	}
	wg.Wait()
}

// largeBody begins like a job whose payload fills a body of the largest size.
var largeBody = `{"spec":"` + strings.Repeat("x", maxBodyBytes)

// awaitListener waits until an address accepts connections.
func (c *testCell) awaitListener(address string) {
	for deadline := time.Now().Add(readyTimeout); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		if conn, err := net.Dial("tcp", address); err == nil {
			_ = conn.Close()
			return
		}
	}
	c.t.Errorf("nothing listens on %s within %s", address, readyTimeout)
}

// repeatList returns a JSON list of n equal elements.
func repeatList(n int, element string) string {
	return "[" + strings.TrimSuffix(strings.Repeat(element+",", n), ",") + "]"
}
