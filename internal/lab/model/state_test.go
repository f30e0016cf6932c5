package model

import (
	"os"
	"testing"
	"time"

	"gonum.org/v1/gonum/stat"

	"portstall/internal/config"
	"portstall/internal/lab/scenario"
)

// early is the worth in time and the share refused of what arrives in the 5 s behind each of some moments.
func early(t *testing.T, s scenario.Scenario, from ...time.Duration) (worth, refused float64) {
	t.Helper()
	r := run(t, s, Portstall)
	if r.BrokenTotal() > 0 {
		t.Fatalf("seed %d: %v\n%s", s.Seed, r.Broken, r.Breaches[0])
	}
	var offered, earned, asked, no float64
	for _, at := range from {
		for i := int(at / time.Second); i < min(len(r.Series), int(at/time.Second)+5); i++ {
			v := &r.Series[i]
			offered, earned, asked, no = offered+v.Offered, earned+v.Earned, asked+float64(v.Asked), no+float64(v.Refused)
		}
	}
	return earned / offered, no / asked
}

// A restart, a crash and an upgrade with what was learnt and without, on the same seeds: the worth and the refusals of the first
// 5 s. With it no rule is broken and no worth lost, also where servers are cold. PORTSTALL_STATE plays 20 seeds, and 200 with
// cold servers.
func TestStateAtStarts(t *testing.T) {
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
		{"node_roll", scenario.Fault{Kind: "node_roll", At: 10 * time.Second, For: 6 * time.Second, Share: 1, Delay: 500 * time.Millisecond}, []time.Duration{10 * time.Second, 13 * time.Second}},
		{"node_crash", scenario.Fault{Kind: "node_crash", At: 10 * time.Second, For: time.Second, Share: 1}, []time.Duration{11 * time.Second}},
		{"node_upgrade", scenario.Fault{Kind: "node_upgrade", At: 10 * time.Second, For: time.Second, Share: 1}, []time.Duration{10 * time.Second}},
	} {
		var worth, refused []float64 // with the state less without
		var sum [4]float64
		for seed := 1; seed <= seeds; seed++ {
			without := base(seed, c.fault)
			without.Forgets = true
			with := base(seed, c.fault)
			with.State = state
			w1, r1 := early(t, with, c.from...)
			w0, r0 := early(t, without, c.from...)
			worth, refused = append(worth, w1-w0), append(refused, r1-r0)
			for i, v := range [...]float64{w1, w0, r1, r0} {
				sum[i] += v / float64(seeds)
			}
		}
		dw, sw := stat.MeanStdDev(worth, nil)
		dr, sr := stat.MeanStdDev(refused, nil)
		se := func(s float64) float64 { return 2 * stat.StdErr(s, float64(seeds)) } // about a 95% interval
		t.Logf("%s, %d seeds: worth %.3f with the state, %.3f without (%+.3f \u00b1 %.3f); refused %.3f and %.3f (%+.3f \u00b1 %.3f)",
			c.name, seeds, sum[0], sum[1], dw, se(sw), sum[2], sum[3], dr, se(sr))
		if dw < -0.03 {
			t.Errorf("%s: the state costs %.3f of the worth", c.name, -dw)
		}
	}
	for seed := 1; seed <= cold; seed++ {
		s := base(seed, scenario.Fault{Kind: "cold", At: 9 * time.Second, Share: 0.3}, scenario.Fault{Kind: "node_upgrade", At: 9500 * time.Millisecond, For: time.Second, Share: 1},
			scenario.Fault{Kind: "cold", At: 12 * time.Second, Share: 0.5}, scenario.Fault{Kind: "node_crash", At: 12500 * time.Millisecond, For: 700 * time.Millisecond, Share: 0.5})
		s.State = state
		early(t, s, 9*time.Second)
	}
}
