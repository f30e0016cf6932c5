// Package model runs a scenario in virtual time: clients, a front, nodes that run the real policy or a peer policy,
// service discovery, and web servers. It is a discrete-event simulation without a clock, a goroutine or a socket. The
// same scenario, seed and policy give the same events; a digest of all events in the result makes that comparable.
//
// Events at the same instant are processed in a fixed order: faults first, then updates of the server list, events at
// servers, events at nodes (outcomes, time-outs, timers), clients that disconnect, and arrivals last. Events of equal
// rank are processed in the order in which they were scheduled.
package model

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math/rand/v2"
	"sort"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"portstall/internal/cell"
	"portstall/internal/config"
	"portstall/internal/contract"
	"portstall/internal/lab/fleet"
	"portstall/internal/lab/measure"
	"portstall/internal/lab/oracle"
	"portstall/internal/lab/scenario"
	"portstall/policy"
)

// Decider is the load-balancing policy at a node: the real policy, or a peer policy to compare it with.
type Decider interface {
	// Handle processes an event at the given time, appends the resulting actions to out and returns it.
	Handle(now time.Duration, ev *policy.Event, out []policy.Action) []policy.Action
}

// Prober is a Decider that probes servers for their load between requests.
type Prober interface {
	// ProbeTargets returns the IDs of the servers to probe now. It is called after each event.
	ProbeTargets() []uint32
	// ProbeReply delivers a server's reply to a probe.
	ProbeReply(now time.Duration, server uint32, inFlight int, latency time.Duration)
}

// PressureReporter is a Decider that reports the fleet's pressure and this node's share of the traffic to the contract
// ledger.
type PressureReporter interface {
	// Pressure returns the fleet's pressure.
	Pressure() float64
	// TrafficShare returns the node's share of all traffic; known is false while there is no estimate.
	TrafficShare() (share float64, known bool)
}

// Factory creates the Decider of a node.
type Factory func(set policy.Settings, seed uint64) (Decider, error)

// Portstall creates the real policy.
func Portstall(set policy.Settings, seed uint64) (Decider, error) { return policy.New(set, seed) }

// epoch is the nodes' clock at the start of a scenario. It is far from zero because a start time of 0 in a server list
// means "long ago".
const epoch = time.Hour

// eventKind is the kind of an event. Its values are part of the digest, so their order must not change.
type eventKind uint8

// The kinds of events.
const (
	evFault          eventKind = iota // a fault begins or ends
	evNodeDown                        // a node is killed
	evNodeUp                          // a node starts
	evPublish                         // a state that was announced to discovery takes effect
	evListReply                       // discovery replies to a node's call
	evListFailed                      // a node's call to discovery failed, or its watch ended
	evListUpdate                      // a watch reports changes of the server list to a node
	evArrive                          // an attempt reaches its server
	evProgress                        // a server's running requests have to be advanced
	evCancel                          // an attempt is canceled at its server
	evProbe                           // a load probe reaches a server
	evOutcome                         // an attempt's outcome reaches its node
	evTimeout                         // an attempt times out at its node
	evTimer                           // a timer of a node's policy expires
	evProbeReply                      // the reply to a load probe reaches the node
	evClientLeave                     // a client disconnects before its timeout
	evClientTimeout                   // a client's timeout expires
	evClientRetry                     // a client retries
	evServerReturn                    // a server that was down for a limited time returns
	evTunnelOpen                      // a tunnel is established
	evTunnelDeadline                  // the drain limit of the tunnels to a server has passed
	evHealthProbe                     // a node starts the health probes that are due
	evHealthReply                     // the reply to a health probe, or its time-out, reaches the node
	evHealthEvaluate                  // a node re-evaluates the health of all servers
	evAccept                          // a request reaches its node
	evPersist                         // a node's state is persisted
	evUpgrade                         // a successor process takes over at a node
	evClientRequest                   // a client sends a new request
	eventKinds                        // the number of kinds
)

// eventRank orders events at the same instant by their kind; a lower rank is processed first.
var eventRank = [eventKinds]uint8{evFault: 0, evServerReturn: 0, evNodeDown: 0, evNodeUp: 0,
	evPublish: 1, evListReply: 1, evListFailed: 1, evListUpdate: 1,
	evArrive: 2, evProgress: 2, evCancel: 2, evProbe: 2,
	evOutcome: 3, evTimeout: 3, evTimer: 3, evProbeReply: 3, evTunnelOpen: 3, evTunnelDeadline: 3, evHealthProbe: 3,
	evHealthReply: 3, evHealthEvaluate: 3, evPersist: 3, evUpgrade: 0, evClientLeave: 4, evClientTimeout: 4,
	evClientRetry: 5, evAccept: 5, evClientRequest: 5}

// event is one entry of the event queue. Which fields are set depends on the kind.
type event struct {
	at         time.Duration
	kind       eventKind
	outcome    policy.Outcome // evOutcome: of the attempt; evHealthProbe, evHealthReply: the kind of probe
	index, arg int32          // index: the node, server or fault; arg: a second index, a server state or a flag
	generation int32          // of the node or server when it was scheduled; the event is stale if that has changed since
	attempt    *attempt
	try        *clientTry
	token      string        // evTimer: the policy's token; evHealthReply: the text of the reply
	backAt     time.Duration // evNodeDown: when the node is to be up again
}

// clientRequest is one request of a client, with all its tries.
type clientRequest struct {
	scenario.Operation
	tries int // sent so far
}

// clientTry is one try of a client request at one node.
type clientTry struct {
	request      *clientRequest
	id           string
	node         *node
	decider      Decider       // the policy that handles it; one that was replaced finishes the requests it accepted
	incarnation  int32         // of the node when the try was sent
	sentAt       time.Duration // when the client sent it
	deadline     time.Duration // when its response must be ready at the node
	attempts     []*attempt
	openAttempts int
	closed       bool // it has its final response, or its client has disconnected
	verdict      contract.Verdict
	spilled      bool          // its servers refused it and it was submitted once more, to servers outside its cell
	admitted     bool          // a contract ledger admitted it and has to be notified of its end
	serverTime   time.Duration // total time of its attempts at servers
	lastEnd      time.Duration // when the last attempt ended
}

// simulation is the state of one run. It is owned by the goroutine that runs it and needs no lock.
type simulation struct {
	scenario       *scenario.Scenario
	settings       policy.Settings
	options        Options
	checks         *config.Checks // of server health; nil: none
	rng            *rand.Rand
	now            time.Duration
	queue          eventQueue
	servers        []*server
	byID           map[uint32]*server // servers by their IDs
	nodes          []*node
	discovery      discovery
	arrivals       *scenario.Workload
	cells          *cell.Settings // nil: there are none
	poisonDowntime time.Duration  // how long a server stays down that a request has killed
	faultTargets   [][]int        // by fault: the indexes of the servers or nodes that it hits
	cutNodes       [][]int        // by fault: the indexes of the nodes that a cut hits
	activeFaults   []bool         // by fault: whether it is in force
	fleetEffects   fleet.FleetEffects
	contracts      *contract.Table
	records        *oracle.Records
	recorder       *measure.Recorder
	digest         *xxhash.Digest
	buffer         [48]byte // scratch space for hashing
	eventCount     int64
	openTimers     int           // policy timers that are scheduled
	end            time.Duration // no event after this is processed
	nextTryID      uint64
	actionBuffer   []policy.Action // reused between events; nil while in use
	err            error
}

// Options are the parameters of a run besides the scenario.
type Options struct {
	Policy     string  // name of the policy in the result
	NewDecider Factory // creates the policy of each node
	Traces     bool    // record a trace of each request for breaches; costs time
	// OnSend is called for each attempt that is sent to a server. May be nil.
	OnSend func(now time.Duration, node, server int)
	// OnEject is called when a node ejects a server because of agents or checks, or returns it to service. May be nil.
	OnEject func(now time.Duration, node, server int, ejected bool)
	// OnSecond is called after each simulated second with the counts so far. May be nil.
	OnSecond func(second int, r *measure.Recorder)
}

// Run runs a scenario. It returns an error if the policy can't be started; breaches of rules are in the result.
func Run(s scenario.Scenario, opt Options) (measure.Result, error) {
	begin := time.Now() // only for the duration of the run
	sim := newSimulation(&s, opt)
	for i := range sim.nodes {
		sim.startNode(sim.nodes[i])
	}
	if sim.err != nil {
		return measure.Result{}, sim.err
	}
	sim.scheduleArrival()
	second := 0
	for sim.queue.len() > 0 {
		e := sim.queue.pop()
		if e.at > sim.end {
			break
		}
		if opt.OnSecond != nil && int(e.at/time.Second) > second {
			second = int(e.at / time.Second)
			opt.OnSecond(second, sim.recorder)
		}
		sim.now = e.at
		sim.hashEvent(&e)
		sim.dispatch(&e)
		if sim.err != nil {
			return measure.Result{}, sim.err
		}
	}
	sim.now = sim.end
	sim.records.Close(sim.now, sim.leftovers())
	res := sim.recorder.Result()
	res.Scenario, res.Policy, res.Seed, res.Engine = s.Name, opt.Policy, s.Seed, "model"
	res.Trigger = s.FirstFaultSpan()
	res.Digest, res.Events = fmt.Sprintf("%016x", sim.digest.Sum64()), sim.eventCount
	for rule, n := range sim.records.Counts() {
		res.Broken[string(rule)] = n
	}
	for _, b := range sim.records.Breaches() {
		res.Breaches = append(res.Breaches, b.String())
	}
	for _, srv := range sim.servers {
		srv.advance(sim)
		possible := float64(srv.Type.Cores) * srv.Speed * s.Duration.Seconds()
		res.Servers = append(res.Servers, measure.ServerLoad{ID: srv.ID, Kind: srv.Type.Name, Sent: srv.sendCount,
			Busy: srv.totalWork / possible, Fallen: srv.collapsed})
	}
	res.Wall = time.Since(begin).Seconds()
	return res, nil
}

// newSimulation prepares a run: it sets up discovery, servers and nodes and schedules the faults. Errors are stored in
// err.
func newSimulation(s *scenario.Scenario, opt Options) *simulation {
	sim := &simulation{scenario: s, options: opt, settings: s.Settings(), rng: rand.New(rand.NewPCG(s.Seed, 0x6d6f64656c)), byID: map[uint32]*server{}, arrivals: s.Workload(),
		activeFaults: make([]bool, len(s.Faults)), fleetEffects: fleet.FleetEffects{Slowdown: 1, RetryFactor: 1},
		recorder: measure.NewRecorder(s.Warmup, s.Duration), digest: xxhash.New()}
	sim.contracts, sim.err = s.ContractTable()
	if c := s.Cells.ConfigAt(time.Unix(0, int64(epoch))); c != nil {
		terms, err := c.Settings()
		sim.cells, sim.err = &terms, errors.Join(sim.err, err)
	}
	if s.Health != nil && s.Health.Checks != nil {
		checks, err := s.Health.Checks.WithDefaults()
		sim.checks, sim.err = &checks, errors.Join(sim.err, err)
	}
	longest := time.Duration(0)
	for _, c := range s.Classes {
		longest = max(longest, c.Deadline)
	}
	sim.end = s.Duration + longest + 2*time.Second
	for i := range s.Faults {
		sim.end = max(sim.end, s.Faults[i].End()+longest+2*time.Second)
	}
	list := s.Fleet()
	sim.faultTargets = s.FaultTargets(list)
	sim.records = fleet.NewRecords(s, list, 0, opt.Traces)
	for i, f := range list {
		srv := &server{Server: f, index: i, up: true, queueReports: fleet.Reports{Period: s.Servers.Reports.Period,
			Phase: time.Duration(sim.rng.Int64N(int64(s.Servers.Reports.Period)))}}
		srv.heldReports.Period, srv.heldReports.Phase = srv.queueReports.Period, srv.queueReports.Phase
		srv.queueCap, srv.slots = f.Type.Cores*f.Type.QueuePerCore, f.Type.Cores*f.Type.SlotsPerCore
		srv.reset()
		sim.servers = append(sim.servers, srv)
		sim.byID[f.ID] = srv
		sim.discovery.entries = append(sim.discovery.entries, srv.entry(policy.Active))
	}
	for i := range s.Nodes {
		n := &node{index: i, entries: append([]policy.Entry(nil), sim.discovery.entries...),
			idle: make([][]time.Duration, len(sim.servers)), connections: make([]int32, len(sim.servers))}
		sim.nodes = append(sim.nodes, n)
	}
	for i := range s.Faults {
		f := &s.Faults[i]
		sim.cutNodes = append(sim.cutNodes, s.SelectTargets(i+1000, len(sim.nodes), f.Nodes))
		sim.schedule(f.At, event{kind: evFault, index: int32(i), arg: 1})
		if !scenario.FaultKinds[f.Kind].Instant {
			sim.schedule(f.End(), event{kind: evFault, index: int32(i)})
		}
	}
	return sim
}

// leftovers counts the resources that should have been released by the end of the run.
func (sim *simulation) leftovers() map[string]int {
	busy, tries := 0, 0
	for _, n := range sim.nodes {
		for i := range n.connections {
			busy += int(n.connections[i]) - len(n.idle[i])
		}
		tries += len(n.tries)
	}
	queued := 0
	for _, srv := range sim.servers {
		if srv.up && !srv.silent && !srv.Type.Keeps { // a server that completes canceled work may still be busy
			queued += len(srv.queue) + len(srv.running)
		}
	}
	// A node needs a few timers of its own; more mean that events leave timers behind.
	return map[string]int{"connections": busy, "tries at nodes": tries, "attempts at servers": queued,
		"timers": max(0, sim.openTimers-4*len(sim.nodes))}
}

// schedule adds an event at t, or now if t has passed.
func (sim *simulation) schedule(t time.Duration, e event) {
	e.at = max(t, sim.now)
	sim.queue.push(e)
}

// hashEvent adds an event to the digest.
func (sim *simulation) hashEvent(e *event) {
	sim.eventCount++
	b := sim.buffer[:]
	binary.LittleEndian.PutUint64(b, uint64(e.at))
	b[8], b[9] = byte(e.kind), byte(e.outcome)
	binary.LittleEndian.PutUint32(b[10:], uint32(e.index))
	binary.LittleEndian.PutUint32(b[14:], uint32(e.arg))
	who := int64(-1)
	if e.attempt != nil {
		who = int64(e.attempt.try.request.Index)<<8 | int64(e.attempt.index)
	} else if e.try != nil {
		who = int64(e.try.request.Index)<<8 | int64(e.try.request.tries)
	}
	binary.LittleEndian.PutUint64(b[18:], uint64(who))
	sim.digest.Write(b[:26])
}

// hashAction adds an action of a node's policy to the digest.
func (sim *simulation) hashAction(n *node, a *policy.Action) {
	b := sim.buffer[:]
	b[0], b[1] = 0xff, byte(a.Kind)
	binary.LittleEndian.PutUint32(b[2:], uint32(n.index))
	binary.LittleEndian.PutUint32(b[6:], a.Server)
	binary.LittleEndian.PutUint64(b[10:], uint64(a.Wait))
	binary.LittleEndian.PutUint64(b[18:], uint64(a.At))
	sim.digest.Write(b[:26])
	sim.digest.WriteString(a.ID)
}

// dispatch processes one event.
func (sim *simulation) dispatch(e *event) {
	switch e.kind {
	case evFault:
		sim.applyFault(int(e.index), e.arg == 1)
	case evPersist:
		sim.persistPeriodically(sim.nodes[e.index], e.generation)
	case evUpgrade:
		sim.upgradeNode(sim.nodes[e.index])
	case evNodeDown:
		if e.arg == 1 { // planned: the node persists its state before it stops
			sim.storeState(sim.nodes[e.index])
		}
		sim.killNode(sim.nodes[e.index], e.backAt)
	case evNodeUp:
		if n := sim.nodes[e.index]; !n.up && sim.now >= n.downUntil {
			sim.startNode(n)
		}
	case evPublish:
		sim.publish(sim.servers[e.index], policy.State(e.arg), e.generation)
	case evListReply, evListFailed, evListUpdate, evOutcome, evTimeout, evTimer, evProbeReply,
		evTunnelOpen, evTunnelDeadline, evHealthProbe, evHealthReply, evHealthEvaluate, evAccept:
		n := sim.nodes[e.index]
		if sim.now < n.suspendedUntil {
			if e.kind == evAccept {
				sim.acceptAtSuspended(e.try)
			}
			sim.schedule(n.suspendedUntil, *e) // processed when the node resumes
			return
		}
		sim.handleNodeEvent(n, e)
	case evServerReturn:
		sim.returnIfDue(sim.servers[e.index])
	case evArrive:
		sim.arrive(e.attempt)
	case evProgress:
		if srv := sim.servers[e.index]; srv.generation == e.generation {
			srv.advance(sim)
			srv.scheduleNext(sim)
		}
	case evCancel:
		sim.cancel(e.attempt)
	case evProbe:
		sim.replyToProbe(sim.nodes[e.index], sim.servers[e.arg])
	case evClientLeave:
		sim.clientLeaves(e.try)
	case evClientTimeout:
		sim.clientTimesOut(e.try)
	case evClientRetry:
		sim.sendTry(e.try.request)
	case evClientRequest:
		req := e.try.request
		sim.scheduleArrival()
		sim.sendTry(req)
	}
}

// networkDelay draws the delay of one transfer through the network, given its mean.
func (sim *simulation) networkDelay(mean time.Duration) time.Duration {
	if jitter := sim.scenario.Network.Jitter; jitter > 0 {
		return time.Duration(float64(mean) * (1 - jitter + jitter*sim.rng.ExpFloat64()))
	}
	return mean
}

// scheduleArrival schedules the next client request, if there is one.
func (sim *simulation) scheduleArrival() {
	if a, ok := sim.arrivals.Next(); ok {
		sim.schedule(a.At, event{kind: evClientRequest, try: &clientTry{request: &clientRequest{Operation: a}}})
	}
}

// sendTry sends a client's request, or its retry, to the node that the front selects.
func (sim *simulation) sendTry(req *clientRequest) {
	req.tries++
	sim.recorder.RecordTry(req.At)
	c := &sim.scenario.Classes[req.Class]
	left := c.Deadline - (sim.now - req.At)
	timeout := min(left, time.Duration(req.TryShare*float64(c.Deadline)))
	t := &clientTry{request: req, id: "r" + strconv.FormatUint(sim.nextTryID, 36), sentAt: sim.now}
	sim.nextTryID++
	t.node = sim.selectNode()
	way := sim.networkDelay(sim.scenario.Network.Client)
	if t.node == nil || !t.node.up {
		sim.finishTry(t, measure.Unreachable, "node unreachable", way, 0)
		return
	}
	t.incarnation, t.deadline = t.node.incarnation, sim.now+timeout-2*sim.scenario.Network.Client
	sim.schedule(sim.now+way, event{kind: evAccept, index: int32(t.node.index), try: t})
	sim.schedule(t.deadline+sim.scenario.Rules.AnswerSlack+time.Millisecond, event{kind: evClientTimeout, try: t})
	if req.LeaveShare > 0 {
		sim.schedule(sim.now+time.Duration(req.LeaveShare*float64(timeout)), event{kind: evClientLeave, try: t})
	}
}

// selectNode returns the node that the front selects for a request, or nil if it knows of none.
func (sim *simulation) selectNode() *node {
	share := func(n *node) float64 {
		f := &sim.scenario.Front
		if len(f.Split) == 0 {
			return 1
		}
		i := n.index
		if f.Moves > 0 {
			i += int(sim.now / f.Moves)
		}
		return f.Split[i%len(f.Split)]
	}
	sum := 0.0
	for _, n := range sim.nodes {
		if n.visible(sim) {
			sum += share(n)
		}
	}
	x := sim.rng.Float64() * sum
	var last *node
	for _, n := range sim.nodes {
		if n.visible(sim) {
			if last = n; x < share(n) {
				break
			}
			x -= share(n)
		}
	}
	return last
}

// acceptAtSuspended records a request that reaches a suspended node: its machine has accepted the connection.
func (sim *simulation) acceptAtSuspended(t *clientTry) {
	if t.closed || t.incarnation != t.node.incarnation || t.node.tries[t.id] != nil {
		return
	}
	t.node.tries[t.id] = t
	sim.recordAccepted(t)
	sim.records.NodeSuspended(t.node.index, t.id)
}

// recordAccepted records that a node has accepted a request.
func (sim *simulation) recordAccepted(t *clientTry) {
	sim.records.Accepted(sim.now, t.node.index, t.id, t.request.Class, t.deadline)
	sim.records.SetKey(t.id, sim.scenario.PodKey(&t.request.Operation))
}

// clientLeaves handles a client that disconnects before its timeout.
func (sim *simulation) clientLeaves(t *clientTry) {
	n := t.node
	if t.closed || t.incarnation != n.incarnation || n.tries[t.id] == nil {
		return
	}
	t.closed = true
	sim.records.ClientLeft(sim.now, n.index, t.id)
	if sim.now >= n.suspendedUntil {
		sim.decide(n, t.decider, &policy.Event{Kind: policy.EvClientGone, ID: t.id})
	}
	n.removeClosed(t)
	sim.finishTry(t, measure.ClientLeft, "client left early", 0, 0)
}

// clientTimesOut handles the expiry of a client's timeout.
func (sim *simulation) clientTimesOut(t *clientTry) {
	n := t.node
	if t.closed || t.incarnation != n.incarnation {
		return
	}
	t.closed = true
	sim.records.ClientTimedOut(sim.now, n.index, t.id)
	if sim.now >= n.suspendedUntil && n.tries[t.id] != nil {
		sim.decide(n, t.decider, &policy.Event{Kind: policy.EvClientGone, ID: t.id})
	}
	n.removeClosed(t)
	sim.finishTry(t, measure.TimedOut, "no answer in time", 0, 0)
}

// finishTry records how a client's try ended and decides whether the client retries. The client learns of the end after
// the network delay way; after is the response's Retry-After.
func (sim *simulation) finishTry(t *clientTry, end measure.Ending, cause string, way, after time.Duration) {
	req, c := t.request, &sim.scenario.Classes[t.request.Class]
	now := sim.now + way
	if end != measure.Served {
		sim.recorder.RecordCause(req.At, cause)
		promised := end == measure.Refused || end == measure.Unreachable
		wait, ok := fleet.RetryDelay(sim.scenario, &req.Operation, req.tries, promised, now, after, sim.fleetEffects.RetryFactor, sim.rng.Float64())
		if ok && end != measure.ClientLeft {
			sim.schedule(now+wait, event{kind: evClientRetry, try: t})
			return
		}
	}
	tenant := ""
	if req.Tenant >= 0 {
		tenant = sim.scenario.Tenants[req.Tenant].Name
	}
	took := now - req.At
	sim.recorder.RecordOperation(req.At, c.Name, tenant, end, end == measure.Served && took <= c.Aim, took, c.Worth*req.Work.Seconds())
}

// sortedTries returns a node's open tries in a fixed order: by client request, then by the time of the try.
func (n *node) sortedTries() []*clientTry {
	all := make([]*clientTry, 0, len(n.tries))
	for _, t := range n.tries {
		all = append(all, t)
	}
	sort.Slice(all, func(i, j int) bool {
		x, y := all[i].request, all[j].request
		return x.Index < y.Index || x.Index == y.Index && all[i].sentAt < all[j].sentAt
	})
	return all
}
