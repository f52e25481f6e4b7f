package standin

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"os"
	"syscall"
	"testing"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"catkinvalve/internal/adapters/jsonhttp"
	"catkinvalve/internal/adapters/listclient"
	"catkinvalve/internal/core/model"
	"catkinvalve/internal/standinapi"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// run starts a subcommand. It returns the ready message and a function that
// waits for the subcommand's end and returns its error.
func run(ctx context.Context, t *testing.T, args ...string) (ReadyMessage, func() error) {
	t.Helper()
	r, w := io.Pipe()
	c := NewCommand()
	c.SetArgs(args)
	c.SetOut(w)
	done := make(chan error, 1)
	go func() {
		err := c.ExecuteContext(ctx)
		_ = w.Close() // Close of a pipe always returns nil.
		done <- err
	}()
	line, err := bufio.NewReader(r).ReadBytes('\n')
	assert.NilError(t, err)
	var ready ReadyMessage
	assert.NilError(t, json.Unmarshal(line, &ready))
	return ready, func() error { return <-done }
}

// Checks that every subcommand starts, serves its counters and ends without
// leaving goroutines, and that workers register with the instance list.
func TestSubcommands(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	client, err := jsonhttp.New(jsonhttp.Options{})
	assert.NilError(t, err)
	defer client.Close()
	list, waitList := run(ctx, t, "instances")
	waits := []func() error{waitList}
	for _, args := range [][]string{
		{"log", "--rate", "10", "--retention", "100"},
		{"old"},
		{"worker", "--id", "w", "--count", "10", "--rack", "k", "--data-centre", "dc-a", "--list-admin", "http://" + list.Admin},
	} {
		ready, wait := run(ctx, t, args...)
		waits = append(waits, wait)
		var stats map[string]any
		assert.NilError(t, client.Do(ctx, "GET", "http://"+ready.Admin+"/admin/stats", nil, &stats))
		if args[0] == "worker" {
			assert.Equal(t, len(ready.Workers), 10)
			var info standinapi.WorkerInfo
			assert.NilError(t, client.Do(ctx, "GET", "http://"+ready.Workers["w-9"]+"/v1/worker", nil, &info))
			assert.Equal(t, info.ID, model.WorkerID("w-9"))
			assert.Equal(t, info.Rack, "k-1")
		}
	}
	instances, err := listclient.New(client, list.Listen).Instances(ctx)
	assert.NilError(t, err)
	assert.Equal(t, len(instances), 10)
	cancel()
	for _, wait := range waits {
		assert.NilError(t, wait())
	}
}

// Checks that a stand-in ends on SIGTERM.
func TestSignalStops(t *testing.T) {
	_, wait := run(t.Context(), t, "old")
	assert.NilError(t, syscall.Kill(os.Getpid(), syscall.SIGTERM))
	assert.NilError(t, wait())
}
