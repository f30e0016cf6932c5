package model

import (
	"slices"
	"time"

	"portstall/internal/lab/fleet"
	"portstall/policy"
)

// fault lets a fault begin or end. Faults may overlap: what they share is worked out from all that are in force.
func (w *world) fault(i int, begin bool) {
	f := &w.s.Faults[i]
	w.active[i] = begin && f.For > 0
	switch f.Kind {
	case "vanish", "crash", "zone_loss":
		for _, k := range w.hits[i] {
			v := w.servers[k]
			if begin {
				w.down(v, f.Kind != "crash")
				v.until = max(v.until, f.End())
			} else {
				w.back(v)
			}
		}
	case "cold":
		for _, k := range w.hits[i] {
			w.returns(w.servers[k])
		}
	case "drain":
		for _, k := range w.hits[i] {
			v := w.servers[k]
			if begin {
				if v.up && !v.silent {
					w.list(v, policy.Leaving, w.s.Roster.AddLag/4)
				}
			} else if v.up && !v.silent {
				w.returns(v)
			}
		}
	case "node_roll":
		if !begin {
			return
		}
		for k, index := range w.hits[i] {
			at := f.At + time.Duration(k)*f.For/time.Duration(len(w.hits[i]))
			w.bounce(w.nodes[index], at, f.Delay, true)
		}
	case "node_upgrade":
		for k, index := range w.hits[i] {
			if begin {
				w.at(f.At+time.Duration(k)*f.For/time.Duration(len(w.hits[i])), event{kind: evUpgrade, a: int32(index)})
			}
		}
	case "node_crash":
		if begin {
			for _, index := range w.hits[i] {
				w.bounce(w.nodes[index], w.now, f.For, false)
			}
		}
	case "node_stop":
		for _, index := range w.hits[i] {
			if n := w.nodes[index]; begin && n.up {
				n.stopped = max(n.stopped, f.End())
				for _, t := range n.sortedTries() {
					w.book.Stopped(n.index, t.id)
				}
			}
		}
	case "proxy_down":
		w.effects()
		for _, k := range w.hits[i] {
			if v := w.servers[k]; begin && v.up && !v.silent {
				v.note(w)
				w.breakAll(v)
				v.queue, v.work = nil, nil // it sees the connections end, and gives up
				v.schedule(w)
			}
		}
	case "roster_down":
		w.rosterDown(begin)
	default:
		w.effects()
	}
}

// back lets a server return once no fault holds it down any more.
func (w *world) back(v *server) {
	if (!v.up || v.silent) && w.now >= v.until {
		w.returns(v)
	}
}

// bounce kills a node and brings it back. The front notices the one and the other late.
func (w *world) bounce(n *node, at, gone time.Duration, planned bool) {
	k, b := int32(n.index), int32(0)
	if planned {
		b = 1
	}
	w.at(at, event{kind: evNodeDown, a: k, b: b, until: at + gone})
	w.at(at+gone, event{kind: evNodeUp, a: k})
}

// effects works out what the faults in force do to the servers, the load and the network.
func (w *world) effects() {
	for _, v := range w.servers {
		v.advance(w) // under what held so far
	}
	var troubles []fleet.Trouble
	w.weather, troubles = fleet.InForce(w.s, w.active, w.hits, len(w.servers))
	for i, v := range w.servers {
		v.trouble = troubles[i]
	}
	for _, v := range w.servers {
		v.schedule(w)
	}
}

// poisons tells whether a request that reaches its server kills it.
func (w *world) poisons(j *job) bool {
	for i := range w.s.Faults {
		f := &w.s.Faults[i]
		if t := j.try.ask.Tenant; w.active[i] && f.Kind == "poison" && t >= 0 && w.s.Tenants[t].Name == f.Tenant && w.rng.Float64() < f.Part {
			w.poison = f.Delay
			return true
		}
	}
	return false
}

// isCut tells whether the network between a node and a server is cut.
func (w *world) isCut(n *node, v *server) bool {
	if w.weather.Cuts == 0 {
		return false
	}
	for i := range w.s.Faults {
		if w.active[i] && w.s.Faults[i].Kind == "cut" && slices.Contains(w.cutFrom[i], n.index) && slices.Contains(w.hits[i], v.index) {
			return true
		}
	}
	return false
}
