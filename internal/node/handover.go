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
	orderTimeout = 500 * time.Millisecond
	// claimTime is how long a successor may take to say whether a request may begin here.
	claimTimeout = 200 * time.Millisecond
	// tickEach is how often what did not work between processes is tried again.
	retryInterval = 50 * time.Millisecond
	// helloTime is how long a process that starts waits for one that is just being replaced itself.
	predecessorTimeout = 3 * time.Second
	// heirPortion is which portion of the contracts a successor hands out while its predecessor finishes; that has the rest for
	// the requests that still come to it.
	heirPortion = 7.0 / 8
)

// pair is this process's part in a replacement. As long as other processes of this node are there, they are one node with it. The
// machine decides; what it wants is carried out under mu, which comes before the core's lock.
type pair struct {
	node         *node
	accepting    atomic.Bool // this process takes clients
	phase        atomic.Int32
	seeking      atomic.Bool   // somebody is looked for
	phaseChanged chan struct{} // the phase has changed; holds one
	// relieved is closed when a successor first serves: tunnels' listeners, which only one process can have, are given up then,
	// and not opened again where the successor ends.
	relieved       chan struct{}
	relieveOnce    sync.Once
	clientListener *door

	mu              sync.Mutex
	machine         handover.Machine
	peers           map[handover.Peer]*upgrade.Peer // all other processes of this node that are known
	peerIDs         map[*upgrade.Peer]handover.Peer
	lastPeerID      handover.Peer
	token           *upgrade.Token // nil: none is needed, or it can't be had
	upgradeListener *upgrade.Listener
	persister       *keeping   // nil: nothing is kept on a disk
	seenOrders      [64]uint64 // numbers of the latest orders
	orderCount      int
	reclaimBudget   func() // takes back what was lent of the bodies' bytes; nil where the limits are not shared
	closed          bool
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
func findPredecessor(path string, log *slog.Logger) (old *estate, later bool) {
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
func requestHandedState(cfg Config, log *slog.Logger) *estate {
	path := socketPath(cfg)
	if path == "" {
		return nil
	}
	for end := time.Now().Add(predecessorTimeout); ; time.Sleep(retryInterval) {
		old, later := findPredecessor(path, log)
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
func (h *pair) initialize(n *node) {
	h.node, h.phaseChanged, h.relieved = n, make(chan struct{}, 1), make(chan struct{})
	h.peers, h.peerIDs = map[handover.Peer]*upgrade.Peer{}, map[*upgrade.Peer]handover.Peer{}
}

// known gives another process its name. p.mu is held.
func (h *pair) peerID(peer *upgrade.Peer) handover.Peer {
	if name, known := h.peerIDs[peer]; known {
		return name
	}
	h.lastPeerID++
	h.peerIDs[peer], h.peers[h.lastPeerID] = h.lastPeerID, peer
	return h.lastPeerID
}

// predecessor takes up a predecessor's state. The core's lock is held, and nobody else knows the node yet.
func (n *node) adoptPredecessor(old *estate) {
	n.pair.mu.Lock()
	from := n.pair.peerID(old.peer)
	n.pair.machine.Before = from
	n.pair.shareLimits()
	n.pair.mu.Unlock()
	n.ageSnapshot(old.state)
	n.adoptSnapshot(old.state, from)
	n.core.Portion(heirPortion, false)
	old.peer.Follow(n)
}

// do lets the machine take in an event.
func (h *pair) handle(event func(m *handover.Machine, env handover.Env)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed {
		return
	}
	event(&h.machine, h)
	h.publishPhase()
}

// note tells others of the phase. p.mu is held.
func (h *pair) publishPhase() {
	if before := handover.Phase(h.phase.Swap(int32(h.machine.Phase))); before != h.machine.Phase {
		h.node.log.Debug("hand-over", "phase", h.machine.Phase, "before", before)
		select {
		case h.phaseChanged <- struct{}{}:
		default:
		}
	}
}

// at is the phase.
func (h *pair) currentPhase() handover.Phase { return handover.Phase(h.phase.Load()) }

// yields tells whether a successor has the clients, or is about to.
func (h *pair) yielding() bool {
	return h.currentPhase() == handover.Yielding || h.currentPhase() == handover.Relieved
}

// takeOver is called once this process can serve. It returns at once; the door opens when the clients are its own.
func (n *node) acquireClients(d *door) {
	h := &n.pair
	h.clientListener = d
	path := socketPath(n.cfg)
	if path == "" {
		h.handle(func(m *handover.Machine, env handover.Env) { m.Alone(env) })
		return
	}
	h.mu.Lock()
	token, err := upgrade.OpenToken(path + "-token")
	if err != nil {
		n.log.Error("nothing tells whether another process serves", "err", err)
	}
	h.token = token
	h.mu.Unlock()
	h.handle(func(m *handover.Machine, env handover.Env) { m.Ready(env) })
	go n.retryHandover()
}

// retry tries again what did not work between processes, until the node ends.
func (n *node) retryHandover() {
	tick := time.NewTicker(retryInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-n.core.Context().Done():
			return
		}
		n.pair.handle(func(m *handover.Machine, env handover.Env) {
			if m.Unsettled() {
				m.Tick(env)
			}
		})
	}
}

// Lock, Unlock and the like make it a handover.Env. They are called with p.mu held.
func (h *pair) Lock() (uint64, bool) {
	if h.token == nil {
		return 0, true
	}
	number, had, err := h.token.Lock()
	if err != nil { // serving matters more
		h.node.log.Error("nothing tells whether another process serves", "err", err)
		return h.machine.Number, true
	}
	return number, had
}

func (h *pair) Mark(number uint64) {
	if h.token != nil {
		if err := h.token.Mark(number); err != nil {
			h.node.log.Error("the token can't be marked", "err", err)
		}
	}
}

func (h *pair) Unlock() {
	if h.token != nil {
		h.token.Unlock()
	}
}

func (h *pair) Accept(on bool) {
	h.clientListener.setOpen(on)
	defer h.accepting.Store(on) // behind it successors find this process
	if on {
		h.persister.start(h.node)
	} else {
		h.persister.stop()
	}
	if !on || h.upgradeListener != nil {
		return
	}
	if path := socketPath(h.node.cfg); path != "" {
		l, err := upgrade.Listen(path, h.node, h.node.log)
		if err != nil {
			h.node.log.Error("no successor can take over from this process", "err", err)
		}
		h.upgradeListener = l
	}
}

// Yield takes the state and turns to the successor's decisions within one hold of the core's lock: what begins behind the state
// is asked for, what ends behind it is told behind it.
func (h *pair) Yield(to handover.Peer, number uint64) {
	n, peer := h.node, h.peers[to]
	n.core.Lock()
	s := n.snapshot(true)
	n.core.Yield(heir{n, peer})
	n.core.Portion(1-heirPortion, true)
	peer.Tell(handover.Yours, number, n.stateEncoder(s))
	n.core.Unlock()
	h.shareLimits()
}

// Resume is alone again. What contracts had left is not known: the successor may have spent it.
func (h *pair) Resume() {
	h.node.core.Lock()
	defer h.node.core.Unlock()
	h.node.core.Yield(nil)
	h.node.core.Portion(1, true)
	h.node.log.Warn("the successor has ended or did not take over: serving again")
}

// Relieve begins what serve goes on with.
func (h *pair) Relieve() {
	h.relieveOnce.Do(func() { close(h.relieved) })
	h.node.log.Info("a successor serves: finishing what was taken")
}

func (h *pair) Tell(to handover.Peer, what handover.Message) {
	n, peer := h.node, h.peers[to]
	if peer == nil {
		return
	}
	var text func() []byte
	if what == handover.State {
		// An order that comes behind the state must not be lost: this process is known by now, and is told of it behind this.
		n.core.Lock()
		text = n.stateEncoder(n.snapshot(true))
		peer.Tell(what, 0, text)
		n.core.Unlock()
		return
	}
	peer.Tell(what, 0, nil)
}

// encoded is a snapshot as text, once it is asked for.
func (n *node) stateEncoder(s func() *state.Snapshot) func() []byte {
	return func() []byte {
		text, err := state.Encode(s())
		if err != nil {
			n.log.Error("the state can't be handed over", "err", err)
		}
		return text
	}
}

func (h *pair) Seek() {
	if h.seeking.CompareAndSwap(false, true) { // one at a time: a process that is slow to answer is not asked by more and more
		go h.findServingProcess()
	}
}

// seek looks who is there.
func (h *pair) findServingProcess() {
	defer h.seeking.Store(false)
	old, later := findPredecessor(socketPath(h.node.cfg), h.node.log)
	if old == nil {
		if !later {
			h.handle(func(m *handover.Machine, env handover.Env) { m.NoOne(env) })
		}
		return
	}
	h.mu.Lock()
	if h.closed || h.machine.Phase != handover.Seeking {
		h.mu.Unlock()
		old.peer.Close()
		return
	}
	from := h.peerID(old.peer)
	h.adoptState(from, old.state, true)
	h.machine.Heard(h, from, handover.State, 0)
	h.publishPhase()
	h.shareLimits()
	h.mu.Unlock()
	old.peer.Follow(h.node)
}

// take takes up a state. Whole: with list and orders. p.mu is held.
func (h *pair) adoptState(from handover.Peer, s *state.Snapshot, whole bool) {
	n := h.node
	n.core.Lock()
	defer n.core.Unlock()
	n.ageSnapshot(s)
	if whole {
		n.adoptSnapshot(s, from)
		n.core.Portion(heirPortion, false)
	} else {
		n.adoptRuntimeState(s, from)
	}
}

// heir asks the successor before each request that still comes here.
type heir struct {
	node *node
	peer *upgrade.Peer
}

func (h heir) Claim(id string, until time.Duration) handover.Verdict {
	ctx, cancel := context.WithTimeout(h.node.core.Context(), claimTimeout+h.node.cfg.slack)
	defer cancel()
	return h.peer.Claim(ctx, id, until)
}

func (h heir) Ended(id string) { h.peer.Ended(id) }

// Hello, Heard and the like make the node an upgrade.Node.
func (n *node) Hello(peer *upgrade.Peer) {
	n.pair.handle(func(m *handover.Machine, env handover.Env) { m.Hello(env, n.pair.peerID(peer)) })
}

func (n *node) Heard(peer *upgrade.Peer, what handover.Message, number uint64, text []byte) {
	h := &n.pair
	if what == handover.Yours {
		s, err := state.Decode(text)
		if err != nil {
			n.log.Error("the predecessor's last state makes no sense", "err", err)
			peer.Close() // it takes the node back
			return
		}
		h.mu.Lock()
		if h.machine.Phase == handover.Asking && h.peerID(peer) == h.machine.Before {
			h.adoptState(h.machine.Before, s, false)
		}
		h.mu.Unlock()
	}
	h.handle(func(m *handover.Machine, env handover.Env) { m.Heard(env, h.peerID(peer), what, number) })
	if what == handover.Later && h.currentPhase() == handover.Seeking {
		peer.Close() // whoever is found next is dialed anew: two ways to one process would let orders go round
	}
}

func (n *node) Claim(peer *upgrade.Peer, id string, until time.Duration) handover.Verdict {
	n.pair.mu.Lock()
	from := n.pair.peerID(peer)
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
	if !n.pair.isNewOrder(o) {
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
	ctx, cancel := context.WithTimeout(n.core.Context(), orderTimeout+n.cfg.slack)
	defer cancel()
	return n.pair.tell(ctx, from, o)
}

// fresh tells whether an order was not seen before, and notes it: between three processes one can come by two ways.
func (h *pair) isNewOrder(o upgrade.Order) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if o.From == 0 || slices.Contains(h.seenOrders[:], o.From) {
		return o.From == 0
	}
	h.seenOrders[h.orderCount%len(h.seenOrders)] = o.From
	h.orderCount++
	return true
}

// Gone notes that another process is gone. With the last of them it takes back the whole of the limits.
func (n *node) Gone(peer *upgrade.Peer) {
	h := &n.pair
	h.mu.Lock()
	who := h.peerID(peer)
	delete(h.peerIDs, peer)
	delete(h.peers, who)
	var back func()
	if len(h.peers) == 0 {
		back, h.reclaimBudget = h.reclaimBudget, nil
	}
	n.core.Lock()
	n.core.Ids().Gone(who)
	if h.machine.Before == who {
		n.core.Portion(1, false)
	}
	n.core.Unlock()
	h.mu.Unlock()
	n.log.Info("another process of this node is gone")
	if back != nil {
		back()
		n.setLimits(1)
	}
	h.handle(func(m *handover.Machine, env handover.Env) { m.Gone(env, who) })
}

// conclude tells whether this process may end: it was told to, or a successor is there to go on, or a third process serves and the
// one between has ended, and no predecessor is left whose claims are answered here. Nothing changes any more if so.
func (h *pair) tryEnd() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.machine.Ends && (h.machine.Phase != handover.Relieved || h.machine.Before != 0 || h.machine.Heir == 0 && !h.machine.Settled()) {
		return false
	}
	h.closed = true
	return true
}

// close ends the talk with other processes: this one has nothing more to do.
func (h *pair) close() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.closed = true
	h.persister.stop()
	if h.upgradeListener != nil {
		h.upgradeListener.Close()
	}
	for _, peer := range h.peers {
		peer.Close()
	}
	if h.token != nil {
		h.token.Close()
	}
}

// tell passes an operator's call to the other processes, but for the one that it came from.
func (h *pair) tell(ctx context.Context, from *upgrade.Peer, o upgrade.Order) error {
	if o.From == 0 { // said here
		o.From = rand.Uint64()
		h.isNewOrder(o)
	}
	h.mu.Lock()
	var peers []*upgrade.Peer
	for _, peer := range h.peers {
		if peer != from {
			peers = append(peers, peer)
		}
	}
	h.mu.Unlock()
	var errs error
	for _, peer := range peers {
		errs = errors.Join(errs, peer.Order(ctx, o))
	}
	return errs
}

// share leaves half of the limits to the other process: both count together. p.mu is held.
func (h *pair) shareLimits() {
	h.node.setLimits(2)
	if h.reclaimBudget == nil { // else it is lent already
		h.reclaimBudget = h.node.budget.Lend()
	}
}

// limits sets what this process may use: its part of the node's descriptors and memory.
func (n *node) setLimits(processes int) {
	n.pool.Resize(n.cfg.poolLimit() / processes)
	n.clients.Resize(n.cfg.clientLimit() / processes)
	if n.cfg.MemoryMB > 0 && n.cfg.process {
		debug.SetMemoryLimit(int64(n.cfg.MemoryMB) << 20 * 3 / 4 / int64(processes))
	}
}
