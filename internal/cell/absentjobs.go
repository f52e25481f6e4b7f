package cell

import (
	"slices"
	"time"
)

// absentJobReply is the reply to a call about a job that the leader does not know. It waits until
// the store confirms that this daemon led when the call had arrived: a leader that was paused does
// not know yet that another one has accepted the job.
type absentJobReply struct {
	origin     callOrigin
	receivedAt time.Time
}

// absentJobs holds the replies that wait, in the order of the calls.
type absentJobs struct {
	waiting []absentJobReply
	// unconfirmed is set while no append has been passed to the journal since the last of them
	// arrived.
	unconfirmed bool
}

// replyNoJob answers that a job does not exist, once the leadership is confirmed.
func (l *leader) replyNoJob(origin callOrigin, receivedAt time.Time) {
	if l.confirmation.confirmedAt.After(receivedAt) {
		l.reply(origin, Reply{Verdict: VerdictNoJob})
		return
	}
	l.absent.waiting = append(l.absent.waiting, absentJobReply{origin, receivedAt})
	l.absent.unconfirmed = true
}

// confirm records that the store confirmed the leadership by a call that was sent at the given time,
// and sends the replies that waited for it.
func (l *leader) confirm(sentAt time.Time) {
	l.confirmation.confirm(sentAt)
	l.replyConfirmed()
}

// replyConfirmed answers the calls that had arrived before the last confirmation was requested.
func (l *leader) replyConfirmed() {
	l.absent.waiting = slices.DeleteFunc(l.absent.waiting, func(a absentJobReply) bool {
		confirmed := l.confirmation.confirmedAt.After(a.receivedAt)
		if confirmed {
			l.reply(a.origin, Reply{Verdict: VerdictNoJob})
		}
		return confirmed
	})
}

// refuseUnconfirmed answers the calls that have waited for too long that the cell is not available.
func (l *leader) refuseUnconfirmed(now time.Time) {
	l.absent.waiting = slices.DeleteFunc(l.absent.waiting, func(a absentJobReply) bool {
		late := now.Sub(a.receivedAt) >= maxConfirmationWait
		if late {
			l.reply(a.origin, Reply{Verdict: VerdictUnavailable, Reason: "lead_not_confirmed", RetryAfter: noLeaderRetryAfter})
		}
		return late
	})
}

// returnUnconfirmed returns the calls that still wait when the leadership ends to the daemons that
// sent them, which pass them to the next leader.
func (l *leader) returnUnconfirmed() {
	for _, a := range l.absent.waiting {
		l.reply(a.origin, Reply{Verdict: verdictNotLeader})
	}
	l.absent.waiting = nil
}
