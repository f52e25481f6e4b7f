package election

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"catkinvalve/internal/core/lease"
	"catkinvalve/internal/core/model"
	_ "catkinvalve/internal/propseed"
)

// fakeWorker grants its lease by its own clock, which runs up to 5% faster or
// slower than the clock of the daemons.
type fakeWorker struct {
	id        model.WorkerID
	clockRate float64 // speed of the clock relative to real time
	holder    int
	term      uint64
	expiresAt time.Time // by the worker's clock
}

func (w *fakeWorker) localTime(now time.Time) time.Time {
	return epoch.Add(time.Duration(float64(now.Sub(epoch)) * w.clockRate))
}

// acquire grants or renews the lease and reports whether it did. It returns the
// term in force.
func (w *fakeWorker) acquire(now time.Time, holder int, term uint64) (uint64, bool) {
	at := w.localTime(now)
	same := w.holder == holder
	if (at.Before(w.expiresAt) && !same) || term < w.term || (!same && term == w.term) {
		return w.term, false
	}
	w.holder, w.term, w.expiresAt = holder, term, at.Add(ttl)
	return term, true
}

func (w *fakeWorker) renew(now time.Time, holder int, term uint64) bool {
	at := w.localTime(now)
	if w.holder != holder || w.term != term || !at.Before(w.expiresAt) {
		return false
	}
	w.expiresAt = at.Add(ttl)
	return true
}

// message is a lease request in transit to a worker, or its response in transit
// to the daemon.
type message struct {
	daemon  int
	worker  *fakeWorker
	term    uint64
	sentAt  time.Time
	renewal bool
	// answered, granted and termInForce are set once the worker handled the request.
	answered, granted bool
	termInForce       uint64
}

// daemon combines lease table and election as the daemon's main loop does.
type daemon struct {
	election *Election
	leases   *lease.Table
	maxTerm  uint64
}

// fleet simulates two daemons, their workers and the messages between them.
type fleet struct {
	t        *rapid.T
	now      time.Time
	daemons  [2]*daemon
	workers  []*fakeWorker
	messages []message
	// highestServedTerm is the highest term in which a daemon has served as owner.
	highestServedTerm uint64
}

func newFleet(t *rapid.T) *fleet {
	f := &fleet{t: t, now: epoch}
	var ids []model.WorkerID
	for i := range rapid.IntRange(1, 5).Draw(t, "workers") {
		id := model.WorkerID(fmt.Sprint("w", i))
		ids = append(ids, id)
		clockRate := float64(rapid.IntRange(95, 105).Draw(t, "clock rate in percent")) / 100
		f.workers = append(f.workers, &fakeWorker{id: id, clockRate: clockRate, holder: -1})
	}
	for i := range f.daemons {
		f.daemons[i] = &daemon{election: New(ttl), leases: lease.New(ttl)}
		f.daemons[i].leases.SetWorkerList(ids)
	}
	return f
}

func (f *fleet) send(i int, renewal bool) {
	for _, w := range f.workers {
		f.messages = append(f.messages, message{
			daemon: i, worker: w, term: f.daemons[i].election.Term(), sentAt: f.now, renewal: renewal,
		})
	}
}

// tick runs the election of a random daemon once. A daemon that is not ticked
// behaves like a paused process.
func (f *fleet) tick() {
	i := rapid.IntRange(0, 1).Draw(f.t, "daemon")
	d := f.daemons[i]
	d.leases.RemoveExpired(f.now)
	switch d.election.Tick(Input{
		Now: f.now, Ready: true, ShouldCampaign: true, MaxTerm: d.maxTerm,
		HoldsMajority: d.leases.HoldsMajority(f.now), HoldsAll: d.leases.HoldsAll(f.now), RecordsLoaded: true,
	}) {
	case StartCampaign:
		d.leases.RemoveAll()
		f.send(i, false)
	case StartServing:
		if d.election.Term() <= f.highestServedTerm {
			f.t.Fatalf("daemon %d serves with term %d after term %d", i, d.election.Term(), f.highestServedTerm)
		}
		f.highestServedTerm = d.election.Term()
	case StepDown:
		d.leases.RemoveAll()
	}
}

func (f *fleet) renew() {
	i := rapid.IntRange(0, 1).Draw(f.t, "daemon")
	if f.daemons[i].election.Role() != Standby {
		f.send(i, true)
	}
}

// deliver delivers a random request to its worker, or a random response to its
// daemon, so messages may overtake each other.
func (f *fleet) deliver() {
	if len(f.messages) == 0 {
		f.t.Skip("no message")
	}
	n := rapid.IntRange(0, len(f.messages)-1).Draw(f.t, "message")
	m := f.messages[n]
	if !m.answered {
		m.answered, m.termInForce = true, m.term
		if m.renewal {
			m.granted = m.worker.renew(f.now, m.daemon, m.term)
		} else {
			m.termInForce, m.granted = m.worker.acquire(f.now, m.daemon, m.term)
		}
		f.messages[n] = m
		return
	}
	f.messages = append(f.messages[:n], f.messages[n+1:]...)
	d := f.daemons[m.daemon]
	switch {
	case !m.granted && !m.renewal:
		d.maxTerm = max(d.maxTerm, m.termInForce)
	case !m.granted:
		d.leases.RemoveTerm(m.worker.id, m.term)
	case m.renewal:
		d.leases.RecordRenewal(m.worker.id, m.term, m.sentAt)
	case d.election.Role() != Standby && m.term >= d.election.Term():
		d.leases.RecordGrant(m.worker.id, m.term, m.sentAt)
	}
}

// checkSingleMajority fails the test if both daemons hold a majority at once. It
// must hold at any time, also while a daemon is not ticked.
func (f *fleet) checkSingleMajority() {
	if f.daemons[0].leases.HoldsMajority(f.now) && f.daemons[1].leases.HoldsMajority(f.now) {
		f.t.Fatal("both daemons hold the majority")
	}
}

// There must never be two owners at a time, nor an owner that serves in a term
// not above all terms served before, which replicas and workers would refuse.
func TestOneOwnerAtATime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(t)
		step := func(fn func()) func(*rapid.T) { return func(*rapid.T) { fn() } }
		t.Repeat(map[string]func(*rapid.T){
			"tick": step(f.tick), "tick2": step(f.tick), "renew": step(f.renew),
			"move": step(f.deliver), "move2": step(f.deliver), "move3": step(f.deliver),
			"wait": step(func() {
				f.now = f.now.Add(time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms")) * time.Millisecond)
			}),
			"": step(f.checkSingleMajority),
		})
	})
}

// The simulation must elect owners at all, or TestOneOwnerAtATime would prove
// nothing.
func TestFleetElectsOwners(t *testing.T) {
	owners := 0
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(t)
		for range 100 {
			f.tick()
			for len(f.messages) > 0 {
				f.deliver()
			}
			f.now = f.now.Add(20 * time.Millisecond)
		}
		if f.highestServedTerm > 0 {
			owners++
		}
	})
	if owners < 10 {
		t.Fatalf("only %d runs elected an owner, want at least 10", owners)
	}
}
