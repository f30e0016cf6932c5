package contract

import (
	"math"
	"slices"
	"time"
)

// Rule names the rule by which a request was admitted or refused.
type Rule string

const (
	// Admitted means that no rule refused the request.
	Admitted Rule = ""
	// None: no contract is for this caller.
	None Rule = "none"
	// Service: the contract does not cover the request's class.
	Service Rule = "service"
	// Rate: the contract's request rate is exceeded.
	Rate Rule = "rate"
	// InFlight: the contract's limit of concurrent requests is reached.
	InFlight Rule = "in-flight"
	// Attempts: the contract's budget of retries and client repeats is used up.
	Attempts Rule = "attempts"
	// Work: the contract's budget of work is used up.
	Work Rule = "work"
	// Fleet: the fleet is under pressure and the contract's guarantee is used up.
	Fleet Rule = "fleet"
)

// Rules lists the rules that refuse requests. Refusals are counted by index into it.
var Rules = []Rule{None, Service, Rate, InFlight, Attempts, Work, Fleet}

// Why returns a sentence that explains a refusal by this rule; empty for Admitted.
func (r Rule) Why() string { return ruleSentences[r] }

// ruleSentences are sent to clients in the bodies of refusals.
var ruleSentences = map[Rule]string{
	None:     "no contract is for this caller",
	Service:  "the caller's contract does not name this class",
	Rate:     "the contract's rate is used up",
	InFlight: "the contract has as many requests in flight as it may",
	Attempts: "the contract's budget of repeats and further attempts is used up",
	Work:     "the contract's budget of work is used up",
	Fleet:    "the fleet is under pressure and the contract's guarantee is used up",
}

// Verdict is the decision on one request. The caller passes it back to Pace and Done.
type Verdict struct {
	Rule       Rule          // the rule that refused the request, or Admitted
	Contract   int           // slot of the contract; -1: none
	OverQuota  bool          // admitted on quota that other contracts leave unused, so it is shed first
	RetryAfter time.Duration // of a refusal: when a repeat may be admitted
	Cost       float64       // server-seconds charged on admission

	admittedBy *state // state that was charged; nil if refused
}

const (
	// tickInterval is how often the allowed work and the redistribution of unused quota are recomputed.
	tickInterval = 50 * time.Millisecond
	// inactiveAfter excludes contracts without a request for this long from the redistribution.
	inactiveAfter = 10 * time.Second
	// guaranteeCarryOver is how much unused guarantee a contract can accumulate, in time.
	guaranteeCarryOver = time.Second
	// maxDebtSeconds is how far a contract can go into debt, in seconds of its budget.
	maxDebtSeconds = 10.0
	// demandTimeConstant smooths the demand of each contract, in seconds.
	demandTimeConstant = 0.15
	// shareTimeConstant smooths this node's share of all traffic, in seconds.
	shareTimeConstant = 2.0
	// usageTimeConstant smooths the work in use by all contracts, in seconds.
	usageTimeConstant = 0.5
	// minPressure is the pressure (0 to 1) at or below which the fleet counts as not under pressure.
	minPressure = 0.02
	// growthStep is added to the growth factor of the allowed work for each tick without pressure.
	growthStep = 0.002
	// maxGrowth bounds the growth of the allowed work, as a fraction per tick.
	maxGrowth = 0.01
	// maxCut is the fraction by which one cut at full pressure reduces the allowed work.
	maxCut = 0.3
	// unlimitedAfter lifts the limit on the allowed work once it has refused nothing for this long.
	unlimitedAfter = time.Second
	// cutInterval is the minimum time between two cuts: queues take this long to show the effect of one.
	cutInterval = 250 * time.Millisecond
	// maxLendableShare is the fraction of unused quota that is lent; the rest covers changes in demand before the next
	// tick.
	maxLendableShare = 0.9
	// negligibleDemand counts as no demand, in server-seconds per second.
	negligibleDemand = 0.01
	// minRepaymentShare is the minimum fraction of a guarantee that repays its debt, however little the fleet can honor.
	minRepaymentShare = 0.1
	// costSampleWeight is the weight of one request in the mean cost of its contract.
	costSampleWeight = 0.03
	// minCost is the minimum charge of a request in server-seconds, so that none is free.
	minCost = 1e-4
	// defaultCost is the charge in server-seconds of a request without a hint while no cost has been measured.
	defaultCost = 0.05
	// maxRetryAfter is the upper bound of Verdict.RetryAfter.
	maxRetryAfter = time.Hour
	// never marks a time that has not occurred.
	never = math.MinInt64
)

// state holds what one contract has left at one node. Budgets refill lazily, when the state is accessed. Negative
// budgets are debts. It belongs to a Ledger and is protected by the same lock.
type state struct {
	slot           int           // slot of its contract; forgottenSlot: the state is discarded
	refilledAt     time.Duration // time up to which the budgets are refilled
	lastUsed       time.Duration // time of the last request
	active         bool          // whether the contract takes part in the redistribution of unused quota
	rateTokens     float64       // requests left of the rate
	inFlight       int
	firstAttempts  float64 // first attempts, decayed over the retry window
	retries        float64 // retries and client repeats, decayed over the retry window
	workLeft       float64 // server-seconds left of the work limit
	bytesLeft      float64 // bytes left of the bandwidth; tunnels wait while it is negative
	guaranteeLeft  float64 // server-seconds left of the guarantee
	borrowedLeft   float64 // server-seconds left of the quota borrowed from others
	borrowRate     float64 // server-seconds per second that the contract may currently borrow
	guaranteeScale float64 // fraction of the guarantee that the fleet can honor
	demand         float64 // smoothed server-seconds per second that the contract requests
	requestedWork  float64 // server-seconds requested since the last tick
	meanCost       float64 // mean measured server-seconds of a request; 0: none measured yet
	admitted       uint64
	refused        [ruleCount]uint64 // refusals by index into Rules
}

const ruleCount = 7 // length of Rules, as an array size

// Ledger tracks what each contract has left at one node, and decides which requests are admitted. It is not safe for
// concurrent use: it is protected by the lock of its owner, who orders the node's events. Times are expected not to go
// backwards; an earlier time is taken as the latest one seen.
type Ledger struct {
	table        *Table
	states       []*state         // by slot; nil until its contract is first used
	active       []int            // slots of the contracts in the redistribution of unused quota
	removed      removedContracts // state of removed contracts
	latest       time.Duration    // latest time seen
	lastTick     time.Duration
	evenShare    float64       // this process's share if all nodes had equal shares
	nodeShare    float64       // share of the contracts that this process currently enforces
	shareUpdated time.Duration // time of the last update of nodeShare
	emptiedAt    time.Duration // unused contracts refill from empty since then; never: they start full
	processShare float64       // fraction of the node's share that this process enforces
	allowedWork  float64       // server-seconds per second that all contracts may use; infinite without pressure
	workInUse    float64       // smoothed server-seconds per second in use
	chargedWork  float64       // server-seconds charged since the last tick
	lastCut      time.Duration // time of the last cut of allowedWork
	lastRefusal  time.Duration // time of the last refusal because of allowedWork
	calmTicks    float64       // ticks without pressure since the last tick under pressure
}

// NewLedger returns a ledger with full budgets as of now, for a node that enforces an even share of each contract until
// SetTrafficShare corrects it.
func NewLedger(t *Table, now time.Duration, evenShare float64) *Ledger {
	return &Ledger{table: t, states: make([]*state, t.Len()), latest: now, lastTick: now, evenShare: evenShare, nodeShare: evenShare,
		shareUpdated: now, emptiedAt: never, processShare: 1, allowedWork: math.Inf(1)}
}

// ContractState holds what a contract has left, for a successor process. The names in the tags are the
// stored format.
type ContractState struct {
	Name string `cbor:"Name"`
	// Left of the rate, the work limit, the bandwidth and the guarantee; negative: debt.
	RateTokens    float64 `cbor:"Tokens"`
	WorkLeft      float64 `cbor:"Work"`
	BytesLeft     float64 `cbor:"Bytes"`
	GuaranteeLeft float64 `cbor:"Kept"`
	// First attempts; retries and client repeats.
	FirstAttempts float64          `cbor:"Firsts"`
	Retries       float64          `cbor:"Furthers"`
	MeanCost      float64          `cbor:"Cost"`           // of a request
	Demand        float64          `cbor:"Demand"`         // smoothed
	Removed       *RemovedContract `cbor:"Gone,omitempty"` // nil: the contract is in force
}

// States returns the state of all contracts that have been used, followed by that of removed ones, the oldest first.
func (l *Ledger) States(now time.Duration) (all []ContractState) {
	now = l.monotonic(now)
	for i, s := range l.states {
		if s != nil {
			c, s := l.refilled(i, now)
			all = append(all, s.export(c.Name))
		}
	}
	return append(all, l.removed.states(now, l)...)
}

// export returns the state for a successor process.
func (s *state) export(name string) ContractState {
	return ContractState{Name: name, RateTokens: s.rateTokens, WorkLeft: s.workLeft, BytesLeft: s.bytesLeft, GuaranteeLeft: s.guaranteeLeft,
		FirstAttempts: s.firstAttempts, Retries: s.retries, MeanCost: s.meanCost, Demand: s.demand}
}

// Restore continues from the state of another process. Without credit only debts are restored, as that process may have
// spent budget since the state was taken. Contracts that the state does not name start empty, so that none gets a
// second burst. The state of a contract that is not in force here is retained as that of a removed one.
func (l *Ledger) Restore(now time.Duration, states []ContractState, credit bool) {
	now = l.monotonic(now)
	l.DropCredit(now)
	for k := range states {
		exported := &states[k]
		if i, known := l.table.slotByName[exported.Name]; known {
			c, s := l.refilled(i, now)
			l.restoreState(c, s, exported, credit)
		} else if c, s := l.removed.restore(now, exported); s != nil {
			l.restoreState(c, s, exported, credit)
			s.demand = 0 // a removed contract takes no part in the redistribution
		}
	}
	l.removed.prune(now)
}

// restoreState sets the budgets of one contract, limited to its terms here.
func (l *Ledger) restoreState(c *Terms, s *state, exported *ContractState, credit bool) {
	atMost := func(v, upper float64) float64 {
		if !credit {
			upper = 0
		}
		return min(v, upper)
	}
	s.rateTokens, s.workLeft = atMost(exported.RateTokens, l.burst(c)), atMost(exported.WorkLeft, c.Limit*l.nodeShare)
	s.bytesLeft, s.guaranteeLeft = atMost(exported.BytesLeft, c.Bandwidth*l.nodeShare),
		atMost(exported.GuaranteeLeft, c.Guaranteed*l.nodeShare*guaranteeCarryOver.Seconds())
	s.firstAttempts, s.retries, s.meanCost, s.demand = exported.FirstAttempts, exported.Retries, exported.MeanCost, exported.Demand
}

// DropCredit removes all unused budget, as another process has it now or had it before. Contracts that have not been
// used yet start empty and refill from now on, so that a hand-over gives no contract a second burst.
func (l *Ledger) DropCredit(now time.Duration) {
	l.emptiedAt = l.monotonic(now)
	for i, s := range l.states {
		if s != nil {
			_, s = l.refilled(i, l.monotonic(now))
			s.dropCredit()
		}
	}
	for _, r := range l.removed.byName {
		l.refill(&r.terms, r.state, l.latest)
		r.state.dropCredit()
	}
}

// dropCredit sets all positive budgets to 0; debts stay.
func (s *state) dropCredit() {
	s.rateTokens, s.workLeft, s.bytesLeft, s.guaranteeLeft = min(0, s.rateTokens), min(0, s.workLeft), min(0, s.bytesLeft),
		min(0, s.guaranteeLeft)
}

// SetProcessShare sets the fraction of this node's share that this process enforces, while another process of the node
// enforces the rest; 1: all of it.
func (l *Ledger) SetProcessShare(share float64) {
	f := share / l.processShare
	l.evenShare, l.nodeShare, l.processShare = l.evenShare*f, l.nodeShare*f, share
}

// Table returns the contracts in force.
func (l *Ledger) Table() *Table { return l.table }

// ReplaceTable puts a new table in force. Contracts keep their state by name; the state of removed ones is dropped.
// Requests in flight end by Done with the contract's name and the verdict that they were admitted with.
func (l *Ledger) ReplaceTable(t *Table) {
	old := map[string]*state{}
	for i, s := range l.states {
		if s != nil {
			old[l.table.terms[i].Name] = s
		}
	}
	l.table, l.states, l.active, l.removed = t, make([]*state, t.Len()), nil, removedContracts{}
	for i := range t.terms {
		if s := old[t.terms[i].Name]; s != nil {
			l.states[i], s.slot = s, i
			if s.active {
				l.active = append(l.active, i)
			}
			c := &t.terms[i]
			s.rateTokens = min(s.rateTokens, l.burst(c))
		}
	}
}

// SetTrafficShare moves the share of the contracts that this node enforces towards its observed share of all traffic.
// It follows within a few seconds, and stays between a quarter of the even share and the whole.
func (l *Ledger) SetTrafficShare(now time.Duration, share float64) {
	now = l.monotonic(now)
	dt := (now - l.shareUpdated).Seconds()
	if l.table.EvenShares {
		share = l.evenShare / l.processShare
	}
	if !(share >= 0) || dt < tickInterval.Seconds() {
		return
	}
	l.shareUpdated = now
	share *= l.processShare
	l.nodeShare += (min(l.processShare, max(l.evenShare/4, share)) - l.nodeShare) * (1 - math.Exp(-dt/shareTimeConstant))
}

// NodeShare returns the share of the contracts that this process of the node currently enforces.
func (l *Ledger) NodeShare() float64 { return l.nodeShare }

// burst returns how many requests of a contract this node admits at once: at least one, however small its share.
func (l *Ledger) burst(c *Terms) float64 { return max(1, c.Burst*l.nodeShare) }

// refilled returns a contract's terms and its state, refilled up to now. It creates the state on first use.
func (l *Ledger) refilled(i int, now time.Duration) (*Terms, *state) {
	c, s := &l.table.terms[i], l.states[i]
	if s == nil {
		s = &state{slot: i, refilledAt: now, rateTokens: l.burst(c), workLeft: c.Limit * l.nodeShare,
			bytesLeft: c.Bandwidth * l.nodeShare, guaranteeLeft: c.Guaranteed * l.nodeShare * guaranteeCarryOver.Seconds(), guaranteeScale: 1}
		if l.emptiedAt != never {
			s.refilledAt = l.emptiedAt
			s.dropCredit()
		}
		l.states[i] = s
	}
	l.refill(c, s, now)
	return c, s
}

// refill refills the budgets of a state up to now.
func (l *Ledger) refill(c *Terms, s *state, now time.Duration) {
	if dt := (now - s.refilledAt).Seconds(); dt > 0 {
		s.refilledAt = now
		s.rateTokens = min(l.burst(c), s.rateTokens+c.Rate*l.nodeShare*dt)
		s.workLeft = min(c.Limit*l.nodeShare, s.workLeft+c.Limit*l.nodeShare*dt)
		s.bytesLeft = min(c.Bandwidth*l.nodeShare, s.bytesLeft+c.Bandwidth*l.nodeShare*dt)
		g := c.Guaranteed * l.nodeShare * s.guaranteeScale
		if s.guaranteeLeft < 0 { // debt is repaid at a minimum rate, however little the fleet can honor
			g = max(g, c.Guaranteed*l.nodeShare*minRepaymentShare)
		}
		s.guaranteeLeft = min(max(g*guaranteeCarryOver.Seconds(), min(s.guaranteeLeft, 0)), s.guaranteeLeft+g*dt)
		s.borrowedLeft = min(s.borrowRate*2*tickInterval.Seconds(), s.borrowedLeft+s.borrowRate*dt)
		if c.RetryWindow > 0 {
			f := math.Exp(-dt / c.RetryWindow.Seconds())
			s.firstAttempts, s.retries = s.firstAttempts*f, s.retries*f
		}
	}
}

// monotonic returns now, or the latest time seen if now is earlier.
func (l *Ledger) monotonic(now time.Duration) time.Duration {
	l.latest = max(l.latest, now)
	return l.latest
}

// Admit decides on a request under the contract in a slot (-1: no contract) and charges it if admitted. Hint is its
// expected cost in seconds, 0 if not specified; repeat means that its client marked it as a repeat. An admitted request
// must be ended by Done.
func (l *Ledger) Admit(now time.Duration, contract int, class string, hint float64, repeat bool) Verdict {
	now = l.monotonic(now)
	v := Verdict{Contract: contract}
	if contract < 0 {
		v.Rule = None
		return v
	}
	c, s := l.refilled(contract, now)
	s.lastUsed = now
	if !s.active {
		s.active = true
		l.active = append(l.active, contract)
	}
	cost := s.expectedCost(hint)
	s.requestedWork += cost
	if v.Rule, v.RetryAfter = l.checkTerms(c, s, class, repeat); v.Rule == Admitted {
		v.OverQuota, v.Rule, v.RetryAfter = l.checkFleet(c, s)
	}
	if v.Rule != Admitted {
		s.refused[slices.Index(Rules, v.Rule)]++
		v.RetryAfter = min(v.RetryAfter, maxRetryAfter)
		return v
	}
	v.Cost, v.admittedBy = cost, s
	s.admitted++
	s.inFlight++
	if c.Rate > 0 {
		s.rateTokens--
	}
	if repeat {
		s.retries++
	} else {
		s.firstAttempts++
	}
	s.workLeft -= cost
	if v.OverQuota {
		s.borrowedLeft -= cost
	} else {
		s.guaranteeLeft -= cost
	}
	l.chargedWork += cost
	return v
}

// expectedCost returns the charge of a request on admission: the mean cost of its contract's recent requests, so that
// understating the hint has no benefit. The hint counts only until a cost has been measured.
func (s *state) expectedCost(hint float64) float64 {
	switch {
	case !(hint > 0) && s.meanCost == 0:
		return defaultCost
	case s.meanCost == 0:
		return max(minCost, hint)
	}
	return max(minCost, s.meanCost)
}

// checkTerms applies the contract's own limits.
func (l *Ledger) checkTerms(c *Terms, s *state, class string, repeat bool) (Rule, time.Duration) {
	switch {
	case c.Classes != nil && !c.Classes[class]:
		return Service, maxRetryAfter
	case c.Rate > 0 && s.rateTokens < 1:
		return Rate, waitDuration((1 - s.rateTokens) / (c.Rate * l.nodeShare))
	case c.InFlight > 0 && float64(s.inFlight) >= max(1, float64(c.InFlight)*l.nodeShare):
		return InFlight, waitDuration(max(minCost, s.meanCost)) // about when a request in flight ends
	case repeat && c.RetriesBounded && !l.retryWithinBudget(c, s):
		return Attempts, waitDuration(c.RetryWindow.Seconds() / 4)
	case c.Limit > 0 && s.workLeft <= 0:
		return Work, waitDuration(-s.workLeft/(c.Limit*l.nodeShare) + minCost)
	}
	return Admitted, 0
}

// checkFleet applies the limit on the allowed work. Without pressure everything is admitted; under pressure only what is
// guaranteed or borrowed.
func (l *Ledger) checkFleet(c *Terms, s *state) (overQuota bool, rule Rule, retryAfter time.Duration) {
	switch {
	case math.IsInf(l.allowedWork, 1):
		return false, Admitted, 0
	case s.guaranteeLeft > 0: // this may leave a debt of one request, which the refill repays
		return false, Admitted, 0
	case s.borrowedLeft > 0:
		return true, Admitted, 0
	}
	l.lastRefusal = l.latest
	retryIn := math.Inf(1)
	if g := c.Guaranteed * l.nodeShare * s.guaranteeScale; g > 0 {
		retryIn = -s.guaranteeLeft / g
	}
	if s.borrowRate > 0 {
		retryIn = min(retryIn, -s.borrowedLeft/s.borrowRate)
	}
	return false, Fleet, max(tickInterval, waitDuration(min(retryIn, 1)))
}

// waitDuration converts seconds to a duration between 0 and maxRetryAfter.
func waitDuration(seconds float64) time.Duration {
	return time.Duration(min(max(seconds, 0), maxRetryAfter.Seconds()) * float64(time.Second))
}

// retryWithinBudget reports whether the retry budget allows one more retry or client repeat.
func (l *Ledger) retryWithinBudget(c *Terms, s *state) bool {
	return s.retries+1 <= c.RetryRatio*s.firstAttempts+c.RetryFloor*l.nodeShare*c.RetryWindow.Seconds()
}

// AllowRetry reports whether a request of a contract may be retried, and charges the retry if so. It is to be called
// only after the policy has decided that the class allows the retry.
func (l *Ledger) AllowRetry(now time.Duration, contract int, class string) bool {
	if contract < 0 || contract >= len(l.states) {
		return true
	}
	c, s := l.refilled(contract, l.monotonic(now))
	if c.RetryClasses != nil && !c.RetryClasses[class] {
		return false
	}
	if !c.RetriesBounded {
		return true
	}
	if !l.retryWithinBudget(c, s) {
		return false
	}
	s.retries++
	return true
}

// admittedState returns the terms and the refilled state of the contract that admitted a request. If the contract was
// removed and added again, this is the contract that now has its name; if it was only removed, its retained state. It
// returns nil if the state has been discarded.
func (l *Ledger) admittedState(now time.Duration, name string, v Verdict) (*Terms, *state) {
	if s := v.admittedBy; s != nil {
		if s.slot == forgottenSlot {
			return nil, nil
		}
		if r := l.removed.byName[name]; r != nil && r.state == s {
			l.refill(&r.terms, s, now)
			return &r.terms, s
		}
		if s.slot < len(l.states) && l.states[s.slot] == s {
			return l.refilled(s.slot, now)
		}
	}
	if i, known := l.table.slotByName[name]; known && l.states[i] != nil {
		return l.refilled(i, now)
	}
	return nil, nil
}

// Pace charges bytes of a tunnel to the contract that admitted it, and returns how long the tunnel has to wait before it
// transfers more. A removed contract imposes no limit.
func (l *Ledger) Pace(now time.Duration, name string, v Verdict, bytes int) time.Duration {
	i, known := l.table.slotByName[name]
	if !known || l.states[i] == nil || l.table.terms[i].Bandwidth <= 0 {
		return 0
	}
	c, s := l.refilled(i, l.monotonic(now))
	s.bytesLeft -= float64(bytes)
	return waitDuration(-s.bytesLeft / (c.Bandwidth * l.nodeShare))
}

// Done ends an admitted request and corrects its charge to the server-seconds that its attempts actually took. Name is
// the name of the contract that admitted it; if that contract was removed and its state discarded, Done has no effect.
func (l *Ledger) Done(now time.Duration, name string, v Verdict, took float64) {
	c, s := l.admittedState(l.monotonic(now), name, v)
	if s == nil {
		return
	}
	s.inFlight = max(0, s.inFlight-1)
	if took = max(0, min(took, 3600)); took > 0 { // a request that was never sent is not a cost sample
		if s.meanCost == 0 {
			s.meanCost = took
		}
		s.meanCost += (took - s.meanCost) * costSampleWeight
	}
	excess := took - v.Cost
	s.workLeft = min(c.Limit*l.nodeShare, max(s.workLeft-excess, -maxDebtSeconds*c.Limit*l.nodeShare))
	if v.OverQuota {
		s.borrowedLeft = min(s.borrowedLeft-excess, s.borrowRate*2*tickInterval.Seconds())
	} else if g := c.Guaranteed * l.nodeShare; g > 0 {
		s.guaranteeLeft = min(g*guaranteeCarryOver.Seconds(), max(s.guaranteeLeft-excess, -maxDebtSeconds*g))
	}
	l.chargedWork += excess
}

// SetPressure updates the pressure that the node observes on the fleet, from 0 (none) to 1, and recomputes the allowed
// work and the redistribution of unused quota. It must be called at least every 50 ms while requests arrive; extra calls
// are cheap.
func (l *Ledger) SetPressure(now time.Duration, pressure float64) {
	now = l.monotonic(now)
	dt := (now - l.lastTick).Seconds()
	if dt < tickInterval.Seconds() {
		return
	}
	l.lastTick = now
	f := math.Exp(-dt / usageTimeConstant)
	l.workInUse = l.workInUse*f + max(0, l.chargedWork)/dt*(1-f)
	l.chargedWork = 0
	switch {
	case l.atMostOneUser(): // there is no other contract to protect
		l.allowedWork, l.calmTicks = math.Inf(1), 0
	case pressure > minPressure:
		l.calmTicks = 0
		if now-l.lastCut >= cutInterval {
			l.lastCut, l.lastRefusal = now, max(l.lastRefusal, now-unlimitedAfter/2)
			l.allowedWork = max(min(l.allowedWork, l.workInUse)*(1-maxCut*min(1, pressure)), 1e-3)
		}
	case !math.IsInf(l.allowedWork, 1):
		l.calmTicks++
		l.allowedWork *= math.Pow(1+min(maxGrowth, growthStep*l.calmTicks), dt/tickInterval.Seconds())
		if now-l.lastRefusal > unlimitedAfter {
			l.allowedWork = math.Inf(1) // the limit has had no effect
		}
	}
	l.redistribute(now, dt)
}

// atMostOneUser reports whether at most one contract has any demand.
func (l *Ledger) atMostOneUser() bool {
	n := 0
	for _, i := range l.active {
		if s := l.states[i]; s.requestedWork > 0 || s.demand > negligibleDemand {
			n++
		}
	}
	return n <= 1
}

// redistribute divides the allowed work among the active contracts: first each gets its demand up to its guarantee, in
// the order of criticality if that exceeds the allowed work; then the remainder is divided by weight, and none gets more
// than its demand (weighted max-min fairness).
func (l *Ledger) redistribute(now time.Duration, dt float64) {
	f := math.Exp(-dt / demandTimeConstant)
	stillActive := l.active[:0]
	for _, i := range l.active {
		s := l.states[i]
		s.demand = s.demand*f + s.requestedWork/dt*(1-f)
		s.requestedWork = 0
		if now-s.lastUsed > inactiveAfter {
			s.active, s.borrowRate, s.demand = false, 0, 0
			continue
		}
		stillActive = append(stillActive, i)
	}
	l.active = stillActive
	for _, i := range l.active {
		l.states[i].borrowRate, l.states[i].guaranteeScale = 0, 1
	}
	if math.IsInf(l.allowedWork, 1) {
		return
	}
	remaining := l.allowedWork
	for criticality := int(Critical); criticality >= int(Sheddable); criticality-- {
		need := 0.0
		for _, i := range l.active {
			if c := &l.table.terms[i]; int(c.Criticality) == criticality {
				need += min(c.Guaranteed*l.nodeShare, l.states[i].demand)
			}
		}
		for _, i := range l.active {
			if c := &l.table.terms[i]; int(c.Criticality) == criticality && need > remaining {
				l.states[i].guaranteeScale = remaining / need
			}
		}
		remaining = max(0, remaining-need)
	}
	for _, i := range l.active { // unused guarantees may be lent, except for the fraction that their owners reserve
		c, s := &l.table.terms[i], l.states[i]
		remaining -= (1 - c.LendableShare) * max(0, c.Guaranteed*l.nodeShare-s.demand)
	}
	remaining = max(0, remaining) * maxLendableShare
	for open := slices.Clone(l.active); len(open) > 0 && remaining > 1e-9; {
		weights := 0.0
		for _, i := range open {
			weights += l.weight(i)
		}
		level, unsatisfied := remaining/weights, open[:0]
		for _, i := range open {
			s := l.states[i]
			wants := max(0, s.demand*1.1-l.table.terms[i].Guaranteed*l.nodeShare-s.borrowRate)
			if give := level * l.weight(i); wants <= give {
				s.borrowRate += wants
				remaining -= wants
			} else {
				unsatisfied = append(unsatisfied, i)
			}
		}
		if len(unsatisfied) == len(open) || len(unsatisfied) == 0 {
			for _, i := range unsatisfied {
				l.states[i].borrowRate += level * l.weight(i)
			}
			break
		}
		open = unsatisfied
	}
}

// weight returns the weight of a contract in the redistribution; never 0, as shares are divided by the sum of weights.
func (l *Ledger) weight(i int) float64 { return max(1e-6, l.table.terms[i].Weight) }

// Status is the current state of a contract at this node, for operators.
type Status struct {
	Name          string         `json:"name"`
	Active        bool           `json:"active"`
	InFlight      int            `json:"in_flight"`
	RateTokens    float64        `json:"rate_tokens"`    // requests left of the rate
	WorkLeft      float64        `json:"work_left"`      // server-seconds left of the work limit
	GuaranteeLeft float64        `json:"guarantee_left"` // server-seconds left of the guarantee
	BorrowRate    float64        `json:"may_borrow"`     // server-seconds per second that it may borrow
	Demand        float64        `json:"demand"`         // smoothed server-seconds per second requested
	FirstAttempts float64        `json:"first_tries"`    // first attempts, decayed over the retry window
	Retries       float64        `json:"further_tries"`  // retries and client repeats, decayed over the retry window
	MeanCost      float64        `json:"mean_cost_s"`
	Admitted      uint64         `json:"admitted"`
	RefusedBy     []RefusalCount `json:"refused"`
	Guaranteed    float64        `json:"guaranteed"`
}

// RefusalCount is the number of requests that a rule has refused.
type RefusalCount struct {
	Rule  Rule   `json:"rule"`
	Count uint64 `json:"n"`
}

// Status returns the current state of the contract in slot i.
func (l *Ledger) Status(now time.Duration, i int) Status {
	c, s := l.refilled(i, l.monotonic(now))
	v := Status{Name: c.Name, Active: s.active, InFlight: s.inFlight, RateTokens: s.rateTokens, WorkLeft: s.workLeft, GuaranteeLeft: s.guaranteeLeft,
		BorrowRate: s.borrowRate, Demand: s.demand, FirstAttempts: s.firstAttempts, Retries: s.retries, MeanCost: s.meanCost,
		Admitted: s.admitted, Guaranteed: c.Guaranteed * l.nodeShare}
	for k, n := range s.refused {
		if n > 0 {
			v.RefusedBy = append(v.RefusedBy, RefusalCount{Rules[k], n})
		}
	}
	return v
}

// AllowedWork returns the server-seconds per second that all contracts may use together; infinite without pressure.
func (l *Ledger) AllowedWork() float64 { return l.allowedWork }

// WorkInUse returns the smoothed server-seconds per second that all contracts use.
func (l *Ledger) WorkInUse() float64 { return l.workInUse }

// Statuses returns the state of contracts that have been used, at most limit of them.
func (l *Ledger) Statuses(now time.Duration, limit int) []Status {
	var all []Status
	for i, s := range l.states {
		if s != nil && len(all) < limit {
			all = append(all, l.Status(now, i))
		}
	}
	return all
}

// Preview returns the verdict that Admit would return, without charging anything.
func (l *Ledger) Preview(now time.Duration, contract int, class string, repeat bool) Verdict {
	c, s := l.refilled(contract, l.monotonic(now))
	v := Verdict{Contract: contract}
	if v.Rule, v.RetryAfter = l.checkTerms(c, s, class, repeat); v.Rule == Admitted {
		lastRefusal := l.lastRefusal
		v.OverQuota, v.Rule, v.RetryAfter = l.checkFleet(c, s)
		l.lastRefusal = lastRefusal // a preview does not count as a refusal
	}
	return v
}
