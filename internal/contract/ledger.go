package contract

import (
	"math"
	"slices"
	"time"
)

// Rule names what a verdict goes by.
type Rule string

const (
	Kept     Rule = ""        // let in
	None     Rule = "none"    // no contract is for this caller
	Service  Rule = "service" // the contract does not name this class
	Rate     Rule = "rate"    // too many requests
	InFlight Rule = "in-flight"
	Attempts Rule = "attempts" // too many repeats and further attempts
	Work     Rule = "work"     // its budget of work is used up
	Fleet    Rule = "fleet"    // the fleet is under pressure and its guarantee is used up
)

// Rules lists those that refuse.
var Rules = []Rule{None, Service, Rate, InFlight, Attempts, Work, Fleet}

// Why says in a sentence what a rule refuses for; empty for Kept.
func (r Rule) Why() string { return why[r] }

var why = map[Rule]string{
	None:     "no contract is for this caller",
	Service:  "the caller's contract does not name this class",
	Rate:     "the contract's rate is used up",
	InFlight: "the contract has as many requests in flight as it may",
	Attempts: "the contract's budget of repeats and further attempts is used up",
	Work:     "the contract's budget of work is used up",
	Fleet:    "the fleet is under pressure and the contract's guarantee is used up",
}

// Verdict is what a request is told.
type Verdict struct {
	Rule       Rule // Kept: it is let in
	Contract   int  // -1: none
	Borrowed   bool // it goes on what others leave unused, and is the first to go
	RetryAfter time.Duration
	Cost       float64 // server-seconds that it was charged

	state *state // of the contract that it was let in by
}

const (
	tick       = 50 * time.Millisecond  // lending is worked out anew this often
	activeFor  = 10 * time.Second       // a contract that nobody used for this long takes no part in lending
	saved      = time.Second            // a guarantee that was left unused is kept for this long
	debtMost   = 10.0                   // seconds of its budget that a contract can be in debt
	demandTau  = 0.15                   // memory of what each asks for
	partTau    = 2.0                    // of what this node's part of all traffic is
	usedTau    = 0.5                    // and of what all use
	atEase     = 0.02                   // pressure below this is none
	growthStep = 0.002                  // what all may use grows by this much more a tick for each tick without pressure,
	growthMost = 0.01                   // up to this,
	cut        = 0.3                    // and falls by up to this with it,
	easeAfter  = time.Second            // a bound that refuses nobody for this long is none
	cutEvery   = 250 * time.Millisecond // no more often than queues take to show it
	lendMost   = 0.9                    // of what is unused; the rest is for what changes before the next tick
	alike      = 0.01                   // server-seconds a second that are as good as none
	debtPart   = 0.1                    // at least this part of a guarantee pays back what it owes
	costPart   = 0.03                   // what a request counts in the mean cost of its contract
	minHint    = 1e-4                   // seconds: no request is free
	firstHint  = 0.05                   // cost of a request before any was measured and no hint was given
	longAgo    = time.Hour              // RetryAfter is never longer
	never      = math.MinInt64
)

// state is what is left of one contract at one node. All that refills does so when it is looked at.
type state struct {
	slot     int           // of its contract; forgotten: nothing of it counts any more
	at       time.Duration // up to when it is refilled
	used     time.Duration // when it last had a request
	active   bool
	tokens   float64 // of the rate
	inFlight int
	firsts   float64 // decayed counts of first tries,
	furthers float64 // and of repeats and further attempts
	work     float64 // left of the limit; negative: debt
	bytes    float64 // left of the bandwidth; negative: to be waited for
	kept     float64 // left of the guarantee
	lent     float64 // left of what it may borrow
	share    float64 // server-seconds a second that it may borrow now
	scale    float64 // part of its guarantee that the fleet can keep
	demand   float64 // server-seconds a second that it asks for
	asked    float64 // since the last tick
	cost     float64 // mean measured server-seconds of its requests; 0: none yet
	admitted uint64
	refused  [ruleCount]uint64
}

const ruleCount = 7 // length of Rules

// Ledger keeps what is left of each contract at one node. It belongs to whoever orders the node's events: it is not safe
// for concurrent use. Times must not go backwards; one that does is taken for the latest that was seen.
type Ledger struct {
	table    *Table
	states   []*state // by slot; nil before its contract is first used
	active   []int
	removed  removals // what contracts that have gone had left
	now      time.Duration
	tickAt   time.Duration
	even     float64       // one over the number of nodes
	part     float64       // of the contracts that this node hands out
	sharedAt time.Duration // when that was last corrected
	emptied  time.Duration // from when on contracts that were not used yet refill from nothing; never: they are full
	portion  float64       // of the node's part that this process hands out
	allowed  float64       // server-seconds a second that all may use together; infinite at ease
	inUse    float64       // that they do use, smoothed
	charged  float64       // since the last tick
	cutAt    time.Duration // when what all may use was last cut
	boundAt  time.Duration // when it last refused anybody
	calm     float64       // ticks without pressure since
}

// NewLedger opens the books at the given time, for a node that hands out an even part of each contract until Share corrects it.
func NewLedger(t *Table, now time.Duration, part float64) *Ledger {
	return &Ledger{table: t, states: make([]*state, t.Len()), now: now, tickAt: now, even: part, part: part, sharedAt: now, emptied: never, portion: 1, allowed: math.Inf(1)}
}

// Left is what is left of a contract, for a process that goes on in this one's place.
type Left struct {
	Name                      string
	Tokens, Work, Bytes, Kept float64 // as in Level; below 0: debt
	Firsts, Furthers          float64
	Cost, Demand              float64
	Gone                      *Gone `cbor:",omitempty"` // nil: it is in force
}

// Left tells what is left of all that were used, and of those that are remembered of the removed ones, the oldest first.
func (l *Ledger) Left(now time.Duration) (all []Left) {
	now = l.clock(now)
	for i, s := range l.states {
		if s != nil {
			c, s := l.state(i, now)
			all = append(all, s.left(c.Name))
		}
	}
	return append(all, l.removed.left(now, l)...)
}

func (s *state) left(name string) Left {
	return Left{Name: name, Tokens: s.tokens, Work: s.work, Bytes: s.bytes, Kept: s.kept, Firsts: s.firsts, Furthers: s.furthers, Cost: s.cost, Demand: s.demand}
}

// Resume goes on from what another process had left. Without credit only debts count, as that process may have spent since
// what it had left; and contracts that it does not name begin with nothing, so that none has a second burst. What it had left of a
// contract that is not in force here is remembered, as of one that was removed here.
func (l *Ledger) Resume(now time.Duration, left []Left, credit bool) {
	now = l.clock(now)
	l.Empty(now)
	for k := range left {
		o := &left[k]
		if i, known := l.table.slots[o.Name]; known {
			c, s := l.state(i, now)
			l.resume(c, s, o, credit)
		} else if c, s := l.removed.recall(now, o); s != nil {
			l.resume(c, s, o, credit)
			s.demand = 0 // it takes no part in lending
		}
	}
	l.removed.prune(now)
}

func (l *Ledger) resume(c *Terms, s *state, o *Left, credit bool) {
	most := func(v, most float64) float64 {
		if !credit {
			most = 0
		}
		return min(v, most)
	}
	s.tokens, s.work = most(o.Tokens, l.burst(c)), most(o.Work, c.Limit*l.part)
	s.bytes, s.kept = most(o.Bytes, c.Bandwidth*l.part), most(o.Kept, c.Guaranteed*l.part*saved.Seconds())
	s.firsts, s.furthers, s.cost, s.demand = o.Firsts, o.Furthers, o.Cost, o.Demand
}

// Empty takes all that is left unused: another process has it now, or had. Contracts that were not used yet begin with nothing, and
// refill from then on, so that a hand-over gives nobody a second burst.
func (l *Ledger) Empty(now time.Duration) {
	l.emptied = l.clock(now)
	for i, s := range l.states {
		if s != nil {
			_, s = l.state(i, l.clock(now))
			s.empty()
		}
	}
	for _, r := range l.removed.byName {
		l.refill(&r.terms, r.state, l.now)
		r.state.empty()
	}
}

func (s *state) empty() {
	s.tokens, s.work, s.bytes, s.kept = min(0, s.tokens), min(0, s.work), min(0, s.bytes), min(0, s.kept)
}

// Portion sets which portion of this node's part this process hands out, where another one of the node hands out the rest;
// 1: all of it.
func (l *Ledger) Portion(p float64) {
	f := p / l.portion
	l.even, l.part, l.portion = l.even*f, l.part*f, p
}

// Table is the contracts in force.
func (l *Ledger) Table() *Table { return l.table }

// Swap puts other contracts in force. What is left of one that stays, by its name, stays. Requests under way end by
// Done with the number and the Table that they were let in with.
func (l *Ledger) Swap(t *Table) {
	old := map[string]*state{}
	for i, s := range l.states {
		if s != nil {
			old[l.table.terms[i].Name] = s
		}
	}
	l.table, l.states, l.active, l.removed = t, make([]*state, t.Len()), nil, removals{}
	for i := range t.terms {
		if s := old[t.terms[i].Name]; s != nil {
			l.states[i], s.slot = s, i
			if s.active {
				l.active = append(l.active, i)
			}
			c := &t.terms[i]
			s.tokens = min(s.tokens, l.burst(c))
		}
	}
}

// Share corrects the part of the contracts that this node hands out toward its part of all traffic, as it sees it. It follows
// within a few seconds, and is never below a quarter of the even part nor above the whole.
func (l *Ledger) Share(now time.Duration, part float64) {
	now = l.clock(now)
	dt := (now - l.sharedAt).Seconds()
	if l.table.EvenParts {
		part = l.even / l.portion
	}
	if !(part >= 0) || dt < tick.Seconds() {
		return
	}
	l.sharedAt = now
	part *= l.portion
	l.part += (min(l.portion, max(l.even/4, part)) - l.part) * (1 - math.Exp(-dt/partTau))
}

// Part is the part of the contracts that this node hands out now.
func (l *Ledger) Part() float64 { return l.part }

// burst is how many requests a node lets in at once: at least one, however small its part.
func (l *Ledger) burst(c *Terms) float64 { return max(1, c.Burst*l.part) }

// state is what is left of a contract, refilled up to now.
func (l *Ledger) state(i int, now time.Duration) (*Terms, *state) {
	c, s := &l.table.terms[i], l.states[i]
	if s == nil {
		s = &state{slot: i, at: now, tokens: l.burst(c), work: c.Limit * l.part, bytes: c.Bandwidth * l.part,
			kept: c.Guaranteed * l.part * saved.Seconds(), scale: 1}
		if l.emptied != never {
			s.at = l.emptied
			s.empty()
		}
		l.states[i] = s
	}
	l.refill(c, s, now)
	return c, s
}

// refill brings a state up to now.
func (l *Ledger) refill(c *Terms, s *state, now time.Duration) {
	if dt := (now - s.at).Seconds(); dt > 0 {
		s.at = now
		s.tokens = min(l.burst(c), s.tokens+c.Rate*l.part*dt)
		s.work = min(c.Limit*l.part, s.work+c.Limit*l.part*dt)
		s.bytes = min(c.Bandwidth*l.part, s.bytes+c.Bandwidth*l.part*dt)
		g := c.Guaranteed * l.part * s.scale
		if s.kept < 0 { // debt is paid back in time, whatever the fleet can keep
			g = max(g, c.Guaranteed*l.part*debtPart)
		}
		s.kept = min(max(g*saved.Seconds(), min(s.kept, 0)), s.kept+g*dt)
		s.lent = min(s.share*2*tick.Seconds(), s.lent+s.share*dt)
		if c.Window > 0 {
			f := math.Exp(-dt / c.Window.Seconds())
			s.firsts, s.furthers = s.firsts*f, s.furthers*f
		}
	}
}

// clock is the time that counts: never earlier than one seen before.
func (l *Ledger) clock(now time.Duration) time.Duration {
	l.now = max(l.now, now)
	return l.now
}

// Admit decides on a request of a contract (-1: of none) and charges it. Hint is its expected cost in seconds, 0 where
// none was told; repeat says that its client has asked before. A request that is let in ends by Done.
func (l *Ledger) Admit(now time.Duration, contract int, class string, hint float64, repeat bool) Verdict {
	now = l.clock(now)
	v := Verdict{Contract: contract}
	if contract < 0 {
		v.Rule = None
		return v
	}
	c, s := l.state(contract, now)
	s.used = now
	if !s.active {
		s.active = true
		l.active = append(l.active, contract)
	}
	cost := s.estimate(hint)
	s.asked += cost
	if v.Rule, v.RetryAfter = l.own(c, s, class, repeat); v.Rule == Kept {
		v.Borrowed, v.Rule, v.RetryAfter = l.fleet(c, s)
	}
	if v.Rule != Kept {
		s.refused[slices.Index(Rules, v.Rule)]++
		v.RetryAfter = min(v.RetryAfter, longAgo)
		return v
	}
	v.Cost, v.state = cost, s
	s.admitted++
	s.inFlight++
	if c.Rate > 0 {
		s.tokens--
	}
	if repeat {
		s.furthers++
	} else {
		s.firsts++
	}
	s.work -= cost
	if v.Borrowed {
		s.lent -= cost
	} else {
		s.kept -= cost
	}
	l.charged += cost
	return v
}

// estimate is what a request is charged at its arrival: what its contract's requests have cost of late, so that a hint that
// tells too little does not pay; its hint before any was measured.
func (s *state) estimate(hint float64) float64 {
	switch {
	case !(hint > 0) && s.cost == 0:
		return firstHint
	case s.cost == 0:
		return max(minHint, hint)
	}
	return max(minHint, s.cost)
}

// own decides by the contract's own bounds.
func (l *Ledger) own(c *Terms, s *state, class string, repeat bool) (Rule, time.Duration) {
	switch {
	case c.Classes != nil && !c.Classes[class]:
		return Service, longAgo
	case c.Rate > 0 && s.tokens < 1:
		return Rate, wait((1 - s.tokens) / (c.Rate * l.part))
	case c.InFlight > 0 && float64(s.inFlight) >= max(1, float64(c.InFlight)*l.part):
		return InFlight, wait(max(minHint, s.cost)) // about when one of them is done
	case repeat && c.Bounded && !l.further(c, s):
		return Attempts, wait(c.Window.Seconds() / 4)
	case c.Limit > 0 && s.work <= 0:
		return Work, wait(-s.work/(c.Limit*l.part) + minHint)
	}
	return Kept, 0
}

// fleet decides by what the fleet can bear: without pressure all is let in, under it what is guaranteed and what is lent.
func (l *Ledger) fleet(c *Terms, s *state) (borrowed bool, rule Rule, after time.Duration) {
	switch {
	case math.IsInf(l.allowed, 1):
		return false, Kept, 0
	case s.kept > 0: // it may end in debt by one request, which the refill pays back
		return false, Kept, 0
	case s.lent > 0:
		return true, Kept, 0
	}
	l.boundAt = l.now
	back := math.Inf(1)
	if g := c.Guaranteed * l.part * s.scale; g > 0 {
		back = -s.kept / g
	}
	if s.share > 0 {
		back = min(back, -s.lent/s.share)
	}
	return false, Fleet, max(tick, wait(min(back, 1)))
}

func wait(seconds float64) time.Duration {
	return time.Duration(min(max(seconds, 0), longAgo.Seconds()) * float64(time.Second))
}

// further tells whether one more repeat or further attempt is within the budget.
func (l *Ledger) further(c *Terms, s *state) bool {
	return s.furthers+1 <= c.Ratio*s.firsts+c.Floor*l.part*c.Window.Seconds()
}

// Further tells whether a request of a contract may be sent once more, and charges it if so. The policy asks last of
// all: it says whether the class allows it.
func (l *Ledger) Further(now time.Duration, contract int, class string) bool {
	if contract < 0 || contract >= len(l.states) {
		return true
	}
	c, s := l.state(contract, l.clock(now))
	if c.Retries != nil && !c.Retries[class] {
		return false
	}
	if !c.Bounded {
		return true
	}
	if !l.further(c, s) {
		return false
	}
	s.furthers++
	return true
}

// granted is the contract that a request was let in by, refilled up to now: the one that bears its name where it was removed and
// made again, and what is remembered of one that has gone. Nil: nothing of it counts any more.
func (l *Ledger) granted(now time.Duration, name string, v Verdict) (*Terms, *state) {
	if s := v.state; s != nil {
		if s.slot == forgotten {
			return nil, nil
		}
		if r := l.removed.byName[name]; r != nil && r.state == s {
			l.refill(&r.terms, s, now)
			return &r.terms, s
		}
		if s.slot < len(l.states) && l.states[s.slot] == s {
			return l.state(s.slot, now)
		}
	}
	if i, known := l.table.slots[name]; known && l.states[i] != nil {
		return l.state(i, now)
	}
	return nil, nil
}

// Pace charges bytes of a tunnel to the contract that it was let in by, and tells how long it is to wait before it passes any
// more. A contract that has gone bounds nothing.
func (l *Ledger) Pace(now time.Duration, name string, v Verdict, bytes int) time.Duration {
	i, known := l.table.slots[name]
	if !known || l.states[i] == nil || l.table.terms[i].Bandwidth <= 0 {
		return 0
	}
	c, s := l.state(i, l.clock(now))
	s.bytes -= float64(bytes)
	return wait(-s.bytes / (c.Bandwidth * l.part))
}

// Done ends a request that was let in, and corrects its charge by the server-seconds that its attempts really took. Name
// is that of the contract that it was let in by: one that has gone and is not remembered is of no more interest.
func (l *Ledger) Done(now time.Duration, name string, v Verdict, took float64) {
	c, s := l.granted(l.clock(now), name, v)
	if s == nil {
		return
	}
	s.inFlight = max(0, s.inFlight-1)
	if took = max(0, min(took, 3600)); took > 0 { // one that was never sent tells nothing of the others
		if s.cost == 0 {
			s.cost = took
		}
		s.cost += (took - s.cost) * costPart
	}
	more := took - v.Cost
	s.work = min(c.Limit*l.part, max(s.work-more, -debtMost*c.Limit*l.part))
	if v.Borrowed {
		s.lent = min(s.lent-more, s.share*2*tick.Seconds())
	} else if g := c.Guaranteed * l.part; g > 0 {
		s.kept = min(g*saved.Seconds(), max(s.kept-more, -debtMost*g))
	}
	l.charged += more
}

// Look tells the ledger what the node sees of the fleet: the pressure, from 0 (none) to 1. It is
// to be called at least every 50 ms while requests come; a call too many costs nothing.
func (l *Ledger) Look(now time.Duration, pressure float64) {
	now = l.clock(now)
	dt := (now - l.tickAt).Seconds()
	if dt < tick.Seconds() {
		return
	}
	l.tickAt = now
	f := math.Exp(-dt / usedTau)
	l.inUse = l.inUse*f + max(0, l.charged)/dt*(1-f)
	l.charged = 0
	switch {
	case l.alone(): // nobody to be kept from harm
		l.allowed, l.calm = math.Inf(1), 0
	case pressure > atEase:
		l.calm = 0
		if now-l.cutAt >= cutEvery {
			l.cutAt, l.boundAt = now, max(l.boundAt, now-easeAfter/2)
			l.allowed = max(min(l.allowed, l.inUse)*(1-cut*min(1, pressure)), 1e-3)
		}
	case !math.IsInf(l.allowed, 1):
		l.calm++
		l.allowed *= math.Pow(1+min(growthMost, growthStep*l.calm), dt/tick.Seconds())
		if now-l.boundAt > easeAfter {
			l.allowed = math.Inf(1) // it bounds nobody
		}
	}
	l.lend(now, dt)
}

// alone tells whether at most one contract asks for anything.
func (l *Ledger) alone() bool {
	n := 0
	for _, i := range l.active {
		if s := l.states[i]; s.asked > 0 || s.demand > alike {
			n++
		}
	}
	return n <= 1
}

// lend shares out what may be used: first to each what is guaranteed and asked for, by criticality where that is too
// much; then what is left by weight, to nobody more than it asks for (max-min fair).
func (l *Ledger) lend(now time.Duration, dt float64) {
	f := math.Exp(-dt / demandTau)
	kept := l.active[:0]
	for _, i := range l.active {
		s := l.states[i]
		s.demand = s.demand*f + s.asked/dt*(1-f)
		s.asked = 0
		if now-s.used > activeFor {
			s.active, s.share, s.demand = false, 0, 0
			continue
		}
		kept = append(kept, i)
	}
	l.active = kept
	for _, i := range l.active {
		l.states[i].share, l.states[i].scale = 0, 1
	}
	if math.IsInf(l.allowed, 1) {
		return
	}
	left := l.allowed
	for rank := int(Critical); rank >= int(Sheddable); rank-- {
		need := 0.0
		for _, i := range l.active {
			if c := &l.table.terms[i]; int(c.Criticality) == rank {
				need += min(c.Guaranteed*l.part, l.states[i].demand)
			}
		}
		for _, i := range l.active {
			if c := &l.table.terms[i]; int(c.Criticality) == rank && need > left {
				l.states[i].scale = left / need
			}
		}
		left = max(0, left-need)
	}
	for _, i := range l.active { // what owners don't ask for may be lent, but for what they keep back
		c, s := &l.table.terms[i], l.states[i]
		left -= (1 - c.Lends) * max(0, c.Guaranteed*l.part-s.demand)
	}
	left = max(0, left) * lendMost
	for open := slices.Clone(l.active); len(open) > 0 && left > 1e-9; {
		weights := 0.0
		for _, i := range open {
			weights += l.weight(i)
		}
		level, rest := left/weights, open[:0]
		for _, i := range open {
			s := l.states[i]
			wants := max(0, s.demand*1.1-l.table.terms[i].Guaranteed*l.part-s.share)
			if give := level * l.weight(i); wants <= give {
				s.share += wants
				left -= wants
			} else {
				rest = append(rest, i)
			}
		}
		if len(rest) == len(open) || len(rest) == 0 {
			for _, i := range rest {
				l.states[i].share += level * l.weight(i)
			}
			break
		}
		open = rest
	}
}

func (l *Ledger) weight(i int) float64 { return max(1e-6, l.table.terms[i].Weight) }

// Level is what is left of a contract at this node, for those who ask.
type Level struct {
	Name       string  `json:"name"`
	Active     bool    `json:"active"`
	InFlight   int     `json:"in_flight"`
	Tokens     float64 `json:"rate_tokens"`
	Work       float64 `json:"work_left"`
	Kept       float64 `json:"guarantee_left"`
	Share      float64 `json:"may_borrow"`
	Demand     float64 `json:"demand"`
	Firsts     float64 `json:"first_tries"`
	Furthers   float64 `json:"further_tries"`
	MeanCost   float64 `json:"mean_cost_s"`
	Admitted   uint64  `json:"admitted"`
	RefusedBy  []Count `json:"refused"`
	Guaranteed float64 `json:"guaranteed"`
}

// Count is how often a rule has refused.
type Count struct {
	Rule Rule   `json:"rule"`
	N    uint64 `json:"n"`
}

// Level is what is left of the i-th contract.
func (l *Ledger) Level(now time.Duration, i int) Level {
	c, s := l.state(i, l.clock(now))
	v := Level{Name: c.Name, Active: s.active, InFlight: s.inFlight, Tokens: s.tokens, Work: s.work, Kept: s.kept, Share: s.share,
		Demand: s.demand, Firsts: s.firsts, Furthers: s.furthers, MeanCost: s.cost, Admitted: s.admitted,
		Guaranteed: c.Guaranteed * l.part}
	for k, n := range s.refused {
		if n > 0 {
			v.RefusedBy = append(v.RefusedBy, Count{Rules[k], n})
		}
	}
	return v
}

// Allowed is the server-seconds a second that all may use together, infinite at ease; InUse what they do.
func (l *Ledger) Allowed() float64 { return l.allowed }
func (l *Ledger) InUse() float64   { return l.inUse }

// Levels are those of the contracts that were used, at most so many.
func (l *Ledger) Levels(now time.Duration, most int) []Level {
	var all []Level
	for i, s := range l.states {
		if s != nil && len(all) < most {
			all = append(all, l.Level(now, i))
		}
	}
	return all
}

// Try tells what Admit would, and charges nothing.
func (l *Ledger) Try(now time.Duration, contract int, class string, repeat bool) Verdict {
	c, s := l.state(contract, l.clock(now))
	v := Verdict{Contract: contract}
	if v.Rule, v.RetryAfter = l.own(c, s, class, repeat); v.Rule == Kept {
		bound := l.boundAt
		v.Borrowed, v.Rule, v.RetryAfter = l.fleet(c, s)
		l.boundAt = bound // nobody was refused
	}
	return v
}
