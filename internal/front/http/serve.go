package http

import (
	"io"
	"net"
	stdhttp "net/http"
	"time"

	"portstall/internal/core"
	"portstall/internal/flow"
	"portstall/internal/message"
)

const (
	// lingerTimeout is how long a rejected client may take to read the reason before its connection is reset.
	lingerTimeout = 100 * time.Millisecond
	// overloadRetryAfter is when a client may return that found no capacity, or that disconnected before its request
	// was sent.
	overloadRetryAfter = 250 * time.Millisecond
	// maxLingerBytes is how much of a rejected client's further input is read within lingerTimeout.
	maxLingerBytes = 256 << 10
)

// request is a request that was read. core.Request is nil for GET /ready, which the front responds to itself.
type request struct {
	*core.Request
	httpRequest *stdhttp.Request
	body        *flow.Upload
	// windowMayBeClosed is set if, after a long wait for budget, so much input was unread that a disconnect of the
	// client may not have been visible.
	windowMayBeClosed bool
}

// ended reports whether no more of the request is read from the client. Further input does not belong to it then.
func (r *request) ended() bool {
	select {
	case <-r.body.Ended():
		return true
	default:
		return false
	}
}

// id returns the request's id; empty for GET /ready.
func (r *request) id() string {
	if r.Request == nil {
		return ""
	}
	return r.ID
}

// logNotServed logs the end of a request without a web server's response; status 0: without any.
func (f *Front) logNotServed(c *conn, r *request, text string, status int, retryAfter time.Duration) {
	if r.Request != nil {
		f.Log.Info(text, "request", r.ID, "class", r.Class, "client", c.RemoteAddr(), "status", status, "retry_after", retryAfter,
			"timeout", r.Timeout, "after", f.Core.Now()-r.Arrived)
	}
}

// rejection is the response to input that is not passed to the core. The connection is closed after it: what follows
// cannot be told apart from the remainder of that request.
type rejection struct {
	status     int
	text       string
	retryAfter time.Duration // when the client may try again; 0: not specified
}

// serveRequests responds to the requests of a connection, one after the other.
func (f *Front) serveRequests(c *conn) {
	for {
		r, rejected := f.readRequest(c)
		if rejected != nil {
			f.Log.Info("input rejected: the connection closes", "client", c.RemoteAddr(), "status", rejected.status, "reason", rejected.text)
			c.reject(rejected)
			return
		}
		if r == nil {
			return
		}
		if !f.setBusy(c, true) && !f.Draining() {
			c.closeAfterNext = true
		}
		if !f.serveRequest(c, r) || !f.setBusy(c, false) {
			return
		}
		if wait := c.pacer.charge(c.served, time.Now()); wait > 0 {
			time.Sleep(wait)
		}
	}
}

// serveRequest responds to one request and reports whether the connection stays open.
func (f *Front) serveRequest(c *conn, r *request) bool {
	defer f.Budget.ReleaseRequest(r.body.HeldBytes())
	stays := true
	if !r.body.Complete() {
		pumped := f.startPump(c, r)
		defer func() {
			r.body.Discard()
			if !stays { // the client may still be sending: let it read its response first
				f.awaitBody(c, pumped)
			}
			<-pumped
		}()
	}
	final, ok := f.respond(c, r)
	if !ok {
		f.logNotServed(c, r, "no response: the connection closes", 0, 0)
		c.Close() // also ends the pump
		stays = false
		return false
	}
	if final.Stream != nil {
		f.markStreaming(c)
	}
	c.served = r.Request != nil && final.status == stdhttp.StatusOK
	last := r.httpRequest.Close || c.closeAfterNext || !r.ended() || f.Draining()
	err := c.writeResponse(r.httpRequest, final, last)
	stays = err == nil && !last
	if final.status != stdhttp.StatusOK {
		f.logNotServed(c, r, "request not served", final.status, final.retryAfter)
	}
	if err != nil {
		f.Log.Info("response interrupted: the connection closes", "request", r.id(), "client", c.RemoteAddr(), "err", err)
	}
	final.release()
	if r.Request != nil {
		f.Core.ResponseWritten(r.Request)
	}
	if c.inputDiscarded {
		c.closeAfterResponse()
	}
	return stays
}

// startPump forwards the rest of a request's body to the attempt that reads it. The returned channel is closed once
// nothing more is read from the client.
func (f *Front) startPump(c *conn, r *request) (pumped <-chan struct{}) {
	f.markStreaming(c)
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.body.Pump(f.timedReader(c, r.httpRequest.Body))
	}()
	return done
}

// respond returns exactly one response to a request. False: a rejection was written already, or the client has
// disconnected.
func (f *Front) respond(c *conn, r *request) (response, bool) {
	if r.Request == nil {
		return response{status: f.Ready()}, true
	}
	if c.closeAfterNext { // nothing was sent: rejecting is safe for every class
		return response{status: stdhttp.StatusServiceUnavailable, Response: message.Response{Body: []byte("too many connections\n")},
			retryAfter: overloadRetryAfter}, true
	}
	if r.body.Complete() {
		if r.windowMayBeClosed && c.discardAndCheckDisconnected() {
			return toResponse(core.Response{Kind: core.Refused, RetryAfter: overloadRetryAfter}), true
		}
		r.BeforeWait = c.watchClient
	}
	if !f.Core.Begin(r.Request) {
		c.stopWatching()
		c.reject(&rejection{status: stdhttp.StatusConflict, text: "X-Request-Id: a request with this id is open or may have run"})
		return response{}, false
	}
	select {
	case final := <-r.Response():
		c.stopWatching()
		return toResponse(final), true
	default:
	}
	if !r.body.Complete() {
		select {
		case final := <-r.Response(): // before the end of the request
			return toResponse(final), true
		case <-r.body.Ended():
		}
		if err := r.body.Err(); err != nil {
			f.Core.ClientGone(r.Request)
			c.reject(bodyRejection(err))
			return response{}, false
		}
	}
	return f.awaitResponse(c, r), true
}

// awaitResponse waits for the response to a request that has been read completely.
func (f *Front) awaitResponse(c *conn, r *request) response {
	c.watchClient()
	final, ok := r.Await(c.clientLeft)
	c.stopWatching()
	if ok {
		return toResponse(final)
	}
	// The client may have closed only its sending side and still wait for the response.
	c.closeAfterNext = true
	if f.Core.ClientGone(r.Request) {
		return toResponse(core.Response{Kind: core.Failed})
	}
	return toResponse(core.Response{Kind: core.Refused, RetryAfter: overloadRetryAfter})
}

// reject writes the response to invalid input and ends the connection.
func (c *conn) reject(rejected *rejection) {
	if c.writeResponse(nil, response{status: rejected.status, retryAfter: rejected.retryAfter,
		Response: message.Response{Body: []byte(rejected.text + "\n")}}, true) != nil {
		return
	}
	c.closeAfterResponse()
}

// closeAfterResponse ends a connection on which more input may arrive after its last response. Closing a connection
// with unread input resets it, and the client loses what it has not read.
func (c *conn) closeAfterResponse() {
	if t, ok := c.Conn.(*net.TCPConn); ok {
		t.CloseWrite()
	}
	c.SetReadDeadline(time.Now().Add(lingerTimeout))
	io.CopyN(io.Discard, c.Conn, maxLingerBytes)
}
