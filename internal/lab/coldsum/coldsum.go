// Package coldsum counts what all nodes together send to each cold server. It plays the real policy, one balancer a node, in
// virtual time against servers that start cold, and holds each window of the length that the settings name against the rule:
// N requests of mean work, N being what the settings allow the server at that moment, and Slack beyond it for chance.
//
// It has no clock, goroutine or socket; the same Case and seed give the same Tally. Its world is simpler than the model's: no
// network but a fixed delay, and servers warm up by time alone, exactly as slowly as the settings say they may.
package coldsum

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"portstall/policy"
)

// Slack is what is put down to chance beyond N requests.
func Slack(n float64) float64 { return 2*math.Sqrt(n) + 2 }

// Trouble is what befalls the fleet.
type Trouble string

// The troubles that cold starts come with.
const (
	Steady  Trouble = "steady"         // three in ten servers restart one after the other, within 9 s
	Burst   Trouble = "burst"          // half as many requests again for 4 s, and three in ten servers restart around its begin
	Zone    Trouble = "zone returns"   // a third of the servers fall silent for 5 s and return cold within 0.2 s
	Replace Trouble = "six in ten"     // are replaced by new ones within 7 s
	Repeats Trouble = "repeats"        // a tenth of the servers fail 6 in 10 requests, three in ten restart within 4 s, and a burst comes
	AllCold Trouble = "all cold"       // every server and every node starts at the same moment: none is warm, and no node has learnt anything
	Blind   Trouble = "taken for warm" // as Burst, with nodes whose settings say that cold servers bear all: a planted breach
)

// Troubles are those of the real policy.
var Troubles = []Trouble{Steady, Burst, Zone, Replace, Repeats, AllCold}

// Case is one fleet and what befalls it.
type Case struct {
	Trouble  Trouble
	Nodes    int
	Servers  int
	Capacity float64 // requests of mean work that a warm server does in a second
	Load     float64 // requests that come, as a part of what all servers do once warm
	Share    float64 // of its capacity that a cold server starts with
	ColdFor  time.Duration
	Multiple float64 // of its present capacity that brings it down
	FallFor  time.Duration
}

// Tally is what was counted.
type Tally struct {
	Starts int
	Falls  int     // starts with a window over N and Slack
	Broken int     // of them such that over two thirds of the window came from nodes that had been told of the start
	Worst  float64 // highest excess over N in a window, in roots of N
	Used   float64 // part of N that is sent in a window, at the mean over the windows of cold servers' sends
	Served float64 // part of clients' requests that were answered in time, repeats included in theirs
	Asked  int     // clients' requests, each counted once
}

// Add joins another run's tally.
func (t *Tally) Add(o Tally) {
	if t.Worst = max(t.Worst, o.Worst); t.Starts == 0 {
		t.Worst = o.Worst
	}
	t.Used = weighed(t.Used, t.Starts, o.Used, o.Starts)
	t.Served = weighed(t.Served, t.Asked, o.Served, o.Asked)
	t.Starts, t.Falls, t.Broken, t.Asked = t.Starts+o.Starts, t.Falls+o.Falls, t.Broken+o.Broken, t.Asked+o.Asked
}

func weighed(a float64, n int, b float64, m int) float64 {
	return (a*float64(n) + b*float64(m)) / float64(max(1, n+m))
}

const (
	epoch     = time.Hour // the nodes' clock at the beginning; 0 means long ago
	settled   = 7 * time.Second
	length    = 18 * time.Second // of one run
	patience  = time.Second      // of a client
	crossing  = time.Millisecond // a message takes as long
	slots     = 2
	queueMost = 8
	triesMost = 4 // of a client
)

var works = [2]float64{0.7, 1.6} // of the two classes' requests, in those of mean work;
const heavy = 1.0 / 3            // of the second class

type kind uint8

const (
	evArrive kind = iota
	evTick
	evNews
	evReach
	evDone
	evOutcome
	evStart
	evSilent
	evLeaving
	evLeft
)

type event struct {
	at     time.Duration
	seq    int
	kind   kind
	node   int
	server *server
	call   *call
	entry  policy.Entry
	index  int
	launch int
	result policy.Outcome
}

type agenda []event

func (a agenda) Len() int { return len(a) }
func (a agenda) Less(i, j int) bool {
	return a[i].at < a[j].at || a[i].at == a[j].at && a[i].seq < a[j].seq
}
func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)   { *a = append(*a, x.(event)) }
func (a *agenda) Pop() any {
	old := *a
	x := old[len(old)-1]
	*a = old[:len(old)-1]
	return x
}

// call is a client's request at one node; a client's repeat is a new one.
type call struct {
	id       string
	class    int
	node     int
	begun    time.Duration // when the client first asked
	tries    int
	attempts int
	sent     time.Duration // the latest attempt,
	open     bool          // which has no outcome yet
	over     bool
}

type server struct {
	policy.Entry
	silent   bool
	failing  bool
	busy     int
	queue    []waiting
	start    *start // its latest, while it is cold
	launches int    // work of an earlier process is lost
}

type waiting struct {
	call  *call
	index int
}

type send struct {
	at   time.Duration
	work float64
	told bool
}

// start is one of a cold server.
type start struct {
	window    []send
	sum, told float64
	fell      bool
	used      float64
	windows   int
}

type world struct {
	Case
	rng     *rand.Rand
	now     time.Duration
	seq     int
	agenda  agenda
	nodes   []*policy.Balancer
	told    []map[uint32]time.Duration // latest start that a node was told of
	weights []float64                  // running sum of the nodes' parts of all requests
	servers map[uint32]*server
	order   []*server
	starts  []*start
	rate    func(at time.Duration) float64
	asked   int
	served  int
	calls   int
	next    uint32
	worst   float64
	out     []policy.Action
}

// Run plays a case once.
func Run(c Case, seed uint64) (Tally, error) {
	w := &world{Case: c, rng: rand.New(rand.NewPCG(seed, 7)), now: epoch, servers: map[uint32]*server{}, worst: math.Inf(-1)}
	set := policy.Settings{Nodes: c.Nodes, MaxAttempts: 4, Cancel: true, RetryAfter: time.Second, DrainGrace: time.Second,
		ColdShare: c.Share, ColdFor: c.ColdFor, FallFactor: c.Multiple, FallFor: c.FallFor, OverShare: 1,
		Classes: []policy.Class{{Name: "0", Aim: patience / 2, Deadline: patience, Worth: 1}, {Name: "1", Aim: patience / 2, Deadline: patience, Worth: 2}}}
	if c.Trouble == Blind {
		set.ColdShare, set.FallFactor = 1, 1e3
	}
	sum := 0.0
	for i := range c.Nodes {
		set.Zone = zone(i)
		b, err := policy.New(set, seed<<32+uint64(i))
		if err != nil {
			return Tally{}, fmt.Errorf("coldsum: %w", err)
		}
		w.nodes, w.told = append(w.nodes, b), append(w.told, map[uint32]time.Duration{})
		sum += math.Exp(0.7 * w.rng.NormFloat64()) // some see several times the mean
		w.weights = append(w.weights, sum)
	}
	w.rate = func(time.Duration) float64 { return 1 }
	for range c.Servers {
		if s := w.add(); c.Trouble == AllCold {
			w.launch(s)
			for _, told := range w.told {
				told[s.ID] = w.now // with the first list
			}
		}
	}
	whole := policy.Event{Kind: policy.EvList, List: policy.ListFull}
	for _, s := range w.order {
		whole.Entries = append(whole.Entries, s.Entry)
	}
	for i := range w.nodes {
		w.out = w.nodes[i].Handle(w.now, &whole, w.out[:0])
		w.put(event{at: w.now + w.random(250*time.Millisecond), kind: evTick, node: i})
	}
	w.script()
	w.put(event{at: w.now, kind: evArrive})
	for len(w.agenda) > 0 {
		e := heap.Pop(&w.agenda).(event)
		if w.now = e.at; w.now > epoch+length {
			break
		}
		w.play(&e)
	}
	t := Tally{Starts: len(w.starts), Worst: w.worst, Asked: w.asked, Served: float64(w.served) / float64(max(1, w.asked))}
	for _, s := range w.starts {
		if s.fell {
			t.Falls++
		}
		if s.told > 0 && s.fell {
			t.Broken++
		}
		t.Used += s.used / float64(max(1, s.windows)) / float64(len(w.starts))
	}
	return t, nil
}

func (w *world) put(e event) {
	w.seq++
	e.seq = w.seq
	heap.Push(&w.agenda, e)
}

func (w *world) random(d time.Duration) time.Duration {
	return time.Duration(w.rng.Float64() * float64(d))
}

// add makes a server that started long ago.
func (w *world) add() *server {
	w.next++
	s := &server{Entry: policy.Entry{ID: w.next, Zone: zone(int(w.next)), Kind: "k"}}
	w.servers[s.ID] = s
	w.order = append(w.order, s)
	return s
}

func zone(i int) string { return string(rune('a' + i%3)) }

// tell lets every node know of a server, each within 0.15 s.
func (w *world) tell(s *server) {
	for i := range w.nodes {
		w.put(event{at: w.now + 20*time.Millisecond + w.random(130*time.Millisecond), kind: evNews, node: i, entry: s.Entry})
	}
}

// script schedules what befalls the fleet.
func (w *world) script() {
	begin := epoch + settled
	some := func(part float64) []*server {
		order := w.rng.Perm(len(w.order))[:max(1, int(part*float64(w.Servers)))]
		chosen := make([]*server, len(order))
		for i, k := range order {
			chosen[i] = w.order[k]
		}
		return chosen
	}
	burst := func(at time.Duration) {
		w.rate = func(now time.Duration) float64 {
			if now >= at && now < at+4*time.Second {
				return 1.5
			}
			return 1
		}
	}
	switch w.Trouble {
	case Steady:
		for i, s := range some(0.3) {
			w.put(event{at: begin + time.Duration(i)*9*time.Second/time.Duration(max(1, w.Servers*3/10)), kind: evStart, server: s})
		}
	case Burst, Blind:
		burst(begin + time.Second)
		for _, s := range some(0.3) {
			w.put(event{at: begin + w.random(2*time.Second), kind: evStart, server: s})
		}
	case Zone:
		for _, s := range some(1.0 / 3) {
			w.put(event{at: begin, kind: evSilent, server: s})
			w.put(event{at: begin + 5*time.Second + w.random(200*time.Millisecond), kind: evStart, server: s})
		}
	case Replace:
		for _, s := range some(0.6) {
			w.put(event{at: begin + w.random(7*time.Second), kind: evLeaving, server: s})
		}
	case Repeats:
		burst(begin + 2*time.Second)
		for _, s := range some(0.1) {
			s.failing = true
		}
		for _, s := range some(0.3) {
			w.put(event{at: begin + w.random(4*time.Second), kind: evStart, server: s})
		}
	}
}
