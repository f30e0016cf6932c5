// Package http is the front for clients that speak HTTP/1.1, over any kind of connection. It reads requests, passes
// them to the core and writes the final responses.
package http

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	stdhttp "net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"portstall/internal/core"
	"portstall/internal/flow"
	"portstall/internal/message"
)

const (
	maxRequestIDLength = 256 // bytes

	// HeadTimeout is the time for a request's head to arrive: for the first request from the start of the connection,
	// for later ones from their first byte. A client must receive an error or a close within 3 s of connecting,
	// whatever it sends.
	HeadTimeout = 2500 * time.Millisecond
	// BodyStallTimeout is how long a client may pause within a body.
	BodyStallTimeout = 2 * time.Second
	// bodyTimeout is the time for a complete body, in addition to its size divided by minBodyRate.
	bodyTimeout = 3 * time.Second
	// minBodyRate is the slowest accepted transfer of a body, in bytes per second.
	minBodyRate = 32 << 10
	// budgetTimeout is how long a request may wait for its share of the bytes that bodies may hold.
	budgetTimeout = time.Second
	// maxUncheckedWait is the longest wait for budget after which the client is not checked. A client that disconnected
	// during such a wait has done so only just now.
	maxUncheckedWait = 50 * time.Millisecond
	// arrivalTime is the time from a request's first byte within which most of its other bytes arrive.
	arrivalTime = 50 * time.Millisecond
	// NewConnGrace is how long a new connection may be silent before it becomes the first to be evicted. Its request
	// usually follows at once.
	NewConnGrace = 200 * time.Millisecond
	// IdleTimeout is how long a connection without a request stays open. Some clients never close theirs.
	IdleTimeout = 5 * time.Second
	// lateBodyTimeout is the time for the remainder of a request that has been responded to already: the largest body at
	// minBodyRate. A client that pauses or is slower ends earlier, as before its response.
	lateBodyTimeout = bodyTimeout + message.MaxBody/minBodyRate*time.Second
	// lingerTimeout is how long a rejected client may take to read the reason before its connection is reset.
	lingerTimeout = 100 * time.Millisecond
	// overloadRetryAfter is when a client may return that found no capacity, or that disconnected before its request
	// was sent.
	overloadRetryAfter = 250 * time.Millisecond
	// maxLingerBytes is how much of a rejected client's further input is read within lingerTimeout.
	maxLingerBytes = 256 << 10
)

// Options configures a Front. Its functions are called from many goroutines.
type Options struct {
	Core     *core.Core
	Budget   *flow.Budget
	Limit    int         // maximum number of connections
	Draining func() bool // reports whether clients are to close their connections and go to another node or process
	Ready    func() int  // returns the status for GET /ready
	// CheckRequest returns an error if a request's head does not meet the requirements of its class.
	CheckRequest func(*stdhttp.Request) error
	// Slack is added to the timeouts of clients, for tests that run many nodes on a busy machine.
	Slack time.Duration
}

// Front holds the connections of this node's clients. At the limit a new connection replaces one that carries no
// request; if there is none, its request is rejected. Once the limit is exceeded by an eighth, further connections wait
// in the listener's backlog. It is safe for concurrent use.
type Front struct {
	Options
	slots chan struct{} // holds one element per accepted connection; its capacity is the initial limit and an eighth

	mu       sync.Mutex
	conns    map[*conn]struct{}
	active   int           // connections and functions that Go runs
	finished chan struct{} // closed when active becomes 0; nil while nothing waits for that
}

// conn is one client connection. The fields up to user belong to the goroutine that serves it.
type conn struct {
	net.Conn
	accepted time.Time
	reader   *bufio.Reader
	// closeAfterNext is set when the connection exceeds the limit or cannot carry another request. The next response is
	// then the last one, and a request that has not begun is rejected.
	closeAfterNext bool
	inputDiscarded bool            // input sent ahead of a response was discarded, and more may arrive
	clientLeft     <-chan struct{} // closed once the client is seen to disconnect; nil: not watched
	stopWatch      func() bool     // ends that watch and reports whether input was discarded
	user           string          // the user that the tunnel was opened for; empty: no tunnel, or one without a user

	// Guarded by Front.mu.
	requestStart  time.Time // when the first byte of the latest request was seen
	reading       bool      // a request has been received in part
	busy          bool      // a request is being responded to
	streaming     bool      // a large request or response body is being transferred
	servedRequest bool      // a request has been read
	lastChange    time.Time // when the connection was accepted, or busy was last set
	closing       bool      // the connection was evicted, or the node is stopping
}

// New returns a Front without connections.
func New(o Options) *Front {
	return &Front{Options: o, slots: make(chan struct{}, o.Limit+o.Limit/8), conns: map[*conn]struct{}{}}
}

// Resize sets the maximum number of connections. While there are more, each new connection evicts an idle one.
func (f *Front) Resize(limit int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.Limit = limit
}

// Accept accepts and serves connections until ln is closed.
func (f *Front) Accept(ln net.Listener) error {
	for {
		f.slots <- struct{}{}
		socket, err := ln.Accept()
		if err != nil {
			<-f.slots
			if errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) || errors.Is(err, syscall.ECONNABORTED) {
				time.Sleep(5 * time.Millisecond)
				continue
			}
			return err
		}
		f.Go(func() { f.Serve(socket, bufio.NewReaderSize(socket, message.MaxHead), "") })
	}
}

// Go runs f in a goroutine that Wait waits for.
func (f *Front) Go(run func()) {
	f.mu.Lock()
	f.active++
	f.mu.Unlock()
	go func() {
		defer func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			if f.active--; f.active == 0 && f.finished != nil {
				close(f.finished)
				f.finished = nil
			}
		}()
		run()
	}()
}

// Wait returns true once no connection is left and all functions that Go runs have returned; false if ctx ends or d
// elapses before. New connections may arrive after it has returned.
func (f *Front) Wait(ctx context.Context, d time.Duration) bool {
	f.mu.Lock()
	if f.active == 0 {
		f.mu.Unlock()
		return true
	}
	if f.finished == nil {
		f.finished = make(chan struct{})
	}
	finished := f.finished
	f.mu.Unlock()
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-finished:
		return true
	case <-ctx.Done():
	case <-t.C:
	}
	return false
}

// AcquireSlot reserves a slot for one more connection, if one is free. Serve releases it, or ReleaseSlot.
func (f *Front) AcquireSlot() bool {
	select {
	case f.slots <- struct{}{}:
		return true
	default:
		return false
	}
}

// ReleaseSlot releases a slot that AcquireSlot reserved.
func (f *Front) ReleaseSlot() { <-f.slots }

// Serve responds to the requests of one connection until it is closed. The caller holds a slot, which Serve releases.
// What reader has buffered already is part of the input; its buffer has message.MaxHead bytes. User is the user that a
// tunnel was opened for, empty for none.
func (f *Front) Serve(socket net.Conn, reader *bufio.Reader, user string) {
	c := &conn{Conn: socket, accepted: time.Now(), reader: reader, user: user}
	c.lastChange = c.accepted
	f.mu.Lock()
	if len(f.conns) >= f.Limit {
		c.closeAfterNext = !f.evictIdle()
	}
	f.conns[c] = struct{}{}
	f.mu.Unlock()
	f.serveRequests(c)
	c.Close()
	f.mu.Lock()
	delete(f.conns, c)
	f.mu.Unlock()
	<-f.slots
}

// evictIdle closes a connection that carries no request, and reports whether there was one. In order of preference: one
// that has sent nothing within NewConnGrace, one that a client keeps open after a request, a new one; among equals the
// one unchanged for longest. A new connection whose request is waiting to be read, or is being read, is not closed.
// f.mu is held.
func (f *Front) evictIdle() bool {
	var candidate *conn
	bestRank := 3
	for c := range f.conns {
		rank := 1
		if !c.servedRequest {
			if rank = 0; time.Since(c.accepted) < NewConnGrace+f.Slack {
				rank = 2
			}
		}
		if c.busy || rank > bestRank || rank == bestRank && !c.lastChange.Before(candidate.lastChange) {
			continue
		}
		if c.servedRequest && !c.reading || time.Since(c.requestStart) > arrivalTime && flow.PeekInput(c.Conn) == flow.NoInput {
			candidate, bestRank = c, rank
		}
	}
	if candidate != nil {
		f.evict(candidate)
	}
	return candidate != nil
}

// evict removes a connection from those that are counted and ends its reading, so that it closes. A request that has
// just been read is still responded to. f.mu is held.
func (f *Front) evict(c *conn) {
	if !c.closing {
		c.closing = true
		delete(f.conns, c)
		c.SetReadDeadline(time.Unix(1, 0))
	}
}

// setReadDeadline bounds the next reads from a connection, unless it is closing. A request that has begun is read
// completely even then.
func (f *Front) setReadDeadline(c *conn, t time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !c.closing || c.reading || c.busy {
		c.SetReadDeadline(t)
	}
}

// Abort closes connections at once: those without a large body in transfer, or all. It returns how many of them carried a
// request.
func (f *Front) Abort(all bool) (requests int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for c := range f.conns {
		if !all && c.streaming {
			continue
		}
		if c.busy {
			requests++
		}
		c.Close()
	}
	return requests
}

// CloseIdle closes the connections that carry no request.
func (f *Front) CloseIdle() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for c := range f.conns {
		if !c.busy && !c.reading && flow.PeekInput(c.Conn) == flow.NoInput {
			f.evict(c) // a request that is arriving is still responded to
		}
	}
}

// setBusy records that a request was read (busy) or responded to, and reports whether the connection stays open.
func (f *Front) setBusy(c *conn, busy bool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	c.busy, c.servedRequest, c.reading, c.streaming, c.lastChange = busy, true, false, false, time.Now()
	return !c.closing && (busy || !f.Draining())
}

// request is a request that was read. core.Request is nil for GET /ready, which the front responds to itself.
type request struct {
	*core.Request
	httpRequest *stdhttp.Request
	body        *flow.Upload
	// windowMayBeClosed is set if, after a long wait for budget, so much input was unread that a disconnect of the
	// client may not have been visible.
	windowMayBeClosed bool
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
	}
}

// serveRequest responds to one request and reports whether the connection stays open.
func (f *Front) serveRequest(c *conn, r *request) bool {
	defer f.Budget.ReleaseRequest(r.body.HeldBytes())
	stays := true
	if !r.body.Complete() {
		f.markStreaming(c)
		pumped := make(chan struct{})
		go func() {
			defer close(pumped)
			r.body.Pump(f.timedReader(c, r.httpRequest.Body))
		}()
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
		c.Close() // also ends the pump
		stays = false
		return false
	}
	early := false // the response came before the end of the request: further input may still belong to that request
	select {
	case <-r.body.Ended():
	default:
		early = true
	}
	if final.Stream != nil {
		f.markStreaming(c)
	}
	last := r.httpRequest.Close || c.closeAfterNext || early || f.Draining()
	stays = c.writeResponse(r.httpRequest, final, last) == nil && !last
	final.release()
	if r.Request != nil {
		f.Core.ResponseWritten(r.Request)
	}
	if c.inputDiscarded {
		c.closeAfterResponse()
	}
	return stays
}

// markStreaming records that a large body is being transferred.
func (f *Front) markStreaming(c *conn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	c.streaming = true
}

// awaitBody lets a client finish its request before the connection is closed: closing a connection with unread input
// resets it, and the client loses the response that it has not read.
func (f *Front) awaitBody(c *conn, pumped <-chan struct{}) {
	select {
	case <-pumped:
	case <-time.After(lateBodyTimeout):
		c.Close()
	}
}

// readRequest reads the next request, and its body if that is small. Both results are nil if no byte of a request
// arrives.
func (f *Front) readRequest(c *conn) (*request, *rejection) {
	end := c.accepted.Add(HeadTimeout + f.Slack)
	if c.servedRequest {
		f.setReadDeadline(c, time.Now().Add(IdleTimeout+f.Slack))
	} else {
		f.setReadDeadline(c, end)
	}
	if _, err := c.reader.Peek(1); err != nil {
		return nil, nil
	}
	begun := time.Now()
	if c.servedRequest {
		end = begun.Add(HeadTimeout + f.Slack)
	}
	f.mu.Lock()
	c.reading, c.requestStart = true, begun
	f.mu.Unlock()
	f.setReadDeadline(c, end) // also if it was evicted as idle right after its first byte
	head, err := c.peekHead()
	if err != nil && !time.Now().Before(end) {
		return nil, &rejection{status: stdhttp.StatusRequestTimeout, text: "the head did not come in time"}
	}
	if errors.Is(err, bufio.ErrBufferFull) {
		return nil, &rejection{status: stdhttp.StatusRequestHeaderFieldsTooLarge, text: "the head is too large"}
	}
	if err != nil {
		return nil, &rejection{status: stdhttp.StatusBadRequest, text: err.Error()}
	}
	if hasTwoFramings(head) {
		// net/http ignores a Content-Length next to Transfer-Encoding. Readers that disagree about the framing allow
		// request smuggling.
		return nil, &rejection{status: stdhttp.StatusBadRequest, text: "Content-Length beside Transfer-Encoding"}
	}
	req, err := stdhttp.ReadRequest(c.reader)
	if err != nil {
		return nil, &rejection{status: stdhttp.StatusBadRequest, text: err.Error()}
	}
	r := &request{httpRequest: req}
	if rejected := f.checkHead(r, c); rejected != nil {
		return nil, rejected
	}
	return r, f.readBody(c, r)
}

// readBody reads the body of a request if it is small. A large one is passed on as it arrives.
func (f *Front) readBody(c *conn, r *request) *rejection {
	req := r.httpRequest
	held := flow.BudgetFor(req.ContentLength)
	begun := f.Core.Now()
	wait := budgetTimeout + f.Slack
	if r.Request != nil {
		wait = f.Core.LimitTimeout(min(wait, r.Timeout)) // its client may have sent all of it, and waits no longer
	}
	ctx, cancel := context.WithTimeout(f.Core.Context(), wait)
	defer cancel()
	if f.Budget.AcquireRequest(ctx, held) != nil {
		return &rejection{status: stdhttp.StatusServiceUnavailable, text: "too many bodies are on their way", retryAfter: budgetTimeout}
	}
	// How long the complete request waited here. Its client's deadline was running meanwhile.
	var waitedComplete time.Duration
	if waited := f.Core.Now() - begun; waited > maxUncheckedWait {
		r.windowMayBeClosed = flow.WindowMayBeClosed(c.Conn)
		// Whether a chunked body has arrived completely is not known: it counts as complete.
		if req.ContentLength < 0 || int64(c.reader.Buffered()+flow.UnreadBytes(c.Conn)) >= req.ContentLength {
			waitedComplete = waited
		}
	}
	if req.ContentLength != 0 && req.Header.Get("Expect") != "" {
		c.SetWriteDeadline(time.Now().Add(BodyStallTimeout))
		io.WriteString(c, "HTTP/1.1 100 Continue\r\n\r\n") // an error shows up when the body is read
	}
	upload, err := flow.NewUpload(f.timedReader(c, req.Body), req.ContentLength)
	if err != nil {
		f.Budget.ReleaseRequest(held)
		return bodyRejection(err)
	}
	upload.Source = flow.Source{Buffered: c.reader.Buffered, Unread: func() int { return flow.UnreadBytes(c.Conn) }}
	if upload.HeldBytes() < held {
		f.Budget.ReleaseRequest(held - upload.HeldBytes())
	}
	if r.body = upload; r.Request != nil {
		r.Body, r.Arrived = upload, f.Core.Now()
		if upload.Complete() {
			r.Arrived -= waitedComplete
		}
	}
	return nil
}

// bodyRejection returns the rejection for a body that could not be read.
func bodyRejection(err error) *rejection {
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return &rejection{status: stdhttp.StatusRequestTimeout, text: "the body did not come in time"}
	case errors.Is(err, message.ErrBodyTooLarge):
		return &rejection{status: stdhttp.StatusRequestEntityTooLarge, text: fmt.Sprintf("body: over %d bytes", message.MaxBody)}
	}
	// Truncated or malformed: the client did not send what it announced.
	return &rejection{status: stdhttp.StatusBadRequest, text: "body: " + err.Error()}
}

// timedReader returns a reader of a request's body that fails once the client stalls or is too slow.
func (f *Front) timedReader(c *conn, body io.Reader) io.Reader {
	return &timedBody{front: f, conn: c, body: body}
}

// timedBody reads the body of a request within BodyStallTimeout, bodyTimeout and minBodyRate. It is used by one
// goroutine at a time.
type timedBody struct {
	front    *Front
	conn     *conn
	body     io.Reader
	waited   time.Duration // total time spent waiting for the client
	received int64         // bytes
}

func (b *timedBody) Read(p []byte) (int, error) {
	begun := time.Now()
	left := bodyTimeout + b.front.Slack + time.Duration(b.received)*time.Second/minBodyRate - b.waited
	b.front.setReadDeadline(b.conn, begun.Add(min(BodyStallTimeout+b.front.Slack, left)))
	n, err := b.body.Read(p)
	b.waited += time.Since(begun)
	if b.received += int64(n); b.received > message.MaxBody {
		return n, message.ErrBodyTooLarge
	}
	return n, err
}

// peekHead waits until the head of the next request is in the buffer, and returns it as it was sent. Empty lines before
// it are skipped.
func (c *conn) peekHead() ([]byte, error) {
	seen := 0
	for {
		text, _ := c.reader.Peek(c.reader.Buffered())
		if n := len(text) - len(bytes.TrimLeft(text, "\r\n")); n > 0 && seen == 0 {
			c.reader.Discard(n)
			continue
		}
		if n := headLength(text, max(0, seen-3)); n > 0 {
			return text[:n], nil
		}
		seen = len(text)
		if _, err := c.reader.Peek(seen + 1); err != nil {
			return nil, err
		}
	}
}

// headLength returns the length of the head in text, or 0 if its end has not arrived. The search for the end starts at
// from.
func headLength(text []byte, from int) int {
	for i := from; ; i++ {
		n := bytes.IndexByte(text[i:], '\n')
		if n < 0 {
			return 0
		}
		i += n
		if rest := text[i+1:]; bytes.HasPrefix(rest, []byte("\n")) {
			return i + 2
		} else if bytes.HasPrefix(rest, []byte("\r\n")) {
			return i + 3
		}
	}
}

// hasTwoFramings reports whether a head specifies the end of its request in two ways.
func hasTwoFramings(head []byte) bool {
	var length, encoding bool
	for line := range bytes.Lines(head) {
		name, _, _ := bytes.Cut(line, []byte(":"))
		name = bytes.TrimSpace(name)
		length = length || bytes.EqualFold(name, []byte("Content-Length"))
		encoding = encoding || bytes.EqualFold(name, []byte("Transfer-Encoding"))
	}
	return length && encoding
}

// checkHead returns the rejection of a request whose head is invalid, or nil. It sets core.Request, except for GET
// /ready.
func (f *Front) checkHead(r *request, c *conn) *rejection {
	req := r.httpRequest
	rejectf := func(status int, format string, args ...any) *rejection {
		return &rejection{status: status, text: fmt.Sprintf(format, args...)}
	}
	bad := stdhttp.StatusBadRequest
	switch expect := req.Header.Get("Expect"); {
	case !req.ProtoAtLeast(1, 1):
		return rejectf(stdhttp.StatusHTTPVersionNotSupported, "only HTTP/1.1 is spoken here")
	case req.Host == "":
		return rejectf(bad, "Host: missing")
	case expect != "" && !strings.EqualFold(expect, "100-continue"):
		return rejectf(stdhttp.StatusExpectationFailed, "Expect: %q is not known", expect)
	case req.Method != stdhttp.MethodGet && req.Method != stdhttp.MethodPost:
		return rejectf(stdhttp.StatusMethodNotAllowed, "a request is a GET or a POST")
	case req.ContentLength > message.MaxBody:
		return rejectf(stdhttp.StatusRequestEntityTooLarge, "Content-Length: over %d", message.MaxBody)
	case req.Method == stdhttp.MethodGet && req.ContentLength != 0:
		return rejectf(bad, "Content-Length: a GET has no body")
	case req.Method == stdhttp.MethodPost && req.ContentLength >= 0 && req.Header.Get("Content-Length") == "":
		return rejectf(stdhttp.StatusLengthRequired, "Content-Length: missing")
	}
	for name := range req.Header {
		// net/http accepts a name with a space, and does not treat "Transfer-Encoding :" as Transfer-Encoding.
		if strings.Contains(name, " ") {
			return rejectf(bad, "%q is no name of a header", name)
		}
	}
	if req.URL.Path == "/ready" {
		return nil
	}
	for _, name := range message.ForwardedHeaders {
		if len(req.Header[name]) > 1 {
			return rejectf(bad, "%s: more than one", name)
		}
	}
	h := req.Header
	r.Request = &core.Request{ID: h.Get("X-Request-Id"), Class: h.Get("X-Class"), Tenant: h.Get("X-Tenant"),
		IdempotencyKey: h.Get("Idempotency-Key"), Repeat: h.Get("X-Retry") == "1",
		CostHint: costHint(h), Caller: Caller(h, RemoteAddr(c.Conn), c.user), Message: req,
		ClientLeft: func() bool { return flow.PeerClosed(c.Conn) }}
	if r.ID == "" || len(r.ID) > maxRequestIDLength {
		return rejectf(bad, "X-Request-Id: missing or too long")
	}
	var err error
	if r.Timeout, err = parseDeadline(req.Header.Get("X-Deadline")); err != nil {
		return rejectf(bad, "X-Deadline: %v", err)
	}
	if err := f.CheckRequest(req); err != nil {
		return rejectf(bad, "%v", err)
	}
	return nil
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
	complete := r.body.Complete()
	if complete && r.windowMayBeClosed && c.discardAndCheckDisconnected() {
		return toResponse(core.Response{Kind: core.Refused, RetryAfter: overloadRetryAfter}), true
	}
	if complete {
		r.BeforeWait = c.watchClient
	}
	if !f.Core.Begin(r.Request) {
		c.stopWatching()
		c.reject(&rejection{status: stdhttp.StatusConflict, text: "X-Request-Id: a request with this id is open"})
		return response{}, false
	}
	select {
	case final := <-r.Response():
		c.stopWatching()
		return toResponse(final), true
	default:
	}
	if !complete {
		select {
		case final := <-r.Response():
			return toResponse(final), true
		case <-r.body.Ended():
		}
		if err := r.body.Err(); err != nil {
			f.Core.ClientGone(r.Request)
			c.reject(bodyRejection(err))
			return response{}, false
		}
	}
	c.watchClient()
	final, ok := r.Await(c.clientLeft)
	c.stopWatching()
	if !ok {
		// The client may have closed only its sending side and still wait for the response.
		c.closeAfterNext, final = true, core.Response{Kind: core.Failed}
		if !f.Core.ClientGone(r.Request) {
			final = core.Response{Kind: core.Refused, RetryAfter: overloadRetryAfter}
		}
		return toResponse(final), true
	}
	return toResponse(final), true
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

// parseDeadline parses a number with its unit: m for milliseconds or u for microseconds.
func parseDeadline(s string) (time.Duration, error) {
	unit := time.Millisecond
	digits, ok := strings.CutSuffix(s, "m")
	if !ok {
		unit = time.Microsecond
		if digits, ok = strings.CutSuffix(s, "u"); !ok {
			return 0, fmt.Errorf("%q has no unit m or u", s)
		}
	}
	f, err := strconv.ParseFloat(digits, 64)
	if err != nil || !(f > 0 && f <= 1e12) {
		return 0, fmt.Errorf("%q is no time", s)
	}
	return time.Duration(f * float64(unit)), nil
}
