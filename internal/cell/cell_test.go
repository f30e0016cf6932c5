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

// newServers returns n servers, spread evenly over zones, and over pods within each zone.
func newServers(n, zones, pods int) []Server {
	var all []Server
	for i := range n {
		all = append(all, Server{ID: fmt.Sprint("s-", i), Zone: fmt.Sprint("z", i%zones), Pod: int64(i / zones % pods)})
	}
	return all
}

// serverIDs returns the ids of the servers in their order.
func serverIDs(s []Server) []string {
	var out []string
	for _, v := range s {
		out = append(out, v.ID)
	}
	return out
}

// The same servers in any order must give the same map. A subset must have the size asked for, be spread over zones and
// pods, and have no server twice.
func TestSubsetSizeAndSpread(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n, zones, pods := rapid.IntRange(1, 60).Draw(t, "n"), rapid.IntRange(1, 5).Draw(t, "zones"), rapid.IntRange(1, 6).Draw(t, "pods")
		size := rapid.IntRange(1, 20).Draw(t, "size")
		servers := newServers(n, zones, pods)
		m := NewMap(Plan{Size: size}, servers...)
		other := NewMap(Plan{Size: size}, append(rapid.Permutation(servers).Draw(t, "order"), servers[0])...)
		tenant := rapid.String().Draw(t, "tenant")
		got := m.Subset(tenant)
		if m.Version() != other.Version() || !slices.Equal(serverIDs(got), serverIDs(other.Subset(tenant))) {
			t.Fatal("the order of the servers changes the map")
		}
		if len(got) != min(size, n) {
			t.Fatalf("subset has %d servers, fleet %d", len(got), n)
		}
		perZone, perPod := map[string]int{}, map[string]int{}
		for i, s := range got {
			if i > 0 && got[i-1].ID >= s.ID {
				t.Fatalf("%v: not in order of ids, or an id twice", serverIDs(got))
			}
			perZone[s.Zone]++
			perPod[fmt.Sprint(s.Zone, s.Pod)]++
		}
		zoneSizes := map[string]int{}
		for _, s := range servers {
			zoneSizes[s.Zone]++
		}
		for z := range zoneSizes {
			for o := range zoneSizes {
				// A zone may have fewer by more than one only if all its servers are in the subset.
				if perZone[z] < perZone[o]-1 && perZone[z] < zoneSizes[z] {
					t.Fatalf("servers by zone: subset %v, fleet %v", perZone, zoneSizes)
				}
			}
		}
		if pods*zones <= n && size <= zones { // at most one server per zone, so never two in a pod
			for p, c := range perPod {
				if c > 1 {
					t.Fatalf("pod %s has %d servers of the subset", p, c)
				}
			}
		}
	})
}

// Subset looks at the best scores only, and must return the same servers as a choice from all of them, also if there
// are few pods.
func TestSubsetOfBestScoresEqualsFullSort(t *testing.T) {
	for _, pods := range []int{1, 2, 3, 50} {
		m := NewMap(Plan{Size: 5}, newServers(2000, 3, pods)...)
		for i := range 200 {
			tenant := fmt.Sprint("t", i)
			key := xxhash.Sum64String(tenant)
			all, _ := m.choose(m.scores(key, 0), 5, key, false)
			if got, want := serverIDs(m.Subset(tenant)), serverIDs(m.toServers(all)); !slices.Equal(got, want) {
				t.Fatalf("%d pods, %s: %v, want %v", pods, tenant, got, want)
			}
		}
	}
}

// A map that was updated server by server must equal a new map of the same servers, with the same version.
func TestUpdatedMapEqualsNewMap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		updated, servers := NewMap(Plan{Size: 3}), map[string]Server{}
		for range rapid.IntRange(1, 60).Draw(t, "changes") {
			s := Server{ID: fmt.Sprint("s-", rapid.IntRange(0, 15).Draw(t, "id")), Zone: fmt.Sprint("z", rapid.IntRange(0, 2).Draw(t, "zone")),
				Pod: rapid.Int64Range(0, 3).Draw(t, "pod")}
			if rapid.Bool().Draw(t, "remove") {
				updated.Remove(s.ID)
				delete(servers, s.ID)
			} else {
				updated.Set(s)
				servers[s.ID] = s
			}
		}
		fresh := NewMap(Plan{Size: 3}, slices.Collect(maps.Values(servers))...)
		if updated.Version() != fresh.Version() || updated.Len() != len(servers) {
			t.Fatalf("versions: updated map %x, new map %x; %d servers, want %d", updated.Version(), fresh.Version(), updated.Len(), len(servers))
		}
		for i := range 10 {
			if tenant := fmt.Sprint("t", i); !slices.Equal(updated.Subset(tenant), fresh.Subset(tenant)) {
				t.Fatalf("%s: updated map %v, new map %v", tenant, updated.Subset(tenant), fresh.Subset(tenant))
			}
		}
	})
}

// If a server is removed, the subsets of the tenants that had it change by that server alone, and no other subset
// changes. Conversely, an added server changes each subset by one server at most.
func TestServerChangeMovesFewestTenants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n, size := rapid.IntRange(9, 60).Draw(t, "n"), rapid.IntRange(1, 8).Draw(t, "size")
		servers := newServers(n, 1, n) // one zone, and a pod per server: if quotas change, more servers may move
		k := rapid.IntRange(0, n-1).Draw(t, "removed")
		removed := servers[k].ID
		before := NewMap(Plan{Size: size}, servers...)
		after := NewMap(Plan{Size: size}, slices.Delete(slices.Clone(servers), k, k+1)...)
		if before.Version() == after.Version() {
			t.Fatal("the version did not change")
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
			if want := 0; slices.Contains(a, removed) {
				want = 1
				if lost != want {
					t.Fatalf("%s: %v became %v", tenant, a, b)
				}
			} else if lost != want {
				t.Fatalf("%s did not have the removed %s: %v became %v", tenant, removed, a, b)
			}
		}
	})
}

// 2,000 tenants must load the servers evenly, and pairs of tenants must share a complete subset no more often than
// expected.
func TestBalanceAndOverlap(t *testing.T) {
	const tenants = 2000
	for _, c := range []struct{ servers, size int }{{12, 3}, {120, 6}, {1200, 6}} {
		m := NewMap(Plan{Size: c.size}, newServers(c.servers, 3, 4)...)
		load, same := map[string]int{}, map[string]int{}
		for i := range tenants {
			subset := m.Subset(fmt.Sprint("tenant-", i))
			same[fmt.Sprint(serverIDs(subset))]++
			for _, s := range subset {
				load[s.ID]++
			}
		}
		highest := 0
		for _, n := range load {
			highest = max(highest, n)
		}
		mean := float64(tenants*c.size) / float64(c.servers)
		pairs := 0.0
		for _, n := range same {
			pairs += float64(n*(n-1)) / 2
		}
		share := pairs / (tenants * (tenants - 1) / 2)
		t.Logf("%d servers, %d per tenant: highest load is %.2f of the mean; %.2e of pairs share a complete subset, expected %.2e",
			c.servers, c.size, float64(highest)/mean, share, m.SameSubsetProbability())
		// Six standard deviations of a binomial distribution: beyond it the hash prefers a server.
		if float64(highest) > mean+6*math.Sqrt(mean) {
			t.Errorf("highest load of a server is %d tenants, mean %.0f", highest, mean)
		}
		if share > 3*m.SameSubsetProbability()+1e-5 {
			t.Errorf("%.2e of pairs share a complete subset, expected %.2e", share, m.SameSubsetProbability())
		}
	}
}

func TestPlanCheck(t *testing.T) {
	for size, valid := range map[int]bool{0: false, 1: true, 10000: true, 10001: false} {
		if field, _ := (Plan{Size: size}).Check(); (field == "") != valid {
			t.Errorf("size %d: Check returned field %q", size, field)
		}
	}
}

// BenchmarkSubset measures the cost of a tenant's first request after the server list has changed.
func BenchmarkSubset(b *testing.B) {
	for _, n := range []int{12, 120, 1200, 12000} {
		m := NewMap(Plan{Size: 6}, newServers(n, 3, 40)...)
		b.Run(fmt.Sprintf("servers=%d", n), func(b *testing.B) {
			for b.Loop() {
				m.Subset("gulf-coast")
			}
		})
	}
}

// BenchmarkNew measures the cost of building a map from a server list.
func BenchmarkNew(b *testing.B) {
	for _, n := range []int{12, 1200, 12000} {
		servers := newServers(n, 3, 40)
		b.Run(fmt.Sprintf("servers=%d", n), func(b *testing.B) {
			for b.Loop() {
				NewMap(Plan{Size: 6}, servers...)
			}
		})
	}
}
