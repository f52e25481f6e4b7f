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
	// FirstPort to LastPort is the port range for calls between daemons.
	FirstPort, LastPort int
	// Seeds are addresses of other daemons in the form IP:port. They may be outdated.
	Seeds []string
	// CallerAddress is the listen address for requests of callers. ReadinessAddress is
	// the one at which the load balancer checks whether to send requests.
	CallerAddress    string
	ReadinessAddress string
	StoreAddress     string
	// AdviceAddress is empty when there is no advice service.
	AdviceAddress string
	// CPUShare is the share of a CPU core that the daemon may use.
	CPUShare float64
	// LinkMbps is the bandwidth of the instance's network link in Mbit/s; 0 when not
	// known.
	LinkMbps float64
	// MemoryMB is the memory that the process may use.
	MemoryMB int64
	// MaxFiles is the limit of open file descriptors of the process; 0 when not known.
	MaxFiles int
	Bounds   Bounds
}

// Bounds are the time limits of the deployment.
type Bounds struct {
	// MaxLease is the longest lease that a worker grants.
	MaxLease time.Duration
	// StopTimeout is the longest time that a worker takes to stop a task.
	StopTimeout time.Duration
	// GangTimeout is how long the tasks of a gang wait for the others to start.
	GangTimeout time.Duration
	// ShutdownGrace is the time between SIGTERM and SIGKILL.
	ShutdownGrace time.Duration
	// StatusRetention is how long callers can read the state of an ended job.
	StatusRetention time.Duration
}

// SettingsError is an invalid or missing setting. Field names the setting, Detail says what
// is wrong and Remedy what to do.
type SettingsError struct {
	Field  string
	Detail string
	Remedy string
}

// Error implements the error interface.
func (e *SettingsError) Error() string {
	return fmt.Sprintf("%s: settings: %s %s; %s", fault.Malformed, e.Field, e.Detail, e.Remedy)
}

// LinkPort returns the port for the links between daemons, which is the same for all
// daemons of the cell.
func (s *Settings) LinkPort() int { return s.FirstPort }

// LinkAddress returns the address to which other daemons open links.
func (s *Settings) LinkAddress() string { return joinPort(s.IP, s.LinkPort()) }

// MetricsAddress returns the listen address for the daemon's metrics.
func (s *Settings) MetricsAddress() string { return joinPort(s.IP, MetricsPort) }

// MetricsPort is the port of the metrics on every instance.
const MetricsPort = 9464

func joinPort(ip string, port int) string { return net.JoinHostPort(ip, fmt.Sprint(port)) }

// SeedLinkAddresses returns the link addresses of the daemons in Seeds, without this
// daemon and without invalid addresses.
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

// Validate returns a *SettingsError for each invalid setting.
func (s *Settings) Validate() []error {
	var errs []error
	add := func(field, detail, remedy string) {
		errs = append(errs, &SettingsError{field, detail, remedy})
	}
	if s.Node == "" {
		add("node name", "is missing", "set it to a name that no other daemon has")
	}
	if net.ParseIP(s.IP) == nil {
		add("ip", fmt.Sprintf("%q is not an IP address", s.IP), "set it to the address of the instance")
	}
	if s.FirstPort <= 0 || s.LastPort < s.FirstPort || s.LastPort > 65535 {
		add("internal ports", fmt.Sprintf("%d to %d is not a port range", s.FirstPort, s.LastPort), "set the first and the last port, from 1 to 65535")
	}
	for field, address := range map[string]string{"caller address": s.CallerAddress, "readiness address": s.ReadinessAddress, "store address": s.StoreAddress} {
		if _, _, err := net.SplitHostPort(address); err != nil {
			add(field, fmt.Sprintf("%q is not of the form IP:port", address), "set it to an IP address and a port")
		}
	}
	for field, d := range map[string]time.Duration{"longest lease": s.Bounds.MaxLease, "stop timeout": s.Bounds.StopTimeout,
		"gang timeout": s.Bounds.GangTimeout, "shutdown grace": s.Bounds.ShutdownGrace, "status retention": s.Bounds.StatusRetention} {
		if d <= 0 {
			add(field, "is missing or not positive", "set it to a positive number")
		}
	}
	return errs
}
