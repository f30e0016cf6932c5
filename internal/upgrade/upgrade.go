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
	stateTime = 2 * time.Second // for a predecessor to hand over; one that takes longer is as good as dead
	sendTime  = time.Second     // for a message to be written: the other reads at once
	mostQueue = 100_000         // messages that wait to be written; a process that reads so slowly is cut off
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
	Kind    kind             `json:"kind"`
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

type kind string

const (
	hello kind = "hello"
	word  kind = "word"
	claim kind = "claim"
	ended kind = "ended"
	order kind = "order"
	ack   kind = "ack"
)

// ErrGone says that the other process has ended.
var ErrGone = errors.New("the other process is gone")

// Peer is the other process. What is told it goes out in the order of the calls.
type Peer struct {
	conn net.Conn
	in   *json.Decoder // one for all: it may have read ahead

	mu     sync.Mutex
	queue  []func() message // made when their turn comes: what is large is not made where others wait
	wake   chan struct{}
	number uint64
	waits  map[uint64]chan message
	gone   bool
}

// Dial asks the process that listens at path, if any, for its state. What is not Later is its state, and Follow must be called
// then, or Close. Where there is none, the error is that of the socket.
func Dial(path string) (p *Peer, what handover.Message, state []byte, err error) {
	conn, err := net.DialTimeout("unix", path, stateTime)
	if err != nil {
		return nil, 0, nil, err
	}
	in := json.NewDecoder(conn)
	conn.SetDeadline(time.Now().Add(stateTime))
	var m message
	if err = json.NewEncoder(conn).Encode(message{Kind: hello, Version: Version}); err == nil {
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
	p.in = in
	return p, m.What, m.State, nil
}

func newPeer(conn net.Conn) *Peer {
	p := &Peer{conn: conn, in: json.NewDecoder(conn), waits: map[uint64]chan message{}, wake: make(chan struct{}, 1)}
	go p.write()
	return p
}

// Follow takes in what the other process says, until it is gone.
func (p *Peer) Follow(node Node) {
	go p.read(node)
}

// Tell tells a word on who serves. State, which may be nil, is called when its turn comes.
func (p *Peer) Tell(what handover.Message, number uint64, state func() []byte) {
	p.push(func() message {
		m := message{Kind: word, What: what, Token: number}
		if state != nil {
			m.State = state()
		}
		return m
	})
}

// Claim asks whether a request may begin here that lasts until then at most. Without an answer it is Busy.
func (p *Peer) Claim(ctx context.Context, id string, until time.Duration) handover.Verdict {
	a, err := p.ask(ctx, message{Kind: claim, ID: id, Until: int64(until)})
	if err != nil {
		return handover.Busy
	}
	return a.Verdict
}

// Ended tells that a request has ended here.
func (p *Peer) Ended(id string) { p.push(func() message { return message{Kind: ended, ID: id} }) }

// Order passes an operator's call on and returns once it is done there. A process that is gone needs no order.
func (p *Peer) Order(ctx context.Context, o Order) error {
	_, err := p.ask(ctx, message{Kind: order, Order: &o})
	if errors.Is(err, ErrGone) {
		return nil
	}
	return err
}

// Close ends the talk, as the end of this process does.
func (p *Peer) Close() error {
	p.finish()
	return p.conn.Close()
}

// finish lets go whoever waits, and takes nothing more.
func (p *Peer) finish() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.gone {
		return
	}
	p.gone, p.queue = true, nil
	close(p.wake)
	for number, answer := range p.waits {
		close(answer)
		delete(p.waits, number)
	}
}

// ask sends a message and waits for its ack.
func (p *Peer) ask(ctx context.Context, m message) (message, error) {
	answer := make(chan message, 1)
	p.mu.Lock()
	if p.gone {
		p.mu.Unlock()
		return message{}, ErrGone
	}
	p.number++
	m.Number = p.number
	p.waits[m.Number] = answer
	p.mu.Unlock()
	p.push(func() message { return m })
	defer func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.waits, m.Number)
	}()
	select {
	case a, ok := <-answer:
		if !ok {
			return a, ErrGone
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
func (p *Peer) push(f func() message) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.gone {
		return
	}
	if len(p.queue) >= mostQueue {
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
func (p *Peer) write() {
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
			p.conn.SetWriteDeadline(time.Now().Add(sendTime))
			if out.Encode(f()) != nil {
				p.conn.Close() // half a message may be out
			}
		}
	}
}

// read takes in the other's messages until it is gone.
func (p *Peer) read(node Node) {
	orders := make(chan message, 100) // they may wait for other processes, and nothing else is to wait for them
	obeyed := make(chan struct{})
	answer := func(m message, a message) {
		a.Kind, a.Number = ack, m.Number
		p.push(func() message { return a })
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
		if p.in.Decode(&m) != nil {
			break
		}
		switch {
		case m.Kind == ack:
			p.mu.Lock()
			if answer := p.waits[m.Number]; answer != nil {
				answer <- m
				delete(p.waits, m.Number)
			}
			p.mu.Unlock()
		case m.Kind == word:
			node.Heard(p, m.What, m.Token, m.State)
		case m.Kind == claim:
			answer(m, message{Verdict: node.Claim(p, m.ID, time.Duration(m.Until))})
		case m.Kind == ended:
			node.Ended(p, m.ID)
		case m.Kind == order && m.Order != nil:
			orders <- m
		default:
			answer(m, message{Error: fmt.Sprintf("message %q is not known", m.Kind)})
		}
	}
	close(orders)
	p.conn.Close()
	p.finish()
	<-obeyed
	node.Gone(p)
}

// Listener waits for successors.
type Listener struct {
	ln   net.Listener
	node Node
	log  *slog.Logger
	own  string
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
	l := &Listener{ln: ln, node: node, log: log, own: name}
	go l.accept()
	return l, nil
}

// Others are the sockets of processes that have listened at path, the one that it leads to first.
func Others(path string) []string {
	all, _ := filepath.Glob(path + ".*") // a pattern of ours
	return append([]string{path}, all...)
}

// Close ends the wait. Successors that were met stay.
func (l *Listener) Close() error {
	os.Remove(l.own)
	return l.ln.Close()
}

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
		go l.meet(conn)
	}
}

// meet answers a successor's hello and then takes in what it says.
func (l *Listener) meet(conn net.Conn) {
	in := json.NewDecoder(conn)
	var m message
	conn.SetReadDeadline(time.Now().Add(stateTime))
	err := in.Decode(&m)
	if err == nil && m.Kind == hello && m.Version != Version {
		err = fmt.Errorf("version %d is spoken here, not %d", Version, m.Version)
		json.NewEncoder(conn).Encode(message{Kind: ack, Error: err.Error()})
	}
	if err != nil || m.Kind != hello {
		l.log.Warn("no successor's hello", "err", err)
		conn.Close()
		return
	}
	conn.SetReadDeadline(time.Time{})
	p := newPeer(conn)
	p.in = in
	l.node.Hello(p)
	p.read(l.node)
}
