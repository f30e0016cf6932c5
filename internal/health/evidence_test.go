package health

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const sec = time.Second

func atSeconds(s float64) time.Duration { return time.Duration(s * float64(sec)) }

// newTestTracker returns a tracker of ten servers, 0 to 9. Most tests report on server 0.
func newTestTracker() *Tracker {
	tracker := NewTracker(DefaultRules(sec))
	for id := range uint32(10) {
		tracker.Add(id)
	}
	return tracker
}

// parseReport parses a test's short form of an agent's report.
func parseReport(line string) Report {
	report := EmptyReport
	for _, keyword := range strings.Fields(line) {
		switch keyword {
		case "up":
			report.State = Up
		case "down":
			report.State, report.Reason = Down, "full"
		case "ready":
			report.Admin = Ready
		case "drain":
			report.Admin = Drain
		case "maint":
			report.Admin = Maint
		default:
			percent := 0.0
			fmt.Sscanf(keyword, "%f%%", &percent)
			report.Weight = percent / 100
		}
	}
	return report
}

// The evidence table of docs/health.md, row by row: the evidence on a server, and the verdict that must follow from it.
// Each case fails if its row of the table is implemented differently.
func TestVerdictsFollowEvidenceTable(t *testing.T) {
	ejected, drained := Verdict{Ejected: true}, Verdict{Ejected: true, Drain: true}
	weighted := func(weight float64) Verdict { return Verdict{Weight: weight} }
	agent := func(s float64, line string) func(*Tracker) time.Duration {
		return func(tracker *Tracker) time.Duration {
			tracker.RecordAgent(atSeconds(s), 0, parseReport(line))
			return atSeconds(s)
		}
	}
	check := func(s float64, ok bool) func(*Tracker) time.Duration {
		return func(tracker *Tracker) time.Duration {
			tracker.RecordCheck(atSeconds(s), 0, ok, "status 500")
			return atSeconds(s)
		}
	}
	request := func(s float64, ok bool) func(*Tracker) time.Duration {
		return func(tracker *Tracker) time.Duration { tracker.RecordRequest(atSeconds(s), 0, ok); return atSeconds(s) }
	}
	peers := func(s float64) func(*Tracker) time.Duration {
		return func(tracker *Tracker) time.Duration { tracker.RecordPeerFailure(atSeconds(s), 0); return atSeconds(s) }
	}
	wait := func(s float64) func(*Tracker) time.Duration {
		return func(*Tracker) time.Duration { return atSeconds(s) }
	}
	type evidence = []func(*Tracker) time.Duration
	for _, c := range []struct {
		name     string
		evidence evidence
		want     Verdict
		conflict string // text in Verdict.Conflict; "-": it is empty
	}{
		{"no evidence", evidence{wait(1)}, weighted(1), "-"},
		{"agent: drain", evidence{agent(1, "drain")}, drained, "-"},
		{"agent: maint", evidence{agent(1, "maint")}, drained, "-"},
		{"agent: drain, while real requests succeed", evidence{request(1, true), agent(1.1, "drain")}, drained, "-"},
		{"agent: drain stays in force while other keywords are reported", evidence{agent(1, "drain"), agent(2, "up 100%"), wait(3)}, drained, "-"},
		{"agent: ready ends a drain", evidence{agent(1, "drain"), agent(2, "ready"), agent(3, "up")}, weighted(1), "-"},
		{"agent: one good report is not enough to end a drain", evidence{agent(1, "drain"), agent(3, "ready")}, drained, "-"},
		{"agent: drain is valid for a minute after the last reply", evidence{agent(1, "drain"), wait(61)}, drained, "-"},
		{"agent: drain expires after a minute", evidence{agent(1, "drain"), wait(61.1)}, weighted(1), "-"},
		{"agent: down", evidence{agent(1, "down")}, ejected, "-"},
		{"agent: down, but a real request succeeded", evidence{request(1, true), agent(2, "down")}, weighted(0.5), "its agent reports down: full, but it answers"},
		{"agent: down, and the last success is too old", evidence{request(1, true), agent(2, "down"), wait(3.1)}, ejected, "-"},
		{"agent: down, and the latest request failed", evidence{request(1, true), request(1.5, false), agent(2, "down")}, ejected, "-"},
		{"agent: down is valid for three intervals and a second", evidence{agent(1, "down"), wait(5)}, ejected, "-"},
		{"agent: down expires after three intervals and a second", evidence{agent(1, "down"), wait(5.1)}, weighted(1), "-"},
		{"agent: up while requests fail", evidence{agent(1, "up"), request(1.5, false)}, weighted(1), "its agent reports up, but real requests fail"},
		{"agent: a weight", evidence{agent(1, "75%")}, weighted(0.75), "-"},
		{"agent: a weight over 100% counts as 100%", evidence{agent(1, "200%")}, weighted(1), "-"},
		{"agent: a weight expires", evidence{agent(1, "75%"), wait(5.1)}, weighted(1), "-"},
		{"agent: weight 0 ejects without a drain", evidence{agent(1, "0%")}, ejected, "-"},
		{"agent: weight 0, while real requests succeed", evidence{request(0.9, true), agent(1, "0%")}, ejected, "-"},
		{"agent: weight 0 and drain", evidence{agent(1, "0% drain")}, drained, "-"},
		{"agent: down and a weight, but a real request succeeded", evidence{request(1, true), agent(1.1, "down 50%")}, weighted(0.25), "answers"},
		{"check: two failures do not eject", evidence{check(1, false), check(2, false)}, weighted(1), "-"},
		{"check: three consecutive failures eject", evidence{check(1, false), check(2, false), check(3, false)}, ejected, "-"},
		{"check: three failures with a success between them do not eject", evidence{check(1, false), check(2, false), check(2.5, true), check(3, false)}, weighted(1), "-"},
		{"check: failures, but a real request succeeded", evidence{check(1, false), check(2, false), request(2.9, true), check(3, false)}, weighted(0.5), "its checks fail: status 500, but"},
		{"check: failures expire after three intervals and a second", evidence{check(1, false), check(2, false), check(3, false), wait(7.1)}, weighted(1), "-"},
		{"check: passes while requests fail", evidence{check(1, true), request(1.1, false)}, weighted(1), "its checks pass, but real requests fail"},
		{"check: successes do not end an agent's drain", evidence{agent(1, "drain"), check(2, true), check(3, true), check(4, true)}, drained, "-"},
		{"check: two successes readmit a server that checks ejected", evidence{check(1, false), check(2, false), check(3, false), check(4, true), check(5, true)}, weighted(1), "-"},
		{"agent: up does not readmit a server that checks ejected", evidence{check(1, false), check(2, false), check(3, false), agent(3.5, "up"), agent(4, "up")}, ejected, "-"},
		{"peers: other instances see it fail", evidence{peers(1)}, weighted(0.5), "-"},
		{"peers: their report expires", evidence{peers(1), wait(3.1)}, weighted(1), "-"},
		{"peers: they see it fail, but a real request succeeded here", evidence{request(0.9, true), peers(1)}, weighted(1), "-"},
		{"peers: they see it fail, and its agent reports a weight", evidence{agent(1, "50%"), peers(1.1)}, weighted(0.25), "-"},
		{"requests: failures alone do not eject, as the policy does that itself", evidence{request(1, false), request(1.1, false), request(1.2, false)}, weighted(1), "-"},
	} {
		tracker := newTestTracker()
		var now time.Duration
		for _, record := range c.evidence {
			now = record(tracker)
			tracker.Evaluate(now, 0)
		}
		v := tracker.Verdict(0)
		if v.Ejected != c.want.Ejected || v.Drain != c.want.Drain || v.Weight != c.want.Weight {
			t.Errorf("%s: %+v, want %+v", c.name, v, c.want)
		}
		if c.conflict == "-" && v.Conflict != "" || c.conflict != "-" && !strings.Contains(v.Conflict, c.conflict) {
			t.Errorf("%s: conflict %q, want %q", c.name, v.Conflict, c.conflict)
		}
		if (v.Ejected || v.Weight < 1) != (v.Reason != "") {
			t.Errorf("%s: reason is %q of %+v", c.name, v.Reason, v)
		}
	}
}

// Where more than half of the fleet is reported unhealthy the reports are suspected and not followed; up to half of it
// they are followed. A server whose real requests fail stays ejected in both cases.
func TestReportsAreDoubtedWhenMostServersAreReportedBad(t *testing.T) {
	tracker := newTestTracker()
	evaluate := func(now time.Duration) (ejected int) {
		for id := range uint32(10) {
			tracker.Evaluate(now, id)
		}
		for id := range uint32(10) {
			if v, _ := tracker.Evaluate(now, id); v.Ejected {
				ejected++
			}
		}
		return
	}
	for id := range uint32(5) {
		tracker.RecordAgent(atSeconds(1), id, parseReport("down"))
	}
	if n := evaluate(atSeconds(1)); n != 5 || tracker.InPanic() {
		t.Errorf("%d of 10 servers are ejected with 5 reported down, want 5", n)
	}
	for id := range uint32(10) {
		tracker.RecordAgent(atSeconds(2), id, parseReport([]string{"down", "drain"}[id%2]))
	}
	tracker.RecordRequest(atSeconds(1.9), 3, false)
	if n := evaluate(atSeconds(2)); n != 1 || !tracker.InPanic() || !tracker.Verdict(3).Ejected || !strings.Contains(tracker.Verdict(0).Reason, "suspected") {
		t.Errorf("%d servers are ejected with all reported unhealthy, want 1: %+v", n, tracker.Verdict(0))
	}
	// Reports stay suspected for half a minute after the last time that most servers were reported unhealthy.
	for id := range uint32(10) {
		tracker.RecordAgent(atSeconds(3), id, parseReport([]string{"ready up", "drain"}[min(1, id/9)]))
	}
	evaluate(atSeconds(3))
	if n := evaluate(atSeconds(32.9)); n != 0 || !tracker.InPanic() {
		t.Errorf("%d servers are ejected within 30 s after most were reported unhealthy, want 0", n)
	}
	tracker.RecordAgent(atSeconds(33.1), 9, parseReport("drain"))
	if n := evaluate(atSeconds(33.1)); n != 1 || tracker.InPanic() {
		t.Errorf("%d servers are ejected later, want 1", n)
	}
	for id := range uint32(10) {
		tracker.Remove(id)
	}
	if len(tracker.servers) != 0 || tracker.ejectionsWanted != 0 {
		t.Error("servers or their count are left after all were removed:", tracker.ejectionsWanted)
	}
}

// An agent that flaps between down and up has its server ejected for longer each time; after a long quiet time the first
// ejection lasts a second again.
func TestFlappingAgentEjectsForLongerEachTime(t *testing.T) {
	tracker := newTestTracker()
	ejections, ejected := 0, false
	for i := range 240 { // every half second for two minutes
		now := atSeconds(float64(i) / 2)
		tracker.RecordAgent(now, 0, parseReport([]string{"down", "up", "up", "up"}[i%4]))
		if v, _ := tracker.Evaluate(now, 0); v.Ejected != ejected {
			if ejected = v.Ejected; ejected {
				ejections++
			}
		}
	}
	if ejections > 10 || ejections < 3 {
		t.Errorf("ejected %d times in two minutes, want 3 to 10", ejections)
	}
	now := atSeconds(120)
	for ; now < atSeconds(600); now += sec { // no reports come
		tracker.Evaluate(now, 0)
	}
	for range 3 {
		tracker.RecordAgent(now, 0, parseReport("up"))
		tracker.Evaluate(now, 0)
		now += sec
	}
	tracker.RecordAgent(now, 0, parseReport("down"))
	tracker.Evaluate(now, 0)
	for range 3 {
		now += sec
		tracker.RecordAgent(now, 0, parseReport("up"))
		tracker.Evaluate(now, 0)
	}
	if tracker.Verdict(0).Ejected {
		t.Error("the server is not readmitted within 3 s, though there was no ejection in the eight minutes before")
	}
}

// A report that is older than a recorded one, or of an unknown server, changes nothing, and earlier reports do not count
// for a server that has restarted.
func TestOldReportsAreIgnoredAndRestartForgets(t *testing.T) {
	tracker := newTestTracker()
	tracker.RecordAgent(atSeconds(5), 0, parseReport("drain"))
	if tracker.RecordAgent(atSeconds(4), 0, parseReport("ready")) || tracker.RecordAgent(atSeconds(4), 77, parseReport("up")) {
		t.Error("an old report, or one of an unknown server, is accepted")
	}
	tracker.RecordCheck(atSeconds(4), 77, true, "")
	tracker.RecordRequest(atSeconds(4), 77, true)
	if v, _ := tracker.Evaluate(atSeconds(5), 0); !v.Ejected {
		t.Error("an old report changes the verdict")
	}
	tracker.Add(0)
	if v, _ := tracker.Evaluate(atSeconds(6), 0); v.Ejected || v.Weight != 1 {
		t.Errorf("after a restart: %+v, want weight 1", v)
	}
	if tracker.ServesRequests(atSeconds(6), 0) {
		t.Error("a server without requests counts as serving them")
	}
	if tracker.RecordRequest(atSeconds(6), 0, true); !tracker.ServesRequests(atSeconds(7), 0) || tracker.ServesRequests(atSeconds(9), 0) {
		t.Error("a successful request must count for two seconds")
	}
}

// Any evidence in any order gives valid verdicts and a right count of the servers to be ejected, and once no reports
// come all servers are readmitted.
func TestAnySequenceOfReportsGivesValidVerdicts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tracker, now := newTestTracker(), sec
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond
			id := rapid.Uint32Range(0, 10).Draw(t, "id") // 10 is not in the tracker
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0:
				tracker.RecordAgent(now, id, Report{Admin: Admin(rapid.IntRange(0, 3).Draw(t, "admin")), State: State(rapid.IntRange(0, 2).Draw(t, "state")),
					Weight: rapid.Float64Range(-1, 3).Draw(t, "weight"), MaxConn: rapid.IntRange(-1, 5).Draw(t, "maxconn")})
			case 1:
				tracker.RecordCheck(now, id, rapid.Bool().Draw(t, "ok"), "")
			case 2:
				tracker.RecordRequest(now, id, rapid.Bool().Draw(t, "ok"))
			case 3:
				tracker.Add(id % 10)
			}
			v, _ := tracker.Evaluate(now, id)
			if math.IsNaN(v.Weight) || v.Weight < 0 || v.Weight > 1 || v.Ejected != (v.Weight == 0) || v.Drain && !v.Ejected || v.MaxConn < 0 {
				t.Fatalf("invalid verdict %+v", v)
			}
		}
		wanted := 0
		for _, s := range tracker.servers {
			if s.wantsEjection {
				wanted++
			}
		}
		if wanted != tracker.ejectionsWanted {
			t.Fatalf("%d servers want ejection, the count is %d", wanted, tracker.ejectionsWanted)
		}
		now += 10 * time.Minute
		for range 2 {
			for id := range uint32(10) {
				if v, _ := tracker.Evaluate(now, id); v.Ejected {
					t.Fatalf("server %d is still ejected 10 minutes after the last report: %+v", id, v)
				}
			}
		}
	})
}
