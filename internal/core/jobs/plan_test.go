package jobs

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"catkinvalve/internal/core/model"
	"catkinvalve/internal/core/tenant"
	_ "catkinvalve/internal/propseed"
)

// planState is a drawn state of a leader, as what happened until then.
type planState struct {
	workers []WorkerEntry
	tenants []tenant.Config
	specs   []Spec
	pauses  []time.Duration
	stalled bool
}

func drawPlanState(t *rapid.T) planState {
	var s planState
	for i := range rapid.IntRange(0, 4).Draw(t, "workers") {
		e := workerEntry(fmt.Sprint("w", i))
		e.Capacity.MilliCPU = 1000 * rapid.Int64Range(1, 8).Draw(t, "capacity")
		if rapid.Bool().Draw(t, "labelled") {
			e.Labels = append(e.Labels, "special")
		}
		s.workers = append(s.workers, e)
	}
	for _, name := range []string{"a", "b"} {
		s.tenants = append(s.tenants, tenant.Config{Name: name, Weight: float64(rapid.IntRange(0, 3).Draw(t, "weight")),
			Limit: model.Size{MilliCPU: 1000 * rapid.Int64Range(0, 12).Draw(t, "limit")}})
	}
	for i := range rapid.IntRange(0, 15).Draw(t, "jobs") {
		s.specs = append(s.specs, drawPlanSpec(t, fmt.Sprintf("%016x", i)))
		s.pauses = append(s.pauses, time.Duration(rapid.SampledFrom([]int{0, 0, 1, 300}).Draw(t, "pause"))*time.Millisecond)
	}
	s.stalled = rapid.IntRange(0, 9).Draw(t, "stalled") == 0
	return s
}

func drawPlanSpec(t *rapid.T, id string) Spec {
	spec := Spec{ID: id, Queue: rapid.SampledFrom([]string{"q", "urgent", "q", "unknown", "urgent", "q"}).Draw(t, "queue"), Tenant: rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "tenant")}
	for i := range rapid.IntRange(1, 3).Draw(t, "steps") {
		step := Step{Count: rapid.IntRange(1, 5).Draw(t, "count"), Size: model.Size{MilliCPU: 500 * rapid.Int64Range(1, 9).Draw(t, "size")},
			Estimate: time.Duration(rapid.IntRange(0, 5).Draw(t, "estimate")) * time.Second, Gang: rapid.IntRange(0, 2).Draw(t, "gang") == 0,
			Label: rapid.SampledFrom([]string{"", "", "special"}).Draw(t, "label"), MaxPerWorker: rapid.IntRange(0, 2).Draw(t, "most"),
			LongRunning: rapid.IntRange(0, 5).Draw(t, "lasting") == 0}
		if i > 0 && rapid.Bool().Draw(t, "dependent") {
			step.After = []int{0}
		}
		spec.Steps = append(spec.Steps, step)
	}
	return spec
}

// build returns a leader in the state. Each call returns an equal one.
func (s *planState) build(t *testing.T) *testBench {
	b := newTestBench(t, Queue{Name: "q", Service: "s", MaxAttempts: 2, Slack: 2, Target: time.Second, Priority: 1},
		Queue{Name: "urgent", Service: "s", MaxAttempts: 2, Slack: 2, Target: time.Second})
	b.core.SetTenants(b.now, tenant.NewSet(s.tenants))
	b.core.SetWorkers(b.now, s.workers)
	b.answerSyncs(b.advance(0), nil)
	b.storeBatch()
	for i := range s.specs {
		spec := s.specs[i]
		_ = b.core.Submit(b.now, &spec, CallID(i))
		b.storeBatch()
		out := b.advance(s.pauses[i])
		b.confirmStarts(out.Starts)
	}
	// The last round places whatever can be placed and leaves nothing to recompute.
	for range 2 {
		b.storeBatch()
		b.confirmStarts(b.advance(scheduleInterval).Starts)
	}
	b.storeBatch()
	b.core.SetStoreStalled(b.now, s.stalled)
	return b
}

// planCoverage counts what was drawn.
type planCoverage struct {
	verdicts      map[PlanVerdict]int
	refused, wait map[model.Reason]int
	started       int
}

// statesPerCheck is the number of states in one check of the property: some refusals are rare.
const statesPerCheck = 10

// Guards against a plan that says something else than what a submission then meets, or that takes
// a job's place in the rate or the capacity.
func TestPlanEqualsSubmission(t *testing.T) {
	seen := planCoverage{map[PlanVerdict]int{}, map[model.Reason]int{}, map[model.Reason]int{}, 0}
	rapid.Check(t, func(rt *rapid.T) {
		for range statesPerCheck {
			checkPlan(t, rt, &seen)
		}
	})
	t.Logf("%+v", seen)
	assert.Assert(t, len(seen.verdicts) == 5 && seen.started > 0, "%+v", seen)
	for _, reason := range []model.Reason{model.ReasonExceedsLimit, model.ReasonTenantRate, model.ReasonNeverFits, "queue_unknown", "store_unavailable"} {
		assert.Assert(t, seen.refused[reason] > 0, "%+v", seen)
	}
	for _, reason := range []model.Reason{"", planAfterSteps, waitForWorkers, waitForCapacity, waitForLimit} {
		assert.Assert(t, seen.wait[reason] > 0, "%+v", seen)
	}
}

// checkPlan compares a plan in a drawn state with a submission in an equal one.
func checkPlan(t *testing.T, rt *rapid.T, seen *planCoverage) {
	state := drawPlanState(rt)
	spec := drawPlanSpec(rt, fmt.Sprintf("%016x", rapid.IntRange(0, 200).Draw(rt, "id")))
	planned, real := state.build(t), state.build(t)
	assert.Assert(rt, reflect.DeepEqual(planned.core, real.core), "two equal states differ")
	plan := planned.core.Plan(planned.now, &spec)
	predictAll(planned.core)
	predictAll(real.core)
	assert.Assert(rt, reflect.DeepEqual(planned.core, real.core), "the plan has changed the state")
	checkPlanVerdict(rt, &plan, real.core.Submit(real.now, &spec, 99))
	seen.verdicts[plan.Verdict]++
	seen.refused[plan.Reason]++
	if plan.Verdict != PlanAccepted {
		return
	}
	real.storeBatch()
	real.core.Schedule(real.now)
	starts, j := real.core.TakeActions().Starts, real.core.jobs[spec.ID]
	assert.Equal(rt, j.excess, plan.Excess)
	for _, s := range plan.Steps {
		seen.wait[s.Wait]++
		seen.started += s.Starting
		assert.DeepEqual(rt, workersOfStep(starts, spec.ID, s.Step), workersOfPlan(&s))
		if s.Wait != planAfterSteps {
			assert.Equal(rt, j.occurrences[0].steps[s.Step].wait.reason, s.Wait)
		}
	}
}

// predictAll fills the predictions that steps keep until more is known of their run times. Whether a
// plan or a round has asked for them first is no difference between two states.
func predictAll(c *Core) {
	for _, j := range c.jobs {
		for _, o := range j.occurrences {
			for _, s := range o.steps {
				for q := range runTimeQuantiles {
					c.runTime(s, runTimeQuantile(q))
				}
			}
		}
	}
}

// checkPlanVerdict compares a plan with the response to the submission, which is nil if it was
// accepted.
func checkPlanVerdict(t *rapid.T, plan *Plan, resp *Response) {
	want := map[PlanVerdict]ResponseKind{PlanAccepted: ResponseAccepted, PlanKnown: ResponseAccepted, PlanRefused: ResponseRefused,
		PlanUnavailable: ResponseStoreUnavailable, PlanConflict: ResponseConflict}[plan.Verdict]
	if resp == nil {
		assert.Equal(t, want, ResponseAccepted, "%+v", plan)
		return
	}
	assert.Equal(t, resp.Kind, want, "%+v %+v", plan, resp)
	assert.Equal(t, resp.Reason, plan.Reason)
	assert.Equal(t, resp.RetryAfter.Milliseconds(), plan.RetryAfterMS)
}

// workersOfStep counts the starts of a step by worker.
func workersOfStep(starts []StartRequest, job string, step int) map[model.WorkerID]int {
	out := map[model.WorkerID]int{}
	for _, s := range starts {
		if s.Task.Job == job && int(s.Task.Step) == step {
			out[s.Worker]++
		}
	}
	return out
}

func workersOfPlan(s *PlanStep) map[model.WorkerID]int {
	out := map[model.WorkerID]int{}
	for _, w := range s.Workers {
		out[w.Worker] = w.Tasks
	}
	return out
}

// Guards against a plan that promises workers before the advice service was asked or a more urgent gang
// was placed, that places what is not due yet, or whose cost has no limit.
func TestPlanOfStepsThatAreNotPlaced(t *testing.T) {
	c := planBenchCore(5000)
	step := Step{Count: 1, Size: model.Size{MilliCPU: 1}}
	plan := c.Plan(startTime, &Spec{ID: "a", Queue: "advised", Steps: []Step{step}})
	assert.Equal(t, plan.Steps[0].Wait, waitForTicket)
	assert.DeepEqual(t, plan.Steps[0].Lacking, model.Counts{lacksAdvice: 5000})

	plan = c.Plan(startTime, &Spec{ID: "a", Queue: "q", Steps: []Step{step}, Repeat: 2, FirstDue: startTime.Add(time.Minute), Interval: time.Minute})
	assert.Equal(t, plan.Steps[0].Wait, planNotDue)
	assert.Equal(t, plan.Steps[0].EarliestStartMS, time.Minute.Milliseconds())

	c.pools["s"].gangWaits, c.pools["s"].gangPriority = true, -1
	plan = c.Plan(startTime, &Spec{ID: "a", Queue: "q", Steps: []Step{step}})
	assert.Equal(t, plan.Steps[0].Wait, waitForGang)
	c.pools["s"].gangWaits = false

	step.Count = MaxTasksPerStep
	plan = c.Plan(startTime, &Spec{ID: "a", Queue: "q", Steps: []Step{step, step}})
	assert.Equal(t, plan.Steps[0].Wait, planNotExamined)
	assert.Equal(t, plan.Steps[0].Starting, (planBudget-5000)/5000)
	assert.Equal(t, plan.Steps[1].Wait, planNotExamined)
	assert.Equal(t, plan.Steps[1].Starting, 0)
}

// Measures a plan of a job with many steps and tasks, whose cost planBudget limits, and of a small one.
func BenchmarkPlan(b *testing.B) {
	for _, workers := range []int{100, 1000, 5000} {
		c := planBenchCore(workers)
		small, large := &Spec{ID: "small", Queue: "q", Steps: []Step{smallStep(1)}}, &Spec{ID: "large", Queue: "q"}
		for i := range MaxSteps {
			s := smallStep(MaxTasksPerStep)
			s.Size, s.MaxPerWorker, s.Gang = model.Size{MilliCPU: 1}, i%2*200, i%4 == 3
			large.Steps = append(large.Steps, s)
		}
		for _, spec := range []*Spec{small, large} {
			b.Run(fmt.Sprintf("%s/%d", spec.ID, workers), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					if p := c.Plan(startTime, spec); p.Verdict != PlanAccepted {
						b.Fatal(p.Verdict, p.Reason)
					}
				}
			})
		}
	}
}

// planBenchCore returns a leader with workers that accept tasks and are half used.
func planBenchCore(workers int) *Core {
	c := New(testConfig())
	c.SetQueues([]Queue{{Name: "q", Service: "s", MaxAttempts: 2, Slack: 2, Target: time.Second}, {Name: "advised", Service: "s", Advice: &AdviceConfig{}}})
	c.workerListRead, c.wall = true, startTime
	p := &pool{}
	for i := range workers {
		w := c.worker(model.WorkerID(fmt.Sprintf("w%05d", i)))
		w.WorkerEntry, w.listed, w.state = workerEntry(string(w.ID)), true, WorkerUsable
		w.resources = resources{capacity: w.Capacity, used: model.Size{MilliCPU: w.Capacity.MilliCPU / 2, MemMB: w.Capacity.MemMB / 2}}
		p.workers = append(p.workers, w)
	}
	c.pools["s"] = p
	p.startRound()
	return c
}
