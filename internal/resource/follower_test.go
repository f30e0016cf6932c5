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

// followerTest drives a follower in virtual time with responses that the test makes.
type followerTest struct {
	t        *testing.T
	follower *Follower
	set      *Set
	now      time.Duration
	random   *rand.Rand
	err      error // of the last response
	calls    int   // calls made
}

// startTime is the virtual Unix time at which a test starts.
const startTime = 1_764_640_000 * time.Second

// newFollowerTest returns a follower of the given number of sources. Its set holds the given resources at version 5.1,
// if there are any.
func newFollowerTest(t *testing.T, sources int, all ...Resource) *followerTest {
	r := &followerTest{t: t, set: NewSet(false), now: startTime, random: rand.New(rand.NewPCG(1, 2))}
	if len(all) > 0 {
		r.set = setWith(t, false, version(5, 1), all...)
	}
	r.follower = NewFollower(r.set, sources)
	return r
}

// nextCall returns the next call and advances the clock to its start.
func (r *followerTest) nextCall() Call {
	if r.calls++; r.calls > 10_000 {
		r.t.Fatal("the number of calls is unlimited")
	}
	c := r.follower.Next(r.now, r.random.Float64())
	r.now += c.Delay
	return c
}

// respond responds to the call after a time and applies the delta if the follower accepts it.
func (r *followerTest) respond(after time.Duration, d *Delta) bool {
	r.now += after
	var apply bool
	if apply, r.err = r.follower.Received(r.now, d); apply {
		r.err = r.set.Apply(r.set.Difference(d))
		r.follower.Applied(r.now, r.err)
	}
	return apply
}

// fail lets the call fail after a time.
func (r *followerTest) fail(after time.Duration, k FailureKind) {
	r.now += after
	r.follower.Failed(r.now, Failure{Kind: k, Err: errors.New("injected")}, r.random.Float64())
}

// emptyDelta returns a response without changes.
func (r *followerTest) emptyDelta(c Call) *Delta {
	return &Delta{From: c.Since, To: c.Since, Checksum: c.Checksum}
}

// nextDelta returns the delta that leads on from the held version by putting the given resources.
func (r *followerTest) nextDelta(all ...Resource) *Delta {
	v := r.set.Version()
	return r.set.NewDelta(version(v.Epoch, v.Number+1), all, nil)
}

func requireWithin(t *testing.T, what string, d, lower, upper time.Duration) {
	t.Helper()
	if d < lower || d > upper {
		t.Fatalf("%s: %v, want %v to %v", what, d, lower, upper)
	}
}

func TestFirstCallRequestsSnapshotWithoutWaiting(t *testing.T) {
	r := newFollowerTest(t, 3)
	c := r.nextCall()
	if c != (Call{Timeout: NodeSchedule.Grace}) {
		t.Fatalf("%+v", c)
	}
	s := setWith(t, true, version(5, 1), contract("a", 1))
	if !r.respond(time.Second, s.Snapshot()) {
		t.Fatal(r.err)
	}
	c = r.nextCall()
	requireWithin(t, "delay after a change", c.Delay, delayAfterChange/2, delayAfterChange)
	if c.Since != version(5, 1) || c.Checksum != s.Checksum() || c.Source != 1 || c.Wait != 0 {
		t.Fatalf("another source is not checked after the first version: %+v", c)
	}
	r.respond(0, r.emptyDelta(c))
	if c = r.nextCall(); c.Since != version(5, 1) || c.Checksum != s.Checksum() || c.Source != 0 || c.Wait == 0 {
		t.Fatalf("%+v", c)
	}
	st := r.follower.Status()
	if st.Version != version(5, 1) || st.Resources != 1 || st.LastResponse != r.now-c.Delay || st.LastChange != startTime+time.Second || st.LastError != "" {
		t.Fatalf("%+v", st)
	}
}

// A lost response is detected, and another call made, within 18 s from the start of the call, even through a control
// process that also lost a response.
func TestLostResponseIsDetectedWithin18Seconds(t *testing.T) {
	for _, sources := range []int{1, 3} {
		var waits []time.Duration
		r := newFollowerTest(t, sources, contract("a", 1))
		r.respond(0, r.emptyDelta(r.nextCall()))
		for range 2000 {
			c := r.nextCall()
			if c.Timeout != c.Wait+NodeSchedule.Grace {
				t.Fatalf("%+v", c)
			}
			if c.Source == r.follower.current && c.Wait > 0 {
				waits = append(waits, c.Wait)
			}
			r.respond(c.Wait, r.emptyDelta(c))
		}
		slices.Sort(waits)
		shortest, longest := waits[0], waits[len(waits)-1]
		requireWithin(t, "shortest wait", shortest, NodeSchedule.Grace/4, NodeSchedule.MinWait+time.Second/2)
		requireWithin(t, "longest wait", longest, NodeSchedule.MaxCheckInterval-time.Second, NodeSchedule.MaxWait)
		if sources == 1 && (shortest < NodeSchedule.MinWait || longest < NodeSchedule.MaxWait-time.Second/2) {
			t.Fatal(shortest, longest)
		}
		t.Logf("%d sources: waits of %v to %v", sources, shortest, longest)
	}
	detection := func(p PollSchedule) time.Duration {
		return max(p.MaxWait, p.MaxCheckInterval) + p.Grace + firstBackoff + p.Grace
	}
	if total := detection(NodeSchedule) + detection(ControlSchedule) - NodeSchedule.Grace - ControlSchedule.Grace; total > 18*time.Second {
		t.Fatal(total)
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
			requireWithin(t, "delay", c.Delay, want/2, want)
			if c.Wait != 0 || c.Timeout != NodeSchedule.Grace {
				t.Fatalf("a call after a failure waits: %+v", c)
			}
			want = min(2*want, maxBackoff)
		}
		if st := r.follower.Status(); st.Failures != 9 || st.LastError != "unreachable: injected" {
			t.Fatalf("%+v", st)
		}
		if round == 0 { // a change
			if !r.respond(0, r.nextDelta(contract("b", 1))) {
				t.Fatal(r.err)
			}
		} else { // a watch that the source holds
			c := r.nextCall()
			r.respond(0, r.emptyDelta(c))
			c = r.nextCall()
			r.respond(c.Wait, r.emptyDelta(c))
		}
		if st := r.follower.Status(); st.Failures != 0 || st.LastError != "" {
			t.Fatalf("%+v", st)
		}
	}
}

// Nodes that failed at the same moment do not call again at the same moment.
func TestBackoffIsSpreadRandomly(t *testing.T) {
	var counts [20]int
	for i := range 4000 {
		r := newFollowerTest(t, 1, contract("a", 1))
		r.random = rand.New(rand.NewPCG(3, uint64(i)))
		r.nextCall()
		for range 7 {
			r.fail(0, Unreachable)
		}
		counts[int((r.nextCall().Delay-maxBackoff/2)*time.Duration(len(counts))/(maxBackoff/2+1))]++
	}
	for i, n := range counts {
		if n < 120 || n > 280 { // 200 expected, give or take six standard deviations
			t.Errorf("interval %d of the delays has %d of 4000", i, n)
		}
	}
}

func TestFailureSwitchesToNextSource(t *testing.T) {
	for _, k := range []FailureKind{Unreachable, Silent, Busy, Behind, Rejected, Invalid} {
		r := newFollowerTest(t, 3, contract("a", 1))
		var called []int
		for range 5 {
			called = append(called, r.nextCall().Source)
			r.fail(0, k)
		}
		if !slices.Equal(called, []int{0, 1, 2, 0, 1}) {
			t.Fatal(k, called)
		}
		if err := r.follower.Status().LastError; !strings.HasPrefix(err, k.String()) {
			t.Fatal(err)
		}
	}
}

// With three sources, a round through all of them takes no longer than one long delay and the calls, even after many
// failures.
func TestBackoffDoublesOncePerRoundOfSources(t *testing.T) {
	r := newFollowerTest(t, 3, contract("a", 1))
	r.nextCall()
	longest := firstBackoff
	for range 8 {
		for range 2 {
			r.fail(0, Unreachable)
			requireWithin(t, "delay within a round", r.nextCall().Delay, firstBackoff/2, firstBackoff)
		}
		r.fail(0, Unreachable)
		requireWithin(t, "delay after a round", r.nextCall().Delay, longest/2, longest)
		longest = min(2*longest, maxBackoff)
	}
}

func TestBusySourceIsNotCalledBeforeRetryAfter(t *testing.T) {
	r := newFollowerTest(t, 2, contract("a", 1))
	r.nextCall()
	r.follower.Failed(r.now, Failure{Kind: Busy, RetryAfter: 10 * time.Second}, 0)
	start := r.now
	for r.now-start < 9*time.Second {
		c := r.nextCall()
		if c.Source != 1 {
			t.Fatalf("%v later: %+v", r.now-start, c)
		}
		r.respond(c.Wait, r.emptyDelta(c))
	}
	// If all sources are busy, the one that is available first is called at its earliest time. A delay of a day is bounded.
	for r.nextCall().Source != 1 {
		r.fail(0, Unreachable)
	}
	r.follower.Failed(r.now, Failure{Kind: Busy, RetryAfter: 24 * time.Hour}, 0)
	for r.nextCall().Source != 0 {
		t.Fatal("the busy source is called")
	}
	r.follower.Failed(r.now, Failure{Kind: Busy, RetryAfter: 24 * time.Hour}, 0.999)
	c := r.nextCall()
	if c.Source != 1 {
		t.Fatal(c)
	}
	requireWithin(t, "delay", c.Delay, MaxRetryAfter-5*time.Second, MaxRetryAfter*3/2)
}

// A followed source that responds well but is cut off itself would hide changes. Another source is checked soon and
// followed for its later version, and the first one is followed again as soon as it is not behind.
func TestIsolatedSourceIsReplacedAndReturnedTo(t *testing.T) {
	for seed := range uint64(50) {
		r := newFollowerTest(t, 3, contract("a", 1))
		r.random = rand.New(rand.NewPCG(5, seed))
		change := r.nextDelta(contract("b", 1))
		start := r.now
		for r.set.Version() != change.To {
			switch c := r.nextCall(); c.Source {
			case 0:
				r.respond(c.Wait, r.emptyDelta(c))
			case 1:
				r.fail(c.Timeout, Silent) // does not respond
			case 2:
				r.respond(0, change)
			}
		}
		requireWithin(t, "detected after", r.now-start, 0, 18*time.Second)
		if s := r.follower.Status().Source; s != 2 {
			t.Fatal(s)
		}
		// The first source is behind for a minute.
		start = r.now
		for r.now-start < time.Minute {
			switch c := r.nextCall(); c.Source {
			case 0:
				r.fail(0, Behind)
			case 1:
				r.fail(c.Timeout, Silent)
			case 2:
				r.respond(c.Wait, r.emptyDelta(c))
			}
			if s := r.follower.Status(); s.Source != 2 || s.Failures != 0 {
				t.Fatalf("%+v", s)
			}
		}
		start = r.now
		for r.follower.Status().Source != 0 {
			c := r.nextCall()
			if c.Source == 1 {
				r.fail(c.Timeout, Silent)
			} else {
				r.respond(c.Wait, r.emptyDelta(c))
			}
		}
		requireWithin(t, "returned after", r.now-start, 0, 18*time.Second)
	}
}

func TestStaleDeltaIsIgnored(t *testing.T) {
	for _, name := range []string{"repeated", "out of order", "older epoch"} {
		t.Run(name, func(t *testing.T) {
			r := newFollowerTest(t, 1, contract("a", 1))
			first := r.nextDelta(contract("a", 2))
			r.nextCall()
			r.respond(0, first)
			second := r.nextDelta(contract("a", 3))
			r.nextCall()
			r.respond(0, second)
			requireContent(t, r.set, second.To, contract("a", 3))
			d := map[string]*Delta{"repeated": second, "out of order": first,
				"older epoch": setWith(t, true, version(4, 99), contract("old", 1)).Snapshot()}[name]
			start, calls := r.now, 0
			for r.now-start < time.Minute {
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
			// A later delta is applied nevertheless, and ends the delays.
			r.nextCall()
			if !r.respond(0, r.nextDelta(contract("b", 1))) || r.nextCall().Delay > delayAfterChange {
				t.Fatal(r.err)
			}
		})
	}
}

func TestMismatchedDeltaCausesSnapshotRequest(t *testing.T) {
	ahead := setWith(t, true, version(5, 3), contract("a", 9), contract("b", 1))
	for name, d := range map[string]*Delta{
		"a delta was lost":                     {From: version(5, 2), To: version(5, 3), Checksum: ahead.Checksum(), Put: resources(contract("b", 1))},
		"another checksum":                     {From: version(5, 1), To: version(5, 3), Checksum: ahead.Checksum() + 1, Put: resources(contract("a", 9), contract("b", 1))},
		"removed resource is not held":         {From: version(5, 1), To: version(5, 3), Checksum: ahead.Checksum(), Removed: []Key{contractKey("x")}},
		"another checksum of the held version": {From: version(5, 1), To: version(5, 1), Checksum: 7},
	} {
		t.Run(name, func(t *testing.T) {
			r := newFollowerTest(t, 1, contract("a", 1))
			r.nextCall()
			if r.respond(0, d) || r.err == nil {
				t.Fatal("the delta was accepted")
			}
			requireContent(t, r.set, version(5, 1), contract("a", 1))
			c := r.nextCall()
			if !c.Since.IsZero() || c.Checksum != 0 || !c.Refused.IsZero() || c.Delay < firstBackoff/2 {
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

// A control process has a wrong checksum. Its snapshot may be megabytes: it is requested a few times, then about once a
// minute.
func TestSnapshotWithWrongChecksumIsNotFetchedInLoop(t *testing.T) {
	r := newFollowerTest(t, 3, contract("a", 1))
	control := setWith(t, true, version(5, 2), contract("a", 2))
	bad := control.Snapshot()
	bad.Checksum++
	delta := &Delta{From: version(5, 1), To: version(5, 2), Checksum: bad.Checksum, Put: bad.Put}
	start, snapshots, calls, reported := r.now, 0, 0, 0
	for r.now-start < time.Hour {
		c := r.nextCall()
		calls++
		if c.Refused == bad.To {
			reported++
		}
		switch {
		case c.Refused == bad.To: // as the control process does: it waits for a later version
			r.respond(c.Wait, r.emptyDelta(c))
		case c.Since.IsZero():
			snapshots++
			r.respond(0, bad)
		default:
			r.respond(0, delta)
		}
	}
	requireContent(t, r.set, version(5, 1), contract("a", 1))
	if snapshots < 30 || snapshots > 130 || calls > 3600 || reported == 0 {
		t.Fatalf("%d snapshots, %d calls, %d of them reported the refusal", snapshots, calls, reported)
	}
	t.Logf("in an hour: %d snapshots, %d calls", snapshots, calls)
	// A later version has a correct checksum.
	good := setWith(t, true, version(5, 3), contract("a", 3)).Snapshot()
	for r.set.Version() != good.To {
		if c := r.nextCall(); c.Since.IsZero() {
			r.respond(0, good)
		} else {
			r.respond(0, &Delta{From: version(5, 1), To: version(5, 3), Checksum: good.Checksum, Put: good.Put})
		}
	}
	if c := r.nextCall(); !c.Refused.IsZero() {
		t.Fatalf("%+v", c)
	}
}

// A new version every second, each with a wrong checksum, does not cause more requests for snapshots either.
func TestWrongChecksumsOfSuccessiveVersionsAreNotFetchedInLoop(t *testing.T) {
	r := newFollowerTest(t, 1, contract("a", 1))
	start, snapshots := r.now, 0
	for r.now-start < time.Hour {
		c := r.nextCall()
		r.now += time.Second
		bad := setWith(t, true, version(5, uint64((r.now-start)/time.Second)+2), contract("a", 2)).Snapshot()
		bad.Checksum++
		if c.Since.IsZero() {
			snapshots++
		} else {
			bad.From = c.Since
		}
		r.respond(0, bad)
	}
	requireContent(t, r.set, version(5, 1), contract("a", 1))
	if snapshots < 30 || snapshots > 130 {
		t.Fatalf("%d snapshots", snapshots)
	}
}

func TestRefusalIsReportedUntilLaterVersionIsApplied(t *testing.T) {
	r := newFollowerTest(t, 1, contract("a", 1))
	bad := r.nextDelta(newResource("cluster", "x", "{}"))
	r.nextCall()
	if r.respond(0, bad) {
		t.Fatal("the delta was accepted")
	}
	var refusal *Refusal
	if !errors.As(r.err, &refusal) || refusal.Key.Kind != "cluster" {
		t.Fatal(r.err)
	}
	for range 5 {
		c := r.nextCall()
		if c.Since != version(5, 1) || c.Refused != bad.To || c.Reason != refusal.Error() || c.Wait == 0 {
			t.Fatalf("%+v", c)
		}
		r.respond(c.Wait, r.emptyDelta(c))
	}
	// The merged delta from the same base has no such resource.
	r.nextCall()
	good := &Delta{From: version(5, 1), To: version(5, 3), Put: resources(contract("a", 2)), Checksum: setWith(t, true, version(1, 1), contract("a", 2)).Checksum()}
	if !r.respond(0, good) {
		t.Fatal(r.err)
	}
	if c := r.nextCall(); !c.Refused.IsZero() || c.Reason != "" || c.Since != version(5, 3) {
		t.Fatalf("%+v", c)
	}
}

// A refusal by the caller, such as that of the catalog, is reported in the same way, with a bounded reason.
func TestRefusalByCallerIsReported(t *testing.T) {
	r := newFollowerTest(t, 1, contract("a", 1))
	c := r.nextCall()
	d := r.nextDelta(contract("a", 2))
	if apply, err := r.follower.Received(r.now, d); !apply || err != nil {
		t.Fatal(apply, err)
	}
	r.follower.Applied(r.now, &Refusal{contractKey("a"), "rate", strings.Repeat("é", MaxReason)})
	if c = r.nextCall(); c.Since != version(5, 1) || c.Refused != d.To || len(c.Reason) > MaxReason || !strings.HasPrefix(c.Reason, `contract "a": rate: é`) {
		t.Fatalf("%+v", c)
	}
	// The refusal is still reported after failed calls and after responses without a change.
	r.fail(0, Behind)
	if c = r.nextCall(); c.Refused != d.To {
		t.Fatalf("%+v", c)
	}
	r.respond(0, r.emptyDelta(c))
	if c = r.nextCall(); c.Refused != d.To {
		t.Fatalf("%+v", c)
	}
}

// A source that sends a refused version again and again, without waiting, is not called in a loop.
func TestRepeatedRefusedVersionBacksOff(t *testing.T) {
	r := newFollowerTest(t, 1, contract("a", 1))
	bad := r.nextDelta(newResource("cluster", "x", "{}"))
	start, calls := r.now, 0
	for r.now-start < time.Minute {
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
	start, calls := r.now, 0
	for r.now-start < time.Minute {
		c := r.nextCall()
		calls++
		r.respond(0, r.emptyDelta(c))
	}
	if calls > 80 { // includes the checks of other sources, which are to respond at once
		t.Fatal(calls)
	}
}

// A source responds to immediate calls but drops each watch. The successes in between do not reset the backoff.
func TestSourceDroppingWatchesBacksOff(t *testing.T) {
	r := newFollowerTest(t, 1, contract("a", 1))
	start, calls := r.now, 0
	for r.now-start < time.Minute {
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
	var refusal *Refusal
	if r.respond(0, far) || !errors.As(r.err, &refusal) || refusal.Field != "to" {
		t.Fatal(r.err)
	}
	if c := r.nextCall(); c.Refused != far.To || !strings.Contains(c.Reason, "over a day ahead") {
		t.Fatalf("%+v", c)
	}
	r.now += time.Hour + time.Second // the clock is corrected, or time has passed
	if c := r.nextCall(); !c.Refused.IsZero() {
		t.Fatalf("%+v", c)
	}
	if !r.respond(0, far) {
		t.Fatal(r.err)
	}
	// An epoch of exactly a day ahead is accepted.
	r = newFollowerTest(t, 1, contract("a", 1))
	r.nextCall()
	if !r.respond(0, setWith(t, true, version(day, 0), contract("a", 2)).Snapshot()) {
		t.Fatal(r.err)
	}
	// A change that is applied meanwhile clears the refusal, as the refused version cannot be expected to be followed by a
	// later one.
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
		if d := BodyTimeout(length); d != want {
			t.Errorf("%d bytes: %v, want %v", length, d, want)
		}
	}
}

// Whatever is received in whatever order, a node's version never decreases, its set has the content of its version, and
// calls stay within their limits.
func TestNodeVersionNeverDecreases(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		// Some versions of a control process in two epochs, and the deltas between any two of them.
		s, h := NewSet(true), NewHistory(HistoryLimits{})
		checksums, snapshots := map[Version]Checksum{}, map[Version]*Delta{}
		var versions []Version
		for i := range 6 {
			to := version(5+uint64(i/3), uint64(i))
			d := s.NewDelta(to, resources(contract(fmt.Sprint(i%4), i)), nil)
			h.Add(0, d)
			if err := s.Apply(d); err != nil {
				t.Fatal(err)
			}
			versions, checksums[to], snapshots[to] = append(versions, to), s.Checksum(), s.Snapshot()
		}
		node := NewSet(false)
		f := NewFollower(node, 3)
		now, calls := startTime, 0
		for range rapid.IntRange(1, 60).Draw(t, "responses") {
			c := f.Next(now, rapid.Float64Range(0, 0.999).Draw(t, "random"))
			now += c.Delay
			calls++
			if c.Source < 0 || c.Source > 2 || c.Delay < 0 || c.Delay > checksumRefusalLifetime || c.Wait < 0 || c.Wait > NodeSchedule.MaxWait || c.Timeout != c.Wait+NodeSchedule.Grace {
				t.Fatalf("%+v", c)
			}
			before := node.Version()
			d := &Delta{From: c.Since, To: c.Since, Checksum: c.Checksum}
			v := rapid.SampledFrom(versions).Draw(t, "version")
			switch rapid.IntRange(0, 4).Draw(t, "response") {
			case 0:
				f.Failed(now, Failure{Kind: FailureKind(rapid.IntRange(0, 5).Draw(t, "kind"))}, 0.3)
				continue
			case 1:
				d = snapshots[v]
			case 2:
				if since, ok := h.Since(v); ok {
					d = since
				}
			case 3:
				damaged := *snapshots[v]
				damaged.Checksum++
				d = &damaged
			}
			if apply, _ := f.Received(now, d); apply {
				err := node.Apply(node.Difference(d))
				f.Applied(now, err)
				if err != nil {
					t.Fatal(err)
				}
			}
			if node.Version().Compare(before) < 0 || node.Checksum() != checksums[node.Version()] {
				t.Fatal(before, node.Version())
			}
			now += rapid.SampledFrom([]time.Duration{0, time.Millisecond, c.Wait}).Draw(t, "after")
		}
	})
}
