package peerrpc

import (
	"context"
	"errors"
	"runtime/debug"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"
	"storj.io/drpc"
	"storj.io/drpc/drpcctx"

	"catkinvalve/internal/fault"
)

var errNoConn = errors.New("the call's context has no connection")

// interceptor is the outermost handler of the calls of a server.
type interceptor struct {
	server *Server
	next   drpc.Handler
}

// HandleRPC implements drpc.Handler. It rejects calls while the server is shutting down and
// recovers from panics of handlers. On a call from a blocked daemon it closes the
// connection without a response, which simulates a broken link.
func (i *interceptor) HandleRPC(stream drpc.Stream, rpc string) (err error) {
	conn, err := connFromContext(stream.Context())
	if err != nil {
		return encodeFault(err)
	}
	caller, _ := readMetadata(stream.Context(), 0)
	if i.server.opts.Blocked(caller.ID) {
		i.server.blockedCalls.Inc(1)
		return conn.Close()
	}
	if i.server.draining.Load() {
		return encodeFault(fault.New(fault.Draining, "use another daemon; the call had no effect", "the daemon is shutting down"))
	}
	conn.beginCall(i.server.opts.CallTimeout)
	defer conn.endCall()
	defer func() {
		if cause := recover(); cause != nil {
			err = i.server.handlePanic(rpc, cause)
		}
	}()
	if limited, ok := conn.Conn.(memoryReserver); ok {
		stream = &limitedStream{Stream: stream, conn: limited}
	}
	return i.next.HandleRPC(stream, rpc)
}

// connFromContext returns the connection on which a call arrived, or errNoConn when the
// context of a stream does not contain one.
func connFromContext(ctx context.Context) (*serverConn, error) {
	transport, _ := drpcctx.Transport(ctx)
	conn, ok := transport.(*serverConn)
	if !ok {
		return nil, errNoConn
	}
	return conn, nil
}

// handlePanic logs a handler's panic and returns the error for the caller, which does not
// contain the panic's value or stack.
func (s *Server) handlePanic(rpc string, cause any) error {
	s.panics.Inc(1)
	s.opts.Log.WithFields(logrus.Fields{"rpc": rpc, "panic": cause, "stack": string(debug.Stack())}).Error("panic in a peer call")
	return encodeFault(fault.New(fault.Internal, "report this as a defect with the daemon's log", "the peer call failed inside the daemon"))
}

// handleCall runs a handler with a deadline of at most CallTimeout plus wait. It limits the
// size of the message and of the response, and the rate of payload responses.
func handleCall[In, Out proto.Message](streamCtx context.Context, s *Server, k kind, wait time.Duration, in In, handler func(context.Context, In) (Out, error)) (Out, error) {
	var zero Out
	conn, err := connFromContext(streamCtx)
	if err != nil {
		return zero, encodeFault(err)
	}
	conn.messageReceived()
	caller, timeout := readMetadata(streamCtx, s.opts.CallTimeout+wait)
	ctx, cancel := handlerContext(streamCtx, caller, timeout)
	defer cancel()
	if size := proto.Size(in); size > s.opts.MaxMessageBytes {
		return zero, encodeFault(tooLargeFault("message", size, s.opts.MaxMessageBytes))
	}
	out, err := handler(ctx, in)
	if err != nil {
		return zero, encodeFault(timeoutFault(err))
	}
	size := proto.Size(out)
	if size > s.opts.MaxMessageBytes {
		return zero, encodeFault(tooLargeFault("answer", size, s.opts.MaxMessageBytes))
	}
	if k == payload {
		if err := s.limiter.wait(ctx, caller.Region, size); err != nil {
			return zero, encodeFault(rateExceededFault(err, caller.Region))
		}
	}
	return out, nil
}

// handlerContext returns a context that ends with the stream or after the timeout. It does
// not inherit the values of the stream's context, because drpc would copy the caller's
// metadata to the calls that a handler makes.
func handlerContext(streamCtx context.Context, caller Caller, timeout time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(context.WithValue(context.Background(), callerKey{}, caller), timeout)
	stop := context.AfterFunc(streamCtx, cancel)
	return ctx, func() { stop(); cancel() }
}

// timeoutFault returns a *fault.Error for a handler's context error and any other err
// unchanged. The handler may have executed the call before the context ended.
func timeoutFault(err error) error {
	var typed *fault.Error
	if errors.As(err, &typed) || !errors.Is(err, context.DeadlineExceeded) && !errors.Is(err, context.Canceled) {
		return err
	}
	return fault.Wrap(err, fault.FateUnknownYet, "ask for the fate of the key later, through any daemon", "the peer call did not end in time")
}

func tooLargeFault(subject string, size, limit int) error {
	return fault.New(fault.TooLarge, "ask for less at a time or send smaller requests", "the %s has %d bytes, the limit is %d", subject, size, limit)
}

// rateExceededFault returns the error for a response that the rate limit does not permit
// before the deadline. The call itself was executed.
func rateExceededFault(cause error, region string) error {
	return fault.Wrap(cause, fault.FateUnknownYet, "ask for the fate of the key later, through any daemon",
		"the answer exceeds the payload rate to region %s", region)
}
