// Package back has what all protocols towards web servers share: the servers, the gates that each send passes, and the
// pool of connections.
package back

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"portstall/internal/flow"
)

// Gate admits or blocks the first bytes of each send to one web server. It belongs to the server's id: a web server
// that restarts or moves to another address keeps its gate. Safe for concurrent use.
type Gate struct {
	mu     sync.RWMutex // held for reading while first bytes are written
	closed bool
}

// NewGate returns a gate that is closed or open.
func NewGate(closed bool) *Gate { return &Gate{closed: closed} }

// SetClosed closes or opens the gate. Once it has returned from closing the gate, no send that began earlier can still
// write its first bytes.
func (g *Gate) SetClosed(closed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = closed
}

// Closed reports whether the gate is closed.
func (g *Gate) Closed() bool {
	g.mu.RLock()
	defer g.mu.RUnlock()
	return g.closed
}

// Server is one process of a web server.
type Server struct {
	ID        string
	Addr      string
	Dial      Dial                 // opens connections to it; nil: DialDirect
	Gate      *Gate                // closed while the server is disabled by an operator
	StopAt    atomic.Int64         // end of a drain's grace period: from then no send may begin; in ns on Now, 0: none
	Responses atomic.Int64         // attempts on which a response, if only a malformed one, was received
	Now       func() time.Duration // a clock that does not step when the system clock is set; nil: the system clock

	// Guarded by Pool.mu.
	idleConns []*Conn // without an owner, the most recently used last
	retired   bool    // connections that are returned to the pool are closed
}

// ErrNoNewRequests reports that a server was drained or disabled while a send to it waited for a connection.
var ErrNoNewRequests = errors.New("web server accepts no new requests: draining or disabled by an operator")

// ErrClientGone reports that the client disconnected before the first byte of its request was sent to a server.
var ErrClientGone = errors.New("client disconnected before its request was sent")

// MaxFirstWrite is the maximum number of bytes of a request that are written while the gate is held. They fit into the
// socket buffer of an idle connection, so that closing the gate does not wait for the server. A send counts as begun
// with its first byte.
const MaxFirstWrite = 16 << 10

// Pass runs first while the gate is held open, or returns ErrNoNewRequests if the gate is closed or the drain's grace
// period has ended. The function must not wait for the server.
func (s *Server) Pass(first func() error) error {
	s.Gate.mu.RLock()
	defer s.Gate.mu.RUnlock()
	if stop := s.StopAt.Load(); s.Gate.closed || stop != 0 && s.clock() >= time.Duration(stop) {
		return ErrNoNewRequests
	}
	return first()
}

func (s *Server) clock() time.Duration {
	if s.Now == nil {
		return time.Duration(time.Now().UnixNano())
	}
	return s.Now()
}

// GatedConn is a connection to a server for one send. The first bytes pass the gate. They are not written if the gate
// is closed or the request is no longer wanted: then the send fails with ErrNoNewRequests or ErrClientGone, and
// certainly never ran.
type GatedConn struct {
	flow.WriteTimeoutConn
	server      *Server
	stillWanted func() bool
	passed      bool // the first bytes have passed the gate
}

// NewGatedConn returns a GatedConn over conn. The function wanted is called once, before the first byte, and must not
// wait.
func NewGatedConn(conn net.Conn, s *Server, wanted func() bool) *GatedConn {
	return &GatedConn{WriteTimeoutConn: flow.WriteTimeoutConn{Conn: conn, Timeout: flow.WriteStallTimeout}, server: s, stillWanted: wanted}
}

func (g *GatedConn) Write(p []byte) (int, error) {
	if g.passed {
		return g.WriteTimeoutConn.Write(p)
	}
	first, n := p[:min(len(p), MaxFirstWrite)], 0
	err := g.server.Pass(func() (err error) {
		if !g.stillWanted() {
			return ErrClientGone
		}
		g.passed = true
		n, err = g.WriteTimeoutConn.Write(first)
		return err
	})
	if err != nil || len(first) == len(p) {
		return n, err
	}
	m, err := g.WriteTimeoutConn.Write(p[n:])
	return n + m, err
}
