package model

import (
	"math/rand/v2"
	"time"

	"portstall/internal/health"
	"portstall/internal/lab/fleet"
	"portstall/internal/lab/scenario"
	"portstall/policy"
)

// evaluationInterval is the time between two evaluations of the health of all servers, as reports expire.
const evaluationInterval = 250 * time.Millisecond

// checker learns the health of servers by means other than requests: agents and checks. It uses the tracker and the
// probe schedules of the real node. A nil checker ignores all calls that a node makes without checks.
type checker struct {
	node      *node
	tracker   *health.Tracker
	schedules [2]*health.Schedule       // of agents and of checks, by agentProbe and checkProbe; nil: none
	applied   map[uint32]health.Verdict // by server ID: the verdict that the policy has received
}

// The kinds of health probes.
const (
	agentProbe = iota
	checkProbe
)

// newChecker creates the checker of a node and schedules its first probes.
func (sim *simulation) newChecker(n *node) *checker {
	c := &checker{node: n, applied: map[uint32]health.Verdict{}}
	pace, rules := sim.checks.ProbeRules(len(sim.nodes))
	c.tracker = health.NewTracker(rules)
	rng := rand.New(rand.NewPCG(sim.scenario.Seed, 0x636865636b<<16+uint64(n.index)<<8+uint64(n.incarnation)))
	for _, name := range scenario.SortedKeys(sim.checks.Probers()) {
		kind := checkProbe
		if name == "agent" {
			kind = agentProbe
		}
		c.schedules[kind] = health.NewSchedule(pace, rng.Float64)
		sim.schedule(sim.now, event{kind: evHealthProbe, index: int32(n.index), generation: n.incarnation,
			outcome: policy.Outcome(kind)})
	}
	sim.schedule(sim.now, event{kind: evHealthEvaluate, index: int32(n.index), generation: n.incarnation})
	return c
}

// updateServer applies an entry of the server list. A server that restarted starts without health reports.
func (c *checker) updateServer(sim *simulation, e policy.Entry) {
	if c == nil {
		return
	}
	old, known := c.applied[e.ID]
	srv := sim.byID[e.ID]
	restarted := known && c.node.entries[srv.index].Launched != e.Launched
	if e.State != policy.Active || restarted {
		c.tracker.Remove(e.ID)
		delete(c.applied, e.ID)
		for _, schedule := range c.schedules {
			if schedule != nil {
				schedule.Remove(e.ID)
			}
		}
		if old.Ejected {
			sim.handle(c.node, &policy.Event{Kind: policy.EvEnable, Server: e.ID})
		}
	}
	if _, known := c.applied[e.ID]; e.State != policy.Active || known {
		return
	}
	c.tracker.Add(e.ID)
	c.applied[e.ID] = health.Verdict{Weight: 1}
	for _, schedule := range c.schedules {
		if schedule != nil {
			schedule.Add(sim.now, e.ID)
		}
	}
}

// handleEvent starts the probes that are due, handles the reply to a probe, or evaluates all servers.
func (c *checker) handleEvent(sim *simulation, e *event) {
	n, kind := c.node, int(e.outcome)
	switch e.kind {
	case evHealthProbe:
		id, ok, wait := c.schedules[kind].Next(sim.now)
		for ; ok; id, ok, wait = c.schedules[kind].Next(sim.now) {
			srv := sim.byID[id]
			// The reply is that of the moment at which the probe is sent; without a reply the probe ends at its time-out.
			delay := sim.networkDelay(sim.scenario.Network.OneWay) + sim.networkDelay(sim.scenario.Network.OneWay)
			text, replies := sim.probeReply(srv, kind, n)
			if !replies {
				delay = sim.checks.Timeout
			}
			sim.schedule(sim.now+delay, event{kind: evHealthReply, index: int32(n.index), arg: int32(srv.index),
				generation: n.incarnation, outcome: e.outcome, token: text})
		}
		sim.schedule(sim.now+max(wait, time.Millisecond), event{kind: evHealthProbe, index: int32(n.index),
			generation: n.incarnation, outcome: e.outcome})
	case evHealthReply:
		id := sim.servers[e.arg].ID
		switch {
		case kind == checkProbe:
			c.tracker.RecordCheck(sim.now, id, e.token == fleet.CheckOK, e.token)
		default:
			if report, _, err := health.ParseAgent(e.token); err == nil {
				c.tracker.RecordAgent(sim.now, id, report)
			}
		}
		if _, changed := c.tracker.Evaluate(sim.now, id); changed {
			c.applyVerdict(sim, id)
		}
		c.schedules[kind].Done(sim.now, id, c.tracker.ServesRequests(sim.now, id))
	case evHealthEvaluate:
		for i := range sim.servers { // in a fixed order, for the digest
			if _, changed := c.tracker.Evaluate(sim.now, sim.servers[i].ID); changed {
				c.applyVerdict(sim, sim.servers[i].ID)
			}
		}
		sim.schedule(sim.now+evaluationInterval, event{kind: evHealthEvaluate, index: int32(n.index), generation: n.incarnation})
	}
}

// probeReply returns the reply of a server's agent, or the result of a check. A server that is down refuses a check at
// once.
func (sim *simulation) probeReply(srv *server, kind int, n *node) (text string, replies bool) {
	if !srv.up || srv.silent || sim.isCut(n, srv) {
		return "no answer", kind == checkProbe && !srv.up && !srv.silent
	}
	return fleet.ProbeReply(sim.scenario, sim.activeFaults, sim.faultTargets, srv.index, &srv.effects, kind == agentProbe, sim.now)
}

// requestEnded records the outcome of a request to a server.
func (c *checker) requestEnded(now time.Duration, id uint32, o policy.Outcome) {
	if c != nil && health.OutcomeCounts(o) {
		c.tracker.RecordRequest(now, id, o == policy.OK)
	}
}

// applyVerdict passes a changed verdict to the policy, and a change of a drain to the oracles.
func (c *checker) applyVerdict(sim *simulation, id uint32) {
	n, verdict, old := c.node, c.tracker.Verdict(id), c.applied[id]
	c.applied[id] = verdict
	index := sim.byID[id].index
	events := health.PolicyEvents(id, old, verdict, false)
	for i := range events {
		sim.handle(n, &events[i])
	}
	if verdict.Ejected != old.Ejected && sim.options.OnEject != nil {
		sim.options.OnEject(sim.now, n.index, index, verdict.Ejected)
	}
	if verdict.Drain != old.Drain {
		sim.records.Notified(sim.now, n.index, id, n.noNewRequests(index), scenarioTime(n.entries[index].Launched))
		if verdict.Drain {
			sim.schedule(sim.now+sim.scenario.Rules.DrainGrace*9/10+sim.scenario.Rules.TunnelDrain, event{kind: evTunnelDeadline,
				index: int32(n.index), generation: n.incarnation, arg: int32(index)})
		}
	}
}

// noNewRequests reports whether the server list or an agent's drain has announced to a node that a server must not get
// new requests.
func (n *node) noNewRequests(index int) bool {
	e := &n.entries[index]
	return e.State != policy.Active || n.checker != nil && n.checker.applied[e.ID].Drain
}
