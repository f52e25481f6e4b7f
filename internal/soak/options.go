// Package soak runs a cluster of real processes under a seeded load and a seeded
// schedule of faults. Afterwards it checks that no request was lost, started twice
// or wrongly reported as not run, that no worker was overloaded, and that no
// configuration revision was reverted.
package soak

import (
	"errors"
	"io"
	"time"

	"catkinvalve/internal/core/model"
	"catkinvalve/internal/testbed"
)

// Options configure a run.
type Options struct {
	// Bin is the directory of the built programs.
	Bin string
	// Seconds is the duration of the load, from 1 to 86400.
	Seconds int
	Seed    uint64
	// Rate is the number of new keys per second, at most 1000; 0 means DefaultRate.
	Rate float64
	// Kinds limits the kinds of faults; nil allows all.
	Kinds []Kind
	// Out receives the schedule and the progress; nil discards them.
	Out io.Writer
}

// DefaultRate is in keys per second. It gives thousands of keys a minute and leaves
// spare capacity for the work that faults delay.
const DefaultRate = 50

// Bounds of a run.
const (
	maxSeconds = 24 * 3600
	maxRate    = 1000
	// startTimeout bounds the start of all processes and the first elections.
	startTimeout = 30 * time.Second
	// recoveryTimeout bounds each wait for the cell's recovery after the end of
	// the faults, up to the last fate.
	recoveryTimeout = 45 * time.Second
	// propagationTimeout is the longest time in which a configuration reaches all
	// daemons (section 1 of the design page).
	propagationTimeout = 19 * time.Second
	// callTimeout bounds one call, in addition to the time that it may wait on the
	// server side.
	callTimeout = 4 * time.Second
)

// Timings of the daemons, shorter than the defaults so that a run of a minute has
// several takeovers. The lease TTL keeps its default: with a renewal interval of
// 1 s it must be more than 2 s.
const (
	leaseTTL  = 3 * time.Second
	taskGrace = 4 * time.Second
	usageLag  = time.Second
)

// topology lists the data centres of the cluster under test.
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
