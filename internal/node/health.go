package node

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"

	"portstall/internal/back"
	"portstall/internal/config"
	"portstall/internal/health"
	"portstall/internal/health/party"
	"portstall/internal/health/probe"
	"portstall/internal/mgmt"
	"portstall/policy"
)

const (
	probesMost  = 256                    // probes under way at a time
	weighEach   = 250 * time.Millisecond // words fade: all verdicts are worked out anew
	lateFailure = 250 * time.Millisecond // a probe that ended this long past its time-out tells of this node, not of its server
)

// checker probes the listed web servers, weighs what is said of them, and hands the verdicts to the policy. Its own lock
// comes after the core's where both are held.
type checker struct {
	node  *node
	set   config.Checks
	kinds []*protocol
	slots chan struct{}

	mu      sync.Mutex
	book    *health.Book
	servers map[uint32]*checked
	ids     map[string]uint32 // numbers, by discovery's ids
	probes  int64
	failed  int64
	late    int64
}

// protocol is one that servers are probed by.
type protocol struct {
	name   string
	prober probe.Prober
	agent  bool // its words are an agent's
	due    *health.Schedule
	wake   chan struct{} // something has become due earlier than was thought
}

// nudge lets the protocol's loop look again.
func (k *protocol) nudge() {
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

// checked is what the checker knows of a server besides the book.
type checked struct {
	*back.Server
	number  uint32
	applied health.Verdict // what the policy was told
	unknown string         // words that its agent said and nobody knows
	oks     float64        // real requests answered lately,
	kos     float64        // and failed
}

// newChecker makes the checker of a file; nil where it asks for none. It begins with start.
func newChecker(n *node, set *config.Checks) (*checker, error) {
	if set == nil {
		return nil, nil
	}
	ready, err := set.Ready()
	if err != nil {
		return nil, err
	}
	c := &checker{node: n, set: ready, slots: make(chan struct{}, probesMost), servers: map[uint32]*checked{}, ids: map[string]uint32{}}
	pace, rules := ready.Weighing(n.cfg.Settings.Policy.Nodes)
	c.book = health.NewBook(rules)
	for name, p := range ready.Probers() {
		if a, ok := p.(*probe.AgentCheck); ok {
			a.Unknown = c.unknown
		}
		c.kinds = append(c.kinds, &protocol{name: name, prober: p, agent: name == "agent",
			due: health.NewSchedule(pace, rand.Float64), wake: make(chan struct{}, 1)})
	}
	return c, nil
}

// start begins to probe.
func (c *checker) start() {
	for _, k := range c.kinds {
		c.node.core.Go(func() { c.run(k) })
	}
	c.node.core.Go(c.weigh)
}

// stop ends what the probers keep. The core has been closed.
func (c *checker) stop() {
	if c != nil {
		for _, k := range c.kinds {
			k.prober.Close()
		}
	}
}

// listed takes in what the list tells of a server: one that is new or has started anew is probed from now on and nothing is
// known of it, one that drains or has left is no longer probed. The core's lock is held.
func (c *checker) listed(b *backend) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	old := c.servers[b.number]
	gone := b.left || b.Stop.Load() != 0
	if old != nil && (gone || old.Server != b.Server) {
		c.book.Remove(b.number)
		delete(c.servers, b.number)
		delete(c.ids, old.ID)
		for _, k := range c.kinds {
			k.due.Remove(b.number)
			if g, ok := k.prober.(*probe.GRPC); ok {
				g.Forget(old.ID)
			}
		}
		if old.applied.Out {
			c.node.core.Go(func() { c.lift(old) })
		}
	}
	if gone || old != nil && old.Server == b.Server {
		return
	}
	c.book.Add(b.number)
	c.servers[b.number] = &checked{Server: b.Server, number: b.number, applied: health.Verdict{Weight: 1}}
	c.ids[b.ID] = b.number
	for _, k := range c.kinds {
		k.due.Add(c.node.core.Now(), b.number)
		k.nudge()
	}
}

// lift takes back that a server is out which is another process by now, or is not listed: if it comes back, nothing is
// known of it.
func (c *checker) lift(s *checked) {
	n := c.node
	n.hand.order.Lock()
	defer n.hand.order.Unlock()
	n.core.Lock()
	stays := n.keptOut(s.ID, s.number)
	if !stays {
		n.core.Handle(&policy.Event{Kind: policy.EvEnable, Server: s.number})
	}
	n.core.Unlock()
	s.Gate.Set(stays)
}

// run probes by one protocol until the node ends.
func (c *checker) run(k *protocol) {
	ctx := c.node.core.Context()
	for ctx.Err() == nil {
		c.mu.Lock()
		id, due, wait := k.due.Next(c.node.core.Now())
		s := c.servers[id]
		c.mu.Unlock()
		if !due {
			t := time.NewTimer(max(wait, time.Millisecond))
			select {
			case <-t.C:
			case <-k.wake:
			case <-ctx.Done():
			}
			t.Stop()
			continue
		}
		select {
		case c.slots <- struct{}{}:
		case <-ctx.Done():
			return
		}
		c.node.core.Lock()
		c.node.core.Go(func() {
			defer func() { <-c.slots }()
			c.probe(ctx, k, s)
		})
		c.node.core.Unlock()
	}
}

// probe asks one server once, and acts on what it says.
func (c *checker) probe(ctx context.Context, k *protocol, s *checked) {
	dial := probe.Dial((&net.Dialer{}).DialContext)
	if via := s.Via; via != nil {
		dial = func(ctx context.Context, _, addr string) (net.Conn, error) { return via(ctx, &net.Dialer{}, addr) }
	}
	begun := time.Now()
	limited, cancel := context.WithTimeout(ctx, c.set.Timeout)
	w, err := k.prober.Probe(limited, probe.Target{ID: s.ID, Addr: s.Addr, Dial: dial})
	cancel()
	late := err != nil && (time.Since(begun) > c.set.Timeout+lateFailure || back.OwnTrouble(err))
	c.mu.Lock()
	now := c.node.core.Now()
	changed := false
	if ctx.Err() == nil && c.servers[s.number] == s {
		c.probes++
		switch {
		case late: // this node was slow itself
			c.late++
		case err != nil:
			c.failed++
			if !k.agent { // one that says nothing says nothing; its earlier words fade
				c.book.Check(now, s.number, false, k.name+": "+err.Error())
			}
		case k.agent:
			c.book.Agent(now, s.number, w)
		case w.State != health.Untold:
			c.book.Check(now, s.number, w.State == health.Up, k.name+": "+w.Reason)
		}
		_, changed = c.book.Weigh(now, s.number)
	}
	k.due.Done(now, s.number, c.book.Spoken(now, s.number))
	c.mu.Unlock()
	if changed {
		c.apply(s.number)
	}
}

// weigh works all verdicts out anew, a few times a second.
func (c *checker) weigh() {
	for ctx := c.node.core.Context(); ctx.Err() == nil; sleep(ctx, weighEach) {
		var changed []uint32
		c.mu.Lock()
		now, before := c.node.core.Now(), c.book.Panic()
		for id := range c.servers {
			if _, ch := c.book.Weigh(now, id); ch {
				changed = append(changed, id)
			}
		}
		panics := c.book.Panic()
		c.mu.Unlock()
		if panics != before {
			c.node.log.Warn("health: most of the fleet is said to be bad", "suspected", panics)
		}
		for _, id := range changed {
			c.apply(id)
		}
	}
}

// real takes in how an attempt at a server ended.
func (c *checker) real(s *back.Server, o policy.Outcome) {
	if c == nil || !health.Tells(o) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if id, known := c.ids[s.ID]; known {
		c.book.Real(c.node.core.Now(), id, o == policy.OK)
		if s := c.servers[id]; o == policy.OK {
			s.oks++
		} else {
			s.kos++
		}
	}
}

// apply hands a server's verdict to the policy and shuts or opens its gate. An order of operators goes before it.
func (c *checker) apply(id uint32) {
	n := c.node
	n.hand.order.Lock()
	defer n.hand.order.Unlock()
	n.core.Lock()
	c.mu.Lock()
	s := c.servers[id]
	if s == nil {
		c.mu.Unlock()
		n.core.Unlock()
		return
	}
	v, old := c.book.Verdict(id), s.applied
	s.applied = v
	c.mu.Unlock()
	steps := health.Steps(id, old, v, n.hand.disabled[s.ID])
	for i := range steps {
		n.core.Handle(&steps[i])
	}
	stays := n.keptOut(s.ID, id)
	n.core.Unlock()
	if v.Out != old.Out {
		s.Gate.Set(stays) // not under the core's lock: it waits for what is being written
	}
	if v.Drain && !old.Drain {
		n.opaque.Drain(s.Server)
	}
	if v.Out != old.Out || v.Against != old.Against {
		n.log.Info("health", "server", s.ID, "out", v.Out, "weight", v.Weight, "why", v.Why, "against", v.Against)
	}
}

// out tells whether a server is out by what is said of it. The core's lock is held.
func (c *checker) out(number uint32) bool {
	if c == nil {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.servers[number]
	return s != nil && s.applied.Out
}

// unknown logs words that an agent says and nobody knows, once for as long as they are the same.
func (c *checker) unknown(id string, words []string) {
	c.mu.Lock()
	s, text := c.servers[c.ids[id]], fmt.Sprint(words)
	fresh := s != nil && s.unknown != text
	if fresh {
		s.unknown = text
	}
	c.mu.Unlock()
	if fresh {
		c.node.log.Warn("health: an agent says what is not known", "server", id, "words", text)
	}
}

// Health tells operators what is made of what is said of a server.
type Health struct {
	Server  string  `json:"server"`
	Out     bool    `json:"out"`
	Drain   bool    `json:"drain"`
	Weight  float64 `json:"weight"`
	MaxConn int     `json:"maxconn,omitempty"`
	Why     string  `json:"why"`
	Against string  `json:"against,omitempty"`
	ByHand  bool    `json:"by_hand"` // operators have it out; that goes before all else
}

// Checks tells operators how the checker stands, and of a server or (none named) all of which anything is said.
type Checks struct {
	Suspected bool     `json:"suspected"` // most of the fleet is said to be bad: that is not believed
	Probes    int64    `json:"probes"`    // since the start,
	Failed    int64    `json:"failed"`    // and of them without an answer that can be used,
	Late      int64    `json:"late"`      // or with none because this node was slow itself
	Servers   []Health `json:"servers"`
}

// healthOf is what the checker makes of a server, or of all. An error is mgmt.ErrUnknown.
func (n *node) healthOf(id string) (*Checks, error) {
	c := n.checker
	n.core.Lock()
	defer n.core.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	out := &Checks{Suspected: c.book.Panic(), Probes: c.probes, Failed: c.failed, Late: c.late, Servers: []Health{}}
	for number, s := range c.servers {
		v, byHand := c.book.Verdict(number), n.hand.disabled[s.ID]
		if id == s.ID || id == "" && (byHand || v.Why != "" || v.Against != "") {
			out.Servers = append(out.Servers, Health{s.ID, v.Out || byHand, v.Drain, v.Weight, v.MaxConn, v.Why, v.Against, byHand})
		}
	}
	if id != "" && len(out.Servers) == 0 {
		return nil, mgmt.ErrUnknown
	}
	slices.SortFunc(out.Servers, func(a, b Health) int { return cmp.Compare(a.Server, b.Server) })
	return out, nil
}

// answers opens the listeners on which this node is checked; nil where the file names none.
func (n *node) answers(ctx context.Context) (*party.Party, error) {
	f := n.cfg.Product
	if f == nil || f.Health == nil || f.Health.Answer == nil {
		return nil, nil
	}
	o := party.Options{Agent: f.Health.Answer.Agent, HTTP: f.Health.Answer.HTTP, GRPC: f.Health.Answer.GRPC, Look: n.standing, Log: n.log}
	for _, s := range f.Services {
		o.Services = append(o.Services, s.Name)
	}
	return party.Listen(ctx, o)
}

// standing is how the node stands, for those that check it.
func (n *node) standing() party.Status {
	s := party.Status{Headroom: 1 - n.core.Stats(0).Pressure}
	n.core.Lock()
	ready := n.ready
	n.core.Unlock()
	switch {
	case n.life.sendsAway():
		s.State = party.Draining
	case !ready:
		s.State, s.Reason = party.Down, "no web server is listed as ready"
	case s.Headroom < 1:
		s.Reason = "part of the latest requests met no normal web server"
	}
	return s
}
