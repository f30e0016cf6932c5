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

// stateCmd is the state command.
type stateCmd struct {
	Show  stateShowCmd  `cmd:"" help:"Print the contents of a stored state."`
	Check stateCheckCmd `cmd:"" help:"Check whether a node would start with a stored state, and print what it would not use."`
}

// stateFile is the argument of the state commands: a file of a node's state directory, or the directory, whose newest
// valid file is then used.
type stateFile struct {
	File string `arg:"" help:"A file such as state.a, or the directory that contains it."`
}

// read returns the state and the path of its file. Errors of invalid files in a directory are printed.
func (c stateFile) read() (*state.Snapshot, string, error) {
	info, err := os.Stat(c.File)
	if err != nil {
		return nil, "", usageError{err}
	}
	if !info.IsDir() {
		s, err := disk.ReadFile(c.File)
		return s, c.File, err
	}
	s, slot, invalid := disk.Read(c.File)
	for _, err := range invalid {
		fmt.Fprintln(os.Stderr, "portstall:", err)
	}
	if s == nil {
		return nil, "", fmt.Errorf("state: %s: no valid state found", c.File)
	}
	return s, filepath.Join(c.File, []string{"state.a", "state.b"}[slot]), nil
}

// stateShowCmd is the state show command.
type stateShowCmd struct{ stateFile }

// Run prints the state for people.
func (c stateShowCmd) Run() error {
	s, name, err := c.read()
	if err != nil {
		return err
	}
	fmt.Printf("%s, taken %s (%v ago)\nfleet %s, list %d, drained by an operator: %v\n", name, unixTime(s.Taken).Format(time.RFC3339Nano),
		time.Since(unixTime(s.Taken)).Round(time.Millisecond), s.Fleet, s.ListVersion, s.Drained)
	fmt.Printf("disabled by operators: %v\n", s.Disabled)
	for _, r := range s.Enabled {
		fmt.Printf("enabled by an operator: %s at %s\n", r.ID, unixTime(r.At).Format(time.RFC3339Nano))
	}
	fmt.Printf("%d open requests, %d remembered keys, %.1f retries allowed\n", len(s.OpenRequests), len(s.Keys), s.Totals.Retries)
	out := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(out, "server\taddress\tstate\tstarted\trecent responses\tseconds per request\tremote load\tfailing")
	for _, v := range s.Servers {
		fmt.Fprintf(out, "%s\t%s\t%s\t%d\t", v.ID, v.Addr, v.State, v.StartedMS)
		if e := v.Stats; e != nil && e.Occupancy > 0 {
			fmt.Fprintf(out, "%.1f\t%.4f\t%.1f\t%.0f%%\n", e.SuccessCount, e.Latency/e.Occupancy, e.RemoteLoad, 100*e.FailureShare)
		} else {
			fmt.Fprintln(out, "-\t-\t-\t-")
		}
	}
	for _, l := range s.Contracts {
		fmt.Fprintf(out, "contract %s\ttokens %.1f\twork %.2f s\tguarantee %.2f s\n", l.Name, l.RateTokens, l.WorkLeft, l.GuaranteeLeft)
	}
	return out.Flush()
}

// stateCheckCmd is the state check command.
type stateCheckCmd struct {
	stateFile
	Fleet string `help:"The fleet of the node that would read it; by default the fleet in the state."`
}

// Run ages the state as a node that starts now would, and prints what is dropped.
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
	dropped := s.Age(state.LoadContext{Now: time.Duration(time.Now().UnixNano()), Fleet: fleet, ColdFor: time.Minute})
	fmt.Printf("%s: valid, %d web servers, %d disabled by operators\n", name, len(s.Servers), len(s.Disabled))
	for _, d := range dropped {
		fmt.Printf("not used: %s: %s\n", d.Field, d.Reason)
	}
	return nil
}

// unixTime returns the time that is d after the Unix epoch.
func unixTime(d time.Duration) time.Time { return time.Unix(0, int64(d)) }
