package soak

import (
	"context"
	"fmt"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"catkinvalve/internal/api"
	"catkinvalve/internal/fault"
	"catkinvalve/internal/history"
	"catkinvalve/internal/pause"
)

const (
	publishRetryInterval = 200 * time.Millisecond
	racingPublications   = 3
)

// publisher publishes texts and records every attempt.
type publisher struct {
	cell         *cell
	rec          *history.Recorder
	publishCount atomic.Int64
	// wg counts publications that have no verdict yet. They are repeated until
	// the log answers.
	wg                sync.WaitGroup
	accepted, refused atomic.Int64

	mu sync.Mutex
	// last holds the last errors of publications without a verdict.
	lastErrors map[string]string
}

func newPublisher(c *cell, rec *history.Recorder) *publisher {
	return &publisher{cell: c, rec: rec, lastErrors: map[string]string{}}
}

// open returns the last error of each publication that has no verdict yet.
func (p *publisher) pendingErrors() map[string]string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return maps.Clone(p.lastErrors)
}

func (p *publisher) setLastError(id, daemon string, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err == nil {
		delete(p.lastErrors, id)
		return
	}
	p.lastErrors[id] = daemon + ": " + err.Error()
}

// shares are the values that changes of share and races choose from.
var trafficShares = []int{20, 50, 80, 100}

// planShare keeps most of the long batch work off the old system, which has few
// slots.
func planShare(n int) int { return 90 + n%2*10 }

// race publishes texts on one base through different daemons at once.
func (p *publisher) publishRace(ctx context.Context, n int) error {
	baseRevision, err := p.baseRevision(ctx)
	if err != nil {
		return err
	}
	for i := range racingPublications {
		p.startPublication(ctx, (n+i)%len(p.cell.ids), baseRevision, configText(trafficShares[(n+i)%len(trafficShares)], planShare(i)))
	}
	return nil
}

// change publishes other shares of the new system.
func (p *publisher) publishShareChange(ctx context.Context, n int) error {
	baseRevision, err := p.baseRevision(ctx)
	if err != nil {
		return err
	}
	p.startPublication(ctx, n%len(p.cell.ids), baseRevision, configText(trafficShares[n%len(trafficShares)], planShare(n/2)))
	return nil
}

// base returns the revision at the first daemon that answers.
func (p *publisher) baseRevision(ctx context.Context) (uint64, error) {
	var last error
	for range 20 {
		for _, cl := range p.cell.clients {
			callCtx, cancel := context.WithTimeout(ctx, callTimeout)
			doc, err := cl.Config(callCtx)
			cancel()
			if err == nil && doc.Revision > 0 {
				return doc.Revision, nil
			}
			last = err
		}
		if !pause.For(ctx, publishRetryInterval) {
			break
		}
	}
	return 0, fmt.Errorf("no daemon tells its revision: %w", last)
}

func (p *publisher) startPublication(ctx context.Context, daemon int, baseRevision uint64, text string) {
	id := fmt.Sprintf("soak-%d", p.publishCount.Add(1))
	p.wg.Go(func() {
		_ = p.publish(ctx, daemon, api.PublishRequest{PublishID: id, Base: baseRevision, Text: text, Author: "soak"})
	})
}

// publish repeats a publication through one daemon after another until it has
// a verdict.
func (p *publisher) publish(ctx context.Context, daemon int, req api.PublishRequest) error {
	for i := 0; ; i++ {
		cl := p.cell.clients[(daemon+i)%len(p.cell.clients)]
		op := history.ConfigOp{Call: p.rec.Now(), PublishID: req.PublishID, Base: req.Base, Text: req.Text}
		callCtx, cancel := withCallTimeout(ctx, callTimeout)
		res, err := cl.Publish(callCtx, req)
		cancel()
		op.Return = p.rec.Now()
		op.Accepted, op.Revision = res.Accepted, res.Revision
		if fault.KindOf(err) == fault.PublishConflict {
			err = nil // the verdict: another revision was accepted first
		}
		if err != nil {
			op.Err = fault.KindOf(err)
		}
		p.rec.AddConfig(op)
		p.setLastError(req.PublishID, p.cell.ids[(daemon+i)%len(p.cell.ids)], err)
		if err == nil {
			p.countVerdict(res.Accepted)
			return nil
		}
		if !pause.For(ctx, publishRetryInterval) {
			return err
		}
	}
}

func (p *publisher) countVerdict(accepted bool) {
	if accepted {
		p.accepted.Add(1)
	} else {
		p.refused.Add(1)
	}
}
