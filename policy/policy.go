// Package policy makes the decisions of one HTTP load balancer: which web server a request goes to, which requests are
// refused and which are retried. It does no input or output: a node passes events to Balancer.Handle and carries out
// the actions that it returns.
//
// Each server has a mode, after Abaev et al., "Simulation of Overload Control in SIP Server Networks": normal, overload
// (each request is diverted with a probability q) and discard (nothing is sent). A diverted request goes to a server in
// normal mode or is refused at once. A server's occupancy, the number of requests that it holds, decides on its mode:
// from the onset threshold H on it is in overload, from R on in discard, and below the abatement threshold L it is in
// normal mode again. docs/design.md describes the design.
package policy

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Parameters of the algorithms. A time constant is that of an exponential decay. The values lie in the middle of ranges
// that serve unlike fleets equally well.
const (
	// Onset threshold H, as a share of R.
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
	// Least value of H, in requests. Below it the random variation of single requests would decide on the modes.
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
	// Time constant of the share of failures, in attempts. A broken connection shows as little of a server as one
	// response.
	failureTimeConstant = 10.0
	// The same, in attempts, for failures that show more: the server could not be reached or was silent lately.
	unreachableTimeConstant = 4.0
	// Duration of the first ejection, in seconds. Each further one in a row doubles it.
	minEjection = 1.0
	// Longest ejection, in seconds.
	maxEjection = 8.0
	// A reported service time beyond this multiple of the server type's best is contention, not random variation.
	contentionFactor = 5.0
	// Load that a cold server gets at most, as a share of the multiple of its capacity under which it collapses.
	coldLoadShare = 0.67
	// Largest number of nodes that may each have an attempt at a cold server because no other server accepts a request.
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
		requests: map[string]*request{}, Totals: Totals{Retries: maxSavedRetries}}
	b.applySettings(&set)
	return b, nil
}

// applySettings applies new settings. The statistics of a class or tenant pass to the one of the same name.
func (b *Balancer) applySettings(set *Settings) {
	classes, tenants := b.classes, b.tenants
	b.classes, b.tenants, b.settings, b.minTargetLatency, b.halfMinDeadline = nil, nil, *set, math.Inf(1), math.Inf(1)
	for _, c := range set.Classes {
		state := &classState{Class: c, ClassSums: ClassSums{Least: c.Deadline.Seconds()}}
		if i := slices.IndexFunc(classes, func(old *classState) bool { return old.Name == c.Name }); i >= 0 {
			*state = *classes[i] // a copy: open requests keep the old one
			state.Class, state.Least = c, min(state.Least, c.Deadline.Seconds())
		}
		b.classes = append(b.classes, state)
		if deadline := c.Deadline.Seconds(); deadline > 0 {
			b.halfMinDeadline = min(b.halfMinDeadline, deadline/2)
		}
		if target := c.Aim.Seconds(); target > 0 {
			b.minTargetLatency = min(b.minTargetLatency, target)
		}
	}
	for _, t := range set.Tenants {
		state := &tenantState{Tenant: t}
		if i := slices.IndexFunc(tenants, func(old *tenantState) bool { return old.Name == t.Name }); i >= 0 {
			*state = *tenants[i]
			state.Tenant = t
		}
		b.tenants = append(b.tenants, state)
	}
}

// LearnedState returns a copy of the statistics.
func (b *Balancer) Learnt() *Learnt {
	l := &Learnt{At: b.now, Totals: b.Totals, Servers: make([]Known, len(b.sorted)),
		Classes: map[string]ClassSums{}}
	for i, s := range b.sorted {
		l.Servers[i] = Known{s.ID, s.launchedAt, s.Evidence}
		l.Servers[i].Others += s.localInFlight // requests of this process are remote load to its successor
	}
	for _, c := range b.classes {
		l.Classes[c.Name] = c.ClassSums
	}
	return l
}

// Adopt adopts the statistics of another process: of the servers that were not restarted since, and of the classes that
// are present. It must follow a server list and precede the first request.
func (b *Balancer) Adopt(now time.Duration, l *Learnt) {
	b.now, b.Totals, b.statsStart = max(now.Seconds(), b.now), l.Totals, math.Inf(-1)
	for i := range l.Servers {
		if known := &l.Servers[i]; b.servers[known.ID] != nil && b.servers[known.ID].launchedAt == known.Launched {
			b.servers[known.ID].Evidence = known.Evidence
		}
	}
	for _, c := range b.classes {
		if stats, present := l.Classes[c.Name]; present {
			stats.Least = min(stats.Least, c.Least)
			c.ClassSums = stats
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
	case EvGone:
		b.handleClientGone(ev)
	case EvList:
		b.handleList(t, ev)
	case EvEnable:
		b.handleEnable(t, ev)
	case EvDisable, EvWeigh:
		if s := b.servers[ev.Server]; s != nil && ev.Kind == EvDisable {
			s.disabled = true
		} else if s != nil {
			s.weightReduction, s.maxConcurrent = 1-min(1, max(1e-3, ev.Weight)), float64(ev.Most)
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

// handleRequest sends a new request to a server or refuses it at once; no request is queued here.
func (b *Balancer) handleRequest(now float64, ev *Event) {
	if _, known := b.requests[ev.ID]; known {
		return
	}
	var c *classState
	if i := slices.IndexFunc(b.classes, func(c *classState) bool { return c.Name == ev.Class }); i >= 0 {
		c = b.classes[i]
	} else { // a request of an unknown class must be treated as one that must not run twice
		c = &classState{Class: Class{Name: ev.Class, Effect: Unsafe}}
	}
	c.Requests++
	timeLeft := ev.Left.Seconds()
	var r *request
	if n := len(b.freeRequests); n > 0 {
		r, b.freeRequests = b.freeRequests[n-1], b.freeRequests[:n-1]
	} else {
		r = &request{}
	}
	*r = request{id: ev.ID, class: c, expiresAt: now + timeLeft, usefulUntil: now + timeLeft,
		maxAttempts: b.settings.MaxAttempts, attempts: r.attempts[:0]}
	if target := c.Aim.Seconds(); target > 0 && c.LateWorth == 0 {
		// A repeat with less time left than any recent first request has what remains of the deadline, which shows the
		// age of the original request. Work on one past its target latency earns nothing and only delays others. A
		// first request with a short timeout says nothing of the time that other clients have.
		if ev.Repeat && timeLeft < c.Least-1e-3 {
			target -= max(0, c.Deadline.Seconds()-timeLeft)
		} else if !ev.Repeat && timeLeft > c.Deadline.Seconds()/2 {
			c.Least = min(c.Least*1.001, timeLeft)
		}
		r.usefulUntil = min(r.usefulUntil, now+target)
	}
	b.requests[ev.ID] = r
	b.Total++
	r.candidates = ev.Among
	r.overQuota = ev.Borrowed // guarantees of others come first wherever anything waits
	if r.lowPriority = b.exceedsQuota(ev.Tenant) || c.lowPriority || r.overQuota; r.lowPriority {
		b.Lessers++
	}
	if timeLeft <= 0 || r.usefulUntil <= now || !b.dispatch(now, r) {
		b.finish(now, r)
		return
	}
	b.Retries = min(maxSavedRetries, b.Retries+retriesPerRequest)
}

// release forgets a request that no event can concern any more, and puts it on the free list.
func (b *Balancer) release(r *request) {
	delete(b.requests, r.id)
	b.freeRequests = append(b.freeRequests[:min(len(b.freeRequests), maxFreeRequests-1)], r)
}

// exceedsQuota decides at random whether a request counts as over its tenant's quota. The node takes its share of the
// quota, and of the requests beyond it as many count as there are too many.
func (b *Balancer) exceedsQuota(name string) bool {
	i := slices.IndexFunc(b.tenants, func(t *tenantState) bool { return t.Name == name })
	if i < 0 || b.settings.OverShare >= 1 {
		return false
	}
	t := b.tenants[i]
	t.arrivals++
	return b.rng.Float64()*t.arrivalRate > t.QuotaPerS*b.trafficShare
}

// dispatch sends a request to a server and reports whether one accepts it: it selects a server, one in overload diverts
// the request with probability q, and for a diverted request a server in normal mode is selected.
func (b *Balancer) dispatch(now float64, r *request) bool {
	s := b.selectServer(now, r, overload)
	noneNormal := 0.0
	if s == nil || s.Mode != normal {
		noneNormal = 1
	}
	b.Strain += (noneNormal - b.Strain) / pressureWindow
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
	r.attempts = append(r.attempts, attempt{s, true, b.estimateOccupancy(s, now) + 1, now})
	r.pending++
	s.localInFlight++
	until := r.expiresAt // ended at its target latency, it would cause a client's retry that has no value
	if s.Mode != normal {
		until = r.usefulUntil // in this mode it mostly waits, and keeps others from being in time
	}
	if r.mayHaveRunOn != nil && r.class.Effect == Keyed {
		until = min(until, r.repeatWindowEnd()) // a connection that is established later would carry it past its window
	}
	b.emit(Action{Kind: ActSend, ID: r.id, Server: s.ID, Wait: duration(max(until-now, 1e-6))})
}

// Pressure returns the share of the latest requests for which no server in normal mode was selected.
func (b *Balancer) Pressure() float64 { return b.Strain }

// TrafficShare returns this node's share of the requests that the servers hold. It is known only where the latest
// report had the number of requests held: it can't be derived from the length of a queue alone.
func (b *Balancer) Part() (share float64, known bool) { return b.trafficShare, b.heldReported }

// finish gives the final response: a refusal where the client may safely retry, a failure elsewhere.
func (b *Balancer) finish(now float64, r *request) {
	b.release(r) // no attempt is pending: no further event concerns it
	c := r.class
	if r.mayHaveRunOn != nil && (c.Effect == Unsafe || c.Effect == Keyed && c.Group != GroupAll) {
		b.emit(Action{Kind: ActFail, ID: r.id}) // it may have run: a refusal would wrongly state that it did not
		return
	}
	wait := b.settings.RetryAfter.Seconds()
	if now < r.usefulUntil { // soon enough for the target latency, after a server completed a good part of its queue
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
	s := r.attempts[ev.Attempt].server
	r.attempts[ev.Attempt].pending = false
	r.pending--
	b.recordOutcome(now, s, r, ev)
	r.finished = r.finished || ev.Last
	if r.finished {
		if r.pending == 0 {
			b.release(r)
		}
		return
	}
	if r.mayHaveRunOn == nil && ev.Outcome != Full && ev.Outcome != ConnectFailed && ev.Outcome != Moot {
		r.mayHaveRunOn, r.mayHaveRunAt = s, r.attempts[ev.Attempt].sentAt
	}
	r.lastTried = s
	if !ev.Spent && b.canRetry(now, r) && b.dispatch(now, r) {
		b.Retries--
	} else {
		b.finish(now, r)
	}
}

// shouldDivert decides at random whether a server in overload diverts a request of the given priority. It diverts the
// share q of all requests, those of low priority first; the share that passes falls as the occupancy exceeds H.
func (b *Balancer) shouldDivert(now float64, s *server, lowPriority bool) bool {
	service := b.serviceTime(s)
	q := 1 - (1-divert)*min(1,
		s.onsetThreshold(b, s.discardThreshold(b, service), service)/max(b.estimateOccupancy(s, now), 1))
	lowShare := b.Lessers / max(b.Total, 1)
	if lowPriority {
		return b.rng.Float64()*lowShare < q
	}
	return b.rng.Float64()*(1-lowShare) < q-lowShare
}

// canRetry reports whether the rules and the budget allow a retry. Retries must never add to an overload: they are
// dispatched like first attempts, and share a budget that only first attempts fill.
func (b *Balancer) canRetry(now float64, r *request) bool {
	c := r.class
	if len(r.attempts) >= min(r.maxAttempts, b.settings.MaxAttempts) || now >= r.usefulUntil || b.Retries < 1 {
		return false
	}
	return r.mayHaveRunOn == nil || c.Effect == Safe || c.Effect == Keyed && now < r.repeatWindowEnd()
}

// repeatWindowEnd returns the time until which a keyed request may be sent again. The window begins at the send,
// however slow the response is.
func (r *request) repeatWindowEnd() float64 { return r.mayHaveRunAt + r.class.Window.Seconds() }

// recordOutcome updates a server's statistics by the outcome of an attempt.
func (b *Balancer) recordOutcome(now float64, s *server, r *request, ev *Event) {
	s.updateLagged(now)
	s.localInFlight = max(0, s.localInFlight-1)
	elapsed := max(0, ev.Took.Seconds())
	n := max(ev.Load.Queue, ev.Load.Held, 0)
	if work := ev.Load.Work; ev.Load.Held < 0 && work > 0 && work < math.MaxInt32 && b.capacityShare(s, now) == 1 {
		// Where only the queue is reported, a server with many slots can be overloaded by the requests in work while
		// nothing waits. Requests then take many times as long as at their best.
		if s.Work == 0 {
			s.Work = work
		}
		s.Work += (work - s.Work) * (1 - math.Exp((s.ReportAt-now)/remoteLoadTimeConstant))
		n += max(0, s.Work/s.Base/contentionFactor-1)
	}
	if queue, held := ev.Load.Queue, ev.Load.Held; queue >= 0 && held-queue < math.MaxInt32 {
		s.Slots = max(s.Slots, held-queue) // as many are in work at once
	}
	if ev.Load.Known && n < math.MaxInt32 { // and not NaN
		b.heldReported = ev.Load.Held >= 0
		s.Others += (n - s.laggedInFlight - s.Others) * (1 - math.Exp((s.ReportAt-now)/remoteLoadTimeConstant))
		s.ReportAt = now
		b.Seen++
		b.Mean += (max(0, n-s.laggedInFlight) - b.Mean) / b.Seen
	}
	switch ev.Outcome {
	case OK:
		s.LastOK = now
		s.Served++
		s.Bad *= 1 - 1/failureTimeConstant
		if s.Trial && s.Bad < ejectionFailureShare { // also when an attempt that was in flight shows it to be healthy
			s.Trial, s.Ejections, s.Ejected = false, 0, now
			b.logf("backend %d answers again", s.ID)
		}
		b.recordLatency(s, r, ev.Attempt, elapsed)
	case Full:
		// A draining or broken server rejects requests with nothing waiting: that shows no limit.
		if n := b.estimateOccupancy(s, now) + 1; n >= minOnset {
			s.Room = min(s.Room, n)
		}
		// A rejection is the most recent report possible: R is reached, whatever older reports still arrive. Without
		// this a full server would look best, as requests that it rejects at once never count as in flight. Where no
		// deadline is specified and no limit was seen, there is no known R that it could have reached.
		if full := s.discardThreshold(b, b.serviceTime(s)); !math.IsInf(full, 1) {
			s.Full, s.FullAt = full, now
		}
		// A draining server rejects all requests until the list announces the drain; an overloaded one still serves
		// others.
		if s.LastOK < now-silenceTimeout {
			b.recordFailure(now, s, unreachableTimeConstant)
		}
	case TimedOut:
		// The true latency exceeds the timeout; recorded as it was seen, it would make a slow server look as good as
		// the timeout.
		b.recordLatency(s, r, ev.Attempt, 2*elapsed)
		s.Others++ // the server may well go on with the request; the next reports will show it
		// A slow server still responds to some requests; one without any response meanwhile is unhealthy, not slow.
		if s.LastOK < now-max(elapsed, silenceTimeout) {
			b.recordFailure(now, s, unreachableTimeConstant)
		}
	case ConnectFailed:
		b.recordFailure(now, s, unreachableTimeConstant)
	case Failed, Reset:
		b.recordFailure(now, s, failureTimeConstant)
	}
	s.updateMode(now, b)
}

// recordLatency records the latency of attempt i against the server's occupancy at its send. With the occupancy at the
// response, a server that fills up would look fast, as its quick responses come first.
func (b *Balancer) recordLatency(s *server, r *request, i int, elapsed float64) {
	s.Latency += elapsed
	s.Occupancy += r.attempts[i].occupancy
	r.class.Latency += elapsed
	r.class.Answers++
}

// recordFailure counts a failed attempt with the given time constant, in attempts. A broken server can look best (fast
// errors, an empty queue), so one that fails too often is ejected for a growing time and comes back with one attempt at
// a time. However many servers are ejected, the others are not overloaded by that: their modes refuse what exceeds
// their capacity.
func (b *Balancer) recordFailure(now float64, s *server, timeConstant float64) {
	s.Bad = min(maxFailureShare, s.Bad+(1-s.Bad)/timeConstant)
	if now < s.Ejected || !s.Trial && s.Bad < ejectionFailureShare {
		return
	}
	s.Ejections++
	s.Ejected = now + min(maxEjection, minEjection*math.Pow(2, float64(s.Ejections-1)))*(0.75+0.5*b.rng.Float64())
	s.Trial = true
	b.logf("backend %d ejected for %.1f s: too many attempts failed", s.ID, s.Ejected-now)
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

// updateLagged moves laggedInFlight towards localInFlight, so that it approximates the number of attempts that were in
// flight when the latest report was made.
func (s *server) updateLagged(now float64) {
	s.laggedInFlight += (s.localInFlight - s.laggedInFlight) * (1 - math.Exp((s.laggedAt-now)/reportLagTimeConstant))
	s.laggedAt = now
}

// estimateOccupancy estimates the present occupancy: that of the report, and this node's sends that the report does not
// include yet. One of hundreds of nodes gets a report of a server every tens of seconds only, so an old report fades
// towards the mean of the recent ones of all servers. If it faded to zero, the least known server would look best.
func (b *Balancer) estimateOccupancy(s *server, now float64) float64 {
	s.updateLagged(now)
	n := max(0, b.Mean+(s.Others-b.Mean)*math.Exp((s.ReportAt-now)/reportFadeTimeConstant)+s.localInFlight)
	if s.Full > 0 {
		n = max(n, s.Full-(now-s.FullAt)/b.serviceTime(s)) // it can't have completed more than this
	}
	return n
}

// serviceTime returns the time that a server needs for each request that it holds. One node sees few responses of each
// server, and their costs vary widely, so they are averaged with those of its server type.
func (b *Balancer) serviceTime(s *server) float64 {
	return (s.Latency + priorRequests*s.typeServiceTime) / (s.Occupancy + priorRequests)
}

// discardThreshold returns R: the number of requests that a server completes in half the shortest specified deadline,
// limited to the occupancy at which it rejected a request as full.
func (s *server) discardThreshold(b *Balancer, service float64) float64 {
	return max(min(s.Room, b.halfMinDeadline/service), s.onsetFloor()/onset)
}

// onsetThreshold returns H for a given R. A server never gets more requests than it completes in a share of the
// shortest target latency: work on a response past its target latency is wasted, however long the deadline.
func (s *server) onsetThreshold(b *Balancer, r, service float64) float64 {
	return max(min(onset*r, onsetQueueFullShare*s.Room, onsetTargetShare*b.minTargetLatency/service), s.onsetFloor())
}

// onsetFloor returns the value that H never falls below: the number of requests that a server was seen to have in work
// at once. Up to that number nothing waits, however long each request takes. A few requests with nothing waiting make
// the service time look long, and with it H low: a node that refused requests for that reason would never see better
// values.
func (s *server) onsetFloor() float64 { return max(minOnset, min(s.Slots, onsetQueueFullShare*s.Room)) }

// updateMode moves a server between its modes, and returns its occupancy and service time.
func (s *server) updateMode(now float64, b *Balancer) (occupancy, service float64) {
	n, service := b.estimateOccupancy(s, now), b.serviceTime(s)
	r := s.discardThreshold(b, service)
	h := s.onsetThreshold(b, r, service)
	if s.Mode == normal && n >= h || s.Mode == discard && n < h {
		s.Mode = overload
	}
	if s.Mode == overload && n >= r {
		s.Mode = discard
	}
	if s.Mode == discard && now-max(s.ReportAt, s.FullAt) > r*service {
		s.Mode = overload // requests that pass bring a new report
	}
	if s.Mode == overload && n < h*abatement/onset {
		s.Mode = normal
	}
	return n, service
}

// capacityShare returns the least share of its full capacity that a server has, by the time since its start.
func (b *Balancer) capacityShare(s *server, now float64) float64 {
	age, coldFor := now-s.launchedAt, b.settings.ColdFor.Seconds()
	if s.launchedAt <= 0 || age >= coldFor {
		return 1
	}
	return b.settings.ColdShare + (1-b.settings.ColdShare)*max(0, age)/coldFor
}

// eligible reports whether a request may go to a server at all, whatever its mode.
func (b *Balancer) eligible(now float64, r *request, s *server) bool {
	if s.disabled || s.State != Active && now >= s.graceUntil {
		return false
	}
	if now < s.Ejected || s.Trial && s.localInFlight > 0 || s == r.lastTried {
		return false
	}
	m, g := r.mayHaveRunOn, r.class.Group
	return m == nil || r.class.Effect != Keyed ||
		(g != GroupZone || s.Zone == m.Zone) && (g != GroupCell || s.Cell == m.Cell)
}

// selectServer selects a server in the given mode or a better one at random, with weights that fall with the expected
// delay. It returns nil if there is none.
func (b *Balancer) selectServer(now float64, r *request, maxMode Mode) *server {
	var chosen, spare *server
	candidates, weightSum, initial := b.candidates(r), 0.0, maxMode == overload && len(r.attempts) == 0
	if initial {
		b.Picks, b.selectionsSinceRefresh = b.Picks+1, b.selectionsSinceRefresh+1
	}
	first, at, step, sampledShare, n := 0, 0, 1, 1.0, len(candidates)
	if n > maxFullScan { // each candidate is as likely to be sampled as any other, and none twice
		for at, step = b.rng.IntN(n), n; gcd(step, n) > 1; step = 1 + b.rng.IntN(n-1) {
		}
		sampledShare = sampleSize / float64(n)
		if r.candidates == nil { // also look at the recently selected ones; a request's own candidates may lack them
			first = -len(b.recentlySelected)
		}
	}
	for i := first; i < n; i++ {
		if n > maxFullScan && i > 0 && i%sampleSize == 0 && (chosen != nil || i == maxSampled) {
			break
		}
		var s *server
		if i < 0 {
			if s = b.recentlySelected[-1-i]; s == nil || b.servers[s.ID] != s || b.capacityShare(s, now) < 1 {
				continue
			}
		} else {
			s, at = candidates[at], (at+step)%n
			if first < 0 && slices.Contains(b.recentlySelected[:], s) && b.capacityShare(s, now) == 1 {
				continue // it was looked at already
			}
		}
		occupancy, service := s.updateMode(now, b)
		if s.Mode > maxMode || !b.eligible(now, r, s) || s.maxConcurrent > 0 && occupancy >= s.maxConcurrent {
			continue
		}
		if capacity := b.capacityShare(s, now); capacity < 1 {
			// A cold server gets a fixed share of each node's requests, so that it is not overloaded: its share of
			// capacity times what a warm one serves, times a share of the multiple under which it collapses. The rest
			// of that multiple is for bursts and for servers slower than their type. No budget is saved up: budgets
			// that hundreds of nodes begin at the same start would all be spent at the same time. In a sampled list,
			// the share is divided by the probability that the server is sampled. Only the initial selection of a
			// request counts: the others come in bursts, and all at once, when the warm servers fill.
			if initial && (n <= maxFullScan || i < sampleSize) &&
				b.rng.Float64() < s.warmShare*capacity*b.settings.FallFactor*coldLoadShare/sampledShare {
				return s
			}
			// It may also get a request that no other server accepts: with a limit on the requests in flight, of a few
			// nodes together, it gets them only as fast as it responds. The limit is half of what the rule on cold
			// servers leaves beyond its capacity.
			maxInFlight := max(1, (b.settings.FallFactor-1)/2*capacity*b.settings.FallFor.Seconds()/s.typeServiceTime)
			idle := s.Mode == normal && s.localInFlight < max(1, maxInFlight/float64(b.settings.Nodes)) &&
				occupancy < maxInFlight
			if idle && b.settings.Nodes <= maxSpareNodes && (spare == nil || b.rng.Float64() < 0.5) {
				spare = s
			}
			continue
		}
		// Other nodes see the same and act alike, so a local attempt stands for one of each node. Without this, many
		// nodes with few attempts each would choose the same servers by random variation, and one that stops responding
		// would fill.
		delay := max(service*(occupancy+1+s.localInFlight*float64(b.settings.Nodes-1)), 1e-3)
		delay *= delay
		delay *= delay
		weight := 1 / (delay * delay) // the eighth power gives the faster servers nearly all requests
		if s.inLocalZone {
			weight *= localZoneWeight
		}
		weight *= 1 - s.weightReduction
		weightSum += weight
		if b.rng.Float64()*weightSum < weight { // so that each is selected with its share of the complete sum
			chosen = s
		}
	}
	if first < 0 && chosen != nil && !slices.Contains(b.recentlySelected[:], chosen) {
		b.recentlySelected[b.rng.IntN(len(b.recentlySelected))] = chosen
	}
	return cmp.Or(chosen, spare)
}

// candidates returns the servers among which a request's server is selected: those that the request is limited to, or
// all. From a long list a keyed request that may have run gets only the servers that it may be sent to again, as
// sampling would miss them; in a short one eligible excludes the others.
func (b *Balancer) candidates(r *request) []*server {
	if r.candidates != nil {
		b.candidateBuffer = b.candidateBuffer[:0]
		for _, id := range r.candidates {
			if s := b.servers[id]; s != nil {
				b.candidateBuffer = append(b.candidateBuffer, s)
			}
		}
		return b.candidateBuffer
	}
	if m := r.mayHaveRunOn; m != nil && r.class.Effect == Keyed && len(b.sorted) > maxFullScan {
		switch r.class.Group {
		case GroupZone:
			return b.byZone[m.Zone]
		case GroupCell:
			return b.byCell[m.Cell]
		}
	}
	return b.sorted
}

func gcd(x, y int) int {
	for y > 0 {
		x, y = y, x%y
	}
	return x
}

// refresh runs a few times per second: it ages the statistics and recomputes the values that selections use.
func (b *Balancer) refresh(now float64) {
	all := &serverType{}
	b.allTypes, b.serverTypes = all, map[string]*serverType{}
	dt := max(now-b.lastRefreshAt, 1e-3)
	b.lastRefreshAt = now
	decay, growth, slotsDecay := math.Exp(-dt/rateTimeConstant), math.Exp(dt/longTimeConstant),
		math.Exp(-dt/slotsTimeConstant)
	b.Seen *= decay
	b.Strain *= math.Exp(-dt / pressureTimeConstant) // else a node that refuses all requests would do so forever
	b.Picks, b.Span = b.Picks*decay, b.Span*decay+rateTimeConstant*(1-decay)
	b.selectionRate, b.selectionsSinceRefresh, b.statsStart =
		b.selectionRate+(b.selectionsSinceRefresh/dt-b.selectionRate)*(1-math.Exp(-dt/riseTimeConstant)), 0,
		cmp.Or(b.statsStart, now)
	for _, s := range b.sorted {
		s.Latency, s.Occupancy, s.Served = s.Latency*decay, s.Occupancy*decay, s.Served*decay
		s.Room *= growth
		s.Slots *= slotsDecay
		t := b.serverTypes[s.Kind]
		if t == nil {
			t = &serverType{}
			b.serverTypes[s.Kind] = t
		}
		s.typeStats = t
		for _, stats := range [...]*serverType{t, all} {
			stats.latency += s.Latency
			if s.Work > 0 {
				stats.timeInWork += s.Work
				stats.reporting++
			}
			stats.occupancy += s.Occupancy
			if s.State == Active && !s.disabled && now >= s.Ejected && b.capacityShare(s, now) == 1 {
				stats.served += s.Served
				stats.warmServers++
			}
		}
	}
	fleetServiceTime := (all.latency + priorRequests*initialServiceTime) / (all.occupancy + priorRequests)
	all.derive(b, all, fleetServiceTime)
	for _, t := range b.serverTypes {
		t.derive(b, all, fleetServiceTime)
	}
	local, remote := 1.0, float64(b.settings.Nodes-1) // requests in flight of this node and of the others
	for _, s := range b.sorted {
		s.applyType(b)
		local += s.laggedInFlight
		remote += max(0, s.Others)
	}
	b.trafficShare = local / (local + remote)
	for _, t := range b.tenants {
		t.arrivalRate, t.arrivals = t.arrivalRate*decay+t.arrivals/dt*(1-decay), 0
	}
	b.classifyClasses(math.Exp(-dt / longTimeConstant))
}

// derive computes the values for each server of a type from the type's sums; all holds the sums over all servers.
func (t *serverType) derive(b *Balancer, all *serverType, fleetServiceTime float64) {
	t.serviceTime = (t.latency + priorRequests*fleetServiceTime) / (t.occupancy + priorRequests)
	t.baseTimeInWork = math.Inf(1)
	if t.reporting > 0 {
		t.baseTimeInWork = t.timeInWork / t.reporting
	}
	// The selections of a node that has just started were counted over less than the long-term span.
	span := b.Span * (1 - math.Exp((b.statsStart-b.lastRefreshAt)/rateTimeConstant))
	t.warmShare = span / t.serviceTime / float64(b.settings.Nodes) // one after the other, where no server is warm
	if t.warmServers > 0 {
		t.warmShare = t.served / t.warmServers
	} else if all.warmServers > 0 {
		t.warmShare = all.served / all.warmServers / 2 // this type may be slower
	}
	// Hundreds of nodes see a rise of their selections at the same time, and by the long-term count alone each of them
	// sees it too late. A rise of more than a standard deviation counts in full: random variation evens out among the
	// nodes, while a rise that all of them have adds up.
	selections := b.Picks + 1
	if (b.selectionRate-math.Sqrt(b.selectionRate/2/riseTimeConstant))*span > selections {
		selections = b.selectionRate * span
	}
	t.warmShare /= selections
}

// applyType copies the values of a server's type to the server, and notes whether it is in this node's zone.
func (s *server) applyType(b *Balancer) {
	s.typeServiceTime, s.warmShare, s.Base = s.typeStats.serviceTime, s.typeStats.warmShare,
		min(s.Base, s.typeStats.baseTimeInWork)
	s.inLocalZone = s.Zone == b.settings.Zone
}

// classifyClasses finds the classes of low priority, those worth less than the average for their cost. There is no
// further order among them, as requests of the worst class count too.
func (b *Balancer) classifyClasses(decay float64) {
	b.Total, b.Lessers = b.Total*decay, b.Lessers*decay
	var value, cost float64
	for _, c := range b.classes {
		c.Requests, c.Latency, c.Answers = c.Requests*decay, c.Latency*decay, c.Answers*decay
		value += c.Requests * c.Worth
		cost += c.Requests * c.cost()
	}
	for _, c := range b.classes {
		c.lowPriority = c.Worth*cost < value*c.cost()
	}
}

// cost returns the mean latency of a class, as a measure of what its requests cost.
func (c *classState) cost() float64 { return (c.Latency + initialServiceTime) / (c.Answers + 1) }

// handleList applies an update of the server list.
func (b *Balancer) handleList(now float64, ev *Event) {
	if ev.List == ListFailed {
		// All nodes lose the list at once: each subscribes again after a random delay, so that they don't do so
		// together.
		wait := min(resubscribeDelay, cmp.Or(b.settings.MustAskIn, time.Hour).Seconds()/3)
		b.resubscribeAt = now + wait*(0.5+b.rng.Float64())
		return
	}
	if ev.List == ListCached && b.settings.MustAsk {
		b.emit(Action{Kind: ActWatch})
	}
	if ev.List != ListDelta {
		graceUntil := 0.0
		if len(ev.Entries) == 0 && len(b.sorted) > 0 {
			// An empty list is more likely a fault of discovery than an empty fleet: fetch it once more, and use the
			// old one for as long as the rule on drains allows.
			graceUntil = now + b.settings.DrainGrace.Seconds()*0.8
			b.emit(Action{Kind: ActFetch})
			b.logf("the server list came empty; using the old one for its grace")
		}
		for _, s := range b.sorted {
			if s.State == Active {
				s.graceUntil = graceUntil
			}
			s.State = Left // the listed ones are restored below
		}
		if graceUntil > 0 {
			return
		}
	}
	var added []*server
	incremental := ev.List == ListDelta && len(b.sorted) > maxFullScan && len(ev.Entries)*20 < len(b.sorted)
	for _, e := range ev.Entries {
		old := b.servers[e.ID]
		s := old
		if s == nil || e.Launched.Seconds() > s.launchedAt && e.State == Active {
			s = newServer(now, e.Launched.Seconds())
			s.disabled = old != nil && old.disabled // a restart does not enable it
			b.servers[e.ID] = s
			added = append(added, s)
		}
		if incremental && old != nil {
			b.updateIndexes(old, false)
		}
		s.Entry, s.graceUntil = e, 0
		if incremental {
			b.addServer(s)
		}
	}
	if !incremental { // otherwise the next refresh is early enough, and a long list is not walked for one entry of it
		b.rebuildIndexes(added...)
		b.refresh(now)
	}
}

// addServer adds a server to a long list, with the statistics of its type. A server that was removed is dropped.
func (b *Balancer) addServer(s *server) {
	if s.State == Left {
		delete(b.servers, s.ID)
		return
	}
	s.typeStats = cmp.Or(b.serverTypes[s.Kind], b.allTypes) // until the next refresh, a new type has those of all
	s.applyType(b)
	b.updateIndexes(s, true)
}

// updateIndexes adds a server to the ordered lists that selections use, or removes it from them.
func (b *Balancer) updateIndexes(s *server, add bool) {
	b.sorted = updateSorted(b.sorted, s, add)
	b.byZone[s.Zone] = updateSorted(b.byZone[s.Zone], s, add)
	b.byCell[s.Cell] = updateSorted(b.byCell[s.Cell], s, add)
}

func byID(x, y *server) int { return cmp.Compare(x.ID, y.ID) }

// updateSorted adds a server to a list ordered by id, or removes it, and returns the list.
func updateSorted(list []*server, s *server, add bool) []*server {
	i, found := slices.BinarySearchFunc(list, s, byID)
	switch {
	case add && !found:
		return slices.Insert(list, i, s)
	case !add && found:
		return slices.Delete(list, i, i+1)
	}
	return list
}

// newServer returns a server that was started at the given time and has no statistics yet.
func newServer(now, launchedAt float64) *server {
	inf := math.Inf(1)
	return &server{launchedAt: launchedAt, laggedAt: now,
		Evidence: Evidence{Room: inf, Base: inf, ReportAt: now, LastOK: now}}
}

// handleEnable enables a server that an operator had disabled. It may have been restarted meanwhile, which the list
// announces late or not at all, so it is treated as one that starts now.
func (b *Balancer) handleEnable(now float64, ev *Event) {
	old := b.servers[ev.Server]
	if old == nil || !old.disabled {
		return
	}
	s := newServer(now, now)
	s.Entry, s.graceUntil, s.weightReduction, s.maxConcurrent = old.Entry, old.graceUntil, old.weightReduction,
		old.maxConcurrent
	b.servers[ev.Server] = s // pending attempts hold on to the old one
	b.rebuildIndexes(s)
	b.refresh(now)
}

// rebuildIndexes drops the servers that were removed or restarted, adds the given ones, and orders the lists by id.
func (b *Balancer) rebuildIndexes(added ...*server) {
	// Pending attempts hold on to the servers that are dropped.
	maps.DeleteFunc(b.servers, func(_ uint32, s *server) bool { return s.State == Left })
	b.sorted = slices.DeleteFunc(append(b.sorted, added...), func(s *server) bool { return b.servers[s.ID] != s })
	slices.SortFunc(b.sorted, byID)
	b.byZone, b.byCell = map[string][]*server{}, map[int64][]*server{}
	if len(b.sorted) > maxFullScan { // only selections from a long list use them
		for _, s := range b.sorted {
			b.byZone[s.Zone], b.byCell[s.Cell] = append(b.byZone[s.Zone], s), append(b.byCell[s.Cell], s)
		}
	}
}
