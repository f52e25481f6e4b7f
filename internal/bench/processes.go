package bench

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"catkinvalve/internal/testbed"
)

// clockTicks is USER_HZ, the number of ticks per second of CPU times in /proc.
const clockTicks = 100

// processUsage holds the resources that a daemon has used since its start.
type processUsage struct {
	cpuTicks   int64
	residentMB float64
	// bytes counts the bytes sent and received on connections that the daemon
	// opened, by the names in byteCounters.
	bytes map[string]int64
}

// window holds what the cluster used during a measurement.
type window struct {
	seconds float64
	// cpu is in percent of a core and resident in MB at the end of the window,
	// both by daemon.
	cpu, resident map[string]float64
	// bytes is in bytes per second, by the names in byteCounters.
	bytes                  map[string]float64
	appends, appendedBytes float64
	starts                 int64
	owners                 map[string]bool
}

// window measures the daemons and the log while run is executed.
func (m *controlRun) window(ctx context.Context, run func() error) (window, error) {
	before, appends, logBytes, starts, err := m.snapshot(ctx)
	if err != nil {
		return window{}, err
	}
	startTime := time.Now()
	if err := run(); err != nil {
		return window{}, err
	}
	w := window{seconds: time.Since(startTime).Seconds(), cpu: map[string]float64{}, resident: map[string]float64{}, bytes: map[string]float64{}, owners: map[string]bool{}}
	after, appendsAfter, bytesAfter, startsAfter, err := m.snapshot(ctx)
	if err != nil {
		return window{}, err
	}
	for id, a := range after {
		b := before[id]
		w.cpu[id] = 100 * float64(a.cpuTicks-b.cpuTicks) / clockTicks / w.seconds
		w.resident[id] = a.residentMB
		for scope, n := range a.bytes {
			w.bytes[scope] += float64(n-b.bytes[scope]) / w.seconds
		}
	}
	w.appends, w.appendedBytes = float64(appendsAfter-appends)/w.seconds, float64(bytesAfter-logBytes)/w.seconds
	w.starts = startsAfter - starts
	for _, dc := range m.c.Opts.DCs {
		if id, ok := m.c.Owner(ctx, dc.Name); ok {
			w.owners[id] = true
		}
	}
	return w, nil
}

// snapshot returns the usage of each daemon, the appends and appended bytes of the
// log and the task starts of all workers.
func (m *controlRun) snapshot(ctx context.Context) (map[string]processUsage, int64, int64, int64, error) {
	out := map[string]processUsage{}
	for _, id := range m.c.DaemonIDs {
		u, err := m.usageOf(ctx, m.c.Daemons[id])
		if err != nil {
			return nil, 0, 0, 0, fmt.Errorf("daemon %s: %w", id, err)
		}
		out[id] = u
	}
	var starts int64
	for _, dc := range m.c.Opts.DCs {
		s, err := m.c.WorkerStats(ctx, dc.Name)
		if err != nil {
			return nil, 0, 0, 0, err
		}
		for _, w := range s.Workers {
			starts += w.Starts
		}
	}
	log, err := m.c.LogStats(ctx)
	return out, log.Appends, log.AppendedBytes, starts, err
}

func (m *controlRun) usageOf(ctx context.Context, d *testbed.Daemon) (processUsage, error) {
	var all map[string]map[string]any
	if err := m.c.Admin(ctx, "GET", d.CallerAddr, "/metrics", nil, &all); err != nil {
		return processUsage{}, err
	}
	u := processUsage{bytes: map[string]int64{}}
	for _, scope := range byteCounters {
		for _, direction := range []string{"sent_bytes", "received_bytes"} {
			n, _ := all["peer.client."+scope+"."+direction]["count"].(float64)
			u.bytes[scope] += int64(n)
		}
	}
	var err error
	if u.cpuTicks, err = processorTicks(d.PID()); err != nil {
		return u, err
	}
	u.residentMB, err = residentMB(d.PID())
	return u, err
}

// byteCounters are the parts of the metric names that tell the traffic class of a
// peer connection and whether it crosses regions.
var byteCounters = []string{"control.cross_region", "control.same_region", "payload.cross_region", "payload.same_region"}

// processorTicks returns the user and system time of a process in ticks.
func processorTicks(pid int) (int64, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, err
	}
	// Skips the fields up to the process name, which may contain spaces.
	_, rest, ok := strings.Cut(string(data), ") ")
	fields := strings.Fields(rest)
	if !ok || len(fields) < 13 {
		return 0, errors.New("unknown format of /proc stat")
	}
	user, err1 := strconv.ParseInt(fields[11], 10, 64)
	system, err2 := strconv.ParseInt(fields[12], 10, 64)
	return user + system, errors.Join(err1, err2)
}

func residentMB(pid int) (float64, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	for line := range bytes.Lines(data) {
		if f := strings.Fields(string(line)); len(f) > 1 && f[0] == "VmRSS:" {
			kb, err := strconv.ParseFloat(f[1], 64)
			return kb / 1024, err
		}
	}
	return 0, errors.New("no VmRSS in /proc status")
}

// addWindow adds the figures of a window.
func (m *controlRun) addWindow(name string, w window, note string) {
	m.add("control.cross_region_bytes."+name, w.bytes["control.cross_region"], "bytes/s", "control calls between regions, both directions, all daemons; "+note)
	m.add("control.same_region_bytes."+name, w.bytes["control.same_region"], "bytes/s", "heartbeats and replication")
	m.add("payload.cross_region_bytes."+name, w.bytes["payload.cross_region"], "bytes/s", "forwarded calls")
	m.add("payload.same_region_bytes."+name, w.bytes["payload.same_region"], "bytes/s", "forwarded calls")
	m.add("control.appends."+name, w.appends, "appends/s", "all streams")
	m.add("control.appended_bytes."+name, w.appendedBytes, "bytes/s", "")
	// The log is in region klang, and the requests are spread evenly over the data
	// centres, so the appends of penang-a cross regions.
	journal := w.appendedBytes / float64(len(m.c.Opts.DCs))
	m.add("control.cross_region_journal."+name, journal, "bytes/s", "computed: the share of penang-a in the appended bytes")
	m.add("control.cross_region_total."+name, w.bytes["control.cross_region"]+journal, "bytes/s", "control calls and journal, without HTTP headers of the log")
	var cpu, rss float64
	for _, id := range sortedKeys(w.cpu) {
		role := "standby"
		if w.owners[id] {
			role = "owner"
		}
		m.add("control.cpu."+id+"."+name, w.cpu[id], "% of a core", role)
		m.add("control.rss."+id+"."+name, w.resident[id], "MB", role)
		cpu, rss = max(cpu, w.cpu[id]), max(rss, w.resident[id])
	}
	m.add("control.cpu_max."+name, cpu, "% of a core", "")
	m.add("control.rss_max."+name, rss, "MB", "")
}
