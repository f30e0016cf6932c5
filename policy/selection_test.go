package policy

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"testing"
	"time"
)

// Nodes with few attempts in flight each must not choose the same servers: a local attempt stands for one of each node.
func TestLocalAttemptsStandForThoseOfAllNodes(t *testing.T) {
	b := newNode(t, defaultSettings(func(s *Settings) { s.Nodes = 8 }), Entry{ID: 1, Zone: "a"}, Entry{ID: 2, Zone: "a"})
	used, unused := b.servers[1], b.servers[2]
	to := map[uint32]int{}
	for i := 0; i < 200; i++ {
		setOccupancy(used, t0, 4)
		setOccupancy(unused, t0, 6) // by reports alone the other one is much better
		used.localInFlight = 1
		to[submit(b, t0, string(rune(1000+i)), "low").Server]++
	}
	if to[1] >= to[2] {
		t.Errorf("%d of 200 requests went to the server that this node, and so perhaps each of 8, has used, want less than half",
			to[1])
	}
}

func TestLocalZoneIsPreferred(t *testing.T) {
	b := newNode(t, defaultSettings(), Entry{ID: 1, Zone: "a"}, Entry{ID: 2, Zone: "b"})
	to := map[uint32]int{}
	for i := 0; i < 300; i++ {
		setOccupancy(b.servers[1], t0, 1)
		setOccupancy(b.servers[2], t0, 1)
		to[submit(b, t0, string(rune(1000+i)), "top").Server]++
	}
	if to[1] < 150 || to[2] < 60 {
		t.Errorf("300 requests to equal servers in the local zone and in another: %v, want about 180 and 120", to)
	}
}

// EvSetWeight lowers a server's share of the selections or limits its concurrent requests, until it is set back to the
// usual; a server that operators enable again keeps its weight.
func TestServerWeightAndConcurrencyLimit(t *testing.T) {
	b := newNode(t, defaultSettings(), Entry{ID: 1, Zone: "a"}, Entry{ID: 2, Zone: "a"})
	setWeight := func(weight float64, maxConcurrent int) {
		b.Handle(t0, &Event{Kind: EvSetWeight, Server: 1, Weight: weight, MaxConcurrent: maxConcurrent}, nil)
	}
	requests := 0
	share := func(held float64) float64 {
		to := map[uint32]int{}
		for range 400 {
			setOccupancy(b.servers[1], t0, held)
			setOccupancy(b.servers[2], t0, held)
			requests++
			to[submit(b, t0, strconv.Itoa(requests), "top").Server]++
		}
		return float64(to[1]) / 400
	}
	b.Handle(t0, &Event{Kind: EvSetWeight, Server: 7, Weight: 1}, nil)
	for _, c := range []struct{ weight, low, high float64 }{{1, 0.4, 0.6}, {0.25, 0.12, 0.28}, {0, 0, 0.01}, {7, 0.4, 0.6}} {
		setWeight(c.weight, 0)
		if got := share(1); got < c.low || got > c.high {
			t.Errorf("weight %v: unexpected share of the selections: %v", c.weight, got)
		}
	}
	setWeight(1, 2)
	if got := share(1); got < 0.4 {
		t.Errorf("below its limit: %v of the selections, want at least 0.4", got)
	}
	setWeight(1, 1)
	if got := share(1); got != 0 {
		t.Errorf("at its limit: %v of the selections, want none", got)
	}
	setWeight(0.25, 0)
	b.Handle(t0, &Event{Kind: EvDisable, Server: 1}, nil)
	b.Handle(t0, &Event{Kind: EvEnable, Server: 1}, nil)
	if got := b.servers[1].weightReduction; got != 0.75 {
		t.Errorf("enabled again: weight lower by %v, want 0.75", got)
	}
}

// A long list is sampled: equal servers get equal shares, an overloaded one gets few requests, a disabled one none, and
// where all but a few are full those few are found.
func TestSelectionFromALongList(t *testing.T) {
	const n, requests = 300, 60000
	b := newNode(t, defaultSettings(), manyServers(n)...)
	now := t0
	got := make([]int, n+1)
	b.Handle(now, &Event{Kind: EvDisable, Server: 7}, nil)
	for i := range requests {
		setOccupancy(b.servers[9], now, 3)
		a := submit(b, now, fmt.Sprint(i), "read")
		if a.Kind != ActSend {
			t.Fatalf("request %d: %+v, want a send", i, a)
		}
		got[a.Server]++
		b.Handle(now, &Event{Kind: EvOutcome, ID: fmt.Sprint(i), Server: a.Server, Outcome: OK, Final: true,
			Elapsed: time.Millisecond, Load: Load{Queue: -1, Held: -1}}, nil)
		b.servers[a.Server].Latency, b.servers[a.Server].Occupancy = 0, 0 // so that they stay equal
	}
	zone := func(z int) (sum, low, high int) {
		low = requests
		for id := 1; id <= n; id++ {
			if (id-1)%3 == z && id != 7 && id != 9 {
				sum, low, high = sum+got[id], min(low, got[id]), max(high, got[id])
			}
		}
		return
	}
	for z := range 3 {
		sum, low, high := zone(z)
		mean := float64(sum) / 99
		if float64(low) < mean-6*math.Sqrt(mean) || float64(high) > mean+6*math.Sqrt(mean) {
			t.Errorf("zone %d: equal servers got %d to %d requests, want about %.0f each", z, low, high, mean)
		}
	}
	if got[7] > 0 || got[9] > requests/n/10 {
		t.Errorf("the disabled server got %d requests, the overloaded one %d, want none and few", got[7], got[9])
	}
	for id, s := range b.servers {
		if id%20 != 0 {
			setOccupancy(s, now, 1000)
		}
	}
	sent := 0
	for i := range 200 {
		if a := submit(b, now, fmt.Sprint("x", i), "read"); a.Kind == ActSend && a.Server%20 == 0 {
			sent++
			b.Handle(now, &Event{Kind: EvOutcome, ID: fmt.Sprint("x", i), Server: a.Server, Outcome: OK, Final: true,
				Elapsed: time.Millisecond, Load: Load{Queue: -1, Held: -1}}, nil)
		} else if a.Kind == ActSend {
			t.Fatalf("sent to server %d, which is full", a.Server)
		}
	}
	if sent < 180 { // one server in twenty has capacity: among 72 that are looked at there is one in 97% of selections
		t.Errorf("only %d of 200 requests found a server with capacity, want at least 180", sent)
	}
}

// A keyed request that may have run is retried only within its cell, also where the list is long.
func TestRetriesStayInTheirCellOfALongList(t *testing.T) {
	b := newNode(t, defaultSettings(func(s *Settings) {
		s.Classes = append(s.Classes, Class{Name: "by-cell", Deadline: 10 * time.Second, TargetLatency: 5 * time.Second, Value: 1,
			Effect: Keyed, Group: GroupCell, Window: 5 * time.Second})
	}), manyServers(400)...)
	retries := 0
	for i := range 200 {
		id := fmt.Sprint(i)
		first := lastAction(b.Handle(t0, &Event{Kind: EvRequest, ID: id, Class: "by-cell", TimeLeft: 5 * time.Second}, nil))
		next := lastAction(b.Handle(t0+time.Millisecond, &Event{Kind: EvOutcome, ID: id, Server: first.Server, Outcome: Reset,
			Load: Load{Queue: -1, Held: -1}}, nil))
		if next.Kind == ActSend {
			retries++
			if (next.Server-1)/4 != (first.Server-1)/4 {
				t.Fatalf("may have run at server %d, retried at %d of another cell", first.Server, next.Server)
			}
		}
	}
	if retries == 0 {
		t.Error("no request was retried")
	}
}

// A request that is limited to a long list of candidates goes to one of them, whatever was selected recently for
// others.
func TestManyCandidates(t *testing.T) {
	b := newNode(t, defaultSettings(), manyServers(300)...)
	var first40 []uint32
	for id := uint32(1); id <= 40; id++ {
		first40 = append(first40, id)
	}
	for i := range 600 {
		id, candidates := fmt.Sprint(i), first40
		if i%2 == 0 {
			candidates = nil
		}
		a := lastAction(b.Handle(t0,
			&Event{Kind: EvRequest, ID: id, Class: "read", TimeLeft: time.Second, Candidates: candidates}, nil))
		if candidates != nil && a.Server > 40 {
			t.Fatalf("request %d with the first 40 servers as candidates went to %d", i, a.Server)
		}
		b.Handle(t0, &Event{Kind: EvOutcome, ID: id, Server: a.Server, Outcome: OK, Final: true, Elapsed: time.Millisecond,
			Load: Load{Queue: -1, Held: -1}}, nil)
	}
}

// A request with candidates goes to no other server, and neither do its retries; without any candidate in the list it
// is refused at once.
func TestCandidates(t *testing.T) {
	for _, n := range []int{10, 300} {
		b := newNode(t, defaultSettings(), manyServers(n)...)
		candidates := []uint32{2, 5, 9}
		for i := range 50 {
			id := fmt.Sprint(i)
			a := lastAction(b.Handle(t0,
				&Event{Kind: EvRequest, ID: id, Class: "read", TimeLeft: time.Second, Candidates: candidates}, nil))
			for range 3 {
				if a.Kind != ActSend {
					break
				}
				if !slices.Contains(candidates, a.Server) {
					t.Fatalf("sent to server %d, which is not a candidate", a.Server)
				}
				a = lastAction(b.Handle(t0, &Event{Kind: EvOutcome, ID: id, Server: a.Server, Attempt: a.Attempt,
					Outcome: QueueFull, Load: Load{Queue: -1, Held: -1}}, nil))
			}
		}
		for _, empty := range [][]uint32{{}, {4000}} {
			if a := lastAction(b.Handle(t0, &Event{Kind: EvRequest, ID: "none", Class: "read", TimeLeft: time.Second,
				Candidates: empty}, nil)); a.Kind != ActRefuse {
				t.Errorf("candidates %v: %+v, want a refusal", empty, a)
			}
		}
	}
}
