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

// operatorOverrides records which web servers operators disabled, by discovery's IDs. It is separate from discovery's
// list, which can neither undo nor forget an override.
type operatorOverrides struct {
	callMu    sync.Mutex               // held during a call, so that calls are carried out one after the other
	disabled  map[string]bool          // guarded by the core's lock
	enabledAt map[string]time.Duration // when an ID was enabled again: its server counts as started then. Guarded by the core's lock
}

// Disable takes a web server out of service. For one that is disabled already it changes nothing.
func (n *node) Disable(ctx context.Context, id string) error {
	return n.applyOverride(ctx, upgrade.Order{Call: upgrade.Disable, ID: id})
}

// Enable puts a web server back into service. It counts as cold.
func (n *node) Enable(ctx context.Context, id string) error {
	return n.applyOverride(ctx, upgrade.Order{Call: upgrade.Enable, ID: id})
}

// applyOverride carries out an operator's call here and in the other process of this node, if there is one.
func (n *node) applyOverride(ctx context.Context, order upgrade.Order) error {
	order.At = int64(n.core.Now())
	if !n.knowsServer(order.ID) {
		return mgmt.ErrUnknownServer
	}
	n.setDisabled(order)
	n.persistNow()
	return n.handover.forwardOrder(ctx, nil, order)
}

// knowsServer reports whether a web server has the ID, or had it when it was disabled.
func (n *node) knowsServer(id string) bool {
	n.core.Lock()
	defer n.core.Unlock()
	return n.serversByID[id] != nil || n.overrides.disabled[id]
}

// setDisabled applies an operator's order, without storing it or sending it on.
func (n *node) setDisabled(order upgrade.Order) {
	n.overrides.callMu.Lock()
	defer n.overrides.callMu.Unlock()
	disable := order.Call == upgrade.Disable
	if server, stillOut := n.recordOverride(order.ID, disable, time.Duration(order.At)); server != nil {
		server.Gate.SetClosed(stillOut) // not under the core's lock: it waits for writes under way
		if disable {
			n.opaque.Drain(server.Server)
		}
	}
}

// recordOverride records an operator's call for an ID and notifies the policy. It returns the server listed under the
// ID, if any, and whether that is out of service now.
func (n *node) recordOverride(id string, disable bool, at time.Duration) (server *webServer, stillOut bool) {
	n.core.Lock()
	defer n.core.Unlock()
	before := n.overrides.disabled[id]
	event := policy.Event{Kind: policy.EvEnable}
	switch {
	case disable:
		event.Kind = policy.EvDisable
		n.overrides.disabled[id] = true
	case before:
		delete(n.overrides.disabled, id)
		n.overrides.enabledAt[id] = at
	}
	if server = n.serversByID[id]; server == nil {
		return nil, disable
	}
	stillOut = n.outOfService(id, server.number)
	if before != disable && stillOut == disable { // otherwise nothing changes, or a health verdict still keeps the server out
		event.Server = server.number
		n.core.Handle(&event)
	}
	return server, stillOut
}

// outOfService reports whether an operator or a health verdict has a web server out of service. The core's lock is held.
func (n *node) outOfService(id string, number uint32) bool {
	return n.overrides.disabled[id] || n.checker.isUnhealthy(number)
}

// reapply is called after each list that was passed to the policy: a disabled web server stays disabled under a new
// number. The core's lock is held.
func (o *operatorOverrides) reapply(n *node, now time.Duration) {
	for id := range o.disabled {
		if server := n.serversByID[id]; server != nil {
			n.core.Handle(&policy.Event{Kind: policy.EvDisable, Server: server.number})
		}
	}
	for id, at := range o.enabledAt {
		if now-at > n.settings.Load().Policy.ColdFor {
			delete(o.enabledAt, id)
		}
	}
}

// gateFor returns the gate of an ID. The core's lock is held.
func (n *node) gateFor(id string) *back.Gate {
	if server := n.serversByID[id]; server != nil {
		return server.Gate
	}
	return back.NewGate(n.overrides.disabled[id])
}
