package peerrpc

import (
	"context"

	"google.golang.org/protobuf/proto"

	"catkinvalve/internal/peerpb"
)

// method is a method expression of the generated client.
type method[In, Out proto.Message] func(peerpb.DRPCPeerClient, context.Context, In) (Out, error)

// call makes the call that spec describes with the message in and a method of the generated
// client.
func call[In, Out proto.Message](ctx context.Context, c *Client, spec callSpec, m method[In, Out], in In) (Out, error) {
	spec.in = in
	return invoke(ctx, c, spec, func(ctx context.Context, peer peerpb.DRPCPeerClient) (Out, error) { return m(peer, ctx, in) })
}

// Heartbeat makes a control call.
func (c *Client) Heartbeat(ctx context.Context, to Target, in *peerpb.HeartbeatRequest) (*peerpb.HeartbeatResponse, error) {
	return call(ctx, c, callSpec{to: to, kind: control}, peerpb.DRPCPeerClient.Heartbeat, in)
}

// Replicate makes a control call.
func (c *Client) Replicate(ctx context.Context, to Target, in *peerpb.ReplicateRequest) (*peerpb.ReplicateResponse, error) {
	return call(ctx, c, callSpec{to: to, kind: control}, peerpb.DRPCPeerClient.Replicate, in)
}

// FetchRecords makes a control call.
func (c *Client) FetchRecords(ctx context.Context, to Target, in *peerpb.FetchRecordsRequest) (*peerpb.FetchRecordsResponse, error) {
	return call(ctx, c, callSpec{to: to, kind: control}, peerpb.DRPCPeerClient.FetchRecords, in)
}

// FetchConfig makes a control call.
func (c *Client) FetchConfig(ctx context.Context, to Target, in *peerpb.FetchConfigRequest) (*peerpb.FetchConfigResponse, error) {
	return call(ctx, c, callSpec{to: to, kind: control}, peerpb.DRPCPeerClient.FetchConfig, in)
}

// RecoverHome makes a control call.
func (c *Client) RecoverHome(ctx context.Context, to Target, in *peerpb.RecoverHomeRequest) (*peerpb.FetchRecordsResponse, error) {
	return call(ctx, c, callSpec{to: to, kind: control}, peerpb.DRPCPeerClient.RecoverHome, in)
}

// Submit makes a payload call. Its timeout is CallTimeout plus in.WaitMs, which is limited to
// MaxWait.
func (c *Client) Submit(ctx context.Context, to Target, in *peerpb.SubmitRequest) (*peerpb.RecordResponse, error) {
	spec := callSpec{to: to, kind: payload, key: in.GetRequest().GetKey(), wait: c.opts.cappedWait(in.GetWaitMs())}
	return call(ctx, c, spec, peerpb.DRPCPeerClient.Submit, in)
}

// Fate makes a payload call. Its timeout is CallTimeout plus in.WaitMs, which is limited to
// MaxWait.
func (c *Client) Fate(ctx context.Context, to Target, in *peerpb.FateRequest) (*peerpb.RecordResponse, error) {
	spec := callSpec{to: to, kind: payload, key: in.GetKey(), wait: c.opts.cappedWait(in.GetWaitMs())}
	return call(ctx, c, spec, peerpb.DRPCPeerClient.Fate, in)
}

// Cancel makes a payload call.
func (c *Client) Cancel(ctx context.Context, to Target, in *peerpb.CancelRequest) (*peerpb.RecordResponse, error) {
	return call(ctx, c, callSpec{to: to, kind: payload, key: in.GetKey()}, peerpb.DRPCPeerClient.Cancel, in)
}

// Explain makes a payload call.
func (c *Client) Explain(ctx context.Context, to Target, in *peerpb.ExplainRequest) (*peerpb.ExplainResponse, error) {
	return call(ctx, c, callSpec{to: to, kind: payload, key: in.GetKey()}, peerpb.DRPCPeerClient.Explain, in)
}

// Delegate makes a payload call.
func (c *Client) Delegate(ctx context.Context, to Target, in *peerpb.DelegateRequest) (*peerpb.RecordResponse, error) {
	return call(ctx, c, callSpec{to: to, kind: payload, key: in.GetRequest().GetKey()}, peerpb.DRPCPeerClient.Delegate, in)
}

// Drain makes a payload call.
func (c *Client) Drain(ctx context.Context, to Target, in *peerpb.DrainRequest) (*peerpb.DrainResponse, error) {
	return call(ctx, c, callSpec{to: to, kind: payload}, peerpb.DRPCPeerClient.Drain, in)
}

// Status makes a payload call.
func (c *Client) Status(ctx context.Context, to Target, in *peerpb.StatusRequest) (*peerpb.StatusResponse, error) {
	return call(ctx, c, callSpec{to: to, kind: payload}, peerpb.DRPCPeerClient.Status, in)
}
