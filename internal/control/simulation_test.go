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

// simulation runs three control processes, a writer and two that follow it, and nodes that follow them, in virtual
// time. The decisions are made by the real VersionStore and resource.Follower; network and clock are simulated, and all
// random values come from one seed. Each version and its checksum is recorded at the writer and checked wherever it is
// applied.
type simulation struct {
	t       *testing.T
	now     time.Duration // Unix time
	events  events
	lastSeq int // of the latest event
	random  *rand.Rand

	processes       [3]*simControl // one in each region; the first is the writer
	nodes           []*simFollower
	files           map[resource.Key]resource.Resource // content of the writer's files
	partitioned     [3][3]bool                         // between regions
	lossRate        float64                            // share of all responses that are lost without a failure
	writerClockSkew time.Duration                      // of the writer's clock when it begins an epoch
	newEpochPending bool                               // the writer is to begin an epoch past a caller's version

	checksums      map[resource.Version]resource.Checksum // by version, as numbered by the writer
	versions       []numberedVersion                      // in the order in which they were numbered
	reachableSince [3]time.Duration                       // by region: since when the writer can reach its nodes; below 0: it can't
	applyDelays    []time.Duration                        // for each node and version: see checkApplied
	lostResponses  int
	snapshotsSent  int // snapshots that have arrived at callers
}

// numberedVersion is a version that the writer has made.
type numberedVersion struct {
	version resource.Version
	madeAt  time.Duration
}

// event is a function that runs at a time; events of one time run in the order of seq.
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

// simControl is a simulated control process.
type simControl struct {
	region             int
	incarnation        int // odd while the process runs
	store              *VersionStore
	held               map[uint64]*heldCall
	follower           *simFollower    // nil at the writer
	callTimes          []time.Duration // of all calls
	immediateCallTimes []time.Duration // of the calls that ask for an immediate response
	responseCounts     map[int]int     // by status
}

// running reports whether the process runs.
func (p *simControl) running() bool { return p.incarnation%2 == 1 }

// heldCall is a call that has arrived at a control process.
type heldCall struct {
	caller *simFollower
	call   int // simFollower.currentCall when it was made
	query  Query
}

// simFollower is a caller of control processes: a node, or a control process that follows.
type simFollower struct {
	name          string
	process       string // Query.Process
	role          string
	region        int
	sources       []int // indices of simulation.processes
	decider       *resource.Follower
	set           *resource.Set
	incarnation   *int                          // of its control process; nil: a node
	apply         func(d *resource.Delta) error // puts a delta in force
	reject        func(d *resource.Delta) error // a node's reason to refuse a delta; nil function: it refuses none
	currentCall   int                           // number of the latest call; responses to earlier ones are ignored
	startedAt     time.Duration
	versionsSeen  int // simulation.versions before this index are in force, or later ones are
	version       resource.Version
	decodeTime    time.Duration // of a snapshot
	decodeTimeout time.Duration // after which decoding fails as if the response had not arrived; 0: never
}

// newSimulation starts the control processes, with the writer's files, and nodes that are spread over the regions.
func newSimulation(t *testing.T, seed uint64, nodes int, all []resource.Resource) *simulation {
	sim := &simulation{t: t, now: startTime, random: rand.New(rand.NewPCG(seed, 31)), files: map[resource.Key]resource.Resource{},
		checksums: map[resource.Version]resource.Checksum{}}
	for _, r := range all {
		sim.files[r.Key] = r
	}
	for i := range sim.processes {
		sim.processes[i] = &simControl{region: i, responseCounts: map[int]int{}}
	}
	for i := range sim.processes {
		sim.startControl(i)
	}
	for i := range nodes {
		c := &simFollower{name: fmt.Sprintf("n%d", i), role: "node", region: i % 3, sources: []int{i % 3, (i + 1) % 3, (i + 2) % 3}}
		sim.nodes = append(sim.nodes, c)
		sim.startNode(c)
	}
	return sim
}

// startNode starts a node, or restarts it without any resources.
func (sim *simulation) startNode(c *simFollower) {
	c.currentCall++
	c.set = resource.NewSet(false)
	c.decider = resource.NewFollower(c.set, len(c.sources))
	c.startedAt, c.version, c.versionsSeen = sim.now, resource.Version{}, len(sim.versions)
	c.apply = func(d *resource.Delta) error { return c.set.Apply(c.set.Difference(d)) }
	// Nodes do not all start at the same time.
	sim.after(time.Duration(sim.random.Int64N(int64(2*time.Second))), c.nextCallIfCurrent(sim, c.currentCall))
}

// nextCallIfCurrent returns a function that makes the next call, unless another call was made since the given one.
func (c *simFollower) nextCallIfCurrent(sim *simulation, call int) func() {
	return func() {
		if c.currentCall == call {
			sim.nextCall(c)
		}
	}
}

// after runs a function after a time.
func (sim *simulation) after(d time.Duration, do func()) {
	sim.lastSeq++
	heap.Push(&sim.events, event{sim.now + d, sim.lastSeq, do})
}

// run advances the time by d and runs the events of that time.
func (sim *simulation) run(d time.Duration) {
	end := sim.now + d
	for len(sim.events) > 0 && sim.events[0].at <= end {
		e := heap.Pop(&sim.events).(event)
		sim.now = e.at
		e.do()
	}
	sim.now = end
}

// delay returns a random one-way network delay between two regions.
func (sim *simulation) delay(a, b int) time.Duration {
	if a == b {
		return 100*time.Microsecond + time.Duration(sim.random.Int64N(int64(time.Millisecond)))
	}
	return 10*time.Millisecond + time.Duration(sim.random.Int64N(int64(50*time.Millisecond)))
}

// nextCall makes a caller's next call.
func (sim *simulation) nextCall(c *simFollower) {
	c.currentCall++
	call := c.currentCall
	next := c.decider.Next(sim.now, sim.random.Float64())
	sim.after(next.Delay, func() {
		if c.currentCall != call || c.incarnation != nil && *c.incarnation%2 == 0 {
			return
		}
		sim.after(next.Timeout, func() { sim.callFailed(c, call, resource.Failure{Kind: resource.Silent}) })
		p := sim.processes[c.sources[next.Source]]
		q := Query{Since: next.Since, Sum: next.Checksum, Name: c.name, Process: c.process, Role: c.role, Refused: next.Refused, Why: next.Reason, MaxWait: next.Wait}
		sim.after(sim.delay(c.region, p.region), func() {
			switch {
			case sim.partitioned[c.region][p.region]:
			case !p.running():
				sim.after(sim.delay(c.region, p.region), func() { sim.callFailed(c, call, resource.Failure{Kind: resource.Unreachable}) })
			default:
				p.callTimes = append(p.callTimes, sim.now)
				if next.Wait == 0 {
					p.immediateCallTimes = append(p.immediateCallTimes, sim.now)
				}
				sim.serve(p, &heldCall{c, call, q})
			}
		})
	})
}

// callFailed reports a failed call to its caller, which makes the next one.
func (sim *simulation) callFailed(c *simFollower, call int, how resource.Failure) {
	if c.currentCall == call {
		c.decider.Failed(sim.now, how, sim.random.Float64())
		sim.nextCall(c)
	}
}

// serve does what a control process does with a call, at its arrival and after each change.
func (sim *simulation) serve(p *simControl, h *heldCall) {
	id, incarnation := h.query.WatchID, p.incarnation
	r := p.store.Watch(sim.now, h.query)
	if p == sim.processes[0] && !sim.newEpochPending && !p.store.Ahead().IsZero() {
		sim.newEpochPending = true
		sim.after(minEpochInterval, func() {
			if sim.newEpochPending = false; p.incarnation == incarnation {
				sim.beginEpoch()
			}
		})
	}
	delete(p.held, r.ReplacedWatch)
	if !r.Hold {
		delete(p.held, id)
		sim.sendResponse(p, h, r)
		return
	}
	if id != 0 {
		return
	}
	h.query.WatchID = r.WatchID
	p.held[r.WatchID] = h
	sim.after(h.query.MaxWait, func() {
		if p.incarnation == incarnation && p.held[r.WatchID] == h {
			delete(p.held, r.WatchID)
			q := h.query
			q.WaitOver = true
			p.store.Watch(sim.now, q)
			sim.sendResponse(p, h, r)
		}
	})
}

// wakeHeldCalls serves all held calls again, after a change.
func (sim *simulation) wakeHeldCalls(p *simControl) {
	for _, id := range slices.Sorted(maps.Keys(p.held)) {
		if h := p.held[id]; h != nil {
			sim.serve(p, h)
		}
	}
}

// sendResponse sends a response, which may be lost without the caller noticing. Of the responses under way when a
// process is killed, half are lost with their connections.
func (sim *simulation) sendResponse(p *simControl, h *heldCall, r Reply) {
	p.responseCounts[r.Status]++
	if sim.random.Float64() < sim.lossRate {
		sim.lostResponses++
		return
	}
	incarnation := p.incarnation
	sim.after(sim.delay(p.region, h.caller.region), func() {
		switch {
		case h.caller.currentCall != h.call || sim.partitioned[p.region][h.caller.region]:
		case p.incarnation != incarnation && sim.random.IntN(2) == 0:
			sim.callFailed(h.caller, h.call, resource.Failure{Kind: resource.Unreachable})
		default:
			sim.receiveResponse(h.caller, h.call, r)
		}
	})
}

// receiveResponse brings a response to its caller.
func (sim *simulation) receiveResponse(c *simFollower, call int, r Reply) {
	kind := map[int]resource.FailureKind{409: resource.Behind, 503: resource.Busy}
	if k, ok := kind[r.Status]; ok {
		sim.callFailed(c, call, resource.Failure{Kind: k, RetryAfter: r.RetryAfter, Err: r.Err})
		return
	}
	if r.Status != 200 {
		sim.t.Fatalf("%s got status %d: %v", c.name, r.Status, r.Err)
	}
	if r.Delta.IsSnapshot() {
		sim.snapshotsSent++
		if c.decodeTime > 0 {
			sim.decodeSnapshot(c, r)
			return
		}
	}
	sim.applyResponse(c, r)
}

// decodeSnapshot delays a node by its decoding of a snapshot. The snapshot has arrived, so the call's time limits no
// longer apply.
func (sim *simulation) decodeSnapshot(c *simFollower, r Reply) {
	c.currentCall++
	call := c.currentCall
	if c.decodeTimeout > 0 && c.decodeTimeout < c.decodeTime {
		sim.after(c.decodeTimeout, func() { sim.callFailed(c, call, resource.Failure{Kind: resource.Unreachable}) })
		return
	}
	sim.after(c.decodeTime, func() {
		if c.currentCall == call {
			sim.applyResponse(c, r)
		}
	})
}

// applyResponse applies a response's delta, if the follower accepts it, and makes the next call.
func (sim *simulation) applyResponse(c *simFollower, r Reply) {
	accepted, err := c.decider.Received(sim.now, r.Delta)
	if accepted {
		if c.reject != nil {
			err = c.reject(r.Delta)
		}
		if err == nil {
			err = c.apply(r.Delta)
		}
		c.decider.Applied(sim.now, err)
		if err == nil {
			sim.checkApplied(c)
		}
	}
	sim.nextCall(c)
}

// checkApplied fails unless a caller has applied a later version, with the checksum that the writer gave it. For each
// version that is now in force at a node it records the delay since the change, the end of the outage or the node's
// start, whichever is latest.
func (sim *simulation) checkApplied(c *simFollower) {
	v := c.set.Version()
	if v.Compare(c.version) <= 0 {
		sim.t.Fatalf("%s went from version %v to %v", c.name, c.version, v)
	}
	c.version = v
	if sum, ok := sim.checksums[v]; !ok || sum != c.set.Checksum() {
		sim.t.Fatalf("%s has version %v with the checksum %x, want the writer's %x", c.name, v, c.set.Checksum(), sum)
	}
	if c.role != "node" {
		return
	}
	for ; c.versionsSeen < len(sim.versions) && sim.versions[c.versionsSeen].version.Compare(v) <= 0; c.versionsSeen++ {
		if since := sim.reachableSince[c.region]; since >= 0 {
			sim.applyDelays = append(sim.applyDelays, sim.now-max(sim.versions[c.versionsSeen].madeAt, since, c.startedAt))
		}
	}
}

// recordVersion records a version that the writer has made; it fails where the version exists already.
func (sim *simulation) recordVersion(d *resource.Delta) {
	if _, ok := sim.checksums[d.To]; ok {
		sim.t.Fatalf("version %v was made twice", d.To)
	}
	sim.checksums[d.To] = d.Checksum
	sim.versions = append(sim.versions, numberedVersion{d.To, sim.now})
	for _, c := range sim.nodes {
		if len(sim.versions) == 1 {
			c.versionsSeen = 0
		}
	}
	sim.wakeHeldCalls(sim.processes[0])
}

// change makes an operator's change: in the files always, and at the writer if it runs.
func (sim *simulation) change(put []resource.Resource, removed ...resource.Key) {
	for _, r := range put {
		sim.files[r.Key] = r
	}
	for _, k := range removed {
		delete(sim.files, k)
	}
	if p := sim.processes[0]; p.running() {
		d, err := p.store.Change(sim.now, put, removed)
		if err != nil {
			sim.t.Fatal(err)
		}
		if d != nil {
			sim.recordVersion(d)
		}
	}
}

// scheduleChanges makes random changes of one or two resources until a time, at random intervals; on average there are
// perDay a day.
func (sim *simulation) scheduleChanges(perDay int, until time.Duration) {
	meanInterval := float64(24*time.Hour) / float64(perDay)
	sim.after(time.Duration(sim.random.ExpFloat64()*meanInterval), func() {
		if sim.now >= until {
			return
		}
		name := fmt.Sprintf("c%04d", sim.random.IntN(300))
		switch sim.random.IntN(4) {
		case 0:
			sim.change(nil, resource.Key{Kind: resource.Contract, Name: name})
		case 1:
			sim.change([]resource.Resource{contract(name, sim.random.IntN(100)), contract(name+"+", sim.random.IntN(100))})
		default:
			sim.change([]resource.Resource{contract(name, sim.random.IntN(100))})
		}
		sim.scheduleChanges(perDay, until)
	})
}

// beginEpoch begins an epoch at the writer, with the files' content and the snapshots of the control processes that it
// can reach.
func (sim *simulation) beginEpoch() {
	var known []*resource.Delta
	for _, o := range sim.processes[1:] {
		if o.running() && o.store != nil && !sim.partitioned[0][o.region] && !o.store.Set().Version().IsZero() {
			known = append(known, o.store.Set().Snapshot())
		}
	}
	all := slices.SortedFunc(maps.Values(sim.files), func(a, b resource.Resource) int { return cmp.Compare(a.Name, b.Name) })
	d, err := sim.processes[0].store.BeginEpoch(sim.now+sim.writerClockSkew, known, all)
	if err != nil {
		sim.t.Fatal(err)
	}
	sim.recordVersion(d)
}

// startControl starts a control process without any stored state. The writer has the files and the snapshots of the
// control processes that it can reach.
func (sim *simulation) startControl(i int) {
	p := sim.processes[i]
	p.incarnation++
	p.store, p.held = NewVersionStore(Limits{}), map[uint64]*heldCall{}
	if i == 0 {
		sim.beginEpoch()
	} else {
		c := &simFollower{name: fmt.Sprintf("control-%d", i), role: "control", region: p.region, sources: []int{0, 3 - i}, incarnation: new(int), set: p.store.Set(), startedAt: sim.now}
		*c.incarnation = 1
		c.decider = resource.NewFollower(c.set, 2)
		c.decider.SetSchedule(resource.ControlSchedule)
		c.apply = func(d *resource.Delta) error {
			if err := p.store.Apply(sim.now, d); err != nil {
				return err
			}
			sim.wakeHeldCalls(p)
			return nil
		}
		p.follower = c
		sim.after(0, c.nextCallIfCurrent(sim, 0))
	}
	sim.updateReachability()
}

// killControl ends a control process: its state is lost, and callers with held calls see their connections break.
func (sim *simulation) killControl(i int) {
	p := sim.processes[i]
	p.incarnation++
	for _, id := range slices.Sorted(maps.Keys(p.held)) {
		h := p.held[id]
		sim.after(sim.delay(p.region, h.caller.region), func() {
			if !sim.partitioned[p.region][h.caller.region] {
				sim.callFailed(h.caller, h.call, resource.Failure{Kind: resource.Unreachable})
			}
		})
	}
	p.held = nil
	if p.follower != nil {
		*p.follower.incarnation = 0
		p.follower.currentCall++
	}
	sim.updateReachability()
}

// setPartition cuts the network between two regions, or restores it.
func (sim *simulation) setPartition(a, b int, partitioned bool) {
	sim.partitioned[a][b], sim.partitioned[b][a] = partitioned, partitioned
	sim.updateReachability()
}

// updateReachability updates since when the writer can reach the nodes of each region, directly or through other
// control processes.
func (sim *simulation) updateReachability() {
	connected := [3]bool{sim.processes[0].running()}
	for range sim.processes {
		for i, p := range sim.processes {
			for j, o := range sim.processes {
				connected[i] = connected[i] || p.running() && connected[j] && !sim.partitioned[p.region][o.region]
			}
		}
	}
	for r := range sim.reachableSince {
		reachable := false
		for i, p := range sim.processes {
			reachable = reachable || connected[i] && !sim.partitioned[r][p.region]
		}
		switch {
		case !reachable:
			sim.reachableSince[r] = -1
		case sim.reachableSince[r] <= 0:
			sim.reachableSince[r] = sim.now
		}
	}
}

// healAndCheck ends all faults and fails unless all callers have the writer's content in time.
func (sim *simulation) healAndCheck(within time.Duration) {
	sim.t.Helper()
	sim.lossRate = 0
	for a := range 3 {
		for b := range a {
			sim.setPartition(a, b, false)
		}
		if !sim.processes[a].running() {
			sim.startControl(a)
		}
	}
	sim.run(within)
	sim.checkConverged()
}

// checkConverged fails unless all nodes and control processes have the writer's content, and the writer has that of the
// files.
func (sim *simulation) checkConverged() {
	sim.t.Helper()
	set := sim.processes[0].store.Set()
	put, removed := set.Compare(slices.Collect(maps.Values(sim.files)))
	if len(put)+len(removed) != 0 {
		sim.t.Fatalf("the writer differs from its files: put %v, removed %v", put, removed)
	}
	for _, c := range append(slices.Clone(sim.nodes), sim.processes[1].follower, sim.processes[2].follower) {
		if c.set.Version() != set.Version() || c.set.Checksum() != set.Checksum() || c.set.Len() != set.Len() {
			sim.t.Fatalf("%s has version %v with %d resources, the writer has %v with %d; follower: %+v", c.name, c.set.Version(), c.set.Len(), set.Version(), set.Len(), c.decider.Status())
		}
	}
}

// checkDelays logs how long changes took to be in force at the nodes, and fails where one took longer than 18 s.
func (sim *simulation) checkDelays(what string) {
	sim.t.Helper()
	slices.Sort(sim.applyDelays)
	n := len(sim.applyDelays)
	if n == 0 {
		sim.t.Fatal("no version was applied")
	}
	worst := sim.applyDelays[n-1]
	sim.t.Logf("%s: %d versions, applied %d times; %d snapshots sent, %d responses lost; delay: p50 %v, p99 %v, maximum %v", what, len(sim.versions), n, sim.snapshotsSent, sim.lostResponses,
		sim.applyDelays[n/2].Round(time.Millisecond), sim.applyDelays[n*99/100].Round(time.Millisecond), worst.Round(time.Millisecond))
	if worst > 18*time.Second {
		sim.t.Errorf("a change took %v, want at most 18 s", worst)
	}
}

// seedCount is the number of random seeds of the fault tests; more than two take long.
var seedCount = flag.Int("seeds", 2, "number of random seeds of the fault tests")

// Size of the simulated fleet and its usual rate of changes.
const (
	fleetSize             = 450 // nodes
	ordinaryChangesPerDay = 2300
)

// Without faults all nodes have each change in time, at the usual rate of changes and at a hundred times that.
func TestChangesReachAllNodes(t *testing.T) {
	for _, c := range []struct {
		name     string
		perDay   int
		duration time.Duration
	}{{"usual rate", ordinaryChangesPerDay, 5 * time.Minute}, {"a hundred times the usual rate", 100 * ordinaryChangesPerDay, 20 * time.Second}} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			sim := newSimulation(t, 1, fleetSize, contracts(50))
			sim.run(5 * time.Second)
			sim.applyDelays = nil
			for _, p := range sim.processes {
				p.callTimes = nil
			}
			sim.scheduleChanges(c.perDay, sim.now+c.duration)
			sim.run(c.duration + 2*time.Second)
			sim.checkConverged()
			sim.checkDelays(c.name)
			calls := 0
			for _, p := range sim.processes {
				calls += len(p.callTimes)
			}
			t.Logf("%.2f calls a second per node", float64(calls)/fleetSize/(c.duration+2*time.Second).Seconds())
			if p99 := sim.applyDelays[len(sim.applyDelays)*99/100]; p99 > 2*time.Second {
				t.Errorf("p99 of the delays is %v, want at most 2 s", p99)
			}
		})
	}
}

// With lost responses, partitions, control processes that are killed and restarted, and restarted nodes at once, all
// nodes have each change in time; at both rates of changes.
func TestChangesReachAllNodesThroughFaults(t *testing.T) {
	for seed := range uint64(*seedCount) {
		perDay, duration := ordinaryChangesPerDay, 5*time.Minute
		if seed%2 == 1 {
			perDay, duration = 100*ordinaryChangesPerDay, 40*time.Second
		}
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			sim := newSimulation(t, 100+seed, fleetSize, contracts(50))
			sim.lossRate = 0.002
			sim.run(5 * time.Second)
			until := sim.now + duration
			sim.scheduleChanges(perDay, until)
			sim.scheduleFaults(until, duration/12)
			sim.run(duration)
			sim.healAndCheck(18 * time.Second)
			sim.checkDelays(fmt.Sprintf("faults, seed %d, %d changes a day", seed, perDay))
		})
	}
}

// scheduleFaults makes random faults until a time, at random intervals with the given mean.
func (sim *simulation) scheduleFaults(until, meanInterval time.Duration) {
	sim.after(time.Duration(sim.random.ExpFloat64()*float64(meanInterval)), func() {
		if sim.now >= until {
			return
		}
		duration := time.Duration((0.2 + sim.random.ExpFloat64()) * float64(meanInterval))
		switch i := sim.random.IntN(3); sim.random.IntN(3) {
		case 0:
			if sim.processes[i].running() {
				sim.killControl(i)
				sim.after(duration, func() {
					if !sim.processes[i].running() {
						sim.startControl(i)
					}
				})
			}
		case 1:
			a, b := i, (i+1)%3
			if !sim.partitioned[a][b] {
				sim.setPartition(a, b, true)
				sim.after(duration, func() { sim.setPartition(a, b, false) })
			}
		case 2:
			for n := i; n < len(sim.nodes); n += 10 {
				sim.startNode(sim.nodes[n])
			}
		}
		sim.scheduleFaults(until, meanInterval)
	})
}

// The writer is killed while it announces a change: some nodes receive the version, others do not. It restarts with the
// change in its files or with the change undone. All nodes must have the files' content, and no version may have two
// contents.
func TestWriterKilledWhileAnnouncingAChange(t *testing.T) {
	partly := 0
	for seed := range uint64(12) {
		for _, undone := range []bool{false, true} {
			sim := newSimulation(t, 200+seed, 60, contracts(50))
			sim.run(5 * time.Second)
			old := sim.files[contract("c0007", 0).Key]
			sim.change([]resource.Resource{contract("c0007", 77)})
			announced := sim.versions[len(sim.versions)-1].version
			sim.run(time.Duration(seed%4) * 3 * time.Millisecond) // responses are under way: those to other regions take 10 ms or more
			if seed == 5 {
				// A second change, which no caller receives.
				sim.run(time.Second)
				sim.change([]resource.Resource{contract("c0007", 78)})
			}
			sim.killControl(0)
			if undone {
				sim.files[old.Key] = old
			}
			sim.run(time.Duration(1+seed) * time.Second)
			nodesWithChange := 0
			for _, c := range sim.nodes {
				if c.version == announced {
					nodesWithChange++
				}
			}
			if nodesWithChange > 0 && nodesWithChange < len(sim.nodes) {
				partly++
			}
			sim.startControl(0)
			sim.run(10 * time.Second)
			sim.checkConverged()
			sim.checkDelays(fmt.Sprintf("seed %d, undone %v: %d of 60 nodes had the change", seed, undone, nodesWithChange))
		}
	}
	if partly < 4 {
		t.Errorf("the change reached some nodes but not all in %d runs, want at least 4", partly)
	}
}

// Regions are partitioned for two minutes of changes. Afterwards all nodes catch up in time, by the deltas that they
// missed and not by snapshots.
func TestPartitionedRegionsCatchUpByDeltas(t *testing.T) {
	for name, cut := range map[string][][2]int{
		"one region from the writer's":           {{0, 1}},
		"one region from both others":            {{0, 1}, {1, 2}},
		"the writer's region from both others":   {{0, 1}, {0, 2}},
		"the followers' regions from each other": {{1, 2}},
		"all regions from each other":            {{0, 1}, {1, 2}, {0, 2}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			sim := newSimulation(t, 7, fleetSize/3, contracts(100))
			sim.run(5 * time.Second)
			snapshots := sim.snapshotsSent
			for _, c := range cut {
				sim.setPartition(c[0], c[1], true)
			}
			sim.scheduleChanges(10*ordinaryChangesPerDay, sim.now+2*time.Minute)
			sim.run(2 * time.Minute)
			for _, c := range cut {
				sim.setPartition(c[0], c[1], false)
			}
			sim.run(18 * time.Second)
			sim.checkConverged()
			sim.checkDelays(name)
			if sim.snapshotsSent != snapshots {
				t.Errorf("%d snapshots were sent, want none", sim.snapshotsSent-snapshots)
			}
		})
	}
}

// All control processes are down or unreachable for a minute while 450 nodes keep calling. When they return, the nodes'
// calls must be spread out and not come at one time.
func TestNodesReturnSpreadOutAfterAnOutage(t *testing.T) {
	for _, unreachable := range []bool{false, true} {
		sim := newSimulation(t, 11, fleetSize, contracts(20))
		sim.run(15 * time.Second)
		for i := range sim.processes {
			if unreachable {
				for j := range sim.processes {
					sim.setPartition(i, j, true)
				}
			} else {
				sim.killControl(i)
			}
		}
		sim.run(time.Minute)
		for i, p := range sim.processes {
			p.callTimes, p.immediateCallTimes = nil, nil
			if unreachable {
				for j := range sim.processes {
					sim.setPartition(i, j, false)
				}
			}
		}
		if !unreachable {
			for i := range sim.processes {
				sim.startControl(i)
			}
		}
		sim.change([]resource.Resource{contract("c0001", 50)})
		sim.run(18 * time.Second)
		sim.checkConverged()
		immediate, all := 0, 0
		for _, p := range sim.processes {
			immediate, all = max(immediate, maxInWindow(p.immediateCallTimes, 100*time.Millisecond)), max(all, maxInWindow(p.callTimes, 100*time.Millisecond))
		}
		sim.checkDelays(fmt.Sprintf("unreachable %v: at most %d immediate calls in 100 ms at one control process, %d calls with the watches after a change",
			unreachable, immediate, all))
		// The nodes return over 2 s or more: if all 450 called one process, that would be 22 calls in 100 ms on average.
		if immediate > 40 || all > 150 {
			t.Errorf("%d immediate calls and %d calls in 100 ms, want at most 40 and 150", immediate, all)
		}
	}
}

// maxInWindow returns the greatest number of the sorted times that lie within any window of a length.
func maxInWindow(at []time.Duration, span time.Duration) (greatest int) {
	for i, from := range at {
		n, _ := slices.BinarySearch(at, from+span)
		greatest = max(greatest, n-i)
	}
	return greatest
}

// With two processes for each node name, as during a hand-over, both have a change as soon as a single process would,
// and they make no more calls than two nodes.
func TestTwoProcessesPerNode(t *testing.T) {
	var calls [2]int
	for i, name := range []string{"one process per node", "two processes per node"} {
		sim := newSimulation(t, 19, 30, contracts(50))
		for k, c := range sim.nodes {
			c.region, c.sources = 0, []int{0, 1, 2}
			if i == 1 {
				c.name, c.process = fmt.Sprint("n", k/2), fmt.Sprint(k%2)
			}
		}
		sim.run(10 * time.Second)
		sim.applyDelays = nil
		for _, p := range sim.processes {
			p.callTimes = nil
		}
		for k := range 30 {
			sim.change([]resource.Resource{contract("c0001", 100+k)})
			sim.run(10 * time.Second)
		}
		sim.checkDelays(name)
		for _, p := range sim.processes {
			calls[i] += len(p.callTimes)
		}
		if worst := sim.applyDelays[len(sim.applyDelays)-1]; worst > 2*time.Second {
			t.Errorf("%s: a change took %v, want at most 2 s", name, worst)
		}
		if n := sim.processes[0].store.Status(sim.now).Versions[0].Callers; n != 32 {
			t.Errorf("%s: %d callers are reported at the latest version, want 30 and two control processes", name, n)
		}
	}
	if t.Log(calls, "calls"); calls[1] > calls[0]*11/10 {
		t.Errorf("%d calls with one process per node, %d where two processes have one name", calls[0], calls[1])
	}
}

// All control processes are killed and lose their state. They restart with a writer whose clock was set back, so that
// its first epoch is older than what the nodes have. No node may go back to it, and none may wait too long: the writer
// learns of the nodes' version and begins an epoch past it. A node that starts in between applies the older epoch,
// since it has none, and the later one as the others do.
func TestAllRestartWithWriterClockSetBack(t *testing.T) {
	for seed := range uint64(4) {
		sim := newSimulation(t, 300+seed, fleetSize/3, contracts(50))
		sim.run(5 * time.Second)
		sim.change([]resource.Resource{contract("c0001", 50)})
		sim.run(5 * time.Second)
		before := sim.versions[len(sim.versions)-1].version
		for i := range sim.processes {
			sim.killControl(i)
		}
		sim.change([]resource.Resource{contract("c0002", 60)}) // in the files only: no writer runs
		sim.run(time.Minute)
		sim.writerClockSkew, sim.applyDelays = -time.Hour, nil
		for i := range sim.processes {
			sim.startControl(i)
		}
		if v := sim.versions[len(sim.versions)-1].version; v.Compare(before) >= 0 {
			t.Fatalf("the clock was set back, but version %v is not before %v", v, before)
		}
		sim.startNode(sim.nodes[3])
		sim.run(18 * time.Second)
		if v := sim.versions[len(sim.versions)-1].version; v.Compare(before) <= 0 {
			t.Fatalf("the writer has version %v, not later than the nodes' %v", v, before)
		}
		sim.checkConverged()
		sim.checkDelays(fmt.Sprintf("all restart, seed %d", seed))
	}
}

// A control process serves its callers but is itself cut off from the writer. Nodes that restart in its region receive
// its older version and apply it, since they have none; they must find the later version at another control process
// within a second.
func TestRestartedNodeLeavesOlderVersionQuickly(t *testing.T) {
	sim := newSimulation(t, 17, 60, contracts(50))
	sim.run(5 * time.Second)
	old := sim.versions[len(sim.versions)-1].version
	isolated := sim.processes[1].follower
	isolated.currentCall++ // its follower makes no more calls
	sim.change([]resource.Resource{contract("c0001", 50)})
	sim.run(18 * time.Second)
	for _, c := range sim.nodes {
		if c.version.Compare(old) <= 0 {
			t.Fatalf("%s still has version %v", c.name, c.version)
		}
	}
	sim.applyDelays = nil
	received, worst := 0, time.Duration(0)
	for _, c := range sim.nodes {
		if c.region != 1 {
			continue
		}
		sim.startNode(c)
		c.versionsSeen-- // the delay of the latest version counts from the node's start
		apply, at := c.apply, time.Duration(0)
		c.apply = func(d *resource.Delta) error {
			switch {
			case d.To == old:
				received, at = received+1, sim.now
			case at > 0:
				worst, at = max(worst, sim.now-at), 0
			}
			return apply(d)
		}
	}
	sim.run(18 * time.Second)
	for _, c := range sim.nodes {
		if c.version.Compare(old) <= 0 {
			t.Fatalf("%s still has version %v", c.name, c.version)
		}
	}
	if received == 0 {
		t.Error("no node received the older version")
	}
	sim.checkDelays(fmt.Sprintf("%d nodes received an older version at their start, and had it for %v at most", received, worst))
	if worst > time.Second {
		t.Errorf("a node had the older version for %v, want at most 1 s", worst)
	}
	sim.after(0, isolated.nextCallIfCurrent(sim, isolated.currentCall))
	sim.run(18 * time.Second)
	sim.checkConverged()
}

// Half of the nodes refuse a change until another change corrects it. They stay at the version before, are reported,
// and do not call in a loop.
func TestHalfOfTheNodesRefuseAChange(t *testing.T) {
	sim := newSimulation(t, 13, 100, contracts(50))
	for i, c := range sim.nodes {
		if i%2 == 1 {
			c.reject = func(d *resource.Delta) error {
				for _, r := range d.Put {
					if strings.Contains(string(r.Spec), `"rate":66`) {
						return &resource.Refusal{Key: r.Key, Field: "rate", Reason: "not here"}
					}
				}
				return nil
			}
		}
	}
	sim.run(10 * time.Second)
	before := sim.versions[len(sim.versions)-1].version
	calls := func() (n int) {
		for _, p := range sim.processes {
			n += len(p.callTimes)
		}
		return n
	}
	sim.change([]resource.Resource{contract("c0001", 66)})
	bad := sim.versions[len(sim.versions)-1].version
	was := calls()
	sim.run(30 * time.Second)
	if n := calls() - was; n > 100*30 { // far from a loop: the refusal is reported once, and the calls wait
		t.Errorf("%d calls in 30 s, want at most one a second per node", n)
	}
	sim.change([]resource.Resource{contract("c0002", 5)}) // its delta includes the refused change, and is refused as well
	sim.run(30 * time.Second)
	for i, c := range sim.nodes {
		if want := map[bool]resource.Version{true: before, false: sim.versions[len(sim.versions)-1].version}[i%2 == 1]; c.version != want {
			t.Fatalf("%s has version %v, want %v", c.name, c.version, want)
		}
	}
	for _, p := range sim.processes {
		s := p.store.Status(sim.now)
		if s.Refusing != 50 || len(s.Refusals) != 50 || s.Behind != 50 {
			t.Fatalf("region %d: %d callers refuse, %d are behind, want 50 and 50", p.region, s.Refusing, s.Behind)
		}
		if n := s.Refusals[0]; n.Refused.Compare(bad) <= 0 || n.Why != `contract "c0001": rate: not here` || n.Version != before {
			t.Fatalf("%+v", n)
		}
	}
	sim.change([]resource.Resource{contract("c0001", 7)})
	sim.run(2 * time.Second)
	sim.checkConverged()
	sim.run(20 * time.Second)
	if s := sim.processes[0].store.Status(sim.now); s.Refusing != 0 || s.Behind != 0 || len(s.Versions) != 1 {
		t.Fatalf("%+v", s)
	}
}
