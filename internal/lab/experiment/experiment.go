// Package experiment runs scenarios with several policies, seeds and parameter values, checks the results against
// bounds, and writes them as JSON lines, a Markdown table and an HTML report.
package experiment

import (
	"errors"
	"fmt"
	"math"
	"os"
	"strconv"
	"strings"
	"sync"

	"github.com/goccy/go-yaml"

	deploylab "portstall/deploy/lab"
	"portstall/internal/config"
	"portstall/internal/lab/measure"
	"portstall/internal/lab/model"
	"portstall/internal/lab/peer"
	"portstall/internal/lab/scenario"
)

// Experiment describes a set of runs: every scenario with every policy, seed and combination of swept values.
type Experiment struct {
	Name      string   `yaml:"name"`
	About     string   `yaml:"about"`
	Scenarios []string `yaml:"scenarios"` // names of library scenarios, or files
	Policies  []string `yaml:"policies"`
	Seeds     []uint64 `yaml:"seeds"`
	Sweep     []Sweep  `yaml:"sweep"`
	Bounds    []Bound  `yaml:"bounds"`
}

// Sweep sets one field of the scenarios to each of several values.
type Sweep struct {
	Field  string `yaml:"field"` // path of the field, such as clients.load
	Values []any  `yaml:"values"`
}

// Bound limits a measure of each run that matches its scenario and policy. An empty name matches every run.
type Bound struct {
	Scenario string   `yaml:"scenario"`
	Policy   string   `yaml:"policy"`
	Measure  string   `yaml:"measure"`
	Min      *float64 `yaml:"at_least"`
	Max      *float64 `yaml:"at_most"`
}

// Measures computes the measures that bounds and comparisons can name, by their names.
var Measures = map[string]func(r *measure.Result) float64{
	"share":    func(r *measure.Result) float64 { return r.All.EarnedShare() },
	"worst":    func(r *measure.Result) float64 { return r.WorstClassShare() },
	"served":   func(r *measure.Result) float64 { return float64(r.All.Served) / math.Max(1, float64(r.All.Asked)) },
	"p50":      func(r *measure.Result) float64 { return r.Latency.P50 },
	"p99":      func(r *measure.Result) float64 { return r.Latency.P99 },
	"p99.9":    func(r *measure.Result) float64 { return r.Latency.P999 },
	"attempts": func(r *measure.Result) float64 { return r.AttemptsPerOperation() },
	"recovery": func(r *measure.Result) float64 { t, _ := r.RecoverySeconds(); return t },
	"recovered": func(r *measure.Result) float64 {
		if _, ok := r.RecoverySeconds(); ok {
			return 1
		}
		return 0
	},
	"broken": func(r *measure.Result) float64 { return float64(r.BreachTotal()) },
}

// MeasureNames lists the names of Measures in the order of tables.
var MeasureNames = []string{"share", "worst", "served", "p50", "p99", "p99.9", "attempts", "recovered", "recovery", "broken"}

// Parse reads and checks an experiment. Policies default to portstall and seeds to 1. An error names file, line and
// field.
func Parse(name string, text []byte) (*Experiment, error) {
	e := &Experiment{Policies: []string{"portstall"}, Seeds: []uint64{1}}
	if err := config.Decode(name, text, e, e.check); err != nil {
		return nil, err
	}
	return e, nil
}

// check reports the first invalid field as a config.FieldError. It reads all scenarios with all swept values.
func (e *Experiment) check() error {
	fieldError := func(path, why string, args ...any) error {
		return &config.FieldError{Path: path, Reason: fmt.Sprintf(why, args...)}
	}
	if len(e.Scenarios) == 0 {
		return fieldError("scenarios", "at least one is required")
	}
	if len(e.Seeds) == 0 {
		return fieldError("seeds", "at least one is required")
	}
	for i, s := range e.Scenarios {
		if _, err := Read(s); err != nil {
			return fieldError(fmt.Sprintf("scenarios[%d]", i), "%v", err)
		}
	}
	for i, p := range e.Policies {
		if _, err := peer.Lookup(p); err != nil {
			return fieldError(fmt.Sprintf("policies[%d]", i), "%v", err)
		}
	}
	for i, s := range e.Sweep {
		if s.Field == "" || len(s.Values) == 0 {
			return fieldError(fmt.Sprintf("sweep[%d].field", i), "a field and at least one value are required")
		}
	}
	for i, b := range e.Bounds {
		p := fmt.Sprintf("bounds[%d].", i)
		if Measures[b.Measure] == nil {
			return fieldError(p+"measure", "%q is not one of %q", b.Measure, MeasureNames)
		}
		if b.Min == nil && b.Max == nil {
			return fieldError(p+"measure", "at_least or at_most is required")
		}
	}
	if _, err := e.Runs(); err != nil {
		return fieldError("sweep", "%v", err)
	}
	return nil
}

// Read returns the text of a scenario or experiment: the library's scenario of that name, else the file of that name.
func Read(name string) ([]byte, error) {
	if text, ok := deploylab.Read(name); ok {
		return text, nil
	}
	text, err := os.ReadFile(name)
	if errors.Is(err, os.ErrNotExist) && !strings.ContainsAny(name, "/.") {
		return nil, fmt.Errorf("%q is neither a file nor one of the library's %q", name, deploylab.Names())
	}
	return text, err
}

// Load parses the library's scenario of that name, else the file of that name.
func Load(name string) (scenario.Scenario, error) {
	text, err := Read(name)
	if err != nil {
		return scenario.Scenario{}, err
	}
	return scenario.Parse(name, text)
}

// IsExperiment reports whether text is an experiment rather than a scenario: it lists scenarios.
func IsExperiment(text []byte) bool {
	var e struct {
		Scenarios []string `yaml:"scenarios"`
	}
	return yaml.Unmarshal(text, &e) == nil && len(e.Scenarios) > 0
}

// Run is one run of an experiment. Params holds the swept values by field.
type Run struct {
	Scenario scenario.Scenario
	Policy   string
	Params   map[string]string
}

// Runs returns all runs of the experiment, in the order of the results.
func (e *Experiment) Runs() ([]Run, error) {
	combinations := []map[string]any{{}}
	for _, s := range e.Sweep {
		var next []map[string]any
		for _, c := range combinations {
			for _, v := range s.Values {
				n := map[string]any{s.Field: v}
				for field, value := range c {
					n[field] = value
				}
				next = append(next, n)
			}
		}
		combinations = next
	}
	var runs []Run
	for _, name := range e.Scenarios {
		text, err := Read(name)
		if err != nil {
			return nil, err
		}
		for _, values := range combinations {
			s, params, err := withFields(name, text, values)
			if err != nil {
				return nil, err
			}
			for _, p := range e.Policies {
				for _, seed := range e.Seeds {
					s.Seed = seed
					runs = append(runs, Run{s, p, params})
				}
			}
		}
	}
	return runs, nil
}

// withFields sets fields, given by their paths, in a scenario's text and parses it. The second result holds the values
// as text, nil if there are none.
func withFields(name string, text []byte, set map[string]any) (scenario.Scenario, map[string]string, error) {
	if len(set) == 0 {
		s, err := scenario.Parse(name, text)
		return s, nil, err
	}
	doc := map[string]any{}
	if err := yaml.Unmarshal(text, &doc); err != nil {
		return scenario.Scenario{}, nil, fmt.Errorf("%s: %w", name, err)
	}
	params := map[string]string{}
	for field, v := range set {
		at := doc
		parts := strings.Split(field, ".")
		for _, p := range parts[:len(parts)-1] {
			inner, ok := at[p].(map[string]any)
			if at[p] != nil && !ok {
				return scenario.Scenario{}, nil, fmt.Errorf("%s: %s is not a mapping", name, p)
			}
			if inner == nil {
				inner = map[string]any{}
			}
			at[p], at = inner, inner
		}
		at[parts[len(parts)-1]] = v
		params[field] = fmt.Sprint(v)
	}
	out, err := yaml.Marshal(doc)
	if err != nil {
		return scenario.Scenario{}, nil, fmt.Errorf("%s: %w", name, err)
	}
	s, err := scenario.Parse(name+" as swept", out)
	return s, params, err
}

// RunAll performs the runs in the model, with the given number of workers, and returns the results in the order of the
// runs. It calls done after each run, one call at a time, in the order in which the runs end; done may be nil.
func RunAll(runs []Run, workers int, done func(i int, r *measure.Result)) ([]measure.Result, error) {
	results, errs := make([]measure.Result, len(runs)), make([]error, len(runs))
	next := make(chan int)
	var wg sync.WaitGroup
	var mu sync.Mutex
	for range max(1, workers) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := range next {
				factory, err := peer.Lookup(runs[i].Policy)
				if err == nil {
					results[i], err = model.Run(runs[i].Scenario, model.Options{Policy: runs[i].Policy, NewDecider: factory})
				}
				results[i].Params, errs[i] = runs[i].Params, err
				if done != nil {
					mu.Lock()
					done(i, &results[i])
					mu.Unlock()
				}
			}
		}()
	}
	for i := range runs {
		next <- i
	}
	close(next)
	wg.Wait()
	return results, errors.Join(errs...)
}

// Violations describes each bound that does not hold. For the policy portstall, each run that broke a rule counts as
// well; other policies may break rules, which the tables show.
func (e *Experiment) Violations(results []measure.Result) []string {
	var violations []string
	for i := range results {
		r := &results[i]
		runText := fmt.Sprintf("%s, %s, seed %d%s", r.Scenario, r.Policy, r.Seed, formatParams(r.Params))
		if n := r.BreachTotal(); n > 0 && r.Policy == "portstall" {
			violations = append(violations, fmt.Sprintf("%s: rules broken %d times: %v", runText, n, r.Broken))
		}
		for _, b := range e.Bounds {
			if b.Scenario != "" && b.Scenario != r.Scenario || b.Policy != "" && b.Policy != r.Policy {
				continue
			}
			v := Measures[b.Measure](r)
			if b.Min != nil && v < *b.Min {
				violations = append(violations, fmt.Sprintf("%s: %s is %.4g, must be at least %g", runText, b.Measure, v, *b.Min))
			}
			if b.Max != nil && v > *b.Max {
				violations = append(violations, fmt.Sprintf("%s: %s is %.4g, must be at most %g", runText, b.Measure, v, *b.Max))
			}
		}
	}
	return violations
}

// formatParams returns swept values as ", field=value" each, sorted by field.
func formatParams(params map[string]string) string {
	text := ""
	for _, k := range scenario.SortedKeys(params) {
		text += ", " + k + "=" + params[k]
	}
	return text
}

// Shrink removes faults from a scenario as long as a rule still breaks without them, in groups that get smaller. It
// returns the smallest scenario found and the number of runs. breaks runs a scenario and reports whether it breaks a
// rule. The scenario passed in is not changed.
func Shrink(s scenario.Scenario, breaks func(scenario.Scenario) bool) (scenario.Scenario, int) {
	runs := 0
	for size := max(1, len(s.Faults)/2); len(s.Faults) > 0; {
		removed := false
		for i := 0; i+size <= len(s.Faults); {
			reduced := s
			reduced.Faults = append(append([]scenario.Fault(nil), s.Faults[:i]...), s.Faults[i+size:]...)
			runs++
			if breaks(reduced) {
				s, removed = reduced, true
			} else {
				i += size
			}
		}
		if !removed && size == 1 {
			break
		}
		size = max(1, size/2)
	}
	return s, runs
}

// ParseSeeds reads a list of seeds and ranges such as 1,2,5-8. A range may hold at most 10,001 seeds.
func ParseSeeds(text string) ([]uint64, error) {
	var seeds []uint64
	for _, part := range strings.Split(text, ",") {
		from, to, isRange := strings.Cut(part, "-")
		a, err := strconv.ParseUint(strings.TrimSpace(from), 10, 64)
		b := a
		if err == nil && isRange {
			b, err = strconv.ParseUint(strings.TrimSpace(to), 10, 64)
		}
		if err != nil || b < a || b-a > 10000 {
			return nil, fmt.Errorf("seeds: %q is not a list such as 1,2,5-8", text)
		}
		for ; a <= b; a++ {
			seeds = append(seeds, a)
		}
	}
	return seeds, nil
}
