package jobs

import (
	"maps"
	"slices"
	"time"

	"catkinvalve/internal/core/model"
)

const (
	// ticketMargin is subtracted from a ticket's validity to cover the transit
	// of the answer and of the start.
	ticketMargin = 200 * time.Millisecond
	// adviceTimeoutMargin is the part of a call's timeout beyond the time for
	// the earlier calls of its relay and twice its own expected time.
	adviceTimeoutMargin = 1500 * time.Millisecond
	// maxAdviceWorkers is the largest number of workers in one call.
	maxAdviceWorkers = 100
	// adviceBackoff is the delay after a call that was refused or not answered.
	adviceBackoff = 100 * time.Millisecond
)

// stepAdvice is what the advice service answered about a step.
type stepAdvice struct {
	// denied holds the workers that may not run the step, with the incarnation to which that
	// applies: the next one may be a worker of another kind.
	denied map[model.WorkerID]int64
	// allowed lists the workers that may run the step, with their latest
	// tickets.
	allowed []*ticket
	// callsInFlight counts the calls that were not answered yet.
	callsInFlight int
	// calls counts all calls made for the step.
	calls int
	// nextRequestAt ends the time in which no call is made because there was no
	// worker to ask about.
	nextRequestAt time.Time
}

// ticket allows starts of a step on one incarnation of a worker until it
// expires.
type ticket struct {
	worker      *worker
	text        string
	incarnation int64
	expires     time.Time
}

// valid reports whether the worker would accept the ticket at now.
func (t *ticket) valid(now time.Time) bool {
	return t.text != "" && t.incarnation == t.worker.incarnation && now.Before(t.expires)
}

// denies reports whether the present incarnation of a worker may not run the step.
func (a *stepAdvice) denies(w *worker) bool {
	incarnation, denied := a.denied[w.ID]
	return denied && incarnation == w.incarnation
}

// deny records that an incarnation of a worker may not run the step.
func (a *stepAdvice) deny(id model.WorkerID, incarnation int64) {
	if a.denied == nil {
		a.denied = map[model.WorkerID]int64{}
	}
	a.denied[id] = incarnation
	a.allowed = slices.DeleteFunc(a.allowed, func(t *ticket) bool { return t.worker.ID == id })
}

// find returns the ticket for a worker, or nil.
func (a *stepAdvice) find(id model.WorkerID) *ticket {
	for _, t := range a.allowed {
		if t.worker.ID == id {
			return t
		}
	}
	return nil
}

// ticketFor returns the latest ticket for a worker, which may have expired, or
// "" if there is none.
func (a *stepAdvice) ticketFor(w *worker) string {
	if t := a.find(w.ID); t != nil {
		return t.text
	}
	return ""
}

// revoke drops a ticket that a worker refused. The worker stays allowed; a new
// ticket is requested.
func (a *stepAdvice) revoke(id model.WorkerID) {
	if t := a.find(id); t != nil {
		t.text = ""
	}
}

// forgetWorkerAdvice drops the tickets for a worker that is removed. If it
// returns, advice is requested again.
func (c *Core) forgetWorkerAdvice(w *worker) {
	for _, j := range c.jobs {
		for _, o := range j.occurrences {
			for _, s := range o.steps {
				s.advice.allowed = slices.DeleteFunc(s.advice.allowed, func(t *ticket) bool { return t.worker == w })
			}
		}
	}
}

// adviceCall is a call in flight. long is set if its expected time is
// longCallTime or more; incarnations are those of the candidates, in the same
// order.
type adviceCall struct {
	step         *step
	queue        string
	relay        *relay
	long         bool
	candidates   []model.WorkerID
	incarnations []int64
	sentAt       time.Time
	deadline     time.Time
}

// AdviceRequest is one call to the advice service.
type AdviceRequest struct {
	Seq     uint64
	Relay   string
	Step    StepRef
	Workers []model.WorkerID
	Timeout time.Duration
}

// AdviceResult is the answer to an AdviceRequest. OK is false when the call was
// refused or got no answer.
type AdviceResult struct {
	Seq      uint64
	OK       bool
	Allowed  []Allowance
	Validity time.Duration
}

// Allowance permits a step to run on a worker; Ticket has to be presented when
// it starts.
type Allowance struct {
	Worker model.WorkerID
	Ticket string
}

// candidateRetryDelay is the time after which the candidates for a call are chosen
// again when there were none.
const candidateRetryDelay = 40 * time.Millisecond

// parallelCallsDivisor determines how many calls for one step may be in flight: one
// for each so many relays, at least one.
const parallelCallsDivisor = 8

// requestAdvice requests advice on further workers for a step, or new tickets, as far
// as relays are available. Candidates beyond maxAdviceWorkers are divided among
// parallel calls. It returns what the step waits for.
func (c *Core) requestAdvice(now time.Time, s *step) model.Reason {
	adviceCfg := s.job().queue.Advice
	switch {
	case adviceCfg == nil:
		return waitForCapacity
	case s.advice.callsInFlight > 0:
		return waitForAdvice
	case now.Before(s.advice.nextRequestAt):
		return waitForCandidate
	}
	rs := &c.relays
	if rs.choose(now, adviceCfg.DecisionTime) == nil {
		return waitForRelay
	}
	candidates := c.adviceCandidates(now, s)
	if len(candidates) == 0 {
		s.advice.nextRequestAt = now.Add(candidateRetryDelay)
		return waitForCandidate
	}
	calls := max(1, len(rs.list)/parallelCallsDivisor)
	size := min(max((len(candidates)+calls-1)/calls, adviceCfg.minWorkers()), maxAdviceWorkers)
	for part := range slices.Chunk(candidates[:min(len(candidates), calls*size)], size) {
		relay := rs.choose(now, adviceCfg.DecisionTime)
		if relay == nil {
			break
		}
		c.callAdvice(now, s, relay, part)
	}
	return waitForTicket
}

// callAdvice makes one call for a step through a relay.
func (c *Core) callAdvice(now time.Time, s *step, relay *relay, candidates []*worker) {
	rs, adviceCfg := &c.relays, s.job().queue.Advice
	rs.lastSeq++
	expected := adviceCfg.callTime(len(candidates))
	relay.idleAt = later(relay.idleAt, now).Add(expected)
	call := &adviceCall{step: s, queue: s.job().queue.Name, relay: relay, long: expected >= longCallTime,
		sentAt: now, deadline: relay.idleAt.Add(expected + adviceTimeoutMargin)}
	for _, w := range candidates {
		call.candidates = append(call.candidates, w.ID)
		call.incarnations = append(call.incarnations, w.incarnation)
		w.gangCalls += call.gangCount()
	}
	s.advice.callsInFlight++
	s.advice.calls++
	rs.calls[rs.lastSeq] = call
	relay.calls++
	if call.long {
		relay.long++
	}
	c.out.Advice = append(c.out.Advice, AdviceRequest{Seq: rs.lastSeq, Relay: relay.name, Step: s.ref(), Workers: call.candidates, Timeout: call.deadline.Sub(now)})
	c.event(Event{Name: EventAdviceAsked, Job: s.job().spec.ID, Queue: call.queue, Detail: relay.name, Count: len(candidates)})
}

// gangCount returns 1 for a call for a gang and 0 for any other.
func (call *adviceCall) gangCount() int {
	if call.step.def.Gang {
		return 1
	}
	return 0
}

// minWorkers returns the number of workers below which dividing a call saves little time.
func (a *AdviceConfig) minWorkers() int {
	if a.TimePerWorker <= 0 {
		return maxAdviceWorkers
	}
	return max(1, int(a.DecisionTime/(2*a.TimePerWorker)))
}

// callTime returns how long the advice service takes for a call with a number of
// workers.
func (a *AdviceConfig) callTime(workers int) time.Duration {
	return a.DecisionTime + time.Duration(workers)*a.TimePerWorker
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// HandleAdviceResult processes the answer to an AdviceRequest.
func (c *Core) HandleAdviceResult(now time.Time, r *AdviceResult) {
	call := c.relays.finish(r.Seq)
	if call == nil {
		return
	}
	s := call.step
	s.advice.callsInFlight--
	s.advice.nextRequestAt = time.Time{}
	for _, id := range call.candidates {
		if w := c.workers[id]; w != nil {
			w.gangCalls -= call.gangCount()
		}
	}
	c.placementsStale = true
	if !r.OK {
		s.backoffUntil = now.Add(adviceBackoff)
		c.event(Event{Name: EventAdviceAnswered, Job: s.job().spec.ID, Queue: call.queue, Detail: "no answer from " + call.relay.name, Age: now.Sub(call.sentAt)})
		return
	}
	c.recordAdvice(now, call, r)
	c.event(Event{Name: EventAdviceAnswered, Job: s.job().spec.ID, Queue: call.queue, Detail: call.relay.name, Age: now.Sub(call.sentAt), Count: len(r.Allowed)})
}

// recordAdvice records which candidates of a call were allowed, with their
// tickets, and which were denied. A worker that was allowed once stays allowed until it
// restarts.
func (c *Core) recordAdvice(now time.Time, call *adviceCall, r *AdviceResult) {
	a := &call.step.advice
	tickets := make(map[model.WorkerID]string, len(r.Allowed))
	for _, allowance := range r.Allowed {
		tickets[allowance.Worker] = allowance.Ticket
	}
	newlyRequested, newlyAllowed := 0, 0
	for i, id := range call.candidates {
		text, allowed := tickets[id]
		t := a.find(id)
		if t == nil {
			newlyRequested++
		}
		switch {
		case !allowed && (t == nil || t.incarnation != call.incarnations[i]):
			a.deny(id, call.incarnations[i])
			continue
		case !allowed:
			continue
		case t == nil:
			newlyAllowed++
			t = &ticket{}
			a.allowed = append(a.allowed, t)
		}
		t.worker, t.text, t.incarnation, t.expires = c.worker(id), text, call.incarnations[i], now.Add(r.Validity-ticketMargin)
	}
	call.step.fit.checkAt = time.Time{}
	c.relays.observe(call.queue, newlyAllowed, newlyRequested)
}

// HandleRelayLost gives up the calls of a daemon whose connection was lost:
// their answers cannot arrive any more.
func (c *Core) HandleRelayLost(now time.Time, name string) {
	for _, seq := range slices.Sorted(maps.Keys(c.relays.calls)) {
		if c.relays.calls[seq].relay.name == name {
			c.HandleAdviceResult(now, &AdviceResult{Seq: seq})
		}
	}
}

// expireAdviceCalls gives up calls that were not answered in time.
func (c *Core) expireAdviceCalls(now time.Time) {
	for _, seq := range slices.Sorted(maps.Keys(c.relays.calls)) {
		if call := c.relays.calls[seq]; now.After(call.deadline) {
			c.HandleAdviceResult(now, &AdviceResult{Seq: seq})
		}
	}
}
