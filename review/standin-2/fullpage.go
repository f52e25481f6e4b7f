//go:build review

package main

import (
	"fmt"
	"time"

	"catkinvalve/internal/core/jobs"
)

// fullPage plays jobs of two steps. The tasks of the first steps end on one worker, more of them than a page of ends holds,
// while the store is slow, and the leader is killed. After that nothing is handed in any more.
func fullPage(c *cluster, trouble bool) error {
	if err := c.begin(); err != nil {
		return err
	}
	const (
		count = 12
		width = 60
		// wait is the time after the end of the traffic when the jobs are looked at: finish_s, and some more.
		wait = 25 * time.Second
		// slowFor is how long the store is slow.
		slowFor = 4500 * time.Millisecond
	)
	spec := jobJSON{Spec: "ms=8000,60000", Steps: []stepJSON{
		{Count: width, CPU: 44, MemMB: 100, EstimatedMS: 8000},
		{Count: 1, CPU: 44, MemMB: 100, EstimatedMS: 60000, DependsOn: []int{0}},
	}}
	for i := range count {
		if err := c.submit(jobPath(i+1), spec); err != nil {
			return err
		}
	}
	time.Sleep(7 * time.Second)
	if trouble {
		c.slow.Store(true)
		c.note("the store is slow")
		slowUntil := time.Now().Add(slowFor)
		select {
		case <-c.fullPage:
		case <-time.After(slowFor):
			return fmt.Errorf("no worker had a full page of ends")
		}
		// The ends of the page are in the store by now, or soon, and the store has not answered that yet.
		time.Sleep(58 * storeTime)
		leader := c.leader()
		c.kill(leader)
		if err := c.startDaemon(leader); err != nil {
			return err
		}
		time.Sleep(time.Until(slowUntil))
		c.slow.Store(false)
		c.note("the store is as before")
	} else {
		time.Sleep(slowFor)
	}
	time.Sleep(wait)
	for i := range count {
		c.state(jobPath(i + 1))
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range count {
		id := fmt.Sprintf("%016x", i+1)
		last, complete := c.stepDone(id, 0, width)
		if complete && !c.hasStarted(jobs.TaskRef{Job: id, Step: 1}) {
			c.violate("LOST: the last task of the first step of %s ended as done %d ms ago, and its second step has not started, on 47 idle workers", id, time.Since(last).Milliseconds())
		}
	}
	return nil
}

// stepDone reports whether all tasks of a step have ended as done, and when the last one did. The caller holds mu.
func (c *cluster) stepDone(job string, step int32, width int) (last time.Time, complete bool) {
	for i := range width {
		done := false
		for _, e := range c.endsOf[jobs.TaskRef{Job: job, Step: step, Index: int32(i)}] {
			if e.how == jobs.EndDone.String() {
				done = true
				if e.at.After(last) {
					last = e.at
				}
			}
		}
		if !done {
			return last, false
		}
	}
	return last, true
}

// hasStarted reports whether a task was ever started. The caller holds mu.
func (c *cluster) hasStarted(ref jobs.TaskRef) bool {
	for i := range c.starts {
		if c.starts[i].ref == ref {
			return true
		}
	}
	return false
}
