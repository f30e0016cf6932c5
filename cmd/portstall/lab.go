package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime"
	"strings"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/schollz/progressbar/v3"

	deploylab "portstall/deploy/lab"
	"portstall/internal/lab/experiment"
	"portstall/internal/lab/measure"
	"portstall/internal/lab/model"
	"portstall/internal/lab/peer"
	"portstall/internal/lab/rig"
	"portstall/internal/lab/scenario"
)

// labCmd is the lab command.
type labCmd struct {
	Run     labRunCmd     `cmd:"" help:"Run a scenario or an experiment, and check rules and bounds."`
	Compare labCompareCmd `cmd:"" help:"Print paired differences between two policies or two files of results."`
	Replay  labReplayCmd  `cmd:"" help:"Repeat one run with a trace of each broken rule; reduce random faults to those that are needed to break it."`
	Load    labLoadCmd    `cmd:"" help:"Send a scenario's load to running nodes."`
	List    labListCmd    `cmd:"" help:"List the scenarios of the library."`
	Faults  labFaultsCmd  `cmd:"" help:"List the kinds of faults and the settings of each."`
	Scale   labScaleCmd   `cmd:"" help:"Test control processes and nodes at full size: growth of costs against budgets, and a fleet under faults."`

	ScaleWorker labScaleWorkerCmd `cmd:"" hidden:"" help:"A worker process of lab scale."`
}

// errRuleBroken reports that a rule or a bound does not hold. The details have been printed before it is returned.
var errRuleBroken = errors.New("a rule or a bound is broken")

// signalContext returns a context that ends on SIGINT or SIGTERM.
func signalContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
}

// labRunCmd is the lab run command.
type labRunCmd struct {
	Name    string   `arg:"" help:"A scenario of the library, a scenario file or an experiment file."`
	Policy  []string `help:"Policies to run, instead of the file's." placeholder:"NAME"`
	Seeds   string   `help:"Seeds such as 1,2,5-8, instead of the file's."`
	Draw    string   `help:"Seeds for random faults, instead of the file's seeds and faults."`
	Engine  string   `enum:"model,rig" default:"model" help:"model: virtual time. rig: real sockets and processes, in real time."`
	Workers int      `default:"0" help:"Concurrent runs; 0: one per core."`
	JSON    string   `name:"json" help:"Write results as JSON lines to this file." placeholder:"FILE"`
	HTML    string   `name:"html" help:"Write a report to this file." placeholder:"FILE"`
	Quiet   bool     `help:"Show no progress."`
}

// Run prints the table of results and what is broken. It returns errRuleBroken if anything is.
func (c *labRunCmd) Run() error {
	e, runs, err := c.plan()
	if err != nil {
		return usageError{err}
	}
	var results []measure.Result
	if c.Engine == "rig" {
		results, err = c.runOnRig(runs)
	} else {
		workers := c.Workers
		if workers == 0 {
			workers = runtime.GOMAXPROCS(0)
		}
		bar := progressbar.DefaultSilent(int64(len(runs)))
		if !c.Quiet && len(runs) > 1 {
			bar = progressbar.NewOptions(len(runs), progressbar.OptionSetWriter(os.Stderr), progressbar.OptionShowCount(),
				progressbar.OptionSetDescription(e.Name), progressbar.OptionClearOnFinish())
		}
		results, err = experiment.RunAll(runs, workers, func(int, *measure.Result) { bar.Add(1) })
		bar.Finish()
	}
	if err != nil {
		return err
	}
	experiment.WriteTable(os.Stdout, results)
	broken := e.Violations(results)
	if err := c.writeResults(e.Name, results, broken); err != nil {
		return err
	}
	if len(broken) == 0 {
		return nil
	}
	for _, b := range broken {
		fmt.Println("broken:", b)
	}
	for i := range results {
		if r := &results[i]; r.Policy == "portstall" && len(r.Breaches) > 0 {
			fmt.Printf("\nseed %d: %s\nto repeat: %s\n", r.Seed, r.Breaches[0], c.replayCommand(r))
		}
	}
	return errRuleBroken
}

// replayCommand returns the command line that repeats a run.
func (c *labRunCmd) replayCommand(r *measure.Result) string {
	text := fmt.Sprintf("portstall lab replay %s --policy %s --seed %d", c.Name, r.Policy, r.Seed)
	if c.Draw != "" {
		text += " --draw --shrink"
	}
	return text
}

// plan reads the scenario or experiment and returns its runs, with the flags applied.
func (c *labRunCmd) plan() (*experiment.Experiment, []experiment.Run, error) {
	text, err := experiment.Read(c.Name)
	if err != nil {
		return nil, nil, err
	}
	var e *experiment.Experiment
	if experiment.IsExperiment(text) {
		e, err = experiment.Parse(c.Name, text)
	} else {
		var s scenario.Scenario
		s, err = scenario.Parse(c.Name, text)
		e = &experiment.Experiment{Name: s.Name, Scenarios: []string{c.Name}, Policies: []string{"portstall"}, Seeds: []uint64{s.Seed}}
	}
	if err != nil {
		return nil, nil, err
	}
	if len(c.Policy) > 0 {
		e.Policies = c.Policy
	}
	seeds := c.Seeds
	if c.Draw != "" {
		seeds = c.Draw
	}
	if seeds != "" {
		if e.Seeds, err = experiment.ParseSeeds(seeds); err != nil {
			return nil, nil, err
		}
	}
	for _, p := range e.Policies {
		if _, err := peer.Lookup(p); err != nil {
			return nil, nil, err
		}
	}
	runs, err := e.Runs()
	if c.Draw != "" {
		for i := range runs {
			runs[i].Scenario = scenario.WithRandomFaults(runs[i].Scenario, runs[i].Scenario.Seed)
		}
	}
	return e, runs, err
}

// runOnRig runs on real sockets, one run after the other, since concurrent runs would compete for the machine.
func (c *labRunCmd) runOnRig(runs []experiment.Run) ([]measure.Result, error) {
	ctx, stop := signalContext()
	defer stop()
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	var results []measure.Result
	for _, r := range runs {
		if r.Policy != "portstall" {
			return nil, usageError{fmt.Errorf("policy %s: the rig runs real nodes, which only have the policy portstall", r.Policy)}
		}
		res, err := rig.Run(ctx, r.Scenario, rig.Options{Binary: self})
		if err != nil {
			return nil, err
		}
		res.Params = r.Params
		results = append(results, res)
	}
	return results, nil
}

// writeResults writes the results to the files that the flags name.
func (c *labRunCmd) writeResults(name string, results []measure.Result, broken []string) error {
	if c.JSON != "" {
		if err := writeFile(c.JSON, func(w io.Writer) error { return experiment.WriteLines(w, results) }); err != nil {
			return err
		}
	}
	if c.HTML != "" {
		return writeFile(c.HTML, func(w io.Writer) error { return experiment.WriteReport(w, name, results, broken) })
	}
	return nil
}

// writeFile creates a file and writes it by a function.
func writeFile(path string, write func(w io.Writer) error) error {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	w := bufio.NewWriter(f)
	return errors.Join(write(w), w.Flush(), f.Close())
}

// labCompareCmd is the lab compare command.
type labCompareCmd struct {
	A        string `arg:"" help:"A policy, or a file of results."`
	B        string `arg:"" help:"The policy or file of results that A is compared with."`
	Scenario string `default:"smoke" help:"The scenario or experiment that policies among A and B run."`
	Seeds    string `default:"1-10" help:"The seeds of these runs."`
}

// Run prints the differences as a table.
func (c *labCompareCmd) Run() error {
	a, err := c.results(c.A)
	if err != nil {
		return usageError{err}
	}
	b, err := c.results(c.B)
	if err != nil {
		return usageError{err}
	}
	differences, err := experiment.Compare(a, b)
	if err != nil {
		return usageError{err}
	}
	fmt.Printf("%d pairs; %s minus %s, with 95%% confidence intervals\n", differences[0].Pairs, c.B, c.A)
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(w, "measure\t%s\t%s\tdifference\tfrom\tto\t\t\n", c.A, c.B)
	for _, d := range differences {
		mark := ""
		if d.ExcludesZero() {
			mark = "clear"
		}
		fmt.Fprintf(w, "%s\t%.4g\t%.4g\t%+.4g\t%+.4g\t%+.4g\t%s\t\n", d.Measure, d.A, d.B, d.Mean, d.Low, d.High, mark)
	}
	return w.Flush()
}

// results returns one side of a comparison: the results in a file, or those of a policy that is run now.
func (c *labCompareCmd) results(name string) ([]measure.Result, error) {
	if _, err := peer.Lookup(name); err != nil {
		if _, statErr := os.Stat(name); statErr != nil {
			return nil, errors.Join(err, statErr)
		}
		return experiment.ReadLines(name)
	}
	_, runs, err := (&labRunCmd{Name: c.Scenario, Policy: []string{name}, Seeds: c.Seeds}).plan()
	if err != nil {
		return nil, err
	}
	return experiment.RunAll(runs, runtime.GOMAXPROCS(0), nil)
}

// labReplayCmd is the lab replay command.
type labReplayCmd struct {
	Name   string `arg:"" help:"A scenario of the library or a scenario file."`
	Policy string `default:"portstall" help:"The policy that broke a rule."`
	Seed   uint64 `help:"The seed of the run; 0: the scenario's."`
	Draw   bool   `help:"The run had random faults, derived from the seed."`
	Shrink bool   `help:"Remove faults as long as a rule is still broken."`
}

// Run repeats the run and prints the trace of each broken rule. It returns errRuleBroken if there is one.
func (c *labReplayCmd) Run() error {
	s, err := experiment.Load(c.Name)
	if err != nil {
		return usageError{err}
	}
	newPolicy, err := peer.Lookup(c.Policy)
	if err != nil {
		return usageError{err}
	}
	if c.Seed != 0 {
		s.Seed = c.Seed
	}
	if c.Draw {
		s = scenario.WithRandomFaults(s, s.Seed)
	}
	play := func(s scenario.Scenario) (measure.Result, error) {
		return model.Run(s, model.Options{Policy: c.Policy, NewDecider: newPolicy, Traces: true})
	}
	r, err := play(s)
	if err != nil {
		return err
	}
	if r.BreachTotal() == 0 {
		fmt.Printf("%s, seed %d: all rules are kept; %.3f of the value is served; digest %s\n", s.Name, s.Seed, r.All.EarnedShare(), r.Digest)
		return nil
	}
	if c.Shrink {
		before := len(s.Faults)
		var runs int
		s, runs = experiment.Shrink(s, func(s scenario.Scenario) bool {
			r, err := play(s)
			return err == nil && r.BreachTotal() > 0
		})
		fmt.Printf("%d of %d faults are enough to break a rule (%d runs):\n", len(s.Faults), before, runs)
		for _, f := range s.Faults {
			fmt.Println("  -", f)
		}
		if r, err = play(s); err != nil {
			return err
		}
	}
	fmt.Printf("%s, seed %d, digest %s: %v\n", s.Name, s.Seed, r.Digest, r.Broken)
	for _, b := range r.Breaches {
		fmt.Println(b)
	}
	return errRuleBroken
}

// labLoadCmd is the lab load command.
type labLoadCmd struct {
	Name    string        `arg:"" help:"A scenario of the library or a scenario file, whose clients and classes are used."`
	Addr    []string      `required:"" help:"Addresses at which nodes serve clients, host:port; loopback only." placeholder:"ADDR"`
	Rate    float64       `help:"Requests per second, instead of the scenario's."`
	For     time.Duration `help:"Duration, instead of the scenario's."`
	Timeout time.Duration `default:"10s" help:"How long to wait for the last responses."`
}

// Run sends the load and prints a summary.
func (c *labLoadCmd) Run() error {
	s, err := experiment.Load(c.Name)
	if err != nil {
		return usageError{err}
	}
	if c.Rate > 0 {
		s.Clients.Rate = c.Rate
	}
	if c.For > 0 {
		s.Duration, s.Warmup, s.Faults = c.For, 0, nil
	}
	if err := s.Check(); err != nil {
		return usageError{err}
	}
	ctx, stop := signalContext()
	defer stop()
	r, err := rig.Load(ctx, s, c.Addr)
	if err != nil {
		return usageError{err}
	}
	printSummary(os.Stdout, &r)
	return nil
}

// labListCmd is the lab list command.
type labListCmd struct{}

// Run prints one line per scenario of the library.
func (labListCmd) Run() error {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	for _, name := range deploylab.Names() {
		s, err := experiment.Load(name)
		if err != nil {
			return err
		}
		fmt.Fprintf(w, "%s\t%d servers, %d nodes, %v\t%s\n", name, s.Servers.Count, s.Nodes, s.Duration, s.About)
	}
	return w.Flush()
}

// labFaultsCmd is the lab faults command.
type labFaultsCmd struct{}

// Run prints one line per kind of fault: its settings, and whether the model alone or also the rig can inject it.
func (labFaultsCmd) Run() error {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	for _, kind := range scenario.FaultKindNames() {
		use := scenario.FaultKinds[kind]
		fields := []string{"at"}
		for _, f := range []struct {
			name  string
			reads bool
		}{{"for", !use.Instant}, {"share", use.Share}, {"part", use.Part}, {"factor", use.Factor}, {"delay", use.Delay}, {"nodes", use.Nodes}} {
			if f.reads {
				fields = append(fields, f.name)
			}
		}
		where := "model and rig"
		if !use.Rig {
			where = "model"
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", kind, strings.Join(fields, " "), where, use.About)
	}
	return w.Flush()
}

// printSummary prints the totals of a run, its endings and classes, and the broken rules.
func printSummary(w io.Writer, r *measure.Result) {
	fmt.Fprintf(w, "\n%d asked, %d served (%d in time), %.1f%% of the value; p50 %.0f ms, p99 %.0f ms\n", r.All.Asked, r.All.Served,
		r.All.InTime, 100*r.All.EarnedShare(), r.Latency.P50, r.Latency.P99)
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, end := range measure.Endings {
		if n := r.Endings[end]; n > 0 {
			fmt.Fprintf(tw, "  %s\t%d\n", end, n)
		}
	}
	for _, name := range scenario.SortedKeys(r.Classes) {
		t := r.Classes[name]
		fmt.Fprintf(tw, "  class %s\t%d asked\t%.1f%% of the value in time\n", name, t.Asked, 100*t.EarnedShare())
	}
	tw.Flush()
	if r.BreachTotal() == 0 {
		return
	}
	fmt.Fprintf(w, "rules broken: %v\n", r.Broken)
	for _, b := range r.Breaches {
		fmt.Fprintln(w, b)
	}
}
