package scale

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"strings"
	"text/tabwriter"
)

// Origin tells where a figure comes from.
type Origin string

const (
	Measured     Origin = "run"        // it was measured at the size that it is told for
	Extrapolated Origin = "slope"      // the line through what was measured, at that size
	Calculated   Origin = "arithmetic" // worked out from other figures
)

// Row is one figure of one role.
type Row struct {
	ID     string     `json:"id"` // by which a plan names its budget, as in node.rss
	Role   string     `json:"role"`
	Figure string     `json:"figure"`
	Unit   string     `json:"unit"`
	Origin Origin     `json:"origin"`
	Of     string     `json:"of,omitempty"` // what a point's X counts
	Points []Point    `json:"points,omitempty"`
	Line   *LinearFit `json:"line,omitempty"`
	Size   float64    `json:"size,omitempty"`   // the X that At is for
	At     float64    `json:"at"`               // the figure at full size
	Budget float64    `json:"budget,omitempty"` // 0: none is stated
	Must   bool       `json:"must,omitempty"`   // a run that passes the budget has failed
	Note   string     `json:"note,omitempty"`
}

// Ratio is the figure as a part of its budget; 0 where none is stated.
func (r *Row) Ratio() float64 {
	if r.Budget == 0 {
		return 0
	}
	return r.At / r.Budget
}

// Passed tells whether the figure exceeds its budget. One that is no number does.
func (r *Row) OverBudget() bool { return r.Budget > 0 && !(r.At <= r.Budget) }

// FaultRow is what a fault did.
type FaultRow struct {
	Fault     string  `json:"fault"`
	What      string  `json:"what"`  // list or configuration: whose change was followed
	Nodes     int     `json:"nodes"` // that were to have the change
	Had       int     `json:"had"`   // that had it in time
	P50       float64 `json:"p50_s"` // seconds from the change, or the heal where it came later, until it was in force
	P99       float64 `json:"p99_s"`
	Worst     float64 `json:"worst_s"`
	Calls     float64 `json:"calls_per_s"` // to the source of what changed, at the busiest second
	Bytes     float64 `json:"bytes"`       // from it, from the fault's begin until all had it
	Served    float64 `json:"served"`      // part of clients' requests at the real nodes meanwhile
	Asked     int     `json:"asked"`
	Shortened string  `json:"shortened,omitempty"` // what is shorter here than in life
}

// Report is what a run found.
type Report struct {
	Plan   string     `json:"plan"`
	Sped   float64    `json:"sped_up"` // how many times faster than in life the churn went
	Load   [2]float64 `json:"load"`    // the machine's load average of a minute, at the begin and the end: whether it was busy otherwise
	Cores  int        `json:"cores"`
	Took   float64    `json:"took_s"`
	Memory int64      `json:"memory_bytes"` // the most that all processes of the run had resident, as far as it was looked at
	Procs  int        `json:"processes"`    // the most that there were
	Parts  []PartRow  `json:"parts"`
	Rows   []Row      `json:"rows"`
	Faults []FaultRow `json:"faults"`
	Broken []string   `json:"broken"` // budgets and bounds that must hold and don't
}

// add adds rows.
func (r *Report) addRows(rows ...Row) { r.Rows = append(r.Rows, rows...) }

// row finds one; nil: it was not measured.
func (r *Report) row(id string) *Row {
	for i := range r.Rows {
		if r.Rows[i].ID == id {
			return &r.Rows[i]
		}
	}
	return nil
}

// breaks notes what must hold and does not.
func (r *Report) addFailure(format string, args ...any) {
	r.Broken = append(r.Broken, fmt.Sprintf(format, args...))
}

// judge enters the budgets, and notes which of those that must hold are passed or were not measured.
func (r *Report) applyBudgets(budgets []Budget) {
	for _, b := range budgets {
		row := r.row(b.Row)
		if row == nil {
			if b.Must {
				r.addFailure("%s: was not measured", b.Row)
			}
			continue
		}
		row.Budget, row.Must = b.Most, b.Must
		if row.OverBudget() && row.Must {
			r.addFailure("%s (%s): %s at full size, %s allowed", row.ID, row.Figure, FormatAmount(row.At, row.Unit), FormatAmount(row.Budget, row.Unit))
		}
	}
}

// WriteJSON writes all of it.
func (r *Report) WriteJSON(w io.Writer) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", " ")
	return enc.Encode(r)
}

// Print writes the tables, for people.
func (r *Report) Print(w io.Writer) error {
	fmt.Fprintf(w, "%s: %.0f s, %d cores, load %.1f at its begin and %.1f at its end; at most %d processes, %s resident\n", r.Plan, r.Took, r.Cores,
		r.Load[0], r.Load[1], r.Procs, FormatAmount(float64(r.Memory), "B"))
	fmt.Fprintf(w, "churn went %.0f times as fast as in life\n\n", r.Sped)
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	if len(r.Parts) > 0 {
		fmt.Fprintln(tw, "part\ttook\tload at its begin\tprocessor time that the host took\tof the cores'\t")
		for i := range r.Parts {
			p := &r.Parts[i]
			fmt.Fprintf(tw, "%s\t%s\t%.1f\t%s\t%.1f%%\t\n", p.Part, FormatAmount(p.Took, "s"), p.Load, FormatAmount(p.Steal, "s"), 100*p.StolenShare(r.Cores))
		}
		fmt.Fprintln(tw)
	}
	fmt.Fprintln(tw, "role\tfigure\tmeasured (size: figure)\tslope\toff\tat full size\tby\tbudget\tratio\t")
	for i := range r.Rows {
		f := &r.Rows[i]
		var points []string
		for _, p := range f.Points {
			points = append(points, fmt.Sprintf("%.0f: %s", p.X, FormatAmount(p.Y, f.Unit)))
		}
		slope, off, budget, ratio := "", "", "", ""
		if f.Line != nil {
			slope, off = FormatAmount(f.Line.Slope, f.Unit)+" a "+f.Of, fmt.Sprintf("%.1f%%", 100*f.Line.Off)
		}
		if f.Budget > 0 {
			budget, ratio = FormatAmount(f.Budget, f.Unit), fmt.Sprintf("%.2f", f.Ratio())
			if f.Must {
				budget += " (must)"
			}
			if f.OverBudget() {
				ratio += " PASSED"
			}
		}
		fmt.Fprintf(tw, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t\n", f.Role, f.Figure, strings.Join(points, ", "), slope, off, FormatAmount(f.At, f.Unit),
			f.Origin, budget, ratio)
	}
	if len(r.Faults) > 0 {
		fmt.Fprintln(tw, "\nfault\tchange of\thad it\tp50\tp99\tworst\tcalls a second, at most\tbytes\trequests served\t\t")
		for _, f := range r.Faults {
			served, calls := "", ""
			if f.What == "list" {
				calls = fmt.Sprintf("%.0f", f.Calls)
			}
			if f.Asked > 0 {
				served = fmt.Sprintf("%.4f of %d", f.Served, f.Asked)
			}
			fmt.Fprintf(tw, "%s\t%s\t%d of %d\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t\n", f.Fault, f.What, f.Had, f.Nodes, FormatAmount(f.P50, "s"), FormatAmount(f.P99, "s"),
				FormatAmount(f.Worst, "s"), calls, FormatAmount(f.Bytes, "B"), served, f.Shortened)
		}
	}
	if err := tw.Flush(); err != nil {
		return err
	}
	for _, b := range r.Broken {
		if _, err := fmt.Fprintln(w, "broken:", b); err != nil {
			return err
		}
	}
	return nil
}

// Amount words a figure with a fitting prefix: bytes by 1,024, seconds and others by 1,000.
func FormatAmount(v float64, unit string) string {
	if math.IsNaN(v) || math.IsInf(v, 0) {
		return fmt.Sprint(v)
	}
	if v == 0 {
		return "0 " + unit
	}
	base, names := 1000.0, []string{"n", "u", "m", "", "k", "M", "G"}
	switch {
	case strings.HasPrefix(unit, "B"):
		base, names = 1024, []string{"", "", "", "", "Ki", "Mi", "Gi"}
	case unit == "" || unit == "%":
		return strings.TrimSpace(fmt.Sprintf("%.4g %s", v, unit))
	}
	i := 3
	for a := math.Abs(v); a >= base && i < len(names)-1; a /= base {
		v, i = v/base, i+1
	}
	for a := math.Abs(v); a < 1 && i > 0 && base == 1000; a *= base {
		v, i = v*base, i-1
	}
	return fmt.Sprintf("%.3g %s%s", v, names[i], unit)
}
