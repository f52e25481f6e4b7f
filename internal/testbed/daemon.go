package testbed

import (
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"time"

	"catkinvalve/internal/core/model"
	"catkinvalve/internal/ports"
	"catkinvalve/internal/settings"
)

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
	limits := map[string]int{}
	if c.Opts.MemoryMB > 0 {
		limits["memory_mb"] = c.Opts.MemoryMB
	}
	if c.Opts.MaxFiles > 0 {
		limits["max_files"] = c.Opts.MaxFiles
	}
	level := c.Opts.LogLevel
	if level == "" {
		level = "info"
	}
	data, err := json.MarshalIndent(map[string]any{
		"daemon_id": d.ID, "data_centre": d.DataCentre, "region": d.Region,
		"addresses": map[string]string{"caller_listen": d.CallerAddr, "peer_listen": d.PeerAddr, "fault_listen": d.Fault},
		"platform":  map[string]string{"log": c.Log.Listen, "instances": c.List.Listen, "old": c.Old.Listen},
		"timings":   timings, "limits": limits, "log_level": level,
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
