package contract

import (
	"crypto/sha256"
	"errors"
	"fmt"
	"maps"
	"math"
	"net/netip"
	"runtime"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// applyChange applies a change that must be valid.
func applyChange(t testing.TB, l *Ledger, now time.Duration, c Change) {
	t.Helper()
	if err := l.table.Check(&c); err != nil {
		t.Fatal(err)
	}
	l.ApplyChange(now, &c)
}

// domain holds the values from which the property test's matches and callers are generated: few, so that they collide.
var domain = struct {
	tenants, headers, values, tokens []string
	ranges                           []netip.Prefix
	addrs                            []netip.Addr
}{
	tenants: []string{"", "", "a", "b"}, headers: []string{"X-One", "X-Two"}, values: []string{"", "1", "2"}, tokens: []string{"", "", "s", "t"},
	ranges: []netip.Prefix{{}, {}, netip.MustParsePrefix("0.0.0.0/0"), netip.MustParsePrefix("10.0.0.0/8"), netip.MustParsePrefix("10.1.0.0/16"),
		netip.MustParsePrefix("::/0"), netip.MustParsePrefix("2001:db8::/32")},
	addrs: []netip.Addr{{}, netip.MustParseAddr("10.1.2.3"), netip.MustParseAddr("10.2.2.3"), netip.MustParseAddr("192.0.2.1"),
		netip.MustParseAddr("2001:db8::1"), netip.MustParseAddr("::ffff:10.1.2.3")},
}

func generateMatch(t *rapid.T) (m Match) {
	m.Tenant = rapid.SampledFrom(domain.tenants).Draw(t, "tenant")
	if v := rapid.SampledFrom(domain.values).Draw(t, "value"); v != "" {
		m.Header, m.Value = rapid.SampledFrom(domain.headers).Draw(t, "header"), v
	}
	m.From = rapid.SampledFrom(domain.ranges).Draw(t, "from")
	if s := rapid.SampledFrom(domain.tokens).Draw(t, "token"); s != "" {
		m.Token = sha256.Sum256([]byte(s))
	}
	return m
}

func generateTerms(t *rapid.T) Terms {
	c := Terms{Name: fmt.Sprint("c", rapid.IntRange(0, 9).Draw(t, "name"))}
	if rapid.IntRange(0, 8).Draw(t, "default") > 0 {
		c.Matches = rapid.SliceOfN(rapid.Custom(generateMatch), 1, 3).Draw(t, "matches")
	}
	return c
}

func generateCaller(t *rapid.T) Caller {
	one, two := rapid.SampledFrom(domain.values).Draw(t, "one"), rapid.SampledFrom(domain.values).Draw(t, "two")
	return Caller{Tenant: rapid.SampledFrom(domain.tenants).Draw(t, "tenant"), Token: rapid.SampledFrom(domain.tokens).Draw(t, "token"),
		From: rapid.SampledFrom(domain.addrs).Draw(t, "addr"), Header: func(name string) string {
			return map[string]string{"X-One": one, "X-Two": two}[name]
		}}
}

// expectedContract is a reference for Table.Find without any index: the most specific match wins, on a tie the name that
// sorts first.
func expectedContract(contracts map[string]Terms, c *Caller) (name string, specificity int) {
	digest := sha256.Sum256([]byte(c.Token))
	specificity = -1
	for _, n := range slices.Sorted(maps.Keys(contracts)) {
		terms := contracts[n]
		if len(terms.Matches) == 0 && specificity < 0 {
			name = n
		}
		for i := range terms.Matches {
			if m := &terms.Matches[i]; m.specificity() > specificity && m.matches(c, &digest) {
				name, specificity = n, m.specificity()
			}
		}
	}
	return name, specificity
}

// A table changed in place must find the same contracts as one newly built from the same terms, and must accept exactly
// the changes whose result could be built. A contract that a change does not name keeps its slot.
func TestTableChangedInPlaceEqualsNewTable(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		tab := newTable(t)
		l := NewLedger(tab, 0, 1)
		current := map[string]Terms{}
		for range rapid.IntRange(1, 30).Draw(rt, "changes") {
			c := Change{Put: rapid.SliceOfN(rapid.Custom(generateTerms), 0, 4).Draw(rt, "put")}
			for range rapid.IntRange(0, 3).Draw(rt, "removed") {
				c.Removed = append(c.Removed, fmt.Sprint("c", rapid.IntRange(0, 9).Draw(rt, "name")))
			}
			next, doubled := maps.Clone(current), false
			for _, n := range c.Removed {
				delete(next, n)
			}
			named := slices.Clone(c.Removed)
			for _, p := range c.Put {
				doubled = doubled || slices.Contains(named, p.Name)
				named = append(named, p.Name)
				next[p.Name] = p
			}
			var terms []Terms
			for _, n := range slices.Sorted(maps.Keys(next)) {
				terms = append(terms, next[n])
			}
			rebuilt, invalid := NewTable(terms)
			err := tab.Check(&c)
			if (err == nil) != (invalid == nil && !doubled) {
				rt.Fatalf("%+v: %v; building a new table: %v", c, err, invalid)
			}
			if err != nil {
				continue
			}
			slots := maps.Clone(tab.slotByName)
			l.ApplyChange(0, &c)
			for n, i := range slots {
				if !slices.Contains(named, n) && tab.Terms(i).Name != n {
					rt.Fatalf("%s had slot %d, which now holds %q", n, i, tab.Terms(i).Name)
				}
			}
			if current = next; tab.Count() != len(current) || tab.Count()+len(tab.freeSlots) != tab.Len() {
				rt.Fatalf("%d contracts in %d slots of which %d are free, want %d", tab.Count(), tab.Len(), len(tab.freeSlots), len(current))
			}
			for range 10 {
				caller := generateCaller(rt)
				want, specificity := expectedContract(current, &caller)
				got, found := "", tab.Find(&caller)
				if found >= 0 {
					if got = tab.Terms(found).Name; got == "" {
						rt.Fatalf("Find returned free slot %d", found)
					}
				}
				if got != want {
					rt.Fatalf("%+v matches %q, want %q", caller, got, want)
				}
				i := rebuilt.Find(&caller)
				if (i < 0) != (found < 0) {
					rt.Fatalf("%+v matches %q, in a rebuilt table slot %d", caller, got, i)
				}
				if i >= 0 && rebuilt.Terms(i).Name != got { // equally specific matches may differ
					if _, other := expectedContract(map[string]Terms{"": *rebuilt.Terms(i)}, &caller); other != specificity {
						rt.Fatalf("%+v matches %q (specificity %d), in a rebuilt table %q (%d)", caller, got, specificity, rebuilt.Terms(i).Name, other)
					}
				}
			}
		}
		l.ApplyChange(0, &Change{Removed: slices.Collect(maps.Keys(current))})
		if n := len(tab.byTenant) + len(tab.byHeader) + len(tab.byToken) + len(tab.byRange) + len(tab.headerNames.values) + len(tab.prefixLengths4.values) +
			len(tab.prefixLengths6.values) + tab.Count(); n != 0 || tab.defaultSlot != -1 {
			rt.Fatalf("%d index entries left after all contracts were removed: %+v", n, tab)
		}
	})
}

// An invalid change is rejected with the contract and field at fault, and leaves the table as it was.
func TestInvalidChangesAreRejected(t *testing.T) {
	a, b := []Match{{Tenant: "a"}}, []Match{{Tenant: "b"}}
	tab := newTable(t, Terms{Name: "a", Matches: a}, Terms{Name: "rest"})
	for _, c := range []struct {
		change Change
		want   string
	}{
		{Change{Put: []Terms{{Name: "b", Matches: a}}}, `contract "b": match[0]: contract "a" is for the same callers`},
		{Change{Put: []Terms{{Name: "b"}}}, `contract "b": match: contract "rest" is for everybody else already`},
		{Change{Put: []Terms{{Name: "b", Matches: b}, {Name: "c", Matches: b}}}, `contract "c": match[0]: contract "b" is for the same callers`},
		{Change{Put: []Terms{{Name: "b", Matches: b, Rate: -1}}}, `contract "b": rate: -1 is outside`},
		{Change{Put: []Terms{{Name: "b", Matches: []Match{{}}}}}, `contract "b": match[0]: is empty`},
		{Change{Put: []Terms{{Name: "b", Matches: b}, {Name: "b", Matches: b}}}, `contract "b": is put twice`},
		{Change{Put: []Terms{{Name: "b", Matches: a}}, Removed: []string{"a"}}, ""},
		{Change{Put: []Terms{{Name: "a", Matches: b}, {Name: "b", Matches: a}}}, ""}, // the contracts swap callers
		{Change{Put: []Terms{{Name: "rest", Matches: b}, {Name: "a"}}}, ""},
		{Change{Put: []Terms{{Name: "a", Matches: append(a, a...)}}, Removed: []string{"none"}}, ""},
	} {
		err := tab.Check(&c.change)
		var bad *ChangeError
		if c.want == "" && err != nil || c.want != "" && (!errors.As(err, &bad) || !strings.HasPrefix(err.Error(), c.want)) {
			t.Errorf("%+v: %v, want %q", c.change, err, c.want)
		}
	}
	if tab.Find(&Caller{Tenant: "a"}) != 0 || tab.Find(&Caller{Tenant: "b"}) != 1 {
		t.Error("Check changed the table")
	}
}

// A change must not refill the budgets of contracts that it does not name; those that it replaces keep what they have
// spent, within their new limits.
func TestChangeKeepsSpentQuota(t *testing.T) {
	one := Terms{Name: "one", Rate: 1, Burst: 3, Matches: []Match{{Tenant: "1"}}}
	two := Terms{Name: "two", Rate: 1, Burst: 8, Limit: 4, Guaranteed: 4, Bandwidth: 100, InFlight: 2, Matches: []Match{{Tenant: "2"}}}
	l := NewLedger(newTable(t, one, two), 0, 1)
	for range 3 {
		l.Admit(0, 0, "r", 0, false)
	}
	v := l.Admit(0, 1, "r", 0.5, false)
	applyChange(t, l, 0, Change{Put: []Terms{{Name: "three", Matches: []Match{{Tenant: "3"}}}}, Removed: []string{"none"}})
	if got := l.Admit(0, 0, "r", 0, false); got.Rule != Rate {
		t.Errorf("a change of another contract refilled the rate: %+v", got)
	}
	two.Burst, two.Limit, two.Guaranteed, two.Bandwidth, two.InFlight = 2, 1, 1, 10, 1
	applyChange(t, l, 0, Change{Put: []Terms{two}})
	if status := l.Status(0, 1); status.RateTokens != 2 || status.WorkLeft != 1 || status.GuaranteeLeft != 1 || status.InFlight != 1 || l.states[1].bytesLeft != 10 {
		t.Errorf("after the limits were reduced: %+v", status)
	}
	if got := l.Admit(0, 1, "r", 0, false); got.Rule != InFlight {
		t.Errorf("a change reset the requests in flight: %+v", got)
	}
	l.Done(0, "two", v, 0.5)
	if got := l.Admit(0, 1, "r", 0, false); got.Rule != Admitted {
		t.Errorf("Done did not end the request admitted before the change: %+v", got)
	}
	two.Burst = 100
	applyChange(t, l, 0, Change{Put: []Terms{two}})
	if status := l.Status(0, 1); status.RateTokens != 1 {
		t.Errorf("a larger burst was filled at once: %v tokens, want 1", status.RateTokens)
	}
	two.Rate = 50
	applyChange(t, l, 2*time.Second, Change{Put: []Terms{two}})
	if status := l.Status(2*time.Second, 1); status.RateTokens != 3 {
		t.Errorf("the time before the change was refilled at the new rate: %v tokens, want 3", status.RateTokens)
	}
	applyChange(t, l, 0, Change{EvenShares: true})
	if !l.table.EvenShares {
		t.Error("EvenShares is not set by the change")
	}
}

// statusOf returns the status of a contract by name.
func statusOf(t testing.TB, l *Ledger, now time.Duration, name string) Status {
	t.Helper()
	i, known := l.table.Slot(name)
	if !known {
		t.Fatalf("no contract %s", name)
	}
	return l.Status(now, i)
}

// A contract that is removed and added again under the same name has the same state as one that was never removed, debts
// and requests in flight included, whatever requests end in between and whichever contract uses its slot.
func TestReAddedContractKeepsItsState(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		terms := Terms{Name: "c", Rate: rapid.Float64Range(0.1, 20).Draw(rt, "rate"), Burst: rapid.Float64Range(1, 20).Draw(rt, "burst"),
			Limit: rapid.Float64Range(0.1, 5).Draw(rt, "limit"), Bandwidth: 1000, RetriesBounded: true, RetryRatio: 0.5, RetryWindow: 10 * time.Second,
			InFlight: rapid.IntRange(1, 5).Draw(rt, "in flight"), Matches: []Match{{Tenant: "c"}}}
		terms.Guaranteed = terms.Limit / 2
		reference, changed := NewLedger(newTable(t, terms), 0, 1), NewLedger(newTable(t, terms), 0, 1)
		type open struct{ a, b Verdict }
		var running []open
		now, present, other := time.Duration(0), true, false
		for range rapid.IntRange(1, 120).Draw(rt, "steps") {
			now += time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(rt, "dt"))
			switch step := rapid.IntRange(0, 6).Draw(rt, "step"); {
			case step == 0 && present:
				applyChange(t, changed, now, Change{Removed: []string{"c"}})
				present = false
			case step == 0:
				applyChange(t, changed, now, Change{Put: []Terms{terms}})
				present = true
			case step == 1: // another contract takes a slot or frees it
				if other = !other; other {
					applyChange(t, changed, now, Change{Put: []Terms{{Name: "d", Matches: []Match{{Tenant: "d"}}}}})
					changed.Admit(now, changed.table.Find(&Caller{Tenant: "d"}), "r", 1, false)
				} else {
					applyChange(t, changed, now, Change{Removed: []string{"d"}})
				}
			case step == 2 && len(running) > 0:
				took := rapid.Float64Range(0, 4).Draw(rt, "took")
				reference.Done(now, "c", running[0].a, took)
				changed.Done(now, "c", running[0].b, took)
				running = running[1:]
			case present:
				hint, repeat := rapid.Float64Range(0, 1).Draw(rt, "hint"), rapid.Bool().Draw(rt, "repeat")
				a := reference.Admit(now, 0, "r", hint, repeat)
				b := changed.Admit(now, changed.table.Find(&Caller{Tenant: "c"}), "r", hint, repeat)
				if a.Rule != b.Rule || math.Abs(a.Cost-b.Cost) > 1e-9 || (a.RetryAfter-b.RetryAfter).Abs() > time.Microsecond {
					rt.Fatalf("at %v: %+v, a contract that was never removed gives %+v", now, b, a)
				}
				if a.Rule == Admitted {
					running = append(running, open{a, b})
				}
				if wait := (reference.Pace(now, "c", a, 500) - changed.Pace(now, "c", b, 500)).Abs(); wait > time.Microsecond {
					rt.Fatalf("the waits for bandwidth differ by %v", wait)
				}
			}
		}
		if !present {
			applyChange(t, changed, now, Change{Put: []Terms{terms}})
		}
		for _, r := range running {
			reference.Done(now, "c", r.a, 0.1)
			changed.Done(now, "c", r.b, 0.1)
		}
		a, b := statusOf(t, reference, now, "c"), statusOf(t, changed, now, "c")
		if math.Abs(a.RateTokens-b.RateTokens)+math.Abs(a.WorkLeft-b.WorkLeft)+math.Abs(a.GuaranteeLeft-b.GuaranteeLeft)+math.Abs(a.Retries-b.Retries) > 1e-6 || b.InFlight != 0 ||
			a.Admitted != b.Admitted {
			rt.Fatalf("%+v, a contract that was never removed has %+v", b, a)
		}
	})
}

// A contract never gets more than rate × time + burst, however often it is removed and added again.
func TestRateIsBoundedAcrossChanges(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		terms := Terms{Name: "c", Rate: rapid.Float64Range(0.1, 50).Draw(rt, "rate"), Burst: rapid.Float64Range(1, 50).Draw(rt, "burst"),
			Matches: []Match{{Tenant: "c"}}}
		l := NewLedger(newTable(t, terms), 0, 1)
		now, n := time.Duration(0), 0
		for range rapid.IntRange(1, 200).Draw(rt, "steps") {
			now += time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(rt, "dt"))
			switch rapid.IntRange(0, 3).Draw(rt, "step") {
			case 0:
				l.ApplyChange(now, &Change{Removed: []string{"c"}})
				l.ApplyChange(now, &Change{Put: []Terms{terms}})
			default:
				for range rapid.IntRange(1, 20).Draw(rt, "requests") {
					if v := l.Admit(now, l.table.Find(&Caller{Tenant: "c"}), "r", 0.01, false); v.Rule == Admitted {
						n++
						l.Done(now, "c", v, 0.01)
					}
				}
			}
		}
		if limit := terms.Rate*now.Seconds() + terms.Burst + 1e-6; float64(n) > limit {
			rt.Fatalf("%d requests admitted, limit %.1f", n, limit)
		}
	})
}

// Requests in flight of a removed contract must end its own state, not that of the contract that reuses its slot.
func TestRemovedWithRequestsInFlight(t *testing.T) {
	one := Terms{Name: "one", InFlight: 2, Limit: 1, Matches: []Match{{Tenant: "1"}}}
	l := NewLedger(newTable(t, one, Terms{Name: "two", InFlight: 5, Matches: []Match{{Tenant: "2"}}}), 0, 1)
	first, second := l.Admit(0, 0, "r", 0.1, false), l.Admit(0, 0, "r", 0.1, false)
	applyChange(t, l, 0, Change{Removed: []string{"one"}, Put: []Terms{{Name: "three", Matches: []Match{{Tenant: "3"}}}}})
	if v := l.Admit(0, l.table.Find(&Caller{Tenant: "1"}), "r", 0, false); v.Rule != None {
		t.Errorf("the removed contract still has callers: %+v", v)
	}
	if i, _ := l.table.Slot("three"); i != 0 {
		t.Errorf("the free slot 0 is not reused: %d", i)
	}
	third := l.Admit(0, 0, "r", 0, false) // of the contract that reused the slot
	if wait := l.Pace(0, "one", first, 1e9); wait != 0 {
		t.Errorf("a removed contract delays a tunnel by %v", wait)
	}
	l.Done(0, "one", first, 3)
	if got := l.Status(0, 0); got.InFlight != 1 || got.Name != "three" {
		t.Errorf("a request of the removed contract ended one of %+v", got)
	}
	applyChange(t, l, 0, Change{Put: []Terms{one}})
	if got := statusOf(t, l, 0, "one"); got.InFlight != 1 || math.Abs(got.WorkLeft - -2.1) > 1e-9 {
		t.Errorf("added again: %+v, want one request in flight and a debt of 2.1", got)
	}
	l.Done(0, "one", second, 0.1)
	l.Done(0, "three", third, 0.1)
	if a, b := statusOf(t, l, 0, "one"), l.Status(0, 0); a.InFlight != 0 || b.InFlight != 0 {
		t.Errorf("requests left in flight: %+v, %+v", a, b)
	}
	if got := l.Statuses(0, 10); len(got) != 2 { // contract two was never used
		t.Errorf("%+v, want the states of the two used contracts", got)
	}
}

// The retained states of removed contracts are bounded by number and age. A discarded state no longer counts: its
// requests must not end those of a new contract of the same name.
func TestRemovedContractsAreForgotten(t *testing.T) {
	terms := func(i int) Terms {
		return Terms{Name: fmt.Sprint("c", i), Rate: 0.001, Burst: 1, InFlight: 9, Matches: []Match{{Tenant: fmt.Sprint(i)}}}
	}
	l := NewLedger(newTable(t), 0, 1)
	addUseRemove := func(now time.Duration, i int) Verdict {
		applyChange(t, l, now, Change{Put: []Terms{terms(i)}})
		v := l.Admit(now, l.table.Find(&Caller{Tenant: fmt.Sprint(i)}), "r", 0, false)
		applyChange(t, l, now, Change{Removed: []string{fmt.Sprint("c", i)}})
		return v
	}
	old := addUseRemove(0, 0)
	for i := range maxRemoved {
		addUseRemove(0, i+1)
	}
	if n := len(l.removed.byName); n != maxRemoved || l.removed.byName["c0"] != nil {
		t.Fatalf("%d states retained, want %d without the oldest", n, maxRemoved)
	}
	v := addUseRemove(0, 0)
	if v.Rule != Admitted {
		t.Fatalf("a forgotten contract did not start anew: %+v", v)
	}
	applyChange(t, l, 0, Change{Put: []Terms{terms(0)}})
	l.Done(0, "c0", old, 1)
	if got := statusOf(t, l, 0, "c0"); got.InFlight != 1 {
		t.Errorf("a request of the forgotten contract ended one of the new: %+v", got)
	}
	l.Done(0, "c0", v, 1)
	if got := statusOf(t, l, 0, "c0"); got.InFlight != 0 {
		t.Errorf("Done did not end the new contract's request: %+v", got)
	}
	applyChange(t, l, 0, Change{Put: []Terms{terms(3)}})
	if got := l.Admit(0, l.table.Find(&Caller{Tenant: "3"}), "r", 0, false); got.Rule != Rate {
		t.Errorf("a retained contract got a second burst: %+v", got)
	}
	// After the retention period the next change discards all states, and a contract that it adds again starts anew.
	late := removedRetention + time.Second
	applyChange(t, l, late, Change{Put: []Terms{terms(7)}})
	if got := l.Admit(late, l.table.Find(&Caller{Tenant: "7"}), "r", 0, false); got.Rule != Admitted {
		t.Errorf("added again after %v, did not start anew: %+v", late, got)
	}
	if n, inOrder := len(l.removed.byName), len(l.removed.oldestFirst); n != 0 || inOrder != 0 {
		t.Errorf("after %v %d states retained, %d in order, want none", late, n, inOrder)
	}
	// A contract that is added and removed repeatedly must not grow the list behind an entry that stays retained.
	addUseRemove(late, 1)
	for range 10 * maxRemoved {
		addUseRemove(late, 2)
	}
	if n := len(l.removed.oldestFirst); n > 2*maxRemoved+1 || len(l.removed.byName) != 2 {
		t.Errorf("%d entries in order, %d retained", n, len(l.removed.byName))
	}
}

// A hand-over also takes the unused budgets of removed contracts; only their debts stay.
func TestDropCreditCoversRemovedContracts(t *testing.T) {
	terms := Terms{Name: "c", Rate: 0.1, Burst: 5, Matches: []Match{{Tenant: "c"}}}
	l := NewLedger(newTable(t, terms), 0, 1)
	l.Admit(0, 0, "r", 0, false)
	applyChange(t, l, 0, Change{Removed: []string{"c"}})
	l.DropCredit(0)
	applyChange(t, l, 0, Change{Put: []Terms{terms}})
	if got := l.Admit(0, 0, "r", 0, false); got.Rule != Rate {
		t.Errorf("the contract got a second burst: %+v", got)
	}
}

// Changes under pressure must keep the redistribution consistent: each used contract is listed once, no removed one is.
func TestRedistributionListsUsedContractsOnceAcrossChanges(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		l := NewLedger(newTable(t), 0, 1)
		now := time.Duration(0)
		for range rapid.IntRange(1, 100).Draw(rt, "steps") {
			now += time.Duration(rapid.Int64Range(0, int64(100*ms)).Draw(rt, "dt"))
			name := fmt.Sprint("c", rapid.IntRange(0, 5).Draw(rt, "name"))
			switch rapid.IntRange(0, 3).Draw(rt, "step") {
			case 0:
				l.ApplyChange(now, &Change{Removed: []string{name}})
			case 1:
				l.ApplyChange(now, &Change{Put: []Terms{{Name: name, Guaranteed: 1, Weight: 1, LendableShare: 1, Matches: []Match{{Tenant: name}}}}})
			default:
				l.SetPressure(now, rapid.Float64Range(0, 1).Draw(rt, "pressure"))
				l.Admit(now, l.table.Find(&Caller{Tenant: name}), "r", 0.1, false)
			}
			seen := map[int]bool{}
			for _, i := range l.active {
				if s := l.states[i]; s == nil || !s.active || s.slot != i || seen[i] {
					rt.Fatalf("slot %d of %v is wrongly in the redistribution", i, l.active)
				}
				seen[i] = true
			}
			for i, s := range l.states {
				if s != nil && s.active != seen[i] {
					rt.Fatalf("the active flag of slot %d differs from the redistribution list", i)
				}
			}
		}
	})
}

// newLargeLedger returns a ledger of n teams' contracts and a default, added by one change.
func newLargeLedger(t testing.TB, n int) *Ledger {
	classes := map[string]bool{"read": true, "write": true}
	c := Change{Put: []Terms{{Name: "rest"}}}
	for i := range n {
		c.Put = append(c.Put, teamTerms(i, classes))
	}
	l := NewLedger(newTable(t), 0, 1)
	applyChange(t, l, 0, c)
	return l
}

// teamTerms returns the terms of one of many similar teams.
func teamTerms(i int, classes map[string]bool) Terms {
	name := fmt.Sprint("team-", i)
	return Terms{Name: name, Matches: []Match{{Tenant: name}}, Rate: 5, Burst: 10, InFlight: 20, Classes: classes, Weight: 1, LendableShare: 1}
}

// BenchmarkFind measures a lookup by tenant, in a table loaded from a file and in one changed in place.
func BenchmarkFind(b *testing.B) {
	for _, n := range []int{1700, 17000} {
		terms := []Terms{{Name: "rest"}}
		for i := range n {
			name := fmt.Sprint("team-", i)
			terms = append(terms, Terms{Name: name, Matches: []Match{{Tenant: name}}})
		}
		callers := make([]Caller, 1024)
		for i := range callers {
			callers[i] = Caller{Tenant: fmt.Sprint("team-", i*7%n)}
		}
		for _, of := range []struct {
			name string
			tab  *Table
		}{{"file", newTable(b, terms...)}, {"changed", newLargeLedger(b, n).table}} {
			b.Run(fmt.Sprintf("%s/%d", of.name, n), func(b *testing.B) {
				b.ReportAllocs()
				for i := 0; b.Loop(); i++ {
					if of.tab.Find(&callers[i%len(callers)]) < 1 {
						b.Fatal("not found")
					}
				}
			})
		}
	}
}

// BenchmarkChange measures removing one of many contracts and adding it again.
func BenchmarkChange(b *testing.B) {
	for _, n := range []int{1700, 17000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			l := newLargeLedger(b, n)
			classes := map[string]bool{"read": true}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				t := teamTerms(i%n, classes)
				removed, added := Change{Removed: []string{t.Name}}, Change{Put: []Terms{t}}
				for _, c := range []*Change{&removed, &added} {
					if err := l.table.Check(c); err != nil {
						b.Fatal(err)
					}
					l.ApplyChange(time.Duration(i)*ms, c)
				}
			}
		})
	}
}

// BenchmarkBytes measures the memory of an unused contract in a table made by changes.
func BenchmarkBytes(b *testing.B) {
	for _, n := range []int{1700, 17000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				var before, after runtime.MemStats
				runtime.GC()
				runtime.GC()
				runtime.ReadMemStats(&before)
				l := newLargeLedger(b, n)
				runtime.GC()
				runtime.GC()
				runtime.ReadMemStats(&after)
				b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(n), "bytes/contract")
				runtime.KeepAlive(l)
			}
		})
	}
}

// A lookup in a table changed in place must not allocate.
func TestFindDoesNotAllocate(t *testing.T) {
	l := newLargeLedger(t, 1000)
	applyChange(t, l, 0, Change{Removed: []string{"team-5"}})
	callers := []Caller{{Tenant: "team-7"}, {Tenant: "team-5"}, {Token: "x", From: netip.MustParseAddr("10.0.0.1")}}
	i := 0
	if n := testing.AllocsPerRun(1000, func() { l.table.Find(&callers[i%3]); i++ }); n > 0 {
		t.Errorf("%v allocations per Find", n)
	}
}

// A contract that is first used long after a hand-over, or was added since, starts with the budget that refilled since
// then: the predecessor no longer exists and cannot have spent it.
func TestContractFirstUsedAfterHandOverIsRefilled(t *testing.T) {
	terms := Terms{Name: "c", Rate: 2, Burst: 10, Limit: 3, Bandwidth: 100, Guaranteed: 1, Matches: []Match{{Tenant: "c"}}}
	l := NewLedger(newTable(t, terms), 0, 1)
	l.DropCredit(time.Minute)
	terms.Name, terms.Matches = "d", []Match{{Tenant: "d"}}
	applyChange(t, l, time.Minute, Change{Put: []Terms{terms}})
	for i, at := range []time.Duration{time.Minute + time.Second, time.Hour} {
		if got, want := l.Status(at, i).RateTokens, []float64{2, 10}[i]; got != want {
			t.Errorf("at %v %v requests may arrive at once, want %v", at, got, want)
		}
	}
	if got := l.Status(time.Hour, 1); got.WorkLeft != 3 || got.GuaranteeLeft != 1 || l.states[1].bytesLeft != 100 {
		t.Errorf("budgets not refilled within their bounds: %+v", got)
	}
	if v := l.Admit(time.Hour, 0, "r", 0, false); v.Rule != Admitted {
		t.Errorf("request refused: %+v", v)
	}
}

// The state of a removed contract is handed over and refills by its former terms. Added again at the successor, it
// equals that of a contract that was never removed, whichever of the two processes saw the removal and however many
// hand-overs there were.
func TestRemovedContractStateSurvivesHandOver(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		terms := Terms{Name: "c", Rate: rapid.Float64Range(0.1, 5).Draw(rt, "rate"), Burst: rapid.Float64Range(1, 5).Draw(rt, "burst"),
			Limit: rapid.Float64Range(0.1, 2).Draw(rt, "limit"), Bandwidth: 1000, RetriesBounded: true, RetryRatio: 0.5, RetryWindow: 10 * time.Second,
			Matches: []Match{{Tenant: "c"}}}
		terms.Guaranteed = terms.Limit / 2
		reference, changed := NewLedger(newTable(t, terms), 0, 1), NewLedger(newTable(t, terms), 0, 1)
		now, present := time.Duration(0), true
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			now += time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(rt, "dt"))
			switch step := rapid.IntRange(0, 5).Draw(rt, "step"); {
			case step == 0 && present:
				applyChange(t, changed, now, Change{Removed: []string{"c"}})
				present = false
			case step == 0:
				applyChange(t, changed, now, Change{Put: []Terms{terms}})
				present = true
			case step == 1:
				states := changed.States(now)
				changed = NewLedger(newTable(t), now, 1)
				if present || rapid.Bool().Draw(rt, "in force at the successor") {
					applyChange(t, changed, now, Change{Put: []Terms{terms}})
					present = true
				}
				if changed.Restore(now, states, true); len(states) == 0 {
					changed.emptiedAt = never // nothing was used: there is no second burst to prevent
				}
			case present:
				hint, repeat, took := rapid.Float64Range(0, 1).Draw(rt, "hint"), rapid.Bool().Draw(rt, "repeat"), rapid.Float64Range(0, 4).Draw(rt, "took")
				a := reference.Admit(now, 0, "r", hint, repeat)
				b := changed.Admit(now, changed.table.Find(&Caller{Tenant: "c"}), "r", hint, repeat)
				if a.Rule != b.Rule || math.Abs(a.Cost-b.Cost) > 1e-9 || (a.RetryAfter-b.RetryAfter).Abs() > time.Microsecond {
					rt.Fatalf("at %v: %+v, a contract that was never removed gives %+v", now, b, a)
				}
				if a.Rule == Admitted {
					if wait := (reference.Pace(now, "c", a, 500) - changed.Pace(now, "c", b, 500)).Abs(); wait > time.Microsecond {
						rt.Fatalf("the waits for bandwidth differ by %v", wait)
					}
					reference.Done(now, "c", a, took)
					changed.Done(now, "c", b, took)
				}
			}
		}
		if !present {
			applyChange(t, changed, now, Change{Put: []Terms{terms}})
		}
		a, b := statusOf(t, reference, now, "c"), statusOf(t, changed, now, "c")
		if math.Abs(a.RateTokens-b.RateTokens)+math.Abs(a.WorkLeft-b.WorkLeft)+math.Abs(a.GuaranteeLeft-b.GuaranteeLeft)+math.Abs(a.Retries-b.Retries) > 1e-6 {
			rt.Fatalf("%+v, a contract that was never removed has %+v", b, a)
		}
	})
}

// A contract in force at the predecessor but not at the successor keeps its debt; without credit it keeps nothing else.
// The restored states of removed contracts are bounded like those of local removals, and invalid terms are skipped.
func TestContractUnknownToSuccessorKeepsItsDebt(t *testing.T) {
	terms := Terms{Name: "c", Rate: 1, Burst: 5, Limit: 1, Matches: []Match{{Tenant: "c"}}}
	predecessor := NewLedger(newTable(t, terms), 0, 1)
	predecessor.Done(0, "c", predecessor.Admit(0, 0, "r", 0, false), 4)
	if got := predecessor.States(0); len(got) != 1 || got[0].Removed != nil || got[0].WorkLeft != -3 {
		t.Fatalf("predecessor's state %+v, want one contract in force with a debt of 3", got)
	}
	for _, credit := range []bool{true, false} {
		l := NewLedger(newTable(t), 0, 1)
		l.Restore(0, predecessor.States(0), credit)
		applyChange(t, l, 0, Change{Put: []Terms{terms}})
		if got := statusOf(t, l, 0, "c"); got.WorkLeft != -3 || !credit && got.RateTokens != 0 || got.RateTokens > 4 {
			t.Errorf("credit %v: %+v", credit, got)
		}
	}
	removedState := func(i int, ago time.Duration) ContractState {
		return ContractState{Name: fmt.Sprint("c", i), WorkLeft: -1, Removed: &RemovedContract{SinceRemoval: ago, Limit: 1}}
	}
	l, all := NewLedger(newTable(t), 0, 1), []ContractState{}
	for i := range maxRemoved + 100 {
		all = append(all, removedState(i, time.Second))
	}
	invalid := []ContractState{removedState(9001, removedRetention+1), removedState(9002, 0), removedState(9003, 0), {Name: ""}}
	invalid[1].Removed.Limit, invalid[2].Removed.Rate = math.NaN(), -1
	l.Restore(time.Hour, append(all, invalid...), true)
	l.Restore(time.Hour, all[200:], true) // restored again: nothing is duplicated
	if n, inOrder := len(l.removed.byName), len(l.removed.oldestFirst); n != maxRemoved || inOrder != maxRemoved || l.removed.byName["c99"] != nil {
		t.Errorf("%d states retained, %d in order", n, inOrder)
	}
	for _, s := range invalid {
		if l.removed.byName[s.Name] != nil {
			t.Errorf("invalid state %+v was retained", s)
		}
	}
	if got := l.States(time.Hour + removedRetention); len(got) != 0 {
		t.Errorf("%d states exported past their retention", len(got))
	}
}
