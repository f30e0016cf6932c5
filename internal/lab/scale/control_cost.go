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
func (r *run) control(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return r.byContracts(ctx) })
	g.Go(func() error { return r.byWatchers(ctx) })
	return g.Wait()
}

func (r *run) byContracts(ctx context.Context) error {
	p := r.plan.Control
	type result struct{ start, rss, peak, rest, delta, bytes, whole, control, controlDelta, controlPeak Point }
	results := make([]result, len(p.Contracts))
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(3)
	for i, n := range p.Contracts {
		g.Go(func() error {
			files, err := r.folder(n, true)
			if err != nil {
				return err
			}
			all, err := r.controls(ctx, 1, files, nil)
			if err != nil {
				return err
			}
			writer := all[0]
			defer r.herd.end(writer.child)
			way, err := StartRelay(writer.addr) // counts the bytes
			if err != nil {
				return err
			}
			defer way.Stop()
			roster := NewRoster(p.Servers, r.plan.Size.Zones, nil)
			addr, err := roster.Start()
			if err != nil {
				return err
			}
			defer roster.Stop()
			connect, err := standin.FreeAddr()
			if err != nil {
				return err
			}
			product, err := r.product(connect, way.Addr())
			if err != nil {
				return err
			}
			node, err := r.node(ctx, nodeSetup{name: fmt.Sprintf("control-%d", n), discovery: addr, zone: zoneName(0), known: roster.Whole(), idle: 10 * time.Second,
				env: []string{"PORTSTALL_FILE=" + product}})
			if err != nil {
				return err
			}
			defer r.herd.end(node.child)
			x, id, own, res := float64(n), node.cmd.Process.Pid, writer.cmd.Process.Pid, &results[i]
			res.start, res.whole = Point{x, node.began.Seconds()}, Point{x, float64(way.Bytes())}
			if err := pause(ctx, time.Second); err != nil {
				return err
			}
			begun, before, ownBefore := time.Now(), worked(id), worked(own)
			if err := pause(ctx, p.AtRest); err != nil {
				return err
			}
			took := time.Since(begun).Seconds()
			rest, ownRest := (worked(id)-before).Seconds()/took, (worked(own)-ownBefore).Seconds()/took
			res.rss, res.rest, res.control = Point{x, float64(resident(id))}, Point{x, rest}, Point{x, float64(resident(own))}
			before, ownBefore = worked(id), worked(own)
			sent := way.Bytes()
			spent, last, err := changes(ctx, p.Changes, files, writer)
			if err != nil {
				return err
			}
			count := float64(p.Changes)
			res.delta = Point{x, max(0, (worked(id)-before).Seconds()-rest*spent.Seconds()) / count}
			res.bytes = Point{x, float64(way.Bytes()-sent) / count}
			res.controlDelta = Point{x, max(0, (worked(own)-ownBefore).Seconds()-ownRest*spent.Seconds()) / count}
			if err := writer.acked(ctx, last, 1); err != nil {
				return err
			}
			// A whole list comes in on top of it.
			if err := until(ctx, heardMost, "a whole list", func() bool { at, _ := roster.Heard(); return at >= roster.Version() }); err != nil {
				return err
			}
			v := roster.Forget("Terminating", 0)
			if err := until(ctx, heardMost, "a whole list", func() bool { at, _ := roster.Heard(); return at >= v }); err != nil {
				return err
			}
			res.peak, res.controlPeak = Point{x, float64(peak(id))}, Point{x, float64(peak(own))}
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
		errs = errors.Join(errs, r.line(Row{ID: id, Role: role, Figure: figure, Unit: unit, Of: "contract", Note: note}, points, float64(r.plan.Size.Tenants)))
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

func (r *run) byWatchers(ctx context.Context) error {
	p := r.plan.Control
	rss, rest, delta := make([]Point, len(p.Watchers)), make([]Point, len(p.Watchers)), make([]Point, len(p.Watchers))
	g, ctx := errgroup.WithContext(ctx)
	for i, n := range p.Watchers {
		g.Go(func() (err error) {
			rss[i], rest[i], delta[i], err = r.watchers(ctx, n)
			return err
		})
	}
	if err := g.Wait(); err != nil {
		return err
	}
	one := func(id, figure, unit string, points []Point) error {
		return r.line(Row{ID: id, Role: "control", Figure: figure, Unit: unit, Of: "node", Note: "hollow nodes follow one control process of 100 contracts"}, points, float64(r.plan.Size.Nodes))
	}
	return errors.Join(one("control.nodes.rss", "resident, by the nodes that follow", "B", rss), one("control.nodes.rest", "processor time a second, nobody changes anything", "s", rest),
		one("control.nodes.delta", "processor time of a change, by the nodes that follow", "s", delta))
}

// watchers measures one control process that so many hollow nodes follow.
func (r *run) watchers(ctx context.Context, n int) (rss, rest, delta Point, err error) {
	p := r.plan.Control
	files, err := r.folder(perFile, true)
	if err != nil {
		return rss, rest, delta, err
	}
	all, err := r.controls(ctx, 1, files, nil)
	if err != nil {
		return rss, rest, delta, err
	}
	defer r.herd.end(all[0].child)
	roster := NewRoster(r.plan.Size.Zones, r.plan.Size.Zones, nil)
	addr, err := roster.Start()
	if err != nil {
		return rss, rest, delta, err
	}
	defer roster.Stop()
	path, err := r.config("hollow", "127.0.0.1:1", addr, zoneName(0), roster.Whole(), 10*time.Second)
	if err != nil {
		return rss, rest, delta, err
	}
	product, err := r.product("", all[0].addr)
	if err != nil {
		return rss, rest, delta, err
	}
	w, err := r.worker(fmt.Sprintf("watchers-%d", n))
	if err != nil {
		return rss, rest, delta, err
	}
	defer r.herd.end(w)
	o := r.names(0, n, func(int) string { return addr })
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
	if err := all[0].acked(ctx, v.Version, n); err != nil {
		return rss, rest, delta, err
	}
	id, x := all[0].cmd.Process.Pid, float64(n)
	begun, before := time.Now(), worked(id)
	if err := pause(ctx, p.AtRest); err != nil {
		return rss, rest, delta, err
	}
	rest = Point{x, (worked(id) - before).Seconds() / time.Since(begun).Seconds()}
	before = worked(id)
	spent, last, err := changes(ctx, p.Changes, files, all[0])
	if err != nil {
		return rss, rest, delta, err
	}
	delta = Point{x, max(0, (worked(id)-before).Seconds()-rest.Y*spent.Seconds()) / float64(p.Changes)}
	if err := all[0].acked(ctx, last, n); err != nil {
		return rss, rest, delta, err
	}
	return Point{x, float64(resident(id))}, rest, delta, nil
}
