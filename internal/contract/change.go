package contract

import (
	"crypto/sha256"
	"fmt"
	"slices"
	"time"
)

// Change is what becomes of the contracts of a table that is changed in place. It costs by what is in it, not by what there is.
type Change struct {
	Put  []Terms  // new ones, or those of a name that is there in place of what it stated; they must be sound (Terms.Check)
	Gone []string // names; one that is not there is of no interest
	Even bool     // nodes hand out even parts from now on, as Table.EvenParts has it
}

// ChangeError is what is wrong with a change.
type ChangeError struct {
	Name  string // of the contract at fault
	Field string // as files name it; empty: the contract as a whole
	Why   string
}

func (e *ChangeError) Error() string {
	if e.Field == "" {
		return fmt.Sprintf("contract %q: %s", e.Name, e.Why)
	}
	return fmt.Sprintf("contract %q: %s: %s", e.Name, e.Field, e.Why)
}

// Check tells whether a change fits the table: what it puts is sound and put once, no two contracts are for just the same callers
// or both for everybody once all of it is in force. It changes nothing. An error is a *ChangeError.
func (t *Table) Check(c *Change) error {
	moved := make(map[string]bool, len(c.Put)+len(c.Gone)) // what these state now counts no more
	for _, name := range c.Gone {
		moved[name] = true
	}
	for i := range c.Put {
		if name := c.Put[i].Name; moved[name] {
			return &ChangeError{name, "", "is put twice, or both put and gone"}
		}
		moved[c.Put[i].Name] = true
	}
	fallback := ""
	if t.fallback >= 0 && !moved[t.terms[t.fallback].Name] {
		fallback = t.terms[t.fallback].Name
	}
	matches := make(map[Match]int, len(c.Put)) // of this change
	for i := range c.Put {
		p := &c.Put[i]
		if field, why := p.Check(); field != "" {
			return &ChangeError{p.Name, field, why}
		}
		if len(p.Matches) == 0 {
			if fallback != "" {
				return &ChangeError{p.Name, "match", fmt.Sprintf("contract %q is for everybody else already", fallback)}
			}
			fallback = p.Name
		}
		for k := range p.Matches {
			m := &p.Matches[k]
			field := fmt.Sprintf("match[%d]", k)
			if m.rank() == 0 {
				return &ChangeError{p.Name, field, "is empty"}
			}
			by := ""
			if o, dup := matches[*m]; dup && o != i {
				by = c.Put[o].Name
			} else if at := t.owner(m); at >= 0 && !moved[t.terms[at].Name] {
				by = t.terms[at].Name
			}
			if by != "" {
				return &ChangeError{p.Name, field, fmt.Sprintf("contract %q is for the same callers", by)}
			}
			matches[*m] = i
		}
	}
	return nil
}

// list is the head of the list that a match is in, by its most specific field.
func (t *Table) list(m *Match) *candidate {
	switch {
	case m.Token != [sha256.Size]byte{}:
		return t.tokens[m.Token]
	case m.Header != "":
		return t.headers[header{m.Header, m.Value}]
	case m.Tenant != "":
		return t.tenants[m.Tenant]
	}
	return t.ranges[m.From]
}

// setList puts another head in its place; nil: the list is empty.
func (t *Table) setList(m *Match, k *candidate) {
	switch {
	case m.Token != [sha256.Size]byte{}:
		set(t.tokens, m.Token, k)
	case m.Header != "":
		set(t.headers, header{m.Header, m.Value}, k)
	case m.Tenant != "":
		set(t.tenants, m.Tenant, k)
	default:
		set(t.ranges, m.From, k)
	}
}

func set[K comparable](in map[K]*candidate, key K, k *candidate) {
	if k == nil {
		delete(in, key)
	} else {
		in[key] = k
	}
}

// owner is the contract that has just this match; -1: none. It costs by the matches that have its most specific field in common, as
// a look-up does.
func (t *Table) owner(m *Match) int {
	for k := t.list(m); k != nil; k = k.next {
		if *k.match == *m {
			return int(k.contract)
		}
	}
	return -1
}

// enter makes a slot's contract be found. Its name and callers must be its own.
func (t *Table) enter(i int) {
	c := &t.terms[i]
	t.slots[c.Name] = i
	if len(c.Matches) == 0 {
		t.fallback = i
	}
	for k := range c.Matches {
		m := &c.Matches[k]
		if t.owner(m) >= 0 {
			continue // it says so twice
		}
		at := &candidate{contract: int32(i), rank: int32(m.rank()), match: m}
		if head := t.list(m); head == nil {
			t.setList(m, at)
		} else {
			for head.next != nil { // behind those that came before
				head = head.next
			}
			head.next = at
		}
		t.count(m, true)
	}
}

// strike makes a slot's contract not be found any more.
func (t *Table) strike(i int) {
	c := &t.terms[i]
	delete(t.slots, c.Name)
	if t.fallback == i {
		t.fallback = -1
	}
	for k := range c.Matches {
		m := &c.Matches[k]
		head := t.list(m)
		for at := &head; *at != nil; at = &(*at).next {
			if (*at).match == m {
				*at = (*at).next
				t.setList(m, head)
				t.count(m, false)
				break
			}
		}
	}
}

// count keeps what look-ups go through: names of headers and lengths of prefixes.
func (t *Table) count(m *Match, more bool) {
	switch {
	case m.Token != [sha256.Size]byte{}:
	case m.Header != "":
		if more {
			t.names.add(m.Header)
		} else {
			t.names.remove(m.Header)
		}
	case m.Tenant != "":
	default:
		lengths := &t.lengths
		if !m.From.Addr().Is4() {
			lengths = &t.lengths6
		}
		if more {
			lengths.add(m.From.Bits())
		} else {
			lengths.remove(m.From.Bits())
		}
	}
}

// Change puts a change in force; it must fit the table (Table.Check). From the first one on, of two matches that are equally specific the
// contract counts whose name sorts first, so that nodes agree whatever changes brought them to their terms. A contract that it does not name keeps its number and all it
// has spent. One that states something else now keeps what it has spent, within its new bounds. One that was removed and is made
// again goes on from what it had left, refilled for the time between; see removals.
func (l *Ledger) Change(now time.Duration, c *Change) {
	now = l.clock(now)
	t := l.table
	t.byName, t.EvenParts = true, c.Even
	for _, name := range c.Gone {
		i, known := t.slots[name]
		if !known {
			continue
		}
		t.strike(i)
		if s := l.states[i]; s != nil {
			l.refill(&t.terms[i], s, now)
			l.removed.add(now, &t.terms[i], s)
		}
		t.terms[i], l.states[i] = Terms{}, nil
		t.free = append(t.free, i)
	}
	if more := len(c.Put) - len(t.free); more > 0 {
		t.terms, l.states = slices.Grow(t.terms, more), slices.Grow(l.states, more)
	}
	slots := make([]int, len(c.Put))
	for k := range c.Put { // all that is replaced goes first: callers may pass from one contract to another
		slots[k] = -1
		if i, known := t.slots[c.Put[k].Name]; known {
			if l.states[i] != nil {
				l.state(i, now)
			}
			t.strike(i)
			slots[k] = i
		}
	}
	for k, i := range slots {
		var old *Terms
		if i >= 0 {
			before := t.terms[i]
			old = &before
		} else {
			i = l.slot()
			if e := l.removed.take(c.Put[k].Name, now, l); e != nil {
				old, l.states[i], e.state.slot = &e.terms, e.state, i
				e.state = nil
			}
		}
		t.terms[i] = c.Put[k]
		t.enter(i)
		if s := l.states[i]; s != nil {
			l.bound(old, &t.terms[i], s)
		}
	}
	l.active = slices.DeleteFunc(l.active, func(i int) bool { return l.states[i] == nil || !l.states[i].active })
	l.removed.prune(now)
}

// slot is a free one.
func (l *Ledger) slot() (i int) {
	t := l.table
	if n := len(t.free); n > 0 {
		i, t.free = t.free[n-1], t.free[:n-1]
		return i
	}
	t.terms, l.states = append(t.terms, Terms{}), append(l.states, nil)
	return len(t.terms) - 1
}

// bound keeps what is left of a contract within what it states now: no more than it may have; and where it states another budget of
// work, no more debt than that could have made.
func (l *Ledger) bound(old, c *Terms, s *state) {
	s.tokens = min(s.tokens, l.burst(c))
	s.work = min(s.work, c.Limit*l.part)
	s.bytes = min(s.bytes, c.Bandwidth*l.part)
	s.kept = min(s.kept, c.Guaranteed*l.part*saved.Seconds())
	if old.Limit != c.Limit {
		s.work = max(s.work, -debtMost*c.Limit*l.part)
	}
	if old.Guaranteed != c.Guaranteed {
		s.kept = max(s.kept, -debtMost*c.Guaranteed*l.part)
	}
}

const (
	removedMost = 1024             // contracts that have gone of which it is remembered what they had left,
	removedFor  = 10 * time.Minute // for so long
	forgotten   = -1               // the slot of a state that counts no more
)

// removals are what contracts that were removed by a change had left, so that one that is made again under its name pays its debts
// and has no second burst, and that requests which outlive their contract are counted. Bounded: past removedMost the oldest goes. A
// contract that is made again after that, or after removedFor, begins as a new one: the debts and the spent burst of the one before
// are forgiven, and its requests that are still in flight are not counted among those of the new.
type removals struct {
	byName map[string]*removal
	order  []*removal // the oldest first; without a state: it was taken
}

type removal struct {
	terms Terms // without its matches
	state *state
	at    time.Duration
}

// add remembers a contract's state. It takes no part in lending meanwhile.
func (r *removals) add(now time.Duration, c *Terms, s *state) {
	s.active, s.share, s.demand, s.asked, s.scale = false, 0, 0, 0, 1
	e := &removal{*c, s, now}
	e.terms.Matches = nil
	if r.byName == nil {
		r.byName = map[string]*removal{}
	}
	r.byName[c.Name] = e
	r.order = append(r.order, e)
}

// take is what is remembered of a contract that is made again, refilled up to now by what it stated when it went; nil: nothing is. Its
// state is to be taken out.
func (r *removals) take(name string, now time.Duration, l *Ledger) *removal {
	e := r.byName[name]
	if e == nil {
		return nil
	}
	if now-e.at > removedFor {
		r.forget(e)
		return nil
	}
	l.refill(&e.terms, e.state, now)
	delete(r.byName, name)
	return e
}

// Gone is what a contract stated that was removed, as far as what it had left goes by it, for a process that goes on in this one's place.
type Gone struct {
	Ago                                       time.Duration // since it was removed
	Rate, Burst, Limit, Bandwidth, Guaranteed float64       // as in Terms
	Window                                    time.Duration
}

// left tells what all that are remembered had left, refilled up to now.
func (r *removals) left(now time.Duration, l *Ledger) (all []Left) {
	for _, e := range r.order {
		if e.state == nil || now-e.at > removedFor {
			continue
		}
		c := &e.terms
		l.refill(c, e.state, now)
		o := e.state.left(c.Name)
		o.Gone = &Gone{now - e.at, c.Rate, c.Burst, c.Limit, c.Bandwidth, c.Guaranteed, c.Window}
		all = append(all, o)
	}
	return all
}

// recall makes room for what another process had left of a contract that is not in force here. Where it was in force there, what it
// stated is not known, and nothing refills before it is made again. Nil: there is nothing to be remembered.
func (r *removals) recall(now time.Duration, o *Left) (*Terms, *state) {
	c, at := Terms{Name: o.Name}, now
	if g := o.Gone; g != nil {
		c.Rate, c.Burst, c.Limit, c.Bandwidth, c.Guaranteed, c.Window = g.Rate, g.Burst, g.Limit, g.Bandwidth, g.Guaranteed, g.Window
		at = now - max(g.Ago, 0)
	}
	if field, _ := c.Check(); field != "" || now-at > removedFor {
		return nil, nil
	}
	e := r.byName[o.Name]
	if e == nil { // else it was removed here as well, or told before
		r.add(at, &c, &state{at: now})
		e = r.byName[o.Name]
	} else if o.Gone != nil {
		e.terms = c
	}
	e.state.at = now
	return &e.terms, e.state
}

func (r *removals) forget(e *removal) {
	delete(r.byName, e.terms.Name)
	e.state.slot, e.state = forgotten, nil
}

// prune forgets the oldest ones that are too many or too old. Each is looked at when it is the oldest, so that a change costs by what
// it removed.
func (r *removals) prune(now time.Duration) {
	for len(r.order) > 0 {
		e := r.order[0]
		if e.state != nil {
			if len(r.byName) <= removedMost && now-e.at <= removedFor {
				break
			}
			r.forget(e)
		}
		r.order[0] = nil
		r.order = r.order[1:]
	}
	if len(r.order) > 2*removedMost { // most were taken
		r.order = slices.DeleteFunc(r.order, func(e *removal) bool { return e.state == nil })
	}
}
