package experiment

import (
	"bytes"
	"math"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"portstall/internal/lab/measure"
	"portstall/internal/lab/scenario"
)

const shortExperiment = `
name: pair
scenarios: [DAY]
policies: [portstall, random]
seeds: [1, 2, 3]
sweep:
- {field: clients.load, values: [0.4, 0.8]}
bounds:
- {measure: share, policy: portstall, at_least: 0.5}
`

// writeExperiment writes an experiment file and returns its path. DAY in the text is replaced by the path of a short
// scenario.
func writeExperiment(t *testing.T, text string) string {
	t.Helper()
	dir := t.TempDir()
	scenarioPath := filepath.Join(dir, "day.yaml")
	if err := os.WriteFile(scenarioPath, []byte("name: day\nduration: 6s\nwarmup: 1s\nservers: {count: 5}\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(dir, "e.yaml")
	if err := os.WriteFile(path, []byte(strings.ReplaceAll(text, "DAY", scenarioPath)), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// parseExperiment writes an experiment file and parses it under the name e.yaml.
func parseExperiment(t *testing.T, text string) (*Experiment, error) {
	t.Helper()
	path := writeExperiment(t, text)
	got, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return Parse("e.yaml", got)
}

// Runs performed in parallel give the same results as runs performed one after the other, in the order of the runs. The
// results are then checked against bounds, written as JSON lines and read back, and shown in the table and the report.
func TestResultsDoNotDependOnWorkers(t *testing.T) {
	e, err := parseExperiment(t, shortExperiment)
	if err != nil {
		t.Fatal(err)
	}
	runs, err := e.Runs()
	if err != nil {
		t.Fatal(err)
	}
	if len(runs) != 12 {
		t.Fatalf("%d runs, want 12: two loads, two policies and three seeds", len(runs))
	}
	calls := 0
	parallel, err := RunAll(runs, 4, func(int, *measure.Result) { calls++ })
	if err != nil {
		t.Fatal(err)
	}
	serial, err := RunAll(runs, 1, nil)
	if err != nil {
		t.Fatal(err)
	}
	for i := range parallel {
		if parallel[i].Digest != serial[i].Digest || parallel[i].Policy != runs[i].Policy || parallel[i].Seed != runs[i].Scenario.Seed {
			t.Errorf("run %d: digest %s in parallel, %s alone, or its policy or seed is not that of the run", i, parallel[i].Digest, serial[i].Digest)
		}
	}
	if calls != len(runs) || parallel[0].Params["clients.load"] != "0.4" || parallel[11].Params["clients.load"] != "0.8" {
		t.Errorf("%d calls of done, parameters %v and %v; want 12 calls and loads 0.4 and 0.8", calls, parallel[0].Params, parallel[11].Params)
	}
	if a, b := parallel[0].All.Asked, parallel[11].All.Asked; float64(b) < 1.5*float64(a) {
		t.Errorf("%d requests at load 0.8, %d at load 0.4, want at least 1.5 times as many", b, a)
	}
	if broken := e.Violations(parallel); len(broken) > 0 {
		t.Error(broken)
	}
	tooHigh, tooLow := 1.1, 0.0001 // bounds that no result keeps
	e.Bounds = []Bound{{Measure: "share", Min: &tooHigh}, {Measure: "attempts", Policy: "random", Max: &tooLow}, {Measure: "share", Scenario: "other", Min: &tooHigh}}
	if broken := e.Violations(parallel); len(broken) != 12+6 || !strings.Contains(broken[0], "share is") {
		t.Errorf("%d violations, want 18: %v", len(broken), broken)
	}
	parallel[0].Broken = map[string]int{"repeat rule": 2}
	parallel[3].Broken = map[string]int{"repeat rule": 2} // of another policy, which may break rules
	e.Bounds = nil
	if broken := e.Violations(parallel); len(broken) != 1 || !strings.Contains(broken[0], "2 times") {
		t.Errorf("violations %v, want only that of portstall with 2 broken rules", broken)
	}

	var lines, table, html bytes.Buffer
	if err := WriteLines(&lines, parallel); err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "r.jsonl")
	if err := os.WriteFile(path, lines.Bytes(), 0o600); err != nil {
		t.Fatal(err)
	}
	back, err := ReadLines(path)
	if err != nil || len(back) != len(parallel) || !reflect.DeepEqual(back[5].All, parallel[5].All) {
		t.Errorf("results read back: error %v, %d results", err, len(back))
	}
	WriteTable(&table, parallel)
	if got := strings.Count(table.String(), "\n"); got != 2+4 {
		t.Errorf("the table has %d lines, want 6:\n%s", got, &table)
	}
	if err := WriteReport(&html, "A & B", parallel, []string{"a bound"}); err != nil {
		t.Fatal(err)
	}
	text := html.String()
	for _, want := range []string{"A &amp; B", "a bound", "clients.load=0.8", "random", "class search", "tenant panhandle", "repeat rule (1 of 3)"} {
		if !strings.Contains(text, want) {
			t.Errorf("the report lacks %q", want)
		}
	}
	if got := strings.Count(text, "<svg"); got != 10 {
		t.Errorf("%d plots, want five for each of two groups", got)
	}
	if strings.Contains(text, "src=") || strings.Contains(text, "href=\"http") {
		t.Error("the report refers to an outside resource")
	}
}

// Errors of experiment files and result files name file, line and field.
func TestInvalidFilesAreRejected(t *testing.T) {
	for _, c := range []struct{ text, want string }{
		{"name: x\n", "scenarios: at least one"},
		{"scenarios: [nowhere]\n", "e.yaml:1: scenarios[0]: \"nowhere\" is neither a file nor one of the library's"},
		{"scenarios: [smoke]\npolicies: [best]\n", "e.yaml:2: policies[0]"},
		{"scenarios: [smoke]\nseeds: []\n", "e.yaml:2: seeds"},
		{"scenarios: [smoke]\nbounds:\n- {measure: luck, at_least: 1}\n", "e.yaml:3: bounds[0].measure: \"luck\""},
		{"scenarios: [smoke]\nbounds:\n- {measure: share}\n", "e.yaml:3: bounds[0].measure"},
		{"scenarios: [smoke]\nsweep:\n- {field: clients.laod, values: [1]}\n", `unknown field "laod"`},
		{"scenarios: [smoke]\nsweep:\n- {field: clients.load, values: [-1]}\n", "clients.load"},
		{"scenarios: [smoke]\nsweep:\n- {field: name.x, values: [1]}\n", "name is not a mapping"},
		{"scenarios: [smoke]\nsweeps: 1\n", `e.yaml:2: unknown field "sweeps"`},
	} {
		if _, err := parseExperiment(t, c.text); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%q: %v, want %q", c.text, err, c.want)
		}
	}
	path := filepath.Join(t.TempDir(), "r.jsonl")
	for _, c := range []struct{ text, want string }{{"{}\n", ":1: scenario"}, {"{\"scenario\":\"x\",\"classes\":{}}\n{", ":2:"}} {
		os.WriteFile(path, []byte(c.text), 0o600)
		if _, err := ReadLines(path); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("result file %q: error %v, want one that names the line", c.text, err)
		}
	}
}

// resultWithShare returns the result of one request of which the given share was served.
func resultWithShare(seed uint64, share float64) measure.Result {
	return measure.Result{Scenario: "s", Seed: seed, All: measure.Tally{Asked: 1, Offered: 1, Earned: share}}
}

// The confidence interval is that of Student's t distribution, checked against a worked example. One pair gives an
// infinite interval, no pair an error.
func TestCompareGivesStudentInterval(t *testing.T) {
	var a, b []measure.Result
	for i, d := range []float64{0.1, 0.2, 0.3, 0.2} {
		a = append(a, resultWithShare(uint64(i), 0.5))
		b = append(b, resultWithShare(uint64(i), 0.5+d))
	}
	b = append(b, resultWithShare(99, 1)) // has no partner
	all, err := Compare(a, b)
	if err != nil {
		t.Fatal(err)
	}
	// mean 0.2, standard deviation 0.08165, standard error 0.040825, t(0.975; 3) = 3.1824
	d := all[0]
	if d.Measure != "share" || d.Pairs != 4 || math.Abs(d.Mean-0.2) > 1e-9 || math.Abs(d.Low-(0.2-3.1824*0.040825)) > 1e-4 || !d.ExcludesZero() {
		t.Errorf("%+v, want 4 pairs of share with mean 0.2, low 0.0701 and zero excluded", d)
	}
	if one, _ := Compare(a[:1], b[:1]); !math.IsInf(one[0].High, 1) || one[0].ExcludesZero() {
		t.Errorf("one pair gives %+v, want an infinite interval that includes zero", one[0])
	}
	if _, err := Compare(a, []measure.Result{resultWithShare(50, 1)}); err == nil {
		t.Error("no error though no runs pair")
	}
	if _, err := Compare(append(a, a[0]), b); err == nil {
		t.Error("no error though one side has two results of the same run")
	}
}

// Shrinking leaves only the faults that are needed to break a rule, and does not change the scenario passed in.
func TestShrinkKeepsOnlyNeededFaults(t *testing.T) {
	s := scenario.Default()
	for i := range 16 {
		s.Faults = append(s.Faults, scenario.Fault{Kind: "vanish", At: time.Duration(i)})
	}
	has := func(s scenario.Scenario, at time.Duration) bool {
		for _, f := range s.Faults {
			if f.At == at {
				return true
			}
		}
		return false
	}
	reduced, runs := Shrink(s, func(s scenario.Scenario) bool { return has(s, 3) && has(s, 11) })
	if len(reduced.Faults) != 2 || !has(reduced, 3) || !has(reduced, 11) || runs > 100 {
		t.Errorf("%d runs leave %+v, want two faults, at 3 and 11, in at most 100 runs", runs, reduced.Faults)
	}
	if len(s.Faults) != 16 {
		t.Error("Shrink changed the scenario passed in")
	}
	if reduced, _ := Shrink(s, func(scenario.Scenario) bool { return true }); len(reduced.Faults) != 0 {
		t.Errorf("a scenario that breaks without faults keeps %d faults, want none", len(reduced.Faults))
	}
}

func TestParseSeedsReadsRanges(t *testing.T) {
	if got, err := ParseSeeds("1, 4-6,9"); err != nil || !reflect.DeepEqual(got, []uint64{1, 4, 5, 6, 9}) {
		t.Errorf("seeds %v, error %v; want 1, 4, 5, 6 and 9", got, err)
	}
	for _, bad := range []string{"", "a", "5-3", "1,,2", "-1"} {
		if _, err := ParseSeeds(bad); err == nil {
			t.Errorf("no error for %q", bad)
		}
	}
}

func TestIsExperimentRejectsScenarios(t *testing.T) {
	if !IsExperiment([]byte(shortExperiment)) || IsExperiment([]byte("name: x\nduration: 3s\n")) || IsExperiment([]byte("[")) {
		t.Error("IsExperiment is wrong for an experiment, a scenario or invalid YAML")
	}
}
