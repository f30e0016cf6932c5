package health

import (
	"math/rand/v2"
	"testing"
	"time"
)

// 100 nodes check 10,000 servers in virtual time. No server may get more probes than its limit, no node may send more
// than its own, each server must be probed again and again, and a node has one probe of a server in flight at most.
func TestProbeBudget(t *testing.T) {
	const servers, nodes = 10000, 100
	const seconds = 400
	settings := ProbeSettings{Interval: 2 * sec, IntervalFactor: 4, MaxPerServer: 1, MaxRate: 150, Nodes: nodes, Jitter: 0.1}
	rng := rand.New(rand.NewPCG(1, 2))
	probes := make([]int, servers)
	for range 5 { // all nodes behave alike: five of them stand for the hundred
		s := NewSchedule(settings, rng.Float64)
		for id := range uint32(servers) {
			s.Add(0, id)
		}
		probed, sent, inFlight := make([]int, servers), 0, map[uint32]bool{}
		for now := time.Duration(0); now < seconds*sec; now += 10 * time.Millisecond {
			for id := range inFlight { // each probe takes one step
				delete(inFlight, id)
				s.Done(now, id, false)
			}
			inStep := 0
			for {
				id, ok, wait := s.Next(now)
				if !ok {
					if wait <= 0 {
						t.Fatal("nothing is due, but the wait is not positive")
					}
					break
				}
				if inFlight[id] {
					t.Fatal("two probes of one server in flight at once")
				}
				inFlight[id] = true
				probed[id]++
				sent++
				inStep++
			}
			if inStep > 16 {
				t.Fatalf("%d probes in one step of 10 ms, want at most 16", inStep)
			}
		}
		if sent > 150*seconds+15 {
			t.Errorf("a node sent %d probes in %d s", sent, seconds)
		}
		for id, n := range probed {
			probes[id] += n
			if n < 2 {
				t.Fatalf("server %d was probed %d times in %d s", id, n, seconds)
			}
		}
	}
	maxProbes := 0
	for _, n := range probes {
		maxProbes = max(maxProbes, n)
	}
	// Five of a hundred nodes may send a twentieth of the probes that a server may get.
	if bound := seconds*1*5/100 + 5; maxProbes > bound {
		t.Errorf("a server got %d probes from five nodes, want at most %d", maxProbes, bound)
	}
}

// A server whose real requests succeed is probed less often, a new one within an interval, one that is asked for at
// once, and a removed one not again.
func TestScheduleOrder(t *testing.T) {
	settings := ProbeSettings{Interval: sec, IntervalFactor: 4, MaxPerServer: 100, MaxRate: 100, Nodes: 1, Jitter: 0}
	s := NewSchedule(settings, func() float64 { return 0.5 })
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
	s.Done(sec, 1, true) // a second call has no effect
	if _, ok, wait := s.Next(sec); ok || wait != 4*sec {
		t.Error("a server whose real requests succeed: ", ok, wait)
	}
	s.Add(sec, 2)
	if _, ok, wait := s.Next(sec); ok || wait != sec/2 {
		t.Error("a new server: ", ok, wait)
	}
	s.ProbeNow(sec, 2)
	s.ProbeNow(sec, 9)
	if _, ok, wait := s.Next(sec); ok && wait == 0 {
		s.Done(sec, 2, false)
		s.ProbeNow(sec, 2)
	} else {
		t.Error("a server is not due after ProbeNow")
	}
	if id, _, _ := s.Next(2 * sec); id != 2 {
		t.Error(id)
	}
	s.Remove(2) // while its probe is in flight
	s.Done(3*sec, 2, false)
	s.Remove(1)
	s.Remove(1)
	if _, ok, _ := s.Next(time.Hour); ok || len(s.queue) != 0 || len(s.entries) != 0 {
		t.Error("entries are left after all servers were removed")
	}
}

func BenchmarkSchedule(b *testing.B) {
	s := NewSchedule(ProbeSettings{Interval: 2 * sec, MaxPerServer: 1e9, MaxRate: 1e12, Nodes: 1, Jitter: 0.1}, rand.Float64)
	for id := range uint32(10000) {
		s.Add(0, id)
	}
	tracker := NewTracker(DefaultRules(sec))
	for id := range uint32(10000) {
		tracker.Add(id)
	}
	b.ReportAllocs()
	now := time.Duration(0)
	for b.Loop() {
		now += 200 * time.Microsecond
		if id, ok, _ := s.Next(now); ok {
			tracker.RecordCheck(now, id, true, "")
			tracker.Evaluate(now, id)
			s.Done(now, id, tracker.ServesRequests(now, id))
		}
	}
}
