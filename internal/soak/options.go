// Package soak runs a cluster of real processes under a seeded load and a
// seeded schedule of faults, and checks afterwards that nothing was lost,
// doubled, overloaded, reverted or falsely reported as not run.
package soak

import (
	"errors"
	"io"
	"time"

	"catkinvalve/internal/core/model"
	"catkinvalve/internal/testbed"
)

// Options describe a run.
type Options struct {
	// Bin is the directory of the built programs.
	Bin string
	// Seconds is the length of the load.
	Seconds int
	Seed    uint64
	// Rate is the number of new keys a second; 0 takes DefaultRate.
	Rate float64
	// Kinds limits the faults; nil means all.
	Kinds []Kind
	Out   io.Writer
}

// DefaultRate gives thousands of keys a minute and leaves room for the work
// that faults delay.
const DefaultRate = 50

// Bounds of a run.
const (
	maxSeconds = 24 * 3600
	maxRate    = 1000
	// startLimit bounds the start of all processes and the first elections.
	startTimeout = 30 * time.Second
	// settleLimit bounds the time from the end of the faults to the last fate.
	recoveryTimeout = 45 * time.Second
	// effectLimit is the bound on a configuration's way to all daemons,
	// section 1 of the design page.
	propagationTimeout = 19 * time.Second
	callTimeout        = 4 * time.Second
)

// Timings of the daemons, shorter than the defaults so that a run of a minute
// sees several takeovers. The lease TTL keeps its default: a renewal interval
// of 1 s needs more than 2 s.
const (
	leaseTTL  = 3 * time.Second
	taskGrace = 4 * time.Second
	usageLag  = time.Second
)

// shape is the cluster of a run.
var topology = []testbed.DC{
	{Name: "north-a", Region: "north", Workers: 5, Daemons: 2},
	{Name: "north-b", Region: "north", Workers: 5, Daemons: 2},
	{Name: "south-a", Region: "south", Workers: 4, Daemons: 2},
}

var workerCapacity = model.Size{MilliCPU: 16000, MemMB: 32768, Slots: 8, Conns: 64}

func (o Options) validate() error {
	switch {
	case o.Seconds < 1 || o.Seconds > maxSeconds:
		return errors.New("seconds must be from 1 to 86400")
	case o.Rate < 0 || o.Rate > maxRate:
		return errors.New("rate must be from 0 to 1000")
	}
	return nil
}

func (o Options) length() time.Duration { return time.Duration(o.Seconds) * time.Second }
