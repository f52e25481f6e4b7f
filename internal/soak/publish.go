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
	// publishRetryInterval is the time between two attempts of a publication.
	publishRetryInterval = 200 * time.Millisecond
	// racingPublications is the number of publications in a race.
	racingPublications = 3
)

// publisher publishes configuration texts and records every attempt.
type publisher struct {
	cell         *cell
	rec          *history.Recorder
	publishCount atomic.Int64
	// wg counts the background publications without a verdict. They are repeated
	// until a daemon returns one.
	wg                sync.WaitGroup
	accepted, refused atomic.Int64

	// mu guards lastErrors.
	mu sync.Mutex
	// lastErrors holds the last error of each publication without a verdict, by
	// publish ID.
	lastErrors map[string]string
}

func newPublisher(c *cell, rec *history.Recorder) *publisher {
	return &publisher{cell: c, rec: rec, lastErrors: map[string]string{}}
}

// pendingErrors returns the last error of each publication without a verdict.
func (p *publisher) pendingErrors() map[string]string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return maps.Clone(p.lastErrors)
}

// setLastError records the error of the latest attempt; a nil error removes the
// publication's entry.
func (p *publisher) setLastError(id, daemon string, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err == nil {
		delete(p.lastErrors, id)
		return
	}
	p.lastErrors[id] = daemon + ": " + err.Error()
}

// confirmShares are the percentages of the confirm service on the new system that
// publications choose from.
var confirmShares = []int{20, 50, 80, 100}

// planShare returns the percentage of the plan service on the new system: 90 or 100,
// since the old system has too few slots for more of the long batch work.
func planShare(n int) int { return 90 + n%2*10 }

// publishRace publishes different texts on the same base revision through
// different daemons at once.
func (p *publisher) publishRace(ctx context.Context, n int) error {
	baseRevision, err := p.baseRevision(ctx)
	if err != nil {
		return err
	}
	for i := range racingPublications {
		p.startPublication(ctx, (n+i)%len(p.cell.ids), baseRevision, configText(confirmShares[(n+i)%len(confirmShares)], planShare(i)))
	}
	return nil
}

// publishShareChange publishes a text with other shares of the confirm and plan
// services on the new system.
func (p *publisher) publishShareChange(ctx context.Context, n int) error {
	baseRevision, err := p.baseRevision(ctx)
	if err != nil {
		return err
	}
	p.startPublication(ctx, n%len(p.cell.ids), baseRevision, configText(confirmShares[n%len(confirmShares)], planShare(n/2)))
	return nil
}

// baseRevision returns the current revision of the first daemon that answers. It
// tries all daemons up to 20 times.
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
	return 0, fmt.Errorf("no daemon reported a revision: %w", last)
}

// startPublication publishes a text in the background until it has a verdict.
func (p *publisher) startPublication(ctx context.Context, daemon int, baseRevision uint64, text string) {
	id := fmt.Sprintf("soak-%d", p.publishCount.Add(1))
	p.wg.Go(func() {
		_ = p.publish(ctx, daemon, api.PublishRequest{PublishID: id, Base: baseRevision, Text: text, Author: "soak"})
	})
}

// publish repeats a publication through one daemon after another until it has a
// verdict. It returns the last error if ctx ends first.
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
			err = nil // A conflict is a verdict: another revision was accepted first.
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
