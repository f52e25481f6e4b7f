//go:build review

package main

import (
	"syscall"
	"time"
)

// longLease plays tasks of which the data lies in one rack. The rack loses power for half a second, and two seconds later
// it is cut off, while the leader is stopped and started again.
func longLease(c *cluster, trouble bool) error {
	if err := c.begin(); err != nil {
		return err
	}
	rack := c.workers[:rackSize]
	stop := make(chan struct{})
	done := make(chan struct{})
	go func() {
		defer close(done)
		tick := time.NewTicker(60 * time.Millisecond)
		defer tick.Stop()
		for n := 1; ; n++ {
			select {
			case <-stop:
				return
			case <-tick.C:
			}
			go c.submit(jobPath(n), jobJSON{Spec: "ms=9000", Steps: []stepJSON{{Count: 1, CPU: 2000, MemMB: 1000, EstimatedMS: 9000, DataRack: "r0"}}})
		}
	}()
	time.Sleep(3 * time.Second)
	if trouble {
		c.mu.Lock()
		for _, w := range rack {
			w.losePower()
		}
		c.mu.Unlock()
	}
	time.Sleep(500 * time.Millisecond)
	if trouble {
		c.mu.Lock()
		for _, w := range rack {
			w.beginLife()
		}
		c.mu.Unlock()
	}
	time.Sleep(2 * time.Second)
	close(stop)
	<-done
	if trouble {
		c.setCut(rack, true)
	}
	leader := c.leader()
	if trouble {
		c.signal(leader, syscall.SIGTERM)
	}
	time.Sleep(5500 * time.Millisecond)
	if trouble {
		c.setCut(rack, false)
		<-leader.done
		if err := c.startDaemon(leader); err != nil {
			return err
		}
	}
	time.Sleep(15 * time.Second)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.checkTwice()
	return nil
}
