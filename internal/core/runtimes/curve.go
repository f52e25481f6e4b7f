package runtimes

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// defaultSlope is the slope without any runs: estimates are neither exact nor useless.
	defaultSlope = 0.5
	// slopePrior is the sum of squared deviations of logarithms of estimates that the expected
	// slope counts as much as.
	slopePrior = 2.0
)

// curve is the distribution of the logarithm of the run time, in two parts: a linear fit to the
// logarithm of the estimate, and the distribution of the rest.
type curve struct {
	// slope is 1 if run times are proportional to estimates and 0 if estimates are not informative.
	slope float64
	// meanEstimate is the mean logarithm of the estimates.
	meanEstimate float64
	// fitted is set if a complete run had an estimate. Without it slope does not apply.
	fitted bool
	// points are those of the distribution of logarithms of run times for meanEstimate.
	points []point
	// longest is the largest value, complete or not.
	longest float64
	// complete counts the complete runs, and runs is their effective number after forgetting.
	complete int
	runs     float64
}

// point says that a share of the runs do not exceed a value.
type point struct{ value, share float64 }

// weighted is a run as a value of the distribution.
type weighted struct {
	value, weight float64
	censored      bool
}

func newCurve(w *runWindow, priorSlope float64) curve {
	c := curve{slope: priorSlope}
	c.fit(w)
	values := make([]weighted, len(w.samples))
	for age := range values {
		s := w.at(age)
		value := float64(s.time) / logScale
		if s.estimate != noEstimate && c.fitted {
			value -= c.slope * (float64(s.estimate)/logScale - c.meanEstimate)
		}
		values[age] = weighted{value, weights[age], s.censored}
	}
	c.setPoints(values)
	return c
}

// fit computes the slope from the complete runs with estimates. The slope is drawn to the
// expected one while the runs are few or their estimates hardly differ.
func (c *curve) fit(w *runWindow) {
	total, meanTime := 0.0, 0.0
	c.eachFitted(w, func(weight, estimate, time float64) {
		total += weight
		c.meanEstimate += weight * estimate
		meanTime += weight * time
	})
	if total == 0 {
		return
	}
	c.fitted = true
	c.meanEstimate /= total
	meanTime /= total
	squares, products := slopePrior, slopePrior*c.slope
	c.eachFitted(w, func(weight, estimate, time float64) {
		squares += weight * (estimate - c.meanEstimate) * (estimate - c.meanEstimate)
		products += weight * (estimate - c.meanEstimate) * (time - meanTime)
	})
	c.slope = min(max(products/squares, 0), 1)
}

// eachFitted calls f with the complete runs that have an estimate.
func (c *curve) eachFitted(w *runWindow, f func(weight, estimate, time float64)) {
	for age := range w.samples {
		if s := w.at(age); !s.censored && s.estimate != noEstimate {
			f(weights[age], float64(s.estimate)/logScale, float64(s.time)/logScale)
		}
	}
}

// setPoints computes the distribution by the Kaplan-Meier estimator: the weight of a run that is
// not complete passes to the longer ones.
func (c *curve) setPoints(values []weighted) {
	slices.SortFunc(values, func(a, b weighted) int {
		return cmp.Or(cmp.Compare(a.value, b.value), compareBool(a.censored, b.censored))
	})
	atRisk, squares, completeWeight := 0.0, 0.0, 0.0
	for _, v := range values {
		atRisk += v.weight
		if !v.censored {
			c.complete++
			completeWeight += v.weight
			squares += v.weight * v.weight
		}
	}
	if c.complete == 0 {
		return
	}
	c.runs = completeWeight * completeWeight / squares
	// The k-th of n values is on average not exceeded by k/(n+1) of the next ones.
	scale := c.runs / (c.runs + 1)
	c.longest = values[len(values)-1].value
	c.points = make([]point, 0, c.complete)
	longer := 1.0
	for _, v := range values {
		if !v.censored {
			longer *= max(1-v.weight/atRisk, 0)
			c.points = append(c.points, point{v.value, (1 - longer) * scale})
		}
		atRisk -= v.weight
	}
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// shift returns what an estimate adds to the values of the distribution.
func (c *curve) shift(estimate time.Duration) float64 {
	if estimate <= 0 || !c.fitted {
		return 0
	}
	return c.slope * (math.Log(estimate.Seconds()) - c.meanEstimate)
}

const (
	// testedErrors is by how many standard errors two quantiles must differ.
	testedErrors = 2.0
	// medianError and highError are the standard errors of the median and of the 90th percentile of a normal
	// distribution, as multiples of its standard deviation over the root of the number of runs.
	medianError = 1.25
	highError   = 1.71
	// highDeviation is the 90th percentile of the standard normal distribution.
	highDeviation = 1.28
)

// differs reports whether the run times differ, in the median or the 90th percentile, from those of a wider
// distribution by more than chance explains. Both are compared for the mean estimate of c.
func (c *curve) differs(wider *curve) bool {
	if c.runs == 0 || wider.runs == 0 {
		return false
	}
	shift := 0.0
	if c.fitted && wider.fitted {
		shift = wider.slope * (c.meanEstimate - wider.meanEstimate)
	}
	median, high := wider.quantile(0.5), wider.quantile(0.9)
	deviation := (high - median) / highDeviation / math.Sqrt(c.runs)
	return math.Abs(c.quantile(0.5)-median-shift) > testedErrors*medianError*deviation ||
		math.Abs(c.quantile(0.9)-high-shift) > testedErrors*highError*deviation
}

// quantile returns the value that a share of the runs do not exceed, between two points by linear
// interpolation.
func (c *curve) quantile(share float64) float64 {
	at, _ := slices.BinarySearchFunc(c.points, share, func(p point, share float64) int { return cmp.Compare(p.share, share) })
	switch at {
	case 0:
		return c.points[0].value
	case len(c.points):
		return c.longest
	}
	a, b := c.points[at-1], c.points[at]
	return a.value + (b.value-a.value)*(share-a.share)/(b.share-a.share)
}

// share returns the share of the runs that do not exceed a value.
func (c *curve) share(value float64) float64 {
	at, _ := slices.BinarySearchFunc(c.points, value, func(p point, value float64) int { return cmp.Compare(p.value, value) })
	switch at {
	case 0:
		return 0
	case len(c.points):
		return c.points[at-1].share
	}
	a, b := c.points[at-1], c.points[at]
	return a.share + (b.share-a.share)*(value-a.value)/(b.value-a.value)
}
