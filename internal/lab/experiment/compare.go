package experiment

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"os"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"

	"portstall/internal/lab/measure"
)

// WriteLines writes results as JSON lines.
func WriteLines(w io.Writer, results []measure.Result) error {
	enc := json.NewEncoder(w)
	for i := range results {
		if err := enc.Encode(&results[i]); err != nil {
			return err
		}
	}
	return nil
}

// ReadLines reads results from a file of JSON lines. An error names file and line.
func ReadLines(path string) ([]measure.Result, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	var results []measure.Result
	in := bufio.NewScanner(f)
	in.Buffer(nil, 64<<20)
	for n := 1; in.Scan(); n++ {
		var r measure.Result
		if err := json.Unmarshal(in.Bytes(), &r); err != nil {
			return nil, fmt.Errorf("%s:%d: %w", path, n, err)
		}
		if r.Scenario == "" || r.Classes == nil {
			return nil, fmt.Errorf("%s:%d: scenario: missing: not the result of a run", path, n)
		}
		results = append(results, r)
	}
	return results, in.Err()
}

// Difference compares two sets of results, A and B, in one measure. Results are paired by scenario, seed and swept
// values; each difference is B minus A.
type Difference struct {
	Measure    string
	Pairs      int
	A, B, Mean float64 // mean of each side and of the differences
	Low, High  float64 // 95% confidence interval of the mean difference, by Student's t; infinite for one pair
}

// ExcludesZero reports whether the confidence interval excludes zero.
func (d *Difference) ExcludesZero() bool { return d.Low > 0 || d.High < 0 }

// Compare pairs two sets of results and returns the differences in all measures, in the order of MeasureNames. It
// returns an error if the sides have no run in common or a has two results of the same run, for instance of two
// policies.
func Compare(a, b []measure.Result) ([]Difference, error) {
	type key struct{ text string }
	keyOf := func(r *measure.Result) key {
		return key{fmt.Sprintf("%s %d%s", r.Scenario, r.Seed, formatParams(r.Params))}
	}
	index := map[key]*measure.Result{}
	for i := range a {
		if index[keyOf(&a[i])] != nil {
			return nil, fmt.Errorf("the first side has more than one result for %q: each side can hold only one policy", keyOf(&a[i]).text)
		}
		index[keyOf(&a[i])] = &a[i]
	}
	var left, right []*measure.Result
	for i := range b {
		if r := index[keyOf(&b[i])]; r != nil {
			left, right = append(left, r), append(right, &b[i])
			delete(index, keyOf(&b[i]))
		}
	}
	if len(left) == 0 {
		return nil, errors.New("nothing to compare: no scenario and seed occurs on both sides")
	}
	var differences []Difference
	for _, name := range MeasureNames {
		d := Difference{Measure: name, Pairs: len(left)}
		var deltas []float64
		for i := range left {
			x, y := Measures[name](left[i]), Measures[name](right[i])
			d.A, d.B = d.A+x/float64(len(left)), d.B+y/float64(len(left))
			deltas = append(deltas, y-x)
		}
		mean, sd := stat.MeanStdDev(deltas, nil)
		d.Mean, d.Low, d.High = mean, math.Inf(-1), math.Inf(1)
		if n := float64(len(deltas)); n > 1 {
			halfWidth := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: n - 1}.Quantile(0.975) * stat.StdErr(sd, n)
			d.Low, d.High = mean-halfWidth, mean+halfWidth
		}
		differences = append(differences, d)
	}
	return differences, nil
}
