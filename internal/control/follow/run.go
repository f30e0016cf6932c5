// Package follow keeps a configuration up to date from control processes: the loop around resource.Follower, which decides, with
// its calls, its clock and its dice. Nodes and the control processes that follow another one use it alike.
package follow

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"time"

	"portstall/internal/resource"
)

// Clock tells the time and wakes. Real ones tell Unix time that runs on evenly when the system's clock is set.
type Clock interface {
	Now() time.Duration
	AfterFunc(d time.Duration, f func())
}

// SystemClock tells Unix time that runs on evenly when the system's clock is set, from the moment in which it is made.
func SystemClock() Clock { return systemClock{time.Now()} }

type systemClock struct{ start time.Time }

func (c systemClock) Now() time.Duration {
	return time.Duration(c.start.UnixNano()) + time.Since(c.start)
}

func (c systemClock) AfterFunc(d time.Duration, f func()) { time.AfterFunc(d, f) }

// Options say whom to follow, and what becomes of a change.
type Options struct {
	Name    string        // control shows it; it is not empty
	Process string        // a mark by which control tells processes of one name apart; empty: it is the only one
	Role    string        // node or control
	Sources []string      // host:port of control processes, the nearest first; one at least
	Set     *resource.Set // what is in force, and belongs to Run until it returns: only Take changes it
	// Take puts a delta in force and applies it to the set, or returns a *resource.Refusal and changes nothing. It is called by
	// Run's own goroutine, one call at a time.
	Take func(*resource.Delta) error

	Log    *slog.Logger
	Status *Status        // counts; nil: nobody reads it
	Clock  Clock          // nil: the system's
	Draw   func() float64 // from 0 to below 1; nil: random
}

// fill puts in what was not given.
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
	if o.Draw == nil {
		o.Draw = rand.Float64
	}
}

// sleep returns once the time is over, or ctx has ended.
func sleep(ctx context.Context, c Clock, d time.Duration) {
	if d <= 0 {
		return
	}
	over := make(chan struct{})
	c.AfterFunc(d, func() { close(over) })
	select {
	case <-over:
	case <-ctx.Done():
	}
}

// Run follows until ctx ends, and returns nil then.
func Run(ctx context.Context, o Options) error {
	if len(o.Sources) == 0 || o.Name == "" || o.Set == nil || o.Take == nil {
		return errors.New("follow: a name, sources, a set and what takes a change are needed")
	}
	o.setDefaults()
	return o.run(ctx, NewClient(o.Name, o.Role, o.Clock, o.Status))
}

// run follows by a client, and closes it.
func (o *Options) run(ctx context.Context, client *Client) error {
	defer client.Close()
	f := resource.NewFollower(o.Set, len(o.Sources))
	if o.Role == "control" {
		f.SetPace(resource.ControlPace)
	}
	r := &runner{Options: *o, follower: f}
	for {
		c := f.Next(o.Clock.Now(), o.Draw())
		sleep(ctx, o.Clock, c.Rest)
		if ctx.Err() != nil {
			return nil
		}
		source := o.Sources[c.Source]
		d, err := client.Get(ctx, source, &Query{Process: o.Process, Since: c.Since, Sum: c.Sum, Refused: c.Refused, Why: c.Why, Wait: c.Wait, Limit: c.Limit})
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

// run is one that follows.
type runner struct {
	Options
	follower      *resource.Follower
	failureLogged bool // that calls fail has been logged
}

// failures tells the follower's kinds by ours.
var failureKinds = map[Kind]resource.FailureKind{Unreachable: resource.Unreachable, Silent: resource.Silent, Broken: resource.Unreachable,
	TooLong: resource.Invalid, Malformed: resource.Invalid, Behind: resource.Behind, Full: resource.Busy, OtherStatus: resource.Rejected}

// failed takes in that a call brought nothing. Failures that follow each other are logged once.
func (r *runner) handleFailure(err error) {
	how := resource.Failure{Err: err}
	var call *CallError
	if errors.As(err, &call) {
		how.Kind, how.RetryAfter = failureKinds[call.Kind], call.RetryAfter
		r.Status.recordFailure(call.Kind, err.Error())
	}
	r.follower.Failed(r.Clock.Now(), how, r.Draw())
	level := slog.LevelDebug
	if !r.failureLogged {
		level = slog.LevelWarn
	}
	r.failureLogged = true
	r.Log.Log(context.Background(), level, "asking control failed", "err", err)
}

// told takes in an answer.
func (r *runner) handleResponse(source string, d *resource.Delta) {
	now := r.Clock.Now()
	before := r.Set.Version()
	take, err := r.follower.Told(now, d)
	if take {
		if err = r.Take(d); err == nil && r.Set.Version() != d.To {
			err = errors.New("it was not put in force") // a fault of the caller: to go on would ask for it for ever
		}
		now = r.Clock.Now()
		r.follower.Took(now, err)
	}
	kind := Unfit
	if refusal := (*resource.Refusal)(nil); take || errors.As(err, &refusal) {
		kind = Refused
	}
	st := r.follower.Status()
	r.Status.update(func(s *Stands) {
		s.Version, s.Refused, s.Why, s.LastError, s.Source, s.Heard = st.Version, st.Refused, st.Why, "", source, now
		if take && err == nil {
			s.Changed = now
		}
	})
	switch {
	case err != nil:
		r.Status.recordFailure(kind, err.Error())
		r.Log.Error("a change is not taken", "from", source, "version", d.To, "in force", before, "err", err)
		return
	case !take:
		r.Status.empty.Add(1)
	case d.Whole():
		r.Status.snapshots.Add(1)
	default:
		r.Status.deltas.Add(1)
	}
	if take {
		r.Status.resources.Add(int64(len(d.Put) + len(d.Gone)))
		r.Log.Info("a change is in force", "from", source, "version", d.To, "before", before, "put", len(d.Put), "gone", len(d.Gone))
	}
	if r.failureLogged {
		r.failureLogged = false
		r.Log.Info("control answers again", "from", source)
	}
}
