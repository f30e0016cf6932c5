package node

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"portstall/policy"
)

// The load that watches put on the one discovery of all nodes, in virtual time: the real rhythm and the real policy of 300 nodes,
// before a discovery that works through calls in turn. docs/discovery.md has the figures.

// pacer is what a node's watch loop asks: the rhythm, or the one that was before it.
type pacer interface {
	resume()
	owe(told time.Duration)
	begin(now time.Duration)
	call(whole bool, draw float64) (wait, limit time.Duration)
	answered(now time.Duration, news bool)
	failed(now, over time.Duration, how failure, draw float64) (rest time.Duration, again bool)
}

// formerRhythm is the rhythm of asked lists as it was until watches were shortened, for the figures before: a watch waits 8 to 24 s,
// and a failure is the policy's, but while a fresh list is owed.
type formerRhythm struct{ grace, due, rest time.Duration }

func (r *formerRhythm) resume()                      { *r = formerRhythm{grace: r.grace} }
func (r *formerRhythm) owe(told time.Duration)       { r.due = max(r.due, told+r.grace) }
func (r *formerRhythm) begin(time.Duration)          {}
func (r *formerRhythm) answered(time.Duration, bool) { r.due, r.rest = 0, 0 }
func (r *formerRhythm) call(whole bool, draw float64) (wait, limit time.Duration) {
	if whole {
		return 0, fetchWait
	}
	wait = 8*time.Second + time.Duration(draw*float64(16*time.Second))
	return wait, wait + 400*time.Millisecond
}

func (r *formerRhythm) failed(now, over time.Duration, how failure, draw float64) (time.Duration, bool) {
	if how == noAnswer {
		r.owe(over + 2*time.Second)
	}
	switch {
	case now >= r.due:
		return 0, false
	case how == noAnswer && r.rest == 0:
		r.rest = backoff
		return 0, true
	}
	r.rest = min(max(2*r.rest, backoff), max(backoff, min(r.grace/4, backoffTo)))
	return time.Duration(float64(r.rest) * (0.5 + draw)), true
}

// site is a discovery as a deployment has it.
type site struct {
	all     time.Duration // it takes so long to hear all nodes once
	stand   time.Duration // a call that has stood in line for so long is refused
	callers int           // and so is one that finds so many in line; 0: no bound
	free    bool          // a call that goes on with a watch costs nothing
	grace   time.Duration // of drains, at all nodes
	push    bool          // lists are pushed

	script func(h *hub, a *ask, nth int) bool // takes a call, by its number at this discovery; false: the call goes the usual way
	told   time.Duration                      // nodes ask for the whole list at first, owed so long after their start; 0: they watch
}

// span is a part of a day.
type span struct{ from, to time.Duration }

func (s span) holds(t time.Duration) bool { return t >= s.from && t < s.to }

// day is what happens; times are from its start.
type day struct {
	length  time.Duration
	from    time.Duration // figures are counted from then on
	start   time.Duration // nodes start within so long
	down    span          // discovery is down
	cut     span          // the nodes below cutTo are cut off
	cutTo   int
	changes []time.Duration
	silent  time.Duration // all open watches fall silent; 0: never
}

// figures is what a day came to.
type figures struct {
	calls, refused, low int           // that reached discovery while it was up; low: by nodes that wait longer at the end
	line                int           // the longest
	stood               time.Duration // the longest in line of those that were heard
	asked               time.Duration // the longest that a node neither asked nor was answered while it could reach discovery
	blind               time.Duration // the longest that it had neither a list nor a watch that would tell, likewise
	over                int           // nodes that were blind for over 6 s and the grace
	inRow               int           // the most refusals of one node in a row
	seconds             float64
}

func (f figures) String() string {
	return fmt.Sprintf("%.1f calls/s, line %d, heard after %.2f s, refused %.2f%%, in a row %d, asked within %.2f s, "+
		"blind for %.2f s (%d nodes over), %d wait longer", float64(f.calls)/f.seconds, f.line, f.stood.Seconds(),
		100*float64(f.refused)/float64(max(f.calls, 1)), f.inRow, f.asked.Seconds(), f.blind.Seconds(), f.over, f.low)
}

// moment is an entry of the day's queue.
type moment struct {
	at  time.Duration
	seq int
	do  func()
}

type moments []moment

func (m moments) Len() int { return len(m) }
func (m moments) Less(i, j int) bool {
	return m[i].at < m[j].at || m[i].at == m[j].at && m[i].seq < m[j].seq
}
func (m moments) Swap(i, j int) { m[i], m[j] = m[j], m[i] }
func (m *moments) Push(x any)   { *m = append(*m, x.(moment)) }
func (m *moments) Pop() any {
	old := *m
	x := old[len(old)-1]
	*m = old[:len(old)-1]
	return x
}

// hub is a day at a discovery.
type hub struct {
	site
	day
	rng     *rand.Rand
	now     time.Duration
	queue   moments
	seq     int
	nodes   []*caller
	line    []*ask
	busy    bool
	version int
	figures
}

// caller is a node.
type caller struct {
	hub     *hub
	pace    pacer
	policy  *policy.Balancer
	index   int
	version int
	open    bool          // it has a connection to discovery
	ask     *ask          // the call that is out
	last    time.Duration // it asked or was answered
	sight   time.Duration // it had a list, or a watch that tells, up to then; -1: it has one
	refused int
	over    bool
	asking  bool          // its watch loop runs
	ticks   bool          // its policy's timer is out,
	next    time.Duration // which comes then
	whole   bool          // it has to ask for the whole list
	heard   time.Duration // it had its first list; -1: not yet
	calls   int
}

// ask is a call.
type ask struct {
	by     *caller
	came   time.Duration
	until  time.Duration // of its wait
	since  int
	goes   bool // on with a watch
	over   bool // answered, failed or given up
	parked bool
	silent bool
	over2  time.Duration
}

func (h *hub) at(t time.Duration, do func()) {
	h.seq++
	heap.Push(&h.queue, moment{t, h.seq, do})
}

// reach is since when a node can reach discovery; false: it can't.
func (h *hub) reach(n *caller) (since time.Duration, ok bool) {
	if h.down.holds(h.now) || n.index < h.cutTo && h.cut.holds(h.now) {
		return 0, false
	}
	if h.now >= h.down.to {
		since = h.down.to
	}
	if n.index < h.cutTo && h.now >= h.cut.to {
		since = max(since, h.cut.to)
	}
	return since, true
}

// book notes how long a node has gone without asking, and without a list.
func (h *hub) book(n *caller, sees bool) {
	if since, ok := h.reach(n); ok && h.now >= h.from {
		since = max(since, h.from)
		h.asked = max(h.asked, h.now-max(since, n.last))
		if n.sight >= 0 {
			blind := h.now - max(since, n.sight)
			h.blind = max(h.blind, blind)
			n.over = n.over || blind > toldIn+h.grace
		}
	}
	n.last = h.now
	switch {
	case sees:
		n.sight = -1
	case n.sight < 0:
		n.sight = h.now
	}
}

// play plays a day with a number of nodes.
func play(s site, d day, count int, seed uint64, pace func(grace time.Duration) pacer) *hub {
	h := &hub{site: s, day: d, rng: rand.New(rand.NewPCG(seed, 31))}
	for i := range count {
		set := policy.Settings{Nodes: count, MaxAttempts: 1, MustAsk: !s.push, MustAskIn: 10 * time.Second,
			Classes: []policy.Class{{Name: "a", Aim: time.Second, Deadline: time.Second, Worth: 1}}}
		b, err := policy.New(set, h.rng.Uint64())
		if err != nil {
			panic(err)
		}
		n := &caller{hub: h, pace: pace(s.grace), policy: b, index: i, whole: s.told > 0, heard: -1}
		h.nodes = append(h.nodes, n)
		h.at(time.Duration(h.rng.Float64()*float64(d.start)), func() {
			n.last, n.sight = h.now, h.now
			if s.push || s.told > 0 {
				n.watch()
			}
			n.decide(policy.Event{Kind: policy.EvList, List: policy.ListCached})
		})
	}
	for _, t := range d.changes {
		h.at(t, h.change)
	}
	if d.silent > 0 {
		h.at(d.silent, func() { h.hush(func(*caller) bool { return true }) })
	}
	if d.down.to > 0 {
		h.at(d.down.from, h.stop)
	}
	if d.cut.to > 0 {
		h.at(d.cut.from, func() { h.hush(func(n *caller) bool { return n.index < d.cutTo }) })
	}
	for len(h.queue) > 0 {
		m := heap.Pop(&h.queue).(moment)
		if m.at >= d.length {
			break
		}
		h.now = m.at
		m.do()
	}
	h.now = d.length
	for _, n := range h.nodes {
		h.book(n, false)
		if n.over {
			h.over++
		}
		if r, ok := n.pace.(*rhythm); ok && r.crowd > 0 {
			h.low++
		}
	}
	h.seconds = (d.length - d.from).Seconds()
	return h
}

// watch starts the watch loop unless it runs.
func (n *caller) watch() {
	if n.asking {
		return
	}
	n.asking = true
	n.pace.resume()
	n.call(false)
}

// decide hands the policy an event and does what it says.
func (n *caller) decide(ev policy.Event) {
	h := n.hub
	for _, a := range n.policy.Handle(epoch+h.now, &ev, nil) {
		switch a.Kind {
		case policy.ActTimer:
			// While its loop runs it has nothing to decide: the timer is left out then, as it costs most of the time of a run.
			n.next = a.At - epoch
			if n.ticks = !n.asking; n.ticks {
				h.at(n.next, n.tick)
			}
		case policy.ActWatch:
			n.watch()
		}
	}
}

// tick is the policy's timer.
func (n *caller) tick() { n.decide(policy.Event{Kind: policy.EvTimer, Token: "tick"}) }

// call is a turn of the watch loop.
func (n *caller) call(goes bool) {
	h := n.hub
	h.book(n, false)
	if n.whole {
		n.pace.owe(h.told)
	}
	n.pace.begin(h.now)
	wait, limit := n.pace.call(n.whole, h.rng.Float64())
	a := &ask{by: n, came: h.now, until: h.now + wait, since: n.version, goes: goes}
	if n.whole {
		a.since = -1
	}
	n.ask = a
	n.calls++
	h.at(h.now+limit, func() { n.failed(a, noAnswer) })
	switch {
	case n.index < h.cutTo && h.cut.holds(h.now):
		if !n.open { // no connection comes up
			h.at(h.now+dialWait, func() { n.failed(a, failedCall) })
		}
		a.silent = true
		return
	case h.down.holds(h.now):
		h.at(h.now+time.Millisecond, func() { n.failed(a, failedCall) })
		return
	}
	n.open = true
	if h.script != nil && h.script(h, a, n.calls) {
		return
	}
	if h.now >= h.from {
		h.calls++
	}
	switch {
	case h.free && goes:
		h.turn(a)
		return
	case h.site.callers > 0 && len(h.line) >= h.site.callers:
		h.at(h.now+time.Millisecond, func() { h.refuse(a) })
		return
	}
	h.line = append(h.line, a)
	if h.now >= h.from {
		h.figures.line = max(h.figures.line, len(h.line))
	}
	h.at(h.now+h.stand, func() {
		for i, o := range h.line {
			if o == a {
				h.line = append(h.line[:i:i], h.line[i+1:]...)
				h.refuse(a)
				return
			}
		}
	})
	h.work()
}

// refuse answers a call with 503.
func (h *hub) refuse(a *ask) {
	if a.over {
		return
	}
	if h.now >= h.from {
		h.refused++
		a.by.refused++
		h.inRow = max(h.inRow, a.by.refused)
	}
	a.by.failed(a, turnedAway)
}

// work takes the next call in line. One that was given up is worked on all the same: discovery doesn't see that.
func (h *hub) work() {
	if h.busy || len(h.line) == 0 {
		return
	}
	a := h.line[0]
	h.line, h.busy = h.line[1:], true
	h.at(h.now+h.all/time.Duration(len(h.nodes)), func() {
		h.busy = false
		h.turn(a)
		h.work()
	})
}

// turn is where discovery has heard a call: it answers, or holds it until there is something to tell or its wait is over.
func (h *hub) turn(a *ask) {
	if a.over || a.silent {
		return
	}
	if h.now >= h.from {
		h.figures.stood = max(h.figures.stood, h.now-a.came)
	}
	if h.version > a.since {
		h.answer(a)
		return
	}
	a.parked = true
	h.book(a.by, true)
	h.at(max(h.now, a.until), func() { h.answer(a) })
}

func (h *hub) answer(a *ask) {
	if a.over || a.silent {
		return
	}
	n := a.by
	a.over, a.parked, n.refused = true, false, 0
	h.book(n, true)
	h.book(n, false)
	news := h.version > a.since
	n.version, n.whole = h.version, false
	if n.heard < 0 {
		n.heard = h.now
	}
	n.pace.answered(h.now, news)
	rest := max(0, watchRest-(h.now-a.came)) + time.Millisecond + time.Duration(h.rng.Int64N(int64(2*time.Millisecond)))
	h.at(h.now+rest, func() { n.call(true) })
}

// failed is a call that failed or is given up.
func (n *caller) failed(a *ask, how failure) {
	h := n.hub
	if a.over {
		return
	}
	a.over, a.parked, n.open = true, false, how == turnedAway
	h.book(n, false)
	if rest, again := n.pace.failed(h.now, a.until, how, h.rng.Float64()); again {
		h.at(h.now+rest, func() { n.call(false) })
		return
	}
	n.asking = false
	n.decide(policy.Event{Kind: policy.EvList, List: policy.ListFailed})
	if !n.ticks { // it comes when it would have
		for n.next < h.now {
			n.next += 250 * time.Millisecond
		}
		n.ticks = true
		h.at(n.next, n.tick)
	}
}

// change is news for all: open watches are answered.
func (h *hub) change() {
	h.version++
	for _, n := range h.nodes {
		if a := n.ask; a != nil && a.parked {
			h.at(h.now+20*time.Millisecond, func() { h.answer(a) })
		}
	}
}

// hush lets the calls of some nodes fall silent.
func (h *hub) hush(whose func(*caller) bool) {
	for _, n := range h.nodes {
		if n.ask != nil && !n.ask.over && whose(n) {
			n.ask.silent = true
			if n.sight < 0 {
				n.sight = h.now
			}
		}
	}
}

// stop ends all calls: discovery goes down.
func (h *hub) stop() {
	h.line = nil
	for _, n := range h.nodes {
		if a := n.ask; a != nil && !a.over {
			h.at(h.now+time.Millisecond, func() { n.failed(a, failedCall) })
		}
	}
}

// paced is the rhythm that nodes have, of asked lists; former is the one that they had.
func paced(grace time.Duration) pacer  { return &rhythm{grace: grace} }
func pushed(grace time.Duration) pacer { return &rhythm{grace: grace, push: true} }
func former(grace time.Duration) pacer { return &formerRhythm{grace: grace} }

func ms(n int) time.Duration { return time.Duration(n) * time.Millisecond }

// epoch is when a day starts, on the policy's clock.
const epoch = 24 * time.Hour

// fleet is how many nodes the days have.
const fleet = 300
