package node

import (
	"context"
	"errors"
	"fmt"
	"net"
	"path/filepath"
	"syscall"
	"time"

	"portstall/internal/back"
	"portstall/internal/config"
	"portstall/internal/contract"
	fronthttp "portstall/internal/front/http"
	"portstall/internal/front/tunnel"
)

// bindTime is how long a predecessor may take to give up a tunnels' address.
const bindTimeout = 10 * time.Second

// tunnels opens the listeners on which clients ask for tunnels. One with HTTP inside is one more of the clients'
// connections: each request in it is read, decided, bounded and drained like any other. An opaque one is a request itself.
// They take no more clients when ctx ends, or a successor serves.
func (n *node) tunnels(ctx context.Context, t *config.Tunnels) error {
	table := n.routes // control's
	if table == nil {
		var err error
		if table, err = t.Table(); err != nil {
			return err
		}
	}
	f := tunnel.NewFront(tunnel.Options{Core: n.core, Table: table, Log: n.log, Away: n.life.sendsAway, Go: n.clients.Go,
		Take: n.clients.Take, Leave: n.clients.Leave, HTTP: n.clients.Serve,
		Caller: func(conn net.Conn, user string) contract.Caller {
			return fronthttp.Caller(nil, fronthttp.Address(conn), user)
		}})
	ctx, cancel := context.WithCancel(ctx)
	context.AfterFunc(n.core.Context(), cancel)
	n.core.Lock()
	defer n.core.Unlock()
	n.core.Go(func() {
		select {
		case <-ctx.Done():
		case <-n.pair.relieved:
			cancel()
		}
	})
	for _, l := range []struct {
		addr string
		read tunnel.Opener
	}{{t.SOCKS5, tunnel.SOCKS5}, {t.Connect, tunnel.Connect}} {
		if l.addr == "" {
			continue
		}
		ln, err := (&net.ListenConfig{KeepAlive: -1}).Listen(ctx, "tcp", l.addr)
		if err != nil && !errors.Is(err, syscall.EADDRINUSE) {
			cancel()
			return err
		}
		n.core.Go(func() {
			if ln == nil { // a predecessor has the address, and gives it up once this process serves
				if ln = n.listenWhenFree(ctx, l.addr); ln == nil {
					return
				}
			}
			context.AfterFunc(ctx, func() { ln.Close() })
			f.Accept(ln, l.read)
		})
	}
	return nil
}

// await opens a listener as soon as its address is free, or tells that it never was.
func (n *node) listenWhenFree(ctx context.Context, addr string) net.Listener {
	for end := time.Now().Add(bindTimeout); ctx.Err() == nil; sleep(ctx, 50*time.Millisecond) {
		ln, err := (&net.ListenConfig{KeepAlive: -1}).Listen(ctx, "tcp", addr)
		if err == nil {
			return ln
		}
		if time.Now().After(end) {
			n.log.Error("tunnels: the address stays taken; none are opened there", "err", err)
			return nil
		}
	}
	return nil
}

// opaque checks that the classes of opaque routes are those of the settings.
func (c *Config) opaque() error {
	if c.Product == nil || c.Product.Tunnels == nil {
		return nil
	}
	effects := newSettings(c.Settings).effects
	for i, r := range c.Product.Tunnels.Routes {
		if _, known := effects[r.Class]; r.Kind == "opaque" && !known {
			return &config.FieldError{Path: fmt.Sprintf("tunnels.routes[%d].class", i), Why: fmt.Sprintf("%q is no class of the node's settings", r.Class)}
		}
	}
	return nil
}

// way is how a web server is reached; nil: directly.
func (n *node) way(id string) back.Dial {
	for _, w := range n.proxyRoutes {
		if fits, _ := filepath.Match(w.Servers, id); fits {
			return w.Proxy.Dial
		}
	}
	return nil
}
