package soak

import (
	"context"
	"sync"
	"syscall"
	"time"

	"catkinvalve/internal/api"
	"catkinvalve/internal/core/model"
	"catkinvalve/internal/daemon"
	"catkinvalve/internal/ports"
	"catkinvalve/internal/standinapi"
	"catkinvalve/internal/testbed"
)

// cell is the cluster of a run and the faults that are in effect.
type cell struct {
	tb      *testbed.Cluster
	ids     []string
	clients []*api.Client

	// mu guards the processes and all that follows.
	mu sync.Mutex
	// lives counts the starts of each daemon. A restarted daemon keeps nothing.
	lives map[string]int
	// links counts the cuts from one data centre to another.
	links map[[2]string]int
	// noLog and noList count the cuts of daemons from the log and the list.
	noLog, noList map[string]int
	paused        map[string]bool
	crashed       map[model.WorkerID]bool
}

func startCell(ctx context.Context, bin, dir string) (*cell, error) {
	tb, err := testbed.Start(ctx, testbed.Options{
		Bin: bin, Dir: dir, DCs: shape, Capacity: capacity,
		LeaseTTL: leaseTTL, TaskGrace: taskGrace, UsageLag: usageLag,
	})
	if err != nil {
		return nil, err
	}
	c := &cell{
		tb: tb, ids: tb.Order, lives: map[string]int{}, links: map[[2]string]int{},
		noLog: map[string]int{}, noList: map[string]int{}, paused: map[string]bool{}, crashed: map[model.WorkerID]bool{},
	}
	for _, id := range c.ids {
		cl, err := tb.Client(id)
		if err != nil {
			_ = tb.Stop()
			return nil, err
		}
		c.clients = append(c.clients, cl)
	}
	return c, nil
}

// dcOf returns the daemons of a data centre.
func (c *cell) dcOf(dc string) []string {
	var out []string
	for _, id := range c.ids {
		if c.tb.Daemons[id].DataCentre == dc {
			out = append(out, id)
		}
	}
	return out
}

// pick returns the owner of a data centre or a standby, as the fault asks for.
func (c *cell) pick(ctx context.Context, f Fault) string {
	c.mu.Lock()
	owner, _ := c.tb.Owner(ctx, f.DC)
	c.mu.Unlock()
	localPeers := c.dcOf(f.DC)
	for _, id := range localPeers {
		if (id == owner) == ofOwner(f) {
			return id
		}
	}
	return localPeers[f.N%len(localPeers)]
}

func (c *cell) kill(ids ...string) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, id := range ids {
		if err := c.tb.Daemons[id].Kill(); err != nil {
			return err
		}
	}
	return nil
}

func (c *cell) restart(ctx context.Context, ids ...string) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, id := range ids {
		if c.tb.Daemons[id].Alive() {
			continue
		}
		if err := c.tb.Restart(id); err != nil {
			return err
		}
		c.lives[id]++
	}
	for _, id := range ids {
		if err := c.waitFaultPort(ctx, id); err != nil {
			return err
		}
	}
	return nil
}

// waitFaultPort applies the present cuts to a new process as soon as it listens.
func (c *cell) waitFaultPort(ctx context.Context, id string) error {
	if len(c.links) == 0 {
		return nil
	}
	return testbed.WaitFor(ctx, startLimit, "fault port of "+id, func() bool { return c.applyLinks(ctx, id) == nil })
}

func (c *cell) pause(id string, on bool) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	d := c.tb.Daemons[id]
	if !d.Alive() {
		return nil
	}
	c.paused[id] = on
	if on {
		return d.Signal(syscall.SIGSTOP)
	}
	return d.Signal(syscall.SIGCONT)
}

// life identifies the present process of a daemon.
func (c *cell) life(id string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lives[id]
}

// cut changes the number of cuts from one data centre to another.
func (c *cell) cut(ctx context.Context, from, to string, by int) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.links[[2]string{from, to}] += by
	var last error
	for _, id := range append(c.dcOf(from), c.dcOf(to)...) {
		// A paused daemon sends nothing, and the daemons at the other end
		// enforce the cut as well.
		if !c.tb.Daemons[id].Alive() || c.paused[id] {
			continue
		}
		if err := c.applyLinks(ctx, id); err != nil {
			last = err
		}
	}
	return last
}

// applyLinks sends a daemon all cuts that concern it. The caller holds mu.
func (c *cell) applyLinks(ctx context.Context, id string) error {
	own := c.tb.Daemons[id].DataCentre
	f := daemon.LinkFault{BlockOut: []string{}, BlockIn: []string{}}
	for link, n := range c.links {
		if n > 0 && link[0] == own {
			f.BlockOut = append(f.BlockOut, c.dcOf(link[1])...)
		}
		if n > 0 && link[1] == own {
			f.BlockIn = append(f.BlockIn, c.dcOf(link[0])...)
		}
	}
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	return c.tb.Fault(ctx, c.tb.Daemons[id].Fault, f)
}

// cutFrom changes the number of cuts of a daemon from the log or the list.
func (c *cell) cutFrom(ctx context.Context, addr string, cuts map[string]int, id string, by int) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	cuts[id] += by
	p := standinapi.Partition{}
	for d, n := range cuts {
		if n > 0 {
			p.Daemons = append(p.Daemons, d)
		}
	}
	return c.tb.Fault(ctx, addr, standinapi.CommonFault{Partition: &p})
}

// setState changes a worker's state in the instance list.
func (c *cell) setState(ctx context.Context, worker string, s ports.InstanceState) error {
	var list standinapi.InstancesReply
	if err := c.tb.Admin(ctx, "GET", c.tb.List.Listen, "/v1/instances", nil, &list); err != nil {
		return err
	}
	for _, in := range list.Instances {
		if in.ID == worker {
			in.State = s
			return c.tb.SetInstance(ctx, in)
		}
	}
	return nil
}

// heal ends all faults and restarts what is down.
func (c *cell) heal(ctx context.Context) error {
	off, none, zero := false, 0, int64(0)
	gate := standinapi.CommonFault{Outage: &off, DelayMS: &zero, LoseNextAnswers: &none, Partition: &standinapi.Partition{}}
	for _, addr := range []string{c.tb.Log.Admin, c.tb.List.Admin, c.tb.Old.Admin} {
		if err := c.tb.Fault(ctx, addr, gate); err != nil {
			return err
		}
	}
	if err := c.tb.Fault(ctx, c.tb.List.Admin, standinapi.ListFault{LagMS: &zero}); err != nil {
		return err
	}
	for _, dc := range shape {
		f := standinapi.WorkerFault{CommonFault: gate, FailAll: &off, DuplicateEvents: &off, ReorderEvents: &off}
		if err := c.tb.Fault(ctx, c.tb.Workers[dc.Name].Admin, f); err != nil {
			return err
		}
	}
	for _, id := range c.ids {
		if err := c.pause(id, false); err != nil {
			return err
		}
	}
	if err := c.restart(ctx, c.ids...); err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	clear(c.links)
	for _, id := range c.ids {
		if err := testbed.WaitFor(ctx, startLimit, "fault port of "+id, func() bool { return c.applyLinks(ctx, id) == nil }); err != nil {
			return err
		}
	}
	return nil
}

// shortly bounds one call to a daemon.
func shortly(ctx context.Context, wait time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, wait+callLimit)
}
