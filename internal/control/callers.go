package control

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"portstall/internal/resource"
)

// Bounds of a status.
const (
	MaxVersionCounts = 20  // versions
	MaxRefusals      = 100 // nodes that refuse
	MaxLateCallers   = 100 // nodes that are behind
)

const (
	maxProcessesPerName = 3                // of one name: a node has two amid a hand-over, and one more that is about to go
	silentAfter         = 30 * time.Second // without a call: a process has gone then, where another one of its name calls
)

// node is what a Book knows of one that asks: a process, by its name and its own mark. Two processes of one node, amid a hand-over, bear
// one name.
type caller struct {
	process        string
	role           string
	version        resource.Version
	refusedVersion resource.Version
	why            string
	lastCall       time.Duration
	watchID        uint64 // held; 0: none
	disconnected   bool   // it left a call that was held, and made none since
}

// find is the process that made a call; nil: it is not known.
func (b *VersionStore) findCaller(q *Query) *caller {
	for _, n := range b.callers[q.Name] {
		if n.process == q.Process {
			return n
		}
	}
	return nil
}

// know keeps what a call says of who made it.
func (b *VersionStore) recordCaller(now time.Duration, q *Query) *caller {
	n := b.findCaller(q)
	for _, o := range slices.Clone(b.callers[q.Name]) {
		if o != n && o.watchID == 0 && (o.disconnected || now-o.lastCall > silentAfter) {
			b.forget(q.Name, o)
		}
	}
	if n == nil {
		if all := b.callers[q.Name]; len(all) >= maxProcessesPerName {
			b.forget(q.Name, slices.MinFunc(all, forgetOrder))
		} else if b.callerCount >= b.limits.MaxCallers {
			b.forget(b.firstToForget())
		}
		n = &caller{process: q.Process}
		b.callers[q.Name] = append(b.callers[q.Name], n)
		b.callerCount++
	}
	n.role, n.lastCall, n.refusedVersion, n.why, n.disconnected = q.Role, now, q.Refused, q.Why, false
	if n.version = q.Since; n.refusedVersion.IsZero() {
		n.why = ""
	}
	return n
}

func (b *VersionStore) releaseWatch(n *caller) {
	if n.watchID != 0 {
		n.watchID = 0
		b.watchCount--
	}
}

// left notes that a process ended its held call itself. Where another one of its name is there it is forgotten: it has ended.
func (b *VersionStore) callerDisconnected(name string, n *caller) {
	b.releaseWatch(n)
	if n.disconnected = true; len(b.callers[name]) > 1 {
		b.forget(name, n)
	}
}

func (b *VersionStore) forget(name string, n *caller) {
	b.releaseWatch(n)
	b.callerCount--
	if b.callers[name] = slices.DeleteFunc(b.callers[name], func(o *caller) bool { return o == n }); len(b.callers[name]) == 0 {
		delete(b.callers, name)
	}
}

// order is by which they are forgotten: who was not heard of for the longest first, and who has a held call last.
func forgetOrder(n, o *caller) int {
	return cmp.Or(compareBool(n.watchID != 0, o.watchID != 0), cmp.Compare(n.lastCall, o.lastCall))
}

// oldest is the one that is forgotten first.
func (b *VersionStore) firstToForget() (name string, least *caller) {
	for s, all := range b.callers {
		for _, n := range all {
			if least == nil || cmp.Or(forgetOrder(n, least), cmp.Compare(s, name)) < 0 {
				name, least = s, n
			}
		}
	}
	return name, least
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// sweep forgets nodes that were not heard of, now and then.
func (b *VersionStore) forgetSilent(now time.Duration) {
	if now-b.lastSweep < b.limits.ForgetAfter/10 {
		return
	}
	b.lastSweep = now
	for name, all := range b.callers {
		for _, n := range slices.Clone(all) {
			if n.watchID == 0 && now-n.lastCall > b.limits.ForgetAfter {
				b.forget(name, n)
			}
		}
	}
}

// Status is what operators see of a Book.
type Status struct {
	Version         resource.Version
	Sum             resource.Sum
	AppliedAt       time.Duration // Unix time at which the version was taken
	Resources       int
	Deltas          int              // kept
	Watches         int              // held
	SnapshotsSent   int              // told
	Ahead           resource.Version // the latest that a caller has and we don't; zero: none
	Callers         int              // processes that are known, of nodes and of control
	Versions        []VersionCount   // the latest first; at most MostRows
	AtOtherVersions int              // nodes at versions that are not in Versions
	Refusals        []CallerStatus   // by name; at most MostRefusals
	Refusing        int              // nodes that refuse a version
	Late            []CallerStatus   // behind for longer than Limits.Late, by name; at most MostLate
	Behind          int              // nodes behind for longer than that
}

// Row is how many nodes have a version.
type VersionCount struct {
	Version resource.Version
	Callers int
}

// Node is what is known of one process that asked.
type CallerStatus struct {
	Name      string
	Process   string // its own mark; empty: it has none
	Role      string
	Version   resource.Version
	Refused   resource.Version
	Why       string
	HeardAgo  time.Duration // ago
	BehindFor time.Duration // for how long, at least; 0: not
}

// Status tells where everybody stands.
func (b *VersionStore) Status(now time.Duration) Status {
	b.forgetSilent(now)
	s := Status{Version: b.set.Version(), Sum: b.set.Sum(), AppliedAt: b.appliedAt, Resources: b.set.Len(), Deltas: b.history.Len(), Watches: b.watchCount, SnapshotsSent: b.snapshotsSent,
		Ahead: b.ahead, Callers: b.callerCount}
	rows := map[resource.Version]int{}
	for _, name := range slices.Sorted(maps.Keys(b.callers)) {
		for _, n := range b.callers[name] {
			rows[n.version]++
			view := CallerStatus{Name: name, Process: n.process, Role: n.role, Version: n.version, Refused: n.refusedVersion, Why: n.why, HeardAgo: now - n.lastCall,
				BehindFor: b.behindFor(now, n)}
			if !n.refusedVersion.IsZero() {
				if s.Refusing++; len(s.Refusals) < MaxRefusals {
					s.Refusals = append(s.Refusals, view)
				}
			}
			if view.BehindFor > b.limits.BehindAfter {
				if s.Behind++; len(s.Late) < MaxLateCallers {
					s.Late = append(s.Late, view)
				}
			}
		}
	}
	for v, n := range rows {
		s.Versions = append(s.Versions, VersionCount{v, n})
	}
	slices.SortFunc(s.Versions, func(a, b VersionCount) int { return b.Version.Compare(a.Version) })
	if len(s.Versions) > MaxVersionCounts {
		for _, r := range s.Versions[MaxVersionCounts:] {
			s.AtOtherVersions += r.Callers
		}
		s.Versions = s.Versions[:MaxVersionCounts]
	}
	return s
}

// behind tells for how long a node was behind: since the version after its own came, or ours where that is not kept.
func (b *VersionStore) behindFor(now time.Duration, n *caller) time.Duration {
	if n.version.Compare(b.set.Version()) >= 0 {
		return 0
	}
	since := b.appliedAt
	if at, ok := b.history.Left(n.version); ok {
		since = at
	}
	return max(now-since, 1)
}
