package settings

import (
	"net/netip"
	"slices"
	"strings"
	"time"

	"catkinvalve/internal/core/model"
	"catkinvalve/internal/intake"
	"catkinvalve/internal/jsonc"
)

// minMemoryMB is the least memory with which a daemon can work, in MiB.
const minMemoryMB = 64

// Upper limits. A larger value is probably a mistake in the unit.
const (
	maxBytes       = 1 << 30   // 1 GiB, of a body and of a rate per second
	maxHeaderBytes = 1 << 20   // 1 MiB
	maxConnections = 1_000_000 // of one daemon
	maxMemoryMB    = 1 << 20   // 1 TiB
	maxFiles       = 1 << 24
	maxDuration    = 24 * time.Hour
)

var logLevels = []string{"error", "warn", "info", "debug"}

// canonicalize converts addresses to their canonical form and fills in those that
// default to others. Addresses that cannot be parsed are left to the checks.
func canonicalize(s *Settings) {
	for _, a := range addressSettings(s) {
		if parsed, err := netip.ParseAddrPort(*a.value); err == nil {
			*a.value = netip.AddrPortFrom(parsed.Addr().Unmap(), parsed.Port()).String()
		}
	}
	if s.Addresses.AdvertisePeer == "" {
		s.Addresses.AdvertisePeer = s.Addresses.PeerListen
	}
	s.LogLevel = strings.ToLower(s.LogLevel)
}

// addressSetting is an address in the settings with its requirements.
type addressSetting struct {
	path     string
	value    *string
	optional bool
	// allowUnspecified permits an unspecified IP address such as 0.0.0.0.
	allowUnspecified bool
	// allowPortZero permits port 0, with which the operating system chooses a port.
	allowPortZero bool
}

func addressSettings(s *Settings) []addressSetting {
	list := []addressSetting{
		{path: "addresses.caller_listen", value: &s.Addresses.CallerListen, allowUnspecified: true, allowPortZero: true},
		{path: "addresses.peer_listen", value: &s.Addresses.PeerListen, allowUnspecified: true, allowPortZero: true},
		// Optional because it defaults to peer_listen, whose absence is reported. With
		// port 0 the daemon advertises the port that the operating system chose.
		{path: "addresses.advertise_peer", value: &s.Addresses.AdvertisePeer, optional: true,
			allowPortZero: strings.HasSuffix(s.Addresses.PeerListen, ":0")},
		{path: "addresses.fault_listen", value: &s.Addresses.FaultListen, optional: true},
		{path: "platform.log", value: &s.Platform.Log},
		{path: "platform.instances", value: &s.Platform.Instances},
		{path: "platform.old", value: &s.Platform.Old, optional: true},
	}
	for i := range s.Seeds {
		list = append(list, addressSetting{path: seedPath(i, "address"), value: &s.Seeds[i].Address})
	}
	return list
}

func seedPath(i int, field string) string {
	return jsonc.FieldPath(jsonc.ElementPath("seeds", i), field)
}

// checks lists all rules. Each is checked and reported independently.
var checks = []func(s *Settings, doc *jsonc.Document){
	checkIdentity,
	checkDataCentres,
	checkAddresses,
	checkSeparateListeners,
	checkSeedsUnique,
	checkLimits,
	checkMemory,
	checkTimings,
	checkRenewal,
	checkTaskGrace,
	checkHeartbeat,
	checkShutdown,
	checkLogLevel,
	checkCrossRegionRate,
}

func validate(s *Settings, doc *jsonc.Document) {
	for _, c := range checks {
		c(s, doc)
	}
}

func checkIdentity(s *Settings, doc *jsonc.Document) {
	if s.DaemonID == "" {
		doc.Report("daemon_id", "set a name that no other daemon of the cell has", "daemon_id is missing or empty")
	}
	if s.Region == "" {
		doc.Report("region", "set the region of the data centre", "region is missing or empty")
	}
}

func checkDataCentres(s *Settings, doc *jsonc.Document) {
	checkDataCentre(doc, "data_centre", s.DataCentre)
	for i, seed := range s.Seeds {
		checkDataCentre(doc, seedPath(i, "data_centre"), seed.DataCentre)
	}
}

func checkDataCentre(doc *jsonc.Document, path string, name model.DataCentre) {
	if name == "" {
		doc.Report(path, "set the name that the data centre has in the configuration text", "%s is missing or empty", path)
	}
	if strings.Contains(string(name), ":") {
		doc.Report(path, "remove the colon; it ends the data centre prefix of a key", "%s %q contains a colon", path, name)
	}
}

func checkAddresses(s *Settings, doc *jsonc.Document) {
	for _, a := range addressSettings(s) {
		checkAddress(doc, a)
	}
}

func checkAddress(doc *jsonc.Document, a addressSetting) {
	const remedy = `write an IP address and port such as "10.1.2.3:7180"`
	if *a.value == "" {
		if !a.optional {
			doc.Report(a.path, remedy, "%s is missing or empty", a.path)
		}
		return
	}
	parsed, err := netip.ParseAddrPort(*a.value)
	switch {
	case err != nil:
		doc.Report(a.path, remedy, "%s %q is not an IP address with a port", a.path, *a.value)
	case !a.allowPortZero && parsed.Port() == 0:
		doc.Report(a.path, "set the port to connect to", "%s %q has port 0", a.path, *a.value)
	case !a.allowUnspecified && parsed.Addr().IsUnspecified():
		doc.Report(a.path, "set an IP address that others can connect to", "%s %q is an unspecified address, which is valid only for listening", a.path, *a.value)
	}
}

// checkSeparateListeners requires different addresses for callers and peers. Two
// listeners with port 0 get different ports from the operating system.
func checkSeparateListeners(s *Settings, doc *jsonc.Document) {
	caller, err := netip.ParseAddrPort(s.Addresses.CallerListen)
	if err == nil && caller.Port() != 0 && s.Addresses.CallerListen == s.Addresses.PeerListen {
		doc.Report("addresses.peer_listen", "use another port", "caller_listen and peer_listen are both %s", s.Addresses.PeerListen)
	}
}

func checkSeedsUnique(s *Settings, doc *jsonc.Document) {
	seen := map[string]bool{}
	for i, seed := range s.Seeds {
		if seen[seed.Address] && seed.Address != "" {
			doc.Report(seedPath(i, "address"), "remove one of them", "seed %s is listed twice", seed.Address)
		}
		seen[seed.Address] = true
	}
}

func checkDuration(doc *jsonc.Document, path string, value, low time.Duration) {
	if value < low || value > maxDuration {
		doc.Report(path, "use a duration in this range", "%s is %s, outside of %s to %s", path, value, low, maxDuration)
	}
}

func checkLimits(s *Settings, doc *jsonc.Document) {
	jsonc.CheckRange(doc, "limits.body_bytes", s.Limits.BodyBytes, 1, maxBytes)
	jsonc.CheckRange(doc, "limits.header_bytes", s.Limits.HeaderBytes, 1, maxHeaderBytes)
	jsonc.CheckRange(doc, "limits.max_connections", s.Limits.MaxConnections, 1, maxConnections)
	jsonc.CheckRange(doc, "limits.memory_mb", s.Limits.MemoryMB, minMemoryMB, maxMemoryMB)
	jsonc.CheckRange(doc, "limits.max_files", s.Limits.MaxFiles, 0, maxFiles)
	checkDuration(doc, "limits.header_read_timeout", s.Limits.HeaderReadTimeout, time.Millisecond)
	checkDuration(doc, "limits.body_read_timeout", s.Limits.BodyReadTimeout, time.Millisecond)
	checkDuration(doc, "limits.idle_timeout", s.Limits.IdleTimeout, time.Millisecond)
	checkDuration(doc, "limits.max_wait", s.Limits.MaxWait, time.Millisecond)
}

// checkMemory ensures that the memory for callers has room for the largest body.
func checkMemory(s *Settings, doc *jsonc.Document) {
	if s.Limits.MemoryMB < minMemoryMB {
		return // Reported already.
	}
	largest := intake.CallerLimits(s.Limits.MemoryMB, 0).LargestBody()
	if s.Limits.BodyBytes > largest && !doc.InvalidWithin("limits") {
		doc.Report("limits.body_bytes", "lower it or raise limits.memory_mb",
			"limits.body_bytes %d is above %d, the largest body for which limits.memory_mb %d has room", s.Limits.BodyBytes, largest, s.Limits.MemoryMB)
	}
}

func checkTimings(s *Settings, doc *jsonc.Document) {
	checkDuration(doc, "timings.lease_ttl", s.Timings.LeaseTTL, 10*time.Millisecond)
	checkDuration(doc, "timings.renew_interval", s.Timings.RenewInterval, time.Millisecond)
	checkDuration(doc, "timings.task_grace", s.Timings.TaskGrace, time.Millisecond)
	checkDuration(doc, "timings.heartbeat_interval", s.Timings.HeartbeatInterval, time.Millisecond)
	checkDuration(doc, "timings.list_poll", s.Timings.ListPoll, time.Millisecond)
	checkDuration(doc, "timings.log_poll", s.Timings.LogPoll, time.Millisecond)
	checkDuration(doc, "timings.settle_time", s.Timings.SettleTime, 0)
	checkDuration(doc, "timings.shutdown_timeout", s.Timings.ShutdownTimeout, time.Millisecond)
}

// checkRenewal requires three renewals per TTL. A renewal is a long poll that is
// answered after one interval, and a lease counts as held for nine tenths of its
// TTL after a renewal was sent. With an interval of half the TTL, an idle owner
// lost its leases between two renewals.
func checkRenewal(s *Settings, doc *jsonc.Document) {
	if s.Timings.RenewInterval > s.Timings.LeaseTTL/3 && !doc.InvalidWithin("timings") {
		doc.Report("timings.renew_interval", "renew at least three times within lease_ttl",
			"timings.renew_interval %s is more than a third of timings.lease_ttl %s", s.Timings.RenewInterval, s.Timings.LeaseTTL)
	}
}

// checkTaskGrace ensures that running tasks survive a takeover, which cannot
// begin before the leases of the failed owner expire.
func checkTaskGrace(s *Settings, doc *jsonc.Document) {
	if s.Timings.TaskGrace < s.Timings.LeaseTTL && !doc.InvalidWithin("timings") {
		doc.Report("timings.task_grace", "raise it or lower lease_ttl",
			"timings.task_grace %s is below timings.lease_ttl %s, so a takeover would stop running tasks", s.Timings.TaskGrace, s.Timings.LeaseTTL)
	}
}

// checkHeartbeat ensures that a standby detects a dead owner before the leases
// expire; otherwise the detection would delay the takeover.
func checkHeartbeat(s *Settings, doc *jsonc.Document) {
	if s.Timings.HeartbeatInterval > s.Timings.LeaseTTL/2 && !doc.InvalidWithin("timings") {
		doc.Report("timings.heartbeat_interval", "send at least two heartbeats within lease_ttl",
			"timings.heartbeat_interval %s is more than half of timings.lease_ttl %s", s.Timings.HeartbeatInterval, s.Timings.LeaseTTL)
	}
}

// checkShutdown ensures that a shutdown has time for requests in flight after the
// settle time.
func checkShutdown(s *Settings, doc *jsonc.Document) {
	if s.Timings.SettleTime >= s.Timings.ShutdownTimeout && !doc.InvalidWithin("timings") {
		doc.Report("timings.settle_time", "lower it or raise shutdown_timeout",
			"timings.settle_time %s leaves no time of timings.shutdown_timeout %s for requests in flight", s.Timings.SettleTime, s.Timings.ShutdownTimeout)
	}
}

func checkLogLevel(s *Settings, doc *jsonc.Document) {
	if !slices.Contains(logLevels, s.LogLevel) {
		doc.Report("log_level", "use one of "+strings.Join(logLevels, ", "), "unknown log_level %q", s.LogLevel)
	}
}

func checkCrossRegionRate(s *Settings, doc *jsonc.Document) {
	jsonc.CheckRange(doc, "cross_region_bytes_per_second", s.CrossRegionBytesPerSecond, 1, maxBytes)
}
