// Package policy makes the decisions of one HTTP load balancer: which web server a request goes to, which requests are
// refused and which are retried. It does no input or output: a node passes events to Balancer.Handle and carries out
// the actions that it returns.
//
// Each server has a mode, after Abaev et al., "Simulation of Overload Control in SIP Server Networks": normal, overload
// (each request is diverted with a probability q) and discard (nothing is sent). A diverted request goes to a server in
// normal mode or is refused at once. A server's occupancy, the number of requests that it holds, decides on its mode:
// from the onset threshold H on it is in overload, from the discard threshold R on in discard, and below the abatement
// threshold L it is in normal mode again.
package policy

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Parameters of the algorithms. A time constant is that of an exponential decay. The values lie in the middle of ranges
// that serve unlike fleets equally well.
const (
	// Onset threshold H, as a share of the discard threshold R.
	onset = 0.90
	// Abatement threshold L, as a share of R.
	abatement = 0.78
	// Probability q: share of all requests that a server in overload diverts.
	divert = 0.80
	// H is at most the number of requests that a server completes in this share of the shortest target latency.
	onsetTargetShare = 0.40
	// H is at most this share of an occupancy at which the server rejected a request as full: reports show such an
	// occupancy too late.
	onsetQueueFullShare = 0.80
	// Least value of H, in requests. Below it the random variation of single requests would determine the modes.
	minOnset = 1.6
	// Factor on the weight of a server in this node's own zone.
	localZoneWeight = 1.5
	// Time constant of the smoothed remote load, in seconds. Reports are older than most requests, so that the load
	// that other nodes add is known as a mean only.
	remoteLoadTimeConstant = 3.0
	// Typical age of a load report when it is read, in seconds.
	reportLagTimeConstant = 0.5
	// Time constant of service times, tenants' rates and counts of selections, in seconds.
	rateTimeConstant = 3.0
	// Time constant, in seconds, of the short-term rate of selections, which shows a rise that exceeds random
	// variation.
	riseTimeConstant = 0.5
	// Time constant, in seconds, with which a load report fades towards the mean of the recent reports.
	reportFadeTimeConstant = 2.0
	// Time constant, in seconds, of the occupancy at which a server rejected a request as full, and of the shares of
	// the classes.
	longTimeConstant = 10.0
	// Time constant of the number of requests that a server has in work at once, in seconds.
	slotsTimeConstant = 60.0
	// Weight of the service time of a server's type against its own, in requests held.
	priorRequests = 5.0
	// Service time that is assumed before any response was seen, in seconds.
	initialServiceTime = 0.1
	// Timeouts and rejections as full count as failures only of a server without a response for this long, in seconds.
	silenceTimeout = 1.0
	// A server is ejected when its share of failures lately exceeds this.
	ejectionFailureShare = 0.5
	// Upper limit of the remembered share of failures, so that two responses bring a server back.
	maxFailureShare = 0.6
	// Time constant of the share of failures, in attempts. A broken connection says as little about a server as
	// one response does.
	failureTimeConstant = 10.0
	// The same, in attempts, for failures that say more: the server could not be reached or has not responded lately.
	unreachableTimeConstant = 4.0
	// Duration of the first ejection, in seconds. Each further one in a row doubles it.
	minEjection = 1.0
	// Longest ejection, in seconds.
	maxEjection = 8.0
	// A reported service time beyond this multiple of the server type's best is contention, not random variation.
	contentionFactor = 5.0
	// Load that a cold server gets at most, as a share of the multiple of its capacity under which it collapses.
	coldLoadShare = 0.67
	// Largest number of nodes with which each of them may send a cold server the requests that no other server accepts.
	maxSpareNodes = 4
	// Retries that each first attempt adds to the budget.
	retriesPerRequest = 0.2
	// Retries that the budget holds at first and at most.
	maxSavedRetries = 10.0
	// Mean delay, in seconds, before a node subscribes to the server list again after it was lost.
	resubscribeDelay = 1.0
	// Number of requests over which the pressure is averaged.
	pressureWindow = 15.0
	// Time constant with which the pressure decays between requests, in seconds.
	pressureTimeConstant = 0.7
	// Largest number of finished requests in the free list.
	maxFreeRequests = 64
	// Interval between refreshes of the statistics, in seconds.
	refreshInterval = 0.25
	// Length of the longest list in which each selection looks at all servers; a longer one is sampled.
	maxFullScan = 24
	// Number of servers in one random sample of a long list.
	sampleSize = 12
	// Number of servers that a selection looks at in all, sample by sample, while none of them is suitable.
	maxSampled = 72
)

// New returns the balancer of one node, or an error that names the first invalid setting.
func New(set Settings, seed uint64) (*Balancer, error) {
	if err := set.Validate(); err != nil {
		return nil, err
	}
	b := &Balancer{rng: rand.New(rand.NewPCG(seed, 0)), servers: map[uint32]*server{},
		requests: map[string]*request{}, TotalStats: TotalStats{Retries: maxSavedRetries}}
	b.applySettings(&set)
	return b, nil
}

// applySettings applies new settings. The statistics of a class or tenant pass to the one of the same name.
func (b *Balancer) applySettings(set *Settings) {
	oldClasses, oldTenants := b.classes, b.tenants
	b.classes, b.tenants, b.settings, b.minTargetLatency, b.halfMinDeadline = nil, nil, *set, math.Inf(1), math.Inf(1)
	for _, c := range set.Classes {
		state := &classState{Class: c, ClassStats: ClassStats{MinTimeLeft: c.Deadline.Seconds()}}
		if i := slices.IndexFunc(oldClasses, func(old *classState) bool { return old.Name == c.Name }); i >= 0 {
			*state = *oldClasses[i] // a copy: open requests keep the old one
			state.Class, state.MinTimeLeft = c, min(state.MinTimeLeft, c.Deadline.Seconds())
		}
		b.classes = append(b.classes, state)
		if deadline := c.Deadline.Seconds(); deadline > 0 {
			b.halfMinDeadline = min(b.halfMinDeadline, deadline/2)
		}
		if target := c.TargetLatency.Seconds(); target > 0 {
			b.minTargetLatency = min(b.minTargetLatency, target)
		}
	}
	for _, t := range set.Tenants {
		state := &tenantState{Tenant: t}
		if i := slices.IndexFunc(oldTenants, func(old *tenantState) bool { return old.Name == t.Name }); i >= 0 {
			*state = *oldTenants[i]
			state.Tenant = t
		}
		b.tenants = append(b.tenants, state)
	}
}

// LearnedState returns a copy of the statistics.
func (b *Balancer) LearnedState() *LearnedState {
	l := &LearnedState{At: b.now, TotalStats: b.TotalStats, Servers: make([]LearnedServer, len(b.sorted)),
		Classes: map[string]ClassStats{}}
	for i, s := range b.sorted {
		l.Servers[i] = LearnedServer{s.ID, s.launchedAt, s.ServerStats}
		l.Servers[i].RemoteLoad += s.localInFlight // requests of this process are remote load to its successor
	}
	for _, c := range b.classes {
		l.Classes[c.Name] = c.ClassStats
	}
	return l
}

// Adopt adopts the statistics of another process: of the servers that were not restarted since, and of the classes that
// are present. It must follow a server list and precede the first request.
func (b *Balancer) Adopt(now time.Duration, l *LearnedState) {
	b.now, b.TotalStats, b.statsStart = max(now.Seconds(), b.now), l.TotalStats, math.Inf(-1)
	for i := range l.Servers {
		if known := &l.Servers[i]; b.servers[known.ID] != nil && b.servers[known.ID].launchedAt == known.Launched {
			b.servers[known.ID].ServerStats = known.ServerStats
		}
	}
	for _, c := range b.classes {
		if stats, present := l.Classes[c.Name]; present {
			stats.MinTimeLeft = min(stats.MinTimeLeft, c.MinTimeLeft)
			c.ClassStats = stats
		}
	}
	b.refresh(b.now)
}

// Handle processes one event at the given time and appends the resulting actions to out.
func (b *Balancer) Handle(now time.Duration, ev *Event, out []Action) []Action {
	b.actions = out
	t := max(now.Seconds(), b.now) // a clock that steps back must not undo the statistics
	b.now = t
	switch ev.Kind {
	case EvRequest:
		b.handleRequest(t, ev)
	case EvOutcome:
		b.handleOutcome(t, ev)
	case EvClientGone:
		b.handleClientGone(ev)
	case EvList:
		b.handleList(t, ev)
	case EvEnable:
		b.handleEnable(t, ev)
	case EvDisable, EvSetWeight:
		if s := b.servers[ev.Server]; s != nil && ev.Kind == EvDisable {
			s.disabled = true
		} else if s != nil {
			s.weightReduction, s.maxConcurrent = 1-min(1, max(1e-3, ev.Weight)), float64(ev.MaxConcurrent)
		}
	case EvSettings:
		b.applySettings(ev.Settings)
	case EvTimer:
		b.refresh(t)
		if b.resubscribeAt > 0 && t >= b.resubscribeAt {
			b.resubscribeAt = 0
			b.emit(Action{Kind: ActWatch})
		}
	}
	// One timer is set at a time, whatever timer events arrive; a timer that was lost is set again.
	if t >= b.nextRefreshAt-1e-6 && (ev.Kind == EvTimer || t > b.nextRefreshAt+refreshInterval) {
		b.nextRefreshAt = t + refreshInterval
		b.emit(Action{Kind: ActTimer, Token: "tick", At: duration(b.nextRefreshAt)})
	}
	out, b.actions = b.actions, nil
	return out
}

func (b *Balancer) emit(a Action) { b.actions = append(b.actions, a) }

func (b *Balancer) logf(format string, args ...any) {
	b.emit(Action{Kind: ActLog, Text: fmt.Sprintf(format, args...)})
}

func duration(seconds float64) time.Duration { return time.Duration(seconds * float64(time.Second)) }

// class returns the class with a name. A request of an unknown one must be treated as one that must not run twice.
func (b *Balancer) class(name string) *classState {
	if i := slices.IndexFunc(b.classes, func(c *classState) bool { return c.Name == name }); i >= 0 {
		return b.classes[i]
	}
	return &classState{Class: Class{Name: name, Effect: Unsafe}}
}

// Effect returns the consequence of running a request of a class more than once.
func (b *Balancer) Effect(class string) Effect { return b.class(class).Effect }

// handleRequest sends a new request to a server or refuses it at once; no request is queued here.
func (b *Balancer) handleRequest(now float64, ev *Event) {
	if _, known := b.requests[ev.ID]; known {
		return
	}
	c := b.class(ev.Class)
	c.Requests++
	timeLeft := ev.TimeLeft.Seconds()
	var r *request
	if n := len(b.freeRequests); n > 0 {
		r, b.freeRequests = b.freeRequests[n-1], b.freeRequests[:n-1]
	} else {
		r = &request{}
	}
	*r = request{id: ev.ID, class: c, expiresAt: now + timeLeft, usefulUntil: now + timeLeft,
		maxAttempts: b.settings.MaxAttempts, attempts: r.attempts[:0]}
	if target := c.TargetLatency.Seconds(); target > 0 && c.LateValue == 0 {
		// A repeat with less time left than any recent first request has what remains of the deadline, which shows the
		// age of the original request. Work on one past its target latency earns nothing and only delays others. A
		// first request with a short timeout says nothing about the time that other clients have.
		if ev.Repeat && timeLeft < c.MinTimeLeft-1e-3 {
			target -= max(0, c.Deadline.Seconds()-timeLeft)
		} else if !ev.Repeat && timeLeft > c.Deadline.Seconds()/2 {
			c.MinTimeLeft = min(c.MinTimeLeft*1.001, timeLeft)
		}
		r.usefulUntil = min(r.usefulUntil, now+target)
	}
	b.requests[ev.ID] = r
	b.RequestCount++
	r.candidates = ev.Candidates
	r.overQuota = ev.OverQuota // the guaranteed requests of others come first wherever requests wait
	if r.lowPriority = b.exceedsQuota(ev.Tenant) || c.lowPriority || r.overQuota; r.lowPriority {
		b.LowPriorityCount++
	}
	if ev.Ran != nil {
		r.mayHaveRun, r.mayHaveRunIn, r.mayHaveRunAt = true, location{ev.Ran.Zone, ev.Ran.Cell}, ev.Ran.At.Seconds()
	}
	if timeLeft <= 0 || r.usefulUntil <= now || !r.mayRepeat(now) || !b.dispatch(now, r) {
		b.finish(now, r)
		return
	}
	b.Retries = min(maxSavedRetries, b.Retries+retriesPerRequest)
}

// release removes a request that no further event can concern, and puts it on the free list.
func (b *Balancer) release(r *request) {
	delete(b.requests, r.id)
	b.freeRequests = append(b.freeRequests[:min(len(b.freeRequests), maxFreeRequests-1)], r)
}

// dispatch sends a request to a server and reports whether one accepts it: it selects a server, one in overload diverts
// the request with probability q, and for a diverted request a server in normal mode is selected.
func (b *Balancer) dispatch(now float64, r *request) bool {
	s := b.selectServer(now, r, overload)
	noneNormal := 0.0
	if s == nil || s.Mode != normal {
		noneNormal = 1
	}
	b.NoNormalShare += (noneNormal - b.NoNormalShare) / pressureWindow
	if s != nil && s.Mode == overload && (r.overQuota || b.shouldDivert(now, s, r.lowPriority)) {
		s = b.selectServer(now, r, normal)
	}
	if s != nil {
		b.send(now, r, s)
	}
	return s != nil
}

// send starts an attempt of a request at a server.
func (b *Balancer) send(now float64, r *request, s *server) {
	r.attempts = append(r.attempts, attempt{s, location{s.Zone, s.Cell}, true, b.estimateOccupancy(s, now) + 1, now})
	r.pending++
	s.localInFlight++
	until := r.expiresAt // if it ended at its target latency, the client would send a retry that has no value
	if s.Mode != normal {
		until = r.usefulUntil // in this mode it mostly waits, and keeps others from being in time
	}
	if r.mayHaveRun && r.class.Effect == Keyed {
		until = min(until, r.repeatWindowEnd()) // a connection that is established later would carry it past its window
	}
	b.emit(Action{Kind: ActSend, ID: r.id, Server: s.ID, Wait: duration(max(until-now, 1e-6)),
		Run: Run{s.Zone, s.Cell, duration(now)}})
}

// Pressure returns the share of the latest requests for which no server in normal mode was selected.
func (b *Balancer) Pressure() float64 { return b.NoNormalShare }

// TrafficShare returns this node's share of the requests that the servers hold. It is known only where the latest
// report had the number of requests held: it can't be derived from the length of a queue alone.
func (b *Balancer) TrafficShare() (share float64, known bool) { return b.trafficShare, b.heldReported }

// finish gives the final response: a refusal where the client may safely retry, a failure elsewhere.
func (b *Balancer) finish(now float64, r *request) {
	b.release(r) // no attempt is pending: no further event concerns it
	c := r.class
	if r.mayHaveRun && (c.Effect == Unsafe || c.Effect == Keyed && c.Group != GroupAll) {
		b.emit(Action{Kind: ActFail, ID: r.id}) // it may have run: a refusal would wrongly state that it did not
		return
	}
	wait := b.settings.RetryAfter.Seconds()
	if now < r.usefulUntil { // by then much of the queues is done, and the target latency can still be met
		wait = min(wait, b.minTargetLatency/4)
	}
	b.emit(Action{Kind: ActRefuse, ID: r.id, Wait: duration(wait)})
}

// handleOutcome processes the outcome of an attempt. An outcome that is late, repeated or of an unknown request changes
// nothing.
func (b *Balancer) handleOutcome(now float64, ev *Event) {
	r := b.requests[ev.ID]
	if r == nil || ev.Attempt < 0 || ev.Attempt >= len(r.attempts) || !r.attempts[ev.Attempt].pending {
		return
	}
	a := &r.attempts[ev.Attempt]
	s := a.server
	a.pending = false
	r.pending--
	b.recordOutcome(now, s, r, ev)
	r.finished = r.finished || ev.Final
	if r.finished {
		if r.pending == 0 {
			b.release(r)
		}
		return
	}
	if !r.mayHaveRun && !ev.Outcome.NeverRan() {
		r.mayHaveRun, r.mayHaveRunIn, r.mayHaveRunAt = true, a.location, a.sentAt
	}
	r.lastTried = s
	if !ev.BodySpent && b.canRetry(now, r) && b.dispatch(now, r) {
		b.Retries--
	} else {
		b.finish(now, r)
	}
}

// handleClientGone cancels the pending attempts of a request whose client has disconnected.
func (b *Balancer) handleClientGone(ev *Event) {
	r := b.requests[ev.ID]
	if r == nil || r.finished {
		return
	}
	r.finished = true
	for i, a := range r.attempts {
		if a.pending && b.settings.Cancel {
			b.emit(Action{Kind: ActCancel, ID: r.id, Attempt: i}) // no client waits for this work any more
		}
	}
	if r.pending == 0 {
		b.release(r)
	}
}
