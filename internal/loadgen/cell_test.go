package loadgen

import (
	"context"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"catkinvalve/internal/core/model"
	"catkinvalve/internal/testbed"
)

// Guards against a load generator that works only with the fake daemon of its tests: it
// must follow all requests to real daemons until their final fate.
func TestAgainstRealCell(t *testing.T) {
	bin, err := filepath.Abs("../../bin")
	assert.NilError(t, err)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	c, err := testbed.Start(ctx, testbed.Options{
		Bin: bin, Dir: t.TempDir(), DCs: []testbed.DC{{Name: "a", Region: "r", Workers: 3, Daemons: 2}},
		Capacity: model.Size{MilliCPU: 16000, MemMB: 32768, Slots: 8, Conns: 64},
	})
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Stop() })
	_, err = c.Publish(ctx, strings.ReplaceAll(testText, `"run_ms": 1,`, `"run_ms": 1, "new_percent": 100,`))
	assert.NilError(t, err)
	assert.NilError(t, c.WaitOwners(ctx, 30*time.Second))
	o := options()
	o.Servers, o.Rate, o.Count, o.RunMS, o.FateTimeout = c.Servers(), 200, 200, 5, 30*time.Second
	res, err := Run(ctx, o)
	assert.NilError(t, err)
	assert.Equal(t, res.Completed, 200, "%+v", res)
	assert.Equal(t, res.Fates[model.Done], 200, "%+v", res)
	assert.Equal(t, res.WrongAnswers+res.Unfinished, 0, "%+v", res)
	assert.Equal(t, len(res.Rows), 2)
}
