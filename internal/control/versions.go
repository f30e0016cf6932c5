// Package control is what a control process does: it numbers changes of the configuration, keeps the deltas of a bounded time, and
// serves watches to nodes and to the control processes that follow. Book decides; it is pure: no I/O, no clock.
package control

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"time"

	"portstall/internal/resource"
)

// Limits bound a Book. One that is not above zero is that of DefaultLimits.
type Limits struct {
	History     resource.HistoryLimits
	Watches     int           // held at once
	MaxCallers  int           // processes that are known; past it the one unheard of for the longest goes
	ForgetAfter time.Duration // a node unheard of for so long goes
	BehindAfter time.Duration // a node that is behind for longer is named
}

// DefaultLimits bear 450 nodes with room for four times as many.
var DefaultLimits = Limits{resource.DefaultHistory, 2000, 10_000, 10 * time.Minute, 18 * time.Second}

// mostMark is how long a process's mark may be, in bytes.
const maxProcessMark = 64

// retryAfter is told with a 503.
const retryAfter = 2 * time.Second

// Query is one call for a watch, or what became of it.
type Query struct {
	Since      resource.Version // in force at who asks; zero: none
	Sum        resource.Sum
	Name       string
	Process    string           // a mark of who asks, by which processes of one name are told apart; may be empty
	Role       string           // node or control
	Refused    resource.Version // not taken; zero: none
	Why        string
	MaxWait    time.Duration // for something new; 0: answer at once
	WatchID    uint64        // of a call that is held: Reply.Watch
	WaitOver   bool          // the held call ended: its wait is over
	CallerGone bool          // or who asked ended it
}

// Reply is the answer to a Query.
type Reply struct {
	Status        int             // of HTTP: 200, 400, 409 or 503
	Delta         *resource.Delta // with 200. It is shared: must not be changed
	Hold          bool            // hold the call; ask again with Watch after each change; tell Delta (an empty one) when its wait ends
	WatchID       uint64          // of a call to be held
	ReplacedWatch uint64          // a held call of this name and process that is to end now, with what its Delta said; 0: none
	RetryAfter    time.Duration   // with 503
	Err           error           // with all but 200
}

// Book is a control process's state: the resources at a version, the deltas behind it, and who asked. It is not safe for concurrent use.
type VersionStore struct {
	limits        Limits
	set           *resource.Set
	history       *resource.History
	appliedAt     time.Duration        // of the version
	snapshot      *resource.Delta      // the snapshot, once asked for
	callers       map[string][]*caller // by name, at most mostProcesses each
	callerCount   int                  // of them, all together
	watchCount    int
	lastWatchID   uint64 // watch
	snapshotsSent int    // told
	ahead         resource.Version
	lastSweep     time.Duration
}

// NewBook makes one without a configuration: Begin or Take gives it the first.
func NewVersionStore(l Limits) *VersionStore {
	l.Watches = cmp.Or(max(l.Watches, 0), DefaultLimits.Watches)
	l.MaxCallers = cmp.Or(max(l.MaxCallers, 0), DefaultLimits.MaxCallers)
	l.ForgetAfter = cmp.Or(max(l.ForgetAfter, 0), DefaultLimits.ForgetAfter)
	l.BehindAfter = cmp.Or(max(l.BehindAfter, 0), DefaultLimits.BehindAfter)
	return &VersionStore{limits: l, set: resource.NewSet(true), history: resource.NewHistory(l.History), callers: map[string][]*caller{}}
}

// Ahead is the latest version that a caller has and we don't: a writer that sees one begins again, past it. Zero: none.
func (b *VersionStore) Ahead() resource.Version { return b.ahead }

// Set is what is held. It is the Book's: only Begin, Change and Take change it.
func (b *VersionStore) Set() *resource.Set { return b.set }

// Begin makes a writer's first version, of all resources, in an epoch of its own: Unix time in milliseconds, or one past the highest that is
// known, whichever is greater. known are the snapshots of the other control processes, as far as they answered; the latest is the base, and
// the delta from it is the first that is kept, empty where nothing differs. It may be called again, to begin an epoch past one that nodes were
// seen to have (Status.Ahead). The delta that it returns leads from the base to the new version.
func (b *VersionStore) BeginEpoch(now time.Duration, known []*resource.Delta, all []resource.Resource) (*resource.Delta, error) {
	base, high := (*resource.Delta)(nil), max(b.set.Version().Epoch, b.ahead.Epoch)
	for _, d := range known {
		switch {
		case d == nil || d.To.IsZero():
			continue
		case !d.Whole():
			return nil, fmt.Errorf("known %v: no snapshot", d.To)
		case d.To.Epoch == math.MaxUint64 || (resource.Version{Epoch: d.To.Epoch + 1}).TooFarAhead(now):
			return nil, fmt.Errorf("known %v: its epoch is over a day ahead of this clock, %d: no node takes one past it", d.To, now.Milliseconds())
		}
		if d.To.Compare(b.set.Version()) > 0 && (base == nil || d.To.Compare(base.To) > 0) {
			base = d
		}
		high = max(high, d.To.Epoch)
	}
	seen := make(map[resource.Key]bool, len(all))
	for i := range all {
		if k := all[i].Key; seen[k] {
			return nil, &resource.Refusal{Key: k, Why: "named twice"}
		}
		seen[all[i].Key] = true
	}
	to := resource.Version{Epoch: max(uint64(max(now.Milliseconds(), 1)), high+1)}
	if to.TooFarAhead(now) {
		return nil, fmt.Errorf("epoch %d is over a day ahead of this clock, %d: no node takes it", to.Epoch, now.Milliseconds())
	}
	// On a copy first: what is wrong with the new content must not leave us with half of it.
	trial := b.set
	if base != nil {
		trial = resource.NewSet(true)
		if err := trial.Apply(base); err != nil {
			return nil, fmt.Errorf("known %v: %w", base.To, err)
		}
	}
	put, gone := trial.Compare(all)
	d := trial.Next(to, put, gone)
	if err := trial.Check(d); err != nil {
		return nil, err
	}
	if base != nil && !b.set.Version().IsZero() {
		if err := b.Apply(now, base); err != nil {
			return nil, err
		}
	} else if base != nil {
		b.set = trial
	}
	return d, b.commit(now, d)
}

// put takes in a delta that was made for the set.
func (b *VersionStore) commit(now time.Duration, d *resource.Delta) error {
	if err := b.set.Check(d); err != nil {
		return err
	}
	b.history.Add(now, d)
	if err := b.set.Apply(d); err != nil {
		return err
	}
	b.appliedAt, b.snapshot = now, nil
	if b.ahead.Compare(d.To) <= 0 {
		b.ahead = resource.Version{}
	}
	return nil
}

// Change numbers a writer's change of the resources and takes it in. It returns nil where nothing would change: there is no version then. What
// is wrong with it (a *resource.Refusal) leaves everything as it is; what resources mean was checked before.
func (b *VersionStore) Change(now time.Duration, put []resource.Resource, gone []resource.Key) (*resource.Delta, error) {
	v := b.set.Version()
	if v.IsZero() {
		return nil, errors.New("no configuration yet to change: begin")
	}
	d := b.set.Next(resource.Version{Epoch: v.Epoch, Number: v.Number + 1}, put, gone)
	if len(d.Put)+len(d.Gone) == 0 {
		return nil, nil
	}
	if err := b.commit(now, d); err != nil {
		return nil, err
	}
	return d, nil
}

// Take takes in what a follower was told: a delta from its version, or a snapshot, of which the difference is kept, so that who has the
// version before takes deltas also through a new epoch. Errors are those of resource.Set.Check; they leave everything as it is.
func (b *VersionStore) Apply(now time.Duration, d *resource.Delta) error {
	if d.Whole() {
		if err := b.set.Check(d); err != nil {
			return err
		}
		d = b.set.Difference(d)
	}
	return b.commit(now, d)
}

// Watch answers a call, at once or by holding it. After each change and at the end of its wait the caller asks again for each held call, with
// its Watch, or says Left; so the Book knows how many are held.
func (b *VersionStore) Watch(now time.Duration, q Query) Reply {
	b.forgetSilent(now)
	if q.WatchID != 0 {
		n := b.findCaller(&q)
		switch {
		case n == nil || n.watchID != q.WatchID: // replaced by a later call of this process, or forgotten
			return Reply{Status: 200, Delta: b.emptyDelta(&q)}
		case q.CallerGone:
			b.callerDisconnected(q.Name, n)
		case q.WaitOver:
			b.releaseWatch(n)
		}
	}
	if q.WaitOver || q.CallerGone {
		return Reply{Status: 200, Delta: b.emptyDelta(&q)}
	}
	if err := checkQuery(&q); err != nil {
		return Reply{Status: 400, Err: err}
	}
	n, version := b.recordCaller(now, &q), b.set.Version()
	replaced := uint64(0)
	if n.watchID != q.WatchID {
		replaced = n.watchID
	}
	b.releaseWatch(n)
	r := Reply{Status: 200, ReplacedWatch: replaced}
	switch order := q.Since.Compare(version); {
	case version.IsZero():
		r.Status, r.RetryAfter, r.Err = 503, retryAfter, errors.New("no configuration here yet")
	case order > 0:
		r.Status, r.Err = 409, fmt.Errorf("behind: %v here", version)
		if q.Since.Compare(b.ahead) > 0 && !q.Since.TooFarAhead(now) {
			b.ahead = q.Since
		}
	case order == 0 && q.Sum != b.set.Sum():
		r.Status, r.Err = 409, fmt.Errorf("another content under %v here: sum %016x", version, uint64(b.set.Sum()))
	case order == 0 || q.Refused == version:
		r.Delta = b.emptyDelta(&q)
		switch {
		case q.MaxWait <= 0:
		case b.watchCount >= b.limits.Watches:
			r = Reply{Status: 503, RetryAfter: retryAfter, ReplacedWatch: replaced,
				Err: fmt.Errorf("%d watches are held: no more", b.watchCount)}
		default:
			b.watchCount++
			if n.watchID = q.WatchID; n.watchID == 0 {
				b.lastWatchID++
				n.watchID = b.lastWatchID
			}
			r.Hold, r.WatchID = true, n.watchID
		}
	default:
		r.Delta = b.deltaSince(now, &q)
	}
	return r
}

// empty says that nothing is newer.
func (b *VersionStore) emptyDelta(q *Query) *resource.Delta {
	return &resource.Delta{From: q.Since, To: q.Since, Sum: q.Sum}
}

// newer is what leads from an older version to ours.
func (b *VersionStore) deltaSince(now time.Duration, q *Query) *resource.Delta {
	if !q.Since.IsZero() {
		b.history.Trim(now)
		if d, ok := b.history.Since(q.Since); ok {
			return d
		}
		if q.Sum == b.set.Sum() {
			return &resource.Delta{From: q.Since, To: b.set.Version(), Sum: q.Sum}
		}
	}
	if d, ok := b.history.SinceSum(q.Since, q.Sum); ok && !q.Since.IsZero() {
		return d
	}
	b.snapshotsSent++
	if b.snapshot == nil {
		b.snapshot = b.set.Snapshot()
	}
	return b.snapshot
}

func checkQuery(q *Query) error {
	switch {
	case q.Name == "" || len(q.Name) > resource.MaxName:
		return fmt.Errorf("name: want 1 to %d bytes", resource.MaxName)
	case len(q.Process) > maxProcessMark:
		return fmt.Errorf("process: at most %d bytes", maxProcessMark)
	case q.Role != "node" && q.Role != "control":
		return fmt.Errorf("role %.40q: want node or control", q.Role)
	case len(q.Why) > resource.MaxWhy:
		return fmt.Errorf("why: %d bytes: at most %d", len(q.Why), resource.MaxWhy)
	case q.MaxWait < 0:
		return errors.New("timeout_ms: below 0")
	}
	return nil
}
