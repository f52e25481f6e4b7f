package loadgen

import (
	"errors"
	"time"
)

// Limits of a run.
const (
	MaxRate        = 100_000 // requests a second
	MaxConnections = 10_000
	MaxDuration    = 24 * time.Hour
	// waitMS is the wait of one call for a fate; longer waits are repeated.
	fateWaitMS = 2000
	// retryPause is the wait before a failed call is repeated.
	retryInterval = 200 * time.Millisecond
)

// Options describe a run.
type Options struct {
	// Servers are the base URLs of the daemons.
	Servers []string
	// Rate is the number of arrivals a second.
	Rate float64
	// Count and Duration bound the run; a Count of 0 leaves it to Duration.
	Count    int
	Duration time.Duration
	// Connections is the number of requests that are under way at most.
	// Arrivals beyond it wait, which counts as time to acceptance.
	Connections int
	Seed        uint64
	Mix         []ServiceWeight
	// KeyPrefix keeps the keys of several runs apart.
	KeyPrefix string
	// RunMS replaces the run time of the services; 0 keeps it.
	RunMS int64
	// FateTimeout bounds how long a request is followed.
	FateTimeout time.Duration
}

func (o Options) validate() error {
	switch {
	case len(o.Servers) == 0:
		return errors.New("name at least one server")
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
