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

// errEnded says that a node was told to end before it had a configuration.
var errEnded = errors.New("told to end before there was a configuration")

// configured waits for the first configuration, with the operators' listener open; cfg then follows control until the desk is closed.
// Without control it does nothing, and there is no desk. An error may be errEnded.
func configured(ctx context.Context, cfg *Config, reload <-chan Change, log *slog.Logger) (*desk, error) {
	if cfg.Product == nil || cfg.Product.Control == nil {
		return nil, nil
	}
	d := &desk{}
	if cfg.Mgmt != "" {
		ln, err := d.listen(ctx, cfg.Mgmt)
		if err != nil {
			return nil, fmt.Errorf("mgmt: %w", err)
		}
		d.ln = ln
	}
	debug.SetGCPercent(gcStart)
	d.followed = newFollowed(*cfg, log)
	if d.ln != nil {
		d.lent = &lent{Listener: d.ln}
		d.server = mgmt.Serve(d.lent, d.followed, log, d.followed.page())
	}
	log.Info("waiting for a first configuration", "control", cfg.Product.Control.Addresses)
	if err := d.followed.await(ctx, cfg, reload); err != nil {
		log.Info("told to end", "why it had not begun", d.followed.missing())
		d.close()
		return nil, errEnded
	}
	cfg.followed = d.followed
	debug.FreeOSMemory() // of the answer and its checks
	return d, nil
}

// desk is the operators' listener of a node that is not up yet.
type desk struct {
	ln     net.Listener // nil: nobody can call
	lent   *lent        // to the server that answers until the node does
	server *mgmt.Server

	followed *followed
}

// listen opens the operators' listener, or takes it over where it is open already: who has called is still answered by the server
// before, and who calls from now on waits for whoever serves on it next.
func (d *desk) listen(ctx context.Context, addr string) (net.Listener, error) {
	if d == nil || d.ln == nil {
		return (&net.ListenConfig{KeepAlive: -1}).Listen(ctx, "tcp", addr)
	}
	return d.ln, d.lent.Close()
}

// close closes what is open of it, and ends the calls to control.
func (d *desk) close() {
	if d == nil {
		return
	}
	d.followed.close()
	if d.server != nil {
		d.server.Close()
	}
	if d.ln != nil {
		d.ln.Close()
	}
}

// Ready and the like make it a mgmt.Node for the time in which there is no other: it can do nothing but say why.
func (f *followed) Ready() error                          { return f.unready() }
func (f *followed) Disable(context.Context, string) error { return f.unready() }
func (f *followed) Enable(context.Context, string) error  { return f.unready() }
func (f *followed) Drain(context.Context) error           { return f.unready() }
func (f *followed) Resume(context.Context) error          { return f.unready() }

func (f *followed) unready() error {
	if err := f.missing(); err != nil {
		return err
	}
	return errNotReady // it has one, and builds up
}

var _ mgmt.Node = (*followed)(nil)

// lent is a listener that is used for a while and then given back: Close leaves its socket open, for the next one.
type lent struct {
	net.Listener
	using sync.RWMutex // held for reading by who accepts
	mu    sync.Mutex
	over  bool
}

// Accept takes a connection until Close.
func (l *lent) Accept() (net.Conn, error) {
	l.using.RLock()
	defer l.using.RUnlock()
	if l.closed() {
		return nil, net.ErrClosed
	}
	c, err := l.Listener.Accept()
	if err != nil && l.closed() {
		return nil, net.ErrClosed
	}
	return c, err
}

func (l *lent) closed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.over
}

// Close ends its use, and returns once nobody accepts on it any more.
func (l *lent) Close() error {
	l.mu.Lock()
	again := l.over
	l.over = true
	l.mu.Unlock()
	if again {
		return nil // the next one may be using it by now
	}
	d, ok := l.Listener.(interface{ SetDeadline(time.Time) error })
	if !ok {
		return errors.New("a listener that can't be lent")
	}
	d.SetDeadline(time.Unix(1, 0)) // wakes whoever is accepting
	l.using.Lock()
	defer l.using.Unlock()
	return d.SetDeadline(time.Time{})
}
