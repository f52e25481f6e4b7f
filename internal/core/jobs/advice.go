package jobs

import (
	"maps"
	"slices"
	"time"

	"catkinvalve/internal/core/model"
)

const (
	// ticketMargin is subtracted from a ticket's validity for the ways of the
	// answer and of the start.
	ticketMargin = 200 * time.Millisecond
	// adviceSlack is added to the expected time of a call before it is given up.
	adviceSlack = 1500 * time.Millisecond
	// maxAdviceWorkers is how many workers one call may name.
	maxAdviceWorkers = 100
	// adviceBackoff is the delay after a call that was refused or not answered.
	adviceBackoff = 100 * time.Millisecond
)

// stepAdvice is what the advice service said about a step.
type stepAdvice struct {
	// denied lists the workers that may not run the step. That does not change.
	denied map[model.WorkerID]bool
	// allowed lists those that may, with the latest ticket.
	allowed []*ticket
	// call is the sequence number of the call in flight, or 0.
	call uint64
	// calls counts the calls made.
	calls int
}

// ticket allows the starts of a step on one life of a worker for a time.
type ticket struct {
	worker *worker
	text   string
	life   int64
	until  time.Time
}

func (t *ticket) valid(now time.Time) bool {
	return t.text != "" && t.life == t.worker.life && now.Before(t.until)
}

// find returns the permission for a worker, or nil.
func (a *stepAdvice) find(id model.WorkerID) *ticket {
	for _, t := range a.allowed {
		if t.worker.ID == id {
			return t
		}
	}
	return nil
}

func (a *stepAdvice) ticket(w *worker) string {
	if t := a.find(w.ID); t != nil {
		return t.text
	}
	return ""
}

// revoke drops a ticket that a worker refused.
func (a *stepAdvice) revoke(id model.WorkerID) {
	if t := a.find(id); t != nil {
		t.text = ""
	}
}

// forgetPermissions drops what was allowed on a worker that is forgotten. Should
// it return, the advice is asked for anew.
func (c *Core) forgetPermissions(w *worker) {
	for _, j := range c.jobs {
		for _, o := range j.occurrences {
			for _, s := range o.steps {
				s.advice.allowed = slices.DeleteFunc(s.advice.allowed, func(t *ticket) bool { return t.worker == w })
			}
		}
	}
}

// advisers are the daemons that can ask the advice service, which handles the
// calls of each one in turn.
type advisers struct {
	list  []*adviser
	calls map[uint64]*adviceCall
	next  uint64
	// shares holds the share of named workers that were allowed, by queue.
	shares map[string]*share
}

// adviser is one daemon with its calls in flight.
type adviser struct {
	name  string
	calls int
	// long counts the calls in flight that take long.
	long int
	// free is when its calls should be answered.
	free time.Time
}

type adviceCall struct {
	step    *step
	queue   string
	adviser *adviser
	long    bool
	named   []model.WorkerID
	lives   []int64
	sent    time.Time
	until   time.Time
}

// share is a running count of allowed and named workers.
type share struct{ allowed, named float64 }

// AdviceOrder is one call to the advice service.
type AdviceRequest struct {
	Seq     uint64
	Relay   string
	Step    StepRef
	Workers []model.WorkerID
	Timeout time.Duration
}

// AdviceResult is the answer to an AdviceOrder. OK is false when there was none
// or when it was refused.
type AdviceResult struct {
	Seq      uint64
	OK       bool
	Allowed  []Allowance
	Validity time.Duration
}

// Allowance is the permission to run a step on a worker.
type Allowance struct {
	Worker model.WorkerID
	Ticket string
}

// SetAdvisers replaces the daemons that can ask, the leader's own first.
func (c *Core) SetAdviceRelays(names []string) {
	a := &c.advisers
	if slices.EqualFunc(a.list, names, func(x *adviser, name string) bool { return x.name == name }) {
		return
	}
	list := make([]*adviser, 0, len(names))
	for _, name := range names {
		if i := slices.IndexFunc(a.list, func(x *adviser) bool { return x.name == name }); i >= 0 {
			list = append(list, a.list[i])
		} else {
			list = append(list, &adviser{name: name})
		}
	}
	a.list = list
	c.changed = true
}

const (
	// longCall is the time from which a call keeps short ones from its adviser.
	longCall = 40 * time.Millisecond
	// queuedCalls is how many short calls an adviser may have in flight, so that
	// the way of the answer does not leave it idle.
	queuedCalls = 3
	// shortReserve is the part of the advisers that takes no long calls.
	shortReserve = 4
)

// choose returns the adviser for a call that takes d, or nil when all are busy.
func (a *advisers) choose(now time.Time, d time.Duration) *adviser {
	var chosen *adviser
	long := 0
	for _, x := range a.list {
		if x.long > 0 {
			long++
			continue
		}
		limit := queuedCalls
		if d >= longCall {
			limit = 1
		}
		if x.calls < limit && (chosen == nil || x.free.Before(chosen.free) && chosen.free.After(now)) {
			chosen = x
		}
	}
	if d >= longCall && len(a.list) > 1 && long >= len(a.list)-max(1, len(a.list)/shortReserve) {
		return nil
	}
	return chosen
}

// wantAdvice asks for more workers for a step, or for new tickets, if an adviser
// is free.
func (c *Core) wantAdvice(now time.Time, s *step) {
	terms := s.job().queue.Advice
	if terms == nil || s.advice.call != 0 {
		return
	}
	a := &c.advisers
	adviser := a.choose(now, terms.DecisionTime)
	if adviser == nil {
		return
	}
	named := c.nameWorkers(now, s)
	if len(named) == 0 {
		return
	}
	a.next++
	expected := terms.DecisionTime + time.Duration(len(named))*terms.TimePerWorker
	adviser.free = later(adviser.free, now).Add(expected)
	call := &adviceCall{step: s, queue: s.job().queue.Name, adviser: adviser, long: expected >= longCall,
		sent: now, until: adviser.free.Add(expected + adviceSlack)}
	for _, w := range named {
		call.named = append(call.named, w.ID)
		call.lives = append(call.lives, w.life)
	}
	s.advice.call = a.next
	s.advice.calls++
	a.calls[a.next] = call
	adviser.calls++
	if call.long {
		adviser.long++
	}
	c.out.Advice = append(c.out.Advice, AdviceRequest{Seq: a.next, Relay: adviser.name, Step: s.ref(), Workers: call.named, Timeout: call.until.Sub(now)})
	c.event(Event{Name: EventAdviceAsked, Job: s.job().spec.ID, Queue: call.queue, Detail: adviser.name, Count: len(named)})
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// minShare keeps the number of named workers within reason.
const minShare = 0.1

func (a *advisers) expectedShare(queue string) float64 {
	sh := a.shares[queue]
	if sh == nil || sh.named == 0 {
		return 0.5
	}
	return max(sh.allowed/sh.named, minShare)
}

// Advised takes the answer to an AdviceOrder.
func (c *Core) HandleAdviceResult(now time.Time, r *AdviceResult) {
	call := c.advisers.finish(r.Seq)
	if call == nil {
		return
	}
	s := call.step
	if s.advice.call == r.Seq {
		s.advice.call = 0
	}
	c.changed = true
	if !r.OK {
		s.notBefore = now.Add(adviceBackoff)
		c.event(Event{Name: EventAdviceAnswered, Job: s.job().spec.ID, Queue: call.queue, Detail: "no answer from " + call.adviser.name, Age: now.Sub(call.sent)})
		return
	}
	c.learnAdvice(now, call, r)
	c.event(Event{Name: EventAdviceAnswered, Job: s.job().spec.ID, Queue: call.queue, Detail: call.adviser.name, Age: now.Sub(call.sent), Count: len(r.Allowed)})
}

func (c *Core) learnAdvice(now time.Time, call *adviceCall, r *AdviceResult) {
	a := &call.step.advice
	if a.denied == nil {
		a.denied = map[model.WorkerID]bool{}
	}
	texts := make(map[model.WorkerID]string, len(r.Allowed))
	for _, ok := range r.Allowed {
		texts[ok.Worker] = ok.Ticket
	}
	fresh, good := 0, 0
	for i, id := range call.named {
		text, allowed := texts[id]
		t := a.find(id)
		if t == nil {
			fresh++
		}
		switch {
		case !allowed && t == nil:
			a.denied[id] = true
			continue
		case !allowed:
			continue
		case t == nil:
			good++
			t = &ticket{}
			a.allowed = append(a.allowed, t)
		}
		t.worker, t.text, t.life, t.until = c.worker(id), text, call.lives[i], now.Add(r.Validity-ticketMargin)
	}
	c.advisers.observe(call.queue, good, fresh)
}

// observe updates the share of allowed workers; older observations fade.
func (a *advisers) observe(queue string, allowed, named int) {
	sh := a.shares[queue]
	if sh == nil {
		sh = &share{}
		a.shares[queue] = sh
	}
	const fade = 0.98
	sh.allowed = sh.allowed*fade + float64(allowed)
	sh.named = sh.named*fade + float64(named)
}

// finish ends a call and makes its adviser idle.
func (a *advisers) finish(seq uint64) *adviceCall {
	call := a.calls[seq]
	if call == nil {
		return nil
	}
	delete(a.calls, seq)
	call.adviser.calls--
	if call.long {
		call.adviser.long--
	}
	if call.adviser.calls == 0 {
		call.adviser.free = time.Time{}
	}
	return call
}

// AdviserLost gives up the calls of a daemon to which the link has ended: their
// answers cannot arrive any more.
func (c *Core) HandleRelayLost(now time.Time, name string) {
	for _, seq := range slices.Sorted(maps.Keys(c.advisers.calls)) {
		if c.advisers.calls[seq].adviser.name == name {
			c.HandleAdviceResult(now, &AdviceResult{Seq: seq})
		}
	}
}

// checkAdvice gives up calls without an answer.
func (c *Core) checkAdvice(now time.Time) {
	for _, seq := range slices.Sorted(maps.Keys(c.advisers.calls)) {
		if call := c.advisers.calls[seq]; now.After(call.until) {
			c.HandleAdviceResult(now, &AdviceResult{Seq: seq})
		}
	}
}

func newAdvisers() advisers {
	return advisers{calls: map[uint64]*adviceCall{}, shares: map[string]*share{}}
}
