package node

import (
	"maps"
	"time"

	"portstall/internal/endpoints"
)

const (
	// removedRetention is how long a removed server is remembered; no list is older than this.
	removedRetention = time.Minute
	// maxRemoved bounds the servers remembered. When it is reached all are forgotten; a server that an older list then
	// brings back fails at its first attempt.
	maxRemoved = 4096
)

// drainServer stops new writes to a server once its grace has passed, less a tenth for the time that the announcement
// took on its way. announced is when the announcement arrived, on the node's clock. The core's lock is held.
func (n *node) drainServer(server *webServer, announced time.Duration) {
	stop := announced + n.settings.Load().Policy.DrainGrace*9/10
	if server.StopAt.CompareAndSwap(0, int64(stop)) {
		// The tunnels are drained after the grace, so that none that is established within it is missed.
		time.AfterFunc(stop-n.core.Now(), func() {
			if server.StopAt.Load() != 0 {
				n.opaque.Drain(server.Server)
			}
		})
	}
}

// shortenDrains applies a shorter grace to the servers whose drains were announced under a longer one. The core's lock is
// held.
func (n *node) shortenDrains(old, grace time.Duration) {
	if grace >= old {
		return
	}
	for _, server := range n.serversByNumber {
		if stop := server.StopAt.Load(); stop != 0 {
			server.StopAt.Store(max(1, stop-int64(old-grace)*9/10))
		}
	}
}

// removeServer takes a server off the list. The node knows it until its grace has passed: the policy may go on with the
// last servers of a list that became empty, and a server that is listed again keeps its number and connections.
// announced is as for drainServer.
func (n *node) removeServer(server *webServer, announced time.Duration) {
	if server.removed {
		return
	}
	server.removed = true
	server.removals++
	n.drainServer(server, announced)
	n.cells.serverChanged(server)
	n.checker.serverChanged(server)
	removals := server.removals
	time.AfterFunc(n.settings.Load().Policy.DrainGrace, func() {
		n.core.Lock()
		defer n.core.Unlock()
		if !server.removed || server.removals != removals {
			return // listed again in the meantime
		}
		if n.serversByID[server.ID] == server {
			n.unindexServer(server)
			n.rememberRemoved(server)
		}
		if n.serversByNumber[server.number] == server {
			delete(n.serversByNumber, server.number)
		}
		n.pool.CloseIdle(server.Server, true)
	})
}

// removedServer is the process of a web server that was announced as removed. It is remembered so that an older list
// does not bring the server back.
type removedServer struct {
	startedMS int64
	removedAt time.Duration
}

// wasRemoved reports whether the process of an entry was announced as removed. The core's lock is held.
func (n *node) wasRemoved(entry *endpoints.Endpoint) bool {
	removed, known := n.removedServers[entry.ID]
	return known && removed.startedMS == entry.StartedMS
}

// rememberRemoved records that a server was removed, and forgets those removed long ago. The core's lock is held.
func (n *node) rememberRemoved(server *webServer) {
	now := n.core.Now()
	maps.DeleteFunc(n.removedServers, func(_ string, removed removedServer) bool { return now-removed.removedAt > removedRetention })
	if len(n.removedServers) >= maxRemoved {
		clear(n.removedServers)
	}
	n.removedServers[server.ID] = removedServer{server.startedMS, now}
}
