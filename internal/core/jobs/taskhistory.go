package jobs

// taskHistory is what is known of the earlier runs of a task.
type taskHistory struct {
	// failed lists the numbers of the failed runs.
	failed []int64
	// runCount counts the runs that this leader numbered.
	runCount int64
	// checkpoint is the latest checkpoint from which the task can resume.
	checkpoint string
	crashes    crashHistory
}

// record returns the history of the task, which may be changed.
func (t *task) record() *taskHistory {
	if t.history == nil {
		t.history = &taskHistory{}
	}
	return t.history
}

// crashes returns the crashes under the task. Changes are made through record.
func (t *task) crashes() *crashHistory {
	if t.history == nil {
		return &crashHistory{}
	}
	return &t.history.crashes
}

// clearCrashes forgets the crashes under the task.
func (t *task) clearCrashes() {
	if t.history != nil {
		t.history.crashes = crashHistory{}
	}
}

// failedRuns returns the numbers of the failed runs.
func (t *task) failedRuns() []int64 {
	if t.history == nil {
		return nil
	}
	return t.history.failed
}

// checkpoint returns the latest checkpoint from which the task can resume, or an empty string.
func (t *task) checkpoint() string {
	if t.history == nil {
		return ""
	}
	return t.history.checkpoint
}

// releaseHistory drops the history of a task that is done, unless it belongs to the stored
// progress.
func (t *task) releaseHistory() {
	if len(t.failedRuns()) == 0 && len(t.crashes().runs) == 0 {
		t.history = nil
	}
}
