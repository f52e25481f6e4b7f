// Package listd implements a stand-in for the platform's instance list, which
// shows changes after a delay.
package listd

import (
	"cmp"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/julienschmidt/httprouter"

	"catkinvalve/internal/fault"
	"catkinvalve/internal/ports"
	"catkinvalve/internal/standin/harness"
	"catkinvalve/internal/standinapi"
)

// change adds or replaces an instance or, if instance is nil, removes it.
type change struct {
	requestedAt time.Time
	id          string
	instance    *ports.Instance
}

// List is an instance list that shows each change after a configurable lag.
type List struct {
	faults *harness.FaultInjector

	mu         sync.Mutex
	lag        time.Duration
	initialLag time.Duration
	visible    map[string]ports.Instance
	pending    []change
	version    int64
	reads      int64
}

// New returns an empty list with the given lag.
func New(lag time.Duration) *List {
	return &List{
		faults: harness.NewFaultInjector(fault.ListUnavailable, ""),
		lag:    lag, initialLag: lag, visible: map[string]ports.Instance{},
	}
}

// Handler returns the instance list API.
func (l *List) Handler() http.Handler {
	r := httprouter.New()
	r.GET("/v1/instances", l.faults.Wrap(func(*harness.Call) (int, any) { return http.StatusOK, l.read() }))
	return r
}

// Admin returns the admin API, which includes PUT and DELETE /admin/instances/:id.
func (l *List) Admin() http.Handler {
	r := harness.Admin(l.applyFault, func() any { return l.Stats() }, l.reset)
	r.PUT("/admin/instances/:id", harness.WithoutFaults(harness.DecodeJSON(func(c *harness.Call, in ports.Instance) (int, any) {
		in.ID = c.Params.ByName("id")
		if err := validateInstance(in); err != nil {
			return harness.ErrorReply(fault.New(fault.Malformed, "correct the instance", "%v", err))
		}
		l.Put(in)
		return http.StatusOK, struct{}{}
	})))
	r.DELETE("/admin/instances/:id", harness.WithoutFaults(func(c *harness.Call) (int, any) {
		l.Remove(c.Params.ByName("id"))
		return http.StatusOK, struct{}{}
	}))
	return r
}

func validateInstance(in ports.Instance) error {
	if in.Kind != ports.KindWorker && in.Kind != ports.KindDaemon {
		return fmt.Errorf("kind %q is neither worker nor daemon", in.Kind)
	}
	if in.State != ports.StateLive && in.State != ports.StateLeaving {
		return fmt.Errorf("state %q is neither live nor leaving", in.State)
	}
	return nil
}

// Put adds or replaces an instance. The change is visible after the lag.
func (l *List) Put(in ports.Instance) {
	l.addChange(change{requestedAt: time.Now(), id: in.ID, instance: &in})
}

// Remove removes an instance. The change is visible after the lag.
func (l *List) Remove(id string) { l.addChange(change{requestedAt: time.Now(), id: id}) }

func (l *List) addChange(c change) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pending = append(l.pending, c)
}

// applyDueChanges applies the pending changes that are at least as old as the
// lag. The caller holds mu.
func (l *List) applyDueChanges(now time.Time) {
	n := 0
	for ; n < len(l.pending) && !l.pending[n].requestedAt.Add(l.lag).After(now); n++ {
		if c := l.pending[n]; c.instance != nil {
			l.visible[c.id] = *c.instance
		} else {
			delete(l.visible, c.id)
		}
		l.version++
	}
	l.pending = slices.Delete(l.pending, 0, n)
}

func (l *List) read() standinapi.InstancesReply {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.applyDueChanges(time.Now())
	l.reads++
	out := standinapi.InstancesReply{Version: l.version, Instances: make([]ports.Instance, 0, len(l.visible))}
	for _, in := range l.visible {
		out.Instances = append(out.Instances, in)
	}
	slices.SortFunc(out.Instances, func(a, b ports.Instance) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

func (l *List) applyFault(f standinapi.ListFault) error {
	if err := l.faults.ApplyFault(f.CommonFault); err != nil {
		return err
	}
	if f.LagMS != nil {
		l.setLag(time.Duration(*f.LagMS) * time.Millisecond)
	}
	return nil
}

// setLag changes the lag. Changes that were due under the old lag are applied
// first, so that a visible change never becomes invisible again.
func (l *List) setLag(lag time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.applyDueChanges(time.Now())
	l.lag = lag
}

// Stats returns the counters.
func (l *List) Stats() standinapi.ListStats {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.applyDueChanges(time.Now())
	return standinapi.ListStats{Version: l.version, Pending: len(l.pending), Instances: len(l.visible), Reads: l.reads}
}

func (l *List) reset() {
	l.faults.Reset()
	l.setLag(l.initialLag)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reads = 0
}
