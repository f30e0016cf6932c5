package node

import (
	"cmp"
	"math"
	"slices"
	"time"

	"portstall/internal/back"
	"portstall/internal/endpoints"
	"portstall/policy"
)

// maxStartedMS is the largest start time in ms that a time.Duration holds. A later one would overflow to the distant past,
// so that a new process would be taken for a warm one.
const maxStartedMS = math.MaxInt64 / int64(time.Millisecond)

// clockTolerance is how far the clocks of discovery and of this node may differ.
const clockTolerance = time.Minute

// listUpdate is one application of a server list.
type listUpdate struct {
	node      *node
	announced time.Duration // when the list arrived, on the node's clock
	// older is set for a full list that may be older than the one in force: its sender may lag behind the discovery that
	// announced the newer one, or may have started its version numbers again. Such a list does not bring back a server
	// that was announced as draining or removed; a later list does, and so does a later start of the server.
	older   bool
	listed  map[string]bool  // ids in the list
	latest  map[string]int64 // start of the latest process at each address in the list, in Unix ms
	entries []policy.Entry   // what the policy is told
}

// applyList updates the node's web servers and passes the list to the policy. The core's lock is held.
func (n *node) applyList(update *endpoints.List, kind policy.ListKind) {
	u := listUpdate{node: n, announced: cmp.Or(update.ReceivedAt, n.core.Now()), listed: make(map[string]bool, len(update.Servers)),
		older: kind == policy.ListFull && update.Version < n.listVersion, entries: make([]policy.Entry, 0, len(update.Servers))}
	n.listVersion = update.Version
	u.latest = make(map[string]int64, len(update.Servers))
	for i := range update.Servers {
		item := &update.Servers[i]
		u.listed[item.ID] = true
		if item.State != "Gone" && u.hasStarted(item) {
			u.latest[item.Addr] = max(u.latest[item.Addr], item.StartedMS)
		}
	}
	for i := range update.Servers {
		u.apply(&update.Servers[i])
	}
	if kind != policy.ListDelta {
		for id, server := range n.serversByID {
			if !u.listed[id] {
				n.removeServer(server, u.announced)
			}
		}
	}
	n.core.Handle(&policy.Event{Kind: policy.EvList, List: kind, Entries: u.entries})
	n.overrides.reapply(n, n.core.Now())
	if n.checker != nil {
		for _, entry := range u.entries {
			if server := n.serversByNumber[entry.ID]; server != nil {
				n.checker.serverChanged(server)
			}
		}
	}
	n.updateAnyReady()
}

// updateAnyReady records whether some listed web server is ready. The core's lock is held.
func (n *node) updateAnyReady() {
	n.anyReady = false
	for _, server := range n.serversByID {
		if server.StopAt.Load() == 0 {
			n.anyReady = true
			return
		}
	}
}

// apply applies one entry of the list.
func (u *listUpdate) apply(item *endpoints.Endpoint) {
	n := u.node
	server := n.serversByID[item.ID]
	if item.ID == "" || item.Addr == "" && server == nil {
		return // there is no address to send to
	}
	entry := n.policyEntry(item)
	if item.Addr != "" && item.StartedMS < u.latest[item.Addr] {
		entry.State = policy.Removed // a later process has its address: this one has ended, whether or not the list knows
	}
	if u.older && server == nil && n.wasRemoved(item) {
		return
	}
	if u.older && server != nil && server.StopAt.Load() != 0 && server.startedMS == item.StartedMS && entry.State == policy.Active {
		entry.State = policy.Draining
	}
	if server != nil && server.Addr != item.Addr && item.Addr != "" {
		u.remove(server) // another address is another process, even where the start time is the same
		server = nil
	}
	switch {
	case server == nil && entry.State == policy.Removed:
		return
	case server == nil:
		server, entry.Replaces = u.newServer(item)
	case server.startedMS != item.StartedMS:
		server = u.restartedServer(server, item)
	}
	current := *item
	server.listEntry = &current
	n.indexServer(server)
	entry.ID = server.number
	u.entries = append(u.entries, entry)
	switch entry.State {
	case policy.Active:
		server.removed = false
		server.StopAt.Store(0)
	case policy.Draining:
		n.drainServer(server, u.announced)
	case policy.Removed:
		n.removeServer(server, u.announced)
	}
	n.cells.serverChanged(server)
}

// hasStarted reports whether the start time of an entry is one that a process can have.
func (u *listUpdate) hasStarted(item *endpoints.Endpoint) bool {
	return item.StartedMS <= (u.node.core.Now() + clockTolerance).Milliseconds()
}

// remove removes a server that the list does not have any more.
func (u *listUpdate) remove(server *webServer) {
	u.entries = append(u.entries, policy.Entry{ID: server.number, State: policy.Removed})
	u.node.removeServer(server, u.announced)
}

// newServer returns a server that was not listed before, under a new number, and the number of the one that had its
// address; 0 if there was none.
func (u *listUpdate) newServer(item *endpoints.Endpoint) (server *webServer, replaces uint32) {
	n := u.node
	for _, other := range n.serversByAddr[item.Addr] {
		gone := !u.listed[other.ID] || other.startedMS < item.StartedMS && u.hasStarted(item)
		if gone && !other.removed {
			u.remove(other) // its process must have ended: what is sent to the address reaches the new one
		}
		if gone || other.removed {
			replaces = max(replaces, other.number) // the latest of them
		}
	}
	n.lastNumber++
	return &webServer{number: n.lastNumber, startedMS: item.StartedMS,
		Server: &back.Server{ID: item.ID, Addr: item.Addr, Dial: n.proxyDial(item.ID), Gate: n.gateFor(item.ID), Now: n.core.Now}}, replaces
}

// restartedServer returns the new process of a server. It keeps the number: the policy distinguishes the two processes by
// their start times.
func (u *listUpdate) restartedServer(old *webServer, item *endpoints.Endpoint) *webServer {
	n := u.node
	n.pool.CloseIdle(old.Server, true)
	n.drainServer(old, u.announced) // an attempt that already holds the old server is stopped by nothing else
	return &webServer{number: old.number, startedMS: item.StartedMS,
		Server: &back.Server{ID: item.ID, Addr: item.Addr, Dial: old.Dial, Gate: old.Gate, Now: n.core.Now}}
}

// policyEntry returns an entry of the list as the policy has it, without its number. The core's lock is held.
func (n *node) policyEntry(item *endpoints.Endpoint) policy.Entry {
	entry := policy.Entry{Zone: item.Zone, Cell: item.Cell, ServerType: item.Kind,
		Launched: max(time.Duration(min(item.StartedMS, maxStartedMS))*time.Millisecond, n.overrides.enabledAt[item.ID])}
	switch item.State {
	case "Ready":
	case "Gone":
		entry.State = policy.Removed
	default: // Terminating, or an unknown state: no new requests in either case
		entry.State = policy.Draining
	}
	return entry
}

// indexServer makes a server the current one of its ID, number and address.
func (n *node) indexServer(server *webServer) {
	if old := n.serversByID[server.ID]; old != server {
		n.unindexServer(old)
		n.serversByID[server.ID], n.serversByAddr[server.Addr] = server, append(n.serversByAddr[server.Addr], server)
	}
	n.serversByNumber[server.number] = server
}

// unindexServer removes a server from the indexes by ID and address. The server may be nil.
func (n *node) unindexServer(server *webServer) {
	if server == nil {
		return
	}
	delete(n.serversByID, server.ID)
	n.serversByAddr[server.Addr] = slices.DeleteFunc(n.serversByAddr[server.Addr], func(other *webServer) bool { return other == server })
	if len(n.serversByAddr[server.Addr]) == 0 {
		delete(n.serversByAddr, server.Addr)
	}
}
