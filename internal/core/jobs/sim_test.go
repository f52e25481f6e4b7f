package jobs

import (
	"container/heap"
	"fmt"
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

// failWorkers makes a share of the workers fail every run that they start from
// 7 to 13 s.
func (s *sim) failWorkers(share float64) {
	for i := range int(share * float64(len(s.workers))) {
		w := s.workers[(i*37)%len(s.workers)]
		s.after(7*time.Second, func() { w.failing = true })
		s.after(13*time.Second, func() { w.failing = false })
	}
}
