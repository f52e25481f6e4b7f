package split

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"catkinvalve/internal/core/model"
	_ "catkinvalve/internal/propseed"
)

// A key must stay new when the share grows, and shares must be about met.
func TestSide(t *testing.T) {
	count := 0
	for i := range 10_000 {
		key := fmt.Sprint("key", i)
		assert.Equal(t, Side(key, "s", 0), model.OldSide)
		assert.Equal(t, Side(key, "s", 100), model.NewSide)
		if Side(key, "s", 30) == model.NewSide {
			count++
			assert.Equal(t, Side(key, "other", 31), model.NewSide)
		}
	}
	assert.Assert(t, count > 2800 && count < 3200, "%d of 10000 keys", count)
}

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// A key whose side differs between two recent revisions must be looked up, or
// it could run on both sides. Memory stays bounded.
func TestCarriedBandCoversRecentShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var c History
		key := rapid.String().Draw(t, "key")
		at := start
		type change struct {
			at    time.Time
			share int
		}
		var changes []change
		for range rapid.IntRange(1, 60).Draw(t, "revisions") {
			at = at.Add(time.Duration(rapid.IntRange(1, 900).Draw(t, "minutes")) * time.Minute)
			share := rapid.IntRange(-1, 100).Draw(t, "share") // -1: not in the text
			revision := map[string]int{}
			if share >= 0 {
				revision["s"] = share
			}
			changes = append(changes, change{at, share})
			c = c.WithRevision(at, Revision{NewPercent: revision, OldSlotsPerWorker: 0})
			assert.Assert(t, len(c.Services) <= 1)
		}
		lowest, highest := 101, -1
		for i, ch := range changes {
			// A share counts until the next revision replaced or removed it.
			last := i == len(changes)-1
			if ch.share < 0 {
				continue
			}
			if last || at.Sub(changes[i+1].at) <= Retention {
				lowest, highest = min(lowest, ch.share), max(highest, ch.share)
			}
		}
		b, ok := c.Services["s"]
		if !ok {
			return
		}
		if lowest != highest && at.Sub(b.ChangedAt) <= Retention {
			assert.Assert(t, b.Lowest <= lowest && b.Highest >= highest, "band %d to %d misses %d to %d", b.Lowest, b.Highest, lowest, highest)
		}
		if Side(key, "s", lowest) != Side(key, "s", highest) && at.Sub(b.ChangedAt) <= Retention {
			assert.Assert(t, c.NeedsLookup(at, key, "s"))
		}
	})
}

// A daemon that starts from a snapshot must know earlier shares.
func TestCarriedSurvivesEncoding(t *testing.T) {
	c := History{}.WithRevision(start, Revision{NewPercent: map[string]int{"s": 0}, OldSlotsPerWorker: 2}).WithRevision(start.Add(time.Hour), Revision{NewPercent: map[string]int{"s": 100}, OldSlotsPerWorker: 1})
	data, err := json.Marshal(c)
	assert.NilError(t, err)
	var back History
	assert.NilError(t, json.Unmarshal(data, &back))
	assert.Assert(t, back.NeedsLookup(start.Add(2*time.Hour), "key", "s"))
	assert.Equal(t, back.OldSlotsPerWorker.Highest, 2)
}

// Lookups at the old system must end once no key of the earlier share can be remembered.
func TestCarriedBandCollapses(t *testing.T) {
	c := History{}.WithRevision(start, Revision{NewPercent: map[string]int{"s": 0}, OldSlotsPerWorker: 0}).WithRevision(start.Add(time.Hour), Revision{NewPercent: map[string]int{"s": 100}, OldSlotsPerWorker: 0})
	late := start.Add(time.Hour + Retention + time.Minute)
	assert.Assert(t, !c.NeedsLookup(late, "key", "s"))
	c = c.WithRevision(late, Revision{NewPercent: map[string]int{"s": 100}, OldSlotsPerWorker: 0})
	assert.Equal(t, c.Services["s"].Lowest, 100)
	c = c.WithRevision(late.Add(time.Minute), Revision{NewPercent: nil, OldSlotsPerWorker: 0})
	c = c.WithRevision(late.Add(2*Retention), Revision{NewPercent: nil, OldSlotsPerWorker: 0})
	assert.Equal(t, len(c.Services), 0)
}

// A key without a prefix may have run at its home under an earlier set of data centres.
func TestEarlierHomesAreKnownForTheRetention(t *testing.T) {
	two, three := []model.DataCentre{"a", "b"}, []model.DataCentre{"a", "b", "c"}
	c := History{}.WithRevision(start, Revision{DataCentres: two}).WithRevision(start.Add(time.Hour), Revision{DataCentres: three})
	last := func(set []model.DataCentre) model.DataCentre { return set[len(set)-1] }
	assert.DeepEqual(t, c.EarlierHomes(start.Add(2*time.Hour), "c", last), []model.DataCentre{"b"})
	assert.Equal(t, len(c.EarlierHomes(start.Add(2*time.Hour), "b", last)), 0)
	assert.Equal(t, len(c.EarlierHomes(start.Add(26*time.Hour), "c", last)), 0)
	c = c.WithRevision(start.Add(40*time.Hour), Revision{DataCentres: three})
	assert.Equal(t, len(c.EarlierSets), 0)
}
