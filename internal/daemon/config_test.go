package daemon

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"catkinvalve/internal/api"
	"catkinvalve/internal/core/confirm"
	"catkinvalve/internal/fault"
)

const validText = `{
	"cell": "test",
	"data_centres": [{"name": "dc-a", "region": "r"}],
	"teams": [{"name": "t", "quota": {"milli_cpu": 1000, "slots": 1, "borrow": true}}],
	"services": [{"name": "s", "team": "t", "class": "batch", "size": {"milli_cpu": 100, "mem_mb": 100, "slots": 1}, "idempotent": true, "run_ms": 1000, "new_percent": 100}],
}`

// newPublisher returns a daemon that follows the configuration stream and has read
// it to its end.
func newPublisher(t *testing.T) *testDaemon {
	td := newTestDaemon(t)
	td.group.Go(func() { td.followConfig(td.ctx) })
	eventually(t, "the stream is read", func() bool { _, hasBaseline := td.config.state(); return hasBaseline })
	return td
}

func (td *testDaemon) publish(id string, base uint64) (api.PublishResult, error) {
	return td.Publish(context.Background(), api.PublishRequest{PublishID: id, Base: base, Text: validText})
}

// Of two publications with the same base revision only one may be accepted. A
// repeated publication must get the same verdict and must not be applied again.
func TestPublishVerdicts(t *testing.T) {
	td := newPublisher(t)
	for _, tc := range []struct {
		id       string
		base     uint64
		accepted bool
		revision uint64
	}{{"a", 0, true, 1}, {"b", 0, false, 1}, {"a", 0, true, 1}, {"c", 1, true, 2}, {"b", 0, false, 1}} {
		got, err := td.publish(tc.id, tc.base)
		assert.NilError(t, err)
		assert.Equal(t, got.Accepted, tc.accepted, tc.id)
		assert.Equal(t, got.Revision, tc.revision, tc.id)
	}
}

// A publication that took effect must be reported as accepted, even if the answer
// to its append was lost. With the log down, the append fails.
func TestPublishAfterLostAcknowledgement(t *testing.T) {
	td := newPublisher(t)
	td.log.setFailures(false, true)
	got, err := td.publish("a", 0)
	assert.NilError(t, err)
	assert.Assert(t, got.Accepted && got.Revision == 1)
	td.log.setFailures(true, false)
	_, err = td.publish("b", 1)
	assert.Equal(t, fault.KindOf(err), fault.LogUnavailable)
}

// A text that no daemon would accept must not be appended to the log.
func TestPublishRefusesInvalidText(t *testing.T) {
	td := newPublisher(t)
	_, err := td.Publish(context.Background(), api.PublishRequest{PublishID: "a", Text: "{"})
	assert.Equal(t, fault.KindOf(err), fault.Malformed)
	assert.Equal(t, len(td.log.appends(configStream)), 0)
}

// A daemon must not replace its configuration by a lower revision from a peer.
func TestAdoptFromPeerNeverGoesBack(t *testing.T) {
	td := newTestDaemon(t)
	adopt := func(revision uint64, next int64) {
		td.applyConfig(func(r *confirm.Reader) {
			r.Adopt(confirm.State{Revision: revision, Text: validText, NextOffset: next, AcceptedAt: time.Now()})
		})
	}
	adopt(3, 30)
	assert.Equal(t, nextMessage[configMsg](td).revision, uint64(3))
	adopt(2, 20)
	_, revision := td.config.active()
	assert.Equal(t, revision, uint64(3))
	adopt(4, 40)
	assert.Equal(t, nextMessage[configMsg](td).revision, uint64(4))
}
