package httpapi

import (
	"context"
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
	"catkinvalve/internal/intake"
)

// Guards against a body for which there is no memory that is read nevertheless, or refused without
// saying when to try again.
func TestBodyWithoutRoomIsRefused(t *testing.T) {
	_, addr := startServer(t, &fakeService{}, Options{BodyBytes: 1 << 20, Clients: intake.Limits{Bytes: 256 << 10}})
	status, f, header := call(t, "POST", "http://"+addr+"/v1/requests", jsonType, strings.Repeat(" ", 300<<10))
	assert.Equal(t, status, http.StatusTooManyRequests)
	assert.Equal(t, f.Kind, fault.Overloaded)
	assert.Equal(t, header.Get("Retry-After"), "1")
	status, f, _ = call(t, "POST", "http://"+addr+"/v1/requests", jsonType, `{"key":"a","service":"s"}`)
	assert.Equal(t, status, http.StatusAccepted, f.Message)
}

// Guards against a single client within the limits that meets one on an idle daemon: the largest
// body, sent slowly.
func TestSlowLargestBodyIsServed(t *testing.T) {
	const bodyBytes = 1 << 20
	s, addr := startServer(t, &fakeService{}, Options{BodyBytes: bodyBytes, Clients: intake.CallerLimits(64, 1024)})
	conn, err := net.Dial("tcp", addr)
	assert.NilError(t, err)
	defer conn.Close()
	_, err = fmt.Fprintf(conn, "POST /v1/requests HTTP/1.1\r\nHost: a\r\nContent-Type: application/json\r\nContent-Length: %d\r\nConnection: close\r\n\r\n", bodyBytes)
	assert.NilError(t, err)
	request := `{"key":"a","service":"s"}`
	body := strings.Repeat(" ", bodyBytes-len(request)) + request
	for i := range 16 {
		time.Sleep(40 * time.Millisecond)
		_, err = io.WriteString(conn, body[i*bodyBytes/16:(i+1)*bodyBytes/16])
		assert.NilError(t, err)
	}
	answer, err := io.ReadAll(conn)
	assert.NilError(t, err)
	assert.Assert(t, strings.HasPrefix(string(answer), "HTTP/1.1 202 "), "%s", answer)
	for s.limiter.Stats().Conns > 0 {
		time.Sleep(time.Millisecond)
	}
	assert.Equal(t, s.limiter.Stats().Bytes, int64(0))
}

// Guards against an answer for which there is no memory and that says that a call with an effect had
// none.
func TestAnswerWithoutRoomIsRefused(t *testing.T) {
	large := strings.Repeat("x", 300<<10)
	submit := func(context.Context, api.SubmitRequest) (api.RequestStatus, error) {
		return api.RequestStatus{Key: "a", Fate: model.Done, Answer: []byte(large)}, nil
	}
	fate := func(context.Context, string, time.Duration) (api.RequestStatus, error) {
		return api.RequestStatus{Key: "a", Fate: model.Done, Answer: []byte(large)}, nil
	}
	_, addr := startServer(t, &fakeService{submit: submit, fate: fate}, Options{Clients: intake.Limits{Bytes: 256 << 10}})
	_, f, header := call(t, "POST", "http://"+addr+"/v1/requests", jsonType, `{"key":"a","service":"s"}`)
	assert.Equal(t, f.Kind, fault.FateUnknownYet)
	assert.Equal(t, header.Get("Retry-After"), "1")
	status, f, _ := call(t, "GET", "http://"+addr+"/v1/requests/a", "", "")
	assert.Equal(t, status, http.StatusTooManyRequests)
	assert.Equal(t, f.Kind, fault.Overloaded)
}
