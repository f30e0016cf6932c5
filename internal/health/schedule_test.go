package health

import (
	"math/rand/v2"
	"testing"
	"time"
)

// 100 nodes check 10,000 servers in virtual time: no server gets more probes than it may, no node makes more than it may, each
// server comes in its turn, and no two probes of one node at one server are out at once.
func TestProbeBudget(t *testing.T) {
	const servers, nodes = 10000, 100
	const seconds = 400
	p := Pace{Interval: 2 * sec, Calm: 4, PerServer: 1, Rate: 150, Nodes: nodes, Jitter: 0.1}
	rng := rand.New(rand.NewPCG(1, 2))
	per := make([]int, servers)
	for range 5 { // nodes alike: a few show what each does
		s := NewSchedule(p, rng.Float64)
		for id := range uint32(servers) {
			s.Add(0, id)
		}
		seen, made, out := make([]int, servers), 0, map[uint32]bool{}
		for now := time.Duration(0); now < seconds*sec; now += 10 * time.Millisecond {
			for id := range out { // each takes until the next look
				delete(out, id)
				s.Done(now, id, false)
			}
			inStep := 0
			for {
				id, ok, wait := s.Next(now)
				if !ok {
					if wait <= 0 {
						t.Fatal("nothing is due, and no wait is told")
					}
					break
				}
				if out[id] {
					t.Fatal("two probes of one server at once")
				}
				out[id] = true
				seen[id]++
				made++
				inStep++
			}
			if inStep > 16 {
				t.Fatalf("%d probes at once", inStep)
			}
		}
		if made > 150*seconds+15 {
			t.Errorf("%d probes in %d s", made, seconds)
		}
		for id, n := range seen {
			per[id] += n
			if n < 2 {
				t.Fatalf("server %d was probed %d times in %d s", id, n, seconds)
			}
		}
	}
	most := 0
	for _, n := range per {
		most = max(most, n)
	}
	// Five of a hundred nodes may make a twentieth of what a server may get.
	if bound := seconds*1*5/100 + 5; most > bound {
		t.Errorf("a server got %d probes of five nodes, %d are its bound", most, bound)
	}
}

// Where real requests speak probes are seldom, one that is new comes soon, and one that has gone is not probed again.
func TestSchedule(t *testing.T) {
	p := Pace{Interval: sec, Calm: 4, PerServer: 100, Rate: 100, Nodes: 1, Jitter: 0}
	s := NewSchedule(p, func() float64 { return 0.5 })
	s.Add(0, 1)
	s.Add(0, 1)
	if _, ok, wait := s.Next(0); ok || wait != sec/2 {
		t.Fatal(ok, wait)
	}
	id, ok, _ := s.Next(sec / 2)
	if !ok || id != 1 {
		t.Fatal(id, ok)
	}
	s.Done(sec, 1, true)
	s.Done(sec, 1, true) // once is enough
	if _, ok, wait := s.Next(sec); ok || wait != 4*sec {
		t.Error("spoken for: ", ok, wait)
	}
	s.Add(sec, 2)
	if _, ok, wait := s.Next(sec); ok || wait != sec/2 {
		t.Error("a new one: ", ok, wait)
	}
	s.Sooner(sec, 2)
	s.Sooner(sec, 9)
	if _, ok, wait := s.Next(sec); ok && wait == 0 {
		s.Done(sec, 2, false)
		s.Sooner(sec, 2)
	} else {
		t.Error("one that is to be probed sooner is not")
	}
	if id, _, _ := s.Next(2 * sec); id != 2 {
		t.Error(id)
	}
	s.Remove(2) // while its probe is out
	s.Done(3*sec, 2, false)
	s.Remove(1)
	s.Remove(1)
	if _, ok, _ := s.Next(time.Hour); ok || len(s.due) != 0 || len(s.of) != 0 {
		t.Error("something is left")
	}
}

func BenchmarkSchedule(b *testing.B) {
	s := NewSchedule(Pace{Interval: 2 * sec, PerServer: 1e9, Rate: 1e12, Nodes: 1, Jitter: 0.1}, rand.Float64)
	for id := range uint32(10000) {
		s.Add(0, id)
	}
	book := NewBook(Usual(sec))
	for id := range uint32(10000) {
		book.Add(id)
	}
	b.ReportAllocs()
	now := time.Duration(0)
	for b.Loop() {
		now += 200 * time.Microsecond
		if id, ok, _ := s.Next(now); ok {
			book.Check(now, id, true, "")
			book.Weigh(now, id)
			s.Done(now, id, book.Spoken(now, id))
		}
	}
}
