package scale

import (
	"context"
	"errors"
	"fmt"
	"time"

	"golang.org/x/sync/errgroup"

	"portstall/internal/lab/standin"
)

// control measures control processes: by the size of the configuration with one real node that follows, and by how many follow.
func (r *run) measureControl(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return r.measureControlByContracts(ctx) })
	g.Go(func() error { return r.measureControlByWatchers(ctx) })
	return g.Wait()
}

func (r *run) measureControlByContracts(ctx context.Context) error {
	p := r.plan.Control
	type result struct{ start, rss, peak, rest, delta, bytes, whole, control, controlDelta, controlPeak Point }
	results := make([]result, len(p.Contracts))
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(3)
	for i, n := range p.Contracts {
		g.Go(func() error {
			files, err := r.newConfigFiles(n, true)
			if err != nil {
				return err
			}
			all, err := r.startControls(ctx, 1, files, nil)
			if err != nil {
				return err
			}
			writer := all[0]
			defer r.processes.stop(writer.child)
			way, err := StartRelay(writer.addr) // counts the bytes
			if err != nil {
				return err
			}
			defer way.Stop()
			roster := NewStubDiscovery(p.Servers, r.plan.Size.Zones, nil)
			addr, err := roster.Start()
			if err != nil {
				return err
			}
			defer roster.Stop()
			connect, err := standin.FreeAddr()
			if err != nil {
				return err
			}
			product, err := r.writeControlProductFile(connect, way.Addr())
			if err != nil {
				return err
			}
			node, err := r.startNode(ctx, nodeSetup{name: fmt.Sprintf("control-%d", n), discovery: addr, zone: zoneName(0), serverList: roster.FullList(), serverIdle: 10 * time.Second,
				env: []string{"PORTSTALL_FILE=" + product}})
			if err != nil {
				return err
			}
			defer r.processes.stop(node.child)
			x, id, own, res := float64(n), node.cmd.Process.Pid, writer.cmd.Process.Pid, &results[i]
			res.start, res.whole = Point{x, node.startDuration.Seconds()}, Point{x, float64(way.Bytes())}
			if err := pause(ctx, time.Second); err != nil {
				return err
			}
			begun, before, ownBefore := time.Now(), cpuTime(id), cpuTime(own)
			if err := pause(ctx, p.AtRest); err != nil {
				return err
			}
			took := time.Since(begun).Seconds()
			rest, ownRest := (cpuTime(id)-before).Seconds()/took, (cpuTime(own)-ownBefore).Seconds()/took
			res.rss, res.rest, res.control = Point{x, float64(residentBytes(id))}, Point{x, rest}, Point{x, float64(residentBytes(own))}
			before, ownBefore = cpuTime(id), cpuTime(own)
			sent := way.Bytes()
			spent, last, err := makeChanges(ctx, p.Changes, files, writer)
			if err != nil {
				return err
			}
			count := float64(p.Changes)
			res.delta = Point{x, max(0, (cpuTime(id)-before).Seconds()-rest*spent.Seconds()) / count}
			res.bytes = Point{x, float64(way.Bytes()-sent) / count}
			res.controlDelta = Point{x, max(0, (cpuTime(own)-ownBefore).Seconds()-ownRest*spent.Seconds()) / count}
			if err := writer.awaitAcknowledged(ctx, last, 1); err != nil {
				return err
			}
			// A whole list comes in on top of it.
			if err := waitUntil(ctx, updateTimeout, "a whole list", func() bool { at, _ := roster.HighestSince(); return at >= roster.Version() }); err != nil {
				return err
			}
			v := roster.SetStateAsSnapshot("Terminating", 0)
			if err := waitUntil(ctx, updateTimeout, "a whole list", func() bool { at, _ := roster.HighestSince(); return at >= v }); err != nil {
				return err
			}
			res.peak, res.controlPeak = Point{x, float64(peakResidentBytes(id))}, Point{x, float64(peakResidentBytes(own))}
			return nil
		})
	}
	if err := g.Wait(); err != nil {
		return err
	}
	var errs error
	note := fmt.Sprintf("a real node before %d servers; routes and services in proportion", p.Servers)
	row := func(id, role, figure, unit string, of func(*result) Point) {
		var points []Point
		for i := range results {
			points = append(points, of(&results[i]))
		}
		errs = errors.Join(errs, r.addFittedRow(Row{ID: id, Role: role, Figure: figure, Unit: unit, Of: "contract", Note: note}, points, float64(r.plan.Size.Tenants)))
	}
	row("conf.start", "node", "start with list and configuration until it is ready", "s", func(s *result) Point { return s.start })
	row("conf.rss", "node", "resident at rest, with list and configuration", "B", func(s *result) Point { return s.rss })
	row("conf.peak", "node", "resident at the most, with its start and a whole list", "B", func(s *result) Point { return s.peak })
	row("conf.rest", "node", "processor time a second at rest, with list and configuration", "s", func(s *result) Point { return s.rest })
	row("conf.delta.cpu", "node", "processor time of a change of one contract", "s", func(s *result) Point { return s.delta })
	row("conf.delta.bytes", "node", "bytes of a change of one contract, both ways", "B", func(s *result) Point { return s.bytes })
	row("conf.whole.bytes", "node", "bytes of the whole configuration", "B", func(s *result) Point { return s.whole })
	row("control.rss", "control", "resident at rest, one node follows", "B", func(s *result) Point { return s.control })
	row("control.peak", "control", "resident at the most", "B", func(s *result) Point { return s.controlPeak })
	row("control.delta.cpu", "control", "processor time of a change of one contract, reading included", "s", func(s *result) Point { return s.controlDelta })
	return errs
}

func (r *run) measureControlByWatchers(ctx context.Context) error {
	p := r.plan.Control
	rss, rest, delta := make([]Point, len(p.Watchers)), make([]Point, len(p.Watchers)), make([]Point, len(p.Watchers))
	g, ctx := errgroup.WithContext(ctx)
	for i, n := range p.Watchers {
		g.Go(func() (err error) {
			rss[i], rest[i], delta[i], err = r.measureWatchers(ctx, n)
			return err
		})
	}
	if err := g.Wait(); err != nil {
		return err
	}
	one := func(id, figure, unit string, points []Point) error {
		return r.addFittedRow(Row{ID: id, Role: "control", Figure: figure, Unit: unit, Of: "node", Note: "hollow nodes follow one control process of 100 contracts"}, points, float64(r.plan.Size.Nodes))
	}
	return errors.Join(one("control.nodes.rss", "resident, by the nodes that follow", "B", rss), one("control.nodes.rest", "processor time a second, nobody changes anything", "s", rest),
		one("control.nodes.delta", "processor time of a change, by the nodes that follow", "s", delta))
}

// watchers measures one control process that so many hollow nodes follow.
func (r *run) measureWatchers(ctx context.Context, n int) (rss, rest, delta Point, err error) {
	p := r.plan.Control
	files, err := r.newConfigFiles(contractsPerFile, true)
	if err != nil {
		return rss, rest, delta, err
	}
	all, err := r.startControls(ctx, 1, files, nil)
	if err != nil {
		return rss, rest, delta, err
	}
	defer r.processes.stop(all[0].child)
	roster := NewStubDiscovery(r.plan.Size.Zones, r.plan.Size.Zones, nil)
	addr, err := roster.Start()
	if err != nil {
		return rss, rest, delta, err
	}
	defer roster.Stop()
	path, err := r.writeNodeConfig("hollow", "127.0.0.1:1", addr, zoneName(0), roster.FullList(), 10*time.Second)
	if err != nil {
		return rss, rest, delta, err
	}
	product, err := r.writeControlProductFile("", all[0].addr)
	if err != nil {
		return rss, rest, delta, err
	}
	w, err := r.startWorker(fmt.Sprintf("watchers-%d", n))
	if err != nil {
		return rss, rest, delta, err
	}
	defer r.processes.stop(w)
	o := r.hollowCommand(0, n, func(int) string { return addr })
	o.Config = path
	for range n {
		o.Products = append(o.Products, product)
	}
	if _, err := w.call(ctx, o); err != nil {
		return rss, rest, delta, err
	}
	v, err := all[0].status()
	if err != nil {
		return rss, rest, delta, err
	}
	if err := all[0].awaitAcknowledged(ctx, v.Version, n); err != nil {
		return rss, rest, delta, err
	}
	id, x := all[0].cmd.Process.Pid, float64(n)
	begun, before := time.Now(), cpuTime(id)
	if err := pause(ctx, p.AtRest); err != nil {
		return rss, rest, delta, err
	}
	rest = Point{x, (cpuTime(id) - before).Seconds() / time.Since(begun).Seconds()}
	before = cpuTime(id)
	spent, last, err := makeChanges(ctx, p.Changes, files, all[0])
	if err != nil {
		return rss, rest, delta, err
	}
	delta = Point{x, max(0, (cpuTime(id)-before).Seconds()-rest.Y*spent.Seconds()) / float64(p.Changes)}
	if err := all[0].awaitAcknowledged(ctx, last, n); err != nil {
		return rss, rest, delta, err
	}
	return Point{x, float64(residentBytes(id))}, rest, delta, nil
}
