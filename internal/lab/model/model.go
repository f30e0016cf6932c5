// Package model plays a scenario in virtual time: clients, a front, nodes that run the real policy or a peer of it, a
// roster, and web servers. It is a discrete-event simulation without a clock, a goroutine or a socket. The same scenario,
// seed and policy give the same events, and their digest tells so.
//
// Events of the same instant come in a stated order: faults first, then news of the list, what happens at servers, what
// happens at nodes (outcomes, time-outs, timers), clients that leave, and arrivals last; those of one sort in the order
// in which they were scheduled.
package model

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math/rand/v2"
	"sort"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"portstall/internal/cell"
	"portstall/internal/config"
	"portstall/internal/contract"
	"portstall/internal/lab/fleet"
	"portstall/internal/lab/measure"
	"portstall/internal/lab/oracle"
	"portstall/internal/lab/scenario"
	"portstall/policy"
)

// Decider is what runs at a node: the real policy, or a peer to measure it against.
type Decider interface {
	Handle(now time.Duration, ev *policy.Event, out []policy.Action) []policy.Action
}

// Prober is a Decider that asks servers for their load between requests. Probes is called after each event; the answer
// comes by Probed.
type Prober interface {
	Probes() []uint32
	Probed(now time.Duration, server uint32, inFlight int, latency time.Duration)
}

// Strained is a Decider that tells how hard pressed the fleet is, for the contracts' ledger.
type Strained interface {
	Pressure() float64
	Part() (part float64, known bool)
}

// Maker starts a Decider at a node.
type Maker func(set policy.Settings, seed uint64) (Decider, error)

// Portstall is the real policy.
func Portstall(set policy.Settings, seed uint64) (Decider, error) { return policy.New(set, seed) }

// epoch is the nodes' clock at a scenario's start. It lies far from zero, which in a list means "long ago".
const epoch = time.Hour

type kind uint8

const (
	evFault kind = iota
	evNodeDown
	evNodeUp
	evPublish
	evCall // the roster answers a node's call
	evLost
	evNews
	evReach // an attempt reaches its server
	evServe // a server has done a piece of its work
	evDrop  // an attempt is cancelled at its server
	evProbe
	evOutcome // an attempt's outcome reaches its node
	evTimeout
	evTimer
	evProbed
	evLeave   // an impatient client
	evOverdue // a client gives up
	evTry     // a client's further try
	evBack    // a server that was killed for a while returns
	evStood   // a tunnel has come to stand
	evCut     // tunnels to a server have had their drain limit
	evCheck   // a node looks whether a server is to be probed
	evSaid    // and hears what was said, or that nothing was
	evWeigh   // it works out anew what to make of all
	evTake    // a request reaches its node
	evKeep    // a node's state is written down
	evUpgrade // a successor takes over from a node
	evAsk     // a client's first try
	kinds
)

// rank is the order of the sorts of events at the same instant.
var rank = [kinds]uint8{evFault: 0, evBack: 0, evNodeDown: 0, evNodeUp: 0, evPublish: 1, evCall: 1, evLost: 1, evNews: 1,
	evReach: 2, evServe: 2, evDrop: 2, evProbe: 2, evOutcome: 3, evTimeout: 3, evTimer: 3, evProbed: 3, evStood: 3, evCut: 3, evCheck: 3, evSaid: 3, evWeigh: 3, evKeep: 3, evUpgrade: 0, evLeave: 4, evOverdue: 4,
	evTry: 5, evTake: 5, evAsk: 5}

type event struct {
	at    time.Duration
	kind  kind
	out   policy.Outcome
	a, b  int32 // node, server or fault, by the kind
	gen   int32
	job   *job
	try   *try
	token string
	until time.Duration // evNodeDown: when it is to be back
}

// ask is a client's wish with all its tries.
type ask struct {
	scenario.Ask
	tries int
}

// try is one request at one node.
type try struct {
	ask      *ask
	id       string
	node     *node
	d        Decider // that has it: one that was replaced finishes what it took
	life     int32
	sent     time.Duration // by the client
	until    time.Duration // when its answer must be ready at the node
	jobs     []*job
	open     int
	answered bool // or its client has gone
	grant    contract.Verdict
	spilt    bool
	admitted bool          // by a contract's ledger, which is to hear of its end
	took     time.Duration // at servers, all attempts together,
	last     time.Duration // the last of which ended then
}

// world is one run. All of it belongs to the one goroutine that runs it.
type world struct {
	s         *scenario.Scenario
	set       policy.Settings
	opt       Options
	checks    *config.Checks // nil: nothing is checked
	rng       *rand.Rand
	now       time.Duration
	queue     queue
	servers   []*server
	byID      map[uint32]*server
	nodes     []*node
	roster    roster
	asks      *scenario.Asks
	cells     *cell.Terms   // nil: there are none
	poison    time.Duration // how long a server is gone that a request has killed
	hits      [][]int       // servers or nodes that each fault hits
	cutFrom   [][]int       // nodes of a cut
	active    []bool        // faults in force
	weather   fleet.Weather
	contracts *contract.Table
	book      *oracle.Book
	rec       *measure.Recorder
	digest    *xxhash.Digest
	line      [48]byte
	events    int64
	timers    int
	end       time.Duration
	ids       uint64
	actions   []policy.Action
	err       error
}

// Options of a run.
type Options struct {
	Policy  string // its name in the result
	Make    Maker
	Stories bool // keep each request's story for breaches; costs time
	// Sent is called with each send to a server, and Out when a node takes one out by what agents and checks say, or puts it
	// back. Either may be nil.
	Sent func(now time.Duration, node, server int)
	Out  func(now time.Duration, node, server int, out bool)
	// Watch is called after each simulated second, with what was counted so far. May be nil.
	Watch func(second int, r *measure.Recorder)
}

// Run plays a scenario. An error is one of the policy's start; breaches are in the result.
func Run(s scenario.Scenario, opt Options) (measure.Result, error) {
	begin := time.Now() // only to tell how long the run took
	w := newWorld(&s, opt)
	for i := range w.nodes {
		w.start(w.nodes[i])
	}
	if w.err != nil {
		return measure.Result{}, w.err
	}
	w.nextAsk()
	second := 0
	for w.queue.len() > 0 {
		e := w.queue.pop()
		if e.at > w.end {
			break
		}
		if opt.Watch != nil && int(e.at/time.Second) > second {
			second = int(e.at / time.Second)
			opt.Watch(second, w.rec)
		}
		w.now = e.at
		w.hash(&e)
		w.dispatch(&e)
		if w.err != nil {
			return measure.Result{}, w.err
		}
	}
	w.now = w.end
	w.book.Close(w.now, w.leftovers())
	res := w.rec.Result()
	res.Scenario, res.Policy, res.Seed, res.Engine = s.Name, opt.Policy, s.Seed, "model"
	res.Trigger = s.Trigger()
	res.Digest, res.Events = fmt.Sprintf("%016x", w.digest.Sum64()), w.events
	for rule, n := range w.book.Counts() {
		res.Broken[string(rule)] = n
	}
	for _, b := range w.book.Breaches() {
		res.Breaches = append(res.Breaches, b.String())
	}
	for _, v := range w.servers {
		v.advance(w)
		could := float64(v.Kind.Cores) * v.Speed * s.Duration.Seconds()
		res.Servers = append(res.Servers, measure.ServerLoad{ID: v.ID, Kind: v.Kind.Name, Sent: v.sent,
			Busy: v.total / could, Fallen: v.fallen})
	}
	res.Wall = time.Since(begin).Seconds()
	return res, nil
}

func newWorld(s *scenario.Scenario, opt Options) *world {
	w := &world{s: s, opt: opt, set: s.Settings(), rng: rand.New(rand.NewPCG(s.Seed, 0x6d6f64656c)),
		byID: map[uint32]*server{}, asks: s.Asks(), active: make([]bool, len(s.Faults)), weather: fleet.Weather{Slowdown: 1, Storm: 1},
		rec: measure.New(s.Warmup, s.Duration), digest: xxhash.New()}
	w.contracts, w.err = s.Contracts()
	if c := s.Cells.At(time.Unix(0, int64(epoch))); c != nil {
		terms, err := c.Terms()
		w.cells, w.err = &terms, errors.Join(w.err, err)
	}
	if s.Health != nil && s.Health.Checks != nil {
		checks, err := s.Health.Checks.Ready()
		w.checks, w.err = &checks, errors.Join(w.err, err)
	}
	longest := time.Duration(0)
	for _, c := range s.Classes {
		longest = max(longest, c.Deadline)
	}
	w.end = s.Duration + longest + 2*time.Second
	for i := range s.Faults {
		w.end = max(w.end, s.Faults[i].End()+longest+2*time.Second)
	}
	list := s.Fleet()
	w.hits = s.Hits(list)
	w.book = fleet.Books(s, list, 0, opt.Stories)
	for i, f := range list {
		v := &server{Server: f, index: i, up: true, reports: fleet.Reports{Period: s.Servers.Reports.Period,
			Phase: time.Duration(w.rng.Int64N(int64(s.Servers.Reports.Period)))}}
		v.holds.Period, v.holds.Phase = v.reports.Period, v.reports.Phase
		v.queueCap, v.slots = f.Kind.Cores*f.Kind.QueuePerCore, f.Kind.Cores*f.Kind.SlotsPerCore
		v.reset()
		w.servers = append(w.servers, v)
		w.byID[f.ID] = v
		w.roster.entries = append(w.roster.entries, v.entry(policy.Active))
	}
	for i := range s.Nodes {
		n := &node{index: i, known: append([]policy.Entry(nil), w.roster.entries...),
			idle: make([][]time.Duration, len(w.servers)), open: make([]int32, len(w.servers))}
		w.nodes = append(w.nodes, n)
	}
	for i := range s.Faults {
		f := &s.Faults[i]
		w.cutFrom = append(w.cutFrom, s.Hit(i+1000, len(w.nodes), f.Nodes))
		w.at(f.At, event{kind: evFault, a: int32(i), b: 1})
		if !scenario.Kinds[f.Kind].Instant {
			w.at(f.End(), event{kind: evFault, a: int32(i)})
		}
	}
	return w
}

// leftovers counts what should be gone at the end.
func (w *world) leftovers() map[string]int {
	busy, jobs := 0, 0
	for _, n := range w.nodes {
		for i := range n.open {
			busy += int(n.open[i]) - len(n.idle[i])
		}
		jobs += len(n.tries)
	}
	queued := 0
	for _, v := range w.servers {
		if v.up && !v.silent && !v.Kind.Keeps { // one that goes on with cancelled work may still be at it
			queued += len(v.queue) + len(v.work)
		}
	}
	// A node needs a timer for its plans; more than a few mean that each event leaves one behind.
	return map[string]int{"connections": busy, "tries at nodes": jobs, "attempts at servers": queued,
		"timers": max(0, w.timers-4*len(w.nodes))}
}

// at schedules an event.
func (w *world) at(t time.Duration, e event) {
	e.at = max(t, w.now)
	w.queue.push(e)
}

// hash takes an event into the digest.
func (w *world) hash(e *event) {
	w.events++
	b := w.line[:]
	binary.LittleEndian.PutUint64(b, uint64(e.at))
	b[8], b[9] = byte(e.kind), byte(e.out)
	binary.LittleEndian.PutUint32(b[10:], uint32(e.a))
	binary.LittleEndian.PutUint32(b[14:], uint32(e.b))
	who := int64(-1)
	if e.job != nil {
		who = int64(e.job.try.ask.Index)<<8 | int64(e.job.index)
	} else if e.try != nil {
		who = int64(e.try.ask.Index)<<8 | int64(e.try.ask.tries)
	}
	binary.LittleEndian.PutUint64(b[18:], uint64(who))
	w.digest.Write(b[:26])
}

// hashAction takes what a node decided into the digest.
func (w *world) hashAction(n *node, a *policy.Action) {
	b := w.line[:]
	b[0], b[1] = 0xff, byte(a.Kind)
	binary.LittleEndian.PutUint32(b[2:], uint32(n.index))
	binary.LittleEndian.PutUint32(b[6:], a.Server)
	binary.LittleEndian.PutUint64(b[10:], uint64(a.Wait))
	binary.LittleEndian.PutUint64(b[18:], uint64(a.At))
	w.digest.Write(b[:26])
	w.digest.WriteString(a.ID)
}

func (w *world) dispatch(e *event) {
	switch e.kind {
	case evFault:
		w.fault(int(e.a), e.b == 1)
	case evKeep:
		w.keep(w.nodes[e.a], e.gen)
	case evUpgrade:
		w.upgrade(w.nodes[e.a])
	case evNodeDown:
		if e.b == 1 { // planned: it writes down what it knows as its last
			w.write(w.nodes[e.a])
		}
		w.kill(w.nodes[e.a], e.until)
	case evNodeUp:
		if n := w.nodes[e.a]; !n.up && w.now >= n.until {
			w.start(n)
		}
	case evPublish:
		w.publish(w.servers[e.a], policy.State(e.b), e.gen)
	case evCall, evLost, evNews, evOutcome, evTimeout, evTimer, evProbed, evStood, evCut, evCheck, evSaid, evWeigh, evTake:
		n := w.nodes[e.a]
		if w.now < n.stopped {
			if e.kind == evTake {
				w.hold(e.try)
			}
			w.at(n.stopped, *e) // it hears of it when it goes on
			return
		}
		w.atNode(n, e)
	case evBack:
		w.back(w.servers[e.a])
	case evReach:
		w.reach(e.job)
	case evServe:
		if v := w.servers[e.a]; v.gen == e.gen {
			v.advance(w)
			v.schedule(w)
		}
	case evDrop:
		w.drop(e.job)
	case evProbe:
		w.probe(w.nodes[e.a], w.servers[e.b])
	case evLeave:
		w.leave(e.try)
	case evOverdue:
		w.overdue(e.try)
	case evTry:
		w.tryAt(e.try.ask)
	case evAsk:
		a := e.try.ask
		w.nextAsk()
		w.tryAt(a)
	}
}

// delay is a way through the network.
func (w *world) delay(mean time.Duration) time.Duration {
	if j := w.s.Network.Jitter; j > 0 {
		return time.Duration(float64(mean) * (1 - j + j*w.rng.ExpFloat64()))
	}
	return mean
}

// nextAsk schedules the next arrival.
func (w *world) nextAsk() {
	if a, ok := w.asks.Next(); ok {
		w.at(a.At, event{kind: evAsk, try: &try{ask: &ask{Ask: a}}})
	}
}

// tryAt lets a client try at the node that the front picks.
func (w *world) tryAt(a *ask) {
	a.tries++
	w.rec.Try(a.At)
	c := &w.s.Classes[a.Class]
	left := c.Deadline - (w.now - a.At)
	patience := min(left, time.Duration(a.TryShare*float64(c.Deadline)))
	t := &try{ask: a, id: "r" + strconv.FormatUint(w.ids, 36), sent: w.now}
	w.ids++
	t.node = w.deal()
	way := w.delay(w.s.Network.Client)
	if t.node == nil || !t.node.up {
		w.settle(t, measure.Unreachable, "node unreachable", way, 0)
		return
	}
	t.life, t.until = t.node.life, w.now+patience-2*w.s.Network.Client
	w.at(w.now+way, event{kind: evTake, a: int32(t.node.index), try: t})
	w.at(t.until+w.s.Rules.AnswerSlack+time.Millisecond, event{kind: evOverdue, try: t})
	if a.Leaves > 0 {
		w.at(w.now+time.Duration(a.Leaves*float64(patience)), event{kind: evLeave, try: t})
	}
}

// deal is the front's choice of a node for a request; nil where it knows of none.
func (w *world) deal() *node {
	share := func(n *node) float64 {
		f := &w.s.Front
		if len(f.Split) == 0 {
			return 1
		}
		i := n.index
		if f.Moves > 0 {
			i += int(w.now / f.Moves)
		}
		return f.Split[i%len(f.Split)]
	}
	sum := 0.0
	for _, n := range w.nodes {
		if n.visible(w) {
			sum += share(n)
		}
	}
	x := w.rng.Float64() * sum
	var last *node
	for _, n := range w.nodes {
		if n.visible(w) {
			if last = n; x < share(n) {
				break
			}
			x -= share(n)
		}
	}
	return last
}

// hold books a request that reaches a stopped node: its machine has accepted it.
func (w *world) hold(t *try) {
	if t.answered || t.life != t.node.life || t.node.tries[t.id] != nil {
		return
	}
	t.node.tries[t.id] = t
	w.taken(t)
	w.book.Stopped(t.node.index, t.id)
}

// taken books that a node has a request.
func (w *world) taken(t *try) {
	w.book.Taken(w.now, t.node.index, t.id, t.ask.Class, t.until)
	w.book.Keyed(t.id, w.s.Key(&t.ask.Ask))
}

// leave is a client that goes before its time is up.
func (w *world) leave(t *try) {
	n := t.node
	if t.answered || t.life != n.life || n.tries[t.id] == nil {
		return
	}
	t.answered = true
	w.book.Left(w.now, n.index, t.id)
	if w.now >= n.stopped {
		w.decide(n, t.d, &policy.Event{Kind: policy.EvGone, ID: t.id})
	}
	n.forget(t)
	w.settle(t, measure.Left, "client left early", 0, 0)
}

// overdue is a client that has waited for as long as it wanted to.
func (w *world) overdue(t *try) {
	n := t.node
	if t.answered || t.life != n.life {
		return
	}
	t.answered = true
	w.book.Overdue(w.now, n.index, t.id)
	if w.now >= n.stopped && n.tries[t.id] != nil {
		w.decide(n, t.d, &policy.Event{Kind: policy.EvGone, ID: t.id})
	}
	n.forget(t)
	w.settle(t, measure.Overdue, "no answer in time", 0, 0)
}

// settle tells a client how its try ended, after the way back, and decides whether it tries again.
func (w *world) settle(t *try, end measure.Ending, cause string, way, after time.Duration) {
	a, c := t.ask, &w.s.Classes[t.ask.Class]
	now := w.now + way
	if end != measure.Served {
		w.rec.Cause(a.At, cause)
		promised := end == measure.Refused || end == measure.Unreachable
		wait, ok := fleet.Again(w.s, &a.Ask, a.tries, promised, now, after, w.weather.Storm, w.rng.Float64())
		if ok && end != measure.Left {
			w.at(now+wait, event{kind: evTry, try: t})
			return
		}
	}
	tenant := ""
	if a.Tenant >= 0 {
		tenant = w.s.Tenants[a.Tenant].Name
	}
	took := now - a.At
	w.rec.Ask(a.At, c.Name, tenant, end, end == measure.Served && took <= c.Aim, took, c.Worth*a.Work.Seconds())
}

// sortedTries are a node's open tries in the order in which they came.
func (n *node) sortedTries() []*try {
	all := make([]*try, 0, len(n.tries))
	for _, t := range n.tries {
		all = append(all, t)
	}
	sort.Slice(all, func(i, j int) bool {
		x, y := all[i].ask, all[j].ask
		return x.Index < y.Index || x.Index == y.Index && all[i].sent < all[j].sent
	})
	return all
}
