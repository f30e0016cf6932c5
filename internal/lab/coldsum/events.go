package coldsum

import (
	"math"
	"sort"
	"strconv"
	"time"

	"portstall/policy"
)

// process performs one event.
func (sim *simulation) process(e *event) {
	switch e.kind {
	case evClientRequest:
		sim.requests++
		try := &clientTry{requestedAt: sim.now, tryNumber: 1}
		if sim.rng.Float64() < heavyShare {
			try.class = 1
		}
		sim.submit(try)
		gap := sim.rng.ExpFloat64() / (float64(sim.Servers) * sim.Capacity * sim.Load * sim.rateFactor(sim.now))
		sim.schedule(event{at: sim.now + time.Duration(gap*float64(time.Second)), kind: evClientRequest})
	case evTick:
		sim.decide(e.node, nil, &policy.Event{Kind: policy.EvTimer, Token: "tick"})
		sim.schedule(event{at: sim.now + 250*time.Millisecond, kind: evTick, node: e.node})
	case evListUpdate:
		sim.knownLaunch[e.node][e.entry.ID] = max(sim.knownLaunch[e.node][e.entry.ID], e.entry.Launched)
		sim.decide(e.node, nil, &policy.Event{Kind: policy.EvList, List: policy.ListDelta, Entries: []policy.Entry{e.entry}})
	case evDelivery:
		sim.deliver(e.server, e.try, e.number)
	case evServerDone:
		if e.server.launchCount != e.number {
			return // the process that had the request has ended
		}
		e.server.running--
		sim.startQueued(e.server)
	case evOutcome:
		sim.finishAttempt(e)
	case evServerStart:
		sim.restart(e.server)
	case evServerSilent:
		e.server.silent = true
	case evServerDraining:
		e.server.State = policy.Draining
		sim.announce(e.server)
		sim.restart(sim.addServer())
		sim.schedule(event{at: sim.now + 3*time.Second, kind: evServerRemoved, server: e.server})
	case evServerRemoved:
		e.server.State = policy.Removed
		sim.announce(e.server)
	}
}

// submit sends a client's try to a node, chosen at random by the nodes' weights.
func (sim *simulation) submit(try *clientTry) {
	at := sort.SearchFloat64s(sim.cumulativeWeights, sim.rng.Float64()*sim.cumulativeWeights[len(sim.cumulativeWeights)-1])
	sim.lastTryID++
	try.id, try.node = strconv.Itoa(sim.lastTryID), min(at, sim.Nodes-1)
	sim.decide(try.node, try, &policy.Event{Kind: policy.EvRequest, ID: try.id, Class: strconv.Itoa(try.class), TimeLeft: try.requestedAt + clientTimeout - sim.now, Repeat: try.tryNumber > 1})
}

// decide passes an event to a node's policy and performs the actions that it returns. try is the try that the event
// concerns, nil if none. A client whose try is refused or fails retries after 30 to 130 ms, if tries and time are left.
func (sim *simulation) decide(node int, try *clientTry, ev *policy.Event) {
	actions := sim.nodes[node].Handle(sim.now, ev, nil)
	for i := range actions {
		switch a := &actions[i]; a.Kind {
		case policy.ActSend:
			sim.sendAttempt(try, a)
		case policy.ActRefuse, policy.ActFail:
			try.finished = true
			again := sim.now + 30*time.Millisecond + sim.randomDuration(100*time.Millisecond)
			if try.tryNumber < maxTries && again < try.requestedAt+clientTimeout-20*time.Millisecond {
				sim.schedule(event{at: again, kind: evDelivery, try: &clientTry{class: try.class, requestedAt: try.requestedAt, tryNumber: try.tryNumber + 1}})
			}
		}
	}
}

// sendAttempt records an attempt and schedules its arrival at the server and its timeout.
func (sim *simulation) sendAttempt(try *clientTry, a *policy.Action) {
	s := sim.servers[a.Server]
	try.attempts++
	try.pending, try.sentAt = true, sim.now
	sim.checkColdRule(s, try)
	sim.schedule(event{at: sim.now + messageDelay, kind: evDelivery, try: try, server: s, number: try.attempts - 1})
	sim.schedule(event{at: sim.now + a.Wait, kind: evOutcome, try: try, server: s, number: try.attempts - 1, outcome: policy.TimedOut})
}

// checkColdRule adds an attempt to the window of a cold server, and compares the window with the limit N + Slack(N).
func (sim *simulation) checkColdRule(s *server, try *clientTry) {
	start := s.coldStart
	if start == nil {
		return
	}
	ramp := sim.ColdShare + (1-sim.ColdShare)*min(1, (sim.now-s.Launched).Seconds()/sim.ColdFor.Seconds())
	if ramp >= 1 {
		s.coldStart = nil
		return
	}
	informed := sim.knownLaunch[try.node][s.ID] >= s.Launched
	mean := classWork[0]*(1-heavyShare) + classWork[1]*heavyShare
	start.window = append(start.window, sentAttempt{sim.now, classWork[try.class] / mean, informed})
	sum, informedWork := 0.0, 0.0
	for len(start.window) > 0 && start.window[0].at < sim.now-sim.FallFor {
		start.window = start.window[1:]
	}
	for _, x := range start.window {
		if sum += x.work; x.informed {
			informedWork += x.work
		}
	}
	n := sim.FallFactor * ramp * sim.Capacity * sim.FallFor.Seconds()
	sim.maxExcess = max(sim.maxExcess, (sum-n)/math.Sqrt(n))
	start.useSum, start.windowCount = start.useSum+sum/n, start.windowCount+1
	if sum > n+Slack(n) && !start.exceeded {
		start.exceeded = true
		if informedWork > sum*2/3 {
			start.informedWork = informedWork
		}
	}
}

// deliver hands an attempt to its server, or submits a client's retry if s is nil.
func (sim *simulation) deliver(s *server, try *clientTry, index int) {
	switch {
	case s == nil:
		sim.submit(try)
	case s.silent:
	case s.failing && sim.rng.Float64() < 0.6:
		sim.schedule(event{at: sim.now + messageDelay, kind: evOutcome, try: try, server: s, number: index, outcome: policy.Failed})
	case len(s.queue) >= maxQueue:
		sim.schedule(event{at: sim.now + messageDelay, kind: evOutcome, try: try, server: s, number: index, outcome: policy.QueueFull})
	default:
		s.queue = append(s.queue, queuedAttempt{try, index})
		sim.startQueued(s)
	}
}

// startQueued starts queued attempts while the server has free slots. Attempts that their node no longer waits for are
// dropped.
func (sim *simulation) startQueued(s *server) {
	for s.running < serverSlots && len(s.queue) > 0 {
		next := s.queue[0]
		s.queue = s.queue[1:]
		if next.try.finished || !next.try.pending || next.try.attempts-1 != next.index {
			continue
		}
		ramp := 1.0
		if s.Launched > 0 {
			ramp = min(1, sim.ColdShare+(1-sim.ColdShare)*(sim.now-s.Launched).Seconds()/sim.ColdFor.Seconds())
		}
		mean := classWork[0]*(1-heavyShare) + classWork[1]*heavyShare
		took := classWork[next.try.class] / mean * serverSlots / (sim.Capacity * ramp) * (0.5 + 0.5*sim.rng.ExpFloat64())
		s.running++
		done := sim.now + time.Duration(took*float64(time.Second))
		sim.schedule(event{at: done, kind: evServerDone, server: s, number: s.launchCount})
		sim.schedule(event{at: done + messageDelay, kind: evOutcome, try: next.try, server: s, number: next.index, outcome: policy.OK, launchCount: s.launchCount})
	}
}

// finishAttempt reports an attempt's outcome to its node. It ignores attempts that already have an outcome.
func (sim *simulation) finishAttempt(e *event) {
	try := e.try
	if try.finished || !try.pending || try.attempts-1 != e.number {
		return
	}
	if e.outcome == policy.OK && (e.server.silent || e.server.launchCount != e.launchCount) {
		return // the server process stopped before it responded; the attempt times out
	}
	try.pending = false
	if e.outcome == policy.OK {
		try.finished = true
		sim.served++
	}
	load := policy.Load{Known: e.outcome != policy.TimedOut, Queue: float64(len(e.server.queue)), Held: -1}
	sim.decide(try.node, try, &policy.Event{Kind: policy.EvOutcome, ID: try.id, Server: e.server.ID, Attempt: e.number, Elapsed: sim.now - try.sentAt,
		Final: e.outcome == policy.OK, Outcome: e.outcome, Load: load})
}

// restart starts a server anew, cold, and announces it. Requests that it held are lost and time out.
func (sim *simulation) restart(s *server) {
	sim.launch(s)
	sim.announce(s)
}

// launch starts a server's process and begins a new count of what is sent to it while it is cold.
func (sim *simulation) launch(s *server) {
	s.Launched, s.silent, s.running, s.queue = sim.now, false, 0, nil
	s.launchCount++
	s.coldStart = &coldStart{}
	sim.coldStarts = append(sim.coldStarts, s.coldStart)
}
