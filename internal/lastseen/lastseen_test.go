package lastseen

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against an age that does not restart with the last occurrence.
func TestAgeBeginsWithTheLastOccurrence(t *testing.T) {
	var m Mark
	time.Sleep(20 * time.Millisecond)
	before := m.Age()
	assert.Assert(t, before >= 20*time.Millisecond)
	m.Now()
	assert.Assert(t, m.Age() < before)
}
