package scale

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
)

// nodes measures real and hollow nodes side by side: both are mostly at rest.
func (r *run) measureNodes(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	if r.plan.List != nil {
		g.Go(func() error { return r.measureList(ctx) })
	}
	if r.plan.Hollow != nil {
		g.Go(func() error { return r.measureHollow(ctx) })
	}
	return g.Wait()
}

// list measures real nodes without clients.
func (r *run) measureList(ctx context.Context) error {
	p := r.plan.List
	type result struct{ start, rss, peak, rest, delta, deltaBytes, deltaTime, whole, wholeBytes, wholeTime, zone, zoneBytes Point }
	results := make([]result, len(p.Servers))
	g, ctx := errgroup.WithContext(ctx)
	for i, n := range p.Servers {
		g.Go(func() error {
			roster := NewStubDiscovery(n, r.plan.Size.Zones, nil)
			addr, err := roster.Start()
			if err != nil {
				return err
			}
			defer roster.Stop()
			node, err := r.startNode(ctx, nodeSetup{name: fmt.Sprintf("list-%d", n), discovery: addr, zone: zoneName(0), serverList: roster.FullList(), serverIdle: 10 * time.Second})
			if err != nil {
				return err
			}
			defer r.processes.stop(node.child)
			if err := pause(ctx, time.Second); err != nil { // its start is over
				return err
			}
			id, x := node.cmd.Process.Pid, float64(n)
			begun, before := time.Now(), cpuTime(id)
			if err := pause(ctx, p.AtRest); err != nil {
				return err
			}
			rest := (cpuTime(id) - before).Seconds() / time.Since(begun).Seconds()
			res := &results[i]
			res.start, res.rss, res.rest = Point{x, node.startDuration.Seconds()}, Point{x, float64(residentBytes(id))}, Point{x, rest}
			// changes tells how much a change costs beyond the rest, of so many one after the other.
			changes := func(count int, change func(k int) int64) (cpu, bytes, wait Point, err error) {
				begun, before := time.Now(), cpuTime(id)
				_, sent := roster.Totals()
				for k := range count {
					v := change(k)
					if err := waitUntil(ctx, updateTimeout, "a change of the list", func() bool { at, _ := roster.HighestSince(); return at >= v }); err != nil {
						return cpu, bytes, wait, err
					}
				}
				_, now := roster.Totals()
				took := time.Since(begun).Seconds()
				return Point{x, max(0, (cpuTime(id)-before).Seconds()-rest*took) / float64(count)}, Point{x, float64(now-sent) / float64(count)},
					Point{x, took / float64(count)}, nil
			}
			states := [...]string{"Terminating", "Ready"}
			if res.delta, res.deltaBytes, res.deltaTime, err = changes(p.Deltas, func(k int) int64 { return roster.SetState(states[k%2], false, k/2*7) }); err != nil {
				return err
			}
			if res.whole, res.wholeBytes, res.wholeTime, err = changes(p.Wholes, func(k int) int64 { return roster.SetStateAsSnapshot(states[k%2], k/2*11) }); err != nil {
				return err
			}
			zone := roster.FailureGroup("zone")
			if res.zone, res.zoneBytes, _, err = changes(4, func(k int) int64 {
				return roster.SetState([...]string{"Gone", "Ready"}[k%2], k%2 == 1, zone...)
			}); err != nil {
				return err
			}
			res.peak = Point{x, float64(peakResidentBytes(id))}
			return nil
		})
	}
	if err := g.Wait(); err != nil {
		return err
	}
	var err error
	row := func(id, figure, unit, note string, of func(*result) Point) {
		var points []Point
		for i := range results {
			points = append(points, of(&results[i]))
		}
		err = errors.Join(err, r.addFittedRow(Row{ID: id, Role: "node", Figure: figure, Unit: unit, Of: "server", Note: note}, points, float64(r.plan.Size.Servers)))
	}
	row("node.start", "start until it is ready", "s", "a process with the list in its configuration", func(s *result) Point { return s.start })
	row("node.rss", "resident, at rest", "B", "no clients; 1 core, 256 MB", func(s *result) Point { return s.rss })
	row("node.peak", "resident at the most, with whole lists", "B", "the same process behind all that follows", func(s *result) Point { return s.peak })
	row("node.rest", "processor time a second, at rest", "s", "plans, timers and a watch that waits", func(s *result) Point { return s.rest })
	row("node.delta.cpu", "processor time of a change of one server", "s", "", func(s *result) Point { return s.delta })
	row("node.delta.bytes", "bytes of a change of one server", "B", "both ways, heads counted", func(s *result) Point { return s.deltaBytes })
	row("node.delta.time", "from a change to the next watch", "s", "50 ms of it is the watch's own rest", func(s *result) Point { return s.deltaTime })
	row("node.whole.cpu", "processor time of a whole list", "s", "", func(s *result) Point { return s.whole })
	row("node.whole.bytes", "bytes of a whole list", "B", "", func(s *result) Point { return s.wholeBytes })
	row("node.zone.cpu", "processor time as a zone's servers go, or come back", "s", fmt.Sprintf("one in %d of all, in one answer", r.plan.Size.Zones), func(s *result) Point { return s.zone })
	row("node.zone.bytes", "bytes of that", "B", "", func(s *result) Point { return s.zoneBytes })
	row("node.whole.time", "from a whole list to the next watch", "s", "50 ms of it is the watch's own rest", func(s *result) Point { return s.wholeTime })
	return err
}

// names are what hollow nodes are called, with their sources and zones: each zone belongs to one region, by turns.
func (r *run) hollowCommand(from, count int, source func(region int) string) workerCommand {
	o := workerCommand{Do: "hollow"}
	for i := from; i < from+count; i++ {
		zone := i % r.plan.Size.Zones
		o.Names = append(o.Names, fmt.Sprintf("n%03d", i))
		o.Zones = append(o.Zones, zoneName(zone))
		o.Sources = append(o.Sources, source(r.regionOf(i)))
	}
	return o
}

// region is where the i-th node is.
func (r *run) regionOf(i int) int { return i % r.plan.Size.Zones % r.plan.Size.Regions }

// hollow measures what hollow nodes take, so that it is known what the frame around them is.
func (r *run) measureHollow(ctx context.Context) error {
	p := r.plan.Hollow
	roster := NewStubDiscovery(p.Servers, r.plan.Size.Zones, nil)
	addr, err := roster.Start()
	if err != nil {
		return err
	}
	defer roster.Stop()
	path, err := r.writeNodeConfig("hollow", "127.0.0.1:1", addr, zoneName(0), roster.FullList(), 10*time.Second)
	if err != nil {
		return err
	}
	var rss, heap, rest []Point
	var mu sync.Mutex
	g, ctx := errgroup.WithContext(ctx)
	for _, n := range p.Nodes {
		g.Go(func() error {
			w, err := r.startWorker(fmt.Sprintf("hollow-%d", n))
			if err != nil {
				return err
			}
			defer r.processes.stop(w)
			o := r.hollowCommand(0, n, func(int) string { return addr })
			o.Config = path
			if _, err := w.call(ctx, o); err != nil {
				return err
			}
			if err := pause(ctx, time.Second); err != nil {
				return err
			}
			id := w.cmd.Process.Pid
			begun, before := time.Now(), cpuTime(id)
			if err := pause(ctx, p.AtRest); err != nil {
				return err
			}
			cpu := (cpuTime(id) - before).Seconds() / time.Since(begun).Seconds()
			full := float64(residentBytes(id))
			u, err := w.call(ctx, workerCommand{Do: "usage"})
			if err != nil {
				return err
			}
			mu.Lock()
			defer mu.Unlock()
			x := float64(n)
			rss, heap, rest = append(rss, Point{x, full}), append(heap, Point{x, u.Figures["heap"]}), append(rest, Point{x, cpu})
			return nil
		})
	}
	if err := g.Wait(); err != nil {
		return err
	}
	one := func(id, figure, unit string, points []Point) error {
		return r.addFittedRow(Row{ID: id, Role: "hollow node", Figure: figure, Unit: unit, Of: "node", Note: fmt.Sprintf("%d servers", p.Servers)}, points, 1)
	}
	return errors.Join(one("hollow.rss", "resident, of the process", "B", rss), one("hollow.heap", "live heap, of the process", "B", heap),
		one("hollow.rest", "processor time a second, of the process", "s", rest))
}
