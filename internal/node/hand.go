package node

import (
	"context"
	"sync"
	"time"

	"portstall/internal/back"
	"portstall/internal/mgmt"
	"portstall/internal/upgrade"
	"portstall/policy"
)

// hand is which web servers operators took out, by discovery's ids. It is held apart from what discovery tells,
// which can neither undo nor forget it.
type hand struct {
	order    sync.Mutex               // held for the whole of a call: they come one after the other
	disabled map[string]bool          // guarded by the core's lock
	returned map[string]time.Duration // when an id was put back: it counts as started then. Guarded by the core's lock
}

// Disable takes a web server out of service; one that is out already needs no more.
func (n *node) Disable(ctx context.Context, id string) error {
	return n.byHand(ctx, upgrade.Order{Call: upgrade.Disable, ID: id})
}

// Enable puts a web server back. It counts as cold.
func (n *node) Enable(ctx context.Context, id string) error {
	return n.byHand(ctx, upgrade.Order{Call: upgrade.Enable, ID: id})
}

// byHand carries out a call here and in the process that shares this node, if there is one.
func (n *node) byHand(ctx context.Context, o upgrade.Order) error {
	o.At = int64(n.core.Now())
	if !n.knows(o.ID) {
		return mgmt.ErrUnknown
	}
	n.setDisabled(o)
	n.saved()
	return n.pair.tell(ctx, nil, o)
}

// knows tells whether some web server has the id, or had it when it was taken out.
func (n *node) knows(id string) bool {
	n.core.Lock()
	defer n.core.Unlock()
	return n.names[id] != nil || n.hand.disabled[id]
}

func (n *node) setDisabled(o upgrade.Order) {
	n.hand.order.Lock()
	defer n.hand.order.Unlock()
	out := o.Call == upgrade.Disable
	if b, stays := n.disable(o.ID, out, time.Duration(o.At)); b != nil {
		b.Gate.Set(stays) // not under the core's lock: it waits for what is being written
		if out {
			n.opaque.Drain(b.Server)
		}
	}
}

// disable books what operators said of an id and tells the policy. It returns the backend listed under it, if any, and
// whether that is out now.
func (n *node) disable(id string, out bool, at time.Duration) (b *backend, stays bool) {
	n.core.Lock()
	defer n.core.Unlock()
	before := n.hand.disabled[id]
	ev := policy.Event{Kind: policy.EvEnable}
	switch {
	case out:
		ev.Kind = policy.EvDisable
		n.hand.disabled[id] = true
	case before:
		delete(n.hand.disabled, id)
		n.hand.returned[id] = at
	}
	if b = n.names[id]; b == nil {
		return nil, out
	}
	stays = n.keptOut(id, b.number)
	if before != out && stays == out { // else nothing changes, or what else has it out still does
		ev.Server = b.number
		n.core.Handle(&ev)
	}
	return b, stays
}

// keptOut tells whether a web server is out, by hand or by what is said of it. The core's lock is held.
func (n *node) keptOut(id string, number uint32) bool {
	return n.hand.disabled[id] || n.checker.out(number)
}

// listed is called with each list that the policy was handed: a web server out by hand is out also under another
// number. The core's lock is held.
func (h *hand) listed(n *node, now time.Duration) {
	for id := range h.disabled {
		if b := n.names[id]; b != nil {
			n.core.Handle(&policy.Event{Kind: policy.EvDisable, Server: b.number})
		}
	}
	for id, at := range h.returned {
		if now-at > n.set.Load().Policy.ColdFor {
			delete(h.returned, id)
		}
	}
}

// gate returns the gate of an id. The core's lock is held.
func (n *node) gate(id string) *back.Gate {
	if b := n.names[id]; b != nil {
		return b.Gate
	}
	return back.NewGate(n.hand.disabled[id])
}
