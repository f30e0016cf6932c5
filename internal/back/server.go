// Package back is what all ways to web servers share, whatever is spoken there: the servers, the gates that each send
// passes, and the connections kept to them.
package back

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"portstall/internal/flow"
)

// Gate is what each send to one web server passes with its first bytes. It belongs to the id: a web server that
// restarts, or moves to another address, stays behind the same one. Safe for concurrent use.
type Gate struct {
	mu   sync.RWMutex
	shut bool
}

// NewGate returns a gate.
func NewGate(shut bool) *Gate { return &Gate{shut: shut} }

// Set opens or shuts the gate. Once it has returned from shutting it, no send that began before is still to come.
func (g *Gate) Set(shut bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.shut = shut
}

// Shut tells whether it is.
func (g *Gate) Shut() bool {
	g.mu.RLock()
	defer g.mu.RUnlock()
	return g.shut
}

// Server is one process behind the balancer.
type Server struct {
	ID    string
	Addr  string
	Via   Dial                 // how it is reached; nil: directly
	Gate  *Gate                // shut while operators have it out
	Stop  atomic.Int64         // nanoseconds on Now from which nothing new may be written to it; 0 for none
	Heard atomic.Int64         // attempts that something came back for
	Now   func() time.Duration // a clock that does not step when the system's is set; nil: the system's

	// Guarded by Pool.mu.
	conns   []*Conn // those with no owner, the latest last
	retired bool    // no connection is kept any more
}

// ErrShut says that a server was drained or taken out while a send to it waited for a connection.
var ErrShut = errors.New("nothing new may be sent to this backend")

// ErrLeft says that nobody waits any more for what was to be sent.
var ErrLeft = errors.New("the client of this request has left")

// FirstBytes is how much of a request is written behind the gate at most. An idle connection's buffer takes it at
// once, so that whoever shuts the gate does not wait for the server; and by its first byte a send counts.
const FirstBytes = 16 << 10

// Pass runs first unless nothing new may be sent to the server: then it is ErrShut. First must not wait for the server.
func (s *Server) Pass(first func() error) error {
	s.Gate.mu.RLock()
	defer s.Gate.mu.RUnlock()
	if stop := s.Stop.Load(); s.Gate.shut || stop != 0 && s.now() >= time.Duration(stop) {
		return ErrShut
	}
	return first()
}

func (s *Server) now() time.Duration {
	if s.Now == nil {
		return time.Duration(time.Now().UnixNano())
	}
	return s.Now()
}

// Gated is the way to a server for one send. Its first bytes pass the gate, and are not written where that is shut or nobody
// wants them any more: then the send is ErrShut or ErrLeft, and surely never ran.
type Gated struct {
	flow.Paced
	server *Server
	wanted func() bool
	open   bool
}

// NewGated returns the way to a server over a connection. Wanted is asked once, before the first byte, and must not wait.
func NewGated(conn net.Conn, s *Server, wanted func() bool) *Gated {
	return &Gated{Paced: flow.Paced{Conn: conn, Stall: flow.WriteStall}, server: s, wanted: wanted}
}

func (g *Gated) Write(p []byte) (int, error) {
	if g.open {
		return g.Paced.Write(p)
	}
	first, n := p[:min(len(p), FirstBytes)], 0
	err := g.server.Pass(func() (err error) {
		if !g.wanted() {
			return ErrLeft
		}
		g.open = true
		n, err = g.Paced.Write(first)
		return err
	})
	if err != nil || len(first) == len(p) {
		return n, err
	}
	m, err := g.Paced.Write(p[n:])
	return n + m, err
}
