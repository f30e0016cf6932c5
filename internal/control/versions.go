// Package control implements a control process: it numbers changes of the configuration, retains the deltas of a
// limited time, and serves watches (held HTTP calls) to nodes and to the control processes that follow it. VersionStore
// makes the decisions and is pure: it does no I/O and reads no clock. Loader reads a writer's files; Serve runs the
// process.
package control

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"time"

	"portstall/internal/resource"
)

// Limits bound a VersionStore. A value that is not above zero is replaced by that of DefaultLimits.
type Limits struct {
	// History bounds the deltas that are retained.
	History resource.HistoryLimits
	// MaxWatches is the number of calls that may be held at a time.
	MaxWatches int
	// MaxCallers is the number of processes that are remembered. Past it the one that has been silent for the longest is
	// forgotten.
	MaxCallers int
	// ForgetAfter is how long a caller may be silent before it is forgotten.
	ForgetAfter time.Duration
	// BehindAfter is how long a caller may be behind before the status lists it by name.
	BehindAfter time.Duration
}

// DefaultLimits serve 450 nodes, with capacity for four times as many.
var DefaultLimits = Limits{resource.DefaultHistory, 2000, 10_000, 10 * time.Minute, 18 * time.Second}

// maxProcessBytes is the maximum length of Query.Process.
const maxProcessBytes = 64

// retryAfter is the pause that a 503 reply asks for.
const retryAfter = 2 * time.Second

// Query is one call for a watch, or a later event of a held call: a change to check for, or its end.
type Query struct {
	Since      resource.Version  // version in force at the caller; zero: none
	Sum        resource.Checksum // checksum of the caller's content at Since
	Name       string            // caller's name: a node's or a control process's
	Process    string            // distinguishes processes of one name; may be empty
	Role       string            // "node" or "control"
	Refused    resource.Version  // version that the caller refused; zero: none
	Why        string            // reason of the refusal
	MaxWait    time.Duration     // how long the call may be held until something is new; 0: reply at once
	WatchID    uint64            // Reply.WatchID of a call that is held; 0: a new call
	WaitOver   bool              // the held call has waited for MaxWait
	CallerGone bool              // the caller ended the held call
}

// Reply is the store's reply to a Query.
type Reply struct {
	// Status is an HTTP status: 200, 400, 409 or 503.
	Status int
	// Delta is set with status 200. It is shared and must not be changed.
	Delta *resource.Delta
	// Hold asks for the call to be held: query again with WatchID after each change, and send Delta, which is empty, when
	// its wait ends.
	Hold bool
	// WatchID identifies the call that is to be held.
	WatchID uint64
	// ReplacedWatch is a held call of this name and process that is to end now with the Delta it was given; 0: none.
	ReplacedWatch uint64
	// RetryAfter is set with status 503.
	RetryAfter time.Duration
	// Err is set with every status but 200.
	Err error
}

// VersionStore is the state of a control process: the resources at the current version, the deltas that lead to it, and
// the callers. It is not safe for concurrent use: its owner, the server, guards it with a lock.
type VersionStore struct {
	limits        Limits
	set           *resource.Set
	history       *resource.History
	appliedAt     time.Duration        // Unix time at which the current version was applied
	snapshot      *resource.Delta      // of the current version; nil until it is first needed
	callers       map[string][]*caller // by name, at most maxProcessesPerName each
	callerCount   int                  // processes in callers, over all names
	watchCount    int                  // calls that are held
	lastWatchID   uint64
	snapshotsSent int
	ahead         resource.Version // latest version that a caller has and this store lacks; zero: none
	lastSweep     time.Duration    // Unix time of the latest forgetSilent
}

// NewVersionStore returns a store without a configuration; BeginEpoch or Apply gives it the first version.
func NewVersionStore(l Limits) *VersionStore {
	l.MaxWatches = cmp.Or(max(l.MaxWatches, 0), DefaultLimits.MaxWatches)
	l.MaxCallers = cmp.Or(max(l.MaxCallers, 0), DefaultLimits.MaxCallers)
	l.ForgetAfter = cmp.Or(max(l.ForgetAfter, 0), DefaultLimits.ForgetAfter)
	l.BehindAfter = cmp.Or(max(l.BehindAfter, 0), DefaultLimits.BehindAfter)
	return &VersionStore{limits: l, set: resource.NewSet(true), history: resource.NewHistory(l.History),
		callers: map[string][]*caller{}}
}

// Ahead returns the latest version that a caller has and this store lacks, or the zero version. A writer that sees one
// begins a new epoch past it.
func (vs *VersionStore) Ahead() resource.Version { return vs.ahead }

// Set returns the current resources. The store owns the set: only BeginEpoch, Change and Apply change it.
func (vs *VersionStore) Set() *resource.Set { return vs.set }

// BeginEpoch makes a writer's first version, of all resources, in a new epoch: Unix time in milliseconds, or one past
// the highest epoch that is known, whichever is greater. peerSnapshots are those of the other control processes that
// replied. The latest of them is the base, and the delta from it is the first one retained; it is empty where nothing
// differs. BeginEpoch may be called again, to pass an epoch that callers were seen to have (Status.Ahead). It returns
// the delta from the base to the new version.
func (vs *VersionStore) BeginEpoch(now time.Duration, peerSnapshots []*resource.Delta, all []resource.Resource) (*resource.Delta, error) {
	base, highestEpoch := (*resource.Delta)(nil), max(vs.set.Version().Epoch, vs.ahead.Epoch)
	for _, d := range peerSnapshots {
		switch {
		case d == nil || d.To.IsZero():
			continue
		case !d.IsSnapshot():
			return nil, fmt.Errorf("peer version %v: not a snapshot", d.To)
		case d.To.Epoch == math.MaxUint64 || (resource.Version{Epoch: d.To.Epoch + 1}).TooFarAhead(now):
			return nil, fmt.Errorf("peer version %v: its epoch is over a day ahead of this clock, %d: no node accepts a later one",
				d.To, now.Milliseconds())
		}
		if d.To.Compare(vs.set.Version()) > 0 && (base == nil || d.To.Compare(base.To) > 0) {
			base = d
		}
		highestEpoch = max(highestEpoch, d.To.Epoch)
	}
	seen := make(map[resource.Key]bool, len(all))
	for i := range all {
		if k := all[i].Key; seen[k] {
			return nil, &resource.Refusal{Key: k, Reason: "defined twice"}
		}
		seen[all[i].Key] = true
	}
	to := resource.Version{Epoch: max(uint64(max(now.Milliseconds(), 1)), highestEpoch+1)}
	if to.TooFarAhead(now) {
		return nil, fmt.Errorf("epoch %d is over a day ahead of this clock, %d: no node accepts it",
			to.Epoch, now.Milliseconds())
	}
	// Checked on a copy first: an error in the new content must not leave half of it applied.
	trial := vs.set
	if base != nil {
		trial = resource.NewSet(true)
		if err := trial.Apply(base); err != nil {
			return nil, fmt.Errorf("peer version %v: %w", base.To, err)
		}
	}
	put, removed := trial.Compare(all)
	d := trial.NewDelta(to, put, removed)
	if err := trial.Check(d); err != nil {
		return nil, err
	}
	if base != nil && !vs.set.Version().IsZero() {
		if err := vs.Apply(now, base); err != nil {
			return nil, err
		}
	} else if base != nil {
		vs.set = trial
	}
	return d, vs.commit(now, d)
}

// commit applies a delta from the current version and adds it to the history.
func (vs *VersionStore) commit(now time.Duration, d *resource.Delta) error {
	if err := vs.set.Check(d); err != nil {
		return err
	}
	vs.history.Add(now, d)
	if err := vs.set.Apply(d); err != nil {
		return err
	}
	vs.appliedAt, vs.snapshot = now, nil
	if vs.ahead.Compare(d.To) <= 0 {
		vs.ahead = resource.Version{}
	}
	return nil
}

// Change numbers a writer's change of the resources and applies it. It returns nil, and makes no version, where the
// change has no effect. An error (a *resource.Refusal) leaves the store unchanged. The caller has checked the meaning
// of the resources.
func (vs *VersionStore) Change(now time.Duration, put []resource.Resource, removed []resource.Key) (*resource.Delta, error) {
	v := vs.set.Version()
	if v.IsZero() {
		return nil, errors.New("no configuration to change yet: no epoch has begun")
	}
	d := vs.set.NewDelta(resource.Version{Epoch: v.Epoch, Number: v.Number + 1}, put, removed)
	if len(d.Put)+len(d.Removed) == 0 {
		return nil, nil
	}
	if err := vs.commit(now, d); err != nil {
		return nil, err
	}
	return d, nil
}

// Apply applies what a follower received: a delta from the current version, or a snapshot. Of a snapshot the difference
// is retained, so that callers at the version before can follow by deltas into a new epoch. Errors are those of
// resource.Set.Check; they leave the store unchanged.
func (vs *VersionStore) Apply(now time.Duration, d *resource.Delta) error {
	if d.IsSnapshot() {
		if err := vs.set.Check(d); err != nil {
			return err
		}
		d = vs.set.Difference(d)
	}
	return vs.commit(now, d)
}

// Watch replies to a call or asks for it to be held. The server queries again for each held call, with its WatchID,
// after each change, and with WaitOver or CallerGone at its end, so that the store knows how many calls are held.
func (vs *VersionStore) Watch(now time.Duration, q Query) Reply {
	vs.forgetSilent(now)
	if q.WatchID != 0 {
		c := vs.findCaller(&q)
		switch {
		case c == nil || c.watchID != q.WatchID: // replaced by a later call of the same process, or forgotten
			return Reply{Status: 200, Delta: vs.emptyDelta(&q)}
		case q.CallerGone:
			vs.callerDisconnected(q.Name, c)
		case q.WaitOver:
			vs.releaseWatch(c)
		}
	}
	if q.WaitOver || q.CallerGone {
		return Reply{Status: 200, Delta: vs.emptyDelta(&q)}
	}
	if err := checkQuery(&q); err != nil {
		return Reply{Status: 400, Err: err}
	}
	c, version := vs.recordCaller(now, &q), vs.set.Version()
	replaced := uint64(0)
	if c.watchID != q.WatchID {
		replaced = c.watchID
	}
	vs.releaseWatch(c)
	r := Reply{Status: 200, ReplacedWatch: replaced}
	switch order := q.Since.Compare(version); {
	case version.IsZero():
		r.Status, r.RetryAfter, r.Err = 503, retryAfter, errors.New("no configuration here yet")
	case order > 0:
		r.Status, r.Err = 409, fmt.Errorf("behind: this control process has %v", version)
		if q.Since.Compare(vs.ahead) > 0 && !q.Since.TooFarAhead(now) {
			vs.ahead = q.Since
		}
	case order == 0 && q.Sum != vs.set.Checksum():
		r.Status, r.Err = 409, fmt.Errorf("different content under version %v here: checksum %016x",
			version, uint64(vs.set.Checksum()))
	case order == 0 || q.Refused == version:
		r.Delta = vs.emptyDelta(&q)
		switch {
		case q.MaxWait <= 0:
		case vs.watchCount >= vs.limits.MaxWatches:
			r = Reply{Status: 503, RetryAfter: retryAfter, ReplacedWatch: replaced,
				Err: fmt.Errorf("%d watches are held, the maximum", vs.watchCount)}
		default:
			vs.watchCount++
			if c.watchID = q.WatchID; c.watchID == 0 {
				vs.lastWatchID++
				c.watchID = vs.lastWatchID
			}
			r.Hold, r.WatchID = true, c.watchID
		}
	default:
		r.Delta = vs.deltaSince(now, &q)
	}
	return r
}

// emptyDelta returns the delta of a reply without changes.
func (vs *VersionStore) emptyDelta(q *Query) *resource.Delta {
	return &resource.Delta{From: q.Since, To: q.Since, Checksum: q.Sum}
}

// deltaSince returns a delta from the caller's older version to the current one, or a snapshot where the history has
// none.
func (vs *VersionStore) deltaSince(now time.Duration, q *Query) *resource.Delta {
	if !q.Since.IsZero() {
		vs.history.Trim(now)
		if d, ok := vs.history.Since(q.Since); ok {
			return d
		}
		if q.Sum == vs.set.Checksum() {
			return &resource.Delta{From: q.Since, To: vs.set.Version(), Checksum: q.Sum}
		}
	}
	if d, ok := vs.history.SinceChecksum(q.Since, q.Sum); ok && !q.Since.IsZero() {
		return d
	}
	vs.snapshotsSent++
	if vs.snapshot == nil {
		vs.snapshot = vs.set.Snapshot()
	}
	return vs.snapshot
}

// checkQuery validates the fields of a query.
func checkQuery(q *Query) error {
	switch {
	case q.Name == "" || len(q.Name) > resource.MaxName:
		return fmt.Errorf("name: want 1 to %d bytes", resource.MaxName)
	case len(q.Process) > maxProcessBytes:
		return fmt.Errorf("process: at most %d bytes", maxProcessBytes)
	case q.Role != "node" && q.Role != "control":
		return fmt.Errorf("role %.40q: want node or control", q.Role)
	case len(q.Why) > resource.MaxReason:
		return fmt.Errorf("why: %d bytes: at most %d", len(q.Why), resource.MaxReason)
	case q.MaxWait < 0:
		return errors.New("timeout_ms: below 0")
	}
	return nil
}
