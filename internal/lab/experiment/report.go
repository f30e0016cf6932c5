package experiment

import (
	"bytes"
	"fmt"
	"html/template"
	"io"
	"slices"
	"sort"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"portstall/internal/lab/measure"
	"portstall/internal/lab/scenario"
)

// group holds what the report shows side by side: all policies and seeds of one scenario and one set of swept values.
// The template reads its exported fields.
type group struct {
	Title     string
	Rows      []policyRow
	Plots     []template.HTML
	Causes    []causeRow
	Breakdown []breakdownRow
	columns   []column
}

// column holds the results of one policy in a group, one for each seed.
type column struct {
	policy  string
	results []*measure.Result
}

// policyRow is a row of the main table: the means of one policy in the order of MeasureNames, and the rules that it
// broke.
type policyRow struct {
	Policy  string
	Seeds   int
	Figures []string
	Broken  string
}

// causeRow holds the mean count of a cause of tries that were not served, for each policy.
type causeRow struct {
	Cause  string
	Counts []string
}

// breakdownRow holds the share of value served for one class or tenant, for each policy.
type breakdownRow struct {
	Name   string
	Shares []string
}

// mean returns the mean of a measure over the column's seeds.
func (c *column) mean(f func(r *measure.Result) float64) float64 {
	sum := 0.0
	for _, r := range c.results {
		sum += f(r)
	}
	return sum / float64(len(c.results))
}

// groupResults collects results by group and policy, in the order of their first occurrence.
func groupResults(results []measure.Result) []*group {
	var all []*group
	index := map[string]*group{}
	for i := range results {
		r := &results[i]
		title := r.Scenario + formatParams(r.Params)
		g := index[title]
		if g == nil {
			g = &group{Title: title}
			index[title] = g
			all = append(all, g)
		}
		k := slices.IndexFunc(g.columns, func(c column) bool { return c.policy == r.Policy })
		if k < 0 {
			g.columns = append(g.columns, column{policy: r.Policy})
			k = len(g.columns) - 1
		}
		g.columns[k].results = append(g.columns[k].results, r)
	}
	return all
}

// brokenRules lists the rules that the column's policy broke, each with the number of runs in which it did.
func (c *column) brokenRules() string {
	runs := map[string]int{}
	for _, r := range c.results {
		for rule := range r.Broken {
			runs[rule]++
		}
	}
	text := ""
	for _, rule := range scenario.SortedKeys(runs) {
		if text != "" {
			text += ", "
		}
		text += fmt.Sprintf("%s (%d of %d)", rule, runs[rule], len(c.results))
	}
	return text
}

// WriteTable writes a Markdown table with one row for each scenario, set of swept values and policy, with means over
// the seeds.
func WriteTable(w io.Writer, results []measure.Result) {
	fmt.Fprintln(w, "| scenario | policy | seeds | worth served | worst class | p50 ms | p99 ms | p99.9 ms | attempts | rules broken |")
	fmt.Fprintln(w, "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")
	for _, g := range groupResults(results) {
		for i := range g.columns {
			c := &g.columns[i]
			broken := c.brokenRules()
			if broken == "" {
				broken = "none"
			}
			fmt.Fprintf(w, "| %s | %s | %d | %.3f | %.3f | %.0f | %.0f | %.0f | %.2f | %s |\n", g.Title, c.policy, len(c.results),
				c.mean(Measures["share"]), c.mean(Measures["worst"]), c.mean(Measures["p50"]), c.mean(Measures["p99"]),
				c.mean(Measures["p99.9"]), c.mean(Measures["attempts"]), broken)
		}
	}
}

// WriteReport writes a self-contained HTML page with the results and the violations of bounds and rules.
func WriteReport(w io.Writer, title string, results []measure.Result, violations []string) error {
	all := groupResults(results)
	for _, g := range all {
		if err := g.addContent(); err != nil {
			return err
		}
	}
	return reportTemplate.Execute(w, map[string]any{"Title": title, "Groups": all, "Broken": violations, "Measures": MeasureNames})
}

// addContent fills the group's tables and plots from its columns.
func (g *group) addContent() error {
	causes, names := map[string]bool{}, map[string]bool{}
	for i := range g.columns {
		c := &g.columns[i]
		r := policyRow{Policy: c.policy, Seeds: len(c.results), Broken: c.brokenRules()}
		for _, m := range MeasureNames {
			r.Figures = append(r.Figures, fmt.Sprintf("%.4g", c.mean(Measures[m])))
		}
		g.Rows = append(g.Rows, r)
		for _, res := range c.results {
			for cause := range res.Causes {
				causes[cause] = true
			}
			for name := range res.Classes {
				names["class "+name] = true
			}
			for name := range res.Tenants {
				names["tenant "+name] = true
			}
		}
	}
	for _, cause := range scenario.SortedKeys(causes) {
		row := causeRow{Cause: cause}
		for i := range g.columns {
			row.Counts = append(row.Counts, fmt.Sprintf("%.1f", g.columns[i].mean(func(r *measure.Result) float64 { return float64(r.Causes[cause]) })))
		}
		g.Causes = append(g.Causes, row)
	}
	for _, name := range scenario.SortedKeys(names) {
		row := breakdownRow{Name: name}
		for i := range g.columns {
			row.Shares = append(row.Shares, fmt.Sprintf("%.3f", g.columns[i].mean(func(r *measure.Result) float64 {
				t := r.Tenants[strings.TrimPrefix(name, "tenant ")]
				if class, ok := strings.CutPrefix(name, "class "); ok {
					t = r.Classes[class]
				}
				if t == nil {
					return 1
				}
				return t.EarnedShare()
			})))
		}
		g.Breakdown = append(g.Breakdown, row)
	}
	plotSeconds := func(title, y string, f func(s measure.Second) float64) error {
		return g.addPlot(title, "s", y, func(r *measure.Result) plotter.XYs {
			var pts plotter.XYs
			for i, s := range r.Series {
				if s.Asked > 0 {
					pts = append(pts, plotter.XY{X: float64(i), Y: f(s)})
				}
			}
			return pts
		})
	}
	plots := []func() error{
		func() error {
			return plotSeconds("Worth served in time", "share", func(s measure.Second) float64 {
				if s.Offered == 0 {
					return 1
				}
				return s.Earned / s.Offered
			})
		},
		func() error {
			return plotSeconds("Refused and failed", "per second", func(s measure.Second) float64 { return float64(s.Refused + s.Failed) })
		},
		func() error {
			return plotSeconds("Attempts per request", "attempts", func(s measure.Second) float64 { return float64(s.Attempts) / float64(s.Asked) })
		},
		func() error {
			return g.addPlot("Response time", "percentile", "ms", func(r *measure.Result) plotter.XYs {
				q := r.Latency
				return plotter.XYs{{X: 50, Y: q.P50}, {X: 90, Y: q.P90}, {X: 99, Y: q.P99}, {X: 99.9, Y: q.P999}}
			})
		},
		func() error {
			return g.addPlot("Load of each server, sorted", "server", "busy share", func(r *measure.Result) plotter.XYs {
				busy := make([]float64, 0, len(r.Servers))
				for _, s := range r.Servers {
					busy = append(busy, s.Busy)
				}
				sort.Float64s(busy)
				step := max(1, len(busy)/500)
				var pts plotter.XYs
				for i := 0; i < len(busy); i += step {
					pts = append(pts, plotter.XY{X: float64(i), Y: busy[i]})
				}
				return pts
			})
		},
	}
	for _, add := range plots {
		if err := add(); err != nil {
			return err
		}
	}
	return nil
}

// addPlot adds an SVG plot with one line for each policy, of its first seed. points returns the line's points.
func (g *group) addPlot(title, x, y string, points func(r *measure.Result) plotter.XYs) error {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, x, y
	p.Legend.Top = true
	p.Y.Min = 0
	for i := range g.columns {
		c := &g.columns[i]
		pts := points(c.results[0])
		if len(pts) == 0 {
			continue
		}
		line, err := plotter.NewLine(pts)
		if err != nil {
			return err
		}
		line.Color, line.Dashes = plotutil.Color(i), plotutil.Dashes(i/7)
		p.Add(line)
		p.Legend.Add(c.policy, line)
	}
	svg, err := p.WriterTo(14*vg.Centimeter, 8*vg.Centimeter, "svg")
	if err != nil {
		return err
	}
	var buf bytes.Buffer
	if _, err := svg.WriteTo(&buf); err != nil {
		return err
	}
	text := buf.Bytes()
	if i := bytes.Index(text, []byte("<svg")); i > 0 {
		text = text[i:] // drops the XML prologue, which is not allowed inside an HTML page
	}
	g.Plots = append(g.Plots, template.HTML(text))
	return nil
}

// reportTemplate is the HTML page of WriteReport.
var reportTemplate = template.Must(template.New("report").Parse(`<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>{{.Title}}</title><style>
body{font:15px/1.45 sans-serif;margin:2em auto;max-width:72em;padding:0 1em;color:#222}
table{border-collapse:collapse;margin:1em 0}td,th{border-bottom:1px solid #ddd;padding:.25em .7em;text-align:right}
td:first-child,th:first-child{text-align:left}.plots svg{max-width:48%;height:auto}.bad{color:#a00}
</style></head><body><h1>{{.Title}}</h1>
{{if .Broken}}<h2 class="bad">Broken bounds and rules</h2><ul>{{range .Broken}}<li class="bad">{{.}}</li>{{end}}</ul>{{else}}<p>All bounds hold.</p>{{end}}
{{$measures := .Measures}}{{range .Groups}}<h2>{{.Title}}</h2>
<table><tr><th>policy</th><th>seeds</th>{{range $measures}}<th>{{.}}</th>{{end}}<th>rules broken</th></tr>
{{range .Rows}}<tr><td>{{.Policy}}</td><td>{{.Seeds}}</td>{{range .Figures}}<td>{{.}}</td>{{end}}<td class="bad">{{.Broken}}</td></tr>{{end}}</table>
<div class="plots">{{range .Plots}}{{.}}{{end}}</div>
<table><tr><th>worth served in time</th>{{range .Rows}}<th>{{.Policy}}</th>{{end}}</tr>
{{range .Breakdown}}<tr><td>{{.Name}}</td>{{range .Shares}}<td>{{.}}</td>{{end}}</tr>{{end}}</table>
{{if .Causes}}<table><tr><th>tries not served, by cause</th>{{range .Rows}}<th>{{.Policy}}</th>{{end}}</tr>
{{range .Causes}}<tr><td>{{.Cause}}</td>{{range .Counts}}<td>{{.}}</td>{{end}}</tr>{{end}}</table>{{end}}
{{end}}</body></html>
`))
