// Package joblog reads the logs of daemons and extracts the timeline of a job.
package joblog

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"
)

// Line is one line of a daemon's log. Fields that the line does not have are zero.
type Line struct {
	Time   time.Time `json:"time"`
	Daemon string    `json:"daemon"`
	Event  string    `json:"event"`
	Job    string    `json:"job"`
	Task   string    `json:"task"`
	Run    int64     `json:"run"`
	Worker string    `json:"worker"`
	Token  uint64    `json:"token"`
	// Reason and Detail describe the cause of the event.
	Reason string `json:"reason"`
	Detail string `json:"detail"`
	// Dropped is the number of lines of the same event that were dropped before this one.
	Dropped int64 `json:"dropped_before"`
	// Others holds the other fields of the line, except its level and message and the
	// daemon's data centre.
	Others map[string]any `json:"-"`
}

// maxLineBytes is the maximum length of a line.
const maxLineBytes = 1 << 20

// Read reads the log lines of a daemon. It ignores text before the first brace of a line,
// such as the prefix of a log collector, and skips lines without a JSON object that has
// an event. A line longer than maxLineBytes is an error; the lines before it are returned.
func Read(r io.Reader) ([]Line, error) {
	var lines []Line
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 64<<10), maxLineBytes)
	for scanner.Scan() {
		start := bytes.IndexByte(scanner.Bytes(), '{')
		if start < 0 {
			continue
		}
		var l Line
		text := scanner.Bytes()[start:]
		if json.Unmarshal(text, &l) != nil || l.Event == "" {
			continue
		}
		if err := json.Unmarshal(text, &l.Others); err != nil {
			continue
		}
		for _, known := range []string{"time", "daemon", "event", "job", "task", "run", "worker", "token", "reason", "detail", "dropped_before", "level", "msg", "data_centre"} {
			delete(l.Others, known)
		}
		lines = append(lines, l)
	}
	return lines, scanner.Err()
}

// isAbout reports whether the line is about the given job or one of its tasks.
func (l *Line) isAbout(job string) bool {
	return l.Job == job || strings.HasPrefix(l.Task, job+".")
}

// affectsAllJobs reports whether the line's event can affect any job: a change of the
// leader, a failed append to the store, or the start or stop of a daemon.
func (l *Line) affectsAllJobs() bool {
	switch l.Event {
	case "leader_elected", "leader_ended", "handover", "recovery_complete", "append_failed", "start", "stop":
		return true
	}
	return false
}

// Timeline is the history of one job, in order of time.
type Timeline struct {
	Job  string
	Rows []Row
	// Outcome is the line that states the job's final state, or else the outcome of a call
	// about it. It is nil when there is no such line.
	Outcome *Line `json:"Seal"`
	// Dropped is the number of lines that may be missing, because daemons dropped lines of
	// the same events.
	Dropped int64
}

// Row represents one line, or several consecutive lines of the same event and cause.
type Row struct {
	Line
	// Count is the number of lines that the row represents.
	Count int
	// Context is true for events that are not about the job itself but may affect it.
	Context bool
}

// NewTimeline returns the timeline of a job from the lines of any number of daemons, in any
// order. Between the job's first and last line it includes events that affect all jobs
// and events of workers on which the job has run.
func NewTimeline(job string, lines []Line) Timeline {
	t := Timeline{Job: job}
	lines = slices.Clone(lines)
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	first, last := timeRange(job, lines)
	workers := map[string]bool{}
	for _, l := range lines {
		about := l.isAbout(job)
		if about && l.Worker != "" {
			workers[l.Worker] = true
		}
		inRange := !l.Time.Before(first) && !l.Time.After(last)
		if !about && (!inRange || !l.affectsAllJobs() && (l.Task != "" || !workers[l.Worker])) {
			continue
		}
		t.add(l, !about)
		if about && isOutcome(&l) && (t.Outcome == nil || t.Outcome.Event != "job_ended") {
			t.Outcome = &l
		}
		t.Dropped += l.Dropped
	}
	return t
}

// timeRange returns the times of a job's first and last line, which are zero when no line
// is about the job. The lines must be sorted by time.
func timeRange(job string, lines []Line) (first, last time.Time) {
	for i := range lines {
		if !lines[i].isAbout(job) {
			continue
		}
		if first.IsZero() {
			first = lines[i].Time
		}
		last = lines[i].Time
	}
	return first, last
}

// isOutcome reports whether the line states the final state of a job, or the outcome of a
// call about it.
func isOutcome(l *Line) bool {
	switch l.Event {
	case "job_ended", "job_refused", "job_cancelled", "call_failed":
		return true
	}
	return false
}

// add appends a line as a row. A line about a task is counted in the last row instead if
// both have the same daemon, event, run, reason and detail.
func (t *Timeline) add(l Line, context bool) {
	if n := len(t.Rows); n > 0 {
		r := &t.Rows[n-1]
		if r.Daemon == l.Daemon && r.Event == l.Event && r.Run == l.Run && r.Reason == l.Reason && r.Detail == l.Detail && l.Task != "" {
			r.Count++
			return
		}
	}
	t.Rows = append(t.Rows, Row{Line: l, Count: 1, Context: context})
}

// Subject returns the task that the row is about and the number of further tasks, or the
// job if it is about no task.
func (r *Row) Subject() string {
	switch {
	case r.Count > 1:
		return fmt.Sprintf("%s and %d more", r.Task, r.Count-1)
	case r.Task != "":
		return r.Task
	}
	return r.Job
}

// Details returns the row's fields as name=value pairs in a fixed order. Empty and zero
// values are left out.
func (r *Row) Details() string {
	var parts []string
	add := func(name string, value any) {
		if s := fmt.Sprint(value); s != "" && s != "0" {
			parts = append(parts, name+"="+s)
		}
	}
	add("detail", r.Detail)
	add("reason", r.Reason)
	add("run", r.Run)
	add("token", r.Token)
	for _, name := range slices.SortedFunc(maps.Keys(r.Others), cmp.Compare) {
		if n, ok := r.Others[name].(float64); ok {
			add(name, int64(n))
		} else {
			add(name, r.Others[name])
		}
	}
	add("dropped_before", r.Dropped)
	return strings.Join(parts, " ")
}
