package jobs

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"catkinvalve/internal/core/model"
)

// simClass describes the jobs of one queue. Sizes and times are means and
// spreads of log-normal distributions, with maxima where given. The fields named
// Share are probabilities; so are failing (of a run to fail), poison (of a job
// whose first task always fails) and cancel (of a job to be cancelled). cpu is in
// millicores, mem in MB.
type simClass struct {
	queue                          Queue
	rng                            *rand.Rand
	perSecond                      float64
	steps                          float64
	meanTasks, tasksSpread         float64
	maxTasks                       int
	cpu, cpuSpread                 float64
	mem                            float64
	work, workSpread               time.Duration
	workMax                        time.Duration
	estimateSpread                 float64
	gangShare                      float64
	checkpointShare                float64
	failing, poison                float64
	allowedShare                   float64
	jobCredit, lateJobCredit       float64
	limitedShare, speculativeShare float64
	cancel                         float64
}

// simJob is a job as its client sees it.
type simJob struct {
	spec        *Spec
	class       *simClass
	submittedAt time.Time
	accepted    bool
	refused     bool
	retries     int
	poison      bool // the first task fails in every run
	deadly      bool // the first task crashes each worker that starts it
	tasks       map[TaskRef]*simTask
	credit      float64
	maxCredit   float64
	objective   time.Duration
	finalState  View
	finalAt     time.Time
	firstStart  time.Time
	// cancelledAt is when the client cancelled, and cancelAckedAt when that was
	// confirmed.
	cancelledAt, cancelAckedAt time.Time
	// starvingSince is when the job began to have nothing running although it could; zero
	// if it does not starve.
	starvingSince      time.Time
	starvationReported bool
}

// simTask is the actual state of a task.
type simTask struct {
	job      *simJob
	step     int
	work     time.Duration
	attempts int
	done     bool
	acked    bool
	failed   int
	running  int
	// failures lists the failed ends; lastStartAt is when a run last began.
	failures    []*simEnd
	lastStartAt time.Time
	// crashes counts the workers that the task crashed, startsAfterCrashes its starts after
	// three of them.
	crashes, startsAfterCrashes int
}

// startTraffic submits jobs of a class at random times.
func (s *sim) startTraffic(c *simClass) {
	gap := time.Duration(c.rng.ExpFloat64() / c.perSecond * float64(time.Second))
	s.after(gap, func() {
		if s.faults.trafficStopped {
			return
		}
		s.submit(s.newJob(c))
		s.startTraffic(c)
	})
}

// burst multiplies the traffic of a class from 20 to 24 s.
func (s *sim) burst(c *simClass, factor float64) {
	usual := c.perSecond
	s.after(20*time.Second, func() { c.perSecond = usual * factor })
	s.after(24*time.Second, func() { c.perSecond = usual })
}

func (c *simClass) lognormal(mean, spread float64) float64 {
	sigma := math.Sqrt(math.Log(1 + spread*spread))
	return mean * math.Exp(sigma*c.rng.NormFloat64()-sigma*sigma/2)
}

func (s *sim) newJob(c *simClass) *simJob {
	id := fmt.Sprintf("%016x", c.rng.Uint64())
	j := &simJob{class: c, tasks: map[TaskRef]*simTask{}, spec: &Spec{ID: id, Queue: c.queue.Name, Payload: "x"}}
	j.poison = c.rng.Float64() < c.poison
	steps := 1
	for c.rng.Float64() < c.steps-float64(steps) {
		steps++
	}
	chain, total := time.Duration(0), 0.0
	for i := range steps {
		longest, work := s.addStep(j, i)
		chain += longest
		total += work
	}
	if adviceCfg := c.queue.Advice; adviceCfg != nil {
		chain += time.Duration(steps) * (adviceCfg.DecisionTime + objectiveWorkers*adviceCfg.TimePerWorker)
	}
	j.objective = time.Duration(c.queue.Slack*float64(chain)) + c.queue.Target
	j.maxCredit = c.jobCredit * min(4, 0.3+0.7*total/c.meanWork())
	return j
}

func (c *simClass) meanWork() float64 {
	return c.steps * c.meanTasks * c.cpu / 1000 * c.work.Seconds()
}

func (s *sim) addStep(j *simJob, i int) (time.Duration, float64) {
	c := j.class
	count := min(max(1, int(math.Round(c.lognormal(c.meanTasks, c.tasksSpread)))), c.maxTasks)
	work := min(time.Duration(c.lognormal(float64(c.work), float64(c.workSpread)/float64(time.Second))), c.workMax)
	def := Step{Count: count, Size: model.Size{MilliCPU: min(int64(c.lognormal(c.cpu, c.cpuSpread)), int64(c.cpu*2)), MemMB: min(int64(c.lognormal(c.mem, 0.5)), int64(c.mem*2))},
		Estimate: time.Duration(c.lognormal(float64(work), c.estimateSpread)), Gang: c.rng.Float64() < c.gangShare, Checkpointing: c.rng.Float64() < c.checkpointShare,
		Speculative: c.rng.Float64() < c.speculativeShare}
	if i > 0 {
		def.After = []int{i - 1}
	}
	if c.rng.Float64() < c.limitedShare {
		def.MaxPerWorker = 1 + c.rng.IntN(2)
	}
	j.spec.Steps = append(j.spec.Steps, def)
	longest, total := time.Duration(0), 0.0
	for t := range count {
		own := work
		if !def.Gang {
			own = time.Duration(c.lognormal(float64(work), 0.25))
		}
		j.tasks[TaskRef{Job: j.spec.ID, Step: int32(i), Index: int32(t)}] = &simTask{job: j, step: i, work: own}
		longest = max(longest, own)
		total += own.Seconds() * float64(def.Size.MilliCPU) / 1000
	}
	return longest, total
}

func (s *sim) submit(j *simJob) {
	s.jobs[j.spec.ID] = j
	s.submitted, s.watched = append(s.submitted, j), append(s.watched, j)
	j.submittedAt = s.now
	if j.spec.Tenant == "" {
		j.spec.Tenant = s.tenants.draw(j.class)
	}
	j.deadly = s.drawDeadly != nil && s.drawDeadly()
	s.submitWithRetries(j, 0)
	if j.class.rng.Float64() < j.class.cancel {
		s.after(time.Duration(j.class.rng.Float64()*4*float64(time.Second)), func() { s.cancel(j) })
	}
}

// submitWithRetries submits a job to the leader, and again while there is none.
func (s *sim) submitWithRetries(j *simJob, attempt int) {
	if attempt > 20 {
		return
	}
	if !s.hasLeader {
		s.after(200*time.Millisecond, func() { s.submitWithRetries(j, attempt+1) })
		return
	}
	if !s.core.HasTenant(j.spec.Tenant) {
		return
	}
	s.nextCall++
	spec := *j.spec
	token := s.token
	if resp := s.core.Submit(s.now, &spec, s.nextCall); resp != nil {
		s.applyResponse(j, *resp)
		return
	}
	s.waiting[s.nextCall] = j
	s.scheduleRound()
	s.after(time.Second, func() {
		if !j.accepted && !j.refused && s.token != token {
			s.submitWithRetries(j, attempt+1)
		}
	})
}

func (s *sim) handleResponse(resp Response) {
	if j := s.waiting[resp.Call]; j != nil {
		delete(s.waiting, resp.Call)
		s.applyResponse(j, resp)
	}
}

func (s *sim) applyResponse(j *simJob, resp Response) {
	switch resp.Kind {
	case ResponseAccepted:
		j.accepted = true
		s.pollState(j)
	case ResponseRefused, ResponseStoreUnavailable:
		j.refused = true
		if s.retryRefused && j.retries < simMaxRetries {
			j.retries++
			s.after(resp.RetryAfter, func() {
				j.refused = false
				s.submitWithRetries(j, 0)
			})
		}
	case ResponseCancelled:
		if j.cancelAckedAt.IsZero() {
			j.cancelAckedAt = s.now
		}
	}
}

func (s *sim) cancel(j *simJob) {
	if !j.accepted || !s.hasLeader || j.finalState == ViewCompleted || j.finalState == ViewFailed {
		return
	}
	j.cancelledAt = s.now
	s.nextCall++
	if resp := s.core.Cancel(s.now, j.spec.ID, s.nextCall); resp != nil {
		s.applyResponse(j, *resp)
		return
	}
	s.waiting[s.nextCall] = j
	s.scheduleRound()
}

// pollState polls a job's state until it is final.
func (s *sim) pollState(j *simJob) {
	s.after(100*time.Millisecond, func() {
		if s.hasLeader {
			v, known := s.core.State(j.spec.ID)
			if !known || !s.core.VisibleTo(j.spec.ID, j.spec.Tenant) {
				s.recordViolation("LOST", "job %s is not known", j.spec.ID)
				return
			}
			if v == ViewCompleted || v == ViewFailed || v == ViewCancelled {
				s.recordFinalState(j, v)
				return
			}
		}
		s.pollState(j)
	})
}

func (s *sim) recordFinalState(j *simJob, v View) {
	j.finalState, j.finalAt = v, s.now
	switch v {
	case ViewCompleted:
		for ref, t := range j.tasks {
			if !t.done {
				s.recordViolation("MIXED", "job %s is completed although %v is not done", j.spec.ID, ref)
			}
		}
	case ViewFailed:
		if !j.attemptsExhausted() {
			s.recordViolation("LOST", "job %s failed without cause", j.spec.ID)
		}
	case ViewCancelled:
		if j.cancelledAt.IsZero() {
			s.recordViolation("LOST", "job %s cancelled without cause", j.spec.ID)
		}
		return
	}
	took := s.now.Sub(j.submittedAt)
	switch {
	case v == ViewFailed && !j.poison:
	case took <= j.objective:
		j.credit = j.maxCredit
	case took <= 3*j.objective:
		j.credit = j.maxCredit * j.class.lateJobCredit / j.class.jobCredit
	}
}

func (j *simJob) attemptsExhausted() bool {
	gangs := map[int]int{}
	for _, t := range j.tasks {
		if t.crashes >= 2 {
			return true
		}
		gangs[t.step] += t.failed
		if t.failed >= j.class.queue.MaxAttempts || j.spec.Steps[t.step].Gang && gangs[t.step] >= j.class.queue.MaxAttempts {
			return true
		}
	}
	return false
}

// creditShare returns the earned share of the possible credit, by queue and
// over all, for jobs submitted between two times.
func (s *sim) creditShare(from, to time.Duration) (map[string]float64, float64) {
	credit, maxCredit := map[string]float64{}, map[string]float64{}
	all, allMaxCredit := 0.0, 0.0
	for _, j := range s.submitted {
		if at := j.submittedAt.Sub(startTime); at < from || at > to || !j.cancelledAt.IsZero() {
			continue
		}
		credit[j.class.queue.Name] += j.credit
		maxCredit[j.class.queue.Name] += j.maxCredit
		all += j.credit
		allMaxCredit += j.maxCredit
	}
	for q := range credit {
		credit[q] /= maxCredit[q]
	}
	return credit, all / allMaxCredit
}
