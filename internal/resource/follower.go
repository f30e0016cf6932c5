package resource

import (
	"errors"
	"fmt"
	"math"
	"time"
)

// PollSchedule holds the intervals at which a follower calls its sources. A lost response to a watch is detected only
// when the call times out, so MaxWait, Grace and the time for one more call together must fit into the time within
// which a change has to be in force.
type PollSchedule struct {
	MinWait, MaxWait                   time.Duration // range of a watch's waiting time, selected at random for each watch
	Grace                              time.Duration // added to the waiting time to give a call's timeout; alone the timeout of a call without waiting
	MinCheckInterval, MaxCheckInterval time.Duration // range of the interval between checks of another source
}

var (
	// NodeSchedule is the default schedule, for nodes: 450 nodes make about 130 calls a second in all.
	NodeSchedule = PollSchedule{6 * time.Second, 10 * time.Second, 2 * time.Second, 4 * time.Second, 7 * time.Second}
	// ControlSchedule is the schedule of control processes that follow another one. There are few of them.
	ControlSchedule = PollSchedule{2 * time.Second, 4 * time.Second, time.Second, time.Second, 2 * time.Second}
)

// Delays between calls and limits on responses. The delay that is used is random, between half the named value and the
// whole value.
const (
	// firstBackoff is the delay after a failure. It doubles with each round through all sources.
	firstBackoff = 100 * time.Millisecond
	// maxBackoff bounds every delay that doubles, except those before a snapshot.
	maxBackoff = 4 * time.Second
	// emptyResponseBackoff is the delay after an immediate response without news. It doubles.
	emptyResponseBackoff = 50 * time.Millisecond
	// delayAfterChange is the delay after a change, so that a fleet doesn't call at the same instant and many changes
	// arrive as one.
	delayAfterChange = 100 * time.Millisecond
	// MaxRetryAfter bounds the delay taken from a Retry-After header.
	MaxRetryAfter = 30 * time.Second
	// checksumRefusalLifetime is how long a snapshot with a wrong checksum is refused, selected between half of it and the
	// whole. It also bounds the delay before a snapshot is requested.
	checksumRefusalLifetime = time.Minute
	// minBodyTimeout is the time for a response body, to which the time for its length is added.
	minBodyTimeout = 2 * time.Second
	// maxBodyTimeout bounds the time for a response body.
	maxBodyTimeout = 30 * time.Second
	// minBodyRate is the slowest acceptable transfer of a response body, in bytes a second.
	minBodyRate = 64 << 10
)

// BodyTimeout returns how long a response body of a length in bytes may take after the response's head. A negative
// length means that the length is not specified.
func BodyTimeout(length int64) time.Duration {
	if length < 0 {
		return maxBodyTimeout
	}
	return min(minBodyTimeout+time.Duration(float64(length)/minBodyRate*float64(time.Second)), maxBodyTimeout)
}

// Call describes the next call: its delay, its source and its parameters.
type Call struct {
	Delay    time.Duration // before the call
	Source   int           // index of the source to call
	Since    Version       // the version held; zero: request a snapshot
	Checksum Checksum      // of the content held at Since
	Refused  Version       // the version last refused; zero: none
	Reason   string        // of the refusal
	Wait     time.Duration // how long the source may wait for a change; 0: it responds at once
	Timeout  time.Duration // from the call to the head of its response; BodyTimeout counts from there
}

// FailureKind is the way in which a call failed.
type FailureKind int

// The kinds of failures.
const (
	Unreachable FailureKind = iota // no connection, or the connection broke
	Silent                         // timed out
	Busy                           // status 503
	Behind                         // status 409: the source has an older version than the caller
	Rejected                       // another status
	Invalid                        // the response is malformed or too large
)

func (k FailureKind) String() string {
	return [...]string{"unreachable", "silent", "busy", "behind", "rejected", "invalid"}[k]
}

// Failure is a call without a usable response.
type Failure struct {
	Kind       FailureKind
	RetryAfter time.Duration // of a Busy source, as received; bounded by MaxRetryAfter when it is applied
	Err        error         // reported in Status
}

// Status is the state of a follower as shown to operators.
type Status struct {
	Version      Version
	Checksum     Checksum
	Resources    int
	Source       int           // index of the source that is followed
	Refused      Version       // the version last refused; zero: none
	Reason       string        // of the refusal
	Failures     int           // consecutive failed calls to followed sources
	LastError    string        // of the last call if it failed; empty after a success
	LastResponse time.Duration // Unix time of the last valid response; 0: none
	LastChange   time.Duration // Unix time at which a version was last applied; 0: never
}

// Follower decides which source to call when, with which request, and which responses to apply. Its caller makes one
// call at a time: Next, then Failed or Received, then Applied if Received returned true. Times are Unix times, random
// numbers are in [0, 1). It is not safe for concurrent use.
//
// It follows one source and checks another one at intervals, in turn, by a call without waiting: a source that is
// itself cut off responds well but has no changes, which only another source can reveal. It moves to a source that has
// a later version, and back to the first one as soon as that is not behind.
type Follower struct {
	set      *Set
	schedule PollSchedule
	sources  int

	current         int             // index of the source that is followed
	called          int             // index of the source of the current call
	lastChecked     int             // index of the source that was last checked
	nextCheck       time.Duration   // when to check another source; 0: not yet scheduled
	busyUntil       []time.Duration // for each source, the earliest time of the next call to it
	nextCall        time.Duration   // earliest time of the next call
	mayWait         bool            // the last call succeeded: the next one may wait for a change
	needSnapshot    bool            // a delta would not apply: request a snapshot
	mismatches      int             // consecutive responses whose checksum or base did not match
	nextSnapshot    time.Duration   // earliest time of the next request for a snapshot
	failures        int             // consecutive, without those of checks
	emptyResponses  int             // consecutive immediate responses without a change, and refusals
	callStart       time.Duration   // of the current call
	callWait        time.Duration   // of the current call
	callSince       Version         // of the current call
	random          float64         // the next random number
	pending         Version         // of the delta that Received returned as one to apply
	refused         Version         // zero: none
	reason          string          // of the refusal
	refusalExpiry   time.Duration   // when the refusal expires; 0: never
	refusedForEpoch bool            // refused only for an epoch too far ahead
	status          Status          // only its last error, response and change are stored here
}

// NewFollower returns a follower of a set that calls sources, the nearest first, on NodeSchedule.
func NewFollower(base *Set, sources int) *Follower {
	return &Follower{set: base, sources: max(sources, 1), schedule: NodeSchedule, busyUntil: make([]time.Duration, max(sources, 1)), random: 0.5}
}

// SetSchedule changes the schedule. It may be called only before the first call to Next.
func (f *Follower) SetSchedule(schedule PollSchedule) { f.schedule = schedule }

// Status returns the current state.
func (f *Follower) Status() Status {
	s := f.status
	s.Version, s.Checksum, s.Resources = f.set.Version(), f.set.Checksum(), f.set.Len()
	s.Source, s.Refused, s.Reason, s.Failures = f.current, f.refused, f.reason, f.failures
	return s
}

// randomBetween returns a random duration in a range. Each use derives the next random number from the current one, so
// that one number from the caller serves several uses.
func (f *Follower) randomBetween(shortest, longest time.Duration) time.Duration {
	d := shortest + time.Duration(f.random*float64(longest-shortest))
	_, f.random = math.Modf(f.random*4093 + 0.618)
	return d
}

// Next returns the next call to make; random is in [0, 1).
func (f *Follower) Next(now time.Duration, random float64) Call {
	f.random = random
	if !f.refused.IsZero() && (f.refusalExpiry > 0 && now >= f.refusalExpiry || f.refusedForEpoch && !f.refused.TooFarAhead(now)) {
		f.clearRefusal()
	}
	c := Call{Delay: max(f.nextCall-now, 0), Source: f.current, Timeout: f.schedule.Grace, Refused: f.refused, Reason: f.reason}
	if f.needSnapshot {
		c.Delay = max(c.Delay, f.nextSnapshot-now)
	} else {
		c.Since, c.Checksum = f.set.Version(), f.set.Checksum()
	}
	begin := now + c.Delay
	if f.nextCheck == 0 {
		f.nextCheck = begin + f.randomBetween(f.schedule.MinCheckInterval, f.schedule.MaxCheckInterval)
	}
	switch {
	case c.Since.IsZero() && f.refused.IsZero() || !f.mayWait: // request an immediate response, whatever the source has
	case f.checkDue(begin):
		c.Source = f.lastChecked
	default:
		c.Wait = f.randomBetween(f.schedule.MinWait, f.schedule.MaxWait)
		if f.sources > 1 {
			c.Wait = min(c.Wait, f.nextCheck-begin)
		}
		c.Timeout = c.Wait + f.schedule.Grace
	}
	f.called, f.callStart, f.callWait, f.callSince = c.Source, begin, c.Wait, c.Since
	return c
}

// checkDue reports whether the next call is a check of another source, and selects the next source in turn for it.
func (f *Follower) checkDue(begin time.Duration) bool {
	if f.sources == 1 || begin+f.schedule.Grace/4 < f.nextCheck {
		return false
	}
	f.nextCheck = begin + f.randomBetween(f.schedule.MinCheckInterval, f.schedule.MaxCheckInterval)
	for range f.sources {
		f.lastChecked = (f.lastChecked + 1) % f.sources
		if f.lastChecked != f.current && f.busyUntil[f.lastChecked] <= begin {
			return true
		}
	}
	return false
}

// jitter returns a random delay between half of d and d.
func (f *Follower) jitter(d time.Duration) time.Duration { return f.randomBetween(d/2, d) }

// backoff returns the first delay doubled n times, at most maxBackoff.
func backoff(first time.Duration, n int) time.Duration { return min(first<<min(n, 10), maxBackoff) }

// Failed records that the call brought no usable response; random is in [0, 1).
func (f *Follower) Failed(now time.Duration, failure Failure, random float64) {
	f.random = random
	if failure.Kind == Busy && failure.RetryAfter > 0 {
		after := min(failure.RetryAfter, MaxRetryAfter)
		f.busyUntil[f.called] = now + f.randomBetween(after, after+after/2)
	}
	f.status.LastError = failure.Kind.String()
	if failure.Err != nil {
		f.status.LastError += ": " + truncate(failure.Err.Error(), MaxReason)
	}
	f.recordFailure(now)
}

// recordFailure schedules the next call and switches to the next source: after a short delay within a round through the
// sources, and after each full round with a delay that doubles. A failed check only delays the next call; the followed
// source stays the same.
func (f *Follower) recordFailure(now time.Duration) {
	if f.called != f.current {
		f.nextCall = now + f.jitter(emptyResponseBackoff)
		return
	}
	f.mayWait = false
	f.failures++
	delay := firstBackoff
	if f.failures%f.sources == 0 {
		delay = backoff(firstBackoff, f.failures/f.sources-1)
	}
	f.nextCall = now + f.jitter(delay)
	// Select the next source that may be called, or the one that is available first if all are busy.
	best := f.current
	for i := 1; i <= f.sources; i++ {
		s := (f.current + i) % f.sources
		if f.busyUntil[s] <= f.nextCall {
			best = s
			break
		}
		if i == 1 || f.busyUntil[s] < f.busyUntil[best] {
			best = s
		}
	}
	f.current = best
	f.nextCall = max(f.nextCall, f.busyUntil[best])
}

// recordSuccess records a response that could be applied or had nothing to apply; with move, the source that was called
// is followed from now on. The counts of failures are cleared only where the source waited (Applied clears them after a
// change): otherwise a source that drops each watch would be called again and again with short delays.
func (f *Follower) recordSuccess(now time.Duration, move bool) {
	if move {
		f.current = f.called
	}
	if f.sourceWaited(now) {
		f.failures, f.emptyResponses = 0, 0
	}
	f.mayWait, f.nextCall = true, now
	f.status.LastError, f.status.LastResponse = "", now
}

// sourceWaited reports whether the source held the call for at least half of its waiting time.
func (f *Follower) sourceWaited(now time.Duration) bool {
	return f.callWait > 0 && now-f.callStart >= f.callWait/2
}

// delayAfterEmpty delays the next call after an immediate response without a change, briefly at first and doubling each
// time.
func (f *Follower) delayAfterEmpty(now time.Duration) {
	if f.called == f.current {
		f.nextCall = max(f.nextCall, now+f.jitter(backoff(emptyResponseBackoff, f.emptyResponses)))
		f.emptyResponses++
	}
}

// Received checks a response. If it returns true, the caller puts the delta in force, applies it to the set (a snapshot
// as it is or reduced by Set.Difference) and calls Applied. If it returns an error, there is nothing to apply: a
// *Refusal is reported to the control process by the next calls, any other error has been counted as a failure. A delta
// that is not later than the held version is ignored without an error, so that a node's version never decreases.
func (f *Follower) Received(now time.Duration, d *Delta) (apply bool, err error) {
	held := f.set.Version()
	if d.From == d.To && len(d.Put)+len(d.Removed) == 0 && (d.To == held || d.To == f.callSince) {
		if d.To == held && d.Checksum != f.set.Checksum() {
			err = fmt.Errorf("%v: checksum %016x, announced %016x: %w", held, uint64(f.set.Checksum()), uint64(d.Checksum), ErrChecksum)
			f.requireSnapshot(now, err)
			return false, err
		}
		waited := f.sourceWaited(now)
		f.recordSuccess(now, f.called == 0)
		if !waited {
			f.delayAfterEmpty(now)
		}
		return false, nil
	}
	if d.To.TooFarAhead(now) {
		r := &Refusal{Field: "to", Reason: fmt.Sprintf("epoch of %v is over a day ahead of this clock, %d", d.To, now.Milliseconds())}
		f.recordRefusal(now, d.To, r)
		f.refusedForEpoch = true
		return false, r
	}
	err = f.set.Check(d)
	var r *Refusal
	switch {
	case err == nil:
		f.pending = d.To
		return true, nil
	case errors.Is(err, ErrStale):
		f.needSnapshot = false
		f.recordSuccess(now, false)
		f.delayAfterEmpty(now)
		return false, nil
	case errors.As(err, &r):
		f.recordRefusal(now, d.To, r)
		return false, r
	case d.IsSnapshot(): // the source computed a wrong checksum, and another snapshot is expensive
		r = &Refusal{Field: "sum", Reason: err.Error()}
		f.recordRefusal(now, d.To, r)
		f.refusalExpiry = now + f.randomBetween(checksumRefusalLifetime/2, checksumRefusalLifetime)
		f.delaySnapshot(now)
		f.status.LastError = r.Reason
		return false, r
	}
	f.requireSnapshot(now, err)
	return false, err
}

// requireSnapshot records a response that does not match the held content: the next request is for a snapshot, after a
// delay.
func (f *Follower) requireSnapshot(now time.Duration, err error) {
	f.status.LastError = err.Error()
	f.needSnapshot = true
	f.delaySnapshot(now)
	f.current = f.called
	f.recordFailure(now)
}

// delaySnapshot delays the next request for a snapshot, doubling each time: a snapshot of full size is several
// megabytes.
func (f *Follower) delaySnapshot(now time.Duration) {
	f.nextSnapshot = now + f.jitter(min(firstBackoff<<min(f.mismatches, 10), checksumRefusalLifetime))
	f.mismatches++
}

// recordRefusal stores a refused version to be reported, and delays the next call: less than after a failure, doubling
// each time.
func (f *Follower) recordRefusal(now time.Duration, v Version, err error) {
	f.refused, f.reason, f.refusalExpiry, f.refusedForEpoch = v, truncate(err.Error(), MaxReason), 0, false
	f.recordSuccess(now, f.called == 0)
	f.nextCall = now + f.jitter(backoff(emptyResponseBackoff, f.emptyResponses))
	f.emptyResponses++
}

// clearRefusal removes the stored refusal.
func (f *Follower) clearRefusal() {
	f.refused, f.reason, f.refusalExpiry, f.refusedForEpoch = Version{}, "", 0, false
}

// Applied reports the outcome of applying a delta that Received accepted: nil if it is in force and in the set, else
// the reason for which it was refused.
func (f *Follower) Applied(now time.Duration, err error) {
	if err != nil {
		f.recordRefusal(now, f.pending, err)
		return
	}
	f.recordSuccess(now, true)
	if f.callSince.IsZero() && f.status.LastChange == 0 {
		f.nextCheck = now // the first version has nothing to compare it with: check whether another source has a later one
	}
	f.needSnapshot, f.mismatches, f.failures, f.emptyResponses = false, 0, 0, 0
	f.status.LastChange, f.nextCall = now, now+f.jitter(delayAfterChange)
	if f.set.Version().Compare(f.refused) >= 0 || f.refusedForEpoch {
		f.clearRefusal()
	}
}
