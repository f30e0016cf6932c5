package model

import (
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"portstall/internal/config"
	"portstall/internal/lab/scenario"
)

// healthSources are the sources from which a node may learn the health of servers besides requests.
var healthSources = map[string]*config.Checks{
	"requests alone": nil,
	"agents":         {Interval: time.Second, Agent: &config.AgentCheck{Port: 1}},
	"checks":         {Interval: time.Second, HTTP: &config.HTTPCheck{}},
	"both":           {Interval: time.Second, Agent: &config.AgentCheck{Port: 1}, HTTP: &config.HTTPCheck{}},
}

// healthResult is the result of a run with one source.
type healthResult struct {
	valueShare     float64       // share of the value of all requests that is served in time
	avoidDelay     time.Duration // from the first fault's start until its servers get under a tenth of their former sends
	falseEjections float64       // ejections of healthy servers per server and day
}

// runHealth runs a scenario with a source of health.
func runHealth(t *testing.T, s scenario.Scenario, checks *config.Checks) healthResult {
	t.Helper()
	s.Health = nil
	if checks != nil {
		s.Health = &config.Health{Checks: checks}
	}
	first := s.Faults[0]
	hits := s.FaultTargets(s.Fleet())
	faulty := map[int]bool{} // servers that a fault other than false reports hits
	for i, f := range s.Faults {
		if f.Kind == "agent_says" || f.Kind == "check_fails" {
			continue
		}
		for _, k := range hits[i] {
			faulty[k] = true
		}
	}
	const slice = 250 * time.Millisecond
	sends := map[int]int{} // by slices of time after the first fault's start
	falseEjections := 0
	r, err := Run(s, Options{NewDecider: Portstall, OnSend: func(now time.Duration, _, server int) {
		if faulty[server] {
			sends[int((now-first.At+100*slice)/slice)-100]++
		}
	}, OnEject: func(now time.Duration, node, server int, ejected bool) {
		if ejected && !faulty[server] {
			falseEjections++
		}
	}})
	if err != nil {
		t.Fatal(err)
	}
	if r.BreachTotal() > 0 {
		t.Errorf("%v\n%s", r.Broken, r.Breaches[0])
	}
	out := healthResult{valueShare: r.All.Earned / r.All.Offered,
		falseEjections: float64(falseEjections) / float64(s.Nodes) / float64(s.Servers.Count) / s.Duration.Hours() * 24}
	before := 0 // sends in the 4 s before the fault
	for i := -16; i < 0; i++ {
		before += sends[i]
	}
	for i := 0; time.Duration(i)*slice < first.For; i++ {
		if now := sends[i] + sends[i+1] + sends[i+2] + sends[i+3]; float64(now) < 0.1*float64(before)/4 {
			break
		}
		out.avoidDelay += slice
	}
	return out
}

// healthScenarios returns the scenarios in which the sources are compared, by name.
func healthScenarios(seed uint64) map[string]scenario.Scenario {
	sec := time.Second
	base := func(faults ...scenario.Fault) scenario.Scenario {
		s := scenario.Default()
		s.Name, s.Seed, s.Duration, s.Faults = "health", seed, 40*sec, faults
		s.Servers.Count, s.Clients.Load = 20, 0.55
		return s
	}
	gray := scenario.Fault{Kind: "error", At: 10 * sec, For: 20 * sec, Share: 0.15, Part: 0.4}
	vanish := scenario.Fault{Kind: "vanish", At: 10 * sec, For: 15 * sec, Share: 0.15}
	slow := scenario.Fault{Kind: "slow", At: 10 * sec, For: 20 * sec, Share: 0.15, Part: 0.8, Factor: 6}
	drain := scenario.Fault{Kind: "drain", At: 10 * sec, For: 12 * sec, Share: 0.15}
	falseReports := func(says string, share float64) scenario.Fault {
		return scenario.Fault{Kind: "agent_says", At: 8 * sec, For: 25 * sec, Share: share, Says: says}
	}
	return map[string]scenario.Scenario{
		"gray":                                 base(gray),
		"vanish":                               base(vanish),
		"slow":                                 base(slow),
		"drain":                                base(drain),
		"gray, all agents say up":              base(gray, falseReports("up ready 100%", 1)),
		"vanish, all agents say down":          base(vanish, falseReports("down", 1)),
		"vanish, all agents say drain":         base(vanish, falseReports("drain", 1)),
		"gray, a third of the agents say down": base(gray, falseReports("down", 0.33)),
		"gray, agents flip":                    base(gray, falseReports("down|up", 1)),
		"gray, agents contradict themselves":   base(gray, falseReports("up drain 100%|down ready 0%", 1)),
		"gray, agents stall":                   base(gray, falseReports("", 1)),
		"vanish, all checks fail": base(vanish, scenario.Fault{Kind: "check_fails", At: 8 * sec,
			For: 25 * sec, Share: 1}),
		"gray, checks fail at a third": base(gray, scenario.Fault{Kind: "check_fails", At: 8 * sec,
			For: 25 * sec, Share: 0.33}),
		"vanish while nodes restart, all agents lie": base(vanish, falseReports("down|drain|0%", 1),
			scenario.Fault{Kind: "node_roll", At: 12 * sec, For: 4 * sec, Share: 1, Delay: 500 * time.Millisecond}),
	}
}

// With every source and every kind of false report the rules are kept, and the value that is served is at most 0.05
// below that with requests as the only source, the price of false reports by less than half of the agents.
// PORTSTALL_HEALTH sets the number of seeds and runs all scenarios; the log is the table of docs/health.md.
func TestHealthSourcesNeverCostValue(t *testing.T) {
	t.Parallel()
	seeds, brief := 1, true
	if n, err := strconv.Atoi(os.Getenv("PORTSTALL_HEALTH")); err == nil {
		seeds, brief = n, false
	}
	for _, name := range scenario.SortedKeys(healthScenarios(1)) {
		if brief && !slices.Contains([]string{"drain", "gray, agents contradict themselves", "vanish, all checks fail"}, name) {
			continue
		}
		sums := map[string]healthResult{}
		for seed := range uint64(seeds) {
			for source, checks := range healthSources {
				got := runHealth(t, healthScenarios(seed + 1)[name], checks)
				s := sums[source]
				sums[source] = healthResult{s.valueShare + got.valueShare/float64(seeds),
					s.avoidDelay + got.avoidDelay/time.Duration(seeds), s.falseEjections + got.falseEjections/float64(seeds)}
			}
		}
		alone := sums["requests alone"]
		for _, source := range scenario.SortedKeys(healthSources) {
			s := sums[source]
			t.Logf("%-40s %-15s value %.3f (%+.3f), steered away in %v, %.0f false ejections per server and day", name, source,
				s.valueShare, s.valueShare-alone.valueShare, s.avoidDelay, s.falseEjections)
			if s.valueShare < alone.valueShare-0.05 {
				t.Errorf("%s, %s: %.3f of the value is served in time, %.3f with requests alone", name, source, s.valueShare,
					alone.valueShare)
			}
		}
	}
}

// A third of the agents reports a drain under load. The last send of each node after it has received the report comes
// within the grace of one second. PORTSTALL_HEALTH raises the number of reports from 50 to 1000.
func TestSendsStopSoonAfterAgentDrain(t *testing.T) {
	t.Parallel()
	trials := 50
	if os.Getenv("PORTSTALL_HEALTH") != "" {
		trials = 1000
	}
	reports, latest := 0, time.Duration(0)
	for seed := uint64(1); reports < trials; seed++ {
		s := scenario.Default()
		s.Name, s.Seed, s.Duration, s.Nodes, s.Servers.Count, s.Clients.Load = "word", seed, 20*time.Second, 3, 15, 0.7
		s.Faults = []scenario.Fault{{Kind: "agent_says", At: 5 * time.Second, For: 10 * time.Second, Share: 0.33, Says: "drain"}}
		s.Health = &config.Health{Checks: healthSources["agents"]}
		type nodeServer struct{ node, server int }
		received := map[nodeServer]time.Duration{}
		r, err := Run(s, Options{NewDecider: Portstall, OnSend: func(now time.Duration, node, server int) {
			if at, ok := received[nodeServer{node, server}]; ok {
				latest = max(latest, now-at)
			}
		}, OnEject: func(now time.Duration, node, server int, ejected bool) {
			if ejected {
				received[nodeServer{node, server}] = now
				reports++
			} else {
				delete(received, nodeServer{node, server})
			}
		}})
		if err != nil {
			t.Fatal(err)
		}
		if r.BreachTotal() > 0 {
			t.Errorf("seed %d: %v\n%s", seed, r.Broken, r.Breaches[0])
		}
	}
	t.Logf("%d drains reported, the latest send %v after one", reports, latest)
	if latest >= time.Second {
		t.Errorf("sent %v after the report of a drain", latest)
	}
}
