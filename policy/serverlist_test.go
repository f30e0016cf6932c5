package policy

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"
)

// Drains, a lost list, a full snapshot and an empty list: which servers get requests after each.
func TestServersFollowTheList(t *testing.T) {
	serversInUse := func(b *Balancer, now time.Duration) map[uint32]bool {
		got := map[uint32]bool{}
		for i := 0; i < 60; i++ {
			send := submit(b, now, now.String()+string(rune(1000+i)), "low")
			if send.Kind == ActSend {
				got[send.Server] = true
				report(b, now, send, OK, Load{Known: true, Queue: 1})
			}
		}
		return got
	}
	entry := func(id uint32, s State) Entry { return Entry{ID: id, Zone: "a", State: s} }
	b := newNode(t, defaultSettings(), entry(1, Active), entry(2, Active))
	b.Handle(t0, &Event{Kind: EvList, List: ListDelta, Entries: []Entry{entry(1, Draining)}}, nil)
	if got := serversInUse(b, t0); got[1] || !got[2] {
		t.Errorf("server 1 drains: sent to %v, want 2 alone", got)
	}
	b.Handle(t0, &Event{Kind: EvList, List: ListFailed}, nil)
	if got := serversInUse(b, t0); got[1] || !got[2] {
		t.Errorf("list lost: sent to %v, want the old list with its drains", got)
	}
	b.Handle(t0, &Event{Kind: EvList, List: ListFull, Entries: []Entry{entry(3, Active)}}, nil)
	if got := serversInUse(b, t0); got[1] || got[2] || !got[3] {
		t.Errorf("full list of server 3 alone: sent to %v", got)
	}
	out := b.Handle(t0, &Event{Kind: EvList, List: ListFull}, nil)
	if len(out) == 0 || out[0].Kind != ActFetch {
		t.Errorf("empty list: %+v, want a fetch", out)
	}
	if got := serversInUse(b, t0+500*time.Millisecond); !got[3] {
		t.Error("after an empty list nothing is sent to the old servers within the grace")
	}
	b.Handle(t0+600*time.Millisecond, &Event{Kind: EvList, List: ListFull}, nil)
	if got := serversInUse(b, t0+1001*time.Millisecond); got[3] {
		t.Error("a request went to a removed server after the grace")
	}
}

// An empty list must not put a draining server back into use.
func TestEmptyListDoesNotEndADrain(t *testing.T) {
	b := newNode(t, defaultSettings(), Entry{ID: 1, Zone: "a", State: Draining})
	b.Handle(t0, &Event{Kind: EvList, List: ListFull}, nil)
	if a := submit(b, t0+time.Millisecond, "r", "top"); a.Kind != ActRefuse {
		t.Errorf("request with only a draining server: %+v, want a refusal", a)
	}
}

// After the list is lost, the node must subscribe again within the specified time, each time.
func TestLostListIsRequestedAgainInTime(t *testing.T) {
	set := defaultSettings(func(s *Settings) { s.MustAsk, s.MustAskIn = true, 800*time.Millisecond })
	b, err := New(set, 3)
	if err != nil {
		t.Fatal(err)
	}
	out := b.Handle(t0, &Event{Kind: EvList, List: ListCached, Entries: []Entry{{ID: 1}}}, nil)
	if lastAction(out).Kind != ActWatch {
		t.Fatalf("at the start: %+v, want a subscription", out)
	}
	now := t0
	for i := 0; i < 5; i++ {
		b.Handle(now, &Event{Kind: EvList, List: ListFailed}, nil)
		from := now
		for subscribed := false; !subscribed; {
			now += 250 * time.Millisecond
			for _, a := range b.Handle(now, &Event{Kind: EvTimer, Token: "tick"}, nil) {
				subscribed = subscribed || a.Kind == ActWatch
			}
			if now > from+set.MustAskIn {
				t.Fatalf("loss %d: no subscription within %v", i, now-from)
			}
		}
	}
}

// A server that restarted under its old id is cold, and its statistics are dropped.
func TestRestartUnderTheSameIDDropsTheStatistics(t *testing.T) {
	b := newNode(t, defaultSettings(), Entry{ID: 1, Zone: "a"})
	b.servers[1].EjectedUntil = 1e9
	out := submit(b, t0, "r", "once")
	if out.Kind != ActRefuse {
		t.Fatalf("server ejected: %+v, want a refusal", out)
	}
	now := t0 + time.Second
	b.Handle(now, &Event{Kind: EvList, List: ListDelta, Entries: []Entry{{ID: 1, Zone: "a", Launched: now}}}, nil)
	if b.capacityShare(b.servers[1], now.Seconds()) != 0.25 {
		t.Errorf("share of capacity %v after a restart, want 0.25", b.capacityShare(b.servers[1], now.Seconds()))
	}
	b.Handle(now+2*time.Second, &Event{Kind: EvTimer, Token: "tick"}, nil)
	if out := submit(b, now+2*time.Second, "s", "once"); out.Kind != ActSend {
		t.Errorf("after a restart: %+v, want a send", out)
	}
}

// Nodes that lose the list together must not subscribe again together.
func TestResubscriptionIsJittered(t *testing.T) {
	seen := map[float64]bool{}
	for seed := uint64(1); seed <= 5; seed++ {
		b, err := New(defaultSettings(), seed)
		if err != nil {
			t.Fatal(err)
		}
		b.Handle(t0, &Event{Kind: EvList, List: ListFailed}, nil)
		seen[b.resubscribeAt] = true
	}
	if len(seen) < 5 {
		t.Errorf("five nodes subscribe again at %d different times, want 5", len(seen))
	}
}

// A server that an operator disabled gets no requests, not even when the list announces a restart or lists it again.
// When it is enabled it counts as cold, and an earlier start time in the list does not change that.
func TestDisabledServerGetsNoRequestsUntilEnabled(t *testing.T) {
	one := Entry{ID: 1, Zone: "a"}
	b := newNode(t, defaultSettings(), one)
	b.Handle(t0, &Event{Kind: EvDisable, Server: 1}, nil)
	b.Handle(t0, &Event{Kind: EvDisable, Server: 7}, nil)
	b.Handle(t0, &Event{Kind: EvEnable, Server: 7}, nil)
	list := func(now, launched time.Duration) {
		one.Launched = launched
		b.Handle(now, &Event{Kind: EvList, List: ListFull, Entries: []Entry{one}}, nil)
	}
	for i, update := range []func(){func() {}, func() { list(t0+1, t0) }, func() { list(t0+2, t0+1) }} {
		update()
		if out := submit(b, t0+2, strconv.Itoa(i), "low"); out.Kind != ActRefuse {
			t.Errorf("list update %d: %+v with the only server disabled, want a refusal", i, out)
		}
	}
	now := t0 + 20*time.Second
	b.Handle(now, &Event{Kind: EvEnable, Server: 1}, nil)
	b.Handle(now, &Event{Kind: EvEnable, Server: 1}, nil)
	list(now, now-5*time.Second)
	if got := b.capacityShare(b.servers[1], now.Seconds()); got != 0.25 {
		t.Errorf("share of capacity %v once enabled, want that of a cold server, 0.25", got)
	}
	later := now + 11*time.Second
	if out := submit(b, later, "later", "low"); out.Kind != ActSend {
		t.Errorf("once warm: %+v, want a send", out)
	}
}

// A change of a few entries of a long list must leave the same indexes as a full snapshot would.
func TestIncrementalChangesOfALongList(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	entries := manyServers(200)
	b := newNode(t, defaultSettings(), entries...)
	now := t0
	for i := range 500 {
		now += time.Millisecond
		e := &entries[rng.IntN(len(entries))]
		switch rng.IntN(4) {
		case 0:
			e.State = Draining
		case 1:
			e.State = Removed
		case 2:
			e.State, e.Launched = Active, now
		default:
			e.State = Active
		}
		b.Handle(now, &Event{Kind: EvList, List: ListDelta, Entries: []Entry{*e}}, nil)
		if i%50 != 0 {
			continue
		}
		zones, cells := 0, 0
		for _, s := range b.sorted {
			if b.servers[s.ID] != s || s.Entry != entries[s.ID-1] || !slices.Contains(b.byZone[s.Zone], s) ||
				!slices.Contains(b.byCell[s.Cell], s) || s.typeStats == nil || s.typeServiceTime == 0 {
				t.Fatalf("after %d changes: wrong server in the indexes: %+v", i, s)
			}
		}
		for _, l := range b.byZone {
			zones += len(l)
		}
		for _, l := range b.byCell {
			cells += len(l)
		}
		listed := 0
		for _, e := range entries {
			if e.State != Removed {
				listed++
			}
		}
		if len(b.sorted) != listed || len(b.servers) != listed || zones != listed || cells != listed ||
			!slices.IsSortedFunc(b.sorted, byID) {
			t.Fatalf("after %d changes: %d sorted, %d by id, %d by zone, %d by cell, want %d each",
				i, len(b.sorted), len(b.servers), zones, cells, listed)
		}
	}
}

// A server of a type that a long list did not have before gets the statistics of all servers, the same on every run.
func TestNewServerTypeInALongList(t *testing.T) {
	entries := manyServers(60)
	for i := range entries {
		entries[i].ServerType = fmt.Sprint("k", i%7)
	}
	for range 20 {
		b := newNode(t, defaultSettings(), entries...)
		for i, k := range []string{"k0", "k1", "k2", "k3", "k4", "k5", "k6"} {
			b.serverTypes[k].serviceTime = float64(i)
		}
		b.Handle(t0, &Event{Kind: EvList, List: ListDelta, Entries: []Entry{{ID: 900, Zone: "z1", ServerType: "new"}}}, nil)
		if s := b.servers[900]; s.typeStats != b.allTypes || s.typeServiceTime != b.allTypes.serviceTime {
			t.Fatalf("new server type has the statistics %+v, want those of all servers", s.typeStats)
		}
	}
}
