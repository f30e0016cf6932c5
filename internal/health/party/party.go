// Package party answers for this node where others check it: HAProxy's agent-check, HTTP checks and the gRPC health
// protocol, each on a listener of its own. What it says was looked at shortly before, so that no answer waits for the node.
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
	Draining       // operators, or its end, want no more of them here
	Down           // it can serve none
)

// Status is how the node stands.
type Status struct {
	State    State
	Headroom float64 // part of what it can do that is left, from 0 to 1
	Reason   string  // of Down, and of a headroom under 1
}

const (
	lookEach = 100 * time.Millisecond
	stale    = time.Second     // a look that is older tells that the node hangs
	answerIn = time.Second     // an exchange takes no longer
	connMost = 128             // checkers' connections at a time, of each listener
	degraded = 0.2             // less headroom than this is told as degraded
	idleMost = 5 * time.Minute // a gRPC connection without a call is closed
)

// Options are the listeners' addresses, empty for those that are not wanted, and what they say.
type Options struct {
	Agent, HTTP, GRPC string
	Services          []string // that are asked for by name over gRPC
	Look              func() Status
	Log               *slog.Logger
}

// Party is the listeners. Close ends them.
type Party struct {
	look   func() Status
	log    *slog.Logger
	last   atomic.Pointer[seen]
	health *grpchealth.Server
	names  []string
	closes []func()
	done   chan struct{}
	wg     sync.WaitGroup
}

type seen struct {
	Status
	at time.Time
}

// Listen opens the listeners and begins to look. An error names the field at fault.
func Listen(ctx context.Context, o Options) (*Party, error) {
	p := &Party{look: o.Look, log: o.Log, done: make(chan struct{}), names: append([]string{""}, o.Services...)}
	p.see()
	for _, l := range []struct {
		name, addr string
		serve      func(net.Listener)
	}{{"agent", o.Agent, p.agent}, {"http", o.HTTP, p.http}, {"grpc", o.GRPC, p.grpc}} {
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
		tick := time.NewTicker(lookEach)
		defer tick.Stop()
		for {
			select {
			case <-tick.C:
				p.see()
			case <-p.done:
				return
			}
		}
	}()
	return p, nil
}

// Close ends the listeners and what is open on them.
func (p *Party) Close() {
	close(p.done)
	for _, f := range p.closes {
		f()
	}
	p.wg.Wait()
}

// see looks at the node, and tells the gRPC watchers. It may wait for the node; nobody waits for it.
func (p *Party) see() {
	s := &seen{p.look(), time.Now()}
	p.last.Store(s)
	if p.health != nil {
		p.tell(s.Status)
	}
}

func (p *Party) tell(s Status) {
	status := healthpb.HealthCheckResponse_SERVING
	if s.State != Serving {
		status = healthpb.HealthCheckResponse_NOT_SERVING
	}
	for _, name := range p.names {
		p.health.SetServingStatus(name, status)
	}
}

// Status is what is said now.
func (p *Party) Status() Status {
	s := p.last.Load()
	if time.Since(s.at) > stale {
		return Status{State: Down, Reason: "the node does not answer"}
	}
	return s.Status
}

// Word is what HAProxy's agent-check is told (configuration manual, "agent-check"). Each answer says all, since what is
// left out stays as it was: a node that says up and ready again takes back its drain and its down. The weight is never
// quite 0 while it serves.
func (s Status) Word() string {
	switch s.State {
	case Draining:
		return "up drain 0%\n"
	case Down:
		return "down #" + strings.Map(printable, s.Reason) + "\n"
	}
	return fmt.Sprintf("up ready %d%%\n", max(1, int(s.Headroom*100+0.5)))
}

// printable keeps a reason on its line.
func printable(r rune) rune {
	if r < ' ' || r > '~' {
		return '?'
	}
	return r
}

func (p *Party) agent(ln net.Listener) {
	p.closes = append(p.closes, func() { ln.Close() })
	p.wg.Go(func() {
		flow.Serve(ln, connMost, p.say, func(err error) { p.log.Warn("agent-check: accepting failed", "err", err) })
	})
}

// say answers one agent-check.
func (p *Party) say(conn net.Conn) {
	conn.SetDeadline(time.Now().Add(answerIn))
	if _, err := io.WriteString(conn, p.Status().Word()); err != nil {
		return
	}
	// What the checker may send is read, or closing would cut the answer off; and no more than it may mean.
	if c, ok := conn.(*net.TCPConn); ok {
		c.CloseWrite()
	}
	io.Copy(io.Discard, io.LimitReader(conn, 4096))
}

// page is what an HTTP check is answered, after the IETF draft "Health Check Response Format for HTTP APIs".
type page struct {
	Status string `json:"status"` // pass, warn or fail
	Output string `json:"output,omitempty"`
	Weight int    `json:"weight"` // per cent
}

// answer is the page and its status code. A degraded node is up: Envoy reads that of a header of its own, and of another
// that it is to leave the node at once.
func (s Status) answer(h http.Header) (page, int) {
	h.Set("Content-Type", "application/health+json")
	h.Set("Cache-Control", "no-store")
	pg := page{Status: "pass", Output: s.Reason, Weight: int(s.Headroom*100 + 0.5)}
	switch {
	case s.State == Draining:
		h.Set("X-Envoy-Immediate-Health-Check-Fail", "true")
		return page{Status: "fail", Output: "draining"}, http.StatusServiceUnavailable
	case s.State == Down:
		pg.Status, pg.Weight = "fail", 0
		return pg, http.StatusServiceUnavailable
	case s.Headroom < degraded:
		h.Set("X-Envoy-Degraded", "true")
		pg.Status = "warn"
	}
	return pg, http.StatusOK
}

func (p *Party) http(ln net.Listener) {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /live", func(w http.ResponseWriter, r *http.Request) { io.WriteString(w, "ok\n") })
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, r *http.Request) {
		pg, code := p.Status().answer(w.Header())
		w.WriteHeader(code)
		json.NewEncoder(w).Encode(pg)
	})
	s := &http.Server{Handler: mux, ReadTimeout: answerIn, WriteTimeout: answerIn, IdleTimeout: time.Minute, MaxHeaderBytes: 8 << 10,
		ErrorLog: slog.NewLogLogger(p.log.Handler(), slog.LevelDebug)}
	p.closes = append(p.closes, func() { s.Close() })
	p.wg.Add(1)
	go func() {
		defer p.wg.Done()
		s.Serve(netutil.LimitListener(ln, connMost))
	}()
}

func (p *Party) grpc(ln net.Listener) {
	p.health = grpchealth.NewServer()
	p.tell(p.last.Load().Status)
	s := grpc.NewServer(grpc.MaxConcurrentStreams(64), grpc.MaxRecvMsgSize(4096), grpc.MaxHeaderListSize(8<<10), grpc.ConnectionTimeout(answerIn),
		grpc.KeepaliveParams(keepalive.ServerParameters{MaxConnectionIdle: idleMost}))
	healthpb.RegisterHealthServer(s, p.health)
	p.closes = append(p.closes, func() {
		p.health.Shutdown() // watchers hear of it before their streams end
		s.Stop()
	})
	p.wg.Add(1)
	go func() {
		defer p.wg.Done()
		s.Serve(netutil.LimitListener(ln, connMost))
	}()
}
