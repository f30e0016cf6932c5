// Package contract decides which requests the contracts between teams and services admit: it finds a caller's contract,
// holds the contract's terms and tracks what remains of its budgets. The package is pure: it is given events and times
// and returns verdicts, and has no clock, I/O or randomness. The policy chooses servers and retries; this package only
// rules out what a contract does not allow.
//
// Work is measured in server-seconds: the time for which requests occupy servers, waiting included. A contract of
// 3 server-seconds per second therefore has three requests at servers on average. This is the part of a request's cost
// that a node can observe, and the capacity that other callers lose to it.
package contract

import (
	"crypto/sha256"
	"crypto/subtle"
	"fmt"
	"net/netip"
	"slices"
	"time"
)

// Criticality ranks contracts for the case that not all guarantees can be honored: lower ones are cut first.
type Criticality uint8

// Criticalities in ascending order; Sheddable is cut first and Critical last.
const (
	Sheddable Criticality = iota
	Normal
	High
	Critical
)

// Criticalities maps the names used in configuration files to their values.
var Criticalities = map[string]Criticality{"sheddable": Sheddable, "normal": Normal, "high": High, "critical": Critical}

// Match selects the callers of a contract. All fields that are set must match. The most specific match wins: a token is
// more specific than a header, a header than a tenant, a tenant than an address range and a long prefix than a short
// one; of two matches with the same leading field the one with more fields set is more specific.
type Match struct {
	Tenant string
	Header string // header name in canonical form
	Value  string // required value of the header
	From   netip.Prefix
	Token  [sha256.Size]byte // SHA-256 digest of the token; zero: no token is required
}

// Caller describes the sender of a request.
type Caller struct {
	Tenant string
	Header func(name string) string // returns a header's value; may be nil
	From   netip.Addr               // source address; the zero value if unknown
	Token  string                   // empty if the caller presented none
}

// Terms are the terms of a contract, for all nodes together. Rate, InFlight, Limit and Bandwidth are unlimited if zero.
type Terms struct {
	Name string
	// Any of them selects a caller. A contract without any is the default, for callers that no other contract selects.
	Matches        []Match
	Classes        map[string]bool // request classes that the contract covers; nil: all
	Rate           float64         // requests per second
	Burst          float64         // requests that may arrive at once
	InFlight       int             // concurrent requests
	RetryRatio     float64         // retries, and repeats marked by clients, as a fraction of first attempts
	RetryWindow    time.Duration   // period over which the retry budget is counted
	RetryFloor     float64         // retries per second that are allowed regardless of RetryRatio
	RetriesBounded bool            // whether the retry budget applies at all
	RetryClasses   map[string]bool // classes that may be retried; nil: as each class specifies
	Guaranteed     float64         // server-seconds per second that are reserved for the contract under pressure
	Limit          float64         // server-seconds per second that the contract never exceeds
	Bandwidth      float64         // bytes per second through opaque tunnels, both directions together; 0: unlimited
	Criticality    Criticality
	Weight         float64 // relative weight in the redistribution of unused quota
	LendableShare  float64 // fraction of its own unused guarantee that other contracts may borrow
}

// Check reports the first invalid term, by its name in configuration files, and why it is invalid; empty: all are valid.
func (t *Terms) Check() (field, why string) {
	for _, v := range []struct {
		field string
		value float64
		upper float64
	}{{"rate", t.Rate, 1e9}, {"burst", t.Burst, 1e9}, {"in_flight", float64(t.InFlight), 1e9}, {"attempts.ratio", t.RetryRatio, 100},
		{"attempts.floor", t.RetryFloor, 1e9}, {"work.guaranteed", t.Guaranteed, 1e9}, {"work.limit", t.Limit, 1e9},
		{"bandwidth", t.Bandwidth, 1e15},
		{"weight", t.Weight, 1e6}, {"lends", t.LendableShare, 1}} {
		if !(v.value >= 0 && v.value <= v.upper) {
			return v.field, fmt.Sprintf("%v is outside 0 to %v", v.value, v.upper)
		}
	}
	switch {
	case t.Name == "":
		return "name", "missing"
	case t.Rate > 0 && t.Burst < 1:
		return "burst", fmt.Sprintf("%v admits no request: must be at least 1 when a rate is set", t.Burst)
	case t.RetriesBounded && t.RetryWindow <= 0:
		return "attempts.window", "must be longer than 0 when retries are bounded"
	case t.Limit > 0 && t.Guaranteed > t.Limit:
		return "work.guaranteed", fmt.Sprintf("%v exceeds work.limit, %v", t.Guaranteed, t.Limit)
	}
	return "", ""
}

// Table is an indexed set of contracts, addressed by slot number. A contract keeps its slot while it exists; the slot of
// a removed contract may be reused. A table that no Ledger changes is safe for concurrent use. A table that belongs to
// a Ledger is changed in place by Ledger.ApplyChange and is protected by the same lock as that ledger.
type Table struct {
	EvenShares bool // nodes enforce even shares regardless of the traffic they see; set before the table is in use

	terms          []Terms        // by slot; an empty name marks a free slot
	freeSlots      []int          // slots without a contract
	slotByName     map[string]int // slots by contract name
	byTenant       map[string]*candidate
	byHeader       map[headerKey]*candidate
	headerNames    refCounts[string] // header names that some match uses
	byToken        map[[sha256.Size]byte]*candidate
	byRange        map[netip.Prefix]*candidate
	prefixLengths4 refCounts[int] // lengths of the IPv4 prefixes in byRange
	prefixLengths6 refCounts[int] // lengths of the IPv6 prefixes in byRange
	defaultSlot    int            // slot of the default contract; -1: none

	// tiesByName is set by the first change in place: of two equally specific matches the contract wins whose name sorts
	// first. Without it the earlier one wins.
	tiesByName bool
}

// headerKey is a header name with a required value.
type headerKey struct{ name, value string }

// candidate is a match indexed by its most specific field; its other fields still have to be checked.
type candidate struct {
	slot        int32
	specificity int32
	match       *Match
	next        *candidate // next candidate under the same key; nil: none
}

// refCounts holds the distinct values in use, in the order in which they were first added, with a reference count each.
type refCounts[T comparable] struct {
	values []T
	refs   []int
}

func (c *refCounts[T]) add(v T) {
	i := slices.Index(c.values, v)
	if i < 0 {
		i, c.values, c.refs = len(c.values), append(c.values, v), append(c.refs, 0)
	}
	c.refs[i]++
}

func (c *refCounts[T]) remove(v T) {
	i := slices.Index(c.values, v)
	if c.refs[i]--; c.refs[i] == 0 {
		c.values, c.refs = slices.Delete(c.values, i, i+1), slices.Delete(c.refs, i, i+1)
	}
}

// NewTable returns a table of contracts whose terms are valid (Terms.Check). Two contracts with the same name, two
// defaults or two contracts for exactly the same callers are an error that names both. Of two equally specific matches
// the one of the earlier contract wins.
func NewTable(terms []Terms) (*Table, error) {
	t := &Table{terms: slices.Clone(terms), slotByName: make(map[string]int, len(terms)), byTenant: map[string]*candidate{},
		byHeader: map[headerKey]*candidate{}, byToken: map[[sha256.Size]byte]*candidate{}, byRange: map[netip.Prefix]*candidate{},
		defaultSlot: -1}
	for i := range t.terms {
		c := &t.terms[i]
		if other, dup := t.slotByName[c.Name]; dup {
			return nil, fmt.Errorf("contracts[%d] and contracts[%d]: both are named %q", other, i, c.Name)
		}
		if len(c.Matches) == 0 && t.defaultSlot >= 0 {
			return nil, fmt.Errorf("contracts[%d] (%s) and contracts[%d] (%s): both are for everybody", t.defaultSlot,
				t.terms[t.defaultSlot].Name, i, c.Name)
		}
		for k := range c.Matches {
			m := &c.Matches[k]
			if m.specificity() == 0 {
				return nil, fmt.Errorf("contracts[%d] (%s): match[%d]: is empty", i, c.Name, k)
			}
			if other := t.slotOf(m); other >= 0 {
				return nil, fmt.Errorf("contracts[%d] (%s) and contracts[%d] (%s): both are for the same callers",
					other, t.terms[other].Name, i, c.Name)
			}
		}
		t.index(i)
	}
	return t, nil
}

// specificity returns the rank of a match; a higher value is more specific, 0 means that no field is set.
func (m *Match) specificity() int {
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

// matches reports whether all fields of a match apply to a caller. The token's digest is compared in constant time; the
// preceding lookup is keyed by the digest, so its timing reveals nothing about the token.
func (m *Match) matches(c *Caller, digest *[sha256.Size]byte) bool {
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

// Len returns the number of slots, free ones included.
func (t *Table) Len() int { return len(t.terms) }

// Terms returns the terms of the contract in slot i; an empty name means that the slot is free.
func (t *Table) Terms(i int) *Terms { return &t.terms[i] }

// Count returns the number of contracts.
func (t *Table) Count() int { return len(t.slotByName) }

// Slot returns the slot of the contract with the given name.
func (t *Table) Slot(name string) (i int, known bool) {
	i, known = t.slotByName[name]
	return i, known
}

// Find returns the slot of the most specific contract for a caller, else that of the default contract, else -1. It does
// not allocate.
func (t *Table) Find(c *Caller) int {
	best, specificity := t.defaultSlot, int32(-1)
	var digest [sha256.Size]byte
	if c.Token != "" && len(t.byToken) > 0 {
		digest = sha256.Sum256([]byte(c.Token))
		best, specificity = t.moreSpecific(t.byToken[digest], c, &digest, best, specificity)
	}
	if c.Header != nil {
		for _, name := range t.headerNames.values {
			if v := c.Header(name); v != "" {
				best, specificity = t.moreSpecific(t.byHeader[headerKey{name, v}], c, &digest, best, specificity)
			}
		}
	}
	if c.Tenant != "" {
		best, specificity = t.moreSpecific(t.byTenant[c.Tenant], c, &digest, best, specificity)
	}
	if c.From.IsValid() && len(t.byRange) > 0 {
		from := c.From.Unmap()
		lengths := t.prefixLengths4.values
		if from.Is6() {
			lengths = t.prefixLengths6.values
		}
		for _, n := range lengths {
			if p, err := from.Prefix(n); err == nil {
				best, specificity = t.moreSpecific(t.byRange[p], c, &digest, best, specificity)
			}
		}
	}
	return best
}

// moreSpecific returns the slot and specificity of the best match among a list of candidates and those passed in.
func (t *Table) moreSpecific(k *candidate, c *Caller, digest *[sha256.Size]byte, best int, specificity int32) (int, int32) {
	for ; k != nil; k = k.next {
		if (k.specificity > specificity || k.specificity == specificity && t.tiesByName && t.terms[k.slot].Name < t.terms[best].Name) &&
			k.match.matches(c, digest) {
			best, specificity = int(k.slot), k.specificity
		}
	}
	return best, specificity
}
