package fleet

import (
	"math"
	"testing"
	"time"

	"portstall/internal/lab/scenario"
)

// A server warms up linearly from ColdFrom to 1, by time or by work done.
func TestRampByTimeAndByWork(t *testing.T) {
	byTime := &scenario.ServerType{Cores: 2, ColdFrom: 0.4, ColdFor: 4 * time.Second, WarmBy: "time"}
	byWork := &scenario.ServerType{Cores: 2, ColdFrom: 0.4, ColdFor: 4 * time.Second, WarmBy: "work"}
	for _, c := range []struct {
		k    *scenario.ServerType
		age  time.Duration
		done float64
		want float64
	}{
		{byTime, 0, 0, 0.4}, {byTime, 2 * time.Second, 0, 0.7}, {byTime, 4 * time.Second, 0, 1}, {byTime, 0, 100, 0.4},
		{byTime, -time.Second, 0, 0.4},
		{byWork, 0, 0, 0.4}, {byWork, 4 * time.Second, 0, 0.7}, {byWork, 8 * time.Second, 0, 1}, {byWork, 0, 2, 0.7}, {byWork,
			0, 4, 1},
		{&scenario.ServerType{Cores: 1}, 0, 0, 1},
	} {
		if got := Ramp(c.k, 1, c.age, 8*time.Second, c.done); math.Abs(got-c.want) > 1e-9 {
			t.Errorf("%s after %v and %v s of work: %v, want %v", c.k.WarmBy, c.age, c.done, got, c.want)
		}
	}
}

// Load reports show the queue as it was at the latest tick before the delay, and are reset by a start.
func TestReportsAreLateAndSampled(t *testing.T) {
	const ms = time.Millisecond
	r := Reports{Period: 100 * ms}
	r.Reset(0)
	for _, c := range []struct {
		at          time.Duration
		before, now int // the queue until then, and the length that is reported
		delay       time.Duration
	}{
		{50 * ms, 3, 0, 0},         // no tick has passed
		{150 * ms, 5, 5, 0},        // as it was at 100 ms
		{180 * ms, 9, 5, 0},        // a change between ticks is not reported
		{250 * ms, 2, 2, 0},        // as at 200 ms
		{260 * ms, 2, 5, 100 * ms}, // delayed: the tick before
		{270 * ms, 2, 0, time.Second},
	} {
		if got := r.Read(c.at, c.delay, c.before); got != c.now {
			t.Errorf("at %v: reported %d, want %d", c.at, got, c.now)
		}
	}
	for i := range 1000 { // more samples than are stored: the oldest one is reported
		r.Record(time.Duration(300+100*i)*ms, i)
	}
	if got := r.Read(100400*ms, time.Hour, 0); got < 900 || got > 999 {
		t.Errorf("reported %d for a delay beyond the stored samples, want one of the oldest stored, 900 to 999", got)
	}
	r.Reset(200 * time.Second)
	if got := r.Read(200*time.Second, 0, 7); got != 0 {
		t.Errorf("reported %d after a start, want 0", got)
	}
}

// A client retries only what is harmless to repeat, within its retries and its deadline, and honors backoff and
// Retry-After.
func TestRetryRules(t *testing.T) {
	s := scenario.Default()
	const search, join, accept = 0, 1, 2
	for _, c := range []struct {
		name     string
		class    int
		tries    int
		promised bool
		now      time.Duration
		storm    float64
		ok       bool
	}{
		{"safe after a failure", search, 1, false, 100 * time.Millisecond, 1, true},
		{"keyed by all after a failure", join, 1, false, 100 * time.Millisecond, 1, true},
		{"keyed by pod after a failure", accept, 1, false, 100 * time.Millisecond, 1, false},
		{"keyed by pod after a refusal", accept, 1, true, 100 * time.Millisecond, 1, true},
		{"no retry left", search, 2, true, 100 * time.Millisecond, 1, false},
		{"no retry left without the storm", search, 2, true, 100 * time.Millisecond, 3, true},
		{"no time left", search, 1, true, 2900 * time.Millisecond, 1, false},
	} {
		a := scenario.Operation{Class: c.class, Retries: 1}
		if _, ok := RetryDelay(&s, &a, c.tries, c.promised, c.now, 0, c.storm, 0.5); ok != c.ok {
			t.Errorf("%s: retry allowed is %v, want the opposite", c.name, ok)
		}
	}
	s.Clients.Exponential = true
	a := scenario.Operation{Retries: 9, HonorsRetryAfter: true}
	if w, _ := RetryDelay(&s, &a, 3, true, 0, 0, 1, 0.5); w != 4*s.Clients.Backoff {
		t.Errorf("the delay before the third retry is %v, want four times the backoff", w)
	}
	if w, _ := RetryDelay(&s, &a, 1, true, 0, time.Second, 1, 0.5); w != time.Second {
		t.Errorf("the delay is %v with a Retry-After of 1 s", w)
	}
}

// Overlapping faults combine: slowdowns are multiplied, and of shares of one kind the largest counts.
func TestOverlappingFaultsCombine(t *testing.T) {
	s := scenario.Default()
	s.Faults = []scenario.Fault{{Kind: "slow", Part: 0.2, Factor: 2}, {Kind: "slow", Part: 0.1, Factor: 3},
		{Kind: "error", Part: 0.5},
		{Kind: "shared_slow", Factor: 2}, {Kind: "shared_slow", Factor: 1.5}, {Kind: "report_lag", Delay: time.Second},
		{Kind: "node_crash"}, {Kind: "cut"}, {Kind: "report_lie", Factor: 0}, {Kind: "backlog"}, {Kind: "storm", Factor: 4}}
	hits := [][]int{{0}, {0, 1}, {1}, nil, nil, nil, {7}, {2}, {2}, {2}, nil}
	all := make([]bool, len(s.Faults))
	w, effects := ActiveEffects(&s, all, hits, 3)
	if w != (FleetEffects{Slowdown: 1, RetryFactor: 1}) || effects[0] != (ServerEffects{Slowdown: 1, ReportFactor: 1}) {
		t.Errorf("without faults in force: %+v %+v", w, effects)
	}
	for i := range all {
		all[i] = true
	}
	w, effects = ActiveEffects(&s, all, hits, 3)
	if w != (FleetEffects{Slowdown: 3, ReportDelay: time.Second, RetryFactor: 4, NetworkCuts: 1}) {
		t.Errorf("%+v", w)
	}
	want := []ServerEffects{{Slowdown: 6, SlowShare: 0.2, ReportFactor: 1}, {Slowdown: 3, SlowShare: 0.1, ErrorShare: 0.5, ReportFactor: 1}, {Slowdown: 1, ReportFactor: 0, NoNewConnections: true}}
	for i := range want {
		if effects[i] != want[i] {
			t.Errorf("server %d: %+v, want %+v", i, effects[i], want[i])
		}
	}
}
