package settings

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const valid = `{
  "daemon_id": "d", "data_centre": "a", "region": "r",
  "addresses": {"caller_listen": "127.0.0.1:1", "peer_listen": "127.0.0.1:2"},
  "platform": {"log": "127.0.0.1:3", "instances": "127.0.0.1:4"}
}`

// Each rule must be reported exactly once: each case replaces a part of valid
// settings, and the expected problem is at the position marked by '@'.
func TestRules(t *testing.T) {
	const d = `"daemon_id": "d"`
	for _, c := range []struct{ name, from, to, want string }{
		{"valid", "", "", ""},
		{"port chosen by the system", `127.0.0.1:2`, `127.0.0.1:0`, ""},
		{"no id", d, `"daemon_id": @""`, "daemon_id is missing"},
		{"no region", `"region": "r"`, `"region": @""`, "region is missing"},
		{"colon", `"data_centre": "a"`, `"data_centre": @"a:"`, `data_centre "a:" contains a colon`},
		{"host name", `"127.0.0.1:3`, `@"localhost:3`, `platform.log "localhost:3" is not an IP address`},
		{"no address", `{"caller_listen": "127.0.0.1:1", `, `@{`, "addresses.caller_listen is missing"},
		{"port 0", `"127.0.0.1:4`, `@"127.0.0.1:0`, `platform.instances "127.0.0.1:0" has port 0`},
		{"advertise any", `{"caller_listen": "127.0.0.1:1", "peer_listen": "127.0.0.1:2"`, `@{"caller_listen": "127.0.0.1:1", "peer_listen": "0.0.0.0:2"`,
			`addresses.advertise_peer "0.0.0.0:2" is an unspecified address, which is valid only for listening`},
		{"same port", `"127.0.0.1:2`, `@"127.0.0.1:1`, "caller_listen and peer_listen are both"},
		{"seed", d, d + `, "seeds": [@{"address": "1.2.3.4:5"}]`, "seeds[0].data_centre is missing"},
		{"same seed", d, d + `, "seeds": [{"address": "1.2.3.4:5", "data_centre": "a"}, {"address": @"1.2.3.4:5", "data_centre": "a"}]`, "seed 1.2.3.4:5 is listed twice"},
		{"limit", d, d + `, "limits": {"body_bytes": @0}`, "limits.body_bytes is 0"},
		{"memory", d, d + `, "limits": {"memory_mb": @8}`, "limits.memory_mb is 8"},
		{"body larger than memory", d, d + `, "limits": {"body_bytes": @60000000}`, "limits.body_bytes 60000000 is above"},
		{"files", d, d + `, "limits": {"max_files": @-1}`, "limits.max_files is -1"},
		{"timeout", d, d + `, "limits": {"idle_timeout": @"-1s"}`, "limits.idle_timeout is -1s"},
		{"duration type", d, d + `, "timings": {"renew_interval": @1}`, "timings.renew_interval is 1; write a duration"},
		{"renew", d, d + `, "timings": {"renew_interval": @"1001ms"}`, "timings.renew_interval 1.001s is more than a third"},
		{"grace", d, d + `, "timings": {"task_grace": @"2s"}`, "timings.task_grace 2s is below"},
		{"heartbeat", d, d + `, "timings": {"heartbeat_interval": @"2s"}`, "timings.heartbeat_interval 2s is more"},
		{"settle", d, d + `, "timings": {"settle_time": @"30s"}`, "timings.settle_time 30s leaves no time"},
		{"log level", d, d + `, "log_level": @"loud"`, `unknown log_level "loud"`},
		{"rate", d, d + `, "cross_region_bytes_per_second": @0`, "cross_region_bytes_per_second is 0"},
	} {
		t.Run(c.name, func(t *testing.T) {
			marked := strings.Replace(valid, c.from, c.to, 1)
			before, after, _ := strings.Cut(marked, "@")
			s, ps := Parse("f", []byte(before+after))
			if c.want == "" {
				assert.NilError(t, ps.Err())
				assert.Equal(t, s.Addresses.AdvertisePeer, s.Addresses.PeerListen)
				return
			}
			position := fmt.Sprintf("f:%d:%d: ", 1+strings.Count(before, "\n"), len(before)-strings.LastIndex(before, "\n"))
			assert.Equal(t, len(ps), 1, "%s", ps.Error())
			assert.Assert(t, strings.HasPrefix(ps[0].String(), position+c.want), "%s, want %s", ps[0], position)
		})
	}
}

// The example must show the current defaults.
func TestExampleShowsDefaults(t *testing.T) {
	data, err := os.ReadFile("../../examples/settings.jsonc")
	assert.NilError(t, err)
	s, ps := Parse("settings.jsonc", data)
	assert.NilError(t, ps.Err())
	assert.Equal(t, s.Limits, Default().Limits)
	assert.Equal(t, s.Timings, Default().Timings)
	assert.Equal(t, s.CrossRegionBytesPerSecond, Default().CrossRegionBytesPerSecond)
}

// Parse must not panic and must not accept settings with which an owner would
// lose its leases.
func FuzzSettings(f *testing.F) {
	f.Add([]byte(valid))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, ps := Parse("f", data)
		assert.Equal(t, s == nil, len(ps) > 0)
		if s != nil {
			assert.Assert(t, s.Timings.RenewInterval >= time.Millisecond && s.Timings.RenewInterval <= s.Timings.LeaseTTL/3)
		}
	})
}
