package node

import (
	"maps"
	"slices"
	"time"

	"portstall/internal/cell"
	"portstall/internal/endpoints"
	"portstall/internal/handover"
	"portstall/internal/state"
	"portstall/policy"
)

// snapshot copies the node's state; the core's lock is held. The returned function makes a snapshot of the copy and is
// to be called without the lock: with 10,000 web servers that takes longer than all requests may wait. With exact set
// the snapshot is for a successor, to which it is everything that has happened.
func (n *node) snapshot(exact bool) func() *state.Snapshot {
	now := n.core.Now()
	s := &state.Snapshot{Taken: now, Fleet: n.fleetName(), Exact: exact, Drained: n.lifecycle.drainedByOperator(), ListVersion: n.listVersion,
		Disabled: slices.Collect(maps.Keys(n.overrides.disabled)), Enabled: timeList(n.overrides.enabledAt), Contracts: n.core.ContractStates()}
	open, remote, learned := n.core.OpenRequests(), n.core.RequestIDs().Blocked(now), n.core.LearnedState()
	type row struct {
		entry  *endpoints.Endpoint
		addr   string
		number uint32
	}
	rows := make([]row, 0, len(n.serversByID))
	for _, listed := range n.serversByID {
		if !listed.removed {
			rows = append(rows, row{listed.listEntry, listed.Addr, listed.number})
		}
	}
	last := n.lastNumber
	if n.cells != nil {
		for _, key := range n.cells.Keys().All(now) {
			s.Keys = append(s.Keys, state.KeyRecord(key))
		}
	}
	return func() *state.Snapshot {
		s.OpenRequests, s.PeerOpenRequests, s.Totals = timeList(open), timeList(remote), learned.TotalStats
		indexes := make([]int, last+1) // position + 1 in learned.Servers by number; 0: unknown
		for i := range learned.Servers {
			indexes[learned.Servers[i].ID] = i + 1
		}
		for _, r := range rows {
			server := storedServer(r.entry, r.addr)
			if i := indexes[r.number] - 1; i >= 0 {
				server.Stats = state.StatsOf(learned.Servers[i].ServerStats)
			}
			s.Servers = append(s.Servers, server)
		}
		for name, sums := range learned.Classes {
			s.Classes = append(s.Classes, state.Class{Name: name, Stats: sums})
		}
		return s
	}
}

// storedServer returns an entry of the server list as the state has it. Later lists may leave the address out.
func storedServer(e *endpoints.Endpoint, addr string) state.Server {
	return state.Server{ID: e.ID, Addr: addr, Zone: e.Zone, ServerType: e.Kind, Cell: e.Cell, State: e.State, StartedMS: e.StartedMS}
}

// fleetName returns the name of the fleet that the server list is of.
func (n *node) fleetName() string {
	if p := n.handover.persister; p != nil && p.settings.Fleet != "" {
		return p.settings.Fleet
	}
	return n.discovery.client.Addr()
}

// timeList converts a map from ids to times into the state's list.
func timeList(m map[string]time.Duration) []state.TimedID {
	list := make([]state.TimedID, 0, len(m))
	for id, at := range m {
		list = append(list, state.TimedID{ID: id, At: at})
	}
	return list
}

// timesByID converts the state's list of times into a map by id.
func timesByID(list []state.TimedID) map[string]time.Duration {
	m := make(map[string]time.Duration, len(list))
	for _, a := range list {
		m[a.ID] = a.At
	}
	return m
}

// ageSnapshot adjusts a snapshot to the present moment, and logs which fields of it are not used.
func (n *node) ageSnapshot(s *state.Snapshot) {
	for _, d := range s.Age(state.LoadContext{Now: n.core.Now(), Fleet: n.fleetName(), ColdFor: n.settings.Load().Policy.ColdFor}) {
		n.log.Warn("a field of the state is not used", "part", d.Field, "why", d.Reason)
	}
}

// adoptSnapshot adopts a snapshot that was aged: the server list, operators' orders, learned statistics, and the
// requests of the other process if it is from one. The list and the orders replace what was known before. The core's
// lock is held.
func (n *node) adoptSnapshot(s *state.Snapshot, from handover.Peer) {
	n.overrides.disabled = map[string]bool{}
	for _, id := range s.Disabled {
		n.overrides.disabled[id] = true
	}
	n.overrides.enabledAt = timesByID(s.Enabled)
	if s.Drained {
		n.lifecycle.enter(drained)
	}
	list := endpoints.List{Version: s.ListVersion, Full: true}
	for _, server := range s.Servers {
		list.Servers = append(list.Servers, endpoints.Endpoint{ID: server.ID, Addr: server.Addr, Zone: server.Zone, Kind: server.ServerType, Cell: server.Cell, State: server.State, StartedMS: server.StartedMS})
	}
	if len(list.Servers) > 0 {
		n.discovery.fullListPending = s.Fleet != n.fleetName() // the versions are not this discovery's
		n.applyList(&list, policy.ListCached)
	}
	for _, server := range n.serversByID { // servers that were listed before keep their gates; nothing is being written yet
		server.Gate.SetClosed(n.outOfService(server.ID, server.number))
	}
	n.overrides.reapply(n, n.core.Now())
	n.adoptRuntimeState(s, from)
}

// adoptStoredState adopts what an earlier process stored, after the list of the configuration; the newer of the two
// lists applies. No other process of the node is running, and no request is open. The core's lock is held.
func (n *node) adoptStoredState(s *state.Snapshot) {
	if s.ListVersion <= n.listVersion {
		s.Servers, s.ListVersion = n.mergeStoredServers(s.Servers), n.listVersion
	}
	s.OpenRequests, s.PeerOpenRequests = nil, nil
	n.adoptSnapshot(s, 0)
}

// mergeStoredServers returns this process's server list, with the learned statistics from a stored one. The core's lock
// is held.
func (n *node) mergeStoredServers(storedServers []state.Server) []state.Server {
	learned := map[string]*state.Server{}
	for i := range storedServers {
		learned[storedServers[i].ID] = &storedServers[i]
	}
	var all []state.Server
	for _, listed := range n.serversByID {
		server := storedServer(listed.listEntry, listed.Addr)
		if stored := learned[listed.ID]; stored != nil && stored.StartedMS == server.StartedMS && stored.Addr == server.Addr {
			server.Stats = stored.Stats
		}
		all = append(all, server)
	}
	return all
}

// adoptRuntimeState adopts what changes with each request: learned statistics, budgets, keys, and the ids of requests
// that are open at the other process. The core's lock is held.
func (n *node) adoptRuntimeState(s *state.Snapshot, from handover.Peer) {
	n.core.Adopt(s.LearnedState(func(server *state.Server) (uint32, time.Duration, bool) {
		listed := n.serversByID[server.ID]
		if listed == nil || listed.startedMS != server.StartedMS || listed.Addr != server.Addr {
			return 0, 0, false
		}
		// The policy compares the start time with the one that it knows.
		return listed.number, max(time.Duration(min(server.StartedMS, maxStartedMS))*time.Millisecond, n.overrides.enabledAt[server.ID]), true
	}))
	n.core.AdoptContractStates(s.Contracts, s.Exact)
	if n.cells != nil {
		var keys []cell.KeyRecord
		for _, key := range s.Keys {
			keys = append(keys, cell.KeyRecord(key))
		}
		n.cells.Keys().Restore(n.core.Now(), keys)
	}
	if from != 0 {
		n.core.RequestIDs().SetRemote(from, timesByID(s.OpenRequests), timesByID(s.PeerOpenRequests))
	}
}
