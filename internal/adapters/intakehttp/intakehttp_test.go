package intakehttp

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"catkinvalve/internal/intake"
)

const maxBodyBytes = 262_144

// startServer serves a handler that answers with the size of the body, or refuses it.
func startServer(t *testing.T, limits intake.Limits, bodyTimeout time.Duration) (string, *intake.Limiter) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	limiter := intake.NewLimiter(limits)
	server := NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := ReadBody(w, r, maxBodyBytes, time.Now().Add(bodyTimeout))
		var refused *intake.RefusedError
		switch {
		case errors.As(err, &refused):
			w.WriteHeader(http.StatusServiceUnavailable)
		case err != nil:
			w.WriteHeader(http.StatusBadRequest)
		default:
			body.Decode(func(data []byte) int64 { fmt.Fprint(w, len(data)); return 0 })
		}
	}))
	go func() { _ = server.Serve(NewListener(l, limiter, func() {})) }() // Serve returns when the server is closed.
	t.Cleanup(func() { _ = server.Close() })
	return l.Addr().String(), limiter
}

// dial opens a connection and sends the beginning of a request.
func dial(t *testing.T, address, text string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	send(t, c, text)
	return c
}

func send(t *testing.T, c net.Conn, text string) {
	t.Helper()
	_, err := io.WriteString(c, text)
	assert.NilError(t, err)
}

// answer reads an answer and returns its status and body.
func answer(t *testing.T, c net.Conn) (int, string) {
	t.Helper()
	assert.NilError(t, c.SetReadDeadline(time.Now().Add(10*time.Second)))
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	assert.NilError(t, err)
	defer r.Body.Close()
	body, err := io.ReadAll(r.Body)
	assert.NilError(t, err)
	return r.StatusCode, string(body)
}

func header(bodyBytes int) string {
	return fmt.Sprintf("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n", bodyBytes)
}

// Guards against a single client within the limits that meets one on an idle system: the largest
// header and body, sent slowly, whole or in chunks, one after the other on a connection.
func TestSlowClientWithinLimitsIsServed(t *testing.T) {
	address, limiter := startServer(t, intake.CallerLimits(144, 4096), 10*time.Second)
	c := dial(t, address, "POST / HTTP/1.1\r\nHost: x\r\n")
	head := fmt.Sprintf("Filler: %s\r\nContent-Length: %d\r\n\r\n", strings.Repeat("x", 16<<10-80), maxBodyBytes)
	for _, part := range []string{head[:10], head[10:9000], head[9000:]} {
		time.Sleep(50 * time.Millisecond)
		send(t, c, part)
	}
	for range 16 {
		time.Sleep(50 * time.Millisecond)
		send(t, c, strings.Repeat("x", maxBodyBytes/16))
	}
	status, body := answer(t, c)
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, body, fmt.Sprint(maxBodyBytes))
	send(t, c, "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"+strings.Repeat("1\r\nx\r\n", 5000)+"0\r\nTrailer: y\r\n\r\n")
	_, body = answer(t, c)
	assert.Equal(t, body, "5000")
	send(t, c, header(3)+"xyz")
	_, body = answer(t, c)
	assert.Equal(t, body, "3")
	assert.NilError(t, c.Close())
	for limiter.Stats().Conns > 0 {
		time.Sleep(time.Millisecond)
	}
	assert.Equal(t, limiter.Stats().Bytes, int64(0))
}

// Guards against an evicted body that gets no answer, and against a server that waits for the rest
// of a refused body.
func TestStalledBodyIsRefusedForAnother(t *testing.T) {
	address, _ := startServer(t, intake.Limits{Bytes: 700 << 10}, time.Minute)
	stalled := dial(t, address, header(maxBodyBytes)+strings.Repeat("x", maxBodyBytes-1))
	time.Sleep(700 * time.Millisecond)
	c := dial(t, address, header(maxBodyBytes)+strings.Repeat("x", maxBodyBytes))
	status, _ := answer(t, c)
	assert.Equal(t, status, http.StatusOK)
	status, _ = answer(t, stalled)
	assert.Equal(t, status, http.StatusServiceUnavailable)
	_, err := stalled.Read(make([]byte, 1))
	assert.ErrorIs(t, err, io.EOF)
}

// Guards against bodies that hold memory after the caller's deadline, and bodies above the limit.
func TestUnfinishedBodies(t *testing.T) {
	address, _ := startServer(t, intake.Limits{}, 100*time.Millisecond)
	for _, request := range []string{header(100) + "x", header(maxBodyBytes + 1),
		"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n50000\r\n" + strings.Repeat("x", 0x50000)} {
		status, _ := answer(t, dial(t, address, request))
		assert.Equal(t, status, http.StatusBadRequest)
	}
}

// Guards against connections above the limit that are accepted, or refused without a reason.
func TestConnectionAboveLimitIsRefused(t *testing.T) {
	address, limiter := startServer(t, intake.Limits{Conns: 1}, time.Minute)
	busy := dial(t, address, header(10))
	for limiter.Stats().Bytes < intake.ConnBytes+20 {
		time.Sleep(time.Millisecond)
	}
	status, _ := answer(t, dial(t, address, ""))
	assert.Equal(t, status, http.StatusServiceUnavailable)
	send(t, busy, "0123456789")
	status, _ = answer(t, busy)
	assert.Equal(t, status, http.StatusOK)
	answer(t, dial(t, address, header(1)+"x"))
}

// Guards against refusals that a client does not receive because the server resets the connection
// on which it is still sending.
func TestRefusalReachesClientThatIsSending(t *testing.T) {
	address, limiter := startServer(t, intake.Limits{Bytes: 64 << 10}, time.Minute)
	c := dial(t, address, header(maxBodyBytes)+strings.Repeat("x", 100<<10))
	for range 3 {
		time.Sleep(50 * time.Millisecond)
		send(t, c, strings.Repeat("x", 10<<10))
	}
	status, _ := answer(t, c)
	assert.Equal(t, status, http.StatusServiceUnavailable)
	for limiter.Stats().Conns > 0 {
		time.Sleep(time.Millisecond)
	}
	assert.Equal(t, limiter.Stats().Bytes, int64(0))
}
