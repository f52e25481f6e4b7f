package soak

import (
	"context"
	"fmt"
	"sync"
	"time"

	"catkinvalve/internal/history"
	"catkinvalve/internal/pause"
	"catkinvalve/internal/standinapi"
)

// Time between two readings of the counters, and of the configuration of a daemon.
const (
	statsInterval      = 700 * time.Millisecond
	configReadInterval = 500 * time.Millisecond
)

// watcher records the counters of the stand-ins and the configuration that each
// daemon returns.
type watcher struct {
	cell *cell
	rec  *history.Recorder
	load *load

	// The fields below belong to the last reading of the counters. One goroutine writes
	// them, and they are read after it has ended.
	starts       map[string]map[string]int        // by key, then by task ID or "old"
	workerStats  map[string]standinapi.FleetStats // by data centre
	previousPoll time.Duration                    // when the latest reading began
}

func newWatcher(c *cell, rec *history.Recorder, l *load) *watcher {
	return &watcher{cell: c, rec: rec, load: l, starts: map[string]map[string]int{}, workerStats: map[string]standinapi.FleetStats{}}
}

// run polls the counters and the daemons until ctx ends.
func (w *watcher) run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() {
		for pause.For(ctx, statsInterval) {
			_ = w.pollStarts(ctx) // Only the last reading, after the run, must succeed.
		}
	})
	for i := range w.cell.ids {
		wg.Go(func() {
			for pause.For(ctx, configReadInterval) {
				w.readConfig(ctx, i)
			}
		})
	}
	wg.Wait()
}

// pollStarts reads all counters of starts and records the new ones. A start that is
// new took place after the previous reading began.
func (w *watcher) pollStarts(ctx context.Context) error {
	call := w.rec.Now()
	seen := map[string]map[string]int{}
	for _, dc := range topology {
		s, err := w.cell.cluster.WorkerStats(ctx, dc.Name)
		if err != nil {
			return err
		}
		w.workerStats[dc.Name] = s
		for key, tasks := range s.StartsPerKey {
			for id, n := range tasks {
				addCount(seen, key, id, n)
			}
		}
	}
	old, err := w.cell.cluster.OldStats(ctx)
	if err != nil {
		return err
	}
	for key, n := range old.RunsPerKey {
		addCount(seen, key, "old", n)
	}
	w.recordNewStarts(seen)
	w.previousPoll = call
	return nil
}

func addCount(m map[string]map[string]int, key, id string, n int) {
	if m[key] == nil {
		m[key] = map[string]int{}
	}
	m[key][id] += n
}

// recordNewStarts records the starts that the previous reading did not contain.
func (w *watcher) recordNewStarts(seen map[string]map[string]int) {
	now := w.rec.Now()
	for key, tasks := range seen {
		r, known := w.load.request(key)
		for id, n := range tasks {
			for range n - w.starts[key][id] {
				if known {
					w.rec.Add(history.Op{Key: key, Kind: history.Start, Daemon: id, Call: w.previousPoll, Return: now, NonIdempotent: r.nonIdempotent})
				}
			}
		}
	}
	w.starts = seen
}

func (l *load) request(key string) (request, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r, ok := l.requests[key]
	return r, ok
}

// readConfig records the configuration of daemon i. A response that may come from
// either of two processes of the daemon is left out.
func (w *watcher) readConfig(ctx context.Context, i int) {
	id := w.cell.ids[i]
	restarts := w.cell.restarts(id)
	op := history.ConfigOp{Reader: fmt.Sprintf("%s#%d", id, restarts), Call: w.rec.Now()}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	doc, err := w.cell.clients[i].Config(callCtx)
	op.Return = w.rec.Now()
	if err != nil || w.cell.restarts(id) != restarts {
		return
	}
	op.Revision, op.Text = doc.Revision, doc.Text
	w.rec.AddConfig(op)
}

// revisionsAgree reports whether all daemons answer and have the same revision.
func (w *watcher) revisionsAgree(ctx context.Context) bool {
	revisions := map[uint64]bool{}
	for _, cl := range w.cell.clients {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		doc, err := cl.Config(callCtx)
		cancel()
		if err != nil {
			return false
		}
		revisions[doc.Revision] = true
	}
	return len(revisions) == 1
}
