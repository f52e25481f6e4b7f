package loadgen

import (
	"bytes"
	"cmp"
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/sourcegraph/conc/pool"

	"catkinvalve/internal/api"
	"catkinvalve/internal/core/model"
	"catkinvalve/internal/fault"
	"catkinvalve/internal/pause"
	"catkinvalve/internal/text"
)

// runner is one run of the load generator.
type runner struct {
	opts    Options
	clients []*api.Client
	results *collector
	start   time.Time
}

// Run sends the planned requests and follows each until its fate is final or FateTimeout
// is over.
func Run(ctx context.Context, o Options) (Result, error) {
	if err := o.validate(); err != nil {
		return Result{}, err
	}
	r := &runner{opts: o, results: newCollector(o)}
	if err := r.createClients(); err != nil {
		return Result{}, err
	}
	doc, err := r.clients[0].Config(ctx)
	if err != nil {
		return Result{}, err
	}
	cfg, problems := text.Parse("published text", []byte(doc.Text))
	if cfg == nil {
		return Result{}, fmt.Errorf("the cell has no valid configuration text: %v", problems)
	}
	plan, err := NewPlan(o, cfg)
	if err != nil {
		return Result{}, err
	}
	r.sendRequests(ctx, plan)
	return r.results.finish(time.Since(r.start)), ctx.Err()
}

// createClients creates one client for each server, so that the load is spread evenly.
// Each client falls back to the other servers.
func (r *runner) createClients() error {
	for i := range r.opts.Servers {
		c, err := api.NewClient(slices.Concat(r.opts.Servers[i:], r.opts.Servers[:i]))
		if err != nil {
			return err
		}
		r.clients = append(r.clients, c)
	}
	return nil
}

// sendRequests starts each request at its planned time, whether earlier ones have
// finished or not, and waits for all.
func (r *runner) sendRequests(ctx context.Context, plan *Plan) {
	workers := pool.New().WithMaxGoroutines(r.opts.Connections)
	defer workers.Wait()
	r.start = time.Now()
	for n := 0; ; n++ {
		a, ok := plan.Next()
		if !ok || !pause.For(ctx, time.Until(r.start.Add(a.At))) {
			return
		}
		r.results.result.Planned++
		workers.Go(func() { r.follow(ctx, n, a) })
	}
}

// follow submits a request, repeats the submission under the same key until its fate is
// final, and records the outcome.
func (r *runner) follow(ctx context.Context, n int, a Arrival) {
	planned := r.start.Add(a.At)
	ctx, cancel := context.WithTimeout(ctx, time.Until(planned)+r.opts.FateTimeout)
	defer cancel()
	issued := time.Now()
	a.Request.IssuedAt = &issued
	var accepted time.Duration
	for attempt := 0; ; attempt++ {
		st, err := r.clients[(n+attempt)%len(r.clients)].Submit(ctx, a.Request)
		if err == nil && accepted == 0 {
			accepted = time.Since(planned)
		}
		switch {
		case err == nil && st.Fate.Terminal():
			r.results.recordFinal(a.Request, st, accepted, time.Since(planned))
			return
		case err != nil:
			r.results.countFailedCall(fault.KindOf(err))
			if isPermanentRefusal(err) && accepted == 0 {
				r.results.countRefused(fault.KindOf(err))
				return
			}
			pause.For(ctx, retryInterval)
		}
		if ctx.Err() != nil {
			r.results.countUnfinished()
			return
		}
		a.Request.WaitMS = fateWaitMS
	}
}

// isPermanentRefusal reports whether an error means that the request was not accepted and
// that the same call would be refused again.
func isPermanentRefusal(err error) bool {
	switch fault.KindOf(err) {
	case fault.Overloaded, fault.CanNeverRun, fault.UnknownService, fault.Malformed, fault.KeyConflict, fault.TooLarge, fault.DeadlineExceeded:
		return true
	}
	return false
}

// recordFinal records a request with a final fate. accepted and completed are the times
// from its planned arrival to the first answer without error and to the final fate.
func (c *collector) recordFinal(r api.SubmitRequest, st api.RequestStatus, accepted, completed time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	d := c.group(group{st.Class, st.Team})
	record(d.acceptance, accepted)
	record(d.completion, completed)
	if st.StartedAt != nil {
		record(d.waiting, st.StartedAt.Sub(st.AcceptedAt))
	}
	c.result.Completed++
	c.result.Fates[st.Fate]++
	if st.Fate == model.Done && !answerMatches(r, st) {
		c.result.WrongAnswers++
	}
}

// answerMatches reports whether an answer is the one that the payload directs, once for
// each task. The old system runs a request as one task.
func answerMatches(r api.SubmitRequest, st api.RequestStatus) bool {
	n := max(1, len(st.Tasks))
	if st.Side == model.OldSide {
		n = 1
	}
	return bytes.Equal(st.Answer, bytes.Repeat([]byte(expectedAnswer(r)), n))
}

func (c *collector) countFailedCall(kind fault.Kind) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.result.Errors[kind]++
}

func (c *collector) countRefused(kind fault.Kind) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.result.Refused[kind]++
}

func (c *collector) countUnfinished() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.result.Unfinished++
}

// finish adds the latency rows and returns the result of a run that took the given time.
func (c *collector) finish(took time.Duration) Result {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.result.Seconds = took.Seconds()
	for g, d := range c.groups {
		c.result.Rows = append(c.result.Rows, LatencyRow{
			Class: g.class, Team: g.team,
			Acceptance: quantiles(d.acceptance), Waiting: quantiles(d.waiting), Completion: quantiles(d.completion),
		})
	}
	slices.SortFunc(c.result.Rows, func(a, b LatencyRow) int {
		return cmp.Or(cmp.Compare(a.Class.Rank(), b.Class.Rank()), cmp.Compare(a.Team, b.Team))
	})
	return c.result
}
