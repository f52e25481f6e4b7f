package scheduler

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"catkinvalve/internal/core/model"
	"catkinvalve/internal/core/split"
	"catkinvalve/internal/fault"
	"catkinvalve/internal/text"
)

const (
	dcHome  = model.DataCentre("dc-a")
	dcOther = model.DataCentre("dc-b")
)

var (
	epoch   = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	oneSlot = model.Size{MilliCPU: 1000, MemMB: 1000, Slots: 1}
)

// testConfig returns the settings of the cores under test.
func testConfig(dc model.DataCentre) Config {
	return Config{DataCentre: dc, Region: "r", LeaseTTL: 3 * time.Second, TaskGrace: 30 * time.Second, Seed: 1}
}

// testClusterConfig returns a configuration with one service for each kind of request.
func testClusterConfig() *text.Config {
	service := func(name string, class model.Class, idempotent bool, tasks, instances int) text.Service {
		return text.Service{
			Name: name, Team: "team", Class: class, Size: oneSlot, Idempotent: idempotent, Tasks: tasks,
			Instances: instances, NewPercent: 100, RunMS: 1000,
		}
	}
	return &text.Config{
		DataCentres: []text.DataCentre{{Name: dcHome, Region: "r"}, {Name: dcOther, Region: "r"}},
		Limits:      text.Limits{QueuePerTeam: 100, QueueTotal: 100, DrainMS: 1000},
		Retry:       text.Retry{MaxAttempts: 3, BudgetPercent: 100, BackoffMS: 10, BackoffMaxMS: 100},
		Teams:       []text.Team{{Name: "team", Quota: text.Quota{MilliCPU: 1 << 30, Slots: 1 << 20, Borrow: true}}},
		Services: []text.Service{
			service("batch", model.Batch, true, 1, 0), service("once", model.Batch, false, 1, 0),
			service("gang", model.AllAtOnce, true, 2, 0), service("quick", model.Interactive, true, 1, 0),
			service("web", model.Service, true, 1, 0),
		},
	}
}

// fixture drives one core. It acknowledges each record as replicated and collects the
// other actions. Tests report what the workers do.
type fixture struct {
	t    testing.TB
	c    *Core
	now  time.Time
	text *text.Config
	// history holds the recent settings of the configuration revisions so far.
	history split.History
	// withholdAcks keeps the standbys from receiving and acknowledging records.
	withholdAcks bool

	starts            map[model.WorkerID][]Start
	stops             map[model.WorkerID][]Stop
	replicas          map[string]model.Record
	finalized         map[string]int
	delegations       []Delegation
	delegationCancels []Delegation
	oldRuns           []OldSystemRun
	lookups           []string
}

// newFixture returns an owner with the given workers, each of two slots.
func newFixture(t testing.TB, workers ...model.WorkerID) *fixture {
	t.Helper()
	f := newStandby(t, workers...)
	f.serve(1)
	for _, w := range workers {
		f.grant(w, "boot")
	}
	return f
}

// newStandby returns a standby that has read the configuration and the instance list.
func newStandby(t testing.TB, workers ...model.WorkerID) *fixture {
	t.Helper()
	f := &fixture{t: t, c: New(testConfig(dcHome)), now: epoch, text: testClusterConfig(), replicas: map[string]model.Record{}}
	f.clearCollected()
	f.publish(func(*text.Config) {})
	f.listWorkers(workers...)
	return f
}

// clearCollected forgets the actions collected so far.
func (f *fixture) clearCollected() {
	f.starts, f.stops = map[model.WorkerID][]Start{}, map[model.WorkerID][]Stop{}
	f.finalized = map[string]int{}
	f.delegations, f.delegationCancels, f.oldRuns, f.lookups = nil, nil, nil, nil
}

// publish applies a changed copy of the cluster configuration.
func (f *fixture) publish(change func(*text.Config)) {
	next := *f.text
	next.Services = append([]text.Service(nil), f.text.Services...)
	change(&next)
	f.text = &next
	shares := map[string]int{}
	for _, s := range next.Services {
		shares[s.Name] = s.NewPercent
	}
	f.history = f.history.WithRevision(f.now, split.Revision{NewPercent: shares, OldSlotsPerWorker: int(next.OldSystem.SlotsPerWorker)})
	f.c.ApplyConfig(f.now, f.text, f.history)
	f.run()
}

// listWorkers applies an instance list with the given workers, each of two slots.
func (f *fixture) listWorkers(workers ...model.WorkerID) {
	var listed []ListedWorker
	for _, w := range workers {
		listed = append(listed, ListedWorker{Worker: model.Worker{ID: w, DataCentre: dcHome, Rack: "rack-" + string(w), Capacity: oneSlot.Times(2)}})
	}
	f.c.SetWorkerList(f.now, listed)
	f.run()
}

// serve makes the core the owner, with complete records, in the given term.
func (f *fixture) serve(term uint64) {
	f.c.StartServing(f.now, Recovery{Term: term, PeerSynced: true, JournalRead: true})
	f.run()
}

// grant grants a worker's lease with the tasks of its inventory.
func (f *fixture) grant(w model.WorkerID, boot string, tasks ...model.RunningTask) {
	f.c.HandleLeaseGranted(f.now, LeaseGrant{Worker: w, BootID: boot, Capacity: oneSlot.Times(2), Rack: "rack-" + string(w), Tasks: tasks})
	f.run()
}

// run handles actions until there are none.
func (f *fixture) run() {
	for range 100 {
		f.c.Schedule(f.now)
		a := f.c.TakeActions()
		if a.Empty() {
			return
		}
		f.collect(a)
	}
	f.t.Fatal("the core never stops producing actions")
}

// collect adds the actions to those collected and acknowledges the records.
func (f *fixture) collect(a Actions) {
	for w, s := range a.Starts {
		f.starts[w] = append(f.starts[w], s...)
	}
	for w, s := range a.Stops {
		f.stops[w] = append(f.stops[w], s...)
	}
	for _, key := range a.FinalizedKeys {
		f.finalized[key]++
	}
	f.delegations = append(f.delegations, a.Delegations...)
	f.delegationCancels = append(f.delegationCancels, a.DelegationCancels...)
	f.oldRuns = append(f.oldRuns, a.OldSystemRuns...)
	f.lookups = append(f.lookups, a.OldSystemLookups...)
	if f.withholdAcks {
		return
	}
	for _, r := range a.RecordsToReplicate {
		f.replicas[r.Request.Key] = r
		f.c.HandleReplicated(r.Request.Key, r.Version)
	}
}

// tick advances the time, calls Tick and handles the actions.
func (f *fixture) tick(d time.Duration) {
	f.now = f.now.Add(d)
	f.c.Tick(f.now)
	f.run()
}

// request returns a request for one of the services of testClusterConfig.
func (f *fixture) request(key, service string) model.Request {
	return model.Request{Key: key, Service: service, Idempotent: f.text.Service(service).Idempotent, Payload: []byte("p"), Fingerprint: 1}
}

func (f *fixture) submit(key, service string) {
	f.t.Helper()
	_, err := f.c.Submit(f.now, f.request(key, service))
	assert.Assert(f.t, err == nil, "%v", err)
	f.run()
}

func (f *fixture) cancel(key string) {
	f.t.Helper()
	_, err := f.c.Cancel(f.now, key)
	assert.NilError(f.t, err)
	f.run()
}

// report sends a worker's report about the current attempt of a task.
func (f *fixture) report(key string, index int, state model.TaskState) {
	f.t.Helper()
	rec := f.record(key).Tasks[index]
	f.c.HandleTaskReport(f.now, rec.Worker, TaskReport{
		ID: model.TaskID{Key: key, Index: index}, Attempt: rec.Attempt, State: state, OK: state == model.TaskDone,
	})
	f.run()
}

// reportNotStarted reports that the worker did not start the current attempt.
func (f *fixture) reportNotStarted(key string, index int) {
	rec := f.record(key).Tasks[index]
	f.c.HandleTaskNotStarted(f.now, rec.Worker, model.TaskID{Key: key, Index: index}, rec.Attempt)
	f.run()
}

// record returns the owner's own record, which may be ahead of what callers see.
func (f *fixture) record(key string) model.Record {
	f.t.Helper()
	e := f.c.entries[key]
	assert.Assert(f.t, e != nil, "no record of %s", key)
	return e.rec
}

// inventory returns a worker's inventory entry for the current attempt of a task.
func (f *fixture) inventory(key string, index int, state model.TaskState) model.RunningTask {
	rec := f.record(key)
	return model.RunningTask{
		ID: model.TaskID{Key: key, Index: index}, Attempt: rec.Tasks[index].Attempt,
		Service: rec.Request.Service, Size: oneSlot, State: state, OK: state == model.TaskDone,
	}
}

func (f *fixture) wantFate(key string, want model.Fate) {
	f.t.Helper()
	rec, err := f.c.Fate(key)
	assert.Assert(f.t, err == nil, "%v", err)
	assert.Equal(f.t, rec.Fate, want, "reason %q, tasks %+v", rec.Reason, rec.Tasks)
}

func (f *fixture) wantTask(key string, index int, want model.TaskState) {
	f.t.Helper()
	assert.Equal(f.t, f.record(key).Tasks[index].State, want)
}

// countStarts returns the number of starts of a key that were sent to workers.
func (f *fixture) countStarts(key string) int {
	n := 0
	for _, starts := range f.starts {
		for _, s := range starts {
			if s.ID.Key == key {
				n++
			}
		}
	}
	return n
}

// wantIdle checks that nothing is reserved, charged or queued any more.
func (f *fixture) wantIdle() {
	f.t.Helper()
	for _, w := range f.c.Workers(f.now) {
		assert.Equal(f.t, w.Reserved, model.Size{}, "worker %s", w.Worker.ID)
	}
	assert.Equal(f.t, len(f.c.Waiting()), 0)
	assert.Assert(f.t, !f.c.quotaCharged("team"), "quota of the team is still charged")
}

// wantFault checks the kind of a refusal.
func wantFault(t testing.TB, err *fault.Error, kind fault.Kind) {
	t.Helper()
	assert.Assert(t, err != nil, "no fault, want %s", kind)
	assert.Equal(t, err.Kind, kind)
}

// quotaCharged reports whether anything is charged to a team's quota. It sets the quota
// to zero for the query, because any use of a zero quota counts as borrowed.
func (c *Core) quotaCharged(team string) bool {
	old := c.text
	defer c.queue.Configure(queueConfig(old))
	none := *old
	none.Teams = []text.Team{{Name: team, Quota: text.Quota{Borrow: true}}}
	c.queue.Configure(queueConfig(&none))
	return c.queue.OverQuota(team)
}
