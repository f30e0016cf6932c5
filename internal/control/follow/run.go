// Package follow keeps a configuration up to date from control processes. It is the loop around resource.Follower, which decides
// what to call, and provides its calls, its clock and its random numbers. It is used by nodes and by control processes that follow
// another one.
package follow

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"time"

	"portstall/internal/resource"
)

// Clock is a source of time and timers. The real one reports Unix time that runs evenly when the system's clock is set.
type Clock interface {
	Now() time.Duration
	AfterFunc(d time.Duration, f func())
}

// SystemClock returns a clock that reports Unix time. From its creation on it runs evenly when the system's clock is set.
func SystemClock() Clock { return systemClock{time.Now()} }

// systemClock reports the time since its start, added to the Unix time of the start.
type systemClock struct{ start time.Time }

// Now returns the Unix time.
func (c systemClock) Now() time.Duration {
	return time.Duration(c.start.UnixNano()) + time.Since(c.start)
}

// AfterFunc calls f after a time.
func (c systemClock) AfterFunc(d time.Duration, f func()) { time.AfterFunc(d, f) }

// Options configure which sources to follow and how to apply a change.
type Options struct {
	Name    string        // shown by control; must not be empty
	Process string        // a mark by which control tells processes of one name apart; empty: this is the only one
	Role    string        // node or control
	Sources []string      // host:port of control processes, the nearest first; at least one
	Set     *resource.Set // the content in force; owned by Run until it returns, and changed by Apply alone
	// Apply puts a delta in force and applies it to the set, or returns a *resource.Refusal and changes nothing. Run calls it on its
	// own goroutine, one call at a time.
	Apply func(*resource.Delta) error

	Log    *slog.Logger   // nil: discard
	Status *Status        // counters; nil: not needed
	Clock  Clock          // nil: the system's
	Random func() float64 // returns random numbers in [0, 1); nil: math/rand
}

// setDefaults sets the fields that are nil.
func (o *Options) setDefaults() {
	if o.Status == nil {
		o.Status = &Status{}
	}
	if o.Clock == nil {
		o.Clock = SystemClock()
	}
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	if o.Random == nil {
		o.Random = rand.Float64
	}
}

// sleep returns after a time or when ctx ends.
func sleep(ctx context.Context, c Clock, d time.Duration) {
	if d <= 0 {
		return
	}
	elapsed := make(chan struct{})
	c.AfterFunc(d, func() { close(elapsed) })
	select {
	case <-elapsed:
	case <-ctx.Done():
	}
}

// Run follows the sources until ctx ends, and then returns nil.
func Run(ctx context.Context, o Options) error {
	if len(o.Sources) == 0 || o.Name == "" || o.Set == nil || o.Apply == nil {
		return errors.New("follow: a name, sources, a set and an Apply function are required")
	}
	o.setDefaults()
	return o.run(ctx, NewClient(o.Name, o.Role, o.Clock, o.Status))
}

// run follows the sources with a client, and closes the client.
func (o *Options) run(ctx context.Context, client *Client) error {
	defer client.Close()
	f := resource.NewFollower(o.Set, len(o.Sources))
	if o.Role == "control" {
		f.SetSchedule(resource.ControlSchedule)
	}
	r := &runner{Options: *o, follower: f}
	for {
		c := f.Next(o.Clock.Now(), o.Random())
		sleep(ctx, o.Clock, c.Delay)
		if ctx.Err() != nil {
			return nil
		}
		source := o.Sources[c.Source]
		d, err := client.Get(ctx, source, &Query{Process: o.Process, Since: c.Since, Checksum: c.Checksum, Refused: c.Refused, Reason: c.Reason, Wait: c.Wait, Timeout: c.Timeout})
		switch {
		case ctx.Err() != nil:
			return nil
		case err != nil:
			r.handleFailure(err)
		default:
			r.handleResponse(source, d)
		}
	}
}

// runner is the state of a running follower.
type runner struct {
	Options
	follower      *resource.Follower
	failureLogged bool // a failure was logged, and no call has succeeded since
}

// failureKinds maps the kinds of failures of calls to those of resource.Follower.
var failureKinds = map[FailureKind]resource.FailureKind{Unreachable: resource.Unreachable, Silent: resource.Silent, Broken: resource.Unreachable,
	TooLong: resource.Invalid, Malformed: resource.Invalid, Behind: resource.Behind, Full: resource.Busy, OtherStatus: resource.Rejected}

// handleFailure records a failed call. Of consecutive failures the first one is logged as a warning, the others for debugging.
func (r *runner) handleFailure(err error) {
	failure := resource.Failure{Err: err}
	var call *CallError
	if errors.As(err, &call) {
		failure.Kind, failure.RetryAfter = failureKinds[call.Kind], call.RetryAfter
		r.Status.recordFailure(call.Kind, err.Error())
	}
	r.follower.Failed(r.Clock.Now(), failure, r.Random())
	level := slog.LevelDebug
	if !r.failureLogged {
		level = slog.LevelWarn
	}
	r.failureLogged = true
	r.Log.Log(context.Background(), level, "call to control failed", "err", err)
}

// handleResponse processes a response and applies its change, if there is one.
func (r *runner) handleResponse(source string, d *resource.Delta) {
	now := r.Clock.Now()
	before := r.Set.Version()
	apply, err := r.follower.Received(now, d)
	if apply {
		if err = r.Apply(d); err == nil && r.Set.Version() != d.To {
			err = errors.New("the change was not applied") // an error of the caller; without it the change would be requested for ever
		}
		now = r.Clock.Now()
		r.follower.Applied(now, err)
	}
	kind := Unfit
	if refusal := (*resource.Refusal)(nil); apply || errors.As(err, &refusal) {
		kind = Refused
	}
	st := r.follower.Status()
	r.Status.update(func(s *State) {
		s.Version, s.Refused, s.Reason, s.LastError, s.Source, s.LastResponse = st.Version, st.Refused, st.Reason, "", source, now
		if apply && err == nil {
			s.LastChange = now
		}
	})
	switch {
	case err != nil:
		r.Status.recordFailure(kind, err.Error())
		r.Log.Error("configuration change not taken", "from", source, "version", d.To, "in_force", before, "err", err)
		return
	case !apply:
		r.Status.empty.Add(1)
	case d.IsSnapshot():
		r.Status.snapshots.Add(1)
	default:
		r.Status.deltas.Add(1)
	}
	if apply {
		r.Status.resources.Add(int64(len(d.Put) + len(d.Removed)))
		r.Log.Info("configuration change applied", "from", source, "version", d.To, "before", before, "put", len(d.Put), "gone", len(d.Removed))
	}
	if r.failureLogged {
		r.failureLogged = false
		r.Log.Info("control responds again", "from", source)
	}
}
