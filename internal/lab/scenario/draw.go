package scenario

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

// Server is one web server as drawn for a scenario.
type Server struct {
	ID    uint32 // at the nodes; says nothing of zone, pod or kind
	Zone  int
	Pod   int
	Kind  *Kind
	Speed float64 // of a core
}

// ZoneName is the name of the i-th zone.
func ZoneName(i int) string { return fmt.Sprintf("zone-%d", i) }

// Fleet draws the servers. The same scenario gives the same fleet.
func (s *Scenario) Fleet() []Server {
	rng := rand.New(rand.NewPCG(s.Seed, 0x666c656574))
	ids := rng.Perm(s.Servers.Count)
	var fleet []Server
	for i := range s.Servers.Kinds {
		k := &s.Servers.Kinds[i]
		for range s.typeCount(i) {
			speed := k.Speed * math.Max(0.3, 1+k.SpeedCV*rng.NormFloat64())
			fleet = append(fleet, Server{Kind: k, Speed: speed})
		}
	}
	rng.Shuffle(len(fleet), func(i, j int) { fleet[i], fleet[j] = fleet[j], fleet[i] })
	pod := s.Servers.PodSize
	if pod == 0 {
		pod = len(fleet)
	}
	for i := range fleet {
		fleet[i].ID, fleet[i].Zone, fleet[i].Pod = uint32(1000+ids[i]*3), i%s.Servers.Zones, i/pod
	}
	return fleet
}

// Hit draws which of n servers or nodes the i-th fault hits: a share of them, at least one. Model and rig hit the same.
func (s *Scenario) Hit(fault, n int, share float64) []int {
	rng := rand.New(rand.NewPCG(s.Seed, 0x686974<<16+uint64(fault)))
	k := min(n, max(1, int(math.Round(share*float64(n)))))
	return rng.Perm(n)[:k]
}

// Hits lists what each fault hits, by index: nodes or servers, as its kind has it.
func (s *Scenario) Hits(fleet []Server) [][]int {
	var all [][]int
	for i := range s.Faults {
		f := &s.Faults[i]
		var hit []int
		switch f.Kind {
		case "node_roll", "node_crash", "node_upgrade", "node_stop":
			hit = s.Hit(i, s.Nodes, f.Share)
		case "zone_loss":
			for k := range fleet {
				if fleet[k].Zone == f.Zone {
					hit = append(hit, k)
				}
			}
		case "proxy_down", "proxy_slow", "proxy_nonsense":
			for k := 0; k < len(fleet); k += 2 {
				hit = append(hit, k)
			}
		default:
			hit = s.Hit(i, len(fleet), f.Share)
		}
		all = append(all, hit)
	}
	return all
}

// Ask is one thing that a client wants. Its tries share one deadline.
type Ask struct {
	Index    int
	At       time.Duration
	Class    int // in Scenario.Classes
	Tenant   int // in Scenario.Tenants, -1 where there are none
	Work     time.Duration
	Retries  int     // further tries that the client makes at most
	Honours  bool    // a Retry-After
	TryShare float64 // of the deadline after which a try is given up
	Leaves   float64 // part of its patience after which it leaves early; 0: it stays
	Stubborn bool    // repeats a keyed request though nothing was promised
}

// Asks draws the asks of a scenario one after the other, in the order of their times. What a flash crowd adds comes from
// sources of its own: the others' asks are the same with it and without. Not safe for concurrent use.
type Asks struct {
	streams   []*operationStream
	nextIndex int
}

// source draws one stream of asks.
type operationStream struct {
	scenario     *Scenario
	rng          *rand.Rand
	now          time.Duration
	end          time.Duration
	rateFactor   float64   // of the scenario's rate
	classShares  []float64 // cumulated shares
	tenantShares []float64
	onlyTenant   int  // the only one; -1: any
	next         Ask  // the next one,
	hasNext      bool // if there is one
}

// Asks begins the arrivals anew.
func (s *Scenario) Asks() *Asks {
	a := &Asks{streams: []*operationStream{s.newStream(0x61736b73, 0, s.Duration, 1, "")}}
	for i := range s.Faults {
		if f := &s.Faults[i]; f.Kind == "flash" && f.Factor > 1 {
			a.streams = append(a.streams, s.newStream(0x666c617368<<8+uint64(i), f.At, min(f.End(), s.Duration), f.Factor-1, f.Tenant))
		}
	}
	return a
}

func (s *Scenario) newStream(stream uint64, from, to time.Duration, factor float64, tenant string) *operationStream {
	o := &operationStream{scenario: s, rng: rand.New(rand.NewPCG(s.Seed, stream)), now: from, end: to, rateFactor: factor, onlyTenant: -1}
	sum := 0.0
	for _, c := range s.Classes {
		sum += c.Share
		o.classShares = append(o.classShares, sum)
	}
	sum = 0
	for i, t := range s.Tenants {
		sum += t.Share * t.Usage
		o.tenantShares = append(o.tenantShares, sum)
		if t.Name == tenant {
			o.onlyTenant = i
		}
	}
	if o.onlyTenant >= 0 {
		o.rateFactor *= s.Tenants[o.onlyTenant].Share * s.Tenants[o.onlyTenant].Usage / sum
	}
	o.generate()
	return o
}

// Next is the next ask; false once the scenario has no more.
func (a *Asks) Next() (Ask, bool) {
	var first *operationStream
	for _, o := range a.streams {
		if o.hasNext && (first == nil || o.next.At < first.next.At) {
			first = o
		}
	}
	if first == nil {
		return Ask{}, false
	}
	ask := first.next
	ask.Index = a.nextIndex
	a.nextIndex++
	first.generate()
	return ask, true
}

// draw makes a source's next ask.
func (o *operationStream) generate() {
	s, l := o.scenario, &o.scenario.Clients
	rate := s.Rate() * o.rateFactor
	if l.Wave > 0 {
		rate *= 1 + l.Wave*math.Sin(2*math.Pi*o.now.Seconds()/l.WavePeriod.Seconds())
	}
	gap := 1.0
	switch l.Arrivals {
	case "poisson":
		gap = o.rng.ExpFloat64()
	case "bursty":
		gap = gamma(o.rng, 1/(l.Burstiness*l.Burstiness)) * l.Burstiness * l.Burstiness
	}
	o.now += time.Duration(min(gap/max(rate, 1e-9), 1e9) * float64(time.Second))
	if o.hasNext = o.now < o.end; !o.hasNext {
		return
	}
	ask := Ask{At: o.now, Class: sampleIndex(o.rng, o.classShares), Tenant: o.onlyTenant}
	if o.onlyTenant < 0 && len(s.Tenants) > 0 {
		ask.Tenant = sampleIndex(o.rng, o.tenantShares)
	}
	c := &s.Classes[ask.Class]
	work := c.Work.Seconds() * lognormal(o.rng, c.CV)
	ask.Retries = int(l.Retries)
	if o.rng.Float64() < l.Retries-float64(ask.Retries) {
		ask.Retries++
	}
	ask.Honours = o.rng.Float64() < l.Honour
	ask.TryShare = l.TryShare + (1-l.TryShare)*o.rng.Float64()
	leaves, part := o.rng.Float64() < l.Impatient, o.rng.Float64() // both drawn, so that what follows stays the same
	if leaves {
		ask.Leaves = 0.1 + 0.8*part
	}
	if l.Stubborn > 0 { // else nothing is drawn, and what follows stays the same
		ask.Stubborn = o.rng.Float64() < l.Stubborn
	}
	heavy := o.rng.Float64()
	for i := range s.Faults {
		f := &s.Faults[i]
		if f.Kind == "heavy" && o.now >= f.At && o.now < f.End() && heavy < f.Part && (f.Class == "" || f.Class == c.Name) &&
			(f.Tenant == "" || ask.Tenant >= 0 && s.Tenants[ask.Tenant].Name == f.Tenant) {
			work *= f.Factor
		}
	}
	ask.Work = max(time.Microsecond, time.Duration(work*float64(time.Second)))
	o.next = ask
}

// draw is the index of one of the cumulated shares.
func sampleIndex(rng *rand.Rand, cumulated []float64) int {
	x := rng.Float64() * cumulated[len(cumulated)-1]
	for i, upTo := range cumulated {
		if x < upTo {
			return i
		}
	}
	return len(cumulated) - 1
}

// lognormal draws a multiple of the mean with the given coefficient of variation.
func lognormal(rng *rand.Rand, cv float64) float64 {
	if cv == 0 {
		return 1
	}
	v := math.Log(1 + cv*cv)
	return math.Exp(math.Sqrt(v)*rng.NormFloat64() - v/2)
}

// gamma draws from the gamma distribution with the given shape and scale 1, after Marsaglia and Tsang (2000).
func gamma(rng *rand.Rand, shape float64) float64 {
	if shape < 1 {
		return gamma(rng, shape+1) * math.Pow(rng.Float64(), 1/shape)
	}
	d := shape - 1.0/3
	c := 1 / math.Sqrt(9*d)
	for {
		x := rng.NormFloat64()
		v := 1 + c*x
		if v <= 0 {
			continue
		}
		v = v * v * v
		if math.Log(rng.Float64()) < x*x/2+d-d*v+d*math.Log(v) {
			return d * v
		}
	}
}
