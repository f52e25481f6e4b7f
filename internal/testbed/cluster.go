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

// Options describe a test cluster.
type Options struct {
	// Bin is the directory of the built programs.
	Bin string
	// Dir takes settings and logs; the caller removes it.
	Dir string
	DCs []DC
	// Capacity is the size of each worker.
	Capacity model.Size
	// LogRate and Retention configure the log stand-in.
	LogRate   float64
	Retention int
	ListLag   time.Duration
	// UsageLag is the age of the workers' usage reports.
	UsageLag time.Duration
	// TaskGrace, LeaseTTL and SettleTime shorten the daemons' timings; 0 keeps the default.
	TaskGrace, LeaseTTL, SettleTime time.Duration
	LogLevel                        string
}

// Daemon is one catkinvalved process.
type Daemon struct {
	*Process
	ID, DataCentre, Region string
	Callers, Peers, Fault  string
	settings               string
}

// Cluster is a running test cluster.
type Cluster struct {
	Opts    Options
	Log     standin.ReadyMessage
	List    standin.ReadyMessage
	Old     standin.ReadyMessage
	Workers map[string]standin.ReadyMessage
	Daemons map[string]*Daemon
	// Order lists the daemons by ID in order of start.
	Order []string
	procs map[string]*Process
	http  *jsonhttp.Client
}

// Start runs the stand-ins and daemons and waits until all daemons answer.
func Start(ctx context.Context, o Options) (*Cluster, error) {
	client, err := jsonhttp.New(jsonhttp.Options{Timeout: 10 * time.Second})
	if err != nil {
		return nil, err
	}
	c := &Cluster{Opts: o, Workers: map[string]standin.ReadyMessage{}, Daemons: map[string]*Daemon{}, procs: map[string]*Process{}, http: client}
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

func (c *Cluster) standin(name string, args ...string) (standin.ReadyMessage, error) {
	p, ready, err := startStandin(c.Opts.Bin, c.Opts.Dir, name, args...)
	if err == nil {
		c.procs[name] = p
	}
	return ready, err
}

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

// AddDaemon starts a daemon and lists it.
func (c *Cluster) AddDaemon(ctx context.Context, dc DC, id string) error {
	d := &Daemon{ID: id, DataCentre: dc.Name, Region: dc.Region, settings: filepath.Join(c.Opts.Dir, id+".jsonc")}
	for _, addr := range []*string{&d.Callers, &d.Peers, &d.Fault} {
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
	c.Order = append(c.Order, id)
	return c.Restart(id)
}

func (c *Cluster) daemonInstance(d *Daemon, s ports.InstanceState) ports.Instance {
	return ports.Instance{ID: d.ID, Kind: ports.KindDaemon, Addr: d.Peers, DataCentre: model.DataCentre(d.DataCentre), Region: d.Region, State: s}
}

func (c *Cluster) writeSettings(d *Daemon) error {
	timings := map[string]string{"settle_time": "200ms"}
	if ttl := c.Opts.LeaseTTL; ttl > 0 && ttl < settings.DefaultLeaseTTL {
		// The settings demand at least two of each within a lease TTL.
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
		"addresses": map[string]string{"caller_listen": d.Callers, "peer_listen": d.Peers, "fault_listen": d.Fault},
		"platform":  map[string]string{"log": c.Log.Listen, "instances": c.List.Listen, "old": c.Old.Listen},
		"timings":   timings, "log_level": level,
	}, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(d.settings, data, 0o600)
}

// Restart starts a daemon's process, with nothing kept from an earlier one.
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

// Stop ends all processes: daemons by signal, then the stand-ins.
func (c *Cluster) Stop() error {
	var errs []error
	for _, d := range c.Daemons {
		if d.Process != nil {
			_ = d.Signal(syscall.SIGCONT)
			_ = d.Kill()
		}
	}
	for _, p := range c.procs {
		errs = append(errs, p.Terminate(10*time.Second))
	}
	c.http.Close()
	return errors.Join(errs...)
}

// Client returns an API client of the given daemons, or of all.
func (c *Cluster) Client(ids ...string) (*api.Client, error) {
	if len(ids) == 0 {
		ids = c.Order
	}
	var servers []string
	for _, id := range ids {
		servers = append(servers, "http://"+c.Daemons[id].Callers)
	}
	return api.NewClient(servers)
}

// Servers returns the caller URLs of all daemons.
func (c *Cluster) Servers() []string {
	var out []string
	for _, id := range c.Order {
		out = append(out, "http://"+c.Daemons[id].Callers)
	}
	return out
}

// Admin sends a fault to a stand-in's admin port, or reads from it.
func (c *Cluster) Admin(ctx context.Context, method, addr, path string, in, out any) error {
	return c.http.Do(ctx, method, "http://"+addr+path, in, out)
}

// Fault posts a fault to a stand-in or a daemon's fault port.
func (c *Cluster) Fault(ctx context.Context, addr string, fault any) error {
	return c.Admin(ctx, "POST", addr, "/admin/fault", fault, nil)
}

// SetInstance changes an entry of the instance list.
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

// Owner returns the daemon that owns a data centre as its daemons report it.
func (c *Cluster) Owner(ctx context.Context, dc string) (string, bool) {
	st, ok := c.Status(ctx, dc)
	return st.Owner, ok && st.Owner != ""
}

// Status returns the state of a data centre as its owner reports it, or else as
// any of its daemons does.
func (c *Cluster) Status(ctx context.Context, dc string) (api.DataCentreStatus, bool) {
	var seen api.DataCentreStatus
	found := false
	for _, id := range c.Order {
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

// WaitFor polls a condition until it holds or limit has passed.
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

// WaitOwners waits until every data centre has an owner with a complete memory.
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

// Publish publishes a text on top of the present revision.
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
