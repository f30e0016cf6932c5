package resource

import (
	"errors"
	"fmt"
	"math"
	"time"
)

// Pace is how often a follower calls. A watch whose answer is lost is found out only at its limit, so the longest wait, the grace and one
// call more have to stay within the time in which a change is to be in force.
type Pace struct {
	WaitLeast, WaitMost time.Duration // of a watch, drawn for each
	Grace               time.Duration // past the wait; the limit of a call without one
	LookLeast, LookMost time.Duration // between looks at another source
}

// NodePace is a node's: 450 of them make some 130 calls a second in all. ControlPace is for the few control processes that follow.
var (
	NodePace    = Pace{6 * time.Second, 10 * time.Second, 2 * time.Second, 4 * time.Second, 7 * time.Second}
	ControlPace = Pace{2 * time.Second, 4 * time.Second, time.Second, time.Second, 2 * time.Second}
)

// Rests. Each is drawn between half of it and the whole.
const (
	firstBackoff            = 100 * time.Millisecond // after a failure; doubles with each round through all sources
	maxBackoff              = 4 * time.Second
	emptyResponseBackoff    = 50 * time.Millisecond  // after an answer at once that brought nothing; doubles
	delayAfterChange        = 100 * time.Millisecond // after a change: a fleet doesn't call in one instant then, and many changes come as one
	MaxRetry                = 30 * time.Second       // of a Retry-After
	checksumRefusalLifetime = time.Minute            // a snapshot whose sum does not fit is refused for half of this or more
	minBodyTimeout          = 2 * time.Second
	maxBodyTimeout          = 30 * time.Second
	minBodyRate             = 64 << 10 // bytes a second
)

// BodyLimit is how long an answer's body may take after its head, by its length in bytes; below 0: not told.
func BodyLimit(length int64) time.Duration {
	if length < 0 {
		return maxBodyTimeout
	}
	return min(minBodyTimeout+time.Duration(float64(length)/minBodyRate*float64(time.Second)), maxBodyTimeout)
}

// Call is what to do next: rest, then ask.
type Call struct {
	Rest    time.Duration // before it
	Source  int           // index of whom to ask
	Since   Version       // zero: the whole
	Sum     Sum           // of what is held at Since
	Refused Version       // zero: none
	Why     string        // of the refusal
	Wait    time.Duration // for something new, at the source; 0: it answers at once
	Limit   time.Duration // from the call to the head of its answer; BodyLimit counts from there
}

// FailureKind is how a call failed.
type FailureKind int

// The kinds of failures.
const (
	Unreachable FailureKind = iota // no connection, or it broke off
	Silent                         // past the limit
	Busy                           // 503
	Behind                         // 409: the source has an older version than we have
	Rejected                       // another status
	Invalid                        // an answer that can't be read or is over the bound
)

func (k FailureKind) String() string {
	return [...]string{"unreachable", "silent", "busy", "behind", "rejected", "invalid"}[k]
}

// Failure is a call that brought no answer to take.
type Failure struct {
	Kind       FailureKind
	RetryAfter time.Duration // Busy: as told; bounded by MaxRetry
	Err        error         // for the status
}

// Status is what operators see of a follower.
type Status struct {
	Version    Version
	Sum        Sum
	Resources  int
	Source     int // the one that is followed
	Refused    Version
	Why        string
	Failures   int           // in a row
	LastErr    string        // of the last call that failed; empty after a good one
	LastAnswer time.Duration // Unix time of the last good answer; 0: none
	LastChange time.Duration // of the last version taken
}

// Follower decides whom to ask for what and when, and which answers to take. Its caller makes the calls one at a time: Next, then
// Failed or Told, and Took after a Told that said to take. Times are Unix time, draws are in [0, 1). It is not safe for concurrent use.
//
// It follows one source. Now and then it looks at another one for an instant, in turn: a source that is itself cut off answers well and
// has nothing new, and only another one can tell. It moves to the source that has something newer, and home to the first one when that
// is not behind.
type Follower struct {
	set      *Set
	schedule Pace
	sources  int

	current         int // followed
	called          int // by the call under way
	lastChecked     int // last looked at
	nextCheck       time.Duration
	busyUntil       []time.Duration // by source: not before
	nextCall        time.Duration   // of the next call: not before
	mayWait         bool            // the last call was a good one: wait for what is new
	needSnapshot    bool            // the next delta wouldn't fit: ask for everything
	mismatches      int             // answers in a row whose sum or base didn't fit
	nextSnapshot    time.Duration   // not before: the next call for everything
	failures        int             // in a row, but for looks
	emptyResponses  int             // answers at once that brought nothing, in a row
	callStart       time.Duration
	callWait        time.Duration // of the call under way
	callSince       Version       // of the call under way
	random          float64
	pending         Version // by the answer that is to be taken
	refused         Version
	reason          string
	refusalExpiry   time.Duration // the refusal, at this time; 0: never
	refusedForEpoch bool          // refused for its epoch only
	status          Status
}

// NewFollower follows sources, the nearest first, for a set; NodePace is its pace.
func NewFollower(base *Set, sources int) *Follower {
	return &Follower{set: base, sources: max(sources, 1), schedule: NodePace, busyUntil: make([]time.Duration, max(sources, 1)), random: 0.5}
}

// SetPace is for before the first call.
func (f *Follower) SetPace(p Pace) { f.schedule = p }

// Status tells where it stands.
func (f *Follower) Status() Status {
	s := f.status
	s.Version, s.Sum, s.Resources = f.set.Version(), f.set.Sum(), f.set.Len()
	s.Source, s.Refused, s.Why, s.Failures = f.current, f.refused, f.reason, f.failures
	return s
}

// between draws a time; each draw makes the next by a step of its own, so that one given draw serves several.
func (f *Follower) randomBetween(least, most time.Duration) time.Duration {
	d := least + time.Duration(f.random*float64(most-least))
	_, f.random = math.Modf(f.random*4093 + 0.618)
	return d
}

// Next says what to call now.
func (f *Follower) Next(now time.Duration, draw float64) Call {
	f.random = draw
	if !f.refused.IsZero() && (f.refusalExpiry > 0 && now >= f.refusalExpiry || f.refusedForEpoch && !f.refused.TooFarAhead(now)) {
		f.clearRefusal()
	}
	c := Call{Rest: max(f.nextCall-now, 0), Source: f.current, Limit: f.schedule.Grace, Refused: f.refused, Why: f.reason}
	if f.needSnapshot {
		c.Rest = max(c.Rest, f.nextSnapshot-now)
	} else {
		c.Since, c.Sum = f.set.Version(), f.set.Sum()
	}
	begin := now + c.Rest
	if f.nextCheck == 0 {
		f.nextCheck = begin + f.randomBetween(f.schedule.LookLeast, f.schedule.LookMost)
	}
	switch {
	case c.Since.IsZero() && f.refused.IsZero() || !f.mayWait: // it answers at once, whatever it has
	case f.checkDue(begin):
		c.Source = f.lastChecked
	default:
		c.Wait = f.randomBetween(f.schedule.WaitLeast, f.schedule.WaitMost)
		if f.sources > 1 {
			c.Wait = min(c.Wait, f.nextCheck-begin)
		}
		c.Limit = c.Wait + f.schedule.Grace
	}
	f.called, f.callStart, f.callWait, f.callSince = c.Source, begin, c.Wait, c.Since
	return c
}

// lookAt tells whether the next call is a look at another source, and takes the next one in turn for it.
func (f *Follower) checkDue(begin time.Duration) bool {
	if f.sources == 1 || begin+f.schedule.Grace/4 < f.nextCheck {
		return false
	}
	f.nextCheck = begin + f.randomBetween(f.schedule.LookLeast, f.schedule.LookMost)
	for range f.sources {
		f.lastChecked = (f.lastChecked + 1) % f.sources
		if f.lastChecked != f.current && f.busyUntil[f.lastChecked] <= begin {
			return true
		}
	}
	return false
}

// jitter draws a rest between half of it and the whole.
func (f *Follower) jitter(d time.Duration) time.Duration { return f.randomBetween(d/2, d) }

// doubled is first, doubled n times and bounded.
func backoff(first time.Duration, n int) time.Duration { return min(first<<min(n, 10), maxBackoff) }

// Failed tells that the call brought nothing to take.
func (f *Follower) Failed(now time.Duration, how Failure, draw float64) {
	f.random = draw
	if how.Kind == Busy && how.RetryAfter > 0 {
		after := min(how.RetryAfter, MaxRetry)
		f.busyUntil[f.called] = now + f.randomBetween(after, after+after/2)
	}
	f.status.LastErr = how.Kind.String()
	if how.Err != nil {
		f.status.LastErr += ": " + truncate(how.Err.Error(), MaxWhy)
	}
	f.recordFailure(now)
}

// fail rests and turns to the next source: soon to those not yet asked in this round, and after a rest that doubles with each round through
// all of them. A look that failed costs nothing but a rest: what is followed is followed on.
func (f *Follower) recordFailure(now time.Duration) {
	if f.called != f.current {
		f.nextCall = now + f.jitter(emptyResponseBackoff)
		return
	}
	f.mayWait = false
	f.failures++
	rest := firstBackoff
	if f.failures%f.sources == 0 {
		rest = backoff(firstBackoff, f.failures/f.sources-1)
	}
	f.nextCall = now + f.jitter(rest)
	// The next one that may be asked; where all are busy, the one that is free first.
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

// good counts an answer that could be taken or had nothing to take. What was looked at is followed from now on if move says so. Failures
// are forgotten only where the answer moved forward or the source waited: one which drops each watch is not asked ever so fast.
func (f *Follower) recordSuccess(now time.Duration, move bool) {
	if move {
		f.current = f.called
	}
	if f.sourceWaited(now) {
		f.failures, f.emptyResponses = 0, 0
	}
	f.mayWait, f.nextCall = true, now
	f.status.LastErr, f.status.LastAnswer = "", now
}

// waited tells whether the source kept the call for half its wait or more.
func (f *Follower) sourceWaited(now time.Duration) bool {
	return f.callWait > 0 && now-f.callStart >= f.callWait/2
}

// idle rests after an answer that brought nothing and was not waited for: hardly at first, longer each time in a row.
func (f *Follower) delayAfterEmpty(now time.Duration) {
	if f.called == f.current {
		f.nextCall = max(f.nextCall, now+f.jitter(backoff(emptyResponseBackoff, f.emptyResponses)))
		f.emptyResponses++
	}
}

// Told tells what an answer says. True: the caller puts it in force, applies it to the set (a snapshot by Set.Difference, or whole) and
// calls Took. An error: nothing is to be taken; a *Refusal is told to control by the calls that follow, what else it is has been counted.
// What is not later than what is held is passed over without an error: a node never goes back.
func (f *Follower) Told(now time.Duration, d *Delta) (take bool, err error) {
	held := f.set.Version()
	if d.From == d.To && len(d.Put)+len(d.Gone) == 0 && (d.To == held || d.To == f.callSince) {
		if d.To == held && d.Sum != f.set.Sum() {
			err = fmt.Errorf("%v: sum %016x, told %016x: %w", held, uint64(f.set.Sum()), uint64(d.Sum), ErrSum)
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
		r := &Refusal{Field: "to", Why: fmt.Sprintf("epoch of %v is over a day ahead of this clock, %d", d.To, now.Milliseconds())}
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
	case d.Whole(): // the sum of a snapshot: not ours to mend, and dear to ask for again
		r = &Refusal{Field: "sum", Why: err.Error()}
		f.recordRefusal(now, d.To, r)
		f.refusalExpiry = now + f.randomBetween(checksumRefusalLifetime/2, checksumRefusalLifetime)
		f.delaySnapshot(now)
		f.status.LastErr = r.Why
		return false, r
	}
	f.requireSnapshot(now, err)
	return false, err
}

// failWhole counts an answer that doesn't fit what is held: everything is asked for, after a rest.
func (f *Follower) requireSnapshot(now time.Duration, err error) {
	f.status.LastErr = err.Error()
	f.needSnapshot = true
	f.delaySnapshot(now)
	f.current = f.called
	f.recordFailure(now)
}

// spareWhole rests longer each time before everything is asked for: at full size it is some megabytes.
func (f *Follower) delaySnapshot(now time.Duration) {
	f.nextSnapshot = now + f.jitter(min(firstBackoff<<min(f.mismatches, 10), checksumRefusalLifetime))
	f.mismatches++
}

// refuse keeps what was refused, to be told, and rests: less than after a failure, more each time in a row.
func (f *Follower) recordRefusal(now time.Duration, v Version, err error) {
	f.refused, f.reason, f.refusalExpiry, f.refusedForEpoch = v, truncate(err.Error(), MaxWhy), 0, false
	f.recordSuccess(now, f.called == 0)
	f.nextCall = now + f.jitter(backoff(emptyResponseBackoff, f.emptyResponses))
	f.emptyResponses++
}

func (f *Follower) clearRefusal() {
	f.refused, f.reason, f.refusalExpiry, f.refusedForEpoch = Version{}, "", 0, false
}

// Took tells what became of what Told said to take: nil where it is in force and in the set, or why it was refused.
func (f *Follower) Took(now time.Duration, err error) {
	if err != nil {
		f.recordRefusal(now, f.pending, err)
		return
	}
	f.recordSuccess(now, true)
	if f.callSince.IsZero() && f.status.LastChange == 0 {
		f.nextCheck = now // there was none before to hold against it: another source may have a later one
	}
	f.needSnapshot, f.mismatches, f.failures, f.emptyResponses = false, 0, 0, 0
	f.status.LastChange, f.nextCall = now, now+f.jitter(delayAfterChange)
	if f.set.Version().Compare(f.refused) >= 0 || f.refusedForEpoch {
		f.clearRefusal()
	}
}
