package peerrpc

import (
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"catkinvalve/internal/telemetry"
)

// readerSlackBytes is added to the message limit of drpc's reader, which also
// counts the start of the next frames in its buffer. Frames have up to 64 KiB.
const readerSlackBytes = 256 << 10

// Options are the limits and collaborators of a client or a server. Zero
// fields take defaults; zero PayloadBytesPerSecond means no rate limit.
type Options struct {
	// Self is this daemon. Its region has no payload rate limit.
	Self Caller
	// MaxMessageBytes is the maximum size of a message.
	MaxMessageBytes int
	// CallTimeout limits a call in addition to the wait that it asks for.
	CallTimeout time.Duration
	// MaxWait caps the wait of Submit and Fate calls.
	MaxWait time.Duration
	// WriteTimeout limits one write to a connection.
	WriteTimeout time.Duration
	// IdleTimeout is how long an unused connection stays open. A client closes
	// its connections after half of it, so that it does not pick one that the
	// server is closing.
	IdleTimeout time.Duration
	// PayloadBytesPerSecond limits the payload calls that a client sends to
	// each remote region and the payload answers that a server sends there.
	PayloadBytesPerSecond int
	// Blocked, if set, cuts the link to a daemon: a client sends nothing to it
	// and a server drops its calls. It serves fault injection.
	Blocked func(daemonID string) bool

	// DialTimeout limits connecting, and PoolTimeout waiting for a connection
	// when all of a peer's are busy (client).
	DialTimeout time.Duration
	PoolTimeout time.Duration
	// MaxControlConns and MaxPayloadConns are the maximum numbers of connections to
	// one peer (client).
	MaxControlConns int
	MaxPayloadConns int

	// MaxConns is the maximum number of open connections (server).
	MaxConns int

	Registry metrics.Registry
	Log      *logrus.Entry
}

// withDefaults fills zero fields.
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
	// 80 other daemons at the target scale use up to 68 connections each.
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

// cappedWait converts the wait of a message.
func (o Options) cappedWait(ms int64) time.Duration {
	return time.Duration(min(max(ms, 0), o.MaxWait.Milliseconds())) * time.Millisecond
}
