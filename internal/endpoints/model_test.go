package endpoints

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"portstall/policy"
)

// This file simulates the load that watches put on the one discovery of all nodes, in virtual time: the real schedule
// and the real policy of 300 nodes, and a discovery that handles calls one after the other. docs/discovery.md has the
// results.

// scheduler decides when a node's watch loop calls discovery: the current Schedule, or the former one for
// comparison.
type scheduler interface {
	Reset()
	RequireFresh(announced time.Duration)
	CallStarted(now time.Duration)
	CallTimes(full bool, random float64) (wait, limit time.Duration)
	CallSucceeded(now time.Duration, changed bool)
	CallFailed(now, waitEnd time.Duration, failure Failure, random float64) (delay time.Duration, retry bool)
}

// formerSchedule is the schedule that nodes which ask for lists had before watches were shortened, for comparison: a
// watch waits 8 to 24 s, and a failure is left to the policy unless a fresh list is due.
type formerSchedule struct{ grace, listDue, delay time.Duration }

func (s *formerSchedule) Reset() { *s = formerSchedule{grace: s.grace} }
func (s *formerSchedule) RequireFresh(announced time.Duration) {
	s.listDue = max(s.listDue, announced+s.grace)
}
func (s *formerSchedule) CallStarted(time.Duration)         {}
func (s *formerSchedule) CallSucceeded(time.Duration, bool) { s.listDue, s.delay = 0, 0 }
func (s *formerSchedule) CallTimes(full bool, random float64) (wait, limit time.Duration) {
	if full {
		return 0, FetchTimeout
	}
	wait = 8*time.Second + time.Duration(random*float64(16*time.Second))
	return wait, wait + 400*time.Millisecond
}

func (s *formerSchedule) CallFailed(now, waitEnd time.Duration, failure Failure, random float64) (time.Duration, bool) {
	if failure == CallTimeout {
		s.RequireFresh(waitEnd + 2*time.Second)
	}
	switch {
	case now >= s.listDue:
		return 0, false
	case failure == CallTimeout && s.delay == 0:
		s.delay = minBackoff
		return 0, true
	}
	s.delay = min(max(2*s.delay, minBackoff), max(minBackoff, min(s.grace/4, maxBackoff)))
	return time.Duration(float64(s.delay) * (0.5 + random)), true
}

// deployment is the discovery of a deployment, and the settings of its nodes.
type deployment struct {
	roundTime    time.Duration // time that discovery takes to handle one call of each node
	queueTimeout time.Duration // a call that has queued for this long is rejected
	maxQueued    int           // a call that finds this many queued is rejected; 0: no bound
	freeRewatch  bool          // a call that continues a watch costs discovery nothing
	grace        time.Duration // grace of drains, at all nodes
	push         bool          // lists are pushed

	// script takes a call, given its number at this discovery; where it returns false the call is handled as usual.
	script func(model *discoveryModel, call *modelCall, nth int) bool
	// announceDelay makes nodes ask for the complete list first, which is due this long after their start; 0: they
	// watch at once.
	announceDelay time.Duration
}

// interval is a part of a scenario.
type interval struct{ from, to time.Duration }

func (i interval) contains(t time.Duration) bool { return t >= i.from && t < i.to }

// scenario is the course of a simulation; times count from its start.
type scenario struct {
	length           time.Duration
	measureFrom      time.Duration // when measuring begins
	startSpread      time.Duration // nodes start spread over this time
	outage           interval      // when discovery is down
	partition        interval      // when the nodes with an index below partitionedNodes can't reach discovery
	partitionedNodes int
	changes          []time.Duration
	silentAt         time.Duration // when all open watches fall silent; 0: never
}

// results are the measurements of a simulation.
type results struct {
	// calls and rejected count the calls that reached discovery while it was up. slowedNodes counts the nodes whose
	// watches wait longer at the end because of an overload.
	calls, rejected, slowedNodes int
	maxQueue                     int           // longest queue
	maxQueueTime                 time.Duration // longest queueing of a call that was handled
	maxNoContact                 time.Duration // longest time for which a node that could reach discovery neither asked nor got a response
	maxBlind                     time.Duration // longest time for which a node that could reach discovery had neither a fresh list nor a working watch
	blindNodes                   int           // nodes that were blind for more than 6 s and the grace
	maxRejectedInRow             int           // most rejections of one node in a row
	seconds                      float64
}

func (r results) String() string {
	return fmt.Sprintf("%.1f calls/s, queue %d, handled after %.2f s, rejected %.2f%%, in a row %d, asked within %.2f s, "+
		"blind for %.2f s (%d nodes too long), %d slowed", float64(r.calls)/r.seconds, r.maxQueue, r.maxQueueTime.Seconds(),
		100*float64(r.rejected)/float64(max(r.calls, 1)), r.maxRejectedInRow, r.maxNoContact.Seconds(), r.maxBlind.Seconds(), r.blindNodes, r.slowedNodes)
}

// event is an entry of the simulation's queue.
type simulationEvent struct {
	at  time.Duration
	seq int
	run func()
}

// eventQueue implements heap.Interface, ordered by time and then by insertion.
type eventQueue []simulationEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(simulationEvent)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// discoveryModel is a simulated discovery with its nodes. It is used by one goroutine.
type discoveryModel struct {
	deployment
	scenario
	rng     *rand.Rand
	now     time.Duration
	events  eventQueue
	seq     int
	nodes   []*modelNode
	waiting []*modelCall
	busy    bool
	version int
	results
}

// modelNode is a simulated node.
type modelNode struct {
	model           *discoveryModel
	schedule        scheduler
	policy          *policy.Balancer
	index           int
	version         int
	connected       bool          // it has a connection to discovery
	currentCall     *modelCall    // the latest call
	lastContact     time.Duration // when it last asked or got a response
	blindSince      time.Duration // since when it has had neither a fresh list nor a working watch; -1: it has one
	rejectedInRow   int
	wasBlindTooLong bool
	watching        bool          // its watch loop runs
	timerPending    bool          // the policy's timer is scheduled
	timerAt         time.Duration // when the policy's timer fires
	fullListPending bool          // it has to ask for the complete list
	firstListAt     time.Duration // when it got its first list; -1: not yet
	callCount       int
}

// modelCall is a call to the simulated discovery.
type modelCall struct {
	node         *modelNode
	arrived      time.Duration
	waitEnd      time.Duration
	sinceVersion int
	resumes      bool // it continues a watch
	done         bool // it got a response, failed or timed out
	held         bool // discovery holds it until there is a change
	silent       bool // it gets no response
}

// schedule runs a function at a time.
func (m *discoveryModel) schedule(t time.Duration, run func()) {
	m.seq++
	heap.Push(&m.events, simulationEvent{t, m.seq, run})
}

// reachableSince returns since when a node can reach discovery, or false where it can't.
func (m *discoveryModel) reachableSince(n *modelNode) (since time.Duration, ok bool) {
	if m.outage.contains(m.now) || n.index < m.partitionedNodes && m.partition.contains(m.now) {
		return 0, false
	}
	if m.now >= m.outage.to {
		since = m.outage.to
	}
	if n.index < m.partitionedNodes && m.now >= m.partition.to {
		since = max(since, m.partition.to)
	}
	return since, true
}

// recordContact measures how long a node has gone without asking, and without a fresh list. sees is whether it has one,
// or a working watch, from now on.
func (m *discoveryModel) recordContact(n *modelNode, sees bool) {
	if since, ok := m.reachableSince(n); ok && m.now >= m.measureFrom {
		since = max(since, m.measureFrom)
		m.maxNoContact = max(m.maxNoContact, m.now-max(since, n.lastContact))
		if n.blindSince >= 0 {
			blind := m.now - max(since, n.blindSince)
			m.maxBlind = max(m.maxBlind, blind)
			n.wasBlindTooLong = n.wasBlindTooLong || blind > MaxAnnounceDelay+m.grace
		}
	}
	n.lastContact = m.now
	switch {
	case sees:
		n.blindSince = -1
	case n.blindSince < 0:
		n.blindSince = m.now
	}
}

// simulate runs a scenario with a number of nodes.
func simulate(setup deployment, course scenario, count int, seed uint64, newSchedule func(grace time.Duration) scheduler) *discoveryModel {
	m := &discoveryModel{deployment: setup, scenario: course, rng: rand.New(rand.NewPCG(seed, 31))}
	for i := range count {
		set := policy.Settings{Nodes: count, MaxAttempts: 1, MustAsk: !setup.push, MustAskIn: 10 * time.Second,
			Classes: []policy.Class{{Name: "a", TargetLatency: time.Second, Deadline: time.Second, Value: 1}}}
		balancer, err := policy.New(set, m.rng.Uint64())
		if err != nil {
			panic(err)
		}
		n := &modelNode{model: m, schedule: newSchedule(setup.grace), policy: balancer, index: i, fullListPending: setup.announceDelay > 0, firstListAt: -1}
		m.nodes = append(m.nodes, n)
		m.schedule(time.Duration(m.rng.Float64()*float64(course.startSpread)), func() {
			n.lastContact, n.blindSince = m.now, m.now
			if setup.push || setup.announceDelay > 0 {
				n.watch()
			}
			n.decide(policy.Event{Kind: policy.EvList, List: policy.ListCached})
		})
	}
	for _, t := range course.changes {
		m.schedule(t, m.publishChange)
	}
	if course.silentAt > 0 {
		m.schedule(course.silentAt, func() { m.silence(func(*modelNode) bool { return true }) })
	}
	if course.outage.to > 0 {
		m.schedule(course.outage.from, m.goDown)
	}
	if course.partition.to > 0 {
		m.schedule(course.partition.from, func() { m.silence(func(n *modelNode) bool { return n.index < course.partitionedNodes }) })
	}
	for len(m.events) > 0 {
		next := heap.Pop(&m.events).(simulationEvent)
		if next.at >= course.length {
			break
		}
		m.now = next.at
		next.run()
	}
	m.now = course.length
	for _, n := range m.nodes {
		m.recordContact(n, false)
		if n.wasBlindTooLong {
			m.blindNodes++
		}
		if schedule, ok := n.schedule.(*Schedule); ok && schedule.overloadUntil > 0 {
			m.slowedNodes++
		}
	}
	m.seconds = (course.length - course.measureFrom).Seconds()
	return m
}

// watch starts the watch loop unless it runs.
func (n *modelNode) watch() {
	if n.watching {
		return
	}
	n.watching = true
	n.schedule.Reset()
	n.call(false)
}

// decide passes an event to the policy and carries out its actions.
func (n *modelNode) decide(event policy.Event) {
	model := n.model
	for _, action := range n.policy.Handle(simulationEpoch+model.now, &event, nil) {
		switch action.Kind {
		case policy.ActTimer:
			// While the watch loop runs the policy has nothing to decide. The timer is left out then, as it would take
			// most of a run's time.
			n.timerAt = action.At - simulationEpoch
			if n.timerPending = !n.watching; n.timerPending {
				model.schedule(n.timerAt, n.tick)
			}
		case policy.ActWatch:
			n.watch()
		}
	}
}

// tick fires the policy's timer.
func (n *modelNode) tick() { n.decide(policy.Event{Kind: policy.EvTimer, Token: "tick"}) }

// call is one iteration of the watch loop.
func (n *modelNode) call(resumes bool) {
	model := n.model
	model.recordContact(n, false)
	if n.fullListPending {
		n.schedule.RequireFresh(model.announceDelay)
	}
	n.schedule.CallStarted(model.now)
	wait, limit := n.schedule.CallTimes(n.fullListPending, model.rng.Float64())
	call := &modelCall{node: n, arrived: model.now, waitEnd: model.now + wait, sinceVersion: n.version, resumes: resumes}
	if n.fullListPending {
		call.sinceVersion = -1
	}
	n.currentCall = call
	n.callCount++
	model.schedule(model.now+limit, func() { n.failed(call, CallTimeout) })
	switch {
	case n.index < model.partitionedNodes && model.partition.contains(model.now):
		if !n.connected { // no connection is established
			model.schedule(model.now+DialTimeout, func() { n.failed(call, CallError) })
		}
		call.silent = true
		return
	case model.outage.contains(model.now):
		model.schedule(model.now+time.Millisecond, func() { n.failed(call, CallError) })
		return
	}
	n.connected = true
	if model.script != nil && model.script(model, call, n.callCount) {
		return
	}
	if model.now >= model.measureFrom {
		model.calls++
	}
	switch {
	case model.freeRewatch && resumes:
		model.handle(call)
		return
	case model.deployment.maxQueued > 0 && len(model.waiting) >= model.deployment.maxQueued:
		model.schedule(model.now+time.Millisecond, func() { model.reject(call) })
		return
	}
	model.waiting = append(model.waiting, call)
	if model.now >= model.measureFrom {
		model.results.maxQueue = max(model.results.maxQueue, len(model.waiting))
	}
	model.schedule(model.now+model.queueTimeout, func() {
		for i, other := range model.waiting {
			if other == call {
				model.waiting = append(model.waiting[:i:i], model.waiting[i+1:]...)
				model.reject(call)
				return
			}
		}
	})
	model.serveNext()
}

// reject answers a call with 503.
func (m *discoveryModel) reject(call *modelCall) {
	if call.done {
		return
	}
	if m.now >= m.measureFrom {
		m.rejected++
		call.node.rejectedInRow++
		m.maxRejectedInRow = max(m.maxRejectedInRow, call.node.rejectedInRow)
	}
	call.node.failed(call, CallRejected)
}

// serveNext handles the next call in the queue. One that timed out takes as long as any other, as discovery doesn't
// notice that.
func (m *discoveryModel) serveNext() {
	if m.busy || len(m.waiting) == 0 {
		return
	}
	call := m.waiting[0]
	m.waiting, m.busy = m.waiting[1:], true
	m.schedule(m.now+m.roundTime/time.Duration(len(m.nodes)), func() {
		m.busy = false
		m.handle(call)
		m.serveNext()
	})
}

// handle answers a call whose turn has come, or holds it until there is a change or its wait ends.
func (m *discoveryModel) handle(call *modelCall) {
	if call.done || call.silent {
		return
	}
	if m.now >= m.measureFrom {
		m.results.maxQueueTime = max(m.results.maxQueueTime, m.now-call.arrived)
	}
	if m.version > call.sinceVersion {
		m.respond(call)
		return
	}
	call.held = true
	m.recordContact(call.node, true)
	m.schedule(max(m.now, call.waitEnd), func() { m.respond(call) })
}

// respond returns the list to a call.
func (m *discoveryModel) respond(call *modelCall) {
	if call.done || call.silent {
		return
	}
	n := call.node
	call.done, call.held, n.rejectedInRow = true, false, 0
	m.recordContact(n, true)
	m.recordContact(n, false)
	changed := m.version > call.sinceVersion
	n.version, n.fullListPending = m.version, false
	if n.firstListAt < 0 {
		n.firstListAt = m.now
	}
	n.schedule.CallSucceeded(m.now, changed)
	pause := max(0, MinWatchInterval-(m.now-call.arrived)) + time.Millisecond + time.Duration(m.rng.Int64N(int64(2*time.Millisecond)))
	m.schedule(m.now+pause, func() { n.call(true) })
}

// failed handles a call that failed or timed out.
func (n *modelNode) failed(call *modelCall, failure Failure) {
	model := n.model
	if call.done {
		return
	}
	call.done, call.held, n.connected = true, false, failure == CallRejected
	model.recordContact(n, false)
	if pause, retry := n.schedule.CallFailed(model.now, call.waitEnd, failure, model.rng.Float64()); retry {
		model.schedule(model.now+pause, func() { n.call(false) })
		return
	}
	n.watching = false
	n.decide(policy.Event{Kind: policy.EvList, List: policy.ListFailed})
	if !n.timerPending { // the timer fires when it would have, had it not been left out
		for n.timerAt < model.now {
			n.timerAt += 250 * time.Millisecond
		}
		n.timerPending = true
		model.schedule(n.timerAt, n.tick)
	}
}

// publishChange makes a change of the list, and answers the open watches.
func (m *discoveryModel) publishChange() {
	m.version++
	for _, n := range m.nodes {
		if call := n.currentCall; call != nil && call.held {
			m.schedule(m.now+20*time.Millisecond, func() { m.respond(call) })
		}
	}
}

// silence lets the open calls of the selected nodes go without a response.
func (m *discoveryModel) silence(selected func(*modelNode) bool) {
	for _, n := range m.nodes {
		if n.currentCall != nil && !n.currentCall.done && selected(n) {
			n.currentCall.silent = true
			if n.blindSince < 0 {
				n.blindSince = m.now
			}
		}
	}
}

// goDown ends all calls.
func (m *discoveryModel) goDown() {
	m.waiting = nil
	for _, n := range m.nodes {
		if call := n.currentCall; call != nil && !call.done {
			m.schedule(m.now+time.Millisecond, func() { n.failed(call, CallError) })
		}
	}
}

// newAskSchedule returns the schedule of nodes that ask for lists.
func newAskSchedule(grace time.Duration) scheduler { return &Schedule{Grace: grace} }

// newPushSchedule returns the schedule of nodes whose lists are pushed.
func newPushSchedule(grace time.Duration) scheduler { return &Schedule{Grace: grace, Push: true} }

// newFormerSchedule returns the former schedule of nodes that ask for lists.
func newFormerSchedule(grace time.Duration) scheduler { return &formerSchedule{grace: grace} }

// ms returns n milliseconds.
func ms(n int) time.Duration { return time.Duration(n) * time.Millisecond }

// simulationEpoch is the start of a scenario on the policy's clock.
const simulationEpoch = 24 * time.Hour

// fleetSize is the number of nodes in the scenarios.
const fleetSize = 300
