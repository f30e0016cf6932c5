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

// moves is the scenario of a tenant's move for a seed, in turn as it is, turned back while draining, stopped in both, with
// clients that mark nothing, with half the keys alone, and begun while the old pods are out.
func moves(t *testing.T, seed uint64) scenario.Scenario {
	s := library(t, "move")
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
		s.Faults = append(s.Faults, scenario.Fault{Kind: "zone_loss", At: 9 * time.Second, For: 25 * time.Second, Zone: int(seed) % s.Servers.Zones})
	}
	return s
}

// A tenant moves under load and faults while clients repeat keyed requests whatever they were told: no key leaves its pod, and
// nothing else of the rules breaks. PORTSTALL_SEEDS plays so many, and tells what the others lost by the move.
func TestMoveUnderLoad(t *testing.T) {
	t.Parallel()
	seeds := 6
	if v, err := strconv.Atoi(os.Getenv("PORTSTALL_SEEDS")); err == nil {
		seeds = v
	}
	var with, without, own, still, turned float64
	for seed := range uint64(seeds) {
		s := moves(t, seed)
		r := run(t, s, Portstall)
		if r.BrokenTotal() > 0 {
			t.Errorf("seed %d: %v\n%s", s.Seed, r.Broken, r.Breaches[0])
		}
		turned += float64(r.Causes["cell: its key may have run elsewhere"])
		if seeds <= 6 {
			continue
		}
		s.Cells.Tenants = []scenario.Pinned{{Tenant: "valley", Pods: []int64{0, 1, 2}}}
		calm := run(t, s, Portstall)
		for name, v := range r.Tenants {
			if c := calm.Tenants[name]; name == "valley" {
				own, still = own+v.Earned, still+c.Earned
			} else {
				with, without = with+v.Earned, without+c.Earned
			}
		}
	}
	if turned == 0 {
		t.Error("no repeat came while its key was in doubt: the test is empty")
	}
	if seeds > 6 {
		t.Logf("%d seeds: the others keep %.4f of their worth without the move, the tenant %.4f; %.0f tries a seed in doubt",
			seeds, with/without, own/still, turned/float64(seeds))
	}
}

// harm is what a tenant that kills what it reaches does to others.
type harm struct {
	others, lost int     // of the others, those that keep under 0.95 of what they have without it
	worst        float64 // what the worst keeps
	touched      int     // others that share a server with it, and
	half         int     // those that share half of theirs or more
	beside       int     // of the lost, those that share none: chance, in a short run
}

// poisoned plays the scenario of a poison with so many servers, nodes and tenants, and cells of a size (0: none).
func poisoned(t *testing.T, servers, nodes, tenants, size int, length time.Duration) harm {
	s := library(t, "poison")
	s.Servers.Count, s.Nodes, s.Cells.Size, s.Duration = servers, nodes, size, length
	s.Tenants = nil
	for i := range tenants {
		s.Tenants = append(s.Tenants, scenario.Tenant{Name: fmt.Sprint("t", i), Share: 1 / float64(tenants), Usage: 1})
	}
	s.Faults[0].Tenant, s.Faults[0].At, s.Faults[0].For, s.Faults[0].Part = "t7", 5*time.Second, length-5*time.Second, 1
	r := run(t, s, Portstall)
	if r.BrokenTotal() > 0 {
		t.Errorf("cells of %d: %v\n%s", size, r.Broken, r.Breaches[0])
	}
	out := harm{others: tenants - 1, worst: 1}
	var near map[string]bool // that share a server; nil: all do
	if c := s.Cells.At(time.Unix(1, 0)); c != nil {
		terms, err := c.Terms()
		if err != nil {
			t.Fatal(err)
		}
		m := cell.New(terms.Plan)
		for _, v := range s.Fleet() {
			m.Set(cell.Server{ID: fmt.Sprint(v.ID), Zone: scenario.ZoneName(v.Zone), Pod: int64(v.Pod)})
		}
		bad := m.Subset("t7")
		near = map[string]bool{}
		for i := range tenants {
			shared := 0
			for _, v := range m.Subset(fmt.Sprint("t", i)) {
				if slices.Contains(bad, v) {
					shared++
				}
			}
			if i != 7 && shared > 0 {
				out.touched++
				near[fmt.Sprint("t", i)] = true
			}
			if i != 7 && 2*shared >= size {
				out.half++
			}
		}
	}
	s.Faults = nil
	calm := run(t, s, Portstall)
	for name, v := range r.Tenants {
		if kept := v.Earned / calm.Tenants[name].Earned; name != "t7" {
			out.worst = min(out.worst, kept)
			if kept < 0.95 {
				out.lost++
				if near != nil && !near[name] {
					out.beside++
				}
			}
		}
	}
	return out
}

// A tenant whose requests kill what they reach takes its own cell down and no other whole one. Of 40 tenants on 60 servers
// those that lose over a twentieth of their worth are few with cells, and nearly all without.
func TestPoisonStaysInItsCell(t *testing.T) {
	t.Parallel()
	with, without := poisoned(t, 60, 2, 40, 6, 25*time.Second), poisoned(t, 60, 2, 40, 0, 25*time.Second)
	t.Logf("with cells %+v, without %+v", with, without)
	if with.lost > 12 || without.lost < 30 {
		t.Errorf("%d tenants lose with cells, %d without", with.lost, without.lost)
	}
}

// PORTSTALL_SIZES plays the poison at sizes that take minutes.
func TestPoisonAtSize(t *testing.T) {
	if os.Getenv("PORTSTALL_SIZES") == "" {
		t.Skip("PORTSTALL_SIZES is not set: it takes minutes")
	}
	for _, c := range []struct{ servers, nodes, tenants, size int }{{1000, 20, 200, 12}, {1000, 100, 200, 12}, {10000, 20, 1000, 20}, {10000, 100, 1000, 20}} {
		t.Run(fmt.Sprint(c.servers, " servers ", c.nodes, " nodes"), func(t *testing.T) {
			t.Parallel()
			with := poisoned(t, c.servers, c.nodes, c.tenants, c.size, 15*time.Second)
			without := poisoned(t, c.servers, c.nodes, c.tenants, 0, 15*time.Second)
			p := float64(c.size) / float64(c.servers)
			none := 1.0 // of its servers none is the other's, by the hypergeometric distribution
			for i := range c.size {
				none *= 1 - p*float64(c.servers)/float64(c.servers-i)
			}
			t.Logf("%+v: with %+v, without %+v; combinatorics: %.1f share any", c, with, without, float64(c.tenants-1)*(1-none))
		})
	}
}
