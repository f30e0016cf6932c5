package main

import (
	"fmt"
	"os"
	"path/filepath"
	"text/tabwriter"
	"time"

	"portstall/internal/state"
	"portstall/internal/state/disk"
)

type stateCmd struct {
	Show  stateShowCmd  `cmd:"" help:"Print what a kept state holds."`
	Check stateCheckCmd `cmd:"" help:"Tell whether a node would start with a kept state, and what of it would not be used."`
}

// stateFile is a file of a node's state directory, or the directory: then its newer sound file.
type stateFile struct {
	File string `arg:"" help:"A file such as state.a, or the directory that holds it."`
}

func (c stateFile) read() (*state.Snapshot, string, error) {
	info, err := os.Stat(c.File)
	if err != nil {
		return nil, "", usageError{err}
	}
	if !info.IsDir() {
		s, err := disk.ReadFile(c.File)
		return s, c.File, err
	}
	s, slot, wrong := disk.Read(c.File)
	for _, err := range wrong {
		fmt.Fprintln(os.Stderr, "portstall:", err)
	}
	if s == nil {
		return nil, "", fmt.Errorf("state: %s: no sound state is there", c.File)
	}
	return s, filepath.Join(c.File, []string{"state.a", "state.b"}[slot]), nil
}

type stateShowCmd struct{ stateFile }

func (c stateShowCmd) Run() error {
	s, name, err := c.read()
	if err != nil {
		return err
	}
	fmt.Printf("%s, taken %s (%v ago)\nfleet %s, list %d, clients sent away: %v\n", name, unixTime(s.Taken).Format(time.RFC3339Nano),
		time.Since(unixTime(s.Taken)).Round(time.Millisecond), s.Fleet, s.Version, s.Drained)
	fmt.Printf("out by hand: %v\n", s.Out)
	for _, r := range s.Returned {
		fmt.Printf("put back by hand: %s at %s\n", r.ID, unixTime(r.At).Format(time.RFC3339Nano))
	}
	fmt.Printf("%d requests were open, %d keys are remembered, %.1f further attempts are allowed\n", len(s.Open), len(s.Keys), s.Totals.Retries)
	out := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(out, "server\taddress\tstate\tstarted\tanswers lately\tseconds a request\tothers there\tfailing")
	for _, v := range s.Servers {
		fmt.Fprintf(out, "%s\t%s\t%s\t%d\t", v.ID, v.Addr, v.State, v.Started)
		if e := v.Known; e != nil && e.Occupancy > 0 {
			fmt.Fprintf(out, "%.1f\t%.4f\t%.1f\t%.0f%%\n", e.Served, e.Latency/e.Occupancy, e.Others, 100*e.Bad)
		} else {
			fmt.Fprintln(out, "-\t-\t-\t-")
		}
	}
	for _, l := range s.Contracts {
		fmt.Fprintf(out, "contract %s\ttokens %.1f\twork %.2f s\tguarantee %.2f s\n", l.Name, l.Tokens, l.Work, l.Kept)
	}
	return out.Flush()
}

type stateCheckCmd struct {
	stateFile
	Fleet string `help:"The fleet that would read it; its own, if none is named."`
}

func (c stateCheckCmd) Run() error {
	s, name, err := c.read()
	if err != nil {
		return err
	}
	fleet := c.Fleet
	if fleet == "" {
		fleet = s.Fleet
	}
	s.Exact = false
	drops := s.Age(state.Reader{Now: time.Duration(time.Now().UnixNano()), Fleet: fleet, ColdFor: time.Minute})
	fmt.Printf("%s: sound, %d web servers, %d out by hand\n", name, len(s.Servers), len(s.Out))
	for _, d := range drops {
		fmt.Printf("not used: %s: %s\n", d.Field, d.Why)
	}
	return nil
}

func unixTime(d time.Duration) time.Time { return time.Unix(0, int64(d)) }
