//go:build review

package main

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"catkinvalve/internal/core/jobs"
	"catkinvalve/internal/core/model"
	"catkinvalve/platform"
)

const (
	// maxLease, stopDelay and gangWait follow the sheet of the small deployments.
	maxLease  = 10 * time.Second
	stopDelay = 200 * time.Millisecond
	gangWait  = 3 * time.Second
	endsPage  = 500
	// startup is the time after which a service that cannot work fails.
	startup = 15 * time.Millisecond
	// workTick is how often workers advance their runs.
	workTick = 10 * time.Millisecond
)

// worker is a stand-in of one worker. It follows the section "Running tasks" of the users' protocol page,
// without admission control: it starts whatever it is told to start.
type worker struct {
	c        *cluster
	id       model.WorkerID
	address  string
	capacity model.Size
	labels   []string

	// The fields below are guarded by cluster.mu.
	server *http.Server
	born   time.Time
	token  uint64
	// lease is the end of the lease in ms on the worker's clock.
	lease    int64
	runs     map[jobs.TaskRef]*taskRun
	highest  map[jobs.TaskRef]int64
	ends     []jobs.RunEnd
	lastEnd  int64
	changed  chan struct{}
	down     bool // crashed: no server and no entry
	cut      bool // no call arrives and no answer leaves; the runs go on
	draining bool
	dark     bool // without power: its connections are silent
	// lapses are the times at which a lease lapsed.
	lapses []time.Time
	lapsed bool
	// life counts the lives; a connection of an earlier one is reset once the worker is back.
	life int
}

// lifeKey is the key of the life in which a connection was accepted, in the context of its calls.
type lifeKey struct{}

// taskRun is a run on a worker.
type taskRun struct {
	number  int64
	started time.Time
	left    time.Duration
	lasting bool
	quits   bool // a lasting task that fails at the end of its startup
	gang    int  // number of members; 0 without a gang
	fails   bool
	stopAt  time.Time
}

func newWorker(c *cluster, id, address string, capacity model.Size, labels ...string) *worker {
	return &worker{c: c, id: model.WorkerID(id), address: address, capacity: capacity, labels: labels}
}

// start begins a new life of the worker: it knows nothing of an earlier one. The caller holds cluster.mu.
func (w *worker) start() error {
	l, err := net.Listen("tcp", w.address)
	if err != nil {
		return err
	}
	w.server = &http.Server{Handler: w.gate(platform.StandinWorkerHandler(w)), ConnContext: func(ctx context.Context, _ net.Conn) context.Context {
		w.c.mu.Lock()
		defer w.c.mu.Unlock()
		return context.WithValue(ctx, lifeKey{}, w.life)
	}}
	s := w.server
	go func() { _ = s.Serve(l) }()
	w.beginLife()
	return nil
}

// beginLife begins a life without any state of an earlier one. The caller holds cluster.mu.
func (w *worker) beginLife() {
	w.life++
	w.born, w.token, w.lease, w.lastEnd = time.Now(), 0, 0, 0
	w.runs, w.highest, w.ends = map[jobs.TaskRef]*taskRun{}, map[jobs.TaskRef]int64{}, nil
	w.changed = make(chan struct{})
	w.down, w.cut, w.dark, w.draining = false, false, false, false
	w.c.note("worker %s up, born %d", w.id, w.born.UnixMilli())
	w.writeEntry()
}

// losePower ends the worker's process without a word to the other ends of its connections. The caller holds cluster.mu.
func (w *worker) losePower() {
	w.c.note("worker %s loses power with %d runs, %d ends not acknowledged", w.id, len(w.runs), len(w.ends))
	w.loseRuns()
	w.down, w.dark = true, true
}

// loseRuns ends all runs with the process.
func (w *worker) loseRuns() {
	for ref, r := range w.runs {
		w.c.ended(w, ref, r.number, "crashed", 0)
		w.breakGang(ref, r)
	}
	w.runs, w.ends = map[jobs.TaskRef]*taskRun{}, nil
}

// gate holds calls back while the worker is cut off or without power, on their way in and on their way out.
func (w *worker) gate(h http.Handler) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		silent, earlier := w.reachable(r)
		if silent {
			<-r.Context().Done()
		}
		if silent || earlier {
			panic(http.ErrAbortHandler)
		}
		h.ServeHTTP(&gatedWriter{rw, r, w}, r)
	})
}

// reachable reports whether nothing passes between the worker and its callers, and whether a call came over a
// connection of an earlier life.
func (w *worker) reachable(r *http.Request) (silent, earlier bool) {
	w.c.mu.Lock()
	defer w.c.mu.Unlock()
	return w.cut || w.dark, r.Context().Value(lifeKey{}) != w.life
}

type gatedWriter struct {
	http.ResponseWriter
	r *http.Request
	w *worker
}

func (g *gatedWriter) WriteHeader(status int) {
	if silent, earlier := g.w.reachable(g.r); silent || earlier {
		<-g.r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	g.ResponseWriter.WriteHeader(status)
}

func (w *worker) writeEntry() {
	e := jobs.WorkerEntry{ID: w.id, Address: w.address, Service: service, DataCentre: "zone-a", Labels: w.labels, Capacity: w.capacity, Draining: w.draining, Incarnation: w.born.UnixMilli()}
	record, err := platform.WorkerRecord(&e)
	if err == nil {
		_, err = w.c.topic(platform.WorkerTopic()).Append(appendOf(record))
	}
	if err != nil {
		w.c.note("entry of %s: %v", w.id, err)
	}
}

func (w *worker) clock() int64 { return time.Since(w.born).Milliseconds() }

// ID implements platform.SimulatedWorker.
func (w *worker) ID() model.WorkerID { return w.id }

// Incarnation implements platform.SimulatedWorker.
func (w *worker) Incarnation() int64 {
	w.c.mu.Lock()
	defer w.c.mu.Unlock()
	return w.born.UnixMilli()
}

func (w *worker) extend(deadline int64) {
	w.lease = max(w.lease, min(deadline, w.clock()+maxLease.Milliseconds()))
}

// Start implements platform.SimulatedWorker.
func (w *worker) Start(_ context.Context, token uint64, req jobs.StartRequest) jobs.StartResult {
	w.c.mu.Lock()
	defer w.c.mu.Unlock()
	r := jobs.StartResult{ClockMs: w.clock()}
	switch run := w.runs[req.Task]; {
	case w.down:
		r.Status = jobs.CallNoAnswer
	case token < w.token:
		r.Status = jobs.CallFenced
	case run != nil && run.number == req.Run:
		w.token = token
	case req.Run <= w.highest[req.Task]:
		w.token = token
		w.extend(req.LeaseDeadlineMs)
		r.Status = jobs.CallStaleRun
	case req.LeaseDeadlineMs <= w.clock():
		w.token = token
		r.Status = jobs.CallDeadlinePassed
	default:
		w.token = token
		w.extend(req.LeaseDeadlineMs)
		w.highest[req.Task] = max(w.highest[req.Task], req.Run-1)
		w.runs[req.Task] = w.parseRun(&req)
		w.c.started(w, req.Task, req.Run, token)
	}
	return r
}

// parseRun reads what a task does from the payload: words "ms=N" or "ms=N,M" by steps, "gang=N", "lasting", "fails", and "from=N" for a
// lasting task that fails at the end of its startup until N ms after the start of the script.
func (w *worker) parseRun(req *jobs.StartRequest) *taskRun {
	r := &taskRun{number: req.Run, started: time.Now()}
	for _, word := range strings.Fields(req.Payload) {
		key, value, _ := strings.Cut(word, "=")
		// With several numbers, each step has its own.
		if numbers := strings.Split(value, ","); int(req.Task.Step) < len(numbers) {
			value = numbers[req.Task.Step]
		}
		n, _ := strconv.Atoi(value)
		switch key {
		case "ms":
			r.left = time.Duration(n) * time.Millisecond
		case "gang":
			r.gang = n
		case "from":
			r.quits = time.Since(w.c.began) < time.Duration(n)*time.Millisecond
		case "lasting":
			r.lasting = true
		case "fails":
			r.fails = true
		}
	}
	return r
}

// Stop implements platform.SimulatedWorker.
func (w *worker) Stop(_ context.Context, token uint64, req jobs.StopRequest) jobs.StopResult {
	w.c.mu.Lock()
	defer w.c.mu.Unlock()
	r := jobs.StopResult{ClockMs: w.clock()}
	switch run := w.runs[req.Task]; {
	case w.down:
		r.Status = jobs.CallNoAnswer
	case token < w.token:
		r.Status = jobs.CallFenced
	default:
		w.token = token
		w.highest[req.Task] = max(w.highest[req.Task], req.Run)
		if run != nil && run.number <= req.Run && run.stopAt.IsZero() {
			run.stopAt = time.Now().Add(stopDelay)
		}
	}
	return r
}

// RenewLease implements platform.SimulatedWorker.
func (w *worker) RenewLease(ctx context.Context, token uint64, req jobs.SyncRequest) jobs.SyncResult {
	until := time.Now().Add(req.Wait)
	for first := true; ; first = false {
		r, changed := w.hold(token, &req, first)
		left := time.Until(until)
		if r.Status != jobs.CallOK || len(r.Ends) > 0 || left <= 0 {
			return r
		}
		timer := time.NewTimer(left)
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return jobs.SyncResult{Status: jobs.CallNoAnswer}
		}
		timer.Stop()
	}
}

func (w *worker) hold(token uint64, req *jobs.SyncRequest, first bool) (jobs.SyncResult, <-chan struct{}) {
	w.c.mu.Lock()
	defer w.c.mu.Unlock()
	r := jobs.SyncResult{ClockMs: w.clock(), Incarnation: w.born.UnixMilli()}
	switch {
	case w.down:
		r.Status = jobs.CallNoAnswer
		return r, w.changed
	case token < w.token:
		r.Status = jobs.CallFenced
		return r, w.changed
	}
	w.token = token
	if first {
		w.extend(req.LeaseDeadlineMs)
		for len(w.ends) > 0 && w.ends[0].Seq <= req.AckCursor {
			w.c.acknowledged(w, &w.ends[0], token)
			w.ends = w.ends[1:]
		}
	}
	for ref, run := range w.runs {
		percent := 50
		if run.lasting {
			percent = 100
		} else if total := time.Since(run.started) + run.left; total > 0 {
			percent = int(100 * time.Since(run.started) / total)
		}
		r.Running = append(r.Running, jobs.RunReport{Task: ref, Run: run.number, Percent: percent})
	}
	r.Ends = append(r.Ends, w.ends[:min(len(w.ends), endsPage)]...)
	if len(r.Ends) == endsPage {
		select {
		case w.c.fullPage <- struct{}{}:
		default:
		}
	}
	return r, w.changed
}

// work advances the runs of the worker. The caller holds cluster.mu.
func (w *worker) work(now time.Time) {
	if w.down {
		return
	}
	lapsed := w.clock() > w.lease
	if lapsed && !w.lapsed {
		w.lapses = append(w.lapses, now)
	}
	w.lapsed = lapsed
	for ref, r := range w.runs {
		switch {
		case w.runs[ref] != r:
		case lapsed:
			w.end(ref, r, jobs.EndLeaseExpired)
		case !r.stopAt.IsZero() && now.After(r.stopAt):
			w.end(ref, r, jobs.EndStopped)
		case r.gang > 0 && !w.c.gangPresent(ref, r):
			if now.Sub(r.started) > gangWait {
				w.end(ref, r, jobs.EndGangIncomplete)
			}
		case r.quits:
			if now.Sub(r.started) >= startup {
				w.end(ref, r, jobs.EndFailed)
			}
		case r.lasting:
		default:
			if r.left -= workTick; r.left > 0 {
				continue
			}
			if r.fails {
				w.end(ref, r, jobs.EndFailed)
			} else {
				w.done(ref, r)
			}
		}
	}
}

// done ends a run, and with it all members of its gang.
func (w *worker) done(ref jobs.TaskRef, r *taskRun) {
	if r.gang == 0 {
		w.list(ref, r, jobs.EndDone)
		return
	}
	for _, m := range w.c.members(ref, r) {
		m.w.list(m.ref, m.run, jobs.EndDone)
	}
}

func (w *worker) end(ref jobs.TaskRef, r *taskRun, kind jobs.EndKind) {
	w.list(ref, r, kind)
	w.breakGang(ref, r)
}

// breakGang ends the other members of a gang of which a member has ended.
func (w *worker) breakGang(ref jobs.TaskRef, r *taskRun) {
	if r.gang == 0 {
		return
	}
	for _, m := range w.c.members(ref, r) {
		if m.w != w || m.ref != ref {
			m.w.list(m.ref, m.run, jobs.EndGangAborted)
		}
	}
}

// list takes a run out of the running ones and puts its end into the list.
func (w *worker) list(ref jobs.TaskRef, r *taskRun, kind jobs.EndKind) {
	delete(w.runs, ref)
	w.highest[ref] = max(w.highest[ref], r.number)
	w.lastEnd++
	w.ends = append(w.ends, jobs.RunEnd{Seq: w.lastEnd, Task: ref, Run: r.number, Kind: kind})
	w.c.ended(w, ref, r.number, kind.String(), w.lastEnd)
	close(w.changed)
	w.changed = make(chan struct{})
}

// member is a member of a gang that is present on a worker.
type member struct {
	w   *worker
	ref jobs.TaskRef
	run *taskRun
}

// members returns the present members of the run of a gang.
func (c *cluster) members(ref jobs.TaskRef, r *taskRun) []member {
	var out []member
	for _, w := range c.workers {
		for other, run := range w.runs {
			if other.Job == ref.Job && other.Occurrence == ref.Occurrence && other.Step == ref.Step && run.number == r.number {
				out = append(out, member{w, other, run})
			}
		}
	}
	return out
}

func (c *cluster) gangPresent(ref jobs.TaskRef, r *taskRun) bool {
	return len(c.members(ref, r)) == r.gang
}
