package scale

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"sync"
	"time"

	"github.com/prometheus/procfs"
)

// Options of a run.
type Options struct {
	Binary string    // portstall itself: its subcommands are the run's processes
	Tell   io.Writer // a line as each part begins; nil: nothing is told
}

// run is one run.
type run struct {
	plan      *Plan
	options   Options
	dir       string
	processes *processGroup
	machine   machine

	startedAt time.Time

	mu        sync.Mutex
	report    Report
	fileCount int
}

// errBegun is that a node did not come up.
var errNotReady = errors.New("did not come up")

// Run carries out a plan. Budgets that are passed are in the report; the error is of the run itself, and ErrBound where it passed a
// bound of its own: then the report has what was found before. All that it started has ended when it returns.
func Run(ctx context.Context, p *Plan, o Options) (*Report, error) {
	r, ctx, end, err := startRun(ctx, p, o, p.Bound)
	if err != nil {
		return nil, err
	}
	r.report.Load[0] = r.machine.load()
	err = r.runParts(ctx)
	cause := end()
	r.report.Load[1] = r.machine.load()
	r.report.Took, r.report.Memory, r.report.Procs = time.Since(r.startedAt).Seconds(), r.processes.peakMemory, r.processes.peakProcesses
	r.addDailyRows()
	r.report.applyBudgets(p.Budgets)
	if cause != nil { // what else went wrong went wrong by it
		err = cause
	}
	return &r.report, err
}

// begin begins a run in a folder of its own. Its context ends where a bound of the plan is passed. End ends all that was started, and tells
// for what the run was given up; nil: it was not. It is to be called once.
func startRun(ctx context.Context, p *Plan, o Options, bound time.Duration) (r *run, within context.Context, end func() error, err error) {
	dir, err := os.MkdirTemp("", "portstall-scale")
	if err != nil {
		return nil, nil, nil, err
	}
	within, cancel := context.WithCancelCause(ctx)
	late := time.AfterFunc(bound, func() { cancel(fmt.Errorf("%w: not over after %v", ErrBound, bound)) })
	r = &run{plan: p, options: o, dir: dir, machine: newMachine(procfs.DefaultMountPoint), startedAt: time.Now(), report: Report{Plan: p.Name, Cores: runtime.NumCPU(), Sped: 1}}
	r.processes = newProcessGroup(o.Binary, dir, int64(p.MemoryMB)<<20, p.Processes, cancel)
	return r, within, func() error {
		r.processes.close()
		cause := context.Cause(within)
		late.Stop()
		cancel(nil)
		os.RemoveAll(dir)
		return cause
	}, nil
}

// parts carries out what the plan names. What is measured by processor time goes alone, or beside what hardly works.
func (r *run) runParts(ctx context.Context) error {
	p := r.plan
	for _, part := range []struct {
		name string
		do   func(ctx context.Context) error
		on   bool
	}{
		{"real nodes at several sizes of the list, and hollow nodes in one process", r.measureNodes, p.List != nil || p.Hollow != nil},
		{"contracts, plans, files, members, parts of contracts", r.measureInProcess, true},
		{"control processes and what follows them", r.measureControl, p.Control != nil},
		{"one node's connections as servers become many", r.measurePool, p.Pool != nil},
		{"the fleet and its faults", r.runFleet, p.Fleet != nil},
	} {
		if !part.on {
			continue
		}
		if r.options.Tell != nil {
			fmt.Fprintf(r.options.Tell, "%5.1f s  %s\n", time.Since(r.startedAt).Seconds(), part.name)
		}
		begun, row, steal := time.Now(), PartRow{Part: part.name, Load: r.machine.load()}, r.machine.stolen()
		err := part.do(ctx)
		row.Took, row.Steal = time.Since(begun).Seconds(), r.machine.stolen()-steal
		r.report.Parts = append(r.report.Parts, row)
		if err != nil {
			return fmt.Errorf("%s: %w", part.name, err)
		}
	}
	return nil
}

// add notes rows.
func (r *run) addRows(rows ...Row) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.addRows(rows...)
}

// line notes a row by the line through its points, told for a size: by what was measured there, where it was, else by the line.
func (r *run) addFittedRow(row Row, points []Point, size float64) error {
	slices.SortFunc(points, func(a, b Point) int { return cmp.Compare(a.X, b.X) })
	l, err := FitLine(points)
	if err != nil {
		return fmt.Errorf("%s: %w", row.ID, err)
	}
	row.Points, row.Line, row.Size, row.At, row.Origin = points, &l, size, l.At(size), Extrapolated
	if i := slices.IndexFunc(points, func(p Point) bool { return p.X == size }); i >= 0 {
		row.At, row.Origin = points[i].Y, Measured
	}
	r.addRows(row)
	return nil
}

// file writes a file of the run.
func (r *run) writeFile(ending string, text []byte) (string, error) {
	r.mu.Lock()
	r.fileCount++
	path := filepath.Join(r.dir, fmt.Sprintf("%d%s", r.fileCount, ending))
	r.mu.Unlock()
	return path, os.WriteFile(path, text, 0o600)
}

// pause waits.
func pause(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// until waits for something, that is looked at often, for so long at most.
func waitUntil(ctx context.Context, most time.Duration, what string, ok func() bool) error {
	for end := time.Now().Add(most); !ok(); {
		if time.Now().After(end) {
			return fmt.Errorf("%s: not within %v", what, most)
		}
		if err := pause(ctx, time.Millisecond); err != nil {
			return err
		}
	}
	return nil
}

const updateTimeout = 30 * time.Second // a node that asks no more after that long is broken
