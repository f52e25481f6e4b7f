package jobs

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"catkinvalve/internal/core/model"
)

// sim simulates a cell under a virtual clock: the real core against models of
// the store, the workers, the advice service and the clients. The same seed
// gives the same run.
type sim struct {
	rng    *rand.Rand
	now    time.Time
	events eventHeap
	seq    int

	// drawDeadly draws whether the next job is deadly; nil if none is.
	drawDeadly func() bool

	// endsPerPage is how many ends one answer of a worker lists.
	endsPerPage int

	core           *Core
	token          uint64
	hasLeader      bool
	store          *simStore
	workers        []*simWorker
	byID           map[model.WorkerID]*simWorker
	relayBusyUntil map[string]time.Time // by relay
	relays         []string
	classes        []simClass
	seed           uint64
	jobs           map[string]*simJob
	submitted      []*simJob
	// watched lists the jobs that may still starve.
	watched        []*simJob
	trafficEndedAt time.Time
	waiting        map[CallID]*simJob
	nextCall       CallID
	violations     []string
	// traceTarget is the job or worker whose events are kept in trace.
	traceTarget       string
	trace             []string
	startCount        int
	wastedCoreSeconds float64
	rounds            int
	syncCount         int
	adviceCalls       int
	faults            simActiveFaults
	// gangMembers lists the members that started in each run of a gang.
	gangMembers map[gangRun][]gangMember
	// tenants is nil in a run without tenants.
	tenants *simTenants
	// retryRefused makes the clients of refused jobs come back when they are told to.
	retryRefused bool
}

// simActiveFaults are the faults that are active at present.
type simActiveFaults struct {
	// late is the share of requests that get no answer and are executed 2 s to
	// 12 s later.
	late float64
	// lost is the share of answers that are lost.
	lost float64
	// lastChange is when a fault last began or ended; zero if there was none.
	lastChange time.Time
	// lastEnd is when the last fault ends that has begun so far; zero if there was none.
	lastEnd time.Time
	// lateUntil is the latest time at which a late request may be executed.
	lateUntil time.Time
	// lostRelays are the advice relays whose connection is lost.
	lostRelays map[string]bool
	// adviceSlowdown multiplies the time of a call to the advice service if it is above 1.
	adviceSlowdown float64
	// trafficStopped stops new submissions.
	trafficStopped bool
}

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

// simEnd is an end that a worker reported. acked is set once the leader has
// acknowledged it.
type simEnd struct {
	at    time.Time
	acked bool
}

type simEvent struct {
	at  time.Time
	seq int
	do  func()
}

type eventHeap []*simEvent

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at.Before(h[j].at) || h[i].at.Equal(h[j].at) && h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(*simEvent)) }
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

// after runs f after the time d.
func (s *sim) after(d time.Duration, f func()) {
	s.seq++
	heap.Push(&s.events, &simEvent{at: s.now.Add(max(d, 0)), seq: s.seq, do: f})
}

// run simulates until the time d after the start.
func (s *sim) run(d time.Duration) {
	end := startTime.Add(d)
	for len(s.events) > 0 && !s.events[0].at.After(end) {
		e := heap.Pop(&s.events).(*simEvent)
		s.now = e.at
		e.do()
	}
	s.now = end
}

// log records the events of one job or worker, so that a violation can be
// traced.
func (s *sim) log(e Event) {
	if s.traceTarget == "" || e.Job != s.traceTarget && string(e.Worker) != s.traceTarget {
		return
	}
	task := ""
	if e.Task != nil {
		task = e.Task.String()
	}
	s.trace = append(s.trace, fmt.Sprintf("%7.3f s token %d %s %s run %d worker %s %s %s age %v count %d", s.now.Sub(startTime).Seconds(), s.token,
		e.Name, task, e.Run, e.Worker, e.Detail, e.Reason, e.Age, e.Count))
}

func (s *sim) recordViolation(rule, format string, args ...any) {
	if len(s.violations) < 50 {
		s.violations = append(s.violations, fmt.Sprintf("%7.3f s %s: %s", s.now.Sub(startTime).Seconds(), rule, fmt.Sprintf(format, args...)))
	}
}

const (
	simNetworkDelay  = 2 * time.Millisecond
	simStoreRTT      = 6 * time.Millisecond
	simRoundDelay    = 5 * time.Millisecond
	simTick          = 50 * time.Millisecond
	simListPoll      = 400 * time.Millisecond
	simBatchInterval = 15 * time.Millisecond
	// simStallThreshold is how long an append may take before new jobs are
	// refused.
	simStallThreshold = 900 * time.Millisecond
)

func newSim(seed uint64, workers int, capacity model.Size, classes []simClass) *sim {
	s := &sim{seed: seed, rng: rand.New(rand.NewPCG(seed, 1)), now: startTime, byID: map[model.WorkerID]*simWorker{}, relayBusyUntil: map[string]time.Time{},
		endsPerPage: testConfig().EndsPerPage,
		jobs:        map[string]*simJob{}, waiting: map[CallID]*simJob{}, gangMembers: map[gangRun][]gangMember{}, classes: classes, store: newSimStore()}
	for i := range workers {
		s.addWorker(fmt.Sprintf("w%03d", i), i, capacity)
	}
	for i := range max(6, workers/9) {
		s.relays = append(s.relays, fmt.Sprintf("a%d", i))
	}
	s.startLeader()
	for i := range classes {
		// Each class has its own random numbers, so that the jobs do not depend
		// on the core's decisions.
		s.classes[i].rng = rand.New(rand.NewPCG(seed, uint64(i)+10))
		s.startTraffic(&s.classes[i])
	}
	s.after(simTick, s.tick)
	s.after(0, s.pollList)
	s.after(simStarvationPeriod, s.checkStarvation)
	return s
}

// setEndsPerPage sets how many ends one answer of a worker lists.
func (s *sim) setEndsPerPage(n int) {
	s.endsPerPage = n
	s.core.cfg.EndsPerPage = n
}

// startLeader creates a new leader from the contents of the store.
func (s *sim) startLeader() {
	s.token++
	cfg := testConfig()
	cfg.Token, cfg.MaxUnfinishedJobs, cfg.EndsPerPage = s.token, 20_000, s.endsPerPage
	s.core = New(cfg)
	var queues []Queue
	for i := range s.classes {
		queues = append(queues, s.classes[i].queue)
	}
	s.core.SetQueues(queues)
	if s.tenants != nil {
		s.core.SetTenants(s.now, s.tenants.set())
	}
	s.core.Restore(s.now, s.now, s.store.snapshot())
	s.core.SetPreviousLeaderEnd(s.now)
	s.core.SetAdviceRelays(s.availableRelays())
	s.hasLeader = true
	s.store.inFlight = nil
	s.waiting = map[CallID]*simJob{}
	s.setWorkers()
}

// availableRelays returns the advice relays that are not lost.
func (s *sim) availableRelays() []string {
	var out []string
	for _, r := range s.relays {
		if !s.faults.lostRelays[r] {
			out = append(out, r)
		}
	}
	return out
}

// setRelays tells the leader which relays are available.
func (s *sim) setRelays() {
	if s.hasLeader {
		s.core.SetAdviceRelays(s.availableRelays())
		s.scheduleRound()
	}
}

// stopLeader stops the leader; the next one starts after d.
func (s *sim) stopLeader(d time.Duration) {
	s.hasLeader = false
	s.core = nil
	s.after(d, func() {
		if !s.hasLeader {
			s.startLeader()
		}
	})
}

// ifSameLeader returns a function that runs f only if the leader has not
// changed.
func (s *sim) ifSameLeader(f func()) func() {
	token := s.token
	return func() {
		if s.hasLeader && s.token == token {
			f()
			s.scheduleRound()
		}
	}
}

// scheduleRound makes the core decide after the delay of one round.
func (s *sim) scheduleRound() {
	if s.store.roundDue {
		return
	}
	s.store.roundDue = true
	s.after(simRoundDelay, func() {
		s.store.roundDue = false
		if s.hasLeader {
			s.round()
		}
	})
}

func (s *sim) tick() {
	if s.hasLeader {
		s.core.SetStoreStalled(s.now, s.store.inFlight != nil && s.now.Sub(s.store.lastAppend) > simStallThreshold)
		s.core.Tick(s.now, s.now)
		s.round()
	}
	s.after(simTick, s.tick)
}

func (s *sim) round() {
	s.rounds++
	s.core.Schedule(s.now)
	out := s.core.TakeActions()
	for _, e := range out.Events {
		s.log(e)
	}
	for _, req := range out.Syncs {
		s.sync(req)
	}
	for _, r := range out.Starts {
		s.start(r)
	}
	for _, r := range out.Stops {
		s.stop(r)
	}
	for _, r := range out.Advice {
		s.requestAdvice(r)
	}
	for _, resp := range out.Responses {
		s.handleResponse(resp)
	}
	s.flush()
}

func (s *sim) pollList() {
	if s.hasLeader {
		s.setWorkers()
		s.scheduleRound()
	}
	s.after(simListPoll, s.pollList)
}

func (s *sim) setWorkers() {
	var entries []WorkerEntry
	for _, w := range s.workers {
		if !w.removed && !w.unlisted {
			entries = append(entries, w.entry())
		}
	}
	s.core.SetWorkers(s.now, entries)
}

// requestAdvice models the advice service, which handles one call of each relay
// at a time.
func (s *sim) requestAdvice(req AdviceRequest) {
	s.adviceCalls++
	j := s.jobs[req.Step.Job]
	adviceCfg := j.class.queue.Advice
	begin := s.now.Add(simNetworkDelay)
	if busy := s.relayBusyUntil[req.Relay]; busy.After(begin) {
		begin = busy
	}
	end := begin.Add(time.Duration(max(1, s.faults.adviceSlowdown) * float64(adviceCfg.callTime(len(req.Workers)))))
	s.relayBusyUntil[req.Relay] = end
	s.after(end.Sub(s.now)+simNetworkDelay, s.ifSameLeader(func() {
		if s.faults.lostRelays[req.Relay] {
			return
		}
		r := &AdviceResult{Seq: req.Seq, OK: true, Validity: adviceCfg.Validity}
		for _, id := range req.Workers {
			if simAllowed(req.Step, id, j.class.allowedShare) {
				r.Allowed = append(r.Allowed, Allowance{Worker: id, Ticket: fmt.Sprint(req.Step, id)})
			}
		}
		s.core.HandleAdviceResult(s.now, r)
	}))
}

// simAllowed is the policy of a queue: it allows a fixed share of the workers,
// chosen by a hash, for each step.
func simAllowed(step StepRef, id model.WorkerID, share float64) bool {
	h := uint64(14695981039346656037)
	for _, c := range step.String() + string(id) {
		h = (h ^ uint64(c)) * 1099511628211
	}
	h ^= h >> 29
	h *= 0xbf58476d1ce4e5b9
	return float64(h>>11)/float64(1<<53) < share
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

// failWorkers makes a share of the workers fail every run that they start from
// 7 to 13 s.
func (s *sim) failWorkers(share float64) {
	for i := range int(share * float64(len(s.workers))) {
		w := s.workers[(i*37)%len(s.workers)]
		s.after(7*time.Second, func() { w.failing = true })
		s.after(13*time.Second, func() { w.failing = false })
	}
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
