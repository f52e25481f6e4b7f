//go:build review

package main

import (
	"fmt"
	"time"

	"catkinvalve/internal/ports"
	"catkinvalve/platform"
)

// oddEntry plays jobs whose tasks run while another writer writes an entry under the ID of their worker, which has a
// field of another type and the address of another worker.
func oddEntry(c *cluster, trouble bool) error {
	if err := c.begin(); err != nil {
		return err
	}
	const job = 1
	if err := c.submit(jobPath(job), jobJSON{Spec: "ms=12000", Steps: []stepJSON{{Count: 4, CPU: 4000, MemMB: 1000, EstimatedMS: 12000}}}); err != nil {
		return err
	}
	if err := c.await(10*time.Second, func() bool { return c.holder(job, 3) != nil }); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	if trouble {
		w, other := c.holder(job, 0), c.workers[0]
		if other == w {
			other = c.workers[1]
		}
		if err := c.writeOddEntries(w, other); err != nil {
			return err
		}
	}
	time.Sleep(15 * time.Second)
	c.state(jobPath(job))
	c.mu.Lock()
	defer c.mu.Unlock()
	c.checkTwice()
	return nil
}

// writeOddEntries writes an odd entry under the ID of a worker three times, as that worker may replace it by its own before
// it is read.
func (c *cluster) writeOddEntries(w, other *worker) error {
	value := fmt.Sprintf(`{"service":%q,"address":%q,"zone":"zone-a","version":"v1","slots":"eight","state":"ready","coldRemainingMs":0,`+
		`"capacity":{"cpu":32000,"memMb":131072,"gpu":0},"labels":["r0"],"seqNum":4,"born":%d}`, service, other.address, w.Incarnation())
	for range 3 {
		c.note("another writer writes servers/%s: %s", w.id, value)
		if _, err := c.topic(platform.WorkerTopic()).Append(appendOf(ports.KeyedRecord{Key: string(w.id), Value: []byte(value)})); err != nil {
			return err
		}
		time.Sleep(700 * time.Millisecond)
	}
	return nil
}
