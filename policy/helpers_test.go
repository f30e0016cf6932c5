package policy

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// defaultSettings returns settings with four classes, after the given changes.
func defaultSettings(change ...func(*Settings)) Settings {
	s := Settings{
		Zone: "a", Nodes: 2,
		Classes: []Class{
			{Name: "top", TargetLatency: time.Second, Deadline: 2 * time.Second, Value: 10},
			{Name: "low", TargetLatency: time.Second, Deadline: 2 * time.Second, Value: 1},
			{Name: "key", TargetLatency: time.Second, Deadline: 2 * time.Second, Value: 1, Effect: Keyed, Group: GroupZone,
				Window: time.Second},
			{Name: "once", TargetLatency: time.Second, Deadline: 2 * time.Second, Value: 1, Effect: Unsafe},
		},
		MaxAttempts: 3, Cancel: true, RetryAfter: time.Second, DrainGrace: time.Second,
		ColdShare: 0.25, ColdFor: 10 * time.Second, FallFactor: 3, FallFor: 2 * time.Second,
	}
	for _, c := range change {
		c(&s)
	}
	return s
}

// t0 is the clock time at which most tests begin.
const t0 = 100 * time.Second

// newNode returns a balancer with the given server list, in which a server is warm unless it has a start time.
func newNode(t *testing.T, set Settings, entries ...Entry) *Balancer {
	t.Helper()
	b, err := New(set, 1)
	if err != nil {
		t.Fatal(err)
	}
	b.Handle(t0, &Event{Kind: EvList, List: ListCached, Entries: entries}, nil)
	return b
}

// submit passes a request to a balancer and returns the send or the final response.
func submit(b *Balancer, now time.Duration, id, class string) Action {
	out := b.Handle(now, &Event{Kind: EvRequest, ID: id, Class: class, TimeLeft: 2 * time.Second}, nil)
	return lastAction(out)
}

// report passes the outcome of an attempt, after 50 ms, and returns the send or the final response that follows, if
// any.
func report(b *Balancer, now time.Duration, send Action, o Outcome, load Load) Action {
	out := b.Handle(now, &Event{Kind: EvOutcome, ID: send.ID, Server: send.Server, Attempt: send.Attempt,
		Elapsed: 50 * time.Millisecond, Outcome: o, Final: o == OK, Load: load}, nil)
	return lastAction(out)
}

// lastAction returns the last action that is neither a log line nor a timer, or an ActLog if there is none.
func lastAction(out []Action) Action {
	for i := len(out) - 1; i >= 0; i-- {
		if out[i].Kind != ActLog && out[i].Kind != ActTimer {
			return out[i]
		}
	}
	return Action{Kind: ActLog}
}

// setOccupancy gives a server a service time of 50 ms and a fresh report of n requests. R is then 1 s / 50 ms = 20.
func setOccupancy(s *server, now time.Duration, n float64) {
	s.Latency, s.Occupancy, s.typeServiceTime = 5000, 100000, 0.05
	s.localInFlight, s.laggedInFlight, s.laggedAt = 0, 0, now.Seconds()
	s.RemoteLoad, s.ReportAt = n, now.Seconds()
}

// approxEqual reports whether two values differ by at most 1%, or 0.01 where they are small.
func approxEqual(got, want float64) bool {
	return math.Abs(got-want) <= 0.01*math.Max(1, math.Abs(want))
}

// manyServers returns a list of n servers in three zones and in cells of four.
func manyServers(n int) []Entry {
	var all []Entry
	for i := range n {
		all = append(all, Entry{ID: uint32(i + 1), Zone: fmt.Sprint("z", i%3), Cell: int64(i / 4), ServerType: "k"})
	}
	return all
}
