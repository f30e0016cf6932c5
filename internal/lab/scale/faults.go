package scale

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"portstall/internal/resource"
)

// runFault injects a fault, makes a change during it, and follows the change until all reachable nodes have it.
func (f *fleet) runFault(ctx context.Context, fault Fault) error {
	f.takeClientStats()
	e := &activeFault{fleet: f, Fault: fault, startedAt: time.Now(), controlBytesBefore: f.controlBytesSent()}
	_, e.discoveryBytesBefore = f.discovery.Totals()
	if fault.Life > fault.For {
		e.shortened = fmt.Sprintf("%v here, %v in production", fault.For, fault.Life)
	}
	switch fault.Kind {
	case "none":
		return e.changeAndFollow(ctx, "none", nil)
	case "region_cut":
		return e.regionCut(ctx)
	case "regions_cut", "region_alone":
		return e.controlsCut(ctx)
	case "discovery_out":
		return e.discoveryOut(ctx)
	case "nodes_restart":
		return e.nodesRestart(ctx)
	case "machine_loss", "machine_cold", "rack_loss", "rack_cold", "zone_loss", "zone_cold":
		return e.serverGroupChange(ctx)
	case "control_kill", "controls_one", "controls_out", "writer_kill":
		return e.controlsKilled(ctx)
	}
	return fmt.Errorf("%q is not a known fault", fault.Kind)
}

// addFaultRow adds a row about a change: after how many seconds the nodes had it. The run fails if a node did not have
// it in time.
func (e *activeFault) addFaultRow(fault, what string, delays []float64, nodes int) {
	r := e.run
	_, bytes := e.discovery.Totals()
	row := FaultRow{Fault: fault, What: what, Nodes: nodes, Had: len(delays), P50: quantile(delays, 0.5),
		P99: quantile(delays, 0.99), Worst: quantile(delays, 1),
		Calls: float64(e.discovery.PeakCalls(e.startedAt)), Bytes: float64(bytes - e.discoveryBytesBefore),
		Shortened: e.shortened}
	if what == "configuration" {
		row.Calls, row.Bytes = 0, float64(e.controlBytesSent()-e.controlBytesBefore)
	} else {
		asked, served, _ := e.takeClientStats()
		if row.Asked = asked; asked > 0 {
			row.Served = float64(served) / float64(asked)
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Faults = append(r.report.Faults, row)
	if row.Had < row.Nodes {
		r.report.addFailure("%s: the change of the %s was in force at %d of %d nodes after %v", fault, what, row.Had,
			row.Nodes, e.plan.Limit)
	}
}

// followChange follows a change until the wanted nodes have it, and adds its rows. If from is not zero, it is the
// earliest time at which the nodes could have had the change.
func (e *activeFault) followChange(ctx context.Context, fault string, c trackedChange, from time.Time,
	wanted func(node int) bool) error {
	nodes := 0
	for i := range e.plan.Hollow {
		if wanted == nil || wanted(i) {
			nodes++
		}
	}
	for k, command := range c.queries() {
		at, what := c.listTime, "list"
		if k == 1 {
			at, what = c.configTime, "configuration"
		}
		if from.After(at) {
			at = from
		}
		delays, err := e.await(ctx, command, at, wanted)
		if err != nil {
			return err
		}
		e.addFaultRow(fault, what, delays, nodes)
	}
	return nil
}

// changeAndFollow makes a change and follows it.
func (e *activeFault) changeAndFollow(ctx context.Context, fault string, wanted func(node int) bool) error {
	c, err := e.makeChange(ctx)
	if err != nil {
		return err
	}
	return e.followChange(ctx, fault, c, time.Time{}, wanted)
}

// waitForShare waits until the given share of the fault's time is over.
func (e *activeFault) waitForShare(ctx context.Context, share float64) error {
	return pause(ctx, time.Duration(share*float64(e.For))-time.Since(e.startedAt))
}

// regionCut cuts the last region from discovery and from all control processes.
func (e *activeFault) regionCut(ctx context.Context) error {
	cut := len(e.discoveryRelays) - 1
	inside := func(i int) bool { return e.run.regionOf(i) == cut }
	setCut := func(on bool) {
		e.discoveryRelays[cut].Cut(on)
		if e.files != nil {
			for _, relay := range e.controlRelays[cut] {
				relay.Cut(on)
			}
		}
	}
	setCut(true)
	defer setCut(false)
	if err := e.waitForShare(ctx, 0.5); err != nil {
		return err
	}
	c, err := e.makeChange(ctx)
	if err != nil {
		return err
	}
	if err := e.followChange(ctx, "region cut: the others", c, time.Time{},
		func(i int) bool { return !inside(i) }); err != nil {
		return err
	}
	if err := e.waitForShare(ctx, 1); err != nil {
		return err
	}
	setCut(false)
	return e.followChange(ctx, "region cut: its nodes, from the heal", c, time.Now(), inside)
}

// discoveryOut makes discovery unreachable. Control stays reachable, so its change is followed from when it was made.
func (e *activeFault) discoveryOut(ctx context.Context) error {
	e.discovery.SetDown(true)
	defer e.discovery.SetDown(false)
	if err := e.waitForShare(ctx, 0.5); err != nil {
		return err
	}
	c, err := e.makeChange(ctx)
	if err != nil {
		return err
	}
	if err := e.waitForShare(ctx, 1); err != nil {
		return err
	}
	e.discovery.SetDown(false)
	returnedAt := time.Now()
	list := c
	list.configVersion = resource.Version{}
	if err := e.followChange(ctx, "discovery out: from its return", list, returnedAt,
		nil); err != nil || c.configVersion.IsZero() {
		return err
	}
	delays, err := e.await(ctx, c.queries()[1], c.configTime, nil)
	if err == nil {
		e.addFaultRow("discovery out: amid it", "configuration", delays, e.plan.Hollow)
	}
	return err
}

// nodesRestart restarts all nodes, a share of them at a time, and makes a change while each share restarts.
func (e *activeFault) nodesRestart(ctx context.Context) error {
	rounds := max(1, int(1/e.Share+0.5))
	delays := [2][]float64{}
	for k := range rounds {
		g, inner := errgroup.WithContext(ctx)
		for i, w := range e.workers {
			var list []int
			for place, n := range e.hollowNodes[i] {
				if n%rounds == k {
					list = append(list, place)
				}
			}
			if list != nil {
				g.Go(func() error {
					_, err := w.call(inner, workerCommand{Do: "restart", Which: list})
					return err
				})
			}
		}
		c, err := e.makeChange(ctx)
		if err := errors.Join(err, g.Wait()); err != nil {
			return err
		}
		for what, command := range c.queries() {
			more, err := e.await(ctx, command, [...]time.Time{c.listTime, c.configTime}[what], nil)
			if err != nil {
				return err
			}
			delays[what] = append(delays[what], more...)
		}
	}
	fault := fmt.Sprintf("all nodes restarted, %.0f%% at a time", 100*e.Share)
	e.addFaultRow(fault, "list", delays[0], rounds*e.plan.Hollow)
	if e.files != nil {
		e.addFaultRow(fault, "configuration", delays[1], rounds*e.plan.Hollow)
	}
	return nil
}

// serverGroupChange removes a group of web servers, or lets them come back cold. The change followed in the list is
// that itself.
func (e *activeFault) serverGroupChange(ctx context.Context) error {
	group, event, _ := strings.Cut(e.Kind, "_")
	servers := e.discovery.FailureGroup(group)
	var c trackedChange
	c.listTime = time.Now()
	what := "gone at once"
	if event == "loss" {
		c.listVersion = e.discovery.SetState("Gone", false, servers...)
	} else {
		c.listVersion, what = e.discovery.SetState("Ready", true, servers...), "back at once, cold"
	}
	if e.files != nil {
		tracked, err := e.makeChange(ctx)
		if err != nil {
			return err
		}
		c.configVersion, c.configTime = tracked.configVersion, tracked.configTime
	}
	if err := e.followChange(ctx, fmt.Sprintf("a %s: %d servers %s", group, len(servers), what), c, time.Time{},
		nil); err != nil {
		return err
	}
	return e.waitForShare(ctx, 1)
}

// controlsKilled kills control processes and starts them again.
func (e *activeFault) controlsKilled(ctx context.Context) error {
	r := e.run
	var killed []*controlProcess
	writer := e.controls[0]
	switch e.Kind {
	case "control_kill":
		killed = e.controls[len(e.controls)-1:]
	case "controls_one":
		killed = e.controls[1:]
	case "writer_kill":
		killed = e.controls[:1]
	case "controls_out":
		killed = e.controls
	}
	writerDown := killed[0] == writer
	if writerDown { // no change but the one made here while the writer is down
		e.changeMu.Lock()
	}
	for _, c := range killed {
		r.processes.stop(c.child)
	}
	restart := func() error {
		for _, c := range killed { // the writer is the first
			if err := r.startControl(ctx, c); err != nil {
				return err
			}
		}
		return nil
	}
	if !writerDown {
		cpuBefore, startedAt := cpuTime(writer.cmd.Process.Pid), time.Now()
		if err := e.waitForShare(ctx, 0.5); err != nil {
			return err
		}
		if err := e.changeAndFollow(ctx, map[string]string{"control_kill": "one control process killed",
			"controls_one": "all control processes but one killed"}[e.Kind], nil); err != nil {
			return err
		}
		if err := e.waitForShare(ctx, 1); err != nil {
			return err
		}
		if e.Kind == "controls_one" {
			note := fmt.Sprintf("%d nodes, %d contracts, changes %.0f times as fast as in production",
				e.plan.Hollow+len(e.realNodes), e.plan.Contracts, e.plan.Speed)
			r.addRows(Row{ID: "control.one.cpu", Role: "control",
				Figure: "CPU time per second of one process that serves all nodes", Unit: "s", Origin: Measured,
				At: (cpuTime(writer.cmd.Process.Pid) - cpuBefore).Seconds() / time.Since(startedAt).Seconds(), Note: note},
				Row{ID: "control.one.rss", Role: "control",
					Figure: "peak resident memory of one process that serves all nodes", Unit: "B", Origin: Measured,
					At: float64(peakResidentBytes(writer.cmd.Process.Pid)), Note: note})
		}
		return restart()
	}
	c := trackedChange{listVersion: e.discovery.SetState("Ready", true, 1), listTime: time.Now()}
	err := e.files.changeNext()
	if err == nil {
		err = e.waitForShare(ctx, 1)
	}
	if err == nil {
		err = restart()
	}
	if err == nil {
		var s controlStatus
		s, err = writer.status()
		c.configVersion, c.configTime = s.Version, time.Now()
	}
	e.changeMu.Unlock()
	if err != nil {
		return err
	}
	return e.followChange(ctx, map[string]string{"writer_kill": "the writer killed: from its return",
		"controls_out": "all control processes killed: from their return"}[e.Kind], c, time.Time{}, nil)
}
