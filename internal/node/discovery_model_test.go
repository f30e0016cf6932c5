package node

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

// scheduler decides when a node's watch loop calls discovery: the current pollSchedule, or the former one for
// comparison.
type scheduler interface {
	reset()
	requireFresh(announced time.Duration)
	callStarted(now time.Duration)
	callTimes(full bool, random float64) (wait, limit time.Duration)
	callSucceeded(now time.Duration, changed bool)
	callFailed(now, waitEnd time.Duration, failure callFailure, random float64) (delay time.Duration, retry bool)
}

// formerSchedule is the schedule that nodes which ask for lists had before watches were shortened, for comparison: a
// watch waits 8 to 24 s, and a failure is left to the policy unless a fresh list is due.
type formerSchedule struct{ grace, listDue, delay time.Duration }

func (r *formerSchedule) reset() { *r = formerSchedule{grace: r.grace} }
func (r *formerSchedule) requireFresh(announced time.Duration) {
	r.listDue = max(r.listDue, announced+r.grace)
}
func (r *formerSchedule) callStarted(time.Duration)         {}
func (r *formerSchedule) callSucceeded(time.Duration, bool) { r.listDue, r.delay = 0, 0 }
func (r *formerSchedule) callTimes(full bool, random float64) (wait, limit time.Duration) {
	if full {
		return 0, fetchTimeout
	}
	wait = 8*time.Second + time.Duration(random*float64(16*time.Second))
	return wait, wait + 400*time.Millisecond
}

func (r *formerSchedule) callFailed(now, waitEnd time.Duration, failure callFailure, random float64) (time.Duration, bool) {
	if failure == callTimeout {
		r.requireFresh(waitEnd + 2*time.Second)
	}
	switch {
	case now >= r.listDue:
		return 0, false
	case failure == callTimeout && r.delay == 0:
		r.delay = minBackoff
		return 0, true
	}
	r.delay = min(max(2*r.delay, minBackoff), max(minBackoff, min(r.grace/4, maxBackoff)))
	return time.Duration(float64(r.delay) * (0.5 + random)), true
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
	script func(h *discoveryModel, a *modelCall, nth int) bool
	// announceDelay makes nodes ask for the complete list first, which is due this long after their start; 0: they
	// watch at once.
	announceDelay time.Duration
}

// interval is a part of a scenario.
type interval struct{ from, to time.Duration }

func (s interval) contains(t time.Duration) bool { return t >= s.from && t < s.to }

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

func (f results) String() string {
	return fmt.Sprintf("%.1f calls/s, queue %d, handled after %.2f s, rejected %.2f%%, in a row %d, asked within %.2f s, "+
		"blind for %.2f s (%d nodes too long), %d slowed", float64(f.calls)/f.seconds, f.maxQueue, f.maxQueueTime.Seconds(),
		100*float64(f.rejected)/float64(max(f.calls, 1)), f.maxRejectedInRow, f.maxNoContact.Seconds(), f.maxBlind.Seconds(), f.blindNodes, f.slowedNodes)
}

// event is an entry of the simulation's queue.
type simulationEvent struct {
	at  time.Duration
	seq int
	run func()
}

// eventQueue implements heap.Interface, ordered by time and then by insertion.
type eventQueue []simulationEvent

func (m eventQueue) Len() int { return len(m) }
func (m eventQueue) Less(i, j int) bool {
	return m[i].at < m[j].at || m[i].at == m[j].at && m[i].seq < m[j].seq
}
func (m eventQueue) Swap(i, j int) { m[i], m[j] = m[j], m[i] }
func (m *eventQueue) Push(x any)   { *m = append(*m, x.(simulationEvent)) }
func (m *eventQueue) Pop() any {
	old := *m
	last := old[len(old)-1]
	*m = old[:len(old)-1]
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
	unused       time.Duration
}

// schedule runs a function at a time.
func (h *discoveryModel) schedule(t time.Duration, run func()) {
	h.seq++
	heap.Push(&h.events, simulationEvent{t, h.seq, run})
}

// reachableSince returns since when a node can reach discovery, or false where it can't.
func (h *discoveryModel) reachableSince(n *modelNode) (since time.Duration, ok bool) {
	if h.outage.contains(h.now) || n.index < h.partitionedNodes && h.partition.contains(h.now) {
		return 0, false
	}
	if h.now >= h.outage.to {
		since = h.outage.to
	}
	if n.index < h.partitionedNodes && h.now >= h.partition.to {
		since = max(since, h.partition.to)
	}
	return since, true
}

// recordContact measures how long a node has gone without asking, and without a fresh list. sees is whether it has one,
// or a working watch, from now on.
func (h *discoveryModel) recordContact(n *modelNode, sees bool) {
	if since, ok := h.reachableSince(n); ok && h.now >= h.measureFrom {
		since = max(since, h.measureFrom)
		h.maxNoContact = max(h.maxNoContact, h.now-max(since, n.lastContact))
		if n.blindSince >= 0 {
			blind := h.now - max(since, n.blindSince)
			h.maxBlind = max(h.maxBlind, blind)
			n.wasBlindTooLong = n.wasBlindTooLong || blind > maxAnnounceDelay+h.grace
		}
	}
	n.lastContact = h.now
	switch {
	case sees:
		n.blindSince = -1
	case n.blindSince < 0:
		n.blindSince = h.now
	}
}

// simulate runs a scenario with a number of nodes.
func simulate(setup deployment, course scenario, count int, seed uint64, newSchedule func(grace time.Duration) scheduler) *discoveryModel {
	h := &discoveryModel{deployment: setup, scenario: course, rng: rand.New(rand.NewPCG(seed, 31))}
	for i := range count {
		set := policy.Settings{Nodes: count, MaxAttempts: 1, MustAsk: !setup.push, MustAskIn: 10 * time.Second,
			Classes: []policy.Class{{Name: "a", TargetLatency: time.Second, Deadline: time.Second, Value: 1}}}
		balancer, err := policy.New(set, h.rng.Uint64())
		if err != nil {
			panic(err)
		}
		n := &modelNode{model: h, schedule: newSchedule(setup.grace), policy: balancer, index: i, fullListPending: setup.announceDelay > 0, firstListAt: -1}
		h.nodes = append(h.nodes, n)
		h.schedule(time.Duration(h.rng.Float64()*float64(course.startSpread)), func() {
			n.lastContact, n.blindSince = h.now, h.now
			if setup.push || setup.announceDelay > 0 {
				n.watch()
			}
			n.decide(policy.Event{Kind: policy.EvList, List: policy.ListCached})
		})
	}
	for _, t := range course.changes {
		h.schedule(t, h.publishChange)
	}
	if course.silentAt > 0 {
		h.schedule(course.silentAt, func() { h.silence(func(*modelNode) bool { return true }) })
	}
	if course.outage.to > 0 {
		h.schedule(course.outage.from, h.goDown)
	}
	if course.partition.to > 0 {
		h.schedule(course.partition.from, func() { h.silence(func(n *modelNode) bool { return n.index < course.partitionedNodes }) })
	}
	for len(h.events) > 0 {
		next := heap.Pop(&h.events).(simulationEvent)
		if next.at >= course.length {
			break
		}
		h.now = next.at
		next.run()
	}
	h.now = course.length
	for _, n := range h.nodes {
		h.recordContact(n, false)
		if n.wasBlindTooLong {
			h.blindNodes++
		}
		if schedule, ok := n.schedule.(*pollSchedule); ok && schedule.overloadUntil > 0 {
			h.slowedNodes++
		}
	}
	h.seconds = (course.length - course.measureFrom).Seconds()
	return h
}

// watch starts the watch loop unless it runs.
func (n *modelNode) watch() {
	if n.watching {
		return
	}
	n.watching = true
	n.schedule.reset()
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
		n.schedule.requireFresh(model.announceDelay)
	}
	n.schedule.callStarted(model.now)
	wait, limit := n.schedule.callTimes(n.fullListPending, model.rng.Float64())
	call := &modelCall{node: n, arrived: model.now, waitEnd: model.now + wait, sinceVersion: n.version, resumes: resumes}
	if n.fullListPending {
		call.sinceVersion = -1
	}
	n.currentCall = call
	n.callCount++
	model.schedule(model.now+limit, func() { n.failed(call, callTimeout) })
	switch {
	case n.index < model.partitionedNodes && model.partition.contains(model.now):
		if !n.connected { // no connection is established
			model.schedule(model.now+dialTimeout, func() { n.failed(call, callError) })
		}
		call.silent = true
		return
	case model.outage.contains(model.now):
		model.schedule(model.now+time.Millisecond, func() { n.failed(call, callError) })
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
func (h *discoveryModel) reject(call *modelCall) {
	if call.done {
		return
	}
	if h.now >= h.measureFrom {
		h.rejected++
		call.node.rejectedInRow++
		h.maxRejectedInRow = max(h.maxRejectedInRow, call.node.rejectedInRow)
	}
	call.node.failed(call, callRejected)
}

// serveNext handles the next call in the queue. One that timed out takes as long as any other, as discovery doesn't
// notice that.
func (h *discoveryModel) serveNext() {
	if h.busy || len(h.waiting) == 0 {
		return
	}
	call := h.waiting[0]
	h.waiting, h.busy = h.waiting[1:], true
	h.schedule(h.now+h.roundTime/time.Duration(len(h.nodes)), func() {
		h.busy = false
		h.handle(call)
		h.serveNext()
	})
}

// handle answers a call whose turn has come, or holds it until there is a change or its wait ends.
func (h *discoveryModel) handle(call *modelCall) {
	if call.done || call.silent {
		return
	}
	if h.now >= h.measureFrom {
		h.results.maxQueueTime = max(h.results.maxQueueTime, h.now-call.arrived)
	}
	if h.version > call.sinceVersion {
		h.respond(call)
		return
	}
	call.held = true
	h.recordContact(call.node, true)
	h.schedule(max(h.now, call.waitEnd), func() { h.respond(call) })
}

// respond returns the list to a call.
func (h *discoveryModel) respond(call *modelCall) {
	if call.done || call.silent {
		return
	}
	n := call.node
	call.done, call.held, n.rejectedInRow = true, false, 0
	h.recordContact(n, true)
	h.recordContact(n, false)
	changed := h.version > call.sinceVersion
	n.version, n.fullListPending = h.version, false
	if n.firstListAt < 0 {
		n.firstListAt = h.now
	}
	n.schedule.callSucceeded(h.now, changed)
	pause := max(0, minWatchInterval-(h.now-call.arrived)) + time.Millisecond + time.Duration(h.rng.Int64N(int64(2*time.Millisecond)))
	h.schedule(h.now+pause, func() { n.call(true) })
}

// failed handles a call that failed or timed out.
func (n *modelNode) failed(call *modelCall, failure callFailure) {
	model := n.model
	if call.done {
		return
	}
	call.done, call.held, n.connected = true, false, failure == callRejected
	model.recordContact(n, false)
	if pause, retry := n.schedule.callFailed(model.now, call.waitEnd, failure, model.rng.Float64()); retry {
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
func (h *discoveryModel) publishChange() {
	h.version++
	for _, n := range h.nodes {
		if call := n.currentCall; call != nil && call.held {
			h.schedule(h.now+20*time.Millisecond, func() { h.respond(call) })
		}
	}
}

// silence lets the open calls of the selected nodes go without a response.
func (h *discoveryModel) silence(selected func(*modelNode) bool) {
	for _, n := range h.nodes {
		if n.currentCall != nil && !n.currentCall.done && selected(n) {
			n.currentCall.silent = true
			if n.blindSince < 0 {
				n.blindSince = h.now
			}
		}
	}
}

// goDown ends all calls.
func (h *discoveryModel) goDown() {
	h.waiting = nil
	for _, n := range h.nodes {
		if call := n.currentCall; call != nil && !call.done {
			h.schedule(h.now+time.Millisecond, func() { n.failed(call, callError) })
		}
	}
}

// newAskSchedule returns the schedule of nodes that ask for lists.
func newAskSchedule(grace time.Duration) scheduler { return &pollSchedule{grace: grace} }

// newPushSchedule returns the schedule of nodes whose lists are pushed.
func newPushSchedule(grace time.Duration) scheduler { return &pollSchedule{grace: grace, push: true} }

// newFormerSchedule returns the former schedule of nodes that ask for lists.
func newFormerSchedule(grace time.Duration) scheduler { return &formerSchedule{grace: grace} }

// ms returns n milliseconds.
func ms(n int) time.Duration { return time.Duration(n) * time.Millisecond }

// simulationEpoch is the start of a scenario on the policy's clock.
const simulationEpoch = 24 * time.Hour

// fleetSize is the number of nodes in the scenarios.
const fleetSize = 300
