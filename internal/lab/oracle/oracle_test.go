package oracle

import (
	"strings"
	"testing"
	"time"
)

const ms = time.Millisecond

func book() *Book {
	b := New(Figures{MaxAttempts: 3, AnswerSlack: 20 * ms, DrainGrace: time.Second, TunnelDrain: time.Second, FallMultiple: 2, FallFor: time.Second},
		[]Class{{Name: "read", Effect: "safe"}, {Name: "join", Effect: "keyed", Group: "all", Window: time.Second},
			{Name: "accept", Effect: "keyed", Group: "pod", Window: time.Second}, {Name: "pay", Effect: "unsafe"},
			{Name: "zoned", Effect: "keyed", Group: "zone", Window: time.Second}}, 2, true)
	b.AddServer(Server{ID: 1, Zone: 0, Pod: 0})
	b.AddServer(Server{ID: 2, Zone: 0, Pod: 1})
	b.AddServer(Server{ID: 3, Zone: 1, Pod: 1})
	return b
}

const read, join, accept, pay, zoned = 0, 1, 2, 3, 4

// again takes two requests with one key, the second sent to a server at some time, the first at 1 ms to pod 0.
func again(b *Book, at time.Duration, server uint32, never bool) {
	b.Taken(0, 0, "first", accept, time.Second)
	b.Keyed("first", "k")
	b.Sent(ms, 0, "first", 1, 0, 0)
	b.Ended(2*ms, 0, "first", 0, "", never, false)
	b.Failed(3*ms, 0, "first")
	b.Taken(4*ms, 1, "r", accept, 3*time.Second)
	b.Keyed("r", "k")
	b.Sent(at, 1, "r", server, 0, 0)
}

// Each rule is broken once in every way that it can be, and kept in the ways that come close to it.
func TestRules(t *testing.T) {
	sent := func(b *Book, at time.Duration, server uint32) { b.Sent(at, 0, "r", server, 0, 0) }
	lost := func(b *Book, at time.Duration, i int) { b.Ended(at, 0, "r", i, "Reset", false, false) }
	never := func(b *Book, at time.Duration, i int) { b.Ended(at, 0, "r", i, "Full", true, false) }
	for _, c := range []struct {
		name string
		play func(b *Book)
		rule Rule // "" where nothing is broken
	}{
		{"served", func(b *Book) {
			b.Taken(0, 0, "r", read, time.Second)
			sent(b, ms, 1)
			b.Ended(2*ms, 0, "r", 0, "OK", false, true)
			b.Close(time.Second, nil)
		}, ""},
		{"never answered", func(b *Book) {
			b.Taken(0, 0, "r", read, time.Second)
			b.Overdue(time.Second, 0, "r")
		}, Answer},
		{"left by its client", func(b *Book) {
			b.Taken(0, 0, "r", read, time.Second)
			b.Left(ms, 0, "r")
			b.Overdue(time.Second, 0, "r")
			b.Close(time.Second, nil)
		}, ""},
		{"a key's repeat by another request leaves its pod", func(b *Book) {
			again(b, 900*ms, 3, false)
		}, Key},
		{"it goes back to its pod", func(b *Book) {
			again(b, 900*ms, 1, false)
		}, ""},
		{"it leaves the pod behind its window", func(b *Book) {
			again(b, 1001*ms, 3, false)
		}, ""},
		{"it leaves the pod where it never ran", func(b *Book) {
			again(b, 900*ms, 3, true)
		}, ""},
		{"answered twice", func(b *Book) {
			b.Taken(0, 0, "r", read, time.Second)
			sent(b, ms, 1)
			b.Refused(2*ms, 0, "r")
			b.Failed(3*ms, 0, "r")
		}, Answer},
		{"refused, then refused again", func(b *Book) {
			b.Taken(0, 0, "r", read, time.Second)
			b.Refused(2*ms, 0, "r")
			b.Refused(3*ms, 0, "r")
		}, Answer},
		{"answered late", func(b *Book) {
			b.Taken(0, 0, "r", read, time.Second)
			b.Failed(time.Second+21*ms, 0, "r")
		}, Answer},
		{"answered late by a node that was stopped", func(b *Book) {
			b.Taken(0, 0, "r", read, time.Second)
			b.Stopped(0, "r")
			b.Failed(time.Second+21*ms, 0, "r")
		}, ""},
		{"answered within the slack", func(b *Book) {
			b.Taken(0, 0, "r", read, time.Second)
			b.Failed(time.Second+19*ms, 0, "r")
		}, ""},
		{"sent after its end", func(b *Book) {
			b.Taken(0, 0, "r", read, time.Second)
			b.Refused(ms, 0, "r")
			sent(b, 2*ms, 1)
		}, Answer},
		{"sent after its client left, with an attempt out", func(b *Book) {
			b.Taken(0, 0, "r", read, time.Second)
			sent(b, ms, 1)
			b.Left(2*ms, 0, "r")
			lost(b, 3*ms, 0)
			sent(b, 4*ms, 1)
		}, Answer},
		{"two in flight", func(b *Book) {
			b.Taken(0, 0, "r", read, time.Second)
			sent(b, ms, 1)
			sent(b, 2*ms, 2)
		}, InFlight},
		{"too many attempts", func(b *Book) {
			b.Taken(0, 0, "r", read, time.Second)
			for i := range 4 {
				sent(b, ms, 1)
				never(b, ms, i)
			}
		}, Repeat},
		{"safe again", func(b *Book) {
			b.Taken(0, 0, "r", read, time.Second)
			sent(b, ms, 1)
			lost(b, 2*ms, 0)
			sent(b, 3*ms, 3)
			b.Ended(4*ms, 0, "r", 1, "OK", false, true)
		}, ""},
		{"unsafe again", func(b *Book) {
			b.Taken(0, 0, "r", pay, time.Second)
			sent(b, ms, 1)
			lost(b, 2*ms, 0)
			sent(b, 3*ms, 1)
		}, Repeat},
		{"unsafe again after it never ran", func(b *Book) {
			b.Taken(0, 0, "r", pay, time.Second)
			sent(b, ms, 1)
			never(b, 2*ms, 0)
			sent(b, 3*ms, 1)
		}, ""},
		{"unsafe refused after it may have run", func(b *Book) {
			b.Taken(0, 0, "r", pay, time.Second)
			sent(b, ms, 1)
			lost(b, 2*ms, 0)
			b.Refused(3*ms, 0, "r")
		}, Repeat},
		{"keyed past its window", func(b *Book) {
			b.Taken(0, 0, "r", join, 5*time.Second)
			sent(b, ms, 1)
			lost(b, 2*ms, 0)
			sent(b, time.Second+2*ms, 1)
		}, Repeat},
		{"keyed by all, elsewhere", func(b *Book) {
			b.Taken(0, 0, "r", join, time.Second)
			sent(b, ms, 1)
			lost(b, 2*ms, 0)
			sent(b, 3*ms, 3)
			lost(b, 4*ms, 1)
			b.Refused(5*ms, 0, "r")
		}, ""},
		{"keyed by pod, outside it", func(b *Book) {
			b.Taken(0, 0, "r", accept, time.Second)
			sent(b, ms, 1)
			lost(b, 2*ms, 0)
			sent(b, 3*ms, 2)
		}, Repeat},
		{"keyed by pod, within it", func(b *Book) {
			b.Taken(0, 0, "r", accept, time.Second)
			sent(b, ms, 2)
			lost(b, 2*ms, 0)
			sent(b, 3*ms, 3)
		}, ""},
		{"keyed by pod, refused after it may have run", func(b *Book) {
			b.Taken(0, 0, "r", accept, time.Second)
			sent(b, ms, 2)
			lost(b, 2*ms, 0)
			b.Refused(3*ms, 0, "r")
		}, Repeat},
		{"keyed by zone, outside it", func(b *Book) {
			b.Taken(0, 0, "r", zoned, time.Second)
			sent(b, ms, 2)
			lost(b, 2*ms, 0)
			sent(b, 3*ms, 3)
		}, Repeat},
		{"sent to one that drains", func(b *Book) {
			b.Told(time.Second, 0, 1, true, 0)
			b.Taken(2*time.Second, 0, "r", read, 4*time.Second)
			sent(b, 2*time.Second+ms, 1)
		}, Drain},
		{"a tunnel that outlives its server's drain", func(b *Book) {
			b.Taken(0, 0, "r", read, time.Second)
			sent(b, ms, 1)
			b.Served(2*ms, 0, "r")
			b.Told(3*ms, 0, 1, true, 0)
			lost(b, 2004*ms, 0)
		}, Drain},
		{"a tunnel that ends within it", func(b *Book) {
			b.Taken(0, 0, "r", read, time.Second)
			sent(b, ms, 1)
			b.Served(2*ms, 0, "r")
			b.Told(3*ms, 0, 1, true, 0)
			lost(b, 2003*ms, 0)
		}, ""},
		{"told again does not lengthen the grace", func(b *Book) {
			b.Told(time.Second, 0, 1, true, 0)
			b.Told(1900*ms, 0, 1, true, 0)
			b.Taken(2*time.Second, 0, "r", read, 4*time.Second)
			sent(b, 2*time.Second+ms, 1)
		}, Drain},
		{"drains at the other node only, or not any more, or since just now", func(b *Book) {
			b.Told(time.Second, 1, 1, true, 0)
			b.Told(time.Second, 0, 2, true, 0)
			b.Told(1100*ms, 0, 2, false, time.Second)
			b.Told(1200*ms, 0, 3, true, 0)
			b.Taken(2*time.Second, 0, "r", read, 4*time.Second)
			for i, s := range []uint32{1, 2, 3} {
				sent(b, 2*time.Second+ms, s)
				never(b, 2*time.Second+ms, i)
			}
		}, ""},
		{"a cold one pushed over", func(b *Book) { push(b, 13, true) }, Cold},
		{"a cold one within its budget", func(b *Book) { push(b, 12, true) }, ""},
		{"a cold one pushed over by nodes that were not told", func(b *Book) { push(b, 13, false) }, ""},
		// N is 12 requests of 50 ms: 2 x root of 12 + 2 are 8.9 more.
		{"a cold one within its budget and chance", func(b *Book) { b.fig.MeanWork = 0.05; push(b, 20, true) }, ""},
		{"a cold one pushed over beyond chance", func(b *Book) { b.fig.MeanWork = 0.05; push(b, 21, true) }, Cold},
		{"beyond chance, by nodes that were not told", func(b *Book) { b.fig.MeanWork = 0.05; push(b, 21, false) }, ""},
		// Requests of 100 ms on the mean: N is 6, and 6.9 more of them, that is 25 of these.
		{"lighter ones than the mean, within", func(b *Book) { b.fig.MeanWork = 0.1; push(b, 25, true) }, ""},
		{"lighter ones than the mean, beyond", func(b *Book) { b.fig.MeanWork = 0.1; push(b, 26, true) }, Cold},
		{"a request left over", func(b *Book) {
			b.Taken(0, 0, "r", read, time.Second)
			b.Close(time.Second, nil)
		}, Leak},
		{"a timer left over", func(b *Book) { b.Close(time.Second, map[string]int{"timers": 1}) }, Leak},
		{"a server of no list", func(b *Book) {
			b.Taken(0, 0, "r", read, time.Second)
			sent(b, ms, 99)
		}, Malformed},
		{"an attempt that ends twice", func(b *Book) {
			b.Taken(0, 0, "r", read, time.Second)
			sent(b, ms, 1)
			lost(b, 2*ms, 0)
			lost(b, 2*ms, 0)
		}, Malformed},
		{"an id taken twice", func(b *Book) {
			b.Taken(0, 0, "r", read, time.Second)
			b.Taken(0, 0, "r", read, time.Second)
		}, Malformed},
		{"what a killed node held", func(b *Book) {
			b.Taken(0, 0, "r", read, time.Second)
			b.Killed(0, []string{"r"})
			b.Close(time.Second, nil)
		}, ""},
	} {
		b := book()
		c.play(b)
		var got Rule
		if br := b.Breaches(); len(br) > 0 {
			got = br[0].Rule
		}
		if got != c.rule {
			t.Errorf("%s: broken is %q, want %q: %v", c.name, got, c.rule, b.Breaches())
		}
	}
}

// push sends n requests of 50 ms within a second to a server that does 0.3 s a second and bears twice that.
func push(b *Book, n int, told bool) {
	b.Started(time.Second, 1)
	if told {
		b.Told(time.Second, 0, 1, false, time.Second)
	}
	for i := range n {
		at := time.Second + time.Duration(i)*10*ms
		b.Taken(at, 0, "r", read, 10*time.Second)
		b.Sent(at, 0, "r", 1, 0.05, 0.3)
		b.Ended(at, 0, "r", 0, "OK", false, true)
	}
}

func TestStoryAndBounds(t *testing.T) {
	b := book()
	for range 3 * MostBreaches {
		b.Taken(0, 0, "r", pay, time.Second)
		b.Sent(ms, 0, "r", 1, 0, 0)
		b.Ended(2*ms, 0, "r", 0, "Reset", false, false)
		b.Refused(3*ms, 0, "r")
	}
	if len(b.Breaches()) != MostBreaches || b.Counts()[Repeat] != 3*MostBreaches || b.Broken() != 3*MostBreaches {
		t.Errorf("%d kept, %v counted", len(b.Breaches()), b.Counts())
	}
	text := b.Breaches()[0].String()
	for _, want := range []string{"taken by node 0: class pay", "sent to 1", "attempt 0 ended: Reset", "refused", string(Repeat)} {
		if !strings.Contains(text, want) {
			t.Errorf("the story lacks %q: %s", want, text)
		}
	}
	if b.Open() != 0 {
		t.Errorf("%d requests are remembered after their end", b.Open())
	}
}
