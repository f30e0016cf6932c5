package node

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"os"
	"path/filepath"
	"runtime/debug"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"portstall/internal/handover"
	"portstall/internal/state"
	"portstall/internal/upgrade"
)

const (
	// orderTime is how long another process may take over an order that is passed on.
	orderTime = 500 * time.Millisecond
	// claimTime is how long a successor may take to say whether a request may begin here.
	claimTime = 200 * time.Millisecond
	// tickEach is how often what did not work between processes is tried again.
	tickEach = 50 * time.Millisecond
	// helloTime is how long a process that starts waits for one that is just being replaced itself.
	helloTime = 3 * time.Second
	// heirPortion is which portion of the contracts a successor hands out while its predecessor finishes; that has the rest for
	// the requests that still come to it.
	heirPortion = 7.0 / 8
)

// pair is this process's part in a replacement. As long as other processes of this node are there, they are one node with it. The
// machine decides; what it wants is carried out under mu, which comes before the core's lock.
type pair struct {
	node  *node
	up    atomic.Bool // this process takes clients
	phase atomic.Int32
	seeks atomic.Bool   // somebody is looked for
	turn  chan struct{} // the phase has changed; holds one
	// relieved is closed when a successor first serves: tunnels' listeners, which only one process can have, are given up then,
	// and not opened again where the successor ends.
	relieved chan struct{}
	once     sync.Once
	door     *door

	mu       sync.Mutex
	m        handover.Machine
	peers    map[handover.Peer]*upgrade.Peer // all other processes of this node that are known
	names    map[*upgrade.Peer]handover.Peer
	last     handover.Peer
	token    *upgrade.Token // nil: none is needed, or it can't be had
	listener *upgrade.Listener
	kept     *keeping   // nil: nothing is kept on a disk
	orders   [64]uint64 // numbers of the latest orders
	ordered  int
	back     func() // takes back what was lent of the bodies' bytes; nil where the limits are not shared
	over     bool
}

// estate is what a predecessor has handed over.
type estate struct {
	peer  *upgrade.Peer
	state *state.Snapshot
}

// socketPath is where a process meets its successor. There is none where each process has a socket of its own for
// its clients: no two can serve at a time.
func socketPath(cfg Config) string {
	switch {
	case cfg.meet != "":
		return cfg.meet
	case cfg.AcceptFD == 0:
		return ""
	}
	return filepath.Join(os.TempDir(), "portstall.sock")
}

// find asks the processes that listen at path for the state, the one that serves first. A nil estate with later: one is there
// and can't hand over now.
func find(path string, log *slog.Logger) (old *estate, later bool) {
	for _, at := range upgrade.Others(path) {
		peer, what, text, err := upgrade.Dial(at)
		if errors.Is(err, syscall.ECONNREFUSED) && at != path {
			os.Remove(at) // of a process that has ended
		}
		if err != nil {
			if at == path {
				log.Debug("nobody hands over", "socket", at, "reason", err)
			}
			continue
		}
		if what != handover.State {
			peer.Close()
			later = true
			continue
		}
		s, err := state.Decode(text)
		if err != nil {
			log.Error("the predecessor's state makes no sense", "err", err)
			peer.Close()
			continue
		}
		return &estate{peer, s}, false
	}
	return nil, later
}

// inherit asks a predecessor for its estate. Without one, or with one that does not answer, a node starts as ever.
func inherit(cfg Config, log *slog.Logger) *estate {
	path := socketPath(cfg)
	if path == "" {
		return nil
	}
	for end := time.Now().Add(helloTime); ; time.Sleep(tickEach) {
		old, later := find(path, log)
		if old != nil {
			log.Info("taking over", "web servers", len(old.state.Servers), "out by hand", len(old.state.Out), "open requests", len(old.state.Open))
			return old
		}
		if !later || time.Now().After(end) {
			log.Info("starting without a predecessor's state")
			return nil
		}
	}
}

// begin makes it the pair of a node. It is called once, before anything else of it.
func (p *pair) begin(n *node) {
	p.node, p.turn, p.relieved = n, make(chan struct{}, 1), make(chan struct{})
	p.peers, p.names = map[handover.Peer]*upgrade.Peer{}, map[*upgrade.Peer]handover.Peer{}
}

// known gives another process its name. p.mu is held.
func (p *pair) known(peer *upgrade.Peer) handover.Peer {
	if name, known := p.names[peer]; known {
		return name
	}
	p.last++
	p.names[peer], p.peers[p.last] = p.last, peer
	return p.last
}

// predecessor takes up a predecessor's state. The core's lock is held, and nobody else knows the node yet.
func (n *node) predecessor(old *estate) {
	n.pair.mu.Lock()
	from := n.pair.known(old.peer)
	n.pair.m.Before = from
	n.pair.share()
	n.pair.mu.Unlock()
	n.ageing(old.state)
	n.enter(old.state, from)
	n.core.Portion(heirPortion, false)
	old.peer.Follow(n)
}

// do lets the machine take in an event.
func (p *pair) do(event func(m *handover.Machine, env handover.Env)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.over {
		return
	}
	event(&p.m, p)
	p.note()
}

// note tells others of the phase. p.mu is held.
func (p *pair) note() {
	if before := handover.Phase(p.phase.Swap(int32(p.m.Phase))); before != p.m.Phase {
		p.node.log.Debug("hand-over", "phase", p.m.Phase, "before", before)
		select {
		case p.turn <- struct{}{}:
		default:
		}
	}
}

// at is the phase.
func (p *pair) at() handover.Phase { return handover.Phase(p.phase.Load()) }

// yields tells whether a successor has the clients, or is about to.
func (p *pair) yields() bool { return p.at() == handover.Yielding || p.at() == handover.Relieved }

// takeOver is called once this process can serve. It returns at once; the door opens when the clients are its own.
func (n *node) takeOver(d *door) {
	p := &n.pair
	p.door = d
	path := socketPath(n.cfg)
	if path == "" {
		p.do(func(m *handover.Machine, env handover.Env) { m.Alone(env) })
		return
	}
	p.mu.Lock()
	token, err := upgrade.OpenToken(path + "-token")
	if err != nil {
		n.log.Error("nothing tells whether another process serves", "err", err)
	}
	p.token = token
	p.mu.Unlock()
	p.do(func(m *handover.Machine, env handover.Env) { m.Ready(env) })
	go n.retry()
}

// retry tries again what did not work between processes, until the node ends.
func (n *node) retry() {
	tick := time.NewTicker(tickEach)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-n.core.Context().Done():
			return
		}
		n.pair.do(func(m *handover.Machine, env handover.Env) {
			if m.Unsettled() {
				m.Tick(env)
			}
		})
	}
}

// Lock, Unlock and the like make it a handover.Env. They are called with p.mu held.
func (p *pair) Lock() (uint64, bool) {
	if p.token == nil {
		return 0, true
	}
	number, had, err := p.token.Lock()
	if err != nil { // serving matters more
		p.node.log.Error("nothing tells whether another process serves", "err", err)
		return p.m.Number, true
	}
	return number, had
}

func (p *pair) Mark(number uint64) {
	if p.token != nil {
		if err := p.token.Mark(number); err != nil {
			p.node.log.Error("the token can't be marked", "err", err)
		}
	}
}

func (p *pair) Unlock() {
	if p.token != nil {
		p.token.Unlock()
	}
}

func (p *pair) Accept(on bool) {
	p.door.set(on)
	defer p.up.Store(on) // behind it successors find this process
	if on {
		p.kept.begin(p.node)
	} else {
		p.kept.end()
	}
	if !on || p.listener != nil {
		return
	}
	if path := socketPath(p.node.cfg); path != "" {
		l, err := upgrade.Listen(path, p.node, p.node.log)
		if err != nil {
			p.node.log.Error("no successor can take over from this process", "err", err)
		}
		p.listener = l
	}
}

// Yield takes the state and turns to the successor's decisions within one hold of the core's lock: what begins behind the state
// is asked for, what ends behind it is told behind it.
func (p *pair) Yield(to handover.Peer, number uint64) {
	n, peer := p.node, p.peers[to]
	n.core.Lock()
	s := n.snapshot(true)
	n.core.Yield(heir{n, peer})
	n.core.Portion(1-heirPortion, true)
	peer.Tell(handover.Yours, number, n.encoded(s))
	n.core.Unlock()
	p.share()
}

// Resume is alone again. What contracts had left is not known: the successor may have spent it.
func (p *pair) Resume() {
	p.node.core.Lock()
	defer p.node.core.Unlock()
	p.node.core.Yield(nil)
	p.node.core.Portion(1, true)
	p.node.log.Warn("the successor has ended or did not take over: serving again")
}

// Relieve begins what serve goes on with.
func (p *pair) Relieve() {
	p.once.Do(func() { close(p.relieved) })
	p.node.log.Info("a successor serves: finishing what was taken")
}

func (p *pair) Tell(to handover.Peer, what handover.Message) {
	n, peer := p.node, p.peers[to]
	if peer == nil {
		return
	}
	var text func() []byte
	if what == handover.State {
		// An order that comes behind the state must not be lost: this process is known by now, and is told of it behind this.
		n.core.Lock()
		text = n.encoded(n.snapshot(true))
		peer.Tell(what, 0, text)
		n.core.Unlock()
		return
	}
	peer.Tell(what, 0, nil)
}

// encoded is a snapshot as text, once it is asked for.
func (n *node) encoded(s func() *state.Snapshot) func() []byte {
	return func() []byte {
		text, err := state.Encode(s())
		if err != nil {
			n.log.Error("the state can't be handed over", "err", err)
		}
		return text
	}
}

func (p *pair) Seek() {
	if p.seeks.CompareAndSwap(false, true) { // one at a time: a process that is slow to answer is not asked by more and more
		go p.seek()
	}
}

// seek looks who is there.
func (p *pair) seek() {
	defer p.seeks.Store(false)
	old, later := find(socketPath(p.node.cfg), p.node.log)
	if old == nil {
		if !later {
			p.do(func(m *handover.Machine, env handover.Env) { m.NoOne(env) })
		}
		return
	}
	p.mu.Lock()
	if p.over || p.m.Phase != handover.Seeking {
		p.mu.Unlock()
		old.peer.Close()
		return
	}
	from := p.known(old.peer)
	p.take(from, old.state, true)
	p.m.Heard(p, from, handover.State, 0)
	p.note()
	p.share()
	p.mu.Unlock()
	old.peer.Follow(p.node)
}

// take takes up a state. Whole: with list and orders. p.mu is held.
func (p *pair) take(from handover.Peer, s *state.Snapshot, whole bool) {
	n := p.node
	n.core.Lock()
	defer n.core.Unlock()
	n.ageing(s)
	if whole {
		n.enter(s, from)
		n.core.Portion(heirPortion, false)
	} else {
		n.adopt(s, from)
	}
}

// heir asks the successor before each request that still comes here.
type heir struct {
	node *node
	peer *upgrade.Peer
}

func (h heir) Claim(id string, until time.Duration) handover.Verdict {
	ctx, cancel := context.WithTimeout(h.node.core.Context(), claimTime+h.node.cfg.slack)
	defer cancel()
	return h.peer.Claim(ctx, id, until)
}

func (h heir) Ended(id string) { h.peer.Ended(id) }

// Hello, Heard and the like make the node an upgrade.Node.
func (n *node) Hello(peer *upgrade.Peer) {
	n.pair.do(func(m *handover.Machine, env handover.Env) { m.Hello(env, n.pair.known(peer)) })
}

func (n *node) Heard(peer *upgrade.Peer, what handover.Message, number uint64, text []byte) {
	p := &n.pair
	if what == handover.Yours {
		s, err := state.Decode(text)
		if err != nil {
			n.log.Error("the predecessor's last state makes no sense", "err", err)
			peer.Close() // it takes the node back
			return
		}
		p.mu.Lock()
		if p.m.Phase == handover.Asking && p.known(peer) == p.m.Before {
			p.take(p.m.Before, s, false)
		}
		p.mu.Unlock()
	}
	p.do(func(m *handover.Machine, env handover.Env) { m.Heard(env, p.known(peer), what, number) })
	if what == handover.Later && p.at() == handover.Seeking {
		peer.Close() // whoever is found next is dialed anew: two ways to one process would let orders go round
	}
}

func (n *node) Claim(peer *upgrade.Peer, id string, until time.Duration) handover.Verdict {
	n.pair.mu.Lock()
	from := n.pair.known(peer)
	n.pair.mu.Unlock()
	return n.core.Claim(from, id, until)
}

func (n *node) Ended(_ *upgrade.Peer, id string) {
	n.core.Lock()
	defer n.core.Unlock()
	n.core.Ids().Ended(id)
}

// Obey does what an operator told another process, and passes it on to whom that one may not know.
func (n *node) Obey(from *upgrade.Peer, o upgrade.Order) error {
	if !n.pair.fresh(o) {
		return nil // it has come by another way
	}
	switch o.Call {
	case upgrade.Disable, upgrade.Enable:
		n.setDisabled(o) // known there: that counts
	case upgrade.Drain:
		n.drain()
	case upgrade.Resume:
		n.resume()
	default:
		return fmt.Errorf("order %q is not known", o.Call)
	}
	ctx, cancel := context.WithTimeout(n.core.Context(), orderTime+n.cfg.slack)
	defer cancel()
	return n.pair.tell(ctx, from, o)
}

// fresh tells whether an order was not seen before, and notes it: between three processes one can come by two ways.
func (p *pair) fresh(o upgrade.Order) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if o.From == 0 || slices.Contains(p.orders[:], o.From) {
		return o.From == 0
	}
	p.orders[p.ordered%len(p.orders)] = o.From
	p.ordered++
	return true
}

// Gone notes that another process is gone. With the last of them it takes back the whole of the limits.
func (n *node) Gone(peer *upgrade.Peer) {
	p := &n.pair
	p.mu.Lock()
	who := p.known(peer)
	delete(p.names, peer)
	delete(p.peers, who)
	var back func()
	if len(p.peers) == 0 {
		back, p.back = p.back, nil
	}
	n.core.Lock()
	n.core.Ids().Gone(who)
	if p.m.Before == who {
		n.core.Portion(1, false)
	}
	n.core.Unlock()
	p.mu.Unlock()
	n.log.Info("another process of this node is gone")
	if back != nil {
		back()
		n.limits(1)
	}
	p.do(func(m *handover.Machine, env handover.Env) { m.Gone(env, who) })
}

// conclude tells whether this process may end: it was told to, or a successor is there to go on, or a third process serves and the
// one between has ended, and no predecessor is left whose claims are answered here. Nothing changes any more if so.
func (p *pair) conclude() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.m.Ends && (p.m.Phase != handover.Relieved || p.m.Before != 0 || p.m.Heir == 0 && !p.m.Settled()) {
		return false
	}
	p.over = true
	return true
}

// close ends the talk with other processes: this one has nothing more to do.
func (p *pair) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.over = true
	p.kept.end()
	if p.listener != nil {
		p.listener.Close()
	}
	for _, peer := range p.peers {
		peer.Close()
	}
	if p.token != nil {
		p.token.Close()
	}
}

// tell passes an operator's call to the other processes, but for the one that it came from.
func (p *pair) tell(ctx context.Context, from *upgrade.Peer, o upgrade.Order) error {
	if o.From == 0 { // said here
		o.From = rand.Uint64()
		p.fresh(o)
	}
	p.mu.Lock()
	var peers []*upgrade.Peer
	for _, peer := range p.peers {
		if peer != from {
			peers = append(peers, peer)
		}
	}
	p.mu.Unlock()
	var errs error
	for _, peer := range peers {
		errs = errors.Join(errs, peer.Order(ctx, o))
	}
	return errs
}

// share leaves half of the limits to the other process: both count together. p.mu is held.
func (p *pair) share() {
	p.node.limits(2)
	if p.back == nil { // else it is lent already
		p.back = p.node.budget.Lend()
	}
}

// limits sets what this process may use: its part of the node's descriptors and memory.
func (n *node) limits(processes int) {
	n.pool.Resize(n.cfg.poolLimit() / processes)
	n.clients.Resize(n.cfg.clientLimit() / processes)
	if n.cfg.MemoryMB > 0 && n.cfg.process {
		debug.SetMemoryLimit(int64(n.cfg.MemoryMB) << 20 * 3 / 4 / int64(processes))
	}
}
