package jobs

import (
	"cmp"
	"slices"
	"time"

	"catkinvalve/internal/core/runtimes"
)

const (
	// runTimeStoreInterval is the minimum time between two batches with run times.
	runTimeStoreInterval = 5 * time.Second
	// minUnsavedRuns is the number of runs after which the run times of a queue are stored again.
	minUnsavedRuns = 8
	// maxRunTimeRecords limits the records of run times in a batch.
	maxRunTimeRecords = 8
)

// RunTimeRecord is the stored form of what is known of the run times of a queue.
type RunTimeRecord struct {
	Queue string
	// Token is the fencing token of the leader that stored the record.
	Token uint64
	// Format is the version of Model.
	Format uint32
	Model  []byte
}

// runTimeRecords decides when run times are stored.
type runTimeRecords struct {
	storedAt time.Time
	// due is set while the next batch takes run times along.
	due bool
}

// tick determines whether run times are due.
func (r *runTimeRecords) tick(now time.Time) {
	if !r.due && now.Sub(r.storedAt) >= runTimeStoreInterval {
		r.due, r.storedAt = true, now
	}
}

// addRunTimes adds the run times of the queues that changed most to a batch that is stored in any
// case, and the deletion of those of queues that are not configured any more.
func (c *Core) addRunTimes(out *Batch) {
	if c.learned == nil || !c.runTimeRecords.due {
		return
	}
	c.runTimeRecords.due = false
	model := c.learned.model
	var changed []string
	for _, name := range model.Queues() {
		switch {
		case c.queues[name] == nil && len(c.queues) > 0:
			model.Drop(name)
			out.DropRunTimes = append(out.DropRunTimes, name)
		case model.Unsaved(name) >= minUnsavedRuns:
			changed = append(changed, name)
		}
	}
	slices.SortStableFunc(changed, func(a, b string) int { return cmp.Compare(model.Unsaved(b), model.Unsaved(a)) })
	for _, name := range changed[:min(len(changed), maxRunTimeRecords)] {
		out.RunTimes = append(out.RunTimes, RunTimeRecord{Queue: name, Token: c.cfg.Token, Format: runtimes.Format, Model: model.Encode(name)})
	}
}

// restoreRunTimes begins with the run times that an earlier leader stored. A record that cannot be
// used is left out.
func (c *Core) restoreRunTimes(records []RunTimeRecord) {
	if c.learned == nil {
		return
	}
	for i := range records {
		if problem := c.restoreRunTime(&records[i]); problem != "" {
			c.event(Event{Name: EventRunTimesUnusable, Queue: records[i].Queue, Detail: problem})
		}
	}
}

// restoreRunTime returns why a record cannot be used, or "".
func (c *Core) restoreRunTime(r *RunTimeRecord) string {
	switch {
	case r.Format != runtimes.Format:
		return "the record has another format"
	case r.Token > c.cfg.Token:
		return "the record is that of a later leader"
	}
	if err := c.learned.model.Restore(r.Queue, r.Model); err != nil {
		return err.Error()
	}
	return ""
}
