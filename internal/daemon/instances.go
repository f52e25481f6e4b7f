package daemon

import (
	"context"
	"slices"
	"time"

	"catkinvalve/internal/adapters/peerrpc"
	"catkinvalve/internal/core/election"
	"catkinvalve/internal/core/model"
	"catkinvalve/internal/core/scheduler"
	"catkinvalve/internal/ports"
)

// listReapplyPolls is the number of polls after which an unchanged list is applied
// again: a worker that has left the list is removed only once its lease is lost,
// which may be later.
const listReapplyPolls = 3

// pollInstanceList polls the instance list until ctx ends. While the list service
// does not answer, the last list stays in use: leases, not the list, decide which
// daemon may start work.
func (d *Daemon) pollInstanceList(ctx context.Context) {
	ticker := time.NewTicker(d.set.Timings.ListPoll)
	defer ticker.Stop()
	var last []ports.Instance
	for unchanged := 0; ; unchanged++ {
		callCtx, cancel := context.WithTimeout(ctx, 5*d.set.Timings.ListPoll)
		list, err := d.list.Instances(callCtx)
		cancel()
		if err == nil {
			if unchanged >= listReapplyPolls || !slices.Equal(list, last) {
				unchanged, last = 0, list
				d.addressBook.replace(d.targetsFromList(list))
				d.sendControl(instanceListMsg{list})
			}
		} else {
			d.metrics.listErrors.Inc(1)
			d.log.WithError(err).Debug("instance list service did not answer")
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// targetsFromList returns the addresses of the configured seeds and of the other
// daemons in the list.
func (d *Daemon) targetsFromList(list []ports.Instance) []peerTarget {
	var out []peerTarget
	for _, s := range d.set.Seeds {
		out = append(out, peerTarget{Target: peerrpc.Target{Addr: s.Address}, dataCentre: s.DataCentre})
	}
	for _, i := range list {
		if i.Kind == ports.KindDaemon && i.ID != d.set.DaemonID {
			out = append(out, peerTarget{peerrpc.Target{ID: i.ID, Addr: i.Addr, Region: i.Region}, i.DataCentre})
		}
	}
	return out
}

// applyInstanceList updates peers, agents, leases and the core from a new list. A
// peer is removed only if it also sends no heartbeats.
func (l *ownerLoop) applyInstanceList(now time.Time, list []ports.Instance) {
	l.listLoaded = true
	listed := map[model.WorkerID]ports.Instance{}
	daemons := map[string]bool{}
	var workers []scheduler.ListedWorker
	var ids []model.WorkerID
	for _, i := range list {
		switch {
		case i.Kind == ports.KindDaemon:
			daemons[i.ID] = true
		case i.DataCentre == l.set.DataCentre:
			id := model.WorkerID(i.ID)
			listed[id] = i
			ids = append(ids, id)
			workers = append(workers, scheduler.ListedWorker{
				Worker:  model.Worker{ID: id, DataCentre: i.DataCentre, Rack: i.Rack},
				Leaving: i.State == ports.StateLeaving,
			})
		}
	}
	for _, p := range l.members.Peers() {
		if !daemons[p.ID] && !l.members.Alive(now, p.ID) {
			l.members.RemovePeer(p.ID)
		}
	}
	l.reconcileAgents(now, listed)
	l.leases.SetWorkerList(ids)
	l.core.SetWorkerList(now, workers)
}

// reconcileAgents starts agents for new workers and stops those of workers that
// have left the list and whose lease is not held any more. A worker that still
// renews its lease is alive, whatever the list says. A worker with a new address
// gets a new agent.
func (l *ownerLoop) reconcileAgents(now time.Time, listed map[model.WorkerID]ports.Instance) {
	for id, inst := range listed {
		if old, ok := l.listed[id]; ok && old.Addr != inst.Addr {
			l.removeAgent(now, id)
		}
		if l.agents[id] == nil {
			a := newAgent(l.d, id, l.d.dialer.Worker(inst.Addr))
			l.agents[id] = a
			if l.election.Role() != election.Standby {
				a.campaign(l.election.Term())
				if l.core.Serving() {
					a.allowTermRaise()
				}
			}
		}
	}
	for id := range l.agents {
		if _, ok := listed[id]; !ok && !l.leases.Held(now, id) {
			l.removeAgent(now, id)
		}
	}
	l.listed = listed
}

// removeAgent stops the agent of a worker and treats its lease as lost.
func (l *ownerLoop) removeAgent(now time.Time, id model.WorkerID) {
	if a := l.agents[id]; a != nil {
		a.stop()
		delete(l.agents, id)
	}
	l.leases.Remove(id)
	l.core.HandleLeaseLost(now, id)
}
