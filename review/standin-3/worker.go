//go:build review3

package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Bounds of a small deployment that concern workers.
const (
	holdMaxMs      = 10000
	usualStopDelay = 50 * time.Millisecond
	gangTimeout    = 3 * time.Second
	tick           = 5 * time.Millisecond
	endsInPage     = 500
)

// fleet holds all workers. Its mutex guards them, so that gangs are seen whole.
type fleet struct {
	mu      sync.Mutex
	workers []*worker
	rec     *recorder
	store   *store
	// started counts the starts of each task, and ended its ends of each kind.
	started map[string]int
	ended   map[string]map[string]int
	// lastEnd is when a run of a task last ended.
	lastEnd map[string]time.Time
	// overCapacity counts the starts beyond a worker's capacity, and twice those of a task that ran.
	overCapacity, twice int
	size                func(task string) size
	// quiet leaves the starts and ends out of the record.
	quiet bool
	// stopDelay is how long a stop takes.
	stopDelay time.Duration
}

type size struct{ CPU, MemMB int64 }

// worker is a stand-in of one worker: one life of a machine at a time.
type worker struct {
	f        *fleet
	id       string
	addr     string
	service  string
	zone     string
	labels   []string
	capacity size

	up      bool
	born    time.Time
	server  *http.Server
	fence   uint64
	lease   int64
	runs    map[string]*run
	highest map[string]int64
	ends    [][]any
	lastEnd int64
	changed chan struct{}
	// seq counts the writes of the entry.
	seq atomic.Int64
}

// run is a run of a task. Its spec tells what it does: "ms=N" takes N ms, "lasting" runs until it is
// stopped, "fails=N" fails from N/2 to 3N/2 ms after its start, "gang=N" needs N members.
type run struct {
	number  int64
	started time.Time
	workMs  int64
	lasting bool
	failMs  int64
	gang    int
	// whole is when all members were there.
	whole  time.Time
	stopAt time.Time
}

func newFleet(rec *recorder, s *store) *fleet {
	return &fleet{rec: rec, store: s, started: map[string]int{}, ended: map[string]map[string]int{}, lastEnd: map[string]time.Time{},
		size: func(string) size { return size{} }, stopDelay: usualStopDelay}
}

func (f *fleet) add(id, addr, service, zone string, capacity size, labels ...string) *worker {
	w := &worker{f: f, id: id, addr: addr, service: service, zone: zone, labels: labels, capacity: capacity}
	f.workers = append(f.workers, w)
	return w
}

// start begins a new life of the worker and registers it.
func (w *worker) start() error {
	l, err := net.Listen("tcp", w.addr)
	if err != nil {
		return err
	}
	w.f.mu.Lock()
	w.up, w.born, w.fence, w.lease = true, time.Now(), 0, 0
	w.runs, w.highest, w.ends, w.lastEnd, w.changed = map[string]*run{}, map[string]int64{}, nil, 0, make(chan struct{})
	m := http.NewServeMux()
	m.HandleFunc("POST /-/run-start", w.handle(w.runStart))
	m.HandleFunc("POST /-/run-stop", w.handle(w.runStop))
	m.HandleFunc("POST /-/hold", w.hold)
	w.server = &http.Server{Handler: m}
	server := w.server
	w.f.mu.Unlock()
	go func() { _ = server.Serve(l) }()
	w.register("ready")
	w.f.rec.add("worker %s up", w.id)
	return nil
}

func (w *worker) register(state string) {
	entry, _ := json.Marshal(map[string]any{"service": w.service, "address": w.addr, "zone": w.zone, "version": "1", "slots": 8, "state": state,
		"coldRemainingMs": 0, "seqNum": w.seq.Add(1), "born": w.born.UnixMilli(), "capacity": map[string]any{"cpu": w.capacity.CPU, "memMb": w.capacity.MemMB, "gpu": 0}, "labels": w.labels})
	w.f.store.put("keyed.servers", w.id, entry)
}

// beat writes the entries of all workers in each interval until done is closed.
func (f *fleet) beat(done <-chan struct{}, interval time.Duration) {
	t := time.NewTicker(interval / time.Duration(len(f.workers)))
	defer t.Stop()
	for i := 0; ; i++ {
		select {
		case <-done:
			return
		case <-t.C:
			f.workers[i%len(f.workers)].register("ready")
		}
	}
}

// crash ends the worker's life at once: its port is closed, its connections end, all that it ran is gone.
func (w *worker) crash() {
	w.f.mu.Lock()
	server := w.server
	w.up = false
	for task, r := range w.runs {
		w.f.noteEnd(w, task, r, "crashed")
	}
	w.runs = nil
	w.f.mu.Unlock()
	_ = server.Close()
	w.f.rec.add("worker %s crashed", w.id)
}

func (w *worker) clockMs() int64 { return time.Since(w.born).Milliseconds() }

func (w *worker) extend(deadline int64) {
	w.lease = max(w.lease, min(deadline, w.clockMs()+holdMaxMs))
}

type order struct {
	Task       string `json:"task"`
	RunID      int64  `json:"runId"`
	Spec       string `json:"spec"`
	DeadlineMs int64  `json:"deadlineMs"`
	Fence      uint64 `json:"fencingToken"`
	AckCursor  int64  `json:"ackCursor"`
	WaitMs     int64  `json:"waitMs"`
}

// decode reads an order. It returns false after it has answered.
func (w *worker) decode(rw http.ResponseWriter, r *http.Request, o *order) bool {
	if id := r.Header.Get("Expected-Instance"); id != "" && id != w.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return false
	}
	if json.NewDecoder(r.Body).Decode(o) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return false
	}
	return true
}

func (w *worker) handle(f func(*order) string) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		var o order
		if !w.decode(rw, r, &o) {
			return
		}
		w.f.mu.Lock()
		if !w.up {
			w.f.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
		reason := ""
		if o.Fence < w.fence {
			reason = "fence"
		} else {
			w.fence = o.Fence
			reason = f(&o)
		}
		clock, born := w.clockMs(), w.born.UnixMilli()
		w.f.mu.Unlock()
		if reason != "" {
			reply(rw, http.StatusConflict, map[string]any{"clockMs": clock, "born": born, "reason": reason})
			return
		}
		reply(rw, http.StatusOK, map[string]any{"clockMs": clock, "born": born})
	}
}

func (w *worker) runStart(o *order) string {
	if r := w.runs[o.Task]; r != nil && r.number == o.RunID {
		return ""
	}
	if o.RunID <= w.highest[o.Task] {
		w.extend(o.DeadlineMs)
		return "old"
	}
	if o.DeadlineMs <= w.clockMs() {
		return "late"
	}
	w.extend(o.DeadlineMs)
	w.f.noteStart(w, o)
	w.runs[o.Task] = w.f.newRun(o)
	return ""
}

func (f *fleet) newRun(o *order) *run {
	r := &run{number: o.RunID, started: time.Now()}
	for _, part := range strings.Split(o.Spec, ";") {
		name, value, _ := strings.Cut(part, "=")
		n, _ := strconv.ParseInt(value, 10, 64)
		switch name {
		case "ms":
			r.workMs = n
		case "lasting":
			r.lasting = true
		case "gang":
			r.gang = int(n)
		case "fails":
			r.failMs = n/2 + rand.Int64N(n)
		}
	}
	return r
}

func (w *worker) runStop(o *order) string {
	w.highest[o.Task] = max(w.highest[o.Task], o.RunID)
	if r := w.runs[o.Task]; r != nil && r.number <= o.RunID && r.stopAt.IsZero() {
		if w.f.stopDelay == 0 {
			w.end(o.Task, r, "stopped")
			return ""
		}
		r.stopAt = time.Now().Add(w.f.stopDelay)
	}
	return ""
}

func (w *worker) hold(rw http.ResponseWriter, req *http.Request) {
	var o order
	if !w.decode(rw, req, &o) {
		return
	}
	until := time.Now().Add(time.Duration(o.WaitMs) * time.Millisecond)
	for first := true; ; first = false {
		w.f.mu.Lock()
		if !w.up {
			w.f.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
		if o.Fence < w.fence {
			clock, born := w.clockMs(), w.born.UnixMilli()
			w.f.mu.Unlock()
			reply(rw, http.StatusConflict, map[string]any{"clockMs": clock, "born": born, "reason": "fence"})
			return
		}
		w.fence = o.Fence
		if first {
			w.extend(o.DeadlineMs)
			for len(w.ends) > 0 && w.ends[0][0].(int64) <= o.AckCursor {
				w.ends = w.ends[1:]
			}
		}
		if wait := time.Until(until); len(w.ends) == 0 && wait > 0 {
			changed := w.changed
			w.f.mu.Unlock()
			timer := time.NewTimer(wait)
			select {
			case <-changed:
			case <-timer.C:
			case <-req.Context().Done():
				timer.Stop()
				return
			}
			timer.Stop()
			continue
		}
		running := [][]any{}
		for task, r := range w.runs {
			running = append(running, []any{task, r.number, "", r.percent(), 0})
		}
		body := map[string]any{"clockMs": w.clockMs(), "born": w.born.UnixMilli(), "running": running, "finished": append([][]any{}, w.ends[:min(len(w.ends), endsInPage)]...)}
		w.f.mu.Unlock()
		reply(rw, http.StatusOK, body)
		return
	}
}

func (r *run) percent() int64 {
	if r.lasting {
		return 100
	}
	begin := r.started
	if r.gang > 0 {
		if begin = r.whole; begin.IsZero() {
			return 0
		}
	}
	return min(99, 100*time.Since(begin).Milliseconds()/max(1, r.workMs))
}

func (f *fleet) noteStart(w *worker, o *order) {
	f.started[o.Task]++
	for _, other := range f.workers {
		if other.up && other.runs[o.Task] != nil {
			f.twice++
			f.rec.add("TWICE %s run %d on %s while it runs on %s", o.Task, o.RunID, w.id, other.id)
		}
	}
	used := f.size(o.Task)
	for task := range w.runs {
		s := f.size(task)
		used.CPU += s.CPU
		used.MemMB += s.MemMB
	}
	if used.CPU > w.capacity.CPU || used.MemMB > w.capacity.MemMB {
		f.overCapacity++
		f.rec.add("OVER CAPACITY %s run %d on %s: %+v", o.Task, o.RunID, w.id, used)
	}
	if !f.quiet {
		f.rec.add("start %s run %d on %s", o.Task, o.RunID, w.id)
	}
}

func (f *fleet) noteEnd(w *worker, task string, r *run, how string) {
	if f.ended[task] == nil {
		f.ended[task] = map[string]int{}
	}
	f.ended[task][how]++
	f.lastEnd[task] = time.Now()
	if !f.quiet {
		f.rec.add("end %s run %d on %s: %s after %d ms", task, r.number, w.id, how, time.Since(r.started).Milliseconds())
	}
}

// end ends a run and lists its end.
func (w *worker) end(task string, r *run, how string) {
	delete(w.runs, task)
	w.highest[task] = max(w.highest[task], r.number)
	w.f.noteEnd(w, task, r, how)
	w.lastEnd++
	w.ends = append(w.ends, []any{w.lastEnd, task, r.number, how, ""})
	close(w.changed)
	w.changed = make(chan struct{})
	if r.gang == 0 {
		return
	}
	other := "broken"
	if how == "done" {
		other = "done"
	}
	for _, o := range w.f.workers {
		for t, m := range o.runs {
			if m.number == r.number && stepOf(t) == stepOf(task) {
				o.end(t, m, other)
			}
		}
	}
}

func stepOf(task string) string { return task[:strings.LastIndexByte(task, '.')] }

// advance lets all runs proceed until done is closed.
func (f *fleet) advance(done <-chan struct{}) {
	t := time.NewTicker(tick)
	defer t.Stop()
	for {
		select {
		case <-done:
			return
		case now := <-t.C:
			f.mu.Lock()
			for _, w := range f.workers {
				if w.up {
					w.advance(now)
				}
			}
			f.mu.Unlock()
		}
	}
}

func (w *worker) advance(now time.Time) {
	lapsed := w.clockMs() > w.lease
	for task, r := range w.runs {
		if w.runs[task] != r {
			continue
		}
		age := now.Sub(r.started)
		if r.gang > 0 && r.whole.IsZero() && w.f.members(task, r) == r.gang {
			w.f.gather(task, r, now)
		}
		switch {
		case lapsed:
			w.end(task, r, "lapsed")
		case !r.stopAt.IsZero() && now.After(r.stopAt):
			w.end(task, r, "stopped")
		case r.failMs > 0 && age.Milliseconds() >= r.failMs:
			w.end(task, r, "failed")
		case r.lasting:
		case r.gang > 0 && r.whole.IsZero():
			if age > gangTimeout {
				w.end(task, r, "alone")
			}
		case r.gang > 0:
			if now.Sub(r.whole).Milliseconds() >= r.workMs {
				w.end(task, r, "done")
			}
		case age.Milliseconds() >= r.workMs:
			w.end(task, r, "done")
		}
	}
}

func (f *fleet) members(task string, r *run) int {
	n := 0
	for _, w := range f.workers {
		for t, m := range w.runs {
			if m.number == r.number && stepOf(t) == stepOf(task) {
				n++
			}
		}
	}
	return n
}

func (f *fleet) gather(task string, r *run, now time.Time) {
	for _, w := range f.workers {
		for t, m := range w.runs {
			if m.number == r.number && stepOf(t) == stepOf(task) {
				m.whole = now
			}
		}
	}
}

// running returns where a task runs.
func (f *fleet) running(task string) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []string
	for _, w := range f.workers {
		if w.up && w.runs[task] != nil {
			out = append(out, w.id)
		}
	}
	return out
}

// freeCPU returns the free capacity of each worker that is up.
func (f *fleet) freeCPU() map[string]int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := map[string]int64{}
	for _, w := range f.workers {
		if !w.up {
			continue
		}
		free := w.capacity.CPU
		for task := range w.runs {
			free -= f.size(task).CPU
		}
		out[w.id] = free
	}
	return out
}

// ends returns how the runs of a job's tasks have ended.
func (f *fleet) endsOf(job string) map[string]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := map[string]int{}
	for task, kinds := range f.ended {
		if strings.HasPrefix(task, job+".") {
			for how, n := range kinds {
				out[how] += n
			}
		}
	}
	return out
}

func (f *fleet) String() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	kinds, starts := map[string]int{}, 0
	for _, n := range f.started {
		starts += n
	}
	for _, k := range f.ended {
		for how, n := range k {
			kinds[how] += n
		}
	}
	return fmt.Sprintf("%d starts, ends %v, %d beyond capacity, %d of a task that ran", starts, kinds, f.overCapacity, f.twice)
}

// runningOf returns the number of a job's tasks that run.
func (f *fleet) runningOf(job string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, w := range f.workers {
		if !w.up {
			continue
		}
		for task := range w.runs {
			if strings.HasPrefix(task, job+".") {
				n++
			}
		}
	}
	return n
}
