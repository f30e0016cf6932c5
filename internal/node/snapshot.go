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

// snapshot copies the node's state. The core's lock is held; what is returned makes a snapshot of the copy, and is to be called
// without it: with 10,000 web servers that takes longer than all requests may wait. Exact: for a successor, to which it is all
// that has happened.
func (n *node) snapshot(exact bool) func() *state.Snapshot {
	now := n.core.Now()
	s := &state.Snapshot{Taken: now, Fleet: n.fleetName(), Exact: exact, Drained: n.life.drainedByOperator(), Version: n.version,
		Out: slices.Collect(maps.Keys(n.hand.disabled)), Returned: timeList(n.hand.returned), Contracts: n.core.Left()}
	open, theirs, learnt := n.core.Open(), n.core.Ids().Theirs(now), n.core.Learnt()
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
		for _, k := range n.cells.Keys().All(now) {
			s.Keys = append(s.Keys, state.Key(k))
		}
	}
	return func() *state.Snapshot {
		s.Open, s.Hearsay, s.Totals = timeList(open), timeList(theirs), learnt.Totals
		known := make([]int, last+1) // from 1 on, by number
		for i := range learnt.Servers {
			known[learnt.Servers[i].ID] = i + 1
		}
		for _, r := range rows {
			v := r.entry.storedServer(r.addr)
			if i := known[r.number] - 1; i >= 0 {
				v.Known = state.Of(learnt.Servers[i].Evidence)
			}
			s.Servers = append(s.Servers, v)
		}
		for name, sums := range learnt.Classes {
			s.Classes = append(s.Classes, state.Class{Name: name, Sums: sums})
		}
		return s
	}
}

// kept is a line of the list as the state has it. Later lists may leave the address out.
func (e *listed) storedServer(addr string) state.Server {
	return state.Server{ID: e.ID, Addr: addr, Zone: e.Zone, Kind: e.Kind, Cell: e.Cell, State: e.State, Started: e.StartedMS}
}

// fleet names what the list is of.
func (n *node) fleetName() string {
	if k := n.pair.persister; k != nil && k.settings.Fleet != "" {
		return k.settings.Fleet
	}
	return n.disc.addr
}

func timeList(m map[string]time.Duration) []state.At {
	list := make([]state.At, 0, len(m))
	for id, at := range m {
		list = append(list, state.At{ID: id, At: at})
	}
	return list
}

func timesByID(list []state.At) map[string]time.Duration {
	m := make(map[string]time.Duration, len(list))
	for _, a := range list {
		m[a.ID] = a.At
	}
	return m
}

// ageing makes a snapshot that of this moment, and logs what of it is not used.
func (n *node) ageSnapshot(s *state.Snapshot) {
	for _, d := range s.Age(state.Reader{Now: n.core.Now(), Fleet: n.fleetName(), ColdFor: n.set.Load().Policy.ColdFor}) {
		n.log.Warn("a part of the state is not used", "part", d.Field, "why", d.Why)
	}
}

// enter takes up a snapshot that is of this moment: the list, orders by hand, what was learnt, and the other process's requests
// where it is one. Orders and list take the place of what was known before. The core's lock is held.
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
	for _, v := range s.Servers {
		l.Servers = append(l.Servers, listed{ID: v.ID, Addr: v.Addr, Zone: v.Zone, Kind: v.Kind, Cell: v.Cell, State: v.State, StartedMS: v.Started})
	}
	if len(l.Servers) > 0 {
		n.disc.whole = s.Fleet != n.fleetName() // its versions are not this discovery's
		n.takeList(&l, policy.ListCached)
	}
	for _, b := range n.names { // those that were listed before keep their gates; nothing is being written yet
		b.Gate.Set(n.keptOut(b.ID, b.number))
	}
	n.hand.listed(n, n.core.Now())
	n.adoptRuntimeState(s, from)
}

// awake takes up what an earlier process kept, behind the list that the configuration has; of the two lists the newer one counts.
// No other process of the node is there, and nothing is open. The core's lock is held.
func (n *node) adoptStoredState(s *state.Snapshot) {
	if s.Version <= n.version {
		s.Servers, s.Version = n.mergeStoredServers(s.Servers), n.version
	}
	s.Open, s.Hearsay = nil, nil
	n.adoptSnapshot(s, 0)
}

// knownOf is the list as this process has it, with what a state knows of its servers. The core's lock is held.
func (n *node) mergeStoredServers(old []state.Server) []state.Server {
	learnt := map[string]*state.Server{}
	for i := range old {
		learnt[old[i].ID] = &old[i]
	}
	var all []state.Server
	for _, b := range n.names {
		v := b.entry.storedServer(b.Addr)
		if o := learnt[b.ID]; o != nil && o.Started == v.Started && o.Addr == v.Addr {
			v.Known = o.Known
		}
		all = append(all, v)
	}
	return all
}

// adopt takes up what changes with each request: what was learnt, budgets, keys, and ids that are open at the other process.
// The core's lock is held.
func (n *node) adoptRuntimeState(s *state.Snapshot, from handover.Peer) {
	n.core.Adopt(s.Learnt(func(v *state.Server) (uint32, time.Duration, bool) {
		b := n.names[v.ID]
		if b == nil || b.started != v.Started || b.Addr != v.Addr {
			return 0, 0, false
		}
		// The policy holds the start against its own.
		return b.number, max(time.Duration(min(v.Started, lastStart))*time.Millisecond, n.hand.returned[v.ID]), true
	}))
	n.core.Resume(s.Contracts, s.Exact)
	if n.cells != nil {
		var keys []cell.Kept
		for _, k := range s.Keys {
			keys = append(keys, cell.Kept(k))
		}
		n.cells.Keys().Restore(n.core.Now(), keys)
	}
	if from != 0 {
		n.core.Ids().Hold(from, timesByID(s.Open), timesByID(s.Hearsay))
	}
}
