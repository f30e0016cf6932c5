package main

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	deployscale "portstall/deploy/lab/scale"
	"portstall/internal/lab/scale"
)

// labScaleCmd is the lab scale command.
type labScaleCmd struct {
	Name  string `arg:"" optional:"" default:"full" help:"A plan of the library (full, quick, small) or a plan file."`
	Quick bool   `help:"Run the plan quick instead of the named one; takes at most 60 s."`
	JSON  string `name:"json" help:"Write all results to this file." placeholder:"FILE"`

	Beside  string        `help:"Instead of running the plan, compare the cost of a request at full size with that of an older build, given by its binary." placeholder:"BINARY"`
	Round   time.Duration `default:"10s" help:"With --beside: duration of a round, without changes or with ten configuration changes per second."`
	Rounds  int           `default:"4" help:"With --beside: number of rounds of each sort, 1 to 100."`
	Tenants int           `default:"0" help:"With --beside: number of contracts, instead of the plan's size."`
}

// Run runs a plan. It returns errRuleBroken if a mandatory budget or a bound of the run is exceeded. What was measured
// is printed and written even if the run ended early.
func (c *labScaleCmd) Run() error {
	if c.Quick {
		c.Name = "quick"
	}
	text, known := deployscale.Read(c.Name)
	if !known {
		var err error
		if text, err = os.ReadFile(c.Name); err != nil {
			return usageError{fmt.Errorf("%q is neither a plan of the library, %v, nor a file: %w", c.Name, deployscale.Names(), err)}
		}
	}
	plan, err := scale.Parse(c.Name, text)
	if err != nil {
		return usageError{err}
	}
	self, err := os.Executable()
	if err != nil {
		return err
	}
	ctx, stop := signalContext()
	defer stop()
	if c.Beside != "" {
		return c.compareBuilds(ctx, plan, self)
	}
	report, err := scale.Run(ctx, plan, scale.Options{Binary: self, Progress: os.Stderr})
	if report != nil { // also if the run ended early
		if c.JSON != "" {
			err = errors.Join(err, writeFile(c.JSON, func(w io.Writer) error { return report.WriteJSON(w) }))
		}
		err = errors.Join(err, report.Print(os.Stdout))
	}
	if err != nil {
		return err
	}
	if len(report.Broken) > 0 {
		return errRuleBroken
	}
	return nil
}

// compareBuilds runs no plan: it sends requests to nodes of two builds in turn. It returns errRuleBroken if a request
// was lost.
func (c *labScaleCmd) compareBuilds(ctx context.Context, plan *scale.Plan, self string) error {
	if _, err := os.Stat(c.Beside); err != nil {
		return usageError{fmt.Errorf("--beside: %w", err)}
	}
	if c.Rounds < 1 || c.Rounds > 100 || c.Round < time.Second || c.Round > time.Minute {
		return usageError{errors.New("--rounds is outside 1 to 100, or --round outside 1s to 1m")}
	}
	rows, err := scale.CompareBuilds(ctx, plan, scale.Options{Binary: self, Progress: os.Stderr}, scale.CompareOptions{OldBinary: c.Beside,
		Contracts: cmp.Or(c.Tenants, plan.Size.Tenants), RoundLength: c.Round, Rounds: c.Rounds, ChangesPerSecond: 10})
	if err != nil {
		return err
	}
	if c.JSON != "" {
		if err := writeFile(c.JSON, func(w io.Writer) error { return json.NewEncoder(w).Encode(rows) }); err != nil {
			return err
		}
	}
	if err := scale.PrintComparison(os.Stdout, rows); err != nil {
		return err
	}
	for _, r := range rows {
		if r.Lost > 0 {
			return errRuleBroken
		}
	}
	return nil
}

// labScaleWorkerCmd is the hidden command of a worker process of a scale run. It ends when its standard input is closed.
type labScaleWorkerCmd struct{}

// Run executes the orders on standard input.
func (labScaleWorkerCmd) Run() error { return scale.RunWorker(os.Stdin, os.Stdout) }
