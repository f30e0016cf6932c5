package coldsum

import (
	"math"
	"sort"
	"strconv"
	"time"

	"portstall/policy"
)

// play lets one event happen.
func (w *world) play(e *event) {
	switch e.kind {
	case evArrive:
		w.asked++
		c := &call{begun: w.now, tries: 1}
		if w.rng.Float64() < heavy {
			c.class = 1
		}
		w.arrive(c)
		gap := w.rng.ExpFloat64() / (float64(w.Servers) * w.Capacity * w.Load * w.rate(w.now))
		w.put(event{at: w.now + time.Duration(gap*float64(time.Second)), kind: evArrive})
	case evTick:
		w.handle(e.node, nil, &policy.Event{Kind: policy.EvTimer, Token: "tick"})
		w.put(event{at: w.now + 250*time.Millisecond, kind: evTick, node: e.node})
	case evNews:
		w.told[e.node][e.entry.ID] = max(w.told[e.node][e.entry.ID], e.entry.Launched)
		w.handle(e.node, nil, &policy.Event{Kind: policy.EvList, List: policy.ListDelta, Entries: []policy.Entry{e.entry}})
	case evReach:
		w.reach(e.server, e.call, e.index)
	case evDone:
		if e.server.launches != e.index {
			return // its process has ended
		}
		e.server.busy--
		w.work(e.server)
	case evOutcome:
		w.outcome(e)
	case evStart:
		w.start(e.server)
	case evSilent:
		e.server.silent = true
	case evLeaving:
		e.server.State = policy.Leaving
		w.tell(e.server)
		w.start(w.add())
		w.put(event{at: w.now + 3*time.Second, kind: evLeft, server: e.server})
	case evLeft:
		e.server.State = policy.Left
		w.tell(e.server)
	}
}

// arrive brings a client's try to a node.
func (w *world) arrive(c *call) {
	at := sort.SearchFloat64s(w.weights, w.rng.Float64()*w.weights[len(w.weights)-1])
	w.calls++
	c.id, c.node = strconv.Itoa(w.calls), min(at, w.Nodes-1)
	w.handle(c.node, c, &policy.Event{Kind: policy.EvRequest, ID: c.id, Class: strconv.Itoa(c.class), Left: c.begun + patience - w.now, Repeat: c.tries > 1})
}

// handle hands an event to a node and does what it says; c is the call that it is about.
func (w *world) handle(node int, c *call, ev *policy.Event) {
	out := w.nodes[node].Handle(w.now, ev, nil)
	for i := range out {
		switch a := &out[i]; a.Kind {
		case policy.ActSend:
			w.send(c, a)
		case policy.ActRefuse, policy.ActFail:
			c.over = true
			again := w.now + 30*time.Millisecond + w.random(100*time.Millisecond)
			if c.tries < triesMost && again < c.begun+patience-20*time.Millisecond {
				w.put(event{at: again, kind: evReach, call: &call{class: c.class, begun: c.begun, tries: c.tries + 1}})
			}
		}
	}
}

// send books an attempt and has it on its way.
func (w *world) send(c *call, a *policy.Action) {
	s := w.servers[a.Server]
	c.attempts++
	c.open, c.sent = true, w.now
	w.count(s, c)
	w.put(event{at: w.now + crossing, kind: evReach, call: c, server: s, index: c.attempts - 1})
	w.put(event{at: w.now + a.Wait, kind: evOutcome, call: c, server: s, index: c.attempts - 1, result: policy.TimedOut})
}

// count holds a send against the rule.
func (w *world) count(s *server, c *call) {
	st := s.start
	if st == nil {
		return
	}
	ramp := w.Share + (1-w.Share)*min(1, (w.now-s.Launched).Seconds()/w.ColdFor.Seconds())
	if ramp >= 1 {
		s.start = nil
		return
	}
	told := w.told[c.node][s.ID] >= s.Launched
	mean := works[0]*(1-heavy) + works[1]*heavy
	st.window = append(st.window, send{w.now, works[c.class] / mean, told})
	sum, known := 0.0, 0.0
	for len(st.window) > 0 && st.window[0].at < w.now-w.FallFor {
		st.window = st.window[1:]
	}
	for _, x := range st.window {
		if sum += x.work; x.told {
			known += x.work
		}
	}
	n := w.Multiple * ramp * w.Capacity * w.FallFor.Seconds()
	w.worst = max(w.worst, (sum-n)/math.Sqrt(n))
	st.used, st.windows = st.used+sum/n, st.windows+1
	if sum > n+Slack(n) && !st.fell {
		st.fell = true
		if known > sum*2/3 {
			st.told = known
		}
	}
}

// reach brings an attempt to its server, or a client's repeat to a node.
func (w *world) reach(s *server, c *call, index int) {
	switch {
	case s == nil:
		w.arrive(c)
	case s.silent:
	case s.failing && w.rng.Float64() < 0.6:
		w.put(event{at: w.now + crossing, kind: evOutcome, call: c, server: s, index: index, result: policy.Failed})
	case len(s.queue) >= queueMost:
		w.put(event{at: w.now + crossing, kind: evOutcome, call: c, server: s, index: index, result: policy.Full})
	default:
		s.queue = append(s.queue, waiting{c, index})
		w.work(s)
	}
}

// work lets a server begin what waits, as far as it has slots.
func (w *world) work(s *server) {
	for s.busy < slots && len(s.queue) > 0 {
		x := s.queue[0]
		s.queue = s.queue[1:]
		if x.call.over || !x.call.open || x.call.attempts-1 != x.index {
			continue // its node has given it up
		}
		ramp := 1.0
		if s.Launched > 0 {
			ramp = min(1, w.Share+(1-w.Share)*(w.now-s.Launched).Seconds()/w.ColdFor.Seconds())
		}
		mean := works[0]*(1-heavy) + works[1]*heavy
		took := works[x.call.class] / mean * slots / (w.Capacity * ramp) * (0.5 + 0.5*w.rng.ExpFloat64())
		s.busy++
		done := w.now + time.Duration(took*float64(time.Second))
		w.put(event{at: done, kind: evDone, server: s, index: s.launches})
		w.put(event{at: done + crossing, kind: evOutcome, call: x.call, server: s, index: x.index, result: policy.OK, launch: s.launches})
	}
}

// outcome brings an attempt's end to its node, unless it has one.
func (w *world) outcome(e *event) {
	c := e.call
	if c.over || !c.open || c.attempts-1 != e.index {
		return
	}
	if e.result == policy.OK && (e.server.silent || e.server.launches != e.launch) {
		return // its process ended before
	}
	c.open = false
	if e.result == policy.OK {
		c.over = true
		w.served++
	}
	load := policy.Load{Known: e.result != policy.TimedOut, Queue: float64(len(e.server.queue)), Held: -1}
	w.handle(c.node, c, &policy.Event{Kind: policy.EvOutcome, ID: c.id, Server: e.server.ID, Attempt: e.index, Took: w.now - c.sent,
		Last: e.result == policy.OK, Outcome: e.result, Load: load})
}

// start starts a server anew, cold: what it held is lost and times out.
func (w *world) start(s *server) {
	w.launch(s)
	w.tell(s)
}

func (w *world) launch(s *server) {
	s.Launched, s.silent, s.busy, s.queue = w.now, false, 0, nil
	s.launches++
	s.start = &start{}
	w.starts = append(w.starts, s.start)
}
