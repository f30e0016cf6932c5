package scenario

import (
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/goccy/go-yaml"
)

// Fault is something that goes wrong, or is done on purpose, for a while. Which of the figures count depends on the
// kind; Kinds says which.
type Fault struct {
	Kind   string        `yaml:"kind"`
	At     time.Duration `yaml:"at,omitempty"`
	For    time.Duration `yaml:"for,omitempty"`
	Share  float64       `yaml:"share,omitempty"`  // of the servers or nodes that it hits
	Part   float64       `yaml:"part,omitempty"`   // of the requests
	Factor float64       `yaml:"factor,omitempty"` // how much slower, heavier or more
	Delay  time.Duration `yaml:"delay,omitempty"`
	Class  string        `yaml:"class,omitempty"`  // heavy: the class; empty: all
	Tenant string        `yaml:"tenant,omitempty"` // flash, heavy: the tenant; empty: all
	Zone   int           `yaml:"zone,omitempty"`   // zone_loss
	Says   string        `yaml:"says,omitempty"`   // agent_says: the answer; several, one after the other, parted by |; empty: none comes
	Nodes  float64       `yaml:"nodes,omitempty"`  // cut: share of the nodes that don't reach the servers
}

// End is when it is over.
func (f *Fault) End() time.Duration { return f.At + f.For }

// Use says which figures of a fault a kind reads.
type Use struct {
	About                             string
	Share, Part, Factor, Delay, Nodes bool
	Instant                           bool // has no length
	Rig                               bool // the rig plays it too
}

// Kinds is the vocabulary that model and rig share. What a kind does when it begins and ends stands beside it.
var Kinds = map[string]Use{
	"vanish":         {About: "servers go silent: nothing is reset or answered; they come back cold", Share: true, Rig: true},
	"crash":          {About: "server processes die: connections are reset, new ones refused; they come back cold", Share: true, Rig: true},
	"cold":           {About: "servers restart in an instant and are cold", Share: true, Instant: true, Rig: true},
	"drain":          {About: "servers are told to finish, restart after the fault's length and are cold", Share: true, Rig: true},
	"error":          {About: "gray: servers answer a part of their requests with an error at once", Share: true, Part: true, Rig: true},
	"slow":           {About: "gray: servers take a multiple of the time for a part of their requests", Share: true, Part: true, Factor: true, Rig: true},
	"reset":          {About: "gray: servers break the connection instead of answering a part of their requests", Share: true, Part: true, Rig: true},
	"cut_answer":     {About: "gray: servers break off in the middle of a part of their answers", Share: true, Part: true, Rig: true},
	"backlog":        {About: "servers accept no new connections; those that stand go on", Share: true, Rig: true},
	"report_lag":     {About: "load reports are older by the delay", Delay: true, Rig: true},
	"report_lie":     {About: "servers report their queue times the factor", Share: true, Factor: true, Rig: true},
	"heavy":          {About: "a part of the requests is heavier by the factor", Part: true, Factor: true, Rig: true},
	"roster_down":    {About: "the roster answers nothing and ends its watches", Rig: true},
	"node_roll":      {About: "nodes are restarted one after the other over the fault's length; each is gone for the delay", Share: true, Delay: true, Rig: true},
	"node_crash":     {About: "nodes are killed and come back after the fault's length with their last list", Share: true, Rig: true},
	"node_upgrade":   {About: "nodes are replaced by a successor while they serve, one after the other over the fault's length", Share: true},
	"node_stop":      {About: "nodes are stopped (SIGSTOP) and go on after the fault's length", Share: true, Rig: true},
	"shared_slow":    {About: "every server is slower by the factor", Factor: true, Rig: true},
	"cut":            {About: "a share of the nodes does not reach a share of the servers; nothing is reset", Share: true, Nodes: true},
	"flash":          {About: "a flash crowd: arrivals times the factor", Factor: true, Rig: true},
	"storm":          {About: "clients try factor times more often, almost without waiting", Factor: true, Rig: true},
	"proxy_down":     {About: "the first proxy before the servers dies: its connections are reset, new ones refused", Rig: true},
	"proxy_slow":     {About: "the first proxy before the servers takes the delay to open a connection", Delay: true, Rig: true},
	"proxy_nonsense": {About: "the first proxy before the servers answers what no proxy does; connections that stand go on", Rig: true},
	"poison":         {About: "a part of one tenant's requests kills the server that it reaches, which comes back cold after the delay", Part: true, Delay: true},
	"agent_says":     {About: "the agents beside servers answer as the fault says, whatever is true", Share: true, Rig: true},
	"check_fails":    {About: "checks of servers fail, whatever is true", Share: true, Rig: true},
	"zone_loss":      {About: "all servers of one zone go silent; they come back cold", Rig: true},
}

// Draw gives a scenario the faults that a seed stands for: a few of any kind but the loss of a zone, a poison and an upgrade, which may overlap. The same scenario and
// seed give the same faults.
func Draw(s Scenario, seed uint64) Scenario {
	rng := rand.New(rand.NewPCG(seed, 0x64726177))
	span := s.Duration - s.Warmup
	kinds := slices.DeleteFunc(KindNames(), func(kind string) bool {
		return kind == "zone_loss" || kind == "poison" || kind == "node_upgrade" || needsChecks(kind) && (s.Health == nil || s.Health.Checks == nil) || needsProxies(kind) && s.Servers.Via == ""
	}) // it may be the only zone, and a poison wants its tenant
	s.Seed, s.Faults = seed, nil
	for range 2 + rng.IntN(4) {
		f := Fault{Kind: kinds[rng.IntN(len(kinds))]}
		f.At = s.Warmup + time.Duration(rng.Float64()*0.6*float64(span)).Round(time.Millisecond)
		f.For = time.Duration((0.05 + 0.25*rng.Float64()) * float64(span)).Round(time.Millisecond)
		use := Kinds[f.Kind]
		if use.Share {
			f.Share = 0.05 + 0.3*rng.Float64()
		}
		if use.Part {
			f.Part = 0.02 + 0.4*rng.Float64()
		}
		if use.Factor {
			f.Factor = 1.3 + 2*rng.Float64()
		}
		if use.Delay {
			f.Delay = time.Duration((0.3 + 2*rng.Float64()) * float64(time.Second)).Round(time.Millisecond)
		}
		if use.Nodes {
			f.Nodes = 0.5
		}
		if use.Instant {
			f.For = 0
		}
		s.Faults = append(s.Faults, f)
	}
	return s
}

// ofProxies tells whether a kind is about the proxies before the servers.
func needsProxies(kind string) bool { return strings.HasPrefix(kind, "proxy_") }

// ofChecks tells whether a kind is about what nodes are told by agents and checks.
func needsChecks(kind string) bool { return kind == "agent_says" || kind == "check_fails" }

// KindNames lists all kinds in alphabetical order.
func KindNames() []string { return Sorted(Kinds) }

// Sorted are a map's names in alphabetical order, for what must come out the same each time.
func Sorted[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

// String is the fault as a line of a scenario file.
func (f Fault) String() string {
	text, err := yaml.MarshalWithOptions(f, yaml.Flow(true))
	if err != nil {
		return f.Kind
	}
	return strings.TrimSpace(string(text))
}
