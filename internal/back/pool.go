package back

import (
	"bufio"
	lists "container/list"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"portstall/internal/flow"
)

// reuseDelay is how long a connection stays idle after a response before it is used again. Most surplus bytes that a web
// server writes after a response have arrived by then, and cost a connection in place of an attempt.
const reuseDelay = 3 * time.Millisecond

const (
	// surplusReuseDelay replaces reuseDelay while surplus has been seen recently: it may arrive some milliseconds late.
	// What arrives later still is left to the reader of the next response.
	surplusReuseDelay = 12 * time.Millisecond
	// surplusWindow is how long surplus from any web server keeps surplusReuseDelay in force for all connections.
	surplusWindow = time.Minute
)

// maxUnsent is how many bytes of a request the kernel holds that were not sent to the web server: with more, a server that
// reads slowly but steadily looks as though it had stopped, and a client has sent all long before its server has it.
const maxUnsent = 128 << 10

// ErrNoSockets reports that a connection could not be opened because this process or machine has no descriptor or
// memory left.
var ErrNoSockets = errors.New("no file descriptor left for a connection to a web server")

// OutOfResources reports whether err comes from this machine, out of descriptors or memory, and says nothing about the
// other side.
func OutOfResources(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) ||
		errors.Is(err, syscall.ENOBUFS) || errors.Is(err, syscall.ENOMEM)
}

// Pool holds this node's connections to web servers, within a share of the process's descriptors. Each connection has
// at most one owner at a time and is returned to the pool only after a complete response with no bytes after it.
// Connections without an owner are idle. A Pool is safe for concurrent use; mu guards its fields and the idle
// connections of each Server.
type Pool struct {
	mu          sync.Mutex
	dialer      net.Dialer
	limit       int
	idleTimeout time.Duration // an idle connection is closed after this time; 0: never
	openConns   int
	lastNumber  uint64     // number of the connection that was opened last
	idleConns   lists.List // of *Conn, the longest idle first
	lastSurplus time.Time  // when surplus was last seen; zero: never
	now         func() time.Time
	sleep       func(ctx context.Context, d time.Duration)
	sweepTimer  *time.Timer
}

// Dial opens a connection to a web server using d, which limits the time that it takes.
type Dial func(ctx context.Context, d *net.Dialer, addr string) (net.Conn, error)

// DialDirect connects to a web server without a proxy.
func DialDirect(ctx context.Context, d *net.Dialer, addr string) (net.Conn, error) {
	return d.DialContext(ctx, "tcp", addr)
}

// NewPool returns a pool of at most limit connections. For connect and idle see SetTimeouts.
func NewPool(limit int, connect, idle time.Duration) *Pool {
	p := &Pool{limit: limit, now: time.Now, sleep: sleepContext}
	p.SetTimeouts(connect, idle)
	return p
}

// SetTimeouts sets how long establishing a connection may take, and after which idle time web servers close one.
func (p *Pool) SetTimeouts(connect, idle time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dialer = net.Dialer{Timeout: connect, KeepAlive: -1}
	// A request written to a connection that the web server has just closed ends with a reset, so close idle ones
	// earlier.
	p.idleTimeout = idle * 9 / 10
}

// Resize sets the maximum number of connections and closes idle ones beyond it.
func (p *Pool) Resize(limit int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit = limit
	for e := p.idleConns.Front(); e != nil && p.openConns > limit; e = p.idleConns.Front() {
		p.discardIdle(e.Value.(*Conn))
	}
}

// Digest identifies the content of a response.
type Digest uint64

// Conn is a connection to a web server, with its owner's limits on reading. The fields up to waitLeft belong to the owner.
type Conn struct {
	net.Conn
	SocketEmpty bool             // whether the last read took all bytes that had arrived
	Limit       io.LimitedReader // between the socket and In: limits the length of a response
	In          *bufio.Reader
	Number      uint64 // unique among the connections of a Pool
	// LastResponse is the digest of the latest response on the connection; 0: none.
	LastResponse Digest
	// LastStreamLength is the length that the latest response stated if it was streamed; else 0.
	LastStreamLength int64
	// LastWait is how long the latest response took to begin, from the last byte of its request.
	LastWait    time.Duration
	maxWait     time.Duration // what waitLeft is at most; 0: reads wait without a limit
	waitLeft    time.Duration // how long reads may still wait
	server      *Server
	idleSince   time.Time      // when it became idle. Guarded by Pool.mu
	idleElement *lists.Element // in Pool.idleConns; nil while it has an owner. Guarded by Pool.mu
}

// MinRate is the slowest transfer of a response that does not count as a stall, in bytes per second.
const MinRate = 64_000

// TransferTime returns how long n bytes take at MinRate.
func TransferTime(n int64) time.Duration { return time.Duration(n) * time.Second / MinRate }

// minReadWait is the shortest wait of a read: input that has arrived is read even if no wait is left.
const minReadWait = 10 * time.Millisecond

// LimitWait lets reads wait for limit in all. What arrives extends that by its time at MinRate, up to limit again. A
// limit of 0 means none.
func (c *Conn) LimitWait(limit time.Duration) error {
	c.maxWait, c.waitLeft = limit, limit
	if limit > 0 {
		return nil // each read sets its deadline
	}
	return c.SetReadDeadline(time.Time{})
}

// limitedReader reads from a connection within the limit of LimitWait.
type limitedReader struct{ c *Conn }

func (r limitedReader) Read(p []byte) (int, error) {
	if r.c.maxWait == 0 {
		return r.read(p)
	}
	begun := time.Now()
	if err := r.c.SetReadDeadline(begun.Add(max(minReadWait, r.c.waitLeft))); err != nil {
		return 0, err
	}
	n, err := r.read(p)
	r.c.waitLeft = min(r.c.maxWait, r.c.waitLeft-time.Since(begun)+TransferTime(int64(n)))
	return n, err
}

func (r limitedReader) read(p []byte) (int, error) {
	n, err := r.c.Conn.Read(p)
	r.c.SocketEmpty = n < len(p)
	return n, err
}

// Get returns an idle connection to s on which no input is pending, or opens a new one. It waits until the connection's
// reuse delay has passed. The caller owns the connection until it calls Put or Close.
func (p *Pool) Get(ctx context.Context, s *Server) (*Conn, error) {
	for {
		c, wait := p.takeIdle(s)
		if c == nil {
			return p.Open(ctx, s)
		}
		if wait > 0 {
			p.sleep(ctx, wait)
		}
		switch flow.PeekInput(c.Conn) {
		case flow.NoInput:
			return c, nil
		case flow.InputAvailable:
			p.ReportSurplus()
		}
		p.Close(c) // closed by the web server, or it sent bytes that belong to no request
	}
}

// ReportSurplus records that a web server sent bytes that belong to no request.
func (p *Pool) ReportSurplus() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastSurplus = p.now()
}

// takeIdle returns the most recently used of s's idle connections whose reuse delay has passed; if there is none, the
// one that has been idle the longest, and how much of its delay is left. Without an idle connection it returns nil.
func (p *Pool) takeIdle(s *Server) (*Conn, time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(s.idleConns) == 0 {
		return nil, 0
	}
	c, now, delay := s.idleConns[0], p.now(), reuseDelay
	if !p.lastSurplus.IsZero() && now.Sub(p.lastSurplus) < surplusWindow {
		delay = surplusReuseDelay
	}
	for _, other := range slices.Backward(s.idleConns) {
		if now.Sub(other.idleSince) >= delay {
			c = other
			break
		}
	}
	p.removeIdle(c)
	return c, delay - now.Sub(c.idleSince)
}

// sleepContext waits for d, or until ctx ends.
func sleepContext(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// Counts returns how many connections are open, and how many of these are idle.
func (p *Pool) Counts() (open, idle int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.openConns, p.idleConns.Len()
}

// removeIdle takes a connection out of the idle ones. The caller holds p.mu.
func (p *Pool) removeIdle(c *Conn) {
	p.idleConns.Remove(c.idleElement)
	c.idleElement = nil
	i := slices.Index(c.server.idleConns, c)
	c.server.idleConns = slices.Delete(c.server.idleConns, i, i+1)
}

// Open opens a new connection to s even if idle ones exist. At the limit it first closes the connection that has been
// idle the longest; ErrNoSockets if there is none. The caller owns the connection until it calls Put or Close.
func (p *Pool) Open(ctx context.Context, s *Server) (*Conn, error) {
	p.mu.Lock()
	if p.openConns >= p.limit {
		oldest := p.idleConns.Front() // for Get it belongs to another web server: this one has none
		if oldest == nil {
			p.mu.Unlock()
			return nil, ErrNoSockets
		}
		p.discardIdle(oldest.Value.(*Conn))
	}
	p.openConns++
	p.lastNumber++
	number, dialer := p.lastNumber, p.dialer
	p.mu.Unlock()
	dial := DialDirect
	if s.Dial != nil {
		dial = s.Dial
	}
	conn, err := dial(ctx, &dialer, s.Addr)
	if err != nil {
		p.mu.Lock()
		p.openConns--
		p.mu.Unlock()
		if OutOfResources(err) {
			err = fmt.Errorf("%w: %w", ErrNoSockets, err)
		}
		return nil, err
	}
	flow.LimitUnsent(conn, maxUnsent)
	c := &Conn{Conn: conn, Number: number, server: s}
	c.Limit.R = limitedReader{c}
	c.In = bufio.NewReader(&c.Limit)
	return c, nil
}

// Put returns a connection to the pool, which closes it if the server is retired or there are too many.
func (p *Pool) Put(c *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.server.retired || p.openConns > p.limit {
		p.openConns--
		c.Close()
		return
	}
	c.idleSince = p.now()
	c.idleElement = p.idleConns.PushBack(c)
	c.server.idleConns = append(c.server.idleConns, c)
	if p.idleTimeout > 0 && p.sweepTimer == nil {
		p.sweepTimer = time.AfterFunc(p.idleTimeout, p.closeExpired)
	}
}

// Close closes a connection that its owner no longer needs and does not return with Put.
func (p *Pool) Close(c *Conn) {
	c.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.openConns--
}

// discardIdle closes an idle connection. The caller holds p.mu.
func (p *Pool) discardIdle(c *Conn) {
	p.removeIdle(c)
	p.openConns--
	c.Close()
}

// closeExpired closes the connections that have been idle for idleTimeout, and sets the timer for the next one.
func (p *Pool) closeExpired() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sweepTimer = nil
	for e := p.idleConns.Front(); e != nil && p.idleTimeout > 0; e = p.idleConns.Front() {
		c := e.Value.(*Conn)
		if left := p.idleTimeout - p.now().Sub(c.idleSince); left > 0 {
			p.sweepTimer = time.AfterFunc(left, p.closeExpired)
			return
		}
		p.discardIdle(c)
	}
}

// CloseIdle closes the idle connections to s. With retire, those in use are closed too once they are returned.
func (p *Pool) CloseIdle(s *Server, retire bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s.retired = s.retired || retire
	for len(s.idleConns) > 0 {
		p.discardIdle(s.idleConns[0])
	}
}

// Stop closes all idle connections and stops the timer that closes expired ones.
func (p *Pool) Stop() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for e := p.idleConns.Front(); e != nil; e = p.idleConns.Front() {
		p.discardIdle(e.Value.(*Conn))
	}
	if p.sweepTimer != nil {
		p.sweepTimer.Stop()
	}
}
