package scale

import (
	"strings"
	"testing"
	"time"

	"portstall/internal/control"
	"portstall/internal/resource"
)

// A change that is not in force at all reachable nodes in time fails the run, whatever the budgets say.
func TestLateChangeFailsRun(t *testing.T) {
	discovery, _ := startStubDiscovery(t, 2)
	r := &run{plan: &Plan{}}
	e := &activeFault{fleet: &fleet{run: r, plan: &FleetPlan{Hollow: 2, Limit: time.Second}, discovery: discovery}}
	e.addFaultRow("a fault", "list", []float64{0.1, 0.2}, 2)
	if len(r.report.Broken) != 0 {
		t.Fatalf("broken: %v", r.report.Broken)
	}
	e.addFaultRow("a fault", "configuration", []float64{0.1}, 2)
	if b := r.report.Broken; len(b) != 1 ||
		!strings.Contains(b[0], "a fault: the change of the configuration was in force at 1 of 2 nodes after 1s") {
		t.Fatalf("broken: %v", b)
	}
	if f := r.report.Faults; len(f) != 2 || f[0].P50 != 0.1 || f[0].Worst != 0.2 || f[1].Had != 1 {
		t.Errorf("%+v", f)
	}
}

// The generated files are valid, and a change makes the writer read few files again and changes one resource.
func TestConfigFiles(t *testing.T) {
	r := &run{dir: t.TempDir(), plan: &Plan{Size: Size{Tenants: 1000, Services: 10, Routes: 300}}}
	f, err := r.newConfigFiles(250, true)
	if err != nil {
		t.Fatal(err)
	}
	n, err := control.CheckFiles(f.path)
	if err != nil {
		t.Fatal(err)
	}
	if want := 250 + 1 + 3 + 75; n != want { // contracts, the one for other tenants, services, routes
		t.Errorf("%d resources, want %d", n, want)
	}
	source := control.NewLoader(f.path)
	reading, err := source.Load()
	if err != nil {
		t.Fatal(err)
	}
	source.Accept(reading)
	reads := source.FilesRead()
	seen := map[resource.Key]bool{}
	for range 5 {
		if err := f.changeNext(); err != nil {
			t.Fatal(err)
		}
		r, err := source.Load()
		if err != nil {
			t.Fatal(err)
		}
		source.Accept(r)
		if len(r.Put) != 1 || len(r.Removed) != 0 || r.Put[0].Kind != resource.Contract || seen[r.Put[0].Key] {
			t.Fatalf("%d resources put, %d removed, want one contract that was not changed before: %v", len(r.Put),
				len(r.Removed), r.Put)
		}
		seen[r.Put[0].Key] = true
	}
	// The changed files are read, and once more those that changed just before. There are four files in all.
	if read := source.FilesRead() - reads; read > 15 {
		t.Errorf("%d files were read for 5 changes, want at most 15", read)
	}
}

// A node has a version from when it was first seen with that or a later one, separately for list and configuration.
// Changes to an older configuration are counted, also across a restart, and the history stays bounded.
func TestFirstSeenTimes(t *testing.T) {
	n := &hollowNode{}
	at := func(s int64) time.Time { return time.Unix(s, 0) }
	for i, v := range []uint64{1, 1, 3, 3, 7} {
		n.history[0].record(resource.Version{Number: v}, at(int64(i)))
	}
	n.history[1].record(resource.Version{Epoch: 2, Number: 5}, at(10))
	n.history[1].record(resource.Version{Epoch: 3}, at(11))
	w := &worker{nodes: []*hollowNode{n, {}}}
	for _, c := range []struct {
		of   int
		v    resource.Version
		want int64
	}{{0, resource.Version{Number: 1}, 0}, {0, resource.Version{Number: 2}, 2}, {0, resource.Version{Number: 7}, 4},
		{0, resource.Version{Number: 8}, -1},
		{1, resource.Version{Epoch: 2, Number: 5}, 10}, {1, resource.Version{Epoch: 2, Number: 6}, 11}, {1,
			resource.Version{Epoch: 3, Number: 1}, -1}} {
		got := w.firstSeenTimes(c.of, c.v)
		want := int64(0)
		if c.want >= 0 {
			want = at(c.want).UnixNano()
		}
		if got[0] != want || got[1] != 0 {
			t.Errorf("history %d, version %v: first seen at %v, want %d and 0", c.of, c.v, got, want)
		}
	}
	if times := w.regressions(); times != 0 {
		t.Errorf("%d regressions, want none", times)
	}
	n.history[1].record(resource.Version{Epoch: 2, Number: 9}, at(12))
	n.history[1].record(resource.Version{Epoch: 2, Number: 9}, at(13))
	n.history[0].record(resource.Version{Number: 6}, at(14)) // a change of the list, which is not counted
	if times := w.regressions(); times != 1 {
		t.Errorf("%d regressions, want 1", times)
	}
	n.earlierRegressions, n.history[1] = 1, versionHistory{} // as a restart does
	if times := w.regressions(); times != 1 {
		t.Errorf("%d regressions after a restart, want 1", times)
	}
	n.history[0] = versionHistory{}
	for i := range 3 * maxSeenVersions {
		n.history[0].record(resource.Version{Number: uint64(10 + i)}, at(int64(20+i)))
	}
	if len(n.history[0].entries) > maxSeenVersions {
		t.Errorf("%d versions are recorded, more than the limit", len(n.history[0].entries))
	}
}
