package cellsoak

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards the rules of the platform under faults with real processes: nothing
// lost, doubled, overloaded, started unasked or after a refusal.
func TestCellSoak(t *testing.T) {
	bin, err := filepath.Abs("../../bin")
	assert.NilError(t, err)
	_, err = os.Stat(filepath.Join(bin, "catkinvalved"))
	assert.NilError(t, err, "run make build first")
	var out bytes.Buffer
	rep, err := Run(context.Background(), Options{Bin: bin, Seconds: 20, Seed: 1, Rate: DefaultRate, Daemons: DefaultDaemons, Workers: DefaultWorkers, Out: &out})
	rep.Print(&out)
	if err != nil || len(rep.Violations) > 0 {
		t.Fatalf("%v\n%s", err, out.String())
	}
	assert.Assert(t, rep.Accepted > 60, "%d jobs accepted", rep.Accepted)
	assert.Assert(t, len(rep.Faults) > 8, "%v", rep.Faults)
}
