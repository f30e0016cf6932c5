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

// A cut between two regions cuts the connections of nodes and of control processes between them, in both directions,
// and no others. All are restored at the end.
func TestCutRegions(t *testing.T) {
	f := &fleet{controls: []*controlProcess{{}, {}, {}}}
	for range 3 {
		f.discoveryRelays = append(f.discoveryRelays, &Relay{})
		f.controlRelays, f.controlLinks = append(f.controlRelays, []*Relay{{}, {}, {}}),
			append(f.controlLinks, []*Relay{{}, {}, {}})
	}
	for i := range 3 {
		f.controlLinks[i][i] = nil
	}
	cut := func() (list []string) {
		for kind, all := range map[string][][]*Relay{"node": f.controlRelays, "control": f.controlLinks,
			"discovery": {f.discoveryRelays}} {
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
	if got, want := cut(), []string{"control ac", "control bc", "control ca", "control cb", "node ac", "node bc",
		"node ca", "node cb"}; !slices.Equal(got, want) {
		t.Errorf("a region alone: %v, want %v", got, want)
	}
	f.cutRegions(2, 0, false)
	f.cutRegions(2, 1, false)
	if got := cut(); len(got) > 0 {
		t.Errorf("still cut at the end: %v", got)
	}
}

// stubWorker returns a worker that gives the same reply to each command.
func stubWorker(t *testing.T, r workerReply) *child {
	in, commands := io.Pipe()
	replies, out := io.Pipe()
	go func() {
		for lines := bufio.NewScanner(in); lines.Scan(); {
			json.NewEncoder(out).Encode(r)
		}
	}()
	t.Cleanup(func() { commands.Close(); out.Close() })
	return &child{in: commands, out: bufio.NewReader(replies)}
}

// A change that gets through a cut fails the run: the cut was not complete.
func TestLeakingCutFailsRun(t *testing.T) {
	inside := func(i int) bool { return i == 2 }
	c := trackedChange{configVersion: resource.Version{Epoch: 1, Number: 2}}
	for _, has := range []int64{0, 7} {
		r := &run{plan: &Plan{}}
		w := stubWorker(t, workerReply{At: []int64{5, 6, has}, Figures: map[string]float64{"back": 3}})
		e := &activeFault{fleet: &fleet{run: r, plan: &FleetPlan{Hollow: 3}, workers: []*child{nil, w},
			hollowNodes: [][]int{nil, {0, 1, 2}}}}
		if err := e.checkIsolated(t.Context(), "a cut", c, inside); err != nil {
			t.Fatal(err)
		}
		if b := r.report.Broken; (len(b) > 0) != (has > 0) || has > 0 &&
			!strings.Contains(b[0], "a cut: 1 of its nodes have a change") {
			t.Errorf("isolated node with a change since %d: failures %v", has, b)
		}
		if times, err := e.regressions(t.Context()); err != nil || times != 3 {
			t.Errorf("%v regressions, want 3: %v", times, err)
		}
	}
}

// A change to an older version is counted, and a process has a version from when it first reported that or a later one.
func TestVersionHistory(t *testing.T) {
	var h versionHistory
	at := func(s int64) time.Time { return time.Unix(s, 0) }
	for i, n := range []uint64{3, 3, 5, 4, 4, 6} {
		h.record(resource.Version{Epoch: 1, Number: n}, at(int64(i)))
	}
	if h.regressions != 1 {
		t.Errorf("%d regressions, want 1", h.regressions)
	}
	if got := h.firstSeen(resource.Version{Epoch: 1, Number: 6}); got != at(5) {
		t.Errorf("the last version was first seen at %v", got)
	}
	if got := h.firstSeen(resource.Version{Epoch: 2}); !got.IsZero() {
		t.Errorf("a version that no process had was seen at %v", got)
	}
}
