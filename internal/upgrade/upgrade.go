// Package upgrade carries the messages between the processes of one node while one replaces another, over a Unix socket
// in a directory that they share, and holds the token's file. Which process serves is decided by internal/handover; the
// content of the handed-over state is up to the node.
package upgrade

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"sync"
	"time"

	"portstall/internal/handover"
)

// Version is the version of the messages. Processes with different versions exchange nothing: the successor then starts
// as after a crash.
const Version = 2

const (
	stateTimeout = 2 * time.Second // for a predecessor to hand over its state; one that takes longer counts as exited
	sendTimeout  = time.Second     // for one message to be written: the receiver reads at once
	maxQueued    = 100_000         // messages waiting to be written; a peer that lets more accumulate is disconnected
)

// Call is an operator's command that one process passes on to another.
type Call string

// The calls: to disable or enable a web server, and to drain the node or end the drain.
const (
	Disable Call = "disable"
	Enable  Call = "enable"
	Drain   Call = "drain"
	Resume  Call = "resume"
)

// Order is a call with its parameters.
type Order struct {
	Call Call   `json:"call"`
	ID   string `json:"id,omitempty"` // of the web server to enable or disable
	At   int64  `json:"at,omitempty"` // time of the call, in Unix nanoseconds
	// From is a random number of the call, set by the process at which the operator made it; 0: not set yet.
	From uint64 `json:"from,omitempty"`
}

// Node handles what other processes send. None of its methods may wait for another process, except Execute, whose calls
// come one after the other.
type Node interface {
	// StateRequested handles a process's request for the state; the first Send to that process is the reply.
	StateRequested(*Peer)
	// Received handles a message of the hand-over. State is nil except for State and Transfer.
	Received(p *Peer, what handover.Message, number uint64, state []byte)
	// Claim decides on a request that is about to begin at a predecessor, and that ends at until at the latest.
	Claim(p *Peer, id string, until time.Duration) handover.Verdict
	// RequestEnded handles the end of a request at another process, whose id must not run again until the given time; 0 if
	// it never ran.
	RequestEnded(p *Peer, id string, until time.Duration)
	// Execute carries out an operator's call that was made at another process.
	Execute(*Peer, Order) error
	// PeerExited handles the exit of the other process.
	PeerExited(*Peer)
}

// message is one line on the socket. A claim or an order is replied to by an ack with the same number. The keys, the
// kinds and the calls are a wire format between processes of different builds: they stay.
type message struct {
	Kind    messageKind      `json:"kind"`
	Number  uint64           `json:"number,omitempty"`
	Version int              `json:"version,omitempty"` // kindHello
	What    handover.Message `json:"what,omitempty"`    // kindHandover
	Token   uint64           `json:"token,omitempty"`   // kindHandover with Transfer: the token's number
	State   []byte           `json:"state,omitempty"`   // kindHandover with State or Transfer
	ID      string           `json:"id,omitempty"`      // kindClaim, kindEnded: the request's id
	// kindClaim: the request's deadline in ns on the core's clock; kindEnded: until when its id must not run again
	Until   int64            `json:"until,omitempty"`
	Verdict handover.Verdict `json:"verdict,omitempty"` // kindAck of a claim
	Order   *Order           `json:"order,omitempty"`   // kindOrder
	Error   string           `json:"error,omitempty"`   // kindAck
}

// messageKind is the kind of a message on the socket.
type messageKind string

const (
	kindHello    messageKind = "hello" // a successor's request for the state
	kindHandover messageKind = "word"  // a handover.Message
	kindClaim    messageKind = "claim" // a request for a handover.Verdict
	kindEnded    messageKind = "ended" // the end of a request
	kindOrder    messageKind = "order" // an operator's call
	kindAck      messageKind = "ack"   // the reply to a claim or an order, or an error
)

// ErrPeerExited is the error of calls to a process that has exited or disconnected.
var ErrPeerExited = errors.New("the other process has exited")

// Peer is a connection to another process of the node. Messages are sent in the order of the calls. Its methods are
// safe for concurrent use.
type Peer struct {
	conn    net.Conn
	decoder *json.Decoder // the only reader of conn: it may have buffered input

	mu         sync.Mutex
	queue      []func() message // each makes its message when it is sent, so that large states do not accumulate
	wake       chan struct{}    // wakes writeLoop; closed by shutdown
	lastNumber uint64
	pending    map[uint64]chan message // calls that wait for an ack, by number
	closed     bool
}

// Dial requests the state from the process that listens at path. If what is not NotServing it is State; then Receive or
// Close must be called. If no process listens, the error is that of the socket.
func Dial(path string) (p *Peer, what handover.Message, state []byte, err error) {
	conn, err := net.DialTimeout("unix", path, stateTimeout)
	if err != nil {
		return nil, 0, nil, err
	}
	decoder := json.NewDecoder(conn)
	conn.SetDeadline(time.Now().Add(stateTimeout))
	var m message
	if err = json.NewEncoder(conn).Encode(message{Kind: kindHello, Version: Version}); err == nil {
		err = decoder.Decode(&m)
	}
	if err == nil && m.Error != "" {
		err = errors.New(m.Error)
	}
	if err != nil {
		conn.Close()
		return nil, 0, nil, fmt.Errorf("predecessor did not hand over its state: %w", err)
	}
	conn.SetDeadline(time.Time{})
	p = newPeer(conn)
	p.decoder = decoder
	return p, m.What, m.State, nil
}

// newPeer returns a Peer that sends on conn. It reads nothing before Receive or readLoop.
func newPeer(conn net.Conn) *Peer {
	p := &Peer{conn: conn, decoder: json.NewDecoder(conn), pending: map[uint64]chan message{}, wake: make(chan struct{}, 1)}
	go p.writeLoop()
	return p
}

// Receive starts to pass the other process's messages to node, until that process exits.
func (p *Peer) Receive(node Node) {
	go p.readLoop(node)
}

// Send sends a message of the hand-over. State, which may be nil, is called when the message is written.
func (p *Peer) Send(what handover.Message, number uint64, state func() []byte) {
	p.enqueue(func() message {
		m := message{Kind: kindHandover, What: what, Token: number}
		if state != nil {
			m.State = state()
		}
		return m
	})
}

// Claim asks whether a request may begin here that ends at until at the latest. Without a reply the verdict is
// Undecided.
func (p *Peer) Claim(ctx context.Context, id string, until time.Duration) handover.Verdict {
	ack, err := p.call(ctx, message{Kind: kindClaim, ID: id, Until: int64(until)})
	if err != nil {
		return handover.Undecided
	}
	return ack.Verdict
}

// RequestEnded reports that a request has ended here, and until when its id must not run again; 0 if it never ran.
func (p *Peer) RequestEnded(id string, until time.Duration) {
	p.enqueue(func() message { return message{Kind: kindEnded, ID: id, Until: int64(until)} })
}

// SendOrder passes an operator's call on, and returns once it was carried out there. A process that has exited needs no
// order.
func (p *Peer) SendOrder(ctx context.Context, o Order) error {
	_, err := p.call(ctx, message{Kind: kindOrder, Order: &o})
	if errors.Is(err, ErrPeerExited) {
		return nil
	}
	return err
}

// Close ends the connection, as the exit of this process does.
func (p *Peer) Close() error {
	p.shutdown()
	return p.conn.Close()
}

// shutdown fails all pending calls and drops the queue; nothing more is queued.
func (p *Peer) shutdown() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return
	}
	p.closed, p.queue = true, nil
	close(p.wake)
	for number, waiting := range p.pending {
		close(waiting)
		delete(p.pending, number)
	}
}

// call sends a message and waits for its ack.
func (p *Peer) call(ctx context.Context, m message) (message, error) {
	reply := make(chan message, 1)
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		return message{}, ErrPeerExited
	}
	p.lastNumber++
	m.Number = p.lastNumber
	p.pending[m.Number] = reply
	p.mu.Unlock()
	p.enqueue(func() message { return m })
	defer func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.pending, m.Number)
	}()
	select {
	case ack, ok := <-reply:
		if !ok {
			return ack, ErrPeerExited
		}
		if ack.Error != "" {
			return ack, errors.New(ack.Error)
		}
		return ack, nil
	case <-ctx.Done():
		return message{}, fmt.Errorf("no reply from the other process: %w", ctx.Err())
	}
}

// enqueue appends a message to the queue. It does not wait.
func (p *Peer) enqueue(makeMessage func() message) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return
	}
	if len(p.queue) >= maxQueued {
		p.conn.Close() // readLoop notices the end
		return
	}
	p.queue = append(p.queue, makeMessage)
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// writeLoop sends the queued messages until the connection has ended.
func (p *Peer) writeLoop() {
	out := json.NewEncoder(p.conn)
	for range p.wake {
		for {
			p.mu.Lock()
			if len(p.queue) == 0 {
				p.mu.Unlock()
				break
			}
			makeMessage := p.queue[0]
			p.queue = p.queue[1:]
			p.mu.Unlock()
			p.conn.SetWriteDeadline(time.Now().Add(sendTimeout))
			if out.Encode(makeMessage()) != nil {
				p.conn.Close() // the message may have been sent incompletely
			}
		}
	}
}

// readLoop passes the other process's messages to node until that process exits.
func (p *Peer) readLoop(node Node) {
	orders := make(chan message, 100) // orders may wait for other processes, and must not delay other messages
	executed := make(chan struct{})
	reply := func(m message, ack message) {
		ack.Kind, ack.Number = kindAck, m.Number
		p.enqueue(func() message { return ack })
	}
	go func() {
		defer close(executed)
		for m := range orders {
			ack := message{}
			if err := node.Execute(p, *m.Order); err != nil {
				ack.Error = err.Error()
			}
			reply(m, ack)
		}
	}()
	for {
		var m message
		if p.decoder.Decode(&m) != nil {
			break
		}
		switch {
		case m.Kind == kindAck:
			p.mu.Lock()
			if waiting := p.pending[m.Number]; waiting != nil {
				waiting <- m
				delete(p.pending, m.Number)
			}
			p.mu.Unlock()
		case m.Kind == kindHandover:
			node.Received(p, m.What, m.Token, m.State)
		case m.Kind == kindClaim:
			reply(m, message{Verdict: node.Claim(p, m.ID, time.Duration(m.Until))})
		case m.Kind == kindEnded:
			node.RequestEnded(p, m.ID, time.Duration(m.Until))
		case m.Kind == kindOrder && m.Order != nil:
			orders <- m
		default:
			reply(m, message{Error: fmt.Sprintf("unknown message kind %q", m.Kind)})
		}
	}
	close(orders)
	p.conn.Close()
	p.shutdown()
	<-executed
	node.PeerExited(p)
}

// Listener accepts successors.
type Listener struct {
	ln      net.Listener
	node    Node
	log     *slog.Logger
	ownPath string // a path of this socket alone; the shared path may lead to another process's socket
}

// Listen takes over the shared path from the process that has it. When another process takes the path over in turn,
// this one can still be found by ListenerPaths.
func Listen(path string, node Node, log *slog.Logger) (*Listener, error) {
	temp, err := os.CreateTemp(filepath.Dir(path), filepath.Base(path)+".*")
	if err != nil {
		return nil, err
	}
	name := temp.Name()
	temp.Close()
	os.Remove(name)
	ln, err := net.Listen("unix", name)
	if err != nil {
		return nil, err
	}
	// The new socket replaces the old one by a rename: at no moment does a successor find none.
	ln.(*net.UnixListener).SetUnlinkOnClose(false)
	link := name + ".new"
	if err := errors.Join(os.Link(name, link), os.Rename(link, path)); err != nil {
		ln.Close()
		os.Remove(name)
		return nil, err
	}
	l := &Listener{ln: ln, node: node, log: log, ownPath: name}
	go l.acceptLoop()
	return l, nil
}

// ListenerPaths returns the sockets of all processes that have listened at path, first the one that path leads to.
func ListenerPaths(path string) []string {
	all, _ := filepath.Glob(path + ".*") // the only error is a malformed pattern
	return append([]string{path}, all...)
}

// Close stops accepting successors. Those that are connected stay so.
func (l *Listener) Close() error {
	os.Remove(l.ownPath)
	return l.ln.Close()
}

// acceptLoop accepts successors until the listener is closed.
func (l *Listener) acceptLoop() {
	for {
		conn, err := l.ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			l.log.Warn("accepting a successor failed", "err", err)
			time.Sleep(100 * time.Millisecond)
			continue
		}
		go l.handshake(conn)
	}
}

// handshake replies to a successor's hello and then handles its messages.
func (l *Listener) handshake(conn net.Conn) {
	decoder := json.NewDecoder(conn)
	var m message
	conn.SetReadDeadline(time.Now().Add(stateTimeout))
	err := decoder.Decode(&m)
	if err == nil && m.Kind == kindHello && m.Version != Version {
		err = fmt.Errorf("this process speaks protocol version %d, not %d", Version, m.Version)
		json.NewEncoder(conn).Encode(message{Kind: kindAck, Error: err.Error()})
	}
	if err != nil || m.Kind != kindHello {
		l.log.Warn("connection to the upgrade socket without a valid hello", "err", err)
		conn.Close()
		return
	}
	conn.SetReadDeadline(time.Time{})
	p := newPeer(conn)
	p.decoder = decoder
	l.node.StateRequested(p)
	p.readLoop(l.node)
}
