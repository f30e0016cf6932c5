package scale

import (
	"bytes"
	"encoding/json"
	"math"
	"strings"
	"testing"
)

// A budget that must hold fails the run if it is exceeded or was not measured. Other budgets are only shown.
func TestApplyBudgets(t *testing.T) {
	rows := func() []Row {
		return []Row{{ID: "a", Figure: "of a", Unit: "s", At: 2}, {ID: "b", Unit: "B", At: math.NaN()}, {ID: "c", At: 1}}
	}
	for _, c := range []struct {
		name    string
		budgets []Budget
		broken  []string // prefix of each failure
	}{
		{"no budgets", nil, nil},
		{"held", []Budget{{"a", 2, true}, {"c", 1.5, true}}, nil},
		{"exceeded", []Budget{{"a", 1.9, true}, {"c", 1, true}}, []string{"a (of a): 2 s at full size, 1.9 s allowed"}},
		{"exceeded, but only shown", []Budget{{"a", 1.9, false}}, nil},
		{"value is NaN", []Budget{{"b", 1e9, true}}, []string{"b "}},
		{"not measured", []Budget{{"x", 1, true}, {"y", 1, false}}, []string{"x: was not measured"}},
	} {
		r := Report{Rows: rows()}
		r.applyBudgets(c.budgets)
		if len(r.Broken) != len(c.broken) {
			t.Errorf("%s: failures: %q", c.name, r.Broken)
			continue
		}
		for i, want := range c.broken {
			if !strings.HasPrefix(r.Broken[i], want) {
				t.Errorf("%s: failure %q, want prefix %q", c.name, r.Broken[i], want)
			}
		}
	}
}

// The tables show points, slope, budget and failures, and the JSON report can be read back.
func TestPrint(t *testing.T) {
	l, err := FitLine([]Point{{1, 1024}, {2, 2048}, {3, 3072}})
	if err != nil {
		t.Fatal(err)
	}
	r := Report{Plan: "p", Cores: 8, Parts: []PartRow{{Part: "the pool", Took: 35, Load: 3.5, Steal: 7}},
		Rows: []Row{{ID: "a", Role: "node", Figure: "resident", Unit: "B", Of: "server", Points: []Point{{1, 1024},
			{2, 2048}, {3, 3072}}, Line: &l,
			Size: 10, At: l.At(10), Origin: Extrapolated}}, Faults: []FaultRow{{Fault: "region cut", What: "list",
			Nodes: 4, Had: 3, P50: 0.0015, Asked: 10, Served: 0.5}}}
	r.applyBudgets([]Budget{{"a", 5120, true}})
	var text, list bytes.Buffer
	if err := r.Print(&text); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"1: 1 KiB, 2: 2 KiB, 3: 3 KiB", "1 KiB a server", "10 KiB", "5 KiB (must)",
		"2.00 PASSED", "slope", "3 of 4", "1.5 ms", "0.5000 of 10", "broken: a (resident)",
		"the pool", "35 s", "7 s", "2.5%"} {
		if !strings.Contains(text.String(), want) {
			t.Errorf("%q is not in\n%s", want, text.String())
		}
	}
	if err := r.WriteJSON(&list); err != nil {
		t.Fatal(err)
	}
	var back Report
	if err := json.Unmarshal(list.Bytes(), &back); err != nil || back.Rows[0].At != 10240 || len(back.Broken) != 1 {
		t.Errorf("JSON report read back: error %v, %+v", err, back)
	}
}

func TestAmount(t *testing.T) {
	for _, c := range []struct {
		v    float64
		unit string
		want string
	}{{0, "s", "0 s"}, {0.0032, "s", "3.2 ms"}, {4.4e-7, "s", "440 ns"}, {18, "s", "18 s"}, {1 << 27, "B", "128 MiB"},
		{48, "B", "48 B"}, {0.5, "B", "0.5 B"},
		{0.2916, "", "0.2916"}, {math.Inf(1), "s", "+Inf"}, {-0.002, "s", "-2 ms"}} {
		if got := FormatAmount(c.v, c.unit); got != c.want {
			t.Errorf("%v %s: %q, want %q", c.v, c.unit, got, c.want)
		}
	}
}
