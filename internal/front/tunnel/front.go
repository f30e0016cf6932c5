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
	openTimeout = 5 * time.Second // a client may take over asking for its tunnel,
	maxOpening  = 64              // so many may be at it; the next waits to be accepted
)

// Options are what a front is made of. Its functions are called from many goroutines.
type Options struct {
	Core  *core.Core
	Table *Table
	Log   *slog.Logger
	Away  func() bool  // whether clients are sent away
	Go    func(func()) // runs what is waited for when the node ends
	Take  func() bool  // takes one of the places for connections, if there is one,
	Leave func()       // and gives it back
	// HTTP serves the requests that come through a tunnel, and gives its place back.
	HTTP func(conn net.Conn, in *bufio.Reader, user string)
	// Caller is what the contracts are told of whom an opaque tunnel is for.
	Caller func(conn net.Conn, user string) contract.Caller
}

// Front takes in clients that ask for tunnels. It is safe for concurrent use.
type Front struct {
	Options
	opening      chan struct{}
	requestCount atomic.Uint64
	idPrefix     string // begins the ids of its requests
}

// NewFront returns a front.
func NewFront(o Options) *Front {
	return &Front{Options: o, opening: make(chan struct{}, maxOpening), idPrefix: fmt.Sprintf("tunnel/%x/", time.Now().UnixNano())}
}

// Opener reads what a client asks for: SOCKS5 or Connect.
type Opener func(*bufio.Reader, io.Writer, *Table) (*Request, error)

// Accept takes clients in until ln is closed.
func (f *Front) Accept(ln net.Listener, read Opener) {
	for {
		conn, err := ln.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil: // out of descriptors, most likely
			time.Sleep(5 * time.Millisecond)
			continue
		}
		f.opening <- struct{}{}
		f.Go(func() {
			in, o := f.readRequest(conn, read)
			<-f.opening
			switch {
			case o == nil:
				conn.Close()
			case o.Route.Opaque && f.serveOpaque(conn, in, o):
				conn.Close()
				f.Leave()
			case o.Accept() != nil: // for requests, or so by now
				conn.Close()
				f.Leave()
			default:
				conn.SetDeadline(time.Time{})
				f.HTTP(conn, in, o.User)
			}
		})
	}
}

// open lets a client ask for its tunnel. Nil: it was told that there is none, as far as that can be told. Else a place is
// taken for it.
func (f *Front) readRequest(conn net.Conn, read Opener) (*bufio.Reader, *Request) {
	conn.SetDeadline(time.Now().Add(openTimeout))
	in := bufio.NewReaderSize(conn, message.HeadSize)
	o, err := read(in, conn, f.Table)
	if err != nil {
		f.Log.Info("no tunnel was opened", "client", conn.RemoteAddr(), "err", err)
		return nil, nil
	}
	if f.Away() || !f.Take() {
		o.Refuse(http.StatusServiceUnavailable, time.Second, "")
		return nil, nil
	}
	return in, o
}

// carry makes an opaque tunnel a request of its own: its final answer is the reply to the client, and what follows is the
// tunnel's life. False: its route is for requests by now, and the client was told nothing.
func (f *Front) serveOpaque(conn net.Conn, in *bufio.Reader, o *Request) bool {
	r := f.beginRequest(conn, o)
	if r == nil {
		return o.Route.Opaque
	}
	f.respondAndRelay(conn, in, o, r)
	return true
}

// begin hands the core a request for an opaque tunnel. Its route is that of the moment in which its contract and its cell are
// looked up: one that has changed since the client named it is looked up anew. Nil: the client was told that there is none, unless
// its route is not opaque any more.
func (f *Front) beginRequest(conn net.Conn, o *Request) *core.Request {
	caller := f.Caller(conn, o.User)
	for {
		route := o.Route
		stream := &message.Stream{Limits: route.Limits}
		r := &core.Request{ID: fmt.Sprint(f.idPrefix, f.requestCount.Add(1)), Class: route.Class, Tenant: caller.Tenant, Caller: caller,
			Arrived: f.Core.Now(), Patience: openTimeout, Body: stream, Message: stream, Left: func() bool { return flow.Left(conn) }}
		now, there := route, true
		r.Holds = func() bool {
			now, there = f.Table.Find(route.Host, route.Port)
			return there && now == route
		}
		switch {
		case f.Core.Begin(r):
			return r
		case !there:
			o.Refuse(http.StatusForbidden, 0, "")
			return nil
		case now == route: // no other request has its id
			o.Refuse(http.StatusServiceUnavailable, time.Second, "")
			return nil
		}
		if o.Route = now; !now.Opaque {
			return nil
		}
	}
}

// stand waits for a request's final answer and, where that is a tunnel, lets it live.
func (f *Front) respondAndRelay(conn net.Conn, in *bufio.Reader, o *Request, r *core.Request) {
	a, ok := f.awaitResponse(conn, in, r)
	if !ok {
		return
	}
	defer f.Core.Written(r)
	if a.Kind != core.Served {
		status, after, reason := message.Refusal(a)
		if a.Kind == core.Failed {
			status = http.StatusBadGateway
		}
		o.Refuse(status, after, reason)
		return
	}
	defer a.Payload.Release()
	conn.SetDeadline(time.Now().Add(openTimeout))
	if o.Accept() != nil {
		return
	}
	conn.SetDeadline(time.Time{})
	a.Payload.(message.Tunnel).Relay(conn, in)
}

// await waits for the final answer. Not ok: the client has left before it, and the core knows.
func (f *Front) awaitResponse(conn net.Conn, in *bufio.Reader, r *core.Request) (core.Answer, bool) {
	conn.SetDeadline(time.Time{})
	// What it sends ahead of the reply stays unread, here or in the socket.
	end, stop := flow.Watch(conn, in, false)
	a, ok := r.Await(end)
	if !ok {
		f.Core.Gone(r)
		return core.Answer{}, false
	}
	stop()
	return a, true
}
