package peerpb

import (
	"errors"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"catkinvalve/internal/core/model"
	"catkinvalve/internal/fault"
	"catkinvalve/internal/limits"
	_ "catkinvalve/internal/propseed"
)

var (
	genAmount = rapid.Int64Range(0, limits.MaxDimension)
	genName   = rapid.StringMatching(`[a-z][a-z0-9-]{0,20}`)
	genBytes  = rapid.Custom(func(t *rapid.T) []byte {
		return nilIfEmpty(rapid.SliceOfN(rapid.Byte(), 0, 20).Draw(t, "bytes"))
	})
	genTime = rapid.Custom(func(t *rapid.T) time.Time {
		return timeFromUnixMillis(rapid.Int64Range(0, 253_402_300_799_999).Draw(t, "ms"))
	})
	genSize = rapid.Custom(func(t *rapid.T) model.Size {
		return model.Size{MilliCPU: genAmount.Draw(t, "cpu"), MemMB: genAmount.Draw(t, "mem"),
			Accel: genAmount.Draw(t, "accel"), Slots: genAmount.Draw(t, "slots"), Conns: genAmount.Draw(t, "conns")}
	})
	genTask = rapid.Custom(func(t *rapid.T) model.TaskRecord {
		return model.TaskRecord{
			State:   rapid.SampledFrom([]model.TaskState{model.TaskQueued, model.TaskRunning, model.TaskLost}).Draw(t, "state"),
			Worker:  model.WorkerID(genName.Draw(t, "worker")),
			Attempt: rapid.IntRange(0, maxAttempts).Draw(t, "attempt"),
			Planned: genSize.Draw(t, "planned"), Answer: genBytes.Draw(t, "answer"), Boot: genName.Draw(t, "boot"),
		}
	})
	genRequest = rapid.Custom(func(t *rapid.T) model.Request {
		return model.Request{
			Key: rapid.StringMatching(`[!-.0-~]{1,200}`).Draw(t, "key"), Service: genName.Draw(t, "service"),
			Team: genName.Draw(t, "team"), Class: rapid.SampledFrom(model.Classes).Draw(t, "class"),
			Size: genSize.Draw(t, "size"), Tasks: rapid.IntRange(0, limits.MaxTasks).Draw(t, "tasks"),
			Idempotent: rapid.Bool().Draw(t, "idempotent"),
			RunTime:    time.Duration(rapid.Int64Range(0, limits.MaxRunTime.Milliseconds()).Draw(t, "run")) * time.Millisecond,
			Deadline:   genTime.Draw(t, "deadline"), IssuedAt: genTime.Draw(t, "issued"),
			Payload: genBytes.Draw(t, "payload"), Fingerprint: rapid.Uint64().Draw(t, "fingerprint"),
		}
	})
	genRecord = rapid.Custom(func(t *rapid.T) model.Record {
		r := model.Record{
			Request: genRequest.Draw(t, "request"),
			Side:    rapid.SampledFrom([]model.Side{model.NewSide, model.OldSide}).Draw(t, "side"),
			Fate:    rapid.SampledFrom([]model.Fate{model.Queued, model.Done, model.Unknown}).Draw(t, "fate"),
			OK:      rapid.Bool().Draw(t, "ok"), CancelRequested: rapid.Bool().Draw(t, "cancel"), AnswerDropped: rapid.Bool().Draw(t, "dropped"), PayloadMissing: rapid.Bool().Draw(t, "missing"), Reason: model.Reason(genName.Draw(t, "reason")),
			Answer: genBytes.Draw(t, "answer"), Term: rapid.Uint64().Draw(t, "term"), Version: rapid.Uint64().Draw(t, "version"),
			Accepted: genTime.Draw(t, "accepted"), Started: genTime.Draw(t, "started"), Ended: genTime.Draw(t, "ended"),
			DelegatedTo: model.DataCentre(genName.Draw(t, "delegated")),
		}
		if tasks := rapid.SliceOfN(genTask, 0, 4).Draw(t, "task records"); len(tasks) > 0 {
			r.Tasks = tasks
		}
		return r
	})
)

// Guards against a record field that is lost or changed when a record is sent to a peer.
func TestRecordRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := genRecord.Draw(t, "record")
		encoded, err := proto.Marshal(RecordToProto(&want))
		assert.NilError(t, err)
		var decoded Record
		assert.NilError(t, proto.Unmarshal(encoded, &decoded))
		got, err := RecordFromProto(&decoded)
		assert.NilError(t, err)
		assert.DeepEqual(t, got, want)
	})
}

// Guards against faults whose kind is lost, and against sending the cause of an error to a
// peer.
func TestFaultRoundTrip(t *testing.T) {
	want := fault.Wrap(errors.New("secret"), fault.StaleTerm, "step down", "term 3 is over")
	got := FaultFromProto(FaultToProto(want))
	assert.Equal(t, got.Error(), "stale_term: term 3 is over; step down")
	assert.Assert(t, FaultFromProto(FaultToProto(nil)) == nil)
	assert.Equal(t, FaultFromProto(&Fault{Kind: "later_kind"}).Kind, fault.Internal)
	assert.Equal(t, FaultFromProto(FaultToProto(errors.New("other"))).Kind, fault.Internal)
}

// Guards against values from a defective peer that would be treated as final fates, overflow
// sums, or make times that JSON cannot represent.
func TestOutOfBounds(t *testing.T) {
	for name, change := range map[string]func(*Record){
		"no request":     func(p *Record) { p.Request = nil },
		"no fate":        func(p *Record) { p.Fate = "" },
		"unknown fate":   func(p *Record) { p.Fate = "finished" },
		"unknown side":   func(p *Record) { p.Side = "left" },
		"unknown class":  func(p *Record) { p.Request.Class = "urgent" },
		"unknown state":  func(p *Record) { p.Tasks[0].State = "x" },
		"negative size":  func(p *Record) { p.Request.Size.Slots = -1 },
		"large size":     func(p *Record) { p.Tasks[0].Planned.MemMb = 1 << 62 },
		"negative tasks": func(p *Record) { p.Request.Tasks = -1 },
		"many tasks":     func(p *Record) { p.Tasks = make([]*TaskRecord, limits.MaxTasks+1) },
		"attempt":        func(p *Record) { p.Tasks[0].Attempt = -1 },
		"run time":       func(p *Record) { p.Request.RunMs = 1 << 62 },
		"late time":      func(p *Record) { p.EndedMs = 1 << 62 },
		"negative time":  func(p *Record) { p.Request.DeadlineMs = -1 },
		"key":            func(p *Record) { p.Request.Key = "a/b" },
		"worker":         func(p *Record) { p.Tasks[0].Worker = "\n" },
	} {
		p := RecordToProto(&model.Record{Request: model.Request{Key: "a", Class: model.Batch}, Side: model.NewSide,
			Fate: model.Queued, Tasks: []model.TaskRecord{{State: model.TaskQueued}}})
		_, err := RecordFromProto(p)
		assert.NilError(t, err)
		change(p)
		_, err = RecordFromProto(p)
		assert.Equal(t, fault.KindOf(err), fault.Malformed, name)
	}
}

// FuzzRecordFromProto guards against a message that causes a panic, or that is converted
// although a value is out of bounds.
func FuzzRecordFromProto(f *testing.F) {
	full := RecordToProto(&model.Record{Request: model.Request{Key: "klang-a:1", Class: model.Batch, Deadline: time.UnixMilli(5)},
		Side: model.NewSide, Fate: model.Running, Tasks: []model.TaskRecord{{State: model.TaskRunning, Worker: "w1"}}})
	for _, p := range []*Record{full, {}, {Request: &Request{Key: "a"}, Tasks: []*TaskRecord{{}}}} {
		seed, err := proto.Marshal(p)
		assert.NilError(f, err)
		f.Add(seed)
	}
	f.Add([]byte("\x0a\xff"))
	f.Fuzz(func(t *testing.T, encoded []byte) {
		var p Record
		if proto.Unmarshal(encoded, &p) != nil {
			return
		}
		r, err := RecordFromProto(&p)
		if err != nil {
			if fault.KindOf(err) != fault.Malformed {
				t.Fatal(err)
			}
			return
		}
		if !limits.ValidKey(r.Request.Key) || r.Request.RunTime < 0 || len(r.Tasks) > limits.MaxTasks || r.Ended.Year() > 9999 {
			t.Fatalf("accepted %+v", r)
		}
		reconverted, err := RecordFromProto(RecordToProto(&r))
		assert.NilError(t, err)
		assert.DeepEqual(t, reconverted, r)
	})
}
