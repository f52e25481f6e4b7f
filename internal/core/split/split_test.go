package split

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"catkinvalve/internal/core/model"
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

// A key whose side differs between two retained revisions must be looked up,
// or it could run on both sides. Memory stays bounded.
func TestHistory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h, key, oldest := NewHistory(), rapid.String().Draw(t, "key"), 0
		shares := rapid.SliceOfN(rapid.IntRange(-1, 100), 1, 150).Draw(t, "shares") // -1: not in the text
		for i, share := range shares {
			revision := map[string]int{}
			if share >= 0 {
				revision["s"] = share
			}
			h.Add(uint64(i), revision)
			if rapid.IntRange(0, 20).Draw(t, "trim") == 0 {
				oldest = rapid.IntRange(oldest, i).Draw(t, "oldest")
				h.Trim(uint64(oldest))
			}
			assert.Assert(t, len(h.services["s"]) <= maxSpans)
		}
		lowest, highest := 101, -1
		for _, share := range shares[oldest:] {
			if share >= 0 {
				lowest, highest = min(lowest, share), max(highest, share)
			}
		}
		if highest < 0 {
			return
		}
		low, high := h.Band("s")
		assert.Assert(t, low <= lowest && high >= highest, "band %d to %d misses %d to %d", low, high, lowest, highest)
		if len(shares) <= maxSpans {
			assert.Assert(t, low == lowest && high == highest, "band %d to %d is not %d to %d", low, high, lowest, highest)
		}
		if Side(key, "s", lowest) != Side(key, "s", highest) {
			assert.Assert(t, h.NeedsLookup(key, "s"))
		}
	})
}

// A daemon that starts from a snapshot must know earlier shares.
func TestRestore(t *testing.T) {
	h := NewHistory()
	h.Restore(7, "s", 0, 100)
	h.Add(8, map[string]int{"s": 50})
	assert.Assert(t, h.NeedsLookup("key", "s"))
	h.Trim(8)
	assert.Assert(t, !h.NeedsLookup("key", "s"))
	h.Add(9, nil)
	h.Trim(9)
	assert.Equal(t, len(h.services), 0)
}

// Joining spans to bound memory must keep shares that are still retained.
func TestJoinedSpansStayInBand(t *testing.T) {
	h := NewHistory()
	h.Add(0, map[string]int{"s": 90})
	for i := range 3 * maxSpans {
		h.Add(uint64(i+1), map[string]int{"s": 10 + i%2})
	}
	low, high := h.Band("s")
	assert.Assert(t, low == 10 && high == 90, "band %d to %d", low, high)
}
