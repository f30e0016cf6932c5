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

// Options configures a run.
type Options struct {
	Binary   string    // path of the portstall binary; the run's processes are its subcommands
	Progress io.Writer // receives a progress line as each part begins; nil: no progress lines
}

// run holds the state of one run. Its mutex guards the report and the number of files written.
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

// errNotReady reports that a node or control process did not become ready.
var errNotReady = errors.New("did not become ready")

// Run carries out a plan. Exceeded budgets are listed in the report. The error is about the run itself; it is ErrBound
// if the run exceeded one of its own limits, and the report then holds what was measured until that moment. All
// processes that the run started have ended when Run returns.
func Run(ctx context.Context, p *Plan, opts Options) (*Report, error) {
	r, ctx, end, err := startRun(ctx, p, opts, p.Bound)
	if err != nil {
		return nil, err
	}
	r.report.Load[0] = r.machine.load()
	err = r.runParts(ctx)
	cause := end()
	r.report.Load[1] = r.machine.load()
	r.report.Took, r.report.Memory, r.report.Procs = time.Since(r.startedAt).Seconds(), r.processes.peakMemory,
		r.processes.peakProcesses
	r.addDailyRows()
	r.report.applyBudgets(p.Budgets)
	if cause != nil { // the cause of all later errors
		err = cause
	}
	return &r.report, err
}

// startRun starts a run in a temporary folder of its own. The returned context is canceled when the run exceeds a limit
// of the plan. The function end stops all processes and returns why the run was aborted, or nil if it was not; call it
// exactly once.
func startRun(ctx context.Context, plan *Plan, opts Options, bound time.Duration) (r *run, within context.Context,
	end func() error, err error) {
	dir, err := os.MkdirTemp("", "portstall-scale")
	if err != nil {
		return nil, nil, nil, err
	}
	within, cancel := context.WithCancelCause(ctx)
	timer := time.AfterFunc(bound, func() { cancel(fmt.Errorf("%w: not finished after %v", ErrBound, bound)) })
	r = &run{plan: plan, options: opts, dir: dir, machine: newMachine(procfs.DefaultMountPoint),
		startedAt: time.Now(), report: Report{Plan: plan.Name, Cores: runtime.NumCPU(), Sped: 1}}
	r.processes = newProcessGroup(opts.Binary, dir, int64(plan.MemoryMB)<<20, plan.Processes, cancel)
	return r, within, func() error {
		r.processes.close()
		cause := context.Cause(within)
		timer.Stop()
		cancel(nil)
		os.RemoveAll(dir)
		return cause
	}, nil
}

// runParts runs the parts that the plan names, one after the other. Parts that measure CPU time run alone, or
// concurrently only with work that uses almost none.
func (r *run) runParts(ctx context.Context) error {
	p := r.plan
	for _, part := range []struct {
		name string
		do   func(ctx context.Context) error
		on   bool
	}{
		{"real nodes at several sizes of the list, and hollow nodes in one process", r.measureNodes,
			p.List != nil || p.Hollow != nil},
		{"contracts, plans, files, members, parts of contracts", r.measureInProcess, true},
		{"control processes and what follows them", r.measureControl, p.Control != nil},
		{"one node's connections as servers become many", r.measurePool, p.Pool != nil},
		{"the fleet and its faults", r.runFleet, p.Fleet != nil},
	} {
		if !part.on {
			continue
		}
		if r.options.Progress != nil {
			fmt.Fprintf(r.options.Progress, "%5.1f s  %s\n", time.Since(r.startedAt).Seconds(), part.name)
		}
		startedAt, row, steal := time.Now(), PartRow{Part: part.name, Load: r.machine.load()}, r.machine.stolen()
		err := part.do(ctx)
		row.Took, row.Steal = time.Since(startedAt).Seconds(), r.machine.stolen()-steal
		r.report.Parts = append(r.report.Parts, row)
		if err != nil {
			return fmt.Errorf("%s: %w", part.name, err)
		}
	}
	return nil
}

// addRows adds rows to the report.
func (r *run) addRows(rows ...Row) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.addRows(rows...)
}

// addFittedRow adds a row with a line fitted through its points. The row's value for the given size is the measurement
// at that size where there is one, and the value of the fitted line otherwise.
func (r *run) addFittedRow(row Row, points []Point, size float64) error {
	slices.SortFunc(points, func(a, b Point) int { return cmp.Compare(a.X, b.X) })
	fit, err := FitLine(points)
	if err != nil {
		return fmt.Errorf("%s: %w", row.ID, err)
	}
	row.Points, row.Line, row.Size, row.At, row.Origin = points, &fit, size, fit.At(size), Extrapolated
	if i := slices.IndexFunc(points, func(p Point) bool { return p.X == size }); i >= 0 {
		row.At, row.Origin = points[i].Y, Measured
	}
	r.addRows(row)
	return nil
}

// writeFile writes a file with the given extension into the run's folder and returns its path.
func (r *run) writeFile(ending string, text []byte) (string, error) {
	r.mu.Lock()
	r.fileCount++
	path := filepath.Join(r.dir, fmt.Sprintf("%d%s", r.fileCount, ending))
	r.mu.Unlock()
	return path, os.WriteFile(path, text, 0o600)
}

// pause waits for the duration, or until ctx ends; then it returns the cause of that.
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

// waitUntil polls ok once a millisecond until it returns true. It returns an error that names what was awaited if that
// takes longer than the timeout.
func waitUntil(ctx context.Context, timeout time.Duration, what string, ok func() bool) error {
	for end := time.Now().Add(timeout); !ok(); {
		if time.Now().After(end) {
			return fmt.Errorf("%s: timed out after %v", what, timeout)
		}
		if err := pause(ctx, time.Millisecond); err != nil {
			return err
		}
	}
	return nil
}

// updateTimeout is how long a node may take to apply a change. A node that has not asked again by then is broken.
const updateTimeout = 30 * time.Second
