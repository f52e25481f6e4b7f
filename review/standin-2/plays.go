//go:build review

package main

import (
	"fmt"

	"catkinvalve/internal/core/model"
)

// Sizes of the small deployment.
const (
	workerCount = 48
	daemonCount = 7
	rackSize    = 6
)

var workerSize = model.Size{MilliCPU: 32000, MemMB: 131072}

const prefix = "/a/"

// begin starts a cell with one queue and waits until it works.
func (c *cluster) begin() error {
	if err := c.publish(route("queue-a", prefix, 1)); err != nil {
		return err
	}
	if err := c.addWorkers(workerCount, workerSize); err != nil {
		return err
	}
	if err := c.addDaemons(daemonCount); err != nil {
		return err
	}
	return c.ready(prefix)
}

func jobPath(n int) string { return fmt.Sprintf("%s%016x", prefix, n) }

// holder returns the worker on which a task runs; nil if there is none.
func (c *cluster) holder(n int, index int32) *worker {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, w := range c.workers {
		for ref := range w.runs {
			if ref.Job == fmt.Sprintf("%016x", n) && ref.Index == index && !w.down {
				return w
			}
		}
	}
	return nil
}

func (c *cluster) setCut(workers []*worker, cut bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, w := range workers {
		w.cut = cut
		c.note("worker %s cut off: %v", w.id, cut)
	}
}
