package rig

import (
	"time"

	"portstall/internal/lab/fleet"
	"portstall/internal/lab/standin"
)

// fault lets a fault begin or end.
func (r *rig) applyFault(i int, begin bool) {
	if r.ctx.Err() != nil {
		return
	}
	f := &r.scenario.Faults[i]
	r.mu.Lock()
	r.activeFaults[i] = begin && f.For > 0
	r.mu.Unlock()
	servers := func(do func(v *server)) {
		for _, k := range r.targets[i] {
			do(r.servers[k])
		}
	}
	switch f.Kind {
	case "vanish", "crash", "zone_loss":
		servers(func(v *server) {
			v.mu.Lock()
			v.downUntil = max(v.downUntil, f.End())
			away := !v.up || v.silence != nil
			v.mu.Unlock()
			switch {
			case !begin && away:
				r.addError(v.restartCold())
			case begin && f.Kind == "crash":
				v.crash()
			case begin:
				v.goSilent()
			}
		})
	case "cold":
		servers(func(v *server) { r.addError(v.restartCold()) })
	case "drain":
		servers(func(v *server) {
			v.mu.Lock()
			serves := v.up && v.silence == nil
			if serves && begin {
				r.discovery.scheduleUpdate(v, "Terminating", r.scenario.Roster.AddLag/4)
			}
			v.mu.Unlock()
			if serves && !begin {
				r.addError(v.restartCold())
			}
		})
	case "backlog":
		r.updateEffects()
		servers(func(v *server) {
			if begin {
				v.fillBacklog()
			} else {
				v.clearBacklog()
			}
		})
	case "node_roll":
		if begin {
			for k, index := range r.targets[i] {
				r.wg.Add(1)
				go func() {
					defer r.wg.Done()
					time.Sleep(time.Duration(k) * f.For / time.Duration(len(r.targets[i])))
					r.restartNode(r.nodes[index], f.Delay)
				}()
			}
		}
	case "node_crash":
		if begin {
			for _, index := range r.targets[i] {
				r.wg.Add(1)
				go func() {
					defer r.wg.Done()
					r.restartNode(r.nodes[index], f.For)
				}()
			}
		}
	case "node_stop":
		for _, index := range r.targets[i] {
			r.mu.Lock()
			if begin {
				r.appendRecord(record{kind: nodeSuspended, at: r.now(), node: index, flag: true})
			}
			r.mu.Unlock()
			r.nodes[index].setSuspended(begin)
			if !begin { // what came just before it went on was held too
				r.mu.Lock()
				r.appendRecord(record{kind: nodeSuspended, at: r.now() + 100*time.Millisecond, node: index})
				r.mu.Unlock()
			}
		}
	case "proxy_down":
		if begin {
			r.proxies[0].Stop()
		} else {
			r.addError(r.proxies[0].Start())
		}
	case "proxy_nonsense", "proxy_slow":
		wrong, delay := standin.Nothing, time.Duration(0)
		if begin && f.Kind == "proxy_slow" {
			delay = f.Delay
		} else if begin {
			wrong = standin.Nonsense
		}
		r.proxies[0].Trouble(wrong, delay)
	case "roster_down":
		r.discovery.setDown(begin)
	default:
		r.updateEffects()
	}
}

// bounce kills a node and brings it back.
func (r *rig) restartNode(n *node, gone time.Duration) {
	if r.ctx.Err() != nil {
		return
	}
	n.mu.Lock()
	n.downUntil = max(n.downUntil, r.now()+gone)
	n.mu.Unlock()
	n.kill()
	select {
	case <-time.After(gone):
	case <-r.ctx.Done():
		return
	}
	n.mu.Lock()
	early := r.now() < n.downUntil
	if !early {
		n.downUntil = 1 << 62 // whoever else waits for it leaves it to this one
	}
	n.mu.Unlock()
	if !early {
		r.addError(n.start(r.ctx))
		n.mu.Lock()
		n.downUntil = 0
		n.mu.Unlock()
	}
}

// effects works out what the faults in force do to the servers and the load.
func (r *rig) updateEffects() {
	r.mu.Lock()
	var troubles []fleet.Trouble
	r.conditions, troubles = fleet.InForce(r.scenario, r.activeFaults, r.targets, len(r.servers))
	r.mu.Unlock()
	for i, v := range r.servers {
		v.mu.Lock()
		v.effects = troubles[i]
		v.mu.Unlock()
	}
}
