package policy

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// shortWindowSettings returns settings with a keyed class whose repeat window is shorter than its deadline.
func shortWindowSettings() Settings {
	return Settings{Nodes: 1, MaxAttempts: 4, Cancel: true, RetryAfter: 2 * time.Second, DrainGrace: time.Second,
		ColdShare: 0.3, ColdFor: 8 * time.Second, FallFactor: 2.5, FallFor: 1500 * time.Millisecond, Classes: []Class{
			{Name: "view", TargetLatency: 3 * time.Second, Deadline: 4 * time.Second, Value: 1},
			{Name: "save", TargetLatency: 3 * time.Second, Deadline: 4 * time.Second, Value: 1, Effect: Keyed,
				Window: time.Second}}}
}

// newListedNode returns a balancer whose list has the given number of servers, numbered from 1.
func newListedNode(t *testing.T, set Settings, servers uint32) *Balancer {
	t.Helper()
	b, err := New(set, 1)
	if err != nil {
		t.Fatal(err)
	}
	var list []Entry
	for id := range servers {
		list = append(list, Entry{ID: id + 1, ServerType: "k"})
	}
	b.Handle(0, &Event{Kind: EvList, List: ListFull, Entries: list}, nil)
	return b
}

// findSend returns the first ActSend among some actions, nil if there is none.
func findSend(actions []Action) *Action {
	for i := range actions {
		if actions[i].Kind == ActSend {
			return &actions[i]
		}
	}
	return nil
}

// The repeat window of a keyed request begins at the send of the first attempt that may have run, however late the end
// of its response is reported and whatever share of that time counts as the server's. A retry's timeout ends with the
// window.
func TestRepeatWindowRunsFromTheSend(t *testing.T) {
	for _, c := range []struct {
		name            string
		ends, firstByte time.Duration // when the outcome is reported, and when the response's first byte arrived
		retried         bool
		timeout         time.Duration
	}{
		{"outcome at once", 100 * time.Millisecond, 100 * time.Millisecond, true, 900 * time.Millisecond},
		{"slow response that ends within the window", 900 * time.Millisecond, 100 * time.Millisecond,
			true, 100 * time.Millisecond},
		{"slow response that ends after the window", 1100 * time.Millisecond, 300 * time.Millisecond, false, 0},
	} {
		b := newListedNode(t, shortWindowSettings(), 3)
		if findSend(b.Handle(0, &Event{Kind: EvRequest, ID: "r", Class: "save", TimeLeft: 4 * time.Second}, nil)) == nil {
			t.Fatalf("%s: the request was not sent", c.name)
		}
		s := findSend(b.Handle(c.ends, &Event{Kind: EvOutcome, ID: "r", Elapsed: c.firstByte, Outcome: Failed,
			Load: Load{Queue: -1, Held: -1}}, nil))
		if (s != nil) != c.retried {
			t.Errorf("%s: retried %v, want %v", c.name, s != nil, c.retried)
		} else if s != nil && (s.Wait-c.timeout).Abs() > time.Microsecond {
			t.Errorf("%s: the retry has a timeout of %v, want %v", c.name, s.Wait, c.timeout)
		}
	}
}

// With no deadline specified, a server that rejected a request with nothing waiting has shown no limit: it must get
// requests again.
func TestServerIsUsedAgainAfterARejectionWithoutADeadline(t *testing.T) {
	set := shortWindowSettings()
	set.Classes = []Class{{Name: "view", Value: 1}}
	b := newListedNode(t, set, 1)
	for i, at := 0, time.Duration(0); ; i, at = i+1, at+100*time.Millisecond {
		id := "r" + string(rune('a'+i))
		s := findSend(b.Handle(at, &Event{Kind: EvRequest, ID: id, Class: "view", TimeLeft: time.Minute}, nil))
		switch {
		case s == nil && i == 20:
			t.Fatal("two seconds after the rejection the server still gets no request")
		case s == nil:
			continue
		case i > 0:
			return
		}
		b.Handle(at, &Event{Kind: EvOutcome, ID: id, Outcome: QueueFull, Final: true, Load: Load{Queue: -1, Held: -1}}, nil)
	}
}

// One client with a short timeout must not change the node's estimate of the time that first requests have.
func TestShortClientTimeoutDoesNotHideTheAgeOfRepeats(t *testing.T) {
	b := newListedNode(t, shortWindowSettings(), 3)
	submitRequest := func(id string, timeLeft time.Duration, repeat bool) *Action {
		return findSend(b.Handle(0, &Event{Kind: EvRequest, ID: id, Class: "view", TimeLeft: timeLeft, Repeat: repeat}, nil))
	}
	submitRequest("first", 4*time.Second, false)
	submitRequest("short timeout", time.Millisecond, false)
	if submitRequest("repeat", 500*time.Millisecond, true) != nil { // 3.5 s old, past its target latency of 3 s
		t.Error("a repeat past its target latency was sent")
	}
}

func TestTenantNameUsedTwiceIsAnError(t *testing.T) {
	set := shortWindowSettings()
	set.Tenants = []Tenant{{Name: "a", QuotaPerS: 1}, {Name: "a", QuotaPerS: 9}}
	if err := set.Validate(); err == nil || !strings.Contains(err.Error(), "Tenants[1].Name") {
		t.Errorf("%v, want an error that names Tenants[1].Name", err)
	}
}

// A server that rejects a request has reached R, however low its reported load: limiting R alone would leave it in
// normal mode.
func TestRejectionLeadsToDiscardWhateverIsReported(t *testing.T) {
	b := newNode(t, defaultSettings(), Entry{ID: 1, Zone: "a"})
	s := b.servers[1]
	setOccupancy(s, t0, 2)
	report(b, t0, submit(b, t0, "r", "top"), QueueFull, Load{Queue: -1, Held: -1})
	if s.Mode != discard {
		t.Errorf("mode %d after a rejection, want discard", s.Mode)
	}
}

// Requests over a tenant's quota are diverted first. In this test nothing but the quota decides on their priority.
func TestRequestsOverQuotaHaveLowPriority(t *testing.T) {
	set := shortWindowSettings()
	set.OverShare, set.Tenants = 0.2, []Tenant{{Name: "big", QuotaPerS: 100}, {Name: "small", QuotaPerS: 100}}
	set.Classes = set.Classes[:1] // its value is the average
	b := newListedNode(t, set, 3)
	low := map[string]int{}
	for i := range 2000 { // 200 a second of big, 50 of small
		now := time.Duration(i) * 4 * time.Millisecond
		if i%62 == 0 {
			b.Handle(now, &Event{Kind: EvTimer, Token: "tick"}, nil)
		}
		name := "big"
		if i%5 == 0 {
			name = "small"
		}
		b.Handle(now, &Event{Kind: EvRequest, ID: "r", Class: "view", Tenant: name, TimeLeft: 4 * time.Second}, nil)
		r := b.requests["r"]
		if r == nil {
			t.Fatalf("request %d was refused", i)
		}
		if r.lowPriority && i >= 1000 {
			low[name]++
		}
		b.Handle(now, &Event{Kind: EvOutcome, ID: "r", Elapsed: time.Millisecond, Final: true,
			Load: Load{Queue: -1, Held: -1}}, nil)
	}
	if low["big"] < 300 || low["big"] > 500 || low["small"] > 0 {
		t.Errorf("low priority: %v of 800 at twice the quota and 200 at half of it, want 300 to 500 and none", low)
	}
}

// L < H < R whatever the statistics of a server and the settings are, so that a mode is not left at the occupancy at
// which it was entered.
func TestThresholdsAreOrdered(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		maybe := func(name string) float64 {
			if rapid.Bool().Draw(t, name+" specified") {
				return rapid.Float64Range(1e-4, 1e5).Draw(t, name)
			}
			return math.Inf(1)
		}
		b := &Balancer{halfMinDeadline: maybe("half the shortest deadline"), minTargetLatency: maybe("shortest target latency")}
		s := &server{ServerStats: ServerStats{MinRejectedOccupancy: maybe("room"), MaxInWork: rapid.Float64Range(0, 1e5).Draw(t, "slots")}}
		service := rapid.Float64Range(1e-6, 1e3).Draw(t, "service")
		r := s.discardThreshold(b, service)
		h := s.onsetThreshold(b, r, service)
		if l := h * abatement / onset; !(0 < l && l < h && h < r || math.IsInf(h, 1)) {
			t.Fatalf("L %v, H %v, R %v", l, h, r)
		}
	})
}

// A balancer that adopts the state of another has the same estimates and selections, other than for a server that was
// restarted meanwhile, of which nothing is known. Requests in flight of the old one are remote load to the new one.
func TestAdoptedStateGivesTheSameEstimates(t *testing.T) {
	entries := []Entry{{ID: 1, ServerType: "k", Zone: "a"}, {ID: 2, ServerType: "k", Zone: "a"}, {ID: 3, ServerType: "k", Zone: "a"}}
	old := newNode(t, defaultSettings(), entries...)
	for i := range 300 {
		now := t0 + time.Duration(i)*10*time.Millisecond
		send := submit(old, now, fmt.Sprint(i), "low")
		if send.Kind == ActSend {
			report(old, now+time.Duration(send.Server)*time.Millisecond, send, OK,
				Load{Known: true, Queue: float64(send.Server), Held: -1})
		}
	}
	at := t0 + 3*time.Second
	learned := old.LearnedState()
	old.servers[1].localInFlight = 2
	if n := old.LearnedState().Servers[0].RemoteLoad - learned.Servers[0].RemoteLoad; n != 2 {
		t.Errorf("two requests in flight are %.1f of remote load, want 2", n)
	}
	old.servers[1].localInFlight = 0
	entries[2].Launched = at
	adopter := newNode(t, defaultSettings(), entries...)
	adopter.Adopt(at, learned)
	for id := uint32(1); id <= 2; id++ {
		former, adopted := old.servers[id], adopter.servers[id]
		if n, m := old.estimateOccupancy(former, at.Seconds()), adopter.estimateOccupancy(adopted, at.Seconds()); !approxEqual(m, n) {
			t.Errorf("server %d: an occupancy of %.3f is %.3f to the new balancer", id, n, m)
		}
		if want, got := former.Latency/former.Occupancy, adopted.Latency/adopted.Occupancy; !approxEqual(got, want) || got == 0 {
			t.Errorf("server %d: %.4f s per request are %.4f to the new balancer", id, want, got)
		}
	}
	if s := adopter.servers[3]; s.SuccessCount != 0 || s.Latency != 0 || adopter.capacityShare(s, at.Seconds()) == 1 {
		t.Errorf("restarted server: %+v, want no statistics and a cold server", s.ServerStats)
	}
	if adopter.Retries != old.Retries || adopter.InitialSelections == 0 || adopter.servers[3].warmShare == 0 {
		t.Errorf("%.1f retries adopted of %.1f, %.0f selections, share of the cold server %.3f",
			adopter.Retries, old.Retries, adopter.InitialSelections, adopter.servers[3].warmShare)
	}
}
