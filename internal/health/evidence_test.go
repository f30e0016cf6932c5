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

func at(s float64) time.Duration { return time.Duration(s * float64(sec)) }

// fleet is a book of ten servers, of which the tests tell of the first.
func fleet() *Book {
	b := NewBook(Usual(sec))
	for id := range uint32(10) {
		b.Add(id)
	}
	return b
}

func word(line string) Word {
	w := Silent
	for _, f := range strings.Fields(line) {
		switch f {
		case "up":
			w.State = Up
		case "down":
			w.State, w.Reason = Down, "full"
		case "ready":
			w.Admin = Ready
		case "drain":
			w.Admin = Drain
		case "maint":
			w.Admin = Maint
		default:
			n := 0.0
			fmt.Sscanf(f, "%f%%", &n)
			w.Weight = n / 100
		}
	}
	return w
}

// The evidence table of docs/health.md, row by row: what is told of a server, and what the verdict is at the end. Each would
// fail if its row were other.
func TestEvidence(t *testing.T) {
	out, drain := Verdict{Out: true}, Verdict{Out: true, Drain: true}
	in := func(weight float64) Verdict { return Verdict{Weight: weight} }
	agent := func(s float64, line string) func(*Book) time.Duration {
		return func(b *Book) time.Duration { b.Agent(at(s), 0, word(line)); return at(s) }
	}
	check := func(s float64, ok bool) func(*Book) time.Duration {
		return func(b *Book) time.Duration { b.Check(at(s), 0, ok, "status 500"); return at(s) }
	}
	real := func(s float64, ok bool) func(*Book) time.Duration {
		return func(b *Book) time.Duration { b.Real(at(s), 0, ok); return at(s) }
	}
	others := func(s float64) func(*Book) time.Duration {
		return func(b *Book) time.Duration { b.Others(at(s), 0); return at(s) }
	}
	look := func(s float64) func(*Book) time.Duration { return func(*Book) time.Duration { return at(s) } }
	type play = []func(*Book) time.Duration
	for _, c := range []struct {
		name    string
		play    play
		want    Verdict
		against string // part of the contradiction; "-": none
	}{
		{"nothing is said", play{look(1)}, in(1), "-"},
		{"agent: drain", play{agent(1, "drain")}, drain, "-"},
		{"agent: maint", play{agent(1, "maint")}, drain, "-"},
		{"agent: drain, while it answers", play{real(1, true), agent(1.1, "drain")}, drain, "-"},
		{"agent: drain stays while other words come", play{agent(1, "drain"), agent(2, "up 100%"), look(3)}, drain, "-"},
		{"agent: ready takes it back", play{agent(1, "drain"), agent(2, "ready"), agent(3, "up")}, in(1), "-"},
		{"agent: one good word is not enough", play{agent(1, "drain"), agent(3, "ready")}, drain, "-"},
		{"agent: drain is good for a minute after it was heard", play{agent(1, "drain"), look(61)}, drain, "-"},
		{"and no longer", play{agent(1, "drain"), look(61.1)}, in(1), "-"},
		{"agent: down", play{agent(1, "down")}, out, "-"},
		{"agent: down, but it answers", play{real(1, true), agent(2, "down")}, in(0.5), "its agent says down: full, but it answers"},
		{"agent: down, and the answer is old", play{real(1, true), agent(2, "down"), look(3.1)}, out, "-"},
		{"agent: down, and the latest request failed", play{real(1, true), real(1.5, false), agent(2, "down")}, out, "-"},
		{"agent: down is good for three intervals and a second", play{agent(1, "down"), look(5)}, out, "-"},
		{"and no longer", play{agent(1, "down"), look(5.1)}, in(1), "-"},
		{"agent: up while requests fail", play{agent(1, "up"), real(1.5, false)}, in(1), "its agent says up, but real requests fail"},
		{"agent: a weight", play{agent(1, "75%")}, in(0.75), "-"},
		{"agent: a weight over 100", play{agent(1, "200%")}, in(1), "-"},
		{"agent: a weight fades", play{agent(1, "75%"), look(5.1)}, in(1), "-"},
		{"agent: weight 0 is no drain", play{agent(1, "0%")}, out, "-"},
		{"agent: weight 0, while it answers", play{real(0.9, true), agent(1, "0%")}, out, "-"},
		{"agent: weight 0 and drain", play{agent(1, "0% drain")}, drain, "-"},
		{"agent: down and a weight, but it answers", play{real(1, true), agent(1.1, "down 50%")}, in(0.25), "answers"},
		{"check: two failures are none", play{check(1, false), check(2, false)}, in(1), "-"},
		{"check: three are", play{check(1, false), check(2, false), check(3, false)}, out, "-"},
		{"check: with a good one between they are not", play{check(1, false), check(2, false), check(2.5, true), check(3, false)}, in(1), "-"},
		{"check: failures, but it answers", play{check(1, false), check(2, false), real(2.9, true), check(3, false)}, in(0.5), "its checks fail: status 500, but"},
		{"check: failures are good for three intervals and a second", play{check(1, false), check(2, false), check(3, false), look(7.1)}, in(1), "-"},
		{"check: passes while requests fail", play{check(1, true), real(1.1, false)}, in(1), "its checks pass, but real requests fail"},
		{"check: good ones do not take back an agent's drain", play{agent(1, "drain"), check(2, true), check(3, true), check(4, true)}, drain, "-"},
		{"check: two good ones bring back what failed ones took out", play{check(1, false), check(2, false), check(3, false), check(4, true), check(5, true)}, in(1), "-"},
		{"agent: up does not bring back what checks took out", play{check(1, false), check(2, false), check(3, false), agent(3.5, "up"), agent(4, "up")}, out, "-"},
		{"others see it fail", play{others(1)}, in(0.5), "-"},
		{"and it fades", play{others(1), look(3.1)}, in(1), "-"},
		{"others see it fail, but it answers here", play{real(0.9, true), others(1)}, in(1), "-"},
		{"others see it fail, and its agent gives it a weight", play{agent(1, "50%"), others(1.1)}, in(0.25), "-"},
		{"requests: failures alone are the module's affair", play{real(1, false), real(1.1, false), real(1.2, false)}, in(1), "-"},
	} {
		b := fleet()
		var now time.Duration
		for _, f := range c.play {
			now = f(b)
			b.Weigh(now, 0)
		}
		v := b.Verdict(0)
		if v.Out != c.want.Out || v.Drain != c.want.Drain || v.Weight != c.want.Weight {
			t.Errorf("%s: %+v, want %+v", c.name, v, c.want)
		}
		if c.against == "-" && v.Against != "" || c.against != "-" && !strings.Contains(v.Against, c.against) {
			t.Errorf("%s: against %q, want %q", c.name, v.Against, c.against)
		}
		if (v.Out || v.Weight < 1) != (v.Why != "") {
			t.Errorf("%s: why is %q of %+v", c.name, v.Why, v)
		}
	}
}

// Where most of the fleet is said to be bad the sayers are suspected; up to half of it is believed, and a server whose requests
// fail stays out all the same.
func TestPanic(t *testing.T) {
	b := fleet()
	weigh := func(now time.Duration) (out int) {
		for id := range uint32(10) {
			b.Weigh(now, id)
		}
		for id := range uint32(10) {
			if v, _ := b.Weigh(now, id); v.Out {
				out++
			}
		}
		return
	}
	for id := range uint32(5) {
		b.Agent(at(1), id, word("down"))
	}
	if n := weigh(at(1)); n != 5 || b.Panic() {
		t.Errorf("%d of 10 are out with 5 down", n)
	}
	for id := range uint32(10) {
		b.Agent(at(2), id, word([]string{"down", "drain"}[id%2]))
	}
	b.Real(at(1.9), 3, false)
	if n := weigh(at(2)); n != 1 || !b.Panic() || !b.Verdict(3).Out || !strings.Contains(b.Verdict(0).Why, "suspected") {
		t.Errorf("%d are out with all of them down: %+v", n, b.Verdict(0))
	}
	// They are suspected for half a minute after the last time.
	for id := range uint32(10) {
		b.Agent(at(3), id, word([]string{"ready up", "drain"}[min(1, id/9)]))
	}
	weigh(at(3))
	if n := weigh(at(32.9)); n != 0 || !b.Panic() {
		t.Errorf("%d are out 30 s after most were", n)
	}
	b.Agent(at(33.1), 9, word("drain"))
	if n := weigh(at(33.1)); n != 1 || b.Panic() {
		t.Errorf("%d are out later", n)
	}
	for id := range uint32(10) {
		b.Remove(id)
	}
	if len(b.servers) != 0 || b.wanted != 0 {
		t.Error("something is left", b.wanted)
	}
}

// An agent that flips at every check has its server out for longer each time, and after long quiet for a second again.
func TestFlips(t *testing.T) {
	b := fleet()
	outs, was := 0, false
	for i := range 240 { // every half second for two minutes
		now := at(float64(i) / 2)
		b.Agent(now, 0, word([]string{"down", "up", "up", "up"}[i%4]))
		if v, _ := b.Weigh(now, 0); v.Out != was {
			if was = v.Out; was {
				outs++
			}
		}
	}
	if outs > 10 || outs < 3 {
		t.Errorf("taken out %d times in two minutes", outs)
	}
	now := at(120)
	for ; now < at(600); now += sec { // nobody says anything
		b.Weigh(now, 0)
	}
	for range 3 {
		b.Agent(now, 0, word("up"))
		b.Weigh(now, 0)
		now += sec
	}
	b.Agent(now, 0, word("down"))
	b.Weigh(now, 0)
	for range 3 {
		now += sec
		b.Agent(now, 0, word("up"))
		b.Weigh(now, 0)
	}
	if b.Verdict(0).Out {
		t.Error("it is never forgiven")
	}
}

// News that is older than what is known changes nothing, and a server that starts anew is not held to what was said before.
func TestOldNews(t *testing.T) {
	b := fleet()
	b.Agent(at(5), 0, word("drain"))
	if b.Agent(at(4), 0, word("ready")) || b.Agent(at(4), 77, word("up")) {
		t.Error("old news, or of no server, is taken")
	}
	b.Check(at(4), 77, true, "")
	b.Real(at(4), 77, true)
	if v, _ := b.Weigh(at(5), 0); !v.Out {
		t.Error("old news counts")
	}
	b.Add(0)
	if v, _ := b.Weigh(at(6), 0); v.Out || v.Weight != 1 {
		t.Errorf("started anew: %+v", v)
	}
	if b.Spoken(at(6), 0) {
		t.Error("nothing was asked of it")
	}
	if b.Real(at(6), 0, true); !b.Spoken(at(7), 0) || b.Spoken(at(9), 0) {
		t.Error("real answers are good for two seconds")
	}
}

// Whatever is told in whatever order, the verdict makes sense, the books balance, and once nobody speaks all are back.
func TestAnything(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b, now := fleet(), sec
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond
			id := rapid.Uint32Range(0, 10).Draw(t, "id") // one of them is not there
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0:
				b.Agent(now, id, Word{Admin: Admin(rapid.IntRange(0, 3).Draw(t, "admin")), State: State(rapid.IntRange(0, 2).Draw(t, "state")),
					Weight: rapid.Float64Range(-1, 3).Draw(t, "weight"), MaxConn: rapid.IntRange(-1, 5).Draw(t, "maxconn")})
			case 1:
				b.Check(now, id, rapid.Bool().Draw(t, "ok"), "")
			case 2:
				b.Real(now, id, rapid.Bool().Draw(t, "ok"))
			case 3:
				b.Add(id % 10)
			}
			v, _ := b.Weigh(now, id)
			if math.IsNaN(v.Weight) || v.Weight < 0 || v.Weight > 1 || v.Out != (v.Weight == 0) || v.Drain && !v.Out || v.MaxConn < 0 {
				t.Fatalf("%+v", v)
			}
		}
		wanted := 0
		for _, s := range b.servers {
			if s.wants {
				wanted++
			}
		}
		if wanted != b.wanted {
			t.Fatalf("%d want to be out, booked are %d", wanted, b.wanted)
		}
		now += 10 * time.Minute
		for range 2 {
			for id := range uint32(10) {
				if v, _ := b.Weigh(now, id); v.Out {
					t.Fatalf("server %d is out for good: %+v", id, v)
				}
			}
		}
	})
}
