//go:build review

package main

import (
	"time"

	"catkinvalve/internal/core/jobs"
)

// rackCrashes plays a service, of which each task has to be started again however its run ends, while the workers
// of its rack crash five times.
func rackCrashes(c *cluster, trouble bool) error {
	if err := c.begin(); err != nil {
		return err
	}
	const job = 1
	if err := c.submit(jobPath(job), jobJSON{Spec: "lasting", Steps: []stepJSON{{Count: 2, CPU: 4000, MemMB: 1000, EstimatedMS: 1000, LongRunning: true, Label: "r0"}}}); err != nil {
		return err
	}
	runs := func() bool { return c.holder(job, 0) != nil && c.holder(job, 1) != nil }
	if err := c.await(10*time.Second, runs); err != nil {
		return err
	}
	for range 5 {
		time.Sleep(3 * time.Second)
		if !trouble {
			continue
		}
		c.crash(c.workers[:rackSize]...)
		time.Sleep(2 * time.Second)
		if err := c.restart(c.workers[:rackSize]...); err != nil {
			return err
		}
		if c.await(6*time.Second, runs) != nil {
			break
		}
	}
	time.Sleep(10 * time.Second)
	state := c.state(jobPath(job))
	c.mu.Lock()
	defer c.mu.Unlock()
	failed := 0
	for _, ends := range c.endsOf {
		for _, e := range ends {
			if e.how == jobs.EndFailed.String() {
				failed++
			}
		}
	}
	if (state == "failed" || state == "cancelled" || state == "gone") && failed == 0 {
		c.violate("LOST: the accepted job that nobody cancelled is shown as %s, and none of its runs has ended as failed", state)
	}
	return nil
}
