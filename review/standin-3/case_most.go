//go:build review3

package main

import (
	"fmt"
	"syscall"
	"time"
)

func init() { cases["most"] = playMost }

const (
	mostDaemons = 7
	mostLost    = 5
	mostWorkers = 8
	dataRack    = "r9"
	// stableWindow is stableWindowMs, and calmTime the calm time before the 3 s in which a lasting task may have no
	// run.
	stableWindow = 3 * time.Second
	calmTime     = 4 * time.Second
	// entryLife is how long the platform keeps the entry of a worker that is lost: three intervals of its heartbeat.
	entryLife = 4500 * time.Millisecond
	mostWatch = 40 * time.Second
)

// playMost runs a service of one task. Its worker and five of the seven machines are lost for good, the one that leads
// among them.
func playMost(rec *recorder, root, dir string, trouble bool) (int, error) {
	c, err := setup(rec, root, dir, mostDaemons, mostWorkers, size{8000, 32000}, []route{queue("services", 1)})
	defer c.stop()
	if err != nil {
		return cannotRun, err
	}
	w := c.fleet.workers[mostWorkers-1]
	w.labels = []string{"k1", dataRack}
	w.register("ready")
	time.Sleep(time.Second)
	id := jobID(1)
	task := id + ".0.0.0"
	j := job{Spec: "lasting", Steps: []step{{Count: 1, CPU: 1000, MemMB: 500, LongRunning: true, DataRack: dataRack}}}
	if status := c.submit(0, "/services/", id, j); status != 200 {
		return cannotRun, fmt.Errorf("the service was answered with %d", status)
	}
	time.Sleep(5 * time.Second)
	if on := c.fleet.running(task); len(on) != 1 || on[0] != w.id {
		return cannotRun, fmt.Errorf("the task runs on %v", on)
	}
	if trouble {
		leader := 0
		for i, d := range c.daemons {
			if len(c.linesOf(`"leader_elected"`, d.name)) > 0 {
				leader = i
			}
		}
		for i := range mostLost {
			d := c.daemons[(leader+i)%mostDaemons]
			d.signal(syscall.SIGKILL)
			rec.add("process %s is lost for good", d.name)
		}
		w.crash()
		time.AfterFunc(entryLife, func() {
			c.store.put("keyed.servers", w.id, nil)
			rec.add("the platform removes the entry of %s", w.id)
		})
	}
	longest := c.longestAway(task, mostWatch)
	allowed := stableWindow + calmTime + lossTime
	rec.add("the task had no run for %.1f s on end; allowed are %.0f s", longest.Seconds(), allowed.Seconds())
	lines := c.linesOf(`"step_waiting"`, id)
	if len(lines) > 0 {
		rec.add("log: %s", lines[len(lines)-1])
	}
	rec.add("GET /services/%s: %s; %s", id, c.lastState(id), c.fleet)
	if longest > allowed {
		return ruleBroken, nil
	}
	return ruleHeld, nil
}

// lastState asks all daemons for a job's state until one answers.
func (c *testCell) lastState(id string) string {
	for i := range c.daemons {
		if status, text := c.call("GET", i, "/services/"+id, nil); status != 0 {
			return text
		}
	}
	return "no answer"
}
