package policy_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"

	"portstall/policy"
)

const ms = time.Millisecond

// testSettings returns settings with classes of all effects and groups. With subscribe, list updates need a
// subscription.
func testSettings(nodes int, subscribe bool) policy.Settings {
	return policy.Settings{
		Zone: "east", Nodes: nodes, MustAsk: subscribe, MustAskIn: 10 * time.Second,
		Classes: []policy.Class{
			{Name: "read", TargetLatency: 400 * ms, Deadline: time.Second, Value: 10, Effect: policy.Safe},
			{Name: "put", TargetLatency: 300 * ms, Deadline: time.Second, Value: 1, Effect: policy.Keyed,
				Group: policy.GroupZone, Window: 120 * ms},
			{Name: "note", TargetLatency: 300 * ms, Deadline: time.Second, Value: 1, Effect: policy.Keyed,
				Group: policy.GroupCell, Window: 90 * ms},
			{Name: "mark", TargetLatency: 300 * ms, Deadline: time.Second, Value: 1, Effect: policy.Keyed,
				Group: policy.GroupAll, Window: 600 * ms},
			{Name: "pay", TargetLatency: 400 * ms, Deadline: 2 * time.Second, Value: 2, Effect: policy.Unsafe},
		},
		MaxAttempts: 4, Cancel: true, RetryAfter: time.Second, DrainGrace: 500 * ms,
		ColdShare: 0.3, ColdFor: 8 * time.Second, FallFactor: 3, FallFor: time.Second,
	}
}

// The simulation runs balancers against stub servers and checks four rules by its own records, which share no code with
// the policy: (1) a request gets one final response, in time; (2) a request is not repeated where that could run it
// twice; (3) a draining server gets no requests after the grace; (4) a cold server is not overloaded.

// scheduledEvent is an event that a node gets at a given time. Events at the same time keep the order of their numbers.
type scheduledEvent struct {
	at    time.Duration
	seq   int
	node  int
	event policy.Event
}

// eventQueue is a heap of events, the earliest first.
type eventQueue []scheduledEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(scheduledEvent)) }
func (q *eventQueue) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}

// attemptRecord is what the checks know of an attempt.
type attemptRecord struct {
	server     policy.Entry
	sentAt     time.Duration
	pending    bool
	mayHaveRun bool
}

// requestRecord is what the checks know of a request.
type requestRecord struct {
	class      policy.Class
	expiresAt  time.Duration
	attempts   []attemptRecord
	responses  int
	clientGone bool
}

// stubServer is a server of the simulation.
type stubServer struct {
	policy.Entry
	inFlight  int
	fault     int // 0 none, 1 errors, 2 silent, 3 no connection, 4 connections are reset
	sends     []time.Duration
	drainedAt []time.Duration // per node: when it was notified that this one drains or was removed, 0 if not
}

// simulation is one run: its nodes, servers and pending events, and the records that its checks use.
type simulation struct {
	t        *testing.T
	rng      *rand.Rand
	settings policy.Settings
	nodes    []*policy.Balancer
	servers  map[uint32]*stubServer
	ids      []uint32
	requests []map[string]*requestRecord
	queue    eventQueue
	seq      int
	actions  []policy.Action
	attempts int
	failures int
}

// failf reports a broken rule; of many only the first ones are printed.
func (sim *simulation) failf(format string, args ...any) {
	sim.failures++
	if sim.failures < 10 {
		sim.t.Errorf(format, args...)
	}
}

func (sim *simulation) schedule(at time.Duration, node int, event policy.Event) {
	sim.seq++
	heap.Push(&sim.queue, scheduledEvent{at, sim.seq, node, event})
}

func (sim *simulation) scheduleList(at time.Duration, node int, kind policy.ListKind, entries ...policy.Entry) {
	sim.schedule(at, node, policy.Event{Kind: policy.EvList, List: kind, Entries: entries})
}

// runSimulation runs nodes against servers with the given rate of requests per second at each node, and returns the
// ended simulation.
func runSimulation(t *testing.T, seed uint64, nodes, servers int, rate float64, length time.Duration) *simulation {
	sim := &simulation{t: t, rng: rand.New(rand.NewPCG(seed, 7)), servers: map[uint32]*stubServer{},
		settings: testSettings(nodes, seed%2 == 0)}
	start := time.Hour
	var list []policy.Entry
	for i := 0; i < servers; i++ {
		e := policy.Entry{ID: uint32(100 + i*7), Zone: []string{"east", "west"}[i%2], Cell: int64(i % 4), ServerType: "k"}
		sim.servers[e.ID] = &stubServer{Entry: e, drainedAt: make([]time.Duration, nodes)}
		sim.ids = append(sim.ids, e.ID)
		list = append(list, e)
	}
	for n := 0; n < nodes; n++ {
		b, err := policy.New(sim.settings, seed+uint64(n))
		if err != nil {
			t.Fatal(err)
		}
		sim.nodes = append(sim.nodes, b)
		sim.requests = append(sim.requests, map[string]*requestRecord{})
		sim.scheduleList(start, n, policy.ListCached, list...)
		at, i := start, 0
		for at < start+length {
			at += time.Duration(sim.rng.ExpFloat64() / rate * float64(time.Second))
			i++
			c := sim.settings.Classes[sim.rng.IntN(len(sim.settings.Classes))]
			timeLeft := time.Duration(float64(c.Deadline) * (0.3 + 0.7*sim.rng.Float64()))
			if sim.rng.IntN(100) == 0 {
				timeLeft = 0
			}
			id := fmt.Sprintf("r%d-%d", n, i)
			sim.schedule(at, n, policy.Event{Kind: policy.EvRequest, ID: id, Class: c.Name, TimeLeft: timeLeft,
				Repeat: sim.rng.IntN(4) == 0})
			if sim.rng.IntN(50) == 0 {
				sim.schedule(at+time.Duration(sim.rng.Int64N(int64(300*ms))), n, policy.Event{Kind: policy.EvClientGone, ID: id})
			}
		}
	}
	// Injected faults: failing servers, drains with a replacement server that starts cold, cells whose servers reset
	// connections until they are replaced at their addresses, lost lists.
	for at := start + time.Second; at < start+length; at += 2 * time.Second {
		id := sim.ids[sim.rng.IntN(len(sim.ids))]
		switch sim.rng.IntN(5) {
		case 0:
			sim.servers[id].fault = sim.rng.IntN(4)
		case 1:
			old := sim.servers[id].Entry
			old.State = policy.Draining
			replacement := sim.addReplacement(old, at)
			for n := range sim.nodes {
				notifiedAt := at + time.Duration(sim.rng.Int64N(int64(time.Second)))
				sim.scheduleList(notifiedAt, n, policy.ListDelta, old, replacement)
				old.State = policy.Removed
				sim.scheduleList(notifiedAt+time.Second, n, policy.ListDelta, old)
				old.State = policy.Draining
			}
		case 2:
			for n := range sim.nodes {
				sim.scheduleList(at, n, policy.ListFailed)
			}
		case 3:
			sim.replaceCell(at, sim.servers[id].Cell)
		}
	}
	var out []policy.Action
	for len(sim.queue) > 0 {
		next := heap.Pop(&sim.queue).(scheduledEvent)
		if next.at > start+length+5*time.Second {
			break
		}
		sim.recordEvent(&next)
		out = sim.nodes[next.node].Handle(next.at, &next.event, out[:0])
		for _, a := range out {
			sim.perform(next.at, next.node, a)
		}
		sim.actions = append(sim.actions, out...)
	}
	for n, requests := range sim.requests {
		for id, r := range requests {
			if r.responses == 0 && !r.clientGone {
				sim.failf("node %d: %s has no final response", n, id)
			}
		}
	}
	return sim
}

// addReplacement adds a server that takes the place of another one, and starts cold.
func (sim *simulation) addReplacement(old policy.Entry, at time.Duration) policy.Entry {
	replacement := old
	replacement.ID, replacement.State, replacement.Launched = uint32(10000+len(sim.ids)), policy.Active, at
	sim.servers[replacement.ID] = &stubServer{Entry: replacement, drainedAt: make([]time.Duration, len(sim.nodes))}
	sim.ids = append(sim.ids, replacement.ID)
	return replacement
}

// replaceCell replaces the servers of a cell one after the other at their addresses. Until then they reset connections,
// and lists then say of them only that they are gone.
func (sim *simulation) replaceCell(at time.Duration, cell int64) {
	for _, id := range sim.ids {
		old := sim.servers[id]
		if old.Cell != cell || old.fault == 4 {
			continue
		}
		old.fault = 4
		at += 100 * ms
		replacement := sim.addReplacement(old.Entry, at)
		for n := range sim.nodes {
			notifiedAt := at + time.Duration(sim.rng.Int64N(int64(300*ms)))
			sim.scheduleList(notifiedAt, n, policy.ListDelta, policy.Entry{ID: id, State: policy.Removed}, replacement)
		}
	}
}

// recordEvent updates the records by an event that a node is about to get.
func (sim *simulation) recordEvent(e *scheduledEvent) {
	requests := sim.requests[e.node]
	switch ev := &e.event; ev.Kind {
	case policy.EvRequest:
		for _, c := range sim.settings.Classes {
			if c.Name == ev.Class {
				requests[ev.ID] = &requestRecord{class: c, expiresAt: e.at + ev.TimeLeft}
			}
		}
	case policy.EvClientGone:
		requests[ev.ID].clientGone = true
	case policy.EvOutcome:
		r := requests[ev.ID]
		if ev.Attempt >= len(r.attempts) || !r.attempts[ev.Attempt].pending {
			return // an outcome that is repeated on purpose
		}
		a := &r.attempts[ev.Attempt]
		a.pending = false
		sim.servers[ev.Server].inFlight--
		a.mayHaveRun = ev.Outcome != policy.QueueFull && ev.Outcome != policy.ConnectFailed && ev.Outcome != policy.NeverSent
		if ev.Outcome == policy.OK && r.responses == 0 {
			r.responses++
		}
		ev.Final = r.responses > 0 || r.clientGone
	case policy.EvList:
		for _, entry := range ev.Entries {
			s := sim.servers[entry.ID]
			if entry.State == policy.Active {
				s.drainedAt[e.node] = 0
			} else if s.drainedAt[e.node] == 0 {
				s.drainedAt[e.node] = e.at
			}
		}
	}
}

// perform carries out an action and checks it.
func (sim *simulation) perform(now time.Duration, node int, action policy.Action) {
	if action.Kind == policy.ActTimer {
		sim.schedule(max(action.At, now+1), node, policy.Event{Kind: policy.EvTimer, Token: action.Token})
		return
	}
	r := sim.requests[node][action.ID]
	switch action.Kind {
	case policy.ActSend:
		sim.send(now, node, r, action)
	case policy.ActRefuse, policy.ActFail:
		if r.responses++; r.responses > 1 || r.clientGone {
			sim.failf("%s: %d final responses (client disconnected: %v)", action.ID, r.responses, r.clientGone)
		}
		if now > r.expiresAt+20*ms {
			sim.failf("%s: final response %v after its client's timeout", action.ID, now-r.expiresAt)
		}
		if action.Kind == policy.ActRefuse && r.class.Effect != policy.Safe &&
			!(r.class.Effect == policy.Keyed && r.class.Group == policy.GroupAll) {
			for _, a := range r.attempts {
				if a.mayHaveRun || a.pending {
					sim.failf("%s (%s): refused though it may have run", action.ID, r.class.Name)
				}
			}
		}
	}
}

// send checks an attempt and schedules its outcome.
func (sim *simulation) send(now time.Duration, node int, r *requestRecord, action policy.Action) {
	sim.attempts++
	s := sim.servers[action.Server]
	if r.responses > 0 || r.clientGone {
		sim.failf("%s: sent after its final response", action.ID)
	}
	if d := s.drainedAt[node]; d > 0 && now > d+sim.settings.DrainGrace {
		sim.failf("%s: sent to server %d, whose drain was announced %v ago", action.ID, action.Server, now-d)
	}
	if len(r.attempts) >= sim.settings.MaxAttempts {
		sim.failf("%s: attempt %d of %d", action.ID, len(r.attempts)+1, sim.settings.MaxAttempts)
	}
	for _, a := range r.attempts {
		if a.pending {
			sim.failf("%s: two attempts at the same time", action.ID)
		}
		if !a.mayHaveRun && !a.pending {
			continue
		}
		c := r.class
		switch {
		case c.Effect == policy.Unsafe:
			sim.failf("%s: unsafe request retried though it may have run", action.ID)
		case c.Effect == policy.Keyed && now > a.sentAt+c.Window:
			sim.failf("%s: retried %v after an attempt, repeat window %v", action.ID, now-a.sentAt, c.Window)
		case c.Effect == policy.Keyed && c.Group == policy.GroupZone && a.server.Zone != s.Zone:
			sim.failf("%s: retried in another zone though it may have run", action.ID)
		case c.Effect == policy.Keyed && c.Group == policy.GroupCell && a.server.Cell != s.Cell:
			sim.failf("%s: retried in another cell though it may have run", action.ID)
		}
	}
	r.attempts = append(r.attempts, attemptRecord{server: s.Entry, sentAt: now, pending: true})
	s.inFlight++
	s.sends = append(s.sends, now)

	outcome, elapsed := policy.OK, time.Duration(float64(8*ms)*sim.rng.ExpFloat64()*float64(4+s.inFlight))
	switch {
	case s.fault == 1 || sim.rng.IntN(200) == 0:
		outcome, elapsed = policy.Failed, 2*ms
	case s.fault == 2:
		elapsed = time.Hour
	case s.fault == 3:
		outcome, elapsed = policy.ConnectFailed, 100*ms
	case s.fault == 4:
		outcome, elapsed = policy.Reset, time.Duration(sim.rng.Int64N(int64(40*ms)))
	case s.inFlight > 20:
		outcome, elapsed = policy.QueueFull, ms
	case sim.rng.IntN(300) == 0:
		outcome, elapsed = policy.Reset, 5*ms
	case sim.rng.IntN(500) == 0:
		outcome, elapsed = policy.NeverSent, 0
	}
	limit := r.expiresAt - now
	if action.Wait > 0 {
		limit = min(limit, action.Wait)
	}
	if elapsed > limit {
		outcome, elapsed = policy.TimedOut, max(limit, 0)
	}
	ev := policy.Event{Kind: policy.EvOutcome, ID: action.ID, Server: action.Server, Attempt: len(r.attempts) - 1,
		Elapsed: elapsed, Outcome: outcome}
	if outcome == policy.OK {
		ev.Load = policy.Load{Known: true, Queue: float64(max(0, s.inFlight-4)), Held: float64(s.inFlight)}
		switch sim.rng.IntN(40) {
		case 0: // an invalid report
			invalid := []float64{math.NaN(), math.Inf(1), -1e300, 1e300}
			ev.Load.Queue, ev.Load.Held, ev.Load.Work =
				invalid[sim.rng.IntN(4)], invalid[sim.rng.IntN(4)], invalid[sim.rng.IntN(4)]
		case 1: // only the queue and the service time
			ev.Load.Held, ev.Load.Work = -1, elapsed.Seconds()
		}
	}
	sim.schedule(now+elapsed, node, ev)
	if sim.rng.IntN(50) == 0 {
		sim.schedule(now+elapsed+ms, node, ev) // the same outcome again
	}
}

// Runs simulations with different seeds, numbers of nodes and rates, and checks the four rules in each.
func TestRulesHoldInRandomSimulations(t *testing.T) {
	for seed := uint64(1); seed <= 12; seed++ {
		nodes, rate := []int{1, 2, 3, 40}[seed%4], []float64{20, 120, 500}[seed%3]
		if nodes > 3 {
			rate /= 20
		}
		sim := runSimulation(t, seed, nodes, 6, rate, 20*time.Second)
		if sim.attempts < 300 {
			t.Errorf("seed %d: only %d attempts, too few for the test", seed, sim.attempts)
		}
		sim.checkCold()
	}
}

// checkCold checks rule 4 from the sends alone. A warm server of the simulation completes about 125 attempts per
// second; all nodes together must stay below the given multiple of what a cold one can do.
func (sim *simulation) checkCold() {
	const warmCapacity = 125.0
	for _, id := range sim.ids {
		server := sim.servers[id]
		if server.Launched == 0 {
			continue
		}
		for i, first := range server.sends {
			n := 0
			for _, at := range server.sends[i:] {
				if at > first+sim.settings.FallFor {
					break
				}
				n++
			}
			age := (first + sim.settings.FallFor - server.Launched).Seconds()
			share := math.Min(1, sim.settings.ColdShare+(1-sim.settings.ColdShare)*age/sim.settings.ColdFor.Seconds())
			if limit := sim.settings.FallFactor * share * warmCapacity *
				sim.settings.FallFor.Seconds(); float64(n) > limit {
				sim.failf("%d attempts in a window at server %d, %.1f s after its start, want at most %.0f", n, id, age, limit)
				break
			}
		}
	}
}

// The decisions depend on nothing but the seed and the events.
func TestSameEventsGiveTheSameActions(t *testing.T) {
	a := runSimulation(t, 5, 2, 6, 120, 5*time.Second)
	b := runSimulation(t, 5, 2, 6, 120, 5*time.Second)
	if len(a.actions) < 1000 {
		t.Fatalf("only %d actions, too few for the test", len(a.actions))
	}
	if !reflect.DeepEqual(a.actions, b.actions) {
		t.Error("two runs of the same events have different actions")
	}
}
