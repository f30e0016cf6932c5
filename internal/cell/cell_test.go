package cell

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"testing"

	"github.com/cespare/xxhash/v2"
	"pgregory.net/rapid"
)

func newServers(n, zones, pods int) []Server {
	var all []Server
	for i := range n {
		all = append(all, Server{ID: fmt.Sprint("s-", i), Zone: fmt.Sprint("z", i%zones), Pod: int64(i / zones % pods)})
	}
	return all
}

func serverIDs(s []Server) []string {
	var out []string
	for _, v := range s {
		out = append(out, v.ID)
	}
	return out
}

// The same servers in any order make the same map, subsets are of the size asked for, spread over zones and pods, and
// without repetition.
func TestSubsetSizeAndSpread(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n, zones, pods := rapid.IntRange(1, 60).Draw(t, "n"), rapid.IntRange(1, 5).Draw(t, "zones"), rapid.IntRange(1, 6).Draw(t, "pods")
		size := rapid.IntRange(1, 20).Draw(t, "size")
		servers := newServers(n, zones, pods)
		m := New(Plan{Size: size}, servers...)
		other := New(Plan{Size: size}, append(rapid.Permutation(servers).Draw(t, "order"), servers[0])...)
		tenant := rapid.String().Draw(t, "tenant")
		got := m.Subset(tenant)
		if m.Version() != other.Version() || !slices.Equal(serverIDs(got), serverIDs(other.Subset(tenant))) {
			t.Fatal("another order makes another map")
		}
		if len(got) != min(size, n) {
			t.Fatalf("%d servers of %d", len(got), n)
		}
		perZone, perPod := map[string]int{}, map[string]int{}
		for i, s := range got {
			if i > 0 && got[i-1].ID >= s.ID {
				t.Fatalf("%v: not in order, or twice", serverIDs(got))
			}
			perZone[s.Zone]++
			perPod[fmt.Sprint(s.Zone, s.Pod)]++
		}
		has := map[string]int{}
		for _, s := range servers {
			has[s.Zone]++
		}
		for z := range has {
			for o := range has { // a zone has fewer by more than one only where it has no more
				if perZone[z] < perZone[o]-1 && perZone[z] < has[z] {
					t.Fatalf("zones %v of %v", perZone, has)
				}
			}
		}
		if pods*zones <= n && size <= zones { // one a zone: never two in a pod
			for p, c := range perPod {
				if c > 1 {
					t.Fatalf("pod %s has %d", p, c)
				}
			}
		}
	})
}

// The short way over a few of the best scores comes to what the long one does, also where pods are scarce.
func TestSubsetOfBestScoresEqualsFullSort(t *testing.T) {
	for _, pods := range []int{1, 2, 3, 50} {
		m := New(Plan{Size: 5}, newServers(2000, 3, pods)...)
		for i := range 200 {
			tenant := fmt.Sprint("t", i)
			key := xxhash.Sum64String(tenant)
			long, _ := m.choose(m.scores(key, 0), 5, key, false)
			if got, want := serverIDs(m.Subset(tenant)), serverIDs(m.toServers(long)); !slices.Equal(got, want) {
				t.Fatalf("%d pods, %s: %v, want %v", pods, tenant, got, want)
			}
		}
	}
}

// A map that was kept up to date is the one that is made anew, its version too.
func TestUpdatedMapEqualsNewMap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		kept, now := New(Plan{Size: 3}), map[string]Server{}
		for range rapid.IntRange(1, 60).Draw(t, "changes") {
			s := Server{ID: fmt.Sprint("s-", rapid.IntRange(0, 15).Draw(t, "id")), Zone: fmt.Sprint("z", rapid.IntRange(0, 2).Draw(t, "zone")),
				Pod: rapid.Int64Range(0, 3).Draw(t, "pod")}
			if rapid.Bool().Draw(t, "goes") {
				kept.Remove(s.ID)
				delete(now, s.ID)
			} else {
				kept.Set(s)
				now[s.ID] = s
			}
		}
		anew := New(Plan{Size: 3}, slices.Collect(maps.Values(now))...)
		if kept.Version() != anew.Version() || kept.Len() != len(now) {
			t.Fatalf("versions %x and %x, %d servers of %d", kept.Version(), anew.Version(), kept.Len(), len(now))
		}
		for i := range 10 {
			if tenant := fmt.Sprint("t", i); !slices.Equal(kept.Subset(tenant), anew.Subset(tenant)) {
				t.Fatalf("%s: %v and %v", tenant, kept.Subset(tenant), anew.Subset(tenant))
			}
		}
	})
}

// When a server goes only the tenants that had it change, by that one; when one comes each tenant changes by one at most.
func TestServerChangeMovesFewestTenants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n, size := rapid.IntRange(9, 60).Draw(t, "n"), rapid.IntRange(1, 8).Draw(t, "size")
		servers := newServers(n, 1, n) // one zone, each its own pod: where quotas shift, more may move
		k := rapid.IntRange(0, n-1).Draw(t, "gone")
		gone := servers[k].ID
		before := New(Plan{Size: size}, servers...)
		after := New(Plan{Size: size}, slices.Delete(slices.Clone(servers), k, k+1)...)
		if before.Version() == after.Version() {
			t.Fatal("the version stays")
		}
		for i := range 20 {
			tenant := fmt.Sprint("t", i)
			a, b := serverIDs(before.Subset(tenant)), serverIDs(after.Subset(tenant))
			lost := 0
			for _, id := range a {
				if !slices.Contains(b, id) {
					lost++
				}
			}
			if want := 0; slices.Contains(a, gone) {
				want = 1
				if lost != want {
					t.Fatalf("%s: %v became %v", tenant, a, b)
				}
			} else if lost != want {
				t.Fatalf("%s did not have %s: %v became %v", tenant, gone, a, b)
			}
		}
	})
}

// How evenly 2,000 tenants load 120 servers, and how many pairs share a whole subset, beside what combinatorics says.
func TestBalanceAndOverlap(t *testing.T) {
	const tenants = 2000
	for _, c := range []struct{ servers, size int }{{12, 3}, {120, 6}, {1200, 6}} {
		m := New(Plan{Size: c.size}, newServers(c.servers, 3, 4)...)
		load, same := map[string]int{}, map[string]int{}
		for i := range tenants {
			subset := m.Subset(fmt.Sprint("tenant-", i))
			same[fmt.Sprint(serverIDs(subset))]++
			for _, s := range subset {
				load[s.ID]++
			}
		}
		most := 0
		for _, n := range load {
			most = max(most, n)
		}
		mean := float64(tenants*c.size) / float64(c.servers)
		pairs := 0.0
		for _, n := range same {
			pairs += float64(n*(n-1)) / 2
		}
		share := pairs / (tenants * (tenants - 1) / 2)
		t.Logf("%d servers, %d a tenant: the fullest has %.2f of the mean load; %.2e of pairs share a whole subset, %.2e by combinatorics",
			c.servers, c.size, float64(most)/mean, share, m.Shared())
		// Six standard deviations of a binomial: chance, and not a server that the hash prefers.
		if float64(most) > mean+6*math.Sqrt(mean) {
			t.Errorf("the fullest has %d, the mean is %.0f", most, mean)
		}
		if share > 3*m.Shared()+1e-5 {
			t.Errorf("%.2e of pairs share a subset, %.2e are due", share, m.Shared())
		}
	}
}

func TestPlanCheck(t *testing.T) {
	for size, good := range map[int]bool{0: false, 1: true, 10000: true, 10001: false} {
		if field, _ := (Plan{Size: size}).Check(); (field == "") != good {
			t.Errorf("size %d: %q", size, field)
		}
	}
}

// BenchmarkSubset is what a tenant's first request costs after the list has changed.
func BenchmarkSubset(b *testing.B) {
	for _, n := range []int{12, 120, 1200, 12000} {
		m := New(Plan{Size: 6}, newServers(n, 3, 40)...)
		b.Run(fmt.Sprintf("servers=%d", n), func(b *testing.B) {
			for b.Loop() {
				m.Subset("gulf-coast")
			}
		})
	}
}

// BenchmarkNew is what a change of the list costs before the next request.
func BenchmarkNew(b *testing.B) {
	for _, n := range []int{12, 1200, 12000} {
		servers := newServers(n, 3, 40)
		b.Run(fmt.Sprintf("servers=%d", n), func(b *testing.B) {
			for b.Loop() {
				New(Plan{Size: 6}, servers...)
			}
		})
	}
}
