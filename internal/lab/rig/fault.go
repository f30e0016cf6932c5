package rig

import (
	"time"

	"portstall/internal/lab/fleet"
	"portstall/internal/lab/standin"
)

// fault lets a fault begin or end.
func (r *rig) fault(i int, begin bool) {
	if r.ctx.Err() != nil {
		return
	}
	f := &r.s.Faults[i]
	r.mu.Lock()
	r.active[i] = begin && f.For > 0
	r.mu.Unlock()
	servers := func(do func(v *server)) {
		for _, k := range r.hits[i] {
			do(r.servers[k])
		}
	}
	switch f.Kind {
	case "vanish", "crash", "zone_loss":
		servers(func(v *server) {
			v.mu.Lock()
			v.until = max(v.until, f.End())
			away := !v.up || v.silent != nil
			v.mu.Unlock()
			switch {
			case !begin && away:
				r.fail(v.back())
			case begin && f.Kind == "crash":
				v.crash()
			case begin:
				v.vanish()
			}
		})
	case "cold":
		servers(func(v *server) { r.fail(v.back()) })
	case "drain":
		servers(func(v *server) {
			v.mu.Lock()
			serves := v.up && v.silent == nil
			if serves && begin {
				r.roster.list(v, "Terminating", r.s.Roster.AddLag/4)
			}
			v.mu.Unlock()
			if serves && !begin {
				r.fail(v.back())
			}
		})
	case "backlog":
		r.effects()
		servers(func(v *server) {
			if begin {
				v.stuff()
			} else {
				v.unstuff()
			}
		})
	case "node_roll":
		if begin {
			for k, index := range r.hits[i] {
				r.wg.Add(1)
				go func() {
					defer r.wg.Done()
					time.Sleep(time.Duration(k) * f.For / time.Duration(len(r.hits[i])))
					r.bounce(r.nodes[index], f.Delay)
				}()
			}
		}
	case "node_crash":
		if begin {
			for _, index := range r.hits[i] {
				r.wg.Add(1)
				go func() {
					defer r.wg.Done()
					r.bounce(r.nodes[index], f.For)
				}()
			}
		}
	case "node_stop":
		for _, index := range r.hits[i] {
			r.mu.Lock()
			if begin {
				r.note(record{what: frozen, at: r.now(), node: index, out: true})
			}
			r.mu.Unlock()
			r.nodes[index].freeze(begin)
			if !begin { // what came just before it went on was held too
				r.mu.Lock()
				r.note(record{what: frozen, at: r.now() + 100*time.Millisecond, node: index})
				r.mu.Unlock()
			}
		}
	case "proxy_down":
		if begin {
			r.proxies[0].Stop()
		} else {
			r.fail(r.proxies[0].Start())
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
		r.roster.setDown(begin)
	default:
		r.effects()
	}
}

// bounce kills a node and brings it back.
func (r *rig) bounce(n *node, gone time.Duration) {
	if r.ctx.Err() != nil {
		return
	}
	n.mu.Lock()
	n.until = max(n.until, r.now()+gone)
	n.mu.Unlock()
	n.kill()
	select {
	case <-time.After(gone):
	case <-r.ctx.Done():
		return
	}
	n.mu.Lock()
	early := r.now() < n.until
	if !early {
		n.until = 1 << 62 // whoever else waits for it leaves it to this one
	}
	n.mu.Unlock()
	if !early {
		r.fail(n.start(r.ctx))
		n.mu.Lock()
		n.until = 0
		n.mu.Unlock()
	}
}

// effects works out what the faults in force do to the servers and the load.
func (r *rig) effects() {
	r.mu.Lock()
	var troubles []fleet.Trouble
	r.weather, troubles = fleet.InForce(r.s, r.active, r.hits, len(r.servers))
	r.mu.Unlock()
	for i, v := range r.servers {
		v.mu.Lock()
		v.trouble = troubles[i]
		v.mu.Unlock()
	}
}
