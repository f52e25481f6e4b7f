package scenarios

import (
	"context"
	"fmt"
	"maps"
	"sync"
	"time"

	"catkinvalve/internal/testbed"
)

// samplePeriod is much shorter than the log poll interval of 500 ms, so that a
// revision that is in effect only between two polls is observed.
const samplePeriod = 100 * time.Millisecond

// sample is the configuration that was in effect in one process of a daemon. at is
// when the call began.
type sample struct {
	daemon   string
	pid      int
	revision uint64
	text     string
	at       time.Time
}

// sampler reads the configuration of every daemon periodically during a scenario.
type sampler struct {
	scenario  *scenario
	mu        sync.Mutex
	pausedIDs map[string]bool
	history   revisions
}

func newSampler(sc *scenario) *sampler {
	return &sampler{scenario: sc, pausedIDs: map[string]bool{}, history: newRevisions()}
}

func (s *sampler) run(ctx context.Context) {
	for ctx.Err() == nil {
		s.sampleAll(ctx)
		select {
		case <-ctx.Done():
		case <-time.After(samplePeriod):
		}
	}
}

// targets returns a copy of the running daemons' processes, because the script
// changes the cluster at the same time.
func (s *sampler) targets() map[string]*testbed.Process {
	out := map[string]*testbed.Process{}
	for _, id := range s.scenario.running("all") {
		s.scenario.mu.RLock()
		if d := s.scenario.cluster.Daemons[id]; d != nil {
			out[id] = d.Process
		}
		s.scenario.mu.RUnlock()
	}
	return out
}

func (s *sampler) sampleAll(ctx context.Context) {
	var wg sync.WaitGroup
	for id, p := range s.targets() {
		wg.Go(func() {
			cl, err := s.scenario.client(id)
			if err != nil {
				return
			}
			callCtx, cancel := context.WithTimeout(ctx, time.Second)
			defer cancel()
			at := time.Now()
			doc, err := cl.Config(callCtx)
			if err != nil {
				return
			}
			s.mu.Lock()
			defer s.mu.Unlock()
			s.history.add(sample{daemon: id, pid: p.PID(), revision: doc.Revision, text: doc.Text, at: at})
		})
	}
	wg.Wait()
}

func (s *sampler) setPaused(id string, paused bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pausedIDs[id] = paused
}

func (s *sampler) paused(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pausedIDs[id]
}

// latest returns the last sample of each daemon.
func (s *sampler) latest() map[string]sample {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.history.last)
}

func (s *sampler) problems() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.history.problems...)
}

// revisions checks that no process reverts to a lower revision and that a revision
// has the same text at all daemons.
type revisions struct {
	last     map[string]sample
	texts    map[uint64]string
	problems []string
}

func newRevisions() revisions {
	return revisions{last: map[string]sample{}, texts: map[uint64]string{}}
}

func (r *revisions) add(s sample) {
	if prev, ok := r.last[s.daemon]; ok && prev.pid == s.pid && s.revision < prev.revision {
		r.problems = append(r.problems, fmt.Sprintf("%s went from revision %d back to %d", s.daemon, prev.revision, s.revision))
	}
	r.last[s.daemon] = s
	if s.revision == 0 {
		return
	}
	if text, ok := r.texts[s.revision]; ok && text != s.text {
		r.problems = append(r.problems, fmt.Sprintf("%s has another text for revision %d than an earlier sample", s.daemon, s.revision))
	}
	r.texts[s.revision] = s.text
}
