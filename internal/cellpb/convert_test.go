package cellpb

import (
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"catkinvalve/internal/core/jobs"
)

// Guards against crashes of workers that a later leader does not find in the progress of a job.
func TestStoredProgressKeepsCrashes(t *testing.T) {
	want := jobs.ProgressRecord{Job: "j", Queue: "q", Occurrences: []jobs.OccurrenceProgress{{Steps: []jobs.StepProgress{
		{Step: 1, Crashes: []jobs.TaskCrashes{{Index: 2, Runs: []int64{1, 1001, 1002}, AtStart: 2, Alone: 1}}}}}}}
	data, err := proto.Marshal(FromProgress(&want))
	assert.NilError(t, err)
	var stored StoredProgress
	assert.NilError(t, proto.Unmarshal(data, &stored))
	got, err := stored.ToProgress()
	assert.NilError(t, err)
	assert.DeepEqual(t, got, want)
}
