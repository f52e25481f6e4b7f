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

// A key on the new side must stay there when the share grows, and the number of keys
// on the new side must be close to the share.
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

// A key whose side differs between two recent revisions must be looked up, or it could
// run on both sides. The number of remembered services must stay bounded.
func TestHistoryCoversRecentShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var h History
		key := rapid.String().Draw(t, "key")
		at := start
		type change struct {
			at    time.Time
			share int
		}
		var changes []change
		for range rapid.IntRange(1, 60).Draw(t, "revisions") {
			at = at.Add(time.Duration(rapid.IntRange(1, 900).Draw(t, "minutes")) * time.Minute)
			share := rapid.IntRange(-1, 100).Draw(t, "share") // -1: the service is not configured
			shares := map[string]int{}
			if share >= 0 {
				shares["s"] = share
			}
			changes = append(changes, change{at, share})
			h = h.WithRevision(at, Revision{NewPercent: shares, OldSlotsPerWorker: 0})
			assert.Assert(t, len(h.Services) <= 1)
		}
		lowest, highest := 101, -1
		for i, ch := range changes {
			// A share is in use until the next revision replaces or removes it.
			last := i == len(changes)-1
			if ch.share < 0 {
				continue
			}
			if last || at.Sub(changes[i+1].at) <= Retention {
				lowest, highest = min(lowest, ch.share), max(highest, ch.share)
			}
		}
		r, ok := h.Services["s"]
		if !ok {
			return
		}
		if lowest != highest && at.Sub(r.ChangedAt) <= Retention {
			assert.Assert(t, r.Lowest <= lowest && r.Highest >= highest, "range %d to %d does not contain %d to %d", r.Lowest, r.Highest, lowest, highest)
		}
		if Side(key, "s", lowest) != Side(key, "s", highest) && at.Sub(r.ChangedAt) <= Retention {
			assert.Assert(t, h.NeedsLookup(at, key, "s"))
		}
	})
}

// A daemon that starts from a stored history must know earlier shares.
func TestHistorySurvivesEncoding(t *testing.T) {
	h := History{}.WithRevision(start, Revision{NewPercent: map[string]int{"s": 0}, OldSlotsPerWorker: 2}).WithRevision(start.Add(time.Hour), Revision{NewPercent: map[string]int{"s": 100}, OldSlotsPerWorker: 1})
	data, err := json.Marshal(h)
	assert.NilError(t, err)
	var decoded History
	assert.NilError(t, json.Unmarshal(data, &decoded))
	assert.Assert(t, decoded.NeedsLookup(start.Add(2*time.Hour), "key", "s"))
	assert.Equal(t, decoded.OldSlotsPerWorker.Highest, 2)
}

// Lookups at the old system must end after Retention, when no key placed under the
// earlier share is known any more.
func TestRangeCollapsesAfterRetention(t *testing.T) {
	h := History{}.WithRevision(start, Revision{NewPercent: map[string]int{"s": 0}, OldSlotsPerWorker: 0}).WithRevision(start.Add(time.Hour), Revision{NewPercent: map[string]int{"s": 100}, OldSlotsPerWorker: 0})
	late := start.Add(time.Hour + Retention + time.Minute)
	assert.Assert(t, !h.NeedsLookup(late, "key", "s"))
	h = h.WithRevision(late, Revision{NewPercent: map[string]int{"s": 100}, OldSlotsPerWorker: 0})
	assert.Equal(t, h.Services["s"].Lowest, 100)
	h = h.WithRevision(late.Add(time.Minute), Revision{NewPercent: nil, OldSlotsPerWorker: 0})
	h = h.WithRevision(late.Add(2*Retention), Revision{NewPercent: nil, OldSlotsPerWorker: 0})
	assert.Equal(t, len(h.Services), 0)
}

// A key without a data centre prefix may have run at its home under an earlier set of
// data centres.
func TestEarlierHomesAreKnownForTheRetention(t *testing.T) {
	two, three := []model.DataCentre{"a", "b"}, []model.DataCentre{"a", "b", "c"}
	h := History{}.WithRevision(start, Revision{DataCentres: two}).WithRevision(start.Add(time.Hour), Revision{DataCentres: three})
	last := func(set []model.DataCentre) model.DataCentre { return set[len(set)-1] }
	assert.DeepEqual(t, h.EarlierHomes(start.Add(2*time.Hour), "c", last), []model.DataCentre{"b"})
	assert.Equal(t, len(h.EarlierHomes(start.Add(2*time.Hour), "b", last)), 0)
	assert.Equal(t, len(h.EarlierHomes(start.Add(26*time.Hour), "c", last)), 0)
	h = h.WithRevision(start.Add(40*time.Hour), Revision{DataCentres: three})
	assert.Equal(t, len(h.EarlierSets), 0)
}
