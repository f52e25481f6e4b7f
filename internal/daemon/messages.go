package daemon

import (
	"time"

	"catkinvalve/internal/core/election"
	"catkinvalve/internal/core/model"
	"catkinvalve/internal/fault"
)

// submitMsg submits a request to the core. Like every reply channel of a
// message, reply has capacity 1, so that the owner loop never blocks on it.
type submitMsg struct {
	req model.Request
	// home and term are set only when another data centre delegates the request:
	// its name and the term of its owner.
	home  model.DataCentre
	term  uint64
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
	l.reply(m.req.Key, false, rec, err, m.reply)
}

func errDraining() *fault.Error {
	return fault.New(fault.Draining, "retry with the same key at another daemon", "the daemon is shutting down")
}

// reply answers a call, or registers it as a waiter when wait is set and the
// fate of the key is not final.
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

// fateMsg asks for the fate of a key. With wait set, the reply comes when the
// fate is final.
type fateMsg struct {
	key  string
	wait bool
	// minRevision is the configuration revision that must be active here for the
	// call to be answered.
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

// removeWaiterMsg removes a waiting call that ended before the fate of its key
// was final.
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

// cancelMsg cancels a request.
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

// queryMsg runs fn on the owner loop and then closes done.
type queryMsg struct {
	fn   func(l *ownerLoop, now time.Time)
	done chan struct{}
}

func (m queryMsg) handle(l *ownerLoop, now time.Time) {
	m.fn(l, now)
	close(m.done)
}

// drainMsg marks the daemon as draining, which makes it report not ready.
type drainMsg struct{}

func (drainMsg) handle(l *ownerLoop, _ time.Time) { l.draining = true }

// resignMsg gives up ownership during a graceful shutdown and then closes done.
type resignMsg struct{ done chan struct{} }

func (m resignMsg) handle(l *ownerLoop, now time.Time) {
	l.draining, l.resigned = true, true
	if l.election.Role() != election.Standby {
		l.election.Resign(now)
		l.stepDown()
	}
	close(m.done)
}
