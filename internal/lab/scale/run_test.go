package scale

import (
	"context"
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	deployscale "portstall/deploy/lab/scale"
)

// testBinary is the path of portstall, built for these tests.
var testBinary string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "portstall-test")
	if err != nil {
		panic(err)
	}
	testBinary = filepath.Join(dir, "portstall")
	if out, err := exec.Command("go", "build", "-o", testBinary, "portstall/cmd/portstall").CombinedOutput(); err != nil {
		panic(string(out))
	}
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

// runningChildren returns the processes on this machine that run the test binary.
func runningChildren(t *testing.T) (list []string) {
	t.Helper()
	stats, err := filepath.Glob("/proc/[0-9]*/exe")
	if err != nil {
		t.Fatal(err)
	}
	for _, s := range stats {
		if exe, err := os.Readlink(s); err == nil && exe == testBinary {
			list = append(list, s)
		}
	}
	return list
}

// Runs the small plan, as CI does: each part gives its figures, the change during each fault reaches all nodes, and no
// process is left behind.
func TestSmallPlan(t *testing.T) {
	text, _ := deployscale.Read("small")
	p, err := Parse("small", text)
	if err != nil {
		t.Fatal(err)
	}
	// The result must not depend on how busy the machine is. Configuration changes come at random, 0.75 s apart on
	// average: in the plan's one second without faults there may be none, if it starts late.
	p.Bound, p.Fleet.Limit, p.Fleet.Calm = 4*time.Minute, time.Minute, 10*time.Second
	r, err := Run(t.Context(), p, Options{Binary: testBinary})
	if err != nil {
		t.Fatal(err)
	}
	for _, id := range []string{"node.start", "node.rss", "node.peak", "node.rest", "node.delta.cpu",
		"node.delta.bytes", "node.whole.cpu", "node.whole.bytes",
		"hollow.heap", "contracts.used", "plan.rest", "file.cpu", "file.rss", "member.bytes", "parts.refused",
		"fleet.calls", "fleet.cpu", "fleet.served",
		"node.day.cpu", "node.day.bytes", "conf.rss", "conf.peak", "conf.delta.cpu", "conf.delta.bytes",
		"conf.whole.bytes", "control.rss",
		"region_alone.back", "region_alone.wholes", "regions_cut.changes", "control.nodes.rss", "control.nodes.delta",
		"control.one.cpu", "control.one.rss", "fleet.conf.bytes", "control.day.cpu", "control.day100.bytes"} {
		switch row := r.row(id); {
		case row == nil:
			t.Errorf("%s was not measured", id)
		case (row.Origin == Extrapolated || row.Line != nil) && (row.Line == nil || len(row.Points) < 3):
			t.Errorf("%s: no line fitted through three points: %+v", id, row)
		}
	}
	for id, minimum := range map[string]float64{"node.rss": 1 << 20, "node.whole.bytes": 200 * 60, "node.rest": 1e-9,
		"contracts.used": 200 * 100, "hollow.heap": 1000, "file.cpu": 1e-6,
		// The fault itself makes some of these.
		"region_alone.changes": 3, "region_alone.deltas": 1, "regions_cut.changes": 3, "regions_cut.deltas": 1,
		"conf.rss": 1 << 20, "conf.delta.bytes": 100, "conf.whole.bytes": 500, "control.rss": 1 << 20,
		"fleet.conf.bytes": 1} {
		if row := r.row(id); row != nil && row.At < minimum {
			t.Errorf("%s: %v is implausibly low", id, row.At)
		}
	}
	faults := map[string]int{}
	for _, f := range r.Faults {
		faults[f.What]++
		if f.Had != f.Nodes || f.Nodes == 0 {
			t.Errorf("%s: %d of %d nodes had the change of the %s", f.Fault, f.Had, f.Nodes, f.What)
		}
	}
	// A region cut has a row for each side, and if it cuts control only, one more for control processes and real nodes.
	if want := len(p.Fleet.Faults) + 3; faults["list"] != want || faults["configuration"] != want+2 {
		t.Errorf("%d faults: %+v", len(p.Fleet.Faults), r.Faults)
	}
	if len(r.Broken) > 0 {
		t.Errorf("failures: %v", r.Broken)
	}
	if r.Memory <= 0 || r.Procs < 4 {
		t.Errorf("%d bytes resident in %d processes", r.Memory, r.Procs)
	}
	if left := runningChildren(t); len(left) > 0 {
		t.Errorf("processes left behind: %v", left)
	}
}

// tinyPlan returns a plan that takes hardly any time or memory.
func tinyPlan() *Plan {
	return &Plan{Name: "tiny", Bound: time.Minute, MemoryMB: 1024, Processes: 4, Plans: []int{1, 2, 3},
		Parts: []int{1, 2, 3},
		Size:  Size{Nodes: 3, Servers: 3, Tenants: 1, Zones: 1, Regions: 1}}
}

// A run reports an exceeded budget, stops when it exceeds a limit of its own, and ends when it is canceled. None of
// these leaves a process behind.
func TestRunStaysWithinBounds(t *testing.T) {
	hollow := &HollowPlan{Nodes: []int{0, 1, 2}, Servers: 2, AtRest: time.Minute}
	canceled, cancel := context.WithCancel(t.Context())
	for _, c := range []struct {
		name   string
		ctx    context.Context
		change func(*Plan)
		err    error
		text   string
		broken string
	}{
		{"budget held", t.Context(), func(p *Plan) { p.Budgets = []Budget{{"plan.rest", 1e9, true}} }, nil, "", ""},
		{"budget exceeded", t.Context(), func(p *Plan) { p.Budgets = []Budget{{"parts.first", 1e-9, true}} }, nil, "",
			"parts.first"},
		{"memory limit", t.Context(), func(p *Plan) { p.MemoryMB, p.Hollow = 1, hollow }, ErrBound, "resident", ""},
		{"process limit", t.Context(), func(p *Plan) { p.Processes, p.Hollow = 2, hollow }, ErrBound, "2 allowed", ""},
		{"time limit", t.Context(), func(p *Plan) { p.Bound, p.Hollow = 50*time.Millisecond, hollow }, ErrBound,
			"not finished after 50ms", ""},
		{"canceled", canceled, func(p *Plan) { p.Hollow = hollow; time.AfterFunc(50*time.Millisecond, cancel) },
			context.Canceled, "", ""},
	} {
		p := tinyPlan()
		c.change(p)
		r, err := Run(c.ctx, p, Options{Binary: testBinary})
		if !errors.Is(err, c.err) || err != nil && !strings.Contains(err.Error(), c.text) {
			t.Errorf("%s: %v", c.name, err)
		}
		if err != nil && (r == nil || r.Plan != "tiny") {
			t.Errorf("%s: the report is missing: %+v", c.name, r)
		}
		if err == nil && (len(r.Broken) > 0) != (c.broken != "") ||
			err == nil && c.broken != "" && !strings.HasPrefix(r.Broken[0], c.broken) {
			t.Errorf("%s: failures: %v", c.name, r.Broken)
		}
		if left := runningChildren(t); len(left) > 0 {
			t.Errorf("%s: processes left behind: %v", c.name, left)
		}
	}
	cancel()
}

// When the run itself is killed, its processes end too.
func TestKilledRunLeavesNoProcess(t *testing.T) {
	path := filepath.Join(t.TempDir(), "p.yaml")
	text := planHead + "hollow: {nodes: [0, 1, 2], servers: 2, at_rest: 10m}\n"
	text = strings.NewReplacer("bound: 1s", "bound: 20m", "memory_mb: 100", "memory_mb: 2000", "processes: 2",
		"processes: 9").Replace(text)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(testBinary, "lab", "scale", path)
	cmd.Env = append(os.Environ(), "TMPDIR="+t.TempDir())
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	wait := func(what string, ok func(n int) bool) {
		for ends := time.Now().Add(time.Minute); !ok(len(runningChildren(t))); time.Sleep(5 * time.Millisecond) {
			if time.Now().After(ends) {
				t.Error(what)
				return
			}
		}
	}
	wait("the run's processes did not start", func(n int) bool { return n == 4 })
	cmd.Process.Signal(syscall.SIGKILL)
	cmd.Wait()
	wait("the run's processes did not end", func(n int) bool { return n == 0 })
}

// A worker replies to each line, and its errors name what is wrong: an unknown command, invalid JSON, a missing file.
func TestWorkerCommands(t *testing.T) {
	var out strings.Builder
	in := strings.NewReader("{\"do\":\"plan\",\"count\":3}\n{\"do\":\"dance\"}\nnonsense\n{\"do\":\"usage\"}\n{\"do\":\"hollow\",\"config\":\"/does/not/exist\",\"names\":[\"a\"],\"sources\":[\"b\"],\"zones\":[\"c\"]}\n")
	if err := RunWorker(in, &out); err != nil {
		t.Fatal(err)
	}
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	want := []string{`"plan":`, `unknown command \"dance\"`, "invalid character", `"heap":`, "/does/not/exist"}
	if len(lines) != len(want) {
		t.Fatalf("%d replies: %q", len(lines), lines)
	}
	for i, w := range want {
		if !strings.Contains(lines[i], w) {
			t.Errorf("reply %d: %s, want %s", i, lines[i], w)
		}
	}
}
