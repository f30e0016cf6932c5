package cell

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// A placer whose pinned tenants are changed in place must place requests as a new placer does, also while servers are
// added and removed.
func TestChangedPlacerEqualsNewPlacer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		plain := Settings{Plan: Plan{Size: rapid.IntRange(1, 4).Draw(t, "size")}, Assumptions: Assumptions{RepeatsMarked: true, MaxClockSkew: second}, MaxKeys: 1000}
		updated, tenants, servers := NewPlacer(plain), map[string]Tenant{}, map[string]Server{}
		for step := range rapid.IntRange(1, 60).Draw(t, "steps") {
			name := fmt.Sprint("t", rapid.IntRange(0, 3).Draw(t, "tenant"))
			switch rapid.IntRange(0, 3).Draw(t, "operation") {
			case 0:
				updated.Apply(&Change{Removed: []string{name}})
				delete(tenants, name)
			case 1:
				tenant := Tenant{Name: name, Pods: rapid.SliceOfNDistinct(rapid.Int64Range(1, 6), 1, 3, rapid.ID).Draw(t, "pods")}
				if rapid.Bool().Draw(t, "with a move") {
					tenant.Moves = []Move{{To: rapid.SliceOfNDistinct(rapid.Int64Range(1, 6), 1, 3, rapid.ID).Draw(t, "to"), Start: 100 * second, Prepare: 10 * second, Both: 20 * second}}
				}
				if field, why := tenant.Check(); field != "" {
					t.Fatal(field, why)
				}
				updated.Apply(&Change{Put: []Tenant{tenant}})
				tenants[name] = tenant
			default:
				n := rapid.IntRange(0, 20).Draw(t, "id")
				s := Server{ID: fmt.Sprint("s-", n), Number: uint32(n), Zone: fmt.Sprint("z", n%2), Pod: rapid.Int64Range(1, 6).Draw(t, "pod")}
				if rapid.IntRange(0, 3).Draw(t, "remove") == 0 {
					updated.Remove(s.ID)
					delete(servers, s.ID)
				} else {
					updated.Set(s)
					servers[s.ID] = s
				}
			}
			settings := plain
			for _, n := range []string{"t0", "t1", "t2", "t3"} {
				if v, pinned := tenants[n]; pinned {
					settings.Tenants = append(settings.Tenants, v)
				}
			}
			fresh := NewPlacer(settings)
			for _, s := range servers {
				fresh.Set(s)
			}
			if got, want := len(updated.Tenants()), len(fresh.Tenants()); got != want {
				t.Fatalf("%d tenants are pinned, want %d", got, want)
			}
			at := time.Duration([]int{50, 115, 160}[step%3]) * second
			for i := range 4 {
				for _, request := range []Request{{Tenant: fmt.Sprint("t", i)}, {Tenant: fmt.Sprint("t", i), Key: "k", Window: 12 * second}} {
					got, ambiguous := updated.Place(at, &request)
					want, wantAmbiguous := fresh.Place(at, &request)
					if ambiguous != wantAmbiguous || !slices.Equal(slices.Sorted(slices.Values(got)), slices.Sorted(slices.Values(want))) {
						t.Fatalf("%+v at %v: updated placer %v, new placer %v", request, at, got, want)
					}
				}
			}
		}
	})
}

// A change of one tenant must keep the cached subsets of all others and the recorded keys, and leave no cached subset
// of the tenant's former lists of pods. A recorded key must still apply when its tenant is pinned again.
func TestApplyAffectsOnlyItsTenant(t *testing.T) {
	p := NewPlacer(testSettings(6, 0))
	pods := map[uint32]int64{}
	for i, s := range newServers(24, 1, 6) {
		s.Pod, s.Number = s.Pod+1, uint32(i)
		pods[s.Number] = s.Pod
		p.Set(s)
	}
	pinned := Tenant{Name: "gulf", Pods: []int64{1, 2}, Moves: []Move{{To: []int64{3}, Start: 100 * second, Prepare: 10 * second, Both: 20 * second}}}
	p.Apply(&Change{Put: []Tenant{pinned}})
	repeat := &Request{Tenant: "gulf", Key: "k", Window: 12 * second, Repeat: true}
	home, _ := p.Place(50*second, repeat)
	p.Sent(50*second, repeat, pods[home[0]])
	for _, at := range []time.Duration{50, 115, 160} {
		p.Place(at*second, &Request{Tenant: "gulf"})
	}
	others := map[*subset]bool{}
	for i := range 20 {
		p.Place(50*second, &Request{Tenant: fmt.Sprint("t", i)})
	}
	p.Place(50*second, &Request{Tenant: "valley"})
	for s, v := range p.subsets {
		if s.tenant != "gulf" {
			others[v] = true
		}
	}
	for range 3 {
		pinned.Pods = []int64{4, 5}
		p.Apply(&Change{Put: []Tenant{pinned}})
		for _, id := range serversOf(p.Place(50*second, &Request{Tenant: "gulf"})) {
			if pods[id] != 4 && pods[id] != 5 {
				t.Errorf("the tenant is pinned to pods 4 and 5, and its request goes to pod %d", pods[id])
			}
		}
		if at, ambiguous := p.Place(51*second, repeat); ambiguous || !slices.Equal(at, home) {
			t.Errorf("recorded key: servers %v, ambiguous %v", at, ambiguous)
		}
		p.Apply(&Change{Removed: []string{"gulf", "none"}})
		if got := serversOf(p.Place(50*second, &Request{Tenant: "gulf"})); len(got) != 6 {
			t.Errorf("the tenant is not pinned any more, and its subset is %v", got)
		}
	}
	stale := 0
	for s, v := range p.subsets {
		if s.tenant != "gulf" {
			delete(others, v)
		} else if s.pods != nil {
			stale++
		}
	}
	if len(others) != 0 || stale != 0 {
		t.Errorf("%d subsets of other tenants were computed anew; %d of the tenant's former lists are still cached", len(others), stale)
	}
	// A tenant with many more moves than there are cached subsets takes the other branch of unpin, which walks the
	// subsets.
	many := Tenant{Name: "gulf", Pods: []int64{1}}
	for i := range 20 {
		many.Moves = append(many.Moves, Move{To: []int64{int64(i%6) + 1}, Start: time.Duration(200+100*i) * second, Prepare: 10 * second})
	}
	p.Apply(&Change{Put: []Tenant{many}})
	p.Place(50*second, &Request{Tenant: "gulf"})
	p.Place(250*second, &Request{Tenant: "gulf"})
	p.Apply(&Change{Removed: []string{"gulf"}})
	for s := range p.subsets {
		if s.tenant == "gulf" && s.pods != nil {
			t.Error("a subset of the tenant's former lists is still cached")
		}
	}
	if got := p.Tenants(); len(got) != 1 || got[0].Name != "valley" {
		t.Errorf("pinned tenants at the end: %+v", got)
	}
}

// serversOf returns the servers of a placement and ignores whether it is ambiguous.
func serversOf(servers []uint32, _ bool) []uint32 { return servers }
