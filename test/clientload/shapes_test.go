package clientload

import (
	"fmt"
	"strings"
	"time"

	"storj.io/drpc/drpcwire"
)

// shape is what each client of a crowd does, at any listener.
type shape struct {
	name string
	// guards says which failure the shape has shown or might show.
	guards string
	act    func(*client)
}

// Sizes of headers and of data outside of requests. The limit of a header is 16 KiB.
const (
	unfinishedHeaderBytes = 15_900
	endlessBytes          = 1_000_000
)

// stalledBody sends all but the last byte of a large body.
func stalledBody(c *client) { c.sendAndHold(c.withLength(maxBodyBytes) + largeBody[:maxBodyBytes-1]) }

// shortFields is a header of very many short fields with different names, without its end.
var shortFields = func() string {
	var fields strings.Builder
	for i := 0; fields.Len() < unfinishedHeaderBytes; i++ {
		fmt.Fprintf(&fields, "%x:\r\n", i)
	}
	return fields.String()
}()

// httpShapes are requests that do not end or exceed a limit.
var httpShapes = []shape{
	{"stalled_bodies", "large bodies that stop just before their end fill the memory", stalledBody},
	{"stalled_bodies_in_pieces", "the same for bodies that arrive in pieces", func(c *client) {
		err := c.send(c.withLength(maxBodyBytes))
		for at := 0; err == nil && at+4096 < maxBodyBytes; at += 4096 {
			err = c.send(largeBody[at : at+4096])
			time.Sleep(time.Millisecond)
		}
		c.drip(time.Now().Add(holdTime), func(int) string { return "x" })
	}},
	{"large_chunks", "the same for chunked bodies", func(c *client) {
		c.sendChunks(64<<10 - 1)
		time.Sleep(holdTime)
	}},
	{"small_chunks", "the same for bodies of very small chunks", func(c *client) {
		c.sendChunks(64)
		time.Sleep(holdTime)
	}},
	{"long_headers", "headers far above the limit fill the memory", func(c *client) {
		c.sendAndHold(c.header("Filler: " + strings.Repeat("x", 600<<10)))
	}},
	{"unfinished_headers", "headers within the limit that do not end fill the memory", func(c *client) {
		c.sendAndHold(c.header("Filler: " + strings.Repeat("x", unfinishedHeaderBytes)))
	}},
	{"many_fields", "headers of very many short fields take many times their size", func(c *client) {
		c.sendAndHold(c.header(shortFields))
	}},
	{"empty_lines", "empty lines without end before a request fill the memory", func(c *client) {
		c.sendAndHold(strings.Repeat("\r\n", endlessBytes/2))
	}},
}

// invocation returns the frames of a call of a method with a name of n bytes, which no daemon has.
func invocation(n int) string { return frames(drpcwire.KindInvoke, 1, strings.Repeat("x", n)) }

// replication returns the frames of a call with n records that are empty.
func replication(n int) string {
	return frames(drpcwire.KindInvoke, 1, "/catkinvalve.peer.Peer/Replicate") + frames(drpcwire.KindMessage, 2, strings.Repeat("\x22\x00", n))
}

// views returns the frames of n calls for the view of a daemon, which contains its configuration.
func views(n int) string {
	var calls strings.Builder
	for i := range n {
		stream := uint64(i + 1)
		invoke := drpcwire.Frame{Data: []byte("/catkinvalve.cell.Links/View"), ID: drpcwire.ID{Stream: stream, Message: 1}, Kind: drpcwire.KindInvoke, Done: true}
		request := drpcwire.Frame{ID: drpcwire.ID{Stream: stream, Message: 2}, Kind: drpcwire.KindMessage, Done: true}
		calls.Write(drpcwire.AppendFrame(drpcwire.AppendFrame(nil, invoke), request))
	}
	return calls.String()
}

// frames returns the frames of a message.
func frames(kind drpcwire.Kind, message uint64, data string) string {
	packet := drpcwire.Packet{Data: []byte(data), ID: drpcwire.ID{Stream: 1, Message: message}, Kind: kind}
	var frames []byte
	_ = drpcwire.SplitN(packet, 0, func(f drpcwire.Frame) error { // The function returns no error.
		frames = drpcwire.AppendFrame(frames, f)
		return nil
	})
	return string(frames)
}

// unfinishedFrame returns the beginning of a frame of n bytes.
func unfinishedFrame(n int) string {
	frame := drpcwire.Frame{Data: make([]byte, n), ID: drpcwire.ID{Stream: 1, Message: 1}, Kind: drpcwire.KindInvoke, Done: true}
	text := drpcwire.AppendFrame(nil, frame)
	return string(text[:len(text)-1])
}

// frameShapes are what clients may send to the ports of daemons for each other.
var frameShapes = []shape{
	{"idle_connections", "connections use up the descriptors", func(*client) { time.Sleep(holdTime) }},
	{"no_frames", "data that consists of no message fills the memory", func(c *client) { c.sendAndHold(strings.Repeat("x", endlessBytes)) }},
	{"unfinished_frames", "frames that stop just before their end fill the memory", func(c *client) { c.sendAndHold(unfinishedFrame(262_000)) }},
	{"large_unfinished_frames", "the same for frames of the size of the largest message", func(c *client) { c.sendAndHold(unfinishedFrame(4_000_000)) }},
	{"unfinished_messages", "messages of many frames that stop just before their end fill the memory", func(c *client) {
		text := invocation(4_000_000)
		c.sendAndHold(text[:len(text)-1])
	}},
	{"unknown_methods", "buffers of large messages that were answered fill the memory", func(c *client) { c.sendAndHold(invocation(4_000_000)) }},
}
