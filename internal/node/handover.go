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
	// orderTimeout is how long another process may take to carry out an operator's order that is forwarded to it.
	orderTimeout = 500 * time.Millisecond
	// claimTimeout is how long a successor may take to say whether a request may begin here.
	claimTimeout = 200 * time.Millisecond
	// retryInterval is the time between retries of a hand-over step that has failed.
	retryInterval = 50 * time.Millisecond
	// predecessorTimeout is how long a starting process waits for one that is being replaced itself at the moment.
	predecessorTimeout = 3 * time.Second
	// successorShare is the share of the contracts that a successor grants while its predecessor finishes; the
	// predecessor keeps the rest for requests that still reach it.
	successorShare = 7.0 / 8
)

// handoverController is this process's side of a hand-over. As long as other processes of this node run, they and this
// one act as one node. The state machine decides, and its decisions are carried out under mu, which comes before the
// core's lock. The node owns it.
type handoverController struct {
	node         *node
	accepting    atomic.Bool // this process accepts clients
	phase        atomic.Int32
	searching    atomic.Bool   // another serving process is being looked for
	phaseChanged chan struct{} // signals that the phase has changed; buffer of one
	// replaced is closed when a successor first serves. Tunnel listeners, which only one process can have, are closed
	// then and not opened again, even if the successor exits.
	replaced       chan struct{}
	replacedOnce   sync.Once
	clientListener *sharedListener

	mu              sync.Mutex
	machine         handover.Machine
	peers           map[handover.Peer]*upgrade.Peer // all known other processes of this node
	peerIDs         map[*upgrade.Peer]handover.Peer
	lastPeerID      handover.Peer
	token           *upgrade.Token // nil: it is not needed, or not available
	upgradeListener *upgrade.Listener
	persister       *persister // nil: no state is stored on disk
	seenOrders      [64]uint64 // random ids of the latest orders, a ring buffer
	orderCount      int
	reclaimBudget   func() // takes back the lent share of the body budget; nil where the limits are not shared
	closed          bool
}

// handedState is a predecessor's state, and the connection to that process.
type handedState struct {
	peer  *upgrade.Peer
	state *state.Snapshot
}

// socketPath returns the path of the socket on which a process meets its successor. It is empty where each process has
// its own socket for clients: then no two can serve at a time.
func socketPath(cfg Config) string {
	switch {
	case cfg.upgradeSocket != "":
		return cfg.upgradeSocket
	case cfg.AcceptFD == 0:
		return ""
	}
	return filepath.Join(os.TempDir(), "portstall.sock")
}

// findPredecessor asks the processes that listen at path for their state, the serving one first. A nil result with
// later set means that a process is there and cannot hand over now.
func findPredecessor(path string, log *slog.Logger) (old *handedState, later bool) {
	for _, at := range upgrade.ListenerPaths(path) {
		peer, what, text, err := upgrade.Dial(at)
		if errors.Is(err, syscall.ECONNREFUSED) && at != path {
			os.Remove(at) // left behind by a process that has ended
		}
		if err != nil {
			if at == path {
				log.Debug("no process hands over", "socket", at, "reason", err)
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
			log.Error("cannot decode the predecessor's state", "err", err)
			peer.Close()
			continue
		}
		return &handedState{peer, s}, false
	}
	return nil, later
}

// requestHandedState asks a predecessor for its state. It returns nil if there is none or it does not reply: the node
// then starts without.
func requestHandedState(cfg Config, log *slog.Logger) *handedState {
	path := socketPath(cfg)
	if path == "" {
		return nil
	}
	for end := time.Now().Add(predecessorTimeout); ; time.Sleep(retryInterval) {
		old, later := findPredecessor(path, log)
		if old != nil {
			log.Info("adopting the predecessor's state", "web_servers", len(old.state.Servers), "disabled_by_operator", len(old.state.Disabled), "open_requests", len(old.state.OpenRequests))
			return old
		}
		if !later || time.Now().After(end) {
			log.Info("starting without a predecessor's state")
			return nil
		}
	}
}

// initialize prepares the controller of a node. It is called once, before anything else of it.
func (h *handoverController) initialize(n *node) {
	h.node, h.phaseChanged, h.replaced = n, make(chan struct{}, 1), make(chan struct{})
	h.peers, h.peerIDs = map[handover.Peer]*upgrade.Peer{}, map[*upgrade.Peer]handover.Peer{}
}

// peerID returns the state machine's id of another process, and assigns one to a new one. h.mu is held.
func (h *handoverController) peerID(peer *upgrade.Peer) handover.Peer {
	if id, known := h.peerIDs[peer]; known {
		return id
	}
	h.lastPeerID++
	h.peerIDs[peer], h.peers[h.lastPeerID] = h.lastPeerID, peer
	return h.lastPeerID
}

// adoptPredecessor adopts a predecessor's state. The core's lock is held, and nothing else knows the node yet.
func (n *node) adoptPredecessor(old *handedState) {
	n.handover.mu.Lock()
	from := n.handover.peerID(old.peer)
	n.handover.machine.Predecessor = from
	n.handover.shareLimits()
	n.handover.mu.Unlock()
	n.ageSnapshot(old.state)
	n.adoptSnapshot(old.state, from)
	n.core.SetProcessShare(successorShare, false)
	old.peer.Receive(n)
}

// handle passes an event to the state machine.
func (h *handoverController) handle(event func(m *handover.Machine, env handover.Env)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed {
		return
	}
	event(&h.machine, h)
	h.publishPhase()
}

// publishPhase makes a change of phase visible outside the controller. h.mu is held.
func (h *handoverController) publishPhase() {
	if before := handover.Phase(h.phase.Swap(int32(h.machine.Phase))); before != h.machine.Phase {
		h.node.log.Debug("hand-over", "phase", h.machine.Phase, "before", before)
		select {
		case h.phaseChanged <- struct{}{}:
		default:
		}
	}
}

// currentPhase returns the latest published phase.
func (h *handoverController) currentPhase() handover.Phase { return handover.Phase(h.phase.Load()) }

// handingOver reports whether a successor has the clients, or is about to get them.
func (h *handoverController) handingOver() bool {
	return h.currentPhase() == handover.Transferring || h.currentPhase() == handover.Finishing
}

// acquireClients is called once this process can serve. It returns at once; the listener opens when the clients are its
// own.
func (n *node) acquireClients(listener *sharedListener) {
	h := &n.handover
	h.clientListener = listener
	path := socketPath(n.cfg)
	if path == "" {
		h.handle(func(m *handover.Machine, env handover.Env) { m.ServeAlone(env) })
		return
	}
	h.mu.Lock()
	token, err := upgrade.OpenToken(path + "-token")
	if err != nil {
		n.log.Error("cannot open the hand-over token: unknown whether another process serves", "err", err)
	}
	h.token = token
	h.mu.Unlock()
	h.handle(func(m *handover.Machine, env handover.Env) { m.ReadyToServe(env) })
	go n.retryHandover()
}

// retryHandover retries failed steps of the hand-over until the node ends.
func (n *node) retryHandover() {
	tick := time.NewTicker(retryInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-n.core.Context().Done():
			return
		}
		n.handover.handle(func(m *handover.Machine, env handover.Env) {
			if m.NeedsTick() {
				m.Tick(env)
			}
		})
	}
}

// LockToken acquires the token, and returns its number and whether it was acquired. LockToken and the methods up to
// Search implement handover.Env; they are called with h.mu held.
func (h *handoverController) LockToken() (uint64, bool) {
	if h.token == nil {
		return 0, true
	}
	number, held, err := h.token.Lock()
	if err != nil { // serving takes precedence over the token
		h.node.log.Error("cannot lock the hand-over token: unknown whether another process serves", "err", err)
		return h.machine.TokenNumber, true
	}
	return number, held
}

// SetTokenNumber writes a number to the token.
func (h *handoverController) SetTokenNumber(number uint64) {
	if h.token != nil {
		if err := h.token.SetNumber(number); err != nil {
			h.node.log.Error("cannot mark the hand-over token", "err", err)
		}
	}
}

// UnlockToken releases the token.
func (h *handoverController) UnlockToken() {
	if h.token != nil {
		h.token.Unlock()
	}
}

// SetAccepting opens or closes the clients' listener, and starts or stops storing the state. The first time that the
// listener opens, this process also begins to listen for successors.
func (h *handoverController) SetAccepting(on bool) {
	h.clientListener.setOpen(on)
	defer h.accepting.Store(on) // successors find this process from then on
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
			h.node.log.Error("cannot listen for successors: none can take over from this process", "err", err)
		}
		h.upgradeListener = l
	}
}

// TransferTo takes a snapshot of the state and transfers the decisions to the successor within one hold of the core's
// lock. From then on the successor is asked before each request begins, and is notified of the end of each.
func (h *handoverController) TransferTo(to handover.Peer, number uint64) {
	n, peer := h.node, h.peers[to]
	n.core.Lock()
	s := n.snapshot(true)
	n.core.SetSuccessor(remoteSuccessor{n, peer})
	n.core.SetProcessShare(1-successorShare, true)
	peer.Send(handover.Transfer, number, n.stateEncoder(s))
	n.core.Unlock()
	h.shareLimits()
}

// Resume makes this process decide alone again. What is left of the contracts' budgets is not known: the successor may
// have spent it.
func (h *handoverController) Resume() {
	h.node.core.Lock()
	defer h.node.core.Unlock()
	h.node.core.SetSuccessor(nil)
	h.node.core.SetProcessShare(1, true)
	h.node.log.Warn("the successor has exited or did not take over: serving again")
}

// FinishRequests closes replaced. serve finishes the accepted requests once it sees the change of phase.
func (h *handoverController) FinishRequests() {
	h.replacedOnce.Do(func() { close(h.replaced) })
	h.node.log.Info("a successor serves: finishing accepted requests")
}

// Send sends a message to another process. handover.State carries the state.
func (h *handoverController) Send(to handover.Peer, what handover.Message) {
	n, peer := h.node, h.peers[to]
	if peer == nil {
		return
	}
	var text func() []byte
	if what == handover.State {
		// An order that arrives after the snapshot was taken must not be lost. The other process is already among the
		// peers, so the order is forwarded to it after the state.
		n.core.Lock()
		text = n.stateEncoder(n.snapshot(true))
		peer.Send(what, 0, text)
		n.core.Unlock()
		return
	}
	peer.Send(what, 0, nil)
}

// stateEncoder returns a function that encodes a snapshot; the work is done when it is called.
func (n *node) stateEncoder(s func() *state.Snapshot) func() []byte {
	return func() []byte {
		text, err := state.Encode(s())
		if err != nil {
			n.log.Error("cannot encode the state for the hand-over", "err", err)
		}
		return text
	}
}

// Search starts looking for another serving process, unless a search is running.
func (h *handoverController) Search() {
	if h.searching.CompareAndSwap(false, true) { // one at a time, so that a process that is slow to reply does not get more and more calls
		go h.findServingProcess()
	}
}

// findServingProcess looks for another serving process, adopts its state and reports the result to the state machine.
func (h *handoverController) findServingProcess() {
	defer h.searching.Store(false)
	old, later := findPredecessor(socketPath(h.node.cfg), h.node.log)
	if old == nil {
		if !later {
			h.handle(func(m *handover.Machine, env handover.Env) { m.NoneFound(env) })
		}
		return
	}
	h.mu.Lock()
	if h.closed || h.machine.Phase != handover.Searching {
		h.mu.Unlock()
		old.peer.Close()
		return
	}
	from := h.peerID(old.peer)
	h.adoptState(from, old.state, true)
	h.machine.Received(h, from, handover.State, 0)
	h.publishPhase()
	h.shareLimits()
	h.mu.Unlock()
	old.peer.Receive(h.node)
}

// adoptState adopts a state: with full set, all of it; otherwise only what changes with each request, without the server
// list and the operators' orders. h.mu is held.
func (h *handoverController) adoptState(from handover.Peer, s *state.Snapshot, full bool) {
	n := h.node
	n.core.Lock()
	defer n.core.Unlock()
	n.ageSnapshot(s)
	if full {
		n.adoptSnapshot(s, from)
		n.core.SetProcessShare(successorShare, false)
	} else {
		n.adoptRuntimeState(s, from)
	}
}

// remoteSuccessor asks the successor before each request that still arrives here. It is a core.Successor.
type remoteSuccessor struct {
	node *node
	peer *upgrade.Peer
}

// Claim asks whether the request may begin here, and waits for claimTimeout at most.
func (h remoteSuccessor) Claim(id string, until time.Duration) handover.Verdict {
	ctx, cancel := context.WithTimeout(h.node.core.Context(), claimTimeout+h.node.cfg.slack)
	defer cancel()
	return h.peer.Claim(ctx, id, until)
}

// Ended reports the end of a request to the successor.
func (h remoteSuccessor) Ended(id string) { h.peer.RequestEnded(id) }

// StateRequested handles the first call of another process, which asks for the state. StateRequested, Received, Claim,
// RequestEnded, Execute and PeerExited implement upgrade.Node.
func (n *node) StateRequested(peer *upgrade.Peer) {
	n.handover.handle(func(m *handover.Machine, env handover.Env) { m.StateRequested(env, n.handover.peerID(peer)) })
}

// Received handles a message of another process. handover.Transfer carries the predecessor's last state, which is
// adopted first.
func (n *node) Received(peer *upgrade.Peer, what handover.Message, number uint64, text []byte) {
	h := &n.handover
	if what == handover.Transfer {
		s, err := state.Decode(text)
		if err != nil {
			n.log.Error("cannot decode the predecessor's last state", "err", err)
			peer.Close() // the predecessor then serves again
			return
		}
		h.mu.Lock()
		if h.machine.Phase == handover.Requesting && h.peerID(peer) == h.machine.Predecessor {
			h.adoptState(h.machine.Predecessor, s, false)
		}
		h.mu.Unlock()
	}
	h.handle(func(m *handover.Machine, env handover.Env) { m.Received(env, h.peerID(peer), what, number) })
	if what == handover.NotServing && h.currentPhase() == handover.Searching {
		peer.Close() // the next process found is dialed anew: over two connections to one process orders would circulate
	}
}

// Claim decides whether a request that another process has received may begin there.
func (n *node) Claim(peer *upgrade.Peer, id string, until time.Duration) handover.Verdict {
	n.handover.mu.Lock()
	from := n.handover.peerID(peer)
	n.handover.mu.Unlock()
	return n.core.Claim(from, id, until)
}

// RequestEnded records the end of a request at another process.
func (n *node) RequestEnded(_ *upgrade.Peer, id string) {
	n.core.Lock()
	defer n.core.Unlock()
	n.core.RequestIDs().RemoteEnded(id)
}

// Execute carries out an operator's order that was given at another process, and forwards it to processes that the other
// one may not know.
func (n *node) Execute(from *upgrade.Peer, o upgrade.Order) error {
	if !n.handover.isNewOrder(o) {
		return nil // it has already arrived over another connection
	}
	switch o.Call {
	case upgrade.Disable, upgrade.Enable:
		n.setDisabled(o) // whether the id is known was checked where the order was given
	case upgrade.Drain:
		n.drain()
	case upgrade.Resume:
		n.resume()
	default:
		return fmt.Errorf("unknown order %q", o.Call)
	}
	ctx, cancel := context.WithTimeout(n.core.Context(), orderTimeout+n.cfg.slack)
	defer cancel()
	return n.handover.forwardOrder(ctx, from, o)
}

// isNewOrder reports whether an order was not seen before, and records it: among three processes one can arrive over
// two connections.
func (h *handoverController) isNewOrder(o upgrade.Order) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if o.From == 0 || slices.Contains(h.seenOrders[:], o.From) {
		return o.From == 0
	}
	h.seenOrders[h.orderCount%len(h.seenOrders)] = o.From
	h.orderCount++
	return true
}

// PeerExited records that another process has exited or closed its connection. After the last of them this process uses
// the full limits again.
func (n *node) PeerExited(peer *upgrade.Peer) {
	h := &n.handover
	h.mu.Lock()
	id := h.peerID(peer)
	delete(h.peerIDs, peer)
	delete(h.peers, id)
	var reclaim func()
	if len(h.peers) == 0 {
		reclaim, h.reclaimBudget = h.reclaimBudget, nil
	}
	n.core.Lock()
	n.core.RequestIDs().PeerExited(id)
	if h.machine.Predecessor == id {
		n.core.SetProcessShare(1, false)
	}
	n.core.Unlock()
	h.mu.Unlock()
	n.log.Info("lost the connection to another process of this node")
	if reclaim != nil {
		reclaim()
		n.setLimits(1)
	}
	h.handle(func(m *handover.Machine, env handover.Env) { m.PeerExited(env, id) })
}

// tryEnd reports whether this process may end, and closes the controller if so: nothing changes afterwards. It may end
// if it was asked to stop. Otherwise no predecessor may be left whose claims this process answers, and there must be a
// successor, or, if that has exited, another process must have taken over from it.
func (h *handoverController) tryEnd() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.machine.Stopping && (h.machine.Phase != handover.Finishing || h.machine.Predecessor != 0 || h.machine.Successor == 0 && !h.machine.RetakeTimedOut()) {
		return false
	}
	h.closed = true
	return true
}

// close ends the communication with other processes: this one has nothing more to do.
func (h *handoverController) close() {
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

// forwardOrder forwards an operator's order to the other processes except the one that it came from.
func (h *handoverController) forwardOrder(ctx context.Context, from *upgrade.Peer, o upgrade.Order) error {
	if o.From == 0 { // given at this process
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
		errs = errors.Join(errs, peer.SendOrder(ctx, o))
	}
	return errs
}

// shareLimits leaves half of the limits to the other process, as the limits apply to both together. h.mu is held.
func (h *handoverController) shareLimits() {
	h.node.setLimits(2)
	if h.reclaimBudget == nil { // nil: not lent yet
		h.reclaimBudget = h.node.budget.LendToSuccessor()
	}
}

// setLimits sets the limits of this process: its share of the node's descriptors and memory.
func (n *node) setLimits(processes int) {
	n.pool.Resize(n.cfg.poolLimit() / processes)
	n.clients.Resize(n.cfg.clientLimit() / processes)
	if n.cfg.MemoryMB > 0 && n.cfg.ownsProcess {
		debug.SetMemoryLimit(int64(n.cfg.MemoryMB) << 20 * 3 / 4 / int64(processes))
	}
}
