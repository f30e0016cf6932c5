package cell

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// second shortens the many times in these tests.
const second = time.Second

// tenantWithMove returns a tenant with a move that starts at 100 s and has its cut at 130 s. change, if not nil,
// changes the move.
func tenantWithMove(change func(*Move)) *Tenant {
	m := Move{To: []int64{4, 5, 6}, Start: 100 * second, Prepare: 10 * second, Both: 20 * second}
	if change != nil {
		change(&m)
	}
	return &Tenant{Name: "valley", Pods: []int64{1, 2, 3}, Moves: []Move{m}}
}

func TestMoveStepsOverTime(t *testing.T) {
	stop := func(at time.Duration) func(*Move) { return func(m *Move) { m.Stop = at } }
	back := func(at time.Duration) func(*Move) { return func(m *Move) { m.Back = at } }
	oldPods, newPods, none := []int64{1, 2, 3}, []int64{4, 5, 6}, []int64(nil)
	for _, c := range []struct {
		name    string
		change  func(*Move)
		now     time.Duration
		step    Step
		pods    []int64
		newPods []int64
	}{
		{"before the start", nil, 99, Settled, oldPods, none},
		{"at the start", nil, 100, Preparing, oldPods, none},
		{"prepared", nil, 110, Both, oldPods, newPods},
		{"before the cut", nil, 129, Both, oldPods, newPods},
		{"at the cut", nil, 130, Draining, newPods, none},
		{"before the end of draining", nil, 154, Draining, newPods, none},
		{"drained", nil, 155, Drained, newPods, none},
		{"stopped in prepare", stop(105 * second), 500, Preparing, oldPods, none},
		{"stopped in both", stop(115 * second), 500, Both, oldPods, newPods},
		{"stopped at the cut, too late", stop(130 * second), 500, Drained, newPods, none},
		{"before it is reverted before the cut", back(115 * second), 114, Both, oldPods, newPods},
		{"reverted before the cut", back(115 * second), 115, Returned, oldPods, none},
		{"before it is reverted while draining", back(135 * second), 134, Draining, newPods, none},
		{"reverted while draining", back(135 * second), 135, Returning, oldPods, none},
		{"reverted and drained", back(135 * second), 160, Returned, oldPods, none},
		{"stopped, before it is reverted", func(m *Move) { m.Stop, m.Back = 115*second, 300*second }, 299, Both, oldPods, newPods},
		{"stopped, then reverted", func(m *Move) { m.Stop, m.Back = 115*second, 300*second }, 300, Returned, oldPods, none},
	} {
		tenant := tenantWithMove(c.change)
		if field, why := tenant.Check(); field != "" {
			t.Errorf("%s: Check rejects %s: %s", c.name, field, why)
		}
		step, _ := tenant.Step(c.now*second, 12*second, second)
		p := tenant.PlaceUnkeyed(c.now * second)
		if step != c.step || !slices.Equal(p.Pods, c.pods) || !slices.Equal(p.NewPods, c.newPods) {
			t.Errorf("%s: step %v, pods %v and %v; want %v, %v and %v", c.name, step, p.Pods, p.NewPods, c.step, c.pods, c.newPods)
		}
	}
}

func TestInvalidMovesAreRejected(t *testing.T) {
	for field, change := range map[string]func(*Tenant){
		"pods":             func(v *Tenant) { v.Pods = nil },
		"moves[0].to":      func(v *Tenant) { v.Moves[0].To = []int64{4, 4} },
		"moves[0].keys":    func(v *Tenant) { v.Moves[0].KeyFrom, v.Moves[0].KeyBelow = 0.5, 0.2 },
		"moves[0].prepare": func(v *Tenant) { v.Moves[0].Prepare = 9 * second },
		"moves[0].both":    func(v *Tenant) { v.Moves[0].Both = -1 },
		"moves[0].stop":    func(v *Tenant) { v.Moves[0].Stop = 99 * second },
		"moves[0].back":    func(v *Tenant) { v.Moves[0].Back = 99 * second },
		"moves[1].start":   func(v *Tenant) { v.Moves = append(v.Moves, v.Moves[0]) },
	} {
		tenant := tenantWithMove(nil)
		if f, _ := tenant.Check(); f != "" {
			t.Fatal(f)
		}
		change(tenant)
		if f, why := tenant.Check(); f != field || why == "" {
			t.Errorf("want an error for %s, got one for %q: %q", field, f, why)
		}
	}
}

// keyThatChangesHome returns a key whose home is another one after the tenant's first move.
func keyThatChangesHome(tenant *Tenant) uint64 {
	for i := 0; ; i++ {
		if k := KeyHash(tenant.Name, fmt.Sprint("k-", i)); HomePod(k, tenant.Pods) != HomePod(k, tenant.Moves[0].To) {
			return k
		}
	}
}

// Placement of a key around a cut, with clocks that differ by up to 1 s and a window of 12 s: a request is ambiguous
// exactly while its key may have run on the other side.
func TestKeyedPlacementAroundCut(t *testing.T) {
	tenant := tenantWithMove(nil)
	key := keyThatChangesHome(tenant)
	for _, c := range []struct {
		now       time.Duration
		repeat    bool
		marked    bool
		newSide   bool
		ambiguous bool
	}{
		{128, true, true, false, false},
		{129, true, true, false, true}, // a node whose clock is ahead may have sent it to the new side
		{129, false, true, false, false},
		{129, false, false, false, true},
		{130, false, true, true, false},
		{130, false, false, true, true},
		{154, true, true, true, true},
		{155, true, true, true, false},
		{155, false, false, true, false},
	} {
		p := tenant.PlaceKeyed(c.now*second, key, 12*second, c.repeat, Assumptions{RepeatsMarked: c.marked, MaxClockSkew: second})
		want := HomePod(key, tenant.Pods)
		if c.newSide {
			want = HomePod(key, tenant.Moves[0].To)
		}
		if p.Ambiguous != c.ambiguous || p.Pods[0] != want || !p.KeyBound {
			t.Errorf("%+v: %+v, want pod %d", c, p, want)
		}
	}
	// A range of keys moves alone; other keys and requests without a key stay.
	tenant = tenantWithMove(func(m *Move) { m.KeyFrom, m.KeyBelow = 0, 0.5 })
	moved := 0
	for i := range 2000 {
		k := KeyHash(tenant.Name, fmt.Sprint(i))
		if p := tenant.PlaceKeyed(200*second, k, 12*second, false, Assumptions{}); p.Pods[0] >= 4 {
			moved++
			if k >= 1<<63 {
				t.Fatal("a key outside the range moved")
			}
		}
	}
	if p := tenant.PlaceUnkeyed(200 * second); moved < 900 || moved > 1100 || p.Pods[0] != 1 || p.NewPods != nil {
		t.Errorf("%d of 2,000 keys moved in a move of half the keys; placement without a key: %+v", moved, p)
	}
}

// A pod that is added to the list takes some keys, and all other keys stay in their pods.
func TestNewPodTakesOnlyItsOwnKeys(t *testing.T) {
	moved := 0
	for i := range 3000 {
		k := KeyHash("valley", fmt.Sprint(i))
		before, after := HomePod(k, []int64{1, 2, 3}), HomePod(k, []int64{3, 1, 4, 2})
		if before != after {
			if after != 4 {
				t.Fatalf("a key moved from pod %d to pod %d, want 4", before, after)
			}
			moved++
		}
	}
	if moved < 650 || moved > 850 {
		t.Errorf("%d of 3,000 keys moved to the fourth pod, want about 750", moved)
	}
}

// A KeyTracker must find a key in the pod of its first send until the window ends, evict the oldest key when it is
// full, and not grow. A random sequence is compared with an unbounded map.
func TestKeyTracker(t *testing.T) {
	k := NewKeyTracker(3)
	k.Sent(0, 1, 7, 12*second)
	k.Sent(5*second, 1, 8, 12*second) // the window starts at the first send
	if pod, known := k.Find(11*second, 1); pod != 7 || !known {
		t.Error(pod, known)
	}
	if _, known := k.Find(12*second, 1); known {
		t.Error("a key is found after its window")
	}
	k.Sent(12*second, 1, 9, 12*second)
	for i := uint64(2); i < 5; i++ {
		k.Sent(13*second, i, 1, 12*second)
	}
	if _, known := k.Find(13*second, 1); known || k.Len() != 3 || k.Evicted() != 1 {
		t.Error("the oldest key was not evicted; length, evicted =", k.Len(), k.Evicted())
	}
	for i := range uint64(100000) {
		k.Sent(time.Duration(i)*second, i, 1, 12*second)
	}
	if k.Len() > 3 || len(k.order) > 6 || cap(k.order) > 16 {
		t.Error("the tracker grows beyond its limit:", k.Len(), len(k.order), cap(k.order))
	}
	rapid.Check(t, func(t *rapid.T) {
		const maxKeys = 8
		k, sent, now, sends := NewKeyTracker(maxKeys), map[uint64]keyPlacement{}, time.Duration(0), 0
		sendNumber := map[uint64]int{} // value of sends when the key was sent
		for range 60 {
			now += time.Duration(rapid.IntRange(0, 3).Draw(t, "wait")) * second
			key, pod := rapid.Uint64Range(0, 12).Draw(t, "key"), rapid.Int64Range(0, 3).Draw(t, "pod")
			p, known := k.Find(now, key)
			if known && (sent[key].pod != p || now >= sent[key].until) {
				t.Fatalf("key %d at %v: found in pod %d, sent to %+v", key, now, p, sent[key])
			}
			if !known && now < sent[key].until && (k.Evicted() == 0 || sends-sendNumber[key] < maxKeys) {
				t.Fatalf("key %d at %v is not found, with %d evicted and %d keys sent since", key, now, k.Evicted(), sends-sendNumber[key])
			}
			window := time.Duration(rapid.IntRange(1, 9).Draw(t, "window")) * second
			if !known { // its window has ended or it was evicted, and this send counts as its first
				sends++
				sent[key], sendNumber[key] = keyPlacement{pod, now + window}, sends
			}
			k.Sent(now, key, pod, window)
		}
	})
}

// A key that was evicted within its window may be sent again to another pod with a window that ends at the same time as
// the first. The entry of the first send must then not remove the key: it is found in the pod of the last send until
// the window ends.
func TestEvictedKeySentAgainWithSameExpiry(t *testing.T) {
	k := NewKeyTracker(3)
	k.Sent(0, 1, 7, 9*second)
	for i := uint64(2); i < 5; i++ {
		k.Sent(second, i, 7, 9*second)
	}
	if _, known := k.Find(second, 1); known || k.Evicted() != 1 {
		t.Fatal("the oldest key was not evicted; evicted =", k.Evicted())
	}
	k.Sent(6*second, 1, 8, 3*second)
	if pod, known := k.Find(6*second, 1); pod != 8 || !known {
		t.Error(pod, known)
	}
	k.Sent(6*second, 5, 7, 9*second)
	k.Sent(6*second, 6, 7, 9*second)
	if pod, known := k.Find(8*second, 1); pod != 8 || !known {
		t.Error("evicted before older keys; pod, known =", pod, known)
	}
	if _, known := k.Find(9*second, 1); known {
		t.Error("a key is found after its window")
	}
}

// Times in the model, in ticks of one second.
const (
	modelWindow   = 2  // how long a pod drops repeats of a key
	modelLastTick = 14 // the last tick at which a request is sent
)

// modelResult is the result of exploring all interleavings: a trace of each violation, and the number of runs and
// requests.
type modelResult struct {
	violations []string
	runs       int
	sent       int
	ambiguous  int
}

// exploreInterleavings sends a request with a key and two repeats of it, with new request ids, at two nodes at all
// times, with all clocks that differ by no more than skew. Each node may lose its memory between any two of them. A
// file that changes the settings from first to then reaches the nodes at several times up to latestRead. It is a
// violation if the key is sent to a pod within the window after it was sent to another pod. Most requests must be sent
// rather than be ambiguous, which the caller checks.
func exploreInterleavings(first, then *Tenant, latestRead int, assumptions Assumptions, assumedWindow time.Duration, skew int) modelResult {
	var out modelResult
	key := keyThatChangesHome(first)
	type node struct {
		clock  int
		reads  int // tick from which on the node has read the new file
		memory *KeyTracker
	}
	type send struct {
		at  int
		pod int64
	}
	arrivals := []int{0}
	if then != first {
		arrivals = append(arrivals, latestRead/2, latestRead)
	}
	for _, clocks := range [][2]int{{0, 0}, {0, skew}, {skew, 0}} {
		for _, reads0 := range arrivals {
			for _, reads1 := range []int{0, latestRead} {
				if then == first && reads1 > 0 {
					continue
				}
				// Bits 0 and 1 select the nodes of the two repeats. Then for each repeat, a bit per node makes the node
				// restart before it.
				for plan := range 1 << 6 {
					if plan>>3&1 == 1 || plan>>5&1 == 1 && plan&1 == 0 {
						continue // the restarted node has no memory yet
					}
					for t0 := 0; t0 <= modelLastTick; t0++ {
						for t1 := t0; t1 <= min(modelLastTick, t0+modelWindow+1); t1++ {
							for t2 := t1; t2 <= min(modelLastTick, t1+modelWindow+1); t2++ {
								out.runs++
								nodes := [2]node{{clocks[0], reads0, NewKeyTracker(4)}, {clocks[1], reads1, NewKeyTracker(4)}}
								var sends [3]send
								done := 0
								for i, at := range [3]int{t0, t1, t2} {
									who := 0
									if i > 0 {
										who = plan >> (i - 1) & 1
										for n := range nodes {
											if plan>>(2*i+n)&1 == 1 {
												nodes[n].memory = NewKeyTracker(4)
											}
										}
									}
									n := &nodes[who]
									tenant := first
									if at >= n.reads {
										tenant = then
									}
									now := time.Duration(at+n.clock) * second
									p := tenant.PlaceKeyed(now, key, assumedWindow, i > 0, assumptions)
									pod := p.Pods[0]
									if sentTo, known := n.memory.Find(now, key); known {
										pod, p.Ambiguous = sentTo, false
									}
									if p.Ambiguous {
										out.ambiguous++
										continue
									}
									n.memory.Sent(now, key, pod, assumedWindow)
									for _, s := range sends[:done] {
										if s.pod != pod && at-s.at < modelWindow {
											out.violations = append(out.violations, fmt.Sprintf("clocks %v, files read at %d and %d, plan %06b: sent to pod %d at %d, to %d at %d",
												clocks, reads0, reads1, plan, s.pod, s.at, pod, at))
										}
									}
									sends[done] = send{at, pod}
									done++
									out.sent++
								}
							}
						}
					}
				}
			}
		}
	}
	return out
}

// In all interleavings of two nodes, their restarts, their clocks, the arrival of a new file and the repeats of a key,
// the key must stay in one pod during its window, for each step in which a move can be stopped or reverted. Assumptions
// that are too weak must lead to violations, which shows that the exploration finds them.
func TestNoInterleavingSendsKeyToTwoPods(t *testing.T) {
	move := func(change func(*Move)) *Tenant {
		return tenantWithMove(func(m *Move) {
			m.Start, m.Prepare, m.Both = 2*second, 2*second, 2*second // the cut is at 6
			if change != nil {
				change(m)
			}
		})
	}
	plain := move(nil)
	marked, unmarked := Assumptions{RepeatsMarked: true, MaxClockSkew: second}, Assumptions{MaxClockSkew: second}
	for name, c := range map[string]struct {
		then       *Tenant
		latestRead int // every node has read the new file a tick and the skew before the change that it brings
	}{
		"no new file":             {plain, 0},
		"move added":              {plain, 1},
		"stopped in prepare":      {move(func(m *Move) { m.Stop = 3 * second }), 1},
		"stopped in both":         {move(func(m *Move) { m.Stop = 5 * second }), 3},
		"reverted before the cut": {move(func(m *Move) { m.Back = 5 * second }), 3},
		"reverted at the cut":     {move(func(m *Move) { m.Back = 6 * second }), 4},
		"reverted while draining": {move(func(m *Move) { m.Back = 8 * second }), 6},
		"reverted once drained":   {move(func(m *Move) { m.Back = 11 * second }), 9},
	} {
		first := plain
		if name == "move added" {
			first = move(func(m *Move) { m.Start = 1000 * second })
		}
		for _, a := range []Assumptions{marked, unmarked} {
			got := exploreInterleavings(first, c.then, c.latestRead, a, modelWindow*second, 1)
			if len(got.violations) > 0 {
				t.Errorf("%s, %+v: %d violations, first: %s", name, a, len(got.violations), got.violations[0])
			}
			if got.sent < got.runs/2 || got.ambiguous == 0 && !strings.HasPrefix(name, "stopped") && !strings.HasSuffix(name, "the cut") {
				t.Errorf("%s, %+v: %d runs, %d sent, %d ambiguous: too few for the check to mean anything", name, a, got.runs, got.sent, got.ambiguous)
			}
			t.Logf("%s, repeats marked %v: %d runs, %d sent, %d ambiguous", name, a.RepeatsMarked, got.runs, got.sent, got.ambiguous)
		}
	}
	// Assumptions that are too weak lead to violations.
	if got := exploreInterleavings(plain, plain, 0, Assumptions{RepeatsMarked: true}, modelWindow*second, 1); len(got.violations) == 0 {
		t.Error("no violation although the nodes assume that their clocks agree")
	}
	if got := exploreInterleavings(plain, plain, 0, marked, 0, 1); len(got.violations) == 0 {
		t.Error("no violation although the old side is drained for no time")
	}
	late := move(func(m *Move) { m.Back = 11 * second })
	if got := exploreInterleavings(plain, late, 13, marked, modelWindow*second, 1); len(got.violations) == 0 {
		t.Error("no violation although the file arrives after the change that it brings")
	}
}
