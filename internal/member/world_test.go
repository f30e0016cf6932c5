package member

import (
	"container/heap"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
)

const sec = time.Second

// secrets are the keys of a virtual world: who lacks a name's secret can't sign for it. They cost less than Ed25519.
type secrets struct {
	of  map[string]uint64
	own string
}

func (s secrets) mac(name string, b []byte) []byte {
	d := xxhash.NewWithSeed(s.of[name])
	d.Write(b)
	return binary.LittleEndian.AppendUint64(nil, d.Sum64())
}

func (s secrets) Sign(b []byte) []byte { return s.mac(s.own, b) }

func (s secrets) Verify(name string, b, sig []byte) error {
	if _, known := s.of[name]; !known {
		return ErrStranger
	}
	if string(s.mac(name, b)) != string(sig) {
		return ErrSignature
	}
	return nil
}

// world is members in virtual time on a network that loses and delays packets.
type world struct {
	rng     *rand.Rand
	now     time.Duration
	events  agenda
	seq     int
	secrets map[string]uint64
	members []*Member // nil: it is not there
	byAddr  map[string]int
	loss    float64
	slow    map[int]bool                // takes up to two seconds over anything
	frozen  map[int]time.Duration       // does nothing until then
	cut     func(from, to int) bool     // nil: nobody is cut off
	tap     func(from int, o Out) []Out // what a member really sends; nil: that
	settled map[string]uint64           // highest incarnation of each that anybody was seen to hold
	died    map[string]int              // living members that some living member held for dead
	broken  []string
	bytes   []int64
	started time.Duration
	each    func()
}

type event struct {
	at   time.Duration
	seq  int
	to   int
	from string
	data []byte // nil: a tick
}

type agenda []event

func (a agenda) Len() int { return len(a) }
func (a agenda) Less(i, j int) bool {
	return a[i].at < a[j].at || a[i].at == a[j].at && a[i].seq < a[j].seq
}
func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)   { *a = append(*a, x.(event)) }
func (a *agenda) Pop() any {
	last := len(*a) - 1
	e := (*a)[last]
	*a = (*a)[:last]
	return e
}

func newWorld(n int, seed uint64) *world {
	w := &world{rng: rand.New(rand.NewPCG(seed, 77)), secrets: map[string]uint64{}, byAddr: map[string]int{}, slow: map[int]bool{},
		frozen: map[int]time.Duration{}, settled: map[string]uint64{}, died: map[string]int{}, bytes: make([]int64, n)}
	for i := range n {
		w.secrets[name(i)] = w.rng.Uint64()
	}
	w.members = make([]*Member, n)
	for i := range n {
		w.start(i, uint64(1000+i))
	}
	return w
}

func name(i int) string { return fmt.Sprint("m", i) }
func addr(i int) string { return fmt.Sprint("a", i) }

func (w *world) keys(i int) secrets { return secrets{w.secrets, name(i)} }

func (w *world) start(i int, inc uint64) {
	w.byAddr[addr(i)] = i
	w.members[i] = New(w.now, name(i), addr(i), inc, Usual(), w.keys(i), rand.New(rand.NewPCG(w.rng.Uint64(), uint64(i))), addr(0), addr(1))
	w.at(w.now+time.Duration(w.rng.Int64N(int64(sec))), event{to: i})
}

func (w *world) at(t time.Duration, e event) {
	e.at, e.seq = max(t, w.now), w.seq
	w.seq++
	heap.Push(&w.events, e)
}

// send puts packets on the network.
func (w *world) send(from int, outs []Out) {
	for _, o := range outs {
		all := []Out{o}
		if w.tap != nil {
			all = w.tap(from, o)
		}
		for _, o := range all {
			w.bytes[from] += int64(len(o.Data))
			to, known := w.byAddr[o.Addr]
			if !known || w.cut != nil && w.cut(from, to) || !o.Large && w.rng.Float64() < w.loss {
				continue
			}
			delay := time.Duration(1+w.rng.IntN(5)) * time.Millisecond
			if w.slow[from] {
				delay += time.Duration(w.rng.Int64N(int64(2 * sec)))
			}
			w.at(w.now+delay, event{to: to, from: addr(from), data: o.Data})
		}
	}
}

// run plays until then, and checks the oracles as it goes.
func (w *world) run(until time.Duration) {
	for len(w.events) > 0 && w.events[0].at <= until {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		m := w.members[e.to]
		if m == nil {
			continue
		}
		if f := w.frozen[e.to]; w.now < f {
			w.at(f, event{to: e.to, from: e.from, data: e.data})
			continue
		}
		before := m.Inc()
		if e.data == nil {
			out, next := m.Tick(w.now)
			w.send(e.to, out)
			if !m.gone {
				w.at(next, event{to: e.to})
			}
		} else {
			out, _ := m.Receive(w.now, e.from, e.data)
			w.send(e.to, out)
		}
		if m.Inc() < before {
			w.broken = append(w.broken, fmt.Sprintf("%v: the incarnation of %s goes back", w.now, m.name))
		}
		w.look(e.to, m)
	}
	w.now = until
}

// look checks a member's beliefs: no incarnation that its owner never had, none that goes back.
func (w *world) look(i int, m *Member) {
	for n, p := range m.peers {
		if p.State == Dead {
			if k := index(n); w.members[k] != nil && !w.members[k].gone && p.Inc > 0 {
				key := m.name + " " + n
				if w.died[key] == 0 {
					w.died[key] = 1
				}
			}
		}
		if p.Inc > w.settled[n] {
			w.settled[n] = p.Inc
			if o := w.members[index(n)]; o != nil && p.Inc > o.Inc() {
				w.broken = append(w.broken, fmt.Sprintf("%v: %s holds incarnation %d of %s, who is at %d", w.now, m.name, p.Inc, n, o.Inc()))
			}
		}
	}
}

func index(n string) int {
	var i int
	fmt.Sscanf(n, "m%d", &i)
	return i
}

// knows counts living members that hold another for something.
func (w *world) knows(i int, s State) (n int) {
	for k, m := range w.members {
		if m == nil || m.gone || k == i {
			continue
		}
		if p := m.peers[name(i)]; p != nil && p.State == s {
			n++
		}
	}
	return
}

// joined tells whether all living members hold all living others for alive.
func (w *world) joined() bool {
	for i, m := range w.members {
		if m == nil || m.gone {
			continue
		}
		for k, o := range w.members {
			if i == k || o == nil || o.gone {
				continue
			}
			if p := m.peers[name(k)]; p == nil || p.State > Suspect {
				return false
			}
		}
	}
	return true
}
