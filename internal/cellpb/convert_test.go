package cellpb

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"catkinvalve/internal/core/jobs"
	"catkinvalve/internal/core/model"
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

// stored returns a message as it is read from the store.
func stored[T proto.Message](t *testing.T, written, read T) T {
	t.Helper()
	data, err := proto.Marshal(written)
	assert.NilError(t, err)
	assert.NilError(t, proto.Unmarshal(data, read))
	return read
}

// Guards against records from which a successor takes another tenant, rate or limit, or another
// capacity of a worker.
func TestStoredRecordsKeepTenants(t *testing.T) {
	job := jobs.AcceptedRecord{Spec: jobs.Spec{ID: "j", Queue: "q", Tenant: "a", Steps: []jobs.Step{{Count: 1}}}, Queue: jobs.Queue{Name: "q"}, Token: 3,
		Accepted: time.UnixMilli(1000), Excess: true, TenantLimit: model.Size{MilliCPU: 2000, Accel: 1}}
	for _, limit := range []model.Size{job.TenantLimit, {}} {
		job.TenantLimit = limit
		got, err := stored(t, FromAccepted(&job), &StoredJob{}).ToAccepted()
		assert.NilError(t, err)
		assert.DeepEqual(t, got, job)
	}
	progress := jobs.ProgressRecord{Job: "j", Queue: "q", Tenant: "a", Outcome: jobs.OutcomeCancelled}
	ended, err := stored(t, FromProgress(&progress), &StoredProgress{}).ToProgress()
	assert.NilError(t, err)
	assert.DeepEqual(t, ended, progress)
	worker := jobs.WorkerRecord{ID: "w", Address: "w:1", Service: "s", Capacity: model.Size{MilliCPU: 8000, MemMB: 100, Accel: 2}}
	assert.DeepEqual(t, stored(t, FromWorkerRecord(&worker), &StoredWorker{}).ToWorkerRecord(), worker)
}
