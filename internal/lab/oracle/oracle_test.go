package oracle

import (
	"strings"
	"testing"
	"time"
)

const ms = time.Millisecond

// newTestRecords returns records for two nodes, five classes and three servers: two pods in zone 0, and pod 1 also in
// zone 1.
func newTestRecords() *Records {
	rec := New(Limits{MaxAttempts: 3, ResponseSlack: 20 * ms, DrainGrace: time.Second, TunnelDrain: time.Second,
		ColdMultiple: 2, ColdWindow: time.Second},
		[]Class{{Name: "read", Effect: "safe"}, {Name: "join", Effect: "keyed", Group: "all", Window: time.Second},
			{Name: "accept", Effect: "keyed", Group: "pod", Window: time.Second}, {Name: "pay", Effect: "unsafe"},
			{Name: "zoned", Effect: "keyed", Group: "zone", Window: time.Second}}, 2, true)
	rec.AddServer(Server{ID: 1, Zone: 0, Pod: 0})
	rec.AddServer(Server{ID: 2, Zone: 0, Pod: 1})
	rec.AddServer(Server{ID: 3, Zone: 1, Pod: 1})
	return rec
}

// The indexes of the classes.
const read, join, accept, pay, zoned = 0, 1, 2, 3, 4

// repeatKey records two requests with one key: the first is sent to pod 0 at 1 ms, the second to the given server at
// the given time.
func repeatKey(rec *Records, at time.Duration, server uint32, never bool) {
	rec.Accepted(0, 0, "first", accept, time.Second)
	rec.SetKey("first", "k")
	rec.Sent(ms, 0, "first", 1, 0, 0)
	rec.AttemptEnded(2*ms, 0, "first", 0, "", never, false)
	rec.Failed(3*ms, 0, "first")
	rec.Accepted(4*ms, 1, "r", accept, 3*time.Second)
	rec.SetKey("r", "k")
	rec.Sent(at, 1, "r", server, 0, 0)
}

// Each rule reports every way of breaking it once, and reports nothing for cases that just keep it.
func TestEachRule(t *testing.T) {
	sent := func(rec *Records, at time.Duration, server uint32) { rec.Sent(at, 0, "r", server, 0, 0) }
	lost := func(rec *Records, at time.Duration, i int) { rec.AttemptEnded(at, 0, "r", i, "Reset", false, false) }
	never := func(rec *Records, at time.Duration, i int) { rec.AttemptEnded(at, 0, "r", i, "Full", true, false) }
	for _, c := range []struct {
		name string
		play func(rec *Records)
		rule Rule // the first rule reported as broken; empty: none
	}{
		{"served", func(rec *Records) {
			rec.Accepted(0, 0, "r", read, time.Second)
			sent(rec, ms, 1)
			rec.AttemptEnded(2*ms, 0, "r", 0, "OK", false, true)
			rec.Close(time.Second, nil)
		}, ""},
		{"no final response", func(rec *Records) {
			rec.Accepted(0, 0, "r", read, time.Second)
			rec.ClientTimedOut(time.Second, 0, "r")
		}, FinalResponse},
		{"client disconnects", func(rec *Records) {
			rec.Accepted(0, 0, "r", read, time.Second)
			rec.ClientLeft(ms, 0, "r")
			rec.ClientTimedOut(time.Second, 0, "r")
			rec.Close(time.Second, nil)
		}, ""},
		{"another request with the same key goes to another pod", func(rec *Records) {
			repeatKey(rec, 900*ms, 3, false)
		}, Key},
		{"another request with the same key goes to the same pod", func(rec *Records) {
			repeatKey(rec, 900*ms, 1, false)
		}, ""},
		{"another request with the same key goes to another pod after the window", func(rec *Records) {
			repeatKey(rec, 1001*ms, 3, false)
		}, ""},
		{"another request with the same key goes to another pod after a send that never ran", func(rec *Records) {
			repeatKey(rec, 900*ms, 3, true)
		}, ""},
		{"two final responses", func(rec *Records) {
			rec.Accepted(0, 0, "r", read, time.Second)
			sent(rec, ms, 1)
			rec.Refused(2*ms, 0, "r")
			rec.Failed(3*ms, 0, "r")
		}, FinalResponse},
		{"two refusals", func(rec *Records) {
			rec.Accepted(0, 0, "r", read, time.Second)
			rec.Refused(2*ms, 0, "r")
			rec.Refused(3*ms, 0, "r")
		}, FinalResponse},
		{"final response after the slack", func(rec *Records) {
			rec.Accepted(0, 0, "r", read, time.Second)
			rec.Failed(time.Second+21*ms, 0, "r")
		}, FinalResponse},
		{"final response after the slack from a node that was suspended", func(rec *Records) {
			rec.Accepted(0, 0, "r", read, time.Second)
			rec.NodeSuspended(0, "r")
			rec.Failed(time.Second+21*ms, 0, "r")
		}, ""},
		{"final response within the slack", func(rec *Records) {
			rec.Accepted(0, 0, "r", read, time.Second)
			rec.Failed(time.Second+19*ms, 0, "r")
		}, ""},
		{"sent after its final response", func(rec *Records) {
			rec.Accepted(0, 0, "r", read, time.Second)
			rec.Refused(ms, 0, "r")
			sent(rec, 2*ms, 1)
		}, FinalResponse},
		{"sent after its client disconnected during an attempt", func(rec *Records) {
			rec.Accepted(0, 0, "r", read, time.Second)
			sent(rec, ms, 1)
			rec.ClientLeft(2*ms, 0, "r")
			lost(rec, 3*ms, 0)
			sent(rec, 4*ms, 1)
		}, FinalResponse},
		{"two attempts in flight", func(rec *Records) {
			rec.Accepted(0, 0, "r", read, time.Second)
			sent(rec, ms, 1)
			sent(rec, 2*ms, 2)
		}, InFlight},
		{"too many attempts", func(rec *Records) {
			rec.Accepted(0, 0, "r", read, time.Second)
			for i := range 4 {
				sent(rec, ms, 1)
				never(rec, ms, i)
			}
		}, Repeat},
		{"safe class sent again after it may have run", func(rec *Records) {
			rec.Accepted(0, 0, "r", read, time.Second)
			sent(rec, ms, 1)
			lost(rec, 2*ms, 0)
			sent(rec, 3*ms, 3)
			rec.AttemptEnded(4*ms, 0, "r", 1, "OK", false, true)
		}, ""},
		{"unsafe class sent again after it may have run", func(rec *Records) {
			rec.Accepted(0, 0, "r", pay, time.Second)
			sent(rec, ms, 1)
			lost(rec, 2*ms, 0)
			sent(rec, 3*ms, 1)
		}, Repeat},
		{"unsafe class sent again after it never ran", func(rec *Records) {
			rec.Accepted(0, 0, "r", pay, time.Second)
			sent(rec, ms, 1)
			never(rec, 2*ms, 0)
			sent(rec, 3*ms, 1)
		}, ""},
		{"unsafe class refused after it may have run", func(rec *Records) {
			rec.Accepted(0, 0, "r", pay, time.Second)
			sent(rec, ms, 1)
			lost(rec, 2*ms, 0)
			rec.Refused(3*ms, 0, "r")
		}, Repeat},
		{"keyed class sent again after its window", func(rec *Records) {
			rec.Accepted(0, 0, "r", join, 5*time.Second)
			sent(rec, ms, 1)
			lost(rec, 2*ms, 0)
			sent(rec, time.Second+2*ms, 1)
		}, Repeat},
		{"class keyed by all sent again to another pod", func(rec *Records) {
			rec.Accepted(0, 0, "r", join, time.Second)
			sent(rec, ms, 1)
			lost(rec, 2*ms, 0)
			sent(rec, 3*ms, 3)
			lost(rec, 4*ms, 1)
			rec.Refused(5*ms, 0, "r")
		}, ""},
		{"class keyed by pod sent again outside the pod", func(rec *Records) {
			rec.Accepted(0, 0, "r", accept, time.Second)
			sent(rec, ms, 1)
			lost(rec, 2*ms, 0)
			sent(rec, 3*ms, 2)
		}, Repeat},
		{"class keyed by pod sent again within the pod", func(rec *Records) {
			rec.Accepted(0, 0, "r", accept, time.Second)
			sent(rec, ms, 2)
			lost(rec, 2*ms, 0)
			sent(rec, 3*ms, 3)
		}, ""},
		{"class keyed by pod refused after it may have run", func(rec *Records) {
			rec.Accepted(0, 0, "r", accept, time.Second)
			sent(rec, ms, 2)
			lost(rec, 2*ms, 0)
			rec.Refused(3*ms, 0, "r")
		}, Repeat},
		{"class keyed by zone sent again outside the zone", func(rec *Records) {
			rec.Accepted(0, 0, "r", zoned, time.Second)
			sent(rec, ms, 2)
			lost(rec, 2*ms, 0)
			sent(rec, 3*ms, 3)
		}, Repeat},
		{"sent to a draining server after the grace", func(rec *Records) {
			rec.Notified(time.Second, 0, 1, true, 0)
			rec.Accepted(2*time.Second, 0, "r", read, 4*time.Second)
			sent(rec, 2*time.Second+ms, 1)
		}, Drain},
		{"a tunnel ends after its drain limit", func(rec *Records) {
			rec.Accepted(0, 0, "r", read, time.Second)
			sent(rec, ms, 1)
			rec.Served(2*ms, 0, "r")
			rec.Notified(3*ms, 0, 1, true, 0)
			lost(rec, 2004*ms, 0)
		}, Drain},
		{"a tunnel ends at its drain limit", func(rec *Records) {
			rec.Accepted(0, 0, "r", read, time.Second)
			sent(rec, ms, 1)
			rec.Served(2*ms, 0, "r")
			rec.Notified(3*ms, 0, 1, true, 0)
			lost(rec, 2003*ms, 0)
		}, ""},
		{"a repeated notification does not extend the grace", func(rec *Records) {
			rec.Notified(time.Second, 0, 1, true, 0)
			rec.Notified(1900*ms, 0, 1, true, 0)
			rec.Accepted(2*time.Second, 0, "r", read, 4*time.Second)
			sent(rec, 2*time.Second+ms, 1)
		}, Drain},
		{"drain notified to the other node only, or withdrawn, or within the grace", func(rec *Records) {
			rec.Notified(time.Second, 1, 1, true, 0)
			rec.Notified(time.Second, 0, 2, true, 0)
			rec.Notified(1100*ms, 0, 2, false, time.Second)
			rec.Notified(1200*ms, 0, 3, true, 0)
			rec.Accepted(2*time.Second, 0, "r", read, 4*time.Second)
			for i, s := range []uint32{1, 2, 3} {
				sent(rec, 2*time.Second+ms, s)
				never(rec, 2*time.Second+ms, i)
			}
		}, ""},
		{"cold server beyond its budget", func(rec *Records) { sendToCold(rec, 13, true) }, Cold},
		{"cold server within its budget", func(rec *Records) { sendToCold(rec, 12, true) }, ""},
		{"cold server beyond its budget by nodes that were not notified", func(rec *Records) { sendToCold(rec, 13, false) }, ""},
		// N is 12 requests of 50 ms: 2 x root of 12 + 2 are 8.9 more.
		{"cold server within its budget and random variation", func(rec *Records) {
			rec.limits.MeanWork = 0.05
			sendToCold(rec, 20, true)
		}, ""},
		{"cold server beyond its budget and random variation", func(rec *Records) {
			rec.limits.MeanWork = 0.05
			sendToCold(rec, 21, true)
		}, Cold},
		{"cold server beyond its budget and random variation by nodes that were not notified",
			func(rec *Records) { rec.limits.MeanWork = 0.05; sendToCold(rec, 21, false) }, ""},
		// With a mean of 100 ms N is 6, and 6.9 more are allowed: that is the work of 25 requests of 50 ms.
		{"cold server within its budget, with requests lighter than the mean",
			func(rec *Records) { rec.limits.MeanWork = 0.1; sendToCold(rec, 25, true) }, ""},
		{"cold server beyond its budget, with requests lighter than the mean",
			func(rec *Records) { rec.limits.MeanWork = 0.1; sendToCold(rec, 26, true) }, Cold},
		{"a request still open at the end", func(rec *Records) {
			rec.Accepted(0, 0, "r", read, time.Second)
			rec.Close(time.Second, nil)
		}, Leak},
		{"a timer still open at the end", func(rec *Records) { rec.Close(time.Second, map[string]int{"timers": 1}) }, Leak},
		{"a server in no list", func(rec *Records) {
			rec.Accepted(0, 0, "r", read, time.Second)
			sent(rec, ms, 99)
		}, UnknownTarget},
		{"an attempt ends twice", func(rec *Records) {
			rec.Accepted(0, 0, "r", read, time.Second)
			sent(rec, ms, 1)
			lost(rec, 2*ms, 0)
			lost(rec, 2*ms, 0)
		}, UnknownTarget},
		{"an ID accepted twice", func(rec *Records) {
			rec.Accepted(0, 0, "r", read, time.Second)
			rec.Accepted(0, 0, "r", read, time.Second)
		}, UnknownTarget},
		{"requests of a killed node need no response", func(rec *Records) {
			rec.Accepted(0, 0, "r", read, time.Second)
			rec.NodeKilled(0, []string{"r"})
			rec.Close(time.Second, nil)
		}, ""},
	} {
		rec := newTestRecords()
		c.play(rec)
		var got Rule
		if breaches := rec.Breaches(); len(breaches) > 0 {
			got = breaches[0].Rule
		}
		if got != c.rule {
			t.Errorf("%s: broken rule is %q, want %q: %v", c.name, got, c.rule, rec.Breaches())
		}
	}
}

// sendToCold records n requests of 50 ms within a second to a cold server that does 0.3 s of work per second; its
// budget is twice that. The node is notified of the server's start if notified is set.
func sendToCold(rec *Records, n int, notified bool) {
	rec.ServerStarted(time.Second, 1)
	if notified {
		rec.Notified(time.Second, 0, 1, false, time.Second)
	}
	for i := range n {
		at := time.Second + time.Duration(i)*10*ms
		rec.Accepted(at, 0, "r", read, 10*time.Second)
		rec.Sent(at, 0, "r", 1, 0.05, 0.3)
		rec.AttemptEnded(at, 0, "r", 0, "OK", false, true)
	}
}

// All breaches are counted, but only MaxBreaches are stored; a breach includes the trace of its request; finished
// requests are not stored.
func TestTraceAndBounds(t *testing.T) {
	rec := newTestRecords()
	for range 3 * MaxBreaches {
		rec.Accepted(0, 0, "r", pay, time.Second)
		rec.Sent(ms, 0, "r", 1, 0, 0)
		rec.AttemptEnded(2*ms, 0, "r", 0, "Reset", false, false)
		rec.Refused(3*ms, 0, "r")
	}
	if len(rec.Breaches()) != MaxBreaches || rec.Counts()[Repeat] != 3*MaxBreaches || rec.BreachCount() != 3*MaxBreaches {
		t.Errorf("%d stored, %v counted", len(rec.Breaches()), rec.Counts())
	}
	text := rec.Breaches()[0].String()
	for _, want := range []string{"accepted by node 0: class pay", "sent to 1", "attempt 0 ended: Reset", "refused",
		string(Repeat)} {
		if !strings.Contains(text, want) {
			t.Errorf("the trace lacks %q: %s", want, text)
		}
	}
	if rec.OpenRequests() != 0 {
		t.Errorf("%d requests are stored after their end", rec.OpenRequests())
	}
}
