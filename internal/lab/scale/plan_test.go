package scale

import (
	"strings"
	"testing"

	deployscale "portstall/deploy/lab/scale"
)

// Each plan of the library parses, has the name of its file, and has a budget that must hold.
func TestLibraryPlansParse(t *testing.T) {
	names := deployscale.Names()
	if len(names) < 6 {
		t.Errorf("fewer than 6 plans in the library: %v", names)
	}
	for _, want := range append([]string{"full", "quick", "small"}, names...) {
		text, known := deployscale.Read(want)
		if !known {
			t.Errorf("plan %s is not among %v", want, names)
			continue
		}
		p, err := Parse(want, text)
		if err != nil {
			t.Error(err)
			continue
		}
		must := 0
		for _, b := range p.Budgets {
			if b.Must {
				must++
			}
		}
		if p.Name != want || must == 0 {
			t.Errorf("plan %s: named %q, %d budgets that must hold", want, p.Name, must)
		}
	}
	if _, known := deployscale.Read("nowhere"); known {
		t.Error("a plan that does not exist was read")
	}
}

// planHead is the smallest valid plan, to which tests add lines.
const planHead = "name: p\nbound: 1s\nmemory_mb: 100\nprocesses: 2\nsize: {nodes: 1, servers: 1, tenants: 1, zones: 1, regions: 1}\n"

// cutPlan returns a plan of three control processes with the given regions and fault, both in YAML.
func cutPlan(regions, fault string) string {
	return strings.Replace(planHead, "regions: 1", regions, 1) +
		"fleet: {servers: 1, hollow: 1, processes: 1, speed: 1, limit: 1s, controls: 3, contracts: 1, faults: [{" + fault + "}]}\n"
}

// Errors in a plan name the file, line and field, and what is wrong.
func TestPlanErrorsNameFileLineAndField(t *testing.T) {
	if _, err := Parse("p.yaml", []byte(planHead)); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ text, want string }{
		{strings.Replace(planHead, "name: p\n", "", 1), "p.yaml: name"},
		{strings.Replace(planHead, "1s", "2h", 1), "p.yaml:2: bound: 2h0m0s is outside"},
		{strings.Replace(planHead, "memory_mb: 100", "memory_mb: 13000", 1), "p.yaml:3: memory_mb: 13000 is outside"},
		{strings.Replace(planHead, "processes: 2", "processes: 201", 1), "p.yaml:4: processes: 201 is outside"},
		{strings.Replace(planHead, "nodes: 1", "nodes: 0", 1), "p.yaml:5: size: "},
		{planHead + "plans: [1, 2, 2]\n", "p.yaml:6: plans: [1 2 2]: a slope needs"},
		{planHead + "parts: [0, 1, 2]\n", "p.yaml:6: parts[0]: 0 is outside"},
		{planHead + "list: {servers: [1, 2, 3], deltas: 1, wholes: 1}\n", "p.yaml:6: list: at_rest"},
		{planHead + "fleet: {servers: 1, hollow: 1, processes: 1, speed: 1, limit: 1s, faults: [{kind: flood}]}\n",
			`fleet.faults[0].kind: "flood" is not a known fault`},
		{planHead + "fleet: {servers: 1, hollow: 1, processes: 1, speed: 1, limit: 1s, faults: [{kind: nodes_restart}]}\n", "fleet.faults[0]: "},
		{planHead + "fleet: {servers: 1, hollow: 1, processes: 1, speed: 0, limit: 1s}\n", "fleet.speed"},
		{planHead + "fleet: {servers: 1, processes: 1, speed: 1, limit: 1s}\n", "fleet.real"},
		{cutPlan("regions: 3", "kind: regions_cut"), ""},
		{cutPlan("regions: 2", "kind: region_alone"), ""},
		{cutPlan("regions: 2", "kind: regions_cut"),
			`fleet.faults[0].kind: regions_cut needs a control process in each region`},
		{cutPlan("regions: 4", "kind: region_alone"),
			`fleet.faults[0].kind: region_alone needs a control process in each region`},
		{cutPlan("regions: 1", "kind: region_alone"), `fleet.faults[0].kind: region_alone needs`},
		{cutPlan("regions: 3", "kind: region_alone, rate: 101"), "fleet.faults[0].rate: 101 is outside"},
		{cutPlan("regions: 3", "kind: region_alone, rate: -1"), "fleet.faults[0].rate: -1 is outside"},
		{strings.Replace(cutPlan("regions: 3", "kind: none"), "speed", "keep: 1ms, speed", 1),
			"fleet.keep: 1ms is outside"},
		{strings.Replace(cutPlan("regions: 3", "kind: none"), "speed", "garbage: -1, speed", 1),
			"fleet.garbage: -1 is outside"},
		{planHead + "servers: 3\n", "p.yaml:6: unknown field"},
	} {
		if _, err := Parse("p.yaml",
			[]byte(c.text)); c.want == "" && err != nil || c.want != "" && err == nil ||
			err != nil && !strings.Contains(err.Error(), c.want) {
			t.Errorf("plan %q: error %v, want %q", c.text, err, c.want)
		}
	}
}

// The plan's garbage setting becomes GOGC of the hollow nodes' processes; without it their environment has none.
func TestGCEnvironment(t *testing.T) {
	if env := (&FleetPlan{Garbage: 10}).gcEnvironment(); len(env) != 1 || env[0] != "GOGC=10" {
		t.Errorf("environment %q, want GOGC=10 alone", env)
	}
	if env := (&FleetPlan{}).gcEnvironment(); env != nil {
		t.Errorf("environment %q, want none", env)
	}
}
