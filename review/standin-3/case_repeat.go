//go:build review3

package main

import (
	"fmt"
	"time"
)

func init() { cases["repeat"] = playRepeat }

const (
	// repeats is how often the scheduled work runs, and repeatInterval the time between two runs.
	repeats        = 38_000
	repeatInterval = 2 * time.Millisecond
	// splitJobs is the number of jobs into which the work is split without the disruption.
	splitJobs = 19
	// reportAt is when another client hands in its job, the last of the day.
	reportAt = 50 * time.Second
	// finish is finish_s, and lossTime the time for which a job may have nothing running.
	finish   = 14 * time.Second
	lossTime = 3 * time.Second
	judgeAt  = 92 * time.Second
)

// playRepeat runs a scheduled job of many short runs and, beside it, one job of another client. The
// platform's store takes records of at most recordBytes.
func playRepeat(rec *recorder, root, dir string, trouble bool) (int, error) {
	c, err := setup(rec, root, dir, 3, 8, size{32000, 64000}, []route{queue("reports", 1), queue("batch", 2)})
	defer c.stop()
	if err != nil {
		return cannotRun, err
	}
	c.fleet.mu.Lock()
	c.fleet.quiet = true
	c.fleet.mu.Unlock()
	jobs := splitJobs
	if trouble {
		jobs = 1
	}
	begin := time.Now()
	for i := range jobs {
		j := job{Spec: "ms=5", Steps: []step{{Count: 1, CPU: 100, MemMB: 10, EstimatedMs: 5}}, RepeatCount: repeats / jobs,
			IntervalMs: repeatInterval.Milliseconds() * int64(jobs), FirstRunMs: begin.Add(time.Second).UnixMilli() + int64(i)*repeatInterval.Milliseconds()}
		if status := c.submit(0, "/reports/", jobID(i), j); status != 200 {
			return cannotRun, fmt.Errorf("scheduled job %d was answered with %d", i, status)
		}
	}
	other := jobID(1000)
	handedIn, lastStart, starts := false, time.Now(), 0
	// quietSince is since when nothing runs on any worker.
	var quietSince time.Time
	for second := 0; time.Since(begin) < judgeAt; {
		time.Sleep(100 * time.Millisecond)
		if !handedIn && time.Since(begin) >= reportAt {
			handedIn = true
			if status := c.submit(1, "/batch/", other, job{Spec: "ms=25000", Steps: []step{{Count: 1, CPU: 1000, MemMB: 100, EstimatedMs: 25000}}}); status != 200 {
				return cannotRun, fmt.Errorf("the other job was answered with %d", status)
			}
		}
		c.fleet.mu.Lock()
		n, running := 0, 0
		for _, k := range c.fleet.started {
			n += k
		}
		for _, w := range c.fleet.workers {
			running += len(w.runs)
		}
		c.fleet.mu.Unlock()
		if n != starts {
			starts, lastStart = n, time.Now()
		}
		if running > 0 {
			quietSince = time.Time{}
		} else if quietSince.IsZero() {
			quietSince = time.Now()
		}
		if s := int(time.Since(begin).Seconds()); s/5 != second/5 {
			second = s
			c.store.mu.Lock()
			appends, largest, key, tooLarge := c.store.appends, c.store.largest, c.store.largestKey, c.store.tooLarge
			c.store.mu.Unlock()
			rec.add("%d starts, %d run now; the store had %d appends, the largest record is %s with %d bytes, %d appends were refused for a larger one", n, running, appends, key, largest, tooLarge)
		}
	}
	rec.add("workers: %s; the last start was %.1f s ago, nothing runs for %.1f s", c.fleet, time.Since(lastStart).Seconds(), time.Since(quietSince).Seconds())
	rec.add("%d leaders were elected", c.leaderLog("leader_elected"))
	for i, line := range c.linesOf(`"append_refused"`) {
		if i < 3 {
			rec.add("log: %s", line)
		}
	}
	unfinished := 0
	for i := range jobs {
		if state := c.state(i, "/reports/", jobID(i)); state != "completed" {
			unfinished++
			rec.add("GET /reports/%s: %s", jobID(i), state)
		}
	}
	state := c.state(0, "/batch/", other)
	rec.add("GET /batch/%s: %s; its runs have ended so: %v", other, state, c.fleet.endsOf(other))
	late, _ := c.call("POST", 2, "/batch/"+jobID(1001), []byte(`{"spec":"ms=100","steps":[{"count":1,"cpu":100,"memMb":10}]}`))
	rec.add("a further job is answered with %d", late)
	switch {
	case unfinished == 0 && state == "completed" && late == 200:
		return ruleHeld, nil
	case unfinished > 0 && !quietSince.IsZero() && time.Since(quietSince) > lossTime && time.Since(begin) > reportAt+finish && starts < repeats:
		// All occurrences are due since begin + 1 s + repeats x repeatInterval, all workers are empty, and the
		// last job was handed in more than finish_s ago.
		return ruleBroken, nil
	}
	return cannotRun, fmt.Errorf("%d scheduled jobs are not completed, the other one is %q, a further one is answered with %d", unfinished, state, late)
}
