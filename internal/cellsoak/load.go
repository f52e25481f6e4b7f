package cellsoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"catkinvalve/internal/cell"
	"catkinvalve/internal/core/jobs"
	"catkinvalve/internal/core/model"
	"catkinvalve/internal/pause"
)

const (
	// submitAttempts is the largest number of attempts of a caller to submit a job, or
	// to cancel it.
	submitAttempts = 6
	// meanRetryInterval is the mean time between two attempts.
	meanRetryInterval = 700 * time.Millisecond
	// cancelShare, repeatShare, poisonShare and hugeShare are the fractions of jobs
	// that are cancelled, submitted again after their answer, always fail, and fit
	// on no worker.
	cancelShare, repeatShare, poisonShare, hugeShare = 0.08, 0.1, 0.02, 0.02
	// deadlyShare is the fraction of deadly jobs during DeadlyJobs. In a quarter of them
	// all tasks of the last step are deadly, in the others one.
	deadlyShare = 0.1
)

// load submits jobs like many independent callers.
type load struct {
	cell *soakCell
	rng  *rand.Rand
	// deadlyRng draws the deadly jobs, so that the others do not depend on them.
	deadlyRng *rand.Rand
	callers   sync.WaitGroup
	lastID    int
}

// run submits perSecond jobs per second on average until ctx ends, and waits for their
// callers. Arrivals are a Poisson process.
func (l *load) run(ctx context.Context, perSecond float64) {
	for pause.For(ctx, time.Duration(l.rng.ExpFloat64()/perSecond*float64(time.Second))) {
		j, prefix := l.nextJob()
		seed := l.rng.Uint64()
		l.callers.Go(func() { l.caller(rand.New(rand.NewPCG(seed, 1)), j, prefix) })
	}
	l.callers.Wait()
}

// nextJob draws the next job, which the checker tracks from then on, and returns it with
// the prefix of its route.
func (l *load) nextJob() (*trackedJob, string) {
	l.lastID++
	step := func(count int, gang bool) jobs.Step {
		return jobs.Step{Count: count, Gang: gang, Size: model.Size{MilliCPU: 250 * (1 + l.rng.Int64N(8)), MemMB: 100}, Estimate: time.Second}
	}
	spec := &jobs.Spec{ID: fmt.Sprintf("%016x", l.lastID), Payload: payload(time.Duration(100+l.rng.IntN(1200))*time.Millisecond, l.rng.Float64() < poisonShare)}
	prefix := urgentPrefix
	switch l.rng.IntN(4) {
	case 0:
		prefix = batchPrefix
		spec.Steps = []jobs.Step{step(1+l.rng.IntN(4), false), step(1+l.rng.IntN(4), l.rng.IntN(2) == 0)}
		spec.Steps[1].After = []int{0}
	case 1:
		prefix = batchPrefix
		spec.Steps = []jobs.Step{step(2+l.rng.IntN(5), true)}
	default:
		spec.Steps = []jobs.Step{step(1+l.rng.IntN(3), false)}
	}
	if l.rng.Float64() < hugeShare {
		spec.Steps[0].Size.MilliCPU = 2 * workerCapacity.MilliCPU
	}
	if l.cell.deadlyJobs.Load() && l.deadlyRng.Float64() < deadlyShare {
		mark := firstDeadlyMark
		if l.deadlyRng.IntN(4) == 0 {
			mark = allDeadlyMark
		}
		spec.Payload = deadlyPayload(mark, spec.Payload)
	}
	j := &trackedJob{spec: spec}
	l.cell.checker.mu.Lock()
	j.tenant = l.cell.tenants.draw()
	l.cell.checker.jobs[spec.ID] = j
	l.cell.checker.mu.Unlock()
	return j, prefix
}

// caller submits one job until it is accepted, at most submitAttempts times. Some callers
// then submit it once more or cancel it.
func (l *load) caller(rng *rand.Rand, j *trackedJob, prefix string) {
	ctx := context.Background()
	for range submitAttempts {
		if l.submit(ctx, rng, j, prefix) {
			break
		}
		pause.For(ctx, time.Duration(rng.ExpFloat64()*float64(meanRetryInterval)))
	}
	draw := rng.Float64()
	switch {
	case draw < repeatShare:
		pause.For(ctx, time.Duration(rng.IntN(3000))*time.Millisecond)
		l.submit(ctx, rng, j, prefix)
	case draw < repeatShare+cancelShare:
		pause.For(ctx, time.Duration(rng.IntN(2000))*time.Millisecond)
		l.cell.checker.mu.Lock()
		j.cancelled = true
		l.cell.checker.mu.Unlock()
		for range submitAttempts {
			if _, err := l.cell.callerOf(j.tenant).Cancel(ctx, l.randomDaemon(rng), prefix, j.spec.ID); err == nil {
				return
			}
			pause.For(ctx, time.Duration(rng.ExpFloat64()*float64(meanRetryInterval)))
		}
	}
}

// submit submits a job once, records the outcome and reports whether the job was accepted
// by this or an earlier submission.
func (l *load) submit(ctx context.Context, rng *rand.Rand, j *trackedJob, prefix string) bool {
	chk := l.cell.checker
	chk.mu.Lock()
	j.unanswered++
	chk.mu.Unlock()
	v, err := l.cell.callerOf(j.tenant).Submit(ctx, l.randomDaemon(rng), prefix, j.spec)
	chk.mu.Lock()
	defer chk.mu.Unlock()
	j.unanswered--
	switch {
	case err != nil || v == cell.VerdictUnknown:
		j.uncertain = true
	case v == cell.VerdictOK:
		j.accepted = true
	case v == cell.VerdictOverloaded || v == cell.VerdictUnavailable || v == cell.VerdictUnauthorized && j.tenant != "":
		j.refused++
		chk.checkRefused(j)
	default:
		chk.addViolation("LOST: submission of %s was answered with verdict %d", j.spec.ID, v)
	}
	return j.accepted
}

// randomDaemon returns the address of a random daemon, as a load balancer would choose it.
func (l *load) randomDaemon(rng *rand.Rand) string {
	return l.cell.daemons[rng.IntN(len(l.cell.daemons))].settings.CallerAddress
}

// awaitFinalStates queries all accepted jobs until each has a final state. When ctx ends,
// it adds a violation for each job without one.
func (l *load) awaitFinalStates(ctx context.Context) {
	rng, chk := rand.New(rand.NewPCG(1, 2)), l.cell.checker
	for {
		chk.mu.Lock()
		unfinished := chk.unfinished()
		chk.mu.Unlock()
		if len(unfinished) == 0 {
			return
		}
		for _, j := range unfinished {
			l.queryState(ctx, rng, j)
		}
		if !pause.For(ctx, pollInterval) {
			chk.mu.Lock()
			defer chk.mu.Unlock()
			chk.checkUnfinished(unfinished)
			return
		}
	}
}

// pollInterval is the time between two rounds of queries.
const pollInterval = 300 * time.Millisecond

// queryState queries the state of one job at a random daemon and checks it. A call without
// an answer is ignored, since awaitFinalStates repeats it.
func (l *load) queryState(ctx context.Context, rng *rand.Rand, j *trackedJob) {
	prefix := urgentPrefix
	if len(j.spec.Steps) > 1 || j.spec.Steps[0].Gang {
		prefix = batchPrefix
	}
	if l.cell.tenants != nil && rng.IntN(foreignQueries) == 0 {
		l.queryAsAnother(ctx, rng, j, prefix)
	}
	verdict, view, err := l.cell.callerOf(j.tenant).State(ctx, l.randomDaemon(rng), prefix, j.spec.ID)
	if err != nil {
		return
	}
	chk := l.cell.checker
	chk.mu.Lock()
	defer chk.mu.Unlock()
	switch verdict {
	case cell.VerdictOK:
		chk.checkReported(j, view)
	case cell.VerdictNoJob:
		chk.addViolation("LOST: job %s was accepted and is not known", j.spec.ID)
	}
}

// foreignQueries is how many queries there are for each query with the key of another tenant.
const foreignQueries = 4

// queryAsAnother queries the state of a job with the key of another tenant, which must not learn it.
func (l *load) queryAsAnother(ctx context.Context, rng *rand.Rand, j *trackedJob, prefix string) {
	other := l.cell.tenants.list[rng.IntN(len(l.cell.tenants.list))].Name
	if other == j.tenant {
		return
	}
	if verdict, view, err := l.cell.callerOf(other).State(ctx, l.randomDaemon(rng), prefix, j.spec.ID); err == nil && verdict == cell.VerdictOK {
		l.cell.addViolation("KEYS: job %s of %s is %s for %s", j.spec.ID, j.tenant, view, other)
	}
}
