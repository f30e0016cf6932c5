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
	dialTimeout = time.Second     // an address where no connection comes up is as good as one that refuses
	headTimeout = 2 * time.Second // for an answer's head, from its first byte on; its body has resource.BodyLimit behind that, to arrive
	idleTimeout = time.Minute     // a connection on which nothing is asked is closed

	maxHead      = 16 << 10 // bytes of an answer's head
	maxErrorText = 256      // bytes of an error's text that are read
)

// Kind is how a call failed.
type Kind string

const (
	Unreachable Kind = "unreachable" // no connection, or it broke before an answer began
	Silent      Kind = "silent"      // no answer within the call's limit
	Broken      Kind = "broken"      // an answer ended early, or did not end within its time
	TooLong     Kind = "too_long"    // its JSON is over the bound
	Malformed   Kind = "malformed"   // it is not what an answer looks like
	Behind      Kind = "behind"      // 409: the control process has not what the caller has
	Full        Kind = "full"        // 503: it holds as many watches as it may, has nothing itself, or ends
	OtherStatus Kind = "status"      // another status than these
	Unfit       Kind = "unfit"       // the answer can be read, and does not fit what is in force
	Refused     Kind = "refused"     // the change was checked and refused
)

// kinds are all of them, for counting.
var kinds = [...]Kind{Unreachable, Silent, Broken, TooLong, Malformed, Behind, Full, OtherStatus, Unfit, Refused}

// CallError is a call that failed.
type CallError struct {
	Kind   Kind
	Source string // host:port
	Err    error

	RetryAfter time.Duration // of Full, as told; 0: it was not
}

func (e *CallError) Error() string {
	return fmt.Sprintf("control at %s: %s: %v", e.Source, e.Kind, e.Err)
}
func (e *CallError) Unwrap() error { return e.Err }

// Query is what is asked of a control process.
type Query struct {
	Process     string           // a mark of the caller, by which control tells processes of one name apart; empty: none
	Since       resource.Version // zero: the whole is asked for
	Sum         resource.Sum
	Refused     resource.Version // zero: none
	Why         string
	Wait, Limit time.Duration // how long the answer may be held back, and by when it must have begun
}

// url is the call that asks it.
func (q *Query) url(source, name, role string) string {
	v := url.Values{"name": {name}, "role": {role}}
	if q.Process != "" {
		v.Set("process", q.Process)
	}
	if !q.Since.IsZero() {
		sum, _ := q.Sum.MarshalText()
		v.Set("since", q.Since.String())
		v.Set("sum", string(sum))
	}
	if q.Wait > 0 {
		v.Set("timeout_ms", strconv.FormatInt(q.Wait.Milliseconds(), 10))
	}
	if !q.Refused.IsZero() {
		v.Set("refused", q.Refused.String())
		v.Set("why", strings.ToValidUTF8(q.Why[:min(len(q.Why), resource.MaxWhy)], ""))
	}
	return (&url.URL{Scheme: "http", Host: source, Path: "/v1/resources", RawQuery: v.Encode()}).String()
}

// Client asks control processes. It holds two connections at most, and one that rests to each of them. One call at a time.
type Client struct {
	name, role string
	clock      Clock
	status     *Status
	http       *http.Client
	decode     func(io.Reader) (*resource.Delta, error) // of an answer's JSON
}

// NewClient makes one for a caller of a name, which control shows, and a role: node or control.
func NewClient(name, role string, clock Clock, count *Status) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &Client{name: name, role: role, clock: clock, status: count, decode: decode, http: &http.Client{
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		Transport: &http.Transport{
			DisableCompression:     true, // it would not bound what comes out
			MaxIdleConns:           1,    // and the one in use
			MaxIdleConnsPerHost:    1,
			MaxConnsPerHost:        1,
			IdleConnTimeout:        idleTimeout,
			MaxResponseHeaderBytes: maxHead,
			DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
				c, err := dialer.DialContext(ctx, network, addr)
				if err != nil {
					return nil, err
				}
				return Counted(c, &count.bytesIn, &count.bytesOut), nil
			},
		}}}
}

// Close closes the connections that rest.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Get makes one call to host:port. Its limits bound how long the source and the network may take: an answer that has arrived is decoded,
// however long that takes here, unless ctx ends. An error is a *CallError; after one for Silent or Broken the connection is closed.
func (c *Client) Get(ctx context.Context, source string, q *Query) (*resource.Delta, error) {
	c.status.calls.Add(1)
	d, err := c.get(ctx, source, q)
	if err != nil {
		return nil, err
	}
	c.status.answers.Add(1)
	return d, nil
}

func (c *Client) get(ctx context.Context, source string, q *Query) (*resource.Delta, error) {
	// The call's context ends with the caller's and with a failure, but not with an answer: the transport closes the connection where it
	// sees a context's end before it has noted that the body is read.
	parent := ctx
	ctx, cancel := context.WithCancel(context.WithoutCancel(parent))
	defer context.AfterFunc(parent, cancel)()
	end := &deadline{clock: c.clock, cancel: cancel}
	defer end.disarm()
	end.set(q.Limit, Silent)
	fail := func(kind Kind, err error) *CallError {
		cancel()
		if late := end.expiredKind(); late != "" {
			kind = late
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
			kind = Malformed // of an answer: its head is over the bound, or none
		}
		return nil, fail(kind, errors.Unwrap(err)) // without the address, which is long
	}
	defer resp.Body.Close()
	end.set(resource.BodyLimit(resp.ContentLength), Broken)
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
		return nil, fail(Malformed, fmt.Errorf("Content-Encoding: %q was not asked for", coding))
	}
	body, err := readBody(parent, resp.Body)
	switch {
	case errors.Is(err, errTooLong):
		return nil, fail(TooLong, err)
	case err != nil:
		return nil, fail(Broken, err)
	}
	end.disarm() // it has arrived: what is left to do is ours, however long it takes
	d, err := c.read(body, coding)
	switch {
	case errors.Is(err, errTooLong):
		return nil, fail(TooLong, err)
	case err != nil:
		return nil, fail(Malformed, err)
	}
	return d, nil
}

// read makes a delta of a body that has arrived.
func (c *Client) read(body io.Reader, coding string) (*resource.Delta, error) {
	if coding != "gzip" {
		return c.decode(body)
	}
	z, err := gzip.NewReader(body)
	if err != nil {
		return nil, err
	}
	return c.decode(&limitedReader{z, resource.MaxAnswer})
}

// deadline gives a call up. It counts on a clock whose timers can't be stopped.
type deadline struct {
	clock  Clock
	cancel context.CancelFunc

	mu         sync.Mutex
	generation int
	expired    Kind // what is passed; empty: nothing yet
	started    bool // the answer has begun
}

// begin is for the first byte of an answer.
func (d *deadline) responseStarted() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.started { // else there was an interim head before
		d.started = true
		d.setLocked(headTimeout, Broken)
	}
}

// set puts a deadline in the place of the one before.
func (d *deadline) set(in time.Duration, kind Kind) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.setLocked(in, kind)
}

func (d *deadline) setLocked(in time.Duration, kind Kind) {
	if d.expired != "" {
		return
	}
	d.generation++
	turn := d.generation
	d.clock.AfterFunc(in, func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		if d.generation == turn {
			d.expired = kind
			d.cancel()
		}
	})
}

// over lets the deadline pass without a word.
func (d *deadline) disarm() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.generation++
}

// passed is how the call failed by its deadline; empty: it did not.
func (d *deadline) expiredKind() Kind {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.expired
}

// begun tells whether a first byte of an answer came.
func (d *deadline) hasStarted() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.started
}

// Counted is a connection whose bytes are added to what is given for them.
func Counted(c net.Conn, in, out *atomic.Int64) net.Conn { return &countingConn{c, in, out} }

type countingConn struct {
	net.Conn
	in, out *atomic.Int64
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.in.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.out.Add(int64(n))
	return n, err
}
