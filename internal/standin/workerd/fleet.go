package workerd

import (
	"context"
	"fmt"
	"maps"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"catkinvalve/internal/adapters/jsonhttp"
	"catkinvalve/internal/core/model"
	"catkinvalve/internal/ports"
	"catkinvalve/internal/standin/harness"
	"catkinvalve/internal/standinapi"
)

// registerTimeout limits the registration of one worker with the instance list.
const registerTimeout = 5 * time.Second

// startCounts counts the task starts on all workers of a process. A simulated
// crash does not reset it.
type startCounts struct {
	mu             sync.Mutex
	startsByKey    map[string]map[string]int // key, then task ID
	runningByID    map[string]int            // task ID
	concurrentRuns int64
}

func (l *startCounts) started(key, id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.startsByKey[key] == nil {
		l.startsByKey[key] = map[string]int{}
	}
	l.startsByKey[key][id]++
	if l.runningByID[id] > 0 {
		l.concurrentRuns++
	}
	l.runningByID[id]++
}

func (l *startCounts) ended(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.runningByID[id]--; l.runningByID[id] == 0 {
		delete(l.runningByID, id)
	}
}

// FleetConfig configures the workers of a process.
type FleetConfig struct {
	Config
	ID         string
	DataCentre model.DataCentre
	Region     string
	// Rack is the rack of the worker or, if Count is above 1, the prefix of the
	// rack names. RackSize is the number of workers in a rack.
	Rack     string
	RackSize int
	Count    int
	// Listen is the IP:PORT address of the first worker. The others use the
	// subsequent ports. With port 0 all of them use free ports.
	Listen string
	// ListAdminURL is the URL of the instance list's admin port. If it is empty,
	// the workers are not registered.
	ListAdminURL string
}

// Fleet is a set of workers in one process.
type Fleet struct {
	startCounts *startCounts
	workers     map[model.WorkerID]*Worker
	servers     []*harness.Server
}

// NewFleet starts the workers and registers them with the instance list. On an
// error it stops those that were started.
func NewFleet(ctx context.Context, cfg FleetConfig) (*Fleet, error) {
	host, portText, err := net.SplitHostPort(cfg.Listen)
	if err != nil {
		return nil, err
	}
	port, err := strconv.Atoi(portText)
	if err != nil {
		return nil, fmt.Errorf("port %q of the listen address is not a number", portText)
	}
	f := &Fleet{
		startCounts: &startCounts{startsByKey: map[string]map[string]int{}, runningByID: map[string]int{}},
		workers:     map[model.WorkerID]*Worker{},
	}
	client, err := jsonhttp.New(jsonhttp.Options{})
	if err != nil {
		return nil, err
	}
	defer client.Close()
	for i := range max(1, cfg.Count) {
		p := port
		if port != 0 {
			p += i
		}
		if err := f.addWorker(ctx, client, cfg, i, net.JoinHostPort(host, strconv.Itoa(p))); err != nil {
			f.Close()
			return nil, err
		}
	}
	return f, nil
}

func (f *Fleet) addWorker(ctx context.Context, client *jsonhttp.Client, cfg FleetConfig, i int, addr string) error {
	info := standinapi.WorkerInfo{ID: model.WorkerID(cfg.ID), DataCentre: cfg.DataCentre, Rack: cfg.Rack}
	if cfg.Count > 1 {
		info.ID = model.WorkerID(fmt.Sprintf("%s-%d", cfg.ID, i))
		info.Rack = fmt.Sprintf("%s-%d", cfg.Rack, i/max(1, cfg.RackSize))
	}
	w := newWorker(cfg.Config, info, f.startCounts)
	s, err := harness.Listen(addr, w.Handler())
	if err != nil {
		return err
	}
	w.mu.Lock()
	w.stats.Addr = s.Addr()
	w.mu.Unlock()
	f.workers[info.ID] = w
	f.servers = append(f.servers, s)
	if cfg.ListAdminURL == "" {
		return nil
	}
	return register(ctx, client, cfg.ListAdminURL, ports.Instance{
		ID: string(info.ID), Kind: ports.KindWorker, Addr: s.Addr(), DataCentre: info.DataCentre,
		Region: cfg.Region, Rack: info.Rack, State: ports.StateLive,
	})
}

// register adds an instance to the instance list.
func register(ctx context.Context, client *jsonhttp.Client, listAdmin string, in ports.Instance) error {
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	target := listAdmin + "/admin/instances/" + url.PathEscape(in.ID)
	if err := client.Do(ctx, http.MethodPut, target, in, nil); err != nil {
		return fmt.Errorf("register %s with the instance list: %w", in.ID, err)
	}
	return nil
}

// Addr returns the IP:PORT address of a worker, which must exist.
func (f *Fleet) Addr(id model.WorkerID) string { return f.workers[id].snapshot().Addr }

// Addrs returns the addresses of all workers.
func (f *Fleet) Addrs() map[model.WorkerID]string {
	out := map[model.WorkerID]string{}
	for id := range f.workers {
		out[id] = f.Addr(id)
	}
	return out
}

// Admin returns the admin API of all workers.
func (f *Fleet) Admin() http.Handler {
	return harness.Admin(f.ApplyFault, func() any { return f.Stats() }, f.reset)
}

// ApplyFault changes the faults of one worker or, if none is named, of all
// workers. It returns an error if the worker does not exist.
func (f *Fleet) ApplyFault(in standinapi.WorkerFault) error {
	if in.Worker == "" {
		for _, w := range f.workers {
			if err := w.applyFault(in); err != nil {
				return err
			}
		}
		return nil
	}
	w := f.workers[in.Worker]
	if w == nil {
		return fmt.Errorf("worker %q is not in this process", in.Worker)
	}
	return w.applyFault(in)
}

func (w *Worker) applyFault(in standinapi.WorkerFault) error {
	if err := w.faults.ApplyFault(in.CommonFault); err != nil {
		return err
	}
	w.mu.Lock()
	setIfPresent(&w.failAll, in.FailAll)
	setIfPresent(&w.duplicateEvents, in.DuplicateEvents)
	setIfPresent(&w.reorderEvents, in.ReorderEvents)
	w.mu.Unlock()
	if in.Crash {
		w.crash()
	}
	return nil
}

func setIfPresent(target, value *bool) {
	if value != nil {
		*target = *value
	}
}

// Stats returns the counters of all workers.
func (f *Fleet) Stats() standinapi.FleetStats {
	out := standinapi.FleetStats{
		Workers: map[model.WorkerID]standinapi.WorkerStats{}, StartsPerKey: map[string]map[string]int{},
	}
	for id, w := range f.workers {
		out.Workers[id] = w.snapshot()
	}
	f.startCounts.mu.Lock()
	defer f.startCounts.mu.Unlock()
	for key, byTask := range f.startCounts.startsByKey {
		out.StartsPerKey[key] = maps.Clone(byTask)
	}
	out.ConcurrentRuns = f.startCounts.concurrentRuns
	return out
}

// reset ends all faults and resets the counters. Running tasks continue.
func (f *Fleet) reset() {
	for _, w := range f.workers {
		w.resetStats()
	}
	f.startCounts.mu.Lock()
	defer f.startCounts.mu.Unlock()
	clear(f.startCounts.startsByKey)
	f.startCounts.concurrentRuns = 0
}

// Close stops the servers and the timers of all workers.
func (f *Fleet) Close() {
	var wg sync.WaitGroup
	for _, s := range f.servers {
		wg.Go(s.Close)
	}
	wg.Wait()
	for _, w := range f.workers {
		w.close()
	}
}
