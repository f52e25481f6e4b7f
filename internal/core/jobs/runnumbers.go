package jobs

// A worker starts a run only if its number is higher than all that it has seen of the task. A leader
// cannot know the last number of an earlier one, whose starts it may never have seen, so each leader
// has a range of numbers for each job that is above those of all earlier leaders. The first range
// follows from the leader's token. Before a leader exceeds its range, it stores a higher limit, above
// which the next leader begins.

const (
	// runsPerToken is the size of the range that follows from a leader's token, and the size of
	// each extension.
	runsPerToken = 1000
	// runReserve is how many numbers before the limit the range is extended, so that starts do
	// not wait for the store.
	runReserve = 200
)

// runNumbers are the run numbers of a job that this leader may assign.
type runNumbers struct {
	// base is the limit that an earlier leader stored, or 0.
	base int64
	// stored is the highest limit that is known to be stored, and proposed the latest one that was
	// put into a record, in batch proposedIn.
	stored, proposed int64
	proposedIn       uint64
}

// nextRunNumber increments the run count of a task or gang and returns the number of its next run,
// which is higher than any that an earlier leader assigned. The bool is false if the number is above
// the limit that is stored so far; the next one is then under way.
func (c *Core) nextRunNumber(j *job, runCount *int64) (int64, bool) {
	number := c.runBase(j) + *runCount + 1
	limit := c.runLimit(j)
	if number > limit-runReserve {
		c.proposeRunLimit(j, number+runsPerToken)
	}
	if number > limit {
		return 0, false
	}
	*runCount++
	return number, true
}

// tokenRunBase returns the number above which the range begins that follows from the leader's token.
func (c *Core) tokenRunBase(j *job) int64 { return int64(c.cfg.Token-j.token) * runsPerToken }

// runBase returns the number above which this leader's numbers begin.
func (c *Core) runBase(j *job) int64 { return max(c.tokenRunBase(j), j.numbers.base) }

// runLimit returns the highest number that this leader may assign.
func (c *Core) runLimit(j *job) int64 {
	n := &j.numbers
	if n.proposedIn < c.batch.oldestUnstored() {
		n.stored = n.proposed
	}
	return max(c.tokenRunBase(j)+runsPerToken, n.stored)
}

// proposeRunLimit puts a higher limit into the next batch, unless one is under way.
func (c *Core) proposeRunLimit(j *job, limit int64) {
	n := &j.numbers
	if n.proposed > n.stored {
		return
	}
	c.markDirty(j)
	n.proposed, n.proposedIn = limit, j.progressBatch
}

// skipRunNumbers skips numbers of the task of a rejected run, twice as many with each rejection. It
// makes up for records of numbers that were lost.
func (c *Core) skipRunNumbers(r *run) {
	if r.task == nil {
		return
	}
	s := r.task.step
	count := &s.gang.runCount
	if !s.def.Gang {
		count = &r.task.record().runCount
	}
	if r.number == c.runBase(s.job())+*count {
		*count = max(2**count, *count+runsPerToken)
	}
}
