package policy

import (
	"math"
	"strconv"
	"testing"
	"time"
)

// Checks each transition between the modes, just below and at its threshold.
func TestModeTransitions(t *testing.T) {
	r := 20.0
	set := defaultSettings()
	set.Classes = set.Classes[:2]
	set.Classes[0].TargetLatency, set.Classes[1].TargetLatency = 0, 0 // H is then 0.9 R: no target latency limits it
	h := onset * r
	l := h * abatement / onset
	below := func(x float64) float64 { return x - 1e-6 }
	for _, c := range []struct {
		name string
		from Mode
		n    float64
		want Mode
	}{
		{"normal stays under H", normal, below(h), normal},
		{"normal to overload at H", normal, h, overload},
		{"normal to discard at R", normal, r, discard},
		{"overload stays at L", overload, l, overload},
		{"overload back to normal under L", overload, below(l), normal},
		{"overload stays under R", overload, below(r), overload},
		{"overload to discard at R", overload, r, discard},
		{"discard stays at H", discard, h, discard},
		{"discard to overload under H", discard, below(h), overload},
		{"discard straight to normal under L", discard, below(l), normal},
	} {
		b := newNode(t, set, Entry{ID: 1, Zone: "a"})
		s := b.servers[1]
		setOccupancy(s, t0, c.n)
		s.Mode = c.from
		s.updateMode(t0.Seconds(), b)
		if s.Mode != c.want {
			t.Errorf("%s: mode %d, want %d", c.name, s.Mode, c.want)
		}
	}
}

// Guards against a server that stays in discard because, without requests, it gets no new report.
func TestDiscardTurnsToOverloadWhenTheReportIsOld(t *testing.T) {
	b := newNode(t, defaultSettings(), Entry{ID: 1, Zone: "a"})
	s := b.servers[1]
	timeToComplete := 1.0 // of R requests at this service time: 20 at 50 ms
	for _, c := range []struct {
		age  float64
		want Mode
	}{{timeToComplete - 0.01, discard}, {timeToComplete + 0.01, overload}} {
		setOccupancy(s, t0, 500) // so high that the decay of the report does not end the discard
		s.Mode = discard
		now := t0.Seconds() + c.age
		s.updateMode(now, b)
		if s.Mode != c.want {
			t.Errorf("report %.2f s old: mode %d, want %d", c.age, s.Mode, c.want)
		}
		s.updateMode(now, b)
		if s.Mode != c.want {
			t.Errorf("report %.2f s old: mode %d after a second update, want %d", c.age, s.Mode, c.want)
		}
	}
	// A new report decides again.
	s.localInFlight = 1
	b.requests["x"] = &request{id: "x", class: &classState{}, attempts: []attempt{{server: s, pending: true, occupancy: 1}},
		pending: 1, finished: true}
	report(b, t0+2*time.Second, Action{ID: "x", Server: 1}, Failed, Load{Known: true, Queue: 500})
	if s.Mode != discard {
		t.Errorf("after a new report above R: mode %d, want discard", s.Mode)
	}
}

func TestServerInDiscardGetsNoRequests(t *testing.T) {
	b := newNode(t, defaultSettings(), Entry{ID: 1, Zone: "a"})
	setOccupancy(b.servers[1], t0, 500)
	if a := submit(b, t0, "r", "top"); a.Kind != ActRefuse || a.Wait <= 0 || a.Wait > time.Second {
		t.Errorf("request with the only server in discard: %+v, want a refusal with a retry-after", a)
	}
}

// R comes from the deadline and the service time, and from the occupancy at which a server rejected a request as full.
func TestDiscardThreshold(t *testing.T) {
	now := t0
	for _, c := range []struct {
		name     string
		deadline time.Duration
		full     float64 // occupancy beside the request that is rejected
		want     float64
	}{
		{"half the deadline over the service time", 2 * time.Second, -1, 20},
		{"limited to the occupancy that was rejected as full", 2 * time.Second, 9, 9 + 1},
		{"no deadline specified: the occupancy that was rejected as full", 0, 9, 9 + 1},
		{"no deadline specified, nothing rejected yet", 0, -1, math.Inf(1)},
		{"rejected with nothing waiting: a drain, no limit", 2 * time.Second, 0, 20},
	} {
		set := defaultSettings(func(s *Settings) {
			s.Classes = []Class{{Name: "top", Deadline: c.deadline, Value: 1}}
		})
		b := newNode(t, set, Entry{ID: 1, Zone: "a"})
		s := b.servers[1]
		setOccupancy(s, now, 0)
		if c.full >= 0 {
			send := submit(b, now, "r", "top")
			setOccupancy(s, now, c.full)
			s.localInFlight = 1
			report(b, now, send, QueueFull, Load{})
		}
		if r := s.discardThreshold(b, b.serviceTime(s)); math.Abs(r-c.want) > 0.5 && r != c.want {
			t.Errorf("%s: R %v, want %v", c.name, r, c.want)
		}
	}
}

// A full server rejects requests at once, so it holds none of this node's: if the rejection did not count as a report
// of R, it would look best.
func TestRejectionCountsAsAReportOfR(t *testing.T) {
	b := newNode(t, defaultSettings(), Entry{ID: 1, Zone: "a"})
	s := b.servers[1]
	setOccupancy(s, t0, 7)
	send := submit(b, t0, "r", "top")
	report(b, t0, send, QueueFull, Load{Known: true, Queue: 1})
	if s.Mode == normal {
		t.Fatalf("mode %d after a rejection with a report from before it, want a mode other than normal", s.Mode)
	}
	setOccupancy(s, t0+time.Second, 0)
	if s.updateMode(t0.Seconds()+1, b); s.Mode != normal {
		t.Errorf("mode %d a second later, want normal: the server can have completed its requests by then", s.Mode)
	}
}

// A few slow requests with nothing waiting make a server's service time look long. H must not fall below the number of
// requests that it was seen to have in work at once, or the node would refuse requests that an idle core could process,
// and would never see better values.
func TestOnsetIsNotBelowTheRequestsInWork(t *testing.T) {
	b := newNode(t, defaultSettings(), Entry{ID: 1, Zone: "a"})
	s := b.servers[1]
	s.Latency, s.Occupancy, s.typeServiceTime = 100, 100, 1 // H by the target latency alone is below 1
	if h := s.onsetThreshold(b, s.discardThreshold(b, b.serviceTime(s)), b.serviceTime(s)); h != minOnset {
		t.Fatalf("H %.2f with no report, want its least value", h)
	}
	report(b, t0, submit(b, t0, "r", "once"), OK, Load{Known: true, Queue: 3, Held: 7})
	if h, r := s.onsetThreshold(b, s.discardThreshold(b, b.serviceTime(s)), b.serviceTime(s)),
		s.discardThreshold(b, b.serviceTime(s)); h != 4 || r <= h {
		t.Errorf("H %.2f and R %.2f with 4 requests in work, want H at 4 and R above", h, r)
	}
	report(b, t0, submit(b, t0, "s", "once"), OK, Load{Known: true, Queue: 3, Held: -1})
	report(b, t0, submit(b, t0, "t", "once"), OK, Load{Known: true, Queue: -1, Held: 9})
	if s.MaxInWork != 4 {
		t.Errorf("%v in work after reports without that number, want 4 still", s.MaxInWork)
	}
}

// Where only the queue is reported, the report is the occupancy, and a local attempt must not be multiplied by the
// number of nodes: with 145 nodes, two attempts kept an idle server far above H, and an idle fleet refused 38% of its
// requests.
func TestOccupancyIsTheReportedQueue(t *testing.T) {
	for _, c := range []struct {
		load Load
		low  float64
		high float64
	}{
		{Load{Known: true, Queue: 0, Held: -1}, 0, 0.1},
		{Load{Known: true, Queue: 12, Held: -1}, 11.9, 12.1},
		{Load{Known: true, Queue: 0, Held: 3}, 2.9, 3.1},
		{Load{Known: true, Queue: -1, Held: 3}, 2.9, 3.1},
	} {
		b := newNode(t, defaultSettings(func(s *Settings) { s.Nodes = 145 }), Entry{ID: 1, Zone: "a"})
		s := b.servers[1]
		for now := t0; now < t0+40*time.Second; now += 250 * time.Millisecond {
			send := submit(b, now, now.String(), "once")
			s.localInFlight, s.laggedInFlight, s.laggedAt = 2, 2, now.Seconds()
			report(b, now, send, OK, c.load)
		}
		s.localInFlight, s.RejectedOccupancy = 2, 0
		if n := b.estimateOccupancy(s, s.ReportAt); n < c.low || n > c.high {
			t.Errorf("report %+v: occupancy %.2f, want %.1f to %.1f", c.load, n, c.low, c.high)
		}
	}
}

// A complete fleet can be overloaded with empty queues: only the reported service times, ten times the usual, show it.
func TestLongServiceTimeCountsAsOverload(t *testing.T) {
	for _, c := range []struct {
		work float64
		want Mode
	}{{0.05, normal}, {0.2, normal}, {4, overload}} {
		b := newNode(t, defaultSettings(), Entry{ID: 1, Zone: "a"}, Entry{ID: 2, Zone: "a", Launched: t0})
		reportServiceTime := func(now time.Duration, id uint32, work float64) {
			s := b.servers[id]
			send := Action{ID: now.String()}
			b.requests[send.ID] = &request{id: send.ID, class: b.classes[0], pending: 1,
				attempts: []attempt{{server: s, pending: true, occupancy: 1}}}
			report(b, now, send, OK, Load{Known: true, Held: -1, Work: work})
			b.Handle(now, &Event{Kind: EvTimer, Token: "tick"}, nil)
		}
		now := t0
		for ; now < t0+9*time.Second; now += 250 * time.Millisecond {
			reportServiceTime(now, 1, 0.05)
			reportServiceTime(now, 2, 1) // cold: slow without being overloaded
		}
		for range 100 {
			now += 250 * time.Millisecond
			reportServiceTime(now, 1, c.work)
		}
		s := b.servers[1]
		setOccupancy(s, now, s.RemoteLoad)
		if s.updateMode(now.Seconds(), b); s.Mode != c.want {
			t.Errorf("service time %.2f s after 0.05 s: mode %d with %.1f held, want %d",
				c.work, s.Mode, s.RemoteLoad, c.want)
		}
		if n := b.servers[2].RemoteLoad; n > 0.1 {
			t.Errorf("a slow cold server counts as overloaded by %.1f requests, want 0", n)
		}
	}
}

// When discard ends because its report is old, that report must not lead back into it.
func TestOverloadAfterDiscardWaitsForANewReport(t *testing.T) {
	for _, c := range []struct {
		age  float64 // R requests complete in 1 s
		want Mode
	}{{0, discard}, {0.9, discard}, {1.1, overload}} {
		b := newNode(t, defaultSettings(), Entry{ID: 1, Zone: "a"})
		s := b.servers[1]
		setOccupancy(s, t0, 500)
		for range 3 {
			s.updateMode(t0.Seconds()+c.age, b)
		}
		if s.Mode != c.want {
			t.Errorf("report %.1f s old: mode %d, want %d", c.age, s.Mode, c.want)
		}
	}
}

// An attempt at a server in normal mode may take until the deadline, as a client's retry after the target latency would
// have no value. At a server in overload, where it mostly waits, its slot is worth more than its late response.
func TestAttemptTimeoutByMode(t *testing.T) {
	for _, c := range []struct {
		n    float64
		want time.Duration
	}{{0, 2 * time.Second}, {19, time.Second}} {
		b := newNode(t, defaultSettings(), Entry{ID: 1, Zone: "a"})
		setOccupancy(b.servers[1], t0, c.n)
		send := Action{}
		for i := 0; send.Wait == 0 && i < 1000; i++ { // some pass a server in overload
			if a := submit(b, t0, strconv.Itoa(i), "top"); a.Kind == ActSend {
				send = a
			}
		}
		if send.Wait != c.want {
			t.Errorf("occupancy %.0f: timeout of the attempt %v, want %v", c.n, send.Wait, c.want)
		}
	}
}
