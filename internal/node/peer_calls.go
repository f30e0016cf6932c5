package node

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"portstall/internal/handover"
	"portstall/internal/state"
	"portstall/internal/upgrade"
)

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

// Ended reports the end of a request to the successor, and until when its id must not run again.
func (h remoteSuccessor) Ended(id string, until time.Duration) { h.peer.RequestEnded(id, until) }

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
func (n *node) RequestEnded(_ *upgrade.Peer, id string, until time.Duration) {
	n.core.Lock()
	defer n.core.Unlock()
	n.core.RequestIDs().RemoteEnded(n.core.Now(), id, until)
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
	n.core.RequestIDs().RetainOpen(n.core.Now(), id)
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
