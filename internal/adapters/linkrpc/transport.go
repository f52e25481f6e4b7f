package linkrpc

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcctx"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"catkinvalve/internal/cellpb"
	"catkinvalve/internal/pause"
)

// helloTimeout limits the exchange of hello messages.
const helloTimeout = time.Second

// acceptBackoff is the delay after a failed accept.
const acceptBackoff = 50 * time.Millisecond

// errNoHello is returned when the first frame on a link is not a hello. On an accepted link
// it is sent to the peer.
var errNoHello = errors.New("the first frame is no hello")

// Viewer provides the daemon's view of the cell, in particular of its leader.
type Viewer interface {
	// View returns the current view. It may be called concurrently.
	View(*cellpb.ViewRequest) *cellpb.ViewResponse
}

// Transport opens and accepts links. Its fields must be set before use.
type Transport struct {
	// Hello returns the first message on a link, which describes this daemon.
	Hello    func() *cellpb.Hello
	Handler  Handler
	Viewer   Viewer
	Registry metrics.Registry
	Log      *logrus.Entry
}

// Dial opens a link, exchanges hello messages and serves the link on a goroutine of wg. The
// context limits only the time to connect.
func (t *Transport) Dial(ctx context.Context, address string, wg *conc.WaitGroup) (*Link, error) {
	conn, err := dial(ctx, address)
	if err != nil {
		return nil, err
	}
	s, err := cellpb.NewDRPCLinksClient(drpcconn.New(writeTimeoutConn{conn})).Connect(context.Background())
	if err != nil {
		return nil, errors.Join(err, conn.Close())
	}
	l := t.newLink(s, conn)
	if err := t.exchangeHello(l); err != nil {
		l.Close()
		return nil, err
	}
	wg.Go(func() { l.run(t.Handler) })
	return l, nil
}

// dial opens a connection within dialTimeout.
func dial(ctx context.Context, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	return (&net.Dialer{}).DialContext(ctx, "tcp", address)
}

// exchangeHello sends this daemon's hello and receives the peer's. It closes the link if
// that takes longer than helloTimeout. When it returns an error, the caller must close the
// link.
func (t *Transport) exchangeHello(l *Link) error {
	timer := time.AfterFunc(helloTimeout, l.Close)
	defer timer.Stop()
	if err := l.stream.Send(&cellpb.Frame{Hello: t.Hello()}); err != nil {
		return err
	}
	f, err := l.stream.Recv()
	if err != nil {
		return err
	}
	if f.Hello == nil {
		return errNoHello
	}
	l.PeerHello, l.HelloReceivedAt = f.Hello, time.Now()
	return nil
}

// FetchView asks the daemon at an address for its view.
func (t *Transport) FetchView(ctx context.Context, address string, req *cellpb.ViewRequest) (*cellpb.ViewResponse, error) {
	conn, err := dial(ctx, address)
	if err != nil {
		return nil, err
	}
	client := drpcconn.New(writeTimeoutConn{conn})
	defer func() { _ = client.Close() }()
	return cellpb.NewDRPCLinksClient(client).View(ctx, req)
}

// Serve accepts links until ctx is done, and then closes the listener l and returns nil after
// all accepted links have ended.
func (t *Transport) Serve(ctx context.Context, l net.Listener) error {
	mux := drpcmux.New()
	if err := cellpb.DRPCRegisterLinks(mux, &server{t: t}); err != nil {
		return err
	}
	drpc := drpcserver.New(callHandler{mux})
	stop := context.AfterFunc(ctx, func() { _ = l.Close() })
	defer stop()
	var wg conc.WaitGroup
	defer wg.Wait()
	for {
		conn, err := l.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			t.Log.WithError(err).Warn("cannot accept a link connection")
			pause.For(ctx, acceptBackoff)
			continue
		}
		wg.Go(func() {
			if err := drpc.ServeOne(ctx, writeTimeoutConn{conn}); err != nil {
				t.Log.WithError(err).Debug("link connection closed with an error")
			}
		})
	}
}

// server serves the RPCs of accepted connections.
type server struct {
	t *Transport
	// largestView is the encoded size of the largest view so far, in bytes.
	largestView atomic.Int64
}

// Connect implements cellpb.DRPCLinksServer. It returns when the link is closed. An error
// that it returns is sent to the peer.
func (s *server) Connect(st cellpb.DRPCLinks_ConnectStream) error {
	transport, _ := drpcctx.Transport(st.Context())
	conn, ok := transport.(net.Conn)
	if !ok {
		return fmt.Errorf("the stream has no connection")
	}
	l := s.t.newLink(st, conn)
	if err := s.t.exchangeHello(l); err != nil {
		l.Close()
		return err
	}
	if c := limitedConn(conn); c != nil {
		c.Identified()
	}
	l.run(s.t.Handler)
	return nil
}
