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

// restTime is how long a connection rests after an answer: what a backend writes behind one must be there before
// the next request goes out, or it would pass for that request's answer.
const restTime = 3 * time.Millisecond

// A second copy may also come some milliseconds later, and the next request may be on its way by then. Where surplus was seen
// within surplusFor, from whichever backend, connections rest for longer than such a copy takes.
const (
	surplusRest = 12 * time.Millisecond
	surplusFor  = time.Minute
)

var ErrSockets = errors.New("no descriptor is left for a connection to a backend")

// OwnTrouble tells whether an error is this machine's, out of descriptors or memory, and tells nothing of the other side.
func OwnTrouble(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) ||
		errors.Is(err, syscall.ENOBUFS) || errors.Is(err, syscall.ENOMEM)
}

// Pool holds this node's connections to backends, within a part of the process's descriptors. Each has one owner at
// a time, and comes back only after an answer that was read whole with nothing behind it.
type Pool struct {
	mu     sync.Mutex
	dialer net.Dialer
	limit  int
	idle   time.Duration // a connection that stood for this long is closed
	open   int
	rest   lists.List // of *Conn: those with no owner, the longest idle first
	seen   time.Time  // when surplus was seen last; zero: never
	now    func() time.Time
	sleep  func(ctx context.Context, d time.Duration)
	sweep  *time.Timer
}

// Dial opens a connection to a web server by way of d, which bounds the time it takes.
type Dial func(ctx context.Context, d *net.Dialer, addr string) (net.Conn, error)

// Direct dials a web server with nothing between.
func Direct(ctx context.Context, d *net.Dialer, addr string) (net.Conn, error) {
	return d.DialContext(ctx, "tcp", addr)
}

// NewPool returns a pool of at most so many connections; Tune says more.
func NewPool(limit int, connect, idle time.Duration) *Pool {
	p := &Pool{limit: limit, now: time.Now, sleep: rest}
	p.Tune(connect, idle)
	return p
}

// Tune sets how long a connection may take to come up, and when backends close one that stands idle.
func (p *Pool) Tune(connect, idle time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dialer = net.Dialer{Timeout: connect, KeepAlive: -1}
	// A request written to a connection that the backend has just closed ends as a reset: retire it before.
	p.idle = idle * 9 / 10
}

// Resize sets how many connections there may be, and closes those with no owner that are too many.
func (p *Pool) Resize(limit int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit = limit
	for e := p.rest.Front(); e != nil && p.open > limit; e = p.rest.Front() {
		p.discard(e.Value.(*Conn))
	}
}

// Conn is a connection to a web server, with its owner's bounds on what is read.
type Conn struct {
	net.Conn
	Stall   time.Duration    // longest wait for further bytes; 0 for none. Its owner's,
	Drained bool             // as is that the last read took all that had come
	Cap     io.LimitedReader // between the socket and in: no answer goes on without end
	In      *bufio.Reader
	server  *Server
	since   time.Time      // when it came to rest,
	place   *lists.Element // and where; nil while it has an owner. Guarded by Pool.mu
}

// pacedReader bounds each wait for bytes of an answer.
type pacedReader struct{ c *Conn }

func (r pacedReader) Read(p []byte) (int, error) {
	if r.c.Stall > 0 {
		if err := r.c.SetReadDeadline(time.Now().Add(r.c.Stall)); err != nil {
			return 0, err
		}
	}
	n, err := r.c.Conn.Read(p)
	r.c.Drained = n < len(p)
	return n, err
}

// Get returns a connection to b that nothing waits on, or opens one. Whoever has it hands it to Put or Close.
func (p *Pool) Get(ctx context.Context, b *Server) (*Conn, error) {
	for {
		c, wait := p.take(b)
		if c == nil {
			return p.Open(ctx, b)
		}
		if wait > 0 {
			p.sleep(ctx, wait)
		}
		switch flow.Pending(c.Conn) {
		case flow.Nothing:
			return c, nil
		case flow.BytesThere:
			p.Surplus()
		}
		p.Close(c) // the backend has closed it, or sent what nobody asked for
	}
}

// Surplus notes that a backend sent what belongs to no request.
func (p *Pool) Surplus() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.seen = p.now()
}

// take returns the latest used of b's connections that have rested, else the one that has rested for longest and how long it
// still has to.
func (p *Pool) take(b *Server) (*Conn, time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(b.conns) == 0 {
		return nil, 0
	}
	c, now, owed := b.conns[0], p.now(), restTime
	if !p.seen.IsZero() && now.Sub(p.seen) < surplusFor {
		owed = surplusRest
	}
	for _, o := range slices.Backward(b.conns) {
		if now.Sub(o.since) >= owed {
			c = o
			break
		}
	}
	p.remove(c)
	return c, owed - now.Sub(c.since)
}

// rest waits until a connection has rested, or ctx ends.
func rest(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// Counts tells how many connections there are, and how many of them have no owner.
func (p *Pool) Counts() (open, idle int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open, p.rest.Len()
}

// remove takes a connection out of those with no owner. p.mu is held.
func (p *Pool) remove(c *Conn) {
	p.rest.Remove(c.place)
	c.place = nil
	i := slices.Index(c.server.conns, c)
	c.server.conns = slices.Delete(c.server.conns, i, i+1)
}

// Open opens a connection to b, whether or not others wait. Whoever has it hands it to Put or Close.
func (p *Pool) Open(ctx context.Context, b *Server) (*Conn, error) {
	p.mu.Lock()
	if p.open >= p.limit {
		oldest := p.rest.Front() // to another backend: this one has none
		if oldest == nil {
			p.mu.Unlock()
			return nil, ErrSockets
		}
		p.discard(oldest.Value.(*Conn))
	}
	p.open++
	dialer := p.dialer
	p.mu.Unlock()
	dial := Direct
	if b.Via != nil {
		dial = b.Via
	}
	conn, err := dial(ctx, &dialer, b.Addr)
	if err != nil {
		p.mu.Lock()
		p.open--
		p.mu.Unlock()
		if OwnTrouble(err) {
			err = fmt.Errorf("%w: %w", ErrSockets, err)
		}
		return nil, err
	}
	c := &Conn{Conn: conn, server: b}
	c.Cap.R = pacedReader{c}
	c.In = bufio.NewReader(&c.Cap)
	return c, nil
}

// Put takes a connection back.
func (p *Pool) Put(c *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.server.retired || p.open > p.limit {
		p.open--
		c.Close()
		return
	}
	c.since = p.now()
	c.place = p.rest.PushBack(c)
	c.server.conns = append(c.server.conns, c)
	if p.idle > 0 && p.sweep == nil {
		p.sweep = time.AfterFunc(p.idle, p.expire)
	}
}

// Close ends a connection that its owner has done with.
func (p *Pool) Close(c *Conn) {
	c.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
}

// discard closes a connection with no owner. p.mu is held.
func (p *Pool) discard(c *Conn) {
	p.remove(c)
	p.open--
	c.Close()
}

// expire closes the connections that have stood for too long.
func (p *Pool) expire() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sweep = nil
	for e := p.rest.Front(); e != nil && p.idle > 0; e = p.rest.Front() {
		c := e.Value.(*Conn)
		if left := p.idle - p.now().Sub(c.since); left > 0 {
			p.sweep = time.AfterFunc(left, p.expire)
			return
		}
		p.discard(c)
	}
}

// Clear closes the connections to b that have no owner. With retire those that are in use follow.
func (p *Pool) Clear(b *Server, retire bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	b.retired = b.retired || retire
	for len(b.conns) > 0 {
		p.discard(b.conns[0])
	}
}

// Stop closes all that have no owner, and ends the sweep.
func (p *Pool) Stop() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for e := p.rest.Front(); e != nil; e = p.rest.Front() {
		p.discard(e.Value.(*Conn))
	}
	if p.sweep != nil {
		p.sweep.Stop()
	}
}
