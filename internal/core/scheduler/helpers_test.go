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
	t             testing.TB
	c             *Core
	now           time.Time
	clusterConfig *text.Config
	// carried is what the next configuration revision carries over from earlier ones.
	carried split.History
	// withholdAcks keeps the standbys from receiving and acknowledging records.
	withholdAcks bool

	starts            map[model.WorkerID][]TaskStart
	stops             map[model.WorkerID][]TaskStop
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
	b := newStandby(t, workers...)
	b.serve(1)
	for _, w := range workers {
		b.grant(w, "boot")
	}
	return b
}

// newStandby returns a standby that has read the configuration and the instance list.
func newStandby(t testing.TB, workers ...model.WorkerID) *fixture {
	t.Helper()
	b := &fixture{t: t, c: New(testConfig(dcHome)), now: epoch, clusterConfig: testClusterConfig(), replicas: map[string]model.Record{}}
	b.clearCollected()
	b.publish(func(*text.Config) {})
	b.listWorkers(workers...)
	return b
}

// clearCollected forgets the actions collected so far.
func (b *fixture) clearCollected() {
	b.starts, b.stops = map[model.WorkerID][]TaskStart{}, map[model.WorkerID][]TaskStop{}
	b.finalized = map[string]int{}
	b.delegations, b.delegationCancels, b.oldRuns, b.lookups = nil, nil, nil, nil
}

// publish applies a changed copy of the cluster configuration.
func (b *fixture) publish(change func(*text.Config)) {
	next := *b.clusterConfig
	next.Services = append([]text.Service(nil), b.clusterConfig.Services...)
	change(&next)
	b.clusterConfig = &next
	shares := map[string]int{}
	for _, s := range next.Services {
		shares[s.Name] = s.NewPercent
	}
	b.carried = b.carried.WithRevision(b.now, split.Revision{NewPercent: shares, OldSlotsPerWorker: int(next.OldSystem.SlotsPerWorker)})
	b.c.ApplyConfig(b.now, b.clusterConfig, b.carried)
	b.run()
}

// listWorkers applies an instance list with the given workers, each of two slots.
func (b *fixture) listWorkers(workers ...model.WorkerID) {
	var listed []ListedWorker
	for _, w := range workers {
		listed = append(listed, ListedWorker{Worker: model.Worker{ID: w, DataCentre: dcHome, Rack: "rack-" + string(w), Capacity: oneSlot.Times(2)}})
	}
	b.c.SetWorkerList(b.now, listed)
	b.run()
}

func (b *fixture) serve(term uint64) {
	b.c.StartServing(b.now, Recovery{Term: term, PeerSynced: true, JournalRead: true})
	b.run()
}

func (b *fixture) grant(w model.WorkerID, boot string, tasks ...model.RunningTask) {
	b.c.HandleLeaseGranted(b.now, LeaseGrant{Worker: w, BootID: boot, Capacity: oneSlot.Times(2), Rack: "rack-" + string(w), Tasks: tasks})
	b.run()
}

// run handles actions until there are none.
func (b *fixture) run() {
	for range 100 {
		b.c.Schedule(b.now)
		a := b.c.TakeActions()
		if a.Empty() {
			return
		}
		b.collect(a)
	}
	b.t.Fatal("the core never stops producing actions")
}

func (b *fixture) collect(a Actions) {
	for w, s := range a.Starts {
		b.starts[w] = append(b.starts[w], s...)
	}
	for w, s := range a.Stops {
		b.stops[w] = append(b.stops[w], s...)
	}
	for _, key := range a.FinalizedKeys {
		b.finalized[key]++
	}
	b.delegations = append(b.delegations, a.Delegations...)
	b.delegationCancels = append(b.delegationCancels, a.DelegationCancels...)
	b.oldRuns = append(b.oldRuns, a.OldSystemRuns...)
	b.lookups = append(b.lookups, a.OldSystemLookups...)
	if b.withholdAcks {
		return
	}
	for _, r := range a.RecordsToReplicate {
		b.replicas[r.Request.Key] = r
		b.c.HandleReplicated(r.Request.Key, r.Version)
	}
}

// tick advances the time, calls Tick and handles the actions.
func (b *fixture) tick(d time.Duration) {
	b.now = b.now.Add(d)
	b.c.Tick(b.now)
	b.run()
}

func (b *fixture) request(key, service string) model.Request {
	return model.Request{Key: key, Service: service, Idempotent: b.clusterConfig.Service(service).Idempotent, Payload: []byte("p"), Fingerprint: 1}
}

func (b *fixture) submit(key, service string) {
	b.t.Helper()
	_, err := b.c.Submit(b.now, b.request(key, service))
	assert.Assert(b.t, err == nil, "%v", err)
	b.run()
}

func (b *fixture) cancel(key string) {
	b.t.Helper()
	_, err := b.c.Cancel(b.now, key)
	assert.NilError(b.t, err)
	b.run()
}

// report sends a worker's report about the current attempt of a task.
func (b *fixture) report(key string, index int, state model.TaskState) {
	b.t.Helper()
	rec := b.record(key).Tasks[index]
	b.c.HandleTaskReport(b.now, rec.Worker, TaskReport{
		ID: model.TaskID{Key: key, Index: index}, Attempt: rec.Attempt, State: state, OK: state == model.TaskDone,
	})
	b.run()
}

// reportNotStarted reports that the worker did not start the current attempt.
func (b *fixture) reportNotStarted(key string, index int) {
	rec := b.record(key).Tasks[index]
	b.c.HandleTaskNotStarted(b.now, rec.Worker, model.TaskID{Key: key, Index: index}, rec.Attempt)
	b.run()
}

// record returns the owner's own record, which may be ahead of what callers see.
func (b *fixture) record(key string) model.Record {
	b.t.Helper()
	e := b.c.entries[key]
	assert.Assert(b.t, e != nil, "no record of %s", key)
	return e.rec
}

// inventory returns a worker's inventory entry for the current attempt of a task.
func (b *fixture) inventory(key string, index int, state model.TaskState) model.RunningTask {
	rec := b.record(key)
	return model.RunningTask{
		ID: model.TaskID{Key: key, Index: index}, Attempt: rec.Tasks[index].Attempt,
		Service: rec.Request.Service, Size: oneSlot, State: state, OK: state == model.TaskDone,
	}
}

func (b *fixture) wantFate(key string, want model.Fate) {
	b.t.Helper()
	rec, err := b.c.Fate(key)
	assert.Assert(b.t, err == nil, "%v", err)
	assert.Equal(b.t, rec.Fate, want, "reason %q, tasks %+v", rec.Reason, rec.Tasks)
}

func (b *fixture) wantTask(key string, index int, want model.TaskState) {
	b.t.Helper()
	assert.Equal(b.t, b.record(key).Tasks[index].State, want)
}

// countStarts returns the number of starts of a key that were sent to workers.
func (b *fixture) countStarts(key string) int {
	n := 0
	for _, starts := range b.starts {
		for _, s := range starts {
			if s.ID.Key == key {
				n++
			}
		}
	}
	return n
}

// wantIdle checks that nothing is reserved, charged or queued any more.
func (b *fixture) wantIdle() {
	b.t.Helper()
	for _, w := range b.c.Workers(b.now) {
		assert.Equal(b.t, w.Reserved, model.Size{}, "worker %s", w.Worker.ID)
	}
	assert.Equal(b.t, len(b.c.Waiting()), 0)
	assert.Assert(b.t, !b.c.quotaCharged("team"), "quota of the team is still charged")
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
	old := c.clusterConfig
	defer c.queue.Configure(queueConfig(old))
	none := *old
	none.Teams = []text.Team{{Name: team, Quota: text.Quota{Borrow: true}}}
	c.queue.Configure(queueConfig(&none))
	return c.queue.OverQuota(team)
}
