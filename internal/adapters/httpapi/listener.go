package httpapi

import (
	"fmt"
	"net/http"
	"time"

	"catkinvalve/internal/fault"
	"catkinvalve/internal/intake"
)

// minIdleTime is how long a connection must have been unused before it may be closed for a new one.
const minIdleTime = 2 * time.Second

// clientLimits returns the limits of the listener.
func (o Options) clientLimits() intake.Limits {
	limits := o.Clients
	limits.LimitConns(o.MaxConns)
	limits.MinIdle = minIdleTime
	return limits
}

// connRetrySeconds is when a caller whose connection was refused may try again.
const connRetrySeconds = 1

// refusalResponse returns the whole HTTP response to a connection above the limit.
func refusalResponse(limit int) []byte {
	e := fault.New(fault.Overloaded, "retry later or through another daemon; nothing was read from this connection",
		"the daemon has %d open connections, its limit", limit)
	body := errorBody(e)
	head := fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\nRetry-After: %d\r\nConnection: close\r\n\r\n",
		e.HTTPStatus(), http.StatusText(e.HTTPStatus()), len(body), connRetrySeconds)
	return append([]byte(head), body...)
}
