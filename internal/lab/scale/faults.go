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

// fault lets one thing happen, with a change amid it, and follows that until all reachable nodes have it.
func (f *fleet) runFault(ctx context.Context, x Fault) error {
	f.takeClientStats()
	e := &activeFault{fleet: f, Fault: x, startedAt: time.Now(), controlBytesBefore: f.controlBytesSent()}
	_, e.discoveryBytesBefore = f.discovery.Totals()
	if x.Life > x.For {
		e.shortened = fmt.Sprintf("%v here, %v in life", x.For, x.Life)
	}
	switch x.Kind {
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
	return fmt.Errorf("%q is no fault", x.Kind)
}

// row notes what became of a change.
func (e *activeFault) addFaultRow(fault, what string, after []float64, nodes int) {
	r := e.run
	_, bytes := e.discovery.Totals()
	row := FaultRow{Fault: fault, What: what, Nodes: nodes, Had: len(after), P50: quantile(after, 0.5), P99: quantile(after, 0.99), Worst: quantile(after, 1),
		Calls: float64(e.discovery.PeakCalls(e.startedAt)), Bytes: float64(bytes - e.discoveryBytesBefore), Shortened: e.shortened}
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
		r.report.addFailure("%s: the change of the %s was in force at %d of %d nodes after %v", fault, what, row.Had, row.Nodes, e.plan.Limit)
	}
}

// rows follows a change until the wanted nodes have it, and notes that. A from that is not zero is when it could first be had.
func (e *activeFault) followChange(ctx context.Context, fault string, c trackedChange, from time.Time, wanted func(node int) bool) error {
	nodes := 0
	for i := range e.plan.Hollow {
		if wanted == nil || wanted(i) {
			nodes++
		}
	}
	for k, o := range c.queries() {
		at, what := c.listTime, "list"
		if k == 1 {
			at, what = c.configTime, "configuration"
		}
		if from.After(at) {
			at = from
		}
		after, err := e.await(ctx, o, at, wanted)
		if err != nil {
			return err
		}
		e.addFaultRow(fault, what, after, nodes)
	}
	return nil
}

// amid makes a change now, and follows it.
func (e *activeFault) changeAndFollow(ctx context.Context, fault string, wanted func(node int) bool) error {
	c, err := e.makeChange(ctx)
	if err != nil {
		return err
	}
	return e.followChange(ctx, fault, c, time.Time{}, wanted)
}

// rest waits until a part of the fault's time is over.
func (e *activeFault) waitForShare(ctx context.Context, part float64) error {
	return pause(ctx, time.Duration(part*float64(e.For))-time.Since(e.startedAt))
}

// regionCut cuts the last region from discovery and from all control processes.
func (e *activeFault) regionCut(ctx context.Context) error {
	cut := len(e.discoveryRelays) - 1
	inside := func(i int) bool { return e.run.regionOf(i) == cut }
	network := func(on bool) {
		e.discoveryRelays[cut].Cut(on)
		if e.files != nil {
			for _, l := range e.controlRelays[cut] {
				l.Cut(on)
			}
		}
	}
	network(true)
	defer network(false)
	if err := e.waitForShare(ctx, 0.5); err != nil {
		return err
	}
	c, err := e.makeChange(ctx)
	if err != nil {
		return err
	}
	if err := e.followChange(ctx, "region cut: the others", c, time.Time{}, func(i int) bool { return !inside(i) }); err != nil {
		return err
	}
	if err := e.waitForShare(ctx, 1); err != nil {
		return err
	}
	network(false)
	return e.followChange(ctx, "region cut: its nodes, from the heal", c, time.Now(), inside)
}

// discoveryOut takes discovery out of reach. Control is there: its change is followed at once.
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
	back := time.Now()
	list := c
	list.configVersion = resource.Version{}
	if err := e.followChange(ctx, "discovery out: from its return", list, back, nil); err != nil || c.configVersion.IsZero() {
		return err
	}
	after, err := e.await(ctx, c.queries()[1], c.configTime, nil)
	if err == nil {
		e.addFaultRow("discovery out: amid it", "configuration", after, e.plan.Hollow)
	}
	return err
}

// nodesRestart restarts all nodes in turn, with a change as each part of them restarts.
func (e *activeFault) nodesRestart(ctx context.Context) error {
	rounds := max(1, int(1/e.Share+0.5))
	after := [2][]float64{}
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
		for what, o := range c.queries() {
			more, err := e.await(ctx, o, [...]time.Time{c.listTime, c.configTime}[what], nil)
			if err != nil {
				return err
			}
			after[what] = append(after[what], more...)
		}
	}
	fault := fmt.Sprintf("all nodes restarted, %.0f%% at a time", 100*e.Share)
	e.addFaultRow(fault, "list", after[0], rounds*e.plan.Hollow)
	if e.files != nil {
		e.addFaultRow(fault, "configuration", after[1], rounds*e.plan.Hollow)
	}
	return nil
}

// servers lets web servers go, or come back cold. The change that is followed in the list is that itself.
func (e *activeFault) serverGroupChange(ctx context.Context) error {
	group, how, _ := strings.Cut(e.Kind, "_")
	which := e.discovery.FailureGroup(group)
	var c trackedChange
	c.listTime = time.Now()
	what := "gone at once"
	if how == "loss" {
		c.listVersion = e.discovery.SetState("Gone", false, which...)
	} else {
		c.listVersion, what = e.discovery.SetState("Ready", true, which...), "back at once, cold"
	}
	if e.files != nil {
		behind, err := e.makeChange(ctx)
		if err != nil {
			return err
		}
		c.configVersion, c.configTime = behind.configVersion, behind.configTime
	}
	if err := e.followChange(ctx, fmt.Sprintf("a %s: %d servers %s", group, len(which), what), c, time.Time{}, nil); err != nil {
		return err
	}
	return e.waitForShare(ctx, 1)
}

// controlsKilled kills control processes and lets them return.
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
	away := killed[0] == writer
	if away { // nobody changes anything meanwhile but this
		e.changeMu.Lock()
	}
	for _, c := range killed {
		r.processes.stop(c.child)
	}
	back := func() error {
		for _, c := range killed { // the writer first
			if err := r.startControl(ctx, c); err != nil {
				return err
			}
		}
		return nil
	}
	if !away {
		busy, begun := cpuTime(writer.cmd.Process.Pid), time.Now()
		if err := e.waitForShare(ctx, 0.5); err != nil {
			return err
		}
		if err := e.changeAndFollow(ctx, map[string]string{"control_kill": "one control process killed", "controls_one": "all control processes but one killed"}[e.Kind], nil); err != nil {
			return err
		}
		if err := e.waitForShare(ctx, 1); err != nil {
			return err
		}
		if e.Kind == "controls_one" {
			note := fmt.Sprintf("%d nodes, %d contracts, changes %.0f times as fast as in life", e.plan.Hollow+len(e.realNodes), e.plan.Contracts, e.plan.Speed)
			r.addRows(Row{ID: "control.one.cpu", Role: "control", Figure: "processor time a second of one that bears all nodes", Unit: "s", Origin: Measured,
				At: (cpuTime(writer.cmd.Process.Pid) - busy).Seconds() / time.Since(begun).Seconds(), Note: note},
				Row{ID: "control.one.rss", Role: "control", Figure: "resident at the most, of one that bears all nodes", Unit: "B", Origin: Measured, At: float64(peakResidentBytes(writer.cmd.Process.Pid)), Note: note})
		}
		return back()
	}
	c := trackedChange{listVersion: e.discovery.SetState("Ready", true, 1), listTime: time.Now()}
	err := e.files.changeNext()
	if err == nil {
		err = e.waitForShare(ctx, 1)
	}
	if err == nil {
		err = back()
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
	return e.followChange(ctx, map[string]string{"writer_kill": "the writer killed: from its return", "controls_out": "all control processes killed: from their return"}[e.Kind], c, time.Time{}, nil)
}
