// Package cell limits how many web servers one tenant can harm. Each tenant is served by a small subset of the fleet,
// so that a tenant whose requests wedge every server that handles them takes down its own subset and no other complete
// one.
//
// Subsets are chosen by rendezvous hashing (Thaler and Ravishankar, 1998) as shuffle shards: each server's score for a
// tenant is a hash of the two, and the best scores win. All nodes that know the same servers choose the same subsets
// without communicating. When a server is removed only the tenants that had it get another one, and a new server
// replaces at most one server of each tenant's subset. The package has no I/O, no clock and no randomness beyond the
// hash.
package cell

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Server is a web server that tenants can be placed on.
type Server struct {
	ID   string // the same at every node
	Zone string
	Pod  int64 // servers of one pod fail together

	Number uint32 // the caller's number for the server; does not affect the placement
}

// Plan determines how tenants are placed.
type Plan struct {
	Size int    // servers per tenant; a tenant gets all servers if there are fewer
	Seed uint64 // a different seed changes all subsets
}

// Check returns the first invalid field and the reason, or two empty strings.
func (p Plan) Check() (field, why string) {
	if p.Size < 1 || p.Size > 10000 {
		return "size", fmt.Sprintf("%d is outside 1 to 10000", p.Size)
	}
	return "", ""
}

// Map places tenants on a set of servers. It is not safe for concurrent use; its owner keeps the set up to date.
type Map struct {
	plan          Plan
	servers       []Server
	idHashes      []uint64       // hash of the id of each element of servers
	indexByID     map[string]int // index of each server in servers
	zoneSizes     map[string]int // number of servers per zone
	zoneNames     []string       // sorted
	serverHashSum uint64         // sum of the servers' hashes, which does not depend on their order
}

// NewMap returns a map of the servers, in any order. If an id occurs more than once the last one counts.
func NewMap(p Plan, servers ...Server) *Map {
	m := &Map{plan: p, indexByID: make(map[string]int, len(servers)), zoneSizes: map[string]int{}}
	for _, s := range servers {
		m.Set(s)
	}
	return m
}

// Set adds a server, or updates it.
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

// Remove removes a server.
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

// hash returns a server's contribution to the version.
func (s *Server) hash() uint64 {
	h := mix(xxhash.Sum64String(s.ID))
	h = mix(h ^ xxhash.Sum64String(s.Zone))
	return mix(h ^ uint64(s.Pod))
}

// Version identifies the map's content: nodes with equal versions place every tenant equally.
func (m *Map) Version() uint64 {
	return mix(m.serverHashSum ^ mix(uint64(m.plan.Size)^mix(m.plan.Seed+1)))
}

// Len returns the number of servers.
func (m *Map) Len() int { return len(m.servers) }

// scored is a server's index in Map.servers with its score for a tenant.
type scored struct {
	index int
	score uint64
}

// Subset returns the servers of a tenant, ordered by id. They are spread evenly over the zones, and over the pods of a
// zone as far as it has enough. It computes a hash per server and allocates; callers cache the result while the version
// is the same.
func (m *Map) Subset(tenant string) []Server {
	return m.toServers(m.subset(xxhash.Sum64String(tenant)))
}

// subset returns the indexes of the servers of the tenant whose name has the given hash.
func (m *Map) subset(key uint64) []int {
	size := min(m.plan.Size, len(m.servers))
	// Usually the best few scores are enough, and the others need not be sorted.
	few := 64 + 16*uint64(size)
	if n := uint64(len(m.servers)); n > 2*few {
		if chosen, complete := m.choose(m.scores(key, math.MaxUint64-math.MaxUint64/n*few), size, key, true); complete {
			return chosen
		}
	}
	chosen, _ := m.choose(m.scores(key, 0), size, key, false)
	return chosen
}

// score returns the score for a tenant of the server whose id has the given hash.
func (m *Map) score(key, id uint64) uint64 { return mix(key ^ mix(id^m.plan.Seed)) }

// scores returns the servers whose score for a tenant is at least minScore, the best first.
func (m *Map) scores(key, minScore uint64) []scored {
	var all []scored
	for i, h := range m.idHashes {
		if s := m.score(key, h); s >= minScore {
			all = append(all, scored{i, s})
		}
	}
	slices.SortFunc(all, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(m.servers[a.index].ID, m.servers[b.index].ID))
	})
	return all
}

// choose selects the servers with the best scores, but no more of a zone than its quota and at most one per pod and
// zone. If distinctPods is false, it then fills the quotas with further servers of the same pods. complete reports
// whether the subset has its full size.
func (m *Map) choose(best []scored, size int, key uint64, distinctPods bool) (chosen []int, complete bool) {
	quota := m.quotas(size, key)
	taken := make([]bool, len(best))
	type podInZone struct {
		zone string
		pod  int64
	}
	pods := map[podInZone]bool{}
	for _, strict := range []bool{true, false} {
		for k, c := range best {
			s := &m.servers[c.index]
			z := s.Zone
			p := podInZone{z, s.Pod}
			if taken[k] || quota[z] == 0 || strict && pods[p] {
				continue
			}
			taken[k], pods[p] = true, true
			quota[z]--
			if chosen = append(chosen, c.index); len(chosen) == size {
				return chosen, true
			}
		}
		if distinctPods {
			break
		}
	}
	return chosen, false
}

// toServers returns the servers with the given indexes, ordered by id.
func (m *Map) toServers(chosen []int) []Server {
	out := make([]Server, len(chosen))
	for i, k := range chosen {
		out[i] = m.servers[k]
	}
	slices.SortFunc(out, func(a, b Server) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// quotas divides a subset's size among the zones: evenly, with the remainder going to different zones for different
// tenants, and with the share that a small zone can't provide going to the others.
func (m *Map) quotas(size int, key uint64) map[string]int {
	q := make(map[string]int, len(m.zoneNames))
	for remaining, z := min(size, len(m.servers)), key%uint64(max(1, len(m.zoneNames))); remaining > 0; z++ {
		if name := m.zoneNames[z%uint64(len(m.zoneNames))]; q[name] < m.zoneSizes[name] {
			q[name]++
			remaining--
		}
	}
	return q
}

// mix mixes the bits of a hash (the finalizer of MurmurHash3, by Austin Appleby).
func mix(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}

// SameSubsetProbability returns the probability that another tenant has exactly the same subset: one in the product of
// the zones' binomial coefficients. It neglects pods and the remainder of an uneven split over the zones. The measured
// overlap of subsets is compared with it.
func (m *Map) SameSubsetProbability() float64 {
	p := 1.0
	for z, k := range m.quotas(m.plan.Size, 0) {
		p *= math.Exp(-(logFactorial(m.zoneSizes[z]) - logFactorial(k) - logFactorial(m.zoneSizes[z]-k)))
	}
	return p
}

// logFactorial returns the logarithm of n factorial.
func logFactorial(n int) float64 {
	v, _ := math.Lgamma(float64(n) + 1)
	return v
}
