//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Bounds of the rules.
const (
	// finishTime is when, after the end of the traffic, all jobs are asked for.
	finishTime = 14 * time.Second
	// idleTime is for how long a job may have nothing running while there is capacity.
	idleTime = 3 * time.Second
	// lastingTime is the time after the last run of a lasting task from which idleTime counts.
	lastingTime = 6 * time.Second
)

// maxCaseTime is when a case that has not ended is given up.
const maxCaseTime = 115 * time.Second

// runCase runs a case and returns the exit status: 0 if the rule held, 1 if it was broken, 2 if the
// case could not run.
func runCase(name, folder string) int {
	cases := map[string]func(*cellUnderTest, bool) (string, error){
		"stages": stages, "ended": ended, "hopeless": hopeless, "crashes": crashes, "cancel": cancel, "outage": outage, "long": long,
	}
	f := cases[name]
	if f == nil {
		fmt.Fprintln(os.Stderr, "no such case")
		return 2
	}
	c, err := newCell(folder)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	var stop sync.Once
	defer stop.Do(c.stop)
	go func() {
		signals := make(chan os.Signal, 1)
		signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
		select {
		case <-signals:
		case <-time.After(maxCaseTime):
		}
		stop.Do(c.stop)
		os.Exit(2)
	}()
	broken, err := f(c, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		c.note("the case could not run: %v", err)
		fmt.Println("could not run:", err)
		return 2
	case broken != "":
		c.note("BROKEN: %s", broken)
		fmt.Println("broken:", broken)
		return 1
	}
	c.note("the rule held")
	fmt.Println("held")
	return 0
}

// begin starts the stand-ins, of the workers one process for all or one for each, and the daemons.
func (c *cellUnderTest) begin(workers, daemons int, together bool, good float64) ([]*process, error) {
	if err := c.startStore(); err != nil {
		return nil, err
	}
	if err := c.startAdvice(good); err != nil {
		return nil, err
	}
	var out []*process
	for i := 0; i < workers; i++ {
		count := 1
		if together {
			count = workers
		}
		p, err := c.startWorkers(i, count)
		if err != nil {
			return nil, err
		}
		out = append(out, p)
		i += count - 1
	}
	if err := c.publishConfig(); err != nil {
		return nil, err
	}
	if err := c.startDaemons(daemons); err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second)
	return out, nil
}

type step struct {
	Count       int   `json:"count"`
	CPU         int   `json:"cpu"`
	MemMb       int   `json:"memMb"`
	EstimatedMs int   `json:"estimatedMs,omitempty"`
	DependsOn   []int `json:"dependsOn,omitempty"`
	Gang        bool  `json:"gang,omitempty"`
	LongRunning bool  `json:"longRunning,omitempty"`
	// Label is the label that a worker needs.
	Label string `json:"requiredLabel,omitempty"`
}

func jobBody(s script, steps ...step) string {
	spec, _ := json.Marshal(s)
	body, _ := json.Marshal(map[string]any{"spec": string(spec), "steps": steps})
	return string(body)
}

func jobID(n int) string { return fmt.Sprintf("5c0e7a21d94b%04x", n) }

// Shape of the job with many stages.
const (
	stageCount = 12
	stageParts = 4
)

// stagedJob returns the body of a job with stageCount stages of stageParts steps, each of which waits for all
// steps of the stage before.
func stagedJob() string {
	var steps []step
	for stage := range stageCount {
		var before []int
		for part := range stageParts {
			if stage > 0 {
				before = append(before, (stage-1)*stageParts+part)
			}
		}
		for range stageParts {
			steps = append(steps, step{Count: 1, CPU: 1000, MemMb: 500, EstimatedMs: 200, DependsOn: before})
		}
	}
	return jobBody(script{Ms: 200}, steps...)
}

// stages: a job with many stages comes among ordinary jobs.
func stages(c *cellUnderTest, trouble bool) (string, error) {
	if _, err := c.begin(16, 6, true, 1); err != nil {
		return "", err
	}
	plain := jobBody(script{Ms: 600}, step{Count: 2, CPU: 1400, MemMb: 1400, EstimatedMs: 700})
	var accepted []string
	for n := range 10 {
		if c.submit(plainPrefix, jobID(n), plain) {
			accepted = append(accepted, jobID(n))
		}
	}
	if trouble {
		body := stagedJob()
		status, _ := c.call("POST", 0, plainPrefix+jobID(99), body)
		c.note("answer to the job with %d steps, whose body has %d bytes: %d", stageCount*stageParts, len(body), status)
	}
	time.Sleep(time.Second)
	c.note("the traffic ends; %d plain jobs were accepted", len(accepted))
	if len(accepted) < 10 {
		return "", fmt.Errorf("only %d jobs were accepted", len(accepted))
	}
	time.Sleep(finishTime)
	lost := c.unknownJobs(plainPrefix, accepted)
	for i, d := range c.daemons {
		c.note("daemon %d: alive %v, processor time so far %s", i, d.alive(), processorTime(d))
	}
	if len(lost) > 0 {
		return fmt.Sprintf("%v after the end of the traffic no daemon tells the state of the accepted jobs %v", finishTime, lost), nil
	}
	return "", nil
}

// unknownJobs asks all daemons for all jobs at once, and returns the jobs that none of them knows in time.
func (c *cellUnderTest) unknownJobs(prefix string, ids []string) []string {
	known := make([]bool, len(ids))
	var mu sync.Mutex
	var wg sync.WaitGroup
	for i, id := range ids {
		for d := range c.daemons {
			wg.Go(func() {
				status, _ := c.call("GET", d, prefix+id, "")
				mu.Lock()
				defer mu.Unlock()
				known[i] = known[i] || status == 200
			})
		}
	}
	wg.Wait()
	var out []string
	for i, id := range ids {
		if !known[i] {
			out = append(out, id)
		}
	}
	return out
}

// processorTime returns the processor time of a process as the system counts it.
func processorTime(p *process) string {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	if err != nil {
		return "unknown"
	}
	f := strings.Fields(string(data[strings.LastIndexByte(string(data), ')')+1:]))
	var user, system int
	_, _ = fmt.Sscan(f[11], &user)
	_, _ = fmt.Sscan(f[12], &system)
	return fmt.Sprintf("%.1f s", float64(user+system)/100)
}

// ended: a task that lasts ends as done.
func ended(c *cellUnderTest, trouble bool) (string, error) {
	if _, err := c.begin(8, 6, true, 1); err != nil {
		return "", err
	}
	s := script{}
	if trouble {
		s.FirstEndsMs = 3000
	}
	body := jobBody(s, step{Count: 2, CPU: 1000, MemMb: 500, LongRunning: true})
	for n := range 3 {
		if !c.submit(plainPrefix, jobID(n), body) {
			return "", fmt.Errorf("job %d was not accepted", n)
		}
	}
	time.Sleep(4*time.Second + lastingTime + idleTime + 2*time.Second)
	return c.lastingTasksIdle(3, 2), nil
}

// lastingTasksIdle says which tasks of the jobs that last have had no run for too long.
func (c *cellUnderTest) lastingTasksIdle(jobs, tasks int) string {
	var out []string
	for n := range jobs {
		state := c.state(plainPrefix, jobID(n))
		for i := range tasks {
			runs := c.taskRuns(fmt.Sprintf("%s.0.0.%d", jobID(n), i))
			if len(runs) == 0 {
				out = append(out, fmt.Sprintf("task %d of %s never ran", i, jobID(n)))
				continue
			}
			last := runs[len(runs)-1]
			if !last.ended.IsZero() && time.Since(last.ended) > lastingTime+idleTime {
				out = append(out, fmt.Sprintf("task %d of %s (shown as %q) has had no run for %.1f s since its run %s ended (%s)", i, jobID(n), state, time.Since(last.ended).Seconds(), last.number, last.how))
			}
		}
	}
	return strings.Join(out, "; ")
}

// hopeless: a gang comes that is larger than all workers together, and ordinary gangs after it.
func hopeless(c *cellUnderTest, trouble bool) (string, error) {
	if _, err := c.begin(16, 6, true, 1); err != nil {
		return "", err
	}
	if trouble {
		const width, cpu = 48, 7600
		body := jobBody(script{Ms: 6000, Gang: width, Ticket: true}, step{Count: width, CPU: cpu, MemMb: 6400, EstimatedMs: 6000, Gang: true})
		c.note("the hopeless job is accepted: %v", c.submit(adviedPrefix, jobID(99), body))
	}
	time.Sleep(3 * time.Second)
	gang := jobBody(script{Ms: 2000, Gang: 4, Ticket: true}, step{Count: 4, CPU: 4500, MemMb: 6400, EstimatedMs: 2000, Gang: true})
	var accepted []string
	for n := range 4 {
		if c.submit(adviedPrefix, jobID(n), gang) {
			accepted = append(accepted, jobID(n))
		}
		time.Sleep(time.Second)
	}
	c.note("the traffic ends; %d ordinary jobs were accepted", len(accepted))
	time.Sleep(finishTime + idleTime)
	var idle []string
	for _, id := range accepted {
		state := c.state(adviedPrefix, id)
		if runs := c.taskRuns(id + ".0.0.0"); len(runs) == 0 {
			idle = append(idle, fmt.Sprintf("%s (shown as %q)", id, state))
		}
	}
	if len(idle) > 0 {
		return fmt.Sprintf("%v after the end of the traffic nothing of these jobs has run, though the workers are idle: %s", finishTime+idleTime, strings.Join(idle, ", ")), nil
	}
	return "", nil
}

// crashes: the worker that runs a lasting task crashes, some seconds after the start of the task, again and again.
func crashes(c *cellUnderTest, trouble bool) (string, error) {
	const workers, times = 8, 5
	processes, err := c.begin(workers, 6, false, 1)
	if err != nil {
		return "", err
	}
	if !c.submit(plainPrefix, jobID(0), jobBody(script{}, step{Count: 1, CPU: 1000, MemMb: 500, LongRunning: true})) {
		return "", fmt.Errorf("the job was not accepted")
	}
	task := jobID(0) + ".0.0.0"
	for crash := 0; crash < times; crash++ {
		time.Sleep(4 * time.Second)
		runs := c.taskRuns(task)
		if !trouble || len(runs) == 0 || !runs[len(runs)-1].ended.IsZero() {
			continue
		}
		var i int
		id := runs[len(runs)-1].worker
		if _, err := fmt.Sscanf(id, "i-%d", &i); err != nil {
			return "", err
		}
		c.note("worker %s crashes", id)
		c.kill(processes[i])
		c.workerCrashed(id)
		time.Sleep(2 * time.Second)
		if processes[i], err = c.startWorkers(i, 1); err != nil {
			return "", err
		}
	}
	time.Sleep(lastingTime + idleTime + 2*time.Second)
	state := c.state(plainPrefix, jobID(0))
	idle := c.lastingTasksIdle(1, 1)
	if state == "failed" {
		return strings.TrimSuffix("a job whose task lasts is shown as failed; no run of it has ended as failed; "+idle, "; "), nil
	}
	return idle, nil
}

// cancelTime is the time after the acknowledged cancellation of a job from which none of its tasks may start.
const cancelTime = 3 * time.Second

// cancelled is a job whose cancellation was acknowledged.
type cancelled struct {
	id     string
	at     time.Time
	status int
	daemon int
}

// cancel: the leader freezes for a moment. Meanwhile jobs are accepted by the others, and their clients
// cancel them at the daemon that wakes up again.
func cancel(c *cellUnderTest, trouble bool) (string, error) {
	if _, err := c.begin(8, 6, true, 1); err != nil {
		return "", err
	}
	body := jobBody(script{Ms: 4000}, step{Count: 1, CPU: 1000, MemMb: 500, EstimatedMs: 4000}, step{Count: 1, CPU: 1000, MemMb: 500, EstimatedMs: 4000, DependsOn: []int{0}})
	const rounds, clients, freeze = 1, 12, 1600 * time.Millisecond
	acked := make(chan cancelled, rounds*clients)
	var wg sync.WaitGroup
	for round := range rounds {
		leader, err := c.leader()
		if err != nil {
			return "", err
		}
		c.note("daemon %d leads", leader)
		// Each client has a connection to that daemon, which stays open.
		var open [clients]http.Transport
		for i := range open {
			c.callOver(&open[i], "GET", leader, plainPrefix, "")
		}
		if trouble {
			_ = c.daemons[leader].cmd.Process.Signal(syscall.SIGSTOP)
			c.note("daemon %d is stopped", leader)
		}
		for i := range clients {
			wg.Go(func() {
				time.Sleep(700*time.Millisecond + time.Duration(i)*50*time.Millisecond)
				id := jobID(round*100 + i)
				other := (leader + 1 + i%(len(c.daemons)-1)) % len(c.daemons)
				if status, _ := c.call("POST", other, plainPrefix+id, body); status != 200 {
					return
				}
				for try := range 5 {
					at := (leader + try) % len(c.daemons)
					if status, _ := c.callOver(&open[i], "DELETE", at, plainPrefix+id, ""); status == 200 || status == 410 {
						acked <- cancelled{id, time.Now(), status, at}
						return
					}
				}
			})
		}
		time.Sleep(freeze)
		if trouble {
			_ = c.daemons[leader].cmd.Process.Signal(syscall.SIGCONT)
			c.note("daemon %d goes on", leader)
		}
		time.Sleep(6 * time.Second)
	}
	wg.Wait()
	time.Sleep(5 * time.Second)
	close(acked)
	var broken []string
	for a := range acked {
		for _, r := range c.taskRuns(a.id + ".0.1.0") {
			if late := r.begun.Sub(a.at); late > cancelTime {
				broken = append(broken, fmt.Sprintf("%s: cancelled at daemon %d (%d), its second step starts %.1f s later", a.id, a.daemon, a.status, late.Seconds()))
			}
		}
	}
	return strings.Join(broken, "; "), nil
}

// outage: the store is down for some seconds while the workers run many short tasks.
func outage(c *cellUnderTest, trouble bool) (string, error) {
	const workers, jobs, width, down = 2, 60, 60, 4500 * time.Millisecond
	c.site = altynIz
	if _, err := c.begin(workers, 6, true, 1); err != nil {
		return "", err
	}
	body := jobBody(script{Ms: 400}, step{Count: width, CPU: 500, MemMb: 256, EstimatedMs: 900})
	var wg sync.WaitGroup
	for n := range jobs {
		wg.Go(func() {
			if status, _ := c.call("POST", n%len(c.daemons), plainPrefix+jobID(n), body); status != 200 {
				c.note("job %s was not accepted: %d", jobID(n), status)
			}
		})
	}
	wg.Wait()
	if trouble {
		_ = c.store.cmd.Process.Signal(syscall.SIGSTOP)
		c.note("the store is stopped")
	}
	time.Sleep(down)
	if trouble {
		_ = c.store.cmd.Process.Signal(syscall.SIGCONT)
		c.note("the store goes on")
	}
	c.note("the traffic ends")
	time.Sleep(finishTime)
	return c.startsAfterDone(), nil
}

// startsAfterDone says which tasks were started after a run of them had ended as done and this end was noted.
func (c *cellUnderTest) startsAfterDone() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	total, twice, example := 0, 0, ""
	for task, runs := range c.runs {
		total++
		for i, r := range runs {
			if r.how != "done" || r.noted.IsZero() || i == len(runs)-1 || !runs[i+1].begun.After(r.ended) {
				continue
			}
			twice++
			example = fmt.Sprintf("run %s of %s ended as done on %s at %s, which was noted at %s; run %s began on %s at %s", r.number, task, r.worker, clock(r.ended), clock(r.noted), runs[i+1].number, runs[i+1].worker, clock(runs[i+1].begun))
			break
		}
	}
	if twice == 0 {
		return ""
	}
	return fmt.Sprintf("%d of %d tasks were started again after they were done, for example: %s", twice, total, example)
}

func clock(t time.Time) string { return t.Format("15:04:05.000") }

// long: a task comes that works for minutes, on the one worker that has the label it needs.
func long(c *cellUnderTest, trouble bool) (string, error) {
	length := 20 * time.Second
	if trouble {
		length = 240 * time.Second
	}
	if _, err := c.begin(8, 6, true, 1); err != nil {
		return "", err
	}
	ms := int(length.Milliseconds())
	if !c.submit(adviedPrefix, jobID(0), jobBody(script{Ms: ms, Ticket: true}, step{Count: 1, CPU: 4500, MemMb: 6400, EstimatedMs: ms, Label: "b"})) {
		return "", fmt.Errorf("the job was not accepted")
	}
	c.note("the traffic ends")
	from := time.Now().Add(finishTime)
	time.Sleep(finishTime + 30*time.Second)
	until := time.Now()
	state := c.state(adviedPrefix, jobID(0))
	runs := c.taskRuns(jobID(0) + ".0.0.0")
	idle, gaps := time.Duration(0), 0
	for i, r := range runs {
		next := until
		if i+1 < len(runs) {
			next = runs[i+1].begun
		}
		if r.how == "done" || r.ended.IsZero() || r.ended.Before(from) {
			continue
		}
		if gap := next.Sub(r.ended); gap >= idleTime {
			gaps++
			idle = max(idle, gap)
		}
	}
	if gaps > 0 {
		return fmt.Sprintf("the job (shown as %q) had nothing running %d times for 3 s or more (%.2f s), though the one worker that it may use was empty; its task has been started %d times, and stopped as often", state, gaps, idle.Seconds(), len(runs)), nil
	}
	return "", nil
}
