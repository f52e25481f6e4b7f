package httpapi

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"catkinvalve/internal/api"
	"catkinvalve/internal/core/model"
	"catkinvalve/internal/fault"
)

// sendRaw sends text over a new connection and returns the status of the response, or 0
// when the server closed the connection without a response.
func sendRaw(t *testing.T, addr, text string) int {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	assert.NilError(t, err)
	defer conn.Close()
	assert.NilError(t, conn.SetDeadline(time.Now().Add(5*time.Second)))
	_, err = io.WriteString(conn, text)
	assert.NilError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		var timeout net.Error
		assert.Assert(t, !errors.As(err, &timeout) || !timeout.Timeout(), "the server kept the connection open")
		return 0
	}
	defer resp.Body.Close()
	return resp.StatusCode
}

// Guards against callers that occupy memory or connections with large or slow input.
func TestSlowAndLargeInput(t *testing.T) {
	opts := Options{HeaderBytes: 5000, HeaderTimeout: 100 * time.Millisecond, BodyTimeout: 100 * time.Millisecond,
		IdleTimeout: 100 * time.Millisecond, BodyBytes: 100}
	_, addr := startServer(t, &fakeService{}, opts)
	head := "POST /v1/requests HTTP/1.1\r\nHost: a\r\nContent-Type: application/json\r\n"
	for _, c := range []struct {
		name, text string
		status     int
	}{
		{"headers too large", head + "X-Fill: " + strings.Repeat("x", 6000) + "\r\n\r\n", 431},
		{"slow headers", head, 0},
		{"slow body", head + "Content-Length: 50\r\n\r\n{", 408},
		{"slow chunked body", head + "Transfer-Encoding: chunked\r\n\r\n1\r\n{\r\n", 408},
		{"announced too large", head + "Content-Length: 101\r\n\r\n", 413},
		{"chunked too large", head + "Transfer-Encoding: chunked\r\n\r\n80\r\n" + strings.Repeat(" ", 128) + "\r\n0\r\n\r\n", 413},
		{"unread slow body", "GET /v1/status HTTP/1.1\r\nHost: a\r\nContent-Length: 50\r\n\r\n", 400},
		{"idle", "", 0},
	} {
		t.Run(c.name, func(t *testing.T) { assert.Equal(t, sendRaw(t, addr, c.text), c.status) })
	}
}

// Guards against a wait that ends early because the read deadline of the body still applies.
func TestWaitOutlastsBodyTimeout(t *testing.T) {
	waitingSubmit := func(ctx context.Context, r api.SubmitRequest) (api.RequestStatus, error) {
		select {
		case <-ctx.Done():
			return api.RequestStatus{}, ctx.Err()
		case <-time.After(time.Duration(r.WaitMS) * time.Millisecond):
			return api.RequestStatus{Key: r.Key, Fate: model.Done}, nil
		}
	}
	_, addr := startServer(t, &fakeService{submit: waitingSubmit}, Options{BodyTimeout: 50 * time.Millisecond})
	status, f, _ := call(t, "POST", "http://"+addr+"/v1/requests", jsonType, `{"key":"a","service":"s","wait_ms":300}`)
	assert.Equal(t, status, 200, f.Message)
}

// Guards against connections above the limit that get no response, and against closed
// connections that still count towards the limit.
func TestConnectionLimit(t *testing.T) {
	s, addr := startServer(t, &fakeService{}, Options{MaxConns: 2})
	var conns []net.Conn
	for range 2 {
		conn, err := net.Dial("tcp", addr)
		assert.NilError(t, err)
		defer conn.Close()
		fmt.Fprint(conn, "GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n")
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		assert.NilError(t, err)
		resp.Body.Close()
		conns = append(conns, conn)
	}
	assert.Equal(t, sendRaw(t, addr, ""), 429)
	assert.Equal(t, s.report.RefusedConns().Count(), int64(1))
	conns[0].Close()
	for end := time.Now().Add(5 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		if sendRaw(t, addr, "GET /healthz HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n") == 200 {
			return
		}
		assert.Assert(t, time.Now().Before(end), "a closed connection still counts towards the limit")
	}
}

// Guards against waits longer than MaxWait and more waiting calls than MaxWaitingCalls.
func TestWaitLimits(t *testing.T) {
	waits, release := make(chan time.Duration, 1), make(chan struct{})
	fate := func(_ context.Context, key string, wait time.Duration) (api.RequestStatus, error) {
		if wait > 0 {
			waits <- wait
			<-release
		}
		return api.RequestStatus{Key: key, Fate: model.Running}, nil
	}
	s, addr := startServer(t, &fakeService{fate: fate}, Options{MaxWait: 3 * time.Second, MaxWaitingCalls: 1})
	first := make(chan int, 1)
	go func() {
		resp, err := http.Get("http://" + addr + "/v1/requests/a?wait_ms=9223372036854775807")
		if err != nil {
			first <- 0
			return
		}
		resp.Body.Close()
		first <- resp.StatusCode
	}()
	assert.Equal(t, <-waits, 3*time.Second)
	status, f, _ := call(t, "GET", "http://"+addr+"/v1/requests/a?wait_ms=1", "", "")
	assert.Equal(t, status, 429)
	assert.Equal(t, f.Kind, fault.Overloaded)
	assert.Equal(t, s.waitsRefused.Count(), int64(1))
	status, _, _ = call(t, "GET", "http://"+addr+"/v1/requests/a", "", "")
	assert.Equal(t, status, 200, "a call without a wait needs no slot")
	close(release)
	assert.Equal(t, <-first, 200)
}
