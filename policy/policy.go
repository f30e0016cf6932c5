// Package policy makes the decisions of one HTTP load balancer: which backend a request goes to, which
// requests are refused, what is tried again. Settings, events and actions are in policy/api.go, what a node
// remembers in policy/state.go; all decisions are here.
//
// Each backend has a mode, after Abaev et al., "Simulation of Overload Control in SIP Server Networks":
// normal, overload (each request is diverted with probability q) and discard (nothing is sent). Diverted
// requests take a backend in normal mode or are refused at once. docs/design.md has the whole story.
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

// Times are in seconds. The constants are the design's, or middles of plateaus over unlike fleets.
const (
	onset     = 0.90 // H as a part of R
	abatement = 0.78 // L as a part of R
	divert    = 0.80 // q: the part of all requests that a backend in overload diverts
	aimPart   = 0.40 // H is at most what a backend clears in this part of the shortest aim
	roomPart  = 0.80 // and at most this part of an occupancy that drew 'full', as reports tell of it too late
	minH      = 1.6  // below this the noise of single requests would decide the modes
	ownZone   = 1.5  // weight of a backend in this node's own zone
	othersTau = 3.0  // reports are older than most requests: what others add is known as a mean only
	lagTau    = 0.5  // about how old a report is when it is read
	rateTau   = 3.0  // memory of service times and send rates
	jumpTau   = 0.5  // and over this a rise of the draws' rate is seen that is no chance
	knowTau   = 2.0  // a report fades towards the mean of the fresh ones over this
	oldTau    = 10.0 // an occupancy that drew 'full' and class shares fade over this
	slotTau   = 60.0 // and how many it has in work at once over this
	prior     = 5.0  // a backend's own service time counts from this many held requests on
	guess     = 0.1  // service time before any answer was seen
	silence   = 1.0  // time-outs and "full" are failures of a backend that answered nothing for this long
	badShare  = 0.5  // a backend that failed more than this lately is ejected
	badMost   = 0.6  // and no more is remembered: two answers bring it back
	badTau    = 10.0 // over this many attempts; a broken connection tells as little as an answer,
	outTau    = 4.0  // but a backend that can't be reached, or answered nothing lately, is out
	ejectFor  = 1.0  // for this long at first, doubled each time,
	ejectMost = 8.0  // up to this
	crowdAt   = 5.0  // time in work beyond this multiple of the kind's best tells of a crowd, not of chance
	coldPart  = 0.67 // of the multiple that brings a cold backend down: so much it is sent at most
	fewNodes  = 4    // so many nodes may each have an attempt at a cold backend
	retryPart = 0.2  // further attempts that each first one allows
	retryBank = 10.0 // and how many may be saved up
	askAgain  = 1.0  // after a lost list a node asks again within about this
	strainN   = 15.0 // pressure is told over so many requests,
	fadeTau   = 0.7  // and fades over this
	overMost  = 64   // requests that are over are kept to be used again
	tick      = 0.25 // plans are renewed this often
	wide      = 24   // a longer list is sampled for each draw, not walked:
	sample    = 12   // so many at random,
	mostLook  = 72   // and as many again up to this while none of them will do
)

// New returns the balancer of one node, or an error that names the setting that makes no sense.
func New(set Settings, seed uint64) (*Balancer, error) {
	if err := set.Validate(); err != nil {
		return nil, err
	}
	b := &Balancer{rng: rand.New(rand.NewPCG(seed, 0)), servers: map[uint32]*server{},
		requests: map[string]*request{}, Totals: Totals{Retries: retryBank}}
	b.retune(&set)
	return b, nil
}

// retune puts settings in force. What was learnt of a class or tenant goes to the one of the same name.
func (b *Balancer) retune(set *Settings) {
	classes, tenants := b.classes, b.tenants
	b.classes, b.tenants, b.set, b.aim, b.half = nil, nil, *set, math.Inf(1), math.Inf(1)
	for _, c := range set.Classes {
		k := &class{Class: c, ClassSums: ClassSums{Least: c.Deadline.Seconds()}}
		if i := slices.IndexFunc(classes, func(o *class) bool { return o.Name == c.Name }); i >= 0 {
			*k = *classes[i] // a copy: requests under way keep the old one
			k.Class, k.Least = c, min(k.Least, c.Deadline.Seconds())
		}
		b.classes = append(b.classes, k)
		if d := c.Deadline.Seconds(); d > 0 {
			b.half = min(b.half, d/2)
		}
		if a := c.Aim.Seconds(); a > 0 {
			b.aim = min(b.aim, a)
		}
	}
	for _, t := range set.Tenants {
		k := &tenant{Tenant: t}
		if i := slices.IndexFunc(tenants, func(o *tenant) bool { return o.Name == t.Name }); i >= 0 {
			*k = *tenants[i]
			k.Tenant = t
		}
		b.tenants = append(b.tenants, k)
	}
}

// Learnt tells what was learnt so far. It shares nothing with the balancer.
func (b *Balancer) Learnt() *Learnt {
	l := &Learnt{At: b.now, Totals: b.Totals, Servers: make([]Known, len(b.order)), Classes: map[string]ClassSums{}}
	for i, s := range b.order {
		l.Servers[i] = Known{s.ID, s.launched, s.Evidence}
		l.Servers[i].Others += s.own // to whoever goes on, what this node has in flight is others'
	}
	for _, c := range b.classes {
		l.Classes[c.Name] = c.ClassSums
	}
	return l
}

// Adopt takes over what another process has learnt: of the servers that were not started anew since, and of the classes that
// are told. It comes behind a list and before any request.
func (b *Balancer) Adopt(now time.Duration, l *Learnt) {
	b.now, b.Totals, b.began = max(now.Seconds(), b.now), l.Totals, math.Inf(-1)
	for i := range l.Servers {
		if k := &l.Servers[i]; b.servers[k.ID] != nil && b.servers[k.ID].launched == k.Launched {
			b.servers[k.ID].Evidence = k.Evidence
		}
	}
	for _, c := range b.classes {
		if sums, told := l.Classes[c.Name]; told {
			sums.Least = min(sums.Least, c.Least)
			c.ClassSums = sums
		}
	}
	b.plan(b.now)
}

// Handle takes one event at the given time and appends what is to be done to out.
func (b *Balancer) Handle(now time.Duration, ev *Event, out []Action) []Action {
	b.out = out
	t := max(now.Seconds(), b.now) // a clock that steps back must not undo what was learnt
	b.now = t
	switch ev.Kind {
	case EvRequest:
		b.arrive(t, ev)
	case EvOutcome:
		b.ended(t, ev)
	case EvGone:
		b.gone(ev)
	case EvList:
		b.list(t, ev)
	case EvEnable:
		b.enable(t, ev)
	case EvDisable, EvWeigh:
		if s := b.servers[ev.Server]; s != nil && ev.Kind == EvDisable {
			s.disabled = true
		} else if s != nil {
			s.less, s.most = 1-min(1, max(1e-3, ev.Weight)), float64(ev.Most)
		}
	case EvSettings:
		b.retune(ev.Settings)
	case EvTimer:
		b.plan(t)
		if b.askAt > 0 && t >= b.askAt {
			b.askAt = 0
			b.do(Action{Kind: ActWatch})
		}
	}
	// One timer is out at a time, whatever timers come in; one that was lost is set anew.
	if t >= b.tickAt-1e-6 && (ev.Kind == EvTimer || t > b.tickAt+tick) {
		b.tickAt = t + tick
		b.do(Action{Kind: ActTimer, Token: "tick", At: span(b.tickAt)})
	}
	out, b.out = b.out, nil
	return out
}

func (b *Balancer) do(a Action) { b.out = append(b.out, a) }

func (b *Balancer) log(format string, args ...any) {
	b.do(Action{Kind: ActLog, Text: fmt.Sprintf(format, args...)})
}

func span(seconds float64) time.Duration { return time.Duration(seconds * float64(time.Second)) }

// arrive admits a request or refuses it at once; nothing is ever held.
func (b *Balancer) arrive(now float64, ev *Event) {
	if _, known := b.requests[ev.ID]; known {
		return
	}
	var c *class
	if i := slices.IndexFunc(b.classes, func(k *class) bool { return k.Name == ev.Class }); i >= 0 {
		c = b.classes[i]
	} else { // a class never told of must be taken as one that must not run twice
		c = &class{Class: Class{Name: ev.Class, Effect: Unsafe}}
	}
	c.Requests++
	left := ev.Left.Seconds()
	var r *request
	if n := len(b.over); n > 0 {
		r, b.over = b.over[n-1], b.over[:n-1]
	} else {
		r = &request{}
	}
	*r = request{id: ev.ID, class: c, until: now + left, aim: now + left, most: b.set.MaxAttempts, attempts: r.attempts[:0]}
	if aim := c.Aim.Seconds(); aim > 0 && c.LateWorth == 0 {
		// A repeat with less time left than any first try lately has what is left of the deadline: that tells
		// the age of its request. Work for one past its aim would only make others late.
		if ev.Repeat && left < c.Least-1e-3 {
			aim -= max(0, c.Deadline.Seconds()-left)
		} else if !ev.Repeat && left > c.Deadline.Seconds()/2 { // little patience tells nothing of the others
			c.Least = min(c.Least*1.001, left)
		}
		r.aim = min(r.aim, now+aim)
	}
	b.requests[ev.ID] = r
	b.Total++
	r.among = ev.Among
	r.borrowed = ev.Borrowed // others' guarantees go before it wherever anything waits
	if r.lesser = b.overShare(ev.Tenant) || c.lesser || r.borrowed; r.lesser {
		b.Lessers++
	}
	if left <= 0 || r.aim <= now || !b.try(now, r) {
		b.finish(now, r)
		return
	}
	b.Retries = min(retryBank, b.Retries+retryPart)
}

// drop forgets a request that nothing more can come of. A few are kept to be used again.
func (b *Balancer) drop(r *request) {
	delete(b.requests, r.id)
	b.over = append(b.over[:min(len(b.over), overMost-1)], r)
}

// overShare draws whether a request lies past its tenant's share: the node takes its own part of the share,
// and of what goes beyond it as many at random as there are too many.
func (b *Balancer) overShare(name string) bool {
	i := slices.IndexFunc(b.tenants, func(t *tenant) bool { return t.Name == name })
	if i < 0 || b.set.OverShare >= 1 {
		return false
	}
	t := b.tenants[i]
	t.count++
	return b.rng.Float64()*t.rate > t.QuotaPerS*b.part
}

// try sends a request on the ordinary path of the design, or tells that no backend takes it: draw a backend,
// let one in overload divert the request with probability q, and diverted requests draw a normal one.
func (b *Balancer) try(now float64, r *request) bool {
	s := b.pick(now, r, overload)
	met := 0.0
	if s == nil || s.Mode != normal {
		met = 1
	}
	b.Strain += (met - b.Strain) / strainN
	if s != nil && s.Mode == overload && (r.borrowed || b.diverts(now, s, r.lesser)) {
		s = b.pick(now, r, normal)
	}
	if s != nil {
		b.send(now, r, s)
	}
	return s != nil
}

func (b *Balancer) send(now float64, r *request, s *server) {
	r.attempts = append(r.attempts, attempt{s, true, b.waiting(s, now) + 1, now})
	r.open++
	s.own++
	until := r.until // ended at the aim, it would draw a client's retry that is worth nothing
	if s.Mode != normal {
		until = r.aim // here it mostly waits, and keeps others from being in time
	}
	if r.mayRun != nil && r.class.Effect == Keyed {
		until = min(until, r.windowEnd()) // a connection that comes up later would carry it past its window
	}
	b.do(Action{Kind: ActSend, ID: r.id, Server: s.ID, Wait: span(max(until-now, 1e-6))})
}

// Pressure is the part of the latest requests that met no normal backend.
func (b *Balancer) Pressure() float64 { return b.Strain }

// Part is this node's part of what the servers hold, known where the latest report told that and not a queue
// alone, from which it can't be told.
func (b *Balancer) Part() (part float64, known bool) { return b.part, b.helds }

// finish gives the final answer: a refusal where the client may safely try again, a failure elsewhere.
func (b *Balancer) finish(now float64, r *request) {
	b.drop(r) // no attempt is out: nothing more can come of it
	c := r.class
	if r.mayRun != nil && (c.Effect == Unsafe || c.Effect == Keyed && c.Group != GroupAll) {
		b.do(Action{Kind: ActFail, ID: r.id}) // it may have run: a refusal would promise too much
		return
	}
	wait := b.set.RetryAfter.Seconds() // within the aim: back after a backend cleared a good part of its queue
	if now < r.aim {
		wait = min(wait, b.aim/4)
	}
	b.do(Action{Kind: ActRefuse, ID: r.id, Wait: span(wait)})
}

// ended takes an attempt's outcome. Outcomes that are late, doubled or of unknown requests change nothing.
func (b *Balancer) ended(now float64, ev *Event) {
	r := b.requests[ev.ID]
	if r == nil || ev.Attempt < 0 || ev.Attempt >= len(r.attempts) || !r.attempts[ev.Attempt].open {
		return
	}
	s := r.attempts[ev.Attempt].server
	r.attempts[ev.Attempt].open = false
	r.open--
	b.learn(now, s, r, ev)
	r.final = r.final || ev.Last
	if r.final {
		if r.open == 0 {
			b.drop(r)
		}
		return
	}
	if r.mayRun == nil && ev.Outcome != Full && ev.Outcome != ConnectFailed && ev.Outcome != Moot {
		r.mayRun, r.mayRunAt = s, r.attempts[ev.Attempt].at
	}
	r.avoid = s
	if !ev.Spent && b.mayRetry(now, r) && b.try(now, r) {
		b.Retries--
	} else {
		b.finish(now, r)
	}
}

// diverts draws whether a backend in overload diverts a request of a class. The share q of all requests is
// diverted, lesser classes first; what passes falls as the occupancy exceeds H.
func (b *Balancer) diverts(now float64, s *server, lesser bool) bool {
	service := b.service(s)
	q := 1 - (1-divert)*min(1, s.high(b, s.limit(b, service), service)/max(b.waiting(s, now), 1))
	part := b.Lessers / max(b.Total, 1)
	if lesser {
		return b.rng.Float64()*part < q
	}
	return b.rng.Float64()*(1-part) < q-part
}

// mayRetry tells whether the rules and the budget allow a further attempt. Retries must never add to an
// overload: they take the ordinary path again, and share a budget that only first attempts fill.
func (b *Balancer) mayRetry(now float64, r *request) bool {
	c := r.class
	if len(r.attempts) >= min(r.most, b.set.MaxAttempts) || now >= r.aim || b.Retries < 1 {
		return false
	}
	return r.mayRun == nil || c.Effect == Safe || c.Effect == Keyed && now < r.windowEnd()
}

// windowEnd is until when a keyed request may be sent again. The window runs from the send, however slow its answer is.
func (r *request) windowEnd() float64 { return r.mayRunAt + r.class.Window.Seconds() }

// learn books what an outcome shows of its backend.
func (b *Balancer) learn(now float64, s *server, r *request, ev *Event) {
	s.settle(now)
	s.own = max(0, s.own-1)
	took := max(0, ev.Took.Seconds())
	n := max(ev.Load.Queue, ev.Load.Held, 0)
	if w := ev.Load.Work; ev.Load.Held < 0 && w > 0 && w < math.MaxInt32 && b.ramp(s, now) == 1 {
		// Where the queue alone is told, many slots hide a crowd from it: a backend chokes on what is in work
		// with nothing waiting. Requests then take many times as long as at their best.
		if s.Work == 0 {
			s.Work = w
		}
		s.Work += (w - s.Work) * (1 - math.Exp((s.ReportAt-now)/othersTau))
		n += max(0, s.Work/s.Base/crowdAt-1)
	}
	if q, h := ev.Load.Queue, ev.Load.Held; q >= 0 && h-q < math.MaxInt32 {
		s.Slots = max(s.Slots, h-q) // so many it has in work at once
	}
	if ev.Load.Known && n < math.MaxInt32 { // and not NaN
		b.helds = ev.Load.Held >= 0
		s.Others += (n - s.ownLag - s.Others) * (1 - math.Exp((s.ReportAt-now)/othersTau))
		s.ReportAt = now
		b.Seen++
		b.Mean += (max(0, n-s.ownLag) - b.Mean) / b.Seen
	}
	switch ev.Outcome {
	case OK:
		s.LastOK = now
		s.Served++
		s.Bad *= 1 - 1/badTau
		if s.Trial && s.Bad < badShare { // also when what was in flight shows that it is not out after all
			s.Trial, s.Ejections, s.Ejected = false, 0, now
			b.log("backend %d answers again", s.ID)
		}
		b.latency(s, r, ev.Attempt, took)
	case Full:
		// A draining or broken backend turns requests away with nothing waiting: that is no limit.
		if n := b.waiting(s, now) + 1; n >= minH {
			s.Room = min(s.Room, n)
		}
		// Turned away is the freshest report there is: R is reached, whatever older reports still arrive.
		// Without this a full backend looks best, as what it turns away at once never counts as in flight.
		// Where no deadline is told and no limit was met, no R is known that it could have reached.
		if full := s.limit(b, b.service(s)); !math.IsInf(full, 1) {
			s.Full, s.FullAt = full, now
		}
		// A draining backend turns all away until the list tells; a crowded one still answers others.
		if s.LastOK < now-silence {
			b.blame(now, s, outTau)
		}
	case TimedOut:
		// The true latency is longer than was waited for; taking it as seen would make a slow backend look
		// as good as the time-out.
		b.latency(s, r, ev.Attempt, 2*took)
		s.Others++ // the backend may well run on with it; the next reports will tell
		// A slow backend still answers some; one that answered nothing meanwhile is not slow but out.
		if s.LastOK < now-max(took, silence) {
			b.blame(now, s, outTau)
		}
	case ConnectFailed:
		b.blame(now, s, outTau)
	case Failed, Reset:
		b.blame(now, s, badTau)
	}
	s.update(now, b)
}

// latency books an answer's time against the occupancy it met when it was sent. Taking the occupancy of the
// moment it came back would make a backend that is filling up look fast, as its quick answers come first.
func (b *Balancer) latency(s *server, r *request, i int, took float64) {
	s.Latency += took
	s.Occupancy += r.attempts[i].met
	r.class.Latency += took
	r.class.Answers++
}

// blame counts a failed attempt. A broken backend can look best (fast errors, an empty queue), so one that
// fails too often is ejected for a growing time and comes back by trickle. However many are ejected, the
// rest are not pushed over: their modes refuse what they cannot take.
func (b *Balancer) blame(now float64, s *server, tau float64) {
	s.Bad = min(badMost, s.Bad+(1-s.Bad)/tau)
	if now < s.Ejected || !s.Trial && s.Bad < badShare {
		return
	}
	s.Ejections++
	s.Ejected = now + min(ejectMost, ejectFor*math.Pow(2, float64(s.Ejections-1)))*(0.75+0.5*b.rng.Float64())
	s.Trial = true
	b.log("backend %d ejected for %.1f s: too many attempts failed", s.ID, s.Ejected-now)
}

func (b *Balancer) gone(ev *Event) {
	r := b.requests[ev.ID]
	if r == nil || r.final {
		return
	}
	r.final = true
	for i, a := range r.attempts {
		if a.open && b.set.Cancel {
			b.do(Action{Kind: ActCancel, ID: r.id, Attempt: i}) // nobody waits for this work any more
		}
	}
	if r.open == 0 {
		b.drop(r)
	}
}

// settle moves ownLag towards own, so that it tells what was in flight when the report was made.
func (s *server) settle(now float64) {
	s.ownLag += (s.own - s.ownLag) * (1 - math.Exp((s.ownAt-now)/lagTau))
	s.ownAt = now
}

// waiting estimates the present occupancy: the report, and own sends it does not show yet. A node of hundreds
// hears from a backend every tens of seconds: an old report fades towards what fresh ones show of the fleet.
// Fading towards nothing would make the least known backend look best.
func (b *Balancer) waiting(s *server, now float64) float64 {
	s.settle(now)
	n := max(0, b.Mean+(s.Others-b.Mean)*math.Exp((s.ReportAt-now)/knowTau)+s.own)
	if s.Full > 0 {
		n = max(n, s.Full-(now-s.FullAt)/b.service(s)) // it cannot have cleared more than this
	}
	return n
}

// service is the time a backend needs for each request it holds. A node alone sees few answers of each
// backend and their work varies widely, so they are weighed against those of its kind.
func (b *Balancer) service(s *server) float64 {
	return (s.Latency + prior*s.typical) / (s.Occupancy + prior)
}

// limit is R: the queue a backend clears in half the shortest told deadline, capped where 'full' was met.
func (s *server) limit(b *Balancer, service float64) float64 {
	return max(min(s.Room, b.half/service), s.least()/onset)
}

// high is H. It never lets a backend hold more than it clears in a part of the shortest aim: an answer past
// its aim is wasted work, however long the deadline.
func (s *server) high(b *Balancer, r, service float64) float64 {
	return max(min(onset*r, roomPart*s.Room, aimPart*b.aim/service), s.least())
}

// least is what H never falls below: as many requests as a backend was seen to have in work at once. Until
// they are exceeded nothing waits, however long each takes. A few requests with nothing waiting make the
// service time look long, and with it H low: a node that refuses for that reason would never see better.
func (s *server) least() float64 { return max(minH, min(s.Slots, roomPart*s.Room)) }

// update moves a backend between its modes, and tells its occupancy and service time.
func (s *server) update(now float64, b *Balancer) (occupancy, service float64) {
	n, service := b.waiting(s, now), b.service(s)
	r := s.limit(b, service)
	h := s.high(b, r, service)
	if s.Mode == normal && n >= h || s.Mode == discard && n < h {
		s.Mode = overload
	}
	if s.Mode == overload && n >= r {
		s.Mode = discard
	}
	if s.Mode == discard && now-max(s.ReportAt, s.FullAt) > r*service {
		s.Mode = overload // passing sends bring a new report
	}
	if s.Mode == overload && n < h*abatement/onset {
		s.Mode = normal
	}
	return n, service
}

// ramp is the least part of its capacity that a backend has, by the time since its start.
func (b *Balancer) ramp(s *server, now float64) float64 {
	age, span := now-s.launched, b.set.ColdFor.Seconds()
	if s.launched <= 0 || age >= span {
		return 1
	}
	return b.set.ColdShare + (1-b.set.ColdShare)*max(0, age)/span
}

// usable tells whether a request may go to a backend at all, whatever its mode.
func (b *Balancer) usable(now float64, r *request, s *server) bool {
	if s.disabled || s.State != Active && now >= s.grace {
		return false
	}
	if now < s.Ejected || s.Trial && s.own > 0 || s == r.avoid {
		return false
	}
	m, g := r.mayRun, r.class.Group
	return m == nil || r.class.Effect != Keyed || (g != GroupZone || s.Zone == m.Zone) && (g != GroupCell || s.Cell == m.Cell)
}

// pick draws a backend in the given mode or a better one, by weights that fall with the expected delay.
func (b *Balancer) pick(now float64, r *request, worst Mode) *server {
	var chosen, spare *server
	from, sum, fresh := b.candidates(r), 0.0, worst == overload && len(r.attempts) == 0
	if fresh {
		b.Picks, b.latest = b.Picks+1, b.latest+1
	}
	first, at, step, part, n := 0, 0, 1, 1.0, len(from)
	if n > wide { // each is as likely to be looked at as any other, and none twice
		for at, step = b.rng.IntN(n), n; gcd(step, n) > 1; step = 1 + b.rng.IntN(n-1) {
		}
		part = sample / float64(n)
		if r.among == nil { // those that did well lately are looked at each time; a cell may not have them
			first = -len(b.lately)
		}
	}
	for i := first; i < n; i++ {
		if n > wide && i > 0 && i%sample == 0 && (chosen != nil || i == mostLook) {
			break
		}
		var s *server
		if i < 0 {
			if s = b.lately[-1-i]; s == nil || b.servers[s.ID] != s || b.ramp(s, now) < 1 {
				continue
			}
		} else {
			s, at = from[at], (at+step)%n
			if first < 0 && slices.Contains(b.lately[:], s) && b.ramp(s, now) == 1 {
				continue // it was looked at
			}
		}
		occupancy, service := s.update(now, b)
		if s.Mode > worst || !b.usable(now, r, s) || s.most > 0 && occupancy >= s.most {
			continue
		}
		if ramp := b.ramp(s, now); ramp < 1 {
			// A cold backend is kept from being pushed over by a fixed share of each node's requests: its ramp's part of what a
			// warm one serves, times a part of the multiple that brings it down. The rest is for bursts and for backends slower
			// than their kind. Nothing is saved up: budgets that hundreds of nodes begin at the same start would come due
			// together. One that is looked at by chance has its share of that chance. Only a request's first draw counts: the
			// others come in crowds, and at once, when the warm ones fill.
			if fresh && (n <= wide || i < sample) && b.rng.Float64() < s.chance*ramp*b.set.FallFactor*coldPart/part {
				return s
			}
			// It may also take what nobody else does: with so many in flight, of a few nodes together, it is sent only as fast
			// as it answers and so many at first, half of what the rule leaves beyond its capacity.
			flight := max(1, (b.set.FallFactor-1)/2*ramp*b.set.FallFor.Seconds()/s.typical)
			idle := s.Mode == normal && s.own < max(1, flight/float64(b.set.Nodes)) && occupancy < flight
			if idle && b.set.Nodes <= fewNodes && (spare == nil || b.rng.Float64() < 0.5) {
				spare = s
			}
			continue
		}
		// Other nodes see the same and do alike: an own attempt stands for one of each. Without this many
		// nodes, each with few attempts out, meet on the same backends by chance, and one gone silent fills.
		delay := max(service*(occupancy+1+s.own*float64(b.set.Nodes-1)), 1e-3)
		delay *= delay
		delay *= delay
		weight := 1 / (delay * delay) // the eighth power: the split is sharp
		if s.near {
			weight *= ownZone
		}
		weight *= 1 - s.less
		sum += weight
		if b.rng.Float64()*sum < weight { // so that each is drawn with its part of the whole sum
			chosen = s
		}
	}
	if first < 0 && chosen != nil && !slices.Contains(b.lately[:], chosen) {
		b.lately[b.rng.IntN(len(b.lately))] = chosen
	}
	return cmp.Or(chosen, spare)
}

// candidates are the backends among which a request may be drawn: those of its cell, or all. A long list is
// not sampled for what may not be sent to; of a short one usable tells.
func (b *Balancer) candidates(r *request) []*server {
	if r.among != nil {
		b.cell = b.cell[:0]
		for _, id := range r.among {
			if s := b.servers[id]; s != nil {
				b.cell = append(b.cell, s)
			}
		}
		return b.cell
	}
	if m := r.mayRun; m != nil && r.class.Effect == Keyed && len(b.order) > wide {
		switch r.class.Group {
		case GroupZone:
			return b.zones[m.Zone]
		case GroupCell:
			return b.cells[m.Cell]
		}
	}
	return b.order
}

func gcd(x, y int) int {
	for y > 0 {
		x, y = y, x%y
	}
	return x
}

// plan runs a few times a second: it ages what was learnt and renews what the requests then use.
func (b *Balancer) plan(now float64) {
	all := &kind{}
	b.fleet, b.kinds = all, map[string]*kind{}
	dt := max(now-b.planAt, 1e-3)
	b.planAt = now
	f, wider, fewer := math.Exp(-dt/rateTau), math.Exp(dt/oldTau), math.Exp(-dt/slotTau)
	b.Seen *= f
	b.Strain *= math.Exp(-dt / fadeTau) // who refuses all requests would else never see better
	b.Picks, b.Span = b.Picks*f, b.Span*f+rateTau*(1-f)
	b.jump, b.latest, b.began = b.jump+(b.latest/dt-b.jump)*(1-math.Exp(-dt/jumpTau)), 0, cmp.Or(b.began, now)
	for _, s := range b.order {
		s.Latency, s.Occupancy, s.Served = s.Latency*f, s.Occupancy*f, s.Served*f
		s.Room *= wider
		s.Slots *= fewer
		k := b.kinds[s.Kind]
		if k == nil {
			k = &kind{}
			b.kinds[s.Kind] = k
		}
		s.kin = k
		for _, p := range [...]*kind{k, all} {
			p.latency += s.Latency
			if s.Work > 0 {
				p.work += s.Work
				p.told++
			}
			p.occupancy += s.Occupancy
			if s.State == Active && !s.disabled && now >= s.Ejected && b.ramp(s, now) == 1 {
				p.served += s.Served
				p.warm++
			}
		}
	}
	fleet := (all.latency + prior*guess) / (all.occupancy + prior)
	all.settle(b, all, fleet)
	for _, k := range b.kinds {
		k.settle(b, all, fleet)
	}
	own, others := 1.0, float64(b.set.Nodes-1) // what this node and the others have in flight
	for _, s := range b.order {
		s.take(b)
		own += s.ownLag
		others += max(0, s.Others)
	}
	b.part = own / (own + others)
	for _, t := range b.tenants {
		t.rate, t.count = t.rate*f+t.count/dt*(1-f), 0
	}
	b.shares(math.Exp(-dt / oldTau))
}

// settle works out what each backend of a kind has of its sums; all is the fleet's kind.
func (k *kind) settle(b *Balancer, all *kind, fleet float64) {
	k.typical = (k.latency + prior*fleet) / (k.occupancy + prior)
	k.base = math.Inf(1)
	if k.told > 0 {
		k.base = k.work / k.told
	}
	span := b.Span * (1 - math.Exp((b.began-b.planAt)/rateTau)) // since the node began: what it has drawn is no older
	k.chance = span / k.typical / float64(b.set.Nodes)          // one after the other, where no backend is warm
	if k.warm > 0 {
		k.chance = k.served / k.warm
	} else if all.warm > 0 {
		k.chance = all.served / all.warm / 2 // its kind may be the slower one
	}
	// Hundreds of nodes see a rise of their draws at the same time, and each too late by the long memory alone. One over a
	// standard deviation counts whole: chance evens out among the nodes, and one rise of all of them adds up.
	draws := b.Picks + 1
	if (b.jump-math.Sqrt(b.jump/2/jumpTau))*span > draws {
		draws = b.jump * span
	}
	k.chance /= draws
}

// take takes over what is known of a backend's kind, and of where it is.
func (s *server) take(b *Balancer) {
	s.typical, s.chance, s.Base = s.kin.typical, s.kin.chance, min(s.Base, s.kin.base)
	s.near = s.Zone == b.set.Zone
}

// shares finds the lesser classes, those worth less than the average for their work. They are not ranked
// further: the worst of them counts too.
func (b *Balancer) shares(f float64) {
	b.Total, b.Lessers = b.Total*f, b.Lessers*f
	var worth, work float64
	for _, c := range b.classes {
		c.Requests, c.Latency, c.Answers = c.Requests*f, c.Latency*f, c.Answers*f
		worth += c.Requests * c.Worth
		work += c.Requests * c.work()
	}
	for _, c := range b.classes {
		c.lesser = c.Worth*work < worth*c.work()
	}
}

// work is the mean latency of a class, as a measure of what its requests cost.
func (c *class) work() float64 { return (c.Latency + guess) / (c.Answers + 1) }

// list follows the server list.
func (b *Balancer) list(now float64, ev *Event) {
	if ev.List == ListFailed {
		// Every node loses the list at once: ask again after a random wait, so that they do not ask together.
		wait := min(askAgain, cmp.Or(b.set.MustAskIn, time.Hour).Seconds()/3)
		b.askAt = now + wait*(0.5+b.rng.Float64())
		return
	}
	if ev.List == ListCached && b.set.MustAsk {
		b.do(Action{Kind: ActWatch})
	}
	if ev.List != ListDelta {
		grace := 0.0
		if len(ev.Entries) == 0 && len(b.order) > 0 {
			// An empty list is more likely a broken list than an empty fleet: ask once more, and go on
			// with the old one for as long as the drain rule lets us.
			grace = now + b.set.DrainGrace.Seconds()*0.8
			b.do(Action{Kind: ActFetch})
			b.log("the server list came empty; using the old one for its grace")
		}
		for _, s := range b.order {
			if s.State == Active {
				s.grace = grace
			}
			s.State = Left // those still listed are put back below
		}
		if grace > 0 {
			return
		}
	}
	var others []*server
	few := ev.List == ListDelta && len(b.order) > wide && len(ev.Entries)*20 < len(b.order)
	for _, e := range ev.Entries {
		old := b.servers[e.ID]
		s := old
		if s == nil || e.Launched.Seconds() > s.launched && e.State == Active {
			s = started(now, e.Launched.Seconds())
			s.disabled = old != nil && old.disabled // a restart does not put it back
			b.servers[e.ID] = s
			others = append(others, s)
		}
		if few && old != nil {
			b.file(old, false)
		}
		s.Entry, s.grace = e, 0
		if few {
			b.introduce(s)
		}
	}
	if !few { // else the next plan is soon enough, and a long list is not walked for a line of it
		b.arrange(others...)
		b.plan(now)
	}
}

// introduce puts a server into a long list, with what is known of its kind.
func (b *Balancer) introduce(s *server) {
	if s.State == Left {
		delete(b.servers, s.ID)
		return
	}
	s.kin = cmp.Or(b.kinds[s.Kind], b.fleet) // a new kind: for the moment as all together
	s.take(b)
	b.file(s, true)
}

// file enters a server into the orders that draws go by, or strikes it off.
func (b *Balancer) file(s *server, enter bool) {
	b.order = filed(b.order, s, enter)
	b.zones[s.Zone] = filed(b.zones[s.Zone], s, enter)
	b.cells[s.Cell] = filed(b.cells[s.Cell], s, enter)
}

func byID(x, y *server) int { return cmp.Compare(x.ID, y.ID) }

func filed(list []*server, s *server, enter bool) []*server {
	i, found := slices.BinarySearchFunc(list, s, byID)
	switch {
	case enter && !found:
		return slices.Insert(list, i, s)
	case !enter && found:
		return slices.Delete(list, i, i+1)
	}
	return list
}

// started is what is known of a server that was started at the given time.
func started(now, launched float64) *server {
	inf := math.Inf(1)
	return &server{launched: launched, ownAt: now, Evidence: Evidence{Room: inf, Base: inf, ReportAt: now, LastOK: now}}
}

// enable puts a server back that operators had taken out. They may have restarted it, which the list tells
// late or not at all: it is taken for one that starts now.
func (b *Balancer) enable(now float64, ev *Event) {
	old := b.servers[ev.Server]
	if old == nil || !old.disabled {
		return
	}
	s := started(now, now)
	s.Entry, s.grace, s.less, s.most = old.Entry, old.grace, old.less, old.most
	b.servers[ev.Server] = s // attempts that are out keep their own hold on the old one
	b.arrange(s)
	b.plan(now)
}

// arrange drops servers that have left or were started anew, takes in others, and keeps all in order of ids.
func (b *Balancer) arrange(others ...*server) {
	// Attempts that are out keep their own hold on those that go.
	maps.DeleteFunc(b.servers, func(_ uint32, s *server) bool { return s.State == Left })
	b.order = slices.DeleteFunc(append(b.order, others...), func(s *server) bool { return b.servers[s.ID] != s })
	slices.SortFunc(b.order, byID)
	b.zones, b.cells = map[string][]*server{}, map[int64][]*server{}
	if len(b.order) > wide { // where draws ask for them
		for _, s := range b.order {
			b.zones[s.Zone], b.cells[s.Cell] = append(b.zones[s.Zone], s), append(b.cells[s.Cell], s)
		}
	}
}
