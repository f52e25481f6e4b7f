package clientload

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"catkinvalve/internal/testbed"
)

const (
	// readyTimeout bounds the start of a cell, and the time until an ordinary request is
	// answered, also on a busy machine.
	readyTimeout = 40 * time.Second
	pollInterval = 100 * time.Millisecond
)

// daemonProcess is a daemon with the largest values that were seen of it.
type daemonProcess struct {
	*testbed.Process
	// addresses are those of its listeners.
	addresses []string
	// peakMB includes what was received on its connections and not read yet.
	peakMB, peakFiles int
}

// observe updates the largest values.
func (d *daemonProcess) observe() {
	unread := unreadBytes(d.addresses) >> 20
	d.peakMB = max(d.peakMB, memoryMB(d.PID(), "VmHWM:"), memoryMB(d.PID(), "VmRSS:")+unread)
	files, _ := os.ReadDir(procPath(d.PID(), "fd"))
	d.peakFiles = max(d.peakFiles, len(files))
}

// bounds are the limits in the settings of all daemons of a cell.
type bounds struct{ memoryMB, maxFiles int }

// Limits that are low, so that a small crowd shows a missing one. With manyFiles, memory limits the
// connections and not descriptors.
var (
	lowered   = bounds{memoryMB: 96, maxFiles: 500}
	manyFiles = bounds{memoryMB: 96, maxFiles: 4_200}
)

// watch observes the daemons until the returned function is called.
func watch(daemons []*daemonProcess) (stop func()) {
	done := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() {
		for {
			for _, d := range daemons {
				d.observe()
			}
			select {
			case <-done:
				return
			case <-time.After(pollInterval):
			}
		}
	})
	return func() { close(done); wg.Wait() }
}

// check checks that each daemon is alive and has kept the bounds.
func (b bounds) check(t *testing.T, daemons []*daemonProcess) {
	t.Helper()
	for _, d := range daemons {
		t.Logf("%s: peak memory %d MB, descriptors %d", d.Name, d.peakMB, d.peakFiles)
		if !d.Alive() {
			t.Errorf("%s has ended", d.Name)
		}
		if d.peakMB > b.memoryMB {
			t.Errorf("%s used %d MB of memory, more than its %d MB", d.Name, d.peakMB, b.memoryMB)
		}
		if d.peakFiles > b.maxFiles {
			t.Errorf("%s had %d descriptors open, more than its %d", d.Name, d.peakFiles, b.maxFiles)
		}
	}
}

func procPath(pid int, file string) string { return filepath.Join("/proc", strconv.Itoa(pid), file) }

// memoryMB returns a value of the status of a process in MiB, and 0 if the process has ended.
func memoryMB(pid int, name string) int {
	status, _ := os.ReadFile(procPath(pid, "status"))
	for line := range strings.Lines(string(status)) {
		if rest, found := strings.CutPrefix(line, name); found {
			kb, _ := strconv.Atoi(strings.Fields(rest)[0])
			return kb >> 10
		}
	}
	return 0
}

// unreadBytes returns what the kernel holds for connections to the given IPv4 addresses.
func unreadBytes(addresses []string) int {
	const listening = "0A"
	table, _ := os.ReadFile("/proc/net/tcp")
	total := 0
	for line := range strings.Lines(string(table)) {
		var slot, local, remote, state string
		var sent, received int
		_, err := fmt.Sscanf(line, "%s %s %s %s %x:%x", &slot, &local, &remote, &state, &sent, &received)
		if err == nil && state != listening && slices.Contains(addresses, tableAddress(local)) {
			total += received
		}
	}
	return total
}

// tableAddress converts an address from the kernel's table of connections, in which the bytes of
// the IP address are in reverse order.
func tableAddress(text string) string {
	var ip, port uint32
	_, _ = fmt.Sscanf(text, "%x:%x", &ip, &port) // The heading of the table has no address.
	return fmt.Sprintf("%d.%d.%d.%d:%d", ip&0xff, ip>>8&0xff, ip>>16&0xff, ip>>24, port)
}

// await repeats try until it succeeds or readyTimeout has passed, and returns its last error.
func await(try func() error) error {
	err := fmt.Errorf("not tried")
	for deadline := time.Now().Add(readyTimeout); err != nil && time.Now().Before(deadline); {
		if err = try(); err != nil {
			time.Sleep(pollInterval)
		}
	}
	return err
}
