package tunnel

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"portstall/internal/back"
	"portstall/internal/core"
	"portstall/internal/flow"
	"portstall/internal/message"
	"portstall/policy"
)

// Cause is why an opaque tunnel ended.
type Cause string

const (
	Done     Cause = "done"     // both sides have
	Unused   Cause = "unused"   // its client was gone before it stood
	Client   Cause = "client"   // the client's connection broke
	Server   Cause = "server"   // the server's did
	Idle     Cause = "idle"     // the limits:
	Total    Cause = "total"    //
	Stall    Cause = "stall"    //
	Draining Cause = "draining" // its server's drain or the node's
	Closing  Cause = "closing"  // the node ended
)

// chunk is passed on at most before it is looked at again whether the tunnel may go on. A reader that takes less in the
// idle limit counts as one that takes nothing.
const chunk = 256 << 10

// PipesMost is how many copies between two sockets go by a pipe of the kernel's (splice) at a time, over all tunnels. A pipe is two
// descriptors for as long as the other side takes, and nobody counts who reads slowly; past it a copy goes by a buffer.
const PipesMost = 16

// Back opens opaque tunnels and knows those that stand. It is safe for concurrent use.
type Back struct {
	Core *core.Core
	Pool *back.Pool
	Away func() bool // whether the node drains, or leaves

	pipes chan struct{} // holds one for each pipe in use

	mu    sync.Mutex
	open  map[*Tunnel]struct{}
	ended map[Cause]uint64
	bytes uint64 // of tunnels that have ended, both ways
}

// New returns a back with no tunnels.
func New(c *core.Core, p *back.Pool, away func() bool) *Back {
	return &Back{Core: c, Pool: p, Away: away, pipes: make(chan struct{}, PipesMost), open: map[*Tunnel]struct{}{}, ended: map[Cause]uint64{}}
}

// Tunnel is a message.Tunnel: a connection to a server for one client.
type Tunnel struct {
	back    *Back
	request *core.Request
	stream  *message.Stream
	server  *back.Server
	conn    *back.Conn
	opened  time.Time
	over    chan struct{} // closed once the tunnel has ended

	mu     sync.Mutex
	client net.Conn    // nil until it relays
	timer  *time.Timer // when the next limit may be reached
	drains time.Time   // when it is to have ended for a drain; zero: there is none
	up     time.Time   // when the latest of the client's bytes that were passed on had come,
	down   time.Time   // and of the server's
	passed uint64      // bytes
	halves int         // directions that have ended
	cause  Cause       // empty while it stands
}

// Attempt connects to the server, makes that the request's final answer, and returns when the tunnel has ended. An attempt
// that fails has written nothing: it never ran.
func (b *Back) Attempt(ctx context.Context, a *core.Attempt) core.Result {
	opening, cancel := context.WithTimeout(ctx, a.Wait)
	defer cancel()
	server := a.Server.(*back.Server)
	if !a.Wanted() { // the connection itself is what a server sees of an attempt
		return core.Result{Outcome: policy.Moot}
	}
	conn, err := b.Pool.Open(opening, server)
	switch {
	case errors.Is(err, back.ErrSockets):
		return core.Result{Outcome: policy.Moot} // not the server's doing, and not to be held against it
	case ctx.Err() != nil:
		if conn != nil {
			b.Pool.Close(conn)
		}
		return core.Result{Outcome: policy.Canceled}
	case err != nil:
		return core.Result{Outcome: policy.ConnectFailed}
	}
	t := &Tunnel{back: b, request: a.Request, stream: a.Request.Message.(*message.Stream), server: server, conn: conn,
		opened: time.Now(), over: make(chan struct{})}
	t.up, t.down = t.opened, t.opened
	soonest := min(t.stream.Limits.Idle, t.stream.Limits.Total)
	if stall := t.stream.Limits.Stall; stall > 0 {
		soonest = min(soonest, stall)
	}
	t.mu.Lock()
	t.timer = time.AfterFunc(soonest, t.look)
	t.mu.Unlock()
	// Behind the gate it is known to whoever ends the tunnels of a server that drains, or it does not come to stand.
	err = server.Pass(func() error {
		if !a.Wanted() {
			return back.ErrLeft
		}
		b.mu.Lock()
		defer b.mu.Unlock()
		b.open[t] = struct{}{}
		if b.Away() { // it was asked for just before
			t.drain()
		}
		return nil
	})
	if err != nil {
		t.end(Unused)
		return core.Result{Outcome: policy.Moot}
	}
	first := b.Core.Now()
	stands := b.Core.Established(a, t)
	if !stands {
		t.end(Unused)
	}
	select {
	case <-t.over:
	case <-ctx.Done():
		t.end(Closing)
		<-t.over // whoever else ends it may still be at it
	}
	server.Heard.Add(1)
	res := core.Result{Outcome: policy.OK, First: first, Load: policy.Load{Queue: -1, Held: -1}}
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case !stands:
		res.Outcome = policy.Canceled
	case t.cause == Stall:
		res.Outcome = policy.TimedOut
	case t.cause == Server:
		res.Outcome = policy.Reset
	}
	return res
}

// Release ends a tunnel that is not wanted, or no longer.
func (t *Tunnel) Release() { t.end(Unused) }

// end ends the tunnel for a cause, unless it has ended.
func (t *Tunnel) end(cause Cause) {
	t.mu.Lock()
	if t.cause != "" {
		t.mu.Unlock()
		return
	}
	t.cause = cause
	t.timer.Stop()
	client, passed := t.client, t.passed
	t.mu.Unlock()
	if client != nil {
		client.Close()
	}
	b := t.back
	b.Pool.Close(t.conn)
	b.mu.Lock()
	delete(b.open, t)
	b.ended[cause]++
	b.bytes += passed
	b.mu.Unlock()
	close(t.over)
}

// look ends the tunnel where a limit is reached, and else comes back when the next one may be.
func (t *Tunnel) look() {
	t.mu.Lock()
	l, now := t.stream.Limits, time.Now()
	latest := t.down
	if t.up.After(latest) {
		latest = t.up
	}
	cause, next := Idle, latest.Add(l.Idle)
	sooner := func(c Cause, at time.Time) {
		if at.Before(next) {
			cause, next = c, at
		}
	}
	sooner(Total, t.opened.Add(l.Total))
	if l.Stall > 0 && t.up.After(t.down) {
		sooner(Stall, t.up.Add(l.Stall))
	}
	if !t.drains.IsZero() {
		sooner(Draining, t.drains)
	}
	wait := next.Sub(now)
	if wait > 0 && t.cause == "" {
		if l.Stall > 0 { // it begins with the client's next byte
			wait = min(wait, l.Stall)
		}
		t.timer.Reset(wait)
		t.mu.Unlock()
		return
	}
	t.mu.Unlock()
	t.end(cause)
}

// drain gives the tunnel its drain limit from now, unless one runs.
func (t *Tunnel) drain() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.drains.IsZero() && t.cause == "" {
		t.drains = time.Now().Add(t.stream.Limits.Drain)
		t.timer.Reset(0) // look works out the rest
	}
}

// Drain gives the tunnels to a server their drain limit, or all tunnels where it is nil. One that comes to stand while the node
// is Away has its limit from the start.
func (b *Back) Drain(s *back.Server) {
	b.mu.Lock()
	var to []*Tunnel
	for t := range b.open {
		if s == nil || t.server == s {
			to = append(to, t)
		}
	}
	b.mu.Unlock()
	for _, t := range to {
		t.drain()
	}
}

// Stats is what the tunnels have come to.
type Stats struct {
	Open  int
	Bytes uint64           // passed by those that have ended
	Ended map[Cause]uint64 // those that have, by the cause
}

// Stats counts.
func (b *Back) Stats() Stats {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := Stats{Open: len(b.open), Bytes: b.bytes, Ended: map[Cause]uint64{}}
	for c, n := range b.ended {
		s.Ended[c] = n
	}
	return s
}

// Relay makes it a message.Tunnel.
func (t *Tunnel) Relay(client net.Conn, in *bufio.Reader) {
	t.mu.Lock()
	ended := t.cause != ""
	t.client = client
	t.mu.Unlock()
	if ended {
		client.Close()
		return
	}
	t.stream.Spend()
	var down sync.WaitGroup
	down.Go(func() { t.pass(client, t.conn.Conn, nil, false) })
	ahead := make([]byte, in.Buffered()) // no more than that, so that the reader is not held for the tunnel's life
	io.ReadFull(in, ahead)
	t.pass(t.conn.Conn, client, ahead, true)
	down.Wait()
	<-t.over
}

// pass copies one direction to its end, and tells the other side of that.
func (t *Tunnel) pass(dst, src net.Conn, ahead []byte, up bool) {
	broken := func(reading bool) Cause {
		if reading == up {
			return Client
		}
		return Server
	}
	if len(ahead) > 0 {
		came := time.Now()
		if n, err := dst.Write(ahead); t.moved(n, up, came) != nil || err != nil {
			t.end(broken(false))
			return
		}
	}
	for {
		// While nothing comes, no pipe and no buffer is held, and what has come is passed on without waiting for more.
		there, err := flow.Readable(src)
		if err != nil {
			t.end(broken(true))
			return
		}
		// By when it came, not by when the copy returns: the other side may have answered before that.
		came := time.Now()
		n, err := t.back.copy(dst, src, int64(min(max(there, 1), chunk)))
		if t.moved(int(n), up, came) != nil {
			return
		}
		switch {
		case err == nil:
			continue
		case !errors.Is(err, io.EOF):
			t.end(broken(!errors.Is(err, syscall.EPIPE) && !isWrite(err)))
			return
		}
		if half, ok := dst.(interface{ CloseWrite() error }); !ok || half.CloseWrite() != nil {
			t.end(broken(false))
			return
		}
		t.mu.Lock()
		t.halves++
		both := t.halves == 2
		t.mu.Unlock()
		if both {
			t.end(Done)
		}
		return
	}
}

// copy passes so many bytes on: by splice, where both are TCP and a pipe is free, else by a buffer. It returns fewer only with an
// error, io.EOF where the source has ended.
func (b *Back) copy(dst io.Writer, src io.Reader, n int64) (int64, error) {
	select {
	case b.pipes <- struct{}{}:
		defer func() { <-b.pipes }()
	default:
		dst, src = struct{ io.Writer }{dst}, struct{ io.Reader }{src} // which hides that they are sockets
	}
	return io.CopyN(dst, src, n)
}

// isWrite tells whether an error of a copy is its writing side's.
func isWrite(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "write"
}

var errOver = errors.New("the tunnel has ended")

// moved books bytes that were passed on and had come at a time, and waits as long as the contract's bandwidth asks for.
func (t *Tunnel) moved(n int, up bool, came time.Time) error {
	if n > 0 {
		t.mu.Lock()
		if up {
			t.up = came
		} else {
			t.down = came
		}
		t.passed += uint64(n)
		t.mu.Unlock()
		if wait := t.back.Core.Pace(t.request, n); wait > 0 {
			pause := time.NewTimer(wait)
			defer pause.Stop()
			select {
			case <-pause.C:
			case <-t.over:
			}
		}
	}
	select {
	case <-t.over:
		return errOver
	default:
		return nil
	}
}
