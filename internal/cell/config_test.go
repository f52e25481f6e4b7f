package cell

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"catkinvalve/internal/cellpb"
	"catkinvalve/internal/core/jobs"
	"catkinvalve/internal/pause"
	"catkinvalve/internal/ports"
)

// publishedConfig is the configuration that operators publish in a test.
type publishedConfig struct {
	mu      sync.Mutex
	current *ports.CellConfig
}

func (p *publishedConfig) publish(version int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.current = &ports.CellConfig{Version: version, Routes: []ports.Route{{Host: "host", Prefix: "/q/", Queue: jobs.Queue{Name: "q", Service: "service"}}}}
}

func (p *publishedConfig) get() *ports.CellConfig {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.current
}

// configReader is one daemon's access to the published configuration. It counts the reads
// and can stop answering.
type configReader struct {
	published *publishedConfig
	mu        sync.Mutex
	reads     int
	silent    bool
}

func (c *configReader) setSilent(silent bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.silent = silent
}

func (c *configReader) readCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.reads
}

func (c *configReader) begin() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reads++
	return !c.silent
}

var errSilent = &ports.StoreError{Kind: ports.StoreNoAnswer, Detail: "no answer"}

// Latest implements ports.ConfigSource.
func (c *configReader) Latest(context.Context) (*ports.CellConfig, ports.ListCursor, error) {
	if !c.begin() {
		return nil, 0, errSilent
	}
	config := c.published.get()
	return config, ports.ListCursor(config.Version), nil
}

// Changes implements ports.ConfigSource.
func (c *configReader) Changes(ctx context.Context, from ports.ListCursor, wait time.Duration) (*ports.CellConfig, ports.ListCursor, error) {
	if !c.begin() {
		return nil, from, errSilent
	}
	const poll = 10 * time.Millisecond
	for end := time.Now().Add(wait); time.Now().Before(end); {
		if config := c.published.get(); ports.ListCursor(config.Version) > from {
			return config, ports.ListCursor(config.Version), nil
		}
		if !pause.For(ctx, poll) {
			return nil, from, errSilent
		}
	}
	return nil, from, nil
}

// newConfigCell returns a cell of daemons with readers of their own.
func newConfigCell(t *testing.T, daemons int) (*testCell, *publishedConfig, map[*testDaemon]*configReader) {
	published := &publishedConfig{}
	published.publish(1)
	c := newTestCell(t, 0)
	readers := map[*testDaemon]*configReader{}
	for range daemons {
		r := &configReader{published: published}
		c.config = r
		readers[c.add()] = r
	}
	return c, published, readers
}

// awaitVersion waits until all daemons have a version of the configuration.
func (c *testCell) awaitVersion(limit time.Duration, version int64) {
	c.t.Helper()
	for _, d := range c.daemons {
		c.eventually(limit, fmt.Sprintf("%s has version %d", d.settings.Node, version), func() bool { return d.config.version() >= version })
	}
}

// Guards against a long configuration that each daemon of a large cell reads from the store
// although the leader sends it, which fills the links between regions for seconds.
func TestOnlyLeaderReadsConfiguration(t *testing.T) {
	t.Parallel()
	c, published, readers := newConfigCell(t, 4)
	leader := c.leader(nil)
	c.awaitVersion(5*time.Second, 1)
	others := func() int {
		n := 0
		for d, r := range readers {
			if d != leader {
				n += r.readCount()
			}
		}
		return n
	}
	c.eventually(5*time.Second, "the other daemons stop reading", func() bool {
		before := others()
		time.Sleep(2 * configWait)
		return others() == before
	})
	before := others()
	published.publish(2)
	c.awaitVersion(2*time.Second, 2)
	assert.Equal(t, others(), before, "other daemons read the configuration")
	for d := range readers {
		assert.Assert(t, d.store.age(time.Now()) < 3*storePingInterval, "%s does not know whether the store serves it", d.settings.Node)
	}
}

// Guards against daemons that rely on a leader which does not reach the configuration.
func TestDaemonsReadConfigurationThatLeaderCannotRead(t *testing.T) {
	t.Parallel()
	c, published, readers := newConfigCell(t, 3)
	leader := c.leader(nil)
	c.awaitVersion(5*time.Second, 1)
	time.Sleep(2 * configWait)
	readers[leader].setSilent(true)
	time.Sleep(configWait) // a read that the leader began before may still return the version
	published.publish(2)
	c.awaitVersion(maxLeaderConfigAge+time.Second, 2)
}

// Guards against a malformed configuration in a heartbeat that ends a daemon or replaces its
// configuration.
func TestMalformedConfigurationIsIgnored(t *testing.T) {
	t.Parallel()
	c, _, _ := newConfigCell(t, 1)
	c.leader(nil)
	c.awaitVersion(5*time.Second, 1)
	good, err := cellpb.CompressConfig(&ports.CellConfig{Version: 9})
	assert.NilError(t, err)
	for _, data := range [][]byte{{1, 2, 3}, good[:len(good)-6], append([]byte{0}, good...)} {
		c.daemons[0].applyLeaderConfig(&cellpb.Heartbeat{ConfigGzip: data})
		assert.Equal(t, c.daemons[0].config.version(), int64(1))
	}
	c.daemons[0].applyLeaderConfig(&cellpb.Heartbeat{ConfigGzip: good})
	assert.Equal(t, c.daemons[0].config.version(), int64(9))
}
