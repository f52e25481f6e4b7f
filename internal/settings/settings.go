// Package settings holds the settings of one daemon: its identity, addresses,
// limits and timings. They are a file in JSON with comments that is read once
// at the start.
package settings

import (
	"time"

	"catkinvalve/internal/core/model"
	"catkinvalve/internal/jsonc"
)

// Settings are the parsed and canonicalized settings. All defaults are filled in.
type Settings struct {
	// DaemonID identifies the daemon among all daemons of the cell.
	DaemonID   string           `json:"daemon_id"`
	DataCentre model.DataCentre `json:"data_centre"`
	Region     string           `json:"region"`
	Addresses  Addresses        `json:"addresses"`
	Platform   Platform         `json:"platform"`
	// Seeds are daemons that are contacted before the instance list is known.
	Seeds   []Seed  `json:"seeds"`
	Limits  Limits  `json:"limits"`
	Timings Timings `json:"timings"`
	// LogLevel is "error", "warn", "info" or "debug".
	LogLevel string `json:"log_level"`
	// CrossRegionBytesPerSecond limits payload traffic to each other region.
	CrossRegionBytesPerSecond int64 `json:"cross_region_bytes_per_second"`
}

// Addresses are the daemon's own addresses as IP:port.
type Addresses struct {
	CallerListen string `json:"caller_listen"`
	PeerListen   string `json:"peer_listen"`
	// AdvertisePeer is where peers connect to; it defaults to PeerListen.
	AdvertisePeer string `json:"advertise_peer"`
	// FaultListen serves fault injection for tests. Leave it out in production.
	FaultListen string `json:"fault_listen"`
}

// Platform holds the addresses of external systems as IP:port.
type Platform struct {
	Log       string `json:"log"`
	Instances string `json:"instances"`
	// Old is empty when there is no old system.
	Old string `json:"old"`
}

// Seed is a peer that is known from the start.
type Seed struct {
	Address    string           `json:"address"`
	DataCentre model.DataCentre `json:"data_centre"`
}

// Limits bound what callers can use.
type Limits struct {
	BodyBytes         int64         `json:"body_bytes"`
	HeaderBytes       int64         `json:"header_bytes"`
	HeaderReadTimeout time.Duration `json:"header_read_timeout"`
	BodyReadTimeout   time.Duration `json:"body_read_timeout"`
	IdleTimeout       time.Duration `json:"idle_timeout"`
	MaxConnections    int           `json:"max_connections"`
	// MaxWait bounds how long one call may wait for a fate.
	MaxWait time.Duration `json:"max_wait"`
}

// Timings are the periods and timeouts of the daemon's duties.
type Timings struct {
	LeaseTTL          time.Duration `json:"lease_ttl"`
	RenewInterval     time.Duration `json:"renew_interval"`
	TaskGrace         time.Duration `json:"task_grace"`
	HeartbeatInterval time.Duration `json:"heartbeat_interval"`
	ListPoll          time.Duration `json:"list_poll"`
	LogPoll           time.Duration `json:"log_poll"`
	// SettleTime is how long a stopping daemon stays reachable after /readyz
	// fails, so that load balancers notice.
	SettleTime time.Duration `json:"settle_time"`
	// ShutdownTimeout bounds the whole shutdown.
	ShutdownTimeout time.Duration `json:"shutdown_timeout"`
}

// Defaults of settings that the file does not state.
const (
	DefaultBodyBytes         = 1 << 20  // 1 MiB
	DefaultHeaderBytes       = 16 << 10 // 16 KiB
	DefaultHeaderReadTimeout = 5 * time.Second
	DefaultBodyReadTimeout   = 10 * time.Second
	DefaultIdleTimeout       = 2 * time.Minute
	DefaultMaxConnections    = 10_000
	DefaultMaxWait           = time.Minute
	DefaultLeaseTTL          = 3 * time.Second
	DefaultRenewInterval     = time.Second
	DefaultTaskGrace         = 30 * time.Second
	DefaultHeartbeatInterval = 500 * time.Millisecond
	DefaultListPoll          = time.Second
	DefaultLogPoll           = 500 * time.Millisecond
	DefaultSettleTime        = 5 * time.Second
	DefaultShutdownTimeout   = 30 * time.Second
	DefaultLogLevel          = "info"
	// DefaultCrossRegionBytesPerSecond lets three daemons send at once over a
	// link of 30 Mbit/s (3.75 MB/s) and leaves a fifth for control traffic.
	DefaultCrossRegionBytesPerSecond = 1_000_000
)

// Default returns the settings of an empty file. They lack the required fields.
func Default() Settings {
	return Settings{
		Limits: Limits{
			BodyBytes: DefaultBodyBytes, HeaderBytes: DefaultHeaderBytes,
			HeaderReadTimeout: DefaultHeaderReadTimeout, BodyReadTimeout: DefaultBodyReadTimeout,
			IdleTimeout: DefaultIdleTimeout, MaxConnections: DefaultMaxConnections, MaxWait: DefaultMaxWait,
		},
		Timings: Timings{
			LeaseTTL: DefaultLeaseTTL, RenewInterval: DefaultRenewInterval, TaskGrace: DefaultTaskGrace,
			HeartbeatInterval: DefaultHeartbeatInterval, ListPoll: DefaultListPoll, LogPoll: DefaultLogPoll,
			SettleTime: DefaultSettleTime, ShutdownTimeout: DefaultShutdownTimeout,
		},
		LogLevel:                  DefaultLogLevel,
		CrossRegionBytesPerSecond: DefaultCrossRegionBytesPerSecond,
	}
}

// Parse parses, canonicalizes and validates settings. The name is used in the
// problems. The settings are nil when there is a problem.
func Parse(name string, data []byte) (*Settings, jsonc.Problems) {
	doc := jsonc.Parse(name, data)
	s := Default()
	if doc.Problems() == nil {
		doc.Decode(&s)
		canonicalize(&s)
		validate(&s, doc)
	}
	if ps := doc.Problems(); len(ps) > 0 {
		return nil, ps
	}
	return &s, nil
}
