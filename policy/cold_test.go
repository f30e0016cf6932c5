package policy

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// A cold server gets no more requests than its share of capacity allows, compared with a warm one, bursts included.
func TestColdServerGetsAGrowingShare(t *testing.T) {
	warm := []Entry{{ID: 1, Zone: "a", ServerType: "k"}, {ID: 2, Zone: "a", ServerType: "k"}}
	b := newNode(t, defaultSettings(), warm...)
	run := func(from time.Duration, n int) map[uint32]int {
		to := map[uint32]int{}
		for i := 0; i < n; i++ {
			now := from + time.Duration(i)*10*time.Millisecond
			if i%25 == 0 {
				b.Handle(now, &Event{Kind: EvTimer, Token: "tick"}, nil)
			}
			send := submit(b, now, now.String(), "low")
			to[send.Server]++
			report(b, now+5*time.Millisecond, send, OK, Load{Known: true, Queue: 1})
		}
		return to
	}
	run(t0, 1000)
	start := t0 + 10*time.Second
	b.Handle(start, &Event{Kind: EvList, List: ListDelta,
		Entries: []Entry{{ID: 3, Zone: "a", ServerType: "k", Launched: start}}}, nil)
	if got := run(start, 200)[3]; got == 0 || got > 60 {
		t.Errorf("%d of 200 requests in 2 s went to a cold server, want 1 to 60: a warm one gets 100, the share of capacity is"+
			" 0.25 to 0.4, and half of FallFactor 1.5", got)
	}
	run(start+2*time.Second, 1000)
	if got := run(start+12*time.Second, 300)[3]; got < 60 {
		t.Errorf("%d of 300 requests went to it once warm, want at least 60", got)
	}
}

// An idle cold server next to overloaded warm ones attracts all requests; the limit on its load must hold whatever the
// weights. It responds as fast as its share of capacity allows, and must not be sent requests faster than that while
// idle.
func TestLimitOfAColdServerHoldsNextToOverloadedOnes(t *testing.T) {
	set := defaultSettings()
	b := newNode(t, set, Entry{ID: 1, Zone: "a", ServerType: "k"}, Entry{ID: 2, Zone: "a", ServerType: "k"})
	now, n, got := t0, 0, 0
	type pending struct {
		send Action
		at   time.Duration
	}
	var inFlight []pending // at the cold server
	var free time.Duration // when that has completed them
	step := func() Action {
		now += 10 * time.Millisecond
		if n++; n%25 == 0 {
			b.Handle(now, &Event{Kind: EvTimer, Token: "tick"}, nil)
		}
		for _, id := range []uint32{1, 2} {
			setOccupancy(b.servers[id], now, 15)
			b.servers[id].Mode = normal
		}
		for len(inFlight) > 0 && inFlight[0].at <= now {
			report(b, now, inFlight[0].send, OK, Load{})
			inFlight = inFlight[1:]
		}
		send := submit(b, now, now.String(), "low")
		if send.Server != 3 {
			report(b, now, send, OK, Load{})
			return send
		}
		free = max(free, now) + time.Duration(float64(20*time.Millisecond)/b.capacityShare(b.servers[3], now.Seconds()))
		inFlight = append(inFlight, pending{send, free})
		return send
	}
	for range 1000 {
		step()
	}
	b.Handle(now, &Event{Kind: EvList, List: ListDelta,
		Entries: []Entry{{ID: 3, Zone: "a", ServerType: "k", Launched: now}}}, nil)
	for range 200 {
		if step().Server == 3 {
			got++
		}
	}
	// At most its share of capacity (0.4 at the end) of a warm one's 100, times half of the collapse multiple, and some
	// random variation.
	if limit := int(100*0.4*set.FallFactor/2) + 15; got == 0 || got > limit {
		t.Errorf("%d of 200 requests in 2 s went to the cold server, want some and at most %d", got, limit)
	}
}

// A cold server of a type without a warm server gets half of what the warm ones of other types get: its type may be
// slower.
func TestColdServerOfAnUnknownType(t *testing.T) {
	b := newNode(t, defaultSettings(), Entry{ID: 1, ServerType: "k"}, Entry{ID: 2, ServerType: "new", Launched: t0})
	b.servers[1].SuccessCount, b.InitialSelections = 60, 119
	b.refresh(b.lastRefreshAt)
	if got := b.servers[2].warmShare; math.Abs(got-0.25) > 0.01 {
		t.Errorf("its share of the requests is %.2f, want half of a warm one's 60 of 120", got)
	}
}

// Budgets that all nodes begin at the same start of a server must not be spent at the same time: hundreds of nodes that
// each saved up one complete request overloaded a server 17 s after its start.
func TestColdServerIsNotOverloadedByManyNodes(t *testing.T) {
	const nodes, servers = 200, 20
	set := defaultSettings(func(s *Settings) { s.Nodes, s.ColdFor = nodes, 20*time.Second })
	rng := rand.New(rand.NewPCG(3, 3))
	var fleet []*Balancer
	var entries []Entry
	for i := range servers {
		entries = append(entries, Entry{ID: uint32(i + 1), ServerType: "k"})
	}
	for i := range nodes {
		b, _ := New(set, uint64(i))
		b.Handle(t0, &Event{Kind: EvList, List: ListFull, Entries: entries}, nil)
		fleet = append(fleet, b)
	}
	// Each node has one request a second, each warm server ten, with an immediate response. From overloadedFrom on, all
	// warm ones are in discard, so that only the cold one is left.
	var coldSends []time.Duration
	start := t0 + 10*time.Second
	overloadedFrom := start + 8*time.Second
	for now := t0; now < start+20*time.Second; now += 5 * time.Millisecond {
		if now == start {
			for _, b := range fleet {
				b.Handle(now, &Event{Kind: EvList, List: ListDelta,
					Entries: []Entry{{ID: 99, ServerType: "k", Launched: now}}}, nil)
			}
		}
		b := fleet[rng.IntN(nodes)]
		b.Handle(now, &Event{Kind: EvTimer, Token: "tick"}, nil)
		if now >= overloadedFrom {
			for _, s := range b.sorted {
				if s.ID != 99 {
					setOccupancy(s, now, 100)
				}
			}
		}
		if send := submit(b, now, now.String(), "low"); send.Kind == ActSend {
			if send.Server == 99 {
				coldSends = append(coldSends, now)
			}
			report(b, now, send, OK, Load{})
		}
	}
	if len(coldSends) < 20 {
		t.Fatalf("only %d requests went to the cold server, too few for the test", len(coldSends))
	}
	for i, at := range coldSends {
		n := 0
		for _, later := range coldSends[i:] {
			if later < at+set.FallFor {
				n++
			}
		}
		capacity := set.ColdShare + (1-set.ColdShare)*(at-start).Seconds()/20
		// A warm server's capacity here is the 10 requests a second that it serves; 5 more are for random variation.
		if limit := set.FallFactor*capacity*10*set.FallFor.Seconds() + 5; float64(n) > limit {
			t.Errorf("%v after its start: %d sends in %v from all nodes, want at most %.0f",
				at-start, n, set.FallFor, limit)
		}
	}
}

// A burst that fills the warm servers raises the number of selections eightfold within a second. When a cold server's
// share of them followed over three seconds, hundreds of nodes sent cold servers four times the intended load. A rise
// that exceeds random variation must count at once and in full (with a threshold of two standard deviations, and less
// these, it stood for half of the selections of a node with a few a second). A node with a request every few seconds,
// or with a steady rate, goes by the long-term count.
func TestRiseOfSelectionsLowersTheColdShareAtOnce(t *testing.T) {
	for _, c := range []struct {
		before, after float64 // requests a second; the warm server serves the rate of before throughout
		// Upper limit on the cold server's share a second after the rise, as a multiple of its share before; 0: its
		// share must follow the long-term count at all times.
		limit float64
	}{{20, 160, 0.25}, {10, 50, 0.25}, {3, 30, 0.14}, {3, 9, 0.45}, {20, 20, 0}, {0.3, 0.3, 0}} {
		b := newNode(t, defaultSettings(func(s *Settings) { s.ColdFor = time.Minute }),
			Entry{ID: 1, ServerType: "k"}, Entry{ID: 2, ServerType: "k", Launched: t0})
		now := t0
		run := func(rate float64, span time.Duration) (share float64) {
			next := now.Seconds()
			for end := now + span; now < end; now += 250 * time.Millisecond {
				for ; next < now.Seconds(); next += 1 / rate {
					b.handleRequest(next, &Event{ID: fmt.Sprint(rate, next), Class: "low", TimeLeft: time.Second})
					b.servers[1].SuccessCount += c.before / rate
				}
				b.refresh(now.Seconds())
				if long := b.servers[1].SuccessCount / (b.InitialSelections + 1); c.limit == 0 && b.servers[2].warmShare != long {
					t.Fatalf("at %v a second: share of the cold server %v, want %v by the long-term count",
						rate, b.servers[2].warmShare, long)
				}
			}
			return b.servers[2].warmShare
		}
		was := run(c.before, 20*time.Second)
		if got := run(c.after, time.Second) / was; c.limit > 0 && (got > c.limit || got < c.before/c.after/2) {
			t.Errorf("from %v to %v a second: share of the cold server is %.2f of what it was, want at most %v",
				c.before, c.after, got, c.limit)
		}
	}
}

// A new node that finds only cold servers must not take its empty counts for those of three seconds: it would send them
// many times their share.
func TestNewNodeWithColdServersOnly(t *testing.T) {
	const nodes, rate = 100, 10.0
	set := defaultSettings(func(s *Settings) { s.Nodes, s.ColdFor = nodes, time.Minute })
	b := newNode(t, set, Entry{ID: 1, ServerType: "k", Launched: t0}, Entry{ID: 2, ServerType: "k", Launched: t0})
	next, got := t0.Seconds(), 0.0
	for now := t0; now < t0+20*time.Second; now += 250 * time.Millisecond {
		b.refresh(now.Seconds())
		s := b.servers[1]
		intended := 1 / s.typeServiceTime / nodes // one request after the other, of all nodes together
		if got = s.warmShare * rate / intended; got > 1.05 {
			t.Errorf("after %v: %.2f of the intended share, want at most 1.05", now-t0, got)
		}
		for ; next < (now + 250*time.Millisecond).Seconds(); next += 1 / rate {
			b.handleRequest(next, &Event{ID: fmt.Sprint(next), Class: "low", TimeLeft: time.Second})
		}
	}
	if got < 0.9 {
		t.Errorf("at the end %.2f of the intended share, want at least 0.9", got)
	}
}

// A request is selected for again when it is diverted, and for each retry. That happens to most requests at once when
// the warm servers are overloaded: only the initial selection may choose a cold server by its share, and only it is
// counted.
func TestColdShareAppliesToInitialSelections(t *testing.T) {
	b := newNode(t, defaultSettings(func(s *Settings) { s.Nodes = 100 }),
		Entry{ID: 1, ServerType: "k"}, Entry{ID: 2, ServerType: "k"}, Entry{ID: 3, ServerType: "k", Launched: t0})
	b.servers[3].warmShare = 1e9 // every request that may go to it does
	for _, c := range []struct {
		name     string
		attempts int
		maxMode  Mode
		cold     bool
	}{
		{"initial selection", 0, overload, true},
		{"diverted", 0, normal, false},
		{"retry", 1, overload, false},
		{"retry, diverted", 1, normal, false},
	} {
		r := &request{class: b.classes[1], attempts: make([]attempt, c.attempts)}
		before := b.InitialSelections
		s := b.selectServer(t0.Seconds(), r, c.maxMode)
		if s == nil || (s.ID == 3) != c.cold || (b.InitialSelections > before) != c.cold {
			t.Errorf("%s: selected %v, counted %v, want both for an initial selection alone", c.name, s, b.InitialSelections > before)
		}
	}
}
