package workerd

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"catkinvalve/internal/adapters/jsonhttp"
	"catkinvalve/internal/adapters/workerclient"
	"catkinvalve/internal/core/model"
	"catkinvalve/internal/fault"
	"catkinvalve/internal/ports"
	_ "catkinvalve/internal/propseed"
	"catkinvalve/internal/standin/harness"
	"catkinvalve/internal/standinapi"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const (
	longTTL  = 10 * time.Second
	shortTTL = 60 * time.Millisecond
	// pollTime limits waits for events; none of them should take this long.
	pollTime = 5 * time.Second
)

var (
	capacity = model.Size{MilliCPU: 1000, MemMB: 1000, Slots: 2}
	oneSlot  = model.Size{MilliCPU: 100, MemMB: 100, Slots: 1}
	a1       = ports.Lease{Holder: "a", Term: 1}
)

type fixture struct {
	t      *testing.T
	fleet  *Fleet
	worker ports.Worker
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	fleet, err := NewFleet(context.Background(), FleetConfig{
		Config: Config{Capacity: capacity, FinishedRetention: time.Minute},
		ID:     "w", Listen: "127.0.0.1:0",
	})
	assert.NilError(t, err)
	client, err := jsonhttp.New(jsonhttp.Options{Daemon: "daemon-a"})
	assert.NilError(t, err)
	t.Cleanup(func() { client.Close(); fleet.Close() })
	return &fixture{t: t, fleet: fleet, worker: workerclient.New(client).Worker(fleet.Addr("w"))}
}

func (r *fixture) ctx() context.Context { return r.t.Context() }

func (r *fixture) acquire(l ports.Lease, ttl time.Duration) ports.Grant {
	r.t.Helper()
	g, err := r.worker.Acquire(r.ctx(), l, ttl, longTTL)
	assert.NilError(r.t, err)
	return g
}

func (r *fixture) start(tasks ...ports.StartTask) {
	r.t.Helper()
	refused, err := r.worker.Start(r.ctx(), a1, tasks)
	assert.NilError(r.t, err)
	assert.Equal(r.t, len(refused), 0)
}

// await syncs until the task of the key reaches the state and returns that event.
func (r *fixture) await(key string, state model.TaskState) ports.TaskEvent {
	r.t.Helper()
	for until := time.Now().Add(pollTime); time.Now().Before(until); {
		res, err := r.worker.Sync(r.ctx(), a1, longTTL, 0, 100*time.Millisecond)
		assert.NilError(r.t, err)
		for _, e := range res.Events {
			if e.ID.Key == key && e.State == state {
				return e
			}
		}
		time.Sleep(time.Millisecond)
	}
	r.t.Fatalf("task of key %s did not reach state %s", key, state)
	return ports.TaskEvent{}
}

func (r *fixture) apply(f standinapi.WorkerFault) {
	r.t.Helper()
	assert.NilError(r.t, r.fleet.ApplyFault(f))
}

func startOf(key string, run time.Duration, payload string) ports.StartTask {
	return ports.StartTask{ID: model.TaskID{Key: key}, Attempt: 1, Size: oneSlot, RunTime: run, Payload: []byte(payload)}
}

func attempt(t ports.StartTask, n int) ports.StartTask {
	t.Attempt = n
	return t
}

func ptr[T any](v T) *T { return &v }

// Checks that a lease is not granted to a second holder before it expires and that
// terms never decrease.
func TestLeaseRules(t *testing.T) {
	now := time.Now()
	steps := []struct {
		name         string
		after        time.Duration
		holder       string
		term         uint64
		releaseLease bool
		want         bool
	}{
		{"first grant", 0, "a", 5, false, true},
		{"other holder before expiry", time.Second, "b", 9, false, false},
		{"same holder, equal term", time.Second, "a", 5, false, true},
		{"same holder, higher term", time.Second, "a", 6, false, true},
		{"same holder, lower term", time.Second, "a", 5, false, false},
		{"other holder after expiry, equal term", 12 * time.Second, "b", 6, false, false},
		{"other holder after expiry, higher term", 12 * time.Second, "b", 7, false, true},
		{"release by the old holder", 13 * time.Second, "a", 6, true, false},
		{"release by the holder", 13 * time.Second, "b", 7, true, true},
		{"other holder after release, lower term", 13 * time.Second, "c", 6, false, false},
		{"other holder after release, higher term", 13 * time.Second, "c", 8, false, true},
	}
	w := newWorker(Config{}, standinapi.WorkerInfo{}, &startCounts{})
	defer w.close()
	for _, s := range steps {
		in := standinapi.LeaseRequest{Holder: s.holder, Term: s.term, TTLMS: 10_000, TaskGraceMS: 60_000}
		var got bool
		if s.releaseLease {
			got = w.releaseLease(in, now.Add(s.after))
		} else {
			_, held := w.acquireLease(in, now.Add(s.after))
			got = held == nil
		}
		assert.Equal(t, got, s.want, s.name)
	}
}

// Checks with random sequences of requests that a granted lease replaces all
// earlier ones.
func TestLeaseHasOneHolder(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := newWorker(Config{}, standinapi.WorkerInfo{}, &startCounts{})
		defer w.close()
		now := time.Now()
		type grantedLease struct {
			holder string
			term   uint64
		}
		var last grantedLease
		var expires time.Time
		for range 30 {
			now = now.Add(time.Duration(rapid.IntRange(0, 80).Draw(rt, "ms")) * time.Millisecond)
			in := standinapi.LeaseRequest{
				Holder: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rt, "holder"),
				Term:   rapid.Uint64Range(1, 8).Draw(rt, "term"), TTLMS: 100, TaskGraceMS: 60_000,
			}
			if _, held := w.acquireLease(in, now); held != nil {
				continue
			}
			if in.Holder != last.holder && (now.Before(expires) || in.Term <= last.term) || in.Term < last.term {
				rt.Fatalf("granted %s/%d after %s/%d", in.Holder, in.Term, last.holder, last.term)
			}
			if (in.Holder != last.holder || in.Term != last.term) && w.lease.matches(last.holder, last.term, now) {
				rt.Fatalf("lease %s/%d is still current", last.holder, last.term)
			}
			last, expires = grantedLease{in.Holder, in.Term}, now.Add(100*time.Millisecond)
		}
	})
}

// Checks that the requests of a holder whose lease expired while it was paused are
// refused.
func TestPausedHolderIsRefused(t *testing.T) {
	r := newFixture(t)
	r.acquire(a1, shortTTL)
	time.Sleep(2 * shortTTL)
	_, err := r.worker.Start(r.ctx(), a1, []ports.StartTask{startOf("k", 0, "")})
	assert.Equal(t, fault.KindOf(err), fault.LeaseLost)
	err = r.worker.Stop(r.ctx(), a1, nil)
	assert.Equal(t, fault.KindOf(err), fault.LeaseLost)
	_, err = r.worker.Sync(r.ctx(), a1, longTTL, 0, 0)
	assert.Equal(t, fault.KindOf(err), fault.LeaseLost)
	assert.Equal(t, r.fleet.Stats().Workers["w"].Starts, int64(0))
}

// Checks that the refusal of a lease names the holder and the remaining time, after
// which a candidate can retry.
func TestHeldLeaseNamesHolder(t *testing.T) {
	r := newFixture(t)
	r.acquire(a1, longTTL)
	_, err := r.worker.Acquire(r.ctx(), ports.Lease{Holder: "b", Term: 2}, longTTL, longTTL)
	var held *ports.LeaseHeldError
	assert.Assert(t, errors.As(err, &held))
	assert.Equal(t, held.Lease, a1)
	assert.Assert(t, held.Remaining > 0 && held.Remaining <= longTTL)
	assert.Equal(t, fault.KindOf(err), fault.LeaseLost)
}

// Checks that a lease grant lists the running and the ended tasks for the new
// holder.
func TestGrantHasInventory(t *testing.T) {
	r := newFixture(t)
	r.acquire(a1, longTTL)
	r.start(startOf("endless", 0, ""), startOf("short", time.Millisecond, "p"))
	r.await("short", model.TaskDone)
	assert.NilError(t, r.worker.Release(r.ctx(), a1))
	g := r.acquire(ports.Lease{Holder: "b", Term: 2}, longTTL)
	assert.Equal(t, g.Capacity, capacity)
	got := map[string]model.RunningTask{}
	for _, task := range g.Tasks {
		got[task.ID.Key] = task
	}
	assert.Equal(t, got["endless"].State, model.TaskRunning)
	assert.Equal(t, got["endless"].Size, oneSlot)
	assert.Equal(t, got["short"].State, model.TaskDone)
	assert.Equal(t, string(got["short"].Answer), "short/0:p")
}

// Checks that a start that is repeated after a lost answer does not run the task
// twice.
func TestStartIsIdempotentAfterLostAnswer(t *testing.T) {
	r := newFixture(t)
	r.acquire(a1, longTTL)
	r.apply(standinapi.WorkerFault{CommonFault: standinapi.CommonFault{LoseNextAnswers: ptr(1)}})
	_, err := r.worker.Start(r.ctx(), a1, []ports.StartTask{startOf("k", time.Millisecond, "")})
	assert.Equal(t, fault.KindOf(err), fault.WorkerUnavailable)
	r.await("k", model.TaskDone)
	r.start(startOf("k", time.Millisecond, ""))
	s := r.fleet.Stats()
	assert.Equal(t, s.StartsPerKey["k"]["k/0"], 1)
	assert.Equal(t, s.Workers["w"].Starts, int64(1))
}

// Checks that the worker counts starts above its capacity and double starts. The
// checks of promise 1 (no worker is overloaded) and promise 2 (no task runs in two
// places at once) rely on these counters and would pass if they never increased.
func TestCountersDetectViolations(t *testing.T) {
	tests := []struct {
		name      string
		tasks     []ports.StartTask
		overloads int64
		doubles   int64
	}{
		{"fits", []ports.StartTask{startOf("a", 0, ""), startOf("b", 0, "")}, 0, 0},
		{"one slot too many", []ports.StartTask{startOf("a", 0, ""), startOf("b", 0, ""), startOf("c", 0, "")}, 1, 0},
		{"same attempt", []ports.StartTask{startOf("a", 0, ""), startOf("a", 0, "")}, 0, 0},
		{"other attempt", []ports.StartTask{startOf("a", 0, ""), attempt(startOf("a", 0, ""), 2)}, 0, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := newFixture(t)
			r.acquire(a1, longTTL)
			r.start(tt.tasks...)
			s := r.fleet.Stats()
			assert.Equal(t, s.Workers["w"].OverCapacityStarts, tt.overloads)
			assert.Equal(t, s.Workers["w"].DoubleStarts, tt.doubles)
			assert.Equal(t, s.ConcurrentRuns, tt.doubles)
			assert.Equal(t, s.Workers["w"].MaxInUse.Slots, s.Workers["w"].Starts)
		})
	}
}

// Checks that a start whose time limit passed while it waited at the worker is
// refused.
func TestLateStartIsRefused(t *testing.T) {
	r := newFixture(t)
	r.acquire(a1, longTTL)
	r.apply(standinapi.WorkerFault{CommonFault: standinapi.CommonFault{DelayMS: ptr(int64(50))}})
	late, inTime := startOf("late", 0, ""), startOf("in-time", 0, "")
	late.StartWithin, inTime.StartWithin = 10*time.Millisecond, longTTL
	refused, err := r.worker.Start(r.ctx(), a1, []ports.StartTask{late, inTime})
	assert.NilError(t, err)
	assert.DeepEqual(t, refused, []ports.StartRefusal{{ID: late.ID, Reason: model.ReasonDeadline}})
	assert.Equal(t, r.fleet.Stats().Workers["w"].Running, 1)
}

// Checks the final states of tasks with directives, after each stop mode and on a
// worker with fail_all.
func TestTaskEnds(t *testing.T) {
	r := newFixture(t)
	r.acquire(a1, longTTL)
	r.start(startOf("directed", 0, `{"sleep_ms":1,"answer":"x"}`), startOf("failing", 0, `{"fail":true}`),
		startOf("stopped", 0, ""), startOf("checkpointed", 0, ""), startOf("throttled", 0, ""))
	assert.NilError(t, r.worker.Stop(r.ctx(), a1, []ports.StopTask{
		{ID: model.TaskID{Key: "stopped"}, Mode: ports.StopNow},
		{ID: model.TaskID{Key: "checkpointed"}, Mode: ports.StopCheckpoint},
		{ID: model.TaskID{Key: "throttled"}, Mode: ports.StopThrottle},
	}))
	assert.Equal(t, string(r.await("directed", model.TaskDone).Answer), "x")
	assert.Equal(t, r.await("failing", model.TaskFailed).OK, false)
	r.await("stopped", model.TaskStopped)
	r.await("checkpointed", model.TaskStopped)
	assert.Equal(t, r.fleet.Stats().Workers["w"].Running, 1)
	r.apply(standinapi.WorkerFault{Worker: "w", FailAll: ptr(true)})
	r.start(startOf("any", time.Hour, ""))
	r.await("any", model.TaskFailed)
}

// Checks that the tasks of a lease that is not renewed are stopped when its grace
// period ends and not before.
func TestGraceStopsTasks(t *testing.T) {
	tests := []struct {
		name  string
		end   func(r *fixture) error
		least time.Duration
	}{
		{"released", func(r *fixture) error { return r.worker.Release(r.ctx(), a1) }, shortTTL},
		{"expired", func(r *fixture) error {
			_, err := r.worker.Acquire(r.ctx(), a1, shortTTL, shortTTL)
			return err
		}, 2 * shortTTL},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := newFixture(t)
			_, err := r.worker.Acquire(r.ctx(), a1, longTTL, shortTTL)
			assert.NilError(t, err)
			r.start(startOf("k", 0, ""))
			begin := time.Now()
			assert.NilError(t, tt.end(r))
			for r.fleet.Stats().Workers["w"].Running > 0 {
				assert.Assert(t, time.Since(begin) < pollTime, "the task is still running")
				time.Sleep(time.Millisecond)
			}
			assert.Assert(t, time.Since(begin) >= tt.least, "the task was stopped before the grace period ended")
			g := r.acquire(ports.Lease{Holder: "b", Term: 2}, longTTL)
			assert.Equal(t, len(g.Tasks), 1)
			assert.Equal(t, g.Tasks[0].State, model.TaskStopped)
		})
	}
}

// Checks that a simulated crash discards the state of the worker and keeps the
// counters of the process.
func TestCrashDiscardsState(t *testing.T) {
	r := newFixture(t)
	before := r.acquire(a1, longTTL)
	r.start(startOf("k", 0, ""))
	r.apply(standinapi.WorkerFault{Crash: true})
	_, err := r.worker.Sync(r.ctx(), a1, longTTL, 0, 0)
	assert.Equal(t, fault.KindOf(err), fault.LeaseLost)
	after := r.acquire(a1, longTTL)
	assert.Assert(t, before.BootID != after.BootID)
	assert.Equal(t, len(after.Tasks), 0)
	r.start(startOf("k", 0, ""))
	s := r.fleet.Stats()
	assert.Equal(t, s.StartsPerKey["k"]["k/0"], 2)
	assert.Equal(t, s.ConcurrentRuns, int64(0))
	_, err = r.worker.Sync(r.ctx(), a1, longTTL, 99, 0)
	assert.Equal(t, fault.KindOf(err), fault.WorkerUnavailable, "ack from before the crash")
}

// Checks that events are returned until they are acknowledged and that the client
// receives them duplicated and reordered while these faults are active.
func TestSyncEvents(t *testing.T) {
	r := newFixture(t)
	r.acquire(a1, longTTL)
	go func() {
		time.Sleep(20 * time.Millisecond)
		r.fleet.workers["w"].startTasks(standinapi.StartRequest{Holder: "a", Term: 1, Tasks: []standinapi.StartTask{
			{ID: "a/0", Attempt: 1, Key: "a", Size: oneSlot}, {ID: "b/0", Attempt: 1, Key: "b", Size: oneSlot},
		}}, time.Now(), time.Now())
	}()
	syncFrom := func(ack int64) (seqs []int64, usage int) {
		t.Helper()
		res, err := r.worker.Sync(r.ctx(), a1, longTTL, ack, pollTime)
		assert.NilError(t, err)
		for _, e := range res.Events {
			seqs = append(seqs, e.Seq)
		}
		return seqs, len(res.Usage)
	}
	seqs, usage := syncFrom(0)
	assert.DeepEqual(t, seqs, []int64{1, 2})
	assert.Equal(t, usage, 2)
	r.apply(standinapi.WorkerFault{DuplicateEvents: ptr(true), ReorderEvents: ptr(true)})
	seqs, _ = syncFrom(0)
	assert.DeepEqual(t, seqs, []int64{2, 2, 1, 1})
	seqs, _ = syncFrom(1)
	assert.DeepEqual(t, seqs, []int64{2, 2})
}

// Checks that usage is delayed by UsageLag and returned at most once per
// UsagePeriod, as on the platform.
func TestUsageLags(t *testing.T) {
	w := newWorker(Config{UsageLag: time.Second, UsagePeriod: time.Second}, standinapi.WorkerInfo{},
		&startCounts{startsByKey: map[string]map[string]int{}, runningByID: map[string]int{}})
	defer w.close()
	now := time.Now()
	w.acquireLease(standinapi.LeaseRequest{Holder: "a", Term: 1, TTLMS: 60_000, TaskGraceMS: 60_000}, now)
	w.startTasks(standinapi.StartRequest{Holder: "a", Term: 1, Tasks: []standinapi.StartTask{
		{ID: "k/0", Attempt: 1, Key: "k", Size: oneSlot, Payload: []byte(`{"usage_milli_cpu":900}`)},
	}}, now, now)
	at := func(d time.Duration) []standinapi.TaskUsage { return w.measureUsage(now.Add(d)) }
	assert.Equal(t, len(at(999*time.Millisecond)), 0)
	got := at(time.Second)
	assert.Equal(t, len(got), 1)
	assert.Equal(t, got[0].Size.MilliCPU, int64(900))
	assert.Equal(t, len(at(1500*time.Millisecond)), 0, "within the usage period")
	assert.Equal(t, len(at(2*time.Second)), 1)
}

// Checks that ended tasks stay in the inventory until their retention has passed,
// so that a new holder learns of them.
func TestFinishedTasksAreKept(t *testing.T) {
	w := newWorker(Config{FinishedRetention: time.Minute}, standinapi.WorkerInfo{},
		&startCounts{startsByKey: map[string]map[string]int{}, runningByID: map[string]int{}})
	defer w.close()
	now := time.Now()
	lease := standinapi.LeaseRequest{Holder: "a", Term: 1, TTLMS: 1e9, TaskGraceMS: 1e9}
	w.acquireLease(lease, now)
	w.startTasks(standinapi.StartRequest{Holder: "a", Term: 1, Tasks: []standinapi.StartTask{{ID: "k/0", Attempt: 1, Key: "k"}}}, now, now)
	w.stopTasks(standinapi.StopRequest{Holder: "a", Term: 1, Tasks: []standinapi.StopTask{{ID: "k/0", Mode: ports.StopNow}}}, now)
	kept := func(after time.Duration) int {
		grant, held := w.acquireLease(lease, now.Add(after))
		assert.Assert(t, held == nil)
		return len(grant.Tasks)
	}
	assert.Equal(t, kept(time.Hour), 1, "not acknowledged")
	ok, known := w.renewLease(standinapi.SyncRequest{Holder: "a", Term: 1, TTLMS: 1e9, Ack: 2}, now.Add(time.Hour))
	assert.Assert(t, ok && known)
	assert.Equal(t, kept(time.Hour+59*time.Second), 1, "acknowledged less than FinishedRetention ago")
	assert.Equal(t, kept(time.Hour+time.Minute), 0)
}

// Checks that a partition blocks the requests of its callers, and that their
// requests take effect if only answers are dropped.
func TestPartition(t *testing.T) {
	tests := []struct {
		name      string
		partition standinapi.Partition
		starts    int64
	}{
		{"daemon refused", standinapi.Partition{Daemons: []string{"daemon-a"}}, 0},
		{"address refused", standinapi.Partition{Addrs: []string{"127.0.0.0/8"}}, 0},
		{"answers dropped", standinapi.Partition{Daemons: []string{"daemon-a"}, DropAnswers: true}, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := newFixture(t)
			r.acquire(a1, longTTL)
			r.apply(standinapi.WorkerFault{CommonFault: standinapi.CommonFault{Partition: &tt.partition}})
			ctx, cancel := context.WithTimeout(r.ctx(), 500*time.Millisecond)
			defer cancel()
			_, err := r.worker.Start(ctx, a1, []ports.StartTask{startOf("k", 0, "")})
			assert.Equal(t, fault.KindOf(err), fault.WorkerUnavailable)
			assert.Equal(t, r.fleet.Stats().Workers["w"].Starts, tt.starts)
			r.apply(standinapi.WorkerFault{CommonFault: standinapi.CommonFault{Partition: &standinapi.Partition{}}})
			r.start(startOf("k", 0, ""))
			assert.Equal(t, r.fleet.Stats().Workers["w"].Starts, int64(1))
		})
	}
}

// Checks that all syncs use one connection. A connection per sync would exceed the
// limit on control traffic.
func TestSyncReusesConnection(t *testing.T) {
	fleet, err := NewFleet(context.Background(), FleetConfig{Config: Config{Capacity: capacity}, ID: "w", Listen: "127.0.0.1:0"})
	assert.NilError(t, err)
	defer fleet.Close()
	var mu sync.Mutex
	remotes := map[string]bool{}
	server, err := harness.Listen("127.0.0.1:0", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		remotes[r.RemoteAddr] = true
		mu.Unlock()
		fleet.workers["w"].Handler().ServeHTTP(w, r)
	}))
	assert.NilError(t, err)
	defer server.Close()
	client, err := jsonhttp.New(jsonhttp.Options{})
	assert.NilError(t, err)
	defer client.Close()
	worker := workerclient.New(client).Worker(server.Addr())
	_, err = worker.Acquire(t.Context(), a1, longTTL, longTTL)
	assert.NilError(t, err)
	for range 50 {
		_, err = worker.Sync(t.Context(), a1, longTTL, 0, 0)
		assert.NilError(t, err)
	}
	mu.Lock()
	defer mu.Unlock()
	assert.Equal(t, len(remotes), 1)
}
