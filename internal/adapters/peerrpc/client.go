package peerrpc

import (
	"context"
	"errors"
	"time"

	"github.com/rcrowley/go-metrics"
	"google.golang.org/protobuf/proto"

	"catkinvalve/internal/fault"
	"catkinvalve/internal/peerpb"
	"catkinvalve/internal/telemetry"
)

var errBlocked = errors.New("the link is blocked by fault injection")

// Client calls other daemons. It connects when a call needs a connection. It returns errors
// of type *fault.Error, also for a fault in a response. NotSent reports whether a call
// failed before anything was sent. A Client can be used concurrently.
type Client struct {
	opts             Options
	control          *pool
	payload          *pool
	limiter          *regionLimiter
	droppedResponses metrics.Counter
}

// NewClient returns a client. Close releases its connections.
func NewClient(opts Options) *Client {
	opts = opts.withDefaults()
	return &Client{
		opts:             opts,
		control:          newPool(control, opts.MaxControlConns, opts),
		payload:          newPool(payload, opts.MaxPayloadConns, opts),
		limiter:          newRegionLimiter(opts.Self.Region, opts.PayloadBytesPerSecond, opts.MaxMessageBytes),
		droppedResponses: telemetry.Counter(opts.Registry, "peer.client.dropped_answers"),
	}
}

// Close closes idle connections and rejects further calls. Calls in progress continue, and
// their connections are closed when they end.
func (c *Client) Close() error { return errors.Join(c.control.close(), c.payload.close()) }

// callSpec describes a call.
type callSpec struct {
	to   Target
	kind kind
	wait time.Duration
	in   proto.Message
	// key is the key that the response must contain; it is empty for responses without a key.
	key string
}

type keyGetter interface{ GetKey() string }

type faultGetter interface{ GetFault() *peerpb.Fault }

// invoke makes a call within the limits of time, size, rate and connections.
func invoke[Out proto.Message](ctx context.Context, c *Client, spec callSpec, call func(context.Context, peerpb.DRPCPeerClient) (Out, error)) (Out, error) {
	var zero Out
	ctx, cancel := context.WithTimeout(ctx, spec.wait+c.opts.CallTimeout)
	defer cancel()
	if err := c.admit(ctx, spec); err != nil {
		return zero, err
	}
	p := c.pool(spec.kind)
	conn, err := p.take(ctx, spec.to)
	if err != nil {
		return zero, err
	}
	deadline, _ := ctx.Deadline()
	out, err := call(withMetadata(ctx, c.opts.Self, time.Until(deadline)), peerpb.NewDRPCPeerClient(conn))
	remoteFault := decodeFault(err)
	wrote := conn.tracked.wrote.Load()
	p.put(spec.to, conn, err != nil && remoteFault == nil)
	switch {
	case remoteFault != nil:
		return zero, remoteFault
	case err != nil && !wrote:
		return zero, unreachableFault(err, spec.to)
	case err != nil:
		return zero, outcomeUnknownFault(err, spec.to)
	}
	return out, c.checkResponse(spec, out)
}

func (c *Client) pool(k kind) *pool {
	if k == control {
		return c.control
	}
	return c.payload
}

// admit makes the checks that precede sending. For a payload call it waits until the rate
// limit permits the message.
func (c *Client) admit(ctx context.Context, spec callSpec) error {
	if c.opts.Blocked(spec.to.ID) {
		return unreachableFault(errBlocked, spec.to)
	}
	size := proto.Size(spec.in)
	if size > c.opts.MaxMessageBytes {
		return notSentFault(errors.New("message too large"), fault.TooLarge, "send a smaller request; nothing was sent",
			"the message to daemon %s has %d bytes, the limit is %d", spec.to.ID, size, c.opts.MaxMessageBytes)
	}
	if spec.kind == control {
		return nil
	}
	if err := c.limiter.wait(ctx, spec.to.Region, size); err != nil {
		return notSentFault(err, fault.Overloaded, "retry later; nothing was sent",
			"the payload rate to region %s is exhausted", spec.to.Region)
	}
	return nil
}

// checkResponse returns an error when the response is for another key than the call, or the
// fault that the response contains.
func (c *Client) checkResponse(spec callSpec, out proto.Message) error {
	if k, ok := out.(keyGetter); ok && spec.key != "" && k.GetKey() != spec.key {
		c.droppedResponses.Inc(1)
		return outcomeUnknownFault(errors.New("the response is for another key"), spec.to)
	}
	if f, ok := out.(faultGetter); ok && f.GetFault() != nil {
		return peerpb.FaultFromProto(f.GetFault())
	}
	return nil
}
