package model

import (
	"fmt"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"portstall/internal/cell"
	"portstall/internal/lab/scenario"
)

// moveScenario returns the scenario of a tenant's move for a seed. Seeds select variants in turn: the plain move, a
// move that is reverted while it drains, one that is stopped while both sides serve and then reverted, clients that do
// not mark repeats, a move of half the keys, and a move that begins while a zone is down.
func moveScenario(t *testing.T, seed uint64) scenario.Scenario {
	s := loadScenario(t, "move")
	s.Seed = seed
	m := &s.Cells.Tenants[0].Moves[0]
	switch seed % 6 {
	case 1:
		m.Back = 42 * time.Second
	case 2:
		m.Stop, m.Back = 25*time.Second, 40*time.Second
	case 3:
		s.Cells.Marked = false
	case 4:
		m.Keys = []float64{0, 0.5}
	case 5:
		s.Faults = append(s.Faults, scenario.Fault{Kind: "zone_loss", At: 9 * time.Second, For: 25 * time.Second,
			Zone: int(seed) % s.Servers.Zones})
	}
	return s
}

// A tenant moves to other pods under load and faults, while clients repeat keyed requests even if no response allowed
// that: no key leaves its pod and no other rule is broken. PORTSTALL_SEEDS sets the number of seeds; above 6 the test
// also logs what the move costs the other tenants.
func TestTenantMoveUnderLoad(t *testing.T) {
	t.Parallel()
	seeds := 6
	if v, err := strconv.Atoi(os.Getenv("PORTSTALL_SEEDS")); err == nil {
		seeds = v
	}
	var othersWith, othersWithout, ownWith, ownWithout, refused float64
	for seed := range uint64(seeds) {
		s := moveScenario(t, seed)
		r := run(t, s, Portstall)
		if r.BreachTotal() > 0 {
			t.Errorf("seed %d: %v\n%s", s.Seed, r.Broken, r.Breaches[0])
		}
		refused += float64(r.Causes["cell: its key may have run elsewhere"])
		if seeds <= 6 {
			continue
		}
		s.Cells.Tenants = []scenario.PinnedTenant{{Tenant: "valley", Pods: []int64{0, 1, 2}}}
		calm := run(t, s, Portstall)
		for name, v := range r.Tenants {
			if c := calm.Tenants[name]; name == "valley" {
				ownWith, ownWithout = ownWith+v.Earned, ownWithout+c.Earned
			} else {
				othersWith, othersWithout = othersWith+v.Earned, othersWithout+c.Earned
			}
		}
	}
	if refused == 0 {
		t.Error("no repeat arrived while its key may have run elsewhere: the test has not tested the move")
	}
	if seeds > 6 {
		t.Logf("%d seeds: the other tenants keep %.4f of their value without the move, the moved one %.4f; %.0f tries per seed are refused because the key may have run elsewhere",
			seeds, othersWith/othersWithout, ownWith/ownWithout, refused/float64(seeds))
	}
}

// poisonDamage is the damage that a tenant whose requests kill servers does to the other tenants.
type poisonDamage struct {
	tenants, harmed int     // the other tenants, and those that keep under 0.95 of their value without the poison
	worstShare      float64 // share of its value that the worst one keeps
	overlapping     int     // tenants that share a server with it
	halfOverlapping int     // tenants that share at least half of their servers with it
	unrelated       int     // of the harmed ones, those that share no server with it: random variation of a short run
}

// runPoison runs the poison scenario with the given numbers of servers, nodes and tenants, and cells of a size (0: no
// cells).
func runPoison(t *testing.T, servers, nodes, tenants, size int, length time.Duration) poisonDamage {
	s := loadScenario(t, "poison")
	s.Servers.Count, s.Nodes, s.Cells.Size, s.Duration = servers, nodes, size, length
	s.Tenants = nil
	for i := range tenants {
		s.Tenants = append(s.Tenants, scenario.Tenant{Name: fmt.Sprint("t", i), Share: 1 / float64(tenants), Usage: 1})
	}
	s.Faults[0].Tenant, s.Faults[0].At, s.Faults[0].For, s.Faults[0].Part = "t7", 5*time.Second, length-5*time.Second, 1
	r := run(t, s, Portstall)
	if r.BreachTotal() > 0 {
		t.Errorf("cells of %d: %v\n%s", size, r.Broken, r.Breaches[0])
	}
	out := poisonDamage{tenants: tenants - 1, worstShare: 1}
	var overlapping map[string]bool // tenants that share a server with it; nil: all do
	if c := s.Cells.ConfigAt(time.Unix(1, 0)); c != nil {
		terms, err := c.Settings()
		if err != nil {
			t.Fatal(err)
		}
		m := cell.NewMap(terms.Plan)
		for _, v := range s.Fleet() {
			m.Set(cell.Server{ID: fmt.Sprint(v.ID), Zone: scenario.ZoneName(v.Zone), Pod: int64(v.Pod)})
		}
		poisoned := m.Subset("t7")
		overlapping = map[string]bool{}
		for i := range tenants {
			shared := 0
			for _, v := range m.Subset(fmt.Sprint("t", i)) {
				if slices.Contains(poisoned, v) {
					shared++
				}
			}
			if i != 7 && shared > 0 {
				out.overlapping++
				overlapping[fmt.Sprint("t", i)] = true
			}
			if i != 7 && 2*shared >= size {
				out.halfOverlapping++
			}
		}
	}
	s.Faults = nil
	calm := run(t, s, Portstall)
	for name, v := range r.Tenants {
		if keptShare := v.Earned / calm.Tenants[name].Earned; name != "t7" {
			out.worstShare = min(out.worstShare, keptShare)
			if keptShare < 0.95 {
				out.harmed++
				if overlapping != nil && !overlapping[name] {
					out.unrelated++
				}
			}
		}
	}
	return out
}

// A tenant whose requests kill the servers that they reach takes down its own cell, but no other complete cell. Of 40
// tenants on 60 servers few lose over a twentieth of their value with cells, and nearly all without.
func TestPoisonStaysInItsCell(t *testing.T) {
	t.Parallel()
	with, without := runPoison(t, 60, 2, 40, 6, 25*time.Second), runPoison(t, 60, 2, 40, 0, 25*time.Second)
	t.Logf("with cells %+v, without %+v", with, without)
	if with.harmed > 12 || without.harmed < 30 {
		t.Errorf("%d tenants lose over a twentieth of their value with cells, %d without", with.harmed, without.harmed)
	}
}

// The same in large fleets, which takes minutes: it runs only if PORTSTALL_SIZES is set, and logs the damage beside the
// number of tenants that overlap by combinatorics.
func TestPoisonInLargeFleets(t *testing.T) {
	if os.Getenv("PORTSTALL_SIZES") == "" {
		t.Skip("PORTSTALL_SIZES is not set: it takes minutes")
	}
	for _, c := range []struct{ servers, nodes, tenants, size int }{{1000, 20, 200, 12}, {1000, 100, 200, 12},
		{10000, 20, 1000, 20}, {10000, 100, 1000, 20}} {
		t.Run(fmt.Sprint(c.servers, " servers ", c.nodes, " nodes"), func(t *testing.T) {
			t.Parallel()
			with := runPoison(t, c.servers, c.nodes, c.tenants, c.size, 15*time.Second)
			without := runPoison(t, c.servers, c.nodes, c.tenants, 0, 15*time.Second)
			p := float64(c.size) / float64(c.servers)
			none := 1.0 // probability that two cells share no server, by the hypergeometric distribution
			for i := range c.size {
				none *= 1 - p*float64(c.servers)/float64(c.servers-i)
			}
			t.Logf("%+v: with %+v, without %+v; combinatorics: %.1f tenants overlap", c, with, without, float64(c.tenants-1)*(1-none))
		})
	}
}
