package probe

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"portstall/internal/health"
)

// Prober probes web servers by one protocol. Reports of checks set only State and Reason; those of agents may set any
// field.
type Prober interface {
	// Probe returns the report of the server or its agent. An error means that there is no usable report.
	Probe(ctx context.Context, server Target) (health.Report, error)
	// Close releases what is held between probes.
	Close()
}

// Target identifies a web server and how to connect to it.
type Target struct {
	ID   string
	Addr string // the address at which it serves requests, host:port
	Dial Dial
}

// addrWithPort returns the target's address with another port; 0 means the target's own.
func (t Target) addrWithPort(port int) (string, error) {
	if port == 0 {
		return t.Addr, nil
	}
	host, _, err := net.SplitHostPort(t.Addr)
	if err != nil {
		return "", err
	}
	return net.JoinHostPort(host, fmt.Sprint(port)), nil
}

// connect opens a connection whose reads and writes fail once the context ends.
func connect(ctx context.Context, dial Dial, addr string) (net.Conn, error) {
	conn, err := dial(ctx, "tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("connecting: %w", err)
	}
	stop := context.AfterFunc(ctx, func() { conn.SetDeadline(time.Unix(1, 0)) })
	return &contextConn{conn, stop}, nil
}

// contextConn is a connection whose reads and writes fail once a context ends.
type contextConn struct {
	net.Conn
	stopWatching func() bool
}

// Close closes the connection and detaches it from the context.
func (c *contextConn) Close() error {
	c.stopWatching()
	return c.Conn.Close()
}

// AgentCheck probes by HAProxy's agent-check: it asks an agent that runs on the server's host.
type AgentCheck struct {
	Port int    // of the agent; 0: the port of the target
	Send string // written to the agent first; empty: nothing
	// OnUnknown is called with the unknown keywords of a server's agent. It may be nil.
	OnUnknown func(id string, words []string)
}

// Probe implements Prober.
func (a *AgentCheck) Probe(ctx context.Context, t Target) (health.Report, error) {
	addr, err := t.addrWithPort(a.Port)
	if err != nil {
		return health.EmptyReport, err
	}
	report, unknown, err := QueryAgent(ctx, t.Dial, addr, a.Send)
	if len(unknown) > 0 && a.OnUnknown != nil {
		a.OnUnknown(t.ID, unknown)
	}
	return report, err
}

// Close implements Prober.
func (a *AgentCheck) Close() {}

// TCP checks that a connection can be opened, and closes it. Port 0 means the port of the target.
type TCP struct{ Port int }

// Probe implements Prober.
func (c *TCP) Probe(ctx context.Context, t Target) (health.Report, error) {
	addr, err := t.addrWithPort(c.Port)
	if err != nil {
		return health.EmptyReport, err
	}
	conn, err := connect(ctx, t.Dial, addr)
	if err != nil {
		return health.EmptyReport, err
	}
	conn.Close()
	return upReport, nil
}

// Close implements Prober.
func (c *TCP) Close() {}

// upReport is the report of a check that passed.
var upReport = health.Report{State: health.Up, Weight: -1, MaxConn: -1}

// downReport returns the report of a check that failed.
func downReport(format string, args ...any) health.Report {
	return health.Report{State: health.Down, Weight: -1, MaxConn: -1, Reason: fmt.Sprintf(format, args...)}
}

// maxBodyRead is how many bytes of a response's body are searched for HTTP.Body.
const maxBodyRead = 64 << 10

// HTTP checks by an HTTP request. The server is up if the response's status (RFC 9110, section 15) is in one of the ranges
// and the first 64 KiB of the body contain the text. Redirects are not followed: their status counts like any other.
type HTTP struct {
	Port     int    // 0: the port of the target
	Method   string // GET or HEAD
	Path     string
	Host     string // Host header; empty: the address
	Statuses []StatusRange
	Body     string // text that the body must contain; empty: the body is not read
}

// StatusRange is a range of HTTP statuses, both ends included.
type StatusRange struct{ From, To int }

// Probe implements Prober.
func (h *HTTP) Probe(ctx context.Context, t Target) (health.Report, error) {
	addr, err := t.addrWithPort(h.Port)
	if err != nil {
		return health.EmptyReport, err
	}
	req, err := http.NewRequestWithContext(ctx, h.Method, "http://"+addr+h.Path, nil)
	if err != nil {
		return health.EmptyReport, err
	}
	req.Host = h.Host
	req.Header.Set("User-Agent", "portstall-check")
	transport := &http.Transport{DialContext: t.Dial, DisableKeepAlives: true, DisableCompression: true, MaxResponseHeaderBytes: 16 << 10}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return health.EmptyReport, err
	}
	defer resp.Body.Close()
	accepted := false
	for _, r := range h.Statuses {
		accepted = accepted || r.From <= resp.StatusCode && resp.StatusCode <= r.To
	}
	if !accepted {
		return downReport("status %d", resp.StatusCode), nil
	}
	if h.Body == "" {
		return upReport, nil
	}
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxBodyRead))
	if err != nil {
		return health.EmptyReport, fmt.Errorf("reading the response: %w", err)
	}
	if !strings.Contains(string(text), h.Body) {
		return downReport("response body does not contain %.60q", h.Body), nil
	}
	return upReport, nil
}

// Close implements Prober.
func (h *HTTP) Close() {}
