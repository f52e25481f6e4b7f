//go:build review3

package main

import (
	"fmt"
	"time"
)

func init() { cases["long"] = playLong }

const (
	longWorkers  = 8
	longCapacity = 8000
	longCPU      = 1000
	// longWork is how long the one task of the long job works; that is also what its client estimates.
	longWork = 300 * time.Second
	// shortJobs is the number of jobs that the queue has had before, each of one task of shortWork.
	shortJobs = 40
	shortWork = 2 * time.Second
	// historyTime is the time for these.
	historyTime = 12 * time.Second
	longWatch   = 70 * time.Second
	heartbeat   = 1500 * time.Millisecond
	longLabel   = "k9"
)

// playLong runs a job of one long task, for which one worker has the label, in a queue that has had short jobs.
func playLong(rec *recorder, root, dir string, trouble bool) (int, error) {
	c, err := setup(rec, root, dir, 3, longWorkers, size{longCapacity, 32000}, []route{queue("batch", 1)})
	defer c.stop()
	if err != nil {
		return cannotRun, err
	}
	c.fleet.mu.Lock()
	c.fleet.size = func(string) size { return size{longCPU, 100} }
	c.fleet.stopDelay = 0
	c.fleet.workers[0].labels = []string{longLabel, "r0"}
	c.fleet.mu.Unlock()
	go c.fleet.beat(c.done, heartbeat)
	for i := range shortJobs {
		if !trouble {
			break
		}
		j := job{Spec: fmt.Sprintf("ms=%d", shortWork.Milliseconds()), Steps: []step{{Count: 1, CPU: longCPU, MemMB: 100, EstimatedMs: int(shortWork.Milliseconds())}}}
		if status := c.submit(i, "/batch/", jobID(100+i), j); status != 200 {
			return cannotRun, fmt.Errorf("a short job was answered with %d", status)
		}
	}
	time.Sleep(historyTime)
	id := jobID(1)
	j := job{Spec: fmt.Sprintf("ms=%d", longWork.Milliseconds()), Steps: []step{{Count: 1, CPU: longCPU, MemMB: 100, EstimatedMs: int(longWork.Milliseconds()), Label: longLabel}}}
	if status := c.submit(0, "/batch/", id, j); status != 200 {
		return cannotRun, fmt.Errorf("the long job was answered with %d", status)
	}
	begin := time.Now()
	// gaps lists the times for which the job had nothing running, later than finish_s after the end of the traffic.
	var gaps []time.Duration
	var since time.Time
	for time.Since(begin) < longWatch {
		time.Sleep(time.Millisecond)
		switch running := c.fleet.runningOf(id) > 0; {
		case !running && since.IsZero():
			since = time.Now()
		case running && !since.IsZero():
			if since.Sub(begin) > finish {
				gaps = append(gaps, time.Since(since).Round(time.Millisecond))
			}
			since = time.Time{}
		}
	}
	rec.add("GET /batch/%s: %s; its runs have ended so: %v", id, c.state(0, "/batch/", id), c.fleet.endsOf(id))
	rec.add("the job had nothing running for %v; allowed are %s, with room for it on the worker with the label", gaps, lossTime)
	for i, line := range c.linesOf(`"worker_state"`) {
		if i < 3 {
			rec.add("log: %s", line)
		}
	}
	for _, gap := range gaps {
		if gap > lossTime {
			return ruleBroken, nil
		}
	}
	if ends := c.fleet.endsOf(id); len(ends) > 0 {
		return cannotRun, fmt.Errorf("the task's runs have ended so: %v", ends)
	}
	return ruleHeld, nil
}
