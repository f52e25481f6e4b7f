package listd

import (
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"catkinvalve/internal/adapters/jsonhttp"
	"catkinvalve/internal/adapters/listclient"
	"catkinvalve/internal/fault"
	"catkinvalve/internal/ports"
	"catkinvalve/internal/standin/harness"
	"catkinvalve/internal/standinapi"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func ptr[T any](v T) *T { return &v }

func instance(id string, state ports.InstanceState) ports.Instance {
	return ports.Instance{ID: id, Kind: ports.KindWorker, Addr: "127.0.0.1:1", DataCentre: "dc", Region: "r", Rack: "k", State: state}
}

// Checks through the client that changes become visible, that they are delayed
// by the lag, and that malformed admin requests are refused.
func TestListThroughClient(t *testing.T) {
	l := New(0)
	api, err := harness.Listen("127.0.0.1:0", l.Handler())
	assert.NilError(t, err)
	admin, err := harness.Listen("127.0.0.1:0", l.Admin())
	assert.NilError(t, err)
	client, err := jsonhttp.New(jsonhttp.Options{})
	assert.NilError(t, err)
	defer func() { client.Close(); api.Close(); admin.Close() }()
	list := listclient.New(client, api.Addr())
	do := func(method, path string, body any) error {
		return client.Do(t.Context(), method, "http://"+admin.Addr()+path, body, nil)
	}
	instances := func() []ports.Instance {
		t.Helper()
		got, err := list.Instances(t.Context())
		assert.NilError(t, err)
		return got
	}

	w1, w2 := instance("w1", ports.StateLive), instance("w2", ports.StateLeaving)
	assert.NilError(t, do("PUT", "/admin/instances/w2", w2))
	assert.NilError(t, do("PUT", "/admin/instances/w1", w1))
	assert.DeepEqual(t, instances(), []ports.Instance{w1, w2})
	assert.NilError(t, do("POST", "/admin/fault", standinapi.ListFault{LagMS: ptr(int64(60_000))}))
	assert.NilError(t, do("DELETE", "/admin/instances/w1", nil))
	assert.Equal(t, len(instances()), 2, "the removal must not be visible yet")
	assert.NilError(t, do("POST", "/admin/reset", struct{}{}))
	assert.DeepEqual(t, instances(), []ports.Instance{w2})

	assert.Equal(t, jsonhttp.StatusOf(do("PUT", "/admin/instances/w3", ports.Instance{Kind: "x"})), 400)
	assert.Equal(t, jsonhttp.StatusOf(do("POST", "/admin/fault", map[string]any{"unknown": 1})), 400)
	assert.NilError(t, do("POST", "/admin/fault", standinapi.ListFault{CommonFault: standinapi.CommonFault{Outage: ptr(true)}}))
	_, err = list.Instances(t.Context())
	assert.Equal(t, fault.KindOf(err), fault.ListUnavailable)
}

// Checks that changes become visible in their order and not before the lag has
// passed.
func TestLagKeepsOrder(t *testing.T) {
	l := New(time.Second)
	l.Put(instance("w", ports.StateLive))
	l.Put(instance("w", ports.StateLeaving))
	l.Remove("w")
	start := l.pending[0].requestedAt
	l.applyDueChanges(start.Add(time.Second - 1))
	assert.Equal(t, len(l.visible), 0)
	l.applyDueChanges(start.Add(time.Second))
	assert.Equal(t, l.visible["w"].State, ports.StateLive)
	l.applyDueChanges(l.pending[0].requestedAt.Add(time.Second))
	l.applyDueChanges(start.Add(time.Minute))
	assert.Equal(t, len(l.visible), 0)
	assert.Equal(t, l.version, int64(3))
}
