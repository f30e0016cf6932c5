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

// loose lengthens the rules' time limits where CI runs them: a verdict must not hang on how busy the machine is.
const testSlack = 2 * time.Second

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
	flag.Set("test.parallel", "6") // the days wait far more than they work
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

func runRig(t *testing.T, s scenario.Scenario) measure.Result {
	t.Helper()
	if err := s.Check(); err != nil {
		t.Fatal(err)
	}
	r, err := Run(context.Background(), s, Options{Binary: binary, Slack: testSlack})
	if err != nil {
		t.Fatal(err)
	}
	if r.BrokenTotal() > 0 {
		t.Errorf("%v\n%s", r.Broken, strings.Join(r.Breaches, "\n"))
	}
	return r
}

// The smoke scenario on real sockets: the rules are kept, and what can't hang on the machine's speed agrees with the model.
func TestSmoke(t *testing.T) {
	t.Parallel()
	text, _ := deploylab.Read("smoke")
	s, err := scenario.Parse("smoke", text)
	if err != nil {
		t.Fatal(err)
	}
	r := runRig(t, s)
	m, err := model.Run(s, model.Options{Make: model.Portstall})
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("rig %.3f in time, p50 %.0f ms; model %.3f, %.0f ms; %v", r.All.Share(), r.Latency.P50, m.All.Share(), m.Latency.P50, r.Endings)
	if r.All.Asked != m.All.Asked || math.Abs(r.All.Offered-m.All.Offered) > 1e-6 {
		t.Errorf("the rig was asked %+v, the model %+v", r.All, m.All)
	}
	if r.All.Served < r.All.Asked/2 {
		t.Errorf("only %d of %d were served: %v", r.All.Served, r.All.Asked, r.Causes)
	}
	if r.Attempts < r.All.Served {
		t.Errorf("%d attempts served %d asks", r.Attempts, r.All.Served)
	}
}

// Faults that the smoke scenario does not have, one after the other on a small fleet; the rules are kept.
func TestFaults(t *testing.T) {
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
		t.Errorf("only %d of %d were served: %v", r.All.Served, r.All.Asked, r.Causes)
	}
}

// Opaque tunnels stand while their servers are told to drain and a node is restarted: the rules are kept, the one on how long
// a tunnel may outlive the word among them.
func TestTunnels(t *testing.T) {
	t.Parallel()
	text, _ := deploylab.Read("tunnels")
	s, err := scenario.Parse("tunnels", text)
	if err != nil {
		t.Fatal(err)
	}
	s.Duration, s.Clients.Rate, s.Classes[0].Stands, s.Rules.TunnelDrain = 8*time.Second, 60, 4*time.Second, 500*time.Millisecond
	s.Faults[0].At, s.Faults[0].For, s.Faults[1].At = 3*time.Second, 4*time.Second, 6*time.Second
	if r := runRig(t, s); r.All.Served < r.All.Asked*8/10 {
		t.Errorf("only %d of %d were served: %v", r.All.Served, r.All.Asked, r.Causes)
	}
}

func TestWhatTheRigCannotPlay(t *testing.T) {
	s := scenario.Default()
	s.Faults = []scenario.Fault{{Kind: "cut", At: 1, For: 1, Share: 1, Nodes: 0.5}}
	if _, err := Run(context.Background(), s, Options{}); err == nil || !strings.Contains(err.Error(), "faults[0].kind") {
		t.Errorf("a cut: %v", err)
	}
	s = scenario.Default()
	s.Servers.Count = 1000
	if _, err := Run(context.Background(), s, Options{}); err == nil || !strings.Contains(err.Error(), "1000 servers") {
		t.Errorf("a thousand servers: %v", err)
	}
}

// Every way in and every way to the servers, with what can go wrong on either: the rules are kept, and most are served. A
// tunnelled client gets through no repeat that a plain one does not, and behind a proxy in trouble nothing runs twice.
func TestWaysInAndOut(t *testing.T) {
	ms := time.Millisecond
	for _, front := range []string{"", "socks5", "connect"} {
		for _, back := range []string{"", "socks5", "connect"} {
			t.Run("clients "+front+" servers "+back, func(t *testing.T) {
				t.Parallel()
				s := scenario.Default()
				s.Name, s.Duration, s.Warmup, s.Servers.Count, s.Clients.Rate = "ways", 6*time.Second, 0, 8, 25
				s.Clients.Via, s.Servers.Via = front, back
				s.Faults = []scenario.Fault{
					{Kind: "error", At: 300 * ms, For: 700 * ms, Share: 0.25, Part: 0.5},
					{Kind: "reset", At: 300 * ms, For: 700 * ms, Share: 0.25, Part: 0.5},
					{Kind: "cut_answer", At: 800 * ms, For: 500 * ms, Share: 0.5, Part: 0.5},
					{Kind: "vanish", At: 1500 * ms, For: time.Second, Share: 0.25},
					{Kind: "crash", At: 2500 * ms, For: 500 * ms, Share: 0.25},
					{Kind: "drain", At: 3 * time.Second, For: 1500 * ms, Share: 0.25},
					{Kind: "node_roll", At: 5 * time.Second, For: 500 * ms, Share: 0.5, Delay: 200 * ms},
				}
				if back != "" {
					s.Faults = append(s.Faults,
						scenario.Fault{Kind: "proxy_down", At: 1200 * ms, For: 300 * ms},
						scenario.Fault{Kind: "proxy_nonsense", At: 2 * time.Second, For: 500 * ms},
						scenario.Fault{Kind: "proxy_slow", At: 3500 * ms, For: 500 * ms, Delay: 300 * ms})
				}
				r := runRig(t, s)
				t.Logf("%v %v", r.Endings, r.Causes)
				if r.All.Served < r.All.Asked/2 {
					t.Errorf("only %d of %d were served: %v", r.All.Served, r.All.Asked, r.Causes)
				}
				m, err := model.Run(s, model.Options{Make: model.Portstall})
				if err != nil {
					t.Fatal(err)
				}
				if m.BrokenTotal() > 0 {
					t.Errorf("model: %v\n%s", m.Broken, strings.Join(m.Breaches, "\n"))
				}
				t.Logf("rig %.3f in time, model %.3f", r.All.Share(), m.All.Share())
			})
		}
	}
}
