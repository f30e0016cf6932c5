package tunnel

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"portstall/internal/contract"
	"portstall/internal/core"
	"portstall/internal/flow"
	"portstall/internal/message"
)

const (
	openTimeout = 5 * time.Second // for a client to request its tunnel, and for the response to reach it
	maxOpening  = 64              // clients that may be requesting a tunnel at a time; further ones wait to be accepted
)

// Options configures a Front. Its functions are called from many goroutines.
type Options struct {
	Core        *core.Core
	Table       *Table
	Log         *slog.Logger
	Draining    func() bool  // reports whether clients are sent to another node or process
	Go          func(func()) // runs a function that is waited for when the node stops
	AcquireSlot func() bool  // reserves a slot for a connection, if one is free
	ReleaseSlot func()       // releases the slot
	// ServeRequests serves the requests that arrive through a tunnel, and releases its slot.
	ServeRequests func(conn net.Conn, in *bufio.Reader, user string)
	// Caller returns what the contracts need to know about the client of an opaque tunnel.
	Caller func(conn net.Conn, user string) contract.Caller
}

// Front accepts clients that request tunnels. It is safe for concurrent use.
type Front struct {
	Options
	opening      chan struct{} // holds one element per client that is requesting a tunnel
	requestCount atomic.Uint64 // numbers the ids of the requests for opaque tunnels
	idPrefix     string        // prefix of those ids; differs between processes
}

// NewFront returns a Front that accepts no clients yet.
func NewFront(o Options) *Front {
	return &Front{Options: o, opening: make(chan struct{}, maxOpening), idPrefix: fmt.Sprintf("tunnel/%x/", time.Now().UnixNano())}
}

// RequestReader reads which tunnel a client requests. SOCKS5 and Connect are RequestReaders.
type RequestReader func(*bufio.Reader, io.Writer, *Table) (*Request, error)

// Accept accepts clients until ln is closed.
func (f *Front) Accept(ln net.Listener, read RequestReader) {
	for {
		conn, err := ln.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil: // most likely out of file descriptors
			time.Sleep(5 * time.Millisecond)
			continue
		}
		f.opening <- struct{}{}
		f.Go(func() {
			in, tunnelReq := f.readRequest(conn, read)
			<-f.opening
			switch {
			case tunnelReq == nil:
				conn.Close()
			case tunnelReq.Route.Opaque && f.serveOpaque(conn, in, tunnelReq):
				conn.Close()
				f.ReleaseSlot()
			case tunnelReq.Accept() != nil: // the route is for requests, or has become so meanwhile
				conn.Close()
				f.ReleaseSlot()
			default:
				conn.SetDeadline(time.Time{})
				f.ServeRequests(conn, in, tunnelReq.User)
			}
		})
	}
}

// readRequest reads which tunnel a client requests, and reserves a slot for it. Nil: the tunnel was refused, and the
// client was notified as far as its protocol allows.
func (f *Front) readRequest(conn net.Conn, read RequestReader) (*bufio.Reader, *Request) {
	conn.SetDeadline(time.Now().Add(openTimeout))
	in := bufio.NewReaderSize(conn, message.MaxHead)
	tunnelReq, err := read(in, conn, f.Table)
	if err != nil {
		f.Log.Info("tunnel request failed", "client", conn.RemoteAddr(), "err", err)
		return nil, nil
	}
	if f.Draining() || !f.AcquireSlot() {
		tunnelReq.Refuse(http.StatusServiceUnavailable, time.Second, "")
		return nil, nil
	}
	return in, tunnelReq
}

// serveOpaque handles an opaque tunnel as one request: the request's final response is the reply to the client, and the
// tunnel's lifetime follows. False: the route has changed to one for requests, and the client has received nothing.
func (f *Front) serveOpaque(conn net.Conn, in *bufio.Reader, tunnelReq *Request) bool {
	r := f.beginRequest(conn, tunnelReq)
	if r == nil {
		return tunnelReq.Route.Opaque
	}
	f.respondAndRelay(conn, in, tunnelReq, r)
	return true
}

// beginRequest passes a request for an opaque tunnel to the core. The route must be the current one when the request's
// contract and cell are looked up: if it has changed since the client named it, it is looked up again. Nil: the tunnel
// was refused and the client notified, unless the route is no longer opaque.
func (f *Front) beginRequest(conn net.Conn, tunnelReq *Request) *core.Request {
	caller := f.Caller(conn, tunnelReq.User)
	for {
		route := tunnelReq.Route
		stream := &message.Stream{Limits: route.Limits}
		r := &core.Request{ID: fmt.Sprint(f.idPrefix, f.requestCount.Add(1)), Class: route.Class, Tenant: caller.Tenant, Caller: caller,
			Arrived: f.Core.Now(), Timeout: openTimeout, Body: stream, Message: stream, ClientLeft: func() bool { return flow.PeerClosed(conn) }}
		current, exists := route, true
		r.StillValid = func() bool {
			current, exists = f.Table.Find(route.Host, route.Port)
			return exists && current == route
		}
		switch {
		case f.Core.Begin(r):
			return r
		case !exists:
			tunnelReq.Refuse(http.StatusForbidden, 0, "")
			return nil
		case current == route: // the core cannot accept it; no other request has its id
			tunnelReq.Refuse(http.StatusServiceUnavailable, time.Second, "")
			return nil
		}
		if tunnelReq.Route = current; !current.Opaque {
			return nil
		}
	}
}

// respondAndRelay waits for a request's final response, replies to the client and, if the tunnel is established, relays
// until it ends.
func (f *Front) respondAndRelay(conn net.Conn, in *bufio.Reader, tunnelReq *Request, r *core.Request) {
	final, ok := f.awaitResponse(conn, in, r)
	if !ok {
		return
	}
	defer f.Core.ResponseWritten(r)
	if final.Kind != core.Served {
		status, after, reason := message.Refusal(final)
		if final.Kind == core.Failed {
			status = http.StatusBadGateway
		}
		tunnelReq.Refuse(status, after, reason)
		return
	}
	defer final.Payload.Release()
	conn.SetDeadline(time.Now().Add(openTimeout))
	if tunnelReq.Accept() != nil {
		return
	}
	conn.SetDeadline(time.Time{})
	final.Payload.(message.Tunnel).Relay(conn, in)
}

// awaitResponse waits for the final response. Not ok: the client has disconnected before it, and the core has been
// notified.
func (f *Front) awaitResponse(conn net.Conn, in *bufio.Reader, r *core.Request) (core.Response, bool) {
	conn.SetDeadline(time.Time{})
	// What the client sends before the reply stays unread, in the reader or in the socket.
	clientLeft, stop := flow.WatchPeer(conn, in, false)
	final, ok := r.Await(clientLeft)
	if !ok {
		f.Core.ClientGone(r)
		return core.Response{}, false
	}
	stop()
	return final, true
}
