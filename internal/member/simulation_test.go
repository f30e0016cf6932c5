package member

import (
	"container/heap"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
)

const second = time.Second

// secrets are the keys of a virtual world: who lacks a name's secret can't sign for it. They cost less than Ed25519.
type testKeys struct {
	secretByName map[string]uint64
	own          string
}

func (s testKeys) mac(name string, b []byte) []byte {
	d := xxhash.NewWithSeed(s.secretByName[name])
	d.Write(b)
	return binary.LittleEndian.AppendUint64(nil, d.Sum64())
}

func (s testKeys) Sign(b []byte) []byte { return s.mac(s.own, b) }

func (s testKeys) Verify(name string, b, sig []byte) error {
	if _, known := s.secretByName[name]; !known {
		return ErrStranger
	}
	if string(s.mac(name, b)) != string(sig) {
		return ErrSignature
	}
	return nil
}

// world is members in virtual time on a network that loses and delays packets.
type simulation struct {
	rng         *rand.Rand
	now         time.Duration
	events      eventQueue
	seq         int
	secrets     map[string]uint64
	members     []*Member // nil: it is not there
	byAddr      map[string]int
	loss        float64
	slow        map[int]bool                // takes up to two seconds over anything
	frozen      map[int]time.Duration       // does nothing until then
	cut         func(from, to int) bool     // nil: nobody is cut off
	intercept   func(from int, o Out) []Out // what a member really sends; nil: that
	maxIncSeen  map[string]uint64           // highest incarnation of each that anybody was seen to hold
	falselyDead map[string]int              // living members that some living member held for dead
	violations  []string
	bytes       []int64
	started     time.Duration
	each        func()
}

type event struct {
	at   time.Duration
	seq  int
	to   int
	from string
	data []byte // nil: a tick
}

type eventQueue []event

func (a eventQueue) Len() int { return len(a) }
func (a eventQueue) Less(i, j int) bool {
	return a[i].at < a[j].at || a[i].at == a[j].at && a[i].seq < a[j].seq
}
func (a eventQueue) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *eventQueue) Push(x any)   { *a = append(*a, x.(event)) }
func (a *eventQueue) Pop() any {
	last := len(*a) - 1
	e := (*a)[last]
	*a = (*a)[:last]
	return e
}

func newSimulation(n int, seed uint64) *simulation {
	w := &simulation{rng: rand.New(rand.NewPCG(seed, 77)), secrets: map[string]uint64{}, byAddr: map[string]int{}, slow: map[int]bool{},
		frozen: map[int]time.Duration{}, maxIncSeen: map[string]uint64{}, falselyDead: map[string]int{}, bytes: make([]int64, n)}
	for i := range n {
		w.secrets[memberName(i)] = w.rng.Uint64()
	}
	w.members = make([]*Member, n)
	for i := range n {
		w.start(i, uint64(1000+i))
	}
	return w
}

func memberName(i int) string { return fmt.Sprint("m", i) }
func memberAddr(i int) string { return fmt.Sprint("a", i) }

func (w *simulation) keys(i int) testKeys { return testKeys{w.secrets, memberName(i)} }

func (w *simulation) start(i int, inc uint64) {
	w.byAddr[memberAddr(i)] = i
	w.members[i] = New(w.now, memberName(i), memberAddr(i), inc, Usual(), w.keys(i), rand.New(rand.NewPCG(w.rng.Uint64(), uint64(i))), memberAddr(0), memberAddr(1))
	w.schedule(w.now+time.Duration(w.rng.Int64N(int64(second))), event{to: i})
}

func (w *simulation) schedule(t time.Duration, e event) {
	e.at, e.seq = max(t, w.now), w.seq
	w.seq++
	heap.Push(&w.events, e)
}

// send puts packets on the network.
func (w *simulation) send(from int, outs []Out) {
	for _, o := range outs {
		all := []Out{o}
		if w.intercept != nil {
			all = w.intercept(from, o)
		}
		for _, o := range all {
			w.bytes[from] += int64(len(o.Data))
			to, known := w.byAddr[o.Addr]
			if !known || w.cut != nil && w.cut(from, to) || !o.TCP && w.rng.Float64() < w.loss {
				continue
			}
			delay := time.Duration(1+w.rng.IntN(5)) * time.Millisecond
			if w.slow[from] {
				delay += time.Duration(w.rng.Int64N(int64(2 * second)))
			}
			w.schedule(w.now+delay, event{to: to, from: memberAddr(from), data: o.Data})
		}
	}
}

// run plays until then, and checks the oracles as it goes.
func (w *simulation) run(until time.Duration) {
	for len(w.events) > 0 && w.events[0].at <= until {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		m := w.members[e.to]
		if m == nil {
			continue
		}
		if f := w.frozen[e.to]; w.now < f {
			w.schedule(f, event{to: e.to, from: e.from, data: e.data})
			continue
		}
		before := m.Inc()
		if e.data == nil {
			out, next := m.Tick(w.now)
			w.send(e.to, out)
			if !m.stopped {
				w.schedule(next, event{to: e.to})
			}
		} else {
			out, _ := m.Receive(w.now, e.from, e.data)
			w.send(e.to, out)
		}
		if m.Inc() < before {
			w.violations = append(w.violations, fmt.Sprintf("%v: the incarnation of %s goes back", w.now, m.name))
		}
		w.checkBeliefs(e.to, m)
	}
	w.now = until
}

// look checks a member's beliefs: no incarnation that its owner never had, none that goes back.
func (w *simulation) checkBeliefs(i int, m *Member) {
	for n, p := range m.peers {
		if p.State == Dead {
			if k := memberIndex(n); w.members[k] != nil && !w.members[k].stopped && p.Inc > 0 {
				key := m.name + " " + n
				if w.falselyDead[key] == 0 {
					w.falselyDead[key] = 1
				}
			}
		}
		if p.Inc > w.maxIncSeen[n] {
			w.maxIncSeen[n] = p.Inc
			if o := w.members[memberIndex(n)]; o != nil && p.Inc > o.Inc() {
				w.violations = append(w.violations, fmt.Sprintf("%v: %s holds incarnation %d of %s, who is at %d", w.now, m.name, p.Inc, n, o.Inc()))
			}
		}
	}
}

func memberIndex(n string) int {
	var i int
	fmt.Sscanf(n, "m%d", &i)
	return i
}

// knows counts living members that hold another for something.
func (w *simulation) countHolding(i int, s State) (n int) {
	for k, m := range w.members {
		if m == nil || m.stopped || k == i {
			continue
		}
		if p := m.peers[memberName(i)]; p != nil && p.State == s {
			n++
		}
	}
	return
}

// joined tells whether all living members hold all living others for alive.
func (w *simulation) joined() bool {
	for i, m := range w.members {
		if m == nil || m.stopped {
			continue
		}
		for k, o := range w.members {
			if i == k || o == nil || o.stopped {
				continue
			}
			if p := m.peers[memberName(k)]; p == nil || p.State > Suspect {
				return false
			}
		}
	}
	return true
}
