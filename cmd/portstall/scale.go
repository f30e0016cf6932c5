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

type labScaleCmd struct {
	Name  string `arg:"" optional:"" default:"full" help:"A plan of the library (full, quick, small) or a plan file."`
	Quick bool   `help:"The plan quick, in place of the one that is named: within 60 s."`
	JSON  string `name:"json" help:"Write all that was found to this file." placeholder:"FILE"`

	Beside  string        `help:"Hold what a request takes at full size beside an older build's, by its binary, in place of the plan." placeholder:"BINARY"`
	Round   time.Duration `default:"10s" help:"With beside: a quiet round, or one with ten changes of the configuration a second."`
	Rounds  int           `default:"4" help:"With beside: so many of each, 1 to 100."`
	Tenants int           `default:"0" help:"With beside: contracts in force, in place of the plan's size."`
}

// Run plays a plan: exit code 1 where a budget that must hold is passed, or a bound of the run.
func (c *labScaleCmd) Run() error {
	if c.Quick {
		c.Name = "quick"
	}
	text, known := deployscale.Read(c.Name)
	if !known {
		var err error
		if text, err = os.ReadFile(c.Name); err != nil {
			return usageError{fmt.Errorf("%q is no plan of the library, %v, and no file: %w", c.Name, deployscale.Names(), err)}
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
	ctx, stop := interruptible()
	defer stop()
	if c.Beside != "" {
		return c.beside(ctx, plan, self)
	}
	report, err := scale.Run(ctx, plan, scale.Options{Binary: self, Tell: os.Stderr})
	if report != nil { // also where the run came to an end before its time
		if c.JSON != "" {
			err = errors.Join(err, toFile(c.JSON, func(w io.Writer) error { return report.WriteJSON(w) }))
		}
		err = errors.Join(err, report.Print(os.Stdout))
	}
	if err != nil {
		return err
	}
	if len(report.Broken) > 0 {
		return errBroken
	}
	return nil
}

// beside plays no plan: it asks nodes of two builds in turn. Exit code 1 where a request was lost.
func (c *labScaleCmd) beside(ctx context.Context, plan *scale.Plan, self string) error {
	if _, err := os.Stat(c.Beside); err != nil {
		return usageError{fmt.Errorf("--beside: %w", err)}
	}
	if c.Rounds < 1 || c.Rounds > 100 || c.Round < time.Second || c.Round > time.Minute {
		return usageError{errors.New("--rounds is outside 1 to 100, or --round outside 1s to 1m")}
	}
	rows, err := scale.Beside(ctx, plan, scale.Options{Binary: self, Tell: os.Stderr}, scale.BesideOptions{Old: c.Beside,
		Contracts: cmp.Or(c.Tenants, plan.Size.Tenants), Round: c.Round, Rounds: c.Rounds, Changes: 10})
	if err != nil {
		return err
	}
	if c.JSON != "" {
		if err := toFile(c.JSON, func(w io.Writer) error { return json.NewEncoder(w).Encode(rows) }); err != nil {
			return err
		}
	}
	if err := scale.PrintBeside(os.Stdout, rows); err != nil {
		return err
	}
	for _, r := range rows {
		if r.Lost > 0 {
			return errBroken
		}
	}
	return nil
}

// labScaleWorkerCmd is a process of a scale run. It ends with its standard input.
type labScaleWorkerCmd struct{}

func (labScaleWorkerCmd) Run() error { return scale.Work(os.Stdin, os.Stdout) }
