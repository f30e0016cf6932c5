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

type labCmd struct {
	Run     labRunCmd     `cmd:"" help:"Run a scenario, or an experiment of many, and check rules and bounds."`
	Compare labCompareCmd `cmd:"" help:"Print paired differences between two policies, or between two files of results."`
	Replay  labReplayCmd  `cmd:"" help:"Play one run again with every broken rule's story; shrink drawn faults to those that matter."`
	Load    labLoadCmd    `cmd:"" help:"Send a scenario's load to a node that runs."`
	List    labListCmd    `cmd:"" help:"List the library's scenarios."`
	Faults  labFaultsCmd  `cmd:"" help:"List the kinds of faults and the figures that each reads."`
	Scale   labScaleCmd   `cmd:"" help:"Try the control side at full size: slopes beside budgets, and a fleet through faults."`

	ScaleWorker labScaleWorkerCmd `cmd:"" hidden:"" help:"A process of lab scale."`
}

// errBroken is a rule or a bound that does not hold. What is broken was printed before.
var errBroken = errors.New("a rule or a bound is broken")

// interruptible ends on SIGINT and SIGTERM.
func interruptible() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
}

type labRunCmd struct {
	Name    string   `arg:"" help:"A scenario of the library, a scenario file or an experiment file."`
	Policy  []string `help:"Policies to play, in place of the file's." placeholder:"NAME"`
	Seeds   string   `help:"Seeds such as 1,2,5-8, in place of the file's."`
	Draw    string   `help:"Seeds for which faults are drawn, in place of the file's."`
	Engine  string   `enum:"model,rig" default:"model" help:"model: virtual time. rig: real sockets and processes, in real time."`
	Workers int      `default:"0" help:"Runs side by side; 0: one a core."`
	JSON    string   `name:"json" help:"Write results as JSON lines to this file." placeholder:"FILE"`
	HTML    string   `name:"html" help:"Write a report to this file." placeholder:"FILE"`
	Quiet   bool     `help:"No progress."`
}

func (c *labRunCmd) Run() error {
	e, runs, err := c.plan()
	if err != nil {
		return usageError{err}
	}
	var results []measure.Result
	if c.Engine == "rig" {
		results, err = c.onRig(runs)
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
		results, err = experiment.Play(runs, workers, func(int, *measure.Result) { bar.Add(1) })
		bar.Finish()
	}
	if err != nil {
		return err
	}
	experiment.Table(os.Stdout, results)
	broken := e.Broken(results)
	if err := c.write(e.Name, results, broken); err != nil {
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
			fmt.Printf("\nseed %d: %s\nonce more: %s\n", r.Seed, r.Breaches[0], c.replayOf(r))
		}
	}
	return errBroken
}

// replayOf is the call that plays a run again.
func (c *labRunCmd) replayOf(r *measure.Result) string {
	text := fmt.Sprintf("portstall lab replay %s --policy %s --seed %d", c.Name, r.Policy, r.Seed)
	if c.Draw != "" {
		text += " --draw --shrink"
	}
	return text
}

// plan says what is run.
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
			runs[i].Scenario = scenario.Draw(runs[i].Scenario, runs[i].Scenario.Seed)
		}
	}
	return e, runs, err
}

// onRig plays the runs one after the other, as each has the machine to itself.
func (c *labRunCmd) onRig(runs []experiment.Run) ([]measure.Result, error) {
	ctx, stop := interruptible()
	defer stop()
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	var results []measure.Result
	for _, r := range runs {
		if r.Policy != "portstall" {
			return nil, usageError{fmt.Errorf("policy %s: the rig plays real nodes, which run portstall's", r.Policy)}
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

// write keeps the results where the flags say.
func (c *labRunCmd) write(name string, results []measure.Result, broken []string) error {
	if c.JSON != "" {
		if err := toFile(c.JSON, func(w io.Writer) error { return experiment.WriteLines(w, results) }); err != nil {
			return err
		}
	}
	if c.HTML != "" {
		return toFile(c.HTML, func(w io.Writer) error { return experiment.Report(w, name, results, broken) })
	}
	return nil
}

func toFile(path string, write func(w io.Writer) error) error {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	w := bufio.NewWriter(f)
	return errors.Join(write(w), w.Flush(), f.Close())
}

type labCompareCmd struct {
	A        string `arg:"" help:"A policy, or a file of results."`
	B        string `arg:"" help:"What it is compared with."`
	Scenario string `default:"smoke" help:"Where A and B are policies: the scenario or experiment that both play."`
	Seeds    string `default:"1-10" help:"And the seeds."`
}

func (c *labCompareCmd) Run() error {
	a, err := c.side(c.A)
	if err != nil {
		return usageError{err}
	}
	b, err := c.side(c.B)
	if err != nil {
		return usageError{err}
	}
	all, err := experiment.Compare(a, b)
	if err != nil {
		return usageError{err}
	}
	fmt.Printf("%d pairs; %s less %s, with 95%% confidence intervals\n", all[0].Pairs, c.B, c.A)
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(w, "measure\t%s\t%s\tdifference\tfrom\tto\t\t\n", c.A, c.B)
	for _, d := range all {
		mark := ""
		if d.Clear() {
			mark = "clear"
		}
		fmt.Fprintf(w, "%s\t%.4g\t%.4g\t%+.4g\t%+.4g\t%+.4g\t%s\t\n", d.Measure, d.A, d.B, d.Mean, d.Low, d.High, mark)
	}
	return w.Flush()
}

// side is one side of a comparison: the results in a file, or those of a policy played now.
func (c *labCompareCmd) side(name string) ([]measure.Result, error) {
	if _, err := peer.Lookup(name); err != nil {
		if _, e := os.Stat(name); e != nil {
			return nil, errors.Join(err, e)
		}
		return experiment.ReadLines(name)
	}
	_, runs, err := (&labRunCmd{Name: c.Scenario, Policy: []string{name}, Seeds: c.Seeds}).plan()
	if err != nil {
		return nil, err
	}
	return experiment.Play(runs, runtime.GOMAXPROCS(0), nil)
}

type labReplayCmd struct {
	Name   string `arg:"" help:"A scenario of the library or a scenario file."`
	Policy string `default:"portstall" help:"The policy that broke a rule."`
	Seed   uint64 `help:"The run's seed; 0: the scenario's."`
	Draw   bool   `help:"The faults were drawn by the seed."`
	Shrink bool   `help:"Leave out faults for as long as a rule still breaks."`
}

func (c *labReplayCmd) Run() error {
	s, err := experiment.Load(c.Name)
	if err != nil {
		return usageError{err}
	}
	make, err := peer.Lookup(c.Policy)
	if err != nil {
		return usageError{err}
	}
	if c.Seed != 0 {
		s.Seed = c.Seed
	}
	if c.Draw {
		s = scenario.Draw(s, s.Seed)
	}
	play := func(s scenario.Scenario) (measure.Result, error) {
		return model.Run(s, model.Options{Policy: c.Policy, Make: make, Stories: true})
	}
	r, err := play(s)
	if err != nil {
		return err
	}
	if r.BrokenTotal() == 0 {
		fmt.Printf("%s, seed %d: all rules are kept; %.3f of the worth is served; digest %s\n", s.Name, s.Seed, r.All.Share(), r.Digest)
		return nil
	}
	if c.Shrink {
		before := len(s.Faults)
		var runs int
		s, runs = experiment.Shrink(s, func(s scenario.Scenario) bool {
			r, err := play(s)
			return err == nil && r.BrokenTotal() > 0
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
	return errBroken
}

type labLoadCmd struct {
	Name    string        `arg:"" help:"A scenario of the library or a scenario file, for its clients and classes."`
	Addr    []string      `required:"" help:"Where nodes take clients, as host:port; loopback only." placeholder:"ADDR"`
	Rate    float64       `help:"Requests a second, in place of the scenario's."`
	For     time.Duration `help:"How long, in place of the scenario's."`
	Timeout time.Duration `default:"10s" help:"How long the last answers are waited for."`
}

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
	ctx, stop := interruptible()
	defer stop()
	r, err := rig.Load(ctx, s, c.Addr)
	if err != nil {
		return usageError{err}
	}
	printSummary(os.Stdout, &r)
	return nil
}

type labListCmd struct{}

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

type labFaultsCmd struct{}

func (labFaultsCmd) Run() error {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	for _, kind := range scenario.KindNames() {
		use := scenario.Kinds[kind]
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

// printSummary prints what a run came to.
func printSummary(w io.Writer, r *measure.Result) {
	fmt.Fprintf(w, "\n%d asked, %d served (%d in time), %.1f%% of the worth; p50 %.0f ms, p99 %.0f ms\n", r.All.Asked, r.All.Served,
		r.All.InTime, 100*r.All.Share(), r.Latency.P50, r.Latency.P99)
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, end := range measure.Endings {
		if n := r.Endings[end]; n > 0 {
			fmt.Fprintf(tw, "  %s\t%d\n", end, n)
		}
	}
	for _, name := range scenario.Sorted(r.Classes) {
		t := r.Classes[name]
		fmt.Fprintf(tw, "  class %s\t%d asked\t%.1f%% of the worth in time\n", name, t.Asked, 100*t.Share())
	}
	tw.Flush()
	if r.BrokenTotal() == 0 {
		return
	}
	fmt.Fprintf(w, "rules broken: %v\n", r.Broken)
	for _, b := range r.Breaches {
		fmt.Fprintln(w, b)
	}
}
