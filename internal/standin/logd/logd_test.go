package logd

import (
	"context"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"catkinvalve/internal/adapters/jsonhttp"
	"catkinvalve/internal/adapters/logclient"
	"catkinvalve/internal/fault"
	"catkinvalve/internal/standin/harness"
	"catkinvalve/internal/standinapi"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func newFixture(t *testing.T, cfg Config) (*Log, *logclient.Client) {
	t.Helper()
	l := New(cfg)
	s, err := harness.Listen("127.0.0.1:0", l.Handler())
	assert.NilError(t, err)
	client, err := jsonhttp.New(jsonhttp.Options{Daemon: "d"})
	assert.NilError(t, err)
	t.Cleanup(func() { client.Close(); s.Close() })
	return l, logclient.New(client, s.Addr())
}

func appendAll(t *testing.T, c *logclient.Client, data ...string) {
	t.Helper()
	for _, d := range data {
		_, err := c.Append(t.Context(), "s", []byte(d))
		assert.NilError(t, err)
	}
}

func ptr[T any](v T) *T { return &v }

// Checks that reads after a truncation return the first retained offset and
// neither repeat nor skip records.
func TestReadAfterTruncation(t *testing.T) {
	l, c := newFixture(t, Config{Rate: 1e6})
	appendAll(t, c, "0", "1", "2", "3", "4")
	assert.NilError(t, l.applyFault(standinapi.LogFault{Truncation: &standinapi.Truncation{Stream: "s", Before: 2}}))
	tests := []struct {
		from        int64
		limit       int
		first, next int64
		data        string
	}{
		{0, 10, 2, 5, "234"},
		{3, 10, 2, 5, "34"},
		{2, 1, 2, 3, "2"},
		{5, 10, 2, 5, ""},
		{9, 10, 2, 5, ""},
	}
	for _, tt := range tests {
		page, err := c.Read(t.Context(), "s", tt.from, tt.limit, 0)
		assert.NilError(t, err)
		var data string
		for i, r := range page.Records {
			assert.Equal(t, r.Offset, page.Next-int64(len(page.Records)-i))
			data += string(r.Data)
		}
		assert.Equal(t, data, tt.data, "from %d", tt.from)
		assert.Equal(t, page.First, tt.first)
		assert.Equal(t, page.Next, tt.next)
	}
	offset, err := c.Append(t.Context(), "s", nil)
	assert.NilError(t, err)
	assert.Equal(t, offset, int64(5), "offsets must not be reused")
}

// Checks that the retention removes old records and keeps the configured number.
func TestRetention(t *testing.T) {
	_, c := newFixture(t, Config{Rate: 1e6, Retention: 2})
	appendAll(t, c, "0", "1", "2", "3")
	page, err := c.Read(t.Context(), "s", 0, 10, 0)
	assert.NilError(t, err)
	assert.Equal(t, page.Next, int64(4))
	assert.Assert(t, page.First >= 1 && page.First <= 2, "first is %d", page.First)
}

// Checks that an append above the rate limit is refused and adds no record.
func TestRateLimit(t *testing.T) {
	l, c := newFixture(t, Config{Rate: 0.01})
	appendAll(t, c, "0")
	_, err := c.Append(t.Context(), "s", nil)
	assert.Equal(t, fault.KindOf(err), fault.LogUnavailable)
	assert.Equal(t, jsonhttp.StatusOf(err), 429)
	s := l.Stats()
	assert.Equal(t, s.RefusedAppends, int64(1))
	assert.Equal(t, s.Streams["s"].Next, int64(1))
	assert.NilError(t, l.applyFault(standinapi.LogFault{Rate: ptr(1000.0)}))
	time.Sleep(20 * time.Millisecond)
	appendAll(t, c, "1")
}

// Checks the effects of the common faults that the scenario tests rely on.
func TestFaults(t *testing.T) {
	tests := []struct {
		name     string
		fault    standinapi.CommonFault
		status   int
		appended int64
	}{
		{"outage", standinapi.CommonFault{Outage: ptr(true)}, 503, 0},
		{"answer lost after the effect", standinapi.CommonFault{LoseNextAnswers: ptr(1)}, 0, 1},
		{"slower than the caller waits", standinapi.CommonFault{DelayMS: ptr(int64(10_000))}, 0, 0},
		{"partition", standinapi.CommonFault{Partition: &standinapi.Partition{Daemons: []string{"d"}}}, 0, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l, c := newFixture(t, Config{Rate: 1e6})
			assert.NilError(t, l.applyFault(standinapi.LogFault{CommonFault: tt.fault}))
			ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
			defer cancel()
			_, err := c.Append(ctx, "s", []byte("x"))
			assert.Equal(t, fault.KindOf(err), fault.LogUnavailable)
			assert.Equal(t, jsonhttp.StatusOf(err), tt.status)
			assert.Equal(t, l.Stats().Appends, tt.appended)
			l.reset()
			appendAll(t, c, "y")
		})
	}
}

// Checks that a long poll returns when a record is appended and when its wait
// time is over.
func TestLongPoll(t *testing.T) {
	_, c := newFixture(t, Config{Rate: 1e6})
	done := make(chan error, 1)
	go func() {
		time.Sleep(20 * time.Millisecond)
		_, err := c.Append(context.Background(), "s", []byte("x"))
		done <- err
	}()
	page, err := c.Read(t.Context(), "s", 0, 10, 10*time.Second)
	assert.NilError(t, err)
	assert.Equal(t, len(page.Records), 1)
	assert.NilError(t, <-done)
	page, err = c.Read(t.Context(), "s", page.Next, 10, 10*time.Millisecond)
	assert.NilError(t, err)
	assert.Equal(t, len(page.Records), 0)
}
