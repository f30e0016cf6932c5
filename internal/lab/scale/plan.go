// Package scale tries the control side of a node at the size that docs/CAPACITY.md is about: hollow nodes, many a process, real
// nodes with clients, and a stand-in discovery, all on loopback, by the plans of deploy/lab/scale. Slopes are measured at several
// sizes and told for the full one beside a budget; a fleet with churn goes through faults, and each change is followed until it is
// in force. A run is bounded in time, memory and processes, and leaves nothing behind.
package scale

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"portstall/internal/config"
)

// Plan is what a run does. Parts that are left out are not run.
type Plan struct {
	Name      string        `yaml:"name"`
	About     string        `yaml:"about"`
	Bound     time.Duration `yaml:"bound"`     // the whole run has ended by then, or has failed
	MemoryMB  int           `yaml:"memory_mb"` // resident, of all its processes together
	Processes int           `yaml:"processes"`
	Size      Size          `yaml:"size"`
	List      *ListPlan     `yaml:"list"`
	Hollow    *HollowPlan   `yaml:"hollow"`
	Contracts []int         `yaml:"contracts"` // sizes of tables of contracts
	Files     []int         `yaml:"files"`     // contracts in product files that `config check` reads whole
	Plans     []int         `yaml:"plans"`     // servers, for the cost of the policy's plan
	Members   *MembersPlan  `yaml:"members"`
	Parts     []int         `yaml:"parts"` // nodes among which a contract is split
	Control   *ControlPlan  `yaml:"control"`
	Pool      *PoolPlan     `yaml:"pool"`
	Fleet     *FleetPlan    `yaml:"fleet"`
	Budgets   []Budget      `yaml:"budgets"`
}

// Size is the full one, for which slopes are told.
type Size struct {
	Nodes    int     `yaml:"nodes"`
	Servers  int     `yaml:"servers"`
	Services int     `yaml:"services"`
	Routes   int     `yaml:"routes"`
	Tenants  int     `yaml:"tenants"`
	Zones    int     `yaml:"zones"`
	Regions  int     `yaml:"regions"`
	Rate     float64 `yaml:"rate"`     // requests a second, over all nodes
	Changes  float64 `yaml:"changes"`  // of configuration, a day
	Restarts float64 `yaml:"restarts"` // of servers, a day
	Failures float64 `yaml:"failures"` // of machines, a day
}

// List measures real nodes, without clients, at several sizes of the list.
type ListPlan struct {
	Servers []int         `yaml:"servers"`
	AtRest  time.Duration `yaml:"at_rest"` // how long each is left alone for its cost at rest
	Deltas  int           `yaml:"deltas"`  // changes of one server
	Wholes  int           `yaml:"wholes"`  // whole lists
}

// Hollow measures hollow nodes in one process.
type HollowPlan struct {
	Nodes   []int         `yaml:"nodes"`
	Servers int           `yaml:"servers"`
	AtRest  time.Duration `yaml:"at_rest"`
}

// Members measures members' talk in virtual time.
type MembersPlan struct {
	Sizes []int         `yaml:"sizes"`
	For   time.Duration `yaml:"for"`   // of virtual time, after as much to join
	Limit time.Duration `yaml:"limit"` // of real time for one size; what takes longer is said, and left out
}

// Control measures control processes, and real nodes that follow them before a full list.
type ControlPlan struct {
	Contracts []int         `yaml:"contracts"` // sizes of the configuration
	Servers   int           `yaml:"servers"`   // on the nodes' list
	AtRest    time.Duration `yaml:"at_rest"`
	Changes   int           `yaml:"changes"`  // of one contract, one after the other
	Watchers  []int         `yaml:"watchers"` // hollow nodes that follow one control process
}

// Pool measures what one node's connections are worth as the servers become many.
type PoolPlan struct {
	Servers []int         `yaml:"servers"`
	Rate    float64       `yaml:"rate"`    // requests a second at each node
	For     time.Duration `yaml:"for"`     // counted,
	Warmup  time.Duration `yaml:"warmup"`  // after so long
	Service time.Duration `yaml:"service"` // what a server takes
	Idle    time.Duration `yaml:"idle"`    // how long servers let a connection rest
}

// Fleet is hollow and real nodes together, and what they go through.
type FleetPlan struct {
	Servers   int           `yaml:"servers"`
	Hollow    int           `yaml:"hollow"`    // nodes,
	Processes int           `yaml:"processes"` // in so many processes
	Garbage   int           `yaml:"garbage"`   // that those may have, in percent of what lives: less memory for more processor time; 0: as Go has it
	Real      int           `yaml:"real"`      // nodes as processes, with clients
	Rate      float64       `yaml:"rate"`      // requests a second at each of those
	Speed     float64       `yaml:"speed"`     // of churn, against life
	Calm      time.Duration `yaml:"calm"`      // before the first fault
	Limit     time.Duration `yaml:"limit"`     // for a change to be in force at all: a run in which it is not has failed
	Controls  int           `yaml:"controls"`  // control processes: the first is the writer; 0: no node follows any
	Contracts int           `yaml:"contracts"` // of their configuration
	Keep      time.Duration `yaml:"keep"`      // for how long they keep deltas; 0: as they do by themselves
	Faults    []Fault       `yaml:"faults"`
}

// Fault is one thing that happens, with a change amid it.
type Fault struct {
	Kind  string        `yaml:"kind"` // one of Kinds
	For   time.Duration `yaml:"for"`
	Life  time.Duration `yaml:"life"`  // how long it lasts in life, where the run makes it shorter
	Share float64       `yaml:"share"` // of the nodes, for nodes_restart
	Rate  float64       `yaml:"rate"`  // of changes of the configuration, a second, in its second half, beside those of the fleet's speed; for regions_cut and region_alone
}

// Kinds are the faults that there are, with what they do.
var FaultKinds = map[string]string{
	"none":          "nothing: an ordinary day",
	"region_cut":    "the nodes of one region lose control and discovery; their packets vanish",
	"regions_cut":   "the writer's region and the last one lose each other, control processes and nodes; both reach the others, and discovery",
	"region_alone":  "the last region loses all others, control processes and nodes; it has itself, and discovery",
	"nodes_restart": "all nodes are restarted in turn, a share of them at a time",
	"machine_loss":  "one server is gone",
	"machine_cold":  "it is back, just started",
	"rack_loss":     "all servers of a rack are gone at once",
	"rack_cold":     "they are back at once, just started",
	"zone_loss":     "all servers of a zone are gone at once",
	"zone_cold":     "they are back at once, just started",
	"control_kill":  "a control process that is not the writer is killed; it returns at the end",
	"writer_kill":   "the writer is killed, its files change, and it returns",
	"controls_one":  "all control processes but the writer are killed; it bears all nodes until they return at the end",
	"controls_out":  "all control processes are killed, the files change, and they return",
	"discovery_out": "discovery answers nobody",
}

// Budget is what a figure may come to.
type Budget struct {
	Row  string  `yaml:"row"`
	Most float64 `yaml:"most"`
	Must bool    `yaml:"must"`
}

// Bounds of plans: beyond them a figure is a mistake.
const (
	maxServers   = 20_000
	maxNodes     = 2_000
	maxContracts = 100_000
	maxBound     = time.Hour
)

// Parse reads a plan. An error names file, line and field.
func Parse(name string, text []byte) (*Plan, error) {
	p := &Plan{}
	if err := config.Decode(name, text, p, p.check); err != nil {
		return nil, err
	}
	return p, nil
}

func fieldError(field, why string, args ...any) error {
	return &config.FieldError{Path: field, Why: fmt.Sprintf(why, args...)}
}

// sizes checks a list of sizes of which a line is to be made.
func checkSizes(field string, list []int, least, most int) error {
	for i, n := range list {
		if n < least || n > most {
			return fieldError(fmt.Sprintf("%s[%d]", field, i), "%d is outside %d to %d", n, least, most)
		}
	}
	if len(slices.Compact(slices.Sorted(slices.Values(list)))) < 3 {
		return fieldError(field, "%v: %v", list, errPoints)
	}
	return nil
}

func (p *Plan) check() error {
	switch {
	case p.Name == "":
		return fieldError("name", "missing")
	case p.Bound <= 0 || p.Bound > maxBound:
		return fieldError("bound", "%v is outside 0 to %v", p.Bound, maxBound)
	case p.MemoryMB < 64 || p.MemoryMB > 12<<10:
		return fieldError("memory_mb", "%d is outside 64 to %d", p.MemoryMB, 12<<10)
	case p.Processes < 1 || p.Processes > 200:
		return fieldError("processes", "%d is outside 1 to 200", p.Processes)
	case p.Size.Nodes < 1 || p.Size.Servers < 1 || p.Size.Tenants < 1 || p.Size.Zones < 1 || p.Size.Regions < 1:
		return fieldError("size", "nodes, servers, tenants, zones and regions are at least 1")
	}
	if l := p.List; l != nil {
		if err := checkSizes("list.servers", l.Servers, 1, maxServers); err != nil {
			return err
		}
		if l.AtRest <= 0 || l.Deltas < 1 || l.Wholes < 1 {
			return fieldError("list", "at_rest, deltas and wholes are over 0")
		}
	}
	if h := p.Hollow; h != nil {
		if err := checkSizes("hollow.nodes", h.Nodes, 0, maxNodes); err != nil {
			return err
		}
		if h.Servers < 1 || h.Servers > maxServers || h.AtRest <= 0 {
			return fieldError("hollow", "servers and at_rest are over 0")
		}
	}
	for _, s := range []struct {
		field string
		list  []int
		most  int
	}{{"contracts", p.Contracts, maxContracts}, {"files", p.Files, maxContracts}, {"plans", p.Plans, maxServers}, {"parts", p.Parts, maxNodes}} {
		if s.list != nil {
			if err := checkSizes(s.field, s.list, 1, s.most); err != nil {
				return err
			}
		}
	}
	if m := p.Members; m != nil {
		if err := checkSizes("members.sizes", m.Sizes, 2, maxNodes); err != nil {
			return err
		}
		if m.For <= 0 || m.Limit <= 0 {
			return fieldError("members", "for and limit are over 0")
		}
	}
	if c := p.Control; c != nil {
		for field, list := range map[string][]int{"control.contracts": c.Contracts, "control.watchers": c.Watchers} {
			if err := checkSizes(field, list, 0, maxContracts); err != nil {
				return err
			}
		}
		if c.Servers < 1 || c.Servers > maxServers || c.AtRest <= 0 || c.Changes < 1 {
			return fieldError("control", "servers, at_rest and changes are over 0")
		}
	}
	if l := p.Pool; l != nil {
		if err := checkSizes("pool.servers", l.Servers, 1, maxServers); err != nil {
			return err
		}
		if !(l.Rate > 0) || l.For <= 0 || l.Service <= 0 || l.Idle <= 0 || l.Warmup < 0 {
			return fieldError("pool", "rate, for, service and idle are over 0")
		}
	}
	return p.Fleet.check(p.Size.Regions)
}

// collector is what tells Go's collector in the hollow nodes' processes how much garbage there may be.
func (f *FleetPlan) gcEnvironment() []string {
	if f.Garbage == 0 {
		return nil
	}
	return []string{fmt.Sprintf("GOGC=%d", f.Garbage)}
}

func (f *FleetPlan) check(regions int) error {
	if f == nil {
		return nil
	}
	switch {
	case f.Servers < 1 || f.Servers > maxServers:
		return fieldError("fleet.servers", "%d is outside 1 to %d", f.Servers, maxServers)
	case f.Hollow < 0 || f.Hollow > maxNodes || f.Processes < 1 || f.Processes > 100:
		return fieldError("fleet.hollow", "0 to %d hollow nodes in 1 to 100 processes", maxNodes)
	case f.Real < 0 || f.Real > 50 || f.Real+f.Hollow < 1:
		return fieldError("fleet.real", "0 to 50 real nodes, and one node of either kind at least")
	case !(f.Speed > 0) || f.Speed > 10_000:
		return fieldError("fleet.speed", "%v is outside 0 to 10000", f.Speed)
	case f.Limit <= 0:
		return fieldError("fleet.limit", "is over 0")
	case f.Real > 0 && !(f.Rate > 0):
		return fieldError("fleet.rate", "is over 0 where there are real nodes")
	}
	if f.Controls < 0 || f.Controls > 9 || f.Controls > 0 && (f.Contracts < 1 || f.Contracts > maxContracts) {
		return fieldError("fleet.controls", "0 to 9 control processes, with 1 to %d contracts", maxContracts)
	}
	if f.Garbage < 0 || f.Garbage > 1000 {
		return fieldError("fleet.garbage", "%d is outside 0 to 1000", f.Garbage)
	}
	if f.Keep != 0 && (f.Keep < time.Second || f.Keep > 24*time.Hour) {
		return fieldError("fleet.keep", "%v is outside 1s to 24h", f.Keep)
	}
	for i, x := range f.Faults {
		path := fmt.Sprintf("fleet.faults[%d]", i)
		if _, known := FaultKinds[x.Kind]; !known {
			return fieldError(path+".kind", "%q is no fault", x.Kind)
		}
		if strings.HasPrefix(x.Kind, "control") && f.Controls < 2 || x.Kind == "writer_kill" && f.Controls < 1 {
			return fieldError(path+".kind", "%s wants control processes", x.Kind)
		}
		if x.Kind == "regions_cut" && (f.Controls < regions || regions < 3) || x.Kind == "region_alone" && (f.Controls < regions || regions < 2) {
			return fieldError(path+".kind", "%s wants a control process in each region, and three of them, or two for region_alone", x.Kind)
		}
		if !(x.Rate >= 0) || x.Rate > 100 {
			return fieldError(path+".rate", "%v is outside 0 to 100", x.Rate)
		}
		if x.For < 0 || x.Kind == "nodes_restart" && !(x.Share > 0 && x.Share <= 1) {
			return fieldError(path, "for is 0 or more, and a share over 0 to 1")
		}
	}
	return nil
}
