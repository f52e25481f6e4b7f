// Package testbed starts the stand-ins and the daemons as separate processes on loopback
// and injects faults into them. The demo, the scenarios, the soaks and the bench use it.
// The daemons are the real programs; nothing of them is simulated.
package testbed

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"catkinvalve/internal/standin"
)

// startTimeout bounds the start of one process, also on a busy machine.
const startTimeout = 20 * time.Second

// Process is one running program.
type Process struct {
	Name string
	cmd  *exec.Cmd
	// done is closed once the process has ended; err is its result then.
	done chan struct{}
	err  error
}

// startProcess starts a program from the directory bin. Its standard error is appended
// to a log file in dir. It returns the standard output; the caller must call reap.
func startProcess(bin, dir, name, program string, args ...string) (*Process, io.Reader, error) {
	log, err := openLog(dir, name)
	if err != nil {
		return nil, nil, err
	}
	defer log.Close()
	cmd := command(bin, program, args...)
	cmd.Stderr = log
	out, err := cmd.StdoutPipe()
	if err != nil {
		return nil, nil, err
	}
	p, err := start(cmd, name)
	return p, out, err
}

// StartLogged starts a program from the directory bin with additional environment
// variables. Its output is appended to the log file name.log in dir.
func StartLogged(bin, dir, name, program string, env []string, args ...string) (*Process, error) {
	log, err := openLog(dir, name)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	cmd := command(bin, program, args...)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.Env = append(os.Environ(), env...)
	p, err := start(cmd, name)
	if err != nil {
		return nil, err
	}
	go p.wait()
	return p, nil
}

// openLog opens the log file of a process in dir, to which its output is appended.
func openLog(dir, name string) (*os.File, error) {
	return os.OpenFile(logPath(dir, name), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
}

func logPath(dir, name string) string { return filepath.Join(dir, name+".log") }

// start starts the process of cmd. The caller must see to it that wait is called.
func start(cmd *exec.Cmd, name string) (*Process, error) {
	if err := cmd.Start(); err != nil {
		return nil, fmt.Errorf("start %s: %w; run make build first", filepath.Base(cmd.Path), err)
	}
	return &Process{Name: name, cmd: cmd, done: make(chan struct{})}, nil
}

// wait waits for the end of the process and records its result.
func (p *Process) wait() {
	p.err = p.cmd.Wait()
	close(p.done)
}

// command returns a command whose process is killed when the test process ends, even if
// that is killed itself.
func command(bin, program string, args ...string) *exec.Cmd {
	cmd := exec.Command(filepath.Join(bin, program), args...)
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return cmd
}

// reap waits for the process in the background. It must be called after standard output
// was read as far as needed, since it discards the rest.
func (p *Process) reap(rest io.Reader) {
	go func() {
		_, _ = io.Copy(io.Discard, rest)
		p.wait()
	}()
}

// startStandin starts a stand-in and waits until it has printed its addresses.
func startStandin(bin, dir, name string, args ...string) (*Process, standin.ReadyMessage, error) {
	var ready standin.ReadyMessage
	p, out, err := startProcess(bin, dir, name, "standin", args...)
	if err != nil {
		return nil, ready, err
	}
	reader := bufio.NewReader(out)
	decoded := make(chan error, 1)
	go func() { decoded <- json.NewDecoder(reader).Decode(&ready) }()
	select {
	case err = <-decoded:
	case <-time.After(startTimeout):
		err = errors.New("addresses not printed in time")
	}
	p.reap(reader)
	if err != nil {
		_ = p.Kill()
		return nil, ready, fmt.Errorf("stand-in %s: %w; see %s", name, err, logPath(dir, name))
	}
	return p, ready, nil
}

// Signal sends a signal to the process.
func (p *Process) Signal(s syscall.Signal) error { return p.cmd.Process.Signal(s) }

// Alive reports whether the process is still running.
func (p *Process) Alive() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// Kill kills the process and waits for its end. It does nothing if the process has
// ended.
func (p *Process) Kill() error {
	if !p.Alive() {
		return nil
	}
	_ = p.Signal(syscall.SIGKILL)
	<-p.done
	return nil
}

// Terminate sends SIGTERM, waits up to limit and then kills the process. It returns an
// error if the process had to be killed or ended with an exit code other than 0.
func (p *Process) Terminate(limit time.Duration) error {
	if !p.Alive() {
		return p.err
	}
	_ = p.Signal(syscall.SIGCONT)
	_ = p.Signal(syscall.SIGTERM)
	select {
	case <-p.done:
		return p.err
	case <-time.After(limit):
		_ = p.Kill()
		return fmt.Errorf("%s did not stop within %s", p.Name, limit)
	}
}

// PID returns the process ID.
func (p *Process) PID() int { return p.cmd.Process.Pid }
