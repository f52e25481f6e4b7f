// Package limits defines the limits of request fields that the caller API and the peer
// protocol share, so that a request accepted by one is accepted by the other.
package limits

import "time"

const (
	// MaxKeyBytes is the maximum length of a request key in bytes.
	MaxKeyBytes = 200
	// MaxNameBytes is the maximum length in bytes of the name of a service, team, worker
	// or data centre.
	MaxNameBytes = 200
	// MaxTasks is the maximum number of tasks of one request. It exceeds the slots of a
	// data centre of the target size, which has about 556 workers of 8 slots each.
	MaxTasks = 10_000
	// MaxDimension limits each dimension of a size, so that the sum over MaxTasks tasks
	// of many requests does not overflow an int64.
	MaxDimension int64 = 1 << 40
	// MaxRunTime limits expected run times and waiting times.
	MaxRunTime = 366 * 24 * time.Hour
)

// maxUnixMilli is the last millisecond of the year 9999, the last year that the JSON
// encoding of a time.Time supports.
const maxUnixMilli = 253_402_300_799_999

// ValidKey reports whether key has 1 to MaxKeyBytes printable ASCII characters
// without spaces or slashes.
func ValidKey(key string) bool {
	if key == "" || len(key) > MaxKeyBytes {
		return false
	}
	for i := range len(key) {
		if key[i] <= ' ' || key[i] > '~' || key[i] == '/' {
			return false
		}
	}
	return true
}

// ValidName reports whether name has at most MaxNameBytes printable ASCII
// characters. An empty name is valid, because most names are optional.
func ValidName(name string) bool {
	if len(name) > MaxNameBytes {
		return false
	}
	for i := range len(name) {
		if name[i] < ' ' || name[i] > '~' {
			return false
		}
	}
	return true
}

// ValidUnixMilli reports whether ms, in milliseconds since 1970, is a time between the
// years 1970 and 9999. Zero is valid.
func ValidUnixMilli(ms int64) bool { return ms >= 0 && ms <= maxUnixMilli }
