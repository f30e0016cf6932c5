package main

import (
	"fmt"
	"os"
	"time"

	"portstall/internal/lab/experiment"
	"portstall/internal/lab/measure"
	"portstall/internal/lab/rig"
	"portstall/internal/lab/scenario"
)

// demoCmd is the demo command, which runs a short scenario on real sockets and shows its progress.
type demoCmd struct {
	Name string `arg:"" optional:"" default:"demo" help:"A scenario of the library, or a scenario file."`
}

// Run prints one line per second, then the summary. It returns errRuleBroken if a rule was broken.
func (c *demoCmd) Run() error {
	s, err := experiment.Load(c.Name)
	if err != nil {
		return usageError{err}
	}
	self, err := os.Executable()
	if err != nil {
		return err
	}
	ctx, stop := signalContext()
	defer stop()
	fmt.Printf("%s: %d real nodes, %d stub servers, %.0f requests per second for %v, all on loopback.\n%s\n\n", s.Name, s.Nodes,
		s.Servers.Count, s.Rate(), s.Duration, s.About)
	fmt.Printf("%6s %8s %8s %8s %8s %8s %8s\n", "second", "asked", "served", "refused", "failed", "attempts", "p99 ms")
	r, err := rig.Run(ctx, s, rig.Options{Binary: self, Progress: func(second int, r measure.Result) {
		// Responses to requests of the last second may still be under way: the second before it is printed.
		i := second - 2
		if i < 0 {
			return
		}
		t := r.Series[i]
		fmt.Printf("%6d %8d %8d %8d %8d %8d %8.0f%s\n", i, t.Asked, t.Served, t.Refused, t.Failed, t.Attempts, r.Latency.P99, faultEvents(&s, i))
	}})
	if err != nil {
		return err
	}
	printSummary(os.Stdout, &r)
	if r.BreachTotal() > 0 {
		return errRuleBroken
	}
	fmt.Println("All rules were kept: one final response for each request, no forbidden retry, drains and cold servers respected.")
	return nil
}

// faultEvents returns the text on the faults that begin or end in a second of the run; empty if there are none.
func faultEvents(s *scenario.Scenario, second int) string {
	text := ""
	for i := range s.Faults {
		f := &s.Faults[i]
		if int(f.At/time.Second) == second {
			text += "  <- " + f.Kind + ": " + scenario.FaultKinds[f.Kind].About
		}
		if !scenario.FaultKinds[f.Kind].Instant && int(f.End()/time.Second) == second {
			text += "  <- " + f.Kind + " is over"
		}
	}
	return text
}
