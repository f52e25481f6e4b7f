package cellsoak

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"catkinvalve/internal/cell"
	"catkinvalve/internal/core/model"
	"catkinvalve/internal/faultproxy"
	"catkinvalve/internal/testbed"
	"catkinvalve/platform"
)

const (
	// startLogTimeout bounds the time from the start of a process until it has logged its
	// start, also on a busy machine.
	startLogTimeout = 20 * time.Second
	// startLogPollInterval is the interval at which the log is read until then.
	startLogPollInterval = 2 * time.Millisecond
)

// soakDaemon is a daemon process with the proxy in front of its connections to the store.
type soakDaemon struct {
	process      *testbed.Process
	settings     cell.Settings
	settingsPath string
	proxy        *faultproxy.Proxy
	// starts counts the starts of the process.
	starts int
	// logOffset is the size of the log file when the process was started.
	logOffset int64
	// reserved is set while a fault acts on the process.
	reserved bool
}

// checkDaemons adds a violation for each daemon that does not run or does not know the
// newest configuration.
func (c *soakCell) checkDaemons(ctx context.Context) {
	newest := extraPrefix(c.config.Version)
	caller := &c.caller
	if c.tenants != nil {
		caller = c.callerOf(c.tenants.list[0].Name)
	}
	for _, d := range c.daemons {
		if !d.process.Alive() {
			c.addViolation("FAULT: %s ended by itself", d.settings.Node)
			continue
		}
		verdict, _, err := caller.State(ctx, d.settings.CallerAddress, newest, fmt.Sprintf("%016x", 0))
		if err != nil || verdict != cell.VerdictNoJob {
			c.addViolation("CONFIG: %s answers a request for a route of the newest version with verdict %d, %v", d.settings.Node, verdict, err)
		}
	}
}

// addDaemon starts daemon i of the given number of daemons.
func (c *soakCell) addDaemon(i, daemons int) error {
	ip := func(subnet, n int) string { return fmt.Sprintf("127.%d.%d.%d", c.network, subnet, n+1) }
	d := &soakDaemon{}
	var err error
	if d.proxy, err = faultproxy.Listen(c.address(daemonSubnet, i, proxyPort), c.address(storeSubnet, 0, serverPort)); err != nil {
		return err
	}
	c.close = append(c.close, d.proxy.Close)
	dc := []model.DataCentre{"north-a", "north-b", "south-a"}[i%3]
	d.settings = cell.Settings{
		Node: fmt.Sprintf("daemon-%d", i), IP: ip(daemonSubnet, i), DataCentre: dc, Region: "north",
		Regions: map[model.DataCentre]string{"north-a": "north", "north-b": "north", "south-a": "south"}, FirstPort: linkPort, LastPort: linkPort + 15,
		CallerAddress: c.address(daemonSubnet, i, callerPort), ReadinessAddress: c.address(daemonSubnet, i, readinessPort),
		StoreAddress: d.proxy.Address(), AdviceAddress: c.address(storeSubnet, 1, serverPort), CPUShare: 0.5, LinkMbps: 1000, MemoryMB: 284,
		Bounds: cell.Bounds{MaxLease: leaseMax, StopTimeout: 400 * time.Millisecond, GangTimeout: gangTimeout,
			ShutdownGrace: 5 * time.Second, StatusRetention: 2 * time.Minute},
	}
	for n := range min(daemons, 3) {
		d.settings.Seeds = append(d.settings.Seeds, fmt.Sprintf("%s:8166", ip(daemonSubnet, n)))
	}
	d.settingsPath = filepath.Join(c.dir, d.settings.Node+".toml")
	c.daemons = append(c.daemons, d)
	return c.startDaemon(d)
}

// startDaemon writes a daemon's settings and starts its process.
func (c *soakCell) startDaemon(d *soakDaemon) error {
	if err := c.writeSettings(d); err != nil {
		return err
	}
	if info, err := os.Stat(c.logPath(d)); err == nil {
		d.logOffset = info.Size()
	}
	var err error
	d.process, err = testbed.StartLogged(c.bin, c.dir, d.settings.Node, "catkinvalved", []string{platform.SettingsPathEnv + "=" + d.settingsPath}, "--platform")
	d.starts++
	return err
}

// logPath returns the path of a daemon's log file.
func (c *soakCell) logPath(d *soakDaemon) string {
	return filepath.Join(c.dir, d.settings.Node+".log")
}

// startEvent is in the line that a daemon logs after it has installed its signal handlers.
var startEvent = []byte(`"event":"start"`)

// awaitStart waits until the daemon's process has logged its start or has ended. A signal
// that arrives while the runtime of the program starts, before main, kills any process.
func (c *soakCell) awaitStart(d *soakDaemon) error {
	for deadline := time.Now().Add(startLogTimeout); d.process.Alive(); time.Sleep(startLogPollInterval) {
		log, err := os.ReadFile(c.logPath(d))
		if err != nil || bytes.Contains(log[d.logOffset:], startEvent) {
			return err
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("%s did not log its start within %s", d.settings.Node, startLogTimeout)
		}
	}
	return nil
}

func (c *soakCell) writeSettings(d *soakDaemon) error {
	data, err := platform.EncodeSettings(&d.settings)
	if err != nil {
		return err
	}
	return os.WriteFile(d.settingsPath, data, 0o600)
}
