package scenarios

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"catkinvalve/internal/api"
	"catkinvalve/internal/core/model"
	"catkinvalve/internal/fault"
)

// refusals are the errors that tell a caller that nothing was run for it.
// After an attempt whose answer was lost, the client reports another kind.
var refusalKinds = []fault.Kind{
	fault.HomeUnreachable, fault.CanNeverRun, fault.UnknownService, fault.DeadlineExceeded,
	fault.Overloaded, fault.NoOwner, fault.FateInDoubt, fault.NotReady, fault.Draining,
}

// told is all that callers were told about one key.
type callerRecord struct {
	req api.SubmitRequest
	// idempotent is the default of the service.
	idempotent bool
	fates      map[model.Fate]bool
	reasons    map[string]bool
	answers    map[string]bool
	attempts   int
	// refused counts the submissions that were answered with a refusal.
	refused int
	// busy counts callers that still wait.
	waiting int
}

// final returns the terminal fates that callers were told, in order.
func (t *callerRecord) finalFates() []model.Fate {
	var out []model.Fate
	for f := range t.fates {
		if f.Terminal() {
			out = append(out, f)
		}
	}
	slices.Sort(out)
	return out
}

// notRun reports whether every caller was told that the request did not run:
// by its fate, or because each submission was refused.
func (t *callerRecord) toldNotRun() bool {
	return t.fates[model.NotRun] || (t.attempts > 0 && t.refused == t.attempts && len(t.fates) == 0)
}

// expectedAnswers are the complete answers of the new and of the old system.
func (t *callerRecord) expectedAnswers() []string {
	var parts strings.Builder
	for i := range max(1, t.req.Tasks) {
		fmt.Fprintf(&parts, "%s/%d:%s", t.req.Key, i, t.req.Payload)
	}
	return []string{parts.String(), t.req.Key + ":" + string(t.req.Payload)}
}

// callers records what each caller was told.
type callers struct {
	mu   sync.Mutex
	keys map[string]*callerRecord
	// turn spreads the first calls over the daemons.
	daemonIndex int
}

func newCallers() *callers { return &callers{keys: map[string]*callerRecord{}} }

func (c *callers) begin(req api.SubmitRequest, idempotent bool) *callerRecord {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.keys[req.Key]
	if t == nil {
		t = &callerRecord{req: req, idempotent: idempotent, fates: map[model.Fate]bool{}, reasons: map[string]bool{}, answers: map[string]bool{}}
		c.keys[req.Key] = t
	}
	t.waiting++
	return t
}

func (c *callers) nextDaemonIndex() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.daemonIndex++
	return c.daemonIndex
}

func (c *callers) get(key string) *callerRecord {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.keys[key]
}

func (c *callers) end(t *callerRecord) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t.waiting--
}

// learn records the answer to one call. It returns whether the fate is final.
func (c *callers) recordAnswer(t *callerRecord, st api.RequestStatus, err error, submission bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	// An unreachable daemon received nothing.
	if submission && fault.KindOf(err) != api.Unreachable {
		t.attempts++
	}
	if err != nil {
		kind := fault.KindOf(err)
		t.reasons[string(kind)] = true
		if submission && slices.Contains(refusalKinds, kind) {
			t.refused++
		}
		return slices.Contains([]fault.Kind{fault.CanNeverRun, fault.UnknownService, fault.DeadlineExceeded, fault.KeyConflict}, kind)
	}
	if st.Key != t.req.Key {
		t.answers["an answer to key "+st.Key] = true
	}
	t.fates[st.Fate] = true
	if st.Reason != "" {
		t.reasons[string(st.Reason)] = true
	}
	if st.Fate == model.Done && st.OK {
		t.answers[string(st.Answer)] = true
	}
	return st.Fate.Terminal()
}

// snapshot copies what callers were told.
func (c *callers) snapshot() map[string]callerRecord {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := map[string]callerRecord{}
	for k, t := range c.keys {
		cp := *t
		cp.fates, cp.reasons, cp.answers = maps.Clone(t.fates), maps.Clone(t.reasons), maps.Clone(t.answers)
		out[k] = cp
	}
	return out
}

// callWait is how long a submission waits for a fate in one call.
const callWait = 2 * time.Second

// callPause spaces the repeats of a caller.
const retryDelay = 100 * time.Millisecond

// submit repeats a submission by key until its fate is final, limit has passed
// or, when once is set, after one call. Each call goes to one of the daemons
// that via names, so that a client's own retries hide nothing.
func (sc *scenario) submit(req api.SubmitRequest, idempotent bool, via string, limit time.Duration, once bool) error {
	t := sc.callers.begin(req, idempotent)
	defer sc.callers.end(t)
	ctx, cancel := context.WithTimeout(sc.ctx, limit)
	defer cancel()
	for i := sc.callers.nextDaemonIndex(); ; i++ {
		daemons := sc.daemonsOf(via)
		cl, err := sc.client(daemons[i%len(daemons)])
		if err != nil {
			continue
		}
		st, err := cl.Submit(ctx, req)
		if sc.ctx.Err() != nil {
			return sc.ctx.Err()
		}
		if sc.callers.recordAnswer(t, st, err, true) || once {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("key %s has no final fate after %s: last state %q, last error %v", req.Key, limit, st.Fate, err)
		case <-time.After(retryDelay):
		}
	}
}

// request builds a submission. The payload names the key, so that the answer
// of another request is recognised.
func request(key, service string, runMS int64, tasks int, deadline time.Duration) api.SubmitRequest {
	now := time.Now()
	req := api.SubmitRequest{
		Key: key, Service: service, Tasks: tasks, RunMS: runMS, WaitMS: callWait.Milliseconds(), IssuedAt: &now,
		Payload: fmt.Appendf(nil, `{"sleep_ms": %d, "for": %q}`, runMS, key),
	}
	if deadline > 0 {
		end := now.Add(deadline)
		req.Deadline = &end
	}
	return req
}

// load is a stream of requests in the background.
type load struct {
	cancel context.CancelFunc
	done   chan struct{}
	mu     sync.Mutex
	errs   []error
	sent   int
}

func (l *load) addError(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.errs = append(l.errs, err)
}

// loadServices are submitted in turn, so that a load has both kinds of work.
var loadServices = []string{"plan", "slot", "plan", "routes"}

// startLoad submits a request to each data centre of dcs in turn every period.
// Each caller repeats its request by key until it knows the fate.
func (sc *scenario) startLoad(name string, dcs []string, via string, period time.Duration, runMS int64) *load {
	ctx, cancel := context.WithCancel(sc.ctx)
	l := &load{cancel: cancel, done: make(chan struct{})}
	sc.group.Go(func() {
		defer close(l.done)
		var wg sync.WaitGroup
		defer wg.Wait()
		for i := 0; ; i++ {
			service := loadServices[i%len(loadServices)]
			tasks := 1
			if service == "routes" {
				tasks = 3
			}
			req := request(fmt.Sprintf("%s:%s-%d", dcs[i%len(dcs)], name, i), service, runMS, tasks, 0)
			wg.Go(func() {
				if err := sc.submit(req, service != "slot", via, waitTimeout, false); err != nil && sc.ctx.Err() == nil {
					l.addError(err)
				}
			})
			l.mu.Lock()
			l.sent = i + 1
			l.mu.Unlock()
			select {
			case <-ctx.Done():
				return
			case <-time.After(period):
			}
		}
	})
	return l
}
