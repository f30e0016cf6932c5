// Package scale tests the control side of a node at the fleet size that docs/CAPACITY.md describes. It runs hollow
// nodes (many in one process), real nodes with clients, and a stub discovery service, all on loopback, as the plans in
// deploy/lab/scale say. Costs are measured at several sizes, extrapolated to the full size and compared with a budget.
// A fleet whose servers and configuration keep changing goes through faults, and each followed change is timed until it
// is in force at all nodes. A run is bounded in time, memory and number of processes, and leaves no process or file
// behind.
package scale

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"portstall/internal/config"
)

// Plan says what a run does and where its limits are. Parts that are left out are not run.
type Plan struct {
	Name      string        `yaml:"name"`
	About     string        `yaml:"about"`
	Bound     time.Duration `yaml:"bound"`     // limit on the duration of the whole run; a longer run fails
	MemoryMB  int           `yaml:"memory_mb"` // limit on the resident memory of all its processes together
	Processes int           `yaml:"processes"` // limit on the number of processes, the run's own included
	Size      Size          `yaml:"size"`
	List      *ListPlan     `yaml:"list"`
	Hollow    *HollowPlan   `yaml:"hollow"`
	Contracts []int         `yaml:"contracts"` // sizes of the contract tables to measure
	Files     []int         `yaml:"files"`     // numbers of contracts in the product files that `config check` reads
	Plans     []int         `yaml:"plans"`     // numbers of servers for which the policy's plan is measured
	Members   *MembersPlan  `yaml:"members"`
	Parts     []int         `yaml:"parts"` // numbers of nodes among which a contract is split
	Control   *ControlPlan  `yaml:"control"`
	Pool      *PoolPlan     `yaml:"pool"`
	Fleet     *FleetPlan    `yaml:"fleet"`
	Budgets   []Budget      `yaml:"budgets"`
}

// Size is the full fleet size to which measurements are extrapolated.
type Size struct {
	Nodes    int     `yaml:"nodes"`
	Servers  int     `yaml:"servers"`
	Services int     `yaml:"services"`
	Routes   int     `yaml:"routes"`
	Tenants  int     `yaml:"tenants"`
	Zones    int     `yaml:"zones"`
	Regions  int     `yaml:"regions"`
	Rate     float64 `yaml:"rate"`     // requests per second, of all nodes together
	Changes  float64 `yaml:"changes"`  // configuration changes per day
	Restarts float64 `yaml:"restarts"` // restarts of servers per day
	Failures float64 `yaml:"failures"` // failures of machines per day
}

// ListPlan measures real nodes without clients at several sizes of the server list.
type ListPlan struct {
	Servers []int         `yaml:"servers"`
	AtRest  time.Duration `yaml:"at_rest"` // how long each node is left idle to measure its idle cost
	Deltas  int           `yaml:"deltas"`  // number of changes of a single server
	Wholes  int           `yaml:"wholes"`  // number of full lists to send
}

// HollowPlan measures hollow nodes that share one process.
type HollowPlan struct {
	Nodes   []int         `yaml:"nodes"`
	Servers int           `yaml:"servers"`
	AtRest  time.Duration `yaml:"at_rest"` // how long the nodes are left idle to measure their idle cost
}

// MembersPlan measures the traffic between members in virtual time.
type MembersPlan struct {
	Sizes []int         `yaml:"sizes"`
	For   time.Duration `yaml:"for"` // virtual time that is counted, after the same time for joining
	// Limit is the real time allowed for one size. A size that takes longer is left out, which the report notes.
	Limit time.Duration `yaml:"limit"`
}

// ControlPlan measures control processes, and real nodes that follow them while they hold a full server list.
type ControlPlan struct {
	Contracts []int         `yaml:"contracts"` // sizes of the configuration, in contracts
	Servers   int           `yaml:"servers"`   // number of servers in the nodes' list
	AtRest    time.Duration `yaml:"at_rest"`
	Changes   int           `yaml:"changes"`  // number of changes of one contract, made one after the other
	Watchers  []int         `yaml:"watchers"` // numbers of hollow nodes that follow one control process
}

// PoolPlan measures how well one node can reuse its connections as the number of servers grows.
type PoolPlan struct {
	Servers []int         `yaml:"servers"`
	Rate    float64       `yaml:"rate"`    // requests per second at each node
	For     time.Duration `yaml:"for"`     // how long requests are counted, after the warm-up
	Warmup  time.Duration `yaml:"warmup"`  // how long requests are sent before they are counted
	Service time.Duration `yaml:"service"` // how long a server takes for a request
	Idle    time.Duration `yaml:"idle"`    // how long servers keep an idle connection open
}

// FleetPlan describes a fleet of hollow and real nodes, and the faults that it goes through.
type FleetPlan struct {
	Servers   int `yaml:"servers"`
	Hollow    int `yaml:"hollow"`    // number of hollow nodes
	Processes int `yaml:"processes"` // number of processes that the hollow nodes are spread over
	// Garbage is GOGC of those processes, in percent of the live heap: a lower value trades CPU time for memory. 0:
	// Go's default.
	Garbage int           `yaml:"garbage"`
	Real    int           `yaml:"real"`  // number of real nodes: each is a process of its own and has clients
	Rate    float64       `yaml:"rate"`  // requests per second at each real node
	Speed   float64       `yaml:"speed"` // how many times faster than in production servers and configuration change
	Calm    time.Duration `yaml:"calm"`  // how long the fleet is measured before the first fault
	// Limit is how long a change may take to be in force at all nodes. The run fails if one takes longer.
	Limit time.Duration `yaml:"limit"`
	// Controls is the number of control processes, the first of which is the writer. 0: no node follows control.
	Controls  int           `yaml:"controls"`
	Contracts int           `yaml:"contracts"` // number of contracts in the configuration of the control processes
	Keep      time.Duration `yaml:"keep"`      // how long control processes keep deltas; 0: their default
	Faults    []Fault       `yaml:"faults"`
}

// Fault is a fault injected into the fleet, during which a change is made and followed.
type Fault struct {
	Kind  string        `yaml:"kind"`  // a key of FaultKinds
	For   time.Duration `yaml:"for"`   // how long the fault lasts in the run
	Life  time.Duration `yaml:"life"`  // how long it lasts in production, if the run shortens it
	Share float64       `yaml:"share"` // share of the nodes that restart at a time, for nodes_restart
	// Rate is how many configuration changes per second are made in the second half of regions_cut and region_alone, in
	// addition to those of the fleet's speed.
	Rate float64 `yaml:"rate"`
}

// FaultKinds maps the kinds of faults to descriptions of what they do.
var FaultKinds = map[string]string{
	"none":          "no fault: an ordinary day",
	"region_cut":    "the nodes of one region lose control and discovery; their packets are dropped",
	"regions_cut":   "the writer's region and the last one are cut from each other, control processes and nodes; both reach the other regions, and discovery",
	"region_alone":  "the last region is cut from all others, control processes and nodes; it reaches itself, and discovery",
	"nodes_restart": "all nodes are restarted in turn, a share of them at a time",
	"machine_loss":  "one server is lost",
	"machine_cold":  "the server is back, just started",
	"rack_loss":     "all servers of a rack are lost at once",
	"rack_cold":     "the rack's servers are back at once, just started",
	"zone_loss":     "all servers of a zone are lost at once",
	"zone_cold":     "the zone's servers are back at once, just started",
	"control_kill":  "a control process that is not the writer is killed; it returns at the end",
	"writer_kill":   "the writer is killed, its files change, and it returns",
	"controls_one":  "all control processes but the writer are killed; it serves all nodes until they return at the end",
	"controls_out":  "all control processes are killed, the files change, and they return",
	"discovery_out": "discovery answers no call",
}

// Budget is the maximum of a reported figure.
type Budget struct {
	Row  string  `yaml:"row"`  // ID of the row
	Most float64 `yaml:"most"` // maximum, in the unit of the row
	Must bool    `yaml:"must"` // the run fails if the budget is exceeded or was not measured
}

// Limits on the values in a plan: a larger value is rejected as a mistake.
const (
	maxServers   = 20_000
	maxNodes     = 2_000
	maxContracts = 100_000
	maxBound     = time.Hour // of a whole run
)

// Parse reads and checks a plan. Its errors name the file, line and field.
func Parse(name string, text []byte) (*Plan, error) {
	p := &Plan{}
	if err := config.Decode(name, text, p, p.check); err != nil {
		return nil, err
	}
	return p, nil
}

// fieldError returns an error about a field of a plan.
func fieldError(field, reason string, args ...any) error {
	return &config.FieldError{Path: field, Reason: fmt.Sprintf(reason, args...)}
}

// checkSizes checks a list of sizes through which a line is to be fitted: it needs three different sizes or more.
func checkSizes(field string, list []int, minSize, maxSize int) error {
	for i, n := range list {
		if n < minSize || n > maxSize {
			return fieldError(fmt.Sprintf("%s[%d]", field, i), "%d is outside %d to %d", n, minSize, maxSize)
		}
	}
	if len(slices.Compact(slices.Sorted(slices.Values(list)))) < 3 {
		return fieldError(field, "%v: %v", list, errPoints)
	}
	return nil
}

// check returns an error that names the first field whose value is invalid.
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
		return fieldError("size", "nodes, servers, tenants, zones and regions must be at least 1")
	}
	if l := p.List; l != nil {
		if err := checkSizes("list.servers", l.Servers, 1, maxServers); err != nil {
			return err
		}
		if l.AtRest <= 0 || l.Deltas < 1 || l.Wholes < 1 {
			return fieldError("list", "at_rest, deltas and wholes must be greater than 0")
		}
	}
	if h := p.Hollow; h != nil {
		if err := checkSizes("hollow.nodes", h.Nodes, 0, maxNodes); err != nil {
			return err
		}
		if h.Servers < 1 || h.Servers > maxServers || h.AtRest <= 0 {
			return fieldError("hollow", "servers and at_rest must be greater than 0")
		}
	}
	for _, s := range []struct {
		field   string
		list    []int
		maxSize int
	}{{"contracts", p.Contracts, maxContracts}, {"files", p.Files, maxContracts}, {"plans", p.Plans, maxServers},
		{"parts", p.Parts, maxNodes}} {
		if s.list != nil {
			if err := checkSizes(s.field, s.list, 1, s.maxSize); err != nil {
				return err
			}
		}
	}
	if m := p.Members; m != nil {
		if err := checkSizes("members.sizes", m.Sizes, 2, maxNodes); err != nil {
			return err
		}
		if m.For <= 0 || m.Limit <= 0 {
			return fieldError("members", "for and limit must be greater than 0")
		}
	}
	if c := p.Control; c != nil {
		for field, list := range map[string][]int{"control.contracts": c.Contracts, "control.watchers": c.Watchers} {
			if err := checkSizes(field, list, 0, maxContracts); err != nil {
				return err
			}
		}
		if c.Servers < 1 || c.Servers > maxServers || c.AtRest <= 0 || c.Changes < 1 {
			return fieldError("control", "servers, at_rest and changes must be greater than 0")
		}
	}
	if l := p.Pool; l != nil {
		if err := checkSizes("pool.servers", l.Servers, 1, maxServers); err != nil {
			return err
		}
		if !(l.Rate > 0) || l.For <= 0 || l.Service <= 0 || l.Idle <= 0 || l.Warmup < 0 {
			return fieldError("pool", "rate, for, service and idle must be greater than 0")
		}
	}
	return p.Fleet.check(p.Size.Regions)
}

// gcEnvironment returns the environment that sets the garbage collector of the hollow nodes' processes.
func (f *FleetPlan) gcEnvironment() []string {
	if f.Garbage == 0 {
		return nil
	}
	return []string{fmt.Sprintf("GOGC=%d", f.Garbage)}
}

// check returns an error that names the first field of the fleet whose value is invalid. regions is their number in the
// plan.
func (f *FleetPlan) check(regions int) error {
	if f == nil {
		return nil
	}
	switch {
	case f.Servers < 1 || f.Servers > maxServers:
		return fieldError("fleet.servers", "%d is outside 1 to %d", f.Servers, maxServers)
	case f.Hollow < 0 || f.Hollow > maxNodes || f.Processes < 1 || f.Processes > 100:
		return fieldError("fleet.hollow", "must be 0 to %d hollow nodes in 1 to 100 processes", maxNodes)
	case f.Real < 0 || f.Real > 50 || f.Real+f.Hollow < 1:
		return fieldError("fleet.real", "must be 0 to 50 real nodes, with at least one node, hollow or real")
	case !(f.Speed > 0) || f.Speed > 10_000:
		return fieldError("fleet.speed", "%v is outside 0 to 10000", f.Speed)
	case f.Limit <= 0:
		return fieldError("fleet.limit", "must be greater than 0")
	case f.Real > 0 && !(f.Rate > 0):
		return fieldError("fleet.rate", "must be greater than 0 if there are real nodes")
	}
	if f.Controls < 0 || f.Controls > 9 || f.Controls > 0 && (f.Contracts < 1 || f.Contracts > maxContracts) {
		return fieldError("fleet.controls", "must be 0 to 9 control processes, with 1 to %d contracts", maxContracts)
	}
	if f.Garbage < 0 || f.Garbage > 1000 {
		return fieldError("fleet.garbage", "%d is outside 0 to 1000", f.Garbage)
	}
	if f.Keep != 0 && (f.Keep < time.Second || f.Keep > 24*time.Hour) {
		return fieldError("fleet.keep", "%v is outside 1s to 24h", f.Keep)
	}
	for i, fault := range f.Faults {
		path := fmt.Sprintf("fleet.faults[%d]", i)
		if _, known := FaultKinds[fault.Kind]; !known {
			return fieldError(path+".kind", "%q is not a known fault", fault.Kind)
		}
		if strings.HasPrefix(fault.Kind, "control") && f.Controls < 2 || fault.Kind == "writer_kill" && f.Controls < 1 {
			return fieldError(path+".kind", "%s needs control processes", fault.Kind)
		}
		if fault.Kind == "regions_cut" && (f.Controls < regions || regions < 3) ||
			fault.Kind == "region_alone" && (f.Controls < regions || regions < 2) {
			return fieldError(path+".kind",
				"%s needs a control process in each region, and three regions, or two for region_alone", fault.Kind)
		}
		if !(fault.Rate >= 0) || fault.Rate > 100 {
			return fieldError(path+".rate", "%v is outside 0 to 100", fault.Rate)
		}
		if fault.For < 0 || fault.Kind == "nodes_restart" && !(fault.Share > 0 && fault.Share <= 1) {
			return fieldError(path, "for must not be negative, and share must be greater than 0 and at most 1")
		}
	}
	return nil
}
