package testbed

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"syscall"
	"time"

	"catkinvalve/internal/adapters/jsonhttp"
	"catkinvalve/internal/core/model"
	"catkinvalve/internal/standin"
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
	// MemoryMB and MaxFiles are the memory in MiB and the descriptors in the settings of the
	// daemons; 0 keeps the defaults.
	MemoryMB, MaxFiles int
	// LogLevel is that of the daemons; empty means info.
	LogLevel string
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
