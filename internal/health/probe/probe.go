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

// Prober probes one web server. A check's word has a State and a Reason alone.
type Prober interface {
	// Probe returns what the server, or its agent, says. An error means that it said nothing that can be used.
	Probe(ctx context.Context, server Target) (health.Word, error)
	Close() // ends what is kept between probes
}

// Target is where a server is.
type Target struct {
	ID   string
	Addr string // where it serves
	Dial Dial   // how it is reached
}

// at is the target's address with another port; 0: its own.
func (t Target) at(port int) (string, error) {
	if port == 0 {
		return t.Addr, nil
	}
	host, _, err := net.SplitHostPort(t.Addr)
	if err != nil {
		return "", err
	}
	return net.JoinHostPort(host, fmt.Sprint(port)), nil
}

// open connects, and lets the context's end cut what is read and written.
func open(ctx context.Context, dial Dial, addr string) (net.Conn, error) {
	conn, err := dial(ctx, "tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("connecting: %w", err)
	}
	stop := context.AfterFunc(ctx, func() { conn.SetDeadline(time.Unix(1, 0)) })
	return &watched{conn, stop}, nil
}

// watched is a connection that ends with a context.
type watched struct {
	net.Conn
	stop func() bool
}

func (w *watched) Close() error {
	w.stop()
	return w.Conn.Close()
}

// AgentCheck asks HAProxy's agent-check beside each server.
type AgentCheck struct {
	Port int    // on the server's host
	Send string // first; empty: nothing
	// Unknown is told of words that are not known. May be nil.
	Unknown func(id string, words []string)
}

func (a *AgentCheck) Probe(ctx context.Context, t Target) (health.Word, error) {
	addr, err := t.at(a.Port)
	if err != nil {
		return health.Silent, err
	}
	w, unknown, err := Agent(ctx, t.Dial, addr, a.Send)
	if len(unknown) > 0 && a.Unknown != nil {
		a.Unknown(t.ID, unknown)
	}
	return w, err
}

func (a *AgentCheck) Close() {}

// TCP checks that a connection can be opened, and closes it.
type TCP struct{ Port int }

func (c *TCP) Probe(ctx context.Context, t Target) (health.Word, error) {
	addr, err := t.at(c.Port)
	if err != nil {
		return health.Silent, err
	}
	conn, err := open(ctx, t.Dial, addr)
	if err != nil {
		return health.Silent, err
	}
	conn.Close()
	return up, nil
}

func (c *TCP) Close() {}

var up = health.Word{State: health.Up, Weight: -1, MaxConn: -1}

func down(format string, args ...any) health.Word {
	return health.Word{State: health.Down, Weight: -1, MaxConn: -1, Reason: fmt.Sprintf(format, args...)}
}

// bodyMost is how much of a check's answer is looked at.
const bodyMost = 64 << 10

// HTTP asks for a page. An answer says up if its status lies in a range (RFC 9110, section 15) and its first 64 KiB hold
// the text; redirects are answers, and not followed.
type HTTP struct {
	Port     int
	Method   string // GET or HEAD
	Path     string
	Host     string // empty: the address
	Statuses []Range
	Body     string // empty: any will do
}

// Range is of statuses, both ends included.
type Range struct{ From, To int }

func (h *HTTP) Probe(ctx context.Context, t Target) (health.Word, error) {
	addr, err := t.at(h.Port)
	if err != nil {
		return health.Silent, err
	}
	req, err := http.NewRequestWithContext(ctx, h.Method, "http://"+addr+h.Path, nil)
	if err != nil {
		return health.Silent, err
	}
	req.Host = h.Host
	req.Header.Set("User-Agent", "portstall-check")
	transport := &http.Transport{DialContext: t.Dial, DisableKeepAlives: true, DisableCompression: true, MaxResponseHeaderBytes: 16 << 10}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return health.Silent, err
	}
	defer resp.Body.Close()
	in := false
	for _, r := range h.Statuses {
		in = in || r.From <= resp.StatusCode && resp.StatusCode <= r.To
	}
	if !in {
		return down("status %d", resp.StatusCode), nil
	}
	if h.Body == "" {
		return up, nil
	}
	text, err := io.ReadAll(io.LimitReader(resp.Body, bodyMost))
	if err != nil {
		return health.Silent, fmt.Errorf("reading the answer: %w", err)
	}
	if !strings.Contains(string(text), h.Body) {
		return down("the answer lacks %.60q", h.Body), nil
	}
	return up, nil
}

func (h *HTTP) Close() {}
