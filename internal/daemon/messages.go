package daemon

import (
	"time"

	"catkinvalve/internal/core/election"
	"catkinvalve/internal/core/model"
	"catkinvalve/internal/fault"
)

// submitMsg asks the core to accept a request. The reply has capacity 1.
type submitMsg struct {
	req model.Request
	// home and term are set for a request that another data centre delegates.
	home  model.DataCentre
	term  uint64
	wait  bool
	reply chan recordReply
}

func (m submitMsg) handle(l *ownerLoop, now time.Time) {
	var rec model.Record
	var err *fault.Error
	switch {
	case l.resigned:
		err = errDraining()
	case m.home != "":
		rec, err = l.core.SubmitDelegated(now, m.home, m.term, m.req)
	default:
		rec, err = l.core.Submit(now, m.req)
	}
	l.reply(m.req.Key, m.wait, rec, err, m.reply)
}

func errDraining() *fault.Error {
	return fault.New(fault.Draining, "retry with the same key at another daemon", "the daemon is shutting down")
}

// reply answers a call now, or keeps it until the key settles.
func (l *ownerLoop) reply(key string, wait bool, rec model.Record, err *fault.Error, ch chan recordReply) {
	if err != nil {
		ch <- recordReply{fault: err}
		return
	}
	if wait && !rec.Fate.Terminal() {
		l.waiters[key] = append(l.waiters[key], ch)
		return
	}
	ch <- recordReply{rec: rec}
}

// fateMsg asks for the fate of a key.
type fateMsg struct {
	key  string
	wait bool
	// minRevision makes the daemon refuse to answer with an older text in force.
	minRevision uint64
	reply       chan recordReply
}

func (m fateMsg) handle(l *ownerLoop, _ time.Time) {
	if l.revision < m.minRevision {
		m.reply <- recordReply{fault: fault.New(fault.NoOwner, "retry with the same key", "revision %d is not in force here yet", m.minRevision)}
		return
	}
	rec, err := l.core.Fate(m.key)
	l.reply(m.key, m.wait, rec, err, m.reply)
}

// forgetWaiter removes a call that ended before its key settled.
type removeWaiterMsg struct {
	key   string
	reply chan recordReply
}

func (m removeWaiterMsg) handle(l *ownerLoop, _ time.Time) {
	list := l.waiters[m.key]
	for i, w := range list {
		if w == m.reply {
			l.waiters[m.key] = append(list[:i], list[i+1:]...)
			break
		}
	}
	if len(l.waiters[m.key]) == 0 {
		delete(l.waiters, m.key)
	}
}

// cancelMsg withdraws a request.
type cancelMsg struct {
	key   string
	reply chan recordReply
}

func (m cancelMsg) handle(l *ownerLoop, now time.Time) {
	rec, err := l.core.Cancel(now, m.key)
	if err != nil {
		m.reply <- recordReply{fault: fault.From(err)}
		return
	}
	m.reply <- recordReply{rec: rec}
}

// queryMsg runs a read-only function on the loop.
type queryMsg struct {
	fn   func(l *ownerLoop, now time.Time)
	done chan struct{}
}

func (m queryMsg) handle(l *ownerLoop, now time.Time) {
	m.fn(l, now)
	close(m.done)
}

// drainMsg begins the shutdown of this daemon.
type drainMsg struct{}

func (drainMsg) handle(l *ownerLoop, _ time.Time) { l.draining = true }

// resignMsg gives up ownership at the end of a graceful shutdown.
type resignMsg struct{ done chan struct{} }

func (m resignMsg) handle(l *ownerLoop, now time.Time) {
	l.draining, l.resigned = true, true
	if l.election.Role() != election.Standby {
		l.election.Resign(now)
		l.stepDown()
	}
	close(m.done)
}
