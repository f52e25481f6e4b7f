package cellsoak

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"catkinvalve/internal/standin/cellstore"
	"catkinvalve/platform"
)

// storeMode is the behaviour of the store during a fault.
type storeMode uint8

const (
	storeNormal storeMode = iota
	// storeRefuses: every request is refused.
	storeRefuses
	// storeSilent: no request is executed or answered.
	storeSilent
	// storeSlow: every request takes slowStoreDelay longer.
	storeSlow
	// storeDropsResponses: a third of the appends are executed, but their responses are
	// lost.
	storeDropsResponses
	// storeExecutesLate: a third of the appends get no response and are executed 1 to
	// 5 s later.
	storeExecutesLate
)

const (
	// storeDelay is the response time of every request, slowStoreDelay what is added
	// in mode storeSlow.
	storeDelay     = 2 * time.Millisecond
	slowStoreDelay = 200 * time.Millisecond
)

// store is the stand-in of the metadata store. It keeps all topics in memory.
type store struct {
	mu     sync.Mutex
	topics map[string]*cellstore.Topic
	mode   storeMode
}

func newStore() *store { return &store{topics: map[string]*cellstore.Topic{}} }

// topic returns the topic with the given name and creates it on first use.
func (s *store) topic(name string) *cellstore.Topic {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topics[name]
	if t == nil {
		t = cellstore.New()
		s.topics[name] = t
	}
	return t
}

func (s *store) setMode(m storeMode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mode = m
}

// injectFault implements platform.StoreFault: it executes a request as the current mode
// requires and returns what happens to the response. writes is set for an append.
func (s *store) injectFault(ctx context.Context, writes bool, execute func()) platform.StoreOutcome {
	s.mu.Lock()
	mode := s.mode
	s.mu.Unlock()
	time.Sleep(storeDelay)
	affected := writes && rand.IntN(3) == 0
	switch {
	case mode == storeRefuses:
		return platform.OutcomeRefused
	case mode == storeSilent:
		<-ctx.Done()
		return platform.OutcomeAnswerLost
	case mode == storeSlow:
		time.Sleep(slowStoreDelay)
	case mode == storeDropsResponses && affected:
		execute()
		return platform.OutcomeAnswerLost
	case mode == storeExecutesLate && affected:
		time.AfterFunc(time.Duration(1000+rand.IntN(4000))*time.Millisecond, execute)
		return platform.OutcomeAnswerLost
	}
	execute()
	return platform.OutcomeAnswered
}
