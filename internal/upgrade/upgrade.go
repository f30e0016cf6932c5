// Package upgrade carries what the processes of one node say to each other while one replaces another, over a Unix socket in
// the directory that they share. It moves messages and has the token's file; who serves is decided by internal/handover, and
// what is handed over is the node's business.
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

// Version is that of the messages. Processes that speak different ones share nothing: the successor then starts as
// after a crash.
const Version = 2

const (
	stateTimeout = 2 * time.Second // for a predecessor to hand over; one that takes longer is as good as dead
	sendTimeout  = time.Second     // for a message to be written: the other reads at once
	maxQueued    = 100_000         // messages that wait to be written; a process that reads so slowly is cut off
)

// Call is what an operator told one of the two.
type Call string

const (
	Disable Call = "disable"
	Enable  Call = "enable"
	Drain   Call = "drain"
	Resume  Call = "resume"
)

// Order is a call with the web server that it names.
type Order struct {
	Call Call   `json:"call"`
	ID   string `json:"id,omitempty"`
	At   int64  `json:"at,omitempty"`   // Unix nanoseconds of the call
	From uint64 `json:"from,omitempty"` // a number of the call's own, given where operators said it
}

// Node is what a process lets others do. But for Obey, whose calls come one after the other, nothing may wait for another
// process.
type Node interface {
	// Hello is called when a process asks for the state; what Tell says first answers it.
	Hello(*Peer)
	// Heard is called with each word on who serves. State is nil but for State and Yours.
	Heard(p *Peer, what handover.Message, number uint64, state []byte)
	// Claim is called before a request begins at a predecessor, and Ended when one of its has ended.
	Claim(p *Peer, id string, until time.Duration) handover.Verdict
	Ended(p *Peer, id string)
	// Obey does what an operator told another process.
	Obey(*Peer, Order) error
	// Gone is called when the other process is gone.
	Gone(*Peer)
}

// message is one line on the socket. Claim and order are answered by an ack with the same number.
type message struct {
	Kind    messageKind      `json:"kind"`
	Number  uint64           `json:"number,omitempty"`
	Version int              `json:"version,omitempty"` // hello
	What    handover.Message `json:"what,omitempty"`    // word
	Token   uint64           `json:"token,omitempty"`   // word Yours: the token's number
	State   []byte           `json:"state,omitempty"`   // word State, Yours
	ID      string           `json:"id,omitempty"`      // claim, ended
	Until   int64            `json:"until,omitempty"`   // claim
	Verdict handover.Verdict `json:"verdict,omitempty"` // ack of claim
	Order   *Order           `json:"order,omitempty"`
	Error   string           `json:"error,omitempty"` // ack
}

type messageKind string

const (
	kindHello    messageKind = "hello"
	kindHandover messageKind = "word"
	kindClaim    messageKind = "claim"
	kindEnded    messageKind = "ended"
	kindOrder    messageKind = "order"
	kindAck      messageKind = "ack"
)

// ErrGone says that the other process has ended.
var ErrPeerExited = errors.New("the other process is gone")

// Peer is the other process. What is told it goes out in the order of the calls.
type Peer struct {
	conn    net.Conn
	decoder *json.Decoder // one for all: it may have read ahead

	mu         sync.Mutex
	queue      []func() message // made when their turn comes: what is large is not made where others wait
	wake       chan struct{}
	lastNumber uint64
	pending    map[uint64]chan message
	closed     bool
}

// Dial asks the process that listens at path, if any, for its state. What is not Later is its state, and Follow must be called
// then, or Close. Where there is none, the error is that of the socket.
func Dial(path string) (p *Peer, what handover.Message, state []byte, err error) {
	conn, err := net.DialTimeout("unix", path, stateTimeout)
	if err != nil {
		return nil, 0, nil, err
	}
	in := json.NewDecoder(conn)
	conn.SetDeadline(time.Now().Add(stateTimeout))
	var m message
	if err = json.NewEncoder(conn).Encode(message{Kind: kindHello, Version: Version}); err == nil {
		err = in.Decode(&m)
	}
	if err == nil && m.Error != "" {
		err = errors.New(m.Error)
	}
	if err != nil {
		conn.Close()
		return nil, 0, nil, fmt.Errorf("the process before does not hand over: %w", err)
	}
	conn.SetDeadline(time.Time{})
	p = newPeer(conn)
	p.decoder = in
	return p, m.What, m.State, nil
}

func newPeer(conn net.Conn) *Peer {
	p := &Peer{conn: conn, decoder: json.NewDecoder(conn), pending: map[uint64]chan message{}, wake: make(chan struct{}, 1)}
	go p.writeLoop()
	return p
}

// Follow takes in what the other process says, until it is gone.
func (p *Peer) Follow(node Node) {
	go p.readLoop(node)
}

// Tell tells a word on who serves. State, which may be nil, is called when its turn comes.
func (p *Peer) Tell(what handover.Message, number uint64, state func() []byte) {
	p.enqueue(func() message {
		m := message{Kind: kindHandover, What: what, Token: number}
		if state != nil {
			m.State = state()
		}
		return m
	})
}

// Claim asks whether a request may begin here that lasts until then at most. Without an answer it is Busy.
func (p *Peer) Claim(ctx context.Context, id string, until time.Duration) handover.Verdict {
	a, err := p.call(ctx, message{Kind: kindClaim, ID: id, Until: int64(until)})
	if err != nil {
		return handover.Busy
	}
	return a.Verdict
}

// Ended tells that a request has ended here.
func (p *Peer) Ended(id string) {
	p.enqueue(func() message { return message{Kind: kindEnded, ID: id} })
}

// Order passes an operator's call on and returns once it is done there. A process that is gone needs no order.
func (p *Peer) Order(ctx context.Context, o Order) error {
	_, err := p.call(ctx, message{Kind: kindOrder, Order: &o})
	if errors.Is(err, ErrPeerExited) {
		return nil
	}
	return err
}

// Close ends the talk, as the end of this process does.
func (p *Peer) Close() error {
	p.shutdown()
	return p.conn.Close()
}

// finish lets go whoever waits, and takes nothing more.
func (p *Peer) shutdown() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return
	}
	p.closed, p.queue = true, nil
	close(p.wake)
	for number, answer := range p.pending {
		close(answer)
		delete(p.pending, number)
	}
}

// ask sends a message and waits for its ack.
func (p *Peer) call(ctx context.Context, m message) (message, error) {
	answer := make(chan message, 1)
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		return message{}, ErrPeerExited
	}
	p.lastNumber++
	m.Number = p.lastNumber
	p.pending[m.Number] = answer
	p.mu.Unlock()
	p.enqueue(func() message { return m })
	defer func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.pending, m.Number)
	}()
	select {
	case a, ok := <-answer:
		if !ok {
			return a, ErrPeerExited
		}
		if a.Error != "" {
			return a, errors.New(a.Error)
		}
		return a, nil
	case <-ctx.Done():
		return message{}, fmt.Errorf("the other process: %w", ctx.Err())
	}
}

// push puts a message into the queue. It does not wait.
func (p *Peer) enqueue(f func() message) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return
	}
	if len(p.queue) >= maxQueued {
		p.conn.Close() // its end is noticed by the reader
		return
	}
	p.queue = append(p.queue, f)
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// write sends what is in the queue, until the connection has ended.
func (p *Peer) writeLoop() {
	out := json.NewEncoder(p.conn)
	for range p.wake {
		for {
			p.mu.Lock()
			if len(p.queue) == 0 {
				p.mu.Unlock()
				break
			}
			f := p.queue[0]
			p.queue = p.queue[1:]
			p.mu.Unlock()
			p.conn.SetWriteDeadline(time.Now().Add(sendTimeout))
			if out.Encode(f()) != nil {
				p.conn.Close() // half a message may be out
			}
		}
	}
}

// read takes in the other's messages until it is gone.
func (p *Peer) readLoop(node Node) {
	orders := make(chan message, 100) // they may wait for other processes, and nothing else is to wait for them
	obeyed := make(chan struct{})
	answer := func(m message, a message) {
		a.Kind, a.Number = kindAck, m.Number
		p.enqueue(func() message { return a })
	}
	go func() {
		defer close(obeyed)
		for m := range orders {
			a := message{}
			if err := node.Obey(p, *m.Order); err != nil {
				a.Error = err.Error()
			}
			answer(m, a)
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
			if answer := p.pending[m.Number]; answer != nil {
				answer <- m
				delete(p.pending, m.Number)
			}
			p.mu.Unlock()
		case m.Kind == kindHandover:
			node.Heard(p, m.What, m.Token, m.State)
		case m.Kind == kindClaim:
			answer(m, message{Verdict: node.Claim(p, m.ID, time.Duration(m.Until))})
		case m.Kind == kindEnded:
			node.Ended(p, m.ID)
		case m.Kind == kindOrder && m.Order != nil:
			orders <- m
		default:
			answer(m, message{Error: fmt.Sprintf("message %q is not known", m.Kind)})
		}
	}
	close(orders)
	p.conn.Close()
	p.shutdown()
	<-obeyed
	node.Gone(p)
}

// Listener waits for successors.
type Listener struct {
	ln      net.Listener
	node    Node
	log     *slog.Logger
	ownPath string
}

// Listen takes the place at path, whoever held it, and stays to be found by Others when another process has taken it.
func Listen(path string, node Node, log *slog.Logger) (*Listener, error) {
	own, err := os.CreateTemp(filepath.Dir(path), filepath.Base(path)+".*")
	if err != nil {
		return nil, err
	}
	name := own.Name()
	own.Close()
	os.Remove(name)
	ln, err := net.Listen("unix", name)
	if err != nil {
		return nil, err
	}
	// Under another name first: there is no moment at which a successor finds nobody.
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

// Others are the sockets of processes that have listened at path, the one that it leads to first.
func Others(path string) []string {
	all, _ := filepath.Glob(path + ".*") // a pattern of ours
	return append([]string{path}, all...)
}

// Close ends the wait. Successors that were met stay.
func (l *Listener) Close() error {
	os.Remove(l.ownPath)
	return l.ln.Close()
}

func (l *Listener) acceptLoop() {
	for {
		conn, err := l.ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			l.log.Warn("waiting for a successor", "err", err)
			time.Sleep(100 * time.Millisecond)
			continue
		}
		go l.handshake(conn)
	}
}

// meet answers a successor's hello and then takes in what it says.
func (l *Listener) handshake(conn net.Conn) {
	in := json.NewDecoder(conn)
	var m message
	conn.SetReadDeadline(time.Now().Add(stateTimeout))
	err := in.Decode(&m)
	if err == nil && m.Kind == kindHello && m.Version != Version {
		err = fmt.Errorf("version %d is spoken here, not %d", Version, m.Version)
		json.NewEncoder(conn).Encode(message{Kind: kindAck, Error: err.Error()})
	}
	if err != nil || m.Kind != kindHello {
		l.log.Warn("no successor's hello", "err", err)
		conn.Close()
		return
	}
	conn.SetReadDeadline(time.Time{})
	p := newPeer(conn)
	p.decoder = in
	l.node.Hello(p)
	p.readLoop(l.node)
}
