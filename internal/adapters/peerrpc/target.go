// Package peerrpc carries calls between daemons over drpc. Control calls and
// payload calls use separate connections, so that payload traffic cannot delay
// heartbeats and replication.
package peerrpc

import (
	"context"
	"strconv"
	"time"

	"storj.io/drpc/drpcmetadata"
)

// Target is a daemon to call.
type Target struct {
	// ID is the daemon's id, used by the Blocked option.
	ID string
	// Addr is the daemon's peer address.
	Addr string
	// Region selects the payload rate limit.
	Region string
}

// Caller is the daemon that made the call that a server handles.
type Caller struct {
	ID     string
	Region string
}

// Names of the metadata of each call.
const (
	metaDaemon  = "daemon"
	metaRegion  = "region"
	metaTimeout = "timeout_ms"
)

type callerKey struct{}

// CallerFromContext returns the daemon that made the call that ctx belongs to.
func CallerFromContext(ctx context.Context) Caller {
	caller, _ := ctx.Value(callerKey{}).(Caller)
	return caller
}

// withMetadata adds who calls and how long the caller waits.
func withMetadata(ctx context.Context, caller Caller, timeout time.Duration) context.Context {
	return drpcmetadata.AddPairs(ctx, map[string]string{
		metaDaemon:  caller.ID,
		metaRegion:  caller.Region,
		metaTimeout: strconv.FormatInt(timeout.Milliseconds(), 10),
	})
}

// readMetadata returns who calls and how long the caller waits, at most limit.
func readMetadata(ctx context.Context, limit time.Duration) (Caller, time.Duration) {
	meta, _ := drpcmetadata.Get(ctx)
	timeout := limit
	if ms, err := strconv.ParseInt(meta[metaTimeout], 10, 64); err == nil && ms >= 0 && ms < limit.Milliseconds() {
		timeout = time.Duration(ms) * time.Millisecond
	}
	return Caller{ID: meta[metaDaemon], Region: meta[metaRegion]}, timeout
}
