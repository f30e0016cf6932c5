package model

import (
	"os"
	"testing"
	"time"

	"gonum.org/v1/gonum/stat"

	"portstall/internal/config"
	"portstall/internal/lab/scenario"
)

// earlyShares returns the share of the value served in time, and the share of requests refused, of what arrives in the
// 5 s after each of the given times.
func earlyShares(t *testing.T, s scenario.Scenario, from ...time.Duration) (value, refused float64) {
	t.Helper()
	r := run(t, s, Portstall)
	if r.BreachTotal() > 0 {
		t.Fatalf("seed %d: %v\n%s", s.Seed, r.Broken, r.Breaches[0])
	}
	var offered, earned, asked, refusals float64
	for _, at := range from {
		for i := int(at / time.Second); i < min(len(r.Series), int(at/time.Second)+5); i++ {
			v := &r.Series[i]
			offered, earned, asked, refusals = offered+v.Offered, earned+v.Earned, asked+float64(v.Asked), refusals+float64(v.Refused)
		}
	}
	return earned / offered, refusals / asked
}

// Nodes restart, crash and are upgraded with stored state and without, on the same seeds; the test compares value and
// refusals in the first 5 s. With stored state no rule is broken, also with cold servers, and the value is not lower
// beyond random variation. PORTSTALL_STATE raises the numbers of seeds to 20, and 200 with cold servers.
func TestStoredStateAtRestartCrashUpgrade(t *testing.T) {
	t.Parallel()
	seeds, cold := 3, 4
	if os.Getenv("PORTSTALL_STATE") != "" {
		seeds, cold = 20, 200
	}
	base := func(seed int, faults ...scenario.Fault) scenario.Scenario {
		s := scenario.Default()
		s.Name, s.Seed, s.Nodes, s.Servers.Count, s.Duration, s.Warmup, s.Clients.Load = "starts", uint64(seed), 2, 12, 24*time.Second, 0, 0.85
		s.Faults = faults
		return s
	}
	state := &config.State{Dir: "/", Every: time.Second}
	for _, c := range []struct {
		name  string
		fault scenario.Fault
		from  []time.Duration
	}{
		{"node_roll", scenario.Fault{Kind: "node_roll", At: 10 * time.Second, For: 6 * time.Second, Share: 1,
			Delay: 500 * time.Millisecond}, []time.Duration{10 * time.Second, 13 * time.Second}},
		{"node_crash", scenario.Fault{Kind: "node_crash", At: 10 * time.Second, For: time.Second, Share: 1},
			[]time.Duration{11 * time.Second}},
		{"node_upgrade", scenario.Fault{Kind: "node_upgrade", At: 10 * time.Second, For: time.Second, Share: 1},
			[]time.Duration{10 * time.Second}},
	} {
		var value, refused []float64 // differences: with stored state minus without
		var sum [4]float64
		for seed := 1; seed <= seeds; seed++ {
			without := base(seed, c.fault)
			without.Forgets = true
			with := base(seed, c.fault)
			with.State = state
			w1, r1 := earlyShares(t, with, c.from...)
			w0, r0 := earlyShares(t, without, c.from...)
			value, refused = append(value, w1-w0), append(refused, r1-r0)
			for i, v := range [...]float64{w1, w0, r1, r0} {
				sum[i] += v / float64(seeds)
			}
		}
		dw, sw := stat.MeanStdDev(value, nil)
		dr, sr := stat.MeanStdDev(refused, nil)
		se := func(s float64) float64 { return 2 * stat.StdErr(s, float64(seeds)) } // about a 95% confidence interval
		t.Logf("%s, %d seeds: value %.3f with stored state, %.3f without (%+.3f \u00b1 %.3f); refused %.3f and %.3f (%+.3f \u00b1 %.3f)",
			c.name, seeds, sum[0], sum[1], dw, se(sw), sum[2], sum[3], dr, se(sr))
		if dw < -0.03 {
			t.Errorf("%s: stored state costs %.3f of the value", c.name, -dw)
		}
	}
	for seed := 1; seed <= cold; seed++ {
		s := base(seed, scenario.Fault{Kind: "cold", At: 9 * time.Second, Share: 0.3},
			scenario.Fault{Kind: "node_upgrade", At: 9500 * time.Millisecond, For: time.Second, Share: 1},
			scenario.Fault{Kind: "cold", At: 12 * time.Second, Share: 0.5},
			scenario.Fault{Kind: "node_crash", At: 12500 * time.Millisecond, For: 700 * time.Millisecond, Share: 0.5})
		s.State = state
		earlyShares(t, s, 9*time.Second)
	}
}
