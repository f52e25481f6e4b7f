//go:build review3

package main

import (
	"fmt"
	"time"
)

func init() { cases["reborn"] = playReborn }

const (
	rebornWorkers = 8
	// rebornDown is how long the worker is away at its restart, and rebornLife how long after it is lost for good.
	rebornDown = time.Second
	rebornLife = 5 * time.Second
	// Beside the service, small tasks run on its worker, one each smallInterval.
	smallTasks    = 240
	smallInterval = 25 * time.Millisecond
	rebornWatch   = 25 * time.Second
)

// playReborn runs a service of one task on a worker that has started again under its ID shortly before, and is then
// lost for good.
func playReborn(rec *recorder, root, dir string, trouble bool) (int, error) {
	c, err := setup(rec, root, dir, 3, rebornWorkers, size{8000, 32000}, []route{queue("services", 1), queue("batch", 2)})
	defer c.stop()
	if err != nil {
		return cannotRun, err
	}
	w := c.fleet.workers[rebornWorkers-1]
	w.labels = []string{"k1", dataRack}
	w.register("ready")
	time.Sleep(3 * time.Second)
	if trouble {
		w.crash()
		time.Sleep(rebornDown)
		if err := w.start(); err != nil {
			return cannotRun, err
		}
	}
	time.Sleep(time.Second)
	service, small := jobID(1), jobID(2)
	task := service + ".0.0.0"
	j := job{Spec: "lasting", Steps: []step{{Count: 1, CPU: 1000, MemMB: 500, LongRunning: true, DataRack: dataRack}}}
	if status := c.submit(0, "/services/", service, j); status != 200 {
		return cannotRun, fmt.Errorf("the service was answered with %d", status)
	}
	j = job{Spec: "ms=5", Steps: []step{{Count: 1, CPU: 100, MemMB: 10, EstimatedMs: 5, DataRack: dataRack}}, RepeatCount: smallTasks,
		IntervalMs: smallInterval.Milliseconds(), FirstRunMs: time.Now().UnixMilli()}
	if status := c.submit(1, "/batch/", small, j); status != 200 {
		return cannotRun, fmt.Errorf("the job of small tasks was answered with %d", status)
	}
	time.Sleep(rebornLife - time.Second)
	if on := c.fleet.running(task); len(on) != 1 || on[0] != w.id {
		return cannotRun, fmt.Errorf("the task runs on %v", on)
	}
	if trouble {
		w.crash()
		rec.add("worker %s is lost for good", w.id)
		time.AfterFunc(entryLife, func() {
			c.store.put("keyed.servers", w.id, nil)
			rec.add("the platform removes the entry of %s", w.id)
		})
	}
	longest := c.longestAway(task, rebornWatch)
	allowed := stableWindow + calmTime + lossTime
	rec.add("the task had no run for %.2f s on end; allowed are %.0f s", longest.Seconds(), allowed.Seconds())
	rec.add("%s", c.fleet)
	if longest > allowed {
		return ruleBroken, nil
	}
	return ruleHeld, nil
}

// longestAway watches a task for some time and returns the longest time without a run.
func (c *testCell) longestAway(task string, watch time.Duration) (longest time.Duration) {
	var since time.Time
	for begin := time.Now(); time.Since(begin) < watch; time.Sleep(5 * time.Millisecond) {
		switch running := len(c.fleet.running(task)) > 0; {
		case running:
			since = time.Time{}
		case since.IsZero():
			since = time.Now()
		default:
			longest = max(longest, time.Since(since))
		}
	}
	return longest
}
