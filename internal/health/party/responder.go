// Package party is the health responder of a node: it replies to HAProxy's agent-check, to HTTP checks and to the gRPC
// health protocol, each on its own listener. Replies use a status that is polled in the background, so that none waits
// for the node.
package party

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/net/netutil"
	"google.golang.org/grpc"
	grpchealth "google.golang.org/grpc/health"
	healthpb "google.golang.org/grpc/health/grpc_health_v1"
	"google.golang.org/grpc/keepalive"

	"portstall/internal/flow"
)

// State is what the node does with new requests.
type State uint8

const (
	Serving  State = iota
	Draining       // takes no new ones, by an operator's order or because it stops
	Down           // can't serve any
)

// Status is the state of the node and its free capacity.
type Status struct {
	State    State
	Headroom float64 // free share of the node's capacity, from 0 to 1
	Reason   string  // of Down, and of a headroom under 1
}

const (
	pollInterval     = 100 * time.Millisecond // of the node's status
	maxStatusAge     = time.Second            // an older status means that the node hangs: it is reported down
	exchangeTimeout  = time.Second            // limit on one agent-check or HTTP exchange, and on setting up a gRPC connection
	maxConnections   = 128                    // concurrent connections of each listener
	degradedHeadroom = 0.2                    // a headroom below this is reported as degraded
	maxGRPCIdle      = 5 * time.Minute        // a gRPC connection without calls is closed after this time
)

// Options are the settings of a Responder.
type Options struct {
	Agent, HTTP, GRPC string   // listening addresses, host:port; empty: no listener
	Services          []string // names that are served over gRPC beside the empty one
	// CurrentStatus returns the node's status. It may block for as long as the node hangs.
	CurrentStatus func() Status
	Log           *slog.Logger
}

// Responder owns the listeners and their goroutines. Close ends them.
type Responder struct {
	currentStatus func() Status
	log           *slog.Logger
	lastStatus    atomic.Pointer[timedStatus]
	grpcHealth    *grpchealth.Server
	serviceNames  []string
	closers       []func()
	done          chan struct{}
	wg            sync.WaitGroup
}

// timedStatus is a status and when it was polled.
type timedStatus struct {
	Status
	at time.Time
}

// Listen polls the node's status once, opens the listeners and starts polling in the background. An error names the setting
// of the listener that failed.
func Listen(ctx context.Context, o Options) (*Responder, error) {
	p := &Responder{currentStatus: o.CurrentStatus, log: o.Log, done: make(chan struct{}), serviceNames: append([]string{""}, o.Services...)}
	p.refresh()
	for _, l := range []struct {
		name, addr string
		serve      func(net.Listener)
	}{{"agent", o.Agent, p.serveAgent}, {"http", o.HTTP, p.serveHTTP}, {"grpc", o.GRPC, p.serveGRPC}} {
		if l.addr == "" {
			continue
		}
		ln, err := (&net.ListenConfig{}).Listen(ctx, "tcp", l.addr)
		if err != nil {
			p.Close()
			return nil, fmt.Errorf("health.answer.%s: %w", l.name, err)
		}
		l.serve(ln)
	}
	p.wg.Add(1)
	go func() {
		defer p.wg.Done()
		tick := time.NewTicker(pollInterval)
		defer tick.Stop()
		for {
			select {
			case <-tick.C:
				p.refresh()
			case <-p.done:
				return
			}
		}
	}()
	return p, nil
}

// Close closes the listeners and their connections, and waits for their goroutines.
func (p *Responder) Close() {
	close(p.done)
	for _, closeListener := range p.closers {
		closeListener()
	}
	p.wg.Wait()
}

// refresh polls the node's status and passes it on to gRPC's watchers. It may block while the node hangs; no reply waits
// for it.
func (p *Responder) refresh() {
	s := &timedStatus{p.currentStatus(), time.Now()}
	p.lastStatus.Store(s)
	if p.grpcHealth != nil {
		p.setGRPCStatus(s.Status)
	}
}

// setGRPCStatus sets the status of all gRPC services.
func (p *Responder) setGRPCStatus(s Status) {
	status := healthpb.HealthCheckResponse_SERVING
	if s.State != Serving {
		status = healthpb.HealthCheckResponse_NOT_SERVING
	}
	for _, name := range p.serviceNames {
		p.grpcHealth.SetServingStatus(name, status)
	}
}

// Status returns the status that replies report now: down if the node has not returned one for maxStatusAge.
func (p *Responder) Status() Status {
	s := p.lastStatus.Load()
	if time.Since(s.at) > maxStatusAge {
		return Status{State: Down, Reason: "the node does not answer"}
	}
	return s.Status
}

// AgentLine returns the reply to HAProxy's agent-check (configuration manual, "agent-check"). Each reply states everything,
// since what is left out keeps its earlier value: up and ready end an earlier down and drain. The weight is at least 1%
// while the node serves.
func (s Status) AgentLine() string {
	switch s.State {
	case Draining:
		return "up drain 0%\n"
	case Down:
		return "down #" + strings.Map(replaceUnprintable, s.Reason) + "\n"
	}
	return fmt.Sprintf("up ready %d%%\n", max(1, int(s.Headroom*100+0.5)))
}

// replaceUnprintable replaces characters that would end the reply's line or are not ASCII text.
func replaceUnprintable(r rune) rune {
	if r < ' ' || r > '~' {
		return '?'
	}
	return r
}

// serveAgent replies to agent-checks on a listener.
func (p *Responder) serveAgent(ln net.Listener) {
	p.closers = append(p.closers, func() { ln.Close() })
	p.wg.Go(func() {
		flow.Serve(ln, maxConnections, p.respondToAgent, func(err error) { p.log.Warn("agent-check: accept failed", "err", err) })
	})
}

// respondToAgent replies to one agent-check.
func (p *Responder) respondToAgent(conn net.Conn) {
	conn.SetDeadline(time.Now().Add(exchangeTimeout))
	if _, err := io.WriteString(conn, p.Status().AgentLine()); err != nil {
		return
	}
	// What the checker sends is read, as closing with unread input would reset the connection and lose the reply. The limit
	// is more than any checker sends.
	if c, ok := conn.(*net.TCPConn); ok {
		c.CloseWrite()
	}
	io.Copy(io.Discard, io.LimitReader(conn, 4096))
}

// healthBody is the body of responses to HTTP checks, after the IETF draft "Health Check Response Format for HTTP APIs".
type healthBody struct {
	Status string `json:"status"` // pass, warn or fail
	Output string `json:"output,omitempty"`
	Weight int    `json:"weight"` // per cent
}

// httpResponse returns the body and the status code of a response to an HTTP check and sets its headers. A degraded node is
// up and says so to Envoy by a header of Envoy's own; another header makes Envoy stop using a draining node at once.
func (s Status) httpResponse(h http.Header) (healthBody, int) {
	h.Set("Content-Type", "application/health+json")
	h.Set("Cache-Control", "no-store")
	body := healthBody{Status: "pass", Output: s.Reason, Weight: int(s.Headroom*100 + 0.5)}
	switch {
	case s.State == Draining:
		h.Set("X-Envoy-Immediate-Health-Check-Fail", "true")
		return healthBody{Status: "fail", Output: "draining"}, http.StatusServiceUnavailable
	case s.State == Down:
		body.Status, body.Weight = "fail", 0
		return body, http.StatusServiceUnavailable
	case s.Headroom < degradedHeadroom:
		h.Set("X-Envoy-Degraded", "true")
		body.Status = "warn"
	}
	return body, http.StatusOK
}

// serveHTTP replies to HTTP checks on a listener.
func (p *Responder) serveHTTP(ln net.Listener) {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /live", func(w http.ResponseWriter, r *http.Request) { io.WriteString(w, "ok\n") })
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, r *http.Request) {
		body, code := p.Status().httpResponse(w.Header())
		w.WriteHeader(code)
		json.NewEncoder(w).Encode(body)
	})
	s := &http.Server{Handler: mux, ReadTimeout: exchangeTimeout, WriteTimeout: exchangeTimeout, IdleTimeout: time.Minute, MaxHeaderBytes: 8 << 10,
		ErrorLog: slog.NewLogLogger(p.log.Handler(), slog.LevelDebug)}
	p.closers = append(p.closers, func() { s.Close() })
	p.wg.Add(1)
	go func() {
		defer p.wg.Done()
		s.Serve(netutil.LimitListener(ln, maxConnections))
	}()
}

// serveGRPC serves the gRPC health protocol on a listener.
func (p *Responder) serveGRPC(ln net.Listener) {
	p.grpcHealth = grpchealth.NewServer()
	p.setGRPCStatus(p.lastStatus.Load().Status)
	s := grpc.NewServer(grpc.MaxConcurrentStreams(64), grpc.MaxRecvMsgSize(4096), grpc.MaxHeaderListSize(8<<10), grpc.ConnectionTimeout(exchangeTimeout),
		grpc.KeepaliveParams(keepalive.ServerParameters{MaxConnectionIdle: maxGRPCIdle}))
	healthpb.RegisterHealthServer(s, p.grpcHealth)
	p.closers = append(p.closers, func() {
		p.grpcHealth.Shutdown() // watchers are notified before their streams end
		s.Stop()
	})
	p.wg.Add(1)
	go func() {
		defer p.wg.Done()
		s.Serve(netutil.LimitListener(ln, maxConnections))
	}()
}
