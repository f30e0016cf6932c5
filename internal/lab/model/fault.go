package model

import (
	"slices"
	"time"

	"portstall/internal/lab/fleet"
	"portstall/policy"
)

// applyFault begins or ends a fault. Faults may overlap: an effect that several have is computed from all faults in
// force.
func (sim *simulation) applyFault(i int, begin bool) {
	f := &sim.scenario.Faults[i]
	sim.activeFaults[i] = begin && f.For > 0
	switch f.Kind {
	case "vanish", "crash", "zone_loss":
		for _, index := range sim.faultTargets[i] {
			srv := sim.servers[index]
			if begin {
				sim.takeDown(srv, f.Kind != "crash")
				srv.downUntil = max(srv.downUntil, f.End())
			} else {
				sim.returnIfDue(srv)
			}
		}
	case "cold":
		for _, index := range sim.faultTargets[i] {
			sim.restart(sim.servers[index])
		}
	case "drain":
		for _, index := range sim.faultTargets[i] {
			srv := sim.servers[index]
			if begin {
				if srv.up && !srv.silent {
					sim.announce(srv, policy.Draining, sim.scenario.Roster.AddLag/4)
				}
			} else if srv.up && !srv.silent {
				sim.restart(srv)
			}
		}
	case "node_roll":
		if !begin {
			return
		}
		for k, index := range sim.faultTargets[i] {
			at := f.At + time.Duration(k)*f.For/time.Duration(len(sim.faultTargets[i]))
			sim.scheduleRestart(sim.nodes[index], at, f.Delay, true)
		}
	case "node_upgrade":
		for k, index := range sim.faultTargets[i] {
			if begin {
				sim.schedule(f.At+time.Duration(k)*f.For/time.Duration(len(sim.faultTargets[i])), event{kind: evUpgrade,
					index: int32(index)})
			}
		}
	case "node_crash":
		if begin {
			for _, index := range sim.faultTargets[i] {
				sim.scheduleRestart(sim.nodes[index], sim.now, f.For, false)
			}
		}
	case "node_stop":
		for _, index := range sim.faultTargets[i] {
			if n := sim.nodes[index]; begin && n.up {
				n.suspendedUntil = max(n.suspendedUntil, f.End())
				for _, t := range n.sortedTries() {
					sim.records.NodeSuspended(n.index, t.id)
				}
			}
		}
	case "proxy_down":
		sim.updateEffects()
		for _, index := range sim.faultTargets[i] {
			if srv := sim.servers[index]; begin && srv.up && !srv.silent {
				srv.recordReports(sim)
				sim.resetConnections(srv)
				srv.queue, srv.running = nil, nil // the server sees the connections end and drops their requests
				srv.scheduleNext(sim)
			}
		}
	case "roster_down":
		sim.setOutage(begin)
	default:
		sim.updateEffects()
	}
}

// returnIfDue restarts a server that is down once no fault holds it down any more.
func (sim *simulation) returnIfDue(srv *server) {
	if (!srv.up || srv.silent) && sim.now >= srv.downUntil {
		sim.restart(srv)
	}
}

// scheduleRestart schedules a node's end at a time and its start after a downtime. The front notices the end late.
func (sim *simulation) scheduleRestart(n *node, at, downtime time.Duration, planned bool) {
	index, plannedArg := int32(n.index), int32(0)
	if planned {
		plannedArg = 1
	}
	sim.schedule(at, event{kind: evNodeDown, index: index, arg: plannedArg, backAt: at + downtime})
	sim.schedule(at+downtime, event{kind: evNodeUp, index: index})
}

// updateEffects computes the effects of the faults in force on the servers, the load and the network.
func (sim *simulation) updateEffects() {
	for _, srv := range sim.servers {
		srv.advance(sim) // account for the work under the old effects
	}
	var serverEffects []fleet.ServerEffects
	sim.fleetEffects, serverEffects = fleet.ActiveEffects(sim.scenario, sim.activeFaults, sim.faultTargets, len(sim.servers))
	for i, srv := range sim.servers {
		srv.effects = serverEffects[i]
	}
	for _, srv := range sim.servers {
		srv.scheduleNext(sim)
	}
}

// killsServer reports whether an attempt that reaches its server kills the server.
func (sim *simulation) killsServer(att *attempt) bool {
	for i := range sim.scenario.Faults {
		f := &sim.scenario.Faults[i]
		if tenant := att.try.request.Tenant; sim.activeFaults[i] && f.Kind == "poison" && tenant >= 0 &&
			sim.scenario.Tenants[tenant].Name == f.Tenant && sim.rng.Float64() < f.Part {
			sim.poisonDowntime = f.Delay
			return true
		}
	}
	return false
}

// isCut reports whether the network between a node and a server is cut.
func (sim *simulation) isCut(n *node, srv *server) bool {
	if sim.fleetEffects.NetworkCuts == 0 {
		return false
	}
	for i := range sim.scenario.Faults {
		if sim.activeFaults[i] && sim.scenario.Faults[i].Kind == "cut" && slices.Contains(sim.cutNodes[i], n.index) &&
			slices.Contains(sim.faultTargets[i], srv.index) {
			return true
		}
	}
	return false
}
