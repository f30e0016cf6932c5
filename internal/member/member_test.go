package member

import (
	"os"
	"slices"
	"strconv"
	"testing"
	"time"
)

// seeds is how many worlds each test plays; PORTSTALL_MEMBERS asks for more.
func seedCount(few int) int {
	if n, err := strconv.Atoi(os.Getenv("PORTSTALL_MEMBERS")); err == nil {
		return n
	}
	return few
}

// settle lets a world join.
func (w *simulation) waitJoined(t *testing.T) {
	t.Helper()
	for w.now < 60*second && !w.joined() {
		w.run(w.now + second)
	}
	if !w.joined() {
		t.Fatalf("not joined after %v", w.now)
	}
}

func (w *simulation) checkInvariants(t *testing.T) {
	t.Helper()
	if len(w.violations) > 0 {
		t.Errorf("%d broken: %s", len(w.violations), w.violations[0])
	}
	for i, b := range w.bytes {
		if most := float64(Usual().MaxBytesPerSecond) * (w.now.Seconds() + 2); float64(b) > most && w.intercept == nil {
			t.Errorf("%s has sent %d bytes in %v", memberName(i), b, w.now)
		}
	}
}

// A member dies: how long until the first has given it up, and until all have; and nobody else is given up.
func TestDetection(t *testing.T) {
	for _, n := range []int{10, 30} {
		var first, all []time.Duration
		for seed := range seedCount(8) {
			w := newSimulation(n, uint64(seed))
			w.waitJoined(t)
			w.run(w.now + 5*second)
			died := w.now
			w.members[3] = nil
			var f time.Duration
			for w.countHolding(3, Dead) < n-1 {
				w.run(w.now + second/10)
				if f == 0 && w.countHolding(3, Dead) > 0 {
					f = w.now - died
				}
				if w.now > died+120*second {
					t.Fatalf("%d members, seed %d: %d of %d know after two minutes", n, seed, w.countHolding(3, Dead), n-1)
				}
			}
			first, all = append(first, f), append(all, w.now-died)
			if len(w.falselyDead) > 0 {
				t.Errorf("%d members, seed %d: living ones were given up: %v", n, seed, w.falselyDead)
			}
			w.checkInvariants(t)
		}
		slices.Sort(first)
		slices.Sort(all)
		t.Logf("%d members: given up by the first after %v (median), by all after %v, %v at most", n, first[len(first)/2], all[len(all)/2], all[len(all)-1])
	}
}

// With packets lost and members that are slow, nobody that lives is given up for good.
func TestLossAndSlowness(t *testing.T) {
	for _, c := range []struct {
		loss float64
		slow int
	}{{0, 0}, {0.05, 0}, {0.3, 0}, {0, 1}, {0.05, 1}} {
		falsely, minutes, bytes := 0, 0.0, 0.0
		for seed := range seedCount(3) {
			w := newSimulation(12, uint64(seed))
			w.waitJoined(t)
			w.loss = c.loss
			for i := range c.slow {
				w.slow[5+i] = true
			}
			begun := w.now
			w.run(w.now + 180*second)
			falsely += len(w.falselyDead)
			minutes += (w.now - begun).Minutes()
			for _, b := range w.bytes {
				bytes += float64(b) / 12 / w.now.Seconds() / float64(seedCount(3))
			}
			w.loss, w.slow = 0, map[int]bool{}
			w.run(w.now + 60*second)
			if !w.joined() {
				t.Errorf("%+v, seed %d: somebody stays given up", c, seed)
			}
			w.checkInvariants(t)
		}
		t.Logf("loss %.2f, %d slow: %.1f times an hour one of 12 held a living one for dead, %.0f bytes a second and member", c.loss, c.slow, float64(falsely)/minutes*60, bytes)
		if c.loss <= 0.05 && c.slow == 0 && falsely > 0 {
			t.Errorf("loss %.2f: %d living members were given up", c.loss, falsely)
		}
	}
}

// A member stops for ten seconds and wakes: nobody is given up for good, whatever it thinks of the others.
func TestFrozen(t *testing.T) {
	for seed := range seedCount(3) {
		w := newSimulation(10, uint64(seed))
		w.waitJoined(t)
		w.frozen[4] = w.now + 10*second
		w.run(w.now + 12*second)
		accused := 0
		for i := range w.members {
			if i != 4 {
				accused += w.countHolding(i, Suspect)
			}
		}
		if accused > 3 {
			t.Errorf("seed %d: %d are suspected by a member that woke up", seed, accused)
		}
		w.run(w.now + 60*second)
		if !w.joined() {
			t.Errorf("seed %d: somebody stays given up", seed)
		}
		for k := range w.falselyDead {
			if k[len(k)-2:] != "m4" {
				t.Errorf("seed %d: %s", seed, k)
			}
		}
		w.checkInvariants(t)
	}
}

// One with a valid key lies: accuses all at every chance, or only to some. Nobody is given up.
func TestLiar(t *testing.T) {
	for seed := range seedCount(3) {
		for _, some := range []bool{false, true} {
			w := newSimulation(10, uint64(seed))
			w.waitJoined(t)
			liar := w.keys(7)
			n := uint64(0)
			w.intercept = func(from int, o Out) []Out {
				if from != 7 || some && o.Addr > memberAddr(4) {
					return []Out{o}
				}
				m := w.members[7]
				p := packet{V: version, Kind: ping, From: memberName(7), To: memberName(w.byAddr[o.Addr]), Inc: m.Inc(), Nonce: 1}
				m.seq++
				p.Seq = m.seq
				for i, other := range w.members {
					if i == 7 || len(p.Facts) > 8 {
						continue
					}
					n++
					p.Facts = append(p.Facts, signFact(&Fact{Kind: factSuspect, By: memberName(7), About: memberName(i), Inc: other.Inc(), Seq: n}, liar.Sign))
					// Others' words can't be made up: these are refused.
					p.Facts = append(p.Facts, signFact(&Fact{Kind: factSuspect, By: memberName((i + 1) % 10), About: memberName(i), Inc: other.Inc(), Seq: n}, liar.Sign),
						signFact(&Fact{Kind: factLeft, By: memberName(i), Inc: other.Inc() + 1}, liar.Sign))
				}
				return []Out{o, {Addr: o.Addr, Data: seal(&p, liar.Sign)}}
			}
			w.run(w.now + 60*second)
			if len(w.falselyDead) > 0 || w.countHolding(3, Left) > 0 {
				t.Errorf("seed %d, to some %v: %v", seed, some, w.falselyDead)
			}
			if w.members[0].Refused[ErrSignature] == 0 && !some {
				t.Error("no forged fact was refused: the test is empty")
			}
			w.checkInvariants(t)
		}
	}
}

// What was said is said again later, to others, cut, padded, and by strangers: nothing of it is taken.
func TestReplayAndForgery(t *testing.T) {
	w := newSimulation(5, 1)
	w.waitJoined(t)
	var old [][]byte
	w.intercept = func(from int, o Out) []Out {
		if p, err := unseal(o.Data, w.keys(0)); err == nil && from == 2 && p.To == memberName(0) && len(old) < 50 {
			old = append(old, o.Data)
		}
		return []Out{o}
	}
	w.run(w.now + 120*second)
	w.intercept = nil
	m := w.members[0]
	before := m.peers[memberName(2)].Inc
	for _, data := range old {
		if _, err := m.Receive(w.now, memberAddr(2), data); err == nil {
			t.Error("a replayed packet is taken")
		}
		if _, err := w.members[1].Receive(w.now, memberAddr(2), data); err == nil {
			t.Error("another's packet is taken")
		}
		for _, cut := range []int{0, 1, len(data) / 2, len(data) - 1} {
			if _, err := m.Receive(w.now, memberAddr(2), data[:cut]); err == nil {
				t.Error("a cut packet is taken")
			}
		}
		if _, err := m.Receive(w.now, memberAddr(2), append(slices.Clone(data), 0)); err == nil {
			t.Error("a padded packet is taken")
		}
		bad := slices.Clone(data)
		bad[len(bad)/2] ^= 1
		if _, err := m.Receive(w.now, memberAddr(2), bad); err == nil {
			t.Error("a changed packet is taken")
		}
	}
	stranger := testKeys{map[string]uint64{"x": 1}, "x"}
	for _, p := range []packet{{V: version, Kind: exchange, From: "x", To: memberName(0)}, {V: version, Kind: exchange, From: memberName(3), To: memberName(0)},
		{V: version + 1, Kind: exchange, From: memberName(3), To: memberName(0)}} {
		if _, err := m.Receive(w.now, "ax", seal(&p, stranger.Sign)); err == nil {
			t.Errorf("%+v is taken", p)
		}
	}
	if m.peers[memberName(2)].Inc != before || m.peers["x"] != nil || m.Refused[ErrReplay] == 0 || m.Refused[ErrMalformed] == 0 || m.Refused[ErrStranger] == 0 || m.Refused[ErrVersion] == 0 || m.Refused[ErrWrongRecipient] != 0 {
		t.Errorf("%v", m.Refused)
	}
	w.checkInvariants(t)
}

// A member leaves, comes back with a clock that is minutes behind, and is believed again; one that was given up in a cut is
// taken back once the cut heals, also where both sides have rolled their keys meanwhile.
func TestComingBack(t *testing.T) {
	for seed := range seedCount(3) {
		w := newSimulation(8, uint64(seed))
		w.waitJoined(t)
		w.send(5, w.members[5].Leave(w.now))
		w.run(w.now + 20*second)
		if w.countHolding(5, Left) != 7 {
			t.Errorf("seed %d: %d of 7 know that it has left", seed, w.countHolding(5, Left))
		}
		w.start(5, 10) // far behind what it had
		w.run(w.now + 40*second)
		if !w.joined() {
			t.Fatalf("seed %d: one with an old clock is not taken back", seed)
		}
		w.cut = func(from, to int) bool { return (from < 4) != (to < 4) }
		w.run(w.now + 180*second)
		if w.countHolding(0, Dead) != 4 || w.countHolding(7, Dead) != 4 {
			t.Errorf("seed %d: in a cut %d and %d of 4 gave up the other side", seed, w.countHolding(0, Dead), w.countHolding(7, Dead))
		}
		for i := range w.members { // all roll: the file has gone round before
			w.secrets[memberName(i)]++
		}
		for i, m := range w.members {
			m.Rekey(w.now, w.keys(i))
		}
		w.run(w.now + 30*second)
		w.cut = nil
		w.run(w.now + 240*second)
		if !w.joined() {
			t.Errorf("seed %d: the cut does not heal", seed)
		}
	}
}

// Two instances with one name: one of them gives way, and the others know one.
func TestTwoOfOneName(t *testing.T) {
	w := newSimulation(6, 1)
	w.waitJoined(t)
	w.members = append(w.members, nil)
	w.bytes = append(w.bytes, 0)
	w.secrets["twin"] = 0
	w.start(6, 5000)
	w.members[6].name, w.members[6].keys = memberName(2), w.keys(2)
	w.members[6].announce(w.now)
	w.run(w.now + 300*second)
	if a, b := w.members[2], w.members[6]; a.stopped == b.stopped || !(a.Conflict || b.Conflict) {
		t.Errorf("gone: %v and %v; %d %d rivals, inc %d %d, refused %v", a.stopped, b.stopped, a.nameConflicts, b.nameConflicts, a.Inc(), b.Inc(), b.Refused)
	}
	w.violations = nil // of the oracle's view of a name that two have
}

// What others say of a web server makes a member look, once two of them say so; a liar can't, and it fades.
func TestEvidence(t *testing.T) {
	w := newSimulation(7, 1)
	w.waitJoined(t)
	say := func(i int, bad float64) { w.members[i].Witness(w.now, "s-1", bad, 20) }
	say(6, 1)
	w.run(w.now + 5*second)
	if d, n := w.members[0].Doubt(w.now, "s-1"); d != 0 || n != 1 {
		t.Errorf("one alone: %v of %d", d, n)
	}
	for i := 1; i < 6; i++ {
		say(i, 0)
	}
	say(6, 1)
	w.run(w.now + 5*second)
	if d, n := w.members[0].Doubt(w.now, "s-1"); d > 0.01 || n < 5 {
		t.Errorf("a liar among six: %v of %d", d, n)
	}
	for i := 1; i < 6; i++ {
		say(i, 0.9)
	}
	w.run(w.now + 5*second)
	if d, n := w.members[0].Doubt(w.now, "s-1"); d < 0.4 || n < 5 {
		t.Errorf("five say so: %v of %d", d, n)
	}
	w.run(w.now + 60*second)
	if d, _ := w.members[0].Doubt(w.now, "s-1"); d != 0 {
		t.Errorf("a minute later: %v", d)
	}
	w.checkInvariants(t)
}

// PORTSTALL_MANY plays 100 and 1,000 members: how the traffic of each and the time to give one up grow.
func TestMany(t *testing.T) {
	if os.Getenv("PORTSTALL_MANY") == "" {
		t.Skip("PORTSTALL_MANY is not set: it takes minutes")
	}
	for _, n := range []int{10, 100, 1000} {
		w := newSimulation(n, 1)
		for w.now < 600*second && !w.joined() {
			w.run(w.now + 5*second)
		}
		joined := w.now
		begun := append([]int64(nil), w.bytes...)
		w.run(w.now + 20*second)
		died, sent := w.now, 0.0
		for i, b := range w.bytes {
			sent += float64(b-begun[i]) / 20 / float64(n)
		}
		w.members[3] = nil
		for w.countHolding(3, Dead) < n-1 && w.now < died+120*second {
			w.run(w.now + second/2)
		}
		t.Logf("%d members: joined by %v, %.0f bytes a second and member, given up by %d of %d after %v, living ones given up %d times", n, joined, sent, w.countHolding(3, Dead), n-1, w.now-died, len(w.falselyDead))
		w.checkInvariants(t)
	}
}

// Twenty of thirty members start anew each second for a while: nobody sends more than it may, and all are whole again after.
func TestFloodOfJoins(t *testing.T) {
	w := newSimulation(30, 1)
	w.waitJoined(t)
	for round := range 15 {
		for i := 10; i < 30; i++ {
			w.start(i, uint64(2000+100*round+i))
		}
		w.run(w.now + second)
	}
	w.run(w.now + 60*second)
	if !w.joined() {
		t.Error("somebody stays out")
	}
	w.violations = nil // a member that is another by now may be behind what was heard of the one before
	w.checkInvariants(t)
}

// All sequences of three things that can happen to three members, each at two distances from the next: death, a start with
// an older clock, leaving, a cut, a key that rolls, a lie. Whatever came, those that are there hold each other for alive
// again, nobody holds an incarnation that its owner never had, and none goes back.
func TestThreeMembers(t *testing.T) {
	things := map[string]func(w *simulation){
		"dies":   func(w *simulation) { w.members[2] = nil },
		"starts": func(w *simulation) { w.start(2, 5) },
		"leaves": func(w *simulation) {
			if m := w.members[2]; m != nil {
				w.send(2, m.Leave(w.now))
			}
		},
		"cut": func(w *simulation) {
			if w.cut == nil {
				w.cut = func(from, to int) bool { return (from == 2) != (to == 2) }
			} else {
				w.cut = nil
			}
		},
		"rolls": func(w *simulation) {
			w.secrets[memberName(1)]++
			for i, m := range w.members {
				if m != nil {
					m.Rekey(w.now, w.keys(i))
				}
			}
		},
		"lies": func(w *simulation) {
			m := w.members[0]
			for _, about := range []int{1, 2} {
				if p := m.peers[memberName(about)]; p != nil {
					m.enqueue(w.now, "lie", signFact(&Fact{Kind: factSuspect, By: memberName(0), About: memberName(about), Inc: p.Inc, Seq: 1 << 40}, m.keys.Sign), 9)
				}
			}
		},
	}
	worlds := 0
	for _, a := range sortedKeys(things) {
		for _, b := range sortedKeys(things) {
			for _, c := range sortedKeys(things) {
				for _, gap := range []time.Duration{second / 2, 20 * second} {
					w := newSimulation(3, 1)
					w.run(10 * second)
					for _, what := range []string{a, b, c} {
						things[what](w)
						w.run(w.now + gap)
					}
					w.cut = nil
					for end := w.now + 240*second; w.now < end && !w.joined(); {
						w.run(w.now + 5*second)
					}
					if !w.joined() || len(w.violations) > 0 {
						t.Errorf("%s, %s, %s, %v apart: joined %v, broken %v", a, b, c, gap, w.joined(), w.violations)
					}
					worlds++
				}
			}
		}
	}
	t.Logf("%d worlds", worlds)
}
