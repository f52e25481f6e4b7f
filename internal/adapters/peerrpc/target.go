// Package peerrpc implements calls between daemons over drpc. Control calls and payload
// calls use separate connections, so that payload traffic cannot delay heartbeats and
// replication.
package peerrpc

import (
	"context"
	"strconv"
	"time"

	"storj.io/drpc/drpcmetadata"
)

// Target identifies the daemon that a client calls.
type Target struct {
	// ID is the daemon's ID, which the Blocked option receives.
	ID string
	// Addr is the daemon's peer address.
	Addr string
	// Region is the daemon's region, to which the payload rate limit applies.
	Region string
}

// Caller identifies the daemon that made a call.
type Caller struct {
	ID     string
	Region string
}

// Metadata keys of each call.
const (
	metaDaemon  = "daemon"
	metaRegion  = "region"
	metaTimeout = "timeout_ms"
)

type callerKey struct{}

// CallerFromContext returns the caller of the call whose handler received ctx, or a zero
// Caller when there is none.
func CallerFromContext(ctx context.Context) Caller {
	caller, _ := ctx.Value(callerKey{}).(Caller)
	return caller
}

// withMetadata adds the caller and its timeout to the metadata of a call.
func withMetadata(ctx context.Context, caller Caller, timeout time.Duration) context.Context {
	return drpcmetadata.AddPairs(ctx, map[string]string{
		metaDaemon:  caller.ID,
		metaRegion:  caller.Region,
		metaTimeout: strconv.FormatInt(timeout.Milliseconds(), 10),
	})
}

// readMetadata returns the caller and its timeout, which is at most limit.
func readMetadata(ctx context.Context, limit time.Duration) (Caller, time.Duration) {
	meta, _ := drpcmetadata.Get(ctx)
	timeout := limit
	if ms, err := strconv.ParseInt(meta[metaTimeout], 10, 64); err == nil && ms >= 0 && ms < limit.Milliseconds() {
		timeout = time.Duration(ms) * time.Millisecond
	}
	return Caller{ID: meta[metaDaemon], Region: meta[metaRegion]}, timeout
}
