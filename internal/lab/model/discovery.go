package model

import (
	"time"

	"portstall/policy"
)

// discovery is the service that lists the servers. It processes calls one after the other.
type discovery struct {
	entries   []policy.Entry // by server
	changes   []listChange   // all changes since the start, in order
	outages   int            // number of faults in force that take it down
	busyUntil time.Duration  // when it will have processed the calls it has accepted
}

// listChange is one change of the server list. Versions count from 1.
type listChange struct {
	version int
	entry   policy.Entry
	index   int // of the server
}

// announce lets discovery learn of a server's state after a delay. A later announcement before that replaces it.
func (sim *simulation) announce(srv *server, state policy.State, after time.Duration) {
	srv.announcements++
	sim.schedule(sim.now+after, event{kind: evPublish, index: int32(srv.index), arg: int32(state),
		generation: srv.announcements})
}

// publish applies an announced state to the server list and notifies the nodes that watch it.
func (sim *simulation) publish(srv *server, state policy.State, announcement int32) {
	if announcement != srv.announcements {
		return
	}
	disc := &sim.discovery
	e := srv.entry(state)
	if disc.entries[srv.index] == e {
		return
	}
	disc.entries[srv.index] = e
	disc.changes = append(disc.changes, listChange{len(disc.changes) + 1, e, srv.index})
	if disc.outages > 0 {
		return
	}
	for _, n := range sim.nodes {
		if n.up && n.watching {
			sim.notifyWatch(n)
		}
	}
}

// notifyWatch schedules the delivery of changes through a node's watch.
func (sim *simulation) notifyWatch(n *node) {
	sim.schedule(sim.now+20*time.Millisecond+sim.networkDelay(sim.scenario.Network.OneWay), event{kind: evListUpdate,
		index: int32(n.index), generation: n.incarnation})
}

// callDiscovery handles a node's call for changes or for the full list. The time until the reply grows with the number
// of its entries; a call that would take longer than the time-out fails and takes none of discovery's time.
func (sim *simulation) callDiscovery(n *node, full bool) {
	disc, set := &sim.discovery, &sim.scenario.Roster
	if disc.outages > 0 {
		sim.schedule(sim.now+set.Timeout/2, event{kind: evListFailed, index: int32(n.index), generation: n.incarnation})
		return
	}
	entryCount := len(disc.changes) - n.listVersion
	if full {
		entryCount = len(disc.entries)
	}
	disc.busyUntil = max(disc.busyUntil, sim.now) + set.CallTime + time.Duration(entryCount)*set.CallTime/100
	if disc.busyUntil-sim.now > set.Timeout {
		disc.busyUntil -= set.CallTime + time.Duration(entryCount)*set.CallTime/100 // discovery drops the call
		sim.schedule(sim.now+set.Timeout, event{kind: evListFailed, index: int32(n.index), generation: n.incarnation})
		return
	}
	fullArg := int32(0)
	if full {
		fullArg = 1
	}
	sim.schedule(disc.busyUntil+sim.networkDelay(set.CallTime/10), event{kind: evListReply, index: int32(n.index),
		arg: fullArg, generation: n.incarnation})
}

// setOutage begins or ends an outage of discovery. Where discovery does not push changes, the beginning ends all
// watches.
func (sim *simulation) setOutage(down bool) {
	disc := &sim.discovery
	if !down {
		disc.outages--
		if disc.outages == 0 && sim.scenario.Roster.Push {
			for _, n := range sim.nodes {
				if n.up {
					sim.notifyWatch(n)
				}
			}
		}
		return
	}
	disc.outages++
	for _, n := range sim.nodes {
		if n.up && n.watching && !sim.scenario.Roster.Push {
			n.watching = false
			sim.schedule(sim.now, event{kind: evListFailed, index: int32(n.index), generation: n.incarnation})
		}
	}
}

// deliverList passes a reply, an update or a failure of discovery to a node's policy.
func (sim *simulation) deliverList(n *node, e *event) {
	disc := &sim.discovery
	ev := policy.Event{Kind: policy.EvList, List: policy.ListDelta}
	switch {
	case e.kind == evListFailed || disc.outages > 0 && e.kind == evListReply:
		ev.List = policy.ListFailed
	case e.kind == evListUpdate && (!n.watching || disc.outages > 0):
		return
	case e.kind == evListReply && e.arg == 1:
		ev.List = policy.ListFull
		for i := range disc.entries {
			if disc.entries[i].State != policy.Removed {
				ev.Entries = append(ev.Entries, disc.entries[i])
			}
			sim.recordEntry(n, i, disc.entries[i])
		}
		n.listVersion = len(disc.changes)
	default:
		if e.kind == evListReply {
			n.watching = true
		} else if n.listVersion == len(disc.changes) {
			return
		}
		for _, c := range disc.changes[n.listVersion:] {
			ev.Entries = append(ev.Entries, c.entry)
			sim.recordEntry(n, c.index, c.entry)
		}
		n.listVersion = len(disc.changes)
	}
	sim.handle(n, &ev)
}

// recordEntry applies an entry of the server list that a node has received.
func (sim *simulation) recordEntry(n *node, index int, e policy.Entry) {
	if n.entries[index] != e {
		if e.State != policy.Active && n.entries[index].State == policy.Active {
			// As in the real node: a tenth of the grace is reserved for the delay of the notification.
			sim.schedule(sim.now+sim.scenario.Rules.DrainGrace*9/10+sim.scenario.Rules.TunnelDrain, event{kind: evTunnelDeadline,
				index: int32(n.index), generation: n.incarnation, arg: int32(index)})
		}
		n.entries[index] = e
		n.updateCells(e)
		n.checker.updateServer(sim, e)
		sim.records.Notified(sim.now, n.index, e.ID, n.noNewRequests(index), scenarioTime(e.Launched))
	}
}
