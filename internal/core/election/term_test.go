package election

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Each campaign must use a new term. With the same holder and term, a worker
// would accept a start request of an earlier ownership after it has already
// reported its running tasks to the new one.
func TestEachCampaignHasANewTerm(t *testing.T) {
	e := New(time.Second)
	in := Input{Now: time.Unix(100, 0), Ready: true, ShouldCampaign: true}
	var last uint64
	for range 3 {
		assert.Equal(t, e.Tick(in), StartCampaign)
		assert.Assert(t, e.Term() > last, "term %d after %d", e.Term(), last)
		last = e.Term()
		in.HoldsMajority, in.RecordsLoaded, in.HoldsAll = true, true, true
		assert.Equal(t, e.Tick(in), StartRecovery)
		assert.Equal(t, e.Tick(in), StartServing)
		in.HoldsMajority = false
		assert.Equal(t, e.Tick(in), StepDown)
	}
}
