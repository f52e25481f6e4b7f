// Package split decides whether the old or the new system runs a key while
// both run side by side. It does no I/O.
package split

import (
	"github.com/cespare/xxhash/v2"

	"catkinvalve/internal/core/model"
)

// buckets is the number of parts that keys are divided into: shares are percentages.
const buckets = 100

func bucket(key string) int { return int(xxhash.Sum64String(key) % buckets) }

// Side returns the side of a key that is seen for the first time. The service
// does not enter the hash: since a service's new share is at most that of what
// it depends on, a key on the new side then finds its dependencies there too.
func Side(key, _ string, newPercent int) model.Side {
	if bucket(key) < newPercent {
		return model.NewSide
	}
	return model.OldSide
}
