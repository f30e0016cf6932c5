package control

import (
	"cmp"
	"container/heap"
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"portstall/internal/resource"
)

// world is three Books, a writer and two that follow it, and nodes that follow them, in virtual time: all of the deciding code is the
// real one, the network and the clock are made up, and everything is drawn from one seed. An oracle sees each version and its sum.
type simulation struct {
	t       *testing.T
	now     time.Duration
	events  events
	lastSeq int
	random  *rand.Rand

	processes       [3]*simControl // one a region; the first is the writer's
	nodes           []*simFollower
	files           map[resource.Key]resource.Resource // what the operators want; the writer reads it when it starts
	partitioned     [3][3]bool                         // between regions
	lossRate        float64                            // the part of all answers that are lost without a word
	writerClockSkew time.Duration                      // of the writer's clock when it begins an epoch
	newEpochPending bool                               // the writer is to begin past a version that it heard of

	checksums      map[resource.Version]resource.Sum
	versions       []numberedVersion
	reachableSince [3]time.Duration // by region: since when there is a way from the writer to its nodes; below 0: none
	applyDelays    []time.Duration  // for each node and version: from the change, the heal or the node's start until it was in force
	lostResponses  int
	snapshotsSent  int // snapshots told
}

type numberedVersion struct {
	version resource.Version
	madeAt  time.Duration
}

type event struct {
	at  time.Duration
	seq int
	do  func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(e[i].at, e[j].at), cmp.Compare(e[i].seq, e[j].seq)) < 0
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// proc is a control process.
type simControl struct {
	region             int
	incarnation        int // up: odd
	store              *VersionStore
	held               map[uint64]*heldCall
	follower           *simFollower    // not the writer's
	callTimes          []time.Duration // all calls
	immediateCallTimes []time.Duration // those that were to be answered at once
	responseCounts     map[int]int     // answers by status
}

func (p *simControl) up() bool { return p.incarnation%2 == 1 }

type heldCall struct {
	caller *simFollower
	call   int
	query  Query
}

// caller is who follows: a node, or a control process.
type simFollower struct {
	name          string
	process       string // its mark
	role          string
	region        int
	sources       []int // procs
	decider       *resource.Follower
	set           *resource.Set
	incarnation   *int                          // of its control process; nil: a node
	apply         func(d *resource.Delta) error // puts it in force
	reject        func(d *resource.Delta) error // a node's own mind
	currentCall   int                           // a later number makes an answer too late
	startedAt     time.Duration
	versionsSeen  int // of made: those before are in force, or later ones
	version       resource.Version
	decodeTime    time.Duration // it takes to decode the whole
	decodeTimeout time.Duration // after which it gives that up, as if the answer had not come; 0: never
}

func newWorld(t *testing.T, seed uint64, nodes int, all []resource.Resource) *simulation {
	w := &simulation{t: t, now: startTime, random: rand.New(rand.NewPCG(seed, 31)), files: map[resource.Key]resource.Resource{},
		checksums: map[resource.Version]resource.Sum{}}
	for _, r := range all {
		w.files[r.Key] = r
	}
	for i := range w.processes {
		w.processes[i] = &simControl{region: i, responseCounts: map[int]int{}}
	}
	for i := range w.processes {
		w.startControl(i)
	}
	for i := range nodes {
		c := &simFollower{name: fmt.Sprintf("n%d", i), role: "node", region: i % 3, sources: []int{i % 3, (i + 1) % 3, (i + 2) % 3}}
		w.nodes = append(w.nodes, c)
		w.startNode(c)
	}
	return w
}

// reborn starts a node, or starts it again with nothing.
func (w *simulation) startNode(c *simFollower) {
	c.currentCall++
	c.set = resource.NewSet(false)
	c.decider = resource.NewFollower(c.set, len(c.sources))
	c.startedAt, c.version, c.versionsSeen = w.now, resource.Version{}, len(w.versions)
	c.apply = func(d *resource.Delta) error { return c.set.Apply(c.set.Difference(d)) }
	// Nodes don't start at one instant.
	w.after(time.Duration(w.random.Int64N(int64(2*time.Second))), c.nextCallIfCurrent(w, c.currentCall))
}

func (c *simFollower) nextCallIfCurrent(w *simulation, call int) func() {
	return func() {
		if c.currentCall == call {
			w.nextCall(c)
		}
	}
}

func (w *simulation) after(d time.Duration, do func()) {
	w.lastSeq++
	heap.Push(&w.events, event{w.now + d, w.lastSeq, do})
}

// run lets time go on.
func (w *simulation) run(d time.Duration) {
	end := w.now + d
	for len(w.events) > 0 && w.events[0].at <= end {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.do()
	}
	w.now = end
}

// delay is one way between regions.
func (w *simulation) delay(a, b int) time.Duration {
	if a == b {
		return 100*time.Microsecond + time.Duration(w.random.Int64N(int64(time.Millisecond)))
	}
	return 10*time.Millisecond + time.Duration(w.random.Int64N(int64(50*time.Millisecond)))
}

// next makes a caller's next call.
func (w *simulation) nextCall(c *simFollower) {
	c.currentCall++
	call := c.currentCall
	ask := c.decider.Next(w.now, w.random.Float64())
	w.after(ask.Rest, func() {
		if c.currentCall != call || c.incarnation != nil && *c.incarnation%2 == 0 {
			return
		}
		w.after(ask.Limit, func() { w.callFailed(c, call, resource.Failure{Kind: resource.Silent}) })
		p := w.processes[c.sources[ask.Source]]
		q := Query{Since: ask.Since, Sum: ask.Sum, Name: c.name, Process: c.process, Role: c.role, Refused: ask.Refused, Why: ask.Why, MaxWait: ask.Wait}
		w.after(w.delay(c.region, p.region), func() {
			switch {
			case w.partitioned[c.region][p.region]:
			case !p.up():
				w.after(w.delay(c.region, p.region), func() { w.callFailed(c, call, resource.Failure{Kind: resource.Unreachable}) })
			default:
				p.callTimes = append(p.callTimes, w.now)
				if ask.Wait == 0 {
					p.immediateCallTimes = append(p.immediateCallTimes, w.now)
				}
				w.serve(p, &heldCall{c, call, q})
			}
		})
	})
}

func (w *simulation) callFailed(c *simFollower, call int, how resource.Failure) {
	if c.currentCall == call {
		c.decider.Failed(w.now, how, w.random.Float64())
		w.nextCall(c)
	}
}

// serve is what a control process does with a call, at its arrival and after each change.
func (w *simulation) serve(p *simControl, h *heldCall) {
	id, life := h.query.WatchID, p.incarnation
	r := p.store.Watch(w.now, h.query)
	if p == w.processes[0] && !w.newEpochPending && !p.store.Ahead().IsZero() {
		w.newEpochPending = true
		w.after(minEpochInterval, func() {
			if w.newEpochPending = false; p.incarnation == life {
				w.beginEpoch()
			}
		})
	}
	delete(p.held, r.ReplacedWatch)
	if !r.Hold {
		delete(p.held, id)
		w.sendResponse(p, h, r)
		return
	}
	if id != 0 {
		return
	}
	h.query.WatchID = r.WatchID
	p.held[r.WatchID] = h
	w.after(h.query.MaxWait, func() {
		if p.incarnation == life && p.held[r.WatchID] == h {
			delete(p.held, r.WatchID)
			q := h.query
			q.WaitOver = true
			p.store.Watch(w.now, q)
			w.sendResponse(p, h, r)
		}
	})
}

func (w *simulation) wakeHeldCalls(p *simControl) {
	for _, id := range slices.Sorted(maps.Keys(p.held)) {
		if h := p.held[id]; h != nil {
			w.serve(p, h)
		}
	}
}

// answer brings an answer on its way. It may be lost without a word; a process that is killed meanwhile loses half of them with the connection.
func (w *simulation) sendResponse(p *simControl, h *heldCall, r Reply) {
	p.responseCounts[r.Status]++
	if w.random.Float64() < w.lossRate {
		w.lostResponses++
		return
	}
	life := p.incarnation
	w.after(w.delay(p.region, h.caller.region), func() {
		switch {
		case h.caller.currentCall != h.call || w.partitioned[p.region][h.caller.region]:
		case p.incarnation != life && w.random.IntN(2) == 0:
			w.callFailed(h.caller, h.call, resource.Failure{Kind: resource.Unreachable})
		default:
			w.receiveResponse(h.caller, h.call, r)
		}
	})
}

func (w *simulation) receiveResponse(c *simFollower, call int, r Reply) {
	kind := map[int]resource.FailureKind{409: resource.Behind, 503: resource.Busy}
	if k, ok := kind[r.Status]; ok {
		w.callFailed(c, call, resource.Failure{Kind: k, RetryAfter: r.RetryAfter, Err: r.Err})
		return
	}
	if r.Status != 200 {
		w.t.Fatalf("%s was told %d: %v", c.name, r.Status, r.Err)
	}
	if r.Delta.Whole() {
		w.snapshotsSent++
		if c.decodeTime > 0 {
			w.decodeSnapshot(c, r)
			return
		}
	}
	w.applyResponse(c, r)
}

// decode lets a node take its time over the whole, which has arrived: no limit of the call counts any more.
func (w *simulation) decodeSnapshot(c *simFollower, r Reply) {
	c.currentCall++
	call := c.currentCall
	if c.decodeTimeout > 0 && c.decodeTimeout < c.decodeTime {
		w.after(c.decodeTimeout, func() { w.callFailed(c, call, resource.Failure{Kind: resource.Unreachable}) })
		return
	}
	w.after(c.decodeTime, func() {
		if c.currentCall == call {
			w.applyResponse(c, r)
		}
	})
}

// take puts in force what an answer brought, and goes on.
func (w *simulation) applyResponse(c *simFollower, r Reply) {
	take, err := c.decider.Told(w.now, r.Delta)
	if take {
		if c.reject != nil {
			err = c.reject(r.Delta)
		}
		if err == nil {
			err = c.apply(r.Delta)
		}
		c.decider.Took(w.now, err)
		if err == nil {
			w.checkApplied(c)
		}
	}
	w.nextCall(c)
}

// inForce is the oracle's look at a set that changed.
func (w *simulation) checkApplied(c *simFollower) {
	v := c.set.Version()
	if v.Compare(c.version) <= 0 {
		w.t.Fatalf("%s went from %v to %v", c.name, c.version, v)
	}
	c.version = v
	if sum, ok := w.checksums[v]; !ok || sum != c.set.Sum() {
		w.t.Fatalf("%s has %v with the sum %x: the writer had %x", c.name, v, c.set.Sum(), sum)
	}
	if c.role != "node" {
		return
	}
	for ; c.versionsSeen < len(w.versions) && w.versions[c.versionsSeen].version.Compare(v) <= 0; c.versionsSeen++ {
		if since := w.reachableSince[c.region]; since >= 0 {
			w.applyDelays = append(w.applyDelays, w.now-max(w.versions[c.versionsSeen].madeAt, since, c.startedAt))
		}
	}
}

// make is the oracle's look at the writer.
func (w *simulation) recordVersion(d *resource.Delta) {
	if _, ok := w.checksums[d.To]; ok {
		w.t.Fatalf("%v was made twice", d.To)
	}
	w.checksums[d.To] = d.Sum
	w.versions = append(w.versions, numberedVersion{d.To, w.now})
	for _, c := range w.nodes {
		if len(w.versions) == 1 {
			c.versionsSeen = 0
		}
	}
	w.wakeHeldCalls(w.processes[0])
}

// change is an operator's: of the files always, and by the writer where it is up.
func (w *simulation) change(put []resource.Resource, gone ...resource.Key) {
	for _, r := range put {
		w.files[r.Key] = r
	}
	for _, k := range gone {
		delete(w.files, k)
	}
	if p := w.processes[0]; p.up() {
		d, err := p.store.Change(w.now, put, gone)
		if err != nil {
			w.t.Fatal(err)
		}
		if d != nil {
			w.recordVersion(d)
		}
	}
}

// changes lets the operators change one or two resources, so many times a day on average.
func (w *simulation) scheduleChanges(aDay int, until time.Duration) {
	mean := float64(24*time.Hour) / float64(aDay)
	w.after(time.Duration(w.random.ExpFloat64()*mean), func() {
		if w.now >= until {
			return
		}
		name := fmt.Sprintf("c%04d", w.random.IntN(300))
		switch w.random.IntN(4) {
		case 0:
			w.change(nil, resource.Key{Kind: resource.Contract, Name: name})
		case 1:
			w.change([]resource.Resource{contract(name, w.random.IntN(100)), contract(name+"+", w.random.IntN(100))})
		default:
			w.change([]resource.Resource{contract(name, w.random.IntN(100))})
		}
		w.scheduleChanges(aDay, until)
	})
}

// begin begins an epoch at the writer, of the files and what the others have that it can reach.
func (w *simulation) beginEpoch() {
	var known []*resource.Delta
	for _, o := range w.processes[1:] {
		if o.up() && o.store != nil && !w.partitioned[0][o.region] && !o.store.Set().Version().IsZero() {
			known = append(known, o.store.Set().Snapshot())
		}
	}
	all := slices.SortedFunc(maps.Values(w.files), func(a, b resource.Resource) int { return cmp.Compare(a.Name, b.Name) })
	d, err := w.processes[0].store.BeginEpoch(w.now+w.writerClockSkew, known, all)
	if err != nil {
		w.t.Fatal(err)
	}
	w.recordVersion(d)
}

// raise starts a control process with nothing but, at the writer's, the files and what the others have that it can reach.
func (w *simulation) startControl(i int) {
	p := w.processes[i]
	p.incarnation++
	p.store, p.held = NewVersionStore(Limits{}), map[uint64]*heldCall{}
	if i == 0 {
		w.beginEpoch()
	} else {
		c := &simFollower{name: fmt.Sprintf("control-%d", i), role: "control", region: p.region, sources: []int{0, 3 - i}, incarnation: new(int), set: p.store.Set(), startedAt: w.now}
		*c.incarnation = 1
		c.decider = resource.NewFollower(c.set, 2)
		c.decider.SetPace(resource.ControlPace)
		c.apply = func(d *resource.Delta) error {
			if err := p.store.Apply(w.now, d); err != nil {
				return err
			}
			w.wakeHeldCalls(p)
			return nil
		}
		p.follower = c
		w.after(0, c.nextCallIfCurrent(w, 0))
	}
	w.updateReachability()
}

// kill ends a control process: what it held is gone, and who asked sees the connection break.
func (w *simulation) killControl(i int) {
	p := w.processes[i]
	p.incarnation++
	for _, id := range slices.Sorted(maps.Keys(p.held)) {
		h := p.held[id]
		w.after(w.delay(p.region, h.caller.region), func() {
			if !w.partitioned[p.region][h.caller.region] {
				w.callFailed(h.caller, h.call, resource.Failure{Kind: resource.Unreachable})
			}
		})
	}
	p.held = nil
	if p.follower != nil {
		*p.follower.incarnation = 0
		p.follower.currentCall++
	}
	w.updateReachability()
}

// cut parts two regions, or heals them.
func (w *simulation) setPartition(a, b int, is bool) {
	w.partitioned[a][b], w.partitioned[b][a] = is, is
	w.updateReachability()
}

// look keeps since when there is a way from the writer to each region's nodes.
func (w *simulation) updateReachability() {
	in := [3]bool{w.processes[0].up()}
	for range w.processes {
		for i, p := range w.processes {
			for j, o := range w.processes {
				in[i] = in[i] || p.up() && in[j] && !w.partitioned[p.region][o.region]
			}
		}
	}
	for r := range w.reachableSince {
		way := false
		for i, p := range w.processes {
			way = way || in[i] && !w.partitioned[r][p.region]
		}
		switch {
		case !way:
			w.reachableSince[r] = -1
		case w.reachableSince[r] <= 0:
			w.reachableSince[r] = w.now
		}
	}
}

// end heals everything and fails unless all come to the writer's content in time.
func (w *simulation) healAndCheck(within time.Duration) {
	w.t.Helper()
	w.lossRate = 0
	for a := range 3 {
		for b := range a {
			w.setPartition(a, b, false)
		}
		if !w.processes[a].up() {
			w.startControl(a)
		}
	}
	w.run(within)
	w.checkConverged()
}

// agree fails unless all nodes and control processes have the writer's content, and the writer that of the files.
func (w *simulation) checkConverged() {
	w.t.Helper()
	set := w.processes[0].store.Set()
	put, gone := set.Compare(slices.Collect(maps.Values(w.files)))
	if len(put)+len(gone) != 0 {
		w.t.Fatalf("the writer differs from the files: %v %v", put, gone)
	}
	for _, c := range append(slices.Clone(w.nodes), w.processes[1].follower, w.processes[2].follower) {
		if c.set.Version() != set.Version() || c.set.Sum() != set.Sum() || c.set.Len() != set.Len() {
			w.t.Fatalf("%s has %v with %d, the writer %v with %d: %+v", c.name, c.set.Version(), c.set.Len(), set.Version(), set.Len(), c.decider.Status())
		}
	}
}

// times reports how long changes took to be in force, and fails where one took longer than 18 s.
func (w *simulation) checkDelays(what string) {
	w.t.Helper()
	slices.Sort(w.applyDelays)
	n := len(w.applyDelays)
	if n == 0 {
		w.t.Fatal("nothing was taken")
	}
	worst := w.applyDelays[n-1]
	w.t.Logf("%s: %d versions, %d taken, %d snapshots told, %d answers lost: p50 %v, p99 %v, worst %v", what, len(w.versions), n, w.snapshotsSent, w.lostResponses,
		w.applyDelays[n/2].Round(time.Millisecond), w.applyDelays[n*99/100].Round(time.Millisecond), worst.Round(time.Millisecond))
	if worst > 18*time.Second {
		w.t.Errorf("a change took %v", worst)
	}
}

// seeds is more than two for a measurement by hand.
var seedCount = flag.Int("seeds", 2, "of the runs with faults")

const (
	fleetSize             = 450
	ordinaryChangesPerDay = 2300 // changes a day
)

func TestChangesReachAllNodes(t *testing.T) {
	for _, c := range []struct {
		name  string
		aDay  int
		lasts time.Duration
	}{{"ordinary", ordinaryChangesPerDay, 5 * time.Minute}, {"a hundred times", 100 * ordinaryChangesPerDay, 20 * time.Second}} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			w := newWorld(t, 1, fleetSize, contracts(50))
			w.run(5 * time.Second)
			w.applyDelays = nil
			for _, p := range w.processes {
				p.callTimes = nil
			}
			w.scheduleChanges(c.aDay, w.now+c.lasts)
			w.run(c.lasts + 2*time.Second)
			w.checkConverged()
			w.checkDelays(c.name)
			calls := 0
			for _, p := range w.processes {
				calls += len(p.callTimes)
			}
			t.Logf("%.2f calls a second of a node", float64(calls)/fleetSize/(c.lasts+2*time.Second).Seconds())
			if p99 := w.applyDelays[len(w.applyDelays)*99/100]; p99 > 2*time.Second {
				t.Errorf("p99 %v", p99)
			}
		})
	}
}

// Everything at once: answers are lost, regions cut for minutes, control processes killed and returned, nodes restarted, at both rates.
func TestChangesReachAllNodesThroughFaults(t *testing.T) {
	for seed := range uint64(*seedCount) {
		aDay, lasts := ordinaryChangesPerDay, 5*time.Minute
		if seed%2 == 1 {
			aDay, lasts = 100*ordinaryChangesPerDay, 40*time.Second
		}
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			w := newWorld(t, 100+seed, fleetSize, contracts(50))
			w.lossRate = 0.002
			w.run(5 * time.Second)
			until := w.now + lasts
			w.scheduleChanges(aDay, until)
			w.scheduleFaults(until, lasts/12)
			w.run(lasts)
			w.healAndCheck(18 * time.Second)
			w.checkDelays(fmt.Sprintf("faults, seed %d, %d changes a day", seed, aDay))
		})
	}
}

// faults makes them at random moments, about one in each mean time.
func (w *simulation) scheduleFaults(until, mean time.Duration) {
	w.after(time.Duration(w.random.ExpFloat64()*float64(mean)), func() {
		if w.now >= until {
			return
		}
		lasts := time.Duration((0.2 + w.random.ExpFloat64()) * float64(mean))
		switch i := w.random.IntN(3); w.random.IntN(3) {
		case 0:
			if w.processes[i].up() {
				w.killControl(i)
				w.after(lasts, func() {
					if !w.processes[i].up() {
						w.startControl(i)
					}
				})
			}
		case 1:
			a, b := i, (i+1)%3
			if !w.partitioned[a][b] {
				w.setPartition(a, b, true)
				w.after(lasts, func() { w.setPartition(a, b, false) })
			}
		case 2:
			for n := i; n < len(w.nodes); n += 10 {
				w.startNode(w.nodes[n])
			}
		}
		w.scheduleFaults(until, mean)
	})
}

// The writer is killed between taking a change and telling it: some nodes are told its number, others not. It starts again with the
// change, or with it taken back.
func TestWriterKilledWhileAnnouncingAChange(t *testing.T) {
	partly := 0
	for seed := range uint64(12) {
		for _, back := range []bool{false, true} {
			w := newWorld(t, 200+seed, 60, contracts(50))
			w.run(5 * time.Second)
			old := w.files[contract("c0007", 0).Key]
			w.change([]resource.Resource{contract("c0007", 77)})
			told := w.versions[len(w.versions)-1].version
			w.run(time.Duration(seed%4) * 3 * time.Millisecond) // answers are on their way: those to other regions take 10 ms or more
			if seed == 5 {
				// And one that nobody is told of at all
				w.run(time.Second)
				w.change([]resource.Resource{contract("c0007", 78)})
			}
			w.killControl(0)
			if back {
				w.files[old.Key] = old
			}
			w.run(time.Duration(1+seed) * time.Second)
			had := 0
			for _, c := range w.nodes {
				if c.version == told {
					had++
				}
			}
			if had > 0 && had < len(w.nodes) {
				partly++
			}
			w.startControl(0)
			w.run(10 * time.Second)
			w.checkConverged()
			w.checkDelays(fmt.Sprintf("seed %d, taken back %v: %d of 60 nodes had it", seed, back, had))
		}
	}
	if partly < 4 {
		t.Errorf("the change was told to some nodes only in %d runs", partly)
	}
}

func TestPartitionedRegionsCatchUpByDeltas(t *testing.T) {
	for name, cut := range map[string][][2]int{
		"one from the writer":  {{0, 1}},
		"one from both":        {{0, 1}, {1, 2}},
		"the writer from both": {{0, 1}, {0, 2}},
		"those that follow":    {{1, 2}},
		"each from each":       {{0, 1}, {1, 2}, {0, 2}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := newWorld(t, 7, fleetSize/3, contracts(100))
			w.run(5 * time.Second)
			wholes := w.snapshotsSent
			for _, c := range cut {
				w.setPartition(c[0], c[1], true)
			}
			w.scheduleChanges(10*ordinaryChangesPerDay, w.now+2*time.Minute)
			w.run(2 * time.Minute)
			for _, c := range cut {
				w.setPartition(c[0], c[1], false)
			}
			w.run(18 * time.Second)
			w.checkConverged()
			w.checkDelays(name)
			// They took the deltas that they had missed, not the whole.
			if w.snapshotsSent != wholes {
				t.Errorf("%d times the whole", w.snapshotsSent-wholes)
			}
		})
	}
}

// All control processes are gone for a minute, and 450 nodes ask on.
func TestNodesReturnSpreadOutAfterAnOutage(t *testing.T) {
	for _, silent := range []bool{false, true} {
		w := newWorld(t, 11, fleetSize, contracts(20))
		w.run(15 * time.Second)
		for i := range w.processes {
			if silent {
				for j := range w.processes {
					w.setPartition(i, j, true)
				}
			} else {
				w.killControl(i)
			}
		}
		w.run(time.Minute)
		for i, p := range w.processes {
			p.callTimes, p.immediateCallTimes = nil, nil
			if silent {
				for j := range w.processes {
					w.setPartition(i, j, false)
				}
			}
		}
		if !silent {
			for i := range w.processes {
				w.startControl(i)
			}
		}
		w.change([]resource.Resource{contract("c0001", 50)})
		w.run(18 * time.Second)
		w.checkConverged()
		asked, all := 0, 0
		for _, p := range w.processes {
			asked, all = max(asked, maxInWindow(p.immediateCallTimes, 100*time.Millisecond)), max(all, maxInWindow(p.callTimes, 100*time.Millisecond))
		}
		w.checkDelays(fmt.Sprintf("silent %v: at most %d calls of those that come back in 100 ms at one control process, %d with the watches behind a change",
			silent, asked, all))
		// They come back over 2 s or more: at the mean, 450 of them make 22 in 100 ms, were all at one process.
		if asked > 40 || all > 150 {
			t.Errorf("%d calls in 100 ms, %d in all", asked, all)
		}
	}
}

// mostIn is the greatest number of moments within any such span.
func maxInWindow(at []time.Duration, span time.Duration) (most int) {
	for i, from := range at {
		n, _ := slices.BinarySearch(at, from+span)
		most = max(most, n-i)
	}
	return most
}

// Both processes of each node have a change as soon as one alone would, and ask no more often.
func TestTwoProcessesPerNode(t *testing.T) {
	var calls [2]int
	for i, name := range []string{"one process a node", "two processes a node"} {
		w := newWorld(t, 19, 30, contracts(50))
		for k, c := range w.nodes {
			c.region, c.sources = 0, []int{0, 1, 2}
			if i == 1 {
				c.name, c.process = fmt.Sprint("n", k/2), fmt.Sprint(k%2)
			}
		}
		w.run(10 * time.Second)
		w.applyDelays = nil
		for _, p := range w.processes {
			p.callTimes = nil
		}
		for k := range 30 {
			w.change([]resource.Resource{contract("c0001", 100+k)})
			w.run(10 * time.Second)
		}
		w.checkDelays(name)
		for _, p := range w.processes {
			calls[i] += len(p.callTimes)
		}
		if worst := w.applyDelays[len(w.applyDelays)-1]; worst > 2*time.Second {
			t.Errorf("%s: a change took %v", name, worst)
		}
		if n := w.processes[0].store.Status(w.now).Versions[0].Callers; n != 32 {
			t.Errorf("%s: %d callers are shown at the latest version, want 30 and two control processes", name, n)
		}
	}
	if t.Log(calls, "calls"); calls[1] > calls[0]*11/10 {
		t.Errorf("calls: %d of one process a node each, %d where two bear one name", calls[0], calls[1])
	}
}

// All control processes go at once, with all that they kept, and come back with a writer whose clock was set back: its first epoch is older
// than what nodes have. No node goes back, nor waits for longer than it may: the writer hears of it, and begins past it. A node that starts
// in between takes the older one, as it has none, and the later one as the others do.
func TestAllRestartWithWriterClockSetBack(t *testing.T) {
	for seed := range uint64(4) {
		w := newWorld(t, 300+seed, fleetSize/3, contracts(50))
		w.run(5 * time.Second)
		w.change([]resource.Resource{contract("c0001", 50)})
		w.run(5 * time.Second)
		before := w.versions[len(w.versions)-1].version
		for i := range w.processes {
			w.killControl(i)
		}
		w.change([]resource.Resource{contract("c0002", 60)}) // of the files: nobody is there to read it
		w.run(time.Minute)
		w.writerClockSkew, w.applyDelays = -time.Hour, nil
		for i := range w.processes {
			w.startControl(i)
		}
		if v := w.versions[len(w.versions)-1].version; v.Compare(before) >= 0 {
			t.Fatalf("the clock was set back, and the epoch %v is later than %v", v, before)
		}
		w.startNode(w.nodes[3])
		w.run(18 * time.Second)
		if v := w.versions[len(w.versions)-1].version; v.Compare(before) <= 0 {
			t.Fatalf("the writer stays behind: %v, nodes have %v", v, before)
		}
		w.checkConverged()
		w.checkDelays(fmt.Sprintf("all restart, seed %d", seed))
	}
}

// A control process answers well and is itself cut off. Nodes that start again in its region are told its older version; they take it, as
// they have none, and find the later one elsewhere in time. None goes back to the older one.
func TestRestartedNodeLeavesOlderVersionQuickly(t *testing.T) {
	w := newWorld(t, 17, 60, contracts(50))
	w.run(5 * time.Second)
	old := w.versions[len(w.versions)-1].version
	lags := w.processes[1].follower
	lags.currentCall++ // it hears of nothing more
	w.change([]resource.Resource{contract("c0001", 50)})
	w.run(18 * time.Second)
	for _, c := range w.nodes {
		if c.version.Compare(old) <= 0 {
			t.Fatalf("%s has %v still", c.name, c.version)
		}
	}
	w.applyDelays = nil
	told, worst := 0, time.Duration(0)
	for _, c := range w.nodes {
		if c.region != 1 {
			continue
		}
		w.startNode(c)
		c.versionsSeen-- // the latest is to be in force from its start on
		take, at := c.apply, time.Duration(0)
		c.apply = func(d *resource.Delta) error {
			switch {
			case d.To == old:
				told, at = told+1, w.now
			case at > 0:
				worst, at = max(worst, w.now-at), 0
			}
			return take(d)
		}
	}
	w.run(18 * time.Second)
	for _, c := range w.nodes {
		if c.version.Compare(old) <= 0 {
			t.Fatalf("%s has %v still", c.name, c.version)
		}
	}
	if told == 0 {
		t.Error("no node was told the older version")
	}
	w.checkDelays(fmt.Sprintf("%d nodes were told an older version at their start, and had it for %v at most", told, worst))
	if worst > time.Second {
		t.Errorf("one had the older version for %v", worst)
	}
	w.after(0, lags.nextCallIfCurrent(w, lags.currentCall))
	w.run(18 * time.Second)
	w.checkConverged()
}

// Half the nodes refuse a change, then one mends it.
func TestHalfOfTheNodesRefuseAChange(t *testing.T) {
	w := newWorld(t, 13, 100, contracts(50))
	for i, c := range w.nodes {
		if i%2 == 1 {
			c.reject = func(d *resource.Delta) error {
				for _, r := range d.Put {
					if strings.Contains(string(r.Spec), `"rate":66`) {
						return &resource.Refusal{Key: r.Key, Field: "rate", Why: "not here"}
					}
				}
				return nil
			}
		}
	}
	w.run(10 * time.Second)
	before := w.versions[len(w.versions)-1].version
	calls := func() (n int) {
		for _, p := range w.processes {
			n += len(p.callTimes)
		}
		return n
	}
	w.change([]resource.Resource{contract("c0001", 66)})
	bad := w.versions[len(w.versions)-1].version
	was := calls()
	w.run(30 * time.Second)
	if n := calls() - was; n > 100*30 { // far from a loop: it is told once and waited
		t.Errorf("%d calls in 30 s", n)
	}
	w.change([]resource.Resource{contract("c0002", 5)}) // merged with the bad one, and refused as well
	w.run(30 * time.Second)
	for i, c := range w.nodes {
		if want := map[bool]resource.Version{true: before, false: w.versions[len(w.versions)-1].version}[i%2 == 1]; c.version != want {
			t.Fatalf("%s has %v, want %v", c.name, c.version, want)
		}
	}
	for _, p := range w.processes {
		s := p.store.Status(w.now)
		if s.Refusing != 50 || len(s.Refusals) != 50 || s.Behind != 50 {
			t.Fatalf("region %d: %d refuse, %d are behind", p.region, s.Refusing, s.Behind)
		}
		if n := s.Refusals[0]; n.Refused.Compare(bad) <= 0 || n.Why != `contract "c0001": rate: not here` || n.Version != before {
			t.Fatalf("%+v", n)
		}
	}
	w.change([]resource.Resource{contract("c0001", 7)})
	w.run(2 * time.Second)
	w.checkConverged()
	w.run(20 * time.Second)
	if s := w.processes[0].store.Status(w.now); s.Refusing != 0 || s.Behind != 0 || len(s.Versions) != 1 {
		t.Fatalf("%+v", s)
	}
}
