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

// refusalKinds are the errors which tell a caller that its submission started
// nothing. If the answer to an earlier attempt was lost, the client reports another
// kind.
var refusalKinds = []fault.Kind{
	fault.HomeUnreachable, fault.CanNeverRun, fault.UnknownService, fault.DeadlineExceeded,
	fault.Overloaded, fault.NoOwner, fault.FateInDoubt, fault.NotReady, fault.Draining,
}

// callerRecord holds all answers that the callers of one key received.
type callerRecord struct {
	req api.SubmitRequest
	// idempotent is the setting of the service.
	idempotent bool
	fates      map[model.Fate]bool
	reasons    map[string]bool
	answers    map[string]bool
	attempts   int
	// refused counts the submissions that were answered with one of refusalKinds.
	refused int
	// waiting is the number of callers that have not given up or learned a final
	// fate yet.
	waiting int
}

// finalFates returns the terminal fates that callers were told, sorted.
func (rec *callerRecord) finalFates() []model.Fate {
	var out []model.Fate
	for f := range rec.fates {
		if f.Terminal() {
			out = append(out, f)
		}
	}
	slices.Sort(out)
	return out
}

// toldNotRun reports whether callers were told that the request did not run: by its
// fate, or because every submission was refused.
func (rec *callerRecord) toldNotRun() bool {
	return rec.fates[model.NotRun] || (rec.attempts > 0 && rec.refused == rec.attempts && len(rec.fates) == 0)
}

// expectedAnswers returns the complete answers of the new and of the old system.
func (rec *callerRecord) expectedAnswers() []string {
	var parts strings.Builder
	for i := range max(1, rec.req.Tasks) {
		fmt.Fprintf(&parts, "%s/%d:%s", rec.req.Key, i, rec.req.Payload)
	}
	return []string{parts.String(), rec.req.Key + ":" + string(rec.req.Payload)}
}

// callers records the answers to all callers by key.
type callers struct {
	mu   sync.Mutex
	keys map[string]*callerRecord
	// daemonIndex distributes the first calls of the callers over the daemons.
	daemonIndex int
}

func newCallers() *callers { return &callers{keys: map[string]*callerRecord{}} }

// begin registers a caller and returns the record of its key.
func (c *callers) begin(req api.SubmitRequest, idempotent bool) *callerRecord {
	c.mu.Lock()
	defer c.mu.Unlock()
	rec := c.keys[req.Key]
	if rec == nil {
		rec = &callerRecord{req: req, idempotent: idempotent, fates: map[model.Fate]bool{}, reasons: map[string]bool{}, answers: map[string]bool{}}
		c.keys[req.Key] = rec
	}
	rec.waiting++
	return rec
}

// nextDaemonIndex returns a number that is larger for each new caller.
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

func (c *callers) end(rec *callerRecord) {
	c.mu.Lock()
	defer c.mu.Unlock()
	rec.waiting--
}

// recordAnswer records the answer to one call. It returns whether the caller needs
// no further call, because the fate is final or the error is permanent.
func (c *callers) recordAnswer(rec *callerRecord, st api.RequestStatus, err error, submission bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	// A submission to an unreachable daemon was not received.
	if submission && fault.KindOf(err) != api.Unreachable {
		rec.attempts++
	}
	if err != nil {
		kind := fault.KindOf(err)
		rec.reasons[string(kind)] = true
		if submission && slices.Contains(refusalKinds, kind) {
			rec.refused++
		}
		return slices.Contains([]fault.Kind{fault.CanNeverRun, fault.UnknownService, fault.DeadlineExceeded, fault.KeyConflict}, kind)
	}
	if st.Key != rec.req.Key {
		rec.answers["an answer to key "+st.Key] = true
	}
	rec.fates[st.Fate] = true
	if st.Reason != "" {
		rec.reasons[string(st.Reason)] = true
	}
	if st.Fate == model.Done && st.OK {
		rec.answers[string(st.Answer)] = true
	}
	return st.Fate.Terminal()
}

// snapshot returns a copy of the records by key.
func (c *callers) snapshot() map[string]callerRecord {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := map[string]callerRecord{}
	for k, rec := range c.keys {
		cp := *rec
		cp.fates, cp.reasons, cp.answers = maps.Clone(rec.fates), maps.Clone(rec.reasons), maps.Clone(rec.answers)
		out[k] = cp
	}
	return out
}

// callWait is how long a submission waits for a fate in one call.
const callWait = 2 * time.Second

// retryDelay is the time between two calls of a caller.
const retryDelay = 100 * time.Millisecond

// submit repeats a submission by key until its fate is final or limit has passed;
// if once is true it makes a single call. Each call goes to only one of the daemons
// that via selects, so that retries inside the client do not hide an answer.
func (sc *scenario) submit(req api.SubmitRequest, idempotent bool, via string, limit time.Duration, once bool) error {
	rec := sc.callers.begin(req, idempotent)
	defer sc.callers.end(rec)
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
		if sc.callers.recordAnswer(rec, st, err, true) || once {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("key %s has no final fate after %s: last state %q, last error %v", req.Key, limit, st.Fate, err)
		case <-time.After(retryDelay):
		}
	}
}

// request returns a submission. The payload contains the key, so that the answer to
// another request is detected.
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

// load is a background stream of requests.
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

// loadServices are the services of successive requests of a load, which therefore
// contains idempotent and other requests.
var loadServices = []string{"plan", "slot", "plan", "routes"}

// startLoad submits one request every period, with keys of the data centres in dcs
// in turn. Each caller repeats its request by key until the fate is final.
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
