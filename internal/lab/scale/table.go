package scale

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"strings"
	"text/tabwriter"
)

// Origin says where a reported value comes from.
type Origin string

// The origins of values.
const (
	Measured     Origin = "run"        // measured at the size that it is reported for
	Extrapolated Origin = "slope"      // extrapolated from measurements at other sizes by a fitted line
	Calculated   Origin = "arithmetic" // calculated from other figures
)

// Row reports one figure of one role.
type Row struct {
	ID     string     `json:"id"` // name by which a plan sets its budget, as in node.rss
	Role   string     `json:"role"`
	Figure string     `json:"figure"` // what was measured, in words
	Unit   string     `json:"unit"`
	Origin Origin     `json:"origin"`
	Of     string     `json:"of,omitempty"` // what the X of points counts
	Points []Point    `json:"points,omitempty"`
	Line   *LinearFit `json:"line,omitempty"`
	Size   float64    `json:"size,omitempty"`   // the X at which At is reported
	At     float64    `json:"at"`               // the value at full size
	Budget float64    `json:"budget,omitempty"` // maximum of At; 0: no budget is set
	Must   bool       `json:"must,omitempty"`   // a run that exceeds the budget has failed
	Note   string     `json:"note,omitempty"`
}

// Ratio returns the value divided by its budget; 0 if no budget is set.
func (r *Row) Ratio() float64 {
	if r.Budget == 0 {
		return 0
	}
	return r.At / r.Budget
}

// OverBudget reports whether the value exceeds its budget. NaN does.
func (r *Row) OverBudget() bool { return r.Budget > 0 && !(r.At <= r.Budget) }

// FaultRow reports when a change made during a fault was in force, and what happened to requests meanwhile.
type FaultRow struct {
	Fault string `json:"fault"`
	What  string `json:"what"`  // list or configuration: which change was followed
	Nodes int    `json:"nodes"` // nodes that should get the change
	Had   int    `json:"had"`   // nodes that had it in time
	// P50, P99 and Worst are seconds from the change, or from the end of the fault if that was later, until the change was
	// in force.
	P50   float64 `json:"p50_s"`
	P99   float64 `json:"p99_s"`
	Worst float64 `json:"worst_s"`
	Calls float64 `json:"calls_per_s"` // calls to the source of the change in its busiest second
	// Bytes are those exchanged with the source from the fault's start until all nodes had the change.
	Bytes     float64 `json:"bytes"`
	Served    float64 `json:"served"`              // share of the clients' requests that the real nodes served meanwhile
	Asked     int     `json:"asked"`               // requests of clients meanwhile
	Shortened string  `json:"shortened,omitempty"` // durations here and in production, if the run shortens the fault
}

// Report holds the results of a run.
type Report struct {
	Plan string  `json:"plan"`
	Sped float64 `json:"sped_up"` // how many times faster than in production servers and configuration changed
	// Load is the load average of the last minute at the run's start and end. It shows whether the machine had other work.
	Load  [2]float64 `json:"load"`
	Cores int        `json:"cores"`
	Took  float64    `json:"took_s"`
	// Memory is the highest sampled resident memory of all processes of the run together.
	Memory int64      `json:"memory_bytes"`
	Procs  int        `json:"processes"` // highest number of processes at a time
	Parts  []PartRow  `json:"parts"`
	Rows   []Row      `json:"rows"`
	Faults []FaultRow `json:"faults"`
	Broken []string   `json:"broken"` // budgets and limits that must hold and don't
}

// addRows appends rows.
func (r *Report) addRows(rows ...Row) { r.Rows = append(r.Rows, rows...) }

// row returns the row with the ID; nil if the figure was not measured.
func (r *Report) row(id string) *Row {
	for i := range r.Rows {
		if r.Rows[i].ID == id {
			return &r.Rows[i]
		}
	}
	return nil
}

// addFailure records a budget or limit that must hold and does not.
func (r *Report) addFailure(format string, args ...any) {
	r.Broken = append(r.Broken, fmt.Sprintf(format, args...))
}

// applyBudgets sets the rows' budgets. It records a failure for each budget that must hold and is exceeded or was not
// measured.
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
			r.addFailure("%s (%s): %s at full size, %s allowed", row.ID, row.Figure, FormatAmount(row.At, row.Unit),
				FormatAmount(row.Budget, row.Unit))
		}
	}
}

// WriteJSON writes the report as JSON.
func (r *Report) WriteJSON(w io.Writer) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", " ")
	return enc.Encode(r)
}

// Print writes the report as tables for people.
func (r *Report) Print(w io.Writer) error {
	fmt.Fprintf(w, "%s: %.0f s, %d cores, load %.1f at its start and %.1f at its end; at most %d processes, %s resident\n",
		r.Plan, r.Took, r.Cores,
		r.Load[0], r.Load[1], r.Procs, FormatAmount(float64(r.Memory), "B"))
	fmt.Fprintf(w, "churn was %.0f times as fast as in production\n\n", r.Sped)
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	if len(r.Parts) > 0 {
		fmt.Fprintln(tw, "part\ttook\tload at its start\tCPU time stolen by the host\tshare of all cores\t")
		for i := range r.Parts {
			p := &r.Parts[i]
			fmt.Fprintf(tw, "%s\t%s\t%.1f\t%s\t%.1f%%\t\n", p.Part, FormatAmount(p.Took, "s"), p.Load,
				FormatAmount(p.Steal, "s"), 100*p.StolenShare(r.Cores))
		}
		fmt.Fprintln(tw)
	}
	fmt.Fprintln(tw, "role\tfigure\tmeasured (size: value)\tslope\tfit error\tat full size\torigin\tbudget\tratio\t")
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
		fmt.Fprintf(tw, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t\n", f.Role, f.Figure, strings.Join(points, ", "), slope,
			off, FormatAmount(f.At, f.Unit),
			f.Origin, budget, ratio)
	}
	if len(r.Faults) > 0 {
		fmt.Fprintln(tw, "\nfault\tchange of\thad it\tp50\tp99\tworst\tpeak calls per second\tbytes\trequests served\t\t")
		for _, f := range r.Faults {
			served, calls := "", ""
			if f.What == "list" {
				calls = fmt.Sprintf("%.0f", f.Calls)
			}
			if f.Asked > 0 {
				served = fmt.Sprintf("%.4f of %d", f.Served, f.Asked)
			}
			fmt.Fprintf(tw, "%s\t%s\t%d of %d\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t\n", f.Fault, f.What, f.Had, f.Nodes,
				FormatAmount(f.P50, "s"), FormatAmount(f.P99, "s"),
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

// FormatAmount formats a value with a suitable unit prefix: bytes in steps of 1,024, seconds and others in steps of
// 1,000.
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
