package scenarios

import (
	"context"
	"strings"
	"testing"

	"catkinvalve/internal/api"
	"catkinvalve/internal/core/model"
	"catkinvalve/internal/fault"
	"catkinvalve/internal/standinapi"
	"catkinvalve/internal/testbed"
)

// rejects fails the test if a checker did not report the problem that the test
// caused.
func rejects(t *testing.T, problems []string, want string) {
	t.Helper()
	if !strings.Contains(strings.Join(problems, "\n"), want) {
		t.Fatalf("the checker reported %q, want %q", problems, want)
	}
}

// accepts fails the test if a checker reported any problem.
func accepts(t *testing.T, problems []string) {
	t.Helper()
	if len(problems) > 0 {
		t.Fatalf("the checker reported problems in a correct state: %q", problems)
	}
}

// fleet runs the stand-ins without daemons and takes leases of workers itself.
type fleet struct {
	t       *testing.T
	cluster *testbed.Cluster
	ctx     context.Context
}

func newFleet(t *testing.T) *fleet {
	t.Helper()
	runSlots <- struct{}{}
	t.Cleanup(func() { <-runSlots })
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	t.Cleanup(cancel)
	c, err := testbed.Start(ctx, testbed.Options{
		Bin: programDir, Dir: t.TempDir(), DCs: []testbed.DC{{Name: "klang-a", Region: "klang", Workers: 2}},
		Capacity: model.Size{MilliCPU: 4000, MemMB: 4096, Slots: 4, Conns: 16},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := c.Stop(); err != nil {
			t.Error(err)
		}
	})
	return &fleet{t: t, cluster: c, ctx: ctx}
}

// call sends a POST request to a worker.
func (f *fleet) call(worker model.WorkerID, path string, in, out any) {
	f.t.Helper()
	if err := f.cluster.Admin(f.ctx, "POST", f.counters().fleets["klang-a"].Workers[worker].Addr, path, in, out); err != nil {
		f.t.Fatal(err)
	}
}

// start acquires the lease of a worker and starts a task that uses the given number
// of slots.
func (f *fleet) start(worker model.WorkerID, key string, attempt int, slots int64) {
	f.t.Helper()
	f.call(worker, "/v1/lease", standinapi.LeaseRequest{Holder: "test", Term: 1, TTLMS: 30_000, TaskGraceMS: 30_000}, nil)
	f.call(worker, "/v1/tasks", standinapi.StartRequest{Holder: "test", Term: 1, Tasks: []standinapi.StartTask{{
		ID: key + "/0", Attempt: attempt, Key: key, RunMS: 60_000, Size: model.Size{MilliCPU: 100, Slots: slots},
	}}}, nil)
}

func (f *fleet) counters() counters {
	f.t.Helper()
	c, err := readCounters(f.ctx, f.cluster)
	if err != nil {
		f.t.Fatal(err)
	}
	return c
}

// TestOverloadChecker checks that an overloaded worker is reported.
func TestOverloadChecker(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.start("klang-a-w-0", "k-1", 1, 4)
	accepts(t, f.counters().overloadedWorkers())
	f.start("klang-a-w-0", "k-2", 1, 1)
	rejects(t, f.counters().overloadedWorkers(), "worker klang-a-w-0 was overloaded by 1 starts")
}

// TestDoubleChecker checks that a task that runs on two workers is reported.
func TestDoubleChecker(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.start("klang-a-w-0", "k-1", 1, 1)
	accepts(t, f.counters().doubleRuns())
	f.start("klang-a-w-1", "k-1", 2, 1)
	rejects(t, f.counters().doubleRuns(), "workers of klang-a counted 1 starts of a task that was already running")
}

// TestDoubleAttemptChecker checks that two concurrent attempts of a task on the same
// worker are reported.
func TestDoubleAttemptChecker(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.start("klang-a-w-0", "k-1", 1, 1)
	f.start("klang-a-w-0", "k-1", 2, 1)
	rejects(t, f.counters().doubleRuns(), "worker klang-a-w-0 counted 1 starts of a task that it was already running")
}

// TestSideChecker checks that a key that the new and the old system ran is reported.
func TestSideChecker(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.start("klang-a-w-0", "k-1", 1, 1)
	if err := f.cluster.Admin(f.ctx, "POST", f.cluster.Old.Listen, "/v1/run", standinapi.RunRequest{Key: "k-1", Service: "plan"}, nil); err != nil {
		t.Fatal(err)
	}
	rejects(t, f.counters().doubleRuns(), "key k-1 ran in klang-a and in the old system")
	rejects(t, f.counters().repeatedStarts("k-1"), "key k-1 was started 2 times")
}

// TestAtMostOnceChecker checks that a second start is reported even if the first run
// had ended, so that the runs did not overlap.
func TestAtMostOnceChecker(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.start("klang-a-w-0", "k-1", 1, 1)
	accepts(t, f.counters().repeatedStarts("k-1"))
	crash := standinapi.WorkerFault{Worker: "klang-a-w-0", Crash: true}
	if err := f.cluster.Fault(f.ctx, f.cluster.Workers["klang-a"].Admin, crash); err != nil {
		t.Fatal(err)
	}
	f.start("klang-a-w-1", "k-1", 2, 1)
	accepts(t, f.counters().doubleRuns())
	rejects(t, f.counters().repeatedStarts("k-1"), "key k-1 was started 2 times")
	sc := newScenario()
	sc.callers.begin(request("k-1", "slot", 1, 1, 0), false)
	rejects(t, sc.checkAtMostOnce(f.counters(), nil), "key k-1 was started 2 times")
}

// TestFateChecker checks that fates which contradict the counters of the stand-ins
// are reported.
func TestFateChecker(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.start("klang-a-w-0", "started", 1, 1)
	for _, tc := range []struct {
		name, key string
		fates     []model.Fate
		refused   bool
		want      string
	}{
		{"not run but started", "started", []model.Fate{model.Queued, model.NotRun}, false, "told that it did not run"},
		{"refused but started", "started", nil, true, "told that it did not run"},
		{"done but never started", "other", []model.Fate{model.Done}, false, "it was never started"},
		{"cancelled but never started", "other", []model.Fate{model.Cancelled}, false, "it was never started"},
		{"two final fates", "started", []model.Fate{model.Done, model.Unknown}, false, "different final fates"},
		{"done and started", "started", []model.Fate{model.Running, model.Done}, false, ""},
		{"refused and not started", "other", nil, true, ""},
	} {
		keys := map[string]callerRecord{tc.key: {fates: map[model.Fate]bool{}}}
		for _, fate := range tc.fates {
			keys[tc.key].fates[fate] = true
		}
		if tc.refused {
			keys[tc.key] = callerRecord{attempts: 2, refused: 2}
		}
		problems := f.counters().falseFates(keys)
		if tc.want == "" {
			accepts(t, problems)
			continue
		}
		rejects(t, problems, tc.want)
	}
}

// TestAnswerChecker checks that incomplete answers and answers to another request are
// reported.
func TestAnswerChecker(t *testing.T) {
	t.Parallel()
	req := request("k-1", "routes", 1, 2, 0)
	answer := "k-1/0:" + string(req.Payload) + "k-1/1:" + string(req.Payload)
	for _, tc := range []struct {
		status api.RequestStatus
		want   string
	}{
		{api.RequestStatus{Key: "k-1", Fate: model.Done, OK: true, Answer: []byte(answer)}, ""},
		{api.RequestStatus{Key: "k-1", Fate: model.Done, OK: true, Answer: []byte(answer[:20])}, "a caller of k-1 got the answer"},
		{api.RequestStatus{Key: "k-1", Fate: model.Done, OK: true}, "a caller of k-1 got the answer"},
		{api.RequestStatus{Key: "k-2", Fate: model.Running}, "an answer to key k-2"},
	} {
		c := newCallers()
		c.recordAnswer(c.begin(req, true), tc.status, nil, true)
		problems := wrongAnswers(c.snapshot())
		if tc.want == "" {
			accepts(t, problems)
			continue
		}
		rejects(t, problems, tc.want)
	}
}

// TestRevisionChecker checks that a daemon that reverts to an earlier revision, and a
// revision with different texts at two daemons, are reported.
func TestRevisionChecker(t *testing.T) {
	t.Parallel()
	r := newRevisions()
	r.add(sample{daemon: "d-0", pid: 1, revision: 4, text: "four"})
	r.add(sample{daemon: "d-0", pid: 1, revision: 5, text: "five"})
	r.add(sample{daemon: "d-1", pid: 2, revision: 4, text: "four"})
	// A new process starts without a configuration.
	r.add(sample{daemon: "d-0", pid: 3, revision: 0, text: ""})
	accepts(t, r.problems)
	r.add(sample{daemon: "d-1", pid: 2, revision: 3, text: "three"})
	rejects(t, r.problems, "d-1 went from revision 4 back to 3")
	r.add(sample{daemon: "d-2", pid: 9, revision: 5, text: "another five"})
	rejects(t, r.problems, "d-2 has another text for revision 5")
}

// TestLostAnswerChecker checks that a call that ended without an answer is reported,
// and a refused connection is not.
func TestLostAnswerChecker(t *testing.T) {
	t.Parallel()
	c := newCallers()
	req := request("klang-a:in-1", "plan", 1, 1, 0)
	c.recordAnswer(c.begin(req, true), api.RequestStatus{}, fault.New(api.Unreachable, "", "connection refused"), true)
	accepts(t, lostAnswers(c.snapshot(), ":in-"))
	c.recordAnswer(c.begin(req, true), api.RequestStatus{}, fault.New(fault.FateUnknownYet, "", "answer lost"), true)
	rejects(t, lostAnswers(c.snapshot(), ":in-"), "a caller of klang-a:in-1 got no answer (fate_unknown_yet)")
	accepts(t, lostAnswers(c.snapshot(), ":other-"))
}

// TestLoadStopReportsUnknownFates checks that stopping a load reports callers that
// never learned a final fate.
func TestLoadStopReportsUnknownFates(t *testing.T) {
	t.Parallel()
	sc := newScenario()
	l := &load{cancel: func() {}, done: make(chan struct{})}
	close(l.done)
	l.addError(context.DeadlineExceeded)
	sc.loads["a"] = l
	if err := sc.stopLoad("a"); err == nil {
		t.Fatal("stopLoad returned no error for a caller without a final fate")
	}
}
