package cell

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"portstall/policy"
)

// testSettings pin one tenant, which has a move that starts at 100 s and has its cut at 130 s.
func testSettings(size int, spill float64) Settings {
	return Settings{Plan: Plan{Size: size}, Tenants: []Tenant{*tenantWithMove(nil)}, Assumptions: Assumptions{RepeatsMarked: true, MaxClockSkew: second}, MaxKeys: 1000, SpillShare: spill}
}

// A placer that was updated while servers were added and removed must place requests as a new placer with the same
// servers does: those of tenants that are not pinned, those of a tenant on both sides of a move, and those with a key.
func TestUpdatedPlacerEqualsNewPlacer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(1, 5).Draw(t, "size")
		updated, servers := NewPlacer(testSettings(size, 0)), map[string]Server{}
		requests := []Request{{Tenant: "valley"}, {Tenant: "valley", Key: "k", Window: 12 * second}}
		for i := range 6 {
			requests = append(requests, Request{Tenant: fmt.Sprint("t", i)})
		}
		for step := range rapid.IntRange(1, 80).Draw(t, "changes") {
			n := rapid.IntRange(0, 30).Draw(t, "id")
			s := Server{ID: fmt.Sprint("s-", n), Number: uint32(n), Zone: fmt.Sprint("z", n%rapid.IntRange(1, 3).Draw(t, "zones")), Pod: rapid.Int64Range(1, 6).Draw(t, "pod")}
			if rapid.IntRange(0, 2).Draw(t, "remove") == 0 {
				updated.Remove(s.ID)
				delete(servers, s.ID)
			} else {
				updated.Set(s)
				servers[s.ID] = s
			}
			fresh := NewPlacer(testSettings(size, 0))
			for _, s := range servers {
				fresh.Set(s)
			}
			at := time.Duration([]int{50, 115, 160}[step%3]) * second
			for i := range requests {
				got, _ := updated.Place(at, &requests[i])
				want, _ := fresh.Place(at, &requests[i])
				if got == nil || !slices.Equal(slices.Sorted(slices.Values(got)), slices.Sorted(slices.Values(want))) {
					t.Fatalf("%+v at %v: updated placer %v, new placer %v", requests[i], at, got, want)
				}
				if i > 1 {
					continue
				}
				for _, id := range got { // never outside the pods of the current step
					pod := servers[fmt.Sprint("s-", id)].Pod
					if at < 110*second && pod > 3 || at > 130*second && pod < 4 {
						t.Fatalf("%+v at %v: placed in pod %d", requests[i], at, pod)
					}
				}
			}
		}
	})
}

// A request with a key goes to one pod. If its placement is ambiguous it goes nowhere, unless this node has sent the
// key before.
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
		if key = fmt.Sprint("k", i); HomePod(KeyHash("valley", key), []int64{1, 2, 3}) != HomePod(KeyHash("valley", key), []int64{4, 5, 6}) {
			break
		}
	}
	repeat := &Request{Tenant: "valley", Key: key, Window: 12 * second, Repeat: true}
	candidates, ambiguous := p.Place(125*second, repeat)
	for _, s := range candidates {
		if pods[s] != HomePod(KeyHash("valley", key), []int64{1, 2, 3}) {
			t.Errorf("before the cut: server %d of pod %d, which is not the key's home", s, pods[s])
		}
	}
	if ambiguous || len(candidates) != 4 {
		t.Fatal(candidates, ambiguous)
	}
	if _, ambiguous = p.Place(131*second, repeat); !ambiguous {
		t.Error("the placement of a repeat after the cut is not ambiguous")
	}
	p.Sent(125*second, repeat, pods[candidates[0]])
	again, ambiguous := p.Place(131*second, repeat)
	if ambiguous || !slices.Equal(again, candidates) {
		t.Errorf("repeat of a key that this node has sent: %v, ambiguous %v", again, ambiguous)
	}
	if _, ambiguous = p.Place(138*second, repeat); !ambiguous {
		t.Error("the placement is not ambiguous after this node's window, although another node's may not have ended")
	}
	if r := p.Report(131*second, "valley"); r.Step != Draining || r.KeyCount != 1 || !slices.Equal(r.Pods, []int64{4, 5, 6}) || len(r.Servers) != 6 {
		t.Errorf("report while draining: %+v", r)
	}
	// With new settings the move is reverted. The recorded keys stay.
	reverted := testSettings(6, 0)
	reverted.Tenants[0].Moves[0].Back = 132 * second
	p.Reconfigure(reverted)
	if at, ambiguous := p.Place(133*second, repeat); ambiguous || !slices.Equal(at, candidates) {
		t.Error(at, ambiguous)
	}
	if at, _ := p.Place(133*second, &Request{Tenant: "valley"}); pods[at[0]] > 3 {
		t.Errorf("the move was reverted, and a request goes to pod %d", pods[at[0]])
	}
}

// No more than the configured share of requests may spill, and only to one neighbor cell. Requests must not spill if a
// key binds them, if their tenant is pinned, or if its recent attempts were harmful.
func TestSpillLimits(t *testing.T) {
	p := NewPlacer(testSettings(4, 0.1))
	for i, s := range newServers(200, 2, 10) {
		s.Number = uint32(i)
		p.Set(s)
	}
	request := &Request{Tenant: "t"}
	spilled, neighbors := 0, map[uint32]bool{}
	now := time.Duration(0)
	for range 5000 {
		now += second / 100
		p.Place(now, request)
		if s := p.Spill(now, request); s != nil {
			spilled++
			for _, id := range s {
				neighbors[id] = true
			}
		}
		p.Ended(now, "t", policy.OK)
	}
	if spilled < 450 || spilled > 510 || len(neighbors) != 4 {
		t.Errorf("%d of 5,000 requests spilled to %d servers, want about 500 and 4", spilled, len(neighbors))
	}
	for name, r := range map[string]*Request{"with a key that binds it": {Tenant: "t", Key: "k", Window: second}, "of a pinned tenant": {Tenant: "valley"}} {
		for range 50 {
			p.Place(now, r)
		}
		if p.Spill(now, r) != nil {
			t.Errorf("a request %s spills", name)
		}
	}
	now += 20 * second
	for range 200 {
		p.Place(now, request)
		p.Ended(now, "t", policy.OK)
	}
	for range 20 {
		p.Ended(now, "t", policy.Reset)
	}
	if p.Spill(now, request) != nil || !p.Report(now, "t").Harmful {
		t.Error("a request spills although attempts of its tenant were harmful, or the tenant is not reported as harmful")
	}
	now += 60 * second // the harmful attempts have decayed
	for range 200 {
		p.Place(now, request)
		p.Ended(now, "t", policy.OK)
	}
	if p.Spill(now, request) == nil {
		t.Error("no request spills long after the last harmful attempt of its tenant")
	}
	for i := range 2 * maxTenants {
		p.Place(now, &Request{Tenant: fmt.Sprint("many-", i)})
	}
	if len(p.traffic) > maxTenants || len(p.subsets) > maxTenants {
		t.Errorf("traffic of %d tenants and %d subsets are stored, beyond the limit", len(p.traffic), len(p.subsets))
	}
}

// BenchmarkPlacer measures the cost of placing a request, and of changing one server of 10,000 while 1,000 tenants have
// subsets.
func BenchmarkPlacer(b *testing.B) {
	p := NewPlacer(testSettings(6, 0.1))
	all := newServers(10000, 3, 100)
	for i, s := range all {
		s.Number, s.Pod = uint32(i), s.Pod+1
		p.Set(s)
	}
	var requests []Request
	for i := range 1000 {
		requests = append(requests, Request{Tenant: fmt.Sprint("t", i)})
	}
	place := func() {
		for i := range requests {
			p.Place(second, &requests[i])
		}
	}
	place()
	b.Run("place", func(b *testing.B) {
		b.ReportAllocs()
		for i := range b.N {
			p.Place(second, &requests[i%1000])
		}
	})
	b.Run("keyed", func(b *testing.B) {
		b.ReportAllocs()
		r := &Request{Tenant: "valley", Key: "k", Window: 12 * second}
		for range b.N {
			p.Place(second, r)
		}
	})
	b.Run("server change", func(b *testing.B) { // a server is removed and added again, and all tenants are placed again
		for i := range b.N {
			s := all[i%len(all)]
			p.Remove(s.ID)
			p.Set(s)
			place()
		}
	})
}
