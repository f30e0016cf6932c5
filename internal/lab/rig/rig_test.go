package rig

import (
	"context"
	"flag"
	"math"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"portstall/internal/lab/measure"
	"portstall/internal/lab/model"
	"portstall/internal/lab/scenario"

	deploylab "portstall/deploy/lab"
)

// testSlack is added to the rules' time limits in tests, so that the result does not depend on the load of the machine.
const testSlack = 2 * time.Second

// binary is the path of the program, which TestMain builds.
var binary string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "portstall-test")
	if err != nil {
		panic(err)
	}
	binary = filepath.Join(dir, "portstall")
	if out, err := exec.Command("go", "build", "-o", binary, "portstall/cmd/portstall").CombinedOutput(); err != nil {
		panic(string(out))
	}
	flag.Set("test.parallel", "6") // runs mostly wait
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

// runRig runs a scenario and fails the test if a rule is broken.
func runRig(t *testing.T, s scenario.Scenario) measure.Result {
	t.Helper()
	if err := s.Check(); err != nil {
		t.Fatal(err)
	}
	r, err := Run(context.Background(), s, Options{Binary: binary, Slack: testSlack})
	if err != nil {
		t.Fatal(err)
	}
	if r.BreachTotal() > 0 {
		t.Errorf("rules broken: %v\n%s", r.Broken, strings.Join(r.Breaches, "\n"))
	}
	return r
}

// The smoke scenario on real sockets breaks no rule, and results that do not depend on the machine's speed are those of
// the model.
func TestSmokeScenarioAgreesWithModel(t *testing.T) {
	t.Parallel()
	text, _ := deploylab.Read("smoke")
	s, err := scenario.Parse("smoke", text)
	if err != nil {
		t.Fatal(err)
	}
	r := runRig(t, s)
	m, err := model.Run(s, model.Options{NewDecider: model.Portstall})
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("rig %.3f in time, p50 %.0f ms; model %.3f, %.0f ms; %v", r.All.EarnedShare(), r.Latency.P50, m.All.EarnedShare(), m.Latency.P50, r.Endings)
	if r.All.Asked != m.All.Asked || math.Abs(r.All.Offered-m.All.Offered) > 1e-6 {
		t.Errorf("the rig counts %+v, the model %+v; want the same operations and offered value", r.All, m.All)
	}
	if r.All.Served < r.All.Asked/2 {
		t.Errorf("only %d of %d operations were served: %v", r.All.Served, r.All.Asked, r.Causes)
	}
	if r.Attempts < r.All.Served {
		t.Errorf("%d attempts for %d served operations", r.Attempts, r.All.Served)
	}
}

// No rule is broken under faults that the smoke scenario does not have, on a small fleet.
func TestFaultsBreakNoRule(t *testing.T) {
	t.Parallel()
	s := scenario.Default()
	s.Name, s.Duration, s.Warmup, s.Servers.Count, s.Clients.Load = "faults", 11*time.Second, 0, 8, 0.3
	ms := time.Millisecond
	s.Faults = []scenario.Fault{
		{Kind: "error", At: 500 * ms, For: time.Second, Share: 0.25, Part: 0.5},
		{Kind: "reset", At: 500 * ms, For: time.Second, Share: 0.25, Part: 0.5},
		{Kind: "cut_answer", At: 1500 * ms, For: time.Second, Share: 0.5, Part: 0.5},
		{Kind: "backlog", At: 2 * time.Second, For: time.Second, Share: 0.25},
		{Kind: "crash", At: 3 * time.Second, For: time.Second, Share: 0.25},
		{Kind: "drain", At: 4 * time.Second, For: 2 * time.Second, Share: 0.25},
		{Kind: "cold", At: 5 * time.Second, Share: 0.25},
		{Kind: "roster_down", At: 5 * time.Second, For: 2 * time.Second},
		{Kind: "report_lie", At: 6 * time.Second, For: time.Second, Share: 0.5, Factor: 10},
		{Kind: "report_lag", At: 6 * time.Second, For: time.Second, Delay: time.Second},
		{Kind: "slow", At: 6 * time.Second, For: time.Second, Share: 0.25, Part: 0.5, Factor: 3},
		{Kind: "node_stop", At: 7 * time.Second, For: 500 * ms, Share: 0.5},
		{Kind: "node_roll", At: 8 * time.Second, For: time.Second, Share: 0.5, Delay: 200 * ms},
		{Kind: "shared_slow", At: 9 * time.Second, For: time.Second, Factor: 1.5},
		{Kind: "storm", At: 9 * time.Second, For: time.Second, Factor: 2},
	}
	r := runRig(t, s)
	t.Logf("%v %v", r.Endings, r.Causes)
	if r.All.Served < r.All.Asked/2 {
		t.Errorf("only %d of %d operations were served: %v", r.All.Served, r.All.Asked, r.Causes)
	}
}

// Open opaque tunnels break no rule while their servers drain and a node is restarted, including the limit on how long
// a tunnel may outlive the announcement of the drain.
func TestOpaqueTunnelsBreakNoRule(t *testing.T) {
	t.Parallel()
	text, _ := deploylab.Read("tunnels")
	s, err := scenario.Parse("tunnels", text)
	if err != nil {
		t.Fatal(err)
	}
	s.Duration, s.Clients.Rate, s.Classes[0].Stands, s.Rules.TunnelDrain = 8*time.Second, 60, 4*time.Second, 500*time.Millisecond
	s.Faults[0].At, s.Faults[0].For, s.Faults[1].At = 3*time.Second, 4*time.Second, 6*time.Second
	if r := runRig(t, s); r.All.Served < r.All.Asked*8/10 {
		t.Errorf("only %d of %d operations were served: %v", r.All.Served, r.All.Asked, r.Causes)
	}
}

// The rig rejects faults and fleets that it does not support.
func TestUnsupportedScenariosAreRejected(t *testing.T) {
	s := scenario.Default()
	s.Faults = []scenario.Fault{{Kind: "cut", At: 1, For: 1, Share: 1, Nodes: 0.5}}
	if _, err := Run(context.Background(), s, Options{}); err == nil || !strings.Contains(err.Error(), "faults[0].kind") {
		t.Errorf("fault of kind cut: %v, want an error that names faults[0].kind", err)
	}
	s = scenario.Default()
	s.Servers.Count = 1000
	if _, err := Run(context.Background(), s, Options{}); err == nil || !strings.Contains(err.Error(), "1000 servers") {
		t.Errorf("1000 servers: %v, want an error that says so", err)
	}
}

// For every protocol of clients and of proxies in front of the servers, faults on either side break no rule and at
// least half of the operations are served. Clients in tunnels get no repeats that direct clients do not get, and
// nothing runs twice behind a faulty proxy.
func TestClientAndProxyProtocols(t *testing.T) {
	ms := time.Millisecond
	for _, clientProtocol := range []string{"", "socks5", "connect"} {
		for _, proxyProtocol := range []string{"", "socks5", "connect"} {
			t.Run("client protocol "+clientProtocol+", proxy protocol "+proxyProtocol, func(t *testing.T) {
				t.Parallel()
				s := scenario.Default()
				s.Name, s.Duration, s.Warmup, s.Servers.Count, s.Clients.Rate = "ways", 6*time.Second, 0, 8, 25
				s.Clients.Via, s.Servers.Via = clientProtocol, proxyProtocol
				s.Faults = []scenario.Fault{
					{Kind: "error", At: 300 * ms, For: 700 * ms, Share: 0.25, Part: 0.5},
					{Kind: "reset", At: 300 * ms, For: 700 * ms, Share: 0.25, Part: 0.5},
					{Kind: "cut_answer", At: 800 * ms, For: 500 * ms, Share: 0.5, Part: 0.5},
					{Kind: "vanish", At: 1500 * ms, For: time.Second, Share: 0.25},
					{Kind: "crash", At: 2500 * ms, For: 500 * ms, Share: 0.25},
					{Kind: "drain", At: 3 * time.Second, For: 1500 * ms, Share: 0.25},
					{Kind: "node_roll", At: 5 * time.Second, For: 500 * ms, Share: 0.5, Delay: 200 * ms},
				}
				if proxyProtocol != "" {
					s.Faults = append(s.Faults,
						scenario.Fault{Kind: "proxy_down", At: 1200 * ms, For: 300 * ms},
						scenario.Fault{Kind: "proxy_nonsense", At: 2 * time.Second, For: 500 * ms},
						scenario.Fault{Kind: "proxy_slow", At: 3500 * ms, For: 500 * ms, Delay: 300 * ms})
				}
				r := runRig(t, s)
				t.Logf("%v %v", r.Endings, r.Causes)
				if r.All.Served < r.All.Asked/2 {
					t.Errorf("only %d of %d operations were served: %v", r.All.Served, r.All.Asked, r.Causes)
				}
				m, err := model.Run(s, model.Options{NewDecider: model.Portstall})
				if err != nil {
					t.Fatal(err)
				}
				if m.BreachTotal() > 0 {
					t.Errorf("model: rules broken: %v\n%s", m.Broken, strings.Join(m.Breaches, "\n"))
				}
				t.Logf("rig %.3f in time, model %.3f", r.All.EarnedShare(), m.All.EarnedShare())
			})
		}
	}
}
