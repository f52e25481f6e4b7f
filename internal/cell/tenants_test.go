package cell

import (
	"bytes"
	"context"
	"sync"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	"catkinvalve/internal/cellpb"
	"catkinvalve/internal/core/jobs"
	"catkinvalve/internal/core/model"
	"catkinvalve/internal/core/tenant"
	"catkinvalve/internal/ports"
)

// Keys of the tenants in these tests.
const (
	keyA = "plain-key-of-tenant-a"
	keyB = "plain-key-of-tenant-b"
)

// keyConfig returns a configuration with a route that needs a key and one that does not. keys maps
// keys to tenants.
func keyConfig(version int64, keys map[string]string) *ports.CellConfig {
	var tenants []tenant.Config
	for key, name := range keys {
		tenants = append(tenants, tenant.Config{Name: name, Weight: 100, Keys: []tenant.KeyDigest{tenant.Digest(key)}})
	}
	queue := func(name string, anonymous bool) jobs.Queue {
		return jobs.Queue{Name: name, Service: "service", MaxAttempts: 2, Slack: 2, Target: time.Second, Anonymous: anonymous}
	}
	return &ports.CellConfig{Version: version, Tenants: tenant.NewSet(tenants),
		Routes: []ports.Route{{Host: "host", Prefix: "/q/", Queue: queue("q", false)}, {Host: "host", Prefix: "/open/", Queue: queue("open", true)}}}
}

func (p *publishedConfig) set(c *ports.CellConfig) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.current = c
}

// checkKey checks whether a daemon takes a key, and for which tenant; "" is for none.
func checkKey(t *testing.T, d *testDaemon, key, want string) {
	t.Helper()
	target, reply := d.API().Resolve("host", "/q/00000000000000ff", key)
	if want == "" {
		assert.Assert(t, reply != nil, "%s takes the key", d.settings.Node)
		assert.Equal(t, reply.Verdict, VerdictUnauthorized)
		return
	}
	assert.Assert(t, reply == nil, "%s refuses the key", d.settings.Node)
	assert.Equal(t, target, Target{Queue: "q", Tenant: want, JobID: "00000000000000ff"})
}

// Guards against unknown or removed keys that are taken, keys that stay with an earlier tenant, and
// routes that need a key although they are anonymous.
func TestKeysFollowTheConfiguration(t *testing.T) {
	t.Parallel()
	c, published, _ := newConfigCell(t, 3)
	published.set(keyConfig(2, map[string]string{keyA: "a", keyB: "b"}))
	c.leader(nil)
	c.awaitVersion(5*time.Second, 2)
	for _, d := range c.daemons {
		checkKey(t, d, keyA, "a")
		checkKey(t, d, keyB, "b")
		for _, key := range []string{"", "unknown", keyA + " "} {
			checkKey(t, d, key, "")
		}
		target, reply := d.API().Resolve("host", "/open/00000000000000ff", "unknown")
		assert.Assert(t, reply == nil)
		assert.Equal(t, target.Tenant, "")
	}
	published.set(keyConfig(3, map[string]string{keyB: "a"}))
	c.awaitVersion(4*time.Second, 3)
	for _, d := range c.daemons {
		checkKey(t, d, keyA, "")
		checkKey(t, d, keyB, "a")
	}
	published.set(keyConfig(4, nil))
	c.awaitVersion(4*time.Second, 4)
	checkKey(t, c.daemons[0], keyB, "")
	published.publish(5)
	c.awaitVersion(4*time.Second, 5)
	_, reply := c.daemons[0].API().Resolve("host", "/q/", "")
	assert.Assert(t, reply == nil, "a key is needed without tenants")
}

// lockedBuffer is a buffer for the log of a daemon.
type lockedBuffer struct {
	mu   sync.Mutex
	data bytes.Buffer
}

// Write implements io.Writer.
func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.data.Write(p)
}

func (b *lockedBuffer) contains(text string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return bytes.Contains(b.data.Bytes(), []byte(text))
}

// storedBytes returns the values of all records in the store.
func (s *fakeStore) storedBytes() (out []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, topic := range s.topics {
		for _, r := range topic.Newest("", 1<<20).Records {
			out = append(append(out, r.Key...), r.Value...)
		}
	}
	return out
}

// Guards against keys in the store or the log, and against daemons that start from the stored copy and
// check no keys.
func TestStoredCopyHasDigestsOnly(t *testing.T) {
	t.Parallel()
	c := newTestCell(t, 0)
	c.config = fakeConfig{keyConfig(1, map[string]string{keyA: "a"})}
	d := c.add()
	var log lockedBuffer
	d.log.Logger.SetOutput(&log)
	c.leader(nil)
	digest := tenant.Digest(keyA)
	c.eventually(5*time.Second, "the copy is stored", func() bool { return bytes.Contains(c.store.storedBytes(), digest[:]) })
	checkKey(t, d, keyA, "a")
	checkKey(t, d, keyA+"2", "")
	assert.Equal(t, c.submitAs(d, "a", "00000000000000f1").Verdict, VerdictOK)
	c.stop()
	assert.Assert(t, log.contains("call_unauthorized"), "the log is empty")
	assert.Assert(t, !log.contains(keyA), "the key is in the log")
	assert.Assert(t, !bytes.Contains(c.store.storedBytes(), []byte(keyA)), "the key is in the store")

	c.config = unavailableConfig{}
	fresh := c.add()
	_, reply := fresh.API().Resolve("host", "/q/", keyA)
	assert.Equal(t, reply.Verdict, VerdictUnavailable, "without a configuration")
	c.eventually(8*time.Second, "the daemon is ready", fresh.API().Ready)
	checkKey(t, fresh, keyA, "a")
	checkKey(t, fresh, keyB, "")
}

// submitAs submits a job of a tenant with a task that takes long enough to be seen.
func (c *testCell) submitAs(d *testDaemon, name, id string) Reply {
	for {
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		reply := d.API().Submit(ctx, &jobs.Spec{ID: id, Queue: "q", Tenant: name, Steps: []jobs.Step{{Count: 1, Size: model.Size{MilliCPU: 1000, MemMB: 100}, Estimate: taskDuration}}})
		cancel()
		if reply.Verdict != VerdictUnknown && reply.Verdict != VerdictUnavailable {
			return reply
		}
	}
}

// Guards against a job that callers of another tenant, or of an anonymous route, can see, cancel or
// replace through any daemon.
func TestJobsAreHiddenFromOtherTenants(t *testing.T) {
	t.Parallel()
	const id = "00000000000000f2"
	c := newTestCell(t, 0)
	c.config = fakeConfig{keyConfig(1, map[string]string{keyA: "a", keyB: "b"})}
	first, second := c.add(), c.add()
	c.leader(nil)
	for _, d := range c.daemons {
		c.eventually(5*time.Second, "the daemon is ready", d.API().Ready)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	assert.Equal(t, c.submitAs(first, "a", id).Verdict, VerdictOK)
	for _, d := range c.daemons {
		for _, other := range []string{"b", ""} {
			target := Target{Queue: "q", Tenant: other, JobID: id}
			assert.Equal(t, c.submitAs(d, other, id).Verdict, VerdictConflict, "submission by %q", other)
			c.eventually(5*time.Second, "other tenants learn that the job is unknown", func() bool { return d.API().State(ctx, target).Verdict == VerdictNoJob })
			c.eventually(5*time.Second, "other tenants cannot cancel", func() bool { return d.API().Cancel(ctx, target).Verdict == VerdictNoJob })
		}
	}
	assert.Equal(t, c.submitAs(second, "a", id).Verdict, VerdictOK, "repeated submission")
	assert.Equal(t, c.submitAs(second, "gone", "00000000000000f3").Verdict, VerdictUnauthorized, "a tenant that the leader does not have")
	c.eventually(10*time.Second, "the job is completed", func() bool {
		return second.API().State(ctx, Target{Queue: "q", Tenant: "a", JobID: id}).View == jobs.ViewCompleted
	})
	c.checkNoDoubleRuns()
}

// Guards against a configuration that a daemon of an earlier version has passed on without its
// tenants, and under which no keys would be checked.
func TestConfigurationWithoutSchemaIsNotApplied(t *testing.T) {
	d := New(Settings{Node: "daemon"}, Deps{Log: discardedLog(), Registry: metrics.NewRegistry()})
	d.config.applyIfNewer(keyConfig(1, map[string]string{keyA: "a"}), "test")
	passedOn := cellpb.FromConfig(keyConfig(2, nil))
	passedOn.Schema, passedOn.ChecksKeys, passedOn.Tenants = 0, false, nil
	for _, source := range []string{"leader", "daemon", "copy"} {
		d.applyPassedOn(passedOn, source)
		assert.Equal(t, d.config.version(), int64(1), "applied from %s", source)
	}
	d.applyLeaderConfig(&cellpb.Heartbeat{Config: passedOn})
	assert.Equal(t, d.config.version(), int64(1), "applied from a heartbeat")
	_, reply := d.API().Resolve("host", "/q/", "")
	assert.Equal(t, reply.Verdict, VerdictUnauthorized)
	d.applyLeaderConfig(&cellpb.Heartbeat{Config: cellpb.FromConfig(keyConfig(2, map[string]string{keyB: "b"}))})
	assert.Equal(t, d.config.version(), int64(2))
}
