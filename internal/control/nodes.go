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
	MostRows     = 20  // versions
	MostRefusals = 100 // nodes that refuse
	MostLate     = 100 // nodes that are behind
)

const (
	mostProcesses = 3                // of one name: a node has two amid a hand-over, and one more that is about to go
	silentFor     = 30 * time.Second // without a call: a process has gone then, where another one of its name calls
)

// node is what a Book knows of one that asks: a process, by its name and its own mark. Two processes of one node, amid a hand-over, bear
// one name.
type node struct {
	process string
	role    string
	version resource.Version
	refused resource.Version
	why     string
	heard   time.Duration
	watch   uint64 // held; 0: none
	gone    bool   // it left a call that was held, and made none since
}

// find is the process that made a call; nil: it is not known.
func (b *Book) find(q *Query) *node {
	for _, n := range b.nodes[q.Name] {
		if n.process == q.Process {
			return n
		}
	}
	return nil
}

// know keeps what a call says of who made it.
func (b *Book) know(now time.Duration, q *Query) *node {
	n := b.find(q)
	for _, o := range slices.Clone(b.nodes[q.Name]) {
		if o != n && o.watch == 0 && (o.gone || now-o.heard > silentFor) {
			b.drop(q.Name, o)
		}
	}
	if n == nil {
		if all := b.nodes[q.Name]; len(all) >= mostProcesses {
			b.drop(q.Name, slices.MinFunc(all, order))
		} else if b.known >= b.most.Nodes {
			b.drop(b.oldest())
		}
		n = &node{process: q.Process}
		b.nodes[q.Name] = append(b.nodes[q.Name], n)
		b.known++
	}
	n.role, n.heard, n.refused, n.why, n.gone = q.Role, now, q.Refused, q.Why, false
	if n.version = q.Since; n.refused.IsZero() {
		n.why = ""
	}
	return n
}

func (b *Book) release(n *node) {
	if n.watch != 0 {
		n.watch = 0
		b.watches--
	}
}

// left notes that a process ended its held call itself. Where another one of its name is there it is forgotten: it has ended.
func (b *Book) left(name string, n *node) {
	b.release(n)
	if n.gone = true; len(b.nodes[name]) > 1 {
		b.drop(name, n)
	}
}

func (b *Book) drop(name string, n *node) {
	b.release(n)
	b.known--
	if b.nodes[name] = slices.DeleteFunc(b.nodes[name], func(o *node) bool { return o == n }); len(b.nodes[name]) == 0 {
		delete(b.nodes, name)
	}
}

// order is by which they are forgotten: who was not heard of for the longest first, and who has a held call last.
func order(n, o *node) int {
	return cmp.Or(compareBool(n.watch != 0, o.watch != 0), cmp.Compare(n.heard, o.heard))
}

// oldest is the one that is forgotten first.
func (b *Book) oldest() (name string, least *node) {
	for s, all := range b.nodes {
		for _, n := range all {
			if least == nil || cmp.Or(order(n, least), cmp.Compare(s, name)) < 0 {
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
func (b *Book) sweep(now time.Duration) {
	if now-b.swept < b.most.Forget/10 {
		return
	}
	b.swept = now
	for name, all := range b.nodes {
		for _, n := range slices.Clone(all) {
			if n.watch == 0 && now-n.heard > b.most.Forget {
				b.drop(name, n)
			}
		}
	}
}

// Status is what operators see of a Book.
type Status struct {
	Version   resource.Version
	Sum       resource.Sum
	Since     time.Duration // Unix time at which the version was taken
	Resources int
	Deltas    int              // kept
	Watches   int              // held
	Snapshots int              // told
	Ahead     resource.Version // the latest that a caller has and we don't; zero: none
	Nodes     int              // processes that are known, of nodes and of control
	Versions  []Row            // the latest first; at most MostRows
	Others    int              // nodes at versions that are not in Versions
	Refusals  []Node           // by name; at most MostRefusals
	Refused   int              // nodes that refuse a version
	Late      []Node           // behind for longer than Limits.Late, by name; at most MostLate
	Behind    int              // nodes behind for longer than that
}

// Row is how many nodes have a version.
type Row struct {
	Version resource.Version
	Nodes   int
}

// Node is what is known of one process that asked.
type Node struct {
	Name    string
	Process string // its own mark; empty: it has none
	Role    string
	Version resource.Version
	Refused resource.Version
	Why     string
	Heard   time.Duration // ago
	Behind  time.Duration // for how long, at least; 0: not
}

// Status tells where everybody stands.
func (b *Book) Status(now time.Duration) Status {
	b.sweep(now)
	s := Status{Version: b.set.Version(), Sum: b.set.Sum(), Since: b.at, Resources: b.set.Len(), Deltas: b.history.Len(), Watches: b.watches, Snapshots: b.snapshots,
		Ahead: b.ahead, Nodes: b.known}
	rows := map[resource.Version]int{}
	for _, name := range slices.Sorted(maps.Keys(b.nodes)) {
		for _, n := range b.nodes[name] {
			rows[n.version]++
			view := Node{Name: name, Process: n.process, Role: n.role, Version: n.version, Refused: n.refused, Why: n.why, Heard: now - n.heard,
				Behind: b.behind(now, n)}
			if !n.refused.IsZero() {
				if s.Refused++; len(s.Refusals) < MostRefusals {
					s.Refusals = append(s.Refusals, view)
				}
			}
			if view.Behind > b.most.Late {
				if s.Behind++; len(s.Late) < MostLate {
					s.Late = append(s.Late, view)
				}
			}
		}
	}
	for v, n := range rows {
		s.Versions = append(s.Versions, Row{v, n})
	}
	slices.SortFunc(s.Versions, func(a, b Row) int { return b.Version.Compare(a.Version) })
	if len(s.Versions) > MostRows {
		for _, r := range s.Versions[MostRows:] {
			s.Others += r.Nodes
		}
		s.Versions = s.Versions[:MostRows]
	}
	return s
}

// behind tells for how long a node was behind: since the version after its own came, or ours where that is not kept.
func (b *Book) behind(now time.Duration, n *node) time.Duration {
	if n.version.Compare(b.set.Version()) >= 0 {
		return 0
	}
	since := b.at
	if at, ok := b.history.Left(n.version); ok {
		since = at
	}
	return max(now-since, 1)
}
