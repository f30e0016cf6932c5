package endpoints

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// The scenarios of docs/discovery.md, at a discovery that has been up for a while.
var (
	quietScenario  = scenario{length: 150 * time.Second, measureFrom: 30 * time.Second, startSpread: 10 * time.Second}
	outageScenario = scenario{length: 60 * time.Second, measureFrom: 30 * time.Second, startSpread: 10 * time.Second, outage: interval{30 * time.Second, 38 * time.Second},
		changes: []time.Duration{33 * time.Second, ms(38500), 40 * time.Second}}
	partitionScenario = scenario{length: 60 * time.Second, measureFrom: 30 * time.Second, startSpread: 10 * time.Second, partition: interval{30 * time.Second, 36 * time.Second},
		partitionedNodes: fleetSize / 5, changes: []time.Duration{32 * time.Second}}
	silenceScenario = scenario{length: 60 * time.Second, measureFrom: 30 * time.Second, startSpread: 10 * time.Second, silentAt: ms(30300),
		changes: []time.Duration{30 * time.Second}} // all watches fall silent together, just after a change
)

// At a discovery of 300 nodes, each node has a fresh list or has asked again within 6 s and the grace of any moment at
// which it could reach discovery. That holds wherever a call that continues a watch costs nothing. Where such a call
// costs as much as any other it holds under normal load, unless discovery takes longer to handle all nodes than a watch
// may wait: then rejected nodes wait longer. With the former, longer watches it holds in none of the scenarios.
func TestFleetReceivesChangesInTime(t *testing.T) {
	t.Parallel()
	within := MaxAnnounceDelay + ms(500)
	for _, free := range []bool{true, false} {
		for _, roundTime := range []time.Duration{ms(5200), ms(7900)} {
			for _, course := range []struct {
				name string
				scenario
			}{{"quiet", quietScenario}, {"outage", outageScenario}, {"partition", partitionScenario}, {"silence", silenceScenario}} {
				setup := deployment{roundTime: roundTime, queueTimeout: ms(2400), freeRewatch: free, grace: ms(500)}
				if course.name == "outage" {
					setup.maxQueued = 60
				}
				bearable := free || course.name == "quiet" && roundTime < MaxAskWait // without free continuations, only this scenario is bearable
				for _, seed := range []uint64{1, 2} {
					at := fmt.Sprintf("%s, all handled in %v, free continuations %v, seed %d", course.name, roundTime, free, seed)
					t.Run(at, func(t *testing.T) {
						t.Parallel()
						before, after := simulate(setup, course.scenario, fleetSize, seed, newFormerSchedule).results, simulate(setup, course.scenario, fleetSize, seed, newAskSchedule).results
						t.Logf("%s\n  before: %v\n  now:    %v", at, before, after)
						if before.maxNoContact <= within {
							t.Errorf("%s: with the former schedule all nodes asked within %v: the scenario shows nothing", at, before.maxNoContact)
						}
						if bearable && after.maxNoContact > within {
							t.Errorf("%s: a node that could reach discovery did not ask for %v, want at most %v", at, after.maxNoContact, within)
						}
						if course.name == "quiet" && after.rejected > after.calls/100 || course.name == "quiet" && bearable && after.rejected > 0 {
							t.Errorf("%s: %d of %d calls rejected", at, after.rejected, after.calls)
						}
						if free && (course.name == "partition" || roundTime < MaxAnnounceDelay) && after.blindNodes > 0 {
							t.Errorf("%s: %d nodes without a fresh list or a working watch for up to %v", at, after.blindNodes, after.maxBlind)
						}
						if free && course.name == "outage" && after.maxBlind > roundTime+ms(100) { // discovery is never idle while a node waits for it
							t.Errorf("%s: a node without a fresh list or a working watch for %v, want at most %v", at, after.maxBlind, roundTime)
						}
						if free && after.maxRejectedInRow > 3*int(roundTime/time.Second) { // as many as handling all other nodes first takes, not a loop
							t.Errorf("%s: a node was rejected %d times in a row", at, after.maxRejectedInRow)
						}
					})
				}
			}
		}
	}
}

// A discovery that takes longer to handle all nodes than a watch may wait rejects some calls at first. Those nodes wait
// longer, so that the queue empties. A single rejection within a burst, or of a call after a failure, must not make a
// node wait longer.
func TestOverloadedDiscoveryIsPolledLess(t *testing.T) {
	t.Parallel()
	setup := deployment{roundTime: ms(7900), queueTimeout: ms(2400), grace: ms(500)}
	course := quietScenario
	course.measureFrom = 90 * time.Second
	got := simulate(setup, course, fleetSize, 1, newAskSchedule).results
	if got.slowedNodes == 0 || got.slowedNodes == fleetSize || got.rejected > got.calls/100 || got.maxQueueTime > ms(1000) {
		t.Errorf("%v", got)
	}
	for _, c := range []struct {
		name    string
		prepare func(schedule *Schedule)
		want    bool
	}{
		{"a response without a change", func(schedule *Schedule) { schedule.CallSucceeded(time.Second, false) }, true},
		{"a change that all nodes got", func(schedule *Schedule) { schedule.CallSucceeded(time.Second, true) }, false},
		{"a change after a failure, in the node's turn", func(schedule *Schedule) {
			schedule.CallFailed(0, 0, CallError, 0)
			schedule.CallSucceeded(time.Second, true)
		}, true},
		{"a failed call", func(schedule *Schedule) {
			schedule.CallSucceeded(time.Second, false)
			schedule.CallFailed(2*time.Second, 0, CallError, 0)
		}, false},
		{"a silent watch", func(schedule *Schedule) {
			schedule.CallSucceeded(time.Second, false)
			schedule.CallFailed(2*time.Second, 0, CallTimeout, 0)
		}, false},
	} {
		schedule := &Schedule{Grace: ms(500)}
		c.prepare(schedule)
		schedule.CallStarted(3 * time.Second)
		schedule.CallFailed(4*time.Second, 0, CallRejected, 0.5)
		if wait, _ := schedule.CallTimes(false, 0); (wait >= MinOverloadWait) != c.want {
			t.Errorf("rejected after %s: a watch waits %v", c.name, wait)
		}
		schedule.CallStarted(4*time.Second + overloadPeriod + time.Second)
		if wait, _ := schedule.CallTimes(false, 0.999); wait > MaxAskWait {
			t.Errorf("rejected after %s: after %v a watch still waits %v", c.name, overloadPeriod, wait)
		}
	}
}

// Nodes that got a change, or lost discovery, at the same moment select their next wait from its full range, so that
// their calls do not come together again; those that are spread already wait nearly as long as they may, as each call
// is work.
func TestWatchesSpreadAfterSimultaneousResponses(t *testing.T) {
	quiet := func(schedule *Schedule) { schedule.CallSucceeded(time.Second, false) }
	for _, c := range []struct {
		name     string
		prepare  func(schedule *Schedule)
		wantWait time.Duration
	}{
		{"the first call", func(*Schedule) {}, minSpreadAskWait},
		{"a change", func(schedule *Schedule) { schedule.CallSucceeded(time.Second, true) }, minSpreadAskWait},
		{"no change", quiet, MinAskWait},
		{"a reset", func(schedule *Schedule) { quiet(schedule); schedule.CallFailed(2*time.Second, 0, CallError, 0) }, minSpreadAskWait},
		{"a rejection within a burst", func(schedule *Schedule) {
			quiet(schedule)
			schedule.CallFailed(2*time.Second, 0, CallError, 0)
			schedule.CallFailed(3*time.Second, 0, CallRejected, 0)
		}, minSpreadAskWait},
		{"a silent watch's time-out", func(schedule *Schedule) { quiet(schedule); schedule.CallFailed(2*time.Second, 0, CallTimeout, 0) }, MinAskWait},
		{"a silent first watch's time-out", func(schedule *Schedule) { schedule.CallFailed(2*time.Second, 0, CallTimeout, 0) }, minSpreadAskWait},
		{"a change in the node's turn, after a failure", func(schedule *Schedule) {
			schedule.CallFailed(2*time.Second, 0, CallError, 0)
			schedule.CallSucceeded(3*time.Second, true)
		}, MinAskWait},
	} {
		schedule := &Schedule{Grace: ms(500)}
		c.prepare(schedule)
		if wait, limit := schedule.CallTimes(false, 0); wait != c.wantWait || schedule.failing && limit < FetchTimeout {
			t.Errorf("after %s: waits %v, times out after %v; want a wait of %v", c.name, wait, limit, c.wantWait)
		}
		if wait, limit := schedule.CallTimes(false, 0.9999); wait > MaxAskWait || limit > MaxAnnounceDelay {
			t.Errorf("after %s: waits up to %v, times out after %v", c.name, wait, limit)
		}
	}
}

// However its calls fail, a node that can reach discovery has a fresh list within 6 s and the grace of the first moment
// at which it might miss a change. The cases where the former schedule failed are marked, and must still show that.
func TestListIsFreshAfterFailedCalls(t *testing.T) {
	t.Parallel()
	// rejectAfter lets the calls with the given numbers queue for a time and rejects them.
	rejectAfter := func(queueTime time.Duration, from, to int) func(*discoveryModel, *modelCall, int) bool {
		return func(model *discoveryModel, call *modelCall, nth int) bool {
			if nth >= from && nth <= to {
				model.schedule(model.now+queueTime, func() { model.reject(call) })
			}
			return nth >= from && nth <= to
		}
	}
	silent := func(_ *discoveryModel, call *modelCall, nth int) bool {
		call.silent = nth == 2
		return call.silent
	}
	for _, c := range []struct {
		name          string
		script        func(*discoveryModel, *modelCall, int) bool
		announceDelay time.Duration
		down          time.Duration // discovery is down until then
		formerFails   bool          // the former schedule is too late in some runs
	}{
		{name: "a watch falls silent right after its call was accepted", script: silent, formerFails: true},
		{name: "a call queues for 2.4 s and is rejected", script: rejectAfter(ms(2400), 2, 2)},
		{name: "a call is rejected twice in a row at once", script: rejectAfter(ms(1), 2, 3)},
		{name: "a call is rejected twice in a row, each time after 2.4 s in the queue", script: rejectAfter(ms(2400), 2, 3), formerFails: true},
		{name: "the complete list is rejected twice in a row at once", script: rejectAfter(ms(1), 1, 2), announceDelay: ReloadAnnounceDelay},
		{name: "the complete list is rejected twice in a row after 1.5 s in the queue", script: rejectAfter(ms(1500), 1, 2), announceDelay: ReloadAnnounceDelay},
		{name: "the call for the complete list gets no response", announceDelay: ReloadAnnounceDelay, script: func(_ *discoveryModel, call *modelCall, nth int) bool {
			call.silent = nth == 1
			return call.silent
		}},
		{name: "discovery is down for 8 s and returns", down: 8 * time.Second},
	} {
		for _, push := range []bool{false, true} {
			for _, grace := range []time.Duration{ms(500), time.Second} {
				newSchedule, late, worst := newAskSchedule, 0, time.Duration(0)
				if push {
					newSchedule = newPushSchedule
				}
				for seed := range uint64(300) {
					setup := deployment{roundTime: ms(20), queueTimeout: ms(2400), grace: grace, push: push, script: c.script, announceDelay: c.announceDelay}
					course := scenario{length: 60 * time.Second, outage: interval{0, c.down}, changes: []time.Duration{c.down + 1}}
					within := MaxAnnounceDelay + grace
					if c.announceDelay > 0 {
						within = c.announceDelay + grace
					}
					got := simulate(setup, course, 1, seed, newSchedule).results
					if worst = max(worst, got.maxBlind); got.maxBlind > within {
						t.Fatalf("%s, push %v, grace %v, seed %d: no fresh list for %v", c.name, push, grace, seed, got.maxBlind)
					}
					if got.maxNoContact > MaxAnnounceDelay+grace {
						t.Fatalf("%s, push %v, grace %v, seed %d: did not ask for %v", c.name, push, grace, seed, got.maxNoContact)
					}
					if !push && simulate(setup, course, 1, seed, newFormerSchedule).maxBlind > within {
						late++
					}
				}
				t.Logf("%s, push %v, grace %v: a list within %v; with the former schedule too late in %d of 300", c.name, push, grace, worst, late)
				if (late > 0) != (c.formerFails && !push) {
					t.Errorf("%s, push %v, grace %v: with the former schedule too late in %d of 300", c.name, push, grace, late)
				}
			}
		}
	}
}

// However a watch fails, and however long calls queue at discovery, the next call that discovery may answer is made
// before the grace of what was missed has passed. Simulated in virtual time, in both modes, with graces of 0.5 and 1 s.
func TestPollScheduleMeetsDeadlines(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	for _, push := range []bool{false, true} {
		for _, grace := range []time.Duration{500 * time.Millisecond, time.Second} {
			for range 2000 {
				schedule := &Schedule{Push: push, Grace: grace}
				started := time.Duration(rng.Int64N(int64(time.Hour)))
				wait, limit := schedule.CallTimes(false, rng.Float64())
				silentAt := started + time.Duration(rng.Int64N(int64(wait))) // when it fell silent
				announced := max(silentAt+6*time.Second, started+wait+2*time.Second)
				now := started + limit
				delay, retry := schedule.CallFailed(now, started+wait, CallTimeout, rng.Float64())
				queueTime := time.Duration(rng.Int64N(int64(2 * time.Second))) // how long the call queues where none failed before
				failures := rng.IntN(3)                                        // how many calls fail before
				for range failures {
					if !retry {
						t.Fatalf("push %v, grace %v: the loop ends %v before what was missed counts as announced", push, grace, announced-now)
					}
					now += delay + 50*time.Millisecond
					delay, retry = schedule.CallFailed(now, 0, CallError, rng.Float64())
				}
				if now += delay; failures == 0 {
					now += queueTime
				}
				if !retry || now > announced+grace*9/10 {
					t.Fatalf("push %v, grace %v: a list only at %v, but what was missed counts as announced at %v", push, grace, now-started, announced-started)
				}
			}
			// While the agent of a pushed list is down, no delay exceeds a part of the grace. Elsewhere the policy
			// decides when to ask.
			schedule := &Schedule{Push: push, Grace: grace}
			for range 50 {
				delay, retry := schedule.CallFailed(time.Hour, 0, CallError, 0.999)
				if retry != push || delay > grace/2 {
					t.Fatalf("push %v, grace %v: delay of %v, retry %v", push, grace, delay, retry)
				}
			}
			// The contents of a response that broke off were announced: it is asked for again within the grace. A
			// response that always takes longer than its limit gets through in the end.
			schedule = &Schedule{Push: push, Grace: grace}
			if timeout := schedule.BodyTimeout(); timeout > grace/2 {
				t.Errorf("push %v, grace %v: the rest of a response may take %v", push, grace, timeout)
			}
			if delay, retry := schedule.CallFailed(time.Hour, 0, ResponseBroken, 0.999); !retry || schedule.delay == 0 || delay > grace/4 {
				t.Errorf("push %v, grace %v: after a broken response, delay of %v, retry %v", push, grace, delay, retry)
			}
			for range 8 {
				schedule.CallFailed(time.Hour, 0, ResponseBroken, 0)
			}
			if timeout := schedule.BodyTimeout(); timeout != FetchTimeout {
				t.Errorf("push %v, grace %v: slow responses may take %v in the end", push, grace, timeout)
			}
			schedule.RequireFresh(time.Hour)
			if _, retry := schedule.CallFailed(time.Hour+grace/2, 0, CallError, 0); !retry {
				t.Errorf("push %v, grace %v: the loop ends though a list is due", push, grace)
			}
		}
	}
}
