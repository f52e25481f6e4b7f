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

// counters are the counts of all stand-ins that run requests.
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

// overloads rejects workers that were given more than their capacity.
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

// doubles rejects tasks that ran twice at the same time on workers of one data
// centre, and keys that both the new and the old system ran. The counters do
// not tell whether runs in two data centres overlapped: a task that was
// preempted in one may go on in another.
func (c counters) doubleRuns() []string {
	var out []string
	for dc, f := range c.fleets {
		if f.ConcurrentRuns > 0 {
			out = append(out, fmt.Sprintf("workers of %s counted %d starts of a task that ran", dc, f.ConcurrentRuns))
		}
		for id, w := range f.Workers {
			if w.DoubleStarts > 0 {
				out = append(out, fmt.Sprintf("worker %s counted %d starts of a task that it ran", id, w.DoubleStarts))
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

// runs returns the most starts of any task of a key, over all data centres and
// the old system.
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

// moreThanOnce rejects a key of which a task was started twice.
func (c counters) repeatedStarts(key string) []string {
	if n := c.maxStarts(key); n > 1 {
		return []string{fmt.Sprintf("key %s was started %d times", key, n)}
	}
	return nil
}

// falseFates rejects fates that the stand-ins' counters contradict.
func (c counters) falseFates(keys map[string]callerRecord) []string {
	var out []string
	for key, t := range keys {
		n, finalFates := c.maxStarts(key), t.finalFates()
		if t.toldNotRun() && n > 0 {
			out = append(out, fmt.Sprintf("callers of %s were told that it did not run (%v), but it was started %d times", key, t.reasons, n))
		}
		if (t.fates[model.Done] || t.fates[model.Cancelled]) && n == 0 {
			out = append(out, fmt.Sprintf("callers of %s were told %q, but it was never started", key, finalFates))
		}
		if len(finalFates) > 1 {
			out = append(out, fmt.Sprintf("callers of %s were told different final fates: %q", key, finalFates))
		}
	}
	return out
}

// foreignAnswers rejects answers that are not the complete answer to the key.
func wrongAnswers(keys map[string]callerRecord) []string {
	var out []string
	for key, t := range keys {
		for a := range t.answers {
			if !slices.Contains(t.expectedAnswers(), a) {
				out = append(out, fmt.Sprintf("a caller of %s got the answer %q, want one of %q", key, a, t.expectedAnswers()))
			}
		}
	}
	return out
}

// lostAnswers rejects requests whose key contains part and whose callers saw a
// call end without an answer. A refused connection is none: nothing was sent.
func lostAnswers(keys map[string]callerRecord, part string) []string {
	var out []string
	for key, t := range keys {
		for _, kind := range []fault.Kind{fault.FateUnknownYet, fault.Internal} {
			if strings.Contains(key, part) && t.reasons[string(kind)] {
				out = append(out, fmt.Sprintf("a caller of %s got no answer (%s)", key, kind))
			}
		}
	}
	return out
}
