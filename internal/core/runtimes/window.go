package runtimes

import (
	"math"
	"time"
)

const (
	// windowRuns is the number of runs that a window keeps. After a shift no earlier run is left
	// once as many runs have been observed.
	windowRuns = 96
	// forgettingRuns is the number of runs after which the weight of a run has fallen to 1/e.
	forgettingRuns = 64
	// refreshShare is the share of a window that has to be new before its curve is computed again.
	refreshShare = 1.0 / 12
	// logScale is the number of steps of a stored time within a factor of e.
	logScale = 1000
	// noEstimate stands for a missing estimate.
	noEstimate = math.MinInt16
)

// sample is a run. Times are logarithms of seconds times logScale.
type sample struct {
	estimate, time int16
	// censored is set if the run takes at least the time.
	censored bool
}

// encodeTime returns a time in the form in which samples keep it. The range of the
// result covers all times from a nanosecond to centuries.
func encodeTime(d time.Duration) int16 {
	if d <= 0 {
		return noEstimate
	}
	return int16(math.Round(math.Log(d.Seconds()) * logScale))
}

// maxLogTime limits predictions to the range of time.Duration.
var maxLogTime = math.Log(math.MaxInt64/float64(time.Second)) - 1

// decodeTime returns the time with a logarithm.
func decodeTime(log float64) time.Duration {
	return time.Duration(math.Exp(min(log, maxLogTime)) * float64(time.Second))
}

// weights holds the weight of a run by its age in runs.
var weights = func() (w [windowRuns]float64) {
	for age := range w {
		w[age] = math.Exp(-float64(age) / forgettingRuns)
	}
	return w
}()

// runWindow holds the latest runs and what follows from them.
type runWindow struct {
	// samples is a ring of which next is the oldest once it is full.
	samples []sample
	next    int
	// unused counts the samples that curve does not include.
	unused int
	curve  curve
}

// add adds a run and reports whether the curve has changed. priorSlope is the slope that is
// expected without runs.
func (w *runWindow) add(s sample, priorSlope float64) bool {
	if len(w.samples) < windowRuns {
		w.samples = append(w.samples, s)
	} else {
		w.samples[w.next] = s
		w.next = (w.next + 1) % windowRuns
	}
	w.unused++
	if float64(w.unused) < refreshShare*float64(len(w.samples)) {
		return false
	}
	w.refresh(priorSlope)
	return true
}

// refresh computes the curve.
func (w *runWindow) refresh(priorSlope float64) {
	w.unused = 0
	w.curve = newCurve(w, priorSlope)
}

// at returns the run of an age in runs, 0 for the latest.
func (w *runWindow) at(age int) sample {
	n := len(w.samples)
	return w.samples[(w.next+n-1-age)%n]
}
