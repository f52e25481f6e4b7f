package peerrpc

import (
	"context"

	"catkinvalve/internal/peerpb"
)

// handlerAdapter implements the generated server interface with the daemon's handler. It
// applies the limits of handleCall to each call, and sets the key in each response to a
// call about a key.
type handlerAdapter struct {
	server  *Server
	handler peerpb.DRPCPeerServer
}

func (m *handlerAdapter) Heartbeat(ctx context.Context, in *peerpb.HeartbeatRequest) (*peerpb.HeartbeatResponse, error) {
	return handleCall(ctx, m.server, control, 0, in, m.handler.Heartbeat)
}

func (m *handlerAdapter) Replicate(ctx context.Context, in *peerpb.ReplicateRequest) (*peerpb.ReplicateResponse, error) {
	return handleCall(ctx, m.server, control, 0, in, m.handler.Replicate)
}

func (m *handlerAdapter) FetchRecords(ctx context.Context, in *peerpb.FetchRecordsRequest) (*peerpb.FetchRecordsResponse, error) {
	return handleCall(ctx, m.server, control, 0, in, m.handler.FetchRecords)
}

func (m *handlerAdapter) FetchConfig(ctx context.Context, in *peerpb.FetchConfigRequest) (*peerpb.FetchConfigResponse, error) {
	return handleCall(ctx, m.server, control, 0, in, m.handler.FetchConfig)
}

func (m *handlerAdapter) RecoverHome(ctx context.Context, in *peerpb.RecoverHomeRequest) (*peerpb.FetchRecordsResponse, error) {
	return handleCall(ctx, m.server, control, 0, in, m.handler.RecoverHome)
}

func (m *handlerAdapter) Submit(ctx context.Context, in *peerpb.SubmitRequest) (*peerpb.RecordResponse, error) {
	out, err := handleCall(ctx, m.server, payload, m.server.opts.cappedWait(in.GetWaitMs()), in, m.handler.Submit)
	return withKey(out, in.GetRequest().GetKey()), err
}

func (m *handlerAdapter) Fate(ctx context.Context, in *peerpb.FateRequest) (*peerpb.RecordResponse, error) {
	out, err := handleCall(ctx, m.server, payload, m.server.opts.cappedWait(in.GetWaitMs()), in, m.handler.Fate)
	return withKey(out, in.GetKey()), err
}

func (m *handlerAdapter) Cancel(ctx context.Context, in *peerpb.CancelRequest) (*peerpb.RecordResponse, error) {
	out, err := handleCall(ctx, m.server, payload, 0, in, m.handler.Cancel)
	return withKey(out, in.GetKey()), err
}

func (m *handlerAdapter) Explain(ctx context.Context, in *peerpb.ExplainRequest) (*peerpb.ExplainResponse, error) {
	out, err := handleCall(ctx, m.server, payload, 0, in, m.handler.Explain)
	if out != nil && out.Key == "" {
		out.Key = in.GetKey()
	}
	return out, err
}

func (m *handlerAdapter) Delegate(ctx context.Context, in *peerpb.DelegateRequest) (*peerpb.RecordResponse, error) {
	out, err := handleCall(ctx, m.server, payload, 0, in, m.handler.Delegate)
	return withKey(out, in.GetRequest().GetKey()), err
}

func (m *handlerAdapter) Drain(ctx context.Context, in *peerpb.DrainRequest) (*peerpb.DrainResponse, error) {
	return handleCall(ctx, m.server, payload, 0, in, m.handler.Drain)
}

func (m *handlerAdapter) Status(ctx context.Context, in *peerpb.StatusRequest) (*peerpb.StatusResponse, error) {
	return handleCall(ctx, m.server, payload, 0, in, m.handler.Status)
}

// withKey sets the key of a response if the handler left it empty.
func withKey(out *peerpb.RecordResponse, key string) *peerpb.RecordResponse {
	if out != nil && out.Key == "" {
		out.Key = key
	}
	return out
}
