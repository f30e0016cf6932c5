package cell

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// A placer whose tenants change in place places as one does that is made anew, while servers come and go as well.
func TestChangedPlacerEqualsNewPlacer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		plain := Terms{Plan: Plan{Size: rapid.IntRange(1, 4).Draw(t, "size")}, Doubt: Doubt{Marked: true, Skew: second}, Memory: 1000}
		kept, there, servers := NewPlacer(plain), map[string]Tenant{}, map[string]Server{}
		for step := range rapid.IntRange(1, 60).Draw(t, "steps") {
			name := fmt.Sprint("t", rapid.IntRange(0, 3).Draw(t, "tenant"))
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0:
				kept.Apply(&Change{Gone: []string{name}})
				delete(there, name)
			case 1:
				tenant := Tenant{Name: name, Pods: rapid.SliceOfNDistinct(rapid.Int64Range(1, 6), 1, 3, rapid.ID).Draw(t, "pods")}
				if rapid.Bool().Draw(t, "moves") {
					tenant.Moves = []Move{{To: rapid.SliceOfNDistinct(rapid.Int64Range(1, 6), 1, 3, rapid.ID).Draw(t, "to"), Start: 100 * second, Prepare: 10 * second, Both: 20 * second}}
				}
				if field, why := tenant.Check(); field != "" {
					t.Fatal(field, why)
				}
				kept.Apply(&Change{Put: []Tenant{tenant}})
				there[name] = tenant
			default:
				n := rapid.IntRange(0, 20).Draw(t, "id")
				s := Server{ID: fmt.Sprint("s-", n), Number: uint32(n), Zone: fmt.Sprint("z", n%2), Pod: rapid.Int64Range(1, 6).Draw(t, "pod")}
				if rapid.IntRange(0, 3).Draw(t, "goes") == 0 {
					kept.Remove(s.ID)
					delete(servers, s.ID)
				} else {
					kept.Set(s)
					servers[s.ID] = s
				}
			}
			terms := plain
			for _, n := range []string{"t0", "t1", "t2", "t3"} {
				if v, pinned := there[n]; pinned {
					terms.Tenants = append(terms.Tenants, v)
				}
			}
			anew := NewPlacer(terms)
			for _, s := range servers {
				anew.Set(s)
			}
			if got, want := len(kept.Tenants()), len(anew.Tenants()); got != want {
				t.Fatalf("%d are pinned, want %d", got, want)
			}
			at := time.Duration([]int{50, 115, 160}[step%3]) * second
			for i := range 4 {
				for _, ask := range []Request{{Tenant: fmt.Sprint("t", i)}, {Tenant: fmt.Sprint("t", i), Key: "k", Window: 12 * second}} {
					got, doubt := kept.Place(at, &ask)
					want, doubted := anew.Place(at, &ask)
					if doubt != doubted || !slices.Equal(slices.Sorted(slices.Values(got)), slices.Sorted(slices.Values(want))) {
						t.Fatalf("%+v at %v: %v, made anew %v", ask, at, got, want)
					}
				}
			}
		}
	})
}

// One tenant's change keeps the subsets of all others and what is known of keys, leaves none of its own lists behind, and what is
// remembered of a key holds when its tenant is pinned again.
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
	ask := &Request{Tenant: "gulf", Key: "k", Window: 12 * second, Repeat: true}
	home, _ := p.Place(50*second, ask)
	p.Sent(50*second, ask, pods[home[0]])
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
				t.Errorf("pinned to pods 4 and 5, it goes to pod %d", pods[id])
			}
		}
		if at, doubt := p.Place(51*second, ask); doubt || !slices.Equal(at, home) {
			t.Errorf("a key that was sent: %v, %v", at, doubt)
		}
		p.Apply(&Change{Gone: []string{"gulf", "none"}})
		if got := serversOf(p.Place(50*second, &Request{Tenant: "gulf"})); len(got) != 6 {
			t.Errorf("pinned no more, it has %v", got)
		}
	}
	left := 0
	for s, v := range p.subsets {
		if s.tenant != "gulf" {
			delete(others, v)
		} else if s.pods != nil {
			left++
		}
	}
	if len(others) != 0 || left != 0 {
		t.Errorf("%d subsets of others are worked out anew; %d of its old lists stay", len(others), left)
	}
	// With very many moves, and few subsets, its own are found the other way round.
	many := Tenant{Name: "gulf", Pods: []int64{1}}
	for i := range 20 {
		many.Moves = append(many.Moves, Move{To: []int64{int64(i%6) + 1}, Start: time.Duration(200+100*i) * second, Prepare: 10 * second})
	}
	p.Apply(&Change{Put: []Tenant{many}})
	p.Place(50*second, &Request{Tenant: "gulf"})
	p.Place(250*second, &Request{Tenant: "gulf"})
	p.Apply(&Change{Gone: []string{"gulf"}})
	for s := range p.subsets {
		if s.tenant == "gulf" && s.pods != nil {
			t.Error("a subset of its old lists stays")
		}
	}
	if got := p.Tenants(); len(got) != 1 || got[0].Name != "valley" {
		t.Errorf("%+v", got)
	}
}

func serversOf(among []uint32, _ bool) []uint32 { return among }
