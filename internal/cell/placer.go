package cell

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"portstall/policy"
)

const (
	// maxTenants limits the tenants whose subsets and traffic are stored. Beyond it all of them are discarded and start
	// anew.
	maxTenants = 10000
	// trafficTimeConstant is the time constant with which a tenant's traffic figures decay.
	trafficTimeConstant = 10 * time.Second
	// minHarmfulAttempts is how many recent attempts must have been reset or timed out for a tenant to count as
	// harmful, that is as one that may break servers.
	minHarmfulAttempts = 2
	// minHarmfulShare is the share of a tenant's recent attempts that must have been reset or timed out as well.
	minHarmfulShare = 0.05
)

// Settings are the settings of a Placer.
type Settings struct {
	Plan
	Tenants     []Tenant // the pinned tenants; checked by Tenant.Check
	Assumptions Assumptions
	MaxKeys     int // number of keys that are recorded
	// SpillShare is the share of a tenant's requests, at each node, that may go to its neighbor cell if no server of its
	// own cell accepts them.
	SpillShare float64
}

// Request is the part of a request that determines its placement.
type Request struct {
	Tenant, Key string
	Window      time.Duration // how long a pod drops repeats of the key; 0 if no key binds the request
	Repeat      bool          // the client marked the request as a repeat
}

// Placer decides to which servers each request of a node may go. It holds the known servers, and where keys may have
// run. It is not safe for concurrent use. It has no clock; times are Unix time.
type Placer struct {
	settings  Settings
	serverMap *Map
	tenants   map[string]*Tenant
	keys      *KeyTracker
	maxWindow time.Duration // the longest window seen
	subsets   map[subsetKey]*subset
	traffic   map[string]*tenantTraffic
}

// subsetKey identifies a cached subset.
type subsetKey struct {
	tenant string
	// The lists of pods, identified by the address of their first element in the settings; nil if not used.
	pods, newPods *int64
	keyBound      bool  // the subset is of the servers in a key's home
	home          int64 // the home, if keyBound is set
	neighbor      bool  // the subset is the tenant's neighbor cell
}

// subset is a cached subset, with what decides whether a change of a server affects it.
type subset struct {
	servers  []uint32
	pods     []int64 // the subset is restricted to these pods and newPods; nil if it may have any server
	newPods  []int64
	hash     uint64
	minScore uint64 // a new server with a lower score does not change the subset
}

// includesPod reports whether the subset is restricted to pods that include the given one.
func (v *subset) includesPod(pod int64) bool {
	return slices.Contains(v.pods, pod) || slices.Contains(v.newPods, pod)
}

// tenantTraffic holds a tenant's recent traffic. The counts decay with trafficTimeConstant and are as of the time at.
type tenantTraffic struct {
	at                                           time.Duration
	requests, spilled, attempts, harmfulAttempts float64
}

// NewPlacer returns a Placer without servers.
func NewPlacer(settings Settings) *Placer {
	p := &Placer{serverMap: NewMap(settings.Plan), keys: NewKeyTracker(settings.MaxKeys)}
	p.Reconfigure(settings)
	return p
}

// Reconfigure puts other settings in force. The known servers and keys stay.
func (p *Placer) Reconfigure(settings Settings) {
	if settings.Plan != p.serverMap.plan {
		p.serverMap = NewMap(settings.Plan, p.serverMap.servers...)
	}
	p.settings = settings
	p.tenants, p.subsets, p.traffic = map[string]*Tenant{}, map[subsetKey]*subset{}, map[string]*tenantTraffic{}
	for i := range settings.Tenants {
		p.tenants[settings.Tenants[i].Name] = &settings.Tenants[i]
	}
	p.keys.maxKeys = max(1, settings.MaxKeys)
}

// Set adds a server, or updates it. Subsets that it does not affect stay cached, so that one entry of a long server
// list costs a hash per tenant and no pass over all servers.
func (p *Placer) Set(s Server) {
	if i, known := p.serverMap.indexByID[s.ID]; known {
		if p.serverMap.servers[i] == s {
			return
		}
		p.Remove(s.ID)
	}
	zones := len(p.serverMap.zoneNames)
	p.serverMap.Set(s)
	id := xxhash.Sum64String(s.ID)
	quotasStay := len(p.serverMap.zoneNames) == zones && p.serverMap.zoneSizes[s.Zone] > p.settings.Size
	for k, v := range p.subsets {
		if v.pods == nil && (!quotasStay || p.serverMap.score(v.hash, id) >= v.minScore) || v.includesPod(s.Pod) {
			delete(p.subsets, k)
		}
	}
}

// Remove removes a server.
func (p *Placer) Remove(id string) {
	i, known := p.serverMap.indexByID[id]
	if !known {
		return
	}
	s := p.serverMap.servers[i]
	p.serverMap.Remove(id)
	quotasStay := p.serverMap.zoneSizes[s.Zone] >= p.settings.Size
	for k, v := range p.subsets {
		if v.pods == nil && !quotasStay || slices.Contains(v.servers, s.Number) || v.includesPod(s.Pod) {
			delete(p.subsets, k)
		}
	}
}

// Keys returns the tracker of the keys that were sent.
func (p *Placer) Keys() *KeyTracker { return p.keys }

// Place returns the numbers of the servers that a request may go to, in a list that must not be modified. If ambiguous
// is true, it can't be determined where the request's key may have run, and the request must be refused.
func (p *Placer) Place(now time.Duration, r *Request) (candidates []uint32, ambiguous bool) {
	p.recentTraffic(now, r.Tenant).requests++
	t := p.tenants[r.Tenant]
	if t == nil {
		return p.subset(subsetKey{tenant: r.Tenant}, nil, nil), false
	}
	if r.Window <= 0 || r.Key == "" {
		at := t.PlaceUnkeyed(now)
		s := subsetKey{tenant: r.Tenant, pods: &at.Pods[0]}
		if at.NewPods != nil {
			s.newPods = &at.NewPods[0]
		}
		return p.subset(s, at.Pods, at.NewPods), false
	}
	p.maxWindow = max(p.maxWindow, r.Window)
	key := KeyHash(r.Tenant, r.Key)
	at := t.PlaceKeyed(now, key, r.Window, r.Repeat, p.settings.Assumptions)
	home := at.Pods[0]
	if pod, known := p.keys.Find(now, key); known {
		home, at.Ambiguous = pod, false
	}
	if at.Ambiguous {
		return nil, true
	}
	return p.subset(subsetKey{tenant: r.Tenant, keyBound: true, home: home}, []int64{home}, nil), false
}

// Sent records that a request was sent to a server of the pod.
func (p *Placer) Sent(now time.Duration, r *Request, pod int64) {
	if r.Window > 0 && r.Key != "" && p.tenants[r.Tenant] != nil {
		p.keys.Sent(now, KeyHash(r.Tenant, r.Key), pod, r.Window)
	}
}

// Ended records how an attempt of a tenant ended. An attempt that was reset or timed out counts as harmful.
func (p *Placer) Ended(now time.Duration, tenant string, o policy.Outcome) {
	t := p.recentTraffic(now, tenant)
	t.attempts++
	if o == policy.Reset || o == policy.TimedOut {
		t.harmfulAttempts++
	}
}

// Spill returns the servers for a request that no server of its own cell accepted and that was sent nowhere; nil means
// none. They are the tenant's neighbor cell, which is always the same, so that harm can't spread beyond it. Requests
// that a key binds or of pinned tenants do not spill, nor do those of a tenant whose attempts were recently harmful,
// because it may be one that breaks servers.
func (p *Placer) Spill(now time.Duration, r *Request) []uint32 {
	t := p.recentTraffic(now, r.Tenant)
	if r.Window > 0 || p.tenants[r.Tenant] != nil || t.harmful() || t.spilled+1 > p.settings.SpillShare*t.requests {
		return nil
	}
	s := p.subset(subsetKey{tenant: r.Tenant, neighbor: true}, nil, nil)
	if len(s) == 0 {
		return nil
	}
	t.spilled++
	return s
}

// harmful reports whether enough of the recent attempts were harmful for the tenant not to spill.
func (t *tenantTraffic) harmful() bool {
	return t.harmfulAttempts >= minHarmfulAttempts && t.harmfulAttempts >= minHarmfulShare*t.attempts
}

// recentTraffic returns a tenant's traffic, decayed to now.
func (p *Placer) recentTraffic(now time.Duration, tenant string) *tenantTraffic {
	t := p.traffic[tenant]
	if t == nil {
		if len(p.traffic) >= maxTenants {
			clear(p.traffic)
		}
		t = &tenantTraffic{at: now}
		p.traffic[tenant] = t
	}
	if f := math.Exp(-float64(now-t.at) / float64(trafficTimeConstant)); now > t.at {
		t.at = now
		t.requests, t.spilled, t.attempts, t.harmfulAttempts = t.requests*f, t.spilled*f, t.attempts*f, t.harmfulAttempts*f
	}
	return t
}

// subset returns a subset from the cache, or computes it.
func (p *Placer) subset(s subsetKey, pods, newPods []int64) []uint32 {
	if v := p.subsets[s]; v != nil {
		return v.servers
	}
	if len(p.subsets) >= maxTenants {
		clear(p.subsets)
	}
	v := &subset{servers: []uint32{}, pods: pods, newPods: newPods} // an empty list means no server, nil would mean all
	tenant := s.tenant
	if s.neighbor {
		tenant += "\x00neighbour" // it is hashed, so all nodes must use the same text
	}
	v.hash = xxhash.Sum64String(tenant)
	if pods == nil {
		chosen := p.serverMap.subset(v.hash)
		v.minScore = math.MaxUint64
		for _, i := range chosen {
			v.servers = append(v.servers, p.serverMap.servers[i].Number)
			v.minScore = min(v.minScore, p.serverMap.score(v.hash, p.serverMap.idHashes[i]))
		}
		if len(chosen) < p.settings.Size || p.sharesPod(chosen) {
			v.minScore = 0 // a new server may be better at any score
		}
	} else {
		for _, o := range p.pinnedServers(tenant, pods, newPods) {
			v.servers = append(v.servers, o.Number)
		}
	}
	p.subsets[s] = v
	return v.servers
}

// pinnedServers returns the subset of a tenant in one list of pods, together with its subset in another list.
func (p *Placer) pinnedServers(tenant string, pods, newPods []int64) []Server {
	out := p.serverMap.InPods(pods...).Subset(tenant)
	for _, o := range p.serverMap.InPods(newPods...).Subset(tenant) {
		if !slices.Contains(out, o) {
			out = append(out, o)
		}
	}
	return out
}

// sharesPod reports whether two servers of a subset are in the same pod of a zone, so that one of another pod is better
// at any score.
func (p *Placer) sharesPod(chosen []int) bool {
	for i, a := range chosen {
		for _, b := range chosen[:i] {
			if p.serverMap.servers[a].Zone == p.serverMap.servers[b].Zone && p.serverMap.servers[a].Pod == p.serverMap.servers[b].Pod {
				return true
			}
		}
	}
	return false
}

// Version identifies the known servers and the plan: nodes with equal versions place unpinned tenants equally.
func (p *Placer) Version() uint64 { return p.serverMap.Version() }

// Report describes a tenant's cell.
type Report struct {
	Servers               []Server
	SameSubsetProbability float64 // probability that another unpinned tenant has the same subset; 0 for a pinned tenant
	Pods                  []int64 // pods that the tenant is pinned to
	NewPods               []int64 // pods of the new side of a move, while requests go to both sides
	Step                  Step
	KeyCount              int     // number of recorded keys of all tenants
	KeysEvicted           int64   // keys evicted within their window since the start
	Spilled               float64 // recent requests that went to the neighbor cell, decaying over 10 s
	Requests              float64 // recent requests, decaying over 10 s
	Harmful               bool    // recent attempts were harmful, and no requests spill
}

// Report returns the description of a tenant's cell.
func (p *Placer) Report(now time.Duration, tenant string) Report {
	r := Report{KeyCount: p.keys.Len(), KeysEvicted: p.keys.Evicted(), SameSubsetProbability: p.serverMap.SameSubsetProbability()}
	if t := p.tenants[tenant]; t != nil {
		at := t.PlaceUnkeyed(now)
		r.Pods, r.NewPods = at.Pods, at.NewPods
		r.Step, _ = t.Step(now, p.maxWindow, p.settings.Assumptions.MaxClockSkew)
		r.Servers, r.SameSubsetProbability = p.pinnedServers(tenant, at.Pods, at.NewPods), 0
	} else {
		r.Servers = p.serverMap.Subset(tenant)
	}
	if t := p.traffic[tenant]; t != nil {
		r.Spilled, r.Requests, r.Harmful = t.spilled, t.requests, t.harmful()
	}
	return r
}
