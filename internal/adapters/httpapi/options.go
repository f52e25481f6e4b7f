package httpapi

import (
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"catkinvalve/internal/telemetry"
)

// Options are the limits and collaborators of a Server. Zero fields take the
// values of DefaultOptions.
type Options struct {
	// BodyBytes is the maximum size of a request body.
	BodyBytes int64
	// HeaderBytes is the maximum size of the request line and headers. Values
	// below headerSlopBytes act like headerSlopBytes.
	HeaderBytes int
	// HeaderTimeout limits reading the headers, BodyTimeout the body and
	// WriteTimeout writing the answer.
	HeaderTimeout time.Duration
	BodyTimeout   time.Duration
	WriteTimeout  time.Duration
	// IdleTimeout limits the time between two calls on one connection.
	IdleTimeout time.Duration
	// MaxConns is the maximum number of open connections.
	MaxConns int
	// MaxWait caps the wait that a caller may ask for.
	MaxWait time.Duration
	// MaxWaitingCalls is the maximum number of calls that wait at the same time.
	MaxWaitingCalls int
	// CallTimeout limits a call in addition to its wait.
	CallTimeout time.Duration

	Registry   metrics.Registry
	Histograms *telemetry.Histograms
	Log        *logrus.Entry
}

// DefaultOptions returns limits for an entry daemon with 32 MB of memory for
// control: 64 full bodies in flight would take half of it.
func DefaultOptions() Options {
	return Options{
		BodyBytes:       256 << 10,
		HeaderBytes:     16 << 10,
		HeaderTimeout:   5 * time.Second,
		BodyTimeout:     10 * time.Second,
		WriteTimeout:    10 * time.Second,
		IdleTimeout:     60 * time.Second,
		MaxConns:        2048,
		MaxWait:         60 * time.Second,
		MaxWaitingCalls: 1024,
		CallTimeout:     10 * time.Second,
	}
}

// withDefaults fills zero fields.
func (o Options) withDefaults() Options {
	d := DefaultOptions()
	setDefault(&o.BodyBytes, d.BodyBytes)
	setDefault(&o.HeaderBytes, d.HeaderBytes)
	setDefault(&o.HeaderTimeout, d.HeaderTimeout)
	setDefault(&o.BodyTimeout, d.BodyTimeout)
	setDefault(&o.WriteTimeout, d.WriteTimeout)
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
