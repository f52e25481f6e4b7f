//go:build review3

package main

import (
	"fmt"
	"time"
)

func init() { cases["crash"] = playCrash }

const (
	crashWorkers  = 8
	crashDowntime = 1500 * time.Millisecond
	crashPause    = 2500 * time.Millisecond
	crashRounds   = 36
)

// playCrash runs a service, a job whose tasks run until it is cancelled, with one task on each worker. One
// worker after the other crashes and is back 1.5 s later. No task ever fails by itself.
func playCrash(rec *recorder, root, dir string, trouble bool) (int, error) {
	c, err := setup(rec, root, dir, 3, crashWorkers, size{8000, 32000}, []route{queue("services", 1), queue("batch", 2)})
	defer c.stop()
	if err != nil {
		return cannotRun, err
	}
	id := jobID(1)
	if status := c.submit(0, "/services/", id, job{Spec: "lasting", Steps: []step{{Count: crashWorkers, CPU: 1000, MemMB: 500, AntiAffinity: 1, LongRunning: true}}}); status != 200 {
		return cannotRun, fmt.Errorf("the service was answered with %d", status)
	}
	time.Sleep(2 * time.Second)
	state := ""
	for round := range crashRounds {
		w := c.fleet.workers[round%crashWorkers]
		if trouble {
			w.crash()
		}
		time.Sleep(crashDowntime)
		if trouble {
			if err := w.start(); err != nil {
				return cannotRun, err
			}
		}
		time.Sleep(crashPause - crashDowntime)
		state = c.state(round, "/services/", id)
		rec.add("GET /services/%s: %s", id, state)
		if state == "failed" {
			break
		}
	}
	ends := c.fleet.endsOf(id)
	rec.add("the service is shown as %q; its runs have ended so: %v", state, ends)
	rec.add("workers: %s", c.fleet)
	for _, line := range c.linesOf(`"job_ended"`, id) {
		rec.add("log: %s", line)
	}
	if state == "failed" && ends["failed"] == 0 {
		return ruleBroken, nil
	}
	if state != "active" {
		return cannotRun, fmt.Errorf("the service is shown as %q", state)
	}
	return ruleHeld, nil
}
