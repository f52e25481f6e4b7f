package scenarios

import (
	"context"
	"fmt"
	"slices"
	"strings"

	"catkinvalve/internal/core/model"
	"catkinvalve/internal/fault"
	"catkinvalve/internal/standinapi"
	"catkinvalve/internal/testbed"
)

// counters holds the counters of the workers by data centre and of the old system.
type counters struct {
	fleets map[string]standinapi.FleetStats
	old    standinapi.OldStats
}

func readCounters(ctx context.Context, c *testbed.Cluster) (counters, error) {
	out := counters{fleets: map[string]standinapi.FleetStats{}}
	for dc := range c.Workers {
		s, err := c.WorkerStats(ctx, dc)
		if err != nil {
			return out, err
		}
		out.fleets[dc] = s
	}
	var err error
	out.old, err = c.OldStats(ctx)
	return out, err
}

// overloadedWorkers reports workers that received more work than their capacity.
func (c counters) overloadedWorkers() []string {
	var out []string
	for _, f := range c.fleets {
		for id, w := range f.Workers {
			if w.OverCapacityStarts > 0 || !w.MaxInUse.Fits(w.Capacity) {
				out = append(out, fmt.Sprintf("worker %s was overloaded by %d starts: used up to %+v of %+v", id, w.OverCapacityStarts, w.MaxInUse, w.Capacity))
			}
		}
	}
	return out
}

// doubleRuns reports tasks that ran twice at the same time on workers of one data
// centre, and keys that both the new and the old system ran. The counters do not
// show whether runs in two data centres overlapped: a task that was preempted in one
// may continue in another.
func (c counters) doubleRuns() []string {
	var out []string
	for dc, f := range c.fleets {
		if f.ConcurrentRuns > 0 {
			out = append(out, fmt.Sprintf("workers of %s counted %d starts of a task that was already running", dc, f.ConcurrentRuns))
		}
		for id, w := range f.Workers {
			if w.DoubleStarts > 0 {
				out = append(out, fmt.Sprintf("worker %s counted %d starts of a task that it was already running", id, w.DoubleStarts))
			}
		}
		for key := range f.StartsPerKey {
			if c.old.RunsPerKey[key] > 0 {
				out = append(out, fmt.Sprintf("key %s ran in %s and in the old system", key, dc))
			}
		}
	}
	return out
}

// maxStarts returns the number of starts of the task of a key that was started most
// often, over all data centres, plus the runs of the key in the old system.
func (c counters) maxStarts(key string) int {
	byTask := map[string]int{}
	for _, f := range c.fleets {
		for task, n := range f.StartsPerKey[key] {
			byTask[task] += n
		}
	}
	most := 0
	for _, n := range byTask {
		most = max(most, n)
	}
	return most + c.old.RunsPerKey[key]
}

// repeatedStarts reports a key if one of its tasks was started more than once.
func (c counters) repeatedStarts(key string) []string {
	if n := c.maxStarts(key); n > 1 {
		return []string{fmt.Sprintf("key %s was started %d times", key, n)}
	}
	return nil
}

// falseFates reports fates that contradict the counters of the stand-ins.
func (c counters) falseFates(keys map[string]callerRecord) []string {
	var out []string
	for key, rec := range keys {
		n, finalFates := c.maxStarts(key), rec.finalFates()
		if rec.toldNotRun() && n > 0 {
			out = append(out, fmt.Sprintf("callers of %s were told that it did not run (%v), but it was started %d times", key, rec.reasons, n))
		}
		if (rec.fates[model.Done] || rec.fates[model.Cancelled]) && n == 0 {
			out = append(out, fmt.Sprintf("callers of %s were told %q, but it was never started", key, finalFates))
		}
		if len(finalFates) > 1 {
			out = append(out, fmt.Sprintf("callers of %s were told different final fates: %q", key, finalFates))
		}
	}
	return out
}

// wrongAnswers reports answers that are not the complete answer to their key.
func wrongAnswers(keys map[string]callerRecord) []string {
	var out []string
	for key, rec := range keys {
		for a := range rec.answers {
			if !slices.Contains(rec.expectedAnswers(), a) {
				out = append(out, fmt.Sprintf("a caller of %s got the answer %q, want one of %q", key, a, rec.expectedAnswers()))
			}
		}
	}
	return out
}

// lostAnswers reports requests whose key contains part and of which a call ended
// without an answer. A refused connection does not count, because nothing was sent.
func lostAnswers(keys map[string]callerRecord, part string) []string {
	var out []string
	for key, rec := range keys {
		for _, kind := range []fault.Kind{fault.FateUnknownYet, fault.Internal} {
			if strings.Contains(key, part) && rec.reasons[string(kind)] {
				out = append(out, fmt.Sprintf("a caller of %s got no answer (%s)", key, kind))
			}
		}
	}
	return out
}
