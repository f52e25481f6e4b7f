package loadgen

import (
	"errors"
	"time"
)

// Limits of the options.
const (
	MaxRate        = 100_000 // requests per second
	MaxConnections = 10_000
	MaxDuration    = 24 * time.Hour
	// fateWaitMS is how long one call waits for a final fate, in milliseconds. The
	// call is repeated for longer waits.
	fateWaitMS = 2000
	// retryInterval is the time before a failed call is repeated.
	retryInterval = 200 * time.Millisecond
)

// Options configure a run.
type Options struct {
	// Servers are the base URLs of the daemons.
	Servers []string
	// Rate is the mean number of arrivals per second.
	Rate float64
	// Count and Duration bound the arrivals; a Count of 0 sets no limit.
	Count    int
	Duration time.Duration
	// Connections is the largest number of requests in progress. Arrivals beyond it
	// wait, which counts towards the time to acceptance.
	Connections int
	Seed        uint64
	// Mix holds the services of the load; an empty one means equal weights.
	Mix []ServiceWeight
	// KeyPrefix distinguishes the keys of several runs.
	KeyPrefix string
	// RunMS replaces the run time of the services, in milliseconds; 0 keeps it.
	RunMS int64
	// FateTimeout bounds the time from the planned arrival of a request to its final
	// fate.
	FateTimeout time.Duration
}

func (o Options) validate() error {
	switch {
	case len(o.Servers) == 0:
		return errors.New("at least one server is required")
	case o.Rate <= 0 || o.Rate > MaxRate:
		return errors.New("rate must be above 0 and at most 100000")
	case o.Duration <= 0 || o.Duration > MaxDuration:
		return errors.New("duration must be above 0 and at most 24h")
	case o.Count < 0:
		return errors.New("count must not be negative")
	case o.Connections <= 0 || o.Connections > MaxConnections:
		return errors.New("connections must be from 1 to 10000")
	case o.FateTimeout <= 0:
		return errors.New("fate timeout must be above 0")
	case o.RunMS < 0:
		return errors.New("run time must not be negative")
	}
	return nil
}
