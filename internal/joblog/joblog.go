// Package joblog finds in the daemons' logs what happened to a job.
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

// Line is one line of a daemon's log.
type Line struct {
	Time   time.Time `json:"time"`
	Daemon string    `json:"daemon"`
	Event  string    `json:"event"`
	Job    string    `json:"job"`
	Task   string    `json:"task"`
	Run    int64     `json:"run"`
	Worker string    `json:"worker"`
	Token  uint64    `json:"token"`
	// Reason and Detail say what decided.
	Reason string `json:"reason"`
	Detail string `json:"detail"`
	// Dropped is how many lines of this kind were left out before this one.
	Dropped int64 `json:"dropped_before"`
	// Others holds all other fields.
	Others map[string]any `json:"-"`
}

// maxLine bounds the length of a line.
const maxLineBytes = 1 << 20

// Read reads log lines. Text before the first brace of a line, such as what a
// collector puts there, is passed over; so are lines without JSON.
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

// of reports whether a line is about a job itself.
func (l *Line) isAbout(job string) bool {
	return l.Job == job || strings.HasPrefix(l.Task, job+".")
}

// context reports whether a line tells of something that can decide about any
// job: who leads, and whether the store takes records.
func (l *Line) affectsAllJobs() bool {
	switch l.Event {
	case "leader_elected", "leader_ended", "handover", "recovery_complete", "append_failed", "start", "stop":
		return true
	}
	return false
}

// Timeline is what happened to one job, in order.
type Timeline struct {
	Job  string
	Rows []Row
	// Seal is the decision that settled the job, or nil.
	Outcome *Line `json:"Seal"`
	// Dropped is how many lines may be missing.
	Dropped int64
}

// Row stands for lines of one kind that follow one another.
type Row struct {
	Line
	// Count is how many lines it stands for.
	Count int
	// Context rows are not about the job itself.
	Context bool
}

// Of returns the timeline of a job over the logs of all daemons.
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

// span returns the times of a job's first and last line.
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

// seals reports whether a line settles a job or a call for it.
func isOutcome(l *Line) bool {
	switch l.Event {
	case "job_ended", "job_refused", "job_cancelled", "call_failed":
		return true
	}
	return false
}

// add appends a line, or counts it with the one before if that says the same.
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

// What describes a row's subject: the task, and how many more.
func (r *Row) Subject() string {
	switch {
	case r.Count > 1:
		return fmt.Sprintf("%s and %d more", r.Task, r.Count-1)
	case r.Task != "":
		return r.Task
	}
	return r.Job
}

// Why lists what decided, in a fixed order.
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
