package node

import (
	"maps"
	"slices"
	"time"

	"portstall/internal/cell"
	"portstall/internal/handover"
	"portstall/internal/state"
	"portstall/policy"
)

// snapshot copies the node's state; the core's lock is held. The returned function makes a snapshot of the copy and is
// to be called without the lock: with 10,000 web servers that takes longer than all requests may wait. With exact set
// the snapshot is for a successor, to which it is everything that has happened.
func (n *node) snapshot(exact bool) func() *state.Snapshot {
	now := n.core.Now()
	s := &state.Snapshot{Taken: now, Fleet: n.fleetName(), Exact: exact, Drained: n.life.drainedByOperator(), Version: n.version,
		Out: slices.Collect(maps.Keys(n.hand.disabled)), Returned: timeList(n.hand.returned), Contracts: n.core.Left()}
	open, remote, learned := n.core.Open(), n.core.Ids().Theirs(now), n.core.Learnt()
	type row struct {
		entry  *listed
		addr   string
		number uint32
	}
	rows := make([]row, 0, len(n.names))
	for _, b := range n.names {
		if !b.left {
			rows = append(rows, row{b.entry, b.Addr, b.number})
		}
	}
	last := n.nextNum
	if n.cells != nil {
		for _, key := range n.cells.Keys().All(now) {
			s.Keys = append(s.Keys, state.Key(key))
		}
	}
	return func() *state.Snapshot {
		s.Open, s.Hearsay, s.Totals = timeList(open), timeList(remote), learned.Totals
		indexes := make([]int, last+1) // position + 1 in learned.Servers by number; 0: unknown
		for i := range learned.Servers {
			indexes[learned.Servers[i].ID] = i + 1
		}
		for _, r := range rows {
			server := r.entry.storedServer(r.addr)
			if i := indexes[r.number] - 1; i >= 0 {
				server.Known = state.Of(learned.Servers[i].Evidence)
			}
			s.Servers = append(s.Servers, server)
		}
		for name, sums := range learned.Classes {
			s.Classes = append(s.Classes, state.Class{Name: name, Sums: sums})
		}
		return s
	}
}

// storedServer returns an entry of the server list as the state has it. Later lists may leave the address out.
func (e *listed) storedServer(addr string) state.Server {
	return state.Server{ID: e.ID, Addr: addr, Zone: e.Zone, Kind: e.Kind, Cell: e.Cell, State: e.State, Started: e.StartedMS}
}

// fleetName returns the name of the fleet that the server list is of.
func (n *node) fleetName() string {
	if p := n.pair.persister; p != nil && p.settings.Fleet != "" {
		return p.settings.Fleet
	}
	return n.disc.addr
}

// timeList converts a map from ids to times into the state's list.
func timeList(m map[string]time.Duration) []state.At {
	list := make([]state.At, 0, len(m))
	for id, at := range m {
		list = append(list, state.At{ID: id, At: at})
	}
	return list
}

// timesByID converts the state's list of times into a map by id.
func timesByID(list []state.At) map[string]time.Duration {
	m := make(map[string]time.Duration, len(list))
	for _, a := range list {
		m[a.ID] = a.At
	}
	return m
}

// ageSnapshot adjusts a snapshot to the present moment, and logs which fields of it are not used.
func (n *node) ageSnapshot(s *state.Snapshot) {
	for _, d := range s.Age(state.Reader{Now: n.core.Now(), Fleet: n.fleetName(), ColdFor: n.set.Load().Policy.ColdFor}) {
		n.log.Warn("a field of the state is not used", "part", d.Field, "why", d.Why)
	}
}

// adoptSnapshot adopts a snapshot that was aged: the server list, operators' orders, learned statistics, and the
// requests of the other process if it is from one. The list and the orders replace what was known before. The core's
// lock is held.
func (n *node) adoptSnapshot(s *state.Snapshot, from handover.Peer) {
	n.hand.disabled = map[string]bool{}
	for _, id := range s.Out {
		n.hand.disabled[id] = true
	}
	n.hand.returned = timesByID(s.Returned)
	if s.Drained {
		n.life.enter(drained)
	}
	l := list{Version: s.Version, Full: true}
	for _, server := range s.Servers {
		l.Servers = append(l.Servers, listed{ID: server.ID, Addr: server.Addr, Zone: server.Zone, Kind: server.Kind, Cell: server.Cell, State: server.State, StartedMS: server.Started})
	}
	if len(l.Servers) > 0 {
		n.disc.whole = s.Fleet != n.fleetName() // the versions are not this discovery's
		n.takeList(&l, policy.ListCached)
	}
	for _, b := range n.names { // servers that were listed before keep their gates; nothing is being written yet
		b.Gate.Set(n.keptOut(b.ID, b.number))
	}
	n.hand.listed(n, n.core.Now())
	n.adoptRuntimeState(s, from)
}

// adoptStoredState adopts what an earlier process stored, after the list of the configuration; the newer of the two
// lists applies. No other process of the node is running, and no request is open. The core's lock is held.
func (n *node) adoptStoredState(s *state.Snapshot) {
	if s.Version <= n.version {
		s.Servers, s.Version = n.mergeStoredServers(s.Servers), n.version
	}
	s.Open, s.Hearsay = nil, nil
	n.adoptSnapshot(s, 0)
}

// mergeStoredServers returns this process's server list, with the learned statistics from a stored one. The core's lock
// is held.
func (n *node) mergeStoredServers(old []state.Server) []state.Server {
	learned := map[string]*state.Server{}
	for i := range old {
		learned[old[i].ID] = &old[i]
	}
	var all []state.Server
	for _, b := range n.names {
		server := b.entry.storedServer(b.Addr)
		if o := learned[b.ID]; o != nil && o.Started == server.Started && o.Addr == server.Addr {
			server.Known = o.Known
		}
		all = append(all, server)
	}
	return all
}

// adoptRuntimeState adopts what changes with each request: learned statistics, budgets, keys, and the ids of requests
// that are open at the other process. The core's lock is held.
func (n *node) adoptRuntimeState(s *state.Snapshot, from handover.Peer) {
	n.core.Adopt(s.Learnt(func(server *state.Server) (uint32, time.Duration, bool) {
		b := n.names[server.ID]
		if b == nil || b.started != server.Started || b.Addr != server.Addr {
			return 0, 0, false
		}
		// The policy compares the start time with the one that it knows.
		return b.number, max(time.Duration(min(server.Started, lastStart))*time.Millisecond, n.hand.returned[server.ID]), true
	}))
	n.core.Resume(s.Contracts, s.Exact)
	if n.cells != nil {
		var keys []cell.Kept
		for _, key := range s.Keys {
			keys = append(keys, cell.Kept(key))
		}
		n.cells.Keys().Restore(n.core.Now(), keys)
	}
	if from != 0 {
		n.core.Ids().Hold(from, timesByID(s.Open), timesByID(s.Hearsay))
	}
}
