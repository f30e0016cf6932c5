package model

import (
	"math/rand/v2"
	"time"

	"portstall/internal/health"
	"portstall/internal/lab/fleet"
	"portstall/internal/lab/scenario"
	"portstall/policy"
)

// weighEach is how often a node works out anew what it makes of words that fade.
const weighEach = 250 * time.Millisecond

// checker is what a node does to know of servers besides requests: the book and the schedules of the real one.
type checker struct {
	node    *node
	book    *health.Book
	due     [2]*health.Schedule // of agents, and of checks; nil: not asked
	applied map[uint32]health.Verdict
}

const (
	ofAgent = iota
	ofCheck
)

func (w *world) newChecker(n *node) *checker {
	c := &checker{node: n, applied: map[uint32]health.Verdict{}}
	pace, rules := w.checks.Weighing(len(w.nodes))
	c.book = health.NewBook(rules)
	rng := rand.New(rand.NewPCG(w.s.Seed, 0x636865636b<<16+uint64(n.index)<<8+uint64(n.life)))
	for _, name := range scenario.Sorted(w.checks.Probers()) {
		kind := ofCheck
		if name == "agent" {
			kind = ofAgent
		}
		c.due[kind] = health.NewSchedule(pace, rng.Float64)
		w.at(w.now, event{kind: evCheck, a: int32(n.index), gen: n.life, out: policy.Outcome(kind)})
	}
	w.at(w.now, event{kind: evWeigh, a: int32(n.index), gen: n.life})
	return c
}

// listed takes in what the list tells of a server.
func (c *checker) listed(w *world, e policy.Entry) {
	if c == nil {
		return
	}
	old, known := c.applied[e.ID]
	v := w.byID[e.ID]
	anew := known && c.node.known[v.index].Launched != e.Launched
	if e.State != policy.Active || anew {
		c.book.Remove(e.ID)
		delete(c.applied, e.ID)
		for _, d := range c.due {
			if d != nil {
				d.Remove(e.ID)
			}
		}
		if old.Out {
			w.handle(c.node, &policy.Event{Kind: policy.EvEnable, Server: e.ID})
		}
	}
	if _, known := c.applied[e.ID]; e.State != policy.Active || known {
		return
	}
	c.book.Add(e.ID)
	c.applied[e.ID] = health.Verdict{Weight: 1}
	for _, d := range c.due {
		if d != nil {
			d.Add(w.now, e.ID)
		}
	}
}

// event is a look at what is due, what was said, or the time to weigh all.
func (c *checker) event(w *world, e *event) {
	n, kind := c.node, int(e.out)
	switch e.kind {
	case evCheck:
		id, ok, wait := c.due[kind].Next(w.now)
		for ; ok; id, ok, wait = c.due[kind].Next(w.now) {
			v := w.byID[id]
			// It is asked when the question arrives, and heard of at the time-out if it says nothing.
			take := w.delay(w.s.Network.OneWay) + w.delay(w.s.Network.OneWay)
			word, answers := w.says(v, kind, n)
			if !answers {
				take = w.checks.Timeout
			}
			w.at(w.now+take, event{kind: evSaid, a: int32(n.index), b: int32(v.index), gen: n.life, out: e.out, token: word})
		}
		w.at(w.now+max(wait, time.Millisecond), event{kind: evCheck, a: int32(n.index), gen: n.life, out: e.out})
	case evSaid:
		id := w.servers[e.b].ID
		switch {
		case kind == ofCheck:
			c.book.Check(w.now, id, e.token == fleet.CheckOK, e.token)
		default:
			if word, _, err := health.ParseAgent(e.token); err == nil {
				c.book.Agent(w.now, id, word)
			}
		}
		if _, changed := c.book.Weigh(w.now, id); changed {
			c.apply(w, id)
		}
		c.due[kind].Done(w.now, id, c.book.Spoken(w.now, id))
	case evWeigh:
		for i := range w.servers { // in a stated order
			if _, changed := c.book.Weigh(w.now, w.servers[i].ID); changed {
				c.apply(w, w.servers[i].ID)
			}
		}
		w.at(w.now+weighEach, event{kind: evWeigh, a: int32(n.index), gen: n.life})
	}
}

// says is what a server's agent says, or how a check of it ends. One that is down refuses a check at once.
func (w *world) says(v *server, kind int, n *node) (text string, answers bool) {
	if !v.up || v.silent || w.isCut(n, v) {
		return "no answer", kind == ofCheck && !v.up && !v.silent
	}
	return fleet.Says(w.s, w.active, w.hits, v.index, &v.trouble, kind == ofAgent, w.now)
}

// real takes in what became of a request.
func (c *checker) real(now time.Duration, id uint32, o policy.Outcome) {
	if c != nil && health.Tells(o) {
		c.book.Real(now, id, o == policy.OK)
	}
}

// apply hands a verdict to the policy, and tells the oracle of a drain.
func (c *checker) apply(w *world, id uint32) {
	n, v, old := c.node, c.book.Verdict(id), c.applied[id]
	c.applied[id] = v
	index := w.byID[id].index
	steps := health.Steps(id, old, v, false)
	for i := range steps {
		w.handle(n, &steps[i])
	}
	if v.Out != old.Out && w.opt.Out != nil {
		w.opt.Out(w.now, n.index, index, v.Out)
	}
	if v.Drain != old.Drain {
		w.book.Told(w.now, n.index, id, n.toldOut(index), since(n.known[index].Launched))
		if v.Drain {
			w.at(w.now+w.s.Rules.DrainGrace*9/10+w.s.Rules.TunnelDrain, event{kind: evCut, a: int32(n.index), gen: n.life, b: int32(index)})
		}
	}
}

// toldOut tells whether a node was told, by the list or an agent's drain, that nothing new may go to a server.
func (n *node) toldOut(index int) bool {
	e := &n.known[index]
	return e.State != policy.Active || n.checker != nil && n.checker.applied[e.ID].Drain
}
