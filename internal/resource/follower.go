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
	restFirst   = 100 * time.Millisecond // after a failure; doubles with each round through all sources
	restMost    = 4 * time.Second
	restIdle    = 50 * time.Millisecond  // after an answer at once that brought nothing; doubles
	restTaken   = 100 * time.Millisecond // after a change: a fleet doesn't call in one instant then, and many changes come as one
	MaxRetry    = 30 * time.Second       // of a Retry-After
	sumForget   = time.Minute            // a snapshot whose sum does not fit is refused for half of this or more
	bodyLeast   = 2 * time.Second
	bodyMost    = 30 * time.Second
	bodyAtLeast = 64 << 10 // bytes a second
)

// BodyLimit is how long an answer's body may take after its head, by its length in bytes; below 0: not told.
func BodyLimit(length int64) time.Duration {
	if length < 0 {
		return bodyMost
	}
	return min(bodyLeast+time.Duration(float64(length)/bodyAtLeast*float64(time.Second)), bodyMost)
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
	set     *Set
	pace    Pace
	sources int

	at      int // followed
	asked   int // by the call under way
	looked  int // last looked at
	look    time.Duration
	busy    []time.Duration // by source: not before
	due     time.Duration   // of the next call: not before
	calm    bool            // the last call was a good one: wait for what is new
	whole   bool            // the next delta wouldn't fit: ask for everything
	wholes  int             // answers in a row whose sum or base didn't fit
	spare   time.Duration   // not before: the next call for everything
	fails   int             // in a row, but for looks
	idles   int             // answers at once that brought nothing, in a row
	called  time.Duration
	wait    time.Duration // of the call under way
	since   Version       // of the call under way
	draw    float64
	told    Version // by the answer that is to be taken
	refused Version
	why     string
	forget  time.Duration // the refusal, at this time; 0: never
	ahead   bool          // refused for its epoch only
	status  Status
}

// NewFollower follows sources, the nearest first, for a set; NodePace is its pace.
func NewFollower(base *Set, sources int) *Follower {
	return &Follower{set: base, sources: max(sources, 1), pace: NodePace, busy: make([]time.Duration, max(sources, 1)), draw: 0.5}
}

// SetPace is for before the first call.
func (f *Follower) SetPace(p Pace) { f.pace = p }

// Status tells where it stands.
func (f *Follower) Status() Status {
	s := f.status
	s.Version, s.Sum, s.Resources = f.set.Version(), f.set.Sum(), f.set.Len()
	s.Source, s.Refused, s.Why, s.Failures = f.at, f.refused, f.why, f.fails
	return s
}

// between draws a time; each draw makes the next by a step of its own, so that one given draw serves several.
func (f *Follower) between(least, most time.Duration) time.Duration {
	d := least + time.Duration(f.draw*float64(most-least))
	_, f.draw = math.Modf(f.draw*4093 + 0.618)
	return d
}

// Next says what to call now.
func (f *Follower) Next(now time.Duration, draw float64) Call {
	f.draw = draw
	if !f.refused.IsZero() && (f.forget > 0 && now >= f.forget || f.ahead && !f.refused.TooFarAhead(now)) {
		f.forgive()
	}
	c := Call{Rest: max(f.due-now, 0), Source: f.at, Limit: f.pace.Grace, Refused: f.refused, Why: f.why}
	if f.whole {
		c.Rest = max(c.Rest, f.spare-now)
	} else {
		c.Since, c.Sum = f.set.Version(), f.set.Sum()
	}
	begin := now + c.Rest
	if f.look == 0 {
		f.look = begin + f.between(f.pace.LookLeast, f.pace.LookMost)
	}
	switch {
	case c.Since.IsZero() && f.refused.IsZero() || !f.calm: // it answers at once, whatever it has
	case f.lookAt(begin):
		c.Source = f.looked
	default:
		c.Wait = f.between(f.pace.WaitLeast, f.pace.WaitMost)
		if f.sources > 1 {
			c.Wait = min(c.Wait, f.look-begin)
		}
		c.Limit = c.Wait + f.pace.Grace
	}
	f.asked, f.called, f.wait, f.since = c.Source, begin, c.Wait, c.Since
	return c
}

// lookAt tells whether the next call is a look at another source, and takes the next one in turn for it.
func (f *Follower) lookAt(begin time.Duration) bool {
	if f.sources == 1 || begin+f.pace.Grace/4 < f.look {
		return false
	}
	f.look = begin + f.between(f.pace.LookLeast, f.pace.LookMost)
	for range f.sources {
		f.looked = (f.looked + 1) % f.sources
		if f.looked != f.at && f.busy[f.looked] <= begin {
			return true
		}
	}
	return false
}

// jitter draws a rest between half of it and the whole.
func (f *Follower) jitter(d time.Duration) time.Duration { return f.between(d/2, d) }

// doubled is first, doubled n times and bounded.
func doubled(first time.Duration, n int) time.Duration { return min(first<<min(n, 10), restMost) }

// Failed tells that the call brought nothing to take.
func (f *Follower) Failed(now time.Duration, how Failure, draw float64) {
	f.draw = draw
	if how.Kind == Busy && how.RetryAfter > 0 {
		after := min(how.RetryAfter, MaxRetry)
		f.busy[f.asked] = now + f.between(after, after+after/2)
	}
	f.status.LastErr = how.Kind.String()
	if how.Err != nil {
		f.status.LastErr += ": " + cut(how.Err.Error(), MaxWhy)
	}
	f.fail(now)
}

// fail rests and turns to the next source: soon to those not yet asked in this round, and after a rest that doubles with each round through
// all of them. A look that failed costs nothing but a rest: what is followed is followed on.
func (f *Follower) fail(now time.Duration) {
	if f.asked != f.at {
		f.due = now + f.jitter(restIdle)
		return
	}
	f.calm = false
	f.fails++
	rest := restFirst
	if f.fails%f.sources == 0 {
		rest = doubled(restFirst, f.fails/f.sources-1)
	}
	f.due = now + f.jitter(rest)
	// The next one that may be asked; where all are busy, the one that is free first.
	best := f.at
	for i := 1; i <= f.sources; i++ {
		s := (f.at + i) % f.sources
		if f.busy[s] <= f.due {
			best = s
			break
		}
		if i == 1 || f.busy[s] < f.busy[best] {
			best = s
		}
	}
	f.at = best
	f.due = max(f.due, f.busy[best])
}

// good counts an answer that could be taken or had nothing to take. What was looked at is followed from now on if move says so. Failures
// are forgotten only where the answer moved forward or the source waited: one which drops each watch is not asked ever so fast.
func (f *Follower) good(now time.Duration, move bool) {
	if move {
		f.at = f.asked
	}
	if f.waited(now) {
		f.fails, f.idles = 0, 0
	}
	f.calm, f.due = true, now
	f.status.LastErr, f.status.LastAnswer = "", now
}

// waited tells whether the source kept the call for half its wait or more.
func (f *Follower) waited(now time.Duration) bool { return f.wait > 0 && now-f.called >= f.wait/2 }

// idle rests after an answer that brought nothing and was not waited for: hardly at first, longer each time in a row.
func (f *Follower) idle(now time.Duration) {
	if f.asked == f.at {
		f.due = max(f.due, now+f.jitter(doubled(restIdle, f.idles)))
		f.idles++
	}
}

// Told tells what an answer says. True: the caller puts it in force, applies it to the set (a snapshot by Set.Difference, or whole) and
// calls Took. An error: nothing is to be taken; a *Refusal is told to control by the calls that follow, what else it is has been counted.
// What is not later than what is held is passed over without an error: a node never goes back.
func (f *Follower) Told(now time.Duration, d *Delta) (take bool, err error) {
	held := f.set.Version()
	if d.From == d.To && len(d.Put)+len(d.Gone) == 0 && (d.To == held || d.To == f.since) {
		if d.To == held && d.Sum != f.set.Sum() {
			err = fmt.Errorf("%v: sum %016x, told %016x: %w", held, uint64(f.set.Sum()), uint64(d.Sum), ErrSum)
			f.failWhole(now, err)
			return false, err
		}
		waited := f.waited(now)
		f.good(now, f.asked == 0)
		if !waited {
			f.idle(now)
		}
		return false, nil
	}
	if d.To.TooFarAhead(now) {
		r := &Refusal{Field: "to", Why: fmt.Sprintf("epoch of %v is over a day ahead of this clock, %d", d.To, now.Milliseconds())}
		f.refuse(now, d.To, r)
		f.ahead = true
		return false, r
	}
	err = f.set.Check(d)
	var r *Refusal
	switch {
	case err == nil:
		f.told = d.To
		return true, nil
	case errors.Is(err, ErrStale):
		f.whole = false
		f.good(now, false)
		f.idle(now)
		return false, nil
	case errors.As(err, &r):
		f.refuse(now, d.To, r)
		return false, r
	case d.Whole(): // the sum of a snapshot: not ours to mend, and dear to ask for again
		r = &Refusal{Field: "sum", Why: err.Error()}
		f.refuse(now, d.To, r)
		f.forget = now + f.between(sumForget/2, sumForget)
		f.spareWhole(now)
		f.status.LastErr = r.Why
		return false, r
	}
	f.failWhole(now, err)
	return false, err
}

// failWhole counts an answer that doesn't fit what is held: everything is asked for, after a rest.
func (f *Follower) failWhole(now time.Duration, err error) {
	f.status.LastErr = err.Error()
	f.whole = true
	f.spareWhole(now)
	f.at = f.asked
	f.fail(now)
}

// spareWhole rests longer each time before everything is asked for: at full size it is some megabytes.
func (f *Follower) spareWhole(now time.Duration) {
	f.spare = now + f.jitter(min(restFirst<<min(f.wholes, 10), sumForget))
	f.wholes++
}

// refuse keeps what was refused, to be told, and rests: less than after a failure, more each time in a row.
func (f *Follower) refuse(now time.Duration, v Version, err error) {
	f.refused, f.why, f.forget, f.ahead = v, cut(err.Error(), MaxWhy), 0, false
	f.good(now, f.asked == 0)
	f.due = now + f.jitter(doubled(restIdle, f.idles))
	f.idles++
}

func (f *Follower) forgive() { f.refused, f.why, f.forget, f.ahead = Version{}, "", 0, false }

// Took tells what became of what Told said to take: nil where it is in force and in the set, or why it was refused.
func (f *Follower) Took(now time.Duration, err error) {
	if err != nil {
		f.refuse(now, f.told, err)
		return
	}
	f.good(now, true)
	if f.since.IsZero() && f.status.LastChange == 0 {
		f.look = now // there was none before to hold against it: another source may have a later one
	}
	f.whole, f.wholes, f.fails, f.idles = false, 0, 0, 0
	f.status.LastChange, f.due = now, now+f.jitter(restTaken)
	if f.set.Version().Compare(f.refused) >= 0 || f.ahead {
		f.forgive()
	}
}
