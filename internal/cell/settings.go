package cell

import (
	"fmt"
	"net"
	"time"

	"catkinvalve/internal/core/model"
	"catkinvalve/internal/fault"
)

// Settings are the settings of one daemon on the platform.
type Settings struct {
	Node       string
	IP         string
	DataCentre model.DataCentre
	Region     string
	// Regions maps each data centre to its region.
	Regions map[model.DataCentre]string
	// FirstPort to LastPort are free for calls between daemons.
	FirstPort, LastPort int
	// Seeds are addresses of daemons, which may be out of date.
	Seeds []string
	// CallerAddress takes requests, ReadyAddress tells the balancer whether to
	// send any.
	CallerAddress    string
	ReadinessAddress string
	StoreAddress     string
	// AdviceAddress is empty when there is no advice service.
	AdviceAddress string
	// CPUShare is the part of a core that the daemon may use.
	CPUShare float64
	// LinkMbps is the bandwidth of the machine's network link; 0 when not known.
	LinkMbps float64
	MemoryMB int64
	// MaxFiles is how many descriptors the process may have; 0 when not known.
	MaxFiles int
	Bounds   Bounds
}

// Bounds are the deployment's bounds on times.
type Bounds struct {
	// LeaseMax is the longest lease that a worker grants.
	MaxLease time.Duration
	// StopTimeout is how long a worker takes to stop a task at most.
	StopTimeout time.Duration
	// GangTimeout is how long members of a gang wait for the others.
	GangTimeout time.Duration
	// ShutdownGrace is the time between SIGTERM and SIGKILL.
	ShutdownGrace time.Duration
	// StatusRetention is how long the state of an ended job can be asked for.
	StatusRetention time.Duration
}

// SettingsError is a fault in the settings.
type SettingsError struct {
	Field  string
	Detail string
	Remedy string
}

// Error implements the error interface.
func (e *SettingsError) Error() string {
	return fmt.Sprintf("%s: settings: %s %s; %s", fault.Malformed, e.Field, e.Detail, e.Remedy)
}

// LinkPort is the port for the links between daemons. All daemons use the same.
func (s *Settings) LinkPort() int { return s.FirstPort }

// LinkAddress is where other daemons link to this one.
func (s *Settings) LinkAddress() string { return joinPort(s.IP, s.LinkPort()) }

// MetricsAddress is where the daemon's metrics are served.
func (s *Settings) MetricsAddress() string { return joinPort(s.IP, MetricsPort) }

// MetricsPort is the port of the metrics on every machine.
const MetricsPort = 9464

func joinPort(ip string, port int) string { return net.JoinHostPort(ip, fmt.Sprint(port)) }

// SeedLinks returns the link addresses of the seeds' daemons.
func (s *Settings) SeedLinkAddresses() []string {
	var out []string
	for _, seed := range s.Seeds {
		host, _, err := net.SplitHostPort(seed)
		if err == nil && host != s.IP {
			out = append(out, joinPort(host, s.LinkPort()))
		}
	}
	return out
}

// Validate returns every fault of the settings.
func (s *Settings) Validate() []error {
	var errs []error
	add := func(field, detail, remedy string) {
		errs = append(errs, &SettingsError{field, detail, remedy})
	}
	if s.Node == "" {
		add("node name", "is missing", "state a name that no other daemon has")
	}
	if net.ParseIP(s.IP) == nil {
		add("ip", fmt.Sprintf("%q is not an IP address", s.IP), "state the machine's address")
	}
	if s.FirstPort <= 0 || s.LastPort < s.FirstPort || s.LastPort > 65535 {
		add("internal ports", fmt.Sprintf("%d to %d is not a range of ports", s.FirstPort, s.LastPort), "state the first and the last port")
	}
	for field, address := range map[string]string{"caller address": s.CallerAddress, "readiness address": s.ReadinessAddress, "store address": s.StoreAddress} {
		if _, _, err := net.SplitHostPort(address); err != nil {
			add(field, fmt.Sprintf("%q is not IP:port", address), "state IP and port")
		}
	}
	for field, d := range map[string]time.Duration{"longest lease": s.Bounds.MaxLease, "stop timeout": s.Bounds.StopTimeout,
		"gang timeout": s.Bounds.GangTimeout, "shutdown grace": s.Bounds.ShutdownGrace, "status retention": s.Bounds.StatusRetention} {
		if d <= 0 {
			add(field, "is missing or not positive", "state a positive number")
		}
	}
	return errs
}
