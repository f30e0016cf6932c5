package node

import (
	"fmt"
	"testing"
	"time"
)

// quietDay and the others are the days of docs/discovery.md, at a discovery that has been up for a while.
var (
	quietDay = day{length: 150 * time.Second, from: 30 * time.Second, start: 10 * time.Second}
	herdDay  = day{length: 60 * time.Second, from: 30 * time.Second, start: 10 * time.Second, down: span{30 * time.Second, 38 * time.Second},
		changes: []time.Duration{33 * time.Second, ms(38500), 40 * time.Second}}
	splitDay = day{length: 60 * time.Second, from: 30 * time.Second, start: 10 * time.Second, cut: span{30 * time.Second, 36 * time.Second},
		cutTo: fleet / 5, changes: []time.Duration{32 * time.Second}}
	hushDay = day{length: 60 * time.Second, from: 30 * time.Second, start: 10 * time.Second, silent: ms(30300),
		changes: []time.Duration{30 * time.Second}} // all watches, just told, fall silent together
)

// What the shorter watches cost the discovery of 300 nodes, and what they hold: each node has a fresh list or has asked again within
// 6 s and the grace of any moment at which it could reach discovery. That is so wherever a call that goes on with a watch costs
// nothing, and on a quiet day also where it costs what any other does, unless discovery takes longer to hear all nodes than a watch
// may wait: then nodes that are refused wait longer. The rhythm that was before holds none of it.
func TestFleetIsToldInTime(t *testing.T) {
	t.Parallel()
	within := toldIn + ms(500)
	for _, free := range []bool{true, false} {
		for _, all := range []time.Duration{ms(5200), ms(7900)} {
			for _, d := range []struct {
				name string
				day
			}{{"quiet", quietDay}, {"herd", herdDay}, {"split", splitDay}, {"hush", hushDay}} {
				s := site{all: all, stand: ms(2400), free: free, grace: ms(500)}
				if d.name == "herd" {
					s.callers = 60
				}
				bears := free || d.name == "quiet" && all < askMost // the strict reading does no harm there
				for _, seed := range []uint64{1, 2} {
					at := fmt.Sprintf("%s, all heard in %v, free to go on %v, seed %d", d.name, all, free, seed)
					t.Run(at, func(t *testing.T) {
						t.Parallel()
						old, now := play(s, d.day, fleet, seed, former).figures, play(s, d.day, fleet, seed, paced).figures
						t.Logf("%s\n  before: %v\n  now:    %v", at, old, now)
						if old.asked <= within {
							t.Errorf("%s: before, all nodes asked within %v: the day shows nothing", at, old.asked)
						}
						if bears && now.asked > within {
							t.Errorf("%s: a node that could reach discovery did not ask for %v, want %v", at, now.asked, within)
						}
						if d.name == "quiet" && now.refused > now.calls/100 || d.name == "quiet" && bears && now.refused > 0 {
							t.Errorf("%s: %d of %d calls refused", at, now.refused, now.calls)
						}
						if free && (d.name == "split" || all < toldIn) && now.over > 0 {
							t.Errorf("%s: %d nodes without a list or a watch for up to %v", at, now.over, now.blind)
						}
						if free && d.name == "herd" && now.blind > all+ms(100) { // discovery is never idle while somebody waits for it
							t.Errorf("%s: a node without a list or a watch for %v, want %v", at, now.blind, all)
						}
						if free && now.inRow > 3*int(all/time.Second) { // as many as it takes to hear all others first, not a loop
							t.Errorf("%s: a node was refused %d times in a row", at, now.inRow)
						}
					})
				}
			}
		}
	}
}

// A discovery that takes longer to hear all nodes than a watch may wait refuses some at first. Those wait longer, so that the line
// empties; one refusal amid a herd, or of a call behind a failure, changes nothing.
func TestCrowdedDiscoveryIsAskedLess(t *testing.T) {
	t.Parallel()
	s := site{all: ms(7900), stand: ms(2400), grace: ms(500)}
	d := quietDay
	d.from = 90 * time.Second
	now := play(s, d, fleet, 1, paced).figures
	if now.low == 0 || now.low == fleet || now.refused > now.calls/100 || now.stood > ms(1000) {
		t.Errorf("%v", now)
	}
	for _, c := range []struct {
		name string
		turn func(r *rhythm)
		want bool
	}{
		{"an answer with no news", func(r *rhythm) { r.answered(time.Second, false) }, true},
		{"news, which all got", func(r *rhythm) { r.answered(time.Second, true) }, false},
		{"news in their turn behind a failure", func(r *rhythm) {
			r.failed(0, 0, failedCall, 0)
			r.answered(time.Second, true)
		}, true},
		{"a call that failed", func(r *rhythm) {
			r.answered(time.Second, false)
			r.failed(2*time.Second, 0, failedCall, 0)
		}, false},
		{"a silent watch", func(r *rhythm) {
			r.answered(time.Second, false)
			r.failed(2*time.Second, 0, noAnswer, 0)
		}, false},
	} {
		r := &rhythm{grace: ms(500)}
		c.turn(r)
		r.begin(3 * time.Second)
		r.failed(4*time.Second, 0, turnedAway, 0.5)
		if wait, _ := r.call(false, 0); (wait >= crowdLeast) != c.want {
			t.Errorf("refused behind %s: a watch waits %v", c.name, wait)
		}
		r.begin(4*time.Second + crowdFor + time.Second)
		if wait, _ := r.call(false, 0.999); wait > askMost {
			t.Errorf("refused behind %s: after %v a watch waits %v still", c.name, crowdFor, wait)
		}
	}
}

// Nodes that were told, or lost discovery, in the same moment draw their next wait from all of its span; those that are apart already
// wait nearly as long as they may, as each call is work.
func TestNodesComeApart(t *testing.T) {
	quiet := func(r *rhythm) { r.answered(time.Second, false) }
	for _, c := range []struct {
		name  string
		turn  func(r *rhythm)
		least time.Duration
	}{
		{"the first call", func(*rhythm) {}, askApart},
		{"news", func(r *rhythm) { r.answered(time.Second, true) }, askApart},
		{"no news", quiet, askLeast},
		{"a reset", func(r *rhythm) { quiet(r); r.failed(2*time.Second, 0, failedCall, 0) }, askApart},
		{"a refusal amid a herd", func(r *rhythm) {
			quiet(r)
			r.failed(2*time.Second, 0, failedCall, 0)
			r.failed(3*time.Second, 0, turnedAway, 0)
		}, askApart},
		{"a silent watch's own end", func(r *rhythm) { quiet(r); r.failed(2*time.Second, 0, noAnswer, 0) }, askLeast},
		{"a silent first watch's end", func(r *rhythm) { r.failed(2*time.Second, 0, noAnswer, 0) }, askApart},
		{"news in turn, behind a failure", func(r *rhythm) {
			r.failed(2*time.Second, 0, failedCall, 0)
			r.answered(3*time.Second, true)
		}, askLeast},
	} {
		r := &rhythm{grace: ms(500)}
		c.turn(r)
		if wait, limit := r.call(false, 0); wait != c.least || r.broke && limit < fetchWait {
			t.Errorf("behind %s: waits %v, is given up after %v; want %v at least", c.name, wait, limit, c.least)
		}
		if wait, limit := r.call(false, 0.9999); wait > askMost || limit > toldIn {
			t.Errorf("behind %s: waits up to %v, is given up after %v", c.name, wait, limit)
		}
	}
}

// Whatever becomes of its calls, a node has a fresh list in hand within 6 s and the grace of the first moment from which on a change
// might be missed, at a discovery that can be reached. Of the rhythm that was before it is said where it did not.
func TestToldAfterFailures(t *testing.T) {
	t.Parallel()
	// stand lets calls stand in line for so long and refuses them.
	stand := func(d time.Duration, from, to int) func(*hub, *ask, int) bool {
		return func(h *hub, a *ask, nth int) bool {
			if nth >= from && nth <= to {
				h.at(h.now+d, func() { h.refuse(a) })
			}
			return nth >= from && nth <= to
		}
	}
	silent := func(_ *hub, a *ask, nth int) bool {
		a.silent = nth == 2
		return a.silent
	}
	for _, c := range []struct {
		name   string
		script func(*hub, *ask, int) bool
		told   time.Duration
		down   time.Duration // up to then
		fails  bool          // before
	}{
		{name: "a watch falls silent right after its call was taken", script: silent, fails: true},
		{name: "a call stands in line for 2.4 s and is refused", script: stand(ms(2400), 2, 2)},
		{name: "a call is refused twice in a row at once", script: stand(ms(1), 2, 3)},
		{name: "a call is refused twice in a row, each time behind 2.4 s in line", script: stand(ms(2400), 2, 3), fails: true},
		{name: "a whole list is refused twice in a row at once", script: stand(ms(1), 1, 2), told: reloadTold},
		{name: "a whole list is refused twice in a row behind 1.5 s in line", script: stand(ms(1500), 1, 2), told: reloadTold},
		{name: "a whole list is silent", told: reloadTold, script: func(_ *hub, a *ask, nth int) bool {
			a.silent = nth == 1
			return a.silent
		}},
		{name: "discovery is down for 8 s and back", down: 8 * time.Second},
	} {
		for _, push := range []bool{false, true} {
			for _, grace := range []time.Duration{ms(500), time.Second} {
				pace, late, worst := paced, 0, time.Duration(0)
				if push {
					pace = pushed
				}
				for seed := range uint64(300) {
					s := site{all: ms(20), stand: ms(2400), grace: grace, push: push, script: c.script, told: c.told}
					d := day{length: 60 * time.Second, down: span{0, c.down}, changes: []time.Duration{c.down + 1}}
					within := toldIn + grace
					if c.told > 0 {
						within = c.told + grace
					}
					now := play(s, d, 1, seed, pace).figures
					if worst = max(worst, now.blind); now.blind > within {
						t.Fatalf("%s, push %v, grace %v, seed %d: no list in hand for %v", c.name, push, grace, seed, now.blind)
					}
					if now.asked > toldIn+grace {
						t.Fatalf("%s, push %v, grace %v, seed %d: did not ask for %v", c.name, push, grace, seed, now.asked)
					}
					if !push && play(s, d, 1, seed, former).blind > within {
						late++
					}
				}
				t.Logf("%s, push %v, grace %v: a list within %v; before, too late in %d of 300", c.name, push, grace, worst, late)
				if (late > 0) != (c.fails && !push) {
					t.Errorf("%s, push %v, grace %v: before, too late in %d of 300", c.name, push, grace, late)
				}
			}
		}
	}
}
