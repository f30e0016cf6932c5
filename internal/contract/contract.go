// Package contract decides what the contracts between teams and services let in: who a caller is, what its contract
// states, and what is left of it. It is pure: events and times in, verdicts out; no clock, no I/O, no randomness. Which
// server a request goes to, and whether it is tried again, is the policy's; this package only says what must not be.
//
// A budget of work is counted in server-seconds: the time for which requests occupy servers, waiting included, so that a
// contract of 3 server-seconds a second keeps three requests at servers on average. That is what a node can see of a
// request's cost, and what others have to do without.
package contract

import (
	"crypto/sha256"
	"crypto/subtle"
	"fmt"
	"net/netip"
	"slices"
	"time"
)

// Criticality ranks contracts where not all guarantees can be kept: a lower one is cut first.
type Criticality uint8

const (
	Sheddable Criticality = iota
	Normal
	High
	Critical
)

// Criticalities by the names that files use.
var Criticalities = map[string]Criticality{"sheddable": Sheddable, "normal": Normal, "high": High, "critical": Critical}

// Match says who a contract is for. All fields that are set must hold. The more specific match wins: a token over a
// header, a header over a tenant, a tenant over an address range, a long prefix over a short one; more fields over fewer.
type Match struct {
	Tenant string
	Header string // name, in canonical form,
	Value  string // and value
	From   netip.Prefix
	Token  [sha256.Size]byte // digest of the token; zero: none
}

// Caller is what is known of who sent a request.
type Caller struct {
	Tenant string
	Header func(name string) string // may be nil
	From   netip.Addr               // zero: not known
	Token  string                   // empty: none shown
}

// Terms are what a contract states, over all nodes together. Zero means no bound, but for Guaranteed.
type Terms struct {
	Name        string
	Matches     []Match // any of them; none: the default contract, for whoever no other is for
	Classes     map[string]bool
	Rate        float64 // requests a second,
	Burst       float64 // and how many at once
	InFlight    int
	Ratio       float64         // further attempts, and clients' marked repeats, as a part of first ones
	Window      time.Duration   // over which that is counted
	Floor       float64         // further attempts a second that are free
	Bounded     bool            // further attempts are bounded at all
	Retries     map[string]bool // classes that may be sent more than once; nil: as each class allows
	Guaranteed  float64         // server-seconds a second that are kept for it under pressure
	Limit       float64         // server-seconds a second that it never exceeds
	Bandwidth   float64         // bytes a second through its opaque tunnels, both ways together; 0: no bound
	Criticality Criticality
	Weight      float64 // of its part in what others leave unused
	Lends       float64 // part of what it leaves unused that others may have
}

// Check reports the first term that makes no sense, by the name that files give it.
func (t *Terms) Check() (field, why string) {
	for _, v := range []struct {
		field string
		value float64
		most  float64
	}{{"rate", t.Rate, 1e9}, {"burst", t.Burst, 1e9}, {"in_flight", float64(t.InFlight), 1e9}, {"attempts.ratio", t.Ratio, 100},
		{"attempts.floor", t.Floor, 1e9}, {"work.guaranteed", t.Guaranteed, 1e9}, {"work.limit", t.Limit, 1e9},
		{"bandwidth", t.Bandwidth, 1e15},
		{"weight", t.Weight, 1e6}, {"lends", t.Lends, 1}} {
		if !(v.value >= 0 && v.value <= v.most) {
			return v.field, fmt.Sprintf("%v is outside 0 to %v", v.value, v.most)
		}
	}
	switch {
	case t.Name == "":
		return "name", "missing"
	case t.Rate > 0 && t.Burst < 1:
		return "burst", fmt.Sprintf("%v lets nothing in: with a rate it is at least 1", t.Burst)
	case t.Bounded && t.Window <= 0:
		return "attempts.window", "a budget of attempts is counted over some time"
	case t.Limit > 0 && t.Guaranteed > t.Limit:
		return "work.guaranteed", fmt.Sprintf("%v exceeds work.limit, %v", t.Guaranteed, t.Limit)
	}
	return "", ""
}

// Table is a set of contracts, ready to be looked up. Its numbers are those of slots: a contract keeps its own as long as it is
// there, and one that comes later may have that of one that has gone. A table that no ledger changes is safe for concurrent use;
// one that a Ledger has is that ledger's, is changed in place by its Change, and goes by its lock.
type Table struct {
	EvenParts bool // nodes hand out even parts whatever they see; set before it is in force

	terms    []Terms        // by slot; without a name: free
	free     []int          // slots
	slots    map[string]int // by the names of contracts
	tenants  map[string]*candidate
	headers  map[header]*candidate
	names    counts[string] // headers that some match asks for
	tokens   map[[sha256.Size]byte]*candidate
	ranges   map[netip.Prefix]*candidate
	lengths  counts[int] // of the prefixes
	lengths6 counts[int] // the same for IPv6, in its own space
	fallback int         // the default contract, -1 where there is none
	byName   bool        // it was changed in place: of two matches that are equally specific the contract counts whose name sorts first
}

type header struct{ name, value string }

// candidate is a match that holds as far as its most specific field goes.
type candidate struct {
	contract int32
	rank     int32
	match    *Match
	next     *candidate // of the same field; nil: none
}

// counts are values in use, with how many use them, in the order in which they came.
type counts[T comparable] struct {
	values []T
	n      []int
}

func (c *counts[T]) add(v T) {
	i := slices.Index(c.values, v)
	if i < 0 {
		i, c.values, c.n = len(c.values), append(c.values, v), append(c.n, 0)
	}
	c.n[i]++
}

func (c *counts[T]) remove(v T) {
	i := slices.Index(c.values, v)
	if c.n[i]--; c.n[i] == 0 {
		c.values, c.n = slices.Delete(c.values, i, i+1), slices.Delete(c.n, i, i+1)
	}
}

// NewTable makes a table. The terms must be sound (Terms.Check); two contracts of one name, two defaults, or two that are for
// just the same callers are an error that names both. Of two matches that are equally specific the first one's contract counts.
func NewTable(terms []Terms) (*Table, error) {
	t := &Table{terms: slices.Clone(terms), slots: make(map[string]int, len(terms)), tenants: map[string]*candidate{},
		headers: map[header]*candidate{}, tokens: map[[sha256.Size]byte]*candidate{}, ranges: map[netip.Prefix]*candidate{}, fallback: -1}
	for i := range t.terms {
		c := &t.terms[i]
		if o, dup := t.slots[c.Name]; dup {
			return nil, fmt.Errorf("contracts[%d] and contracts[%d]: both are named %q", o, i, c.Name)
		}
		if len(c.Matches) == 0 && t.fallback >= 0 {
			return nil, fmt.Errorf("contracts[%d] (%s) and contracts[%d] (%s): both are for everybody", t.fallback,
				t.terms[t.fallback].Name, i, c.Name)
		}
		for k := range c.Matches {
			m := &c.Matches[k]
			if m.rank() == 0 {
				return nil, fmt.Errorf("contracts[%d] (%s): match[%d]: is empty", i, c.Name, k)
			}
			if o := t.owner(m); o >= 0 {
				return nil, fmt.Errorf("contracts[%d] (%s) and contracts[%d] (%s): both are for the same callers", o, t.terms[o].Name, i, c.Name)
			}
		}
		t.enter(i)
	}
	return t, nil
}

// rank orders matches by how specific they are.
func (m *Match) rank() int {
	r := 0
	if m.Token != [sha256.Size]byte{} {
		r += 8000
	}
	if m.Header != "" {
		r += 4000
	}
	if m.Tenant != "" {
		r += 2000
	}
	if m.From.IsValid() {
		r += 1 + m.From.Bits()
	}
	return r
}

// holds tells whether all fields of a match hold. The token is compared in constant time; the look-up before it goes by
// its digest, which tells nothing of it.
func (m *Match) holds(c *Caller, digest *[sha256.Size]byte) bool {
	if m.Token != [sha256.Size]byte{} && (c.Token == "" || subtle.ConstantTimeCompare(m.Token[:], digest[:]) != 1) {
		return false
	}
	if m.Header != "" && (c.Header == nil || c.Header(m.Header) != m.Value) {
		return false
	}
	if m.Tenant != "" && m.Tenant != c.Tenant {
		return false
	}
	return !m.From.IsValid() || c.From.IsValid() && m.From.Contains(c.From.Unmap())
}

// Len is the number of slots, Terms what the i-th one's contract states: one without a name is free. Count is the number of contracts.
func (t *Table) Len() int           { return len(t.terms) }
func (t *Table) Terms(i int) *Terms { return &t.terms[i] }
func (t *Table) Count() int         { return len(t.slots) }

// Slot is the number of the contract of a name.
func (t *Table) Slot(name string) (i int, known bool) {
	i, known = t.slots[name]
	return i, known
}

// Find is the number of the contract that is for a caller: the most specific one, else the default, else -1. It does not
// allocate.
func (t *Table) Find(c *Caller) int {
	best, rank := t.fallback, int32(-1)
	var digest [sha256.Size]byte
	if c.Token != "" && len(t.tokens) > 0 {
		digest = sha256.Sum256([]byte(c.Token))
		best, rank = t.better(t.tokens[digest], c, &digest, best, rank)
	}
	if c.Header != nil {
		for _, name := range t.names.values {
			if v := c.Header(name); v != "" {
				best, rank = t.better(t.headers[header{name, v}], c, &digest, best, rank)
			}
		}
	}
	if c.Tenant != "" {
		best, rank = t.better(t.tenants[c.Tenant], c, &digest, best, rank)
	}
	if c.From.IsValid() && len(t.ranges) > 0 {
		from := c.From.Unmap()
		lengths := t.lengths.values
		if from.Is6() {
			lengths = t.lengths6.values
		}
		for _, n := range lengths {
			if p, err := from.Prefix(n); err == nil {
				best, rank = t.better(t.ranges[p], c, &digest, best, rank)
			}
		}
	}
	return best
}

func (t *Table) better(k *candidate, c *Caller, digest *[sha256.Size]byte, best int, rank int32) (int, int32) {
	for ; k != nil; k = k.next {
		if (k.rank > rank || k.rank == rank && t.byName && t.terms[k.contract].Name < t.terms[best].Name) && k.match.holds(c, digest) {
			best, rank = int(k.contract), k.rank
		}
	}
	return best, rank
}
