package scenario

import (
	"math"
	"reflect"
	"strings"
	"testing"
	"time"

	deploylab "portstall/deploy/lab"
)

// The scenarios that come with the program parse, and each carries its file's name and a description.
func TestBuiltInScenariosAreValid(t *testing.T) {
	names := deploylab.Names()
	if len(names) < 12 {
		t.Fatalf("only the scenarios %q, want 12 or more", names)
	}
	for _, name := range names {
		text, _ := deploylab.Read(name)
		s, err := Parse(name+".yaml", text)
		if err != nil {
			t.Error(err)
		}
		if s.Name != name || s.About == "" {
			t.Errorf("%s: name %q, about %q; want the file's name and a text", name, s.Name, s.About)
		}
	}
}

// An error of a scenario file is one line that names the file, the line and the field.
func TestParseErrorsNameFileLineAndField(t *testing.T) {
	for _, c := range []struct{ text, want string }{
		{"name: [", "day.yaml:1:"},
		{"name: x\nduration: soon\n", "day.yaml:2:"},
		{"name: x\nnodes: many\n", "day.yaml:2:"},
		{"name: x\nserver: {count: 3}\n", `day.yaml:2: unknown field "server"`},
		{"name: x\nservers:\n  cuont: 3\n", `day.yaml:3: unknown field "cuont"`},
		{"about: no name\n", "day.yaml: name: missing"},
		{"name: x\nnodes: 0\n", "day.yaml:2: nodes: 0 is outside 1 to 100"},
		{"name: x\nnodes: 101\n", "day.yaml:2: nodes"},
		{"name: x\nservers:\n  count: 10001\n", "day.yaml:3: servers.count"},
		{"name: x\nwarmup: 2m\n", "day.yaml:2: warmup"},
		{"name: x\nduration: 1ms\n", "day.yaml:2: duration"},
		{"name: x\nservers:\n  kinds:\n  - {name: a, share: 1, cores: 0}\n", "day.yaml:4: servers.kinds[0].cores"},
		{"name: x\nservers:\n  kinds:\n  - {name: a, share: 1, cores: 1, speed: 1, slots_per_core: 1, cold_from: 1, warm_by: magic}\n",
			"servers.kinds[0].warm_by: \"magic\" is none of"},
		{"name: x\nclients: {arrivals: often}\n", "day.yaml:2: clients.arrivals"},
		{"name: x\nclients: {load: -1}\n", "clients.load"},
		{"name: x\nclients: {load: .nan}\n", "clients.load"},
		{"name: x\nclasses:\n- {name: a, share: 1, work: 1ms, deadline: 1s, aim: 2s, effect: safe}\n", "day.yaml:3: classes[0].aim"},
		{"name: x\nclasses:\n- {name: a, share: 1, work: 1ms, deadline: 1s, aim: 1s, effect: keyed}\n", "classes[0].window"},
		{"name: x\nclasses:\n- {name: a, share: 1, work: 1ms, deadline: 1s, aim: 1s, effect: magic}\n", "classes[0].effect"},
		{"name: x\nfaults:\n- {kind: storm, at: 1s, for: 1s, factor: 2}\n- {kind: earthquake, at: 1s}\n", "day.yaml:4: faults[1].kind"},
		{"name: x\nfaults:\n- {kind: vanish, at: 1s, share: 0.1}\n", "faults[0].for"},
		{"name: x\nfaults:\n- {kind: vanish, at: 1h, for: 1s, share: 0.1}\n", "faults[0].at"},
		{"name: x\nfaults:\n- {kind: vanish, at: 1s, for: 1s, share: 1.1}\n", "faults[0].share"},
		{"name: x\nfaults:\n- {kind: vanish, at: 1s, for: 1s, share: 0.1, factor: 3}\n", "faults[0].factor: faults of kind vanish do not use it"},
		{"name: x\nfaults:\n- {kind: heavy, at: 1s, for: 1s, part: 0.1, factor: 3, class: none}\n", "faults[0].class"},
		{"name: x\nfaults:\n- {kind: zone_loss, at: 1s, for: 1s, zone: 1}\n", "faults[0].zone"},
		{"name: x\ntenants:\n- {name: a, share: 0.5}\n- {name: a, share: 0.5}\n", "tenants[1].name"},
		{"name: x\nrules: {max_attempts: 0}\n", "rules.max_attempts"},
	} {
		_, err := Parse("day.yaml", []byte(c.text))
		if err == nil || !strings.Contains(err.Error(), c.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%q: error %v, want one line with %q", c.text, err, c.want)
		}
	}
}

// Operations and random faults depend on the seed alone, and random faults pass the checks of a scenario.
func TestSeedDeterminesOperationsAndFaults(t *testing.T) {
	s := Default()
	s.Name = "x"
	list := func(s *Scenario) []Operation {
		var all []Operation
		for workload := s.Workload(); ; {
			a, ok := workload.Next()
			if !ok {
				return all
			}
			all = append(all, a)
		}
	}
	if a := list(&s); len(a) < 1000 || !reflect.DeepEqual(a, list(&s)) {
		t.Errorf("%d operations; want 1000 or more, the same twice", len(a))
	}
	other := s
	other.Seed = 2
	if reflect.DeepEqual(list(&s)[:10], list(&other)[:10]) {
		t.Error("another seed gives the same operations")
	}
	if !reflect.DeepEqual(WithRandomFaults(s, 7), WithRandomFaults(s, 7)) || reflect.DeepEqual(WithRandomFaults(s, 7).Faults, WithRandomFaults(s, 8).Faults) {
		t.Error("random faults: want the same for one seed, others for another")
	}
	for seed := range uint64(200) {
		d := WithRandomFaults(s, seed)
		if err := d.Check(); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
	}
}

// Generated operations have the rate, mean work, tenants' shares and variation of gaps that the scenario states.
func TestWorkloadMatchesScenario(t *testing.T) {
	for _, arrivals := range []string{"poisson", "constant", "bursty"} {
		s := Default()
		s.Name, s.Duration, s.Clients.Arrivals, s.Clients.Wave = "x", 2000*time.Second, arrivals, 0.2
		n, work, tenants := 0, 0.0, map[int]int{}
		gaps, squares, last := 0.0, 0.0, time.Duration(0)
		for workload := s.Workload(); ; {
			op, ok := workload.Next()
			if !ok {
				break
			}
			n++
			work += op.Work.Seconds()
			tenants[op.Tenant]++
			gap := (op.At - last).Seconds()
			last, gaps, squares = op.At, gaps+gap, squares+gap*gap
		}
		if got, want := float64(n)/s.Duration.Seconds(), s.Rate(); math.Abs(got/want-1) > 0.03 {
			t.Errorf("%s: %.1f operations a second, want %.1f", arrivals, got, want)
		}
		if got := work / float64(n) / s.MeanWork(); math.Abs(got-1) > 0.03 {
			t.Errorf("%s: mean work is %.3f of the stated mean, want 1", arrivals, got)
		}
		if got := float64(tenants[0]) / float64(n); math.Abs(got-0.72) > 0.01 {
			t.Errorf("%s: the first tenant's share is %.3f, want 0.72", arrivals, got)
		}
		mean := gaps / float64(n)
		cv := math.Sqrt(squares/float64(n)-mean*mean) / mean
		if want := map[string]float64{"poisson": 1, "constant": 0.14, "bursty": 2}[arrivals]; math.Abs(cv-want) > 0.15 {
			t.Errorf("%s: coefficient of variation of the gaps is %.2f, want %.2f", arrivals, cv, want)
		}
	}
}

// A flash crowd of one tenant leaves the rates of the others unchanged; one without a tenant multiplies all rates.
func TestFlashCrowdMultipliesArrivals(t *testing.T) {
	count := func(tenant string) map[int]int {
		s := Default()
		s.Name, s.Duration = "x", 200*time.Second
		s.Faults = []Fault{{Kind: "flash", At: 100 * time.Second, For: 100 * time.Second, Factor: 3, Tenant: tenant}}
		arrivals := map[int]int{}
		for workload := s.Workload(); ; {
			op, ok := workload.Next()
			if !ok {
				return arrivals
			}
			half := 0
			if op.At >= 100*time.Second {
				half = 10
			}
			arrivals[op.Tenant+half]++
		}
	}
	near := func(what string, got, want float64) {
		if math.Abs(got/want-1) > 0.1 {
			t.Errorf("rate of %s: times %.2f, want %.2f", what, got, want)
		}
	}
	arrivals := count("panhandle")
	near("the tenant of the flash crowd", float64(arrivals[12])/float64(arrivals[2]), 3)
	near("another tenant", float64(arrivals[10])/float64(arrivals[0]), 1)
	arrivals = count("")
	near("all tenants", float64(arrivals[10]+arrivals[11]+arrivals[12])/float64(arrivals[0]+arrivals[1]+arrivals[2]), 3)
}

// The fleet has the stated numbers of servers by type, zone and pod. A fault affects its share of them, at least one,
// the same each time, and another fault affects others.
func TestFleetAndFaultTargets(t *testing.T) {
	s := Default()
	s.Name, s.Servers.Count, s.Servers.Zones, s.Servers.PodSize = "x", 100, 4, 10
	ids, types, zones, pods := map[uint32]bool{}, map[string]int{}, map[int]int{}, map[int]int{}
	for _, v := range s.Fleet() {
		ids[v.ID] = true
		types[v.Type.Name]++
		zones[v.Zone]++
		pods[v.Pod]++
	}
	if len(ids) != 100 || types["std-2c"] != 36 || zones[3] != 25 || len(pods) != 10 || pods[9] != 10 {
		t.Errorf("%d ids, types %v, zones %v, pods %v", len(ids), types, zones, pods)
	}
	if targets := s.SelectTargets(0, 100, 0.1); len(targets) != 10 || !reflect.DeepEqual(targets, s.SelectTargets(0, 100, 0.1)) ||
		reflect.DeepEqual(targets, s.SelectTargets(1, 100, 0.1)) {
		t.Errorf("targets of the first fault: %v, want the same 10 each time, and others for the second", targets)
	}
	if targets := s.SelectTargets(0, 3, 0.01); len(targets) != 1 {
		t.Errorf("targets of a fault with a small share: %v, want 1", targets)
	}
}
