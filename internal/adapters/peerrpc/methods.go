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

func (a *handlerAdapter) Heartbeat(ctx context.Context, in *peerpb.HeartbeatRequest) (*peerpb.HeartbeatResponse, error) {
	return handleCall(ctx, a.server, control, 0, in, a.handler.Heartbeat)
}

func (a *handlerAdapter) Replicate(ctx context.Context, in *peerpb.ReplicateRequest) (*peerpb.ReplicateResponse, error) {
	return handleCall(ctx, a.server, control, 0, in, a.handler.Replicate)
}

func (a *handlerAdapter) FetchRecords(ctx context.Context, in *peerpb.FetchRecordsRequest) (*peerpb.FetchRecordsResponse, error) {
	return handleCall(ctx, a.server, control, 0, in, a.handler.FetchRecords)
}

func (a *handlerAdapter) FetchConfig(ctx context.Context, in *peerpb.FetchConfigRequest) (*peerpb.FetchConfigResponse, error) {
	return handleCall(ctx, a.server, control, 0, in, a.handler.FetchConfig)
}

func (a *handlerAdapter) RecoverHome(ctx context.Context, in *peerpb.RecoverHomeRequest) (*peerpb.FetchRecordsResponse, error) {
	return handleCall(ctx, a.server, control, 0, in, a.handler.RecoverHome)
}

func (a *handlerAdapter) Submit(ctx context.Context, in *peerpb.SubmitRequest) (*peerpb.RecordResponse, error) {
	out, err := handleCall(ctx, a.server, payload, a.server.opts.cappedWait(in.GetWaitMs()), in, a.handler.Submit)
	return withKey(out, in.GetRequest().GetKey()), err
}

func (a *handlerAdapter) Fate(ctx context.Context, in *peerpb.FateRequest) (*peerpb.RecordResponse, error) {
	out, err := handleCall(ctx, a.server, payload, a.server.opts.cappedWait(in.GetWaitMs()), in, a.handler.Fate)
	return withKey(out, in.GetKey()), err
}

func (a *handlerAdapter) Cancel(ctx context.Context, in *peerpb.CancelRequest) (*peerpb.RecordResponse, error) {
	out, err := handleCall(ctx, a.server, payload, 0, in, a.handler.Cancel)
	return withKey(out, in.GetKey()), err
}

func (a *handlerAdapter) Explain(ctx context.Context, in *peerpb.ExplainRequest) (*peerpb.ExplainResponse, error) {
	out, err := handleCall(ctx, a.server, payload, 0, in, a.handler.Explain)
	if out != nil && out.Key == "" {
		out.Key = in.GetKey()
	}
	return out, err
}

func (a *handlerAdapter) Delegate(ctx context.Context, in *peerpb.DelegateRequest) (*peerpb.RecordResponse, error) {
	out, err := handleCall(ctx, a.server, payload, 0, in, a.handler.Delegate)
	return withKey(out, in.GetRequest().GetKey()), err
}

func (a *handlerAdapter) Drain(ctx context.Context, in *peerpb.DrainRequest) (*peerpb.DrainResponse, error) {
	return handleCall(ctx, a.server, payload, 0, in, a.handler.Drain)
}

func (a *handlerAdapter) Status(ctx context.Context, in *peerpb.StatusRequest) (*peerpb.StatusResponse, error) {
	return handleCall(ctx, a.server, payload, 0, in, a.handler.Status)
}

// withKey sets the key of a response if the handler left it empty.
func withKey(out *peerpb.RecordResponse, key string) *peerpb.RecordResponse {
	if out != nil && out.Key == "" {
		out.Key = key
	}
	return out
}
