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
	maxProbes = 256 // probes under way at a time, of all protocols
	// verdictInterval is the pause between two evaluations of all verdicts, which change with time as reports expire.
	verdictInterval = 250 * time.Millisecond
	// lateProbeMargin is how long after its time-out a failed probe may end and still count against the server. A later
	// one shows that this node was slow.
	lateProbeMargin = 250 * time.Millisecond
)

// healthChecker probes the listed web servers, combines the reports about them, and passes the verdicts to the policy.
// Where both locks are held, the core's lock is taken first and mu after it.
type healthChecker struct {
	node      *node
	checks    config.Checks
	protocols []*probeProtocol
	slots     chan struct{} // limits the probes under way

	mu      sync.Mutex // guards the fields below and the protocols' schedules
	tracker *health.Tracker
	servers map[uint32]*checkedServer // by number
	ids     map[string]uint32         // numbers by discovery's IDs
	probes  int64                     // probes since the start
	failed  int64                     // probes that failed for another reason than lateness
	late    int64                     // failed probes that ended late, or failed, because of this node
}

// probeProtocol is a protocol by which servers are probed.
type probeProtocol struct {
	name     string
	prober   probe.Prober
	agent    bool // an agent check: its reports come from the server's agent
	schedule *health.Schedule
	wake     chan struct{} // signals that a probe is due earlier than the loop expects
}

// wakeUp makes the protocol's loop read its schedule again.
func (p *probeProtocol) wakeUp() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// checkedServer is what the checker knows of a server besides the tracker's state. It is guarded by the checker's lock.
type checkedServer struct {
	*back.Server
	number       uint32
	applied      health.Verdict // the verdict that the policy was notified of
	unknownWords string         // words in its agent's latest report that are not known
	successes    float64        // real requests answered lately, decaying over 10 s
	failures     float64        // real requests failed lately, decaying over 10 s
}

// newHealthChecker returns the checker for a file's checks, or nil where the file has none. start starts it.
func newHealthChecker(n *node, checks *config.Checks) (*healthChecker, error) {
	if checks == nil {
		return nil, nil
	}
	checked, err := checks.WithDefaults()
	if err != nil {
		return nil, err
	}
	c := &healthChecker{node: n, checks: checked, slots: make(chan struct{}, maxProbes), servers: map[uint32]*checkedServer{}, ids: map[string]uint32{}}
	pace, rules := checked.ProbeRules(n.cfg.Settings.Policy.Nodes)
	c.tracker = health.NewTracker(rules)
	for name, prober := range checked.Probers() {
		if agent, ok := prober.(*probe.AgentCheck); ok {
			agent.OnUnknown = c.logUnknownWords
		}
		c.protocols = append(c.protocols, &probeProtocol{name: name, prober: prober, agent: name == "agent",
			schedule: health.NewSchedule(pace, rand.Float64), wake: make(chan struct{}, 1)})
	}
	return c, nil
}

// start starts the probes.
func (c *healthChecker) start() {
	for _, protocol := range c.protocols {
		c.node.core.Go(func() { c.probeLoop(protocol) })
	}
	c.node.core.Go(c.verdictLoop)
}

// stop releases the probers' connections. The core has been closed before.
func (c *healthChecker) stop() {
	if c != nil {
		for _, protocol := range c.protocols {
			protocol.prober.Close()
		}
	}
}

// serverChanged updates the checker for a server on the list. One that is new, or has been started again, is probed
// from now on and nothing is known of it; one that drains or was removed is no longer probed. The core's lock is held.
func (c *healthChecker) serverChanged(server *webServer) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	old := c.servers[server.number]
	removed := server.removed || server.StopAt.Load() != 0
	if old != nil && (removed || old.Server != server.Server) {
		c.tracker.Remove(server.number)
		delete(c.servers, server.number)
		delete(c.ids, old.ID)
		for _, protocol := range c.protocols {
			protocol.schedule.Remove(server.number)
			if grpc, ok := protocol.prober.(*probe.GRPC); ok {
				grpc.Forget(old.ID)
			}
		}
		if old.applied.Ejected {
			c.node.core.Go(func() { c.clearVerdict(old) })
		}
	}
	if removed || old != nil && old.Server == server.Server {
		return
	}
	c.tracker.Add(server.number)
	c.servers[server.number] = &checkedServer{Server: server.Server, number: server.number, applied: health.Verdict{Weight: 1}}
	c.ids[server.ID] = server.number
	for _, protocol := range c.protocols {
		protocol.schedule.Add(c.node.core.Now(), server.number)
		protocol.wakeUp()
	}
}

// clearVerdict revokes the verdict that took a server out of service. It is called once the server was started again or
// removed from the list: when it comes back, nothing is known of it.
func (c *healthChecker) clearVerdict(server *checkedServer) {
	n := c.node
	n.overrides.callMu.Lock()
	defer n.overrides.callMu.Unlock()
	n.core.Lock()
	stillOut := n.outOfService(server.ID, server.number)
	if !stillOut {
		n.core.Handle(&policy.Event{Kind: policy.EvEnable, Server: server.number})
	}
	n.core.Unlock()
	server.Gate.SetClosed(stillOut)
}

// probeLoop probes the servers by one protocol until the node ends.
func (c *healthChecker) probeLoop(protocol *probeProtocol) {
	ctx := c.node.core.Context()
	for ctx.Err() == nil {
		c.mu.Lock()
		number, due, wait := protocol.schedule.Next(c.node.core.Now())
		server := c.servers[number]
		c.mu.Unlock()
		if !due {
			timer := time.NewTimer(max(wait, time.Millisecond))
			select {
			case <-timer.C:
			case <-protocol.wake:
			case <-ctx.Done():
			}
			timer.Stop()
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
			c.probe(ctx, protocol, server)
		})
		c.node.core.Unlock()
	}
}

// probe probes one server once, and applies the result.
func (c *healthChecker) probe(ctx context.Context, protocol *probeProtocol, server *checkedServer) {
	dial := probe.Dial((&net.Dialer{}).DialContext)
	if via := server.Dial; via != nil {
		dial = func(ctx context.Context, _, addr string) (net.Conn, error) { return via(ctx, &net.Dialer{}, addr) }
	}
	started := time.Now()
	limited, cancel := context.WithTimeout(ctx, c.checks.Timeout)
	report, err := protocol.prober.Probe(limited, probe.Target{ID: server.ID, Addr: server.Addr, Dial: dial})
	cancel()
	late := err != nil && (time.Since(started) > c.checks.Timeout+lateProbeMargin || back.OutOfResources(err))
	c.mu.Lock()
	now := c.node.core.Now()
	changed := false
	if ctx.Err() == nil && c.servers[server.number] == server {
		c.probes++
		switch {
		case late: // this node was slow itself
			c.late++
		case err != nil:
			c.failed++
			if !protocol.agent { // an agent without a reply reports nothing; its earlier reports expire
				c.tracker.RecordCheck(now, server.number, false, protocol.name+": "+err.Error())
			}
		case protocol.agent:
			c.tracker.RecordAgent(now, server.number, report)
		case report.State != health.StateUnset:
			c.tracker.RecordCheck(now, server.number, report.State == health.Up, protocol.name+": "+report.Reason)
		}
		_, changed = c.tracker.Evaluate(now, server.number)
	}
	protocol.schedule.Done(now, server.number, c.tracker.ServesRequests(now, server.number))
	c.mu.Unlock()
	if changed {
		c.applyVerdict(server.number)
	}
}

// verdictLoop evaluates all verdicts every verdictInterval.
func (c *healthChecker) verdictLoop() {
	for ctx := c.node.core.Context(); ctx.Err() == nil; sleep(ctx, verdictInterval) {
		var changed []uint32
		c.mu.Lock()
		now, panickedBefore := c.node.core.Now(), c.tracker.InPanic()
		for number := range c.servers {
			if _, verdictChanged := c.tracker.Evaluate(now, number); verdictChanged {
				changed = append(changed, number)
			}
		}
		panicked := c.tracker.InPanic()
		c.mu.Unlock()
		if panicked != panickedBefore {
			c.node.log.Warn("health: most of the fleet is reported unhealthy", "suspected", panicked)
		}
		for _, number := range changed {
			c.applyVerdict(number)
		}
	}
}

// recordOutcome records how an attempt at a server ended.
func (c *healthChecker) recordOutcome(target *back.Server, outcome policy.Outcome) {
	if c == nil || !health.OutcomeCounts(outcome) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if number, known := c.ids[target.ID]; known {
		c.tracker.RecordRequest(c.node.core.Now(), number, outcome == policy.OK)
		if server := c.servers[number]; outcome == policy.OK {
			server.successes++
		} else {
			server.failures++
		}
	}
}

// applyVerdict passes a server's verdict to the policy and opens or closes its gate. An operator's override has
// precedence.
func (c *healthChecker) applyVerdict(number uint32) {
	n := c.node
	n.overrides.callMu.Lock()
	defer n.overrides.callMu.Unlock()
	n.core.Lock()
	c.mu.Lock()
	server := c.servers[number]
	if server == nil {
		c.mu.Unlock()
		n.core.Unlock()
		return
	}
	verdict, old := c.tracker.Verdict(number), server.applied
	server.applied = verdict
	c.mu.Unlock()
	events := health.PolicyEvents(number, old, verdict, n.overrides.disabled[server.ID])
	for i := range events {
		n.core.Handle(&events[i])
	}
	stillOut := n.outOfService(server.ID, number)
	n.core.Unlock()
	if verdict.Ejected != old.Ejected {
		server.Gate.SetClosed(stillOut) // not under the core's lock: it waits for writes under way
	}
	if verdict.Drain && !old.Drain {
		n.opaque.Drain(server.Server)
	}
	if verdict.Ejected != old.Ejected || verdict.Conflict != old.Conflict {
		n.log.Info("health verdict changed", "server", server.ID, "out", verdict.Ejected, "weight", verdict.Weight, "why", verdict.Reason, "against", verdict.Conflict)
	}
}

// isUnhealthy reports whether the health verdict has a server out of service. The core's lock is held.
func (c *healthChecker) isUnhealthy(number uint32) bool {
	if c == nil {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	server := c.servers[number]
	return server != nil && server.applied.Ejected
}

// logUnknownWords logs words of an agent's report that are not known, once until they change.
func (c *healthChecker) logUnknownWords(id string, words []string) {
	c.mu.Lock()
	server, text := c.servers[c.ids[id]], fmt.Sprint(words)
	changed := server != nil && server.unknownWords != text
	if changed {
		server.unknownWords = text
	}
	c.mu.Unlock()
	if changed {
		c.node.log.Warn("health: agent report has unknown words", "server", id, "words", text)
	}
}

// ServerHealth is the health of a web server, for operators.
type ServerHealth struct {
	Server             string  `json:"server"`
	OutOfService       bool    `json:"out"`
	Drain              bool    `json:"drain"`
	Weight             float64 `json:"weight"`
	MaxConn            int     `json:"maxconn,omitempty"`
	Why                string  `json:"why"`
	Conflict           string  `json:"against,omitempty"`
	DisabledByOperator bool    `json:"by_hand"` // disabled by an operator, which has precedence over all else
}

// HealthReport is the checker's state, for operators: with one server, or with all of which something is reported.
type HealthReport struct {
	Suspected bool           `json:"suspected"` // most servers are reported unhealthy, so that the reports are not believed
	Probes    int64          `json:"probes"`    // probes since the start
	Failed    int64          `json:"failed"`    // probes without a usable reply
	Late      int64          `json:"late"`      // probes without a reply because this node was slow itself
	Servers   []ServerHealth `json:"servers"`
}

// healthOf returns the health of a server, or, where id is empty, of all of which something is reported. An error is
// mgmt.ErrUnknownServer.
func (n *node) healthOf(id string) (*HealthReport, error) {
	c := n.checker
	n.core.Lock()
	defer n.core.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	report := &HealthReport{Suspected: c.tracker.InPanic(), Probes: c.probes, Failed: c.failed, Late: c.late, Servers: []ServerHealth{}}
	for number, server := range c.servers {
		verdict, byHand := c.tracker.Verdict(number), n.overrides.disabled[server.ID]
		if id == server.ID || id == "" && (byHand || verdict.Reason != "" || verdict.Conflict != "") {
			report.Servers = append(report.Servers, ServerHealth{server.ID, verdict.Ejected || byHand, verdict.Drain, verdict.Weight, verdict.MaxConn, verdict.Reason, verdict.Conflict, byHand})
		}
	}
	if id != "" && len(report.Servers) == 0 {
		return nil, mgmt.ErrUnknownServer
	}
	slices.SortFunc(report.Servers, func(a, b ServerHealth) int { return cmp.Compare(a.Server, b.Server) })
	return report, nil
}

// startHealthResponder opens the listeners on which others check this node; it returns nil where the file names none.
func (n *node) startHealthResponder(ctx context.Context) (*party.Responder, error) {
	product := n.cfg.Product
	if product == nil || product.Health == nil || product.Health.Answer == nil {
		return nil, nil
	}
	options := party.Options{Agent: product.Health.Answer.Agent, HTTP: product.Health.Answer.HTTP, GRPC: product.Health.Answer.GRPC, CurrentStatus: n.healthStatus, Log: n.log}
	for _, service := range product.Services {
		options.Services = append(options.Services, service.Name)
	}
	return party.Listen(ctx, options)
}

// healthStatus returns the state of the node for those that check it.
func (n *node) healthStatus() party.Status {
	status := party.Status{Headroom: 1 - n.core.Stats(0).Pressure}
	n.core.Lock()
	ready := n.anyReady
	n.core.Unlock()
	switch {
	case n.lifecycle.closingConnections():
		status.State = party.Draining
	case !ready:
		status.State, status.Reason = party.Down, "no web server is listed as ready"
	case status.Headroom < 1:
		status.Reason = "some of the latest requests found no normal web server"
	}
	return status
}
