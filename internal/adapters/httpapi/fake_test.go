package httpapi

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"catkinvalve/internal/api"
	"catkinvalve/internal/core/model"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fakeService returns fixed values, except from methods whose function a test sets.
type fakeService struct {
	submit  func(context.Context, api.SubmitRequest) (api.RequestStatus, error)
	fate    func(context.Context, string, time.Duration) (api.RequestStatus, error)
	publish func(context.Context, api.PublishRequest) (api.PublishResult, error)
	ready   error
	healthy error
}

func (f *fakeService) Submit(ctx context.Context, r api.SubmitRequest) (api.RequestStatus, error) {
	if f.submit != nil {
		return f.submit(ctx, r)
	}
	return api.RequestStatus{Key: r.Key, Fate: model.Queued}, nil
}

func (f *fakeService) Fate(ctx context.Context, key string, wait time.Duration) (api.RequestStatus, error) {
	if f.fate != nil {
		return f.fate(ctx, key, wait)
	}
	return api.RequestStatus{Key: key, Fate: model.Running}, nil
}

func (f *fakeService) Cancel(_ context.Context, key string) (api.RequestStatus, error) {
	return api.RequestStatus{Key: key, Fate: model.Running}, nil
}

func (f *fakeService) Explain(_ context.Context, key string) (api.Explanation, error) {
	return api.Explanation{Key: key}, nil
}

func (f *fakeService) Status(context.Context) (api.Status, error) { return api.Status{}, nil }

func (f *fakeService) Config(context.Context) (api.ConfigDocument, error) {
	return api.ConfigDocument{Revision: 7}, nil
}

func (f *fakeService) Publish(ctx context.Context, p api.PublishRequest) (api.PublishResult, error) {
	if f.publish != nil {
		return f.publish(ctx, p)
	}
	return api.PublishResult{PublishID: p.PublishID, Accepted: true, Revision: 8}, nil
}

func (f *fakeService) History(context.Context) (api.History, error) { return api.History{}, nil }

func (f *fakeService) Drain(_ context.Context, worker string) (api.DrainResult, error) {
	return api.DrainResult{Worker: model.WorkerID(worker)}, nil
}

func (f *fakeService) Ready() error   { return f.ready }
func (f *fakeService) Healthy() error { return f.healthy }

// startServer serves service on a free port until the test ends and returns its address.
func startServer(t *testing.T, service Service, opts Options) (*Server, string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := New(service, opts)
	s.Start(l)
	t.Cleanup(func() {
		http.DefaultClient.CloseIdleConnections()
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		_ = s.Shutdown(ctx)
	})
	return s, l.Addr().String()
}
