package cell

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"catkinvalve/internal/core/jobs"
	"catkinvalve/internal/core/model"
	"catkinvalve/internal/pause"
	"catkinvalve/internal/ports"
)

const (
	// listPoll is the pause between two reads of the worker list.
	listPoll = 400 * time.Millisecond
	// listTimeout limits one read of the list.
	listTimeout = 1200 * time.Millisecond
)

// pollWorkerList reads the worker list periodically and sends it to the leader loop
// until the leadership ends.
func (l *leader) pollWorkerList() {
	list := workerList{entries: map[model.WorkerID]jobs.WorkerEntry{}, log: l.log}
	for {
		if err := list.refresh(l.ctx, l.d.deps.List); err != nil {
			if l.ctx.Err() != nil {
				return
			}
			l.log.WithFields(logrus.Fields{"event": "worker_list_failed", "error": err.Error()}).Debug("cannot read the worker list")
		} else {
			l.push(workerListMsg{list.sorted()})
		}
		if !pause.For(l.ctx, listPoll) {
			return
		}
	}
}

// workerList is a local copy of the worker list.
type workerList struct {
	entries map[model.WorkerID]jobs.WorkerEntry
	cursor  ports.ListCursor
	// loaded reports whether cursor is valid, so that changes can be read from it.
	loaded bool
	log    *logrus.Entry
}

// refresh reads the changes since the last call, or all entries if the changes are not
// available.
func (w *workerList) refresh(ctx context.Context, source ports.WorkerList) error {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	if !w.loaded {
		changes, cursor, err := source.All(ctx)
		if err != nil {
			return err
		}
		clear(w.entries)
		w.apply(changes)
		w.cursor, w.loaded = cursor, true
		return nil
	}
	changes, cursor, err := source.Changes(ctx, w.cursor)
	var e *ports.StoreError
	if errors.As(err, &e) && e.Kind == ports.StoreExpired {
		w.loaded = false
		return w.refresh(ctx, source)
	}
	if err != nil {
		return err
	}
	w.apply(changes)
	w.cursor = cursor
	return nil
}

// apply applies changes to the copy. An entry that is invalid is logged and removed.
func (w *workerList) apply(changes []ports.WorkerChange) {
	for _, c := range changes {
		if c.Problem != "" {
			w.log.WithFields(logrus.Fields{"event": "worker_entry_unreadable", "worker": c.ID, "error": c.Problem}).Warn("an entry of the worker list is invalid")
		}
		if c.WorkerEntry == nil {
			delete(w.entries, c.ID)
			continue
		}
		w.entries[c.ID] = *c.WorkerEntry
	}
}

// sorted returns the entries in the order of their IDs.
func (w *workerList) sorted() []jobs.WorkerEntry {
	out := make([]jobs.WorkerEntry, 0, len(w.entries))
	for _, e := range w.entries {
		out = append(out, e)
	}
	slices.SortFunc(out, func(a, b jobs.WorkerEntry) int { return cmp.Compare(a.ID, b.ID) })
	return out
}
