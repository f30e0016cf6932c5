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
func TestSever(t *testing.T) {
	f := &fleet{controls: []*controller{{}, {}, {}}}
	for range 3 {
		f.relays = append(f.relays, &Relay{})
		f.ways, f.links = append(f.ways, []*Relay{{}, {}, {}}), append(f.links, []*Relay{{}, {}, {}})
	}
	for i := range 3 {
		f.links[i][i] = nil
	}
	cut := func() (list []string) {
		for kind, all := range map[string][][]*Relay{"node": f.ways, "control": f.links, "discovery": {f.relays}} {
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
	f.sever(2, 0, true)
	if got, want := cut(), []string{"control ac", "control ca", "node ac", "node ca"}; !slices.Equal(got, want) {
		t.Errorf("two regions: %v, want %v", got, want)
	}
	f.sever(2, 1, true)
	if got, want := cut(), []string{"control ac", "control bc", "control ca", "control cb", "node ac", "node bc", "node ca", "node cb"}; !slices.Equal(got, want) {
		t.Errorf("a region alone: %v, want %v", got, want)
	}
	f.sever(2, 0, false)
	f.sever(2, 1, false)
	if got := cut(); len(got) > 0 {
		t.Errorf("left behind: %v", got)
	}
}

// answering is a worker that answers each order by the same reply.
func answering(t *testing.T, r reply) *child {
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
func TestLeakBreaks(t *testing.T) {
	inside := func(i int) bool { return i == 2 }
	c := change{config: resource.Version{Epoch: 1, Number: 2}}
	for _, has := range []int64{0, 7} {
		r := &run{plan: &Plan{}}
		w := answering(t, reply{At: []int64{5, 6, has}, Figures: map[string]float64{"back": 3}})
		e := &event{fleet: &fleet{run: r, plan: &Fleet{Hollow: 3}, workers: []*child{nil, w}, nodes: [][]int{nil, {0, 1, 2}}}}
		if err := e.tight(t.Context(), "a cut", c, inside); err != nil {
			t.Fatal(err)
		}
		if b := r.report.Broken; (len(b) > 0) != (has > 0) || has > 0 && !strings.Contains(b[0], "a cut: 1 of its nodes have a change") {
			t.Errorf("%d: %v", has, b)
		}
		if times, err := e.back(t.Context()); err != nil || times != 3 {
			t.Errorf("%v times back, want 3: %v", times, err)
		}
	}
}

// A process that goes back to an older version is counted, and a version is had from the first time on that it or a later one was told.
func TestHistory(t *testing.T) {
	var h history
	at := func(s int64) time.Time { return time.Unix(s, 0) }
	for i, n := range []uint64{3, 3, 5, 4, 4, 6} {
		h.note(resource.Version{Epoch: 1, Number: n}, at(int64(i)))
	}
	if h.back != 1 {
		t.Errorf("%d times back, want 1", h.back)
	}
	if got := h.since(resource.Version{Epoch: 1, Number: 6}); got != at(5) {
		t.Errorf("%v", got)
	}
	if got := h.since(resource.Version{Epoch: 2}); !got.IsZero() {
		t.Errorf("%v", got)
	}
}
