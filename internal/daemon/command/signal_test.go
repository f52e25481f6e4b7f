package command

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"catkinvalve/platform"
)

// daemonEnv makes the test binary run as the daemon.
const daemonEnv = "CATKINVALVE_TEST_DAEMON"

// processTimeout bounds each step of a started process, also on a busy machine.
const processTimeout = 20 * time.Second

func TestMain(m *testing.M) {
	if os.Getenv(daemonEnv) != "" {
		os.Exit(Main())
	}
	os.Exit(m.Run())
}

// startingDaemon is a daemon that blocks while it reads its settings from a named pipe.
type startingDaemon struct {
	cmd    *exec.Cmd
	output *strings.Builder
	// settings is the writing end of the pipe.
	settings *os.File
}

// startBlocked starts a daemon and returns when it has opened its settings. The argument
// PIPE stands for their path.
func startBlocked(t *testing.T, args ...string) *startingDaemon {
	pipe := filepath.Join(t.TempDir(), "settings")
	assert.NilError(t, syscall.Mkfifo(pipe, 0o600))
	for i := range args {
		args[i] = strings.ReplaceAll(args[i], "PIPE", pipe)
	}
	d := &startingDaemon{cmd: exec.Command(os.Args[0], args...), output: &strings.Builder{}}
	d.cmd.Env = append(os.Environ(), daemonEnv+"=1", platform.SettingsPathEnv+"="+pipe)
	d.cmd.Stdout, d.cmd.Stderr = d.output, d.output
	assert.NilError(t, d.cmd.Start())
	t.Cleanup(func() { _ = d.cmd.Process.Kill() }) // It has ended unless the test failed.
	opened := make(chan error, 1)
	go func() {
		var err error
		d.settings, err = os.OpenFile(pipe, os.O_WRONLY, 0)
		opened <- err
	}()
	select {
	case err := <-opened:
		assert.NilError(t, err)
	case <-time.After(processTimeout):
		t.Fatal("the daemon does not open its settings")
	}
	t.Cleanup(func() { _ = d.settings.Close() }) // Some tests close it.
	return d
}

// exit waits for the end of the process and returns its exit code, -1 if a signal ended
// it.
func (d *startingDaemon) exit(t *testing.T) int {
	t.Helper()
	ended := make(chan error, 1)
	go func() { ended <- d.cmd.Wait() }()
	select {
	case <-ended:
	case <-time.After(processTimeout):
		t.Fatal("the daemon does not end")
	}
	t.Logf("%v: %s", d.cmd.ProcessState, d.output)
	return d.cmd.ProcessState.ExitCode()
}

// Guards against a daemon that a signal kills, instead of ending it with exit code 0,
// because it handles signals only after it has read its settings.
func TestSignalWhileStartingEndsDaemonCleanly(t *testing.T) {
	for name, args := range map[string][]string{"own settings": {"--settings", "PIPE"}, "platform": {"--platform"}} {
		for _, signal := range []syscall.Signal{syscall.SIGTERM, syscall.SIGINT} {
			t.Run(name+", "+signal.String(), func(t *testing.T) {
				t.Parallel()
				d := startBlocked(t, append([]string(nil), args...)...)
				assert.NilError(t, d.cmd.Process.Signal(signal))
				assert.Equal(t, d.exit(t), exitOK)
			})
		}
	}
}

// Guards against a check of settings that reports them as valid because a signal ended
// it.
func TestSignalDuringCheckIsNoSuccess(t *testing.T) {
	for name, args := range map[string][]string{"own settings": {"--settings", "PIPE", "--check"}, "platform": {"--platform", "--check"}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := startBlocked(t, append([]string(nil), args...)...)
			assert.NilError(t, d.cmd.Process.Signal(syscall.SIGTERM))
			assert.Equal(t, d.exit(t), exitFailure)
		})
	}
}

// Guards against a daemon that SIGHUP, which makes it read its settings again, kills
// while it reads them for the first time.
func TestHangupWhileStartingIsNoFailure(t *testing.T) {
	d := startBlocked(t, "--platform")
	assert.NilError(t, d.cmd.Process.Signal(syscall.SIGHUP))
	_, err := d.settings.WriteString("no settings")
	assert.NilError(t, err)
	assert.NilError(t, d.settings.Close())
	assert.Equal(t, d.exit(t), exitSettings)
}

// Guards against a daemon that listens, and thereby gets callers, after a signal to stop.
func TestNoListeningAfterSignal(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err := openListener(ctx, "127.0.0.1:0")
	assert.ErrorIs(t, err, errStopped)
}
