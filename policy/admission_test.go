package policy

import (
	"testing"
	"time"
)

func TestOverloadDivertsLowPriorityClassesFirst(t *testing.T) {
	b := newNode(t, defaultSettings(), Entry{ID: 1, Zone: "a"})
	s := b.servers[1]
	sent := map[string]int{}
	for i := 0; i < 400; i++ {
		name := []string{"top", "low"}[i%2]
		now := t0 + time.Duration(i)*10*time.Millisecond
		if i == 200 {
			b.refresh(now.Seconds())
			sent = map[string]int{}
		}
		setOccupancy(s, now, 12) // between H (8: 0.4 of the target latency) and R (20)
		if a := submit(b, now, string(rune(1000+i)), name); a.Kind == ActSend {
			sent[name]++
		}
	}
	// At 1.5 H the share that passes is 0.2/1.5 of all; half the requests have low priority and none of those pass.
	if sent["low"] > 0 || sent["top"] < 15 || sent["top"] > 40 {
		t.Errorf("100 requests of each class to a server in overload: %v sent, want none of low and 15 to 40 of top",
			sent)
	}
}

func TestDivertedRequestsGoToAServerInNormalMode(t *testing.T) {
	b := newNode(t, defaultSettings(), Entry{ID: 1, Zone: "a"}, Entry{ID: 2, Zone: "a"})
	overloaded, other := b.servers[1], b.servers[2]
	to := map[uint32]int{}
	for i := 0; i < 200; i++ {
		setOccupancy(overloaded, t0, 10)
		setOccupancy(other, t0, 7)
		to[submit(b, t0, string(rune(1000+i)), "low").Server]++
	}
	if to[1]+to[2] != 200 || to[2] < 150 {
		t.Errorf("200 requests, server 1 in overload and 2 in normal mode: %v, want all sent and at least 150 to server 2",
			to)
	}
}

// Which requests are retried after which outcome: by the effect of their class and by whether the attempt may have run.
func TestRetriesByClassAndOutcome(t *testing.T) {
	two := []Entry{{ID: 1, Zone: "a"}, {ID: 2, Zone: "b"}}
	for _, c := range []struct {
		class string
		o     Outcome
		want  ActionKind
	}{
		{"top", Failed, ActSend}, {"top", TimedOut, ActSend}, {"top", QueueFull, ActSend},
		{"key", QueueFull, ActSend}, {"key", ConnectFailed, ActSend}, {"key", NeverSent, ActSend},
		{"key", Failed, ActFail}, {"key", Reset, ActFail}, // the only other server is in another zone
		{"once", QueueFull, ActSend}, {"once", Failed, ActFail}, {"once", TimedOut, ActFail},
		{"once", Reset, ActFail}, {"once", Canceled, ActFail}, {"unknown", Failed, ActFail},
	} {
		b := newNode(t, defaultSettings(), two...)
		send := submit(b, t0, "r", c.class)
		next := report(b, t0+50*time.Millisecond, send, c.o, Load{})
		if next.Kind != c.want {
			t.Errorf("%s after outcome %d: action %d, want %d", c.class, c.o, next.Kind, c.want)
		}
		if next.Kind == ActSend && next.Server == send.Server {
			t.Errorf("%s after outcome %d: sent to the same server again", c.class, c.o)
		}
	}
}

// All attempts fail here: the number of retries must stay within what the budget allows.
func TestRetriesStayWithinTheirBudget(t *testing.T) {
	b := newNode(t, defaultSettings(), Entry{ID: 1, Zone: "a"}, Entry{ID: 2, Zone: "a"}, Entry{ID: 3, Zone: "a"})
	retries := 0
	for i := 0; i < 300; i++ {
		for _, s := range b.sorted {
			setOccupancy(s, t0, 0)
			s.FailureShare, s.EjectedUntil = 0, 0
		}
		send := submit(b, t0, string(rune(1000+i)), "top")
		for n := 0; send.Kind == ActSend; n++ {
			if n > 0 {
				retries++
			}
			send.Attempt = n
			send = report(b, t0, send, Failed, Load{})
		}
	}
	if limit := maxSavedRetries + 300*retriesPerRequest; retries == 0 || float64(retries) > limit {
		t.Errorf("%d retries of 300 requests, want some and at most %v", retries, limit)
	}
}

// A request that can't be sent is refused at once: none is queued at the node.
func TestRequestWithoutTimeOrServerIsRefusedAtOnce(t *testing.T) {
	b := newNode(t, defaultSettings(), Entry{ID: 1, Zone: "a"})
	out := b.Handle(t0, &Event{Kind: EvRequest, ID: "late", Class: "top"}, nil)
	if len(out) != 1 || out[0].Kind != ActRefuse {
		t.Errorf("a request with no time left: %+v, want a refusal", out)
	}
	b = newNode(t, defaultSettings())
	if a := submit(b, t0, "r", "once"); a.Kind != ActRefuse {
		t.Errorf("no server in the list: %+v, want a refusal", a)
	}
}

// Of a tenant at twice its quota half the requests count as over it, of a tenant below its quota none.
func TestRequestsOverATenantsQuota(t *testing.T) {
	set := defaultSettings(func(s *Settings) {
		s.Nodes, s.OverShare = 1, 0.2
		s.Tenants = []Tenant{{"big", 100}, {"small", 100}}
	})
	b := newNode(t, set, Entry{ID: 1, Zone: "a"})
	overQuota := map[string]int{}
	for i := 0; i < 2000; i++ { // 200 a second of big, 50 of small
		now := t0 + time.Duration(i)*4*time.Millisecond
		if i%62 == 0 {
			b.Handle(now, &Event{Kind: EvTimer, Token: "tick"}, nil)
		}
		name := "big"
		if i%5 == 0 {
			name = "small"
		}
		if b.exceedsQuota(name) && i >= 1000 {
			overQuota[name]++
		}
	}
	if overQuota["big"] < 300 || overQuota["big"] > 500 || overQuota["small"] > 0 || b.exceedsQuota("unknown") {
		t.Errorf("over their quota: %v of 800 at twice the quota and 200 at half of it, want 300 to 500 and none",
			overQuota)
	}
}

// A client's last repeats have what is left of its deadline. If those past the target latency were served like others,
// they would keep an overloaded fleet from serving first requests in time.
func TestRepeatsPastTheirTargetLatencyAreRefused(t *testing.T) {
	for _, c := range []struct {
		name      string
		repeat    bool
		timeLeft  time.Duration
		lateValue float64
		want      ActionKind
		wait      time.Duration
	}{
		{"first request", false, 900 * time.Millisecond, 0, ActSend, 900 * time.Millisecond},
		{"repeat with all the time of a first request", true, 1200 * time.Millisecond, 0, ActSend, 1200 * time.Millisecond},
		{"repeat that is 0.9 s old", true, 1100 * time.Millisecond, 0, ActSend, 1100 * time.Millisecond},
		{"repeat that is 1.5 s old", true, 500 * time.Millisecond, 0, ActRefuse, time.Second},
		{"repeat that is 1.5 s old, where late responses have value", true, 500 * time.Millisecond, 0.5,
			ActSend, 500 * time.Millisecond},
	} {
		b := newNode(t, defaultSettings(func(s *Settings) { s.Classes[1].LateValue = c.lateValue }), Entry{ID: 1, Zone: "a"})
		submitRequest := func(id string, timeLeft time.Duration, repeat bool) Action {
			return lastAction(b.Handle(t0,
				&Event{Kind: EvRequest, ID: id, Class: "low", TimeLeft: timeLeft, Repeat: repeat}, nil))
		}
		setOccupancy(b.servers[1], t0, 0)
		submitRequest("earlier", 1200*time.Millisecond, false)
		b.servers[1].localInFlight = 0
		if got := submitRequest("r", c.timeLeft, c.repeat); got.Kind != c.want || got.Wait.Round(time.Millisecond) != c.wait {
			t.Errorf("%s: %+v, want action kind %d with %v", c.name, got, c.want, c.wait)
		}
	}
}

// Work on a response that has lost its value is wasted.
func TestNoRetryPastTheTargetLatency(t *testing.T) {
	for _, c := range []struct {
		after time.Duration
		want  ActionKind
	}{{500 * time.Millisecond, ActSend}, {1100 * time.Millisecond, ActRefuse}} {
		b := newNode(t, defaultSettings(), Entry{ID: 1, Zone: "a"}, Entry{ID: 2, Zone: "a"})
		if got := report(b, t0+c.after, submit(b, t0, "r", "low"), Failed, Load{}); got.Kind != c.want {
			t.Errorf("failed after %v with a target latency of 1 s: wrong action %+v", c.after, got)
		}
	}
}

// Whatever the load, the share of requests that passes a server in overload must fall as its occupancy rises.
func TestShareThatPassesFallsWithOccupancy(t *testing.T) {
	passed := func(n float64) (count int) {
		b := newNode(t, defaultSettings(), Entry{ID: 1, Zone: "a"})
		b.RequestCount, b.LowPriorityCount = 100, 100
		for range 4000 {
			setOccupancy(b.servers[1], t0, n)
			if !b.shouldDivert(t0.Seconds(), b.servers[1], true) {
				count++
			}
		}
		return count
	}
	if at, twice := passed(8), passed(16); at < 700 || at > 900 || twice < 330 || twice > 470 {
		t.Errorf("of 4000, %d pass at H and %d at twice that; want about 800 and 400", at, twice)
	}
}
