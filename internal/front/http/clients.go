// Package http is the front for clients that speak HTTP/1.1, whatever carries their connections: it reads requests, hands
// them to the core and writes the final answers.
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
	maxRequestIDLength = 256
	// A client is owed an error or a close within 3 s of connecting, whatever it sends or doesn't.
	HeadTime      = 2500 * time.Millisecond // for a first request's head from the connection's start, for others from its first byte
	BodyStall     = 2 * time.Second         // for further bytes of a body
	bodyTimeout   = 3 * time.Second         // for the whole of a body, beyond what it takes
	minBodyRate   = 32 << 10                // at so many bytes a second
	budgetTimeout = time.Second             // for a request to get its part of the bytes that bodies may hold
	shortWait     = 50 * time.Millisecond   // a client that leaves while its request waits no longer than that has left just before
	arrivalTime   = 50 * time.Millisecond   // within this of a request's first byte most are there
	// SilentTime is how long a new connection may say nothing before it makes room first: a request comes on its heels.
	SilentTime = 200 * time.Millisecond
	// IdleTime is how long a connection is kept that carries no request. Some clients keep theirs for good.
	IdleTime           = 5 * time.Second
	lateBodyTimeout    = 30 * time.Second       // for the rest of a request that has its answer already
	lingerTimeout      = 100 * time.Millisecond // for a rejected client to read why before its connection is reset
	overloadRetryAfter = 250 * time.Millisecond // when a client is to come back that found no place, or left before it had one
	maxLingerBytes     = 256 << 10              // and how much of what it goes on sending is read meanwhile
)

// Options are what a front is made of. Its functions are called from many goroutines.
type Options struct {
	Core   *core.Core
	Budget *flow.Budget
	Limit  int                          // connections
	Away   func() bool                  // whether clients are sent away
	Ready  func() int                   // the status for GET /ready
	Until  func() time.Duration         // when a request that comes now is to have its answer, on the core's clock; 0: in its own time
	Fits   func(*stdhttp.Request) error // whether a request is worded as its class wants it
	Slack  time.Duration                // is added to the time that clients have: tests run many nodes on a busy machine
}

// Front is the connections of this node's clients. Past the limit one that carries no request makes room;
// where there is none the new one's request is refused, and far past it new ones wait in the backlog.
// It is safe for concurrent use.
type Front struct {
	Options
	slots chan struct{}

	mu       sync.Mutex
	conns    map[*conn]struct{}
	active   int           // connections, and what else Go runs
	finished chan struct{} // closed when none is left; nil while nobody waits for it
}

// conn is one of them.
type conn struct {
	net.Conn
	accepted       time.Time
	reader         *bufio.Reader
	closeAfterNext bool            // there were too many already when it came, or it is of no further use behind its next answer
	inputDiscarded bool            // what it sent ahead of that answer was thrown away, and more may come
	clientLeft     <-chan struct{} // is closed once the client is seen to leave; nil: nobody looks
	stopWatch      func() bool     // ends that watch, and tells whether something was thrown away
	user           string          // whom a tunnel was opened for; empty: none, or none was asked for

	// Guarded by Front.mu.
	requestStart  time.Time // when the first byte of its latest request was seen
	reading       bool      // the first byte of a request is there, the last is not
	busy          bool      // a request is being answered
	streaming     bool      // its body, or the answer's, is large and on its way
	servedRequest bool      // one has been
	lastChange    time.Time // when it came or its last request was answered
	closing       bool      // it made room for another, or the node leaves
}

// New returns a front without connections.
func New(o Options) *Front {
	return &Front{Options: o, slots: make(chan struct{}, o.Limit+o.Limit/8), conns: map[*conn]struct{}{}}
}

// Resize sets how many connections there may be. Where there are more, each new one makes room for itself.
func (s *Front) Resize(limit int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Limit = limit
}

// Accept takes in connections until ln is closed.
func (s *Front) Accept(ln net.Listener) error {
	for {
		s.slots <- struct{}{}
		socket, err := ln.Accept()
		if err != nil {
			<-s.slots
			if errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) || errors.Is(err, syscall.ECONNABORTED) {
				time.Sleep(5 * time.Millisecond)
				continue
			}
			return err
		}
		s.Go(func() { s.Serve(socket, bufio.NewReaderSize(socket, message.HeadSize), "") })
	}
}

// Go runs f in a goroutine that Wait waits for.
func (s *Front) Go(f func()) {
	s.mu.Lock()
	s.active++
	s.mu.Unlock()
	go func() {
		defer func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			if s.active--; s.active == 0 && s.finished != nil {
				close(s.finished)
				s.finished = nil
			}
		}()
		f()
	}()
}

// Wait returns true once no connection is left and all that Go runs has ended; false if ctx ends or the time is up before. New
// connections may come after it has returned.
func (s *Front) Wait(ctx context.Context, d time.Duration) bool {
	s.mu.Lock()
	if s.active == 0 {
		s.mu.Unlock()
		return true
	}
	if s.finished == nil {
		s.finished = make(chan struct{})
	}
	quiet := s.finished
	s.mu.Unlock()
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-quiet:
		return true
	case <-ctx.Done():
	case <-t.C:
	}
	return false
}

// Take takes a slot for one more connection, if one is free; Serve gives it back, or Leave.
func (s *Front) Take() bool {
	select {
	case s.slots <- struct{}{}:
		return true
	default:
		return false
	}
}

// Leave gives back a slot that Take took.
func (s *Front) Leave() { <-s.slots }

// Serve answers the requests of one connection, for which the caller holds a slot, until it is closed. What in has read
// ahead counts; it has a buffer of message.HeadSize. User is whom a tunnel was opened for, empty for none.
func (s *Front) Serve(socket net.Conn, in *bufio.Reader, user string) {
	c := &conn{Conn: socket, accepted: time.Now(), reader: in, user: user}
	c.lastChange = c.accepted
	s.mu.Lock()
	if len(s.conns) >= s.Limit {
		c.closeAfterNext = !s.evictIdle()
	}
	s.conns[c] = struct{}{}
	s.mu.Unlock()
	s.serveRequests(c)
	c.Close()
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
	<-s.slots
}

// makeRoom closes a connection that carries no request, and of those that are alike the one that has stood for
// longest: first one that has said nothing for a while, then one that a client keeps, then a new one. A request that
// waits to be read, or is being read, spares a new one. s.mu is held.
func (s *Front) evictIdle() bool {
	var spare *conn
	best := 3
	for c := range s.conns {
		rank := 1
		if !c.servedRequest {
			if rank = 0; time.Since(c.accepted) < SilentTime+s.Slack {
				rank = 2
			}
		}
		if c.busy || rank > best || rank == best && !c.lastChange.Before(spare.lastChange) {
			continue
		}
		if c.servedRequest && !c.reading || time.Since(c.requestStart) > arrivalTime && flow.Pending(c.Conn) == flow.Nothing {
			spare, best = c, rank
		}
	}
	if spare != nil {
		s.evict(spare)
	}
	return spare != nil
}

// drop takes a connection off those that count and ends its reading, so that it closes. A request that has just been
// read is still answered. s.mu is held.
func (s *Front) evict(c *conn) {
	if !c.closing {
		c.closing = true
		delete(s.conns, c)
		c.SetReadDeadline(time.Unix(1, 0))
	}
}

// deadline bounds the next reads from a connection, unless it is closing. A request that has begun is read to its end all
// the same.
func (s *Front) setReadDeadline(c *conn, t time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !c.closing || c.reading || c.busy {
		c.SetReadDeadline(t)
	}
}

// Cut breaks connections off: those that carry no large body, or all.
func (s *Front) Cut(all bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if all || !c.streaming {
			c.Close()
		}
	}
}

// CloseIdle closes the connections that carry no request.
func (s *Front) CloseIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if !c.busy && !c.reading && flow.Pending(c.Conn) == flow.Nothing {
			s.evict(c) // with a request on its way it closes behind that one's answer
		}
	}
}

// mark notes that a request has come or was answered, and tells whether the connection is to stay.
func (s *Front) setBusy(c *conn, busy bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.busy, c.servedRequest, c.reading, c.streaming, c.lastChange = busy, true, false, false, time.Now()
	return !c.closing && (busy || !s.Away())
}

// request is one that was read. It is for the core but where it asks for GET /ready.
type request struct {
	*core.Request
	httpRequest  *stdhttp.Request
	body         *flow.Upload
	windowClosed bool // it waited for room while so much stood unread that its client's end could not be seen
}

// rejection is the answer to a request that is not handed to the policy. Its connection is closed: what follows on
// it can't be told from the rest of that request.
type rejection struct {
	status     int
	text       string
	retryAfter time.Duration // of a refusal
}

// talk answers one request after the other.
func (s *Front) serveRequests(c *conn) {
	for {
		r, no := s.readRequest(c)
		if no != nil {
			c.reject(no)
			return
		}
		if r == nil {
			return
		}
		if !s.setBusy(c, true) && !s.Away() {
			c.closeAfterNext = true
		}
		if !s.serveRequest(c, r) || !s.setBusy(c, false) {
			return
		}
	}
}

// exchange gives a request its answer and tells whether the connection stays.
func (s *Front) serveRequest(c *conn, r *request) bool {
	defer s.Budget.RequestDone(r.body.Held())
	stays := true
	if !r.body.Whole() {
		s.markStreaming(c)
		pumped := make(chan struct{})
		go func() {
			defer close(pumped)
			r.body.Pump(s.timedReader(c, r.httpRequest.Body))
		}()
		defer func() {
			r.body.Drop()
			if !stays { // the client may still be sending: it is to read its answer first
				s.awaitBody(c, pumped)
			}
			<-pumped
		}()
	}
	a, ok := s.respond(c, r)
	if !ok {
		c.Close() // ends the pump too
		stays = false
		return false
	}
	early := false // the answer came before the request's end: what follows can't be told from its rest
	select {
	case <-r.body.Ended():
	default:
		early = true
	}
	if a.Stream != nil {
		s.markStreaming(c)
	}
	last := r.httpRequest.Close || c.closeAfterNext || early || s.Away()
	stays = c.writeResponse(r.httpRequest, a, last) == nil && !last
	a.release()
	if r.Request != nil {
		s.Core.Written(r.Request)
	}
	if c.inputDiscarded {
		c.closeAfterResponse()
	}
	return stays
}

// stream notes that a large body is on its way.
func (s *Front) markStreaming(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.streaming = true
}

// linger lets a client finish its request before the connection is closed: closing resets one on which something is
// unread, and with it the answer that the client has not read.
func (s *Front) awaitBody(c *conn, pumped <-chan struct{}) {
	select {
	case <-pumped:
	case <-time.After(lateBodyTimeout):
		c.Close()
	}
}

// read reads the next request, with its body where that is small. Both results are nil where there is none, or nobody
// to tell what is wrong with it.
func (s *Front) readRequest(c *conn) (*request, *rejection) {
	end := c.accepted.Add(HeadTime + s.Slack)
	if c.servedRequest {
		s.setReadDeadline(c, time.Now().Add(IdleTime+s.Slack))
	} else {
		s.setReadDeadline(c, end)
	}
	if _, err := c.reader.Peek(1); err != nil {
		return nil, nil
	}
	begun := time.Now()
	if c.servedRequest {
		end = begun.Add(HeadTime + s.Slack)
	}
	s.mu.Lock()
	c.reading, c.requestStart = true, begun
	s.mu.Unlock()
	s.setReadDeadline(c, end) // also where it was taken for idle just behind its first byte
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
		// net/http drops a Content-Length beside Transfer-Encoding: a request hidden by the one or the other would go
		// unseen.
		return nil, &rejection{status: stdhttp.StatusBadRequest, text: "Content-Length beside Transfer-Encoding"}
	}
	in, err := stdhttp.ReadRequest(c.reader)
	if err != nil {
		return nil, &rejection{status: stdhttp.StatusBadRequest, text: err.Error()}
	}
	r := &request{httpRequest: in}
	if no := s.checkHead(r, c); no != nil {
		return nil, no
	}
	return r, s.readBody(c, r)
}

// body reads the body of a request, if that is small; what is large is passed on while it comes.
func (s *Front) readBody(c *conn, r *request) *rejection {
	in := r.httpRequest
	held := flow.Need(in.ContentLength)
	begun := s.Core.Now()
	ctx, cancel := context.WithTimeout(s.Core.Context(), budgetTimeout+s.Slack)
	defer cancel()
	if s.Budget.Request(ctx, held) != nil {
		return &rejection{status: stdhttp.StatusServiceUnavailable, text: "too many bodies are on their way", retryAfter: budgetTimeout}
	}
	var stood time.Duration // how long all of the request stood here: its client's time has been running
	if waited := s.Core.Now() - begun; waited > shortWait {
		r.windowClosed = flow.Shut(c.Conn)
		if in.ContentLength < 0 || int64(c.reader.Buffered()+flow.Unread(c.Conn)) >= in.ContentLength { // of chunks it can't be told
			stood = waited
		}
	}
	if in.ContentLength != 0 && in.Header.Get("Expect") != "" {
		c.SetWriteDeadline(time.Now().Add(BodyStall))
		io.WriteString(c, "HTTP/1.1 100 Continue\r\n\r\n") // an error shows when the body is read
	}
	up, err := flow.NewUpload(s.timedReader(c, in.Body), in.ContentLength)
	if err != nil {
		s.Budget.RequestDone(held)
		return bodyRejection(err)
	}
	if up.Held() < held {
		s.Budget.RequestDone(held - up.Held())
	}
	if r.body = up; r.Request != nil {
		r.Body, r.Arrived = up, s.Core.Now()
		if up.Whole() {
			r.Arrived -= stood
		}
		if until := s.Until(); until > 0 {
			r.Patience = min(r.Patience, until-r.Arrived)
		}
	}
	return nil
}

// badBody tells a client why its body could not be read.
func bodyRejection(err error) *rejection {
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return &rejection{status: stdhttp.StatusRequestTimeout, text: "the body did not come in time"}
	case errors.Is(err, message.ErrTooLarge):
		return &rejection{status: stdhttp.StatusRequestEntityTooLarge, text: fmt.Sprintf("body: over %d bytes", message.Max)}
	}
	return &rejection{status: stdhttp.StatusBadRequest, text: "body: " + err.Error()} // cut short: what came is not what was meant
}

// paced returns a reader of a request's body that gives up on a client which stands still, or is too slow.
func (s *Front) timedReader(c *conn, body io.Reader) io.Reader {
	return &timedBody{front: s, conn: c, body: body}
}

type timedBody struct {
	front    *Front
	conn     *conn
	body     io.Reader
	waited   time.Duration // for the client
	received int64
}

func (b *timedBody) Read(p []byte) (int, error) {
	begun := time.Now()
	left := bodyTimeout + b.front.Slack + time.Duration(b.received)*time.Second/minBodyRate - b.waited
	b.front.setReadDeadline(b.conn, begun.Add(min(BodyStall+b.front.Slack, left)))
	n, err := b.body.Read(p)
	b.waited += time.Since(begun)
	if b.received += int64(n); b.received > message.Max {
		return n, message.ErrTooLarge
	}
	return n, err
}

// head waits until the head of the next request is in the buffer, and returns it as it was sent. Empty lines ahead of
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

// headEnd returns the length of a head, or 0 where its end is not there. It is looked for from the given place on.
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

// twoFramings tells whether a head says in two ways where its request ends.
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

// check tells what is wrong with a request, by its head alone.
func (s *Front) checkHead(r *request, c *conn) *rejection {
	in := r.httpRequest
	no := func(status int, format string, args ...any) *rejection {
		return &rejection{status: status, text: fmt.Sprintf(format, args...)}
	}
	bad := stdhttp.StatusBadRequest
	switch expect := in.Header.Get("Expect"); {
	case !in.ProtoAtLeast(1, 1):
		return no(stdhttp.StatusHTTPVersionNotSupported, "only HTTP/1.1 is spoken here")
	case in.Host == "":
		return no(bad, "Host: missing")
	case expect != "" && !strings.EqualFold(expect, "100-continue"):
		return no(stdhttp.StatusExpectationFailed, "Expect: %q is not known", expect)
	case in.Method != stdhttp.MethodGet && in.Method != stdhttp.MethodPost:
		return no(stdhttp.StatusMethodNotAllowed, "a request is a GET or a POST")
	case in.ContentLength > message.Max:
		return no(stdhttp.StatusRequestEntityTooLarge, "Content-Length: over %d", message.Max)
	case in.Method == stdhttp.MethodGet && in.ContentLength != 0:
		return no(bad, "Content-Length: a GET has no body")
	case in.Method == stdhttp.MethodPost && in.ContentLength >= 0 && in.Header.Get("Content-Length") == "":
		return no(stdhttp.StatusLengthRequired, "Content-Length: missing")
	}
	for name := range in.Header {
		if strings.Contains(name, " ") { // net/http lets it pass, so that "Transfer-Encoding :" is not one
			return no(bad, "%q is no name of a header", name)
		}
	}
	if in.URL.Path == "/ready" {
		return nil
	}
	for _, name := range message.Headers {
		if len(in.Header[name]) > 1 {
			return no(bad, "%s: more than one", name)
		}
	}
	h := in.Header
	r.Request = &core.Request{ID: h.Get("X-Request-Id"), Class: h.Get("X-Class"), Tenant: h.Get("X-Tenant"), Key: h.Get("Idempotency-Key"), Repeat: h.Get("X-Retry") == "1",
		Hint: costHint(h), Caller: Caller(h, Address(c.Conn), c.user), Message: in,
		Left: func() bool { return flow.Left(c.Conn) }}
	if r.ID == "" || len(r.ID) > maxRequestIDLength {
		return no(bad, "X-Request-Id: missing or too long")
	}
	var err error
	if r.Patience, err = parseDeadline(in.Header.Get("X-Deadline")); err != nil {
		return no(bad, "X-Deadline: %v", err)
	}
	if err := s.Fits(in); err != nil {
		return no(bad, "%v", err)
	}
	return nil
}

// answer gives a request exactly one answer, unless its client leaves before.
func (s *Front) respond(c *conn, r *request) (response, bool) {
	if r.Request == nil {
		return response{status: s.Ready()}, true
	}
	if c.closeAfterNext { // nothing was sent: refusing is harmless, whatever the class
		return response{status: stdhttp.StatusServiceUnavailable, Answer: message.Answer{Body: []byte("too many connections\n")},
			retryAfter: overloadRetryAfter}, true
	}
	whole := r.body.Whole()
	if whole && r.windowClosed && c.discardAndCheckLeft() {
		return toResponse(core.Answer{Kind: core.Refused, RetryAfter: overloadRetryAfter}), true
	}
	if whole {
		r.Waits = c.watchClient
	}
	if !s.Core.Begin(r.Request) {
		c.stopWatching()
		c.reject(&rejection{status: stdhttp.StatusConflict, text: "X-Request-Id: a request with this id is open"})
		return response{}, false
	}
	select {
	case a := <-r.Answer():
		c.stopWatching()
		return toResponse(a), true
	default:
	}
	if !whole {
		select {
		case a := <-r.Answer():
			return toResponse(a), true
		case <-r.body.Ended():
		}
		if err := r.body.Err(); err != nil {
			s.Core.Gone(r.Request)
			c.reject(bodyRejection(err))
			return response{}, false
		}
	}
	c.watchClient()
	a, ok := r.Await(c.clientLeft)
	c.stopWatching()
	if !ok {
		// It may have ended its sending alone, and wait for its answer.
		c.closeAfterNext, a = true, core.Answer{Kind: core.Failed}
		if !s.Core.Gone(r.Request) {
			a = core.Answer{Kind: core.Refused, RetryAfter: overloadRetryAfter}
		}
		return toResponse(a), true
	}
	return toResponse(a), true
}

// reject answers what is no request.
func (c *conn) reject(no *rejection) {
	if c.writeResponse(nil, response{status: no.status, retryAfter: no.retryAfter, Answer: message.Answer{Body: []byte(no.text + "\n")}}, true) != nil {
		return
	}
	c.closeAfterResponse()
}

// part ends a connection on which more may come behind its last answer. Closing resets one on which something is unread, and with
// it what the client has not read.
func (c *conn) closeAfterResponse() {
	if t, ok := c.Conn.(*net.TCPConn); ok {
		t.CloseWrite()
	}
	c.SetReadDeadline(time.Now().Add(lingerTimeout))
	io.CopyN(io.Discard, c.Conn, maxLingerBytes)
}

// parseDeadline reads a number and its unit: m for milliseconds or u for microseconds.
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
