// Package split decides whether the old or the new system runs a key during the
// migration, while both are in operation. It does no I/O.
package split

import (
	"github.com/cespare/xxhash/v2"

	"catkinvalve/internal/core/model"
)

// buckets is the number of hash buckets of keys. It is 100 because the share of the
// new system is configured in percent.
const buckets = 100

// bucket returns the hash bucket of a key, from 0 to buckets-1.
func bucket(key string) int { return int(xxhash.Sum64String(key) % buckets) }

// Side returns the side that runs a key without a record; newPercent is the share of
// the new system in percent. The service (second parameter) is not part of the hash:
// the new share of a service is at most that of the services that it depends on, so
// the dependencies of a key on the new side are on the new side as well.
func Side(key, _ string, newPercent int) model.Side {
	if bucket(key) < newPercent {
		return model.NewSide
	}
	return model.OldSide
}
