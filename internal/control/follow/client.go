package follow

import (
	"compress/gzip"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"portstall/internal/resource"
)

const (
	// dialTimeout limits connecting: an address that does not respond within it counts as unreachable.
	dialTimeout = time.Second
	// headTimeout limits a response's head, from its first byte. After the head, resource.BodyTimeout limits receiving the body.
	headTimeout = 2 * time.Second
	// idleTimeout is the time after which an idle connection is closed.
	idleTimeout = time.Minute

	maxHead      = 16 << 10 // bytes of a response's head
	maxErrorText = 256      // bytes of an error response's body that are read
)

// FailureKind is the way in which a call failed.
type FailureKind string

// The kinds of failures.
const (
	Unreachable FailureKind = "unreachable" // no connection, or it broke before a response began
	Silent      FailureKind = "silent"      // no response within the call's timeout
	Broken      FailureKind = "broken"      // a response ended early, or did not end within its time
	TooLong     FailureKind = "too_long"    // the response's JSON is too long
	Malformed   FailureKind = "malformed"   // the response is malformed
	Behind      FailureKind = "behind"      // status 409: the control process does not have the caller's version
	Full        FailureKind = "full"        // status 503: the process has too many watches, no configuration of its own, or is shutting down
	OtherStatus FailureKind = "status"      // another status than these
	Unfit       FailureKind = "unfit"       // a well-formed response that does not match the content in force
	Refused     FailureKind = "refused"     // the change was checked and refused
)

// kinds are all kinds of failures, in the order in which they are counted.
var kinds = [...]FailureKind{Unreachable, Silent, Broken, TooLong, Malformed, Behind, Full, OtherStatus, Unfit, Refused}

// CallError is the error of a failed call.
type CallError struct {
	Kind   FailureKind
	Source string // host:port
	Err    error

	RetryAfter time.Duration // of Full, as received; 0: not specified
}

// Error returns the source, the kind and the cause.
func (e *CallError) Error() string {
	return fmt.Sprintf("control at %s: %s: %v", e.Source, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Err }

// Query holds the parameters of a call to a control process.
type Query struct {
	Process       string            // a mark by which control tells processes of one name apart; empty: none
	Since         resource.Version  // the version held; zero: request a snapshot
	Checksum      resource.Checksum // of the content held at Since
	Refused       resource.Version  // the version last refused; zero: none
	Reason        string            // of the refusal
	Wait, Timeout time.Duration     // how long the response may be held back, and by when it must have begun
}

// url returns the URL of the call.
func (q *Query) url(source, name, role string) string {
	v := url.Values{"name": {name}, "role": {role}}
	if q.Process != "" {
		v.Set("process", q.Process)
	}
	if !q.Since.IsZero() {
		checksum, _ := q.Checksum.MarshalText()
		v.Set("since", q.Since.String())
		v.Set("sum", string(checksum))
	}
	if q.Wait > 0 {
		v.Set("timeout_ms", strconv.FormatInt(q.Wait.Milliseconds(), 10))
	}
	if !q.Refused.IsZero() {
		v.Set("refused", q.Refused.String())
		v.Set("why", strings.ToValidUTF8(q.Reason[:min(len(q.Reason), resource.MaxReason)], ""))
	}
	return (&url.URL{Scheme: "http", Host: source, Path: "/v1/resources", RawQuery: v.Encode()}).String()
}

// Client calls control processes, one call at a time. It has at most two connections: the one in use and an idle one.
type Client struct {
	name, role string
	clock      Clock
	status     *Status
	http       *http.Client
	decode     func(io.Reader) (*resource.Delta, error) // decodes a response's JSON
}

// NewClient returns a client for a caller with a name, which control shows, and a role: node or control. It counts in status.
func NewClient(name, role string, clock Clock, status *Status) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &Client{name: name, role: role, clock: clock, status: status, decode: decode, http: &http.Client{
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		Transport: &http.Transport{
			DisableCompression:     true, // transparent decompression would not limit the result
			MaxIdleConns:           1,    // besides the one in use
			MaxIdleConnsPerHost:    1,
			MaxConnsPerHost:        1,
			IdleConnTimeout:        idleTimeout,
			MaxResponseHeaderBytes: maxHead,
			DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
				c, err := dialer.DialContext(ctx, network, addr)
				if err != nil {
					return nil, err
				}
				return NewCountingConn(c, &status.bytesIn, &status.bytesOut), nil
			},
		}}}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Get makes one call to host:port. The timeouts limit the source and the network: a response that has been received is decoded
// however long that takes here, unless ctx ends. An error is a *CallError; after Silent or Broken the connection is closed.
func (c *Client) Get(ctx context.Context, source string, q *Query) (*resource.Delta, error) {
	c.status.calls.Add(1)
	d, err := c.get(ctx, source, q)
	if err != nil {
		return nil, err
	}
	c.status.answers.Add(1)
	return d, nil
}

// get does the work of Get and does not count.
func (c *Client) get(ctx context.Context, source string, q *Query) (*resource.Delta, error) {
	// The call's context ends with the caller's and with a failure, but not with a complete response: the transport closes the
	// connection if the context ends before it has noticed that the body was read.
	parent := ctx
	ctx, cancel := context.WithCancel(context.WithoutCancel(parent))
	defer context.AfterFunc(parent, cancel)()
	end := &deadline{clock: c.clock, cancel: cancel}
	defer end.disarm()
	end.set(q.Timeout, Silent)
	fail := func(kind FailureKind, err error) *CallError {
		cancel()
		if expired := end.expiredKind(); expired != "" {
			kind = expired
		}
		return &CallError{Kind: kind, Source: source, Err: err}
	}
	trace := &httptrace.ClientTrace{GotFirstResponseByte: end.responseStarted}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), http.MethodGet, q.url(source, c.name, c.role), nil)
	if err != nil {
		return nil, fail(Unreachable, err)
	}
	req.Header.Set("Accept-Encoding", "gzip")
	req.Header.Set("User-Agent", "portstall")
	resp, err := c.http.Do(req)
	if err != nil {
		kind := Unreachable
		if end.hasStarted() {
			kind = Malformed // the response's head is too long or is not HTTP
		}
		return nil, fail(kind, errors.Unwrap(err)) // without the URL, which is long
	}
	defer resp.Body.Close()
	end.set(resource.BodyTimeout(resp.ContentLength), Broken)
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorText))
		kind, after := OtherStatus, time.Duration(0)
		switch resp.StatusCode {
		case http.StatusConflict:
			kind = Behind
		case http.StatusServiceUnavailable:
			kind = Full
			if s, err := strconv.ParseUint(resp.Header.Get("Retry-After"), 10, 31); err == nil {
				after = time.Duration(s) * time.Second
			}
		}
		call := fail(kind, fmt.Errorf("%s: %s", resp.Status, strings.TrimSpace(string(text))))
		call.RetryAfter = after
		return nil, call
	}
	coding := resp.Header.Get("Content-Encoding")
	if coding != "" && coding != "gzip" {
		return nil, fail(Malformed, fmt.Errorf("Content-Encoding: %q was not requested", coding))
	}
	body, err := readBody(parent, resp.Body)
	switch {
	case errors.Is(err, errTooLong):
		return nil, fail(TooLong, err)
	case err != nil:
		return nil, fail(Broken, err)
	}
	end.disarm() // received: the timeouts don't apply to decoding it
	d, err := c.read(body, coding)
	switch {
	case errors.Is(err, errTooLong):
		return nil, fail(TooLong, err)
	case err != nil:
		return nil, fail(Malformed, err)
	}
	return d, nil
}

// read decodes a received body.
func (c *Client) read(body io.Reader, coding string) (*resource.Delta, error) {
	if coding != "gzip" {
		return c.decode(body)
	}
	z, err := gzip.NewReader(body)
	if err != nil {
		return nil, err
	}
	return c.decode(&limitedReader{z, resource.MaxResponse})
}

// deadline cancels a call when its time is over. It works with a clock whose timers can't be stopped.
type deadline struct {
	clock  Clock
	cancel context.CancelFunc

	mu         sync.Mutex
	generation int         // of the timer that is in effect
	expired    FailureKind // of the deadline that passed; empty: none yet
	started    bool        // the response has begun
}

// responseStarted sets the deadline of the response's head at its first byte.
func (d *deadline) responseStarted() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.started { // not after an interim response
		d.started = true
		d.setLocked(headTimeout, Broken)
	}
}

// set replaces the deadline.
func (d *deadline) set(in time.Duration, kind FailureKind) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.setLocked(in, kind)
}

// setLocked is set with the lock held.
func (d *deadline) setLocked(in time.Duration, kind FailureKind) {
	if d.expired != "" {
		return
	}
	d.generation++
	generation := d.generation
	d.clock.AfterFunc(in, func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		if d.generation == generation {
			d.expired = kind
			d.cancel()
		}
	})
}

// disarm removes the deadline.
func (d *deadline) disarm() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.generation++
}

// expiredKind returns the kind of the deadline that passed; empty: none.
func (d *deadline) expiredKind() FailureKind {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.expired
}

// hasStarted reports whether a first byte of the response was received.
func (d *deadline) hasStarted() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.started
}

// NewCountingConn returns a connection that adds the bytes read and written to the given counters.
func NewCountingConn(c net.Conn, in, out *atomic.Int64) net.Conn { return &countingConn{c, in, out} }

// countingConn is a connection that counts its bytes.
type countingConn struct {
	net.Conn
	in, out *atomic.Int64
}

// Read implements io.Reader.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.in.Add(int64(n))
	return n, err
}

// Write implements io.Writer.
func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.out.Add(int64(n))
	return n, err
}
