package cell

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"portstall/policy"
)

// terms pin one tenant, which moves at 100 s and is cut over at 130.
func testSettings(size int, spill float64) Terms {
	return Terms{Plan: Plan{Size: size}, Tenants: []Tenant{*tenantWithMove(nil)}, Doubt: Doubt{Marked: true, Skew: second}, Memory: 1000, Spill: spill}
}

// What a placer keeps while servers come and go is what one says that is made anew: for tenants that are pinned nowhere, for
// those on both sides of a move, for keys.
func TestUpdatedPlacerEqualsNewPlacer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(1, 5).Draw(t, "size")
		kept, now := NewPlacer(testSettings(size, 0)), map[string]Server{}
		asks := []Request{{Tenant: "valley"}, {Tenant: "valley", Key: "k", Window: 12 * second}}
		for i := range 6 {
			asks = append(asks, Request{Tenant: fmt.Sprint("t", i)})
		}
		for step := range rapid.IntRange(1, 80).Draw(t, "changes") {
			n := rapid.IntRange(0, 30).Draw(t, "id")
			s := Server{ID: fmt.Sprint("s-", n), Number: uint32(n), Zone: fmt.Sprint("z", n%rapid.IntRange(1, 3).Draw(t, "zones")), Pod: rapid.Int64Range(1, 6).Draw(t, "pod")}
			if rapid.IntRange(0, 2).Draw(t, "goes") == 0 {
				kept.Remove(s.ID)
				delete(now, s.ID)
			} else {
				kept.Set(s)
				now[s.ID] = s
			}
			anew := NewPlacer(testSettings(size, 0))
			for _, s := range now {
				anew.Set(s)
			}
			at := time.Duration([]int{50, 115, 160}[step%3]) * second
			for i := range asks {
				got, _ := kept.Place(at, &asks[i])
				want, _ := anew.Place(at, &asks[i])
				if got == nil || !slices.Equal(slices.Sorted(slices.Values(got)), slices.Sorted(slices.Values(want))) {
					t.Fatalf("%+v at %v: %v, made anew %v", asks[i], at, got, want)
				}
				if i > 1 {
					continue
				}
				for _, id := range got { // never outside the pods of the step
					pod := now[fmt.Sprint("s-", id)].Pod
					if at < 110*second && pod > 3 || at > 130*second && pod < 4 {
						t.Fatalf("%+v at %v: pod %d", asks[i], at, pod)
					}
				}
			}
		}
	})
}

// A request with a key goes to one pod at all nodes; one that is in doubt goes nowhere, unless the node itself has sent it.
func TestKeyedRequestsGoToOnePod(t *testing.T) {
	p := NewPlacer(testSettings(6, 0))
	pods := map[uint32]int64{}
	for i, s := range newServers(24, 1, 6) {
		s.Pod, s.Number = s.Pod+1, uint32(i)
		pods[s.Number] = s.Pod
		p.Set(s)
	}
	key := ""
	for i := 0; ; i++ {
		if key = fmt.Sprint("k", i); Home(Key("valley", key), []int64{1, 2, 3}) != Home(Key("valley", key), []int64{4, 5, 6}) {
			break
		}
	}
	ask := &Request{Tenant: "valley", Key: key, Window: 12 * second, Repeat: true}
	among, doubt := p.Place(125*second, ask)
	for _, s := range among {
		if pods[s] != Home(Key("valley", key), []int64{1, 2, 3}) {
			t.Errorf("server %d of pod %d", s, pods[s])
		}
	}
	if doubt || len(among) != 4 {
		t.Fatal(among, doubt)
	}
	if _, doubt = p.Place(131*second, ask); !doubt {
		t.Error("a repeat across the cut is not in doubt")
	}
	p.Sent(125*second, ask, pods[among[0]])
	again, doubt := p.Place(131*second, ask)
	if doubt || !slices.Equal(again, among) {
		t.Errorf("what the node sent itself is in doubt: %v, %v", again, doubt)
	}
	if _, doubt = p.Place(138*second, ask); !doubt {
		t.Error("its window is over, and another node's may not be")
	}
	if r := p.Report(131*second, "valley"); r.Step != Draining || r.Keys != 1 || !slices.Equal(r.Pods, []int64{4, 5, 6}) || len(r.Servers) != 6 {
		t.Errorf("%+v", r)
	}
	// Other terms: turned back. What is remembered stays.
	back := testSettings(6, 0)
	back.Tenants[0].Moves[0].Back = 132 * second
	p.Change(back)
	if at, doubt := p.Place(133*second, ask); doubt || !slices.Equal(at, among) {
		t.Error(at, doubt)
	}
	if at, _ := p.Place(133*second, &Request{Tenant: "valley"}); pods[at[0]] > 3 {
		t.Errorf("turned back, and goes to pod %d", pods[at[0]])
	}
}

// No more than the stated part spills, to one neighbour alone, and nothing of a tenant whose attempts break, of a key that is
// bound or of a tenant that is pinned.
func TestSpillLimits(t *testing.T) {
	p := NewPlacer(testSettings(4, 0.1))
	for i, s := range newServers(200, 2, 10) {
		s.Number = uint32(i)
		p.Set(s)
	}
	ask := &Request{Tenant: "t"}
	spilt, to := 0, map[uint32]bool{}
	now := time.Duration(0)
	for range 5000 {
		now += second / 100
		p.Place(now, ask)
		if s := p.Spill(now, ask); s != nil {
			spilt++
			for _, id := range s {
				to[id] = true
			}
		}
		p.Ended(now, "t", policy.OK)
	}
	if spilt < 450 || spilt > 510 || len(to) != 4 {
		t.Errorf("%d of 5,000 spilt, to %d servers", spilt, len(to))
	}
	for name, r := range map[string]*Request{"a key that is bound": {Tenant: "t", Key: "k", Window: second}, "a pinned tenant": {Tenant: "valley"}} {
		for range 50 {
			p.Place(now, r)
		}
		if p.Spill(now, r) != nil {
			t.Errorf("%s spills", name)
		}
	}
	now += 20 * second
	for range 200 {
		p.Place(now, ask)
		p.Ended(now, "t", policy.OK)
	}
	for range 20 {
		p.Ended(now, "t", policy.Reset)
	}
	if p.Spill(now, ask) != nil || !p.Report(now, "t").Harmful {
		t.Error("a tenant whose attempts break spills")
	}
	now += 60 * second // it is long ago
	for range 200 {
		p.Place(now, ask)
		p.Ended(now, "t", policy.OK)
	}
	if p.Spill(now, ask) == nil {
		t.Error("a tenant is never forgiven")
	}
	for i := range 2 * maxTenants {
		p.Place(now, &Request{Tenant: fmt.Sprint("many-", i)})
	}
	if len(p.traffic) > maxTenants || len(p.subsets) > maxTenants {
		t.Errorf("%d tenants and %d subsets are remembered", len(p.traffic), len(p.subsets))
	}
}

// What a request costs, and a line of a list of 10,000 where 1,000 tenants have their subsets.
func BenchmarkPlacer(b *testing.B) {
	p := NewPlacer(testSettings(6, 0.1))
	all := newServers(10000, 3, 100)
	for i, s := range all {
		s.Number, s.Pod = uint32(i), s.Pod+1
		p.Set(s)
	}
	var asks []Request
	for i := range 1000 {
		asks = append(asks, Request{Tenant: fmt.Sprint("t", i)})
	}
	place := func() {
		for i := range asks {
			p.Place(second, &asks[i])
		}
	}
	place()
	b.Run("place", func(b *testing.B) {
		b.ReportAllocs()
		for i := range b.N {
			p.Place(second, &asks[i%1000])
		}
	})
	b.Run("bound", func(b *testing.B) {
		b.ReportAllocs()
		r := &Request{Tenant: "valley", Key: "k", Window: 12 * second}
		for range b.N {
			p.Place(second, r)
		}
	})
	b.Run("line", func(b *testing.B) { // a server goes and comes back, and all tenants ask again
		for i := range b.N {
			s := all[i%len(all)]
			p.Remove(s.ID)
			p.Set(s)
			place()
		}
	})
}
