package rig

import (
	"time"

	"portstall/internal/lab/fleet"
	"portstall/internal/lab/standin"
)

// applyFault begins or ends the i-th fault.
func (r *rig) applyFault(i int, begin bool) {
	if r.ctx.Err() != nil {
		return
	}
	f := &r.scenario.Faults[i]
	r.mu.Lock()
	r.activeFaults[i] = begin && f.For > 0
	r.mu.Unlock()
	forEachTarget := func(do func(v *server)) {
		for _, k := range r.faultTargets[i] {
			do(r.servers[k])
		}
	}
	switch f.Kind {
	case "vanish", "crash", "zone_loss":
		forEachTarget(func(v *server) {
			v.mu.Lock()
			v.downUntil = max(v.downUntil, f.End())
			down := !v.up || v.silence != nil
			v.mu.Unlock()
			switch {
			case !begin && down:
				r.addError(v.restartCold())
			case begin && f.Kind == "crash":
				v.crash()
			case begin:
				v.goSilent()
			}
		})
	case "cold":
		forEachTarget(func(v *server) { r.addError(v.restartCold()) })
	case "drain":
		forEachTarget(func(v *server) {
			v.mu.Lock()
			serving := v.up && v.silence == nil
			if serving && begin {
				r.discovery.scheduleUpdate(v, "Terminating", r.scenario.Roster.AddLag/4)
			}
			v.mu.Unlock()
			if serving && !begin {
				r.addError(v.restartCold())
			}
		})
	case "backlog":
		r.updateEffects()
		forEachTarget(func(v *server) {
			if begin {
				v.fillBacklog()
			} else {
				v.clearBacklog()
			}
		})
	case "node_roll":
		if begin {
			for k, index := range r.faultTargets[i] {
				r.wg.Add(1)
				go func() {
					defer r.wg.Done()
					time.Sleep(time.Duration(k) * f.For / time.Duration(len(r.faultTargets[i])))
					r.restartNode(r.nodes[index], f.Delay)
				}()
			}
		}
	case "node_crash":
		if begin {
			for _, index := range r.faultTargets[i] {
				r.wg.Add(1)
				go func() {
					defer r.wg.Done()
					r.restartNode(r.nodes[index], f.For)
				}()
			}
		}
	case "node_stop":
		for _, index := range r.faultTargets[i] {
			r.mu.Lock()
			if begin {
				r.appendRecord(record{kind: nodeSuspended, at: r.now(), node: index, flag: true})
			}
			r.mu.Unlock()
			r.nodes[index].setSuspended(begin)
			if !begin { // requests that came just before it resumed were delayed too
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
		proxyFault, delay := standin.NoFault, time.Duration(0)
		if begin && f.Kind == "proxy_slow" {
			delay = f.Delay
		} else if begin {
			proxyFault = standin.MalformedReply
		}
		r.proxies[0].SetFault(proxyFault, delay)
	case "roster_down":
		r.discovery.setDown(begin)
	default:
		r.updateEffects()
	}
}

// restartNode kills a node and starts it again after the given time. Where such faults overlap, the node starts at the
// end of the last one.
func (r *rig) restartNode(n *node, downtime time.Duration) {
	if r.ctx.Err() != nil {
		return
	}
	n.mu.Lock()
	n.downUntil = max(n.downUntil, r.now()+downtime)
	n.mu.Unlock()
	n.kill()
	select {
	case <-time.After(downtime):
	case <-r.ctx.Done():
		return
	}
	n.mu.Lock()
	superseded := r.now() < n.downUntil
	if !superseded {
		n.downUntil = 1 << 62 // concurrent calls leave the start to this one
	}
	n.mu.Unlock()
	if !superseded {
		r.addError(n.start(r.ctx))
		n.mu.Lock()
		n.downUntil = 0
		n.mu.Unlock()
	}
}

// updateEffects computes the effects of all active faults on the servers and the load, and sets them.
func (r *rig) updateEffects() {
	r.mu.Lock()
	var effects []fleet.ServerEffects
	r.fleetEffects, effects = fleet.ActiveEffects(r.scenario, r.activeFaults, r.faultTargets, len(r.servers))
	r.mu.Unlock()
	for i, v := range r.servers {
		v.mu.Lock()
		v.effects = effects[i]
		v.mu.Unlock()
	}
}
