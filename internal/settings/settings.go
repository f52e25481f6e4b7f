// Package settings defines the settings of one daemon: its identity, addresses,
// limits and timings. They are read once, at startup, from a file in JSON with
// comments.
package settings

import (
	"time"

	"catkinvalve/internal/core/model"
	"catkinvalve/internal/jsonc"
)

// Settings are the parsed and canonicalized settings, with all defaults filled in.
type Settings struct {
	// DaemonID is unique among all daemons of the cell.
	DaemonID   string           `json:"daemon_id"`
	DataCentre model.DataCentre `json:"data_centre"`
	Region     string           `json:"region"`
	Addresses  Addresses        `json:"addresses"`
	Platform   Platform         `json:"platform"`
	// Seeds are the daemons to contact before the instance list is known.
	Seeds   []Seed  `json:"seeds"`
	Limits  Limits  `json:"limits"`
	Timings Timings `json:"timings"`
	// LogLevel is "error", "warn", "info" or "debug".
	LogLevel string `json:"log_level"`
	// CrossRegionBytesPerSecond limits payload traffic to each other region.
	CrossRegionBytesPerSecond int64 `json:"cross_region_bytes_per_second"`
}

// Addresses are the daemon's own addresses in the form IP:port.
type Addresses struct {
	CallerListen string `json:"caller_listen"`
	PeerListen   string `json:"peer_listen"`
	// AdvertisePeer is the address to which peers connect; it defaults to PeerListen.
	AdvertisePeer string `json:"advertise_peer"`
	// FaultListen serves fault injection for tests. It must be empty in production.
	FaultListen string `json:"fault_listen"`
}

// Platform holds the addresses of external systems in the form IP:port.
type Platform struct {
	Log       string `json:"log"`
	Instances string `json:"instances"`
	// Old is empty when there is no old system.
	Old string `json:"old"`
}

// Seed is a peer that is known at startup.
type Seed struct {
	Address    string           `json:"address"`
	DataCentre model.DataCentre `json:"data_centre"`
}

// Limits bound the resources that callers can use.
type Limits struct {
	BodyBytes         int64         `json:"body_bytes"`
	HeaderBytes       int64         `json:"header_bytes"`
	HeaderReadTimeout time.Duration `json:"header_read_timeout"`
	BodyReadTimeout   time.Duration `json:"body_read_timeout"`
	IdleTimeout       time.Duration `json:"idle_timeout"`
	MaxConnections    int           `json:"max_connections"`
	// MaxWait bounds how long one call may wait for the fate of a request.
	MaxWait time.Duration `json:"max_wait"`
	// MemoryMB is the memory of the instance in MiB, of which clients may use a part.
	MemoryMB int64 `json:"memory_mb"`
	// MaxFiles is the number of file descriptors of the process; 0 means the limit that the
	// operating system has set for it.
	MaxFiles int `json:"max_files"`
}

// Timings are the intervals and timeouts of the daemon's background work.
type Timings struct {
	// LeaseTTL is the lifetime of a lease on a worker, and RenewInterval the interval at
	// which the owner renews it.
	LeaseTTL      time.Duration `json:"lease_ttl"`
	RenewInterval time.Duration `json:"renew_interval"`
	// TaskGrace is how long a worker keeps its tasks running after its lease has
	// expired.
	TaskGrace         time.Duration `json:"task_grace"`
	HeartbeatInterval time.Duration `json:"heartbeat_interval"`
	// ListPoll is the interval between two reads of the instance list.
	ListPoll time.Duration `json:"list_poll"`
	// LogPoll is how long a read of the log waits for new records.
	LogPoll time.Duration `json:"log_poll"`
	// SettleTime is how long a stopping daemon still accepts requests after /readyz
	// starts to fail, so that load balancers stop using it first.
	SettleTime time.Duration `json:"settle_time"`
	// ShutdownTimeout bounds the whole shutdown.
	ShutdownTimeout time.Duration `json:"shutdown_timeout"`
}

// Defaults of settings that are absent from the file.
const (
	DefaultBodyBytes         = 1 << 20  // 1 MiB
	DefaultHeaderBytes       = 16 << 10 // 16 KiB
	DefaultHeaderReadTimeout = 5 * time.Second
	DefaultBodyReadTimeout   = 10 * time.Second
	DefaultIdleTimeout       = 2 * time.Minute
	DefaultMaxConnections    = 10_000
	DefaultMaxWait           = time.Minute
	DefaultMemoryMB          = 512
	DefaultLeaseTTL          = 3 * time.Second
	DefaultRenewInterval     = time.Second
	DefaultTaskGrace         = 30 * time.Second
	DefaultHeartbeatInterval = 500 * time.Millisecond
	DefaultListPoll          = time.Second
	DefaultLogPoll           = 500 * time.Millisecond
	DefaultSettleTime        = 5 * time.Second
	DefaultShutdownTimeout   = 30 * time.Second
	DefaultLogLevel          = "info"
	// DefaultCrossRegionBytesPerSecond lets three daemons send at once over a link
	// of 30 Mbit/s (3.75 MB/s) and leaves a fifth of it for control traffic.
	DefaultCrossRegionBytesPerSecond = 1_000_000
)

// Default returns the settings of an empty file. Required fields are not set.
func Default() Settings {
	return Settings{
		Limits: Limits{
			BodyBytes: DefaultBodyBytes, HeaderBytes: DefaultHeaderBytes,
			HeaderReadTimeout: DefaultHeaderReadTimeout, BodyReadTimeout: DefaultBodyReadTimeout,
			IdleTimeout: DefaultIdleTimeout, MaxConnections: DefaultMaxConnections, MaxWait: DefaultMaxWait,
			MemoryMB: DefaultMemoryMB,
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

// Parse parses, canonicalizes and validates settings. Problems refer to the file
// by name. The settings are nil if there is any problem.
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
