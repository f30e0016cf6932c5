package node

import (
	"os"
	"path/filepath"
	"runtime/debug"
	"sync"
	"sync/atomic"
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

// shareLimits leaves half of the limits to the other process, as the limits apply to both together. h.mu is held.
func (h *handoverController) shareLimits() {
	h.node.setLimits(2)
	if h.reclaimBudget == nil { // nil: not lent yet
		h.reclaimBudget = h.node.budget.LendToSuccessor()
	}
}

// programPages is about how many bytes of memory the program's own pages take beside what the runtime manages.
const programPages = 8 << 20

// setLimits sets the limits of this process: its share of the node's descriptors and memory.
func (n *node) setLimits(processes int) {
	n.pool.Resize(n.cfg.poolLimit() / processes)
	n.clients.Resize(n.cfg.clientLimit() / processes)
	if n.cfg.MemoryMB > 0 && n.cfg.ownsProcess {
		total := int64(n.cfg.MemoryMB) << 20
		debug.SetMemoryLimit(max(total/4, total*3/4-programPages) / int64(processes)) // a negative limit would be none
	}
}
