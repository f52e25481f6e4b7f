package cellsoak

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"
)

// soakSeeds are the seeds of CI. Apart from the first, each broke a promise once:
// its cause was mended or, for the last two, was an error of the soak itself.
var soakSeeds = map[uint64]string{
	1:  "a short run of many kinds of faults",
	2:  "a daemon that got SIGTERM cut calls that waited for an outcome",
	11: "a new leader accepted a job that fits no worker before it read their list",
	3:  "an end was forgotten with its worker (the soak's error)",
	32: "an order was executed by a later life of its worker (the soak's error)",
}

// Guards the rules of the platform under faults with real processes: nothing
// lost, doubled, overloaded, started unasked or after a refusal.
func TestCellSoak(t *testing.T) {
	bin, err := filepath.Abs("../../bin")
	assert.NilError(t, err)
	_, err = os.Stat(filepath.Join(bin, "catkinvalved"))
	assert.NilError(t, err, "run make build first")
	for seed, cause := range soakSeeds {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			var out bytes.Buffer
			rep, err := Run(context.Background(), Options{Bin: bin, Seconds: 20, Seed: seed, Rate: DefaultRate, Daemons: DefaultDaemons, Workers: DefaultWorkers, Out: &out})
			rep.Print(&out)
			if err != nil || len(rep.Violations) > 0 {
				t.Fatalf("%s: %v\n%s", cause, err, out.String())
			}
			assert.Assert(t, rep.Accepted > 60, "%d jobs accepted", rep.Accepted)
			assert.Assert(t, len(rep.Faults) > 8, "%v", rep.Faults)
		})
	}
}
