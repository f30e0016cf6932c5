package scenario

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

// Server is one web server of a scenario's fleet.
type Server struct {
	ID    uint32 // as nodes know it; unrelated to zone, pod and type
	Zone  int    // index of its zone
	Pod   int    // index of its pod
	Type  *ServerType
	Speed float64 // of each core; 1 does a second of work a second
}

// ZoneName returns the name of the i-th zone.
func ZoneName(i int) string { return fmt.Sprintf("zone-%d", i) }

// Fleet generates the web servers. The same scenario gives the same fleet.
func (s *Scenario) Fleet() []Server {
	rng := rand.New(rand.NewPCG(s.Seed, 0x666c656574))
	ids := rng.Perm(s.Servers.Count)
	var fleet []Server
	for i := range s.Servers.Kinds {
		k := &s.Servers.Kinds[i]
		for range s.typeCount(i) {
			speed := k.Speed * math.Max(0.3, 1+k.SpeedCV*rng.NormFloat64())
			fleet = append(fleet, Server{Type: k, Speed: speed})
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

// SelectTargets returns which of n servers or nodes the i-th fault affects: a random share of them, at least one. The
// model and the rig get the same ones.
func (s *Scenario) SelectTargets(fault, n int, share float64) []int {
	rng := rand.New(rand.NewPCG(s.Seed, 0x686974<<16+uint64(fault)))
	count := min(n, max(1, int(math.Round(share*float64(n)))))
	return rng.Perm(n)[:count]
}

// FaultTargets returns the targets of each fault by their indexes; they are nodes or servers, depending on its kind.
func (s *Scenario) FaultTargets(fleet []Server) [][]int {
	var targets [][]int
	for i := range s.Faults {
		f := &s.Faults[i]
		var selected []int
		switch f.Kind {
		case "node_roll", "node_crash", "node_upgrade", "node_stop":
			selected = s.SelectTargets(i, s.Nodes, f.Share)
		case "zone_loss":
			for k := range fleet {
				if fleet[k].Zone == f.Zone {
					selected = append(selected, k)
				}
			}
		case "proxy_down", "proxy_slow", "proxy_nonsense":
			for k := 0; k < len(fleet); k += 2 {
				selected = append(selected, k)
			}
		default:
			selected = s.SelectTargets(i, len(fleet), f.Share)
		}
		targets = append(targets, selected)
	}
	return targets
}

// Operation is one thing that a client wants done. The client makes one or more tries, each a request to a node, which
// share one deadline.
type Operation struct {
	Index            int           // operations are numbered in the order of their start
	At               time.Duration // start of its first try
	Class            int           // index in Scenario.Classes
	Tenant           int           // index in Scenario.Tenants; -1 where there are none
	Work             time.Duration // on a standard core
	Retries          int           // maximum number of tries after the first
	HonorsRetryAfter bool          // the client waits for as long as a Retry-After says
	TryShare         float64       // share of the deadline after which the client gives up a try
	LeaveShare       float64       // share of its waiting time after which the client disconnects early; 0: it does not
	RepeatsUnsafely  bool          // the client repeats a keyed request although no response permits that
}

// Workload generates the operations of a scenario in the order of their start. Those that a flash crowd adds come from
// random streams of their own: all other operations are the same with and without it. It is not safe for concurrent
// use.
type Workload struct {
	streams   []*operationStream
	nextIndex int
}

// operationStream generates the operations of one random stream.
type operationStream struct {
	scenario     *Scenario
	rng          *rand.Rand
	now          time.Duration
	end          time.Duration
	rateFactor   float64   // multiple of the scenario's rate
	classShares  []float64 // cumulative, by index
	tenantShares []float64 // cumulative, by index
	onlyTenant   int       // index of the only tenant; -1: all tenants
	next         Operation // next operation, valid if hasNext
	hasNext      bool
}

// Workload returns a generator that starts with the first operation.
func (s *Scenario) Workload() *Workload {
	workload := &Workload{streams: []*operationStream{s.newStream(0x61736b73, 0, s.Duration, 1, "")}}
	for i := range s.Faults {
		if f := &s.Faults[i]; f.Kind == "flash" && f.Factor > 1 {
			workload.streams = append(workload.streams,
				s.newStream(0x666c617368<<8+uint64(i), f.At, min(f.End(), s.Duration), f.Factor-1, f.Tenant))
		}
	}
	return workload
}

// newStream returns the random stream of the given number, from one time to another, at a multiple of the scenario's
// rate. With a tenant's name it has operations of this tenant only.
func (s *Scenario) newStream(number uint64, from, to time.Duration, factor float64, tenant string) *operationStream {
	o := &operationStream{scenario: s, rng: rand.New(rand.NewPCG(s.Seed, number)), now: from, end: to,
		rateFactor: factor, onlyTenant: -1}
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

// Next returns the next operation, and false after the last.
func (w *Workload) Next() (Operation, bool) {
	var earliest *operationStream
	for _, o := range w.streams {
		if o.hasNext && (earliest == nil || o.next.At < earliest.next.At) {
			earliest = o
		}
	}
	if earliest == nil {
		return Operation{}, false
	}
	op := earliest.next
	op.Index = w.nextIndex
	w.nextIndex++
	earliest.generate()
	return op, true
}

// generate sets the next operation of the stream. The order of the random draws must not change: scenarios would give
// other operations for the same seed.
func (o *operationStream) generate() {
	s, clients := o.scenario, &o.scenario.Clients
	rate := s.Rate() * o.rateFactor
	if clients.Wave > 0 {
		rate *= 1 + clients.Wave*math.Sin(2*math.Pi*o.now.Seconds()/clients.WavePeriod.Seconds())
	}
	gap := 1.0
	switch clients.Arrivals {
	case "poisson":
		gap = o.rng.ExpFloat64()
	case "bursty":
		gap = gamma(o.rng, 1/(clients.Burstiness*clients.Burstiness)) * clients.Burstiness * clients.Burstiness
	}
	o.now += time.Duration(min(gap/max(rate, 1e-9), 1e9) * float64(time.Second))
	if o.hasNext = o.now < o.end; !o.hasNext {
		return
	}
	op := Operation{At: o.now, Class: sampleIndex(o.rng, o.classShares), Tenant: o.onlyTenant}
	if o.onlyTenant < 0 && len(s.Tenants) > 0 {
		op.Tenant = sampleIndex(o.rng, o.tenantShares)
	}
	class := &s.Classes[op.Class]
	work := class.Work.Seconds() * lognormal(o.rng, class.CV)
	op.Retries = int(clients.Retries)
	if o.rng.Float64() < clients.Retries-float64(op.Retries) {
		op.Retries++
	}
	op.HonorsRetryAfter = o.rng.Float64() < clients.Honour
	op.TryShare = clients.TryShare + (1-clients.TryShare)*o.rng.Float64()
	leaves, fraction := o.rng.Float64() < clients.Impatient, o.rng.Float64() // always two draws: later ones stay the same
	if leaves {
		op.LeaveShare = 0.1 + 0.8*fraction
	}
	if clients.Stubborn > 0 { // no draw where it is 0, so that scenarios without it keep their operations
		op.RepeatsUnsafely = o.rng.Float64() < clients.Stubborn
	}
	heavy := o.rng.Float64()
	for i := range s.Faults {
		f := &s.Faults[i]
		if f.Kind == "heavy" && o.now >= f.At && o.now < f.End() && heavy < f.Part &&
			(f.Class == "" || f.Class == class.Name) &&
			(f.Tenant == "" || op.Tenant >= 0 && s.Tenants[op.Tenant].Name == f.Tenant) {
			work *= f.Factor
		}
	}
	op.Work = max(time.Microsecond, time.Duration(work*float64(time.Second)))
	o.next = op
}

// sampleIndex returns a random index, weighted by cumulative shares.
func sampleIndex(rng *rand.Rand, cumulative []float64) int {
	x := rng.Float64() * cumulative[len(cumulative)-1]
	for i, upTo := range cumulative {
		if x < upTo {
			return i
		}
	}
	return len(cumulative) - 1
}

// lognormal returns a lognormally distributed random number with mean 1 and the given coefficient of variation.
func lognormal(rng *rand.Rand, cv float64) float64 {
	if cv == 0 {
		return 1
	}
	v := math.Log(1 + cv*cv)
	return math.Exp(math.Sqrt(v)*rng.NormFloat64() - v/2)
}

// gamma returns a gamma-distributed random number with the given shape and scale 1, by the method of Marsaglia and
// Tsang (2000).
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
