package coldsum

import (
	"fmt"
	"os"
	"regexp"
	"slices"
	"sync"
	"testing"
	"time"
)

// fleet is the size of a fleet. With the number of web servers expected in two years, one completes 8 requests per
// second; with fewer servers, each completes more.
type fleet struct {
	nodes, servers int
	capacity       float64 // requests of mean work per second and server
}

// coldRule holds an operator's settings for cold servers; name is the one in the table of docs/cold.md.
type coldRule struct {
	name       string
	coldShare  float64
	coldFor    time.Duration
	fallFactor float64
	fallFor    time.Duration
}

var (
	tightRule = coldRule{"tight", 0.3, 8300 * time.Millisecond, 2.5, 1500 * time.Millisecond}
	wideRule  = coldRule{"wide", 0.15, 24 * time.Second, 4, 3 * time.Second}
)

// caseFor returns a case under the rule, at a load of 75% of the fleet's capacity.
func (r coldRule) caseFor(disturbance Disturbance, f fleet) Case {
	return Case{disturbance, f.nodes, f.servers, f.capacity, 0.75, r.coldShare, r.coldFor, r.fallFactor, r.fallFor}
}

// runUntil repeats a case with successive seeds until at least minStarts servers have started cold.
func runUntil(c Case, minStarts int, seed uint64) (Tally, error) {
	var sum Tally
	for i := uint64(0); sum.Starts < minStarts; i++ {
		t, err := Run(c, seed*1e6+i)
		if err != nil {
			return sum, err
		}
		sum.Add(t)
	}
	return sum, nil
}

// The requests that all nodes together send to a cold server stay within N plus the allowance for random variation,
// with few nodes and with hundreds. Guards against nodes that notice a rise of the rate of selections too late: in the
// burst at 450 nodes, 60% of the starts then exceeded the limit.
func TestColdServersStayWithinLimit(t *testing.T) {
	for _, c := range []struct {
		Case
		seed uint64
	}{
		{tightRule.caseFor(Burst, fleet{2, 100, 8}), 1}, {tightRule.caseFor(ZoneReturn, fleet{30, 100, 8}), 1}, {tightRule.caseFor(Replacement, fleet{30, 100, 8}), 1},
		{tightRule.caseFor(Retries, fleet{150, 60, 8}), 1}, {wideRule.caseFor(Burst, fleet{30, 60, 8}), 1}, {tightRule.caseFor(RollingRestart, fleet{150, 24, 8}), 1},
		{tightRule.caseFor(Burst, fleet{450, 60, 60}), 1},
		{tightRule.caseFor(AllCold, fleet{450, 24, 8}), 3}, // failed when a new node treated its empty learned state as complete
	} {
		t.Run(fmt.Sprintf("%s at %d nodes", c.Disturbance, c.Nodes), func(t *testing.T) {
			t.Parallel()
			got, err := Run(c.Case, c.seed)
			if err != nil {
				t.Fatal(err)
			}
			if got.Exceeded > 0 || got.Starts < 7 || got.MeanUse < 0.1 || got.ServedShare < 0.5 {
				t.Errorf("%+v, want no start above the limit, at least 7 starts, a mean use of 0.1 and a served share of 0.5", got)
			}
			t.Logf("%+v", got)
		})
	}
}

// Nodes that treat cold servers as warm send them more than the limit, and the count attributes this to nodes that had
// been notified of the starts. The same case and seed give the same count; invalid settings give an error.
func TestBreachIsDetected(t *testing.T) {
	t.Parallel()
	c := tightRule.caseFor(ColdAsWarm, fleet{30, 24, 30})
	got, err := Run(c, 1)
	if err != nil {
		t.Fatal(err)
	}
	if got.Breaches < got.Starts/2 || got.MaxExcess < 2 {
		t.Errorf("%+v, want breaches in half of the starts and an excess of 2 sqrt(N)", got)
	}
	if again, _ := Run(c, 1); again != got {
		t.Errorf("the same case and seed gave %+v, then %+v", got, again)
	}
	if _, err := Run(Case{Nodes: 1, ColdShare: 2}, 1); err == nil {
		t.Error("Run accepted a cold share of 2")
	}
}

// Prints the table of docs/cold.md, with at least 1,000 starts for each row and each of two seeds. It fails only if a
// run returns an error. It is run only with PORTSTALL_COLD, a regular expression that selects rows by their first
// columns; "." selects all of them, which takes some hours of processor time.
func TestColdTable(t *testing.T) {
	pattern := os.Getenv("PORTSTALL_COLD")
	if pattern == "" {
		t.Skip("PORTSTALL_COLD is not set")
	}
	selected := regexp.MustCompile(pattern)
	var wg sync.WaitGroup
	jobs := make(chan func())
	for range 3 {
		wg.Go(func() {
			for f := range jobs {
				f()
			}
		})
	}
	fmt.Println("| rule | trouble | nodes | servers | each a second | N at first | starts | falls | broken | worst excess in roots of N | of N used | served |")
	fmt.Println("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")
	for _, r := range []coldRule{tightRule, wideRule} {
		for _, disturbance := range Disturbances {
			for _, f := range []fleet{{2, 200, 8}, {30, 200, 8}, {450, 200, 8}, {450, 24, 8}, {450, 200, 30}, {2, 200, 30}, {30, 200, 30}, {450, 1320, 8}} {
				c := r.caseFor(disturbance, f)
				head := fmt.Sprintf("| %s | %s | %d | %d | %.0f | %.0f |", r.name, disturbance, f.nodes, f.servers, f.capacity,
					c.FallFactor*c.ColdShare*c.Capacity*c.FallFor.Seconds())
				if !selected.MatchString(head) || f.servers > 1000 && disturbance != ZoneReturn || r == wideRule && (disturbance == RollingRestart || disturbance == Replacement || f.servers < 100) {
					continue
				}
				sums := make([]Tally, 2)
				var runs sync.WaitGroup
				for i := range sums {
					runs.Add(1)
					jobs <- func() {
						defer runs.Done()
						var err error
						if sums[i], err = runUntil(c, 1000, uint64(i+1)); err != nil {
							t.Error(err)
						}
					}
				}
				wg.Go(func() {
					runs.Wait()
					a, b := sums[0], sums[1]
					fmt.Printf("%s %d, %d | %d, %d | %d, %d | %.1f, %.1f | %.3f, %.3f | %.4f, %.4f |\n", head, a.Starts, b.Starts, a.Exceeded, b.Exceeded,
						a.Breaches, b.Breaches, a.MaxExcess, b.MaxExcess, a.MeanUse, b.MeanUse, a.ServedShare, b.ServedShare)
				})
			}
		}
	}
	close(jobs)
	wg.Wait()
}

// The allowance for random variation is the one that docs/cold.md gives to operators: 8 requests at N = 9.
func TestSlackMatchesDocumentedValues(t *testing.T) {
	if got := []float64{Slack(0), Slack(9), Slack(100)}; !slices.Equal(got, []float64{2, 8, 22}) {
		t.Error(got)
	}
}
