package testbed

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"syscall"
	"time"

	"catkinvalve/internal/adapters/jsonhttp"
	"catkinvalve/internal/api"
	"catkinvalve/internal/core/model"
	"catkinvalve/internal/ports"
	"catkinvalve/internal/settings"
	"catkinvalve/internal/standin"
	"catkinvalve/internal/standinapi"
)

// DC describes one data centre of a test cluster.
type DC struct {
	Name, Region     string
	Workers, Daemons int
}

// Options configure a test cluster.
type Options struct {
	// Bin is the directory of the built programs.
	Bin string
	// Dir is the directory for settings and logs; the caller removes it.
	Dir string
	DCs []DC
	// Capacity is the size of each worker.
	Capacity model.Size
	// LogRate and Retention configure the log stand-in; 0 means 300 and 100000
	// records per stream.
	LogRate   float64
	Retention int
	// ListLag is the delay of changes in the instance list.
	ListLag time.Duration
	// UsageLag is the age of the workers' usage reports; 0 means 2 s.
	UsageLag time.Duration
	// TaskGrace, LeaseTTL and SettleTime replace the daemons' timings. 0 keeps the
	// default, which is 200 ms for SettleTime in a test cluster.
	TaskGrace, LeaseTTL, SettleTime time.Duration
	// LogLevel is that of the daemons; empty means info.
	LogLevel string
}

// Daemon is one catkinvalved process.
type Daemon struct {
	*Process
	ID, DataCentre, Region string
	// CallerAddr and PeerAddr are listen addresses; Fault is the address for fault
	// injection.
	CallerAddr, PeerAddr, Fault string
	// settings is the path of the daemon's settings file.
	settings string
}

// Cluster is a running test cluster.
type Cluster struct {
	Opts Options
	// Log, List and Old hold the addresses of the stand-ins, Workers those of the
	// workers of each data centre.
	Log     standin.ReadyMessage
	List    standin.ReadyMessage
	Old     standin.ReadyMessage
	Workers map[string]standin.ReadyMessage
	Daemons map[string]*Daemon
	// DaemonIDs lists the daemons in the order in which they were added.
	DaemonIDs   []string
	standins    map[string]*Process
	adminClient *jsonhttp.Client
}

// Start starts the stand-ins and the daemons. It waits for the addresses of the
// stand-ins but not for the daemons. On failure it stops what it started.
func Start(ctx context.Context, o Options) (*Cluster, error) {
	client, err := jsonhttp.New(jsonhttp.Options{Timeout: 10 * time.Second})
	if err != nil {
		return nil, err
	}
	c := &Cluster{Opts: o, Workers: map[string]standin.ReadyMessage{}, Daemons: map[string]*Daemon{}, standins: map[string]*Process{}, adminClient: client}
	if err := c.start(ctx); err != nil {
		_ = c.Stop()
		return nil, err
	}
	return c, nil
}

func (c *Cluster) start(ctx context.Context) error {
	o := c.Opts
	rate, retention := o.LogRate, o.Retention
	if rate == 0 {
		rate = 300
	}
	if retention == 0 {
		retention = 100000
	}
	var err error
	if c.Log, err = c.standin("log", "log", "--rate", fmt.Sprint(rate), "--retention", strconv.Itoa(retention)); err != nil {
		return err
	}
	if c.List, err = c.standin("instances", "instances", "--lag", o.ListLag.String()); err != nil {
		return err
	}
	if c.Old, err = c.standin("old", "old"); err != nil {
		return err
	}
	for _, dc := range o.DCs {
		if err := c.startWorkers(dc); err != nil {
			return err
		}
		for i := range dc.Daemons {
			if err := c.AddDaemon(ctx, dc, fmt.Sprintf("%s-%d", dc.Name, i)); err != nil {
				return err
			}
		}
	}
	return nil
}

// standin starts the stand-in with the given arguments; Stop ends it.
func (c *Cluster) standin(name string, args ...string) (standin.ReadyMessage, error) {
	p, ready, err := startStandin(c.Opts.Bin, c.Opts.Dir, name, args...)
	if err == nil {
		c.standins[name] = p
	}
	return ready, err
}

// startWorkers starts one stand-in process with all workers of a data centre.
func (c *Cluster) startWorkers(dc DC) error {
	s := c.Opts.Capacity
	lag := c.Opts.UsageLag
	if lag == 0 {
		lag = 2 * time.Second
	}
	ready, err := c.standin("workers-"+dc.Name, "worker", "--id", dc.Name+"-w", "--count", strconv.Itoa(dc.Workers),
		"--data-centre", dc.Name, "--region", dc.Region, "--rack", dc.Name+"-r", "--list-admin", "http://"+c.List.Admin,
		"--milli-cpu", fmt.Sprint(s.MilliCPU), "--mem-mb", fmt.Sprint(s.MemMB), "--accel", fmt.Sprint(s.Accel),
		"--slots", fmt.Sprint(s.Slots), "--conns", fmt.Sprint(s.Conns), "--usage-lag", lag.String())
	c.Workers[dc.Name] = ready
	return err
}

// AddDaemon adds a daemon to the instance list and starts its process.
func (c *Cluster) AddDaemon(ctx context.Context, dc DC, id string) error {
	d := &Daemon{ID: id, DataCentre: dc.Name, Region: dc.Region, settings: filepath.Join(c.Opts.Dir, id+".jsonc")}
	for _, addr := range []*string{&d.CallerAddr, &d.PeerAddr, &d.Fault} {
		var err error
		if *addr, err = freeAddr(); err != nil {
			return err
		}
	}
	if err := c.writeSettings(d); err != nil {
		return err
	}
	if err := c.SetInstance(ctx, c.daemonInstance(d, ports.StateLive)); err != nil {
		return err
	}
	c.Daemons[id] = d
	c.DaemonIDs = append(c.DaemonIDs, id)
	return c.Restart(id)
}

func (c *Cluster) daemonInstance(d *Daemon, s ports.InstanceState) ports.Instance {
	return ports.Instance{ID: d.ID, Kind: ports.KindDaemon, Addr: d.PeerAddr, DataCentre: model.DataCentre(d.DataCentre), Region: d.Region, State: s}
}

func (c *Cluster) writeSettings(d *Daemon) error {
	timings := map[string]string{"settle_time": "200ms"}
	if ttl := c.Opts.LeaseTTL; ttl > 0 && ttl < settings.DefaultLeaseTTL {
		// The settings require at least three renewals and two heartbeats within a lease
		// TTL.
		timings["renew_interval"] = min(ttl/3, settings.DefaultRenewInterval).String()
		timings["heartbeat_interval"] = min(ttl/4, settings.DefaultHeartbeatInterval).String()
	}
	for name, v := range map[string]time.Duration{"lease_ttl": c.Opts.LeaseTTL, "task_grace": c.Opts.TaskGrace, "settle_time": c.Opts.SettleTime} {
		if v > 0 {
			timings[name] = v.String()
		}
	}
	level := c.Opts.LogLevel
	if level == "" {
		level = "info"
	}
	data, err := json.MarshalIndent(map[string]any{
		"daemon_id": d.ID, "data_centre": d.DataCentre, "region": d.Region,
		"addresses": map[string]string{"caller_listen": d.CallerAddr, "peer_listen": d.PeerAddr, "fault_listen": d.Fault},
		"platform":  map[string]string{"log": c.Log.Listen, "instances": c.List.Listen, "old": c.Old.Listen},
		"timings":   timings, "log_level": level,
	}, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(d.settings, data, 0o600)
}

// Restart starts a new process of a daemon, which has no state of an earlier one. The
// earlier process must have ended.
func (c *Cluster) Restart(id string) error {
	d := c.Daemons[id]
	p, out, err := startProcess(c.Opts.Bin, c.Opts.Dir, id, "catkinvalved", "--settings", d.settings)
	if err != nil {
		return err
	}
	p.reap(out)
	d.Process = p
	return nil
}

// Stop kills the daemons, terminates the stand-ins and returns the errors of the latter.
func (c *Cluster) Stop() error {
	var errs []error
	for _, d := range c.Daemons {
		if d.Process != nil {
			_ = d.Signal(syscall.SIGCONT)
			_ = d.Kill()
		}
	}
	for _, p := range c.standins {
		errs = append(errs, p.Terminate(10*time.Second))
	}
	c.adminClient.Close()
	return errors.Join(errs...)
}

// Client returns an API client for the given daemons, or for all if none is given.
func (c *Cluster) Client(ids ...string) (*api.Client, error) {
	if len(ids) == 0 {
		ids = c.DaemonIDs
	}
	var servers []string
	for _, id := range ids {
		servers = append(servers, "http://"+c.Daemons[id].CallerAddr)
	}
	return api.NewClient(servers)
}

// Servers returns the base URLs for callers of all daemons.
func (c *Cluster) Servers() []string {
	var out []string
	for _, id := range c.DaemonIDs {
		out = append(out, "http://"+c.Daemons[id].CallerAddr)
	}
	return out
}

// Admin sends a request to an HTTP server of the cluster, such as a stand-in's admin
// port. It encodes in as JSON and decodes the response into out; nil omits either.
func (c *Cluster) Admin(ctx context.Context, method, addr, path string, in, out any) error {
	return c.adminClient.Do(ctx, method, "http://"+addr+path, in, out)
}

// Fault injects a fault through a stand-in's admin port or a daemon's fault port.
func (c *Cluster) Fault(ctx context.Context, addr string, fault any) error {
	return c.Admin(ctx, "POST", addr, "/admin/fault", fault, nil)
}

// SetInstance creates or replaces an entry of the instance list.
func (c *Cluster) SetInstance(ctx context.Context, i ports.Instance) error {
	return c.Admin(ctx, "PUT", c.List.Admin, "/admin/instances/"+i.ID, i, nil)
}

// RemoveInstance deletes an entry of the instance list.
func (c *Cluster) RemoveInstance(ctx context.Context, id string) error {
	return c.Admin(ctx, "DELETE", c.List.Admin, "/admin/instances/"+id, nil, nil)
}

// WorkerStats returns the counters of all workers of a data centre.
func (c *Cluster) WorkerStats(ctx context.Context, dc string) (standinapi.FleetStats, error) {
	var s standinapi.FleetStats
	err := c.Admin(ctx, "GET", c.Workers[dc].Admin, "/admin/stats", nil, &s)
	return s, err
}

// OldStats returns the counters of the old system.
func (c *Cluster) OldStats(ctx context.Context) (standinapi.OldStats, error) {
	var s standinapi.OldStats
	err := c.Admin(ctx, "GET", c.Old.Admin, "/admin/stats", nil, &s)
	return s, err
}

// LogStats returns the counters of the log.
func (c *Cluster) LogStats(ctx context.Context) (standinapi.LogStats, error) {
	var s standinapi.LogStats
	err := c.Admin(ctx, "GET", c.Log.Admin, "/admin/stats", nil, &s)
	return s, err
}

// Owner returns the ID of the daemon that owns a data centre, as reported by the data
// centre's daemons, and false if none is known.
func (c *Cluster) Owner(ctx context.Context, dc string) (string, bool) {
	st, ok := c.Status(ctx, dc)
	return st.Owner, ok && st.Owner != ""
}

// Status returns the state of a data centre as reported by one of its daemons,
// preferably by one that knows the owner. It returns false if none of
// them reports the data centre as reachable.
func (c *Cluster) Status(ctx context.Context, dc string) (api.DataCentreStatus, bool) {
	var seen api.DataCentreStatus
	found := false
	for _, id := range c.DaemonIDs {
		d := c.Daemons[id]
		if d.DataCentre != dc || d.Process == nil || !d.Alive() {
			continue
		}
		cl, err := c.Client(id)
		if err != nil {
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, 2*time.Second)
		s, err := cl.Status(callCtx)
		cancel()
		if err != nil {
			continue
		}
		for _, st := range s.DataCentres {
			if string(st.DataCentre) == dc && st.Reachable {
				seen, found = st, true
			}
		}
		if seen.Owner != "" {
			return seen, true
		}
	}
	return seen, found
}

// WaitFor polls a condition until it holds. It returns an error that names what it
// waited for once limit has passed, or the error of ctx.
func WaitFor(ctx context.Context, limit time.Duration, what string, cond func() bool) error {
	deadline := time.Now().Add(limit)
	for !cond() {
		if time.Now().After(deadline) {
			return fmt.Errorf("%s: not within %s", what, limit)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(30 * time.Millisecond):
		}
	}
	return nil
}

// WaitOwners waits up to limit for each data centre until it has an owner that is not
// in doubt, that is, one with complete records.
func (c *Cluster) WaitOwners(ctx context.Context, limit time.Duration) error {
	for _, dc := range c.Opts.DCs {
		if err := WaitFor(ctx, limit, "owner of "+dc.Name, func() bool {
			st, _ := c.Status(ctx, dc.Name)
			return st.Owner != "" && !st.InDoubt
		}); err != nil {
			return err
		}
	}
	return nil
}

// Publish publishes a text on the current revision and repeats failed attempts for up to
// startTimeout.
func (c *Cluster) Publish(ctx context.Context, text string) (api.PublishResult, error) {
	cl, err := c.Client()
	if err != nil {
		return api.PublishResult{}, err
	}
	id := fmt.Sprintf("testbed-%d", time.Now().UnixNano())
	var res api.PublishResult
	var last error
	err = WaitFor(ctx, startTimeout, "publication", func() bool {
		doc, err := cl.Config(ctx)
		if err == nil {
			res, err = cl.Publish(ctx, api.PublishRequest{PublishID: id, Base: doc.Revision, Text: text, Author: "testbed"})
		}
		last = err
		return err == nil
	})
	if err != nil {
		return res, errors.Join(err, last)
	}
	return res, nil
}
