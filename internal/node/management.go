package node

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"runtime/debug"
	"sync"
	"time"

	"portstall/internal/mgmt"
)

// errStoppedEarly is returned where a node is stopped before it has a configuration.
var errStoppedEarly = errors.New("stopped before the first configuration arrived")

// awaitConfiguration waits for the first configuration from control, with the management listener open; cfg then
// follows control until the endpoint is closed. Without control it does nothing and returns no endpoint. An error may
// be errStoppedEarly.
func awaitConfiguration(ctx context.Context, cfg *Config, reload <-chan Change, log *slog.Logger) (*managementEndpoint, error) {
	if cfg.Product == nil || cfg.Product.Control == nil {
		return nil, nil
	}
	endpoint := &managementEndpoint{}
	if cfg.Mgmt != "" {
		listener, err := endpoint.listen(ctx, cfg.Mgmt)
		if err != nil {
			return nil, fmt.Errorf("mgmt: %w", err)
		}
		endpoint.listener = listener
	}
	debug.SetGCPercent(initialGCPercent)
	endpoint.follower = newConfigFollower(*cfg, log)
	if endpoint.listener != nil {
		endpoint.borrowed = &borrowedListener{Listener: endpoint.listener}
		endpoint.server = mgmt.Serve(endpoint.borrowed, endpoint.follower, log, endpoint.follower.page())
	}
	log.Info("waiting for the first configuration", "control", cfg.Product.Control.Addresses)
	if err := endpoint.follower.await(ctx, cfg, reload); err != nil {
		log.Info("stopping before the first configuration arrived", "reason", endpoint.follower.missingConfiguration())
		endpoint.close()
		return nil, errStoppedEarly
	}
	cfg.follower = endpoint.follower
	debug.FreeOSMemory() // memory of the response and its checks
	return endpoint, nil
}

// managementEndpoint is the management listener of a node that is not up yet. It is used by one goroutine.
type managementEndpoint struct {
	listener net.Listener      // nil: no management address is configured
	borrowed *borrowedListener // used by server until the node is up
	server   *mgmt.Server      // answers operators until the node is up

	follower *configFollower
}

// listen opens the management listener, or hands it over where it is open already: requests accepted before are still
// answered by the early server, and later ones wait for the server that uses the listener next.
func (e *managementEndpoint) listen(ctx context.Context, addr string) (net.Listener, error) {
	if e == nil || e.listener == nil {
		return (&net.ListenConfig{KeepAlive: -1}).Listen(ctx, "tcp", addr)
	}
	return e.listener, e.borrowed.Close()
}

// close closes the endpoint, and ends the calls to control.
func (e *managementEndpoint) close() {
	if e == nil {
		return
	}
	e.follower.close()
	if e.server != nil {
		e.server.Close()
	}
	if e.listener != nil {
		e.listener.Close()
	}
}

// Ready and the methods below implement mgmt.Node while there is no node: each only returns the reason.
func (f *configFollower) Ready() error                          { return f.notReady() }
func (f *configFollower) Disable(context.Context, string) error { return f.notReady() }
func (f *configFollower) Enable(context.Context, string) error  { return f.notReady() }
func (f *configFollower) Drain(context.Context) error           { return f.notReady() }
func (f *configFollower) Resume(context.Context) error          { return f.notReady() }

func (f *configFollower) notReady() error {
	if err := f.missingConfiguration(); err != nil {
		return err
	}
	return errNotReady // it has a configuration, and the node is starting
}

var _ mgmt.Node = (*configFollower)(nil)

// borrowedListener is a listener that is used for a while and then given back: Close leaves its socket open for the
// next user.
type borrowedListener struct {
	net.Listener
	accepting sync.RWMutex // read-locked during Accept
	mu        sync.Mutex
	released  bool // guarded by mu
}

// Accept accepts a connection; after Close it returns net.ErrClosed.
func (l *borrowedListener) Accept() (net.Conn, error) {
	l.accepting.RLock()
	defer l.accepting.RUnlock()
	if l.isReleased() {
		return nil, net.ErrClosed
	}
	c, err := l.Listener.Accept()
	if err != nil && l.isReleased() {
		return nil, net.ErrClosed
	}
	return c, err
}

func (l *borrowedListener) isReleased() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.released
}

// Close ends the use of the listener, and returns once no Accept is under way.
func (l *borrowedListener) Close() error {
	l.mu.Lock()
	again := l.released
	l.released = true
	l.mu.Unlock()
	if again {
		return nil // the next user may hold the listener by now
	}
	d, ok := l.Listener.(interface{ SetDeadline(time.Time) error })
	if !ok {
		return errors.New("listener has no accept deadline and can't be handed on")
	}
	d.SetDeadline(time.Unix(1, 0)) // wakes an Accept under way
	l.accepting.Lock()
	defer l.accepting.Unlock()
	return d.SetDeadline(time.Time{})
}
