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

// bindTimeout is how long a predecessor may take to give up an address of tunnels.
const bindTimeout = 10 * time.Second

// openTunnelListeners opens the listeners on which clients ask for tunnels. A tunnel with HTTP inside is treated like
// any other client connection: each request in it is read, decided, limited and drained like any other. An opaque
// tunnel is itself one request. The listeners close when ctx ends or a successor serves.
func (n *node) openTunnelListeners(ctx context.Context, t *config.Tunnels) error {
	table := n.tunnelRoutes // from control
	if table == nil {
		var err error
		if table, err = t.Table(); err != nil {
			return err
		}
	}
	f := tunnel.NewFront(tunnel.Options{Core: n.core, Table: table, Log: n.log, Draining: n.lifecycle.closingConnections, Go: n.clients.Go,
		AcquireSlot: n.clients.AcquireSlot, ReleaseSlot: n.clients.ReleaseSlot, ServeRequests: n.clients.Serve,
		Caller: func(conn net.Conn, user string) contract.Caller {
			return fronthttp.Caller(nil, fronthttp.RemoteAddr(conn), user)
		}})
	ctx, cancel := context.WithCancel(ctx)
	context.AfterFunc(n.core.Context(), cancel)
	n.core.Lock()
	defer n.core.Unlock()
	n.core.Go(func() {
		select {
		case <-ctx.Done():
		case <-n.handover.replaced:
			cancel()
		}
	})
	for _, l := range []struct {
		addr string
		read tunnel.RequestReader
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

// listenWhenFree opens a listener as soon as its address is free. It logs an error and returns nil if that takes longer
// than bindTimeout.
func (n *node) listenWhenFree(ctx context.Context, addr string) net.Listener {
	for end := time.Now().Add(bindTimeout); ctx.Err() == nil; sleep(ctx, 50*time.Millisecond) {
		ln, err := (&net.ListenConfig{KeepAlive: -1}).Listen(ctx, "tcp", addr)
		if err == nil {
			return ln
		}
		if time.Now().After(end) {
			n.log.Error("tunnels: the address remains in use; tunnels are not served there", "err", err)
			return nil
		}
	}
	return nil
}

// checkOpaqueClasses checks that the classes of opaque routes are classes of the settings.
func (c *Config) checkOpaqueClasses() error {
	if c.Product == nil || c.Product.Tunnels == nil {
		return nil
	}
	effects := newSettings(c.Settings).effects
	for i, r := range c.Product.Tunnels.Routes {
		if _, known := effects[r.Class]; r.Kind == "opaque" && !known {
			return &config.FieldError{Path: fmt.Sprintf("tunnels.routes[%d].class", i), Reason: fmt.Sprintf("%q is no class of the node's settings", r.Class)}
		}
	}
	return nil
}

// proxyDial returns how a web server is dialed through its proxy; nil means directly.
func (n *node) proxyDial(id string) back.Dial {
	for _, route := range n.proxyRoutes {
		if match, _ := filepath.Match(route.Pattern, id); match {
			return route.Proxy.Dial
		}
	}
	return nil
}
