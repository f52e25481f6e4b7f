package jobs

import (
	"time"
	"unsafe"

	"catkinvalve/internal/core/model"
)

// retryAfterMemory is the delay after which a client may submit a job again for which there was no
// memory.
const retryAfterMemory = 2 * time.Second

const (
	// baseJobBytes is the memory of a job without its texts and steps.
	baseJobBytes = int64(unsafe.Sizeof(job{})+unsafe.Sizeof(Spec{})) + 256
	// baseStepBytes is the memory of the definition of a step without its texts.
	baseStepBytes = int64(unsafe.Sizeof(Step{}))
	// stepBytes and taskBytes are those of a step and of a task of an occurrence.
	stepBytes = int64(unsafe.Sizeof(step{}) + 2*unsafe.Sizeof(uintptr(0)))
	taskBytes = int64(unsafe.Sizeof(task{}))
	// baseOccurrenceBytes is that of an occurrence without its steps, and of its place in a map.
	baseOccurrenceBytes = int64(unsafe.Sizeof(occurrence{})) + 64
	// finishedBytes is that of a finished occurrence.
	finishedBytes = 32
)

const (
	// furtherShare is the part of the budget up to which occurrences beyond a job's first one are
	// created, so that overdue occurrences of few jobs do not keep out all others.
	furtherShare = 0.5
	// unstoredShare is the part of the budget that jobs may hold whose records are not stored:
	// encoding them needs as much again for some time.
	unstoredShare = 0.25
)

// memoryUse tracks the memory that jobs hold by an estimate of its size.
type memoryUse struct {
	// used is the sum of the heldBytes of all jobs.
	used int64
	// unstored is the part of used that belongs to specs whose records are not stored.
	unstored int64
	// deferred is the memory of the submissions that wait for the list of workers.
	deferred int64
	// deferredOccurrences counts the times when due occurrences were not created.
	deferredOccurrences int64
	// reportedAt is the wall-clock time of the last event about them.
	reportedAt time.Time
}

// Bytes returns an estimate of the memory that the spec needs.
func (s *Spec) Bytes() int64 {
	n := baseJobBytes + int64(len(s.ID)+len(s.Queue)+len(s.Tenant)+len(s.Payload))
	for i := range s.Steps {
		step := &s.Steps[i]
		n += baseStepBytes + int64(len(step.Label)+len(step.DataRack)+len(step.Image)+len(step.After)*8)
	}
	return n
}

// occurrenceBytes returns an estimate of the memory that each occurrence needs.
func (s *Spec) occurrenceBytes() int64 {
	n := baseOccurrenceBytes
	for i := range s.Steps {
		n += stepBytes + int64(s.Steps[i].Count)*taskBytes
	}
	return n
}

// memoryAllows reports whether there is memory for another job. It is enough for one occurrence.
func (c *Core) memoryAllows(spec *Spec) bool {
	if c.cfg.MaxJobBytes == 0 {
		return true
	}
	bytes := spec.Bytes()
	return c.memory.used+bytes+spec.occurrenceBytes() <= c.cfg.MaxJobBytes &&
		c.memory.unstored+bytes <= int64(unstoredShare*float64(c.cfg.MaxJobBytes))
}

// deferralAllowed reports whether there is memory for another submission that waits for the list of
// workers.
func (c *Core) deferralAllowed(spec *Spec) bool {
	if c.cfg.MaxJobBytes == 0 {
		return true
	}
	return c.memory.deferred+spec.Bytes() <= int64(unstoredShare*float64(c.cfg.MaxJobBytes))
}

// occurrenceFits reports whether there is memory for another occurrence of a job. For one it was
// reserved when the job was accepted.
func (c *Core) occurrenceFits(j *job) bool {
	if c.cfg.MaxJobBytes == 0 || len(j.occurrences) == 0 {
		return true
	}
	return c.memory.used+j.occurrenceBytes <= int64(furtherShare*float64(c.cfg.MaxJobBytes))
}

// updateMemory accounts for a change of what a job holds.
func (c *Core) updateMemory(j *job) {
	var held int64
	if !j.outcomeStored {
		held = j.specBytes + int64(max(1, len(j.occurrences)))*j.occurrenceBytes + int64(len(j.finished))*finishedBytes
	}
	c.memory.used += held - j.heldBytes
	j.heldBytes = held
}

// addUnstored accounts for an accepted job until its record is stored, and n is -1 then.
func (c *Core) addUnstored(j *job, n int64) { c.memory.unstored += n * j.specBytes }

// releaseEnded drops what is not needed of a job whose outcome is stored. Jobs remain known for
// long after that. Runs that are still being stopped hold their own steps.
func (c *Core) releaseEnded(j *job) {
	j.occurrences, j.finished = map[int32]*occurrence{}, nil
	j.spec = &Spec{ID: j.spec.ID, Queue: j.spec.Queue, Tenant: j.spec.Tenant}
	c.updateMemory(j)
}

// deferOccurrences notes that a job's due occurrences are created later. It writes at most one
// event in reportInterval.
func (c *Core) deferOccurrences(wall time.Time, j *job) {
	c.memory.deferredOccurrences++
	if wall.Sub(c.memory.reportedAt) < deferReportInterval {
		return
	}
	c.memory.reportedAt = wall
	c.event(Event{Name: EventOccurrencesDeferred, Job: j.spec.ID, Queue: j.queue.Name, Reason: model.ReasonMemoryFull, Count: j.spec.OccurrenceCount() - j.createdOccurrences})
}

// deferReportInterval is the least time between two events about occurrences that are not created.
const deferReportInterval = time.Second

// MemoryUsed returns an estimate of the memory that jobs hold.
func (c *Core) MemoryUsed() int64 { return c.memory.used }
