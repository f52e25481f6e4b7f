package soak

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"
)

// bin returns the directory of the programs that make build builds.
func bin(t *testing.T) string {
	t.Helper()
	dir, err := filepath.Abs("../../bin")
	assert.NilError(t, err)
	_, err = os.Stat(filepath.Join(dir, "catkinvalved"))
	assert.NilError(t, err, "run make build first")
	return dir
}

// runSoak runs a soak and fails the test with its whole output on an error or a
// violation.
func runSoak(t *testing.T, o Options) Report {
	t.Helper()
	var out bytes.Buffer
	o.Bin, o.Out = bin(t), &out
	rep, err := Run(context.Background(), o)
	rep.Print(&out)
	if err != nil || len(rep.Violations) > 0 {
		t.Fatalf("%v\n%s", err, out.String())
	}
	return rep
}

// Guards the promises to callers under faults: no request is lost, started twice or
// wrongly reported as not_run, no worker is overloaded, no revision is reverted.
func TestSoak(t *testing.T) {
	for _, seed := range []uint64{1, 2} {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			rep := runSoak(t, Options{Seconds: 7, Seed: seed, Rate: 40})
			for _, k := range requiredKinds {
				assert.Assert(t, rep.Faults[k] > 0, "no %s was injected", k)
			}
			assert.Assert(t, rep.Requests > 150, "%d keys", rep.Requests)
			assert.Assert(t, rep.Starts > 100, "%d starts", rep.Starts)
		})
	}
}

// Guards against wrong answers that need no fault, only concurrency: several callers
// of one key, cancellations and racing publications.
func TestConcurrentCallers(t *testing.T) {
	t.Parallel()
	rep := runSoak(t, Options{Seconds: 4, Seed: 3, Rate: 80, Kinds: []Kind{PublishRace, ShareChange}})
	assert.Assert(t, rep.RefusedPublications > 0, "no publication lost a race")
	assert.Assert(t, rep.Fates["done"] > 100, "%v", rep.Fates)
	assert.Assert(t, rep.Fates["unknown"] == 0, "%v", rep.Fates)
}
