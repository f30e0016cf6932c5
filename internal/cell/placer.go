package cell

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"portstall/policy"
)

const (
	maxTenants          = 10000            // tenants whose subsets and troubles are remembered; past it all begin anew
	trafficTimeConstant = 10 * time.Second // what a tenant did fades over this
	minHarmfulAttempts  = 2                // a tenant with so many broken or unanswered attempts lately,
	minHarmfulShare     = 0.05             // and this part of all, may be what breaks servers
)

// Terms are what a Placer goes by.
type Terms struct {
	Plan
	Tenants []Tenant // those that are pinned; checked
	Doubt   Doubt
	Memory  int     // keys that are remembered
	Spill   float64 // part of a tenant's requests, at each node, that may go to its neighbour where its own cell takes none
}

// Request is what placement asks of a request.
type Request struct {
	Tenant, Key string
	Window      time.Duration // repeats of its key are dropped within a pod for so long; 0: no key binds it
	Repeat      bool          // its client says that it is one
}

// Placer says where each request of a node may go. It holds what is known of the servers and of where keys may have run.
// Not safe for concurrent use; it has no clock, and its times are Unix time.
type Placer struct {
	settings  Terms
	serverMap *Map
	tenants   map[string]*Tenant
	keys      *KeyTracker
	maxWindow time.Duration // the longest seen
	subsets   map[subsetKey]*subset
	traffic   map[string]*tenantTraffic
}

// subject is what a subset is for.
type subsetKey struct {
	tenant        string
	pods, newPods *int64 // the lists, by where they stand in the terms; nil: none
	keyBound      bool   // to a key's home:
	home          int64
	neighbor      bool
}

type subset struct {
	servers  []uint32
	pods     []int64 // it has servers of these alone; nil: of all
	newPods  []int64
	hash     uint64
	minScore uint64 // a server that is new to the map and scores no more changes nothing
}

// has tells whether it is of a pod's servers.
func (v *subset) includesPod(pod int64) bool {
	return slices.Contains(v.pods, pod) || slices.Contains(v.newPods, pod)
}

// traffic is what a tenant did lately.
type tenantTraffic struct {
	at                                           time.Duration
	requests, spilled, attempts, harmfulAttempts float64
}

// NewPlacer makes one that knows no server yet.
func NewPlacer(t Terms) *Placer {
	p := &Placer{serverMap: New(t.Plan), keys: NewKeyTracker(t.Memory)}
	p.Change(t)
	return p
}

// Change puts other terms in force. What is known of servers and keys stays.
func (p *Placer) Change(t Terms) {
	if t.Plan != p.serverMap.plan {
		p.serverMap = New(t.Plan, p.serverMap.servers...)
	}
	p.settings = t
	p.tenants, p.subsets, p.traffic = map[string]*Tenant{}, map[subsetKey]*subset{}, map[string]*tenantTraffic{}
	for i := range t.Tenants {
		p.tenants[t.Tenants[i].Name] = &t.Tenants[i]
	}
	p.keys.maxKeys = max(1, t.Memory)
}

// Set enters a server, or what has changed of it. A subset that it does not touch is kept, so that one line of a long list
// costs a hash a tenant and no walk of the servers.
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
	crowded := len(p.serverMap.zoneNames) == zones && p.serverMap.zoneSizes[s.Zone] > p.settings.Size // quotas do not change
	for k, v := range p.subsets {
		if v.pods == nil && (!crowded || p.serverMap.score(v.hash, id) >= v.minScore) || v.includesPod(s.Pod) {
			delete(p.subsets, k)
		}
	}
}

// Remove strikes a server off.
func (p *Placer) Remove(id string) {
	i, known := p.serverMap.indexByID[id]
	if !known {
		return
	}
	s := p.serverMap.servers[i]
	p.serverMap.Remove(id)
	crowded := p.serverMap.zoneSizes[s.Zone] >= p.settings.Size
	for k, v := range p.subsets {
		if v.pods == nil && !crowded || slices.Contains(v.servers, s.Number) || v.includesPod(s.Pod) {
			delete(p.subsets, k)
		}
	}
}

// Keys are the keys that are remembered.
func (p *Placer) Keys() *KeyTracker { return p.keys }

// Place tells to which servers, by their numbers, a request may go; the list is not to be changed. Doubt: its key may have
// run where nobody can tell, and it must be turned away.
func (p *Placer) Place(now time.Duration, r *Request) (among []uint32, doubt bool) {
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
	key := Key(r.Tenant, r.Key)
	at := t.PlaceKeyed(now, key, r.Window, r.Repeat, p.settings.Doubt)
	home := at.Pods[0]
	if pod, known := p.keys.Find(now, key); known {
		home, at.Ambiguous = pod, false
	}
	if at.Ambiguous {
		return nil, true
	}
	return p.subset(subsetKey{tenant: r.Tenant, keyBound: true, home: home}, []int64{home}, nil), false
}

// Sent notes that a request was sent to a server of the pod.
func (p *Placer) Sent(now time.Duration, r *Request, pod int64) {
	if r.Window > 0 && r.Key != "" && p.tenants[r.Tenant] != nil {
		p.keys.Sent(now, Key(r.Tenant, r.Key), pod, r.Window)
	}
}

// Ended notes how an attempt of a tenant ended. It is a harm if the connection broke, or nothing came in time.
func (p *Placer) Ended(now time.Duration, tenant string, o policy.Outcome) {
	t := p.recentTraffic(now, tenant)
	t.attempts++
	if o == policy.Reset || o == policy.TimedOut {
		t.harmfulAttempts++
	}
}

// Spill tells where a request may go that its own cell did not take and that was sent nowhere; nil: nowhere. It is the
// tenant's neighbour, always the same: where harm follows nevertheless, it stops there. Nothing spills whose key is bound or
// whose tenant is pinned, and no tenant does whose attempts broke lately: it can't be told from one that breaks servers.
func (p *Placer) Spill(now time.Duration, r *Request) []uint32 {
	t := p.recentTraffic(now, r.Tenant)
	if r.Window > 0 || p.tenants[r.Tenant] != nil || t.harmful() || t.spilled+1 > p.settings.Spill*t.requests {
		return nil
	}
	s := p.subset(subsetKey{tenant: r.Tenant, neighbor: true}, nil, nil)
	if len(s) == 0 {
		return nil
	}
	t.spilled++
	return s
}

func (t *tenantTraffic) harmful() bool {
	return t.harmfulAttempts >= minHarmfulAttempts && t.harmfulAttempts >= minHarmfulShare*t.attempts
}

// note is what a tenant did lately, faded to now.
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

// subset works one out, or has it.
func (p *Placer) subset(s subsetKey, pods, also []int64) []uint32 {
	if v := p.subsets[s]; v != nil {
		return v.servers
	}
	if len(p.subsets) >= maxTenants {
		clear(p.subsets)
	}
	v := &subset{servers: []uint32{}, pods: pods, newPods: also} // none is not all
	tenant := s.tenant
	if s.neighbor {
		tenant += "\x00neighbour"
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
			v.minScore = 0 // whatever comes may be better
		}
	} else {
		for _, o := range p.pinnedServers(tenant, pods, also) {
			v.servers = append(v.servers, o.Number)
		}
	}
	p.subsets[s] = v
	return v.servers
}

// pinned are a tenant's servers in one list of pods, and those in another.
func (p *Placer) pinnedServers(tenant string, pods, also []int64) []Server {
	out := p.serverMap.InPods(pods...).Subset(tenant)
	for _, o := range p.serverMap.InPods(also...).Subset(tenant) {
		if !slices.Contains(out, o) {
			out = append(out, o)
		}
	}
	return out
}

// doubled tells whether two of a subset share a pod of a zone, so that one of another pod is better at any score.
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

// Version tells two nodes' placements apart, as far as servers go.
func (p *Placer) Version() uint64 { return p.serverMap.Version() }

// Report is how a tenant's cell stands.
type Report struct {
	Servers  []Server
	Shared   float64 // chance that another unpinned tenant has the same subset
	Pods     []int64 // it is pinned to
	Also     []int64
	Step     Step
	Keys     int   // remembered, of all tenants together
	Forgot   int64 // since the start
	Spilt    float64
	Requests float64 // both lately, fading over 10 s
	Harmful  bool    // nothing of it spills
}

// Report tells of a tenant.
func (p *Placer) Report(now time.Duration, tenant string) Report {
	r := Report{Keys: p.keys.Len(), Forgot: p.keys.Evicted(), Shared: p.serverMap.Shared()}
	if t := p.tenants[tenant]; t != nil {
		at := t.PlaceUnkeyed(now)
		r.Pods, r.Also = at.Pods, at.NewPods
		r.Step, _ = t.Step(now, p.maxWindow, p.settings.Doubt.Skew)
		r.Servers, r.Shared = p.pinnedServers(tenant, at.Pods, at.NewPods), 0
	} else {
		r.Servers = p.serverMap.Subset(tenant)
	}
	if t := p.traffic[tenant]; t != nil {
		r.Spilt, r.Requests, r.Harmful = t.spilled, t.requests, t.harmful()
	}
	return r
}
