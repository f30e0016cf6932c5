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

// change puts a change in force that must fit.
func change(t testing.TB, l *Ledger, now time.Duration, c Change) {
	t.Helper()
	if err := l.table.Check(&c); err != nil {
		t.Fatal(err)
	}
	l.Change(now, &c)
}

// world is what matches and callers of the property test are drawn from: small, so that they meet.
var world = struct {
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

func drawMatch(t *rapid.T) (m Match) {
	m.Tenant = rapid.SampledFrom(world.tenants).Draw(t, "tenant")
	if v := rapid.SampledFrom(world.values).Draw(t, "value"); v != "" {
		m.Header, m.Value = rapid.SampledFrom(world.headers).Draw(t, "header"), v
	}
	m.From = rapid.SampledFrom(world.ranges).Draw(t, "from")
	if s := rapid.SampledFrom(world.tokens).Draw(t, "token"); s != "" {
		m.Token = sha256.Sum256([]byte(s))
	}
	return m
}

func drawTerms(t *rapid.T) Terms {
	c := Terms{Name: fmt.Sprint("c", rapid.IntRange(0, 9).Draw(t, "name"))}
	if rapid.IntRange(0, 8).Draw(t, "default") > 0 {
		c.Matches = rapid.SliceOfN(rapid.Custom(drawMatch), 1, 3).Draw(t, "matches")
	}
	return c
}

func drawCaller(t *rapid.T) Caller {
	one, two := rapid.SampledFrom(world.values).Draw(t, "one"), rapid.SampledFrom(world.values).Draw(t, "two")
	return Caller{Tenant: rapid.SampledFrom(world.tenants).Draw(t, "by"), Token: rapid.SampledFrom(world.tokens).Draw(t, "shows"),
		From: rapid.SampledFrom(world.addrs).Draw(t, "addr"), Header: func(name string) string {
			return map[string]string{"X-One": one, "X-Two": two}[name]
		}}
}

// whose says by the rules alone, without any index, which contract is for a caller: the most specific, of two the first by name.
func whose(there map[string]Terms, c *Caller) (name string, rank int) {
	digest := sha256.Sum256([]byte(c.Token))
	rank = -1
	for _, n := range slices.Sorted(maps.Keys(there)) {
		terms := there[n]
		if len(terms.Matches) == 0 && rank < 0 {
			name = n
		}
		for i := range terms.Matches {
			if m := &terms.Matches[i]; m.rank() > rank && m.holds(c, &digest) {
				name, rank = n, m.rank()
			}
		}
	}
	return name, rank
}

// A table that was changed in place finds for any caller what one finds that was made anew of the same terms, and takes just the
// changes after which one could be made anew. What a change does not name keeps its number.
func TestChangedInPlaceAsMadeAnew(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		tab := table(t)
		l := NewLedger(tab, 0, 1)
		there := map[string]Terms{}
		for range rapid.IntRange(1, 30).Draw(rt, "changes") {
			c := Change{Put: rapid.SliceOfN(rapid.Custom(drawTerms), 0, 4).Draw(rt, "put")}
			for range rapid.IntRange(0, 3).Draw(rt, "gone") {
				c.Gone = append(c.Gone, fmt.Sprint("c", rapid.IntRange(0, 9).Draw(rt, "which")))
			}
			then, doubled := maps.Clone(there), false
			for _, n := range c.Gone {
				delete(then, n)
			}
			named := slices.Clone(c.Gone)
			for _, p := range c.Put {
				doubled = doubled || slices.Contains(named, p.Name)
				named = append(named, p.Name)
				then[p.Name] = p
			}
			var terms []Terms
			for _, n := range slices.Sorted(maps.Keys(then)) {
				terms = append(terms, then[n])
			}
			anew, bad := NewTable(terms)
			err := tab.Check(&c)
			if (err == nil) != (bad == nil && !doubled) {
				rt.Fatalf("%+v: %v; made anew: %v", c, err, bad)
			}
			if err != nil {
				continue
			}
			slots := maps.Clone(tab.slots)
			l.Change(0, &c)
			for n, i := range slots {
				if !slices.Contains(named, n) && tab.Terms(i).Name != n {
					rt.Fatalf("%s was %d, which is %q now", n, i, tab.Terms(i).Name)
				}
			}
			if there = then; tab.Count() != len(there) || tab.Count()+len(tab.free) != tab.Len() {
				rt.Fatalf("%d contracts in %d slots of which %d are free, want %d", tab.Count(), tab.Len(), len(tab.free), len(there))
			}
			for range 10 {
				caller := drawCaller(rt)
				want, rank := whose(there, &caller)
				got, found := "", tab.Find(&caller)
				if found >= 0 {
					if got = tab.Terms(found).Name; got == "" {
						rt.Fatalf("a free slot is found: %d", found)
					}
				}
				if got != want {
					rt.Fatalf("%+v falls under %q, want %q", caller, got, want)
				}
				i := anew.Find(&caller)
				if (i < 0) != (found < 0) {
					rt.Fatalf("%+v falls under %q, in a table made anew under %d", caller, got, i)
				}
				if i >= 0 && anew.Terms(i).Name != got { // only one as specific may be another
					if _, r := whose(map[string]Terms{"": *anew.Terms(i)}, &caller); r != rank {
						rt.Fatalf("%+v falls under %q (%d), made anew under %q (%d)", caller, got, rank, anew.Terms(i).Name, r)
					}
				}
			}
		}
		l.Change(0, &Change{Gone: slices.Collect(maps.Keys(there))})
		if n := len(tab.tenants) + len(tab.headers) + len(tab.tokens) + len(tab.ranges) + len(tab.names.values) + len(tab.lengths.values) +
			len(tab.lengths6.values) + tab.Count(); n != 0 || tab.fallback != -1 {
			rt.Fatalf("all have gone, and %d entries are left of them: %+v", n, tab)
		}
	})
}

// A change that does not fit names contract and field.
func TestChangesThatMakeNoSense(t *testing.T) {
	a, b := []Match{{Tenant: "a"}}, []Match{{Tenant: "b"}}
	tab := table(t, Terms{Name: "a", Matches: a}, Terms{Name: "rest"})
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
		{Change{Put: []Terms{{Name: "b", Matches: a}}, Gone: []string{"a"}}, ""},
		{Change{Put: []Terms{{Name: "a", Matches: b}, {Name: "b", Matches: a}}}, ""}, // they change places
		{Change{Put: []Terms{{Name: "rest", Matches: b}, {Name: "a"}}}, ""},
		{Change{Put: []Terms{{Name: "a", Matches: append(a, a...)}}, Gone: []string{"none"}}, ""},
	} {
		err := tab.Check(&c.change)
		var bad *ChangeError
		if c.want == "" && err != nil || c.want != "" && (!errors.As(err, &bad) || !strings.HasPrefix(err.Error(), c.want)) {
			t.Errorf("%+v: %v, want %q", c.change, err, c.want)
		}
	}
	if tab.Find(&Caller{Tenant: "a"}) != 0 || tab.Find(&Caller{Tenant: "b"}) != 1 {
		t.Error("a check changed the table")
	}
}

// A contract that a change does not name keeps what it has spent; one that states something else keeps it within its new bounds.
func TestChangeKeepsWhatIsSpent(t *testing.T) {
	one := Terms{Name: "one", Rate: 1, Burst: 3, Matches: []Match{{Tenant: "1"}}}
	two := Terms{Name: "two", Rate: 1, Burst: 8, Limit: 4, Guaranteed: 4, Bandwidth: 100, InFlight: 2, Matches: []Match{{Tenant: "2"}}}
	l := NewLedger(table(t, one, two), 0, 1)
	for range 3 {
		l.Admit(0, 0, "r", 0, false)
	}
	v := l.Admit(0, 1, "r", 0.5, false)
	change(t, l, 0, Change{Put: []Terms{{Name: "three", Matches: []Match{{Tenant: "3"}}}}, Gone: []string{"none"}})
	if got := l.Admit(0, 0, "r", 0, false); got.Rule != Rate {
		t.Errorf("another's change refills the rate: %+v", got)
	}
	two.Burst, two.Limit, two.Guaranteed, two.Bandwidth, two.InFlight = 2, 1, 1, 10, 1
	change(t, l, 0, Change{Put: []Terms{two}})
	if level := l.Level(0, 1); level.Tokens != 2 || level.Work != 1 || level.Kept != 1 || level.InFlight != 1 || l.states[1].bytes != 10 {
		t.Errorf("smaller bounds leave %+v", level)
	}
	if got := l.Admit(0, 1, "r", 0, false); got.Rule != InFlight {
		t.Errorf("a change forgets what is in flight: %+v", got)
	}
	l.Done(0, "two", v, 0.5)
	if got := l.Admit(0, 1, "r", 0, false); got.Rule != Kept {
		t.Errorf("the request that was under way did not end: %+v", got)
	}
	two.Burst = 100
	change(t, l, 0, Change{Put: []Terms{two}})
	if level := l.Level(0, 1); level.Tokens != 1 {
		t.Errorf("a greater burst is there at once: %v", level.Tokens)
	}
	two.Rate = 50
	change(t, l, 2*time.Second, Change{Put: []Terms{two}})
	if level := l.Level(2*time.Second, 1); level.Tokens != 3 {
		t.Errorf("two seconds at the rate before are refilled by that of now: %v", level.Tokens)
	}
	change(t, l, 0, Change{Even: true})
	if !l.table.EvenParts {
		t.Error("even parts are not handed out")
	}
}

// level is what is left of a contract by its name.
func level(t testing.TB, l *Ledger, now time.Duration, name string) Level {
	t.Helper()
	i, known := l.table.Slot(name)
	if !known {
		t.Fatalf("%s is not there", name)
	}
	return l.Level(now, i)
}

// A contract that is removed and made again under its name has what one has that was never away, debts and requests in flight as well,
// whatever ends meanwhile and whoever has its number then.
func TestRemovedAndMadeAgain(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		terms := Terms{Name: "c", Rate: rapid.Float64Range(0.1, 20).Draw(rt, "rate"), Burst: rapid.Float64Range(1, 20).Draw(rt, "burst"),
			Limit: rapid.Float64Range(0.1, 5).Draw(rt, "limit"), Bandwidth: 1000, Bounded: true, Ratio: 0.5, Window: 10 * time.Second,
			InFlight: rapid.IntRange(1, 5).Draw(rt, "flight"), Matches: []Match{{Tenant: "c"}}}
		terms.Guaranteed = terms.Limit / 2
		stayed, moved := NewLedger(table(t, terms), 0, 1), NewLedger(table(t, terms), 0, 1)
		type open struct{ a, b Verdict }
		var running []open
		now, there, other := time.Duration(0), true, false
		for range rapid.IntRange(1, 120).Draw(rt, "steps") {
			now += time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(rt, "dt"))
			switch what := rapid.IntRange(0, 6).Draw(rt, "what"); {
			case what == 0 && there:
				change(t, moved, now, Change{Gone: []string{"c"}})
				there = false
			case what == 0:
				change(t, moved, now, Change{Put: []Terms{terms}})
				there = true
			case what == 1: // another takes a slot, or gives it back
				if other = !other; other {
					change(t, moved, now, Change{Put: []Terms{{Name: "d", Matches: []Match{{Tenant: "d"}}}}})
					moved.Admit(now, moved.table.Find(&Caller{Tenant: "d"}), "r", 1, false)
				} else {
					change(t, moved, now, Change{Gone: []string{"d"}})
				}
			case what == 2 && len(running) > 0:
				took := rapid.Float64Range(0, 4).Draw(rt, "took")
				stayed.Done(now, "c", running[0].a, took)
				moved.Done(now, "c", running[0].b, took)
				running = running[1:]
			case there:
				hint, repeat := rapid.Float64Range(0, 1).Draw(rt, "hint"), rapid.Bool().Draw(rt, "repeat")
				a := stayed.Admit(now, 0, "r", hint, repeat)
				b := moved.Admit(now, moved.table.Find(&Caller{Tenant: "c"}), "r", hint, repeat)
				if a.Rule != b.Rule || math.Abs(a.Cost-b.Cost) > 1e-9 || (a.RetryAfter-b.RetryAfter).Abs() > time.Microsecond {
					rt.Fatalf("at %v: %+v, one that was never away says %+v", now, b, a)
				}
				if a.Rule == Kept {
					running = append(running, open{a, b})
				}
				if wait := (stayed.Pace(now, "c", a, 500) - moved.Pace(now, "c", b, 500)).Abs(); wait > time.Microsecond {
					rt.Fatalf("their bandwidth differs by %v", wait)
				}
			}
		}
		if !there {
			change(t, moved, now, Change{Put: []Terms{terms}})
		}
		for _, r := range running {
			stayed.Done(now, "c", r.a, 0.1)
			moved.Done(now, "c", r.b, 0.1)
		}
		a, b := level(t, stayed, now, "c"), level(t, moved, now, "c")
		if math.Abs(a.Tokens-b.Tokens)+math.Abs(a.Work-b.Work)+math.Abs(a.Kept-b.Kept)+math.Abs(a.Furthers-b.Furthers) > 1e-6 || b.InFlight != 0 ||
			a.Admitted != b.Admitted {
			rt.Fatalf("%+v, one that was never away has %+v", b, a)
		}
	})
}

// Never more than rate × time + burst, however often the contract is removed and made again, or its part changes.
func TestRateBoundAcrossChanges(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		terms := Terms{Name: "c", Rate: rapid.Float64Range(0.1, 50).Draw(rt, "rate"), Burst: rapid.Float64Range(1, 50).Draw(rt, "burst"), Matches: []Match{{Tenant: "c"}}}
		l := NewLedger(table(t, terms), 0, 1)
		now, n := time.Duration(0), 0
		for range rapid.IntRange(1, 200).Draw(rt, "steps") {
			now += time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(rt, "dt"))
			switch rapid.IntRange(0, 3).Draw(rt, "what") {
			case 0:
				l.Change(now, &Change{Gone: []string{"c"}})
				l.Change(now, &Change{Put: []Terms{terms}})
			default:
				for range rapid.IntRange(1, 20).Draw(rt, "asks") {
					if v := l.Admit(now, l.table.Find(&Caller{Tenant: "c"}), "r", 0.01, false); v.Rule == Kept {
						n++
						l.Done(now, "c", v, 0.01)
					}
				}
			}
		}
		if most := terms.Rate*now.Seconds() + terms.Burst + 1e-6; float64(n) > most {
			rt.Fatalf("%d were let in, at most %.1f", n, most)
		}
	})
}

// A contract that is removed with requests in flight and not made again: they end, and nothing is left of them but what is remembered.
func TestRemovedWithRequestsInFlight(t *testing.T) {
	one := Terms{Name: "one", InFlight: 2, Limit: 1, Matches: []Match{{Tenant: "1"}}}
	l := NewLedger(table(t, one, Terms{Name: "two", InFlight: 5, Matches: []Match{{Tenant: "2"}}}), 0, 1)
	first, second := l.Admit(0, 0, "r", 0.1, false), l.Admit(0, 0, "r", 0.1, false)
	change(t, l, 0, Change{Gone: []string{"one"}, Put: []Terms{{Name: "three", Matches: []Match{{Tenant: "3"}}}}})
	if v := l.Admit(0, l.table.Find(&Caller{Tenant: "1"}), "r", 0, false); v.Rule != None {
		t.Errorf("its callers have a contract still: %+v", v)
	}
	if i, _ := l.table.Slot("three"); i != 0 {
		t.Errorf("the free slot is not used: %d", i)
	}
	in := l.Admit(0, 0, "r", 0, false) // of the one that has its number now
	if wait := l.Pace(0, "one", first, 1e9); wait != 0 {
		t.Errorf("one that has gone bounds a tunnel by %v", wait)
	}
	l.Done(0, "one", first, 3)
	if got := l.Level(0, 0); got.InFlight != 1 || got.Name != "three" {
		t.Errorf("the request of one that has gone ends one of %+v", got)
	}
	change(t, l, 0, Change{Put: []Terms{one}})
	if got := level(t, l, 0, "one"); got.InFlight != 1 || math.Abs(got.Work - -2.1) > 1e-9 {
		t.Errorf("made again: %+v, want one in flight and what the first cost beside", got)
	}
	l.Done(0, "one", second, 0.1)
	l.Done(0, "three", in, 0.1)
	if a, b := level(t, l, 0, "one"), l.Level(0, 0); a.InFlight != 0 || b.InFlight != 0 {
		t.Errorf("%+v, %+v", a, b)
	}
	if got := l.Levels(0, 10); len(got) != 2 { // two was never used
		t.Errorf("%+v", got)
	}
}

// What is remembered of contracts that have gone is bounded by number and time. What is forgotten counts no more: its requests do
// not end those of a new contract of its name.
func TestRemovalsAreBounded(t *testing.T) {
	terms := func(i int) Terms {
		return Terms{Name: fmt.Sprint("c", i), Rate: 0.001, Burst: 1, InFlight: 9, Matches: []Match{{Tenant: fmt.Sprint(i)}}}
	}
	l := NewLedger(table(t), 0, 1)
	run := func(now time.Duration, i int) Verdict {
		change(t, l, now, Change{Put: []Terms{terms(i)}})
		v := l.Admit(now, l.table.Find(&Caller{Tenant: fmt.Sprint(i)}), "r", 0, false)
		change(t, l, now, Change{Gone: []string{fmt.Sprint("c", i)}})
		return v
	}
	old := run(0, 0)
	for i := range removedMost {
		run(0, i+1)
	}
	if n := len(l.removed.byName); n != removedMost || l.removed.byName["c0"] != nil {
		t.Fatalf("%d are remembered, want %d and the oldest not", n, removedMost)
	}
	v := run(0, 0)
	if v.Rule != Kept {
		t.Fatalf("one that is forgotten begins anew: %+v", v)
	}
	change(t, l, 0, Change{Put: []Terms{terms(0)}})
	l.Done(0, "c0", old, 1)
	if got := level(t, l, 0, "c0"); got.InFlight != 1 {
		t.Errorf("a request of a forgotten one ends another's: %+v", got)
	}
	l.Done(0, "c0", v, 1)
	if got := level(t, l, 0, "c0"); got.InFlight != 0 {
		t.Errorf("%+v", got)
	}
	change(t, l, 0, Change{Put: []Terms{terms(3)}})
	if got := l.Admit(0, l.table.Find(&Caller{Tenant: "3"}), "r", 0, false); got.Rule != Rate {
		t.Errorf("one that is remembered has a second burst: %+v", got)
	}
	// Long after, all are forgotten with the next change, and one that is made again by that very change begins anew.
	late := removedFor + time.Second
	change(t, l, late, Change{Put: []Terms{terms(7)}})
	if got := l.Admit(late, l.table.Find(&Caller{Tenant: "7"}), "r", 0, false); got.Rule != Kept {
		t.Errorf("after %v: %+v", late, got)
	}
	if n, order := len(l.removed.byName), len(l.removed.order); n != 0 || order != 0 {
		t.Errorf("after %v %d are remembered, %d in order", late, n, order)
	}
	// One that goes and comes all the time leaves no trail behind one that stays remembered.
	run(late, 1)
	for range 10 * removedMost {
		run(late, 2)
	}
	if n := len(l.removed.order); n > 2*removedMost+1 || len(l.removed.byName) != 2 {
		t.Errorf("%d in order, %d remembered", n, len(l.removed.byName))
	}
}

// A hand-over takes what removed contracts had left unused as well; only their debts stay.
func TestEmptyTakesWhatRemovedOnesHad(t *testing.T) {
	terms := Terms{Name: "c", Rate: 0.1, Burst: 5, Matches: []Match{{Tenant: "c"}}}
	l := NewLedger(table(t, terms), 0, 1)
	l.Admit(0, 0, "r", 0, false)
	change(t, l, 0, Change{Gone: []string{"c"}})
	l.Empty(0)
	change(t, l, 0, Change{Put: []Terms{terms}})
	if got := l.Admit(0, 0, "r", 0, false); got.Rule != Rate {
		t.Errorf("a second burst: %+v", got)
	}
}

// Under pressure, lending goes on over changes: each that is used takes part once, none that has gone does.
func TestLendingAcrossChanges(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		l := NewLedger(table(t), 0, 1)
		now := time.Duration(0)
		for range rapid.IntRange(1, 100).Draw(rt, "steps") {
			now += time.Duration(rapid.Int64Range(0, int64(100*ms)).Draw(rt, "dt"))
			name := fmt.Sprint("c", rapid.IntRange(0, 5).Draw(rt, "who"))
			switch rapid.IntRange(0, 3).Draw(rt, "what") {
			case 0:
				l.Change(now, &Change{Gone: []string{name}})
			case 1:
				l.Change(now, &Change{Put: []Terms{{Name: name, Guaranteed: 1, Weight: 1, Lends: 1, Matches: []Match{{Tenant: name}}}}})
			default:
				l.Look(now, rapid.Float64Range(0, 1).Draw(rt, "pressure"))
				l.Admit(now, l.table.Find(&Caller{Tenant: name}), "r", 0.1, false)
			}
			seen := map[int]bool{}
			for _, i := range l.active {
				if s := l.states[i]; s == nil || !s.active || s.slot != i || seen[i] {
					rt.Fatalf("%d of %v takes part in lending", i, l.active)
				}
				seen[i] = true
			}
			for i, s := range l.states {
				if s != nil && s.active != seen[i] {
					rt.Fatalf("%d is active and takes no part in lending", i)
				}
			}
		}
	})
}

// large is a table of so many contracts as a service's teams have them, made by one change.
func large(t testing.TB, n int) *Ledger {
	classes := map[string]bool{"read": true, "write": true}
	c := Change{Put: []Terms{{Name: "rest"}}}
	for i := range n {
		c.Put = append(c.Put, team(i, classes))
	}
	l := NewLedger(table(t), 0, 1)
	change(t, l, 0, c)
	return l
}

func team(i int, classes map[string]bool) Terms {
	name := fmt.Sprint("team-", i)
	return Terms{Name: name, Matches: []Match{{Tenant: name}}, Rate: 5, Burst: 10, InFlight: 20, Classes: classes, Weight: 1, Lends: 1}
}

// BenchmarkFind is a look-up by tenant, in a table of a file and in one that was changed in place.
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
		}{{"file", table(b, terms...)}, {"changed", large(b, n).table}} {
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

// BenchmarkChange is a change of one contract of so many: it is removed, and made again.
func BenchmarkChange(b *testing.B) {
	for _, n := range []int{1700, 17000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			l := large(b, n)
			classes := map[string]bool{"read": true}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				t := team(i%n, classes)
				gone, put := Change{Gone: []string{t.Name}}, Change{Put: []Terms{t}}
				for _, c := range []*Change{&gone, &put} {
					if err := l.table.Check(c); err != nil {
						b.Fatal(err)
					}
					l.Change(time.Duration(i)*ms, c)
				}
			}
		})
	}
}

// BenchmarkBytes is what a contract takes that nobody uses, of a table made by changes.
func BenchmarkBytes(b *testing.B) {
	for _, n := range []int{1700, 17000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				var before, after runtime.MemStats
				runtime.GC()
				runtime.GC()
				runtime.ReadMemStats(&before)
				l := large(b, n)
				runtime.GC()
				runtime.GC()
				runtime.ReadMemStats(&after)
				b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(n), "bytes/contract")
				runtime.KeepAlive(l)
			}
		})
	}
}

// A look-up in a table that was changed in place allocates nothing.
func TestFindDoesNotAllocate(t *testing.T) {
	l := large(t, 1000)
	change(t, l, 0, Change{Gone: []string{"team-5"}})
	callers := []Caller{{Tenant: "team-7"}, {Tenant: "team-5"}, {Token: "x", From: netip.MustParseAddr("10.0.0.1")}}
	i := 0
	if n := testing.AllocsPerRun(1000, func() { l.table.Find(&callers[i%3]); i++ }); n > 0 {
		t.Errorf("%v allocations", n)
	}
}

// A contract that is first used long after a hand-over, or was made since, has what it would have refilled: the process before is not
// there any more to have spent it.
func TestFirstUsedLongAfterHandOver(t *testing.T) {
	terms := Terms{Name: "c", Rate: 2, Burst: 10, Limit: 3, Bandwidth: 100, Guaranteed: 1, Matches: []Match{{Tenant: "c"}}}
	l := NewLedger(table(t, terms), 0, 1)
	l.Empty(time.Minute)
	terms.Name, terms.Matches = "d", []Match{{Tenant: "d"}}
	change(t, l, time.Minute, Change{Put: []Terms{terms}})
	for i, at := range []time.Duration{time.Minute + time.Second, time.Hour} {
		if got, want := l.Level(at, i).Tokens, []float64{2, 10}[i]; got != want {
			t.Errorf("%v after the start it may send %v at once, want %v", at, got, want)
		}
	}
	if got := l.Level(time.Hour, 1); got.Work != 3 || got.Kept != 1 || l.states[1].bytes != 100 {
		t.Errorf("%+v", got)
	}
	if v := l.Admit(time.Hour, 0, "r", 0, false); v.Rule != Kept {
		t.Errorf("%+v", v)
	}
}

// What a removed contract had left goes over to a process that takes its place, and is paid back meanwhile by what it stated: made again
// there it has what one has that was never away, whichever of the two processes knew of its end, and however often they pass it on.
func TestRemovedBeforeHandOver(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		terms := Terms{Name: "c", Rate: rapid.Float64Range(0.1, 5).Draw(rt, "rate"), Burst: rapid.Float64Range(1, 5).Draw(rt, "burst"),
			Limit: rapid.Float64Range(0.1, 2).Draw(rt, "limit"), Bandwidth: 1000, Bounded: true, Ratio: 0.5, Window: 10 * time.Second,
			Matches: []Match{{Tenant: "c"}}}
		terms.Guaranteed = terms.Limit / 2
		stayed, moved := NewLedger(table(t, terms), 0, 1), NewLedger(table(t, terms), 0, 1)
		now, there := time.Duration(0), true
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			now += time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(rt, "dt"))
			switch what := rapid.IntRange(0, 5).Draw(rt, "what"); {
			case what == 0 && there:
				change(t, moved, now, Change{Gone: []string{"c"}})
				there = false
			case what == 0:
				change(t, moved, now, Change{Put: []Terms{terms}})
				there = true
			case what == 1:
				left := moved.Left(now)
				moved = NewLedger(table(t), now, 1)
				if there || rapid.Bool().Draw(rt, "the successor has it still") {
					change(t, moved, now, Change{Put: []Terms{terms}})
					there = true
				}
				if moved.Resume(now, left, true); len(left) == 0 {
					moved.emptied = never // nothing was used, and nothing has a second burst
				}
			case there:
				hint, repeat, took := rapid.Float64Range(0, 1).Draw(rt, "hint"), rapid.Bool().Draw(rt, "repeat"), rapid.Float64Range(0, 4).Draw(rt, "took")
				a := stayed.Admit(now, 0, "r", hint, repeat)
				b := moved.Admit(now, moved.table.Find(&Caller{Tenant: "c"}), "r", hint, repeat)
				if a.Rule != b.Rule || math.Abs(a.Cost-b.Cost) > 1e-9 || (a.RetryAfter-b.RetryAfter).Abs() > time.Microsecond {
					rt.Fatalf("at %v: %+v, one that was never away says %+v", now, b, a)
				}
				if a.Rule == Kept {
					if wait := (stayed.Pace(now, "c", a, 500) - moved.Pace(now, "c", b, 500)).Abs(); wait > time.Microsecond {
						rt.Fatalf("their bandwidth differs by %v", wait)
					}
					stayed.Done(now, "c", a, took)
					moved.Done(now, "c", b, took)
				}
			}
		}
		if !there {
			change(t, moved, now, Change{Put: []Terms{terms}})
		}
		a, b := level(t, stayed, now, "c"), level(t, moved, now, "c")
		if math.Abs(a.Tokens-b.Tokens)+math.Abs(a.Work-b.Work)+math.Abs(a.Kept-b.Kept)+math.Abs(a.Furthers-b.Furthers) > 1e-6 {
			rt.Fatalf("%+v, one that was never away has %+v", b, a)
		}
	})
}

// A contract that was in force at the predecessor and is not at its successor keeps its debt; without credit only the debt. What is told
// of removed ones is bounded as what is remembered is, and terms that make no sense are passed over.
func TestRemovedAmidHandOver(t *testing.T) {
	terms := Terms{Name: "c", Rate: 1, Burst: 5, Limit: 1, Matches: []Match{{Tenant: "c"}}}
	old := NewLedger(table(t, terms), 0, 1)
	old.Done(0, "c", old.Admit(0, 0, "r", 0, false), 4)
	if got := old.Left(0); len(got) != 1 || got[0].Gone != nil || got[0].Work != -3 {
		t.Fatalf("%+v", got)
	}
	for _, credit := range []bool{true, false} {
		l := NewLedger(table(t), 0, 1)
		l.Resume(0, old.Left(0), credit)
		change(t, l, 0, Change{Put: []Terms{terms}})
		if got := level(t, l, 0, "c"); got.Work != -3 || !credit && got.Tokens != 0 || got.Tokens > 4 {
			t.Errorf("credit %v: %+v", credit, got)
		}
	}
	gone := func(i int, ago time.Duration) Left {
		return Left{Name: fmt.Sprint("c", i), Work: -1, Gone: &Gone{Ago: ago, Limit: 1}}
	}
	l, all := NewLedger(table(t), 0, 1), []Left{}
	for i := range removedMost + 100 {
		all = append(all, gone(i, time.Second))
	}
	bad := []Left{gone(9001, removedFor+1), gone(9002, 0), gone(9003, 0), {Name: ""}}
	bad[1].Gone.Limit, bad[2].Gone.Rate = math.NaN(), -1
	l.Resume(time.Hour, append(all, bad...), true)
	l.Resume(time.Hour, all[200:], true) // told again: nothing doubles
	if n, order := len(l.removed.byName), len(l.removed.order); n != removedMost || order != removedMost || l.removed.byName["c99"] != nil {
		t.Errorf("%d are remembered, %d in order", n, order)
	}
	for _, o := range bad {
		if l.removed.byName[o.Name] != nil {
			t.Errorf("%+v is remembered", o)
		}
	}
	if got := l.Left(time.Hour + removedFor); len(got) != 0 {
		t.Errorf("%d are told past their time", len(got))
	}
}
