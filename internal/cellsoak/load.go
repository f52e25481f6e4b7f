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
	// attempts is how often a caller submits a job.
	attempts = 6
	// retryPause is the mean pause between them.
	retryPause = 700 * time.Millisecond
	// cancelShare, repeatShare, poisonShare and hugeShare are the parts of the jobs
	// that are cancelled, submitted again after their answer, can never be done,
	// and fit on no worker.
	cancelShare, repeatShare, poisonShare, hugeShare = 0.08, 0.1, 0.02, 0.02
)

// load submits jobs as many callers would.
type load struct {
	cell *soakCell
	rng  *rand.Rand
	work sync.WaitGroup
	next int
}

// run submits jobs at a rate until ctx ends.
func (l *load) run(ctx context.Context, perSecond float64) {
	for pause.For(ctx, time.Duration(l.rng.ExpFloat64()/perSecond*float64(time.Second))) {
		j, prefix := l.draw()
		seed := l.rng.Uint64()
		l.work.Go(func() { l.caller(rand.New(rand.NewPCG(seed, 1)), j, prefix) })
	}
	l.work.Wait()
}

// draw returns the next job.
func (l *load) draw() (*seenJob, string) {
	l.next++
	step := func(count int, gang bool) jobs.Step {
		return jobs.Step{Count: count, Gang: gang, Size: model.Size{MilliCPU: 250 * (1 + l.rng.Int64N(8)), MemMB: 100}, Estimate: time.Second}
	}
	spec := &jobs.Spec{ID: fmt.Sprintf("%016x", l.next), Payload: payload(time.Duration(100+l.rng.IntN(1200))*time.Millisecond, l.rng.Float64() < poisonShare)}
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
		spec.Steps[0].Size.MilliCPU = 2 * capacity.MilliCPU
	}
	j := &seenJob{spec: spec}
	l.cell.world.mu.Lock()
	l.cell.world.jobs[spec.ID] = j
	l.cell.world.mu.Unlock()
	return j, prefix
}

// caller submits one job until it has an answer, and may submit it again or
// cancel it.
func (l *load) caller(rng *rand.Rand, j *seenJob, prefix string) {
	ctx := context.Background()
	for range attempts {
		if l.submit(ctx, rng, j, prefix) {
			break
		}
		pause.For(ctx, time.Duration(rng.ExpFloat64()*float64(retryPause)))
	}
	draw := rng.Float64()
	switch {
	case draw < repeatShare:
		pause.For(ctx, time.Duration(rng.IntN(3000))*time.Millisecond)
		l.submit(ctx, rng, j, prefix)
	case draw < repeatShare+cancelShare:
		pause.For(ctx, time.Duration(rng.IntN(2000))*time.Millisecond)
		l.cell.world.mu.Lock()
		j.cancelled = true
		l.cell.world.mu.Unlock()
		for range attempts {
			if _, err := l.cell.caller.Cancel(ctx, l.daemon(rng), prefix, j.spec.ID); err == nil {
				return
			}
			pause.For(ctx, time.Duration(rng.ExpFloat64()*float64(retryPause)))
		}
	}
}

// submit makes one submission, records how it was answered and reports whether
// the job was accepted.
func (l *load) submit(ctx context.Context, rng *rand.Rand, j *seenJob, prefix string) bool {
	w := l.cell.world
	w.mu.Lock()
	j.pending++
	w.mu.Unlock()
	v, err := l.cell.caller.Submit(ctx, l.daemon(rng), prefix, j.spec)
	w.mu.Lock()
	defer w.mu.Unlock()
	j.pending--
	switch {
	case err != nil || v == cell.VerdictUnknown:
		j.unclear = true
	case v == cell.VerdictOK:
		j.accepted = true
	case v == cell.VerdictOverloaded || v == cell.VerdictUnavailable:
		j.refused++
		w.checkRefused(j)
	default:
		w.violate("LOST: submission of %s was answered with verdict %d", j.spec.ID, v)
	}
	return j.accepted
}

// daemon returns the address of a random daemon, as a balancer would choose it.
func (l *load) daemon(rng *rand.Rand) string {
	return l.cell.daemons[rng.IntN(len(l.cell.daemons))].settings.CallerAddress
}

// settle asks for all accepted jobs until each has a final state.
func (l *load) settle(ctx context.Context) {
	rng := rand.New(rand.NewPCG(1, 2))
	for {
		open := l.open()
		if len(open) == 0 {
			return
		}
		for _, j := range open {
			l.ask(ctx, rng, j)
		}
		if !pause.For(ctx, settlePoll) {
			l.report(open)
			return
		}
	}
}

// settlePoll is the pause between two rounds of questions.
const settlePoll = 300 * time.Millisecond

// report names the accepted jobs without a final state.
func (l *load) report(open []*seenJob) {
	l.cell.world.mu.Lock()
	defer l.cell.world.mu.Unlock()
	for _, j := range open {
		l.cell.world.violate("LOST: job %s was accepted and has no final state", j.spec.ID)
	}
}

func (l *load) open() []*seenJob {
	l.cell.world.mu.Lock()
	defer l.cell.world.mu.Unlock()
	var out []*seenJob
	for _, j := range l.cell.world.jobs {
		if j.accepted && j.final == "" {
			out = append(out, j)
		}
	}
	return out
}

// ask asks for one job at a random daemon.
func (l *load) ask(ctx context.Context, rng *rand.Rand, j *seenJob) {
	prefix := urgentPrefix
	if len(j.spec.Steps) > 1 || j.spec.Steps[0].Gang {
		prefix = batchPrefix
	}
	verdict, view, err := l.cell.caller.State(ctx, l.daemon(rng), prefix, j.spec.ID)
	if err != nil {
		return
	}
	w := l.cell.world
	w.mu.Lock()
	defer w.mu.Unlock()
	switch verdict {
	case cell.VerdictOK:
		w.told(j, view)
	case cell.VerdictNoJob:
		w.violate("LOST: job %s was accepted and is not known", j.spec.ID)
	}
}
