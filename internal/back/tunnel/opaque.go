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

// Cause is the reason why an opaque tunnel ended.
type Cause string

const (
	// CauseDone: both sides have ended their sending.
	CauseDone Cause = "done"
	// CauseUnused: the tunnel was closed before it carried a byte. The client had disconnected or could not be replied
	// to, or the server accepted no new requests.
	CauseUnused Cause = "unused"
	// CauseClient: the client's connection broke.
	CauseClient Cause = "client"
	// CauseServer: the server's connection broke.
	CauseServer Cause = "server"
	// CauseIdle: no byte went either way within message.TunnelLimits.Idle.
	CauseIdle Cause = "idle"
	// CauseTotal: the tunnel was open for message.TunnelLimits.Total.
	CauseTotal Cause = "total"
	// CauseStall: the server sent nothing within message.TunnelLimits.Stall after the client's latest bytes.
	CauseStall Cause = "stall"
	// CauseDraining: message.TunnelLimits.Drain passed since the server or the node began to drain.
	CauseDraining Cause = "draining"
	// CauseClosing: the attempt was canceled, or the node stopped.
	CauseClosing Cause = "closing"
)

// copyChunk is the maximum number of bytes that are copied before it is checked again whether the tunnel may continue.
// A reader that takes less than this within the idle limit counts as one that takes nothing.
const copyChunk = 256 << 10

// MaxPipes limits how many copies between two sockets use a kernel pipe (splice) at a time, over all tunnels. A pipe
// takes two descriptors until the receiving side has read the data, and the number of slow readers is not limited.
// Copies beyond the limit use a buffer.
const MaxPipes = 16

// Sender opens opaque tunnels and keeps track of the open ones; it is a core.Sender. It is safe for concurrent use. mu
// guards open, endedByCause and endedBytes.
type Sender struct {
	Core     *core.Core
	Pool     *back.Pool
	Draining func() bool // whether the node drains or shuts down

	pipesInUse chan struct{} // holds one for each pipe in use

	mu           sync.Mutex
	open         map[*Tunnel]struct{}
	endedByCause map[Cause]uint64
	endedBytes   uint64 // copied both ways by tunnels that have ended
}

// NewSender returns a Sender without tunnels.
func NewSender(c *core.Core, p *back.Pool, draining func() bool) *Sender {
	return &Sender{Core: c, Pool: p, Draining: draining, pipesInUse: make(chan struct{}, MaxPipes),
		open: map[*Tunnel]struct{}{}, endedByCause: map[Cause]uint64{}}
}

// Tunnel is a message.Tunnel: a connection to a server for one client. It ends once, with one cause; mu guards the
// fields below it.
type Tunnel struct {
	sender   *Sender
	request  *core.Request
	stream   *message.Stream
	server   *back.Server
	conn     *back.Conn
	openedAt time.Time
	done     chan struct{} // closed once the tunnel has ended

	mu              sync.Mutex
	client          net.Conn    // nil until Relay is called
	timer           *time.Timer // when the next limit may be reached
	drainDeadline   time.Time   // when it must end because of a drain; zero: no drain
	lastUp          time.Time   // when the latest of the copied bytes from the client arrived
	lastDown        time.Time   // when the latest of the copied bytes from the server arrived
	copiedBytes     uint64      // both ways
	endedDirections int         // 0 to 2
	cause           Cause       // empty until the tunnel has ended
}

// Attempt connects to the server, makes the tunnel the request's final response, and returns when the tunnel has ended.
// An attempt that fails to open a tunnel has written nothing to the server, so that it never ran.
func (s *Sender) Attempt(ctx context.Context, a *core.Attempt) core.Result {
	openCtx, cancel := context.WithTimeout(ctx, a.Timeout)
	defer cancel()
	server := a.Server.(*back.Server)
	if !a.Wanted() { // a connection alone is already visible to the server
		return core.Result{Outcome: policy.NeverSent}
	}
	conn, err := s.Pool.Open(openCtx, server)
	switch {
	case errors.Is(err, back.ErrNoSockets):
		return core.Result{Outcome: policy.NeverSent} // not the server's failure, and not held against it
	case ctx.Err() != nil:
		if conn != nil {
			s.Pool.Close(conn)
		}
		return core.Result{Outcome: policy.Canceled}
	case err != nil:
		return core.Result{Outcome: policy.ConnectFailed}
	}
	t := &Tunnel{sender: s, request: a.Request, stream: a.Request.Message.(*message.Stream), server: server, conn: conn,
		openedAt: time.Now(), done: make(chan struct{})}
	t.lastUp, t.lastDown = t.openedAt, t.openedAt
	soonest := min(t.stream.Limits.Idle, t.stream.Limits.Total)
	if stall := t.stream.Limits.Stall; stall > 0 {
		soonest = min(soonest, stall)
	}
	t.mu.Lock()
	t.timer = time.AfterFunc(soonest, t.checkLimits)
	t.mu.Unlock()
	// While the gate is held open the tunnel is registered, so that Drain finds it. If the gate is closed it is not
	// established.
	err = server.Pass(func() error {
		if !a.Wanted() {
			return back.ErrClientGone
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		s.open[t] = struct{}{}
		if s.Draining() { // the node began to drain before the tunnel was registered
			t.startDrain()
		}
		return nil
	})
	if err != nil {
		t.end(CauseUnused)
		return core.Result{Outcome: policy.NeverSent}
	}
	establishedAt := s.Core.Now()
	established := s.Core.Established(a, t)
	if !established {
		t.end(CauseUnused)
	}
	select {
	case <-t.done:
	case <-ctx.Done():
		t.end(CauseClosing)
		<-t.done // another goroutine may still be ending it
	}
	server.Responses.Add(1)
	res := core.Result{Outcome: policy.OK, FirstByteAt: establishedAt, Load: policy.Load{Queue: -1, Held: -1}}
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case !established:
		res.Outcome = policy.Canceled
	case t.cause == CauseStall:
		res.Outcome = policy.TimedOut
	case t.cause == CauseServer:
		res.Outcome = policy.Reset
	}
	return res
}

// Release ends a tunnel that is not wanted or no longer needed.
func (t *Tunnel) Release() { t.end(CauseUnused) }

// end ends the tunnel with a cause and closes both connections. It does nothing if the tunnel has ended already.
func (t *Tunnel) end(cause Cause) {
	t.mu.Lock()
	if t.cause != "" {
		t.mu.Unlock()
		return
	}
	t.cause = cause
	t.timer.Stop()
	client, copied := t.client, t.copiedBytes
	t.mu.Unlock()
	if client != nil {
		client.Close()
	}
	s := t.sender
	s.Pool.Close(t.conn)
	s.mu.Lock()
	delete(s.open, t)
	s.endedByCause[cause]++
	s.endedBytes += copied
	s.mu.Unlock()
	close(t.done)
}

// checkLimits ends the tunnel if a limit is reached, or else sets the timer for when the next limit may be reached.
func (t *Tunnel) checkLimits() {
	t.mu.Lock()
	limits, now := t.stream.Limits, time.Now()
	latest := t.lastDown
	if t.lastUp.After(latest) {
		latest = t.lastUp
	}
	cause, next := CauseIdle, latest.Add(limits.Idle)
	addLimit := func(c Cause, at time.Time) {
		if at.Before(next) {
			cause, next = c, at
		}
	}
	addLimit(CauseTotal, t.openedAt.Add(limits.Total))
	if limits.Stall > 0 && t.lastUp.After(t.lastDown) {
		addLimit(CauseStall, t.lastUp.Add(limits.Stall))
	}
	if !t.drainDeadline.IsZero() {
		addLimit(CauseDraining, t.drainDeadline)
	}
	wait := next.Sub(now)
	if wait > 0 && t.cause == "" {
		if limits.Stall > 0 { // the stall limit begins with the client's next byte
			wait = min(wait, limits.Stall)
		}
		t.timer.Reset(wait)
		t.mu.Unlock()
		return
	}
	t.mu.Unlock()
	t.end(cause)
}

// startDrain starts the tunnel's drain limit, unless it is running.
func (t *Tunnel) startDrain() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.drainDeadline.IsZero() && t.cause == "" {
		t.drainDeadline = time.Now().Add(t.stream.Limits.Drain)
		t.timer.Reset(0) // checkLimits computes the next time
	}
}

// Drain starts the drain limit of the tunnels to a server, or of all tunnels if server is nil. A tunnel that is
// established while the node is Draining has its limit from the start.
func (s *Sender) Drain(server *back.Server) {
	s.mu.Lock()
	var tunnels []*Tunnel
	for t := range s.open {
		if server == nil || t.server == server {
			tunnels = append(tunnels, t)
		}
	}
	s.mu.Unlock()
	for _, t := range tunnels {
		t.startDrain()
	}
}

// Stats holds the number of open tunnels and totals of those that have ended.
type Stats struct {
	Open  int
	Bytes uint64           // copied both ways by tunnels that have ended
	Ended map[Cause]uint64 // number of ended tunnels by cause
}

// Stats returns the current numbers.
func (s *Sender) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	stats := Stats{Open: len(s.open), Bytes: s.endedBytes, Ended: map[Cause]uint64{}}
	for c, n := range s.endedByCause {
		stats.Ended[c] = n
	}
	return stats
}

// Relay copies bytes between the client and the server until the tunnel has ended, and closes the client's connection.
// Bytes that in has read ahead are sent first.
func (t *Tunnel) Relay(client net.Conn, in *bufio.Reader) {
	t.mu.Lock()
	ended := t.cause != ""
	t.client = client
	t.mu.Unlock()
	if ended {
		client.Close()
		return
	}
	t.stream.MarkSpent()
	var down sync.WaitGroup
	down.Go(func() { t.copyDirection(client, t.conn.Conn, nil, false) })
	ahead := make([]byte, in.Buffered()) // copied out, so that the reader is not kept in memory until the tunnel ends
	io.ReadFull(in, ahead)
	t.copyDirection(t.conn.Conn, client, ahead, true)
	down.Wait()
	<-t.done
}

// copyDirection copies one direction until src ends and then closes dst for writing. The bytes ahead are sent first.
func (t *Tunnel) copyDirection(dst, src net.Conn, ahead []byte, toServer bool) {
	// brokenSide returns the cause for an error on reading from src, or else on writing to dst.
	brokenSide := func(reading bool) Cause {
		if reading == toServer {
			return CauseClient
		}
		return CauseServer
	}
	if len(ahead) > 0 {
		arrived := time.Now()
		if n, err := dst.Write(ahead); t.account(n, toServer, arrived) != nil || err != nil {
			t.end(brokenSide(false))
			return
		}
	}
	for {
		// While no bytes arrive, no pipe and no buffer is held. Bytes that have arrived are copied without waiting for
		// more.
		available, err := flow.WaitReadable(src)
		if err != nil {
			t.end(brokenSide(true))
			return
		}
		// Record when the bytes arrived, not when the copy returns: the other side may have replied before that.
		arrived := time.Now()
		n, err := t.sender.copyN(dst, src, int64(min(max(available, 1), copyChunk)))
		if t.account(int(n), toServer, arrived) != nil {
			return
		}
		switch {
		case err == nil:
			continue
		case !errors.Is(err, io.EOF):
			t.end(brokenSide(!errors.Is(err, syscall.EPIPE) && !isWriteError(err)))
			return
		}
		if half, ok := dst.(interface{ CloseWrite() error }); !ok || half.CloseWrite() != nil {
			t.end(brokenSide(false))
			return
		}
		t.mu.Lock()
		t.endedDirections++
		both := t.endedDirections == 2
		t.mu.Unlock()
		if both {
			t.end(CauseDone)
		}
		return
	}
}

// copyN copies n bytes: by splice if both sides are TCP and a pipe is free, or else by a buffer. It copies fewer only
// with an error, which is io.EOF if the source has ended.
func (s *Sender) copyN(dst io.Writer, src io.Reader, n int64) (int64, error) {
	select {
	case s.pipesInUse <- struct{}{}:
		defer func() { <-s.pipesInUse }()
	default:
		// Hide that both are sockets, so that io.CopyN does not use splice.
		dst, src = struct{ io.Writer }{dst}, struct{ io.Reader }{src}
	}
	return io.CopyN(dst, src, n)
}

// isWriteError reports whether an error of a copy came from writing.
func isWriteError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "write"
}

// errTunnelEnded reports to a copying goroutine that the tunnel has ended.
var errTunnelEnded = errors.New("tunnel has ended")

// account counts bytes that arrived at the given time and were copied, and waits as long as the contract's bandwidth
// requires. It returns errTunnelEnded if the tunnel has ended.
func (t *Tunnel) account(n int, toServer bool, arrived time.Time) error {
	if n > 0 {
		t.mu.Lock()
		if toServer {
			t.lastUp = arrived
		} else {
			t.lastDown = arrived
		}
		t.copiedBytes += uint64(n)
		t.mu.Unlock()
		if wait := t.sender.Core.Pace(t.request, n); wait > 0 {
			pause := time.NewTimer(wait)
			defer pause.Stop()
			select {
			case <-pause.C:
			case <-t.done:
			}
		}
	}
	select {
	case <-t.done:
		return errTunnelEnded
	default:
		return nil
	}
}
