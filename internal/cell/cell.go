// Package cell confines who can harm whom: each tenant is served by a small subset of the fleet of its own, so that one whose
// requests wedge every server that they touch takes down its own subset and no other whole one.
//
// Subsets are drawn by rendezvous hashing (Thaler and Ravishankar, 1998) as shuffle shards: each server's score for a tenant is
// a hash of the two, and the best scores win. Every node that knows the same servers comes to the same subsets without talk;
// when a server goes, only the tenants that had it get another, and one that comes takes from each tenant at most one place.
// The package has no I/O, no clock and no randomness beyond the hash.
package cell

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Server is one that tenants can be placed on.
type Server struct {
	ID   string // alike at every node
	Zone string
	Pod  int64 // servers that fail together

	Number uint32 // what its owner calls it; no part of the placement
}

// Plan is how tenants are placed.
type Plan struct {
	Size int    // servers a tenant; where there are no more, all
	Seed uint64 // another one deals all anew
}

// Check reports the first field that makes no sense, and why.
func (p Plan) Check() (field, why string) {
	if p.Size < 1 || p.Size > 10000 {
		return "size", fmt.Sprintf("%d is outside 1 to 10000", p.Size)
	}
	return "", ""
}

// Map places tenants on a set of servers. Whoever owns it keeps it up to date; it is not safe for concurrent use.
type Map struct {
	plan          Plan
	servers       []Server
	idHashes      []uint64       // of their ids
	indexByID     map[string]int // of each in servers
	zoneSizes     map[string]int // how many servers each has
	zoneNames     []string       // of the zones, in order
	serverHashSum uint64
}

// New makes a map. The order of the servers does not matter; of an id that comes twice the last counts.
func New(p Plan, servers ...Server) *Map {
	m := &Map{plan: p, indexByID: make(map[string]int, len(servers)), zoneSizes: map[string]int{}}
	for _, s := range servers {
		m.Set(s)
	}
	return m
}

// Set enters a server, or what has changed of it.
func (m *Map) Set(s Server) {
	if i, known := m.indexByID[s.ID]; known {
		if m.servers[i] == s {
			return
		}
		m.Remove(s.ID)
	}
	m.indexByID[s.ID] = len(m.servers)
	m.servers, m.idHashes = append(m.servers, s), append(m.idHashes, xxhash.Sum64String(s.ID))
	m.serverHashSum += s.hash()
	if m.zoneSizes[s.Zone]++; m.zoneSizes[s.Zone] == 1 {
		at, _ := slices.BinarySearch(m.zoneNames, s.Zone)
		m.zoneNames = slices.Insert(m.zoneNames, at, s.Zone)
	}
}

// Remove strikes a server off.
func (m *Map) Remove(id string) {
	i, known := m.indexByID[id]
	if !known {
		return
	}
	s, last := m.servers[i], len(m.servers)-1
	m.servers[i], m.idHashes[i] = m.servers[last], m.idHashes[last]
	m.indexByID[m.servers[i].ID] = i
	m.servers, m.idHashes = m.servers[:last], m.idHashes[:last]
	delete(m.indexByID, id)
	m.serverHashSum -= s.hash()
	if m.zoneSizes[s.Zone]--; m.zoneSizes[s.Zone] == 0 {
		delete(m.zoneSizes, s.Zone)
		m.zoneNames = slices.DeleteFunc(m.zoneNames, func(z string) bool { return z == s.Zone })
	}
}

// hash is a server's part of the version.
func (s *Server) hash() uint64 {
	h := mix(xxhash.Sum64String(s.ID))
	h = mix(h ^ xxhash.Sum64String(s.Zone))
	return mix(h ^ uint64(s.Pod))
}

// Version tells two maps apart: nodes whose versions are alike place every tenant alike.
func (m *Map) Version() uint64 {
	return mix(m.serverHashSum ^ mix(uint64(m.plan.Size)^mix(m.plan.Seed+1)))
}

// Len is how many servers there are.
func (m *Map) Len() int { return len(m.servers) }

type scored struct {
	index int
	score uint64
}

// Subset is the servers of a tenant, in the order of ids. They are spread evenly over the zones, and over pods within a zone
// as far as it has other ones. It costs a hash a server and allocates: callers keep it while the version is the same.
func (m *Map) Subset(tenant string) []Server {
	return m.toServers(m.subset(xxhash.Sum64String(tenant)))
}

func (m *Map) subset(key uint64) []int {
	size := min(m.plan.Size, len(m.servers))
	// Mostly a few of the best scores are all that is looked at: the others need not be put in order.
	few := 64 + 16*uint64(size)
	if n := uint64(len(m.servers)); n > 2*few {
		if chosen, whole := m.choose(m.scores(key, math.MaxUint64-math.MaxUint64/n*few), size, key, true); whole {
			return chosen
		}
	}
	chosen, _ := m.choose(m.scores(key, 0), size, key, false)
	return chosen
}

// score is how high a server, by the hash of its id, stands with a tenant.
func (m *Map) score(key, id uint64) uint64 { return mix(key ^ mix(id^m.plan.Seed)) }

// scores are those of the servers for a tenant that are at least so high, the best first.
func (m *Map) scores(key, least uint64) []scored {
	var all []scored
	for i, h := range m.idHashes {
		if s := m.score(key, h); s >= least {
			all = append(all, scored{i, s})
		}
	}
	slices.SortFunc(all, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(m.servers[a.index].ID, m.servers[b.index].ID))
	})
	return all
}

// choose takes the best, but no more of a zone than its part, and first none of a pod that has one already; then, unless only
// pods of their own will do, whatever the zone has. Whole: the subset has its size.
func (m *Map) choose(best []scored, size int, key uint64, strictly bool) (chosen []int, whole bool) {
	quota := m.quotas(size, key)
	taken := make([]bool, len(best))
	type place struct {
		zone string
		pod  int64
	}
	pods := map[place]bool{}
	for _, strict := range []bool{true, false} {
		for k, c := range best {
			s := &m.servers[c.index]
			z := s.Zone
			p := place{z, s.Pod}
			if taken[k] || quota[z] == 0 || strict && pods[p] {
				continue
			}
			taken[k], pods[p] = true, true
			quota[z]--
			if chosen = append(chosen, c.index); len(chosen) == size {
				return chosen, true
			}
		}
		if strictly {
			break
		}
	}
	return chosen, false
}

func (m *Map) toServers(chosen []int) []Server {
	out := make([]Server, len(chosen))
	for i, k := range chosen {
		out[i] = m.servers[k]
	}
	slices.SortFunc(out, func(a, b Server) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// quotas deals the places of a tenant's subset over the zones: evenly, those left over from another zone on for each tenant,
// and what a small zone can't take to the others.
func (m *Map) quotas(size int, key uint64) map[string]int {
	q := make(map[string]int, len(m.zoneNames))
	for left, z := min(size, len(m.servers)), key%uint64(max(1, len(m.zoneNames))); left > 0; z++ {
		if name := m.zoneNames[z%uint64(len(m.zoneNames))]; q[name] < m.zoneSizes[name] {
			q[name]++
			left--
		}
	}
	return q
}

// mix spreads a hash's bits (the finalizer of MurmurHash3, by Austin Appleby).
func mix(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}

// Shared is the chance that another tenant has exactly the same subset, by combinatorics: one in the product of the zones'
// binomials, pods and what is left over of an even split left aside. It is what the measured share is held against.
func (m *Map) Shared() float64 {
	p := 1.0
	for z, k := range m.quotas(m.plan.Size, 0) {
		p *= math.Exp(-(logFactorial(m.zoneSizes[z]) - logFactorial(k) - logFactorial(m.zoneSizes[z]-k)))
	}
	return p
}

// lgamma is the logarithm of n factorial.
func logFactorial(n int) float64 {
	v, _ := math.Lgamma(float64(n) + 1)
	return v
}
