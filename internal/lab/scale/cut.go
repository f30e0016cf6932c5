package scale

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"portstall/internal/node"
	"portstall/internal/resource"
)

// sever takes the network between two regions away, or gives it back: between control processes, and between nodes and control processes.
func (f *fleet) cutRegions(a, b int, on bool) {
	home := func(control int) int { return control % len(f.discoveryRelays) }
	for i := range f.controls {
		for _, way := range [][2]int{{a, b}, {b, a}} {
			if home(i) != way[1] {
				continue
			}
			f.controlRelays[way[0]][i].Cut(on)
			for k := range f.controls {
				if home(k) == way[0] {
					f.controlLinks[k][i].Cut(on)
				}
			}
		}
	}
}

// teller is a process, a control process or a real node, that tells which configuration it has.
type versionReporter struct {
	name     string
	isolated bool // it is in the region that is cut off
	version  func() (resource.Version, error)
	history  versionHistory
}

// tellers are all of them.
func (f *fleet) versionReporters(cut int) (all []*versionReporter) {
	for i, c := range f.controls {
		all = append(all, &versionReporter{name: c.role, isolated: i%len(f.discoveryRelays) == cut, version: func() (resource.Version, error) {
			s, err := c.status()
			return s.Version, err
		}})
	}
	for i, n := range f.realNodes {
		all = append(all, &versionReporter{name: n.role, isolated: f.run.regionOf(i) == cut, version: func() (resource.Version, error) {
			c, err := n.configuration()
			if err != nil {
				return resource.Version{}, err
			}
			return resource.ParseVersion(c.Version)
		}})
	}
	return all
}

// configuration is how a node stands with control.
func (n *realNode) configuration() (c node.Configuration, err error) {
	resp, err := operatorClient.Get("http://" + n.mgmt + "/-/configuration")
	if err != nil {
		return c, err
	}
	defer resp.Body.Close()
	return c, json.NewDecoder(resp.Body).Decode(&c)
}

// askEach is how exactly it is known when a control process or a real node has a version.
const versionPollInterval = 100 * time.Millisecond

// watchTellers asks them again and again until ctx ends. Their histories may be read once it has returned, or under mu.
func pollVersions(ctx context.Context, mu *sync.Mutex, all []*versionReporter) {
	var wg sync.WaitGroup
	for _, t := range all {
		wg.Go(func() {
			for pause(ctx, versionPollInterval) == nil {
				if v, err := t.version(); err == nil {
					mu.Lock()
					t.history.record(v, time.Now())
					mu.Unlock()
				}
			}
		})
	}
	wg.Wait()
}

// carried is what was told so far: the whole by all control processes together, and to the control process of the region that is cut
// off and to its real nodes the whole and deltas.
type transferCounts struct{ controlSnapshots, regionSnapshots, regionDeltas, nodeSnapshots, nodeDeltas int64 }

func (f *fleet) readTransferCounts(cut int) (sum transferCounts, err error) {
	for i, c := range f.controls {
		s, err := c.status()
		if err != nil {
			return sum, err
		}
		sum.controlSnapshots += int64(s.Snapshots)
		if i == cut && s.Follows != nil {
			sum.regionSnapshots, sum.regionDeltas = s.Follows.Snapshots, s.Follows.Deltas
		}
	}
	for i, n := range f.realNodes {
		if f.run.regionOf(i) != cut {
			continue
		}
		c, err := n.configuration()
		if err != nil {
			return sum, err
		}
		sum.nodeSnapshots, sum.nodeDeltas = sum.nodeSnapshots+c.Calls.Snapshots, sum.nodeDeltas+c.Calls.Deltas
	}
	return sum, nil
}

// back is how often any hollow node had a configuration older than the one before.
func (f *fleet) regressions(ctx context.Context) (times float64, err error) {
	for i, w := range f.workers {
		if f.hollowNodes[i] == nil {
			continue
		}
		got, err := w.call(ctx, workerCommand{Do: "back"})
		if err != nil {
			return 0, err
		}
		times += got.Figures["back"]
	}
	return times, nil
}

// tight fails the run where a node has a change of the configuration that was made beyond a cut.
func (e *activeFault) checkIsolated(ctx context.Context, name string, c trackedChange, inside func(node int) bool) error {
	leaked, err := e.awaitWithin(ctx, 0, c.queries()[1], time.Time{}, inside)
	if err != nil || len(leaked) == 0 {
		return err
	}
	e.run.mu.Lock()
	defer e.run.mu.Unlock()
	e.run.report.addFailure("%s: %d of its nodes have a change that was made beyond it", name, len(leaked))
	return nil
}

// meanwhile makes changes of the configuration at a rate until the fault's time is over.
func (e *activeFault) reconfigureUntilEnd(ctx context.Context) error {
	begun := time.Now()
	for k := 1; e.Rate > 0; k++ {
		at := begun.Add(time.Duration(float64(k) / e.Rate * float64(time.Second)))
		if at.After(e.startedAt.Add(e.For)) {
			break
		}
		if err := pause(ctx, time.Until(at)); err != nil {
			return err
		}
		if _, _, err := e.reconfigure(); err != nil {
			return err
		}
	}
	return e.waitForShare(ctx, 1)
}

// controlsCut cuts the last region from the writer's, or from all others, while the configuration changes: in the first half as the fleet's
// speed has it, in the second half faster. One change is followed amid the cut, and the last one before the heal from that on, at hollow nodes,
// real ones and control processes.
func (e *activeFault) controlsCut(ctx context.Context) error {
	r, cut, alone := e.run, len(e.discoveryRelays)-1, e.Kind == "region_alone"
	name := "two regions cut from each other"
	others := []int{0}
	if alone {
		name, others = "a region cut from all others", nil
		for region := range cut {
			others = append(others, region)
		}
	}
	inside := func(i int) bool { return r.regionOf(i) == cut }
	var mu sync.Mutex
	tellers := e.versionReporters(cut)
	asking, stop := context.WithCancel(ctx)
	var wg sync.WaitGroup
	wg.Go(func() { pollVersions(asking, &mu, tellers) })
	defer wg.Wait()
	defer stop()
	before, err := e.readTransferCounts(cut)
	if err != nil {
		return err
	}
	network := func(on bool) {
		for _, region := range others {
			e.cutRegions(cut, region, on)
		}
	}
	turns := e.changeCount()
	network(true)
	defer network(false)
	if err := e.waitForShare(ctx, 0.5); err != nil {
		return err
	}
	slow := e.changeCount() - turns
	if err := e.reconfigureUntilEnd(ctx); err != nil {
		return err
	}
	c, err := e.makeChange(ctx)
	if err != nil {
		return err
	}
	told := name + ": all, amid it" // by way of the third region
	reached := func(int) bool { return true }
	if alone {
		told, reached = name+": the others, amid it", func(i int) bool { return !inside(i) }
	}
	if err := e.followChange(ctx, told, c, time.Time{}, reached); err != nil {
		return err
	}
	if c, err = e.makeChange(ctx); err != nil {
		return err
	}
	if alone { // where the cut is one, none inside has anything of it
		if err := e.checkIsolated(ctx, name, c, inside); err != nil {
			return err
		}
	}
	made, lasted := e.changeCount()-turns, time.Since(e.startedAt)
	network(false)
	healed := time.Now()
	if err := e.followChange(ctx, name+": its nodes, from the heal", c, healed, inside); err != nil {
		return err
	}
	var after []float64
	for end := healed.Add(e.plan.Limit); ; {
		after = after[:0]
		mu.Lock()
		for _, t := range tellers {
			if at := t.history.firstSeen(c.configVersion); !at.IsZero() {
				after = append(after, max(0, at.Sub(healed).Seconds()))
			}
		}
		mu.Unlock()
		if len(after) == len(tellers) || time.Now().After(end) {
			break
		}
		if err := pause(ctx, versionPollInterval); err != nil {
			return err
		}
	}
	e.addFaultRow(name+": control processes and real nodes, from the heal", "configuration", after, len(tellers))
	now, err := e.readTransferCounts(cut)
	if err != nil {
		return err
	}
	back, err := e.regressions(ctx)
	if err != nil {
		return err
	}
	stop()
	wg.Wait()
	for _, t := range tellers {
		back += float64(t.history.regressions)
	}
	note := fmt.Sprintf("%s for %.0f s, %d contracts, %d hollow and %d real nodes", name, lasted.Seconds(), e.plan.Contracts, e.plan.Hollow, len(e.realNodes))
	row := func(id, role, figure, more string, at float64) {
		r.addRows(Row{ID: e.Kind + "." + id, Role: role, Figure: name + ": " + figure, Origin: Measured, At: at, Note: note + more})
	}
	row("lasted", "control", "seconds that it lasted", "", lasted.Seconds())
	row("changes", "control", "changes of the configuration amid it", fmt.Sprintf("; %d in its first half", slow), float64(made))
	row("slow", "control", "changes of those in its first half", "", float64(slow))
	row("wholes", "control", "answers with the whole, by all control processes", "", float64(now.controlSnapshots-before.controlSnapshots))
	row("followed", "control", "of those to the region's own one", "", float64(now.regionSnapshots-before.regionSnapshots))
	row("deltas", "control", "deltas that the region's own one took", "", float64(now.regionDeltas-before.regionDeltas))
	row("nodes", "node", "the whole taken by its real nodes", "", float64(now.nodeSnapshots-before.nodeSnapshots))
	row("nodes.deltas", "node", "deltas taken by its real nodes", "", float64(now.nodeDeltas-before.nodeDeltas))
	row("back", "node", "times that an older version was in force than before, anywhere", "", back)
	return nil
}
