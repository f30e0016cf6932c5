// Package upgrade lets a process replace another one that serves the same clients. The two talk over a Unix socket
// in the directory that they share: the predecessor hands over what the rules need, the successor says when it
// serves, and as long as both run an operator's call to either reaches both. The package moves messages; what is
// handed over and what an order does is the node's business.
package upgrade

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"sync"
	"time"
)

// Version is that of the messages. Processes that speak different ones share nothing: the successor then starts as
// after a crash.
const Version = 1

const (
	stateTime = 2 * time.Second // for a predecessor to hand over; one that takes longer is as good as dead
	sendTime  = time.Second     // for a message to be written: the other reads at once
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
	At   int64  `json:"at,omitempty"` // Unix nanoseconds of the call
}

// Node is what a process lets the other one do.
type Node interface {
	// State returns what a successor needs, as JSON.
	State() (json.RawMessage, error)
	// Obey does what an operator told another process, the one that the peer is.
	Obey(*Peer, Order) error
	// Succeed is called at a predecessor once its successor serves: it accepts no connection after its return.
	Succeed()
	// Alone is called when another process is gone: the one that the peer was.
	Alone(*Peer)
}

// message is one line on the socket. Hello, ready and order are answered by an ack with the same number.
type message struct {
	Kind    kind            `json:"kind"`
	Number  uint64          `json:"number"`
	Version int             `json:"version,omitempty"` // hello
	Order   *Order          `json:"order,omitempty"`
	State   json.RawMessage `json:"state,omitempty"` // the ack of hello
	Error   string          `json:"error,omitempty"` // ack
}

type kind string

const (
	hello kind = "hello"
	ready kind = "ready"
	order kind = "order"
	ack   kind = "ack"
)

// ErrGone says that the other process has ended.
var ErrGone = errors.New("the other process is gone")

// Peer is the other process.
type Peer struct {
	conn net.Conn
	in   *json.Decoder // one for all: it may have read ahead

	mu     sync.Mutex
	number uint64
	waits  map[uint64]chan message
	gone   bool
}

// Dial asks the process that listens at path, if any, for its state. Follow must be called then. Where there is none,
// the error is that of the socket.
func Dial(path string) (*Peer, json.RawMessage, error) {
	conn, err := net.DialTimeout("unix", path, stateTime)
	if err != nil {
		return nil, nil, err
	}
	p := newPeer(conn)
	conn.SetDeadline(time.Now().Add(stateTime))
	var m message
	if err = json.NewEncoder(conn).Encode(message{Kind: hello, Version: Version}); err == nil {
		err = p.in.Decode(&m)
	}
	if err == nil && m.Error != "" {
		err = errors.New(m.Error)
	}
	if err != nil {
		conn.Close()
		return nil, nil, fmt.Errorf("the process before does not hand over: %w", err)
	}
	conn.SetDeadline(time.Time{})
	return p, m.State, nil
}

func newPeer(conn net.Conn) *Peer {
	return &Peer{conn: conn, in: json.NewDecoder(conn), waits: map[uint64]chan message{}}
}

// Follow lets the predecessor order this node about, until it is gone.
func (p *Peer) Follow(node Node) {
	go p.read(node)
}

// Ready tells the predecessor that this process serves, and returns once it accepts no more connections.
func (p *Peer) Ready(ctx context.Context) error { return p.ask(ctx, message{Kind: ready}) }

// Order passes an operator's call on and returns once it is done there. A process that is gone needs no order.
func (p *Peer) Order(ctx context.Context, o Order) error {
	err := p.ask(ctx, message{Kind: order, Order: &o})
	if errors.Is(err, ErrGone) {
		return nil
	}
	return err
}

// Close ends the talk, as the end of this process does.
func (p *Peer) Close() error { return p.conn.Close() }

// ask sends a message and waits for its ack.
func (p *Peer) ask(ctx context.Context, m message) error {
	answer := make(chan message, 1)
	p.mu.Lock()
	if p.gone {
		p.mu.Unlock()
		return ErrGone
	}
	p.number++
	m.Number = p.number
	p.waits[m.Number] = answer
	err := p.write(m)
	p.mu.Unlock()
	if err != nil {
		return ErrGone // the reader will notice too
	}
	defer func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.waits, m.Number)
	}()
	select {
	case a, ok := <-answer:
		if !ok {
			return ErrGone
		}
		if a.Error != "" {
			return errors.New(a.Error)
		}
		return nil
	case <-ctx.Done():
		return fmt.Errorf("the other process: %w", ctx.Err())
	}
}

// write sends a message. p.mu is held.
func (p *Peer) write(m message) error {
	p.conn.SetWriteDeadline(time.Now().Add(sendTime))
	err := json.NewEncoder(p.conn).Encode(m)
	if err != nil {
		p.conn.Close() // half a message may be out
	}
	return err
}

// read takes in the other's messages until it is gone.
func (p *Peer) read(node Node) {
	for {
		var m message
		if p.in.Decode(&m) != nil {
			break
		}
		var err error
		switch {
		case m.Kind == ack:
			p.mu.Lock()
			if answer := p.waits[m.Number]; answer != nil {
				answer <- m
				delete(p.waits, m.Number)
			}
			p.mu.Unlock()
			continue
		case m.Kind == ready:
			node.Succeed()
		case m.Kind == order && m.Order != nil:
			err = node.Obey(p, *m.Order)
		default:
			err = fmt.Errorf("message %q is not known", m.Kind)
		}
		a := message{Kind: ack, Number: m.Number}
		if err != nil {
			a.Error = err.Error()
		}
		p.mu.Lock()
		p.write(a)
		p.mu.Unlock()
	}
	p.conn.Close()
	p.mu.Lock()
	p.gone = true
	for number, answer := range p.waits {
		close(answer)
		delete(p.waits, number)
	}
	p.mu.Unlock()
	node.Alone(p)
}

// Listener waits for successors.
type Listener struct {
	ln   net.Listener
	node Node
	log  *slog.Logger
	met  func(*Peer)
}

// Listen takes the place at path, whoever held it. Each successor is passed to met before it learns anything.
func Listen(path string, node Node, log *slog.Logger, met func(*Peer)) (*Listener, error) {
	// Under another name first: there is no moment at which a successor finds nobody.
	fresh := fmt.Sprintf("%s.%d", path, os.Getpid())
	os.Remove(fresh)
	ln, err := net.Listen("unix", fresh)
	if err != nil {
		return nil, err
	}
	ln.(*net.UnixListener).SetUnlinkOnClose(false) // the name may be a successor's by then
	if err := os.Rename(fresh, path); err != nil {
		ln.Close()
		os.Remove(fresh)
		return nil, err
	}
	l := &Listener{ln: ln, node: node, log: log, met: met}
	go l.accept()
	return l, nil
}

// Close ends the wait. Successors that were met stay.
func (l *Listener) Close() error { return l.ln.Close() }

func (l *Listener) accept() {
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
		go l.hand(conn)
	}
}

// hand gives a successor the state and then serves it.
func (l *Listener) hand(conn net.Conn) {
	p := newPeer(conn)
	var m message
	conn.SetReadDeadline(time.Now().Add(stateTime))
	if err := p.in.Decode(&m); err != nil || m.Kind != hello {
		l.log.Warn("no successor's hello", "err", err)
		conn.Close()
		return
	}
	conn.SetReadDeadline(time.Time{})
	a := message{Kind: ack, Number: m.Number}
	if m.Version != Version {
		a.Error = fmt.Sprintf("version %d is spoken here, not %d", Version, m.Version)
		l.log.Warn("a successor that is not understood", "version", m.Version)
	}
	// An order that comes between the state and its arrival there must not be lost: the successor is known first,
	// and the lock keeps orders behind the state.
	p.mu.Lock()
	met := a.Error == ""
	if met {
		l.met(p)
		var err error
		if a.State, err = l.node.State(); err != nil {
			a.Error = err.Error()
		}
	}
	if p.write(a) != nil || a.Error != "" {
		conn.Close()
	}
	p.mu.Unlock()
	if met { // also where the state did not get through: whoever was met is told of as gone
		p.read(l.node)
	}
}
