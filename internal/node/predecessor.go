package node

import (
	"errors"
	"log/slog"
	"os"
	"syscall"
	"time"

	"portstall/internal/handover"
	"portstall/internal/state"
	"portstall/internal/upgrade"
)

// handedState is a predecessor's state, and the connection to that process.
type handedState struct {
	peer  *upgrade.Peer
	state *state.Snapshot
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
