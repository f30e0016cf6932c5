// Package scenario describes a lab run: a fleet of servers, its clients, and the faults that are injected. The model in
// virtual time and the rig on real sockets run the same scenario. The package does no I/O and reads no clock, and all
// randomness derives from the scenario's seed.
package scenario

import (
	"fmt"
	"time"

	"portstall/internal/config"
	"portstall/internal/contract"
	"portstall/policy"
)

// Scenario is the description of one run. All times count from its start. The zero value is not usable: Parse fills in
// the defaults and checks the fields.
type Scenario struct {
	Name     string        `yaml:"name"`
	About    string        `yaml:"about"`    // one line of text for people
	Seed     uint64        `yaml:"seed"`     // all random numbers derive from it
	Duration time.Duration `yaml:"duration"` // arrivals end then; accepted requests still get their responses
	Warmup   time.Duration `yaml:"warmup"`   // operations that start before this are excluded from the totals
	Nodes    int           `yaml:"nodes"`
	Servers  Servers       `yaml:"servers"`
	Network  Network       `yaml:"network"`
	Roster   Discovery     `yaml:"roster"`
	Front    FrontBalancer `yaml:"front"`
	Clients  Clients       `yaml:"clients"`
	Classes  []Class       `yaml:"classes"`
	Tenants  []Tenant      `yaml:"tenants"`
	Rules    Rules         `yaml:"rules"`
	Cells    Cells         `yaml:"cells"`
	Faults   []Fault       `yaml:"faults"`
	Forgets  bool          `yaml:"forgets"` // successors start without learned state, for comparison; model only

	config.File `yaml:",inline"` // the nodes' product file: services, contracts and so on
}

// Servers is the fleet of web servers.
type Servers struct {
	Count       int          `yaml:"count"`
	Zones       int          `yaml:"zones"`    // servers are assigned to them round-robin
	PodSize     int          `yaml:"pod_size"` // servers that share their memory of keys of group pod; 0: all servers
	Kinds       []ServerType `yaml:"kinds"`
	Connections Connections  `yaml:"connections"`
	Choke       Contention   `yaml:"choke"`
	Reports     Reports      `yaml:"reports"`

	// Via is the protocol, socks5 or connect, of two proxies in front of the servers, each for every other server. Empty:
	// the servers are reached directly.
	Via string `yaml:"via"`
}

// ServerType is a type of machine that web servers run on.
type ServerType struct {
	Name         string        `yaml:"name"`
	Share        float64       `yaml:"share"` // of the fleet, relative to the other types' shares
	Cores        int           `yaml:"cores"`
	Speed        float64       `yaml:"speed"`          // of a core; 1 does a second of work a second
	SpeedCV      float64       `yaml:"speed_cv"`       // coefficient of variation of the speed among machines of the type
	SlotsPerCore int           `yaml:"slots_per_core"` // concurrent requests in work
	QueuePerCore int           `yaml:"queue_per_core"` // requests that wait; further ones are rejected
	ColdFrom     float64       `yaml:"cold_from"`      // share of its capacity with which it starts
	ColdFor      time.Duration `yaml:"cold_for"`       // time: until it has its full capacity; work: see fleet.Ramp
	WarmBy       string        `yaml:"warm_by"`        // time or work: what raises the capacity of a cold server
	ErrorRate    float64       `yaml:"error_rate"`     // share of requests that it responds to with an error
	Keeps        bool          `yaml:"keeps"`          // it completes the work of canceled requests
}

// Connections describes the limits and costs of connections to web servers.
type Connections struct {
	CapPerCore     int           `yaml:"cap_per_core"`   // open connections; further ones are reset
	HandshakeWork  time.Duration `yaml:"handshake_work"` // on a standard core
	HandshakeRTTs  int           `yaml:"handshake_rtts"` // round trips
	Idle           time.Duration `yaml:"idle"`           // idle time after which the server closes a connection
	ConnectTimeout time.Duration `yaml:"connect_timeout"`
}

// Contention describes how a server slows down under load: above At requests per core, in work or waiting, its speed is
// divided by 1 plus By times the excess.
type Contention struct {
	At float64 `yaml:"at"`
	By float64 `yaml:"by"`
}

// Reports describes the load reports of servers. Each response carries the queue length as of the latest refresh.
type Reports struct {
	Period time.Duration `yaml:"period"` // between refreshes
	Delay  time.Duration `yaml:"delay"`  // until a refreshed value is reported
	Noise  float64       `yaml:"noise"`  // relative standard deviation of the reported value
	Held   bool          `yaml:"held"`   // reports also include the number of requests held; model only
}

// Network describes the network delays between machines.
type Network struct {
	OneWay time.Duration `yaml:"one_way"` // one way between nodes and servers
	Client time.Duration `yaml:"client"`  // one way between clients and nodes
	Jitter float64       `yaml:"jitter"`  // mean of an exponentially distributed extra delay, as a share of the delay
}

// Discovery describes the discovery service, which sends the server list to the nodes.
type Discovery struct {
	Push         bool          `yaml:"push"`          // it sends changes unasked; otherwise nodes watch it
	AddLag       time.Duration `yaml:"add_lag"`       // from a server's start until it is listed
	Notice       time.Duration `yaml:"notice"`        // from a process's exit until it is removed from the list
	SilentNotice time.Duration `yaml:"silent_notice"` // the same where its machine stops responding
	CallTime     time.Duration `yaml:"call_time"`     // processing time of one call; an entry takes a hundredth of it
	Timeout      time.Duration `yaml:"timeout"`       // calls that wait for longer fail
}

// FrontBalancer describes the load balancer that distributes the clients over the nodes.
type FrontBalancer struct {
	Notice time.Duration `yaml:"notice"` // time for which it keeps sending to a dead node
	Split  []float64     `yaml:"split"`  // relative shares of the nodes; empty: equal shares
	Moves  time.Duration `yaml:"moves"`  // period after which the shares rotate by one node; 0: they stay
}

// Clients describes the load. It is open-loop: arrivals do not wait for responses.
type Clients struct {
	Via         string        `yaml:"via"`         // socks5 or connect: tunnels to nodes, free in the model; empty: none
	Arrivals    string        `yaml:"arrivals"`    // poisson, constant or bursty
	Burstiness  float64       `yaml:"burstiness"`  // bursty: coefficient of variation of the interarrival times
	Load        float64       `yaml:"load"`        // offered work as a share of the warm fleet's capacity
	Rate        float64       `yaml:"rate"`        // operations a second; takes precedence over load
	Wave        float64       `yaml:"wave"`        // relative amplitude of a sinusoidal variation of the rate
	WavePeriod  time.Duration `yaml:"wave_period"` // period of this variation
	Retries     float64       `yaml:"retries"`     // maximum retries of an operation; 0.5: one retry for half of them
	Backoff     time.Duration `yaml:"backoff"`     // mean pause before a retry
	Exponential bool          `yaml:"exponential"` // the backoff doubles with each try
	Honour      float64       `yaml:"honour"`      // share of clients that honor a Retry-After
	TryShare    float64       `yaml:"try_share"`   // lowest share of the deadline after which a try is given up
	Stubborn    float64       `yaml:"stubborn"`    // share that repeat keyed requests without a promise
	Impatient   float64       `yaml:"impatient"`   // share of operations whose client disconnects early
}

// Class describes a class of requests.
type Class struct {
	Name     string        `yaml:"name"`
	Share    float64       `yaml:"share"`    // of all operations, relative to the other classes' shares
	Work     time.Duration `yaml:"work"`     // mean, on a standard core
	CV       float64       `yaml:"cv"`       // coefficient of variation of the work, which is lognormally distributed
	Aim      time.Duration `yaml:"aim"`      // target latency, from the first try
	Deadline time.Duration `yaml:"deadline"` // from the first try
	Worth    float64       `yaml:"worth"`    // value of a second of work that is served in time
	Effect   string        `yaml:"effect"`   // safe, keyed or unsafe
	Group    string        `yaml:"group"`    // keyed: the servers that recognize repeats of a key: all, zone or pod
	Window   time.Duration `yaml:"window"`   // keyed: time for which they recognize them
	Stands   time.Duration `yaml:"stands"`   // an opaque tunnel with this mean duration; 0: a request
}

// TunnelDuration returns how long an operation's tunnel stays open that is established at the given time: the mean
// duration of its class times its work relative to the class's mean, but not beyond the scenario's end.
func (s *Scenario) TunnelDuration(op *Operation, at time.Duration) time.Duration {
	class := &s.Classes[op.Class]
	return max(0, min(time.Duration(float64(class.Stands)*op.Work.Seconds()/class.Work.Seconds()), s.Duration-at))
}

// Cells assigns each tenant a subset of the servers, like config.Cells; times count from the scenario's start.
type Cells struct {
	Size    int            `yaml:"size"`    // servers of a tenant; 0: all tenants share all servers
	Spill   float64        `yaml:"spill"`   // as in config.Cells, like the following
	Memory  int            `yaml:"memory"`  // maximum number of stored keys
	Marked  bool           `yaml:"marked"`  // clients mark repeats
	Skew    time.Duration  `yaml:"skew"`    // maximum clock skew among nodes
	Tenants []PinnedTenant `yaml:"tenants"` // tenants with servers of chosen pods
}

// PinnedTenant is a tenant whose servers are those of the given pods.
type PinnedTenant struct {
	Tenant string  `yaml:"tenant"`
	Pods   []int64 `yaml:"pods"`
	Moves  []Move  `yaml:"moves"`
}

// Move moves a pinned tenant to other pods in steps; config.Move describes them.
type Move struct {
	To      []int64       `yaml:"to"`
	Keys    []float64     `yaml:"keys"`
	Start   time.Duration `yaml:"start"`
	Prepare time.Duration `yaml:"prepare"`
	Both    time.Duration `yaml:"both"`
	Stop    time.Duration `yaml:"stop"` // 0: never
	Back    time.Duration `yaml:"back"`
}

// ConfigAt returns the cells in the nodes' product file if the scenario starts at the given time, or nil if there are
// none.
func (c *Cells) ConfigAt(start time.Time) *config.Cells {
	if c.Size == 0 {
		return nil
	}
	cells := &config.Cells{Size: c.Size, Spill: c.Spill, Memory: c.Memory, Marked: c.Marked, Skew: c.Skew}
	absolute := func(d time.Duration) (t time.Time) {
		if d != 0 {
			t = start.Add(d)
		}
		return t
	}
	for _, v := range c.Tenants {
		p := config.PinnedTenant{Tenant: v.Tenant, Pods: v.Pods}
		for _, m := range v.Moves {
			p.Moves = append(p.Moves, config.Move{To: m.To, Keys: m.Keys, Start: start.Add(m.Start), Prepare: m.Prepare,
				Both: m.Both, Stop: absolute(m.Stop), Back: absolute(m.Back)})
		}
		cells.Tenants = append(cells.Tenants, p)
	}
	return cells
}

// PodKey returns the idempotency key of an operation if all requests with this key must go to one pod, and the empty
// string otherwise.
func (s *Scenario) PodKey(op *Operation) string {
	class := &s.Classes[op.Class]
	if s.Cells.Size == 0 || op.Tenant < 0 || class.Effect != "keyed" || class.Group != "pod" {
		return ""
	}
	for i := range s.Cells.Tenants {
		if s.Cells.Tenants[i].Tenant == s.Tenants[op.Tenant].Name {
			return IdempotencyKey(s, op)
		}
	}
	return ""
}

// IdempotencyKey returns the key that all tries of an operation of a keyed class carry.
func IdempotencyKey(s *Scenario, op *Operation) string {
	return fmt.Sprintf("k-%d-%d", s.Seed, op.Index)
}

// Tenant describes a group of clients.
type Tenant struct {
	Name  string  `yaml:"name"`
	Share float64 `yaml:"share"` // of the fleet's capacity to which it is entitled
	Usage float64 `yaml:"usage"` // its load, as a multiple of its share of the load
	Hints float64 `yaml:"hints"` // cost hint of its requests, as a multiple of their work; 0: no hints
}

// Rules holds the limits that the nodes have to keep.
type Rules struct {
	MaxAttempts  int           `yaml:"max_attempts"`  // for one request
	DrainGrace   time.Duration `yaml:"drain_grace"`   // how long attempts may still go to a draining or removed server
	FallMultiple float64       `yaml:"fall_multiple"` // a cold server collapses above this multiple of its capacity
	FallFor      time.Duration `yaml:"fall_for"`      // if it is exceeded for this time
	ColdShare    float64       `yaml:"cold_share"`    // configured at nodes: the least capacity share of a started server
	ColdFor      time.Duration `yaml:"cold_for"`      // configured at nodes: servers are warm after this time
	AnswerSlack  time.Duration `yaml:"answer_slack"`  // a response may come this long after the deadline
	TunnelDrain  time.Duration `yaml:"tunnel_drain"`  // open tunnels end this long after the drain grace of their server
	OverShare    float64       `yaml:"over_share"`    // relative value of load that exceeds a tenant's share
}

// Capacity returns the work that the warm fleet can do, in seconds of work a second.
func (s *Scenario) Capacity() float64 {
	sum := 0.0
	for i := range s.Servers.Kinds {
		k := &s.Servers.Kinds[i]
		sum += float64(s.typeCount(i)) * float64(k.Cores) * k.Speed
	}
	return sum
}

// typeCount returns how many servers are of the i-th type. Cumulative shares are rounded, so that the counts of all
// types add up to the number of servers.
func (s *Scenario) typeCount(i int) int {
	types, total := s.Servers.Kinds, 0.0
	for _, k := range types {
		total += k.Share
	}
	lower, upper := 0.0, 0.0
	for j := 0; j <= i; j++ {
		lower, upper = upper, upper+types[j].Share/total
	}
	at := func(share float64) int { return int(share*float64(s.Servers.Count) + 0.5) }
	return at(upper) - at(lower)
}

// MeanWork returns the mean work of a request, in seconds on a standard core.
func (s *Scenario) MeanWork() float64 {
	sum, shares := 0.0, 0.0
	for _, c := range s.Classes {
		sum += c.Share * c.Work.Seconds()
		shares += c.Share
	}
	return sum / shares
}

// Rate returns the mean number of operations that start a second, over all nodes.
func (s *Scenario) Rate() float64 {
	if s.Clients.Rate > 0 {
		return s.Clients.Rate
	}
	return s.Clients.Load * s.Capacity() / s.MeanWork()
}

// The policy's values for the words of scenario files.
var (
	effectsByName = map[string]policy.Effect{"safe": policy.Safe, "keyed": policy.Keyed, "unsafe": policy.Unsafe}
	groupsByName  = map[string]policy.Group{"": policy.GroupAll, "all": policy.GroupAll, "zone": policy.GroupZone,
		"pod": policy.GroupCell}
)

// Settings returns the policy settings of the nodes.
func (s *Scenario) Settings() policy.Settings {
	settings := policy.Settings{Zone: ZoneName(0), Nodes: s.Nodes, MustAsk: !s.Roster.Push, MustAskIn: 10 * time.Second,
		OverShare: s.Rules.OverShare, MaxAttempts: s.Rules.MaxAttempts, Cancel: true, DrainGrace: s.Rules.DrainGrace,
		ColdShare: s.Rules.ColdShare, ColdFor: s.Rules.ColdFor, FallFactor: s.Rules.FallMultiple, FallFor: s.Rules.FallFor}
	if s.Clients.Honour > 0 {
		settings.RetryAfter = 2 * time.Second
	}
	for _, c := range s.Classes {
		settings.Classes = append(settings.Classes, policy.Class{Name: c.Name, TargetLatency: c.Aim, Deadline: c.Deadline, Value: c.Worth,
			Effect: effectsByName[c.Effect], Group: groupsByName[c.Group], Window: c.Window})
	}
	capacity := s.Capacity() / s.MeanWork()
	for _, t := range s.Tenants {
		settings.Tenants = append(settings.Tenants, policy.Tenant{Name: t.Name, QuotaPerS: t.Share * capacity * 0.8})
	}
	return settings
}

// FirstFaultSpan returns the start and end of the fault that begins first, in seconds; both 0 where there is none.
func (s *Scenario) FirstFaultSpan() [2]float64 {
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

// ContractTable compiles the scenario's contracts; it returns nil where there are none. Tenants are identified by name.
func (s *Scenario) ContractTable() (*contract.Table, error) {
	effectOf := map[string]string{}
	for _, c := range s.Classes {
		effectOf[c.Name] = c.Effect
	}
	return config.Compile(&s.File, effectOf)
}
