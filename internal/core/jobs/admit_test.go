package jobs

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"catkinvalve/internal/core/model"
)

// Guards against accepting a job that fits no worker: it would never start and
// its client would wait for nothing.
func TestJobThatFitsNoWorkerIsRefused(t *testing.T) {
	for _, tc := range []struct {
		name string
		step Step
	}{
		{"too large", Step{Count: 1, Size: model.Size{MilliCPU: 9000}}},
		{"label that no worker has", Step{Count: 1, Size: model.Size{MilliCPU: 100}, Label: "gpu"}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			b := newTestBench(t)
			b.addWorkers("w1", "w2")
			resp := b.core.Submit(b.now, &Spec{ID: "j1", Queue: "q", Steps: []Step{smallStep(1), tc.step}}, 7)
			assert.Assert(t, resp != nil)
			assert.Equal(t, resp.Kind, ResponseRefused)
			assert.Equal(t, resp.Call, CallID(7))
			assert.Equal(t, resp.Reason, model.ReasonNeverFits)
			assert.Assert(t, resp.RetryAfter >= time.Second)
			_, known := b.core.State("j1")
			assert.Assert(t, !known, "a refused job is still known")
			assert.Assert(t, b.core.TakeBatch() == nil, "a refused job is stored")
		})
	}
}

// Guards against refusing jobs while no worker is known yet, as after a restart
// of the whole cell.
func TestJobIsAcceptedWithoutWorkers(t *testing.T) {
	b := newTestBench(t)
	resp := b.core.Submit(b.now, &Spec{ID: "j1", Queue: "q", Steps: []Step{{Count: 1, Size: model.Size{MilliCPU: 9000}}}}, 1)
	assert.Assert(t, resp == nil, "%v", resp)
}

// Guards against clients that wait while the store is unavailable. A job that
// is in no append is refused; one that may already be stored must not be.
func TestStalledStoreRefusesOnlyUnsentJobs(t *testing.T) {
	b := newTestBench(t)
	b.addWorkers("w1")
	submit := func(id string, call CallID) *Response {
		return b.core.Submit(b.now, &Spec{ID: id, Queue: "q", Steps: []Step{smallStep(1)}}, call)
	}
	assert.Assert(t, submit("sent", 1) == nil)
	batch := b.core.TakeBatch()
	assert.Assert(t, submit("waiting", 2) == nil)
	b.core.SetStoreStalled(b.now, true)
	later := submit("later", 3)
	assert.Assert(t, later != nil && later.Kind == ResponseStoreUnavailable)
	out := b.core.TakeActions()
	assert.Equal(t, len(out.Responses), 1)
	assert.Equal(t, out.Responses[0].Call, CallID(2))
	assert.Equal(t, out.Responses[0].Kind, ResponseStoreUnavailable)
	b.core.HandleBatchStored(b.now, batch.Seq)
	out = b.core.TakeActions()
	assert.DeepEqual(t, out.Responses, []Response{{Call: 1, Kind: ResponseAccepted}})
}

// Guards against a new leader that accepts a job which fits no worker because
// it has not read the list of workers yet. In the platform soak, seed 11, such
// a job was accepted 20 ms after a change of leader and stayed queued forever.
func TestSubmissionWaitsForWorkerList(t *testing.T) {
	b := newTestBench(t)
	huge := smallStep(1)
	huge.Size.MilliCPU = 100_000
	assert.Assert(t, b.core.Submit(b.now, &Spec{ID: "huge", Queue: "q", Steps: []Step{huge}}, 1) == nil)
	assert.Assert(t, b.core.Submit(b.now, &Spec{ID: "fits", Queue: "q", Steps: []Step{smallStep(1)}}, 2) == nil)
	assert.Assert(t, b.core.Submit(b.now, &Spec{ID: "dropped", Queue: "q", Steps: []Step{smallStep(1)}}, 3) == nil)
	assert.Equal(t, b.core.Cancel(b.now, "dropped", 4).Kind, ResponseNoSuchJob)
	b.core.SetWorkers(b.now, []WorkerEntry{workerEntry("w1")})
	b.storeBatch()
	b.advance(0)
	kinds := map[CallID]ResponseKind{}
	for _, resp := range b.out.Responses {
		kinds[resp.Call] = resp.Kind
	}
	assert.DeepEqual(t, kinds, map[CallID]ResponseKind{1: ResponseRefused, 2: ResponseAccepted, 3: ResponseRefused})
}

// Guards against submissions that wait forever while the list of workers cannot
// be read.
func TestSubmissionIsDecidedAfterWorkerListWait(t *testing.T) {
	b := newTestBench(t)
	assert.Assert(t, b.core.Submit(b.now, &Spec{ID: "j1", Queue: "q", Steps: []Step{smallStep(1)}}, 1) == nil)
	b.advance(workerListWait)
	b.storeBatch()
	assert.Equal(t, jobView(t, b.core, "j1"), ViewQueued)
}

// Guards against accepting a gang of which each member fits on a worker, but not all of them at
// the same time: it would never start.
func TestGangLargerThanAllWorkersIsRefused(t *testing.T) {
	apart := gangStep(3, 1000)
	apart.MaxPerWorker = 1
	labelled := gangStep(2, 8000)
	labelled.Label = "big"
	for _, tc := range []struct {
		name    string
		step    Step
		refused bool
	}{
		{"fits exactly", gangStep(2, 8000), false},
		{"larger than all workers", gangStep(3, 8000), true},
		{"fits only if it could be split", gangStep(3, 5300), true},
		{"one member per worker", apart, true},
		{"too few workers with the label", labelled, true},
		{"many tasks that need not run together", smallStep(100), false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			b := newTestBench(t)
			big, plain := workerEntry("w1"), workerEntry("w2")
			big.Labels = []string{"big"}
			b.core.SetWorkers(b.now, []WorkerEntry{big, plain})
			resp := b.core.Submit(b.now, &Spec{ID: "j1", Queue: "q", Steps: []Step{smallStep(1), tc.step}}, 7)
			assert.Equal(t, resp != nil, tc.refused)
			if tc.refused {
				assert.Equal(t, resp.Kind, ResponseRefused)
				assert.Equal(t, resp.Reason, model.ReasonNeverFits)
				assert.Assert(t, resp.RetryAfter >= time.Second)
			}
		})
	}
}

// Guards against refusing wide gangs while workers restart, and against accepting them for
// ever after workers have left.
func TestWideGangIsAcceptedWhileWorkersRestart(t *testing.T) {
	draining := workerEntry("w2")
	draining.Draining = true
	for _, tc := range []struct {
		name    string
		last    WorkerEntry
		away    time.Duration
		refused bool
	}{
		{"left without notice", workerEntry("w2"), time.Second, false},
		{"does not return", workerEntry("w2"), absenceTime + time.Second, true},
		{"left as planned", draining, time.Second, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			b := newTestBench(t)
			b.core.SetWorkers(b.now, []WorkerEntry{workerEntry("w1"), tc.last})
			b.core.SetWorkers(b.now, []WorkerEntry{workerEntry("w1")})
			b.advance(tc.away)
			resp := b.core.Submit(b.now, &Spec{ID: "j1", Queue: "q", Steps: []Step{gangStep(2, 8000)}}, 1)
			assert.Equal(t, resp != nil, tc.refused)
		})
	}
}

// Guards against one entry of the worker list, at whose address nobody answers, on whose
// capacity jobs are accepted that no worker can run.
func TestWorkerThatNeverAnsweredDoesNotCountForAdmission(t *testing.T) {
	b := newTestBench(t)
	b.addWorkers("w1")
	silent := workerEntry("w2")
	silent.Capacity.MilliCPU *= 100
	b.core.SetWorkers(b.now, []WorkerEntry{workerEntry("w1"), silent})
	submit := func(id string) *Response {
		return b.core.Submit(b.now, &Spec{ID: id, Queue: "q", Steps: []Step{wholeWorkerStep(1, time.Second), {Count: 1, Size: silent.Capacity}}}, 1)
	}
	fail := func(d time.Duration) {
		for end := b.now.Add(d); b.now.Before(end); {
			for _, req := range b.advance(100 * time.Millisecond).Syncs {
				r := SyncResult{Worker: req.Worker, SentAt: b.now, Status: CallNoAnswer}
				if req.Worker == "w1" {
					r = SyncResult{Worker: req.Worker, SentAt: b.now, Incarnation: 1, ClockMs: b.clockMs()}
				}
				b.core.HandleSyncResult(b.now, &r)
			}
		}
	}
	fail(firstAnswerTime / 2)
	assert.Assert(t, submit("early") == nil, "a job is refused although its worker may still answer")
	fail(firstAnswerTime)
	refused := submit("late")
	assert.Assert(t, refused != nil && refused.Reason == model.ReasonNeverFits)
}
