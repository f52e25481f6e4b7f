package peerrpc

import (
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"catkinvalve/internal/telemetry"
)

// readerSlackBytes is added to the limit of drpc's read buffer. Besides the message the
// buffer holds the beginning of the next frames, which have up to 64 KiB each.
const readerSlackBytes = 256 << 10

// Options configure a client or a server. Zero fields take defaults, except that there is
// no rate limit when PayloadBytesPerSecond is 0.
type Options struct {
	// Self identifies this daemon. The payload rate within its region is not limited.
	Self Caller
	// MaxMessageBytes is the maximum size of a message or response.
	MaxMessageBytes int
	// CallTimeout limits the duration of a call, not counting the wait that it requests.
	CallTimeout time.Duration
	// MaxWait limits the wait of Submit and Fate calls; longer ones are shortened.
	MaxWait time.Duration
	// WriteTimeout limits each write to a connection.
	WriteTimeout time.Duration
	// IdleTimeout is how long an unused connection stays open. A client closes its
	// connections after half of it, so that it does not use a connection that the server
	// is closing.
	IdleTimeout time.Duration
	// PayloadBytesPerSecond limits the payload calls that a client sends to each remote
	// region, and the responses to payload calls that a server sends to each.
	PayloadBytesPerSecond int
	// Blocked, if set, reports whether the link to a daemon is blocked: a client sends
	// nothing to the daemon, and a server closes the connections of its calls. It is used
	// for fault injection.
	Blocked func(daemonID string) bool

	// DialTimeout limits connecting, and PoolTimeout limits waiting for a connection when
	// all connections to a peer are busy (client).
	DialTimeout time.Duration
	PoolTimeout time.Duration
	// MaxControlConns and MaxPayloadConns limit the connections to each peer for control
	// and payload calls (client).
	MaxControlConns int
	MaxPayloadConns int

	// MaxConns is the maximum number of open connections (server).
	MaxConns int

	Registry metrics.Registry
	Log      *logrus.Entry
}

// withDefaults returns o with defaults in its zero fields.
func (o Options) withDefaults() Options {
	setDefault(&o.MaxMessageBytes, 4<<20)
	setDefault(&o.CallTimeout, 5*time.Second)
	setDefault(&o.MaxWait, time.Minute)
	setDefault(&o.WriteTimeout, 5*time.Second)
	setDefault(&o.IdleTimeout, time.Minute)
	setDefault(&o.DialTimeout, time.Second)
	setDefault(&o.PoolTimeout, 100*time.Millisecond)
	setDefault(&o.MaxControlConns, 4)
	setDefault(&o.MaxPayloadConns, 64)
	// At the target scale 80 other daemons use up to 68 connections each.
	setDefault(&o.MaxConns, 6000)
	if o.Blocked == nil {
		o.Blocked = func(string) bool { return false }
	}
	if o.Registry == nil {
		o.Registry = metrics.NewRegistry()
	}
	if o.Log == nil {
		o.Log = telemetry.DiscardLogger()
	}
	return o
}

func setDefault[T int | time.Duration](field *T, value T) {
	if *field <= 0 {
		*field = value
	}
}

// cappedWait converts the wait of a message to a duration between 0 and MaxWait.
func (o Options) cappedWait(ms int64) time.Duration {
	return time.Duration(min(max(ms, 0), o.MaxWait.Milliseconds())) * time.Millisecond
}
