package cell

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"catkinvalve/internal/cellpb"
	"catkinvalve/internal/core/voters"
	"catkinvalve/internal/ports"
)

const (
	// voterPrefix begins the keys of the voters' records in the jobs topic. Each holds the token of
	// the term in which the daemon votes.
	voterPrefix = "v:"
	// voterAbsence is how long a voter may send no report before it does not vote any more. It is
	// longer than a daemon takes to restart.
	voterAbsence = 5 * time.Second
	// voterCheckInterval is how often the leader checks which daemons vote.
	voterCheckInterval = 500 * time.Millisecond
)

// decodeVoter adds the record of a voter to the state.
func (s *storedState) decodeVoter(name string, value []byte) error {
	p := &cellpb.Lead{}
	if err := proto.Unmarshal(value, p); err != nil {
		return err
	}
	if s.votersByToken == nil {
		s.votersByToken = map[uint64]voters.Set{}
	}
	if s.votersByToken[p.Token] == nil {
		s.votersByToken[p.Token] = voters.Set{}
	}
	s.votersByToken[p.Token][name] = true
	return nil
}

// voters returns the voters of the last term; nil if its leader recorded none.
func (s *storedState) voters() voters.Set {
	if s.lastTerm == nil {
		return nil
	}
	return s.votersByToken[s.lastTerm.Lead.GetToken()]
}

// voterRecords returns the records that make daemons voters of a term, or no voters.
func voterRecords(token uint64, add, drop []string) ([]ports.KeyedRecord, error) {
	var out []ports.KeyedRecord
	for _, name := range slices.Sorted(slices.Values(add)) {
		value, err := proto.Marshal(&cellpb.Lead{Node: name, Token: token})
		if err != nil {
			return nil, err
		}
		out = append(out, ports.KeyedRecord{Key: voterPrefix + name, Value: value})
	}
	for _, name := range slices.Sorted(slices.Values(drop)) {
		out = append(out, ports.KeyedRecord{Key: voterPrefix + name})
	}
	return out, nil
}

// changeVoters proposes the daemons that report to this leader as its voters. Daemons that have left
// stop voting, so that a later leader need not wait as long as if a former one heard from them. Before
// its recovery is complete, the leader keeps the voters that it has read: those of earlier terms count too.
func (l *leader) changeVoters(now time.Time) {
	if now.Sub(l.votersCheckedAt) < voterCheckInterval || !l.core.Recovered() {
		return
	}
	l.votersCheckedAt = now
	next := voters.New(l.d.settings.Node)
	for name := range l.voters.Current {
		since := l.claim.at
		if r := l.reports[name]; r.receivedAt.After(since) {
			since = r.receivedAt
		}
		if now.Sub(since) < voterAbsence {
			next[name] = true
		}
	}
	for name := range l.reports {
		if l.hears(name, now) {
			next[name] = true
		}
	}
	change := l.voters.Propose(next)
	if len(change.Add)+len(change.Drop) == 0 {
		return
	}
	records, err := voterRecords(l.token, change.Add, change.Drop)
	if err != nil {
		l.log.WithField("event", "voters_unstorable").WithError(err).Error("cannot encode the voters")
		return
	}
	l.voterRecords = records
}

// hears reports whether a daemon has sent a report within linkIdleTimeout.
func (l *leader) hears(name string, now time.Time) bool {
	r, reported := l.reports[name]
	return reported && now.Sub(r.receivedAt) < linkIdleTimeout
}

// hearsMajority reports whether the daemons that sent a report within linkIdleTimeout are so many that
// one of them would know of a successor for which enough voters of this leader are known.
func (l *leader) hearsMajority(now time.Time) bool {
	heard := func(name string) bool { return l.hears(name, now) }
	if !l.voters.Suffice(l.d.settings.Node, heard) {
		return false
	}
	if l.voters.Current != nil {
		return true
	}
	// No voters are stored yet, so that a successor counts all known daemons.
	known := voters.Set{}
	for name := range l.nodes {
		known[name] = true
	}
	return known.Suffice(l.d.settings.Node, heard)
}

// supersededAt returns when so many voters had acknowledged this leader that the leader of a previous
// term can not hear from enough others any more. The bool is false as long as they have not.
func (l *leader) supersededAt(former string) (time.Time, bool) {
	var times []time.Time
	for name := range l.previousVoters {
		if at, known := l.voterAcknowledgedAt(name); known {
			times = append(times, at)
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	times = append([]time.Time{l.claim.at}, times...)
	for _, at := range times {
		by := func(name string) bool {
			acknowledged, known := l.voterAcknowledgedAt(name)
			return known && !acknowledged.After(at)
		}
		if l.previousVoters.Supersede(former, by) {
			return at, true
		}
	}
	return time.Time{}, false
}

// voterAcknowledgedAt returns when a voter first knew of this leader.
func (l *leader) voterAcknowledgedAt(name string) (time.Time, bool) {
	if name == l.d.settings.Node {
		return l.claim.at, true
	}
	at, known := l.acknowledgedAt[name]
	return at, known
}
