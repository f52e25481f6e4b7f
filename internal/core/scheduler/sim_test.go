package scheduler

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"pgregory.net/rapid"

	"catkinvalve/internal/core/model"
	"catkinvalve/internal/core/split"
)

// The simulation has two daemons of one data centre that own it in turn, workers that
// start tasks only for the holder of their lease, an old system and a second data
// centre. Random steps lose messages and crash workers, and the invariants are checked
// after each step.

const (
	simSlots   = 2
	simWorkers = 3
	// simStopTimeout is the lease TTL and the task grace of testConfig together.
	simStopTimeout = 33 * time.Second
	leaseTTL       = 3 * time.Second
)

// inFlightStart is a start that was sent to a worker and may not have arrived.
type inFlightStart struct {
	worker     *simWorker
	term       uint64
	start      Start
	boot       int
	answerLost bool // the answer was lost; a copy may still arrive
}

// sim is the state of the simulation.
type sim struct {
	t        *rapid.T
	now      time.Time
	cores    [2]*Core
	owner    int // index of the serving core, or -1
	term     uint64
	workers  []*simWorker
	inFlight []inFlightStart
	// standbyUp is false while the standby misses records.
	standbyUp bool
	// journal holds what reached the log.
	journal []model.Record
	// possiblyLost holds requests whose record may be lost with an earlier owner.
	possiblyLost map[string]model.Request
	// startCounts counts the starts of each task.
	startCounts map[model.TaskID]int
	// reportedFates holds the final fates that callers saw, by key.
	reportedFates map[string]model.Fate
	// requests holds the accepted requests whose records the owner must know.
	requests map[string]model.Request
	// oldSystemKeys holds the keys that the old system has run.
	oldSystemKeys map[string]bool
	// remoteRecords holds the records of the second data centre, by key.
	remoteRecords map[string]*model.Record
	lastKey       int
}

// newSim returns a simulation in which core 0 is the owner.
func newSim(t *rapid.T) *sim {
	s := &sim{
		t: t, now: epoch, owner: -1, standbyUp: true, startCounts: map[model.TaskID]int{}, reportedFates: map[string]model.Fate{},
		requests: map[string]model.Request{}, possiblyLost: map[string]model.Request{}, oldSystemKeys: map[string]bool{}, remoteRecords: map[string]*model.Record{},
	}
	for i := range simWorkers {
		s.workers = append(s.workers, &simWorker{id: model.WorkerID(fmt.Sprintf("w%d", i)), tasks: map[simAttempt]*model.RunningTask{}})
	}
	for i := range s.cores {
		s.cores[i] = s.newCore()
	}
	s.takeOver(0)
	return s
}

// newCore returns a standby that has read the cluster configuration and the instance
// list. The old system runs 20 percent of the keys.
func (s *sim) newCore() *Core {
	c, cfg, shares := New(testConfig(dcHome)), testClusterConfig(), map[string]int{}
	for i := range cfg.Services {
		cfg.Services[i].NewPercent = 80
		shares[cfg.Services[i].Name] = 80
	}
	c.ApplyConfig(s.now, cfg, split.History{}.WithRevision(s.now, split.Revision{NewPercent: shares}))
	c.SetWorkerList(s.now, s.listed())
	return c
}

// listed returns the instance list with all workers.
func (s *sim) listed() []ListedWorker {
	var out []ListedWorker
	for _, w := range s.workers {
		out = append(out, ListedWorker{Worker: model.Worker{ID: w.id, DataCentre: dcHome, Rack: string(w.id), Capacity: oneSlot.Times(simSlots)}})
	}
	return out
}

// core returns the serving core, or nil if there is none.
func (s *sim) core() *Core {
	if s.owner < 0 {
		return nil
	}
	return s.cores[s.owner]
}

// takeOver makes a core the owner of the next term. The current owner steps down, and
// the new owner gets the records of the other core.
func (s *sim) takeOver(next int) {
	complete := true
	if c := s.core(); c != nil {
		complete = !c.InDoubt()
		c.StepDown()
	}
	for _, r := range s.cores[1-next].AllRecords() {
		s.cores[next].Restore(s.now, r)
	}
	s.serve(next, complete)
	s.standbyUp = true
	s.syncStandby()
}

// loseOwner ends the owner's process. The standby takes over with its own records, the
// log and the inventories of the workers. Some records may be lost.
func (s *sim) loseOwner() {
	next := 1 - s.owner
	complete := s.standbyUp && !s.core().InDoubt()
	s.cores[s.owner] = s.newCore()
	if !s.standbyUp {
		maps.Copy(s.possiblyLost, s.requests)
		for _, r := range s.journal {
			s.cores[next].Restore(s.now, r)
		}
	}
	s.serve(next, complete)
	s.standbyUp = true
	s.syncStandby()
}

// syncStandby sends all records of the owner to the standby.
func (s *sim) syncStandby() {
	for _, r := range s.core().AllRecords() {
		s.cores[1-s.owner].Restore(s.now, r)
	}
}

// serve makes a core the owner of the next term. Some workers grant their leases only
// later.
func (s *sim) serve(next int, synced bool) {
	s.term++
	s.owner = next
	c := s.core()
	c.DiscardBufferedEvents()
	late := rapid.IntRange(0, simWorkers).Draw(s.t, "workers that grant late")
	for _, w := range s.workers[late:] {
		s.grant(w)
	}
	if !synced {
		for _, key := range slices.Sorted(maps.Keys(s.remoteRecords)) {
			c.RestoreDelegated(dcOther, *s.remoteRecords[key])
		}
	}
	c.StartServing(s.now, Recovery{Term: s.term, PeerSynced: synced, JournalRead: true})
	s.run()
}

// grant grants the worker's lease to the owner in the current term.
func (s *sim) grant(w *simWorker) {
	w.term, w.unreachable, w.stopAt = s.term, false, s.now.Add(simStopTimeout)
	w.undelivered = nil // the inventory contains their outcome
	s.core().HandleLeaseGranted(s.now, LeaseGrant{
		Worker: w.id, BootID: w.bootID(), Capacity: oneSlot.Times(simSlots), Rack: string(w.id), Tasks: w.inventory(),
	})
	s.run()
}

// run executes the owner's actions until there are none.
func (s *sim) run() {
	c := s.core()
	if c == nil {
		return
	}
	for range 200 {
		c.Schedule(s.now)
		a := c.TakeActions()
		if a.Empty() {
			return
		}
		s.execute(c, a)
	}
	s.t.Fatal("the core never stops producing actions")
}

// execute executes the actions of core c. Starts are put in flight.
func (s *sim) execute(c *Core, a Actions) {
	for _, w := range s.workers {
		for _, start := range a.Starts[w.id] {
			s.inFlight = append(s.inFlight, inFlightStart{worker: w, term: s.term, start: start, boot: w.boot})
		}
		for _, stop := range a.Stops[w.id] {
			s.stop(w, stop)
		}
	}
	for _, r := range a.RecordsToReplicate {
		if s.standbyUp {
			s.cores[1-s.owner].Restore(s.now, r)
		}
		c.HandleReplicated(r.Request.Key, r.Version)
	}
	for _, r := range a.RecordsToJournal {
		// A real owner appends to the log once a second and may die before that,
		// with fates that callers were already told. For simplicity, final fates
		// always reach the log here.
		if r.Fate.Terminal() || rapid.Bool().Draw(s.t, "a start reaches the log") {
			s.journal = append(s.journal, r)
		}
	}
	for _, r := range a.OldSystemRuns {
		s.runOld(c, r)
	}
	for _, key := range a.OldSystemLookups {
		c.HandleOldSystemLookup(s.now, key, s.oldSystemKeys[key], false)
	}
	for _, d := range a.Delegations {
		s.delegate(d)
	}
	for _, d := range a.DelegationCancels {
		if r := s.remoteRecords[d.Request.Key]; r != nil && !r.Fate.Terminal() {
			r.Fate = model.Cancelled
		}
	}
}

// runOld runs a request on the old system to its end.
func (s *sim) runOld(c *Core, r OldSystemRun) {
	s.oldSystemKeys[r.Key] = true
	s.startCounts[model.TaskID{Key: r.Key}]++
	c.HandleOldSystemReport(s.now, OldSystemReport{Key: r.Key, Fate: model.Done, OK: true})
}

// delegate accepts or refuses a request in the second data centre.
func (s *sim) delegate(d Delegation) {
	if s.remoteRecords[d.Request.Key] != nil {
		return
	}
	rec := &model.Record{Request: d.Request, Fate: model.Queued, Ended: s.now, Tasks: []model.TaskRecord{{State: model.TaskQueued}}}
	if rapid.Bool().Draw(s.t, "the other data centre refuses") {
		rec.Fate, rec.Reason = model.NotRun, model.ReasonShed
	}
	s.remoteRecords[d.Request.Key] = rec
}

// runToCompletion ends all faults and runs until all requests have a final fate.
func (s *sim) runToCompletion() {
	for _, w := range s.workers {
		s.dropInFlight(w)
		s.grant(w)
	}
	for range 400 {
		for _, f := range s.inFlight {
			s.acceptStart(f)
		}
		s.inFlight = nil
		s.finishAll()
		s.advance(time.Second)
		s.run()
		s.check()
		if len(s.reportedFates) == len(s.requests) && len(s.inFlight) == 0 {
			return
		}
	}
	for key := range s.requests {
		if s.reportedFates[key] == "" {
			s.t.Fatalf("%s has no final fate: %+v\nwaiting: %+v\nworkers: %+v",
				key, s.core().entries[key].rec, s.core().Waiting(), s.core().Workers(s.now))
		}
	}
}

// finishAll ends all running tasks and delivers all reports.
func (s *sim) finishAll() {
	for _, w := range s.workers {
		for _, a := range w.running() {
			s.end(w, w.tasks[a], model.TaskDone)
		}
		for _, report := range w.undelivered {
			s.core().HandleTaskReport(s.now, w.id, report)
		}
		w.undelivered = nil
	}
	for _, key := range slices.Sorted(maps.Keys(s.remoteRecords)) {
		s.reportRemote(key, true)
	}
}
