package policy

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// Fast errors and an empty queue must not attract requests. A failing server is ejected, longer each time, and
// afterwards gets one attempt at a time.
func TestFailingServerIsEjectedAndComesBackWithSingleAttempts(t *testing.T) {
	for _, o := range []Outcome{Failed, ConnectFailed, Reset} {
		b := newNode(t, defaultSettings(), Entry{ID: 1, Zone: "a"}, Entry{ID: 2, Zone: "a"})
		failed := 0
		for i := 0; i < 200; i++ {
			now := t0 + time.Duration(i)*time.Millisecond
			send := submit(b, now, string(rune(1000+i)), "once")
			if send.Kind != ActSend {
				continue
			}
			if send.Server == 1 {
				failed++
				report(b, now, send, o, Load{Known: true})
			} else {
				report(b, now, send, OK, Load{Known: true, Queue: 0})
			}
		}
		if failed > 5 {
			t.Errorf("outcome %d: %d of 200 requests went to the failing server, want at most 5", o, failed)
		}
		s := b.servers[1]
		for n := 0; s.EjectedUntil == 0 && n < 3; n++ { // by random variation it may have had fewer than three failures
			b.recordFailure(t0.Seconds()+0.2, s, unreachableTimeConstant)
		}
		first := s.EjectedUntil
		for i := 0; i < 50; i++ { // after the ejection: one at a time
			now := time.Duration((first+0.01)*float64(time.Second)) + time.Duration(i)*time.Millisecond
			submit(b, now, string(rune(2000+i)), "top")
		}
		if s.localInFlight > 1 {
			t.Errorf("outcome %d: %v attempts in flight to a server on trial, want at most 1", o, s.localInFlight)
		}
		b.recordFailure(first+0.1, s, unreachableTimeConstant)
		if wait := s.EjectedUntil - first - 0.1; wait < 1.4 {
			t.Errorf("outcome %d: second ejection %.2f s, want at least 1.4 s, longer than the first", o, wait)
		}
	}
}

// Connections that break occasionally at all servers alike are no sign of an unhealthy server. When servers were
// ejected for them, the remaining ones became overloaded.
func TestOccasionalResetsEjectNoServer(t *testing.T) {
	b := newNode(t, defaultSettings(), Entry{ID: 1, Zone: "a"}, Entry{ID: 2, Zone: "a"})
	for i := range 2000 {
		now := t0 + time.Duration(i)*10*time.Millisecond
		send := submit(b, now, fmt.Sprint("r", i), "once")
		if send.Kind != ActSend {
			t.Fatalf("request %d was not sent", i)
		}
		o := OK
		if i%20 < 4 { // four in a row among twenty
			o = Reset
		}
		report(b, now, send, o, Load{Known: true})
	}
	for _, s := range b.sorted {
		if s.Ejections > 0 || s.EjectedUntil > 0 {
			t.Errorf("server %d was ejected", s.ID)
		}
	}
}

// Attempts that were in flight at the ejection may still succeed: the server is healthy then and is used again at once.
func TestResponsesInFlightEndAnEjection(t *testing.T) {
	b := newNode(t, defaultSettings(), Entry{ID: 1, Zone: "a"})
	var sent []Action
	for i := range 20 {
		if send := submit(b, t0, fmt.Sprint("r", i), "once"); send.Kind == ActSend {
			sent = append(sent, send)
		}
	}
	s := b.servers[1]
	for s.EjectedUntil == 0 {
		b.recordFailure(t0.Seconds(), s, unreachableTimeConstant)
	}
	for _, send := range sent[:2] {
		report(b, t0+20*time.Millisecond, send, OK, Load{Known: true})
	}
	if now := t0.Seconds() + 0.02; now < s.EjectedUntil || s.Trial {
		t.Errorf("ejected for %.2f s more, trial %v, want the ejection ended", s.EjectedUntil-now, s.Trial)
	}
}

// A timeout alone is no failure: an overloaded server still responds to other requests.
func TestTimeoutIsAFailureOnlyOfASilentServer(t *testing.T) {
	for _, c := range []struct {
		lastOK float64
		want   bool
	}{{t0.Seconds() - 0.2, false}, {t0.Seconds() - 1.5, true}} {
		b := newNode(t, defaultSettings(), Entry{ID: 1, Zone: "a"})
		s := b.servers[1]
		send := submit(b, t0, "r", "once")
		s.LastSuccessAt = c.lastOK
		report(b, t0, send, TimedOut, Load{})
		if got := s.FailureShare > 0; got != c.want {
			t.Errorf("last response at %v: counted as a failure %v, want %v", c.lastOK, got, c.want)
		}
	}
}

// A draining server rejects all requests until the list announces the drain.
func TestServerThatRejectsAllRequestsIsEjected(t *testing.T) {
	b := newNode(t, defaultSettings(), Entry{ID: 1, Zone: "a"})
	s := b.servers[1]
	s.LastSuccessAt = t0.Seconds() - 1.5
	for i := 0; i < 3; i++ {
		s.RejectedOccupancy, s.Mode = 0, normal
		send := submit(b, t0, string(rune(1000+i)), "once")
		if send.Kind != ActSend {
			t.Fatalf("attempt %d: got %+v, want a send", i, send)
		}
		report(b, t0, send, QueueFull, Load{})
	}
	if s.EjectedUntil <= t0.Seconds() {
		t.Error("not ejected after it rejected all requests")
	}
}

// A server that has stopped responding, and so holds all that it was sent, must lose weight long before the first
// timeout.
func TestSilentServerLosesWeight(t *testing.T) {
	b := newNode(t, defaultSettings(), Entry{ID: 1, Zone: "a"}, Entry{ID: 2, Zone: "a"})
	silent, other := b.servers[1], b.servers[2]
	to := map[uint32]int{}
	for i := 0; i < 100; i++ {
		setOccupancy(silent, t0, 0)
		setOccupancy(other, t0, 1)
		silent.localInFlight = 2
		to[submit(b, t0, string(rune(1000+i)), "low").Server]++
	}
	if to[1] > 10 {
		t.Errorf("%d of 100 requests went to a server with two requests without a response, want at most 10", to[1])
	}
}

// A server that fills up responds to its first requests fast; that must not make it look fast.
func TestServiceTimeUsesTheOccupancyAtTheSend(t *testing.T) {
	b := newNode(t, defaultSettings(), Entry{ID: 1, Zone: "a"})
	s := b.servers[1]
	setOccupancy(s, t0, 0)
	first := submit(b, t0, "r0", "top")
	for i := 0; i < 6; i++ {
		submit(b, t0, string(rune(1000+i)), "top")
	}
	report(b, t0+50*time.Millisecond, first, OK, Load{})
	if occupancy := s.Occupancy - 100000; math.Abs(s.Latency-5000.05) > 1e-6 || occupancy != 1 {
		t.Errorf("50 ms recorded against an occupancy plus one of %v, want 1: it was sent to an idle server", occupancy)
	}
}

// A new server has the service time of its type until it has enough responses itself.
func TestServiceTimeStartsFromTheServerType(t *testing.T) {
	b := newNode(t, defaultSettings(), Entry{ID: 1, ServerType: "slow"}, Entry{ID: 2, ServerType: "fast"}, Entry{ID: 3, ServerType: "slow"})
	b.servers[1].Latency, b.servers[1].Occupancy = 400, 1000
	b.servers[2].Latency, b.servers[2].Occupancy = 50, 1000
	b.refresh(t0.Seconds() + 0.25)
	if v := b.serviceTime(b.servers[3]); v < 0.35 || v > 0.45 {
		t.Errorf("service time %v of a new server, want 0.4 like its type", v)
	}
}

// A timeout hides the true latency, and the server may go on with the request.
func TestTimeoutCountsAsTwiceItsTimeAndStillHeld(t *testing.T) {
	b := newNode(t, defaultSettings(), Entry{ID: 1, Zone: "a"})
	s := b.servers[1]
	setOccupancy(s, t0, 0)
	report(b, t0, submit(b, t0, "r", "once"), TimedOut, Load{})
	if latency := s.Latency - 5000; math.Abs(latency-0.1) > 1e-6 || b.estimateOccupancy(s, t0.Seconds()) != 1 {
		t.Errorf("latency %v after a timeout of 0.05, occupancy %v; want 0.1 and 1",
			latency, b.estimateOccupancy(s, t0.Seconds()))
	}
}

// Invalid values in reports and a clock that steps back must not corrupt the statistics.
func TestInvalidValuesDoNotCorruptTheStatistics(t *testing.T) {
	b := newNode(t, defaultSettings(), Entry{ID: 1, Zone: "a"}, Entry{ID: 2, Zone: "a"})
	for i, l := range []Load{{true, math.NaN(), 1, 0}, {true, math.Inf(1), 1, 0}, {true, -5, -5, 0},
		{true, 1e300, -1, 1e300}, {true, 1, -1, math.NaN()}, {true, 1, -1, -3}, {true, 1, -1, math.Inf(1)}} {
		for j := 0; j < 4; j++ {
			send := submit(b, t0-time.Duration(i)*time.Hour, string(rune(1000+10*i+j)), "top") // the clock steps back
			b.Handle(t0, &Event{Kind: EvOutcome, ID: send.ID, Server: send.Server, Elapsed: -time.Hour, Load: l,
				Final: true}, nil)
		}
	}
	if send := submit(b, t0+time.Second, "r", "top"); send.Kind != ActSend || send.Wait != 2*time.Second {
		t.Errorf("after invalid values: %+v, want a send with a timeout of 2 s", send)
	}
}

// The estimates that a node uses between two reports change with time alone: occupancy after a rejection, old reports,
// local attempts in flight, and the occupancy that was rejected as full.
func TestEstimatesChangeWithTime(t *testing.T) {
	fresh := func() (*Balancer, *server) {
		b := newNode(t, defaultSettings(), Entry{ID: 1, Zone: "a"})
		s := b.servers[1]
		setOccupancy(s, t0, 0)
		return b, s
	}
	at := t0.Seconds()
	b, s := fresh()
	s.RejectedOccupancy, s.RejectedAt = 20, at
	if n := b.estimateOccupancy(s, at+0.5); !approxEqual(n, 10) {
		t.Errorf("half a second after a rejection at 20 and 50 ms each: occupancy %.2f, want 10", n)
	}
	b, s = fresh()
	s.RemoteLoad = 10
	b.MeanRemoteLoad = 2
	if n := b.estimateOccupancy(s, at+reportFadeTimeConstant); !approxEqual(n, 2+8/math.E) {
		t.Errorf("a report of 10 is %.2f after its time constant, want a third of it and the rest of the mean, 2", n)
	}
	_, s = fresh()
	s.localInFlight = 4
	if s.updateLagged(at + reportLagTimeConstant); !approxEqual(s.laggedInFlight, 4*(1-1/math.E)) {
		t.Errorf("4 attempts in flight are %.2f at the time of the report, want most of them", s.laggedInFlight)
	}
	b, s = fresh()
	s.MinRejectedOccupancy = 10
	if b.refresh(at + longTimeConstant); !approxEqual(s.MinRejectedOccupancy, 10*math.E) {
		t.Errorf("an occupancy of 10 that was rejected as full is %.2f after its time constant, want e times as much",
			s.MinRejectedOccupancy)
	}
}

// A server that rejects a request but still responds to others is overloaded, not broken.
func TestRejectionByARespondingServerIsNoFailure(t *testing.T) {
	b := newNode(t, defaultSettings(), Entry{ID: 1, Zone: "a"})
	send := submit(b, t0, "r", "once")
	b.servers[1].LastSuccessAt = t0.Seconds() - 0.1
	if report(b, t0, send, QueueFull, Load{}); b.servers[1].FailureShare > 0 {
		t.Error("a rejection counts as a failure of a server that responded 0.1 s before")
	}
}

// Nodes must not all use a server again at the same time.
func TestEjectionsAreJittered(t *testing.T) {
	ends := map[float64]bool{}
	for seed := uint64(1); seed < 5; seed++ {
		b, err := New(defaultSettings(), seed)
		if err != nil {
			t.Fatal(err)
		}
		s := &server{ServerStats: ServerStats{FailureShare: 1}}
		b.recordFailure(100, s, unreachableTimeConstant)
		ends[s.EjectedUntil] = true
	}
	if len(ends) < 4 {
		t.Errorf("4 nodes end their ejections at %v, want 4 different times", ends)
	}
}
