package linkrpc

import (
	"context"
	"net"

	"google.golang.org/protobuf/proto"
	"storj.io/drpc"
	"storj.io/drpc/drpcctx"

	"catkinvalve/internal/adapters/intakedrpc"
	"catkinvalve/internal/cellpb"
)

// bytesPerViewByte covers a view, its encoding and the buffer from which it is sent.
const bytesPerViewByte = 4

// limitedConn returns the connection that limits what its peer makes the daemon hold, and nil if the
// accepted connection conn has no limits.
func limitedConn(conn net.Conn) intakedrpc.Conn {
	wrapped, _ := conn.(writeTimeoutConn)
	limited, _ := wrapped.Conn.(intakedrpc.Conn)
	return limited
}

// limitedConnOf returns the limitedConn of the call with the given context.
func limitedConnOf(ctx context.Context) intakedrpc.Conn {
	transport, _ := drpcctx.Transport(ctx)
	conn, _ := transport.(net.Conn)
	return limitedConn(conn)
}

// callHandler releases what a call has reserved when its answer was sent.
type callHandler struct{ next drpc.Handler }

// HandleRPC implements drpc.Handler.
func (h callHandler) HandleRPC(stream drpc.Stream, rpc string) error {
	if conn := limitedConnOf(stream.Context()); conn != nil {
		defer conn.CallEnded()
	}
	return h.next.HandleRPC(stream, rpc)
}

// View implements cellpb.DRPCLinksServer. It reserves memory for the answer, which is held until the
// peer has read it, before it creates it. It expects the size of the largest one so far.
func (s *server) View(ctx context.Context, req *cellpb.ViewRequest) (*cellpb.ViewResponse, error) {
	if conn := limitedConnOf(ctx); conn != nil {
		if err := conn.Reserve(bytesPerViewByte * s.largestView.Load()); err != nil {
			return nil, err
		}
	}
	view := s.t.Viewer.View(req)
	if size := int64(proto.Size(view)); size > s.largestView.Load() {
		s.largestView.Store(size)
	}
	return view, nil
}
