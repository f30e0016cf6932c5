package control

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"portstall/internal/resource"
)

// Limits of a Status.
const (
	MaxVersionCounts = 20  // versions that are listed with their number of callers
	MaxRefusals      = 100 // callers listed because they refuse a version
	MaxLateCallers   = 100 // callers listed because they are behind
)

const (
	// maxProcessesPerName is the number of processes remembered under one name: a node has two during a hand-over, and
	// one more may be about to exit.
	maxProcessesPerName = 3
	// silentAfter is how long a process without a held call may be silent until it counts as exited, once another process
	// of its name calls.
	silentAfter = 30 * time.Second
)

// caller is what a VersionStore knows of a process that calls it, identified by its name and Query.Process. During a
// hand-over two processes of one node have the same name.
type caller struct {
	process        string
	role           string
	version        resource.Version // in force at the caller, by its latest call
	refusedVersion resource.Version // zero: none
	why            string           // reason of the refusal
	lastCall       time.Duration    // Unix time of its latest call
	watchID        uint64           // of its held call; 0: none
	disconnected   bool             // it ended its held call and has made none since
}

// findCaller returns the process that made a call, or nil where it is not known.
func (vs *VersionStore) findCaller(q *Query) *caller {
	for _, c := range vs.callers[q.Name] {
		if c.process == q.Process {
			return c
		}
	}
	return nil
}

// recordCaller stores what a call says about the process that made it, and forgets exited processes of its name.
func (vs *VersionStore) recordCaller(now time.Duration, q *Query) *caller {
	c := vs.findCaller(q)
	for _, o := range slices.Clone(vs.callers[q.Name]) {
		if o != c && o.watchID == 0 && (o.disconnected || now-o.lastCall > silentAfter) {
			vs.forget(q.Name, o)
		}
	}
	if c == nil {
		if all := vs.callers[q.Name]; len(all) >= maxProcessesPerName {
			vs.forget(q.Name, slices.MinFunc(all, forgetOrder))
		} else if vs.callerCount >= vs.limits.MaxCallers {
			vs.forget(vs.firstToForget())
		}
		c = &caller{process: q.Process}
		vs.callers[q.Name] = append(vs.callers[q.Name], c)
		vs.callerCount++
	}
	c.role, c.lastCall, c.refusedVersion, c.why, c.disconnected = q.Role, now, q.Refused, q.Why, false
	if c.version = q.Since; c.refusedVersion.IsZero() {
		c.why = ""
	}
	return c
}

// releaseWatch notes that a caller's held call has ended.
func (vs *VersionStore) releaseWatch(c *caller) {
	if c.watchID != 0 {
		c.watchID = 0
		vs.watchCount--
	}
}

// callerDisconnected notes that a process ended its held call itself. Where another process of its name is known, the
// process is assumed to have exited and is forgotten.
func (vs *VersionStore) callerDisconnected(name string, c *caller) {
	vs.releaseWatch(c)
	if c.disconnected = true; len(vs.callers[name]) > 1 {
		vs.forget(name, c)
	}
}

// forget removes one process.
func (vs *VersionStore) forget(name string, c *caller) {
	vs.releaseWatch(c)
	vs.callerCount--
	if vs.callers[name] = slices.DeleteFunc(vs.callers[name], func(o *caller) bool { return o == c }); len(vs.callers[name]) == 0 {
		delete(vs.callers, name)
	}
}

// forgetOrder compares callers in the order in which they are forgotten: the longest silent first, those with a held
// call last.
func forgetOrder(c, o *caller) int {
	return cmp.Or(compareBool(c.watchID != 0, o.watchID != 0), cmp.Compare(c.lastCall, o.lastCall))
}

// firstToForget returns the caller that comes first by forgetOrder, and its name.
func (vs *VersionStore) firstToForget() (name string, first *caller) {
	for s, all := range vs.callers {
		for _, c := range all {
			if first == nil || cmp.Or(forgetOrder(c, first), cmp.Compare(s, name)) < 0 {
				name, first = s, c
			}
		}
	}
	return name, first
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// forgetSilent removes callers that have been silent for longer than Limits.ForgetAfter. It runs at most once in a
// tenth of that time.
func (vs *VersionStore) forgetSilent(now time.Duration) {
	if now-vs.lastSweep < vs.limits.ForgetAfter/10 {
		return
	}
	vs.lastSweep = now
	for name, all := range vs.callers {
		for _, c := range slices.Clone(all) {
			if c.watchID == 0 && now-c.lastCall > vs.limits.ForgetAfter {
				vs.forget(name, c)
			}
		}
	}
}

// Status is a summary of a VersionStore for operators.
type Status struct {
	Version         resource.Version
	Sum             resource.Checksum
	AppliedAt       time.Duration    // Unix time at which the version was applied
	Resources       int              // resources in force
	Deltas          int              // deltas that are retained
	Watches         int              // calls that are held
	SnapshotsSent   int              // replies with a snapshot since the start
	Ahead           resource.Version // latest version that a caller has and this store lacks; zero: none
	Callers         int              // known processes, of nodes and of control
	Versions        []VersionCount   // latest version first; at most MaxVersionCounts
	AtOtherVersions int              // callers at versions that are not in Versions
	Refusals        []CallerStatus   // sorted by name; at most MaxRefusals
	Refusing        int              // callers that refuse a version
	Late            []CallerStatus   // behind for longer than Limits.BehindAfter, sorted by name; at most MaxLateCallers
	Behind          int              // callers behind for longer than Limits.BehindAfter
}

// VersionCount is the number of callers that have a version in force.
type VersionCount struct {
	Version resource.Version
	Callers int
}

// CallerStatus is what is known of one process that called.
type CallerStatus struct {
	Name      string
	Process   string // distinguishes processes of one name; may be empty
	Role      string
	Version   resource.Version // in force at the caller
	Refused   resource.Version // zero: none
	Why       string           // reason of the refusal
	HeardAgo  time.Duration    // since its latest call
	BehindFor time.Duration    // time for which it has been behind, at least; 0: it is not behind
}

// Status summarizes the store and its callers.
func (vs *VersionStore) Status(now time.Duration) Status {
	vs.forgetSilent(now)
	s := Status{Version: vs.set.Version(), Sum: vs.set.Checksum(), AppliedAt: vs.appliedAt,
		Resources: vs.set.Len(), Deltas: vs.history.Len(), Watches: vs.watchCount, SnapshotsSent: vs.snapshotsSent,
		Ahead: vs.ahead, Callers: vs.callerCount}
	counts := map[resource.Version]int{}
	for _, name := range slices.Sorted(maps.Keys(vs.callers)) {
		for _, c := range vs.callers[name] {
			counts[c.version]++
			status := CallerStatus{Name: name, Process: c.process, Role: c.role, Version: c.version, Refused: c.refusedVersion,
				Why: c.why, HeardAgo: now - c.lastCall, BehindFor: vs.behindFor(now, c)}
			if !c.refusedVersion.IsZero() {
				if s.Refusing++; len(s.Refusals) < MaxRefusals {
					s.Refusals = append(s.Refusals, status)
				}
			}
			if status.BehindFor > vs.limits.BehindAfter {
				if s.Behind++; len(s.Late) < MaxLateCallers {
					s.Late = append(s.Late, status)
				}
			}
		}
	}
	for version, count := range counts {
		s.Versions = append(s.Versions, VersionCount{version, count})
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

// behindFor returns how long a caller has been behind: since the version after its own was added, or since the current
// version was applied where the history no longer has that one.
func (vs *VersionStore) behindFor(now time.Duration, c *caller) time.Duration {
	if c.version.Compare(vs.set.Version()) >= 0 {
		return 0
	}
	since := vs.appliedAt
	if at, ok := vs.history.BehindSince(c.version); ok {
		since = at
	}
	return max(now-since, 1)
}
