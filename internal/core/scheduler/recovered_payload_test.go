package scheduler

import (
	"testing"

	"gotest.tools/v3/assert"

	"catkinvalve/internal/core/model"
)

// A request must not run again without its payload. After all daemons of a data centre
// were replaced, a request that is known only from a worker's inventory has no payload,
// so none of its tasks may start until a caller submits it again.
func TestRecoveredRequestDoesNotStartWithoutPayload(t *testing.T) {
	f := newStandby(t, "w1", "w2")
	f.c.StartServing(f.now, Recovery{Term: 2, JournalRead: true})
	f.run()
	f.grant("w1", "boot", model.RunningTask{
		ID: model.TaskID{Key: "dc-a:k"}, Attempt: 1, Service: "batch", Size: oneSlot, State: model.TaskRunning,
	})
	f.grant("w2", "boot")
	f.clearCollected()
	f.grant("w1", "boot after a crash")
	f.tick(lostMargin)
	assert.Equal(t, f.countStarts("dc-a:k"), 0, "a task was started without the payload of its request")
}
