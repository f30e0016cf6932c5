package model

import (
	"math"
	"time"

	"portstall/internal/lab/fleet"
	"portstall/internal/lab/scenario"
	"portstall/policy"
)

// attempt is one send of a client's try from its node to a server.
type attempt struct {
	try           *clientTry
	server        *server
	index         int
	incarnation   int32 // of the server when it was sent
	sentAt        time.Duration
	workLeft      float64        // seconds of work on a standard core
	position      int            // in server.awaited; -1 once it is removed
	connecting    bool           // its connection is not established yet
	noConnection  bool           // holds no connection that is counted
	done          bool           // its node does not wait for it any more
	heldOnArrival int            // requests that the server held when it arrived
	forcedOutcome policy.Outcome // ends with this outcome instead of OK; 0: with OK
	reported      bool           // its response carried a load report
	openedAt      time.Duration  // when its tunnel was established; 0: not established, or not a tunnel
	reportedQueue float64        // queue length in the load report
	reportedHeld  float64        // number of held requests in the load report; -1: not reported
}

// server is one web server: cores that share the running requests evenly, a bounded queue before them, and a warm-up
// ramp after each start. The faults in force set its effects.
type server struct {
	scenario.Server
	index          int
	slots          int           // requests that run at the same time
	queueCap       int           // requests that wait at most
	incarnation    int32         // counts the times that its connections were reset
	up             bool          // its process runs
	silent         bool          // its machine is unreachable for all
	collapsed      bool          // overloaded while cold: it stays down
	downUntil      time.Duration // it is not restarted before, as faults may overlap
	launched       time.Duration // scenario time; negative: long ago
	workSinceStart float64       // seconds of work since its start
	totalWork      float64       // seconds of work since the scenario's start
	queue          []*attempt
	running        []*attempt
	awaited        []*attempt // attempts whose node waits for them
	connections    int
	advancedAt     time.Duration // work is accounted for up to this time
	generation     int32         // counts changes of its schedule: an evProgress of an older one is stale
	sendCount      int           // attempts sent to it

	effects       fleet.ServerEffects
	queueReports  fleet.Reports     // load reports: queue length
	heldReports   fleet.Reports     // load reports: number of held requests
	announcements int32             // counts its announcements to discovery; only the latest is published
	responseTimes [16]time.Duration // smoothed response time by the requests held on arrival, for replies to probes
}

// reset sets a server that started long ago and has no faults.
func (srv *server) reset() {
	srv.launched, srv.effects = -1, fleet.ServerEffects{Slowdown: 1, ReportFactor: 1}
}

// entry returns the server as discovery lists it.
func (srv *server) entry(state policy.State) policy.Entry {
	launched := time.Duration(0)
	if srv.launched >= 0 {
		launched = epoch + srv.launched
	}
	return policy.Entry{ID: srv.ID, Zone: scenario.ZoneName(srv.Zone), Cell: int64(srv.Pod), ServerType: srv.Type.Name,
		Launched: launched, State: state}
}

// addAwaited adds an attempt to those that a node waits for.
func (srv *server) addAwaited(att *attempt) {
	att.position = len(srv.awaited)
	srv.awaited = append(srv.awaited, att)
}

// removeAwaited removes an attempt from those that a node waits for, if it is among them.
func (srv *server) removeAwaited(att *attempt) {
	if att.position < 0 {
		return
	}
	last := len(srv.awaited) - 1
	srv.awaited[att.position] = srv.awaited[last]
	srv.awaited[att.position].position = att.position
	srv.awaited[last] = nil
	srv.awaited, att.position = srv.awaited[:last], -1
}

// ramp returns the share of its full capacity that the server has now.
func (srv *server) ramp(sim *simulation) float64 {
	if srv.launched < 0 {
		return 1
	}
	return fleet.Ramp(srv.Type, srv.Speed, sim.now-srv.launched, sim.scenario.Rules.ColdFor, srv.workSinceStart)
}

// isWarm reports whether the server has its full capacity.
func (srv *server) isWarm(sim *simulation) bool { return srv.ramp(sim) == 1 }

// capacity returns the work that the server can do now, in seconds of work per second, without faults.
func (srv *server) capacity(sim *simulation) float64 {
	return float64(srv.Type.Cores) * srv.Speed * srv.ramp(sim)
}

// ratePerRequest returns the speed at which each running request progresses, in seconds of work per second.
func (srv *server) ratePerRequest(sim *simulation) float64 {
	if len(srv.running) == 0 {
		return 0
	}
	rate := srv.Speed * srv.ramp(sim) / sim.fleetEffects.Slowdown * min(1, float64(srv.Type.Cores)/float64(len(srv.running)))
	held := float64(len(srv.running)+len(srv.queue)) / float64(srv.Type.Cores)
	if c := sim.scenario.Servers.Choke; c.By > 0 && held > c.At {
		rate /= 1 + c.By*(held-c.At)
	}
	return rate
}

// advance accounts for the work since its last call, completes finished requests and starts queued ones.
func (srv *server) advance(sim *simulation) {
	dt := (sim.now - srv.advancedAt).Seconds()
	srv.advancedAt = sim.now
	if len(srv.running) == 0 {
		return
	}
	did := srv.ratePerRequest(sim) * dt
	srv.workSinceStart += did * float64(len(srv.running))
	srv.totalWork += did * float64(len(srv.running))
	srv.recordReports(sim)
	remaining := srv.running[:0]
	for _, att := range srv.running {
		if att.workLeft -= did; att.workLeft > 1e-9 {
			remaining = append(remaining, att)
			continue
		}
		out := policy.OK
		if att.forcedOutcome != 0 {
			out = att.forcedOutcome
		}
		srv.recordResponseTime(att, sim.now-att.sentAt)
		srv.reply(sim, att, out)
	}
	for i := len(remaining); i < len(srv.running); i++ {
		srv.running[i] = nil
	}
	srv.running = remaining
	srv.startQueued(sim)
}

// startQueued moves queued requests to free slots.
func (srv *server) startQueued(sim *simulation) {
	for len(srv.running) < srv.slots && len(srv.queue) > 0 {
		srv.recordReports(sim)
		srv.running = append(srv.running, srv.queue[0])
		srv.queue[0] = nil
		srv.queue = srv.queue[1:]
	}
}

// recordResponseTime smooths the response time for the number of requests that were held when this one arrived.
func (srv *server) recordResponseTime(att *attempt, took time.Duration) {
	if mean := &srv.responseTimes[min(att.heldOnArrival, len(srv.responseTimes)-1)]; *mean == 0 {
		*mean = took
	} else {
		*mean += (took - *mean) / 5
	}
}

// expectedResponseTime returns the recent response time at the present number of held requests. Where that number has
// not been seen it scales the time of the nearest one. It is 0 if there is none.
func (srv *server) expectedResponseTime() time.Duration {
	held := min(len(srv.running)+len(srv.queue), len(srv.responseTimes)-1)
	for distance := range srv.responseTimes {
		for _, i := range []int{held - distance, held + distance} {
			if i >= 0 && i < len(srv.responseTimes) && srv.responseTimes[i] > 0 {
				return srv.responseTimes[i] * time.Duration(held+1) / time.Duration(i+1)
			}
		}
	}
	return 0
}

// scheduleNext schedules the next advance: when the first running request is done, or every 50 ms while the server
// warms up, as its speed changes meanwhile.
func (srv *server) scheduleNext(sim *simulation) {
	srv.generation++
	rate := srv.ratePerRequest(sim)
	if rate <= 0 {
		return
	}
	minWork := math.Inf(1)
	for _, att := range srv.running {
		minWork = min(minWork, att.workLeft)
	}
	wait := time.Duration(math.Ceil(minWork / rate * 1e9))
	if srv.launched >= 0 && !srv.isWarm(sim) {
		wait = min(wait, 50*time.Millisecond)
	}
	sim.schedule(sim.now+wait, event{kind: evProgress, index: int32(srv.index), generation: srv.generation})
}

// arrive handles an attempt that reaches its server: the server runs it, queues it or rejects it.
func (sim *simulation) arrive(att *attempt) {
	srv := att.server
	if att.incarnation != srv.incarnation || !srv.up || srv.silent {
		return // the server is down; its connections were handled when it went down
	}
	if att.done {
		return // the node has closed the connection meanwhile
	}
	att.connecting = false
	if sim.scenario.Classes[att.try.request.Class].Stands > 0 { // a tunnel needs no work; it has a duration of its own
		way := sim.networkDelay(sim.scenario.Network.OneWay)
		n := int32(att.try.node.index)
		sim.schedule(sim.now+way, event{kind: evTunnelOpen, index: n, generation: att.try.node.incarnation, attempt: att})
		sim.schedule(sim.now+way+sim.scenario.TunnelDuration(&att.try.request.Operation, sim.now), event{kind: evOutcome, index: n,
			generation: att.try.node.incarnation, attempt: att, outcome: policy.OK})
		return
	}
	srv.advance(sim)
	att.heldOnArrival = len(srv.running) + len(srv.queue)
	if sim.killsServer(att) {
		downUntil := srv.downUntil
		sim.takeDown(srv, false)
		srv.downUntil = max(downUntil, sim.now+sim.poisonDowntime)
		sim.schedule(srv.downUntil, event{kind: evServerReturn, index: int32(srv.index)})
		return
	}
	switch {
	case srv.effects.ErrorShare > 0 && sim.rng.Float64() < srv.effects.ErrorShare, srv.Type.ErrorRate > 0 &&
		sim.rng.Float64() < srv.Type.ErrorRate:
		srv.reply(sim, att, policy.Failed)
	case srv.effects.ResetShare > 0 && sim.rng.Float64() < srv.effects.ResetShare:
		srv.reply(sim, att, policy.Reset)
	default:
		if srv.effects.SlowShare > 0 && sim.rng.Float64() < srv.effects.SlowShare {
			att.workLeft *= srv.effects.Slowdown
		}
		if srv.effects.CutShare > 0 && sim.rng.Float64() < srv.effects.CutShare {
			att.forcedOutcome = policy.Reset
		}
		srv.recordReports(sim)
		if len(srv.running) < srv.slots {
			srv.running = append(srv.running, att)
		} else if len(srv.queue) < srv.queueCap {
			srv.queue = append(srv.queue, att)
		} else {
			srv.reply(sim, att, policy.QueueFull)
		}
	}
	srv.scheduleNext(sim)
}

// reply sends the response of an attempt to its node. All but a reset carry a load report.
func (srv *server) reply(sim *simulation, att *attempt, out policy.Outcome) {
	n := att.try.node
	if att.done || sim.isCut(n, srv) {
		return
	}
	if out != policy.Reset {
		queue := float64(srv.queueReports.Read(sim.now, sim.scenario.Servers.Reports.Delay+sim.fleetEffects.ReportDelay,
			len(srv.queue))) * srv.effects.ReportFactor
		if noise := sim.scenario.Servers.Reports.Noise; noise > 0 {
			queue = max(0, queue*(1+noise*sim.rng.NormFloat64()))
		}
		att.reportedQueue, att.reportedHeld, att.reported = math.Round(queue), -1, true
		if sim.scenario.Servers.Reports.Held {
			att.reportedHeld = float64(srv.heldReports.Read(sim.now, sim.scenario.Servers.Reports.Delay+sim.fleetEffects.ReportDelay,
				len(srv.queue)+len(srv.running)))
		}
	}
	sim.schedule(sim.now+sim.networkDelay(sim.scenario.Network.OneWay), event{kind: evOutcome, index: int32(n.index),
		generation: n.incarnation, attempt: att, outcome: out})
}

// recordReports records the values for the load reports; it is called before they change.
func (srv *server) recordReports(sim *simulation) {
	srv.queueReports.Record(sim.now, len(srv.queue))
	srv.heldReports.Record(sim.now, len(srv.queue)+len(srv.running))
}

// cancel handles the cancellation of an attempt at its server: a server that does not complete canceled work drops the
// running or queued request.
func (sim *simulation) cancel(att *attempt) {
	srv := att.server
	if att.incarnation != srv.incarnation || !srv.up || srv.Type.Keeps {
		return
	}
	srv.advance(sim)
	for i, other := range srv.running {
		if other == att {
			srv.recordReports(sim)
			srv.running = append(srv.running[:i], srv.running[i+1:]...)
			break
		}
	}
	for i, other := range srv.queue {
		if other == att {
			srv.recordReports(sim)
			srv.queue = append(srv.queue[:i], srv.queue[i+1:]...)
			break
		}
	}
	srv.startQueued(sim)
	srv.scheduleNext(sim)
}

// replyToProbe handles a load probe of a node. A server that is down or unreachable does not reply.
func (sim *simulation) replyToProbe(n *node, srv *server) {
	if srv.up && !srv.silent && !sim.isCut(n, srv) {
		sim.schedule(sim.now+sim.networkDelay(sim.scenario.Network.OneWay), event{kind: evProbeReply, index: int32(n.index),
			arg: int32(srv.index), generation: n.incarnation})
	}
}

// takeDown ends a server. If silent its machine stops to respond; otherwise its process exits and its connections are
// reset. Discovery notices after its own delay.
func (sim *simulation) takeDown(srv *server, silent bool) {
	if !srv.up || srv.silent {
		return
	}
	srv.advance(sim)
	if silent {
		srv.silent = true
	} else {
		srv.up = false
		sim.resetConnections(srv)
	}
	srv.recordReports(sim)
	srv.queue, srv.running = nil, nil
	srv.generation++
	notice := sim.scenario.Roster.Notice
	if silent {
		notice = sim.scenario.Roster.SilentNotice
	}
	sim.announce(srv, policy.Removed, notice)
}

// resetConnections resets all connections of a server and ends the attempts on them.
func (sim *simulation) resetConnections(srv *server) {
	for _, att := range append([]*attempt(nil), srv.awaited...) {
		n := att.try.node
		out := policy.Reset
		if att.connecting {
			out = policy.ConnectFailed
		}
		att.noConnection = true
		sim.schedule(sim.now+sim.networkDelay(sim.scenario.Network.OneWay), event{kind: evOutcome, index: int32(n.index),
			generation: n.incarnation, attempt: att, outcome: out})
	}
	for _, n := range sim.nodes {
		n.idle[srv.index], n.connections[srv.index] = nil, 0
	}
	srv.connections = 0
	srv.incarnation++
}

// restart brings a server up again, cold, unless it collapsed or another fault still holds it down.
func (sim *simulation) restart(srv *server) {
	if srv.collapsed || sim.now < srv.downUntil {
		return
	}
	if srv.up && !srv.silent { // restart without downtime
		sim.takeDown(srv, false)
	}
	if srv.silent {
		sim.resetConnections(srv) // the machine has returned without the state of its old connections
	}
	srv.up, srv.silent = true, false
	srv.launched, srv.workSinceStart, srv.advancedAt = sim.now, 0, sim.now
	srv.queueReports.Reset(sim.now)
	srv.heldReports.Reset(sim.now)
	sim.records.ServerStarted(sim.now, srv.ID)
	sim.announce(srv, policy.Active, sim.scenario.Roster.AddLag)
}
