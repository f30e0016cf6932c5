package contract

import (
	"crypto/sha256"
	"fmt"
	"slices"
	"time"
)

// Change is a change to the contracts of a table in place. Its cost depends on its own size, not on that of the table.
type Change struct {
	Put        []Terms  // contracts to add, or to replace by name; their terms must be valid (Terms.Check)
	Removed    []string // names of contracts to remove; unknown names are ignored
	EvenShares bool     // whether nodes enforce even shares from now on, as in Table.EvenShares
}

// ChangeError describes why a change is invalid.
type ChangeError struct {
	Name  string // name of the contract at fault
	Field string // name of the field in configuration files; empty: the contract as a whole
	Why   string
}

// Error implements error.
func (e *ChangeError) Error() string {
	if e.Field == "" {
		return fmt.Sprintf("contract %q: %s", e.Name, e.Why)
	}
	return fmt.Sprintf("contract %q: %s: %s", e.Name, e.Field, e.Why)
}

// Check reports whether a change can be applied: its terms are valid, it names no contract twice, and once it is applied
// no two contracts are for exactly the same callers or both the default. It does not modify the table. An error is a
// *ChangeError.
func (t *Table) Check(c *Change) error {
	replaced := make(map[string]bool, len(c.Put)+len(c.Removed)) // contracts whose current terms no longer apply
	for _, name := range c.Removed {
		replaced[name] = true
	}
	for i := range c.Put {
		if name := c.Put[i].Name; replaced[name] {
			return &ChangeError{name, "", "is put twice, or both put and removed"}
		}
		replaced[c.Put[i].Name] = true
	}
	defaultName := ""
	if t.defaultSlot >= 0 && !replaced[t.terms[t.defaultSlot].Name] {
		defaultName = t.terms[t.defaultSlot].Name
	}
	matches := make(map[Match]int, len(c.Put)) // matches of this change, with the index of their contract
	for i := range c.Put {
		p := &c.Put[i]
		if field, why := p.Check(); field != "" {
			return &ChangeError{p.Name, field, why}
		}
		if len(p.Matches) == 0 {
			if defaultName != "" {
				return &ChangeError{p.Name, "match", fmt.Sprintf("contract %q is for everybody else already", defaultName)}
			}
			defaultName = p.Name
		}
		for k := range p.Matches {
			m := &p.Matches[k]
			field := fmt.Sprintf("match[%d]", k)
			if m.specificity() == 0 {
				return &ChangeError{p.Name, field, "is empty"}
			}
			owner := ""
			if other, dup := matches[*m]; dup && other != i {
				owner = c.Put[other].Name
			} else if at := t.slotOf(m); at >= 0 && !replaced[t.terms[at].Name] {
				owner = t.terms[at].Name
			}
			if owner != "" {
				return &ChangeError{p.Name, field, fmt.Sprintf("contract %q is for the same callers", owner)}
			}
			matches[*m] = i
		}
	}
	return nil
}

// candidates returns the head of the candidate list for a match, keyed by its most specific field; nil: empty.
func (t *Table) candidates(m *Match) *candidate {
	switch {
	case m.Token != [sha256.Size]byte{}:
		return t.byToken[m.Token]
	case m.Header != "":
		return t.byHeader[headerKey{m.Header, m.Value}]
	case m.Tenant != "":
		return t.byTenant[m.Tenant]
	}
	return t.byRange[m.From]
}

// setCandidates replaces the head of the candidate list for a match; nil removes the list.
func (t *Table) setCandidates(m *Match, head *candidate) {
	switch {
	case m.Token != [sha256.Size]byte{}:
		setOrDelete(t.byToken, m.Token, head)
	case m.Header != "":
		setOrDelete(t.byHeader, headerKey{m.Header, m.Value}, head)
	case m.Tenant != "":
		setOrDelete(t.byTenant, m.Tenant, head)
	default:
		setOrDelete(t.byRange, m.From, head)
	}
}

// setOrDelete sets the list head for a key, or deletes the key if the head is nil.
func setOrDelete[K comparable](in map[K]*candidate, key K, head *candidate) {
	if head == nil {
		delete(in, key)
	} else {
		in[key] = head
	}
}

// slotOf returns the slot of the contract that has exactly this match; -1: none. It searches the matches with the same
// most specific field, as a lookup does.
func (t *Table) slotOf(m *Match) int {
	for k := t.candidates(m); k != nil; k = k.next {
		if *k.match == *m {
			return int(k.slot)
		}
	}
	return -1
}

// index adds the contract in a slot to the lookup indexes. Its name and callers must be unique.
func (t *Table) index(i int) {
	c := &t.terms[i]
	t.slotByName[c.Name] = i
	if len(c.Matches) == 0 {
		t.defaultSlot = i
	}
	for k := range c.Matches {
		m := &c.Matches[k]
		if t.slotOf(m) >= 0 {
			continue // the contract lists the same match twice
		}
		added := &candidate{slot: int32(i), specificity: int32(m.specificity()), match: m}
		if head := t.candidates(m); head == nil {
			t.setCandidates(m, added)
		} else {
			for head.next != nil { // append, so that earlier candidates are found first
				head = head.next
			}
			head.next = added
		}
		t.countLookupKey(m, true)
	}
}

// unindex removes the contract in a slot from the lookup indexes.
func (t *Table) unindex(i int) {
	c := &t.terms[i]
	delete(t.slotByName, c.Name)
	if t.defaultSlot == i {
		t.defaultSlot = -1
	}
	for k := range c.Matches {
		m := &c.Matches[k]
		head := t.candidates(m)
		for at := &head; *at != nil; at = &(*at).next {
			if (*at).match == m {
				*at = (*at).next
				t.setCandidates(m, head)
				t.countLookupKey(m, false)
				break
			}
		}
	}
}

// countLookupKey updates what lookups iterate over: the header names and the prefix lengths in use.
func (t *Table) countLookupKey(m *Match, added bool) {
	switch {
	case m.Token != [sha256.Size]byte{}:
	case m.Header != "":
		if added {
			t.headerNames.add(m.Header)
		} else {
			t.headerNames.remove(m.Header)
		}
	case m.Tenant != "":
	default:
		lengths := &t.prefixLengths4
		if !m.From.Addr().Is4() {
			lengths = &t.prefixLengths6
		}
		if added {
			lengths.add(m.From.Bits())
		} else {
			lengths.remove(m.From.Bits())
		}
	}
}

// ApplyChange applies a change that has passed Table.Check. From the first change on, of two equally specific matches
// the contract wins whose name sorts first, so that nodes agree whatever sequence of changes led to their terms.
// A contract that the change does not name keeps its slot and its spent budgets. A replaced contract keeps what it has
// spent, clamped to its new limits. A contract that was removed and is added again continues from what it had left,
// refilled for the time in between; see removedContracts.
func (l *Ledger) ApplyChange(now time.Duration, c *Change) {
	now = l.monotonic(now)
	t := l.table
	t.tiesByName, t.EvenShares = true, c.EvenShares
	for _, name := range c.Removed {
		i, known := t.slotByName[name]
		if !known {
			continue
		}
		t.unindex(i)
		if s := l.states[i]; s != nil {
			l.refill(&t.terms[i], s, now)
			l.removed.add(now, &t.terms[i], s)
		}
		t.terms[i], l.states[i] = Terms{}, nil
		t.freeSlots = append(t.freeSlots, i)
	}
	if more := len(c.Put) - len(t.freeSlots); more > 0 {
		t.terms, l.states = slices.Grow(t.terms, more), slices.Grow(l.states, more)
	}
	slots := make([]int, len(c.Put))
	for k := range c.Put { // unindex all replaced contracts first: callers may move from one contract to another
		slots[k] = -1
		if i, known := t.slotByName[c.Put[k].Name]; known {
			if l.states[i] != nil {
				l.refilled(i, now)
			}
			t.unindex(i)
			slots[k] = i
		}
	}
	for k, i := range slots {
		var old *Terms
		if i >= 0 {
			before := t.terms[i]
			old = &before
		} else {
			i = l.allocateSlot()
			if e := l.removed.take(c.Put[k].Name, now, l); e != nil {
				old, l.states[i], e.state.slot = &e.terms, e.state, i
				e.state = nil
			}
		}
		t.terms[i] = c.Put[k]
		t.index(i)
		if s := l.states[i]; s != nil {
			l.clampToTerms(old, &t.terms[i], s)
		}
	}
	l.active = slices.DeleteFunc(l.active, func(i int) bool { return l.states[i] == nil || !l.states[i].active })
	l.removed.prune(now)
}

// allocateSlot returns a free slot, and extends the table if there is none.
func (l *Ledger) allocateSlot() (i int) {
	t := l.table
	if n := len(t.freeSlots); n > 0 {
		i, t.freeSlots = t.freeSlots[n-1], t.freeSlots[:n-1]
		return i
	}
	t.terms, l.states = append(t.terms, Terms{}), append(l.states, nil)
	return len(t.terms) - 1
}

// clampToTerms limits what a contract has left to its current terms. Where the budget of work changed, its debt is
// limited to what the new budget could have accrued.
func (l *Ledger) clampToTerms(old, c *Terms, s *state) {
	s.rateTokens = min(s.rateTokens, l.burst(c))
	s.workLeft = min(s.workLeft, c.Limit*l.nodeShare)
	s.bytesLeft = min(s.bytesLeft, c.Bandwidth*l.nodeShare)
	s.guaranteeLeft = min(s.guaranteeLeft, c.Guaranteed*l.nodeShare*guaranteeCarryOver.Seconds())
	if old.Limit != c.Limit {
		s.workLeft = max(s.workLeft, -maxDebtSeconds*c.Limit*l.nodeShare)
	}
	if old.Guaranteed != c.Guaranteed {
		s.guaranteeLeft = max(s.guaranteeLeft, -maxDebtSeconds*c.Guaranteed*l.nodeShare)
	}
}

const (
	// maxRemoved is the number of removed contracts whose state is retained.
	maxRemoved = 1024
	// removedRetention is how long the state of a removed contract is retained.
	removedRetention = 10 * time.Minute
	// forgottenSlot marks a state that has been discarded.
	forgottenSlot = -1
)

// removedContracts retains the state of contracts that a change removed, so that a contract added again under the same
// name still owes its debts and gets no second burst, and so that requests that outlive their contract are counted. It
// is bounded: above maxRemoved the oldest is discarded. A contract that is added again after that, or after
// removedRetention, starts as a new one: debts and spent burst are forgiven, and requests still in flight from its
// predecessor are not counted. It belongs to a Ledger and is protected by the same lock.
type removedContracts struct {
	byName      map[string]*removedEntry
	oldestFirst []*removedEntry // in the order of removal; an entry without a state was taken out
}

// removedEntry is the retained state of one removed contract.
type removedEntry struct {
	terms     Terms // Matches is nil
	state     *state
	removedAt time.Duration
}

// add retains a contract's state. The contract no longer takes part in the redistribution of unused quota.
func (r *removedContracts) add(now time.Duration, c *Terms, s *state) {
	s.active, s.borrowRate, s.demand, s.requestedWork, s.guaranteeScale = false, 0, 0, 0, 1
	e := &removedEntry{*c, s, now}
	e.terms.Matches = nil
	if r.byName == nil {
		r.byName = map[string]*removedEntry{}
	}
	r.byName[c.Name] = e
	r.oldestFirst = append(r.oldestFirst, e)
}

// take removes and returns the entry of a contract that is added again, refilled up to now by its former terms; nil:
// there is none. The caller takes over its state and sets the entry's state to nil.
func (r *removedContracts) take(name string, now time.Duration, l *Ledger) *removedEntry {
	e := r.byName[name]
	if e == nil {
		return nil
	}
	if now-e.removedAt > removedRetention {
		r.forget(e)
		return nil
	}
	l.refill(&e.terms, e.state, now)
	delete(r.byName, name)
	return e
}

// RemovedContract holds the terms of a removed contract that determine how its state refills, for a successor process.
// The names in the tags are the stored format.
type RemovedContract struct {
	SinceRemoval time.Duration `cbor:"Ago"` // time since the removal
	// As in Terms.
	Rate        float64       `cbor:"Rate"`
	Burst       float64       `cbor:"Burst"`
	Limit       float64       `cbor:"Limit"`
	Bandwidth   float64       `cbor:"Bandwidth"`
	Guaranteed  float64       `cbor:"Guaranteed"`
	RetryWindow time.Duration `cbor:"Window"`
}

// states returns the retained states, refilled up to now, the oldest first.
func (r *removedContracts) states(now time.Duration, l *Ledger) (all []ContractState) {
	for _, e := range r.oldestFirst {
		if e.state == nil || now-e.removedAt > removedRetention {
			continue
		}
		c := &e.terms
		l.refill(c, e.state, now)
		exported := e.state.export(c.Name)
		exported.Removed = &RemovedContract{now - e.removedAt, c.Rate, c.Burst, c.Limit, c.Bandwidth, c.Guaranteed, c.RetryWindow}
		all = append(all, exported)
	}
	return all
}

// restore returns the entry for the state that another process handed over of a contract that is not in force here, and
// creates it if needed. If the contract was still in force there, its terms are unknown and nothing refills until it is
// added again. It returns nil if there is nothing to retain.
func (r *removedContracts) restore(now time.Duration, exported *ContractState) (*Terms, *state) {
	c, at := Terms{Name: exported.Name}, now
	if g := exported.Removed; g != nil {
		c.Rate, c.Burst, c.Limit, c.Bandwidth, c.Guaranteed, c.RetryWindow = g.Rate, g.Burst, g.Limit, g.Bandwidth, g.Guaranteed, g.RetryWindow
		at = now - max(g.SinceRemoval, 0)
	}
	if field, _ := c.Check(); field != "" || now-at > removedRetention {
		return nil, nil
	}
	e := r.byName[exported.Name]
	if e == nil { // otherwise it was removed here too, or was restored before
		r.add(at, &c, &state{refilledAt: now})
		e = r.byName[exported.Name]
	} else if exported.Removed != nil {
		e.terms = c
	}
	e.state.refilledAt = now
	return &e.terms, e.state
}

// forget discards an entry and marks its state, which requests in flight may still refer to.
func (r *removedContracts) forget(e *removedEntry) {
	delete(r.byName, e.terms.Name)
	e.state.slot, e.state = forgottenSlot, nil
}

// prune discards the oldest entries that exceed the bounds on number and age. It looks only at the head of the list, so
// that the cost of a change depends on what it removed.
func (r *removedContracts) prune(now time.Duration) {
	for len(r.oldestFirst) > 0 {
		e := r.oldestFirst[0]
		if e.state != nil {
			if len(r.byName) <= maxRemoved && now-e.removedAt <= removedRetention {
				break
			}
			r.forget(e)
		}
		r.oldestFirst[0] = nil
		r.oldestFirst = r.oldestFirst[1:]
	}
	if len(r.oldestFirst) > 2*maxRemoved { // most entries were taken out
		r.oldestFirst = slices.DeleteFunc(r.oldestFirst, func(e *removedEntry) bool { return e.state == nil })
	}
}
