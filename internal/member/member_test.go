package member

import (
	"os"
	"slices"
	"strconv"
	"testing"
	"time"
)

// seedCount returns the number of simulations that a test runs: the default, unless PORTSTALL_MEMBERS sets another.
func seedCount(defaultCount int) int {
	if n, err := strconv.Atoi(os.Getenv("PORTSTALL_MEMBERS")); err == nil {
		return n
	}
	return defaultCount
}

// waitJoined runs the simulation until all members have joined.
func (sim *simulation) waitJoined(t *testing.T) {
	t.Helper()
	for sim.now < 60*second && !sim.joined() {
		sim.run(sim.now + second)
	}
	if !sim.joined() {
		t.Fatalf("members have not joined after %v", sim.now)
	}
}

// checkInvariants fails the test on violated invariants, and on members that sent more than their byte budget.
func (sim *simulation) checkInvariants(t *testing.T) {
	t.Helper()
	if len(sim.violations) > 0 {
		t.Errorf("%d invariants violated, first: %s", len(sim.violations), sim.violations[0])
	}
	for i, b := range sim.bytes {
		if limit := float64(DefaultSettings().MaxBytesPerSecond) * (sim.now.Seconds() + 2); float64(b) > limit && sim.intercept == nil {
			t.Errorf("%s sent %d bytes in %v, beyond its budget", memberName(i), b, sim.now)
		}
	}
}

// A member that crashes is declared dead by all others within two minutes, and no running member is. Logs the time
// until the first and until all have done so.
func TestCrashedMemberIsDeclaredDead(t *testing.T) {
	for _, n := range []int{10, 30} {
		var first, all []time.Duration
		for seed := range seedCount(8) {
			sim := newSimulation(n, uint64(seed))
			sim.waitJoined(t)
			sim.run(sim.now + 5*second)
			died := sim.now
			sim.members[3] = nil
			var firstAfter time.Duration
			for sim.countInState(3, Dead) < n-1 {
				sim.run(sim.now + second/10)
				if firstAfter == 0 && sim.countInState(3, Dead) > 0 {
					firstAfter = sim.now - died
				}
				if sim.now > died+120*second {
					t.Fatalf("%d members, seed %d: %d of %d consider it dead after two minutes", n, seed, sim.countInState(3, Dead), n-1)
				}
			}
			first, all = append(first, firstAfter), append(all, sim.now-died)
			if len(sim.falselyDead) > 0 {
				t.Errorf("%d members, seed %d: running members were declared dead: %v", n, seed, sim.falselyDead)
			}
			sim.checkInvariants(t)
		}
		slices.Sort(first)
		slices.Sort(all)
		t.Logf("%d members: declared dead by the first after %v (median), by all after %v (median) and %v (maximum)", n, first[len(first)/2], all[len(all)/2], all[len(all)-1])
	}
}

// Packet loss and slow members cause no lasting false verdict: once both end, all members consider each other
// alive again. Up to 5 % loss alone causes no false verdict at all.
func TestLossAndSlownessCauseNoLastingFalseVerdict(t *testing.T) {
	for _, c := range []struct {
		loss float64
		slow int
	}{{0, 0}, {0.05, 0}, {0.3, 0}, {0, 1}, {0.05, 1}} {
		falseDead, minutes, bytes := 0, 0.0, 0.0
		for seed := range seedCount(3) {
			sim := newSimulation(12, uint64(seed))
			sim.waitJoined(t)
			sim.loss = c.loss
			for i := range c.slow {
				sim.slow[5+i] = true
			}
			begun := sim.now
			sim.run(sim.now + 180*second)
			falseDead += len(sim.falselyDead)
			minutes += (sim.now - begun).Minutes()
			for _, b := range sim.bytes {
				bytes += float64(b) / 12 / sim.now.Seconds() / float64(seedCount(3))
			}
			sim.loss, sim.slow = 0, map[int]bool{}
			sim.run(sim.now + 60*second)
			if !sim.joined() {
				t.Errorf("%+v, seed %d: a running member is still considered dead", c, seed)
			}
			sim.checkInvariants(t)
		}
		t.Logf("loss %.2f, %d slow: %.1f times per hour one of 12 considered a running member dead, %.0f bytes per second and member", c.loss, c.slow, float64(falseDead)/minutes*60, bytes)
		if c.loss <= 0.05 && c.slow == 0 && falseDead > 0 {
			t.Errorf("loss %.2f: %d running members were declared dead", c.loss, falseDead)
		}
	}
}

// A member that is suspended for ten seconds has missed all replies when it resumes. It must not suspect more than
// three of the others for that, and all must consider each other alive again afterwards.
func TestSuspendedMemberRejoins(t *testing.T) {
	for seed := range seedCount(3) {
		sim := newSimulation(10, uint64(seed))
		sim.waitJoined(t)
		sim.frozen[4] = sim.now + 10*second
		sim.run(sim.now + 12*second)
		accused := 0
		for i := range sim.members {
			if i != 4 {
				accused += sim.countInState(i, Suspect)
			}
		}
		if accused > 3 {
			t.Errorf("seed %d: %d members are suspected after one was suspended", seed, accused)
		}
		sim.run(sim.now + 60*second)
		if !sim.joined() {
			t.Errorf("seed %d: a running member is still considered dead", seed)
		}
		for k := range sim.falselyDead {
			if k[len(k)-2:] != "m4" {
				t.Errorf("seed %d: a member that was not suspended is considered dead: %s", seed, k)
			}
		}
		sim.checkInvariants(t)
	}
}

// A member with a valid key accuses all others with each packet, to all members or only to some. No member is declared
// dead, and the facts that it forges in the names of others are rejected.
func TestFalseAccusationsOfOneMemberDeclareNobodyDead(t *testing.T) {
	for seed := range seedCount(3) {
		for _, some := range []bool{false, true} {
			sim := newSimulation(10, uint64(seed))
			sim.waitJoined(t)
			liar := sim.keys(7)
			n := uint64(0)
			sim.intercept = func(from int, o Outgoing) []Outgoing {
				if from != 7 || some && o.Addr > memberAddr(4) {
					return []Outgoing{o}
				}
				m := sim.members[7]
				p := packet{Version: version, Kind: ping, From: memberName(7), To: memberName(sim.byAddr[o.Addr]), Inc: m.Inc(), Nonce: 1}
				m.seq++
				p.Seq = m.seq
				for i, other := range sim.members {
					if i == 7 || len(p.Facts) > 8 {
						continue
					}
					n++
					p.Facts = append(p.Facts, signFact(&Fact{Kind: factSuspect, By: memberName(7), About: memberName(i), Inc: other.Inc(), Seq: n}, liar.Sign))
					// These are forged in the names of others.
					p.Facts = append(p.Facts, signFact(&Fact{Kind: factSuspect, By: memberName((i + 1) % 10), About: memberName(i), Inc: other.Inc(), Seq: n}, liar.Sign),
						signFact(&Fact{Kind: factLeft, By: memberName(i), Inc: other.Inc() + 1}, liar.Sign))
				}
				return []Outgoing{o, {Addr: o.Addr, Data: seal(&p, liar.Sign)}}
			}
			sim.run(sim.now + 60*second)
			if len(sim.falselyDead) > 0 || sim.countInState(3, Left) > 0 {
				t.Errorf("seed %d, accusations to some only: %v: running members were declared dead: %v", seed, some, sim.falselyDead)
			}
			if sim.members[0].Refused[ErrSignature] == 0 && !some {
				t.Error("no forged fact was rejected: the test has no effect")
			}
			sim.checkInvariants(t)
		}
	}
}

// Packets that are replayed, sent to another member, cut, padded, changed, or signed by an unknown key are all rejected.
func TestReplayedAndForgedPacketsAreRejected(t *testing.T) {
	sim := newSimulation(5, 1)
	sim.waitJoined(t)
	var recorded [][]byte
	sim.intercept = func(from int, o Outgoing) []Outgoing {
		if p, err := unseal(o.Data, sim.keys(0)); err == nil && from == 2 && p.To == memberName(0) && len(recorded) < 50 {
			recorded = append(recorded, o.Data)
		}
		return []Outgoing{o}
	}
	sim.run(sim.now + 120*second)
	sim.intercept = nil
	m := sim.members[0]
	before := m.peers[memberName(2)].Inc
	for _, data := range recorded {
		if _, err := m.Receive(sim.now, memberAddr(2), data); err == nil {
			t.Error("a replayed packet is accepted")
		}
		if _, err := sim.members[1].Receive(sim.now, memberAddr(2), data); err == nil {
			t.Error("a packet for another member is accepted")
		}
		for _, cut := range []int{0, 1, len(data) / 2, len(data) - 1} {
			if _, err := m.Receive(sim.now, memberAddr(2), data[:cut]); err == nil {
				t.Error("a cut packet is accepted")
			}
		}
		if _, err := m.Receive(sim.now, memberAddr(2), append(slices.Clone(data), 0)); err == nil {
			t.Error("a padded packet is accepted")
		}
		bad := slices.Clone(data)
		bad[len(bad)/2] ^= 1
		if _, err := m.Receive(sim.now, memberAddr(2), bad); err == nil {
			t.Error("a changed packet is accepted")
		}
	}
	stranger := testKeys{map[string]uint64{"x": 1}, "x"}
	for _, p := range []packet{{Version: version, Kind: exchange, From: "x", To: memberName(0)}, {Version: version, Kind: exchange, From: memberName(3), To: memberName(0)},
		{Version: version + 1, Kind: exchange, From: memberName(3), To: memberName(0)}} {
		if _, err := m.Receive(sim.now, "ax", seal(&p, stranger.Sign)); err == nil {
			t.Errorf("a packet signed by an unknown key is accepted: %+v", p)
		}
	}
	if m.peers[memberName(2)].Inc != before || m.peers["x"] != nil || m.Refused[ErrReplay] == 0 || m.Refused[ErrMalformed] == 0 || m.Refused[ErrUnknownMember] == 0 || m.Refused[ErrVersion] == 0 || m.Refused[ErrWrongRecipient] != 0 {
		t.Errorf("rejected by reason: %v, or a forged packet changed what the member knows", m.Refused)
	}
	sim.checkInvariants(t)
}

// A member that left and comes back with a clock that is minutes behind is accepted again. So are members that were
// declared dead in a partition once it heals, also where both sides have rolled their keys meanwhile.
func TestReturningMembersAreAccepted(t *testing.T) {
	for seed := range seedCount(3) {
		sim := newSimulation(8, uint64(seed))
		sim.waitJoined(t)
		sim.send(5, sim.members[5].Leave(sim.now))
		sim.run(sim.now + 20*second)
		if sim.countInState(5, Left) != 7 {
			t.Errorf("seed %d: %d of 7 have received that it left", seed, sim.countInState(5, Left))
		}
		sim.start(5, 10) // far below its former incarnation
		sim.run(sim.now + 40*second)
		if !sim.joined() {
			t.Fatalf("seed %d: a member with an old clock is not accepted again", seed)
		}
		sim.cut = func(from, to int) bool { return (from < 4) != (to < 4) }
		sim.run(sim.now + 180*second)
		if sim.countInState(0, Dead) != 4 || sim.countInState(7, Dead) != 4 {
			t.Errorf("seed %d: in a partition %d and %d of 4 declared the other side dead", seed, sim.countInState(0, Dead), sim.countInState(7, Dead))
		}
		for i := range sim.members { // all roll their keys; the new public keys were distributed before
			sim.secrets[memberName(i)]++
		}
		for i, m := range sim.members {
			m.SetKeys(sim.now, sim.keys(i))
		}
		sim.run(sim.now + 30*second)
		sim.cut = nil
		sim.run(sim.now + 240*second)
		if !sim.joined() {
			t.Errorf("seed %d: members have not joined again after the partition", seed)
		}
	}
}

// Of two instances with the same name and key exactly one gives way.
func TestOneOfTwoInstancesWithOneNameGivesWay(t *testing.T) {
	sim := newSimulation(6, 1)
	sim.waitJoined(t)
	sim.members = append(sim.members, nil)
	sim.bytes = append(sim.bytes, 0)
	sim.secrets["twin"] = 0
	sim.start(6, 5000)
	sim.members[6].name, sim.members[6].keys = memberName(2), sim.keys(2)
	sim.members[6].announce(sim.now)
	sim.run(sim.now + 300*second)
	if a, b := sim.members[2], sim.members[6]; a.stopped == b.stopped || !(a.Conflict || b.Conflict) {
		t.Errorf("stopped: %v and %v; name conflicts %d and %d, incarnations %d and %d, rejected %v", a.stopped, b.stopped, a.nameConflicts, b.nameConflicts, a.Inc(), b.Inc(), b.Refused)
	}
	sim.violations = nil // the checks of incarnations do not hold for a name that two instances have
}

// Reports of a failing web server count once several members agree. A single reporter, alone or against the others, has
// no effect, and reports decay.
func TestServerReportsCountFromSeveralMembers(t *testing.T) {
	sim := newSimulation(7, 1)
	sim.waitJoined(t)
	report := func(i int, failedShare float64) { sim.members[i].ReportServer(sim.now, "s-1", failedShare, 20) }
	report(6, 1)
	sim.run(sim.now + 5*second)
	if d, n := sim.members[0].FailureEstimate(sim.now, "s-1"); d != 0 || n != 1 {
		t.Errorf("a single reporter: failed share %v of %d reporters", d, n)
	}
	for i := 1; i < 6; i++ {
		report(i, 0)
	}
	report(6, 1)
	sim.run(sim.now + 5*second)
	if d, n := sim.members[0].FailureEstimate(sim.now, "s-1"); d > 0.01 || n < 5 {
		t.Errorf("one false report among six: failed share %v of %d reporters", d, n)
	}
	for i := 1; i < 6; i++ {
		report(i, 0.9)
	}
	sim.run(sim.now + 5*second)
	if d, n := sim.members[0].FailureEstimate(sim.now, "s-1"); d < 0.4 || n < 5 {
		t.Errorf("five agree: failed share %v of %d reporters", d, n)
	}
	sim.run(sim.now + 60*second)
	if d, _ := sim.members[0].FailureEstimate(sim.now, "s-1"); d != 0 {
		t.Errorf("a minute later: failed share %v", d)
	}
	sim.checkInvariants(t)
}

// With PORTSTALL_MANY it simulates 10, 100 and 1,000 members and logs how the traffic of each and the time to declare
// one dead grow.
func TestManyMembers(t *testing.T) {
	if os.Getenv("PORTSTALL_MANY") == "" {
		t.Skip("PORTSTALL_MANY is not set; the test takes minutes")
	}
	for _, n := range []int{10, 100, 1000} {
		sim := newSimulation(n, 1)
		for sim.now < 600*second && !sim.joined() {
			sim.run(sim.now + 5*second)
		}
		joined := sim.now
		begun := append([]int64(nil), sim.bytes...)
		sim.run(sim.now + 20*second)
		died, sent := sim.now, 0.0
		for i, b := range sim.bytes {
			sent += float64(b-begun[i]) / 20 / float64(n)
		}
		sim.members[3] = nil
		for sim.countInState(3, Dead) < n-1 && sim.now < died+120*second {
			sim.run(sim.now + second/2)
		}
		t.Logf("%d members: joined after %v, %.0f bytes per second and member, one declared dead by %d of %d after %v, running ones %d times", n, joined, sent, sim.countInState(3, Dead), n-1, sim.now-died, len(sim.falselyDead))
		sim.checkInvariants(t)
	}
}

// Twenty of thirty members restart each second for a while. No member exceeds its byte budget, and all have joined
// afterwards.
func TestRepeatedRestartsStayWithinByteBudget(t *testing.T) {
	sim := newSimulation(30, 1)
	sim.waitJoined(t)
	for round := range 15 {
		for i := 10; i < 30; i++ {
			sim.start(i, uint64(2000+100*round+i))
		}
		sim.run(sim.now + second)
	}
	sim.run(sim.now + 60*second)
	if !sim.joined() {
		t.Error("members have not joined after the restarts")
	}
	sim.violations = nil // a restarted member may be below the incarnations known of its earlier run
	sim.checkInvariants(t)
}

// Runs all sequences of three events among three members, at two distances in time: a crash, a restart with an older
// clock, leaving, a partition, a key roll, a false accusation. After each, the running members consider each
// other alive again, no member knows an incarnation that its owner never had, and no incarnation decreases.
func TestThreeMembersRecoverFromEachSequenceOfEvents(t *testing.T) {
	events := map[string]func(sim *simulation){
		"crashes":  func(sim *simulation) { sim.members[2] = nil },
		"restarts": func(sim *simulation) { sim.start(2, 5) },
		"leaves": func(sim *simulation) {
			if m := sim.members[2]; m != nil {
				sim.send(2, m.Leave(sim.now))
			}
		},
		"partition": func(sim *simulation) {
			if sim.cut == nil {
				sim.cut = func(from, to int) bool { return (from == 2) != (to == 2) }
			} else {
				sim.cut = nil
			}
		},
		"rolls keys": func(sim *simulation) {
			sim.secrets[memberName(1)]++
			for i, m := range sim.members {
				if m != nil {
					m.SetKeys(sim.now, sim.keys(i))
				}
			}
		},
		"accuses falsely": func(sim *simulation) {
			m := sim.members[0]
			for _, about := range []int{1, 2} {
				if p := m.peers[memberName(about)]; p != nil {
					m.enqueue(sim.now, "lie", signFact(&Fact{Kind: factSuspect, By: memberName(0), About: memberName(about), Inc: p.Inc, Seq: 1 << 40}, m.keys.Sign), 9)
				}
			}
		},
	}
	simulations := 0
	for _, a := range sortedKeys(events) {
		for _, b := range sortedKeys(events) {
			for _, c := range sortedKeys(events) {
				for _, gap := range []time.Duration{second / 2, 20 * second} {
					sim := newSimulation(3, 1)
					sim.run(10 * second)
					for _, what := range []string{a, b, c} {
						events[what](sim)
						sim.run(sim.now + gap)
					}
					sim.cut = nil
					for end := sim.now + 240*second; sim.now < end && !sim.joined(); {
						sim.run(sim.now + 5*second)
					}
					if !sim.joined() || len(sim.violations) > 0 {
						t.Errorf("%s, %s, %s, %v apart: joined %v, violations %v", a, b, c, gap, sim.joined(), sim.violations)
					}
					simulations++
				}
			}
		}
	}
	t.Logf("%d simulations", simulations)
}
