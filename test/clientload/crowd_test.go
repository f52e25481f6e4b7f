package clientload

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// crowdSize is the number of clients whose requests never end, or are large.
	crowdSize = 300
	// largeCrowd is the number of clients at daemons with many descriptors.
	largeCrowd = 1000
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

// target is a listener of a daemon.
type target struct {
	address string
	// request returns the first lines of a request with a body, as if the listener served HTTP.
	request func(id string) string
}

// client is one connection of the crowd.
type client struct {
	net.Conn
	target target
	// id is the ID of the client's job.
	id string
}

// lastID is the last ID that newID returned.
var lastID atomic.Int64

// newID returns the ID of a job that was not submitted before.
func newID() string { return fmt.Sprintf("%016x", lastID.Add(1)) }

// crowd runs act for n clients of a listener at the same time, and waits for their end.
func crowd(to target, n int, act func(*client)) {
	var wg sync.WaitGroup
	for range n {
		wg.Go(func() {
			conn, err := net.DialTimeout("tcp", to.address, sendTimeout)
			if err != nil {
				return // The daemon refuses connections.
			}
			defer conn.Close()
			act(&client{Conn: conn, target: to, id: newID()})
		})
	}
	wg.Wait()
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

// sendAndHold sends text and keeps the connection open.
func (c *client) sendAndHold(text string) {
	_ = c.send(text)
	time.Sleep(holdTime)
}

// drip sends pieces one by one until end.
func (c *client) drip(end time.Time, piece func(i int) string) {
	for i := 0; time.Now().Before(end) && c.send(piece(i)) == nil; i++ {
		time.Sleep(dripInterval)
	}
}

// header returns the header of a request without the empty line at its end.
func (c *client) header(fields string) string { return c.target.request(c.id) + fields }

// withLength returns the header of a request whose body has n bytes.
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

// sendChunks sends the beginning of a large body in chunks of the given size, and returns whether
// the daemon has read all of it.
func (c *client) sendChunks(size int) bool {
	err := c.send(c.header("Transfer-Encoding: chunked\r\n\r\n"))
	for at := 0; err == nil && at+size < maxBodyBytes; at += size {
		err = c.send(chunk(largeBody[at : at+size]))
	}
	return err == nil
}

// chunk returns text in the chunked encoding.
func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

// largeBody begins like a job whose payload fills a body of the largest size.
var largeBody = `{"spec":"` + strings.Repeat("x", maxBodyBytes)

// repeatList returns a JSON list of n equal elements.
func repeatList(n int, element string) string {
	return "[" + strings.TrimSuffix(strings.Repeat(element+",", n), ",") + "]"
}
