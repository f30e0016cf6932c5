// Package scenario says what a lab run plays: a fleet, its clients, what goes wrong and when. The model in virtual time
// and the rig on real sockets play the same value. It has no I/O beyond reading a file, no clock, and all randomness
// comes from the scenario's seed.
package scenario

import (
	"fmt"
	"time"

	"portstall/internal/config"
	"portstall/internal/contract"
	"portstall/policy"
)

// Scenario is one day in the life of a fleet. All times count from its start. The zero value is not usable: Parse fills
// in defaults and checks.
type Scenario struct {
	Name     string        `yaml:"name"`
	About    string        `yaml:"about"`
	Seed     uint64        `yaml:"seed"`     // all that is drawn comes from it
	Duration time.Duration `yaml:"duration"` // arrivals end then; what was taken is still answered
	Warmup   time.Duration `yaml:"warmup"`   // what arrives before this is not counted
	Nodes    int           `yaml:"nodes"`
	Servers  Servers       `yaml:"servers"`
	Network  Network       `yaml:"network"`
	Roster   Roster        `yaml:"roster"`
	Front    Front         `yaml:"front"`
	Clients  Clients       `yaml:"clients"`
	Classes  []Class       `yaml:"classes"`
	Tenants  []Tenant      `yaml:"tenants"`
	Rules    Rules         `yaml:"rules"`
	Cells    Cells         `yaml:"cells"`
	Faults   []Fault       `yaml:"faults"`
	Forgets  bool          `yaml:"forgets"` // successors begin with nothing that was learnt, for comparison; in the model only

	config.File `yaml:",inline"` // what the nodes' own file says: services and contracts
}

// Servers is the fleet of web servers.
type Servers struct {
	Count       int         `yaml:"count"`
	Zones       int         `yaml:"zones"`    // servers are dealt over them in turn
	PodSize     int         `yaml:"pod_size"` // servers that share the memory of place-like keys; 0: one pod
	Kinds       []Kind      `yaml:"kinds"`
	Connections Connections `yaml:"connections"`
	Choke       Choke       `yaml:"choke"`
	Reports     Reports     `yaml:"reports"`
	Via         string      `yaml:"via"` // socks5 or connect: two proxies stand before them, each before every other one; none: reached directly
}

// Kind is a sort of machine.
type Kind struct {
	Name         string        `yaml:"name"`
	Share        float64       `yaml:"share"` // of the fleet
	Cores        int           `yaml:"cores"`
	Speed        float64       `yaml:"speed"`          // of a core; 1 does a second of work a second
	SpeedCV      float64       `yaml:"speed_cv"`       // how much machines of the kind differ
	SlotsPerCore int           `yaml:"slots_per_core"` // requests in work at once
	QueuePerCore int           `yaml:"queue_per_core"` // and waiting; more are turned away
	ColdFrom     float64       `yaml:"cold_from"`      // part of its capacity that it starts with
	ColdFor      time.Duration `yaml:"cold_for"`       // until it has all of it, at the latest
	WarmBy       string        `yaml:"warm_by"`        // time or work
	ErrorRate    float64       `yaml:"error_rate"`     // share of requests answered with an error
	Keeps        bool          `yaml:"keeps"`          // goes on with work whose request was cancelled
}

// Connections is what connections cost a web server.
type Connections struct {
	CapPerCore     int           `yaml:"cap_per_core"`
	HandshakeWork  time.Duration `yaml:"handshake_work"` // on a standard core
	HandshakeRTTs  int           `yaml:"handshake_rtts"`
	Idle           time.Duration `yaml:"idle"` // closed after standing idle for this
	ConnectTimeout time.Duration `yaml:"connect_timeout"`
}

// Choke is how a crowded server slows down: beyond At requests held a core each further one costs By of its speed.
type Choke struct {
	At float64 `yaml:"at"`
	By float64 `yaml:"by"`
}

// Reports is how servers tell of their queues: in every answer, as it was at the latest refresh.
type Reports struct {
	Period time.Duration `yaml:"period"`
	Delay  time.Duration `yaml:"delay"`
	Noise  float64       `yaml:"noise"` // standard deviation as a part of the figure
	Held   bool          `yaml:"held"`  // tell also how many requests they hold; in the model only
}

// Network is the way between machines.
type Network struct {
	OneWay time.Duration `yaml:"one_way"` // between nodes and servers
	Client time.Duration `yaml:"client"`  // between clients and nodes
	Jitter float64       `yaml:"jitter"`  // exponential, as a part of the delay
}

// Roster is what tells the nodes of servers.
type Roster struct {
	Push         bool          `yaml:"push"`          // unasked; else nodes watch
	AddLag       time.Duration `yaml:"add_lag"`       // from a server's start until it is listed
	Notice       time.Duration `yaml:"notice"`        // from a process's end until the list tells
	SilentNotice time.Duration `yaml:"silent_notice"` // the same where the machine says nothing
	CallTime     time.Duration `yaml:"call_time"`     // one call keeps it busy for this, a line for a hundredth of it
	Timeout      time.Duration `yaml:"timeout"`       // a call that waits for longer fails
}

// Front deals clients over the nodes.
type Front struct {
	Notice time.Duration `yaml:"notice"` // goes on sending to a dead node for this
	Split  []float64     `yaml:"split"`  // shares of the nodes; evenly where it is not given
	Moves  time.Duration `yaml:"moves"`  // the shares go round by one node in this time; 0: they stay
}

// Clients is the load. Arrivals don't wait for answers.
type Clients struct {
	Via         string        `yaml:"via"`         // socks5 or connect: they come through tunnels; in the model that costs nothing
	Arrivals    string        `yaml:"arrivals"`    // poisson, constant or bursty
	Burstiness  float64       `yaml:"burstiness"`  // bursty: coefficient of variation of the gaps
	Load        float64       `yaml:"load"`        // offered work as a part of what the warm fleet can do
	Rate        float64       `yaml:"rate"`        // requests a second; goes before load
	Wave        float64       `yaml:"wave"`        // the rate swings by this part
	WavePeriod  time.Duration `yaml:"wave_period"` // over this time
	Retries     float64       `yaml:"retries"`     // further tries of a client at most; 0.5: half of them try again
	Backoff     time.Duration `yaml:"backoff"`
	Exponential bool          `yaml:"exponential"` // the back-off doubles with each try
	Honour      float64       `yaml:"honour"`      // share of clients that honour a Retry-After
	TryShare    float64       `yaml:"try_share"`   // a try is given up after this part of the deadline
	Stubborn    float64       `yaml:"stubborn"`    // share that repeat a keyed request though its answer promised nothing
	Impatient   float64       `yaml:"impatient"`   // share of tries that the client leaves early
}

// Class is one kind of request.
type Class struct {
	Name     string        `yaml:"name"`
	Share    float64       `yaml:"share"`
	Work     time.Duration `yaml:"work"` // mean, on a standard core
	CV       float64       `yaml:"cv"`   // lognormal
	Aim      time.Duration `yaml:"aim"`
	Deadline time.Duration `yaml:"deadline"`
	Worth    float64       `yaml:"worth"`
	Effect   string        `yaml:"effect"` // safe, keyed or unsafe
	Group    string        `yaml:"group"`  // keyed: all, zone or pod
	Window   time.Duration `yaml:"window"` // keyed
	Stands   time.Duration `yaml:"stands"` // an opaque tunnel, which stands for this long on average; 0: a request
}

// Holds is how long an ask's tunnel stands that comes to stand at the given time: as its work is to its class's, and not
// beyond the scenario's end.
func (s *Scenario) Holds(a *Ask, at time.Duration) time.Duration {
	c := &s.Classes[a.Class]
	return max(0, min(time.Duration(float64(c.Stands)*a.Work.Seconds()/c.Work.Seconds()), s.Duration-at))
}

// Cells give each tenant a subset of the servers of its own, as config.Cells do; times count from the scenario's start.
type Cells struct {
	Size    int           `yaml:"size"` // servers a tenant; 0: all share all
	Spill   float64       `yaml:"spill"`
	Memory  int           `yaml:"memory"`
	Marked  bool          `yaml:"marked"`
	Skew    time.Duration `yaml:"skew"`
	Tenants []Pinned      `yaml:"tenants"`
}

// Pinned is a tenant whose servers are those of some pods.
type Pinned struct {
	Tenant string  `yaml:"tenant"`
	Pods   []int64 `yaml:"pods"`
	Moves  []Move  `yaml:"moves"`
}

// Move takes a pinned tenant to other pods.
type Move struct {
	To      []int64       `yaml:"to"`
	Keys    []float64     `yaml:"keys"`
	Start   time.Duration `yaml:"start"`
	Prepare time.Duration `yaml:"prepare"`
	Both    time.Duration `yaml:"both"`
	Stop    time.Duration `yaml:"stop"` // 0: never
	Back    time.Duration `yaml:"back"`
}

// At is what nodes are told of cells where the scenario starts at the given time; nil where there are none.
func (c *Cells) At(start time.Time) *config.Cells {
	if c.Size == 0 {
		return nil
	}
	out := &config.Cells{Size: c.Size, Spill: c.Spill, Memory: c.Memory, Marked: c.Marked, Skew: c.Skew}
	at := func(d time.Duration) (t time.Time) {
		if d != 0 {
			t = start.Add(d)
		}
		return t
	}
	for _, v := range c.Tenants {
		p := config.Pinned{Tenant: v.Tenant, Pods: v.Pods}
		for _, m := range v.Moves {
			p.Moves = append(p.Moves, config.Move{To: m.To, Keys: m.Keys, Start: start.Add(m.Start), Prepare: m.Prepare, Both: m.Both,
				Stop: at(m.Stop), Back: at(m.Back)})
		}
		out.Tenants = append(out.Tenants, p)
	}
	return out
}

// Key is an ask's key where it must stay in one pod, whatever request carries it; empty where nothing says so.
func (s *Scenario) Key(a *Ask) string {
	c := &s.Classes[a.Class]
	if s.Cells.Size == 0 || a.Tenant < 0 || c.Effect != "keyed" || c.Group != "pod" {
		return ""
	}
	for i := range s.Cells.Tenants {
		if s.Cells.Tenants[i].Tenant == s.Tenants[a.Tenant].Name {
			return IdempotencyKey(s, a)
		}
	}
	return ""
}

// IdempotencyKey is the key that all tries of an ask carry where its class is keyed.
func IdempotencyKey(s *Scenario, a *Ask) string { return fmt.Sprintf("k-%d-%d", s.Seed, a.Index) }

// Tenant is one part of the clients.
type Tenant struct {
	Name  string  `yaml:"name"`
	Share float64 `yaml:"share"` // that it is entitled to, of what the fleet can do
	Usage float64 `yaml:"usage"` // what it sends, as a multiple of its part of the load
	Hints float64 `yaml:"hints"` // its requests' hints say this part of their cost; 0: no hints
}

// Rules are the figures that bind the nodes.
type Rules struct {
	MaxAttempts  int           `yaml:"max_attempts"`
	DrainGrace   time.Duration `yaml:"drain_grace"`
	FallMultiple float64       `yaml:"fall_multiple"`
	FallFor      time.Duration `yaml:"fall_for"`
	ColdShare    float64       `yaml:"cold_share"` // told to nodes: servers start with this part or more
	ColdFor      time.Duration `yaml:"cold_for"`   // told to nodes: and are warm by then
	AnswerSlack  time.Duration `yaml:"answer_slack"`
	TunnelDrain  time.Duration `yaml:"tunnel_drain"` // a tunnel that stands ends so long after its server's grace
	OverShare    float64       `yaml:"over_share"`   // worth of what exceeds a tenant's share
}

// Capacity is the work that the warm fleet does, in seconds a second.
func (s *Scenario) Capacity() float64 {
	sum := 0.0
	for i := range s.Servers.Kinds {
		k := &s.Servers.Kinds[i]
		sum += float64(s.typeCount(i)) * float64(k.Cores) * k.Speed
	}
	return sum
}

// kindCount is how many servers are of the i-th kind: shares are filled in order, the last kind takes the rest.
func (s *Scenario) typeCount(i int) int {
	kinds, total := s.Servers.Kinds, 0.0
	for _, k := range kinds {
		total += k.Share
	}
	before, upTo := 0.0, 0.0
	for j := 0; j <= i; j++ {
		before, upTo = upTo, upTo+kinds[j].Share/total
	}
	at := func(part float64) int { return int(part*float64(s.Servers.Count) + 0.5) }
	return at(upTo) - at(before)
}

// MeanWork is the mean work of a request, in seconds on a standard core.
func (s *Scenario) MeanWork() float64 {
	sum, shares := 0.0, 0.0
	for _, c := range s.Classes {
		sum += c.Share * c.Work.Seconds()
		shares += c.Share
	}
	return sum / shares
}

// Rate is the mean number of first tries a second, over all nodes.
func (s *Scenario) Rate() float64 {
	if s.Clients.Rate > 0 {
		return s.Clients.Rate
	}
	return s.Clients.Load * s.Capacity() / s.MeanWork()
}

// Effects and groups by the names that scenarios give them.
var (
	effectsByName = map[string]policy.Effect{"safe": policy.Safe, "keyed": policy.Keyed, "unsafe": policy.Unsafe}
	groupsByName  = map[string]policy.Group{"": policy.GroupAll, "all": policy.GroupAll, "zone": policy.GroupZone, "pod": policy.GroupCell}
)

// Settings is what the nodes are told.
func (s *Scenario) Settings() policy.Settings {
	set := policy.Settings{Zone: ZoneName(0), Nodes: s.Nodes, MustAsk: !s.Roster.Push, MustAskIn: 10 * time.Second,
		OverShare: s.Rules.OverShare, MaxAttempts: s.Rules.MaxAttempts, Cancel: true, DrainGrace: s.Rules.DrainGrace,
		ColdShare: s.Rules.ColdShare, ColdFor: s.Rules.ColdFor, FallFactor: s.Rules.FallMultiple, FallFor: s.Rules.FallFor}
	if s.Clients.Honour > 0 {
		set.RetryAfter = 2 * time.Second
	}
	for _, c := range s.Classes {
		set.Classes = append(set.Classes, policy.Class{Name: c.Name, Aim: c.Aim, Deadline: c.Deadline, Worth: c.Worth,
			Effect: effectsByName[c.Effect], Group: groupsByName[c.Group], Window: c.Window})
	}
	full := s.Capacity() / s.MeanWork()
	for _, t := range s.Tenants {
		set.Tenants = append(set.Tenants, policy.Tenant{Name: t.Name, QuotaPerS: t.Share * full * 0.8})
	}
	return set
}

// Trigger is when the first of the faults begins and ends, in seconds; both 0 where there is none.
func (s *Scenario) Trigger() [2]float64 {
	if len(s.Faults) == 0 {
		return [2]float64{}
	}
	first := &s.Faults[0]
	for i := range s.Faults {
		if s.Faults[i].At < first.At {
			first = &s.Faults[i]
		}
	}
	return [2]float64{first.At.Seconds(), first.End().Seconds()}
}

// Contracts is the table of the scenario's contracts, nil where it has none. A tenant is known by its name.
func (s *Scenario) Contracts() (*contract.Table, error) {
	known := map[string]string{}
	for _, c := range s.Classes {
		known[c.Name] = c.Effect
	}
	return config.Compile(&s.File, known)
}
