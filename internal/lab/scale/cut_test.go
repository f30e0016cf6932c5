package scale

import (
	"bufio"
	"encoding/json"
	"io"
	"slices"
	"strings"
	"testing"
	"time"

	"portstall/internal/resource"
)

// Two regions that lose each other lose the ways of nodes and of control processes between them, both ways, and no others; all are back
// at the heal.
func TestCutRegions(t *testing.T) {
	f := &fleet{controls: []*controlProcess{{}, {}, {}}}
	for range 3 {
		f.discoveryRelays = append(f.discoveryRelays, &Relay{})
		f.controlRelays, f.controlLinks = append(f.controlRelays, []*Relay{{}, {}, {}}), append(f.controlLinks, []*Relay{{}, {}, {}})
	}
	for i := range 3 {
		f.controlLinks[i][i] = nil
	}
	cut := func() (list []string) {
		for kind, all := range map[string][][]*Relay{"node": f.controlRelays, "control": f.controlLinks, "discovery": {f.discoveryRelays}} {
			for from, l := range all {
				for to, r := range l {
					if r != nil && r.cut {
						list = append(list, kind+" "+string(rune('a'+from))+string(rune('a'+to)))
					}
				}
			}
		}
		slices.Sort(list)
		return list
	}
	f.cutRegions(2, 0, true)
	if got, want := cut(), []string{"control ac", "control ca", "node ac", "node ca"}; !slices.Equal(got, want) {
		t.Errorf("two regions: %v, want %v", got, want)
	}
	f.cutRegions(2, 1, true)
	if got, want := cut(), []string{"control ac", "control bc", "control ca", "control cb", "node ac", "node bc", "node ca", "node cb"}; !slices.Equal(got, want) {
		t.Errorf("a region alone: %v, want %v", got, want)
	}
	f.cutRegions(2, 0, false)
	f.cutRegions(2, 1, false)
	if got := cut(); len(got) > 0 {
		t.Errorf("left behind: %v", got)
	}
}

// answering is a worker that answers each order by the same reply.
func stubWorker(t *testing.T, r workerReply) *child {
	in, orders := io.Pipe()
	answers, out := io.Pipe()
	go func() {
		for lines := bufio.NewScanner(in); lines.Scan(); {
			json.NewEncoder(out).Encode(r)
		}
	}()
	t.Cleanup(func() { orders.Close(); out.Close() })
	return &child{in: orders, out: bufio.NewReader(answers)}
}

// A cut that a change gets through is none, and fails the run.
func TestLeakingCutFailsRun(t *testing.T) {
	inside := func(i int) bool { return i == 2 }
	c := trackedChange{configVersion: resource.Version{Epoch: 1, Number: 2}}
	for _, has := range []int64{0, 7} {
		r := &run{plan: &Plan{}}
		w := stubWorker(t, workerReply{At: []int64{5, 6, has}, Figures: map[string]float64{"back": 3}})
		e := &activeFault{fleet: &fleet{run: r, plan: &FleetPlan{Hollow: 3}, workers: []*child{nil, w}, hollowNodes: [][]int{nil, {0, 1, 2}}}}
		if err := e.checkIsolated(t.Context(), "a cut", c, inside); err != nil {
			t.Fatal(err)
		}
		if b := r.report.Broken; (len(b) > 0) != (has > 0) || has > 0 && !strings.Contains(b[0], "a cut: 1 of its nodes have a change") {
			t.Errorf("%d: %v", has, b)
		}
		if times, err := e.regressions(t.Context()); err != nil || times != 3 {
			t.Errorf("%v times back, want 3: %v", times, err)
		}
	}
}

// A process that goes back to an older version is counted, and a version is had from the first time on that it or a later one was told.
func TestVersionHistory(t *testing.T) {
	var h versionHistory
	at := func(s int64) time.Time { return time.Unix(s, 0) }
	for i, n := range []uint64{3, 3, 5, 4, 4, 6} {
		h.record(resource.Version{Epoch: 1, Number: n}, at(int64(i)))
	}
	if h.regressions != 1 {
		t.Errorf("%d times back, want 1", h.regressions)
	}
	if got := h.firstSeen(resource.Version{Epoch: 1, Number: 6}); got != at(5) {
		t.Errorf("%v", got)
	}
	if got := h.firstSeen(resource.Version{Epoch: 2}); !got.IsZero() {
		t.Errorf("%v", got)
	}
}
