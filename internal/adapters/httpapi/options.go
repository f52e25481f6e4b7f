package httpapi

import (
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"catkinvalve/internal/intake"
	"catkinvalve/internal/telemetry"
)

// Options configure a Server. Zero fields take the values of DefaultOptions.
type Options struct {
	// BodyBytes is the maximum size of a request body.
	BodyBytes int64
	// HeaderBytes is the maximum size of the request line and headers. Values below
	// headerSlackBytes (4096) have the same effect as headerSlackBytes.
	HeaderBytes int
	// HeaderTimeout limits reading the headers and BodyTimeout reading the body.
	HeaderTimeout time.Duration
	BodyTimeout   time.Duration
	// IdleTimeout limits the time between two calls on a connection.
	IdleTimeout time.Duration
	// MaxConns is the maximum number of open connections.
	MaxConns int
	// Clients limits the connections further, and the memory of requests.
	Clients intake.Limits
	// MaxWait limits the wait that a caller can request; longer ones are shortened.
	MaxWait time.Duration
	// MaxWaitingCalls is the maximum number of calls that wait for a final fate at the same
	// time.
	MaxWaitingCalls int
	// CallTimeout limits the duration of a call, not counting its wait.
	CallTimeout time.Duration

	Registry   metrics.Registry
	Histograms *telemetry.Histograms
	Log        *logrus.Entry
}

// DefaultOptions returns the limits of a small entry daemon.
func DefaultOptions() Options {
	return Options{
		BodyBytes:       256 << 10,
		HeaderBytes:     16 << 10,
		HeaderTimeout:   5 * time.Second,
		BodyTimeout:     10 * time.Second,
		IdleTimeout:     60 * time.Second,
		MaxConns:        2048,
		MaxWait:         60 * time.Second,
		MaxWaitingCalls: 1024,
		CallTimeout:     10 * time.Second,
	}
}

// withDefaults returns o with defaults in its zero fields.
func (o Options) withDefaults() Options {
	d := DefaultOptions()
	setDefault(&o.BodyBytes, d.BodyBytes)
	setDefault(&o.HeaderBytes, d.HeaderBytes)
	setDefault(&o.HeaderTimeout, d.HeaderTimeout)
	setDefault(&o.BodyTimeout, d.BodyTimeout)
	setDefault(&o.IdleTimeout, d.IdleTimeout)
	setDefault(&o.MaxConns, d.MaxConns)
	setDefault(&o.MaxWait, d.MaxWait)
	setDefault(&o.MaxWaitingCalls, d.MaxWaitingCalls)
	setDefault(&o.CallTimeout, d.CallTimeout)
	if o.Registry == nil {
		o.Registry = metrics.NewRegistry()
	}
	if o.Histograms == nil {
		o.Histograms = telemetry.NewHistograms(o.Registry, telemetry.DefaultMaxPairs)
	}
	if o.Log == nil {
		o.Log = telemetry.DiscardLogger()
	}
	return o
}

func setDefault[T int | int64 | time.Duration](field *T, value T) {
	if *field <= 0 {
		*field = value
	}
}
