package daemon

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/sourcegraph/conc"

	"catkinvalve/internal/adapters/peerrpc"
	"catkinvalve/internal/api"
	"catkinvalve/internal/core/model"
	"catkinvalve/internal/core/scheduler"
	"catkinvalve/internal/fault"
	"catkinvalve/internal/peerpb"
)

// queryLoop runs fn on the owner loop and waits for it. After an error fn may still
// run later, so the caller must not read what it writes.
func (d *Daemon) queryLoop(ctx context.Context, fn func(l *ownerLoop, now time.Time)) error {
	done := make(chan struct{})
	if !d.requests.TryPush(queryMsg{fn, done}) {
		return errOverloaded()
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return fault.New(fault.Overloaded, "retry later", "the daemon did not answer in time")
	case <-d.ctx.Done():
		return errDraining()
	}
}

// localExplain explains why a request waits, as this daemon's core sees it.
func (d *Daemon) localExplain(ctx context.Context, key string) (scheduler.Explanation, error) {
	var x scheduler.Explanation
	var explainErr *fault.Error
	if err := d.queryLoop(ctx, func(l *ownerLoop, _ time.Time) { x, explainErr = l.core.Explain(key) }); err != nil {
		return scheduler.Explanation{}, err
	}
	if explainErr != nil {
		return x, explainErr
	}
	return x, nil
}

// Explain implements httpapi.Service. It explains why a request waits.
func (d *Daemon) Explain(ctx context.Context, key string) (api.Explanation, error) {
	home, err := d.home(key)
	if err != nil {
		return api.Explanation{}, err
	}
	s := d.state.Load()
	if home == d.set.DataCentre && s.serving {
		x, err := d.localExplain(ctx, key)
		return api.Explanation{Key: key, Fate: x.Fate, Summary: x.Summary, Counts: x.Counts}, err
	}
	var out api.Explanation
	err = d.callFirstAvailable(ctx, home, func(ctx context.Context, to peerrpc.Target) error {
		resp, err := d.peers.Explain(ctx, to, &peerpb.ExplainRequest{Key: key})
		if err != nil {
			return err
		}
		out = api.Explanation{Key: key, Fate: model.Fate(resp.Fate), Summary: resp.Summary, Counts: model.Counts{}}
		for _, c := range resp.Counts {
			out.Counts[model.Reason(c.Reason)] = int(c.Count)
		}
		return nil
	})
	return out, err
}

// callFirstAvailable calls the daemons of a data centre in turn, until one answers
// or a call fails in a way that another daemon would not change.
func (d *Daemon) callFirstAvailable(ctx context.Context, dc model.DataCentre, fn func(context.Context, peerrpc.Target) error) error {
	var last error = fault.New(fault.NoOwner, "retry later", "data centre %s has no known owner", dc)
	for _, p := range d.ownerCandidates(d.state.Load(), dc) {
		callCtx, cancel := context.WithTimeout(ctx, forwardTimeout)
		err := fn(callCtx, target(p))
		cancel()
		if err == nil || !(peerrpc.NotSent(err) || retryable(err)) {
			return err
		}
		last = fault.Wrap(err, fault.HomeUnreachable, "retry later", "data centre %s did not answer", dc)
	}
	return last
}

// localDrain drains a worker if this daemon is the owner. It returns the number of
// tasks that run there, and whether this data centre has the worker.
func (d *Daemon) localDrain(ctx context.Context, worker string) (running int, found bool, err error) {
	var serving bool
	err = d.queryLoop(ctx, func(l *ownerLoop, now time.Time) {
		serving = l.core.Serving()
		running, found = l.core.Drain(now, model.WorkerID(worker))
	})
	if err != nil {
		return 0, false, err
	}
	if !serving {
		err = fault.New(fault.NoOwner, "retry at another daemon", "this daemon does not own data centre %s", d.set.DataCentre)
	}
	return running, found, err
}

// Drain implements httpapi.Service. It asks each data centre in turn for the worker.
// One that cannot be reached is treated as not having it.
func (d *Daemon) Drain(ctx context.Context, worker string) (api.DrainResult, error) {
	if d.state.Load().serving {
		if n, found, err := d.localDrain(ctx, worker); err == nil && found {
			return api.DrainResult{Worker: model.WorkerID(worker), Running: n}, nil
		}
	}
	for _, dc := range d.dataCentres() {
		var resp *peerpb.DrainResponse
		err := d.callFirstAvailable(ctx, dc, func(ctx context.Context, to peerrpc.Target) (err error) {
			resp, err = d.peers.Drain(ctx, to, &peerpb.DrainRequest{Worker: worker})
			return err
		})
		if err == nil && resp.Found {
			return api.DrainResult{Worker: model.WorkerID(worker), Running: int(resp.Running)}, nil
		}
	}
	return api.DrainResult{}, fault.New(fault.NotFound, "check the name with catkinvalve status", "no reachable data centre has worker %q", worker)
}

// dataCentres lists the configured data centres, or only the own one while no
// configuration is active.
func (d *Daemon) dataCentres() []model.DataCentre {
	cfg, _ := d.config.active()
	if cfg == nil {
		return []model.DataCentre{d.set.DataCentre}
	}
	return dataCentreNames(cfg)
}

// localStatus returns the status of this data centre as this daemon sees it.
func (d *Daemon) localStatus(ctx context.Context) (api.DataCentreStatus, error) {
	out := api.DataCentreStatus{DataCentre: d.set.DataCentre, Region: d.set.Region, Reachable: true}
	if err := d.queryLoop(ctx, func(l *ownerLoop, now time.Time) { l.fillStatus(&out, now) }); err != nil {
		return api.DataCentreStatus{}, err
	}
	return out, nil
}

// fillStatus adds the daemons to out and, on the owner, the workers and queues.
func (l *ownerLoop) fillStatus(out *api.DataCentreStatus, now time.Time) {
	serving := l.core.Serving()
	out.Daemons = append(out.Daemons, api.DaemonStatus{
		ID: l.set.DaemonID, Ready: l.ready(), Draining: l.draining, Owner: serving, Revision: l.revision, Reachable: true,
	})
	for _, p := range l.members.Peers() {
		if p.DataCentre != l.set.DataCentre {
			continue
		}
		alive := l.members.Alive(now, p.ID)
		out.Daemons = append(out.Daemons, api.DaemonStatus{
			ID: p.ID, Ready: p.Ready, Draining: p.Draining, Owner: alive && p.Term > 0 && !serving, Revision: p.Revision, Reachable: alive,
		})
	}
	slices.SortFunc(out.Daemons, func(a, b api.DaemonStatus) int { return strings.Compare(a.ID, b.ID) })
	if !serving {
		return
	}
	out.Owner, out.Term, out.InDoubt, out.Running = l.set.DaemonID, l.election.Term(), l.core.InDoubt(), l.core.AssignedTaskCount()
	for _, w := range l.core.Workers(now) {
		out.Workers = append(out.Workers, api.WorkerStatus{
			ID: w.Worker.ID, Rack: w.Worker.Rack, State: w.State, Capacity: w.Worker.Capacity, Planned: w.Reserved, Tasks: w.Tasks,
		})
	}
	for _, q := range l.core.Waiting() {
		out.Queues = append(out.Queues, api.QueueStatus{Team: q.Team, Class: q.Class, Waiting: q.Items, Reasons: l.core.WaitReasons(q)})
	}
}

// Status implements httpapi.Service. Data centres that do not answer within
// statusTimeout are reported as unreachable.
func (d *Daemon) Status(ctx context.Context) (api.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	dcs := d.dataCentres()
	out := api.Status{DataCentres: make([]api.DataCentreStatus, len(dcs))}
	var wg conc.WaitGroup
	for i, dc := range dcs {
		wg.Go(func() { out.DataCentres[i] = d.dataCentreStatus(ctx, dc) })
	}
	wg.Wait()
	return out, nil
}

// statusTimeout bounds a status report. All data centres are asked concurrently,
// so that one that does not answer takes no time from the others.
const statusTimeout = 1500 * time.Millisecond

// dataCentreStatus returns the status that the owner of a data centre reports. For
// the own data centre it falls back to the view of this daemon.
func (d *Daemon) dataCentreStatus(ctx context.Context, dc model.DataCentre) api.DataCentreStatus {
	if dc == d.set.DataCentre && d.state.Load().serving {
		if s, err := d.localStatus(ctx); err == nil {
			return s
		}
	}
	var s api.DataCentreStatus
	err := d.callFirstAvailable(ctx, dc, func(ctx context.Context, to peerrpc.Target) error {
		resp, err := d.peers.Status(ctx, to, &peerpb.StatusRequest{})
		if err != nil {
			return err
		}
		return json.Unmarshal(resp.Status, &s)
	})
	if err == nil {
		return s
	}
	if dc == d.set.DataCentre {
		// The time may be used up because the owner did not answer, so the query of
		// the own view gets its own timeout.
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), statusTimeout)
		defer cancel()
		if s, err := d.localStatus(ctx); err == nil {
			return s
		}
	}
	return api.DataCentreStatus{DataCentre: dc}
}
