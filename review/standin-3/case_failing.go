//go:build review3

package main

import (
	"fmt"
	"time"
)

func init() { cases["failing"] = playFailing }

const (
	failingWorkers  = 16
	failingCapacity = 8000
	// serviceCPU is what the one task of the service needs, which fails failsAfter after each start on average.
	serviceCPU = 100
	failsAfter = 20 * time.Millisecond
	// gangMembers is the number of members of the other job, memberCPU what each needs. One may run on each worker.
	gangMembers = 8
	memberCPU   = 3000
	// settleTime is the time between the two jobs, and watchTime that for which the second one is watched.
	settleTime = 25 * time.Second
	watchTime  = 55 * time.Second
)

// playFailing runs a service of one small task that fails at its startup each time, and beside it a job of eight tasks
// that have to start together, on eight of 16 workers. The workers are almost empty.
func playFailing(rec *recorder, root, dir string, trouble bool) (int, error) {
	c, err := setup(rec, root, dir, 3, failingWorkers, size{failingCapacity, 32000}, []route{queue("urgent", 0), queue("services", 1)})
	defer c.stop()
	if err != nil {
		return cannotRun, err
	}
	service, gang := jobID(1), jobID(2)
	sizes := map[string]int64{service: serviceCPU, gang: memberCPU}
	c.fleet.mu.Lock()
	c.fleet.size = func(task string) size { return size{sizes[task[:16]], 100} }
	c.fleet.mu.Unlock()
	spec := "lasting"
	if trouble {
		spec = fmt.Sprintf("lasting;fails=%d", failsAfter.Milliseconds())
	}
	if status := c.submit(0, "/services/", service, job{Spec: spec, Steps: []step{{Count: 1, CPU: serviceCPU, MemMB: 100, LongRunning: true}}}); status != 200 {
		return cannotRun, fmt.Errorf("the service was answered with %d", status)
	}
	time.Sleep(settleTime)
	if status := c.submit(1, "/urgent/", gang, job{Spec: fmt.Sprintf("gang=%d;ms=1000", gangMembers), Steps: []step{{Count: gangMembers, CPU: memberCPU, MemMB: 100,
		EstimatedMs: 1000, Gang: true, AntiAffinity: 1}}}); status != 200 {
		return cannotRun, fmt.Errorf("the job was answered with %d", status)
	}
	begin := time.Now()
	// since is since when the job has had nothing running although there is room for it twice over on the workers
	// and less than half of their capacity is in use; longest is the longest such time that ended or lasts later
	// than finish_s after the end of the traffic.
	var since time.Time
	var longest time.Duration
	for time.Since(begin) < watchTime && c.fleet.endsOf(gang)["done"] < gangMembers {
		time.Sleep(50 * time.Millisecond)
		room, used := 0, int64(failingWorkers*failingCapacity)
		for _, free := range c.fleet.freeCPU() {
			room += int(min(free/memberCPU, 1)) // antiAffinity is 1
			used -= free
		}
		if c.fleet.runningOf(gang) > 0 || room < 2*gangMembers || used >= failingWorkers*failingCapacity/2 {
			since = time.Time{}
			continue
		}
		if since.IsZero() {
			since = time.Now()
		}
		if time.Since(begin) > finish {
			longest = max(longest, time.Since(since))
		}
	}
	time.Sleep(time.Second) // the state follows the ends
	state := c.state(0, "/urgent/", gang)
	rec.add("GET /urgent/%s: %s; its runs have ended so: %v", gang, state, c.fleet.endsOf(gang))
	rec.add("the job had nothing running for %.1f s on end, with room for it twice over; the service's runs have ended so: %v", longest.Seconds(), c.fleet.endsOf(service))
	lines := c.linesOf(`"step_waiting"`, gang)
	if len(lines) > 0 {
		rec.add("log: %s", lines[len(lines)-1])
	}
	if longest > lossTime {
		return ruleBroken, nil
	}
	if state != "completed" {
		return cannotRun, fmt.Errorf("the job is shown as %q", state)
	}
	return ruleHeld, nil
}
