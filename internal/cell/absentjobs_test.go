package cell

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"

	"catkinvalve/internal/ports"
)

// Guards against calls about unknown jobs that slow down everything else while the store is slow:
// each answer needs a confirmation by the store, for which an append of its own was made between any two
// batches.
func TestCallsAboutUnknownJobsMakeFewAppendsOfTheirOwn(t *testing.T) {
	t.Parallel()
	const callers, duration, storeDelay = 8, 3 * time.Second, 100 * time.Millisecond
	c := newTestCell(t, 1)
	d := c.leader(nil)
	c.eventually(5*time.Second, "the daemon is ready", d.API().Ready)
	c.store.mu.Lock()
	c.store.appendDelay = func(ports.Append) time.Duration { return storeDelay }
	c.store.mu.Unlock()
	before := len(c.store.appends())

	until := time.Now().Add(duration)
	var wg conc.WaitGroup
	answered := make([]int, callers)
	for i := range callers {
		wg.Go(func() {
			for time.Now().Before(until) {
				c.submit(d)
			}
		})
		wg.Go(func() {
			for time.Now().Before(until) {
				ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
				if d.API().State(ctx, Target{Queue: "q", JobID: "00000000000000ff"}).Verdict == VerdictNoJob {
					answered[i]++
				}
				cancel()
			}
		})
	}
	wg.Wait()
	appends := c.store.appends()[before:]
	alone := 0
	for _, a := range appends {
		if slices.Equal(a.keys, []string{aliveKey}) {
			alone++
		}
	}
	assert.Assert(t, alone*5 <= len(appends), "%d of %d appends only confirm the leadership", alone, len(appends))
	for _, n := range answered {
		assert.Assert(t, n >= int(duration/storeDelay)/4, "a caller got only %d answers", n)
	}
}
