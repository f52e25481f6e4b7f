package bench

import (
	"slices"
	"strings"
	"time"

	"catkinvalve/internal/core/model"
	"catkinvalve/internal/core/scheduler"
	"catkinvalve/internal/core/split"
	"catkinvalve/internal/text"
)

const (
	coreSystemName = "catkinvalve"
	// bootID is the boot ID of all fake workers, which never restart.
	bootID = "boot"
	// maxRecords is high enough that the record table does not limit a run.
	maxRecords = 4_000_000
)

// coreSystem runs the scheduler core as a daemon without standbys does.
type coreSystem struct {
	core *scheduler.Core
}

func newCoreSystem(now time.Time, cfg *text.Config, workers []model.Worker) *coreSystem {
	c := scheduler.New(scheduler.Config{
		DataCentre: benchDC, Region: "klang", LeaseTTL: 3 * time.Second, TaskGrace: 30 * time.Second,
		MaxRecords: maxRecords, Seed: 1,
	})
	c.ApplyConfig(now, cfg, split.History{})
	listed := make([]scheduler.ListedWorker, len(workers))
	for i, w := range workers {
		listed[i].Worker = w
	}
	c.SetWorkerList(now, listed)
	c.StartServing(now, scheduler.Recovery{Term: 1, PeerSynced: true, JournalRead: true})
	for _, w := range workers {
		c.HandleLeaseGranted(now, scheduler.LeaseGrant{Worker: w.ID, BootID: bootID, Capacity: w.Capacity, Rack: w.Rack})
	}
	return &coreSystem{core: c}
}

func (cs *coreSystem) name() string { return coreSystemName }

func (cs *coreSystem) submit(now time.Time, j *job) bool {
	if j.standing {
		return true // The core starts service instances from the configuration.
	}
	_, err := cs.core.Submit(now, j.req)
	return err == nil
}

func (cs *coreSystem) cancel(now time.Time, j *job) { _, _ = cs.core.Cancel(now, j.req.Key) }

func (cs *coreSystem) taskEnded(now time.Time, s start, ok bool) {
	state := model.TaskDone
	if !ok {
		state = model.TaskFailed
	}
	cs.core.HandleTaskReport(now, s.worker, scheduler.TaskReport{ID: s.id, Attempt: s.attempt, State: state, OK: ok})
}

func (cs *coreSystem) taskStopped(now time.Time, s start) {
	cs.core.HandleTaskReport(now, s.worker, scheduler.TaskReport{ID: s.id, Attempt: s.attempt, State: model.TaskStopped})
}

func (cs *coreSystem) recordUsage(now time.Time, w model.WorkerID, u []model.Usage) {
	cs.core.HandleUsageReport(now, w, u)
}

func (cs *coreSystem) plannedSize(s start) model.Size {
	if rec, err := cs.core.Fate(s.id.Key); err == nil && s.id.Index < len(rec.Tasks) {
		return rec.Tasks[s.id.Index].Planned
	}
	return s.size
}

func (cs *coreSystem) tick(now time.Time) { cs.core.Tick(now) }

// takeActions runs the core until it returns no more actions. Records count as
// replicated immediately.
func (cs *coreSystem) takeActions(now time.Time) ([]start, []stop) {
	var starts []start
	var stops []stop
	for {
		cs.core.Schedule(now)
		a := cs.core.TakeActions()
		if a.Empty() {
			return starts, stops
		}
		for _, rec := range a.RecordsToReplicate {
			cs.core.HandleReplicated(rec.Request.Key, rec.Version)
		}
		for w, list := range a.Starts {
			for _, s := range list {
				starts = append(starts, start{w, s.ID, s.Attempt, s.Size})
				cs.core.HandleTaskReport(now, w, scheduler.TaskReport{ID: s.ID, Attempt: s.Attempt, State: model.TaskRunning})
			}
		}
		for w, list := range a.Stops {
			for _, s := range list {
				if s.Mode != scheduler.StopThrottle {
					stops = append(stops, stop{w, s.ID, s.Attempt, s.Mode == scheduler.StopCheckpoint})
				}
			}
		}
		// Iteration over the maps above is unordered, but runs with the same seed
		// must be equal.
		slices.SortFunc(starts, func(a, b start) int { return compareTasks(a.id, b.id) })
		slices.SortFunc(stops, func(a, b stop) int { return compareTasks(a.id, b.id) })
	}
}

func compareTasks(a, b model.TaskID) int {
	if c := strings.Compare(a.Key, b.Key); c != 0 {
		return c
	}
	return a.Index - b.Index
}
