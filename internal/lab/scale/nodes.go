package scale

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
)

// measureNodes measures real and hollow nodes concurrently, because both are idle most of the time.
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

// measureList measures real nodes without clients at several sizes of the server list.
func (r *run) measureList(ctx context.Context) error {
	p := r.plan.List
	type result struct {
		start, rss, peak, idle, delta, deltaBytes, deltaTime, fullList, fullListBytes, fullListTime, zone,
		zoneBytes Point
	}
	results := make([]result, len(p.Servers))
	g, ctx := errgroup.WithContext(ctx)
	for i, n := range p.Servers {
		g.Go(func() error {
			discovery := NewStubDiscovery(n, r.plan.Size.Zones, nil)
			addr, err := discovery.Start()
			if err != nil {
				return err
			}
			defer discovery.Stop()
			node, err := r.startNode(ctx, nodeSetup{name: fmt.Sprintf("list-%d", n), discovery: addr,
				zone: zoneName(0), serverList: discovery.FullList(), serverIdle: 10 * time.Second})
			if err != nil {
				return err
			}
			defer r.processes.stop(node.child)
			if err := pause(ctx, time.Second); err != nil { // until the work of its start is done
				return err
			}
			id, x := node.cmd.Process.Pid, float64(n)
			startedAt, before := time.Now(), cpuTime(id)
			if err := pause(ctx, p.AtRest); err != nil {
				return err
			}
			idle := (cpuTime(id) - before).Seconds() / time.Since(startedAt).Seconds()
			res := &results[i]
			res.start, res.rss, res.idle = Point{x, node.startDuration.Seconds()},
				Point{x, float64(residentBytes(id))}, Point{x, idle}
			// changes makes changes one after the other, and returns the cost of one beyond the idle cost: CPU time,
			// bytes, and time until the node has it.
			changes := func(count int, change func(k int) int64) (cpu, bytes, wait Point, err error) {
				startedAt, before := time.Now(), cpuTime(id)
				_, sent := discovery.Totals()
				for k := range count {
					v := change(k)
					if err := waitUntil(ctx, updateTimeout, "a change of the list", func() bool {
						at, _ := discovery.HighestSince()
						return at >= v
					}); err != nil {
						return cpu, bytes, wait, err
					}
				}
				_, now := discovery.Totals()
				elapsed := time.Since(startedAt).Seconds()
				return Point{x, max(0, (cpuTime(id)-before).Seconds()-idle*elapsed) / float64(count)},
					Point{x, float64(now-sent) / float64(count)}, Point{x, elapsed / float64(count)}, nil
			}
			states := [...]string{"Terminating", "Ready"}
			if res.delta, res.deltaBytes, res.deltaTime, err = changes(p.Deltas,
				func(k int) int64 { return discovery.SetState(states[k%2], false, k/2*7) }); err != nil {
				return err
			}
			if res.fullList, res.fullListBytes, res.fullListTime, err = changes(p.Wholes,
				func(k int) int64 { return discovery.SetStateAsSnapshot(states[k%2], k/2*11) }); err != nil {
				return err
			}
			zone := discovery.FailureGroup("zone")
			if res.zone, res.zoneBytes, _, err = changes(4, func(k int) int64 {
				return discovery.SetState([...]string{"Gone", "Ready"}[k%2], k%2 == 1, zone...)
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
		err = errors.Join(err, r.addFittedRow(Row{ID: id, Role: "node", Figure: figure, Unit: unit, Of: "server",
			Note: note}, points, float64(r.plan.Size.Servers)))
	}
	row("node.start", "start until ready", "s", "a process with the server list in its configuration",
		func(s *result) Point { return s.start })
	row("node.rss", "resident memory when idle", "B", "no clients; 1 core, 256 MB", func(s *result) Point { return s.rss })
	row("node.peak", "peak resident memory, with full lists", "B", "the same process after all measurements below",
		func(s *result) Point { return s.peak })
	row("node.rest", "CPU time per second when idle", "s", "plans, timers and a waiting watch",
		func(s *result) Point { return s.idle })
	row("node.delta.cpu", "CPU time of a change of one server", "s", "", func(s *result) Point { return s.delta })
	row("node.delta.bytes", "bytes of a change of one server", "B", "both directions, including headers",
		func(s *result) Point { return s.deltaBytes })
	row("node.delta.time", "time from a change to the next watch", "s", "50 ms of it is the watch's own delay",
		func(s *result) Point { return s.deltaTime })
	row("node.whole.cpu", "CPU time of a full list", "s", "", func(s *result) Point { return s.fullList })
	row("node.whole.bytes", "bytes of a full list", "B", "", func(s *result) Point { return s.fullListBytes })
	row("node.zone.cpu", "CPU time of the removal or return of a zone's servers", "s",
		fmt.Sprintf("one in %d of all, in one response", r.plan.Size.Zones), func(s *result) Point { return s.zone })
	row("node.zone.bytes", "bytes of the removal or return of a zone's servers", "B", "",
		func(s *result) Point { return s.zoneBytes })
	row("node.whole.time", "time from a full list to the next watch", "s", "50 ms of it is the watch's own delay",
		func(s *result) Point { return s.fullListTime })
	return err
}

// hollowCommand returns the command that starts count hollow nodes from number from on, with their names, zones and
// sources of the server list. Nodes are assigned to zones in turn, and zones to regions in turn.
func (r *run) hollowCommand(from, count int, source func(region int) string) workerCommand {
	command := workerCommand{Do: "hollow"}
	for i := from; i < from+count; i++ {
		zone := i % r.plan.Size.Zones
		command.Names = append(command.Names, fmt.Sprintf("n%03d", i))
		command.Zones = append(command.Zones, zoneName(zone))
		command.Sources = append(command.Sources, source(r.regionOf(i)))
	}
	return command
}

// regionOf returns the region of the i-th node.
func (r *run) regionOf(i int) int { return i % r.plan.Size.Zones % r.plan.Size.Regions }

// measureHollow measures what hollow nodes take, so that their cost can be distinguished from that
// of the process around them.
func (r *run) measureHollow(ctx context.Context) error {
	p := r.plan.Hollow
	discovery := NewStubDiscovery(p.Servers, r.plan.Size.Zones, nil)
	addr, err := discovery.Start()
	if err != nil {
		return err
	}
	defer discovery.Stop()
	path, err := r.writeNodeConfig("hollow", "127.0.0.1:1", addr, zoneName(0), discovery.FullList(), 10*time.Second)
	if err != nil {
		return err
	}
	var rss, heap, idle []Point
	var mu sync.Mutex
	g, ctx := errgroup.WithContext(ctx)
	for _, n := range p.Nodes {
		g.Go(func() error {
			w, err := r.startWorker(fmt.Sprintf("hollow-%d", n))
			if err != nil {
				return err
			}
			defer r.processes.stop(w)
			command := r.hollowCommand(0, n, func(int) string { return addr })
			command.Config = path
			if _, err := w.call(ctx, command); err != nil {
				return err
			}
			if err := pause(ctx, time.Second); err != nil {
				return err
			}
			id := w.cmd.Process.Pid
			startedAt, before := time.Now(), cpuTime(id)
			if err := pause(ctx, p.AtRest); err != nil {
				return err
			}
			cpu := (cpuTime(id) - before).Seconds() / time.Since(startedAt).Seconds()
			full := float64(residentBytes(id))
			usage, err := w.call(ctx, workerCommand{Do: "usage"})
			if err != nil {
				return err
			}
			mu.Lock()
			defer mu.Unlock()
			x := float64(n)
			rss, heap, idle = append(rss, Point{x, full}),
				append(heap, Point{x, usage.Figures["heap"]}), append(idle, Point{x, cpu})
			return nil
		})
	}
	if err := g.Wait(); err != nil {
		return err
	}
	fittedRow := func(id, figure, unit string, points []Point) error {
		return r.addFittedRow(Row{ID: id, Role: "hollow node", Figure: figure, Unit: unit, Of: "node",
			Note: fmt.Sprintf("%d servers", p.Servers)}, points, 1)
	}
	return errors.Join(fittedRow("hollow.rss", "resident memory of the process", "B", rss), fittedRow("hollow.heap",
		"live heap of the process", "B", heap),
		fittedRow("hollow.rest", "CPU time per second of the process", "s", idle))
}
