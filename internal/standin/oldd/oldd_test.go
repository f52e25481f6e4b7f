package oldd

import (
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"catkinvalve/internal/adapters/jsonhttp"
	"catkinvalve/internal/adapters/oldclient"
	"catkinvalve/internal/core/model"
	"catkinvalve/internal/fault"
	"catkinvalve/internal/ports"
	"catkinvalve/internal/standin/harness"
	"catkinvalve/internal/standinapi"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func ptr[T any](v T) *T { return &v }

func newFixture(t *testing.T) (*System, ports.OldSystem) {
	t.Helper()
	o := New()
	s, err := harness.Listen("127.0.0.1:0", o.Handler())
	assert.NilError(t, err)
	client, err := jsonhttp.New(jsonhttp.Options{})
	assert.NilError(t, err)
	t.Cleanup(func() { client.Close(); s.Close(); o.Close() })
	return o, oldclient.New(client, s.Addr())
}

// Checks that a key runs once if it is submitted again concurrently, after it
// ended or after its answer was lost.
func TestKeyRunsOnce(t *testing.T) {
	o, c := newFixture(t)
	const key = "klang-a:order/17"
	want := ports.OldRequestState{Known: true, Fate: model.Done, OK: true, Answer: []byte("x")}
	assert.NilError(t, o.faults.ApplyFault(standinapi.CommonFault{LoseNextAnswers: ptr(1)}))
	_, err := c.Run(t.Context(), key, "s", []byte(`{"answer":"x"}`))
	assert.Equal(t, fault.KindOf(err), fault.OldSystemUnavailable)
	var wg sync.WaitGroup
	for range 4 {
		wg.Go(func() {
			got, err := c.Run(t.Context(), key, "s", []byte(`{"answer":"other"}`))
			assert.Check(t, err)
			assert.Check(t, string(got.Answer) == "x")
		})
	}
	wg.Wait()
	got, err := c.Lookup(t.Context(), key)
	assert.NilError(t, err)
	assert.DeepEqual(t, got, want)
	assert.Equal(t, o.Stats().RunsPerKey[key], 1)
}

// Checks that the lookup of an unknown key succeeds and reports it as unknown,
// while an outage is an error.
func TestLookup(t *testing.T) {
	o, c := newFixture(t)
	got, err := c.Lookup(t.Context(), "never")
	assert.NilError(t, err)
	assert.DeepEqual(t, got, ports.OldRequestState{})
	assert.NilError(t, o.faults.ApplyFault(standinapi.CommonFault{Outage: ptr(true)}))
	_, err = c.Lookup(t.Context(), "never")
	assert.Equal(t, fault.KindOf(err), fault.OldSystemUnavailable)
}

// Checks that a reserve is acknowledged only when the work that runs on shared
// workers fits its slot limit.
func TestReserve(t *testing.T) {
	o, c := newFixture(t)
	done := make(chan error, 2)
	for _, key := range []string{"a", "b"} {
		go func() {
			_, err := c.Run(t.Context(), key, "s", []byte(`{"sleep_ms":60000}`))
			done <- err
		}()
	}
	for o.Stats().Running < 2 {
		time.Sleep(time.Millisecond)
	}
	reserve := func(revision uint64, slots int64, want uint64) {
		t.Helper()
		got, err := c.Reserve(t.Context(), revision, slots)
		assert.NilError(t, err)
		assert.Equal(t, got, want)
	}
	// Ends a run without waiting for its timer, so that the test does not depend
	// on timing.
	end := func(key string) {
		o.mu.Lock()
		r := o.runsByKey[key]
		o.mu.Unlock()
		assert.Assert(t, r.timer.Stop())
		o.finish(r)
		assert.NilError(t, <-done)
	}
	reserve(1, 2, 1)
	reserve(2, 1, 1)
	end("a")
	reserve(2, 1, 2)
	reserve(1, 9, 2)
	assert.Equal(t, o.Stats().SharedSlotLimit, int64(1), "an earlier revision must not change the limit")
	// Without shared slots the old system runs work on its own instances.
	reserve(3, 0, 2)
	go func() {
		_, err := c.Run(t.Context(), "c", "s", []byte(`{"sleep_ms":60000}`))
		done <- err
	}()
	for o.Stats().Running < 2 {
		time.Sleep(time.Millisecond)
	}
	assert.Equal(t, o.Stats().SharedSlotsInUse, 1)
	end("b")
	reserve(3, 0, 3)
	end("c")
}
