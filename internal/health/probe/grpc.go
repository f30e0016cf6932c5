package probe

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	healthpb "google.golang.org/grpc/health/grpc_health_v1"
	"google.golang.org/grpc/status"

	"portstall/internal/health"
)

// GRPC probes by the gRPC health checking protocol (grpc.health.v1). Without Watch it opens a connection for each probe;
// with Watch it keeps one stream open per server, and a probe returns the latest status of the stream: an open stream
// without new statuses still confirms the latest. The zero value with its settings is ready to use. It is safe for
// concurrent use.
type GRPC struct {
	Port    int    // 0: the port of the target
	Service string // empty: the server as a whole
	Watch   bool

	mu      sync.Mutex              // guards the fields below
	streams map[string]*watchStream // by the target's ID
	closed  bool
}

// dialGRPC returns a client connection, which is established when it is first used.
func dialGRPC(t Target, port int) (*grpc.ClientConn, error) {
	addr, err := t.addrWithPort(port)
	if err != nil {
		return nil, err
	}
	return grpc.NewClient("passthrough:///"+addr, grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithContextDialer(func(ctx context.Context, _ string) (net.Conn, error) { return t.Dial(ctx, "tcp", addr) }),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(4096)), grpc.WithDisableServiceConfig(), grpc.WithUserAgent("portstall-check"))
}

// Probe implements Prober.
func (g *GRPC) Probe(ctx context.Context, t Target) (health.Report, error) {
	if g.Watch {
		return g.latestFromWatch(ctx, t)
	}
	return g.check(ctx, t)
}

func (g *GRPC) check(ctx context.Context, t Target) (health.Report, error) {
	conn, err := dialGRPC(t, g.Port)
	if err != nil {
		return health.EmptyReport, err
	}
	defer conn.Close()
	resp, err := healthpb.NewHealthClient(conn).Check(ctx, &healthpb.HealthCheckRequest{Service: g.Service})
	return reportOf(resp.GetStatus(), err)
}

// reportOf returns the report for a status or an error. A server that does not implement the protocol, or whose status is
// unknown, gives an empty report; one that does not know the service is down.
func reportOf(s healthpb.HealthCheckResponse_ServingStatus, err error) (health.Report, error) {
	switch status.Code(err) {
	case codes.OK:
	case codes.Unimplemented:
		return health.EmptyReport, nil
	case codes.NotFound:
		return downReport("the service is not known"), nil
	default:
		return health.EmptyReport, fmt.Errorf("gRPC health check: %w", err)
	}
	switch s {
	case healthpb.HealthCheckResponse_SERVING:
		return upReport, nil
	case healthpb.HealthCheckResponse_NOT_SERVING:
		return downReport("not serving"), nil
	case healthpb.HealthCheckResponse_SERVICE_UNKNOWN:
		return downReport("the service is not known"), nil
	}
	return health.EmptyReport, nil
}

// watchStream is one open Watch stream and its latest status. Its run method owns the stream; other goroutines read status
// and err under mu.
type watchStream struct {
	addr   string
	cancel context.CancelFunc
	ready  chan struct{} // closed once a status was received or the stream has ended

	mu     sync.Mutex
	status healthpb.HealthCheckResponse_ServingStatus
	err    error // not nil once the stream has ended
}

// latestFromWatch returns the latest status of a server's stream, and opens a stream if there is none.
func (g *GRPC) latestFromWatch(ctx context.Context, t Target) (health.Report, error) {
	g.mu.Lock()
	if g.closed {
		g.mu.Unlock()
		return health.EmptyReport, net.ErrClosed
	}
	w := g.streams[t.ID]
	if w != nil && w.addr != t.Addr {
		w.cancel()
		w = nil
	}
	if w == nil {
		streamCtx, cancel := context.WithCancel(context.Background())
		w = &watchStream{addr: t.Addr, cancel: cancel, ready: make(chan struct{})}
		if g.streams == nil {
			g.streams = map[string]*watchStream{}
		}
		g.streams[t.ID] = w
		go w.run(streamCtx, t, g.Port, g.Service)
	}
	g.mu.Unlock()
	select {
	case <-w.ready:
	case <-ctx.Done():
		g.closeWatch(t.ID, w)
		return health.EmptyReport, ctx.Err()
	}
	w.mu.Lock()
	s, err := w.status, w.err
	w.mu.Unlock()
	if err != nil { // the next probe opens a new stream
		g.closeWatch(t.ID, w)
		if status.Code(err) == codes.Unimplemented {
			return g.check(ctx, t)
		}
	}
	return reportOf(s, err)
}

// closeWatch ends a stream and drops it, unless another has replaced it.
func (g *GRPC) closeWatch(id string, w *watchStream) {
	w.cancel()
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.streams[id] == w {
		delete(g.streams, id)
	}
}

// run receives statuses until the stream ends or is cancelled.
func (w *watchStream) run(ctx context.Context, t Target, port int, service string) {
	var once sync.Once
	update := func(s healthpb.HealthCheckResponse_ServingStatus, err error) {
		w.mu.Lock()
		w.status, w.err = s, err
		w.mu.Unlock()
		once.Do(func() { close(w.ready) })
	}
	fail := func(err error) { update(healthpb.HealthCheckResponse_UNKNOWN, err) }
	conn, err := dialGRPC(t, port)
	if err != nil {
		fail(err)
		return
	}
	defer conn.Close()
	stream, err := healthpb.NewHealthClient(conn).Watch(ctx, &healthpb.HealthCheckRequest{Service: service})
	if err != nil {
		fail(err)
		return
	}
	for {
		resp, err := stream.Recv()
		if err != nil {
			fail(errors.Join(errWatchEnded, err))
			return
		}
		update(resp.GetStatus(), nil)
	}
}

// errWatchEnded marks the errors of a stream that had been opened.
var errWatchEnded = errors.New("watch stream ended")

// Forget ends the stream of a server that is no longer probed.
func (g *GRPC) Forget(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if w := g.streams[id]; w != nil {
		w.cancel()
		delete(g.streams, id)
	}
}

// Close ends all streams. Later probes with Watch fail.
func (g *GRPC) Close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
	for _, w := range g.streams {
		w.cancel()
	}
	g.streams = nil
}
