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
func (f *fleet) fault(ctx context.Context, x Fault) error {
	f.harvest()
	e := &event{fleet: f, Fault: x, begun: time.Now(), toldAt: f.told()}
	_, e.bytes = f.roster.Tally()
	if x.Life > x.For {
		e.shortened = fmt.Sprintf("%v here, %v in life", x.For, x.Life)
	}
	switch x.Kind {
	case "none":
		return e.amid(ctx, "none", nil)
	case "region_cut":
		return e.regionCut(ctx)
	case "regions_cut", "region_alone":
		return e.controlsCut(ctx)
	case "discovery_out":
		return e.discoveryOut(ctx)
	case "nodes_restart":
		return e.nodesRestart(ctx)
	case "machine_loss", "machine_cold", "rack_loss", "rack_cold", "zone_loss", "zone_cold":
		return e.servers(ctx)
	case "control_kill", "controls_one", "controls_out", "writer_kill":
		return e.controlsKilled(ctx)
	}
	return fmt.Errorf("%q is no fault", x.Kind)
}

// row notes what became of a change.
func (e *event) row(fault, what string, after []float64, nodes int) {
	r := e.run
	_, bytes := e.roster.Tally()
	row := FaultRow{Fault: fault, What: what, Nodes: nodes, Had: len(after), P50: quantile(after, 0.5), P99: quantile(after, 0.99), Worst: quantile(after, 1),
		Calls: float64(e.roster.Busiest(e.begun)), Bytes: float64(bytes - e.bytes), Shortened: e.shortened}
	if what == "configuration" {
		row.Calls, row.Bytes = 0, float64(e.told()-e.toldAt)
	} else {
		asked, served, _ := e.harvest()
		if row.Asked = asked; asked > 0 {
			row.Served = float64(served) / float64(asked)
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Faults = append(r.report.Faults, row)
	if row.Had < row.Nodes {
		r.report.breaks("%s: the change of the %s was in force at %d of %d nodes after %v", fault, what, row.Had, row.Nodes, e.plan.Limit)
	}
}

// rows follows a change until the wanted nodes have it, and notes that. A from that is not zero is when it could first be had.
func (e *event) rows(ctx context.Context, fault string, c change, from time.Time, wanted func(node int) bool) error {
	nodes := 0
	for i := range e.plan.Hollow {
		if wanted == nil || wanted(i) {
			nodes++
		}
	}
	for k, o := range c.orders() {
		at, what := c.listAt, "list"
		if k == 1 {
			at, what = c.configAt, "configuration"
		}
		if from.After(at) {
			at = from
		}
		after, err := e.follow(ctx, o, at, wanted)
		if err != nil {
			return err
		}
		e.row(fault, what, after, nodes)
	}
	return nil
}

// amid makes a change now, and follows it.
func (e *event) amid(ctx context.Context, fault string, wanted func(node int) bool) error {
	c, err := e.change(ctx)
	if err != nil {
		return err
	}
	return e.rows(ctx, fault, c, time.Time{}, wanted)
}

// rest waits until a part of the fault's time is over.
func (e *event) rest(ctx context.Context, part float64) error {
	return pause(ctx, time.Duration(part*float64(e.For))-time.Since(e.begun))
}

// regionCut cuts the last region from discovery and from all control processes.
func (e *event) regionCut(ctx context.Context) error {
	cut := len(e.relays) - 1
	inside := func(i int) bool { return e.run.region(i) == cut }
	network := func(on bool) {
		e.relays[cut].Cut(on)
		if e.files != nil {
			for _, l := range e.ways[cut] {
				l.Cut(on)
			}
		}
	}
	network(true)
	defer network(false)
	if err := e.rest(ctx, 0.5); err != nil {
		return err
	}
	c, err := e.change(ctx)
	if err != nil {
		return err
	}
	if err := e.rows(ctx, "region cut: the others", c, time.Time{}, func(i int) bool { return !inside(i) }); err != nil {
		return err
	}
	if err := e.rest(ctx, 1); err != nil {
		return err
	}
	network(false)
	return e.rows(ctx, "region cut: its nodes, from the heal", c, time.Now(), inside)
}

// discoveryOut takes discovery out of reach. Control is there: its change is followed at once.
func (e *event) discoveryOut(ctx context.Context) error {
	e.roster.SetDown(true)
	defer e.roster.SetDown(false)
	if err := e.rest(ctx, 0.5); err != nil {
		return err
	}
	c, err := e.change(ctx)
	if err != nil {
		return err
	}
	if err := e.rest(ctx, 1); err != nil {
		return err
	}
	e.roster.SetDown(false)
	back := time.Now()
	list := c
	list.config = resource.Version{}
	if err := e.rows(ctx, "discovery out: from its return", list, back, nil); err != nil || c.config.IsZero() {
		return err
	}
	after, err := e.follow(ctx, c.orders()[1], c.configAt, nil)
	if err == nil {
		e.row("discovery out: amid it", "configuration", after, e.plan.Hollow)
	}
	return err
}

// nodesRestart restarts all nodes in turn, with a change as each part of them restarts.
func (e *event) nodesRestart(ctx context.Context) error {
	rounds := max(1, int(1/e.Share+0.5))
	after := [2][]float64{}
	for k := range rounds {
		g, inner := errgroup.WithContext(ctx)
		for i, w := range e.workers {
			var list []int
			for place, n := range e.nodes[i] {
				if n%rounds == k {
					list = append(list, place)
				}
			}
			if list != nil {
				g.Go(func() error {
					_, err := w.call(inner, order{Do: "restart", Which: list})
					return err
				})
			}
		}
		c, err := e.change(ctx)
		if err := errors.Join(err, g.Wait()); err != nil {
			return err
		}
		for what, o := range c.orders() {
			more, err := e.follow(ctx, o, [...]time.Time{c.listAt, c.configAt}[what], nil)
			if err != nil {
				return err
			}
			after[what] = append(after[what], more...)
		}
	}
	fault := fmt.Sprintf("all nodes restarted, %.0f%% at a time", 100*e.Share)
	e.row(fault, "list", after[0], rounds*e.plan.Hollow)
	if e.files != nil {
		e.row(fault, "configuration", after[1], rounds*e.plan.Hollow)
	}
	return nil
}

// servers lets web servers go, or come back cold. The change that is followed in the list is that itself.
func (e *event) servers(ctx context.Context) error {
	group, how, _ := strings.Cut(e.Kind, "_")
	which := e.roster.Group(group)
	var c change
	c.listAt = time.Now()
	what := "gone at once"
	if how == "loss" {
		c.list = e.roster.Set("Gone", false, which...)
	} else {
		c.list, what = e.roster.Set("Ready", true, which...), "back at once, cold"
	}
	if e.files != nil {
		behind, err := e.change(ctx)
		if err != nil {
			return err
		}
		c.config, c.configAt = behind.config, behind.configAt
	}
	if err := e.rows(ctx, fmt.Sprintf("a %s: %d servers %s", group, len(which), what), c, time.Time{}, nil); err != nil {
		return err
	}
	return e.rest(ctx, 1)
}

// controlsKilled kills control processes and lets them return.
func (e *event) controlsKilled(ctx context.Context) error {
	r := e.run
	var killed []*controller
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
		e.writing.Lock()
	}
	for _, c := range killed {
		r.herd.end(c.child)
	}
	back := func() error {
		for _, c := range killed { // the writer first
			if err := r.begin(ctx, c); err != nil {
				return err
			}
		}
		return nil
	}
	if !away {
		busy, begun := worked(writer.cmd.Process.Pid), time.Now()
		if err := e.rest(ctx, 0.5); err != nil {
			return err
		}
		if err := e.amid(ctx, map[string]string{"control_kill": "one control process killed", "controls_one": "all control processes but one killed"}[e.Kind], nil); err != nil {
			return err
		}
		if err := e.rest(ctx, 1); err != nil {
			return err
		}
		if e.Kind == "controls_one" {
			note := fmt.Sprintf("%d nodes, %d contracts, changes %.0f times as fast as in life", e.plan.Hollow+len(e.real), e.plan.Contracts, e.plan.Speed)
			r.add(Row{ID: "control.one.cpu", Role: "control", Figure: "processor time a second of one that bears all nodes", Unit: "s", Origin: Ran,
				At: (worked(writer.cmd.Process.Pid) - busy).Seconds() / time.Since(begun).Seconds(), Note: note},
				Row{ID: "control.one.rss", Role: "control", Figure: "resident at the most, of one that bears all nodes", Unit: "B", Origin: Ran, At: float64(peak(writer.cmd.Process.Pid)), Note: note})
		}
		return back()
	}
	c := change{list: e.roster.Set("Ready", true, 1), listAt: time.Now()}
	err := e.files.change()
	if err == nil {
		err = e.rest(ctx, 1)
	}
	if err == nil {
		err = back()
	}
	if err == nil {
		var s status
		s, err = writer.status()
		c.config, c.configAt = s.Version, time.Now()
	}
	e.writing.Unlock()
	if err != nil {
		return err
	}
	return e.rows(ctx, map[string]string{"writer_kill": "the writer killed: from its return", "controls_out": "all control processes killed: from their return"}[e.Kind], c, time.Time{}, nil)
}
