package httpapi

import (
	"encoding/json"
	"testing"

	"catkinvalve/internal/fault"
	"catkinvalve/internal/limits"
)

// FuzzSubmitBody guards against a body that causes a panic, that is rejected without an
// error of kind malformed, or that is accepted although a field exceeds its limit.
func FuzzSubmitBody(f *testing.F) {
	for _, seed := range []string{
		`{"key":"klang-a:order-17","service":"dispatch","team":"parties","tasks":3,"size":{"milli_cpu":500,"mem_mb":64,"slots":1}}`,
		`{"key":"a","service":"s","idempotent":true,"deadline":"2026-12-04T10:00:00Z","run_ms":10,"wait_ms":5,"payload":"aGk="}`,
		`{"key":"a","key":"b"}`, `{"size":{"slots":1e99}}`, `{"a":[[{}]]}`, `null`, `{} x`, "\xff", ``,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		request, err := decodeSubmit(body)
		if err != nil {
			if fault.KindOf(err) != fault.Malformed {
				t.Fatalf("kind %s for %q", fault.KindOf(err), body)
			}
			return
		}
		if !limits.ValidKey(request.Key) || request.Tasks < 0 || request.Tasks > limits.MaxTasks || request.WaitMS < 0 {
			t.Fatalf("accepted %+v", request)
		}
		if _, err := json.Marshal(request); err != nil {
			t.Fatalf("an accepted request cannot be encoded: %v", err)
		}
	})
}
