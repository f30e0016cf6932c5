package resource

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// run drives a follower in virtual time against answers that the test makes up.
type run struct {
	t    *testing.T
	f    *Follower
	set  *Set
	now  time.Duration
	dice *rand.Rand
	err  error // of the last Told
	made int   // calls
}

const begin = 1_764_640_000 * time.Second

func newRun(t *testing.T, sources int, all ...Resource) *run {
	r := &run{t: t, set: NewSet(false), now: begin, dice: rand.New(rand.NewPCG(1, 2))}
	if len(all) > 0 {
		r.set = filled(t, false, ver(5, 1), all...)
	}
	r.f = NewFollower(r.set, sources)
	return r
}

// call makes the next call: it rests and returns what is asked. The clock stands at its beginning then.
func (r *run) call() Call {
	if r.made++; r.made > 10_000 {
		r.t.Fatal("calls without end")
	}
	c := r.f.Next(r.now, r.dice.Float64())
	r.now += c.Rest
	return c
}

// tell answers the call after a time, and puts in force what is to be taken.
func (r *run) tell(after time.Duration, d *Delta) bool {
	r.now += after
	var take bool
	if take, r.err = r.f.Told(r.now, d); take {
		r.err = r.set.Apply(r.set.Difference(d))
		r.f.Took(r.now, r.err)
	}
	return take
}

func (r *run) fail(after time.Duration, k FailureKind) {
	r.now += after
	r.f.Failed(r.now, Failure{Kind: k, Err: errors.New("made up")}, r.dice.Float64())
}

// nothing is the answer that nothing came.
func (r *run) nothing(c Call) *Delta { return &Delta{From: c.Since, To: c.Since, Sum: c.Sum} }

// next is the delta that leads on from what is held.
func (r *run) next(all ...Resource) *Delta {
	v := r.set.Version()
	return r.set.Next(ver(v.Epoch, v.Number+1), all, nil)
}

func within(t *testing.T, what string, d, least, most time.Duration) {
	t.Helper()
	if d < least || d > most {
		t.Fatalf("%s: %v, want %v to %v", what, d, least, most)
	}
}

func TestTheFirstCallAsksForEverythingAndWaitsForNothing(t *testing.T) {
	r := newRun(t, 3)
	c := r.call()
	if c != (Call{Limit: NodePace.Grace}) {
		t.Fatalf("%+v", c)
	}
	s := filled(t, true, ver(5, 1), con("a", 1))
	if !r.tell(time.Second, s.Snapshot()) {
		t.Fatal(r.err)
	}
	c = r.call()
	within(t, "rest after a change", c.Rest, restTaken/2, restTaken)
	if c.Since != ver(5, 1) || c.Sum != s.Sum() || c.Source != 1 || c.Wait != 0 {
		t.Fatalf("no look at another one behind the first version: %+v", c)
	}
	r.tell(0, r.nothing(c))
	if c = r.call(); c.Since != ver(5, 1) || c.Sum != s.Sum() || c.Source != 0 || c.Wait == 0 {
		t.Fatalf("%+v", c)
	}
	st := r.f.Status()
	if st.Version != ver(5, 1) || st.Resources != 1 || st.LastAnswer != r.now-c.Rest || st.LastChange != begin+time.Second || st.LastErr != "" {
		t.Fatalf("%+v", st)
	}
}

// From the moment at which a call begins, a lost answer is found out, and another call made, within 18 s: also by way of a control
// process that lost one too.
func TestWaitsAndLimitsFindALostAnswerInTime(t *testing.T) {
	for _, sources := range []int{1, 3} {
		var waits []time.Duration
		r := newRun(t, sources, con("a", 1))
		r.tell(0, r.nothing(r.call()))
		for range 2000 {
			c := r.call()
			if c.Limit != c.Wait+NodePace.Grace {
				t.Fatalf("%+v", c)
			}
			if c.Source == r.f.at && c.Wait > 0 {
				waits = append(waits, c.Wait)
			}
			r.tell(c.Wait, r.nothing(c))
		}
		slices.Sort(waits)
		least, most := waits[0], waits[len(waits)-1]
		within(t, "least wait", least, NodePace.Grace/4, NodePace.WaitLeast+time.Second/2)
		within(t, "most wait", most, NodePace.LookMost-time.Second, NodePace.WaitMost)
		if sources == 1 && (least < NodePace.WaitLeast || most < NodePace.WaitMost-time.Second/2) {
			t.Fatal(least, most)
		}
		t.Logf("%d sources: waits of %v to %v", sources, least, most)
	}
	found := func(p Pace) time.Duration { return max(p.WaitMost, p.LookMost) + p.Grace + restFirst + p.Grace }
	if all := found(NodePace) + found(ControlPace) - NodePace.Grace - ControlPace.Grace; all > 18*time.Second {
		t.Fatal(all)
	}
}

func TestRestsDoubleToTheirMostAndAreForgottenByAGoodAnswer(t *testing.T) {
	r := newRun(t, 1, con("a", 1))
	for round := range 2 {
		r.call()
		want := restFirst
		for range 9 {
			r.fail(0, Unreachable)
			c := r.call()
			within(t, "rest", c.Rest, want/2, want)
			if c.Wait != 0 || c.Limit != NodePace.Grace {
				t.Fatalf("a call after a failure waits: %+v", c)
			}
			want = min(2*want, restMost)
		}
		if st := r.f.Status(); st.Failures != 9 || st.LastErr != "unreachable: made up" {
			t.Fatalf("%+v", st)
		}
		if round == 0 { // something new
			if !r.tell(0, r.next(con("b", 1))) {
				t.Fatal(r.err)
			}
		} else { // a watch that is kept
			c := r.call()
			r.tell(0, r.nothing(c))
			c = r.call()
			r.tell(c.Wait, r.nothing(c))
		}
		if st := r.f.Status(); st.Failures != 0 || st.LastErr != "" {
			t.Fatalf("%+v", st)
		}
	}
}

// Rests are drawn: 450 that failed at one moment don't come back at one.
func TestRestsAreSpread(t *testing.T) {
	var at [20]int
	for i := range 4000 {
		r := newRun(t, 1, con("a", 1))
		r.dice = rand.New(rand.NewPCG(3, uint64(i)))
		r.call()
		for range 7 {
			r.fail(0, Unreachable)
		}
		at[int((r.call().Rest-restMost/2)*time.Duration(len(at))/(restMost/2+1))]++
	}
	for i, n := range at {
		if n < 120 || n > 280 { // 200 by chance; six times the root beside it
			t.Errorf("part %d of the rests: %d of 4000", i, n)
		}
	}
}

func TestAFailureTurnsToTheNextSource(t *testing.T) {
	for _, k := range []FailureKind{Unreachable, Silent, Busy, Behind, Rejected, Invalid} {
		r := newRun(t, 3, con("a", 1))
		var asked []int
		for range 5 {
			asked = append(asked, r.call().Source)
			r.fail(0, k)
		}
		if !slices.Equal(asked, []int{0, 1, 2, 0, 1}) {
			t.Fatal(k, asked)
		}
		if err := r.f.Status().LastErr; !strings.HasPrefix(err, k.String()) {
			t.Fatal(err)
		}
	}
}

// Three sources: a round through all takes no longer than one rest and the calls, also after many.
func TestRestsDoubleWithEachRound(t *testing.T) {
	r := newRun(t, 3, con("a", 1))
	r.call()
	want := restFirst
	for range 8 {
		for range 2 {
			r.fail(0, Unreachable)
			within(t, "rest in a round", r.call().Rest, restFirst/2, restFirst)
		}
		r.fail(0, Unreachable)
		within(t, "rest after a round", r.call().Rest, want/2, want)
		want = min(2*want, restMost)
	}
}

func TestABusySourceIsLeftAloneForAsLongAsItSays(t *testing.T) {
	r := newRun(t, 2, con("a", 1))
	r.call()
	r.f.Failed(r.now, Failure{Kind: Busy, RetryAfter: 10 * time.Second}, 0)
	from := r.now
	for r.now-from < 9*time.Second {
		c := r.call()
		if c.Source != 1 {
			t.Fatalf("%v after: %+v", r.now-from, c)
		}
		r.tell(c.Wait, r.nothing(c))
	}
	// Both are busy: the one that is free first, and at no earlier time; a day is not waited for.
	for r.call().Source != 1 {
		r.fail(0, Unreachable)
	}
	r.f.Failed(r.now, Failure{Kind: Busy, RetryAfter: 24 * time.Hour}, 0)
	for r.call().Source != 0 {
		t.Fatal("asked the busy one")
	}
	r.f.Failed(r.now, Failure{Kind: Busy, RetryAfter: 24 * time.Hour}, 0.999)
	from = r.now
	c := r.call()
	if c.Source != 1 {
		t.Fatal(c)
	}
	within(t, "rest", c.Rest, MaxRetry-5*time.Second, MaxRetry*3/2)
}

// The one that is followed answers well but is itself cut off. Another one is looked at soon, followed for what it has, and the first
// one again as soon as it is not behind.
func TestASourceThatIsCutOffIsFoundOutAndComeBackTo(t *testing.T) {
	for seed := range uint64(50) {
		r := newRun(t, 3, con("a", 1))
		r.dice = rand.New(rand.NewPCG(5, seed))
		change := r.next(con("b", 1))
		from := r.now
		for r.set.Version() != change.To {
			switch c := r.call(); c.Source {
			case 0:
				r.tell(c.Wait, r.nothing(c))
			case 1:
				r.fail(c.Limit, Silent) // is gone
			case 2:
				r.tell(0, change)
			}
		}
		within(t, "found out", r.now-from, 0, 18*time.Second)
		if s := r.f.Status().Source; s != 2 {
			t.Fatal(s)
		}
		// The first one is behind, and stays it for a minute.
		from = r.now
		for r.now-from < time.Minute {
			switch c := r.call(); c.Source {
			case 0:
				r.fail(0, Behind)
			case 1:
				r.fail(c.Limit, Silent)
			case 2:
				r.tell(c.Wait, r.nothing(c))
			}
			if s := r.f.Status(); s.Source != 2 || s.Failures != 0 {
				t.Fatalf("%+v", s)
			}
		}
		from = r.now
		for r.f.Status().Source != 0 {
			c := r.call()
			if c.Source == 1 {
				r.fail(c.Limit, Silent)
			} else {
				r.tell(c.Wait, r.nothing(c))
			}
		}
		within(t, "came home", r.now-from, 0, 18*time.Second)
	}
}

func TestADeltaThatIsNotLaterIsPassedOver(t *testing.T) {
	for _, name := range []string{"doubled", "out of order", "older epoch"} {
		t.Run(name, func(t *testing.T) {
			r := newRun(t, 1, con("a", 1))
			first := r.next(con("a", 2))
			r.call()
			r.tell(0, first)
			second := r.next(con("a", 3))
			r.call()
			r.tell(0, second)
			holds(t, r.set, second.To, con("a", 3))
			d := map[string]*Delta{"doubled": second, "out of order": first,
				"older epoch": filled(t, true, ver(4, 99), con("old", 1)).Snapshot()}[name]
			from, calls := r.now, 0
			for r.now-from < time.Minute {
				c := r.call()
				calls++
				if c.Since != second.To || c.Wait == 0 {
					t.Fatalf("%+v", c)
				}
				if r.tell(0, d) || r.err != nil {
					t.Fatal(r.err)
				}
			}
			holds(t, r.set, second.To, con("a", 3))
			if calls > 40 {
				t.Fatalf("%d calls in a minute", calls)
			}
			// A good one is taken all the same, and ends the rests.
			r.call()
			if !r.tell(0, r.next(con("b", 1))) || r.call().Rest > restTaken {
				t.Fatal(r.err)
			}
		})
	}
}

func TestADeltaForAnotherVersionOrContentMakesItAskForEverything(t *testing.T) {
	ahead := filled(t, true, ver(5, 3), con("a", 9), con("b", 1))
	for name, d := range map[string]*Delta{
		"a delta lost":        {From: ver(5, 2), To: ver(5, 3), Sum: ahead.Sum(), Put: put(con("b", 1))},
		"another sum":         {From: ver(5, 1), To: ver(5, 3), Sum: ahead.Sum() + 1, Put: put(con("a", 9), con("b", 1))},
		"gone and not there":  {From: ver(5, 1), To: ver(5, 3), Sum: ahead.Sum(), Gone: []Key{key("x")}},
		"another sum, of now": {From: ver(5, 1), To: ver(5, 1), Sum: 7},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRun(t, 1, con("a", 1))
			r.call()
			if r.tell(0, d) || r.err == nil {
				t.Fatal("taken")
			}
			holds(t, r.set, ver(5, 1), con("a", 1))
			c := r.call()
			if !c.Since.IsZero() || c.Sum != 0 || !c.Refused.IsZero() || c.Rest < restFirst/2 {
				t.Fatalf("%+v", c)
			}
			if !r.tell(0, ahead.Snapshot()) {
				t.Fatal(r.err)
			}
			holds(t, r.set, ver(5, 3), con("a", 9), con("b", 1))
			if c = r.call(); c.Since != ver(5, 3) {
				t.Fatalf("%+v", c)
			}
		})
	}
}

// Control has a sum that fits nothing. What is told whole is megabytes: it is asked for a few times, then about once a minute.
func TestAWrongSumAtControlIsNotFetchedInALoop(t *testing.T) {
	r := newRun(t, 3, con("a", 1))
	control := filled(t, true, ver(5, 2), con("a", 2))
	bad := control.Snapshot()
	bad.Sum++
	delta := &Delta{From: ver(5, 1), To: ver(5, 2), Sum: bad.Sum, Put: bad.Put}
	from, wholes, calls, told := r.now, 0, 0, 0
	for r.now-from < time.Hour {
		c := r.call()
		calls++
		if c.Refused == bad.To {
			told++
		}
		switch {
		case c.Refused == bad.To: // as a Book does: it waits for a later version
			r.tell(c.Wait, r.nothing(c))
		case c.Since.IsZero():
			wholes++
			r.tell(0, bad)
		default:
			r.tell(0, delta)
		}
	}
	holds(t, r.set, ver(5, 1), con("a", 1))
	if wholes < 30 || wholes > 130 || calls > 3600 || told == 0 {
		t.Fatalf("%d times the whole, %d calls, %d told of it", wholes, calls, told)
	}
	t.Logf("in an hour: %d times the whole, %d calls", wholes, calls)
	// It is mended under a later version.
	good := filled(t, true, ver(5, 3), con("a", 3)).Snapshot()
	for r.set.Version() != good.To {
		if c := r.call(); c.Since.IsZero() {
			r.tell(0, good)
		} else {
			r.tell(0, &Delta{From: ver(5, 1), To: ver(5, 3), Sum: good.Sum, Put: good.Put})
		}
	}
	if c := r.call(); !c.Refused.IsZero() {
		t.Fatalf("%+v", c)
	}
}

// Nor where each second brings a later version whose sum is wrong as well.
func TestWrongSumsOfMoreAndMoreVersionsAreNotFetchedInALoop(t *testing.T) {
	r := newRun(t, 1, con("a", 1))
	from, wholes := r.now, 0
	for r.now-from < time.Hour {
		c := r.call()
		r.now += time.Second
		bad := filled(t, true, ver(5, uint64((r.now-from)/time.Second)+2), con("a", 2)).Snapshot()
		bad.Sum++
		if c.Since.IsZero() {
			wholes++
		} else {
			bad.From = c.Since
		}
		r.tell(0, bad)
	}
	holds(t, r.set, ver(5, 1), con("a", 1))
	if wholes < 30 || wholes > 130 {
		t.Fatalf("%d times the whole", wholes)
	}
}

func TestARefusalIsToldUntilALaterVersionIsInForce(t *testing.T) {
	r := newRun(t, 1, con("a", 1))
	bad := r.next(res("cluster", "x", "{}"))
	r.call()
	if r.tell(0, bad) {
		t.Fatal("taken")
	}
	var why *Refusal
	if !errors.As(r.err, &why) || why.Key.Kind != "cluster" {
		t.Fatal(r.err)
	}
	for range 5 {
		c := r.call()
		if c.Since != ver(5, 1) || c.Refused != bad.To || c.Why != why.Error() || c.Wait == 0 {
			t.Fatalf("%+v", c)
		}
		r.tell(c.Wait, r.nothing(c))
	}
	// The merged delta from the same base mends it.
	r.call()
	good := &Delta{From: ver(5, 1), To: ver(5, 3), Put: put(con("a", 2)), Sum: filled(t, true, ver(1, 1), con("a", 2)).Sum()}
	if !r.tell(0, good) {
		t.Fatal(r.err)
	}
	if c := r.call(); !c.Refused.IsZero() || c.Why != "" || c.Since != ver(5, 3) {
		t.Fatalf("%+v", c)
	}
}

// What the catalog refuses is told in the same way; the words are bounded.
func TestWhatItsCallerRefusesIsToldToo(t *testing.T) {
	r := newRun(t, 1, con("a", 1))
	c := r.call()
	d := r.next(con("a", 2))
	if take, err := r.f.Told(r.now, d); !take || err != nil {
		t.Fatal(take, err)
	}
	r.f.Took(r.now, &Refusal{key("a"), "rate", strings.Repeat("é", MaxWhy)})
	if c = r.call(); c.Since != ver(5, 1) || c.Refused != d.To || len(c.Why) > MaxWhy || !strings.HasPrefix(c.Why, `contract "a": rate: é`) {
		t.Fatalf("%+v", c)
	}
	// It stays through calls that fail and through answers without anything new.
	r.fail(0, Behind)
	if c = r.call(); c.Refused != d.To {
		t.Fatalf("%+v", c)
	}
	r.tell(0, r.nothing(c))
	if c = r.call(); c.Refused != d.To {
		t.Fatalf("%+v", c)
	}
}

// A source that sends what was refused again and again, at once, is not asked in a loop.
func TestARefusedVersionSentAgainIsNotALoop(t *testing.T) {
	r := newRun(t, 1, con("a", 1))
	bad := r.next(res("cluster", "x", "{}"))
	from, calls := r.now, 0
	for r.now-from < time.Minute {
		r.call()
		calls++
		r.tell(0, bad)
	}
	if calls > 40 {
		t.Fatal(calls)
	}
}

func TestAnEmptyAnswerAtOnceIsNotALoop(t *testing.T) {
	r := newRun(t, 3, con("a", 1))
	from, calls := r.now, 0
	for r.now-from < time.Minute {
		c := r.call()
		calls++
		r.tell(0, r.nothing(c))
	}
	if calls > 80 { // looks at others, which are to answer at once, among them
		t.Fatal(calls)
	}
}

// Calls that are to be answered at once are, and watches are dropped: the good calls between don't make the rests short.
func TestASourceThatDropsEachWatchIsNotALoop(t *testing.T) {
	r := newRun(t, 1, con("a", 1))
	from, calls := r.now, 0
	for r.now-from < time.Minute {
		c := r.call()
		calls++
		if c.Wait > 0 {
			r.fail(0, Unreachable)
		} else {
			r.tell(0, r.nothing(c))
		}
	}
	if calls > 60 {
		t.Fatal(calls)
	}
}

func TestAnEpochTooFarAheadIsRefusedUntilTheClockSaysOtherwise(t *testing.T) {
	r := newRun(t, 1, con("a", 1))
	day := uint64(begin.Milliseconds()) + MaxEpochAhead
	far := filled(t, true, ver(day+3_600_000, 0), con("a", 2)).Snapshot()
	r.call()
	var why *Refusal
	if r.tell(0, far) || !errors.As(r.err, &why) || why.Field != "to" {
		t.Fatal(r.err)
	}
	if c := r.call(); c.Refused != far.To || !strings.Contains(c.Why, "over a day ahead") {
		t.Fatalf("%+v", c)
	}
	r.now += time.Hour + time.Second // the clock is put right, or time went on
	if c := r.call(); !c.Refused.IsZero() {
		t.Fatalf("%+v", c)
	}
	if !r.tell(0, far) {
		t.Fatal(r.err)
	}
	// Just a day ahead is taken.
	r = newRun(t, 1, con("a", 1))
	r.call()
	if !r.tell(0, filled(t, true, ver(day, 0), con("a", 2)).Snapshot()) {
		t.Fatal(r.err)
	}
	// What comes in force before goes with the refusal: a version that can't be left again is not waited for.
	r = newRun(t, 1, con("a", 1))
	r.call()
	r.tell(0, far)
	r.call()
	if !r.tell(0, r.next(con("a", 3))) {
		t.Fatal(r.err)
	}
	if c := r.call(); !c.Refused.IsZero() {
		t.Fatalf("%+v", c)
	}
}

func TestBodyLimits(t *testing.T) {
	for length, want := range map[int64]time.Duration{-1: bodyMost, 0: bodyLeast, 64 << 10: bodyLeast + time.Second, 1 << 40: bodyMost} {
		if d := BodyLimit(length); d != want {
			t.Errorf("%d bytes: %v, want %v", length, d, want)
		}
	}
}

// Whatever is answered in whatever order: a node's version never falls, its set is the content of its version, calls stay within
// their bounds, and there are never more of them than rests allow.
func TestANodeNeverGoesBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		// Some versions that control had, in two epochs, and the deltas between any two of them.
		s, h := NewSet(true), NewHistory(HistoryLimits{})
		sums, wholes := map[Version]Sum{}, map[Version]*Delta{}
		var versions []Version
		for i := range 6 {
			to := ver(5+uint64(i/3), uint64(i))
			d := s.Next(to, put(con(fmt.Sprint(i%4), i)), nil)
			h.Add(0, d)
			if err := s.Apply(d); err != nil {
				t.Fatal(err)
			}
			versions, sums[to], wholes[to] = append(versions, to), s.Sum(), s.Snapshot()
		}
		node := NewSet(false)
		f := NewFollower(node, 3)
		now, calls := begin, 0
		for range rapid.IntRange(1, 60).Draw(t, "answers") {
			c := f.Next(now, rapid.Float64Range(0, 0.999).Draw(t, "draw"))
			now += c.Rest
			calls++
			if c.Source < 0 || c.Source > 2 || c.Rest < 0 || c.Rest > sumForget || c.Wait < 0 || c.Wait > NodePace.WaitMost || c.Limit != c.Wait+NodePace.Grace {
				t.Fatalf("%+v", c)
			}
			before := node.Version()
			d := &Delta{From: c.Since, To: c.Since, Sum: c.Sum}
			v := rapid.SampledFrom(versions).Draw(t, "version")
			switch rapid.IntRange(0, 4).Draw(t, "answer") {
			case 0:
				f.Failed(now, Failure{Kind: FailureKind(rapid.IntRange(0, 5).Draw(t, "kind"))}, 0.3)
				continue
			case 1:
				d = wholes[v]
			case 2:
				if since, ok := h.Since(v); ok {
					d = since
				}
			case 3:
				broken := *wholes[v]
				broken.Sum++
				d = &broken
			}
			if take, _ := f.Told(now, d); take {
				err := node.Apply(node.Difference(d))
				f.Took(now, err)
				if err != nil {
					t.Fatal(err)
				}
			}
			if node.Version().Compare(before) < 0 || node.Sum() != sums[node.Version()] {
				t.Fatal(before, node.Version())
			}
			now += rapid.SampledFrom([]time.Duration{0, time.Millisecond, c.Wait}).Draw(t, "after")
		}
	})
}
