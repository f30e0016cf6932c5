package scale

import (
	"context"
	"errors"
	"fmt"
	"time"

	"golang.org/x/sync/errgroup"

	"portstall/internal/lab/standin"
)

// measureControl measures control processes by the size of the configuration, with one real node that follows, and by
// the number of nodes that follow.
func (r *run) measureControl(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return r.measureControlByContracts(ctx) })
	g.Go(func() error { return r.measureControlByWatchers(ctx) })
	return g.Wait()
}

// measureControlByContracts measures a control process and a real node that follows it at several sizes of the
// configuration.
func (r *run) measureControlByContracts(ctx context.Context) error {
	p := r.plan.Control
	type result struct{ start, rss, peak, idle, delta, bytes, full, control, controlDelta, controlPeak Point }
	results := make([]result, len(p.Contracts))
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(3)
	for i, n := range p.Contracts {
		g.Go(func() error {
			files, err := r.newConfigFiles(n, true)
			if err != nil {
				return err
			}
			processes, err := r.startControls(ctx, 1, files, nil)
			if err != nil {
				return err
			}
			writer := processes[0]
			defer r.processes.stop(writer.child)
			relay, err := StartRelay(writer.addr) // counts the bytes between node and control
			if err != nil {
				return err
			}
			defer relay.Stop()
			discovery := NewStubDiscovery(p.Servers, r.plan.Size.Zones, nil)
			addr, err := discovery.Start()
			if err != nil {
				return err
			}
			defer discovery.Stop()
			connect, err := standin.FreeAddr()
			if err != nil {
				return err
			}
			product, err := r.writeControlProductFile(connect, relay.Addr())
			if err != nil {
				return err
			}
			node, err := r.startNode(ctx, nodeSetup{name: fmt.Sprintf("control-%d", n), discovery: addr,
				zone: zoneName(0), serverList: discovery.FullList(), serverIdle: 10 * time.Second,
				env: []string{"PORTSTALL_FILE=" + product}})
			if err != nil {
				return err
			}
			defer r.processes.stop(node.child)
			x, nodePID, writerPID, res := float64(n), node.cmd.Process.Pid, writer.cmd.Process.Pid, &results[i]
			res.start, res.full = Point{x, node.startDuration.Seconds()}, Point{x, float64(relay.Bytes())}
			if err := pause(ctx, time.Second); err != nil {
				return err
			}
			startedAt, before, writerBefore := time.Now(), cpuTime(nodePID), cpuTime(writerPID)
			if err := pause(ctx, p.AtRest); err != nil {
				return err
			}
			elapsed := time.Since(startedAt).Seconds()
			idle, writerIdle := (cpuTime(nodePID)-before).Seconds()/elapsed,
				(cpuTime(writerPID)-writerBefore).Seconds()/elapsed
			res.rss, res.idle, res.control = Point{x, float64(residentBytes(nodePID))}, Point{x, idle},
				Point{x, float64(residentBytes(writerPID))}
			before, writerBefore = cpuTime(nodePID), cpuTime(writerPID)
			sent := relay.Bytes()
			spent, last, err := makeChanges(ctx, p.Changes, files, writer)
			if err != nil {
				return err
			}
			count := float64(p.Changes)
			res.delta = Point{x, max(0, (cpuTime(nodePID)-before).Seconds()-idle*spent.Seconds()) / count}
			res.bytes = Point{x, float64(relay.Bytes()-sent) / count}
			res.controlDelta = Point{x, max(0,
				(cpuTime(writerPID)-writerBefore).Seconds()-writerIdle*spent.Seconds()) / count}
			if err := writer.awaitAcknowledged(ctx, last, 1); err != nil {
				return err
			}
			// The peak includes a full server list that arrives in addition.
			if err := waitUntil(ctx, updateTimeout, "a full server list", func() bool {
				at, _ := discovery.HighestSince()
				return at >= discovery.Version()
			}); err != nil {
				return err
			}
			v := discovery.SetStateAsSnapshot("Terminating", 0)
			if err := waitUntil(ctx, updateTimeout, "a full server list", func() bool {
				at, _ := discovery.HighestSince()
				return at >= v
			}); err != nil {
				return err
			}
			res.peak, res.controlPeak = Point{x, float64(peakResidentBytes(nodePID))},
				Point{x, float64(peakResidentBytes(writerPID))}
			return nil
		})
	}
	if err := g.Wait(); err != nil {
		return err
	}
	var errs error
	note := fmt.Sprintf("a real node with %d servers; routes and services in proportion", p.Servers)
	row := func(id, role, figure, unit string, of func(*result) Point) {
		var points []Point
		for i := range results {
			points = append(points, of(&results[i]))
		}
		errs = errors.Join(errs, r.addFittedRow(Row{ID: id, Role: role, Figure: figure, Unit: unit,
			Of: "contract", Note: note}, points, float64(r.plan.Size.Tenants)))
	}
	row("conf.start", "node", "start until ready, with server list and configuration", "s",
		func(s *result) Point { return s.start })
	row("conf.rss", "node", "resident memory when idle, with server list and configuration", "B",
		func(s *result) Point { return s.rss })
	row("conf.peak", "node", "peak resident memory, including the start and a full server list", "B",
		func(s *result) Point { return s.peak })
	row("conf.rest", "node", "CPU time per second when idle, with server list and configuration", "s",
		func(s *result) Point { return s.idle })
	row("conf.delta.cpu", "node", "CPU time of a change of one contract", "s", func(s *result) Point { return s.delta })
	row("conf.delta.bytes", "node", "bytes of a change of one contract, both directions", "B",
		func(s *result) Point { return s.bytes })
	row("conf.whole.bytes", "node", "bytes of the full configuration", "B", func(s *result) Point { return s.full })
	row("control.rss", "control", "resident memory when idle, one node follows", "B",
		func(s *result) Point { return s.control })
	row("control.peak", "control", "peak resident memory", "B", func(s *result) Point { return s.controlPeak })
	row("control.delta.cpu", "control", "CPU time of a change of one contract, including the reading of files", "s",
		func(s *result) Point { return s.controlDelta })
	return errs
}

// measureControlByWatchers measures control processes that different numbers of hollow nodes follow.
func (r *run) measureControlByWatchers(ctx context.Context) error {
	p := r.plan.Control
	rss, idle, delta := make([]Point, len(p.Watchers)), make([]Point, len(p.Watchers)), make([]Point, len(p.Watchers))
	g, ctx := errgroup.WithContext(ctx)
	for i, n := range p.Watchers {
		g.Go(func() (err error) {
			rss[i], idle[i], delta[i], err = r.measureWatchers(ctx, n)
			return err
		})
	}
	if err := g.Wait(); err != nil {
		return err
	}
	fittedRow := func(id, figure, unit string, points []Point) error {
		return r.addFittedRow(Row{ID: id, Role: "control", Figure: figure, Unit: unit, Of: "node",
			Note: "hollow nodes follow one control process with 100 contracts"}, points, float64(r.plan.Size.Nodes))
	}
	return errors.Join(fittedRow("control.nodes.rss", "resident memory, by the number of nodes that follow", "B",
		rss), fittedRow("control.nodes.rest",
		"CPU time per second without changes, by the number of nodes that follow", "s", idle),
		fittedRow("control.nodes.delta", "CPU time of a change, by the number of nodes that follow", "s", delta))
}

// measureWatchers measures one control process that n hollow nodes follow.
func (r *run) measureWatchers(ctx context.Context, n int) (rss, idle, delta Point, err error) {
	p := r.plan.Control
	files, err := r.newConfigFiles(contractsPerFile, true)
	if err != nil {
		return rss, idle, delta, err
	}
	processes, err := r.startControls(ctx, 1, files, nil)
	if err != nil {
		return rss, idle, delta, err
	}
	defer r.processes.stop(processes[0].child)
	discovery := NewStubDiscovery(r.plan.Size.Zones, r.plan.Size.Zones, nil)
	addr, err := discovery.Start()
	if err != nil {
		return rss, idle, delta, err
	}
	defer discovery.Stop()
	path, err := r.writeNodeConfig("hollow", "127.0.0.1:1", addr, zoneName(0), discovery.FullList(), 10*time.Second)
	if err != nil {
		return rss, idle, delta, err
	}
	product, err := r.writeControlProductFile("", processes[0].addr)
	if err != nil {
		return rss, idle, delta, err
	}
	w, err := r.startWorker(fmt.Sprintf("watchers-%d", n))
	if err != nil {
		return rss, idle, delta, err
	}
	defer r.processes.stop(w)
	command := r.hollowCommand(0, n, func(int) string { return addr })
	command.Config = path
	for range n {
		command.Products = append(command.Products, product)
	}
	if _, err := w.call(ctx, command); err != nil {
		return rss, idle, delta, err
	}
	v, err := processes[0].status()
	if err != nil {
		return rss, idle, delta, err
	}
	if err := processes[0].awaitAcknowledged(ctx, v.Version, n); err != nil {
		return rss, idle, delta, err
	}
	pid, x := processes[0].cmd.Process.Pid, float64(n)
	startedAt, before := time.Now(), cpuTime(pid)
	if err := pause(ctx, p.AtRest); err != nil {
		return rss, idle, delta, err
	}
	idle = Point{x, (cpuTime(pid) - before).Seconds() / time.Since(startedAt).Seconds()}
	before = cpuTime(pid)
	spent, last, err := makeChanges(ctx, p.Changes, files, processes[0])
	if err != nil {
		return rss, idle, delta, err
	}
	delta = Point{x, max(0, (cpuTime(pid)-before).Seconds()-idle.Y*spent.Seconds()) / float64(p.Changes)}
	if err := processes[0].awaitAcknowledged(ctx, last, n); err != nil {
		return rss, idle, delta, err
	}
	return Point{x, float64(residentBytes(pid))}, idle, delta, nil
}
