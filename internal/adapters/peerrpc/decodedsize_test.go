package peerrpc

import (
	"runtime"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"catkinvalve/internal/peerpb"
)

// Guards against an estimate that is below the memory that a message takes, or far above it, which
// would refuse the largest records that an owner replicates.
func TestDecodedBytes(t *testing.T) {
	tasks := make([]*peerpb.TaskRecord, 10_000)
	for i := range tasks {
		tasks[i] = &peerpb.TaskRecord{State: "running", Worker: "klang-a-w17", Attempt: 1, Planned: &peerpb.Size{MilliCpu: 100, MemMb: 100, Slots: 1}, Boot: "4711"}
	}
	for name, records := range map[string][]*peerpb.Record{
		"empty":   emptyRecords(20_000),
		"largest": {{Request: &peerpb.Request{Key: "klang-a:plan"}, Tasks: tasks}},
	} {
		in := &peerpb.ReplicateRequest{DataCentre: "klang-a", Records: records}
		data, err := proto.Marshal(in)
		assert.NilError(t, err)
		estimate := decodedBytes(data, in.ProtoReflect().Descriptor())
		actual := allocated(func() any {
			var out peerpb.ReplicateRequest
			assert.NilError(t, proto.Unmarshal(data, &out))
			return &out
		})
		assert.Assert(t, float64(estimate) > 0.8*float64(actual), "%s: estimate %d, actual %d", name, estimate, actual)
		assert.Assert(t, estimate < 2*actual, "%s: estimate %d, actual %d", name, estimate, actual)
	}
}

func emptyRecords(n int) []*peerpb.Record {
	records := make([]*peerpb.Record, n)
	for i := range records {
		records[i] = &peerpb.Record{}
	}
	return records
}

// allocated returns the live memory that make leaves behind.
func allocated(build func() any) int64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	kept := build()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(kept)
	return int64(after.HeapAlloc) - int64(before.HeapAlloc)
}
