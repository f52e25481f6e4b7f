//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// Bounds of the deployment that workers keep.
const (
	gangTimeout   = 3 * time.Second
	stopDuration  = 100 * time.Millisecond
	startup       = 200 * time.Millisecond
	advanceEvery  = 10 * time.Millisecond
	heartbeat     = 1500 * time.Millisecond
	maxHoldWaitMs = 2000
)

// script is what the payload of a job tells its tasks to do.
type script struct {
	// Ms is how long a run works; 0 until it is stopped.
	Ms int `json:"ms"`
	// FirstEndsMs, if not 0, is when the first run of each task ends as done.
	FirstEndsMs int `json:"firstEndsMs"`
	// Gang is the number of members.
	Gang int `json:"gang"`
	// Ticket is set if a start needs a ticket.
	Ticket bool `json:"ticket"`
}

type run struct {
	task     string
	number   int64
	script   script
	begun    time.Time // when the run began to work; zero while a gang is incomplete
	accepted time.Time
	stopAt   time.Time
}

// fleet is a number of workers in one process, whose gangs may span them.
type fleet struct {
	mu      sync.Mutex
	workers []*worker
}

type worker struct {
	fleet       *fleet
	id, address string
	zone        string
	kind, rack  string
	born        time.Time
	token       uint64
	leaseEndMs  int64
	running     []*run
	highest     map[string]int64
	firstRun    map[string]int64
	ends        [][]any
	lastEnd     int64
	// lapsedEnd is the last end listed before the lease last lapsed.
	lapsedEnd  int64
	changed    chan struct{}
	cpu, memMb int64
	maxLeaseMs int64
	seqNum     int64
}

func (w *worker) clockMs() int64 { return 1000 + time.Since(w.born).Milliseconds() }

func (w *worker) log(format string, args ...any) {
	fmt.Printf("%s worker %s: %s\n", stamp(), w.id, fmt.Sprintf(format, args...))
}

// serveWorkers serves the workers until the process is killed.
func serveWorkers(storeAddress string, workers []*worker) error {
	f := &fleet{workers: workers}
	errs := make(chan error)
	for _, w := range workers {
		w.fleet, w.born = f, time.Now()
		w.highest, w.firstRun, w.changed = map[string]int64{}, map[string]int64{}, make(chan struct{})
		mux := http.NewServeMux()
		mux.HandleFunc("POST /-/hold", w.handle(w.hold))
		mux.HandleFunc("POST /-/run-start", w.handle(w.start))
		mux.HandleFunc("POST /-/run-stop", w.handle(w.stop))
		mux.HandleFunc("GET /healthz", func(http.ResponseWriter, *http.Request) {})
		go func() { errs <- http.ListenAndServe(w.address, mux) }()
		go w.report(storeAddress)
		w.log("starts, born %d", w.born.UnixMilli())
	}
	go f.advance()
	return <-errs
}

// report writes the worker's entry to the store again and again.
func (w *worker) report(storeAddress string) {
	for {
		w.seqNum++
		value, _ := json.Marshal(map[string]any{"service": service, "address": w.address, "zone": w.zone, "version": "v1", "slots": 8, "state": "ready",
			"coldRemainingMs": 0, "capacity": map[string]int64{"cpu": w.cpu, "memMb": w.memMb}, "labels": []string{w.kind, w.rack},
			"clockMs": w.clockMs(), "seqNum": w.seqNum, "born": w.born.UnixMilli()})
		_ = appendRecord(storeAddress, "keyed.servers", w.id, value)
		time.Sleep(heartbeat)
	}
}

type workerCall struct {
	Task       string `json:"task"`
	Run        int64  `json:"runId"`
	Spec       string `json:"spec"`
	DeadlineMs int64  `json:"deadlineMs"`
	Token      uint64 `json:"fencingToken"`
	Ticket     string `json:"ticket"`
	AckCursor  int64  `json:"ackCursor"`
	WaitMs     int64  `json:"waitMs"`
}

// handle decodes a call and refuses those for another worker or with a lower token.
func (w *worker) handle(next func(http.ResponseWriter, *http.Request, *workerCall)) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		if id := r.Header.Get("Expected-Instance"); id != "" && id != w.id {
			answer(rw, http.StatusMisdirectedRequest, map[string]any{})
			return
		}
		var c workerCall
		if json.NewDecoder(r.Body).Decode(&c) != nil {
			answer(rw, http.StatusBadRequest, map[string]any{})
			return
		}
		w.fleet.mu.Lock()
		defer w.fleet.mu.Unlock()
		if c.Token < w.token {
			w.refuse(rw, "fence")
			return
		}
		w.token = c.Token
		next(rw, r, &c)
	}
}

func (w *worker) refuse(rw http.ResponseWriter, reason string) {
	answer(rw, http.StatusConflict, map[string]any{"clockMs": w.clockMs(), "born": w.born.UnixMilli(), "reason": reason})
}

func (w *worker) extend(deadlineMs int64) {
	w.leaseEndMs = max(w.leaseEndMs, min(deadlineMs, w.clockMs()+w.maxLeaseMs))
}

func (w *worker) find(task string) *run {
	for _, r := range w.running {
		if r.task == task {
			return r
		}
	}
	return nil
}

func (w *worker) start(rw http.ResponseWriter, _ *http.Request, c *workerCall) {
	ok := map[string]any{"clockMs": w.clockMs(), "born": w.born.UnixMilli()}
	r := w.find(c.Task)
	var s script
	_ = json.Unmarshal([]byte(c.Spec), &s)
	switch {
	case c.DeadlineMs < w.clockMs():
		w.refuse(rw, "late")
		return
	case r != nil && r.number == c.Run:
		w.extend(c.DeadlineMs)
		answer(rw, http.StatusOK, ok)
		return
	case r != nil || c.Run <= w.highest[c.Task]:
		w.extend(c.DeadlineMs)
		w.refuse(rw, "old")
		return
	case s.Ticket && c.Ticket != ticketOf(c.Task[:strings.LastIndex(c.Task, ".")], w.id):
		w.refuse(rw, "ticket")
		return
	}
	w.extend(c.DeadlineMs)
	r = &run{task: c.Task, number: c.Run, script: s, accepted: time.Now()}
	if s.Gang <= 1 {
		r.begun = r.accepted
	}
	w.running = append(w.running, r)
	w.log("run %d of %s begins (token %d)", c.Run, c.Task, c.Token)
	answer(rw, http.StatusOK, ok)
}

func (w *worker) stop(rw http.ResponseWriter, _ *http.Request, c *workerCall) {
	w.highest[c.Task] = max(w.highest[c.Task], c.Run)
	if r := w.find(c.Task); r != nil && r.number <= c.Run && r.stopAt.IsZero() {
		w.log("run %d of %s is to stop", r.number, r.task)
		r.stopAt = time.Now().Add(stopDuration)
	}
	answer(rw, http.StatusOK, map[string]any{"clockMs": w.clockMs(), "born": w.born.UnixMilli()})
}

func (w *worker) hold(rw http.ResponseWriter, r *http.Request, c *workerCall) {
	if c.DeadlineMs > 0 {
		w.extend(c.DeadlineMs)
	}
	w.ends = slices.DeleteFunc(w.ends, func(e []any) bool {
		noted := e[0].(int64) <= c.AckCursor
		switch {
		case noted && e[0].(int64) > w.lapsedEnd:
			w.log("run %d of %s has its end noted", e[2], e[1])
		case noted:
			w.log("run %d of %s has its end noted after its lease lapsed", e[2], e[1])
		}
		return noted
	})
	if len(w.ends) == 0 && c.WaitMs > 0 {
		changed := w.changed
		w.fleet.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Duration(min(c.WaitMs, maxHoldWaitMs)) * time.Millisecond):
		case <-r.Context().Done():
		}
		w.fleet.mu.Lock()
	}
	rows := [][]any{}
	for _, run := range w.running {
		rows = append(rows, []any{run.task, run.number, "", run.percent(), 0})
	}
	answer(rw, http.StatusOK, map[string]any{"clockMs": w.clockMs(), "born": w.born.UnixMilli(), "running": rows, "finished": append([][]any{}, w.ends[:min(len(w.ends), 500)]...)})
}

func (r *run) percent() int {
	switch {
	case r.begun.IsZero():
		return 0
	case r.script.Ms == 0:
		return min(100, int(100*time.Since(r.begun)/startup))
	}
	return min(99, int(100*time.Since(r.begun)/(time.Duration(r.script.Ms)*time.Millisecond)))
}

// end ends a run and lists its end.
func (w *worker) end(r *run, how string) {
	w.running = slices.DeleteFunc(w.running, func(o *run) bool { return o == r })
	w.highest[r.task] = max(w.highest[r.task], r.number)
	w.lastEnd++
	w.ends = append(w.ends, []any{w.lastEnd, r.task, r.number, how, ""})
	w.log("run %d of %s ends: %s", r.number, r.task, how)
	close(w.changed)
	w.changed = make(chan struct{})
}

// advance ends runs that are done, stopped, without a lease or without the other members.
func (f *fleet) advance() {
	for range time.Tick(advanceEvery) {
		f.mu.Lock()
		for _, w := range f.workers {
			if w.clockMs() > w.leaseEndMs {
				w.lapsedEnd = w.lastEnd
			}
			for _, r := range slices.Clone(w.running) {
				w.advance(r)
			}
		}
		f.mu.Unlock()
	}
}

func (w *worker) advance(r *run) {
	now := time.Now()
	length := time.Duration(r.script.Ms) * time.Millisecond
	if first, known := w.firstRun[r.task]; r.script.FirstEndsMs > 0 && (!known || first == r.number) {
		w.firstRun[r.task] = r.number
		length = time.Duration(r.script.FirstEndsMs) * time.Millisecond
	}
	switch {
	case !slices.Contains(w.running, r):
	case !r.stopAt.IsZero() && now.After(r.stopAt):
		w.endMembers(r, "stopped", "broken")
	case w.clockMs() > w.leaseEndMs:
		w.endMembers(r, "lapsed", "broken")
	case r.begun.IsZero():
		w.fleet.assemble(r)
		if r.begun.IsZero() && now.Sub(r.accepted) > gangTimeout {
			w.end(r, "alone")
		}
	case length > 0 && now.Sub(r.begun) >= length:
		w.endMembers(r, "done", "done")
	}
}

// gangOf returns the name of the step and the run that the members of a gang share.
func (r *run) gangOf() string {
	return fmt.Sprint(r.task[:strings.LastIndex(r.task, ".")], "/", r.number)
}

// assemble lets a gang work once all its members are present.
func (f *fleet) assemble(r *run) {
	var members []*run
	for _, w := range f.workers {
		for _, o := range w.running {
			if o.gangOf() == r.gangOf() {
				members = append(members, o)
			}
		}
	}
	if len(members) < r.script.Gang {
		return
	}
	for _, m := range members {
		m.begun = time.Now()
	}
}

// endMembers ends a run, and the other members of its gang if they work.
func (w *worker) endMembers(r *run, how, others string) {
	w.end(r, how)
	if r.script.Gang <= 1 || r.begun.IsZero() {
		return
	}
	for _, o := range w.fleet.workers {
		for _, m := range slices.Clone(o.running) {
			if m.gangOf() == r.gangOf() {
				o.end(m, others)
			}
		}
	}
}
