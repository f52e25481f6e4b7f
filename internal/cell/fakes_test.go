package cell

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"catkinvalve/internal/core/jobs"
	"catkinvalve/internal/core/model"
	"catkinvalve/internal/ports"
	"catkinvalve/internal/standin/cellstore"
)

// fakeStore is an in-memory metadata store with the documented behavior of the real
// one. Every daemon has its own fakeStoreClient.
type fakeStore struct {
	mu     sync.Mutex
	topics map[ports.Topic]*cellstore.Topic
	// appendDelay returns how long an append takes.
	appendDelay func(a ports.Append) time.Duration
	// fencedAppends lists the appends with a fence and records in the order in which
	// they were received.
	fencedAppends []*fencedAppend
}

// fencedAppend is an append of a leader.
type fencedAppend struct {
	fence      ports.Fence
	keys       []string
	start, end time.Time
}

func newFakeStore() *fakeStore {
	return &fakeStore{topics: map[ports.Topic]*cellstore.Topic{}, appendDelay: func(ports.Append) time.Duration { return 2 * time.Millisecond }}
}

func (s *fakeStore) topic(name ports.Topic) *cellstore.Topic {
	t := s.topics[name]
	if t == nil {
		t = cellstore.New()
		s.topics[name] = t
	}
	return t
}

func (s *fakeStore) append(a ports.Append) (int64, error) {
	entry := &fencedAppend{start: time.Now()}
	for _, r := range a.Records {
		entry.keys = append(entry.keys, r.Key)
	}
	s.mu.Lock()
	appendDelay := s.appendDelay(a)
	if a.Fence != nil && len(a.Records) > 0 {
		entry.fence = *a.Fence
		s.fencedAppends = append(s.fencedAppends, entry)
	}
	s.mu.Unlock()
	time.Sleep(appendDelay)
	s.mu.Lock()
	defer s.mu.Unlock()
	defer func() { entry.end = time.Now() }()
	return s.topic(a.Topic).Append(a)
}

// appends returns a copy of the appends of leaders so far.
func (s *fakeStore) appends() []fencedAppend {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []fencedAppend
	for _, a := range s.fencedAppends {
		out = append(out, *a)
	}
	return out
}

// fakeStoreClient is one daemon's client of the store.
type fakeStoreClient struct {
	store *fakeStore
	mu    sync.Mutex
	// refuse makes the store refuse all calls of this daemon.
	refuse bool
	// answersToLose is the number of next appends whose answers are lost.
	answersToLose int
}

func (c *fakeStoreClient) setRefuse(refuse bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refuse = refuse
}

func (c *fakeStoreClient) loseNextAnswers(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answersToLose = n
}

func (c *fakeStoreClient) refusal() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.refuse {
		return &ports.StoreError{Kind: ports.StoreUnavailable, Detail: "refused by the test"}
	}
	return nil
}

// Append implements ports.Store.
func (c *fakeStoreClient) Append(ctx context.Context, a ports.Append) (int64, error) {
	if err := c.refusal(); err != nil {
		return 0, err
	}
	offset, err := c.store.append(a)
	c.mu.Lock()
	lost := c.answersToLose > 0
	c.answersToLose = max(0, c.answersToLose-1)
	c.mu.Unlock()
	if lost {
		<-ctx.Done()
		return 0, &ports.StoreError{Kind: ports.StoreNoAnswer, Detail: "the test dropped the answer"}
	}
	return offset, err
}

// Newest implements ports.Store.
func (c *fakeStoreClient) Newest(_ context.Context, topic ports.Topic, after string) (ports.NewestPage, error) {
	if err := c.refusal(); err != nil {
		return ports.NewestPage{}, err
	}
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	return c.store.topic(topic).Newest(after, fakePageSize), nil
}

// fakePageSize is the page size of the store, small enough for several pages.
const fakePageSize = 50

// fakeConfig holds one configuration that never changes.
type fakeConfig struct{ config *ports.CellConfig }

// Latest implements ports.ConfigSource.
func (c fakeConfig) Latest(context.Context) (*ports.CellConfig, ports.ListCursor, error) {
	return c.config, 1, nil
}

// Changes implements ports.ConfigSource.
func (c fakeConfig) Changes(ctx context.Context, from ports.ListCursor, wait time.Duration) (*ports.CellConfig, ports.ListCursor, error) {
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
	return nil, from, ctx.Err()
}

// unavailableConfig is a configuration source whose calls are refused.
type unavailableConfig struct{}

// Latest implements ports.ConfigSource.
func (unavailableConfig) Latest(context.Context) (*ports.CellConfig, ports.ListCursor, error) {
	return nil, 0, &ports.StoreError{Kind: ports.StoreUnavailable, Detail: "refused by the test"}
}

// Changes implements ports.ConfigSource.
func (unavailableConfig) Changes(_ context.Context, from ports.ListCursor, _ time.Duration) (*ports.CellConfig, ports.ListCursor, error) {
	return nil, from, &ports.StoreError{Kind: ports.StoreUnavailable, Detail: "refused by the test"}
}

// fakeWorkers implements the workers of a cell and the worker list.
type fakeWorkers struct {
	mu      sync.Mutex
	workers map[model.WorkerID]*fakeWorker
	// doubleRuns lists the tasks that were started while they ran or after they were
	// done.
	doubleRuns []string
	// starts is the number of started runs.
	starts int
	// firstStartAt holds when the first run with each token was started.
	firstStartAt map[uint64]time.Time
	running      map[jobs.TaskRef]bool
	done         map[jobs.TaskRef]bool
}

type fakeWorker struct {
	clockStart time.Time
	token      uint64
	lastSeq    int64
	runs       map[jobs.TaskRef]int64
	// highestRun holds the highest run number that was stopped or ended here.
	highestRun map[jobs.TaskRef]int64
	ended      []jobs.RunEnd
}

// taskDuration is how long every task runs.
const taskDuration = 60 * time.Millisecond

func newFakeWorkers(ids ...model.WorkerID) *fakeWorkers {
	f := &fakeWorkers{workers: map[model.WorkerID]*fakeWorker{}, firstStartAt: map[uint64]time.Time{}, running: map[jobs.TaskRef]bool{}, done: map[jobs.TaskRef]bool{}}
	for _, id := range ids {
		f.workers[id] = &fakeWorker{clockStart: time.Now().Add(-time.Minute), runs: map[jobs.TaskRef]int64{}, highestRun: map[jobs.TaskRef]int64{}}
	}
	return f
}

// All implements ports.WorkerList.
func (f *fakeWorkers) All(context.Context) ([]ports.WorkerChange, ports.ListCursor, error) {
	var out []ports.WorkerChange
	for id := range f.workers {
		out = append(out, ports.WorkerChange{ID: id, WorkerEntry: &jobs.WorkerEntry{ID: id, Address: string(id), Service: "service", DataCentre: "dc", Incarnation: 1,
			Capacity: model.Size{MilliCPU: 16_000, MemMB: 32_000}}})
	}
	slices.SortFunc(out, func(a, b ports.WorkerChange) int { return cmp.Compare(a.ID, b.ID) })
	return out, 1, nil
}

// Changes implements ports.WorkerList.
func (f *fakeWorkers) Changes(_ context.Context, from ports.ListCursor) ([]ports.WorkerChange, ports.ListCursor, error) {
	return nil, from, nil
}

func (w *fakeWorker) clock() int64 { return time.Since(w.clockStart).Milliseconds() }

// RenewLease implements ports.WorkerClient.
func (f *fakeWorkers) RenewLease(ctx context.Context, token uint64, req jobs.SyncRequest) jobs.SyncResult {
	sent := time.Now()
	for {
		if r, answered := f.sync(token, &req); answered || time.Since(sent) >= req.Wait {
			r.SentAt = sent
			return r
		}
		select {
		case <-ctx.Done():
			return jobs.SyncResult{Worker: req.Worker, SentAt: sent, Status: jobs.CallNoAnswer}
		case <-time.After(5 * time.Millisecond):
		}
	}
}

// sync makes one check of a lease renewal. It returns true when the renewal must be
// answered immediately, because runs have ended or the token is outdated.
func (f *fakeWorkers) sync(token uint64, req *jobs.SyncRequest) (jobs.SyncResult, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.workers[req.Worker]
	if token < w.token {
		return jobs.SyncResult{Worker: req.Worker, Status: jobs.CallFenced}, true
	}
	w.token = token
	for len(w.ended) > 0 && w.ended[0].Seq <= req.AckCursor {
		w.ended = w.ended[1:]
	}
	r := jobs.SyncResult{Worker: req.Worker, Status: jobs.CallOK, ClockMs: w.clock(), Incarnation: 1, Ends: slices.Clone(w.ended)}
	for ref, run := range w.runs {
		r.Running = append(r.Running, jobs.RunReport{Task: ref, Run: run, Percent: 10})
	}
	return r, len(w.ended) > 0
}

// Start implements ports.WorkerClient.
func (f *fakeWorkers) Start(_ context.Context, token uint64, req jobs.StartRequest) jobs.StartResult {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.workers[req.Worker]
	r := jobs.StartResult{Worker: req.Worker, Task: req.Task, Run: req.Run, Status: jobs.CallOK, ClockMs: w.clock()}
	if token < w.token {
		r.Status = jobs.CallFenced
		return r
	}
	w.token = token
	if w.runs[req.Task] == req.Run {
		return r
	}
	switch {
	case req.Run <= w.highestRun[req.Task]:
		r.Status = jobs.CallStaleRun
		return r
	case req.LeaseDeadlineMs <= w.clock():
		r.Status = jobs.CallDeadlinePassed
		return r
	}
	if f.running[req.Task] || f.done[req.Task] {
		f.doubleRuns = append(f.doubleRuns, req.Task.String())
	}
	if f.firstStartAt[token].IsZero() {
		f.firstStartAt[token] = time.Now()
	}
	f.starts++
	f.running[req.Task], w.runs[req.Task] = true, req.Run
	time.AfterFunc(taskDuration, func() { f.end(w, req.Task, req.Run) })
	return r
}

func (f *fakeWorkers) end(w *fakeWorker, ref jobs.TaskRef, run int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.running, ref)
	delete(w.runs, ref)
	w.highestRun[ref] = max(w.highestRun[ref], run)
	f.done[ref] = true
	w.lastSeq++
	w.ended = append(w.ended, jobs.RunEnd{Seq: w.lastSeq, Task: ref, Run: run, Kind: jobs.EndDone})
}

// Pace implements ports.WorkerClient.
func (f *fakeWorkers) Pace(_ context.Context, _ uint64, req jobs.PaceRequest) jobs.PaceResult {
	return jobs.PaceResult{Worker: req.Worker, Task: req.Task, Run: req.Run, Percent: req.Percent, Status: jobs.CallOK}
}

// Stop implements ports.WorkerClient. It does not end runs, since the tasks are short, but
// refuses those that have not arrived yet.
func (f *fakeWorkers) Stop(_ context.Context, token uint64, req jobs.StopRequest) jobs.StopResult {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.workers[req.Worker]
	r := jobs.StopResult{Worker: req.Worker, Task: req.Task, Run: req.Run, Status: jobs.CallOK, ClockMs: w.clock()}
	if token < w.token {
		r.Status = jobs.CallFenced
		return r
	}
	w.token = token
	w.highestRun[req.Task] = max(w.highestRun[req.Task], req.Run)
	return r
}

// workerCalls is one daemon's client of the workers. It counts the calls and can delay
// them.
type workerCalls struct {
	*fakeWorkers
	mu sync.Mutex
	// syncs and starts count the calls.
	syncs, starts int
	// delay is how long starts and syncs wait before they reach the worker, whatever
	// happens to the caller.
	delay time.Duration
}

func (c *workerCalls) setDelay(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.delay = d
}

// counts returns the numbers of syncs and starts.
func (c *workerCalls) counts() (int, int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.syncs, c.starts
}

func (c *workerCalls) begin(counter *int) {
	c.mu.Lock()
	*counter++
	delay := c.delay
	c.mu.Unlock()
	time.Sleep(delay)
}

// RenewLease implements ports.WorkerClient.
func (c *workerCalls) RenewLease(ctx context.Context, token uint64, req jobs.SyncRequest) jobs.SyncResult {
	c.begin(&c.syncs)
	return c.fakeWorkers.RenewLease(ctx, token, req)
}

// Start implements ports.WorkerClient.
func (c *workerCalls) Start(ctx context.Context, token uint64, req jobs.StartRequest) jobs.StartResult {
	c.begin(&c.starts)
	return c.fakeWorkers.Start(ctx, token, req)
}
