package endpoints

import (
	"slices"
	"testing"
	"time"
)

// readyWithin is the time within which nine in ten restarted processes are to be ready.
const readyWithin = 10 * time.Second

// Guards against slow starts without a server list. With discovery down for 8 s, or with calls that are refused at once
// or after waiting in its queue, a process has its list within 10 s nine times in ten. The real polling schedule and
// policy choose the calls, in virtual time.
func TestListWithinTenSecondsOfStart(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name      string
		down      time.Duration
		refusals  int           // number of calls that are refused
		queueTime time.Duration // time in discovery's queue before the reply
	}{
		{name: "discovery down for 8 s", down: 8 * time.Second},
		{name: "five refusals at once", refusals: 5, queueTime: ms(1)},
		{name: "two refusals after 2.4 s in the queue", refusals: 2, queueTime: ms(2400)},
		{name: "discovery down for 8 s, then 0.5 s in the queue", down: 8 * time.Second, queueTime: ms(500)},
	} {
		delays := make([]time.Duration, 1000)
		for seed := range delays {
			setup := deployment{roundTime: ms(20), queueTimeout: ms(2400), grace: ms(500)}
			setup.script = func(model *discoveryModel, call *modelCall, nth int) bool {
				switch {
				case nth <= c.refusals:
					model.schedule(model.now+c.queueTime, func() { model.reject(call) })
				case c.refusals == 0 && c.queueTime > 0:
					model.schedule(model.now+c.queueTime, func() { model.handle(call) })
				default:
					return false
				}
				return true
			}
			course := scenario{length: 40 * time.Second, outage: interval{0, c.down}, changes: []time.Duration{1}}
			delays[seed] = simulate(setup, course, 1, uint64(seed), newAskSchedule).nodes[0].firstListAt
			if delays[seed] < 0 {
				t.Fatalf("%s, seed %d: the node never got a list", c.name, seed)
			}
		}
		slices.Sort(delays)
		t.Logf("%s: list after %v at the median, %v at the 90th percentile, %v at most", c.name, delays[500], delays[900], delays[999])
		if delays[900] > readyWithin {
			t.Errorf("%s: the 90th percentile of the time to a list is %v, want at most 10 s", c.name, delays[900])
		}
	}
}

// Guards against nodes that are starved while discovery has too many callers. Seven in ten of 300 nodes restart at once
// without a list: how soon they have one depends on what discovery can serve, and no node is refused again and again
// while others are served. A node that already knows a list is ready before.
func TestFleetStartWithOverloadedDiscovery(t *testing.T) {
	t.Parallel()
	for _, roundTime := range []time.Duration{ms(5200), ms(7900)} {
		for _, down := range []time.Duration{0, 8 * time.Second} {
			for _, seed := range []uint64{1, 2} {
				setup := deployment{roundTime: roundTime * 210 / fleetSize, queueTimeout: time.Second, maxQueued: 60, freeRewatch: true, grace: ms(500)}
				course := scenario{length: 40 * time.Second, startSpread: ms(200), outage: interval{0, down}, changes: []time.Duration{1}}
				model := simulate(setup, course, 210, seed, newAskSchedule)
				delays := make([]time.Duration, 0, len(model.nodes))
				for _, n := range model.nodes {
					if n.firstListAt < 0 {
						t.Fatal("a node never got a list")
					}
					delays = append(delays, n.firstListAt)
				}
				slices.Sort(delays)
				if maxDelay := down + roundTime*210/fleetSize + 4*time.Second; delays[len(delays)-1] > maxDelay || model.maxRejectedInRow > 10 {
					t.Errorf("discovery needs %v for all nodes, down for %v, seed %d: the last list arrived at %v, want it within %v; %d refusals in a row, want at most 10", roundTime, down, seed,
						delays[len(delays)-1], maxDelay, model.maxRejectedInRow)
				}
				prompt := 0
				for prompt < len(delays) && delays[prompt] <= readyWithin {
					prompt++
				}
				if down == 0 && prompt < len(delays)*9/10 {
					t.Errorf("discovery needs %v for all nodes, seed %d: %d of %d nodes have a list within %v, want nine in ten", roundTime, seed, prompt, len(delays), readyWithin)
				}
				t.Logf("discovery needs %v for all nodes, down for %v, seed %d: %d of %d nodes have a list within %v, nine in ten after %v, all after %v; %v",
					roundTime, down, seed, prompt, len(delays), readyWithin, delays[len(delays)*9/10], delays[len(delays)-1], model.results)
			}
		}
	}
}
