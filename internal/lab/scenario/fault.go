package scenario

import (
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/goccy/go-yaml"
)

// Fault is a failure or a deliberate action that is injected for a limited time. FaultKinds says which fields each kind
// uses; the others are zero.
type Fault struct {
	Kind   string        `yaml:"kind"`
	At     time.Duration `yaml:"at,omitempty"`     // start
	For    time.Duration `yaml:"for,omitempty"`    // length
	Share  float64       `yaml:"share,omitempty"`  // share of the servers or nodes that it affects
	Part   float64       `yaml:"part,omitempty"`   // share of the requests that it affects
	Factor float64       `yaml:"factor,omitempty"` // multiple: how much slower, heavier or more
	Delay  time.Duration `yaml:"delay,omitempty"`  // see the kind
	Class  string        `yaml:"class,omitempty"`  // heavy: only this class; empty: all
	Tenant string        `yaml:"tenant,omitempty"` // flash, heavy, poison: only this tenant; empty: all
	Zone   int           `yaml:"zone,omitempty"`   // zone_loss: index of the zone
	Says   string        `yaml:"says,omitempty"`   // agent_says: replies, separated by |, for a second each; empty: none
	Nodes  float64       `yaml:"nodes,omitempty"`  // cut: share of the nodes that do not reach the servers
}

// End returns the time at which the fault ends.
func (f *Fault) End() time.Duration { return f.At + f.For }

// FaultKind describes a kind of fault and says which fields of a Fault it uses.
type FaultKind struct {
	About                             string // one line of text for people
	Share, Part, Factor, Delay, Nodes bool   // the field is used and required
	Instant                           bool   // it has no length
	Rig                               bool   // the rig supports it; the model supports all kinds
}

// FaultKinds lists the kinds of faults that the model and the rig know, by name. About says what a kind does when it
// begins and when it ends.
var FaultKinds = map[string]FaultKind{
	"vanish": {About: "servers stop responding without resetting connections; they return cold",
		Share: true, Rig: true},
	"crash": {About: "server processes die: connections are reset, new ones refused; they return cold",
		Share: true, Rig: true},
	"cold": {About: "servers restart instantly and are cold", Share: true, Instant: true, Rig: true},
	"drain": {About: "servers are announced as draining; after the fault's length they restart and are cold",
		Share: true, Rig: true},
	"error": {About: "partial failure: servers respond to a share of their requests with an error at once",
		Share: true, Part: true, Rig: true},
	"slow": {About: "partial failure: servers take factor times as long for a share of their requests",
		Share: true, Part: true, Factor: true, Rig: true},
	"reset": {About: "partial failure: servers reset the connection of a share of their requests",
		Share: true, Part: true, Rig: true},
	"cut_answer": {About: "partial failure: servers break off a share of their responses in the middle",
		Share: true, Part: true, Rig: true},
	"backlog":    {About: "servers accept no new connections; open connections continue", Share: true, Rig: true},
	"report_lag": {About: "load reports are older by the delay", Delay: true, Rig: true},
	"report_lie": {About: "servers report their queue length times the factor",
		Share: true, Factor: true, Rig: true},
	"heavy":       {About: "a share of the requests has factor times the work", Part: true, Factor: true, Rig: true},
	"roster_down": {About: "discovery is unavailable and ends its watches", Rig: true},
	"node_roll": {About: "nodes are restarted one after the other over the fault's length; each is down for the delay",
		Share: true, Delay: true, Rig: true},
	"node_crash": {About: "nodes are killed and return after the fault's length with their last server list",
		Share: true, Rig: true},
	"node_upgrade": {About: "nodes are replaced by successors while they serve, one after the other over the length",
		Share: true},
	"node_stop": {About: "nodes are suspended (SIGSTOP) and resume after the fault's length",
		Share: true, Rig: true},
	"shared_slow": {About: "every server is slower by the factor", Factor: true, Rig: true},
	"cut": {About: "a share of the nodes does not reach a share of the servers; nothing is reset",
		Share: true, Nodes: true},
	"flash": {About: "a flash crowd: the arrival rate times the factor", Factor: true, Rig: true},
	"storm": {About: "clients retry factor times as often, with a tenth of the backoff",
		Factor: true, Rig: true},
	"proxy_down": {About: "the first proxy in front of the servers dies: connections are reset, new ones refused",
		Rig: true},
	"proxy_slow": {About: "the first proxy in front of the servers takes the delay to open a connection",
		Delay: true, Rig: true},
	"proxy_nonsense": {About: "the first proxy in front of the servers sends malformed replies; open connections continue",
		Rig: true},
	"poison": {About: "a share of a tenant's requests kills the server that it reaches, which returns cold after the delay",
		Part: true, Delay: true},
	"agent_says": {About: "agents of servers reply as the fault says, whatever the server's state",
		Share: true, Rig: true},
	"check_fails": {About: "health checks of servers fail, whatever the server's state", Share: true, Rig: true},
	"zone_loss":   {About: "all servers of one zone stop responding; they return cold", Rig: true},
}

// WithRandomFaults returns the scenario with the given seed and a few random faults in place of its own. They may
// overlap and are of any kind that the scenario supports, except zone_loss, poison and node_upgrade. The same scenario
// and seed give the same faults.
func WithRandomFaults(s Scenario, seed uint64) Scenario {
	rng := rand.New(rand.NewPCG(seed, 0x64726177))
	length := s.Duration - s.Warmup
	names := slices.DeleteFunc(FaultKindNames(), func(kind string) bool {
		return kind == "zone_loss" || kind == "poison" || kind == "node_upgrade" ||
			needsChecks(kind) && (s.Health == nil || s.Health.Checks == nil) || needsProxies(kind) && s.Servers.Via == ""
	}) // the zone may be the only one, and a poison needs a tenant
	s.Seed, s.Faults = seed, nil
	for range 2 + rng.IntN(4) {
		f := Fault{Kind: names[rng.IntN(len(names))]}
		f.At = s.Warmup + time.Duration(rng.Float64()*0.6*float64(length)).Round(time.Millisecond)
		f.For = time.Duration((0.05 + 0.25*rng.Float64()) * float64(length)).Round(time.Millisecond)
		kind := FaultKinds[f.Kind]
		if kind.Share {
			f.Share = 0.05 + 0.3*rng.Float64()
		}
		if kind.Part {
			f.Part = 0.02 + 0.4*rng.Float64()
		}
		if kind.Factor {
			f.Factor = 1.3 + 2*rng.Float64()
		}
		if kind.Delay {
			f.Delay = time.Duration((0.3 + 2*rng.Float64()) * float64(time.Second)).Round(time.Millisecond)
		}
		if kind.Nodes {
			f.Nodes = 0.5
		}
		if kind.Instant {
			f.For = 0
		}
		s.Faults = append(s.Faults, f)
	}
	return s
}

// needsProxies reports whether a kind affects the proxies in front of the servers.
func needsProxies(kind string) bool { return strings.HasPrefix(kind, "proxy_") }

// needsChecks reports whether a kind affects the results of agents and health checks.
func needsChecks(kind string) bool { return kind == "agent_says" || kind == "check_fails" }

// FaultKindNames returns the names of all kinds in alphabetical order.
func FaultKindNames() []string { return SortedKeys(FaultKinds) }

// SortedKeys returns a map's keys in alphabetical order, for iterations whose order must be deterministic.
func SortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

// String returns the fault as a line of a scenario file.
func (f Fault) String() string {
	text, err := yaml.MarshalWithOptions(f, yaml.Flow(true))
	if err != nil {
		return f.Kind
	}
	return strings.TrimSpace(string(text))
}
