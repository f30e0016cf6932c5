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
type followerTest struct {
	t        *testing.T
	follower *Follower
	set      *Set
	now      time.Duration
	random   *rand.Rand
	err      error // of the last Told
	calls    int   // calls
}

const startTime = 1_764_640_000 * time.Second

func newFollowerTest(t *testing.T, sources int, all ...Resource) *followerTest {
	r := &followerTest{t: t, set: NewSet(false), now: startTime, random: rand.New(rand.NewPCG(1, 2))}
	if len(all) > 0 {
		r.set = setWith(t, false, version(5, 1), all...)
	}
	r.follower = NewFollower(r.set, sources)
	return r
}

// call makes the next call: it rests and returns what is asked. The clock stands at its beginning then.
func (r *followerTest) nextCall() Call {
	if r.calls++; r.calls > 10_000 {
		r.t.Fatal("calls without end")
	}
	c := r.follower.Next(r.now, r.random.Float64())
	r.now += c.Rest
	return c
}

// tell answers the call after a time, and puts in force what is to be taken.
func (r *followerTest) respond(after time.Duration, d *Delta) bool {
	r.now += after
	var take bool
	if take, r.err = r.follower.Told(r.now, d); take {
		r.err = r.set.Apply(r.set.Difference(d))
		r.follower.Took(r.now, r.err)
	}
	return take
}

func (r *followerTest) fail(after time.Duration, k FailureKind) {
	r.now += after
	r.follower.Failed(r.now, Failure{Kind: k, Err: errors.New("made up")}, r.random.Float64())
}

// nothing is the answer that nothing came.
func (r *followerTest) emptyDelta(c Call) *Delta {
	return &Delta{From: c.Since, To: c.Since, Sum: c.Sum}
}

// next is the delta that leads on from what is held.
func (r *followerTest) nextDelta(all ...Resource) *Delta {
	v := r.set.Version()
	return r.set.Next(version(v.Epoch, v.Number+1), all, nil)
}

func requireWithin(t *testing.T, what string, d, least, most time.Duration) {
	t.Helper()
	if d < least || d > most {
		t.Fatalf("%s: %v, want %v to %v", what, d, least, most)
	}
}

func TestFirstCallRequestsSnapshotWithoutWaiting(t *testing.T) {
	r := newFollowerTest(t, 3)
	c := r.nextCall()
	if c != (Call{Limit: NodePace.Grace}) {
		t.Fatalf("%+v", c)
	}
	s := setWith(t, true, version(5, 1), contract("a", 1))
	if !r.respond(time.Second, s.Snapshot()) {
		t.Fatal(r.err)
	}
	c = r.nextCall()
	requireWithin(t, "rest after a change", c.Rest, delayAfterChange/2, delayAfterChange)
	if c.Since != version(5, 1) || c.Sum != s.Sum() || c.Source != 1 || c.Wait != 0 {
		t.Fatalf("no look at another one behind the first version: %+v", c)
	}
	r.respond(0, r.emptyDelta(c))
	if c = r.nextCall(); c.Since != version(5, 1) || c.Sum != s.Sum() || c.Source != 0 || c.Wait == 0 {
		t.Fatalf("%+v", c)
	}
	st := r.follower.Status()
	if st.Version != version(5, 1) || st.Resources != 1 || st.LastAnswer != r.now-c.Rest || st.LastChange != startTime+time.Second || st.LastErr != "" {
		t.Fatalf("%+v", st)
	}
}

// From the moment at which a call begins, a lost answer is found out, and another call made, within 18 s: also by way of a control
// process that lost one too.
func TestLostResponseIsDetectedWithin18Seconds(t *testing.T) {
	for _, sources := range []int{1, 3} {
		var waits []time.Duration
		r := newFollowerTest(t, sources, contract("a", 1))
		r.respond(0, r.emptyDelta(r.nextCall()))
		for range 2000 {
			c := r.nextCall()
			if c.Limit != c.Wait+NodePace.Grace {
				t.Fatalf("%+v", c)
			}
			if c.Source == r.follower.current && c.Wait > 0 {
				waits = append(waits, c.Wait)
			}
			r.respond(c.Wait, r.emptyDelta(c))
		}
		slices.Sort(waits)
		least, most := waits[0], waits[len(waits)-1]
		requireWithin(t, "least wait", least, NodePace.Grace/4, NodePace.WaitLeast+time.Second/2)
		requireWithin(t, "most wait", most, NodePace.LookMost-time.Second, NodePace.WaitMost)
		if sources == 1 && (least < NodePace.WaitLeast || most < NodePace.WaitMost-time.Second/2) {
			t.Fatal(least, most)
		}
		t.Logf("%d sources: waits of %v to %v", sources, least, most)
	}
	found := func(p Pace) time.Duration { return max(p.WaitMost, p.LookMost) + p.Grace + firstBackoff + p.Grace }
	if all := found(NodePace) + found(ControlPace) - NodePace.Grace - ControlPace.Grace; all > 18*time.Second {
		t.Fatal(all)
	}
}

func TestBackoffDoublesToMaximumAndResetsAfterSuccess(t *testing.T) {
	r := newFollowerTest(t, 1, contract("a", 1))
	for round := range 2 {
		r.nextCall()
		want := firstBackoff
		for range 9 {
			r.fail(0, Unreachable)
			c := r.nextCall()
			requireWithin(t, "rest", c.Rest, want/2, want)
			if c.Wait != 0 || c.Limit != NodePace.Grace {
				t.Fatalf("a call after a failure waits: %+v", c)
			}
			want = min(2*want, maxBackoff)
		}
		if st := r.follower.Status(); st.Failures != 9 || st.LastErr != "unreachable: made up" {
			t.Fatalf("%+v", st)
		}
		if round == 0 { // something new
			if !r.respond(0, r.nextDelta(contract("b", 1))) {
				t.Fatal(r.err)
			}
		} else { // a watch that is kept
			c := r.nextCall()
			r.respond(0, r.emptyDelta(c))
			c = r.nextCall()
			r.respond(c.Wait, r.emptyDelta(c))
		}
		if st := r.follower.Status(); st.Failures != 0 || st.LastErr != "" {
			t.Fatalf("%+v", st)
		}
	}
}

// Rests are drawn: 450 that failed at one moment don't come back at one.
func TestBackoffIsSpreadRandomly(t *testing.T) {
	var at [20]int
	for i := range 4000 {
		r := newFollowerTest(t, 1, contract("a", 1))
		r.random = rand.New(rand.NewPCG(3, uint64(i)))
		r.nextCall()
		for range 7 {
			r.fail(0, Unreachable)
		}
		at[int((r.nextCall().Rest-maxBackoff/2)*time.Duration(len(at))/(maxBackoff/2+1))]++
	}
	for i, n := range at {
		if n < 120 || n > 280 { // 200 by chance; six times the root beside it
			t.Errorf("part %d of the rests: %d of 4000", i, n)
		}
	}
}

func TestFailureSwitchesToNextSource(t *testing.T) {
	for _, k := range []FailureKind{Unreachable, Silent, Busy, Behind, Rejected, Invalid} {
		r := newFollowerTest(t, 3, contract("a", 1))
		var asked []int
		for range 5 {
			asked = append(asked, r.nextCall().Source)
			r.fail(0, k)
		}
		if !slices.Equal(asked, []int{0, 1, 2, 0, 1}) {
			t.Fatal(k, asked)
		}
		if err := r.follower.Status().LastErr; !strings.HasPrefix(err, k.String()) {
			t.Fatal(err)
		}
	}
}

// Three sources: a round through all takes no longer than one rest and the calls, also after many.
func TestBackoffDoublesOncePerRoundOfSources(t *testing.T) {
	r := newFollowerTest(t, 3, contract("a", 1))
	r.nextCall()
	want := firstBackoff
	for range 8 {
		for range 2 {
			r.fail(0, Unreachable)
			requireWithin(t, "rest in a round", r.nextCall().Rest, firstBackoff/2, firstBackoff)
		}
		r.fail(0, Unreachable)
		requireWithin(t, "rest after a round", r.nextCall().Rest, want/2, want)
		want = min(2*want, maxBackoff)
	}
}

func TestBusySourceIsNotCalledBeforeRetryAfter(t *testing.T) {
	r := newFollowerTest(t, 2, contract("a", 1))
	r.nextCall()
	r.follower.Failed(r.now, Failure{Kind: Busy, RetryAfter: 10 * time.Second}, 0)
	from := r.now
	for r.now-from < 9*time.Second {
		c := r.nextCall()
		if c.Source != 1 {
			t.Fatalf("%v after: %+v", r.now-from, c)
		}
		r.respond(c.Wait, r.emptyDelta(c))
	}
	// Both are busy: the one that is free first, and at no earlier time; a day is not waited for.
	for r.nextCall().Source != 1 {
		r.fail(0, Unreachable)
	}
	r.follower.Failed(r.now, Failure{Kind: Busy, RetryAfter: 24 * time.Hour}, 0)
	for r.nextCall().Source != 0 {
		t.Fatal("asked the busy one")
	}
	r.follower.Failed(r.now, Failure{Kind: Busy, RetryAfter: 24 * time.Hour}, 0.999)
	from = r.now
	c := r.nextCall()
	if c.Source != 1 {
		t.Fatal(c)
	}
	requireWithin(t, "rest", c.Rest, MaxRetry-5*time.Second, MaxRetry*3/2)
}

// The one that is followed answers well but is itself cut off. Another one is looked at soon, followed for what it has, and the first
// one again as soon as it is not behind.
func TestIsolatedSourceIsReplacedAndReturnedTo(t *testing.T) {
	for seed := range uint64(50) {
		r := newFollowerTest(t, 3, contract("a", 1))
		r.random = rand.New(rand.NewPCG(5, seed))
		change := r.nextDelta(contract("b", 1))
		from := r.now
		for r.set.Version() != change.To {
			switch c := r.nextCall(); c.Source {
			case 0:
				r.respond(c.Wait, r.emptyDelta(c))
			case 1:
				r.fail(c.Limit, Silent) // is gone
			case 2:
				r.respond(0, change)
			}
		}
		requireWithin(t, "found out", r.now-from, 0, 18*time.Second)
		if s := r.follower.Status().Source; s != 2 {
			t.Fatal(s)
		}
		// The first one is behind, and stays it for a minute.
		from = r.now
		for r.now-from < time.Minute {
			switch c := r.nextCall(); c.Source {
			case 0:
				r.fail(0, Behind)
			case 1:
				r.fail(c.Limit, Silent)
			case 2:
				r.respond(c.Wait, r.emptyDelta(c))
			}
			if s := r.follower.Status(); s.Source != 2 || s.Failures != 0 {
				t.Fatalf("%+v", s)
			}
		}
		from = r.now
		for r.follower.Status().Source != 0 {
			c := r.nextCall()
			if c.Source == 1 {
				r.fail(c.Limit, Silent)
			} else {
				r.respond(c.Wait, r.emptyDelta(c))
			}
		}
		requireWithin(t, "came home", r.now-from, 0, 18*time.Second)
	}
}

func TestStaleDeltaIsIgnored(t *testing.T) {
	for _, name := range []string{"doubled", "out of order", "older epoch"} {
		t.Run(name, func(t *testing.T) {
			r := newFollowerTest(t, 1, contract("a", 1))
			first := r.nextDelta(contract("a", 2))
			r.nextCall()
			r.respond(0, first)
			second := r.nextDelta(contract("a", 3))
			r.nextCall()
			r.respond(0, second)
			requireContent(t, r.set, second.To, contract("a", 3))
			d := map[string]*Delta{"doubled": second, "out of order": first,
				"older epoch": setWith(t, true, version(4, 99), contract("old", 1)).Snapshot()}[name]
			from, calls := r.now, 0
			for r.now-from < time.Minute {
				c := r.nextCall()
				calls++
				if c.Since != second.To || c.Wait == 0 {
					t.Fatalf("%+v", c)
				}
				if r.respond(0, d) || r.err != nil {
					t.Fatal(r.err)
				}
			}
			requireContent(t, r.set, second.To, contract("a", 3))
			if calls > 40 {
				t.Fatalf("%d calls in a minute", calls)
			}
			// A good one is taken all the same, and ends the rests.
			r.nextCall()
			if !r.respond(0, r.nextDelta(contract("b", 1))) || r.nextCall().Rest > delayAfterChange {
				t.Fatal(r.err)
			}
		})
	}
}

func TestMismatchedDeltaCausesSnapshotRequest(t *testing.T) {
	ahead := setWith(t, true, version(5, 3), contract("a", 9), contract("b", 1))
	for name, d := range map[string]*Delta{
		"a delta lost":        {From: version(5, 2), To: version(5, 3), Sum: ahead.Sum(), Put: resources(contract("b", 1))},
		"another sum":         {From: version(5, 1), To: version(5, 3), Sum: ahead.Sum() + 1, Put: resources(contract("a", 9), contract("b", 1))},
		"gone and not there":  {From: version(5, 1), To: version(5, 3), Sum: ahead.Sum(), Gone: []Key{contractKey("x")}},
		"another sum, of now": {From: version(5, 1), To: version(5, 1), Sum: 7},
	} {
		t.Run(name, func(t *testing.T) {
			r := newFollowerTest(t, 1, contract("a", 1))
			r.nextCall()
			if r.respond(0, d) || r.err == nil {
				t.Fatal("taken")
			}
			requireContent(t, r.set, version(5, 1), contract("a", 1))
			c := r.nextCall()
			if !c.Since.IsZero() || c.Sum != 0 || !c.Refused.IsZero() || c.Rest < firstBackoff/2 {
				t.Fatalf("%+v", c)
			}
			if !r.respond(0, ahead.Snapshot()) {
				t.Fatal(r.err)
			}
			requireContent(t, r.set, version(5, 3), contract("a", 9), contract("b", 1))
			if c = r.nextCall(); c.Since != version(5, 3) {
				t.Fatalf("%+v", c)
			}
		})
	}
}

// Control has a sum that fits nothing. What is told whole is megabytes: it is asked for a few times, then about once a minute.
func TestSnapshotWithWrongChecksumIsNotFetchedInLoop(t *testing.T) {
	r := newFollowerTest(t, 3, contract("a", 1))
	control := setWith(t, true, version(5, 2), contract("a", 2))
	bad := control.Snapshot()
	bad.Sum++
	delta := &Delta{From: version(5, 1), To: version(5, 2), Sum: bad.Sum, Put: bad.Put}
	from, wholes, calls, told := r.now, 0, 0, 0
	for r.now-from < time.Hour {
		c := r.nextCall()
		calls++
		if c.Refused == bad.To {
			told++
		}
		switch {
		case c.Refused == bad.To: // as a Book does: it waits for a later version
			r.respond(c.Wait, r.emptyDelta(c))
		case c.Since.IsZero():
			wholes++
			r.respond(0, bad)
		default:
			r.respond(0, delta)
		}
	}
	requireContent(t, r.set, version(5, 1), contract("a", 1))
	if wholes < 30 || wholes > 130 || calls > 3600 || told == 0 {
		t.Fatalf("%d times the whole, %d calls, %d told of it", wholes, calls, told)
	}
	t.Logf("in an hour: %d times the whole, %d calls", wholes, calls)
	// It is mended under a later version.
	good := setWith(t, true, version(5, 3), contract("a", 3)).Snapshot()
	for r.set.Version() != good.To {
		if c := r.nextCall(); c.Since.IsZero() {
			r.respond(0, good)
		} else {
			r.respond(0, &Delta{From: version(5, 1), To: version(5, 3), Sum: good.Sum, Put: good.Put})
		}
	}
	if c := r.nextCall(); !c.Refused.IsZero() {
		t.Fatalf("%+v", c)
	}
}

// Nor where each second brings a later version whose sum is wrong as well.
func TestWrongChecksumsOfSuccessiveVersionsAreNotFetchedInLoop(t *testing.T) {
	r := newFollowerTest(t, 1, contract("a", 1))
	from, wholes := r.now, 0
	for r.now-from < time.Hour {
		c := r.nextCall()
		r.now += time.Second
		bad := setWith(t, true, version(5, uint64((r.now-from)/time.Second)+2), contract("a", 2)).Snapshot()
		bad.Sum++
		if c.Since.IsZero() {
			wholes++
		} else {
			bad.From = c.Since
		}
		r.respond(0, bad)
	}
	requireContent(t, r.set, version(5, 1), contract("a", 1))
	if wholes < 30 || wholes > 130 {
		t.Fatalf("%d times the whole", wholes)
	}
}

func TestRefusalIsReportedUntilLaterVersionIsApplied(t *testing.T) {
	r := newFollowerTest(t, 1, contract("a", 1))
	bad := r.nextDelta(newResource("cluster", "x", "{}"))
	r.nextCall()
	if r.respond(0, bad) {
		t.Fatal("taken")
	}
	var why *Refusal
	if !errors.As(r.err, &why) || why.Key.Kind != "cluster" {
		t.Fatal(r.err)
	}
	for range 5 {
		c := r.nextCall()
		if c.Since != version(5, 1) || c.Refused != bad.To || c.Why != why.Error() || c.Wait == 0 {
			t.Fatalf("%+v", c)
		}
		r.respond(c.Wait, r.emptyDelta(c))
	}
	// The merged delta from the same base mends it.
	r.nextCall()
	good := &Delta{From: version(5, 1), To: version(5, 3), Put: resources(contract("a", 2)), Sum: setWith(t, true, version(1, 1), contract("a", 2)).Sum()}
	if !r.respond(0, good) {
		t.Fatal(r.err)
	}
	if c := r.nextCall(); !c.Refused.IsZero() || c.Why != "" || c.Since != version(5, 3) {
		t.Fatalf("%+v", c)
	}
}

// What the catalog refuses is told in the same way; the words are bounded.
func TestRefusalByCallerIsReported(t *testing.T) {
	r := newFollowerTest(t, 1, contract("a", 1))
	c := r.nextCall()
	d := r.nextDelta(contract("a", 2))
	if take, err := r.follower.Told(r.now, d); !take || err != nil {
		t.Fatal(take, err)
	}
	r.follower.Took(r.now, &Refusal{contractKey("a"), "rate", strings.Repeat("é", MaxWhy)})
	if c = r.nextCall(); c.Since != version(5, 1) || c.Refused != d.To || len(c.Why) > MaxWhy || !strings.HasPrefix(c.Why, `contract "a": rate: é`) {
		t.Fatalf("%+v", c)
	}
	// It stays through calls that fail and through answers without anything new.
	r.fail(0, Behind)
	if c = r.nextCall(); c.Refused != d.To {
		t.Fatalf("%+v", c)
	}
	r.respond(0, r.emptyDelta(c))
	if c = r.nextCall(); c.Refused != d.To {
		t.Fatalf("%+v", c)
	}
}

// A source that sends what was refused again and again, at once, is not asked in a loop.
func TestRepeatedRefusedVersionBacksOff(t *testing.T) {
	r := newFollowerTest(t, 1, contract("a", 1))
	bad := r.nextDelta(newResource("cluster", "x", "{}"))
	from, calls := r.now, 0
	for r.now-from < time.Minute {
		r.nextCall()
		calls++
		r.respond(0, bad)
	}
	if calls > 40 {
		t.Fatal(calls)
	}
}

func TestImmediateEmptyResponsesBackOff(t *testing.T) {
	r := newFollowerTest(t, 3, contract("a", 1))
	from, calls := r.now, 0
	for r.now-from < time.Minute {
		c := r.nextCall()
		calls++
		r.respond(0, r.emptyDelta(c))
	}
	if calls > 80 { // looks at others, which are to answer at once, among them
		t.Fatal(calls)
	}
}

// Calls that are to be answered at once are, and watches are dropped: the good calls between don't make the rests short.
func TestSourceDroppingWatchesBacksOff(t *testing.T) {
	r := newFollowerTest(t, 1, contract("a", 1))
	from, calls := r.now, 0
	for r.now-from < time.Minute {
		c := r.nextCall()
		calls++
		if c.Wait > 0 {
			r.fail(0, Unreachable)
		} else {
			r.respond(0, r.emptyDelta(c))
		}
	}
	if calls > 60 {
		t.Fatal(calls)
	}
}

func TestEpochTooFarAheadIsRefusedUntilClockCatchesUp(t *testing.T) {
	r := newFollowerTest(t, 1, contract("a", 1))
	day := uint64(startTime.Milliseconds()) + MaxEpochAhead
	far := setWith(t, true, version(day+3_600_000, 0), contract("a", 2)).Snapshot()
	r.nextCall()
	var why *Refusal
	if r.respond(0, far) || !errors.As(r.err, &why) || why.Field != "to" {
		t.Fatal(r.err)
	}
	if c := r.nextCall(); c.Refused != far.To || !strings.Contains(c.Why, "over a day ahead") {
		t.Fatalf("%+v", c)
	}
	r.now += time.Hour + time.Second // the clock is put right, or time went on
	if c := r.nextCall(); !c.Refused.IsZero() {
		t.Fatalf("%+v", c)
	}
	if !r.respond(0, far) {
		t.Fatal(r.err)
	}
	// Just a day ahead is taken.
	r = newFollowerTest(t, 1, contract("a", 1))
	r.nextCall()
	if !r.respond(0, setWith(t, true, version(day, 0), contract("a", 2)).Snapshot()) {
		t.Fatal(r.err)
	}
	// What comes in force before goes with the refusal: a version that can't be left again is not waited for.
	r = newFollowerTest(t, 1, contract("a", 1))
	r.nextCall()
	r.respond(0, far)
	r.nextCall()
	if !r.respond(0, r.nextDelta(contract("a", 3))) {
		t.Fatal(r.err)
	}
	if c := r.nextCall(); !c.Refused.IsZero() {
		t.Fatalf("%+v", c)
	}
}

func TestBodyTimeoutDependsOnLength(t *testing.T) {
	for length, want := range map[int64]time.Duration{-1: maxBodyTimeout, 0: minBodyTimeout, 64 << 10: minBodyTimeout + time.Second, 1 << 40: maxBodyTimeout} {
		if d := BodyLimit(length); d != want {
			t.Errorf("%d bytes: %v, want %v", length, d, want)
		}
	}
}

// Whatever is answered in whatever order: a node's version never falls, its set is the content of its version, calls stay within
// their bounds, and there are never more of them than rests allow.
func TestNodeVersionNeverDecreases(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		// Some versions that control had, in two epochs, and the deltas between any two of them.
		s, h := NewSet(true), NewHistory(HistoryLimits{})
		sums, wholes := map[Version]Sum{}, map[Version]*Delta{}
		var versions []Version
		for i := range 6 {
			to := version(5+uint64(i/3), uint64(i))
			d := s.Next(to, resources(contract(fmt.Sprint(i%4), i)), nil)
			h.Add(0, d)
			if err := s.Apply(d); err != nil {
				t.Fatal(err)
			}
			versions, sums[to], wholes[to] = append(versions, to), s.Sum(), s.Snapshot()
		}
		node := NewSet(false)
		f := NewFollower(node, 3)
		now, calls := startTime, 0
		for range rapid.IntRange(1, 60).Draw(t, "answers") {
			c := f.Next(now, rapid.Float64Range(0, 0.999).Draw(t, "draw"))
			now += c.Rest
			calls++
			if c.Source < 0 || c.Source > 2 || c.Rest < 0 || c.Rest > checksumRefusalLifetime || c.Wait < 0 || c.Wait > NodePace.WaitMost || c.Limit != c.Wait+NodePace.Grace {
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
