//go:build review

package main

import (
	"fmt"
	"syscall"
	"time"

	"catkinvalve/internal/core/jobs"
)

// crashLoop plays a service that fails at its start, again and again, until what it needs is there. Meanwhile the leader
// is stopped and started again.
func crashLoop(c *cluster, trouble bool) error {
	if err := c.begin(); err != nil {
		return err
	}
	const (
		job = 1
		// soundFrom is the time from which the service works, soundBefore that of the stop before it.
		soundFrom   = 50 * time.Second
		soundBefore = 5 * time.Second
		// limit is how long after the last failed run the service may have no run: 6 s and 3 s by the rule, and the 6 s of the
		// shutdown with a stable window of 3 s, so that all of the 7 calm seconds lie within it.
		limit = 6*time.Second + 3*time.Second + 6*time.Second + 3*time.Second
	)
	spec := fmt.Sprintf("lasting from=%d", soundFrom.Milliseconds())
	if err := c.submit(jobPath(job), jobJSON{Spec: spec, Steps: []stepJSON{{Count: 1, CPU: 4000, MemMB: 1000, EstimatedMS: 1000, LongRunning: true}}}); err != nil {
		return err
	}
	time.Sleep(soundFrom - soundBefore - time.Since(c.began))
	if trouble {
		leader := c.leader()
		c.signal(leader, syscall.SIGTERM)
		go func() {
			<-leader.done
			if err := c.startDaemon(leader); err != nil {
				c.note("%v", err)
			}
		}()
	}
	time.Sleep(soundFrom - time.Since(c.began))
	back := c.await(45*time.Second, func() bool { return c.holder(job, 0) != nil })
	c.state(jobPath(job))
	c.mu.Lock()
	defer c.mu.Unlock()
	last := time.Time{}
	for _, ends := range c.endsOf {
		for _, e := range ends {
			if e.how == jobs.EndFailed.String() {
				last = e.at
			}
		}
	}
	gap := time.Since(last)
	c.note("%d runs; a run %d ms after the last one failed (%v)", len(c.starts), gap.Milliseconds(), back)
	if gap > limit {
		c.violate("LOST: a task that lasts has had no run for %d ms after its last one, though 47 workers were idle", gap.Milliseconds())
	}
	return nil
}
