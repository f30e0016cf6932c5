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

// GRPC asks by the gRPC health checking protocol (grpc.health.v1). Check opens a connection for each probe; Watch keeps one
// stream a server, and each probe tells what the stream said last: a server that says nothing new is still heard. The zero
// value but for its settings is ready to use; safe for concurrent use.
type GRPC struct {
	Port    int
	Service string // empty: the server as a whole
	Watch   bool

	mu      sync.Mutex
	watches map[string]*watch // by the target's id
	closed  bool
}

// dialGRPC is a connection that is made when it is first used.
func dialGRPC(t Target, port int) (*grpc.ClientConn, error) {
	addr, err := t.at(port)
	if err != nil {
		return nil, err
	}
	return grpc.NewClient("passthrough:///"+addr, grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithContextDialer(func(ctx context.Context, _ string) (net.Conn, error) { return t.Dial(ctx, "tcp", addr) }),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(4096)), grpc.WithDisableServiceConfig(), grpc.WithUserAgent("portstall-check"))
}

// Probe makes it a Prober.
func (g *GRPC) Probe(ctx context.Context, t Target) (health.Word, error) {
	if g.Watch {
		return g.watched(ctx, t)
	}
	return g.check(ctx, t)
}

func (g *GRPC) check(ctx context.Context, t Target) (health.Word, error) {
	conn, err := dialGRPC(t, g.Port)
	if err != nil {
		return health.Silent, err
	}
	defer conn.Close()
	resp, err := healthpb.NewHealthClient(conn).Check(ctx, &healthpb.HealthCheckRequest{Service: g.Service})
	return word(resp.GetStatus(), err)
}

// word is what an answer says. A server that does not implement the protocol, or says that it does not know yet, says
// nothing; one that does not know the service is down.
func word(s healthpb.HealthCheckResponse_ServingStatus, err error) (health.Word, error) {
	switch status.Code(err) {
	case codes.OK:
	case codes.Unimplemented:
		return health.Silent, nil
	case codes.NotFound:
		return down("the service is not known"), nil
	default:
		return health.Silent, fmt.Errorf("asking for its health: %w", err)
	}
	switch s {
	case healthpb.HealthCheckResponse_SERVING:
		return up, nil
	case healthpb.HealthCheckResponse_NOT_SERVING:
		return down("not serving"), nil
	case healthpb.HealthCheckResponse_SERVICE_UNKNOWN:
		return down("the service is not known"), nil
	}
	return health.Silent, nil
}

// watch is one kept stream.
type watch struct {
	addr   string
	cancel context.CancelFunc
	first  chan struct{} // closed once a status has come, or the stream has ended

	mu     sync.Mutex
	status healthpb.HealthCheckResponse_ServingStatus
	err    error // of a stream that has ended
}

// watched is what a server's stream says, which is opened where there is none.
func (g *GRPC) watched(ctx context.Context, t Target) (health.Word, error) {
	g.mu.Lock()
	if g.closed {
		g.mu.Unlock()
		return health.Silent, net.ErrClosed
	}
	w := g.watches[t.ID]
	if w != nil && w.addr != t.Addr {
		w.cancel()
		w = nil
	}
	if w == nil {
		long, cancel := context.WithCancel(context.Background())
		w = &watch{addr: t.Addr, cancel: cancel, first: make(chan struct{})}
		if g.watches == nil {
			g.watches = map[string]*watch{}
		}
		g.watches[t.ID] = w
		go w.run(long, t, g.Port, g.Service)
	}
	g.mu.Unlock()
	select {
	case <-w.first:
	case <-ctx.Done():
		g.drop(t.ID, w)
		return health.Silent, ctx.Err()
	}
	w.mu.Lock()
	s, err := w.status, w.err
	w.mu.Unlock()
	if err != nil { // a new one begins at the next probe
		g.drop(t.ID, w)
		if status.Code(err) == codes.Unimplemented {
			return g.check(ctx, t)
		}
	}
	return word(s, err)
}

func (g *GRPC) drop(id string, w *watch) {
	w.cancel()
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.watches[id] == w {
		delete(g.watches, id)
	}
}

// run follows a stream until it ends or is cancelled.
func (w *watch) run(ctx context.Context, t Target, port int, service string) {
	var once sync.Once
	told := func(s healthpb.HealthCheckResponse_ServingStatus, err error) {
		w.mu.Lock()
		w.status, w.err = s, err
		w.mu.Unlock()
		once.Do(func() { close(w.first) })
	}
	fail := func(err error) { told(healthpb.HealthCheckResponse_UNKNOWN, err) }
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
			fail(errors.Join(errBroke, err))
			return
		}
		told(resp.GetStatus(), nil)
	}
}

var errBroke = errors.New("the watch broke")

// Forget ends the stream of a server that is gone.
func (g *GRPC) Forget(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if w := g.watches[id]; w != nil {
		w.cancel()
		delete(g.watches, id)
	}
}

// Close ends all streams.
func (g *GRPC) Close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
	for _, w := range g.watches {
		w.cancel()
	}
	g.watches = nil
}
