package cell

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const second = time.Second

// moved is a tenant that moves at 100 s, is cut over at 130 s, and whatever else a test wants of the move.
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
	old, new, none := []int64{1, 2, 3}, []int64{4, 5, 6}, []int64(nil)
	for _, c := range []struct {
		name   string
		change func(*Move)
		now    time.Duration
		step   Step
		pods   []int64
		also   []int64
	}{
		{"before", nil, 99, Settled, old, none},
		{"prepare", nil, 100, Preparing, old, none},
		{"both", nil, 110, Both, old, new},
		{"still both", nil, 129, Both, old, new},
		{"cut", nil, 130, Draining, new, none},
		{"draining", nil, 154, Draining, new, none},
		{"drained", nil, 155, Drained, new, none},
		{"stopped in prepare", stop(105 * second), 500, Preparing, old, none},
		{"stopped in both", stop(115 * second), 500, Both, old, new},
		{"stopped too late", stop(130 * second), 500, Drained, new, none},
		{"back before the cut", back(115 * second), 114, Both, old, new},
		{"and after", back(115 * second), 115, Returned, old, none},
		{"back while draining", back(135 * second), 134, Draining, new, none},
		{"returning", back(135 * second), 135, Returning, old, none},
		{"returned", back(135 * second), 160, Returned, old, none},
		{"stopped, then back", func(m *Move) { m.Stop, m.Back = 115*second, 300*second }, 299, Both, old, new},
		{"the way back of a stopped one", func(m *Move) { m.Stop, m.Back = 115*second, 300*second }, 300, Returned, old, none},
	} {
		v := tenantWithMove(c.change)
		if f, why := v.Check(); f != "" {
			t.Errorf("%s: %s %s", c.name, f, why)
		}
		step, _ := v.Step(c.now*second, 12*second, second)
		p := v.PlaceUnkeyed(c.now * second)
		if step != c.step || !slices.Equal(p.Pods, c.pods) || !slices.Equal(p.NewPods, c.also) {
			t.Errorf("%s: %v, %v and %v; want %v, %v and %v", c.name, step, p.Pods, p.NewPods, c.step, c.pods, c.also)
		}
	}
}

func TestInvalidMovesAreRejected(t *testing.T) {
	for field, change := range map[string]func(*Tenant){
		"pods":             func(v *Tenant) { v.Pods = nil },
		"moves[0].to":      func(v *Tenant) { v.Moves[0].To = []int64{4, 4} },
		"moves[0].keys":    func(v *Tenant) { v.Moves[0].From, v.Moves[0].Below = 0.5, 0.2 },
		"moves[0].prepare": func(v *Tenant) { v.Moves[0].Prepare = 9 * second },
		"moves[0].both":    func(v *Tenant) { v.Moves[0].Both = -1 },
		"moves[0].stop":    func(v *Tenant) { v.Moves[0].Stop = 99 * second },
		"moves[0].back":    func(v *Tenant) { v.Moves[0].Back = 99 * second },
		"moves[1].start":   func(v *Tenant) { v.Moves = append(v.Moves, v.Moves[0]) },
	} {
		v := tenantWithMove(nil)
		if f, _ := v.Check(); f != "" {
			t.Fatal(f)
		}
		change(v)
		if f, why := v.Check(); f != field || why == "" {
			t.Errorf("%s: %q %q", field, f, why)
		}
	}
}

// across is a key whose home is another one after the move.
func keyThatChangesHome(v *Tenant) uint64 {
	for i := 0; ; i++ {
		if k := Key(v.Name, fmt.Sprint("k-", i)); Home(k, v.Pods) != Home(k, v.Moves[0].To) {
			return k
		}
	}
}

// What a key may do around a cut, with clocks that differ by a second and a window of 12.
func TestKeyedPlacementAroundCut(t *testing.T) {
	v := tenantWithMove(nil)
	key := keyThatChangesHome(v)
	for _, c := range []struct {
		now    time.Duration
		repeat bool
		marked bool
		new    bool
		doubt  bool
	}{
		{128, true, true, false, false},
		{129, true, true, false, true}, // a node ahead may have sent it to the other side
		{129, false, true, false, false},
		{129, false, false, false, true},
		{130, false, true, true, false},
		{130, false, false, true, true},
		{154, true, true, true, true},
		{155, true, true, true, false},
		{155, false, false, true, false},
	} {
		p := v.PlaceKeyed(c.now*second, key, 12*second, c.repeat, Doubt{Marked: c.marked, Skew: second})
		want := Home(key, v.Pods)
		if c.new {
			want = Home(key, v.Moves[0].To)
		}
		if p.Ambiguous != c.doubt || p.Pods[0] != want || !p.KeyBound {
			t.Errorf("%+v: %+v, want pod %d", c, p, want)
		}
	}
	// A range of keys moves alone; requests without a key stay.
	v = tenantWithMove(func(m *Move) { m.From, m.Below = 0, 0.5 })
	n := 0
	for i := range 2000 {
		k := Key(v.Name, fmt.Sprint(i))
		if p := v.PlaceKeyed(200*second, k, 12*second, false, Doubt{}); p.Pods[0] >= 4 {
			n++
			if k >= 1<<63 {
				t.Fatal("a key beyond the range moved")
			}
		}
	}
	if p := v.PlaceUnkeyed(200 * second); n < 900 || n > 1100 || p.Pods[0] != 1 || p.NewPods != nil {
		t.Errorf("%d of 2,000 moved with half the keys; without a key: %+v", n, p)
	}
}

// A pod that comes to a list wins some keys, and all others stay.
func TestNewPodTakesOnlyItsOwnKeys(t *testing.T) {
	moved := 0
	for i := range 3000 {
		k := Key("valley", fmt.Sprint(i))
		a, b := Home(k, []int64{1, 2, 3}), Home(k, []int64{3, 1, 4, 2})
		if a != b {
			if b != 4 {
				t.Fatalf("from %d to %d", a, b)
			}
			moved++
		}
	}
	if moved < 650 || moved > 850 {
		t.Errorf("%d of 3,000 moved to the fourth pod", moved)
	}
}

func TestKeyTracker(t *testing.T) {
	k := NewKeyTracker(3)
	k.Sent(0, 1, 7, 12*second)
	k.Sent(5*second, 1, 8, 12*second) // its window runs from the first
	if pod, known := k.Find(11*second, 1); pod != 7 || !known {
		t.Error(pod, known)
	}
	if _, known := k.Find(12*second, 1); known {
		t.Error("known past its window")
	}
	k.Sent(12*second, 1, 9, 12*second)
	for i := uint64(2); i < 5; i++ {
		k.Sent(13*second, i, 1, 12*second)
	}
	if _, known := k.Find(13*second, 1); known || k.Len() != 3 || k.Evicted() != 1 {
		t.Error("the oldest is kept", k.Len(), k.Evicted())
	}
	for i := range uint64(100000) {
		k.Sent(time.Duration(i)*second, i, 1, 12*second)
	}
	if k.Len() > 3 || len(k.order) > 6 || cap(k.order) > 16 {
		t.Error("it grows", k.Len(), len(k.order), cap(k.order))
	}
	rapid.Check(t, func(t *rapid.T) { // against a book without bound
		const most = 8
		k, book, now, sends := NewKeyTracker(most), map[uint64]keyPlacement{}, time.Duration(0), 0
		since := map[uint64]int{} // what had been noted when a key was
		for range 60 {
			now += time.Duration(rapid.IntRange(0, 3).Draw(t, "wait")) * second
			key, pod := rapid.Uint64Range(0, 12).Draw(t, "key"), rapid.Int64Range(0, 3).Draw(t, "pod")
			p, known := k.Find(now, key)
			if known && (book[key].pod != p || now >= book[key].until) {
				t.Fatalf("key %d at %v: pod %d, sent to %+v", key, now, p, book[key])
			}
			if !known && now < book[key].until && (k.Evicted() == 0 || sends-since[key] < most) {
				t.Fatalf("key %d at %v is forgotten, with %d pushed out and %d noted since", key, now, k.Evicted(), sends-since[key])
			}
			window := time.Duration(rapid.IntRange(1, 9).Draw(t, "window")) * second
			if !known { // its time was up, or it was pushed out: what it is sent as now counts
				sends++
				book[key], since[key] = keyPlacement{pod, now + window}, sends
			}
			k.Sent(now, key, pod, window)
		}
	})
}

// A key that was pushed out within its window and is sent anew elsewhere, so that its window ends at the very instant that the
// first would have ended at, is found where it was sent last, and stays for as long as others do.
func TestEvictedKeySentAgainWithSameExpiry(t *testing.T) {
	k := NewKeyTracker(3)
	k.Sent(0, 1, 7, 9*second)
	for i := uint64(2); i < 5; i++ {
		k.Sent(second, i, 7, 9*second)
	}
	if _, known := k.Find(second, 1); known || k.Evicted() != 1 {
		t.Fatal("the oldest was not pushed out:", k.Evicted())
	}
	k.Sent(6*second, 1, 8, 3*second)
	if pod, known := k.Find(6*second, 1); pod != 8 || !known {
		t.Error(pod, known)
	}
	k.Sent(6*second, 5, 7, 9*second)
	k.Sent(6*second, 6, 7, 9*second)
	if pod, known := k.Find(8*second, 1); pod != 8 || !known {
		t.Error("forgotten before older ones:", pod, known)
	}
	if _, known := k.Find(9*second, 1); known {
		t.Error("known past its window")
	}
}

// steps of the world that the check below goes through: a tick is a second, clocks differ by one, the window is two.
const (
	modelWindow   = 2
	modelLastTick = 14
)

// checked is what a check of all interleavings found: a story for each broken rule, and how much it went through.
type modelResult struct {
	violations []string
	runs       int
	sent       int
	ambiguous  int
}

// explore plays a key's first try and two repeats, with new request ids, at two nodes at all times, under all clocks that
// differ by no more than skew; each node may lose its memory between any two of them; and the file that has the terms
// `then` in place of `first` comes to the nodes at all times until the latest that is allowed. No key may be sent to a pod
// within the window after it was sent to another one; far from changes it must be sent.
func exploreInterleavings(first, then *Tenant, latest int, believed Doubt, assumed time.Duration, skew int) modelResult {
	var out modelResult
	key := keyThatChangesHome(first)
	type node struct {
		clock  int
		reads  int // the new file from then on
		memory *KeyTracker
	}
	type send struct {
		at  int
		pod int64
	}
	arrivals := []int{0}
	if then != first {
		arrivals = append(arrivals, latest/2, latest)
	}
	for _, clocks := range [][2]int{{0, 0}, {0, skew}, {skew, 0}} {
		for _, reads0 := range arrivals {
			for _, reads1 := range []int{0, latest} {
				if then == first && reads1 > 0 {
					continue
				}
				for plan := range 1 << 6 { // two bits of nodes, then before each repeat one for each node that restarts
					if plan>>3&1 == 1 || plan>>5&1 == 1 && plan&1 == 0 {
						continue // it has nothing to forget
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
									terms := first
									if at >= n.reads {
										terms = then
									}
									now := time.Duration(at+n.clock) * second
									p := terms.PlaceKeyed(now, key, assumed, i > 0, believed)
									pod := p.Pods[0]
									if where, known := n.memory.Find(now, key); known {
										pod, p.Ambiguous = where, false
									}
									if p.Ambiguous {
										out.ambiguous++
										continue
									}
									n.memory.Sent(now, key, pod, assumed)
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

// All interleavings of two nodes, their restarts, their clocks, a new file's arrival and a key's repeats keep a key in its
// pod, for each step that a move can be stopped or turned back in; and the check finds what terms that are too weak would
// break.
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
	marked, unmarked := Doubt{Marked: true, Skew: second}, Doubt{Skew: second}
	for name, c := range map[string]struct {
		then   *Tenant
		latest int // the new file is everywhere a tick and the skew before the change that it brings
	}{
		"plain":               {plain, 0},
		"a move comes":        {plain, 1},
		"stopped in prepare":  {move(func(m *Move) { m.Stop = 3 * second }), 1},
		"stopped in both":     {move(func(m *Move) { m.Stop = 5 * second }), 3},
		"back before the cut": {move(func(m *Move) { m.Back = 5 * second }), 3},
		"back at the cut":     {move(func(m *Move) { m.Back = 6 * second }), 4},
		"back while draining": {move(func(m *Move) { m.Back = 8 * second }), 6},
		"back once drained":   {move(func(m *Move) { m.Back = 11 * second }), 9},
	} {
		first := plain
		if name == "a move comes" {
			first = move(func(m *Move) { m.Start = 1000 * second })
		}
		for _, d := range []Doubt{marked, unmarked} {
			got := exploreInterleavings(first, c.then, c.latest, d, modelWindow*second, 1)
			if len(got.violations) > 0 {
				t.Errorf("%s, %+v: %d broken, first: %s", name, d, len(got.violations), got.violations[0])
			}
			if got.sent < got.runs/2 || got.ambiguous == 0 && !strings.HasPrefix(name, "stopped") && !strings.HasSuffix(name, "the cut") {
				t.Errorf("%s, %+v: %d runs, %d sent, %d in doubt: the check is empty", name, d, got.runs, got.sent, got.ambiguous)
			}
			t.Logf("%s, marked %v: %d runs, %d sent, %d turned away in doubt", name, d.Marked, got.runs, got.sent, got.ambiguous)
		}
	}
	// Weaker terms are found out.
	if got := exploreInterleavings(plain, plain, 0, Doubt{Marked: true}, modelWindow*second, 1); len(got.violations) == 0 {
		t.Error("nodes that take their clocks for alike break nothing")
	}
	if got := exploreInterleavings(plain, plain, 0, marked, 0, 1); len(got.violations) == 0 {
		t.Error("draining for no time breaks nothing")
	}
	late := move(func(m *Move) { m.Back = 11 * second })
	if got := exploreInterleavings(plain, late, 13, marked, modelWindow*second, 1); len(got.violations) == 0 {
		t.Error("a file that comes after the change breaks nothing")
	}
}
